/*
 * Serves callers: takes workloads into the store, and answers questions about
 * them from it. Any host serves any caller; hosts share nothing but the store.
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
	CQ_GATEWAY_COUNT, /* waiting jobs of the queue */
};

const char *cq_gateway_verb_string(enum cq_gateway_verb verb);

enum cq_gateway_result {
	CQ_GATEWAY_ACCEPTED, /* stored; or cancelled, for a cancel */
	CQ_GATEWAY_FOUND,    /* state or count is filled in */
	CQ_GATEWAY_INVALID,  /* malformed; does not run */
	CQ_GATEWAY_DENIED,   /* unknown key */
	CQ_GATEWAY_NO_QUEUE,
	CQ_GATEWAY_NO_JOB,
	CQ_GATEWAY_UNAVAILABLE, /* not stored, does not run; try again */
	CQ_GATEWAY_UNKNOWN,	/* may have been stored */
};

const char *cq_gateway_result_string(enum cq_gateway_result result);

/* All texts are valid during cq_gateway_serve() only. */
struct cq_gateway_request {
	enum cq_gateway_verb verb;
	const char *authority; /* host name that the caller used */
	const char *path;      /* of the queue, and the id behind it */
	const char *key;       /* of a workspace; NULL: none */
	uint32_t deadline_ms;  /* that the caller waits; 0: not said */
	/* SUBMIT: NULL if the body is malformed; taken over. */
	struct cq_workload *workload;
	const char *body_error; /* why it is malformed */
};

struct cq_gateway_answer {
	enum cq_gateway_result result;
	enum cq_batch_state state; /* FOUND, for STATE */
	uint64_t pending;	   /* FOUND, for COUNT */
	uint32_t retry_after_s;	   /* UNAVAILABLE */
	const char *message;	   /* for people; never NULL */
};

typedef void cq_gateway_done_fn(void *call,
				const struct cq_gateway_answer *answer);

struct cq_gateway_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	struct cq_metrics *metrics;
	uint32_t store_timeout_ms;
	/* Whether the store answered lately; requests are refused if not. */
	bool (*store_reachable)(void *ctx);
	void *ctx;
};

struct cq_gateway;

struct cq_gateway *cq_gateway_create(const struct cq_gateway_options *options,
				     const struct cq_store *store);
/* Open requests get no answer. */
void cq_gateway_destroy(struct cq_gateway *g);
/* Borrowed until replaced; NULL: none yet. */
void cq_gateway_set_config(struct cq_gateway *g,
			   const struct cq_queue_config *config);
/* Answers exactly once, at once or later, unless the call is dropped. */
void cq_gateway_serve(struct cq_gateway *g,
		      const struct cq_gateway_request *request,
		      cq_gateway_done_fn *done, void *call);
/* The caller has gone; there will be no answer. */
void cq_gateway_drop(struct cq_gateway *g, void *call);
uint32_t cq_gateway_open(const struct cq_gateway *g);

#endif
