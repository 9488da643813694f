#include "programs/entryd/requests.h"

#include <assert.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/caller.h"
#include "chestnutquay/endpoint_pool.h"
#include "chestnutquay/log.h"

/* Interval of router ticks, which bounds the precision of deadlines. */
#define TICK_INTERVAL_S 0.02
#define HOST_LIST_INTERVAL_S 1.0
#define HOST_LIST_TIMEOUT_MS 900
#define METRICS_INTERVAL_NS CQ_NS_PER_S
#define CONNECT_TIMEOUT_MS 500
#define MAX_IDLE_CONNECTIONS 4096
/* One in this many connections is reserved for half-closed ones. */
#define HALF_CLOSED_RESERVE_DIVISOR 4
/* Time for the link to send the last answer to a peer before exit. */
#define PEER_FLUSH_DELAY_NS (200 * CQ_NS_PER_MS)
/*
 * The home of an idempotency key refuses keys that may have been created before
 * it started, with an allowance for clock skew. A host that became ready
 * earlier would expose its callers to that refusal; in a deployment whose hosts
 * all start together, every home would refuse new keys.
 */
#define READY_DELAY_FOR_KEYS_MS \
	(CQ_OUTCOMES_MAX_KEY_AHEAD_MS + 2 * CQ_OUTCOMES_MAX_CLOCK_SKEW_MS)

const struct cq_setting entryd_requests_settings[] = {
	{ "caller-address", "CQ_CALLER_ADDRESS", CQ_SETTING_ADDRESS, NULL, 0, 0,
	  "listening address for callers" },
	{ "accept-after-term-ms", "CQ_ACCEPT_AFTER_TERM_MS", CQ_SETTING_INTEGER,
	  "5000", 0, 600000,
	  "time to go on accepting after SIGTERM, milliseconds" },
	{ "max-connections", "CQ_MAX_CONNECTIONS", CQ_SETTING_INTEGER, "4096",
	  1, 65536, "open callers' connections" },
	{ "max-body-bytes", "CQ_MAX_BODY_BYTES", CQ_SETTING_INTEGER, "1048576",
	  1, 4000000, "body of a request or an answer, bytes" },
	{ "max-held-bytes", "CQ_MAX_HELD_BYTES", CQ_SETTING_INTEGER, "67108864",
	  1, 17179869184, "request bodies held at a time, bytes" },
	{ "max-queued", "CQ_MAX_QUEUED", CQ_SETTING_INTEGER, "5000", 1, 1000000,
	  "requests that wait for a slot" },
	{ "endpoint-run-max-ms", "CQ_ENDPOINT_RUN_MAX_MS", CQ_SETTING_INTEGER,
	  "30000", 100, 3600000,
	  "longest time an endpoint may work on a request, milliseconds" },
	{ "endpoint-connections", "CQ_ENDPOINT_CONNECTIONS", CQ_SETTING_INTEGER,
	  "60", 1, 100000, "connections an endpoint takes from all hosts" },
	{ "endpoint-idle-ms", "CQ_ENDPOINT_IDLE_MS", CQ_SETTING_INTEGER,
	  "60000", 0, 3600000,
	  "longest time an endpoint keeps an unused connection, milliseconds" },
	{ "endpoint-probe-path", "CQ_ENDPOINT_PROBE_PATH", CQ_SETTING_STRING,
	  "healthz", 1, 200, "path that probes an ejected endpoint" },
	{ "share-hold-ms", "CQ_SHARE_HOLD_MS", CQ_SETTING_INTEGER, "31000", 0,
	  3600000, "time after start before own slots are used, milliseconds" },
	{ "loan-ms", "CQ_LOAN_MS", CQ_SETTING_INTEGER, "1000", 100, 60000,
	  "time in which a borrowed slot may be used, milliseconds" },
	{ "spill-margin-ms", "CQ_SPILL_MARGIN_MS", CQ_SETTING_INTEGER, "5", 0,
	  60000, "least gain of sending to another data centre, milliseconds" },
};
const int32_t entryd_requests_setting_count =
	G_N_ELEMENTS(entryd_requests_settings);

/* Completion context of a call to an endpoint or of a probe. */
struct pending_call {
	struct entryd_requests *requests;
	uint64_t call_id;
};

static void on_call(void *ctx, uint64_t call_id,
		    const struct cq_endpoint_call *call);
static void on_probe(void *ctx, uint64_t call_id, const char *address,
		     const char *request_id, uint32_t timeout_ms);
static void on_call_done(void *ctx, const struct cq_endpoint_result *result);
static void on_router_answer(void *ctx, void *pending,
			     const struct cq_answer *answer);
static void on_request(void *ctx, struct cq_caller_call *call,
		       const struct cq_request *request);
static void on_aborted(void *ctx, struct cq_caller_call *call);
static void on_job_call(void *ctx, struct cq_operator_exchange *exchange);
static void on_job_call_aborted(void *ctx,
				struct cq_operator_exchange *exchange);
static void on_tick(struct ev_loop *loop, ev_timer *timer, int events);
static void on_host_list_timer(struct ev_loop *loop, ev_timer *timer,
			       int events);
static void on_hosts(void *ctx, const struct cq_host *hosts, size_t count);
static const char *on_ready(void *ctx);
static bool on_drain(void *ctx);
static bool hand_over_outcomes(struct entryd_requests *requests);
static void update_metrics(struct entryd_requests *requests);
static void set_gauge(struct entryd_requests *requests, const char *name,
		      uint64_t value);
static void observe_latency(struct entryd_requests *requests,
			    const struct pending_request *pending,
			    const struct cq_answer *answer);
static bool open_listener(struct entryd_requests *requests,
			  struct cq_error *err);
static void open_router(struct entryd_requests *requests,
			struct entryd_sources *sources);

const struct cq_router_ops entryd_router_ops = {
	.call = on_call,
	.probe = on_probe,
	.answer = on_router_answer,
	.forward = entryd_forward,
	.ask_slots = entryd_ask_slots,
	.lend_slots = entryd_lend_slots,
	.return_slots = entryd_return_slots,
	.offer_outcomes = entryd_offer_outcomes,
};

static int64_t integer_setting(const struct entryd_requests *requests,
			       const char *name)
{
	return cq_config_integer(cq_daemon_config(requests->daemon), name);
}

void entryd_pending_request_free(struct pending_request *pending)
{
	pending->requests->pending_requests--;
	if (pending->call)
		g_hash_table_remove(pending->requests->by_call, pending->call);
	cq_peer_forward_free(pending->forward);
	g_free(pending->peer_address);
	g_free(pending->class_name);
	g_free(pending);
}

static void on_call(void *ctx, uint64_t call_id,
		    const struct cq_endpoint_call *call)
{
	struct entryd_requests *requests = ctx;
	const struct cq_endpoint *endpoint =
		cq_endpoint_http_get(requests->endpoint);
	struct pending_call *pending = g_new(struct pending_call, 1);

	pending->requests = requests;
	pending->call_id = call_id;
	endpoint->ops->call(endpoint->self, call, on_call_done, pending);
}

static void on_probe(void *ctx, uint64_t call_id, const char *address,
		     const char *request_id, uint32_t timeout_ms)
{
	struct entryd_requests *requests = ctx;
	const struct cq_endpoint *endpoint =
		cq_endpoint_http_get(requests->endpoint);
	struct pending_call *pending = g_new(struct pending_call, 1);

	pending->requests = requests;
	pending->call_id = call_id;
	endpoint->ops->probe(endpoint->self, address, request_id, timeout_ms,
			     on_call_done, pending);
}

static void on_call_done(void *ctx, const struct cq_endpoint_result *result)
{
	struct pending_call *pending = ctx;
	struct entryd_requests *requests = pending->requests;
	uint64_t call_id = pending->call_id;

	g_free(pending);
	requests->vtable->call_done(requests->router, call_id, result);
}

static void observe_latency(struct entryd_requests *requests,
			    const struct pending_request *pending,
			    const struct cq_answer *answer)
{
	struct cq_metrics *metrics = cq_daemon_metrics(requests->daemon);
	char labels[160];

	snprintf(labels, sizeof(labels), "class=\"%s\",result=\"%s\"",
		 pending->class_name,
		 answer->refusal ? cq_refusal_string(answer->refusal)
				 : "answered");
	cq_histogram_observe_ns(
		cq_metrics_histogram(metrics, "cq_request_seconds", labels),
		cq_clock_now_ns(cq_daemon_clock(requests->daemon)) -
			pending->arrival_ns);
}

static void on_router_answer(void *ctx, void *pending_ctx,
			     const struct cq_answer *answer)
{
	struct entryd_requests *requests = ctx;
	struct pending_request *pending = pending_ctx;

	if (pending->call) {
		/* Unknown names must not create new metric series. */
		if (answer->refusal != CQ_REFUSAL_UNKNOWN_CLASS &&
		    answer->refusal != CQ_REFUSAL_UNKNOWN_WORKSPACE)
			observe_latency(requests, pending, answer);
		requests->caller_api->ops->answer(requests->caller_api->self,
						  pending->call, answer);
	} else {
		entryd_answer_peer(pending, answer);
	}
	entryd_pending_request_free(pending);
}

static void on_request(void *ctx, struct cq_caller_call *call,
		       const struct cq_request *request)
{
	struct entryd_requests *requests = ctx;
	struct pending_request *pending = g_new0(struct pending_request, 1);

	pending->requests = requests;
	pending->call = call;
	pending->class_name = g_strdup(request->class_name);
	pending->arrival_ns =
		cq_clock_now_ns(cq_daemon_clock(requests->daemon));
	g_hash_table_insert(requests->by_call, call, pending);
	requests->pending_requests++;
	requests->vtable->submit(requests->router, request, NULL, pending);
}

static void on_aborted(void *ctx, struct cq_caller_call *call)
{
	struct entryd_requests *requests = ctx;
	struct pending_request *pending =
		g_hash_table_lookup(requests->by_call, call);

	requests->vtable->abandon(requests->router, pending);
	entryd_pending_request_free(pending);
}

static void on_job_call(void *ctx, struct cq_operator_exchange *exchange)
{
	struct entryd_requests *requests = ctx;

	cq_job_calls_handle(requests->job_calls, exchange);
}

static void on_job_call_aborted(void *ctx,
				struct cq_operator_exchange *exchange)
{
	struct entryd_requests *requests = ctx;

	cq_job_calls_aborted(requests->job_calls, exchange);
}

static void set_gauge(struct entryd_requests *requests, const char *name,
		      uint64_t value)
{
	struct cq_metrics *metrics = cq_daemon_metrics(requests->daemon);

	cq_gauge_set(cq_metrics_gauge(metrics, name, ""), (int64_t)value);
}

static void update_metrics(struct entryd_requests *requests)
{
	struct cq_pool_summary pool;
	struct cq_router_stats stats;

	requests->vtable->stats(requests->router, &stats);
	cq_endpoint_pool_summary(
		cq_router_pool(requests->router),
		cq_clock_now_ns(cq_daemon_clock(requests->daemon)), &pool);
	set_gauge(requests, "cq_requests_open", stats.open);
	set_gauge(requests, "cq_requests_queued", stats.queued);
	set_gauge(requests, "cq_requests_submitted", stats.submitted);
	set_gauge(requests, "cq_requests_first_attempts", stats.first_attempts);
	set_gauge(requests, "cq_requests_retries", stats.retries);
	set_gauge(requests, "cq_requests_reroutes", stats.reroutes);
	set_gauge(requests, "cq_requests_spilled", stats.spilled);
	set_gauge(requests, "cq_requests_to_home", stats.forwarded_to_home);
	set_gauge(requests, "cq_requests_late_answers", stats.late_answers);
	set_gauge(requests, "cq_requests_crossed_answers", stats.crossed);
	set_gauge(requests, "cq_request_keys", stats.keys);
	set_gauge(requests, "cq_request_keys_handed_over",
		  stats.keys_handed_over);
	set_gauge(requests, "cq_request_keys_taken_over",
		  stats.keys_taken_over);
	set_gauge(requests, "cq_request_keys_dropped", stats.keys_dropped);
	set_gauge(requests, "cq_slots_lent", stats.lent);
	set_gauge(requests, "cq_slots_borrowed", stats.borrowed);
	set_gauge(requests, "cq_endpoint_connections_held",
		  cq_http_client_half_closed_count(requests->client));
	set_gauge(requests, "cq_endpoints_live", pool.live);
	set_gauge(requests, "cq_endpoints_leaving", pool.leaving);
	set_gauge(requests, "cq_endpoints_ejected", pool.ejected);
	set_gauge(requests, "cq_endpoint_slots_usable", pool.usable_slots);
	set_gauge(requests, "cq_endpoint_slots_free", pool.free_slots);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct entryd_requests *requests = timer->data;
	int64_t now_ns = cq_clock_now_ns(cq_daemon_clock(requests->daemon));

	(void)loop;
	(void)events;
	requests->vtable->tick(requests->router);
	if (now_ns - requests->last_metrics_ns < METRICS_INTERVAL_NS)
		return;
	requests->last_metrics_ns = now_ns;
	update_metrics(requests);
}

static void on_host_list_timer(struct ev_loop *loop, ev_timer *timer,
			       int events)
{
	struct entryd_requests *requests = timer->data;
	const struct cq_host_list *list = cq_daemon_host_list(requests->daemon);

	(void)loop;
	(void)events;
	if (requests->host_list_pending)
		return;
	requests->host_list_pending = true;
	list->ops->fetch(list->self, HOST_LIST_TIMEOUT_MS, on_hosts, requests);
}

/* Keeps the last host list if the fetch failed. */
static void on_hosts(void *ctx, const struct cq_host *hosts, size_t count)
{
	struct entryd_requests *requests = ctx;

	requests->host_list_pending = false;
	if (!hosts)
		return;
	requests->host_list_received = true;
	requests->vtable->set_hosts(requests->router, hosts, count);
}

static const char *on_ready(void *ctx)
{
	const struct entryd_requests *requests = ctx;
	int64_t unix_ms = cq_clock_unix_ms(cq_daemon_clock(requests->daemon));
	int64_t start_unix_ms =
		(int64_t)cq_daemon_incarnation(requests->daemon);

	if (!requests->host_list_received)
		return "no host list received yet";
	if (unix_ms < start_unix_ms + READY_DELAY_FOR_KEYS_MS)
		return "idempotency keys created now could be older than "
		       "this process";
	return NULL;
}

/*
 * Keeps accepting while the load balancer still sends requests here, then
 * closes the listener, waits for the last response and hands the request
 * outcomes over to other hosts.
 */
static bool on_drain(void *ctx)
{
	struct entryd_requests *requests = ctx;
	int64_t now_ns = cq_clock_now_ns(cq_daemon_clock(requests->daemon));

	if (!requests->drain_begun) {
		requests->drain_begun = true;
		requests->caller_api->ops->drain(requests->caller_api->self);
		requests->drain_begin_ns = now_ns;
	}
	requests->vtable->drain(requests->router);
	if (now_ns - requests->drain_begin_ns <
	    integer_setting(requests, "accept-after-term-ms") * CQ_NS_PER_MS)
		return false;
	if (!requests->quiesced) {
		requests->caller_api->ops->quiesce(requests->caller_api->self);
		requests->quiesced = true;
		cq_log_event(CQ_LOG_INFO, "listener_closed", "{s:i}",
			     "open_requests", (int)requests->pending_requests);
	}
	if (requests->pending_requests ||
	    requests->caller_api->ops->open_count(requests->caller_api->self))
		return false;
	return hand_over_outcomes(requests) &&
	       now_ns - requests->last_peer_answer_ns >= PEER_FLUSH_DELAY_NS;
}

static bool hand_over_outcomes(struct entryd_requests *requests)
{
	struct cq_router_stats stats;
	uint32_t left;

	if (requests->outcomes_handed_over)
		return true;
	if (!requests->vtable->hand_over(requests->router, &left))
		return false;
	requests->outcomes_handed_over = true;
	requests->vtable->stats(requests->router, &stats);
	cq_log_event(left ? CQ_LOG_WARN : CQ_LOG_INFO, "outcomes_handed_over",
		     "{s:I,s:I}", "keys", (json_int_t)stats.keys_handed_over,
		     "left", (json_int_t)left);
	return true;
}

static bool open_listener(struct entryd_requests *requests,
			  struct cq_error *err)
{
	static const struct cq_caller_handler handler = { on_request,
							  on_aborted };
	struct cq_caller_http_options options = {
		.max_timeout_ms = requests->max_timeout_ms,
		.jobs = { on_job_call, on_job_call_aborted },
		.jobs_ctx = requests,
	};
	char ip[16];
	uint16_t port;

	cq_address_parse(cq_config_string(cq_daemon_config(requests->daemon),
					  "caller-address"),
			 ip, &port, NULL);
	cq_http_server_options_init(&options.server, ip, port);
	options.server.max_connections =
		(uint32_t)integer_setting(requests, "max-connections");
	options.server.max_body_bytes =
		(uint32_t)integer_setting(requests, "max-body-bytes");
	options.server.max_total_body_bytes =
		(uint64_t)integer_setting(requests, "max-held-bytes");
	requests->caller_http = cq_caller_http_create(requests->loop, &options,
						      &handler, requests, err);
	if (!requests->caller_http)
		return false;
	requests->caller_api = cq_caller_http_get(requests->caller_http);
	return true;
}

static void open_router(struct entryd_requests *requests,
			struct entryd_sources *sources)
{
	struct cq_router_setup setup = {
		.clock = cq_daemon_clock(requests->daemon),
		.ops = &entryd_router_ops,
		.ops_ctx = requests,
		.members = &entryd_members_ops,
		.members_ctx = sources,
		.policy = &entryd_policy_ops,
		.policy_ctx = sources,
	};
	struct cq_router_options *options = &setup.options;
	uint64_t incarnation = cq_daemon_incarnation(requests->daemon);
	char *id = g_strdup_printf("%s-%" G_GUINT64_FORMAT,
				   cq_daemon_id(requests->daemon), incarnation);

	cq_router_options_init(options);
	options->id = id;
	options->incarnation = incarnation;
	options->data_centre = cq_daemon_data_centre(requests->daemon);
	options->index = (uint32_t)integer_setting(requests, "index");
	options->index_count =
		(uint32_t)integer_setting(requests, "index-count");
	options->max_queued = (uint32_t)integer_setting(requests, "max-queued");
	options->max_queued_bytes =
		(uint64_t)integer_setting(requests, "max-held-bytes");
	options->call_max_ms = requests->max_timeout_ms;
	options->share_hold_ms =
		(uint32_t)integer_setting(requests, "share-hold-ms");
	options->loan_ms = (uint32_t)integer_setting(requests, "loan-ms");
	options->spill_margin_ms =
		(uint32_t)integer_setting(requests, "spill-margin-ms");
	options->seed = incarnation ^ options->index;
	requests->vtable = cq_router_vtable();
	requests->router = requests->vtable->create(&setup);
	g_free(id);
}

struct entryd_requests *entryd_requests_create(struct cq_daemon *daemon,
					       struct entryd_sources *sources,
					       struct cq_job_calls *job_calls,
					       struct cq_error *err)
{
	struct entryd_requests *requests = g_new0(struct entryd_requests, 1);
	struct cq_endpoint_http_options endpoint_options;
	uint32_t max_connections;

	requests->daemon = daemon;
	requests->job_calls = job_calls;
	requests->loop = cq_daemon_loop(daemon);
	requests->by_call = g_hash_table_new(NULL, NULL);
	requests->max_timeout_ms =
		(uint32_t)integer_setting(requests, "endpoint-run-max-ms");
	/*
	 * The connections of an endpoint are divided among the entry hosts like
	 * its slots. Each host uses only half of its share, because an endpoint
	 * may not have noticed yet that the connections of the previous holder
	 * of this index are closed.
	 */
	max_connections =
		(uint32_t)(integer_setting(requests, "endpoint-connections") /
			   (2 * integer_setting(requests, "index-count")));
	max_connections = MAX(max_connections, 1);
	/* A connection counts until the endpoint has closed it too. */
	requests->client = cq_http_client_create(
		requests->loop,
		max_connections - max_connections / HALF_CLOSED_RESERVE_DIVISOR,
		MAX_IDLE_CONNECTIONS);
	cq_http_client_limit_connections(
		requests->client, max_connections,
		(uint32_t)integer_setting(requests, "endpoint-idle-ms"));
	endpoint_options = (struct cq_endpoint_http_options){
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.max_answer_bytes =
			(uint32_t)integer_setting(requests, "max-body-bytes"),
		.probe_path = cq_config_string(cq_daemon_config(daemon),
					       "endpoint-probe-path"),
	};
	requests->endpoint =
		cq_endpoint_http_create(requests->client, &endpoint_options);
	open_router(requests, sources);
	ev_timer_init(&requests->tick, on_tick, TICK_INTERVAL_S,
		      TICK_INTERVAL_S);
	ev_timer_init(&requests->host_list_timer, on_host_list_timer, 0.,
		      HOST_LIST_INTERVAL_S);
	requests->tick.data = requests;
	requests->host_list_timer.data = requests;
	if (!open_listener(requests, err)) {
		entryd_requests_destroy(requests);
		return NULL;
	}
	ev_timer_start(requests->loop, &requests->tick);
	ev_timer_start(requests->loop, &requests->host_list_timer);
	entryd_requests_listen_peers(requests);
	cq_daemon_add_ready_check(daemon, on_ready, requests);
	cq_daemon_add_drain(daemon, on_drain, requests);
	return requests;
}

void entryd_requests_destroy(struct entryd_requests *requests)
{
	if (!requests)
		return;
	ev_timer_stop(requests->loop, &requests->tick);
	ev_timer_stop(requests->loop, &requests->host_list_timer);
	cq_caller_http_destroy(requests->caller_http);
	g_hash_table_destroy(requests->by_call);
	cq_endpoint_http_destroy(requests->endpoint);
	cq_http_client_destroy(requests->client);
	requests->vtable->destroy(requests->router);
	g_free(requests);
}
