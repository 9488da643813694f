#include "chestnutquay/request.h"

static const char *const run_strings[] = {
	[CQ_REQUEST_NOT_RUN] = "no",
	[CQ_REQUEST_MAY_HAVE_RUN] = "unknown",
};

static const struct {
	const char *code;
	uint32_t status;
} refusals[CQ_REFUSAL_COUNT] = {
	[CQ_REFUSAL_NONE] = { "none", 200 },
	[CQ_REFUSAL_INVALID] = { "invalid", 400 },
	[CQ_REFUSAL_UNKNOWN_WORKSPACE] = { "unknown_workspace", 403 },
	[CQ_REFUSAL_UNKNOWN_CLASS] = { "unknown_class", 400 },
	[CQ_REFUSAL_KEY_REUSED] = { "key_reused", 422 },
	[CQ_REFUSAL_KEY_EXPIRED] = { "key_expired", 409 },
	[CQ_REFUSAL_KEY_OLDER_THAN_HOME] = { "key_older_than_home", 409 },
	[CQ_REFUSAL_ANSWER_NOT_KEPT] = { "answer_not_kept", 409 },
	[CQ_REFUSAL_OVERLOADED] = { "overloaded", 503 },
	[CQ_REFUSAL_TOO_LATE] = { "too_late", 503 },
	[CQ_REFUSAL_NO_ENDPOINT] = { "no_endpoint", 503 },
	[CQ_REFUSAL_HOME_UNREACHABLE] = { "home_unreachable", 503 },
	[CQ_REFUSAL_DEADLINE] = { "deadline", 504 },
	[CQ_REFUSAL_ENDPOINT_FAILED] = { "endpoint_failed", 502 },
};

const char *cq_request_run_string(enum cq_request_run run)
{
	return run_strings[run];
}

const char *cq_refusal_string(enum cq_refusal refusal)
{
	return refusals[refusal].code;
}

uint32_t cq_refusal_status(enum cq_refusal refusal)
{
	return refusals[refusal].status;
}
