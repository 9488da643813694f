/*
 * The dispatcher against workers and a store that fail: no task runs twice,
 * none is forgotten, and what ended is not started again. The workers in
 * memory note every breach.
 */
#include <glib.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LONG_LEASE_MS 10000
/* Longer than the wait of a hold. */
#define SHORT_LEASE_MS 3000

static struct dispatch_world *open_world(uint32_t lease_ms, int workers)
{
	struct dispatch_world *w = dispatch_world_create(lease_ms);
	int k;

	for (k = 0; k < workers; k++)
		dispatch_world_add_worker(w, k);
	dispatch_world_lead(w);
	return w;
}

static void close_world(struct dispatch_world *w)
{
	g_assert_cmpstr(mem_executor_breaches(dispatch_world_workers(w)), ==,
			"");
	dispatch_world_destroy(w);
}

static void test_completes(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);

	dispatch_world_submit(w, 1, 3, 2, false);
	dispatch_world_submit(w, 2, 2, 4, true);
	g_assert_true(dispatch_world_await_running(w, 5));
	g_assert_cmpstr(dispatch_world_state(w, 1), ==, "running");
	mem_executor_end_all(dispatch_world_workers(w));
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	g_assert_true(dispatch_world_await(w, 2, "completed"));
	g_assert_cmpuint(mem_executor_starts(dispatch_world_workers(w)), ==, 5);
	close_world(w);
}

/* No more runs than the workers have room for. */
static void test_room(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);

	dispatch_world_submit(w, 1, 5, 4, false);
	g_assert_true(dispatch_world_await_running(w, 4));
	wait_turns(dispatch_world_loop(w), 60);
	g_assert_cmpuint(mem_executor_running(dispatch_world_workers(w)), ==,
			 4);
	mem_executor_end_all(dispatch_world_workers(w));
	g_assert_true(dispatch_world_await_running(w, 1));
	mem_executor_end_all(dispatch_world_workers(w));
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	close_world(w);
}

/* Orders without an answer, for each way in which it can be missing. */
static void test_unanswered_starts(void)
{
	static const enum mem_executor_fault faults[] = {
		MEM_EXECUTOR_NOT_SENT,
		MEM_EXECUTOR_VANISH,
		MEM_EXECUTOR_LOSE,
		MEM_EXECUTOR_LATE,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);

		mem_executor_fail_orders(dispatch_world_workers(w), faults[i],
					 2);
		dispatch_world_submit(w, 1, 3, 2, false);
		g_assert_true(dispatch_world_await_running(w, 3));
		mem_executor_run_late(dispatch_world_workers(w));
		wait_turns(dispatch_world_loop(w), 20);
		mem_executor_end_all(dispatch_world_workers(w));
		g_assert_true(dispatch_world_await(w, 1, "completed"));
		/* Late copies after the end change nothing. */
		mem_executor_run_late(dispatch_world_workers(w));
		wait_turns(dispatch_world_loop(w), 20);
		close_world(w);
	}
}

/*
 * A start that was never carried out and then could not be sent: its run is
 * stopped, and the task starts again although the worker never lists an end.
 */
static void test_stop_of_run_that_never_started(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_submit(w, 1, 1, 8, false);
	mem_executor_fail_orders(workers, MEM_EXECUTOR_VANISH, 1);
	g_assert_true(dispatch_world_await(w, 1, "running"));
	wait_turns(dispatch_world_loop(w), 5);
	mem_executor_fail_orders(workers, MEM_EXECUTOR_NOT_SENT, 1);
	g_assert_true(dispatch_world_await_running(w, 1));
	close_world(w);
}

/*
 * A start that got no answer is not repeated once its worker drains: the run is
 * given up, and the task starts elsewhere.
 */
static void test_no_repeat_while_draining(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatch_world_workers(w);

	mem_executor_fail_orders(workers, MEM_EXECUTOR_VANISH, 1);
	dispatch_world_submit(w, 1, 1, 8, false);
	g_assert_true(dispatch_world_await(w, 1, "running"));
	dispatch_world_drain(w, 0);
	wait_turns(dispatch_world_loop(w), 10);
	mem_executor_bar(workers, "worker0", true);
	dispatch_world_add_worker(w, 1);
	g_assert_true(dispatch_world_await_running(w, 1));
	g_assert_nonnull(mem_executor_where(workers, "0000000000000001.0.0.0"));
	close_world(w);
}

/*
 * The load of a leader elected over a large fleet: it contacts all workers, a
 * few at a time, so that it still renews its own lease.
 */
static void test_large_fleet_is_contacted_in_turn(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 600);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_submit(w, 1, 600, 8, false);
	g_assert_true(dispatch_world_await_running(w, 600));
	g_assert_cmpuint(mem_executor_most_holds(workers), >, 0);
	g_assert_cmpuint(mem_executor_most_holds(workers), <=, 64);
	close_world(w);
}

/* The same while most workers are cut off: they do not hold up the others. */
static void test_silent_workers_do_not_hold_up_others(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 0);
	struct mem_executor *workers = dispatch_world_workers(w);
	char id[32];
	int k;

	mem_executor_cut_timeout(workers, 60);
	for (k = 0; k < 200; k++) {
		dispatch_world_add_worker(w, k);
		g_snprintf(id, sizeof(id), "worker%d", k);
		mem_executor_cut(workers, id, k >= 20);
	}
	dispatch_world_submit(w, 1, 20, 8, false);
	g_assert_true(dispatch_world_await_running(w, 20));
	close_world(w);
}

/* Ends that a worker lists are not acknowledged before the jobs are known. */
static void test_next_epoch_knows_the_ends(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);

	dispatch_world_submit(w, 1, 2, 8, false);
	g_assert_true(dispatch_world_await_running(w, 2));
	wait_turns(dispatch_world_loop(w), 20);
	dispatch_world_stop(w);
	mem_executor_end_all(dispatch_world_workers(w));
	mem_store_delay(dispatch_world_store(w), 0.05);
	dispatch_world_lead(w);
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(dispatch_world_workers(w)), ==, 2);
	close_world(w);
}

/* An end that the store does not hold yet is not acknowledged. */
static void test_end_before_the_store_holds_it(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);
	struct mem_store *store = dispatch_world_store(w);

	dispatch_world_submit(w, 1, 1, 8, false);
	g_assert_true(dispatch_world_await_running(w, 1));
	wait_turns(dispatch_world_loop(w), 20);
	mem_store_fail_changes(store, MEM_STORE_REFUSE, 1000000);
	mem_executor_end_all(dispatch_world_workers(w));
	/* Long enough for several holds. */
	wait_turns(dispatch_world_loop(w), 600);
	dispatch_world_stop(w);
	mem_store_fail_changes(store, MEM_STORE_FINE, 0);
	dispatch_world_lead(w);
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(dispatch_world_workers(w)), ==, 1);
	close_world(w);
}

/* A hold sent beside a start may list what ran before it. */
static void test_hold_beside_start(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatch_world_workers(w);
	int k;

	dispatch_world_submit(w, 1, 1, 1, false);
	g_assert_true(dispatch_world_await_running(w, 1));
	mem_executor_stale_holds(workers, true);
	mem_executor_end_all(workers); /* the waiting hold answers */
	for (k = 2; k < 8; k++) {
		dispatch_world_submit(w, k, 1, 1, false);
		wait_turns(dispatch_world_loop(w), 6);
	}
	g_assert_true(dispatch_world_await_running(w, 6));
	wait_turns(dispatch_world_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 7);
	close_world(w);
}

/* The next epoch takes over what runs. */
static void test_next_epoch_adopts_runs(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);

	dispatch_world_submit(w, 1, 2, 8, true);
	g_assert_true(dispatch_world_await_running(w, 2));
	wait_turns(dispatch_world_loop(w), 20);
	dispatch_world_lead(w);
	wait_turns(dispatch_world_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(dispatch_world_workers(w)), ==, 2);
	mem_executor_end_all(dispatch_world_workers(w));
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	close_world(w);
}

/* An order of a former epoch that is carried out late meets the fence. */
static void test_late_order_of_former_epoch(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatch_world_workers(w);

	mem_executor_fail_orders(workers, MEM_EXECUTOR_LATE, 1);
	dispatch_world_submit(w, 1, 1, 8, false);
	g_assert_true(dispatch_world_await(w, 1, "running"));
	wait_turns(dispatch_world_loop(w), 5);
	dispatch_world_lead(w);
	g_assert_true(dispatch_world_await_running(w, 1));
	mem_executor_run_late(workers);
	wait_turns(dispatch_world_loop(w), 20);
	mem_executor_end_all(workers);
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	close_world(w);
}

static bool runs_elsewhere(void *ctx)
{
	struct dispatch_world *w = ctx;
	const char *id = mem_executor_where(dispatch_world_workers(w),
					    "0000000000000001.0.0.0");

	return id && !strcmp(id, "worker1");
}

/* A silent worker's lease lapses, however often it is called meanwhile. */
static void test_silent_worker(void)
{
	struct dispatch_world *w = open_world(SHORT_LEASE_MS, 1);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_submit(w, 1, 1, 8, false);
	g_assert_true(dispatch_world_await_running(w, 1));
	wait_turns(dispatch_world_loop(w), 20);
	dispatch_world_add_worker(w, 1);
	mem_executor_cut(workers, "worker0", true);
	mem_executor_reboot(workers, "worker0"); /* behind the cut */
	dispatch_world_list(w, 0, false);
	g_assert_true(wait_for(dispatch_world_loop(w), runs_elsewhere, w));
	close_world(w);
}

/* Another life of a worker knows nothing of the runs before. */
static void test_reborn_worker(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_submit(w, 1, 2, 4, false);
	g_assert_true(dispatch_world_await_running(w, 2));
	wait_turns(dispatch_world_loop(w), 20);
	mem_executor_reboot(workers, "worker0");
	g_assert_true(dispatch_world_await_running(w, 2));
	mem_executor_end_all(workers);
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 4);
	close_world(w);
}

static void test_cancel(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);

	dispatch_world_submit(w, 1, 2, 8, false);
	dispatch_world_submit(w, 2, 1, 8, false);
	g_assert_true(dispatch_world_await_running(w, 2));
	dispatch_world_cancel(w, 1);
	g_assert_true(dispatch_world_await(w, 1, "cancelled"));
	/* Its room goes to the other job. */
	g_assert_true(dispatch_world_await_running(w, 1));
	g_assert_true(dispatch_world_await(w, 2, "running"));
	close_world(w);
}

/* Two failed runs of a task are the limit of the queue. */
static void test_fails(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);
	struct mem_executor *workers = dispatch_world_workers(w);
	int attempt;

	dispatch_world_submit(w, 1, 1, 1, false);
	for (attempt = 0; attempt < 2; attempt++) {
		g_assert_true(dispatch_world_await_running(w, 1));
		mem_executor_end(workers, "0000000000000001.0.0.0",
				 CQ_RUN_FAILED);
	}
	g_assert_true(dispatch_world_await(w, 1, "failed"));
	wait_turns(dispatch_world_loop(w), 40);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 2);
	close_world(w);
}

/* A member that fails ends the others; the gang starts again as a whole. */
static void test_gang_member_fails(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_submit(w, 1, 2, 8, true);
	g_assert_true(dispatch_world_await_running(w, 2));
	wait_turns(dispatch_world_loop(w), 20);
	mem_executor_end(workers, "0000000000000001.0.0.0", CQ_RUN_FAILED);
	g_assert_true(dispatch_world_await_running(w, 0));
	g_assert_true(dispatch_world_await_running(w, 2));
	mem_executor_end_all(workers);
	g_assert_true(dispatch_world_await(w, 1, "completed"));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 4);
	close_world(w);
}

static void test_evacuated(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 2);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_evacuate(w, "dc0", true);
	dispatch_world_submit(w, 1, 2, 8, false);
	g_assert_true(dispatch_world_await_running(w, 1));
	wait_turns(dispatch_world_loop(w), 40);
	g_assert_cmpstr(mem_executor_where(workers, "0000000000000001.0.0.0"),
			==, "worker1");
	g_assert_cmpuint(mem_executor_running(workers), ==, 1);
	dispatch_world_evacuate(w, "dc0", false);
	g_assert_true(dispatch_world_await_running(w, 2));
	close_world(w);
}

/*
 * Bursts of urgent work find room: work that can wait leaves a quarter of the
 * accelerators free, work that is late does not.
 */
static void test_headroom(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 4);

	dispatch_world_set_priority(w, 1);
	dispatch_world_set_estimate(w, 100000);
	dispatch_world_submit(w, 1, 16, 1, false);
	g_assert_true(dispatch_world_await_running(w, 16));
	dispatch_world_submit(w, 2, 16, 1, false);
	wait_turns(dispatch_world_loop(w), 60);
	g_assert_cmpstr(dispatch_world_state(w, 2), ==, "");
	dispatch_world_set_estimate(w, 1);
	dispatch_world_submit(w, 3, 16, 1, false);
	g_assert_true(dispatch_world_await_running(w, 32));
	g_assert_cmpstr(dispatch_world_state(w, 3), ==, "running");
	close_world(w);
}

/*
 * A burst of urgent jobs of one workspace has taken every accelerator. Another
 * workspace gets what belongs to it; beyond that it waits.
 */
static void test_guarantee_beside_burst(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 4);
	struct mem_executor *workers = dispatch_world_workers(w);

	dispatch_world_set_workspace(w, "burst", 8);
	dispatch_world_submit(w, 1, 1, 8, true);
	g_assert_true(dispatch_world_await_running(w, 1));
	dispatch_world_submit(w, 2, 3, 8, true);
	g_assert_true(dispatch_world_await_running(w, 4));
	dispatch_world_set_workspace(w, "calm", 16);
	dispatch_world_submit(w, 3, 2, 8, true);
	g_assert_true(dispatch_world_await(w, 3, "running"));
	g_assert_true(dispatch_world_await_running(w, 3));
	dispatch_world_submit(w, 4, 1, 8, true);
	dispatch_world_submit(w, 5, 1, 8, true);
	wait_turns(dispatch_world_loop(w), 60);
	g_assert_cmpstr(dispatch_world_state(w, 1), ==, "running");
	/* One of them has the accelerators that nobody needs. */
	g_assert_cmpuint(mem_executor_running(workers), ==, 4);
	g_assert_cmpuint(mem_executor_starts(workers), ==, 7);
	close_world(w);
}

/* Nothing is ordered while the leader's lease may have ended. */
static void test_not_allowed(void)
{
	struct dispatch_world *w = open_world(LONG_LEASE_MS, 1);

	wait_turns(dispatch_world_loop(w), 20);
	dispatch_world_allow(w, false);
	dispatch_world_submit(w, 1, 1, 1, false);
	wait_turns(dispatch_world_loop(w), 60);
	g_assert_cmpuint(mem_executor_starts(dispatch_world_workers(w)), ==, 0);
	dispatch_world_allow(w, true);
	g_assert_true(dispatch_world_await_running(w, 1));
	close_world(w);
}

/* Entries of another writer name no worker; the others hold. */
static void test_foreign_entries(void)
{
	struct dispatch_world *w = dispatch_world_create(LONG_LEASE_MS);

	mem_store_write(dispatch_world_store(w), "w/odd", "nonsense");
	mem_store_write(dispatch_world_store(w), "w/", "");
	dispatch_world_add_worker(w, 0);
	dispatch_world_lead(w);
	dispatch_world_submit(w, 1, 1, 1, false);
	g_assert_true(dispatch_world_await_running(w, 1));
	close_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher/completes", test_completes);
	g_test_add_func("/dispatcher/room", test_room);
	g_test_add_func("/dispatcher/unanswered_starts",
			test_unanswered_starts);
	g_test_add_func("/dispatcher/stop_of_run_that_never_started",
			test_stop_of_run_that_never_started);
	g_test_add_func("/dispatcher/no_repeat_while_draining",
			test_no_repeat_while_draining);
	g_test_add_func("/dispatcher/large_fleet_is_contacted_in_turn",
			test_large_fleet_is_contacted_in_turn);
	g_test_add_func("/dispatcher/silent_workers_do_not_hold_up_others",
			test_silent_workers_do_not_hold_up_others);
	g_test_add_func("/dispatcher/next_epoch_knows_the_ends",
			test_next_epoch_knows_the_ends);
	g_test_add_func("/dispatcher/end_before_the_store_holds_it",
			test_end_before_the_store_holds_it);
	g_test_add_func("/dispatcher/hold_beside_start",
			test_hold_beside_start);
	g_test_add_func("/dispatcher/next_epoch_adopts_runs",
			test_next_epoch_adopts_runs);
	g_test_add_func("/dispatcher/late_order_of_former_epoch",
			test_late_order_of_former_epoch);
	g_test_add_func("/dispatcher/silent_worker", test_silent_worker);
	g_test_add_func("/dispatcher/reborn_worker", test_reborn_worker);
	g_test_add_func("/dispatcher/cancel", test_cancel);
	g_test_add_func("/dispatcher/fails", test_fails);
	g_test_add_func("/dispatcher/gang_member_fails",
			test_gang_member_fails);
	g_test_add_func("/dispatcher/evacuated", test_evacuated);
	g_test_add_func("/dispatcher/headroom", test_headroom);
	g_test_add_func("/dispatcher/guarantee_beside_burst",
			test_guarantee_beside_burst);
	g_test_add_func("/dispatcher/not_allowed", test_not_allowed);
	g_test_add_func("/dispatcher/foreign_entries", test_foreign_entries);
	return g_test_run();
}
