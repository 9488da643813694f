#include "chestnutquay/placement.h"

#include <string.h>

#include "state/placement_internal.h"

/* Penalties of a worker; the one with the lowest sum is preferred. */
#define PENALTY_OTHER_RACK 1000000
#define PENALTY_FAILING 200000
#define PENALTY_COLD 50000
#define PENALTY_INTERFERENCE 20000
/*
 * For each RUNS_STEP runs of a worker: it lists all of them in each answer,
 * which the leader reads in one go.
 */
#define PENALTY_RUNS_STEP 4000
#define RUNS_STEP 512
#define RACK_FREE_WEIGHT 4
#define PERMILLE 1000
/* Above any penalty */
#define NO_ROOM INT64_MAX

/* A worker as the next task of a stage finds it */
struct rating {
	struct cq_pool_worker *worker;
	int64_t penalty;
};

static void count_stage_runs(const struct cq_stage *stage, int sign);
static bool interferes(const struct cq_pool_worker *worker,
		       const struct cq_stage *stage);
static int64_t worker_penalty(const struct cq_placement *p,
			      const struct cq_pool_worker *worker);
static int64_t rate_worker(const struct cq_placement *p,
			   const struct cq_pool_worker *worker);
static struct rating *best_rating(const struct cq_placement *p,
				  GArray *ratings);
static GArray *rate_workers(const struct cq_placement *p,
			    const GPtrArray *workers);
static void adjust_free_room(struct cq_pool_worker *worker,
			     const struct cq_stage *stage, int sign);
static void undo_adjustments(const struct cq_stage *stage, GArray *assignments,
			     guint from);
static uint32_t place_tasks(const struct cq_placement *p,
			    const GPtrArray *workers, GArray *assignments);
static gint compare_racks_by_free_accelerators(gconstpointer a,
					       gconstpointer b);
static bool place_in_one_rack(const struct cq_placement *p,
			      const GPtrArray *racks, GArray *assignments);

/*
 * Sign 1 counts the runs of the stage on their workers, -1 takes that back.
 * Only a limit of tasks per worker needs the counts.
 */
static void count_stage_runs(const struct cq_stage *stage, int sign)
{
	uint32_t i;

	if (!stage->step->max_per_worker || !stage->active_count)
		return;
	for (i = 0; i < stage->step->tasks; i++)
		if (stage->tasks[i].phase != CQ_RUN_NONE)
			stage->tasks[i].worker->stage_runs += (uint32_t)sign;
}

void placement_add_work(const struct cq_placement *p, uint64_t looks)
{
	if (p->work)
		*p->work += looks;
}

/* Checks everything but the free room. */
bool placement_worker_eligible(const struct cq_placement *p,
			       const struct cq_pool_worker *worker)
{
	return worker->usable && !strcmp(worker->listing.service, p->service) &&
	       (!worker->reserved_for || worker->reserved_for == p->stage) &&
	       cq_pool_has_label(worker, p->stage->step->required_label);
}

GPtrArray *placement_workers(const struct cq_placement *p)
{
	GPtrArray *workers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	placement_add_work(p, g_hash_table_size(p->pool->workers));
	g_hash_table_iter_init(&iter, p->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (placement_worker_eligible(p, value))
			g_ptr_array_add(workers, value);
	return workers;
}

GPtrArray *placement_racks(const GPtrArray *workers)
{
	GPtrArray *racks = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_ptr_array_unref);
	GHashTable *by_rack = g_hash_table_new(NULL, NULL);
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct cq_pool_worker *worker = g_ptr_array_index(workers, i);
		GPtrArray *rack = g_hash_table_lookup(by_rack, worker->rack);

		if (!rack) {
			rack = g_ptr_array_new();
			g_hash_table_insert(by_rack, worker->rack, rack);
			g_ptr_array_add(racks, rack);
		}
		g_ptr_array_add(rack, worker);
	}
	g_hash_table_destroy(by_rack);
	return racks;
}

struct cq_pool_totals cq_placement_prepare(const struct cq_pool *pool)
{
	struct cq_pool_totals totals = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->racks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_rack *rack = value;

		rack->free_accelerators = 0;
	}
	g_hash_table_iter_init(&iter, pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_pool_worker *worker = value;

		if (!worker->usable)
			continue;
		worker->rack->free_accelerators += worker->free_accelerators;
		totals.accelerators += worker->listing.accelerators;
		totals.free_accelerators += worker->free_accelerators;
	}
	return totals;
}

struct cq_pool_totals cq_placement_totals(const struct cq_pool *pool,
					  const char *service)
{
	struct cq_pool_totals totals = { 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_pool_worker *worker = value;

		if (!worker->usable || strcmp(worker->listing.service, service))
			continue;
		totals.accelerators += worker->listing.accelerators;
		totals.free_accelerators += worker->free_accelerators;
	}
	return totals;
}

static bool interferes(const struct cq_pool_worker *worker,
		       const struct cq_stage *stage)
{
	return (stage->step->fills && worker->target_runs) ||
	       (stage->step->target_ms && worker->fill_runs);
}

static int64_t permille(int64_t part, int64_t whole)
{
	return whole > 0 ? part * PERMILLE / whole : 0;
}

/*
 * Prefers workers that the task fills up and, with pack_racks, racks that have
 * little free room.
 */
static int64_t worker_penalty(const struct cq_placement *p,
			      const struct cq_pool_worker *worker)
{
	const struct cq_workload_step *step = p->stage->step;
	const struct cq_executor_registration *size = &worker->listing;
	int64_t sum =
		permille(worker->free_accelerators - step->accelerators,
			 size->accelerators) +
		permille(worker->free_memory_mb - step->memory_mb,
			 size->memory_mb) +
		permille(worker->free_cpu_millicores - step->cpu_millicores,
			 size->cpu_millicores);

	if (p->pack_racks)
		sum += RACK_FREE_WEIGHT *
		       permille(worker->rack->free_accelerators,
				size->accelerators) /
		       10;
	if (step->data_rack && strcmp(step->data_rack, size->rack))
		sum += PENALTY_OTHER_RACK;
	if (worker->failure_streak || worker->avoid_until_ns > p->now_ns)
		sum += PENALTY_FAILING * (1 + worker->failure_streak);
	if (size->warmup_remaining_ms)
		sum += PENALTY_COLD;
	if (interferes(worker, p->stage))
		sum += PENALTY_INTERFERENCE;
	sum += (worker->runs->len + worker->tentative_tasks) / RUNS_STEP *
	       PENALTY_RUNS_STEP;
	return sum;
}

/* Returns the worker's penalty, or NO_ROOM if no task of the stage fits. */
static int64_t rate_worker(const struct cq_placement *p,
			   const struct cq_pool_worker *worker)
{
	struct placement_room room = placement_free_room(worker);
	uint32_t own_tasks = worker->tentative_tasks + worker->stage_runs;

	if (!placement_takes_one(&room, p->stage->step, own_tasks))
		return NO_ROOM;
	return worker_penalty(p, worker);
}

/* The first of the workers with the lowest penalty; NULL if none has room. */
static struct rating *best_rating(const struct cq_placement *p, GArray *ratings)
{
	struct rating *best = NULL;
	guint i;

	placement_add_work(p, ratings->len);
	for (i = 0; i < ratings->len; i++) {
		struct rating *r = &g_array_index(ratings, struct rating, i);

		if (r->penalty < (best ? best->penalty : NO_ROOM))
			best = r;
	}
	return best;
}

/*
 * Rates the worker anew that got a task. Returns whether it is still the best
 * one, which saves a look at all others: a worker that fills up mostly is.
 */
static bool stays_best(const struct cq_placement *p, struct rating *best)
{
	int64_t before = best->penalty;

	best->penalty = rate_worker(p, best->worker);
	return best->penalty <= before;
}

/* Workers without room are left out: they get none during a placement. */
static GArray *rate_workers(const struct cq_placement *p,
			    const GPtrArray *workers)
{
	GArray *ratings = g_array_new(FALSE, FALSE, sizeof(struct rating));
	guint i;

	placement_add_work(p, workers->len);
	for (i = 0; i < workers->len; i++) {
		struct rating r = { .worker = g_ptr_array_index(workers, i) };

		r.penalty = rate_worker(p, r.worker);
		if (r.penalty != NO_ROOM)
			g_array_append_val(ratings, r);
	}
	return ratings;
}

/*
 * Adjusts the free room by an assignment that the caller has not booked yet:
 * sign 1 takes the room of a task, -1 gives it back.
 */
static void adjust_free_room(struct cq_pool_worker *worker,
			     const struct cq_stage *stage, int sign)
{
	const struct cq_workload_step *step = stage->step;

	worker->free_cpu_millicores -=
		step->fills ? 0 : sign * (int64_t)step->cpu_millicores;
	worker->free_memory_mb -= sign * (int64_t)step->memory_mb;
	worker->free_accelerators -= sign * (int64_t)step->accelerators;
	worker->tentative_tasks += (uint32_t)sign;
}

static void undo_adjustments(const struct cq_stage *stage, GArray *assignments,
			     guint from)
{
	guint i;

	for (i = from; i < assignments->len; i++)
		adjust_free_room(g_array_index(assignments,
					       struct cq_assignment, i)
					 .worker,
				 stage, -1);
}

/* Most tasks that may be placed, of those that wait */
static uint32_t task_limit(const struct cq_placement *p)
{
	return p->max_tasks && !p->stage->step->gang ? p->max_tasks
						     : UINT32_MAX;
}

static uint32_t place_tasks(const struct cq_placement *p,
			    const GPtrArray *workers, GArray *assignments)
{
	const struct cq_stage *stage = p->stage;
	GArray *ratings = rate_workers(p, workers);
	struct rating *best = best_rating(p, ratings);
	guint from = assignments->len;
	uint32_t limit = task_limit(p);
	uint32_t placed = 0;
	uint32_t i;

	for (i = 0; best && placed < limit && i < stage->step->tasks; i++) {
		struct cq_assignment a = { .task = &stage->tasks[i] };

		if (a.task->done || a.task->phase != CQ_RUN_NONE)
			continue;
		a.worker = best->worker;
		adjust_free_room(a.worker, stage, 1);
		g_array_append_val(assignments, a);
		placed++;
		if (!stays_best(p, best))
			best = best_rating(p, ratings);
	}
	g_array_unref(ratings);
	undo_adjustments(stage, assignments, from);
	if (stage->step->gang && placed < stage->step->tasks) {
		g_array_set_size(assignments, from);
		return 0;
	}
	return placed;
}

static gint compare_racks_by_free_accelerators(gconstpointer a, gconstpointer b)
{
	const GPtrArray *left = *(const GPtrArray *const *)a;
	const GPtrArray *right = *(const GPtrArray *const *)b;
	const struct cq_pool_worker *l = g_ptr_array_index(left, 0);
	const struct cq_pool_worker *r = g_ptr_array_index(right, 0);

	return (l->rack->free_accelerators > r->rack->free_accelerators) -
	       (l->rack->free_accelerators < r->rack->free_accelerators);
}

/*
 * Places the gang in the first rack that holds it; racks are sorted by free
 * accelerators, fewest first.
 */
static bool place_in_one_rack(const struct cq_placement *p,
			      const GPtrArray *racks, GArray *assignments)
{
	guint i;

	for (i = 0; i < racks->len; i++)
		if (place_tasks(p, g_ptr_array_index(racks, i), assignments))
			return true;
	return false;
}

static void place_in_racks(const struct cq_placement *p,
			   const GPtrArray *workers, GArray *assignments)
{
	GPtrArray *racks = placement_racks(workers);

	g_ptr_array_sort(racks, compare_racks_by_free_accelerators);
	if (!place_in_one_rack(p, racks, assignments) &&
	    !placement_waits_for_rack(p, racks))
		place_tasks(p, workers, assignments);
	g_ptr_array_unref(racks);
}

uint32_t cq_placement_find(const struct cq_placement *p, GArray *assignments)
{
	guint from = assignments->len;
	GPtrArray *workers = placement_workers(p);

	count_stage_runs(p->stage, 1);
	if (p->stage->step->gang && p->stage->step->same_rack)
		place_in_racks(p, workers, assignments);
	else
		place_tasks(p, workers, assignments);
	count_stage_runs(p->stage, -1);
	g_ptr_array_unref(workers);
	return assignments->len - from;
}
