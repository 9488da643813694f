#include <math.h>
#include <string.h>

#include "programs/burn/burn.h"

/* The events of one host between two readings. */
struct stretch {
	guint host;
	int64_t from_ms, to_ms;
	struct burn_count count;
	bool restarted;
};

static int64_t covered_from(const struct stretch *one,
			    const struct burn_scrape *after);
static GArray *collect(const struct burn_data *data,
		       const struct burn_objective *objective);
static void add_part(struct burn_count *to, const struct burn_count *from,
		     double part);
static struct burn_count sum_window(const GArray *stretches, int64_t from_ms,
				    int64_t to_ms, int64_t host);
static void set_burn(struct burn_rate *rate, double allowed);
static struct burn_rate rate_of(const struct burn_data *data,
				const GArray *stretches,
				const struct burn_objective *objective,
				int64_t window_s);
static enum burn_verdict judge(const struct burn_result *result,
			       const struct burn_options *options);
static void compute_points(const struct burn_data *data,
			   const GArray *stretches, struct burn_result *result,
			   const struct burn_options *options);
static void find_worst_host(const struct burn_data *data,
			    const GArray *stretches,
			    const struct burn_objective *objective,
			    struct burn_result *result,
			    struct burn_report *report);
static void compute_hosts(const struct burn_data *data, const GArray *stretches,
			  struct burn_report *report);
static gint compare_results(gconstpointer a, gconstpointer b);

const char *burn_verdict_string(enum burn_verdict verdict)
{
	static const char *const strings[] = {
		[BURN_GOOD] = "good",	     [BURN_SPENT] = "budget spent",
		[BURN_SLOW] = "slow burn",   [BURN_FAST] = "fast burn",
		[BURN_SILENT] = "no events",
	};

	return strings[verdict];
}

/* A process that does not tell its start time covers nothing before now. */
static int64_t covered_from(const struct stretch *one,
			    const struct burn_scrape *after)
{
	if (!after->start_unix_ms)
		return one->to_ms;
	return CLAMP(after->start_unix_ms, one->from_ms, one->to_ms);
}

/*
 * Events are counted between two answered readings of a host. A gap with
 * failed readings is covered by its two ends, unless the process restarted in
 * it: then only what it counted since its start is known.
 */
static GArray *collect(const struct burn_data *data,
		       const struct burn_objective *objective)
{
	GArray *stretches = g_array_new(FALSE, TRUE, sizeof(struct stretch));
	guint host;
	guint i;

	for (host = 0; host < data->hosts->len; host++) {
		const struct burn_scrape *before = NULL;

		for (i = 0; i < data->scrapes->len; i++) {
			const struct burn_scrape *scrape =
				data->scrapes->pdata[i];
			struct stretch one = { .host = host };

			if (scrape->failed ||
			    strcmp(scrape->host, data->hosts->pdata[host]) != 0)
				continue;
			if (before) {
				one.from_ms = before->unix_ms;
				one.to_ms = scrape->unix_ms;
				one.restarted = burn_count_between(
					objective, before, scrape, &one.count);
				if (one.restarted)
					one.from_ms =
						covered_from(&one, scrape);
				g_array_append_val(stretches, one);
			}
			before = scrape;
		}
	}
	return stretches;
}

static void add_part(struct burn_count *to, const struct burn_count *from,
		     double part)
{
	to->total += from->total * part;
	to->good += from->good * part;
	to->good_low += from->good_low * part;
	to->good_high += from->good_high * part;
}

/* host -1: all. A stretch that begins before the window counts in part. */
static struct burn_count sum_window(const GArray *stretches, int64_t from_ms,
				    int64_t to_ms, int64_t host)
{
	struct burn_count sum = { 0 };
	guint i;

	for (i = 0; i < stretches->len; i++) {
		const struct stretch *one =
			&g_array_index(stretches, struct stretch, i);
		int64_t begin = MAX(one->from_ms, from_ms);
		int64_t end = MIN(one->to_ms, to_ms);
		int64_t length = one->to_ms - one->from_ms;

		if (host >= 0 && one->host != (guint)host)
			continue;
		if (!length && one->to_ms > from_ms && one->to_ms <= to_ms)
			add_part(&sum, &one->count, 1);
		else if (end > begin)
			add_part(&sum, &one->count,
				 (double)(end - begin) / (double)length);
	}
	return sum;
}

static void set_burn(struct burn_rate *rate, double allowed)
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

static struct burn_rate rate_of(const struct burn_data *data,
				const GArray *stretches,
				const struct burn_objective *objective,
				int64_t window_s)
{
	int64_t from_ms = data->last_ms - window_s * 1000;
	struct burn_rate rate = { .covered_s = (data->last_ms -
						MAX(from_ms, data->first_ms)) /
					       1000 };

	rate.count = sum_window(stretches, from_ms, data->last_ms, -1);
	set_burn(&rate, objective->allowed);
	return rate;
}

static enum burn_verdict judge(const struct burn_result *result,
			       const struct burn_options *options)
{
	if (result->whole.burn < 0 && result->slow[1].burn < 0)
		return BURN_SILENT;
	if (result->fast[0].burn >= options->fast_limit &&
	    result->fast[1].burn >= options->fast_limit)
		return BURN_FAST;
	if (result->slow[0].burn >= options->slow_limit &&
	    result->slow[1].burn >= options->slow_limit)
		return BURN_SLOW;
	return result->remaining > 0 ? BURN_GOOD : BURN_SPENT;
}

/* Each point is the burn of the short fast window that ends there. */
static void compute_points(const struct burn_data *data,
			   const GArray *stretches, struct burn_result *result,
			   const struct burn_options *options)
{
	int64_t span = data->last_ms - data->first_ms;
	int i;

	for (i = 0; i < BURN_POINTS; i++) {
		int64_t at = data->first_ms + span * (i + 1) / BURN_POINTS;
		struct burn_rate rate = { 0 };

		rate.count = sum_window(stretches,
					at - options->fast_s[0] * 1000, at, -1);
		set_burn(&rate, result->objective.allowed);
		result->points[i] = rate.burn;
	}
}

static void find_worst_host(const struct burn_data *data,
			    const GArray *stretches,
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
			sum_window(stretches, from_ms, data->last_ms, host);
		set_burn(&rate, result->objective.allowed);
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

static void compute_hosts(const struct burn_data *data, const GArray *stretches,
			  struct burn_report *report)
{
	int64_t span_ms = data->last_ms - data->first_ms;
	guint host;
	guint i;

	for (host = 0; host < data->hosts->len; host++) {
		struct burn_host entry = { .host = data->hosts->pdata[host] };
		int64_t covered_ms = 0;

		for (i = 0; i < stretches->len; i++) {
			const struct stretch *one =
				&g_array_index(stretches, struct stretch, i);

			if (one->host != host)
				continue;
			covered_ms += one->to_ms - one->from_ms;
			entry.restarts += one->restarted;
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
	if (left->whole.burn != right->whole.burn)
		return left->whole.burn < right->whole.burn ? 1 : -1;
	return strcmp(left->objective.name, right->objective.name);
}

/* The report names objectives and hosts of its arguments. */
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
		GArray *stretches = collect(data, &result.objective);

		if (!i)
			compute_hosts(data, stretches, report);
		for (k = 0; k < 2; k++) {
			result.fast[k] = rate_of(data, stretches,
						 &result.objective,
						 options->fast_s[k]);
			result.slow[k] = rate_of(data, stretches,
						 &result.objective,
						 options->slow_s[k]);
		}
		result.whole = rate_of(data, stretches, &result.objective,
				       result.objective.window_s);
		result.remaining =
			result.whole.burn < 0 ? 1 : 1 - result.whole.burn;
		result.verdict = judge(&result, options);
		compute_points(data, stretches, &result, options);
		g_array_append_val(report->results, result);
		find_worst_host(
			data, stretches,
			&g_array_index(objectives, struct burn_objective, i),
			&g_array_index(report->results, struct burn_result, i),
			report);
		g_array_free(stretches, TRUE);
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
