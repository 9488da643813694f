/*
 * Callers' HTTP interface: POST /v1/requests/PATH and its refusals.
 */
#ifndef CHESTNUTQUAY_CALLER_H
#define CHESTNUTQUAY_CALLER_H

#include "chestnutquay/error.h"
#include "chestnutquay/request.h"

#define CQ_CALLER_PREFIX "/v1/requests/"
#define CQ_CALLER_DEFAULT_TIMEOUT_MS 30000

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
