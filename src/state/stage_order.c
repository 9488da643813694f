#include "chestnutquay/stage_order.h"

#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"

/* Run time assumed for a task without an estimate */
#define DEFAULT_TASK_ESTIMATE_MS 5000
/* The deadline allows this many times the duration of the objective. */
#define DEADLINE_FACTOR 3
/* Estimates may be too high by this factor. */
#define MAX_OVERESTIMATE_FACTOR 2
/* Share of the accelerators that is left free for urgent work */
#define HEADROOM_PERMILLE 250
/*
 * A stage that has less than this many critical paths left until its objective
 * starts without leaving headroom.
 */
#define HEADROOM_SLACK_FACTOR 1.5

int64_t cq_step_estimate_ms(const struct cq_workload_step *step)
{
	return step->estimate_ms ? step->estimate_ms : DEFAULT_TASK_ESTIMATE_MS;
}

/*
 * The longest path of estimates that begins with each step. A job may have many
 * stages that are ready, so the paths are computed once.
 */
static const int64_t *longest_paths(struct cq_batch *batch)
{
	const struct cq_workload *w = batch->workload;
	int64_t *paths_ms = batch->longest_paths_ms;
	uint32_t i, k;

	if (paths_ms)
		return paths_ms;
	paths_ms = g_new0(int64_t, w->step_count);
	batch->longest_paths_ms = paths_ms;
	for (i = w->step_count; i-- > 0;) {
		int64_t after_ms = 0;

		for (k = i + 1; k < w->step_count; k++)
			if (w->steps[k].after >> i & 1)
				after_ms = MAX(after_ms, paths_ms[k]);
		paths_ms[i] = cq_step_estimate_ms(&w->steps[i]) + after_ms;
	}
	return paths_ms;
}

/*
 * Returns when the caller began to wait for this occurrence: its due time, or
 * the time of acceptance for a job without one.
 */
static int64_t occurrence_wait_start_ns(const struct cq_stage *stage,
					int64_t now_ns, int64_t unix_ms)
{
	const struct cq_workload *w = stage->batch->workload;
	int64_t due_ms;

	if (!w->first_run_ms)
		return stage->batch->accepted_ns;
	due_ms = cq_workload_due_ms(w, stage->occurrence);
	return now_ns + (due_ms - unix_ms) * CQ_NS_PER_MS;
}

void cq_ready_stage_init(struct cq_ready_stage *r, struct cq_stage *stage,
			 const struct cq_queue *queue, int64_t now_ns,
			 int64_t unix_ms)
{
	const struct cq_workload *w = stage->batch->workload;
	int64_t since_ns = occurrence_wait_start_ns(stage, now_ns, unix_ms);
	const int64_t *paths_ms = longest_paths(stage->batch);
	int64_t allowed_ns;
	uint32_t i;

	*r = (struct cq_ready_stage){ .stage = stage, .queue = queue };
	r->remaining_path_ms = paths_ms[stage->step_index];
	for (i = 0; i < w->step_count; i++)
		r->critical_path_ms = MAX(r->critical_path_ms, paths_ms[i]);
	allowed_ns = (int64_t)(queue->stretch * (double)r->critical_path_ms +
			       queue->target_runtime_ms) *
		     CQ_NS_PER_MS;
	/*
	 * The objective counts from the acceptance of the job, so that the job
	 * keeps its place in the order for all its occurrences.
	 */
	r->objective_ns = stage->batch->accepted_ns + allowed_ns;
	r->deadline_ns = since_ns + DEADLINE_FACTOR * allowed_ns;
}

bool cq_ready_stage_will_miss_deadline(const struct cq_ready_stage *r,
				       int64_t now_ns)
{
	return now_ns + r->remaining_path_ms / MAX_OVERESTIMATE_FACTOR *
				CQ_NS_PER_MS >
	       r->deadline_ns;
}

int cq_ready_stage_compare(const struct cq_ready_stage *left,
			   const struct cq_ready_stage *right, int64_t now_ns)
{
	bool left_misses = cq_ready_stage_will_miss_deadline(left, now_ns);
	bool right_misses = cq_ready_stage_will_miss_deadline(right, now_ns);

	if (left->stage->rank != right->stage->rank)
		return left->stage->rank < right->stage->rank ? -1 : 1;
	if (left_misses != right_misses)
		return left_misses ? 1 : -1;
	if (left->objective_ns != right->objective_ns)
		return left->objective_ns < right->objective_ns ? -1 : 1;
	return strcmp(left->stage->batch->workload->id,
		      right->stage->batch->workload->id);
}

/* A task that lasts had its room before it ended. */
static bool comes_back(const struct cq_stage *stage)
{
	return stage->step->long_running && stage->started;
}

bool cq_ready_stage_leaves_headroom(const struct cq_ready_stage *r,
				    const struct cq_pool_totals *totals,
				    int64_t now_ns)
{
	int64_t needed =
		(int64_t)r->stage->step->tasks * r->stage->step->accelerators;

	if (r->queue->priority == 0 || comes_back(r->stage) ||
	    now_ns > r->objective_ns - (int64_t)(HEADROOM_SLACK_FACTOR *
						 (double)r->critical_path_ms) *
					       CQ_NS_PER_MS)
		return true;
	return (totals->free_accelerators - needed) * 1000 >=
	       totals->accelerators * HEADROOM_PERMILLE;
}
