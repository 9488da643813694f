/* What the files of the gateway share. */
#ifndef CQ_COORDINATION_GATEWAY_INTERNAL_H
#define CQ_COORDINATION_GATEWAY_INTERNAL_H

#include <glib.h>

#include "chestnutquay/gateway.h"
#include "chestnutquay/round_trip.h"

/* A request that waits for the store. */
struct ticket {
	struct cq_gateway *g;
	enum cq_gateway_verb verb;
	cq_gateway_done_fn *done;
	void *call;
	char id[CQ_WORKLOAD_ID_BYTES];
	char queue[CQ_QUEUE_NAME_BYTES];
	char *key;	  /* of the store call under way */
	char *record;	  /* SUBMIT, CANCEL: value to be written */
	int64_t revision; /* CANCEL: of the record that was read */
	int64_t received_ns;
	int64_t sent_ns; /* the store call under way */
	int64_t deadline_ns;
	bool maybe_stored;
	enum cq_batch_state state; /* STATE: of the progress record */
	struct cq_store_call *store_call;
	ev_timer retry;
	void (*step)(struct ticket *t);
};

struct cq_gateway {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_queue_config *config;
	GHashTable *tickets; /* call -> struct ticket, owned */
	struct cq_round_trip round_trip;
	bool (*store_reachable)(void *ctx);
	void *ctx;
	struct cq_counter
		*results[CQ_GATEWAY_COUNT + 1][CQ_GATEWAY_UNKNOWN + 1];
	struct cq_histogram *latency[CQ_GATEWAY_COUNT + 1];
};

/* gateway.c */
void ticket_answer(struct ticket *t, const struct cq_gateway_answer *a);
void ticket_answer_simple(struct ticket *t, enum cq_gateway_result result,
			  const char *message);
/* The store did not do it; the step is tried again, or the request ends. */
void ticket_retry_later(struct ticket *t, enum cq_store_status status);
/* Limit of the store call that is about to be sent. */
uint32_t ticket_timeout_ms(struct ticket *t);
/* The store call has ended. */
void ticket_note_result(struct ticket *t, const struct cq_store_result *result);

/* gateway_steps.c: first steps of the requests. */
void gateway_step_submit(struct ticket *t);
void gateway_step_state(struct ticket *t);
void gateway_step_cancel(struct ticket *t);
void gateway_step_count(struct ticket *t);

#endif
