/* Store relay: choice of the peer that runs a call, and the request to it. */
#include <string.h>

#include "coordination/store_relay_private.h"

static bool was_tried(const struct cq_store_call *call, const char *id);
static const struct cq_member *choose_peer(const struct cq_store_call *call);

bool cq_store_relay_is_repeatable(Cq__StoreOperation operation)
{
	return operation != CQ__STORE_OPERATION__STORE_PUT &&
	       operation != CQ__STORE_OPERATION__STORE_REMOVE;
}

static bool was_tried(const struct cq_store_call *call, const char *id)
{
	uint32_t i;

	for (i = 0; i < call->tried_count; i++)
		if (!strcmp(call->tried[i], id))
			return true;
	return false;
}

/*
 * Returns the peer to ask: preferably the one that last answered, otherwise a
 * random one, preferably alive and of this data centre. Peers already tried are
 * left out.
 */
static const struct cq_member *choose_peer(const struct cq_store_call *call)
{
	struct cq_store_relay *relay = call->relay;
	const struct cq_member *self = cq_membership_self(relay->membership);
	const struct cq_member *best = NULL;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 1; i < cq_membership_count(relay->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(relay->membership, i);
		uint64_t score;

		if (!cq_member_is_live(member) || was_tried(call, member->id))
			continue;
		score = 1 + cq_prng_below(&relay->prng, 1000);
		/*
		 * The last attempt goes to another data centre if there is one,
		 * because a whole data centre may have lost contact with the
		 * store.
		 */
		if (!strcmp(member->data_centre, self->data_centre) ==
		    (call->tried_count + 1 < relay->options.max_peers))
			score += 1000;
		if (member->state == CQ_MEMBER_ALIVE)
			score += 2000;
		if (!strcmp(member->id, relay->last_answering_peer))
			score += 4000;
		if (score > best_score) {
			best_score = score;
			best = member;
		}
	}
	return best;
}

bool cq_store_relay_ask_peer(struct cq_store_call *call, int64_t now_ns)
{
	struct cq_store_relay *relay = call->relay;
	Cq__StoreRelayRequest request = CQ__STORE_RELAY_REQUEST__INIT;
	const struct cq_member *peer;
	int64_t left_ns = call->deadline_ns - now_ns;
	uint8_t *payload;
	size_t len;

	call->correlation = 0;
	call->hedge_ns = 0;
	if (call->tried_count >= relay->options.max_peers ||
	    left_ns < 10 * CQ_NS_PER_MS)
		return false;
	peer = choose_peer(call);
	if (!peer)
		return false;
	g_strlcpy(call->tried[call->tried_count++], peer->id,
		  CQ_MEMBER_NAME_BYTES);
	if (call->arguments.operation == CQ__STORE_OPERATION__STORE_WATCH)
		left_ns = MAX(left_ns - WATCH_GRACE_NS, 0);
	else
		left_ns = MIN(left_ns, relay->options.peer_timeout_ns);
	call->peer_deadline_ns =
		call->arguments.operation == CQ__STORE_OPERATION__STORE_WATCH
			? call->deadline_ns
			: now_ns + left_ns;
	call->correlation = ++relay->correlation;
	request.operation = call->arguments.operation;
	request.key = call->arguments.key;
	if (call->arguments.value) {
		request.value.data = (uint8_t *)call->arguments.value;
		request.value.len = strlen(call->arguments.value);
	}
	request.revision = call->arguments.revision;
	request.lease_id = call->arguments.lease_id;
	request.ttl_ms = call->arguments.ttl_ms;
	request.timeout_ms = (uint32_t)(left_ns / CQ_NS_PER_MS);
	len = cq__store_relay_request__get_packed_size(&request);
	payload = g_malloc(len);
	cq__store_relay_request__pack(&request, payload);
	relay->ops.send(relay->ctx, peer->address, CQ_PEER_STORE_RELAY,
			call->correlation, payload, len);
	g_free(payload);
	return true;
}
