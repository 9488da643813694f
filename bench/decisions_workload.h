/*
 * Generates the job traces of two deployments; reproducible by seed.
 */
#ifndef CQ_BENCH_DECISIONS_WORKLOAD_H
#define CQ_BENCH_DECISIONS_WORKLOAD_H

#include "../tests/support/fleet_sim.h"
#include "../tests/support/random_source.h"

struct deployment;

extern const struct deployment deployment_garba;
extern const struct deployment deployment_tapa;

const char *deployment_name(const struct deployment *deployment);
struct fleet_builder *deployment_fleet(const struct deployment *deployment);
/* Adds four hours of jobs; load 1 is the capacity of all accelerators. */
void deployment_jobs(const struct deployment *deployment, struct sim *sim,
		     double load, uint64_t seed);

#endif
