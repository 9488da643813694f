/* The settings document that a command line describes. */
#ifndef CQ_PROGRAMS_CQCTL_EDIT_H
#define CQ_PROGRAMS_CQCTL_EDIT_H

#include "programs/cqctl/cqctl.h"

/* A subtree as the daemon holds it. */
struct cqctl_subtree {
	json_t *body;	  /* the whole answer; NULL if there is no subtree */
	json_t *settings; /* borrowed from body; NULL likewise */
	int64_t revision; /* 0: no subtree */
};

/* Reads the subtree; an absent one is CQCTL_OK with revision 0. */
int cqctl_subtree_read(const struct cqctl *ctl, const char *key,
		       struct cqctl_subtree *subtree);
void cqctl_subtree_clear(struct cqctl_subtree *subtree);

/* Reads a file or, for "-", standard input; NULL after printing the fault. */
char *cqctl_read_file(const struct cqctl *ctl, const char *path);

/*
 * Makes the wanted settings object from --file, --value, --remove or
 * FIELD=VALUE arguments after the key. *wanted is NULL for a removal.
 */
int cqctl_edit(const struct cqctl *ctl, const struct cqctl_subtree *current,
	       json_t **wanted);

#endif
