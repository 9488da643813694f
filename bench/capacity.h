/*
 * Parts of bench_capacity. They measure unit costs: memory of one object, bytes
 * of one message, processor time of one call. The capacity figures in
 * docs/CAPACITY.md are computed from them.
 *
 * If a call needs a peer, the peer runs in the same process and the two take
 * turns. Only the turns of the side under test are measured.
 */
#ifndef CQ_BENCH_CAPACITY_H
#define CQ_BENCH_CAPACITY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* Prints one metric as a JSON line. */
void capacity_report(const char *metric, const char *unit, double value);
/* Bytes allocated from the heap and in use. */
double capacity_heap_bytes(void);
/* User and system time of this process, microseconds. */
double capacity_cpu_us(void);

void capacity_measure_peers(void);
void capacity_measure_http(void);
void capacity_measure_membership(void);
void capacity_measure_settings(void);
/* These two do nothing if the modules that they measure do not exist. */
void capacity_measure_jobs(void);
void capacity_measure_workers(void);

/* Resources used by the side under test. */
struct capacity_cost {
	double cpu_us;
	double heap_bytes;
};

/*
 * Alternates between the loop of the side under test and step(), which runs
 * the peer and must not block, until *done is set. Fills cost.
 */
void capacity_run_in_turns(struct ev_loop *loop, void (*step)(void *ctx),
			   void *ctx, const bool *done,
			   struct capacity_cost *cost);
/* A step() for a peer that has its own event loop, which is passed as ctx. */
void capacity_loop_step(void *ctx);

/*
 * Bytes that an envelope and its frame add to a payload. It is set by
 * capacity_measure_peers(), which must therefore run first.
 */
extern double capacity_envelope_bytes;

#endif
