/*
 * Pacing of best-effort tasks (step->fills) that share a worker with servers,
 * based on the tail latency of the servers. Pure functions over one worker.
 */
#ifndef CHESTNUTQUAY_PACE_H
#define CHESTNUTQUAY_PACE_H

#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

/*
 * Returns the highest ratio of tail latency to target among the servers on the
 * worker; 0: there is no server.
 */
double cq_pace_worst_tail(const struct cq_pool_worker *worker);
/*
 * Returns the percentage of full speed that a confirmed best-effort run should
 * have now, given the worst tail ratio of its worker: half of the current one
 * near the target, 0 at the target, and more in steps once there is room.
 * Returns the current percentage if nothing is to change.
 */
uint32_t cq_pace_next(const struct cq_task *task, double tail, int64_t now_ns);

#endif
