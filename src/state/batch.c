#include "chestnutquay/batch.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/pool.h"

static const char *const state_strings[] = {
	[CQ_BATCH_QUEUED] = "queued",	    [CQ_BATCH_RUNNING] = "running",
	[CQ_BATCH_COMPLETED] = "completed", [CQ_BATCH_FAILED] = "failed",
	[CQ_BATCH_CANCELLED] = "cancelled",
};

static const struct cq_occurrence *find_occurrence(const struct cq_batch *batch,
						   uint32_t number);
static bool all_stages_done(const struct cq_batch *batch);
static void count_failure(struct cq_task *task);
static bool attempts_exhausted(const struct cq_task *task,
			       uint32_t max_attempts);

const char *cq_batch_state_string(enum cq_batch_state state)
{
	return state_strings[state];
}

bool cq_batch_state_parse(const char *text, enum cq_batch_state *state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(state_strings); i++) {
		if (strcmp(text, state_strings[i]))
			continue;
		*state = (enum cq_batch_state)i;
		return true;
	}
	return false;
}

bool cq_batch_state_is_terminal(enum cq_batch_state state)
{
	return state >= CQ_BATCH_COMPLETED;
}

struct cq_batch *cq_batch_create(struct cq_workload *workload)
{
	struct cq_batch *batch = g_new0(struct cq_batch, 1);

	batch->workload = workload;
	batch->live = g_ptr_array_new();
	cq_batch_clear(batch);
	batch->max_unstarted = CQ_BATCH_MAX_UNSTARTED_TASKS;
	cq_batch_open_due(batch, 0);
	return batch;
}

void cq_batch_destroy(struct cq_batch *batch)
{
	if (!batch)
		return;
	cq_batch_clear(batch);
	g_ptr_array_unref(batch->live);
	cq_workload_destroy(batch->workload);
	g_free(batch->longest_paths_ms);
	g_free(batch);
}

uint32_t cq_batch_stage_count(const struct cq_batch *batch)
{
	return batch->live->len * batch->workload->step_count;
}

struct cq_stage *cq_batch_stage_at(const struct cq_batch *batch, uint32_t i)
{
	const struct cq_occurrence *occurrence =
		g_ptr_array_index(batch->live, i / batch->workload->step_count);

	return &occurrence->stages[i % batch->workload->step_count];
}

/* The live occurrence with that number; NULL if there is none. */
static const struct cq_occurrence *find_occurrence(const struct cq_batch *batch,
						   uint32_t number)
{
	guint low = 0;
	guint high = batch->live->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const struct cq_occurrence *occurrence =
			g_ptr_array_index(batch->live, middle);

		if (occurrence->number == number)
			return occurrence;
		if (occurrence->number < number)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

struct cq_stage *cq_batch_stage(const struct cq_batch *batch,
				uint32_t occurrence, uint32_t step)
{
	const struct cq_occurrence *found = find_occurrence(batch, occurrence);

	if (!found || step >= batch->workload->step_count)
		return NULL;
	return &found->stages[step];
}

void cq_task_name(const struct cq_task *task, char *name)
{
	const struct cq_stage *stage = task->stage;

	snprintf(name, CQ_TASK_NAME_BYTES, "%s.%u.%u.%u",
		 stage->batch->workload->id, stage->occurrence,
		 stage->step_index, task->index);
}

bool cq_task_name_batch(const char *name, char *id)
{
	const char *dot = strchr(name, '.');

	if (!dot || dot - name != CQ_WORKLOAD_ID_BYTES - 1)
		return false;
	memcpy(id, name, CQ_WORKLOAD_ID_BYTES - 1);
	id[CQ_WORKLOAD_ID_BYTES - 1] = '\0';
	return true;
}

struct cq_task *cq_batch_find_task(struct cq_batch *batch, const char *name)
{
	uint32_t part[3];
	struct cq_stage *stage;
	char id[CQ_WORKLOAD_ID_BYTES];
	char *end;
	int i;

	if (!cq_task_name_batch(name, id) || strcmp(id, batch->workload->id))
		return NULL;
	name += CQ_WORKLOAD_ID_BYTES - 1;
	for (i = 0; i < 3; i++) {
		if (*name++ != '.' || !g_ascii_isdigit(*name))
			return NULL;
		part[i] = (uint32_t)strtoul(name, &end, 10);
		name = end;
	}
	stage = cq_batch_stage(batch, part[0], part[1]);
	if (*name || !stage || part[2] >= stage->step->tasks)
		return NULL;
	return &stage->tasks[part[2]];
}

bool cq_stage_done(const struct cq_stage *stage)
{
	if (stage->step->long_running)
		return false;
	if (stage->step->gang)
		return stage->done_count > 0;
	return stage->done_count == stage->step->tasks;
}

bool cq_stage_unblocked(const struct cq_stage *stage)
{
	const struct cq_batch *batch = stage->batch;
	const struct cq_stage *first = stage - stage->step_index;
	uint32_t i;

	for (i = 0; i < batch->workload->step_count; i++)
		if (stage->step->after >> i & 1 && !cq_stage_done(first + i))
			return false;
	return true;
}

bool cq_stage_waiting(const struct cq_stage *stage)
{
	if (cq_stage_done(stage))
		return false;
	if (stage->step->gang)
		return stage->active_count == 0;
	return stage->done_count + stage->active_count < stage->step->tasks;
}

bool cq_batch_has_runs(const struct cq_batch *batch)
{
	return batch->active_count > 0;
}

/* How many more runs the record has room for; one, if there are none. */
static uint32_t record_room(const struct cq_batch *batch)
{
	uint64_t bytes =
		batch->record_bytes +
		(uint64_t)batch->runs_since_record * CQ_BATCH_RUN_RECORD_BYTES;
	uint64_t room;

	if (!batch->max_record_bytes)
		return UINT32_MAX;
	room = batch->max_record_bytes > bytes
		       ? (batch->max_record_bytes - bytes) /
				 CQ_BATCH_RUN_RECORD_BYTES
		       : 0;
	return (uint32_t)CLAMP(room, !batch->active_count, UINT32_MAX);
}

uint32_t cq_batch_active_room(const struct cq_batch *batch)
{
	uint32_t room = record_room(batch);

	if (batch->rewrite_ns)
		return 0;
	if (!batch->max_active)
		return room;
	return batch->max_active > batch->active_count
		       ? MIN(room, batch->max_active - batch->active_count)
		       : 0;
}

static uint64_t text_bytes(const char *text)
{
	return text ? strlen(text) : 0;
}

/* Names may be shared with other jobs; here each counts in full. */
static uint64_t step_bytes(const struct cq_workload_step *step)
{
	return sizeof(*step) + text_bytes(step->required_label) +
	       text_bytes(step->data_rack) + text_bytes(step->image);
}

uint64_t cq_batch_bytes(const struct cq_batch *batch)
{
	const struct cq_workload *w = batch->workload;
	uint64_t occurrence =
		sizeof(struct cq_occurrence) +
		w->step_count * sizeof(struct cq_stage) +
		cq_workload_task_count(w) * sizeof(struct cq_task);
	uint64_t bytes = sizeof(*batch) + sizeof(*w) + strlen(w->spec) +
			 text_bytes(w->queue) + text_bytes(w->workspace) +
			 batch->live->len * occurrence;
	uint32_t i;

	for (i = 0; i < w->step_count; i++)
		bytes += step_bytes(&w->steps[i]);
	return bytes;
}

bool cq_batch_started(const struct cq_batch *batch)
{
	uint32_t i;

	if (batch->opened > batch->live->len)
		return true;
	for (i = 0; i < cq_batch_stage_count(batch); i++)
		if (cq_batch_stage_at(batch, i)->started)
			return true;
	return false;
}

void cq_task_assign(struct cq_task *task, struct cq_pool_worker *worker,
		    uint32_t run)
{
	task->previous_run = task->run;
	task->run = run;
	task->phase = CQ_RUN_RECORDING;
	task->worker = worker;
	task->start_unanswered = false;
	task->start_in_flight = false;
	task->stopping = false;
	task->stop_in_flight = false;
	task->stop_answered = false;
	task->started_ns = 0;
	task->start_sent_ns = 0;
	task->pace_percent = 100;
	task->load = 0;
	task->stage->active_count++;
	task->stage->batch->active_count++;
	task->stage->batch->recording_count++;
	task->stage->batch->runs_since_record++;
	task->stage->started = true;
	if (task->stage->batch->state == CQ_BATCH_QUEUED)
		task->stage->batch->state = CQ_BATCH_RUNNING;
	task->stage->batch->version++;
	task->recorded_version = task->stage->batch->version;
	cq_pool_book(worker, task);
}

void cq_task_start_sent(struct cq_task *task)
{
	if (task->phase == CQ_RUN_RECORDING)
		task->stage->batch->recording_count--;
	task->phase = CQ_RUN_START_SENT;
}

/* The task has no run any more. */
static void release_run(struct cq_task *task)
{
	struct cq_stage *stage = task->stage;

	cq_pool_release(task->worker, task);
	stage->batch->recording_count -= task->phase == CQ_RUN_RECORDING;
	stage->batch->active_count--;
	stage->active_count--;
	task->worker = NULL;
	task->phase = CQ_RUN_NONE;
}

void cq_task_unassign(struct cq_task *task)
{
	release_run(task);
	task->run = task->previous_run;
	task->stage->batch->version++;
}

static bool all_stages_done(const struct cq_batch *batch)
{
	uint32_t i;

	if (batch->opened < batch->workload->occurrences)
		return false;
	for (i = 0; i < cq_batch_stage_count(batch); i++)
		if (!cq_stage_done(cq_batch_stage_at(batch, i)))
			return false;
	return true;
}

/* A gang counts one failure per run, however many of its members fail. */
static void count_failure(struct cq_task *task)
{
	struct cq_stage *stage = task->stage;

	task->failures++;
	if (!stage->step->gang || stage->gang_failed_run == task->run)
		return;
	stage->gang_failed_run = task->run;
	stage->gang_failures++;
}

static bool attempts_exhausted(const struct cq_task *task,
			       uint32_t max_attempts)
{
	const struct cq_stage *stage = task->stage;
	uint32_t failures = stage->step->gang ? stage->gang_failures
					      : task->failures;

	return max_attempts && !stage->step->long_running &&
	       failures >= max_attempts;
}

void cq_task_checkpoint(struct cq_task *task, const char *checkpoint)
{
	if (!checkpoint || !*checkpoint ||
	    (task->checkpoint && !strcmp(task->checkpoint, checkpoint)))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

bool cq_task_end(struct cq_task *task, enum cq_run_end outcome,
		 const char *checkpoint, uint32_t max_attempts)
{
	struct cq_stage *stage = task->stage;
	struct cq_batch *batch = stage->batch;
	enum cq_batch_state previous_state = batch->state;

	if (task->phase != CQ_RUN_NONE)
		release_run(task);
	cq_task_checkpoint(task, checkpoint);
	batch->version++;
	if (outcome == CQ_RUN_DONE && !stage->step->long_running &&
	    !task->done) {
		task->done = true;
		stage->done_count++;
	}
	if (outcome == CQ_RUN_FAILED) {
		count_failure(task);
		if (max_attempts != batch->checked_attempts)
			batch->checked_attempts = 0;
	}
	if (cq_batch_state_is_terminal(previous_state))
		return false;
	if (outcome == CQ_RUN_FAILED &&
	    attempts_exhausted(task, max_attempts) && !cq_stage_done(stage))
		batch->state = CQ_BATCH_FAILED;
	else if (outcome == CQ_RUN_DONE && all_stages_done(batch))
		batch->state = CQ_BATCH_COMPLETED;
	return cq_batch_state_is_terminal(batch->state);
}

bool cq_batch_check_attempts(struct cq_batch *batch, uint32_t max_attempts)
{
	uint32_t i, k;

	if (cq_batch_state_is_terminal(batch->state) ||
	    batch->checked_attempts == max_attempts)
		return false;
	batch->checked_attempts = max_attempts;
	for (i = 0; i < cq_batch_stage_count(batch); i++) {
		const struct cq_stage *stage = cq_batch_stage_at(batch, i);

		if (!stage->started || cq_stage_done(stage))
			continue;
		for (k = 0; k < stage->step->tasks; k++) {
			const struct cq_task *task = &stage->tasks[k];

			if (task->done ||
			    !attempts_exhausted(task, max_attempts))
				continue;
			batch->state = CQ_BATCH_FAILED;
			batch->version++;
			return true;
		}
	}
	return false;
}

uint32_t cq_stage_next_run(const struct cq_stage *stage, uint32_t min_run)
{
	uint32_t run = min_run;
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		run = MAX(run, stage->tasks[i].run);
	return run + 1;
}

/*
 * The checkpoint of any member is valid for the whole gang, and all members
 * must start from the same one. The newest checkpoint sorts last.
 */
const char *cq_task_resume_point(const struct cq_task *task)
{
	const struct cq_stage *stage = task->stage;
	const char *latest = NULL;
	uint32_t i;

	if (!stage->step->gang)
		return task->checkpoint;
	for (i = 0; i < stage->step->tasks; i++) {
		const char *own = stage->tasks[i].checkpoint;

		if (own && (!latest || strcmp(own, latest) > 0))
			latest = own;
	}
	return latest;
}
