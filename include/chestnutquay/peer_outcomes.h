/*
 * OUTCOMES_OFFER: remembered outcomes of keys on their way to another entry
 * host. OUTCOMES_TAKEN answers it and has no payload; both carry the same
 * correlation.
 */
#ifndef CHESTNUTQUAY_PEER_OUTCOMES_H
#define CHESTNUTQUAY_PEER_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/request.h"

#define CQ_PEER_OUTCOMES_MAX 256 /* of one message */

/* The outcome of a key whose request ran or may have run. */
struct cq_kept_outcome {
	const char *name; /* workspace "/" key */
	uint64_t fingerprint;
	int64_t expires_unix_ms;
	enum cq_refusal refusal;
	uint32_t status;
	const char *content_type;
	const char *endpoint;
	const char *body;
	size_t body_len;
	bool body_dropped;
};

struct cq_outcomes_offer {
	/* Home of the keys. */
	const char *data_centre;
	uint32_t index;
	uint32_t count; /* at most CQ_PEER_OUTCOMES_MAX */
	const struct cq_kept_outcome *outcomes;
};

struct cq_peer_outcomes; /* a received OUTCOMES_OFFER */

/* The packed message is freed with g_free(). */
uint8_t *cq_peer_outcomes_pack(const struct cq_outcomes_offer *offer,
			       size_t *len);
/* NULL if the bytes are not a valid message. */
struct cq_peer_outcomes *cq_peer_outcomes_unpack(const uint8_t *data,
						 size_t len);
const struct cq_outcomes_offer *
cq_peer_outcomes_get(const struct cq_peer_outcomes *received);
void cq_peer_outcomes_free(struct cq_peer_outcomes *received);

#endif
