/* Parts of the request benchmark. */
#ifndef CQ_BENCH_REQUESTS_BENCH_H
#define CQ_BENCH_REQUESTS_BENCH_H

#include <glib.h>

/* Prints one JSON line; NAN stands for no baseline or no target. */
void bench_report(const char *metric, const char *unit, double value,
		  double baseline, double target, const char *better);
/* Sorts an array of double and returns a percentile; NAN if it is empty. */
double bench_percentile(GArray *values, double percent);

/* Compares policies that share the slots of endpoints among hosts. */
void bench_slot_sharing(void);
/* Measures the request path over real sockets on loopback. */
void bench_loopback(void);

#endif
