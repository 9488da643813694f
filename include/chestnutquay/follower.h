/*
 * Follows all keys under a prefix of the store: lists them, then watches them.
 *
 * Each key's changes are reported in the order of their revisions, none twice.
 * A value that is known to be replaced or deleted may be left out. If the store
 * has compacted the history that the watch needs, or if that history is larger
 * than the keys themselves, they are listed again and the differences are
 * reported.
 */
#ifndef CHESTNUTQUAY_FOLLOWER_H
#define CHESTNUTQUAY_FOLLOWER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

struct cq_follower;

struct cq_follower_ops {
	void (*changed)(void *ctx, const struct cq_store_entry *entry);
	void (*removed)(void *ctx, const char *key);
	/* All entries of a list were reported; may be NULL. */
	void (*synced)(void *ctx);
};

struct cq_follower_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const char *prefix;
	uint32_t wait_ms; /* how long one watch call waits for a change */
	/* Time limit until a page of a list begins to arrive. */
	uint32_t list_timeout_ms;
};

struct cq_follower *
cq_follower_create(const struct cq_follower_options *options,
		   const struct cq_store *store,
		   const struct cq_follower_ops *ops, void *ctx);
void cq_follower_destroy(struct cq_follower *f);
/* Whether the keys have been listed at least once. */
bool cq_follower_synced(const struct cq_follower *f);
/* Whether the store answered the last completed call. */
bool cq_follower_reachable(const struct cq_follower *f);
/*
 * Time at which the last call was sent whose answer has begun to arrive;
 * INT64_MIN: none yet.
 */
int64_t cq_follower_contact_ns(const struct cq_follower *f);

#endif
