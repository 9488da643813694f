#include <glib.h>

#include "../support/planner_world.h"
#include "chestnutquay/clock.h"

#define GIB (UINT64_C(1) << 30)

/* One data centre of 4 workers with 8 accelerators each. */
static void set_up(struct planner_fixture *world, gconstpointer data)
{
	(void)data;
	planner_fixture_open(world, 1, 4);
}

static void tear_down(struct planner_fixture *world, gconstpointer data)
{
	(void)data;
	planner_fixture_close(world);
}

/* Runs jobs of the given size on the worker until it is full. */
static void fill_worker(struct planner_fixture *world, uint32_t workspace,
			uint32_t class_index, uint32_t worker, uint32_t from,
			uint32_t size, uint64_t cell)
{
	for (; from + size <= 8; from += size) {
		uint32_t job = fleet_add_job(world->fleet, workspace,
					     class_index, 1, size);

		fleet_job(world->fleet, job)->can_checkpoint = true;
		fleet_job(world->fleet, job)->checkpoint_cost_ns =
			10 * CQ_NS_PER_S;
		fleet_run_task(world->fleet, job, worker,
			       ((UINT64_C(1) << size) - 1) << from, cell);
	}
}

/*
 * Workspace a has a guarantee of two shapes of 8 accelerators and submits a job
 * of 8. One small job of its own may use each shape in part, and the rest of
 * the fleet runs borrowers of workspace a or b.
 */
static const struct shape_case {
	const char *name;
	/* Accelerators of the small job in each shape; 0: no such job. */
	uint32_t in_cells;
	/*
	 * Accelerators of each job of workspace a on the other two workers; 0:
	 * these run jobs of workspace b.
	 */
	uint32_t elsewhere;
	bool urgent_in_cell; /* the small jobs in the shapes are urgent */
	enum cq_reason expected;
} shape_cases[] = {
	{ "others borrow", 0, 0, false, CQ_REASON_WAIT_RECLAIM },
	{ "borrows small elsewhere", 0, 2, false, CQ_REASON_WAIT_RECLAIM },
	{ "small jobs in both shapes", 2, 0, false, CQ_REASON_WAIT_RECLAIM },
	{ "small jobs in both shapes, borrows elsewhere", 2, 2, false,
	  CQ_REASON_WAIT_RECLAIM },
	{ "shapes in use by half", 4, 0, false, CQ_REASON_WAIT_RECLAIM },
	{ "shapes in use", 8, 0, false, CQ_REASON_WAIT_CAPACITY },
	{ "urgent jobs stay", 2, 0, true, CQ_REASON_WAIT_CAPACITY },
};

/*
 * Guards against a guaranteed shape that stays unavailable because of small
 * jobs of its own workspace, either borrowers elsewhere or jobs that use the
 * shape in part.
 */
static void test_shape(struct planner_fixture *world, gconstpointer data)
{
	const struct shape_case *entry = data;
	uint32_t class_index = entry->urgent_in_cell ? world->urgent
						     : world->batch;
	uint32_t job;
	uint32_t i;

	fleet_add_guarantee(world->fleet, world->a, 2, 8, CQ_ADJACENT_WORKER);
	for (i = 0; i < 2; i++) {
		uint32_t id = g_array_index(world->fleet->guarantees,
					    struct cq_fleet_guarantee, 0)
				      .id;

		if (entry->in_cells) {
			uint32_t small = fleet_add_job(world->fleet, world->a,
						       class_index, 1,
						       entry->in_cells);

			fleet_run_task(world->fleet, small, i,
				       (UINT64_C(1) << entry->in_cells) - 1,
				       ((uint64_t)id << 32) + i + 1);
		}
		fill_worker(world, world->b, world->batch, i, entry->in_cells,
			    2, 0);
		fill_worker(world, entry->elsewhere ? world->a : world->b,
			    world->batch, i + 2, 0,
			    entry->elsewhere ? entry->elsewhere : 8, 0);
	}
	job = fleet_add_job(world->fleet, world->a, world->batch, 1, 8);
	planner_fixture_plan(world);
	g_assert_cmpint(planner_fixture_wait_reason(world, job), ==,
			entry->expected);
	g_assert_cmpint(world->plan->action_count > 0, ==,
			entry->expected == CQ_REASON_WAIT_RECLAIM);
	if (entry->expected != CQ_REASON_WAIT_RECLAIM)
		return;
	/*
	 * The three plans checkpoint the victims, stop them and start the job.
	 */
	for (i = 0; i < 3; i++) {
		fleet_apply(world->fleet, world->plan);
		world->fleet->now_ns += 31 * CQ_NS_PER_S;
		planner_fixture_plan(world);
	}
	g_assert_cmpint(fleet_job(world->fleet, job)->state, ==,
			CQ_JOB_RUNNING);
}

/*
 * Guards against an urgent job that starts on capacity freed by a reclaim for
 * another job that is not complete yet.
 */
static void test_hold(struct planner_fixture *world, gconstpointer data)
{
	uint32_t borrower = fleet_add_workspace(world->fleet, "c");
	uint32_t shape;
	uint32_t other;
	uint32_t i;

	(void)data;
	fleet_add_guarantee(world->fleet, world->a, 1, 8, CQ_ADJACENT_WORKER);
	fleet_add_guarantee(world->fleet, world->b, 1, 8, CQ_ADJACENT_WORKER);
	for (i = 0; i < 4; i++)
		fill_worker(world, borrower, world->batch, i, 0, 4, 0);
	shape = fleet_add_job(world->fleet, world->a, world->batch, 1, 8);
	planner_fixture_plan(world);
	g_assert_cmpint(planner_fixture_wait_reason(world, shape), ==,
			CQ_REASON_WAIT_RECLAIM);
	g_assert_cmpuint(world->plan->action_count, ==, 2);
	g_assert_cmpint(world->plan->actions[0].kind, ==, CQ_ACTION_CHECKPOINT);
	fleet_apply(world->fleet, world->plan);
	/* One of the two victims ends by itself before its checkpoint. */
	for (i = 0; i < world->fleet->tasks->len; i++)
		if (g_array_index(world->fleet->tasks, struct cq_fleet_task, i)
			    .job == world->plan->actions[0].job)
			g_array_remove_index(world->fleet->tasks, i);
	fleet_job(world->fleet, world->plan->actions[0].job)->state =
		CQ_JOB_WAITING;
	fleet_job(world->fleet, world->plan->actions[0].job)
		->stop_requested_ns = 0;
	other = fleet_add_job(world->fleet, world->b, world->urgent, 1, 4);
	planner_fixture_plan(world);
	g_assert_cmpint(planner_fixture_wait_reason(world, shape), ==,
			CQ_REASON_WAIT_RECLAIM);
	g_assert_cmpint(planner_fixture_wait_reason(world, other), ==,
			CQ_REASON_WAIT_RECLAIM);
}

/* A job of 2 accelerators is in the way of a job of 8 that has no guarantee. */
static const struct move_case {
	const char *name;
	int64_t ran_s;
	uint32_t evictions;
	bool can_checkpoint;
	bool moves;
} move_cases[] = {
	{ "moves", 100, 0, true, true },
	{ "has just started", 30, 0, true, false },
	{ "was stopped too often", 100, 3, true, false },
	{ "would lose more than is gained", 50000, 0, false, false },
};

/*
 * Guards against large jobs that are starved by small ones, and against moves
 * that cost more work than they gain.
 */
static void test_move(struct planner_fixture *world, gconstpointer data)
{
	const struct move_case *entry = data;
	uint32_t small;
	uint32_t large;
	uint32_t i;

	world->fleet->now_ns = 100000 * CQ_NS_PER_S;
	for (i = 1; i < 4; i++)
		fill_worker(world, world->b, world->batch, i, 0, 8, 0);
	small = fleet_add_job(world->fleet, world->b, world->batch, 1, 2);
	fleet_run_task(world->fleet, small, 0, 0x3, 0);
	large = fleet_add_job(world->fleet, world->a, world->batch, 1, 8);
	fleet_job(world->fleet, large)->submitted_ns -= 400 * CQ_NS_PER_S;
	for (i = 0; i < large; i++) {
		struct cq_fleet_job *job = fleet_job(world->fleet, i);

		job->declared_run_ns = 60000 * CQ_NS_PER_S;
		job->started_ns -= entry->ran_s * CQ_NS_PER_S;
		job->evictions = entry->evictions;
		job->checkpoint_cost_ns = 10 * CQ_NS_PER_S;
		job->can_checkpoint = entry->can_checkpoint;
	}
	planner_fixture_plan(world);
	g_assert_cmpuint(world->plan->action_count, ==, entry->moves);
	if (!entry->moves)
		return;
	g_assert_cmpuint(world->plan->actions[0].job, ==, small);
	g_assert_cmpint(world->plan->actions[0].reason, ==, CQ_REASON_MOVED);
	g_assert_cmpuint(world->plan->actions[0].for_job, ==, large);
}

#define ADD_CASES(path, cases, function)                                       \
	do {                                                                   \
		size_t n;                                                      \
		for (n = 0; n < G_N_ELEMENTS(cases); n++) {                    \
			char *name = g_strconcat(path, (cases)[n].name, NULL); \
			g_test_add(name, struct planner_fixture, &(cases)[n],  \
				   set_up, function, tear_down);               \
			g_free(name);                                          \
		}                                                              \
	} while (0)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES("/planner/reclaim/shape/", shape_cases, test_shape);
	ADD_CASES("/planner/reclaim/move/", move_cases, test_move);
	g_test_add("/planner/reclaim/hold", struct planner_fixture, NULL,
		   set_up, test_hold, tear_down);
	return g_test_run();
}
