/* HTTP client for the operators' listener of a daemon, built on libcurl. */
#ifndef CQ_PROGRAMS_CQCTL_CALL_H
#define CQ_PROGRAMS_CQCTL_CALL_H

#include "programs/cqctl/cqctl.h"

struct cqctl_response {
	long status;  /* HTTP status code; 0: no response */
	bool sent;    /* the request may have reached the daemon */
	bool timeout; /* no complete response within ctl->timeout_ms */
	json_t *body; /* parsed text; NULL if it is not JSON */
	char *text;
	char *error; /* libcurl's error text; NULL if status is set */
};

/* Sends one HTTP request; body may be NULL. Always fills response. */
void cqctl_call(const struct cqctl *ctl, const char *method, const char *path,
		const char *body, struct cqctl_response *response);
/* Like cqctl_call(), with an extra header "NAME: VALUE" (may be NULL). */
void cqctl_call_with_header(const struct cqctl *ctl, const char *method,
			    const char *path, const char *header,
			    const char *body, struct cqctl_response *response);
void cqctl_response_clear(struct cqctl_response *response);

/*
 * Returns CQCTL_OK for a 2xx response with a JSON body. Otherwise prints the
 * error and a hint for the operator, and returns the exit code. what names the
 * attempted operation, such as "read settings".
 */
int cqctl_response_check(const struct cqctl *ctl,
			 const struct cqctl_response *response,
			 const char *what);

/*
 * Percent-encodes a path or a query value; '/' is left as it is if
 * keep_slashes is set. The caller frees the result with g_free().
 */
char *cqctl_encode(const char *text, bool keep_slashes);

#endif
