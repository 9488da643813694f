#include "random_source.h"

#include <math.h>

/* Precision of a double. */
#define DOUBLE_BITS 53

double random_unit(struct random_source *random)
{
	uint64_t bits = cq_prng_next(&random->prng) >> (64 - DOUBLE_BITS);

	return (double)bits / (double)(UINT64_C(1) << DOUBLE_BITS);
}

uint32_t random_below(struct random_source *random, uint32_t limit)
{
	return (uint32_t)(random_unit(random) * limit);
}

double random_lognormal(struct random_source *random, double median,
			double sigma)
{
	double u = 1.0 - random_unit(random);
	double v = random_unit(random);
	double normal = sqrt(-2.0 * log(u)) * cos(2.0 * M_PI * v);

	return median * exp(sigma * normal);
}
