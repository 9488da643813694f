/*
 * Interface to callers, and its adapter for POST /v1/requests/PATH over
 * HTTP/1.1.
 *
 * The adapter validates incoming HTTP requests. It passes well-formed ones to
 * the handler and answers malformed ones itself with a refusal. A call is open
 * from the handler's request function until ops->answer or the handler's
 * aborted function; its pointer is invalid afterwards. Exactly one of the two
 * ends each call.
 */
#ifndef CHESTNUTQUAY_CALLER_H
#define CHESTNUTQUAY_CALLER_H

#include <ev.h>

#include "chestnutquay/error.h"
#include "chestnutquay/operator.h"
#include "chestnutquay/request.h"

#define CQ_CALLER_PREFIX "/v1/requests/"
#define CQ_CALLER_JOBS_PREFIX "/v1/jobs"
#define CQ_CALLER_DEFAULT_TIMEOUT_MS 30000

struct cq_caller_call;

struct cq_caller_handler {
	/*
	 * Receives a validated request, which is valid until the call ends.
	 * The handler may answer within this function or later.
	 */
	void (*request)(void *ctx, struct cq_caller_call *call,
			const struct cq_request *request);
	/* The caller disconnected, or the adapter is being destroyed. */
	void (*aborted)(void *ctx, struct cq_caller_call *call);
};

struct cq_caller_ops {
	/*
	 * Ends the call; the answer is copied. With CQ_REFUSAL_NONE, status
	 * and body are the endpoint's answer. A refusal carries its code, its
	 * message and whether the request may have run.
	 */
	void (*answer)(void *self, struct cq_caller_call *call,
		       const struct cq_answer *answer);
	/*
	 * Answers from now on ask callers to close their connections and use
	 * another host; calls are still accepted.
	 */
	void (*drain)(void *self);
	/* Stops accepting new connections; open calls continue. */
	void (*quiesce)(void *self);
	/* Number of open calls, including answers being written. */
	uint32_t (*open_count)(const void *self);
};

struct cq_caller {
	const struct cq_caller_ops *ops;
	void *self;
};

struct cq_caller_http;

struct cq_caller_http_options {
	struct cq_http_server_options server;
	uint32_t max_timeout_ms; /* upper bound of Cq-Timeout-Ms */
	/* Handler of /v1/jobs, which callers and operators share. */
	struct cq_operator_handler jobs;
	void *jobs_ctx;
};

/* Returns NULL and sets err if it cannot listen on the address. */
struct cq_caller_http *
cq_caller_http_create(struct ev_loop *loop,
		      const struct cq_caller_http_options *options,
		      const struct cq_caller_handler *handler, void *ctx,
		      struct cq_error *err);
/* Calls the handler's aborted function for each open call. */
void cq_caller_http_destroy(struct cq_caller_http *http);
const struct cq_caller *cq_caller_http_get(struct cq_caller_http *http);
uint16_t cq_caller_http_port(const struct cq_caller_http *http);

/* A received HTTP request, independent of the HTTP server library. */
struct cq_caller_input {
	const char *method;
	const char *path; /* may be percent-decoded */
	const char *(*header)(void *ctx, const char *name);
	void *ctx;
	const char *body;
	size_t body_len;
};

/*
 * Validates the input and fills the request, whose pointers refer to the
 * input. If the input is malformed, returns false and sets err to a message
 * for the caller.
 */
bool cq_caller_parse(const struct cq_caller_input *input,
		     uint32_t max_timeout_ms, struct cq_request *request,
		     struct cq_error *err);

/*
 * Formats {"error":{"code","message","run","expected_wait_ms"}}. The result
 * is freed with free().
 */
char *cq_caller_format_refusal(const struct cq_answer *answer);

/*
 * Reads the Unix time in milliseconds that precedes the "-" of an idempotency
 * key. Returns false if the key is malformed.
 */
bool cq_caller_key_time(const char *key, int64_t *unix_ms);

#endif
