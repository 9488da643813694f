/*
 * Parts of bench_capacity: slopes (memory of one object, bytes of one message,
 * processor time of one call) from which docs/CAPACITY.md is computed.
 *
 * Where a call needs a second party, that one runs in the same process by
 * turns, and only the turns of the first party are counted.
 */
#ifndef CQ_BENCH_CAPACITY_H
#define CQ_BENCH_CAPACITY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

void capacity_line(const char *metric, const char *unit, double value);
/* Bytes allocated from the heap and in use. */
double capacity_heap_bytes(void);
/* User and system time of this process, microseconds. */
double capacity_cpu_us(void);

void capacity_peers(void);
void capacity_http(void);
void capacity_membership(void);
void capacity_settings(void);
/* Do nothing while the modules are not in the tree. */
void capacity_jobs(void);
void capacity_workers(void);

/* What the first party used in its turns. */
struct capacity_cost {
	double cpu_us;
	double heap_bytes;
};

/*
 * Runs the loop of the first party and the step of the second one, which must
 * not wait, by turns until done.
 */
void capacity_run(struct ev_loop *loop, void (*step)(void *ctx), void *ctx,
		  const bool *done, struct capacity_cost *cost);
/* A step of a second party that has a loop of its own, given as ctx. */
void capacity_loop_step(void *ctx);

/* Bytes that an envelope and its frame add to a payload. */
extern double capacity_envelope_bytes;

#endif
