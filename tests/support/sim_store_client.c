/* The client side of the simulated store: calls and their time limits. */
#include "sim_store_private.h"

#include <assert.h>

static struct cq_store_call *submit(struct client *client,
				    enum operation operation, const char *key,
				    cq_store_done_fn *done, void *ctx);
static struct cq_store_call *send_call(struct cq_store_call *call,
				       uint32_t timeout_ms);
static void time_out(void *ctx);
static void timed_out(void *ctx);
static struct cq_store_call *client_get(void *self, const char *key,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx);
static struct cq_store_call *client_list(void *self, const char *prefix,
					 uint32_t timeout_ms,
					 cq_store_done_fn *done, void *ctx);
static struct cq_store_call *client_put(void *self, const char *key,
					const char *value, int64_t revision,
					int64_t lease_id, uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx);
static struct cq_store_call *client_remove(void *self, const char *key,
					   int64_t revision,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx);
static struct cq_store_call *client_grant(void *self, uint32_t ttl_ms,
					  uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx);
static struct cq_store_call *client_keepalive(void *self, int64_t lease_id,
					      uint32_t timeout_ms,
					      cq_store_done_fn *done,
					      void *ctx);
static struct cq_store_call *client_revoke(void *self, int64_t lease_id,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx);
static struct cq_store_call *client_watch(void *self, const char *prefix,
					  int64_t after_revision,
					  uint32_t wait_ms,
					  cq_store_done_fn *done, void *ctx);
static void client_cancel(void *self, struct cq_store_call *call);

static const struct cq_store_ops client_ops = {
	.get = client_get,
	.list = client_list,
	.put = client_put,
	.remove = client_remove,
	.lease_grant = client_grant,
	.lease_keepalive = client_keepalive,
	.lease_revoke = client_revoke,
	.watch = client_watch,
	.cancel = client_cancel,
};

const struct cq_store_ops *cq_sim_store_client_ops(void)
{
	return &client_ops;
}

static struct cq_store_call *submit(struct client *client,
				    enum operation operation, const char *key,
				    cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = g_rc_box_new0(struct cq_store_call);

	call->client = client;
	call->life = cq_sim_host_life(client->store->sim, client->host);
	call->operation = operation;
	call->key = g_strdup(key);
	call->done = done;
	call->ctx = ctx;
	return call;
}

static struct cq_store_call *send_call(struct cq_store_call *call,
				       uint32_t timeout_ms)
{
	struct cq_sim_store *store = call->client->store;
	int64_t now_ns = cq_sim_now_ns(store->sim);

	call->client->sent++;
	/* The first reference is that of the handle. */
	g_rc_box_acquire(call);
	cq_sim_at(store->sim, now_ns + cq_sim_store_delay(store),
		  cq_sim_store_arrive, call, cq_sim_store_unref);
	g_rc_box_acquire(call);
	call->timeout = cq_sim_at(store->sim,
				  now_ns + MAX(timeout_ms, 1) * CQ_NS_PER_MS,
				  time_out, call, cq_sim_store_unref);
	return call;
}

static void time_out(void *ctx)
{
	struct cq_store_call *call = ctx;

	call->timeout = NULL;
	cq_sim_host_post(call->client->store->sim, call->client->host,
			 call->life, timed_out, call, cq_sim_store_unref);
}

static void timed_out(void *ctx)
{
	struct cq_store_call *call = ctx;
	struct client *client = call->client;
	bool cut = cq_sim_net_is_blocked(client->store->sim, client->host,
					 CQ_SIM_STORE);

	/* A new connection that is never accepted is known not to be sent. */
	cq_sim_store_complete(call, cut && cq_sim_random(client->store->sim, 2)
					    ? CQ_STORE_UNAVAILABLE
					    : CQ_STORE_UNKNOWN);
	cq_sim_store_unref(call);
}

static struct cq_store_call *client_get(void *self, const char *key,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	return send_call(submit(self, GET, key, done, ctx), timeout_ms);
}

static struct cq_store_call *client_list(void *self, const char *prefix,
					 uint32_t timeout_ms,
					 cq_store_done_fn *done, void *ctx)
{
	return send_call(submit(self, LIST, prefix, done, ctx), timeout_ms);
}

static struct cq_store_call *client_put(void *self, const char *key,
					const char *value, int64_t revision,
					int64_t lease_id, uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = submit(self, PUT, key, done, ctx);

	call->value = g_strdup(value);
	call->revision = revision;
	call->lease_id = lease_id;
	return send_call(call, timeout_ms);
}

static struct cq_store_call *client_remove(void *self, const char *key,
					   int64_t revision,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = submit(self, REMOVE, key, done, ctx);

	call->revision = revision;
	return send_call(call, timeout_ms);
}

static struct cq_store_call *client_grant(void *self, uint32_t ttl_ms,
					  uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = submit(self, GRANT, NULL, done, ctx);

	call->ttl_ns = ttl_ms * CQ_NS_PER_MS;
	return send_call(call, timeout_ms);
}

static struct cq_store_call *client_keepalive(void *self, int64_t lease_id,
					      uint32_t timeout_ms,
					      cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = submit(self, KEEPALIVE, NULL, done, ctx);

	call->lease_id = lease_id;
	return send_call(call, timeout_ms);
}

static struct cq_store_call *client_revoke(void *self, int64_t lease_id,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = submit(self, REVOKE, NULL, done, ctx);

	call->lease_id = lease_id;
	return send_call(call, timeout_ms);
}

static struct cq_store_call *client_watch(void *self, const char *prefix,
					  int64_t after_revision,
					  uint32_t wait_ms,
					  cq_store_done_fn *done, void *ctx)
{
	struct client *client = self;
	struct cq_store_call *call = submit(self, WATCH, prefix, done, ctx);

	call->revision = after_revision;
	call->wait_until_ns = cq_sim_now_ns(client->store->sim) +
			      (int64_t)wait_ms * CQ_NS_PER_MS;
	/* The client gives the answer a second more than the wait. */
	return send_call(call, wait_ms + 1000);
}

static void client_cancel(void *self, struct cq_store_call *call)
{
	struct client *client = self;

	assert(call->done);
	call->done = NULL;
	if (call->timeout) {
		cq_sim_cancel(client->store->sim, call->timeout);
		call->timeout = NULL;
	}
	cq_sim_store_unref(call);
}
