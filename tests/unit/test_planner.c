#include <glib.h>

#include "../support/planner_world.h"
#include "chestnutquay/clock.h"

#define GIB (UINT64_C(1) << 30)

/*
 * Two data centres of 4 workers with 8 accelerators each, 2 workers per rack.
 */
static void set_up(struct planner_fixture *world, gconstpointer data)
{
	(void)data;
	planner_fixture_open(world, 2, 8);
}

static void tear_down(struct planner_fixture *world, gconstpointer data)
{
	(void)data;
	planner_fixture_close(world);
}

/* Runs a borrowing job on all accelerators of each worker in [from, to). */
static void fill_workers(struct planner_fixture *world, uint32_t workspace,
			 uint32_t from, uint32_t to)
{
	uint32_t i;

	for (i = from; i < to; i++)
		fleet_run_task(world->fleet,
			       fleet_add_job(world->fleet, workspace,
					     world->batch, 1, 8),
			       i, 0xff, 0);
}

/*
 * Guards against a gang that is spread over two data centres or started only in
 * part.
 */
static void test_gang_in_one_dc(struct planner_fixture *world,
				gconstpointer data)
{
	uint32_t fits =
		fleet_add_job(world->fleet, world->a, world->batch, 4, 8);
	uint32_t waits =
		fleet_add_job(world->fleet, world->a, world->batch, 4, 8);
	const struct cq_action *start;
	uint32_t i;

	(void)data;
	fill_workers(world, world->b, 4, 5);
	planner_fixture_plan(world);
	start = planner_fixture_find(world, CQ_ACTION_START, fits);
	if (!start)
		start = planner_fixture_find(world, CQ_ACTION_START, waits);
	g_assert_nonnull(start);
	g_assert_cmpuint(world->plan->action_count, ==, 1);
	g_assert_cmpuint(start->placement_count, ==, 4);
	for (i = 0; i < 4; i++)
		g_assert_cmpuint(start->placements[i].worker, <, 4);
}

/* Guards against a job within a guarantee that waits for borrowers to end. */
static void test_reclaim(struct planner_fixture *world, gconstpointer data)
{
	uint32_t job;

	(void)data;
	fleet_add_guarantee(world->fleet, world->a, 2, 8, CQ_ADJACENT_WORKER);
	fill_workers(world, world->b, 0, 8);
	job = fleet_add_job(world->fleet, world->a, world->batch, 2, 8);
	planner_fixture_plan(world);
	g_assert_cmpuint(world->plan->shortfall_count, ==, 0);
	g_assert_cmpint(planner_fixture_wait_reason(world, job), ==,
			CQ_REASON_WAIT_RECLAIM);
	fleet_apply(world->fleet, world->plan);
	planner_fixture_plan(world);
	g_assert_nonnull(planner_fixture_find(world, CQ_ACTION_START, job));
	g_assert_cmpint(
		planner_fixture_find(world, CQ_ACTION_START, job)->reason, ==,
		CQ_REASON_GUARANTEED);
}

/*
 * Lost workers, and the number of shapes of each guarantee that cannot be
 * placed.
 */
static const struct shortfall_case {
	const char *name;
	uint32_t lost_workers; /* lost workers, beginning with the first */
	uint32_t short_a;      /* of 4 shapes of 8 accelerators in one worker */
	uint32_t short_b;      /* of 8 shapes of 2 accelerators in one worker */
} shortfall_cases[] = {
	{ "nothing", 0, 0, 0 },
	{ "spare workers", 2, 0, 0 },
	{ "small shapes go first", 3, 0, 4 },
	{ "then large shapes", 5, 1, 8 },
	{ "everything", 8, 4, 8 },
};

/*
 * Guards against a shortfall that is not reported, and against shapes given up
 * in the wrong order.
 */
static void test_shortfall(struct planner_fixture *world, gconstpointer data)
{
	const struct shortfall_case *entry = data;
	uint32_t expected[2] = { entry->short_a, entry->short_b };
	uint32_t found[2] = { 0, 0 };
	uint32_t i;

	fleet_add_guarantee(world->fleet, world->a, 4, 8, CQ_ADJACENT_WORKER);
	fleet_add_guarantee(world->fleet, world->b, 8, 2, CQ_ADJACENT_WORKER);
	for (i = 0; i < entry->lost_workers; i++)
		fleet_worker(world->fleet, i)->state = CQ_WORKER_LOST;
	planner_fixture_plan(world);
	for (i = 0; i < world->plan->shortfall_count; i++)
		found[world->plan->shortfalls[i].guarantee] =
			world->plan->shortfalls[i].shapes;
	for (i = 0; i < 2; i++)
		g_assert_cmpuint(found[i], ==, expected[i]);
}

/*
 * Job sizes, with the resource that can never be provided and the largest
 * amount that can.
 */
static const struct misfit_case {
	const char *name;
	uint32_t tasks;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;
	enum cq_adjacency adjacency;
	enum cq_resource resource;
	uint64_t largest;
} misfit_cases[] = {
	{ "fits", 4, 8, 64000, 256 * GIB, CQ_ADJACENT_DC, CQ_RESOURCE_NONE, 0 },
	{ "accelerators", 1, 9, 1, 1, CQ_ADJACENT_DC, CQ_RESOURCE_ACCELERATORS,
	  8 },
	{ "cores", 1, 1, 64001, 1, CQ_ADJACENT_DC, CQ_RESOURCE_MILLICORES,
	  64000 },
	{ "memory", 1, 1, 1, 256 * GIB + 1, CQ_ADJACENT_DC,
	  CQ_RESOURCE_MEMORY_BYTES, 256 * GIB },
	{ "gang in a data centre", 5, 8, 1, 1, CQ_ADJACENT_DC,
	  CQ_RESOURCE_TASKS, 4 },
	{ "gang in a rack", 3, 8, 1, 1, CQ_ADJACENT_RACK, CQ_RESOURCE_TASKS,
	  2 },
	{ "gang in a worker", 3, 4, 1, 1, CQ_ADJACENT_WORKER, CQ_RESOURCE_TASKS,
	  2 },
};

/* Guards against accepting a job that would wait for ever. */
static void test_misfit(struct planner_fixture *world, gconstpointer data)
{
	const struct misfit_case *entry = data;
	uint32_t index = fleet_add_job(world->fleet, world->a, world->batch,
				       entry->tasks, entry->accelerators);
	struct cq_fleet_job *job = fleet_job(world->fleet, index);
	struct cq_snapshot snapshot;
	struct cq_misfit misfit;
	bool fits = entry->resource == CQ_RESOURCE_NONE;

	job->millicores = entry->millicores;
	job->memory_bytes = entry->memory_bytes;
	job->adjacency = entry->adjacency;
	snapshot = fleet_snapshot(world->fleet);
	g_assert_cmpint(cq_planner_can_ever_run(&snapshot, job, &misfit), ==,
			fits);
	g_assert_cmpint(misfit.resource, ==, entry->resource);
	g_assert_cmpuint(misfit.largest, ==, entry->largest);
	planner_fixture_plan(world);
	g_assert_cmpint(planner_fixture_find(world, CQ_ACTION_REJECT, index) !=
				NULL,
			==, !fits);
}

/*
 * Failures of jobs 0..5 on workers 0..5, and whether they are attributed to
 * worker 0 or job 0.
 */
static const struct failure_case {
	const char *name;
	int failures[8][2]; /* pairs of job and worker; ends with -1 */
	bool quarantined;   /* worker 0 is quarantined */
	bool rejected;	    /* job 0 is rejected */
} failure_cases[] = {
	{ "once", { { 0, 0 }, { -1 } }, false, false },
	{ "again on one worker",
	  { { 0, 0 }, { 0, 0 }, { 0, 0 }, { -1 } },
	  false,
	  false },
	{ "bad job", { { 0, 0 }, { 0, 1 }, { 0, 2 }, { -1 } }, false, true },
	{ "bad worker", { { 0, 0 }, { 1, 0 }, { 2, 0 }, { -1 } }, true, false },
	{ "bad worker and a job that failed elsewhere",
	  { { 0, 0 }, { 1, 0 }, { 2, 0 }, { 0, 1 }, { -1 } },
	  true,
	  false },
	{ "bad job on a worker with another failure",
	  { { 0, 0 }, { 0, 1 }, { 0, 2 }, { 1, 0 }, { -1 } },
	  false,
	  true },
};

/*
 * Guards against quarantining a worker for a faulty job, or rejecting a job for
 * a faulty worker.
 */
static void test_failures(struct planner_fixture *world, gconstpointer data)
{
	const struct failure_case *entry = data;
	uint32_t i;

	for (i = 0; i < 6; i++)
		fleet_add_job(world->fleet, world->a, world->batch, 1, 8);
	for (i = 0; entry->failures[i][0] >= 0; i++)
		cq_planner_observe_failure(
			world->planner,
			fleet_job(world->fleet, entry->failures[i][0])->id,
			fleet_worker(world->fleet, entry->failures[i][1])
				->name);
	planner_fixture_plan(world);
	g_assert_cmpint(cq_planner_is_quarantined(world->planner, "w0"), ==,
			entry->quarantined);
	g_assert_cmpint(planner_fixture_find(world, CQ_ACTION_REJECT, 0) !=
				NULL,
			==, entry->rejected);
}

/*
 * Guards against quarantining more workers than max_quarantine_permille, which
 * would leave none to run on.
 */
static void test_quarantine_cap(struct planner_fixture *world,
				gconstpointer data)
{
	char job[8];
	char worker[8];
	uint32_t quarantined = 0;
	uint32_t i;
	uint32_t k;

	(void)data;
	world->fleet->policy.max_quarantine_permille = 250;
	for (i = 0; i < 8; i++)
		for (k = 0; k < 3; k++) {
			g_snprintf(job, sizeof(job), "x%u", i * 3 + k);
			g_snprintf(worker, sizeof(worker), "w%u", i);
			cq_planner_observe_failure(world->planner, job, worker);
		}
	planner_fixture_plan(world);
	for (i = 0; i < 8; i++)
		quarantined += cq_planner_is_quarantined(
			world->planner, fleet_worker(world->fleet, i)->name);
	g_assert_cmpuint(quarantined, ==, 2);
	cq_planner_observe_probe(world->planner, "w0", true,
				 world->fleet->now_ns);
	g_assert_false(cq_planner_is_quarantined(world->planner, "w0"));
}

/* Observed use of the first of two tasks that declared half a worker each. */
static const struct usage_case {
	const char *name;
	uint64_t memory_bytes;
	uint32_t millicores; /* the second task uses 30000 */
	enum cq_action_kind kind;
	bool acts;
	uint32_t percent;
} usage_cases[] = {
	{ "as declared", 128 * GIB, 32000, CQ_ACTION_STOP, false, 0 },
	{ "some memory over", 140 * GIB, 32000, CQ_ACTION_CHECKPOINT, true, 0 },
	{ "memory nearly exhausted", 200 * GIB, 32000, CQ_ACTION_STOP, true,
	  0 },
	{ "cores over", 128 * GIB, 40000, CQ_ACTION_THROTTLE, true, 80 },
};

/*
 * Guards against a worker that runs out of memory or cores because a task uses
 * more than it declared.
 */
static void test_usage(struct planner_fixture *world, gconstpointer data)
{
	const struct usage_case *entry = data;
	uint32_t jobs[2];
	uint32_t i;

	for (i = 0; i < 2; i++) {
		uint32_t task;

		jobs[i] = fleet_add_job(world->fleet, world->a, world->batch, 1,
					4);
		fleet_job(world->fleet, jobs[i])->memory_bytes = 128 * GIB;
		fleet_job(world->fleet, jobs[i])->millicores = 32000;
		fleet_job(world->fleet, jobs[i])->can_checkpoint = true;
		task = fleet_run_task(world->fleet, jobs[i], 0, 0xf << (4 * i),
				      0);
		g_array_index(world->fleet->tasks, struct cq_fleet_task, task)
			.observed_millicores = i ? 30000 : entry->millicores;
		g_array_index(world->fleet->tasks, struct cq_fleet_task, task)
			.observed_memory_bytes = i ? 60 * GIB
						   : entry->memory_bytes;
	}
	planner_fixture_plan(world);
	g_assert_cmpuint(world->plan->action_count, ==, entry->acts);
	if (!entry->acts)
		return;
	g_assert_nonnull(planner_fixture_find(world, entry->kind, jobs[0]));
	g_assert_cmpuint(world->plan->actions[0].percent, ==, entry->percent);
}

/* A job in a data centre that goes out of service at the end of notice_s. */
static const struct dc_out_case {
	const char *name;
	int64_t declared_run_s;
	int64_t notice_s;
	enum cq_action_kind kind;
	bool can_checkpoint;
	bool fleet_full; /* no free capacity elsewhere */
	bool acts;
} dc_out_cases[] = {
	{ "ends in time", 100, 600, CQ_ACTION_CHECKPOINT, true, false, false },
	{ "moves at once", 9000, 600, CQ_ACTION_CHECKPOINT, true, false, true },
	{ "runs on while there is no room", 9000, 600, CQ_ACTION_CHECKPOINT,
	  true, true, false },
	{ "leaves in time without room", 9000, 20, CQ_ACTION_CHECKPOINT, true,
	  true, true },
	{ "cannot be saved", 9000, 600, CQ_ACTION_STOP, false, false, false },
	{ "notice over", 9000, 0, CQ_ACTION_STOP, false, false, true },
};

/*
 * Guards against work lost when a data centre goes out of service, and against
 * starts in such a data centre.
 */
static void test_dc_out(struct planner_fixture *world, gconstpointer data)
{
	const struct dc_out_case *entry = data;
	uint32_t running =
		fleet_add_job(world->fleet, world->a, world->batch, 1, 8);
	struct cq_fleet_dc *dc =
		&g_array_index(world->fleet->dcs, struct cq_fleet_dc, 0);
	uint32_t waiting;
	uint32_t i;

	fleet_job(world->fleet, running)->declared_run_ns =
		entry->declared_run_s * CQ_NS_PER_S;
	fleet_job(world->fleet, running)->can_checkpoint =
		entry->can_checkpoint;
	fleet_job(world->fleet, running)->checkpoint_cost_ns = 10 * CQ_NS_PER_S;
	fleet_run_task(world->fleet, running, 0, 0xff, 0);
	if (entry->fleet_full)
		fill_workers(world, world->b, 4, 8);
	waiting = fleet_add_job(world->fleet, world->a, world->batch, 1, 1);
	fleet_job(world->fleet, waiting)->dc = 0;
	dc->state = CQ_DC_OUT;
	dc->notice_deadline_ns =
		world->fleet->now_ns + entry->notice_s * CQ_NS_PER_S;
	planner_fixture_plan(world);
	g_assert_cmpint(planner_fixture_wait_reason(world, waiting), ==,
			CQ_REASON_WAIT_DC_OUT);
	for (i = 0; i < world->plan->action_count; i++)
		g_assert_cmpuint(world->plan->actions[i].job, ==, running);
	g_assert_cmpint(planner_fixture_find(world, entry->kind, running) !=
				NULL,
			==, entry->acts);
	if (entry->acts)
		g_assert_cmpint(world->plan->actions[0].reason, ==,
				CQ_REASON_DC_OUT);
}

/*
 * Guards against a burst of starts in a data centre that has just returned to
 * service.
 */
static void test_refill(struct planner_fixture *world, gconstpointer data)
{
	uint32_t i;

	(void)data;
	world->fleet->policy.max_refill_starts_per_plan = 3;
	g_array_index(world->fleet->dcs, struct cq_fleet_dc, 0).in_since_ns =
		world->fleet->now_ns - CQ_NS_PER_S;
	for (i = 0; i < 20; i++) {
		uint32_t job = fleet_add_job(world->fleet, world->a,
					     world->batch, 1, 1);

		fleet_job(world->fleet, job)->dc = 0;
	}
	planner_fixture_plan(world);
	g_assert_cmpuint(world->plan->action_count, ==, 3);
}

/* Guards against a gang that keeps running after one of its tasks was lost. */
static void test_lost_member(struct planner_fixture *world, gconstpointer data)
{
	uint32_t job =
		fleet_add_job(world->fleet, world->a, world->batch, 2, 8);

	(void)data;
	fleet_run_task(world->fleet, job, 0, 0xff, 0);
	fleet_run_task(world->fleet, job, 1, 0xff, 0);
	planner_fixture_plan(world);
	g_assert_null(planner_fixture_find(world, CQ_ACTION_STOP, job));
	fleet_worker(world->fleet, 1)->state = CQ_WORKER_LOST;
	planner_fixture_plan(world);
	g_assert_nonnull(planner_fixture_find(world, CQ_ACTION_STOP, job));
	g_assert_cmpint(
		planner_fixture_find(world, CQ_ACTION_STOP, job)->reason, ==,
		CQ_REASON_GANG_MEMBER_LOST);
}

/*
 * Guards against a new planner, as after a change of owner, placing cells
 * elsewhere than the old one. Tasks within a guarantee would become borrowers.
 */
static void test_rebuild_from_labels(struct planner_fixture *world,
				     gconstpointer data)
{
	uint32_t job;
	uint32_t i;

	(void)data;
	fleet_add_guarantee(world->fleet, world->a, 2, 16, CQ_ADJACENT_RACK);
	fleet_add_guarantee(world->fleet, world->b, 3, 8, CQ_ADJACENT_WORKER);
	job = fleet_add_job(world->fleet, world->a, world->batch, 2, 8);
	fleet_add_job(world->fleet, world->b, world->batch, 1, 8);
	planner_fixture_plan(world);
	g_assert_cmpint(
		planner_fixture_find(world, CQ_ACTION_START, job)->reason, ==,
		CQ_REASON_GUARANTEED);
	fleet_apply(world->fleet, world->plan);
	cq_planner_destroy(world->planner);
	world->planner = cq_planner_create();
	planner_fixture_plan(world);
	g_assert_cmpuint(world->plan->shortfall_count, ==, 0);
	for (i = 0; i < 2; i++)
		g_assert_cmpint(world->plan->tiers[i], ==, CQ_TIER_GUARANTEED);
}

/*
 * Guards against predicting the declared run time although the history of the
 * class shows that jobs run 4 times as long as declared.
 */
static void test_history(struct planner_fixture *world, gconstpointer data)
{
	uint32_t index =
		fleet_add_job(world->fleet, world->a, world->batch, 1, 1);
	struct cq_snapshot snapshot;
	int i;

	(void)data;
	for (i = 0; i < 8; i++)
		cq_planner_observe_end(world->planner, "a", "batch",
				       10 * CQ_NS_PER_S, 40 * CQ_NS_PER_S);
	snapshot = fleet_snapshot(world->fleet);
	g_assert_cmpint(
		cq_planner_predict_run_ns(world->planner, &snapshot,
					  fleet_job(world->fleet, index)),
		==, 2400 * CQ_NS_PER_S);
}

/* Guards against small jobs starting on capacity reserved for a large job. */
static void test_reservation(struct planner_fixture *world, gconstpointer data)
{
	uint32_t large;
	uint32_t small;
	uint32_t quick;

	(void)data;
	/* The rack of workers 6 and 7 becomes free first. */
	fill_workers(world, world->b, 6, 7);
	world->fleet->now_ns += 590 * CQ_NS_PER_S;
	fill_workers(world, world->b, 0, 6);
	large = fleet_add_job(world->fleet, world->a, world->batch, 2, 8);
	fleet_job(world->fleet, large)->adjacency = CQ_ADJACENT_RACK;
	fleet_job(world->fleet, large)->submitted_ns -= 500 * CQ_NS_PER_S;
	small = fleet_add_job(world->fleet, world->a, world->batch, 1, 1);
	quick = fleet_add_job(world->fleet, world->a, world->batch, 1, 1);
	fleet_job(world->fleet, quick)->declared_run_ns = CQ_NS_PER_S;
	world->fleet->policy.completion_weight_permille = 0;
	planner_fixture_plan(world);
	g_assert_null(planner_fixture_find(world, CQ_ACTION_START, small));
	g_assert_cmpint(planner_fixture_wait_reason(world, small), ==,
			CQ_REASON_WAIT_RESERVATION);
	g_assert_nonnull(planner_fixture_find(world, CQ_ACTION_START, quick));
}

/*
 * Guards against accepting a snapshot whose entries are inconsistent, here a
 * task on an accelerator that its worker does not have.
 */
static void test_invalid(struct planner_fixture *world, gconstpointer data)
{
	uint32_t job =
		fleet_add_job(world->fleet, world->a, world->batch, 1, 1);
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_snapshot snapshot;

	(void)data;
	fleet_run_task(world->fleet, job, 0, 0x100, 0);
	snapshot = fleet_snapshot(world->fleet);
	g_assert_null(cq_planner_plan(world->planner, &snapshot, &err));
	g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
	g_assert_cmpstr(err.message, ==, "snapshot: task 0 is out of range");
}

#define ADD(path, function)                                              \
	g_test_add(path, struct planner_fixture, NULL, set_up, function, \
		   tear_down)
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
	ADD("/planner/gang/one-dc", test_gang_in_one_dc);
	ADD("/planner/gang/lost-member", test_lost_member);
	ADD("/planner/guarantee/reclaim", test_reclaim);
	ADD("/planner/guarantee/rebuild", test_rebuild_from_labels);
	ADD_CASES("/planner/guarantee/shortfall/", shortfall_cases,
		  test_shortfall);
	ADD_CASES("/planner/misfit/", misfit_cases, test_misfit);
	ADD_CASES("/planner/failures/", failure_cases, test_failures);
	ADD("/planner/failures/quarantine-cap", test_quarantine_cap);
	ADD_CASES("/planner/usage/", usage_cases, test_usage);
	ADD_CASES("/planner/leave/", dc_out_cases, test_dc_out);
	ADD("/planner/leave/refill", test_refill);
	ADD("/planner/queue/history", test_history);
	ADD("/planner/queue/reservation", test_reservation);
	ADD("/planner/snapshot/invalid", test_invalid);
	return g_test_run();
}
