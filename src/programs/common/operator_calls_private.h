#ifndef CQ_PROGRAMS_OPERATOR_CALLS_PRIVATE_H
#define CQ_PROGRAMS_OPERATOR_CALLS_PRIVATE_H

#include <glib.h>
#include <jansson.h>

#include "programs/common/operator_calls.h"

/* Number of settings changes kept in the history. */
#define CQ_OPERATOR_HISTORY 256

/* A settings change that this daemon received. */
struct cq_operator_change {
	int64_t unix_ms;
	int64_t revision;
	char *key;
	char *writer;
	char *fault; /* NULL if the change is valid */
	bool removed;
};

struct cq_operator_status_source {
	cq_operator_status_fn *fn;
	void *ctx;
};

struct cq_operator_calls {
	struct cq_cluster *cluster;
	struct cq_daemon *daemon;
	GQueue *history; /* struct cq_operator_change, newest first */
	int64_t created_unix_ms;
	GPtrArray *writes; /* struct cq_operator_write in progress */
	uint64_t next_sequence;
	GArray *status_sources;
	cq_operator_capacity_fn *capacity;
	void *capacity_ctx;
	/* Time from acceptance until all live members had the change. */
	struct cq_histogram *in_force_latency;
};

/*
 * The path after prefix and "/", "" if nothing follows the prefix, or NULL if
 * the path does not have the prefix.
 */
const char *cq_operator_path_rest(struct cq_operator_exchange *exchange,
				  const char *prefix);
/* Sends a JSON response and releases body. */
void cq_operator_respond(struct cq_operator_exchange *exchange, uint32_t status,
			 json_t *body);
/*
 * Adds "tree_revision", "settings_state" and "stale" and, if stale, "age_ms".
 */
void cq_operator_add_freshness(const struct cq_operator_calls *calls,
			       json_t *body);
const struct cq_settings_capacity *
cq_operator_capacity(const struct cq_operator_calls *calls);
/*
 * Reports which members have acknowledged a settings revision:
 * {"acknowledged","known","in_force","missing","out_of_reach"}.
 */
json_t *cq_operator_in_force(const struct cq_operator_calls *calls,
			     int64_t revision);
json_t *cq_operator_data_centres(const struct cq_operator_calls *calls);

/* Route handlers; ctx is the struct cq_operator_calls. */
void cq_operator_get_settings(void *ctx, struct cq_operator_exchange *exchange);
void cq_operator_write_settings(void *ctx,
				struct cq_operator_exchange *exchange);
void cq_operator_check_settings(void *ctx,
				struct cq_operator_exchange *exchange);
void cq_operator_get_history(void *ctx, struct cq_operator_exchange *exchange);
void cq_operator_get_in_force(void *ctx, struct cq_operator_exchange *exchange);
void cq_operator_get_data_centres(void *ctx,
				  struct cq_operator_exchange *exchange);
void cq_operator_get_members(void *ctx, struct cq_operator_exchange *exchange);
void cq_operator_get_status(void *ctx, struct cq_operator_exchange *exchange);

/* Retries or ends the writes in progress. */
void cq_operator_writes_tick(struct cq_operator_calls *calls, int64_t now_ns);
/* Handles a disconnect of the client of an exchange. */
void cq_operator_writes_aborted(struct cq_operator_calls *calls,
				const struct cq_operator_exchange *exchange);
void cq_operator_writes_destroy(struct cq_operator_calls *calls);

#endif
