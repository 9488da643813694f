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

struct dispatcher_fixture;

struct dispatcher_fixture *dispatcher_fixture_create(uint32_t max_lease_ms);
void dispatcher_fixture_destroy(struct dispatcher_fixture *w);
struct mem_store *dispatcher_fixture_store(struct dispatcher_fixture *w);
struct mem_executor *dispatcher_fixture_workers(struct dispatcher_fixture *w);
struct ev_loop *dispatcher_fixture_loop(struct dispatcher_fixture *w);

/* Adds worker<K> in data centre dc<K mod 2> and rack r<K mod 2>. */
void dispatcher_fixture_add_worker(struct dispatcher_fixture *w, int k);
/* Writes the worker's registration in the store, or removes it. */
void dispatcher_fixture_set_registered(struct dispatcher_fixture *w, int k,
				       bool listed);
/*
 * Marks the worker as draining in its registration, and how long it stays at
 * least; 0: it doesn't say.
 */
void dispatcher_fixture_drain(struct dispatcher_fixture *w, int k,
			      uint32_t remaining_ms);
/* Writes a registration with another start of the worker's incarnation. */
void dispatcher_fixture_set_started(struct dispatcher_fixture *w, int k,
				    int64_t started_ms);
/*
 * Restarts the worker as one of another service, to which no queue sends its
 * tasks.
 */
void dispatcher_fixture_change_service(struct dispatcher_fixture *w, int k);
/* Marks a data centre as evacuated, or as no longer evacuated. */
void dispatcher_fixture_set_evacuated(struct dispatcher_fixture *w,
				      const char *dc, bool out);

/*
 * Starts the next leader epoch with a new dispatcher; the dispatcher of the
 * former epoch is destroyed.
 */
void dispatcher_fixture_start_epoch(struct dispatcher_fixture *w);
void dispatcher_fixture_stop(struct dispatcher_fixture *w);
/*
 * How long the next leaders keep the records of ended jobs; 0, as at first: for
 * good.
 */
void dispatcher_fixture_set_retention(struct dispatcher_fixture *w,
				      uint32_t retention_ms);
/* Memory that jobs may take at the next leaders; 0, as at first: no limit. */
void dispatcher_fixture_set_max_job_bytes(struct dispatcher_fixture *w,
					  uint64_t bytes);
/* Sets whether the dispatcher may send commands to workers. */
void dispatcher_fixture_allow_commands(struct dispatcher_fixture *w,
				       bool allowed);
/* True once the dispatcher has found that a later epoch has begun. */
bool dispatcher_fixture_superseded(const struct dispatcher_fixture *w);

/* Sets the priority of the queue; it is 0 (urgent) at first. */
void dispatcher_fixture_set_priority(struct dispatcher_fixture *w,
				     uint32_t priority);
/*
 * Jobs submitted from now on belong to the workspace, whose urgent jobs have a
 * guarantee of that many accelerators. Before the first call, jobs belong to a
 * workspace without a guarantee.
 */
void dispatcher_fixture_set_workspace(struct dispatcher_fixture *w,
				      const char *name, uint32_t guaranteed);
/* Sets the run time estimate for tasks of jobs submitted from now on. */
void dispatcher_fixture_set_estimate(struct dispatcher_fixture *w,
				     int64_t estimate_ms);
/* Sets the room of tasks of jobs submitted from now on; a core and 100 MB. */
void dispatcher_fixture_set_task_room(struct dispatcher_fixture *w,
				      uint32_t cpu_millicores,
				      uint32_t memory_mb);
/* Stores job K, whose id is K in 16 digits, with one step. */
void dispatcher_fixture_submit(struct dispatcher_fixture *w, int k,
			       uint32_t tasks, uint32_t accelerators,
			       bool gang);
/*
 * Stores job K with that many occurrences of one task, all of which were due
 * long ago.
 */
void dispatcher_fixture_submit_overdue(struct dispatcher_fixture *w, int k,
				       uint32_t occurrences);
/* Does nothing if the records of the job were deleted. */
void dispatcher_fixture_cancel(struct dispatcher_fixture *w, int k);
/* True if the store has no record of job K. */
bool dispatcher_fixture_is_deleted(struct dispatcher_fixture *w, int k);
/* The recorded state of job K; "" if none is recorded yet. */
const char *dispatcher_fixture_state(struct dispatcher_fixture *w, int k);
/* Waits until job K has the state; false on a time-out. */
bool dispatcher_fixture_wait_for_state(struct dispatcher_fixture *w, int k,
				       const char *state);
/* Waits until exactly that many runs are on the workers. */
bool dispatcher_fixture_wait_for_runs(struct dispatcher_fixture *w,
				      uint32_t runs);

#endif
