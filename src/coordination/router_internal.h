/*
 * Parts of the router: router.c takes requests and ends them, router_calls.c
 * starts and ends attempts at endpoints, router_peers.c talks to other entry
 * hosts, router_hand_over.c passes on remembered outcomes.
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
	ENTRY_FORWARDED, /* at the key's home or another data centre */
	ENTRY_WAITING,	 /* for another request with the same key */
	ENTRY_ENDED,	 /* answered; remains while calls are open */
};

struct entry {
	struct cq_admission_item item; /* first: items are cast to entries */
	struct cq_request request;     /* own strings, borrowed body */
	struct cq_origin origin;
	void *caller; /* NULL: answered or gone; the body is invalid */
	uint64_t id;
	enum entry_state state;
	int64_t arrival_ns;
	int64_t deadline_ns;
	int64_t attempt_deadline_ns; /* idempotent: when to try another */
	bool late;		     /* the last attempt's endpoint knows */
	uint32_t attempts;
	uint32_t reroutes;
	uint32_t open_calls;
	bool maybe_ran; /* written somewhere without proof that it did not run
			 */
	bool no_spill;
	struct cq_pool_endpoint *last; /* to avoid on the next attempt */
	char *last_endpoint_id;
	/* Forwarded requests. */
	uint64_t correlation;
	char *peer_address;
	char *home_centre;
	uint32_t home_index;
	bool spilled;
	int64_t resend_ns;
	int64_t resend_wait_ns;
	/* Keyed requests at their home. */
	struct cq_outcome *outcome;
	GPtrArray *waiters; /* entries waiting for this one; NULL: none */
	struct entry *primary;
};

struct call {
	uint64_t id;
	struct entry *entry; /* NULL: probe */
	struct cq_pool_endpoint *endpoint;
	struct cq_slots_grant grant;
	int64_t started_ns;
};

struct remote {
	char *address;
	struct cq_peer_load load;
	int64_t loaded_ns; /* when the load was received */
	int64_t asked_ns;
	int64_t round_trip_ns;
	uint32_t outstanding;
	bool reachable;
};

/* Outcomes of one home on their way to another entry host. */
struct parcel {
	char *data_centre; /* of the home */
	uint32_t index;
	struct cq_outcomes *outcomes;
	uint64_t correlation; /* of the unanswered offer; 0: none */
	uint32_t collected;   /* outcomes in that offer */
	uint32_t tries;
	uint32_t receiver; /* number in the list of those that are live */
	int64_t resend_ns;
};

struct cq_router {
	struct cq_router_setup setup;
	char *id;
	char *data_centre;
	struct cq_slots *slots;
	struct cq_endpoint_pool *pool;
	struct cq_admission *admission;
	struct cq_outcomes *outcomes;
	GHashTable *entries;   /* set of struct entry */
	GHashTable *by_caller; /* caller -> entry */
	GHashTable *calls;     /* id -> struct call */
	GHashTable *forwards;  /* correlation -> entry */
	GHashTable *load_asks; /* correlation -> struct remote */
	GPtrArray *remotes;    /* struct remote */
	uint64_t next_id;
	double retry_tokens;
	int64_t last_slow_tick_ns;
	int64_t queue_empty_since_ns;
	int64_t asked_slots_ns;
	struct parcel *own_parcel;     /* borrows the outcomes above */
	GPtrArray *parcels;	       /* struct parcel, kept for other homes */
	int64_t hand_over_deadline_ns; /* 0: not begun */
	bool draining;
	bool dispatching;
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
void router_finish(struct cq_router *router, struct entry *entry,
		   const struct cq_answer *answer);
/* Queues an entry, or refuses it if there is no room. */
void router_enqueue(struct cq_router *router, struct entry *entry);
void router_drop_if_done(struct cq_router *router, struct entry *entry);
/* Expected time until an answer for a request like this one, milliseconds. */
uint32_t router_expected_ms(const struct cq_router *router,
			    const struct entry *entry);
int64_t router_expected_wait_ns(const struct cq_router *router,
				const struct entry *entry);

/* Refuses what cannot be met and queues the rest. */
void router_admit(struct cq_router *router, struct entry *entry);

/* router_keys.c */
void router_begin_keyed(struct cq_router *router, struct entry *entry);
void router_leave_primary(struct entry *entry);
/* Returns false if nobody waits for the entry. */
bool router_hand_to_waiter(struct cq_router *router, struct entry *entry);

/* router_calls.c */
void router_dispatch(struct cq_router *router);
void router_call_done(struct cq_router *router, uint64_t call_id,
		      const struct cq_endpoint_result *result);
void router_start_probes(struct cq_router *router);
/* An attempt is late: starts another one if allowed. */
void router_attempt_late(struct cq_router *router, struct entry *entry);

/* router_peers.c */
bool router_forward_home(struct cq_router *router, struct entry *entry,
			 const struct cq_home *home);
void router_spill(struct cq_router *router);
void router_forward_done(struct cq_router *router, uint64_t correlation,
			 const struct cq_answer *answer,
			 const struct cq_peer_load *load);
void router_forward_forget(struct cq_router *router, struct entry *entry);
void router_ask_slots(struct cq_router *router);
void router_slots_asked(struct cq_router *router, uint32_t borrower,
			uint64_t borrower_incarnation, uint32_t wanted,
			int64_t asked_ns);
void router_return_slots(struct cq_router *router, bool all);
void router_peers_tick(struct cq_router *router);
void router_forwards_tick(struct cq_router *router, struct entry *entry);
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
