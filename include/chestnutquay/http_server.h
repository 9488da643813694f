/*
 * HTTP/1.1 server: libmicrohttpd driven by a libev loop.
 *
 * The handler is called once the whole request has arrived and may answer at
 * once or later. Requests over the limits are answered with 413 or 431 and
 * never reach the handler. A connection has the idle timeout to deliver each
 * request as a whole: a client that sends a byte now and then is closed too.
 */
#ifndef CHESTNUTQUAY_HTTP_SERVER_H
#define CHESTNUTQUAY_HTTP_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"

struct cq_http_server;
struct cq_http_exchange;

struct cq_http_header {
	const char *name;
	const char *value;
};

struct cq_http_server_options {
	const char *ip;
	uint16_t port; /* 0: any free port */
	uint32_t max_connections;
	uint32_t max_body_bytes;
	/* Sum of all request bodies held; more are answered with 503. */
	uint64_t max_total_body_bytes;
	uint32_t idle_timeout_s; /* also for a whole request to arrive */
};

/* Defaults: 1024 connections, 1 MiB body, 64 MiB total, 30 s. */
void cq_http_server_options_init(struct cq_http_server_options *options,
				 const char *ip, uint16_t port);

struct cq_http_server_handler {
	/* A request is complete. Every exchange must be answered once. */
	void (*request)(void *ctx, struct cq_http_exchange *exchange);
	/*
	 * The client went away before the answer; may be NULL. The exchange
	 * is invalid after the call and must not be answered.
	 */
	void (*aborted)(void *ctx, struct cq_http_exchange *exchange);
};

struct cq_http_server *
cq_http_server_create(struct ev_loop *loop,
		      const struct cq_http_server_options *options,
		      const struct cq_http_server_handler *handler, void *ctx,
		      struct cq_error *err);
/* Closes all connections; unanswered exchanges get the aborted call. */
void cq_http_server_destroy(struct cq_http_server *server);
/* Stops accepting; open connections go on. */
void cq_http_server_quiesce(struct cq_http_server *server);
uint16_t cq_http_server_port(const struct cq_http_server *server);
/* Requests handed to the handler and not answered completely yet. */
uint32_t cq_http_server_open_exchanges(const struct cq_http_server *server);

const char *cq_http_exchange_method(const struct cq_http_exchange *exchange);
/* The path without the query, not decoded. */
const char *cq_http_exchange_path(const struct cq_http_exchange *exchange);
/* Value of a query parameter or header; NULL if absent. */
const char *cq_http_exchange_query(const struct cq_http_exchange *exchange,
				   const char *name);
const char *cq_http_exchange_header(const struct cq_http_exchange *exchange,
				    const char *name);
const char *cq_http_exchange_body(const struct cq_http_exchange *exchange,
				  size_t *len);
/* One pointer for the handler's own state of this exchange. */
void cq_http_exchange_set_user(struct cq_http_exchange *exchange, void *user);
void *cq_http_exchange_user(const struct cq_http_exchange *exchange);

/*
 * Answers the exchange; the body is copied. headers may be NULL and ends with
 * a NULL name. The exchange is invalid afterwards.
 */
void cq_http_exchange_respond(struct cq_http_exchange *exchange,
			      uint32_t status,
			      const struct cq_http_header *headers,
			      const char *body, size_t len);
/* Answers with a JSON text and Content-Type: application/json. */
void cq_http_exchange_respond_json(struct cq_http_exchange *exchange,
				   uint32_t status, const char *json);

#endif
