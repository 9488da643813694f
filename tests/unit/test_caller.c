#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/caller.h"
#include "chestnutquay/http_client.h"

struct input {
	const char *method, *path;
	const char *workspace, *class_name, *idempotent, *key, *timeout, *type;
	const char *body;
};

static const char *header(void *ctx, const char *name)
{
	const struct input *in = ctx;

	if (!strcmp(name, "Cq-Workspace"))
		return in->workspace;
	if (!strcmp(name, "Cq-Class"))
		return in->class_name;
	if (!strcmp(name, "Cq-Idempotent"))
		return in->idempotent;
	if (!strcmp(name, "Idempotency-Key"))
		return in->key;
	if (!strcmp(name, "Cq-Timeout-Ms"))
		return in->timeout;
	if (!strcmp(name, "Content-Type"))
		return in->type;
	return NULL;
}

static bool parse(const struct input *in, struct cq_request *request,
		  struct cq_error *err)
{
	struct cq_caller_input input = {
		.method = in->method ? in->method : "POST",
		.path = in->path ? in->path : "/v1/requests/pair",
		.header = header,
		.ctx = (void *)in,
		.body = in->body ? in->body : "",
		.body_len = in->body ? strlen(in->body) : 0,
	};

	return cq_caller_parse(&input, 60000, request, err);
}

/* Guards against fields that are lost or taken from the wrong header. */
static void test_valid(void)
{
	struct input in = { .workspace = "garba",
			    .class_name = "pairing",
			    .idempotent = "yes",
			    .key = "1764840000000-abc@rajkot",
			    .timeout = "250",
			    .type = "application/json",
			    .body = "{\"a\":[1,2]}" };
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_request request;

	g_assert_true(parse(&in, &request, &err));
	g_assert_cmpstr(request.path, ==, "pair");
	g_assert_cmpstr(request.workspace, ==, "garba");
	g_assert_cmpstr(request.class_name, ==, "pairing");
	g_assert_true(request.idempotent);
	g_assert_cmpint(request.key_unix_ms, ==,
			G_GINT64_CONSTANT(1764840000000));
	g_assert_cmpuint(request.timeout_ms, ==, 250);
	g_assert_cmpuint(request.body_len, ==, 11);
}

/* Guards against treating an unmarked request as repeatable. */
static void test_defaults(void)
{
	struct input in = { .workspace = "w", .class_name = "c" };
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_request request;

	g_assert_true(parse(&in, &request, &err));
	g_assert_false(request.idempotent);
	g_assert_cmpstr(request.key, ==, "");
	g_assert_cmpuint(request.timeout_ms, ==, CQ_CALLER_DEFAULT_TIMEOUT_MS);
}

/* Guards against bad input that is accepted, or refused without a reason. */
static void test_bad_table(void)
{
	static const struct {
		const char *name;
		struct input in;
		const char *reason;
	} cases[] = {
		{ "method", { .method = "GET" }, "POST" },
		{ "prefix", { .path = "/v2/requests/x" }, "path" },
		{ "no path", { .path = "/v1/requests/" }, "path" },
		{ "dots", { .path = "/v1/requests/a/../b" }, "path" },
		{ "line end", { .path = "/v1/requests/a\r\nX: y" }, "path" },
		{ "space", { .path = "/v1/requests/a b" }, "path" },
		{ "absolute", { .path = "/v1/requests//b" }, "path" },
		{ "no workspace", { .class_name = "c" }, "Cq-Workspace" },
		{ "odd workspace",
		  { .workspace = "a/b", .class_name = "c" },
		  "Cq-Workspace" },
		{ "no class", { .workspace = "w" }, "Cq-Class" },
		{ "empty class",
		  { .workspace = "w", .class_name = "" },
		  "Cq-Class" },
		{ "idempotent", { .idempotent = "maybe" }, "Cq-Idempotent" },
		{ "timeout word", { .timeout = "soon" }, "Cq-Timeout-Ms" },
		{ "timeout 0", { .timeout = "0" }, "Cq-Timeout-Ms" },
		{ "timeout sign", { .timeout = "-5" }, "Cq-Timeout-Ms" },
		{ "timeout plus", { .timeout = "+5" }, "Cq-Timeout-Ms" },
		{ "timeout unit", { .timeout = "5s" }, "Cq-Timeout-Ms" },
		{ "timeout long", { .timeout = "60001" }, "Cq-Timeout-Ms" },
		{ "timeout huge",
		  { .timeout = "99999999999999999999" },
		  "Cq-Timeout-Ms" },
		{ "key without time", { .key = "abc" }, "Idempotency-Key" },
		{ "key short time",
		  { .key = "176484000000-abc" },
		  "Idempotency-Key" },
		{ "key no suffix",
		  { .key = "1764840000000-" },
		  "Idempotency-Key" },
		{ "key no centre",
		  { .key = "1764840000000-a@" },
		  "Idempotency-Key" },
		{ "key two centres",
		  { .key = "1764840000000-a@b@c" },
		  "Idempotency-Key" },
		{ "key odd byte",
		  { .key = "1764840000000-a b" },
		  "Idempotency-Key" },
		{ "json",
		  { .type = "application/json", .body = "{\"a\":" },
		  "JSON" },
		{ "json tail",
		  { .type = "application/json; charset=utf-8", .body = "{}x" },
		  "JSON" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct input in = cases[i].in;
		struct cq_error err = CQ_ERROR_INIT;
		struct cq_request request;

		g_test_message("%s", cases[i].name);
		if (!in.workspace && !in.class_name) {
			in.workspace = "w";
			in.class_name = "c";
		}
		g_assert_false(parse(&in, &request, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		g_assert_nonnull(strstr(err.message, cases[i].reason));
	}
}

/* Guards against deep nesting that overflows the parser's stack. */
static void test_deep_json(void)
{
	char *deep = g_strnfill(200000, '[');
	struct input in = { .workspace = "w",
			    .class_name = "c",
			    .type = "application/json",
			    .body = deep };
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_request request;

	g_assert_false(parse(&in, &request, &err));
	g_free(deep);
}

/* Guards against a refusal without its code, reason or word on the run. */
static void test_refusal_format(void)
{
	int refusal;

	for (refusal = CQ_REFUSAL_INVALID; refusal < CQ_REFUSAL_COUNT;
	     refusal++) {
		struct cq_answer answer = {
			.refusal = (enum cq_refusal)refusal,
			.run = refusal % 2 ? CQ_REQUEST_NOT_RUN
					   : CQ_REQUEST_MAY_HAVE_RUN,
			.message = "a \"quoted\" reason",
			.expected_wait_ms = 42,
		};
		char *text = cq_caller_format_refusal(&answer);
		json_t *root = json_loads(text, 0, NULL);
		json_t *error = json_object_get(root, "error");
		uint32_t status = cq_refusal_status((enum cq_refusal)refusal);

		g_assert_cmpstr(
			json_string_value(json_object_get(error, "code")), ==,
			cq_refusal_string((enum cq_refusal)refusal));
		g_assert_cmpstr(
			json_string_value(json_object_get(error, "run")), ==,
			refusal % 2 ? "no" : "unknown");
		g_assert_cmpstr(
			json_string_value(json_object_get(error, "message")),
			==, "a \"quoted\" reason");
		g_assert_cmpint(json_integer_value(json_object_get(
					error, "expected_wait_ms")),
				==, 42);
		g_assert_cmpuint(status, >=, 400);
		g_assert_cmpuint(status, <, 600);
		json_decref(root);
		free(text);
	}
}

/* Longest wait for a condition; a test that needs it has failed. */
#define GIVE_UP_S 10.0

/* An application behind the caller interface, and a client before it. */
struct contract {
	struct ev_loop *loop;
	struct cq_caller_http *http;
	struct cq_http_client *client;
	struct cq_caller_call *call; /* held back */
	const struct cq_answer *answer;
	uint32_t requests, aborted, done;
	char path[64];
	uint32_t status;
	char *headers; /* "NAME=VALUE;" of those that a case looks at */
	char *body;
};

static void on_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("gave up waiting");
}

static void run_until(struct contract *c, const uint32_t *value, uint32_t least)
{
	ev_timer give_up;

	ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
	ev_timer_start(c->loop, &give_up);
	while (*value < least)
		ev_run(c->loop, EVRUN_ONCE);
	ev_timer_stop(c->loop, &give_up);
}

static void on_request(void *ctx, struct cq_caller_call *call,
		       const struct cq_request *request)
{
	struct contract *c = ctx;
	const struct cq_caller *caller = cq_caller_http_get(c->http);

	c->requests++;
	g_strlcpy(c->path, request->path, sizeof(c->path));
	if (c->answer)
		caller->ops->answer(caller->self, call, c->answer);
	else
		c->call = call;
}

static void on_aborted(void *ctx, struct cq_caller_call *call)
{
	struct contract *c = ctx;

	g_assert_true(call == c->call);
	c->call = NULL;
	c->aborted++;
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	static const char *const names[] = { "Cq-Run", "Cq-Endpoint",
					     "Retry-After", "Content-Type",
					     "Connection" };
	struct contract *c = ctx;
	GString *headers = g_string_new(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *value = cq_http_result_header(result, names[i]);

		if (value)
			g_string_append_printf(headers, "%s=%s;", names[i],
					       value);
	}
	g_assert_cmpint(result->outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_nonnull(cq_http_result_header(result, "Cq-Expected-Wait-Ms"));
	c->status = result->status;
	c->headers = g_string_free(headers, FALSE);
	c->body = g_strndup(result->body, result->body_len);
	c->done++;
}

static struct cq_http_call *send_request(struct contract *c, const char *key,
					 const char *class_name)
{
	const struct cq_http_header headers[] = {
		{ "Cq-Workspace", "red" },
		{ "Cq-Class", class_name },
		{ key ? "Idempotency-Key" : "Cq-Idempotent", key ? key : "no" },
		{ NULL, NULL },
	};
	char *url = g_strdup_printf("http://127.0.0.1:%u/v1/requests/pair",
				    cq_caller_http_port(c->http));
	struct cq_http_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = "x",
		.body_len = 1,
		.connect_timeout_ms = 1000,
		.timeout_ms = 9000,
		.max_answer_bytes = 10000,
	};
	struct cq_http_call *call;

	c->done = 0;
	call = cq_http_client_send(c->client, &request, on_done, c);
	g_free(url);
	return call;
}

static void contract_open(struct contract *c)
{
	static const struct cq_caller_handler handler = { on_request,
							  on_aborted };
	struct cq_caller_http_options options = { .max_timeout_ms = 30000 };
	struct cq_error err = CQ_ERROR_INIT;

	memset(c, 0, sizeof(*c));
	c->loop = ev_loop_new(EVFLAG_AUTO);
	cq_http_server_options_init(&options.server, "127.0.0.1", 0);
	c->http = cq_caller_http_create(c->loop, &options, &handler, c, &err);
	g_assert_nonnull(c->http);
	c->client = cq_http_client_create(c->loop, 4, 4);
}

static void contract_close(struct contract *c)
{
	cq_http_client_destroy(c->client);
	cq_caller_http_destroy(c->http);
	ev_loop_destroy(c->loop);
}

/*
 * Guards against an answer that loses its status, body, endpoint or word on
 * the run on its way to the caller, and against "not run" for malformed input
 * whose key may have run before.
 */
static void test_contract(void)
{
	static const struct cq_answer whole = {
		.status = 404,
		.content_type = "text/plain",
		.endpoint = "e1",
		.body = "none",
		.body_len = 4,
	};
	static const struct cq_answer busy = {
		.refusal = CQ_REFUSAL_OVERLOADED,
		.run = CQ_REQUEST_NOT_RUN,
		.status = 503,
		.message = "full",
		.expected_wait_ms = 2500,
	};
	static const struct cq_answer lost = {
		.refusal = CQ_REFUSAL_ENDPOINT_FAILED,
		.run = CQ_REQUEST_MAY_HAVE_RUN,
		.status = 502,
		.message = "cut short",
	};
	static const struct {
		const struct cq_answer *answer;
		const char *class_name, *key;
		bool drain;
		uint32_t status;
		const char *headers;
		const char *body; /* part of it */
		bool reaches;
	} cases[] = {
		{ &whole, "top", NULL, false, 404,
		  "Cq-Endpoint=e1;Content-Type=text/plain;", "none", true },
		{ &busy, "top", NULL, false, 503,
		  "Cq-Run=no;Retry-After=3;Content-Type=application/json;",
		  "\"code\":\"overloaded\"", true },
		{ &lost, "top", "1764840000000-a", false, 502,
		  "Cq-Run=unknown;Content-Type=application/json;",
		  "\"run\":\"unknown\"", true },
		{ &whole, "to p", NULL, false, 400,
		  "Cq-Run=no;Content-Type=application/json;", "Cq-Class",
		  false },
		{ &whole, "to p", "1764840000000-a", false, 400,
		  "Cq-Run=unknown;Content-Type=application/json;", "Cq-Class",
		  false },
		{ &whole, "top", NULL, true, 404,
		  "Cq-Endpoint=e1;Content-Type=text/plain;Connection=close;",
		  "none", true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct cq_caller *caller;
		struct contract c;

		contract_open(&c);
		caller = cq_caller_http_get(c.http);
		c.answer = cases[i].answer;
		if (cases[i].drain)
			caller->ops->drain(caller->self);
		send_request(&c, cases[i].key, cases[i].class_name);
		run_until(&c, &c.done, 1);
		g_assert_cmpuint(c.status, ==, cases[i].status);
		g_assert_cmpstr(c.headers, ==, cases[i].headers);
		g_assert_nonnull(strstr(c.body, cases[i].body));
		g_assert_cmpuint(c.requests, ==, cases[i].reaches);
		if (cases[i].reaches)
			g_assert_cmpstr(c.path, ==, "pair");
		g_assert_cmpuint(c.aborted, ==, 0);
		g_free(c.headers);
		g_free(c.body);
		contract_close(&c);
	}
}

/*
 * Guards against a call that ends twice or never: its caller goes away, or
 * the adapter is destroyed while it is open.
 */
static void test_contract_aborted(void)
{
	const struct cq_caller *caller;
	struct cq_http_call *sent;
	struct contract c;

	contract_open(&c);
	caller = cq_caller_http_get(c.http);
	sent = send_request(&c, NULL, "top");
	run_until(&c, &c.requests, 1);
	g_assert_cmpuint(caller->ops->open_count(caller->self), ==, 1);
	cq_http_call_cancel(sent);
	run_until(&c, &c.aborted, 1);
	g_assert_cmpuint(caller->ops->open_count(caller->self), ==, 0);
	send_request(&c, NULL, "top");
	run_until(&c, &c.requests, 2);
	contract_close(&c);
	g_assert_cmpuint(c.aborted, ==, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller/valid", test_valid);
	g_test_add_func("/caller/defaults", test_defaults);
	g_test_add_func("/caller/bad-table", test_bad_table);
	g_test_add_func("/caller/deep-json", test_deep_json);
	g_test_add_func("/caller/refusal-format", test_refusal_format);
	g_test_add_func("/caller/contract/answers", test_contract);
	g_test_add_func("/caller/contract/aborted", test_contract_aborted);
	return g_test_run();
}
