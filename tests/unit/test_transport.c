#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/http_client.h"
#include "chestnutquay/http_server.h"
#include "chestnutquay/peer_net.h"
#include "transport/frame.h"

/* Longest wait for a condition; a test that needs it has failed. */
#define GIVE_UP_S 10.0

struct fixture {
	struct ev_loop *loop;
	struct cq_http_server *server;
	struct cq_http_client *client;
	struct cq_http_exchange *held;
	uint32_t handled;
	uint32_t aborted;
	uint32_t done;
	enum cq_http_outcome outcome;
	bool timed_out;
	uint32_t status;
	char *body;
};

static void on_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached");
}

static void run_until(struct ev_loop *loop, const uint32_t *value,
		      uint32_t wanted)
{
	ev_timer give_up;

	ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
	ev_timer_start(loop, &give_up);
	while (*value < wanted)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &give_up);
}

static void handle(void *ctx, struct cq_http_exchange *exchange)
{
	struct fixture *f = ctx;
	const char *path = cq_http_exchange_path(exchange);
	size_t len;
	const char *body = cq_http_exchange_body(exchange, &len);

	f->handled++;
	if (!strcmp(path, "/hold")) {
		f->held = exchange;
		return;
	}
	cq_http_exchange_respond(exchange, 200, NULL, body, len);
}

static void aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct fixture *f = ctx;

	g_assert_true(f->held == exchange);
	f->held = NULL;
	f->aborted++;
}

static void done(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	f->done++;
	f->outcome = result->outcome;
	f->timed_out = result->timed_out;
	f->status = result->status;
	g_free(f->body);
	f->body = g_strndup(result->body, result->body_len);
}

static void setup(struct fixture *f, gconstpointer data)
{
	struct cq_http_server_handler handler = { handle, aborted };
	struct cq_http_server_options options;
	struct cq_error err = CQ_ERROR_INIT;

	(void)data;
	f->loop = ev_loop_new(0);
	cq_http_server_options_init(&options, "127.0.0.1", 0);
	options.max_body_bytes = 1000;
	f->server = cq_http_server_create(f->loop, &options, &handler, f, &err);
	g_assert_cmpint(err.code, ==, CQ_OK);
	f->client = cq_http_client_create(f->loop, 4, 4);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	cq_http_client_destroy(f->client);
	cq_http_server_destroy(f->server);
	ev_loop_destroy(f->loop);
	g_free(f->body);
}

static struct cq_http_call *post(struct fixture *f, const char *path,
				 const char *body, size_t len,
				 uint32_t timeout_ms)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    cq_http_server_port(f->server), path);
	struct cq_http_request request = { .method = "POST",
					   .url = url,
					   .body = body,
					   .body_len = len,
					   .connect_timeout_ms = 1000,
					   .timeout_ms = timeout_ms };
	struct cq_http_call *call =
		cq_http_client_send(f->client, &request, done, f);

	g_free(url);
	return call;
}

/* Guards against an answer that differs from what the handler sent. */
static void test_echo(struct fixture *f, gconstpointer data)
{
	(void)data;
	post(f, "/echo", "hello", 5, 5000);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_cmpuint(f->status, ==, 200);
	g_assert_cmpstr(f->body, ==, "hello");
}

/* Guards against a lost wake-up when the handler answers later. */
static void test_late_answer(struct fixture *f, gconstpointer data)
{
	(void)data;
	post(f, "/hold", "x", 1, 5000);
	run_until(f->loop, &f->handled, 1);
	g_assert_nonnull(f->held);
	cq_http_exchange_respond_json(f->held, 202, "{}");
	run_until(f->loop, &f->done, 1);
	g_assert_cmpuint(f->status, ==, 202);
}

/* Guards against a body over the limit reaching the handler. */
static void test_body_limit(struct fixture *f, gconstpointer data)
{
	char big[2000];

	(void)data;
	memset(big, 'x', sizeof(big));
	post(f, "/echo", big, sizeof(big), 5000);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpuint(f->status, ==, 413);
	g_assert_cmpuint(f->handled, ==, 0);
	g_assert_nonnull(strstr(f->body, "body_too_large"));
}

/* Guards against calling a request "not sent" after it was written. */
static void test_timeout_is_unknown(struct fixture *f, gconstpointer data)
{
	(void)data;
	post(f, "/hold", "x", 1, 100);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, CQ_HTTP_UNKNOWN);
	g_assert_true(f->timed_out);
	run_until(f->loop, &f->aborted, 1);
}

/* Guards against calling a refused connection "unknown". */
static void test_refused_is_not_sent(struct fixture *f, gconstpointer data)
{
	struct cq_http_request request = { .method = "GET",
					   .url = "http://127.0.0.1:1/",
					   .connect_timeout_ms = 1000,
					   .timeout_ms = 1000 };

	(void)data;
	cq_http_client_send(f->client, &request, done, f);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, CQ_HTTP_NOT_SENT);
}

struct dripper {
	int fd;
	ev_timer timer;
	uint32_t closed;
};

static void on_drip(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct dripper *d = timer->data;
	char byte;

	(void)events;
	if (send(d->fd, "x", 1, MSG_NOSIGNAL) == 1 &&
	    recv(d->fd, &byte, 1, MSG_DONTWAIT) != 0)
		return;
	d->closed = 1;
	ev_timer_stop(loop, timer);
}

/*
 * Guards against a client that holds a connection by sending its head, or its
 * body, one byte at a time: each byte restarts libmicrohttpd's own timeout.
 */
static void test_slow_sender(void)
{
	static const char *const starts[] = {
		"POST /echo HTTP/1.1\r\nHost: x\r\nX-Slow: ",
		"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(starts); i++) {
		struct fixture f = { 0 };
		struct cq_http_server_handler handler = { handle, aborted };
		struct cq_http_server_options options;
		struct sockaddr_in address = { .sin_family = AF_INET };
		struct dripper d = { 0 };

		f.loop = ev_loop_new(0);
		cq_http_server_options_init(&options, "127.0.0.1", 0);
		options.idle_timeout_s = 1;
		f.server = cq_http_server_create(f.loop, &options, &handler, &f,
						 NULL);
		address.sin_port = htons(cq_http_server_port(f.server));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		d.fd = socket(AF_INET, SOCK_STREAM, 0);
		g_assert_cmpint(connect(d.fd, (struct sockaddr *)&address,
					sizeof(address)),
				==, 0);
		g_assert_cmpint(send(d.fd, starts[i], strlen(starts[i]),
				     MSG_NOSIGNAL),
				>, 0);
		ev_timer_init(&d.timer, on_drip, 0.1, 0.1);
		d.timer.data = &d;
		ev_timer_start(f.loop, &d.timer);
		run_until(f.loop, &d.closed, 1);
		g_assert_cmpuint(f.handled, ==, 0);
		close(d.fd);
		cq_http_server_destroy(f.server);
		ev_loop_destroy(f.loop);
	}
}

/* Guards against a completion after a call was cancelled. */
static void test_cancel(struct fixture *f, gconstpointer data)
{
	struct cq_http_call *call;

	(void)data;
	call = post(f, "/hold", "x", 1, 5000);
	run_until(f->loop, &f->handled, 1);
	cq_http_call_cancel(call);
	post(f, "/echo", "y", 1, 5000);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpuint(f->done, ==, 1);
	g_assert_cmpstr(f->body, ==, "y");
}

/* Guards against reading past a partial frame or accepting a huge one. */
static void test_frame_table(void)
{
	static const struct {
		const char *name;
		uint8_t data[8];
		size_t len;
		enum cq_frame_status status;
		size_t content_len;
	} cases[] = {
		{ "empty", { 0 }, 0, CQ_FRAME_INCOMPLETE, 0 },
		{ "half header", { 0, 0 }, 2, CQ_FRAME_INCOMPLETE, 0 },
		{ "no content", { 0, 0, 0, 0 }, 4, CQ_FRAME_COMPLETE, 0 },
		{ "short", { 0, 0, 0, 3, 1, 2 }, 6, CQ_FRAME_INCOMPLETE, 0 },
		{ "whole", { 0, 0, 0, 2, 1, 2, 9 }, 7, CQ_FRAME_COMPLETE, 2 },
		{ "huge", { 0xff, 0, 0, 0 }, 4, CQ_FRAME_TOO_LARGE, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const uint8_t *content = NULL;
		size_t content_len = 0;

		g_test_message("%s", cases[i].name);
		g_assert_cmpint(cq_frame_parse(cases[i].data, cases[i].len, 100,
					       &content, &content_len),
				==, cases[i].status);
		g_assert_cmpuint(content_len, ==, cases[i].content_len);
	}
}

struct peer {
	struct cq_peer_net *net;
	uint32_t received;
	char *last;
	char *from;
};

static void on_peer(void *ctx, const struct cq_peer_message *message)
{
	struct peer *p = ctx;

	p->received++;
	g_free(p->last);
	g_free(p->from);
	p->last =
		g_strndup((const char *)message->payload, message->payload_len);
	p->from = g_strdup(message->from_address);
}

static void peer_open(struct peer *p, struct ev_loop *loop,
		      const char *deployment, const char *address)
{
	struct cq_peer_net_options options;
	struct cq_error err = CQ_ERROR_INIT;

	cq_peer_net_options_init(&options);
	options.deployment = deployment;
	options.id = address;
	options.listen_address = address;
	p->net = cq_peer_net_create(loop, &options, on_peer, p, &err);
	g_assert_cmpstr(err.message, ==, "");
}

static void peer_close(struct peer *p)
{
	cq_peer_net_destroy(p->net);
	g_free(p->last);
	g_free(p->from);
}

/*
 * Guards against messages being lost after a peer restarted, and against a
 * peer of another deployment being heard.
 */
static void test_peers(void)
{
	static const uint8_t hello[] = "hello";
	struct ev_loop *loop = ev_loop_new(0);
	struct peer a = { 0 };
	struct peer b = { 0 };
	struct peer stranger = { 0 };

	peer_open(&a, loop, "d1", "127.0.11.1:7101");
	peer_open(&b, loop, "d1", "127.0.11.2:7101");
	peer_open(&stranger, loop, "d2", "127.0.11.3:7101");
	cq_peer_net_send(a.net, "127.0.11.2:7101", CQ_PEER_PING, 1, hello, 5);
	run_until(loop, &b.received, 1);
	g_assert_cmpstr(b.last, ==, "hello");
	g_assert_cmpstr(b.from, ==, "127.0.11.1:7101");
	cq_peer_net_send(stranger.net, "127.0.11.2:7101", CQ_PEER_PING, 1,
			 hello, 5);
	cq_peer_net_send(a.net, "127.0.11.2:7101", CQ_PEER_PING, 2, hello, 4);
	run_until(loop, &b.received, 2);
	g_assert_cmpstr(b.from, ==, "127.0.11.1:7101");
	g_assert_cmpstr(b.last, ==, "hell");
	peer_close(&b);
	memset(&b, 0, sizeof(b));
	peer_open(&b, loop, "d1", "127.0.11.2:7101");
	/* The first send may go into the closed link. */
	while (!b.received) {
		cq_peer_net_send(a.net, "127.0.11.2:7101", CQ_PEER_PING, 3,
				 hello, 3);
		ev_run(loop, EVRUN_ONCE);
	}
	g_assert_cmpstr(b.last, ==, "hel");
	peer_close(&a);
	peer_close(&b);
	peer_close(&stranger);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define HTTP_TEST(name, fn)                                                  \
	g_test_add("/transport/http/" name, struct fixture, NULL, setup, fn, \
		   teardown)
	HTTP_TEST("echo", test_echo);
	HTTP_TEST("late_answer", test_late_answer);
	HTTP_TEST("body_limit", test_body_limit);
	HTTP_TEST("timeout_is_unknown", test_timeout_is_unknown);
	HTTP_TEST("refused_is_not_sent", test_refused_is_not_sent);
	HTTP_TEST("cancel", test_cancel);
	g_test_add_func("/transport/http/slow-sender", test_slow_sender);
	g_test_add_func("/transport/frame/table", test_frame_table);
	g_test_add_func("/transport/peers", test_peers);
	return g_test_run();
}
