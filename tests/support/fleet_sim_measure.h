#ifndef CQ_TESTS_FLEET_SIM_MEASURE_H
#define CQ_TESTS_FLEET_SIM_MEASURE_H

#include "fleet_sim.h"

/*
 * Adds the interval since the last plan to the time integrals of the
 * statistics. To be called before the state advances.
 */
void sim_measure_interval(struct sim *sim, int64_t interval_ns);
/* Counts jobs that wait within a guarantee for longer than the limit. */
void sim_measure_guarantees(struct sim *sim, int64_t urgent_miss_ns,
			    int64_t other_miss_ns);

#endif
