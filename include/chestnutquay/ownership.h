/*
 * Ownership of a data centre: a store lease with a fencing epoch.
 *
 * The key owners/<dc> is attached to the owner's lease. The epoch is the
 * revision of that key. The owner may send commands to workers until its
 * deadline, which counts from the time at which the last confirmed lease
 * renewal was sent.
 */
#ifndef CHESTNUTQUAY_OWNERSHIP_H
#define CHESTNUTQUAY_OWNERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/error.h"
#include "chestnutquay/membership.h"
#include "chestnutquay/peer_net.h"
#include "chestnutquay/store.h"

#define CQ_OWNERSHIP_PREFIX "owners/"

enum cq_ownership_state {
	CQ_OWNERSHIP_STANDBY, /* watches the key, or waits to acquire it */
	/* Calls for the lease and the key are in progress. */
	CQ_OWNERSHIP_ACQUIRING,
	CQ_OWNERSHIP_OWNER,
	/* Deadline has passed; renewal is still attempted. */
	CQ_OWNERSHIP_LAPSED,
	/* Hands over for a planned stop; sends no commands. */
	CQ_OWNERSHIP_HANDING,
	/* Is the chosen successor in a hand-over, with a lease of its own. */
	CQ_OWNERSHIP_SUCCEEDING,
	CQ_OWNERSHIP_STOPPED,
};

const char *cq_ownership_state_string(enum cq_ownership_state state);

struct cq_ownership_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/*
	 * Called when the state or the epoch changed; the epoch is 0 unless the
	 * state is OWNER.
	 */
	void (*changed)(void *ctx, enum cq_ownership_state state,
			int64_t epoch);
	/*
	 * Called when the read for a start permit has ended: the permit was
	 * granted or denied. May be NULL.
	 */
	void (*permit)(void *ctx, bool granted);
};

struct cq_ownership_options {
	/* Clock for call completions and Unix time. */
	const struct cq_clock *clock;
	uint64_t seed;
	uint32_t lease_ms;
	int64_t renew_interval_ns;
	/* The owner stops commanding this long before its lease can expire. */
	int64_t margin_ns;
	uint32_t call_timeout_ms;
	uint32_t watch_wait_ms;
	int64_t permit_ns; /* validity period of a start permit */
	/* This many schedds of lowest id watch the key. */
	uint32_t max_candidates;
	int64_t takeover_jitter_ns;
	/*
	 * Time limit of a hand-over, after which the owner revokes its lease.
	 */
	int64_t hand_over_timeout_ns;
};

struct cq_ownership;

/*
 * Defaults from lease_ms on, in the order of the fields:
 * 5 s, 1 s, 500 ms, 2 s, 2 s, 2 s, 3, 100 ms, 2 s.
 */
void cq_ownership_options_init(struct cq_ownership_options *options);
/*
 * The membership and the store must outlive the object. The membership's own
 * member is the candidate for ownership.
 */
struct cq_ownership *cq_ownership_create(
	const struct cq_ownership_options *options,
	struct cq_membership *membership, const struct cq_store *store,
	const struct cq_ownership_ops *ops, void *ctx, int64_t now_ns);
void cq_ownership_destroy(struct cq_ownership *o);

void cq_ownership_tick(struct cq_ownership *o, int64_t now_ns);
/* Handles HANDOVER messages. */
bool cq_ownership_receive(struct cq_ownership *o,
			  const struct cq_peer_message *message, int64_t now_ns,
			  struct cq_error *err);

enum cq_ownership_state cq_ownership_state(const struct cq_ownership *o);
/* Returns 0 unless the state is OWNER. */
int64_t cq_ownership_epoch(const struct cq_ownership *o);
/* Last epoch observed for the data centre; 0: none. */
int64_t cq_ownership_last_epoch(const struct cq_ownership *o);
/* Id of the last observed holder of the key; "" if there is none. */
const char *cq_ownership_holder(const struct cq_ownership *o);
/*
 * Whether a command may be sent now; call it immediately before each command to
 * a worker.
 */
bool cq_ownership_may_command(const struct cq_ownership *o, int64_t now_ns);
/* Time until which commands are allowed; 0 unless the state is OWNER. */
int64_t cq_ownership_deadline_ns(const struct cq_ownership *o);
/*
 * Whether a task may be started now. If so, *not_after_unix_ms is set to the
 * time after which the worker must refuse the start. If there is no valid
 * permit, or the permit is about to expire, the data centre's state is read
 * from the store; the permit callback reports the result.
 */
bool cq_ownership_start_permit(struct cq_ownership *o, int64_t now_ns,
			       int64_t *not_after_unix_ms);
/*
 * Hands the data centre over for a planned stop. Call it when no command is in
 * flight; no command may be sent afterwards. successor is a member id, or NULL
 * for the alive schedd of lowest id. The final state is STOPPED.
 */
void cq_ownership_hand_over(struct cq_ownership *o, const char *successor,
			    int64_t now_ns);

#endif
