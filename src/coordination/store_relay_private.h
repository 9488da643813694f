/* State shared by the caller's and the serving half of the store relay. */
#ifndef COORDINATION_STORE_RELAY_PRIVATE_H
#define COORDINATION_STORE_RELAY_PRIVATE_H

#include <glib.h>

#include "chestnutquay/retry.h"
#include "chestnutquay/store_relay.h"
#include "coordination/prng.h"
#include "protocol/gen/coordination.pb-c.h"

#define MAX_TRIED 8
#define RECENT 128
/* Time for the answer to a watch after its longest wait. */
#define WATCH_GRACE_NS CQ_NS_PER_S

/* The arguments of a store call of any operation. */
struct store_arguments {
	Cq__StoreOperation operation;
	char *key;   /* or prefix */
	char *value; /* put only */
	int64_t revision;
	int64_t lease_id;
	uint32_t ttl_ms;
	uint32_t timeout_ms; /* longest wait of a watch */
};

/* A call of this process. */
struct cq_store_call {
	struct cq_store_relay *relay;
	struct store_arguments arguments;
	cq_store_done_fn *done; /* NULL: completed, direct still open */
	void *ctx;
	int64_t deadline_ns;
	struct cq_store_call *direct; /* NULL: not with the store */
	int64_t hedge_ns;     /* when a peer is asked too; 0: not any more */
	uint64_t correlation; /* of the request to a peer; 0: none */
	int64_t peer_deadline_ns;
	char tried[MAX_TRIED][CQ_MEMBER_NAME_BYTES];
	uint32_t tried_count;
	bool failing; /* to be completed on the next tick */
};

/* A call run for a peer. */
struct served {
	struct cq_store_relay *relay;
	struct cq_store_call *direct;
	char address[CQ_PEER_ADDRESS_BYTES];
	uint64_t correlation;
};

struct recent {
	char id[CQ_MEMBER_NAME_BYTES];
	uint64_t incarnation;
	uint64_t correlation;
};

struct cq_store_relay {
	struct cq_store_relay_options options;
	struct cq_store store; /* the interface offered */
	const struct cq_store *direct;
	const struct cq_membership *membership;
	struct cq_store_relay_ops ops;
	void *ctx;
	struct cq_prng prng;
	struct cq_retry *retry; /* breaker of the direct way */
	struct cq_store_call *probe;
	struct cq_retry_call probe_call;
	GPtrArray *calls;  /* of struct cq_store_call */
	GPtrArray *served; /* of struct served */
	uint64_t correlation;
	uint64_t relayed;
	char last_good[CQ_MEMBER_NAME_BYTES];
	struct recent recent[RECENT]; /* requests of peers, for duplicates */
	uint32_t recent_next;
};

/* Runs a call on the direct store. */
struct cq_store_call *
cq_store_relay_issue(const struct cq_store *store,
		     const struct store_arguments *arguments,
		     uint32_t timeout_ms, cq_store_done_fn *done, void *ctx);
/* A second execution of these does no harm and gives the same answer. */
bool cq_store_relay_is_repeatable(Cq__StoreOperation operation);
/* Passes the call to a peer; false if there is none or no time left. */
bool cq_store_relay_ask_peer(struct cq_store_call *call, int64_t now_ns);
/* Tells the breaker about the end of a direct call. */
void cq_store_relay_note(struct cq_store_relay *relay,
			 enum cq_store_status status);
/* The serving half. */
bool cq_store_relay_serve(struct cq_store_relay *relay,
			  const struct cq_peer_message *message,
			  struct cq_error *err);
void cq_store_relay_cancel_served(struct cq_store_relay *relay);

#endif
