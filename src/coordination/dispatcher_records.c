/* What the dispatcher writes to the store, through the journal. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "coordination/dispatcher_internal.h"

/* Interval between writes of the numbers of waiting jobs. */
#define PENDING_WRITE_INTERVAL_NS (INT64_C(500) * CQ_NS_PER_MS)
/* A refused record is written again after this time, if nothing changed it. */
#define REFUSED_RETRY_NS (INT64_C(5) * CQ_NS_PER_S)
/*
 * Bytes of the records in one transaction, but for a single larger one: the
 * records of small jobs don't wait behind many large ones.
 */
#define MAX_TXN_RECORD_BYTES (256 * 1024)
/*
 * A larger record is written again only after a pause of 1 ms for each
 * BYTES_PER_PAUSE_MS: each write puts it together as a whole, and all other
 * writes wait meanwhile.
 */
#define LARGE_RECORD_BYTES (64 * 1024)
#define BYTES_PER_PAUSE_MS 2048

/* Fills in the progress record of the batch; returns its bytes. */
static size_t collect_batch(struct cq_dispatcher *d, struct cq_batch *batch,
			    struct cq_journal_record *record)
{
	struct written_batch written = { .version = batch->version };

	batch->dirty_queued = false;
	g_strlcpy(written.batch_id, batch->workload->id,
		  sizeof(written.batch_id));
	g_array_append_val(d->written_batches, written);
	record->key = g_strconcat(CQ_KEY_PROGRESS, batch->workload->id, NULL);
	record->value = cq_batch_format(batch);
	batch->record_bytes = strlen(record->value);
	batch->runs_since_record = 0;
	return batch->record_bytes;
}

/*
 * Adds the records of changed batches to the transaction, but for large ones
 * whose pause isn't over. Returns the number of its records.
 */
static uint32_t collect_progress(struct cq_dispatcher *d,
				 struct cq_journal_record *records,
				 uint32_t count, uint32_t max)
{
	int64_t now_ns = dispatcher_now_ns(d);
	guint left = g_queue_get_length(&d->dirty);
	size_t bytes = 0;

	for (; left && count < max && bytes < MAX_TXN_RECORD_BYTES; left--) {
		struct cq_batch *batch = g_queue_pop_head(&d->dirty);

		if (now_ns < batch->next_record_ns)
			g_queue_push_tail(&d->dirty, batch);
		else
			bytes += collect_batch(d, batch, &records[count++]);
	}
	return count;
}

static uint32_t collect_records(void *ctx, struct cq_journal_record *records,
				uint32_t max)
{
	struct cq_dispatcher *d = ctx;
	uint32_t count = 0;

	g_array_set_size(d->written_batches, 0);
	count = ended_jobs_collect(d, records, max);
	if (count)
		return count;
	if (d->full_unwritten && dispatcher_loaded(d)) {
		const struct written_batch none = { 0 };

		d->full_unwritten = false;
		records[count].key = g_strdup(CQ_KEY_FULL);
		records[count++].value = d->full ? g_strdup("1") : NULL;
		g_array_append_val(d->written_batches, none);
	}
	if (d->pending_json && d->next_pending_write_ns < 0) {
		const struct written_batch none = { 0 };

		d->next_pending_write_ns =
			dispatcher_now_ns(d) + PENDING_WRITE_INTERVAL_NS;
		records[count].key = g_strdup(CQ_KEY_PENDING);
		records[count++].value = g_strdup(d->pending_json);
		g_array_append_val(d->written_batches, none);
	}
	return collect_progress(d, records, count, max);
}

/* Each link that has no more unacknowledged ends leaves the set. */
static void update_all_acknowledged(struct cq_dispatcher *d)
{
	guint count;
	gpointer *links =
		g_hash_table_get_keys_as_array(d->links_with_ends, &count);
	guint i;

	for (i = 0; i < count; i++)
		link_update_acknowledged(links[i]);
	g_free(links);
}

static void pause_large_record(const struct cq_dispatcher *d,
			       struct cq_batch *batch)
{
	int64_t pause_ms = (int64_t)(batch->record_bytes / BYTES_PER_PAUSE_MS);

	if (batch->record_bytes > LARGE_RECORD_BYTES)
		batch->next_record_ns =
			dispatcher_now_ns(d) + pause_ms * CQ_NS_PER_MS;
}

static void on_committed(void *ctx, uint32_t first, uint32_t count)
{
	struct cq_dispatcher *d = ctx;
	uint32_t i;

	for (i = first; i < first + count; i++) {
		const struct written_batch *written = &g_array_index(
			d->written_batches, struct written_batch, i);
		struct cq_batch *batch =
			g_hash_table_lookup(d->batches, written->batch_id);

		if (written->deleted && written->batch_id[0])
			ended_jobs_deleted(d, written->batch_id);
		if (!batch || written->deleted)
			continue;
		batch->durable_version = written->version;
		batch->rewrite_ns = 0;
		pause_large_record(d, batch);
		command_start_recorded(d, batch);
	}
	update_all_acknowledged(d);
	if (d->starts_held_back)
		dispatcher_plan_soon(d);
	if (!g_queue_is_empty(&d->dirty) || ended_jobs_due(d))
		cq_journal_wake(d->journal);
}

/*
 * Sets the job apart: its record is too large to be stored. Runs that are not
 * sent yet are given up, and fewer tasks of the job run at a time from now on.
 * Ends of runs stay unacknowledged until a smaller record is stored.
 */
static void on_refused(void *ctx, uint32_t index, const char *error)
{
	struct cq_dispatcher *d = ctx;
	const struct written_batch *written =
		&g_array_index(d->written_batches, struct written_batch, index);
	struct cq_batch *batch =
		g_hash_table_lookup(d->batches, written->batch_id);
	uint32_t active = batch ? batch->active_count : 0;

	cq_counter_add(d->refused_records, 1);
	cq_log_event(CQ_LOG_ERROR, "record_refused", "{s:s,s:i,s:s}", "id",
		     written->batch_id, "active", (int)active, "error", error);
	if (!batch || written->deleted)
		return;
	batch->max_active = MAX(1, active / 2);
	batch->rewrite_ns = dispatcher_now_ns(d) + REFUSED_RETRY_NS;
	command_drop_recorded(d, batch);
}

void dispatcher_rewrite_refused(struct cq_dispatcher *d, struct cq_batch *batch)
{
	if (!batch->rewrite_ns || dispatcher_now_ns(d) < batch->rewrite_ns)
		return;
	batch->rewrite_ns = dispatcher_now_ns(d) + REFUSED_RETRY_NS;
	dispatcher_mark_dirty(d, batch);
}

static void on_superseded(void *ctx)
{
	struct cq_dispatcher *d = ctx;

	d->ops->superseded(d->ctx);
}

const struct cq_journal_ops dispatcher_journal_ops = {
	.collect = collect_records,
	.committed = on_committed,
	.refused = on_refused,
	.superseded = on_superseded,
};
