/* Which runs give way to urgent work. */
#include <string.h>

#include "chestnutquay/clock.h"
#include "state/placement_internal.h"

/* An accelerator counts as this many cores in work that is thrown away. */
#define CORES_PER_ACCELERATOR 8
/* Work that a checkpointing task loses by a stop. */
#define CHECKPOINT_LOSS_S 0.3
/* Every stop costs a restart. */
#define RESTART_LOSS_S 0.3

struct candidate {
	struct cq_pool_worker *worker;
	GPtrArray *victims;
	uint32_t tasks;
	double cost;
};

static double cost_of(const struct cq_task *task, int64_t now_ns);
static gint by_cost(gconstpointer a, gconstpointer b, gpointer data);
static void add_room(struct placement_room *room,
		     const struct cq_workload_step *step);
static GPtrArray *possible_victims(const struct cq_pool_worker *worker,
				   const struct cq_placement *p,
				   double most_loss_core_s,
				   struct placement_room *room);
static void evaluate(struct candidate *c, const struct cq_placement *p,
		     double most_loss_core_s, uint32_t wanted);
static gint by_cost_per_task(gconstpointer a, gconstpointer b);
static void candidate_clear(void *data);
static uint32_t waiting_tasks(const struct cq_stage *stage);
static GArray *evaluate_all(const GPtrArray *workers,
			    const struct cq_placement *p,
			    double most_loss_core_s);
static double cheapest(const GArray *candidates, uint32_t wanted,
		       guint *needed);
static void take(const GArray *candidates, guint needed,
		 const struct cq_stage *stage, GPtrArray *out);

uint32_t placement_fits_in(const struct placement_room *room,
			   const struct cq_workload_step *step)
{
	int64_t tasks = INT32_MAX;

	if (step->cpu_millicores && !step->fills)
		tasks = MIN(tasks, room->cpu_millicores /
					   (int64_t)step->cpu_millicores);
	if (step->memory_mb)
		tasks = MIN(tasks, room->memory_mb / (int64_t)step->memory_mb);
	if (step->accelerators)
		tasks = MIN(tasks,
			    room->accelerators / (int64_t)step->accelerators);
	if (step->max_per_worker)
		tasks = MIN(tasks, step->max_per_worker);
	return (uint32_t)MAX(0, tasks);
}

/* Core-seconds that a stop of the run throws away. */
static double cost_of(const struct cq_task *task, int64_t now_ns)
{
	const struct cq_workload_step *step = task->stage->step;
	double cores = step->cpu_millicores / 1000.0 +
		       (double)step->accelerators * CORES_PER_ACCELERATOR;
	double age_s = task->started_ns ? (double)(now_ns - task->started_ns) /
						  (double)CQ_NS_PER_S
					: 0;
	uint32_t members = step->gang ? task->stage->active_count : 1;

	if (step->checkpointing)
		age_s = MIN(age_s, CHECKPOINT_LOSS_S);
	return cores * (age_s + RESTART_LOSS_S) * members;
}

static gint by_cost(gconstpointer a, gconstpointer b, gpointer data)
{
	const int64_t *now_ns = data;
	const struct cq_task *left = *(const struct cq_task *const *)a;
	const struct cq_task *right = *(const struct cq_task *const *)b;
	double difference = cost_of(left, *now_ns) - cost_of(right, *now_ns);

	return difference < 0 ? -1 : difference > 0;
}

static void add_room(struct placement_room *room,
		     const struct cq_workload_step *step)
{
	room->cpu_millicores += step->fills ? 0 : step->cpu_millicores;
	room->memory_mb += step->memory_mb;
	room->accelerators += step->accelerators;
}

/* Runs that may be stopped, cheapest first; what is being stopped is room. */
static GPtrArray *possible_victims(const struct cq_pool_worker *worker,
				   const struct cq_placement *p,
				   double most_loss_core_s,
				   struct placement_room *room)
{
	GPtrArray *others = g_ptr_array_new();
	int64_t now_ns = p->now_ns;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		struct cq_task *task = g_ptr_array_index(worker->runs, i);
		const struct cq_workload_step *step = task->stage->step;

		if (task->stopping)
			add_room(room, step);
		else if (task->stage->rank > p->stage->rank &&
			 !step->max_unavailable &&
			 cost_of(task, now_ns) <= most_loss_core_s)
			g_ptr_array_add(others, task);
	}
	g_ptr_array_sort_with_data(others, by_cost, &now_ns);
	return others;
}

/* As many tasks as wanted, or as fit, for the fewest victims. */
static void evaluate(struct candidate *c, const struct cq_placement *p,
		     double most_loss_core_s, uint32_t wanted)
{
	const struct cq_workload_step *step = p->stage->step;
	struct placement_room room = { c->worker->free_cpu_millicores,
				       c->worker->free_memory_mb,
				       c->worker->free_accelerators };
	GPtrArray *others =
		possible_victims(c->worker, p, most_loss_core_s, &room);
	guint used = 0;
	guint i;

	c->tasks = MIN(wanted, placement_fits_in(&room, step));
	for (i = 0; i < others->len && c->tasks < wanted; i++) {
		struct cq_task *task = g_ptr_array_index(others, i);
		uint32_t tasks;

		add_room(&room, task->stage->step);
		g_ptr_array_add(c->victims, task);
		tasks = MIN(wanted, placement_fits_in(&room, step));
		if (tasks > c->tasks) {
			c->tasks = tasks;
			used = c->victims->len;
		}
	}
	g_ptr_array_set_size(c->victims, (gint)used);
	for (i = 0; i < used; i++)
		c->cost += cost_of(g_ptr_array_index(c->victims, i), p->now_ns);
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

static GArray *evaluate_all(const GPtrArray *workers,
			    const struct cq_placement *p,
			    double most_loss_core_s)
{
	GArray *candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	uint32_t wanted = waiting_tasks(p->stage);
	guint i;

	g_array_set_clear_func(candidates, candidate_clear);
	for (i = 0; i < workers->len; i++) {
		struct candidate c = {
			.worker = g_ptr_array_index(workers, i),
			.victims = g_ptr_array_new(),
		};

		evaluate(&c, p, most_loss_core_s, wanted);
		g_array_append_val(candidates, c);
	}
	g_array_sort(candidates, by_cost_per_task);
	return candidates;
}

/* Cost of the first candidates that hold the tasks; -1 if all do not. */
static double cheapest(const GArray *candidates, uint32_t wanted, guint *needed)
{
	uint32_t found = 0;
	double cost = 0;
	guint i;

	for (i = 0; i < candidates->len && found < wanted; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		found += c->tasks;
		cost += c->cost;
	}
	*needed = i;
	return found < wanted ? -1 : cost;
}

static void take(const GArray *candidates, guint needed,
		 const struct cq_stage *stage, GPtrArray *out)
{
	guint i, k;

	for (i = 0; i < needed; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		if (!c->tasks)
			continue;
		c->worker->reserved_for = stage;
		for (k = 0; k < c->victims->len; k++)
			g_ptr_array_add(out, g_ptr_array_index(c->victims, k));
	}
}

bool cq_placement_make_room(const struct cq_placement *p,
			    double most_loss_core_s, GPtrArray *out)
{
	GPtrArray *workers = placement_workers(p);
	GPtrArray *racks = placement_racks(workers);
	uint32_t wanted = waiting_tasks(p->stage);
	GArray *best = NULL;
	guint best_needed = 0;
	double best_cost = -1;
	guint i;

	if (!placement_one_rack(p, racks)) {
		g_ptr_array_set_size(racks, 0);
		g_ptr_array_add(racks, g_ptr_array_ref(workers));
	}
	for (i = 0; i < racks->len; i++) {
		GArray *candidates = evaluate_all(g_ptr_array_index(racks, i),
						  p, most_loss_core_s);
		guint needed;
		double cost = cheapest(candidates, wanted, &needed);

		if (cost < 0 || (best && cost >= best_cost)) {
			g_array_unref(candidates);
			continue;
		}
		if (best)
			g_array_unref(best);
		best = candidates;
		best_cost = cost;
		best_needed = needed;
	}
	if (best) {
		take(best, best_needed, p->stage, out);
		g_array_unref(best);
	}
	g_ptr_array_unref(racks);
	g_ptr_array_unref(workers);
	return best != NULL;
}
