/*
 * Writes a sequence of configuration versions. Each version has a queue of its
 * own, which shows whether a host applies that version. A process that has
 * applied a version must not return to an earlier one.
 */
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define PROBE_S 0.25
#define PROBE_TIMEOUT_MS 2000

struct host_view {
	int pid;	    /* process that was last probed */
	int newest_version; /* newest version that the process has applied */
};

struct soak_config {
	struct soak *soak;
	int version;
	struct host_view hosts[SOAK_MAX_HOSTS];
	ev_timer timer;
};

struct probe {
	struct soak_config *config;
	int host;
	int version;
	int pid;
	int newest_version_before; /* newest_version when the probe was sent */
};

static void on_probe(void *ctx, const struct cq_http_result *result)
{
	struct probe *probe = ctx;
	struct soak_config *config = probe->config;
	struct host_view *view = &config->hosts[probe->host];

	if (result->outcome == CQ_HTTP_ANSWERED && result->status == 200 &&
	    soak_host_pid(config->soak, probe->host) == probe->pid) {
		if (probe->newest_version_before > probe->version)
			soak_violation(config->soak,
				       "host %d applies configuration version "
				       "%d after version %d",
				       probe->host, probe->version,
				       probe->newest_version_before);
		if (view->pid == probe->pid)
			view->newest_version =
				MAX(view->newest_version, probe->version);
	}
	g_free(probe);
}

static void send_probe(struct soak_config *config, int host, int version)
{
	const struct cq_http_header headers[] = {
		{ "Host", "q.example" },
		{ "Authorization", "Token secret" },
		{ NULL, NULL },
	};
	struct host_view *view = &config->hosts[host];
	struct probe *probe = g_new0(struct probe, 1);
	char ip[SOAK_IP_BYTES];
	char *url;
	struct cq_http_request request = {
		.method = "GET",
		.headers = headers,
		.connect_timeout_ms = PROBE_TIMEOUT_MS,
		.timeout_ms = PROBE_TIMEOUT_MS,
		.max_answer_bytes = 1 << 16,
	};

	soak_ip(config->soak, SOAK_HOST, host, ip);
	url = g_strdup_printf("http://%s:%d/v%d/", ip, SOAK_FRONT_PORT,
			      version);
	request.url = url;
	probe->config = config;
	probe->host = host;
	probe->version = version;
	probe->pid = soak_host_pid(config->soak, host);
	if (probe->pid != view->pid) {
		view->pid = probe->pid;
		view->newest_version = 0;
	}
	probe->newest_version_before = view->newest_version;
	cq_http_client_send(config->soak->http, &request, on_probe, probe);
	g_free(url);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct soak_config *config = timer->data;
	int host;

	(void)loop;
	(void)events;
	for (host = 0; host < config->soak->options.hosts; host++) {
		if (!soak_host_pid(config->soak, host))
			continue;
		send_probe(config, host, config->version);
		send_probe(config, host, config->version - 1);
	}
}

void soak_config_change(struct soak_config *config)
{
	char *text;

	config->version++;
	text = g_strdup_printf(
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"r\",\"host\":\"q.example\",\"prefix\":\"/jobs/\","
		"\"service\":\"s\",\"maxAttempts\":3,\"stretch\":3.0,"
		"\"targetRuntimeMs\":100},"
		"{\"name\":\"v\",\"host\":\"q.example\",\"prefix\":\"/v%d/\","
		"\"service\":\"s\",\"maxAttempts\":3,\"stretch\":3.0,"
		"\"targetRuntimeMs\":100}],"
		"\"services\":[{\"name\":\"s\"}],"
		"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"secret\"]}]}",
		config->version, config->version);
	soak_control(config->soak, "put?key=op/config", text, NULL, NULL);
	g_free(text);
}

struct soak_config *soak_config_create(struct soak *soak)
{
	struct soak_config *config = g_new0(struct soak_config, 1);

	config->soak = soak;
	soak_config_change(config);
	ev_timer_init(&config->timer, on_timer, PROBE_S, PROBE_S);
	config->timer.data = config;
	ev_timer_start(soak->loop, &config->timer);
	return config;
}

void soak_config_destroy(struct soak_config *config)
{
	if (!config)
		return;
	ev_timer_stop(config->soak->loop, &config->timer);
	g_free(config);
}
