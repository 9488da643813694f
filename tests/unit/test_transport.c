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

/* A test fails if a condition is not reached in this time. */
#define MAX_BODY_BYTES 1000
#define MAX_TOTAL_BODY_BYTES 1500
/* More than the server keeps of a request's header */
#define LONG_HEADER_BYTES 40000
#define WAIT_TIMEOUT_S 10.0

struct fixture {
	struct ev_loop *loop;
	struct cq_http_server *server;
	struct cq_http_client *client;
	struct cq_http_exchange *pending;
	uint32_t handled;
	uint32_t aborted;
	uint32_t done;
	enum cq_http_outcome outcome;
	bool timed_out;
	uint32_t status;
	char *body;
};

static void on_wait_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached within the time limit");
}

static void run_until(struct ev_loop *loop, const uint32_t *value,
		      uint32_t wanted)
{
	ev_timer timeout;

	ev_timer_init(&timeout, on_wait_timeout, WAIT_TIMEOUT_S, 0.);
	ev_timer_start(loop, &timeout);
	while (*value < wanted)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &timeout);
}

static void handle(void *ctx, struct cq_http_exchange *exchange)
{
	struct fixture *f = ctx;
	const char *path = cq_http_exchange_path(exchange);
	size_t len;
	const char *body = cq_http_exchange_body(exchange, &len);

	f->handled++;
	if (!strcmp(path, "/hold")) {
		f->pending = exchange;
		return;
	}
	cq_http_exchange_respond(exchange, 200, NULL, body, len);
}

static void aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct fixture *f = ctx;

	g_assert_true(f->pending == exchange);
	f->pending = NULL;
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
	options.max_body_bytes = MAX_BODY_BYTES;
	options.max_total_body_bytes = MAX_TOTAL_BODY_BYTES;
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

/* Guards against a response that differs from what the handler sent. */
static void test_echo(struct fixture *f, gconstpointer data)
{
	(void)data;
	post(f, "/echo", "hello", 5, 5000);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_cmpuint(f->status, ==, 200);
	g_assert_cmpstr(f->body, ==, "hello");
}

/*
 * Guards against calls to one address that are sent over different partitions:
 * each would open connections of its own. One connection an address is allowed
 * here, so that a second one ends the call unsent.
 */
static void test_partitions(struct fixture *f, gconstpointer data)
{
	static const char *const paths[] = { "/echo", "/other", "/echo?a=/b" };
	struct cq_http_server_handler handler = { handle, aborted };
	struct cq_http_server_options options;
	struct cq_http_server *other;
	struct cq_error err = CQ_ERROR_INIT;
	uint32_t sent = 0;
	size_t i;

	(void)data;
	cq_http_client_destroy(f->client);
	f->client = cq_http_client_create_partitioned(f->loop, 4, 64, 16);
	cq_http_client_limit_connections(f->client, 1, 60000);
	cq_http_server_options_init(&options, "127.0.0.1", 0);
	other = cq_http_server_create(f->loop, &options, &handler, f, &err);
	for (i = 0; i < G_N_ELEMENTS(paths); i++) {
		struct cq_http_server *servers[] = { f->server, other };
		size_t k;

		for (k = 0; k < G_N_ELEMENTS(servers); k++) {
			char *url = g_strdup_printf(
				"http://127.0.0.1:%u%s",
				cq_http_server_port(servers[k]), paths[i]);
			struct cq_http_request request = {
				.method = "POST",
				.url = url,
				.body = "x",
				.body_len = 1,
				.connect_timeout_ms = 1000,
				.timeout_ms = 5000,
			};

			cq_http_client_send(f->client, &request, done, f);
			g_free(url);
			run_until(f->loop, &f->done, ++sent);
			g_assert_cmpint(f->outcome, ==, CQ_HTTP_ANSWERED);
		}
	}
	g_assert_cmpuint(cq_http_client_half_closed_count(f->client), ==, 0);
	cq_http_server_destroy(other);
}

/* Guards against a partition whose open calls outlive the client. */
static void test_partitions_cancelled(struct fixture *f, gconstpointer data)
{
	(void)data;
	cq_http_client_destroy(f->client);
	f->client = cq_http_client_create_partitioned(f->loop, 4, 64, 16);
	post(f, "/hold", "x", 1, 5000);
	run_until(f->loop, &f->handled, 1);
	g_assert_cmpuint(cq_http_client_open_calls(f->client), ==, 1);
	cq_http_client_destroy(f->client);
	f->client = NULL;
	run_until(f->loop, &f->aborted, 1);
	g_assert_cmpuint(f->done, ==, 0);
}

/* Guards against a lost wake-up when the handler responds later. */
static void test_late_answer(struct fixture *f, gconstpointer data)
{
	(void)data;
	post(f, "/hold", "x", 1, 5000);
	run_until(f->loop, &f->handled, 1);
	g_assert_nonnull(f->pending);
	cq_http_exchange_respond_json(f->pending, 202, "{}");
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

/* Guards against bodies of several requests that take any memory together. */
static void test_total_body_limit(struct fixture *f, gconstpointer data)
{
	char body[MAX_BODY_BYTES];

	(void)data;
	memset(body, 'x', sizeof(body));
	post(f, "/hold", body, sizeof(body), 5000);
	run_until(f->loop, &f->handled, 1);
	post(f, "/echo", body, sizeof(body), 5000);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpuint(f->status, ==, 503);
	g_assert_cmpuint(f->handled, ==, 1);
	cq_http_exchange_respond_json(f->pending, 200, "{}");
	run_until(f->loop, &f->done, 2);
	post(f, "/echo", body, sizeof(body), 5000);
	run_until(f->loop, &f->done, 3);
	g_assert_cmpuint(f->status, ==, 200);
}

/* Guards against a request whose header fields take any memory. */
static void test_header_limit(struct fixture *f, gconstpointer data)
{
	char *value = g_strnfill(LONG_HEADER_BYTES, 'x');
	char *url = g_strdup_printf("http://127.0.0.1:%u/echo",
				    cq_http_server_port(f->server));
	const struct cq_http_header headers[] = { { "X-Long", value },
						  { NULL, NULL } };
	struct cq_http_request request = { .method = "GET",
					   .url = url,
					   .headers = headers,
					   .connect_timeout_ms = 1000,
					   .timeout_ms = 5000 };

	(void)data;
	cq_http_client_send(f->client, &request, done, f);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpuint(f->handled, ==, 0);
	g_assert_cmpuint(f->status, ==, 431);
	g_free(url);
	g_free(value);
}

/* Guards against reporting a request as not sent after it was written. */
static void test_timeout_is_unknown(struct fixture *f, gconstpointer data)
{
	(void)data;
	post(f, "/hold", "x", 1, 100);
	run_until(f->loop, &f->done, 1);
	g_assert_cmpint(f->outcome, ==, CQ_HTTP_UNKNOWN);
	g_assert_true(f->timed_out);
	run_until(f->loop, &f->aborted, 1);
}

/* Guards against reporting a refused connection as an unknown outcome. */
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

/* Guards against two programs silently sharing one listening address. */
static void test_address_in_use(struct fixture *f, gconstpointer data)
{
	struct cq_http_server_handler handler = { handle, aborted };
	struct cq_http_server_options options;
	struct cq_error err = CQ_ERROR_INIT;

	(void)data;
	cq_http_server_options_init(&options, "127.0.0.1",
				    cq_http_server_port(f->server));
	g_assert_null(
		cq_http_server_create(f->loop, &options, &handler, f, &err));
	g_assert_cmpint(err.code, ==, CQ_ERR_SYSTEM);
	g_assert_nonnull(strstr(err.message, "cannot listen"));
}

/* Guards against listening on all addresses when the address is invalid. */
static void test_no_address(struct fixture *f, gconstpointer data)
{
	static const char *const wrong[] = { "", "127.127.77.1.1", "localhost",
					     "1.2.3" };
	struct cq_http_server_handler handler = { handle, aborted };
	size_t i;

	(void)data;
	for (i = 0; i < G_N_ELEMENTS(wrong); i++) {
		struct cq_http_server_options options;
		struct cq_error err = CQ_ERROR_INIT;

		cq_http_server_options_init(&options, wrong[i], 0);
		g_assert_null(cq_http_server_create(f->loop, &options, &handler,
						    f, &err));
		g_assert_cmpint(err.code, ==, CQ_ERR_INVALID);
		g_assert_nonnull(strstr(err.message, "IPv4 address"));
	}
}

/* A client that sends one byte at a time. */
struct slow_sender {
	int fd;
	ev_timer timer;
	uint32_t closed;
};

static void on_send_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct slow_sender *d = timer->data;
	char byte;

	(void)events;
	if (send(d->fd, "x", 1, MSG_NOSIGNAL) == 1 &&
	    recv(d->fd, &byte, 1, MSG_DONTWAIT) != 0)
		return;
	d->closed = 1;
	ev_timer_stop(loop, timer);
}

/*
 * Guards against a client that occupies a connection by sending the header or
 * the body one byte at a time: each byte restarts libmicrohttpd's own timeout.
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
		struct slow_sender d = { 0 };

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
		ev_timer_init(&d.timer, on_send_timer, 0.1, 0.1);
		d.timer.data = &d;
		ev_timer_start(f.loop, &d.timer);
		run_until(f.loop, &d.closed, 1);
		g_assert_cmpuint(f.handled, ==, 0);
		close(d.fd);
		cq_http_server_destroy(f.server);
		ev_loop_destroy(f.loop);
	}
}

/* Guards against a completion of a cancelled call. */
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
 * Guards against losing all messages after a restart of a peer, and against
 * accepting messages of another deployment.
 */
static void test_peers(void)
{
	static const uint8_t hello[] = "hello";
	struct ev_loop *loop = ev_loop_new(0);
	struct peer a = { 0 };
	struct peer b = { 0 };
	struct peer foreign = { 0 };

	peer_open(&a, loop, "d1", "127.0.11.1:7101");
	peer_open(&b, loop, "d1", "127.0.11.2:7101");
	peer_open(&foreign, loop, "d2", "127.0.11.3:7101");
	cq_peer_net_send(a.net, "127.0.11.2:7101", CQ_PEER_PING, 1, hello, 5);
	run_until(loop, &b.received, 1);
	g_assert_cmpstr(b.last, ==, "hello");
	g_assert_cmpstr(b.from, ==, "127.0.11.1:7101");
	cq_peer_net_send(foreign.net, "127.0.11.2:7101", CQ_PEER_PING, 1, hello,
			 5);
	cq_peer_net_send(a.net, "127.0.11.2:7101", CQ_PEER_PING, 2, hello, 4);
	run_until(loop, &b.received, 2);
	g_assert_cmpstr(b.from, ==, "127.0.11.1:7101");
	g_assert_cmpstr(b.last, ==, "hell");
	peer_close(&b);
	memset(&b, 0, sizeof(b));
	peer_open(&b, loop, "d1", "127.0.11.2:7101");
	/* The first message may be lost on the closed link. */
	while (!b.received) {
		cq_peer_net_send(a.net, "127.0.11.2:7101", CQ_PEER_PING, 3,
				 hello, 3);
		ev_run(loop, EVRUN_ONCE);
	}
	g_assert_cmpstr(b.last, ==, "hel");
	peer_close(&a);
	peer_close(&b);
	peer_close(&foreign);
	ev_loop_destroy(loop);
}

/* Relays a TCP connection until it is told to discard the data. */
struct relay {
	struct ev_loop *loop;
	int listen_fd;
	int from_fd;
	int to_fd;
	bool discard;
	uint32_t accepted;
	ev_io acceptor;
	ev_io forward;
	ev_io backward;
};

static void on_relay_data(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct relay *r = watcher->data;
	char data[4096];
	ssize_t n = read(watcher->fd, data, sizeof(data));

	(void)events;
	if (n <= 0) {
		ev_io_stop(loop, watcher);
		return;
	}
	if (!r->discard)
		g_assert_cmpint(write(watcher->fd == r->from_fd ? r->to_fd
								: r->from_fd,
				      data, (size_t)n),
				==, n);
}

static void relay_close_connection(struct relay *r)
{
	if (r->from_fd < 0)
		return;
	ev_io_stop(r->loop, &r->forward);
	ev_io_stop(r->loop, &r->backward);
	close(r->from_fd);
	close(r->to_fd);
	r->from_fd = -1;
}

static void on_relay_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct relay *r = watcher->data;
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(7101) };

	(void)events;
	relay_close_connection(r);
	r->accepted++;
	r->discard = false;
	r->from_fd = accept(r->listen_fd, NULL, NULL);
	r->to_fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.12.2", &to.sin_addr);
	g_assert_cmpint(connect(r->to_fd, (struct sockaddr *)&to, sizeof(to)),
			==, 0);
	ev_io_init(&r->forward, on_relay_data, r->from_fd, EV_READ);
	ev_io_init(&r->backward, on_relay_data, r->to_fd, EV_READ);
	r->forward.data = r;
	r->backward.data = r;
	ev_io_start(loop, &r->forward);
	ev_io_start(loop, &r->backward);
}

static void relay_open(struct relay *r, struct ev_loop *loop)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons(7102) };
	int on = 1;

	r->loop = loop;
	r->from_fd = -1;
	r->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.12.9", &at.sin_addr);
	setsockopt(r->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	g_assert_cmpint(bind(r->listen_fd, (struct sockaddr *)&at, sizeof(at)),
			==, 0);
	listen(r->listen_fd, 8);
	ev_io_init(&r->acceptor, on_relay_accept, r->listen_fd, EV_READ);
	r->acceptor.data = r;
	ev_io_start(loop, &r->acceptor);
}

/*
 * Guards against using a link further after a middlebox has stopped forwarding
 * its data, which it still acknowledges.
 */
static void test_silent_link(void)
{
	static const uint8_t hello[] = "hello";
	struct ev_loop *loop = ev_loop_new(0);
	struct cq_peer_net_options options;
	struct cq_error err = CQ_ERROR_INIT;
	struct peer a = { 0 };
	struct peer b = { 0 };
	struct relay relay = { 0 };
	ev_timer timeout;

	relay_open(&relay, loop);
	peer_open(&b, loop, "d1", "127.0.12.2:7101");
	cq_peer_net_options_init(&options);
	options.deployment = "d1";
	options.id = "a";
	options.listen_address = "127.0.12.1:7101";
	options.silence_timeout_ms = 300;
	a.net = cq_peer_net_create(loop, &options, on_peer, &a, &err);
	cq_peer_net_send(a.net, "127.0.12.9:7102", CQ_PEER_PING, 1, hello, 5);
	run_until(loop, &b.received, 1);
	relay.discard = true;
	ev_timer_init(&timeout, on_wait_timeout, WAIT_TIMEOUT_S, 0.);
	ev_timer_start(loop, &timeout);
	while (relay.accepted < 2) {
		cq_peer_net_send(a.net, "127.0.12.9:7102", CQ_PEER_PING, 2,
				 hello, 4);
		ev_run(loop, EVRUN_ONCE);
	}
	ev_timer_stop(loop, &timeout);
	run_until(loop, &b.received, 2);
	g_assert_cmpstr(b.last, ==, "hell");
	peer_close(&a);
	peer_close(&b);
	relay_close_connection(&relay);
	ev_io_stop(loop, &relay.acceptor);
	close(relay.listen_fd);
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
	HTTP_TEST("total_body_limit", test_total_body_limit);
	HTTP_TEST("header_limit", test_header_limit);
	HTTP_TEST("timeout_is_unknown", test_timeout_is_unknown);
	HTTP_TEST("refused_is_not_sent", test_refused_is_not_sent);
	HTTP_TEST("address_in_use", test_address_in_use);
	HTTP_TEST("no_address", test_no_address);
	HTTP_TEST("cancel", test_cancel);
	HTTP_TEST("partitions", test_partitions);
	HTTP_TEST("partitions_cancelled", test_partitions_cancelled);
	g_test_add_func("/transport/http/slow-sender", test_slow_sender);
	g_test_add_func("/transport/frame/table", test_frame_table);
	g_test_add_func("/transport/peers", test_peers);
	g_test_add_func("/transport/silent_link", test_silent_link);
	return g_test_run();
}
