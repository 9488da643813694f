/*
 * Request router of one entry host: admission, choice of endpoints, retries,
 * requests with an idempotency key (keyed requests), forwarding of queued
 * requests to other data centres (spill) and lending of slots. It reports for
 * each refused request whether the request may have run.
 *
 * The outcome of a keyed request is kept by the home of its key, an entry host
 * that all hosts compute from the key (see outcomes.h).
 *
 * The router is a state machine: its inputs are callers' requests, completed
 * calls, messages from peers and ticks; its outputs go through
 * struct cq_router_ops. Every submitted request gets exactly one answer, unless
 * its caller abandons it.
 */
#ifndef CHESTNUTQUAY_ROUTER_H
#define CHESTNUTQUAY_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/endpoint.h"
#include "chestnutquay/host_list.h"
#include "chestnutquay/outcomes.h"
#include "chestnutquay/peer_request.h"
#include "chestnutquay/slots.h"

struct cq_router_ops {
	/*
	 * Starts a call to an endpoint. Its end is reported with call_done(),
	 * never before this function returns.
	 */
	void (*call)(void *ctx, uint64_t call_id,
		     const struct cq_endpoint_call *call);
	/* Starts a health check of an endpoint; ends like a call. */
	void (*probe)(void *ctx, uint64_t call_id, const char *address,
		      const char *request_id, uint32_t timeout_ms);
	/* Answers a caller; the answer is valid during this function only. */
	void (*answer)(void *ctx, void *caller, const struct cq_answer *answer);
	/*
	 * Forwards a request to a peer, or asks for its load if the request is
	 * NULL. Answered with forward_done() of the same correlation. Returns
	 * false if nothing was sent.
	 */
	bool (*forward)(void *ctx, const char *address, uint64_t correlation,
			const struct cq_forward *forward);
	/* Asks a peer to lend up to wanted slots; asked_ns is the time now. */
	void (*ask_slots)(void *ctx, const char *address, uint32_t wanted,
			  int64_t asked_ns);
	/* Lends slots; asked_ns and incarnation are those of the request. */
	void (*lend_slots)(void *ctx, const char *address, int64_t asked_ns,
			   uint64_t borrower_incarnation,
			   const struct cq_slots_loan *loans, uint32_t count);
	void (*return_slots)(void *ctx, const char *address,
			     uint64_t lender_incarnation,
			     const uint64_t *loan_ids, uint32_t count);
	/*
	 * Offers outcomes of keys to a peer. The peer acknowledges them with
	 * outcomes_taken() of the same correlation.
	 */
	void (*offer_outcomes)(void *ctx, const char *address,
			       uint64_t correlation,
			       const struct cq_outcomes_offer *offer);
};

#define CQ_ROUTER_MAX_REMOTES 64
#define CQ_ROUTER_MAX_DATA_CENTRES 64

/* Membership of entry hosts, as the router needs it. */
struct cq_router_members_ops {
	/* Address of the host that holds an index; NULL if there is none. */
	const char *(*peer)(void *ctx, const char *data_centre, uint32_t index);
	/* False if that host is dead or cannot be reached from this host. */
	bool (*alive)(void *ctx, const char *data_centre, uint32_t index);
	/*
	 * All data centres of the deployment including this one, the same on
	 * every host. The names must stay valid.
	 */
	uint32_t (*data_centres)(void *ctx, struct cq_data_centre *centres,
				 uint32_t max);
	/*
	 * Whether this host still holds its own index, so that it may use the
	 * slots of the index and act as home of keys. False once another host
	 * may have taken the index. The router asks before every use.
	 */
	bool (*holds_index)(void *ctx, int64_t now_ns);
	/* Addresses of the reachable entry hosts of other data centres. */
	uint32_t (*remotes)(void *ctx, const char **addresses, uint32_t max);
};

/* Settings, as the router needs them. False is returned for unknown names. */
struct cq_router_policy_ops {
	bool (*workspace)(void *ctx, const char *name, uint32_t *weight);
	/* Rank 0 is the most urgent; below CQ_ADMISSION_MAX_RANKS. */
	bool (*class_rank)(void *ctx, const char *name, uint32_t *rank);
};

struct cq_router_options {
	const char *id; /* unique per process; prefix of request ids */
	/*
	 * Start time of the process. It is the upper part of every correlation,
	 * so that answers to messages of an earlier process match nothing.
	 */
	uint64_t incarnation;
	const char *data_centre;
	uint32_t index, index_count; /* of this host, of its data centre */
	uint32_t max_queued;
	uint64_t max_queued_bytes;
	uint32_t call_max_ms; /* longest time an endpoint may work on a call */
	/* Time after the start in which own slots are not used. */
	uint32_t share_hold_ms;
	uint32_t loan_ms;	/* time in which borrowed slots may be taken */
	uint32_t max_keys;	/* keys whose outcome is kept */
	uint64_t max_key_bytes; /* total of the answers kept for keys */
	uint32_t max_kept_answer_bytes;
	uint64_t seed;
	/* Spill only if the local wait exceeds the round trip by this. */
	uint32_t spill_margin_ms;
};

void cq_router_options_init(struct cq_router_options *options);

struct cq_router_setup {
	struct cq_router_options options;
	const struct cq_clock *clock;
	const struct cq_router_ops *ops;
	void *ops_ctx;
	const struct cq_router_members_ops *members;
	void *members_ctx;
	const struct cq_router_policy_ops *policy;
	void *policy_ctx;
};

struct cq_router_stats {
	uint64_t submitted, answered, refused;
	uint64_t first_attempts, retries, reroutes;
	uint64_t budget_exhausted;
	/* Forwarded to another data centre, and to the home of their key. */
	uint64_t spilled, forwarded_to_home;
	uint64_t late_answers; /* complete answers after their request ended */
	uint64_t crossed;      /* answers that belong to another request */
	uint64_t keys_handed_over; /* acknowledged by another host */
	uint64_t keys_taken_over;  /* from another host, for any home */
	uint64_t keys_dropped;	   /* offered, but the table was full */
	uint32_t open, queued, keys;
	uint32_t lent, borrowed;
};

struct cq_router;

/*
 * Interface of a router to the code that drives it. cq_router_vtable() is the
 * production implementation; benchmarks compare it with others.
 */
struct cq_router_vtable {
	struct cq_router *(*create)(const struct cq_router_setup *setup);
	void (*destroy)(struct cq_router *router);
	/*
	 * Submits a request. The strings are copied; the body must stay valid
	 * until the request is answered or abandoned. The answer may be given
	 * before submit() returns. origin is NULL for requests that come from
	 * callers rather than peers.
	 */
	void (*submit)(struct cq_router *router,
		       const struct cq_request *request,
		       const struct cq_origin *origin, void *caller);
	/* The caller disconnected; it gets no answer. */
	void (*abandon)(struct cq_router *router, void *caller);
	void (*call_done)(struct cq_router *router, uint64_t call_id,
			  const struct cq_endpoint_result *result);
	/*
	 * A peer answered a forwarded request; answer is NULL if only its load
	 * was requested.
	 */
	void (*forward_done)(struct cq_router *router, uint64_t correlation,
			     const struct cq_answer *answer,
			     const struct cq_peer_load *load);
	/* Another host of the data centre asked for slots. */
	void (*slots_asked)(struct cq_router *router, uint32_t borrower,
			    uint64_t borrower_incarnation, uint32_t wanted,
			    int64_t asked_ns);
	/* Must be called only for loans that this process asked for. */
	void (*slots_lent)(struct cq_router *router, uint32_t lender,
			   uint64_t lender_incarnation, int64_t asked_ns,
			   const struct cq_slots_loan *loans, uint32_t count);
	/* Must be called only for loans that this process made. */
	void (*slots_returned)(struct cq_router *router,
			       const uint64_t *loan_ids, uint32_t count);
	void (*set_hosts)(struct cq_router *router, const struct cq_host *hosts,
			  size_t count);
	/*
	 * Must be called at least every 100 ms; deadlines are only as exact as
	 * the ticks.
	 */
	void (*tick)(struct cq_router *router);
	/* Returns idle borrowed slots at once and borrows no more. */
	void (*drain)(struct cq_router *router);
	/*
	 * Hands the kept outcomes over to other hosts before a stop. Must be
	 * called after the last answer, at least every 100 ms, until it returns
	 * true, which it does within 5 s. From the first call on, this host no
	 * longer acts as home of keys. *left is the number of own outcomes that
	 * no host has acknowledged.
	 */
	bool (*hand_over)(struct cq_router *router, uint32_t *left);
	/* Returns false if the offer is refused; do not answer it then. */
	bool (*outcomes_offered)(struct cq_router *router,
				 const struct cq_outcomes_offer *offer);
	/* A peer acknowledged the offer with this correlation. */
	void (*outcomes_taken)(struct cq_router *router, uint64_t correlation);
	void (*load)(const struct cq_router *router, struct cq_peer_load *load);
	void (*stats)(const struct cq_router *router,
		      struct cq_router_stats *stats);
};

const struct cq_router_vtable *cq_router_vtable(void);

/* The endpoint pool of a router, for display to operators. */
struct cq_endpoint_pool;
const struct cq_endpoint_pool *cq_router_pool(const struct cq_router *router);

#endif
