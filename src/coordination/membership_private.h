/* State shared by the two halves of the membership module. */
#ifndef COORDINATION_MEMBERSHIP_PRIVATE_H
#define COORDINATION_MEMBERSHIP_PRIVATE_H

#include <glib.h>

#include "chestnutquay/membership.h"
#include "coordination/prng.h"
#include "protocol/gen/membership.pb-c.h"

#define MAX_RELAYED 32
/* Records in an answer to a member that knows fewer members: a page. */
#define JOIN_UPDATES 32

struct record {
	struct cq_member member;
	uint32_t transmits; /* how often it is still to be piggybacked */
	uint64_t message;   /* number of the last one that carried it as news */
	int64_t suspect_deadline_ns;
	bool queued;
};

/* A probe made on behalf of another member. */
struct relayed_probe {
	char requester[CQ_PEER_ADDRESS_BYTES];
	uint64_t requester_correlation;
	uint64_t correlation; /* 0: free */
};

struct cq_membership {
	struct cq_membership_options options;
	struct cq_membership_ops ops;
	void *ctx;
	struct cq_prng prng;
	GPtrArray *records; /* of struct record; this process first */
	GHashTable *by_id;
	GPtrArray *queue; /* records with transmits left */
	GPtrArray *seeds; /* of char * */
	uint32_t live;
	uint32_t rotation; /* next record to repeat */
	uint64_t messages; /* that carried news */
	uint32_t local_cursor, remote_cursor;
	uint64_t correlation;
	uint64_t periods;
	int64_t next_period_ns;
	int64_t last_tick_ns;
	int64_t next_expiry_ns;
	/* The probe of this period; 0: answered or none. */
	uint64_t probe_correlation;
	struct record *probe_target;
	int64_t indirect_ns; /* time of the indirect probes; 0: sent */
	/* The pull of a page from a member that knows more; 0: none. */
	uint64_t pull_correlation;
	uint32_t pulls; /* in this period */
	int64_t created_ns;
	struct relayed_probe relayed[MAX_RELAYED];
	uint32_t relayed_next;
	bool left;
};

struct record *cq_membership_self_record(const struct cq_membership *m);
/* Marks the record as news to be piggybacked. */
void cq_membership_enqueue(struct cq_membership *m, struct record *record);
void cq_membership_set_state(struct cq_membership *m, struct record *record,
			     enum cq_member_state state, int64_t now_ns);
/*
 * Takes what another member says about a member. The higher incarnation wins,
 * then the later state. direct: the member says it about itself.
 */
void cq_membership_merge(struct cq_membership *m, const struct cq_member *in,
			 bool direct, int64_t now_ns);
/*
 * Fills one page of all records but that of this process; pages are counted
 * modulo their number. Returns the number of records, at most JOIN_UPDATES.
 */
uint32_t cq_membership_take_page(const struct cq_membership *m, uint64_t page,
				 Cq__MemberRecord *out,
				 Cq__MemberRecord **list);
/*
 * Fills the piggybacked records: about unless it is alive, then news, then old
 * ones in turn. out and list hold max + 1 records. Returns their number.
 */
uint32_t cq_membership_take_updates(struct cq_membership *m,
				    Cq__MemberRecord *out,
				    Cq__MemberRecord **list,
				    const struct record *about, uint32_t max);

#endif
