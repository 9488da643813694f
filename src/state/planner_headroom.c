/*
 * Headroom for urgent jobs.
 *
 * Urgent jobs are short and arrive all the time. If borrowers used every
 * accelerator, each urgent job would stop a borrower, which would start again
 * when the urgent job ends and be stopped for the next one. So borrowers that
 * are not urgent leave as many accelerators free as urgent jobs usually use.
 */
#include "state/planner_internal.h"

#include <math.h>

/*
 * Time constant of the exponential smoothing, longer than the pauses between
 * bursts of urgent jobs.
 */
#define SMOOTHING_NS (300 * CQ_NS_PER_S)

static int64_t urgent_accelerators(const struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	int64_t used = 0;
	uint32_t i;

	for (i = 0; i < snapshot->job_count; i++) {
		const struct cq_fleet_job *job = &snapshot->jobs[i];

		if (job->state == CQ_JOB_RUNNING &&
		    snapshot->classes[job->class_index].urgent)
			used += (int64_t)job->accelerators * job->tasks;
	}
	return used;
}

void cq_plan_headroom(struct cq_plan_context *ctx)
{
	struct cq_planner *planner = ctx->planner;
	int64_t used = urgent_accelerators(ctx);
	double decay;
	double deviation;
	uint32_t i;

	for (i = 0; i < ctx->snapshot->worker_count; i++)
		if (ctx->workers[i].usable)
			ctx->free_accelerators +=
				MAX(ctx->workers[i].free.accelerators, 0);
	if (planner->urgent_updated_ns == 0) {
		planner->urgent_mean = (double)used;
	} else {
		decay = exp(
			-(double)MAX(ctx->now_ns - planner->urgent_updated_ns,
				     0) /
			(double)SMOOTHING_NS);
		deviation = (double)used - planner->urgent_mean;
		planner->urgent_variance =
			decay * (planner->urgent_variance +
				 (1 - decay) * deviation * deviation);
		planner->urgent_mean += (1 - decay) * deviation;
	}
	planner->urgent_updated_ns = MAX(ctx->now_ns, 1);
	ctx->headroom = (int64_t)(planner->urgent_mean +
				  sqrt(planner->urgent_variance)) -
			used;
	ctx->headroom = CLAMP(ctx->headroom, 0, ctx->usable_accelerators / 4);
}
