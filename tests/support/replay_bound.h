/*
 * The most that any scheduler could earn on a job list: an all-knowing one
 * whose jobs can be divided and moved at will, with all accelerators in one
 * place. A job earns nothing that it could not earn alone on the best workers.
 */
#ifndef CQ_TESTS_REPLAY_BOUND_H
#define CQ_TESTS_REPLAY_BOUND_H

#include "tests/support/replay_jobs.h"

/* A share of what is owed. */
double replay_bound(const struct replay_deployment *deployment,
		    const struct replay_load *load, uint64_t seed);

#endif
