/* Minions, as PROTOCOL.md describes them, with orders by "invocation". */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define TICK_S 0.01
#define BEAT_MS 1500
#define SERVICE "s"
#define ZONE "z0"
#define MINIONS_A_RACK 6

struct minion *minions[MAX_MINIONS];
int minion_count;
void (*on_start)(struct minion *m, const struct run *run);
void (*on_end)(struct minion *m, const struct end *end);
void (*on_noted)(struct minion *m, const struct end *end);

static ev_timer timer;

struct waiting {
	struct request *r;
	int64_t until_ms;
};

static int64_t clock_ms(const struct minion *m)
{
	return now_ms() - m->boot_ms;
}

static void run_free(void *data)
{
	struct run *run = data;

	g_free(run->spec);
	g_free(run);
}

struct run *minion_find(const struct minion *m, const char *task)
{
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		struct run *run = g_ptr_array_index(m->runs, i);

		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

int running_total(void)
{
	int total = 0;
	int i;

	for (i = 0; i < minion_count; i++)
		total += (int)minions[i]->runs->len;
	return total;
}

static int barred(const struct minion *m, const char *task)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(m->barred, task));
}

static void bar(struct minion *m, const char *task, int run)
{
	if (run > barred(m, task))
		g_hash_table_insert(m->barred, g_strdup(task),
				    GINT_TO_POINTER(run));
}

static void end_run(struct minion *m, struct run *run, const char *how)
{
	struct end *end = g_new0(struct end, 1);

	end->number = ++m->last_number;
	g_strlcpy(end->task, run->task, sizeof(end->task));
	end->run = run->run;
	end->how = how;
	bar(m, run->task, run->run);
	g_ptr_array_add(m->ends, end);
	g_ptr_array_remove(m->runs, run);
	note_quiet("%s: %s run %d ended %s", m->id, end->task, end->run, how);
	if (on_end)
		on_end(m, end);
}

static json_t *answer(const struct minion *m)
{
	return json_pack("{s:I,s:I}", "clockMs", (json_int_t)clock_ms(m),
			 "born", (json_int_t)m->born_ms);
}

static void refuse(const struct minion *m, struct request *r,
		   const char *reason)
{
	json_t *body = answer(m);

	json_object_set_new(body, "reason", json_string(reason));
	request_reply(r, 409, body);
}

static void reply_hold(struct minion *m, struct request *r)
{
	json_t *body = answer(m);
	json_t *running = json_array();
	json_t *finished = json_array();
	guint i;

	for (i = 0; i < m->runs->len; i++) {
		const struct run *run = g_ptr_array_index(m->runs, i);

		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]", run->task,
						run->run, "", 50, 100));
	}
	for (i = 0; i < m->ends->len && i < ENDS_PER_ANSWER; i++) {
		const struct end *end = g_ptr_array_index(m->ends, i);

		json_array_append_new(
			finished,
			json_pack("[I,s,i,s,s]", (json_int_t)end->number,
				  end->task, end->run, end->how, ""));
	}
	json_object_set_new(body, "running", running);
	json_object_set_new(body, "finished", finished);
	request_reply(r, 200, body);
}

/* Answers the holds that wait for an end, or whose time is over. */
static void serve_waiting(struct minion *m)
{
	guint i;

	for (i = m->waiting->len; i-- > 0;) {
		struct waiting *w = g_ptr_array_index(m->waiting, i);

		if (!request_gone(w->r) &&
		    (m->server->cut ||
		     (!m->ends->len && now_ms() < w->until_ms)))
			continue;
		g_ptr_array_remove_index_fast(m->waiting, i);
		if (request_gone(w->r))
			request_free(w->r);
		else
			reply_hold(m, w->r);
		g_free(w);
	}
}

/* Work of "ms=N" takes N milliseconds; other work goes on. */
static void tick_minion(struct minion *m)
{
	guint i;

	if (m->runs->len && clock_ms(m) >= m->hold_end_ms)
		while (m->runs->len)
			end_run(m, g_ptr_array_index(m->runs, 0), "lapsed");
	for (i = m->runs->len; i-- > 0;) {
		struct run *run = g_ptr_array_index(m->runs, i);

		if (run->ends_ms && now_ms() >= run->ends_ms)
			end_run(m, run, run->stopping ? "stopped" : "done");
	}
	serve_waiting(m);
	if (now_ms() - m->seq * BEAT_MS > m->boot_ms)
		minion_register(m);
}

static void on_tick(struct ev_loop *l, ev_timer *t, int events)
{
	int i;

	(void)l;
	(void)t;
	(void)events;
	for (i = 0; i < minion_count; i++)
		tick_minion(minions[i]);
}

static json_int_t number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void extend_hold(struct minion *m, int64_t until_ms)
{
	until_ms = MIN(until_ms, clock_ms(m) + HOLD_MAX_MS);
	m->hold_end_ms = MAX(m->hold_end_ms, until_ms);
}

static void start(struct minion *m, struct request *r, const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	const char *spec = json_string_value(json_object_get(root, "spec"));
	int number_of_run = (int)number(root, "run");
	const struct run *present;
	struct run *run;

	if (!task || !spec) {
		request_reply(r, 400, answer(m));
		return;
	}
	if (number(root, "deadlineMs") <= clock_ms(m)) {
		refuse(m, r, "late");
		return;
	}
	extend_hold(m, number(root, "deadlineMs"));
	present = minion_find(m, task);
	if (present && present->run == number_of_run) {
		request_reply(r, 200, answer(m));
		return;
	}
	if (present || number_of_run <= barred(m, task)) {
		refuse(m, r, "old");
		return;
	}
	run = g_new0(struct run, 1);
	g_strlcpy(run->task, task, sizeof(run->task));
	run->run = number_of_run;
	run->spec = g_strdup(spec);
	run->started_ms = now_ms();
	if (g_str_has_prefix(spec, "ms="))
		run->ends_ms = run->started_ms + atoi(spec + 3);
	g_ptr_array_add(m->runs, run);
	note_quiet("%s: %s run %d started, token %d", m->id, task,
		   number_of_run, (int)number(root, "fencingToken"));
	if (on_start)
		on_start(m, run);
	request_reply(r, 200, answer(m));
}

static void stop(struct minion *m, struct request *r, const json_t *root)
{
	const char *task = json_string_value(json_object_get(root, "task"));
	int number_of_run = (int)number(root, "run");
	struct run *run = task ? minion_find(m, task) : NULL;

	if (!task) {
		request_reply(r, 400, answer(m));
		return;
	}
	if (run && run->run == number_of_run) {
		if (!run->stopping)
			run->ends_ms = now_ms() + STOP_TIMEOUT_MS / 2;
		run->stopping = true;
	} else {
		bar(m, task, number_of_run);
	}
	request_reply(r, 200, answer(m));
}

static void hold(struct minion *m, struct request *r, const json_t *root)
{
	int64_t wait_ms = MIN(2000, number(root, "waitMs"));
	struct waiting *w;

	while (m->ends->len) {
		struct end *end = g_ptr_array_index(m->ends, 0);

		if (end->number > number(root, "lastSeen"))
			break;
		if (on_noted)
			on_noted(m, end);
		g_ptr_array_remove_index(m->ends, 0);
	}
	if (number(root, "deadlineMs"))
		extend_hold(m, number(root, "deadlineMs"));
	if (!wait_ms || m->ends->len) {
		reply_hold(m, r);
		return;
	}
	w = g_new0(struct waiting, 1);
	w->r = r;
	w->until_ms = now_ms() + wait_ms;
	g_ptr_array_add(m->waiting, w);
}

static void on_request(void *ctx, struct request *r)
{
	struct minion *m = ctx;
	const char *expected = request_header(r, "x-expect-instance");
	json_t *root = json_loads(r->body, 0, NULL);

	if (!strcmp(r->method, "GET")) {
		request_reply(r, 200, json_object());
	} else if (expected && strcmp(expected, m->id)) {
		request_reply(r, 421, answer(m));
	} else if (number(root, "fencingToken") < m->fence) {
		refuse(m, r, "fence");
	} else {
		m->fence = number(root, "fencingToken");
		if (!strcmp(r->path, "/run-start"))
			start(m, r, root);
		else if (!strcmp(r->path, "/run-stop"))
			stop(m, r, root);
		else if (!strcmp(r->path, "/hold"))
			hold(m, r, root);
		else
			request_reply(r, 200, answer(m));
	}
	json_decref(root);
}

void minion_register(struct minion *m)
{
	char *key = g_strdup_printf("servers/%s", m->id);

	m->seq++;
	store_write(
		key,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:{s:i,s:i,s:i},"
			  "s:[s,s],s:s,s:I}",
			  "service", SERVICE, "address", m->server->address,
			  "zone", ZONE, "version", "v1", "slots", 8, "state",
			  "ready", "coldRemainingMs", 0, "seq",
			  (json_int_t)m->seq, "capacity", "cpu", MINION_CPU,
			  "memMb", MINION_MEM_MB, "gpus", MINION_GPUS, "labels",
			  "a", m->rack, "machine", m->id, "born",
			  (json_int_t)m->born_ms));
	g_free(key);
}

static void minion_add(int index)
{
	struct minion *m = g_new0(struct minion, 1);

	m->index = index;
	g_snprintf(m->id, sizeof(m->id), "i-%08x%02x", g_random_int(), index);
	g_snprintf(m->rack, sizeof(m->rack), "r0-%d", index / MINIONS_A_RACK);
	m->server = server_listen("127.0.0.1", on_request, m);
	m->born_ms = unix_ms();
	m->boot_ms = now_ms();
	m->runs = g_ptr_array_new_with_free_func(run_free);
	m->ends = g_ptr_array_new_with_free_func(g_free);
	m->waiting = g_ptr_array_new();
	m->barred =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	minions[index] = m;
	minion_register(m);
}

void minions_add(int count)
{
	for (minion_count = 0; minion_count < count; minion_count++)
		minion_add(minion_count);
	ev_timer_init(&timer, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &timer);
}
