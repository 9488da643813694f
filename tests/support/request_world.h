/*
 * A deployment in virtual time: routers of several entry hosts, endpoints that
 * record what they ran, peer links and callers. Everything follows from the
 * seed and the calls made, so the same history gives the same result.
 */
#ifndef CQ_TESTS_REQUEST_WORLD_H
#define CQ_TESTS_REQUEST_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/router.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_MAX_CLASSES 4

struct world;

struct world_options {
	uint64_t seed;
	uint32_t data_centres;
	uint32_t hosts;	    /* of each data centre */
	uint32_t endpoints; /* of each data centre */
	uint32_t slots;
	uint32_t connections;  /* of each endpoint */
	int64_t service_ns;    /* mean time of a call */
	double service_spread; /* 0.5: uniform from half to one and a half */
	int64_t link_ns;       /* one way, entry host to endpoint or peer */
	int64_t wan_ns;	       /* one way, between data centres */
	int64_t list_lag_ns;   /* of the host list */
	uint32_t call_max_ms;
	uint32_t share_hold_ms;
	/* Calls over the slots wait at the endpoint instead of running. */
	bool endpoint_queues;
	const struct cq_router_vtable *vtable;
};

void world_options_init(struct world_options *options);

struct world_faults {
	bool down;	    /* refuses connections */
	bool leaving;	    /* refuses, and the host list says so later */
	bool fail_fast;	    /* 500 at once */
	bool never_answer;  /* runs and keeps quiet */
	bool cut_answers;   /* runs; the answer is not whole */
	bool cross_answers; /* runs; the answer is another request's */
	int64_t extra_ns;   /* added to each call */
};

enum world_state {
	WORLD_OPEN,
	WORLD_ANSWERED,
	WORLD_REFUSED,
	WORLD_LOST, /* the entry host died */
};

/* What one caller's request came to. */
struct world_outcome {
	uint32_t id;
	uint32_t logical; /* requests with the same key share it */
	uint32_t rank;
	enum world_state state;
	enum cq_refusal refusal;
	enum cq_request_run run;
	uint32_t status;
	bool own_answer;     /* the body is that of this request */
	uint32_t answers;    /* must be 0 or 1 */
	uint32_t ran_before; /* executions of the logical request by then */
	/*
	 * When the process that decided on the answer gave it, and the
	 * executions by then. A late answer of another host is older than
	 * done_ns.
	 */
	int64_t decided_ns;
	uint32_t ran_before_decision;
	uint32_t expected_ms;
	int64_t submitted_ns, done_ns, deadline_ns;
};

struct world_request {
	uint32_t rank;
	uint32_t workspace; /* 0 to 3; weight is the number + 1 */
	bool idempotent;
	bool keyed;
	uint32_t timeout_ms;
};

struct world *world_create(const struct world_options *options);
void world_destroy(struct world *world);
int64_t world_now(const struct world *world);
void world_run_until(struct world *world, int64_t until_ns);

/* A new logical request, minted now. */
uint32_t world_logical(struct world *world,
		       const struct world_request *request);
/* Sends a logical request, once more if it was sent before. */
uint32_t world_send(struct world *world, uint32_t logical, uint32_t host);
/* The caller closes its connection. */
void world_abandon(struct world *world, uint32_t result);

uint32_t world_results(const struct world *world);
const struct world_outcome *world_result(const struct world *world,
					 uint32_t id);
uint32_t world_executions(const struct world *world, uint32_t logical);
/* All calls that endpoints ran. */
uint64_t world_total_executions(const struct world *world);
bool world_logical_idempotent(const struct world *world, uint32_t logical);

struct world_faults *world_endpoint_faults(struct world *world, uint32_t index);
uint64_t world_endpoint_calls(const struct world *world, uint32_t index);
/* Most requests that it ran at one time. */
uint32_t world_endpoint_peak(const struct world *world, uint32_t index);
/* Most requests at one time over the slots, of all endpoints; 0 is right. */
uint32_t world_slots_exceeded(const struct world *world);
/* Most connections of one host to one endpoint over its share. */
uint32_t world_connections_exceeded(const struct world *world);

bool world_host_up(const struct world *world, uint32_t host);
void world_kill_host(struct world *world, uint32_t host);
/* A planned stop: the process ends once it has handed over its outcomes. */
void world_stop_host(struct world *world, uint32_t host);
/* Outcomes that the process which stopped last could not hand over. */
uint32_t world_outcomes_left(const struct world *world);

enum world_message_fault {
	WORLD_MESSAGE_NONE,
	WORLD_MESSAGE_LOST,
	WORLD_MESSAGE_RECEIVER_DIES, /* before it reads the message */
};

/* Of the hand-over messages from now on, offers and answers, from 1. */
void world_fault_hand_over(struct world *world, uint32_t message,
			   enum world_message_fault fault);
/* A new process takes the index, also while the old one is paused. */
void world_start_host(struct world *world, uint32_t host);
void world_pause_host(struct world *world, uint32_t host, int64_t for_ns);
/* No peer message to or from the host passes. */
void world_cut_host(struct world *world, uint32_t host, bool cut);
/* Peer messages of the host take this much longer. */
void world_delay_host(struct world *world, uint32_t host, int64_t by_ns);
void world_host_stats(const struct world *world, uint32_t host,
		      struct cq_router_stats *stats);

#ifdef __cplusplus
}
#endif

#endif
