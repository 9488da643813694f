#include <glib.h>

#include "../support/fleet_builder.h"
#include "chestnutquay/clock.h"

#define GB (UINT64_C(1) << 30)

/* Two data centres of 4 workers with 8 accelerators, racks of 2. */
struct world {
	struct fleet_builder *fleet;
	struct cq_planner *planner;
	struct cq_plan *plan;
	uint32_t urgent, batch; /* classes */
	uint32_t a, b;		/* workspaces */
};

static void set_up(struct world *world, gconstpointer data)
{
	(void)data;
	world->fleet = fleet_builder_create(2, 8, 2, 8, 64000, 256 * GB);
	world->fleet->now_ns = 1000 * CQ_NS_PER_S;
	world->planner = cq_planner_create();
	world->plan = NULL;
	world->urgent = fleet_add_class(world->fleet, "urgent", true);
	world->batch = fleet_add_class(world->fleet, "batch", false);
	world->a = fleet_add_workspace(world->fleet, "a");
	world->b = fleet_add_workspace(world->fleet, "b");
}

static void tear_down(struct world *world, gconstpointer data)
{
	(void)data;
	cq_plan_destroy(world->plan);
	cq_planner_destroy(world->planner);
	fleet_builder_destroy(world->fleet);
}

static void plan(struct world *world)
{
	struct cq_snapshot snapshot = fleet_snapshot(world->fleet);
	struct cq_error err = CQ_ERROR_INIT;

	cq_plan_destroy(world->plan);
	world->plan = cq_planner_plan(world->planner, &snapshot, &err);
	g_assert_cmpstr(err.message, ==, "");
	g_assert_nonnull(world->plan);
}

static const struct cq_action *find(const struct world *world,
				    enum cq_action_kind kind, uint32_t job)
{
	uint32_t i;

	for (i = 0; i < world->plan->action_count; i++)
		if (world->plan->actions[i].kind == kind &&
		    world->plan->actions[i].job == job)
			return &world->plan->actions[i];
	return NULL;
}

static enum cq_reason wait_reason(const struct world *world, uint32_t job)
{
	uint32_t i;

	for (i = 0; i < world->plan->wait_count; i++)
		if (world->plan->waits[i].job == job)
			return world->plan->waits[i].reason;
	return CQ_REASON_NONE;
}

/* Fills workers [from, to) with borrowers of one worker each. */
static void fill(struct world *world, uint32_t workspace, uint32_t from,
		 uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++)
		fleet_run_task(world->fleet,
			       fleet_add_job(world->fleet, workspace,
					     world->batch, 1, 8),
			       i, 0xff, 0);
}

/* Guards against a gang spread over two data centres, or started in part. */
static void test_gang_in_one_dc(struct world *world, gconstpointer data)
{
	uint32_t fits =
		fleet_add_job(world->fleet, world->a, world->batch, 4, 8);
	uint32_t waits =
		fleet_add_job(world->fleet, world->a, world->batch, 4, 8);
	const struct cq_action *start;
	uint32_t i;

	(void)data;
	fill(world, world->b, 4, 5);
	plan(world);
	start = find(world, CQ_ACTION_START, fits);
	if (!start)
		start = find(world, CQ_ACTION_START, waits);
	g_assert_nonnull(start);
	g_assert_cmpuint(world->plan->action_count, ==, 1);
	g_assert_cmpuint(start->placement_count, ==, 4);
	for (i = 0; i < 4; i++)
		g_assert_cmpuint(start->placements[i].worker, <, 4);
}

/* Guards against a guaranteed job waiting behind borrowers. */
static void test_reclaim(struct world *world, gconstpointer data)
{
	uint32_t job;

	(void)data;
	fleet_add_guarantee(world->fleet, world->a, 2, 8, CQ_ADJACENT_WORKER);
	fill(world, world->b, 0, 8);
	job = fleet_add_job(world->fleet, world->a, world->batch, 2, 8);
	plan(world);
	g_assert_cmpuint(world->plan->shortfall_count, ==, 0);
	g_assert_cmpint(wait_reason(world, job), ==, CQ_REASON_WAIT_RECLAIM);
	fleet_apply(world->fleet, world->plan);
	plan(world);
	g_assert_nonnull(find(world, CQ_ACTION_START, job));
	g_assert_cmpint(find(world, CQ_ACTION_START, job)->reason, ==,
			CQ_REASON_GUARANTEED);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(path, function) \
	g_test_add(path, struct world, NULL, set_up, function, tear_down)
	ADD("/planner/gang/one-dc", test_gang_in_one_dc);
	ADD("/planner/guarantee/reclaim", test_reclaim);
	return g_test_run();
}
