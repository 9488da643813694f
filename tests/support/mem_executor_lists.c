/* Queries over the runs of the in-memory workers, for reports and tests. */
#include <string.h>

#include "mem_executor_internal.h"

static void read_running(struct pending_call *p, const struct worker *w,
			 const struct mem_executor_oddity *odd)
{
	guint i;

	p->running_unreadable = odd->no_running_list;
	for (i = 0; i < w->runs->len && !odd->no_running_list; i++) {
		const struct run *run = g_ptr_array_index(w->runs, i);
		struct cq_executor_running row = {
			.run = run->run,
			.checkpoint = "",
			.percent = 100,
		};

		if (!g_strcmp0(odd->run_task, run->task)) {
			p->running_unreadable = true;
			continue;
		}
		row.task = g_strdup(run->task);
		g_array_append_val(p->running, row);
	}
}

static void read_ended(struct pending_call *p, const struct worker *w,
		       const struct mem_executor_oddity *odd)
{
	guint limit = p->m->ends_per_answer ? p->m->ends_per_answer
					    : w->ended->len + 1;
	guint i;

	p->ended_unreadable = odd->no_ended_list;
	/* As the platform does, a list of exactly the limit is not known whole.
	 */
	p->ended_whole = w->ended->len < limit && !odd->no_ended_list;
	for (i = 0; i < w->ended->len && i < limit && !odd->no_ended_list;
	     i++) {
		const struct ended_run *end = g_ptr_array_index(w->ended, i);
		struct cq_executor_ended row = {
			.number = end->number,
			.run = end->run,
			.outcome = end->outcome,
			.checkpoint = "",
		};

		if (odd->end_row == i + 1 ||
		    !g_strcmp0(odd->end_task, end->task)) {
			p->ended_unreadable = true;
			continue;
		}
		if (!p->ended_unreadable)
			p->ended_in_order++;
		row.task = g_strdup(end->task);
		g_array_append_val(p->ended, row);
	}
}

/* Copies the current running and ended runs of the worker into the call. */
void mem_executor_read_lists(struct pending_call *p, const struct worker *w)
{
	struct mem_executor_oddity odd = { 0 };

	if (p->m->odd.answers) {
		odd = p->m->odd;
		p->m->odd.answers--;
	}
	p->running =
		g_array_new(FALSE, TRUE, sizeof(struct cq_executor_running));
	p->ended = g_array_new(FALSE, TRUE, sizeof(struct cq_executor_ended));
	read_running(p, w, &odd);
	read_ended(p, w, &odd);
	p->odd_rows = p->running_unreadable + p->ended_unreadable;
}

void mem_executor_free_lists(struct pending_call *p)
{
	guint i;

	if (!p->running)
		return;
	for (i = 0; i < p->running->len; i++)
		g_free((char *)g_array_index(p->running,
					     struct cq_executor_running, i)
			       .task);
	for (i = 0; i < p->ended->len; i++)
		g_free((char *)g_array_index(p->ended, struct cq_executor_ended,
					     i)
			       .task);
	g_array_unref(p->running);
	g_array_unref(p->ended);
}

uint32_t mem_executor_running(const struct mem_executor *m)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, m->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct worker *)value)->runs->len;
	return count;
}

const char *mem_executor_worker_of(const struct mem_executor *m,
				   const char *task)
{
	const struct worker *w = mem_executor_find_run(m, task);

	return w ? w->id : NULL;
}

uint32_t mem_executor_listed_ends(const struct mem_executor *m, const char *id)
{
	return mem_executor_find(m, id)->ended->len;
}

uint32_t mem_executor_starts(const struct mem_executor *m)
{
	return m->starts;
}

uint32_t mem_executor_max_heartbeats(const struct mem_executor *m)
{
	return m->max_heartbeats;
}

const char *mem_executor_violations(const struct mem_executor *m)
{
	return m->violations->str;
}

int64_t mem_executor_started_ms(const struct mem_executor *m, const char *id)
{
	return mem_executor_find(m, id)->started_ms;
}

void mem_executor_end_older(struct mem_executor *m, double age_s)
{
	double until_s = ev_time() - age_s;
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, m->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *w = value;

		for (i = w->runs->len; i-- > 0;) {
			struct run *run = g_ptr_array_index(w->runs, i);

			if (run->started_s <= until_s)
				mem_executor_record_end(m, w, run, CQ_RUN_DONE);
		}
	}
}

void mem_executor_end_all(struct mem_executor *m)
{
	mem_executor_end_older(m, 0);
}

void mem_executor_real_leases(struct mem_executor *m)
{
	m->real_leases = true;
}

void mem_executor_expire_due(struct mem_executor *m)
{
	int64_t now_ms = mem_executor_clock_ms(m);
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, m->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct worker *w = value;

		if (now_ms < w->lease_end_ms)
			continue;
		for (i = 0; i < w->ended->len; i++)
			((struct ended_run *)w->ended->pdata[i])
				->lease_expired = true;
		for (i = w->runs->len; i-- > 0;)
			mem_executor_record_end(m, w, w->runs->pdata[i],
						CQ_RUN_LEASE_EXPIRED);
	}
}

void mem_executor_forbid_starts(struct mem_executor *m, const char *id,
				bool barred)
{
	struct worker *w = mem_executor_find(m, id);

	if (w)
		w->starts_forbidden = barred;
}

void mem_executor_each_task(const struct mem_executor *m,
			    void (*fn)(void *ctx, const char *task,
				       uint32_t starts, uint32_t done),
			    void *ctx)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, m->counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct task_count *count = value;

		fn(ctx, key, count->starts, count->done);
	}
}

void mem_executor_set_oddity(struct mem_executor *m,
			     const struct mem_executor_oddity *odd)
{
	m->odd = *odd;
}

bool mem_executor_lose(struct mem_executor *m, const char *task)
{
	struct worker *w = mem_executor_find_run(m, task);
	guint i;

	if (!w)
		return false;
	for (i = 0; i < w->runs->len; i++)
		if (!strcmp(((struct run *)w->runs->pdata[i])->task, task))
			break;
	g_ptr_array_remove_index(w->runs, i);
	return true;
}

void mem_executor_restart_earlier(struct mem_executor *m, const char *id)
{
	mem_executor_restart(m, id);
	mem_executor_find(m, id)->started_ms -= 100;
}
