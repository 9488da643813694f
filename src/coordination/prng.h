/*
 * Seeded pseudo-random number generator (splitmix64) for jitter and random
 * choices. Not for secrets.
 */
#ifndef COORDINATION_PRNG_H
#define COORDINATION_PRNG_H

#include <stdint.h>

struct cq_prng {
	uint64_t state;
};

static inline uint64_t cq_prng_next(struct cq_prng *prng)
{
	uint64_t z = (prng->state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* Returns a number from 0 to bound - 1, or 0 if bound is 0. */
static inline uint64_t cq_prng_below(struct cq_prng *prng, uint64_t bound)
{
	return bound ? cq_prng_next(prng) % bound : 0;
}

#endif
