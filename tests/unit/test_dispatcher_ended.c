/*
 * Records of ended jobs. Guards against a store, and leaders, that grow with
 * all jobs that have been, and against a job that is gone too early, in part,
 * or comes back.
 */
#include <glib.h>
#include <string.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
#define JOBS 40
#define SHORT_RETENTION_MS 50
#define LONG_RETENTION_MS 60000

static struct dispatcher_fixture *create_world(uint32_t retention_ms)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);

	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_set_retention(w, retention_ms);
	dispatcher_fixture_start_epoch(w);
	return w;
}

static void check_and_destroy_world(struct dispatcher_fixture *w)
{
	g_assert_cmpstr(mem_executor_violations(dispatcher_fixture_workers(w)),
			==, "");
	dispatcher_fixture_destroy(w);
}

static bool has_record(struct dispatcher_fixture *w, const char *prefix, int k)
{
	char *key = g_strdup_printf("%s%016d", prefix, k);
	bool found = mem_store_read(dispatcher_fixture_store(w), key);

	g_free(key);
	return found;
}

/* Number of records of the jobs 1 to JOBS */
static uint32_t count_records(struct dispatcher_fixture *w)
{
	uint32_t count = 0;
	int k;

	for (k = 1; k <= JOBS; k++)
		count += has_record(w, CQ_KEY_WORKLOADS, k) +
			 has_record(w, CQ_KEY_PROGRESS, k);
	return count;
}

static bool none_left(void *ctx)
{
	return !count_records(ctx);
}

static void run_jobs(struct dispatcher_fixture *w, int count)
{
	int k;

	for (k = 1; k <= count; k++)
		dispatcher_fixture_submit(w, k, 1, 0, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, (uint32_t)count));
	mem_executor_end_all(dispatcher_fixture_workers(w));
}

struct call_wait {
	struct dispatcher_fixture *w;
	uint32_t calls;
};

static bool has_called(void *ctx)
{
	const struct call_wait *wait = ctx;

	return mem_store_calls(dispatcher_fixture_store(wait->w)) >=
	       wait->calls;
}

/*
 * Waits until the leader has called the store that often: its two watches are
 * renewed three times a second, as often as it deletes records. Shows what does
 * not happen meanwhile.
 */
static void wait_for_calls(struct dispatcher_fixture *w, uint32_t count)
{
	struct call_wait wait = { w, count };

	wait.calls += mem_store_calls(dispatcher_fixture_store(w));
	g_assert_true(wait_for(dispatcher_fixture_loop(w), has_called, &wait));
}

/* All records go; nothing of the jobs starts again. */
static void test_deleted(void)
{
	struct dispatcher_fixture *w = create_world(SHORT_RETENTION_MS);
	struct mem_executor *workers = dispatcher_fixture_workers(w);
	uint32_t changes;

	run_jobs(w, JOBS);
	g_assert_true(wait_for(dispatcher_fixture_loop(w), none_left, w));
	g_assert_cmpuint(mem_executor_starts(workers), ==, JOBS);
	/* Nothing is written when there is nothing more to delete. */
	wait_for_calls(w, 6);
	changes = mem_store_changes(dispatcher_fixture_store(w));
	wait_for_calls(w, 6);
	g_assert_cmpuint(mem_store_changes(dispatcher_fixture_store(w)), ==,
			 changes);
	check_and_destroy_world(w);
}

/* Records that callers may still ask for stay. */
static void test_kept_for_callers(void)
{
	struct dispatcher_fixture *w = create_world(LONG_RETENTION_MS);

	run_jobs(w, 1);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	wait_for_calls(w, 6);
	g_assert_cmpstr(dispatcher_fixture_state(w, 1), ==, "completed");
	dispatcher_fixture_start_epoch(w);
	wait_for_calls(w, 6);
	g_assert_cmpstr(dispatcher_fixture_state(w, 1), ==, "completed");
	g_assert_true(has_record(w, CQ_KEY_WORKLOADS, 1));
	check_and_destroy_world(w);
}

/* Jobs that run, wait or were cancelled while they ran stay until they end. */
static void test_live_jobs_stay(void)
{
	struct dispatcher_fixture *w = create_world(SHORT_RETENTION_MS);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	dispatcher_fixture_submit(w, 1, 1, 8, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 1));
	dispatcher_fixture_submit(w, 2, 1, 8, false);
	mem_executor_set_unreachable(workers, "worker0", true);
	dispatcher_fixture_cancel(w, 1);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "cancelled"));
	wait_for_calls(w, 6);
	g_assert_cmpstr(dispatcher_fixture_state(w, 1), ==, "cancelled");
	g_assert_true(has_record(w, CQ_KEY_WORKLOADS, 2));
	mem_executor_set_unreachable(workers, "worker0", false);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, ""));
	mem_executor_end_all(workers);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 2, "completed"));
	check_and_destroy_world(w);
}

/*
 * A leader goes while deletions are unanswered, and carried out late or not at
 * all: the next one deletes what is left, and starts nothing of it.
 */
static void test_deleted_by_next_leader(void)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_DROP_ANSWER,
		MEM_STORE_DROP_CHANGE,
		MEM_STORE_DELAY_CHANGE,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct dispatcher_fixture *w = create_world(LONG_RETENTION_MS);
		struct mem_store *store = dispatcher_fixture_store(w);

		run_jobs(w, JOBS);
		g_assert_true(dispatcher_fixture_wait_for_state(w, JOBS,
								"completed"));
		wait_for_calls(w, 2);
		dispatcher_fixture_set_retention(w, SHORT_RETENTION_MS);
		dispatcher_fixture_start_epoch(w);
		mem_store_fail_changes(store, faults[i], 3);
		wait_for_calls(w, 4);
		dispatcher_fixture_start_epoch(w);
		mem_store_run_delayed(store);
		g_assert_true(
			wait_for(dispatcher_fixture_loop(w), none_left, w));
		g_assert_cmpuint(
			mem_executor_starts(dispatcher_fixture_workers(w)), ==,
			JOBS);
		check_and_destroy_world(w);
	}
}

/* Both records of a job go in one transaction. */
static void test_no_half_deletion(void)
{
	struct dispatcher_fixture *w = create_world(SHORT_RETENTION_MS);
	int k;

	run_jobs(w, JOBS);
	while (count_records(w)) {
		run_loop_iterations(dispatcher_fixture_loop(w), 1);
		for (k = 1; k <= JOBS; k++)
			g_assert_true(!has_record(w, CQ_KEY_PROGRESS, k) ||
				      has_record(w, CQ_KEY_WORKLOADS, k));
	}
	check_and_destroy_world(w);
}

/* After the deletion the id is free: the job that is then submitted runs. */
static void test_id_submitted_again(void)
{
	struct dispatcher_fixture *w = create_world(SHORT_RETENTION_MS);
	struct mem_executor *workers = dispatcher_fixture_workers(w);

	run_jobs(w, 1);
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, "completed"));
	g_assert_true(dispatcher_fixture_wait_for_state(w, 1, ""));
	/* With and without the notice of the deletion in between. */
	mem_store_compact(dispatcher_fixture_store(w));
	dispatcher_fixture_submit(w, 1, 2, 0, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, 2));
	g_assert_cmpuint(mem_executor_starts(workers), ==, 3);
	dispatcher_fixture_destroy(w);
}

static bool is_full(void *ctx)
{
	return mem_store_read(dispatcher_fixture_store(ctx), CQ_KEY_FULL);
}

static bool is_open(void *ctx)
{
	return !is_full(ctx);
}

/*
 * Guards against jobs that wait and take the leader over its memory: from the
 * limit on hosts are told to refuse further ones, until enough have ended. A
 * next leader finds out anew.
 */
static void test_full(void)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);
	struct ev_loop *loop = dispatcher_fixture_loop(w);
	int k;

	dispatcher_fixture_set_max_job_bytes(w, 10000);
	dispatcher_fixture_start_epoch(w);
	dispatcher_fixture_submit(w, 1, 1, 0, false);
	wait_for_calls(w, 6);
	g_assert_true(is_open(w));
	for (k = 2; k <= JOBS; k++)
		dispatcher_fixture_submit(w, k, 1, 0, false);
	g_assert_true(wait_for(loop, is_full, w));
	dispatcher_fixture_start_epoch(w);
	wait_for_calls(w, 6);
	g_assert_true(is_full(w));
	dispatcher_fixture_add_worker(w, 0);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, JOBS));
	mem_executor_end_all(dispatcher_fixture_workers(w));
	g_assert_true(wait_for(loop, is_open, w));
	/* Left by a leader that is gone. */
	mem_store_write(dispatcher_fixture_store(w), CQ_KEY_FULL, "1");
	dispatcher_fixture_start_epoch(w);
	g_assert_true(wait_for(loop, is_open, w));
	check_and_destroy_world(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatcher_ended/deleted", test_deleted);
	g_test_add_func("/dispatcher_ended/kept_for_callers",
			test_kept_for_callers);
	g_test_add_func("/dispatcher_ended/live_jobs_stay",
			test_live_jobs_stay);
	g_test_add_func("/dispatcher_ended/deleted_by_next_leader",
			test_deleted_by_next_leader);
	g_test_add_func("/dispatcher_ended/no_half_deletion",
			test_no_half_deletion);
	g_test_add_func("/dispatcher_ended/id_submitted_again",
			test_id_submitted_again);
	g_test_add_func("/dispatcher_ended/full", test_full);
	return g_test_run();
}
