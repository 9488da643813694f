/*
 * Estimated start and end of waiting jobs.
 *
 * The fleet is treated as one pool of accelerators, which are released when
 * running jobs end as predicted and are given to the waiting jobs in the order
 * of ctx->waits. This ignores fragmentation, so the estimated start is a lower
 * bound under load.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

/* Accelerators that become free when a job ends. */
struct release {
	int64_t at_ns;
	int64_t accelerators;
};

/* Binary min-heap of releases, ordered by time. */
static void heap_push(GArray *heap, struct release release);
static struct release heap_pop(GArray *heap);

static struct release *heap_at(GArray *heap, uint32_t index)
{
	return &g_array_index(heap, struct release, index);
}

static void heap_push(GArray *heap, struct release release)
{
	uint32_t i = heap->len;

	g_array_append_val(heap, release);
	while (i > 0 && heap_at(heap, (i - 1) / 2)->at_ns > release.at_ns) {
		*heap_at(heap, i) = *heap_at(heap, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	*heap_at(heap, i) = release;
}

static struct release heap_pop(GArray *heap)
{
	struct release top = *heap_at(heap, 0);
	struct release last = *heap_at(heap, heap->len - 1);
	uint32_t i = 0;

	g_array_set_size(heap, heap->len - 1);
	while (2 * i + 1 < heap->len) {
		uint32_t child = 2 * i + 1;

		if (child + 1 < heap->len &&
		    heap_at(heap, child + 1)->at_ns <
			    heap_at(heap, child)->at_ns)
			child++;
		if (heap_at(heap, child)->at_ns >= last.at_ns)
			break;
		*heap_at(heap, i) = *heap_at(heap, child);
		i = child;
	}
	if (heap->len)
		*heap_at(heap, i) = last;
	return top;
}

static int64_t job_accelerators(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];

	return (int64_t)entry->accelerators * entry->tasks;
}

static void fill_heap(struct cq_plan_context *ctx, GArray *heap,
		      int64_t *free_accelerators)
{
	uint32_t i;

	*free_accelerators = 0;
	for (i = 0; i < ctx->snapshot->worker_count; i++)
		if (ctx->workers[i].usable)
			*free_accelerators +=
				MAX(ctx->workers[i].free.accelerators, 0);
	for (i = 0; i < ctx->snapshot->job_count; i++) {
		struct release release = { ctx->jobs[i].predicted_end_ns,
					   job_accelerators(ctx, i) };

		if (ctx->jobs[i].stopping)
			release.at_ns = ctx->now_ns;
		if (ctx->snapshot->jobs[i].state == CQ_JOB_RUNNING)
			heap_push(heap, release);
	}
}

void cq_plan_estimate(struct cq_plan_context *ctx)
{
	GArray *heap = g_array_new(FALSE, FALSE, sizeof(struct release));
	int64_t available;
	int64_t at_ns = ctx->now_ns;
	uint32_t i;

	fill_heap(ctx, heap, &available);
	for (i = 0; i < ctx->waits->len; i++) {
		struct cq_wait *wait =
			&g_array_index(ctx->waits, struct cq_wait, i);
		int64_t need = job_accelerators(ctx, wait->job);
		struct release end;

		if (wait->reason == CQ_REASON_WAIT_DC_OUT)
			continue;
		while (available < need && heap->len) {
			end = heap_pop(heap);
			available += end.accelerators;
			at_ns = MAX(at_ns, end.at_ns);
		}
		if (available < need)
			continue;
		available -= need;
		wait->expected_start_ns = MAX(wait->expected_start_ns, at_ns);
		wait->expected_end_ns = wait->expected_start_ns +
					ctx->jobs[wait->job].predicted_run_ns;
		end.at_ns = wait->expected_end_ns;
		end.accelerators = need;
		heap_push(heap, end);
	}
	g_array_free(heap, TRUE);
}
