/*
 * A leader that gets more work at one time than it can do in one go: all
 * accepted jobs go on, and each step of the loop stays small.
 */
#include <glib.h>
#include <string.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
#define WORKERS 16
#define OVERDUE_RUNS 14400
#define WIDE_TASKS 3000
/* What the platform's store takes by default */
#define MAX_VALUE_BYTES (1 << 20)
#define SMALL_JOB 8
#define MAX_ROUNDS 20000

static struct dispatcher_fixture *create_world(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);
	int k;

	for (k = 0; k < WORKERS; k++)
		dispatcher_fixture_add_worker(w, k);
	dispatcher_fixture_set_task_room(w, 4, 18);
	mem_store_set_max_value(dispatcher_fixture_store(w), MAX_VALUE_BYTES);
	dispatcher_fixture_start_epoch(w);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	g_assert_cmpuint(mem_store_refused_changes(dispatcher_fixture_store(w)),
			 ==, 0);
	dispatcher_fixture_destroy(w);
}

static uint32_t starts(struct dispatcher_fixture *w)
{
	return mem_executor_starts(dispatcher_fixture_workers(w));
}

/* Ends all runs and goes on, until the job is completed. */
static void run_to_end(struct dispatcher_fixture *w, int job)
{
	int i;

	for (i = 0; i < MAX_ROUNDS; i++) {
		if (!strcmp(dispatcher_fixture_state(w, job), "completed"))
			return;
		mem_executor_end_all(dispatcher_fixture_workers(w));
		run_loop_iterations(dispatcher_fixture_loop(w), 5);
	}
	g_assert_not_reached();
}

static void run_until_started(struct dispatcher_fixture *w, uint32_t runs)
{
	int i;

	for (i = 0; i < MAX_ROUNDS; i++) {
		if (starts(w) >= runs)
			return;
		mem_executor_end_all(dispatcher_fixture_workers(w));
		run_loop_iterations(dispatcher_fixture_loop(w), 5);
	}
	g_assert_not_reached();
}

/*
 * Guards against two accepted jobs with very many overdue runs that keep
 * everybody's jobs from starting, and that never run themselves, as their
 * records are larger than the store takes.
 */
static void test_many_overdue_runs(void)
{
	struct dispatcher_fixture *w = create_world();

	dispatcher_fixture_submit_overdue(w, 1, OVERDUE_RUNS);
	dispatcher_fixture_submit_overdue(w, 2, OVERDUE_RUNS);
	dispatcher_fixture_submit(w, SMALL_JOB, 2, 1, false);
	g_assert_true(
		dispatcher_fixture_wait_for_state(w, SMALL_JOB, "running"));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "running"));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "running"));
	run_until_started(w, OVERDUE_RUNS / 10);
	check_and_destroy_world(w);
}

/*
 * Guards against overdue runs that are left out, or come twice, when they come
 * into being in turn.
 */
static void test_all_overdue_runs_come(void)
{
	struct dispatcher_fixture *w = create_world();

	dispatcher_fixture_submit_overdue(w, 1, WIDE_TASKS);
	run_to_end(w, 1);
	g_assert_cmpuint(starts(w), ==, WIDE_TASKS);
	check_and_destroy_world(w);
}

/*
 * Guards against a leader that takes all starts of a wide job in one go, and
 * against jobs behind it that have nothing running meanwhile.
 */
static void test_starts_in_parts(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_store *store = dispatcher_fixture_store(w);
	uint32_t before;

	mem_store_set_delay(store, 0.02);
	dispatcher_fixture_submit(w, 1, WIDE_TASKS, 0, false);
	while (!starts(w))
		run_loop_iterations(dispatcher_fixture_loop(w), 1);
	before = starts(w);
	g_assert_cmpuint(before, <=, 512);
	dispatcher_fixture_submit(w, SMALL_JOB, 2, 1, false);
	g_assert_true(
		dispatcher_fixture_wait_for_state(w, SMALL_JOB, "running"));
	g_assert_cmpuint(starts(w), <, WIDE_TASKS);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, WIDE_TASKS + 2));
	check_and_destroy_world(w);
}

/*
 * Guards against a leader that sends the stops of a large job in one go, and
 * against stops that are forgotten when they are sent in parts.
 */
static void test_stops_in_parts(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, WIDE_TASKS, 0, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, WIDE_TASKS));
	dispatcher_fixture_cancel(w, 1);
	while (mem_executor_running(workers) == WIDE_TASKS)
		run_loop_iterations(dispatcher_fixture_loop(w), 1);
	g_assert_cmpuint(mem_executor_running(workers), >=, WIDE_TASKS - 512);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 0));
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_overdue/many_overdue_runs",
			test_many_overdue_runs);
	g_test_add_func("/dispatcher_overdue/all_overdue_runs_come",
			test_all_overdue_runs_come);
	g_test_add_func("/dispatcher_overdue/starts_in_parts",
			test_starts_in_parts);
	g_test_add_func("/dispatcher_overdue/stops_in_parts",
			test_stops_in_parts);
	return g_test_run();
}
