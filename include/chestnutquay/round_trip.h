/*
 * Time limit of the next call to a server, from how long its last answers
 * took. A call that may be repeated without harm is repeated soon after its
 * answer was lost, and not too early while the server is slow.
 */
#ifndef CHESTNUTQUAY_ROUND_TRIP_H
#define CHESTNUTQUAY_ROUND_TRIP_H

#include <stdbool.h>
#include <stdint.h>

struct cq_round_trip {
	uint32_t min_ms, max_ms; /* of a time limit */
	int64_t smoothed_ns;	 /* of the answers; 0: none yet */
	uint32_t timeouts;	 /* in a row */
};

void cq_round_trip_init(struct cq_round_trip *r, uint32_t min_ms,
			uint32_t max_ms);
uint32_t cq_round_trip_timeout_ms(const struct cq_round_trip *r);
/*
 * A call has ended. Returns true if it got no answer although it waited for
 * its whole limit; one that failed sooner says nothing about the server's pace.
 */
bool cq_round_trip_ended(struct cq_round_trip *r, int64_t took_ns,
			 bool answered);

#endif
