/*
 * Load generator: sends a bounded number of requests or jobs to entry hosts, as
 * callers do, and prints a summary of the outcomes as one JSON object.
 *
 * A request that could not be sent because its connection was refused is
 * retried on the next target, as the load balancer of the platform would do.
 * Any other result is final.
 */
#include <ev.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/config.h"
#include "chestnutquay/http_client.h"

#define MAX_ATTEMPTS 8

struct load {
	struct ev_loop *loop;
	struct cq_http_client *client;
	const struct cq_config *config;
	char **targets;
	int32_t target_count;
	int64_t to_send;
	int64_t next;
	int64_t open;
	int64_t answered;
	int64_t refused_not_run;
	int64_t refused_unknown;
	int64_t lost;	    /* requests without an answer */
	int64_t mismatched; /* successful answers without the marker of their
			       request */
	int64_t non_idempotent_share;
	GHashTable *errors; /* code of the refusal -> count */
	GArray *latencies_ns;
	ev_timer send_timer;
	int64_t start_ns;
};

struct load_request {
	struct load *load;
	int64_t number;
	int64_t start_ns;
	int32_t attempts;
	bool idempotent;
	char *marker;
	char *key;
};

static void send_one(struct load_request *sent);

static int64_t now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

static void load_request_free(struct load_request *sent)
{
	g_free(sent->marker);
	g_free(sent->key);
	g_free(sent);
}

static void count_error(struct load *load, const char *body)
{
	json_t *json = json_loads(body, 0, NULL);
	const char *code = json_string_value(
		json_object_get(json_object_get(json, "error"), "code"));
	char *key = g_strdup(code ? code : "?");
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(load->errors, key));

	g_hash_table_replace(load->errors, key, GUINT_TO_POINTER(count + 1));
	json_decref(json);
}

static void classify(struct load *load, const struct load_request *sent,
		     const struct cq_http_result *result)
{
	const char *run = cq_http_result_header(result, "Cq-Run");
	int64_t latency_ns = now_ns() - sent->start_ns;

	if (result->outcome != CQ_HTTP_ANSWERED) {
		load->lost++;
		return;
	}
	if (result->status >= 400) {
		if (run && !strcmp(run, "no"))
			load->refused_not_run++;
		else
			load->refused_unknown++;
		count_error(load, result->body);
		return;
	}
	load->answered++;
	g_array_append_val(load->latencies_ns, latency_ns);
	if (cq_config_flag(load->config, "check-echo") &&
	    !strstr(result->body, sent->marker))
		load->mismatched++;
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct load_request *sent = ctx;
	struct load *load = sent->load;

	if (result->outcome == CQ_HTTP_NOT_SENT &&
	    sent->attempts < MAX_ATTEMPTS) {
		send_one(sent);
		return;
	}
	classify(load, sent, result);
	load_request_free(sent);
	load->open--;
	if (!load->open && load->next == load->to_send)
		ev_break(load->loop, EVBREAK_ALL);
}

static void send_one(struct load_request *sent)
{
	struct load *load = sent->load;
	const struct cq_config *config = load->config;
	int64_t target = sent->number + sent->attempts++;
	char *timeout = g_strdup_printf(
		"%" PRId64, cq_config_integer(config, "timeout-ms"));
	GString *body = g_string_new(cq_config_string(config, "body"));
	char *url = g_strdup_printf("http://%s%s",
				    load->targets[target % load->target_count],
				    cq_config_string(config, "path"));
	struct cq_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Cq-Workspace", cq_config_string(config, "workspace") },
		{ "Cq-Class", cq_config_string(config, "class") },
		{ "Cq-Idempotent", sent->idempotent ? "yes" : "no" },
		{ "Cq-Timeout-Ms", timeout },
		{ "Idempotency-Key", sent->key },
		{ NULL, NULL },
	};
	struct cq_http_request request;

	g_string_replace(body, "%s", sent->marker, 0);
	request = (struct cq_http_request){
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body->str,
		.body_len = body->len,
		.connect_timeout_ms = 1000,
		.timeout_ms =
			(uint32_t)cq_config_integer(config, "timeout-ms") +
			1000,
	};

	cq_http_client_send(load->client, &request, on_done, sent);
	g_free(url);
	g_string_free(body, TRUE);
	g_free(timeout);
}

static void on_send_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load *load = timer->data;
	int64_t rate = cq_config_integer(load->config, "rate");
	int64_t due = (now_ns() - load->start_ns) / CQ_NS_PER_MS * rate /
			      CQ_MS_PER_S +
		      1;

	(void)events;
	while (load->next < load->to_send && load->next < due) {
		struct load_request *sent = g_new0(struct load_request, 1);

		sent->load = load;
		sent->number = load->next++;
		sent->start_ns = now_ns();
		sent->idempotent = sent->number % 100 >=
				   load->non_idempotent_share;
		sent->key = g_strdup_printf("%" PRId64 "-%d-%" PRId64,
					    cq_clock_unix_ms(cq_clock_system()),
					    (int)g_random_int(), sent->number);
		sent->marker = g_strdup_printf(
			"%s%" PRId64, cq_config_string(load->config, "name"),
			sent->number);
		load->open++;
		send_one(sent);
	}
	if (load->next == load->to_send)
		ev_timer_stop(loop, timer);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static double percentile_ms(const GArray *sorted, double share)
{
	if (!sorted->len)
		return 0;
	return (double)g_array_index(
		       sorted, int64_t,
		       (guint)(share * (double)(sorted->len - 1))) /
	       (double)CQ_NS_PER_MS;
}

static void print_result(struct load *load)
{
	GString *errors = g_string_new("{");
	GHashTableIter iter;
	gpointer code;
	gpointer count;

	g_hash_table_iter_init(&iter, load->errors);
	while (g_hash_table_iter_next(&iter, &code, &count))
		g_string_append_printf(errors, "%s\"%s\":%u",
				       errors->len > 1 ? "," : "",
				       (const char *)code,
				       GPOINTER_TO_UINT(count));
	g_string_append_c(errors, '}');
	g_array_sort(load->latencies_ns, compare_int64);
	printf("{\"sent\":%" PRId64 ",\"answered\":%" PRId64
	       ",\"refused_not_run\":%" PRId64 ",\"refused_unknown\":%" PRId64
	       ",\"errors\":%s,\"lost\":%" PRId64 ",\"wrong\":%" PRId64
	       ",\"p50_ms\":%.3f,\"p99_ms\":%.3f,\"seconds\":%.3f}\n",
	       load->to_send, load->answered, load->refused_not_run,
	       load->refused_unknown, errors->str, load->lost, load->mismatched,
	       percentile_ms(load->latencies_ns, 0.5),
	       percentile_ms(load->latencies_ns, 0.99),
	       (double)(now_ns() - load->start_ns) / (double)CQ_NS_PER_S);
	g_string_free(errors, TRUE);
}

int main(int argc, char **argv)
{
	static const struct cq_setting settings[] = {
		{ "targets", NULL, CQ_SETTING_LIST, NULL, 0, 0,
		  "caller addresses of the entry hosts" },
		{ "path", NULL, CQ_SETTING_STRING, "/v1/requests/fit", 0, 0,
		  "path to post to" },
		{ "body", NULL, CQ_SETTING_STRING, "{\"marker\":\"%s\"}", 0, 0,
		  "body; %s is replaced by the marker of the request" },
		{ "name", NULL, CQ_SETTING_STRING, "r", 0, 0,
		  "prefix of the markers" },
		{ "count", NULL, CQ_SETTING_INTEGER, "200", 1, 1000000,
		  "requests to send" },
		{ "rate", NULL, CQ_SETTING_INTEGER, "200", 1, 100000,
		  "requests per second" },
		{ "workspace", NULL, CQ_SETTING_STRING, "default", 0, 0,
		  "workspace" },
		{ "class", NULL, CQ_SETTING_STRING, "seal-fit", 0, 0, "class" },
		{ "timeout-ms", NULL, CQ_SETTING_INTEGER, "5000", 1, 600000,
		  "deadline of each request, milliseconds" },
		{ "non-idempotent-share", NULL, CQ_SETTING_INTEGER, "0", 0, 100,
		  "non-idempotent requests, percent" },
		{ "check-echo", NULL, CQ_SETTING_FLAG, "false", 0, 0,
		  "check that answers contain the marker of their request" },
	};
	struct cq_error err = CQ_ERROR_INIT;
	struct load load = { 0 };
	struct cq_config *config;

	config = cq_config_parse("cq-load", "Sends requests or jobs.", settings,
				 G_N_ELEMENTS(settings), argc, argv, &err);
	if (!config) {
		fprintf(stderr, "cq-load: %s\n", err.message);
		return CQ_EXIT_USAGE;
	}
	load.config = config;
	load.loop = ev_default_loop(0);
	load.client = cq_http_client_create(load.loop, 256, 256);
	load.targets = cq_config_list(config, "targets");
	load.target_count = (int32_t)g_strv_length(load.targets);
	load.to_send = cq_config_integer(config, "count");
	load.non_idempotent_share =
		cq_config_integer(config, "non-idempotent-share");
	load.errors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	load.latencies_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	load.start_ns = now_ns();
	if (!load.target_count) {
		fprintf(stderr, "cq-load: --targets: must not be empty\n");
		return CQ_EXIT_USAGE;
	}
	ev_timer_init(&load.send_timer, on_send_timer, 0., 0.001);
	load.send_timer.data = &load;
	ev_timer_start(load.loop, &load.send_timer);
	ev_run(load.loop, 0);
	print_result(&load);
	cq_http_client_destroy(load.client);
	g_hash_table_destroy(load.errors);
	g_array_free(load.latencies_ns, TRUE);
	cq_config_destroy(config);
	return 0;
}
