#include "narrow_store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/clock.h"

#define TICK_S 0.005
#define BACKLOG 32
/*
 * Small, as on the users' links: a large one would hide the bandwidth. A fast
 * link has room for what it carries in a tick.
 */
#define MIN_BUFFER_BYTES 16384
#define BLANK_LINE "\r\n\r\n"

struct version {
	int64_t revision;
	char *value; /* base64 text */
};

struct connection {
	struct narrow_store *store;
	int fd;
	GString *in;
	GString *out;
	gsize out_at; /* bytes of out that were sent */
	bool silent;
	/* A watch that waits; revision 0: none. */
	int64_t watch_after;
	ev_tstamp watch_end;
};

struct narrow_store {
	struct ev_loop *loop;
	ev_io accept;
	ev_timer tick;
	char address[32];
	uint32_t bytes_per_tick;
	GPtrArray *connections; /* struct connection, owned */
	GArray *versions;	/* struct version; owns the texts */
	int64_t compacted;
	uint64_t sent_bytes;
	uint64_t silent_at; /* sent_bytes at which all go silent */
	uint32_t lists;
	size_t longest_body;
	char *answer; /* to other requests */
};

static void clear_version(void *data)
{
	g_free(((struct version *)data)->value);
}

static void connection_free(void *data)
{
	struct connection *c = data;

	close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static const struct version *version_at(const struct narrow_store *s, guint i)
{
	return &g_array_index(s->versions, struct version, i);
}

int64_t narrow_store_revision(const struct narrow_store *s)
{
	return s->versions->len ? version_at(s, s->versions->len - 1)->revision
				: 1;
}

static void respond(struct connection *c, int status, const char *body)
{
	g_string_append_printf(c->out,
			       "HTTP/1.1 %d X\r\nContent-Length: %zu" BLANK_LINE
			       "%s",
			       status, strlen(body), body);
}

static void append_item(GString *body, const struct version *version)
{
	g_string_append_printf(body,
			       "%s{\"key\":\"" NARROW_STORE_KEY
			       "\",\"revision\":%" PRId64 ",\"value\":\"%s\"}",
			       g_str_has_suffix(body->str, "}") ? "," : "",
			       version->revision, version->value);
}

static void respond_list(struct connection *c)
{
	const struct narrow_store *s = c->store;
	GString *body = g_string_new("{\"items\":[");

	if (s->versions->len)
		append_item(body, version_at(s, s->versions->len - 1));
	g_string_append_printf(body,
			       "],\"hasMore\":false,\"atRev\":%" PRId64 "}",
			       narrow_store_revision(s));
	respond(c, 200, body->str);
	g_string_free(body, TRUE);
}

static void respond_watch(struct connection *c)
{
	const struct narrow_store *s = c->store;
	GString *body = g_string_new("{\"events\":[");
	guint i;

	for (i = 0; i < s->versions->len; i++)
		if (version_at(s, i)->revision > c->watch_after)
			append_item(body, version_at(s, i));
	g_string_append_printf(body, "],\"atRev\":%" PRId64 "}",
			       narrow_store_revision(s));
	respond(c, 200, body->str);
	g_string_free(body, TRUE);
	c->watch_after = 0;
}

/* Answers a watch if there is something to tell or its wait is over. */
static void serve_watch(struct connection *c)
{
	if (!c->watch_after)
		return;
	if (c->watch_after < c->store->compacted) {
		c->watch_after = 0;
		respond(c, 410, "{}");
	} else if (narrow_store_revision(c->store) > c->watch_after ||
		   ev_now(c->store->loop) >= c->watch_end) {
		respond_watch(c);
	}
}

static int64_t query_number(const char *request, const char *name)
{
	const char *at = strstr(request, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : 0;
}

static void serve(struct connection *c, const char *request)
{
	struct narrow_store *s = c->store;

	if (g_str_has_prefix(request, "GET /kv-range")) {
		s->lists++;
		respond_list(c);
	} else if (g_str_has_prefix(request, "GET /kv-watch")) {
		c->watch_after = query_number(request, "after=");
		c->watch_end = ev_now(s->loop) +
			       (double)query_number(request, "waitMs=") /
				       (double)CQ_MS_PER_S;
		serve_watch(c);
	} else {
		respond(c, 200, s->answer);
	}
}

/* Serves the request that has been received as a whole, if there is one. */
static void serve_received(struct connection *c)
{
	char *end = strstr(c->in->str, BLANK_LINE);
	gsize head_len;
	gsize body_len;

	if (!end)
		return;
	head_len = (gsize)(end - c->in->str) + strlen(BLANK_LINE);
	body_len = (gsize)query_number(c->in->str, "Content-Length: ");
	if (c->in->len < head_len + body_len)
		return;
	c->store->longest_body = MAX(c->store->longest_body, body_len);
	serve(c, c->in->str);
	g_string_erase(c->in, 0, (gssize)(head_len + body_len));
}

/* Receives at most so many bytes; false if the peer has closed. */
static bool receive(struct connection *c, uint32_t *budget)
{
	char buffer[MIN_BUFFER_BYTES];
	ssize_t len;

	if (!*budget)
		return true;
	len = recv(c->fd, buffer, MIN(*budget, sizeof(buffer)), MSG_DONTWAIT);
	if (len <= 0)
		return len < 0 && errno == EAGAIN;
	*budget -= (uint32_t)len;
	g_string_append_len(c->in, buffer, len);
	serve_received(c);
	return true;
}

static void transmit(struct connection *c, uint32_t *budget)
{
	struct narrow_store *s = c->store;
	gsize len = MIN(c->out->len - c->out_at, *budget);
	ssize_t sent;

	if (!len || c->silent)
		return;
	sent = send(c->fd, c->out->str + c->out_at, len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	if (sent <= 0)
		return;
	*budget -= (uint32_t)sent;
	s->sent_bytes += (uint64_t)sent;
	c->out_at += (gsize)sent;
	if (c->out_at == c->out->len) {
		g_string_truncate(c->out, 0);
		c->out_at = 0;
	}
	if (s->sent_bytes >= s->silent_at) {
		s->silent_at = UINT64_MAX;
		narrow_store_silence(s);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct narrow_store *s = timer->data;
	uint32_t in_budget = s->bytes_per_tick;
	uint32_t out_budget = s->bytes_per_tick;
	guint i;

	(void)loop;
	(void)events;
	for (i = s->connections->len; i-- > 0;) {
		struct connection *c = g_ptr_array_index(s->connections, i);

		if (!receive(c, &in_budget)) {
			g_ptr_array_remove_index_fast(s->connections, i);
			continue;
		}
		serve_watch(c);
		transmit(c, &out_budget);
	}
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct narrow_store *s = watcher->data;
	int bytes = (int)MAX(MIN_BUFFER_BYTES, s->bytes_per_tick);
	int fd = accept(watcher->fd, NULL, NULL);
	struct connection *c;

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	c = g_new0(struct connection, 1);
	c->store = s;
	c->fd = fd;
	c->in = g_string_new("");
	c->out = g_string_new("");
	g_ptr_array_add(s->connections, c);
}

struct narrow_store *narrow_store_create(struct ev_loop *loop,
					 uint32_t bytes_per_s)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct narrow_store *s = g_new0(struct narrow_store, 1);

	g_assert_cmpint(bind(listener, (struct sockaddr *)&address, len), ==,
			0);
	g_assert_cmpint(listen(listener, BACKLOG), ==, 0);
	getsockname(listener, (struct sockaddr *)&address, &len);
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%u",
		   ntohs(address.sin_port));
	s->loop = loop;
	s->bytes_per_tick = MAX(1, (uint32_t)(bytes_per_s * TICK_S));
	s->connections = g_ptr_array_new_with_free_func(connection_free);
	s->versions = g_array_new(FALSE, TRUE, sizeof(struct version));
	g_array_set_clear_func(s->versions, clear_version);
	s->silent_at = UINT64_MAX;
	s->answer = g_strdup("{\"revision\":9}");
	ev_io_init(&s->accept, on_accept, listener, EV_READ);
	s->accept.data = s;
	ev_io_start(loop, &s->accept);
	ev_timer_init(&s->tick, on_tick, TICK_S, TICK_S);
	s->tick.data = s;
	ev_timer_start(loop, &s->tick);
	return s;
}

void narrow_store_destroy(struct narrow_store *s)
{
	ev_io_stop(s->loop, &s->accept);
	ev_timer_stop(s->loop, &s->tick);
	close(s->accept.fd);
	g_ptr_array_unref(s->connections);
	g_array_unref(s->versions);
	g_free(s->answer);
	g_free(s);
}

const char *narrow_store_address(const struct narrow_store *s)
{
	return s->address;
}

void narrow_store_write(struct narrow_store *s, size_t value_bytes)
{
	struct version version = { .revision = narrow_store_revision(s) + 1 };
	char *text = g_strdup_printf("%0*" PRId64, (int)value_bytes,
				     version.revision);

	version.value = g_base64_encode((const guchar *)text, value_bytes);
	g_array_append_val(s->versions, version);
	g_free(text);
}

void narrow_store_compact(struct narrow_store *s)
{
	s->compacted = narrow_store_revision(s);
	g_array_remove_range(s->versions, 0, s->versions->len - 1);
}

void narrow_store_silence(struct narrow_store *s)
{
	guint i;

	for (i = 0; i < s->connections->len; i++) {
		struct connection *c = g_ptr_array_index(s->connections, i);

		c->silent = true;
	}
}

void narrow_store_silence_after(struct narrow_store *s, uint64_t bytes)
{
	s->silent_at = s->sent_bytes + bytes;
}

uint64_t narrow_store_sent_bytes(const struct narrow_store *s)
{
	return s->sent_bytes;
}

uint32_t narrow_store_lists(const struct narrow_store *s)
{
	return s->lists;
}

void narrow_store_set_answer(struct narrow_store *s, const char *body)
{
	g_free(s->answer);
	s->answer = g_strdup(body);
}

size_t narrow_store_longest_body(const struct narrow_store *s)
{
	return s->longest_body;
}
