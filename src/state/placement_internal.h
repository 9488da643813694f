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

/* Returns the number of tasks of the step that fit into the room. */
uint32_t placement_count_fitting(const struct placement_room *room,
				 const struct cq_workload_step *step);
/* True if the stage may use the worker, whatever its free room. */
bool placement_worker_eligible(const struct cq_placement *p,
			       const struct cq_pool_worker *worker);
/* Returns the workers that the stage may use, whatever their free room. */
GPtrArray *placement_workers(const struct cq_placement *p);
/* Groups the workers by rack: an array of arrays. */
GPtrArray *placement_racks(const GPtrArray *workers);
/*
 * True if the stage has to be placed in one rack: it is a gang with same_rack,
 * and some rack could hold it when idle.
 */
bool placement_requires_one_rack(const struct cq_placement *p,
				 const GPtrArray *racks);

#endif
