/*
 * cqctl: the operators' client. One command is one process that makes one or
 * more calls to the operators' listener of any daemon, in sequence.
 */
#ifndef CQ_PROGRAMS_CQCTL_H
#define CQ_PROGRAMS_CQCTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Exit codes; part of the interface to scripts. */
enum cqctl_exit {
	CQCTL_OK = 0,
	CQCTL_FAILED = 1,      /* refused, or the daemon reported an error */
	CQCTL_USAGE = 2,       /* wrong command line */
	CQCTL_CONFLICT = 3,    /* somebody else changed it first */
	CQCTL_NOT_FOUND = 4,   /* no such subtree, job or data centre */
	CQCTL_UNREACHABLE = 5, /* no daemon answered; nothing was done */
	CQCTL_PARTIAL = 6,     /* timed out, stale, partial or unknown */
};

enum cqctl_format {
	CQCTL_TABLE,
	CQCTL_JSON,
};

struct cqctl_option {
	const char *name;
	const char *value; /* name of the value in the help; NULL: a flag */
	const char *help;
};

struct cqctl;

struct cqctl_command {
	const char *group;
	const char *name; /* NULL if the group is the command */
	const char *arguments;
	const char *summary;
	const struct cqctl_option *options; /* ends with a NULL name */
	int32_t min_arguments;
	int32_t max_arguments;
	int (*run)(struct cqctl *ctl);
};

struct cqctl {
	const struct cqctl_command *command;
	char *server;
	enum cqctl_format format;
	int64_t timeout_ms;
	bool colour;
	GHashTable *options; /* name -> value, "" for a flag */
	GPtrArray *arguments;
};

/* Value of an option of the command; NULL if it was not given. */
const char *cqctl_option_get(const struct cqctl *ctl, const char *name);
const char *cqctl_argument(const struct cqctl *ctl, guint i);

extern const struct cqctl_command cqctl_settings_commands[];
extern const struct cqctl_command cqctl_data_centre_commands[];
extern const struct cqctl_command cqctl_jobs_commands[];
extern const struct cqctl_command cqctl_list_commands[];
extern const struct cqctl_command cqctl_status_commands[];

#endif
