/*
 * Membership: SWIM-style failure detection and dissemination.
 *
 * Each period the process probes one member, mostly of its own data centre.
 * A member that answers neither directly nor through two others becomes
 * suspect, and dead when it does not refute the suspicion in time. Changes
 * travel on probes and answers, whose size is bounded.
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

/* Later states win over earlier ones of the same incarnation. */
enum cq_member_state {
	CQ_MEMBER_ALIVE,
	CQ_MEMBER_SUSPECT, /* did not answer; still counts as live */
	CQ_MEMBER_DEAD,
	CQ_MEMBER_LEFT, /* planned stop */
};

const char *cq_member_role_string(enum cq_member_role role);
const char *cq_member_state_string(enum cq_member_state state);

struct cq_member {
	char id[CQ_MEMBER_NAME_BYTES]; /* unique in the deployment */
	char data_centre[CQ_MEMBER_NAME_BYTES];
	char address[CQ_PEER_ADDRESS_BYTES];	      /* peer listener */
	char operator_address[CQ_PEER_ADDRESS_BYTES]; /* operator listener */
	enum cq_member_role role;
	enum cq_member_state state;
	/*
	 * Starts at the process start in Unix milliseconds and grows when the
	 * member refutes a suspicion or changes its record.
	 */
	uint64_t incarnation;
	uint32_t index; /* of the host in its data centre */
	int64_t settings_revision;
	/* Epoch under which it owns its data centre; 0: does not own it. */
	int64_t owner_epoch;
	int64_t since_ns; /* when this process learned of the state */
};

struct cq_membership_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/*
	 * A member was added (before is -1) or changed its state, incarnation
	 * or ownership. May be NULL.
	 */
	void (*changed)(void *ctx, const struct cq_member *member,
			int32_t before);
	/* A message showed a member's settings revision. May be NULL. */
	void (*settings_revision)(void *ctx, const struct cq_member *member,
				  int64_t now_ns);
};

struct cq_membership_options {
	struct cq_member self;
	uint64_t seed; /* of the jitter and the choice of members */
	int64_t period_ns;
	int64_t probe_timeout_ns; /* then indirect probes are sent */
	int64_t suspicion_ns;
	int64_t dead_retention_ns; /* how long dead members are tried */
	uint32_t remote_every;	   /* periods between probes of other DCs */
	uint32_t max_updates;	   /* piggybacked records in a message */
};

struct cq_membership;

/* 1 s, 300 ms, 4 s, 2 h, 4, 8. */
void cq_membership_options_init(struct cq_membership_options *options);
struct cq_membership *
cq_membership_create(const struct cq_membership_options *options,
		     const struct cq_membership_ops *ops, void *ctx,
		     int64_t now_ns);
void cq_membership_destroy(struct cq_membership *m);

/* Replaces the addresses tried when members are unknown or dead. */
void cq_membership_set_seeds(struct cq_membership *m,
			     const char *const *addresses, uint32_t count);
void cq_membership_tick(struct cq_membership *m, int64_t now_ns);
/* PING, PING_REQ and ACK; false for a malformed message or another kind. */
bool cq_membership_receive(struct cq_membership *m,
			   const struct cq_peer_message *message,
			   int64_t now_ns, struct cq_error *err);
/* Tells a few members that this process stops; probing ends. */
void cq_membership_leave(struct cq_membership *m, int64_t now_ns);
void cq_membership_set_settings_revision(struct cq_membership *m,
					 int64_t revision);
void cq_membership_set_owner_epoch(struct cq_membership *m, int64_t epoch,
				   int64_t now_ns);

/* All known members in any state; this process is number 0. */
uint32_t cq_membership_count(const struct cq_membership *m);
const struct cq_member *cq_membership_get(const struct cq_membership *m,
					  uint32_t i);
/* NULL if unknown. */
const struct cq_member *cq_membership_find(const struct cq_membership *m,
					   const char *id);
const struct cq_member *cq_membership_self(const struct cq_membership *m);
/* Alive or suspect. */
bool cq_member_is_live(const struct cq_member *member);
uint32_t cq_membership_live_count(const struct cq_membership *m);
/* Number of live schedds of this data centre with a lower id. */
uint32_t cq_membership_rank(const struct cq_membership *m);

#endif
