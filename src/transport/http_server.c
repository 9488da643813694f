#include "chestnutquay/http_server.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define DEFAULT_MAX_CONNECTIONS 1024
#define DEFAULT_MAX_BODY_BYTES (1U << 20)
#define DEFAULT_MAX_TOTAL_BODY_BYTES (UINT64_C(64) << 20)
#define DEFAULT_IDLE_TIMEOUT_S 30
#define SLOW_CHECK_S 0.5
/* Memory of one connection for its request line and headers. */
#define CONNECTION_MEMORY_BYTES ((size_t)32 << 10)

enum exchange_state {
	EXCHANGE_RECEIVING,
	EXCHANGE_TOO_LARGE,  /* body is discarded, 413 at the end */
	EXCHANGE_OVERLOADED, /* body is discarded, 503 at the end */
	EXCHANGE_HANDLING,   /* with the handler, suspended unless in call */
	EXCHANGE_ANSWERED,
	EXCHANGE_ABORTED, /* the client went away before the answer */
};

struct cq_http_exchange {
	struct cq_http_server *server;
	struct MHD_Connection *connection;
	struct cq_http_exchange *next, *prev; /* all exchanges of a server */
	enum exchange_state state;
	char *method;
	char *path;
	GByteArray *body;
	struct MHD_Response *response;
	uint32_t status;
	bool suspended;
	ev_io close_watcher; /* active while suspended */
	void *user;
};

/* A connection, kept by libmicrohttpd as its socket context. */
struct connection {
	struct connection *next, *prev;
	int fd;
	bool handling;	/* a whole request is with the handler */
	double since_s; /* opened, or its last answer ended */
};

struct cq_http_server {
	struct ev_loop *loop;
	struct cq_http_server_options options;
	struct cq_http_server_handler handler;
	void *ctx;
	struct MHD_Daemon *daemon;
	ev_io epoll_watcher;
	ev_timer timeout_watcher;
	ev_prepare prepare_watcher;
	ev_timer slow_watcher;
	struct connection *connections;
	struct cq_http_exchange *exchanges;
	uint64_t body_bytes;
	uint32_t open;
	uint16_t port;
	bool run_again;
};

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **con_cls);
static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **con_cls, enum MHD_RequestTerminationCode code);
static void on_epoll(struct ev_loop *loop, ev_io *watcher, int events);
static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events);
static struct cq_http_exchange *exchange_create(struct cq_http_server *server,
						struct MHD_Connection *conn,
						const char *method,
						const char *path);
static void exchange_free(struct cq_http_exchange *exchange);
static void receive_body(struct cq_http_exchange *exchange, const char *data,
			 size_t len);
static enum MHD_Result hand_over(struct cq_http_exchange *exchange);
static enum MHD_Result reject(struct cq_http_exchange *exchange,
			      uint32_t status, const char *code,
			      const char *message);
static enum MHD_Result send_answer(struct cq_http_exchange *exchange);
static void on_connection(void *cls, struct MHD_Connection *mhd,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code);
static void on_slow_check(struct ev_loop *loop, ev_timer *watcher, int events);
static struct connection *connection_of(struct MHD_Connection *mhd);
static void run_daemon(struct cq_http_server *server);
static void suspend(struct cq_http_exchange *exchange);
static void resume(struct cq_http_exchange *exchange);
static void on_client_input(struct ev_loop *loop, ev_io *watcher, int events);

void cq_http_server_options_init(struct cq_http_server_options *options,
				 const char *ip, uint16_t port)
{
	options->ip = ip;
	options->port = port;
	options->max_connections = DEFAULT_MAX_CONNECTIONS;
	options->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	options->max_total_body_bytes = DEFAULT_MAX_TOTAL_BODY_BYTES;
	options->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
}

static struct cq_http_exchange *exchange_create(struct cq_http_server *server,
						struct MHD_Connection *conn,
						const char *method,
						const char *path)
{
	struct cq_http_exchange *exchange = g_new0(struct cq_http_exchange, 1);

	exchange->server = server;
	exchange->connection = conn;
	exchange->method = g_strdup(method);
	exchange->path = g_strdup(path);
	exchange->body = g_byte_array_new();
	exchange->next = server->exchanges;
	if (exchange->next)
		exchange->next->prev = exchange;
	server->exchanges = exchange;
	server->open++;
	return exchange;
}

static void exchange_free(struct cq_http_exchange *exchange)
{
	struct cq_http_server *server = exchange->server;

	if (exchange->prev)
		exchange->prev->next = exchange->next;
	else
		server->exchanges = exchange->next;
	if (exchange->next)
		exchange->next->prev = exchange->prev;
	server->body_bytes -= exchange->body->len;
	server->open--;
	if (exchange->response)
		MHD_destroy_response(exchange->response);
	g_byte_array_free(exchange->body, TRUE);
	g_free(exchange->method);
	g_free(exchange->path);
	g_free(exchange);
}

static void receive_body(struct cq_http_exchange *exchange, const char *data,
			 size_t len)
{
	struct cq_http_server *server = exchange->server;

	if (exchange->state != EXCHANGE_RECEIVING)
		return;
	if (exchange->body->len + len > server->options.max_body_bytes)
		exchange->state = EXCHANGE_TOO_LARGE;
	else if (server->body_bytes + len >
		 server->options.max_total_body_bytes)
		exchange->state = EXCHANGE_OVERLOADED;
	if (exchange->state != EXCHANGE_RECEIVING) {
		server->body_bytes -= exchange->body->len;
		g_byte_array_set_size(exchange->body, 0);
		return;
	}
	g_byte_array_append(exchange->body, (const guint8 *)data, (guint)len);
	server->body_bytes += len;
}

static enum MHD_Result send_answer(struct cq_http_exchange *exchange)
{
	enum MHD_Result result;

	exchange->state = EXCHANGE_ANSWERED;
	result = MHD_queue_response(exchange->connection, exchange->status,
				    exchange->response);
	MHD_destroy_response(exchange->response);
	exchange->response = NULL;
	return result;
}

static enum MHD_Result reject(struct cq_http_exchange *exchange,
			      uint32_t status, const char *code,
			      const char *message)
{
	/* A key may belong to an earlier request that ran. */
	const char *run = cq_http_exchange_header(exchange, "Idempotency-Key")
				  ? "unknown"
				  : "no";
	char *json = g_strdup_printf("{\"error\":{\"code\":\"%s\",\"message\":"
				     "\"%s\",\"run\":\"%s\"}}",
				     code, message, run);

	exchange->status = status;
	exchange->response = MHD_create_response_from_buffer(
		strlen(json), json, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(exchange->response, "Content-Type",
				"application/json");
	MHD_add_response_header(exchange->response, "Cq-Run", run);
	g_free(json);
	return send_answer(exchange);
}

static enum MHD_Result hand_over(struct cq_http_exchange *exchange)
{
	struct cq_http_server *server = exchange->server;

	exchange->state = EXCHANGE_HANDLING;
	connection_of(exchange->connection)->handling = true;
	server->handler.request(server->ctx, exchange);
	if (exchange->response)
		return send_answer(exchange);
	suspend(exchange);
	return MHD_YES;
}

/*
 * libmicrohttpd does not look at the socket of a suspended connection, so
 * this module watches it for the client going away.
 */
static void suspend(struct cq_http_exchange *exchange)
{
	const union MHD_ConnectionInfo *info;

	MHD_suspend_connection(exchange->connection);
	exchange->suspended = true;
	info = MHD_get_connection_info(exchange->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	ev_io_init(&exchange->close_watcher, on_client_input, info->connect_fd,
		   EV_READ);
	exchange->close_watcher.data = exchange;
	ev_io_start(exchange->server->loop, &exchange->close_watcher);
}

static void resume(struct cq_http_exchange *exchange)
{
	struct cq_http_server *server = exchange->server;

	exchange->suspended = false;
	ev_io_stop(server->loop, &exchange->close_watcher);
	MHD_resume_connection(exchange->connection);
	/* A resumed connection makes no descriptor ready; force a run. */
	ev_feed_event(server->loop, &server->epoll_watcher, EV_READ);
}

static void on_client_input(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct cq_http_exchange *exchange = watcher->data;
	struct cq_http_server *server = exchange->server;
	char byte;
	ssize_t n = recv(watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0) {
		/* The next request of the connection waits for the answer. */
		ev_io_stop(loop, watcher);
		return;
	}
	exchange->state = EXCHANGE_ABORTED;
	if (server->handler.aborted)
		server->handler.aborted(server->ctx, exchange);
	resume(exchange);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **con_cls)
{
	struct cq_http_server *server = cls;
	struct cq_http_exchange *exchange = *con_cls;

	(void)version;
	if (!exchange) {
		*con_cls = exchange_create(server, connection, method, url);
		return MHD_YES;
	}
	if (*upload_size) {
		receive_body(exchange, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	switch (exchange->state) {
	case EXCHANGE_RECEIVING:
		return hand_over(exchange);
	case EXCHANGE_TOO_LARGE:
		return reject(exchange, MHD_HTTP_CONTENT_TOO_LARGE,
			      "body_too_large",
			      "the request body is over the limit");
	case EXCHANGE_OVERLOADED:
		return reject(exchange, MHD_HTTP_SERVICE_UNAVAILABLE,
			      "overloaded",
			      "too many request bodies are held; retry later");
	case EXCHANGE_HANDLING:
		return exchange->response ? send_answer(exchange) : MHD_YES;
	case EXCHANGE_ANSWERED:
		break;
	case EXCHANGE_ABORTED:
		return MHD_NO;
	}
	return MHD_YES;
}

static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **con_cls, enum MHD_RequestTerminationCode code)
{
	struct cq_http_server *server = cls;
	struct cq_http_exchange *exchange = *con_cls;

	(void)code;
	if (!exchange)
		return;
	connection_of(connection)->handling = false;
	connection_of(connection)->since_s = ev_now(server->loop);
	*con_cls = NULL;
	if (exchange->state == EXCHANGE_HANDLING && !exchange->response &&
	    server->handler.aborted)
		server->handler.aborted(server->ctx, exchange);
	exchange_free(exchange);
}

static struct connection *connection_of(struct MHD_Connection *mhd)
{
	return MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

static void on_connection(void *cls, struct MHD_Connection *mhd,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct cq_http_server *server = cls;
	struct connection *c = *socket_ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = g_new0(struct connection, 1);
		c->fd = MHD_get_connection_info(
				mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
				->connect_fd;
		c->since_s = ev_now(server->loop);
		c->next = server->connections;
		if (c->next)
			c->next->prev = c;
		server->connections = c;
		*socket_ctx = c;
		return;
	}
	if (c->prev)
		c->prev->next = c->next;
	else
		server->connections = c->next;
	if (c->next)
		c->next->prev = c->prev;
	g_free(c);
}

/* libmicrohttpd's own timeout starts again with every byte. */
static void on_slow_check(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct cq_http_server *server = watcher->data;
	double limit_s = server->options.idle_timeout_s;
	struct connection *c;

	(void)events;
	for (c = server->connections; c; c = c->next)
		if (!c->handling && ev_now(loop) - c->since_s > limit_s)
			shutdown(c->fd, SHUT_RDWR);
}

static void run_daemon(struct cq_http_server *server)
{
	MHD_run(server->daemon);
	server->run_again = true;
}

static void on_epoll(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	run_daemon(watcher->data);
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	run_daemon(watcher->data);
}

/*
 * Asks libmicrohttpd before the loop blocks how long it may sleep. Resumed
 * connections and buffered input need a run although no descriptor is ready;
 * the library reports them as a timeout of zero.
 */
static void on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	struct cq_http_server *server = watcher->data;
	MHD_UNSIGNED_LONG_LONG wait_ms;
	int rounds = 0;

	(void)events;
	while (server->run_again && rounds++ < 4) {
		server->run_again = false;
		if (MHD_get_timeout(server->daemon, &wait_ms) == MHD_YES &&
		    wait_ms == 0)
			run_daemon(server);
	}
	ev_timer_stop(loop, &server->timeout_watcher);
	if (MHD_get_timeout(server->daemon, &wait_ms) != MHD_YES)
		return;
	ev_timer_set(&server->timeout_watcher, (double)wait_ms / 1000.0, 0.);
	ev_timer_start(loop, &server->timeout_watcher);
}

struct cq_http_server *
cq_http_server_create(struct ev_loop *loop,
		      const struct cq_http_server_options *options,
		      const struct cq_http_server_handler *handler, void *ctx,
		      struct cq_error *err)
{
	struct cq_http_server *server;
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(options->port) };
	const union MHD_DaemonInfo *info;

	assert(handler->request);
	if (inet_pton(AF_INET, options->ip, &address.sin_addr) != 1) {
		cq_error_set(err, CQ_ERROR_TRANSPORT, CQ_ERR_INVALID,
			     "cannot listen on '%s': not an IPv4 address",
			     options->ip);
		return NULL;
	}
	server = g_new0(struct cq_http_server, 1);
	server->loop = loop;
	server->options = *options;
	server->handler = *handler;
	server->ctx = ctx;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options->port, NULL,
		NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_CONNECTION_LIMIT, options->max_connections,
		MHD_OPTION_CONNECTION_TIMEOUT, options->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_END);
	if (!server->daemon) {
		cq_error_set(err, CQ_ERROR_TRANSPORT, CQ_ERR_SYSTEM,
			     "cannot listen on %s:%u", options->ip,
			     options->port);
		g_free(server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
	server->port = info && info->port ? info->port : options->port;
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&server->epoll_watcher, on_epoll, info->epoll_fd, EV_READ);
	ev_timer_init(&server->timeout_watcher, on_timeout, 0., 0.);
	ev_prepare_init(&server->prepare_watcher, on_prepare);
	ev_timer_init(&server->slow_watcher, on_slow_check, SLOW_CHECK_S,
		      SLOW_CHECK_S);
	server->slow_watcher.data = server;
	ev_timer_start(loop, &server->slow_watcher);
	server->epoll_watcher.data = server;
	server->timeout_watcher.data = server;
	server->prepare_watcher.data = server;
	ev_io_start(loop, &server->epoll_watcher);
	ev_prepare_start(loop, &server->prepare_watcher);
	return server;
}

void cq_http_server_destroy(struct cq_http_server *server)
{
	struct cq_http_exchange *exchange;

	if (!server)
		return;
	/* libmicrohttpd must not be stopped with suspended connections. */
	for (exchange = server->exchanges; exchange;
	     exchange = exchange->next) {
		if (!exchange->suspended)
			continue;
		resume(exchange);
	}
	ev_io_stop(server->loop, &server->epoll_watcher);
	ev_timer_stop(server->loop, &server->timeout_watcher);
	ev_prepare_stop(server->loop, &server->prepare_watcher);
	ev_timer_stop(server->loop, &server->slow_watcher);
	MHD_stop_daemon(server->daemon);
	g_free(server);
}

void cq_http_server_quiesce(struct cq_http_server *server)
{
	MHD_socket fd = MHD_quiesce_daemon(server->daemon);

	if (fd != MHD_INVALID_SOCKET)
		shutdown(fd, SHUT_RDWR);
}

uint16_t cq_http_server_port(const struct cq_http_server *server)
{
	return server->port;
}

uint32_t cq_http_server_open_exchanges(const struct cq_http_server *server)
{
	return server->open;
}

const char *cq_http_exchange_method(const struct cq_http_exchange *exchange)
{
	return exchange->method;
}

const char *cq_http_exchange_path(const struct cq_http_exchange *exchange)
{
	return exchange->path;
}

const char *cq_http_exchange_query(const struct cq_http_exchange *exchange,
				   const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

const char *cq_http_exchange_header(const struct cq_http_exchange *exchange,
				    const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_HEADER_KIND, name);
}

const char *cq_http_exchange_body(const struct cq_http_exchange *exchange,
				  size_t *len)
{
	/* A terminating zero outside the counted length helps text parsers. */
	g_byte_array_append(exchange->body, (const guint8 *)"", 1);
	g_byte_array_set_size(exchange->body, exchange->body->len - 1);
	if (len)
		*len = exchange->body->len;
	return (const char *)exchange->body->data;
}

void cq_http_exchange_set_user(struct cq_http_exchange *exchange, void *user)
{
	exchange->user = user;
}

void *cq_http_exchange_user(const struct cq_http_exchange *exchange)
{
	return exchange->user;
}

void cq_http_exchange_respond(struct cq_http_exchange *exchange,
			      uint32_t status,
			      const struct cq_http_header *headers,
			      const char *body, size_t len)
{
	assert(exchange->state == EXCHANGE_HANDLING && !exchange->response);
	exchange->status = status;
	exchange->response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	for (; headers && headers->name; headers++)
		MHD_add_response_header(exchange->response, headers->name,
					headers->value);
	if (!exchange->suspended)
		return;
	resume(exchange);
}

void cq_http_exchange_respond_json(struct cq_http_exchange *exchange,
				   uint32_t status, const char *json)
{
	static const struct cq_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	cq_http_exchange_respond(exchange, status, headers, json, strlen(json));
}
