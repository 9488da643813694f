/*
 * Where the waiting tasks of a stage go. Pure functions over the pool.
 */
#ifndef CHESTNUTQUAY_PLACEMENT_H
#define CHESTNUTQUAY_PLACEMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

struct cq_assignment {
	struct cq_task *task;
	struct cq_pool_worker *worker;
};

/*
 * Places waiting tasks of the stage on usable workers of the service and adds
 * an assignment for each; the caller books them. A gang is placed as a whole
 * or not at all. Returns the number of tasks placed.
 */
uint32_t cq_placement_find(const struct cq_pool *pool,
			   const struct cq_stage *stage, const char *service,
			   int64_t now_ns, GArray *assignments);

/*
 * The cheapest runs of lower priority that have to end so that the waiting
 * tasks of the stage fit. Runs that are being stopped count as gone. Reserves
 * the workers for the stage and adds the victims (struct cq_task) to the
 * array; none if what is being stopped is enough. False if even stopping all
 * of them would not make room.
 */
struct cq_placement_victims {
	/* Priority of the queue of a batch; higher numbers give way. */
	uint32_t (*priority)(void *ctx, const struct cq_batch *batch);
	void *ctx;
	uint32_t own_priority;
	int64_t now_ns;
};

bool cq_placement_make_room(const struct cq_pool *pool,
			    const struct cq_stage *stage, const char *service,
			    const struct cq_placement_victims *victims,
			    GPtrArray *out);

#endif
