/*
 * The open HTTP calls of one adapter to the platform or to endpoints: set-up,
 * completion and cancelling, which are the same for all of them.
 */
#ifndef CQ_PROTOCOL_HTTP_CALLS_H
#define CQ_PROTOCOL_HTTP_CALLS_H

#include <glib.h>

#include "chestnutquay/http_client.h"

struct cq_http_calls;

/*
 * An adapter puts it first into its own structure for a call. The structure
 * belongs to the set from cq_http_calls_send() on.
 */
struct cq_http_calls_entry {
	struct cq_http_calls *calls;
	struct cq_http_call *http;
};

/* The entry is no longer in the set, and is freed after the function. */
typedef void cq_http_calls_done_fn(struct cq_http_calls_entry *entry,
				   const struct cq_http_result *result);

struct cq_http_calls_options {
	uint32_t connect_timeout_ms;
	uint32_t max_answer_bytes;
	cq_http_calls_done_fn *done;
	GDestroyNotify free_entry;
};

struct cq_http_calls *
cq_http_calls_create(struct cq_http_client *client,
		     const struct cq_http_calls_options *options);
/* Open calls get no completion. */
void cq_http_calls_destroy(struct cq_http_calls *calls);

/*
 * Sends to http://ADDRESS PATH. The request has method, headers, body, time
 * limit and fresh_connection; the rest is filled in. The limit for connecting
 * is never longer than that of the whole call.
 */
void cq_http_calls_send(struct cq_http_calls *calls, const char *address,
			const char *path, const struct cq_http_request *request,
			struct cq_http_calls_entry *entry);
/* Ends the call without a completion. */
void cq_http_calls_cancel(struct cq_http_calls_entry *entry);

#endif
