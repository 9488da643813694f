#ifndef CQ_TESTS_FLEET_SIM_MEASURE_H
#define CQ_TESTS_FLEET_SIM_MEASURE_H

#include "fleet_sim.h"

/* Adds the time since the last plan to the integrals, before a step. */
void sim_measure_span(struct sim *sim, int64_t span_ns);
/* Counts waits within a guarantee that are too long, and partial gangs. */
void sim_measure_guarantees(struct sim *sim, int64_t urgent_miss_ns,
			    int64_t other_miss_ns);

#endif
