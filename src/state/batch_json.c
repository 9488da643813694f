/* JSON encoding of the progress record that the store holds for a batch. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/pool.h"

static json_t *format_task(const struct cq_task *task);
static json_t *format_stage(const struct cq_stage *stage);
static void restore_task(struct cq_task *task, const json_t *row,
			 cq_batch_worker_fn *worker, void *ctx);
static bool restore_stage(struct cq_stage *stage, const json_t *object,
			  cq_batch_worker_fn *worker, void *ctx);

/*
 * Encodes a task as [index, done, run, failures, checkpoint, worker, born],
 * born being the start of the worker's life in Unix milliseconds. Returns NULL
 * for a task that has never run.
 */
static json_t *format_task(const struct cq_task *task)
{
	bool active = task->phase != CQ_RUN_NONE;

	if (!task->run && !task->done)
		return NULL;
	return json_pack(
		"[i,b,i,i,s,s,I]", (int)task->index, task->done, (int)task->run,
		(int)task->failures, task->checkpoint ? task->checkpoint : "",
		active ? task->worker->listing.id : "",
		(json_int_t)(active ? task->worker->listing.started_unix_ms
				    : 0));
}

static json_t *format_stage(const struct cq_stage *stage)
{
	json_t *tasks = json_array();
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++) {
		json_t *row = format_task(&stage->tasks[i]);

		if (row)
			json_array_append_new(tasks, row);
	}
	return json_pack("{s:i,s:i,s:i,s:o}", "n",
			 (int)(stage - stage->batch->stages), "failures",
			 (int)stage->gang_failures, "failed_run",
			 (int)stage->gang_failed_run, "tasks", tasks);
}

char *cq_batch_format(const struct cq_batch *batch)
{
	json_t *stages = json_array();
	json_t *object;
	char *text;
	uint32_t i;

	for (i = 0; i < batch->stage_count; i++)
		if (batch->stages[i].started)
			json_array_append_new(stages,
					      format_stage(&batch->stages[i]));
	object = json_pack("{s:s,s:o}", "state",
			   cq_batch_state_string(batch->state), "stages",
			   stages);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return text;
}

static void restore_task(struct cq_task *task, const json_t *row,
			 cq_batch_worker_fn *worker, void *ctx)
{
	const char *checkpoint = json_string_value(json_array_get(row, 4));
	const char *id = json_string_value(json_array_get(row, 5));
	int64_t born = json_integer_value(json_array_get(row, 6));

	task->done = json_is_true(json_array_get(row, 1));
	task->run = (uint32_t)json_integer_value(json_array_get(row, 2));
	task->failures = (uint32_t)json_integer_value(json_array_get(row, 3));
	cq_task_checkpoint(task, checkpoint);
	if (task->done)
		task->stage->done_count++;
	if (!id || !*id)
		return;
	task->worker = worker(ctx, id, born);
	if (!task->worker)
		return;
	task->phase = CQ_RUN_RESTORED;
	task->pace_percent = 100;
	task->stage->active_count++;
	cq_pool_book(task->worker, task);
}

static bool restore_stage(struct cq_stage *stage, const json_t *object,
			  cq_batch_worker_fn *worker, void *ctx)
{
	const json_t *tasks = json_object_get(object, "tasks");
	size_t i;

	stage->started = true;
	stage->gang_failures = (uint32_t)json_integer_value(
		json_object_get(object, "failures"));
	stage->gang_failed_run = (uint32_t)json_integer_value(
		json_object_get(object, "failed_run"));
	for (i = 0; i < json_array_size(tasks); i++) {
		const json_t *row = json_array_get(tasks, i);
		json_int_t index = json_integer_value(json_array_get(row, 0));

		if (index < 0 || index >= (json_int_t)stage->step->tasks)
			return false;
		restore_task(&stage->tasks[index], row, worker, ctx);
	}
	return true;
}

bool cq_batch_restore(struct cq_batch *batch, const char *json, size_t len,
		      cq_batch_worker_fn *worker, void *ctx,
		      struct cq_error *err)
{
	json_t *root = json_loadb(json, len, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));
	const json_t *stages = json_object_get(root, "stages");
	bool ok = state && cq_batch_state_parse(state, &batch->state);
	size_t i;

	for (i = 0; ok && i < json_array_size(stages); i++) {
		const json_t *object = json_array_get(stages, i);
		json_int_t n = json_integer_value(json_object_get(object, "n"));

		ok = n >= 0 && n < (json_int_t)batch->stage_count &&
		     restore_stage(&batch->stages[n], object, worker, ctx);
	}
	json_decref(root);
	if (ok)
		return true;
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
