/* Workers that leave, or only seem to. */
#include <glib.h>
#include <string.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

/* Longer than a test waits, so that no lease expires. */
#define LEASE_MS 60000

static struct dispatcher_fixture *create_world(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);

	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_start_epoch(w);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	dispatcher_fixture_destroy(w);
}

static bool runs_on_worker1(void *ctx)
{
	struct dispatcher_fixture *w = ctx;
	const char *id = mem_executor_worker_of(dispatcher_fixture_workers(w),
						"0000000000000001.0.0.0");

	return id && !strcmp(id, "worker1");
}

/*
 * Guards against tasks of a worker that has left which stand still until its
 * lease would have expired.
 */
static void test_worker_leaves(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_drain(w, 0);
	dispatcher_fixture_add_worker(w, 1);
	mem_executor_leave(workers, "worker0");
	dispatcher_fixture_set_registered(w, 0, false);
	g_assert_true(wait_for(dispatcher_fixture_loop(w), runs_on_worker1, w));
	check_and_destroy_world(w);
}

/*
 * Guards against a run that is started elsewhere although its worker is only
 * silent, or only missing in the store.
 */
static void test_silent_worker_is_not_gone(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_add_worker(w, 1);
	dispatcher_fixture_set_registered(w, 0, false);
	/* Longer than several heartbeats. */
	run_loop_iterations(dispatcher_fixture_loop(w), 600);
	mem_executor_set_unreachable(workers, "worker0", true);
	run_loop_iterations(dispatcher_fixture_loop(w), 600);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 1);
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_leaving/worker_leaves",
			test_worker_leaves);
	g_test_add_func("/dispatcher_leaving/silent_worker_is_not_gone",
			test_silent_worker_is_not_gone);
	return g_test_run();
}
