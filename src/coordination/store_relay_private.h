/* State shared by the calling and the serving side of the store relay. */
#ifndef COORDINATION_STORE_RELAY_PRIVATE_H
#define COORDINATION_STORE_RELAY_PRIVATE_H

#include <glib.h>

#include "chestnutquay/retry.h"
#include "chestnutquay/store_relay.h"
#include "coordination/prng.h"
#include "protocol/gen/coordination.pb-c.h"

/* Upper limit of the option max_peers. */
#define MAX_TRIED_PEERS 8
/* Number of peers' requests remembered to detect duplicates. */
#define RECENT_REQUESTS 128
/* Time allowed for the answer to a watch after its maximum wait. */
#define WATCH_GRACE_NS CQ_NS_PER_S

/* The arguments of a store call of any operation. */
struct store_arguments {
	Cq__StoreOperation operation;
	char *key;   /* key, or prefix of a list or watch */
	char *value; /* value of a put; NULL otherwise */
	int64_t revision;
	int64_t lease_id;
	uint32_t ttl_ms;
	uint32_t timeout_ms; /* call time-out, or maximum wait of a watch */
};

/* A store call made by this process. */
struct cq_store_call {
	struct cq_store_relay *relay;
	struct store_arguments arguments;
	/* NULL: completed, but the direct call is still pending */
	cq_store_done_fn *done;
	void *ctx;
	int64_t deadline_ns;
	struct cq_store_call *direct; /* pending direct call; NULL: none */
	/* Time at which a peer is asked as well; 0: never. */
	int64_t hedge_ns;
	/* Correlation of the pending request to a peer; 0: none. */
	uint64_t correlation;
	int64_t peer_deadline_ns;
	char tried[MAX_TRIED_PEERS][CQ_MEMBER_NAME_BYTES];
	uint32_t tried_count;
	bool fail_on_tick; /* the call fails on the next tick */
};

/* A store call run on behalf of a peer. */
struct served_call {
	struct cq_store_relay *relay;
	struct cq_store_call *direct;
	char address[CQ_PEER_ADDRESS_BYTES];
	uint64_t correlation;
};

/* Identifies a request that a peer sent. */
struct recent_request {
	char id[CQ_MEMBER_NAME_BYTES];
	uint64_t incarnation;
	uint64_t correlation;
};

struct cq_store_relay {
	struct cq_store_relay_options options;
	struct cq_store store; /* interface offered to callers */
	const struct cq_store *direct;
	const struct cq_membership *membership;
	struct cq_store_relay_ops ops;
	void *ctx;
	struct cq_prng prng;
	struct cq_retry *breaker; /* circuit breaker of direct store calls */
	struct cq_store_call *probe;
	struct cq_retry_call probe_call;
	GPtrArray *calls;	 /* elements: struct cq_store_call */
	GPtrArray *served_calls; /* elements: struct served_call */
	uint64_t correlation;
	uint64_t relayed_count;
	char last_answering_peer[CQ_MEMBER_NAME_BYTES];
	/* Latest requests of peers, to detect duplicates. */
	struct recent_request recent_requests[RECENT_REQUESTS];
	uint32_t next_recent_request;
};

/* Runs a call on the direct store. */
struct cq_store_call *
cq_store_relay_issue(const struct cq_store *store,
		     const struct store_arguments *arguments,
		     uint32_t timeout_ms, cq_store_done_fn *done, void *ctx);
/*
 * Whether executing the operation a second time does no harm and gives the same
 * answer.
 */
bool cq_store_relay_is_repeatable(Cq__StoreOperation operation);
/*
 * Sends the call to a peer. Returns false if there is no further peer to ask or
 * no time left.
 */
bool cq_store_relay_ask_peer(struct cq_store_call *call, int64_t now_ns);
/* Reports the status of a finished direct call to the circuit breaker. */
void cq_store_relay_record_status(struct cq_store_relay *relay,
				  enum cq_store_status status);
/*
 * Handles a peer's request: runs the call on the direct store and sends the
 * answer. Returns false and sets err for a malformed request.
 */
bool cq_store_relay_serve(struct cq_store_relay *relay,
			  const struct cq_peer_message *message,
			  struct cq_error *err);
void cq_store_relay_cancel_served(struct cq_store_relay *relay);

#endif
