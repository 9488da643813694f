/*
 * Interface to callers, and its adapter for POST /v1/requests/PATH over
 * HTTP/1.1.
 *
 * The adapter checks what callers send and hands over well-formed requests;
 * malformed ones it refuses itself. A call is open from the handler's request
 * function until ops->answer or the handler's aborted function; its pointer is
 * invalid afterwards. Exactly one of the two ends each call.
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
	 * A checked request. It is valid until the call ends. The answer may
	 * come at once or later.
	 */
	void (*request)(void *ctx, struct cq_caller_call *call,
			const struct cq_request *request);
	/* The caller went away, or the adapter is destroyed. */
	void (*aborted)(void *ctx, struct cq_caller_call *call);
};

struct cq_caller_ops {
	/*
	 * Ends the call. A status and body without refusal is an endpoint's
	 * answer; a refusal carries code, reason and the word on the run. The
	 * answer is copied.
	 */
	void (*answer)(void *self, struct cq_caller_call *call,
		       const struct cq_answer *answer);
	/* Asks callers to use another host; calls are still accepted. */
	void (*drain)(void *self);
	/* Accepts no new connection; open calls go on. */
	void (*quiesce)(void *self);
	/* Calls not answered completely yet, and answers being written. */
	uint32_t (*open_count)(const void *self);
};

struct cq_caller {
	const struct cq_caller_ops *ops;
	void *self;
};

struct cq_caller_http;

struct cq_caller_http_options {
	struct cq_http_server_options server;
	uint32_t max_timeout_ms; /* largest Cq-Timeout-Ms */
	/* Calls of /v1/jobs, which callers and operators have in common. */
	struct cq_operator_handler jobs;
	void *jobs_ctx;
};

/* NULL with err set if the address cannot be listened on. */
struct cq_caller_http *
cq_caller_http_create(struct ev_loop *loop,
		      const struct cq_caller_http_options *options,
		      const struct cq_caller_handler *handler, void *ctx,
		      struct cq_error *err);
/* Open calls are aborted. */
void cq_caller_http_destroy(struct cq_caller_http *http);
const struct cq_caller *cq_caller_http_get(struct cq_caller_http *http);
/* The listening port. */
uint16_t cq_caller_http_port(const struct cq_caller_http *http);

/* A received HTTP request, independent of the server. */
struct cq_caller_input {
	const char *method;
	const char *path; /* may be percent-decoded */
	const char *(*header)(void *ctx, const char *name);
	void *ctx;
	const char *body;
	size_t body_len;
};

/*
 * Checks the input and fills the request, whose pointers refer to the input.
 * Returns false with a sentence for the caller in err.
 */
bool cq_caller_parse(const struct cq_caller_input *input,
		     uint32_t max_timeout_ms, struct cq_request *request,
		     struct cq_error *err);

/*
 * {"error":{"code","message","run","expected_wait_ms"}}; the caller frees it
 * with free().
 */
char *cq_caller_format_refusal(const struct cq_answer *answer);

/*
 * Reads the Unix milliseconds in front of "-" of an idempotency key; false if
 * the key is malformed.
 */
bool cq_caller_key_time(const char *key, int64_t *unix_ms);

#endif
