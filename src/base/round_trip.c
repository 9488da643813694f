#include "chestnutquay/round_trip.h"

#include "chestnutquay/clock.h"

/* The timeout is this multiple of the smoothed round-trip time. */
#define TIMEOUT_FACTOR 4
/* Each answer contributes 1 / SMOOTHING_DIVISOR to the smoothed time. */
#define SMOOTHING_DIVISOR 4
/* Maximum number of consecutive timeouts that each double the timeout. */
#define MAX_DOUBLINGS 6

void cq_round_trip_init(struct cq_round_trip *r, uint32_t min_ms,
			uint32_t max_ms)
{
	r->min_ms = min_ms;
	r->max_ms = max_ms;
	r->smoothed_ns = 0;
	r->consecutive_timeouts = 0;
}

uint32_t cq_round_trip_timeout_ms(const struct cq_round_trip *r)
{
	int64_t limit_ms = r->smoothed_ns * TIMEOUT_FACTOR / CQ_NS_PER_MS;

	if (limit_ms < r->min_ms)
		limit_ms = r->min_ms;
	limit_ms <<= r->consecutive_timeouts;
	return limit_ms > r->max_ms ? r->max_ms : (uint32_t)limit_ms;
}

bool cq_round_trip_ended(struct cq_round_trip *r, int64_t took_ns,
			 bool answered)
{
	if (!answered) {
		if (took_ns < cq_round_trip_timeout_ms(r) * CQ_NS_PER_MS)
			return false;
		if (r->consecutive_timeouts < MAX_DOUBLINGS)
			r->consecutive_timeouts++;
		return true;
	}
	if (!r->smoothed_ns)
		r->smoothed_ns = took_ns;
	else
		r->smoothed_ns +=
			(took_ns - r->smoothed_ns) / SMOOTHING_DIVISOR;
	r->consecutive_timeouts = 0;
	return false;
}
