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

struct fake_platform {
	struct ev_loop *loop;
	struct mem_store *store;
	struct mem_executor *executor;
	struct cq_http_server *store_server;
	const char *ip;
	double task_s;
	ev_timer tick;
};

struct fake_worker {
	struct fake_platform *platform;
	struct cq_http_server *server;
	char id[32];
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

/* store.c: the store's calls, and /control for scripts. */
void fake_store_request(void *ctx, struct cq_http_exchange *exchange);
/* worker.c */
void fake_worker_request(void *ctx, struct cq_http_exchange *exchange);

#endif
