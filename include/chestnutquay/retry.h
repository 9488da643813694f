/*
 * Retry policy for calls to other processes and outside systems.
 *
 * A struct cq_retry holds the state that all calls to one target (such as the
 * store) share: the retry budget, the circuit breaker and the random generator
 * of the jitter. A struct cq_retry_call is one call with its deadline.
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
	/* Retries allowed, in percent of first attempts. */
	uint32_t budget_percent;
	/* Retries allowed at the start, and upper limit of saved retries. */
	uint32_t budget_burst;
	/* Consecutive failures that open the breaker; 0 disables it. */
	uint32_t breaker_failures;
	/* Shortest time the breaker stays open; jitter adds up to 50 %. */
	int64_t breaker_open_ns;
};

enum cq_breaker_state {
	CQ_BREAKER_CLOSED,
	CQ_BREAKER_OPEN,      /* calls are rejected at once */
	CQ_BREAKER_HALF_OPEN, /* one call is allowed as a probe */
};

enum cq_retry_verdict {
	CQ_RETRY_AGAIN,	       /* try again at call.next_ns */
	CQ_RETRY_DEADLINE,     /* no time left for another attempt */
	CQ_RETRY_BUDGET,       /* the retry budget is used up */
	CQ_RETRY_BREAKER_OPEN, /* the circuit breaker is open */
};

struct cq_retry_call {
	int64_t deadline_ns;
	int64_t next_ns;   /* time of the next attempt */
	uint32_t attempts; /* including the first */
};

const char *cq_breaker_state_string(enum cq_breaker_state state);
const char *cq_retry_verdict_string(enum cq_retry_verdict verdict);

/*
 * Sets the defaults: delays from 50 ms up to 2 s, a budget of 10 % with a burst
 * of 10, and a breaker that opens after 5 failures for at least 1 s.
 */
void cq_retry_options_init(struct cq_retry_options *options);
struct cq_retry *cq_retry_create(const struct cq_retry_options *options,
				 uint64_t seed);
void cq_retry_destroy(struct cq_retry *retry);

/* Starts a call; false if the breaker is open or the deadline has passed. */
bool cq_retry_begin(struct cq_retry *retry, struct cq_retry_call *call,
		    int64_t deadline_ns, int64_t now_ns);
/*
 * Starts a further attempt of a call; false if the breaker is open or the
 * deadline has passed.
 */
bool cq_retry_attempt(struct cq_retry *retry, struct cq_retry_call *call,
		      int64_t now_ns);
void cq_retry_succeeded(struct cq_retry *retry);
/* Reports a failed attempt; the verdict says whether to try again. */
enum cq_retry_verdict cq_retry_failed(struct cq_retry *retry,
				      struct cq_retry_call *call,
				      int64_t now_ns);
/* Reports an attempt that was cancelled and says nothing about the target. */
void cq_retry_abandoned(struct cq_retry *retry, int64_t now_ns);

enum cq_breaker_state cq_retry_breaker(const struct cq_retry *retry);
/* Exponential back-off with full jitter before attempt number attempts + 1. */
int64_t cq_retry_backoff_ns(struct cq_retry *retry, uint32_t attempts);

#endif
