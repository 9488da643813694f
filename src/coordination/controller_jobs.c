/*
 * Moves each job on from what the store and its gang say. Every step depends
 * on the present state only, so that a step that could not be taken (a write
 * limit, an outage) is taken later.
 */
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_private.h"

/* Delay of the next attempt after one that did not run. */
#define BACKOFF_BASE_NS CQ_NS_PER_S
#define BACKOFF_MAX_NS (30 * CQ_NS_PER_S)
/* A new measurement moves the mean cost of checkpoints by 1 part of this. */
#define CHECKPOINT_WEIGHT 8

static void begin_attempt(struct cq_job *job, int64_t now_ns);
static void recover_attempt(struct cq_job *job, int64_t now_ns);
static void end_attempt(struct cq_job *job, int64_t now_ns);
static void reconcile_active(struct cq_job *job, int64_t now_ns);
static void reconcile_waiting(struct cq_job *job, int64_t now_ns);

void cq_job_mark_dirty(struct cq_job *job)
{
	if (job->dirty)
		return;
	job->dirty = true;
	job->dirty_link.data = job;
	g_queue_push_tail_link(job->controller->dirty, &job->dirty_link);
}

const struct cq_controller_dc *cq_controller_find_dc(struct cq_controller *c,
						     const char *name)
{
	guint i;

	for (i = 0; i < c->dcs->len; i++) {
		const struct cq_controller_dc *dc =
			&g_array_index(c->dcs, struct cq_controller_dc, i);

		if (!strcmp(dc->name, name))
			return dc;
	}
	return NULL;
}

static void begin_attempt(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;

	job->gang = cq_gang_create(&c->options.gang, &cq_controller_gang_ops,
				   job, job->record.tasks, now_ns);
	job->started_ns = now_ns;
	job->begun_ns = now_ns;
	g_hash_table_add(c->active, job);
	cq_gang_tick(job->gang, now_ns);
}

/* Rebuilds the gang from what the workers reported. */
static void recover_attempt(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	uint32_t size = job->record.tasks;
	struct cq_gang_report *reports = g_new0(struct cq_gang_report, size);
	struct cq_job_place *places = g_new0(struct cq_job_place, size);
	char id[CQ_JOB_TASK_ID_BYTES];
	uint32_t present = 0;
	uint32_t i;

	for (i = 0; i < size; i++) {
		const struct cq_task_status *task;

		cq_job_task_id(job->record.id, job->record.attempt, i, id);
		task = cq_fleet_state_task(c->fleet, id);
		places[i].worker = UINT32_MAX;
		if (!task)
			continue;
		present++;
		reports[i].present = true;
		reports[i].state = task->state;
		reports[i].checkpoint_ms = task->checkpoint_ms;
		places[i].worker = task->worker;
		places[i].accelerator_mask = task->accelerator_mask;
		places[i].cell = task->cell;
	}
	if (present == size || cq_controller_all_settled(c)) {
		int64_t gone_by_ns = now_ns;

		for (i = 0; i < cq_fleet_state_count(c->fleet); i++)
			if (cq_fleet_state_node(c->fleet, i)->listed &&
			    !cq_fleet_state_node(c->fleet, i)->reported)
				gone_by_ns = cq_controller_gone_by_ns(
					c, cq_fleet_state_node(c->fleet, i));
		job->gang = cq_gang_recover(&c->options.gang,
					    &cq_controller_gang_ops, job, size,
					    reports, gone_by_ns, now_ns);
		job->places = places;
		job->places_attempt = job->record.attempt;
		places = NULL;
		job->started_ns = now_ns;
		job->begun_ns = now_ns;
		if (job->record.started_unix_ms >= 0)
			job->started_ns -= (cq_clock_unix_ms(c->options.clock) -
					    job->record.started_unix_ms) *
					   CQ_NS_PER_MS;
		g_hash_table_add(c->active, job);
		cq_log_event(CQ_LOG_INFO, "gang_recovered",
			     "{s:s,s:i,s:i,s:i,s:s}", "job", job->record.id,
			     "attempt", (int)job->record.attempt, "size",
			     (int)size, "present", (int)present, "state",
			     cq_gang_state_string(cq_gang_state(job->gang)));
		cq_gang_tick(job->gang, now_ns);
	}
	g_free(places);
	g_free(reports);
}

static const char *worker_name(const struct cq_job *job, uint32_t rank)
{
	uint32_t worker = UINT32_MAX;

	if (rank < job->record.tasks && job->places)
		worker = job->places[rank].worker;
	return worker == UINT32_MAX
		       ? "unknown"
		       : cq_fleet_state_node(job->controller->fleet, worker)
				 ->name;
}

static void learn_finished(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	uint32_t i;

	for (i = 0; i < job->record.tasks; i++)
		cq_planner_observe_success(c->planner, job->record.id,
					   worker_name(job, i));
	cq_controller_history_add(c, job->record.workspace,
				  job->record.class_name,
				  job->record.expected_ms,
				  (now_ns - job->started_ns) / CQ_NS_PER_MS +
					  job->record.done_ms);
}

static void keep_checkpoint(const struct cq_job *job,
			    struct cq_job_record *next)
{
	int64_t done_ms = cq_gang_checkpoint_ms(job->gang);

	if (done_ms >= 0) {
		next->restore_attempt = next->attempt;
		next->done_ms = done_ms;
	}
	next->phase = next->restore_attempt ? CQ_PHASE_CHECKPOINTED
					    : CQ_PHASE_QUEUED;
}

/* Fills in the record that follows from the end of the gang. */
static void ended_record(struct cq_job *job, struct cq_job_record *next)
{
	uint32_t culprit = cq_gang_failed_rank(job->gang);
	const char *worker = worker_name(job, culprit);

	next->ended_unix_ms = cq_clock_unix_ms(job->controller->options.clock);
	keep_checkpoint(job, next);
	switch (cq_gang_end(job->gang)) {
	case CQ_GANG_END_FINISHED:
		next->phase = CQ_PHASE_FINISHED;
		g_strlcpy(next->reason, "all tasks finished",
			  sizeof(next->reason));
		break;
	case CQ_GANG_END_FAILED:
		cq_job_record_add_failed_worker(next, worker);
		g_snprintf(next->reason, sizeof(next->reason),
			   "attempt %u: task %u failed on worker %s",
			   next->attempt, culprit, worker);
		break;
	case CQ_GANG_END_LOST:
		g_snprintf(next->reason, sizeof(next->reason),
			   "attempt %u: a task on worker %s was lost",
			   next->attempt, worker);
		break;
	case CQ_GANG_END_UNDONE:
		g_snprintf(next->reason, sizeof(next->reason),
			   "attempt %u: the start was undone", next->attempt);
		break;
	case CQ_GANG_END_CHECKPOINTED:
	case CQ_GANG_END_STOPPED:
	case CQ_GANG_END_NONE:
		if (job->stop_reason != CQ_REASON_DC_OUT)
			next->evictions++;
		g_snprintf(next->reason, sizeof(next->reason),
			   "attempt %u: stopped (%s)", next->attempt,
			   cq_reason_string(job->stop_reason));
		break;
	}
	if (next->cancel && next->phase != CQ_PHASE_FINISHED) {
		next->phase = CQ_PHASE_CANCELLED;
		g_strlcpy(next->reason, "cancelled on request",
			  sizeof(next->reason));
	}
}

static enum cq_controller_count count_of(enum cq_gang_end end)
{
	switch (end) {
	case CQ_GANG_END_FINISHED:
		return CQ_COUNT_FINISHED;
	case CQ_GANG_END_FAILED:
		return CQ_COUNT_FAILED;
	case CQ_GANG_END_LOST:
		return CQ_COUNT_LOST;
	case CQ_GANG_END_UNDONE:
		return CQ_COUNT_UNDONE;
	case CQ_GANG_END_CHECKPOINTED:
	case CQ_GANG_END_STOPPED:
	case CQ_GANG_END_NONE:
		break;
	}
	return CQ_COUNT_STOPPED;
}

static void end_attempt(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	enum cq_gang_end end = cq_gang_end(job->gang);
	uint32_t culprit = cq_gang_failed_rank(job->gang);
	struct cq_job_record next = job->record;

	ended_record(job, &next);
	if (!cq_job_write(job, &next, now_ns))
		return;
	cq_log_event(CQ_LOG_INFO, "attempt_ended", "{s:s,s:i,s:s,s:s}", "job",
		     next.id, "attempt", (int)next.attempt, "end",
		     cq_gang_end_string(end), "state",
		     cq_job_phase_string(next.phase));
	if (job->learned)
		return;
	job->learned = true;
	job->wait_reason = CQ_REASON_NONE;
	cq_job_decided(job, cq_gang_end_string(end), next.reason);
	cq_controller_count(c, count_of(end));
	if (end == CQ_GANG_END_CHECKPOINTED && job->stop_requested_ns)
		c->checkpoint_cost_ns += (now_ns - job->stop_requested_ns -
					  c->checkpoint_cost_ns) /
					 CHECKPOINT_WEIGHT;
	if (end == CQ_GANG_END_FINISHED)
		learn_finished(job, now_ns);
	else if (end == CQ_GANG_END_FAILED ||
		 (end == CQ_GANG_END_UNDONE && culprit != UINT32_MAX))
		cq_planner_observe_failure(c->planner, next.id,
					   worker_name(job, culprit));
	if (end == CQ_GANG_END_FAILED || end == CQ_GANG_END_UNDONE ||
	    end == CQ_GANG_END_LOST) {
		int64_t delay_ns = BACKOFF_BASE_NS << MIN(job->failures, 8);

		job->failures++;
		job->not_before_ns = now_ns + MIN(delay_ns, BACKOFF_MAX_NS);
	}
	/*
	 * The failures of a job that finished elsewhere lie with the workers;
	 * forgetting them would keep a worker that fails short jobs in use.
	 */
	if (cq_job_phase_is_terminal(next.phase) &&
	    next.phase != CQ_PHASE_FINISHED)
		cq_planner_forget_job(c->planner, next.id);
}

static void reconcile_active(struct cq_job *job, int64_t now_ns)
{
	struct cq_controller *c = job->controller;
	struct cq_job_record next = job->record;
	enum cq_gang_state state;

	if (!job->gang) {
		if (job->places && job->places_attempt == next.attempt &&
		    next.epoch == c->epoch)
			begin_attempt(job, now_ns);
		else
			recover_attempt(job, now_ns);
	}
	if (!job->gang) {
		/* Not all workers have reported yet. */
		cq_job_mark_dirty(job);
		return;
	}
	if (next.cancel)
		cq_gang_stop(job->gang, now_ns);
	state = cq_gang_state(job->gang);
	if (state == CQ_GANG_ENDED) {
		end_attempt(job, now_ns);
	} else if (next.phase == CQ_PHASE_STARTING &&
		   (state == CQ_GANG_RUNNING ||
		    state == CQ_GANG_CHECKPOINTING)) {
		next.phase = CQ_PHASE_RUNNING;
		next.started_unix_ms = cq_clock_unix_ms(c->options.clock);
		job->failures = 0;
		cq_job_write(job, &next, now_ns);
	}
}

static void reconcile_waiting(struct cq_job *job, int64_t now_ns)
{
	struct cq_job_record next = job->record;

	cq_job_drop_attempt(job);
	if (next.cancel) {
		next.phase = CQ_PHASE_CANCELLED;
		next.ended_unix_ms =
			cq_clock_unix_ms(job->controller->options.clock);
		g_strlcpy(next.reason, "cancelled on request",
			  sizeof(next.reason));
		if (!cq_job_write(job, &next, now_ns))
			cq_job_mark_dirty(job);
	} else if (cq_job_should_move(job)) {
		cq_job_begin_move(job, now_ns);
	}
}

void cq_job_reconcile(struct cq_job *job, int64_t now_ns)
{
	if (job->writing)
		return;
	switch (job->record.phase) {
	case CQ_PHASE_QUEUED:
	case CQ_PHASE_CHECKPOINTED:
		reconcile_waiting(job, now_ns);
		break;
	case CQ_PHASE_STARTING:
	case CQ_PHASE_RUNNING:
		reconcile_active(job, now_ns);
		break;
	case CQ_PHASE_MOVING:
		cq_job_continue_move(job, now_ns);
		break;
	case CQ_PHASE_FINISHED:
	case CQ_PHASE_FAILED:
	case CQ_PHASE_CANCELLED:
		cq_job_drop_attempt(job);
		break;
	}
}
