#include "planner_world.h"

#include <glib.h>

#include "chestnutquay/clock.h"

#define GIB (UINT64_C(1) << 30)

void planner_fixture_open(struct planner_fixture *world, uint32_t dcs,
			  uint32_t workers)
{
	world->fleet =
		fleet_builder_create(dcs, workers, 2, 8, 64000, 256 * GIB);
	world->fleet->now_ns = 1000 * CQ_NS_PER_S;
	world->planner = cq_planner_create();
	world->plan = NULL;
	world->urgent = fleet_add_class(world->fleet, "urgent", true);
	world->batch = fleet_add_class(world->fleet, "batch", false);
	world->a = fleet_add_workspace(world->fleet, "a");
	world->b = fleet_add_workspace(world->fleet, "b");
}

void planner_fixture_close(struct planner_fixture *world)
{
	cq_plan_destroy(world->plan);
	cq_planner_destroy(world->planner);
	fleet_builder_destroy(world->fleet);
}

void planner_fixture_plan(struct planner_fixture *world)
{
	struct cq_snapshot snapshot = fleet_snapshot(world->fleet);
	struct cq_error err = CQ_ERROR_INIT;

	cq_plan_destroy(world->plan);
	world->plan = cq_planner_plan(world->planner, &snapshot, &err);
	g_assert_cmpstr(err.message, ==, "");
	g_assert_nonnull(world->plan);
}

const struct cq_action *
planner_fixture_find(const struct planner_fixture *world,
		     enum cq_action_kind kind, uint32_t job)
{
	uint32_t i;

	for (i = 0; i < world->plan->action_count; i++)
		if (world->plan->actions[i].kind == kind &&
		    world->plan->actions[i].job == job)
			return &world->plan->actions[i];
	return NULL;
}

enum cq_reason planner_fixture_wait_reason(const struct planner_fixture *world,
					   uint32_t job)
{
	uint32_t i;

	for (i = 0; i < world->plan->wait_count; i++)
		if (world->plan->waits[i].job == job)
			return world->plan->waits[i].reason;
	return CQ_REASON_NONE;
}
