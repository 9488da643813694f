/*
 * Store access through peers when the store is not reachable directly.
 *
 * Implements the struct cq_store interface on top of a direct store connection
 * and the peers. A call is sent to the store directly first. If that fails, a
 * peer is asked, provided that the store is known not to have executed the call
 * or that the call is repeatable. While direct calls keep failing, a circuit
 * breaker sends calls straight to peers; only probes still go to the store
 * directly.
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
	uint32_t max_peers; /* maximum number of peers asked for one call */
	/* Maximum number of concurrent calls run for peers. */
	uint32_t max_served;
	uint32_t max_answer_bytes;
	uint32_t breaker_failures;
	int64_t breaker_open_ns;
	/* Wait for one peer's answer; not used for watches. */
	int64_t peer_timeout_ns;
};

/*
 * Defaults from max_peers on, in the order of the fields:
 * 3, 64, 3 MiB, 2, 2 s, 800 ms.
 */
void cq_store_relay_options_init(struct cq_store_relay_options *options);
/* The store and the membership must outlive the relay. */
struct cq_store_relay *
cq_store_relay_create(const struct cq_store_relay_options *options,
		      const struct cq_store *direct,
		      const struct cq_membership *membership,
		      const struct cq_store_relay_ops *ops, void *ctx);
/*
 * Destroys the relay and cancels all calls, both its own and those run for
 * peers.
 */
void cq_store_relay_destroy(struct cq_store_relay *relay);

const struct cq_store *cq_store_relay_store(struct cq_store_relay *relay);
void cq_store_relay_tick(struct cq_store_relay *relay, int64_t now_ns);
/* Handles STORE_RELAY and STORE_RELAY_ANSWER messages. */
bool cq_store_relay_receive(struct cq_store_relay *relay,
			    const struct cq_peer_message *message,
			    int64_t now_ns, struct cq_error *err);
/* Whether calls are currently sent to the store directly. */
bool cq_store_relay_is_direct(const struct cq_store_relay *relay);
/* Number of calls answered through a peer since the relay was created. */
uint64_t cq_store_relay_relayed_count(const struct cq_store_relay *relay);

#endif
