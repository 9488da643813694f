/* A request whose connection is reset after the server has carried it out. */
#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/http_client.h"

/* A test fails if a condition is not reached in this time. */
#define WAIT_TIMEOUT_S 10.0
#define MAX_PEERS 8
/* Larger than the request buffer of libcurl, which sends it in parts. */
#define LARGE_BODY_BYTES 300000

static const char ok_answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
static const char refusal[] =
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

struct fixture;

struct peer {
	ev_io io;
	struct fixture *f;
	GString *received;
};

/*
 * A server that carries each request out. It answers the first one, resets the
 * connection of the second one before the answer, and answers 503 from then on.
 */
struct fixture {
	struct ev_loop *loop;
	struct cq_http_client *client;
	int listener;
	char url[64];
	ev_io accept;
	struct peer peers[MAX_PEERS];
	uint32_t accepted;
	uint32_t requests;
	uint32_t may_send_calls;
	uint32_t done;
	enum cq_http_outcome outcome;
	uint32_t status;
};

static void peer_close(struct peer *peer, bool reset)
{
	struct linger linger = { .l_onoff = 1 };

	if (reset)
		setsockopt(peer->io.fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	ev_io_stop(peer->f->loop, &peer->io);
	close(peer->io.fd);
	g_string_free(peer->received, TRUE);
	peer->received = NULL;
}

static void peer_answer(const struct peer *peer, const char *answer)
{
	g_assert_cmpint(send(peer->io.fd, answer, strlen(answer), MSG_NOSIGNAL),
			==, (ssize_t)strlen(answer));
}

/* Whether a whole request with its body has been received. */
static bool is_whole(const GString *received)
{
	static const char field[] = "Content-Length: ";
	const char *end = strstr(received->str, "\r\n\r\n");
	const char *length = strstr(received->str, field);
	guint64 body = 0;

	if (!end)
		return false;
	if (length && length < end)
		body = g_ascii_strtoull(length + strlen(field), NULL, 10);
	return received->len >=
	       (gsize)(end - received->str) + strlen("\r\n\r\n") + body;
}

static void serve(struct peer *peer)
{
	struct fixture *f = peer->f;

	g_string_truncate(peer->received, 0);
	f->requests++;
	if (f->requests == 1)
		peer_answer(peer, ok_answer);
	else if (f->requests == 2)
		peer_close(peer, true);
	else
		peer_answer(peer, refusal);
}

static void on_peer(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct peer *peer = watcher->data;
	char buffer[65536];
	ssize_t len = recv(watcher->fd, buffer, sizeof(buffer), 0);

	(void)loop;
	(void)events;
	if (len <= 0) {
		peer_close(peer, false);
		return;
	}
	g_string_append_len(peer->received, buffer, len);
	if (is_whole(peer->received))
		serve(peer);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct fixture *f = watcher->data;
	struct peer *peer;
	int fd = accept(watcher->fd, NULL, NULL);

	(void)events;
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpuint(f->accepted, <, MAX_PEERS);
	peer = &f->peers[f->accepted++];
	peer->f = f;
	peer->received = g_string_new(NULL);
	ev_io_init(&peer->io, on_peer, fd, EV_READ);
	peer->io.data = peer;
	ev_io_start(loop, &peer->io);
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	f->done++;
	f->outcome = result->outcome;
	f->status = result->status;
}

static void on_wait_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached within the time limit");
}

static void run_until_done(struct fixture *f, uint32_t done)
{
	ev_timer timeout;

	ev_timer_init(&timeout, on_wait_timeout, WAIT_TIMEOUT_S, 0.);
	ev_timer_start(f->loop, &timeout);
	while (f->done < done)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &timeout);
}

static void setup(struct fixture *f)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	f->loop = ev_loop_new(0);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(f->listener, (struct sockaddr *)&address, len), ==,
			0);
	g_assert_cmpint(listen(f->listener, MAX_PEERS), ==, 0);
	getsockname(f->listener, (struct sockaddr *)&address, &len);
	snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u/",
		 ntohs(address.sin_port));
	ev_io_init(&f->accept, on_accept, f->listener, EV_READ);
	f->accept.data = f;
	ev_io_start(f->loop, &f->accept);
	f->client = cq_http_client_create(f->loop, 4, 4);
}

static void teardown(struct fixture *f)
{
	uint32_t i;

	cq_http_client_destroy(f->client);
	for (i = 0; i < f->accepted; i++)
		if (f->peers[i].received)
			peer_close(&f->peers[i], false);
	ev_io_stop(f->loop, &f->accept);
	close(f->listener);
	ev_loop_destroy(f->loop);
}

static bool count_may_send(void *ctx)
{
	struct fixture *f = ctx;

	f->may_send_calls++;
	return true;
}

struct resend_case {
	const char *name;
	const char *method;
	size_t body_len;
	bool ask_may_send;
};

static const struct resend_case cases[] = {
	{ "post", "POST", 2, false },
	{ "post_without_body", "POST", 0, false },
	{ "post_large_body", "POST", LARGE_BODY_BYTES, false },
	{ "post_with_permission", "POST", 2, true },
	{ "put", "PUT", 2, false },
	{ "delete", "DELETE", 0, false },
	{ "get", "GET", 0, false },
};

static void send_case(struct fixture *f, const struct resend_case *c,
		      const char *body)
{
	struct cq_http_request request = {
		.method = c->method,
		.url = f->url,
		.body = body,
		.body_len = c->body_len,
		.connect_timeout_ms = 5000,
		.timeout_ms = 5000,
		.may_send = c->ask_may_send ? count_may_send : NULL,
		.may_send_ctx = f,
	};

	cq_http_client_send(f->client, &request, on_done, f);
}

/*
 * Guards against a request that libcurl sends a second time by itself after a
 * reset: the refusal of the second copy hid that the first was carried out.
 */
static void test_reset_is_unknown(gconstpointer data)
{
	const struct resend_case *c = data;
	char *body = g_strnfill(LARGE_BODY_BYTES, 'x');
	struct fixture f = { 0 };

	setup(&f);
	send_case(&f, c, body);
	run_until_done(&f, 1);
	g_assert_cmpint(f.outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_cmpuint(f.status, ==, 200);
	send_case(&f, c, body);
	run_until_done(&f, 2);
	g_assert_cmpint(f.outcome, ==, CQ_HTTP_UNKNOWN);
	g_assert_cmpuint(f.requests, ==, 2);
	/* The next call is a new request, which the server refuses. */
	send_case(&f, c, body);
	run_until_done(&f, 3);
	g_assert_cmpint(f.outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_cmpuint(f.status, ==, 503);
	g_assert_cmpuint(f.requests, ==, 3);
	/* The reset call may ask once more before it gives up. */
	if (c->ask_may_send)
		g_assert_cmpuint(f.may_send_calls, ==, 3);
	teardown(&f);
	g_free(body);
}

/*
 * Guards against a request reported as unknown of which nothing was written:
 * the server had closed the idle connection before.
 */
static void test_closed_idle_connection(void)
{
	static const struct resend_case post = { "", "POST", 2, false };
	struct fixture f = { 0 };

	setup(&f);
	send_case(&f, &post, "{}");
	run_until_done(&f, 1);
	peer_close(&f.peers[0], false);
	f.requests = 0; /* the next request is answered with 200 */
	send_case(&f, &post, "{}");
	run_until_done(&f, 2);
	g_assert_cmpint(f.outcome, ==, CQ_HTTP_ANSWERED);
	g_assert_cmpuint(f.status, ==, 200);
	g_assert_cmpuint(f.requests, ==, 1);
	teardown(&f);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/http_resend/reset_is_unknown/",
					 cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_reset_is_unknown);
		g_free(path);
	}
	g_test_add_func("/http_resend/closed_idle_connection",
			test_closed_idle_connection);
	return g_test_run();
}
