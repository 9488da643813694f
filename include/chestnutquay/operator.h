/*
 * Interface to operators (docs/operator-api.md), and its adapter for HTTP/1.1.
 *
 * An exchange is one call: a method, a path, parameters and a body that come
 * in, and one answer. It is open from the handler's request function until it
 * is answered or the handler's aborted function; its pointer is invalid
 * afterwards. Exactly one of the two ends each exchange. Statuses and error
 * codes are those of docs/operator-api.md; an adapter of another format maps
 * them.
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
	/* "GET", "PUT", "POST" or "DELETE". */
	const char *(*method)(const struct cq_operator_exchange *exchange);
	/* "/v1/...", without parameters. */
	const char *(*path)(const struct cq_operator_exchange *exchange);
	/* A parameter; NULL if absent. */
	const char *(*query)(const struct cq_operator_exchange *exchange,
			     const char *name);
	/* An attribute of the call, by its HTTP name; NULL if absent. */
	const char *(*header)(const struct cq_operator_exchange *exchange,
			      const char *name);
	/* JSON text, ends with a zero byte; len may be NULL. */
	const char *(*body)(const struct cq_operator_exchange *exchange,
			    size_t *len);
	/* Ends the exchange; everything is copied. headers may be NULL. */
	void (*respond)(struct cq_operator_exchange *exchange, uint32_t status,
			const struct cq_http_header *headers, const char *body,
			size_t len);
};

/* An adapter puts it first into its own structure. */
struct cq_operator_exchange {
	const struct cq_operator_exchange_ops *ops;
};

struct cq_operator_handler {
	/* A call is complete. It is answered at once or later. */
	void (*request)(void *ctx, struct cq_operator_exchange *exchange);
	/* The client went away, or the listener is destroyed. */
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

/* NULL with err set if the address cannot be listened on. */
struct cq_operator_http *
cq_operator_http_create(struct ev_loop *loop,
			const struct cq_http_server_options *options,
			const struct cq_operator_handler *handler, void *ctx,
			struct cq_error *err);
/* Open exchanges are aborted. */
void cq_operator_http_destroy(struct cq_operator_http *http);
uint16_t cq_operator_http_port(const struct cq_operator_http *http);

/*
 * For another listener that serves some of the calls: hands an HTTP exchange,
 * or its end without an answer, to the handler.
 */
void cq_operator_http_pass(const struct cq_operator_handler *handler, void *ctx,
			   struct cq_http_exchange *exchange);
void cq_operator_http_pass_aborted(const struct cq_operator_handler *handler,
				   void *ctx,
				   struct cq_http_exchange *exchange);

#endif
