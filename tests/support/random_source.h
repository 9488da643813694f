/* Random numbers that are the same on every machine. */
#ifndef CQ_TESTS_RANDOM_SOURCE_H
#define CQ_TESTS_RANDOM_SOURCE_H

#include <stdint.h>

#include "coordination/prng.h"

struct random_source {
	struct cq_prng prng;
};

/* From 0 to less than 1. */
double random_unit(struct random_source *random);
uint32_t random_below(struct random_source *random, uint32_t limit);
/* exp of a normal variable with the given median and spread. */
double random_lognormal(struct random_source *random, double median,
			double sigma);

#endif
