/*
 * The request path over real sockets on loopback, in one process: the caller,
 * the entry host and the endpoint have a thread each, as they have a host each
 * in a deployment. Added latency is the difference to calling the endpoint
 * directly at the same rate.
 */
#include <ev.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "chestnutquay/caller.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/http_server.h"
#include "chestnutquay/router.h"
#include "requests_bench.h"

#define IN_FLIGHT 8
#define PROBE_REQUESTS 3000
#define TIMED_REQUESTS 1500
#define ROUNDS 9
#define GIVE_UP_S 30.0

/* A thread that runs a loop until it is told to stop. */
struct part {
	struct ev_loop *loop;
	pthread_t thread;
	ev_async stop;
};

struct loopback {
	struct ev_loop *loop; /* of the caller */
	struct part endpoint_part;
	struct part entry_part;
	struct cq_http_server *endpoint;
	struct cq_http_server *entry;
	struct cq_http_client *caller_client;
	struct cq_http_client *entry_client;
	struct cq_endpoint_http *endpoint_http;
	struct cq_router *router;
	ev_timer tick;
	int arrival_fd;
	ev_io arrival;
	char direct_url[64];
	char entry_url[64];
	const char *url; /* under test */
	const char *idempotent;
	uint32_t wanted, started, finished, failed;
	double rate; /* arrivals a second; 0: closed loop */
	double next_s;
	GArray *lateness; /* of paced arrivals, milliseconds */
	GArray *times;
	GRand *random;
};

struct timed {
	struct loopback *lb;
	int64_t begin_ns;
};

struct pending {
	struct loopback *lb;
	uint64_t call_id;
};

static void start_one(struct loopback *lb);

static int64_t now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

static double cpu_s(const struct part *part)
{
	struct timespec t;
	clockid_t id;

	pthread_getcpuclockid(part->thread, &id);
	clock_gettime(id, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void on_stop(struct ev_loop *loop, ev_async *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void *run_part(void *ctx)
{
	struct part *part = ctx;

	ev_run(part->loop, 0);
	return NULL;
}

static void part_create(struct part *part)
{
	part->loop = ev_loop_new(0);
	ev_async_init(&part->stop, on_stop);
	ev_async_start(part->loop, &part->stop);
}

static void part_start(struct part *part)
{
	pthread_create(&part->thread, NULL, run_part, part);
}

static void part_stop(struct part *part)
{
	ev_async_send(part->loop, &part->stop);
	pthread_join(part->thread, NULL);
}

static void serve_endpoint(void *ctx, struct cq_http_exchange *exchange)
{
	struct cq_http_header headers[2] = {
		{ "Request-Id",
		  cq_http_exchange_header(exchange, "Request-Id") },
		{ NULL, NULL },
	};
	size_t len;
	const char *body = cq_http_exchange_body(exchange, &len);

	(void)ctx;
	cq_http_exchange_respond(exchange, 200,
				 headers[0].value ? headers : NULL, body, len);
}

static const char *get_header(void *ctx, const char *name)
{
	return cq_http_exchange_header(ctx, name);
}

static void serve_entry(void *ctx, struct cq_http_exchange *exchange)
{
	struct loopback *lb = ctx;
	struct cq_caller_input input = {
		.method = cq_http_exchange_method(exchange),
		.path = cq_http_exchange_path(exchange),
		.header = get_header,
		.ctx = exchange,
	};
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_request request;

	input.body = cq_http_exchange_body(exchange, &input.body_len);
	if (cq_caller_parse(&input, 30000, &request, &err))
		cq_router_vtable()->submit(lb->router, &request, NULL,
					   exchange);
	else
		cq_http_exchange_respond_json(exchange, 400, "{}");
}

static void on_call_done(void *ctx, const struct cq_endpoint_result *result)
{
	struct pending *pending = ctx;
	struct loopback *lb = pending->lb;
	uint64_t id = pending->call_id;

	g_free(pending);
	cq_router_vtable()->call_done(lb->router, id, result);
}

static void op_call(void *ctx, uint64_t call_id,
		    const struct cq_endpoint_call *call)
{
	struct loopback *lb = ctx;
	const struct cq_endpoint *endpoint =
		cq_endpoint_http_get(lb->endpoint_http);
	struct pending *pending = g_new(struct pending, 1);

	pending->lb = lb;
	pending->call_id = call_id;
	endpoint->ops->call(endpoint->self, call, on_call_done, pending);
}

static void op_probe(void *ctx, uint64_t call_id, const char *address,
		     const char *request_id, uint32_t timeout_ms)
{
	struct cq_endpoint_call call = { .address = address,
					 .request_id = request_id,
					 .path = "probe",
					 .workspace = "-",
					 .class_name = "-",
					 .timeout_ms = timeout_ms };

	op_call(ctx, call_id, &call);
}

static void op_answer(void *ctx, void *caller, const struct cq_answer *answer)
{
	char wait[16];
	struct cq_http_header headers[2] = {
		{ "Cq-Expected-Wait-Ms", wait },
		{ NULL, NULL },
	};

	(void)ctx;
	snprintf(wait, sizeof(wait), "%u", answer->expected_wait_ms);
	cq_http_exchange_respond(caller, answer->status, headers, answer->body,
				 answer->body_len);
}

static const char *no_peer(void *ctx, const char *data_centre, uint32_t index)
{
	(void)ctx;
	(void)data_centre;
	(void)index;
	return NULL;
}

static bool no_alive(void *ctx, const char *data_centre, uint32_t index)
{
	(void)ctx;
	(void)data_centre;
	(void)index;
	return false;
}

static bool holds_index(void *ctx, int64_t now)
{
	(void)ctx;
	(void)now;
	return true;
}

static uint32_t no_centres(void *ctx, struct cq_data_centre *centres,
			   uint32_t max)
{
	(void)ctx;
	(void)centres;
	(void)max;
	return 0;
}

static uint32_t no_remotes(void *ctx, const char **addresses, uint32_t max)
{
	(void)ctx;
	(void)addresses;
	(void)max;
	return 0;
}

static bool any_workspace(void *ctx, const char *name, uint32_t *weight)
{
	(void)ctx;
	(void)name;
	*weight = 1;
	return true;
}

static bool any_class(void *ctx, const char *name, uint32_t *rank)
{
	(void)ctx;
	(void)name;
	*rank = 0;
	return true;
}

static const struct cq_router_ops ops = { .call = op_call,
					  .probe = op_probe,
					  .answer = op_answer };
static const struct cq_router_members_ops members = {
	.peer = no_peer,
	.alive = no_alive,
	.holds_index = holds_index,
	.data_centres = no_centres,
	.remotes = no_remotes,
};
static const struct cq_router_policy_ops policy = { any_workspace, any_class };

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	cq_router_vtable()->tick(((struct loopback *)timer->data)->router);
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct timed *timed = ctx;
	struct loopback *lb = timed->lb;
	double us = (double)(now_ns() - timed->begin_ns) / 1000;

	g_free(timed);
	g_array_append_val(lb->times, us);
	lb->failed += result->outcome != CQ_HTTP_ANSWERED ||
		      result->status != 200;
	lb->finished++;
	if (lb->finished >= lb->wanted)
		ev_break(lb->loop, EVBREAK_ALL);
	else if (!lb->rate && lb->started < lb->wanted)
		start_one(lb);
}

static void start_one(struct loopback *lb)
{
	const struct cq_http_header headers[] = {
		{ "Cq-Workspace", "w" },
		{ "Cq-Class", "c" },
		{ "Cq-Idempotent", lb->idempotent },
		{ NULL, NULL },
	};
	struct cq_http_request request = {
		.method = "POST",
		.url = lb->url,
		.headers = headers,
		.body = "0123456789abcdef0123456789abcdef",
		.body_len = 32,
		.connect_timeout_ms = 1000,
		.timeout_ms = 10000,
	};
	struct timed *timed = g_new(struct timed, 1);

	timed->lb = lb;
	timed->begin_ns = now_ns();
	lb->started++;
	cq_http_client_send(lb->caller_client, &request, on_done, timed);
}

/*
 * libev's timers wait whole milliseconds, in which several requests fall due
 * and would start together; the kernel's timer is exact.
 */
static void arm_arrival(struct loopback *lb)
{
	double wait_s = lb->next_s - (double)now_ns() / 1e9;
	int64_t wait_ns = wait_s > 1e-6 ? (int64_t)(wait_s * 1e9) : 1000;
	struct itimerspec when = {
		.it_value = { .tv_sec = wait_ns / CQ_NS_PER_S,
			      .tv_nsec = wait_ns % CQ_NS_PER_S },
	};

	timerfd_settime(lb->arrival_fd, 0, &when, NULL);
}

static void on_arrival(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct loopback *lb = watcher->data;
	uint64_t expirations;
	double late_ms;

	(void)loop;
	(void)events;
	if (read(lb->arrival_fd, &expirations, sizeof(expirations)) < 0)
		return;
	while (lb->started < lb->wanted &&
	       lb->next_s <= (double)now_ns() / 1e9) {
		late_ms = ((double)now_ns() / 1e9 - lb->next_s) * 1000;
		g_array_append_val(lb->lateness, late_ms);
		start_one(lb);
		lb->next_s += -log(1 - g_rand_double(lb->random)) / lb->rate;
	}
	if (lb->started < lb->wanted)
		arm_arrival(lb);
}

static void on_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	fprintf(stderr, "bench_requests: the loopback part did not end\n");
	ev_break(loop, EVBREAK_ALL);
}

/* Sends requests to a URL; returns processor seconds of the entry host. */
static double drive(struct loopback *lb, const char *url, uint32_t wanted,
		    double rate)
{
	double begin = cpu_s(&lb->entry_part);
	ev_timer give_up;
	int i;

	lb->url = url;
	lb->wanted = wanted;
	lb->started = lb->finished = 0;
	lb->rate = rate;
	g_array_set_size(lb->times, 0);
	ev_now_update(lb->loop);
	lb->next_s = (double)now_ns() / 1e9;
	ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
	ev_timer_start(lb->loop, &give_up);
	if (rate > 0)
		arm_arrival(lb);
	else
		for (i = 0; i < IN_FLIGHT; i++)
			start_one(lb);
	ev_run(lb->loop, 0);
	ev_timer_stop(lb->loop, &give_up);
	return cpu_s(&lb->entry_part) - begin;
}

static void open_all(struct loopback *lb)
{
	struct cq_http_server_handler on_endpoint = { serve_endpoint, NULL };
	struct cq_http_server_handler on_entry = { serve_entry, NULL };
	struct cq_endpoint_http_options options = { 1000, 1U << 20, "probe" };
	struct cq_http_server_options server;
	struct cq_router_setup setup = { .clock = cq_clock_system(),
					 .ops = &ops,
					 .ops_ctx = lb,
					 .members = &members,
					 .policy = &policy };
	struct cq_host host = { .id = "e0",
				.data_centre = "dc",
				.kind = CQ_HOST_ENDPOINT,
				.slots = 64,
				.connections = 64 };
	char address[32];

	lb->loop = ev_loop_new(0);
	lb->random = g_rand_new_with_seed(3);
	lb->times = g_array_new(FALSE, FALSE, sizeof(double));
	lb->lateness = g_array_new(FALSE, FALSE, sizeof(double));
	cq_http_server_options_init(&server, "127.0.0.1", 0);
	part_create(&lb->endpoint_part);
	part_create(&lb->entry_part);
	lb->endpoint = cq_http_server_create(lb->endpoint_part.loop, &server,
					     &on_endpoint, lb, NULL);
	lb->entry = cq_http_server_create(lb->entry_part.loop, &server,
					  &on_entry, lb, NULL);
	lb->caller_client = cq_http_client_create(lb->loop, 256, 256);
	lb->entry_client = cq_http_client_create(lb->entry_part.loop, 64, 64);
	lb->endpoint_http = cq_endpoint_http_create(lb->entry_client, &options);
	cq_router_options_init(&setup.options);
	setup.options.id = "bench";
	setup.options.data_centre = "dc";
	lb->router = cq_router_vtable()->create(&setup);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   cq_http_server_port(lb->endpoint));
	host.address = address;
	cq_router_vtable()->set_hosts(lb->router, &host, 1);
	g_snprintf(lb->direct_url, sizeof(lb->direct_url), "http://%s/x",
		   address);
	g_snprintf(lb->entry_url, sizeof(lb->entry_url),
		   "http://127.0.0.1:%u/v1/requests/x",
		   cq_http_server_port(lb->entry));
	ev_timer_init(&lb->tick, on_tick, 0.02, 0.02);
	lb->arrival_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
	ev_io_init(&lb->arrival, on_arrival, lb->arrival_fd, EV_READ);
	lb->tick.data = lb;
	lb->arrival.data = lb;
	ev_timer_start(lb->entry_part.loop, &lb->tick);
	ev_io_start(lb->loop, &lb->arrival);
	part_start(&lb->endpoint_part);
	part_start(&lb->entry_part);
}

static void close_all(struct loopback *lb)
{
	part_stop(&lb->entry_part);
	part_stop(&lb->endpoint_part);
	ev_timer_stop(lb->entry_part.loop, &lb->tick);
	cq_http_client_destroy(lb->caller_client);
	cq_http_server_destroy(lb->entry);
	cq_endpoint_http_destroy(lb->endpoint_http);
	cq_http_client_destroy(lb->entry_client);
	cq_router_vtable()->destroy(lb->router);
	cq_http_server_destroy(lb->endpoint);
	ev_io_stop(lb->loop, &lb->arrival);
	close(lb->arrival_fd);
	g_array_free(lb->times, TRUE);
	g_array_free(lb->lateness, TRUE);
	g_rand_free(lb->random);
	ev_loop_destroy(lb->entry_part.loop);
	ev_loop_destroy(lb->endpoint_part.loop);
	ev_loop_destroy(lb->loop);
}

/* Requests a second with IN_FLIGHT requests open, and per core of entry. */
static double saturate(struct loopback *lb, double *per_core)
{
	double begin = (double)now_ns() / 1e9;
	double cpu = drive(lb, lb->entry_url, PROBE_REQUESTS, 0);

	*per_core = PROBE_REQUESTS / cpu;
	return PROBE_REQUESTS / ((double)now_ns() / 1e9 - begin);
}

/*
 * Rounds alternate between direct calls and calls through the entry host, and
 * the median round counts, because other work on the machine comes and goes.
 */
static void measure(struct loopback *lb, double rate, double *p50, double *p99)
{
	GArray *middle = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *tail = g_array_new(FALSE, FALSE, sizeof(double));
	int i;

	for (i = 0; i < ROUNDS; i++) {
		double direct_p50;
		double direct_p99;
		double difference;

		drive(lb, lb->direct_url, TIMED_REQUESTS, rate);
		direct_p50 = bench_percentile(lb->times, 50);
		direct_p99 = bench_percentile(lb->times, 99);
		drive(lb, lb->entry_url, TIMED_REQUESTS, rate);
		difference = bench_percentile(lb->times, 50) - direct_p50;
		g_array_append_val(middle, difference);
		difference = bench_percentile(lb->times, 99) - direct_p99;
		g_array_append_val(tail, difference);
	}
	*p50 = bench_percentile(middle, 50) / 1000;
	*p99 = bench_percentile(tail, 50) / 1000;
	g_array_free(middle, TRUE);
	g_array_free(tail, TRUE);
}

static void bench_kind(struct loopback *lb, const char *idempotent,
		       const char *suffix)
{
	GArray *rates = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *cores = g_array_new(FALSE, FALSE, sizeof(double));
	char name[64];
	double rate;
	double p50;
	double p99;
	int i;

	lb->idempotent = idempotent;
	g_array_set_size(lb->lateness, 0);
	drive(lb, lb->entry_url, 500, 0);
	for (i = 0; i < 3; i++) {
		double per_core;

		rate = saturate(lb, &per_core);
		g_array_append_val(rates, rate);
		g_array_append_val(cores, per_core);
	}
	rate = bench_percentile(rates, 50) / 2;
	measure(lb, rate, &p50, &p99);
	g_snprintf(name, sizeof(name), "requests_per_second_per_core%s",
		   suffix);
	bench_report(name, "1/s", bench_percentile(cores, 50), NAN, NAN,
		     "higher");
	g_snprintf(name, sizeof(name), "half_load%s", suffix);
	bench_report(name, "1/s", rate, NAN, NAN, "higher");
	g_snprintf(name, sizeof(name), "arrival_lateness_p50%s", suffix);
	bench_report(name, "ms", bench_percentile(lb->lateness, 50), NAN, NAN,
		     "lower");
	g_snprintf(name, sizeof(name), "added_latency_p50%s", suffix);
	bench_report(name, "ms", p50, NAN, 0.3, "lower");
	g_snprintf(name, sizeof(name), "added_latency_p99%s", suffix);
	bench_report(name, "ms", p99, NAN, 1, "lower");
	g_array_free(rates, TRUE);
	g_array_free(cores, TRUE);
}

void bench_loopback(void)
{
	struct loopback lb = { .idempotent = "yes" };

	open_all(&lb);
	/* Connections and allocators warm up. */
	drive(&lb, lb.direct_url, 500, 0);
	bench_kind(&lb, "yes", "");
	/* Non-idempotent calls open a connection each. */
	bench_kind(&lb, "no", "_non_idempotent");
	bench_report("loopback_failures", "requests", lb.failed, NAN, 0,
		     "lower");
	close_all(&lb);
}
