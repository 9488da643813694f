/* Occurrences of timed jobs come into being when due and go when ended. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

#define ID "5c0e7a21d94b36f8"
#define STEPS 3
#define WIDTH 72
#define RUNS_OF_A_YEAR 17520
#define HALF_HOUR_MS INT64_C(1800000)
#define FIRST_RUN_MS INT64_C(1800000000000)

static struct cq_batch *create_batch(uint32_t occurrences, int64_t first_run_ms,
				     int64_t interval_ms)
{
	struct cq_workload *w = cq_workload_create();
	uint32_t i;

	g_strlcpy(w->id, ID, sizeof(w->id));
	w->spec = g_strdup("spec");
	w->step_count = STEPS;
	w->steps = g_new0(struct cq_workload_step, STEPS);
	for (i = 0; i < STEPS; i++)
		w->steps[i].tasks = WIDTH;
	w->occurrences = occurrences;
	w->first_run_ms = first_run_ms;
	w->interval_ms = interval_ms;
	return cq_batch_create(w);
}

static void run_occurrence(struct cq_batch *batch, uint32_t occurrence,
			   struct cq_pool_worker *worker)
{
	uint32_t i, k;

	for (i = 0; i < STEPS; i++) {
		struct cq_stage *stage = cq_batch_stage(batch, occurrence, i);

		g_assert_nonnull(stage);
		g_assert_cmpuint(stage->occurrence, ==, occurrence);
		for (k = 0; k < WIDTH; k++) {
			cq_task_assign(&stage->tasks[k], worker, 1);
			cq_task_end(&stage->tasks[k], CQ_RUN_DONE, "", 0);
		}
	}
}

/*
 * Guards against a leader that holds all runs of a year from the moment when
 * it reads the job, and exceeds its memory.
 */
static void test_nothing_before_due(void)
{
	struct cq_batch *batch =
		create_batch(RUNS_OF_A_YEAR, FIRST_RUN_MS, HALF_HOUR_MS);

	g_assert_cmpuint(cq_batch_stage_count(batch), ==, 0);
	cq_batch_open_due(batch, FIRST_RUN_MS - 1);
	g_assert_cmpuint(cq_batch_stage_count(batch), ==, 0);
	cq_batch_open_due(batch, FIRST_RUN_MS);
	g_assert_cmpuint(cq_batch_stage_count(batch), ==, STEPS);
	cq_batch_open_due(batch, FIRST_RUN_MS + HALF_HOUR_MS);
	g_assert_cmpuint(cq_batch_stage_count(batch), ==, 2 * STEPS);
	g_assert_null(cq_batch_stage(batch, 2, 0));
	cq_batch_destroy(batch);
}

/*
 * Guards against occurrences that stay in memory after their end, and against
 * a job that counts as completed before its last occurrence.
 */
static void test_ended_are_freed(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = cq_pool_add(pool, "worker");
	struct cq_batch *batch = create_batch(50, FIRST_RUN_MS, HALF_HOUR_MS);
	uint32_t k;

	for (k = 0; k < 50; k++) {
		g_assert_cmpint(batch->state, !=, CQ_BATCH_COMPLETED);
		cq_batch_open_due(batch, FIRST_RUN_MS + k * HALF_HOUR_MS);
		run_occurrence(batch, k, worker);
		cq_batch_close_ended(batch);
		g_assert_cmpuint(cq_batch_stage_count(batch), ==, 0);
		g_assert_null(cq_batch_stage(batch, k, 0));
		g_assert_true(cq_batch_started(batch));
	}
	g_assert_cmpint(batch->state, ==, CQ_BATCH_COMPLETED);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against a job with many occurrences due at one time, as after an
 * outage, that exceeds the leader's memory: they come in turn, and all come.
 */
static void test_backlog_is_bounded(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = cq_pool_add(pool, "worker");
	struct cq_batch *batch = create_batch(1000, FIRST_RUN_MS, 1);
	uint32_t done = 0;

	while (batch->state != CQ_BATCH_COMPLETED) {
		uint32_t live;

		cq_batch_close_ended(batch);
		cq_batch_open_due(batch, FIRST_RUN_MS + HALF_HOUR_MS);
		live = cq_batch_stage_count(batch) / STEPS;
		g_assert_cmpuint(live, >, 0);
		g_assert_cmpuint(live * STEPS * WIDTH, <=,
				 CQ_BATCH_MAX_LIVE_TASKS);
		/* The later one ends before the earlier one. */
		if (live > 1)
			run_occurrence(batch, done + 1, worker);
		run_occurrence(batch, done, worker);
		done += live > 1 ? 2 : 1;
	}
	g_assert_cmpuint(done, ==, 1000);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/* Guards against an occurrence that is freed while a run of it goes on. */
static void test_running_is_kept(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = cq_pool_add(pool, "worker");
	struct cq_batch *batch = create_batch(2, FIRST_RUN_MS, HALF_HOUR_MS);
	struct cq_stage *stage;

	batch->workload->steps[STEPS - 1].gang = true;
	cq_batch_open_due(batch, FIRST_RUN_MS);
	stage = cq_batch_stage(batch, 0, STEPS - 1);
	run_occurrence(batch, 0, worker);
	cq_task_assign(&stage->tasks[1], worker, 2);
	g_assert_true(cq_stage_done(stage));
	cq_batch_close_ended(batch);
	g_assert_true(cq_batch_stage(batch, 0, STEPS - 1) == stage);
	cq_task_end(&stage->tasks[1], CQ_RUN_STOPPED, "", 0);
	cq_batch_close_ended(batch);
	g_assert_null(cq_batch_stage(batch, 0, STEPS - 1));
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against a plan that grows with the runs that are overdue: those that
 * nothing has started of come into being in turn, with at least one at a time.
 */
static void test_unstarted_come_in_turn(void)
{
	static const struct {
		uint32_t max_unstarted;
		uint32_t live; /* occurrences of STEPS * WIDTH tasks */
	} cases[] = {
		{ 0, 1 },
		{ STEPS * WIDTH, 1 },
		{ 2 * STEPS * WIDTH - 1, 1 },
		{ 2 * STEPS * WIDTH, 2 },
		{ 10 * STEPS * WIDTH, 10 },
	};
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = cq_pool_add(pool, "worker");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_batch *batch = create_batch(1000, FIRST_RUN_MS, 1);
		uint32_t live = cases[i].live;

		batch->max_unstarted = cases[i].max_unstarted;
		cq_batch_open_due(batch, FIRST_RUN_MS + HALF_HOUR_MS);
		g_assert_cmpuint(batch->live->len, ==, live);
		/* One that has started makes way for the next one. */
		cq_task_assign(&cq_batch_stage(batch, 0, 0)->tasks[0], worker,
			       1);
		cq_batch_open_due(batch, FIRST_RUN_MS + HALF_HOUR_MS);
		g_assert_cmpuint(batch->live->len, ==, live + 1);
		cq_task_end(&cq_batch_stage(batch, 0, 0)->tasks[0],
			    CQ_RUN_STOPPED, "", 0);
		cq_batch_open_due(batch, FIRST_RUN_MS + HALF_HOUR_MS);
		g_assert_cmpuint(batch->live->len, ==, live + 1);
		cq_batch_destroy(batch);
	}
	cq_pool_destroy(pool);
}

struct due_case {
	int64_t first_run_ms;
	int64_t interval_ms;
	uint32_t occurrence;
	int64_t due_ms;
};

/* Guards against due times that overflow, and are due long ago. */
static void test_due_times(void)
{
	static const struct due_case cases[] = {
		{ 0, 0, 0, 0 },
		{ 0, INT64_MAX, UINT32_MAX, 0 },
		{ INT64_MIN, 10, 3, 0 },
		{ 1000, -400, 3, 0 },
		{ 1000, INT64_MIN, 3, 0 },
		{ 1000, 10, 0, 1000 },
		{ 1000, 10, 3, 1030 },
		{ 1, INT64_MAX, 1, INT64_MAX },
		{ 1, INT64_MAX, 2, INT64_MAX },
		{ INT64_MAX, 0, UINT32_MAX, INT64_MAX },
		{ INT64_MAX, 1, 1, INT64_MAX },
		{ INT64_MAX - 5, 1, 5, INT64_MAX },
		{ 1, INT64_MAX / UINT32_MAX + 1, UINT32_MAX, INT64_MAX },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_workload w = {
			.first_run_ms = cases[i].first_run_ms,
			.interval_ms = cases[i].interval_ms,
		};

		g_assert_cmpint(cq_workload_due_ms(&w, cases[i].occurrence), ==,
				cases[i].due_ms);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch_occurrences/nothing_before_due",
			test_nothing_before_due);
	g_test_add_func("/batch_occurrences/ended_are_freed",
			test_ended_are_freed);
	g_test_add_func("/batch_occurrences/backlog_is_bounded",
			test_backlog_is_bounded);
	g_test_add_func("/batch_occurrences/running_is_kept",
			test_running_is_kept);
	g_test_add_func("/batch_occurrences/unstarted_come_in_turn",
			test_unstarted_come_in_turn);
	g_test_add_func("/batch_occurrences/due_times", test_due_times);
	return g_test_run();
}
