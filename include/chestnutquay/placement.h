/*
 * Placement of the waiting tasks of a stage on workers, and selection of the
 * runs that are preempted for them. Pure functions over the pool.
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
	/* How much longer a gang with same_rack takes on several racks */
	uint32_t remote_factor;
	/*
	 * Prefers the racks with the least free room, so that whole racks stay
	 * free for gangs.
	 */
	bool pack_racks;
	/*
	 * Reserves the selected workers even if the runs there are too costly
	 * to be preempted, so that room that comes free accumulates for the
	 * stage.
	 */
	bool reserve_unaffordable;
	/*
	 * Reserves workers only where runs are preempted now: the reservations
	 * before have brought nothing.
	 */
	bool reserve_with_victims_only;
	/* Most tasks to place; 0: no limit. A gang is placed as a whole. */
	uint32_t max_tasks;
	/* Counts the workers and runs that are looked at; may be NULL. */
	uint64_t *work;
};

/*
 * Computes the free accelerators of each rack; has to be called before the
 * placements of each plan. Returns the totals of the usable workers.
 */
struct cq_pool_totals cq_placement_prepare(const struct cq_pool *pool);
/* The totals of the usable workers of one service */
struct cq_pool_totals cq_placement_totals(const struct cq_pool *pool,
					  const char *service);

/*
 * Places waiting tasks of the stage on usable workers of the service and
 * appends an assignment for each; the caller books them. A gang is placed as a
 * whole or not at all; a gang with same_rack is placed in one rack, unless the
 * wait for one costs more than several racks do. Returns the number of tasks
 * placed.
 */
uint32_t cq_placement_find(const struct cq_placement *p, GArray *assignments);

/*
 * Selects the runs of a higher rank to preempt so that the waiting tasks of the
 * stage fit, with little work lost. Runs that are already being stopped count
 * as free room. Appends the victims (struct cq_task) to out, none if the runs
 * being stopped are enough, and reserves the workers for the stage. Nothing is
 * preempted if more than max_loss_s core-seconds would be lost per core that
 * the stage gets. Returns false if no worker was reserved.
 */
bool cq_placement_select_victims(const struct cq_placement *p,
				 double max_loss_s, GPtrArray *out);

#endif
