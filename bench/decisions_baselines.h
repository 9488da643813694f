/*
 * Schedulers that the planner is compared with, behind the same interface.
 */
#ifndef CQ_BENCH_DECISIONS_BASELINES_H
#define CQ_BENCH_DECISIONS_BASELINES_H

#include "chestnutquay/planner.h"

/*
 * First-in-first-out with first-fit. A job that does not fit lets later ones
 * pass, which keeps the fleet busier than waiting for the head of the queue.
 */
struct cq_plan *baseline_fifo(void *ctx, const struct cq_snapshot *snapshot);
/*
 * Strict quotas with best-fit: no workspace holds more than its share of the
 * fleet, in proportion to its guarantees. Within a workspace jobs are served
 * by class, then by arrival.
 */
struct cq_plan *baseline_quota(void *ctx, const struct cq_snapshot *snapshot);

#endif
