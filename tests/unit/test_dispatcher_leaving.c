/* Workers that say that they leave, and when. */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
#define LONG_TASK "0000000000000001.0.0.0"
#define SHORT_TASK "0000000000000002.0.0.0"

/* A long and a short job run on worker0; worker1 has room. */
static struct dispatcher_fixture *create_world(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);

	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_start_epoch(w);
	dispatcher_fixture_set_estimate(w, 60000);
	dispatcher_fixture_submit(w, 1, 1, 1, false);
	dispatcher_fixture_set_estimate(w, 1000);
	dispatcher_fixture_submit(w, 2, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	dispatcher_fixture_add_worker(w, 1);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	dispatcher_fixture_destroy(w);
}

static bool long_task_moved(void *ctx)
{
	struct dispatcher_fixture *w = ctx;

	return !g_strcmp0(mem_executor_worker_of(dispatcher_fixture_workers(w),
						 LONG_TASK),
			  "worker1");
}

/*
 * Guards against a task that ends with its worker, and starts elsewhere only
 * when the lease there has surely expired, up to 10 s later.
 */
static void test_doomed_run_moves(void)
{
	struct dispatcher_fixture *w = create_world();

	dispatcher_fixture_drain(w, 0, 5000);
	g_assert_true(wait_for(dispatcher_fixture_loop(w), long_task_moved, w));
	/* The short one ends before the worker leaves. */
	g_assert_cmpstr(mem_executor_worker_of(dispatcher_fixture_workers(w),
					       SHORT_TASK),
			==, "worker0");
	check_and_destroy_world(w);
}

/* Guards against stops on a worker that doesn't say how long it stays. */
static void test_unknown_time(void)
{
	struct dispatcher_fixture *w = create_world();

	dispatcher_fixture_drain(w, 0, 0);
	/* Starts on worker1 only, so the notice was seen. */
	dispatcher_fixture_submit(w, 3, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 3));
	g_assert_cmpstr(mem_executor_worker_of(dispatcher_fixture_workers(w),
					       "0000000000000003.0.0.0"),
			==, "worker1");
	g_assert_cmpstr(mem_executor_worker_of(dispatcher_fixture_workers(w),
					       LONG_TASK),
			==, "worker0");
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_leaving/doomed_run_moves",
			test_doomed_run_moves);
	g_test_add_func("/dispatcher_leaving/unknown_time", test_unknown_time);
	return g_test_run();
}
