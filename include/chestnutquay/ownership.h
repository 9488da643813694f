/*
 * Ownership of a data centre: a store lease with a fencing epoch.
 *
 * The key owners/<dc> exists under the owner's lease. The epoch is the
 * revision of that key. The owner may command until its deadline, which is
 * counted from the moment the last confirmed renewal was sent.
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
	CQ_OWNERSHIP_STANDBY,	/* follows the key or waits to acquire */
	CQ_OWNERSHIP_ACQUIRING, /* lease and key calls are on their way */
	CQ_OWNERSHIP_OWNER,
	CQ_OWNERSHIP_LAPSED,	 /* deadline passed; renewal is still tried */
	CQ_OWNERSHIP_HANDING,	 /* planned stop; commands nothing */
	CQ_OWNERSHIP_SUCCEEDING, /* named successor; holds its own lease */
	CQ_OWNERSHIP_STOPPED,
};

const char *cq_ownership_state_string(enum cq_ownership_state state);

struct cq_ownership_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/* The state or the epoch changed; epoch 0 unless owner. */
	void (*changed)(void *ctx, enum cq_ownership_state state,
			int64_t epoch);
	/* An asked-for start permit arrived or was denied. May be NULL. */
	void (*permit)(void *ctx, bool granted);
};

struct cq_ownership_options {
	const struct cq_clock *clock; /* completions and Unix time */
	uint64_t seed;
	uint32_t lease_ms;
	int64_t renew_interval_ns;
	int64_t margin_ns; /* the owner stops this long before its deadline */
	uint32_t call_timeout_ms;
	uint32_t watch_wait_ms;
	int64_t permit_ns;   /* validity of a start permit */
	uint32_t candidates; /* schedds of lowest id that watch the key */
	int64_t takeover_jitter_ns;
	int64_t hand_over_timeout_ns; /* then the lease is revoked */
};

struct cq_ownership;

/* 5 s, 1 s, 500 ms, 2 s, 2 s, 2 s, 3, 100 ms, 2 s. */
void cq_ownership_options_init(struct cq_ownership_options *options);
/* membership outlives the object; its self is the candidate. */
struct cq_ownership *cq_ownership_create(
	const struct cq_ownership_options *options,
	struct cq_membership *membership, const struct cq_store *store,
	const struct cq_ownership_ops *ops, void *ctx, int64_t now_ns);
void cq_ownership_destroy(struct cq_ownership *o);

void cq_ownership_tick(struct cq_ownership *o, int64_t now_ns);
/* HANDOVER. */
bool cq_ownership_receive(struct cq_ownership *o,
			  const struct cq_peer_message *message, int64_t now_ns,
			  struct cq_error *err);

enum cq_ownership_state cq_ownership_state(const struct cq_ownership *o);
/* 0 unless the state is OWNER. */
int64_t cq_ownership_epoch(const struct cq_ownership *o);
/* Last epoch seen for the data centre; 0: none. */
int64_t cq_ownership_last_epoch(const struct cq_ownership *o);
/* Id of the holder last seen, "" if none. */
const char *cq_ownership_holder(const struct cq_ownership *o);
/* To be asked immediately before each command to a worker. */
bool cq_ownership_may_command(const struct cq_ownership *o, int64_t now_ns);
/* End of the time in which commands are allowed; 0 unless owner. */
int64_t cq_ownership_deadline_ns(const struct cq_ownership *o);
/*
 * Whether a task may be started now. If so, *not_after_unix_ms is the time
 * after which the worker must refuse the start. Otherwise, and when the permit
 * is about to end, a read of the data centre's state is sent; the permit call
 * follows.
 */
bool cq_ownership_start_permit(struct cq_ownership *o, int64_t now_ns,
			       int64_t *not_after_unix_ms);
/*
 * Planned stop, called when no command is in flight; nothing may be commanded
 * afterwards. successor is an id or NULL for the live schedd of lowest id.
 * Ends in STOPPED.
 */
void cq_ownership_hand_over(struct cq_ownership *o, const char *successor,
			    int64_t now_ns);

#endif
