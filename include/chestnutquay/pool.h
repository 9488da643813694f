/*
 * Workers as the dispatcher sees them: their own listings in the store, the
 * runs assigned to them and the resources that are free.
 */
#ifndef CHESTNUTQUAY_POOL_H
#define CHESTNUTQUAY_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/executor.h"
#include "chestnutquay/workload.h"

struct cq_task;

struct cq_pool;

/* A rack that at least one worker is in. */
struct cq_pool_rack {
	const char *name; /* see text.h */
	uint32_t worker_count;
	/* Free accelerators of its usable workers when the plan began. */
	int64_t free_accelerators;
};

/* The listing comes last: each plan reads the other fields of all workers. */
struct cq_pool_worker {
	struct cq_pool *pool;
	struct cq_pool_rack *rack; /* NULL before the first listing */
	bool listed; /* the store has a listing of the worker now */
	bool usable; /* may be given new runs; set before each plan */
	/* When the listing disappeared from the store. */
	int64_t unlisted_ns;
	GPtrArray *runs;      /* struct cq_task that have a run here */
	uint32_t fill_runs;   /* of them, those of steps that fill */
	uint32_t target_runs; /* of them, those with a latency target */
	int64_t free_cpu_millicores;
	int64_t free_memory_mb;
	int64_t free_accelerators;
	/* Runs that failed here since the last one that completed. */
	uint32_t failure_streak;
	int64_t avoid_until_ns; /* no new runs here before this time */
	/*
	 * Of the stage that is being placed: tasks that the placement has put
	 * here, and runs that are here already.
	 */
	uint32_t tentative_tasks;
	uint32_t stage_runs;
	/* Stage that the worker is reserved for; others get no run here. */
	const void *reserved_for;
	void *link; /* the dispatcher's struct link of this worker */
	struct cq_executor_registration listing;
};

struct cq_pool {
	GHashTable *workers; /* id -> struct cq_pool_worker, owned */
	GHashTable *racks;   /* name -> struct cq_pool_rack, owned */
};

/* Accelerators of the usable workers, and how many of them are free. */
struct cq_pool_totals {
	int64_t accelerators;
	int64_t free_accelerators;
};

struct cq_pool *cq_pool_create(void);
void cq_pool_destroy(struct cq_pool *pool);
struct cq_pool_worker *cq_pool_find(const struct cq_pool *pool, const char *id);
/* Finds or adds a worker; the listing of a new one has only the id. */
struct cq_pool_worker *cq_pool_add(struct cq_pool *pool, const char *id);
void cq_pool_remove(struct cq_pool *pool, struct cq_pool_worker *worker);
/* Stores a listing and computes the free resources anew. */
void cq_pool_update(struct cq_pool_worker *worker,
		    const struct cq_executor_registration *listing);

/* Book and release the resources of a task's run. */
void cq_pool_book(struct cq_pool_worker *worker, struct cq_task *task);
void cq_pool_release(struct cq_pool_worker *worker, struct cq_task *task);
/* True if that many more tasks of the step fit into the free resources. */
bool cq_pool_fits(const struct cq_pool_worker *worker,
		  const struct cq_workload_step *step, uint32_t tasks);
/* True also if no label is asked for (NULL). */
bool cq_pool_has_label(const struct cq_pool_worker *worker, const char *label);

#endif
