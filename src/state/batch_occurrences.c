/* The live occurrences of a batch: how they come into being and go. */
#include "chestnutquay/batch.h"

#define NEVER_CLOSED UINT64_MAX

static void stage_init(struct cq_stage *stage, struct cq_batch *batch,
		       uint32_t occurrence, uint32_t step)
{
	uint32_t i;

	stage->batch = batch;
	stage->occurrence = occurrence;
	stage->step_index = step;
	stage->step = &batch->workload->steps[step];
	stage->tasks = g_new0(struct cq_task, stage->step->tasks);
	for (i = 0; i < stage->step->tasks; i++) {
		stage->tasks[i].stage = stage;
		stage->tasks[i].index = i;
	}
}

static void stage_clear(struct cq_stage *stage)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		g_free(stage->tasks[i].checkpoint);
	g_free(stage->tasks);
}

static void occurrence_free(const struct cq_batch *batch,
			    struct cq_occurrence *occurrence)
{
	uint32_t i;

	for (i = 0; i < batch->workload->step_count; i++)
		stage_clear(&occurrence->stages[i]);
	g_free(occurrence->stages);
	g_free(occurrence);
}

void cq_batch_clear(struct cq_batch *batch)
{
	guint i;

	for (i = 0; i < batch->live->len; i++)
		occurrence_free(batch, g_ptr_array_index(batch->live, i));
	g_ptr_array_set_size(batch->live, 0);
	batch->active_count = 0;
	batch->recording_count = 0;
	batch->opened = 0;
	batch->checked_attempts = 0;
	batch->closed_version = NEVER_CLOSED;
}

struct cq_occurrence *cq_batch_open(struct cq_batch *batch, uint32_t number)
{
	struct cq_occurrence *occurrence = g_new0(struct cq_occurrence, 1);
	uint32_t i;

	occurrence->number = number;
	occurrence->stages =
		g_new0(struct cq_stage, batch->workload->step_count);
	for (i = 0; i < batch->workload->step_count; i++)
		stage_init(&occurrence->stages[i], batch, number, i);
	g_ptr_array_add(batch->live, occurrence);
	batch->opened = number + 1;
	return occurrence;
}

bool cq_batch_is_full(const struct cq_batch *batch)
{
	uint64_t tasks = cq_workload_task_count(batch->workload);

	return batch->live->len &&
	       (batch->live->len + 1) * tasks > CQ_BATCH_MAX_LIVE_TASKS;
}

bool cq_occurrence_started(const struct cq_batch *batch,
			   const struct cq_occurrence *occurrence)
{
	uint32_t i;

	for (i = 0; i < batch->workload->step_count; i++)
		if (occurrence->stages[i].started)
			return true;
	return false;
}

static bool next_is_due(const struct cq_batch *batch, int64_t unix_ms)
{
	const struct cq_workload *w = batch->workload;

	return batch->opened < w->occurrences &&
	       cq_workload_due_ms(w, batch->opened) <= unix_ms &&
	       !cq_batch_is_full(batch);
}

static uint32_t count_unstarted(const struct cq_batch *batch)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < batch->live->len; i++)
		count += !cq_occurrence_started(
			batch, g_ptr_array_index(batch->live, i));
	return count;
}

void cq_batch_open_due(struct cq_batch *batch, int64_t unix_ms)
{
	uint64_t tasks = cq_workload_task_count(batch->workload);
	uint32_t unstarted;

	if (!next_is_due(batch, unix_ms))
		return;
	unstarted = count_unstarted(batch);
	while (next_is_due(batch, unix_ms) &&
	       (!unstarted ||
		(unstarted + 1) * tasks <= batch->max_unstarted)) {
		cq_batch_open(batch, batch->opened);
		unstarted++;
	}
}

bool cq_occurrence_ended(const struct cq_batch *batch,
			 const struct cq_occurrence *occurrence)
{
	uint32_t i;

	for (i = 0; i < batch->workload->step_count; i++)
		if (!cq_stage_done(&occurrence->stages[i]) ||
		    occurrence->stages[i].active_count)
			return false;
	return true;
}

void cq_batch_close_ended(struct cq_batch *batch)
{
	guint kept = 0;
	guint i;

	/* An occurrence ends by the end of a run, which is a new version. */
	if (batch->closed_version == batch->version)
		return;
	batch->closed_version = batch->version;
	for (i = 0; i < batch->live->len; i++) {
		struct cq_occurrence *occurrence =
			g_ptr_array_index(batch->live, i);

		if (cq_occurrence_ended(batch, occurrence))
			occurrence_free(batch, occurrence);
		else
			g_ptr_array_index(batch->live, kept++) = occurrence;
	}
	g_ptr_array_set_size(batch->live, (gint)kept);
}
