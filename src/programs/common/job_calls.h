/*
 * Job calls of callers and operators: submit, show, list, cancel, explain.
 *
 *   POST   /v1/jobs              the body is a job; 202 once it is in the store
 *   GET    /v1/jobs              ?state=&workspace=&class=&data_centre=&limit=
 *   GET    /v1/jobs/ID
 *   GET    /v1/jobs/ID/explain
 *   DELETE /v1/jobs/ID           asks to cancel the job
 *
 * Works in any daemon. The live state comes from the owners of the data
 * centres over the peer network; without an answer from an owner the record in
 * the store is shown, marked stale. See docs/jobs.md.
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
	 * NULL. The text is that of a JOB_ANSWER, freed with free(). May be
	 * NULL.
	 */
	char *(*answer_local_query)(void *ctx, const char *data_centre,
				    const char *query);
};

struct cq_job_calls_options {
	const struct cq_clock *clock;
	const char *writer;   /* unique name of this process */
	uint64_t incarnation; /* start of the write sequence */
	uint32_t timeout_ms;  /* without Cq-Timeout-Ms */
	uint32_t max_timeout_ms;
	uint32_t query_timeout_ms; /* wait for owners */
	uint32_t store_timeout_ms;
	uint32_t max_open; /* calls at one time; more get 503 */
};

/* 10 s, 60 s, 500 ms, 1 s, 1000. */
void cq_job_calls_options_init(struct cq_job_calls_options *options);
/* The store, the settings and the membership outlive the object. */
struct cq_job_calls *
cq_job_calls_create(const struct cq_job_calls_options *options,
		    const struct cq_job_calls_ops *ops, void *ctx,
		    const struct cq_store *store,
		    const struct cq_settings *settings,
		    const struct cq_membership *membership);
/* Answers open exchanges, and all later ones at once, with 503. */
void cq_job_calls_stop(struct cq_job_calls *calls);
/* Stops first if that was not done. */
void cq_job_calls_destroy(struct cq_job_calls *calls);

/* Serves an exchange whose path is /v1/jobs or below. */
void cq_job_calls_handle(struct cq_job_calls *calls,
			 struct cq_operator_exchange *exchange);
/*
 * Serves GET /v1/workers and GET /v1/workspaces for operators: what the owners
 * of all data centres answer; "missing" names the data centres without one.
 */
void cq_job_calls_handle_fleet(struct cq_job_calls *calls,
			       struct cq_operator_exchange *exchange);
/* The client went away; other exchanges are ignored. */
void cq_job_calls_aborted(struct cq_job_calls *calls,
			  struct cq_operator_exchange *exchange);
/* JOB_ANSWER. */
void cq_job_calls_receive(struct cq_job_calls *calls,
			  const struct cq_peer_message *message);
void cq_job_calls_tick(struct cq_job_calls *calls, int64_t now_ns);
uint32_t cq_job_calls_open(const struct cq_job_calls *calls);

#endif
