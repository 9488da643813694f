/* Prints tables, JSON and messages. */
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
	const char *path; /* JSON field; nested names joined by '.' */
	enum cqctl_column_kind kind;
};

/* Colours are used only if standard output is a terminal. */
enum cqctl_colour {
	CQCTL_PLAIN,
	CQCTL_GREEN,
	CQCTL_YELLOW,
	CQCTL_RED,
	CQCTL_BOLD,
};

/* Print an error, a hint on what to do next or a note on standard error. */
void cqctl_error(const struct cqctl *ctl, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void cqctl_hint(const struct cqctl *ctl, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void cqctl_note(const struct cqctl *ctl, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Return the escape sequence, or "" if colours are off. */
const char *cqctl_colour_on(const struct cqctl *ctl, enum cqctl_colour colour);
const char *cqctl_colour_off(const struct cqctl *ctl);

/* Prints a JSON value, indented, with sorted object keys. */
void cqctl_print_json(const json_t *value);
/* Prints an array of objects, one row each; absent values print as "-". */
void cqctl_print_table(const struct cqctl *ctl, const json_t *rows,
		       const struct cqctl_column *columns, size_t count);
/* Formats one table cell. The caller frees the result with g_free(). */
char *cqctl_format_cell(const json_t *row, const struct cqctl_column *column);

/*
 * Prints a note and returns CQCTL_PARTIAL if the response is marked as stale
 * or partial (fields "stale", "age_ms" and "missing"); otherwise returns
 * CQCTL_OK.
 */
int cqctl_check_freshness(const struct cqctl *ctl, const json_t *body);

#endif
