#include "chestnutquay/metrics.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

/* Bounds from 1 us to 500 s in steps of 1, 2, 5. */
#define BUCKET_COUNT 27

struct cq_counter {
	uint64_t value;
};

struct cq_gauge {
	int64_t value;
};

struct cq_histogram {
	/* The last element counts the values over 500 s. */
	uint64_t counts[BUCKET_COUNT + 1];
	uint64_t total;
	int64_t sum_ns;
};

struct metric {
	enum metric_kind kind;
	char *name;
	char *labels;
	union {
		struct cq_counter counter;
		struct cq_gauge gauge;
		struct cq_histogram histogram;
	} u;
};

struct cq_metrics {
	GPtrArray *metrics;
	GHashTable *by_id; /* "name{labels}" -> struct metric */
};

static void metric_free(void *data);
static struct metric *find_or_add(struct cq_metrics *metrics,
				  enum metric_kind kind, const char *name,
				  const char *labels);
static int64_t bucket_bound_ns(int32_t i);
static void format_histogram(GString *out, const struct metric *m);

static void metric_free(void *data)
{
	struct metric *m = data;

	g_free(m->name);
	g_free(m->labels);
	g_free(m);
}

struct cq_metrics *cq_metrics_create(void)
{
	struct cq_metrics *metrics = g_new0(struct cq_metrics, 1);

	metrics->metrics = g_ptr_array_new_with_free_func(metric_free);
	metrics->by_id =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return metrics;
}

void cq_metrics_destroy(struct cq_metrics *metrics)
{
	if (!metrics)
		return;
	g_hash_table_destroy(metrics->by_id);
	g_ptr_array_free(metrics->metrics, TRUE);
	g_free(metrics);
}

static struct metric *find_or_add(struct cq_metrics *metrics,
				  enum metric_kind kind, const char *name,
				  const char *labels)
{
	char *id = g_strdup_printf("%s{%s}", name, labels);
	struct metric *m = g_hash_table_lookup(metrics->by_id, id);

	if (m) {
		assert(m->kind == kind);
		g_free(id);
		return m;
	}
	m = g_new0(struct metric, 1);
	m->kind = kind;
	m->name = g_strdup(name);
	m->labels = g_strdup(labels);
	g_ptr_array_add(metrics->metrics, m);
	g_hash_table_insert(metrics->by_id, id, m);
	return m;
}

struct cq_counter *cq_metrics_counter(struct cq_metrics *metrics,
				      const char *name, const char *labels)
{
	return &find_or_add(metrics, METRIC_COUNTER, name, labels)->u.counter;
}

struct cq_gauge *cq_metrics_gauge(struct cq_metrics *metrics, const char *name,
				  const char *labels)
{
	return &find_or_add(metrics, METRIC_GAUGE, name, labels)->u.gauge;
}

struct cq_histogram *cq_metrics_histogram(struct cq_metrics *metrics,
					  const char *name, const char *labels)
{
	return &find_or_add(metrics, METRIC_HISTOGRAM, name, labels)
			->u.histogram;
}

void cq_counter_add(struct cq_counter *counter, uint64_t n)
{
	counter->value += n;
}

uint64_t cq_counter_get(const struct cq_counter *counter)
{
	return counter->value;
}

void cq_gauge_set(struct cq_gauge *gauge, int64_t value)
{
	gauge->value = value;
}

int64_t cq_gauge_get(const struct cq_gauge *gauge)
{
	return gauge->value;
}

static int64_t bucket_bound_ns(int32_t i)
{
	static const int64_t steps[] = { 1, 2, 5 };
	int64_t bound_ns = steps[i % 3] * 1000;

	for (i /= 3; i > 0; i--)
		bound_ns *= 10;
	return bound_ns;
}

void cq_histogram_observe_ns(struct cq_histogram *histogram, int64_t value_ns)
{
	int32_t i = 0;

	while (i < BUCKET_COUNT && value_ns > bucket_bound_ns(i))
		i++;
	histogram->counts[i]++;
	histogram->total++;
	histogram->sum_ns += value_ns;
}

int64_t cq_histogram_percentile_ns(const struct cq_histogram *histogram,
				   double percentile)
{
	double wanted = (double)histogram->total * percentile / 100.0;
	uint64_t seen = 0;
	int32_t i;

	if (!histogram->total)
		return 0;
	for (i = 0; i < BUCKET_COUNT; i++) {
		seen += histogram->counts[i];
		if ((double)seen >= wanted)
			return bucket_bound_ns(i);
	}
	return INT64_MAX;
}

static void format_histogram(GString *out, const struct metric *m)
{
	const char *comma = *m->labels ? "," : "";
	uint64_t seen = 0;
	int32_t i;

	for (i = 0; i < BUCKET_COUNT; i++) {
		seen += m->u.histogram.counts[i];
		g_string_append_printf(out,
				       "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n",
				       m->name, m->labels, comma,
				       (double)bucket_bound_ns(i) / 1e9, seen);
	}
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
			       m->name, m->labels, comma, m->u.histogram.total);
	g_string_append_printf(out, "%s_sum{%s} %.9f\n", m->name, m->labels,
			       (double)m->u.histogram.sum_ns / 1e9);
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", m->name,
			       m->labels, m->u.histogram.total);
}

char *cq_metrics_format(const struct cq_metrics *metrics)
{
	GString *out = g_string_new(NULL);
	const struct metric *m;
	char *text;
	guint i;

	for (i = 0; i < metrics->metrics->len; i++) {
		m = g_ptr_array_index(metrics->metrics, i);
		switch (m->kind) {
		case METRIC_COUNTER:
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n",
					       m->name, m->labels,
					       m->u.counter.value);
			break;
		case METRIC_GAUGE:
			g_string_append_printf(out, "%s{%s} %" PRId64 "\n",
					       m->name, m->labels,
					       m->u.gauge.value);
			break;
		case METRIC_HISTOGRAM:
			format_histogram(out, m);
			break;
		}
	}
	text = strdup(out->str);
	g_string_free(out, TRUE);
	return text;
}
