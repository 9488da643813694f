/*
 * The operators' calls that every daemon answers: settings, data centres,
 * members and status. docs/operator-api.md describes them.
 */
#ifndef CQ_PROGRAMS_OPERATOR_CALLS_H
#define CQ_PROGRAMS_OPERATOR_CALLS_H

#include <jansson.h>

#include "chestnutquay/settings.h"
#include "programs/common/cluster.h"

struct cq_operator_calls;

/*
 * Adds the routes to the cluster's daemon. Destroy it before the cluster;
 * writes that are still open are then answered with 504.
 */
struct cq_operator_calls *cq_operator_calls_create(struct cq_cluster *cluster);
void cq_operator_calls_destroy(struct cq_operator_calls *calls);

/*
 * Workers known to this daemon, for comparing guarantees with capacity; NULL
 * while they are not known. The result is used during the call only.
 */
typedef const struct cq_settings_capacity *cq_operator_capacity_fn(void *ctx);
void cq_operator_calls_set_capacity(struct cq_operator_calls *calls,
				    cq_operator_capacity_fn *fn, void *ctx);

/*
 * Adds what is wrong in the eyes of another module to the answer of
 * /v1/status, with cq_operator_problem().
 */
typedef void cq_operator_status_fn(void *ctx, json_t *problems);
void cq_operator_calls_add_status(struct cq_operator_calls *calls,
				  cq_operator_status_fn *fn, void *ctx);

enum cq_operator_severity {
	CQ_OPERATOR_WARNING, /* works, but needs attention */
	CQ_OPERATOR_ERROR,   /* something does not work now */
};

const char *cq_operator_severity_string(enum cq_operator_severity severity);

/* look_at says what to do or read next. */
void cq_operator_problem(json_t *problems, enum cq_operator_severity severity,
			 const char *look_at, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
