/*
 * Keeps the settings tree of a process up to date with the store.
 *
 * How changes travel is behind struct cq_settings_sync_strategy: one watcher
 * in each data centre that relays to its peers (used by the programs), or a
 * watch by every process (the simplest way, for comparison).
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

/* One watcher in each data centre, relay, pull and anti-entropy. */
const struct cq_settings_sync_strategy *cq_settings_sync_relay(void);
/* Every process watches the store; no peer messages. */
const struct cq_settings_sync_strategy *cq_settings_sync_watch_all(void);
const char *
cq_settings_sync_strategy_name(const struct cq_settings_sync_strategy *);

enum cq_settings_sync_state {
	CQ_SETTINGS_SYNC_STARTING, /* holds no settings; not ready */
	CQ_SETTINGS_SYNC_FOLLOWING,
	CQ_SETTINGS_SYNC_WATCHING,
};

const char *cq_settings_sync_state_string(enum cq_settings_sync_state state);

struct cq_settings_sync_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
	/* A subtree came into force; fault is NULL unless it is not valid. */
	void (*changed)(void *ctx, const char *key, int64_t revision,
			const char *fault);
};

struct cq_settings_sync_options {
	const struct cq_clock *clock; /* time of store completions */
	uint64_t seed;
	uint32_t watch_wait_ms;	  /* longest wait of one watch call */
	uint32_t call_timeout_ms; /* other store calls */
	int64_t list_interval_ns; /* between full reads by the watcher */
	int64_t pull_timeout_ns;  /* then another peer is asked */
	int64_t push_interval_ns; /* between pushes of one change */
	int64_t start_peer_ns;	  /* wait for the store before peers */
	uint32_t push_attempts;	  /* pushes of one change to one peer */
	uint32_t max_state_bytes; /* documents in one answer to a pull */
};

/* 5 s, 1 s, 60 s, 1 s, 500 ms, 2 s, 4, 2 MiB. */
void cq_settings_sync_options_init(struct cq_settings_sync_options *options);

/* The tree, the membership and the store outlive the object. */
struct cq_settings_sync *cq_settings_sync_create(
	const struct cq_settings_sync_options *options,
	const struct cq_settings_sync_strategy *strategy,
	struct cq_settings *tree, struct cq_membership *membership,
	const struct cq_store *store, const struct cq_settings_sync_ops *ops,
	void *ctx, int64_t now_ns);
void cq_settings_sync_destroy(struct cq_settings_sync *sync);

void cq_settings_sync_tick(struct cq_settings_sync *sync, int64_t now_ns);
/* SETTINGS_CHANGE, SETTINGS_PULL and SETTINGS_STATE. */
bool cq_settings_sync_receive(struct cq_settings_sync *sync,
			      const struct cq_peer_message *message,
			      int64_t now_ns, struct cq_error *err);
/* Connect to the settings_revision call of struct cq_membership_ops. */
void cq_settings_sync_member_revision(struct cq_settings_sync *sync,
				      const struct cq_member *member,
				      int64_t now_ns);

enum cq_settings_sync_state
cq_settings_sync_state(const struct cq_settings_sync *sync);
/* Settings are in force; a host serves nothing before that. */
bool cq_settings_sync_ready(const struct cq_settings_sync *sync);
/*
 * This process wrote the revision to the store for an operator; acknowledgement
 * counting starts.
 */
void cq_settings_sync_track_write(struct cq_settings_sync *sync,
				  int64_t revision, int64_t now_ns);
/*
 * Live processes that hold the revision, and live processes known. Both count
 * this process.
 */
void cq_settings_sync_acknowledged(const struct cq_settings_sync *sync,
				   int64_t revision, uint32_t *acknowledged,
				   uint32_t *known);

#endif
