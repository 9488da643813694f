/* Parts of the coordination benchmark. */
#ifndef BENCH_COORDINATION_BENCH_H
#define BENCH_COORDINATION_BENCH_H

#include <glib.h>

/* Prints one JSON line; baseline and target may be NAN. */
void coordination_print_line(const char *metric, const char *unit, double value,
			     double baseline, double target);
/* Sorts an array of double and returns the nearest-rank percentile p. */
double coordination_percentile(GArray *values, double p);

/* Measures how long a new owner takes to rebuild its state. */
void coordination_bench_rebuild(void);

#endif
