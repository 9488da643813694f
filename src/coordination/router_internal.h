/*
 * Internal interface between the files of the router: router.c accepts and ends
 * requests, router_keys.c handles idempotency keys, router_calls.c starts and
 * ends attempts at endpoints, router_peers.c exchanges messages with other
 * entry hosts, router_hand_over.c hands kept outcomes over to other hosts on a
 * stop.
 */
#ifndef CQ_COORDINATION_ROUTER_INTERNAL_H
#define CQ_COORDINATION_ROUTER_INTERNAL_H

#include <glib.h>

#include "chestnutquay/admission.h"
#include "chestnutquay/endpoint_pool.h"
#include "chestnutquay/outcomes.h"
#include "chestnutquay/router.h"

enum entry_state {
	ENTRY_NEW,
	ENTRY_QUEUED,
	ENTRY_CALLING,	 /* at least one call to an endpoint is open */
	ENTRY_FORWARDED, /* sent to the key's home or another data centre */
	ENTRY_WAITING,	 /* waiting for the result of the same key's primary */
	ENTRY_ENDED,	 /* answered; kept while calls are open */
};

/* One request in the router, from its arrival until its last call has ended. */
struct entry {
	struct cq_admission_item item; /* first: items are cast to entries */
	struct cq_request request;     /* owns the strings, not the body */
	struct cq_origin origin;
	void *caller; /* NULL: answered or abandoned; body invalid */
	uint64_t id;
	enum entry_state state;
	int64_t arrival_ns;
	int64_t deadline_ns;
	/* Idempotent requests: when the open attempt counts as late. */
	int64_t attempt_deadline_ns;
	bool late_reported; /* of the last attempt, to the pool */
	uint32_t attempts;
	uint32_t reroutes; /* attempts that provably did not run */
	uint32_t open_calls;
	bool maybe_ran; /* sent without proof that it did not run */
	bool no_spill;	/* must not be sent to another data centre */
	struct cq_pool_endpoint *last; /* unused */
	char *last_endpoint_id;	       /* to avoid on the next attempt */
	/* State of forwarded requests. */
	uint64_t correlation;
	char *peer_address;
	char *home_data_centre;
	uint32_t home_index;
	bool spilled;		 /* forwarded to another data centre */
	int64_t resend_at_ns;	 /* time of the next repeat */
	int64_t resend_delay_ns; /* delay before the next repeat; doubles */
	/* State of keyed requests at the home of their key. */
	struct cq_outcome *outcome;
	GPtrArray *waiters;    /* entries waiting for this one; NULL: none */
	struct entry *primary; /* the entry that this one waits for */
};

/* An open call or probe to an endpoint, which holds a slot. */
struct call {
	uint64_t id;
	struct entry *entry; /* NULL for a probe */
	struct cq_pool_endpoint *endpoint;
	struct cq_slots_grant grant;
	int64_t started_ns;
};

/* An entry host of another data centre. */
struct remote {
	char *address;
	struct cq_peer_load load;
	int64_t load_received_ns; /* when the load was received */
	int64_t load_asked_ns;	  /* when its load was last requested */
	int64_t round_trip_ns;
	uint32_t open_spills; /* requests spilled to it and not answered */
	bool reachable;
};

/* Hand-over of the outcomes of one home to another entry host. */
struct outcome_transfer {
	char *data_centre; /* of the home */
	uint32_t index;
	struct cq_outcomes *outcomes;
	uint64_t correlation;	    /* of the unanswered offer; 0: none */
	uint32_t offered_count;	    /* outcomes in that offer */
	uint32_t unanswered_offers; /* consecutive offers without an answer */
	uint32_t receiver_position; /* in the list of live candidates */
	int64_t next_offer_ns;	    /* time of the next offer */
};

struct cq_router {
	struct cq_router_setup setup;
	char *id;
	char *data_centre;
	struct cq_slots *slots;
	struct cq_endpoint_pool *pool;
	struct cq_admission *admission;
	struct cq_outcomes *outcomes;
	GHashTable *entries;	   /* set of struct entry */
	GHashTable *by_caller;	   /* caller -> entry */
	GHashTable *calls;	   /* id -> struct call */
	GHashTable *forwards;	   /* correlation -> entry */
	GHashTable *load_requests; /* correlation -> struct remote */
	GPtrArray *remotes;	   /* struct remote */
	uint64_t next_id;
	double retry_tokens; /* retry budget; a retry costs 1 */
	int64_t last_slow_tick_ns;
	int64_t queue_empty_since_ns; /* 0: the queue is not empty */
	int64_t slots_asked_ns;	      /* last time slots were asked for */
	/* Transfer of the outcomes of this home; shares outcomes. */
	struct outcome_transfer *own_transfer;
	/* struct outcome_transfer, of outcomes kept for other homes */
	GPtrArray *transfers;
	int64_t hand_over_deadline_ns; /* 0: hand-over has not begun */
	bool draining;
	bool dispatching; /* prevents recursion of router_dispatch() */
	struct cq_router_stats stats;
};

static inline int64_t router_now(const struct cq_router *router)
{
	return cq_clock_now_ns(router->setup.clock);
}

static inline int64_t router_unix_ms(const struct cq_router *router)
{
	return cq_clock_unix_ms(router->setup.clock);
}

/* router.c */
void router_refuse(struct cq_router *router, struct entry *entry,
		   enum cq_refusal refusal, const char *message);
/* Ends an entry with an answer; its waiters get the same answer. */
void router_finish(struct cq_router *router, struct entry *entry,
		   const struct cq_answer *answer);
/* Queues an entry, or refuses it if the queue is full. */
void router_enqueue(struct cq_router *router, struct entry *entry);
/* Frees an entry that has ended and has no open call. */
void router_free_if_done(struct cq_router *router, struct entry *entry);
/* Expected time until an answer to a request like this one. */
uint32_t router_expected_ms(const struct cq_router *router,
			    const struct entry *entry);
int64_t router_expected_wait_ns(const struct cq_router *router,
				const struct entry *entry);

/* Queues a request, or refuses it if its deadline cannot be met. */
void router_admit(struct cq_router *router, struct entry *entry);

/* router_keys.c */
void router_begin_keyed(struct cq_router *router, struct entry *entry);
void router_detach_from_primary(struct entry *entry);
/*
 * Makes the first waiter of an entry that did not run the new primary of the
 * key. Returns false if no entry waits.
 */
bool router_promote_waiter(struct cq_router *router, struct entry *entry);

/* router_calls.c */
void router_dispatch(struct cq_router *router);
void router_call_done(struct cq_router *router, uint64_t call_id,
		      const struct cq_endpoint_result *result);
void router_start_probes(struct cq_router *router);
/* Reports a late attempt to the pool and starts another one if allowed. */
void router_attempt_late(struct cq_router *router, struct entry *entry);

/* router_peers.c */
bool router_forward_home(struct cq_router *router, struct entry *entry,
			 const struct cq_key_home *home);
void router_spill(struct cq_router *router);
void router_forward_done(struct cq_router *router, uint64_t correlation,
			 const struct cq_answer *answer,
			 const struct cq_peer_load *load);
void router_remove_forward(struct cq_router *router, struct entry *entry);
void router_ask_slots(struct cq_router *router);
void router_slots_asked(struct cq_router *router, uint32_t borrower,
			uint64_t borrower_incarnation, uint32_t wanted,
			int64_t asked_ns);
void router_return_slots(struct cq_router *router, bool all);
void router_peers_tick(struct cq_router *router);
void router_forward_tick(struct cq_router *router, struct entry *entry);
void router_remotes_free(struct cq_router *router);

/* router_hand_over.c */
void router_hand_over_init(struct cq_router *router);
void router_hand_over_free(struct cq_router *router);
void router_hand_over_tick(struct cq_router *router);
bool router_hand_over(struct cq_router *router, uint32_t *left);
bool router_outcomes_offered(struct cq_router *router,
			     const struct cq_outcomes_offer *offer);
void router_outcomes_taken(struct cq_router *router, uint64_t correlation);

#endif
