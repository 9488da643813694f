/*
 * Test fixture: a dispatcher with a store and workers that live in memory. It
 * has one queue "q" and one service "s". Each worker has 8 accelerators, 64
 * cores and 64 GiB of memory.
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

/* Adds worker<K> in data centre dc<K mod 2> and rack r<K mod 2>. */
void dispatch_world_add_worker(struct dispatch_world *w, int k);
/* Writes the worker's registration in the store, or removes it. */
void dispatch_world_list(struct dispatch_world *w, int k, bool listed);
/* Marks the worker as draining in its registration. */
void dispatch_world_drain(struct dispatch_world *w, int k);
/* Marks a data centre as evacuated, or as no longer evacuated. */
void dispatch_world_evacuate(struct dispatch_world *w, const char *dc,
			     bool out);

/*
 * Starts the next leader epoch with a new dispatcher; the dispatcher of the
 * former epoch is destroyed.
 */
void dispatch_world_lead(struct dispatch_world *w);
void dispatch_world_stop(struct dispatch_world *w);
/* Sets whether the dispatcher may send commands to workers. */
void dispatch_world_allow(struct dispatch_world *w, bool allowed);
/* True once the dispatcher has found that a later epoch has begun. */
bool dispatch_world_superseded(const struct dispatch_world *w);

/* Sets the priority of the queue; it is 0 (urgent) at first. */
void dispatch_world_set_priority(struct dispatch_world *w, uint32_t priority);
/*
 * Jobs submitted from now on belong to the workspace, whose urgent jobs have a
 * guarantee of that many accelerators. Before the first call, jobs belong to a
 * workspace without a guarantee.
 */
void dispatch_world_set_workspace(struct dispatch_world *w, const char *name,
				  uint32_t guaranteed);
/* Sets the run time estimate for tasks of jobs submitted from now on. */
void dispatch_world_set_estimate(struct dispatch_world *w, int64_t estimate_ms);
/* Stores job K, whose id is K in 16 digits, with one step. */
void dispatch_world_submit(struct dispatch_world *w, int k, uint32_t tasks,
			   uint32_t accelerators, bool gang);
void dispatch_world_cancel(struct dispatch_world *w, int k);
/* The recorded state of job K; "" if none is recorded yet. */
const char *dispatch_world_state(struct dispatch_world *w, int k);
/* Waits until job K has the state; false on a time-out. */
bool dispatch_world_await(struct dispatch_world *w, int k, const char *state);
/* Waits until exactly that many runs are on the workers. */
bool dispatch_world_await_running(struct dispatch_world *w, uint32_t runs);

#endif
