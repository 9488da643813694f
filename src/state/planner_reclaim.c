/*
 * Choice of the tasks to stop, for the least lost work.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

#define PERMILLE 1000
#define MAX_VICTIMS 128

/* For whom room is made, and who may be stopped. */
struct reclaim {
	uint32_t job;
	bool own_cells; /* within the guarantee of the workspace */
	bool repack;	/* smaller own jobs move to other own cells */
	bool urgent;
	int64_t deadline_ns;
	enum cq_reason reason;
};

struct victim {
	uint64_t cost; /* 0 when the job is leaving already */
	uint32_t task;
	bool kept;
};

static bool may_stop(const struct cq_plan_context *ctx,
		     const struct reclaim *reclaim, uint32_t job);
static bool find_victims(const struct cq_plan_context *ctx,
			 const struct reclaim *reclaim, uint32_t worker,
			 struct cq_need need, struct victim *victims,
			 uint32_t *count, uint64_t *cost);
static void apply(struct cq_plan_context *ctx, const struct reclaim *reclaim);

static int64_t size_of(const struct cq_fleet_job *job)
{
	return (int64_t)job->accelerators * job->tasks;
}

/*
 * Only strictly smaller jobs move, so that two jobs never displace each other
 * in turn. Urgent jobs end soon and would miss their bound.
 */
static bool may_repack(const struct cq_plan_context *ctx,
		       const struct reclaim *reclaim, uint32_t job)
{
	const struct cq_fleet_job *victim = &ctx->snapshot->jobs[job];

	return !ctx->snapshot->classes[victim->class_index].urgent &&
	       size_of(victim) < size_of(&ctx->snapshot->jobs[reclaim->job]);
}

static bool may_stop(const struct cq_plan_context *ctx,
		     const struct reclaim *reclaim, uint32_t job)
{
	const struct cq_fleet_job *victim = &ctx->snapshot->jobs[job];
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[reclaim->job];
	uint32_t own_rank = ctx->jobs[reclaim->job].rank;

	if (ctx->jobs[job].leaving)
		return true;
	/*
	 * An urgent job takes the place of a job of its own workspace that is
	 * served later; that one is above the guarantee then.
	 */
	if (ctx->jobs[job].tier == CQ_TIER_GUARANTEED)
		return victim->workspace == entry->workspace &&
		       (reclaim->repack
				? may_repack(ctx, reclaim, job)
				: reclaim->urgent && reclaim->own_cells &&
					  ctx->jobs[job].rank > own_rank);
	if (ctx->jobs[job].tier != CQ_TIER_BORROWER)
		return false;
	if (reclaim->own_cells)
		return true;
	if (reclaim->urgent)
		return ctx->jobs[job].rank > own_rank;
	return ctx->jobs[job].rank >= own_rank &&
	       victim->evictions < ctx->policy->max_evictions &&
	       ctx->now_ns - victim->started_ns >= ctx->policy->min_run_ns &&
	       size_of(victim) < size_of(entry);
}

static int compare_victims(const void *a, const void *b)
{
	const struct victim *left = a;
	const struct victim *right = b;

	if (left->cost != right->cost)
		return left->cost < right->cost ? -1 : 1;
	return left->task < right->task ? -1 : left->task > right->task;
}

/*
 * Chooses tasks on a worker until the need fits, cheapest first, then spares
 * those that turned out superfluous, dearest first.
 */
static bool find_victims(const struct cq_plan_context *ctx,
			 const struct reclaim *reclaim, uint32_t worker,
			 struct cq_need need, struct victim *victims,
			 uint32_t *count, uint64_t *cost)
{
	const struct cq_plan_worker *entry = &ctx->workers[worker];
	struct cq_need room = entry->free;
	uint32_t found = 0;
	uint32_t used = 0;
	uint32_t i;
	uint32_t t;

	cq_need_subtract(&room, entry->held);
	*cost = 0;
	for (t = entry->first_task; t != CQ_NONE && found < MAX_VICTIMS;
	     t = ctx->tasks[t].next_on_worker) {
		uint32_t job = ctx->snapshot->tasks[t].job;
		const struct cq_fleet_job *owner = &ctx->snapshot->jobs[job];

		if (!may_stop(ctx, reclaim, job))
			continue;
		victims[found].task = t;
		victims[found].kept = false;
		victims[found].cost =
			ctx->jobs[job].leaving
				? 0
				: cq_lost_work_ms(ctx, job,
						  reclaim->deadline_ns) +
					  1;
		/* Tasks within the own guarantee go last. */
		if (ctx->jobs[job].tier == CQ_TIER_GUARANTEED)
			victims[found].cost *= 16;
		if (ctx->jobs[job].tier == CQ_TIER_BORROWER &&
		    owner->evictions >= ctx->policy->max_evictions)
			victims[found].cost *= 4;
		found++;
	}
	qsort(victims, found, sizeof(*victims), compare_victims);
	while (!cq_need_fits(need, room)) {
		if (used == found)
			return false;
		cq_need_add(&room, ctx->tasks[victims[used++].task].use);
	}
	for (i = used; i-- > 0;) {
		struct cq_need without = room;

		cq_need_subtract(&without, ctx->tasks[victims[i].task].use);
		victims[i].kept = victims[i].cost > 0 &&
				  cq_need_fits(need, without);
		if (victims[i].kept)
			room = without;
		else
			*cost += victims[i].cost;
	}
	*count = used;
	return true;
}

/* How many tasks can be freed room for on a worker, with the total cost. */
static uint32_t evaluate(const struct cq_plan_context *ctx,
			 const struct reclaim *reclaim, uint32_t worker,
			 uint32_t limit, uint64_t *cost)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[reclaim->job];
	struct victim victims[MAX_VICTIMS];
	uint32_t used;
	uint32_t tasks;

	for (tasks = limit; tasks > 0; tasks--)
		if (find_victims(ctx, reclaim, worker,
				 cq_job_need(entry, tasks), victims, &used,
				 cost))
			return tasks;
	return 0;
}

static bool has_region(const struct cq_plan_context *ctx, uint32_t worker,
		       const struct cq_fleet_job *entry)
{
	const struct cq_plan_worker *candidate = &ctx->workers[worker];

	return candidate->usable && ctx->dc_starts_left[candidate->dc] > 0 &&
	       (entry->dc == CQ_NONE || entry->dc == candidate->dc);
}

/* Stops the victims on the chosen workers and holds the room for the job. */
static void apply(struct cq_plan_context *ctx, const struct reclaim *reclaim)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[reclaim->job];
	struct victim victims[MAX_VICTIMS];
	uint32_t used;
	uint64_t cost;
	uint32_t i;
	uint32_t v;

	for (i = 0; i < ctx->chosen_count; i++) {
		uint32_t worker = ctx->chosen[i].worker;
		struct cq_need need = cq_job_need(entry, ctx->chosen[i].tasks);

		if (!find_victims(ctx, reclaim, worker, need, victims, &used,
				  &cost))
			continue;
		for (v = 0; v < used; v++) {
			uint32_t job =
				ctx->snapshot->tasks[victims[v].task].job;

			if (victims[v].kept)
				continue;
			if (ctx->jobs[job].leaving) {
				/* An earlier, later deadline is too late. */
				if (reclaim->urgent &&
				    ctx->now_ns >= reclaim->deadline_ns)
					cq_plan_stop(ctx, job, reclaim->reason,
						     reclaim->job);
				continue;
			}
			if (ctx->jobs[job].tier == CQ_TIER_GUARANTEED)
				cq_tiers_release(ctx, job);
			ctx->jobs[job].tier = CQ_TIER_NONE;
			cq_plan_evict(ctx, job, reclaim->reason, reclaim->job,
				      reclaim->deadline_ns);
		}
	}
	cq_holds_add(ctx, reclaim->job);
}

static int64_t reclaim_deadline_ns(const struct cq_plan_context *ctx,
				   uint32_t job, bool urgent)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	int64_t deadline_ns;

	if (!urgent)
		return ctx->now_ns + ctx->policy->checkpoint_grace_ns;
	deadline_ns = entry->submitted_ns + ctx->policy->urgent_start_ns -
		      ctx->policy->start_margin_ns;
	return MAX(deadline_ns, ctx->now_ns);
}

static bool is_urgent(const struct cq_plan_context *ctx, uint32_t job)
{
	return ctx->snapshot->classes[ctx->snapshot->jobs[job].class_index]
		.urgent;
}

/* Tasks that fit into own cells, in place of the own jobs that may stop. */
static uint32_t entitled_tasks(const struct cq_plan_context *ctx,
			       const struct reclaim *reclaim, uint32_t worker)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[reclaim->job];
	uint32_t entitled = 0;
	uint32_t p;
	uint32_t t;

	for (p = ctx->workers[worker].first_part; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_on_worker) {
		const struct cq_part *part = cq_part_at(ctx, p);
		uint32_t guarantee = ctx->cells[part->cell].guarantee;
		struct cq_need room = part->total;

		if (ctx->snapshot->guarantees[guarantee].workspace !=
		    entry->workspace)
			continue;
		cq_need_subtract(&room, part->used);
		for (t = ctx->workers[worker].first_task;
		     t != CQ_NONE && (reclaim->urgent || reclaim->repack);
		     t = ctx->tasks[t].next_on_worker) {
			uint32_t job = ctx->snapshot->tasks[t].job;

			if (ctx->tasks[t].part == p &&
			    may_stop(ctx, reclaim, job))
				cq_need_add(
					&room,
					cq_job_need(&ctx->snapshot->jobs[job],
						    1));
		}
		entitled += cq_need_count(room, entry, entry->tasks);
	}
	return MIN(entitled, entry->tasks);
}

static bool reclaim_own(struct cq_plan_context *ctx, uint32_t job, bool repack)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct reclaim reclaim = {
		.job = job,
		.own_cells = true,
		.repack = repack,
		.urgent = is_urgent(ctx, job),
		.reason = CQ_REASON_RECLAIM,
	};
	uint32_t all;
	uint32_t count = 0;
	uint64_t cost;
	uint32_t i;
	uint32_t k;

	if (entry->accelerators == 0)
		return false;
	reclaim.deadline_ns = reclaim_deadline_ns(ctx, job, reclaim.urgent);
	all = cq_place_collect_own(ctx, job);
	for (i = 0; i < all; i++) {
		uint32_t worker = ctx->candidates[i].worker;
		uint32_t limit = 0;
		uint64_t worker_cost = 0;

		if (has_region(ctx, worker, entry))
			limit = entitled_tasks(ctx, &reclaim, worker);
		if (limit)
			limit = evaluate(ctx, &reclaim, worker, limit,
					 &worker_cost);
		if (limit == 0)
			continue;
		ctx->candidates[count].worker = worker;
		ctx->candidates[count].tasks = limit;
		ctx->candidates[count].cost =
			worker_cost + cq_place_failure_cost(ctx, job, worker);
		count++;
	}
	if (!cq_place_choose(ctx, count, job, &cost))
		return false;
	apply(ctx, &reclaim);
	/* Other jobs of the workspace must not count on the same cells. */
	for (i = 0; i < ctx->chosen_count; i++)
		for (k = 0; k < ctx->chosen[i].tasks; k++) {
			struct cq_need need = cq_job_need(entry, 1);
			uint32_t part =
				cq_cells_find_part(ctx, entry->workspace,
						   ctx->chosen[i].worker, need);

			if (part != CQ_NONE)
				cq_cells_charge(ctx, part, need);
		}
	return true;
}

bool cq_reclaim_cells(struct cq_plan_context *ctx, uint32_t job)
{
	return reclaim_own(ctx, job, false);
}

bool cq_reclaim_repack(struct cq_plan_context *ctx, uint32_t job)
{
	return reclaim_own(ctx, job, true);
}

bool cq_reclaim_borrowed(struct cq_plan_context *ctx, uint32_t job,
			 int64_t wait_saved_ns)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct reclaim reclaim = {
		.job = job,
		.urgent = is_urgent(ctx, job),
	};
	double gain_ms = (double)wait_saved_ns / (double)CQ_NS_PER_MS *
			 entry->accelerators * entry->tasks;
	uint32_t count = 0;
	uint64_t cost;
	uint32_t i;

	reclaim.reason = reclaim.urgent ? CQ_REASON_PREEMPTED : CQ_REASON_MOVED;
	reclaim.deadline_ns = reclaim_deadline_ns(ctx, job, reclaim.urgent);
	for (i = 0; i < ctx->snapshot->worker_count; i++) {
		uint32_t worker = ctx->order[i];
		uint64_t worker_cost = 0;
		uint32_t limit;

		if (!has_region(ctx, worker, entry))
			continue;
		limit = cq_need_count(ctx->workers[worker].total, entry,
				      entry->tasks);
		if (limit)
			limit = evaluate(ctx, &reclaim, worker, limit,
					 &worker_cost);
		if (limit == 0)
			continue;
		ctx->candidates[count].worker = worker;
		ctx->candidates[count].tasks = limit;
		ctx->candidates[count].cost =
			worker_cost + cq_place_failure_cost(ctx, job, worker);
		count++;
	}
	if (!cq_place_choose(ctx, count, job, &cost))
		return false;
	if (!reclaim.urgent &&
	    (double)cost * ctx->policy->move_gain_permille / PERMILLE >=
		    gain_ms)
		return false;
	apply(ctx, &reclaim);
	return true;
}
