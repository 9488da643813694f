/*
 * The operator API calls that every daemon serves: settings, data centres,
 * members and status. docs/operator-api.md describes them.
 */
#ifndef CQ_PROGRAMS_OPERATOR_CALLS_H
#define CQ_PROGRAMS_OPERATOR_CALLS_H

#include <jansson.h>

#include "chestnutquay/settings.h"
#include "programs/common/cluster.h"

struct cq_operator_calls;

/*
 * Adds the routes to the cluster's daemon. Must be destroyed before the
 * cluster; this answers the writes that are still open with 504.
 */
struct cq_operator_calls *cq_operator_calls_create(struct cq_cluster *cluster);
void cq_operator_calls_destroy(struct cq_operator_calls *calls);

/*
 * Sets a function that returns the workers known to this daemon, for comparing
 * guarantees with capacity, or NULL while they are not known. The result only
 * has to stay valid until the current API call returns.
 */
typedef const struct cq_settings_capacity *cq_operator_capacity_fn(void *ctx);
void cq_operator_calls_set_capacity(struct cq_operator_calls *calls,
				    cq_operator_capacity_fn *fn, void *ctx);

/*
 * Registers a function that reports the problems of another module in the
 * response to /v1/status, with cq_operator_problem().
 */
typedef void cq_operator_status_fn(void *ctx, json_t *problems);
void cq_operator_calls_add_status(struct cq_operator_calls *calls,
				  cq_operator_status_fn *fn, void *ctx);

enum cq_operator_severity {
	CQ_OPERATOR_WARNING, /* works but needs attention */
	CQ_OPERATOR_ERROR,   /* something does not work now */
};

const char *cq_operator_severity_string(enum cq_operator_severity severity);

/* Adds a problem. look_at tells the operator what to inspect or to do. */
void cq_operator_problem(json_t *problems, enum cq_operator_severity severity,
			 const char *look_at, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
