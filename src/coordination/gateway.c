#include "chestnutquay/gateway.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/log.h"
#include "chestnutquay/round_trip.h"

/* Of a request whose caller does not say how long it waits. */
#define DEFAULT_DEADLINE_MS 3000
/* Answers leave this long before the caller's deadline. */
#define ANSWER_MARGIN_NS (INT64_C(150) * CQ_NS_PER_MS)
#define RETRY_S 0.03
#define MIN_CALL_TIMEOUT_MS 150
/*
 * A store that refuses calls is asked this long before the caller is sent to
 * another host.
 */
#define REFUSED_STORE_NS (INT64_C(400) * CQ_NS_PER_MS)
#define RETRY_AFTER_S 1

struct ticket {
	struct cq_gateway *g;
	enum cq_gateway_verb verb;
	cq_gateway_done_fn *done;
	void *call;
	char id[CQ_WORKLOAD_ID_BYTES];
	char queue[CQ_QUEUE_NAME_BYTES];
	char *key;	  /* of the store call under way */
	char *record;	  /* SUBMIT, CANCEL: value to be written */
	int64_t revision; /* CANCEL: of the record that was read */
	int64_t received_ns;
	int64_t sent_ns; /* the store call under way */
	int64_t deadline_ns;
	bool maybe_stored;
	enum cq_batch_state state; /* STATE: of the progress record */
	bool has_state;
	struct cq_store_call *store_call;
	ev_timer retry;
	void (*step)(struct ticket *t);
};

struct cq_gateway {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_queue_config *config;
	GHashTable *tickets; /* call -> struct ticket, owned */
	struct cq_round_trip round_trip;
	bool (*store_reachable)(void *ctx);
	void *ctx;
	struct cq_counter
		*results[CQ_GATEWAY_COUNT + 1][CQ_GATEWAY_UNKNOWN + 1];
	struct cq_histogram *latency[CQ_GATEWAY_COUNT + 1];
};

static const char *const verb_strings[] = {
	[CQ_GATEWAY_SUBMIT] = "submit",
	[CQ_GATEWAY_STATE] = "state",
	[CQ_GATEWAY_CANCEL] = "cancel",
	[CQ_GATEWAY_COUNT] = "count",
};

static const char *const result_strings[] = {
	[CQ_GATEWAY_ACCEPTED] = "accepted",
	[CQ_GATEWAY_FOUND] = "found",
	[CQ_GATEWAY_INVALID] = "invalid",
	[CQ_GATEWAY_DENIED] = "denied",
	[CQ_GATEWAY_NO_QUEUE] = "no_queue",
	[CQ_GATEWAY_NO_JOB] = "no_job",
	[CQ_GATEWAY_UNAVAILABLE] = "unavailable",
	[CQ_GATEWAY_UNKNOWN] = "unknown",
};

static void ticket_free(void *data);
static void answer(struct ticket *t, const struct cq_gateway_answer *a);
static void answer_simple(struct ticket *t, enum cq_gateway_result result,
			  const char *message);
static void give_up(struct ticket *t);
static void retry_later(struct ticket *t, enum cq_store_status status);
static void on_retry(struct ev_loop *loop, ev_timer *timer, int events);
static uint32_t call_timeout_ms(struct ticket *t);
static void note_result(struct ticket *t, const struct cq_store_result *result);
static void step_submit(struct ticket *t);
static void on_submitted(void *ctx, const struct cq_store_result *result);
static void step_state(struct ticket *t);
static void on_progress(void *ctx, const struct cq_store_result *result);
static void step_workload(struct ticket *t);
static void on_workload(void *ctx, const struct cq_store_result *result);
static void step_cancel_read(struct ticket *t);
static void on_cancel_read(void *ctx, const struct cq_store_result *result);
static void step_cancel_write(struct ticket *t);
static void on_cancel_written(void *ctx, const struct cq_store_result *result);
static void step_count(struct ticket *t);
static void on_count(void *ctx, const struct cq_store_result *result);
static bool read_id(struct ticket *t, const char *path,
		    const struct cq_queue *queue);

const char *cq_gateway_verb_string(enum cq_gateway_verb verb)
{
	return verb_strings[verb];
}

const char *cq_gateway_result_string(enum cq_gateway_result result)
{
	return result_strings[result];
}

static void ticket_free(void *data)
{
	struct ticket *t = data;
	const struct cq_store *store = t->g->store;

	if (t->store_call)
		store->ops->cancel(store->self, t->store_call);
	ev_timer_stop(t->g->loop, &t->retry);
	g_free(t->key);
	g_free(t->record);
	g_free(t);
}

struct cq_gateway *cq_gateway_create(const struct cq_gateway_options *options,
				     const struct cq_store *store)
{
	struct cq_gateway *g = g_new0(struct cq_gateway, 1);
	int verb, result;

	g->loop = options->loop;
	g->clock = options->clock;
	g->store = store;
	cq_round_trip_init(&g->round_trip, MIN_CALL_TIMEOUT_MS,
			   options->store_timeout_ms);
	g->store_reachable = options->store_reachable;
	g->ctx = options->ctx;
	g->tickets = g_hash_table_new_full(NULL, NULL, NULL, ticket_free);
	for (verb = 0; verb <= CQ_GATEWAY_COUNT; verb++) {
		char labels[96];

		g_snprintf(labels, sizeof(labels), "verb=\"%s\"",
			   verb_strings[verb]);
		g->latency[verb] = cq_metrics_histogram(
			options->metrics, "cq_request_seconds", labels);
		for (result = 0; result <= CQ_GATEWAY_UNKNOWN; result++) {
			g_snprintf(labels, sizeof(labels),
				   "verb=\"%s\",result=\"%s\"",
				   verb_strings[verb], result_strings[result]);
			g->results[verb][result] = cq_metrics_counter(
				options->metrics, "cq_requests_total", labels);
		}
	}
	return g;
}

void cq_gateway_destroy(struct cq_gateway *g)
{
	if (!g)
		return;
	g_hash_table_destroy(g->tickets);
	g_free(g);
}

void cq_gateway_set_config(struct cq_gateway *g,
			   const struct cq_queue_config *config)
{
	g->config = config;
}

uint32_t cq_gateway_open(const struct cq_gateway *g)
{
	return g_hash_table_size(g->tickets);
}

void cq_gateway_drop(struct cq_gateway *g, void *call)
{
	g_hash_table_remove(g->tickets, call);
}

static void answer(struct ticket *t, const struct cq_gateway_answer *a)
{
	struct cq_gateway *g = t->g;
	int64_t took_ns = cq_clock_now_ns(g->clock) - t->received_ns;

	cq_counter_add(g->results[t->verb][a->result], 1);
	cq_histogram_observe_ns(g->latency[t->verb], took_ns);
	cq_log_event(CQ_LOG_INFO, "request_answered",
		     "{s:s,s:s,s:s,s:s,s:I,s:I,s:s}", "id", t->id, "verb",
		     verb_strings[t->verb], "queue", t->queue, "result",
		     result_strings[a->result], "took_us",
		     (json_int_t)(took_ns / CQ_NS_PER_US), "config_version",
		     (json_int_t)(g->config ? g->config->version : 0),
		     "message", a->message);
	g_hash_table_steal(g->tickets, t->call);
	t->done(t->call, a);
	ticket_free(t);
}

static void answer_simple(struct ticket *t, enum cq_gateway_result result,
			  const char *message)
{
	const struct cq_gateway_answer a = {
		.result = result,
		.message = message,
		.retry_after_s = RETRY_AFTER_S,
	};

	answer(t, &a);
}

static void give_up(struct ticket *t)
{
	if (t->maybe_stored)
		answer_simple(t, CQ_GATEWAY_UNKNOWN,
			      "the store did not answer; it may have been "
			      "stored");
	else
		answer_simple(t, CQ_GATEWAY_UNAVAILABLE,
			      "the store cannot be reached from this host");
}

static void retry_later(struct ticket *t, enum cq_store_status status)
{
	int64_t now_ns = cq_clock_now_ns(t->g->clock);
	int64_t limit_ns = t->deadline_ns;

	if (status == CQ_STORE_UNAVAILABLE &&
	    !t->g->store_reachable(t->g->ctx)) {
		give_up(t);
		return;
	}
	if (status == CQ_STORE_UNAVAILABLE)
		limit_ns = MIN(limit_ns, t->received_ns + REFUSED_STORE_NS);
	if (now_ns + (int64_t)(RETRY_S * CQ_NS_PER_S) >= limit_ns) {
		give_up(t);
		return;
	}
	ev_now_update(t->g->loop);
	ev_timer_set(&t->retry, RETRY_S, 0.);
	ev_timer_start(t->g->loop, &t->retry);
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct ticket *t = timer->data;

	(void)loop;
	(void)events;
	t->step(t);
}

/* Of the call that is about to be sent. */
static uint32_t call_timeout_ms(struct ticket *t)
{
	int64_t left_ms =
		(t->deadline_ns - cq_clock_now_ns(t->g->clock)) / CQ_NS_PER_MS;

	return (uint32_t)CLAMP(left_ms, 1,
			       cq_round_trip_limit_ms(&t->g->round_trip));
}

static void note_result(struct ticket *t, const struct cq_store_result *result)
{
	int64_t now_ns = cq_clock_now_ns(t->g->clock);

	t->store_call = NULL;
	cq_round_trip_ended(&t->g->round_trip, now_ns - t->sent_ns,
			    result->status != CQ_STORE_UNKNOWN);
}

static void set_key(struct ticket *t, const char *prefix)
{
	g_free(t->key);
	t->key = g_strconcat(prefix, t->id, NULL);
}

static void step_submit(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_WORKLOADS);
	t->store_call = store->ops->put(store->self, t->key, t->record, 0, 0,
					call_timeout_ms(t), on_submitted, t);
}

static void on_submitted(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;

	note_result(t, result);
	switch (result->status) {
	case CQ_STORE_OK:
		answer_simple(t, CQ_GATEWAY_ACCEPTED, "stored");
		return;
	case CQ_STORE_CONFLICT:
		answer_simple(t, CQ_GATEWAY_ACCEPTED, "was stored before");
		return;
	case CQ_STORE_INVALID:
		cq_log_event(CQ_LOG_ERROR, "store_refused_workload",
			     "{s:s,s:s}", "id", t->id, "error",
			     result->message);
		answer_simple(t, CQ_GATEWAY_INVALID,
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
	retry_later(t, result->status);
}

static void step_state(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_PROGRESS);
	t->store_call = store->ops->get(store->self, t->key, call_timeout_ms(t),
					on_progress, t);
}

static void answer_state(struct ticket *t, enum cq_batch_state state)
{
	const struct cq_gateway_answer a = {
		.result = CQ_GATEWAY_FOUND,
		.state = state,
		.message = cq_batch_state_string(state),
	};

	answer(t, &a);
}

static void on_progress(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;

	note_result(t, result);
	if (result->status == CQ_STORE_OK && result->entry_count == 1 &&
	    cq_batch_state_of(result->entries[0].value,
			      result->entries[0].value_len, &t->state)) {
		t->has_state = true;
		if (cq_batch_state_is_terminal(t->state)) {
			answer_state(t, t->state);
			return;
		}
	} else if (result->status != CQ_STORE_NOT_FOUND) {
		retry_later(t, result->status);
		return;
	}
	t->step = step_workload;
	step_workload(t);
}

/* The record of the workload shows whether it exists and is cancelled. */
static void step_workload(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_WORKLOADS);
	t->store_call = store->ops->get(store->self, t->key, call_timeout_ms(t),
					on_workload, t);
}

static void on_workload(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;
	struct cq_workload *w;
	bool cancelled;

	note_result(t, result);
	if (result->status == CQ_STORE_NOT_FOUND) {
		answer_simple(t, CQ_GATEWAY_NO_JOB, "no such job");
		return;
	}
	if (result->status != CQ_STORE_OK || result->entry_count != 1) {
		retry_later(t, result->status);
		return;
	}
	w = cq_workload_parse(result->entries[0].value,
			      result->entries[0].value_len, NULL);
	cancelled = w && w->cancelled;
	cq_workload_destroy(w);
	if (cancelled)
		answer_state(t, CQ_BATCH_CANCELLED);
	else
		answer_state(t, t->has_state ? t->state : CQ_BATCH_QUEUED);
}

static void step_cancel_read(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	set_key(t, CQ_KEY_WORKLOADS);
	t->store_call = store->ops->get(store->self, t->key, call_timeout_ms(t),
					on_cancel_read, t);
}

static void on_cancel_read(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;
	struct cq_workload *w;

	note_result(t, result);
	if (result->status == CQ_STORE_NOT_FOUND) {
		answer_simple(t, CQ_GATEWAY_NO_JOB, "no such job");
		return;
	}
	w = result->status == CQ_STORE_OK && result->entry_count == 1
		    ? cq_workload_parse(result->entries[0].value,
					result->entries[0].value_len, NULL)
		    : NULL;
	if (!w) {
		retry_later(t, result->status);
		return;
	}
	if (w->cancelled) {
		cq_workload_destroy(w);
		answer_simple(t, CQ_GATEWAY_ACCEPTED, "was cancelled before");
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
					t->revision, 0, call_timeout_ms(t),
					on_cancel_written, t);
}

static void on_cancel_written(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;

	note_result(t, result);
	if (result->status == CQ_STORE_OK) {
		answer_simple(t, CQ_GATEWAY_ACCEPTED, "cancelled");
		return;
	}
	/* Somebody else changed it, or an unanswered try was executed. */
	t->step = step_cancel_read;
	if (result->status == CQ_STORE_CONFLICT) {
		step_cancel_read(t);
		return;
	}
	t->maybe_stored |= result->status == CQ_STORE_UNKNOWN;
	retry_later(t, result->status);
}

static void step_count(struct ticket *t)
{
	const struct cq_store *store = t->g->store;

	t->store_call = store->ops->get(store->self, CQ_KEY_PENDING,
					call_timeout_ms(t), on_count, t);
}

static void on_count(void *ctx, const struct cq_store_result *result)
{
	struct ticket *t = ctx;
	struct cq_gateway_answer a = {
		.result = CQ_GATEWAY_FOUND,
		.message = "counted",
	};
	json_t *counts = NULL;

	note_result(t, result);
	if (result->status == CQ_STORE_OK && result->entry_count == 1)
		counts = json_loadb(result->entries[0].value,
				    result->entries[0].value_len, 0, NULL);
	else if (result->status != CQ_STORE_NOT_FOUND) {
		retry_later(t, result->status);
		return;
	}
	a.pending =
		(uint64_t)json_integer_value(json_object_get(counts, t->queue));
	json_decref(counts);
	answer(t, &a);
}

/* The id is what follows the queue's prefix. */
static bool read_id(struct ticket *t, const char *path,
		    const struct cq_queue *queue)
{
	const char *id = path + strlen(queue->prefix);

	if (strlen(id) != CQ_WORKLOAD_ID_BYTES - 1 ||
	    strspn(id, "0123456789abcdefABCDEF") != strlen(id))
		return false;
	g_strlcpy(t->id, id, sizeof(t->id));
	return true;
}

static struct ticket *ticket_create(struct cq_gateway *g,
				    const struct cq_gateway_request *request,
				    cq_gateway_done_fn *done, void *call)
{
	struct ticket *t = g_new0(struct ticket, 1);
	uint32_t wait_ms = request->deadline_ms ? request->deadline_ms
						: DEFAULT_DEADLINE_MS;

	t->g = g;
	t->verb = request->verb;
	t->done = done;
	t->call = call;
	t->received_ns = cq_clock_now_ns(g->clock);
	t->deadline_ns = t->received_ns + (int64_t)wait_ms * CQ_NS_PER_MS -
			 ANSWER_MARGIN_NS;
	ev_timer_init(&t->retry, on_retry, 0., 0.);
	t->retry.data = t;
	g_hash_table_insert(g->tickets, call, t);
	return t;
}

static void start_submit(struct ticket *t, struct cq_workload *w,
			 const char *workspace, const char *body_error)
{
	struct cq_error err = CQ_ERROR_INIT;

	if (!w) {
		answer_simple(t, CQ_GATEWAY_INVALID, body_error);
		return;
	}
	g_strlcpy(w->id, t->id, sizeof(w->id));
	g_strlcpy(w->queue, t->queue, sizeof(w->queue));
	g_strlcpy(w->workspace, workspace, sizeof(w->workspace));
	w->accepted_ms = cq_clock_unix_ms(t->g->clock);
	if (!cq_workload_check(w, &err)) {
		answer_simple(t, CQ_GATEWAY_INVALID, err.message);
		return;
	}
	t->record = cq_workload_format(w);
	t->step = step_submit;
	step_submit(t);
}

static void start(struct ticket *t, const struct cq_gateway_request *request,
		  const char *workspace)
{
	switch (t->verb) {
	case CQ_GATEWAY_SUBMIT:
		start_submit(t, request->workload, workspace,
			     request->body_error);
		return;
	case CQ_GATEWAY_STATE:
		t->step = step_state;
		break;
	case CQ_GATEWAY_CANCEL:
		t->step = step_cancel_read;
		break;
	case CQ_GATEWAY_COUNT:
		t->step = step_count;
		break;
	}
	t->step(t);
}

static void serve(struct ticket *t, const struct cq_gateway_request *request)
{
	const struct cq_queue_config *config = t->g->config;
	const struct cq_workspace_keys *workspace = NULL;
	const struct cq_queue *queue;

	if (!config) {
		answer_simple(t, CQ_GATEWAY_UNAVAILABLE,
			      "there is no configuration yet");
		return;
	}
	queue = cq_queue_config_match(config, request->authority,
				      request->path);
	if (!queue) {
		answer_simple(t, CQ_GATEWAY_NO_QUEUE, "no such queue");
		return;
	}
	g_strlcpy(t->queue, queue->name, sizeof(t->queue));
	if (request->key)
		workspace =
			cq_queue_config_workspace_of_key(config, request->key);
	if (!workspace && !queue->allow_anonymous) {
		answer_simple(t, CQ_GATEWAY_DENIED, "unknown key");
		return;
	}
	if (t->verb == CQ_GATEWAY_STATE &&
	    !request->path[strlen(queue->prefix)])
		t->verb = CQ_GATEWAY_COUNT;
	else if (!read_id(t, request->path, queue)) {
		answer_simple(t,
			      t->verb == CQ_GATEWAY_SUBMIT ? CQ_GATEWAY_INVALID
							   : CQ_GATEWAY_NO_JOB,
			      "the id is not 16 hexadecimal digits");
		return;
	}
	if (!t->g->store_reachable(t->g->ctx)) {
		give_up(t);
		return;
	}
	start(t, request, workspace ? workspace->name : "");
}

void cq_gateway_serve(struct cq_gateway *g,
		      const struct cq_gateway_request *request,
		      cq_gateway_done_fn *done, void *call)
{
	serve(ticket_create(g, request, done, call), request);
	cq_workload_destroy(request->workload);
}
