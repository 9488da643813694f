/*
 * Interface to operators (docs/operator-api.md), and its adapter for HTTP/1.1.
 *
 * An exchange is one received call (method, path, query parameters and body)
 * and its response. It is open from the handler's request function until
 * respond or the handler's aborted function; its pointer is invalid afterwards.
 * Exactly one of the two ends each exchange. Statuses and error codes are those
 * of docs/operator-api.md; an adapter for another protocol translates them.
 */
#ifndef CHESTNUTQUAY_OPERATOR_H
#define CHESTNUTQUAY_OPERATOR_H

#include <ev.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"
#include "chestnutquay/http_server.h"

struct cq_operator_exchange;

struct cq_operator_exchange_ops {
	/* Returns "GET", "PUT", "POST" or "DELETE". */
	const char *(*method)(const struct cq_operator_exchange *exchange);
	/* Returns "/v1/..." without query parameters. */
	const char *(*path)(const struct cq_operator_exchange *exchange);
	/* Returns a query parameter; NULL if absent. */
	const char *(*query)(const struct cq_operator_exchange *exchange,
			     const char *name);
	/* Returns a request header; NULL if absent. */
	const char *(*header)(const struct cq_operator_exchange *exchange,
			      const char *name);
	/* Returns the NUL-terminated JSON body; len may be NULL. */
	const char *(*body)(const struct cq_operator_exchange *exchange,
			    size_t *len);
	/* Ends the exchange; copies its arguments. headers may be NULL. */
	void (*respond)(struct cq_operator_exchange *exchange, uint32_t status,
			const struct cq_http_header *headers, const char *body,
			size_t len);
};

/* An adapter embeds it as the first member of its own structure. */
struct cq_operator_exchange {
	const struct cq_operator_exchange_ops *ops;
};

struct cq_operator_handler {
	/*
	 * Receives a complete call. The handler may respond within this
	 * function or later.
	 */
	void (*request)(void *ctx, struct cq_operator_exchange *exchange);
	/* The client disconnected, or the listener is being destroyed. */
	void (*aborted)(void *ctx, struct cq_operator_exchange *exchange);
};

const char *
cq_operator_exchange_method(const struct cq_operator_exchange *exchange);
const char *
cq_operator_exchange_path(const struct cq_operator_exchange *exchange);
const char *
cq_operator_exchange_query(const struct cq_operator_exchange *exchange,
			   const char *name);
const char *
cq_operator_exchange_header(const struct cq_operator_exchange *exchange,
			    const char *name);
const char *
cq_operator_exchange_body(const struct cq_operator_exchange *exchange,
			  size_t *len);
void cq_operator_exchange_respond(struct cq_operator_exchange *exchange,
				  uint32_t status,
				  const struct cq_http_header *headers,
				  const char *body, size_t len);
/* Answers with a JSON text and Content-Type: application/json. */
void cq_operator_exchange_respond_json(struct cq_operator_exchange *exchange,
				       uint32_t status, const char *json);

struct cq_operator_http;

/* Returns NULL and sets err if it cannot listen on the address. */
struct cq_operator_http *
cq_operator_http_create(struct ev_loop *loop,
			const struct cq_http_server_options *options,
			const struct cq_operator_handler *handler, void *ctx,
			struct cq_error *err);
/* Calls the handler's aborted function for each open exchange. */
void cq_operator_http_destroy(struct cq_operator_http *http);
uint16_t cq_operator_http_port(const struct cq_operator_http *http);

/*
 * For another HTTP listener that also serves operator calls: passes an HTTP
 * exchange, or its abort, to the handler.
 */
void cq_operator_http_pass(const struct cq_operator_handler *handler, void *ctx,
			   struct cq_http_exchange *exchange);
void cq_operator_http_pass_aborted(const struct cq_operator_handler *handler,
				   void *ctx,
				   struct cq_http_exchange *exchange);

#endif
