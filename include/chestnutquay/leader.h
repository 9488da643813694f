/*
 * Elects, through the store, the one host that runs the dispatcher.
 *
 * The holder key, <holder_prefix>holder, is attached to the leader's store
 * lease. The head key is permanent and holds the epoch, which is the fencing
 * token of all commands. An election changes both keys in one transaction, so
 * an epoch has at most one leader. A leader may send commands until its
 * deadline, which is computed from the time at which the last answered lease
 * renewal was sent.
 */
#ifndef CHESTNUTQUAY_LEADER_H
#define CHESTNUTQUAY_LEADER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

struct cq_leader;

struct cq_leader_ops {
	/* head_revision: revision of the head key, for the journal. */
	void (*elected)(void *ctx, int64_t epoch, int64_t head_revision);
	/* This host is no longer the leader. */
	void (*deposed)(void *ctx);
	/*
	 * Another key with the prefix of the holder key has changed; value is
	 * NULL if it was deleted. The function may be NULL.
	 */
	void (*noticed)(void *ctx, const char *key, const char *value);
};

struct cq_leader_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	/* Identifies the host; does not change when the process restarts. */
	const char *identity;
	const char *holder_prefix; /* key prefix of the holder key */
	const char *head_key;
	uint32_t lease_ms;
	uint32_t call_timeout_ms;
	uint32_t watch_wait_ms;
	/*
	 * Delay before this host campaigns; shorter on hosts with more
	 * capacity, so that they are elected first.
	 */
	uint32_t campaign_delay_ms;
};

struct cq_leader *cq_leader_create(const struct cq_leader_options *options,
				   const struct cq_store *store,
				   const struct cq_leader_ops *ops, void *ctx);
void cq_leader_destroy(struct cq_leader *l);
/* Whether this host leads and its deadline has not passed. */
bool cq_leader_may_command(const struct cq_leader *l);
/* Time after which no commands may be sent; 0 unless it leads. */
int64_t cq_leader_deadline_ns(const struct cq_leader *l);
/* Whether this host leads, even if its deadline has passed. */
bool cq_leader_is_leading(const struct cq_leader *l);
/* Tells the election that a later epoch has begun; steps down. */
void cq_leader_superseded(struct cq_leader *l);
/* Planned stop: revokes the lease and does not campaign again. */
void cq_leader_resign(struct cq_leader *l);

/*
 * Formats the value of the head key, which the journal writes with every
 * transaction. Free the result with g_free().
 */
char *cq_leader_format_head(int64_t epoch, uint64_t sequence);
/* Returns false if the text is malformed. */
bool cq_leader_parse_head(const char *text, int64_t *epoch, uint64_t *sequence);

#endif
