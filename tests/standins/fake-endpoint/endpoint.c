#include "endpoint.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_HEADER_BYTES 16384
#define MAX_BODY_BYTES (8U << 20)

struct connection {
	struct endpoint *endpoint;
	int fd;
	ev_io watcher;
	GString *in;
	GString *out;
	struct work *work; /* request in progress */
	bool silent;
	bool close_after_write;
};

/* Request in progress. */
struct work {
	struct endpoint *endpoint;
	struct connection *connection; /* NULL: the connection has closed */
	ev_timer timer;
	char *id;
	char *type;
	GString *body;
	bool refused; /* refused without being run: the endpoint was leaving */
};

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events);
static void on_io(struct ev_loop *loop, ev_io *watcher, int events);
static void on_work_end(struct ev_loop *loop, ev_timer *timer, int events);
static void connection_close(struct connection *c);
static void parse(struct connection *c);
static void flush(struct connection *c);
static char *find_header(const char *head, const char *name);
static void start_work(struct connection *c, char *id, char *type,
		       const char *body, size_t len);
static void reply(struct connection *c, int status, const char *id,
		  const char *extra, const char *type, const char *body,
		  size_t len);
static void count(GHashTable *table, const char *key, uint32_t *repeated);
static void count_body(const struct connection *c, const struct work *work);
static bool listen_on(struct endpoint *endpoint);

static bool listen_on(struct endpoint *endpoint)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(endpoint->port) };
	int on = 1;
	int fd;

	if (inet_pton(AF_INET, endpoint->ip, &address.sin_addr) != 1)
		return false;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 512)) {
		close(fd);
		return false;
	}
	endpoint->listen_fd = fd;
	ev_io_init(&endpoint->listen_watcher, on_accept, fd, EV_READ);
	endpoint->listen_watcher.data = endpoint;
	ev_io_start(endpoint->loop, &endpoint->listen_watcher);
	return true;
}

bool endpoint_open(struct endpoint *endpoint, struct ev_loop *loop,
		   const char *ip, uint16_t port, uint32_t slots)
{
	endpoint->loop = loop;
	g_strlcpy(endpoint->ip, ip, sizeof(endpoint->ip));
	endpoint->port = port;
	endpoint->slots = slots;
	endpoint->listen_fd = -1;
	endpoint->connections = g_ptr_array_new();
	endpoint->running = g_ptr_array_new();
	endpoint->executed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	endpoint->bodies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return listen_on(endpoint);
}

static void stop_listening(struct endpoint *endpoint)
{
	if (endpoint->listen_fd < 0)
		return;
	ev_io_stop(endpoint->loop, &endpoint->listen_watcher);
	close(endpoint->listen_fd);
	endpoint->listen_fd = -1;
}

void endpoint_close(struct endpoint *endpoint)
{
	guint i;

	stop_listening(endpoint);
	for (i = endpoint->connections->len; i > 0; i--)
		connection_close(endpoint->connections->pdata[i - 1]);
}

void endpoint_apply(struct endpoint *endpoint)
{
	if (endpoint->faults.down) {
		endpoint_close(endpoint);
		return;
	}
	if (endpoint->listen_fd < 0)
		listen_on(endpoint);
}

void endpoint_silence_connections(struct endpoint *endpoint)
{
	guint i;

	for (i = 0; i < endpoint->connections->len; i++) {
		struct connection *c = endpoint->connections->pdata[i];

		c->silent = true;
		ev_io_stop(endpoint->loop, &c->watcher);
	}
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct endpoint *endpoint = watcher->data;
	struct connection *c;
	int on = 1;
	int fd;

	(void)events;
	fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c = g_new0(struct connection, 1);
	c->endpoint = endpoint;
	c->fd = fd;
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	ev_io_init(&c->watcher, on_io, fd, EV_READ);
	c->watcher.data = c;
	ev_io_start(loop, &c->watcher);
	g_ptr_array_add(endpoint->connections, c);
	endpoint->max_connections =
		MAX(endpoint->max_connections, endpoint->connections->len);
}

static void connection_close(struct connection *c)
{
	ev_io_stop(c->endpoint->loop, &c->watcher);
	if (c->work)
		c->work->connection = NULL;
	g_ptr_array_remove_fast(c->endpoint->connections, c);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *c = watcher->data;
	char buffer[65536];
	ssize_t n;

	(void)loop;
	if (events & EV_WRITE) {
		flush(c);
		return;
	}
	n = read(c->fd, buffer, sizeof(buffer));
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		connection_close(c);
		return;
	}
	g_string_append_len(c->in, buffer, n);
	if (!c->work)
		parse(c);
}

/* Writes without blocking and waits to write the rest; may close c. */
static void flush(struct connection *c)
{
	struct ev_loop *loop = c->endpoint->loop;
	ssize_t n = 0;

	if (c->out->len)
		n = write(c->fd, c->out->str, c->out->len);
	if (n < 0 && errno != EAGAIN) {
		connection_close(c);
		return;
	}
	if (n > 0)
		g_string_erase(c->out, 0, n);
	if (!c->out->len && c->close_after_write) {
		connection_close(c);
		return;
	}
	ev_io_stop(loop, &c->watcher);
	ev_io_set(&c->watcher, c->fd, c->out->len ? EV_WRITE : EV_READ);
	ev_io_start(loop, &c->watcher);
	if (!c->out->len && c->in->len && !c->work)
		parse(c);
}

static char *find_header(const char *head, const char *name)
{
	size_t len = strlen(name);
	const char *line;

	for (line = strstr(head, "\r\n"); line; line = strstr(line, "\r\n")) {
		line += 2;
		if (g_ascii_strncasecmp(line, name, len) || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		return g_strndup(line, strcspn(line, "\r"));
	}
	return NULL;
}

static void parse(struct connection *c)
{
	char *end = strstr(c->in->str, "\r\n\r\n");
	char *length;
	char *id;
	char *type;
	size_t head_len;
	size_t body_len;

	if (!end) {
		if (c->in->len > MAX_HEADER_BYTES)
			connection_close(c);
		return;
	}
	*end = '\0';
	head_len = (size_t)(end - c->in->str) + 4;
	length = find_header(c->in->str, "Content-Length");
	body_len = length ? strtoul(length, NULL, 10) : 0;
	g_free(length);
	if (body_len > MAX_BODY_BYTES) {
		connection_close(c);
		return;
	}
	if (c->in->len < head_len + body_len) {
		*end = '\r';
		return;
	}
	id = find_header(c->in->str, "Request-Id");
	type = find_header(c->in->str, "Content-Type");
	*end = '\r';
	start_work(c, id ? id : g_strdup("-"), type, c->in->str + head_len,
		   body_len);
}

static void count(GHashTable *table, const char *key, uint32_t *repeated)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(table, key)) + 1;

	g_hash_table_insert(table, g_strdup(key), GUINT_TO_POINTER(n));
	if (n == 2)
		(*repeated)++;
}

/*
 * Counts the request by target and body. c->in must still hold the request,
 * whose first line is "POST TARGET HTTP/1.1".
 */
static void count_body(const struct connection *c, const struct work *work)
{
	const char *target = strchr(c->in->str, ' ');
	char *name;

	if (!target)
		return;
	target++;
	name = g_strdup_printf("%.*s %s", (int)strcspn(target, " \r"), target,
			       work->body->str);
	count(c->endpoint->bodies, name, &c->endpoint->repeated_bodies);
	g_free(name);
}

/*
 * Starts to serve the request, which is still in c->in, and removes it from
 * there. Takes ownership of id and type.
 */
static void start_work(struct connection *c, char *id, char *type,
		       const char *body, size_t len)
{
	struct endpoint *e = c->endpoint;
	struct work *work = g_new0(struct work, 1);
	int64_t wait_ms = e->faults.service_ms;

	work->endpoint = e;
	work->connection = c;
	work->id = id;
	work->type = type;
	work->body = g_string_new_len(body, (gssize)len);
	c->work = work;
	g_ptr_array_add(e->running, work);
	if (e->faults.leaving) {
		e->refused++;
		work->refused = true;
		wait_ms = 0;
	} else {
		e->executions++;
		count(e->executed, id, &e->repeated_ids);
		count_body(c, work);
		e->concurrent++;
		e->max_concurrent = MAX(e->max_concurrent, e->concurrent);
		if (e->faults.fail_fast)
			wait_ms = 0;
		else if (e->faults.jitter_ms > 0)
			wait_ms += rand() % (e->faults.jitter_ms + 1);
	}
	g_string_erase(c->in, 0, (gssize)((size_t)(body - c->in->str) + len));
	ev_timer_init(&work->timer, on_work_end,
		      wait_ms > 0 ? (double)wait_ms / 1000.0 : 0., 0.);
	work->timer.data = work;
	ev_now_update(e->loop);
	ev_timer_start(e->loop, &work->timer);
}

static void reply(struct connection *c, int status, const char *id,
		  const char *extra, const char *type, const char *body,
		  size_t len)
{
	struct endpoint *e = c->endpoint;

	g_string_append_printf(c->out,
			       "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n"
			       "Content-Length: %zu\r\n%s",
			       status, id, len, extra);
	if (type)
		g_string_append_printf(c->out, "Content-Type: %s\r\n", type);
	g_string_append(c->out, "\r\n");
	g_string_append_len(c->out, body, (gssize)len);
	if (e->faults.close_mid_answer > 0 && status == 200) {
		e->faults.close_mid_answer--;
		g_string_truncate(c->out, c->out->len - (len + 1) / 2);
		c->close_after_write = true;
	}
	flush(c);
}

static void answer(struct work *work)
{
	struct connection *c = work->connection;
	struct endpoint *e = work->endpoint;
	const char *id = work->id;

	if (work->refused) {
		reply(c, 503, id, "Endpoint-State: leaving\r\n", NULL, "", 0);
		return;
	}
	if (e->faults.fail_fast) {
		reply(c, 500, id, "", NULL, "failed", 6);
		return;
	}
	if (e->faults.cross_answers > 0) {
		e->faults.cross_answers--;
		id = e->last_id ? e->last_id : "another-request";
	}
	reply(c, 200, id, "", work->type, work->body->str, work->body->len);
}

static void on_work_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct work *work = timer->data;
	struct endpoint *e = work->endpoint;

	(void)loop;
	(void)events;
	g_ptr_array_remove_fast(e->running, work);
	if (!work->refused)
		e->concurrent--;
	if (work->connection) {
		work->connection->work = NULL;
		if (!work->connection->silent && !e->faults.never_answer)
			answer(work);
	}
	g_free(e->last_id);
	e->last_id = work->id;
	g_free(work->type);
	g_string_free(work->body, TRUE);
	g_free(work);
}
