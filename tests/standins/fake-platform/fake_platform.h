/*
 * A stand-in for the users' platform in one process: its store, its workers
 * and the operators' writes, over HTTP on loopback.
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
	const char *worker_ip; /* in the workers' entries; NULL: ip */
	uint16_t store_port;
	double task_s;
	ev_timer tick;
	struct fake_worker workers[FAKE_MAX_WORKERS];
};

/* Answers with the object, which is released. */
void fake_respond(struct cq_http_exchange *exchange, uint32_t status,
		  json_t *body);

/*
 * The context of a call to the store or a worker in memory; the caller may go
 * away before it ends.
 */
void *fake_call(struct cq_http_exchange *exchange);
/* Releases it; NULL if the caller has gone. */
struct cq_http_exchange *fake_call_end(void *call);
void fake_aborted(void *ctx, struct cq_http_exchange *exchange);

/* Writes the worker's entry to the store. */
void fake_worker_register(struct fake_worker *w, const char *state);

/* store.c: the store's calls, and /control for scripts. */
void fake_store_request(void *ctx, struct cq_http_exchange *exchange);
/* worker.c */
void fake_worker_request(void *ctx, struct cq_http_exchange *exchange);

#endif
