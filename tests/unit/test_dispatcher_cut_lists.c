/*
 * Workers that list only some of their ends in an answer, as after many ends
 * behind a cut.
 */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
#define JOBS 30
#define ENDS_PER_ANSWER 5
#define ID "worker0"

static struct dispatcher_fixture *create_world(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);
	int k;

	mem_executor_set_ends_per_answer(dispatcher_fixture_workers(w),
					 ENDS_PER_ANSWER);
	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_start_epoch(w);
	for (k = 1; k <= JOBS; k++)
		dispatcher_fixture_submit(w, k, 1, 0, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, JOBS));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	dispatcher_fixture_destroy(w);
}

static void end_all(struct dispatcher_fixture *w, enum cq_run_end how)
{
	int k;

	for (k = 1; k <= JOBS; k++) {
		char *task = g_strdup_printf("%016d.0.0.0", k);

		g_assert_true(mem_executor_end(dispatcher_fixture_workers(w),
					       task, how));
		g_free(task);
	}
}

static void wait_for_states(struct dispatcher_fixture *w, const char *state)
{
	int k;

	for (k = 1; k <= JOBS; k++)
		g_assert_true(dispatcher_fixture_wait_for_state(w, k, state));
}

/*
 * Guards against tasks that have ended "done" and are started again, because
 * the first answer after a cut leaves their ends out.
 */
static void test_done_behind_cut(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_set_unreachable(workers, ID, true);
	end_all(w, CQ_RUN_DONE);
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	mem_executor_set_unreachable(workers, ID, false);
	wait_for_states(w, "completed");
	g_assert_cmpuint(mem_executor_starts(workers), ==, JOBS);
	check_and_destroy_world(w);
}

/* Guards against the same when a new leader reads the lists. */
static void test_done_before_hand_over(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_set_unreachable(workers, ID, true);
	end_all(w, CQ_RUN_DONE);
	dispatcher_fixture_start_epoch(w);
	mem_executor_set_unreachable(workers, ID, false);
	wait_for_states(w, "completed");
	g_assert_cmpuint(mem_executor_starts(workers), ==, JOBS);
	check_and_destroy_world(w);
}

/*
 * Guards against ends "failed" that are not counted, so that a task is started
 * more often than its queue allows, which is twice.
 */
static void test_failed_behind_cut(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_set_unreachable(workers, ID, true);
	end_all(w, CQ_RUN_FAILED);
	dispatcher_fixture_start_epoch(w);
	mem_executor_set_unreachable(workers, ID, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, JOBS));
	end_all(w, CQ_RUN_FAILED);
	wait_for_states(w, "failed");
	run_loop_iterations(dispatcher_fixture_loop(w), 40);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 2 * JOBS);
	check_and_destroy_world(w);
}

/*
 * Guards against a run that a stop meets after its end "done" and that counts
 * as stopped: its end is not listed yet. Its job is cancelled; the other jobs
 * must not be started again.
 */
static void test_stopped_behind_cut(void)
{
	struct dispatcher_fixture *w = create_world();
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_set_unreachable(workers, ID, true);
	end_all(w, CQ_RUN_DONE);
	dispatcher_fixture_cancel(w, JOBS);
	g_assert_true(dispatcher_fixture_wait_for_state(w, JOBS, "cancelled"));
	mem_executor_set_unreachable(workers, ID, false);
	g_assert_true(
		dispatcher_fixture_wait_for_state(w, JOBS - 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(workers), ==, JOBS);
	g_assert_cmpstr(dispatcher_fixture_state(w, JOBS), ==, "cancelled");
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_cut_lists/done_behind_cut",
			test_done_behind_cut);
	g_test_add_func("/dispatcher_cut_lists/done_before_hand_over",
			test_done_before_hand_over);
	g_test_add_func("/dispatcher_cut_lists/failed_behind_cut",
			test_failed_behind_cut);
	g_test_add_func("/dispatcher_cut_lists/stopped_behind_cut",
			test_stopped_behind_cut);
	return g_test_run();
}
