/*
 * The set of open HTTP calls of one adapter. Provides sending, completion and
 * cancellation for all adapters to the platform and to endpoints.
 */
#ifndef CQ_PROTOCOL_HTTP_CALLS_H
#define CQ_PROTOCOL_HTTP_CALLS_H

#include <glib.h>

#include "chestnutquay/http_client.h"

/* An answer on which nothing arrives for this long is given up. */
#define CQ_HTTP_MAX_SILENCE_MS 700

struct cq_http_calls;

/*
 * An adapter embeds it as the first member of its own structure for a call.
 * cq_http_calls_send() passes the ownership of that structure to the set.
 */
struct cq_http_calls_entry {
	struct cq_http_calls *calls;
	struct cq_http_call *http;
};

/* Completion of a call; the entry is freed after the function returns. */
typedef void cq_http_calls_done_fn(struct cq_http_calls_entry *entry,
				   const struct cq_http_result *result);

struct cq_http_calls_options {
	uint32_t connect_timeout_ms;
	uint32_t max_answer_bytes;
	/*
	 * See struct cq_http_request; 0: the timeout of a call is that of the
	 * whole call.
	 */
	uint32_t max_silence_ms;
	cq_http_calls_done_fn *done;
	GDestroyNotify free_entry; /* frees the adapter's structure */
};

struct cq_http_calls *
cq_http_calls_create(struct cq_http_client *client,
		     const struct cq_http_calls_options *options);
/* Cancels open calls; their completions are not called. */
void cq_http_calls_destroy(struct cq_http_calls *calls);

/*
 * Sends a request to http://ADDRESS and PATH. The caller sets method, headers,
 * body, timeout_ms and fresh_connection, and max_answer_bytes for a limit of
 * its own; the function sets the other fields. The connect timeout is never
 * longer than timeout_ms.
 */
void cq_http_calls_send(struct cq_http_calls *calls, const char *address,
			const char *path, const struct cq_http_request *request,
			struct cq_http_calls_entry *entry);
/* Ends the call; its completion is not called. */
void cq_http_calls_cancel(struct cq_http_calls_entry *entry);

#endif
