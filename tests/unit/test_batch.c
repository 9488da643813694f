/*
 * Stages, tasks and runs of a workload, and their progress record in the store.
 * Guards against work that is started twice, forgotten, or counted twice.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"
#include "chestnutquay/text.h"

#define ID "00000000000000ab"

static struct cq_workload *make_workload(uint32_t steps)
{
	struct cq_workload *w = cq_workload_create();
	uint32_t i;

	g_strlcpy(w->id, ID, sizeof(w->id));
	cq_text_set(&w->queue, "q");
	w->spec = g_strdup("spec \"quoted\"");
	w->step_count = steps;
	w->steps = g_new0(struct cq_workload_step, steps);
	for (i = 0; i < steps; i++) {
		w->steps[i].tasks = 2;
		w->steps[i].accelerators = 1;
	}
	return w;
}

static struct cq_pool_worker *add_worker(struct cq_pool *pool, const char *id)
{
	struct cq_executor_registration listing = {
		.id = id,
		.cpu_millicores = 1000,
		.memory_mb = 1000,
		.accelerators = 8,
		.started_unix_ms = 7,
	};
	struct cq_pool_worker *worker = cq_pool_add(pool, id);

	cq_pool_update(worker, &listing);
	return worker;
}

/* Guards against a field that encoding and parsing a workload loses. */
static void test_workload_round_trip(void)
{
	struct cq_workload *w = make_workload(2);
	struct cq_workload *read;
	char *text;

	w->steps[1].after = 1;
	w->steps[1].gang = true;
	w->steps[1].same_rack = true;
	w->steps[1].checkpointing = true;
	w->steps[1].max_per_worker = 3;
	w->steps[1].target_ms = 40;
	cq_text_set(&w->steps[1].data_rack, "r1-3");
	w->occurrences = 3;
	w->first_run_ms = 5000;
	w->interval_ms = 100;
	w->cancelled = true;
	text = cq_workload_format(w);
	read = cq_workload_parse(text, strlen(text), NULL);
	g_assert_nonnull(read);
	g_assert_cmpstr(read->spec, ==, w->spec);
	g_assert_cmpmem(read->steps, 2 * sizeof(*w->steps), w->steps,
			2 * sizeof(*w->steps));
	g_assert_cmpuint(read->occurrences, ==, 3);
	g_assert_cmpint(read->first_run_ms, ==, 5000);
	g_assert_cmpint(read->interval_ms, ==, 100);
	g_assert_true(read->cancelled);
	free(text);
	cq_workload_destroy(read);
	cq_workload_destroy(w);
}

/*
 * Guards against invalid workloads that are accepted or refused without naming
 * the fault.
 */
static void test_bad_workloads(void)
{
	static const struct {
		const char *json, *message;
	} cases[] = {
		{ "", "not a JSON object with steps" },
		{ "[]", "not a JSON object with steps" },
		{ "{\"id\":\"xyz\",\"spec\":\"\",\"steps\":[]}",
		  "id \"xyz\" is not 16 hexadecimal digits" },
		{ "{\"id\":\"" ID "\",\"steps\":[{\"tasks\":1}]}",
		  "spec is missing or longer than 4000 bytes" },
		{ "{\"id\":\"" ID "\",\"spec\":\"\",\"steps\":[]}",
		  "0 steps; allowed are 1 to 64" },
		{ "{\"id\":\"" ID "\",\"spec\":\"\",\"steps\":[{}]}",
		  "step 0 has no tasks" },
		{ "{\"id\":\"" ID "\",\"spec\":\"\",\"steps\":[{\"tasks\":1,"
		  "\"after\":1}]}",
		  "step 0 depends on a step that is not an earlier one" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;

		g_assert_null(cq_workload_parse(cases[i].json,
						strlen(cases[i].json), &err));
		g_assert_cmpstr(err.message, ==, cases[i].message);
	}
}

/*
 * Guards against a job that is larger than the leader can carry, and against
 * one at the limits that is refused.
 */
static void test_workload_limits(void)
{
	static const struct {
		uint32_t steps, tasks;
		size_t spec_bytes;
		const char *message; /* NULL: the job is taken */
	} cases[] = {
		{ 64, 1, 0, NULL },
		{ 65, 1, 0, "65 steps; allowed are 1 to 64" },
		{ 2, 10000, 0, NULL },
		{ 1, 20001, 0, "20001 tasks; at most 20000 are allowed" },
		{ 2, 4294967295, 0,
		  "8589934590 tasks; at most 20000 are allowed" },
		{ 1, 1, 4000, NULL },
		{ 1, 1, 4001, "spec is missing or longer than 4000 bytes" },
	};
	size_t i;
	uint32_t k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_workload *w = make_workload(cases[i].steps);
		struct cq_error err = CQ_ERROR_INIT;

		for (k = 0; k < w->step_count; k++)
			w->steps[k].tasks = cases[i].tasks;
		g_free(w->spec);
		w->spec = g_strnfill(cases[i].spec_bytes, 'x');
		g_assert_cmpint(cq_workload_check(w, &err), ==,
				!cases[i].message);
		g_assert_cmpstr(err.message, ==,
				cases[i].message ? cases[i].message : "");
		cq_workload_destroy(w);
	}
}

/* Guards against malformed or foreign task names that resolve to a task. */
static void test_names(void)
{
	static const char *const bad[] = {
		"",
		ID,
		ID ".0.0",
		ID ".0.0.2",
		ID ".0.2.0",
		ID ".1.0.0",
		ID ".0.0.0x",
		ID ".0.0.-1",
		ID ".0.0.0.",
		"ab.0.0.0",
		"00000000000000ac.0.0.0",
	};
	struct cq_batch *batch = cq_batch_create(make_workload(2));
	char name[CQ_TASK_NAME_BYTES];
	size_t i;

	cq_task_name(&cq_batch_stage(batch, 0, 1)->tasks[1], name);
	g_assert_cmpstr(name, ==, ID ".0.1.1");
	g_assert_true(cq_batch_find_task(batch, name) ==
		      &cq_batch_stage(batch, 0, 1)->tasks[1]);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_null(cq_batch_find_task(batch, bad[i]));
	cq_batch_destroy(batch);
}

/*
 * Guards against a step that starts before all tasks of the steps it depends on
 * are done.
 */
static void test_order(void)
{
	struct cq_workload *w = make_workload(2);
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch;
	struct cq_stage *first, *second;

	w->steps[1].after = 1;
	batch = cq_batch_create(w);
	first = cq_batch_stage(batch, 0, 0);
	second = cq_batch_stage(batch, 0, 1);
	g_assert_true(cq_stage_unblocked(first));
	g_assert_false(cq_stage_unblocked(second));
	cq_task_assign(&first->tasks[0], worker, 1);
	cq_task_assign(&first->tasks[1], worker, 1);
	g_assert_cmpint(worker->free_accelerators, ==, 6);
	g_assert_false(cq_task_end(&first->tasks[0], CQ_RUN_DONE, "", 2));
	g_assert_false(cq_stage_unblocked(second));
	g_assert_false(cq_task_end(&first->tasks[1], CQ_RUN_DONE, "", 2));
	g_assert_true(cq_stage_unblocked(second));
	g_assert_cmpint(worker->free_accelerators, ==, 8);
	cq_task_assign(&second->tasks[0], worker, 1);
	cq_task_assign(&second->tasks[1], worker, 1);
	cq_task_end(&second->tasks[0], CQ_RUN_DONE, "", 2);
	g_assert_true(cq_task_end(&second->tasks[1], CQ_RUN_DONE, "", 2));
	g_assert_cmpint(batch->state, ==, CQ_BATCH_COMPLETED);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against counting several members that fail in one run as several
 * failures of the gang.
 */
static void test_gang_failures(void)
{
	struct cq_workload *w = make_workload(1);
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch;
	struct cq_stage *stage;
	uint32_t run, i;

	w->steps[0].gang = true;
	batch = cq_batch_create(w);
	stage = cq_batch_stage(batch, 0, 0);
	for (run = 1; run <= 2; run++) {
		g_assert_true(cq_stage_waiting(stage));
		g_assert_cmpuint(cq_stage_next_run(stage, 0), ==, run);
		for (i = 0; i < 2; i++)
			cq_task_assign(&stage->tasks[i], worker, run);
		g_assert_false(cq_stage_waiting(stage));
		for (i = 0; i < 2; i++)
			cq_task_end(&stage->tasks[i], CQ_RUN_FAILED, "", 2);
		g_assert_cmpuint(stage->gang_failures, ==, run);
	}
	g_assert_cmpint(batch->state, ==, CQ_BATCH_FAILED);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against a failure that is not compared with the limit, because all
 * earlier ones were, and it came while the limit was not known.
 */
static void test_attempts_checked_again(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch = cq_batch_create(make_workload(1));
	struct cq_stage *stage = cq_batch_stage(batch, 0, 0);

	g_assert_false(cq_batch_check_attempts(batch, 1));
	cq_task_assign(&stage->tasks[0], worker, 1);
	g_assert_false(cq_task_end(&stage->tasks[0], CQ_RUN_FAILED, "", 0));
	g_assert_true(cq_batch_check_attempts(batch, 1));
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against losing failures that were counted while the limit was not
 * known, as by a leader that has no configuration yet: they count once it is.
 */
static void test_attempts_checked_later(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch = cq_batch_create(make_workload(1));
	struct cq_stage *stage = cq_batch_stage(batch, 0, 0);
	uint32_t run;

	for (run = 1; run <= 2; run++) {
		g_assert_false(cq_batch_check_attempts(batch, 2));
		cq_task_assign(&stage->tasks[0], worker, run);
		g_assert_false(
			cq_task_end(&stage->tasks[0], CQ_RUN_FAILED, "", 0));
	}
	g_assert_false(cq_batch_check_attempts(batch, 3));
	g_assert_true(cq_batch_check_attempts(batch, 2));
	g_assert_cmpint(batch->state, ==, CQ_BATCH_FAILED);
	g_assert_false(cq_batch_check_attempts(batch, 2));
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against a gang that is not done although one of its members completed.
 */
static void test_gang_done(void)
{
	struct cq_workload *w = make_workload(1);
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch;
	struct cq_stage *stage;

	w->steps[0].gang = true;
	batch = cq_batch_create(w);
	stage = cq_batch_stage(batch, 0, 0);
	cq_task_assign(&stage->tasks[0], worker, 1);
	cq_task_assign(&stage->tasks[1], worker, 1);
	g_assert_true(cq_task_end(&stage->tasks[0], CQ_RUN_DONE, "", 2));
	cq_task_end(&stage->tasks[1], CQ_RUN_LOST, NULL, 2);
	g_assert_cmpint(batch->state, ==, CQ_BATCH_COMPLETED);
	g_assert_false(cq_stage_waiting(stage));
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/*
 * Guards against a long-running task that is not restarted after an end, or
 * whose failures are limited.
 */
static void test_long_running(void)
{
	struct cq_workload *w = make_workload(1);
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch;
	struct cq_stage *stage;
	uint32_t run;

	w->steps[0].long_running = true;
	batch = cq_batch_create(w);
	stage = cq_batch_stage(batch, 0, 0);
	for (run = 1; run < 6; run++) {
		cq_task_assign(&stage->tasks[0], worker, run);
		cq_task_end(&stage->tasks[0],
			    run % 2 ? CQ_RUN_FAILED : CQ_RUN_DONE, "", 2);
		g_assert_true(cq_stage_waiting(stage));
	}
	g_assert_cmpint(batch->state, ==, CQ_BATCH_RUNNING);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

static struct cq_pool_worker *find_worker(void *ctx, const char *id,
					  int64_t born_unix_ms)
{
	g_assert_cmpint(born_unix_ms, ==, 7);
	return cq_pool_find(ctx, id);
}

/*
 * Guards against a new owner that restores other progress from the record than
 * was stored.
 */
static void test_restore(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool *other_pool = cq_pool_create();
	struct cq_pool_worker *worker = add_worker(pool, "a");
	struct cq_batch *batch = cq_batch_create(make_workload(2));
	struct cq_batch *copy = cq_batch_create(make_workload(2));
	struct cq_stage *stage = cq_batch_stage(batch, 0, 0);
	enum cq_batch_state state;
	char *text, *again;

	add_worker(other_pool, "a");
	cq_task_assign(&stage->tasks[0], worker, 4);
	cq_task_end(&stage->tasks[0], CQ_RUN_FAILED, "0123", 9);
	cq_task_assign(&stage->tasks[0], worker, 5);
	cq_task_assign(&stage->tasks[1], worker, 1);
	cq_task_end(&stage->tasks[1], CQ_RUN_DONE, "", 9);
	text = cq_batch_format(batch);
	g_assert_true(cq_batch_restore(copy, text, strlen(text), find_worker,
				       other_pool, NULL));
	again = cq_batch_format(copy);
	g_assert_cmpstr(again, ==, text);
	stage = cq_batch_stage(copy, 0, 0);
	g_assert_cmpint(stage->tasks[0].phase, ==, CQ_RUN_RESTORED);
	g_assert_cmpuint(stage->tasks[0].run, ==, 5);
	g_assert_cmpuint(stage->tasks[0].failures, ==, 1);
	g_assert_cmpstr(stage->tasks[0].checkpoint, ==, "0123");
	g_assert_true(stage->tasks[1].done);
	g_assert_cmpint(cq_pool_find(other_pool, "a")->free_accelerators, ==,
			7);
	g_assert_true(cq_batch_parse_record_state(text, strlen(text), &state));
	g_assert_cmpint(state, ==, CQ_BATCH_RUNNING);
	free(text);
	free(again);
	cq_batch_destroy(batch);
	cq_batch_destroy(copy);
	cq_pool_destroy(pool);
	cq_pool_destroy(other_pool);
}

/* Guards against malformed progress records that are accepted. */
static void test_bad_records(void)
{
	static const char bad_task[] =
		"{\"state\":\"running\",\"stages\":[{\"n\":0,"
		"\"tasks\":[[9]]}]}";
	const char *const bad[] = {
		"",
		"{}",
		"{\"state\":\"odd\"}",
		"{\"state\":\"running\",\"stages\":[{\"n\":9}]}",
		bad_task,
	};
	struct cq_pool *pool = cq_pool_create();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct cq_batch *batch = cq_batch_create(make_workload(1));

		g_assert_false(cq_batch_restore(batch, bad[i], strlen(bad[i]),
						find_worker, pool, NULL));
		cq_batch_destroy(batch);
	}
	cq_pool_destroy(pool);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch/workload_round_trip", test_workload_round_trip);
	g_test_add_func("/batch/bad_workloads", test_bad_workloads);
	g_test_add_func("/batch/workload_limits", test_workload_limits);
	g_test_add_func("/batch/names", test_names);
	g_test_add_func("/batch/order", test_order);
	g_test_add_func("/batch/gang_failures", test_gang_failures);
	g_test_add_func("/batch/attempts_checked_again",
			test_attempts_checked_again);
	g_test_add_func("/batch/attempts_checked_later",
			test_attempts_checked_later);
	g_test_add_func("/batch/gang_done", test_gang_done);
	g_test_add_func("/batch/long_running", test_long_running);
	g_test_add_func("/batch/restore", test_restore);
	g_test_add_func("/batch/bad_records", test_bad_records);
	return g_test_run();
}
