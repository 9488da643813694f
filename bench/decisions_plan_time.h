#ifndef CQ_BENCH_DECISIONS_PLAN_TIME_H
#define CQ_BENCH_DECISIONS_PLAN_TIME_H

#include <stdint.h>

struct plan_time {
	double p50_ms;
	double p99_ms;
	double retained_bytes_per_worker; /* heap kept between plans */
	double scratch_bytes_per_worker;  /* during a plan */
	double scratch_bytes_per_task;
};

/*
 * Measures plans for a fully used fleet with about 4 running tasks and one
 * waiting job per worker. Some jobs end and others arrive in each round.
 */
struct plan_time measure_plan_time(uint32_t workers, uint32_t rounds,
				   uint64_t seed);

#endif
