/* Job calls over HTTP, with a store in memory whose calls can fail. */
#include "job_calls_world.h"

#include <stdlib.h>
#include <string.h>

#include "chestnutquay/jobs.h"

struct pending {
	struct job_calls_world *f;
	cq_store_done_fn *done;
	void *ctx;
	struct cq_store_result result;
	struct cq_store_entry entry;
	char *key;
	char *text;
	ev_timer timer;
};

static void value_free(void *data)
{
	struct job_calls_value *value = data;

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

static struct cq_store_call *finish(struct job_calls_world *f, const char *key,
				    enum cq_store_status status,
				    cq_store_done_fn *done, void *ctx)
{
	struct pending *p = g_new0(struct pending, 1);
	const struct job_calls_value *value =
		g_hash_table_lookup(f->values, key);

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

void job_calls_store_value(struct job_calls_world *f, const char *key,
			   const char *text)
{
	struct job_calls_value *value = g_new0(struct job_calls_value, 1);

	value->text = g_strdup(text);
	value->revision = ++f->revision;
	g_hash_table_replace(f->values, g_strdup(key), value);
}

static struct cq_store_call *store_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct job_calls_world *f = self;
	bool found = g_hash_table_contains(f->values, key);

	(void)timeout_ms;
	return finish(f, key,
		      f->gets != CALLS_WELL ? CQ_STORE_UNAVAILABLE
		      : found		    ? CQ_STORE_OK
					    : CQ_STORE_NOT_FOUND,
		      done, ctx);
}

static struct cq_store_call *store_list(void *self, const char *prefix,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct job_calls_world *f = self;
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
		      f->gets != CALLS_WELL ? CQ_STORE_UNAVAILABLE
					    : CQ_STORE_OK,
		      done, ctx);
}

static struct cq_store_call *store_put(void *self, const char *key,
				       const char *text, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct job_calls_world *f = self;
	const struct job_calls_value *value =
		g_hash_table_lookup(f->values, key);
	enum job_calls_fault fault = f->put_count++ < f->bad_puts ? f->puts
								  : CALLS_WELL;

	(void)lease_id;
	(void)timeout_ms;
	if (fault == CALLS_DOWN)
		return finish(f, key, CQ_STORE_UNAVAILABLE, done, ctx);
	if (fault == CALLS_HANG)
		return finish(f, key, CQ_STORE_UNKNOWN, done, ctx);
	if (revision != (value ? value->revision : 0))
		return finish(f, key,
			      fault == CALLS_LOST ? CQ_STORE_UNKNOWN
						  : CQ_STORE_CONFLICT,
			      done, ctx);
	job_calls_store_value(f, key, text);
	return finish(f, key,
		      fault == CALLS_LOST ? CQ_STORE_UNKNOWN : CQ_STORE_OK,
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
	struct job_calls_world *f = ctx;

	(void)query;
	return f->local && !strcmp(data_centre, "a") ? strdup(f->local) : NULL;
}

static void on_request(void *ctx, struct cq_operator_exchange *exchange)
{
	struct job_calls_world *f = ctx;

	cq_job_calls_handle(f->calls, exchange);
}

static void on_aborted(void *ctx, struct cq_operator_exchange *exchange)
{
	struct job_calls_world *f = ctx;

	cq_job_calls_aborted(f->calls, exchange);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct job_calls_world *f = timer->data;

	(void)loop;
	(void)events;
	cq_job_calls_tick(f->calls, cq_clock_now_ns(cq_clock_system()));
}

static void apply(struct job_calls_world *f, const char *key, const char *json)
{
	struct cq_error err = CQ_ERROR_INIT;
	char *document = cq_settings_encode(json, "test", 1);

	cq_settings_apply(f->settings, key, document, ++f->revision, &err);
	g_assert_cmpstr(err.message, ==, "");
	free(document);
}

void job_calls_setup(struct job_calls_world *f, gconstpointer data)
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

void job_calls_teardown(struct job_calls_world *f, gconstpointer data)
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
	struct job_calls_world *f = ctx;

	f->done++;
	f->status = result->status;
	json_decref(f->body);
	g_free(f->run);
	g_free(f->retry_after);
	f->body = json_loadb(result->body, result->body_len, 0, NULL);
	f->run = g_strdup(cq_http_result_header(result, "Cq-Run"));
	f->retry_after = g_strdup(cq_http_result_header(result, "Retry-After"));
}

void job_calls_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached");
}

void job_calls_send(struct job_calls_world *f, const char *method,
		    const char *path, const char *key, const char *timeout_ms,
		    const char *body)
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

void job_calls_wait(struct job_calls_world *f, uint32_t done)
{
	ev_timer give_up;

	ev_timer_init(&give_up, job_calls_give_up, GIVE_UP_S, 0.);
	ev_timer_start(f->loop, &give_up);
	while (f->done < done)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &give_up);
	f->done = 0;
}

void job_calls_call(struct job_calls_world *f, const char *method,
		    const char *path, const char *key, const char *timeout_ms,
		    const char *body)
{
	job_calls_send(f, method, path, key, timeout_ms, body);
	job_calls_wait(f, 1);
}

const char *job_calls_text(const struct job_calls_world *f, const char *name)
{
	const char *value = json_string_value(json_object_get(f->body, name));

	return value ? value : "";
}
