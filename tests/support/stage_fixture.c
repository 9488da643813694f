#include "stage_fixture.h"

#include "chestnutquay/text.h"

static struct cq_queue urgent = { .service = "s", .stretch = 1.5 };
static struct cq_queue bulk = { .service = "s", .priority = 2, .stretch = 3 };

static void on_start(void *ctx, const struct cq_ready_stage *r,
		     const GArray *assignments)
{
	struct stage_fixture *w = ctx;
	guint i;

	(void)r;
	for (i = 0; i < assignments->len; i++) {
		const struct cq_assignment *a =
			&g_array_index(assignments, struct cq_assignment, i);

		cq_task_assign(a->task, a->worker, 1);
	}
	w->started += assignments->len;
}

static void on_preempt(void *ctx, const struct cq_ready_stage *r,
		       const GPtrArray *tasks)
{
	struct stage_fixture *w = ctx;

	(void)r;
	w->preempted += tasks->len;
}

static void on_release(void *ctx, const struct cq_ready_stage *r)
{
	struct stage_fixture *w = ctx;

	(void)r;
	w->released++;
}

static const struct cq_stage_plan_ops ops = { on_start, on_preempt,
					      on_release };

void stage_fixture_setup(struct stage_fixture *w, int workers)
{
	int k;

	*w = (struct stage_fixture){ .pool = cq_pool_create() };
	w->batches = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cq_batch_destroy);
	for (k = 0; k < workers; k++) {
		char id[16];
		struct cq_executor_registration listing = {
			.id = id,
			.service = "s",
			.rack = "r",
			.accelerators = 8,
		};
		struct cq_pool_worker *worker;

		g_snprintf(id, sizeof(id), "w%d", k);
		worker = cq_pool_add(w->pool, id);
		cq_pool_update(worker, &listing);
		worker->usable = true;
	}
}

void stage_fixture_teardown(struct stage_fixture *w)
{
	g_ptr_array_unref(w->batches);
	cq_pool_destroy(w->pool);
}

struct cq_workload_step *stage_fixture_step(const struct cq_stage *stage)
{
	return &stage->batch->workload->steps[0];
}

struct cq_stage *stage_fixture_add(struct stage_fixture *w, uint32_t rank,
				   uint32_t tasks, uint32_t accelerators)
{
	struct cq_workload *workload = cq_workload_create();
	struct cq_batch *batch;

	g_snprintf(workload->id, sizeof(workload->id), "%016u",
		   w->batches->len);
	workload->steps = g_new0(struct cq_workload_step, 1);
	workload->step_count = 1;
	workload->steps[0].tasks = tasks;
	workload->steps[0].accelerators = accelerators;
	workload->steps[0].estimate_ms = 4000;
	batch = cq_batch_create(workload);
	batch->accepted_ns = STAGE_FIXTURE_NOW_NS;
	cq_batch_stage_at(batch, 0)->rank = rank;
	g_ptr_array_add(w->batches, batch);
	return cq_batch_stage_at(batch, 0);
}

struct cq_stage *stage_fixture_add_gang(struct stage_fixture *w, uint32_t rank,
					uint32_t tasks)
{
	struct cq_stage *stage = stage_fixture_add(w, rank, tasks, 8);

	stage_fixture_step(stage)->gang = true;
	return stage;
}

void stage_fixture_assign(struct stage_fixture *w, struct cq_stage *stage,
			  int first_worker, int64_t age_ns)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%u", first_worker + i);
		cq_task_assign(&stage->tasks[i], cq_pool_find(w->pool, id), 1);
		stage->tasks[i].phase = CQ_RUN_CONFIRMED;
		stage->tasks[i].started_ns = STAGE_FIXTURE_NOW_NS - age_ns;
	}
}

static const struct cq_queue *queue_of(const struct cq_stage *stage)
{
	return stage->rank <= CQ_RANK_URGENT ? &urgent : &bulk;
}

void stage_fixture_plan_all(struct stage_fixture *w, struct cq_stage **stages,
			    int count, int64_t waited_ns)
{
	const struct cq_stage_plan p = {
		.policy = &cq_stage_policy_default,
		.pool = w->pool,
		.now_ns = STAGE_FIXTURE_NOW_NS + waited_ns,
		.round = w->round,
		.max_work = w->max_work,
		.max_recording = w->max_recording,
		.recording = w->recording,
	};
	GArray *ready = g_array_new(FALSE, TRUE, sizeof(struct cq_ready_stage));
	GHashTableIter iter;
	gpointer value;
	int i;

	g_hash_table_iter_init(&iter, w->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct cq_pool_worker *)value)->reserved_for = NULL;
	w->started = 0;
	w->preempted = 0;
	for (i = 0; i < count; i++) {
		stages[i]->ready_ns = STAGE_FIXTURE_NOW_NS;
		cq_stage_plan_collect(stages[i]->batch, queue_of(stages[i]),
				      p.now_ns, 0, ready);
	}
	w->result = cq_stage_plan_run(&p, ready, &ops, w);
	g_array_unref(ready);
}

void stage_fixture_plan(struct stage_fixture *w, struct cq_stage *stage,
			int64_t waited_ns)
{
	stage_fixture_plan_all(w, &stage, 1, waited_ns);
}

void stage_fixture_plan_both(struct stage_fixture *w, struct cq_stage *first,
			     struct cq_stage *second)
{
	struct cq_stage *stages[] = { first, second };

	stage_fixture_plan_all(w, stages, 2, 0);
}
