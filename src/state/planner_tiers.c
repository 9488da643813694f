/*
 * Which running jobs are within a guarantee, and the late binding of cells.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

/* Bounds the time of a plan for a workspace with very many cells. */
#define MAX_PARTS_TRIED 64

static bool charge_labelled(struct cq_plan_context *ctx, uint32_t job);
static bool charge_anywhere(struct cq_plan_context *ctx, uint32_t job);

uint32_t cq_cells_find_part(const struct cq_plan_context *ctx,
			    uint32_t workspace, uint32_t worker,
			    struct cq_need need)
{
	uint32_t best = CQ_NONE;
	int64_t best_room = INT64_MAX;
	uint32_t p;

	for (p = ctx->workers[worker].first_part; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_on_worker) {
		const struct cq_part *part = cq_part_at(ctx, p);
		const struct cq_cell *cell = &ctx->cells[part->cell];
		struct cq_need room = part->total;

		if (ctx->snapshot->guarantees[cell->guarantee].workspace !=
		    workspace)
			continue;
		cq_need_subtract(&room, part->used);
		if (cq_need_fits(need, room) && room.accelerators < best_room) {
			best = p;
			best_room = room.accelerators;
		}
	}
	return best;
}

void cq_cells_charge(struct cq_plan_context *ctx, uint32_t part,
		     struct cq_need need)
{
	struct cq_part *entry = cq_part_at(ctx, part);
	struct cq_cell *cell = &ctx->cells[entry->cell];
	uint32_t workspace =
		ctx->snapshot->guarantees[cell->guarantee].workspace;

	cq_need_add(&entry->used, need);
	cell->used += (uint32_t)need.accelerators;
	ctx->workers[entry->worker].cell_used += (uint32_t)need.accelerators;
	ctx->workspace_unused[workspace] -= need.accelerators;
}

void cq_cells_uncharge(struct cq_plan_context *ctx, uint32_t part,
		       struct cq_need need)
{
	struct cq_part *entry = cq_part_at(ctx, part);
	struct cq_cell *cell = &ctx->cells[entry->cell];
	uint32_t workspace =
		ctx->snapshot->guarantees[cell->guarantee].workspace;

	cq_need_subtract(&entry->used, need);
	cell->used -= (uint32_t)need.accelerators;
	ctx->workers[entry->worker].cell_used -= (uint32_t)need.accelerators;
	ctx->workspace_unused[workspace] += need.accelerators;
}

void cq_tiers_release(struct cq_plan_context *ctx, uint32_t job)
{
	struct cq_need need = cq_job_need(&ctx->snapshot->jobs[job], 1);
	uint32_t t;

	for (t = ctx->jobs[job].first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_of_job) {
		if (ctx->tasks[t].part != CQ_NONE)
			cq_cells_uncharge(ctx, ctx->tasks[t].part, need);
		ctx->tasks[t].part = CQ_NONE;
	}
	ctx->jobs[job].tier = CQ_TIER_NONE;
}

int64_t cq_cells_smallest(const struct cq_plan_context *ctx, uint32_t workspace,
			  struct cq_need need)
{
	int64_t smallest = INT64_MAX / 4;
	uint32_t p;

	for (p = ctx->workspace_parts[workspace];
	     p != CQ_NONE && smallest > need.accelerators;
	     p = cq_part_at(ctx, p)->next_of_workspace)
		if (cq_part_at(ctx, p)->total.accelerators >= need.accelerators)
			smallest = MIN(smallest,
				       cq_part_at(ctx, p)->total.accelerators);
	return smallest;
}

bool cq_cells_fills_part(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_need need = cq_job_need(entry, 1);

	return need.accelerators * 2 >
	       cq_cells_smallest(ctx, entry->workspace, need);
}

/* Whether an unused part may stand on the worker instead. */
static bool may_move(const struct cq_plan_context *ctx, uint32_t part,
		     uint32_t worker)
{
	const struct cq_part *entry = cq_part_at(ctx, part);
	const struct cq_cell *cell = &ctx->cells[entry->cell];
	enum cq_adjacency adjacency =
		ctx->snapshot->guarantees[cell->guarantee].adjacency;

	if (entry->used.accelerators || entry->used.millicores ||
	    entry->used.memory_bytes || entry->worker == worker)
		return false;
	/* The other parts of the cell stay, so this one stays near them. */
	return cell->part_count == 1 ||
	       cq_region_of(ctx, entry->worker, adjacency) ==
		       cq_region_of(ctx, worker, adjacency);
}

/* An unused part on the worker that can change places with the other one. */
static uint32_t find_swap(const struct cq_plan_context *ctx, uint32_t worker,
			  uint32_t other)
{
	uint32_t size = (uint32_t)cq_part_at(ctx, other)->total.accelerators;
	uint32_t from = cq_part_at(ctx, other)->worker;
	uint32_t p;

	for (p = ctx->workers[worker].first_part; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_on_worker) {
		uint32_t leaves =
			(uint32_t)cq_part_at(ctx, p)->total.accelerators;

		if (may_move(ctx, p, from) &&
		    cq_cells_room(ctx, worker) + leaves >= size &&
		    cq_cells_room(ctx, from) + size >= leaves)
			return p;
	}
	return CQ_NONE;
}

bool cq_cells_rebind(struct cq_plan_context *ctx, uint32_t workspace,
		     uint32_t worker, struct cq_need need)
{
	const struct cq_pworker *entry = &ctx->workers[worker];
	uint32_t tries = MAX_PARTS_TRIED;
	uint32_t p;

	if (!entry->usable || entry->total.accelerators == 0)
		return false;
	for (p = ctx->workspace_parts[workspace]; p != CQ_NONE && tries > 0;
	     p = cq_part_at(ctx, p)->next_of_workspace, tries--) {
		uint32_t from = cq_part_at(ctx, p)->worker;
		uint32_t size =
			(uint32_t)cq_part_at(ctx, p)->total.accelerators;
		uint32_t swap = CQ_NONE;

		/* The part brings its share of the cores and memory along. */
		if (need.accelerators > size || !may_move(ctx, p, worker) ||
		    need.millicores * entry->total.accelerators >
			    entry->total.millicores * size ||
		    need.memory_bytes >
			    entry->total.memory_bytes / 1024 * size /
				    entry->total.accelerators * 1024)
			continue;
		if (cq_cells_room(ctx, worker) < size) {
			swap = find_swap(ctx, worker, p);
			if (swap == CQ_NONE)
				continue;
			cq_cells_move_part(ctx, swap, from);
		}
		cq_cells_move_part(ctx, p, worker);
		return true;
	}
	return false;
}

bool cq_cells_has_open_part(const struct cq_plan_context *ctx,
			    uint32_t workspace, struct cq_need need)
{
	uint32_t p;

	for (p = ctx->workspace_parts[workspace]; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_of_workspace) {
		const struct cq_part *part = cq_part_at(ctx, p);
		struct cq_need room = part->total;

		cq_need_subtract(&room, part->used);
		if (part->used.accelerators && cq_need_fits(need, room))
			return true;
	}
	return false;
}

static uint32_t labelled_part(const struct cq_plan_context *ctx, uint32_t task,
			      struct cq_need need)
{
	const struct cq_fleet_task *entry = &ctx->snapshot->tasks[task];
	uint32_t p;

	for (p = ctx->workers[entry->worker].first_part; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_on_worker) {
		const struct cq_part *part = cq_part_at(ctx, p);
		const struct cq_cell *cell = &ctx->cells[part->cell];
		struct cq_need room = part->total;

		cq_need_subtract(&room, part->used);
		if (part->label == entry->cell && cq_need_fits(need, room) &&
		    ctx->snapshot->guarantees[cell->guarantee].workspace ==
			    ctx->snapshot->jobs[entry->job].workspace)
			return p;
	}
	return CQ_NONE;
}

static bool charge_labelled(struct cq_plan_context *ctx, uint32_t job)
{
	struct cq_need need = cq_job_need(&ctx->snapshot->jobs[job], 1);
	bool any = false;
	uint32_t t;

	for (t = ctx->jobs[job].first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_of_job) {
		uint32_t part;

		if (!ctx->workers[ctx->snapshot->tasks[t].worker].usable)
			continue;
		part = ctx->snapshot->tasks[t].cell
			       ? labelled_part(ctx, t, need)
			       : CQ_NONE;
		if (part == CQ_NONE) {
			cq_tiers_release(ctx, job);
			return false;
		}
		ctx->tasks[t].part = part;
		cq_cells_charge(ctx, part, need);
		any = true;
	}
	if (any)
		ctx->jobs[job].tier = CQ_TIER_GUARANTEED;
	return any;
}

/* Charges a job to unused cells of its workspace, wherever it runs. */
static bool charge_anywhere(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_need need = cq_job_need(entry, 1);
	uint32_t t;

	if (need.accelerators == 0 ||
	    ctx->workspace_unused[entry->workspace] <
		    need.accelerators * (int64_t)ctx->jobs[job].task_count)
		return false;
	for (t = ctx->jobs[job].first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_of_job) {
		uint32_t worker = ctx->snapshot->tasks[t].worker;
		uint32_t part =
			cq_cells_find_part(ctx, entry->workspace, worker, need);

		/* A small job must not take up a large cell. */
		if (part == CQ_NONE && cq_cells_fills_part(ctx, job) &&
		    cq_cells_rebind(ctx, entry->workspace, worker, need))
			part = cq_cells_find_part(ctx, entry->workspace, worker,
						  need);
		if (part == CQ_NONE) {
			cq_tiers_release(ctx, job);
			return false;
		}
		ctx->tasks[t].part = part;
		cq_cells_charge(ctx, part, need);
	}
	ctx->jobs[job].tier = CQ_TIER_GUARANTEED;
	return true;
}

static int compare_borrowers(const void *a, const void *b, void *data)
{
	const struct cq_plan_context *ctx = data;
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;
	int64_t left_ns = ctx->snapshot->jobs[left].started_ns;
	int64_t right_ns = ctx->snapshot->jobs[right].started_ns;

	if (ctx->jobs[left].rank != ctx->jobs[right].rank)
		return ctx->jobs[left].rank < ctx->jobs[right].rank ? -1 : 1;
	if (left_ns != right_ns)
		return left_ns < right_ns ? -1 : 1;
	return left < right ? -1 : left > right;
}

void cq_plan_tiers(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t *borrowers = g_new(uint32_t, snapshot->job_count + 1);
	uint32_t count = 0;
	uint32_t i;
	uint32_t t;

	for (i = 0; i < snapshot->job_count; i++) {
		bool on_usable = false;

		if (snapshot->jobs[i].state != CQ_JOB_RUNNING ||
		    ctx->jobs[i].leaving)
			continue;
		for (t = ctx->jobs[i].first_task; t != CQ_NONE;
		     t = ctx->tasks[t].next_of_job)
			on_usable =
				on_usable ||
				ctx->workers[snapshot->tasks[t].worker].usable;
		if (!on_usable || charge_labelled(ctx, i))
			continue;
		ctx->jobs[i].tier = CQ_TIER_BORROWER;
		borrowers[count++] = i;
	}
	/*
	 * Borrowers move into cells that became unused, those of the class
	 * served first before others.
	 */
	qsort_r(borrowers, count, sizeof(*borrowers), compare_borrowers, ctx);
	for (i = 0; i < count; i++)
		if (!charge_anywhere(ctx, borrowers[i]))
			ctx->jobs[borrowers[i]].tier = CQ_TIER_BORROWER;
	for (i = 0; i < snapshot->job_count; i++)
		if (ctx->jobs[i].tier == CQ_TIER_BORROWER)
			ctx->workspace_borrowed[snapshot->jobs[i].workspace] +=
				(int64_t)snapshot->jobs[i].accelerators *
				snapshot->jobs[i].tasks;
	g_free(borrowers);
}
