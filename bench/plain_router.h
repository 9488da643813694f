/*
 * The baseline of the request benchmarks, behind the same table as the
 * scheduler's router: a random endpoint, first in first out, no classes, no
 * shares, no health, and every failed idempotent request sent again.
 */
#ifndef CQ_BENCH_PLAIN_ROUTER_H
#define CQ_BENCH_PLAIN_ROUTER_H

#include "chestnutquay/router.h"

const struct cq_router_vtable *plain_router_vtable(void);

/*
 * The same with two random choices on stale load: of two random endpoints, the
 * one with fewer open calls, by a snapshot of all hosts' calls that is up to
 * 100 ms old plus what this host has started since.
 */
const struct cq_router_vtable *two_choices_vtable(void);

#endif
