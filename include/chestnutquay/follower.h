/*
 * Follows all keys under a prefix of the store: lists them, then watches.
 *
 * Every change is reported once, in the order of revisions a key. After the
 * store has dropped its history the keys are listed again and the differences
 * are reported.
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
	/* A whole list was reported; may be NULL. */
	void (*synced)(void *ctx);
};

struct cq_follower_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const char *prefix;
	uint32_t wait_ms; /* of one watch call */
	/* Of one list page, which may hold a megabyte. */
	uint32_t list_timeout_ms;
};

struct cq_follower *
cq_follower_create(const struct cq_follower_options *options,
		   const struct cq_store *store,
		   const struct cq_follower_ops *ops, void *ctx);
void cq_follower_destroy(struct cq_follower *f);
bool cq_follower_synced(const struct cq_follower *f);
/* The last call that ended was answered. */
bool cq_follower_reachable(const struct cq_follower *f);
/* When the last answered call was sent; INT64_MIN if none was answered. */
int64_t cq_follower_contact_ns(const struct cq_follower *f);

#endif
