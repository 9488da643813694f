/*
 * Store access of the dispatcher: follows workers and workloads, reads progress
 * records at the beginning of the epoch, and counts jobs for the other hosts.
 */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "coordination/dispatcher_internal.h"

/*
 * A connection may go silent without an end, and a watch on it then learns of
 * nothing until it times out. A short wait bounds how long the leader misses
 * new jobs and workers that leave.
 */
#define WATCH_WAIT_MS 300
/* Until a page begins to arrive: a store under load may be slow to read it. */
#define LIST_TIMEOUT_MS 6000
/* Part of the limit for jobs below which further ones are taken again */
#define OPEN_PERCENT 90

static void on_worker_changed(void *ctx, const struct cq_store_entry *entry);
static void on_worker_removed(void *ctx, const char *key);
static void on_workers_synced(void *ctx);
static void read_progress(struct cq_dispatcher *d);
static void on_progress(void *ctx, const struct cq_store_result *result);
static void on_workload_changed(void *ctx, const struct cq_store_entry *entry);
static void on_workload_removed(void *ctx, const char *key);
static void on_workloads_synced(void *ctx);
static struct cq_pool_worker *find_restored_worker(void *ctx, const char *id,
						   int64_t born_unix_ms);
static bool restore_progress(struct cq_dispatcher *d, struct cq_batch *batch);
static struct cq_batch *take_workload(struct cq_dispatcher *d,
				      struct cq_workload *w);
static void cancel_batch(struct cq_dispatcher *d, struct cq_batch *batch);

static const struct cq_follower_ops worker_ops = {
	.changed = on_worker_changed,
	.removed = on_worker_removed,
	.synced = on_workers_synced,
};

static const struct cq_follower_ops workload_ops = {
	.changed = on_workload_changed,
	.removed = on_workload_removed,
	.synced = on_workloads_synced,
};

void dispatcher_store_open(struct cq_dispatcher *d, int64_t head_revision)
{
	const struct cq_journal_options journal = {
		.loop = d->loop,
		.clock = d->clock,
		.head_key = CQ_KEY_HEAD,
		.epoch = d->epoch,
		.head_revision = head_revision,
		.call_timeout_ms = d->store_timeout_ms,
	};
	const struct cq_follower_options workers = {
		.loop = d->loop,
		.clock = d->clock,
		.prefix = d->worker_prefix,
		.wait_ms = WATCH_WAIT_MS,
		.list_timeout_ms = LIST_TIMEOUT_MS,
	};

	d->written_batches =
		g_array_new(FALSE, TRUE, sizeof(struct written_batch));
	d->progress =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->journal = cq_journal_create(&journal, d->store,
				       &dispatcher_journal_ops, d);
	d->workers = cq_follower_create(&workers, d->store, &worker_ops, d);
}

void dispatcher_store_close(struct cq_dispatcher *d)
{
	cq_follower_destroy(d->workers);
	cq_follower_destroy(d->workloads);
	if (d->list_call)
		d->store->ops->cancel(d->store->self, d->list_call);
	cq_journal_destroy(d->journal);
	g_array_unref(d->written_batches);
	g_hash_table_destroy(d->progress);
}

bool dispatcher_loaded(const struct cq_dispatcher *d)
{
	return d->config && d->workloads && cq_follower_synced(d->workloads);
}

/* Whether the run, by its estimate, needs longer than the worker stays. */
static bool is_doomed(const struct cq_task *task, int64_t now_ns,
		      uint32_t remaining_ms)
{
	int64_t ran_ms = task->started_ns
				 ? (now_ns - task->started_ns) / CQ_NS_PER_MS
				 : 0;

	return task->stage->step->long_running ||
	       task->stage->step->estimate_ms - ran_ms > remaining_ms;
}

/*
 * Runs that end with the worker are stopped when it says that it leaves, so
 * that their tasks start elsewhere: a worker that has left doesn't say so, and
 * they would have to wait until its lease has surely expired.
 */
static void stop_doomed_runs(struct cq_dispatcher *d,
			     const struct cq_pool_worker *worker)
{
	uint32_t remaining_ms = worker->listing.remaining_ms;
	int64_t now_ns = dispatcher_now_ns(d);
	guint i;

	for (i = worker->runs->len; remaining_ms && i-- > 0;) {
		struct cq_task *task;

		/* A stop may end other runs, of the same gang. */
		if (i >= worker->runs->len)
			continue;
		task = g_ptr_array_index(worker->runs, i);
		if (is_doomed(task, now_ns, remaining_ms))
			command_stop(d, task, "the worker leaves too soon");
	}
}

/*
 * Whether the listing was written by an earlier incarnation than the one that
 * is known, unless the later one is silent.
 */
static bool is_outdated(const struct cq_pool_worker *worker,
			const struct cq_executor_registration *listing)
{
	return listing->started_unix_ms &&
	       listing->started_unix_ms < worker->listing.started_unix_ms &&
	       !((struct link *)worker->link)->heartbeat_failed;
}

static void take_listing(struct cq_dispatcher *d, struct cq_pool_worker *worker,
			 const struct cq_executor_registration *listing,
			 int64_t revision)
{
	bool draining = worker->listing.state == CQ_REGISTRATION_DRAINING;
	bool leaves = listing->state == CQ_REGISTRATION_DRAINING;

	if (listing->started_unix_ms && worker->listing.started_unix_ms &&
	    listing->started_unix_ms != worker->listing.started_unix_ms) {
		link_reset_incarnation(worker->link, listing->started_unix_ms);
		draining = false;
	}
	if (!worker->listed || leaves != draining)
		cq_log_event(CQ_LOG_INFO, "worker_listed", "{s:s,s:s,s:b,s:I}",
			     "worker", listing->id, "address", listing->address,
			     "draining", leaves, "revision",
			     (json_int_t)revision);
	cq_pool_update(worker, listing);
	if (leaves && !draining)
		stop_doomed_runs(d, worker);
	dispatcher_plan_soon(d);
}

static void on_worker_changed(void *ctx, const struct cq_store_entry *entry)
{
	struct cq_dispatcher *d = ctx;
	const char *id = entry->key + strlen(d->worker_prefix);
	struct cq_executor_registration listing;
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_pool_worker *worker;

	if (d->parse_listing(id, entry->value, entry->value_len, &listing,
			     &err)) {
		worker = cq_pool_add(d->pool, id);
		if (!worker->link)
			worker->link = link_create(d, worker);
		if (!is_outdated(worker, &listing))
			take_listing(d, worker, &listing, entry->revision);
	} else {
		cq_log_event(CQ_LOG_WARN, "worker_entry_ignored",
			     "{s:s,s:I,s:s}", "key", entry->key, "revision",
			     (json_int_t)entry->revision, "error", err.message);
		on_worker_removed(d, entry->key);
	}
	cq_executor_registration_clear(&listing);
}

static void on_worker_removed(void *ctx, const char *key)
{
	struct cq_dispatcher *d = ctx;
	struct cq_pool_worker *worker =
		cq_pool_find(d->pool, key + strlen(d->worker_prefix));

	if (!worker || !worker->listed)
		return;
	worker->listed = false;
	worker->unlisted_ns = dispatcher_now_ns(d);
	cq_log_event(CQ_LOG_INFO, "worker_unlisted", "{s:s,s:i}", "worker",
		     worker->listing.id, "runs", (int)worker->runs->len);
	dispatcher_plan_soon(d);
}

static void on_workers_synced(void *ctx)
{
	struct cq_dispatcher *d = ctx;

	if (!d->workloads && !d->list_call)
		read_progress(d);
}

static void read_progress(struct cq_dispatcher *d)
{
	d->list_call = d->store->ops->list(d->store->self, CQ_KEY_PROGRESS,
					   LIST_TIMEOUT_MS, on_progress, d);
}

static void on_progress(void *ctx, const struct cq_store_result *result)
{
	struct cq_dispatcher *d = ctx;
	const struct cq_follower_options workloads = {
		.loop = d->loop,
		.clock = d->clock,
		.prefix = CQ_KEY_WORKLOADS,
		.wait_ms = WATCH_WAIT_MS,
		.list_timeout_ms = LIST_TIMEOUT_MS,
	};
	size_t i;

	d->list_call = NULL;
	/* dispatcher_store_tick() reads the records again. */
	if (result->status != CQ_STORE_OK) {
		cq_log_event(CQ_LOG_WARN, "progress_unread", "{s:s,s:s}",
			     "status", cq_store_status_string(result->status),
			     "error", result->message ? result->message : "");
		return;
	}
	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *entry = &result->entries[i];

		g_hash_table_insert(
			d->progress,
			g_strdup(entry->key + strlen(CQ_KEY_PROGRESS)),
			g_strndup(entry->value, entry->value_len));
	}
	cq_log_event(CQ_LOG_INFO, "progress_read", "{s:i,s:I}", "records",
		     (int)result->entry_count, "revision",
		     (json_int_t)result->revision);
	d->workloads =
		cq_follower_create(&workloads, d->store, &workload_ops, d);
}

/*
 * The worker of a restored run. Whether it has been restarted since is not
 * taken from its entry, which another writer may have changed: the first lists
 * of the worker show whether the run is there.
 */
static struct cq_pool_worker *find_restored_worker(void *ctx, const char *id,
						   int64_t born_unix_ms)
{
	struct cq_dispatcher *d = ctx;
	struct cq_pool_worker *worker = cq_pool_find(d->pool, id);

	if (worker)
		return worker;
	worker = cq_pool_add(d->pool, id);
	worker->listing.started_unix_ms = born_unix_ms;
	worker->unlisted_ns = dispatcher_now_ns(d);
	worker->link = link_create(d, worker);
	return worker;
}

/*
 * Returns false if the job has a record that cannot be read. Nobody knows then
 * which of its tasks are done or run: it is left alone, and the record as well.
 */
static bool restore_progress(struct cq_dispatcher *d, struct cq_batch *batch)
{
	const char *record =
		g_hash_table_lookup(d->progress, batch->workload->id);
	struct cq_error err = CQ_ERROR_INIT;
	bool ok;

	if (!record)
		return true;
	batch->record_bytes = strlen(record);
	ok = cq_batch_restore(batch, record, strlen(record),
			      find_restored_worker, d, &err);
	if (!ok) {
		cq_counter_add(d->unreadable_records, 1);
		cq_log_event(CQ_LOG_ERROR, "progress_unreadable", "{s:s,s:s}",
			     "id", batch->workload->id, "error", err.message);
	}
	g_hash_table_remove(d->progress, batch->workload->id);
	return ok;
}

/* Takes the workload over; NULL if its progress is not known. */
static struct cq_batch *take_workload(struct cq_dispatcher *d,
				      struct cq_workload *w)
{
	int64_t age_ms = cq_clock_unix_ms(d->clock) - w->accepted_ms;
	struct cq_batch *batch = cq_batch_create(w);

	batch->max_record_bytes = d->max_record_bytes;
	batch->accepted_ns =
		dispatcher_now_ns(d) - MAX(0, age_ms) * CQ_NS_PER_MS;
	/* A cancelled one ends whatever its progress was. */
	if (!restore_progress(d, batch) && !w->cancelled) {
		cq_batch_destroy(batch);
		return NULL;
	}
	g_hash_table_insert(d->batches, w->id, batch);
	cq_log_event(CQ_LOG_INFO, "job_taken", "{s:s,s:s,s:s,s:i,s:I}", "id",
		     w->id, "queue", w->queue, "state",
		     cq_batch_state_string(batch->state), "steps",
		     (int)w->step_count, "age_ms", (json_int_t)age_ms);
	return batch;
}

static void cancel_batch(struct cq_dispatcher *d, struct cq_batch *batch)
{
	batch->cancelled = true;
	if (cq_batch_state_is_terminal(batch->state))
		return;
	batch->state = CQ_BATCH_CANCELLED;
	batch->ended_ns = dispatcher_now_ns(d);
	batch->version++;
	cq_log_event(CQ_LOG_INFO, "job_cancelled", "{s:s,s:b}", "id",
		     batch->workload->id, "started", cq_batch_started(batch));
	dispatcher_mark_dirty(d, batch);
	dispatcher_stop_batch(d, batch, "the job was cancelled");
}

static void on_workload_changed(void *ctx, const struct cq_store_entry *entry)
{
	struct cq_dispatcher *d = ctx;
	const char *id = entry->key + strlen(CQ_KEY_WORKLOADS);
	struct cq_batch *batch = g_hash_table_lookup(d->batches, id);
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_workload *w;
	bool cancelled;

	w = cq_workload_parse(entry->value, entry->value_len, &err);
	if (!w) {
		cq_log_event(CQ_LOG_ERROR, "workload_unreadable", "{s:s,s:s}",
			     "key", entry->key, "error", err.message);
		return;
	}
	cancelled = w->cancelled;
	if (ended_jobs_ignore(d, id, cancelled)) {
		cq_workload_destroy(w);
		return;
	}
	if (batch)
		cq_workload_destroy(w);
	else
		batch = take_workload(d, w);
	if (!batch)
		return;
	if (cancelled && !batch->cancelled)
		cancel_batch(d, batch);
	dispatcher_plan_soon(d);
}

static void on_workload_removed(void *ctx, const char *key)
{
	if (!ended_jobs_removed(ctx, key + strlen(CQ_KEY_WORKLOADS)))
		cq_log_event(CQ_LOG_WARN, "workload_gone", "{s:s}", "key", key);
}

static void on_workloads_synced(void *ctx)
{
	struct cq_dispatcher *d = ctx;

	g_hash_table_remove_all(d->progress);
	dispatcher_plan_soon(d);
}

/* Full at the limit, and no more below the part of it that OPEN_PERCENT is. */
static void update_full(struct cq_dispatcher *d, uint64_t bytes)
{
	bool full = bytes * 100 >=
		    d->max_job_bytes * (d->full ? OPEN_PERCENT : 100);

	if (!d->max_job_bytes || full == d->full)
		return;
	d->full = full;
	d->full_unwritten = true;
	cq_log_event(full ? CQ_LOG_WARN : CQ_LOG_INFO,
		     full ? "jobs_full" : "jobs_open", "{s:i,s:I,s:I}", "jobs",
		     (int)g_hash_table_size(d->batches), "bytes",
		     (json_int_t)bytes, "limit_bytes",
		     (json_int_t)d->max_job_bytes);
	cq_journal_wake(d->journal);
}

void dispatcher_store_tick(struct cq_dispatcher *d)
{
	uint64_t bytes = 0;
	json_t *counts;
	GHashTableIter iter;
	gpointer value;
	char *text;

	/* Large records may have waited for the end of their pause. */
	if (ended_jobs_due(d) || !g_queue_is_empty(&d->dirty))
		cq_journal_wake(d->journal);
	if (!d->workloads) {
		if (!d->list_call && cq_follower_synced(d->workers))
			read_progress(d);
		return;
	}
	if (!dispatcher_loaded(d) || d->next_pending_write_ns < 0 ||
	    dispatcher_now_ns(d) < d->next_pending_write_ns)
		return;
	counts = json_object();
	g_hash_table_iter_init(&iter, d->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_batch *batch = value;
		const char *queue = batch->workload->queue;
		json_int_t count;

		bytes += cq_batch_bytes(batch);
		if (batch->state != CQ_BATCH_QUEUED)
			continue;
		count = json_integer_value(json_object_get(counts, queue));
		json_object_set_new(counts, queue, json_integer(count + 1));
	}
	update_full(d, bytes);
	text = json_dumps(counts, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(counts);
	if (g_strcmp0(text, d->pending_json)) {
		g_free(d->pending_json);
		d->pending_json = text;
		d->next_pending_write_ns = -1; /* collect_records() writes it */
		cq_journal_wake(d->journal);
		return;
	}
	g_free(text);
}
