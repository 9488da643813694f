/*
 * Order in which ready stages start, and the headroom that they leave for
 * urgent work. Pure functions over the stages and the pool.
 */
#ifndef CHESTNUTQUAY_STAGE_ORDER_H
#define CHESTNUTQUAY_STAGE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"
#include "chestnutquay/queues.h"

/* A stage that is ready to start, and what its place in the order depends on */
struct cq_ready_stage {
	struct cq_stage *stage;
	const struct cq_queue *queue;
	int64_t objective_ns;	  /* target completion time of its job */
	int64_t deadline_ns;	  /* a later end is of no use to the caller */
	int64_t critical_path_ms; /* estimated critical path of its job */
	/* Estimated longest path from this step on. */
	int64_t remaining_path_ms;
};

/* Estimated run time of a task; a default if none was given. */
int64_t cq_step_estimate_ms(const struct cq_workload_step *step);
/*
 * Initializes r. unix_ms is the time of day at now_ns, for jobs with due times.
 */
void cq_ready_stage_init(struct cq_ready_stage *r, struct cq_stage *stage,
			 const struct cq_queue *queue, int64_t now_ns,
			 int64_t unix_ms);
/*
 * True if the stage would miss its deadline even if it started at now_ns and
 * took only half of the estimated time.
 */
bool cq_ready_stage_will_miss_deadline(const struct cq_ready_stage *r,
				       int64_t now_ns);
/*
 * Returns a negative number if left goes first: by rank, then those that will
 * miss their deadline after the others, then by objective.
 */
int cq_ready_stage_compare(const struct cq_ready_stage *left,
			   const struct cq_ready_stage *right, int64_t now_ns);
/*
 * Returns false if a stage that is not urgent has to wait in order to leave
 * accelerators free for urgent work, which would otherwise wait for
 * preemptions. A stage that is close to its objective need not wait, nor a
 * lasting one that has run before. The totals are those of its service.
 */
bool cq_ready_stage_leaves_headroom(const struct cq_ready_stage *r,
				    const struct cq_pool_totals *totals,
				    int64_t now_ns);

#endif
