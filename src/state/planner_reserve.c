/*
 * Reservations: the place where a job that cannot start now fits first.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

/* When one more task of the job fits on a worker. */
struct slot {
	int64_t at_ns;
	uint32_t worker;
};

static void collect_slots(const struct cq_plan_context *ctx, uint32_t job,
			  uint32_t worker, GArray *slots);

static int compare_slots(const void *a, const void *b)
{
	const struct slot *left = a;
	const struct slot *right = b;

	if (left->at_ns != right->at_ns)
		return left->at_ns < right->at_ns ? -1 : 1;
	return left->worker < right->worker ? -1 : left->worker > right->worker;
}

static void collect_slots(const struct cq_plan_context *ctx, uint32_t job,
			  uint32_t worker, GArray *slots)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	const struct cq_plan_worker *candidate = &ctx->workers[worker];
	struct cq_need room = candidate->free;
	struct slot ends[CQ_FLEET_MAX_ACCELERATORS * 2];
	uint32_t count = 0;
	uint32_t placed = 0;
	uint32_t i = 0;
	uint32_t t;

	if (!candidate->usable ||
	    cq_need_count(candidate->total, entry, 1) == 0 ||
	    (entry->dc != CQ_NONE && entry->dc != candidate->dc))
		return;
	cq_need_subtract(&room, candidate->held);
	cq_need_subtract(&room, candidate->reserved);
	for (t = candidate->first_task;
	     t != CQ_NONE && count < G_N_ELEMENTS(ends);
	     t = ctx->tasks[t].next_on_worker) {
		uint32_t owner = ctx->snapshot->tasks[t].job;

		ends[count].at_ns = ctx->jobs[owner].leaving
					    ? ctx->now_ns
					    : ctx->jobs[owner].predicted_end_ns;
		ends[count].worker = t;
		count++;
	}
	qsort(ends, count, sizeof(*ends), compare_slots);
	for (;;) {
		uint32_t fits = cq_need_count(room, entry, entry->tasks);
		struct slot slot = { i ? ends[i - 1].at_ns : ctx->now_ns,
				     worker };

		for (; placed < fits; placed++)
			g_array_append_val(slots, slot);
		if (i == count || placed == entry->tasks)
			break;
		cq_need_add(&room, ctx->tasks[ends[i].worker].use);
		i++;
	}
}

int64_t cq_place_reserve(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
	struct slot best[CQ_FLEET_MAX_GANG];
	int64_t best_ns = INT64_MAX;
	uint32_t begin;
	uint32_t end;
	uint32_t i;

	for (begin = 0; begin < ctx->snapshot->worker_count; begin = end) {
		uint32_t region =
			cq_region_of(ctx, ctx->order[begin], entry->adjacency);
		struct slot *list;

		g_array_set_size(slots, 0);
		for (end = begin; end < ctx->snapshot->worker_count &&
				  cq_region_of(ctx, ctx->order[end],
					       entry->adjacency) == region;
		     end++)
			collect_slots(ctx, job, ctx->order[end], slots);
		if (slots->len < entry->tasks)
			continue;
		qsort(slots->data, slots->len, sizeof(struct slot),
		      compare_slots);
		list = (struct slot *)(void *)slots->data;
		if (list[entry->tasks - 1].at_ns >= best_ns)
			continue;
		best_ns = list[entry->tasks - 1].at_ns;
		memcpy(best, list, entry->tasks * sizeof(*best));
	}
	g_array_free(slots, TRUE);
	if (best_ns == INT64_MAX)
		return CQ_FLEET_UNKNOWN_NS;
	for (i = 0; i < entry->tasks; i++) {
		struct cq_plan_worker *worker = &ctx->workers[best[i].worker];

		cq_need_add(&worker->reserved, cq_job_need(entry, 1));
		worker->reserved_from_ns =
			MIN(worker->reserved_from_ns, best_ns);
	}
	return best_ns;
}
