/*
 * Serves client requests: writes submitted workloads to the store and answers
 * queries about them from it. Any host can serve any caller; the hosts share no
 * state except the store.
 */
#ifndef CHESTNUTQUAY_GATEWAY_H
#define CHESTNUTQUAY_GATEWAY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/clock.h"
#include "chestnutquay/metrics.h"
#include "chestnutquay/queues.h"
#include "chestnutquay/store.h"
#include "chestnutquay/workload.h"

enum cq_gateway_verb {
	CQ_GATEWAY_SUBMIT,
	CQ_GATEWAY_STATE,
	CQ_GATEWAY_CANCEL,
	CQ_GATEWAY_COUNT, /* number of waiting jobs of the queue */
};

const char *cq_gateway_verb_string(enum cq_gateway_verb verb);

enum cq_gateway_result {
	CQ_GATEWAY_ACCEPTED, /* workload stored, or cancellation stored */
	CQ_GATEWAY_FOUND,    /* state or count is filled in */
	CQ_GATEWAY_INVALID,  /* malformed; the job will not run */
	CQ_GATEWAY_DENIED,   /* unknown or missing workspace key */
	CQ_GATEWAY_NO_QUEUE,
	CQ_GATEWAY_NO_JOB,
	CQ_GATEWAY_UNAVAILABLE, /* not stored, will not run; retry */
	CQ_GATEWAY_UNKNOWN, /* may have been stored; retry with the same id */
};

const char *cq_gateway_result_string(enum cq_gateway_result result);

/* The strings need to be valid during cq_gateway_serve() only. */
struct cq_gateway_request {
	enum cq_gateway_verb verb;
	const char *authority; /* host name in the request */
	const char *path;      /* path prefix of the queue, then the job id */
	const char *key;       /* workspace key; NULL: none */
	uint32_t deadline_ms;  /* how long the caller waits; 0: not given */
	/* SUBMIT only, owned by the gateway; NULL if the body is malformed. */
	struct cq_workload *workload;
	const char *body_error; /* why the body is malformed */
};

struct cq_gateway_answer {
	enum cq_gateway_result result;
	enum cq_batch_state state; /* of the job, for FOUND on STATE */
	uint64_t pending;	/* number of waiting jobs, for FOUND on COUNT */
	uint32_t retry_after_s; /* UNAVAILABLE: delay before a retry */
	const char *message;	/* human-readable; never NULL */
};

typedef void cq_gateway_done_fn(void *call,
				const struct cq_gateway_answer *answer);

struct cq_gateway_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	struct cq_metrics *metrics;
	uint32_t store_timeout_ms;
	/* Whether the store is reachable; if not, requests are refused. */
	bool (*store_reachable)(void *ctx);
	void *ctx;
};

struct cq_gateway;

struct cq_gateway *cq_gateway_create(const struct cq_gateway_options *options,
				     const struct cq_store *store);
/* Requests in progress get no answer. */
void cq_gateway_destroy(struct cq_gateway *g);
/* The configuration is borrowed until replaced; NULL: none yet. */
void cq_gateway_set_config(struct cq_gateway *g,
			   const struct cq_queue_config *config);
/*
 * While it is full, further jobs are refused. A submission of a job that is
 * stored already is accepted all the same.
 */
void cq_gateway_set_full(struct cq_gateway *g, bool full);
/*
 * Calls done() exactly once, during this call or later, unless the request is
 * dropped. call identifies the request for done() and cq_gateway_drop().
 */
void cq_gateway_serve(struct cq_gateway *g,
		      const struct cq_gateway_request *request,
		      cq_gateway_done_fn *done, void *call);
/* Drops a request whose caller has disconnected; done() is not called. */
void cq_gateway_drop(struct cq_gateway *g, void *call);
/* Number of requests that have not been answered yet. */
uint32_t cq_gateway_open_count(const struct cq_gateway *g);

#endif
