/*
 * Job API for callers and operators: submit, show, list, cancel, explain.
 *
 *   POST   /v1/jobs              the body is a job; 202 once it is in the store
 *   GET    /v1/jobs              ?state=&workspace=&class=&data_centre=&limit=
 *   GET    /v1/jobs/ID
 *   GET    /v1/jobs/ID/explain
 *   DELETE /v1/jobs/ID           asks to cancel the job
 *
 * Works in any daemon. The live state is queried from the owners of the data
 * centres over the peer network. If an owner does not answer, the record in the
 * store is returned instead, marked stale. docs/jobs.md describes the calls.
 */
#ifndef CQ_PROGRAMS_JOB_CALLS_H
#define CQ_PROGRAMS_JOB_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/operator.h"
#include "chestnutquay/membership.h"
#include "chestnutquay/peer_net.h"
#include "chestnutquay/settings.h"
#include "chestnutquay/store.h"

struct cq_job_calls;

struct cq_job_calls_ops {
	bool (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/*
	 * Answers a query if this process owns the data centre, else returns
	 * NULL. Returns the payload of a JOB_ANSWER message, freed with
	 * free(). The pointer may be NULL in a process that is never an owner.
	 */
	char *(*answer_local_query)(void *ctx, const char *data_centre,
				    const char *query);
};

struct cq_job_calls_options {
	const struct cq_clock *clock;
	const char *writer;   /* unique name of this process */
	uint64_t incarnation; /* start of the write sequence */
	uint32_t timeout_ms;  /* default if Cq-Timeout-Ms is absent */
	uint32_t max_timeout_ms;
	uint32_t query_timeout_ms; /* time limit of queries to owners */
	uint32_t store_timeout_ms;
	uint32_t max_open; /* concurrent calls; more are answered with 503 */
};

/*
 * Sets the defaults: timeouts of 10 s, at most 60 s, 500 ms for queries and 1 s
 * for the store; 1000 concurrent calls.
 */
void cq_job_calls_options_init(struct cq_job_calls_options *options);
/* The store, the settings and the membership must outlive the object. */
struct cq_job_calls *
cq_job_calls_create(const struct cq_job_calls_options *options,
		    const struct cq_job_calls_ops *ops, void *ctx,
		    const struct cq_store *store,
		    const struct cq_settings *settings,
		    const struct cq_membership *membership);
/* Answers all open exchanges and every later one with 503. */
void cq_job_calls_stop(struct cq_job_calls *calls);
/* Includes cq_job_calls_stop(). */
void cq_job_calls_destroy(struct cq_job_calls *calls);

/* Serves an exchange whose path is /v1/jobs or below. */
void cq_job_calls_handle(struct cq_job_calls *calls,
			 struct cq_operator_exchange *exchange);
/*
 * Serves GET /v1/workers and GET /v1/workspaces to operators: the combined
 * answers of the owners of all data centres. "missing" lists the data centres
 * whose owner did not answer.
 */
void cq_job_calls_handle_fleet(struct cq_job_calls *calls,
			       struct cq_operator_exchange *exchange);
/* Drops the call whose client disconnected; ignores other exchanges. */
void cq_job_calls_aborted(struct cq_job_calls *calls,
			  struct cq_operator_exchange *exchange);
/* Handles a CQ_PEER_JOB_ANSWER message. */
void cq_job_calls_receive(struct cq_job_calls *calls,
			  const struct cq_peer_message *message);
void cq_job_calls_tick(struct cq_job_calls *calls, int64_t now_ns);
/* Number of calls without a response. */
uint32_t cq_job_calls_open_count(const struct cq_job_calls *calls);

#endif
