/*
 * Job lists of the two deployments, from a fixed seed.
 */
#ifndef CQ_BENCH_DECISIONS_WORKLOAD_H
#define CQ_BENCH_DECISIONS_WORKLOAD_H

#include "../tests/support/fleet_sim.h"

/* splitmix64; the same sequence on every machine. */
struct random_source {
	uint64_t state;
};

double random_unit(struct random_source *random);
uint32_t random_below(struct random_source *random, uint32_t limit);
/* exp of a normal variable with the given median and spread. */
double random_lognormal(struct random_source *random, double median,
			double sigma);

struct deployment;

extern const struct deployment deployment_garba;
extern const struct deployment deployment_tapa;

const char *deployment_name(const struct deployment *deployment);
struct fleet_builder *deployment_fleet(const struct deployment *deployment);
/* Adds four hours of jobs; the load counts against all accelerators. */
void deployment_jobs(const struct deployment *deployment, struct sim *sim,
		     double load, uint64_t seed);

#endif
