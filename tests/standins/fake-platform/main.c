/*
 * cq-fake-platform IP STORE-PORT WORKERS TASK-MS: the platform on loopback.
 *
 * Prints "ready" once it listens. Workers register themselves in the store.
 * POST /control/put?key=K writes as an operator; GET /control/state tells the
 * number of runs, of starts, and what was done against the rules.
 */
#include "fake_platform.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORKERS 64
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
	struct cq_http_exchange *exchange; /* NULL: the caller has gone */
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
	char *key, *value;

	w->platform = p;
	g_snprintf(w->id, sizeof(w->id), "i-%d", k);
	w->server = listen_on(p, 0, &handler, w);
	mem_executor_add(p->executor, w->id);
	key = g_strdup_printf("servers/%s", w->id);
	value = g_strdup_printf(
		"{\"service\":\"s\",\"address\":\"%s:%u\","
		"\"zone\":\"z%d\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,"
		"\"capacity\":{\"cpu\":64000,\"memMb\":65536,\"gpus\":8},"
		"\"labels\":[\"a\",\"r%d-1\"],\"born\":%ld}",
		p->ip, cq_http_server_port(w->server), k % 2, k % 2,
		(long)mem_executor_born(p->executor, w->id));
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
	struct fake_worker workers[MAX_WORKERS];
	struct fake_platform p = { .loop = ev_default_loop(0) };
	ev_signal term;
	int count, k;

	if (argc != 5) {
		fprintf(stderr, "usage: %s IP STORE-PORT WORKERS TASK-MS\n",
			argv[0]);
		return 2;
	}
	p.ip = argv[1];
	count = MIN(atoi(argv[3]), MAX_WORKERS);
	p.task_s = atoi(argv[4]) / 1000.0;
	p.store = mem_store_create(p.loop);
	p.executor = mem_executor_create(p.loop);
	p.store_server = listen_on(&p, (uint16_t)atoi(argv[2]), &handler, &p);
	for (k = 0; k < count; k++)
		add_worker(&p, &workers[k], k);
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
