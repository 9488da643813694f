/* Starts, stops and paces of single runs. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "coordination/dispatcher_internal.h"

#define ORDER_TIMEOUT_MS 600
#define ORDER_TIMEOUT_NS (ORDER_TIMEOUT_MS * CQ_NS_PER_MS)
/* Between repeats of an order that got no answer. */
#define REPEAT_NS (INT64_C(200) * CQ_NS_PER_MS)
/* A stop that was answered, but whose end is not listed. */
#define REPEAT_STOP_NS (INT64_C(1500) * CQ_NS_PER_MS)
/* No runs for a worker that refused one. */
#define REFUSED_AVOID_NS (INT64_C(1) * CQ_NS_PER_S)
#define UNHEALTHY_AVOID_NS (INT64_C(3) * CQ_NS_PER_S)

/* The task is looked up again when the order ends. */
struct order_call {
	struct cq_dispatcher *d;
	char worker[CQ_EXECUTOR_NAME_BYTES];
	char task[CQ_TASK_NAME_BYTES];
	uint32_t run;
};

static struct order_call *call_create(struct cq_dispatcher *d,
				      const char *worker, const char *task,
				      uint32_t run);
static struct cq_task *find_ordered(const struct order_call *call);
static void note_answer(const struct order_call *call,
			const struct cq_executor_report *report);
static struct cq_task *end_call(struct order_call *call, const char *order,
				const struct cq_executor_report *report);
static void on_start(void *ctx, const struct cq_executor_report *report);
static void start_refused(struct cq_dispatcher *d, struct cq_task *task,
			  enum cq_executor_answer answer);
static void on_stop(void *ctx, const struct cq_executor_report *report);
static void on_stray_stop(void *ctx, const struct cq_executor_report *report);
static void on_pace(void *ctx, const struct cq_executor_report *report);
static void send_stop(struct cq_dispatcher *d, struct cq_task *task);
static bool may_start(const struct cq_dispatcher *d,
		      const struct cq_task *task);

static struct order_call *call_create(struct cq_dispatcher *d,
				      const char *worker, const char *task,
				      uint32_t run)
{
	struct order_call *call = g_new0(struct order_call, 1);

	call->d = d;
	call->run = run;
	g_strlcpy(call->worker, worker, sizeof(call->worker));
	g_strlcpy(call->task, task, sizeof(call->task));
	return call;
}

static struct cq_task *find_ordered(const struct order_call *call)
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

static void note_answer(const struct order_call *call,
			const struct cq_executor_report *report)
{
	struct cq_pool_worker *worker =
		cq_pool_find(call->d->pool, call->worker);

	if (worker && worker->link && report->clock_ms >= 0)
		link_note_answer(worker->link, report->clock_ms);
}

/* The task that the order was for; NULL if it has another run by now. */
static struct cq_task *end_call(struct order_call *call, const char *order,
				const struct cq_executor_report *report)
{
	struct cq_dispatcher *d = call->d;
	struct cq_task *task = find_ordered(call);

	note_answer(call, report);
	if (report->answer != CQ_EXECUTOR_OK)
		cq_log_event(CQ_LOG_INFO, "order_answered",
			     "{s:s,s:s,s:i,s:s,s:s,s:s}", "order", order,
			     "task", call->task, "run", (int)call->run,
			     "worker", call->worker, "answer",
			     cq_executor_answer_string(report->answer), "error",
			     report->message);
	g_free(call);
	if (report->answer != CQ_EXECUTOR_FENCED)
		return task;
	d->ops->superseded(d->ctx);
	return NULL;
}

void order_start(struct cq_dispatcher *d, struct cq_task *task)
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
	task->phase = CQ_RUN_START_SENT;
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
	d->executor->ops->start(
		d->executor->self, &target, &start, ORDER_TIMEOUT_MS, on_start,
		call_create(d, task->worker->listing.id, name, task->run));
}

static void start_refused(struct cq_dispatcher *d, struct cq_task *task,
			  enum cq_executor_answer answer)
{
	int64_t now_ns = dispatcher_now_ns(d);
	int64_t avoid_ns = answer == CQ_EXECUTOR_UNHEALTHY ? UNHEALTHY_AVOID_NS
							   : REFUSED_AVOID_NS;

	task->worker->avoid_until_ns =
		MAX(task->worker->avoid_until_ns, now_ns + avoid_ns);
	/* An earlier try of the same run may still be executed. */
	if (task->start_unanswered)
		order_stop(d, task, "the start was refused");
	else
		dispatcher_end_run(d, task, CQ_RUN_LOST, NULL);
}

static void on_start(void *ctx, const struct cq_executor_report *report)
{
	struct order_call *call = ctx;
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
		/* It has ended there; the worker lists the end. */
		task->phase = CQ_RUN_CONFIRMED;
		task->confirmed_ns = dispatcher_now_ns(d);
		break;
	case CQ_EXECUTOR_LATE:
		break; /* repeated with a later lease end */
	case CQ_EXECUTOR_UNKNOWN:
		task->start_unanswered = true;
		break;
	case CQ_EXECUTOR_NOT_SENT:
	case CQ_EXECUTOR_NO_ROOM:
	case CQ_EXECUTOR_NO_TICKET:
	case CQ_EXECUTOR_UNHEALTHY:
	case CQ_EXECUTOR_INVALID:
	case CQ_EXECUTOR_OTHER_LIFE:
		start_refused(d, task, report->answer);
		break;
	case CQ_EXECUTOR_FENCED:
		break;
	}
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
			       ORDER_TIMEOUT_MS, on_stop,
			       call_create(d, task->worker->listing.id, name,
					   task->run));
}

void order_stop(struct cq_dispatcher *d, struct cq_task *task,
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
	if (d->ops->may_command(d->ctx) && task->worker->listing.address[0])
		send_stop(d, task);
}

static void on_stop(void *ctx, const struct cq_executor_report *report)
{
	struct order_call *call = ctx;
	struct cq_dispatcher *d = call->d;
	struct cq_task *task = end_call(call, "stop", report);

	if (!task)
		return;
	task->stop_in_flight = false;
	if (report->answer != CQ_EXECUTOR_OK &&
	    report->answer != CQ_EXECUTOR_OLD_RUN)
		return;
	/* The first answer counts: the run cannot start after it. */
	if (!task->stop_answered)
		task->stop_answered_ns = dispatcher_now_ns(d);
	task->stop_answered = true;
	link_tick(task->worker->link, dispatcher_now_ns(d));
}

static void on_stray_stop(void *ctx, const struct cq_executor_report *report)
{
	struct order_call *call = ctx;

	note_answer(call, report);
	cq_log_event(CQ_LOG_INFO, "stray_run_stopped", "{s:s,s:i,s:s,s:s}",
		     "task", call->task, "run", (int)call->run, "worker",
		     call->worker, "answer",
		     cq_executor_answer_string(report->answer));
	g_free(call);
}

void order_stop_stray(struct cq_dispatcher *d, struct link *link,
		      const char *task, uint32_t run)
{
	struct cq_executor_target target = link_target(link);

	d->executor->ops->stop(d->executor->self, &target, task, run,
			       ORDER_TIMEOUT_MS, on_stray_stop,
			       call_create(d, link->worker->listing.id, task,
					   run));
}

static void on_pace(void *ctx, const struct cq_executor_report *report)
{
	struct order_call *call = ctx;
	struct cq_task *task = find_ordered(call);

	note_answer(call, report);
	/* The next report of the worker's load tries again. */
	if (report->answer != CQ_EXECUTOR_OK && task)
		task->pace_percent = 100;
	g_free(call);
}

void order_pace(struct cq_dispatcher *d, struct cq_task *task, uint32_t percent)
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
			       percent, ORDER_TIMEOUT_MS, on_pace,
			       call_create(d, task->worker->listing.id, name,
					   task->run));
}

void order_repeat(struct cq_dispatcher *d, struct cq_task *task, int64_t now_ns)
{
	struct link *link = task->worker->link;

	if (!d->ops->may_command(d->ctx) || !task->worker->listing.address[0] ||
	    !link->fenced)
		return;
	if (task->stopping) {
		int64_t interval_ns = task->stop_answered ? REPEAT_STOP_NS
							  : REPEAT_NS;

		if (!task->stop_in_flight &&
		    now_ns - task->stop_sent_ns > interval_ns)
			send_stop(d, task);
		return;
	}
	if (task->phase != CQ_RUN_START_SENT || task->start_in_flight ||
	    now_ns - task->start_sent_ns <= REPEAT_NS)
		return;
	if (may_start(d, task))
		order_start(d, task);
	else if (link->held_ns > task->start_sent_ns + ORDER_TIMEOUT_NS)
		order_stop(d, task, "the worker takes no starts any more");
}

static bool may_start(const struct cq_dispatcher *d, const struct cq_task *task)
{
	const struct cq_pool_worker *worker = task->worker;

	return worker->usable && worker->listed &&
	       worker->listing.state == CQ_LISTING_READY &&
	       !(d->evacuated &&
		 g_hash_table_contains(d->evacuated,
				       worker->listing.data_centre));
}

static bool stage_may_start(const struct cq_dispatcher *d,
			    const struct cq_stage *stage)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		if (stage->tasks[i].phase == CQ_RUN_RECORDING &&
		    !may_start(d, &stage->tasks[i]))
			return false;
	return true;
}

void order_recorded(struct cq_dispatcher *d, struct cq_batch *batch)
{
	bool allowed = d->ops->may_command(d->ctx) &&
		       !cq_batch_state_is_terminal(batch->state);
	uint32_t i, k;

	for (i = 0; i < batch->stage_count; i++) {
		struct cq_stage *stage = &batch->stages[i];
		bool whole = !stage->step->gang || stage_may_start(d, stage);

		if (!stage->active_count)
			continue;
		for (k = 0; k < stage->step->tasks; k++) {
			struct cq_task *task = &stage->tasks[k];

			if (task->phase != CQ_RUN_RECORDING ||
			    task->recorded_version > batch->durable_version)
				continue;
			if (allowed && whole && may_start(d, task))
				order_start(d, task);
			else
				dispatcher_end_run(d, task, CQ_RUN_LOST, NULL);
		}
	}
}
