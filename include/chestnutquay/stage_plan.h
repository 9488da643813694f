/*
 * One plan: which of the ready stages start now, where they go, and which runs
 * give way to them. Pure state; the caller carries the decisions out.
 */
#ifndef CHESTNUTQUAY_STAGE_PLAN_H
#define CHESTNUTQUAY_STAGE_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/placement.h"
#include "chestnutquay/stage_order.h"

/* What schedulers differ in. */
struct cq_stage_policy {
	const char *name;
	/* Below zero if left goes first. */
	int (*compare)(const struct cq_ready_stage *left,
		       const struct cq_ready_stage *right, int64_t now_ns);
	/* False: the stage does not start in this plan. */
	bool (*may_start)(const struct cq_ready_stage *r,
			  const struct cq_pool *pool, int64_t now_ns);
	/*
	 * The work that may be thrown away to make room for the stage, in
	 * seconds of each core that it gets; below zero: nothing is stopped.
	 */
	double (*max_loss_s)(const struct cq_ready_stage *r, int64_t now_ns);
};

/* The policy of the product, see docs/policies.md. */
extern const struct cq_stage_policy cq_stage_policy_default;

struct cq_stage_plan {
	const struct cq_stage_policy *policy;
	const struct cq_pool *pool;
	int64_t now_ns;
};

struct cq_stage_plan_ops {
	/*
	 * Starts the tasks of the array of struct cq_assignment; they are
	 * booked when it returns.
	 */
	void (*start)(void *ctx, const struct cq_ready_stage *r,
		      const GArray *assignments);
	/* Stops the runs of the array of struct cq_task for the stage. */
	void (*preempt)(void *ctx, const struct cq_ready_stage *r,
			const GPtrArray *tasks);
};

/*
 * Adds the stages of the batch that could start to the array of struct
 * cq_ready_stage. unix_ms is the time of day at now_ns.
 */
void cq_stage_plan_collect(struct cq_batch *batch, const struct cq_queue *queue,
			   int64_t now_ns, int64_t unix_ms, GArray *ready);
/*
 * Sorts the ready stages and decides on each in turn. The ranks of the stages
 * and the usable workers are set before.
 */
void cq_stage_plan_run(const struct cq_stage_plan *plan, GArray *ready,
		       const struct cq_stage_plan_ops *ops, void *ctx);

#endif
