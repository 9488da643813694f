/*
 * Guards against the payload of a peer message crashing membership, settings
 * synchronisation, the store relay or ownership, and against a payload that
 * moves the settings revision of the receiver backwards. The first byte is the
 * kind of the message.
 */
#include <assert.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/membership.h"
#include "chestnutquay/ownership.h"
#include "chestnutquay/settings_sync.h"
#include "chestnutquay/store_relay.h"

#define MAX_INPUT_BYTES 2048
#define SELF "127.0.0.1:7101"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A store that never answers. */
static struct cq_store_call *pending(void)
{
	return g_malloc0(1);
}

static struct cq_store_call *get(void *self, const char *key,
				 uint32_t timeout_ms, cq_store_done_fn *done,
				 void *ctx)
{
	(void)self;
	(void)timeout_ms;
	(void)done;
	(void)ctx;
	assert(key);
	return pending();
}

static struct cq_store_call *put(void *self, const char *key, const char *value,
				 int64_t revision, int64_t lease_id,
				 uint32_t timeout_ms, cq_store_done_fn *done,
				 void *ctx)
{
	(void)revision;
	(void)lease_id;
	assert(value);
	return get(self, key, timeout_ms, done, ctx);
}

static struct cq_store_call *remove_key(void *self, const char *key,
					int64_t revision, uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	(void)revision;
	return get(self, key, timeout_ms, done, ctx);
}

static struct cq_store_call *grant(void *self, uint32_t ttl_ms,
				   uint32_t timeout_ms, cq_store_done_fn *done,
				   void *ctx)
{
	(void)ttl_ms;
	return get(self, "", timeout_ms, done, ctx);
}

static struct cq_store_call *lease_call(void *self, int64_t lease_id,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	(void)lease_id;
	return get(self, "", timeout_ms, done, ctx);
}

static struct cq_store_call *watch(void *self, const char *prefix,
				   int64_t after_revision, uint32_t wait_ms,
				   cq_store_done_fn *done, void *ctx)
{
	(void)after_revision;
	return get(self, prefix, wait_ms, done, ctx);
}

static void cancel(void *self, struct cq_store_call *call)
{
	(void)self;
	g_free(call);
}

static const struct cq_store_ops store_ops = {
	.get = get,
	.list = get,
	.put = put,
	.remove = remove_key,
	.lease_grant = grant,
	.lease_keepalive = lease_call,
	.lease_revoke = lease_call,
	.watch = watch,
	.cancel = cancel,
};

static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	(void)ctx;
	(void)correlation;
	assert(address);
	assert(payload || !len);
	assert(strcmp(cq_peer_kind_string(kind), "?") != 0);
}

static void on_ownership(void *ctx, enum cq_ownership_state state,
			 int64_t epoch)
{
	(void)ctx;
	(void)state;
	(void)epoch;
}

static struct cq_membership *open_membership(void)
{
	static const struct cq_membership_ops ops = { .send = send_message };
	struct cq_membership_options options;

	cq_membership_options_init(&options);
	g_strlcpy(options.self.id, "a/schedd", sizeof(options.self.id));
	g_strlcpy(options.self.data_centre, "d1",
		  sizeof(options.self.data_centre));
	g_strlcpy(options.self.address, SELF, sizeof(options.self.address));
	options.self.role = CQ_ROLE_SCHEDD;
	options.self.incarnation = 5;
	return cq_membership_create(&options, &ops, NULL, 0);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct cq_settings_sync_ops sync_ops = {
		.send = send_message
	};
	static const struct cq_store_relay_ops relay_ops = {
		.send = send_message
	};
	static const struct cq_ownership_ops ownership_ops = {
		.send = send_message, .changed = on_ownership
	};
	const struct cq_store store = { &store_ops, NULL };
	struct cq_manual_clock *manual = cq_manual_clock_create(1, 1);
	struct cq_peer_message message = { .from_address = "127.0.0.2:7101",
					   .from_id = "b/schedd",
					   .from_incarnation = 7,
					   .correlation = 9 };
	struct cq_settings_sync_options sync_options;
	struct cq_store_relay_options relay_options;
	struct cq_ownership_options ownership_options;
	struct cq_settings *settings;
	struct cq_membership *membership;
	struct cq_settings_sync *sync;
	struct cq_store_relay *relay;
	struct cq_ownership *ownership;
	int64_t now_ns = 1;
	int i;

	if (size && size <= MAX_INPUT_BYTES) {
		message.kind = (enum cq_peer_kind)(data[0] % 64);
		message.payload = data + 1;
		message.payload_len = size - 1;
	}
	cq_settings_sync_options_init(&sync_options);
	cq_store_relay_options_init(&relay_options);
	cq_ownership_options_init(&ownership_options);
	sync_options.clock = cq_manual_clock_get(manual);
	relay_options.clock = sync_options.clock;
	ownership_options.clock = sync_options.clock;
	settings = cq_settings_create();
	cq_settings_advance(settings, 10);
	membership = open_membership();
	relay = cq_store_relay_create(&relay_options, &store, membership,
				      &relay_ops, NULL);
	sync = cq_settings_sync_create(&sync_options, cq_settings_sync_relay(),
				       settings, membership, &store, &sync_ops,
				       NULL, now_ns);
	ownership = cq_ownership_create(&ownership_options, membership, &store,
					&ownership_ops, NULL, now_ns);
	for (i = 0; i < 3; i++) {
		cq_membership_receive(membership, &message, now_ns, NULL);
		cq_settings_sync_receive(sync, &message, now_ns, NULL);
		cq_store_relay_receive(relay, &message, now_ns, NULL);
		cq_ownership_receive(ownership, &message, now_ns, NULL);
		cq_manual_clock_advance(manual, CQ_NS_PER_S);
		now_ns += CQ_NS_PER_S;
		cq_membership_tick(membership, now_ns);
		cq_settings_sync_tick(sync, now_ns);
		cq_store_relay_tick(relay, now_ns);
		cq_ownership_tick(ownership, now_ns);
	}
	assert(cq_settings_revision(settings) >= 10);
	assert(cq_membership_live_count(membership) >= 1);
	cq_ownership_destroy(ownership);
	cq_settings_sync_destroy(sync);
	cq_store_relay_destroy(relay);
	cq_membership_destroy(membership);
	cq_settings_destroy(settings);
	cq_manual_clock_destroy(manual);
	return 0;
}
