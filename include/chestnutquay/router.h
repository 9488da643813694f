/*
 * The request path of one entry host: admission, choice of endpoints, retries,
 * keyed requests, spill to other data centres, slot lending, and an accurate
 * word on whether a refused request ran.
 *
 * A state machine: inputs are callers' requests, completions, peers' messages
 * and ticks; outputs go through struct cq_router_ops. Every submitted request
 * gets exactly one answer, unless its caller abandons it.
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
	/* Ends with cq_router_call_done(), never inside the call. */
	void (*call)(void *ctx, uint64_t call_id,
		     const struct cq_endpoint_call *call);
	void (*probe)(void *ctx, uint64_t call_id, const char *address,
		      const char *request_id, uint32_t timeout_ms);
	/* The answer is valid during the call. */
	void (*answer)(void *ctx, void *caller, const struct cq_answer *answer);
	/* Returns false if nothing was sent. */
	bool (*forward)(void *ctx, const char *address, uint64_t correlation,
			const struct cq_forward *forward);
	void (*ask_slots)(void *ctx, const char *address, uint32_t wanted,
			  int64_t asked_ns);
	/* asked_ns and the incarnation are those of the question. */
	void (*lend_slots)(void *ctx, const char *address, int64_t asked_ns,
			   uint64_t borrower_incarnation,
			   const struct cq_slots_loan *loans, uint32_t count);
	void (*return_slots)(void *ctx, const char *address,
			     uint64_t lender_incarnation,
			     const uint64_t *loan_ids, uint32_t count);
	/* Answered with outcomes_taken() of the same correlation. */
	void (*offer_outcomes)(void *ctx, const char *address,
			       uint64_t correlation,
			       const struct cq_outcomes_offer *offer);
};

#define CQ_ROUTER_MAX_REMOTES 64
#define CQ_ROUTER_MAX_CENTRES 64

/* What the router needs to know about entry hosts. */
struct cq_router_members_ops {
	/* Address of the holder of an index of a data centre; NULL: none. */
	const char *(*peer)(void *ctx, const char *data_centre, uint32_t index);
	/* False if it is dead or this host is cut off from it. */
	bool (*alive)(void *ctx, const char *data_centre, uint32_t index);
	/*
	 * All data centres of the deployment, this one included; the same on
	 * every host. The names stay valid.
	 */
	uint32_t (*data_centres)(void *ctx, struct cq_data_centre *centres,
				 uint32_t max);
	/*
	 * This host still holds its own index: it may use the index's slots
	 * and act as home of keys. Asked before every use. False once another
	 * host may have taken the index.
	 */
	bool (*holds_index)(void *ctx, int64_t now_ns);
	/* Entry hosts of other data centres that are reachable. */
	uint32_t (*remotes)(void *ctx, const char **addresses, uint32_t max);
};

/* What the router needs to know from the settings. */
struct cq_router_policy_ops {
	bool (*workspace)(void *ctx, const char *name, uint32_t *weight);
	/* Rank 0 is the most urgent; below CQ_ADMISSION_MAX_RANKS. */
	bool (*class_rank)(void *ctx, const char *name, uint32_t *rank);
};

struct cq_router_options {
	const char *id; /* unique for the process; prefix of request ids */
	/*
	 * Start time of the process. Correlations begin with it, so that an
	 * answer to a question of an earlier process matches nothing.
	 */
	uint64_t incarnation;
	const char *data_centre;
	uint32_t index, index_count;
	uint32_t max_queued;
	uint64_t max_queued_bytes;
	uint32_t call_max_ms;	/* longest time an endpoint may work */
	uint32_t share_hold_ms; /* own slots are not used this long */
	uint32_t loan_ms;
	uint32_t max_keys;
	uint64_t max_key_bytes;
	uint32_t max_kept_answer_bytes;
	uint64_t seed;
	/* Peer time; spill must win at least this much. */
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
	uint64_t spilled, forwarded_to_home;
	uint64_t late_answers; /* whole answers that nobody waited for */
	uint64_t crossed;
	uint64_t keys_handed_over; /* taken by another host on a stop */
	uint64_t keys_taken_over;  /* from another host, own or kept */
	uint64_t keys_dropped;	   /* offered, but there was no room */
	uint32_t open, queued, keys;
	uint32_t lent, borrowed;
};

struct cq_router;

/*
 * Interface of a router to its driver. The scheduler's own implementation is
 * cq_router_vtable(); benchmarks compare it with others.
 */
struct cq_router_vtable {
	struct cq_router *(*create)(const struct cq_router_setup *setup);
	void (*destroy)(struct cq_router *router);
	/*
	 * Takes a request. The strings are copied; the body must stay valid
	 * until the answer or the abandonment. The answer may come inside the
	 * call. origin is NULL for callers.
	 */
	void (*submit)(struct cq_router *router,
		       const struct cq_request *request,
		       const struct cq_origin *origin, void *caller);
	/* The caller went away; it gets no answer. */
	void (*abandon)(struct cq_router *router, void *caller);
	void (*call_done)(struct cq_router *router, uint64_t call_id,
			  const struct cq_endpoint_result *result);
	/* answer is NULL if only the load was asked for. */
	void (*forward_done)(struct cq_router *router, uint64_t correlation,
			     const struct cq_answer *answer,
			     const struct cq_peer_load *load);
	void (*slots_asked)(struct cq_router *router, uint32_t borrower,
			    uint64_t borrower_incarnation, uint32_t wanted,
			    int64_t asked_ns);
	/* Only for loans whose question came from this process. */
	void (*slots_lent)(struct cq_router *router, uint32_t lender,
			   uint64_t lender_incarnation, int64_t asked_ns,
			   const struct cq_slots_loan *loans, uint32_t count);
	/* Only for loans of this process. */
	void (*slots_returned)(struct cq_router *router,
			       const uint64_t *loan_ids, uint32_t count);
	void (*set_hosts)(struct cq_router *router, const struct cq_host *hosts,
			  size_t count);
	/* At least every 100 ms; deadlines are as exact as the ticks. */
	void (*tick)(struct cq_router *router);
	/* Returns idle loans at once and borrows no more. */
	void (*drain)(struct cq_router *router);
	/*
	 * Hands the outcomes of keys over; to be called after the last answer,
	 * every 100 ms at least, until it returns true, which it does within
	 * 5 s. From the first call on, this host is no home of keys. *left is
	 * the number of own outcomes that nobody has taken.
	 */
	bool (*hand_over)(struct cq_router *router, uint32_t *left);
	/* Returns false if the offer is refused, which is not answered. */
	bool (*outcomes_offered)(struct cq_router *router,
				 const struct cq_outcomes_offer *offer);
	void (*outcomes_taken)(struct cq_router *router, uint64_t correlation);
	void (*load)(const struct cq_router *router, struct cq_peer_load *load);
	void (*stats)(const struct cq_router *router,
		      struct cq_router_stats *stats);
};

const struct cq_router_vtable *cq_router_vtable(void);

/* Endpoints as this router sees them, for operators. */
struct cq_endpoint_pool;
const struct cq_endpoint_pool *cq_router_pool(const struct cq_router *router);

#endif
