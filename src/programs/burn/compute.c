#include <math.h>
#include <string.h>

#include "programs/burn/burn.h"

/* The events of one host between two scrapes. */
struct scrape_interval {
	guint host;
	int64_t from_ms, to_ms;
	struct burn_count count;
	bool restarted;
};

static int64_t observed_from_ms(const struct scrape_interval *interval,
				const struct burn_scrape *after);
static GArray *collect_intervals(const struct burn_data *data,
				 const struct burn_objective *objective);
static void add_fraction(struct burn_count *to, const struct burn_count *from,
			 double fraction);
static struct burn_count sum_window(const GArray *intervals, int64_t from_ms,
				    int64_t to_ms, int64_t host);
static void compute_burn(struct burn_rate *rate, double allowed);
static struct burn_rate compute_window(const struct burn_data *data,
				       const GArray *intervals,
				       const struct burn_objective *objective,
				       int64_t window_s);
static enum burn_verdict evaluate_verdict(const struct burn_result *result,
					  const struct burn_options *options);
static void compute_curve(const struct burn_data *data, const GArray *intervals,
			  struct burn_result *result,
			  const struct burn_options *options);
static void find_worst_host(const struct burn_data *data,
			    const GArray *intervals,
			    const struct burn_objective *objective,
			    struct burn_result *result,
			    struct burn_report *report);
static void compute_hosts(const struct burn_data *data, const GArray *intervals,
			  struct burn_report *report);
static gint compare_results(gconstpointer a, gconstpointer b);

const char *burn_verdict_string(enum burn_verdict verdict)
{
	static const char *const strings[] = {
		[BURN_GOOD] = "good",		[BURN_SPENT] = "budget spent",
		[BURN_SLOW] = "slow burn",	[BURN_FAST] = "fast burn",
		[BURN_NO_EVENTS] = "no events",
	};

	return strings[verdict];
}

/*
 * Returns the start of the observed part of an interval with a restart. If the
 * process does not export its start time, no part counts as observed.
 */
static int64_t observed_from_ms(const struct scrape_interval *interval,
				const struct burn_scrape *after)
{
	if (!after->start_unix_ms)
		return interval->to_ms;
	return CLAMP(after->start_unix_ms, interval->from_ms, interval->to_ms);
}

/*
 * Returns the intervals between successful scrapes of each host. Counters are
 * cumulative, so an interval also covers failed scrapes inside it, unless the
 * process restarted: then only the events since its start are known.
 */
static GArray *collect_intervals(const struct burn_data *data,
				 const struct burn_objective *objective)
{
	GArray *intervals =
		g_array_new(FALSE, TRUE, sizeof(struct scrape_interval));
	guint host;
	guint i;

	for (host = 0; host < data->hosts->len; host++) {
		const struct burn_scrape *before = NULL;

		for (i = 0; i < data->scrapes->len; i++) {
			const struct burn_scrape *scrape =
				data->scrapes->pdata[i];
			struct scrape_interval interval = { .host = host };

			if (scrape->failed ||
			    strcmp(scrape->host, data->hosts->pdata[host]) != 0)
				continue;
			if (before) {
				interval.from_ms = before->unix_ms;
				interval.to_ms = scrape->unix_ms;
				interval.restarted = burn_count_between(
					objective, before, scrape,
					&interval.count);
				if (interval.restarted)
					interval.from_ms = observed_from_ms(
						&interval, scrape);
				g_array_append_val(intervals, interval);
			}
			before = scrape;
		}
	}
	return intervals;
}

static void add_fraction(struct burn_count *to, const struct burn_count *from,
			 double fraction)
{
	to->total += from->total * fraction;
	to->good += from->good * fraction;
	to->good_low += from->good_low * fraction;
	to->good_high += from->good_high * fraction;
}

/*
 * Sums the events of a window for one host, or for all if host is -1. An
 * interval that lies only partly in the window counts proportionally.
 */
static struct burn_count sum_window(const GArray *intervals, int64_t from_ms,
				    int64_t to_ms, int64_t host)
{
	struct burn_count sum = { 0 };
	guint i;

	for (i = 0; i < intervals->len; i++) {
		const struct scrape_interval *interval =
			&g_array_index(intervals, struct scrape_interval, i);
		int64_t begin = MAX(interval->from_ms, from_ms);
		int64_t end = MIN(interval->to_ms, to_ms);
		int64_t length = interval->to_ms - interval->from_ms;

		if (host >= 0 && interval->host != (guint)host)
			continue;
		if (!length && interval->to_ms > from_ms &&
		    interval->to_ms <= to_ms)
			add_fraction(&sum, &interval->count, 1);
		else if (end > begin)
			add_fraction(&sum, &interval->count,
				     (double)(end - begin) / (double)length);
	}
	return sum;
}

static void compute_burn(struct burn_rate *rate, double allowed)
{
	const struct burn_count *count = &rate->count;
	double budget = count->total * allowed;

	if (count->total <= 0) {
		rate->burn = rate->burn_low = rate->burn_high = -1;
		return;
	}
	rate->burn = fmax(count->total - count->good, 0) / budget;
	rate->burn_low = fmax(count->total - count->good_high, 0) / budget;
	rate->burn_high = fmax(count->total - count->good_low, 0) / budget;
}

static struct burn_rate compute_window(const struct burn_data *data,
				       const GArray *intervals,
				       const struct burn_objective *objective,
				       int64_t window_s)
{
	int64_t from_ms = data->last_ms - window_s * 1000;
	struct burn_rate rate = { .covered_s = (data->last_ms -
						MAX(from_ms, data->first_ms)) /
					       1000 };

	rate.count = sum_window(intervals, from_ms, data->last_ms, -1);
	compute_burn(&rate, objective->allowed);
	return rate;
}

static enum burn_verdict evaluate_verdict(const struct burn_result *result,
					  const struct burn_options *options)
{
	if (result->budget_window.burn < 0 && result->slow[1].burn < 0)
		return BURN_NO_EVENTS;
	if (result->fast[0].burn >= options->fast_limit &&
	    result->fast[1].burn >= options->fast_limit)
		return BURN_FAST;
	if (result->slow[0].burn >= options->slow_limit &&
	    result->slow[1].burn >= options->slow_limit)
		return BURN_SLOW;
	return result->remaining > 0 ? BURN_GOOD : BURN_SPENT;
}

/* Each point is the burn rate of the short fast window that ends there. */
static void compute_curve(const struct burn_data *data, const GArray *intervals,
			  struct burn_result *result,
			  const struct burn_options *options)
{
	int64_t span_ms = data->last_ms - data->first_ms;
	int i;

	for (i = 0; i < BURN_CURVE_POINTS; i++) {
		int64_t end_ms =
			data->first_ms + span_ms * (i + 1) / BURN_CURVE_POINTS;
		struct burn_rate rate = { 0 };

		rate.count = sum_window(intervals,
					end_ms - options->fast_s[0] * 1000,
					end_ms, -1);
		compute_burn(&rate, result->objective.allowed);
		result->curve[i] = rate.burn;
	}
}

static void find_worst_host(const struct burn_data *data,
			    const GArray *intervals,
			    const struct burn_objective *objective,
			    struct burn_result *result,
			    struct burn_report *report)
{
	int64_t from_ms = data->last_ms - report->options.fast_s[1] * 1000;
	guint host;

	for (host = 0; host < data->hosts->len; host++) {
		struct burn_host *entry =
			&g_array_index(report->hosts, struct burn_host, host);
		struct burn_rate rate = { 0 };

		rate.count =
			sum_window(intervals, from_ms, data->last_ms, host);
		compute_burn(&rate, result->objective.allowed);
		if (rate.burn > result->worst_burn) {
			result->worst_burn = rate.burn;
			result->worst_host = data->hosts->pdata[host];
		}
		if (rate.burn > entry->burn) {
			entry->burn = rate.burn;
			entry->worst = objective->name;
		}
	}
}

static void compute_hosts(const struct burn_data *data, const GArray *intervals,
			  struct burn_report *report)
{
	int64_t span_ms = data->last_ms - data->first_ms;
	guint host;
	guint i;

	for (host = 0; host < data->hosts->len; host++) {
		struct burn_host entry = { .host = data->hosts->pdata[host] };
		int64_t covered_ms = 0;

		for (i = 0; i < intervals->len; i++) {
			const struct scrape_interval *interval = &g_array_index(
				intervals, struct scrape_interval, i);

			if (interval->host != host)
				continue;
			covered_ms += interval->to_ms - interval->from_ms;
			entry.restarts += interval->restarted;
		}
		entry.missing_s = (span_ms - covered_ms + 500) / 1000;
		g_array_append_val(report->hosts, entry);
	}
}

static gint compare_results(gconstpointer a, gconstpointer b)
{
	const struct burn_result *left = a;
	const struct burn_result *right = b;

	if (left->fast[1].burn != right->fast[1].burn)
		return left->fast[1].burn < right->fast[1].burn ? 1 : -1;
	if (left->budget_window.burn != right->budget_window.burn)
		return left->budget_window.burn < right->budget_window.burn
			       ? 1
			       : -1;
	return strcmp(left->objective.name, right->objective.name);
}

/* The report points to names in data and objectives; both must outlive it. */
struct burn_report *burn_compute(const struct burn_data *data,
				 const GArray *objectives,
				 const struct burn_options *options)
{
	struct burn_report *report = g_new0(struct burn_report, 1);
	guint i;
	int k;

	report->options = *options;
	report->first_ms = data->first_ms;
	report->last_ms = data->last_ms;
	report->hosts = g_array_new(FALSE, TRUE, sizeof(struct burn_host));
	report->results = g_array_new(FALSE, TRUE, sizeof(struct burn_result));
	for (i = 0; i < objectives->len; i++) {
		struct burn_result result = {
			.objective = g_array_index(objectives,
						   struct burn_objective, i)
		};
		GArray *intervals = collect_intervals(data, &result.objective);

		if (!i)
			compute_hosts(data, intervals, report);
		for (k = 0; k < 2; k++) {
			result.fast[k] = compute_window(data, intervals,
							&result.objective,
							options->fast_s[k]);
			result.slow[k] = compute_window(data, intervals,
							&result.objective,
							options->slow_s[k]);
		}
		result.budget_window =
			compute_window(data, intervals, &result.objective,
				       result.objective.window_s);
		result.remaining = result.budget_window.burn < 0
					   ? 1
					   : 1 - result.budget_window.burn;
		result.verdict = evaluate_verdict(&result, options);
		compute_curve(data, intervals, &result, options);
		g_array_append_val(report->results, result);
		find_worst_host(
			data, intervals,
			&g_array_index(objectives, struct burn_objective, i),
			&g_array_index(report->results, struct burn_result, i),
			report);
		g_array_free(intervals, TRUE);
	}
	g_array_sort(report->results, compare_results);
	return report;
}

void burn_report_destroy(struct burn_report *report)
{
	if (!report)
		return;
	g_array_free(report->results, TRUE);
	g_array_free(report->hosts, TRUE);
	g_free(report);
}

bool burn_report_alerts(const struct burn_report *report)
{
	guint i;

	for (i = 0; i < report->results->len; i++) {
		enum burn_verdict verdict =
			g_array_index(report->results, struct burn_result, i)
				.verdict;

		if (verdict == BURN_FAST || verdict == BURN_SLOW ||
		    verdict == BURN_SPENT)
			return true;
	}
	return false;
}

bool burn_report_partial(const struct burn_report *report)
{
	guint i;

	for (i = 0; i < report->hosts->len; i++)
		if (g_array_index(report->hosts, struct burn_host, i)
			    .missing_s > 0)
			return true;
	return false;
}
