/*
 * Decisions about what runs already: announced stops, broken gangs, data
 * centres going out, usage beyond what was declared, and failing workers.
 */
#include "state/planner_internal.h"

#include <stdlib.h>

#define PERMILLE 1000
/*
 * Starting a checkpoint this many times its own cost before a notice ends
 * leaves room for one that takes longer than declared.
 */
#define NOTICE_COST_FACTOR 3
#define NOTICE_MARGIN_NS (5 * CQ_NS_PER_S)

static void guard_announced_stops(struct cq_plan_context *ctx);
static void guard_gangs(struct cq_plan_context *ctx);
static void guard_leaving_dcs(struct cq_plan_context *ctx);
static void guard_memory(struct cq_plan_context *ctx, uint32_t worker);
static void guard_cpu(struct cq_plan_context *ctx, uint32_t worker);

static void guard_announced_stops(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t i;

	for (i = 0; i < snapshot->job_count; i++) {
		const struct cq_fleet_job *job = &snapshot->jobs[i];
		bool saved;

		if (job->state != CQ_JOB_RUNNING || !ctx->jobs[i].leaving)
			continue;
		saved = job->last_checkpoint_ns >= job->stop_requested_ns;
		if (saved || ctx->now_ns >= job->stop_deadline_ns)
			cq_plan_stop(ctx, i, (enum cq_reason)job->stop_reason,
				     job->stop_for);
	}
}

static void guard_gangs(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t i;
	uint32_t t;
	bool lost;

	for (i = 0; i < snapshot->job_count; i++) {
		if (snapshot->jobs[i].state != CQ_JOB_RUNNING)
			continue;
		lost = ctx->jobs[i].task_count < snapshot->jobs[i].tasks;
		for (t = ctx->jobs[i].first_task; t != CQ_NONE && !lost;
		     t = ctx->tasks[t].next_of_job)
			lost = snapshot->workers[snapshot->tasks[t].worker]
				       .state == CQ_WORKER_LOST;
		if (lost)
			cq_plan_stop(ctx, i, CQ_REASON_GANG_MEMBER_LOST,
				     CQ_NONE);
	}
}

/* Returns the data centre that a job has to leave, or CQ_NONE. */
static uint32_t leaving_dc_of(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t t;

	for (t = ctx->jobs[job].first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_of_job) {
		uint32_t dc = snapshot->workers[snapshot->tasks[t].worker].dc;

		if (snapshot->dcs[dc].state == CQ_DC_OUT)
			return dc;
	}
	return CQ_NONE;
}

static void guard_leaving_job(struct cq_plan_context *ctx, uint32_t job,
			      int64_t deadline_ns, int64_t *free_elsewhere)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	int64_t accelerators = (int64_t)entry->accelerators * entry->tasks;
	int64_t latest_ns = deadline_ns - NOTICE_MARGIN_NS -
			    NOTICE_COST_FACTOR * entry->checkpoint_cost_ns;

	if (ctx->now_ns >= deadline_ns) {
		cq_plan_stop(ctx, job, CQ_REASON_DC_OUT, CQ_NONE);
		return;
	}
	/*
	 * What cannot be checkpointed runs until the notice ends, since it may
	 * still end well. The rest leaves at once if it can restart elsewhere,
	 * and otherwise runs for as long as a checkpoint permits.
	 */
	if (!entry->can_checkpoint ||
	    ctx->jobs[job].predicted_end_ns <= latest_ns)
		return;
	if (ctx->now_ns < latest_ns && *free_elsewhere < accelerators)
		return;
	*free_elsewhere -= accelerators;
	cq_plan_evict(ctx, job, CQ_REASON_DC_OUT, CQ_NONE, deadline_ns);
}

static void guard_leaving_dcs(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	int64_t free_elsewhere = 0;
	bool any_out = false;
	uint32_t i;

	for (i = 0; i < snapshot->dc_count; i++)
		any_out = any_out || snapshot->dcs[i].state == CQ_DC_OUT;
	if (!any_out)
		return;
	for (i = 0; i < snapshot->worker_count; i++)
		if (ctx->workers[i].usable)
			free_elsewhere +=
				MAX(ctx->workers[i].free.accelerators, 0);
	for (i = 0; i < snapshot->job_count; i++) {
		uint32_t dc;

		if (snapshot->jobs[i].state == CQ_JOB_WAITING)
			free_elsewhere -= (int64_t)snapshot->jobs[i].tasks *
					  snapshot->jobs[i].accelerators;
		if (snapshot->jobs[i].state != CQ_JOB_RUNNING ||
		    ctx->jobs[i].leaving)
			continue;
		dc = leaving_dc_of(ctx, i);
		if (dc != CQ_NONE)
			guard_leaving_job(ctx, i,
					  snapshot->dcs[dc].notice_deadline_ns,
					  &free_elsewhere);
	}
}

static int64_t memory_overrun(const struct cq_plan_context *ctx, uint32_t task)
{
	const struct cq_fleet_task *entry = &ctx->snapshot->tasks[task];

	return ctx->tasks[task].use.memory_bytes -
	       (int64_t)ctx->snapshot->jobs[entry->job].memory_bytes;
}

/* The task with the largest overrun whose job stays, or CQ_NONE. */
static uint32_t worst_memory_task(const struct cq_plan_context *ctx,
				  uint32_t worker, bool stops_only)
{
	uint32_t worst = CQ_NONE;
	uint32_t t;

	for (t = ctx->workers[worker].first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_on_worker) {
		const struct cq_plan_job *job =
			&ctx->jobs[ctx->snapshot->tasks[t].job];

		if (stops_only ? job->stopped : job->leaving)
			continue;
		if (memory_overrun(ctx, t) > 0 &&
		    (worst == CQ_NONE ||
		     memory_overrun(ctx, t) > memory_overrun(ctx, worst)))
			worst = t;
	}
	return worst;
}

/*
 * Memory cannot be throttled: the tasks that outgrew their declared size are
 * checkpointed when the worker is overcommitted, and stopped at once when it
 * is about to run out.
 */
static void guard_memory(struct cq_plan_context *ctx, uint32_t worker)
{
	const struct cq_plan_worker *entry = &ctx->workers[worker];
	int64_t accounted = 0;
	int64_t observed = 0;
	int64_t high = entry->total.memory_bytes / PERMILLE *
		       ctx->policy->memory_high_permille;
	int64_t critical = entry->total.memory_bytes / PERMILLE *
			   ctx->policy->memory_critical_permille;
	uint32_t t;

	for (t = entry->first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_on_worker) {
		const struct cq_fleet_task *task = &ctx->snapshot->tasks[t];
		const struct cq_plan_job *job = &ctx->jobs[task->job];

		if (!job->stopped)
			observed += (int64_t)MIN(task->observed_memory_bytes,
						 INT64_MAX / 1024);
		if (!job->leaving)
			accounted += ctx->tasks[t].use.memory_bytes;
	}
	while (observed > critical) {
		t = worst_memory_task(ctx, worker, true);
		if (t == CQ_NONE)
			break;
		cq_plan_stop(ctx, ctx->snapshot->tasks[t].job,
			     CQ_REASON_MEMORY_OVERRUN, CQ_NONE);
		g_array_index(ctx->actions, struct cq_action,
			      ctx->actions->len - 1)
			.worker = worker;
		observed -= ctx->tasks[t].use.memory_bytes;
		accounted -= ctx->tasks[t].use.memory_bytes;
	}
	while (accounted > entry->total.memory_bytes || observed > high) {
		t = worst_memory_task(ctx, worker, false);
		if (t == CQ_NONE)
			break;
		cq_plan_evict(ctx, ctx->snapshot->tasks[t].job,
			      CQ_REASON_MEMORY_OVERRUN, CQ_NONE,
			      ctx->now_ns + ctx->policy->checkpoint_grace_ns);
		g_array_index(ctx->actions, struct cq_action,
			      ctx->actions->len - 1)
			.worker = worker;
		observed -= ctx->tasks[t].use.memory_bytes;
		accounted -= ctx->tasks[t].use.memory_bytes;
	}
}

static void throttle(struct cq_plan_context *ctx, uint32_t task,
		     enum cq_reason reason, uint32_t percent)
{
	const struct cq_fleet_task *entry = &ctx->snapshot->tasks[task];
	struct cq_action *action;

	if (entry->throttle_percent == percent)
		return;
	action =
		cq_plan_add_action(ctx, CQ_ACTION_THROTTLE, reason, entry->job);
	action->task = task;
	action->worker = entry->worker;
	action->percent = percent;
}

/* Cores are shared; tasks that use more than declared are slowed down. */
static void guard_cpu(struct cq_plan_context *ctx, uint32_t worker)
{
	const struct cq_plan_worker *entry = &ctx->workers[worker];
	int64_t high = entry->total.millicores *
		       ctx->policy->cpu_high_permille / PERMILLE;
	int64_t observed = 0;
	uint32_t t;

	for (t = entry->first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_on_worker)
		if (!ctx->jobs[ctx->snapshot->tasks[t].job].stopped)
			observed += ctx->snapshot->tasks[t].observed_millicores;
	for (t = entry->first_task; t != CQ_NONE;
	     t = ctx->tasks[t].next_on_worker) {
		const struct cq_fleet_task *task = &ctx->snapshot->tasks[t];
		int64_t declared = ctx->snapshot->jobs[task->job].millicores;
		int64_t used = task->observed_millicores;
		int64_t freely;

		/* A task at 0 % belongs to a gang that is being started. */
		if (task->throttle_percent == 0 || ctx->jobs[task->job].stopped)
			continue;
		freely = used * 100 / MIN(task->throttle_percent, 100);
		if (observed > high && used > declared)
			throttle(
				ctx, t, CQ_REASON_CPU_OVERRUN,
				(uint32_t)CLAMP(declared * 100 / MAX(freely, 1),
						1, 100));
		else if (task->throttle_percent < 100 &&
			 observed - used + freely <= high)
			throttle(ctx, t, CQ_REASON_OVERRUN_ENDED, 100);
	}
}

void cq_plan_guard(struct cq_plan_context *ctx)
{
	uint32_t i;

	guard_gangs(ctx);
	guard_announced_stops(ctx);
	guard_leaving_dcs(ctx);
	for (i = 0; i < ctx->snapshot->worker_count; i++) {
		if (ctx->workers[i].first_task == CQ_NONE)
			continue;
		guard_memory(ctx, i);
		guard_cpu(ctx, i);
	}
}

static uint32_t quarantine_cap(const struct cq_plan_context *ctx)
{
	return MAX(ctx->snapshot->worker_count *
			   ctx->policy->max_quarantine_permille / PERMILLE,
		   1U);
}

void cq_plan_health(struct cq_plan_context *ctx)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	struct cq_health *health = ctx->planner->health;
	uint32_t quarantined = 0;
	uint32_t cap = quarantine_cap(ctx);
	uint32_t i;

	if (cq_health_is_empty(health))
		return;
	for (i = 0; i < snapshot->worker_count; i++)
		quarantined += cq_health_is_quarantined(
			health, snapshot->workers[i].name);
	for (i = 0; i < snapshot->worker_count; i++) {
		const char *name = snapshot->workers[i].name;

		if (!cq_health_is_quarantined(health, name) &&
		    quarantined < cap &&
		    cq_health_worker_failures(health, name) >=
			    ctx->policy->worker_failure_jobs) {
			cq_health_quarantine(health, name, ctx->now_ns);
			quarantined++;
			cq_plan_add_action(ctx, CQ_ACTION_QUARANTINE,
					   CQ_REASON_WORKER_FAILS_JOBS, CQ_NONE)
				->worker = i;
		}
		if (!cq_health_is_quarantined(health, name))
			continue;
		ctx->workers[i].usable = false;
		if (cq_health_probe_due(health, name, ctx->now_ns,
					ctx->policy->probe_interval_ns))
			cq_plan_add_action(ctx, CQ_ACTION_PROBE,
					   CQ_REASON_PROBE_DUE, CQ_NONE)
				->worker = i;
	}
}
