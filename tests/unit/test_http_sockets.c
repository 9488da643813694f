/* Connections that are closed here and may still be open at the other side. */
#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/http_client.h"

/* Longest wait for a condition; a test that needs it has failed. */
#define GIVE_UP_S 10.0
#define LIMIT 2
/* Longer than a test may wait: only the other side ends the count. */
#define LONG_HOLD_MS 60000
#define SHORT_HOLD_MS 200
#define MAX_PEERS 8

enum other_side {
	CLOSES,	      /* when it reads the end of the stream */
	RESETS,	      /* likewise, with a reset */
	CLOSES_FIRST, /* at once */
	KEEPS,	      /* for good */
	REFUSES,      /* takes no connection */
};

struct peer {
	ev_io io;
	enum other_side side;
};

struct fixture {
	struct ev_loop *loop;
	struct cq_http_client *client;
	enum other_side side;
	int listener;
	char url[64];
	ev_io accept;
	struct peer peers[MAX_PEERS];
	uint32_t accepted;
	uint32_t done;
	enum cq_http_outcome outcome;
	bool full;
};

static int64_t now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

static void peer_end(struct ev_loop *loop, struct peer *peer)
{
	struct linger reset = { .l_onoff = 1 };

	if (peer->side == RESETS)
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
	peer->side = f->side;
	ev_io_init(&peer->io, on_peer, fd, EV_READ);
	peer->io.data = peer;
	if (f->side == CLOSES_FIRST)
		peer_end(loop, peer);
	else if (f->side != KEEPS)
		ev_io_start(loop, &peer->io);
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	f->done++;
	f->outcome = result->outcome;
	f->full = result->connection_limit_reached;
}

static void on_give_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("condition not reached");
}

static void run_until(struct fixture *f, uint32_t done, uint32_t held)
{
	ev_timer give_up;

	ev_timer_init(&give_up, on_give_up, GIVE_UP_S, 0.);
	ev_timer_start(f->loop, &give_up);
	while (f->done < done || cq_http_client_held(f->client) > held)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &give_up);
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
	if (f->side == REFUSES)
		return;
	g_assert_false(listen(f->listener, 16));
	ev_io_start(f->loop, &f->accept);
}

/*
 * Guards against more connections at the other side than the limit, when it
 * does not see that some were closed, and against a limit that connections use
 * up which both sides have closed.
 */
static void test_limit(void)
{
	static const struct {
		const char *name;
		enum other_side side;
		uint32_t hold_ms;
		bool full;
	} cases[] = {
		{ "the other side closes", CLOSES, LONG_HOLD_MS, false },
		{ "the other side resets", RESETS, LONG_HOLD_MS, false },
		{ "the other side closes first", CLOSES_FIRST, LONG_HOLD_MS,
		  false },
		{ "the other side refuses", REFUSES, LONG_HOLD_MS, false },
		{ "the other side keeps it", KEEPS, LONG_HOLD_MS, true },
		{ "the other side keeps it till the deadline", KEEPS,
		  SHORT_HOLD_MS, false },
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { .side = cases[i].side };
		int64_t begin_ns = now_ns();
		uint32_t accepted;

		g_test_message("%s", cases[i].name);
		f.loop = ev_loop_new(0);
		f.client = cq_http_client_create(f.loop, LIMIT, LIMIT);
		cq_http_client_limit(f.client, LIMIT, cases[i].hold_ms);
		open_listener(&f);
		for (n = 0; n < LIMIT; n++)
			send_call(&f);
		run_until(&f, LIMIT, LIMIT);
		if (!cases[i].full) {
			run_until(&f, LIMIT, 0);
			if (f.side == KEEPS)
				g_assert_cmpint(now_ns() - begin_ns, >=,
						SHORT_HOLD_MS * CQ_NS_PER_MS);
		}
		accepted = f.accepted;
		send_call(&f);
		run_until(&f, LIMIT + 1, LIMIT);
		g_assert_true(f.full == cases[i].full);
		if (f.full) {
			g_assert_cmpint(f.outcome, ==, CQ_HTTP_NOT_SENT);
			g_assert_cmpuint(f.accepted, ==, accepted);
		}
		ev_io_stop(f.loop, &f.accept);
		cq_http_client_destroy(f.client);
		close(f.listener);
		for (n = 0; n < (int)f.accepted; n++)
			if (f.side == KEEPS || ev_is_active(&f.peers[n].io))
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
