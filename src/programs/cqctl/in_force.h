/* Writes settings and waits until every live daemon has applied them. */
#ifndef CQ_PROGRAMS_CQCTL_IN_FORCE_H
#define CQ_PROGRAMS_CQCTL_IN_FORCE_H

#include "programs/cqctl/cqctl.h"

/*
 * Writes the settings of a subtree (NULL removes it) if its revision still
 * equals revision. Unless --no-wait is given, waits until the change is in
 * force on every live daemon, that is, until each has acknowledged it. Prints
 * the result or an error; returns an exit code.
 */
int cqctl_write_settings(const struct cqctl *ctl, const char *key,
			 const json_t *settings, int64_t revision);

#endif
