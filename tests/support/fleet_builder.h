/*
 * Builds snapshots for tests and benchmarks. Names are made from indices and
 * stay valid until the builder is destroyed.
 */
#ifndef CQ_TESTS_FLEET_BUILDER_H
#define CQ_TESTS_FLEET_BUILDER_H

#include <glib.h>

#include "chestnutquay/planner.h"

struct fleet_builder {
	struct cq_policy policy;
	GArray *dcs;
	GArray *workers;
	GArray *classes;
	GArray *workspaces;
	GArray *guarantees;
	GArray *jobs;
	GArray *tasks;
	GStringChunk *names;
	int64_t now_ns;
};

/* Data centres of equal size with racks of rack_size workers. */
struct fleet_builder *fleet_builder_create(uint32_t dcs, uint32_t workers,
					   uint32_t rack_size,
					   uint32_t accelerators,
					   uint32_t millicores,
					   uint64_t memory_bytes);
void fleet_builder_destroy(struct fleet_builder *fleet);
uint32_t fleet_add_class(struct fleet_builder *fleet, const char *name,
			 bool urgent);
uint32_t fleet_add_workspace(struct fleet_builder *fleet, const char *name);
void fleet_add_guarantee(struct fleet_builder *fleet, uint32_t workspace,
			 uint32_t count, uint32_t accelerators,
			 enum cq_adjacency adjacency);
/* A waiting job with tasks of 1 core and 1 GB for each accelerator. */
uint32_t fleet_add_job(struct fleet_builder *fleet, uint32_t workspace,
		       uint32_t class_index, uint32_t tasks,
		       uint32_t accelerators);
struct cq_fleet_job *fleet_job(struct fleet_builder *fleet, uint32_t job);
struct cq_fleet_worker *fleet_worker(struct fleet_builder *fleet,
				     uint32_t worker);
/* Makes the job run with its next rank on the worker. */
uint32_t fleet_run_task(struct fleet_builder *fleet, uint32_t job,
			uint32_t worker, uint64_t mask, uint64_t cell);
/* Carries out the starts and stops of a plan. */
void fleet_apply(struct fleet_builder *fleet, const struct cq_plan *plan);
struct cq_snapshot fleet_snapshot(const struct fleet_builder *fleet);

#endif
