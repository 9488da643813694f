#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/endpoint_pool.h"
#include "chestnutquay/http_client.h"

/* Longest wait for a condition; a test that needs it has failed. */
#define GIVE_UP_S 10.0

/*
 * A server that answers every connection's first request with fixed bytes.
 * "%ID" in them stands for the request id.
 */
struct scripted {
	struct ev_loop *loop;
	int fd;
	int client_fd;
	uint16_t port;
	ev_io accept_watcher;
	ev_io read_watcher;
	const char *answer; /* NULL: keeps quiet */
	bool close_at_once;
	GString *received;
};

struct result {
	bool done;
	enum cq_endpoint_outcome outcome;
	bool leaving;
	uint32_t status;
	char *body;
};

static void on_read(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct scripted *s = watcher->data;
	char buffer[4096];
	ssize_t n = read(watcher->fd, buffer, sizeof(buffer));
	const char *id;
	char *text;
	char **parts;

	(void)events;
	if (n <= 0) {
		ev_io_stop(loop, watcher);
		return;
	}
	g_string_append_len(s->received, buffer, n);
	if (!strstr(s->received->str, "\r\n\r\n") || !s->answer)
		return;
	id = strstr(s->received->str, "Request-Id: ") + strlen("Request-Id: ");
	text = g_strndup(id, strcspn(id, "\r"));
	parts = g_strsplit(s->answer, "%ID", -1);
	g_free(text);
	text = g_strjoinv("request-1", parts);
	g_assert_cmpint(write(watcher->fd, text, strlen(text)), >=, 0);
	g_strfreev(parts);
	g_free(text);
	ev_io_stop(loop, watcher);
	shutdown(watcher->fd, SHUT_WR);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct scripted *s = watcher->data;

	(void)events;
	s->client_fd = accept(watcher->fd, NULL, NULL);
	if (s->close_at_once) {
		close(s->client_fd);
		s->client_fd = -1;
		return;
	}
	ev_io_init(&s->read_watcher, on_read, s->client_fd, EV_READ);
	s->read_watcher.data = s;
	ev_io_start(loop, &s->read_watcher);
}

static void scripted_open(struct scripted *s, struct ev_loop *loop)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	s->loop = loop;
	s->client_fd = -1;
	s->received = g_string_new(NULL);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	g_assert_cmpint(bind(s->fd, (struct sockaddr *)&address, len), ==, 0);
	g_assert_cmpint(listen(s->fd, 8), ==, 0);
	getsockname(s->fd, (struct sockaddr *)&address, &len);
	s->port = ntohs(address.sin_port);
	ev_io_init(&s->accept_watcher, on_accept, s->fd, EV_READ);
	s->accept_watcher.data = s;
	ev_io_start(loop, &s->accept_watcher);
}

static void scripted_close(struct scripted *s)
{
	ev_io_stop(s->loop, &s->accept_watcher);
	if (s->client_fd >= 0) {
		ev_io_stop(s->loop, &s->read_watcher);
		close(s->client_fd);
	}
	close(s->fd);
	g_string_free(s->received, TRUE);
}

static void on_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("no completion");
}

static void on_done(void *ctx, const struct cq_endpoint_result *result)
{
	struct result *r = ctx;

	g_assert_false(r->done);
	r->done = true;
	r->outcome = result->outcome;
	r->leaving = result->leaving;
	r->status = result->status;
	r->body = g_strndup(result->body ? result->body : "", result->body_len);
}

/* Guards against a call that is classified as more certain than it is. */
static void test_outcomes(void)
{
	static const struct {
		const char *name;
		const char *answer;
		gboolean refuse_connection, close_at_once;
		enum cq_endpoint_outcome outcome;
		gboolean leaving;
		const char *body;
	} cases[] = {
		{ "whole",
		  "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n"
		  "Content-Length: 2\r\n\r\nok",
		  false, false, CQ_ENDPOINT_ANSWERED, false, "ok" },
		{ "chunked",
		  "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		  false, false, CQ_ENDPOINT_ANSWERED, false, "ok" },
		{ "chunked, cut",
		  "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		  false, false, CQ_ENDPOINT_BROKEN, false, "" },
		{ "own error",
		  "HTTP/1.1 500 X\r\nRequest-Id: %ID\r\n"
		  "Content-Length: 0\r\n\r\n",
		  false, false, CQ_ENDPOINT_ANSWERED, false, "" },
		{ "cut body",
		  "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n"
		  "Content-Length: 5\r\n\r\nok",
		  false, false, CQ_ENDPOINT_BROKEN, false, "" },
		{ "no length", "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n\r\nok",
		  false, false, CQ_ENDPOINT_BROKEN, false, "" },
		/* libcurl takes the cut for the end of the head. */
		{ "cut head", "HTTP/1.1 200 OK\r\nRequest-I", false, false,
		  CQ_ENDPOINT_MISMATCHED, false, "" },
		{ "not HTTP", "hello\r\n\r\n", false, false, CQ_ENDPOINT_BROKEN,
		  false, "" },
		{ "another id",
		  "HTTP/1.1 200 OK\r\nRequest-Id: request-2\r\n"
		  "Content-Length: 2\r\n\r\nok",
		  false, false, CQ_ENDPOINT_MISMATCHED, false, "" },
		{ "no id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		  false, false, CQ_ENDPOINT_MISMATCHED, false, "" },
		{ "leaving",
		  "HTTP/1.1 503 X\r\nRequest-Id: %ID\r\nEndpoint-State: "
		  "leaving\r\nContent-Length: 0\r\n\r\n",
		  false, false, CQ_ENDPOINT_REFUSED, true, "" },
		{ "full",
		  "HTTP/1.1 503 X\r\nRequest-Id: %ID\r\nEndpoint-State: "
		  "full\r\nContent-Length: 0\r\n\r\n",
		  false, false, CQ_ENDPOINT_REFUSED, false, "" },
		{ "leaving, of another request",
		  "HTTP/1.1 503 X\r\nRequest-Id: request-2\r\nEndpoint-State: "
		  "leaving\r\nContent-Length: 0\r\n\r\n",
		  false, false, CQ_ENDPOINT_MISMATCHED, false, "" },
		{ "503 of the request itself",
		  "HTTP/1.1 503 X\r\nRequest-Id: %ID\r\n"
		  "Content-Length: 0\r\n\r\n",
		  false, false, CQ_ENDPOINT_ANSWERED, false, "" },
		{ "too big",
		  "HTTP/1.1 200 OK\r\nRequest-Id: %ID\r\n"
		  "Content-Length: 30\r\n\r\n012345678901234567890123456789",
		  false, false, CQ_ENDPOINT_BROKEN, false, "" },
		{ "keeps quiet", NULL, false, false, CQ_ENDPOINT_TIMED_OUT,
		  false, "" },
		{ "refused connection", NULL, true, false, CQ_ENDPOINT_NOT_SENT,
		  false, "" },
		{ "closed at once", NULL, false, true, CQ_ENDPOINT_BROKEN,
		  false, "" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct ev_loop *loop = ev_loop_new(0);
		struct cq_http_client *client =
			cq_http_client_create(loop, 4, 4);
		struct cq_endpoint_http_options options = { 1000, 20, "probe" };
		struct cq_endpoint_http *http =
			cq_endpoint_http_create(client, &options);
		const struct cq_endpoint *endpoint = cq_endpoint_http_get(http);
		struct scripted s = { .answer = cases[i].answer,
				      .close_at_once = cases[i].close_at_once };
		struct result result = { 0 };
		struct cq_endpoint_call call = {
			.request_id = "request-1",
			.path = "run",
			.content_type = "text/plain",
			.workspace = "w",
			.class_name = "c",
			.body = "body",
			.body_len = 4,
			.timeout_ms = 300,
			.fresh_connection = true,
		};
		char address[32];
		ev_timer give_up;

		g_test_message("%s", cases[i].name);
		scripted_open(&s, loop);
		g_snprintf(address, sizeof(address), "127.0.0.1:%u",
			   cases[i].refuse_connection ? 1 : s.port);
		call.address = address;
		endpoint->ops->call(endpoint->self, &call, on_done, &result);
		ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
		ev_timer_start(loop, &give_up);
		while (!result.done)
			ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &give_up);
		g_assert_cmpstr(cq_endpoint_outcome_string(result.outcome), ==,
				cq_endpoint_outcome_string(cases[i].outcome));
		g_assert_cmpint(result.leaving, ==, cases[i].leaving);
		g_assert_cmpstr(result.body, ==, cases[i].body);
		g_free(result.body);
		scripted_close(&s);
		cq_endpoint_http_destroy(http);
		cq_http_client_destroy(client);
		ev_loop_destroy(loop);
	}
}

struct pool_fixture {
	struct cq_slots *slots;
	struct cq_endpoint_pool *pool;
	struct cq_host hosts[10];
	int64_t now_ns;
};

static void pool_setup(struct pool_fixture *f, gconstpointer data)
{
	static const char *const ids[10] = { "e0", "e1", "e2", "e3", "e4",
					     "e5", "e6", "e7", "e8", "e9" };
	struct cq_slots_options slots_options = { .index_count = 1 };
	struct cq_pool_options options;
	int i;

	(void)data;
	f->slots = cq_slots_create(&slots_options);
	cq_pool_options_init(&options);
	f->pool = cq_endpoint_pool_create(&options, f->slots, 7);
	for (i = 0; i < 10; i++)
		f->hosts[i] = (struct cq_host){ .id = ids[i],
						.address = "10.0.0.1:80",
						.data_centre = "dc",
						.kind = CQ_HOST_ENDPOINT,
						.slots = 8 };
	f->now_ns = CQ_NS_PER_S;
	cq_endpoint_pool_update(f->pool, "dc", f->hosts, 10, f->now_ns);
}

static void pool_teardown(struct pool_fixture *f, gconstpointer data)
{
	(void)data;
	cq_endpoint_pool_destroy(f->pool);
	cq_slots_destroy(f->slots);
}

static void end_call(struct pool_fixture *f, const char *id,
		     enum cq_endpoint_outcome outcome, uint32_t status,
		     bool leaving)
{
	struct cq_pool_endpoint *e = cq_endpoint_pool_find(f->pool, id);
	struct cq_endpoint_result result = { .outcome = outcome,
					     .status = status,
					     .leaving = leaving };
	struct cq_slots_endpoint *slots = cq_pool_endpoint_slots(e);
	struct cq_slots_grant grant;

	g_assert_true(cq_slots_take(f->slots, slots, f->now_ns, &grant));
	cq_pool_call_started(f->pool, e, f->now_ns);
	cq_slots_put(f->slots, slots, &grant);
	cq_pool_call_ended(f->pool, e, f->now_ns, &result, f->now_ns);
}

static uint32_t picks_of(struct pool_fixture *f, const char *id)
{
	uint32_t n = 0;
	int i;

	for (i = 0; i < 200; i++) {
		struct cq_pool_endpoint *e =
			cq_endpoint_pool_pick(f->pool, NULL, f->now_ns);

		n += e && !strcmp(cq_pool_endpoint_id(e), id);
	}
	return n;
}

/* Guards against new work for an endpoint that leaves or fails. */
static void test_pool_signals(struct pool_fixture *f, gconstpointer data)
{
	static const struct {
		const char *name;
		enum cq_endpoint_outcome outcome;
		uint32_t status;
		gboolean leaving;
		int times;
		gboolean usable;
	} cases[] = {
		{ "answers", CQ_ENDPOINT_ANSWERED, 200, false, 9, true },
		{ "says leaving", CQ_ENDPOINT_REFUSED, 503, true, 1, false },
		{ "refuses connections", CQ_ENDPOINT_NOT_SENT, 0, false, 1,
		  false },
		{ "fails everything", CQ_ENDPOINT_ANSWERED, 500, false, 5,
		  false },
		{ "breaks answers", CQ_ENDPOINT_BROKEN, 0, false, 3, false },
		{ "crosses answers", CQ_ENDPOINT_MISMATCHED, 0, false, 3,
		  false },
		{ "never answers", CQ_ENDPOINT_TIMED_OUT, 0, false, 3, false },
	};
	size_t i;
	int n;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		pool_teardown(f, NULL);
		pool_setup(f, NULL);
		g_test_message("%s", cases[i].name);
		for (n = 0; n < cases[i].times; n++)
			end_call(f, "e3", cases[i].outcome, cases[i].status,
				 cases[i].leaving);
		g_assert_cmpint(picks_of(f, "e3") > 0, ==, cases[i].usable);
	}
}

/* Guards against a host list entry "leaving" that is ignored. */
static void test_pool_list_leaving(struct pool_fixture *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpuint(picks_of(f, "e3"), >, 0);
	f->hosts[3].state = CQ_HOST_LEAVING;
	cq_endpoint_pool_update(f->pool, "dc", f->hosts, 10, f->now_ns);
	g_assert_cmpuint(picks_of(f, "e3"), ==, 0);
}

/* Guards against ejection that empties the fleet. */
static void test_pool_cap(struct pool_fixture *f, gconstpointer data)
{
	struct cq_pool_summary summary;
	int i;
	int n;

	(void)data;
	for (i = 0; i < 10; i++)
		for (n = 0; n < 6; n++)
			end_call(f, f->hosts[i].id, CQ_ENDPOINT_BROKEN, 0,
				 false);
	cq_endpoint_pool_summary(f->pool, f->now_ns, &summary);
	g_assert_cmpuint(summary.ejected, ==, 5);
	g_assert_nonnull(cq_endpoint_pool_pick(f->pool, NULL, f->now_ns));
}

static void end_probe(struct pool_fixture *f, struct cq_pool_endpoint *e,
		      uint32_t status)
{
	struct cq_endpoint_result result = { .outcome = CQ_ENDPOINT_ANSWERED,
					     .status = status };

	cq_pool_call_started(f->pool, e, f->now_ns);
	cq_pool_probe_ended(f->pool, e, &result, f->now_ns);
}

/* Guards against an endpoint that never comes back, or all at once. */
static void test_pool_recovery(struct pool_fixture *f, gconstpointer data)
{
	struct cq_pool_endpoint *e = cq_endpoint_pool_find(f->pool, "e3");
	int n;

	(void)data;
	for (n = 0; n < 5; n++)
		end_call(f, "e3", CQ_ENDPOINT_ANSWERED, 500, false);
	g_assert_null(cq_endpoint_pool_next_probe(f->pool, f->now_ns));
	f->now_ns += 2 * CQ_NS_PER_S;
	g_assert_true(cq_endpoint_pool_next_probe(f->pool, f->now_ns) == e);
	end_probe(f, e, 500);
	g_assert_cmpint(cq_pool_endpoint_health(e), ==, CQ_POOL_EJECTED);
	/* Twice as long after a failed probe. */
	f->now_ns += CQ_NS_PER_S;
	g_assert_null(cq_endpoint_pool_next_probe(f->pool, f->now_ns));
	f->now_ns += 2 * CQ_NS_PER_S;
	g_assert_true(cq_endpoint_pool_next_probe(f->pool, f->now_ns) == e);
	end_probe(f, e, 200);
	g_assert_cmpint(cq_pool_endpoint_health(e), ==, CQ_POOL_TRIAL);
	for (n = 0; n < 3; n++)
		end_call(f, "e3", CQ_ENDPOINT_ANSWERED, 200, false);
	g_assert_cmpint(cq_pool_endpoint_health(e), ==, CQ_POOL_HEALTHY);
}

/* Guards against new work for an endpoint that owes all its answers. */
static void test_pool_silence(struct pool_fixture *f, gconstpointer data)
{
	struct cq_pool_endpoint *e = cq_endpoint_pool_find(f->pool, "e3");

	(void)data;
	cq_pool_call_started(f->pool, e, f->now_ns);
	f->now_ns += 900 * CQ_NS_PER_MS;
	cq_endpoint_pool_tick(f->pool, 20 * CQ_NS_PER_MS, f->now_ns);
	g_assert_cmpint(cq_pool_endpoint_health(e), ==, CQ_POOL_HEALTHY);
	f->now_ns += 200 * CQ_NS_PER_MS;
	cq_endpoint_pool_tick(f->pool, 20 * CQ_NS_PER_MS, f->now_ns);
	g_assert_cmpint(cq_pool_endpoint_health(e), ==, CQ_POOL_EJECTED);
	g_assert_true(cq_pool_endpoint_needs_new_connection(e, f->now_ns));
	/* Long work is no fault: the probe brings it back at once. */
	g_assert_true(cq_endpoint_pool_next_probe(f->pool, f->now_ns) == e);
	end_probe(f, e, 404);
	g_assert_cmpint(cq_pool_endpoint_health(e), ==, CQ_POOL_HEALTHY);
}

/*
 * Guards against an endpoint that stays without work after one failure, since
 * the others have free slots and only an answer of its own would clear it.
 */
static void test_pool_recheck(struct pool_fixture *f, gconstpointer data)
{
	struct cq_pool_endpoint *e = cq_endpoint_pool_find(f->pool, "e3");

	(void)data;
	end_call(f, "e3", CQ_ENDPOINT_BROKEN, 0, false);
	g_assert_cmpuint(picks_of(f, "e3"), ==, 0);
	cq_endpoint_pool_tick(f->pool, 20 * CQ_NS_PER_MS, f->now_ns);
	g_assert_null(cq_endpoint_pool_next_probe(f->pool, f->now_ns));
	f->now_ns += 2 * CQ_NS_PER_S;
	cq_endpoint_pool_tick(f->pool, 20 * CQ_NS_PER_MS, f->now_ns);
	g_assert_true(cq_endpoint_pool_next_probe(f->pool, f->now_ns) == e);
	end_probe(f, e, 200);
	g_assert_cmpuint(picks_of(f, "e3"), >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/endpoint/outcomes", test_outcomes);
#define ADD(path, fn)                                               \
	g_test_add(path, struct pool_fixture, NULL, pool_setup, fn, \
		   pool_teardown)
	ADD("/pool/signals", test_pool_signals);
	ADD("/pool/list-leaving", test_pool_list_leaving);
	ADD("/pool/cap", test_pool_cap);
	ADD("/pool/recovery", test_pool_recovery);
	ADD("/pool/silence", test_pool_silence);
	ADD("/pool/recheck", test_pool_recheck);
	return g_test_run();
}
