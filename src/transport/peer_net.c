#include "chestnutquay/peer_net.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/config.h"
#include "chestnutquay/log.h"
#include "protocol/gen/envelope.pb-c.h"
#include "transport/frame.h"

#define READ_CHUNK_BYTES 65536
#define DEFAULT_SILENCE_TIMEOUT_MS 3000
#define DEFAULT_MAX_LINKS 256
#define DEFAULT_MAX_QUEUED_BYTES (8U << 20)
#define IDLE_TIMEOUT_S 120.0
/* Number of pings sent within the silence timeout. */
#define PINGS_PER_SILENCE_TIMEOUT 3.0

/* A TCP connection opened by this process or accepted from a peer. */
struct link {
	struct cq_peer_net *net;
	char *address; /* peer address; NULL on accepted links */
	int fd;
	bool connecting;
	ev_io reader;
	ev_io writer;
	ev_timer idle_timer;
	GByteArray *in;
	GByteArray *out;
	size_t out_offset;
	/* First send since the last receipt; 0 if nothing is unanswered. */
	int64_t unanswered_since_ns;
	ev_timer ping_timer;
};

struct cq_peer_net {
	struct ev_loop *loop;
	struct cq_peer_net_options options;
	char *deployment;
	char *id;
	char *listen_address;
	cq_peer_message_fn *on_message;
	void *ctx;
	int listen_fd;
	ev_io acceptor;
	GHashTable *outgoing; /* peer address -> struct link */
	GHashTable *links;    /* set of all links */
	uint64_t bytes_sent;
	uint64_t bytes_received;
};

static int open_listener(const char *ip, uint16_t port);
static int open_connection(const char *address, bool *connecting);
static void set_socket_options(int fd, uint32_t silence_timeout_ms);
static struct link *link_create(struct cq_peer_net *net, int fd,
				const char *address);
static void link_close(struct link *link);
static struct link *get_or_open_link(struct cq_peer_net *net,
				     const char *address);
static void on_accept(struct ev_loop *loop, ev_io *watcher, int events);
static void on_readable(struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable(struct ev_loop *loop, ev_io *watcher, int events);
static void on_idle_timeout(struct ev_loop *loop, ev_timer *watcher,
			    int events);
static void on_ping_timer(struct ev_loop *loop, ev_timer *watcher, int events);
static bool link_send(struct link *link, enum cq_peer_kind kind,
		      uint64_t correlation, const uint8_t *payload,
		      size_t payload_len);
static bool deliver_frames(struct link *link);
static bool deliver_envelope(struct link *link, const uint8_t *data,
			     size_t len);
static bool accept_envelope(const struct cq_peer_net *net,
			    const Cq__Proto__Envelope *envelope);
static void log_refused_envelope(const char *reason,
				 const Cq__Proto__Envelope *envelope);

const char *cq_peer_kind_string(enum cq_peer_kind kind)
{
	switch (kind) {
	case CQ_PEER_PING:
		return "PING";
	case CQ_PEER_PING_REQ:
		return "PING_REQ";
	case CQ_PEER_ACK:
		return "ACK";
	case CQ_PEER_SETTINGS_CHANGE:
		return "SETTINGS_CHANGE";
	case CQ_PEER_SETTINGS_PULL:
		return "SETTINGS_PULL";
	case CQ_PEER_SETTINGS_STATE:
		return "SETTINGS_STATE";
	case CQ_PEER_STORE_RELAY:
		return "STORE_RELAY";
	case CQ_PEER_STORE_RELAY_ANSWER:
		return "STORE_RELAY_ANSWER";
	case CQ_PEER_JOB_NOTIFY:
		return "JOB_NOTIFY";
	case CQ_PEER_JOB_QUERY:
		return "JOB_QUERY";
	case CQ_PEER_JOB_ANSWER:
		return "JOB_ANSWER";
	case CQ_PEER_SLOT_LEND:
		return "SLOT_LEND";
	case CQ_PEER_SLOT_RETURN:
		return "SLOT_RETURN";
	case CQ_PEER_REQUEST_FORWARD:
		return "REQUEST_FORWARD";
	case CQ_PEER_REQUEST_ANSWER:
		return "REQUEST_ANSWER";
	case CQ_PEER_OUTCOMES_OFFER:
		return "OUTCOMES_OFFER";
	case CQ_PEER_OUTCOMES_TAKEN:
		return "OUTCOMES_TAKEN";
	case CQ_PEER_HANDOVER:
		return "HANDOVER";
	case CQ_PEER_LINK_PING:
		return "LINK_PING";
	case CQ_PEER_LINK_PONG:
		return "LINK_PONG";
	}
	return "?";
}

void cq_peer_net_options_init(struct cq_peer_net_options *options)
{
	memset(options, 0, sizeof(*options));
	options->silence_timeout_ms = DEFAULT_SILENCE_TIMEOUT_MS;
	options->max_links = DEFAULT_MAX_LINKS;
	options->max_queued_bytes = DEFAULT_MAX_QUEUED_BYTES;
}

/*
 * Detects connections that the peer's host or a middlebox has forgotten:
 * TCP_USER_TIMEOUT closes a link whose data stays unacknowledged, keepalive
 * closes one that has nothing to send.
 */
static void set_socket_options(int fd, uint32_t silence_timeout_ms)
{
	int on = 1;
	int interval_s = (int)(silence_timeout_ms / 3000) > 0
				 ? (int)(silence_timeout_ms / 3000)
				 : 1;
	int probes = 3;
	unsigned int user_timeout_ms = silence_timeout_ms;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
		   sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
}

static int open_listener(const char *ip, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int on = 1;
	int fd;

	if (inet_pton(AF_INET, ip, &address.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    !listen(fd, 256))
		return fd;
	close(fd);
	return -1;
}

static int open_connection(const char *address, bool *connecting)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	char ip[16];
	uint16_t port;
	int fd;

	if (!cq_address_parse(address, ip, &port, NULL))
		return -1;
	if (inet_pton(AF_INET, ip, &to.sin_addr) != 1)
		return -1;
	to.sin_port = htons(port);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	*connecting = false;
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return fd;
	if (errno == EINPROGRESS) {
		*connecting = true;
		return fd;
	}
	close(fd);
	return -1;
}

static struct link *link_create(struct cq_peer_net *net, int fd,
				const char *address)
{
	struct link *link = g_new0(struct link, 1);

	link->net = net;
	link->fd = fd;
	link->address = g_strdup(address);
	link->in = g_byte_array_new();
	link->out = g_byte_array_new();
	set_socket_options(fd, net->options.silence_timeout_ms);
	ev_io_init(&link->reader, on_readable, fd, EV_READ);
	ev_io_init(&link->writer, on_writable, fd, EV_WRITE);
	ev_timer_init(&link->idle_timer, on_idle_timeout, IDLE_TIMEOUT_S,
		      IDLE_TIMEOUT_S);
	link->reader.data = link;
	link->writer.data = link;
	link->idle_timer.data = link;
	ev_timer_init(&link->ping_timer, on_ping_timer,
		      net->options.silence_timeout_ms /
			      PINGS_PER_SILENCE_TIMEOUT / 1000.0,
		      net->options.silence_timeout_ms /
			      PINGS_PER_SILENCE_TIMEOUT / 1000.0);
	link->ping_timer.data = link;
	if (address)
		ev_timer_start(net->loop, &link->ping_timer);
	ev_io_start(net->loop, &link->reader);
	ev_timer_start(net->loop, &link->idle_timer);
	g_hash_table_add(net->links, link);
	return link;
}

static void link_close(struct link *link)
{
	struct cq_peer_net *net = link->net;

	if (link->address &&
	    g_hash_table_lookup(net->outgoing, link->address) == link)
		g_hash_table_remove(net->outgoing, link->address);
	g_hash_table_remove(net->links, link);
	ev_io_stop(net->loop, &link->reader);
	ev_io_stop(net->loop, &link->writer);
	ev_timer_stop(net->loop, &link->idle_timer);
	ev_timer_stop(net->loop, &link->ping_timer);
	close(link->fd);
	g_byte_array_free(link->in, TRUE);
	g_byte_array_free(link->out, TRUE);
	g_free(link->address);
	g_free(link);
}

struct cq_peer_net *cq_peer_net_create(
	struct ev_loop *loop, const struct cq_peer_net_options *options,
	cq_peer_message_fn *on_message, void *ctx, struct cq_error *err)
{
	struct cq_peer_net *net;
	char ip[16];
	uint16_t port;
	int fd;

	assert(options->deployment && options->id && on_message);
	if (!cq_address_parse(options->listen_address, ip, &port, err))
		return NULL;
	fd = open_listener(ip, port);
	if (fd < 0) {
		cq_error_set(err, CQ_ERROR_TRANSPORT, CQ_ERR_SYSTEM,
			     "cannot listen for peers on %s: %s",
			     options->listen_address, strerror(errno));
		return NULL;
	}
	net = g_new0(struct cq_peer_net, 1);
	net->loop = loop;
	net->options = *options;
	net->deployment = g_strdup(options->deployment);
	net->id = g_strdup(options->id);
	net->listen_address = g_strdup(options->listen_address);
	net->on_message = on_message;
	net->ctx = ctx;
	net->listen_fd = fd;
	net->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
	net->links = g_hash_table_new(NULL, NULL);
	ev_io_init(&net->acceptor, on_accept, fd, EV_READ);
	net->acceptor.data = net;
	ev_io_start(loop, &net->acceptor);
	return net;
}

void cq_peer_net_destroy(struct cq_peer_net *net)
{
	GHashTableIter iter;
	gpointer link;

	if (!net)
		return;
	ev_io_stop(net->loop, &net->acceptor);
	close(net->listen_fd);
	for (g_hash_table_iter_init(&iter, net->links);
	     g_hash_table_iter_next(&iter, &link, NULL);
	     g_hash_table_iter_init(&iter, net->links))
		link_close(link);
	g_hash_table_destroy(net->links);
	g_hash_table_destroy(net->outgoing);
	g_free(net->deployment);
	g_free(net->id);
	g_free(net->listen_address);
	g_free(net);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct cq_peer_net *net = watcher->data;
	int fd = accept4(net->listen_fd, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	if (g_hash_table_size(net->links) >= net->options.max_links) {
		cq_log_event(CQ_LOG_WARN, "peer_link_limit", "{s:I}", "links",
			     (json_int_t)net->options.max_links);
		close(fd);
		return;
	}
	link_create(net, fd, NULL);
}

static void on_idle_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	link_close(watcher->data);
}

static void on_ping_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct link *link = watcher->data;
	int64_t silent_ns;

	(void)loop;
	(void)events;
	if (!link->unanswered_since_ns)
		return;
	silent_ns =
		cq_clock_now_ns(cq_clock_system()) - link->unanswered_since_ns;
	if (silent_ns < link->net->options.silence_timeout_ms * CQ_NS_PER_MS) {
		link_send(link, CQ_PEER_LINK_PING, 0, NULL, 0);
		return;
	}
	cq_log_event(CQ_LOG_WARN, "peer_link_silent", "{s:s,s:I}", "address",
		     link->address, "silent_ms",
		     (json_int_t)(silent_ns / CQ_NS_PER_MS));
	link_close(link);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct link *link = watcher->data;
	guint old_len = link->in->len;
	ssize_t n;

	(void)events;
	g_byte_array_set_size(link->in, old_len + READ_CHUNK_BYTES);
	n = read(link->fd, link->in->data + old_len, READ_CHUNK_BYTES);
	g_byte_array_set_size(link->in, old_len + (n > 0 ? (guint)n : 0));
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		link_close(link);
		return;
	}
	link->net->bytes_received += (uint64_t)n;
	link->unanswered_since_ns = 0;
	ev_timer_again(loop, &link->idle_timer);
	if (!deliver_frames(link))
		link_close(link);
}

static bool deliver_frames(struct link *link)
{
	const uint8_t *content;
	size_t content_len;
	size_t used = 0;
	bool ok = true;

	while (ok) {
		enum cq_frame_status status = cq_frame_parse(
			link->in->data + used, link->in->len - used,
			CQ_PEER_MAX_FRAME_BYTES, &content, &content_len);

		if (status == CQ_FRAME_INCOMPLETE)
			break;
		if (status == CQ_FRAME_TOO_LARGE) {
			cq_log_event(CQ_LOG_WARN, "peer_frame_too_large",
				     "{s:I}", "limit_bytes",
				     (json_int_t)CQ_PEER_MAX_FRAME_BYTES);
			return false;
		}
		ok = deliver_envelope(link, content, content_len);
		used += CQ_FRAME_HEADER_BYTES + content_len;
	}
	g_byte_array_remove_range(link->in, 0, (guint)used);
	return ok;
}

static void log_refused_envelope(const char *reason,
				 const Cq__Proto__Envelope *envelope)
{
	cq_log_event(CQ_LOG_WARN, "peer_refused", "{s:s,s:s,s:s,s:s,s:i}",
		     "reason", reason, "peer", envelope->sender_id, "address",
		     envelope->sender_address, "deployment",
		     envelope->deployment, "version", (int)envelope->version);
}

static bool accept_envelope(const struct cq_peer_net *net,
			    const Cq__Proto__Envelope *envelope)
{
	if (envelope->version != CQ_PEER_PROTOCOL_VERSION) {
		log_refused_envelope("protocol version differs", envelope);
		return false;
	}
	if (strcmp(envelope->deployment, net->deployment) != 0) {
		log_refused_envelope("deployment differs", envelope);
		return false;
	}
	return true;
}

static bool deliver_envelope(struct link *link, const uint8_t *data, size_t len)
{
	struct cq_peer_net *net = link->net;
	struct cq_peer_message message = { 0 };
	Cq__Proto__Envelope *envelope;

	envelope = cq__proto__envelope__unpack(NULL, len, data);
	if (!envelope) {
		cq_log_event(CQ_LOG_WARN, "peer_frame_malformed", "{s:I}",
			     "bytes", (json_int_t)len);
		return false;
	}
	if (!accept_envelope(net, envelope)) {
		cq__proto__envelope__free_unpacked(envelope, NULL);
		return false;
	}
	if (envelope->kind == CQ_PEER_LINK_PING ||
	    envelope->kind == CQ_PEER_LINK_PONG) {
		if (envelope->kind == CQ_PEER_LINK_PING)
			link_send(link, CQ_PEER_LINK_PONG, 0, NULL, 0);
		cq__proto__envelope__free_unpacked(envelope, NULL);
		return true;
	}
	message.from_address = envelope->sender_address;
	message.from_id = envelope->sender_id;
	message.from_incarnation = envelope->incarnation;
	message.kind = (enum cq_peer_kind)envelope->kind;
	message.correlation = envelope->correlation;
	message.payload = envelope->payload.data;
	message.payload_len = envelope->payload.len;
	net->on_message(net->ctx, &message);
	cq__proto__envelope__free_unpacked(envelope, NULL);
	return true;
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct link *link = watcher->data;
	int error = 0;
	socklen_t error_len = sizeof(error);
	ssize_t n;

	(void)events;
	if (link->connecting) {
		getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &error_len);
		if (error) {
			link_close(link);
			return;
		}
		link->connecting = false;
	}
	n = send(link->fd, link->out->data + link->out_offset,
		 link->out->len - link->out_offset, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		link_close(link);
		return;
	}
	if (n > 0) {
		link->out_offset += (size_t)n;
		link->net->bytes_sent += (uint64_t)n;
		ev_timer_again(loop, &link->idle_timer);
	}
	if (link->out_offset == link->out->len) {
		g_byte_array_set_size(link->out, 0);
		link->out_offset = 0;
		ev_io_stop(loop, &link->writer);
	}
}

static struct link *get_or_open_link(struct cq_peer_net *net,
				     const char *address)
{
	struct link *link = g_hash_table_lookup(net->outgoing, address);
	bool connecting;
	int fd;

	if (link)
		return link;
	if (g_hash_table_size(net->links) >= net->options.max_links)
		return NULL;
	fd = open_connection(address, &connecting);
	if (fd < 0)
		return NULL;
	link = link_create(net, fd, address);
	link->connecting = connecting;
	g_hash_table_insert(net->outgoing, link->address, link);
	return link;
}

static bool link_send(struct link *link, enum cq_peer_kind kind,
		      uint64_t correlation, const uint8_t *payload,
		      size_t payload_len)
{
	struct cq_peer_net *net = link->net;
	Cq__Proto__Envelope envelope = CQ__PROTO__ENVELOPE__INIT;
	size_t len;
	guint old_len;

	envelope.version = CQ_PEER_PROTOCOL_VERSION;
	envelope.deployment = net->deployment;
	envelope.sender_id = net->id;
	envelope.incarnation = net->options.incarnation;
	envelope.sender_address = net->listen_address;
	envelope.kind = kind;
	envelope.correlation = correlation;
	envelope.payload.data = (uint8_t *)payload;
	envelope.payload.len = payload_len;
	len = cq__proto__envelope__get_packed_size(&envelope);
	if (len > CQ_PEER_MAX_FRAME_BYTES ||
	    link->out->len + len > net->options.max_queued_bytes) {
		cq_log_event(CQ_LOG_WARN, "peer_message_dropped",
			     "{s:s,s:s,s:I}", "kind", cq_peer_kind_string(kind),
			     "address", link->address ? link->address : "",
			     "bytes", (json_int_t)len);
		return false;
	}
	cq_frame_append_header(link->out, (uint32_t)len);
	old_len = link->out->len;
	g_byte_array_set_size(link->out, old_len + (guint)len);
	cq__proto__envelope__pack(&envelope, link->out->data + old_len);
	ev_io_start(net->loop, &link->writer);
	return true;
}

bool cq_peer_net_send(struct cq_peer_net *net, const char *address,
		      enum cq_peer_kind kind, uint64_t correlation,
		      const uint8_t *payload, size_t payload_len)
{
	struct link *link = get_or_open_link(net, address);

	if (!link || !link_send(link, kind, correlation, payload, payload_len))
		return false;
	if (!link->unanswered_since_ns)
		link->unanswered_since_ns = cq_clock_now_ns(cq_clock_system());
	return true;
}

uint64_t cq_peer_net_bytes_sent(const struct cq_peer_net *net)
{
	return net->bytes_sent;
}

uint64_t cq_peer_net_bytes_received(const struct cq_peer_net *net)
{
	return net->bytes_received;
}
