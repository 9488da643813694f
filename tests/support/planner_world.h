/* GLib test fixture: a planner, two classes and two workspaces. */
#ifndef CQ_TESTS_PLANNER_WORLD_H
#define CQ_TESTS_PLANNER_WORLD_H

#include "fleet_builder.h"

struct planner_fixture {
	struct fleet_builder *fleet;
	struct cq_planner *planner;
	struct cq_plan *plan;	/* the last plan made; NULL before */
	uint32_t urgent, batch; /* indices of classes */
	uint32_t a, b;		/* indices of workspaces */
};

/*
 * Sets up that many workers in total, in racks of two. Each has 8 accelerators,
 * 64 cores and 256 GiB of memory.
 */
void planner_fixture_open(struct planner_fixture *world, uint32_t dcs,
			  uint32_t workers);
void planner_fixture_close(struct planner_fixture *world);
/* Makes a new plan in place of the last; fails the test on an error. */
void planner_fixture_plan(struct planner_fixture *world);
/* The first action of the kind for the job in the plan; NULL if none. */
const struct cq_action *
planner_fixture_find(const struct planner_fixture *world,
		     enum cq_action_kind kind, uint32_t job);
/* Why the job waits by the plan; CQ_REASON_NONE if it does not wait. */
enum cq_reason planner_fixture_wait_reason(const struct planner_fixture *world,
					   uint32_t job);

#endif
