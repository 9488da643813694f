/* Seeded random numbers; the sequence is the same on every host. */
#ifndef CQ_TESTS_RANDOM_SOURCE_H
#define CQ_TESTS_RANDOM_SOURCE_H

#include <stdint.h>

#include "coordination/prng.h"

struct random_source {
	struct cq_prng prng;
};

/* Uniform in [0, 1). */
double random_unit(struct random_source *random);
/* Uniform in [0, limit). */
uint32_t random_below(struct random_source *random, uint32_t limit);
/* Lognormal: sigma is the standard deviation of the logarithm. */
double random_lognormal(struct random_source *random, double median,
			double sigma);

#endif
