/*
 * Interface to the endpoints of the request-serving service.
 *
 * A call ends with exactly one completion. Only an answer that is whole and
 * echoes the request id counts as an answer.
 */
#ifndef CHESTNUTQUAY_ENDPOINT_H
#define CHESTNUTQUAY_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cq_endpoint_outcome {
	CQ_ENDPOINT_ANSWERED,	/* whole answer to this request */
	CQ_ENDPOINT_REFUSED,	/* the endpoint says that it did not run it */
	CQ_ENDPOINT_NOT_SENT,	/* no byte was written */
	CQ_ENDPOINT_BROKEN,	/* written; no whole answer */
	CQ_ENDPOINT_MISMATCHED, /* whole answer to another request */
	CQ_ENDPOINT_TIMED_OUT,	/* written; nothing until the timeout */
};

const char *cq_endpoint_outcome_string(enum cq_endpoint_outcome outcome);

struct cq_endpoint_call {
	const char *address;	/* IPv4:PORT */
	const char *request_id; /* unique for each attempt */
	const char *path;
	const char *content_type; /* "" for none */
	const char *workspace;
	const char *class_name;
	const char *body; /* copied */
	size_t body_len;
	uint32_t timeout_ms;
	bool fresh_connection;
};

struct cq_endpoint_result {
	enum cq_endpoint_outcome outcome;
	bool leaving; /* it said that it is leaving */
	uint32_t status;
	const char *content_type; /* "" if absent */
	const char *body;	  /* valid during the completion */
	size_t body_len;
};

typedef void cq_endpoint_done_fn(void *ctx,
				 const struct cq_endpoint_result *result);

struct cq_endpoint_ops {
	/* Completion never happens inside the call. */
	void (*call)(void *self, const struct cq_endpoint_call *call,
		     cq_endpoint_done_fn *done, void *ctx);
	/* ANSWERED with a status below 500 means that the endpoint works. */
	void (*probe)(void *self, const char *address, const char *request_id,
		      uint32_t timeout_ms, cq_endpoint_done_fn *done,
		      void *ctx);
};

struct cq_endpoint {
	const struct cq_endpoint_ops *ops;
	void *self;
};

/* Adapter for POST /PATH over HTTP/1.1. */
struct cq_http_client;
struct cq_endpoint_http;

struct cq_endpoint_http_options {
	uint32_t connect_timeout_ms;
	uint32_t max_answer_bytes;
	const char *probe_path; /* without the leading slash */
};

struct cq_endpoint_http *
cq_endpoint_http_create(struct cq_http_client *client,
			const struct cq_endpoint_http_options *options);
/* Open calls get no completion. */
void cq_endpoint_http_destroy(struct cq_endpoint_http *http);
const struct cq_endpoint *cq_endpoint_http_get(struct cq_endpoint_http *http);

#endif
