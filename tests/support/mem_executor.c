#include <string.h>

#include "mem_executor_internal.h"

/* Between the reading of a stale hold's lists and its answer. */
#define STALE_S 0.012
/* A worker that starts again answers nothing for so long. */
#define REBOOT_S 0.15

static void run_free(void *data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static void ended_free(void *data)
{
	struct ended *ended = data;

	g_free(ended->task);
	g_free(ended);
}

static void order_free(void *data)
{
	struct mem_order *late = data;

	g_free(late->worker);
	g_free(late->task);
	g_free(late);
}

static void worker_free(void *data)
{
	struct worker *w = data;

	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ended);
	g_hash_table_destroy(w->barred);
	g_free(w->id);
	g_free(w);
}

static void pending_free(void *data)
{
	struct pending *p = data;

	ev_timer_stop(p->m->loop, &p->timer);
	p->m->open_holds -= p->counted;
	mem_executor_free_lists(p);
	if (p->order)
		order_free(p->order);
	g_free(p->worker);
	g_free(p);
}

static struct mem_order *order_create(const struct cq_executor_target *target,
				      const char *task, uint32_t run, bool stop)
{
	struct mem_order *order = g_new0(struct mem_order, 1);

	order->worker = g_strdup(target->id);
	order->task = g_strdup(task);
	order->run = run;
	order->fence = target->fencing_token;
	order->stop = stop;
	return order;
}

struct task_count *mem_executor_count(struct mem_executor *m, const char *task)
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
	return w && !w->cut && ev_time() >= w->up_at_s;
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

static void wake_holds(struct mem_executor *m, const struct worker *w)
{
	guint i;

	for (i = 0; i < m->pending->len; i++) {
		struct pending *p = g_ptr_array_index(m->pending, i);

		if (!p->lists || p->running || strcmp(p->worker, w->id))
			continue;
		ev_timer_stop(m->loop, &p->timer);
		ev_timer_set(&p->timer, 0., 0.);
		ev_timer_start(m->loop, &p->timer);
	}
}

void mem_executor_note_end(struct mem_executor *m, struct worker *w,
			   struct run *run, enum cq_run_end how)
{
	struct ended *ended = g_new0(struct ended, 1);

	wake_holds(m, w);
	ended->number = ++w->next_end;
	ended->task = g_strdup(run->task);
	ended->run = run->run;
	ended->how = how;
	ended->starts = mem_executor_count(m, run->task)->starts;
	if (how == CQ_RUN_DONE)
		mem_executor_count(m, run->task)->done++;
	g_ptr_array_add(w->ended, ended);
	g_hash_table_insert(w->barred, g_strdup(run->task),
			    GUINT_TO_POINTER(run->run));
	g_ptr_array_remove(w->runs, run);
}

static enum cq_executor_answer carry_out_start(struct mem_executor *m,
					       struct worker *w,
					       const char *task, uint32_t run,
					       int64_t fence)
{
	const struct run *present = find_run(w, task);
	struct worker *other = mem_executor_find_run(m, task);
	struct run *added;

	if (fence < w->fence)
		return CQ_EXECUTOR_FENCED;
	w->fence = fence;
	if (present && present->run == run)
		return CQ_EXECUTOR_OK;
	if (run <= GPOINTER_TO_UINT(g_hash_table_lookup(w->barred, task)))
		return CQ_EXECUTOR_OLD_RUN;
	if (other)
		g_string_append_printf(m->breaches,
				       "%s run %u started on %s while it runs "
				       "on %s\n",
				       task, run, w->id, other->id);
	if (g_hash_table_contains(m->acknowledged, task))
		g_string_append_printf(m->breaches,
				       "%s run %u started after an end done "
				       "was acknowledged\n",
				       task, run);
	if (w->is_barred)
		g_string_append_printf(m->breaches,
				       "%s run %u started on %s, which "
				       "everybody knows to be leaving\n",
				       task, run, w->id);
	added = g_new0(struct run, 1);
	added->task = g_strdup(task);
	added->run = run;
	added->since_s = ev_time();
	g_ptr_array_add(w->runs, added);
	m->starts++;
	mem_executor_count(m, task)->starts++;
	return CQ_EXECUTOR_OK;
}

static enum cq_executor_answer carry_out_stop(struct mem_executor *m,
					      struct worker *w,
					      const char *task, uint32_t run,
					      int64_t fence)
{
	struct run *present = find_run(w, task);

	if (fence < w->fence)
		return CQ_EXECUTOR_FENCED;
	w->fence = fence;
	if (present && present->run == run)
		mem_executor_note_end(m, w, present, CQ_RUN_STOPPED);
	else
		g_hash_table_insert(w->barred, g_strdup(task),
				    GUINT_TO_POINTER(run));
	return CQ_EXECUTOR_OK;
}

static enum cq_executor_answer carry_out(struct mem_executor *m,
					 const struct mem_order *order)
{
	struct worker *w = mem_executor_find(m, order->worker);

	if (!w || w->cut)
		return CQ_EXECUTOR_UNKNOWN;
	if (order->fence >= w->fence)
		w->lease_end_ms = MAX(w->lease_end_ms, order->lease_end_ms);
	if (order->stop)
		return carry_out_stop(m, w, order->task, order->run,
				      order->fence);
	return carry_out_start(m, w, order->task, order->run, order->fence);
}

/* An end "done" must not be taken over once the task was started again. */
static void check_acknowledged(struct mem_executor *m, const struct worker *w,
			       const struct ended *ended)
{
	if (!m->real_leases || ended->how != CQ_RUN_DONE || ended->lapsed ||
	    mem_executor_count(m, ended->task)->starts == ended->starts)
		return;
	g_string_append_printf(m->breaches,
			       "%s run %u on %s ended done, was started again, "
			       "and then that end was acknowledged\n",
			       ended->task, ended->run, w->id);
}

static void acknowledge(struct mem_executor *m, struct worker *w,
			uint64_t number)
{
	guint i;

	for (i = w->ended->len; i-- > 0;) {
		const struct ended *ended = g_ptr_array_index(w->ended, i);

		if (ended->number > number)
			continue;
		check_acknowledged(m, w, ended);
		if (ended->how == CQ_RUN_DONE && !ended->lapsed)
			g_hash_table_add(m->acknowledged,
					 g_strdup(ended->task));
		g_ptr_array_remove_index(w->ended, i);
	}
}

static void on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct pending *p = timer->data;
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
	/* Calls to a life that has ended are broken off. */
	if (w && p->born_ms && p->born_ms != w->born_ms) {
		report.answer = CQ_EXECUTOR_UNKNOWN;
		p->lost = true;
	}
	if (p->order && !p->lost)
		report.answer = carry_out(m, p->order);
	else if (p->order && report.answer != CQ_EXECUTOR_UNKNOWN)
		carry_out(m, p->order);
	if (p->lost)
		report.answer = CQ_EXECUTOR_UNKNOWN;
	if (w && w->cut && p->answer == CQ_EXECUTOR_OK)
		report.answer = CQ_EXECUTOR_UNKNOWN;
	if (report.answer <= CQ_EXECUTOR_INVALID && w) {
		report.clock_ms = mem_executor_clock_ms(m);
		report.started_unix_ms = w->born_ms;
	}
	if (p->lists && report.answer == CQ_EXECUTOR_OK && w) {
		if (!p->running)
			mem_executor_take_lists(p, w);
		report.running = (void *)p->running->data;
		report.running_count = p->running->len;
		report.ended = (void *)p->ended->data;
		report.ended_count = p->ended->len;
	}
	p->done(p->ctx, &report);
	pending_free(p);
}

static struct pending *answer(struct mem_executor *m, const char *worker,
			      enum cq_executor_answer value,
			      cq_executor_done_fn *done, void *ctx)
{
	struct pending *p = g_new0(struct pending, 1);

	p->m = m;
	p->answer = value;
	p->done = done;
	p->ctx = ctx;
	p->worker = g_strdup(worker);
	if (mem_executor_find(m, worker))
		p->born_ms = mem_executor_find(m, worker)->born_ms;
	ev_timer_init(&p->timer, on_due, 0., 0.);
	p->timer.data = p;
	ev_timer_start(m->loop, &p->timer);
	g_ptr_array_add(m->pending, p);
	return p;
}

static enum mem_executor_fault next_fault(struct mem_executor *m)
{
	if (m->fault_count <= 0)
		return MEM_EXECUTOR_FINE;
	m->fault_count--;
	return m->fault;
}

static void order(struct mem_executor *m,
		  const struct cq_executor_target *target, const char *task,
		  uint32_t run, int64_t lease_end_ms, bool stop,
		  cq_executor_done_fn *done, void *ctx)
{
	struct worker *w = mem_executor_find(m, target->id);
	enum mem_executor_fault fault = next_fault(m);
	struct pending *p;

	if (!is_up(w) || fault == MEM_EXECUTOR_NOT_SENT) {
		answer(m, target->id, CQ_EXECUTOR_NOT_SENT, done, ctx);
		return;
	}
	if (fault == MEM_EXECUTOR_VANISH || fault == MEM_EXECUTOR_LATE) {
		answer(m, target->id, CQ_EXECUTOR_UNKNOWN, done, ctx);
		if (fault == MEM_EXECUTOR_VANISH)
			return;
		g_ptr_array_add(m->late, order_create(target, task, run, stop));
		return;
	}
	p = answer(m, target->id, CQ_EXECUTOR_OK, done, ctx);
	p->order = order_create(target, task, run, stop);
	p->order->lease_end_ms = lease_end_ms;
	p->lost = fault == MEM_EXECUTOR_LOSE;
	if (!m->stale_holds)
		return;
	ev_timer_stop(m->loop, &p->timer);
	ev_timer_set(&p->timer, STALE_S / 2, 0.);
	ev_timer_start(m->loop, &p->timer);
}

void mem_executor_cut_timeout(struct mem_executor *m, double timeout_s)
{
	m->cut_timeout_s = timeout_s;
}

void mem_executor_run_late(struct mem_executor *m)
{
	guint i;

	for (i = 0; i < m->late->len; i++) {
		const struct mem_order *late = g_ptr_array_index(m->late, i);
		struct worker *w = mem_executor_find(m, late->worker);

		if (!w)
			continue;
		if (late->stop)
			carry_out_stop(m, w, late->task, late->run,
				       late->fence);
		else
			carry_out_start(m, w, late->task, late->run,
					late->fence);
	}
	g_ptr_array_set_size(m->late, 0);
}

static void mem_start(void *self, const struct cq_executor_target *target,
		      const struct cq_executor_start *start,
		      uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	order(self, target, start->task, start->run, start->lease_end_ms, false,
	      done, ctx);
}

static void mem_stop(void *self, const struct cq_executor_target *target,
		     const char *task, uint32_t run, uint32_t timeout_ms,
		     cq_executor_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	order(self, target, task, run, 0, true, done, ctx);
}

/* A hold with a wait completes when an end comes, or after the wait. */
static void mem_hold(void *self, const struct cq_executor_target *target,
		     const struct cq_executor_heartbeat *hold,
		     uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx)
{
	struct mem_executor *m = self;
	struct worker *w = mem_executor_find(m, target->id);
	struct pending *p;

	(void)timeout_ms;
	if (!is_up(w)) {
		p = answer(m, target->id, CQ_EXECUTOR_NOT_SENT, done, ctx);
		ev_timer_stop(m->loop, &p->timer);
		ev_timer_set(&p->timer, m->cut_timeout_s, 0.);
		ev_timer_start(m->loop, &p->timer);
		return;
	}
	if (target->fencing_token < w->fence) {
		answer(m, target->id, CQ_EXECUTOR_FENCED, done, ctx);
		return;
	}
	w->fence = target->fencing_token;
	w->lease_end_ms = MAX(w->lease_end_ms, hold->lease_end_ms);
	acknowledge(m, w, hold->acknowledged);
	p = answer(m, target->id, CQ_EXECUTOR_OK, done, ctx);
	p->lists = true;
	p->counted = !hold->wait_ms;
	m->open_holds += p->counted;
	m->most_holds = MAX(m->most_holds, m->open_holds);
	if (m->stale_holds)
		mem_executor_take_lists(p, w);
	if (!m->stale_holds && (!hold->wait_ms || w->ended->len))
		return;
	ev_timer_stop(m->loop, &p->timer);
	ev_timer_set(&p->timer,
		     m->stale_holds ? STALE_S : hold->wait_ms / 1000.0, 0.);
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
	answer(self, target->id, CQ_EXECUTOR_OK, done, ctx);
}

static const struct cq_executor_ops mem_ops = {
	.start = mem_start,
	.stop = mem_stop,
	.heartbeat = mem_hold,
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
	m->late = g_ptr_array_new_with_free_func(order_free);
	m->acknowledged =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->breaches = g_string_new("");
	m->clock_ms = 1000;
	return m;
}

void mem_executor_destroy(struct mem_executor *m)
{
	g_ptr_array_unref(m->pending);
	g_ptr_array_unref(m->late);
	g_hash_table_destroy(m->workers);
	g_hash_table_destroy(m->acknowledged);
	g_hash_table_destroy(m->counts);
	g_string_free(m->breaches, TRUE);
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

static void start_life(struct worker *w)
{
	w->runs = g_ptr_array_new_with_free_func(run_free);
	w->ended = g_ptr_array_new_with_free_func(ended_free);
	w->barred =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->next_end = 0;
	w->lease_end_ms = 0;
	w->fence = 0;
	w->born_ms++;
}

void mem_executor_add(struct mem_executor *m, const char *id)
{
	struct worker *w = g_new0(struct worker, 1);

	w->id = g_strdup(id);
	w->born_ms = 1000;
	start_life(w);
	g_hash_table_insert(m->workers, w->id, w);
}

void mem_executor_reboot(struct mem_executor *m, const char *id)
{
	struct worker *w = mem_executor_find(m, id);

	g_ptr_array_unref(w->runs);
	g_ptr_array_unref(w->ended);
	g_hash_table_destroy(w->barred);
	start_life(w);
	w->up_at_s = ev_time() + REBOOT_S;
}

void mem_executor_stale_holds(struct mem_executor *m, bool stale)
{
	m->stale_holds = stale;
}

void mem_executor_fail_orders(struct mem_executor *m,
			      enum mem_executor_fault fault, int count)
{
	m->fault = fault;
	m->fault_count = count;
}

void mem_executor_cut(struct mem_executor *m, const char *id, bool cut)
{
	mem_executor_find(m, id)->cut = cut;
}

bool mem_executor_end(struct mem_executor *m, const char *task,
		      enum cq_run_end how)
{
	struct worker *w = mem_executor_find_run(m, task);

	if (!w)
		return false;
	mem_executor_note_end(m, w, find_run(w, task), how);
	return true;
}
