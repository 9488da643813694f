#include "chestnutquay/stage_order.h"

#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"

/* Of tasks without an estimate. */
#define DEFAULT_ESTIMATE_MS 5000
/* An end is of use until so many times the objective. */
#define LATE_FACTOR 3
/* Estimates are too high by this factor at times. */
#define ESTIMATE_ERROR 2
/* Share of the accelerators that is left free for urgent work. */
#define HEADROOM_PERMILLE 250
/* Later than this many chains before its objective, work starts anyway. */
#define HEADROOM_SLACK 1.5

/* Longest chain of estimates that begins with each step. */
static void chains_from(const struct cq_workload *w,
			int64_t chains_ms[CQ_WORKLOAD_MAX_STEPS])
{
	uint32_t i, k;

	for (i = w->step_count; i-- > 0;) {
		int64_t own_ms = w->steps[i].estimate_ms;
		int64_t after_ms = 0;

		for (k = i + 1; k < w->step_count; k++)
			if (w->steps[k].after >> i & 1)
				after_ms = MAX(after_ms, chains_ms[k]);
		chains_ms[i] =
			(own_ms ? own_ms : DEFAULT_ESTIMATE_MS) + after_ms;
	}
}

/* When the caller began to wait for this occurrence. */
static int64_t awaited_since_ns(const struct cq_stage *stage, int64_t now_ns,
				int64_t unix_ms)
{
	const struct cq_workload *w = stage->batch->workload;
	int64_t due_ms;

	if (!w->first_run_ms)
		return stage->batch->accepted_ns;
	due_ms = w->first_run_ms + (int64_t)stage->occurrence * w->interval_ms;
	return now_ns + (due_ms - unix_ms) * CQ_NS_PER_MS;
}

void cq_ready_stage_init(struct cq_ready_stage *r, struct cq_stage *stage,
			 const struct cq_queue *queue, int64_t now_ns,
			 int64_t unix_ms)
{
	const struct cq_workload *w = stage->batch->workload;
	int64_t since_ns = awaited_since_ns(stage, now_ns, unix_ms);
	int64_t chains_ms[CQ_WORKLOAD_MAX_STEPS] = { 0 };
	int64_t allowed_ns;
	uint32_t i;

	chains_from(w, chains_ms);
	*r = (struct cq_ready_stage){ .stage = stage, .queue = queue };
	r->remaining_path_ms = chains_ms[stage->step_index];
	for (i = 0; i < w->step_count; i++)
		r->chain_ms = MAX(r->chain_ms, chains_ms[i]);
	allowed_ns = (int64_t)(queue->stretch * (double)r->chain_ms +
			       queue->target_runtime_ms) *
		     CQ_NS_PER_MS;
	/* A job keeps its place in the order for all its occurrences. */
	r->objective_ns = stage->batch->accepted_ns + allowed_ns;
	r->late_ns = since_ns + LATE_FACTOR * allowed_ns;
}

bool cq_ready_stage_is_hopeless(const struct cq_ready_stage *r, int64_t now_ns)
{
	return now_ns + r->remaining_path_ms / ESTIMATE_ERROR * CQ_NS_PER_MS >
	       r->late_ns;
}

int cq_ready_stage_compare(const struct cq_ready_stage *left,
			   const struct cq_ready_stage *right, int64_t now_ns)
{
	bool left_hopeless = cq_ready_stage_is_hopeless(left, now_ns);
	bool right_hopeless = cq_ready_stage_is_hopeless(right, now_ns);

	if (left->stage->rank != right->stage->rank)
		return left->stage->rank < right->stage->rank ? -1 : 1;
	if (left_hopeless != right_hopeless)
		return left_hopeless ? 1 : -1;
	if (left->objective_ns != right->objective_ns)
		return left->objective_ns < right->objective_ns ? -1 : 1;
	return strcmp(left->stage->batch->workload->id,
		      right->stage->batch->workload->id);
}

bool cq_ready_stage_leaves_headroom(const struct cq_ready_stage *r,
				    const struct cq_pool *pool, int64_t now_ns)
{
	int64_t needed =
		(int64_t)r->stage->step->tasks * r->stage->step->accelerators;
	int64_t total = 0;
	int64_t left = 0;
	GHashTableIter iter;
	gpointer value;

	if (r->queue->priority == 0 ||
	    now_ns > r->objective_ns -
			     (int64_t)(HEADROOM_SLACK * (double)r->chain_ms) *
				     CQ_NS_PER_MS)
		return true;
	g_hash_table_iter_init(&iter, pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_pool_worker *worker = value;

		if (!worker->usable)
			continue;
		total += worker->listing.accelerators;
		left += worker->free_accelerators;
	}
	return (left - needed) * 1000 >= total * HEADROOM_PERMILLE;
}
