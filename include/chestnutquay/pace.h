/*
 * How fast tasks that fill may work beside servers, from the servers' tail of
 * response times. Pure functions over one worker.
 */
#ifndef CHESTNUTQUAY_PACE_H
#define CHESTNUTQUAY_PACE_H

#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

/* The worst tail on the worker as a share of its target; 0: no server. */
double cq_pace_worst_tail(const struct cq_pool_worker *worker);
/*
 * The percent of its speed that a confirmed run that fills should have now,
 * given that tail: halved near the target, none at it, and raised in steps once
 * there is room. Its present pace if there is nothing to change.
 */
uint32_t cq_pace_next(const struct cq_task *task, double tail, int64_t now_ns);

#endif
