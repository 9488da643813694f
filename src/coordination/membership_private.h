/* State shared by the source files of the membership module. */
#ifndef COORDINATION_MEMBERSHIP_PRIVATE_H
#define COORDINATION_MEMBERSHIP_PRIVATE_H

#include <glib.h>

#include "chestnutquay/membership.h"
#include "coordination/prng.h"
#include "protocol/gen/membership.pb-c.h"

/* Indirect probes in progress for others; a new one replaces the oldest. */
#define MAX_FORWARDED_PROBES 32
/* Records in one page: the answer to a member that knows fewer members. */
#define RECORDS_PER_PAGE 32

struct record {
	struct cq_member member;
	/* Transmissions left before the record leaves the queue. */
	uint32_t transmits_left;
	/* Number of the last message that carried the record from the queue. */
	uint64_t last_message;
	int64_t suspect_deadline_ns;
	bool queued; /* in the queue of updates to piggyback */
};

/* An indirect probe that this process sends on behalf of another member. */
struct forwarded_probe {
	char requester[CQ_PEER_ADDRESS_BYTES];
	uint64_t requester_correlation;
	/* Correlation of the probe sent; 0: the entry is free. */
	uint64_t correlation;
};

struct cq_membership {
	struct cq_membership_options options;
	struct cq_membership_ops ops;
	void *ctx;
	struct cq_prng prng;
	/* Elements: struct record; the first is this process. */
	GPtrArray *records;
	GHashTable *by_id;
	GPtrArray *queue; /* records with transmissions left */
	GPtrArray *seeds; /* elements: char * */
	uint32_t live;
	uint32_t resend_cursor; /* index of the record repeated last */
	uint64_t message_count; /* number of messages filled from the queue */
	uint32_t local_cursor, remote_cursor;
	uint64_t correlation;
	uint64_t periods;
	int64_t next_period_ns;
	int64_t last_tick_ns;
	int64_t next_expiry_ns;
	/* Correlation of this period's probe; 0: answered, or none sent. */
	uint64_t probe_correlation;
	struct record *probe_target;
	/* Time to send the indirect probes; 0: already sent. */
	int64_t indirect_probe_ns;
	/*
	 * Correlation of the pending pull of a page from a member that knows
	 * more members; 0: none.
	 */
	uint64_t pull_correlation;
	uint32_t pull_count; /* pulls sent in this period */
	int64_t created_ns;
	struct forwarded_probe forwarded_probes[MAX_FORWARDED_PROBES];
	uint32_t next_forwarded_probe;
	bool left;
};

struct record *cq_membership_self_record(const struct cq_membership *m);
/* Queues the record to be piggybacked on coming messages. */
void cq_membership_enqueue(struct cq_membership *m, struct record *record);
void cq_membership_set_state(struct cq_membership *m, struct record *record,
			     enum cq_member_state state, int64_t now_ns);
/*
 * Merges a record received from another member. The higher incarnation wins,
 * then the state listed later in the enumeration. direct: the record is about
 * the sender itself.
 */
void cq_membership_merge(struct cq_membership *m, const struct cq_member *in,
			 bool direct, int64_t now_ns);
/*
 * Encodes one page of the records of all other members. The page number is
 * taken modulo the number of pages. Returns the number of records, at most
 * RECORDS_PER_PAGE.
 */
uint32_t cq_membership_encode_page(const struct cq_membership *m, uint64_t page,
				   Cq__MemberRecord *out,
				   Cq__MemberRecord **list);
/*
 * Encodes the piggybacked records: first subject unless it is NULL or alive,
 * then queued updates, then other records in round-robin order. out and list
 * have room for max + 1 records. Returns the number of records.
 */
uint32_t cq_membership_encode_updates(struct cq_membership *m,
				      Cq__MemberRecord *out,
				      Cq__MemberRecord **list,
				      const struct record *subject,
				      uint32_t max);

#endif
