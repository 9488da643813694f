/*
 * Counters, gauges and histograms, served as text at /metrics.
 *
 * A metric is identified by its name and its label text ("class=\"seal\"" or
 * ""). Looking up the same metric again returns the same object, which the
 * registry owns.
 */
#ifndef CHESTNUTQUAY_METRICS_H
#define CHESTNUTQUAY_METRICS_H

#include <stdint.h>

struct cq_metrics;
struct cq_counter;
struct cq_gauge;
struct cq_histogram;

struct cq_metrics *cq_metrics_create(void);
void cq_metrics_destroy(struct cq_metrics *metrics);

struct cq_counter *cq_metrics_counter(struct cq_metrics *metrics,
				      const char *name, const char *labels);
struct cq_gauge *cq_metrics_gauge(struct cq_metrics *metrics, const char *name,
				  const char *labels);
/* The buckets end at 1, 2, 5, 10 ... microseconds, up to 500 seconds. */
struct cq_histogram *cq_metrics_histogram(struct cq_metrics *metrics,
					  const char *name, const char *labels);

void cq_counter_add(struct cq_counter *counter, uint64_t n);
uint64_t cq_counter_get(const struct cq_counter *counter);
void cq_gauge_set(struct cq_gauge *gauge, int64_t value);
int64_t cq_gauge_get(const struct cq_gauge *gauge);
void cq_histogram_observe_ns(struct cq_histogram *histogram, int64_t value_ns);
/*
 * Upper bound of the bucket with the given percentile (0 to 100); 0 without
 * values, INT64_MAX if the percentile is above the last bound.
 */
int64_t cq_histogram_percentile_ns(const struct cq_histogram *histogram,
				   double percentile);

/* Formats all metrics as text; the caller frees it with free(). */
char *cq_metrics_format(const struct cq_metrics *metrics);

#endif
