#include "fleet_sim_measure.h"

#include <string.h>

#include "chestnutquay/clock.h"

/* Plans are made at multiples of this, like the timer tick of a daemon. */
#define PLAN_TICK_NS (250 * CQ_NS_PER_MS)
/* A plan is made at least this often while any job waits or runs. */
#define MAX_PLAN_INTERVAL_NS (30 * CQ_NS_PER_S)
/* Delay from a command to its effect on the worker. */
#define COMMAND_DELAY_NS (200 * CQ_NS_PER_MS)
/* A wait within a guarantee counts as a miss if it is longer than this. */
#define MISS_URGENT_NS (3500 * CQ_NS_PER_MS)
#define MISS_OTHER_NS (45 * CQ_NS_PER_S)
#define NEVER_NS INT64_MAX
/* Run time after which a failing run ends. */
#define FAILURE_DELAY_NS (2 * CQ_NS_PER_S)

struct sim *sim_create(struct fleet_builder *fleet, sim_plan_fn *plan,
		       void *plan_ctx)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->fleet = fleet;
	sim->plan = plan;
	sim->plan_ctx = plan_ctx;
	sim->jobs = g_array_new(FALSE, TRUE, sizeof(struct sim_job));
	sim->events = g_array_new(FALSE, TRUE, sizeof(struct sim_event));
	sim->active = g_array_new(FALSE, TRUE, sizeof(uint32_t));
	sim->faulty_workers = g_new0(bool, fleet->workers->len + 1);
	sim->stats.reclaim_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	sim->next_plan_ns = NEVER_NS;
	return sim;
}

void sim_destroy(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->jobs->len; i++) {
		g_free(sim_job_at(sim, i)->placements);
		g_free(sim_job_at(sim, i)->throttles);
	}
	g_array_free(sim->jobs, TRUE);
	g_array_free(sim->events, TRUE);
	g_array_free(sim->active, TRUE);
	g_array_free(sim->stats.reclaim_ns, TRUE);
	g_free(sim->faulty_workers);
	g_free(sim);
}

struct sim_job *sim_job_at(struct sim *sim, uint32_t index)
{
	return &g_array_index(sim->jobs, struct sim_job, index);
}

struct sim_job *sim_job_of_snapshot(struct sim *sim, uint32_t job)
{
	return sim_job_at(sim, g_array_index(sim->active, uint32_t, job));
}

struct sim_job *sim_add_job(struct sim *sim, int64_t submitted_ns,
			    uint32_t workspace, uint32_t class_index,
			    uint32_t tasks, uint32_t accelerators,
			    int64_t declared_ns, int64_t true_ns)
{
	uint32_t scratch = fleet_add_job(sim->fleet, workspace, class_index,
					 tasks, accelerators);
	struct sim_job job = {
		.spec = *fleet_job(sim->fleet, scratch),
		.cancel_ns = NEVER_NS,
		.true_run_ns = MAX(true_ns, 1),
		.memory_factor = 1,
		.cpu_factor = 1,
		.end_ns = NEVER_NS,
		.checkpoint_started_ns = NEVER_NS,
		.checkpoint_done_ns = NEVER_NS,
		.stop_done_ns = NEVER_NS,
		.first_start_ns = -1,
		.finished_ns = -1,
		.eligible_since_ns = -1,
	};

	g_array_set_size(sim->fleet->jobs, scratch);
	job.spec.submitted_ns = submitted_ns;
	job.spec.declared_run_ns = declared_ns;
	job.placements = g_new0(struct cq_placement, tasks);
	job.throttles = g_new0(uint32_t, tasks);
	g_array_append_val(sim->jobs, job);
	return sim_job_at(sim, sim->jobs->len - 1);
}

void sim_add_event(struct sim *sim, int64_t at_ns, enum sim_event_kind kind,
		   uint32_t index, int64_t value)
{
	struct sim_event event = { at_ns, kind, index, value };

	g_array_append_val(sim->events, event);
}

static int compare_jobs(const void *a, const void *b)
{
	const struct sim_job *left = a;
	const struct sim_job *right = b;

	return left->spec.submitted_ns < right->spec.submitted_ns
		       ? -1
		       : left->spec.submitted_ns > right->spec.submitted_ns;
}

static int compare_events(const void *a, const void *b)
{
	const struct sim_event *left = a;
	const struct sim_event *right = b;

	return left->at_ns < right->at_ns ? -1 : left->at_ns > right->at_ns;
}

static void prepare(struct sim *sim)
{
	uint32_t i;

	g_array_sort(sim->jobs, compare_jobs);
	g_array_sort(sim->events, compare_events);
	for (i = 0; i < sim->jobs->len; i++) {
		struct sim_job *job = sim_job_at(sim, i);

		g_snprintf(job->id, sizeof(job->id), "j%u", i);
		job->spec.id = job->id;
	}
}

static int64_t accelerators_of(const struct sim_job *job)
{
	return (int64_t)job->spec.accelerators * job->spec.tasks;
}

int64_t sim_progress_ns(const struct sim_job *job, int64_t now_ns)
{
	if (job->state != SIM_RUNNING || now_ns <= job->progress_from_ns)
		return job->spec.done_ns;
	return job->spec.done_ns + MIN(now_ns, job->stop_done_ns) -
	       job->progress_from_ns;
}

static void requeue_job(struct sim *sim, struct sim_job *job)
{
	int64_t saved_ns = job->spec.done_ns;

	sim->stats.lost_accelerator_s +=
		(double)(sim_progress_ns(job, sim->fleet->now_ns) - saved_ns) /
		(double)CQ_NS_PER_S * (double)accelerators_of(job);
	if (job->memory_overrun && job->memory_factor > 1) {
		job->spec.memory_bytes =
			(uint64_t)((double)job->spec.memory_bytes *
				   job->memory_factor);
		job->memory_factor = 1;
	}
	job->state = SIM_WAITING;
	job->spec.state = CQ_JOB_WAITING;
	job->end_ns = NEVER_NS;
	job->stop_done_ns = NEVER_NS;
	job->checkpoint_started_ns = NEVER_NS;
	job->checkpoint_done_ns = NEVER_NS;
	job->spec.stop_requested_ns = 0;
	job->spec.stop_for = CQ_FLEET_NONE;
	job->spec.last_checkpoint_ns = CQ_FLEET_UNKNOWN_NS;
}

/* A checkpoint saves the progress as it was when the checkpoint began. */
static void record_checkpoint(struct sim_job *job, int64_t started_ns,
			      int64_t now_ns)
{
	if (started_ns > job->progress_from_ns) {
		job->spec.done_ns = sim_progress_ns(job, started_ns);
		job->progress_from_ns = started_ns;
	}
	job->spec.last_checkpoint_ns = now_ns;
	job->checkpoint_started_ns = NEVER_NS;
	job->checkpoint_done_ns = NEVER_NS;
}

static bool runs_on(const struct sim_job *job, uint32_t worker)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++)
		if (job->placements[i].worker == worker)
			return true;
	return false;
}

static bool has_faulty_worker(const struct sim *sim, const struct sim_job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++)
		if (sim->faulty_workers[job->placements[i].worker])
			return true;
	return false;
}

static void observe_failure(struct sim *sim, struct sim_job *job)
{
	uint32_t i;

	if (!sim->planner)
		return;
	for (i = 0; i < job->spec.tasks; i++) {
		uint32_t worker = job->placements[i].worker;

		if (job->fails || sim->faulty_workers[worker])
			cq_planner_observe_failure(
				sim->planner, job->id,
				fleet_worker(sim->fleet, worker)->name);
	}
}

static void finish_job(struct sim *sim, struct sim_job *job,
		       enum sim_job_state state)
{
	uint32_t i;

	if (sim->planner && state == SIM_DONE) {
		cq_planner_observe_end(sim->planner,
				       g_array_index(sim->fleet->workspaces,
						     struct cq_fleet_workspace,
						     job->spec.workspace)
					       .name,
				       g_array_index(sim->fleet->classes,
						     struct cq_fleet_class,
						     job->spec.class_index)
					       .name,
				       job->spec.declared_run_ns,
				       job->true_run_ns);
		for (i = 0; i < job->spec.tasks; i++)
			cq_planner_observe_success(
				sim->planner, job->id,
				fleet_worker(sim->fleet,
					     job->placements[i].worker)
					->name);
	}
	if (sim->planner)
		cq_planner_forget_job(sim->planner, job->id);
	if (state == SIM_DONE)
		job->spec.done_ns = job->true_run_ns;
	job->state = state;
	job->finished_ns = state == SIM_DONE ? job->end_ns : sim->fleet->now_ns;
}

static void apply_event(struct sim *sim, const struct sim_event *event)
{
	struct fleet_builder *fleet = sim->fleet;
	struct cq_fleet_dc *dc;
	uint32_t i;

	switch (event->kind) {
	case SIM_DC_OUT:
		dc = &g_array_index(fleet->dcs, struct cq_fleet_dc,
				    event->index);
		dc->state = CQ_DC_OUT;
		dc->notice_deadline_ns = fleet->now_ns + event->value;
		break;
	case SIM_DC_IN:
		dc = &g_array_index(fleet->dcs, struct cq_fleet_dc,
				    event->index);
		dc->state = CQ_DC_IN;
		dc->in_since_ns = fleet->now_ns;
		break;
	case SIM_WORKER_LOST:
		fleet_worker(fleet, event->index)->state = CQ_WORKER_LOST;
		break;
	case SIM_WORKER_RETURNED:
		/* Its tasks are lost: requeue jobs the planner did not stop. */
		for (i = 0; i < sim->active->len; i++) {
			struct sim_job *job = sim_job_of_snapshot(sim, i);

			if (fleet_worker(fleet, event->index)->state ==
				    CQ_WORKER_LOST &&
			    job->state == SIM_RUNNING &&
			    runs_on(job, event->index))
				requeue_job(sim, job);
		}
		fleet_worker(fleet, event->index)->state = CQ_WORKER_UP;
		break;
	case SIM_WORKER_FAULTY:
		sim->faulty_workers[event->index] = true;
		break;
	case SIM_WORKER_REPAIRED:
		sim->faulty_workers[event->index] = false;
		break;
	case SIM_GUARANTEE_COUNT:
		g_array_index(fleet->guarantees, struct cq_fleet_guarantee,
			      event->index)
			.count = (uint32_t)event->value;
		break;
	}
}

/*
 * Whether the platform terminates the job because its data centre is out and
 * the deadline passed more than 1 s ago.
 */
static bool is_terminated_with_dc(const struct sim *sim,
				  const struct sim_job *job)
{
	const struct cq_fleet_dc *dc = &g_array_index(
		sim->fleet->dcs, struct cq_fleet_dc,
		fleet_worker(sim->fleet, job->placements[0].worker)->dc);

	return dc->state == CQ_DC_OUT &&
	       sim->fleet->now_ns > dc->notice_deadline_ns + CQ_NS_PER_S;
}

static void advance_job(struct sim *sim, struct sim_job *job)
{
	int64_t now_ns = sim->fleet->now_ns;

	if (job->state != SIM_WAITING && job->state != SIM_RUNNING)
		return;
	if (job->cancel_ns <= now_ns) {
		finish_job(sim, job, SIM_CANCELLED);
		return;
	}
	if (job->state != SIM_RUNNING)
		return;
	if (job->checkpoint_done_ns <= now_ns)
		record_checkpoint(job, job->checkpoint_started_ns, now_ns);
	if (job->end_ns <= now_ns && job->end_ns <= job->stop_done_ns) {
		if (job->fails || has_faulty_worker(sim, job)) {
			observe_failure(sim, job);
			requeue_job(sim, job);
			return;
		}
		finish_job(sim, job, SIM_DONE);
		return;
	}
	if (job->stop_done_ns <= now_ns || is_terminated_with_dc(sim, job))
		requeue_job(sim, job);
	else if (sim->checkpoint_interval_ns && job->spec.can_checkpoint &&
		 now_ns - job->progress_from_ns > sim->checkpoint_interval_ns)
		record_checkpoint(job, now_ns, now_ns);
}

static void advance(struct sim *sim)
{
	int64_t now_ns = sim->fleet->now_ns;
	uint32_t kept = 0;
	uint32_t i;

	while (sim->next_event < sim->events->len) {
		const struct sim_event *event = &g_array_index(
			sim->events, struct sim_event, sim->next_event);

		if (event->at_ns > now_ns)
			break;
		apply_event(sim, event);
		sim->next_event++;
	}
	while (sim->next_job < sim->jobs->len &&
	       sim_job_at(sim, sim->next_job)->spec.submitted_ns <= now_ns) {
		sim_job_at(sim, sim->next_job)->state = SIM_WAITING;
		g_array_append_val(sim->active, sim->next_job);
		sim->next_job++;
	}
	for (i = 0; i < sim->active->len; i++)
		advance_job(sim, sim_job_of_snapshot(sim, i));
	for (i = 0; i < sim->active->len; i++) {
		struct sim_job *job = sim_job_of_snapshot(sim, i);

		if (job->state == SIM_WAITING || job->state == SIM_RUNNING)
			g_array_index(sim->active, uint32_t, kept++) =
				g_array_index(sim->active, uint32_t, i);
	}
	g_array_set_size(sim->active, kept);
}

static void start_job(struct sim *sim, struct sim_job *job,
		      const struct cq_action *action)
{
	int64_t now_ns = sim->fleet->now_ns;
	uint32_t i;

	memcpy(job->placements, action->placements,
	       job->spec.tasks * sizeof(*job->placements));
	for (i = 0; i < job->spec.tasks; i++)
		job->throttles[i] = 100;
	job->state = SIM_RUNNING;
	job->spec.state = CQ_JOB_RUNNING;
	job->spec.started_ns = now_ns;
	job->progress_from_ns = now_ns + COMMAND_DELAY_NS;
	if (job->starts++)
		job->progress_from_ns += job->spec.restart_cost_ns;
	job->end_ns =
		job->progress_from_ns + job->true_run_ns - job->spec.done_ns;
	if (job->fails || has_faulty_worker(sim, job))
		job->end_ns = job->progress_from_ns + FAILURE_DELAY_NS;
	if (job->first_start_ns < 0)
		job->first_start_ns = now_ns + COMMAND_DELAY_NS;
	job->eligible_since_ns = -1;
	sim->stats.starts++;
}

static void apply_action(struct sim *sim, const struct cq_action *action)
{
	int64_t now_ns = sim->fleet->now_ns;
	const struct cq_fleet_task *task;
	struct sim_job *job;

	if (action->kind == CQ_ACTION_PROBE)
		cq_planner_observe_probe(
			sim->planner,
			fleet_worker(sim->fleet, action->worker)->name,
			!sim->faulty_workers[action->worker], now_ns);
	if (action->job == CQ_FLEET_NONE)
		return;
	job = sim_job_of_snapshot(sim, action->job);
	switch (action->kind) {
	case CQ_ACTION_START:
		start_job(sim, job, action);
		break;
	case CQ_ACTION_CHECKPOINT:
		job->spec.stop_requested_ns = now_ns;
		job->spec.stop_deadline_ns = action->deadline_ns;
		job->spec.stop_reason = action->reason;
		job->spec.stop_for = CQ_FLEET_NONE;
		if (action->for_job != CQ_FLEET_NONE)
			job->spec.stop_for = g_array_index(
				sim->active, uint32_t, action->for_job);
		if (job->checkpoint_started_ns == NEVER_NS) {
			job->checkpoint_started_ns = now_ns;
			job->checkpoint_done_ns =
				now_ns + job->spec.checkpoint_cost_ns;
		}
		break;
	case CQ_ACTION_STOP:
		if (job->stop_done_ns != NEVER_NS)
			break;
		job->stop_done_ns = now_ns + COMMAND_DELAY_NS;
		if (action->reason == CQ_REASON_MEMORY_OVERRUN)
			job->memory_overrun = true;
		sim->stats.stops[action->reason]++;
		if (action->reason == CQ_REASON_GANG_MEMBER_LOST) {
			sim->stats.lost_gangs++;
		} else {
			sim->stats.evictions++;
			job->spec.evictions++;
		}
		break;
	case CQ_ACTION_THROTTLE:
		task = &g_array_index(sim->fleet->tasks, struct cq_fleet_task,
				      action->task);
		job->throttles[task->rank] = action->percent;
		break;
	case CQ_ACTION_REJECT:
		finish_job(sim, job, SIM_REJECTED);
		break;
	case CQ_ACTION_QUARANTINE:
	case CQ_ACTION_PROBE:
		break;
	}
}

static int64_t job_next_ns(const struct sim *sim, const struct sim_job *job)
{
	int64_t next_ns = job->cancel_ns;

	if (job->state != SIM_RUNNING)
		return next_ns;
	next_ns = MIN(next_ns, job->end_ns);
	next_ns = MIN(next_ns, job->checkpoint_done_ns);
	next_ns = MIN(next_ns, job->stop_done_ns);
	if (job->spec.stop_requested_ns)
		next_ns = MIN(next_ns, MAX(job->spec.stop_deadline_ns,
					   sim->fleet->now_ns + 1));
	return next_ns;
}

static int64_t next_event_ns(const struct sim *sim)
{
	int64_t next_ns = sim->active->len
				  ? sim->fleet->now_ns + MAX_PLAN_INTERVAL_NS
				  : NEVER_NS;
	uint32_t i;

	if (sim->next_job < sim->jobs->len)
		next_ns = MIN(next_ns,
			      sim_job_at((struct sim *)sim, sim->next_job)
				      ->spec.submitted_ns);
	if (sim->next_event < sim->events->len)
		next_ns = MIN(next_ns,
			      g_array_index(sim->events, struct sim_event,
					    sim->next_event)
				      .at_ns);
	for (i = 0; i < sim->active->len; i++)
		next_ns = MIN(next_ns,
			      job_next_ns(sim, sim_job_of_snapshot(
						       (struct sim *)sim, i)));
	return next_ns;
}

struct cq_plan *sim_plan_with_planner(void *ctx,
				      const struct cq_snapshot *snapshot)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_plan *plan = cq_planner_plan(ctx, snapshot, &err);

	if (!plan)
		g_error("planner returned no plan: %s", err.message);
	return plan;
}

static bool has_lost_member(const struct sim *sim, const struct sim_job *job)
{
	uint32_t i;

	for (i = 0; i < job->spec.tasks; i++)
		if (fleet_worker(sim->fleet, job->placements[i].worker)
			    ->state == CQ_WORKER_LOST)
			return true;
	return false;
}

static bool is_stopped(const struct cq_plan *plan, uint32_t job)
{
	uint32_t i;

	for (i = 0; i < plan->action_count; i++)
		if (plan->actions[i].kind == CQ_ACTION_STOP &&
		    plan->actions[i].job == job)
			return true;
	return false;
}

/* Counts gangs that a plan starts incomplete or leaves running incomplete. */
static void count_partial_gangs(struct sim *sim, const struct cq_plan *plan)
{
	uint32_t i;

	for (i = 0; i < plan->action_count; i++)
		if (plan->actions[i].kind == CQ_ACTION_START &&
		    plan->actions[i].placement_count !=
			    sim_job_of_snapshot(sim, plan->actions[i].job)
				    ->spec.tasks)
			sim->stats.partial_gangs++;
	for (i = 0; i < sim->active->len; i++) {
		const struct sim_job *job = sim_job_of_snapshot(sim, i);

		if (job->state == SIM_RUNNING &&
		    job->stop_done_ns == NEVER_NS &&
		    has_lost_member(sim, job) && !is_stopped(plan, i))
			sim->stats.partial_gangs++;
	}
}

static void record_reclaim_time(struct sim *sim, const struct cq_action *action)
{
	const struct sim_job *job = sim_job_of_snapshot(sim, action->job);
	int64_t took_ns =
		sim->fleet->now_ns + COMMAND_DELAY_NS - job->spec.submitted_ns;

	if (job->first_start_ns < 0 && action->reason == CQ_REASON_GUARANTEED &&
	    g_array_index(sim->fleet->classes, struct cq_fleet_class,
			  job->spec.class_index)
		    .urgent)
		g_array_append_val(sim->stats.reclaim_ns, took_ns);
}

bool sim_step(struct sim *sim)
{
	int64_t before_ns = sim->fleet->now_ns;
	struct cq_snapshot snapshot;
	struct cq_plan *plan;
	int64_t next_ns;
	uint32_t i;

	if (sim->stats.plans == 0)
		prepare(sim);
	next_ns = next_event_ns(sim);
	if (next_ns == NEVER_NS)
		return false;
	next_ns = (next_ns + PLAN_TICK_NS - 1) / PLAN_TICK_NS * PLAN_TICK_NS;
	next_ns =
		MAX(next_ns, before_ns + (sim->stats.plans ? PLAN_TICK_NS : 0));
	if (sim->measure)
		sim_measure_interval(sim, next_ns - before_ns);
	sim->fleet->now_ns = next_ns;
	advance(sim);
	sim_fill_snapshot(sim);
	snapshot = fleet_snapshot(sim->fleet);
	plan = sim->plan(sim->plan_ctx, &snapshot);
	sim->stats.plans++;
	if (sim->check)
		sim->check(sim->check_ctx, sim, &snapshot, plan);
	count_partial_gangs(sim, plan);
	for (i = 0; i < plan->action_count; i++) {
		if (plan->actions[i].kind == CQ_ACTION_START)
			record_reclaim_time(sim, &plan->actions[i]);
		apply_action(sim, &plan->actions[i]);
	}
	if (sim->measure)
		sim_measure_guarantees(sim, MISS_URGENT_NS, MISS_OTHER_NS);
	cq_plan_destroy(plan);
	return true;
}
