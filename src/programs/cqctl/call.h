/* Calls to a daemon's operators' listener, with libcurl's easy interface. */
#ifndef CQ_PROGRAMS_CQCTL_CALL_H
#define CQ_PROGRAMS_CQCTL_CALL_H

#include "programs/cqctl/cqctl.h"

struct cqctl_answer {
	long status;  /* 0: no answer */
	bool sent;    /* the request may have reached the daemon */
	bool timeout; /* no complete answer within the time */
	json_t *body; /* NULL if it is not JSON */
	char *text;
	char *error; /* of the connection; NULL if answered */
};

void cqctl_call(const struct cqctl *ctl, const char *method, const char *path,
		const char *body, struct cqctl_answer *answer);
/* With one more header line, "NAME: VALUE", or NULL. */
void cqctl_call_with(const struct cqctl *ctl, const char *method,
		     const char *path, const char *header, const char *body,
		     struct cqctl_answer *answer);
void cqctl_answer_clear(struct cqctl_answer *answer);

/*
 * Prints what went wrong and what to do next; returns the exit code, which is
 * CQCTL_OK for a status of 2xx. what names the attempt ("read settings").
 */
int cqctl_answer_check(const struct cqctl *ctl,
		       const struct cqctl_answer *answer, const char *what);

/*
 * Percent-encodes one path segment or query value; '/' stays when
 * keep_slashes. Freed with g_free().
 */
char *cqctl_encode(const char *text, bool keep_slashes);

#endif
