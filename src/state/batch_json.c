/*
 * JSON encoding of the progress record that the store holds for a batch:
 *
 *   {"state": STATE, "next": N, "live": [{"k": K, "stages": [STAGE...]}...]}
 *   STAGE: {"step": S, "failures": F, "failed_run": R,
 *           "done": [[FIRST, LAST]...], "tasks": [TASK...]}
 *   TASK: [INDEX, RUN, FAILURES, CHECKPOINT, WORKER, BORN]
 *
 * Occurrences from N on have not begun; those before N that are not among the
 * live ones have ended. Done tasks are listed as ranges of indices.
 * The size of the record thus depends on the occurrences at work and on the
 * tasks that run or have to run again, not on what has ended.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

/* Characters that a JSON string holds as they are */
#define PLAIN_CHARACTERS                                             \
	"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUV" \
	"WXYZ-_.:/ "
/* The sign and the digits of a 64-bit number */
#define MAX_NUMBER_CHARACTERS 20
/* Room that most records need */
#define RECORD_BYTES 1024

static void append_string(GString *out, const char *text);
static void append_number(GString *out, int64_t number);
static void append_field(GString *out, const char *name, int64_t number);
static void append_separator(GString *out, gsize start);
static void append_task(GString *out, gsize start, const struct cq_task *task);
static void append_done(GString *out, const struct cq_stage *stage);
static void append_stage(GString *out, const struct cq_stage *stage);
static void append_occurrence(GString *out, const struct cq_batch *batch,
			      const struct cq_occurrence *occurrence);
static void restore_run(struct cq_task *task, const json_t *worker_id,
			const json_t *born, cq_batch_worker_fn *worker,
			void *ctx);
static bool restore_done(struct cq_stage *stage, const json_t *ranges);
static bool restore_tasks(struct cq_stage *stage, const json_t *tasks,
			  bool with_done, cq_batch_worker_fn *worker,
			  void *ctx);
static bool restore_stage(struct cq_stage *stage, const json_t *object,
			  bool with_done, cq_batch_worker_fn *worker,
			  void *ctx);
static bool restore_occurrences(struct cq_batch *batch, const json_t *root,
				cq_batch_worker_fn *worker, void *ctx);
static bool restore_flat_stages(struct cq_batch *batch, const json_t *stages,
				cq_batch_worker_fn *worker, void *ctx);

/* Most strings are ids and digits, which need no escapes. */
static void append_string(GString *out, const char *text)
{
	json_t *string;
	char *encoded;

	if (strspn(text, PLAIN_CHARACTERS) == strlen(text)) {
		g_string_append_c(out, '"');
		g_string_append(out, text);
		g_string_append_c(out, '"');
		return;
	}
	string = json_string(text);
	encoded = json_dumps(string, JSON_ENCODE_ANY);
	g_string_append(out, encoded ? encoded : "\"\"");
	free(encoded);
	json_decref(string);
}

static void append_number(GString *out, int64_t number)
{
	char digits[MAX_NUMBER_CHARACTERS];
	size_t at = sizeof(digits);
	uint64_t left = number < 0 ? -(uint64_t)number : (uint64_t)number;

	do {
		digits[--at] = (char)('0' + left % 10);
		left /= 10;
	} while (left);
	if (number < 0)
		digits[--at] = '-';
	g_string_append_len(out, digits + at, (gssize)(sizeof(digits) - at));
}

static void append_field(GString *out, const char *name, int64_t number)
{
	g_string_append(out, name);
	append_number(out, number);
}

/* Separates the items of a list that begins at out->str[start - 1]. */
static void append_separator(GString *out, gsize start)
{
	if (out->len > start)
		g_string_append_c(out, ',');
}

/*
 * BORN is the start of the worker's life in Unix milliseconds. A task that has
 * never run or is done has no row.
 */
static void append_task(GString *out, gsize start, const struct cq_task *task)
{
	bool active = task->phase != CQ_RUN_NONE;

	if (!task->run || (task->done && !active))
		return;
	append_separator(out, start);
	append_field(out, "[", task->index);
	append_field(out, ",", task->run);
	append_field(out, ",", task->failures);
	g_string_append_c(out, ',');
	append_string(out, task->checkpoint ? task->checkpoint : "");
	g_string_append_c(out, ',');
	append_string(out, active ? task->worker->listing.id : "");
	append_field(out, ",",
		     active ? task->worker->listing.started_unix_ms : 0);
	g_string_append_c(out, ']');
}

static void append_done(GString *out, const struct cq_stage *stage)
{
	gsize start = out->len;
	uint32_t i = 0;

	while (i < stage->step->tasks) {
		uint32_t first = i;

		while (i < stage->step->tasks && stage->tasks[i].done)
			i++;
		if (i > first) {
			append_separator(out, start);
			append_field(out, "[", first);
			append_field(out, ",", i - 1);
			g_string_append_c(out, ']');
		}
		i++;
	}
}

static void append_stage(GString *out, const struct cq_stage *stage)
{
	gsize start;
	uint32_t i;

	append_field(out, "{\"step\":", stage->step_index);
	append_field(out, ",\"failures\":", stage->gang_failures);
	append_field(out, ",\"failed_run\":", stage->gang_failed_run);
	g_string_append(out, ",\"done\":[");
	append_done(out, stage);
	g_string_append(out, "],\"tasks\":[");
	start = out->len;
	for (i = 0; i < stage->step->tasks; i++)
		append_task(out, start, &stage->tasks[i]);
	g_string_append(out, "]}");
}

static void append_occurrence(GString *out, const struct cq_batch *batch,
			      const struct cq_occurrence *occurrence)
{
	gsize start;
	uint32_t i;

	append_field(out, "{\"k\":", occurrence->number);
	g_string_append(out, ",\"stages\":[");
	start = out->len;
	for (i = 0; i < batch->workload->step_count; i++) {
		if (!occurrence->stages[i].started)
			continue;
		append_separator(out, start);
		append_stage(out, &occurrence->stages[i]);
	}
	g_string_append(out, "]}");
}

/*
 * Returns how many of the live occurrences the record lists. Those at the end
 * that nothing has started of are left out: a reader brings them into being
 * again.
 */
static guint count_listed(const struct cq_batch *batch)
{
	uint32_t next = batch->opened;
	guint count = batch->live->len;

	while (count) {
		const struct cq_occurrence *last =
			g_ptr_array_index(batch->live, count - 1);

		/* One that has ended lies between. */
		if (last->number + 1 != next ||
		    cq_occurrence_started(batch, last))
			break;
		next = last->number;
		count--;
	}
	return count;
}

/*
 * The record is written after each change of a job. It is put together without
 * a tree of JSON values, which cost the leader more than the text itself.
 */
char *cq_batch_format(const struct cq_batch *batch)
{
	GString *out = g_string_sized_new(RECORD_BYTES);
	guint listed = count_listed(batch);
	uint32_t next = batch->opened - (batch->live->len - listed);
	gsize start;
	guint i;

	g_string_append(out, "{\"state\":");
	append_string(out, cq_batch_state_string(batch->state));
	append_field(out, ",\"next\":", next);
	g_string_append(out, ",\"live\":[");
	start = out->len;
	for (i = 0; i < listed; i++) {
		const struct cq_occurrence *occurrence =
			g_ptr_array_index(batch->live, i);

		if (cq_occurrence_ended(batch, occurrence))
			continue;
		append_separator(out, start);
		append_occurrence(out, batch, occurrence);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

/* The run that the record shows on a worker; none if the worker's id is "". */
static void restore_run(struct cq_task *task, const json_t *worker_id,
			const json_t *born, cq_batch_worker_fn *worker,
			void *ctx)
{
	const char *id = json_string_value(worker_id);

	if (!id || !*id)
		return;
	task->worker = worker(ctx, id, json_integer_value(born));
	if (!task->worker)
		return;
	task->phase = CQ_RUN_RESTORED;
	task->pace_percent = 100;
	task->stage->active_count++;
	task->stage->batch->active_count++;
	cq_pool_book(task->worker, task);
}

static void restore_task_done(struct cq_task *task)
{
	if (task->done)
		return;
	task->done = true;
	task->stage->done_count++;
}

static bool restore_done(struct cq_stage *stage, const json_t *ranges)
{
	size_t i;

	if (!json_is_array(ranges))
		return false;
	for (i = 0; i < json_array_size(ranges); i++) {
		const json_t *range = json_array_get(ranges, i);
		json_int_t first = json_integer_value(json_array_get(range, 0));
		json_int_t last = json_integer_value(json_array_get(range, 1));

		if (first < 0 || last < first ||
		    last >= (json_int_t)stage->step->tasks)
			return false;
		for (; first <= last; first++)
			restore_task_done(&stage->tasks[first]);
	}
	return true;
}

/* with_done: the rows have the column DONE after the index. */
static bool restore_tasks(struct cq_stage *stage, const json_t *tasks,
			  bool with_done, cq_batch_worker_fn *worker, void *ctx)
{
	size_t column = with_done ? 2 : 1;
	size_t i;

	if (!json_is_array(tasks))
		return false;
	for (i = 0; i < json_array_size(tasks); i++) {
		const json_t *row = json_array_get(tasks, i);
		json_int_t index = json_integer_value(json_array_get(row, 0));
		struct cq_task *task;

		if (index < 0 || index >= (json_int_t)stage->step->tasks ||
		    !json_is_integer(json_array_get(row, 0)) ||
		    !json_is_integer(json_array_get(row, column)) ||
		    !json_is_integer(json_array_get(row, column + 1)))
			return false;
		task = &stage->tasks[index];
		if (with_done && json_is_true(json_array_get(row, 1)))
			restore_task_done(task);
		task->run = (uint32_t)json_integer_value(
			json_array_get(row, column));
		task->failures = (uint32_t)json_integer_value(
			json_array_get(row, column + 1));
		cq_task_checkpoint(task, json_string_value(json_array_get(
						 row, column + 2)));
		restore_run(task, json_array_get(row, column + 3),
			    json_array_get(row, column + 4), worker, ctx);
	}
	return true;
}

static bool restore_stage(struct cq_stage *stage, const json_t *object,
			  bool with_done, cq_batch_worker_fn *worker, void *ctx)
{
	stage->started = true;
	stage->gang_failures = (uint32_t)json_integer_value(
		json_object_get(object, "failures"));
	stage->gang_failed_run = (uint32_t)json_integer_value(
		json_object_get(object, "failed_run"));
	return (with_done ||
		restore_done(stage, json_object_get(object, "done"))) &&
	       restore_tasks(stage, json_object_get(object, "tasks"), with_done,
			     worker, ctx);
}

static bool restore_stages(const struct cq_batch *batch,
			   const struct cq_occurrence *occurrence,
			   const json_t *stages, cq_batch_worker_fn *worker,
			   void *ctx)
{
	size_t i;

	if (!json_is_array(stages))
		return false;
	for (i = 0; i < json_array_size(stages); i++) {
		const json_t *object = json_array_get(stages, i);
		json_int_t step =
			json_integer_value(json_object_get(object, "step"));

		if (step < 0 || step >= (json_int_t)batch->workload->step_count)
			return false;
		if (!restore_stage(&occurrence->stages[step], object, false,
				   worker, ctx))
			return false;
	}
	return true;
}

static bool restore_occurrences(struct cq_batch *batch, const json_t *root,
				cq_batch_worker_fn *worker, void *ctx)
{
	const json_t *live = json_object_get(root, "live");
	const json_t *next_value = json_object_get(root, "next");
	json_int_t next = json_integer_value(next_value);
	size_t i;

	/* Without them, nothing would seem to have run, or all to be done. */
	if (!json_is_array(live) || !json_is_integer(next_value))
		return false;
	if (next < 0 || next > (json_int_t)batch->workload->occurrences)
		return false;
	for (i = 0; i < json_array_size(live); i++) {
		const json_t *object = json_array_get(live, i);
		json_int_t number =
			json_integer_value(json_object_get(object, "k"));

		if (number < (json_int_t)batch->opened || number >= next ||
		    cq_batch_is_full(batch))
			return false;
		if (!restore_stages(
			    batch, cq_batch_open(batch, (uint32_t)number),
			    json_object_get(object, "stages"), worker, ctx))
			return false;
	}
	batch->opened = (uint32_t)next;
	return true;
}

/* Opens the occurrences up to that one; false if they are too many. */
static bool open_up_to(struct cq_batch *batch, uint32_t number)
{
	while (batch->opened <= number) {
		cq_batch_close_ended(batch);
		if (cq_batch_is_full(batch))
			return false;
		cq_batch_open(batch, batch->opened);
	}
	return true;
}

/*
 * Records of the former release hold all stages that have begun, in the order
 * of their numbers over all occurrences, and a row for each task that ever ran:
 * [INDEX, DONE, RUN, FAILURES, CHECKPOINT, WORKER, BORN].
 */
static bool restore_flat_stages(struct cq_batch *batch, const json_t *stages,
				cq_batch_worker_fn *worker, void *ctx)
{
	uint32_t step_count = batch->workload->step_count;
	size_t i;

	for (i = 0; i < json_array_size(stages); i++) {
		const json_t *object = json_array_get(stages, i);
		json_int_t n = json_integer_value(json_object_get(object, "n"));
		struct cq_stage *stage;

		if (n < 0 || n / step_count >= batch->workload->occurrences ||
		    !open_up_to(batch, (uint32_t)(n / step_count)))
			return false;
		stage = cq_batch_stage(batch, (uint32_t)(n / step_count),
				       (uint32_t)(n % step_count));
		if (!stage || !restore_stage(stage, object, true, worker, ctx))
			return false;
	}
	return true;
}

/* Gives back the room of the runs that were restored. */
static void release_runs(const struct cq_batch *batch)
{
	uint32_t i, k;

	for (i = 0; i < cq_batch_stage_count(batch); i++) {
		const struct cq_stage *stage = cq_batch_stage_at(batch, i);

		for (k = 0; k < stage->step->tasks; k++)
			if (stage->tasks[k].phase != CQ_RUN_NONE)
				cq_pool_release(stage->tasks[k].worker,
						&stage->tasks[k]);
	}
}

bool cq_batch_restore(struct cq_batch *batch, const char *json, size_t len,
		      cq_batch_worker_fn *worker, void *ctx,
		      struct cq_error *err)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));
	const json_t *flat = json_object_get(root, "stages");
	bool ok = state && cq_batch_state_parse(state, &batch->state);

	cq_batch_clear(batch);
	if (ok)
		ok = flat ? restore_flat_stages(batch, flat, worker, ctx)
			  : restore_occurrences(batch, root, worker, ctx);
	json_decref(root);
	if (ok)
		return true;
	release_runs(batch);
	cq_batch_clear(batch);
	return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			    "the progress record of job %s is malformed",
			    batch->workload->id);
}

bool cq_batch_parse_record_state(const char *json, size_t len,
				 enum cq_batch_state *state)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "state"));
	bool ok = text && cq_batch_state_parse(text, state);

	json_decref(root);
	return ok;
}
