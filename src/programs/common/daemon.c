#include "programs/common/daemon.h"

#include <assert.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/store_http.h"
#include "programs/common/daemon_private.h"

#define TICK_INTERVAL_S 0.1
#define DRAIN_POLL_INTERVAL_S 0.05
#define MIN_TOKEN_BYTES 8
/* Connection limits of the HTTP client for platform calls. */
#define MAX_CONNECTIONS_PER_HOST 8
#define MAX_IDLE_CONNECTIONS 512
/* Loop iterations that flush the last responses and messages at exit. */
#define FLUSH_ROUNDS 8

static const struct cq_setting common_settings[] = {
	{ "deployment", "CQ_DEPLOYMENT", CQ_SETTING_STRING, NULL, 1, 64,
	  "name of the deployment; peers of another are refused" },
	{ "data-centre", "CQ_DATA_CENTRE", CQ_SETTING_STRING, NULL, 1, 64,
	  "data centre of this host" },
	{ "host-id", "CQ_HOST_ID", CQ_SETTING_STRING, NULL, 1, 64,
	  "name of this host, unique in the deployment" },
	{ "index", "CQ_INDEX", CQ_SETTING_INTEGER, "0", 0, 63,
	  "index of this entry host in its data centre" },
	{ "index-count", "CQ_INDEX_COUNT", CQ_SETTING_INTEGER, "1", 1, 64,
	  "entry hosts planned for the data centre" },
	{ "peer-address", "CQ_PEER_ADDRESS", CQ_SETTING_ADDRESS, NULL, 0, 0,
	  "listening address for peers" },
	{ "operator-address", "CQ_OPERATOR_ADDRESS", CQ_SETTING_ADDRESS, NULL,
	  0, 0, "listening address for operators" },
	{ "store-address", "CQ_STORE_ADDRESS", CQ_SETTING_ADDRESS, NULL, 0, 0,
	  "address of the platform's store and host list" },
	{ "seeds", "CQ_SEEDS", CQ_SETTING_LIST, "", 0, 0,
	  "peer addresses to join through" },
	{ "drain-ms", "CQ_DRAIN_MS", CQ_SETTING_INTEGER, "30000", 0, 600000,
	  "longest graceful shutdown, milliseconds" },
	{ "log-level", "CQ_LOG_LEVEL", CQ_SETTING_STRING, "info", 0, 0,
	  "error, warn, info or debug" },
};

static bool parse_settings(struct cq_daemon *daemon, const char *program,
			   const char *summary, const struct cq_setting *extra,
			   int32_t extra_count, int argc, char **argv,
			   struct cq_error *err);
static bool open_modules(struct cq_daemon *daemon, const char *program,
			 struct cq_error *err);
static bool open_peers(struct cq_daemon *daemon, struct cq_error *err);
static void stop(struct cq_daemon *daemon);
static void on_peer_message(void *ctx, const struct cq_peer_message *message);
static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_drain_poll(struct ev_loop *loop, ev_timer *watcher, int events);
static void add_hook(GArray *hooks, struct hook hook);

static bool parse_settings(struct cq_daemon *daemon, const char *program,
			   const char *summary, const struct cq_setting *extra,
			   int32_t extra_count, int argc, char **argv,
			   struct cq_error *err)
{
	int32_t count = G_N_ELEMENTS(common_settings) + extra_count;
	const char *token;
	int64_t index;

	daemon->settings = g_new0(struct cq_setting, count);
	memcpy(daemon->settings, common_settings, sizeof(common_settings));
	if (extra_count)
		memcpy(daemon->settings + G_N_ELEMENTS(common_settings), extra,
		       (size_t)extra_count * sizeof(*extra));
	daemon->config = cq_config_parse(program, summary, daemon->settings,
					 count, argc, argv, err);
	if (!daemon->config)
		return false;
	index = cq_config_integer(daemon->config, "index");
	if (index >= cq_config_integer(daemon->config, "index-count"))
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "--index: %d is not below --index-count",
				    (int)index);
	token = getenv("CQ_OPERATOR_TOKEN");
	if (!token || strlen(token) < MIN_TOKEN_BYTES)
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "CQ_OPERATOR_TOKEN: must be set to at "
				    "least %d bytes",
				    MIN_TOKEN_BYTES);
	daemon->token = g_strdup(token);
	return true;
}

static bool open_peers(struct cq_daemon *daemon, struct cq_error *err)
{
	struct cq_peer_net_options options;

	cq_peer_net_options_init(&options);
	options.deployment = cq_config_string(daemon->config, "deployment");
	options.id = daemon->id;
	options.incarnation = daemon->incarnation;
	options.listen_address =
		cq_config_string(daemon->config, "peer-address");
	daemon->peers = cq_peer_net_create(daemon->loop, &options,
					   on_peer_message, daemon, err);
	return daemon->peers != NULL;
}

static bool open_modules(struct cq_daemon *daemon, const char *program,
			 struct cq_error *err)
{
	const char *host = cq_config_string(daemon->config, "host-id");
	const char *store = cq_config_string(daemon->config, "store-address");
	const char *level_text = cq_config_string(daemon->config, "log-level");
	enum cq_log_level level;

	if (!cq_log_level_parse(level_text, &level))
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "--log-level: \"%s\" is not error, warn, "
				    "info or debug",
				    level_text);
	if (!cq_log_open(program, host, level, err))
		return false;
	daemon->id = g_strdup_printf(
		"%s/%s", host,
		g_str_has_prefix(program, "cq-") ? program + 3 : program);
	daemon->client = cq_http_client_create(
		daemon->loop, MAX_CONNECTIONS_PER_HOST, MAX_IDLE_CONNECTIONS);
	daemon->store = cq_store_http_create(daemon->client, store);
	daemon->host_list = cq_host_list_http_create(daemon->client, store);
	return cq_daemon_open_operators(daemon, err) && open_peers(daemon, err);
}

struct cq_daemon *cq_daemon_create(const char *program, const char *summary,
				   const struct cq_setting *extra,
				   int32_t extra_count, int argc, char **argv,
				   int *exit_code)
{
	struct cq_daemon *daemon = g_new0(struct cq_daemon, 1);
	struct cq_error err = CQ_ERROR_INIT;

	signal(SIGPIPE, SIG_IGN);
	daemon->loop = ev_default_loop(0);
	daemon->incarnation = (uint64_t)cq_clock_unix_ms(cq_clock_system());
	daemon->metrics = cq_metrics_create();
	daemon->routes = g_array_new(FALSE, FALSE, sizeof(struct route));
	daemon->ready_checks = g_array_new(FALSE, FALSE, sizeof(struct hook));
	daemon->drains = g_array_new(FALSE, FALSE, sizeof(struct hook));
	daemon->ticks = g_array_new(FALSE, FALSE, sizeof(struct hook));
	daemon->aborts = g_array_new(FALSE, FALSE, sizeof(struct hook));
	daemon->stops = g_array_new(FALSE, FALSE, sizeof(struct hook));
	if (!parse_settings(daemon, program, summary, extra, extra_count, argc,
			    argv, &err) ||
	    !open_modules(daemon, program, &err)) {
		fprintf(stderr, "%s: %s\n", program, err.message);
		*exit_code = err.code == CQ_ERR_INVALID ? CQ_EXIT_USAGE : 1;
		cq_daemon_destroy(daemon);
		return NULL;
	}
	ev_signal_init(&daemon->term, on_signal, SIGTERM);
	ev_signal_init(&daemon->interrupt, on_signal, SIGINT);
	ev_timer_init(&daemon->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	ev_timer_init(&daemon->drain_timer, on_drain_poll, 0.,
		      DRAIN_POLL_INTERVAL_S);
	daemon->term.data = daemon;
	daemon->interrupt.data = daemon;
	daemon->tick.data = daemon;
	daemon->drain_timer.data = daemon;
	ev_signal_start(daemon->loop, &daemon->term);
	ev_signal_start(daemon->loop, &daemon->interrupt);
	ev_timer_start(daemon->loop, &daemon->tick);
	return daemon;
}

void cq_daemon_destroy(struct cq_daemon *daemon)
{
	guint i;

	if (!daemon)
		return;
	cq_operator_http_destroy(daemon->operators);
	cq_peer_net_destroy(daemon->peers);
	cq_host_list_http_destroy(daemon->host_list);
	cq_store_http_destroy(daemon->store);
	cq_http_client_destroy(daemon->client);
	for (i = 0; i < daemon->routes->len; i++)
		g_free(g_array_index(daemon->routes, struct route, i).prefix);
	g_array_free(daemon->routes, TRUE);
	g_array_free(daemon->ready_checks, TRUE);
	g_array_free(daemon->drains, TRUE);
	g_array_free(daemon->ticks, TRUE);
	g_array_free(daemon->aborts, TRUE);
	g_array_free(daemon->stops, TRUE);
	cq_metrics_destroy(daemon->metrics);
	cq_config_destroy(daemon->config);
	cq_log_close();
	g_free(daemon->settings);
	g_free(daemon->token);
	g_free(daemon->id);
	g_free(daemon);
}

int cq_daemon_run(struct cq_daemon *daemon)
{
	cq_log_event(CQ_LOG_INFO, "daemon_started", "{s:s,s:s,s:s}", "version",
		     CQ_VERSION, "data_centre", cq_daemon_data_centre(daemon),
		     "id", daemon->id);
	ev_run(daemon->loop, 0);
	stop(daemon);
	cq_log_event(CQ_LOG_INFO, "daemon_stopped", NULL);
	return 0;
}

/*
 * The loop must not run after a module was destroyed, because a callback or a
 * timer could still access it.
 */
static void stop(struct cq_daemon *daemon)
{
	guint i;

	for (i = 0; i < daemon->stops->len; i++) {
		const struct hook *hook =
			&g_array_index(daemon->stops, struct hook, i);

		hook->fn.stop(hook->ctx);
	}
	for (i = 0; i < FLUSH_ROUNDS; i++)
		ev_run(daemon->loop, EVRUN_NOWAIT);
	cq_operator_http_destroy(daemon->operators);
	daemon->operators = NULL;
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct cq_daemon *daemon = watcher->data;

	(void)events;
	if (daemon->draining)
		return;
	daemon->draining = true;
	daemon->drain_deadline_ns =
		cq_clock_now_ns(cq_clock_system()) +
		cq_config_integer(daemon->config, "drain-ms") * CQ_NS_PER_MS;
	cq_log_event(CQ_LOG_INFO, "drain_started", NULL);
	ev_timer_start(loop, &daemon->drain_timer);
}

static void on_drain_poll(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct cq_daemon *daemon = watcher->data;
	bool expired = cq_clock_now_ns(cq_clock_system()) >=
		       daemon->drain_deadline_ns;
	bool done = true;
	guint i;

	(void)events;
	for (i = 0; i < daemon->drains->len; i++) {
		struct hook *hook =
			&g_array_index(daemon->drains, struct hook, i);

		if (!hook->done)
			hook->done = hook->fn.drain(hook->ctx);
		done = done && hook->done;
	}
	if (!done && !expired)
		return;
	cq_log_event(done ? CQ_LOG_INFO : CQ_LOG_WARN, "drain_ended", "{s:b}",
		     "complete", (int)done);
	ev_timer_stop(loop, watcher);
	ev_break(loop, EVBREAK_ALL);
}

static void on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct cq_daemon *daemon = watcher->data;
	guint i;

	(void)loop;
	(void)events;
	for (i = 0; i < daemon->ticks->len; i++) {
		struct hook *hook =
			&g_array_index(daemon->ticks, struct hook, i);

		hook->fn.tick(hook->ctx, cq_clock_now_ns(cq_clock_system()));
	}
}

static void on_peer_message(void *ctx, const struct cq_peer_message *message)
{
	struct cq_daemon *daemon = ctx;
	const struct peer_handler *handler;

	if ((unsigned)message->kind >= PEER_KINDS)
		return;
	handler = &daemon->peer_handlers[message->kind];
	if (handler->fn)
		handler->fn(handler->ctx, message);
}

void cq_daemon_on_peer(struct cq_daemon *daemon, enum cq_peer_kind kind,
		       cq_peer_message_fn *fn, void *ctx)
{
	assert((unsigned)kind < PEER_KINDS);
	daemon->peer_handlers[kind].fn = fn;
	daemon->peer_handlers[kind].ctx = ctx;
}

static void add_hook(GArray *hooks, struct hook hook)
{
	g_array_append_val(hooks, hook);
}

void cq_daemon_add_ready_check(struct cq_daemon *daemon, cq_daemon_ready_fn *fn,
			       void *ctx)
{
	add_hook(daemon->ready_checks,
		 (struct hook){ .fn.ready = fn, .ctx = ctx });
}

void cq_daemon_add_drain(struct cq_daemon *daemon, cq_daemon_drain_fn *fn,
			 void *ctx)
{
	add_hook(daemon->drains, (struct hook){ .fn.drain = fn, .ctx = ctx });
}

void cq_daemon_add_stop(struct cq_daemon *daemon, cq_daemon_stop_fn *fn,
			void *ctx)
{
	add_hook(daemon->stops, (struct hook){ .fn.stop = fn, .ctx = ctx });
}

void cq_daemon_add_tick(struct cq_daemon *daemon, cq_daemon_tick_fn *fn,
			void *ctx)
{
	add_hook(daemon->ticks, (struct hook){ .fn.tick = fn, .ctx = ctx });
}

bool cq_daemon_draining(const struct cq_daemon *daemon)
{
	return daemon->draining;
}

struct ev_loop *cq_daemon_loop(struct cq_daemon *daemon)
{
	return daemon->loop;
}

const struct cq_config *cq_daemon_config(const struct cq_daemon *daemon)
{
	return daemon->config;
}

const struct cq_clock *cq_daemon_clock(const struct cq_daemon *daemon)
{
	(void)daemon;
	return cq_clock_system();
}

struct cq_http_client *cq_daemon_http_client(struct cq_daemon *daemon)
{
	return daemon->client;
}

const struct cq_store *cq_daemon_store(struct cq_daemon *daemon)
{
	return cq_store_http_get(daemon->store);
}

const struct cq_host_list *cq_daemon_host_list(struct cq_daemon *daemon)
{
	return cq_host_list_http_get(daemon->host_list);
}

struct cq_peer_net *cq_daemon_peers(struct cq_daemon *daemon)
{
	return daemon->peers;
}

struct cq_metrics *cq_daemon_metrics(struct cq_daemon *daemon)
{
	return daemon->metrics;
}

const char *cq_daemon_id(const struct cq_daemon *daemon)
{
	return daemon->id;
}

const char *cq_daemon_data_centre(const struct cq_daemon *daemon)
{
	return cq_config_string(daemon->config, "data-centre");
}

uint64_t cq_daemon_incarnation(const struct cq_daemon *daemon)
{
	return daemon->incarnation;
}
