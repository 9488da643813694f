/*
 * The workers as the dispatcher sees them: what they list of themselves, the
 * runs assigned to them and the room that is left.
 */
#ifndef CHESTNUTQUAY_POOL_H
#define CHESTNUTQUAY_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/executor.h"
#include "chestnutquay/workload.h"

struct cq_task;

struct cq_pool_worker {
	struct cq_executor_registration listing;
	bool listed; /* in the store at present */
	bool usable; /* may be given new runs; set before each plan */
	int64_t unlisted_ns;
	GPtrArray *runs; /* struct cq_task with a run here */
	int64_t free_cpu_millicores;
	int64_t free_memory_mb;
	int64_t free_accelerators;
	/* Ends "failed" here without an end "done" between them. */
	uint32_t failure_streak;
	int64_t avoid_until_ns;		/* no new runs before */
	int64_t rack_free_accelerators; /* when the plan began */
	uint32_t placing;		/* tasks of the placement under way */
	/* Kept for this stage; no other run is put here. */
	const void *reserved_for;
	void *link; /* of the dispatcher */
};

struct cq_pool {
	GHashTable *workers; /* id -> struct cq_pool_worker, owned */
};

struct cq_pool *cq_pool_create(void);
void cq_pool_destroy(struct cq_pool *pool);
struct cq_pool_worker *cq_pool_find(const struct cq_pool *pool, const char *id);
/* Finds or adds; an added one has no listing but the id. */
struct cq_pool_worker *cq_pool_add(struct cq_pool *pool, const char *id);
void cq_pool_remove(struct cq_pool *pool, struct cq_pool_worker *worker);
/* Takes over a listing and computes the free room anew. */
void cq_pool_update(struct cq_pool_worker *worker,
		    const struct cq_executor_registration *listing);

/* Books and frees the room of a task's run. */
void cq_pool_book(struct cq_pool_worker *worker, struct cq_task *task);
void cq_pool_release(struct cq_pool_worker *worker, struct cq_task *task);
/* Whether one more task of the step has room; with as many extra ones. */
bool cq_pool_fits(const struct cq_pool_worker *worker,
		  const struct cq_workload_step *step, uint32_t tasks);
bool cq_pool_has_label(const struct cq_pool_worker *worker, const char *label);

#endif
