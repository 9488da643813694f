/* Internals of entryd_requests. */
#ifndef CQ_PROGRAMS_ENTRYD_REQUESTS_H
#define CQ_PROGRAMS_ENTRYD_REQUESTS_H

#include <glib.h>

#include "programs/entryd/entryd.h"

/* A request being served, for a caller or for a peer that forwarded it. */
struct pending_request {
	struct entryd_requests *requests;
	struct cq_caller_call *call;	 /* NULL for a peer */
	struct cq_peer_forward *forward; /* NULL for a caller */
	char *peer_address;
	uint64_t correlation; /* id of the peer's message */
	int64_t arrival_ns;
	char *class_name;
};

struct entryd_requests {
	struct cq_daemon *daemon;
	struct cq_job_calls *job_calls;
	struct ev_loop *loop;
	struct cq_http_client *client;
	struct cq_endpoint_http *endpoint;
	struct cq_caller_http *caller_http;
	const struct cq_caller *caller_api;
	GHashTable *by_call; /* struct cq_caller_call to struct caller */
	const struct cq_router_vtable *vtable;
	struct cq_router *router;
	ev_timer tick;
	ev_timer host_list_timer;
	uint32_t max_timeout_ms;
	uint32_t pending_requests; /* number of unanswered requests */
	bool host_list_received;
	bool host_list_pending;
	bool drain_begun;
	bool quiesced;
	bool outcomes_handed_over;
	int64_t drain_begin_ns;
	int64_t last_peer_answer_ns;
	int64_t last_metrics_ns;
};

extern const struct cq_router_ops entryd_router_ops;

void entryd_pending_request_free(struct pending_request *pending);

/* requests_peers.c */
void entryd_requests_listen_peers(struct entryd_requests *requests);
void entryd_answer_peer(struct pending_request *pending,
			const struct cq_answer *answer);
bool entryd_forward(void *ctx, const char *address, uint64_t correlation,
		    const struct cq_forward *forward);
void entryd_ask_slots(void *ctx, const char *address, uint32_t wanted,
		      int64_t asked_ns);
void entryd_lend_slots(void *ctx, const char *address, int64_t asked_ns,
		       uint64_t borrower_incarnation,
		       const struct cq_slots_loan *loans, uint32_t count);
void entryd_return_slots(void *ctx, const char *address,
			 uint64_t lender_incarnation, const uint64_t *ids,
			 uint32_t count);
void entryd_offer_outcomes(void *ctx, const char *address, uint64_t correlation,
			   const struct cq_outcomes_offer *offer);

#endif
