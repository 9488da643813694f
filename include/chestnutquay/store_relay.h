/*
 * Store access through peers when the store is not reachable directly.
 *
 * Offers the struct cq_store interface over another store and the peers. A
 * call goes to the store directly; when that is known not to have executed it,
 * or when the call may be repeated, a peer is asked. While direct calls fail,
 * calls go to peers at once, except for probes.
 */
#ifndef CHESTNUTQUAY_STORE_RELAY_H
#define CHESTNUTQUAY_STORE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/error.h"
#include "chestnutquay/membership.h"
#include "chestnutquay/peer_net.h"
#include "chestnutquay/store.h"

struct cq_store_relay;

struct cq_store_relay_ops {
	void (*send)(void *ctx, const char *address, enum cq_peer_kind kind,
		     uint64_t correlation, const uint8_t *payload, size_t len);
};

struct cq_store_relay_options {
	const struct cq_clock *clock;
	uint64_t seed;
	uint32_t max_peers;  /* asked for one call */
	uint32_t max_served; /* calls run for peers at one time */
	uint32_t max_answer_bytes;
	uint32_t breaker_failures;
	int64_t breaker_open_ns;
	int64_t peer_timeout_ns; /* wait for one peer, watches excepted */
};

/* 3, 64, 3 MiB, 2, 2 s, 800 ms. */
void cq_store_relay_options_init(struct cq_store_relay_options *options);
/* The store and the membership outlive the object. */
struct cq_store_relay *
cq_store_relay_create(const struct cq_store_relay_options *options,
		      const struct cq_store *direct,
		      const struct cq_membership *membership,
		      const struct cq_store_relay_ops *ops, void *ctx);
/* Cancels all calls, its own and those for peers. */
void cq_store_relay_destroy(struct cq_store_relay *relay);

const struct cq_store *cq_store_relay_store(struct cq_store_relay *relay);
void cq_store_relay_tick(struct cq_store_relay *relay, int64_t now_ns);
/* STORE_RELAY and STORE_RELAY_ANSWER. */
bool cq_store_relay_receive(struct cq_store_relay *relay,
			    const struct cq_peer_message *message,
			    int64_t now_ns, struct cq_error *err);
/* Whether direct calls currently go to the store. */
bool cq_store_relay_is_direct(const struct cq_store_relay *relay);
/* Calls answered through a peer since the creation. */
uint64_t cq_store_relay_relayed_count(const struct cq_store_relay *relay);

#endif
