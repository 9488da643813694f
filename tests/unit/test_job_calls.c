/* Job calls over HTTP, with a store in memory whose calls can fail. */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/http_client.h"
#include "chestnutquay/jobs.h"
#include "programs/common/job_calls.h"

/* Longest wait for a condition; a test that needs it has failed. */
#define GIVE_UP_S 10.0
#define JOB                                                          \
	"{\"workspace\":\"w\",\"class\":\"top\",\"accelerators\":8," \
	"\"cpu_millicores\":1000,\"memory_bytes\":1000"

/* What happens to the calls of a kind. */
enum fate {
	WELL,
	DOWN, /* refused */
	LOST, /* executed, without an answer */
	HANG, /* neither executed nor answered */
};

struct value {
	char *text;
	int64_t revision;
};

struct pending {
	struct fixture *f;
	cq_store_done_fn *done;
	void *ctx;
	struct cq_store_result result;
	struct cq_store_entry entry;
	char *key;
	char *text;
	ev_timer timer;
};

struct fixture {
	struct ev_loop *loop;
	struct cq_operator_http *server;
	struct cq_http_client *client;
	struct cq_settings *settings;
	struct cq_membership *membership;
	struct cq_job_calls *calls;
	struct cq_store store;
	GHashTable *values; /* key -> struct value */
	GPtrArray *pending;
	int64_t revision;
	enum fate puts, gets;
	uint32_t bad_puts; /* this many have the fate, then all go well */
	uint32_t put_count;
	char *local; /* answer of an owner in this process */
	ev_timer tick;
	uint32_t done;
	uint32_t status;
	char *run;
	char *retry_after;
	json_t *body;
};

static void value_free(void *data)
{
	struct value *value = data;

	g_free(value->text);
	g_free(value);
}

static void pending_free(struct pending *p)
{
	ev_timer_stop(p->f->loop, &p->timer);
	g_ptr_array_remove_fast(p->f->pending, p);
	g_free(p->key);
	g_free(p->text);
	g_free(p);
}

static void on_pending(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct pending *p = timer->data;

	(void)loop;
	(void)events;
	if (p->text) {
		p->entry.key = p->key;
		p->entry.value = p->text;
		p->entry.value_len = strlen(p->text);
		p->result.entries = &p->entry;
		p->result.entry_count = 1;
	}
	p->result.message = "";
	p->done(p->ctx, &p->result);
	pending_free(p);
}

static struct cq_store_call *finish(struct fixture *f, const char *key,
				    enum cq_store_status status,
				    cq_store_done_fn *done, void *ctx)
{
	struct pending *p = g_new0(struct pending, 1);
	const struct value *value = g_hash_table_lookup(f->values, key);

	p->f = f;
	p->done = done;
	p->ctx = ctx;
	p->key = g_strdup(key);
	p->result.status = status;
	p->result.revision = f->revision;
	if (value && (status == CQ_STORE_OK || status == CQ_STORE_CONFLICT)) {
		p->text = g_strdup(value->text);
		p->entry.revision = value->revision;
	}
	ev_timer_init(&p->timer, on_pending, 0.001, 0.);
	p->timer.data = p;
	ev_timer_start(f->loop, &p->timer);
	g_ptr_array_add(f->pending, p);
	return (struct cq_store_call *)p;
}

static void store_value(struct fixture *f, const char *key, const char *text)
{
	struct value *value = g_new0(struct value, 1);

	value->text = g_strdup(text);
	value->revision = ++f->revision;
	g_hash_table_replace(f->values, g_strdup(key), value);
}

static struct cq_store_call *store_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct fixture *f = self;
	bool found = g_hash_table_contains(f->values, key);

	(void)timeout_ms;
	return finish(f, key,
		      f->gets != WELL ? CQ_STORE_UNAVAILABLE
		      : found	      ? CQ_STORE_OK
				      : CQ_STORE_NOT_FOUND,
		      done, ctx);
}

static struct cq_store_call *store_list(void *self, const char *prefix,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct fixture *f = self;
	const char *found = prefix;
	GHashTableIter iter;
	gpointer key;

	(void)timeout_ms;
	/* No test has two jobs of one data centre and lists them. */
	g_hash_table_iter_init(&iter, f->values);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (g_str_has_prefix(key, prefix))
			found = key;
	return finish(f, found,
		      f->gets != WELL ? CQ_STORE_UNAVAILABLE : CQ_STORE_OK,
		      done, ctx);
}

static struct cq_store_call *store_put(void *self, const char *key,
				       const char *text, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct fixture *f = self;
	const struct value *value = g_hash_table_lookup(f->values, key);
	enum fate fate = f->put_count++ < f->bad_puts ? f->puts : WELL;

	(void)lease_id;
	(void)timeout_ms;
	if (fate == DOWN)
		return finish(f, key, CQ_STORE_UNAVAILABLE, done, ctx);
	if (fate == HANG)
		return finish(f, key, CQ_STORE_UNKNOWN, done, ctx);
	if (revision != (value ? value->revision : 0))
		return finish(f, key,
			      fate == LOST ? CQ_STORE_UNKNOWN
					   : CQ_STORE_CONFLICT,
			      done, ctx);
	store_value(f, key, text);
	return finish(f, key, fate == LOST ? CQ_STORE_UNKNOWN : CQ_STORE_OK,
		      done, ctx);
}

static void store_cancel(void *self, struct cq_store_call *call)
{
	(void)self;
	pending_free((struct pending *)call);
}

static const struct cq_store_ops store_ops = {
	.get = store_get,
	.list = store_list,
	.put = store_put,
	.cancel = store_cancel,
};

static bool send_nothing(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	(void)ctx;
	(void)address;
	(void)kind;
	(void)correlation;
	(void)payload;
	(void)len;
	return false;
}

static void member_send(void *ctx, const char *address, enum cq_peer_kind kind,
			uint64_t correlation, const uint8_t *payload,
			size_t len)
{
	send_nothing(ctx, address, kind, correlation, payload, len);
}

static char *local(void *ctx, const char *data_centre, const char *query)
{
	struct fixture *f = ctx;

	(void)query;
	return f->local && !strcmp(data_centre, "a") ? strdup(f->local) : NULL;
}

static void on_request(void *ctx, struct cq_operator_exchange *exchange)
{
	struct fixture *f = ctx;

	cq_job_calls_handle(f->calls, exchange);
}

static void on_aborted(void *ctx, struct cq_operator_exchange *exchange)
{
	struct fixture *f = ctx;

	cq_job_calls_aborted(f->calls, exchange);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fixture *f = timer->data;

	(void)loop;
	(void)events;
	cq_job_calls_tick(f->calls, cq_clock_now_ns(cq_clock_system()));
}

static void apply(struct fixture *f, const char *key, const char *json)
{
	struct cq_error err = CQ_ERROR_INIT;
	char *document = cq_settings_encode(json, "test", 1);

	cq_settings_apply(f->settings, key, document, ++f->revision, &err);
	g_assert_cmpstr(err.message, ==, "");
	free(document);
}

static void setup(struct fixture *f, gconstpointer data)
{
	static const struct cq_membership_ops member_ops = {
		.send = member_send
	};
	static const struct cq_job_calls_ops ops = { send_nothing, local };
	struct cq_operator_handler handler = { on_request, on_aborted };
	struct cq_http_server_options server;
	struct cq_membership_options member;
	struct cq_job_calls_options options;
	struct cq_error err = CQ_ERROR_INIT;

	(void)data;
	f->loop = ev_loop_new(0);
	f->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  value_free);
	f->pending = g_ptr_array_new();
	f->store.ops = &store_ops;
	f->store.self = f;
	f->settings = cq_settings_create();
	apply(f, "global",
	      "{\"classes\":[{\"name\":\"top\",\"rank\":0,"
	      "\"weight\":1}]}");
	apply(f, "data-centres/a", "{\"state\":\"in\"}");
	apply(f, "data-centres/b", "{\"state\":\"out\"}");
	apply(f, "workspaces/w", "{\"weight\":1}");
	cq_membership_options_init(&member);
	g_strlcpy(member.self.id, "x/entryd", sizeof(member.self.id));
	g_strlcpy(member.self.data_centre, "a",
		  sizeof(member.self.data_centre));
	g_strlcpy(member.self.address, "127.0.0.1:1",
		  sizeof(member.self.address));
	f->membership = cq_membership_create(&member, &member_ops, f, 0);
	cq_job_calls_options_init(&options);
	options.writer = "x/entryd";
	options.incarnation = 1;
	f->calls = cq_job_calls_create(&options, &ops, f, &f->store,
				       f->settings, f->membership);
	cq_http_server_options_init(&server, "127.0.0.1", 0);
	f->server =
		cq_operator_http_create(f->loop, &server, &handler, f, &err);
	g_assert_nonnull(f->server);
	f->client = cq_http_client_create(f->loop, 4, 4);
	ev_timer_init(&f->tick, on_tick, 0.01, 0.01);
	f->tick.data = f;
	ev_timer_start(f->loop, &f->tick);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	ev_timer_stop(f->loop, &f->tick);
	cq_http_client_destroy(f->client);
	cq_job_calls_destroy(f->calls);
	cq_operator_http_destroy(f->server);
	cq_membership_destroy(f->membership);
	cq_settings_destroy(f->settings);
	g_assert_cmpuint(f->pending->len, ==, 0);
	g_ptr_array_free(f->pending, TRUE);
	g_hash_table_destroy(f->values);
	ev_loop_destroy(f->loop);
	json_decref(f->body);
	g_free(f->run);
	g_free(f->retry_after);
}

static void on_answer(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	f->done++;
	f->status = result->status;
	json_decref(f->body);
	g_free(f->run);
	g_free(f->retry_after);
	f->body = json_loadb(result->body, result->body_len, 0, NULL);
	f->run = g_strdup(cq_http_result_header(result, "Cq-Run"));
	f->retry_after = g_strdup(cq_http_result_header(result, "Retry-After"));
}

static void on_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached");
}

static void send_call(struct fixture *f, const char *method, const char *path,
		      const char *key, const char *timeout_ms, const char *body)
{
	struct cq_http_header headers[3] = { { NULL, NULL } };
	char *url = g_strdup_printf("http://127.0.0.1:%u/v1/jobs%s",
				    cq_operator_http_port(f->server), path);
	struct cq_http_request request = { .method = method,
					   .url = url,
					   .headers = headers,
					   .body = body,
					   .body_len = body ? strlen(body) : 0,
					   .connect_timeout_ms = 1000,
					   .timeout_ms = 8000,
					   .max_answer_bytes = 1U << 20 };
	int n = 0;

	if (key)
		headers[n++] =
			(struct cq_http_header){ "Idempotency-Key", key };
	if (timeout_ms)
		headers[n++] =
			(struct cq_http_header){ "Cq-Timeout-Ms", timeout_ms };
	cq_http_client_send(f->client, &request, on_answer, f);
	g_free(url);
}

static void wait_for(struct fixture *f, uint32_t done)
{
	ev_timer give_up;

	ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
	ev_timer_start(f->loop, &give_up);
	while (f->done < done)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &give_up);
	f->done = 0;
}

static void call(struct fixture *f, const char *method, const char *path,
		 const char *key, const char *timeout_ms, const char *body)
{
	send_call(f, method, path, key, timeout_ms, body);
	wait_for(f, 1);
}

static const char *text(const struct fixture *f, const char *name)
{
	const char *value = json_string_value(json_object_get(f->body, name));

	return value ? value : "";
}

/* Guards against a refusal that says "not run" for a job that was stored. */
static void test_submit_table(struct fixture *f, gconstpointer data)
{
	static const struct {
		const char *name;
		const char *body;
		enum fate puts, gets;
		uint32_t bad_puts;
		uint32_t status;
		const char *run; /* NULL: no refusal */
		uint32_t stored;
	} cases[] = {
		{ "all well", JOB "}", WELL, WELL, 0, 202, NULL, 1 },
		{ "down", JOB "}", DOWN, WELL, 1000, 503, "no", 0 },
		{ "down for a while", JOB "}", DOWN, WELL, 2, 202, NULL, 1 },
		{ "answer lost", JOB "}", LOST, WELL, 1, 202, NULL, 1 },
		{ "answer lost, no read-back", JOB "}", LOST, DOWN, 1000, 503,
		  "unknown", 1 },
		{ "write lost", JOB "}", HANG, WELL, 1, 202, NULL, 1 },
		{ "writes lost", JOB "}", HANG, WELL, 1000, 503, "unknown", 0 },
		{ "bad field", JOB ",\"tasks\":0}", WELL, WELL, 0, 400, "no",
		  0 },
		{ "unknown class",
		  "{\"workspace\":\"w\",\"class\":\"x\",\"accelerators\":8,"
		  "\"cpu_millicores\":1,\"memory_bytes\":1}",
		  WELL, WELL, 0, 400, "no", 0 },
		{ "unknown data centre", JOB ",\"data_centre\":\"z\"}", WELL,
		  WELL, 0, 400, "no", 0 },
	};
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		g_hash_table_remove_all(f->values);
		f->puts = cases[i].puts;
		f->gets = cases[i].gets;
		f->bad_puts = cases[i].bad_puts;
		f->put_count = 0;
		/* No key: nothing has to be read before the write. */
		call(f, "POST", "", NULL, "1500", cases[i].body);
		g_assert_cmpuint(f->status, ==, cases[i].status);
		if (cases[i].run)
			g_assert_cmpstr(f->run, ==, cases[i].run);
		if (f->status == 503)
			g_assert_nonnull(f->retry_after);
		g_assert_cmpuint(g_hash_table_size(f->values), ==,
				 cases[i].stored);
	}
}

/* Guards against one key giving two jobs. */
static void test_keys(struct fixture *f, gconstpointer data)
{
	char *id;

	(void)data;
	send_call(f, "POST", "", "k", NULL, JOB "}");
	send_call(f, "POST", "", "k", NULL, JOB "}");
	wait_for(f, 2);
	g_assert_cmpuint(f->status, ==, 202);
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 1);
	id = g_strdup(text(f, "id"));
	call(f, "POST", "", "k", NULL, JOB "}");
	g_assert_cmpstr(text(f, "id"), ==, id);
	g_assert_true(json_is_true(json_object_get(f->body, "existing")));
	call(f, "POST", "", "k", NULL, JOB ",\"tasks\":2}");
	g_assert_cmpuint(f->status, ==, 409);
	g_assert_cmpstr(f->run, ==, "no");
	call(f, "POST", "", "k2", NULL, JOB "}");
	g_assert_cmpstr(text(f, "id"), !=, id);
	/* The data centre that is out gets none. */
	g_assert_cmpstr(text(f, "data_centre"), ==, "a");
	/* While the earlier job cannot be looked for, none is written. */
	f->gets = DOWN;
	call(f, "POST", "", "k3", "300", JOB "}");
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpstr(f->run, ==, "no");
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 2);
	g_free(id);
}

/* Guards against a stale answer that looks like a fresh one. */
static void test_show(struct fixture *f, gconstpointer data)
{
	char *path;

	(void)data;
	call(f, "POST", "", "k", NULL, JOB "}");
	path = g_strdup_printf("/%s", text(f, "id"));
	call(f, "GET", path, NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 200);
	g_assert_cmpstr(text(f, "state"), ==, "queued");
	g_assert_true(json_is_true(json_object_get(f->body, "stale")));
	g_assert_cmpint(json_integer_value(json_object_get(f->body, "age_ms")),
			>=, 0);
	f->local = "{\"status\":200,\"body\":{\"state\":\"running\"}}";
	call(f, "GET", path, NULL, NULL, NULL);
	g_assert_cmpstr(text(f, "state"), ==, "running");
	g_assert_true(json_is_false(json_object_get(f->body, "stale")));
	f->local = NULL;
	call(f, "GET", "/jnone", NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 404);
	f->gets = DOWN;
	call(f, "GET", path, NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 503);
	call(f, "GET", "/..%2Fx", NULL, NULL, NULL);
	g_assert_cmpuint(f->status, ==, 404);
	g_free(path);
}

#define OWNER_LIST                                                         \
	"{\"status\":200,\"body\":{\"total\":2,\"jobs\":[{\"id\":\"j1\"}," \
	"{\"id\":\"j2\"}]}}"

/*
 * Guards against a list that hides that a data centre has no owner, or that
 * calls an owner's answer stale. One job is in the store, in a; b has no jobs
 * and never an owner.
 */
static void test_list(struct fixture *f, gconstpointer data)
{
	static const struct {
		const char *target;
		char *local; /* answer of the owner of a */
		enum fate gets;
		bool stale, age;
		uint32_t jobs, missing;
	} cases[] = {
		{ "?data_centre=a", NULL, WELL, true, true, 1, 0 },
		{ "?data_centre=a", OWNER_LIST, WELL, false, false, 2, 0 },
		{ "", NULL, WELL, true, true, 1, 0 },
		/* What b has is from the store, and it has nothing. */
		{ "", OWNER_LIST, WELL, true, false, 2, 0 },
		{ "", OWNER_LIST, DOWN, false, false, 2, 1 },
		{ "", NULL, DOWN, false, false, 0, 2 },
	};
	size_t i;

	(void)data;
	call(f, "POST", "", "k", NULL, JOB "}");
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const json_t *age;

		f->local = cases[i].local;
		f->gets = cases[i].gets;
		call(f, "GET", cases[i].target, NULL, NULL, NULL);
		g_assert_cmpuint(f->status, ==, 200);
		g_assert_cmpint(json_is_true(json_object_get(f->body, "stale")),
				==, cases[i].stale);
		age = json_object_get(f->body, "age_ms");
		g_assert_cmpint(age != NULL, ==, cases[i].stale);
		g_assert_cmpint(age && json_integer_value(age) >= 0, ==,
				cases[i].age);
		g_assert_cmpuint(
			json_array_size(json_object_get(f->body, "jobs")), ==,
			cases[i].jobs);
		g_assert_cmpuint(
			json_array_size(json_object_get(f->body, "missing")),
			==, cases[i].missing);
	}
	f->local = NULL;
}

/* Guards against a job that the owner says can never run being accepted. */
static void test_never_fits(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->local = "{\"status\":422,\"message\":\"too large\"}";
	call(f, "POST", "", "k", NULL, JOB "}");
	g_assert_cmpuint(f->status, ==, 422);
	g_assert_cmpstr(f->run, ==, "no");
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 0);
}

/* Guards against a cancellation that is confirmed and not stored. */
static void test_cancel(struct fixture *f, gconstpointer data)
{
	static const struct {
		const char *name;
		enum cq_job_phase phase;
		enum fate puts;
		uint32_t bad_puts;
		uint32_t status;
		enum cq_job_phase after;
		bool cancel;
	} cases[] = {
		{ "waiting", CQ_PHASE_QUEUED, WELL, 0, 202, CQ_PHASE_CANCELLED,
		  true },
		{ "running", CQ_PHASE_RUNNING, WELL, 0, 202, CQ_PHASE_RUNNING,
		  true },
		{ "answer lost", CQ_PHASE_RUNNING, LOST, 1, 200,
		  CQ_PHASE_RUNNING, true },
		{ "down for a while", CQ_PHASE_RUNNING, DOWN, 2, 202,
		  CQ_PHASE_RUNNING, true },
		{ "down", CQ_PHASE_RUNNING, DOWN, 1000, 503, CQ_PHASE_RUNNING,
		  false },
		{ "finished", CQ_PHASE_FINISHED, WELL, 0, 200,
		  CQ_PHASE_FINISHED, false },
	};
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_job_record record;
		const struct value *value;
		char *json;

		g_test_message("%s", cases[i].name);
		cq_job_record_parse(JOB ",\"id\":\"j1\"}",
				    strlen(JOB ",\"id\":\"j1\"}"), &record,
				    NULL);
		record.phase = cases[i].phase;
		json = cq_job_record_format(&record);
		g_hash_table_remove_all(f->values);
		store_value(f, "jobs/b/j1", json);
		free(json);
		f->puts = cases[i].puts;
		f->bad_puts = cases[i].bad_puts;
		f->put_count = 0;
		call(f, "DELETE", "/j1", NULL, "1500", NULL);
		g_assert_cmpuint(f->status, ==, cases[i].status);
		value = g_hash_table_lookup(f->values, "jobs/b/j1");
		cq_job_record_parse(value->text, strlen(value->text), &record,
				    NULL);
		g_assert_cmpint(record.phase, ==, cases[i].after);
		g_assert_cmpint(record.cancel, ==, cases[i].cancel);
	}
}

/*
 * Guards against a call that is left without an answer when the host stops,
 * and against one that is taken after that.
 */
static void test_stop(struct fixture *f, gconstpointer data)
{
	ev_timer give_up;

	(void)data;
	f->puts = HANG;
	f->bad_puts = 1;
	send_call(f, "POST", "", "k", "8000", JOB "}");
	ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
	ev_timer_start(f->loop, &give_up);
	while (!f->put_count)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &give_up);
	cq_job_calls_stop(f->calls);
	wait_for(f, 1);
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpstr(f->run, ==, "unknown");
	call(f, "POST", "", "k2", NULL, JOB "}");
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpstr(f->run, ==, "no");
	g_assert_cmpuint(g_hash_table_size(f->values), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define CALL_TEST(name, fn)                                             \
	g_test_add("/job_calls/" name, struct fixture, NULL, setup, fn, \
		   teardown)
	CALL_TEST("submit_table", test_submit_table);
	CALL_TEST("keys", test_keys);
	CALL_TEST("show", test_show);
	CALL_TEST("list", test_list);
	CALL_TEST("never_fits", test_never_fits);
	CALL_TEST("cancel", test_cancel);
	CALL_TEST("stop", test_stop);
	return g_test_run();
}
