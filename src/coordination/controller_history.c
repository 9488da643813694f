/*
 * Run-time history of ended jobs, kept in the store for the next owner.
 *
 * A new owner reads the history and passes it to its planner. Runs that end
 * later are added in memory and written by compare-and-swap, at most once in
 * each history interval. After a conflict or a lost answer the stored value is
 * merged into memory, which is correct whoever wrote it, and the history is
 * written again if the store lacks a run.
 */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_private.h"

/* Delay after a store call that failed. */
#define RETRY_NS (5 * CQ_NS_PER_S)

static char *history_key(const struct cq_controller *c);
static void read_key(struct cq_controller *c, int64_t now_ns);
static void write_key(struct cq_controller *c, int64_t now_ns);
static void on_read(struct cq_controller *c, const char *job_id,
		    const struct cq_store_result *result);
static void on_written(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result);
static void observe_run_end(void *ctx, const char *workspace,
			    const char *class_name,
			    const struct cq_ended_run *end);
static void merge_stored(struct cq_controller *c,
			 const struct cq_store_result *result);

static char *history_key(const struct cq_controller *c)
{
	return g_strconcat(CQ_RUN_HISTORY_PREFIX, c->data_centre, NULL);
}

void cq_controller_history_reset(struct cq_controller *c, int64_t now_ns)
{
	struct cq_history_state *state = &c->history;

	cq_run_history_destroy(state->runs);
	memset(state, 0, sizeof(*state));
	state->runs = cq_run_history_create();
	state->next_call_ns = now_ns;
}

static void read_key(struct cq_controller *c, int64_t now_ns)
{
	struct cq_controller_store_call *call =
		cq_controller_store_call_create(c, "", on_read);
	char *key = history_key(c);

	(void)now_ns;
	c->history.call_in_flight = true;
	call->call = c->store.ops->get(c->store.self, key,
				       c->options.store_timeout_ms,
				       cq_controller_on_store_result, call);
	g_free(key);
}

static void observe_run_end(void *ctx, const char *workspace,
			    const char *class_name,
			    const struct cq_ended_run *end)
{
	struct cq_controller *c = ctx;

	cq_planner_observe_end(c->planner, workspace, class_name,
			       end->declared_ms < 0
				       ? CQ_FLEET_UNKNOWN_NS
				       : end->declared_ms * CQ_NS_PER_MS,
			       end->run_ms * CQ_NS_PER_MS);
}

/*
 * Merges the stored value into memory; an entry_count of 0 means that the key
 * is absent.
 */
static void merge_stored(struct cq_controller *c,
			 const struct cq_store_result *result)
{
	struct cq_history_state *state = &c->history;
	const struct cq_store_entry *entry =
		result->entry_count ? &result->entries[0] : NULL;
	struct cq_error err = CQ_ERROR_INIT;
	uint64_t sequence = 0;
	char *writer = NULL;

	state->revision = entry ? entry->revision : 0;
	if (!entry || !entry->value)
		return;
	if (!cq_run_history_merge(state->runs, entry->value, entry->value_len,
				  observe_run_end, c, &writer, &sequence, &err))
		cq_log_event(CQ_LOG_ERROR, "history_invalid", "{s:s,s:s}",
			     "key", entry->key, "error", err.message);
	/* The store holds the write whose answer was lost. */
	if (writer && !strcmp(writer, c->writer) && state->sent_sequence &&
	    sequence == state->sent_sequence &&
	    state->added_count == state->sent_added_count)
		state->dirty = false;
	g_free(writer);
}

static void on_read(struct cq_controller *c, const char *job_id,
		    const struct cq_store_result *result)
{
	struct cq_history_state *state = &c->history;
	int64_t now_ns = cq_clock_now_ns(c->options.clock);

	(void)job_id;
	state->call_in_flight = false;
	if (result->status != CQ_STORE_OK &&
	    result->status != CQ_STORE_NOT_FOUND) {
		state->next_call_ns = now_ns + RETRY_NS;
		return;
	}
	merge_stored(c, result);
	state->key_read = true;
	if (state->sent_sequence)
		/*
		 * After a lost answer the next tick repeats the write unless
		 * the store already holds it.
		 */
		return;
	cq_log_event(CQ_LOG_INFO, "history_loaded", "{s:I,s:I}", "entries",
		     (json_int_t)cq_run_history_count(state->runs), "revision",
		     (json_int_t)state->revision);
	state->next_call_ns = now_ns + c->options.history_interval_ns;
}

static void write_key(struct cq_controller *c, int64_t now_ns)
{
	struct cq_history_state *state = &c->history;
	struct cq_controller_store_call *call =
		cq_controller_store_call_create(c, "", on_written);
	char *key = history_key(c);
	char *text;

	state->sent_sequence = ++c->sequence;
	state->sent_added_count = state->added_count;
	state->call_in_flight = true;
	state->next_call_ns = now_ns + c->options.history_interval_ns;
	cq_controller_count(c, CQ_COUNT_HISTORY_WRITES);
	text = cq_run_history_format(state->runs, c->writer,
				     state->sent_sequence,
				     CQ_RUN_HISTORY_MAX_BYTES);
	call->call = c->store.ops->put(c->store.self, key, text,
				       state->revision, 0,
				       c->options.store_timeout_ms,
				       cq_controller_on_store_result, call);
	g_free(text);
	g_free(key);
}

static void on_written(struct cq_controller *c, const char *job_id,
		       const struct cq_store_result *result)
{
	struct cq_history_state *state = &c->history;
	int64_t now_ns = cq_clock_now_ns(c->options.clock);

	(void)job_id;
	state->call_in_flight = false;
	switch (result->status) {
	case CQ_STORE_OK:
		if (result->entry_count)
			state->revision = result->entries[0].revision;
		else
			state->revision = result->revision;
		state->dirty = state->added_count != state->sent_added_count;
		return;
	case CQ_STORE_CONFLICT:
		merge_stored(c, result);
		break;
	case CQ_STORE_UNKNOWN:
		/*
		 * The result is unknown, so the key is read before the next
		 * write.
		 */
		state->key_read = false;
		break;
	case CQ_STORE_INVALID:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		/*
		 * The store would refuse the same write again: wait for the
		 * next interval.
		 */
		cq_log_event(CQ_LOG_ERROR, "history_write_refused", "{s:s}",
			     "error", result->message);
		return;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_UNAVAILABLE:
		break;
	}
	state->next_call_ns = now_ns + RETRY_NS;
}

void cq_controller_history_add(struct cq_controller *c, const char *workspace,
			       const char *class_name, int64_t declared_ms,
			       int64_t run_ms)
{
	struct cq_ended_run end = {
		.ended_unix_ms = cq_clock_unix_ms(c->options.clock),
		.declared_ms = declared_ms,
		.run_ms = MAX(run_ms, 0),
	};

	if (cq_run_history_add(c->history.runs, workspace, class_name, &end)) {
		c->history.dirty = true;
		c->history.added_count++;
	}
	observe_run_end(c, workspace, class_name, &end);
}

void cq_controller_history_tick(struct cq_controller *c, int64_t now_ns)
{
	struct cq_history_state *state = &c->history;
	/*
	 * A planned stop writes the history at once, so that the successor has
	 * all runs.
	 */
	bool flush = c->draining && state->key_read && state->dirty &&
		     !state->written_for_drain;

	if (state->call_in_flight || (now_ns < state->next_call_ns && !flush))
		return;
	if (!state->key_read) {
		read_key(c, now_ns);
	} else if (state->dirty && c->ops->may_command(c->ctx, now_ns)) {
		state->written_for_drain = c->draining;
		write_key(c, now_ns);
	}
}
