/*
 * Working state of a planning call: what is free where, and the actions.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

static void index_workers(struct cq_plan_context *ctx);
static void index_tasks(struct cq_plan_context *ctx);
static int64_t predict_run_ns(const struct cq_plan_context *ctx, uint32_t job,
			      const struct cq_history_entry **histories);
static void index_jobs(struct cq_plan_context *ctx);

uint32_t cq_need_count(struct cq_need room, const struct cq_fleet_job *job,
		       uint32_t limit)
{
	int64_t count = limit;

	if (room.accelerators < 0 || room.millicores < 0 ||
	    room.memory_bytes < 0)
		return 0;
	if (job->accelerators)
		count = MIN(count, room.accelerators / job->accelerators);
	if (job->millicores)
		count = MIN(count, room.millicores / job->millicores);
	if (job->memory_bytes)
		count = MIN(count,
			    room.memory_bytes / (int64_t)job->memory_bytes);
	return (uint32_t)count;
}

static int compare_workers(const void *a, const void *b, void *data)
{
	const struct cq_fleet_worker *workers = data;
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	if (workers[left].dc != workers[right].dc)
		return workers[left].dc < workers[right].dc ? -1 : 1;
	if (workers[left].rack != workers[right].rack)
		return workers[left].rack < workers[right].rack ? -1 : 1;
	return left < right ? -1 : left > right;
}

static void index_workers(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	const struct cq_fleet_worker *entry;
	const struct cq_fleet_worker *previous = NULL;
	struct cq_plan_worker *worker;
	bool sorted = true;
	uint32_t i;

	for (i = 0; i < snapshot->worker_count; i++) {
		ctx->order[i] = i;
		if (i && sorted &&
		    compare_workers(&ctx->order[i - 1], &ctx->order[i],
				    (void *)snapshot->workers) > 0)
			sorted = false;
	}
	if (!sorted)
		qsort_r(ctx->order, snapshot->worker_count, sizeof(*ctx->order),
			compare_workers, (void *)snapshot->workers);
	for (i = 0; i < snapshot->worker_count; i++) {
		entry = &snapshot->workers[ctx->order[i]];
		worker = &ctx->workers[ctx->order[i]];
		if (!previous || previous->dc != entry->dc ||
		    previous->rack != entry->rack)
			ctx->rack_count++;
		previous = entry;
		worker->rack_ordinal = ctx->rack_count - 1;
		worker->position = i;
		worker->dc = entry->dc;
		worker->total.accelerators = entry->accelerators;
		worker->total.millicores = entry->millicores;
		worker->total.memory_bytes = (int64_t)entry->memory_bytes;
		worker->free = worker->total;
		worker->free_mask =
			entry->accelerators == 64
				? UINT64_MAX
				: (UINT64_C(1) << entry->accelerators) - 1;
		worker->first_task = CQ_NONE;
		worker->first_part = CQ_NONE;
		worker->reserved_from_ns = INT64_MAX;
		worker->usable = entry->state == CQ_WORKER_UP &&
				 snapshot->dcs[entry->dc].state == CQ_DC_IN;
		ctx->max_accelerators =
			MAX(ctx->max_accelerators, entry->accelerators);
	}
}

static void index_tasks(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t i;

	/* Backwards, so that the lists are in ascending order. */
	for (i = snapshot->task_count; i-- > 0;) {
		const struct cq_fleet_task *entry = &snapshot->tasks[i];
		const struct cq_fleet_job *job = &snapshot->jobs[entry->job];
		struct cq_plan_worker *worker = &ctx->workers[entry->worker];
		struct cq_plan_task *task = &ctx->tasks[i];

		task->part = CQ_NONE;
		task->use.accelerators =
			MAX(__builtin_popcountll(entry->accelerator_mask),
			    (int)job->accelerators);
		task->use.millicores =
			MAX(job->millicores, entry->observed_millicores);
		task->use.memory_bytes = (int64_t)MAX(
			job->memory_bytes,
			MIN(entry->observed_memory_bytes, INT64_MAX / 1024));
		task->next_on_worker = worker->first_task;
		worker->first_task = i;
		task->next_of_job = ctx->jobs[entry->job].first_task;
		ctx->jobs[entry->job].first_task = i;
		ctx->jobs[entry->job].task_count++;
		worker->free_mask &= ~entry->accelerator_mask;
		cq_need_subtract(&worker->free, task->use);
	}
	for (i = 0; i < snapshot->worker_count; i++)
		ctx->workers[i].free.accelerators =
			MIN(ctx->workers[i].free.accelerators,
			    __builtin_popcountll(ctx->workers[i].free_mask));
}

uint64_t cq_lost_work_ms(const struct cq_plan_context *ctx, uint32_t job,
			 int64_t deadline_ns)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	int64_t lost_ns = entry->restart_cost_ns;
	int64_t kept_ns = MAX(entry->started_ns, entry->last_checkpoint_ns);
	int64_t unsaved_ns = MAX(ctx->now_ns - kept_ns, 0);

	if (entry->can_checkpoint &&
	    ctx->now_ns + entry->checkpoint_cost_ns <= deadline_ns)
		unsaved_ns = MIN(entry->checkpoint_cost_ns, unsaved_ns);
	lost_ns += unsaved_ns;
	return (uint64_t)(lost_ns / CQ_NS_PER_MS) *
	       MAX(entry->accelerators * entry->tasks, 1U);
}

static int64_t predict_run_ns(const struct cq_plan_context *ctx, uint32_t job,
			      const struct cq_history_entry **histories)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	uint32_t slot = entry->workspace * ctx->snapshot->class_count +
			entry->class_index;
	int64_t total_ns =
		cq_history_predict_ns(histories[slot], entry->declared_run_ns);

	return cq_history_remaining_ns(total_ns, MAX(entry->done_ns, 0));
}

static void index_jobs(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	/* One look-up per workspace and class; there may be 10,000s of jobs. */
	const struct cq_history_entry **histories = g_new0(
		const struct cq_history_entry *,
		(gsize)snapshot->workspace_count * snapshot->class_count + 1);
	bool any_failure = !cq_health_is_empty(ctx->planner->health);
	uint32_t i;

	for (i = 0; i < snapshot->workspace_count * snapshot->class_count; i++)
		histories[i] = cq_history_find(
			ctx->planner->history,
			snapshot->workspaces[i / snapshot->class_count].name,
			snapshot->classes[i % snapshot->class_count].name);
	for (i = 0; i < snapshot->job_count; i++) {
		const struct cq_fleet_job *entry = &snapshot->jobs[i];
		struct cq_plan_job *job = &ctx->jobs[i];
		int64_t elapsed;

		job->first_task = CQ_NONE;
		job->rank = snapshot->classes[entry->class_index].rank;
		job->predicted_run_ns = predict_run_ns(ctx, i, histories);
		job->failed_before =
			any_failure &&
			cq_health_job_total(ctx->planner->health, entry->id);
		if (entry->state != CQ_JOB_RUNNING)
			continue;
		elapsed = MAX(ctx->now_ns - entry->started_ns, 0);
		job->predicted_end_ns =
			ctx->now_ns +
			cq_history_remaining_ns(job->predicted_run_ns, elapsed);
		/*
		 * A stop that made room for a job that no longer waits is
		 * dropped; the checkpoint does no harm.
		 */
		job->leaving = entry->stop_requested_ns > 0 &&
			       (entry->stop_for == CQ_NONE ||
				snapshot->jobs[entry->stop_for].state ==
					CQ_JOB_WAITING);
	}
	g_free(histories);
}

void cq_plan_index(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t i;

	ctx->policy = snapshot->policy;
	ctx->now_ns = snapshot->now_ns;
	ctx->workers =
		g_new0(struct cq_plan_worker, snapshot->worker_count + 1);
	ctx->tasks = g_new0(struct cq_plan_task, snapshot->task_count + 1);
	ctx->jobs = g_new0(struct cq_plan_job, snapshot->job_count + 1);
	ctx->order = g_new(uint32_t, snapshot->worker_count + 1);
	ctx->dc_starts_left = g_new0(uint32_t, snapshot->dc_count + 1);
	ctx->candidates =
		g_new(struct cq_candidate, snapshot->worker_count + 1);
	ctx->chosen = g_new(struct cq_candidate, CQ_FLEET_MAX_GANG);
	ctx->actions = g_array_new(FALSE, TRUE, sizeof(struct cq_action));
	ctx->waits = g_array_new(FALSE, TRUE, sizeof(struct cq_wait));
	ctx->shortfalls = g_array_new(FALSE, TRUE, sizeof(struct cq_shortfall));
	ctx->parts = g_array_new(FALSE, TRUE, sizeof(struct cq_part));
	ctx->holds = cq_holds_create();
	ctx->workspace_parts = g_new(uint32_t, snapshot->workspace_count + 1);
	ctx->workspace_unused = g_new0(int64_t, snapshot->workspace_count + 1);
	ctx->unused_parts =
		g_new0(struct cq_unused_parts, snapshot->workspace_count + 1);
	ctx->workspace_borrowed =
		g_new0(int64_t, snapshot->workspace_count + 1);
	for (i = 0; i < snapshot->workspace_count; i++)
		ctx->workspace_parts[i] = CQ_NONE;
	ctx->starts_left = ctx->policy->max_starts_per_plan;
	for (i = 0; i < snapshot->dc_count; i++) {
		ctx->dc_starts_left[i] = ctx->starts_left;
		if (snapshot->dcs[i].in_since_ns >= 0 &&
		    ctx->now_ns - snapshot->dcs[i].in_since_ns <
			    ctx->policy->refill_ns)
			ctx->dc_starts_left[i] =
				MIN(ctx->starts_left,
				    ctx->policy->max_refill_starts_per_plan);
		if (snapshot->dcs[i].state != CQ_DC_IN)
			ctx->dc_starts_left[i] = 0;
	}
	index_workers(ctx);
	index_jobs(ctx);
	index_tasks(ctx);
}

void cq_plan_index_free(struct cq_plan_context *ctx)
{
	uint32_t i;

	ctx->free_order = g_new(uint32_t, ctx->snapshot->worker_count + 1);
	for (i = 0; i < ctx->snapshot->worker_count; i++)
		if (ctx->workers[ctx->order[i]].free.accelerators > 0)
			ctx->free_order[ctx->free_count++] = ctx->order[i];
}

void cq_plan_context_clear(struct cq_plan_context *ctx)
{
	g_free(ctx->workers);
	g_free(ctx->tasks);
	g_free(ctx->jobs);
	g_free(ctx->order);
	g_free(ctx->free_order);
	g_free(ctx->smallest_parts);
	g_free(ctx->unused_parts);
	g_free(ctx->dc_starts_left);
	g_free(ctx->candidates);
	g_free(ctx->chosen);
	g_free(ctx->cells);
	g_free(ctx->workspace_parts);
	g_free(ctx->workspace_unused);
	g_free(ctx->workspace_borrowed);
	g_array_free(ctx->parts, TRUE);
	if (ctx->actions)
		g_array_free(ctx->actions, TRUE);
	if (ctx->waits)
		g_array_free(ctx->waits, TRUE);
	if (ctx->shortfalls)
		g_array_free(ctx->shortfalls, TRUE);
}

uint32_t cq_region_of(const struct cq_plan_context *ctx, uint32_t worker,
		      enum cq_adjacency adjacency)
{
	switch (adjacency) {
	case CQ_ADJACENT_WORKER:
		return worker;
	case CQ_ADJACENT_RACK:
		return ctx->workers[worker].rack_ordinal;
	case CQ_ADJACENT_DC:
		break;
	}
	return ctx->workers[worker].dc;
}

struct cq_action *cq_plan_add_action(struct cq_plan_context *ctx,
				     enum cq_action_kind kind,
				     enum cq_reason reason, uint32_t job)
{
	struct cq_action action = {
		.kind = kind,
		.reason = reason,
		.job = job,
		.task = CQ_NONE,
		.worker = CQ_NONE,
		.for_job = CQ_NONE,
		.deadline_ns = ctx->now_ns,
	};

	g_array_append_val(ctx->actions, action);
	return &g_array_index(ctx->actions, struct cq_action,
			      ctx->actions->len - 1);
}

void cq_plan_stop(struct cq_plan_context *ctx, uint32_t job,
		  enum cq_reason reason, uint32_t for_job)
{
	struct cq_action *action;

	if (ctx->jobs[job].stopped)
		return;
	ctx->jobs[job].stopped = true;
	ctx->jobs[job].leaving = true;
	action = cq_plan_add_action(ctx, CQ_ACTION_STOP, reason, job);
	action->for_job = for_job;
	action->lost_accelerator_ms = cq_lost_work_ms(ctx, job, ctx->now_ns);
}

void cq_plan_evict(struct cq_plan_context *ctx, uint32_t job,
		   enum cq_reason reason, uint32_t for_job, int64_t deadline_ns)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_action *action;

	if (ctx->jobs[job].leaving)
		return;
	/* Waiting for a checkpoint that comes too late only costs time. */
	if (!entry->can_checkpoint ||
	    ctx->now_ns + entry->checkpoint_cost_ns > deadline_ns) {
		cq_plan_stop(ctx, job, reason, for_job);
		return;
	}
	ctx->jobs[job].leaving = true;
	action = cq_plan_add_action(ctx, CQ_ACTION_CHECKPOINT, reason, job);
	action->for_job = for_job;
	action->deadline_ns = deadline_ns;
	action->lost_accelerator_ms = cq_lost_work_ms(ctx, job, deadline_ns);
}
