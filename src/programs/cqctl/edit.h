/* Builds the new settings of a subtree from the command line. */
#ifndef CQ_PROGRAMS_CQCTL_EDIT_H
#define CQ_PROGRAMS_CQCTL_EDIT_H

#include "programs/cqctl/cqctl.h"

/* A settings subtree as read from the daemon. */
struct cqctl_subtree {
	json_t *body;	  /* response body; NULL if there is no subtree */
	json_t *settings; /* owned by body; NULL if there is no subtree */
	int64_t revision; /* 0: no subtree */
};

/*
 * Reads a subtree and returns an exit code. A subtree that does not exist is
 * CQCTL_OK with revision 0.
 */
int cqctl_subtree_read(const struct cqctl *ctl, const char *key,
		       struct cqctl_subtree *subtree);
void cqctl_subtree_clear(struct cqctl_subtree *subtree);

/*
 * Reads a file, or standard input if path is "-". Prints an error and returns
 * NULL on failure. The caller frees the result with g_free().
 */
char *cqctl_read_file(const struct cqctl *ctl, const char *path);

/*
 * Builds the new settings object from --file, --value, --remove or the
 * FIELD=VALUE arguments after the key. *wanted is NULL for a removal.
 */
int cqctl_edit_settings(const struct cqctl *ctl,
			const struct cqctl_subtree *current, json_t **wanted);

#endif
