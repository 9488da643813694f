#ifndef CQ_BENCH_DECISIONS_PLAN_TIME_H
#define CQ_BENCH_DECISIONS_PLAN_TIME_H

#include <stdint.h>

struct plan_time {
	double p50_ms;
	double p99_ms;
	double kept_bytes_per_worker;	 /* by the planner between plans */
	double scratch_bytes_per_worker; /* during a plan */
	double scratch_bytes_per_task;
};

/*
 * Plans for a full fleet of the size with 4 tasks running and one job waiting
 * per worker, while some jobs end and others arrive in each round.
 */
struct plan_time measure_plan_time(uint32_t workers, uint32_t rounds,
				   uint64_t seed);

#endif
