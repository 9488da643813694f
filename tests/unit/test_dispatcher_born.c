/*
 * Entries that say that a worker has started at another time than it did.
 * Guards against runs that are started again, or never end, since the entry is
 * believed and not the worker: another writer may have left it.
 */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
#define ID "worker0"
/* Far in the future; workers of the fixture start at about 1000. */
#define TOO_LATE_MS INT64_C(9000000000000000)

static struct dispatcher_fixture *create_world(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);

	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_start_epoch(w);
	dispatcher_fixture_submit(w, 1, 2, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	return w;
}

/* The job ends, and the worker gets further ones. */
static void finish_and_destroy_world(struct dispatcher_fixture *w)
{
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	dispatcher_fixture_submit(w, 2, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "completed"));
	g_assert_cmpstr(mem_executor_violations(workers), ==, "");
	dispatcher_fixture_destroy(w);
}

static void test_entry_with_later_start(void)
{
	struct dispatcher_fixture *w = create_world();

	dispatcher_fixture_set_started(w, 0, TOO_LATE_MS);
	finish_and_destroy_world(w);
}

static void test_entry_before_hand_over(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_stop(w);
	dispatcher_fixture_set_started(w, 0, TOO_LATE_MS);
	dispatcher_fixture_start_epoch(w);
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 2);
	finish_and_destroy_world(w);
}

/* Its former runs are over, and start again there. */
static void test_clock_set_back(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_restart_earlier(workers, ID);
	dispatcher_fixture_set_registered(w, 0, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 4);
	finish_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_born/entry_with_later_start",
			test_entry_with_later_start);
	g_test_add_func("/dispatcher_born/entry_before_hand_over",
			test_entry_before_hand_over);
	g_test_add_func("/dispatcher_born/clock_set_back", test_clock_set_back);
	return g_test_run();
}
