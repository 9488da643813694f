/*
 * A job whose progress record the store refuses as too large, or that a new
 * leader cannot read.
 */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
/* Room for the records of a few dozen runs. */
#define MAX_VALUE_BYTES 2000
#define LARGE_JOB_TASKS 100
#define MAX_ROUNDS 200

static struct dispatcher_fixture *create_world(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);

	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_add_worker(w, 1);
	mem_store_set_max_value(dispatcher_fixture_store(w), MAX_VALUE_BYTES);
	dispatcher_fixture_start_epoch(w);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	dispatcher_fixture_destroy(w);
}

/*
 * Guards against a job that keeps all others from starting, and from being
 * recorded as ended, because its own record is too large for the store.
 */
static void test_others_go_on(void)
{
	struct dispatcher_fixture *w = create_world();

	dispatcher_fixture_submit(w, 1, LARGE_JOB_TASKS, 0, false);
	dispatcher_fixture_submit(w, 2, 2, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "running"));
	g_assert_cmpuint(mem_store_refused_changes(dispatcher_fixture_store(w)),
			 >, 0);
	while (g_strcmp0(dispatcher_fixture_state(w, 2), "completed")) {
		mem_executor_end_all(dispatcher_fixture_workers(w));
		run_loop_iterations(dispatcher_fixture_loop(w), 5);
	}
	dispatcher_fixture_submit(w, 3, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 3, "running"));
	check_and_destroy_world(w);
}

/*
 * Guards against a job that is given up because all its tasks at once make too
 * large a record: it has to run in smaller parts.
 */
static void test_large_job_runs_in_parts(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	int rounds = 0;

	dispatcher_fixture_submit(w, 1, LARGE_JOB_TASKS, 0, false);
	while (g_strcmp0(dispatcher_fixture_state(w, 1), "completed")) {
		g_assert_cmpint(rounds++, <, MAX_ROUNDS);
		run_loop_iterations(dispatcher_fixture_loop(w), 20);
		mem_executor_end_all(workers);
	}
	g_assert_cmpuint(mem_executor_starts(workers), ==, LARGE_JOB_TASKS);
	check_and_destroy_world(w);
}

/* Guards against a gang that starts although its record is not stored. */
static void test_gang_is_not_split(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, LARGE_JOB_TASKS, 0, true);
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpuint(mem_store_refused_changes(dispatcher_fixture_store(w)),
			 >, 0);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 0);
	dispatcher_fixture_submit(w, 2, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "running"));
	check_and_destroy_world(w);
}

/*
 * Guards against a job whose record cannot be read and that is taken for one
 * that has not begun: its tasks would start again after their ends. It waits
 * alone; the others go on, and it can be cancelled.
 */
static void check_unreadable_record(const char *record, bool stopped)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 2, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	g_assert_true(mem_executor_end(workers, "0000000000000001.0.0.0",
				       CQ_RUN_DONE));
	run_loop_iterations(dispatcher_fixture_loop(w), 40);
	dispatcher_fixture_stop(w);
	mem_store_write(dispatcher_fixture_store(w),
			CQ_KEY_PROGRESS "0000000000000001", record);
	dispatcher_fixture_start_epoch(w);
	dispatcher_fixture_submit(w, 2, 1, 1, false);
	while (g_strcmp0(dispatcher_fixture_state(w, 2), "completed")) {
		mem_executor_end_all(workers);
		run_loop_iterations(dispatcher_fixture_loop(w), 5);
	}
	g_assert_cmpuint(mem_executor_starts(workers), ==, 3);
	/* Before a leader reads it, or after. */
	if (stopped)
		dispatcher_fixture_stop(w);
	dispatcher_fixture_cancel(w, 1);
	if (stopped)
		dispatcher_fixture_start_epoch(w);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "cancelled"));
	check_and_destroy_world(w);
}

static void test_unreadable_record(void)
{
	static const char *const records[] = {
		"",
		"{",
		"{\"state\":\"running\",\"next\":1}",
		"{\"state\":\"running\",\"next\":-1,\"live\":[]}",
		"{\"state\":\"odd\",\"next\":1,\"live\":[]}",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(records); i++) {
		check_unreadable_record(records[i], false);
		check_unreadable_record(records[i], true);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_refused/others_go_on", test_others_go_on);
	g_test_add_func("/dispatcher_refused/large_job_runs_in_parts",
			test_large_job_runs_in_parts);
	g_test_add_func("/dispatcher_refused/gang_is_not_split",
			test_gang_is_not_split);
	g_test_add_func("/dispatcher_refused/unreadable_record",
			test_unreadable_record);
	return g_test_run();
}
