/*
 * Measures the turns of an event loop: the time from when it has waited for
 * events until it waits again. Nothing else is done meanwhile, no lease is
 * renewed and no call is answered, so a host that loses the lead by its own
 * slowness shows it here.
 *
 * The metric cq_loop_turn_seconds has all turns, cq_loop_longest_turn_us the
 * longest one; long ones are logged as loop_turn_long, at most one a second.
 */
#ifndef CHESTNUTQUAY_LOOP_TURN_H
#define CHESTNUTQUAY_LOOP_TURN_H

#include <ev.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/metrics.h"

struct cq_loop_turn;

struct cq_loop_turn *cq_loop_turn_create(struct ev_loop *loop,
					 const struct cq_clock *clock,
					 struct cq_metrics *metrics);
void cq_loop_turn_destroy(struct cq_loop_turn *t);
/* The longest turn since the last call, or since the creation. */
int64_t cq_loop_turn_take_longest_ns(struct cq_loop_turn *t);

#endif
