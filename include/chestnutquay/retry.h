/*
 * The one retry policy for calls to other processes and outside systems.
 *
 * A struct cq_retry stands for one target (the store, an endpoint pool). It
 * holds what the calls to that target share: the retry budget, the circuit
 * breaker and the generator of the jitter. A struct cq_retry_call is one call
 * with its deadline.
 *
 *	if (!cq_retry_begin(retry, &call, deadline_ns, now_ns))
 *		fail: the breaker is open
 *	send; then cq_retry_succeeded() or
 *	verdict = cq_retry_failed(retry, &call, now_ns)
 *	CQ_RETRY_AGAIN: at call.next_ns, cq_retry_attempt() and send again
 */
#ifndef CHESTNUTQUAY_RETRY_H
#define CHESTNUTQUAY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

struct cq_retry;

struct cq_retry_options {
	int64_t base_ns; /* upper end of the first delay */
	int64_t max_ns;	 /* upper end of any delay */
	/* Retries allowed as a share of first attempts. */
	uint32_t budget_percent;
	/* Retries allowed before any first attempt earned one. */
	uint32_t budget_burst;
	/* Consecutive failures that open the breaker; 0: no breaker. */
	uint32_t breaker_failures;
	/* Shortest time the breaker stays open; up to 50 % is added. */
	int64_t breaker_open_ns;
};

enum cq_breaker_state {
	CQ_BREAKER_CLOSED,
	CQ_BREAKER_OPEN,      /* calls fail at once */
	CQ_BREAKER_HALF_OPEN, /* one probe is on its way */
};

enum cq_retry_verdict {
	CQ_RETRY_AGAIN,	       /* try again at call.next_ns */
	CQ_RETRY_DEADLINE,     /* no time left for another attempt */
	CQ_RETRY_BUDGET,       /* too many retries already */
	CQ_RETRY_BREAKER_OPEN, /* the target fails all calls */
};

struct cq_retry_call {
	int64_t deadline_ns;
	int64_t next_ns; /* time of the next attempt */
	uint32_t attempts;
};

const char *cq_breaker_state_string(enum cq_breaker_state state);
const char *cq_retry_verdict_string(enum cq_retry_verdict verdict);

/* Defaults: 50 ms, 2 s, 10 %, 10, 5 failures, 1 s. */
void cq_retry_options_init(struct cq_retry_options *options);
struct cq_retry *cq_retry_create(const struct cq_retry_options *options,
				 uint64_t seed);
void cq_retry_destroy(struct cq_retry *retry);

/* Starts a call; false if the breaker is open or the deadline has passed. */
bool cq_retry_begin(struct cq_retry *retry, struct cq_retry_call *call,
		    int64_t deadline_ns, int64_t now_ns);
/* Starts a further attempt of a call; false as above. */
bool cq_retry_attempt(struct cq_retry *retry, struct cq_retry_call *call,
		      int64_t now_ns);
void cq_retry_succeeded(struct cq_retry *retry);
/* Reports a failed attempt and asks whether to try again. */
enum cq_retry_verdict cq_retry_failed(struct cq_retry *retry,
				      struct cq_retry_call *call,
				      int64_t now_ns);
/* An attempt ended without telling anything about the target (cancelled). */
void cq_retry_abandoned(struct cq_retry *retry, int64_t now_ns);

enum cq_breaker_state cq_retry_breaker(const struct cq_retry *retry);
/* Full-jitter exponential delay before attempt number attempts + 1. */
int64_t cq_retry_backoff_ns(struct cq_retry *retry, uint32_t attempts);

#endif
