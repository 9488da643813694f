/* The operator listener: health, metrics, token check and routing. */
#include <jansson.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "programs/common/daemon_private.h"

static const char *not_ready_reason(const struct cq_daemon *daemon)
{
	const char *reason = daemon->draining ? "draining" : NULL;
	guint i;

	for (i = 0; !reason && i < daemon->ready_checks->len; i++) {
		const struct hook *hook =
			&g_array_index(daemon->ready_checks, struct hook, i);

		reason = hook->fn.ready(hook->ctx);
	}
	return reason;
}

static bool serve_health(struct cq_daemon *daemon,
			 struct cq_operator_exchange *exchange,
			 const char *path)
{
	static const struct cq_http_header text[] = {
		{ "Content-Type", "text/plain; version=0.0.4" },
		{ NULL, NULL },
	};
	const char *reason;
	char *metrics;

	if (!strcmp(path, "/healthz")) {
		cq_operator_exchange_respond(exchange, 200, text, "ok\n", 3);
	} else if (!strcmp(path, "/readyz")) {
		reason = not_ready_reason(daemon);
		if (reason)
			cq_daemon_respond_error(exchange, 503, "not_ready",
						"%s", reason);
		else
			cq_operator_exchange_respond(exchange, 200, text,
						     "ready\n", 6);
	} else if (!strcmp(path, "/metrics")) {
		metrics = cq_metrics_format(daemon->metrics);
		cq_operator_exchange_respond(exchange, 200, text, metrics,
					     strlen(metrics));
		free(metrics);
	} else {
		return false;
	}
	return true;
}

/* Compares in constant time to prevent timing attacks on the token. */
static bool token_matches(const struct cq_daemon *daemon,
			  const struct cq_operator_exchange *exchange)
{
	const char *given =
		cq_operator_exchange_header(exchange, "Authorization");
	size_t len = strlen(daemon->token);
	unsigned char difference = 0;
	size_t i;

	if (!given || !g_str_has_prefix(given, "Bearer "))
		return false;
	given += strlen("Bearer ");
	if (strlen(given) != len)
		return false;
	for (i = 0; i < len; i++)
		difference |= (unsigned char)(given[i] ^ daemon->token[i]);
	return !difference;
}

static const struct route *find_route(const struct cq_daemon *daemon,
				      const char *method, const char *path)
{
	const struct route *best = NULL;
	guint i;

	for (i = 0; i < daemon->routes->len; i++) {
		const struct route *route =
			&g_array_index(daemon->routes, struct route, i);

		if (strcmp(route->method, method) != 0 ||
		    !g_str_has_prefix(path, route->prefix))
			continue;
		if (!best || strlen(route->prefix) > strlen(best->prefix))
			best = route;
	}
	return best;
}

static void on_operator_request(void *ctx,
				struct cq_operator_exchange *exchange)
{
	struct cq_daemon *daemon = ctx;
	const char *path = cq_operator_exchange_path(exchange);
	const struct route *route;

	if (serve_health(daemon, exchange, path))
		return;
	if (!token_matches(daemon, exchange)) {
		cq_daemon_respond_error(exchange, 401, "unauthorized",
					"a valid operator token is required "
					"(Authorization: Bearer TOKEN)");
		return;
	}
	route = find_route(daemon, cq_operator_exchange_method(exchange), path);
	if (!route) {
		cq_daemon_respond_error(exchange, 404, "not_found",
					"no call %s %s",
					cq_operator_exchange_method(exchange),
					path);
		return;
	}
	route->fn(route->ctx, exchange);
}

static void on_operator_abort(void *ctx, struct cq_operator_exchange *exchange)
{
	struct cq_daemon *daemon = ctx;
	guint i;

	for (i = 0; i < daemon->aborts->len; i++) {
		struct hook hook =
			g_array_index(daemon->aborts, struct hook, i);

		hook.fn.abort(hook.ctx, exchange);
	}
}

void cq_daemon_add_abort(struct cq_daemon *daemon, cq_daemon_route_fn *fn,
			 void *ctx)
{
	struct hook hook = { .fn.abort = fn, .ctx = ctx };

	g_array_append_val(daemon->aborts, hook);
}

void cq_daemon_respond_error(struct cq_operator_exchange *exchange,
			     uint32_t status, const char *code, const char *fmt,
			     ...)
{
	va_list args;
	char *message;
	json_t *body;
	char *text;

	va_start(args, fmt);
	message = g_strdup_vprintf(fmt, args);
	va_end(args);
	body = json_pack("{s:{s:s,s:s}}", "error", "code", code, "message",
			 message);
	text = json_dumps(body, JSON_COMPACT);
	cq_operator_exchange_respond_json(exchange, status,
					  text ? text : "{\"error\":{}}");
	free(text);
	json_decref(body);
	g_free(message);
}

void cq_daemon_add_route(struct cq_daemon *daemon, const char *method,
			 const char *prefix, cq_daemon_route_fn *fn, void *ctx)
{
	struct route route = { method, g_strdup(prefix), fn, ctx };

	g_array_append_val(daemon->routes, route);
}

bool cq_daemon_open_operators(struct cq_daemon *daemon, struct cq_error *err)
{
	struct cq_operator_handler handler = { on_operator_request,
					       on_operator_abort };
	struct cq_http_server_options options;
	char ip[16];
	uint16_t port;

	cq_address_parse(cq_config_string(daemon->config, "operator-address"),
			 ip, &port, NULL);
	cq_http_server_options_init(&options, ip, port);
	daemon->operators = cq_operator_http_create(daemon->loop, &options,
						    &handler, daemon, err);
	return daemon->operators != NULL;
}
