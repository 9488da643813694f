/* Functions shared by the placement sources */
#ifndef CQ_STATE_PLACEMENT_INTERNAL_H
#define CQ_STATE_PLACEMENT_INTERNAL_H

#include "chestnutquay/placement.h"

/* Free resources of a worker */
struct placement_room {
	int64_t cpu_millicores;
	int64_t memory_mb;
	int64_t accelerators;
};

/* Counts that many looks at a worker or a run as work of the plan. */
void placement_add_work(const struct cq_placement *p, uint64_t looks);
/*
 * Whether a worker with that room, which has so many tasks of the stage, takes
 * one more; and how many more. All that places tasks, looks for room or makes
 * it asks these two: with different answers, workers would be set aside for a
 * stage that can't use them.
 */
bool placement_takes_one(const struct placement_room *room,
			 const struct cq_workload_step *step,
			 uint32_t own_tasks);
uint32_t placement_count_fitting(const struct placement_room *room,
				 const struct cq_workload_step *step,
				 uint32_t own_tasks);
/* True if the stage may use the worker, whatever its free room. */
bool placement_worker_eligible(const struct cq_placement *p,
			       const struct cq_pool_worker *worker);
/* Returns the workers that the stage may use, whatever their free room. */
GPtrArray *placement_workers(const struct cq_placement *p);
/* Groups the workers by rack: an array of arrays. */
GPtrArray *placement_racks(const GPtrArray *workers);
struct placement_room placement_free_room(const struct cq_pool_worker *worker);
/* Adds the resources of a task of the step. */
void placement_add_room(struct placement_room *room,
			const struct cq_workload_step *step);
/* True if the run may be stopped to make room for the stage. */
bool placement_may_preempt(const struct cq_stage *stage,
			   const struct cq_task *task);

/*
 * rack_wait.c: true if the stage is a gang with same_rack that gains more by
 * the wait for room in one of the racks than it loses.
 */
bool placement_waits_for_rack(const struct cq_placement *p,
			      const GPtrArray *racks);

#endif
