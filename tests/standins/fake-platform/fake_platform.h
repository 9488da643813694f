/*
 * Simulates the users' platform in one process: its store, its workers and the
 * writes of operators, served over HTTP on loopback.
 */
#ifndef CQ_STANDINS_FAKE_PLATFORM_H
#define CQ_STANDINS_FAKE_PLATFORM_H

#include <ev.h>
#include <jansson.h>

#include "chestnutquay/http_server.h"
#include "tests/support/mem_executor.h"
#include "tests/support/mem_store.h"

#define FAKE_MAX_WORKERS 64

struct fake_platform;

struct fake_worker {
	struct fake_platform *platform;
	struct cq_http_server *server;
	int index;
	char id[32];
};

struct fake_platform {
	struct ev_loop *loop;
	struct mem_store *store;
	struct mem_executor *executor;
	struct cq_http_server *store_server;
	const char *ip;
	const char *worker_ip; /* address in the store entries of workers; NULL:
				  ip */
	uint16_t store_port;
	double task_s; /* run time of every task */
	ev_timer tick;
	struct fake_worker workers[FAKE_MAX_WORKERS];
};

/* Sends the object as the answer and releases it. */
void fake_respond(struct cq_http_exchange *exchange, uint32_t status,
		  json_t *body);

/*
 * Creates the context of an asynchronous call to the in-memory store or
 * executor; the client may close its connection before the call ends.
 */
void *fake_call(struct cq_http_exchange *exchange);
/* Releases the context; returns NULL if the client has disconnected. */
struct cq_http_exchange *fake_call_end(void *call);
/* Records that the client has disconnected. */
void fake_aborted(void *ctx, struct cq_http_exchange *exchange);

/* Writes the store entry of the worker, with the given state. */
void fake_worker_register(struct fake_worker *w, const char *state);

/* store.c: serves the calls of the store and the /control paths. */
void fake_store_request(void *ctx, struct cq_http_exchange *exchange);
/* worker.c: serves the calls of a worker. */
void fake_worker_request(void *ctx, struct cq_http_exchange *exchange);

#endif
