#include "leader_workers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/clock.h"

#define CALL_S 0.002

struct run {
	struct worker *worker;
	ev_timer timer;
	char task[CQ_TASK_NAME_BYTES];
	uint32_t number;
	uint64_t end_number; /* 0: it runs */
};

/* A call in flight; a heartbeat may wait for the end of a run. */
struct call {
	struct worker *worker;
	ev_timer timer;
	bool lists_runs;
	cq_executor_done_fn *done;
	void *ctx;
};

struct worker {
	struct leader_workers *workers;
	GPtrArray *running;   /* struct run */
	GPtrArray *ended;     /* struct run, in the order of their ends */
	struct call *waiting; /* heartbeat that waits for an end */
	uint64_t last_end;
};

struct leader_workers {
	struct cq_executor executor;
	struct ev_loop *loop;
	struct worker *items;
	uint32_t count;
	GHashTable *calls; /* set of struct call, owned */
	uint32_t starts;
	uint32_t ends;
};

static void on_call_due(struct ev_loop *loop, ev_timer *timer, int events);
static void on_run_due(struct ev_loop *loop, ev_timer *timer, int events);

static void run_free(void *data)
{
	struct run *run = data;

	ev_timer_stop(run->worker->workers->loop, &run->timer);
	g_free(run);
}

static void call_free(void *data)
{
	struct call *call = data;

	ev_timer_stop(call->worker->workers->loop, &call->timer);
	g_free(call);
}

static struct worker *find_worker(struct leader_workers *workers,
				  const char *id)
{
	return &workers->items[atoi(id + 1) % (int)workers->count];
}

static void set_timer(struct ev_loop *loop, ev_timer *timer, double after_s)
{
	ev_timer_stop(loop, timer);
	ev_timer_set(timer, after_s, 0.);
	ev_timer_start(loop, timer);
}

static struct call *add_call(struct worker *worker, double after_s,
			     cq_executor_done_fn *done, void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	call->worker = worker;
	call->done = done;
	call->ctx = ctx;
	ev_timer_init(&call->timer, on_call_due, 0., 0.);
	call->timer.data = call;
	g_hash_table_add(worker->workers->calls, call);
	set_timer(worker->workers->loop, &call->timer, after_s);
	return call;
}

static void list_runs(const struct worker *worker, GArray *running,
		      GArray *ended)
{
	guint i;

	for (i = 0; i < worker->running->len; i++) {
		const struct run *run = g_ptr_array_index(worker->running, i);
		const struct cq_executor_running row = {
			.task = run->task,
			.run = run->number,
			.checkpoint = "",
			.percent = 100,
		};

		g_array_append_val(running, row);
	}
	for (i = 0; i < worker->ended->len; i++) {
		const struct run *run = g_ptr_array_index(worker->ended, i);
		const struct cq_executor_ended row = {
			.number = run->end_number,
			.task = run->task,
			.run = run->number,
			.outcome = CQ_RUN_DONE,
			.checkpoint = "",
		};

		g_array_append_val(ended, row);
	}
}

static void on_call_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct call *call = timer->data;
	struct worker *worker = call->worker;
	GArray *running =
		g_array_new(FALSE, TRUE, sizeof(struct cq_executor_running));
	GArray *ended =
		g_array_new(FALSE, TRUE, sizeof(struct cq_executor_ended));
	struct cq_executor_report report = {
		.answer = CQ_EXECUTOR_OK,
		.clock_ms = cq_clock_now_ns(cq_clock_system()) / CQ_NS_PER_MS,
		.started_unix_ms = 1,
		.ended_whole = true,
		.message = "",
	};

	(void)loop;
	(void)events;
	if (call == worker->waiting)
		worker->waiting = NULL;
	g_hash_table_steal(worker->workers->calls, call);
	if (call->lists_runs)
		list_runs(worker, running, ended);
	report.running = (void *)running->data;
	report.running_count = running->len;
	report.ended = (void *)ended->data;
	report.ended_count = ended->len;
	call->done(call->ctx, &report);
	g_array_unref(running);
	g_array_unref(ended);
	call_free(call);
}

static void on_run_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct run *run = timer->data;
	struct worker *worker = run->worker;

	(void)loop;
	(void)events;
	run->end_number = ++worker->last_end;
	worker->workers->ends++;
	g_ptr_array_set_free_func(worker->running, NULL);
	g_ptr_array_remove_fast(worker->running, run);
	g_ptr_array_set_free_func(worker->running, run_free);
	g_ptr_array_add(worker->ended, run);
	if (worker->waiting)
		set_timer(worker->workers->loop, &worker->waiting->timer,
			  CALL_S);
}

static void start(void *self, const struct cq_executor_target *target,
		  const struct cq_executor_start *start, uint32_t timeout_ms,
		  cq_executor_done_fn *done, void *ctx)
{
	struct leader_workers *workers = self;
	struct worker *worker = find_worker(workers, target->id);
	struct run *run = g_new0(struct run, 1);

	(void)timeout_ms;
	run->worker = worker;
	run->number = start->run;
	g_strlcpy(run->task, start->task, sizeof(run->task));
	ev_timer_init(&run->timer, on_run_due, 0., 0.);
	run->timer.data = run;
	g_ptr_array_add(worker->running, run);
	set_timer(workers->loop, &run->timer,
		  atoi(start->spec) / (double)CQ_MS_PER_S);
	workers->starts++;
	add_call(worker, CALL_S, done, ctx);
}

static void stop(void *self, const struct cq_executor_target *target,
		 const char *task, uint32_t run, uint32_t timeout_ms,
		 cq_executor_done_fn *done, void *ctx)
{
	struct worker *worker = find_worker(self, target->id);
	guint i;

	(void)timeout_ms;
	for (i = 0; i < worker->running->len; i++) {
		struct run *at = g_ptr_array_index(worker->running, i);

		if (at->number != run || strcmp(at->task, task))
			continue;
		set_timer(worker->workers->loop, &at->timer, 0.);
		break;
	}
	add_call(worker, CALL_S, done, ctx);
}

static void heartbeat(void *self, const struct cq_executor_target *target,
		      const struct cq_executor_heartbeat *heartbeat,
		      uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx)
{
	struct worker *worker = find_worker(self, target->id);
	bool waits;
	struct call *call;
	guint acknowledged = 0;

	(void)timeout_ms;
	while (acknowledged < worker->ended->len &&
	       ((struct run *)g_ptr_array_index(worker->ended, acknowledged))
			       ->end_number <= heartbeat->acknowledged)
		acknowledged++;
	if (acknowledged)
		g_ptr_array_remove_range(worker->ended, 0, acknowledged);
	waits = heartbeat->wait_ms && !worker->ended->len;
	call = add_call(worker,
			waits ? heartbeat->wait_ms / (double)CQ_MS_PER_S
			      : CALL_S,
			done, ctx);
	call->lists_runs = true;
	if (waits)
		worker->waiting = call;
}

static void pace(void *self, const struct cq_executor_target *target,
		 const char *task, uint32_t run, uint32_t percent,
		 uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx)
{
	(void)task;
	(void)run;
	(void)percent;
	(void)timeout_ms;
	add_call(find_worker(self, target->id), CALL_S, done, ctx);
}

static const struct cq_executor_ops ops = {
	.start = start,
	.stop = stop,
	.heartbeat = heartbeat,
	.pace = pace,
};

struct leader_workers *leader_workers_create(struct ev_loop *loop,
					     uint32_t count)
{
	struct leader_workers *workers = g_new0(struct leader_workers, 1);
	uint32_t i;

	workers->executor.ops = &ops;
	workers->executor.self = workers;
	workers->loop = loop;
	workers->count = count;
	workers->items = g_new0(struct worker, count);
	workers->calls = g_hash_table_new_full(NULL, NULL, call_free, NULL);
	for (i = 0; i < count; i++) {
		struct worker *worker = &workers->items[i];

		worker->workers = workers;
		worker->running = g_ptr_array_new_with_free_func(run_free);
		worker->ended = g_ptr_array_new_with_free_func(run_free);
	}
	return workers;
}

void leader_workers_destroy(struct leader_workers *workers)
{
	uint32_t i;

	g_hash_table_destroy(workers->calls);
	for (i = 0; i < workers->count; i++) {
		g_ptr_array_unref(workers->items[i].running);
		g_ptr_array_unref(workers->items[i].ended);
	}
	g_free(workers->items);
	g_free(workers);
}

const struct cq_executor *leader_workers_get(struct leader_workers *workers)
{
	return &workers->executor;
}

uint32_t leader_workers_starts(const struct leader_workers *workers)
{
	return workers->starts;
}

uint32_t leader_workers_ends(const struct leader_workers *workers)
{
	return workers->ends;
}
