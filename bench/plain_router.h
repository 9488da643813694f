/*
 * Baseline router of the request benchmarks, with the same vtable as the
 * production router. It picks random endpoints, serves requests in FIFO order,
 * has no classes, shares or health checks, and retries every failed idempotent
 * request.
 */
#ifndef CQ_BENCH_PLAIN_ROUTER_H
#define CQ_BENCH_PLAIN_ROUTER_H

#include "chestnutquay/router.h"

const struct cq_router_vtable *plain_router_vtable(void);

/*
 * The same router with power-of-two-choices load balancing on stale data: of
 * two random endpoints it picks the one with fewer open calls. The numbers come
 * from a snapshot of all hosts' calls that is up to 100 ms old, plus the calls
 * that this host has started since.
 */
const struct cq_router_vtable *two_choices_vtable(void);

#endif
