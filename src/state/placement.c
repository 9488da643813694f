#include "chestnutquay/placement.h"

#include <string.h>

#include "chestnutquay/clock.h"

/* A GPU counts as this many cores in the work that a stop throws away. */
#define CORES_PER_ACCELERATOR 8
/* Work that a checkpointing task loses by a stop. */
#define CHECKPOINT_LOSS_NS (CQ_NS_PER_S / 2)
/* Weights of the preference for a worker; lower sums are better. */
#define PENALTY_OTHER_RACK 1000000
#define PENALTY_FAILING 200000
#define PENALTY_COLD 50000
#define PENALTY_DISTURBS 20000
#define MB_PER_ACCELERATOR 65536

struct room {
	int64_t cpu, memory, accelerators;
};

struct candidate {
	struct cq_pool_worker *worker;
	GPtrArray *victims;
	uint32_t tasks;
	double cost;
};

static bool allows(const struct cq_pool_worker *worker,
		   const struct cq_stage *stage, const char *service);
static uint32_t runs_of_stage(const struct cq_pool_worker *worker,
			      const struct cq_stage *stage);
static int64_t penalty(const struct cq_pool_worker *worker,
		       const struct cq_stage *stage, int64_t now_ns);
static struct cq_pool_worker *best_worker(const GPtrArray *workers,
					  const struct cq_stage *stage,
					  int64_t now_ns);
static uint32_t place(const GPtrArray *workers, const struct cq_stage *stage,
		      int64_t now_ns, GArray *assignments);
static void book(struct cq_pool_worker *worker, const struct cq_stage *stage,
		 int sign);
static GPtrArray *select_workers(const struct cq_pool *pool,
				 const struct cq_stage *stage,
				 const char *service, const char *rack);
static void undo(const struct cq_stage *stage, GArray *assignments, guint from);
static GPtrArray *racks_by_room(const struct cq_pool *pool,
				const struct cq_stage *stage,
				const char *service);
static bool place_in_one_rack(const struct cq_pool *pool,
			      const struct cq_stage *stage, const char *service,
			      int64_t now_ns, GArray *assignments);

static uint32_t runs_of_stage(const struct cq_pool_worker *worker,
			      const struct cq_stage *stage)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct cq_task *task = g_ptr_array_index(worker->runs, i);

		count += task->stage == stage;
	}
	return count;
}

/* Everything but the room. */
static bool allows(const struct cq_pool_worker *worker,
		   const struct cq_stage *stage, const char *service)
{
	return worker->usable && !strcmp(worker->listing.service, service) &&
	       (!worker->reserved_for || worker->reserved_for == stage) &&
	       cq_pool_has_label(worker, stage->step->required_label);
}

static bool disturbs(const struct cq_pool_worker *worker,
		     const struct cq_stage *stage)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct cq_task *task = g_ptr_array_index(worker->runs, i);
		const struct cq_workload_step *other = task->stage->step;

		if ((stage->step->fills && other->target_ms) ||
		    (stage->step->target_ms && other->fills))
			return true;
	}
	return false;
}

static int64_t penalty(const struct cq_pool_worker *worker,
		       const struct cq_stage *stage, int64_t now_ns)
{
	const struct cq_workload_step *step = stage->step;
	int64_t left_mb = worker->free_memory_mb - step->memory_mb;
	int64_t left = worker->free_accelerators - step->accelerators;
	int64_t sum = left * 100 + left_mb * 10 / MB_PER_ACCELERATOR;

	if (step->data_rack[0] && strcmp(step->data_rack, worker->listing.rack))
		sum += PENALTY_OTHER_RACK;
	if (worker->failure_streak || worker->avoid_until_ns > now_ns)
		sum += PENALTY_FAILING * (1 + worker->failure_streak);
	if (worker->listing.cold_ms)
		sum += PENALTY_COLD;
	if (disturbs(worker, stage))
		sum += PENALTY_DISTURBS;
	return sum;
}

static struct cq_pool_worker *best_worker(const GPtrArray *workers,
					  const struct cq_stage *stage,
					  int64_t now_ns)
{
	struct cq_pool_worker *best = NULL;
	int64_t best_penalty = 0;
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct cq_pool_worker *worker = g_ptr_array_index(workers, i);
		int64_t own;

		if (!cq_pool_fits(worker, stage->step, 1))
			continue;
		if (stage->step->max_per_worker &&
		    worker->placing + runs_of_stage(worker, stage) >=
			    stage->step->max_per_worker)
			continue;
		own = penalty(worker, stage, now_ns);
		if (best && own >= best_penalty)
			continue;
		best = worker;
		best_penalty = own;
	}
	return best;
}

/* Room taken by assignments that the caller has not booked yet. */
static void book(struct cq_pool_worker *worker, const struct cq_stage *stage,
		 int sign)
{
	const struct cq_workload_step *step = stage->step;

	worker->free_cpu_millicores -=
		step->fills ? 0 : sign * (int64_t)step->cpu_millicores;
	worker->free_memory_mb -= sign * (int64_t)step->memory_mb;
	worker->free_accelerators -= sign * (int64_t)step->accelerators;
	worker->placing += (uint32_t)sign;
}

static void undo(const struct cq_stage *stage, GArray *assignments, guint from)
{
	guint i;

	for (i = from; i < assignments->len; i++)
		book(g_array_index(assignments, struct cq_assignment, i).worker,
		     stage, -1);
}

static uint32_t place(const GPtrArray *workers, const struct cq_stage *stage,
		      int64_t now_ns, GArray *assignments)
{
	guint from = assignments->len;
	uint32_t placed = 0;
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++) {
		struct cq_assignment a = { .task = &stage->tasks[i] };

		if (a.task->done || a.task->phase != CQ_RUN_NONE)
			continue;
		a.worker = best_worker(workers, stage, now_ns);
		if (!a.worker)
			break;
		book(a.worker, stage, 1);
		g_array_append_val(assignments, a);
		placed++;
	}
	undo(stage, assignments, from);
	if (stage->step->gang && placed < stage->step->tasks) {
		g_array_set_size(assignments, from);
		return 0;
	}
	return placed;
}

static GPtrArray *select_workers(const struct cq_pool *pool,
				 const struct cq_stage *stage,
				 const char *service, const char *rack)
{
	GPtrArray *workers = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;

		if (allows(worker, stage, service) &&
		    (!rack || !strcmp(worker->listing.rack, rack)))
			g_ptr_array_add(workers, worker);
	}
	return workers;
}

static GPtrArray *racks_by_room(const struct cq_pool *pool,
				const struct cq_stage *stage,
				const char *service)
{
	GPtrArray *racks = g_ptr_array_new();
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *workers = select_workers(pool, stage, service, NULL);
	guint i;

	for (i = 0; i < workers->len; i++) {
		struct cq_pool_worker *worker = g_ptr_array_index(workers, i);

		if (!g_hash_table_add(seen, worker->listing.rack))
			continue;
		/* The rack of the data is tried first. */
		if (!strcmp(worker->listing.rack, stage->step->data_rack))
			g_ptr_array_insert(racks, 0, worker->listing.rack);
		else
			g_ptr_array_add(racks, worker->listing.rack);
	}
	g_ptr_array_unref(workers);
	g_hash_table_destroy(seen);
	return racks;
}

static bool place_in_one_rack(const struct cq_pool *pool,
			      const struct cq_stage *stage, const char *service,
			      int64_t now_ns, GArray *assignments)
{
	GPtrArray *racks = racks_by_room(pool, stage, service);
	bool placed = false;
	guint i;

	for (i = 0; i < racks->len && !placed; i++) {
		GPtrArray *workers = select_workers(
			pool, stage, service, g_ptr_array_index(racks, i));

		placed = place(workers, stage, now_ns, assignments) > 0;
		g_ptr_array_unref(workers);
	}
	g_ptr_array_unref(racks);
	return placed;
}

uint32_t cq_placement_find(const struct cq_pool *pool,
			   const struct cq_stage *stage, const char *service,
			   int64_t now_ns, GArray *assignments)
{
	guint from = assignments->len;
	GPtrArray *workers;

	if (stage->step->gang && stage->step->same_rack &&
	    place_in_one_rack(pool, stage, service, now_ns, assignments))
		return assignments->len - from;
	workers = select_workers(pool, stage, service, NULL);
	place(workers, stage, now_ns, assignments);
	g_ptr_array_unref(workers);
	return assignments->len - from;
}

/* Work in core-nanoseconds that a stop of the run throws away. */
static double cost_of(const struct cq_task *task, int64_t now_ns)
{
	const struct cq_workload_step *step = task->stage->step;
	double cores = step->cpu_millicores / 1000.0 +
		       (double)step->accelerators * CORES_PER_ACCELERATOR;
	int64_t age_ns = task->started_ns ? now_ns - task->started_ns : 0;
	uint32_t members = step->gang ? task->stage->active_count : 1;

	if (step->checkpointing)
		age_ns = MIN(age_ns, CHECKPOINT_LOSS_NS);
	return cores * (double)age_ns * members;
}

static gint by_cost(gconstpointer a, gconstpointer b, gpointer data)
{
	const int64_t *now_ns = data;
	const struct cq_task *left = *(const struct cq_task *const *)a;
	const struct cq_task *right = *(const struct cq_task *const *)b;
	double difference = cost_of(left, *now_ns) - cost_of(right, *now_ns);

	return difference < 0 ? -1 : difference > 0;
}

static void add_room(struct room *room, const struct cq_workload_step *step)
{
	room->cpu += step->fills ? 0 : step->cpu_millicores;
	room->memory += step->memory_mb;
	room->accelerators += step->accelerators;
}

static uint32_t fits_in(const struct room *room,
			const struct cq_workload_step *step)
{
	int64_t tasks = INT32_MAX;

	if (step->cpu_millicores && !step->fills)
		tasks = MIN(tasks, room->cpu / step->cpu_millicores);
	if (step->memory_mb)
		tasks = MIN(tasks, room->memory / step->memory_mb);
	if (step->accelerators)
		tasks = MIN(tasks, room->accelerators / step->accelerators);
	if (step->max_per_worker)
		tasks = MIN(tasks, step->max_per_worker);
	return (uint32_t)MAX(0, tasks);
}

/* How many tasks fit on the worker at which cost, for the first that do. */
static void evaluate(struct candidate *c, const struct cq_stage *stage,
		     const struct cq_placement_victims *v, uint32_t wanted)
{
	struct room room = { c->worker->free_cpu_millicores,
			     c->worker->free_memory_mb,
			     c->worker->free_accelerators };
	GPtrArray *others = g_ptr_array_new();
	int64_t now_ns = v->now_ns;
	guint i;

	for (i = 0; i < c->worker->runs->len; i++) {
		struct cq_task *task = g_ptr_array_index(c->worker->runs, i);

		if (task->stopping)
			add_room(&room, task->stage->step);
		else if (v->priority(v->ctx, task->stage->batch) >
				 v->own_priority &&
			 !task->stage->step->max_unavailable)
			g_ptr_array_add(others, task);
	}
	g_ptr_array_sort_with_data(others, by_cost, &now_ns);
	c->tasks = MIN(wanted, fits_in(&room, stage->step));
	for (i = 0; i < others->len && c->tasks < wanted; i++) {
		struct cq_task *task = g_ptr_array_index(others, i);
		uint32_t tasks;

		add_room(&room, task->stage->step);
		g_ptr_array_add(c->victims, task);
		c->cost += cost_of(task, now_ns);
		tasks = MIN(wanted, fits_in(&room, stage->step));
		if (tasks > c->tasks) {
			c->tasks = tasks;
			if (c->tasks)
				break;
		}
	}
	if (!c->tasks) {
		g_ptr_array_set_size(c->victims, 0);
		c->cost = 0;
	}
	g_ptr_array_unref(others);
}

static gint by_cost_per_task(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;
	double l = left->tasks ? left->cost / left->tasks : G_MAXDOUBLE;
	double r = right->tasks ? right->cost / right->tasks : G_MAXDOUBLE;

	return l < r ? -1 : l > r;
}

static void candidate_clear(void *data)
{
	struct candidate *c = data;

	g_ptr_array_unref(c->victims);
}

static uint32_t waiting_tasks(const struct cq_stage *stage)
{
	uint32_t waiting = 0;
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		waiting += !stage->tasks[i].done &&
			   stage->tasks[i].phase == CQ_RUN_NONE;
	return waiting;
}

static bool take_cheapest(GArray *candidates, const struct cq_stage *stage,
			  uint32_t wanted, GPtrArray *out)
{
	uint32_t found = 0;
	guint i, k;

	for (i = 0; i < candidates->len; i++)
		found += g_array_index(candidates, struct candidate, i).tasks;
	if (found < wanted)
		return false;
	for (i = 0, found = 0; found < wanted; i++) {
		struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		found += c->tasks;
		c->worker->reserved_for = stage;
		for (k = 0; k < c->victims->len; k++)
			g_ptr_array_add(out, g_ptr_array_index(c->victims, k));
	}
	return true;
}

bool cq_placement_make_room(const struct cq_pool *pool,
			    const struct cq_stage *stage, const char *service,
			    const struct cq_placement_victims *victims,
			    GPtrArray *out)
{
	GPtrArray *workers = select_workers(pool, stage, service, NULL);
	GArray *candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	uint32_t wanted = waiting_tasks(stage);
	bool found;
	guint i;

	g_array_set_clear_func(candidates, candidate_clear);
	for (i = 0; i < workers->len; i++) {
		struct candidate c = {
			.worker = g_ptr_array_index(workers, i),
			.victims = g_ptr_array_new(),
		};

		evaluate(&c, stage, victims, wanted);
		g_array_append_val(candidates, c);
	}
	g_array_sort(candidates, by_cost_per_task);
	found = take_cheapest(candidates, stage, wanted, out);
	g_array_unref(candidates);
	g_ptr_array_unref(workers);
	return found;
}
