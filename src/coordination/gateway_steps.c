/* The sequence of store calls for each kind of request. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/log.h"
#include "coordination/gateway_internal.h"

static void set_key(struct pending_request *r, const char *prefix);
static void on_submitted(void *ctx, const struct cq_store_result *result);
static void on_known_check(void *ctx, const struct cq_store_result *result);
static void answer_state(struct pending_request *r, enum cq_batch_state state);
static void on_progress(void *ctx, const struct cq_store_result *result);
static void send_workload_read(struct pending_request *r);
static void on_workload(void *ctx, const struct cq_store_result *result);
static void on_cancel_read(void *ctx, const struct cq_store_result *result);
static void send_cancel_write(struct pending_request *r);
static void on_cancel_written(void *ctx, const struct cq_store_result *result);
static void on_count(void *ctx, const struct cq_store_result *result);

static void set_key(struct pending_request *r, const char *prefix)
{
	g_free(r->key);
	r->key = g_strconcat(prefix, r->id, NULL);
}

void gateway_send_submit(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	set_key(r, CQ_KEY_WORKLOADS);
	r->store_call = store->ops->put(store->self, r->key, r->record, 0, 0,
					request_begin_call(r), on_submitted, r);
}

static void on_submitted(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;

	request_note_result(r, result);
	switch (result->status) {
	case CQ_STORE_OK:
		request_answer_simple(r, CQ_GATEWAY_ACCEPTED, "stored");
		return;
	case CQ_STORE_CONFLICT:
		request_answer_simple(r, CQ_GATEWAY_ACCEPTED, "already stored");
		return;
	case CQ_STORE_INVALID:
		cq_log_event(CQ_LOG_ERROR, "store_refused_workload",
			     "{s:s,s:s}", "id", r->id, "error",
			     result->message);
		request_answer_simple(r, CQ_GATEWAY_INVALID,
				      "the store refused the record");
		return;
	case CQ_STORE_UNKNOWN:
		r->maybe_stored = true;
		break;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_UNAVAILABLE:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		break;
	}
	request_retry_later(r, result->status);
}

void gateway_send_known_check(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	set_key(r, CQ_KEY_WORKLOADS);
	r->store_call = store->ops->get(
		store->self, r->key, request_begin_call(r), on_known_check, r);
}

static void on_known_check(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;

	request_note_result(r, result);
	if (result->status == CQ_STORE_OK)
		request_answer_simple(r, CQ_GATEWAY_ACCEPTED, "already stored");
	else if (result->status == CQ_STORE_NOT_FOUND)
		request_answer_simple(r, CQ_GATEWAY_UNAVAILABLE,
				      "too many jobs wait; this one was not "
				      "accepted");
	else
		request_retry_later(r, result->status);
}

void gateway_send_state(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	set_key(r, CQ_KEY_PROGRESS);
	r->store_call = store->ops->get(store->self, r->key,
					request_begin_call(r), on_progress, r);
}

static void answer_state(struct pending_request *r, enum cq_batch_state state)
{
	const struct cq_gateway_answer a = {
		.result = CQ_GATEWAY_FOUND,
		.state = state,
		.message = cq_batch_state_string(state),
	};

	request_answer(r, &a);
}

static void on_progress(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;

	request_note_result(r, result);
	if (result->status == CQ_STORE_OK && result->entry_count == 1 &&
	    cq_batch_parse_record_state(result->entries[0].value,
					result->entries[0].value_len,
					&r->state)) {
		answer_state(r, r->state);
		return;
	}
	if (result->status != CQ_STORE_NOT_FOUND) {
		request_retry_later(r, result->status);
		return;
	}
	r->send = send_workload_read;
	send_workload_read(r);
}

/* If there is no progress record, the workload shows whether the job exists. */
static void send_workload_read(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	set_key(r, CQ_KEY_WORKLOADS);
	r->store_call = store->ops->get(store->self, r->key,
					request_begin_call(r), on_workload, r);
}

static void on_workload(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;
	struct cq_workload *w;
	bool cancelled;

	request_note_result(r, result);
	if (result->status == CQ_STORE_NOT_FOUND) {
		request_answer_simple(r, CQ_GATEWAY_NO_JOB, "no such job");
		return;
	}
	if (result->status != CQ_STORE_OK || result->entry_count != 1) {
		request_retry_later(r, result->status);
		return;
	}
	w = cq_workload_parse(result->entries[0].value,
			      result->entries[0].value_len, NULL);
	cancelled = w && w->cancelled;
	cq_workload_destroy(w);
	answer_state(r, cancelled ? CQ_BATCH_CANCELLED : CQ_BATCH_QUEUED);
}

void gateway_send_cancel(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	set_key(r, CQ_KEY_WORKLOADS);
	r->store_call = store->ops->get(
		store->self, r->key, request_begin_call(r), on_cancel_read, r);
}

static void on_cancel_read(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;
	struct cq_workload *w;

	request_note_result(r, result);
	if (result->status == CQ_STORE_NOT_FOUND) {
		request_answer_simple(r, CQ_GATEWAY_NO_JOB, "no such job");
		return;
	}
	w = result->status == CQ_STORE_OK && result->entry_count == 1
		    ? cq_workload_parse(result->entries[0].value,
					result->entries[0].value_len, NULL)
		    : NULL;
	if (!w) {
		request_retry_later(r, result->status);
		return;
	}
	if (w->cancelled) {
		cq_workload_destroy(w);
		request_answer_simple(r, CQ_GATEWAY_ACCEPTED,
				      "already cancelled");
		return;
	}
	w->cancelled = true;
	free(r->record);
	r->record = cq_workload_format(w);
	r->revision = result->entries[0].revision;
	cq_workload_destroy(w);
	if (!r->record) {
		request_answer_simple(r, CQ_GATEWAY_UNKNOWN,
				      "the stored job cannot be encoded");
		return;
	}
	r->send = send_cancel_write;
	send_cancel_write(r);
}

static void send_cancel_write(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	r->store_call = store->ops->put(store->self, r->key, r->record,
					r->revision, 0, request_begin_call(r),
					on_cancel_written, r);
}

static void on_cancel_written(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;

	request_note_result(r, result);
	if (result->status == CQ_STORE_OK) {
		request_answer_simple(r, CQ_GATEWAY_ACCEPTED, "cancelled");
		return;
	}
	/*
	 * On a conflict the record was changed by another writer or by an
	 * earlier attempt that got no answer. It is read again in any case.
	 */
	r->send = gateway_send_cancel;
	if (result->status == CQ_STORE_CONFLICT) {
		gateway_send_cancel(r);
		return;
	}
	r->maybe_stored |= result->status == CQ_STORE_UNKNOWN;
	request_retry_later(r, result->status);
}

void gateway_send_count(struct pending_request *r)
{
	const struct cq_store *store = r->g->store;

	r->store_call = store->ops->get(store->self, CQ_KEY_PENDING,
					request_begin_call(r), on_count, r);
}

static void on_count(void *ctx, const struct cq_store_result *result)
{
	struct pending_request *r = ctx;
	struct cq_gateway_answer a = {
		.result = CQ_GATEWAY_FOUND,
		.message = "counted",
	};
	json_t *counts = NULL;

	request_note_result(r, result);
	if (result->status == CQ_STORE_OK && result->entry_count == 1)
		counts = json_loadb(result->entries[0].value,
				    result->entries[0].value_len, 0, NULL);
	else if (result->status != CQ_STORE_NOT_FOUND) {
		request_retry_later(r, result->status);
		return;
	}
	a.pending =
		(uint64_t)json_integer_value(json_object_get(counts, r->queue));
	json_decref(counts);
	request_answer(r, &a);
}
