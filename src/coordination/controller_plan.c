/* Runs the planner and carries out its actions. */
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_snapshot.h"

/* Shortest time between two plans, also when one is requested. */
#define MIN_PLAN_INTERVAL_NS (100 * CQ_NS_PER_MS)

static void apply_action(struct cq_controller *c,
			 struct cq_controller_snapshot *s,
			 const struct cq_action *action, int64_t now_ns);

static int64_t to_unix_ms(const struct cq_controller *c, int64_t at_ns,
			  int64_t now_ns)
{
	if (at_ns == CQ_FLEET_UNKNOWN_NS)
		return -1;
	return cq_clock_unix_ms(c->options.clock) +
	       (at_ns - now_ns) / CQ_NS_PER_MS;
}

static void start_attempt(struct cq_job *job, const struct cq_action *action,
			  int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	struct cq_job_record next = job->record;
	int64_t not_after_unix_ms;
	uint32_t i;

	if (c->draining || job->writing || job->placements ||
	    !cq_job_phase_is_waiting(next.phase) ||
	    action->placement_count != next.tasks)
		return;
	next.phase = CQ_PHASE_STARTING;
	next.attempt++;
	next.epoch = c->epoch;
	next.expected_start_unix_ms = cq_clock_unix_ms(c->options.clock);
	next.expected_end_unix_ms =
		to_unix_ms(c, action->predicted_end_ns, now_ns);
	g_strlcpy(next.reason, job->explanation, sizeof(next.reason));
	if (!cq_job_write(job, &next, now_ns))
		return;
	cq_controller_count(c, CQ_COUNT_STARTS);
	cq_job_add_decision(job, cq_action_kind_string(action->kind),
			    job->explanation);
	/*
	 * Requests the start permit now, so that it is read while the record is
	 * being written.
	 */
	c->ops->start_permit(c->ctx, now_ns, &not_after_unix_ms);
	job->placements = g_new0(struct cq_job_placement, next.tasks);
	job->placements_attempt = next.attempt;
	job->expected_end_ns = action->predicted_end_ns;
	for (i = 0; i < next.tasks; i++) {
		job->placements[i].worker = action->placements[i].worker;
		job->placements[i].accelerator_mask =
			action->placements[i].accelerator_mask;
		job->placements[i].cell = action->placements[i].cell;
	}
}

static void reject_job(struct cq_job *job, const struct cq_action *action,
		       const struct cq_controller_snapshot *s, int64_t now_ns)
{
	struct cq_job_record next = job->record;

	/* A worker whose capacity is not known yet may be large enough. */
	if (job->placements ||
	    (action->reason == CQ_REASON_NEVER_FITS && !s->capacity_known))
		return;
	if (action->reason == CQ_REASON_NEVER_FITS &&
	    cq_job_move_unplaceable(job, now_ns))
		return;
	next.phase = CQ_PHASE_FAILED;
	next.ended_unix_ms = cq_clock_unix_ms(job->controller->options.clock);
	g_strlcpy(next.reason, job->explanation, sizeof(next.reason));
	if (!cq_job_write(job, &next, now_ns))
		return;
	cq_job_add_decision(job, cq_action_kind_string(action->kind),
			    job->explanation);
	cq_log_event(CQ_LOG_INFO, "job_rejected", "{s:s,s:s}", "job", next.id,
		     "reason", next.reason);
}

static void announce_stop(struct cq_job *job, const struct cq_action *action,
			  const struct cq_controller_snapshot *s,
			  int64_t now_ns)
{
	bool announced;

	/*
	 * The gang handles lost members itself: unlike the planner it can tell
	 * a lost task from a finished one.
	 */
	if (!job->gang || cq_gang_state(job->gang) >= CQ_GANG_STOPPING ||
	    action->reason == CQ_REASON_GANG_MEMBER_LOST)
		return;
	announced = job->stop_requested_ns != 0;
	if (!announced)
		job->stop_requested_ns = now_ns;
	job->stop_reason = action->reason;
	job->stop_deadline_ns = action->deadline_ns;
	job->stop_for[0] = '\0';
	if (action->for_job != CQ_FLEET_NONE)
		g_strlcpy(job->stop_for, s->snapshot.jobs[action->for_job].id,
			  sizeof(job->stop_for));
	/*
	 * A checkpoint precedes every stop whose deadline leaves time for one.
	 * A gang that is not running yet has nothing to save and is stopped at
	 * once.
	 */
	if (action->kind == CQ_ACTION_CHECKPOINT ||
	    (job->record.can_checkpoint && now_ns < action->deadline_ns))
		cq_gang_checkpoint(job->gang, action->deadline_ns, now_ns);
	else if (now_ns >= action->deadline_ns ||
		 cq_gang_state(job->gang) < CQ_GANG_RUNNING)
		cq_gang_stop(job->gang, now_ns);
	cq_gang_tick(job->gang, now_ns);
	cq_job_mark_dirty(job);
	if (announced)
		return;
	cq_job_add_decision(job, cq_action_kind_string(action->kind),
			    job->explanation);
	cq_log_event(CQ_LOG_INFO, "job_stop_announced", "{s:s,s:s,s:s}", "job",
		     job->record.id, "action",
		     cq_action_kind_string(action->kind), "reason",
		     cq_reason_string(action->reason));
}

static void apply_action(struct cq_controller *c,
			 struct cq_controller_snapshot *s,
			 const struct cq_action *action, int64_t now_ns)
{
	struct cq_job *job = NULL;

	if (action->job != CQ_FLEET_NONE)
		job = g_ptr_array_index(s->controller_jobs, action->job);
	/* Stray tasks have no job; only these actions apply without one. */
	if (!job && action->kind != CQ_ACTION_THROTTLE &&
	    action->kind != CQ_ACTION_QUARANTINE &&
	    action->kind != CQ_ACTION_PROBE)
		return;
	if (job) {
		cq_plan_explain_action(&s->snapshot, action, job->explanation,
				       sizeof(job->explanation));
	}
	switch (action->kind) {
	case CQ_ACTION_START:
		start_attempt(job, action, now_ns);
		break;
	case CQ_ACTION_CHECKPOINT:
	case CQ_ACTION_STOP:
		announce_stop(job, action, s, now_ns);
		break;
	case CQ_ACTION_REJECT:
		reject_job(job, action, s, now_ns);
		break;
	case CQ_ACTION_THROTTLE:
		cq_controller_throttle(c, s->task_ids->pdata[action->task],
				       s->snapshot.tasks[action->task].worker,
				       action->percent, now_ns);
		break;
	case CQ_ACTION_QUARANTINE:
		cq_log_event(CQ_LOG_WARN, "worker_quarantined", "{s:s}",
			     "worker",
			     s->snapshot.workers[action->worker].name);
		break;
	case CQ_ACTION_PROBE:
		cq_controller_probe(c, action->worker, now_ns);
		break;
	}
}

static void record_waits(struct cq_controller_snapshot *s,
			 const struct cq_plan *plan)
{
	uint32_t i;

	for (i = 0; i < plan->wait_count; i++) {
		const struct cq_wait *wait = &plan->waits[i];
		struct cq_job *job =
			g_ptr_array_index(s->controller_jobs, wait->job);

		if (!job)
			continue;
		job->expected_start_ns = wait->expected_start_ns;
		job->expected_end_ns = wait->expected_end_ns;
		cq_plan_explain_wait(&s->snapshot, wait, job->explanation,
				     sizeof(job->explanation));
		if (job->wait_reason == wait->reason)
			continue;
		job->wait_reason = wait->reason;
		cq_job_add_decision(job, "wait", job->explanation);
	}
}

static struct cq_workspace_usage *usage_of(struct cq_controller *c,
					   const struct cq_snapshot *snapshot,
					   uint32_t workspace)
{
	const char *name = snapshot->workspaces[workspace].name;
	struct cq_workspace_usage *usage =
		g_hash_table_lookup(c->workspace_usage, name);

	if (!usage) {
		usage = g_new0(struct cq_workspace_usage, 1);
		g_hash_table_insert(c->workspace_usage, g_strdup(name), usage);
	}
	return usage;
}

static void update_workspace_usage(struct cq_controller *c,
				   const struct cq_snapshot *snapshot,
				   const struct cq_plan *plan)
{
	uint32_t i;

	g_hash_table_remove_all(c->workspace_usage);
	for (i = 0; i < snapshot->guarantee_count; i++) {
		const struct cq_fleet_guarantee *g = &snapshot->guarantees[i];

		usage_of(c, snapshot, g->workspace)->guaranteed_accelerators +=
			g->count * g->accelerators;
	}
	for (i = 0; i < plan->shortfall_count; i++) {
		const struct cq_shortfall *s = &plan->shortfalls[i];
		uint32_t workspace =
			snapshot->guarantees[s->guarantee].workspace;

		usage_of(c, snapshot, workspace)->short_accelerators +=
			s->accelerators;
	}
	for (i = 0; i < snapshot->job_count; i++) {
		const struct cq_fleet_job *job = &snapshot->jobs[i];
		struct cq_workspace_usage *usage =
			usage_of(c, snapshot, job->workspace);
		uint32_t size = job->tasks * job->accelerators;

		if (job->state == CQ_JOB_WAITING &&
		    plan->tiers[i] == CQ_TIER_NONE) {
			usage->waiting_jobs++;
			continue;
		}
		usage->running_jobs++;
		usage->used_accelerators += size;
		if (plan->tiers[i] == CQ_TIER_BORROWER)
			usage->borrowed_accelerators += size;
	}
}

static bool plan_is_due(struct cq_controller *c, int64_t now_ns)
{
	int64_t since_ns = now_ns - c->last_plan_ns;

	if (since_ns < MIN_PLAN_INTERVAL_NS ||
	    (!c->plan_wanted && since_ns < c->options.plan_interval_ns))
		return false;
	if (!c->ops->may_command(c->ctx, now_ns))
		return false;
	/*
	 * A plan made earlier would miss tasks of workers that have not
	 * reported yet.
	 */
	return cq_controller_all_reported_or_lost(c) ||
	       (c->hosts_known &&
		now_ns - c->epoch_start_ns >= c->options.first_report_wait_ns);
}

void cq_controller_plan(struct cq_controller *c, int64_t now_ns)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_controller_snapshot *s;
	struct cq_plan *plan;
	int64_t begin_ns;
	uint32_t i;

	if (!plan_is_due(c, now_ns))
		return;
	c->last_plan_ns = now_ns;
	c->plan_wanted = false;
	cq_controller_count(c, CQ_COUNT_PLANS);
	begin_ns = cq_clock_now_ns(c->options.clock);
	s = cq_controller_snapshot_create(c, true, now_ns);
	plan = cq_planner_plan(c->planner, &s->snapshot, &err);
	if (c->plan_time)
		cq_histogram_observe_ns(c->plan_time,
					cq_clock_now_ns(c->options.clock) -
						begin_ns);
	g_strlcpy(c->plan_error, err.message, sizeof(c->plan_error));
	if (plan) {
		record_waits(s, plan);
		cq_controller_update_shortfalls(c, &s->snapshot, plan);
		update_workspace_usage(c, &s->snapshot, plan);
		for (i = 0; i < plan->action_count; i++)
			apply_action(c, s, &plan->actions[i], now_ns);
		cq_controller_hand_over_jobs(c, s, plan, now_ns);
		cq_controller_publish_offer(c, &s->snapshot, plan, now_ns);
	} else {
		cq_log_event(CQ_LOG_ERROR, "plan_failed", "{s:s}", "error",
			     err.message);
	}
	cq_plan_destroy(plan);
	cq_controller_snapshot_destroy(s);
}

bool cq_controller_can_ever_run(struct cq_controller *c,
				const struct cq_job_record *record,
				int64_t now_ns, struct cq_error *err)
{
	struct cq_controller_snapshot *s =
		cq_controller_snapshot_create(c, false, now_ns);
	struct cq_fleet_job job;
	struct cq_misfit misfit;
	bool ok;

	cq_controller_snapshot_job(s, record, &job);
	ok = !s->capacity_known || !s->workers->len ||
	     cq_planner_can_ever_run(&s->snapshot, &job, &misfit) ||
	     cq_controller_fits_elsewhere(c, record);
	if (!ok)
		cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_LIMIT,
			     "%s: %" G_GUINT64_FORMAT
			     " requested, but the largest possible request is "
			     "%" G_GUINT64_FORMAT,
			     cq_resource_string(misfit.resource),
			     misfit.requested, misfit.largest);
	cq_controller_snapshot_destroy(s);
	return ok;
}
