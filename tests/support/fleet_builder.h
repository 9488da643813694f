/*
 * Builds planner snapshots for tests and benchmarks. Names are made from
 * indices and stay valid until the builder is destroyed.
 */
#ifndef CQ_TESTS_FLEET_BUILDER_H
#define CQ_TESTS_FLEET_BUILDER_H

#include <glib.h>

#include "chestnutquay/planner.h"

struct fleet_builder {
	struct cq_policy policy;
	GArray *dcs; /* struct cq_fleet_dc; the arrays below likewise */
	GArray *workers;
	GArray *classes;
	GArray *workspaces;
	GArray *guarantees;
	GArray *jobs;
	GArray *tasks;
	GStringChunk *names;
	int64_t now_ns;
};

/*
 * Spreads the workers evenly over the data centres, in racks of rack_size.
 * Accelerators, millicores and memory are those of each worker.
 */
struct fleet_builder *fleet_builder_create(uint32_t dcs, uint32_t workers,
					   uint32_t rack_size,
					   uint32_t accelerators,
					   uint32_t millicores,
					   uint64_t memory_bytes);
void fleet_builder_destroy(struct fleet_builder *fleet);
/* Returns the index of the class, which is also its rank. */
uint32_t fleet_add_class(struct fleet_builder *fleet, const char *name,
			 bool urgent);
/* Returns the index of the workspace. */
uint32_t fleet_add_workspace(struct fleet_builder *fleet, const char *name);
/* Guarantees the workspace count shapes of that many accelerators each. */
void fleet_add_guarantee(struct fleet_builder *fleet, uint32_t workspace,
			 uint32_t count, uint32_t accelerators,
			 enum cq_adjacency adjacency);
/*
 * Adds a waiting job and returns its index. Its tasks have 1 core and 1 GiB of
 * memory for each of their accelerators.
 */
uint32_t fleet_add_job(struct fleet_builder *fleet, uint32_t workspace,
		       uint32_t class_index, uint32_t tasks,
		       uint32_t accelerators);
struct cq_fleet_job *fleet_job(struct fleet_builder *fleet, uint32_t job);
struct cq_fleet_worker *fleet_worker(struct fleet_builder *fleet,
				     uint32_t worker);
/*
 * Adds a running task, the next rank of the job, on the worker; returns the
 * index of the task.
 */
uint32_t fleet_run_task(struct fleet_builder *fleet, uint32_t job,
			uint32_t worker, uint64_t mask, uint64_t cell);
/* Applies the starts, stops and checkpoint requests of a plan. */
void fleet_apply(struct fleet_builder *fleet, const struct cq_plan *plan);
struct cq_snapshot fleet_snapshot(const struct fleet_builder *fleet);

#endif
