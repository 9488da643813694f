#include "chestnutquay/journal.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/leader.h"
#include "chestnutquay/log.h"
#include "chestnutquay/round_trip.h"
#include "chestnutquay/work_share.h"

#define RETRY_MIN_S 0.05
#define RETRY_MAX_S 0.5
/* Transactions are idempotent, so a short timeout is safe. */
#define MIN_CALL_TIMEOUT_MS 120
/* Delay that lets one transaction take all changes made during it. */
#define COLLECT_DELAY_S 0.004
/*
 * Encoding takes at most one part in so many of the time. Under load a
 * transaction then takes more changes of a job at once, which is encoded as a
 * whole each time.
 */
#define ENCODE_TIME_DIVISOR 8
#define MAX_ENCODE_PAUSE_NS (INT64_C(60) * CQ_NS_PER_MS)

struct cq_journal {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_journal_ops *ops;
	void *ctx;
	char *head_key;
	int64_t epoch;
	int64_t head_revision;
	/* Number of the transaction in flight, or else of the last one. */
	uint64_t sequence;
	struct cq_round_trip round_trip;
	int64_t sent_ns;
	struct cq_journal_record records[CQ_JOURNAL_MAX_RECORDS];
	uint32_t record_count; /* 0: no transaction is in flight */
	/* The transaction has part_count records from part_first on. */
	uint32_t part_first;
	uint32_t part_count;
	struct cq_store_call *call;
	ev_timer timer;
	struct cq_work_share encode_share;
	double retry_s;
	bool stopped;
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events);
static void schedule(struct cq_journal *j, double after_s);
static void send_txn(struct cq_journal *j);
static void on_done(void *ctx, const struct cq_store_result *result);
static void clear_records(struct cq_journal *j);
static void settle_part(struct cq_journal *j);
static void complete_txn(struct cq_journal *j, int64_t head_revision);
static void on_invalid(struct cq_journal *j,
		       const struct cq_store_result *result);
static void on_conflict(struct cq_journal *j,
			const struct cq_store_result *result);

struct cq_journal *cq_journal_create(const struct cq_journal_options *options,
				     const struct cq_store *store,
				     const struct cq_journal_ops *ops,
				     void *ctx)
{
	struct cq_journal *j = g_new0(struct cq_journal, 1);

	j->loop = options->loop;
	j->clock = options->clock;
	j->store = store;
	j->ops = ops;
	j->ctx = ctx;
	j->head_key = g_strdup(options->head_key);
	j->epoch = options->epoch;
	j->head_revision = options->head_revision;
	cq_round_trip_init(&j->round_trip, MIN_CALL_TIMEOUT_MS,
			   options->call_timeout_ms);
	j->retry_s = RETRY_MIN_S;
	cq_work_share_init(&j->encode_share, ENCODE_TIME_DIVISOR,
			   MAX_ENCODE_PAUSE_NS);
	ev_timer_init(&j->timer, on_timer, 0., 0.);
	j->timer.data = j;
	return j;
}

void cq_journal_destroy(struct cq_journal *j)
{
	if (!j)
		return;
	if (j->call)
		j->store->ops->cancel(j->store->self, j->call);
	ev_timer_stop(j->loop, &j->timer);
	clear_records(j);
	g_free(j->head_key);
	g_free(j);
}

static void clear_records(struct cq_journal *j)
{
	uint32_t i;

	for (i = 0; i < j->record_count; i++) {
		g_free(j->records[i].key);
		g_free(j->records[i].value);
	}
	j->record_count = 0;
}

static void schedule(struct cq_journal *j, double after_s)
{
	ev_now_update(j->loop);
	ev_timer_set(&j->timer, after_s, 0.);
	ev_timer_start(j->loop, &j->timer);
}

void cq_journal_wake(struct cq_journal *j)
{
	/* A timer that has expired but not been handled is only pending. */
	int64_t wait_ns;

	if (j->stopped || j->call || ev_is_active(&j->timer) ||
	    ev_is_pending(&j->timer))
		return;
	wait_ns = cq_work_share_wait_ns(&j->encode_share,
					cq_clock_now_ns(j->clock));
	schedule(j,
		 MAX(COLLECT_DELAY_S, (double)wait_ns / (double)CQ_NS_PER_S));
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cq_journal *j = timer->data;
	int64_t began_ns = cq_clock_now_ns(j->clock);

	(void)loop;
	(void)events;
	if (j->call)
		return;
	if (!j->record_count) {
		j->record_count = j->ops->collect(j->ctx, j->records,
						  CQ_JOURNAL_MAX_RECORDS);
		if (!j->record_count)
			return;
		j->part_first = 0;
		j->part_count = j->record_count;
		j->sequence++;
	}
	send_txn(j);
	cq_work_share_ended(&j->encode_share, began_ns,
			    cq_clock_now_ns(j->clock));
}

static void send_txn(struct cq_journal *j)
{
	char *head = cq_leader_format_head(j->epoch, j->sequence);
	const struct cq_store_check check = { j->head_key, j->head_revision };
	struct cq_store_put puts[CQ_JOURNAL_MAX_RECORDS + 1];
	const char *deletes[CQ_JOURNAL_MAX_RECORDS];
	struct cq_store_txn txn = {
		.checks = &check,
		.check_count = 1,
		.puts = puts,
		.deletes = deletes,
	};
	uint32_t i;

	puts[txn.put_count++] = (struct cq_store_put){ j->head_key, head, 0 };
	for (i = 0; i < j->part_count; i++) {
		const struct cq_journal_record *record =
			&j->records[j->part_first + i];

		if (record->value)
			puts[txn.put_count++] =
				(struct cq_store_put){ record->key,
						       record->value, 0 };
		else
			deletes[txn.delete_count++] = record->key;
	}
	j->sent_ns = cq_clock_now_ns(j->clock);
	j->call = j->store->ops->commit(
		j->store->self, &txn, cq_round_trip_timeout_ms(&j->round_trip),
		on_done, j);
	g_free(head);
}

/* Goes on with the records after the part that was committed or refused. */
static void settle_part(struct cq_journal *j)
{
	j->part_first += j->part_count;
	if (j->part_first < j->record_count) {
		j->part_count = j->record_count - j->part_first;
		send_txn(j);
		return;
	}
	clear_records(j);
	/* Writes changes that were made during the transaction. */
	cq_journal_wake(j);
}

static void complete_txn(struct cq_journal *j, int64_t head_revision)
{
	uint32_t first = j->part_first;
	uint32_t count = j->part_count;

	j->head_revision = head_revision;
	j->retry_s = RETRY_MIN_S;
	if (first + count < j->record_count)
		j->sequence++;
	settle_part(j);
	j->ops->committed(j->ctx, first, count);
}

/*
 * The store executes no part of the transaction, now or later. Its sequence
 * number goes to the next transaction, as sequence numbers have no gaps.
 */
static void on_invalid(struct cq_journal *j,
		       const struct cq_store_result *result)
{
	uint32_t index = j->part_first;

	if (j->part_count > 1) {
		j->part_count /= 2;
		send_txn(j);
		return;
	}
	if (index + 1 == j->record_count)
		j->sequence--;
	settle_part(j);
	j->ops->refused(j->ctx, index, result->message ? result->message : "");
}

/*
 * The head key is not at the expected revision: the transaction was executed by
 * an earlier attempt, head_revision is wrong, or a later epoch has begun.
 */
static void on_conflict(struct cq_journal *j,
			const struct cq_store_result *result)
{
	int64_t epoch = 0;
	uint64_t sequence = 0;
	size_t i;

	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *entry = &result->entries[i];

		if (!entry->value || strcmp(entry->key, j->head_key) ||
		    !cq_leader_parse_head(entry->value, &epoch, &sequence))
			continue;
		if (epoch != j->epoch)
			continue;
		if (sequence == j->sequence) {
			complete_txn(j, entry->revision);
			return;
		}
		/*
		 * The transaction was not executed; only head_revision is
		 * wrong. The revision in an OK answer is that of the whole
		 * store and may be later than the head key's.
		 */
		if (sequence + 1 == j->sequence) {
			j->head_revision = entry->revision;
			send_txn(j);
			return;
		}
	}
	cq_log_event(CQ_LOG_WARN, "journal_superseded", "{s:I,s:I,s:I,s:I,s:I}",
		     "epoch", (json_int_t)j->epoch, "now", (json_int_t)epoch,
		     "sequence", (json_int_t)j->sequence, "sequence_now",
		     (json_int_t)sequence, "expected_revision",
		     (json_int_t)j->head_revision);
	j->stopped = true;
	j->ops->superseded(j->ctx);
}

static void on_done(void *ctx, const struct cq_store_result *result)
{
	struct cq_journal *j = ctx;
	bool timed_out;

	j->call = NULL;
	timed_out = cq_round_trip_ended(&j->round_trip,
					cq_clock_now_ns(j->clock) - j->sent_ns,
					result->status != CQ_STORE_UNKNOWN);
	switch (result->status) {
	case CQ_STORE_OK:
		complete_txn(j, result->revision);
		return;
	case CQ_STORE_CONFLICT:
		on_conflict(j, result);
		return;
	case CQ_STORE_INVALID:
		on_invalid(j, result);
		return;
	case CQ_STORE_UNKNOWN:
	case CQ_STORE_UNAVAILABLE:
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		break;
	}
	cq_log_event(CQ_LOG_WARN, "journal_retry", "{s:s,s:s,s:i}", "status",
		     cq_store_status_string(result->status), "error",
		     result->message ? result->message : "", "records",
		     (int)j->record_count);
	/* After a timeout there is no need for a further delay. */
	if (timed_out) {
		send_txn(j);
		return;
	}
	schedule(j, j->retry_s * g_random_double_range(0.7, 1.3));
	j->retry_s = MIN(j->retry_s * 2, RETRY_MAX_S);
}
