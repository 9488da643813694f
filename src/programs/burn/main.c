/* cq-burn: reports SLO burn rates from the /metrics of all hosts. */
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/config.h"
#include "programs/burn/burn.h"

#define CONNECT_TIMEOUT_MS 1000L
#define CALL_TIMEOUT_MS 3000L
#define MAX_RESPONSE_BYTES (16U << 20)

static const struct cq_setting settings[] = {
	{ "hosts", "CQ_BURN_HOSTS", CQ_SETTING_LIST, "", 0, 0,
	  "operators' listeners of all daemons, IP:PORT" },
	{ "scrapes", "CQ_BURN_SCRAPES", CQ_SETTING_LIST, "", 0, 0,
	  "files of saved readings, instead of --hosts" },
	{ "objectives", "CQ_BURN_OBJECTIVES", CQ_SETTING_STRING, "", 0, 0,
	  "file with the settings subtree global, instead of asking a host "
	  "(token in CQ_OPERATOR_TOKEN)" },
	{ "interval-ms", "CQ_BURN_INTERVAL_MS", CQ_SETTING_INTEGER, "10000", 10,
	  3600000, "time between two readings, milliseconds" },
	{ "readings", "CQ_BURN_READINGS", CQ_SETTING_INTEGER, "7", 2, 1000000,
	  "number of readings" },
	{ "record", "CQ_BURN_RECORD", CQ_SETTING_FLAG, "false", 0, 0,
	  "print the readings for --scrapes instead of a report" },
	{ "output", "CQ_BURN_OUTPUT", CQ_SETTING_STRING, "text", 0, 0,
	  "text, json or svg" },
	{ "fast-s", "CQ_BURN_FAST_S", CQ_SETTING_LIST, "300,3600", 0, 0,
	  "short and long window of the fast pair, seconds" },
	{ "fast-limit", "CQ_BURN_FAST_LIMIT", CQ_SETTING_STRING, "14.4", 1, 16,
	  "burn in both fast windows that is an alert" },
	{ "slow-s", "CQ_BURN_SLOW_S", CQ_SETTING_LIST, "1800,21600", 0, 0,
	  "short and long window of the slow pair, seconds" },
	{ "slow-limit", "CQ_BURN_SLOW_LIMIT", CQ_SETTING_STRING, "6", 1, 16,
	  "burn in both slow windows that is an alert" },
};

static size_t on_data(char *data, size_t size, size_t count, void *ctx);
static char *fetch(const char *host, const char *path);
static bool read_window_pair(const struct cq_config *config, const char *name,
			     int64_t *pair, struct cq_error *err);
static bool read_limit(const struct cq_config *config, const char *name,
		       double *limit, struct cq_error *err);
static bool read_options(const struct cq_config *config,
			 struct burn_options *options, struct cq_error *err);
static char *read_objectives(const struct cq_config *config,
			     struct cq_error *err);
static bool scrape_hosts(const struct cq_config *config,
			 struct burn_data *data);
static bool load_scrapes(const struct cq_config *config, struct burn_data *data,
			 struct cq_error *err);
static int print_report(const struct cq_config *config,
			const struct burn_data *data, struct cq_error *err);
static int run(const struct cq_config *config, struct cq_error *err);

static size_t on_data(char *data, size_t size, size_t count, void *ctx)
{
	GString *text = ctx;

	if (text->len + size * count > MAX_RESPONSE_BYTES)
		return 0;
	g_string_append_len(text, data, (gssize)(size * count));
	return size * count;
}

/*
 * Returns the response body, or NULL unless the status is 200. The caller
 * frees it with g_free().
 */
static char *fetch(const char *host, const char *path)
{
	const char *token = getenv("CQ_OPERATOR_TOKEN");
	char *url = g_strdup_printf("http://%s%s", host, path);
	char *header =
		g_strdup_printf("Authorization: Bearer %s", token ? token : "");
	struct curl_slist *headers = curl_slist_append(NULL, header);
	GString *text = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(header);
	g_free(url);
	return g_string_free(text, status != 200);
}

static bool read_window_pair(const struct cq_config *config, const char *name,
			     int64_t *pair, struct cq_error *err)
{
	char **list = cq_config_list(config, name);
	char *end;
	int i;

	for (i = 0; i < 2 && list[i]; i++) {
		pair[i] = strtoll(list[i], &end, 10);
		if (end == list[i] || *end || pair[i] < 1)
			break;
	}
	if (i == 2 && !list[2] && pair[0] < pair[1])
		return true;
	return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
			    "--%s: \"%s\" is not two increasing numbers of "
			    "seconds",
			    name, cq_config_string(config, name));
}

static bool read_limit(const struct cq_config *config, const char *name,
		       double *limit, struct cq_error *err)
{
	const char *text = cq_config_string(config, name);
	char *end;

	*limit = strtod(text, &end);
	if (end != text && !*end && *limit > 0 && *limit < 1e6)
		return true;
	return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
			    "--%s: \"%s\" is not a number above 0", name, text);
}

static bool read_options(const struct cq_config *config,
			 struct burn_options *options, struct cq_error *err)
{
	const char *output = cq_config_string(config, "output");
	bool hosts = *cq_config_list(config, "hosts") != NULL;
	bool scrapes = *cq_config_list(config, "scrapes") != NULL;

	if (strcmp(output, "text") != 0 && strcmp(output, "json") != 0 &&
	    strcmp(output, "svg") != 0)
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "--output: \"%s\" is not text, json or svg",
				    output);
	if (hosts == scrapes)
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "give either --hosts or --scrapes");
	return read_window_pair(config, "fast-s", options->fast_s, err) &&
	       read_window_pair(config, "slow-s", options->slow_s, err) &&
	       read_limit(config, "fast-limit", &options->fast_limit, err) &&
	       read_limit(config, "slow-limit", &options->slow_limit, err);
}

static char *read_objectives(const struct cq_config *config,
			     struct cq_error *err)
{
	const char *path = cq_config_string(config, "objectives");
	char **hosts = cq_config_list(config, "hosts");
	char *text = NULL;
	int i;

	if (*path) {
		if (g_file_get_contents(path, &text, NULL, NULL))
			return text;
		cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
			     "--objectives: cannot read %s", path);
		return NULL;
	}
	for (i = 0; hosts[i] && !text; i++)
		text = fetch(hosts[i], "/v1/settings/global");
	if (!text)
		cq_error_set(err, CQ_ERROR_PROGRAM,
			     *hosts ? CQ_ERR_UNAVAILABLE : CQ_ERR_INVALID,
			     *hosts ? "no host told the settings subtree "
				      "global; set CQ_OPERATOR_TOKEN, set "
				      "the objectives, or give --objectives"
				    : "give --objectives with --scrapes");
	return text;
}

static bool scrape_hosts(const struct cq_config *config, struct burn_data *data)
{
	char **hosts = cq_config_list(config, "hosts");
	int64_t readings = cq_config_integer(config, "readings");
	int64_t interval_ms = cq_config_integer(config, "interval-ms");
	bool record = cq_config_flag(config, "record");
	bool answered = false;
	int64_t n;
	int i;

	for (n = 0; n < readings; n++) {
		int64_t unix_ms = cq_clock_unix_ms(cq_clock_system());

		for (i = 0; hosts[i]; i++) {
			char *text = fetch(hosts[i], "/metrics");

			answered = answered || text;
			if (record)
				burn_record(hosts[i], unix_ms, text);
			else
				burn_data_add(data, hosts[i], unix_ms, text);
			g_free(text);
		}
		fflush(stdout);
		if (n + 1 < readings)
			g_usleep((gulong)(interval_ms * 1000));
	}
	return answered;
}

static bool load_scrapes(const struct cq_config *config, struct burn_data *data,
			 struct cq_error *err)
{
	char **files = cq_config_list(config, "scrapes");
	int i;

	for (i = 0; files[i]; i++)
		if (!burn_data_load(data, files[i], err))
			return false;
	return true;
}

static int print_report(const struct cq_config *config,
			const struct burn_data *data, struct cq_error *err)
{
	const char *output = cq_config_string(config, "output");
	char *text = read_objectives(config, err);
	struct burn_options options;
	struct burn_report *result;
	GArray *objectives = NULL;
	int code = BURN_OK;

	if (!text || !burn_objectives_parse(text, &objectives, err)) {
		g_free(text);
		return err->code == CQ_ERR_INVALID ? BURN_USAGE
						   : BURN_UNREACHABLE;
	}
	read_options(config, &options, err);
	result = burn_compute(data, objectives, &options);
	if (!strcmp(output, "json"))
		burn_print_json(result);
	else if (!strcmp(output, "svg"))
		burn_print_svg(result);
	else
		burn_print_text(result);
	if (burn_report_alerts(result))
		code = BURN_ALERT;
	else if (burn_report_partial(result))
		code = BURN_PARTIAL;
	burn_report_destroy(result);
	g_array_unref(objectives);
	g_free(text);
	return code;
}

static int run(const struct cq_config *config, struct cq_error *err)
{
	struct burn_data *data;
	struct burn_options options;
	bool live = *cq_config_list(config, "hosts") != NULL;
	int code;

	if (!read_options(config, &options, err))
		return BURN_USAGE;
	data = burn_data_create();
	if (!live && !load_scrapes(config, data, err)) {
		code = BURN_USAGE;
	} else if (live && !scrape_hosts(config, data)) {
		cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_UNAVAILABLE,
			     "no host answered /metrics; check --hosts");
		code = BURN_UNREACHABLE;
	} else if (cq_config_flag(config, "record")) {
		code = BURN_OK;
	} else {
		code = print_report(config, data, err);
	}
	burn_data_destroy(data);
	return code;
}

int main(int argc, char **argv)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_config *config;
	int code;

	config = cq_config_parse(
		"cq-burn",
		"Reports how fast service-level objectives use up their error "
		"budget.\nExit codes: 0 good, 1 an objective burns too fast "
		"or has spent its budget, "
		"2 usage, 5 no host answered, 6 hosts are missing.",
		settings, G_N_ELEMENTS(settings), argc, argv, &err);
	if (!config) {
		fprintf(stderr, "cq-burn: %s\n", err.message);
		return BURN_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = run(config, &err);
	if (err.code)
		fprintf(stderr, "cq-burn: %s\n", err.message);
	curl_global_cleanup();
	cq_config_destroy(config);
	return code;
}
