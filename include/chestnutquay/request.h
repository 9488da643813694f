/*
 * Callers' requests, their answers and what is known about whether a refused
 * request ran.
 */
#ifndef CHESTNUTQUAY_REQUEST_H
#define CHESTNUTQUAY_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CQ_REQUEST_NAME_BYTES 64
#define CQ_REQUEST_PATH_BYTES 512
#define CQ_REQUEST_KEY_BYTES 128

/* What a refusal says about the request; an answer needs no such word. */
enum cq_request_run {
	CQ_REQUEST_NOT_RUN,	 /* proven: no endpoint ran it and none will */
	CQ_REQUEST_MAY_HAVE_RUN, /* it may have run, or may still run */
};

const char *cq_request_run_string(enum cq_request_run run);

/* Why a request was refused. */
enum cq_refusal {
	CQ_REFUSAL_NONE,
	CQ_REFUSAL_INVALID,		/* 400: malformed */
	CQ_REFUSAL_UNKNOWN_WORKSPACE,	/* 403 */
	CQ_REFUSAL_UNKNOWN_CLASS,	/* 400 */
	CQ_REFUSAL_KEY_REUSED,		/* 422: key of a different request */
	CQ_REFUSAL_KEY_EXPIRED,		/* 409: outcome no longer remembered */
	CQ_REFUSAL_KEY_OLDER_THAN_HOME, /* 409: home restarted since then */
	CQ_REFUSAL_ANSWER_NOT_KEPT,	/* 409: ran; answer too big to keep */
	CQ_REFUSAL_OVERLOADED,		/* 503: queue full */
	CQ_REFUSAL_TOO_LATE,		/* 503: the deadline cannot be met */
	CQ_REFUSAL_NO_ENDPOINT,		/* 503: none is usable */
	CQ_REFUSAL_HOME_UNREACHABLE,	/* 503: the key's home host */
	CQ_REFUSAL_DEADLINE,		/* 504: the deadline passed */
	CQ_REFUSAL_ENDPOINT_FAILED,	/* 502: no whole answer arrived */
	CQ_REFUSAL_COUNT,
};

/* The code in the JSON body, for example "too_late". */
const char *cq_refusal_string(enum cq_refusal refusal);
uint32_t cq_refusal_status(enum cq_refusal refusal);

struct cq_request {
	const char *workspace;
	const char *class_name;
	const char *path;	  /* without the leading slash */
	const char *content_type; /* "" if absent */
	const char *key;	  /* idempotency key; "" if absent */
	int64_t key_unix_ms;	  /* when the key was minted */
	bool idempotent;
	uint32_t timeout_ms;
	const char *body;
	size_t body_len;
};

/* An endpoint's whole answer, or a refusal. */
struct cq_answer {
	enum cq_refusal refusal; /* NONE: the rest is the endpoint's answer */
	enum cq_request_run run; /* refusals only */
	uint32_t status;
	const char *content_type; /* "" if absent */
	const char *endpoint;	  /* id; "" for refusals */
	const char *message;	  /* refusals: one sentence */
	const char *body;
	size_t body_len;
	uint32_t expected_wait_ms; /* of a request of this class, now */
};

#endif
