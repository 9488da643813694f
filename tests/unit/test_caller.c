#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/caller.h"

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
			.run = refusal % 2 ? CQ_RUN_NO : CQ_RUN_UNKNOWN,
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller/valid", test_valid);
	g_test_add_func("/caller/defaults", test_defaults);
	g_test_add_func("/caller/bad-table", test_bad_table);
	g_test_add_func("/caller/deep-json", test_deep_json);
	g_test_add_func("/caller/refusal-format", test_refusal_format);
	return g_test_run();
}
