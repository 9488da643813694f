/*
 * Replays a job list through the stage planner in virtual time. It uses the
 * real code of batches, worker pool, ranks, job order, placement and
 * preemption, without network, store or clock. Starts and stops of runs take
 * effect some time after the decision.
 */
#ifndef CQ_TESTS_REPLAY_H
#define CQ_TESTS_REPLAY_H

#include "chestnutquay/stage_plan.h"
#include "tests/support/replay_jobs.h"

#define REPLAY_MAX_DATA_CENTRES 4

/* Sums of the worth of jobs; see struct replay_job. */
struct replay_share {
	double offered; /* worth of all jobs, if each met its objective */
	double earned;	/* by the jobs that ended in time, or late */
};

struct replay_result {
	struct replay_share all;
	struct replay_share classes[REPLAY_CLASSES];
	struct replay_share workspaces[REPLAY_WORKSPACES];
	struct replay_share data_centres[REPLAY_MAX_DATA_CENTRES];
	struct replay_share largest; /* largest tenth of each class */
	double wasted_core_s;	  /* work neither finished nor checkpointed */
	uint32_t preempted_tasks; /* preempted tasks */
	uint32_t unfinished;	  /* jobs */
	/*
	 * Urgent jobs that the guarantee of their workspace covered from
	 * arrival to start, but that waited longer than the platform allows.
	 */
	uint32_t guarantee_misses;
};

/*
 * Worth earned, less the price of wasted work, as a share of the worth of all
 * jobs.
 */
double replay_worth(const struct replay_result *result);

/* Replays the load from the seed under the policy; sets *result. */
void replay_run(const struct replay_deployment *deployment,
		const struct replay_load *load, uint64_t seed,
		const struct cq_stage_policy *policy,
		struct replay_result *result);

#endif
