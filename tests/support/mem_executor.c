#include <string.h>

#include "mem_executor_internal.h"

/* Delay between reading the runs for a stale heartbeat and its answer. */
#define STALE_ANSWER_DELAY_S 0.012
/* Time for which a restarting worker is unreachable. */
#define RESTART_S 0.15

static void run_free(void *data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static void ended_free(void *data)
{
	struct ended_run *ended = data;

	g_free(ended->task);
	g_free(ended);
}

static void command_free(void *data)
{
	struct mem_command *command = data;

	g_free(command->worker);
	g_free(command->task);
	g_free(command);
}

static void worker_free(void *data)
{
	struct worker *w = data;

	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ended);
	g_hash_table_destroy(w->highest_ended_run);
	g_free(w->id);
	g_free(w);
}

static void pending_free(void *data)
{
	struct pending_call *p = data;

	ev_timer_stop(p->m->loop, &p->timer);
	p->m->open_heartbeats -= p->counted_as_open;
	mem_executor_free_lists(p);
	if (p->command)
		command_free(p->command);
	g_free(p->worker);
	g_free(p);
}

static struct mem_command *
command_create(const struct cq_executor_target *target, const char *task,
	       uint32_t run, bool stop)
{
	struct mem_command *command = g_new0(struct mem_command, 1);

	command->worker = g_strdup(target->id);
	command->task = g_strdup(task);
	command->run = run;
	command->fencing_token = target->fencing_token;
	command->stop = stop;
	return command;
}

struct task_count *mem_executor_task_count(struct mem_executor *m,
					   const char *task)
{
	struct task_count *count = g_hash_table_lookup(m->counts, task);

	if (count)
		return count;
	count = g_new0(struct task_count, 1);
	g_hash_table_insert(m->counts, g_strdup(task), count);
	return count;
}

int64_t mem_executor_clock_ms(struct mem_executor *m)
{
	return m->real_leases ? g_get_monotonic_time() / 1000 : ++m->clock_ms;
}

struct worker *mem_executor_find(const struct mem_executor *m, const char *id)
{
	return g_hash_table_lookup(m->workers, id);
}

static bool is_up(const struct worker *w)
{
	return w && !w->unreachable && ev_time() >= w->ready_at_s;
}

static struct run *find_run(const struct worker *w, const char *task)
{
	guint i;

	for (i = 0; i < w->runs->len; i++) {
		struct run *run = g_ptr_array_index(w->runs, i);

		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

struct worker *mem_executor_find_run(const struct mem_executor *m,
				     const char *task)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (find_run(value, task))
			return value;
	return NULL;
}

/* Completes heartbeats that wait for the end of a run on the worker. */
static void complete_heartbeats(struct mem_executor *m, const struct worker *w)
{
	guint i;

	for (i = 0; i < m->pending->len; i++) {
		struct pending_call *p = g_ptr_array_index(m->pending, i);

		if (!p->is_heartbeat || p->running || strcmp(p->worker, w->id))
			continue;
		ev_timer_stop(m->loop, &p->timer);
		ev_timer_set(&p->timer, 0., 0.);
		ev_timer_start(m->loop, &p->timer);
	}
}

void mem_executor_record_end(struct mem_executor *m, struct worker *w,
			     struct run *run, enum cq_run_end outcome)
{
	struct ended_run *ended = g_new0(struct ended_run, 1);

	complete_heartbeats(m, w);
	ended->number = ++w->last_end_number;
	ended->task = g_strdup(run->task);
	ended->run = run->run;
	ended->outcome = outcome;
	ended->starts = mem_executor_task_count(m, run->task)->starts;
	if (outcome == CQ_RUN_DONE)
		mem_executor_task_count(m, run->task)->done++;
	g_ptr_array_add(w->ended, ended);
	g_hash_table_insert(w->highest_ended_run, g_strdup(run->task),
			    GUINT_TO_POINTER(run->run));
	g_ptr_array_remove(w->runs, run);
}

static enum cq_executor_answer execute_start(struct mem_executor *m,
					     struct worker *w, const char *task,
					     uint32_t run,
					     int64_t fencing_token)
{
	const struct run *present = find_run(w, task);
	struct worker *other = mem_executor_find_run(m, task);
	struct run *added;

	if (fencing_token < w->fencing_token)
		return CQ_EXECUTOR_FENCED;
	w->fencing_token = fencing_token;
	if (present && present->run == run)
		return CQ_EXECUTOR_OK;
	if (run <=
	    GPOINTER_TO_UINT(g_hash_table_lookup(w->highest_ended_run, task)))
		return CQ_EXECUTOR_OLD_RUN;
	if (other)
		g_string_append_printf(m->violations,
				       "%s run %u started on %s while it runs "
				       "on %s\n",
				       task, run, w->id, other->id);
	if (g_hash_table_contains(m->acknowledged, task))
		g_string_append_printf(
			m->violations,
			"%s run %u started after an end \"done\" "
			"was acknowledged\n",
			task, run);
	if (w->starts_forbidden)
		g_string_append_printf(m->violations,
				       "%s run %u started on %s, which "
				       "may not get new runs\n",
				       task, run, w->id);
	added = g_new0(struct run, 1);
	added->task = g_strdup(task);
	added->run = run;
	added->started_s = ev_time();
	g_ptr_array_add(w->runs, added);
	m->starts++;
	mem_executor_task_count(m, task)->starts++;
	return CQ_EXECUTOR_OK;
}

static enum cq_executor_answer execute_stop(struct mem_executor *m,
					    struct worker *w, const char *task,
					    uint32_t run, int64_t fencing_token)
{
	struct run *present = find_run(w, task);

	if (fencing_token < w->fencing_token)
		return CQ_EXECUTOR_FENCED;
	w->fencing_token = fencing_token;
	if (present && present->run == run)
		mem_executor_record_end(m, w, present, CQ_RUN_STOPPED);
	else
		g_hash_table_insert(w->highest_ended_run, g_strdup(task),
				    GUINT_TO_POINTER(run));
	return CQ_EXECUTOR_OK;
}

static enum cq_executor_answer
execute_command(struct mem_executor *m, const struct mem_command *command)
{
	struct worker *w = mem_executor_find(m, command->worker);

	if (!w || w->unreachable)
		return CQ_EXECUTOR_UNKNOWN;
	if (command->fencing_token >= w->fencing_token)
		w->lease_end_ms = MAX(w->lease_end_ms, command->lease_end_ms);
	if (command->stop)
		return execute_stop(m, w, command->task, command->run,
				    command->fencing_token);
	return execute_start(m, w, command->task, command->run,
			     command->fencing_token);
}

/*
 * Records a violation if an end "done" is acknowledged although the task was
 * started again after it.
 */
static void check_acknowledged(struct mem_executor *m, const struct worker *w,
			       const struct ended_run *ended)
{
	if (!m->real_leases || ended->outcome != CQ_RUN_DONE ||
	    ended->lease_expired ||
	    mem_executor_task_count(m, ended->task)->starts == ended->starts)
		return;
	g_string_append_printf(m->violations,
			       "%s run %u on %s ended \"done\", the task was "
			       "started again, "
			       "and then that end was acknowledged\n",
			       ended->task, ended->run, w->id);
}

static void acknowledge(struct mem_executor *m, struct worker *w,
			uint64_t number)
{
	guint i;

	for (i = w->ended->len; i-- > 0;) {
		const struct ended_run *ended = g_ptr_array_index(w->ended, i);

		if (ended->number > number)
			continue;
		check_acknowledged(m, w, ended);
		if (ended->outcome == CQ_RUN_DONE && !ended->lease_expired)
			g_hash_table_add(m->acknowledged,
					 g_strdup(ended->task));
		g_ptr_array_remove_index(w->ended, i);
	}
}

static void on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct pending_call *p = timer->data;
	struct mem_executor *m = p->m;
	struct worker *w = p->worker ? mem_executor_find(m, p->worker) : NULL;
	struct cq_executor_report report = {
		.answer = p->answer,
		.clock_ms = -1,
		.message = "",
	};

	(void)loop;
	(void)events;
	g_ptr_array_set_free_func(m->pending, NULL);
	g_ptr_array_remove_fast(m->pending, p);
	g_ptr_array_set_free_func(m->pending, pending_free);
	/* A restart of the worker breaks calls to its old incarnation. */
	if (w && p->worker_started_ms &&
	    p->worker_started_ms != w->started_ms) {
		report.answer = CQ_EXECUTOR_UNKNOWN;
		p->answer_dropped = true;
	}
	if (p->command && !p->answer_dropped)
		report.answer = execute_command(m, p->command);
	else if (p->command && report.answer != CQ_EXECUTOR_UNKNOWN)
		execute_command(m, p->command);
	if (p->answer_dropped)
		report.answer = CQ_EXECUTOR_UNKNOWN;
	if (w && w->unreachable && p->answer == CQ_EXECUTOR_OK)
		report.answer = CQ_EXECUTOR_UNKNOWN;
	if (report.answer <= CQ_EXECUTOR_INVALID && w) {
		report.clock_ms = mem_executor_clock_ms(m);
		report.started_unix_ms = w->started_ms;
	}
	if (p->is_heartbeat && report.answer == CQ_EXECUTOR_OK && w) {
		if (!p->running)
			mem_executor_read_lists(p, w);
		report.running = (void *)p->running->data;
		report.running_count = p->running->len;
		report.ended = (void *)p->ended->data;
		report.ended_count = p->ended->len;
		report.ended_whole = p->ended_whole;
		report.running_unreadable = p->running_unreadable;
		report.ended_unreadable = p->ended_unreadable;
		report.ended_in_order = p->ended_in_order;
		report.odd_rows = p->odd_rows;
		report.odd_row = "[]";
	}
	p->done(p->ctx, &report);
	pending_free(p);
}

static struct pending_call *schedule_answer(struct mem_executor *m,
					    const char *worker,
					    enum cq_executor_answer value,
					    cq_executor_done_fn *done,
					    void *ctx)
{
	struct pending_call *p = g_new0(struct pending_call, 1);

	p->m = m;
	p->answer = value;
	p->done = done;
	p->ctx = ctx;
	p->worker = g_strdup(worker);
	if (mem_executor_find(m, worker))
		p->worker_started_ms = mem_executor_find(m, worker)->started_ms;
	ev_timer_init(&p->timer, on_due, 0., 0.);
	p->timer.data = p;
	ev_timer_start(m->loop, &p->timer);
	g_ptr_array_add(m->pending, p);
	return p;
}

static enum mem_executor_fault next_fault(struct mem_executor *m)
{
	if (m->fault_count <= 0)
		return MEM_EXECUTOR_NO_FAULT;
	m->fault_count--;
	return m->fault;
}

static void send_command(struct mem_executor *m,
			 const struct cq_executor_target *target,
			 const char *task, uint32_t run, int64_t lease_end_ms,
			 bool stop, cq_executor_done_fn *done, void *ctx)
{
	struct worker *w = mem_executor_find(m, target->id);
	enum mem_executor_fault fault = next_fault(m);
	struct pending_call *p;

	if (!is_up(w) || fault == MEM_EXECUTOR_NOT_SENT) {
		schedule_answer(m, target->id, CQ_EXECUTOR_NOT_SENT, done, ctx);
		return;
	}
	if (fault == MEM_EXECUTOR_DROP_COMMAND ||
	    fault == MEM_EXECUTOR_DELAY_COMMAND) {
		schedule_answer(m, target->id, CQ_EXECUTOR_UNKNOWN, done, ctx);
		if (fault == MEM_EXECUTOR_DROP_COMMAND)
			return;
		g_ptr_array_add(m->delayed,
				command_create(target, task, run, stop));
		return;
	}
	p = schedule_answer(m, target->id, CQ_EXECUTOR_OK, done, ctx);
	p->command = command_create(target, task, run, stop);
	p->command->lease_end_ms = lease_end_ms;
	p->answer_dropped = fault == MEM_EXECUTOR_DROP_ANSWER;
	if (!m->stale_heartbeats)
		return;
	ev_timer_stop(m->loop, &p->timer);
	ev_timer_set(&p->timer, STALE_ANSWER_DELAY_S / 2, 0.);
	ev_timer_start(m->loop, &p->timer);
}

void mem_executor_set_unreachable_timeout(struct mem_executor *m,
					  double timeout_s)
{
	m->unreachable_timeout_s = timeout_s;
}

void mem_executor_run_delayed(struct mem_executor *m)
{
	guint i;

	for (i = 0; i < m->delayed->len; i++) {
		const struct mem_command *command =
			g_ptr_array_index(m->delayed, i);
		struct worker *w = mem_executor_find(m, command->worker);

		if (!w)
			continue;
		if (command->stop)
			execute_stop(m, w, command->task, command->run,
				     command->fencing_token);
		else
			execute_start(m, w, command->task, command->run,
				      command->fencing_token);
	}
	g_ptr_array_set_size(m->delayed, 0);
}

static void mem_start(void *self, const struct cq_executor_target *target,
		      const struct cq_executor_start *start,
		      uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	send_command(self, target, start->task, start->run, start->lease_end_ms,
		     false, done, ctx);
}

static void mem_stop(void *self, const struct cq_executor_target *target,
		     const char *task, uint32_t run, uint32_t timeout_ms,
		     cq_executor_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	send_command(self, target, task, run, 0, true, done, ctx);
}

/* A heartbeat with a wait completes when a run ends, or after the wait. */
static void mem_heartbeat(void *self, const struct cq_executor_target *target,
			  const struct cq_executor_heartbeat *heartbeat,
			  uint32_t timeout_ms, cq_executor_done_fn *done,
			  void *ctx)
{
	struct mem_executor *m = self;
	struct worker *w = mem_executor_find(m, target->id);
	struct pending_call *p;

	(void)timeout_ms;
	if (!is_up(w)) {
		p = schedule_answer(m, target->id, CQ_EXECUTOR_NOT_SENT, done,
				    ctx);
		ev_timer_stop(m->loop, &p->timer);
		ev_timer_set(&p->timer, m->unreachable_timeout_s, 0.);
		ev_timer_start(m->loop, &p->timer);
		return;
	}
	if (target->fencing_token < w->fencing_token) {
		schedule_answer(m, target->id, CQ_EXECUTOR_FENCED, done, ctx);
		return;
	}
	w->fencing_token = target->fencing_token;
	w->lease_end_ms = MAX(w->lease_end_ms, heartbeat->lease_end_ms);
	acknowledge(m, w, heartbeat->acknowledged);
	p = schedule_answer(m, target->id, CQ_EXECUTOR_OK, done, ctx);
	p->is_heartbeat = true;
	p->counted_as_open = !heartbeat->wait_ms;
	m->open_heartbeats += p->counted_as_open;
	m->max_heartbeats = MAX(m->max_heartbeats, m->open_heartbeats);
	if (m->stale_heartbeats)
		mem_executor_read_lists(p, w);
	if (!m->stale_heartbeats && (!heartbeat->wait_ms || w->ended->len))
		return;
	ev_timer_stop(m->loop, &p->timer);
	ev_timer_set(&p->timer,
		     m->stale_heartbeats ? STALE_ANSWER_DELAY_S
					 : heartbeat->wait_ms / 1000.0,
		     0.);
	ev_timer_start(m->loop, &p->timer);
}

static void mem_pace(void *self, const struct cq_executor_target *target,
		     const char *task, uint32_t run, uint32_t percent,
		     uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx)
{
	(void)task;
	(void)run;
	(void)percent;
	(void)timeout_ms;
	schedule_answer(self, target->id, CQ_EXECUTOR_OK, done, ctx);
}

static const struct cq_executor_ops mem_ops = {
	.start = mem_start,
	.stop = mem_stop,
	.heartbeat = mem_heartbeat,
	.pace = mem_pace,
};

struct mem_executor *mem_executor_create(struct ev_loop *loop)
{
	struct mem_executor *m = g_new0(struct mem_executor, 1);

	m->executor.ops = &mem_ops;
	m->executor.self = m;
	m->loop = loop;
	m->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   worker_free);
	m->pending = g_ptr_array_new_with_free_func(pending_free);
	m->delayed = g_ptr_array_new_with_free_func(command_free);
	m->acknowledged =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->violations = g_string_new("");
	m->clock_ms = 1000;
	return m;
}

void mem_executor_destroy(struct mem_executor *m)
{
	g_ptr_array_unref(m->pending);
	g_ptr_array_unref(m->delayed);
	g_hash_table_destroy(m->workers);
	g_hash_table_destroy(m->acknowledged);
	g_hash_table_destroy(m->counts);
	g_string_free(m->violations, TRUE);
	g_free(m);
}

void mem_executor_cancel(struct mem_executor *m)
{
	g_ptr_array_set_size(m->pending, 0);
}

const struct cq_executor *mem_executor_get(struct mem_executor *m)
{
	return &m->executor;
}

static void start_incarnation(struct worker *w)
{
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->ended = g_ptr_array_new_with_free_func(ended_free);
	w->highest_ended_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->last_end_number = 0;
	w->lease_end_ms = 0;
	w->fencing_token = 0;
	w->started_ms++;
}

void mem_executor_add(struct mem_executor *m, const char *id)
{
	struct worker *w = g_new0(struct worker, 1);

	w->id = g_strdup(id);
	w->started_ms = 1000;
	start_incarnation(w);
	g_hash_table_insert(m->workers, w->id, w);
}

void mem_executor_restart(struct mem_executor *m, const char *id)
{
	struct worker *w = mem_executor_find(m, id);

	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ended);
	g_hash_table_destroy(w->highest_ended_run);
	start_incarnation(w);
	w->ready_at_s = ev_time() + RESTART_S;
}

void mem_executor_stale_heartbeats(struct mem_executor *m, bool stale)
{
	m->stale_heartbeats = stale;
}

void mem_executor_set_ends_per_answer(struct mem_executor *m, uint32_t count)
{
	m->ends_per_answer = count;
}

void mem_executor_fail_commands(struct mem_executor *m,
				enum mem_executor_fault fault, int count)
{
	m->fault = fault;
	m->fault_count = count;
}

void mem_executor_set_unreachable(struct mem_executor *m, const char *id,
				  bool cut)
{
	mem_executor_find(m, id)->unreachable = cut;
}

bool mem_executor_end(struct mem_executor *m, const char *task,
		      enum cq_run_end how)
{
	struct worker *w = mem_executor_find_run(m, task);

	if (!w)
		return false;
	mem_executor_record_end(m, w, find_run(w, task), how);
	return true;
}
