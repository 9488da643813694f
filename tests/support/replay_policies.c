#include "replay_policies.h"

#include "tests/support/replay_jobs.h"

#define STOPS_NOTHING (-1.0)

static int by_order(double left, double right)
{
	return left < right ? -1 : left > right;
}

static int by_arrival(const struct cq_ready_stage *left,
		      const struct cq_ready_stage *right, int64_t now_ns)
{
	(void)now_ns;
	return by_order((double)left->stage->batch->accepted_ns,
			(double)right->stage->batch->accepted_ns);
}

static int by_objective(const struct cq_ready_stage *left,
			const struct cq_ready_stage *right, int64_t now_ns)
{
	(void)now_ns;
	return by_order((double)left->objective_ns,
			(double)right->objective_ns);
}

/* Worth of a usual job by the priority of its queue. */
static double density(const struct cq_ready_stage *r)
{
	static const double worth[] = { 4, 3, 1 };
	const struct cq_workload_step *step = r->stage->step;

	return worth[r->queue->priority] / ((double)r->remaining_path_ms *
					    step->tasks * step->accelerators);
}

static int by_density(const struct cq_ready_stage *left,
		      const struct cq_ready_stage *right, int64_t now_ns)
{
	(void)now_ns;
	return by_order(density(right), density(left));
}

static bool always(const struct cq_ready_stage *r, const struct cq_pool *pool,
		   int64_t now_ns)
{
	(void)r;
	(void)pool;
	(void)now_ns;
	return true;
}

static double stops_nothing(const struct cq_ready_stage *r, int64_t now_ns)
{
	(void)r;
	(void)now_ns;
	return STOPS_NOTHING;
}

const struct cq_stage_policy replay_first_come = {
	.name = "first come",
	.compare = by_arrival,
	.may_start = always,
	.max_loss_s = stops_nothing,
};

const struct cq_stage_policy replay_earliest_deadline = {
	.name = "earliest deadline",
	.compare = by_objective,
	.may_start = always,
	.max_loss_s = stops_nothing,
};

const struct cq_stage_policy replay_credit_density = {
	.name = "credit density",
	.compare = by_density,
	.may_start = always,
	.max_loss_s = stops_nothing,
};
