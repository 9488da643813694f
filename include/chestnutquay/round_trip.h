/*
 * Adaptive timeout of calls to one server, derived from a smoothed round-trip
 * time. It lets an idempotent call be retried soon after its answer was lost,
 * yet not too early while the server is slow.
 */
#ifndef CHESTNUTQUAY_ROUND_TRIP_H
#define CHESTNUTQUAY_ROUND_TRIP_H

#include <stdbool.h>
#include <stdint.h>

struct cq_round_trip {
	uint32_t min_ms, max_ms; /* bounds of the timeout */
	int64_t smoothed_ns; /* round-trip time; 0 before the first answer */
	uint32_t consecutive_timeouts;
};

void cq_round_trip_init(struct cq_round_trip *r, uint32_t min_ms,
			uint32_t max_ms);
/* Timeout to use for the next call. */
uint32_t cq_round_trip_timeout_ms(const struct cq_round_trip *r);
/*
 * Records the end of a call. Returns true if the call timed out, that is, got
 * no answer within its whole timeout. A call that failed sooner says nothing
 * about the speed of the server and changes nothing.
 */
bool cq_round_trip_ended(struct cq_round_trip *r, int64_t took_ns,
			 bool answered);

#endif
