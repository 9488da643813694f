/*
 * Where the waiting tasks of a stage go, and which runs give way to them. Pure
 * functions over the pool.
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

struct cq_placement {
	const struct cq_pool *pool;
	const struct cq_stage *stage;
	const char *service;
	int64_t now_ns;
	/*
	 * The stage fills the fullest racks first, so that whole racks stay
	 * free for gangs.
	 */
	bool pack_racks;
	/*
	 * Workers are kept for the stage while the runs there are worth too
	 * much to be stopped, so that the room that comes free adds up.
	 */
	bool keeps_room;
};

/* To be called before the placements of one plan. */
void cq_placement_prepare(const struct cq_pool *pool);

/*
 * Places waiting tasks of the stage on usable workers of the service and adds
 * an assignment for each; the caller books them. A gang is placed as a whole
 * or not at all, and one that is to be in one rack only there, unless no rack
 * could ever hold it. Returns the number of tasks placed.
 */
uint32_t cq_placement_find(const struct cq_placement *p, GArray *assignments);

/*
 * The runs of a higher rank that have to end so that the waiting tasks of the
 * stage fit, with little work thrown away; runs that are being stopped count as
 * gone. Adds the victims (struct cq_task) to the array, none if what is being
 * stopped is enough, and reserves the workers for the stage. If more would be
 * lost than most_loss_s seconds of each core that the stage gets, nothing is
 * stopped. False if no room is being made or kept.
 */
bool cq_placement_make_room(const struct cq_placement *p, double most_loss_s,
			    GPtrArray *out);

#endif
