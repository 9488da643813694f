#include "chestnutquay/round_trip.h"

#include "chestnutquay/clock.h"

/* A limit is this many usual round trips. */
#define LIMIT_FACTOR 4
/* An answer counts 1 / SMOOTHING in the usual round trip. */
#define SMOOTHING 4
/* Timeouts in a row that double the limit. */
#define MAX_DOUBLINGS 6

void cq_round_trip_init(struct cq_round_trip *r, uint32_t min_ms,
			uint32_t max_ms)
{
	r->min_ms = min_ms;
	r->max_ms = max_ms;
	r->smoothed_ns = 0;
	r->timeouts = 0;
}

uint32_t cq_round_trip_timeout_ms(const struct cq_round_trip *r)
{
	int64_t limit_ms = r->smoothed_ns * LIMIT_FACTOR / CQ_NS_PER_MS;

	if (limit_ms < r->min_ms)
		limit_ms = r->min_ms;
	limit_ms <<= r->timeouts;
	return limit_ms > r->max_ms ? r->max_ms : (uint32_t)limit_ms;
}

bool cq_round_trip_ended(struct cq_round_trip *r, int64_t took_ns,
			 bool answered)
{
	if (!answered) {
		if (took_ns < cq_round_trip_timeout_ms(r) * CQ_NS_PER_MS)
			return false;
		if (r->timeouts < MAX_DOUBLINGS)
			r->timeouts++;
		return true;
	}
	if (!r->smoothed_ns)
		r->smoothed_ns = took_ns;
	else
		r->smoothed_ns += (took_ns - r->smoothed_ns) / SMOOTHING;
	r->timeouts = 0;
	return false;
}
