/*
 * cq-fake-platform IP STORE-PORT WORKERS TASK-MS [WORKER-IP]: simulates the
 * platform on loopback. Every task runs for TASK-MS. With WORKER-IP, worker k
 * listens on port STORE-PORT + 1 + k, and its store entry names that port of
 * WORKER-IP, so that a proxy can listen there.
 *
 * Prints "ready" once it listens. Workers register themselves in the store.
 *
 *   POST /control/put?key=K         writes a key as an operator would
 *   POST /control/drain?worker=W    registers the worker as draining
 *   POST /control/bar?worker=W      counts a start on W as a violation
 *   POST /control/allow?worker=W    allows starts again, registers it as ready
 *   POST /control/reboot?worker=W   restarts W with a new incarnation and
 *                                   then acts like /control/allow
 *   GET /control/state              numbers of running tasks and of starts, and
 *                                   violations of the dispatch rules
 *   GET /control/tasks              also starts and "done" ends of each task
 */
#include "fake_platform.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.02

void fake_respond(struct cq_http_exchange *exchange, uint32_t status,
		  json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	cq_http_exchange_respond_json(exchange, status, text);
	free(text);
	json_decref(body);
}

struct fake_call {
	struct cq_http_exchange *exchange; /* NULL: client disconnected */
};

void *fake_call(struct cq_http_exchange *exchange)
{
	struct fake_call *call = g_new0(struct fake_call, 1);

	call->exchange = exchange;
	cq_http_exchange_set_user(exchange, call);
	return call;
}

struct cq_http_exchange *fake_call_end(void *data)
{
	struct fake_call *call = data;
	struct cq_http_exchange *exchange = call->exchange;

	g_free(call);
	return exchange;
}

void fake_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct fake_call *call = cq_http_exchange_user(exchange);

	(void)ctx;
	if (call)
		call->exchange = NULL;
}

static struct cq_http_server *listen_on(struct fake_platform *p, uint16_t port,
					const struct cq_http_server_handler *h,
					void *ctx)
{
	struct cq_http_server_options options;
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_http_server *server;

	cq_http_server_options_init(&options, p->ip, port);
	server = cq_http_server_create(p->loop, &options, h, ctx, &err);
	if (server)
		return server;
	fprintf(stderr, "cq-fake-platform: %s\n", err.message);
	exit(EXIT_FAILURE);
}

static void add_worker(struct fake_platform *p, struct fake_worker *w, int k)
{
	static const struct cq_http_server_handler handler = {
		fake_worker_request, fake_aborted
	};
	uint16_t port = p->worker_ip ? (uint16_t)(p->store_port + 1 + k) : 0;

	w->platform = p;
	g_snprintf(w->id, sizeof(w->id), "i-%d", k);
	w->index = k;
	w->server = listen_on(p, port, &handler, w);
	mem_executor_add(p->executor, w->id);
	fake_worker_register(w, "ready");
}

void fake_worker_register(struct fake_worker *w, const char *state)
{
	struct fake_platform *p = w->platform;
	char *key, *value;

	key = g_strdup_printf("servers/%s", w->id);
	value = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"%s:%u\","
		"\"zone\":\"z%d\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"%s\",\"coldRemainingMs\":0,\"seq\":1,"
		"\"capacity\":{\"cpu\":64000,\"memMb\":65536,\"gpus\":8},"
		"\"labels\":[\"a\",\"r%d-1\"],\"born\":%ld}",
		p->worker_ip ? p->worker_ip : p->ip,
		cq_http_server_port(w->server), w->index % 2, state,
		w->index % 2,
		(long)mem_executor_started_ms(p->executor, w->id));
	mem_store_write(p->store, key, value);
	g_free(key);
	g_free(value);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fake_platform *p = timer->data;

	(void)loop;
	(void)events;
	mem_executor_end_older(p->executor, p->task_s);
	mem_executor_expire_due(p->executor);
	mem_store_expire_due(p->store);
}

static void on_term(struct ev_loop *loop, ev_signal *signal, int events)
{
	(void)signal;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static const struct cq_http_server_handler handler = {
		fake_store_request, fake_aborted
	};
	struct fake_platform p = { .loop = ev_default_loop(0) };
	ev_signal term;
	int count, k;

	if (argc != 5 && argc != 6) {
		fprintf(stderr,
			"usage: %s IP STORE-PORT WORKERS TASK-MS [WORKER-IP]\n",
			argv[0]);
		return 2;
	}
	p.ip = argv[1];
	p.store_port = (uint16_t)atoi(argv[2]);
	p.worker_ip = argc == 6 ? argv[5] : NULL;
	count = MIN(atoi(argv[3]), FAKE_MAX_WORKERS);
	p.task_s = atoi(argv[4]) / 1000.0;
	p.store = mem_store_create(p.loop);
	p.executor = mem_executor_create(p.loop);
	mem_executor_real_leases(p.executor);
	p.store_server = listen_on(&p, p.store_port, &handler, &p);
	for (k = 0; k < count; k++)
		add_worker(&p, &p.workers[k], k);
	ev_timer_init(&p.tick, on_tick, TICK_S, TICK_S);
	p.tick.data = &p;
	ev_timer_start(p.loop, &p.tick);
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_start(p.loop, &term);
	puts("ready");
	fflush(stdout);
	ev_run(p.loop, 0);
	return EXIT_SUCCESS;
}
