/*
 * Choice of workers for a gang, on capacity that is free now.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

/* Workers tried for a cell that would have to move there. */
#define MAX_REBIND_TRIES 32

/* Order of preference among workers, as the high bits of a cost. */
#define COST_INTRUDES (UINT64_C(1) << 32)
#define COST_OPENS_CELL (UINT64_C(1) << 40)
#define COST_FAILED_BEFORE (UINT64_C(1) << 48)

static bool charge_chosen(struct cq_plan_context *ctx, uint32_t job,
			  uint32_t *parts);
static uint64_t free_cost(const struct cq_plan_context *ctx, uint32_t worker,
			  int64_t accelerators);

bool cq_place_room(const struct cq_plan_context *ctx, uint32_t job,
		   uint32_t worker, struct cq_need *room, bool *was_reserved)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	const struct cq_plan_worker *candidate = &ctx->workers[worker];
	int64_t end_ns = ctx->now_ns + 2 * ctx->jobs[job].predicted_run_ns;

	if (!candidate->usable || ctx->dc_starts_left[candidate->dc] == 0 ||
	    (entry->dc != CQ_NONE && entry->dc != candidate->dc))
		return false;
	*room = candidate->free;
	cq_need_subtract(room, candidate->held);
	/*
	 * Run times are often longer than predicted, so a job may pass a
	 * reservation only if twice its predicted run time ends before.
	 */
	if (end_ns > candidate->reserved_from_ns) {
		if (was_reserved && candidate->reserved.accelerators > 0)
			*was_reserved = true;
		cq_need_subtract(room, candidate->reserved);
	}
	return true;
}

/*
 * Capacity outside of unused cells comes first, since what runs there is not
 * reclaimed; then the worker that is left with the least free, which keeps
 * whole workers for large jobs.
 */
static uint64_t free_cost(const struct cq_plan_context *ctx, uint32_t worker,
			  int64_t accelerators)
{
	const struct cq_plan_worker *entry = &ctx->workers[worker];
	int64_t unused = (int64_t)entry->cell_accelerators - entry->cell_used;
	int64_t left = entry->free.accelerators - accelerators;
	uint64_t cost = (uint64_t)MAX(left, 0) << 8;

	if (left < unused)
		cost += COST_INTRUDES;
	return cost;
}

uint64_t cq_place_failure_cost(const struct cq_plan_context *ctx, uint32_t job,
			       uint32_t worker)
{
	if (!ctx->jobs[job].failed_before ||
	    !cq_health_failed_on(ctx->planner->health,
				 ctx->snapshot->jobs[job].id,
				 ctx->snapshot->workers[worker].name))
		return 0;
	return COST_FAILED_BEFORE;
}

static int compare_candidates(const void *a, const void *b)
{
	const struct cq_candidate *left = a;
	const struct cq_candidate *right = b;

	if (left->cost != right->cost)
		return left->cost < right->cost ? -1 : 1;
	if (left->tasks != right->tasks)
		return left->tasks > right->tasks ? -1 : 1;
	return left->worker < right->worker ? -1 : 1;
}

/* Takes workers of one region in ascending order of cost. */
static uint32_t take(const struct cq_candidate *candidates, uint32_t count,
		     uint32_t tasks, struct cq_candidate *taken, uint64_t *cost)
{
	uint32_t used = 0;
	uint32_t i;

	*cost = 0;
	for (i = 0; i < count && tasks > 0; i++) {
		taken[used] = candidates[i];
		taken[used].tasks = MIN(candidates[i].tasks, tasks);
		tasks -= taken[used].tasks;
		*cost += candidates[i].cost;
		used++;
	}
	return used;
}

/* By cost, then by position, so that the order of candidates is no matter. */
static bool is_before(const struct cq_plan_context *ctx, uint32_t candidate,
		      uint32_t other)
{
	const struct cq_candidate *left = &ctx->candidates[candidate];
	const struct cq_candidate *right = &ctx->candidates[other];

	if (left->cost != right->cost)
		return left->cost < right->cost;
	return ctx->workers[left->worker].position <
	       ctx->workers[right->worker].position;
}

static bool choose_one(struct cq_plan_context *ctx, uint32_t count,
		       uint64_t *cost)
{
	uint32_t best = CQ_NONE;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (best == CQ_NONE || is_before(ctx, i, best))
			best = i;
	if (best == CQ_NONE)
		return false;
	ctx->chosen[0] = ctx->candidates[best];
	ctx->chosen[0].tasks = 1;
	ctx->chosen_count = 1;
	*cost = ctx->candidates[best].cost;
	return true;
}

bool cq_place_choose(struct cq_plan_context *ctx, uint32_t count, uint32_t job,
		     uint64_t *cost)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_candidate taken[CQ_FLEET_MAX_GANG];
	uint64_t region_cost;
	bool found = false;
	uint32_t begin;
	uint32_t end;
	uint32_t used;

	if (entry->tasks == 1)
		return choose_one(ctx, count, cost);
	for (begin = 0; begin < count; begin = end) {
		uint32_t region = cq_region_of(
			ctx, ctx->candidates[begin].worker, entry->adjacency);
		uint32_t sum = 0;

		for (end = begin; end < count &&
				  cq_region_of(ctx, ctx->candidates[end].worker,
					       entry->adjacency) == region;
		     end++)
			sum += ctx->candidates[end].tasks;
		if (sum < entry->tasks)
			continue;
		if (end - begin > 1)
			qsort(ctx->candidates + begin, end - begin,
			      sizeof(*ctx->candidates), compare_candidates);
		used = take(ctx->candidates + begin, end - begin, entry->tasks,
			    taken, &region_cost);
		if (found && region_cost >= *cost)
			continue;
		found = true;
		*cost = region_cost;
		ctx->chosen_count = used;
		memcpy(ctx->chosen, taken, used * sizeof(*taken));
	}
	return found;
}

static void drop_full_workers(struct cq_plan_context *ctx)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < ctx->free_count; i++)
		if (ctx->workers[ctx->free_order[i]].free.accelerators > 0)
			ctx->free_order[kept++] = ctx->free_order[i];
	ctx->free_count = kept;
}

static uint32_t collect_free(struct cq_plan_context *ctx, uint32_t job,
			     bool *was_reserved)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	const uint32_t *list = ctx->order;
	uint32_t limit = ctx->snapshot->worker_count;
	uint32_t count = 0;
	uint32_t i;

	if (entry->accelerators > 0) {
		drop_full_workers(ctx);
		list = ctx->free_order;
		limit = ctx->free_count;
	}
	for (i = 0; i < limit; i++) {
		uint32_t worker = list[i];
		struct cq_need room;
		uint32_t tasks;

		if (ctx->workers[worker].free.accelerators <
			    entry->accelerators ||
		    !cq_place_room(ctx, job, worker, &room, was_reserved))
			continue;
		tasks = cq_need_count(room, entry, entry->tasks);
		if (tasks == 0)
			continue;
		ctx->candidates[count].worker = worker;
		ctx->candidates[count].tasks = tasks;
		ctx->candidates[count].cost =
			free_cost(ctx, worker,
				  (int64_t)tasks * entry->accelerators) +
			cq_place_failure_cost(ctx, job, worker);
		count++;
	}
	return count;
}

bool cq_place_free(struct cq_plan_context *ctx, uint32_t job,
		   bool *was_reserved)
{
	uint32_t count = collect_free(ctx, job, was_reserved);
	uint64_t cost;

	return cq_place_choose(ctx, count, job, &cost);
}

static int compare_positions(const void *a, const void *b, void *data)
{
	const struct cq_plan_worker *workers = data;
	const struct cq_candidate *left = a;
	const struct cq_candidate *right = b;
	uint32_t l = workers[left->worker].position;
	uint32_t r = workers[right->worker].position;

	return l < r ? -1 : l > r;
}

uint32_t cq_place_collect_own(struct cq_plan_context *ctx, uint32_t job)
{
	uint32_t workspace = ctx->snapshot->jobs[job].workspace;
	uint32_t count = 0;
	uint32_t p;
	uint32_t i;

	for (p = ctx->workspace_parts[workspace]; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_of_workspace) {
		uint32_t worker = cq_part_at(ctx, p)->worker;

		if (ctx->workers[worker].marked || !ctx->workers[worker].usable)
			continue;
		ctx->workers[worker].marked = true;
		ctx->candidates[count].worker = worker;
		ctx->candidates[count].tasks = 0;
		ctx->candidates[count].cost = 0;
		count++;
	}
	for (i = 0; i < count; i++)
		ctx->workers[ctx->candidates[i].worker].marked = false;
	if (ctx->snapshot->jobs[job].tasks > 1)
		qsort_r(ctx->candidates, count, sizeof(*ctx->candidates),
			compare_positions, ctx->workers);
	return count;
}

/*
 * Charges every task on the chosen workers to a cell, moving unused cells
 * there when needed. Undoes the charges and returns false if one has none.
 */
static bool charge_chosen(struct cq_plan_context *ctx, uint32_t job,
			  uint32_t *parts)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_need need = cq_job_need(entry, 1);
	uint32_t charged = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < ctx->chosen_count; i++)
		for (k = 0; k < ctx->chosen[i].tasks; k++) {
			uint32_t worker = ctx->chosen[i].worker;
			uint32_t part = cq_cells_find_part(
				ctx, entry->workspace, worker, need);

			if (part == CQ_NONE &&
			    cq_cells_rebind(ctx, entry->workspace, worker,
					    need))
				part = cq_cells_find_part(ctx, entry->workspace,
							  worker, need);
			if (part == CQ_NONE) {
				while (charged > 0)
					cq_cells_uncharge(ctx, parts[--charged],
							  need);
				return false;
			}
			cq_cells_charge(ctx, part, need);
			parts[charged++] = part;
		}
	return true;
}

/*
 * A small job takes no whole cell while a cell in use has room for it;
 * otherwise small jobs would break up the shapes of their own workspace.
 */
bool cq_place_spares_cells(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_need need = cq_job_need(entry, 1);

	return entry->tasks == 1 &&
	       need.accelerators <
		       cq_cells_smallest(ctx, entry->workspace, need) &&
	       cq_cells_has_open_part(ctx, entry->workspace, need);
}

/* Places the job on own cells that are free. */
static bool choose_own(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	bool spares = cq_place_spares_cells(ctx, job);
	uint32_t all = cq_place_collect_own(ctx, job);
	uint32_t count = 0;
	uint64_t cost;
	uint32_t i;

	for (i = 0; i < all; i++) {
		uint32_t worker = ctx->candidates[i].worker;
		struct cq_need room;
		uint32_t entitled = 0;
		bool opens_cell = true;
		uint32_t tasks;
		uint32_t p;

		if (ctx->workers[worker].free.accelerators <
			    entry->accelerators ||
		    !cq_place_room(ctx, job, worker, &room, NULL))
			continue;
		for (p = ctx->workers[worker].first_part; p != CQ_NONE;
		     p = cq_part_at(ctx, p)->next_on_worker) {
			const struct cq_part *part = cq_part_at(ctx, p);
			uint32_t guarantee = ctx->cells[part->cell].guarantee;
			struct cq_need unused = part->total;

			if (ctx->snapshot->guarantees[guarantee].workspace !=
			    entry->workspace)
				continue;
			cq_need_subtract(&unused, part->used);
			entitled += cq_need_count(unused, entry, entry->tasks);
			if (ctx->cells[part->cell].used > 0 &&
			    cq_need_count(unused, entry, 1))
				opens_cell = false;
		}
		tasks = MIN(entitled, cq_need_count(room, entry, entry->tasks));
		if (tasks == 0 || (opens_cell && spares))
			continue;
		ctx->candidates[count].worker = worker;
		ctx->candidates[count].tasks = tasks;
		ctx->candidates[count].cost =
			/* Whole cells are kept for jobs as large as they. */
			(opens_cell ? COST_OPENS_CELL : 0) +
			((uint64_t)(room.accelerators -
				    (int64_t)tasks * entry->accelerators)
			 << 8) +
			cq_place_failure_cost(ctx, job, worker);
		count++;
	}
	return cq_place_choose(ctx, count, job, &cost);
}

/* Places the job on free workers that unused cells can move to. */
static bool rebind_and_charge(struct cq_plan_context *ctx, uint32_t job,
			      uint32_t *parts)
{
	uint32_t count;
	uint64_t cost;
	uint32_t i;

	if (cq_place_spares_cells(ctx, job))
		return false;
	count = collect_free(ctx, job, NULL);
	if (ctx->snapshot->jobs[job].tasks > 1)
		return cq_place_choose(ctx, count, job, &cost) &&
		       charge_chosen(ctx, job, parts);
	qsort(ctx->candidates, count, sizeof(*ctx->candidates),
	      compare_candidates);
	for (i = 0; i < MIN(count, MAX_REBIND_TRIES); i++) {
		ctx->chosen[0] = ctx->candidates[i];
		ctx->chosen[0].tasks = 1;
		ctx->chosen_count = 1;
		if (charge_chosen(ctx, job, parts))
			return true;
	}
	return false;
}

bool cq_place_guaranteed(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	uint32_t parts[CQ_FLEET_MAX_GANG] = { 0 };

	if (entry->accelerators == 0 ||
	    ctx->workspace_unused[entry->workspace] <
		    (int64_t)entry->accelerators * entry->tasks)
		return false;
	if (!(choose_own(ctx, job) && charge_chosen(ctx, job, parts)) &&
	    !rebind_and_charge(ctx, job, parts))
		return false;
	cq_place_start(ctx, job, CQ_REASON_GUARANTEED, parts);
	return true;
}

static uint64_t lowest_bits(uint64_t mask, uint32_t count)
{
	uint64_t taken = 0;

	while (count-- > 0) {
		uint64_t bit = mask & -mask;

		taken |= bit;
		mask &= ~bit;
	}
	return taken;
}

void cq_place_start(struct cq_plan_context *ctx, uint32_t job,
		    enum cq_reason reason, const uint32_t *parts)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_placement *placements =
		g_new0(struct cq_placement, entry->tasks);
	struct cq_action *action;
	uint32_t rank = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < ctx->chosen_count; i++) {
		struct cq_plan_worker *worker =
			&ctx->workers[ctx->chosen[i].worker];

		for (k = 0; k < ctx->chosen[i].tasks; k++, rank++) {
			uint64_t mask = lowest_bits(worker->free_mask,
						    entry->accelerators);

			placements[rank].worker = ctx->chosen[i].worker;
			placements[rank].accelerator_mask = mask;
			if (parts)
				placements[rank].cell =
					cq_part_at(ctx, parts[rank])->label;
			worker->free_mask &= ~mask;
			cq_need_subtract(&worker->free, cq_job_need(entry, 1));
		}
	}
	ctx->free_accelerators -= (int64_t)entry->accelerators * entry->tasks;
	ctx->starts_left--;
	ctx->dc_starts_left[ctx->workers[ctx->chosen[0].worker].dc]--;
	ctx->jobs[job].tier = parts ? CQ_TIER_GUARANTEED : CQ_TIER_BORROWER;
	action = cq_plan_add_action(ctx, CQ_ACTION_START, reason, job);
	action->placements = placements;
	action->placement_count = rank;
	action->predicted_end_ns =
		ctx->now_ns + ctx->jobs[job].predicted_run_ns;
}
