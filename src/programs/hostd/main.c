#include "programs/hostd/hostd.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "chestnutquay/config.h"
#include "chestnutquay/log.h"

#define PROGRAM "cq-hostd"
/* Limits of connections to the store, and of idle ones among them. */
#define STORE_CONNECTIONS 24
/* Limit of connections to each worker. */
#define WORKER_CONNECTIONS 8
/* Parts of the connections to workers, see http_client.h. */
#define WORKER_PARTITIONS 32
/*
 * Descriptors that are not for connections to workers: those of callers, of the
 * store, of the event loop and libraries, and files.
 */
#define OTHER_DESCRIPTORS 1600
/* Idle connections to workers take at most this part of the memory. */
#define IDLE_MEMORY_DIVISOR 4
/* Memory of a connection, mostly libcurl's buffers. */
#define CONNECTION_KB 24
#define MIN_IDLE_CONNECTIONS 256
#define STORE_TIMEOUT_MS 900
#define MAX_BODY_BYTES (256U << 10)

/*
 * Limit of the connections to all workers that are kept when idle. The one that
 * has been idle for longest is closed first.
 */
static uint32_t max_idle_to_workers(const struct cq_platform_settings *settings)
{
	uint32_t by_descriptors =
		settings->max_descriptors > OTHER_DESCRIPTORS
			? settings->max_descriptors - OTHER_DESCRIPTORS
			: 0;
	uint32_t by_memory = (uint32_t)((uint64_t)settings->memory_mb * 1024 /
					IDLE_MEMORY_DIVISOR / CONNECTION_KB);

	return MAX(MIN(by_descriptors, by_memory), MIN_IDLE_CONNECTIONS);
}

static bool is_ready(void *ctx)
{
	const struct hostd *h = ctx;

	return !h->stopping && hostd_intent_is_current(h);
}

static char *format_metrics(void *ctx)
{
	const struct hostd *h = ctx;

	return cq_metrics_format(h->metrics);
}

static bool store_reachable(void *ctx)
{
	const struct hostd *h = ctx;

	return !h->operator_follower ||
	       cq_follower_reachable(h->operator_follower);
}

static const struct cq_front_http_ops front_ops = { is_ready, format_metrics };

static bool open_front(struct hostd *h, struct cq_error *err)
{
	const struct cq_gateway_options gateway = {
		.loop = h->loop,
		.clock = h->clock,
		.metrics = h->metrics,
		.store_timeout_ms = STORE_TIMEOUT_MS,
		.store_reachable = store_reachable,
		.ctx = h,
	};
	const struct cq_front_http_options front = {
		.loop = h->loop,
		.front_address = h->settings.front_address,
		.ready_address = h->settings.ready_address,
		.max_body_bytes = MAX_BODY_BYTES,
	};

	h->gateway = cq_gateway_create(&gateway, h->store);
	h->front = cq_front_http_create(&front, h->gateway, &front_ops, h, err);
	return h->front != NULL;
}

static void close_all(struct hostd *h)
{
	hostd_lifecycle_close(h);
	hostd_dispatch_close(h);
	hostd_intent_close(h);
	/* Drops its open requests at the gateway, which is freed after it. */
	cq_front_http_destroy(h->front);
	cq_gateway_destroy(h->gateway);
	cq_kv_store_destroy(h->kv);
	cq_http_client_destroy(h->worker_client);
	cq_http_client_destroy(h->store_client);
	cq_loop_turn_destroy(h->loop_turn);
	cq_metrics_destroy(h->metrics);
	cq_platform_settings_clear(&h->settings);
	g_free(h->settings_text);
}

int main(int argc, char **argv)
{
	struct hostd h = { .loop = ev_default_loop(0),
			   .clock = cq_clock_system() };
	struct cq_error err = CQ_ERROR_INIT;

	(void)argv;
	h.settings_path = getenv(CQ_PLATFORM_SETTINGS_ENV);
	if (argc > 1 || !h.settings_path) {
		fprintf(stderr,
			"usage: %s\n%s holds the path of the settings file\n",
			PROGRAM, CQ_PLATFORM_SETTINGS_ENV);
		return CQ_EXIT_USAGE;
	}
	if (!hostd_settings_load(&h, &err)) {
		fprintf(stderr, "%s: %s\n", PROGRAM, err.message);
		return CQ_EXIT_USAGE;
	}
	cq_log_to_stdout();
	if (!cq_log_open(PROGRAM, h.settings.host, CQ_LOG_INFO, &err)) {
		fprintf(stderr, "%s: %s\n", PROGRAM, err.message);
		return EXIT_FAILURE;
	}
	cq_log_event(CQ_LOG_INFO, "started", "{s:s,s:s,s:s}", "version",
		     CQ_VERSION, "data_centre", h.settings.data_centre, "store",
		     h.settings.store_address);
	h.metrics = cq_metrics_create();
	h.loop_turn = cq_loop_turn_create(h.loop, h.clock, h.metrics);
	h.store_client = cq_http_client_create(h.loop, STORE_CONNECTIONS,
					       STORE_CONNECTIONS);
	h.worker_client = cq_http_client_create_partitioned(
		h.loop, WORKER_CONNECTIONS, max_idle_to_workers(&h.settings),
		WORKER_PARTITIONS);
	h.kv = cq_kv_store_create(h.store_client, h.settings.store_address);
	h.store = cq_kv_store_get(h.kv);
	if (!open_front(&h, &err)) {
		cq_log_event(CQ_LOG_ERROR, "start_failed", "{s:s}", "error",
			     err.message);
		close_all(&h);
		return EXIT_FAILURE;
	}
	hostd_intent_open(&h);
	hostd_dispatch_open(&h);
	hostd_lifecycle_open(&h);
	ev_run(h.loop, 0);
	cq_log_event(CQ_LOG_INFO, "stopped", NULL);
	close_all(&h);
	cq_log_close();
	return EXIT_SUCCESS;
}
