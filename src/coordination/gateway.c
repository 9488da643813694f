#include "chestnutquay/gateway.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/log.h"
#include "coordination/gateway_internal.h"

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
static void give_up(struct ticket *t);
static void on_retry(struct ev_loop *loop, ev_timer *timer, int events);
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

void ticket_answer(struct ticket *t, const struct cq_gateway_answer *a)
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

void ticket_answer_simple(struct ticket *t, enum cq_gateway_result result,
			  const char *message)
{
	const struct cq_gateway_answer a = {
		.result = result,
		.message = message,
		.retry_after_s = RETRY_AFTER_S,
	};

	ticket_answer(t, &a);
}

static void give_up(struct ticket *t)
{
	if (t->maybe_stored)
		ticket_answer_simple(
			t, CQ_GATEWAY_UNKNOWN,
			"the store did not answer; it may have been "
			"stored");
	else
		ticket_answer_simple(
			t, CQ_GATEWAY_UNAVAILABLE,
			"the store cannot be reached from this host");
}

void ticket_retry_later(struct ticket *t, enum cq_store_status status)
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
uint32_t ticket_timeout_ms(struct ticket *t)
{
	int64_t left_ms =
		(t->deadline_ns - cq_clock_now_ns(t->g->clock)) / CQ_NS_PER_MS;

	return (uint32_t)CLAMP(left_ms, 1,
			       cq_round_trip_limit_ms(&t->g->round_trip));
}

void ticket_note_result(struct ticket *t, const struct cq_store_result *result)
{
	int64_t now_ns = cq_clock_now_ns(t->g->clock);

	t->store_call = NULL;
	cq_round_trip_ended(&t->g->round_trip, now_ns - t->sent_ns,
			    result->status != CQ_STORE_UNKNOWN);
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
		ticket_answer_simple(t, CQ_GATEWAY_INVALID, body_error);
		return;
	}
	g_strlcpy(w->id, t->id, sizeof(w->id));
	g_strlcpy(w->queue, t->queue, sizeof(w->queue));
	g_strlcpy(w->workspace, workspace, sizeof(w->workspace));
	w->accepted_ms = cq_clock_unix_ms(t->g->clock);
	if (!cq_workload_check(w, &err)) {
		ticket_answer_simple(t, CQ_GATEWAY_INVALID, err.message);
		return;
	}
	t->record = cq_workload_format(w);
	t->step = gateway_step_submit;
	gateway_step_submit(t);
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
		t->step = gateway_step_state;
		break;
	case CQ_GATEWAY_CANCEL:
		t->step = gateway_step_cancel;
		break;
	case CQ_GATEWAY_COUNT:
		t->step = gateway_step_count;
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
		ticket_answer_simple(t, CQ_GATEWAY_UNAVAILABLE,
				     "there is no configuration yet");
		return;
	}
	queue = cq_queue_config_match(config, request->authority,
				      request->path);
	if (!queue) {
		ticket_answer_simple(t, CQ_GATEWAY_NO_QUEUE, "no such queue");
		return;
	}
	g_strlcpy(t->queue, queue->name, sizeof(t->queue));
	if (request->key)
		workspace =
			cq_queue_config_workspace_of_key(config, request->key);
	if (!workspace && !queue->allow_anonymous) {
		ticket_answer_simple(t, CQ_GATEWAY_DENIED, "unknown key");
		return;
	}
	if (t->verb == CQ_GATEWAY_STATE &&
	    !request->path[strlen(queue->prefix)])
		t->verb = CQ_GATEWAY_COUNT;
	else if (!read_id(t, request->path, queue)) {
		ticket_answer_simple(t,
				     t->verb == CQ_GATEWAY_SUBMIT
					     ? CQ_GATEWAY_INVALID
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
