/*
 * Decides whether an entry host may still act as the holder of its index.
 *
 * The index of a host in its data centre entitles it to a share of every
 * endpoint's slots and makes it the home of idempotency keys. A replacement
 * with the same index waits before it uses the index, and within that time
 * the older holder must have stopped. So a holder stops
 *
 * - when membership shows another live host of the index that started later,
 * - when it lost contact with its data centre and with the store, because it
 *   might have been replaced without learning of it,
 * - after it was paused, until contact has lasted for a settling time in which
 *   membership brings news of a replacement.
 *
 * A data centre with a single entry host has no peer to lose contact with; its
 * host stops only for a replacement or after a pause.
 */
#ifndef CHESTNUTQUAY_INDEX_GUARD_H
#define CHESTNUTQUAY_INDEX_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/membership.h"

struct cq_index_guard;

struct cq_index_guard_options {
	uint32_t index_count;
	/* Without contact for this long the host counts as cut off. */
	int64_t contact_ns;
	/* Time after a pause or a lost contact before the index is used. */
	int64_t settle_ns;
	/* Two ticks further apart than this mean that the process paused. */
	int64_t pause_ns;
};

/* 1, 8 s, 5 s, 2 s. */
void cq_index_guard_options_init(struct cq_index_guard_options *options);

/* The membership outlives the object. */
struct cq_index_guard *
cq_index_guard_create(const struct cq_index_guard_options *options,
		      const struct cq_membership *membership, int64_t now_ns);
void cq_index_guard_destroy(struct cq_index_guard *guard);

void cq_index_guard_tick(struct cq_index_guard *guard, int64_t now_ns);
/* A peer of the data centre or the store answered. */
void cq_index_guard_record_contact(struct cq_index_guard *guard,
				   int64_t now_ns);
/* To be asked immediately before each use of the index. */
bool cq_index_guard_may_use_index(const struct cq_index_guard *guard,
				  int64_t now_ns);

#endif
