#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "programs/burn/burn.h"

static char *format_rate(double value);
static void print_rate(const char *title, int64_t window_s,
		       const struct burn_rate *rate);
static void print_result(const struct burn_result *result,
			 const struct burn_options *options);
static void print_hosts(const struct burn_report *report);
static json_t *rate_json(int64_t window_s, const struct burn_rate *rate);
static json_t *result_json(const struct burn_result *result,
			   const struct burn_options *options);
static json_t *real_or_null(double value);

char *burn_duration(int64_t seconds)
{
	if (seconds < 120)
		return g_strdup_printf("%lld s", (long long)seconds);
	if (seconds < 7200)
		return g_strdup_printf("%lld min", (long long)(seconds / 60));
	if (seconds < 48 * 3600)
		return g_strdup_printf("%.3g h", (double)seconds / 3600);
	return g_strdup_printf("%.3g d", (double)seconds / 86400);
}

/* Formats a burn rate; negative means that there were no events. */
static char *format_rate(double value)
{
	if (value < 0)
		return g_strdup("-");
	return g_strdup_printf("%.2f", value);
}

static void print_rate(const char *title, int64_t window_s,
		       const struct burn_rate *rate)
{
	char *window = burn_duration(window_s);
	char *covered = burn_duration(rate->covered_s);
	char *burn = format_rate(rate->burn);

	printf("    %-7s %-8s burn %8s   %.0f of %.0f events bad", title,
	       window, burn, rate->count.total - rate->count.good,
	       rate->count.total);
	if (rate->covered_s < window_s)
		printf("   (observed: %s)", covered);
	putchar('\n');
	g_free(burn);
	g_free(covered);
	g_free(window);
}

static void print_result(const struct burn_result *result,
			 const struct burn_options *options)
{
	const struct burn_objective *objective = &result->objective;
	const struct burn_rate *whole = &result->budget_window;
	char *window = burn_duration(objective->window_s);

	printf("%s (class %s): %s\n", objective->name, objective->class_name,
	       burn_verdict_string(result->verdict));
	printf("    budget  %-8s %.1f %% left", window,
	       result->remaining * 100);
	if (whole->covered_s < objective->window_s) {
		char *covered = burn_duration(whole->covered_s);

		printf("   (observed: %s)", covered);
		g_free(covered);
	}
	putchar('\n');
	print_rate("fast", options->fast_s[0], &result->fast[0]);
	print_rate("", options->fast_s[1], &result->fast[1]);
	print_rate("slow", options->slow_s[0], &result->slow[0]);
	print_rate("", options->slow_s[1], &result->slow[1]);
	if (whole->burn >= 0 && whole->burn_high - whole->burn_low > 0.01)
		printf("    the target of %lld ms lies between two buckets: "
		       "burn %.2f to %.2f, interpolated\n",
		       (long long)objective->target_ms, whole->burn_low,
		       whole->burn_high);
	if (result->worst_host)
		printf("    worst host %s, burn %.2f\n", result->worst_host,
		       result->worst_burn);
	g_free(window);
}

static void print_hosts(const struct burn_report *report)
{
	guint i;

	for (i = 0; i < report->hosts->len; i++) {
		const struct burn_host *host =
			&g_array_index(report->hosts, struct burn_host, i);
		char *missing = burn_duration(host->missing_s);

		if (host->missing_s)
			printf("host %s: nothing known for %s of the time; "
			       "its events are not in the figures\n",
			       host->host, missing);
		if (host->restarts)
			printf("host %s: restarted %u time%s\n", host->host,
			       host->restarts, host->restarts == 1 ? "" : "s");
		g_free(missing);
	}
}

void burn_print_text(const struct burn_report *report)
{
	int64_t span_s = (report->last_ms - report->first_ms) / 1000;
	char *span = burn_duration(span_s);
	guint i;

	printf("objectives: %u, hosts: %u, observed for %s\n\n",
	       report->results->len, report->hosts->len, span);
	for (i = 0; i < report->results->len; i++)
		print_result(&g_array_index(report->results, struct burn_result,
					    i),
			     &report->options);
	putchar('\n');
	print_hosts(report);
	g_free(span);
}

static json_t *real_or_null(double value)
{
	/* Rounds to six decimals, so that rounding errors do not show. */
	return value < 0 ? json_null() : json_real(round(value * 1e6) / 1e6);
}

static json_t *rate_json(int64_t window_s, const struct burn_rate *rate)
{
	return json_pack(
		"{s:I,s:I,s:o,s:o,s:o,s:o,s:o}", "window_s",
		(json_int_t)window_s, "covered_s", (json_int_t)rate->covered_s,
		"total", real_or_null(rate->count.total), "bad",
		real_or_null(fmax(rate->count.total - rate->count.good, 0)),
		"burn", real_or_null(rate->burn), "burn_low",
		real_or_null(rate->burn_low), "burn_high",
		real_or_null(rate->burn_high));
}

static json_t *result_json(const struct burn_result *result,
			   const struct burn_options *options)
{
	const struct burn_objective *objective = &result->objective;
	json_t *json = json_pack(
		"{s:s,s:s,s:s,s:I,s:s,s:o,s:[o,o],s:[o,o],s:o}", "name",
		objective->name, "class", objective->class_name, "measure",
		burn_measure_string(objective->measure), "target_ms",
		(json_int_t)objective->target_ms, "verdict",
		burn_verdict_string(result->verdict), "remaining",
		json_real(round(result->remaining * 1e6) / 1e6), "fast",
		rate_json(options->fast_s[0], &result->fast[0]),
		rate_json(options->fast_s[1], &result->fast[1]), "slow",
		rate_json(options->slow_s[0], &result->slow[0]),
		rate_json(options->slow_s[1], &result->slow[1]), "whole",
		rate_json(objective->window_s, &result->budget_window));

	if (result->worst_host)
		json_object_set_new(json, "worst_host",
				    json_string(result->worst_host));
	return json;
}

void burn_print_json(const struct burn_report *report)
{
	json_t *results = json_array();
	json_t *hosts = json_array();
	json_t *body;
	char *text;
	guint i;

	for (i = 0; i < report->results->len; i++)
		json_array_append_new(
			results,
			result_json(&g_array_index(report->results,
						   struct burn_result, i),
				    &report->options));
	for (i = 0; i < report->hosts->len; i++) {
		const struct burn_host *host =
			&g_array_index(report->hosts, struct burn_host, i);

		json_array_append_new(
			hosts,
			json_pack("{s:s,s:I,s:i,s:o,s:s?}", "host", host->host,
				  "missing_s", (json_int_t)host->missing_s,
				  "restarts", (int)host->restarts, "burn",
				  real_or_null(host->worst ? host->burn : -1),
				  "worst", host->worst));
	}
	body = json_pack("{s:I,s:I,s:b,s:o,s:o}", "first_unix_ms",
			 (json_int_t)report->first_ms, "last_unix_ms",
			 (json_int_t)report->last_ms, "partial",
			 (int)burn_report_partial(report), "objectives",
			 results, "hosts", hosts);
	text = json_dumps(body, JSON_INDENT(2) | JSON_REAL_PRECISION(9));
	puts(text);
	free(text);
	json_decref(body);
}
