#include "chestnutquay/peer_outcomes.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "protocol/gen/requests.pb-c.h"

struct cq_peer_outcomes {
	Cq__Proto__OutcomesOffer *message;
	struct cq_outcomes_offer offer;
	struct cq_kept_outcome outcomes[CQ_PEER_OUTCOMES_MAX];
};

uint8_t *cq_peer_outcomes_pack(const struct cq_outcomes_offer *offer,
			       size_t *len)
{
	Cq__Proto__OutcomesOffer message = CQ__PROTO__OUTCOMES_OFFER__INIT;
	Cq__Proto__KeptOutcome kept[CQ_PEER_OUTCOMES_MAX];
	Cq__Proto__KeptOutcome *pointers[CQ_PEER_OUTCOMES_MAX];
	uint8_t *data;
	uint32_t i;

	assert(offer->count <= CQ_PEER_OUTCOMES_MAX);
	for (i = 0; i < offer->count; i++) {
		const struct cq_kept_outcome *o = &offer->outcomes[i];

		cq__proto__kept_outcome__init(&kept[i]);
		kept[i].name = (char *)o->name;
		kept[i].fingerprint = o->fingerprint;
		kept[i].forget_unix_ms = o->expires_unix_ms;
		kept[i].refusal = o->refusal;
		kept[i].status = o->status;
		kept[i].content_type = (char *)o->content_type;
		kept[i].endpoint = (char *)o->endpoint;
		kept[i].body.data = (uint8_t *)o->body;
		kept[i].body.len = o->body_len;
		kept[i].body_dropped = o->body_dropped;
		pointers[i] = &kept[i];
	}
	message.data_centre = (char *)offer->data_centre;
	message.index = offer->index;
	message.n_outcomes = offer->count;
	message.outcomes = pointers;
	*len = cq__proto__outcomes_offer__get_packed_size(&message);
	data = g_malloc(*len + 1);
	cq__proto__outcomes_offer__pack(&message, data);
	return data;
}

struct cq_peer_outcomes *cq_peer_outcomes_unpack(const uint8_t *data,
						 size_t len)
{
	Cq__Proto__OutcomesOffer *message =
		cq__proto__outcomes_offer__unpack(NULL, len, data);
	bool valid = message && message->n_outcomes <= CQ_PEER_OUTCOMES_MAX;
	struct cq_peer_outcomes *received;
	size_t i;

	for (i = 0; valid && i < message->n_outcomes; i++)
		valid = message->outcomes[i]->refusal < CQ_REFUSAL_COUNT &&
			strchr(message->outcomes[i]->name, '/');
	if (!valid) {
		if (message)
			cq__proto__outcomes_offer__free_unpacked(message, NULL);
		return NULL;
	}
	received = g_new0(struct cq_peer_outcomes, 1);
	received->message = message;
	for (i = 0; i < message->n_outcomes; i++) {
		const Cq__Proto__KeptOutcome *kept = message->outcomes[i];

		received->outcomes[i] = (struct cq_kept_outcome){
			.name = kept->name,
			.fingerprint = kept->fingerprint,
			.expires_unix_ms = kept->forget_unix_ms,
			.refusal = (enum cq_refusal)kept->refusal,
			.status = kept->status,
			.content_type = kept->content_type,
			.endpoint = kept->endpoint,
			.body = (const char *)kept->body.data,
			.body_len = kept->body.len,
			.body_dropped = kept->body_dropped,
		};
	}
	received->offer = (struct cq_outcomes_offer){
		.data_centre = message->data_centre,
		.index = message->index,
		.count = (uint32_t)message->n_outcomes,
		.outcomes = received->outcomes,
	};
	return received;
}

const struct cq_outcomes_offer *
cq_peer_outcomes_get(const struct cq_peer_outcomes *received)
{
	return &received->offer;
}

void cq_peer_outcomes_free(struct cq_peer_outcomes *received)
{
	if (!received)
		return;
	cq__proto__outcomes_offer__free_unpacked(received->message, NULL);
	g_free(received);
}
