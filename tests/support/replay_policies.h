/* Schedulers that the product's policy is compared with. */
#ifndef CQ_TESTS_REPLAY_POLICIES_H
#define CQ_TESTS_REPLAY_POLICIES_H

#include "chestnutquay/stage_plan.h"

/* By arrival; what does not fit lets later jobs pass. Stops nothing. */
extern const struct cq_stage_policy replay_first_come;
/* By objective, whatever the priority. Stops nothing. */
extern const struct cq_stage_policy replay_earliest_deadline;
/* By credit over the work that is left, by estimate. Stops nothing. */
extern const struct cq_stage_policy replay_credit_density;

#endif
