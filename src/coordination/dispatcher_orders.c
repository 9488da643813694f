/* Commands to workers for single runs: start, stop and pace. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/text.h"
#include "coordination/dispatcher_internal.h"

#define COMMAND_TIMEOUT_MS 600
#define COMMAND_TIMEOUT_NS (COMMAND_TIMEOUT_MS * CQ_NS_PER_MS)
/* Interval between retries of a command that got no answer. */
#define UNANSWERED_RETRY_NS (INT64_C(200) * CQ_NS_PER_MS)
/* Retry interval of an answered stop whose run end is not reported yet. */
#define ANSWERED_STOP_RETRY_NS (INT64_C(1500) * CQ_NS_PER_MS)
/*
 * Stops and repeated starts that are sent in the course of a tick, and those of
 * them to one worker; the others follow in later ticks. A job of any size may
 * be cancelled, and the leader has to go on meanwhile.
 */
#define ORDERS_PER_TICK 512
#define ORDERS_PER_WORKER_TICK 128
/* How long a worker gets no new runs after it refused a start. */
#define REFUSED_AVOID_NS (INT64_C(1) * CQ_NS_PER_S)
/* The same after it refused a start because it is unhealthy. */
#define UNHEALTHY_AVOID_NS (INT64_C(3) * CQ_NS_PER_S)

/*
 * A command in flight. It holds names rather than pointers: the task is looked
 * up again when the answer arrives.
 */
struct command_call {
	struct cq_dispatcher *d;
	/* Of any length, see text.h: a stray run may have any name. */
	const char *worker;
	const char *task;
	uint32_t run;
};

static struct command_call *call_create(struct cq_dispatcher *d,
					const char *worker, const char *task,
					uint32_t run);
static void call_free(struct command_call *call);
static struct cq_task *find_commanded_task(const struct command_call *call);
static void note_worker_clock(const struct command_call *call,
			      const struct cq_executor_report *report);
static struct cq_task *end_call(struct command_call *call, const char *command,
				const struct cq_executor_report *report);
static void on_start(void *ctx, const struct cq_executor_report *report);
static void handle_refused_start(struct cq_dispatcher *d, struct cq_task *task,
				 enum cq_executor_answer answer);
static void on_stop(void *ctx, const struct cq_executor_report *report);
static void on_unknown_run_stopped(void *ctx,
				   const struct cq_executor_report *report);
static void on_pace(void *ctx, const struct cq_executor_report *report);
static bool take_order(struct cq_dispatcher *d, struct link *link);
static void send_stop(struct cq_dispatcher *d, struct cq_task *task);
static bool worker_accepts_start(const struct cq_dispatcher *d,
				 const struct cq_task *task);
static const char *stop_reason(const struct cq_task *task);

static struct command_call *call_create(struct cq_dispatcher *d,
					const char *worker, const char *task,
					uint32_t run)
{
	struct command_call *call = g_new0(struct command_call, 1);

	call->d = d;
	call->run = run;
	cq_text_set(&call->worker, worker);
	cq_text_set(&call->task, task);
	return call;
}

static void call_free(struct command_call *call)
{
	cq_text_clear(&call->worker);
	cq_text_clear(&call->task);
	g_free(call);
}

static struct cq_task *find_commanded_task(const struct command_call *call)
{
	char id[CQ_WORKLOAD_ID_BYTES];
	struct cq_batch *batch;
	struct cq_task *task;

	if (!cq_task_name_batch(call->task, id))
		return NULL;
	batch = g_hash_table_lookup(call->d->batches, id);
	task = batch ? cq_batch_find_task(batch, call->task) : NULL;
	if (!task || task->phase == CQ_RUN_NONE || task->run != call->run ||
	    strcmp(task->worker->listing.id, call->worker))
		return NULL;
	return task;
}

static void note_worker_clock(const struct command_call *call,
			      const struct cq_executor_report *report)
{
	struct cq_pool_worker *worker =
		cq_pool_find(call->d->pool, call->worker);

	if (worker && worker->link && report->clock_ms >= 0)
		link_note_answer(worker->link, report->clock_ms);
}

/*
 * Frees the call and returns its task. Returns NULL if that run is no longer
 * the task's current one, or if the worker has seen a later epoch.
 */
static struct cq_task *end_call(struct command_call *call, const char *command,
				const struct cq_executor_report *report)
{
	struct cq_dispatcher *d = call->d;
	struct cq_task *task = find_commanded_task(call);

	note_worker_clock(call, report);
	if (report->answer != CQ_EXECUTOR_OK)
		cq_log_event(CQ_LOG_INFO, "order_answered",
			     "{s:s,s:s,s:i,s:s,s:s,s:s}", "order", command,
			     "task", call->task, "run", (int)call->run,
			     "worker", call->worker, "answer",
			     cq_executor_answer_string(report->answer), "error",
			     report->message);
	call_free(call);
	if (report->answer != CQ_EXECUTOR_FENCED)
		return task;
	d->ops->superseded(d->ctx);
	return NULL;
}

void command_start(struct cq_dispatcher *d, struct cq_task *task)
{
	struct link *link = task->worker->link;
	struct cq_executor_target target = link_target(link);
	char name[CQ_TASK_NAME_BYTES];
	struct cq_executor_start start = {
		.task = name,
		.run = task->run,
		.spec = task->stage->batch->workload->spec,
		.lease_end_ms = link_grant(link),
		.checkpoint = cq_task_resume_point(task),
	};

	cq_task_name(task, name);
	cq_task_start_sent(task);
	task->start_in_flight = true;
	task->start_sent_ns = dispatcher_now_ns(d);
	cq_counter_add(d->starts, 1);
	cq_log_event(CQ_LOG_INFO, "start_ordered",
		     "{s:s,s:s,s:i,s:s,s:I,s:s,s:b}", "id",
		     task->stage->batch->workload->id, "task", name, "run",
		     (int)task->run, "worker", task->worker->listing.id,
		     "fence", (json_int_t)d->epoch, "checkpoint",
		     start.checkpoint ? start.checkpoint : "", "repeat",
		     task->start_unanswered);
	d->executor->ops->start(d->executor->self, &target, &start,
				COMMAND_TIMEOUT_MS, on_start,
				call_create(d, task->worker->listing.id, name,
					    task->run));
}

static void handle_refused_start(struct cq_dispatcher *d, struct cq_task *task,
				 enum cq_executor_answer answer)
{
	int64_t now_ns = dispatcher_now_ns(d);
	int64_t avoid_ns = answer == CQ_EXECUTOR_UNHEALTHY ? UNHEALTHY_AVOID_NS
							   : REFUSED_AVOID_NS;

	task->worker->avoid_until_ns =
		MAX(task->worker->avoid_until_ns, now_ns + avoid_ns);
	/* An earlier start of the same run may still be executed. */
	if (task->start_unanswered)
		command_stop(d, task, "the start was refused");
	else
		dispatcher_end_run(d, task, CQ_RUN_LOST, NULL);
}

static void on_start(void *ctx, const struct cq_executor_report *report)
{
	struct command_call *call = ctx;
	struct cq_dispatcher *d = call->d;
	struct cq_task *task = end_call(call, "start", report);

	if (!task)
		return;
	task->start_in_flight = false;
	switch (report->answer) {
	case CQ_EXECUTOR_OK:
		task->phase = CQ_RUN_CONFIRMED;
		task->confirmed_ns = dispatcher_now_ns(d);
		if (!task->started_ns)
			task->started_ns = task->confirmed_ns;
		link_tick(task->worker->link, dispatcher_now_ns(d));
		break;
	case CQ_EXECUTOR_OLD_RUN:
		/* The run has ended; the worker reports the end. */
		task->phase = CQ_RUN_CONFIRMED;
		task->confirmed_ns = dispatcher_now_ns(d);
		break;
	case CQ_EXECUTOR_LEASE_EXPIRED:
		break; /* retried with a later lease end */
	case CQ_EXECUTOR_UNKNOWN:
		task->start_unanswered = true;
		break;
	case CQ_EXECUTOR_NOT_SENT:
	case CQ_EXECUTOR_NO_CAPACITY:
	case CQ_EXECUTOR_INVALID_TICKET:
	case CQ_EXECUTOR_UNHEALTHY:
	case CQ_EXECUTOR_INVALID:
	case CQ_EXECUTOR_OTHER_INCARNATION:
		handle_refused_start(d, task, report->answer);
		break;
	case CQ_EXECUTOR_FENCED:
		break;
	}
}

void command_allow_orders(struct cq_dispatcher *d)
{
	GHashTableIter iter;
	gpointer value;

	d->orders_left = ORDERS_PER_TICK;
	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;
		struct link *link = worker->link;

		if (link)
			link->orders_left = ORDERS_PER_WORKER_TICK;
	}
}

static bool take_order(struct cq_dispatcher *d, struct link *link)
{
	if (!d->orders_left || !link->orders_left)
		return false;
	d->orders_left--;
	link->orders_left--;
	return true;
}

static void send_stop(struct cq_dispatcher *d, struct cq_task *task)
{
	struct cq_executor_target target = link_target(task->worker->link);
	char name[CQ_TASK_NAME_BYTES];

	cq_task_name(task, name);
	task->stop_in_flight = true;
	task->stop_sent_ns = dispatcher_now_ns(d);
	cq_counter_add(d->stops, 1);
	d->executor->ops->stop(d->executor->self, &target, name, task->run,
			       COMMAND_TIMEOUT_MS, on_stop,
			       call_create(d, task->worker->listing.id, name,
					   task->run));
}

void command_stop(struct cq_dispatcher *d, struct cq_task *task,
		  const char *reason)
{
	char name[CQ_TASK_NAME_BYTES];

	if (task->phase == CQ_RUN_NONE || task->stopping)
		return;
	cq_task_name(task, name);
	cq_log_event(CQ_LOG_INFO, "stop_ordered", "{s:s,s:s,s:i,s:s,s:s}", "id",
		     task->stage->batch->workload->id, "task", name, "run",
		     (int)task->run, "worker", task->worker->listing.id,
		     "reason", reason);
	if (task->phase == CQ_RUN_RECORDING) {
		dispatcher_end_run(d, task, CQ_RUN_LOST, NULL);
		return;
	}
	task->stopping = true;
	task->stop_sent_ns = 0;
	if (d->ops->may_command(d->ctx) && task->worker->listing.address[0] &&
	    take_order(d, task->worker->link))
		send_stop(d, task);
}

static void on_stop(void *ctx, const struct cq_executor_report *report)
{
	struct command_call *call = ctx;
	struct cq_dispatcher *d = call->d;
	struct cq_task *task = end_call(call, "stop", report);

	if (!task)
		return;
	task->stop_in_flight = false;
	if (report->answer != CQ_EXECUTOR_OK &&
	    report->answer != CQ_EXECUTOR_OLD_RUN)
		return;
	/* The run cannot start after the first answer to a stop. */
	if (!task->stop_answered)
		task->stop_answered_ns = dispatcher_now_ns(d);
	task->stop_answered = true;
	link_tick(task->worker->link, dispatcher_now_ns(d));
}

static void on_unknown_run_stopped(void *ctx,
				   const struct cq_executor_report *report)
{
	struct command_call *call = ctx;

	note_worker_clock(call, report);
	cq_log_event(CQ_LOG_INFO, "stray_run_stopped", "{s:s,s:i,s:s,s:s}",
		     "task", call->task, "run", (int)call->run, "worker",
		     call->worker, "answer",
		     cq_executor_answer_string(report->answer));
	call_free(call);
}

void command_stop_unknown(struct cq_dispatcher *d, struct link *link,
			  const char *task, uint32_t run)
{
	struct cq_executor_target target = link_target(link);

	d->executor->ops->stop(d->executor->self, &target, task, run,
			       COMMAND_TIMEOUT_MS, on_unknown_run_stopped,
			       call_create(d, link->worker->listing.id, task,
					   run));
}

static void on_pace(void *ctx, const struct cq_executor_report *report)
{
	struct command_call *call = ctx;
	struct cq_task *task = find_commanded_task(call);

	note_worker_clock(call, report);
	/* Makes the next heartbeat answer set the pace again. */
	if (report->answer != CQ_EXECUTOR_OK && task)
		task->pace_percent = 100;
	call_free(call);
}

void command_pace(struct cq_dispatcher *d, struct cq_task *task,
		  uint32_t percent)
{
	struct cq_executor_target target = link_target(task->worker->link);
	char name[CQ_TASK_NAME_BYTES];

	cq_task_name(task, name);
	cq_log_event(CQ_LOG_INFO, "pace_ordered", "{s:s,s:s,s:i,s:i}", "task",
		     name, "worker", task->worker->listing.id, "from",
		     (int)task->pace_percent, "to", (int)percent);
	task->pace_percent = percent;
	task->pace_changed_ns = dispatcher_now_ns(d);
	d->executor->ops->pace(d->executor->self, &target, name, task->run,
			       percent, COMMAND_TIMEOUT_MS, on_pace,
			       call_create(d, task->worker->listing.id, name,
					   task->run));
}

/*
 * Why the task's current run must not go on; NULL: it may. This depends on the
 * records only: a run that a former leader had to stop, and could not, looks
 * the same to its successor.
 */
static const char *stop_reason(const struct cq_task *task)
{
	const struct cq_stage *stage = task->stage;

	switch (stage->batch->state) {
	case CQ_BATCH_CANCELLED:
		return "the job was cancelled";
	case CQ_BATCH_FAILED:
		return "the job has ended";
	case CQ_BATCH_QUEUED:
	case CQ_BATCH_RUNNING:
	case CQ_BATCH_COMPLETED:
		break;
	}
	/* The other members of a gang that is done end on their own. */
	if (stage->step->gang && !cq_stage_done(stage) &&
	    stage->active_count < stage->step->tasks)
		return "a member of the gang ended";
	return NULL;
}

void command_stop_ended(struct cq_dispatcher *d, struct cq_task *task)
{
	const char *reason = stop_reason(task);

	/* command_start_recorded() decides about runs that are not sent yet. */
	if (reason && task->phase != CQ_RUN_RECORDING)
		command_stop(d, task, reason);
}

void command_retry(struct cq_dispatcher *d, struct cq_task *task,
		   int64_t now_ns)
{
	const struct link *link = task->worker->link;

	/* Nothing is due for a run that the worker has confirmed. */
	if (!task->stopping && task->phase != CQ_RUN_START_SENT)
		return;
	if (!d->ops->may_command(d->ctx) || !task->worker->listing.address[0] ||
	    !link->fenced)
		return;
	if (task->stopping) {
		int64_t interval_ns = task->stop_answered
					      ? ANSWERED_STOP_RETRY_NS
					      : UNANSWERED_RETRY_NS;

		if (!task->stop_in_flight &&
		    now_ns - task->stop_sent_ns > interval_ns &&
		    take_order(d, task->worker->link))
			send_stop(d, task);
		return;
	}
	if (task->phase != CQ_RUN_START_SENT || task->start_in_flight ||
	    now_ns - task->start_sent_ns <= UNANSWERED_RETRY_NS)
		return;
	if (worker_accepts_start(d, task)) {
		if (take_order(d, task->worker->link))
			command_start(d, task);
	} else if (link->heartbeat_answered_ns >
		   task->start_sent_ns + COMMAND_TIMEOUT_NS) {
		command_stop(d, task, "the worker no longer accepts starts");
	}
}

/*
 * Asked before a start is sent and before it is repeated: since the plan, the
 * worker may have come back as another kind, and the queue may have another
 * service. The room includes the task, which is booked.
 */
static bool worker_accepts_start(const struct cq_dispatcher *d,
				 const struct cq_task *task)
{
	const struct cq_pool_worker *worker = task->worker;
	const struct cq_workload_step *step = task->stage->step;
	const struct cq_queue *queue = dispatcher_queue(d, task->stage->batch);

	if (!queue || strcmp(worker->listing.service, queue->service) ||
	    !cq_pool_has_label(worker, step->required_label) ||
	    !cq_pool_fits(worker, step, 0))
		return false;
	return worker->usable && worker->listed &&
	       worker->listing.state == CQ_REGISTRATION_READY &&
	       !(d->evacuated &&
		 g_hash_table_contains(d->evacuated,
				       worker->listing.data_centre));
}

static bool workers_accept_stage(const struct cq_dispatcher *d,
				 const struct cq_stage *stage)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		if (stage->tasks[i].phase == CQ_RUN_RECORDING &&
		    !worker_accepts_start(d, &stage->tasks[i]))
			return false;
	return true;
}

void command_drop_recorded(struct cq_dispatcher *d, struct cq_batch *batch)
{
	uint64_t version = batch->version;
	uint32_t i, k;

	for (i = 0; i < cq_batch_stage_count(batch); i++) {
		struct cq_stage *stage = cq_batch_stage_at(batch, i);

		for (k = 0; stage->active_count && k < stage->step->tasks; k++)
			if (stage->tasks[k].phase == CQ_RUN_RECORDING)
				cq_task_unassign(&stage->tasks[k]);
	}
	if (batch->version != version)
		dispatcher_mark_dirty(d, batch);
}

void command_start_recorded(struct cq_dispatcher *d, struct cq_batch *batch)
{
	bool allowed = d->ops->may_command(d->ctx) &&
		       !cq_batch_state_is_terminal(batch->state);
	uint32_t i, k;

	for (i = 0; i < cq_batch_stage_count(batch); i++) {
		struct cq_stage *stage = cq_batch_stage_at(batch, i);
		bool whole = !stage->step->gang ||
			     workers_accept_stage(d, stage);

		if (!stage->active_count)
			continue;
		for (k = 0; k < stage->step->tasks; k++) {
			struct cq_task *task = &stage->tasks[k];

			if (task->phase != CQ_RUN_RECORDING ||
			    task->recorded_version > batch->durable_version)
				continue;
			if (allowed && whole && worker_accepts_start(d, task))
				command_start(d, task);
			else
				dispatcher_end_run(d, task, CQ_RUN_LOST, NULL);
		}
	}
}
