#include "chestnutquay/caller.h"

#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_DIGITS 13

struct cq_caller_http {
	struct cq_caller caller;
	struct cq_http_server *server;
	struct cq_caller_http_options options;
	struct cq_caller_handler handler;
	void *ctx;
	bool draining;
};

/* Lives as long as the exchange, of which it is the user pointer. */
struct cq_caller_call {
	struct cq_http_exchange *exchange;
};

static bool refuse(struct cq_error *err, const char *text);
static bool is_name(const char *text);
static bool is_path(const char *text);
static bool parse_timeout(const char *text, uint32_t max_ms, uint32_t *ms,
			  struct cq_error *err);
static bool parse_key(const char *text, struct cq_request *request,
		      struct cq_error *err);
static bool check_body(const struct cq_caller_input *input,
		       const char *content_type, struct cq_error *err);
static const char *header(const struct cq_caller_input *input,
			  const char *name);
static const char *exchange_header(void *ctx, const char *name);
static void respond(const struct cq_caller_http *http,
		    struct cq_http_exchange *exchange,
		    const struct cq_answer *answer);
static void refuse_input(const struct cq_caller_http *http,
			 struct cq_http_exchange *exchange,
			 const struct cq_error *err);
static void on_request(void *ctx, struct cq_http_exchange *exchange);
static void on_aborted(void *ctx, struct cq_http_exchange *exchange);
static void http_answer(void *self, struct cq_caller_call *call,
			const struct cq_answer *answer);
static void http_drain(void *self);
static void http_quiesce(void *self);
static uint32_t http_open_count(const void *self);

static const struct cq_caller_ops caller_ops = {
	.answer = http_answer,
	.drain = http_drain,
	.quiesce = http_quiesce,
	.open_count = http_open_count,
};

static bool refuse(struct cq_error *err, const char *text)
{
	return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID, "%s", text);
}

static const char *header(const struct cq_caller_input *input, const char *name)
{
	return input->header(input->ctx, name);
}

static bool is_name(const char *text)
{
	size_t len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");

	return len > 0 && len < CQ_REQUEST_NAME_BYTES && !text[len];
}

/*
 * The path is copied into a request line, so it holds nothing that could end
 * the line or leave the path of the service.
 */
static bool is_path(const char *text)
{
	size_t len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._~/-");

	return len > 0 && len < CQ_REQUEST_PATH_BYTES && !text[len] &&
	       !strstr(text, "..") && !strstr(text, "//") && *text != '/';
}

static bool parse_timeout(const char *text, uint32_t max_ms, uint32_t *ms,
			  struct cq_error *err)
{
	char *end;
	long value;

	*ms = max_ms < CQ_CALLER_DEFAULT_TIMEOUT_MS
		      ? max_ms
		      : CQ_CALLER_DEFAULT_TIMEOUT_MS;
	if (!text)
		return true;
	errno = 0;
	value = strtol(text, &end, 10);
	if (errno || end == text || *end || *text < '0' || *text > '9' ||
	    value < 1 || value > (long)max_ms)
		return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID,
				    "Cq-Timeout-Ms must be an integer from 1 "
				    "to %u",
				    max_ms);
	*ms = (uint32_t)value;
	return true;
}

bool cq_caller_key_time(const char *key, int64_t *unix_ms)
{
	size_t len = strlen(key);
	const char *at = strchr(key, '@');
	size_t digits = strspn(key, "0123456789");
	size_t suffix = strspn(key, "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");

	if (digits != KEY_DIGITS || key[digits] != '-' || suffix < digits + 2 ||
	    len >= CQ_REQUEST_KEY_BYTES)
		return false;
	/* All of it, or up to the name of a data centre. */
	if (suffix != len && (!at || at != key + suffix || !is_name(at + 1)))
		return false;
	*unix_ms = strtoll(key, NULL, 10);
	return true;
}

static bool parse_key(const char *text, struct cq_request *request,
		      struct cq_error *err)
{
	request->key = "";
	request->key_unix_ms = 0;
	if (!text)
		return true;
	if (!cq_caller_key_time(text, &request->key_unix_ms))
		return refuse(err,
			      "Idempotency-Key must be 13 digits of Unix "
			      "milliseconds, \"-\" and letters, digits or "
			      "._-, and may end in \"@\" and a data centre; "
			      "at most 127 bytes");
	request->key = text;
	return true;
}

static bool check_body(const struct cq_caller_input *input,
		       const char *content_type, struct cq_error *err)
{
	json_error_t json_err;
	json_t *value;

	if (strncmp(content_type, "application/json",
		    strlen("application/json")) != 0 ||
	    !input->body_len)
		return true;
	value = json_loadb(input->body, input->body_len, JSON_DECODE_ANY,
			   &json_err);
	if (!value)
		return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID,
				    "the body is not JSON: line %d, column "
				    "%d: %.100s",
				    json_err.line, json_err.column,
				    json_err.text);
	json_decref(value);
	return true;
}

bool cq_caller_parse(const struct cq_caller_input *input,
		     uint32_t max_timeout_ms, struct cq_request *request,
		     struct cq_error *err)
{
	const char *idempotent = header(input, "Cq-Idempotent");
	const char *type = header(input, "Content-Type");

	if (strncmp(input->path, CQ_CALLER_PREFIX, strlen(CQ_CALLER_PREFIX)))
		return refuse(err,
			      "the path must start with " CQ_CALLER_PREFIX);
	request->path = input->path + strlen(CQ_CALLER_PREFIX);
	if (!is_path(request->path))
		return refuse(err, "the path may hold letters, digits and "
				   "._~/-, at most 511 bytes, without \"..\" "
				   "or \"//\"");
	if (strcmp(input->method, "POST") != 0)
		return refuse(err, "the method must be POST");
	request->workspace = header(input, "Cq-Workspace");
	if (!request->workspace || !is_name(request->workspace))
		return refuse(err, "Cq-Workspace must name a workspace "
				   "(letters, digits and ._-, at most 63 "
				   "bytes)");
	request->class_name = header(input, "Cq-Class");
	if (!request->class_name || !is_name(request->class_name))
		return refuse(err, "Cq-Class must name a class (letters, "
				   "digits and ._-, at most 63 bytes)");
	if (idempotent && strcmp(idempotent, "yes") != 0 &&
	    strcmp(idempotent, "no") != 0)
		return refuse(err, "Cq-Idempotent must be yes or no");
	request->idempotent = idempotent && !strcmp(idempotent, "yes");
	request->content_type = type ? type : "";
	if (strlen(request->content_type) > 200)
		return refuse(err, "Content-Type is over 200 bytes");
	request->body = input->body;
	request->body_len = input->body_len;
	return parse_timeout(header(input, "Cq-Timeout-Ms"), max_timeout_ms,
			     &request->timeout_ms, err) &&
	       parse_key(header(input, "Idempotency-Key"), request, err) &&
	       check_body(input, request->content_type, err);
}

char *cq_caller_format_refusal(const struct cq_answer *answer)
{
	json_t *root = json_pack("{s:{s:s,s:s,s:s,s:I}}", "error", "code",
				 cq_refusal_string(answer->refusal), "message",
				 answer->message, "run",
				 cq_request_run_string(answer->run),
				 "expected_wait_ms",
				 (json_int_t)answer->expected_wait_ms);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	/* A message with invalid UTF-8 must not cost the caller the reason. */
	return text ? text : strdup("{\"error\":{\"run\":\"unknown\"}}");
}

static const char *exchange_header(void *ctx, const char *name)
{
	return cq_http_exchange_header(ctx, name);
}

static void respond(const struct cq_caller_http *http,
		    struct cq_http_exchange *exchange,
		    const struct cq_answer *answer)
{
	struct cq_http_header headers[6] = { { NULL, NULL } };
	char wait[16];
	char retry[16];
	char *json = NULL;
	int n = 0;

	snprintf(wait, sizeof(wait), "%u", answer->expected_wait_ms);
	headers[n++] = (struct cq_http_header){ "Cq-Expected-Wait-Ms", wait };
	if (http->draining)
		headers[n++] = (struct cq_http_header){ "Connection", "close" };
	if (!answer->refusal) {
		if (*answer->content_type)
			headers[n++] =
				(struct cq_http_header){ "Content-Type",
							 answer->content_type };
		headers[n++] = (struct cq_http_header){ "Cq-Endpoint",
							answer->endpoint };
		cq_http_exchange_respond(exchange, answer->status, headers,
					 answer->body, answer->body_len);
		return;
	}
	headers[n++] =
		(struct cq_http_header){ "Content-Type", "application/json" };
	headers[n++] =
		(struct cq_http_header){ "Cq-Run",
					 cq_request_run_string(answer->run) };
	if (answer->status == 503) {
		snprintf(retry, sizeof(retry), "%u",
			 answer->expected_wait_ms / 1000 + 1);
		headers[n++] = (struct cq_http_header){ "Retry-After", retry };
	}
	headers[n] = (struct cq_http_header){ NULL, NULL };
	json = cq_caller_format_refusal(answer);
	cq_http_exchange_respond(exchange, answer->status, headers, json,
				 strlen(json));
	free(json);
}

/* A key may belong to an earlier request that ran. */
static void refuse_input(const struct cq_caller_http *http,
			 struct cq_http_exchange *exchange,
			 const struct cq_error *err)
{
	struct cq_answer answer = {
		.refusal = CQ_REFUSAL_INVALID,
		.run = cq_http_exchange_header(exchange, "Idempotency-Key")
			       ? CQ_REQUEST_MAY_HAVE_RUN
			       : CQ_REQUEST_NOT_RUN,
		.status = cq_refusal_status(CQ_REFUSAL_INVALID),
		.message = err->message,
	};

	respond(http, exchange, &answer);
}

static bool is_job_call(const struct cq_caller_http *http,
			const struct cq_http_exchange *exchange)
{
	return http->options.jobs.request &&
	       g_str_has_prefix(cq_http_exchange_path(exchange),
				CQ_CALLER_JOBS_PREFIX);
}

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct cq_caller_http *http = ctx;
	struct cq_caller_input input = {
		.method = cq_http_exchange_method(exchange),
		.path = cq_http_exchange_path(exchange),
		.header = exchange_header,
		.ctx = exchange,
	};
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_request request;
	struct cq_caller_call *call;

	if (is_job_call(http, exchange)) {
		cq_operator_http_pass(&http->options.jobs,
				      http->options.jobs_ctx, exchange);
		return;
	}
	input.body = cq_http_exchange_body(exchange, &input.body_len);
	if (!cq_caller_parse(&input, http->options.max_timeout_ms, &request,
			     &err)) {
		refuse_input(http, exchange, &err);
		return;
	}
	call = g_new0(struct cq_caller_call, 1);
	call->exchange = exchange;
	cq_http_exchange_set_user(exchange, call);
	http->handler.request(http->ctx, call, &request);
}

static void on_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct cq_caller_http *http = ctx;
	struct cq_caller_call *call;

	if (is_job_call(http, exchange)) {
		cq_operator_http_pass_aborted(&http->options.jobs,
					      http->options.jobs_ctx, exchange);
		return;
	}
	call = cq_http_exchange_user(exchange);
	/* An exchange whose answer is being written has no call. */
	if (!call)
		return;
	http->handler.aborted(http->ctx, call);
	g_free(call);
}

static void http_answer(void *self, struct cq_caller_call *call,
			const struct cq_answer *answer)
{
	struct cq_http_exchange *exchange = call->exchange;

	cq_http_exchange_set_user(exchange, NULL);
	g_free(call);
	respond(self, exchange, answer);
}

static void http_drain(void *self)
{
	struct cq_caller_http *http = self;

	http->draining = true;
}

static void http_quiesce(void *self)
{
	const struct cq_caller_http *http = self;

	cq_http_server_quiesce(http->server);
}

static uint32_t http_open_count(const void *self)
{
	const struct cq_caller_http *http = self;

	return cq_http_server_open_exchanges(http->server);
}

struct cq_caller_http *
cq_caller_http_create(struct ev_loop *loop,
		      const struct cq_caller_http_options *options,
		      const struct cq_caller_handler *handler, void *ctx,
		      struct cq_error *err)
{
	static const struct cq_http_server_handler server_handler = {
		on_request, on_aborted
	};
	struct cq_caller_http *http = g_new0(struct cq_caller_http, 1);

	http->caller.ops = &caller_ops;
	http->caller.self = http;
	http->options = *options;
	http->handler = *handler;
	http->ctx = ctx;
	http->server = cq_http_server_create(loop, &options->server,
					     &server_handler, http, err);
	if (!http->server) {
		g_free(http);
		return NULL;
	}
	return http;
}

void cq_caller_http_destroy(struct cq_caller_http *http)
{
	if (!http)
		return;
	cq_http_server_destroy(http->server);
	g_free(http);
}

const struct cq_caller *cq_caller_http_get(struct cq_caller_http *http)
{
	return &http->caller;
}

uint16_t cq_caller_http_port(const struct cq_caller_http *http)
{
	return cq_http_server_port(http->server);
}
