/* State shared by the source files of the ownership module. */
#ifndef COORDINATION_OWNERSHIP_PRIVATE_H
#define COORDINATION_OWNERSHIP_PRIVATE_H

#include <glib.h>

#include "chestnutquay/ownership.h"
#include "chestnutquay/retry.h"
#include "coordination/prng.h"

#define KEY_BYTES (CQ_MEMBER_NAME_BYTES + 32)

/* The decoded value of the key owners/<dc>. */
struct owner_value {
	char holder[CQ_MEMBER_NAME_BYTES];
	uint64_t incarnation; /* incarnation of the holder's process */
	uint64_t sequence;
};

struct cq_ownership {
	struct cq_ownership_options options;
	struct cq_ownership_ops ops;
	void *ctx;
	struct cq_membership *membership;
	const struct cq_store *store;
	struct cq_prng prng;
	struct cq_retry *retry;
	char id[CQ_MEMBER_NAME_BYTES];
	char data_centre[CQ_MEMBER_NAME_BYTES];
	uint64_t process_incarnation;
	char key[KEY_BYTES];
	char settings_key[KEY_BYTES];

	enum cq_ownership_state state;
	int64_t epoch;
	int64_t lease_id;
	/*
	 * Expiry of this process's lease, counted from the time at which the
	 * last confirmed grant or renewal was sent.
	 */
	int64_t deadline_ns;
	uint64_t sequence; /* sequence number of the last write of the key */

	/* The last observed state of the key. */
	bool key_known;	      /* the key has been read and may be watched */
	int64_t key_revision; /* 0: the key is absent */
	int64_t key_lease;
	/* Store revision at which the key was read. */
	int64_t observed_revision;
	struct owner_value holder; /* holder is "" if the key is absent */
	int64_t last_epoch;

	/* Pending store calls; NULL: none. */
	struct cq_store_call *watch;
	/* Call for a grant, a put, a read-back or the hand-over. */
	struct cq_store_call *call;
	struct cq_store_call *renewal;
	struct cq_store_call *permit_call;
	int64_t renewal_sent_ns;
	int64_t next_renewal_ns;
	uint32_t renewal_failures;
	int64_t next_watch_ns;
	uint32_t watch_failures;

	/* State of an acquisition. */
	/* Earliest time of the next attempt; 0: none planned. */
	int64_t acquire_ns;
	int64_t grant_sent_ns; /* time at which the lease request was sent */
	uint32_t acquire_failures;
	/*
	 * The next call reads the key to find out whether a write took effect.
	 */
	bool read_back;

	/* State of the start permit. */
	int64_t permit_sent_ns;
	int64_t permit_deadline_ns;
	/* Earliest time of the next read after a denial or failure. */
	int64_t next_permit_read_ns;

	/* State of a hand-over. */
	bool stopping;
	char successor[CQ_MEMBER_NAME_BYTES];
	char peer_address[CQ_PEER_ADDRESS_BYTES];
	int64_t hand_over_deadline_ns;
	int64_t successor_lease;
	uint64_t successor_sequence;
	int64_t offered_epoch;
	int64_t next_resend_ns;
};

int64_t cq_ownership_clock_ns(const struct cq_ownership *o);
void cq_ownership_set_state(struct cq_ownership *o,
			    enum cq_ownership_state state);
/*
 * Records the key as read at the store revision; entry NULL: the key is absent.
 */
void cq_ownership_observe(struct cq_ownership *o,
			  const struct cq_store_entry *entry, int64_t revision);
/* Whether the observed key names this process and is attached to its lease. */
bool cq_ownership_holds_key(const struct cq_ownership *o);
/* Enters the state OWNER; the key must name this process under its lease. */
void cq_ownership_become_owner(struct cq_ownership *o, int64_t now_ns);
/*
 * Drops the lease and returns to watching the key, or stops after a hand-over.
 */
void cq_ownership_stand_by(struct cq_ownership *o, int64_t now_ns);
/* Encodes the value of the key as JSON; the caller frees it with free(). */
char *cq_ownership_encode_value(const char *holder, uint64_t incarnation,
				uint64_t sequence);
/* Drives a hand-over: resends messages and enforces its deadline. */
void cq_ownership_hand_over_tick(struct cq_ownership *o, int64_t now_ns);

#endif
