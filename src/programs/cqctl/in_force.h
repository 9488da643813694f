/* Waiting until an accepted settings revision is in force everywhere. */
#ifndef CQ_PROGRAMS_CQCTL_IN_FORCE_H
#define CQ_PROGRAMS_CQCTL_IN_FORCE_H

#include "programs/cqctl/cqctl.h"

/*
 * Writes the settings of a subtree (NULL removes it) if its revision is still
 * the given one, and unless --no-wait was given waits until the change is in
 * force on every live daemon. Prints one line of result or the fault.
 */
int cqctl_write_settings(const struct cqctl *ctl, const char *key,
			 const json_t *settings, int64_t revision);

#endif
