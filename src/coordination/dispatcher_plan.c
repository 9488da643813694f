/* Collects the ready stages, plans them, and carries out the decisions. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/stage_plan.h"
#include "chestnutquay/stage_rank.h"
#include "coordination/dispatcher_internal.h"

/*
 * Looks at workers and runs in one plan; the next one goes on from there. On
 * the smallest hosts, with an eighth of a core, that is less than half of a
 * lease.
 */
#define MAX_PLAN_WORK 1000000
/*
 * Runs whose start waits for the record in the store. Their starts are sent in
 * one go when it is there.
 */
#define MAX_RECORDING 512
/*
 * Tasks of all jobs in occurrences that are due and that nothing has started
 * of. Each job has an equal part, and one occurrence at least.
 */
#define MAX_UNSTARTED_TASKS 8192

static bool worker_usable(const struct cq_dispatcher *d,
			  const struct cq_pool_worker *worker, int64_t now_ns);
static void collect_ready(struct cq_dispatcher *d, GArray *ready);
static guint count_racks(const GArray *assignments);
static void start_stage(void *ctx, const struct cq_ready_stage *ready,
			const GArray *assignments);
static void preempt_runs(void *ctx, const struct cq_ready_stage *ready,
			 const GPtrArray *tasks);
static void prepare_workers(struct cq_dispatcher *d, int64_t now_ns);

static bool worker_usable(const struct cq_dispatcher *d,
			  const struct cq_pool_worker *worker, int64_t now_ns)
{
	const struct link *link = worker->link;

	return worker->listed &&
	       worker->listing.state == CQ_REGISTRATION_READY && link &&
	       link->fenced && !link->heartbeat_failed &&
	       worker->avoid_until_ns <= now_ns &&
	       !(d->evacuated &&
		 g_hash_table_contains(d->evacuated,
				       worker->listing.data_centre));
}

static void collect_ready(struct cq_dispatcher *d, GArray *ready)
{
	int64_t now_ns = dispatcher_now_ns(d);
	int64_t unix_ms = cq_clock_unix_ms(d->clock);
	uint32_t part =
		MAX_UNSTARTED_TASKS / MAX(1, g_hash_table_size(d->batches));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_batch *batch = value;
		const struct cq_queue *queue = dispatcher_queue(d, batch);

		if (cq_batch_state_is_terminal(batch->state) || !queue ||
		    queue->advised ||
		    dispatcher_check_attempts(d, batch, queue))
			continue;
		batch->max_unstarted = MIN(part, CQ_BATCH_MAX_UNSTARTED_TASKS);
		cq_stage_plan_collect(batch, queue, now_ns, unix_ms, ready);
	}
}

/* Number of racks that the runs are placed in */
static guint count_racks(const GArray *assignments)
{
	GHashTable *racks = g_hash_table_new(NULL, NULL);
	guint count, i;

	for (i = 0; i < assignments->len; i++)
		g_hash_table_add(racks, g_array_index(assignments,
						      struct cq_assignment, i)
						.worker->rack);
	count = g_hash_table_size(racks);
	g_hash_table_destroy(racks);
	return count;
}

static void start_stage(void *ctx, const struct cq_ready_stage *ready,
			const GArray *assignments)
{
	struct cq_dispatcher *d = ctx;
	struct cq_stage *stage = ready->stage;
	int64_t now_ns = dispatcher_now_ns(d);
	uint32_t gang_run = cq_stage_next_run(stage, d->run_number_floor);
	guint i;

	if (!stage->started)
		cq_histogram_observe_ns(d->wait_time, now_ns - stage->ready_ns);
	for (i = 0; i < assignments->len; i++) {
		const struct cq_assignment *a =
			&g_array_index(assignments, struct cq_assignment, i);
		uint32_t run =
			stage->step->gang
				? gang_run
				: MAX(a->task->run, d->run_number_floor) + 1;

		cq_task_assign(a->task, a->worker, run);
	}
	cq_log_event(CQ_LOG_INFO, "stage_placed",
		     "{s:s,s:i,s:i,s:i,s:i,s:I,s:I}", "id",
		     stage->batch->workload->id, "occurrence",
		     (int)stage->occurrence, "step", (int)stage->step_index,
		     "tasks", (int)assignments->len, "racks",
		     (int)count_racks(assignments), "waited_ms",
		     (json_int_t)((now_ns - stage->ready_ns) / CQ_NS_PER_MS),
		     "config_version", (json_int_t)d->config->version);
	dispatcher_mark_dirty(d, stage->batch);
}

static void preempt_runs(void *ctx, const struct cq_ready_stage *ready,
			 const GPtrArray *tasks)
{
	struct cq_dispatcher *d = ctx;
	const struct cq_stage *stage = ready->stage;
	int64_t waited_ns = dispatcher_now_ns(d) - stage->ready_ns;
	guint i;

	cq_log_event(CQ_LOG_INFO, "room_made", "{s:s,s:i,s:i,s:i,s:I}", "id",
		     stage->batch->workload->id, "step", (int)stage->step_index,
		     "rank", (int)stage->rank, "stops", (int)tasks->len,
		     "waited_ms", (json_int_t)(waited_ns / CQ_NS_PER_MS));
	for (i = 0; i < tasks->len; i++) {
		cq_counter_add(d->preemptions, 1);
		command_stop(d, g_ptr_array_index(tasks, i),
			     "preempted by more urgent work");
	}
}

static void log_release(void *ctx, const struct cq_ready_stage *ready)
{
	struct cq_dispatcher *d = ctx;
	const struct cq_stage *stage = ready->stage;
	int64_t held_ns = dispatcher_now_ns(d) - stage->reserved_ns;

	cq_log_event(CQ_LOG_WARN, "reservation_ended", "{s:s,s:i,s:i,s:i,s:I}",
		     "id", stage->batch->workload->id, "occurrence",
		     (int)stage->occurrence, "step", (int)stage->step_index,
		     "rank", (int)stage->rank, "held_ms",
		     (json_int_t)(held_ns / CQ_NS_PER_MS));
}

static const struct cq_stage_plan_ops plan_ops = {
	.start = start_stage,
	.preempt = preempt_runs,
	.release = log_release,
};

static uint32_t count_recording(const struct cq_dispatcher *d)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, d->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const struct cq_batch *)value)->recording_count;
	return count;
}

/* Determines which workers may get new runs in this plan. */
static void prepare_workers(struct cq_dispatcher *d, int64_t now_ns)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;

		worker->usable = worker_usable(d, worker, now_ns);
		if (!d->round_unfinished)
			worker->reserved_for = NULL;
	}
}

void dispatcher_plan(struct cq_dispatcher *d)
{
	struct cq_stage_plan plan = {
		.policy = &cq_stage_policy_default,
		.pool = d->pool,
		.now_ns = dispatcher_now_ns(d),
		.remote_factor = d->remote_factor,
		.max_work = MAX_PLAN_WORK,
		.max_recording = MAX_RECORDING,
	};
	struct cq_stage_plan_result result;
	GArray *ready;

	if (!dispatcher_loaded(d) || !d->ops->may_command(d->ctx))
		return;
	ready = g_array_new(FALSE, TRUE, sizeof(struct cq_ready_stage));
	prepare_workers(d, plan.now_ns);
	collect_ready(d, ready);
	cq_stage_ranks_update(d->config, d->batches);
	if (!d->round_unfinished)
		d->plan_round++;
	plan.round = d->plan_round;
	plan.recording = count_recording(d);
	result = cq_stage_plan_run(&plan, ready, &plan_ops, d);
	cq_counter_add(d->plan_work, result.work);
	d->round_unfinished = !result.complete;
	d->starts_held_back = result.held_back || d->round_unfinished;
	if (d->round_unfinished && count_recording(d) < MAX_RECORDING)
		dispatcher_plan_soon(d);
	g_array_unref(ready);
}
