/*
 * cq-soak DIRECTORY SEED SECONDS HOSTS WORKERS NET: runs a soak test with fault
 * injection. scripts/soak.sh starts it together with the simulated platform
 * and the hosts.
 *
 * DIRECTORY/host-N.pid holds the process id of host N while it is up. Prints
 * the faults, the timeline and the violated invariants; the exit code is 1 if
 * any invariant was violated.
 */
#include "soak.h"

#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.1
#define CONTROL_TIMEOUT_MS 5000
#define MAX_TASKS_BYTES (16U << 20)
#define CONNECTIONS_PER_HOST 24
/*
 * Limits for the hosts to become ready, and for open jobs to end after the
 * last fault.
 */
#define START_LIMIT_MS 60000
#define OPEN_JOBS_LIMIT_MS 45000
/* Added to OPEN_JOBS_LIMIT_MS for each host, for the jobs of that host. */
#define OPEN_JOBS_LIMIT_MS_PER_HOST 200

enum phase {
	PHASE_START,
	PHASE_FAULTS,
	PHASE_WAIT_FOR_JOBS,
	PHASE_CHECK,
};

struct run {
	struct soak soak;
	enum phase phase;
	int faults_ended_ms;
	int hosts_ready;
	int probes_open;
	ev_timer tick;
};

void soak_ip(const struct soak *soak, enum soak_component component, int index,
	     char ip[SOAK_IP_BYTES])
{
	static const char *const tails[] = {
		[SOAK_PLATFORM] = "1.1",
		[SOAK_WORKER_PROXY] = "1.2",
		[SOAK_HOST] = "2",
		[SOAK_STORE_PROXY] = "3",
	};

	if (component == SOAK_PLATFORM || component == SOAK_WORKER_PROXY)
		g_snprintf(ip, SOAK_IP_BYTES, "127.%d.%s", soak->options.net,
			   tails[component]);
	else
		g_snprintf(ip, SOAK_IP_BYTES, "127.%d.%s.%d", soak->options.net,
			   tails[component], index + 1);
}

int soak_now_ms(const struct soak *soak)
{
	return (int)((ev_now(soak->loop) - soak->start_s) * 1000);
}

void soak_violation(struct soak *soak, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	printf("%6d ms  BREACH %s\n", soak_now_ms(soak), text);
	g_ptr_array_add(soak->violations, text);
}

int soak_host_pid(const struct soak *soak, int host)
{
	char *path = g_strdup_printf("%s/host-%d.pid", soak->options.directory,
				     host);
	char *text = NULL;
	int pid = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		pid = atoi(text);
	g_free(text);
	g_free(path);
	return pid;
}

static void ignore_answer(void *ctx, const struct cq_http_result *result)
{
	(void)ctx;
	if (result->outcome != CQ_HTTP_ANSWERED)
		fprintf(stderr,
			"soak: the simulated platform does not answer: %s\n",
			result->error);
}

void soak_control(struct soak *soak, const char *path, const char *body,
		  cq_http_done_fn *done, void *ctx)
{
	char ip[SOAK_IP_BYTES];
	char *url;
	struct cq_http_request request = {
		.method = "POST",
		.body = body ? body : "{}",
		.body_len = body ? strlen(body) : 2,
		.connect_timeout_ms = CONTROL_TIMEOUT_MS,
		.timeout_ms = CONTROL_TIMEOUT_MS,
		.max_answer_bytes = MAX_TASKS_BYTES,
	};

	soak_ip(soak, SOAK_PLATFORM, 0, ip);
	url = g_strdup_printf("http://%s:%d/control/%s", ip, SOAK_STORE_PORT,
			      path);
	request.url = url;
	cq_http_client_send(soak->http, &request, done ? done : ignore_answer,
			    ctx);
	g_free(url);
}

static void on_ready(void *ctx, const struct cq_http_result *result)
{
	struct run *run = ctx;

	run->probes_open--;
	run->hosts_ready += result->outcome == CQ_HTTP_ANSWERED &&
			    result->status == 200;
}

static void probe_hosts(struct run *run)
{
	int host;

	run->hosts_ready = 0;
	for (host = 0; host < run->soak.options.hosts; host++) {
		char ip[SOAK_IP_BYTES];
		char *url;
		struct cq_http_request request = {
			.method = "GET",
			.connect_timeout_ms = CONTROL_TIMEOUT_MS,
			.timeout_ms = CONTROL_TIMEOUT_MS,
			.max_answer_bytes = 1 << 16,
		};

		soak_ip(&run->soak, SOAK_HOST, host, ip);
		url = g_strdup_printf("http://%s:%d/ready", ip,
				      SOAK_READY_PORT);
		request.url = url;
		run->probes_open++;
		cq_http_client_send(run->soak.http, &request, on_ready, run);
		g_free(url);
	}
}

static void wait_for_hosts(struct run *run)
{
	struct soak *soak = &run->soak;

	if (soak_now_ms(soak) > START_LIMIT_MS) {
		soak_violation(soak,
			       "only %d of %d hosts are ready after %d ms",
			       run->hosts_ready, soak->options.hosts,
			       START_LIMIT_MS);
		ev_break(soak->loop, EVBREAK_ALL);
		return;
	}
	if (run->probes_open)
		return;
	if (run->hosts_ready < soak->options.hosts) {
		probe_hosts(run);
		return;
	}
	run->phase = PHASE_FAULTS;
	soak->start_s = ev_now(soak->loop);
	soak->clients = soak_clients_create(soak);
	soak->faults = soak_faults_create(soak);
}

static void on_tasks(void *ctx, const struct cq_http_result *result)
{
	struct run *run = ctx;
	struct soak *soak = &run->soak;
	char *text =
		g_strndup(result->body ? result->body : "", result->body_len);
	json_t *root = json_loads(text, 0, NULL);
	const char *breaches =
		json_string_value(json_object_get(root, "breaches"));

	if (!breaches || breaches[0])
		soak_violation(
			soak, "%s",
			breaches ? breaches
				 : "no answer from the simulated platform");
	soak_clients_check(soak->clients, text);
	json_decref(root);
	g_free(text);
	ev_break(soak->loop, EVBREAK_ALL);
}

static void wait_for_open_jobs(struct run *run)
{
	struct soak *soak = &run->soak;
	int limit_ms = run->faults_ended_ms + OPEN_JOBS_LIMIT_MS +
		       OPEN_JOBS_LIMIT_MS_PER_HOST * soak->options.hosts;

	if (soak_clients_open(soak->clients) && soak_now_ms(soak) < limit_ms)
		return;
	run->phase = PHASE_CHECK;
	soak_control(soak, "tasks", NULL, on_tasks, run);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct run *run = timer->data;
	struct soak *soak = &run->soak;

	(void)loop;
	(void)events;
	switch (run->phase) {
	case PHASE_START:
		wait_for_hosts(run);
		break;
	case PHASE_FAULTS:
		if (soak_now_ms(soak) < soak->options.seconds * 1000)
			break;
		soak_faults_end(soak->faults);
		soak_clients_stop_submitting(soak->clients);
		run->faults_ended_ms = soak_now_ms(soak);
		run->phase = PHASE_WAIT_FOR_JOBS;
		break;
	case PHASE_WAIT_FOR_JOBS:
		wait_for_open_jobs(run);
		break;
	case PHASE_CHECK:
		break;
	}
}

static void create_links(struct soak *soak)
{
	char platform[SOAK_IP_BYTES];
	char ip[SOAK_IP_BYTES];
	int i;

	soak_ip(soak, SOAK_PLATFORM, 0, platform);
	for (i = 0; i < soak->options.hosts; i++) {
		soak_ip(soak, SOAK_STORE_PROXY, i, ip);
		soak->store_links[i] =
			soak_proxy_create(soak->loop, ip, SOAK_STORE_PORT,
					  platform, SOAK_STORE_PORT);
	}
	soak_ip(soak, SOAK_WORKER_PROXY, 0, ip);
	for (i = 0; i < soak->options.workers; i++) {
		uint16_t port = (uint16_t)(SOAK_STORE_PORT + 1 + i);

		soak->worker_links[i] =
			soak_proxy_create(soak->loop, ip, port, platform, port);
	}
}

static bool parse_options(struct soak_options *options, int argc, char **argv)
{
	if (argc != 7)
		return false;
	options->directory = argv[1];
	options->seed = g_ascii_strtoull(argv[2], NULL, 10);
	options->seconds = atoi(argv[3]);
	options->hosts = atoi(argv[4]);
	options->workers = atoi(argv[5]);
	options->net = atoi(argv[6]);
	return options->seconds > 0 && options->hosts > 0 &&
	       options->hosts <= SOAK_MAX_HOSTS && options->workers > 0 &&
	       options->workers <= SOAK_MAX_WORKERS && options->net >= 0 &&
	       options->net < 256;
}

static void print_report(const struct soak *soak)
{
	guint i;

	printf("\nseed %" G_GUINT64_FORMAT ": %d hosts, %d workers, %d s, %d "
	       "faults\n",
	       soak->options.seed, soak->options.hosts, soak->options.workers,
	       soak->options.seconds,
	       soak->faults ? soak_faults_count(soak->faults) : 0);
	if (soak->clients)
		soak_clients_print(soak->clients, stdout);
	soak_timeline_print(soak->timeline, stdout);
	printf("breaches: %u\n", soak->violations->len);
	for (i = 0; i < soak->violations->len; i++)
		printf("  %s\n", (const char *)soak->violations->pdata[i]);
}

static void destroy(struct soak *soak)
{
	int i;

	cq_http_client_destroy(soak->http);
	soak_config_destroy(soak->config);
	soak_faults_destroy(soak->faults);
	soak_clients_destroy(soak->clients);
	soak_timeline_destroy(soak->timeline);
	for (i = 0; i < soak->options.hosts; i++)
		soak_proxy_destroy(soak->store_links[i]);
	for (i = 0; i < soak->options.workers; i++)
		soak_proxy_destroy(soak->worker_links[i]);
	g_ptr_array_unref(soak->violations);
}

int main(int argc, char **argv)
{
	struct run run = { .phase = PHASE_START };
	struct soak *soak = &run.soak;
	bool broken;

	if (!parse_options(&soak->options, argc, argv)) {
		fprintf(stderr,
			"usage: %s DIRECTORY SEED SECONDS HOSTS WORKERS "
			"NET\n",
			argv[0]);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	soak->loop = ev_default_loop(0);
	soak->start_s = ev_now(soak->loop);
	soak->random = g_rand_new_with_seed((guint32)~soak->options.seed);
	soak->violations = g_ptr_array_new_with_free_func(g_free);
	soak->http = cq_http_client_create(
		soak->loop, CONNECTIONS_PER_HOST,
		CONNECTIONS_PER_HOST * (uint32_t)soak->options.hosts);
	soak->timeline = soak_timeline_create(&soak->options);
	create_links(soak);
	soak->config = soak_config_create(soak);
	ev_timer_init(&run.tick, on_tick, TICK_S, TICK_S);
	run.tick.data = &run;
	ev_timer_start(soak->loop, &run.tick);
	ev_run(soak->loop, 0);
	print_report(soak);
	broken = soak->violations->len > 0;
	destroy(soak);
	g_rand_free(soak->random);
	return broken;
}
