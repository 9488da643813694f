/*
 * Job records in the store: initial list, watch for changes, and writes by
 * compare-and-swap.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_private.h"

#define RETRY_BASE_MS 500

static void on_loaded(struct cq_controller *c, const char *job_id,
		      const struct cq_store_result *result);
static void on_watched(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result);
static void on_written(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result);
static void on_read_back(struct cq_controller *c, const char *job_id,
			 const struct cq_store_result *result);
static void apply_entry(struct cq_controller *c,
			const struct cq_store_entry *entry);
static void queue_entries(struct cq_controller *c,
			  const struct cq_store_result *result);
static void free_entry(gpointer data);
static void apply_record(struct cq_job *job, const struct cq_job_record *record,
			 int64_t revision);
static void drop_job(struct cq_controller *c, const char *id);

/*
 * Time of the next retry, with jitter so that the jobs do not all retry at once
 * after an outage.
 */
static int64_t retry_at_ns(struct cq_controller *c)
{
	int64_t jitter_ms = g_rand_int_range(c->random, 0, 2 * RETRY_BASE_MS);

	return cq_clock_now_ns(c->options.clock) +
	       (RETRY_BASE_MS + jitter_ms) * CQ_NS_PER_MS;
}

struct cq_controller_store_call *cq_controller_store_call_create(
	struct cq_controller *c, const char *job_id,
	void (*done)(struct cq_controller *c, const char *job_id,
		     const struct cq_store_result *result))
{
	struct cq_controller_store_call *call =
		g_new0(struct cq_controller_store_call, 1);
	const struct cq_job *job = g_hash_table_lookup(c->jobs, job_id);

	call->serial = job ? job->serial : 0;
	call->controller = c;
	call->done = done;
	g_strlcpy(call->job_id, job_id, sizeof(call->job_id));
	g_hash_table_add(c->store_calls, call);
	return call;
}

void cq_controller_on_store_result(void *ctx,
				   const struct cq_store_result *result)
{
	struct cq_controller_store_call *call = ctx;
	struct cq_controller *c = call->controller;
	const struct cq_job *job = g_hash_table_lookup(c->jobs, call->job_id);

	g_hash_table_steal(c->store_calls, call);
	/*
	 * Ignore the answer if the record was removed and created again in
	 * between.
	 */
	if ((job ? job->serial : 0) == call->serial)
		call->done(c, call->job_id, result);
	g_free(call);
}

void cq_controller_cancel_store_calls(struct cq_controller *c)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->store_calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_controller_store_call *call = key;

		c->store.ops->cancel(c->store.self, call->call);
	}
	g_hash_table_remove_all(c->store_calls);
	c->writes_in_flight = 0;
}

static char *jobs_prefix(const struct cq_controller *c)
{
	return g_strdup_printf(CQ_JOBS_PREFIX "%s/", c->data_centre);
}

void cq_controller_load(struct cq_controller *c, int64_t now_ns)
{
	struct cq_controller_store_call *call =
		cq_controller_store_call_create(c, "", on_loaded);
	char *prefix = jobs_prefix(c);

	c->next_load_ns =
		now_ns + 2 * CQ_NS_PER_MS * c->options.store_timeout_ms;
	call->call = c->store.ops->list(c->store.self, prefix,
					c->options.store_timeout_ms,
					cq_controller_on_store_result, call);
	g_free(prefix);
}

static void on_loaded(struct cq_controller *c, const char *job_id,
		      const struct cq_store_result *result)
{
	(void)job_id;
	if (c->records_listed)
		return;
	if (result->status != CQ_STORE_OK) {
		c->next_load_ns = retry_at_ns(c);
		return;
	}
	c->revision = result->revision;
	c->records_listed = true;
	queue_entries(c, result);
	cq_controller_apply_records(c);
}

/*
 * Queues a copy of the answer's entries. A large answer is applied over several
 * ticks, which bounds the time that each tick takes.
 */
static void queue_entries(struct cq_controller *c,
			  const struct cq_store_result *result)
{
	size_t i;

	for (i = 0; i < result->entry_count; i++) {
		struct cq_store_entry *copy = g_new(struct cq_store_entry, 1);

		*copy = result->entries[i];
		copy->key = g_strdup(copy->key);
		if (copy->value)
			copy->value = g_strndup(copy->value, copy->value_len);
		g_queue_push_tail(c->pending_entries, copy);
	}
}

static void free_entry(gpointer data)
{
	struct cq_store_entry *entry = data;

	g_free((char *)entry->key);
	g_free((char *)entry->value);
	g_free(entry);
}

void cq_controller_drop_pending_entries(struct cq_controller *c)
{
	g_queue_clear_full(c->pending_entries, free_entry);
}

void cq_controller_apply_records(struct cq_controller *c)
{
	struct cq_store_entry *entry;

	for (; c->tick_record_budget &&
	       (entry = g_queue_pop_head(c->pending_entries));
	     c->tick_record_budget--) {
		apply_entry(c, entry);
		free_entry(entry);
	}
	if (c->records_loaded || !c->records_listed ||
	    c->pending_entries->length)
		return;
	c->records_loaded = true;
	c->plan_wanted = true;
	cq_log_event(CQ_LOG_INFO, "jobs_loaded", "{s:I,s:I}", "jobs",
		     (json_int_t)g_hash_table_size(c->jobs), "revision",
		     (json_int_t)c->revision);
}

void cq_controller_watch(struct cq_controller *c, int64_t now_ns)
{
	struct cq_controller_store_call *call =
		cq_controller_store_call_create(c, "", on_watched);
	char *prefix = jobs_prefix(c);

	(void)now_ns;
	c->watching = true;
	call->call = c->store.ops->watch(c->store.self, prefix, c->revision,
					 c->options.watch_wait_ms,
					 cq_controller_on_store_result, call);
	g_free(prefix);
}

static void on_watched(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result)
{
	size_t i;

	(void)job_id;
	c->watching = false;
	if (result->status != CQ_STORE_OK) {
		c->next_watch_ns = retry_at_ns(c);
		return;
	}
	for (i = 0; i < result->entry_count; i++)
		c->revision = MAX(c->revision, result->entries[i].revision);
	queue_entries(c, result);
	cq_controller_apply_records(c);
	if (!c->pending_entries->length)
		cq_controller_watch(c, cq_clock_now_ns(c->options.clock));
}

void cq_controller_notify(struct cq_controller *c, const char *job_id,
			  int64_t now_ns)
{
	(void)job_id;
	c->next_watch_ns = now_ns;
	c->next_load_ns = MIN(c->next_load_ns, now_ns);
}

void cq_job_clear_attempt(struct cq_job *job)
{
	g_hash_table_remove(job->controller->active_jobs, job);
	g_clear_pointer(&job->gang, cq_gang_destroy);
	g_clear_pointer(&job->placements, g_free);
	job->outcome_recorded = false;
	job->stop_requested_ns = 0;
	job->stop_reason = CQ_REASON_NONE;
	job->stop_for[0] = '\0';
}

void cq_job_free(void *data)
{
	struct cq_job *job = data;

	cq_gang_destroy(job->gang);
	g_free(job->placements);
	g_free(job->decisions);
	g_free(job);
}

static void drop_job(struct cq_controller *c, const char *id)
{
	struct cq_job *job = g_hash_table_lookup(c->jobs, id);

	if (!job)
		return;
	cq_planner_forget_job(c->planner, id);
	if (job->writing)
		c->writes_in_flight--;
	g_hash_table_remove(c->active_jobs, job);
	if (job->dirty)
		g_queue_unlink(c->dirty_jobs, &job->dirty_link);
	g_hash_table_remove(c->jobs, id);
	c->plan_wanted = true;
}

static void apply_entry(struct cq_controller *c,
			const struct cq_store_entry *entry)
{
	struct cq_error err = CQ_ERROR_INIT;
	const char *id = strrchr(entry->key, '/');
	struct cq_job_record record;
	struct cq_job *job;

	if (!id)
		return;
	cq_controller_count(c, CQ_COUNT_RECORDS_APPLIED);
	id++;
	job = g_hash_table_lookup(c->jobs, id);
	if (!entry->value) {
		if (job && entry->revision > job->revision)
			drop_job(c, id);
		return;
	}
	if (!cq_job_record_parse(entry->value, entry->value_len, &record,
				 &err) ||
	    strcmp(record.id, id) != 0) {
		cq_log_event(CQ_LOG_ERROR, "job_record_invalid", "{s:s,s:s}",
			     "key", entry->key, "error", err.message);
		return;
	}
	if (!job) {
		uint32_t i;

		job = g_new0(struct cq_job, 1);
		job->controller = c;
		job->serial = ++c->serial;
		g_strlcpy(job->record.id, id, sizeof(job->record.id));
		g_hash_table_insert(c->jobs, job->record.id, job);
		for (i = 0; i < record.failed_worker_count; i++)
			cq_planner_observe_failure(c->planner, id,
						   record.failed_workers[i]);
	}
	if (entry->revision > job->revision)
		apply_record(job, &record, entry->revision);
}

/* Makes this record from the store the current one of the job. */
static void apply_record(struct cq_job *job, const struct cq_job_record *record,
			 int64_t revision)
{
	struct cq_controller *c = job->controller;

	if (cq_job_phase_is_terminal(record->phase) &&
	    (!cq_job_phase_is_terminal(job->record.phase) || !job->revision))
		g_queue_push_tail(c->ended_jobs, g_strdup(record->id));
	if (job->revision)
		cq_controller_observe_phase_change(c, &job->record, record);
	job->record = *record;
	job->revision = revision;
	c->plan_wanted = true;
	cq_job_mark_dirty(job);
}

bool cq_job_write(struct cq_job *job, const struct cq_job_record *next,
		  int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	struct cq_controller_store_call *call;
	char key[CQ_JOB_KEY_BYTES];
	char *text;

	if (job->writing || c->writes_in_flight >= c->options.max_writes ||
	    now_ns < job->retry_ns || !c->ops->may_command(c->ctx, now_ns))
		return false;
	job->pending_record = *next;
	g_strlcpy(job->pending_record.writer, c->writer,
		  sizeof(job->pending_record.writer));
	job->pending_record.sequence = ++c->sequence;
	job->pending_record.written_unix_ms =
		cq_clock_unix_ms(c->options.clock);
	job->writing = true;
	c->writes_in_flight++;
	cq_controller_count(c, CQ_COUNT_WRITES);
	cq_job_key(c->data_centre, job->record.id, key);
	text = cq_job_record_format(&job->pending_record);
	call = cq_controller_store_call_create(c, job->record.id, on_written);
	call->call = c->store.ops->put(c->store.self, key, text, job->revision,
				       0, c->options.store_timeout_ms,
				       cq_controller_on_store_result, call);
	free(text);
	return true;
}

static void finish_write(struct cq_job *job)
{
	job->writing = false;
	job->controller->writes_in_flight--;
	cq_job_mark_dirty(job);
}

/*
 * Ends the write and continues with the record found in the store, whoever
 * wrote it: this process or another one.
 */
static void apply_result(struct cq_job *job,
			 const struct cq_store_result *result)
{
	struct cq_controller *c = job->controller;

	finish_write(job);
	if (result->entry_count)
		apply_entry(c, &result->entries[0]);
	else
		drop_job(c, job->record.id);
}

static void on_written(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result)
{
	struct cq_job *job = g_hash_table_lookup(c->jobs, job_id);
	struct cq_controller_store_call *call;
	char key[CQ_JOB_KEY_BYTES];

	if (!job || !job->writing)
		return;
	switch (result->status) {
	case CQ_STORE_OK:
		finish_write(job);
		if (result->entry_count &&
		    result->entries[0].revision > job->revision)
			apply_record(job, &job->pending_record,
				     result->entries[0].revision);
		return;
	case CQ_STORE_CONFLICT:
		apply_result(job, result);
		return;
	case CQ_STORE_UNKNOWN:
		/*
		 * The answer was lost: read the record to see whether the write
		 * took effect.
		 */
		cq_job_key(c->data_centre, job_id, key);
		call = cq_controller_store_call_create(c, job_id, on_read_back);
		call->call = c->store.ops->get(c->store.self, key,
					       c->options.store_timeout_ms,
					       cq_controller_on_store_result,
					       call);
		return;
	case CQ_STORE_INVALID:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		cq_log_event(CQ_LOG_ERROR, "job_write_refused", "{s:s,s:s}",
			     "job", job_id, "error", result->message);
		break;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_UNAVAILABLE:
		break;
	}
	job->retry_ns = retry_at_ns(c);
	finish_write(job);
}

static void on_read_back(struct cq_controller *c, const char *job_id,
			 const struct cq_store_result *result)
{
	struct cq_job *job = g_hash_table_lookup(c->jobs, job_id);

	if (!job || !job->writing)
		return;
	if (result->status == CQ_STORE_OK) {
		apply_result(job, result);
		return;
	}
	/*
	 * If the unanswered write takes effect later, the next write fails with
	 * a conflict.
	 */
	job->retry_ns = retry_at_ns(c);
	finish_write(job);
	if (result->status == CQ_STORE_NOT_FOUND)
		drop_job(c, job_id);
}

void cq_controller_on_record_removed(struct cq_controller *c,
				     struct cq_job *job,
				     const struct cq_store_result *result)
{
	if (result->status == CQ_STORE_CONFLICT)
		apply_result(job, result);
	else
		drop_job(c, job->record.id);
}
