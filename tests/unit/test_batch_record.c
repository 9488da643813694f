/* What the progress record of a batch holds, and how large it gets. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

#define STEPS 3
#define WIDTH 72
#define OCCURRENCES 500
#define ID "5c0e7a21d94b36f8"

static struct cq_pool_worker *find_worker(void *ctx, const char *id,
					  int64_t born_unix_ms)
{
	(void)born_unix_ms;
	return cq_pool_find(ctx, id);
}

static struct cq_batch *create_batch(uint32_t occurrences)
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
	return cq_batch_create(w);
}

static struct cq_pool_worker *create_worker(struct cq_pool *pool)
{
	struct cq_pool_worker *worker = cq_pool_add(pool, "worker");

	worker->listing.started_unix_ms = 1700000000000;
	return worker;
}

static void run_task(struct cq_task *task, struct cq_pool_worker *worker)
{
	cq_task_assign(task, worker, task->run + 1);
	cq_task_end(task, CQ_RUN_DONE, "00000bb87a21d94b", 0);
}

static void run_occurrence(struct cq_batch *batch, uint32_t occurrence,
			   struct cq_pool_worker *worker)
{
	uint32_t i, k;

	for (i = 0; i < STEPS; i++)
		for (k = 0; k < WIDTH; k++)
			run_task(
				&cq_batch_stage(batch, occurrence, i)->tasks[k],
				worker);
}

static size_t record_bytes(const struct cq_batch *batch)
{
	char *text = cq_batch_format(batch);
	size_t bytes = strlen(text);

	free(text);
	return bytes;
}

/*
 * Guards against a record that grows with the occurrences that have ended, up
 * to a size that the store refuses.
 */
static void test_size_of_ended_occurrences(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = create_worker(pool);
	struct cq_batch *batch = create_batch(OCCURRENCES);
	size_t first;
	uint32_t k;

	run_occurrence(batch, 0, worker);
	first = record_bytes(batch);
	for (k = 1; k < OCCURRENCES; k++) {
		cq_batch_close_ended(batch);
		cq_batch_open_due(batch, 0);
		run_occurrence(batch, k, worker);
	}
	g_assert_cmpint(batch->state, ==, CQ_BATCH_COMPLETED);
	/* The numbers in it may have more digits. */
	g_assert_cmpuint(record_bytes(batch), <=, first + 16);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/* Guards against a record that grows with the tasks that are done. */
static void test_size_of_done_tasks(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = create_worker(pool);
	struct cq_batch *batch = create_batch(1);
	struct cq_stage *stage = cq_batch_stage(batch, 0, 0);
	size_t first;
	uint32_t k;

	run_task(&stage->tasks[0], worker);
	first = record_bytes(batch);
	for (k = 1; k < WIDTH; k++)
		run_task(&stage->tasks[k], worker);
	g_assert_cmpuint(record_bytes(batch), <=, first + 16);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

static uint32_t done_tasks(const struct cq_batch *batch, uint32_t occurrence)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < STEPS; i++)
		count += cq_batch_stage(batch, occurrence, i)->done_count;
	return count;
}

static bool is_ended(const struct cq_batch *batch, uint32_t occurrence)
{
	uint32_t i;

	if (!cq_batch_stage(batch, occurrence, 0))
		return occurrence < batch->opened;
	for (i = 0; i < STEPS; i++)
		if (!cq_stage_done(cq_batch_stage(batch, occurrence, i)))
			return false;
	return true;
}

/*
 * Guards against a record that grows with the runs that are due and that
 * nothing has started of, up to a size that the store refuses.
 */
static void test_size_of_unstarted_occurrences(void)
{
	struct cq_batch *one = create_batch(1);
	struct cq_batch *many = create_batch(OCCURRENCES);

	many->max_unstarted = UINT32_MAX;
	cq_batch_open_due(many, 0);
	g_assert_cmpuint(many->live->len, >, 50);
	g_assert_cmpuint(record_bytes(many), ==, record_bytes(one));
	cq_batch_destroy(one);
	cq_batch_destroy(many);
}

/*
 * Guards against a job whose runs together make a larger record than the store
 * takes. Runs that have ended make room again.
 */
static void test_room_for_runs(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = create_worker(pool);
	struct cq_batch *batch = create_batch(1);
	struct cq_stage *stage = cq_batch_stage(batch, 0, 0);
	uint32_t runs = 0;

	batch->max_record_bytes = 3000;
	g_assert_cmpuint(cq_batch_active_room(batch), ==,
			 3000 / CQ_BATCH_RUN_RECORD_BYTES);
	while (runs < WIDTH && cq_batch_active_room(batch)) {
		cq_task_assign(&stage->tasks[runs++], worker, 1);
		cq_task_checkpoint(&stage->tasks[runs - 1], "00000bb87a21d94b");
		g_assert_cmpuint(record_bytes(batch), <=, 3000);
		batch->record_bytes = record_bytes(batch);
		batch->runs_since_record = 0;
	}
	g_assert_cmpuint(runs, >, 10);
	g_assert_cmpuint(runs, <, WIDTH);
	while (runs--)
		cq_task_end(&stage->tasks[runs], CQ_RUN_DONE, NULL, 0);
	/* One may always run, whatever the record has. */
	batch->record_bytes = 5000;
	g_assert_cmpuint(cq_batch_active_room(batch), ==, 1);
	batch->record_bytes = record_bytes(batch);
	g_assert_cmpuint(cq_batch_active_room(batch), >, 1);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

static struct cq_batch *restore_copy(const char *text, uint32_t occurrences,
				     struct cq_pool *pool)
{
	struct cq_batch *copy = create_batch(occurrences);
	char *again;

	g_assert_true(cq_batch_restore(copy, text, strlen(text), find_worker,
				       pool, NULL));
	again = cq_batch_format(copy);
	g_assert_cmpstr(again, ==, text);
	free(again);
	return copy;
}

/* Guards against a checkpoint that breaks the record, or changes in it. */
static void test_checkpoint_with_escapes(void)
{
	static const char *const checkpoints[] = {
		"0123",
		"a\"b",
		"back\\slash",
		"line\nbreak",
		"\x01\x1f control",
		"d\xc3\xa9j\xc3\xa0",
		"[1,{}]",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(checkpoints); i++) {
		struct cq_pool *pool = cq_pool_create();
		struct cq_pool_worker *worker = create_worker(pool);
		struct cq_batch *batch = create_batch(1);
		struct cq_task *task = &cq_batch_stage(batch, 0, 0)->tasks[0];
		struct cq_batch *copy;
		char *text;

		cq_task_assign(task, worker, 1);
		cq_task_checkpoint(task, checkpoints[i]);
		text = cq_batch_format(batch);
		copy = restore_copy(text, 1, pool);
		task = &cq_batch_stage(copy, 0, 0)->tasks[0];
		g_assert_cmpstr(task->checkpoint, ==, checkpoints[i]);
		free(text);
		cq_batch_destroy(copy);
		cq_batch_destroy(batch);
		cq_pool_destroy(pool);
	}
}

/*
 * Guards against a task that is started again after its end, or forgotten,
 * because a new leader reads another progress than was stored: occurrences end
 * out of order, and some have not begun.
 */
static void test_occurrences_out_of_order(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = create_worker(pool);
	struct cq_batch *batch = create_batch(6);
	struct cq_batch *copy;
	struct cq_task *task = &cq_batch_stage(batch, 1, 0)->tasks[WIDTH / 2];
	char *text;

	run_occurrence(batch, 0, worker);
	run_occurrence(batch, 3, worker);
	run_task(&cq_batch_stage(batch, 1, 0)->tasks[0], worker);
	cq_task_assign(task, worker, 7);
	text = cq_batch_format(batch);
	copy = restore_copy(text, 6, pool);
	g_assert_cmpuint(done_tasks(copy, 1), ==, 1);
	g_assert_cmpuint(done_tasks(copy, 2), ==, 0);
	task = &cq_batch_stage(copy, 1, 0)->tasks[WIDTH / 2];
	g_assert_cmpint(task->phase, ==, CQ_RUN_RESTORED);
	g_assert_cmpuint(task->run, ==, 7);
	g_assert_true(is_ended(copy, 0));
	g_assert_false(is_ended(copy, 1));
	g_assert_false(is_ended(copy, 2));
	g_assert_true(is_ended(copy, 3));
	g_assert_false(is_ended(copy, 4));
	free(text);
	cq_batch_destroy(batch);
	cq_batch_destroy(copy);
	cq_pool_destroy(pool);
}

/*
 * Guards against runs that are forgotten, or that come twice, after a change of
 * leaders: the record has no rows for the last occurrences, which nothing has
 * started of, but one for each that lies before one that has begun or ended.
 */
static void test_unstarted_come_again(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker = create_worker(pool);
	struct cq_batch *batch = create_batch(6);
	struct cq_batch *copy;
	char *text;
	uint32_t k;

	batch->max_unstarted = UINT32_MAX;
	cq_batch_open_due(batch, 0);
	run_occurrence(batch, 1, worker);
	cq_batch_close_ended(batch);
	text = cq_batch_format(batch);
	copy = restore_copy(text, 6, pool);
	g_assert_cmpuint(copy->opened, ==, 2);
	cq_batch_open_due(copy, 0);
	for (k = 0; k < 4; k++) {
		g_assert_cmpint(is_ended(copy, k), ==, k == 1);
		if (k != 1)
			run_occurrence(copy, k, worker);
		cq_batch_close_ended(copy);
		cq_batch_open_due(copy, 0);
	}
	g_assert_cmpint(copy->state, ==, CQ_BATCH_RUNNING);
	for (; k < 6; k++)
		run_occurrence(copy, k, worker);
	g_assert_cmpint(copy->state, ==, CQ_BATCH_COMPLETED);
	free(text);
	cq_batch_destroy(batch);
	cq_batch_destroy(copy);
	cq_pool_destroy(pool);
}

/*
 * Guards against done tasks that start again after an upgrade: the former
 * release has written the record with a row for each task of each occurrence.
 */
static void test_record_of_former_release(void)
{
	static const char text[] =
		"{\"state\":\"running\",\"stages\":["
		"{\"n\":0,\"failures\":0,\"failed_run\":0,\"tasks\":["
		"[0,true,1,0,\"\",\"\",0],"
		"[1,false,2,1,\"0123\",\"worker\",1700000000000]]},"
		"{\"n\":4,\"failures\":0,\"failed_run\":0,\"tasks\":["
		"[5,true,1,0,\"\",\"\",0]]}]}";
	struct cq_pool *pool = cq_pool_create();
	struct cq_batch *batch = create_batch(3);
	const struct cq_stage *stage;

	create_worker(pool);
	g_assert_true(cq_batch_restore(batch, text, strlen(text), find_worker,
				       pool, NULL));
	stage = cq_batch_stage(batch, 0, 0);
	g_assert_cmpuint(stage->done_count, ==, 1);
	g_assert_true(stage->tasks[0].done);
	g_assert_cmpint(stage->tasks[1].phase, ==, CQ_RUN_RESTORED);
	g_assert_cmpuint(stage->tasks[1].run, ==, 2);
	g_assert_cmpuint(stage->tasks[1].failures, ==, 1);
	g_assert_cmpstr(stage->tasks[1].checkpoint, ==, "0123");
	stage = cq_batch_stage(batch, 1, 1);
	g_assert_cmpuint(stage->done_count, ==, 1);
	g_assert_true(stage->tasks[5].done);
	cq_batch_destroy(batch);
	cq_pool_destroy(pool);
}

/* Guards against malformed records that are accepted or read out of bounds. */
static void test_malformed(void)
{
#define RECORD(rest) "{\"state\":\"running\"," rest "}"
#define LIVE(rest) RECORD("\"next\":2,\"live\":[" rest "]")
#define STAGE(rest) LIVE("{\"k\":0,\"stages\":[" rest "]}")
	static const char *const malformed[] = {
		RECORD("\"next\":4"),
		RECORD("\"next\":4294967296"),
		RECORD("\"next\":-1"),
		LIVE("{\"k\":2}"),
		LIVE("{\"k\":-1}"),
		LIVE("{\"k\":1},{\"k\":1}"),
		LIVE("{\"k\":1},{\"k\":0}"),
		STAGE("{\"step\":3}"),
		STAGE("{\"step\":-1}"),
		STAGE("{\"step\":0,\"done\":[[0,72]]}"),
		STAGE("{\"step\":0,\"done\":[[2,1]]}"),
		STAGE("{\"step\":0,\"done\":[[-1,1]]}"),
		STAGE("{\"step\":0,\"tasks\":[[72,1,0,\"\",\"\",0]]}"),
		STAGE("{\"step\":0,\"tasks\":[[-1,1,0,\"\",\"\",0]]}"),
		/* Parts that are missing, or of another type */
		RECORD("\"next\":1"),
		RECORD("\"live\":[]"),
		RECORD("\"next\":\"1\",\"live\":[]"),
		RECORD("\"next\":1,\"live\":{}"),
		LIVE("{\"k\":0}"),
		LIVE("{\"k\":1,\"stages\":[]},{\"k\":0,\"stages\":[]}"),
		LIVE("{\"k\":2,\"stages\":[]}"),
		STAGE("{\"step\":0,\"done\":[]}"),
		STAGE("{\"step\":0,\"tasks\":[]}"),
		STAGE("{\"step\":0,\"done\":[],\"tasks\":[[0]]}"),
		STAGE("{\"step\":0,\"done\":[],"
		      "\"tasks\":[[0,\"1\",0,\"\",\"\",0]]}"),
		STAGE("{\"step\":0,\"done\":[],"
		      "\"tasks\":[[0,1,null,\"\",\"\",0]]}"),
		/* After a run that was restored */
		STAGE("{\"step\":0,\"done\":[],"
		      "\"tasks\":[[0,1,0,\"\",\"worker\",7],[99]]}"),
		RECORD("\"stages\":[{\"n\":9}]"),
		RECORD("\"stages\":[{\"n\":-1}]"),
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(malformed); i++) {
		struct cq_pool *pool = cq_pool_create();
		struct cq_batch *batch = create_batch(3);
		struct cq_pool_worker *worker = create_worker(pool);
		int64_t free = worker->free_accelerators;

		g_assert_false(cq_batch_restore(batch, malformed[i],
						strlen(malformed[i]),
						find_worker, pool, NULL));
		g_assert_cmpuint(worker->runs->len, ==, 0);
		g_assert_cmpint(worker->free_accelerators, ==, free);
		cq_batch_destroy(batch);
		cq_pool_destroy(pool);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch_record/size_of_ended_occurrences",
			test_size_of_ended_occurrences);
	g_test_add_func("/batch_record/size_of_done_tasks",
			test_size_of_done_tasks);
	g_test_add_func("/batch_record/size_of_unstarted_occurrences",
			test_size_of_unstarted_occurrences);
	g_test_add_func("/batch_record/room_for_runs", test_room_for_runs);
	g_test_add_func("/batch_record/unstarted_come_again",
			test_unstarted_come_again);
	g_test_add_func("/batch_record/checkpoint_with_escapes",
			test_checkpoint_with_escapes);
	g_test_add_func("/batch_record/occurrences_out_of_order",
			test_occurrences_out_of_order);
	g_test_add_func("/batch_record/record_of_former_release",
			test_record_of_former_release);
	g_test_add_func("/batch_record/malformed", test_malformed);
	return g_test_run();
}
