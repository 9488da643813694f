/* Selection of the runs that are preempted for a stage */
#include <string.h>

#include "chestnutquay/clock.h"
#include "state/placement_internal.h"

/* One accelerator counts as this many cores of lost work */
#define CORES_PER_ACCELERATOR 8
/* Work that a checkpointing task loses by a stop */
#define CHECKPOINT_LOSS_S 0.3
/* Cost of the restart after a stop */
#define RESTART_LOSS_S 0.3

/* A worker, and the runs to preempt there to make room for tasks */
struct candidate {
	struct cq_pool_worker *worker;
	GPtrArray *victims;
	uint32_t tasks;
	double loss_core_s;
	bool selected;
};

/* State of one search for victims */
struct victim_search {
	const struct cq_placement *p;
	/*
	 * Gangs (struct cq_stage) with a selected victim; all their runs end.
	 */
	GHashTable *preempted_gangs;
};

static double core_equivalents(const struct cq_workload_step *step);
static double preemption_loss(const struct victim_search *search,
			      const struct cq_task *task);
static bool is_gang_preempted(const struct victim_search *search,
			      const struct cq_task *task);
static gint compare_losses(gconstpointer a, gconstpointer b, gpointer search);
static GPtrArray *possible_victims(const struct victim_search *search,
				   const struct cq_pool_worker *worker,
				   struct placement_room *room,
				   uint32_t *own_tasks);
static void evaluate_candidate(const struct victim_search *search,
			       struct candidate *c, uint32_t wanted);
static void candidate_clear(void *data);
static uint32_t waiting_tasks(const struct cq_stage *stage);
static GArray *evaluate_all(const struct victim_search *search,
			    const GPtrArray *workers, uint32_t wanted);
static struct candidate *cheapest_candidate(const struct victim_search *search,
					    const GArray *candidates);
static bool add_preempted_gangs(const struct victim_search *search,
				const struct candidate *c);
static bool runs_preempted_gang(const struct victim_search *search,
				const struct cq_pool_worker *worker);
static double select_candidates(const struct victim_search *search,
				const GPtrArray *workers, uint32_t wanted,
				GArray **candidates_out);
static void reserve_selected(const GArray *candidates,
			     const struct cq_stage *stage, GPtrArray *out);

bool placement_takes_one(const struct placement_room *room,
			 const struct cq_workload_step *step,
			 uint32_t own_tasks)
{
	int64_t cpu_millicores = step->fills ? 0 : step->cpu_millicores;

	return room->cpu_millicores >= cpu_millicores &&
	       room->memory_mb >= (int64_t)step->memory_mb &&
	       room->accelerators >= (int64_t)step->accelerators &&
	       (!step->max_per_worker || own_tasks < step->max_per_worker);
}

uint32_t placement_count_fitting(const struct placement_room *room,
				 const struct cq_workload_step *step,
				 uint32_t own_tasks)
{
	int64_t tasks = INT32_MAX;

	if (!placement_takes_one(room, step, own_tasks))
		return 0;
	if (step->cpu_millicores && !step->fills)
		tasks = MIN(tasks, room->cpu_millicores /
					   (int64_t)step->cpu_millicores);
	if (step->memory_mb)
		tasks = MIN(tasks, room->memory_mb / (int64_t)step->memory_mb);
	if (step->accelerators)
		tasks = MIN(tasks,
			    room->accelerators / (int64_t)step->accelerators);
	if (step->max_per_worker)
		tasks = MIN(tasks, step->max_per_worker - own_tasks);
	return (uint32_t)tasks;
}

static bool is_gang_preempted(const struct victim_search *search,
			      const struct cq_task *task)
{
	return g_hash_table_contains(search->preempted_gangs, task->stage);
}

static double core_equivalents(const struct cq_workload_step *step)
{
	return step->cpu_millicores / 1000.0 +
	       (double)step->accelerators * CORES_PER_ACCELERATOR;
}

/*
 * Returns the core-seconds that are lost by stopping the run; none if the gang
 * of the run is preempted anyway.
 */
static double preemption_loss(const struct victim_search *search,
			      const struct cq_task *task)
{
	const struct cq_workload_step *step = task->stage->step;
	int64_t age_ns = search->p->now_ns - task->started_ns;
	double age_s = task->started_ns ? (double)age_ns / (double)CQ_NS_PER_S
					: 0;
	uint32_t members = step->gang ? task->stage->active_count : 1;

	if (is_gang_preempted(search, task))
		return 0;
	if (step->checkpointing)
		age_s = MIN(age_s, CHECKPOINT_LOSS_S);
	return core_equivalents(step) * (age_s + RESTART_LOSS_S) * members;
}

static gint compare_losses(gconstpointer a, gconstpointer b, gpointer search)
{
	double left =
		preemption_loss(search, *(const struct cq_task *const *)a);
	double right =
		preemption_loss(search, *(const struct cq_task *const *)b);

	return left < right ? -1 : left > right;
}

struct placement_room placement_free_room(const struct cq_pool_worker *worker)
{
	return (struct placement_room){ worker->free_cpu_millicores,
					worker->free_memory_mb,
					worker->free_accelerators };
}

bool placement_may_preempt(const struct cq_stage *stage,
			   const struct cq_task *task)
{
	return task->stage->rank > stage->rank &&
	       !task->stage->step->max_unavailable;
}

void placement_add_room(struct placement_room *room,
			const struct cq_workload_step *step)
{
	room->cpu_millicores += step->fills ? 0 : step->cpu_millicores;
	room->memory_mb += step->memory_mb;
	room->accelerators += step->accelerators;
}

/*
 * Returns the runs that may be preempted, cheapest first, and adds the
 * resources of the runs that are already being stopped to the room. own_tasks
 * gets the number of the stage's own runs that stay.
 */
static GPtrArray *possible_victims(const struct victim_search *search,
				   const struct cq_pool_worker *worker,
				   struct placement_room *room,
				   uint32_t *own_tasks)
{
	GPtrArray *victims = g_ptr_array_new();
	guint i;

	placement_add_work(search->p, worker->runs->len);
	for (i = 0; i < worker->runs->len; i++) {
		struct cq_task *task = g_ptr_array_index(worker->runs, i);

		if (task->stopping)
			placement_add_room(room, task->stage->step);
		else if (task->stage == search->p->stage)
			(*own_tasks)++;
		else if (placement_may_preempt(search->p->stage, task))
			g_ptr_array_add(victims, task);
	}
	g_ptr_array_sort_with_data(victims, compare_losses, (gpointer)search);
	return victims;
}

/*
 * Finds the fewest victims with which as many tasks as wanted, or else as many
 * as possible, fit on the worker.
 */
static void evaluate_candidate(const struct victim_search *search,
			       struct candidate *c, uint32_t wanted)
{
	const struct cq_workload_step *step = search->p->stage->step;
	struct placement_room room = placement_free_room(c->worker);
	uint32_t own_tasks = 0;
	GPtrArray *victims =
		possible_victims(search, c->worker, &room, &own_tasks);
	guint used = 0;
	guint i;

	g_ptr_array_set_size(c->victims, 0);
	c->loss_core_s = 0;
	c->tasks = MIN(wanted, placement_count_fitting(&room, step, own_tasks));
	for (i = 0; i < victims->len && c->tasks < wanted; i++) {
		struct cq_task *task = g_ptr_array_index(victims, i);
		uint32_t tasks;

		placement_add_room(&room, task->stage->step);
		g_ptr_array_add(c->victims, task);
		tasks = MIN(wanted,
			    placement_count_fitting(&room, step, own_tasks));
		if (tasks > c->tasks) {
			c->tasks = tasks;
			used = c->victims->len;
		}
	}
	g_ptr_array_set_size(c->victims, (gint)used);
	for (i = 0; i < used; i++)
		c->loss_core_s += preemption_loss(
			search, g_ptr_array_index(c->victims, i));
	g_ptr_array_unref(victims);
}

static void candidate_clear(void *data)
{
	struct candidate *c = data;

	g_ptr_array_unref(c->victims);
}

/* Tasks that wait and that the limit of the job lets start */
static uint32_t waiting_tasks(const struct cq_stage *stage)
{
	uint32_t waiting = 0;
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		waiting += !stage->tasks[i].done &&
			   stage->tasks[i].phase == CQ_RUN_NONE;
	if (stage->step->gang)
		return waiting;
	return MIN(waiting, cq_batch_active_room(stage->batch));
}

static GArray *evaluate_all(const struct victim_search *search,
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

		evaluate_candidate(search, &c, wanted);
		g_array_append_val(candidates, c);
	}
	return candidates;
}

/*
 * Returns the candidate with the least loss per task; NULL if none holds a
 * task.
 */
static struct candidate *cheapest_candidate(const struct victim_search *search,
					    const GArray *candidates)
{
	struct candidate *best = NULL;
	guint i;

	placement_add_work(search->p, candidates->len);
	for (i = 0; i < candidates->len; i++) {
		struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		if (!c->selected && c->tasks &&
		    (!best || c->loss_core_s * best->tasks <
				      best->loss_core_s * c->tasks))
			best = c;
	}
	return best;
}

/*
 * Adds the gangs of the victims to the preempted ones. Returns true if a gang
 * was added: its other runs then make room at no further loss.
 */
static bool add_preempted_gangs(const struct victim_search *search,
				const struct candidate *c)
{
	bool added = false;
	guint i;

	for (i = 0; i < c->victims->len; i++) {
		struct cq_task *task = g_ptr_array_index(c->victims, i);

		if (!task->stage->step->gang || is_gang_preempted(search, task))
			continue;
		g_hash_table_add(search->preempted_gangs, task->stage);
		added = true;
	}
	return added;
}

static bool runs_preempted_gang(const struct victim_search *search,
				const struct cq_pool_worker *worker)
{
	guint i;

	for (i = 0; i < worker->runs->len; i++)
		if (is_gang_preempted(search,
				      g_ptr_array_index(worker->runs, i)))
			return true;
	return false;
}

/*
 * Selects workers until they hold the wanted tasks, each time the one with the
 * least loss per task, and marks them selected. Returns the loss in
 * core-seconds; negative if all workers together do not hold the tasks.
 */
static double select_candidates(const struct victim_search *search,
				const GPtrArray *workers, uint32_t wanted,
				GArray **candidates_out)
{
	GArray *candidates;
	double loss_core_s = 0;
	guint i;

	g_hash_table_remove_all(search->preempted_gangs);
	candidates = evaluate_all(search, workers, wanted);
	*candidates_out = candidates;
	while (wanted) {
		struct candidate *c = cheapest_candidate(search, candidates);

		if (!c)
			return -1;
		if (c->tasks > wanted)
			evaluate_candidate(search, c, wanted);
		c->selected = true;
		wanted -= c->tasks;
		loss_core_s += c->loss_core_s;
		if (!wanted || !add_preempted_gangs(search, c))
			continue;
		for (i = 0; i < candidates->len; i++) {
			struct candidate *other =
				&g_array_index(candidates, struct candidate, i);

			if (!other->selected &&
			    runs_preempted_gang(search, other->worker))
				evaluate_candidate(search, other, wanted);
		}
	}
	return loss_core_s;
}

static bool has_victims(const GArray *candidates)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		if (c->selected && c->victims->len)
			return true;
	}
	return false;
}

static void reserve_selected(const GArray *candidates,
			     const struct cq_stage *stage, GPtrArray *out)
{
	guint i, k;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		if (!c->selected)
			continue;
		c->worker->reserved_for = stage;
		for (k = 0; out && k < c->victims->len; k++)
			g_ptr_array_add(out, g_ptr_array_index(c->victims, k));
	}
}

bool cq_placement_select_victims(const struct cq_placement *p,
				 double max_loss_s, GPtrArray *out)
{
	const struct victim_search search = {
		.p = p,
		.preempted_gangs = g_hash_table_new(NULL, NULL),
	};
	GPtrArray *workers = placement_workers(p);
	GPtrArray *racks = placement_racks(workers);
	uint32_t wanted = waiting_tasks(p->stage);
	double max_loss_core_s =
		max_loss_s * wanted * core_equivalents(p->stage->step);
	GArray *best = NULL;
	double best_loss = -1;
	bool affordable, reserved;
	guint i;

	if (!placement_waits_for_rack(p, racks)) {
		g_ptr_array_set_size(racks, 0);
		g_ptr_array_add(racks, g_ptr_array_ref(workers));
	}
	for (i = 0; i < racks->len; i++) {
		GArray *candidates;
		double loss = select_candidates(&search,
						g_ptr_array_index(racks, i),
						wanted, &candidates);

		if (loss < 0 || (best && loss >= best_loss)) {
			g_array_unref(candidates);
			continue;
		}
		if (best)
			g_array_unref(best);
		best = candidates;
		best_loss = loss;
	}
	affordable = best && best_loss <= max_loss_core_s;
	reserved = affordable || (best && p->reserve_unaffordable);
	if (p->reserve_with_victims_only)
		reserved = affordable && has_victims(best);
	if (reserved)
		reserve_selected(best, p->stage, affordable ? out : NULL);
	if (best)
		g_array_unref(best);
	g_hash_table_destroy(search.preempted_gangs);
	g_ptr_array_unref(racks);
	g_ptr_array_unref(workers);
	return reserved;
}
