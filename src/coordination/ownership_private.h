/* State shared by the parts of the ownership module. */
#ifndef COORDINATION_OWNERSHIP_PRIVATE_H
#define COORDINATION_OWNERSHIP_PRIVATE_H

#include <glib.h>

#include "chestnutquay/ownership.h"
#include "chestnutquay/retry.h"
#include "coordination/prng.h"

#define KEY_BYTES (CQ_MEMBER_NAME_BYTES + 32)

/* The value of owners/<dc>. */
struct owner_value {
	char holder[CQ_MEMBER_NAME_BYTES];
	uint64_t incarnation; /* of the holder's process */
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
	/* Deadline of our lease, counted from the send of its renewal. */
	int64_t deadline_ns;
	uint64_t sequence; /* of the last write of the key */

	/* What is known of the key. */
	bool seen;	      /* it was read at least once */
	int64_t key_revision; /* 0: absent */
	int64_t key_lease;
	int64_t known_revision;	   /* of the store when it was read */
	struct owner_value holder; /* holder "" if absent */
	int64_t last_epoch;

	/* Store calls under way; NULL: none. */
	struct cq_store_call *watch;
	struct cq_store_call *call; /* grant, put, read-back, hand-over */
	struct cq_store_call *renewal;
	struct cq_store_call *permit_call;
	int64_t renewal_sent_ns;
	int64_t next_renewal_ns;
	uint32_t renewal_failures;
	int64_t next_watch_ns;
	uint32_t watch_failures;

	/* Acquisition. */
	int64_t acquire_ns; /* earliest time; 0: not wanted */
	int64_t granted_ns; /* when the lease request was sent */
	uint32_t acquire_failures;
	bool read_back; /* the next call reads the key */

	/* Start permit. */
	int64_t permit_sent_ns;
	int64_t permit_until_ns;
	int64_t permit_next_ns; /* earliest next read after a failure */

	/* Hand-over. */
	bool stopping;
	char successor[CQ_MEMBER_NAME_BYTES];
	char peer_address[CQ_PEER_ADDRESS_BYTES];
	int64_t hand_over_deadline_ns;
	int64_t successor_lease;
	uint64_t successor_sequence;
	int64_t offered_epoch;
	int64_t next_check_ns;
};

int64_t cq_ownership_clock_ns(const struct cq_ownership *o);
void cq_ownership_set_state(struct cq_ownership *o,
			    enum cq_ownership_state state);
/* Takes a read of the key; entry NULL: absent. */
void cq_ownership_observe(struct cq_ownership *o,
			  const struct cq_store_entry *entry, int64_t revision);
/* Whether the observed key names this process. */
bool cq_ownership_key_is_ours(const struct cq_ownership *o);
/* The key names this process under its lease: it owns the data centre. */
void cq_ownership_become_owner(struct cq_ownership *o, int64_t now_ns);
/* Forgets the lease and goes back to following the key. */
void cq_ownership_stand_by(struct cq_ownership *o, int64_t now_ns);
/* The text of the key's value; freed with free(). */
char *cq_ownership_value(const char *holder, uint64_t incarnation,
			 uint64_t sequence);
/* Hand-over part of the tick. */
void cq_ownership_hand_over_tick(struct cq_ownership *o, int64_t now_ns);

#endif
