/*
 * Tests of the store adapter: the status it reports for each valid, missing or
 * malformed answer of the store. The server is a plain socket in the same event
 * loop, so that it can also send invalid HTTP.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/store_http.h"

/* Time limit of a wait for a condition; a test that reaches it fails. */
#define WAIT_LIMIT_S 20.0
#define CALL_TIMEOUT_MS 300
/* More than the 64 MiB that the adapter accepts. */
#define OVERSIZE_BYTES (65U << 20)

enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_PUT,
	CALL_REMOVE,
	CALL_GRANT,
	CALL_KEEPALIVE,
	CALL_REVOKE,
	CALL_WATCH,
};

enum action {
	ANSWER,	       /* sends status and body */
	ANSWER_BYTES,  /* sends body as the raw answer */
	NOT_LISTENING, /* does not listen */
	NO_ANSWER,     /* reads the request, never answers */
	CLOSE,	       /* closes without an answer */
	CLOSE_IN_BODY, /* closes after half of the body */
	ANSWER_OVERSIZE,
};

struct server {
	struct ev_loop *loop;
	int fd;
	ev_io acceptor;
	uint16_t port;
	enum action action;
	int status;
	const char *body;
	GPtrArray *connections;
	uint32_t requests;
	char *last_line; /* first line of the last request */
};

struct connection {
	struct server *server;
	int fd;
	ev_io reader;
	ev_io writer;
	GString *in;
	GString *out;
	size_t written;
	bool close_after;
};

struct completion {
	uint32_t done;
	enum cq_store_status status;
	size_t entry_count;
	int64_t revision;
	int64_t lease_id;
	bool has_message;
	char *first_value;
};

static void connection_free(void *data)
{
	struct connection *c = data;

	ev_io_stop(c->server->loop, &c->reader);
	ev_io_stop(c->server->loop, &c->writer);
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static bool request_complete(const GString *in)
{
	const char *end = strstr(in->str, "\r\n\r\n");
	char *head;
	char *lower;
	const char *length;
	size_t body = 0;

	if (!end)
		return false;
	head = g_strndup(in->str, (gsize)(end - in->str));
	lower = g_ascii_strdown(head, -1);
	length = strstr(lower, "content-length:");
	if (length)
		body = strtoul(length + strlen("content-length:"), NULL, 10);
	g_free(head);
	g_free(lower);
	return in->len >= (size_t)(end + 4 - in->str) + body;
}

static void make_answer(struct connection *c)
{
	const struct server *server = c->server;
	const char *body = server->body ? server->body : "";
	size_t len = strlen(body);

	switch (server->action) {
	case ANSWER_BYTES:
		g_string_append(c->out, body);
		c->close_after = true;
		break;
	case CLOSE:
		c->close_after = true;
		break;
	case CLOSE_IN_BODY:
		g_string_append_printf(c->out,
				       "HTTP/1.1 200 OK\r\nContent-Length: "
				       "%zu\r\n\r\n%.*s",
				       len, (int)(len / 2), body);
		c->close_after = true;
		break;
	case ANSWER_OVERSIZE:
		g_string_append_printf(c->out,
				       "HTTP/1.1 200 OK\r\nContent-Length: "
				       "%u\r\n\r\n",
				       OVERSIZE_BYTES);
		g_string_set_size(c->out, c->out->len + OVERSIZE_BYTES);
		break;
	default:
		g_string_append_printf(c->out,
				       "HTTP/1.1 %d X\r\nContent-Length: "
				       "%zu\r\n\r\n%s",
				       server->status, len, body);
		break;
	}
}

static void on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *c = watcher->data;
	ssize_t n = send(c->fd, c->out->str + c->written,
			 c->out->len - c->written, MSG_NOSIGNAL);

	(void)events;
	if (n >= 0)
		c->written += (size_t)n;
	else if (errno == EAGAIN)
		return;
	if (n >= 0 && c->written < c->out->len)
		return;
	ev_io_stop(loop, watcher);
	g_string_truncate(c->out, 0);
	c->written = 0;
	if (n < 0 || c->close_after)
		g_ptr_array_remove_fast(c->server->connections, c);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *c = watcher->data;
	struct server *server = c->server;
	char chunk[4096];
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);

	(void)events;
	if (n <= 0) {
		g_ptr_array_remove_fast(server->connections, c);
		return;
	}
	g_string_append_len(c->in, chunk, n);
	if (!request_complete(c->in))
		return;
	server->requests++;
	g_free(server->last_line);
	server->last_line = g_strndup(c->in->str, strcspn(c->in->str, "\r"));
	g_string_truncate(c->in, 0);
	if (server->action == NO_ANSWER)
		return;
	make_answer(c);
	ev_io_start(loop, &c->writer);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct server *server = watcher->data;
	struct connection *c = g_new0(struct connection, 1);

	(void)events;
	c->server = server;
	c->fd = accept(server->fd, NULL, NULL);
	fcntl(c->fd, F_SETFL, O_NONBLOCK);
	c->in = g_string_new(NULL);
	c->out = g_string_new(NULL);
	ev_io_init(&c->reader, on_readable, c->fd, EV_READ);
	ev_io_init(&c->writer, on_writable, c->fd, EV_WRITE);
	c->reader.data = c;
	c->writer.data = c;
	ev_io_start(loop, &c->reader);
	g_ptr_array_add(server->connections, c);
}

static void server_open(struct server *server, struct ev_loop *loop)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	server->loop = loop;
	server->connections = g_ptr_array_new_with_free_func(connection_free);
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	inet_pton(AF_INET, "127.0.23.9", &address.sin_addr);
	g_assert_cmpint(bind(server->fd, (struct sockaddr *)&address, len), ==,
			0);
	g_assert_cmpint(listen(server->fd, 16), ==, 0);
	getsockname(server->fd, (struct sockaddr *)&address, &len);
	server->port = ntohs(address.sin_port);
	ev_io_init(&server->acceptor, on_accept, server->fd, EV_READ);
	server->acceptor.data = server;
	ev_io_start(loop, &server->acceptor);
}

static void server_stop_listening(struct server *server)
{
	if (server->fd < 0)
		return;
	ev_io_stop(server->loop, &server->acceptor);
	close(server->fd);
	server->fd = -1;
}

static void server_close(struct server *server)
{
	server_stop_listening(server);
	g_ptr_array_free(server->connections, TRUE);
	g_free(server->last_line);
}

static void on_done(void *ctx, const struct cq_store_result *result)
{
	struct completion *seen = ctx;

	seen->done++;
	seen->status = result->status;
	seen->entry_count = result->entry_count;
	seen->revision = result->revision;
	seen->lease_id = result->lease_id;
	seen->has_message = result->message != NULL;
	g_free(seen->first_value);
	seen->first_value =
		result->entry_count ? g_strdup(result->entries[0].value) : NULL;
}

static void on_wait_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("time limit of the wait reached");
}

static void run_until_done(struct ev_loop *loop, const struct completion *seen,
			   uint32_t wanted)
{
	ev_timer limit;

	ev_timer_init(&limit, on_wait_limit, WAIT_LIMIT_S, 0.);
	ev_timer_start(loop, &limit);
	while (seen->done < wanted)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &limit);
}

static void start_call(const struct cq_store *store, enum call_kind kind,
		       uint32_t timeout_ms, struct completion *seen)
{
	const struct cq_store_ops *ops = store->ops;
	void *self = store->self;

	switch (kind) {
	case CALL_GET:
		ops->get(self, "a/b", timeout_ms, on_done, seen);
		break;
	case CALL_LIST:
		ops->list(self, "a/", timeout_ms, on_done, seen);
		break;
	case CALL_PUT:
		ops->put(self, "a/b", "v", 7, 3, timeout_ms, on_done, seen);
		break;
	case CALL_REMOVE:
		ops->remove(self, "a/b", 7, timeout_ms, on_done, seen);
		break;
	case CALL_GRANT:
		ops->lease_grant(self, 5000, timeout_ms, on_done, seen);
		break;
	case CALL_KEEPALIVE:
		ops->lease_keepalive(self, 3, timeout_ms, on_done, seen);
		break;
	case CALL_REVOKE:
		ops->lease_revoke(self, 3, timeout_ms, on_done, seen);
		break;
	case CALL_WATCH:
		ops->watch(self, "a/", 7, 100, on_done, seen);
		break;
	}
}

#define ENTRY "{\"key\":\"a/b\",\"value\":\"v\",\"revision\":7,\"lease\":3}"
#define ONE "{\"revision\":9,\"entries\":[" ENTRY "]}"
#define NONE "{\"revision\":9,\"entries\":[]}"
#define LEASE "{\"revision\":9,\"lease\":3}"

struct fault_case {
	const char *name;
	enum call_kind call;
	enum action action;
	int http_status;
	const char *body;
	enum cq_store_status status;
	uint32_t entry_count;
};

/*
 * A write whose answer is lost or malformed may have taken effect, so it must
 * be reported as UNKNOWN, never as UNAVAILABLE. A read has no effect and is
 * reported as UNAVAILABLE.
 */
static const struct fault_case fault_cases[] = {
	{ "get", CALL_GET, ANSWER, 200, ONE, CQ_STORE_OK, 1 },
	{ "list", CALL_LIST, ANSWER, 200, ONE, CQ_STORE_OK, 1 },
	{ "empty list", CALL_LIST, ANSWER, 200, NONE, CQ_STORE_OK, 0 },
	{ "put", CALL_PUT, ANSWER, 200, ONE, CQ_STORE_OK, 1 },
	{ "remove", CALL_REMOVE, ANSWER, 200, NONE, CQ_STORE_OK, 0 },
	{ "grant", CALL_GRANT, ANSWER, 200, LEASE, CQ_STORE_OK, 0 },
	{ "keepalive", CALL_KEEPALIVE, ANSWER, 200, LEASE, CQ_STORE_OK, 0 },
	{ "revoke", CALL_REVOKE, ANSWER, 200, LEASE, CQ_STORE_OK, 0 },
	{ "watch", CALL_WATCH, ANSWER, 200, ONE, CQ_STORE_OK, 1 },
	{ "put conflict", CALL_PUT, ANSWER, 409, ONE, CQ_STORE_CONFLICT, 1 },
	{ "remove conflict", CALL_REMOVE, ANSWER, 409, ONE, CQ_STORE_CONFLICT,
	  1 },
	{ "conflict without a body", CALL_PUT, ANSWER, 409, "",
	  CQ_STORE_CONFLICT, 0 },
	{ "get absent", CALL_GET, ANSWER, 404, "{}", CQ_STORE_NOT_FOUND, 0 },
	{ "keepalive of an expired lease", CALL_KEEPALIVE, ANSWER, 404, "{}",
	  CQ_STORE_NOT_FOUND, 0 },
	{ "put down", CALL_PUT, NOT_LISTENING, 0, NULL, CQ_STORE_UNAVAILABLE,
	  0 },
	{ "get down", CALL_GET, NOT_LISTENING, 0, NULL, CQ_STORE_UNAVAILABLE,
	  0 },
	{ "put to an overloaded store", CALL_PUT, ANSWER, 503, "{}",
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "put silent", CALL_PUT, NO_ANSWER, 0, NULL, CQ_STORE_UNKNOWN, 0 },
	{ "remove silent", CALL_REMOVE, NO_ANSWER, 0, NULL, CQ_STORE_UNKNOWN,
	  0 },
	{ "get silent", CALL_GET, NO_ANSWER, 0, NULL, CQ_STORE_UNAVAILABLE, 0 },
	{ "put lost answer", CALL_PUT, CLOSE, 0, NULL, CQ_STORE_UNKNOWN, 0 },
	{ "grant lost answer", CALL_GRANT, CLOSE, 0, NULL, CQ_STORE_UNKNOWN,
	  0 },
	{ "get lost answer", CALL_GET, CLOSE, 0, NULL, CQ_STORE_UNAVAILABLE,
	  0 },
	{ "put cut off", CALL_PUT, CLOSE_IN_BODY, 200, ONE, CQ_STORE_UNKNOWN,
	  0 },
	{ "list cut off", CALL_LIST, CLOSE_IN_BODY, 200, ONE,
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "put truncated JSON", CALL_PUT, ANSWER, 200, "{\"revision\":9,",
	  CQ_STORE_UNKNOWN, 0 },
	{ "get truncated JSON", CALL_GET, ANSWER, 200, "{\"revision\":9,",
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "get JSON array", CALL_GET, ANSWER, 200, "[]", CQ_STORE_UNAVAILABLE,
	  0 },
	{ "list entry without a key", CALL_LIST, ANSWER, 200,
	  "{\"revision\":9,\"entries\":[{\"value\":\"v\"}]}",
	  CQ_STORE_UNAVAILABLE, 0 },
	/* Would show all keys as removed. */
	{ "list without entries", CALL_LIST, ANSWER, 200, "{\"revision\":9}",
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "list with entries of another type", CALL_LIST, ANSWER, 200,
	  "{\"revision\":9,\"entries\":{}}", CQ_STORE_UNAVAILABLE, 0 },
	{ "watch without entries", CALL_WATCH, ANSWER, 200, "{\"revision\":9}",
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "get without entries", CALL_GET, ANSWER, 200, "{\"revision\":9}",
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "put wrong status", CALL_PUT, ANSWER, 500, "{}", CQ_STORE_UNKNOWN,
	  0 },
	{ "put refused", CALL_PUT, ANSWER, 413, "{}", CQ_STORE_INVALID, 0 },
	{ "get malformed", CALL_GET, ANSWER, 400, "{}", CQ_STORE_INVALID, 0 },
	{ "put not HTTP", CALL_PUT, ANSWER_BYTES, 0, "garbage\n",
	  CQ_STORE_UNKNOWN, 0 },
	{ "list oversize", CALL_LIST, ANSWER_OVERSIZE, 200, NULL,
	  CQ_STORE_UNAVAILABLE, 0 },
	{ "put oversize", CALL_PUT, ANSWER_OVERSIZE, 200, NULL,
	  CQ_STORE_UNKNOWN, 0 },
};

static void run_case(const struct fault_case *fault)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct cq_http_client *client = cq_http_client_create(loop, 4, 4);
	struct server server = { .action = fault->action,
				 .status = fault->http_status,
				 .body = fault->body };
	struct completion seen = { 0 };
	struct cq_store_http *http;
	uint32_t timeout_ms = fault->action == NO_ANSWER ? CALL_TIMEOUT_MS
							 : 10000;
	char address[32];

	g_test_message("%s", fault->name);
	server_open(&server, loop);
	snprintf(address, sizeof(address), "127.0.23.9:%u", server.port);
	if (fault->action == NOT_LISTENING)
		server_stop_listening(&server);
	http = cq_store_http_create(client, address);
	start_call(cq_store_http_get(http), fault->call, timeout_ms, &seen);
	run_until_done(loop, &seen, 1);
	g_assert_cmpstr(cq_store_status_string(seen.status), ==,
			cq_store_status_string(fault->status));
	g_assert_cmpuint(seen.entry_count, ==, fault->entry_count);
	g_assert_true(seen.has_message);
	if (fault->status == CQ_STORE_OK)
		g_assert_cmpint(seen.revision, ==, 9);
	if (seen.entry_count)
		g_assert_cmpstr(seen.first_value, ==, "v");
	g_assert_cmpuint(server.requests, ==, fault->action != NOT_LISTENING);
	cq_store_http_destroy(http);
	cq_http_client_destroy(client);
	server_close(&server);
	g_free(seen.first_value);
	ev_loop_destroy(loop);
}

static void test_faults(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		run_case(&fault_cases[i]);
}

/*
 * Guards against a changed request line. The project's fake stores would change
 * together with the adapter and not detect it.
 */
static void test_request_lines(void)
{
	static const struct {
		enum call_kind call;
		const char *line;
	} cases[] = {
		{ CALL_GET, "GET /v1/kv/a/b HTTP/1.1" },
		{ CALL_LIST, "GET /v1/kv?prefix=a/ HTTP/1.1" },
		{ CALL_PUT, "PUT /v1/kv/a/b?revision=7&lease=3 HTTP/1.1" },
		{ CALL_REMOVE, "DELETE /v1/kv/a/b?revision=7 HTTP/1.1" },
		{ CALL_GRANT, "POST /v1/leases?ttl_ms=5000 HTTP/1.1" },
		{ CALL_KEEPALIVE, "POST /v1/leases/3/keepalive HTTP/1.1" },
		{ CALL_REVOKE, "DELETE /v1/leases/3 HTTP/1.1" },
		{ CALL_WATCH,
		  "GET /v1/watch?prefix=a/&after=7&wait_ms=100 HTTP/1.1" },
	};
	struct ev_loop *loop = ev_loop_new(0);
	struct cq_http_client *client = cq_http_client_create(loop, 4, 4);
	struct server server = { .action = ANSWER,
				 .status = 200,
				 .body = NONE };
	struct completion seen = { 0 };
	struct cq_store_http *http;
	char address[32];
	size_t i;

	server_open(&server, loop);
	snprintf(address, sizeof(address), "127.0.23.9:%u", server.port);
	http = cq_store_http_create(client, address);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		start_call(cq_store_http_get(http), cases[i].call, 5000, &seen);
		run_until_done(loop, &seen, (uint32_t)i + 1);
		g_assert_cmpstr(server.last_line, ==, cases[i].line);
	}
	g_assert_cmpuint(cq_store_http_calls(http), ==, G_N_ELEMENTS(cases));
	cq_store_http_destroy(http);
	cq_http_client_destroy(client);
	server_close(&server);
	ev_loop_destroy(loop);
}

/*
 * Guards against a write that is sent twice: libcurl resends a request when a
 * reused connection closes without an answer. The second compare-and-swap would
 * report a conflict although the first one took effect.
 */
static void test_write_is_sent_once(void)
{
	static const enum call_kind calls[] = { CALL_PUT, CALL_REMOVE,
						CALL_GRANT };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		struct ev_loop *loop = ev_loop_new(0);
		struct cq_http_client *client =
			cq_http_client_create(loop, 4, 4);
		struct server server = { .action = ANSWER,
					 .status = 200,
					 .body = ONE };
		struct completion seen = { 0 };
		struct cq_store_http *http;
		char address[32];

		server_open(&server, loop);
		snprintf(address, sizeof(address), "127.0.23.9:%u",
			 server.port);
		http = cq_store_http_create(client, address);
		start_call(cq_store_http_get(http), CALL_GET, 5000, &seen);
		run_until_done(loop, &seen, 1);
		server.action = CLOSE;
		start_call(cq_store_http_get(http), calls[i], 5000, &seen);
		run_until_done(loop, &seen, 2);
		g_assert_cmpstr(cq_store_status_string(seen.status), ==,
				cq_store_status_string(CQ_STORE_UNKNOWN));
		g_assert_cmpuint(server.requests, ==, 2);
		cq_store_http_destroy(http);
		cq_http_client_destroy(client);
		server_close(&server);
		g_free(seen.first_value);
		ev_loop_destroy(loop);
	}
}

/* Guards against calling the completion of a cancelled call. */
static void test_cancel(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct cq_http_client *client = cq_http_client_create(loop, 4, 4);
	struct server server = { .action = ANSWER, .status = 200, .body = ONE };
	struct completion cancelled = { 0 };
	struct completion seen = { 0 };
	struct cq_store_http *http;
	const struct cq_store *store;
	char address[32];

	server_open(&server, loop);
	snprintf(address, sizeof(address), "127.0.23.9:%u", server.port);
	http = cq_store_http_create(client, address);
	store = cq_store_http_get(http);
	store->ops->cancel(store->self, store->ops->get(store->self, "a", 5000,
							on_done, &cancelled));
	start_call(store, CALL_GET, 5000, &seen);
	run_until_done(loop, &seen, 1);
	g_assert_cmpuint(cancelled.done, ==, 0);
	cq_store_http_destroy(http);
	cq_http_client_destroy(client);
	server_close(&server);
	g_free(seen.first_value);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store_http/faults", test_faults);
	g_test_add_func("/store_http/request_lines", test_request_lines);
	g_test_add_func("/store_http/write_is_sent_once",
			test_write_is_sent_once);
	g_test_add_func("/store_http/cancel", test_cancel);
	return g_test_run();
}
