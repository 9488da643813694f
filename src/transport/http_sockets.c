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
	GHashTable *sockets; /* fd -> struct tracked_socket, owned */
	GHashTable *counts;  /* address and port -> number of sockets */
	uint32_t max_per_address;
	double close_timeout_s;
	uint32_t half_closed; /* number of half-closed sockets */
};

struct tracked_socket {
	struct http_sockets *sockets;
	int fd;
	gint64 address; /* key of counts */
	bool closed;	/* the client has closed it */
	ev_io reader;
	ev_timer close_timer;
};

static void tracked_socket_free(void *data);
static void adjust_count(struct http_sockets *sockets, gint64 address,
			 int change);
static void on_readable(struct ev_loop *loop, ev_io *watcher, int events);
static void on_close_timeout(struct ev_loop *loop, ev_timer *timer, int events);
static void drain_until_eof(struct tracked_socket *tracked);
static void get_tcp_info(int fd, struct tcp_info *info);
static bool was_reset(const struct tcp_info *info);

struct http_sockets *http_sockets_create(struct ev_loop *loop,
					 uint32_t max_per_address,
					 uint32_t close_timeout_ms)
{
	struct http_sockets *sockets = g_new0(struct http_sockets, 1);

	sockets->loop = loop;
	sockets->max_per_address = max_per_address;
	sockets->close_timeout_s = close_timeout_ms / 1000.0;
	sockets->sockets =
		g_hash_table_new_full(NULL, NULL, NULL, tracked_socket_free);
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

uint32_t http_sockets_half_closed_count(const struct http_sockets *sockets)
{
	return sockets->half_closed;
}

static void adjust_count(struct http_sockets *sockets, gint64 address,
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

static void tracked_socket_free(void *data)
{
	struct tracked_socket *tracked = data;
	struct http_sockets *sockets = tracked->sockets;

	ev_io_stop(sockets->loop, &tracked->reader);
	ev_timer_stop(sockets->loop, &tracked->close_timer);
	close(tracked->fd);
	sockets->half_closed -= tracked->closed;
	adjust_count(sockets, tracked->address, -1);
	g_free(tracked);
}

curl_socket_t http_sockets_open(struct http_sockets *sockets,
				const struct curl_sockaddr *address,
				bool *limit_reached)
{
	const struct sockaddr_in *in =
		(const struct sockaddr_in *)(const void *)&address->addr;
	gint64 key = (gint64)in->sin_addr.s_addr << 16 | in->sin_port;
	gpointer count = g_hash_table_lookup(sockets->counts, &key);
	struct tracked_socket *tracked;
	int fd;

	*limit_reached = GPOINTER_TO_UINT(count) >= sockets->max_per_address;
	if (*limit_reached)
		return CURL_SOCKET_BAD;
	fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
		    address->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	tracked = g_new0(struct tracked_socket, 1);
	tracked->sockets = sockets;
	tracked->fd = fd;
	tracked->address = key;
	ev_io_init(&tracked->reader, on_readable, fd, EV_READ);
	ev_timer_init(&tracked->close_timer, on_close_timeout,
		      sockets->close_timeout_s, 0.);
	tracked->reader.data = tracked;
	tracked->close_timer.data = tracked;
	g_hash_table_insert(sockets->sockets, GINT_TO_POINTER(fd), tracked);
	adjust_count(sockets, key, 1);
	return fd;
}

static void get_tcp_info(int fd, struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	memset(info, 0, sizeof(*info));
	getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &len);
}

/*
 * Tells whether the server reset the connection. TCP also closes a connection
 * that gets no acknowledgements, but only after retransmissions or probes.
 */
static bool was_reset(const struct tcp_info *info)
{
	return info->tcpi_state == TCP_CLOSE && !info->tcpi_retransmits &&
	       !info->tcpi_probes;
}

void http_sockets_close(struct http_sockets *sockets, curl_socket_t fd)
{
	struct tracked_socket *tracked =
		g_hash_table_lookup(sockets->sockets, GINT_TO_POINTER(fd));
	struct tcp_info info;

	get_tcp_info(fd, &info);
	/* Without a round-trip time, the handshake never completed. */
	if (!info.tcpi_rtt || was_reset(&info)) {
		g_hash_table_remove(sockets->sockets, GINT_TO_POINTER(fd));
		return;
	}
	tracked->closed = true;
	sockets->half_closed++;
	ev_now_update(sockets->loop);
	ev_timer_start(sockets->loop, &tracked->close_timer);
	if (!shutdown(fd, SHUT_WR))
		drain_until_eof(tracked);
}

/* Discards received data; releases the socket at end of file or reset. */
static void drain_until_eof(struct tracked_socket *tracked)
{
	char buffer[4096];
	ssize_t n;

	do
		n = recv(tracked->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	while (n > 0 || (n < 0 && errno == EINTR));
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
		ev_io_start(tracked->sockets->loop, &tracked->reader);
		return;
	}
	ev_io_stop(tracked->sockets->loop, &tracked->reader);
	/* After any other error, the server may still have it open. */
	if (!n || errno == ECONNRESET)
		g_hash_table_remove(tracked->sockets->sockets,
				    GINT_TO_POINTER(tracked->fd));
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	drain_until_eof(watcher->data);
}

static void on_close_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct tracked_socket *tracked = timer->data;

	(void)loop;
	(void)events;
	g_hash_table_remove(tracked->sockets->sockets,
			    GINT_TO_POINTER(tracked->fd));
}
