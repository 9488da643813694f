/*
 * Workers of one data centre and their tasks, as the workers report them.
 *
 * Workers have a stable index; a worker that left the host list keeps its
 * index and is not listed any more.
 */
#ifndef CHESTNUTQUAY_FLEET_STATE_H
#define CHESTNUTQUAY_FLEET_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/jobs.h"
#include "chestnutquay/worker.h"

/* A task as last reported, or as expected after a start. */
struct cq_task_status {
	char id[CQ_JOB_TASK_ID_BYTES];
	char job_id[CQ_JOB_ID_BYTES];
	char workspace[CQ_JOB_NAME_BYTES];
	char class_name[CQ_JOB_NAME_BYTES];
	uint32_t worker;
	uint32_t attempt;
	uint32_t rank;
	uint32_t gang_size;
	enum cq_task_state state;
	uint64_t accelerator_mask;
	uint64_t cell;
	uint32_t cpu_millicores;
	uint64_t memory_bytes;
	uint32_t observed_millicores;
	uint64_t observed_memory_bytes;
	uint32_t throttle_pct;
	int64_t run_ms;
	int64_t checkpoint_ms;
	int64_t stop_sent_ns; /* of an unknown task; 0: none */
};

struct cq_fleet_node {
	char name[CQ_JOB_NAME_BYTES];
	char address[24];
	char rack_name[CQ_JOB_NAME_BYTES];
	uint32_t rack; /* number of the name */
	bool listed;   /* on the host list */
	bool reported; /* reported all its tasks in this epoch */
	bool lost;     /* gave no answer for too long */
	char boot_id[64];
	uint64_t version;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;
	int64_t answered_ns; /* when the last good call was sent */
	int64_t gone_by_ns;  /* end of the leases granted, at the latest */
	int64_t next_sync_ns;
	int64_t idle_sync_ns; /* the same while nothing is under way */
	bool syncing;
};

struct cq_fleet_state;

/* A task was reported, or (present false) is not on the worker any more. */
typedef void cq_fleet_changed_fn(void *ctx, const struct cq_task_status *task,
				 bool present, int64_t sent_ns);

struct cq_fleet_state *cq_fleet_state_create(cq_fleet_changed_fn *changed,
					     void *ctx);
void cq_fleet_state_destroy(struct cq_fleet_state *fleet);

/* Adds or updates a listed worker; returns its index. */
uint32_t cq_fleet_state_list_worker(struct cq_fleet_state *fleet,
				    const char *name, const char *address,
				    const char *rack);
uint32_t cq_fleet_state_count(const struct cq_fleet_state *fleet);
/* Valid until the next worker is added. */
struct cq_fleet_node *cq_fleet_state_node(struct cq_fleet_state *fleet,
					  uint32_t worker);
/* UINT32_MAX if unknown. */
uint32_t cq_fleet_state_find(const struct cq_fleet_state *fleet,
			     const char *name);

/*
 * Takes a report. full tells that it holds all tasks of the worker; sent_ns is
 * when the call was sent. A report of another boot than the one before that is
 * not full is not taken and returns false: the worker must be asked for all
 * its tasks.
 */
bool cq_fleet_state_report(struct cq_fleet_state *fleet, uint32_t worker,
			   const struct cq_worker_report *report, bool full,
			   int64_t sent_ns);
/* Forgets the tasks of a worker without calling changed. */
void cq_fleet_state_forget_tasks(struct cq_fleet_state *fleet, uint32_t worker);

/* NULL if unknown. */
struct cq_task_status *cq_fleet_state_task(struct cq_fleet_state *fleet,
					   const char *task_id);
/* Live and ended tasks last reported; stops when visit returns false. */
typedef bool cq_fleet_visit_fn(void *ctx, struct cq_task_status *task);
void cq_fleet_state_visit(struct cq_fleet_state *fleet,
			  cq_fleet_visit_fn *visit, void *ctx);
/* The same for the tasks of one worker. */
void cq_fleet_state_visit_worker(struct cq_fleet_state *fleet, uint32_t worker,
				 cq_fleet_visit_fn *visit, void *ctx);

#endif
