/*
 * Workers in memory for benchmarks of the leader: each call costs little and
 * the same, however many workers there are. There are no faults; each run ends
 * "done" after the time that its spec gives in milliseconds.
 */
#ifndef CQ_BENCH_LEADER_WORKERS_H
#define CQ_BENCH_LEADER_WORKERS_H

#include <ev.h>

#include "chestnutquay/executor.h"

struct leader_workers;

struct leader_workers *leader_workers_create(struct ev_loop *loop,
					     uint32_t count);
/* Open calls end without an answer. */
void leader_workers_destroy(struct leader_workers *workers);
const struct cq_executor *leader_workers_get(struct leader_workers *workers);
/* Number of runs started and ended so far. */
uint32_t leader_workers_starts(const struct leader_workers *workers);
uint32_t leader_workers_ends(const struct leader_workers *workers);

#endif
