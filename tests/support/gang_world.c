#include "gang_world.h"

#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/stage_plan.h"
#include "chestnutquay/text.h"

/* Times of the world begin late enough to be no special values. */
#define START_NS (INT64_C(1000) * CQ_NS_PER_S)

struct world_run {
	struct cq_task *task;
	int64_t ends_ms; /* negative: it lasts */
};

struct gang_world {
	uint32_t racks;
	uint32_t workers_each;
	struct cq_pool *pool;
	GPtrArray *batches;
	GArray *runs; /* struct world_run */
	struct cq_stage *gang;
	int64_t now_ns;
	uint32_t preempted;
};

static const struct cq_queue queue = { .service = "s", .stretch = 3 };

static struct cq_pool_worker *find_worker(const struct gang_world *w,
					  uint32_t rack, uint32_t k)
{
	char id[32];

	g_snprintf(id, sizeof(id), "w%u-%u", rack, k);
	return cq_pool_find(w->pool, id);
}

static void add_worker(struct gang_world *w, uint32_t rack, uint32_t k)
{
	struct cq_executor_registration listing;
	struct cq_pool_worker *worker;

	cq_executor_registration_init(&listing);
	cq_text_printf(&listing.id, "w%u-%u", rack, k);
	cq_text_printf(&listing.rack, "r0-%u", rack);
	cq_text_set(&listing.service, "s");
	listing.accelerators = GANG_WORLD_ACCELERATORS;
	worker = cq_pool_add(w->pool, listing.id);
	cq_pool_update(worker, &listing);
	worker->usable = true;
	cq_executor_registration_clear(&listing);
}

struct gang_world *gang_world_create(uint32_t racks, uint32_t workers_each)
{
	struct gang_world *w = g_new0(struct gang_world, 1);
	uint32_t rack, k;

	w->racks = racks;
	w->workers_each = workers_each;
	w->now_ns = START_NS;
	w->pool = cq_pool_create();
	w->batches = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cq_batch_destroy);
	w->runs = g_array_new(FALSE, TRUE, sizeof(struct world_run));
	for (rack = 0; rack < racks; rack++)
		for (k = 0; k < workers_each; k++)
			add_worker(w, rack, k);
	return w;
}

void gang_world_destroy(struct gang_world *w)
{
	g_array_unref(w->runs);
	g_ptr_array_unref(w->batches);
	cq_pool_destroy(w->pool);
	g_free(w);
}

static struct cq_stage *add_job(struct gang_world *w, uint32_t rank,
				uint32_t tasks, uint32_t accelerators,
				int64_t estimate_ms)
{
	struct cq_workload *job = cq_workload_create();
	struct cq_batch *batch;

	g_snprintf(job->id, sizeof(job->id), "%016u", w->batches->len);
	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = tasks;
	job->steps[0].accelerators = accelerators;
	job->steps[0].estimate_ms = estimate_ms;
	batch = cq_batch_create(job);
	batch->accepted_ns = w->now_ns;
	cq_batch_stage_at(batch, 0)->rank = rank;
	g_ptr_array_add(w->batches, batch);
	return cq_batch_stage_at(batch, 0);
}

bool gang_world_add_run(struct gang_world *w, const struct gang_world_run *run)
{
	struct cq_pool_worker *worker = find_worker(w, run->rack, run->worker);
	struct cq_workload_step *step;
	struct world_run added;
	struct cq_stage *stage;

	if (worker->free_accelerators < run->accelerators)
		return false;
	stage = add_job(w, run->rank, 1, run->accelerators, run->estimate_ms);
	step = &stage->batch->workload->steps[0];
	step->long_running = run->lasts;
	step->max_unavailable = run->max_unavailable;
	cq_task_assign(&stage->tasks[0], worker, 1);
	stage->tasks[0].phase = CQ_RUN_CONFIRMED;
	stage->tasks[0].started_ns = w->now_ns;
	added.task = &stage->tasks[0];
	added.ends_ms = run->lasts ? -1 : run->ends_ms;
	g_array_append_val(w->runs, added);
	return true;
}

void gang_world_drain(struct gang_world *w, uint32_t rack, uint32_t worker)
{
	find_worker(w, rack, worker)->usable = false;
}

void gang_world_add_gang(struct gang_world *w, uint32_t rank, uint32_t tasks,
			 int64_t estimate_ms)
{
	struct cq_workload_step *step;

	w->gang = add_job(w, rank, tasks, GANG_WORLD_ACCELERATORS, estimate_ms);
	step = &w->gang->batch->workload->steps[0];
	step->gang = true;
	step->same_rack = true;
}

static void start_stage(void *ctx, const struct cq_ready_stage *ready,
			const GArray *assignments)
{
	guint i;

	(void)ctx;
	(void)ready;
	for (i = 0; i < assignments->len; i++) {
		const struct cq_assignment *a =
			&g_array_index(assignments, struct cq_assignment, i);

		cq_task_assign(a->task, a->worker, 1);
	}
}

static void preempt_runs(void *ctx, const struct cq_ready_stage *ready,
			 const GPtrArray *tasks)
{
	struct gang_world *w = ctx;
	guint i;

	(void)ready;
	w->preempted += tasks->len;
	for (i = 0; i < tasks->len; i++)
		((struct cq_task *)g_ptr_array_index(tasks, i))->stopping =
			true;
}

/* A run that was told to stop in the plan before has stopped by now. */
static void end_runs(struct gang_world *w, int64_t now_ms)
{
	guint i;

	for (i = w->runs->len; i-- > 0;) {
		const struct world_run *run =
			&g_array_index(w->runs, struct world_run, i);
		bool over = run->ends_ms >= 0 && run->ends_ms <= now_ms;

		if (!over && !run->task->stopping)
			continue;
		/* The batch stays, without a run and not to be started. */
		cq_task_end(run->task, over ? CQ_RUN_DONE : CQ_RUN_STOPPED,
			    NULL, 0);
		g_array_remove_index_fast(w->runs, i);
	}
}

void gang_world_plan(struct gang_world *w, int64_t now_ms)
{
	static const struct cq_stage_plan_ops ops = {
		.start = start_stage,
		.preempt = preempt_runs,
	};
	const struct cq_stage_plan plan = {
		.policy = &cq_stage_policy_default,
		.pool = w->pool,
		.now_ns = START_NS + now_ms * CQ_NS_PER_MS,
		.remote_factor = GANG_WORLD_REMOTE_FACTOR,
	};
	GArray *ready = g_array_new(FALSE, TRUE, sizeof(struct cq_ready_stage));
	GHashTableIter iter;
	gpointer value;

	w->now_ns = plan.now_ns;
	end_runs(w, now_ms);
	g_hash_table_iter_init(&iter, w->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct cq_pool_worker *)value)->reserved_for = NULL;
	cq_stage_plan_collect(w->gang->batch, &queue, plan.now_ns, 1, ready);
	cq_stage_plan_run(&plan, ready, &ops, w);
	g_array_unref(ready);
}

bool gang_world_started(const struct gang_world *w)
{
	return w->gang->active_count > 0;
}

uint32_t gang_world_racks_used(const struct gang_world *w)
{
	GHashTable *racks = g_hash_table_new(NULL, NULL);
	uint32_t count, i;

	for (i = 0; i < w->gang->step->tasks; i++)
		if (w->gang->tasks[i].worker)
			g_hash_table_add(racks, w->gang->tasks[i].worker->rack);
	count = g_hash_table_size(racks);
	g_hash_table_destroy(racks);
	return count;
}

uint32_t gang_world_preempted(const struct gang_world *w)
{
	return w->preempted;
}

static uint32_t rack_room(const struct gang_world *w, uint32_t rack)
{
	uint32_t room = 0;
	uint32_t k;

	for (k = 0; k < w->workers_each; k++) {
		const struct cq_pool_worker *worker = find_worker(w, rack, k);

		room += worker->usable &&
			cq_pool_fits(worker, w->gang->step, 1);
	}
	return room;
}

uint32_t gang_world_room(const struct gang_world *w)
{
	uint32_t room = 0;
	uint32_t rack;

	for (rack = 0; rack < w->racks; rack++)
		room += rack_room(w, rack);
	return room;
}

uint32_t gang_world_best_rack(const struct gang_world *w)
{
	uint32_t best = 0;
	uint32_t rack;

	for (rack = 0; rack < w->racks; rack++)
		best = MAX(best, rack_room(w, rack));
	return best;
}

uint32_t gang_world_accelerators(const struct gang_world *w)
{
	return (uint32_t)cq_placement_prepare(w->pool).accelerators;
}

uint32_t gang_world_free_accelerators(const struct gang_world *w)
{
	return (uint32_t)cq_placement_prepare(w->pool).free_accelerators;
}
