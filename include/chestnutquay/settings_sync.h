/*
 * Keeps the settings tree of a process up to date with the store.
 *
 * struct cq_settings_sync_strategy selects how changes are distributed: one
 * watcher in each data centre relays them to its peers (used by the programs),
 * or every process watches the store (the simplest way, for comparison in
 * benchmarks).
 */
#ifndef CHESTNUTQUAY_SETTINGS_SYNC_H
#define CHESTNUTQUAY_SETTINGS_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/error.h"
#include "chestnutquay/membership.h"
#include "chestnutquay/peer_net.h"
#include "chestnutquay/settings.h"
#include "chestnutquay/store.h"

struct cq_settings_sync;
struct cq_settings_sync_strategy;

/*
 * Strategy with one watcher in each data centre, which relays changes; other
 * processes pull missing changes from peers (anti-entropy).
 */
const struct cq_settings_sync_strategy *cq_settings_sync_relay(void);
/*
 * Strategy in which every process watches the store; no peer messages are sent.
 */
const struct cq_settings_sync_strategy *cq_settings_sync_watch_all(void);
const char *
cq_settings_sync_strategy_name(const struct cq_settings_sync_strategy *);

enum cq_settings_sync_state {
	CQ_SETTINGS_SYNC_STARTING, /* no settings loaded yet; not ready */
	CQ_SETTINGS_SYNC_FOLLOWING,
	CQ_SETTINGS_SYNC_WATCHING,
};

const char *cq_settings_sync_state_string(enum cq_settings_sync_state state);

struct cq_settings_sync_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/*
	 * Called when a subtree came into force. fault describes the error if
	 * the subtree is not valid, and is NULL otherwise.
	 */
	void (*changed)(void *ctx, const char *key, int64_t revision,
			const char *fault);
};

struct cq_settings_sync_options {
	const struct cq_clock *clock; /* clock for store completions */
	uint64_t seed;
	uint32_t watch_wait_ms;	  /* maximum wait of one watch call */
	uint32_t call_timeout_ms; /* time-out of other store calls */
	/* Interval of the watcher's full reads of the settings. */
	int64_t list_interval_ns;
	/* Wait for a pull's answer before another peer is asked. */
	int64_t pull_timeout_ns;
	int64_t push_interval_ns; /* interval between pushes of one change */
	/*
	 * Time for which a starting process waits for the store before it pulls
	 * from peers.
	 */
	int64_t peer_start_delay_ns;
	/* Maximum number of pushes of one change to one peer. */
	uint32_t push_attempts;
	/* Limit for the documents in one answer to a pull. */
	uint32_t max_state_bytes;
};

/*
 * Defaults from watch_wait_ms on, in the order of the fields:
 * 5 s, 1 s, 60 s, 1 s, 500 ms, 2 s, 4, 2 MiB.
 */
void cq_settings_sync_options_init(struct cq_settings_sync_options *options);

/* The tree, the membership and the store must outlive the object. */
struct cq_settings_sync *cq_settings_sync_create(
	const struct cq_settings_sync_options *options,
	const struct cq_settings_sync_strategy *strategy,
	struct cq_settings *tree, struct cq_membership *membership,
	const struct cq_store *store, const struct cq_settings_sync_ops *ops,
	void *ctx, int64_t now_ns);
void cq_settings_sync_destroy(struct cq_settings_sync *sync);

void cq_settings_sync_tick(struct cq_settings_sync *sync, int64_t now_ns);
/* Handles SETTINGS_CHANGE, SETTINGS_PULL and SETTINGS_STATE messages. */
bool cq_settings_sync_receive(struct cq_settings_sync *sync,
			      const struct cq_peer_message *message,
			      int64_t now_ns, struct cq_error *err);
/*
 * Handles the revision that a member announced; call it from the
 * settings_revision callback of struct cq_membership_ops.
 */
void cq_settings_sync_member_revision(struct cq_settings_sync *sync,
				      const struct cq_member *member,
				      int64_t now_ns);

enum cq_settings_sync_state
cq_settings_sync_state(const struct cq_settings_sync *sync);
/* Whether settings are in force; a host must not serve requests before that. */
bool cq_settings_sync_ready(const struct cq_settings_sync *sync);
/*
 * Reports that this process wrote the revision to the store for an operator.
 * Counting of its acknowledgements starts.
 */
void cq_settings_sync_track_write(struct cq_settings_sync *sync,
				  int64_t revision, int64_t now_ns);
/*
 * Sets *acknowledged to the number of live processes that hold the revision and
 * *known to the number of known live processes. Both include this process.
 */
void cq_settings_sync_acknowledged(const struct cq_settings_sync *sync,
				   int64_t revision, uint32_t *acknowledged,
				   uint32_t *known);

#endif
