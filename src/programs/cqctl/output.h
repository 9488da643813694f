/* Tables, JSON and messages. */
#ifndef CQ_PROGRAMS_CQCTL_OUTPUT_H
#define CQ_PROGRAMS_CQCTL_OUTPUT_H

#include "programs/cqctl/cqctl.h"

enum cqctl_column_kind {
	CQCTL_COLUMN_TEXT,
	CQCTL_COLUMN_NUMBER,
	CQCTL_COLUMN_DURATION_MS,
	CQCTL_COLUMN_UNIX_MS,
	CQCTL_COLUMN_BYTES,
	CQCTL_COLUMN_LIST, /* array of strings, comma-separated */
};

struct cqctl_column {
	const char *title;
	const char *path; /* names of nested objects, separated by '.' */
	enum cqctl_column_kind kind;
};

/* Colours apply on a terminal only. */
enum cqctl_colour {
	CQCTL_PLAIN,
	CQCTL_GREEN,
	CQCTL_YELLOW,
	CQCTL_RED,
	CQCTL_BOLD,
};

/* Messages on standard error. */
void cqctl_error(const struct cqctl *ctl, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void cqctl_next(const struct cqctl *ctl, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void cqctl_note(const struct cqctl *ctl, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

const char *cqctl_colour_on(const struct cqctl *ctl, enum cqctl_colour colour);
const char *cqctl_colour_off(const struct cqctl *ctl);

/* Prints a JSON text, indented, with sorted names. */
void cqctl_print_json(const json_t *value);
/* Prints an array of objects; a value that is absent shows as "-". */
void cqctl_print_table(const struct cqctl *ctl, const json_t *rows,
		       const struct cqctl_column *columns, size_t count);
/* Text of one value as a column shows it. Freed with g_free(). */
char *cqctl_cell(const json_t *row, const struct cqctl_column *column);

/*
 * Says on standard error if an answer is stale or partial ("stale", "age_ms",
 * "missing"); returns CQCTL_PARTIAL then, otherwise CQCTL_OK.
 */
int cqctl_check_freshness(const struct cqctl *ctl, const json_t *body);

#endif
