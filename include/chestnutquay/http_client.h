/*
 * HTTP/1.1 client: libcurl multi driven by a libev loop.
 *
 * A call ends with exactly one completion, unless it is cancelled.
 */
#ifndef CHESTNUTQUAY_HTTP_CLIENT_H
#define CHESTNUTQUAY_HTTP_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/http_server.h"

struct cq_http_client;
struct cq_http_call;

/* What is known about a finished call. */
enum cq_http_outcome {
	CQ_HTTP_ANSWERED, /* a complete answer arrived */
	CQ_HTTP_NOT_SENT, /* no byte of the request was written */
	CQ_HTTP_UNKNOWN,  /* written, but no complete answer */
};

const char *cq_http_outcome_string(enum cq_http_outcome outcome);

struct cq_http_result {
	enum cq_http_outcome outcome;
	bool timed_out;
	bool connection_limit_reached; /* not sent: the address has no
					  connection left */
	uint32_t status;	       /* 0 unless answered */
	const char *body;
	size_t body_len;
	const char *error;	   /* libcurl's text; "" if answered */
	struct cq_http_call *call; /* for cq_http_result_header */
};

/* Value of an answer's header; valid during the completion; NULL if absent. */
const char *cq_http_result_header(const struct cq_http_result *result,
				  const char *name);

struct cq_http_request {
	const char *method;
	const char *url; /* http://IPv4:PORT/PATH */
	/* Ends with a NULL name; may be NULL. */
	const struct cq_http_header *headers;
	const char *body;
	size_t body_len;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms;	   /* whole call */
	uint32_t max_answer_bytes; /* more: UNKNOWN */
	/*
	 * Opens a new connection. libcurl silently sends a request again when
	 * a reused connection turns out to be closed, so a call that must not
	 * run twice needs this.
	 */
	bool fresh_connection;
};

typedef void cq_http_done_fn(void *ctx, const struct cq_http_result *result);

/* max_per_host: connections to one address, in use or idle. */
struct cq_http_client *cq_http_client_create(struct ev_loop *loop,
					     uint32_t max_per_host,
					     uint32_t max_idle);
/*
 * From now on, connections to one address count until the other side has
 * closed them too, or for hold_ms after they were closed here: the longest time
 * for which the other side keeps a connection without traffic. Calls that need
 * one over the limit are not sent. To be called before the first call.
 */
void cq_http_client_limit(struct cq_http_client *client, uint32_t limit,
			  uint32_t hold_ms);
/* Connections closed here that still count. */
uint32_t cq_http_client_held(const struct cq_http_client *client);
/* Cancels all calls. */
void cq_http_client_destroy(struct cq_http_client *client);

/* The request is copied. Completion never happens inside this call. */
struct cq_http_call *cq_http_client_send(struct cq_http_client *client,
					 const struct cq_http_request *request,
					 cq_http_done_fn *done, void *ctx);
/* Ends the call without a completion. */
void cq_http_call_cancel(struct cq_http_call *call);
uint32_t cq_http_client_open(const struct cq_http_client *client);

#endif
