#include "chestnutquay/retry.h"

#include <assert.h>
#include <glib.h>

#include "chestnutquay/clock.h"
#include "coordination/prng.h"

static void open_breaker(struct cq_retry *retry, int64_t now_ns);
static bool admit_attempt(struct cq_retry *retry,
			  const struct cq_retry_call *call, int64_t now_ns);

/* Retry budget that one retry costs; a first attempt earns budget_percent. */
#define TOKENS_PER_RETRY 100

struct cq_retry {
	struct cq_retry_options options;
	struct cq_prng prng;
	uint64_t tokens; /* retry budget in units of 1 / TOKEN retry */
	enum cq_breaker_state breaker;
	uint32_t failures;   /* consecutive */
	int64_t probe_at_ns; /* end of the open state: a probe is allowed */
};

static const char *const breaker_strings[] = {
	[CQ_BREAKER_CLOSED] = "closed",
	[CQ_BREAKER_OPEN] = "open",
	[CQ_BREAKER_HALF_OPEN] = "half_open",
};

static const char *const verdict_strings[] = {
	[CQ_RETRY_AGAIN] = "again",
	[CQ_RETRY_DEADLINE] = "deadline",
	[CQ_RETRY_BUDGET] = "budget",
	[CQ_RETRY_BREAKER_OPEN] = "breaker_open",
};

const char *cq_breaker_state_string(enum cq_breaker_state state)
{
	if ((unsigned)state >= G_N_ELEMENTS(breaker_strings))
		return "?";
	return breaker_strings[state];
}

const char *cq_retry_verdict_string(enum cq_retry_verdict verdict)
{
	if ((unsigned)verdict >= G_N_ELEMENTS(verdict_strings))
		return "?";
	return verdict_strings[verdict];
}

void cq_retry_options_init(struct cq_retry_options *options)
{
	options->base_ns = 50 * CQ_NS_PER_MS;
	options->max_ns = 2 * CQ_NS_PER_S;
	options->budget_percent = 10;
	options->budget_burst = 10;
	options->breaker_failures = 5;
	options->breaker_open_ns = CQ_NS_PER_S;
}

struct cq_retry *cq_retry_create(const struct cq_retry_options *options,
				 uint64_t seed)
{
	struct cq_retry *retry = g_new0(struct cq_retry, 1);

	assert(options->base_ns > 0 && options->max_ns >= options->base_ns);
	retry->options = *options;
	retry->prng.state = seed;
	retry->tokens = (uint64_t)options->budget_burst * TOKENS_PER_RETRY;
	return retry;
}

void cq_retry_destroy(struct cq_retry *retry)
{
	g_free(retry);
}

/* Opens the breaker, with jitter so that hosts do not probe together. */
static void open_breaker(struct cq_retry *retry, int64_t now_ns)
{
	int64_t open_ns = retry->options.breaker_open_ns;

	retry->breaker = CQ_BREAKER_OPEN;
	retry->probe_at_ns =
		now_ns + open_ns +
		(int64_t)cq_prng_below(&retry->prng, (uint64_t)open_ns / 2 + 1);
}

/* Whether an attempt may start; the first one after the open state probes. */
static bool admit_attempt(struct cq_retry *retry,
			  const struct cq_retry_call *call, int64_t now_ns)
{
	if (now_ns >= call->deadline_ns)
		return false;
	if (retry->breaker == CQ_BREAKER_HALF_OPEN)
		return false;
	if (retry->breaker == CQ_BREAKER_OPEN) {
		if (now_ns < retry->probe_at_ns)
			return false;
		retry->breaker = CQ_BREAKER_HALF_OPEN;
	}
	return true;
}

bool cq_retry_begin(struct cq_retry *retry, struct cq_retry_call *call,
		    int64_t deadline_ns, int64_t now_ns)
{
	uint64_t max_tokens =
		(uint64_t)retry->options.budget_burst * TOKENS_PER_RETRY;

	call->deadline_ns = deadline_ns;
	call->next_ns = now_ns;
	call->attempts = 0;
	if (!admit_attempt(retry, call, now_ns))
		return false;
	call->attempts = 1;
	retry->tokens =
		MIN(retry->tokens + retry->options.budget_percent, max_tokens);
	return true;
}

bool cq_retry_attempt(struct cq_retry *retry, struct cq_retry_call *call,
		      int64_t now_ns)
{
	assert(call->attempts > 0);
	if (!admit_attempt(retry, call, now_ns))
		return false;
	call->attempts++;
	return true;
}

void cq_retry_succeeded(struct cq_retry *retry)
{
	retry->failures = 0;
	retry->breaker = CQ_BREAKER_CLOSED;
}

enum cq_retry_verdict cq_retry_failed(struct cq_retry *retry,
				      struct cq_retry_call *call,
				      int64_t now_ns)
{
	retry->failures++;
	/* Failures of calls started earlier do not extend the open state. */
	if (retry->options.breaker_failures &&
	    retry->breaker != CQ_BREAKER_OPEN &&
	    (retry->breaker == CQ_BREAKER_HALF_OPEN ||
	     retry->failures >= retry->options.breaker_failures))
		open_breaker(retry, now_ns);
	if (retry->breaker == CQ_BREAKER_OPEN)
		return CQ_RETRY_BREAKER_OPEN;
	call->next_ns = now_ns + cq_retry_backoff_ns(retry, call->attempts);
	if (call->next_ns >= call->deadline_ns)
		return CQ_RETRY_DEADLINE;
	if (retry->tokens < TOKENS_PER_RETRY)
		return CQ_RETRY_BUDGET;
	retry->tokens -= TOKENS_PER_RETRY;
	return CQ_RETRY_AGAIN;
}

void cq_retry_abandoned(struct cq_retry *retry, int64_t now_ns)
{
	/* The probe gave no result, so the next call becomes the probe. */
	if (retry->breaker == CQ_BREAKER_HALF_OPEN) {
		retry->breaker = CQ_BREAKER_OPEN;
		retry->probe_at_ns = now_ns;
	}
}

enum cq_breaker_state cq_retry_breaker(const struct cq_retry *retry)
{
	return retry->breaker;
}

int64_t cq_retry_backoff_ns(struct cq_retry *retry, uint32_t attempts)
{
	int64_t max_delay_ns = retry->options.base_ns;

	while (attempts-- > 1 && max_delay_ns < retry->options.max_ns)
		max_delay_ns *= 2;
	max_delay_ns = MIN(max_delay_ns, retry->options.max_ns);
	return 1 + (int64_t)cq_prng_below(&retry->prng, (uint64_t)max_delay_ns);
}
