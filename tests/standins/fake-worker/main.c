/*
 * Simulates the workers of the platform: many workers in one process, on
 * consecutive ports of one address. Worker N of data centre DC has the id
 * DC-wN and the rack N / rack-size.
 *
 * Serves the interface described in docs/jobs.md. A worker starts every task
 * it is sent, even beyond its capacity. The control address serves:
 *
 *   PUT /v1/faults   {"worker":ID (absent: all), "fail_tasks":bool,
 *                     "fail_calls":bool, "paused":bool, "silent":bool,
 *                     "lose_answers":N, "reboot":true, "run_ms":N}
 *   GET /v1/stats    starts, releases and ends with data centre, time and
 *                    epoch; live tasks; counts
 */
#include <signal.h>
#include <stdio.h>

#include "chestnutquay/config.h"
#include "fake_worker.h"

#define TICK_S 0.02

static const struct cq_setting settings[] = {
	{ "listen", NULL, CQ_SETTING_ADDRESS, NULL, 0, 0,
	  "address of the first worker" },
	{ "control", NULL, CQ_SETTING_ADDRESS, NULL, 0, 0,
	  "address for faults and stats" },
	{ "data-centres", NULL, CQ_SETTING_LIST, NULL, 0, 0,
	  "data centres with --count workers each" },
	{ "count", NULL, CQ_SETTING_INTEGER, "1", 1, 2000,
	  "workers per data centre" },
	{ "rack-size", NULL, CQ_SETTING_INTEGER, "6", 1, 2000,
	  "workers per rack" },
	{ "accelerators", NULL, CQ_SETTING_INTEGER, "8", 0, 64,
	  "accelerators per worker" },
	{ "cpu-millicores", NULL, CQ_SETTING_INTEGER, "130000", 1, 10000000,
	  "CPU of a worker, thousandths of a core" },
	{ "memory-mib", NULL, CQ_SETTING_INTEGER, "512000", 1, 100000000,
	  "memory of a worker, MiB" },
	{ "run-ms", NULL, CQ_SETTING_INTEGER, "0", 0, 86400000,
	  "run time of every task, milliseconds; 0: its expected_ms" },
	{ "checkpoint-ms", NULL, CQ_SETTING_INTEGER, "100", 0, 600000,
	  "duration of a checkpoint, milliseconds" },
	{ "usage-lag-ms", NULL, CQ_SETTING_INTEGER, "1000", 0, 600000,
	  "delay of usage in reports, milliseconds" },
};

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	fake_worker_request(ctx, exchange);
}

static void on_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct fake_worker *worker = ctx;

	g_ptr_array_remove_fast(worker->unanswered_exchanges, exchange);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fleet *fleet = timer->data;
	uint32_t i;

	(void)loop;
	(void)events;
	for (i = 0; i < fleet->count; i++)
		fake_worker_advance(&fleet->workers[i]);
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static bool open_worker(struct fleet *fleet, struct fake_worker *worker,
			const char *data_centre, uint32_t number,
			uint32_t rack_size, const char *ip, uint16_t port,
			struct cq_error *err)
{
	struct cq_http_server_handler handler = { on_request, on_aborted };
	struct cq_http_server_options options;

	worker->fleet = fleet;
	worker->id = g_strdup_printf("%s-w%u", data_centre, number);
	worker->data_centre = g_strdup(data_centre);
	worker->rack =
		g_strdup_printf("%s-r%u", data_centre, number / rack_size);
	worker->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      fake_task_free);
	worker->unanswered_exchanges = g_ptr_array_new();
	cq_http_server_options_init(&options, ip, port);
	options.max_connections = 64;
	options.idle_timeout_s = 120;
	worker->server = cq_http_server_create(fleet->loop, &options, &handler,
					       worker, err);
	return worker->server != NULL;
}

static bool open_fleet(struct fleet *fleet, const struct cq_config *config,
		       struct cq_error *err)
{
	char **data_centres = cq_config_list(config, "data-centres");
	uint32_t each = (uint32_t)cq_config_integer(config, "count");
	uint32_t rack_size = (uint32_t)cq_config_integer(config, "rack-size");
	char ip[16];
	uint16_t port;
	uint32_t dc;
	uint32_t i;

	fleet->loop = ev_default_loop(0);
	fleet->accelerators =
		(uint32_t)cq_config_integer(config, "accelerators");
	fleet->millicores =
		(uint32_t)cq_config_integer(config, "cpu-millicores");
	fleet->memory_bytes = (uint64_t)cq_config_integer(config, "memory-mib")
			      << 20;
	fleet->run_ms = cq_config_integer(config, "run-ms");
	fleet->checkpoint_ms = cq_config_integer(config, "checkpoint-ms");
	fleet->usage_lag_ms = cq_config_integer(config, "usage-lag-ms");
	fleet->checkpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->starts = json_array();
	fleet->releases = json_array();
	fleet->ends = json_array();
	fleet->workers =
		g_new0(struct fake_worker, g_strv_length(data_centres) * each);
	cq_address_parse(cq_config_string(config, "listen"), ip, &port, NULL);
	for (dc = 0; data_centres[dc]; dc++)
		for (i = 0; i < each; i++) {
			if (!open_worker(fleet, &fleet->workers[fleet->count],
					 data_centres[dc], i, rack_size, ip,
					 (uint16_t)(port + fleet->count), err))
				return false;
			fleet->count++;
		}
	return true;
}

static void close_fleet(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->count; i++) {
		struct fake_worker *worker = &fleet->workers[i];

		cq_http_server_destroy(worker->server);
		g_hash_table_destroy(worker->tasks);
		g_ptr_array_free(worker->unanswered_exchanges, TRUE);
		g_free(worker->id);
		g_free(worker->data_centre);
		g_free(worker->rack);
	}
	g_free(fleet->workers);
	g_hash_table_destroy(fleet->checkpoints);
	json_decref(fleet->starts);
	json_decref(fleet->releases);
	json_decref(fleet->ends);
}

int main(int argc, char **argv)
{
	struct cq_http_server_handler handler = { fake_control_request, NULL };
	struct cq_http_server_options options;
	struct cq_http_server *control;
	struct cq_error err = CQ_ERROR_INIT;
	struct fleet fleet = { 0 };
	struct cq_config *config;
	ev_signal term;
	char ip[16];
	uint16_t port;

	config = cq_config_parse("cq-fake-worker",
				 "Simulated workers of the platform.", settings,
				 G_N_ELEMENTS(settings), argc, argv, &err);
	if (!config) {
		fprintf(stderr, "cq-fake-worker: %s\n", err.message);
		return CQ_EXIT_USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	cq_address_parse(cq_config_string(config, "control"), ip, &port, NULL);
	if (!open_fleet(&fleet, config, &err)) {
		fprintf(stderr, "cq-fake-worker: %s\n", err.message);
		return 1;
	}
	cq_http_server_options_init(&options, ip, port);
	control = cq_http_server_create(fleet.loop, &options, &handler, &fleet,
					&err);
	if (!control) {
		fprintf(stderr, "cq-fake-worker: %s\n", err.message);
		return 1;
	}
	ev_timer_init(&fleet.tick, on_tick, TICK_S, TICK_S);
	fleet.tick.data = &fleet;
	ev_timer_start(fleet.loop, &fleet.tick);
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(fleet.loop, &term);
	printf("workers: %u, control %s:%u\n", fleet.count, ip, port);
	fflush(stdout);
	ev_run(fleet.loop, 0);
	cq_http_server_destroy(control);
	close_fleet(&fleet);
	cq_config_destroy(config);
	return 0;
}
