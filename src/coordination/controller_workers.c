/* Commands to workers: those of gangs, throttles, probes, stray tasks. */
#include <inttypes.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_private.h"

/* An unknown task is told to stop again after this long. */
#define STRAY_STOP_NS (2 * CQ_NS_PER_S)
#define PROBE_PREFIX "probe-"
#define PROBE_MEMORY_BYTES (UINT64_C(64) << 20)

static bool gang_command(void *ctx, const struct cq_gang *gang, uint32_t rank,
			 enum cq_gang_command command);
static void on_command(void *ctx, enum cq_worker_answer answer,
		       const char *message);

const struct cq_gang_ops cq_controller_gang_ops = { gang_command };

struct cq_controller_command *
cq_controller_command_create(struct cq_controller *c, uint32_t worker,
			     int64_t now_ns)
{
	struct cq_controller_command *command =
		g_new0(struct cq_controller_command, 1);

	command->controller = c;
	command->epoch = c->epoch ? c->epoch : c->caretaker;
	command->sent_ns = now_ns;
	command->worker = worker;
	g_hash_table_add(c->commands, command);
	return command;
}

/* Whether a completion belongs to the present epoch. */
bool cq_controller_command_is_current(
	const struct cq_controller_command *command)
{
	const struct cq_controller *c = command->controller;

	return command->epoch == (c->epoch ? c->epoch : c->caretaker);
}

static bool may_command(struct cq_controller *c, int64_t now_ns)
{
	return c->epoch && c->commands_in_flight < c->options.max_commands &&
	       c->ops->may_command(c->ctx, now_ns);
}

static void send_start(struct cq_job *job, uint32_t rank, const char *task_id,
		       int64_t not_after_unix_ms,
		       struct cq_controller_command *command)
{
	struct cq_controller *c = job->controller;
	const struct cq_job_record *record = &job->record;
	const struct cq_job_place *place = &job->places[rank];
	char restore[CQ_JOB_TASK_ID_BYTES] = "";
	struct cq_worker_start start = {
		.task_id = task_id,
		.job_id = record->id,
		.attempt = record->attempt,
		.rank = rank,
		.gang_size = record->tasks,
		.workspace = record->workspace,
		.class_name = record->class_name,
		.epoch = c->epoch,
		.not_after_unix_ms = not_after_unix_ms,
		.lease_ms = c->options.held_lease_ms,
		.throttle_pct = 0,
		.cpu_millicores = record->cpu_millicores,
		.memory_bytes = record->memory_bytes,
		.accelerator_mask = place->accelerator_mask,
		.cell = place->cell,
		.restore_from = restore,
		.expected_ms = record->expected_ms,
	};

	if (record->restore_attempt)
		cq_job_task_id(record->id, record->restore_attempt, rank,
			       restore);
	c->worker.ops->start(
		c->worker.self,
		cq_fleet_state_node(c->fleet, place->worker)->address, &start,
		c->options.call_timeout_ms, on_command, command);
}

static bool gang_command(void *ctx, const struct cq_gang *gang, uint32_t rank,
			 enum cq_gang_command command)
{
	struct cq_job *job = ctx;
	struct cq_controller *c = job->controller;
	int64_t now_ns = cq_clock_now_ns(c->options.clock);
	uint32_t worker = job->places[rank].worker;
	struct cq_controller_command *call;
	int64_t not_after_unix_ms = 0;
	char id[CQ_JOB_TASK_ID_BYTES];
	const char *address;

	if (worker == UINT32_MAX || !may_command(c, now_ns))
		return false;
	/* The first release is what starts the work. */
	if ((command == CQ_GANG_START ||
	     (command == CQ_GANG_RELEASE && !cq_gang_released(gang))) &&
	    !c->ops->start_permit(c->ctx, now_ns, &not_after_unix_ms))
		return false;
	call = cq_controller_command_create(c, worker, now_ns);
	call->attempt = job->record.attempt;
	call->rank = rank;
	call->command = command;
	g_strlcpy(call->job_id, job->record.id, sizeof(call->job_id));
	c->commands_in_flight++;
	cq_controller_count(c, CQ_COUNT_COMMANDS);
	cq_job_task_id(job->record.id, job->record.attempt, rank, id);
	address = cq_fleet_state_node(c->fleet, worker)->address;
	switch (command) {
	case CQ_GANG_START:
		/* The lease of a start counts like a renewal. */
		cq_controller_lease_granted(
			c, cq_fleet_state_node(c->fleet, worker), now_ns);
		send_start(job, rank, id, not_after_unix_ms, call);
		break;
	case CQ_GANG_RELEASE:
		c->worker.ops->throttle(c->worker.self, address, id, c->epoch,
					100, c->options.call_timeout_ms,
					on_command, call);
		break;
	case CQ_GANG_CHECKPOINT:
		c->worker.ops->checkpoint(c->worker.self, address, id, c->epoch,
					  c->options.call_timeout_ms,
					  on_command, call);
		break;
	case CQ_GANG_STOP:
		c->worker.ops->stop(c->worker.self, address, id, c->epoch,
				    c->options.call_timeout_ms, on_command,
				    call);
		break;
	}
	return true;
}

static void on_command(void *ctx, enum cq_worker_answer answer,
		       const char *message)
{
	struct cq_controller_command *command = ctx;
	struct cq_controller *c = command->controller;
	int64_t now_ns = cq_clock_now_ns(c->options.clock);
	struct cq_job *job = g_hash_table_lookup(c->jobs, command->job_id);

	c->commands_in_flight--;
	if (answer != CQ_WORKER_ANSWER_OK)
		cq_log_event(
			CQ_LOG_WARN, "worker_command_failed",
			"{s:s,s:s,s:i,s:s,s:s,s:s}", "command",
			cq_gang_command_string(command->command), "job",
			command->job_id, "rank", (int)command->rank, "worker",
			cq_fleet_state_node(c->fleet, command->worker)->name,
			"answer", cq_worker_answer_string(answer), "message",
			message);
	if (cq_controller_command_is_current(command) && job && job->gang &&
	    job->places_attempt == command->attempt) {
		cq_gang_answered(job->gang, command->rank, command->command,
				 answer, now_ns);
		if (cq_gang_state(job->gang) != CQ_GANG_HOLDING)
			cq_gang_tick(job->gang, now_ns);
		cq_job_mark_dirty(job);
	}
	g_hash_table_remove(c->commands, command);
}

static void on_plain_command(void *ctx, enum cq_worker_answer answer,
			     const char *message)
{
	struct cq_controller_command *command = ctx;
	struct cq_controller *c = command->controller;

	(void)message;
	c->commands_in_flight--;
	if (command->probe && cq_controller_command_is_current(command) &&
	    answer != CQ_WORKER_ANSWER_OK) {
		const char *name =
			cq_fleet_state_node(c->fleet, command->worker)->name;

		g_hash_table_remove(c->probes, name);
		cq_planner_observe_probe(c->planner, name, false,
					 cq_clock_now_ns(c->options.clock));
	}
	g_hash_table_remove(c->commands, command);
}

void cq_controller_throttle(struct cq_controller *c, const char *task_id,
			    uint32_t worker, uint32_t percent, int64_t now_ns)
{
	if (!may_command(c, now_ns))
		return;
	c->commands_in_flight++;
	c->worker.ops->throttle(
		c->worker.self, cq_fleet_state_node(c->fleet, worker)->address,
		task_id, c->epoch, percent, c->options.call_timeout_ms,
		on_plain_command,
		cq_controller_command_create(c, worker, now_ns));
}

/* A probe is a small task of its own that has to finish. */
void cq_controller_probe(struct cq_controller *c, uint32_t worker,
			 int64_t now_ns)
{
	struct cq_fleet_node *node = cq_fleet_state_node(c->fleet, worker);
	struct cq_controller_command *command;
	char job_id[CQ_JOB_ID_BYTES];
	char task_id[CQ_JOB_TASK_ID_BYTES];
	struct cq_worker_start start = {
		.task_id = task_id,
		.job_id = job_id,
		.attempt = 1,
		.gang_size = 1,
		.workspace = "probe",
		.class_name = "probe",
		.epoch = c->epoch,
		.lease_ms = c->options.held_lease_ms,
		.throttle_pct = 100,
		.cpu_millicores = 100,
		.memory_bytes = PROBE_MEMORY_BYTES,
		.restore_from = "",
		.expected_ms = 100,
	};

	if (g_hash_table_contains(c->probes, node->name) || !node->reported ||
	    !may_command(c, now_ns) ||
	    !c->ops->start_permit(c->ctx, now_ns, &start.not_after_unix_ms))
		return;
	c->probe_number++;
	g_snprintf(job_id, sizeof(job_id), PROBE_PREFIX "%" PRId64 "-%u",
		   c->epoch, c->probe_number);
	cq_job_task_id(job_id, 1, 0, task_id);
	g_hash_table_insert(c->probes, g_strdup(node->name),
			    GUINT_TO_POINTER(c->probe_number));
	command = cq_controller_command_create(c, worker, now_ns);
	command->probe = true;
	c->commands_in_flight++;
	c->worker.ops->start(c->worker.self, node->address, &start,
			     c->options.call_timeout_ms, on_plain_command,
			     command);
}

static void probe_changed(struct cq_controller *c,
			  const struct cq_task_status *task, bool present)
{
	const char *name = cq_fleet_state_node(c->fleet, task->worker)->name;
	bool ended = !present || !cq_task_state_is_live(task->state);

	if (!ended || !g_hash_table_remove(c->probes, name))
		return;
	cq_planner_observe_probe(c->planner, name,
				 present && task->state == CQ_TASK_FINISHED,
				 cq_clock_now_ns(c->options.clock));
	c->plan_wanted = true;
}

/* Stops a task that belongs to no attempt under way. */
static void stop_stray(struct cq_controller *c, struct cq_task_status *task,
		       int64_t now_ns)
{
	if (!cq_task_state_is_live(task->state) ||
	    (task->stop_sent_ns &&
	     now_ns - task->stop_sent_ns < STRAY_STOP_NS) ||
	    !may_command(c, now_ns))
		return;
	cq_log_event(CQ_LOG_WARN, "stray_task_stopped", "{s:s}", "task",
		     task->id);
	task->stop_sent_ns = now_ns;
	cq_controller_count(c, CQ_COUNT_STRAYS);
	c->commands_in_flight++;
	c->worker.ops->stop(
		c->worker.self,
		cq_fleet_state_node(c->fleet, task->worker)->address, task->id,
		c->epoch, c->options.call_timeout_ms, on_plain_command,
		cq_controller_command_create(c, task->worker, now_ns));
}

/* Whether the task may belong to the present attempt of its job. */
static bool is_stray(struct cq_controller *c, const struct cq_task_status *task)
{
	const struct cq_job *job = g_hash_table_lookup(c->jobs, task->job_id);

	if (!job)
		return true;
	/* A newer attempt was written by an owner whose record comes later. */
	if (task->attempt > job->record.attempt || job->writing)
		return false;
	return task->attempt < job->record.attempt ||
	       (job->record.phase != CQ_PHASE_STARTING &&
		job->record.phase != CQ_PHASE_RUNNING);
}

void cq_controller_task_changed(void *ctx, const struct cq_task_status *task,
				bool present, int64_t sent_ns)
{
	struct cq_controller *c = ctx;
	struct cq_job *job = g_hash_table_lookup(c->jobs, task->job_id);
	struct cq_gang_report report = { present, task->state,
					 task->checkpoint_ms };

	if (!c->epoch)
		return;
	if (g_str_has_prefix(task->job_id, PROBE_PREFIX)) {
		probe_changed(c, task, present);
		return;
	}
	if (!job)
		return;
	if (job->gang && job->places_attempt == task->attempt &&
	    task->rank < cq_gang_size(job->gang)) {
		cq_gang_observed(job->gang, task->rank, &report, sent_ns,
				 cq_clock_now_ns(c->options.clock));
		cq_job_mark_dirty(job);
	}
	c->plan_wanted |= !present || !cq_task_state_is_live(task->state);
}

static bool visit_stray(void *ctx, struct cq_task_status *task)
{
	struct cq_controller *c = ctx;

	if (c->loaded && !g_str_has_prefix(task->job_id, PROBE_PREFIX) &&
	    is_stray(c, task))
		stop_stray(c, task, cq_clock_now_ns(c->options.clock));
	return true;
}

void cq_controller_stop_strays(struct cq_controller *c, uint32_t worker)
{
	cq_fleet_state_visit_worker(c->fleet, worker, visit_stray, c);
}
