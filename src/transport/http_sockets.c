#include "transport/http_sockets.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct http_sockets {
	struct ev_loop *loop;
	GHashTable *sockets; /* fd -> struct held, owned */
	GHashTable *counts;  /* address -> number of sockets */
	uint32_t limit;
	double hold_s;
	uint32_t held;
};

struct held {
	struct http_sockets *sockets;
	int fd;
	gint64 address; /* key in counts */
	bool closed;
	ev_io end;
	ev_timer deadline;
};

static void held_free(void *data);
static void change_count(struct http_sockets *sockets, gint64 address,
			 int change);
static void on_end(struct ev_loop *loop, ev_io *watcher, int events);
static void on_deadline(struct ev_loop *loop, ev_timer *timer, int events);
static void await_end(struct held *held);
static void get_info(int fd, struct tcp_info *info);
static bool was_reset(const struct tcp_info *info);

struct http_sockets *http_sockets_create(struct ev_loop *loop, uint32_t limit,
					 uint32_t hold_ms)
{
	struct http_sockets *sockets = g_new0(struct http_sockets, 1);

	sockets->loop = loop;
	sockets->limit = limit;
	sockets->hold_s = hold_ms / 1000.0;
	sockets->sockets = g_hash_table_new_full(NULL, NULL, NULL, held_free);
	sockets->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, NULL);
	return sockets;
}

void http_sockets_destroy(struct http_sockets *sockets)
{
	if (!sockets)
		return;
	g_hash_table_destroy(sockets->sockets);
	g_hash_table_destroy(sockets->counts);
	g_free(sockets);
}

uint32_t http_sockets_held(const struct http_sockets *sockets)
{
	return sockets->held;
}

static void change_count(struct http_sockets *sockets, gint64 address,
			 int change)
{
	int count = GPOINTER_TO_INT(
			    g_hash_table_lookup(sockets->counts, &address)) +
		    change;

	if (count)
		g_hash_table_insert(sockets->counts,
				    g_memdup2(&address, sizeof(address)),
				    GINT_TO_POINTER(count));
	else
		g_hash_table_remove(sockets->counts, &address);
}

static void held_free(void *data)
{
	struct held *held = data;
	struct http_sockets *sockets = held->sockets;

	ev_io_stop(sockets->loop, &held->end);
	ev_timer_stop(sockets->loop, &held->deadline);
	close(held->fd);
	sockets->held -= held->closed;
	change_count(sockets, held->address, -1);
	g_free(held);
}

curl_socket_t http_sockets_open(struct http_sockets *sockets,
				const struct curl_sockaddr *address, bool *full)
{
	const struct sockaddr_in *in =
		(const struct sockaddr_in *)(const void *)&address->addr;
	gint64 key = (gint64)in->sin_addr.s_addr << 16 | in->sin_port;
	gpointer count = g_hash_table_lookup(sockets->counts, &key);
	struct held *held;
	int fd;

	*full = GPOINTER_TO_UINT(count) >= sockets->limit;
	if (*full)
		return CURL_SOCKET_BAD;
	fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
		    address->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	held = g_new0(struct held, 1);
	held->sockets = sockets;
	held->fd = fd;
	held->address = key;
	ev_io_init(&held->end, on_end, fd, EV_READ);
	ev_timer_init(&held->deadline, on_deadline, sockets->hold_s, 0.);
	held->end.data = held;
	held->deadline.data = held;
	g_hash_table_insert(sockets->sockets, GINT_TO_POINTER(fd), held);
	change_count(sockets, key, 1);
	return fd;
}

static void get_info(int fd, struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	memset(info, 0, sizeof(*info));
	getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &len);
}

/*
 * A connection that ended with an error either was reset by the other side or
 * got no acknowledgements; only then something was sent again.
 */
static bool was_reset(const struct tcp_info *info)
{
	return info->tcpi_state == TCP_CLOSE && !info->tcpi_retransmits &&
	       !info->tcpi_probes;
}

void http_sockets_close(struct http_sockets *sockets, curl_socket_t fd)
{
	struct held *held =
		g_hash_table_lookup(sockets->sockets, GINT_TO_POINTER(fd));
	struct tcp_info info;

	get_info(fd, &info);
	/* A handshake leaves a round-trip time. */
	if (!info.tcpi_rtt || was_reset(&info)) {
		g_hash_table_remove(sockets->sockets, GINT_TO_POINTER(fd));
		return;
	}
	held->closed = true;
	sockets->held++;
	ev_now_update(sockets->loop);
	ev_timer_start(sockets->loop, &held->deadline);
	if (!shutdown(fd, SHUT_WR))
		await_end(held);
}

/* Whatever still arrives is discarded. */
static void await_end(struct held *held)
{
	char buffer[4096];
	ssize_t n;

	do
		n = recv(held->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	while (n > 0 || (n < 0 && errno == EINTR));
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
		ev_io_start(held->sockets->loop, &held->end);
		return;
	}
	ev_io_stop(held->sockets->loop, &held->end);
	/* Any other error says nothing about the other side. */
	if (!n || errno == ECONNRESET)
		g_hash_table_remove(held->sockets->sockets,
				    GINT_TO_POINTER(held->fd));
}

static void on_end(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	await_end(watcher->data);
}

static void on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct held *held = timer->data;

	(void)loop;
	(void)events;
	g_hash_table_remove(held->sockets->sockets, GINT_TO_POINTER(held->fd));
}
