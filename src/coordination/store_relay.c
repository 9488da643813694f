#include "coordination/store_relay_private.h"

#include <assert.h>
#include <string.h>

static struct cq_store_call *relay_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx);
static struct cq_store_call *relay_list(void *self, const char *prefix,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx);
static struct cq_store_call *relay_put(void *self, const char *key,
				       const char *value, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx);
static struct cq_store_call *relay_remove(void *self, const char *key,
					  int64_t revision, uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx);
static struct cq_store_call *relay_lease_grant(void *self, uint32_t ttl_ms,
					       uint32_t timeout_ms,
					       cq_store_done_fn *done,
					       void *ctx);
static struct cq_store_call *relay_lease_keepalive(void *self, int64_t lease_id,
						   uint32_t timeout_ms,
						   cq_store_done_fn *done,
						   void *ctx);
static struct cq_store_call *relay_lease_revoke(void *self, int64_t lease_id,
						uint32_t timeout_ms,
						cq_store_done_fn *done,
						void *ctx);
static struct cq_store_call *relay_watch(void *self, const char *prefix,
					 int64_t after_revision,
					 uint32_t wait_ms,
					 cq_store_done_fn *done, void *ctx);
static void relay_cancel(void *self, struct cq_store_call *call);
static struct cq_store_call *start(struct cq_store_relay *relay,
				   const struct store_arguments *arguments,
				   cq_store_done_fn *done, void *ctx);
static void free_call(struct cq_store_call *call);
static void complete(struct cq_store_call *call,
		     const struct cq_store_result *result);
static void fail(struct cq_store_call *call, enum cq_store_status status,
		 const char *message);
static void on_direct(void *ctx, const struct cq_store_result *result);
static void on_probe(void *ctx, const struct cq_store_result *result);
static void end_wait(struct cq_store_call *call, int64_t now_ns);
static bool take_answer(struct cq_store_relay *relay,
			const struct cq_peer_message *message, int64_t now_ns,
			struct cq_error *err);
static void answered(struct cq_store_call *call, const Cq__StoreRelayAnswer *a,
		     const char *from_id, int64_t now_ns);

#define PROBE_TIMEOUT_MS 500

static const struct cq_store_ops relay_ops = {
	.get = relay_get,
	.list = relay_list,
	.put = relay_put,
	.remove = relay_remove,
	.lease_grant = relay_lease_grant,
	.lease_keepalive = relay_lease_keepalive,
	.lease_revoke = relay_lease_revoke,
	.watch = relay_watch,
	.cancel = relay_cancel,
};

void cq_store_relay_options_init(struct cq_store_relay_options *options)
{
	memset(options, 0, sizeof(*options));
	options->clock = cq_clock_system();
	options->max_peers = 3;
	options->max_served = 64;
	options->max_answer_bytes = 3U << 20;
	options->breaker_failures = 2;
	options->breaker_open_ns = 2 * CQ_NS_PER_S;
	options->peer_timeout_ns = 800 * CQ_NS_PER_MS;
}

struct cq_store_relay *
cq_store_relay_create(const struct cq_store_relay_options *options,
		      const struct cq_store *direct,
		      const struct cq_membership *membership,
		      const struct cq_store_relay_ops *ops, void *ctx)
{
	struct cq_store_relay *relay = g_new0(struct cq_store_relay, 1);
	struct cq_retry_options retry;

	assert(options->max_peers <= MAX_TRIED);
	assert(options->max_answer_bytes < CQ_PEER_MAX_FRAME_BYTES);
	relay->options = *options;
	relay->store.ops = &relay_ops;
	relay->store.self = relay;
	relay->direct = direct;
	relay->membership = membership;
	relay->ops = *ops;
	relay->ctx = ctx;
	relay->prng.state = options->seed;
	cq_retry_options_init(&retry);
	retry.breaker_failures = options->breaker_failures;
	retry.breaker_open_ns = options->breaker_open_ns;
	relay->retry = cq_retry_create(&retry, options->seed + 1);
	relay->calls = g_ptr_array_new();
	relay->served = g_ptr_array_new();
	/* Answers to an earlier process at this address match nothing. */
	relay->correlation = cq_prng_next(&relay->prng) | 1;
	return relay;
}

void cq_store_relay_destroy(struct cq_store_relay *relay)
{
	guint i;

	if (!relay)
		return;
	for (i = 0; i < relay->calls->len; i++) {
		struct cq_store_call *call = g_ptr_array_index(relay->calls, i);

		if (call->direct)
			relay->direct->ops->cancel(relay->direct->self,
						   call->direct);
		free_call(call);
	}
	cq_store_relay_cancel_served(relay);
	if (relay->probe)
		relay->direct->ops->cancel(relay->direct->self, relay->probe);
	g_ptr_array_free(relay->calls, TRUE);
	g_ptr_array_free(relay->served, TRUE);
	cq_retry_destroy(relay->retry);
	g_free(relay);
}

const struct cq_store *cq_store_relay_store(struct cq_store_relay *relay)
{
	return &relay->store;
}

bool cq_store_relay_is_direct(const struct cq_store_relay *relay)
{
	return cq_retry_breaker(relay->retry) == CQ_BREAKER_CLOSED;
}

uint64_t cq_store_relay_relayed_count(const struct cq_store_relay *relay)
{
	return relay->relayed;
}

static struct cq_store_call *relay_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_GET,
		.key = (char *)key,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_list(void *self, const char *prefix,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_LIST,
		.key = (char *)prefix,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_put(void *self, const char *key,
				       const char *value, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_PUT,
		.key = (char *)key,
		.value = (char *)value,
		.revision = revision,
		.lease_id = lease_id,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_remove(void *self, const char *key,
					  int64_t revision, uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_REMOVE,
		.key = (char *)key,
		.revision = revision,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_lease_grant(void *self, uint32_t ttl_ms,
					       uint32_t timeout_ms,
					       cq_store_done_fn *done,
					       void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_LEASE_GRANT,
		.ttl_ms = ttl_ms,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_lease_keepalive(void *self, int64_t lease_id,
						   uint32_t timeout_ms,
						   cq_store_done_fn *done,
						   void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_LEASE_KEEPALIVE,
		.lease_id = lease_id,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_lease_revoke(void *self, int64_t lease_id,
						uint32_t timeout_ms,
						cq_store_done_fn *done,
						void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_LEASE_REVOKE,
		.lease_id = lease_id,
		.timeout_ms = timeout_ms,
	};

	return start(self, &arguments, done, ctx);
}

static struct cq_store_call *relay_watch(void *self, const char *prefix,
					 int64_t after_revision,
					 uint32_t wait_ms,
					 cq_store_done_fn *done, void *ctx)
{
	struct store_arguments arguments = {
		.operation = CQ__STORE_OPERATION__STORE_WATCH,
		.key = (char *)prefix,
		.revision = after_revision,
		.timeout_ms = wait_ms,
	};

	return start(self, &arguments, done, ctx);
}

static void relay_cancel(void *self, struct cq_store_call *call)
{
	struct cq_store_relay *relay = self;

	if (call->direct)
		relay->direct->ops->cancel(relay->direct->self, call->direct);
	g_ptr_array_remove_fast(relay->calls, call);
	free_call(call);
}

static struct cq_store_call *start(struct cq_store_relay *relay,
				   const struct store_arguments *arguments,
				   cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = g_new0(struct cq_store_call, 1);
	int64_t now_ns = cq_clock_now_ns(relay->options.clock);
	uint32_t timeout_ms = arguments->timeout_ms;
	bool is_watch = arguments->operation ==
			CQ__STORE_OPERATION__STORE_WATCH;

	call->relay = relay;
	call->arguments = *arguments;
	call->arguments.key = g_strdup(arguments->key ? arguments->key : "");
	call->arguments.value = g_strdup(arguments->value);
	call->done = done;
	call->ctx = ctx;
	call->deadline_ns = now_ns + (int64_t)timeout_ms * CQ_NS_PER_MS +
			    (is_watch ? WATCH_GRACE_NS : 0);
	g_ptr_array_add(relay->calls, call);
	if (cq_store_relay_is_direct(relay)) {
		/* A silent store must leave time for a peer. */
		if (cq_store_relay_is_repeatable(arguments->operation) &&
		    !is_watch)
			call->hedge_ns =
				now_ns + (int64_t)timeout_ms * CQ_NS_PER_MS / 2;
		call->direct =
			cq_store_relay_issue(relay->direct, &call->arguments,
					     timeout_ms, on_direct, call);
	} else if (!cq_store_relay_ask_peer(call, now_ns)) {
		call->failing = true;
	}
	return call;
}

static void free_call(struct cq_store_call *call)
{
	g_free(call->arguments.key);
	g_free(call->arguments.value);
	g_free(call);
}

static void complete(struct cq_store_call *call,
		     const struct cq_store_result *result)
{
	cq_store_done_fn *done = call->done;
	void *ctx = call->ctx;

	if (call->direct) {
		/* A peer was faster; the end still tells the breaker. */
		call->done = NULL;
		call->correlation = 0;
		call->hedge_ns = 0;
	} else {
		g_ptr_array_remove_fast(call->relay->calls, call);
		free_call(call);
	}
	done(ctx, result);
}

static void fail(struct cq_store_call *call, enum cq_store_status status,
		 const char *message)
{
	struct cq_store_result result = { .status = status,
					  .message = message };

	complete(call, &result);
}

void cq_store_relay_note(struct cq_store_relay *relay,
			 enum cq_store_status status)
{
	struct cq_retry_call call = { .deadline_ns = INT64_MAX, .attempts = 1 };

	if (status == CQ_STORE_UNAVAILABLE || status == CQ_STORE_UNKNOWN)
		cq_retry_failed(relay->retry, &call,
				cq_clock_now_ns(relay->options.clock));
	else
		cq_retry_succeeded(relay->retry);
}

static void on_direct(void *ctx, const struct cq_store_result *result)
{
	struct cq_store_call *call = ctx;
	struct cq_store_relay *relay = call->relay;
	bool repeatable =
		cq_store_relay_is_repeatable(call->arguments.operation);

	call->direct = NULL;
	cq_store_relay_note(relay, result->status);
	if (!call->done) {
		g_ptr_array_remove_fast(relay->calls, call);
		free_call(call);
		return;
	}
	if (result->status == CQ_STORE_UNAVAILABLE ||
	    (result->status == CQ_STORE_UNKNOWN && repeatable)) {
		if (call->correlation ||
		    cq_store_relay_ask_peer(
			    call, cq_clock_now_ns(relay->options.clock)))
			return;
	}
	complete(call, result);
}

static void on_probe(void *ctx, const struct cq_store_result *result)
{
	struct cq_store_relay *relay = ctx;

	relay->probe = NULL;
	cq_store_relay_note(relay, result->status);
}

/* The time for a peer, or for the store alone, has passed. */
static void end_wait(struct cq_store_call *call, int64_t now_ns)
{
	bool repeatable =
		cq_store_relay_is_repeatable(call->arguments.operation);

	if (call->failing)
		fail(call, CQ_STORE_UNAVAILABLE,
		     "store not reachable and no peer to ask");
	else if ((!repeatable || !cq_store_relay_ask_peer(call, now_ns)) &&
		 !call->direct)
		fail(call, CQ_STORE_UNKNOWN, "no answer from the peer");
}

void cq_store_relay_tick(struct cq_store_relay *relay, int64_t now_ns)
{
	GPtrArray *due = g_ptr_array_new();
	guint i, k;

	if (!cq_store_relay_is_direct(relay) && !relay->probe &&
	    cq_retry_begin(relay->retry, &relay->probe_call, INT64_MAX, now_ns))
		relay->probe = relay->direct->ops->get(relay->direct->self,
						       "settings/global",
						       PROBE_TIMEOUT_MS,
						       on_probe, relay);
	for (i = 0; i < relay->calls->len; i++) {
		struct cq_store_call *call = g_ptr_array_index(relay->calls, i);

		if (call->failing ||
		    (call->correlation && now_ns >= call->peer_deadline_ns) ||
		    (call->hedge_ns && now_ns >= call->hedge_ns))
			g_ptr_array_add(due, call);
	}
	for (i = 0; i < due->len; i++) {
		struct cq_store_call *call = g_ptr_array_index(due, i);

		/* A completion may have cancelled others. */
		for (k = 0; k < relay->calls->len; k++)
			if (g_ptr_array_index(relay->calls, k) == call)
				break;
		if (k == relay->calls->len)
			continue;
		end_wait(call, now_ns);
	}
	g_ptr_array_free(due, TRUE);
}

static void answered(struct cq_store_call *call, const Cq__StoreRelayAnswer *a,
		     const char *from_id, int64_t now_ns)
{
	struct cq_store_relay *relay = call->relay;
	struct cq_store_result result = { 0 };
	struct cq_store_entry *entries;
	size_t i;

	result.status = a->status <= CQ_STORE_INVALID
				? (enum cq_store_status)a->status
				: CQ_STORE_UNKNOWN;
	if (result.status == CQ_STORE_UNAVAILABLE ||
	    (result.status == CQ_STORE_UNKNOWN &&
	     cq_store_relay_is_repeatable(call->arguments.operation))) {
		if (!strcmp(relay->last_good, from_id))
			relay->last_good[0] = '\0';
		if (cq_store_relay_ask_peer(call, now_ns) || call->direct)
			return;
	} else if (result.status != CQ_STORE_UNKNOWN) {
		g_strlcpy(relay->last_good, from_id, sizeof(relay->last_good));
		relay->relayed++;
	}
	entries = g_new0(struct cq_store_entry, a->n_entries + 1);
	for (i = 0; i < a->n_entries; i++) {
		const Cq__StoreRelayEntry *in = a->entries[i];

		entries[i].key = in->key;
		if (!in->deleted) {
			entries[i].value = g_strndup((char *)in->value.data,
						     in->value.len);
			entries[i].value_len = in->value.len;
		}
		entries[i].revision = in->revision;
		entries[i].lease_id = in->lease_id;
	}
	result.revision = a->revision;
	result.lease_id = a->lease_id;
	result.entries = entries;
	result.entry_count = a->n_entries;
	result.message = a->message;
	complete(call, &result);
	for (i = 0; i < a->n_entries; i++)
		g_free((char *)entries[i].value);
	g_free(entries);
}

static bool take_answer(struct cq_store_relay *relay,
			const struct cq_peer_message *message, int64_t now_ns,
			struct cq_error *err)
{
	Cq__StoreRelayAnswer *answer = cq__store_relay_answer__unpack(
		NULL, message->payload_len, message->payload);
	guint i;

	if (!answer)
		return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
				    "malformed store answer of %zu bytes",
				    message->payload_len);
	for (i = 0; message->correlation && i < relay->calls->len; i++) {
		struct cq_store_call *call = g_ptr_array_index(relay->calls, i);

		if (call->correlation == message->correlation) {
			answered(call, answer, message->from_id, now_ns);
			break;
		}
	}
	cq__store_relay_answer__free_unpacked(answer, NULL);
	return true;
}

bool cq_store_relay_receive(struct cq_store_relay *relay,
			    const struct cq_peer_message *message,
			    int64_t now_ns, struct cq_error *err)
{
	if (message->kind == CQ_PEER_STORE_RELAY)
		return cq_store_relay_serve(relay, message, err);
	if (message->kind == CQ_PEER_STORE_RELAY_ANSWER)
		return take_answer(relay, message, now_ns, err);
	return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
			    "kind %d is not a store relay message",
			    (int)message->kind);
}
