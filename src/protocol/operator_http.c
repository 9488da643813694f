#include <glib.h>

#include "chestnutquay/operator.h"

struct cq_operator_http {
	struct cq_http_server *server;
	struct cq_operator_handler handler;
	void *ctx;
};

/* User pointer of its HTTP exchange until that is answered or aborted. */
struct exchange {
	struct cq_operator_exchange base;
	struct cq_http_exchange *http;
};

static const char *http_method(const struct cq_operator_exchange *base)
{
	return cq_http_exchange_method(((const struct exchange *)base)->http);
}

static const char *http_path(const struct cq_operator_exchange *base)
{
	return cq_http_exchange_path(((const struct exchange *)base)->http);
}

static const char *http_query(const struct cq_operator_exchange *base,
			      const char *name)
{
	return cq_http_exchange_query(((const struct exchange *)base)->http,
				      name);
}

static const char *http_header(const struct cq_operator_exchange *base,
			       const char *name)
{
	return cq_http_exchange_header(((const struct exchange *)base)->http,
				       name);
}

static const char *http_body(const struct cq_operator_exchange *base,
			     size_t *len)
{
	return cq_http_exchange_body(((const struct exchange *)base)->http,
				     len);
}

static void http_respond(struct cq_operator_exchange *base, uint32_t status,
			 const struct cq_http_header *headers, const char *body,
			 size_t len)
{
	struct exchange *exchange = (struct exchange *)base;

	cq_http_exchange_set_user(exchange->http, NULL);
	cq_http_exchange_respond(exchange->http, status, headers, body, len);
	g_free(exchange);
}

static const struct cq_operator_exchange_ops exchange_ops = {
	.method = http_method,
	.path = http_path,
	.query = http_query,
	.header = http_header,
	.body = http_body,
	.respond = http_respond,
};

void cq_operator_http_pass(const struct cq_operator_handler *handler, void *ctx,
			   struct cq_http_exchange *http)
{
	struct exchange *exchange = g_new0(struct exchange, 1);

	exchange->base.ops = &exchange_ops;
	exchange->http = http;
	cq_http_exchange_set_user(http, exchange);
	handler->request(ctx, &exchange->base);
}

void cq_operator_http_pass_aborted(const struct cq_operator_handler *handler,
				   void *ctx, struct cq_http_exchange *http)
{
	struct exchange *exchange = cq_http_exchange_user(http);

	if (!exchange)
		return;
	handler->aborted(ctx, &exchange->base);
	g_free(exchange);
}

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct cq_operator_http *http = ctx;

	cq_operator_http_pass(&http->handler, http->ctx, exchange);
}

static void on_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct cq_operator_http *http = ctx;

	cq_operator_http_pass_aborted(&http->handler, http->ctx, exchange);
}

struct cq_operator_http *
cq_operator_http_create(struct ev_loop *loop,
			const struct cq_http_server_options *options,
			const struct cq_operator_handler *handler, void *ctx,
			struct cq_error *err)
{
	static const struct cq_http_server_handler server_handler = {
		on_request, on_aborted
	};
	struct cq_operator_http *http = g_new0(struct cq_operator_http, 1);

	http->handler = *handler;
	http->ctx = ctx;
	http->server = cq_http_server_create(loop, options, &server_handler,
					     http, err);
	if (!http->server) {
		g_free(http);
		return NULL;
	}
	return http;
}

void cq_operator_http_destroy(struct cq_operator_http *http)
{
	if (!http)
		return;
	cq_http_server_destroy(http->server);
	g_free(http);
}

uint16_t cq_operator_http_port(const struct cq_operator_http *http)
{
	return cq_http_server_port(http->server);
}
