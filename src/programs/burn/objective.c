#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "programs/burn/burn.h"

/*
 * Lower bound of the allowed share of bad events. Avoids a division by zero
 * for objectives of 100 %.
 */
#define MIN_ALLOWED_SHARE 1e-9

/*
 * The histogram that a measure is computed from. A time measure uses the
 * buckets; a success measure uses only the event count, where series with
 * good_label are good. Requests and jobs that did not complete are bad in both.
 */
struct measure_source {
	const char *prefix; /* prefix of the objective's name */
	const char *histogram;
	const char *good_label; /* NULL: every series is good */
	bool by_class;		/* the series have a class label */
	bool timed;		/* events slower than the target are bad */
};

static const struct measure_source sources[BURN_MEASURE_COUNT] = {
	[BURN_REQUEST_TIME] = { "request_time", "cq_request_seconds",
				"result=\"answered\"", true, true },
	[BURN_REQUEST_SUCCESS] = { "request_success", "cq_request_seconds",
				   "result=\"answered\"", true, false },
	[BURN_JOB_TIME] = { "job_time", "cq_job_completion_seconds",
			    "result=\"succeeded\"", true, true },
	[BURN_JOB_SUCCESS] = { "job_success", "cq_job_completion_seconds",
			       "result=\"succeeded\"", true, false },
	[BURN_URGENT_START] = { "urgent_start", "cq_job_start_seconds", NULL,
				true, true },
	[BURN_SETTINGS_IN_FORCE] = { "settings_in_force",
				     "cq_settings_in_force_seconds", NULL,
				     false, true },
};

/* One bucket series of the histogram of a measure. */
struct bucket {
	double bound; /* upper bound in seconds; the last is infinite */
	bool good;    /* whether its events can be good */
};

static bool find_measure(const char *name, enum burn_measure *measure);
static bool parse_objective(const json_t *json,
			    struct burn_objective *objective,
			    struct cq_error *err);
static bool match_bucket(const struct burn_objective *objective,
			 const char *series, struct bucket *bucket);
static double series_value(const struct burn_scrape *scrape,
			   const char *series);
static bool process_restarted(const struct burn_objective *objective,
			      const struct burn_scrape *before,
			      const struct burn_scrape *after);
static void add_timely_events(const struct burn_objective *objective,
			      const GArray *buckets, struct burn_count *count);
static gint compare_bounds(gconstpointer a, gconstpointer b);

const char *burn_measure_string(enum burn_measure measure)
{
	return sources[measure].prefix;
}

static bool find_measure(const char *name, enum burn_measure *measure)
{
	int i;

	for (i = 0; i < BURN_MEASURE_COUNT; i++) {
		if (!g_str_has_prefix(name, sources[i].prefix))
			continue;
		*measure = (enum burn_measure)i;
		return true;
	}
	return false;
}

static bool parse_objective(const json_t *json,
			    struct burn_objective *objective,
			    struct cq_error *err)
{
	const char *name = json_string_value(json_object_get(json, "name"));
	const char *class_name =
		json_string_value(json_object_get(json, "class"));
	json_t *percentile = json_object_get(json, "percentile");
	json_t *window = json_object_get(json, "window_s");
	double share = percentile ? json_number_value(percentile) : 99;

	memset(objective, 0, sizeof(*objective));
	if (!name || !find_measure(name, &objective->measure))
		return cq_error_set(
			err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
			"objective \"%s\": the name must begin with "
			"request_time, request_success, job_time, job_success, "
			"urgent_start or settings_in_force",
			name ? name : "");
	g_strlcpy(objective->name, name, sizeof(objective->name));
	g_strlcpy(objective->class_name, class_name ? class_name : "",
		  sizeof(objective->class_name));
	objective->allowed = fmax(1 - share / 100, MIN_ALLOWED_SHARE);
	objective->target_ms =
		json_integer_value(json_object_get(json, "target_ms"));
	objective->window_s = window ? json_integer_value(window) : 3600;
	return true;
}

bool burn_objectives_parse(const char *text, GArray **objectives,
			   struct cq_error *err)
{
	json_t *root = json_loads(text, 0, NULL);
	/* text is a response of /v1/settings/global or the bare settings. */
	json_t *settings = json_object_get(root, "settings");
	json_t *list =
		json_object_get(settings ? settings : root, "objectives");
	struct burn_objective objective;
	json_t *item;
	size_t i;
	bool ok = true;

	*objectives = g_array_new(FALSE, FALSE, sizeof(objective));
	if (!json_array_size(list))
		ok = cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				  "the settings subtree global has no "
				  "objectives");
	json_array_foreach(list, i, item)
	{
		ok = ok && parse_objective(item, &objective, err);
		if (ok)
			g_array_append_val(*objectives, objective);
	}
	json_decref(root);
	if (!ok)
		g_clear_pointer(objectives, g_array_unref);
	return ok;
}

/* Tests whether a series is a bucket of the objective's histogram. */
static bool match_bucket(const struct burn_objective *objective,
			 const char *series, struct bucket *bucket)
{
	const struct measure_source *source = &sources[objective->measure];
	size_t len = strlen(source->histogram);
	const char *le;
	char *label;
	bool ok;

	if (strncmp(series, source->histogram, len) != 0 ||
	    !g_str_has_prefix(series + len, "_bucket{"))
		return false;
	le = strstr(series, "le=\"");
	if (!le)
		return false;
	bucket->bound = strtod(le + 4, NULL);
	bucket->good = !source->good_label ||
		       strstr(series, source->good_label) != NULL;
	if (!source->by_class)
		return true;
	label = g_strdup_printf("class=\"%s\"", objective->class_name);
	ok = strstr(series, label) != NULL;
	g_free(label);
	return ok;
}

static double series_value(const struct burn_scrape *scrape, const char *series)
{
	const double *value =
		scrape ? g_hash_table_lookup(scrape->series, series) : NULL;

	return value ? *value : 0;
}

/*
 * Detects a restart by the start time of the process or, if that is not
 * exported, by a counter that decreased or disappeared. The latter misses a
 * restart after which all counters have passed their old values.
 */
static bool process_restarted(const struct burn_objective *objective,
			      const struct burn_scrape *before,
			      const struct burn_scrape *after)
{
	GHashTableIter iter;
	struct bucket bucket;
	gpointer key;
	gpointer value;

	if (before->start_unix_ms && after->start_unix_ms)
		return before->start_unix_ms != after->start_unix_ms;
	g_hash_table_iter_init(&iter, before->series);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (match_bucket(objective, key, &bucket) &&
		    series_value(after, key) < *(const double *)value)
			return true;
	return false;
}

static gint compare_bounds(gconstpointer a, gconstpointer b)
{
	const double *left = a;
	const double *right = b;

	return (*left > *right) - (*left < *right);
}

/*
 * Adds the events that met the target time to count. buckets holds pairs of
 * bucket bound and cumulative count, sorted by bound.
 */
static void add_timely_events(const struct burn_objective *objective,
			      const GArray *buckets, struct burn_count *count)
{
	double target_s = (double)objective->target_ms / 1e3;
	double below_bound = 0;
	double below = 0;
	guint i;

	for (i = 0; i + 1 < buckets->len; i += 2) {
		double bound = g_array_index(buckets, double, i);
		double value = g_array_index(buckets, double, i + 1);
		double fraction;

		/* Bounds are exported with six significant digits. */
		if (bound <= target_s * (1 + 1e-6)) {
			below_bound = bound;
			below = value;
			continue;
		}
		/* A target on a bucket bound needs no interpolation. */
		if (below_bound >= target_s * (1 - 1e-6)) {
			count->good += below;
			count->good_low += below;
			count->good_high += below;
			return;
		}
		fraction = isinf(bound) ? 0
					: (target_s - below_bound) /
						  (bound - below_bound);
		count->good += below + (value - below) * fraction;
		count->good_low += below;
		count->good_high += value;
		return;
	}
	count->good += below;
	count->good_low += below;
	count->good_high += below;
}

bool burn_count_between(const struct burn_objective *objective,
			const struct burn_scrape *before,
			const struct burn_scrape *after,
			struct burn_count *count)
{
	GHashTable *by_bound = g_hash_table_new_full(
		g_double_hash, g_double_equal, g_free, g_free);
	GArray *bounds = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *pairs = g_array_new(FALSE, FALSE, sizeof(double));
	bool reset = before && process_restarted(objective, before, after);
	GHashTableIter iter;
	struct bucket bucket;
	double all_good = 0;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&iter, after->series);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		double delta = series_value(after, key);
		double *sum;

		if (!match_bucket(objective, key, &bucket))
			continue;
		if (!reset)
			delta -= series_value(before, key);
		if (isinf(bucket.bound)) {
			count->total += delta;
			all_good += bucket.good ? delta : 0;
		}
		if (!bucket.good)
			continue;
		sum = g_hash_table_lookup(by_bound, &bucket.bound);
		if (!sum) {
			sum = g_new0(double, 1);
			g_hash_table_insert(
				by_bound,
				g_memdup2(&bucket.bound, sizeof(double)), sum);
			g_array_append_val(bounds, bucket.bound);
		}
		*sum += delta;
	}
	g_array_sort(bounds, compare_bounds);
	for (i = 0; i < bounds->len; i++) {
		double bound = g_array_index(bounds, double, i);
		double *sum = g_hash_table_lookup(by_bound, &bound);

		g_array_append_val(pairs, bound);
		g_array_append_val(pairs, *sum);
	}
	if (sources[objective->measure].timed) {
		add_timely_events(objective, pairs, count);
	} else {
		count->good += all_good;
		count->good_low += all_good;
		count->good_high += all_good;
	}
	g_array_free(bounds, TRUE);
	g_array_free(pairs, TRUE);
	g_hash_table_destroy(by_bound);
	return reset;
}
