/* Internal interfaces shared by the source files of the gateway. */
#ifndef CQ_COORDINATION_GATEWAY_INTERNAL_H
#define CQ_COORDINATION_GATEWAY_INTERNAL_H

#include <glib.h>

#include "chestnutquay/gateway.h"
#include "chestnutquay/round_trip.h"

/* A request that has not been answered yet. */
struct pending_request {
	struct cq_gateway *g;
	enum cq_gateway_verb verb;
	cq_gateway_done_fn *done;
	void *call;
	char id[CQ_WORKLOAD_ID_BYTES];
	const char *queue; /* see text.h */
	char *key;	   /* store key of the call in flight */
	char *record;	   /* SUBMIT, CANCEL: value to write */
	int64_t revision;  /* CANCEL: revision of the record read */
	int64_t received_ns;
	int64_t sent_ns; /* time at which the store call in flight was sent */
	int64_t deadline_ns; /* latest time for the answer */
	bool maybe_stored;   /* a write without an answer may be executed */
	enum cq_batch_state state; /* STATE: from the progress record */
	struct cq_store_call *store_call;
	ev_timer retry_timer;
	/* Sends the current store call; called again for each retry. */
	void (*send)(struct pending_request *r);
};

struct cq_gateway {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_queue_config *config;
	GHashTable *requests; /* call -> struct pending_request, owned */
	struct cq_round_trip round_trip;
	bool full; /* further jobs are refused */
	bool (*store_reachable)(void *ctx);
	void *ctx;
	struct cq_counter
		*results[CQ_GATEWAY_COUNT + 1][CQ_GATEWAY_UNKNOWN + 1];
	struct cq_histogram *latency[CQ_GATEWAY_COUNT + 1];
};

/* gateway.c */
/* Sends the answer to the caller and frees the request. */
void request_answer(struct pending_request *r,
		    const struct cq_gateway_answer *a);
void request_answer_simple(struct pending_request *r,
			   enum cq_gateway_result result, const char *message);
/*
 * The store call failed with this status. Schedules a retry, or answers the
 * request if no time is left for one.
 */
void request_retry_later(struct pending_request *r,
			 enum cq_store_status status);
/* A store call is about to be sent; returns its time limit. */
uint32_t request_begin_call(struct pending_request *r);
/* Records that the store call in flight has completed. */
void request_note_result(struct pending_request *r,
			 const struct cq_store_result *result);

/* gateway_steps.c: send the first store call of a request. */
void gateway_send_submit(struct pending_request *r);
/* Accepts the job if it is stored already, and refuses it if not. */
void gateway_send_known_check(struct pending_request *r);
void gateway_send_state(struct pending_request *r);
void gateway_send_cancel(struct pending_request *r);
void gateway_send_count(struct pending_request *r);

#endif
