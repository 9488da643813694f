/*
 * Upper bound of the worth that any scheduler could earn on a job list. It
 * assumes knowledge of all jobs in advance, jobs that can be divided and moved
 * at will, and all accelerators in one place. A job that could not end in time
 * even alone on the fastest workers earns nothing.
 */
#ifndef CQ_TESTS_REPLAY_BOUND_H
#define CQ_TESTS_REPLAY_BOUND_H

#include "tests/support/replay_jobs.h"

/* The bound as a share of the worth of all jobs. */
double replay_bound(const struct replay_deployment *deployment,
		    const struct replay_load *load, uint64_t seed);

#endif
