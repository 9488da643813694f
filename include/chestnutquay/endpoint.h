/*
 * Interface to the endpoints of the request-serving service.
 *
 * Every call ends with exactly one completion. Only a complete HTTP response
 * that echoes the request id counts as an answer.
 */
#ifndef CHESTNUTQUAY_ENDPOINT_H
#define CHESTNUTQUAY_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cq_endpoint_outcome {
	CQ_ENDPOINT_ANSWERED,	/* complete answer to this request */
	CQ_ENDPOINT_REFUSED,	/* not run, as the endpoint states */
	CQ_ENDPOINT_NOT_SENT,	/* no byte of the request was written */
	CQ_ENDPOINT_BROKEN,	/* written, but no complete answer */
	CQ_ENDPOINT_MISMATCHED, /* request id missing or different */
	CQ_ENDPOINT_TIMED_OUT,	/* written, but no answer in time */
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
	bool fresh_connection; /* do not reuse an idle connection */
};

struct cq_endpoint_result {
	enum cq_endpoint_outcome outcome;
	bool leaving; /* the endpoint reported that it is shutting down */
	uint32_t status;
	const char *content_type; /* "" if absent */
	const char *body;	  /* valid during the completion callback */
	size_t body_len;
};

typedef void cq_endpoint_done_fn(void *ctx,
				 const struct cq_endpoint_result *result);

struct cq_endpoint_ops {
	/* Sends a request; done is never called before it returns. */
	void (*call)(void *self, const struct cq_endpoint_call *call,
		     cq_endpoint_done_fn *done, void *ctx);
	/*
	 * Health check. The endpoint is healthy if the outcome is
	 * CQ_ENDPOINT_ANSWERED with a status below 500.
	 */
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
	const char *probe_path; /* of health checks; no leading slash */
};

struct cq_endpoint_http *
cq_endpoint_http_create(struct cq_http_client *client,
			const struct cq_endpoint_http_options *options);
/* Cancels open calls; their completions are not called. */
void cq_endpoint_http_destroy(struct cq_endpoint_http *http);
const struct cq_endpoint *cq_endpoint_http_get(struct cq_endpoint_http *http);

#endif
