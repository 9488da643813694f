/*
 * Runs that must be stopped on a worker that is cut off while the leader
 * changes: the next leader only has the store's records to go by.
 */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
/* Enough for the answer of a command and for the record of a run end. */
#define SETTLE_ITERATIONS 60

static struct dispatcher_fixture *create_world(int workers)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);
	int k;

	for (k = 0; k < workers; k++)
		dispatcher_fixture_add_worker(w, k);
	dispatcher_fixture_start_epoch(w);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	dispatcher_fixture_destroy(w);
}

/* Cuts off the worker that runs the task. */
static const char *cut_off_worker_of(struct dispatcher_fixture *w,
				     const char *task)
{
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	const char *id = mem_executor_worker_of(workers, task);

	g_assert_nonnull(id);
	mem_executor_set_unreachable(workers, id, true);
	return id;
}

/*
 * Guards against runs of a cancelled job that a new leader adopts and never
 * stops, since the job has been cancelled already.
 */
static void test_cancelled_before_hand_over(void)
{
	struct dispatcher_fixture *w = create_world(1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	const char *id;

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	id = cut_off_worker_of(w, "0000000000000001.0.0.0");
	dispatcher_fixture_cancel(w, 1);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "cancelled"));
	dispatcher_fixture_start_epoch(w);
	mem_executor_set_unreachable(workers, id, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 0));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 1);
	check_and_destroy_world(w);
}

/* Guards against the same for a job that failed. */
static void test_failed_before_hand_over(void)
{
	struct dispatcher_fixture *w = create_world(2);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	const char *id;
	int attempt;

	dispatcher_fixture_submit(w, 1, 2, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	id = cut_off_worker_of(w, "0000000000000001.0.0.1");
	for (attempt = 0; attempt < 2; attempt++) {
		g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
		mem_executor_end(workers, "0000000000000001.0.0.0",
				 CQ_RUN_FAILED);
	}
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "failed"));
	dispatcher_fixture_start_epoch(w);
	mem_executor_set_unreachable(workers, id, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 0));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 3);
	check_and_destroy_world(w);
}

/*
 * Guards against a gang that a new leader lets go on without the member whose
 * end the former leader has recorded.
 */
static void test_gang_member_ended_before_hand_over(void)
{
	struct dispatcher_fixture *w = create_world(2);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	const char *id;

	dispatcher_fixture_submit(w, 1, 2, 8, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	run_loop_iterations(dispatcher_fixture_loop(w), SETTLE_ITERATIONS);
	id = cut_off_worker_of(w, "0000000000000001.0.0.1");
	mem_executor_end(workers, "0000000000000001.0.0.0", CQ_RUN_FAILED);
	run_loop_iterations(dispatcher_fixture_loop(w), SETTLE_ITERATIONS);
	dispatcher_fixture_start_epoch(w);
	mem_executor_set_unreachable(workers, id, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 0));
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 4);
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_hand_over/cancelled",
			test_cancelled_before_hand_over);
	g_test_add_func("/dispatcher_hand_over/failed",
			test_failed_before_hand_over);
	g_test_add_func("/dispatcher_hand_over/gang_member_ended",
			test_gang_member_ended_before_hand_over);
	return g_test_run();
}
