/* What one plan does at most, however many stages, runs and workers. */
#include <glib.h>

#include "tests/support/stage_fixture.h"

#define RANK_BULK STAGE_FIXTURE_RANK_BULK

/* Adds a job with that many occurrences of one small task, all of them due. */
static struct cq_stage *add_overdue_job(struct stage_fixture *w,
					uint32_t occurrences)
{
	struct cq_stage *stage = stage_fixture_add(w, RANK_BULK, 1, 0);
	uint32_t i;

	stage->batch->workload->occurrences = occurrences;
	for (i = 1; i < occurrences; i++)
		cq_batch_open(stage->batch, i);
	return cq_batch_stage_at(stage->batch, 0);
}

/*
 * Guards against a plan whose work grows with the square of the runs on a
 * worker: a leader that plans for longer than its lease loses the lead, and so
 * does the next one. The placement puts all these tasks onto one worker.
 */
static void test_work_of_many_small_runs(void)
{
	static const uint32_t counts[] = { 100, 1000, 10000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct stage_fixture w;

		stage_fixture_setup(&w, 16);
		stage_fixture_plan(&w, add_overdue_job(&w, counts[i]), 0);
		g_assert_cmpuint(w.started, ==, counts[i]);
		/* A few looks at each worker for each stage */
		g_assert_cmpuint(w.result.work, <=, counts[i] * 16 * 4);
		stage_fixture_teardown(&w);
	}
}

/*
 * Guards against a plan that takes as long as there are stages: one that has
 * looked at enough ends, and the next ones of the round go on behind it.
 */
static void test_plan_goes_on(void)
{
	struct stage_fixture w;
	struct cq_stage *job;
	uint32_t started = 0;
	int plans = 0;

	stage_fixture_setup(&w, 16);
	job = add_overdue_job(&w, 1000);
	w.round = 1;
	w.max_work = 5000;
	do {
		stage_fixture_plan(&w, job, 0);
		started += w.started;
		/* The last stage and the passed over ones come on top. */
		g_assert_cmpuint(w.result.work, <=, w.max_work + 1000 + 64);
		plans++;
	} while (!w.result.complete && plans < 100);
	g_assert_cmpuint(started, ==, 1000);
	g_assert_cmpint(plans, >, 5);
	stage_fixture_teardown(&w);
}

/*
 * Guards against a stage without room, which is come to again in each plan of a
 * round, so that those behind it never have their turn.
 */
static void test_round_passes_over(void)
{
	struct stage_fixture w;
	struct cq_stage *stages[2];

	stage_fixture_setup(&w, 4);
	stages[0] = stage_fixture_add_gang(&w, CQ_RANK_URGENT, 5);
	stages[1] = stage_fixture_add(&w, RANK_BULK, 1, 1);
	w.round = 1;
	w.max_work = 1;
	stage_fixture_plan_all(&w, stages, 2, 0);
	g_assert_false(w.result.complete);
	stage_fixture_plan_all(&w, stages, 2, 0);
	g_assert_cmpuint(w.started, ==, 1);
	g_assert_true(w.result.complete);
	stage_fixture_teardown(&w);
}

/*
 * Guards against jobs that have nothing running while a large one has all of
 * the starts, and against a gang that starts in part.
 */
static void test_starts_are_shared(void)
{
	struct stage_fixture w;
	struct cq_stage *stages[3];

	stage_fixture_setup(&w, 16);
	stages[0] = stage_fixture_add(&w, CQ_RANK_URGENT, 1000, 0);
	stages[1] = stage_fixture_add(&w, RANK_BULK, 10, 0);
	stages[2] = stage_fixture_add_gang(&w, RANK_BULK, 12);
	w.max_recording = 16;
	stage_fixture_plan_all(&w, stages, 3, 0);
	g_assert_cmpuint(stages[0]->active_count, ==, 4);
	g_assert_cmpuint(stages[1]->active_count, ==, 4);
	g_assert_cmpuint(stages[2]->active_count, ==, 12);
	stage_fixture_teardown(&w);
}

/*
 * Guards against a gang that never starts since the estimate of its record,
 * which is on the safe side, is larger than the store takes.
 */
static void test_gang_beyond_estimate(void)
{
	struct stage_fixture w;
	struct cq_stage *gang;

	stage_fixture_setup(&w, 12);
	gang = stage_fixture_add_gang(&w, CQ_RANK_URGENT, 12);
	gang->batch->max_record_bytes = 11 * CQ_BATCH_RUN_RECORD_BYTES;
	stage_fixture_plan(&w, gang, 0);
	g_assert_cmpuint(w.started, ==, 12);
	stage_fixture_teardown(&w);
}

/*
 * Guards against guaranteed work that is late, as other jobs have all the
 * starts: those that wait for their record are half of what may.
 */
static void test_guaranteed_is_not_held_back(void)
{
	struct stage_fixture w;
	struct cq_stage *stages[3];

	stage_fixture_setup(&w, 16);
	stages[0] = stage_fixture_add(&w, CQ_RANK_URGENT, 4, 0);
	stages[1] = stage_fixture_add(&w, CQ_RANK_URGENT, 4, 0);
	stages[2] = stage_fixture_add(&w, CQ_RANK_GUARANTEED, 4, 0);
	w.recording = 8;
	w.max_recording = 16;
	stage_fixture_plan_all(&w, stages, 3, 0);
	g_assert_cmpuint(stages[0]->active_count, ==, 1);
	g_assert_cmpuint(stages[1]->active_count, ==, 1);
	g_assert_cmpuint(stages[2]->active_count, ==, 4);
	stage_fixture_teardown(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stage_plan_bounds/work_of_many_small_runs",
			test_work_of_many_small_runs);
	g_test_add_func("/stage_plan_bounds/plan_goes_on", test_plan_goes_on);
	g_test_add_func("/stage_plan_bounds/round_passes_over",
			test_round_passes_over);
	g_test_add_func("/stage_plan_bounds/starts_are_shared",
			test_starts_are_shared);
	g_test_add_func("/stage_plan_bounds/gang_beyond_estimate",
			test_gang_beyond_estimate);
	g_test_add_func("/stage_plan_bounds/guaranteed_is_not_held_back",
			test_guaranteed_is_not_held_back);
	return g_test_run();
}
