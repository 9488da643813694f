#include "replay_policies.h"

#include "tests/support/replay_jobs.h"

/* A negative limit of the work lost by preemption: nothing is preempted. */
#define NO_PREEMPTION (-1.0)

static int compare_doubles(double left, double right)
{
	return left < right ? -1 : left > right;
}

static int compare_by_arrival(const struct cq_ready_stage *left,
			      const struct cq_ready_stage *right,
			      int64_t now_ns)
{
	(void)now_ns;
	return compare_doubles((double)left->stage->batch->accepted_ns,
			       (double)right->stage->batch->accepted_ns);
}

static int compare_by_objective(const struct cq_ready_stage *left,
				const struct cq_ready_stage *right,
				int64_t now_ns)
{
	(void)now_ns;
	return compare_doubles((double)left->objective_ns,
			       (double)right->objective_ns);
}

/*
 * Worth per unit of estimated remaining work. The table has the worth of a job
 * of mean work, indexed by the priority of its queue.
 */
static double worth_density(const struct cq_ready_stage *r)
{
	static const double worth[] = { 4, 3, 1 };
	const struct cq_workload_step *step = r->stage->step;

	return worth[r->queue->priority] / ((double)r->remaining_path_ms *
					    step->tasks * step->accelerators);
}

static int compare_by_density(const struct cq_ready_stage *left,
			      const struct cq_ready_stage *right,
			      int64_t now_ns)
{
	(void)now_ns;
	return compare_doubles(worth_density(right), worth_density(left));
}

static bool always_may_start(const struct cq_ready_stage *r,
			     const struct cq_pool_totals *totals,
			     int64_t now_ns)
{
	(void)r;
	(void)totals;
	(void)now_ns;
	return true;
}

static double no_preemption(const struct cq_ready_stage *r, int64_t now_ns)
{
	(void)r;
	(void)now_ns;
	return NO_PREEMPTION;
}

const struct cq_stage_policy replay_first_come = {
	.name = "first come",
	.compare = compare_by_arrival,
	.may_start = always_may_start,
	.max_loss_s = no_preemption,
};

const struct cq_stage_policy replay_earliest_deadline = {
	.name = "earliest deadline",
	.compare = compare_by_objective,
	.may_start = always_may_start,
	.max_loss_s = no_preemption,
};

const struct cq_stage_policy replay_credit_density = {
	.name = "credit density",
	.compare = compare_by_density,
	.may_start = always_may_start,
	.max_loss_s = no_preemption,
};
