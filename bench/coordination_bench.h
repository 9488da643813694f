/* Parts of the coordination benchmark. */
#ifndef BENCH_COORDINATION_BENCH_H
#define BENCH_COORDINATION_BENCH_H

#include <glib.h>

/* Prints one JSON line; baseline and target may be NAN. */
void coordination_print_line(const char *metric, const char *unit, double value,
			     double baseline, double target);
/* Nearest rank, of doubles. */
double coordination_percentile(GArray *values, double p);

/* Time in which a new owner rebuilds its state from workers and store. */
void coordination_bench_rebuild(void);

#endif
