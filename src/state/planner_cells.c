/*
 * Cells: where the guaranteed shapes stand.
 *
 * Every shape of every guarantee is assigned to a cell, a number of
 * accelerators on certain workers together with the same share of their cores
 * and memory. The cells on a worker never exceed the worker, and only tasks of
 * the own workspace are charged to a cell. So all shapes can be carved out
 * together, at any time, by stopping tasks that are not charged: the
 * borrowers. Accelerators of one worker are interchangeable, which makes a
 * cell on a worker a count and no set of accelerators.
 *
 * Cells in use stay where they are. Unused ones are bound to a place late, as
 * in HiveD (OSDI 2020): they move to where there is free capacity, so that
 * most starts within a guarantee stop nobody.
 */
#include "state/planner_internal.h"

#include <stdlib.h>
#include <string.h>

#define REPLACE_NS (60 * CQ_NS_PER_S)

/* Cells in their last places; kept between calls, by name of the worker. */
struct cq_standing {
	GHashTable *cells; /* label to GArray of struct standing_part */
	/* The state in which placing all unused cells anew did not help. */
	int64_t short_accelerators;
	uint32_t short_cells;
	int64_t short_at_ns;
};

struct standing_part {
	char *worker;
	uint32_t index; /* in the last snapshot */
	uint32_t accelerators;
};

static uint64_t cell_label(const struct cq_plan_context *ctx,
			   const struct cq_cell *cell);
static void enumerate_cells(struct cq_plan_context *ctx);
static void keep_standing(struct cq_plan_context *ctx);
static void place_labelled(struct cq_plan_context *ctx);
static void place_missing(struct cq_plan_context *ctx);

static void free_parts(gpointer data)
{
	GArray *parts = data;
	uint32_t i;

	for (i = 0; i < parts->len; i++)
		g_free(g_array_index(parts, struct standing_part, i).worker);
	g_array_free(parts, TRUE);
}

struct cq_standing *cq_standing_create(void)
{
	struct cq_standing *standing = g_new0(struct cq_standing, 1);

	standing->cells = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, free_parts);
	standing->short_accelerators = -1;
	return standing;
}

void cq_standing_destroy(struct cq_standing *standing)
{
	if (!standing)
		return;
	g_hash_table_destroy(standing->cells);
	g_free(standing);
}

static const struct cq_fleet_guarantee *
guarantee_of(const struct cq_plan_context *ctx, const struct cq_cell *cell)
{
	return &ctx->snapshot->guarantees[cell->guarantee];
}

static uint64_t cell_label(const struct cq_plan_context *ctx,
			   const struct cq_cell *cell)
{
	return ((uint64_t)guarantee_of(ctx, cell)->id << 32) |
	       (cell->ordinal + 1);
}

static int compare_cells(const void *a, const void *b, void *data)
{
	const struct cq_fleet_guarantee *guarantees = data;
	const struct cq_cell *left = a;
	const struct cq_cell *right = b;
	const struct cq_fleet_guarantee *l = &guarantees[left->guarantee];
	const struct cq_fleet_guarantee *r = &guarantees[right->guarantee];

	if (l->accelerators != r->accelerators)
		return l->accelerators > r->accelerators ? -1 : 1;
	if (l->adjacency != r->adjacency)
		return l->adjacency < r->adjacency ? -1 : 1;
	if (left->guarantee != right->guarantee)
		return left->guarantee < right->guarantee ? -1 : 1;
	return left->ordinal < right->ordinal ? -1 : 1;
}

/* Lists all cells, those that are hardest to place first. */
static void enumerate_cells(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t total = 0;
	uint32_t g;
	uint32_t i;

	for (g = 0; g < snapshot->guarantee_count; g++)
		total += snapshot->guarantees[g].count;
	ctx->cells = g_new0(struct cq_cell, total + 1);
	for (g = 0; g < snapshot->guarantee_count; g++)
		for (i = 0; i < snapshot->guarantees[g].count; i++) {
			ctx->cells[ctx->cell_count].guarantee = g;
			ctx->cells[ctx->cell_count].ordinal = i;
			ctx->cell_count++;
		}
	qsort_r(ctx->cells, ctx->cell_count, sizeof(*ctx->cells), compare_cells,
		(void *)snapshot->guarantees);
}

/* Accelerators with the same share of the cores and memory. */
static struct cq_need share_of(const struct cq_plan_worker *worker,
			       uint32_t accelerators)
{
	struct cq_need share = worker->total;

	if (accelerators == worker->total.accelerators)
		return share;
	share.accelerators = accelerators;
	share.millicores = worker->total.millicores * accelerators /
			   worker->total.accelerators;
	share.memory_bytes = worker->total.memory_bytes / 1024 * accelerators /
			     worker->total.accelerators * 1024;
	return share;
}

void cq_cells_add_part(struct cq_plan_context *ctx, uint32_t cell,
		       uint32_t worker, uint32_t accelerators)
{
	struct cq_plan_worker *entry = &ctx->workers[worker];
	uint32_t workspace = guarantee_of(ctx, &ctx->cells[cell])->workspace;
	uint32_t index = ctx->parts->len;
	struct cq_part part = {
		.label = cell_label(ctx, &ctx->cells[cell]),
		.cell = cell,
		.worker = worker,
		.next_on_worker = entry->first_part,
		.next_of_workspace = ctx->workspace_parts[workspace],
		.total = share_of(entry, accelerators),
		.live = true,
	};

	if (ctx->cells[cell].part_count == 0)
		ctx->cells[cell].first_part = index;
	ctx->cells[cell].part_count++;
	entry->first_part = index;
	entry->cell_accelerators += accelerators;
	ctx->workspace_parts[workspace] = index;
	ctx->workspace_unused[workspace] += accelerators;
	g_array_append_val(ctx->parts, part);
}

/* Takes an unused cell off its workers; its entries stay, not live. */
void cq_cells_remove(struct cq_plan_context *ctx, uint32_t cell)
{
	struct cq_cell *entry = &ctx->cells[cell];
	uint32_t workspace = guarantee_of(ctx, entry)->workspace;
	uint32_t i;

	for (i = 0; i < entry->part_count; i++) {
		struct cq_part *part = cq_part_at(ctx, entry->first_part + i);
		struct cq_plan_worker *worker = &ctx->workers[part->worker];
		uint32_t *link = &worker->first_part;

		while (*link != entry->first_part + i)
			link = &cq_part_at(ctx, *link)->next_on_worker;
		*link = part->next_on_worker;
		link = &ctx->workspace_parts[workspace];
		while (*link != entry->first_part + i)
			link = &cq_part_at(ctx, *link)->next_of_workspace;
		*link = part->next_of_workspace;
		worker->cell_accelerators -= part->total.accelerators;
		ctx->workspace_unused[workspace] -= part->total.accelerators;
		part->live = false;
	}
	entry->part_count = 0;
}

void cq_cells_move_part(struct cq_plan_context *ctx, uint32_t part,
			uint32_t worker)
{
	struct cq_part *entry = cq_part_at(ctx, part);
	struct cq_plan_worker *to = &ctx->workers[worker];
	uint32_t accelerators = (uint32_t)entry->total.accelerators;
	uint32_t *link = &ctx->workers[entry->worker].first_part;

	while (*link != part)
		link = &cq_part_at(ctx, *link)->next_on_worker;
	*link = entry->next_on_worker;
	ctx->workers[entry->worker].cell_accelerators -= accelerators;
	entry->worker = worker;
	entry->total = share_of(to, accelerators);
	entry->next_on_worker = to->first_part;
	to->first_part = part;
	to->cell_accelerators += accelerators;
}

uint32_t cq_cells_room(const struct cq_plan_context *ctx, uint32_t worker)
{
	const struct cq_plan_worker *entry = &ctx->workers[worker];

	if (!entry->usable)
		return 0;
	return (uint32_t)entry->total.accelerators - entry->cell_accelerators;
}

/* Maps worker indices of the last snapshot to those of this one. */
static GHashTable *names_to_indices(const struct cq_snapshot *snapshot)
{
	GHashTable *table = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t i;

	for (i = 0; i < snapshot->worker_count; i++)
		g_hash_table_insert(table, (gpointer)snapshot->workers[i].name,
				    GUINT_TO_POINTER(i + 1));
	return table;
}

static bool resolve_part(const struct cq_snapshot *snapshot,
			 struct standing_part *part, GHashTable **names)
{
	if (part->index < snapshot->worker_count &&
	    strcmp(snapshot->workers[part->index].name, part->worker) == 0)
		return true;
	if (!*names)
		*names = names_to_indices(snapshot);
	part->index =
		GPOINTER_TO_UINT(g_hash_table_lookup(*names, part->worker)) - 1;
	return part->index != CQ_NONE;
}

/* Whether the parts still form the shape, and their workers have room. */
static bool parts_hold(const struct cq_plan_context *ctx,
		       const struct cq_cell *cell, const GArray *parts)
{
	const struct cq_fleet_guarantee *guarantee = guarantee_of(ctx, cell);
	uint32_t sum = 0;
	uint32_t region = CQ_NONE;
	uint32_t i;

	for (i = 0; i < parts->len; i++) {
		const struct standing_part *part =
			&g_array_index(parts, struct standing_part, i);
		uint32_t of =
			cq_region_of(ctx, part->index, guarantee->adjacency);

		if (cq_cells_room(ctx, part->index) < part->accelerators ||
		    (region != CQ_NONE && region != of))
			return false;
		region = of;
		sum += part->accelerators;
	}
	return sum == guarantee->accelerators;
}

static void keep_standing(struct cq_plan_context *ctx)
{
	GHashTable *names = NULL;
	uint32_t c;
	uint32_t i;

	for (c = 0; c < ctx->cell_count; c++) {
		uint64_t label = cell_label(ctx, &ctx->cells[c]);
		GArray *parts = g_hash_table_lookup(
			ctx->planner->standing->cells, &label);
		bool known = parts != NULL;

		for (i = 0; known && i < parts->len; i++)
			known = resolve_part(
				ctx->snapshot,
				&g_array_index(parts, struct standing_part, i),
				&names);
		if (!known || !parts_hold(ctx, &ctx->cells[c], parts))
			continue;
		for (i = 0; i < parts->len; i++) {
			const struct standing_part *part =
				&g_array_index(parts, struct standing_part, i);

			cq_cells_add_part(ctx, c, part->index,
					  part->accelerators);
		}
	}
	if (names)
		g_hash_table_destroy(names);
}

/* The worker with the least sufficient room in a region, or CQ_NONE. */
static uint32_t tightest_worker(const struct cq_plan_context *ctx,
				uint32_t begin, uint32_t end, uint32_t need)
{
	uint32_t best = CQ_NONE;
	uint32_t best_room = UINT32_MAX;
	uint32_t i;

	for (i = begin; i < end; i++) {
		uint32_t room = cq_cells_room(ctx, ctx->order[i]);

		if (room >= need && room < best_room) {
			best = ctx->order[i];
			best_room = room;
			if (room == need)
				break;
		}
	}
	return best;
}

/*
 * Places a shape larger than a worker on whole workers and one rest. Workers
 * with tasks of the cell come first. Returns false without a change when the
 * region has no room.
 */
static bool place_in_region(struct cq_plan_context *ctx, uint32_t cell,
			    uint32_t begin, uint32_t end, GHashTable *preferred)
{
	uint32_t need = guarantee_of(ctx, &ctx->cells[cell])->accelerators;
	uint32_t pass;
	uint32_t i;
	uint32_t rest;

	for (pass = preferred ? 0 : 1; pass < 2; pass++)
		for (i = begin; i < end && need > 0; i++) {
			uint32_t worker = ctx->order[i];
			uint32_t all = (uint32_t)ctx->workers[worker]
					       .total.accelerators;
			bool is_preferred =
				preferred &&
				g_hash_table_contains(
					preferred,
					GUINT_TO_POINTER(worker + 1));

			if ((pass == 0) != is_preferred || all == 0 ||
			    all > need || cq_cells_room(ctx, worker) != all)
				continue;
			cq_cells_add_part(ctx, cell, worker, all);
			need -= all;
		}
	if (need == 0)
		return true;
	rest = tightest_worker(ctx, begin, end, need);
	if (rest != CQ_NONE) {
		cq_cells_add_part(ctx, cell, rest, need);
		return true;
	}
	if (ctx->cells[cell].part_count)
		cq_cells_remove(ctx, cell);
	return false;
}

static bool place_cell(struct cq_plan_context *ctx, uint32_t cell,
		       uint32_t only_region, GHashTable *preferred)
{
	const struct cq_fleet_guarantee *guarantee =
		guarantee_of(ctx, &ctx->cells[cell]);
	uint32_t count = ctx->snapshot->worker_count;
	enum cq_adjacency level = guarantee->adjacency;
	uint32_t begin;
	uint32_t end;
	uint32_t worker;

	if (guarantee->accelerators <= ctx->max_accelerators &&
	    only_region == CQ_NONE) {
		worker =
			tightest_worker(ctx, 0, count, guarantee->accelerators);
		if (worker != CQ_NONE) {
			cq_cells_add_part(ctx, cell, worker,
					  guarantee->accelerators);
			return true;
		}
	}
	if (level == CQ_ADJACENT_WORKER)
		return false;
	for (begin = 0; begin < count; begin = end) {
		uint32_t region = cq_region_of(ctx, ctx->order[begin], level);
		uint32_t room = 0;

		for (end = begin;
		     end < count &&
		     cq_region_of(ctx, ctx->order[end], level) == region;
		     end++)
			room += cq_cells_room(ctx, ctx->order[end]);
		if ((only_region != CQ_NONE && only_region != region) ||
		    room < guarantee->accelerators)
			continue;
		if (place_in_region(ctx, cell, begin, end, preferred))
			return true;
	}
	return false;
}

/* The workers that carry tasks of each cell, by label. */
static GHashTable *collect_labels(const struct cq_plan_context *ctx)
{
	GHashTable *labels =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      (GDestroyNotify)g_hash_table_destroy);
	uint32_t t;

	for (t = 0; t < ctx->snapshot->task_count; t++) {
		const struct cq_fleet_task *task = &ctx->snapshot->tasks[t];
		GHashTable *workers;

		if (task->cell == 0 || !ctx->workers[task->worker].usable)
			continue;
		workers = g_hash_table_lookup(labels, &task->cell);
		if (!workers) {
			workers = g_hash_table_new(NULL, NULL);
			g_hash_table_insert(labels, (gpointer)&task->cell,
					    workers);
		}
		g_hash_table_add(workers, GUINT_TO_POINTER(task->worker + 1));
	}
	return labels;
}

/* Places cells without a known place where their labelled tasks run. */
static void place_labelled(struct cq_plan_context *ctx)
{
	GHashTable *labels = collect_labels(ctx);
	uint32_t c;

	for (c = 0; c < ctx->cell_count; c++) {
		const struct cq_fleet_guarantee *guarantee =
			guarantee_of(ctx, &ctx->cells[c]);
		uint64_t label = cell_label(ctx, &ctx->cells[c]);
		GHashTable *workers = g_hash_table_lookup(labels, &label);
		GHashTableIter iter;
		gpointer key;
		uint32_t worker = CQ_NONE;

		if (!workers)
			continue;
		ctx->cells[c].bound = true;
		if (ctx->cells[c].part_count)
			continue;
		/* The lowest index, whatever the order of the table. */
		g_hash_table_iter_init(&iter, workers);
		while (g_hash_table_iter_next(&iter, &key, NULL))
			worker = MIN(worker, GPOINTER_TO_UINT(key) - 1);
		if (guarantee->accelerators <=
			    ctx->workers[worker].total.accelerators &&
		    g_hash_table_size(workers) == 1) {
			if (cq_cells_room(ctx, worker) >=
			    guarantee->accelerators)
				cq_cells_add_part(ctx, c, worker,
						  guarantee->accelerators);
		} else if (guarantee->adjacency != CQ_ADJACENT_WORKER) {
			place_cell(ctx, c,
				   cq_region_of(ctx, worker,
						guarantee->adjacency),
				   workers);
		}
	}
	g_hash_table_destroy(labels);
}

static bool place_all(struct cq_plan_context *ctx)
{
	uint32_t failed = CQ_NONE;
	uint32_t c;

	for (c = 0; c < ctx->cell_count; c++) {
		/* Shapes of one guarantee are alike. */
		if (ctx->cells[c].part_count ||
		    ctx->cells[c].guarantee == failed)
			continue;
		if (!place_cell(ctx, c, CQ_NONE, NULL))
			failed = ctx->cells[c].guarantee;
	}
	return failed == CQ_NONE;
}

static void place_missing(struct cq_plan_context *ctx)
{
	struct cq_standing *standing = ctx->planner->standing;
	struct cq_shortfall *shortfalls;
	bool complete;
	uint32_t g;
	uint32_t c;

	complete = place_all(ctx);
	/*
	 * When some have no room, all unused cells are placed anew. That makes
	 * borrowers of jobs that were charged to them, so it is not repeated
	 * in every plan while capacity is short.
	 */
	if (!complete &&
	    (standing->short_accelerators != ctx->usable_accelerators ||
	     standing->short_cells != ctx->cell_count ||
	     ctx->now_ns - standing->short_at_ns >= REPLACE_NS)) {
		standing->short_at_ns = ctx->now_ns;
		for (c = 0; c < ctx->cell_count; c++)
			if (!ctx->cells[c].bound && ctx->cells[c].part_count)
				cq_cells_remove(ctx, c);
		complete = place_all(ctx);
	}
	standing->short_accelerators = complete ? -1 : ctx->usable_accelerators;
	standing->short_cells = ctx->cell_count;
	shortfalls =
		g_new0(struct cq_shortfall, ctx->snapshot->guarantee_count + 1);
	for (c = 0; c < ctx->cell_count; c++)
		if (ctx->cells[c].part_count == 0)
			shortfalls[ctx->cells[c].guarantee].shapes++;
	for (g = 0; g < ctx->snapshot->guarantee_count; g++) {
		if (shortfalls[g].shapes == 0)
			continue;
		shortfalls[g].guarantee = g;
		shortfalls[g].accelerators =
			shortfalls[g].shapes *
			ctx->snapshot->guarantees[g].accelerators;
		g_array_append_val(ctx->shortfalls, shortfalls[g]);
	}
	g_free(shortfalls);
}

void cq_cells_save(struct cq_plan_context *ctx)
{
	GHashTable *cells = ctx->planner->standing->cells;
	uint32_t c;
	uint32_t i;

	g_hash_table_remove_all(cells);
	for (c = 0; c < ctx->cell_count; c++) {
		const struct cq_cell *cell = &ctx->cells[c];
		uint64_t label = cell_label(ctx, cell);
		GArray *parts;

		if (cell->part_count == 0)
			continue;
		parts = g_array_new(FALSE, FALSE, sizeof(struct standing_part));
		for (i = 0; i < cell->part_count; i++) {
			const struct cq_part *part =
				cq_part_at(ctx, cell->first_part + i);
			struct standing_part saved = {
				g_strdup(ctx->snapshot->workers[part->worker]
						 .name),
				part->worker, (uint32_t)part->total.accelerators
			};

			g_array_append_val(parts, saved);
		}
		g_hash_table_insert(cells, g_memdup2(&label, sizeof(label)),
				    parts);
	}
}

void cq_plan_cells(struct cq_plan_context *ctx)
{
	uint32_t i;

	for (i = 0; i < ctx->snapshot->worker_count; i++)
		if (ctx->workers[i].usable)
			ctx->usable_accelerators +=
				ctx->workers[i].total.accelerators;
	enumerate_cells(ctx);
	keep_standing(ctx);
	place_labelled(ctx);
	place_missing(ctx);
}
