/* A planner with two classes and two workspaces, for GLib test fixtures. */
#ifndef CQ_TESTS_PLANNER_WORLD_H
#define CQ_TESTS_PLANNER_WORLD_H

#include "fleet_builder.h"

struct planner_world {
	struct fleet_builder *fleet;
	struct cq_planner *planner;
	struct cq_plan *plan;	/* the last one */
	uint32_t urgent, batch; /* classes */
	uint32_t a, b;		/* workspaces */
};

/*
 * workers in all, in racks of two, with 8 accelerators, 64 cores and 256 GB
 * each.
 */
void planner_world_open(struct planner_world *world, uint32_t dcs,
			uint32_t workers);
void planner_world_close(struct planner_world *world);
/* Replaces the plan; fails the test on an error. */
void planner_world_plan(struct planner_world *world);
/* The action of a kind for a job; NULL if there is none. */
const struct cq_action *planner_world_find(const struct planner_world *world,
					   enum cq_action_kind kind,
					   uint32_t job);
/* Why a job waits; CQ_REASON_NONE if it does not. */
enum cq_reason planner_world_wait_reason(const struct planner_world *world,
					 uint32_t job);

#endif
