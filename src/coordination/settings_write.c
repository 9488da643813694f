#include "chestnutquay/settings_write.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/retry.h"
#include "chestnutquay/settings.h"

static void destroy(struct cq_settings_write *write);
static void finish(struct cq_settings_write *write,
		   enum cq_settings_write_outcome outcome, int64_t revision);
static bool is_own_write(const struct cq_settings_write *write,
			 const struct cq_store_entry *entry);
static void attempt(struct cq_settings_write *write, int64_t now_ns);
static void schedule_retry(struct cq_settings_write *write);
static void on_put(void *ctx, const struct cq_store_result *result);
static void on_read_back(void *ctx, const struct cq_store_result *result);

/*
 * Maximum wait for one answer; the time left until the deadline is for further
 * attempts.
 */
#define CALL_TIMEOUT_NS (2 * CQ_NS_PER_S)

struct cq_settings_write {
	const struct cq_store *store;
	const struct cq_clock *clock;
	cq_settings_write_done_fn *done;
	void *ctx;
	struct cq_retry *retry;
	char *store_key;
	char *document;
	char *writer;
	uint64_t sequence;
	int64_t expected_revision;
	int64_t deadline_ns;
	int64_t next_attempt_ns; /* time of the next attempt */
	struct cq_store_call *call;
	uint32_t attempts;
	bool read_back; /* the next attempt reads the subtree back */
	/* The store may have executed an attempt whose answer was lost. */
	bool maybe_executed;
};

static const char *const outcome_strings[] = {
	[CQ_SETTINGS_WRITTEN] = "written",
	[CQ_SETTINGS_CONFLICT] = "conflict",
	[CQ_SETTINGS_NOT_WRITTEN] = "not_written",
	[CQ_SETTINGS_WRITE_UNKNOWN] = "unknown",
};

const char *
cq_settings_write_outcome_string(enum cq_settings_write_outcome outcome)
{
	if ((unsigned)outcome >= G_N_ELEMENTS(outcome_strings))
		return "?";
	return outcome_strings[outcome];
}

struct cq_settings_write *
cq_settings_write_start(const struct cq_settings_write_request *request,
			const struct cq_store *store,
			const struct cq_clock *clock, uint64_t seed,
			cq_settings_write_done_fn *done, void *ctx)
{
	struct cq_settings_write *write;
	struct cq_retry_options retry;
	char *document = cq_settings_encode(request->json, request->writer,
					    request->sequence);

	if (!document)
		return NULL;
	write = g_new0(struct cq_settings_write, 1);
	write->store = store;
	write->clock = clock;
	write->done = done;
	write->ctx = ctx;
	write->document = document;
	write->store_key =
		g_strdup_printf("%s%s", CQ_SETTINGS_PREFIX, request->key);
	write->writer = g_strdup(request->writer);
	write->sequence = request->sequence;
	write->expected_revision = request->revision;
	write->deadline_ns = request->deadline_ns;
	cq_retry_options_init(&retry);
	retry.breaker_failures = 0;
	write->retry = cq_retry_create(&retry, seed);
	attempt(write, cq_clock_now_ns(clock));
	return write;
}

static void destroy(struct cq_settings_write *write)
{
	if (write->call)
		write->store->ops->cancel(write->store->self, write->call);
	cq_retry_destroy(write->retry);
	free(write->document);
	g_free(write->store_key);
	g_free(write->writer);
	g_free(write);
}

void cq_settings_write_cancel(struct cq_settings_write *write)
{
	if (write)
		destroy(write);
}

static void finish(struct cq_settings_write *write,
		   enum cq_settings_write_outcome outcome, int64_t revision)
{
	cq_settings_write_done_fn *done = write->done;
	void *ctx = write->ctx;

	destroy(write);
	done(ctx, outcome, revision);
}

static bool is_own_write(const struct cq_settings_write *write,
			 const struct cq_store_entry *entry)
{
	char writer[CQ_SETTINGS_NAME_BYTES];
	uint64_t sequence;

	return entry->value &&
	       cq_settings_writer(entry->value, writer, &sequence) &&
	       sequence == write->sequence && !strcmp(writer, write->writer);
}

static void attempt(struct cq_settings_write *write, int64_t now_ns)
{
	const struct cq_store_ops *ops = write->store->ops;
	int64_t left_ns = MIN(write->deadline_ns - now_ns, CALL_TIMEOUT_NS);
	uint32_t timeout_ms = (uint32_t)MAX(left_ns / CQ_NS_PER_MS, 1);

	write->attempts++;
	if (write->read_back)
		write->call = ops->get(write->store->self, write->store_key,
				       timeout_ms, on_read_back, write);
	else
		write->call = ops->put(write->store->self, write->store_key,
				       write->document,
				       write->expected_revision, 0, timeout_ms,
				       on_put, write);
}

/*
 * Schedules the next attempt; the tick makes it or ends the write at the
 * deadline.
 */
static void schedule_retry(struct cq_settings_write *write)
{
	write->next_attempt_ns =
		cq_clock_now_ns(write->clock) +
		cq_retry_backoff_ns(write->retry, write->attempts);
}

static void on_put(void *ctx, const struct cq_store_result *result)
{
	struct cq_settings_write *write = ctx;
	const struct cq_store_entry *entry =
		result->entry_count ? &result->entries[0] : NULL;

	write->call = NULL;
	switch (result->status) {
	case CQ_STORE_OK:
		finish(write, CQ_SETTINGS_WRITTEN, result->revision);
		break;
	case CQ_STORE_CONFLICT:
		if (entry && is_own_write(write, entry))
			finish(write, CQ_SETTINGS_WRITTEN, entry->revision);
		else
			/*
			 * If an earlier answer was lost, that attempt may have
			 * succeeded before the other writer's change.
			 */
			finish(write,
			       write->maybe_executed ? CQ_SETTINGS_WRITE_UNKNOWN
						     : CQ_SETTINGS_CONFLICT,
			       entry ? entry->revision : 0);
		break;
	case CQ_STORE_UNKNOWN:
		write->maybe_executed = true;
		write->read_back = true;
		schedule_retry(write);
		break;
	case CQ_STORE_UNAVAILABLE:
		schedule_retry(write);
		break;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_INVALID:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		finish(write,
		       write->maybe_executed ? CQ_SETTINGS_WRITE_UNKNOWN
					     : CQ_SETTINGS_NOT_WRITTEN,
		       0);
		break;
	}
}

static void on_read_back(void *ctx, const struct cq_store_result *result)
{
	struct cq_settings_write *write = ctx;
	const struct cq_store_entry *entry = result->status == CQ_STORE_OK &&
							     result->entry_count
						     ? &result->entries[0]
						     : NULL;

	write->call = NULL;
	if (!entry && result->status != CQ_STORE_NOT_FOUND) {
		schedule_retry(write);
		return;
	}
	if (entry && is_own_write(write, entry)) {
		finish(write, CQ_SETTINGS_WRITTEN, entry->revision);
		return;
	}
	if ((entry ? entry->revision : 0) != write->expected_revision) {
		finish(write, CQ_SETTINGS_WRITE_UNKNOWN,
		       entry ? entry->revision : 0);
		return;
	}
	/*
	 * The subtree is unchanged so far. The attempt whose answer was lost
	 * may still reach the store, but only one of it and the next attempt
	 * can succeed.
	 */
	write->read_back = false;
	schedule_retry(write);
}

void cq_settings_write_tick(struct cq_settings_write *write, int64_t now_ns)
{
	if (write->call)
		return;
	if (now_ns >= write->deadline_ns)
		finish(write,
		       write->maybe_executed ? CQ_SETTINGS_WRITE_UNKNOWN
					     : CQ_SETTINGS_NOT_WRITTEN,
		       0);
	else if (now_ns >= write->next_attempt_ns)
		attempt(write, now_ns);
}
