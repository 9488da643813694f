/*
 * Shares of endpoint slots among the entry hosts of a data centre.
 *
 * Slot k of an endpoint belongs to host index (hash(endpoint) + k) mod N, so
 * every host computes the same partition without a message, and a host may use
 * its own share whatever it can reach. Unused slots are lent to other hosts of
 * the data centre for a limited time.
 *
 * Safety of a loan: the borrower counts the time in which it may start work
 * from the moment it sent the question; the lender counts from the later
 * moment of its answer, and adds the longest time a call may take. The lender
 * therefore uses a slot again only after the borrower's last call has ended,
 * whether or not any message arrives.
 */
#ifndef CHESTNUTQUAY_SLOTS_H
#define CHESTNUTQUAY_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/peer_request.h"

struct cq_slots;
/* An endpoint; valid from set_endpoint to remove_endpoint. */
struct cq_slots_endpoint;

struct cq_slots_options {
	uint32_t index;
	uint32_t index_count;
	int64_t loan_ns;     /* the borrower may start calls this long */
	int64_t call_max_ns; /* longest time a call holds its slot */
	/*
	 * Own slots are not used before this time: calls of the previous
	 * holder of the index may still be running.
	 */
	int64_t usable_from_ns;
};

/* A slot in use: 0 for an own one, otherwise the loan's local number. */
struct cq_slots_grant {
	uint64_t borrowed;
};

struct cq_slots *cq_slots_create(const struct cq_slots_options *options);
void cq_slots_destroy(struct cq_slots *slots);

/* Slots of an endpoint that belong to an index. */
uint32_t cq_slots_share(const char *endpoint, uint32_t capacity, uint32_t index,
			uint32_t index_count);

/*
 * Whether this host still holds its index. Without it, no own slot is taken
 * or lent; calls under way go on.
 */
void cq_slots_set_holder(struct cq_slots *slots, bool holds_index);

/* Adds an endpoint or changes its capacity. */
struct cq_slots_endpoint *cq_slots_set_endpoint(struct cq_slots *slots,
						const char *endpoint,
						uint32_t capacity);
/* No slot of the endpoint may be in use by this host. */
void cq_slots_remove_endpoint(struct cq_slots *slots,
			      struct cq_slots_endpoint *endpoint);

/* Slots that could be taken now. */
uint32_t cq_slots_free(const struct cq_slots *slots,
		       const struct cq_slots_endpoint *endpoint,
		       int64_t now_ns);
/* Own free slots and unused loans of all endpoints. */
uint32_t cq_slots_free_total(const struct cq_slots *slots, int64_t now_ns);
/* Own slots that are not lent, whether in use or not, and live loans. */
uint32_t cq_slots_usable_total(const struct cq_slots *slots, int64_t now_ns);
uint32_t cq_slots_in_use(const struct cq_slots_endpoint *endpoint);

/* Takes a slot, borrowed ones first. Returns false if there is none. */
bool cq_slots_take(struct cq_slots *slots, struct cq_slots_endpoint *endpoint,
		   int64_t now_ns, struct cq_slots_grant *grant);
/* The call has ended: the endpoint is known to be no longer busy with it. */
void cq_slots_put(struct cq_slots *slots, struct cq_slots_endpoint *endpoint,
		  const struct cq_slots_grant *grant);

/*
 * Lender: chooses up to wanted idle slots, keeping a quarter of the idle ones
 * and at least one. Returns how many loans were written.
 */
uint32_t cq_slots_lend(struct cq_slots *slots, uint32_t wanted, int64_t now_ns,
		       struct cq_slots_loan *loans);
/* Lender: a loan came back. Unknown ids are ignored. */
void cq_slots_returned(struct cq_slots *slots, uint64_t loan_id);

/* Borrower: loans from a host asked at asked_ns. Late ones are not used. */
void cq_slots_borrow(struct cq_slots *slots, uint32_t lender,
		     uint64_t lender_incarnation,
		     const struct cq_slots_loan *loans, uint32_t count,
		     int64_t asked_ns);
/*
 * Borrower: takes out loans of one lender that are idle and, unless all is
 * set, past their time to start. The caller sends them back. Sets the lender;
 * returns the number of ids, 0 when there is nothing to return.
 */
uint32_t cq_slots_collect_returns(struct cq_slots *slots, bool all,
				  int64_t now_ns, uint32_t *lender,
				  uint64_t *lender_incarnation,
				  uint64_t *loan_ids);

/* Lender: takes back loans whose deadline passed. */
void cq_slots_tick(struct cq_slots *slots, int64_t now_ns);

uint32_t cq_slots_lent(const struct cq_slots *slots);
uint32_t cq_slots_borrowed(const struct cq_slots *slots);

#endif
