/* What each kind of request asks the store for. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/log.h"
#include "coordination/gateway_internal.h"

static void set_key(struct ticket *t, const char *prefix);
static void on_submitted(void *ctx, const struct cq_store_result *result);
static void answer_state(struct ticket *t, enum cq_batch_state state);
static void on_progress(void *ctx, const struct cq_store_result *result);
static void step_workload(struct ticket *t);
static void on_workload(void *ctx, const struct cq_store_result *result);
static void on_cancel_read(void *ctx, const struct cq_store_result *result);
static void step_cancel_write(struct ticket *t);
static void on_cancel_written(void *ctx, const struct cq_store_result *result);
static void on_count(void *ctx, const struct cq_store_result *result);

static void set_key(struct ticket *t, const char *prefix)
{
	g_free(t->key);
	t->key = g_strconcat(prefix, t->id, NULL);
}

void gateway_step_submit(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_WORKLOADS);
	t->store_call = store->ops->put(store->self, t->key, t->record, 0, 0,
					ticket_timeout_ms(t), on_submitted, t);
}

static void on_submitted(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;

	ticket_note_result(t, result);
	switch (result->status) {
	case CQ_STORE_OK:
		ticket_answer_simple(t, CQ_GATEWAY_ACCEPTED, "stored");
		return;
	case CQ_STORE_CONFLICT:
		ticket_answer_simple(t, CQ_GATEWAY_ACCEPTED,
				     "was stored before");
		return;
	case CQ_STORE_INVALID:
		cq_log_event(CQ_LOG_ERROR, "store_refused_workload",
			     "{s:s,s:s}", "id", t->id, "error",
			     result->message);
		ticket_answer_simple(t, CQ_GATEWAY_INVALID,
				     "the store refused the record");
		return;
	case CQ_STORE_UNKNOWN:
		t->maybe_stored = true;
		break;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_UNAVAILABLE:
	case CQ_STORE_COMPACTED:
		break;
	}
	ticket_retry_later(t, result->status);
}

void gateway_step_state(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_PROGRESS);
	t->store_call = store->ops->get(store->self, t->key,
					ticket_timeout_ms(t), on_progress, t);
}

static void answer_state(struct ticket *t, enum cq_batch_state state)
{
	const struct cq_gateway_answer a = {
		.result = CQ_GATEWAY_FOUND,
		.state = state,
		.message = cq_batch_state_string(state),
	};

	ticket_answer(t, &a);
}

static void on_progress(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;

	ticket_note_result(t, result);
	if (result->status == CQ_STORE_OK && result->entry_count == 1 &&
	    cq_batch_parse_record_state(result->entries[0].value,
					result->entries[0].value_len,
					&t->state)) {
		answer_state(t, t->state);
		return;
	}
	if (result->status != CQ_STORE_NOT_FOUND) {
		ticket_retry_later(t, result->status);
		return;
	}
	t->step = step_workload;
	step_workload(t);
}

/* Without progress, the record of the workload shows whether it exists. */
static void step_workload(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_WORKLOADS);
	t->store_call = store->ops->get(store->self, t->key,
					ticket_timeout_ms(t), on_workload, t);
}

static void on_workload(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;
	struct cq_workload *w;
	bool cancelled;

	ticket_note_result(t, result);
	if (result->status == CQ_STORE_NOT_FOUND) {
		ticket_answer_simple(t, CQ_GATEWAY_NO_JOB, "no such job");
		return;
	}
	if (result->status != CQ_STORE_OK || result->entry_count != 1) {
		ticket_retry_later(t, result->status);
		return;
	}
	w = cq_workload_parse(result->entries[0].value,
			      result->entries[0].value_len, NULL);
	cancelled = w && w->cancelled;
	cq_workload_destroy(w);
	answer_state(t, cancelled ? CQ_BATCH_CANCELLED : CQ_BATCH_QUEUED);
}

void gateway_step_cancel(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_WORKLOADS);
	t->store_call = store->ops->get(
		store->self, t->key, ticket_timeout_ms(t), on_cancel_read, t);
}

static void on_cancel_read(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;
	struct cq_workload *w;

	ticket_note_result(t, result);
	if (result->status == CQ_STORE_NOT_FOUND) {
		ticket_answer_simple(t, CQ_GATEWAY_NO_JOB, "no such job");
		return;
	}
	w = result->status == CQ_STORE_OK && result->entry_count == 1
		    ? cq_workload_parse(result->entries[0].value,
					result->entries[0].value_len, NULL)
		    : NULL;
	if (!w) {
		ticket_retry_later(t, result->status);
		return;
	}
	if (w->cancelled) {
		cq_workload_destroy(w);
		ticket_answer_simple(t, CQ_GATEWAY_ACCEPTED,
				     "was cancelled before");
		return;
	}
	w->cancelled = true;
	g_free(t->record);
	t->record = cq_workload_format(w);
	t->revision = result->entries[0].revision;
	cq_workload_destroy(w);
	t->step = step_cancel_write;
	step_cancel_write(t);
}

static void step_cancel_write(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	t->store_call = store->ops->put(store->self, t->key, t->record,
					t->revision, 0, ticket_timeout_ms(t),
					on_cancel_written, t);
}

static void on_cancel_written(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;

	ticket_note_result(t, result);
	if (result->status == CQ_STORE_OK) {
		ticket_answer_simple(t, CQ_GATEWAY_ACCEPTED, "cancelled");
		return;
	}
	/* Somebody else changed it, or an unanswered try was executed. */
	t->step = gateway_step_cancel;
	if (result->status == CQ_STORE_CONFLICT) {
		gateway_step_cancel(t);
		return;
	}
	t->maybe_stored |= result->status == CQ_STORE_UNKNOWN;
	ticket_retry_later(t, result->status);
}

void gateway_step_count(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	t->store_call = store->ops->get(store->self, CQ_KEY_PENDING,
					ticket_timeout_ms(t), on_count, t);
}

static void on_count(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;
	struct cq_gateway_answer a = {
		.result = CQ_GATEWAY_FOUND,
		.message = "counted",
	};
	json_t *counts = NULL;

	ticket_note_result(t, result);
	if (result->status == CQ_STORE_OK && result->entry_count == 1)
		counts = json_loadb(result->entries[0].value,
				    result->entries[0].value_len, 0, NULL);
	else if (result->status != CQ_STORE_NOT_FOUND) {
		ticket_retry_later(t, result->status);
		return;
	}
	a.pending =
		(uint64_t)json_integer_value(json_object_get(counts, t->queue));
	json_decref(counts);
	ticket_answer(t, &a);
}
