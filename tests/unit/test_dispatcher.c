/*
 * Runs the dispatcher against in-memory workers and an in-memory store that
 * fail: no task may run twice, none may be forgotten, and a task that is done
 * may not be started again. The workers record every violation.
 */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LONG_LEASE_MS 10000
/* Longer than the wait of a heartbeat. */
#define SHORT_LEASE_MS 3000

static struct dispatcher_fixture *create_world(uint32_t lease_ms, int workers)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(lease_ms);
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

/* Guards against jobs, with and without a gang, that never complete. */
static void test_jobs_complete(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);

	dispatcher_fixture_submit(w, 1, 3, 2, false);
	dispatcher_fixture_submit(w, 2, 2, 4, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 5));
	g_assert_cmpstr(dispatcher_fixture_state(w, 1), ==, "running");
	mem_executor_end_all(dispatcher_fixture_workers(w));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "completed"));
	g_assert_cmpuint(mem_executor_starts(dispatcher_fixture_workers(w)), ==,
			 5);
	check_and_destroy_world(w);
}

/* Guards against more runs than the workers have room for. */
static void test_worker_capacity(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);

	dispatcher_fixture_submit(w, 1, 5, 4, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 4));
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpuint(mem_executor_running(dispatcher_fixture_workers(w)),
			 ==, 4);
	mem_executor_end_all(dispatcher_fixture_workers(w));
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	mem_executor_end_all(dispatcher_fixture_workers(w));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	check_and_destroy_world(w);
}

/*
 * Guards against lost or duplicated runs after starts without an answer: not
 * sent, not executed, executed with the answer lost, or executed late.
 */
static void test_unanswered_starts(void)
{
	static const enum mem_executor_fault faults[] = {
		MEM_EXECUTOR_NOT_SENT,
		MEM_EXECUTOR_DROP_COMMAND,
		MEM_EXECUTOR_DROP_ANSWER,
		MEM_EXECUTOR_DELAY_COMMAND,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);

		mem_executor_fail_commands(dispatcher_fixture_workers(w),
					   faults[i], 2);
		dispatcher_fixture_submit(w, 1, 3, 2, false);
		g_assert_true(dispatcher_fixture_wait_for_runs(w, 3));
		mem_executor_run_delayed(dispatcher_fixture_workers(w));
		run_loop_iterations(dispatcher_fixture_loop(w), 20);
		mem_executor_end_all(dispatcher_fixture_workers(w));
		g_assert_true(
			dispatcher_fixture_wait_for_state(w, 1, "completed"));
		/* Copies executed after the end have no effect. */
		mem_executor_run_delayed(dispatcher_fixture_workers(w));
		run_loop_iterations(dispatcher_fixture_loop(w), 20);
		check_and_destroy_world(w);
	}
}

/*
 * Guards against a task that waits for ever for a run end: its start is not
 * executed and the retry cannot be sent, so the run is stopped and the worker
 * never reports an end. The task must start again.
 */
static void test_stop_of_run_that_never_started(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	mem_executor_fail_commands(workers, MEM_EXECUTOR_DROP_COMMAND, 1);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "running"));
	run_loop_iterations(dispatcher_fixture_loop(w), 5);
	mem_executor_fail_commands(workers, MEM_EXECUTOR_NOT_SENT, 1);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	check_and_destroy_world(w);
}

/*
 * Guards against retries of an unanswered start on a worker that has begun to
 * drain. The run must be abandoned and the task started elsewhere.
 */
static void test_no_repeat_while_draining(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_fail_commands(workers, MEM_EXECUTOR_DROP_COMMAND, 1);
	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "running"));
	dispatcher_fixture_drain(w, 0, 0);
	run_loop_iterations(dispatcher_fixture_loop(w), 10);
	mem_executor_forbid_starts(workers, "worker0", true);
	dispatcher_fixture_add_worker(w, 1);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	g_assert_nonnull(
		mem_executor_worker_of(workers, "0000000000000001.0.0.0"));
	check_and_destroy_world(w);
}

/*
 * Guards against a leader that is overloaded after its election over a large
 * fleet and fails to renew its own lease: it must contact the workers a few at
 * a time.
 */
static void test_large_fleet_is_contacted_in_turn(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 600);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 600, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 600));
	g_assert_cmpuint(mem_executor_max_heartbeats(workers), >, 0);
	g_assert_cmpuint(mem_executor_max_heartbeats(workers), <=, 64);
	check_and_destroy_world(w);
}

/*
 * Guards against unreachable workers that use up the probe limit and delay the
 * contact with the others.
 */
static void test_silent_workers_do_not_hold_up_others(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 0);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	char id[32];
	int k;

	mem_executor_set_unreachable_timeout(workers, 60);
	for (k = 0; k < 200; k++) {
		dispatcher_fixture_add_worker(w, k);
		g_snprintf(id, sizeof(id), "worker%d", k);
		mem_executor_set_unreachable(workers, id, k >= 20);
	}
	dispatcher_fixture_submit(w, 1, 20, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 20));
	check_and_destroy_world(w);
}

/*
 * Guards against run ends that a new leader acknowledges before it has loaded
 * the jobs, and so loses.
 */
static void test_ends_reported_to_next_epoch(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);

	dispatcher_fixture_submit(w, 1, 2, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_stop(w);
	mem_executor_end_all(dispatcher_fixture_workers(w));
	mem_store_set_delay(dispatcher_fixture_store(w), 0.05);
	dispatcher_fixture_start_epoch(w);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(dispatcher_fixture_workers(w)), ==,
			 2);
	check_and_destroy_world(w);
}

/*
 * Guards against a run end that is acknowledged before the store holds it, and
 * is lost with the leader.
 */
static void test_end_not_acknowledged_before_stored(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_store *store = dispatcher_fixture_store(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	mem_store_fail_changes(store, MEM_STORE_REFUSE, 1000000);
	mem_executor_end_all(dispatcher_fixture_workers(w));
	/* Long enough for several heartbeats. */
	run_loop_iterations(dispatcher_fixture_loop(w), 600);
	dispatcher_fixture_stop(w);
	mem_store_fail_changes(store, MEM_STORE_NO_FAULT, 0);
	dispatcher_fixture_start_epoch(w);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(dispatcher_fixture_workers(w)), ==,
			 1);
	check_and_destroy_world(w);
}

/*
 * Guards against a new run that counts as lost because the answer of a
 * heartbeat sent at the same time as its start does not list it.
 */
static void test_stale_heartbeat_answer(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	int k;

	dispatcher_fixture_submit(w, 1, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	mem_executor_stale_heartbeats(workers, true);
	mem_executor_end_all(workers); /* answers the waiting heartbeat */
	for (k = 2; k < 8; k++) {
		dispatcher_fixture_submit(w, k, 1, 1, false);
		run_loop_iterations(dispatcher_fixture_loop(w), 6);
	}
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 6));
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 7);
	check_and_destroy_world(w);
}

/* Guards against a new leader that restarts tasks which still run. */
static void test_next_epoch_adopts_runs(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);

	dispatcher_fixture_submit(w, 1, 2, 8, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_start_epoch(w);
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(dispatcher_fixture_workers(w)), ==,
			 2);
	mem_executor_end_all(dispatcher_fixture_workers(w));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	check_and_destroy_world(w);
}

/*
 * Guards against a start of a former epoch that is executed late: the worker
 * must reject it because of the fence.
 */
static void test_late_order_of_former_epoch(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_fail_commands(workers, MEM_EXECUTOR_DELAY_COMMAND, 1);
	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "running"));
	run_loop_iterations(dispatcher_fixture_loop(w), 5);
	dispatcher_fixture_start_epoch(w);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	mem_executor_run_delayed(workers);
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	check_and_destroy_world(w);
}

static bool runs_on_worker1(void *ctx)
{
	struct dispatcher_fixture *w = ctx;
	const char *id = mem_executor_worker_of(dispatcher_fixture_workers(w),
						"0000000000000001.0.0.0");

	return id && !strcmp(id, "worker1");
}

/*
 * Guards against a start that is repeated to a worker which has come back as
 * one of another service.
 */
static void test_no_repeat_on_other_service(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	mem_executor_fail_commands(workers, MEM_EXECUTOR_DROP_COMMAND, 1);
	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "running"));
	run_loop_iterations(dispatcher_fixture_loop(w), 5);
	dispatcher_fixture_change_service(w, 0);
	mem_executor_forbid_starts(workers, "worker0", true);
	/* Longer than the restart and several repeats of a start. */
	run_loop_iterations(dispatcher_fixture_loop(w), 600);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 0);
	dispatcher_fixture_add_worker(w, 1);
	g_assert_true(wait_for(dispatcher_fixture_loop(w), runs_on_worker1, w));
	check_and_destroy_world(w);
}

/*
 * Guards against heartbeats that keep the lease of an unreachable worker from
 * expiring: its task must start on another worker.
 */
static void test_lease_of_silent_worker_expires(void)
{
	struct dispatcher_fixture *w = create_world(SHORT_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_add_worker(w, 1);
	mem_executor_set_unreachable(workers, "worker0", true);
	mem_executor_restart(workers, "worker0"); /* while unreachable */
	dispatcher_fixture_set_registered(w, 0, false);
	g_assert_true(wait_for(dispatcher_fixture_loop(w), runs_on_worker1, w));
	check_and_destroy_world(w);
}

/*
 * Guards against a run that is started elsewhere although its worker is only
 * missing in the store, or silent as well: its lease has not expired.
 */
static void test_unlisted_worker_is_not_gone(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_add_worker(w, 1);
	dispatcher_fixture_set_registered(w, 0, false);
	/* Enough for several heartbeats. */
	run_loop_iterations(dispatcher_fixture_loop(w), 600);
	mem_executor_set_unreachable(workers, "worker0", true);
	run_loop_iterations(dispatcher_fixture_loop(w), 600);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 1);
	check_and_destroy_world(w);
}

/* Guards against runs that stay assigned to a worker which has restarted. */
static void test_restarted_worker(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 2, 4, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	mem_executor_restart(workers, "worker0");
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 4);
	check_and_destroy_world(w);
}

/* Guards against a cancelled job that goes on using its workers. */
static void test_cancel(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);

	dispatcher_fixture_submit(w, 1, 2, 8, false);
	dispatcher_fixture_submit(w, 2, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	dispatcher_fixture_cancel(w, 1);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "cancelled"));
	/* The freed room goes to the other job. */
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "running"));
	check_and_destroy_world(w);
}

/* Guards against more runs than the queue's limit of two failures. */
static void test_attempt_limit(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	int attempt;

	dispatcher_fixture_submit(w, 1, 1, 1, false);
	for (attempt = 0; attempt < 2; attempt++) {
		g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
		mem_executor_end(workers, "0000000000000001.0.0.0",
				 CQ_RUN_FAILED);
	}
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "failed"));
	run_loop_iterations(dispatcher_fixture_loop(w), 40);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 2);
	check_and_destroy_world(w);
}

/*
 * Guards against a gang that goes on without a failed member: all members must
 * be stopped, and then the whole gang started again.
 */
static void test_gang_member_fails(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 2, 8, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	mem_executor_end(workers, "0000000000000001.0.0.0", CQ_RUN_FAILED);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 0));
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 4);
	check_and_destroy_world(w);
}

/* Guards against new runs in an evacuated data centre. */
static void test_evacuated_data_centre(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 2);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_set_evacuated(w, "dc0", true);
	dispatcher_fixture_submit(w, 1, 2, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	run_loop_iterations(dispatcher_fixture_loop(w), 40);
	g_assert_cmpstr(mem_executor_worker_of(workers,
					       "0000000000000001.0.0.0"),
			==, "worker1");
	g_assert_cmpuint(mem_executor_running(workers), ==, 1);
	dispatcher_fixture_set_evacuated(w, "dc0", false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	check_and_destroy_world(w);
}

/*
 * Guards against bursts of urgent work that find no free accelerators: jobs
 * that can wait must leave a quarter of the accelerators free; late jobs may
 * use them.
 */
static void test_headroom(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 4);

	dispatcher_fixture_set_priority(w, 1);
	dispatcher_fixture_set_estimate(w, 100000);
	dispatcher_fixture_submit(w, 1, 16, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 16));
	dispatcher_fixture_submit(w, 2, 16, 1, false);
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpstr(dispatcher_fixture_state(w, 2), ==, "");
	dispatcher_fixture_set_estimate(w, 1);
	dispatcher_fixture_submit(w, 3, 16, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 32));
	g_assert_cmpstr(dispatcher_fixture_state(w, 3), ==, "running");
	check_and_destroy_world(w);
}

/*
 * Guards against a burst of one workspace that keeps another from its quota.
 * All accelerators are taken by the burst; the other workspace must get its
 * quota, and beyond that must wait.
 */
static void test_quota_during_burst(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 4);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_set_workspace(w, "burst", 8);
	dispatcher_fixture_submit(w, 1, 1, 8, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	dispatcher_fixture_submit(w, 2, 3, 8, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 4));
	dispatcher_fixture_set_workspace(w, "calm", 16);
	dispatcher_fixture_submit(w, 3, 2, 8, true);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 3, "running"));
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 3));
	dispatcher_fixture_submit(w, 4, 1, 8, true);
	dispatcher_fixture_submit(w, 5, 1, 8, true);
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpstr(dispatcher_fixture_state(w, 1), ==, "running");
	/* One of them runs on the accelerators that are left. */
	g_assert_cmpuint(mem_executor_running(workers), ==, 4);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 7);
	check_and_destroy_world(w);
}

/* Guards against starts sent while the leader's lease may have expired. */
static void test_no_starts_without_leadership(void)
{
	struct dispatcher_fixture *w = create_world(LONG_LEASE_MS, 1);

	run_loop_iterations(dispatcher_fixture_loop(w), 20);
	dispatcher_fixture_allow_commands(w, false);
	dispatcher_fixture_submit(w, 1, 1, 1, false);
	run_loop_iterations(dispatcher_fixture_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(dispatcher_fixture_workers(w)), ==,
			 0);
	dispatcher_fixture_allow_commands(w, true);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	check_and_destroy_world(w);
}

/*
 * Guards against invalid entries under the worker prefix that keep the valid
 * ones from being used.
 */
static void test_invalid_worker_entries(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LONG_LEASE_MS);

	mem_store_write(dispatcher_fixture_store(w), "w/odd", "nonsense");
	mem_store_write(dispatcher_fixture_store(w), "w/", "");
	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_start_epoch(w);
	dispatcher_fixture_submit(w, 1, 1, 1, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher/completes", test_jobs_complete);
	g_test_add_func("/dispatcher/room", test_worker_capacity);
	g_test_add_func("/dispatcher/unanswered_starts",
			test_unanswered_starts);
	g_test_add_func("/dispatcher/stop_of_run_that_never_started",
			test_stop_of_run_that_never_started);
	g_test_add_func("/dispatcher/no_repeat_while_draining",
			test_no_repeat_while_draining);
	g_test_add_func("/dispatcher/no_repeat_on_other_service",
			test_no_repeat_on_other_service);
	g_test_add_func("/dispatcher/large_fleet_is_contacted_in_turn",
			test_large_fleet_is_contacted_in_turn);
	g_test_add_func("/dispatcher/silent_workers_do_not_hold_up_others",
			test_silent_workers_do_not_hold_up_others);
	g_test_add_func("/dispatcher/next_epoch_knows_the_ends",
			test_ends_reported_to_next_epoch);
	g_test_add_func("/dispatcher/end_before_the_store_holds_it",
			test_end_not_acknowledged_before_stored);
	g_test_add_func("/dispatcher/hold_beside_start",
			test_stale_heartbeat_answer);
	g_test_add_func("/dispatcher/next_epoch_adopts_runs",
			test_next_epoch_adopts_runs);
	g_test_add_func("/dispatcher/late_order_of_former_epoch",
			test_late_order_of_former_epoch);
	g_test_add_func("/dispatcher/silent_worker",
			test_lease_of_silent_worker_expires);
	g_test_add_func("/dispatcher/unlisted_worker_is_not_gone",
			test_unlisted_worker_is_not_gone);
	g_test_add_func("/dispatcher/reborn_worker", test_restarted_worker);
	g_test_add_func("/dispatcher/cancel", test_cancel);
	g_test_add_func("/dispatcher/fails", test_attempt_limit);
	g_test_add_func("/dispatcher/gang_member_fails",
			test_gang_member_fails);
	g_test_add_func("/dispatcher/evacuated", test_evacuated_data_centre);
	g_test_add_func("/dispatcher/headroom", test_headroom);
	g_test_add_func("/dispatcher/guarantee_beside_burst",
			test_quota_during_burst);
	g_test_add_func("/dispatcher/not_allowed",
			test_no_starts_without_leadership);
	g_test_add_func("/dispatcher/foreign_entries",
			test_invalid_worker_entries);
	return g_test_run();
}
