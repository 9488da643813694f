#include "chestnutquay/endpoint.h"

#include <glib.h>
#include <string.h>

#include "protocol/http_calls.h"

struct cq_endpoint_http {
	struct cq_endpoint endpoint;
	struct cq_http_calls *calls;
	char *probe_path;
};

struct call {
	struct cq_http_calls_entry entry;
	char *request_id;
	cq_endpoint_done_fn *done;
	void *ctx;
};

static void call(void *self, const struct cq_endpoint_call *request,
		 cq_endpoint_done_fn *done, void *ctx);
static void probe(void *self, const char *address, const char *request_id,
		  uint32_t timeout_ms, cq_endpoint_done_fn *done, void *ctx);
static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *result);
static void classify(const struct call *c, const struct cq_http_result *result,
		     struct cq_endpoint_result *out);
static void call_free(gpointer data);

static const char *const outcome_strings[] = {
	[CQ_ENDPOINT_ANSWERED] = "answered",
	[CQ_ENDPOINT_REFUSED] = "refused",
	[CQ_ENDPOINT_NOT_SENT] = "not_sent",
	[CQ_ENDPOINT_BROKEN] = "broken",
	[CQ_ENDPOINT_MISMATCHED] = "crossed",
	[CQ_ENDPOINT_TIMED_OUT] = "silent",
};

static const struct cq_endpoint_ops endpoint_ops = { call, probe };

const char *cq_endpoint_outcome_string(enum cq_endpoint_outcome outcome)
{
	return outcome_strings[outcome];
}

struct cq_endpoint_http *
cq_endpoint_http_create(struct cq_http_client *client,
			const struct cq_endpoint_http_options *options)
{
	const struct cq_http_calls_options calls = {
		.connect_timeout_ms = options->connect_timeout_ms,
		.max_answer_bytes = options->max_answer_bytes,
		.done = on_done,
		.free_entry = call_free,
	};
	struct cq_endpoint_http *http = g_new0(struct cq_endpoint_http, 1);

	http->endpoint.ops = &endpoint_ops;
	http->endpoint.self = http;
	http->probe_path = g_strdup(options->probe_path);
	http->calls = cq_http_calls_create(client, &calls);
	return http;
}

void cq_endpoint_http_destroy(struct cq_endpoint_http *http)
{
	if (!http)
		return;
	cq_http_calls_destroy(http->calls);
	g_free(http->probe_path);
	g_free(http);
}

const struct cq_endpoint *cq_endpoint_http_get(struct cq_endpoint_http *http)
{
	return &http->endpoint;
}

static void call_free(gpointer data)
{
	struct call *c = data;

	g_free(c->request_id);
	g_free(c);
}

static void call(void *self, const struct cq_endpoint_call *request,
		 cq_endpoint_done_fn *done, void *ctx)
{
	struct cq_endpoint_http *http = self;
	struct call *c = g_new0(struct call, 1);
	char *path = g_strdup_printf("/%s", request->path);
	const char *type = request->content_type;
	const struct cq_http_header headers[] = {
		{ "Request-Id", request->request_id },
		{ "Content-Type",
		  type && *type ? type : "application/octet-stream" },
		{ "Cq-Workspace", request->workspace },
		{ "Cq-Class", request->class_name },
		{ NULL, NULL },
	};
	struct cq_http_request http_request = {
		.method = "POST",
		.headers = headers,
		.body = request->body,
		.body_len = request->body_len,
		.timeout_ms = request->timeout_ms,
		.fresh_connection = request->fresh_connection,
	};

	c->request_id = g_strdup(request->request_id);
	c->done = done;
	c->ctx = ctx;
	cq_http_calls_send(http->calls, request->address, path, &http_request,
			   &c->entry);
	g_free(path);
}

static void probe(void *self, const char *address, const char *request_id,
		  uint32_t timeout_ms, cq_endpoint_done_fn *done, void *ctx)
{
	struct cq_endpoint_http *http = self;
	struct cq_endpoint_call request = {
		.address = address,
		.request_id = request_id,
		.path = http->probe_path,
		.workspace = "-",
		.class_name = "-",
		.timeout_ms = timeout_ms,
		.fresh_connection = true,
	};

	call(self, &request, done, ctx);
}

/*
 * Endpoint-State marks a refusal before the request ran. A 503 without it may
 * come from the request itself, so it proves nothing.
 */
static void classify(const struct call *c, const struct cq_http_result *result,
		     struct cq_endpoint_result *out)
{
	const char *state;
	const char *echo;
	const char *type;

	out->content_type = "";
	out->body = "";
	if (result->outcome == CQ_HTTP_NOT_SENT) {
		/* No fault of the endpoint: it has no connection for us. */
		out->outcome = result->connection_limit_reached
				       ? CQ_ENDPOINT_REFUSED
				       : CQ_ENDPOINT_NOT_SENT;
		return;
	}
	if (result->outcome == CQ_HTTP_UNKNOWN) {
		out->outcome = result->timed_out ? CQ_ENDPOINT_TIMED_OUT
						 : CQ_ENDPOINT_BROKEN;
		return;
	}
	echo = cq_http_result_header(result, "Request-Id");
	if (!echo || strcmp(echo, c->request_id) != 0) {
		out->outcome = CQ_ENDPOINT_MISMATCHED;
		return;
	}
	out->status = result->status;
	/* Without a length, an answer cut short looks like a whole one. */
	if (!cq_http_result_header(result, "Content-Length") &&
	    !cq_http_result_header(result, "Transfer-Encoding")) {
		out->outcome = CQ_ENDPOINT_BROKEN;
		return;
	}
	state = cq_http_result_header(result, "Endpoint-State");
	if (result->status == 503 && state) {
		out->leaving = !strcmp(state, "leaving");
		if (out->leaving || !strcmp(state, "full")) {
			out->outcome = CQ_ENDPOINT_REFUSED;
			return;
		}
	}
	type = cq_http_result_header(result, "Content-Type");
	out->outcome = CQ_ENDPOINT_ANSWERED;
	out->content_type = type ? type : "";
	out->body = result->body;
	out->body_len = result->body_len;
}

static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *result)
{
	const struct call *c = (struct call *)entry;
	struct cq_endpoint_result out = { 0 };

	classify(c, result, &out);
	c->done(c->ctx, &out);
}
