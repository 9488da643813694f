/*
 * One plan: which of the ready stages start now, on which workers, and which
 * runs are preempted for them. Pure state; the caller carries out the
 * decisions.
 */
#ifndef CHESTNUTQUAY_STAGE_PLAN_H
#define CHESTNUTQUAY_STAGE_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/placement.h"
#include "chestnutquay/stage_order.h"

/* Scheduling policy */
struct cq_stage_policy {
	const char *name;
	/* Returns a negative number if left goes first. */
	int (*compare)(const struct cq_ready_stage *left,
		       const struct cq_ready_stage *right, int64_t now_ns);
	/* Returns false if the stage must not start in this plan. */
	bool (*may_start)(const struct cq_ready_stage *r,
			  const struct cq_pool_totals *totals, int64_t now_ns);
	/*
	 * Returns the work that may be lost by preemption for the stage, in
	 * core-seconds per core that it gets; negative: nothing is preempted.
	 */
	double (*max_loss_s)(const struct cq_ready_stage *r, int64_t now_ns);
};

/* The default policy, see docs/policies.md. */
extern const struct cq_stage_policy cq_stage_policy_default;

struct cq_stage_plan {
	const struct cq_stage_policy *policy;
	const struct cq_pool *pool;
	int64_t now_ns;
	uint32_t remote_factor; /* see placement.h */
	/*
	 * Stages that a plan of this round has come to are passed over. A round
	 * consists of the plans that together come to all ready stages; 0: each
	 * plan is a round of its own.
	 */
	uint32_t round;
	/* The plan ends after so many looks at workers and runs; 0: no limit */
	uint64_t max_work;
	/*
	 * Most runs in CQ_RUN_RECORDING, 0: no limit, and how many there are.
	 * Half of them are kept for guaranteed work and for the first runs of
	 * jobs.
	 */
	uint32_t max_recording;
	uint32_t recording;
};

/* What a plan did */
struct cq_stage_plan_result {
	uint64_t work; /* looks at workers and runs, and one for each stage */
	bool complete; /* the round has come to all stages */
	/* Tasks wait for others to leave CQ_RUN_RECORDING */
	bool held_back;
};

struct cq_stage_plan_ops {
	/*
	 * Starts the tasks in the array of struct cq_assignment; their
	 * resources are booked when it returns.
	 */
	void (*start)(void *ctx, const struct cq_ready_stage *r,
		      const GArray *assignments);
	/*
	 * Stops the runs in the array of struct cq_task to make room for the
	 * stage.
	 */
	void (*preempt)(void *ctx, const struct cq_ready_stage *r,
			const GPtrArray *tasks);
	/*
	 * The workers that were reserved for the stage have brought nothing,
	 * and are left to others for a while. May be NULL.
	 */
	void (*release)(void *ctx, const struct cq_ready_stage *r);
};

/*
 * Appends the stages of the batch that are ready to start to the array of
 * struct cq_ready_stage. unix_ms is the time of day at now_ns. Occurrences of
 * the batch that have ended are freed before, and those that are due are added.
 */
void cq_stage_plan_collect(struct cq_batch *batch, const struct cq_queue *queue,
			   int64_t now_ns, int64_t unix_ms, GArray *ready);
/*
 * Sorts the ready stages and decides on each in turn, until a limit of the plan
 * is reached. The caller sets the ranks of the stages and the usable workers
 * before. Reservations of workers hold for the round.
 */
struct cq_stage_plan_result
cq_stage_plan_run(const struct cq_stage_plan *plan, GArray *ready,
		  const struct cq_stage_plan_ops *ops, void *ctx);

#endif
