/* TCP proxy that can delay, hold back or reset its connections. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define CHUNK_BYTES 16384
#define MAX_QUEUED_BYTES (1U << 20)
#define SLOW_DELAY_S 0.3
#define BACKLOG 256

/* Bytes of one read that wait to be forwarded. */
struct chunk {
	double due_s; /* loop time from which the bytes may be written */
	size_t len;
	size_t written;
	char bytes[];
};

/* One direction of a connection. */
struct pipe {
	struct connection *connection;
	int from;
	int to;
	bool towards_target;
	bool ended; /* the sender has closed its end */
	size_t queued_bytes;
	GQueue chunks;
	ev_io readable;
	ev_io writable;
	ev_timer due;
};

struct connection {
	struct soak_proxy *proxy;
	int client;
	int target;
	struct pipe request;
	struct pipe answer;
};

struct soak_proxy {
	struct ev_loop *loop;
	struct sockaddr_in target;
	int listener;
	enum soak_link link;
	ev_io acceptable;
	GPtrArray *connections;
};

static void pipe_forward(struct pipe *pipe);

static void pipe_close(struct pipe *pipe)
{
	struct ev_loop *loop = pipe->connection->proxy->loop;

	ev_io_stop(loop, &pipe->readable);
	ev_io_stop(loop, &pipe->writable);
	ev_timer_stop(loop, &pipe->due);
	g_queue_clear_full(&pipe->chunks, g_free);
}

static void connection_free(void *data)
{
	struct connection *c = data;

	pipe_close(&c->request);
	pipe_close(&c->answer);
	close(c->client);
	close(c->target);
	g_free(c);
}

static void connection_end(struct connection *c)
{
	g_ptr_array_remove_fast(c->proxy->connections, c);
}

static bool is_held(const struct pipe *pipe)
{
	switch (pipe->connection->proxy->link) {
	case SOAK_LINK_SILENT:
		return true;
	case SOAK_LINK_NO_REQUESTS:
		return pipe->towards_target;
	case SOAK_LINK_NO_ANSWERS:
		return !pipe->towards_target;
	default:
		return false;
	}
}

static void on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	pipe_forward(timer->data);
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)events;
	ev_io_stop(loop, watcher);
	pipe_forward(watcher->data);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct pipe *pipe = watcher->data;
	struct soak_proxy *proxy = pipe->connection->proxy;
	struct chunk *chunk = g_malloc(sizeof(*chunk) + CHUNK_BYTES);
	ssize_t len = read(pipe->from, chunk->bytes, CHUNK_BYTES);

	(void)events;
	if (len < 0 && (errno == EAGAIN || errno == EINTR)) {
		g_free(chunk);
		return;
	}
	if (len < 0) {
		g_free(chunk);
		connection_end(pipe->connection);
		return;
	}
	chunk->due_s = ev_now(loop) +
		       (proxy->link == SOAK_LINK_SLOW ? SLOW_DELAY_S : 0);
	chunk->len = (size_t)len;
	chunk->written = 0;
	pipe->ended |= len == 0;
	pipe->queued_bytes += chunk->len;
	g_queue_push_tail(&pipe->chunks, chunk);
	if (pipe->ended || pipe->queued_bytes > MAX_QUEUED_BYTES)
		ev_io_stop(loop, watcher);
	pipe_forward(pipe);
}

/* Returns whether all bytes are written. An empty chunk ends the stream. */
static bool write_chunk(struct pipe *pipe, struct chunk *chunk)
{
	ssize_t len;

	if (!chunk->len) {
		shutdown(pipe->to, SHUT_WR);
		return true;
	}
	len = send(pipe->to, chunk->bytes + chunk->written,
		   chunk->len - chunk->written, MSG_NOSIGNAL);
	if (len > 0)
		chunk->written += (size_t)len;
	return chunk->written == chunk->len;
}

static void pipe_forward(struct pipe *pipe)
{
	struct connection *c = pipe->connection;
	struct ev_loop *loop = c->proxy->loop;

	while (!is_held(pipe) && !g_queue_is_empty(&pipe->chunks)) {
		struct chunk *chunk = g_queue_peek_head(&pipe->chunks);
		double left_s = chunk->due_s - ev_now(loop);

		if (left_s > 0) {
			ev_timer_stop(loop, &pipe->due);
			ev_timer_set(&pipe->due, left_s, 0.);
			ev_timer_start(loop, &pipe->due);
			return;
		}
		errno = 0;
		if (!write_chunk(pipe, chunk)) {
			if (errno && errno != EAGAIN && errno != ENOTCONN)
				connection_end(c);
			else
				ev_io_start(loop, &pipe->writable);
			return;
		}
		pipe->queued_bytes -= chunk->len;
		g_free(g_queue_pop_head(&pipe->chunks));
	}
	if (!pipe->ended && pipe->queued_bytes <= MAX_QUEUED_BYTES)
		ev_io_start(loop, &pipe->readable);
	if (c->request.ended && c->answer.ended &&
	    g_queue_is_empty(&c->request.chunks) &&
	    g_queue_is_empty(&c->answer.chunks))
		connection_end(c);
}

static void pipe_open(struct pipe *pipe, struct connection *c, int from, int to)
{
	pipe->connection = c;
	pipe->from = from;
	pipe->to = to;
	pipe->towards_target = from == c->client;
	g_queue_init(&pipe->chunks);
	ev_io_init(&pipe->readable, on_readable, from, EV_READ);
	ev_io_init(&pipe->writable, on_writable, to, EV_WRITE);
	ev_timer_init(&pipe->due, on_due, 0., 0.);
	pipe->readable.data = pipe;
	pipe->writable.data = pipe;
	pipe->due.data = pipe;
	ev_io_start(c->proxy->loop, &pipe->readable);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct soak_proxy *proxy = watcher->data;
	struct connection *c;
	int client = accept4(proxy->listener, NULL, NULL, SOCK_NONBLOCK);
	int target;

	(void)loop;
	(void)events;
	if (client < 0)
		return;
	target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (target < 0 || (connect(target, (struct sockaddr *)&proxy->target,
				   sizeof(proxy->target)) &&
			   errno != EINPROGRESS)) {
		perror("soak: connect");
		close(client);
		if (target >= 0)
			close(target);
		return;
	}
	c = g_new0(struct connection, 1);
	c->proxy = proxy;
	c->client = client;
	c->target = target;
	pipe_open(&c->request, c, client, target);
	pipe_open(&c->answer, c, target, client);
	g_ptr_array_add(proxy->connections, c);
}

static struct sockaddr_in address_of(const char *ip, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };

	if (inet_pton(AF_INET, ip, &address.sin_addr) != 1)
		g_error("'%s' is not an IPv4 address", ip);
	return address;
}

struct soak_proxy *soak_proxy_create(struct ev_loop *loop,
				     const char *listen_ip, uint16_t port,
				     const char *target_ip,
				     uint16_t target_port)
{
	struct soak_proxy *proxy = g_new0(struct soak_proxy, 1);
	struct sockaddr_in own = address_of(listen_ip, port);
	int on = 1;

	proxy->loop = loop;
	proxy->target = address_of(target_ip, target_port);
	proxy->connections = g_ptr_array_new_with_free_func(connection_free);
	proxy->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	setsockopt(proxy->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(proxy->listener, (struct sockaddr *)&own, sizeof(own)) ||
	    listen(proxy->listener, BACKLOG)) {
		fprintf(stderr, "soak: cannot listen on %s:%u: %s\n", listen_ip,
			port, strerror(errno));
		exit(EXIT_FAILURE);
	}
	ev_io_init(&proxy->acceptable, on_accept, proxy->listener, EV_READ);
	proxy->acceptable.data = proxy;
	ev_io_start(loop, &proxy->acceptable);
	return proxy;
}

void soak_proxy_destroy(struct soak_proxy *proxy)
{
	if (!proxy)
		return;
	ev_io_stop(proxy->loop, &proxy->acceptable);
	g_ptr_array_unref(proxy->connections);
	close(proxy->listener);
	g_free(proxy);
}

void soak_proxy_set_link(struct soak_proxy *proxy, enum soak_link link)
{
	guint i;

	proxy->link = link;
	/* Iterates backwards: forwarding may remove the connection. */
	for (i = proxy->connections->len; i-- > 0;) {
		struct connection *c = proxy->connections->pdata[i];
		guint before = proxy->connections->len;

		pipe_forward(&c->request);
		if (proxy->connections->len == before)
			pipe_forward(&c->answer);
	}
}

void soak_proxy_reset(struct soak_proxy *proxy)
{
	const struct linger now = { .l_onoff = 1, .l_linger = 0 };
	guint i;

	for (i = 0; i < proxy->connections->len; i++) {
		const struct connection *c = proxy->connections->pdata[i];

		setsockopt(c->client, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		setsockopt(c->target, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}
	g_ptr_array_set_size(proxy->connections, 0);
}
