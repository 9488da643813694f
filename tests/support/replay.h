/*
 * Plays a job list through the plan of stages in virtual time: the product's
 * batches, pool, ranks, order, placement and displacement, without network,
 * store or clock. Workers begin a run a little after the decision, and a stop
 * takes a while.
 */
#ifndef CQ_TESTS_REPLAY_H
#define CQ_TESTS_REPLAY_H

#include "chestnutquay/stage_plan.h"
#include "tests/support/replay_jobs.h"

#define REPLAY_MAX_DATA_CENTRES 4

/* Sums of worth. */
struct replay_share {
	double owed;
	double earned;
};

struct replay_result {
	struct replay_share all;
	struct replay_share classes[REPLAY_CLASSES];
	struct replay_share workspaces[REPLAY_WORKSPACES];
	struct replay_share data_centres[REPLAY_MAX_DATA_CENTRES];
	struct replay_share largest; /* tenth of the jobs of each class */
	double thrown_away_core_s;
	uint32_t stops;
	uint32_t unfinished;
	/*
	 * Urgent jobs, within what belongs to their workspace from arrival to
	 * start, that waited longer than the platform allows.
	 */
	uint32_t guarantee_misses;
};

/* Earned less the price of work thrown away, over owed. */
double replay_worth(const struct replay_result *result);

void replay_run(const struct replay_deployment *deployment,
		const struct replay_load *load, uint64_t seed,
		const struct cq_stage_policy *policy,
		struct replay_result *result);

#endif
