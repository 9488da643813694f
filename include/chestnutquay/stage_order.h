/*
 * Which of the waiting stages goes first, and which leaves room for others.
 * Pure functions over the stages and the pool.
 */
#ifndef CHESTNUTQUAY_STAGE_ORDER_H
#define CHESTNUTQUAY_STAGE_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"
#include "chestnutquay/queues.h"

/* A stage that could start, and what its place in the order depends on. */
struct cq_ready_stage {
	struct cq_stage *stage;
	const struct cq_queue *queue;
	int64_t objective_ns; /* by when its job should have ended */
	int64_t late_ns;      /* an end after it is of no use to the caller */
	int64_t chain_ms;     /* estimate of its job */
	int64_t remaining_path_ms; /* estimate of this step and those after it
				    */
};

/* unix_ms is the time of day at now_ns, for jobs with due times. */
void cq_ready_stage_init(struct cq_ready_stage *r, struct cq_stage *stage,
			 const struct cq_queue *queue, int64_t now_ns,
			 int64_t unix_ms);
/* Even its late limit would be missed if it started at now_ns. */
bool cq_ready_stage_is_hopeless(const struct cq_ready_stage *r, int64_t now_ns);
/*
 * Below zero if left goes first: by rank; within it, those that are hopeless
 * after the others, then by objective.
 */
int cq_ready_stage_compare(const struct cq_ready_stage *left,
			   const struct cq_ready_stage *right, int64_t now_ns);
/*
 * Work that is not urgent leaves accelerators free for urgent work, which would
 * otherwise wait for stops, as long as it can still meet its objective later.
 */
bool cq_ready_stage_leaves_headroom(const struct cq_ready_stage *r,
				    const struct cq_pool *pool, int64_t now_ns);

#endif
