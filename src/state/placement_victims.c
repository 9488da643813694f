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
	double loss_core_s;
	bool taken;
};

/* What one search for victims has to know. */
struct search {
	const struct cq_placement *p;
	/* Gangs of which a victim was chosen: all of their runs will end. */
	GHashTable *given_up;
};

static double cores_of(const struct cq_workload_step *step);
static double loss_of(const struct search *search, const struct cq_task *task);
static bool is_given_up(const struct search *search,
			const struct cq_task *task);
static gint by_loss(gconstpointer a, gconstpointer b, gpointer search);
static void add_room(struct placement_room *room,
		     const struct cq_workload_step *step);
static GPtrArray *possible_victims(const struct search *search,
				   const struct cq_pool_worker *worker,
				   struct placement_room *room);
static void evaluate(const struct search *search, struct candidate *c,
		     uint32_t wanted);
static void candidate_clear(void *data);
static uint32_t waiting_tasks(const struct cq_stage *stage);
static GArray *evaluate_all(const struct search *search,
			    const GPtrArray *workers, uint32_t wanted);
static struct candidate *cheapest(const GArray *candidates);
static bool give_up_gangs(const struct search *search,
			  const struct candidate *c);
static bool holds_given_up(const struct search *search,
			   const struct cq_pool_worker *worker);
static double choose(const struct search *search, const GPtrArray *workers,
		     uint32_t wanted, GArray **chosen);
static void take(const GArray *chosen, const struct cq_stage *stage,
		 GPtrArray *out);

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

static bool is_given_up(const struct search *search, const struct cq_task *task)
{
	return g_hash_table_contains(search->given_up, task->stage);
}

static double cores_of(const struct cq_workload_step *step)
{
	return step->cpu_millicores / 1000.0 +
	       (double)step->accelerators * CORES_PER_ACCELERATOR;
}

/* Core-seconds that a stop of the run throws away. */
static double loss_of(const struct search *search, const struct cq_task *task)
{
	const struct cq_workload_step *step = task->stage->step;
	int64_t age_ns = search->p->now_ns - task->started_ns;
	double age_s = task->started_ns ? (double)age_ns / (double)CQ_NS_PER_S
					: 0;
	uint32_t members = step->gang ? task->stage->active_count : 1;

	if (is_given_up(search, task))
		return 0;
	if (step->checkpointing)
		age_s = MIN(age_s, CHECKPOINT_LOSS_S);
	return cores_of(step) * (age_s + RESTART_LOSS_S) * members;
}

static gint by_loss(gconstpointer a, gconstpointer b, gpointer search)
{
	double left = loss_of(search, *(const struct cq_task *const *)a);
	double right = loss_of(search, *(const struct cq_task *const *)b);

	return left < right ? -1 : left > right;
}

static void add_room(struct placement_room *room,
		     const struct cq_workload_step *step)
{
	room->cpu_millicores += step->fills ? 0 : step->cpu_millicores;
	room->memory_mb += step->memory_mb;
	room->accelerators += step->accelerators;
}

/* Runs that may be stopped, cheapest first; what is being stopped is room. */
static GPtrArray *possible_victims(const struct search *search,
				   const struct cq_pool_worker *worker,
				   struct placement_room *room)
{
	GPtrArray *others = g_ptr_array_new();
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		struct cq_task *task = g_ptr_array_index(worker->runs, i);

		if (task->stopping)
			add_room(room, task->stage->step);
		else if (task->stage->rank > search->p->stage->rank &&
			 !task->stage->step->max_unavailable)
			g_ptr_array_add(others, task);
	}
	g_ptr_array_sort_with_data(others, by_loss, (gpointer)search);
	return others;
}

/* As many tasks as wanted, or as fit, for the fewest victims. */
static void evaluate(const struct search *search, struct candidate *c,
		     uint32_t wanted)
{
	const struct cq_workload_step *step = search->p->stage->step;
	struct placement_room room = { c->worker->free_cpu_millicores,
				       c->worker->free_memory_mb,
				       c->worker->free_accelerators };
	GPtrArray *others = possible_victims(search, c->worker, &room);
	guint used = 0;
	guint i;

	g_ptr_array_set_size(c->victims, 0);
	c->loss_core_s = 0;
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
		c->loss_core_s +=
			loss_of(search, g_ptr_array_index(c->victims, i));
	g_ptr_array_unref(others);
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

static GArray *evaluate_all(const struct search *search,
			    const GPtrArray *workers, uint32_t wanted)
{
	GArray *candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	guint i;

	g_array_set_clear_func(candidates, candidate_clear);
	for (i = 0; i < workers->len; i++) {
		struct candidate c = {
			.worker = g_ptr_array_index(workers, i),
			.victims = g_ptr_array_new(),
		};

		evaluate(search, &c, wanted);
		g_array_append_val(candidates, c);
	}
	return candidates;
}

/* The one with the least loss a task; NULL if none takes a task. */
static struct candidate *cheapest(const GArray *candidates)
{
	struct candidate *best = NULL;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		if (!c->taken && c->tasks &&
		    (!best || c->loss_core_s * best->tasks <
				      best->loss_core_s * c->tasks))
			best = c;
	}
	return best;
}

/* True if a gang was added: its other runs make room at no further loss. */
static bool give_up_gangs(const struct search *search,
			  const struct candidate *c)
{
	bool added = false;
	guint i;

	for (i = 0; i < c->victims->len; i++) {
		struct cq_task *task = g_ptr_array_index(c->victims, i);

		if (!task->stage->step->gang || is_given_up(search, task))
			continue;
		g_hash_table_add(search->given_up, task->stage);
		added = true;
	}
	return added;
}

static bool holds_given_up(const struct search *search,
			   const struct cq_pool_worker *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		if (is_given_up(search, g_ptr_array_index(worker->runs, i)))
			return true;
	return false;
}

/*
 * The loss of the workers that hold the tasks, chosen one after the other by
 * what each adds; below zero if all of them do not. The chosen ones are marked
 * taken.
 */
static double choose(const struct search *search, const GPtrArray *workers,
		     uint32_t wanted, GArray **chosen)
{
	GArray *candidates;
	double loss_core_s = 0;
	guint i;

	g_hash_table_remove_all(search->given_up);
	candidates = evaluate_all(search, workers, wanted);
	*chosen = candidates;
	while (wanted) {
		struct candidate *c = cheapest(candidates);

		if (!c)
			return -1;
		if (c->tasks > wanted)
			evaluate(search, c, wanted);
		c->taken = true;
		wanted -= c->tasks;
		loss_core_s += c->loss_core_s;
		if (!wanted || !give_up_gangs(search, c))
			continue;
		for (i = 0; i < candidates->len; i++) {
			struct candidate *other =
				&g_array_index(candidates, struct candidate, i);

			if (!other->taken &&
			    holds_given_up(search, other->worker))
				evaluate(search, other, wanted);
		}
	}
	return loss_core_s;
}

static void take(const GArray *chosen, const struct cq_stage *stage,
		 GPtrArray *out)
{
	guint i, k;

	for (i = 0; i < chosen->len; i++) {
		const struct candidate *c =
			&g_array_index(chosen, struct candidate, i);

		if (!c->taken)
			continue;
		c->worker->reserved_for = stage;
		for (k = 0; out && k < c->victims->len; k++)
			g_ptr_array_add(out, g_ptr_array_index(c->victims, k));
	}
}

bool cq_placement_make_room(const struct cq_placement *p, double most_loss_s,
			    GPtrArray *out)
{
	const struct search search = {
		.p = p,
		.given_up = g_hash_table_new(NULL, NULL),
	};
	GPtrArray *workers = placement_workers(p);
	GPtrArray *racks = placement_racks(workers);
	uint32_t wanted = waiting_tasks(p->stage);
	double most_loss_core_s =
		most_loss_s * wanted * cores_of(p->stage->step);
	GArray *best = NULL;
	double best_loss = -1;
	bool affordable, kept;
	guint i;

	if (!placement_one_rack(p, racks)) {
		g_ptr_array_set_size(racks, 0);
		g_ptr_array_add(racks, g_ptr_array_ref(workers));
	}
	for (i = 0; i < racks->len; i++) {
		GArray *chosen;
		double loss = choose(&search, g_ptr_array_index(racks, i),
				     wanted, &chosen);

		if (loss < 0 || (best && loss >= best_loss)) {
			g_array_unref(chosen);
			continue;
		}
		if (best)
			g_array_unref(best);
		best = chosen;
		best_loss = loss;
	}
	affordable = best && best_loss <= most_loss_core_s;
	kept = affordable || (best && p->keeps_room);
	if (kept)
		take(best, p->stage, affordable ? out : NULL);
	if (best)
		g_array_unref(best);
	g_hash_table_destroy(search.given_up);
	g_ptr_array_unref(racks);
	g_ptr_array_unref(workers);
	return kept;
}
