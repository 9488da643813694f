#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/metrics.h"

#define MS INT64_C(1000000)
#define S INT64_C(1000000000)

static void assert_line(const char *text, const char *line)
{
	char **lines = g_strsplit(text, "\n", -1);

	if (!g_strv_contains((const char *const *)lines, line))
		g_error("no line %s in\n%s", line, text);
	g_strfreev(lines);
}

/* Guards against two objects for the same metric, which would lose counts. */
static void test_identity(void)
{
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_counter *counter;

	counter = cq_metrics_counter(metrics, "cq_a_total", "class=\"x\"");
	g_assert_true(counter ==
		      cq_metrics_counter(metrics, "cq_a_total", "class=\"x\""));
	g_assert_true(counter !=
		      cq_metrics_counter(metrics, "cq_a_total", "class=\"y\""));
	cq_counter_add(counter, 2);
	cq_counter_add(counter, 3);
	g_assert_cmpuint(cq_counter_get(counter), ==, 5);
	cq_metrics_destroy(metrics);
}

/* Guards against a change of the text format, which cq-burn parses. */
static void test_format(void)
{
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_histogram *h;
	char *text;

	cq_counter_add(cq_metrics_counter(metrics, "cq_a_total", ""), 7);
	cq_gauge_set(cq_metrics_gauge(metrics, "cq_b", "dc=\"d\""), -4);
	h = cq_metrics_histogram(metrics, "cq_c_seconds", "class=\"x\"");
	cq_histogram_observe_ns(h, 3 * MS);
	cq_histogram_observe_ns(h, 5 * MS);
	cq_histogram_observe_ns(h, 700 * S);
	text = cq_metrics_format(metrics);
	assert_line(text, "cq_a_total{} 7");
	assert_line(text, "cq_b{dc=\"d\"} -4");
	assert_line(text, "cq_c_seconds_bucket{class=\"x\",le=\"0.002\"} 0");
	assert_line(text, "cq_c_seconds_bucket{class=\"x\",le=\"0.005\"} 2");
	assert_line(text, "cq_c_seconds_bucket{class=\"x\",le=\"500\"} 2");
	assert_line(text, "cq_c_seconds_bucket{class=\"x\",le=\"+Inf\"} 3");
	assert_line(text, "cq_c_seconds_sum{class=\"x\"} 700.008000000");
	assert_line(text, "cq_c_seconds_count{class=\"x\"} 3");
	free(text);
	cq_metrics_destroy(metrics);
}

/*
 * Guards against a value at a bound being counted in the wrong bucket: the
 * upper bound is inclusive.
 */
static void test_percentile(void)
{
	static const struct {
		int64_t values_ns[4];
		int32_t count;
		double percentile;
		int64_t expected_ns;
	} cases[] = {
		{ { 0 }, 0, 50, 0 },
		{ { 1000 }, 1, 50, 1000 },
		{ { 1001 }, 1, 50, 2000 },
		{ { 0 }, 1, 100, 1000 },
		{ { MS, 10 * MS, 100 * MS, S }, 4, 50, 10 * MS },
		{ { MS, 10 * MS, 100 * MS, S }, 4, 51, 100 * MS },
		{ { MS, 10 * MS, 100 * MS, S }, 4, 100, S },
		{ { 500 * S }, 1, 99, 500 * S },
		{ { 500 * S + 1 }, 1, 99, INT64_MAX },
	};
	size_t i;
	int32_t k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_metrics *metrics = cq_metrics_create();
		struct cq_histogram *h = cq_metrics_histogram(metrics, "h", "");

		for (k = 0; k < cases[i].count; k++)
			cq_histogram_observe_ns(h, cases[i].values_ns[k]);
		g_test_message("case %zu", i);
		g_assert_cmpint(cq_histogram_percentile_ns(h,
							   cases[i].percentile),
				==, cases[i].expected_ns);
		cq_metrics_destroy(metrics);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/metrics/identity", test_identity);
	g_test_add_func("/metrics/format", test_format);
	g_test_add_func("/metrics/percentile", test_percentile);
	return g_test_run();
}
