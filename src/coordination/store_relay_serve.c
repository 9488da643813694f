/* The serving half of the store relay: runs calls for peers. */
#include <string.h>

#include "coordination/store_relay_private.h"

static bool is_duplicate(struct cq_store_relay *relay,
			 const struct cq_peer_message *message);
static void on_served(void *ctx, const struct cq_store_result *result);
static void send_answer(struct cq_store_relay *relay, const char *address,
			uint64_t correlation,
			const struct cq_store_result *result);
static void free_answer(Cq__StoreRelayAnswer *answer);

/* A watch for a peer that went away ends after this at the latest. */
#define MAX_WAIT_MS 30000U

struct cq_store_call *cq_store_relay_issue(const struct cq_store *store,
					   const struct store_arguments *a,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx)
{
	const struct cq_store_ops *ops = store->ops;

	switch (a->operation) {
	case CQ__STORE_OPERATION__STORE_GET:
		return ops->get(store->self, a->key, timeout_ms, done, ctx);
	case CQ__STORE_OPERATION__STORE_LIST:
		return ops->list(store->self, a->key, timeout_ms, done, ctx);
	case CQ__STORE_OPERATION__STORE_PUT:
		return ops->put(store->self, a->key, a->value, a->revision,
				a->lease_id, timeout_ms, done, ctx);
	case CQ__STORE_OPERATION__STORE_REMOVE:
		return ops->remove(store->self, a->key, a->revision, timeout_ms,
				   done, ctx);
	case CQ__STORE_OPERATION__STORE_LEASE_GRANT:
		return ops->lease_grant(store->self, a->ttl_ms, timeout_ms,
					done, ctx);
	case CQ__STORE_OPERATION__STORE_LEASE_KEEPALIVE:
		return ops->lease_keepalive(store->self, a->lease_id,
					    timeout_ms, done, ctx);
	case CQ__STORE_OPERATION__STORE_LEASE_REVOKE:
		return ops->lease_revoke(store->self, a->lease_id, timeout_ms,
					 done, ctx);
	case CQ__STORE_OPERATION__STORE_WATCH:
		return ops->watch(store->self, a->key, a->revision, timeout_ms,
				  done, ctx);
	default:
		return NULL;
	}
}

/* A request delivered twice must not run a write twice. */
static bool is_duplicate(struct cq_store_relay *relay,
			 const struct cq_peer_message *message)
{
	struct recent *recent;
	uint32_t i;

	for (i = 0; i < RECENT; i++) {
		recent = &relay->recent[i];
		if (recent->correlation == message->correlation &&
		    recent->incarnation == message->from_incarnation &&
		    !strcmp(recent->id, message->from_id))
			return true;
	}
	recent = &relay->recent[relay->recent_next++ % RECENT];
	recent->correlation = message->correlation;
	recent->incarnation = message->from_incarnation;
	g_strlcpy(recent->id, message->from_id, sizeof(recent->id));
	return false;
}

static void free_answer(Cq__StoreRelayAnswer *answer)
{
	size_t i;

	for (i = 0; i < answer->n_entries; i++)
		g_free(answer->entries[i]);
	g_free(answer->entries);
}

static void send_answer(struct cq_store_relay *relay, const char *address,
			uint64_t correlation,
			const struct cq_store_result *result)
{
	Cq__StoreRelayAnswer answer = CQ__STORE_RELAY_ANSWER__INIT;
	uint8_t *payload;
	size_t len, i;

	answer.status = (uint32_t)result->status;
	answer.revision = result->revision;
	answer.lease_id = result->lease_id;
	answer.message = (char *)(result->message ? result->message : "");
	answer.n_entries = result->entry_count;
	answer.entries = g_new0(Cq__StoreRelayEntry *, result->entry_count + 1);
	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *in = &result->entries[i];
		Cq__StoreRelayEntry *out = g_new(Cq__StoreRelayEntry, 1);

		cq__store_relay_entry__init(out);
		out->key = (char *)in->key;
		out->deleted = !in->value;
		out->value.data = (uint8_t *)in->value;
		out->value.len = in->value ? in->value_len : 0;
		out->revision = in->revision;
		out->lease_id = in->lease_id;
		answer.entries[i] = out;
	}
	len = cq__store_relay_answer__get_packed_size(&answer);
	if (len > relay->options.max_answer_bytes) {
		/* Too large for a frame; only reads can get here. */
		struct cq_store_result refused = {
			.status = CQ_STORE_INVALID,
			.message = "answer too large to relay",
		};

		free_answer(&answer);
		send_answer(relay, address, correlation, &refused);
		return;
	}
	payload = g_malloc(len);
	cq__store_relay_answer__pack(&answer, payload);
	relay->ops.send(relay->ctx, address, CQ_PEER_STORE_RELAY_ANSWER,
			correlation, payload, len);
	g_free(payload);
	free_answer(&answer);
}

static void on_served(void *ctx, const struct cq_store_result *result)
{
	struct served *served = ctx;
	struct cq_store_relay *relay = served->relay;

	g_ptr_array_remove_fast(relay->served, served);
	cq_store_relay_note(relay, result->status);
	send_answer(relay, served->address, served->correlation, result);
	g_free(served);
}

bool cq_store_relay_serve(struct cq_store_relay *relay,
			  const struct cq_peer_message *message,
			  struct cq_error *err)
{
	static const struct cq_store_result unavailable = {
		.status = CQ_STORE_UNAVAILABLE,
		.message = "the peer does not reach the store either",
	};
	Cq__StoreRelayRequest *request = cq__store_relay_request__unpack(
		NULL, message->payload_len, message->payload);
	struct store_arguments arguments = { 0 };
	struct served *served;
	char *value;

	if (!request || request->operation <= CQ__STORE_OPERATION__STORE_NONE ||
	    request->operation > CQ__STORE_OPERATION__STORE_WATCH) {
		if (request)
			cq__store_relay_request__free_unpacked(request, NULL);
		return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
				    "malformed store request of %zu bytes",
				    message->payload_len);
	}
	if (is_duplicate(relay, message)) {
		cq__store_relay_request__free_unpacked(request, NULL);
		return true;
	}
	/* Requests are never passed on, so there are no loops. */
	if (!cq_store_relay_is_direct(relay) ||
	    relay->served->len >= relay->options.max_served) {
		send_answer(relay, message->from_address, message->correlation,
			    &unavailable);
		cq__store_relay_request__free_unpacked(request, NULL);
		return true;
	}
	/* An empty value arrives without data. */
	value = request->value.len ? g_strndup((char *)request->value.data,
					       request->value.len)
				   : g_strdup("");
	arguments.operation = request->operation;
	arguments.key = request->key;
	arguments.value = value;
	arguments.revision = request->revision;
	arguments.lease_id = request->lease_id;
	arguments.ttl_ms = request->ttl_ms;
	served = g_new0(struct served, 1);
	served->relay = relay;
	served->correlation = message->correlation;
	g_strlcpy(served->address, message->from_address,
		  sizeof(served->address));
	g_ptr_array_add(relay->served, served);
	served->direct = cq_store_relay_issue(
		relay->direct, &arguments,
		MIN(request->timeout_ms, MAX_WAIT_MS), on_served, served);
	g_free(value);
	cq__store_relay_request__free_unpacked(request, NULL);
	return true;
}

void cq_store_relay_cancel_served(struct cq_store_relay *relay)
{
	while (relay->served->len) {
		struct served *served = g_ptr_array_index(relay->served, 0);

		relay->direct->ops->cancel(relay->direct->self, served->direct);
		g_ptr_array_remove_index_fast(relay->served, 0);
		g_free(served);
	}
}
