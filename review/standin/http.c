/* A small HTTP/1.1 server and client on libev. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

struct conn {
	struct server *server;
	int fd;
	ev_io in, out;
	GByteArray *input, *output;
	bool busy; /* a request is being handled */
	bool gone; /* closed by either side; freed when not busy */
};

static void parse(struct conn *c);

static void conn_free(struct conn *c)
{
	g_ptr_array_remove_fast(c->server->conns, c);
	g_byte_array_free(c->input, TRUE);
	g_byte_array_free(c->output, TRUE);
	g_free(c);
}

static void conn_close(struct conn *c, bool reset)
{
	struct linger hard = { 1, 0 };

	if (!c->gone) {
		ev_io_stop(loop, &c->in);
		ev_io_stop(loop, &c->out);
		if (reset)
			setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard,
				   sizeof(hard));
		close(c->fd);
		c->gone = true;
	}
	if (!c->busy)
		conn_free(c);
}

static void on_writable(struct ev_loop *l, ev_io *w, int events)
{
	struct conn *c = w->data;
	ssize_t n = send(c->fd, c->output->data, c->output->len,
			 MSG_NOSIGNAL | MSG_DONTWAIT);

	(void)events;
	if (n < 0 && errno != EAGAIN) {
		conn_close(c, false);
		return;
	}
	if (n > 0)
		g_byte_array_remove_range(c->output, 0, (guint)n);
	if (!c->output->len)
		ev_io_stop(l, &c->out);
}

static void on_readable(struct ev_loop *l, ev_io *w, int events)
{
	struct conn *c = w->data;
	char buffer[65536];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)l;
	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		conn_close(c, false);
		return;
	}
	g_byte_array_append(c->input, (guint8 *)buffer, (guint)n);
	if (!c->busy)
		parse(c);
}

static void on_accept(struct ev_loop *l, ev_io *w, int events)
{
	struct server *s = w->data;
	int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
	struct conn *c;
	int one = 1;

	(void)events;
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c = g_new0(struct conn, 1);
	c->server = s;
	c->fd = fd;
	c->input = g_byte_array_new();
	c->output = g_byte_array_new();
	ev_io_init(&c->in, on_readable, fd, EV_READ);
	ev_io_init(&c->out, on_writable, fd, EV_WRITE);
	c->in.data = c->out.data = c;
	g_ptr_array_add(s->conns, c);
	ev_io_start(l, &c->in);
}

static void parse_query(struct request *r, char *text)
{
	char *save = NULL;
	char *part;

	for (part = strtok_r(text, "&", &save); part;
	     part = strtok_r(NULL, "&", &save)) {
		char *value = strchr(part, '=');

		if (!value)
			continue;
		*value++ = '\0';
		g_hash_table_insert(r->query, g_strdup(part),
				    g_uri_unescape_string(value, NULL));
	}
}

static void parse_head(struct request *r, char *head)
{
	char *save = NULL;
	char *line = strtok_r(head, "\r\n", &save);
	char *space = strchr(line, ' ');
	char *end = space ? strchr(space + 1, ' ') : NULL;
	char *mark;

	if (!end)
		return;
	*space = *end = '\0';
	r->method = g_strdup(line);
	mark = strchr(space + 1, '?');
	if (mark) {
		*mark = '\0';
		parse_query(r, mark + 1);
	}
	r->path = g_strdup(space + 1);
	while ((line = strtok_r(NULL, "\r\n", &save))) {
		char *colon = strchr(line, ':');

		if (!colon)
			continue;
		*colon = '\0';
		g_hash_table_insert(r->headers, g_ascii_strdown(line, -1),
				    g_strdup(g_strstrip(colon + 1)));
	}
}

static void parse(struct conn *c)
{
	char *text, *body, *end;
	const char *length;
	size_t len, head_len;
	struct request *r;

	g_byte_array_append(c->input, (const guint8 *)"", 1);
	g_byte_array_set_size(c->input, c->input->len - 1);
	text = (char *)c->input->data;
	end = strstr(text, "\r\n\r\n");
	if (!end)
		return;
	head_len = (size_t)(end - text) + 4;
	r = g_new0(struct request, 1);
	r->query =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	body = g_strndup(text, head_len);
	parse_head(r, body);
	g_free(body);
	length = g_hash_table_lookup(r->headers, "content-length");
	len = length ? strtoul(length, NULL, 10) : 0;
	if (!r->method || c->input->len < head_len + len) {
		r->conn = NULL;
		request_free(r);
		return;
	}
	r->body = g_strndup(text + head_len, len);
	r->conn = c;
	g_byte_array_remove_range(c->input, 0, (guint)(head_len + len));
	c->busy = true;
	if (c->server->cut)
		g_ptr_array_add(c->server->held, r);
	else
		c->server->handler(c->server->ctx, r);
}

void request_free(struct request *r)
{
	struct conn *c = r->conn;

	g_hash_table_destroy(r->query);
	g_hash_table_destroy(r->headers);
	g_free(r->method);
	g_free(r->path);
	g_free(r->body);
	g_free(r);
	if (!c)
		return;
	c->busy = false;
	if (c->gone)
		conn_free(c);
	else if (c->input->len)
		parse(c);
}

void request_reply(struct request *r, int status, json_t *body)
{
	struct conn *c = r->conn;
	char *text = json_dumps(body, JSON_COMPACT);
	char *head;

	json_decref(body);
	if (!c->gone) {
		head = g_strdup_printf("HTTP/1.1 %d X\r\n"
				       "Content-Type: application/json\r\n"
				       "Content-Length: %zu\r\n\r\n",
				       status, strlen(text));
		g_byte_array_append(c->output, (guint8 *)head,
				    (guint)strlen(head));
		g_byte_array_append(c->output, (guint8 *)text,
				    (guint)strlen(text));
		ev_io_start(loop, &c->out);
		g_free(head);
	}
	free(text);
	request_free(r);
}

void request_reset(struct request *r)
{
	conn_close(r->conn, true);
	request_free(r);
}

bool request_gone(const struct request *r)
{
	return r->conn->gone;
}

const char *request_query(const struct request *r, const char *name)
{
	return g_hash_table_lookup(r->query, name);
}

const char *request_header(const struct request *r, const char *name)
{
	return g_hash_table_lookup(r->headers, name);
}

static int listen_at(struct sockaddr_in *in)
{
	socklen_t len = sizeof(*in);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)in, sizeof(*in)) || listen(fd, 512))
		world_abort("cannot listen");
	getsockname(fd, (struct sockaddr *)in, &len);
	return fd;
}

struct server *server_listen(const char *ip,
			     void (*handler)(void *, struct request *),
			     void *ctx)
{
	struct server *s = g_new0(struct server, 1);
	struct sockaddr_in in = { .sin_family = AF_INET };

	inet_pton(AF_INET, ip, &in.sin_addr);
	s->fd = listen_at(&in);
	s->handler = handler;
	s->ctx = ctx;
	s->held = g_ptr_array_new();
	s->conns = g_ptr_array_new();
	g_snprintf(s->address, sizeof(s->address), "%s:%u", ip,
		   ntohs(in.sin_port));
	ev_io_init(&s->io, on_accept, s->fd, EV_READ);
	s->io.data = s;
	ev_io_start(loop, &s->io);
	return s;
}

void server_cut(struct server *s, bool cut)
{
	GPtrArray *held = s->held;
	guint i;

	s->cut = cut;
	if (cut)
		return;
	s->held = g_ptr_array_new();
	for (i = 0; i < held->len; i++) {
		struct request *r = g_ptr_array_index(held, i);

		/* What the sender has given up on is lost. */
		if (request_gone(r))
			request_free(r);
		else
			s->handler(s->ctx, r);
	}
	g_ptr_array_unref(held);
}

void server_reset_conns(struct server *s)
{
	guint i;

	for (i = s->conns->len; i-- > 0;)
		if (i < s->conns->len)
			conn_close(g_ptr_array_index(s->conns, i), true);
}

/* ---- client ---- */
struct call {
	int fd;
	GByteArray *input;
	bool done;
	ev_io in;
};

static void on_answer(struct ev_loop *l, ev_io *w, int events)
{
	struct call *c = w->data;
	char buffer[65536];
	ssize_t n = recv(c->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0) {
		g_byte_array_append(c->input, (guint8 *)buffer, (guint)n);
		return;
	}
	c->done = true;
	ev_io_stop(l, w);
}

static bool call_done(void *ctx)
{
	return ((struct call *)ctx)->done;
}

int http_call(const char *address, const char *method, const char *path,
	      const char *headers, const char *body, int timeout_ms,
	      char **answer)
{
	struct call c = { .input = g_byte_array_new() };
	struct sockaddr_in in = { .sin_family = AF_INET };
	char **parts = g_strsplit(address, ":", 2);
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nConnection: close\r\n%s"
				     "Content-Type: application/json\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
				     method, path, headers,
				     body ? strlen(body) : 0, body ? body : "");
	int status = 0;
	char *at;

	inet_pton(AF_INET, parts[0], &in.sin_addr);
	in.sin_port = htons((uint16_t)atoi(parts[1]));
	c.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (answer)
		*answer = NULL;
	if (!connect(c.fd, (struct sockaddr *)&in, sizeof(in)) &&
	    send(c.fd, text, strlen(text), MSG_NOSIGNAL) > 0) {
		ev_io_init(&c.in, on_answer, c.fd, EV_READ);
		c.in.data = &c;
		ev_io_start(loop, &c.in);
		world_wait(timeout_ms, call_done, &c);
		ev_io_stop(loop, &c.in);
		g_byte_array_append(c.input, (const guint8 *)"", 1);
		if (c.done &&
		    sscanf((char *)c.input->data, "HTTP/1.1 %d", &status) != 1)
			status = 0;
		at = strstr((char *)c.input->data, "\r\n\r\n");
		if (status && answer && at)
			*answer = g_strdup(at + 4);
	}
	close(c.fd);
	g_byte_array_free(c.input, TRUE);
	g_strfreev(parts);
	g_free(text);
	return status;
}
