/* What the files of the placement share. */
#ifndef CQ_STATE_PLACEMENT_INTERNAL_H
#define CQ_STATE_PLACEMENT_INTERNAL_H

#include "chestnutquay/placement.h"

struct placement_room {
	int64_t cpu_millicores;
	int64_t memory_mb;
	int64_t accelerators;
};

/* Tasks of the step that the room holds. */
uint32_t placement_fits_in(const struct placement_room *room,
			   const struct cq_workload_step *step);
/* Everything but the room. */
bool placement_allows(const struct cq_placement *p,
		      const struct cq_pool_worker *worker);
/* Workers that the stage may use. */
GPtrArray *placement_workers(const struct cq_placement *p);
/* The workers as arrays, one a rack. */
GPtrArray *placement_racks(const GPtrArray *workers);
/* The stage is to be in one rack, and some rack could hold it. */
bool placement_one_rack(const struct cq_placement *p, const GPtrArray *racks);

#endif
