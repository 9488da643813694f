/*
 * Decides whether an entry host may still use its index in the data centre.
 *
 * The index entitles the host to a share of every endpoint's slots and makes it
 * responsible for part of the idempotency keys. A replacement host with the
 * same index waits before it uses the index; the older host must have stopped
 * using it by then. The older host therefore stops using the index
 *
 * - when membership shows another live host with the same index that started
 *   later,
 * - when it has lost contact with both its data centre and the store, because
 *   it might have been replaced without learning of it,
 * - after its process was paused, until it has been in contact for a settling
 *   time in which membership would report a replacement.
 *
 * The only entry host of a data centre has no peer to lose contact with, so it
 * stops only when it is replaced or after a pause.
 */
#ifndef CHESTNUTQUAY_INDEX_GUARD_H
#define CHESTNUTQUAY_INDEX_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/membership.h"

struct cq_index_guard;

struct cq_index_guard_options {
	uint32_t index_count;
	/* A host without contact for this long counts as cut off. */
	int64_t contact_timeout_ns;
	/*
	 * Settling time after a pause or a loss of contact; the index is not
	 * used until it has passed.
	 */
	int64_t settling_ns;
	/* A longer time between two ticks means that the process was paused. */
	int64_t max_tick_gap_ns;
};

/* Defaults, in the order of the fields: 1, 8 s, 5 s, 2 s. */
void cq_index_guard_options_init(struct cq_index_guard_options *options);

/* The membership must outlive the guard. */
struct cq_index_guard *
cq_index_guard_create(const struct cq_index_guard_options *options,
		      const struct cq_membership *membership, int64_t now_ns);
void cq_index_guard_destroy(struct cq_index_guard *guard);

void cq_index_guard_tick(struct cq_index_guard *guard, int64_t now_ns);
/* Records that a peer of the data centre or the store answered. */
void cq_index_guard_record_contact(struct cq_index_guard *guard,
				   int64_t now_ns);
/*
 * Whether the index may be used now; call it immediately before each use of the
 * index.
 */
bool cq_index_guard_may_use_index(const struct cq_index_guard *guard,
				  int64_t now_ns);

#endif
