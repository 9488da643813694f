/*
 * cq-burn: how fast the service-level objectives of the settings subtree
 * `global` use up their error budget, from /metrics of all hosts.
 *
 * The burn rate of a window is the share of bad events in it divided by the
 * share that the objective allows; at 1 the budget lasts exactly as long as
 * the objective's window.
 */
#ifndef CQ_PROGRAMS_BURN_H
#define CQ_PROGRAMS_BURN_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/error.h"
#include "chestnutquay/settings.h"

/* Exit codes. */
enum burn_exit {
	BURN_OK = 0,
	BURN_ALERT = 1, /* burns too fast, or the budget is spent */
	BURN_USAGE = 2,
	BURN_UNREACHABLE = 5, /* no host answered */
	BURN_PARTIAL = 6,     /* no alert, but hosts are missing */
};

/* One reading of a host's /metrics. */
struct burn_scrape {
	char *host;
	int64_t unix_ms;
	bool failed;
	int64_t start_unix_ms; /* of the process; 0: not told */
	GHashTable *series;    /* "NAME{LABELS}" -> double * */
};

/* Readings in the order of time. */
struct burn_data {
	GPtrArray *scrapes; /* struct burn_scrape */
	GPtrArray *hosts;   /* names, in order of appearance */
	int64_t first_ms, last_ms;
};

/* What an objective counts. */
enum burn_measure {
	BURN_REQUEST_TIME,
	BURN_REQUEST_SUCCESS,
	BURN_JOB_TIME,
	BURN_JOB_SUCCESS,
	BURN_URGENT_START,
	BURN_SETTINGS_IN_FORCE,
	BURN_MEASURES,
};

const char *burn_measure_string(enum burn_measure measure);

struct burn_objective {
	char name[CQ_SETTINGS_NAME_BYTES];
	char class_name[CQ_SETTINGS_NAME_BYTES];
	enum burn_measure measure;
	double allowed; /* share of events that may be bad */
	int64_t target_ms;
	int64_t window_s;
};

/*
 * Counts of a stretch of time. The target of a time objective may lie between
 * two bucket bounds: good is interpolated, good_low and good_high are the
 * counts at the bounds below and above.
 */
struct burn_count {
	double total;
	double good, good_low, good_high;
};

struct burn_rate {
	struct burn_count count;
	double burn, burn_low, burn_high; /* negative: no events */
	int64_t covered_s; /* part of the window that was observed */
};

struct burn_host {
	const char *host;
	int64_t missing_s; /* of the observed time */
	uint32_t restarts;
	double burn; /* worst objective in the longer fast window */
	const char *worst;
};

enum burn_verdict {
	BURN_GOOD,
	BURN_SPENT,  /* nothing is left of the budget */
	BURN_SLOW,   /* both windows of the slow pair are over the limit */
	BURN_FAST,   /* both windows of the fast pair are over the limit */
	BURN_SILENT, /* no events */
};

const char *burn_verdict_string(enum burn_verdict verdict);

#define BURN_POINTS 60

struct burn_result {
	struct burn_objective objective;
	struct burn_rate fast[2]; /* short, long */
	struct burn_rate slow[2];
	struct burn_rate whole; /* the objective's window */
	double remaining;	/* of the budget, 1 to below 0 */
	enum burn_verdict verdict;
	const char *worst_host; /* NULL: none burns */
	double worst_burn;
	double points[BURN_POINTS]; /* burn over the observed time */
};

struct burn_options {
	int64_t fast_s[2], slow_s[2];
	double fast_limit, slow_limit;
};

struct burn_report {
	struct burn_options options;
	int64_t first_ms, last_ms;
	GArray *results; /* struct burn_result, worst first */
	GArray *hosts;	 /* struct burn_host */
};

/* scrape.c */
struct burn_data *burn_data_create(void);
void burn_data_destroy(struct burn_data *data);
/* Adds a reading; text NULL means that the host did not answer. */
void burn_data_add(struct burn_data *data, const char *host, int64_t unix_ms,
		   const char *text);
/* Reads a file as burn_record() writes it. */
bool burn_data_load(struct burn_data *data, const char *path,
		    struct cq_error *err);
void burn_record(const char *host, int64_t unix_ms, const char *text);

/* objective.c */
bool burn_objectives_parse(const char *json, GArray **objectives,
			   struct cq_error *err);
/*
 * Adds the events between two readings of a host (before may be NULL: since
 * the start of the process). Returns whether the process restarted between.
 */
bool burn_count_between(const struct burn_objective *objective,
			const struct burn_scrape *before,
			const struct burn_scrape *after,
			struct burn_count *count);

/* compute.c */
struct burn_report *burn_compute(const struct burn_data *data,
				 const GArray *objectives,
				 const struct burn_options *options);
void burn_report_destroy(struct burn_report *report);
bool burn_report_alerts(const struct burn_report *report);
bool burn_report_partial(const struct burn_report *report);

/* text.c, svg.c: print on standard output */
void burn_print_text(const struct burn_report *report);
void burn_print_json(const struct burn_report *report);
void burn_print_svg(const struct burn_report *report);
/* "12 s", "5 min", "6 h"; freed with g_free(). */
char *burn_duration(int64_t seconds);

#endif
