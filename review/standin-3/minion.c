/* A minion, as PROTOCOL.md describes it. It doesn't guard its capacity. */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define BEAT_MS 1500
#define START_UNIX_MS INT64_C(1700000000000)

static int64_t clock_ms(const struct minion *m)
{
	return world_now(m->world) - m->started_ms;
}

static json_t *answer(const struct minion *m)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_ms(m),
			 "born", (json_int_t)m->born_ms);
}

static void run_free(void *data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run->spec);
	g_free(run);
}

static struct run *find_run(const struct minion *m, const char *task,
			    int64_t number)
{
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		struct run *run = g_ptr_array_index(m->runs, i);

		if (run->number == number && !strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static json_t *lists(const struct minion *m)
{
	json_t *body = answer(m);
	json_t *rows = json_array();
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		const struct run *run = g_ptr_array_index(m->runs, i);

		json_array_append_new(rows, json_pack("[s,I,s,i,i]", run->task,
						      (json_int_t)run->number,
						      "", 100, 0));
	}
	json_object_set_new(body, "running", rows);
	json_object_set_new(body, "finished", json_deep_copy(m->finished));
	return body;
}

static void answer_holds(struct minion *m)
{
	while (m->waiting->len) {
		struct open_call *call =
			g_ptr_array_remove_index_fast(m->waiting, 0);

		if (call->exchange)
			respond(call->exchange, 200, lists(m));
		call_close(call);
	}
}

static void bar(struct minion *m, const char *task, int64_t number)
{
	gpointer last = g_hash_table_lookup(m->last_ended, task);

	g_hash_table_insert(
		m->last_ended, g_strdup(task),
		GINT_TO_POINTER(MAX(number, GPOINTER_TO_INT(last))));
}

static void end_run(struct minion *m, struct run *run, const char *how)
{
	world_note(m->world, "%s     run %s/%d ends %s", m->id, run->task,
		   (int)run->number, how);
	json_array_append_new(m->finished,
			      json_pack("[I,s,I,s,s]", (json_int_t)++m->ends,
					run->task, (json_int_t)run->number, how,
					""));
	bar(m, run->task, run->number);
	g_ptr_array_remove_fast(m->runs, run);
}

static void start(struct minion *m, struct cq_http_exchange *exchange,
		  const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	const char *spec = json_string_value(json_object_get(root, "spec"));
	int64_t number = json_integer_value(json_object_get(root, "run"));
	int64_t until = json_integer_value(json_object_get(root, "deadlineMs"));
	const char *reason = NULL;
	json_t *body = answer(m);
	struct run *run;

	until = MIN(until, clock_ms(m) + HOLD_MAX_MS);
	if (until <= clock_ms(m))
		reason = "late";
	else
		m->deadline_ms = MAX(m->deadline_ms, until);
	if (!reason && !find_run(m, task, number) &&
	    GPOINTER_TO_INT(g_hash_table_lookup(m->last_ended, task)) >= number)
		reason = "old";
	if (reason)
		json_object_set_new(body, "reason", json_string(reason));
	if (!reason && !find_run(m, task, number)) {
		run = g_new0(struct run, 1);
		run->task = g_strdup(task);
		run->spec = g_strdup(spec);
		run->number = number;
		run->began_ms = clock_ms(m);
		/* "ms=2000 ..." is a task of two seconds. */
		if (spec && g_str_has_prefix(spec, "ms="))
			run->lasts_ms = atoi(spec + 3);
		g_ptr_array_add(m->runs, run);
		world_note(m->world, "%s     run %s/%d starts (%s)", m->id,
			   task, (int)number, run->spec);
		if (m->world->started)
			m->world->started(m, run);
	}
	respond(exchange, reason ? 409 : 200, body);
}

static void stop(struct minion *m, struct cq_http_exchange *exchange,
		 const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	int64_t number = json_integer_value(json_object_get(root, "run"));
	struct run *run = find_run(m, task, number);

	if (!run)
		bar(m, task, number);
	else if (!run->stop_at_ms)
		run->stop_at_ms = clock_ms(m) + STOP_MS;
	respond(exchange, 200, answer(m));
}

static void on_hold_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct open_call *call = timer->data;

	(void)loop;
	(void)events;
	g_ptr_array_remove_fast(call->minion->waiting, call);
	if (call->exchange)
		respond(call->exchange, 200, lists(call->minion));
	call_close(call);
}

static void hold(struct minion *m, struct cq_http_exchange *exchange,
		 const json_t *root)
{
	int64_t seen = json_integer_value(json_object_get(root, "lastSeen"));
	int64_t until = json_integer_value(json_object_get(root, "deadlineMs"));
	int64_t wait = json_integer_value(json_object_get(root, "waitMs"));
	struct open_call *call;

	until = MIN(until, clock_ms(m) + HOLD_MAX_MS);
	m->deadline_ms = MAX(m->deadline_ms, until);
	while (json_array_size(m->finished) &&
	       json_integer_value(json_array_get(json_array_get(m->finished, 0),
						 0)) <= seen)
		json_array_remove(m->finished, 0);
	if (!wait || json_array_size(m->finished)) {
		respond(exchange, 200, lists(m));
		return;
	}
	call = call_open(m->world, exchange);
	call->minion = m;
	g_ptr_array_add(m->waiting, call);
	ev_timer_init(&call->timer, on_hold_timer,
		      (double)MIN(wait, 2000) / 1000., 0.);
	ev_timer_start(m->world->loop, &call->timer);
}

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct minion *m = ctx;
	const char *path = cq_http_exchange_path(exchange);
	const char *expected =
		cq_http_exchange_header(exchange, "X-Expect-Instance");
	json_t *root = read_body(exchange);
	int64_t fence =
		json_integer_value(json_object_get(root, "fencingToken"));

	if (expected && strcmp(expected, m->id)) {
		respond(exchange, 421, json_object());
	} else if (fence < m->fence) {
		json_t *body = answer(m);

		json_object_set_new(body, "reason", json_string("fence"));
		respond(exchange, 409, body);
	} else if (!strcmp(path, "/run-start") &&
		   world_now(m->world) < m->sick_until_ms) {
		world_note(m->world, "%s     refuses a start with 503", m->id);
		respond(exchange, 503, answer(m));
	} else {
		m->fence = fence;
		if (!strcmp(path, "/run-start"))
			start(m, exchange, root);
		else if (!strcmp(path, "/run-stop"))
			stop(m, exchange, root);
		else if (!strcmp(path, "/hold"))
			hold(m, exchange, root);
		else
			respond(exchange, 200, answer(m));
	}
	json_decref(root);
}

static void on_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct open_call *call = cq_http_exchange_user(exchange);

	(void)ctx;
	if (call)
		call->exchange = NULL;
}

static void register_self(struct minion *m)
{
	char *key = g_strdup_printf("servers/%s", m->id);
	char *address = g_strdup_printf("127.0.0.1:%u", m->port);
	char *rack = g_strdup_printf("r1-%d", m->index / 2 + 1);
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"service", SERVICE, "address", address, "zone", "zone-a",
		"version", "v1", "slots", 8, "state", "ready",
		"coldRemainingMs", 0, "capacity", "cpu", m->cpu, "memMb",
		m->memory_mb, "gpus", m->gpus, "labels", m->kind, rack,
		"clockMs", (json_int_t)clock_ms(m), "born",
		(json_int_t)m->born_ms, "seq", (json_int_t)++m->seq);
	char *text = json_dumps(entry, JSON_COMPACT);

	store_write(m->world, key, text);
	free(text);
	json_decref(entry);
	g_free(rack);
	g_free(address);
	g_free(key);
}

void minion_open(struct world *w, int cpu, int memory_mb, int gpus)
{
	static const struct cq_http_server_handler handler = { on_request,
							       on_aborted };
	struct minion *m = &w->minions[w->minion_count];

	m->world = w;
	m->index = w->minion_count++;
	m->cpu = cpu;
	m->memory_mb = memory_mb;
	m->gpus = gpus;
	m->kind = "a";
	g_snprintf(m->id, sizeof(m->id), "i-%d", m->index + 1);
	m->started_ms = world_now(w) - 60000;
	m->born_ms = START_UNIX_MS + m->index;
	m->runs = g_ptr_array_new_with_free_func(run_free);
	m->finished = json_array();
	m->last_ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->waiting = g_ptr_array_new();
	m->server = listen_at(w, &handler, m, &m->port);
	register_self(m);
	m->next_beat_ms = world_now(w) + BEAT_MS;
}

void minion_tick(struct minion *m)
{
	int64_t now = clock_ms(m);
	int64_t ends = m->ends;
	guint i;

	for (i = m->runs->len; i-- > 0;) {
		struct run *run = g_ptr_array_index(m->runs, i);

		if (now >= m->deadline_ms)
			end_run(m, run, "lapsed");
		else if (run->lasts_ms && now - run->began_ms >= run->lasts_ms)
			end_run(m, run, "done");
		else if (run->stop_at_ms && now >= run->stop_at_ms)
			end_run(m, run, "stopped");
	}
	if (m->ends > ends)
		answer_holds(m);
	if (world_now(m->world) < m->next_beat_ms)
		return;
	m->next_beat_ms += BEAT_MS;
	register_self(m);
}

void minion_close(struct minion *m)
{
	cq_http_server_destroy(m->server);
}

int minion_runs_of(const struct minion *m, const char *id)
{
	int count = 0;
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		const struct run *run = g_ptr_array_index(m->runs, i);

		count += g_str_has_prefix(run->task, id);
	}
	return count;
}
