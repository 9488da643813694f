/*
 * Partition of endpoint slots among the entry hosts of a data centre, and
 * lending of unused slots. A slot allows one call at a time to its endpoint.
 *
 * Slot k of an endpoint belongs to the host with index
 * (hash(endpoint) + k) mod N, so every host computes the same partition without
 * exchanging messages, and a host may use its own share even if it can reach no
 * other host. Unused slots are lent to other hosts of the data centre for a
 * limited time.
 *
 * Safety of a loan: the borrower may start calls for loan_ns after it sent the
 * loan request. The lender counts loan_ns from its later answer and adds the
 * longest time a call may take. It therefore reuses the slot only after the
 * borrower's last call has ended, even if messages are lost.
 */
#ifndef CHESTNUTQUAY_SLOTS_H
#define CHESTNUTQUAY_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/peer_request.h"

struct cq_slots;
/*
 * Slots of one endpoint; valid from cq_slots_set_endpoint() to
 * cq_slots_remove_endpoint().
 */
struct cq_slots_endpoint;

struct cq_slots_options {
	uint32_t index; /* of this host, below index_count */
	uint32_t index_count;
	int64_t loan_ns;     /* time in which a borrower may start calls */
	int64_t call_max_ns; /* longest time a call holds its slot */
	/*
	 * Own slots are not used before this time, because calls of the
	 * previous holder of the index may still be running.
	 */
	int64_t usable_from_ns;
};

/* A slot in use. */
struct cq_slots_grant {
	/* 0: an own slot; otherwise this host's number of the loan. */
	uint64_t loan_local_id;
};

struct cq_slots *cq_slots_create(const struct cq_slots_options *options);
void cq_slots_destroy(struct cq_slots *slots);

/* Number of slots of an endpoint that belong to an index. */
uint32_t cq_slots_share(const char *endpoint, uint32_t capacity, uint32_t index,
			uint32_t index_count);

/*
 * Sets whether this host still holds its index. A host that does not hold its
 * index neither takes nor lends own slots; its open calls continue.
 */
void cq_slots_set_holds_index(struct cq_slots *slots, bool holds_index);

/* Adds an endpoint or changes its capacity. */
struct cq_slots_endpoint *cq_slots_set_endpoint(struct cq_slots *slots,
						const char *endpoint,
						uint32_t capacity);
/* Removes an endpoint; none of its slots may be in use by this host. */
void cq_slots_remove_endpoint(struct cq_slots *slots,
			      struct cq_slots_endpoint *endpoint);

/* Number of slots of the endpoint that this host could take now. */
uint32_t cq_slots_free(const struct cq_slots *slots,
		       const struct cq_slots_endpoint *endpoint,
		       int64_t now_ns);
/* Number of own free slots and unused borrowed slots of all endpoints. */
uint32_t cq_slots_free_total(const struct cq_slots *slots, int64_t now_ns);
/* Number of own slots that are not lent and of borrowed slots, used or free. */
uint32_t cq_slots_usable_total(const struct cq_slots *slots, int64_t now_ns);
/* Number of slots of the endpoint that this host uses, own and borrowed. */
uint32_t cq_slots_in_use(const struct cq_slots_endpoint *endpoint);

/* Takes a free slot, borrowed ones first. Returns false if none is free. */
bool cq_slots_take(struct cq_slots *slots, struct cq_slots_endpoint *endpoint,
		   int64_t now_ns, struct cq_slots_grant *grant);
/* Releases a slot; the endpoint must no longer be working on the call. */
void cq_slots_put(struct cq_slots *slots, struct cq_slots_endpoint *endpoint,
		  const struct cq_slots_grant *grant);

/*
 * Lender: lends up to wanted idle slots, but keeps a quarter of the idle slots
 * and at least one. Returns the number of loans written to loans, which has
 * room for CQ_SLOTS_MAX_LOANS.
 */
uint32_t cq_slots_lend(struct cq_slots *slots, uint32_t wanted, int64_t now_ns,
		       struct cq_slots_loan *loans);
/* Lender: ends a loan that the borrower returned. Ignores unknown ids. */
void cq_slots_returned(struct cq_slots *slots, uint64_t loan_id);

/*
 * Borrower: adds loans that answer a loan request sent at asked_ns. Loans that
 * arrive after their time are added but not used.
 */
void cq_slots_borrow(struct cq_slots *slots, uint32_t lender,
		     uint64_t lender_incarnation,
		     const struct cq_slots_loan *loans, uint32_t count,
		     int64_t asked_ns);
/*
 * Borrower: removes idle loans of one lender that have expired or whose
 * endpoint was removed; with all set, every idle loan of that lender. The
 * caller has to return them to *lender. Returns the number of ids, at most
 * CQ_SLOTS_MAX_LOANS, or 0 if there is nothing to return.
 */
uint32_t cq_slots_collect_returns(struct cq_slots *slots, bool all,
				  int64_t now_ns, uint32_t *lender,
				  uint64_t *lender_incarnation,
				  uint64_t *loan_ids);

/* Lender: ends loans whose deadline has passed. */
void cq_slots_tick(struct cq_slots *slots, int64_t now_ns);

/* Number of slots that are lent to, or borrowed from, other hosts. */
uint32_t cq_slots_lent(const struct cq_slots *slots);
uint32_t cq_slots_borrowed(const struct cq_slots *slots);

#endif
