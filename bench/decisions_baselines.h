/*
 * Baseline schedulers that the planner is compared with. They implement the
 * planner's interface.
 */
#ifndef CQ_BENCH_DECISIONS_BASELINES_H
#define CQ_BENCH_DECISIONS_BASELINES_H

#include "chestnutquay/planner.h"

/*
 * FIFO with first-fit. Later jobs may overtake a job that does not fit, which
 * gives a higher utilization than blocking on the head of the queue.
 */
struct cq_plan *baseline_fifo(void *ctx, const struct cq_snapshot *snapshot);
/*
 * Strict quotas with best-fit: no workspace uses more than its share of the
 * fleet, in proportion to its guarantees. Jobs are started by class, then by
 * arrival.
 */
struct cq_plan *baseline_quota(void *ctx, const struct cq_snapshot *snapshot);

#endif
