#include "chestnutquay/gateway.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/log.h"
#include "chestnutquay/text.h"
#include "coordination/gateway_internal.h"

/* Used if the caller does not say how long it waits. */
#define DEFAULT_DEADLINE_MS 3000
/* Answers are sent this long before the caller's deadline. */
#define ANSWER_MARGIN_NS (INT64_C(150) * CQ_NS_PER_MS)
#define RETRY_S 0.03
#define MIN_CALL_TIMEOUT_MS 150
/*
 * If the store is unavailable, retries end after this time, so that the caller
 * can try another host.
 */
#define STORE_UNAVAILABLE_LIMIT_NS (INT64_C(400) * CQ_NS_PER_MS)
#define RETRY_AFTER_S 1

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

static void request_free(void *data);
static void answer_store_unavailable(struct pending_request *r);
static void on_retry(struct ev_loop *loop, ev_timer *timer, int events);
static bool parse_id(struct pending_request *r, const char *path,
		     const struct cq_queue *queue);

const char *cq_gateway_verb_string(enum cq_gateway_verb verb)
{
	return verb_strings[verb];
}

const char *cq_gateway_result_string(enum cq_gateway_result result)
{
	return result_strings[result];
}

static void request_free(void *data)
{
	struct pending_request *r = data;
	const struct cq_store *store = r->g->store;

	if (r->store_call)
		store->ops->cancel(store->self, r->store_call);
	ev_timer_stop(r->g->loop, &r->retry_timer);
	cq_text_clear(&r->queue);
	g_free(r->key);
	free(r->record);
	g_free(r);
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
	g->requests = g_hash_table_new_full(NULL, NULL, NULL, request_free);
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
	g_hash_table_destroy(g->requests);
	g_free(g);
}

void cq_gateway_set_config(struct cq_gateway *g,
			   const struct cq_queue_config *config)
{
	g->config = config;
}

void cq_gateway_set_full(struct cq_gateway *g, bool full)
{
	g->full = full;
}

uint32_t cq_gateway_open_count(const struct cq_gateway *g)
{
	return g_hash_table_size(g->requests);
}

void cq_gateway_drop(struct cq_gateway *g, void *call)
{
	g_hash_table_remove(g->requests, call);
}

void request_answer(struct pending_request *r,
		    const struct cq_gateway_answer *a)
{
	struct cq_gateway *g = r->g;
	int64_t took_ns = cq_clock_now_ns(g->clock) - r->received_ns;

	cq_counter_add(g->results[r->verb][a->result], 1);
	cq_histogram_observe_ns(g->latency[r->verb], took_ns);
	cq_log_event(CQ_LOG_INFO, "request_answered",
		     "{s:s,s:s,s:s,s:s,s:I,s:I,s:s}", "id", r->id, "verb",
		     verb_strings[r->verb], "queue", r->queue, "result",
		     result_strings[a->result], "took_us",
		     (json_int_t)(took_ns / CQ_NS_PER_US), "config_version",
		     (json_int_t)(g->config ? g->config->version : 0),
		     "message", a->message);
	g_hash_table_steal(g->requests, r->call);
	r->done(r->call, a);
	request_free(r);
}

void request_answer_simple(struct pending_request *r,
			   enum cq_gateway_result result, const char *message)
{
	const struct cq_gateway_answer a = {
		.result = result,
		.message = message,
		.retry_after_s = RETRY_AFTER_S,
	};

	request_answer(r, &a);
}

static void answer_store_unavailable(struct pending_request *r)
{
	if (r->maybe_stored)
		request_answer_simple(
			r, CQ_GATEWAY_UNKNOWN,
			"the store did not answer; the request may "
			"have been executed");
	else
		request_answer_simple(
			r, CQ_GATEWAY_UNAVAILABLE,
			"the store cannot be reached from this host");
}

void request_retry_later(struct pending_request *r, enum cq_store_status status)
{
	int64_t now_ns = cq_clock_now_ns(r->g->clock);
	int64_t limit_ns = r->deadline_ns;

	if (status == CQ_STORE_UNAVAILABLE &&
	    !r->g->store_reachable(r->g->ctx)) {
		answer_store_unavailable(r);
		return;
	}
	if (status == CQ_STORE_UNAVAILABLE)
		limit_ns = MIN(limit_ns,
			       r->received_ns + STORE_UNAVAILABLE_LIMIT_NS);
	if (now_ns + (int64_t)(RETRY_S * CQ_NS_PER_S) >= limit_ns) {
		answer_store_unavailable(r);
		return;
	}
	ev_now_update(r->g->loop);
	ev_timer_set(&r->retry_timer, RETRY_S, 0.);
	ev_timer_start(r->g->loop, &r->retry_timer);
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct pending_request *r = timer->data;

	(void)loop;
	(void)events;
	r->send(r);
}

uint32_t request_begin_call(struct pending_request *r)
{
	int64_t left_ms;

	r->sent_ns = cq_clock_now_ns(r->g->clock);
	left_ms = (r->deadline_ns - r->sent_ns) / CQ_NS_PER_MS;

	return (uint32_t)CLAMP(left_ms, 1,
			       cq_round_trip_timeout_ms(&r->g->round_trip));
}

void request_note_result(struct pending_request *r,
			 const struct cq_store_result *result)
{
	int64_t now_ns = cq_clock_now_ns(r->g->clock);

	r->store_call = NULL;
	cq_round_trip_ended(&r->g->round_trip, now_ns - r->sent_ns,
			    result->status != CQ_STORE_UNKNOWN);
}

/* Reads the job id, which follows the queue's prefix in the path. */
static bool parse_id(struct pending_request *r, const char *path,
		     const struct cq_queue *queue)
{
	const char *id = path + strlen(queue->prefix);

	if (strlen(id) != CQ_WORKLOAD_ID_BYTES - 1 ||
	    strspn(id, "0123456789abcdefABCDEF") != strlen(id))
		return false;
	g_strlcpy(r->id, id, sizeof(r->id));
	return true;
}

static struct pending_request *
request_create(struct cq_gateway *g, const struct cq_gateway_request *request,
	       cq_gateway_done_fn *done, void *call)
{
	struct pending_request *r = g_new0(struct pending_request, 1);
	uint32_t wait_ms = request->deadline_ms ? request->deadline_ms
						: DEFAULT_DEADLINE_MS;

	r->g = g;
	r->verb = request->verb;
	r->done = done;
	r->call = call;
	cq_text_set(&r->queue, "");
	r->received_ns = cq_clock_now_ns(g->clock);
	r->deadline_ns = r->received_ns + (int64_t)wait_ms * CQ_NS_PER_MS -
			 ANSWER_MARGIN_NS;
	ev_timer_init(&r->retry_timer, on_retry, 0., 0.);
	r->retry_timer.data = r;
	g_hash_table_insert(g->requests, call, r);
	return r;
}

static void start_submit(struct pending_request *r, struct cq_workload *w,
			 const char *workspace, const char *body_error)
{
	struct cq_error err = CQ_ERROR_INIT;

	if (!w) {
		request_answer_simple(r, CQ_GATEWAY_INVALID, body_error);
		return;
	}
	g_strlcpy(w->id, r->id, sizeof(w->id));
	cq_text_set(&w->queue, r->queue);
	cq_text_set(&w->workspace, workspace);
	w->accepted_ms = cq_clock_unix_ms(r->g->clock);
	if (!cq_workload_check(w, &err)) {
		request_answer_simple(r, CQ_GATEWAY_INVALID, err.message);
		return;
	}
	r->record = cq_workload_format(w);
	if (!r->record) {
		request_answer_simple(r, CQ_GATEWAY_INVALID,
				      "a text of the job is not UTF-8");
		return;
	}
	r->send = r->g->full ? gateway_send_known_check : gateway_send_submit;
	r->send(r);
}

static void start_request(struct pending_request *r,
			  const struct cq_gateway_request *request,
			  const char *workspace)
{
	switch (r->verb) {
	case CQ_GATEWAY_SUBMIT:
		start_submit(r, request->workload, workspace,
			     request->body_error);
		return;
	case CQ_GATEWAY_STATE:
		r->send = gateway_send_state;
		break;
	case CQ_GATEWAY_CANCEL:
		r->send = gateway_send_cancel;
		break;
	case CQ_GATEWAY_COUNT:
		r->send = gateway_send_count;
		break;
	}
	r->send(r);
}

static void validate_and_start(struct pending_request *r,
			       const struct cq_gateway_request *request)
{
	const struct cq_queue_config *config = r->g->config;
	const struct cq_workspace_keys *workspace = NULL;
	const struct cq_queue *queue;

	if (!config) {
		request_answer_simple(r, CQ_GATEWAY_UNAVAILABLE,
				      "there is no configuration yet");
		return;
	}
	queue = cq_queue_config_match(config, request->authority,
				      request->path);
	if (!queue) {
		request_answer_simple(r, CQ_GATEWAY_NO_QUEUE, "no such queue");
		return;
	}
	cq_text_set(&r->queue, queue->name);
	if (request->key)
		workspace =
			cq_queue_config_workspace_of_key(config, request->key);
	/* A call without a key is anonymous; one with an unknown key is not. */
	if (!workspace && (request->key || !queue->allow_anonymous)) {
		request_answer_simple(r, CQ_GATEWAY_DENIED, "unknown key");
		return;
	}
	if (r->verb == CQ_GATEWAY_STATE &&
	    !request->path[strlen(queue->prefix)])
		r->verb = CQ_GATEWAY_COUNT;
	else if (!parse_id(r, request->path, queue)) {
		request_answer_simple(r,
				      r->verb == CQ_GATEWAY_SUBMIT
					      ? CQ_GATEWAY_INVALID
					      : CQ_GATEWAY_NO_JOB,
				      "the id is not 16 hexadecimal digits");
		return;
	}
	if (!r->g->store_reachable(r->g->ctx)) {
		answer_store_unavailable(r);
		return;
	}
	start_request(r, request, workspace ? workspace->name : "");
}

void cq_gateway_serve(struct cq_gateway *g,
		      const struct cq_gateway_request *request,
		      cq_gateway_done_fn *done, void *call)
{
	validate_and_start(request_create(g, request, done, call), request);
	cq_workload_destroy(request->workload);
}
