#include <glib.h>
#include <string.h>

#include "chestnutquay/http_client.h"
#include "chestnutquay/operator.h"

/* Time limit of a wait for a condition; a test that reaches it fails. */
#define WAIT_LIMIT_S 10.0

struct fixture {
	struct ev_loop *loop;
	struct cq_operator_http *http;
	struct cq_http_client *client;
	struct cq_operator_exchange *held;
	bool hold;	   /* leave exchanges open */
	uint32_t status;   /* of the response to send */
	const char *reply; /* NULL: echo the call, see on_request() */
	uint32_t requests, aborted, done;
	uint32_t got_status;
	char *got_body;
};

static void on_wait_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("time limit of the wait reached");
}

static void run_until(struct fixture *f, const uint32_t *value, uint32_t least)
{
	ev_timer limit;

	ev_timer_init(&limit, on_wait_limit, WAIT_LIMIT_S, 0.);
	ev_timer_start(f->loop, &limit);
	while (*value < least)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &limit);
}

static const char *or_none(const char *text)
{
	return text ? text : "none";
}

/* Responds with the method, path, parameter, header and body it received. */
static void on_request(void *ctx, struct cq_operator_exchange *exchange)
{
	struct fixture *f = ctx;
	size_t len;
	const char *body = cq_operator_exchange_body(exchange, &len);
	char *text;

	f->requests++;
	if (f->hold) {
		f->held = exchange;
		return;
	}
	g_assert_cmpuint(strlen(body), ==, len);
	text = g_strdup_printf(
		"%s %s r=%s key=%s %s", cq_operator_exchange_method(exchange),
		cq_operator_exchange_path(exchange),
		or_none(cq_operator_exchange_query(exchange, "r")),
		or_none(cq_operator_exchange_header(exchange,
						    "Idempotency-Key")),
		body);
	cq_operator_exchange_respond_json(exchange, f->status,
					  f->reply ? f->reply : text);
	g_free(text);
}

static void on_aborted(void *ctx, struct cq_operator_exchange *exchange)
{
	struct fixture *f = ctx;

	g_assert_true(exchange == f->held);
	f->held = NULL;
	f->aborted++;
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	g_assert_cmpint(result->outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_cmpstr(cq_http_result_header(result, "Content-Type"), ==,
			"application/json");
	f->got_status = result->status;
	f->got_body = g_strndup(result->body, result->body_len);
	f->done++;
}

static struct cq_http_call *send_call(struct fixture *f, const char *method,
				      const char *target, const char *key,
				      const char *body)
{
	const struct cq_http_header headers[] = {
		{ key ? "Idempotency-Key" : "Accept", key ? key : "*/*" },
		{ NULL, NULL },
	};
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    cq_operator_http_port(f->http), target);
	struct cq_http_request request = {
		.method = method,
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.connect_timeout_ms = 1000,
		.timeout_ms = 9000,
		.max_answer_bytes = 10000,
	};
	struct cq_http_call *call =
		cq_http_client_send(f->client, &request, on_done, f);

	g_free(url);
	return call;
}

static void setup(struct fixture *f, gconstpointer data)
{
	static const struct cq_operator_handler handler = { on_request,
							    on_aborted };
	struct cq_http_server_options options;
	struct cq_error err = CQ_ERROR_INIT;

	(void)data;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	cq_http_server_options_init(&options, "127.0.0.1", 0);
	f->http = cq_operator_http_create(f->loop, &options, &handler, f, &err);
	g_assert_nonnull(f->http);
	f->client = cq_http_client_create(f->loop, 4, 4);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	cq_http_client_destroy(f->client);
	cq_operator_http_destroy(f->http);
	ev_loop_destroy(f->loop);
}

/* Guards against losing a part of a call or of its response. */
static void test_contract(struct fixture *f, gconstpointer data)
{
	static const struct {
		const char *method, *target, *key, *body;
		uint32_t status;
		const char *reply;
		const char *expected;
	} cases[] = {
		{ "GET", "/v1/jobs", NULL, NULL, 200, NULL,
		  "GET /v1/jobs r=none key=none " },
		{ "PUT", "/v1/settings/global?r=41", NULL, "{\"a\":1}", 200,
		  NULL, "PUT /v1/settings/global r=41 key=none {\"a\":1}" },
		{ "POST", "/v1/jobs", "1764840000000-a", "{}", 202, NULL,
		  "POST /v1/jobs r=none key=1764840000000-a {}" },
		{ "DELETE", "/v1/jobs/j1?r=", NULL, NULL, 409, "{\"error\":{}}",
		  "{\"error\":{}}" },
		{ "GET", "/v1/status", NULL, NULL, 503, "", "" },
	};
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f->status = cases[i].status;
		f->reply = cases[i].reply;
		f->done = 0;
		send_call(f, cases[i].method, cases[i].target, cases[i].key,
			  cases[i].body);
		run_until(f, &f->done, 1);
		g_assert_cmpuint(f->got_status, ==, cases[i].status);
		g_assert_cmpstr(f->got_body, ==, cases[i].expected);
		g_free(f->got_body);
	}
	g_assert_cmpuint(f->aborted, ==, 0);
}

/*
 * Guards against an exchange that ends twice or never when its client
 * disconnects or the listener is destroyed while the exchange is open.
 */
static void test_aborted(struct fixture *f, gconstpointer data)
{
	struct cq_http_call *call;

	(void)data;
	f->hold = true;
	call = send_call(f, "GET", "/v1/status", NULL, NULL);
	run_until(f, &f->requests, 1);
	cq_http_call_cancel(call);
	run_until(f, &f->aborted, 1);
	send_call(f, "GET", "/v1/status", NULL, NULL);
	run_until(f, &f->requests, 2);
	cq_operator_http_destroy(f->http);
	f->http = NULL;
	g_assert_cmpuint(f->aborted, ==, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/operator/contract", struct fixture, NULL, setup,
		   test_contract, teardown);
	g_test_add("/operator/aborted", struct fixture, NULL, setup,
		   test_aborted, teardown);
	return g_test_run();
}
