/*
 * cq-burn reports how fast the service-level objectives in the settings
 * subtree `global` use up their error budgets. It reads /metrics of all hosts.
 *
 * The burn rate of a window is the share of bad events in the window divided
 * by the share that the objective allows. At a burn rate of 1 the budget lasts
 * exactly as long as the objective's window.
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
	BURN_ALERT = 1, /* a burn rate is too high or a budget is spent */
	BURN_USAGE = 2,
	BURN_UNREACHABLE = 5, /* no host answered */
	BURN_PARTIAL = 6,     /* no alert, but some hosts lack data */
};

/* One scrape of a host's /metrics. */
struct burn_scrape {
	char *host;
	int64_t unix_ms;
	bool failed;	       /* the host did not answer */
	int64_t start_unix_ms; /* start of the process; 0: not exported */
	GHashTable *series;    /* "NAME{LABELS}" -> double * */
};

/* All scrapes, sorted by time. */
struct burn_data {
	GPtrArray *scrapes; /* struct burn_scrape */
	GPtrArray *hosts;   /* host names, in order of first appearance */
	int64_t first_ms, last_ms; /* Unix time of the first and last scrape */
};

/* The service-level indicator that an objective is based on. */
enum burn_measure {
	BURN_REQUEST_TIME,
	BURN_REQUEST_SUCCESS,
	BURN_JOB_TIME,
	BURN_JOB_SUCCESS,
	BURN_URGENT_START,
	BURN_SETTINGS_IN_FORCE,
	BURN_MEASURE_COUNT,
};

const char *burn_measure_string(enum burn_measure measure);

struct burn_objective {
	char name[CQ_SETTINGS_NAME_BYTES];
	char class_name[CQ_SETTINGS_NAME_BYTES];
	enum burn_measure measure;
	double allowed;	   /* share of events that may be bad */
	int64_t target_ms; /* slower events are bad; time measures only */
	int64_t window_s;  /* period that the error budget covers */
};

/*
 * Event counts of a time interval. If the target of a time objective lies
 * between two histogram bucket bounds, good is interpolated, and good_low and
 * good_high are the counts at the bounds below and above the target.
 */
struct burn_count {
	double total;
	double good, good_low, good_high;
};

struct burn_rate {
	struct burn_count count;
	/* Burn rate and its bounds; negative: no events. */
	double burn, burn_low, burn_high;
	int64_t covered_s; /* part of the window after the first scrape */
};

struct burn_host {
	const char *host;
	int64_t missing_s; /* time without data between first and last scrape */
	uint32_t restarts;
	double burn;	   /* highest burn rate in the long fast window */
	const char *worst; /* name of the objective with that rate */
};

enum burn_verdict {
	BURN_GOOD,
	BURN_SPENT,	/* the error budget is used up */
	BURN_SLOW,	/* both slow windows are at or over the slow limit */
	BURN_FAST,	/* both fast windows are at or over the fast limit */
	BURN_NO_EVENTS, /* no events were counted */
};

const char *burn_verdict_string(enum burn_verdict verdict);

/* Number of points in the burn-rate curve of an objective. */
#define BURN_CURVE_POINTS 60

struct burn_result {
	struct burn_objective objective;
	struct burn_rate fast[2];	/* short and long window */
	struct burn_rate slow[2];	/* short and long window */
	struct burn_rate budget_window; /* the objective's own window */
	double remaining; /* share of the budget left; below 0: overspent */
	enum burn_verdict verdict;
	/* Host with the highest burn in the long fast window; NULL: none. */
	const char *worst_host;
	double worst_burn;
	double curve[BURN_CURVE_POINTS]; /* burn rate over the observed time */
};

struct burn_options {
	int64_t fast_s[2], slow_s[2];  /* short and long window */
	double fast_limit, slow_limit; /* burn rates that alert */
};

struct burn_report {
	struct burn_options options;
	int64_t first_ms, last_ms;
	GArray *results; /* struct burn_result, highest burn rate first */
	GArray *hosts;	 /* struct burn_host */
};

/* scrape.c */
struct burn_data *burn_data_create(void);
void burn_data_destroy(struct burn_data *data);
/* Adds a scrape; text is NULL if the host did not answer. */
void burn_data_add(struct burn_data *data, const char *host, int64_t unix_ms,
		   const char *text);
/* Loads a file of scrapes written by burn_record(). */
bool burn_data_load(struct burn_data *data, const char *path,
		    struct cq_error *err);
/* Prints a scrape on standard output; text is NULL if it failed. */
void burn_record(const char *host, int64_t unix_ms, const char *text);

/* objective.c */
/*
 * Parses the objectives of the settings subtree global, or of the response of
 * /v1/settings/global. On success *objectives holds struct burn_objective.
 */
bool burn_objectives_parse(const char *json, GArray **objectives,
			   struct cq_error *err);
/*
 * Adds the events between two scrapes of a host to count. If before is NULL,
 * adds all events since the process started. Returns whether the process
 * restarted between the scrapes.
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
/* Whether an objective is BURN_FAST, BURN_SLOW or BURN_SPENT. */
bool burn_report_alerts(const struct burn_report *report);
/* Whether a host lacks data for a part of the observed time. */
bool burn_report_partial(const struct burn_report *report);

/* text.c, svg.c: print the report on standard output. */
void burn_print_text(const struct burn_report *report);
void burn_print_json(const struct burn_report *report);
void burn_print_svg(const struct burn_report *report);
/* Formats a duration: "12 s", "5 min", "6 h". Freed with g_free(). */
char *burn_duration(int64_t seconds);

#endif
