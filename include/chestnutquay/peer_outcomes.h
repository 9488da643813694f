/*
 * OUTCOMES_OFFER: transfers recorded outcomes of idempotency keys to another
 * entry host. OUTCOMES_TAKEN acknowledges it and has no payload; both carry
 * the same correlation number.
 */
#ifndef CHESTNUTQUAY_PEER_OUTCOMES_H
#define CHESTNUTQUAY_PEER_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/request.h"

#define CQ_PEER_OUTCOMES_MAX 256 /* in one message */

/* Outcome of an idempotency key whose request ran or may have run. */
struct cq_kept_outcome {
	const char *name;     /* workspace "/" key */
	uint64_t fingerprint; /* hash of the request; detects key reuse */
	int64_t expires_unix_ms;
	enum cq_refusal refusal;
	uint32_t status;
	const char *content_type;
	const char *endpoint;
	const char *body;
	size_t body_len;
	bool body_dropped; /* the answer's body was not kept */
};

struct cq_outcomes_offer {
	/* Data centre and index of the keys' home host. */
	const char *data_centre;
	uint32_t index;
	uint32_t count; /* at most CQ_PEER_OUTCOMES_MAX */
	const struct cq_kept_outcome *outcomes;
};

struct cq_peer_outcomes; /* a decoded OUTCOMES_OFFER */

/* Encodes an offer; the result is freed with g_free(). */
uint8_t *cq_peer_outcomes_pack(const struct cq_outcomes_offer *offer,
			       size_t *len);
/* Returns NULL if the bytes are not a valid message. */
struct cq_peer_outcomes *cq_peer_outcomes_unpack(const uint8_t *data,
						 size_t len);
const struct cq_outcomes_offer *
cq_peer_outcomes_get(const struct cq_peer_outcomes *received);
void cq_peer_outcomes_free(struct cq_peer_outcomes *received);

#endif
