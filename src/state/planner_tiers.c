/*
 * Which running jobs are within a guarantee, and the late binding of cells.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

/* Numbers of accelerators of a part, 0 included. */
#define SIZES (CQ_FLEET_MAX_ACCELERATORS + 1)

/* A borrower with what it is sorted by. */
struct borrower {
	int64_t started_ns;
	uint32_t rank;
	uint32_t job;
};

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
	ctx->unused_parts[workspace].is_current = false;
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
	ctx->unused_parts[workspace].is_current = false;
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
	uint8_t smallest = 0;

	if (need.accelerators <= CQ_FLEET_MAX_ACCELERATORS)
		smallest = ctx->smallest_parts[workspace * SIZES +
					       need.accelerators];
	return smallest ? smallest : INT64_MAX / 4;
}

/* The sizes of the parts stay as they are when parts move. */
static void index_part_sizes(struct cq_plan_context *ctx)
{
	uint32_t w;
	uint32_t p;
	uint32_t i;

	ctx->smallest_parts = g_new0(
		uint8_t, ((gsize)ctx->snapshot->workspace_count + 1) * SIZES);
	for (w = 0; w < ctx->snapshot->workspace_count; w++) {
		uint8_t *sizes = &ctx->smallest_parts[w * SIZES];

		for (p = ctx->workspace_parts[w]; p != CQ_NONE;
		     p = cq_part_at(ctx, p)->next_of_workspace) {
			int64_t size = cq_part_at(ctx, p)->total.accelerators;

			sizes[size] = (uint8_t)size;
		}
		for (i = SIZES - 1; i-- > 0;)
			if (sizes[i] == 0)
				sizes[i] = sizes[i + 1];
	}
}

bool cq_cells_fills_part(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_need need = cq_job_need(entry, 1);

	return need.accelerators * 2 >
	       cq_cells_smallest(ctx, entry->workspace, need);
}

static bool is_unused(const struct cq_part *part)
{
	return !part->used.accelerators && !part->used.millicores &&
	       !part->used.memory_bytes;
}

/* Whether an unused part may stand on the worker instead. */
static bool may_move(const struct cq_plan_context *ctx, uint32_t part,
		     uint32_t worker)
{
	const struct cq_part *entry = cq_part_at(ctx, part);
	const struct cq_cell *cell = &ctx->cells[entry->cell];
	enum cq_adjacency adjacency =
		ctx->snapshot->guarantees[cell->guarantee].adjacency;

	if (!is_unused(entry) || entry->worker == worker)
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

/* The largest part that a worker could take in by giving one part away. */
static int64_t largest_room(const struct cq_plan_context *ctx, uint32_t worker)
{
	int64_t leaves = 0;
	uint32_t p;

	for (p = ctx->workers[worker].first_part; p != CQ_NONE;
	     p = cq_part_at(ctx, p)->next_on_worker)
		if (cq_part_at(ctx, p)->used.accelerators == 0)
			leaves = MAX(leaves,
				     cq_part_at(ctx, p)->total.accelerators);
	return cq_cells_room(ctx, worker) + leaves;
}

static const struct cq_unused_parts *
unused_parts_of(struct cq_plan_context *ctx, uint32_t workspace)
{
	struct cq_unused_parts *unused = &ctx->unused_parts[workspace];
	uint32_t tries = CQ_MAX_PARTS_TRIED;
	uint32_t p;

	if (unused->is_current)
		return unused;
	unused->count = 0;
	unused->is_current = true;
	for (p = ctx->workspace_parts[workspace]; p != CQ_NONE && tries > 0;
	     p = cq_part_at(ctx, p)->next_of_workspace, tries--)
		if (is_unused(cq_part_at(ctx, p)))
			unused->parts[unused->count++] = p;
	return unused;
}

bool cq_cells_rebind(struct cq_plan_context *ctx, uint32_t workspace,
		     uint32_t worker, struct cq_need need)
{
	const struct cq_plan_worker *entry = &ctx->workers[worker];
	const struct cq_unused_parts *unused;
	uint32_t i;

	if (!entry->usable || entry->total.accelerators == 0 ||
	    largest_room(ctx, worker) < need.accelerators)
		return false;
	unused = unused_parts_of(ctx, workspace);
	for (i = 0; i < unused->count; i++) {
		uint32_t p = unused->parts[i];
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

static int compare_borrowers(const void *a, const void *b)
{
	const struct borrower *left = a;
	const struct borrower *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->started_ns != right->started_ns)
		return left->started_ns < right->started_ns ? -1 : 1;
	return left->job < right->job ? -1 : left->job > right->job;
}

void cq_plan_tiers(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	struct borrower *borrowers =
		g_new(struct borrower, snapshot->job_count + 1);
	uint32_t count = 0;
	uint32_t i;
	uint32_t t;

	index_part_sizes(ctx);
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
		borrowers[count].started_ns = snapshot->jobs[i].started_ns;
		borrowers[count].rank = ctx->jobs[i].rank;
		borrowers[count++].job = i;
	}
	/*
	 * Borrowers move into cells that became unused, those of the class
	 * served first before others.
	 */
	qsort(borrowers, count, sizeof(*borrowers), compare_borrowers);
	for (i = 0; i < count; i++)
		if (!charge_anywhere(ctx, borrowers[i].job))
			ctx->jobs[borrowers[i].job].tier = CQ_TIER_BORROWER;
	for (i = 0; i < snapshot->job_count; i++)
		if (ctx->jobs[i].tier == CQ_TIER_BORROWER)
			ctx->workspace_borrowed[snapshot->jobs[i].workspace] +=
				(int64_t)snapshot->jobs[i].accelerators *
				snapshot->jobs[i].tasks;
	g_free(borrowers);
}
