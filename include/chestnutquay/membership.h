/*
 * Membership: SWIM-style failure detection and dissemination.
 *
 * In each period the process probes one member, usually of its own data centre.
 * A member that answers neither the direct probe nor the indirect probes
 * through two other members becomes suspect, and then dead if it does not
 * refute the suspicion in time. Membership changes are piggybacked on probes
 * and acknowledgements, whose size is bounded.
 */
#ifndef CHESTNUTQUAY_MEMBERSHIP_H
#define CHESTNUTQUAY_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"
#include "chestnutquay/peer_net.h"

#define CQ_MEMBER_NAME_BYTES 48

enum cq_member_role {
	CQ_ROLE_ENTRYD,
	CQ_ROLE_SCHEDD,
};

/* Within one incarnation, a state listed later overrides an earlier one. */
enum cq_member_state {
	CQ_MEMBER_ALIVE,
	CQ_MEMBER_SUSPECT, /* did not answer a probe; still counts as live */
	CQ_MEMBER_DEAD,
	CQ_MEMBER_LEFT, /* announced a planned stop */
};

const char *cq_member_role_string(enum cq_member_role role);
const char *cq_member_state_string(enum cq_member_state state);

struct cq_member {
	char id[CQ_MEMBER_NAME_BYTES]; /* unique within the deployment */
	char data_centre[CQ_MEMBER_NAME_BYTES];
	/* Address of the peer listener. */
	char address[CQ_PEER_ADDRESS_BYTES];
	/* Address of the operator listener. */
	char operator_address[CQ_PEER_ADDRESS_BYTES];
	enum cq_member_role role;
	enum cq_member_state state;
	/*
	 * The initial value is the start time of the process in Unix
	 * milliseconds. It is increased when the member refutes a suspicion or
	 * changes its record.
	 */
	uint64_t incarnation;
	uint32_t index; /* index of the host within its data centre */
	int64_t settings_revision;
	/*
	 * Epoch under which the member owns its data centre; 0: not the owner.
	 */
	int64_t owner_epoch;
	int64_t since_ns; /* when this process learned of the state */
};

struct cq_membership_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/*
	 * Called when a member was added (before is -1) or changed its state,
	 * incarnation or ownership; before is the previous state. May be NULL.
	 */
	void (*changed)(void *ctx, const struct cq_member *member,
			int32_t before);
	/*
	 * Called when a message carried a member's settings revision. May be
	 * NULL.
	 */
	void (*settings_revision)(void *ctx, const struct cq_member *member,
				  int64_t now_ns);
};

struct cq_membership_options {
	struct cq_member self;
	uint64_t seed; /* seed for the jitter and the choice of members */
	int64_t period_ns;
	/* Wait for an answer before indirect probes are sent. */
	int64_t probe_timeout_ns;
	int64_t suspicion_ns;
	/* How long a dead member is kept and reconnection to it is tried. */
	int64_t dead_retention_ns;
	/* One in this many periods probes another data centre. */
	uint32_t remote_probe_periods;
	/* Limit of piggybacked records in a message. */
	uint32_t max_updates;
};

struct cq_membership;

/*
 * Defaults from period_ns on, in the order of the fields:
 * 1 s, 300 ms, 4 s, 2 h, 4, 8.
 */
void cq_membership_options_init(struct cq_membership_options *options);
struct cq_membership *
cq_membership_create(const struct cq_membership_options *options,
		     const struct cq_membership_ops *ops, void *ctx,
		     int64_t now_ns);
void cq_membership_destroy(struct cq_membership *m);

/*
 * Replaces the seed addresses, which are probed while no member is known at
 * them.
 */
void cq_membership_set_seeds(struct cq_membership *m,
			     const char *const *addresses, uint32_t count);
void cq_membership_tick(struct cq_membership *m, int64_t now_ns);
/*
 * Handles PING, PING_REQ and ACK messages. Returns false and sets err for a
 * malformed message or another kind.
 */
bool cq_membership_receive(struct cq_membership *m,
			   const struct cq_peer_message *message,
			   int64_t now_ns, struct cq_error *err);
/* Announces to a few members that this process stops, and ends probing. */
void cq_membership_leave(struct cq_membership *m, int64_t now_ns);
void cq_membership_set_settings_revision(struct cq_membership *m,
					 int64_t revision);
void cq_membership_set_owner_epoch(struct cq_membership *m, int64_t epoch,
				   int64_t now_ns);

/* Number of known members in any state. Member 0 is this process. */
uint32_t cq_membership_count(const struct cq_membership *m);
const struct cq_member *cq_membership_get(const struct cq_membership *m,
					  uint32_t i);
/* Returns NULL if the member is unknown. */
const struct cq_member *cq_membership_find(const struct cq_membership *m,
					   const char *id);
const struct cq_member *cq_membership_self(const struct cq_membership *m);
/* Whether the member is alive or suspect. */
bool cq_member_is_live(const struct cq_member *member);
uint32_t cq_membership_live_count(const struct cq_membership *m);
/*
 * Number of live schedds in this data centre whose id is lower than that of
 * this process.
 */
uint32_t cq_membership_schedd_rank(const struct cq_membership *m);

#endif
