/* Connection limit for connections that the server may still have open. */
#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/http_client.h"

/* A test fails if a condition is not reached in this time. */
#define WAIT_TIMEOUT_S 10.0
#define LIMIT 2
/* Longer than a test may take, so that only the server's close matters. */
#define LONG_CLOSE_TIMEOUT_MS 60000
#define SHORT_CLOSE_TIMEOUT_MS 200
#define MAX_PEERS 8

enum server_behaviour {
	CLOSES,	      /* closes after the client */
	RESETS,	      /* resets after the client has closed */
	CLOSES_FIRST, /* closes immediately after the accept */
	KEEPS,	      /* never closes */
	REFUSES,      /* refuses connections */
};

struct peer {
	ev_io io;
	enum server_behaviour behaviour;
};

struct fixture {
	struct ev_loop *loop;
	struct cq_http_client *client;
	enum server_behaviour behaviour;
	int listener;
	char url[64];
	ev_io accept;
	struct peer peers[MAX_PEERS];
	uint32_t accepted;
	uint32_t done;
	enum cq_http_outcome outcome;
	bool limit_reached;
};

static int64_t now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

static void peer_end(struct ev_loop *loop, struct peer *peer)
{
	struct linger reset = { .l_onoff = 1 };

	if (peer->behaviour == RESETS)
		setsockopt(peer->io.fd, SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
	ev_io_stop(loop, &peer->io);
	close(peer->io.fd);
}

static void on_peer(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct peer *peer = watcher->data;
	char buffer[4096];

	(void)events;
	if (recv(watcher->fd, buffer, sizeof(buffer), 0) <= 0)
		peer_end(loop, peer);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct fixture *f = watcher->data;
	struct peer *peer = &f->peers[f->accepted++];
	int fd = accept(watcher->fd, NULL, NULL);

	(void)events;
	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpuint(f->accepted, <, MAX_PEERS);
	peer->behaviour = f->behaviour;
	ev_io_init(&peer->io, on_peer, fd, EV_READ);
	peer->io.data = peer;
	if (f->behaviour == CLOSES_FIRST)
		peer_end(loop, peer);
	else if (f->behaviour != KEEPS)
		ev_io_start(loop, &peer->io);
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	f->done++;
	f->outcome = result->outcome;
	f->limit_reached = result->connection_limit_reached;
}

static void on_wait_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached within the time limit");
}

static void run_until(struct fixture *f, uint32_t done, uint32_t half_closed)
{
	ev_timer timeout;

	ev_timer_init(&timeout, on_wait_timeout, WAIT_TIMEOUT_S, 0.);
	ev_timer_start(f->loop, &timeout);
	while (f->done < done ||
	       cq_http_client_half_closed_count(f->client) > half_closed)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &timeout);
}

static void send_call(struct fixture *f)
{
	struct cq_http_request request = {
		.method = "POST",
		.url = f->url,
		.connect_timeout_ms = 2000,
		.timeout_ms = 50,
		.fresh_connection = true,
	};

	cq_http_client_send(f->client, &request, on_done, f);
}

static void open_listener(struct fixture *f)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_false(bind(f->listener, (struct sockaddr *)&address, len));
	getsockname(f->listener, (struct sockaddr *)&address, &len);
	g_snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u/",
		   ntohs(address.sin_port));
	ev_io_init(&f->accept, on_accept, f->listener, EV_READ);
	f->accept.data = f;
	if (f->behaviour == REFUSES)
		return;
	g_assert_false(listen(f->listener, 16));
	ev_io_start(f->loop, &f->accept);
}

/*
 * Guards against exceeding the limit at a server that did not notice that the
 * client has closed some connections, and against connections that still count
 * after both sides have closed them.
 */
static void test_limit(void)
{
	static const struct {
		const char *name;
		enum server_behaviour behaviour;
		uint32_t close_timeout_ms;
		bool limit_reached;
	} cases[] = {
		{ "the server closes", CLOSES, LONG_CLOSE_TIMEOUT_MS, false },
		{ "the server resets", RESETS, LONG_CLOSE_TIMEOUT_MS, false },
		{ "the server closes first", CLOSES_FIRST,
		  LONG_CLOSE_TIMEOUT_MS, false },
		{ "the server refuses", REFUSES, LONG_CLOSE_TIMEOUT_MS, false },
		{ "the server keeps it", KEEPS, LONG_CLOSE_TIMEOUT_MS, true },
		{ "the server keeps it till the deadline", KEEPS,
		  SHORT_CLOSE_TIMEOUT_MS, false },
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { .behaviour = cases[i].behaviour };
		int64_t begin_ns = now_ns();
		uint32_t accepted;

		g_test_message("%s", cases[i].name);
		f.loop = ev_loop_new(0);
		f.client = cq_http_client_create(f.loop, LIMIT, LIMIT);
		cq_http_client_limit_connections(f.client, LIMIT,
						 cases[i].close_timeout_ms);
		open_listener(&f);
		for (n = 0; n < LIMIT; n++)
			send_call(&f);
		run_until(&f, LIMIT, LIMIT);
		if (!cases[i].limit_reached) {
			run_until(&f, LIMIT, 0);
			if (f.behaviour == KEEPS)
				g_assert_cmpint(now_ns() - begin_ns, >=,
						SHORT_CLOSE_TIMEOUT_MS *
							CQ_NS_PER_MS);
		}
		accepted = f.accepted;
		send_call(&f);
		run_until(&f, LIMIT + 1, LIMIT);
		g_assert_true(f.limit_reached == cases[i].limit_reached);
		if (f.limit_reached) {
			g_assert_cmpint(f.outcome, ==, CQ_HTTP_NOT_SENT);
			g_assert_cmpuint(f.accepted, ==, accepted);
		}
		ev_io_stop(f.loop, &f.accept);
		cq_http_client_destroy(f.client);
		close(f.listener);
		for (n = 0; n < (int)f.accepted; n++)
			if (f.behaviour == KEEPS ||
			    ev_is_active(&f.peers[n].io))
				peer_end(f.loop, &f.peers[n]);
		ev_loop_destroy(f.loop);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-sockets/limit", test_limit);
	return g_test_run();
}
