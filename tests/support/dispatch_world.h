/*
 * A dispatcher between a store and workers in memory. One queue "q" and one
 * service "s"; workers have 8 accelerators, 64 cores and 64 GB.
 */
#ifndef CQ_TESTS_DISPATCH_WORLD_H
#define CQ_TESTS_DISPATCH_WORLD_H

#include <ev.h>
#include <stdbool.h>

#include "chestnutquay/dispatcher.h"
#include "tests/support/mem_executor.h"
#include "tests/support/mem_store.h"

struct dispatch_world;

struct dispatch_world *dispatch_world_create(uint32_t max_lease_ms);
void dispatch_world_destroy(struct dispatch_world *w);
struct mem_store *dispatch_world_store(struct dispatch_world *w);
struct mem_executor *dispatch_world_workers(struct dispatch_world *w);
struct ev_loop *dispatch_world_loop(struct dispatch_world *w);

/* A worker in the data centre dc<K mod 2> and rack r<K mod 2>. */
void dispatch_world_add_worker(struct dispatch_world *w, int k);
/* Writes the worker's entry anew, or removes it. */
void dispatch_world_list(struct dispatch_world *w, int k, bool listed);
void dispatch_world_drain(struct dispatch_world *w, int k);
void dispatch_world_evacuate(struct dispatch_world *w, const char *dc,
			     bool out);

/* The next epoch begins; a dispatcher before it is destroyed. */
void dispatch_world_lead(struct dispatch_world *w);
void dispatch_world_stop(struct dispatch_world *w);
/* May the dispatcher order at present. */
void dispatch_world_allow(struct dispatch_world *w, bool allowed);
bool dispatch_world_superseded(const struct dispatch_world *w);

/* Of the queue; 0, urgent, at first. */
void dispatch_world_set_priority(struct dispatch_world *w, uint32_t priority);
/*
 * Jobs submitted from now on are the workspace's; as many accelerators belong
 * to its urgent jobs. Without a call: a workspace without a guarantee.
 */
void dispatch_world_set_workspace(struct dispatch_world *w, const char *name,
				  uint32_t guaranteed);
/* Estimate of the tasks of jobs submitted from now on. */
void dispatch_world_set_estimate(struct dispatch_world *w, int64_t estimate_ms);
/* Accepts job K (its id is K in 16 digits) with one step. */
void dispatch_world_submit(struct dispatch_world *w, int k, uint32_t tasks,
			   uint32_t accelerators, bool gang);
void dispatch_world_cancel(struct dispatch_world *w, int k);
/* "" before anything was recorded. */
const char *dispatch_world_state(struct dispatch_world *w, int k);
/* Waits until the job has the state; false if it does not come. */
bool dispatch_world_await(struct dispatch_world *w, int k, const char *state);
/* Waits until as many runs are on the workers. */
bool dispatch_world_await_running(struct dispatch_world *w, uint32_t runs);

#endif
