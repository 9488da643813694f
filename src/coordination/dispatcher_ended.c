/*
 * Ended jobs. Their records stay in the store for the time that callers may ask
 * for the state, and are deleted then, so that neither the store nor what a new
 * leader reads grows with the jobs that have been.
 *
 * The time counts from when this leader saw the end or read the record, on a
 * clock that does not jump: a change of leaders only defers the deletion. Both
 * records of a job go in one transaction of the journal, which no former leader
 * can carry out late.
 */
#include <string.h>

#include "coordination/dispatcher_internal.h"

/*
 * Transactions that delete records are at least so far apart: three of them a
 * second are a hundredth of what the smallest store takes.
 */
#define DELETE_INTERVAL_NS (INT64_C(300) * CQ_NS_PER_MS)
#define RECORDS_PER_JOB 2

struct ended_job {
	char id[CQ_WORKLOAD_ID_BYTES];
	int64_t delete_ns; /* when its records may go */
	/* They are gone; a record under the id is that of another job. */
	bool deleted;
};

static struct ended_job *next_to_delete(const struct cq_dispatcher *d);

void ended_jobs_open(struct cq_dispatcher *d)
{
	d->ended = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_queue_init(&d->to_delete);
}

void ended_jobs_close(struct cq_dispatcher *d)
{
	g_queue_clear(&d->to_delete);
	g_hash_table_destroy(d->ended);
}

void ended_jobs_add(struct cq_dispatcher *d, const char *id)
{
	struct ended_job *job;

	if (g_hash_table_contains(d->ended, id))
		return;
	job = g_new0(struct ended_job, 1);
	g_strlcpy(job->id, id, sizeof(job->id));
	job->delete_ns = dispatcher_now_ns(d) + d->ended_retention_ns;
	g_hash_table_insert(d->ended, job->id, job);
	if (d->ended_retention_ns)
		g_queue_push_tail(&d->to_delete, job);
}

bool ended_jobs_ignore(struct cq_dispatcher *d, const char *id, bool cancelled)
{
	const struct ended_job *job = g_hash_table_lookup(d->ended, id);

	if (!job)
		return false;
	/* A late notice of the cancelling; its deletion follows. */
	if (!job->deleted || cancelled)
		return true;
	g_hash_table_remove(d->ended, id);
	return false;
}

bool ended_jobs_removed(struct cq_dispatcher *d, const char *id)
{
	const struct ended_job *job = g_hash_table_lookup(d->ended, id);

	if (!job || !job->deleted)
		return false;
	g_hash_table_remove(d->ended, id);
	return true;
}

void ended_jobs_deleted(struct cq_dispatcher *d, const char *id)
{
	struct ended_job *job = g_hash_table_lookup(d->ended, id);

	cq_counter_add(d->deleted_jobs, 1);
	if (job)
		job->deleted = true;
}

/* Jobs end in the order of their deletion, since all are kept equally long. */
static struct ended_job *next_to_delete(const struct cq_dispatcher *d)
{
	struct ended_job *job = g_queue_peek_head((GQueue *)&d->to_delete);

	return job && dispatcher_now_ns(d) >= job->delete_ns ? job : NULL;
}

bool ended_jobs_due(const struct cq_dispatcher *d)
{
	return dispatcher_now_ns(d) >= d->next_delete_ns && next_to_delete(d);
}

uint32_t ended_jobs_collect(struct cq_dispatcher *d,
			    struct cq_journal_record *records, uint32_t max)
{
	struct ended_job *job;
	uint32_t count = 0;

	if (!ended_jobs_due(d))
		return 0;
	d->next_delete_ns = dispatcher_now_ns(d) + DELETE_INTERVAL_NS;
	while (count + RECORDS_PER_JOB <= max && (job = next_to_delete(d))) {
		struct written_batch written = { .deleted = true };

		g_queue_pop_head(&d->to_delete);
		records[count].key =
			g_strconcat(CQ_KEY_WORKLOADS, job->id, NULL);
		records[count++].value = NULL;
		g_array_append_val(d->written_batches, written);
		records[count].key =
			g_strconcat(CQ_KEY_PROGRESS, job->id, NULL);
		records[count++].value = NULL;
		g_strlcpy(written.batch_id, job->id, sizeof(written.batch_id));
		g_array_append_val(d->written_batches, written);
	}
	return count;
}
