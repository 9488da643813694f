/*
 * Simulates the endpoints of a request-serving service: many endpoints in one
 * process, on consecutive ports. Each answers POST /PATH with the body and the
 * Request-Id of the request.
 *
 * The control address serves:
 *
 *   GET /v1/stats     {"executions","refused","repeated_ids",
 *                     "repeated_bodies","endpoints":[{"port","executions",
 *                     "refused","concurrent","max_concurrent","connections",
 *                     "max_connections"}]}; ?bodies=1 adds
 *                     {"bodies":{"TARGET BODY":N}}
 *
 *   PUT /v1/faults    {"endpoints":[INDEX...] (default: all),
 *                     "service_ms","jitter_ms","leaving","never_answer",
 *                     "fail_fast","close_mid_answer","cross_answers","down",
 *                     "silence_connections"}; see endpoint.h
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/config.h"
#include "chestnutquay/http_server.h"
#include "endpoint.h"

struct fake_endpoints {
	struct ev_loop *loop;
	struct endpoint *endpoints;
	int32_t count;
};

static void set_integer(const json_t *faults, const char *name, int64_t *value)
{
	json_t *item = json_object_get(faults, name);

	if (json_is_integer(item))
		*value = json_integer_value(item);
}

static void set_flag(const json_t *faults, const char *name, bool *value)
{
	json_t *item = json_object_get(faults, name);

	if (json_is_boolean(item))
		*value = json_is_true(item);
}

static void apply_faults(struct endpoint *e, const json_t *faults)
{
	set_integer(faults, "service_ms", &e->faults.service_ms);
	set_integer(faults, "jitter_ms", &e->faults.jitter_ms);
	set_integer(faults, "close_mid_answer", &e->faults.close_mid_answer);
	set_integer(faults, "cross_answers", &e->faults.cross_answers);
	set_flag(faults, "leaving", &e->faults.leaving);
	set_flag(faults, "never_answer", &e->faults.never_answer);
	set_flag(faults, "fail_fast", &e->faults.fail_fast);
	set_flag(faults, "down", &e->faults.down);
	if (json_is_true(json_object_get(faults, "silence_connections")))
		endpoint_silence_connections(e);
	endpoint_apply(e);
}

static void handle_faults(struct fake_endpoints *fake,
			  struct cq_http_exchange *exchange)
{
	json_t *faults =
		json_loads(cq_http_exchange_body(exchange, NULL), 0, NULL);
	json_t *list = json_object_get(faults, "endpoints");
	int32_t i;
	size_t j;

	if (!json_is_object(faults)) {
		cq_http_exchange_respond_json(exchange, 400, "{}");
		json_decref(faults);
		return;
	}
	for (i = 0; i < fake->count; i++) {
		bool chosen = !list;

		for (j = 0; j < json_array_size(list); j++)
			chosen = chosen ||
				 json_integer_value(json_array_get(list, j)) ==
					 i;
		if (chosen)
			apply_faults(&fake->endpoints[i], faults);
	}
	json_decref(faults);
	cq_http_exchange_respond_json(exchange, 200, "{}");
}

static json_t *bodies_json(const struct fake_endpoints *fake)
{
	json_t *bodies = json_object();
	int32_t i;

	for (i = 0; i < fake->count; i++) {
		GHashTableIter iter;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iter, fake->endpoints[i].bodies);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			json_int_t n = json_integer_value(
				json_object_get(bodies, key));

			json_object_set_new(
				bodies, key,
				json_integer(n + GPOINTER_TO_UINT(value)));
		}
	}
	return bodies;
}

static void handle_stats(struct fake_endpoints *fake,
			 struct cq_http_exchange *exchange)
{
	json_t *list = json_array();
	json_t *bodies = bodies_json(fake);
	json_t *root;
	json_t *value;
	const char *key;
	json_int_t executions = 0;
	json_int_t refused = 0;
	json_int_t repeated_ids = 0;
	json_int_t repeated_bodies = 0;
	char *text;
	int32_t i;

	for (i = 0; i < fake->count; i++) {
		const struct endpoint *e = &fake->endpoints[i];

		executions += (json_int_t)e->executions;
		refused += (json_int_t)e->refused;
		repeated_ids += e->repeated_ids;
		json_array_append_new(
			list,
			json_pack("{s:i,s:I,s:I,s:i,s:i,s:i,s:i}", "port",
				  (int)e->port, "executions",
				  (json_int_t)e->executions, "refused",
				  (json_int_t)e->refused, "concurrent",
				  (int)e->concurrent, "max_concurrent",
				  (int)e->max_concurrent, "connections",
				  (int)e->connections->len, "max_connections",
				  (int)e->max_connections));
	}
	json_object_foreach(bodies, key, value)
	{
		if (json_integer_value(value) > 1)
			repeated_bodies++;
	}
	root = json_pack("{s:I,s:I,s:I,s:I,s:o}", "executions", executions,
			 "refused", refused, "repeated_ids", repeated_ids,
			 "repeated_bodies", repeated_bodies, "endpoints", list);
	if (cq_http_exchange_query(exchange, "bodies"))
		json_object_set(root, "bodies", bodies);
	json_decref(bodies);
	text = json_dumps(root, JSON_COMPACT);
	cq_http_exchange_respond_json(exchange, 200, text);
	free(text);
	json_decref(root);
}

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	const char *path = cq_http_exchange_path(exchange);

	if (!strcmp(path, "/v1/stats"))
		handle_stats(ctx, exchange);
	else if (!strcmp(path, "/v1/faults"))
		handle_faults(ctx, exchange);
	else
		cq_http_exchange_respond_json(exchange, 404, "{}");
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static bool open_endpoints(struct fake_endpoints *fake,
			   const struct cq_config *config)
{
	char ip[16];
	uint16_t port;
	int32_t i;

	cq_address_parse(cq_config_string(config, "listen"), ip, &port, NULL);
	fake->count = (int32_t)cq_config_integer(config, "count");
	fake->endpoints = g_new0(struct endpoint, fake->count);
	for (i = 0; i < fake->count; i++) {
		fake->endpoints[i].faults.service_ms =
			cq_config_integer(config, "service-ms");
		if (endpoint_open(&fake->endpoints[i], fake->loop, ip,
				  (uint16_t)(port + i),
				  (uint32_t)cq_config_integer(config, "slots")))
			continue;
		fprintf(stderr, "cq-fake-endpoint: cannot listen on %s:%d\n",
			ip, port + i);
		return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	static const struct cq_setting settings[] = {
		{ "listen", NULL, CQ_SETTING_ADDRESS, NULL, 0, 0,
		  "address of the first endpoint" },
		{ "control", NULL, CQ_SETTING_ADDRESS, NULL, 0, 0,
		  "address for statistics and faults" },
		{ "count", NULL, CQ_SETTING_INTEGER, "1", 1, 1000,
		  "number of endpoints, on consecutive ports" },
		{ "slots", NULL, CQ_SETTING_INTEGER, "8", 1, 1000,
		  "slots per endpoint" },
		{ "service-ms", NULL, CQ_SETTING_INTEGER, "5", 0, 600000,
		  "service time of a request, milliseconds" },
	};
	struct cq_error err = CQ_ERROR_INIT;
	struct fake_endpoints fake = { 0 };
	struct cq_http_server_options options;
	struct cq_http_server_handler handler = { on_request, NULL };
	struct cq_http_server *control;
	struct cq_config *config;
	ev_signal term;
	char ip[16];
	uint16_t port;
	int32_t i;

	config = cq_config_parse("cq-fake-endpoint",
				 "Simulated request-serving endpoints.",
				 settings, G_N_ELEMENTS(settings), argc, argv,
				 &err);
	if (!config) {
		fprintf(stderr, "cq-fake-endpoint: %s\n", err.message);
		return CQ_EXIT_USAGE;
	}
	fake.loop = ev_default_loop(0);
	if (!open_endpoints(&fake, config))
		return 1;
	cq_address_parse(cq_config_string(config, "control"), ip, &port, NULL);
	cq_http_server_options_init(&options, ip, port);
	control = cq_http_server_create(fake.loop, &options, &handler, &fake,
					&err);
	if (!control) {
		fprintf(stderr, "cq-fake-endpoint: %s\n", err.message);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(fake.loop, &term);
	printf("listening on %s:%u\n", ip, cq_http_server_port(control));
	fflush(stdout);
	ev_run(fake.loop, 0);
	cq_http_server_destroy(control);
	for (i = 0; i < fake.count; i++)
		endpoint_close(&fake.endpoints[i]);
	cq_config_destroy(config);
	return 0;
}
