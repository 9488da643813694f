#include "chestnutquay/dispatcher.h"

#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "coordination/dispatcher_internal.h"

#define TICK_S 0.05
/*
 * How often all runs are checked against the records of their jobs. What stops
 * a run stops it at once; this finds runs that a former leader had to stop.
 */
#define STOP_CHECK_INTERVAL_NS (INT64_C(300) * CQ_NS_PER_MS)
/* Delay that lets one plan handle all changes made during it. */
#define PLAN_DELAY_S 0.005
/*
 * Plans take at most one part in so many of the time. Renewals, heartbeats,
 * stops and recorded ends need the rest when the processor is short.
 */
#define PLAN_TIME_DIVISOR 4
#define MAX_PLAN_PAUSE_NS (INT64_C(150) * CQ_NS_PER_MS)
/* Run numbers reserved per task for each epoch. */
#define RUN_NUMBERS_PER_EPOCH 64
/* A worker gets no new runs for AVOID_NS after this many failures in a row. */
#define AVOID_AFTER_FAILURES 2
#define AVOID_NS (INT64_C(5) * CQ_NS_PER_S)

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events);
static void on_plan(struct ev_loop *loop, ev_timer *timer, int events);
static void retry_commands(struct cq_dispatcher *d,
			   struct cq_pool_worker *worker, bool check_stops,
			   int64_t now_ns);
static void update_batches(struct cq_dispatcher *d);
static void remove_unlisted_workers(struct cq_dispatcher *d, int64_t now_ns);
static void update_failure_streak(struct cq_dispatcher *d,
				  struct cq_pool_worker *worker,
				  enum cq_run_end how);
static void open_metrics(struct cq_dispatcher *d, struct cq_metrics *metrics);

int64_t dispatcher_now_ns(const struct cq_dispatcher *d)
{
	return cq_clock_now_ns(d->clock);
}

static void open_metrics(struct cq_dispatcher *d, struct cq_metrics *metrics)
{
	int i;

	d->starts = cq_metrics_counter(metrics, "cq_starts_total", "");
	d->stops = cq_metrics_counter(metrics, "cq_stops_total", "");
	d->heartbeats = cq_metrics_counter(metrics, "cq_holds_total", "");
	d->preemptions =
		cq_metrics_counter(metrics, "cq_preemptions_total", "");
	d->refused_records =
		cq_metrics_counter(metrics, "cq_records_refused_total", "");
	d->odd_rows = cq_metrics_counter(metrics, "cq_odd_rows_total", "");
	d->deleted_jobs =
		cq_metrics_counter(metrics, "cq_jobs_deleted_total", "");
	d->unreadable_records =
		cq_metrics_counter(metrics, "cq_records_unreadable_total", "");
	d->plan_work = cq_metrics_counter(metrics, "cq_plan_looks_total", "");
	d->plan_time = cq_metrics_histogram(metrics, "cq_plan_seconds", "");
	d->wait_time =
		cq_metrics_histogram(metrics, "cq_wait_for_start_seconds", "");
	for (i = 0; i <= CQ_RUN_LOST; i++) {
		char labels[64];

		g_snprintf(labels, sizeof(labels), "how=\"%s\"",
			   cq_run_end_string((enum cq_run_end)i));
		d->ends[i] = cq_metrics_counter(metrics, "cq_run_ends_total",
						labels);
	}
}

static void batch_free(void *data)
{
	cq_batch_destroy(data);
}

struct cq_dispatcher *
cq_dispatcher_create(const struct cq_dispatcher_options *options,
		     const struct cq_store *store,
		     const struct cq_executor *executor,
		     const struct cq_dispatcher_ops *ops, void *ctx)
{
	struct cq_dispatcher *d = g_new0(struct cq_dispatcher, 1);

	d->loop = options->loop;
	d->clock = options->clock;
	d->store = store;
	d->executor = executor;
	d->ops = ops;
	d->ctx = ctx;
	d->worker_prefix = g_strdup(options->worker_prefix);
	d->parse_listing = options->parse_listing;
	d->epoch = options->epoch;
	d->created_ns = cq_clock_now_ns(options->clock);
	d->store_timeout_ms = options->store_timeout_ms;
	d->max_lease_ms = options->max_lease_ms;
	d->remote_factor = options->remote_factor;
	d->run_number_floor =
		(uint32_t)(options->epoch - 1) * RUN_NUMBERS_PER_EPOCH;
	d->pool = cq_pool_create();
	d->batches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   batch_free);
	d->max_job_bytes = options->max_job_bytes;
	d->max_record_bytes = options->max_record_bytes;
	/* A former leader may have left the key. */
	d->full_unwritten = d->max_job_bytes != 0;
	ended_jobs_open(d);
	d->ended_retention_ns =
		(int64_t)options->ended_retention_ms * CQ_NS_PER_MS;
	d->links_with_ends = g_hash_table_new(NULL, NULL);
	g_queue_init(&d->dirty);
	open_metrics(d, options->metrics);
	ev_timer_init(&d->tick_timer, on_tick, TICK_S, TICK_S);
	ev_timer_init(&d->plan_timer, on_plan, 0., 0.);
	cq_work_share_init(&d->plan_share, PLAN_TIME_DIVISOR,
			   MAX_PLAN_PAUSE_NS);
	d->tick_timer.data = d;
	d->plan_timer.data = d;
	ev_timer_start(d->loop, &d->tick_timer);
	dispatcher_store_open(d, options->head_revision);
	return d;
}

void cq_dispatcher_destroy(struct cq_dispatcher *d)
{
	GHashTableIter iter;
	gpointer value;

	if (!d)
		return;
	ev_timer_stop(d->loop, &d->tick_timer);
	ev_timer_stop(d->loop, &d->plan_timer);
	dispatcher_store_close(d);
	g_queue_clear(&d->dirty);
	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;

		link_destroy(worker->link);
	}
	g_hash_table_destroy(d->links_with_ends);
	g_hash_table_destroy(d->batches);
	ended_jobs_close(d);
	cq_pool_destroy(d->pool);
	g_free(d->worker_prefix);
	g_free(d->pending_json);
	g_free(d);
}

void cq_dispatcher_set_config(struct cq_dispatcher *d,
			      const struct cq_queue_config *config)
{
	d->config = config;
	dispatcher_plan_soon(d);
}

void cq_dispatcher_set_evacuated(struct cq_dispatcher *d,
				 GHashTable *data_centres)
{
	d->evacuated = data_centres;
	dispatcher_plan_soon(d);
}

const struct cq_queue *dispatcher_queue(const struct cq_dispatcher *d,
					const struct cq_batch *batch)
{
	return cq_queue_config_find(d->config, batch->workload->queue);
}

void dispatcher_mark_dirty(struct cq_dispatcher *d, struct cq_batch *batch)
{
	if (!batch->dirty_queued) {
		batch->dirty_queued = true;
		g_queue_push_tail(&d->dirty, batch);
	}
	cq_journal_wake(d->journal);
}

void dispatcher_plan_soon(struct cq_dispatcher *d)
{
	int64_t wait_ns;

	if (ev_is_active(&d->plan_timer))
		return;
	wait_ns = cq_work_share_wait_ns(&d->plan_share, dispatcher_now_ns(d));
	ev_now_update(d->loop);
	ev_timer_set(&d->plan_timer,
		     MAX(PLAN_DELAY_S, (double)wait_ns / (double)CQ_NS_PER_S),
		     0.);
	ev_timer_start(d->loop, &d->plan_timer);
}

static void on_plan(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cq_dispatcher *d = timer->data;
	int64_t from_ns = dispatcher_now_ns(d);
	int64_t ended_ns;

	(void)loop;
	(void)events;
	dispatcher_plan(d);
	ended_ns = dispatcher_now_ns(d);
	cq_work_share_ended(&d->plan_share, from_ns, ended_ns);
	cq_histogram_observe_ns(d->plan_time, ended_ns - from_ns);
}

static void retry_commands(struct cq_dispatcher *d,
			   struct cq_pool_worker *worker, bool check_stops,
			   int64_t now_ns)
{
	guint i;

	for (i = worker->runs->len; i-- > 0;) {
		struct cq_task *task = g_ptr_array_index(worker->runs, i);

		if (check_stops)
			command_stop_ended(d, task);
		command_retry(d, task, now_ns);
	}
}

/*
 * Drops the batches that have ended and whose end is in the store, and writes
 * refused records again.
 */
static void update_batches(struct cq_dispatcher *d)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_batch *batch = value;

		dispatcher_rewrite_refused(d, batch);
		if (!cq_batch_state_is_terminal(batch->state) ||
		    batch->dirty_queued ||
		    batch->durable_version != batch->version ||
		    cq_batch_has_runs(batch))
			continue;
		ended_jobs_add(d, batch->workload->id);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Removes workers that have no runs and have not been listed for the longest
 * lease.
 */
static void remove_unlisted_workers(struct cq_dispatcher *d, int64_t now_ns)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;
		struct link *link = worker->link;

		if (worker->listed || worker->runs->len ||
		    (link && (link->heartbeat_in_flight ||
			      link->unacknowledged_ends->len)) ||
		    now_ns - worker->unlisted_ns <
			    (int64_t)d->max_lease_ms * CQ_NS_PER_MS)
			continue;
		link_destroy(link);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cq_dispatcher *d = timer->data;
	int64_t now_ns = dispatcher_now_ns(d);
	bool check_stops = now_ns >= d->next_stop_check_ns;
	GHashTableIter iter;
	gpointer value;

	(void)loop;
	(void)events;
	if (check_stops)
		d->next_stop_check_ns = now_ns + STOP_CHECK_INTERVAL_NS;
	command_allow_orders(d);
	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;

		link_tick(worker->link, now_ns);
		retry_commands(d, worker, check_stops, now_ns);
	}
	remove_unlisted_workers(d, now_ns);
	update_batches(d);
	dispatcher_store_tick(d);
	dispatcher_plan_soon(d);
}

static void update_failure_streak(struct cq_dispatcher *d,
				  struct cq_pool_worker *worker,
				  enum cq_run_end how)
{
	if (how == CQ_RUN_DONE) {
		worker->failure_streak = 0;
		return;
	}
	if (how != CQ_RUN_FAILED)
		return;
	worker->failure_streak++;
	if (worker->failure_streak < AVOID_AFTER_FAILURES)
		return;
	worker->avoid_until_ns = dispatcher_now_ns(d) + AVOID_NS;
	cq_log_event(CQ_LOG_WARN, "worker_avoided", "{s:s,s:i}", "worker",
		     worker->listing.id, "failures_in_a_row",
		     (int)worker->failure_streak);
}

static void stop_stage(struct cq_dispatcher *d, struct cq_stage *stage,
		       const char *reason)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		if (stage->tasks[i].phase != CQ_RUN_NONE)
			command_stop(d, &stage->tasks[i], reason);
}

void dispatcher_stop_batch(struct cq_dispatcher *d, struct cq_batch *batch,
			   const char *reason)
{
	uint32_t i;

	for (i = 0; i < cq_batch_stage_count(batch); i++)
		if (cq_batch_stage_at(batch, i)->active_count)
			stop_stage(d, cq_batch_stage_at(batch, i), reason);
}

static void log_job_end(struct cq_dispatcher *d, struct cq_batch *batch)
{
	batch->ended_ns = dispatcher_now_ns(d);
	cq_log_event(CQ_LOG_INFO, "job_ended", "{s:s,s:s,s:I}", "id",
		     batch->workload->id, "state",
		     cq_batch_state_string(batch->state), "took_ms",
		     (json_int_t)((batch->ended_ns - batch->accepted_ns) /
				  CQ_NS_PER_MS));
}

bool dispatcher_check_attempts(struct cq_dispatcher *d, struct cq_batch *batch,
			       const struct cq_queue *queue)
{
	if (!cq_batch_check_attempts(batch, queue->max_attempts))
		return false;
	log_job_end(d, batch);
	dispatcher_stop_batch(d, batch, "the job has ended");
	dispatcher_mark_dirty(d, batch);
	return true;
}

void dispatcher_end_run(struct cq_dispatcher *d, struct cq_task *task,
			enum cq_run_end how, const char *checkpoint)
{
	struct cq_stage *stage = task->stage;
	struct cq_batch *batch = stage->batch;
	const struct cq_queue *queue = dispatcher_queue(d, batch);
	struct cq_pool_worker *worker = task->worker;
	char name[CQ_TASK_NAME_BYTES];

	cq_task_name(task, name);
	cq_counter_add(d->ends[how], 1);
	cq_log_event(CQ_LOG_INFO, "run_ended", "{s:s,s:s,s:i,s:s,s:s,s:I}",
		     "id", batch->workload->id, "task", name, "run",
		     (int)task->run, "worker", worker->listing.id, "how",
		     cq_run_end_string(how), "ran_ms",
		     (json_int_t)(task->started_ns ? (dispatcher_now_ns(d) -
						      task->started_ns) /
							     CQ_NS_PER_MS
						   : 0));
	update_failure_streak(d, worker, how);
	if (cq_task_end(task, how, checkpoint,
			queue ? queue->max_attempts : 0)) {
		log_job_end(d, batch);
		/*
		 * The remaining members of a completed gang end on their own.
		 */
		if (batch->state != CQ_BATCH_COMPLETED)
			dispatcher_stop_batch(d, batch, "the job has ended");
	} else if (stage->step->gang && how != CQ_RUN_DONE &&
		   !cq_stage_done(stage)) {
		stop_stage(d, stage, "a member of the gang ended");
	}
	dispatcher_mark_dirty(d, batch);
	dispatcher_plan_soon(d);
}
