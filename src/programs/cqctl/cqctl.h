/*
 * cqctl: command-line client for operators. Each invocation runs one command,
 * which sends one or more HTTP requests, one after another, to the operators'
 * listener of any daemon.
 */
#ifndef CQ_PROGRAMS_CQCTL_H
#define CQ_PROGRAMS_CQCTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Exit codes. Scripts depend on these values. */
enum cqctl_exit {
	CQCTL_OK = 0,
	CQCTL_FAILED = 1,      /* the daemon refused or reported an error */
	CQCTL_USAGE = 2,       /* invalid command line */
	CQCTL_CONFLICT = 3,    /* the object was changed concurrently */
	CQCTL_NOT_FOUND = 4,   /* no such subtree, job or data centre */
	CQCTL_UNREACHABLE = 5, /* no daemon answered; nothing was done */
	CQCTL_PARTIAL = 6,     /* timed out, stale, partial, unknown */
};

enum cqctl_format {
	CQCTL_TABLE,
	CQCTL_JSON,
};

struct cqctl_option {
	const char *name;
	const char *value; /* placeholder in the help; NULL: a flag */
	const char *help;
};

struct cqctl;

struct cqctl_command {
	const char *group;
	const char *name; /* NULL if the group has only this command */
	const char *arguments;
	const char *summary;
	const struct cqctl_option *options; /* terminated by a NULL name */
	int32_t min_arguments;
	int32_t max_arguments;
	int (*run)(struct cqctl *ctl);
};

/* The parsed command line. */
struct cqctl {
	const struct cqctl_command *command;
	char *server;
	enum cqctl_format format;
	int64_t timeout_ms;
	bool colour;
	GHashTable *options; /* option name -> value, "" for a flag */
	GPtrArray *arguments;
};

/* Returns the value of an option, "" for a flag; NULL if it is not given. */
const char *cqctl_option_get(const struct cqctl *ctl, const char *name);
/* Returns the i-th positional argument; NULL if there are fewer. */
const char *cqctl_argument(const struct cqctl *ctl, guint i);

extern const struct cqctl_command cqctl_settings_commands[];
extern const struct cqctl_command cqctl_data_centre_commands[];
extern const struct cqctl_command cqctl_jobs_commands[];
extern const struct cqctl_command cqctl_list_commands[];
extern const struct cqctl_command cqctl_status_commands[];

#endif
