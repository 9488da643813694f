/*
 * Hand-over of ownership on a planned stop.
 *
 * The owner stops sending commands and offers the data centre to a successor.
 * The successor obtains a lease and replies with its id. The owner then changes
 * the key to name the successor under that lease. If any step fails, the owner
 * revokes its own lease. This removes the key if it is still attached to that
 * lease, and the standbys can acquire it.
 */
#include <stdlib.h>
#include <string.h>

#include "coordination/ownership_private.h"
#include "protocol/gen/coordination.pb-c.h"

static const struct cq_member *choose_successor(const struct cq_ownership *o,
						const char *id);
static void send_step(struct cq_ownership *o, Cq__HandOverStep step,
		      int64_t epoch);
static void revoke_own_lease(struct cq_ownership *o);
static void on_revoked(void *ctx, const struct cq_store_result *result);
static void on_transfer(void *ctx, const struct cq_store_result *result);
static void on_successor_lease(void *ctx, const struct cq_store_result *result);
static void handle_offer(struct cq_ownership *o, const Cq__HandOver *offer,
			 const char *address, int64_t now_ns);
static void handle_accept(struct cq_ownership *o, const Cq__HandOver *accept,
			  const struct cq_peer_message *message);
static void handle_done(struct cq_ownership *o, const Cq__HandOver *done,
			int64_t now_ns);

/*
 * Interval at which offers and acceptances are resent, because messages may be
 * lost.
 */
#define RESEND_INTERVAL_NS (300 * CQ_NS_PER_MS)

static const struct cq_member *choose_successor(const struct cq_ownership *o,
						const char *id)
{
	const struct cq_member *best = NULL;
	uint32_t i;

	for (i = 1; i < cq_membership_count(o->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(o->membership, i);

		if (member->role != CQ_ROLE_SCHEDD ||
		    member->state != CQ_MEMBER_ALIVE ||
		    strcmp(member->data_centre, o->data_centre) != 0)
			continue;
		if (id ? !strcmp(member->id, id)
		       : !best || strcmp(member->id, best->id) < 0)
			best = member;
	}
	return best;
}

static void send_step(struct cq_ownership *o, Cq__HandOverStep step,
		      int64_t epoch)
{
	Cq__HandOver hand_over = CQ__HAND_OVER__INIT;
	uint8_t payload[256];

	hand_over.step = step;
	hand_over.data_centre = o->data_centre;
	hand_over.epoch = epoch;
	hand_over.lease_id = o->lease_id;
	hand_over.incarnation = o->process_incarnation;
	hand_over.sequence = o->sequence;
	if (step == CQ__HAND_OVER_STEP__HAND_OVER_DONE)
		hand_over.lease_id = o->successor_lease;
	o->ops.send(o->ctx, o->peer_address, CQ_PEER_HANDOVER, 0, payload,
		    cq__hand_over__pack(&hand_over, payload));
}

static void on_revoked(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;

	(void)result;
	o->call = NULL;
	cq_ownership_stand_by(o, cq_ownership_clock_ns(o));
}

/*
 * Revokes the lease, so that the standbys can acquire the key at once instead
 * of when the lease expires.
 */
static void revoke_own_lease(struct cq_ownership *o)
{
	o->hand_over_deadline_ns = 0;
	o->call = o->store->ops->lease_revoke(o->store->self, o->lease_id,
					      o->options.call_timeout_ms,
					      on_revoked, o);
}

void cq_ownership_hand_over(struct cq_ownership *o, const char *successor,
			    int64_t now_ns)
{
	const struct cq_member *member = choose_successor(o, successor);

	if (o->stopping)
		return;
	o->stopping = true;
	o->acquire_ns = 0;
	if (o->watch)
		o->store->ops->cancel(o->store->self, o->watch);
	o->watch = NULL;
	if (o->call)
		o->store->ops->cancel(o->store->self, o->call);
	o->call = NULL;
	if (!o->lease_id) {
		cq_ownership_stand_by(o, now_ns);
		return;
	}
	if (!member || o->state != CQ_OWNERSHIP_OWNER) {
		cq_ownership_set_state(o, CQ_OWNERSHIP_HANDING);
		revoke_own_lease(o);
		return;
	}
	g_strlcpy(o->successor, member->id, sizeof(o->successor));
	g_strlcpy(o->peer_address, member->address, sizeof(o->peer_address));
	cq_ownership_set_state(o, CQ_OWNERSHIP_HANDING);
	o->hand_over_deadline_ns = now_ns + o->options.hand_over_timeout_ns;
	o->next_resend_ns = now_ns + RESEND_INTERVAL_NS;
	send_step(o, CQ__HAND_OVER_STEP__HAND_OVER_OFFER, o->epoch);
}

void cq_ownership_hand_over_tick(struct cq_ownership *o, int64_t now_ns)
{
	if (o->state == CQ_OWNERSHIP_HANDING && !o->call) {
		if (now_ns >= o->hand_over_deadline_ns) {
			revoke_own_lease(o);
		} else if (now_ns >= o->next_resend_ns) {
			o->next_resend_ns = now_ns + RESEND_INTERVAL_NS;
			send_step(o, CQ__HAND_OVER_STEP__HAND_OVER_OFFER,
				  o->epoch);
		}
	}
	if (o->state == CQ_OWNERSHIP_SUCCEEDING) {
		if (now_ns >= o->hand_over_deadline_ns) {
			if (o->call)
				o->store->ops->cancel(o->store->self, o->call);
			o->call = NULL;
			cq_ownership_stand_by(o, now_ns);
		} else if (o->lease_id && now_ns >= o->next_resend_ns) {
			o->next_resend_ns = now_ns + RESEND_INTERVAL_NS;
			send_step(o, CQ__HAND_OVER_STEP__HAND_OVER_ACCEPT,
				  o->offered_epoch);
		}
	}
}

static void on_successor_lease(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;

	o->call = NULL;
	if (o->state != CQ_OWNERSHIP_SUCCEEDING)
		return;
	if (result->status != CQ_STORE_OK) {
		cq_ownership_stand_by(o, cq_ownership_clock_ns(o));
		return;
	}
	o->lease_id = result->lease_id;
	o->deadline_ns =
		o->grant_sent_ns + (int64_t)o->options.lease_ms * CQ_NS_PER_MS;
	o->next_renewal_ns = o->grant_sent_ns + o->options.renew_interval_ns;
	o->sequence++;
	send_step(o, CQ__HAND_OVER_STEP__HAND_OVER_ACCEPT, o->offered_epoch);
}

static void handle_offer(struct cq_ownership *o, const Cq__HandOver *offer,
			 const char *address, int64_t now_ns)
{
	if (o->state != CQ_OWNERSHIP_STANDBY || o->stopping || o->call ||
	    offer->epoch < o->last_epoch)
		return;
	o->acquire_ns = 0;
	o->offered_epoch = offer->epoch;
	g_strlcpy(o->peer_address, address, sizeof(o->peer_address));
	o->hand_over_deadline_ns = now_ns + 2 * o->options.hand_over_timeout_ns;
	o->next_resend_ns = now_ns + RESEND_INTERVAL_NS;
	cq_ownership_set_state(o, CQ_OWNERSHIP_SUCCEEDING);
	o->grant_sent_ns = now_ns;
	o->call = o->store->ops->lease_grant(o->store->self,
					     o->options.lease_ms,
					     o->options.call_timeout_ms,
					     on_successor_lease, o);
}

static void on_transfer(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;

	o->call = NULL;
	if (o->state != CQ_OWNERSHIP_HANDING)
		return;
	if (result->status == CQ_STORE_OK) {
		o->sequence = o->successor_sequence;
		send_step(o, CQ__HAND_OVER_STEP__HAND_OVER_DONE,
			  result->revision);
		cq_ownership_stand_by(o, cq_ownership_clock_ns(o));
		return;
	}
	/*
	 * Revoking the own lease is safe in every case: if the change took
	 * effect, the key is attached to the successor's lease and remains.
	 */
	revoke_own_lease(o);
}

static void handle_accept(struct cq_ownership *o, const Cq__HandOver *accept,
			  const struct cq_peer_message *message)
{
	char *value;

	if (o->state != CQ_OWNERSHIP_HANDING || o->call ||
	    !o->hand_over_deadline_ns || accept->epoch != o->epoch ||
	    accept->lease_id == 0 ||
	    strcmp(message->from_id, o->successor) != 0)
		return;
	o->successor_lease = accept->lease_id;
	o->successor_sequence = accept->sequence;
	value = cq_ownership_encode_value(o->successor, accept->incarnation,
					  accept->sequence);
	o->call = o->store->ops->put(o->store->self, o->key, value, o->epoch,
				     accept->lease_id,
				     o->options.call_timeout_ms, on_transfer,
				     o);
	free(value);
}

static void handle_done(struct cq_ownership *o, const Cq__HandOver *done,
			int64_t now_ns)
{
	struct cq_store_entry entry = { .key = o->key,
					.revision = done->epoch,
					.lease_id = o->lease_id };
	char *value;

	if (o->state != CQ_OWNERSHIP_SUCCEEDING || !o->lease_id ||
	    done->lease_id != o->lease_id || done->sequence != o->sequence ||
	    done->epoch <= o->offered_epoch)
		return;
	value = cq_ownership_encode_value(o->id, o->process_incarnation,
					  o->sequence);
	entry.value = value;
	cq_ownership_observe(o, &entry, done->epoch);
	free(value);
	if (cq_ownership_holds_key(o))
		cq_ownership_become_owner(o, now_ns);
}

bool cq_ownership_receive(struct cq_ownership *o,
			  const struct cq_peer_message *message, int64_t now_ns,
			  struct cq_error *err)
{
	Cq__HandOver *hand_over;

	if (message->kind != CQ_PEER_HANDOVER)
		return cq_error_set(
			err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
			"message kind %d is not a hand-over message",
			(int)message->kind);
	hand_over = cq__hand_over__unpack(NULL, message->payload_len,
					  message->payload);
	if (!hand_over)
		return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
				    "malformed hand-over message of %zu bytes",
				    message->payload_len);
	if (!strcmp(hand_over->data_centre, o->data_centre)) {
		if (hand_over->step == CQ__HAND_OVER_STEP__HAND_OVER_OFFER)
			handle_offer(o, hand_over, message->from_address,
				     now_ns);
		if (hand_over->step == CQ__HAND_OVER_STEP__HAND_OVER_ACCEPT)
			handle_accept(o, hand_over, message);
		if (hand_over->step == CQ__HAND_OVER_STEP__HAND_OVER_DONE)
			handle_done(o, hand_over, now_ns);
	}
	cq__hand_over__free_unpacked(hand_over, NULL);
	return true;
}
