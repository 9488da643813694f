/*
 * HTTP/1.1 client: the libcurl multi interface driven by a libev loop.
 *
 * The completion callback of a call runs exactly once, or never if the call is
 * cancelled.
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

/*
 * How a call ended. A request is written at most once, whatever its method;
 * sending it again is the caller's decision.
 */
enum cq_http_outcome {
	CQ_HTTP_ANSWERED, /* a complete response arrived */
	CQ_HTTP_NOT_SENT, /* no byte of the request was written */
	CQ_HTTP_UNKNOWN,  /* written, but no complete response */
};

const char *cq_http_outcome_string(enum cq_http_outcome outcome);

struct cq_http_result {
	enum cq_http_outcome outcome;
	bool timed_out;
	/* The answer's body is longer than max_answer_bytes. */
	bool too_large;
	/* Not sent because the address is at its connection limit. */
	bool connection_limit_reached;
	uint32_t status; /* HTTP status; 0 unless answered */
	const char *body;
	size_t body_len;
	const char *error;	   /* libcurl's error text; "" if answered */
	struct cq_http_call *call; /* used by cq_http_result_header() */
};

/*
 * Value of a response header, valid during the completion callback; NULL if
 * absent.
 */
const char *cq_http_result_header(const struct cq_http_result *result,
				  const char *name);

struct cq_http_request {
	const char *method;
	const char *url; /* http://IPv4:PORT/PATH */
	/* Array that ends with a NULL name; may be NULL. */
	const struct cq_http_header *headers;
	const char *body;
	size_t body_len;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms; /* time limit of the whole call */
	/*
	 * 0: none. Otherwise timeout_ms is only the limit of the time without
	 * progress before the answer begins, and this one takes its place from
	 * then on. So a slow transfer goes on, and a connection that goes
	 * silent is given up however much was expected on it.
	 */
	uint32_t max_silence_ms;
	/*
	 * A longer response body ends the call as CQ_HTTP_UNKNOWN, before any
	 * of it is read if the server announces its length.
	 */
	uint32_t max_answer_bytes;
	/*
	 * Use a new connection. A reused one may be closed by the server while
	 * the request is on its way, and the call then ends as CQ_HTTP_UNKNOWN.
	 */
	bool fresh_connection;
	/*
	 * Asked when the connection is ready, right before the request is
	 * written. If it returns false, nothing is written and the call ends as
	 * CQ_HTTP_NOT_SENT. NULL: the request is written in any case.
	 */
	bool (*may_send)(void *ctx);
	void *may_send_ctx;
};

typedef void cq_http_done_fn(void *ctx, const struct cq_http_result *result);

/*
 * max_per_host limits the connections to one address, in use or idle; max_idle
 * limits the idle connections to all addresses.
 */
struct cq_http_client *cq_http_client_create(struct ev_loop *loop,
					     uint32_t max_per_host,
					     uint32_t max_idle);
/*
 * The same for a client of many addresses. They are divided among partitions by
 * a hash; the cost of a call grows with the connections of its partition only.
 * max_idle is divided evenly among the partitions.
 */
struct cq_http_client *
cq_http_client_create_partitioned(struct ev_loop *loop, uint32_t max_per_host,
				  uint32_t max_idle, uint32_t partition_count);
/*
 * Limits the connections to one address as the server sees them: a connection
 * closed by this client counts until the server has closed it too, or until
 * close_timeout_ms later. That timeout must be at least the server's idle
 * timeout. A call that would exceed the limit is not sent. Must be called
 * before the first call is sent.
 */
void cq_http_client_limit_connections(struct cq_http_client *client,
				      uint32_t max_per_address,
				      uint32_t close_timeout_ms);
/* Number of connections closed by this client that still count. */
uint32_t cq_http_client_half_closed_count(const struct cq_http_client *client);
/* Cancels all calls. */
void cq_http_client_destroy(struct cq_http_client *client);

/*
 * Copies the request and starts the call. The completion callback never runs
 * before this function has returned.
 */
struct cq_http_call *cq_http_client_send(struct cq_http_client *client,
					 const struct cq_http_request *request,
					 cq_http_done_fn *done, void *ctx);
/* Ends the call; its completion callback does not run. */
void cq_http_call_cancel(struct cq_http_call *call);
/* Whether the answer has begun to arrive, for a call with max_silence_ms. */
bool cq_http_call_answering(const struct cq_http_call *call);
/* Number of calls that have not completed. */
uint32_t cq_http_client_open_calls(const struct cq_http_client *client);

#endif
