/* Baseline policies to compare the default stage policy with. */
#ifndef CQ_TESTS_REPLAY_POLICIES_H
#define CQ_TESTS_REPLAY_POLICIES_H

#include "chestnutquay/stage_plan.h"

/* Orders by arrival, with backfill. No preemption. */
extern const struct cq_stage_policy replay_first_come;
/* Orders by objective, regardless of priority. No preemption. */
extern const struct cq_stage_policy replay_earliest_deadline;
/* Orders by worth per unit of estimated remaining work. No preemption. */
extern const struct cq_stage_policy replay_credit_density;

#endif
