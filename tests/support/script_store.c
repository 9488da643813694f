#include "script_store.h"

#include <string.h>

static void free_call(gpointer data)
{
	struct cq_store_call *call = data;

	g_free(call->key);
	g_free(call->value);
	g_free(call);
}

static struct cq_store_call *note(void *self,
				  enum cq_script_operation operation,
				  const char *key, cq_store_done_fn *done,
				  void *ctx)
{
	struct cq_script_store *script = self;
	struct cq_store_call *call = g_new0(struct cq_store_call, 1);

	call->operation = operation;
	call->key = g_strdup(key);
	call->done = done;
	call->ctx = ctx;
	g_ptr_array_add(script->calls, call);
	return call;
}

static struct cq_store_call *script_get(void *self, const char *key,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	return note(self, CQ_SCRIPT_GET, key, done, ctx);
}

static struct cq_store_call *script_list(void *self, const char *prefix,
					 uint32_t timeout_ms,
					 cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	return note(self, CQ_SCRIPT_LIST, prefix, done, ctx);
}

static struct cq_store_call *script_put(void *self, const char *key,
					const char *value, int64_t revision,
					int64_t lease_id, uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = note(self, CQ_SCRIPT_PUT, key, done, ctx);

	(void)timeout_ms;
	call->value = g_strdup(value);
	call->revision = revision;
	call->lease_id = lease_id;
	return call;
}

static struct cq_store_call *script_remove(void *self, const char *key,
					   int64_t revision,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call =
		note(self, CQ_SCRIPT_REMOVE, key, done, ctx);

	(void)timeout_ms;
	call->revision = revision;
	return call;
}

static struct cq_store_call *script_grant(void *self, uint32_t ttl_ms,
					  uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx)
{
	(void)ttl_ms;
	(void)timeout_ms;
	return note(self, CQ_SCRIPT_GRANT, NULL, done, ctx);
}

static struct cq_store_call *script_keepalive(void *self, int64_t lease_id,
					      uint32_t timeout_ms,
					      cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call =
		note(self, CQ_SCRIPT_KEEPALIVE, NULL, done, ctx);

	(void)timeout_ms;
	call->lease_id = lease_id;
	return call;
}

static struct cq_store_call *script_revoke(void *self, int64_t lease_id,
					   uint32_t timeout_ms,
					   cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call =
		note(self, CQ_SCRIPT_REVOKE, NULL, done, ctx);

	(void)timeout_ms;
	call->lease_id = lease_id;
	return call;
}

static struct cq_store_call *script_watch(void *self, const char *prefix,
					  int64_t after_revision,
					  uint32_t wait_ms,
					  cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call =
		note(self, CQ_SCRIPT_WATCH, prefix, done, ctx);

	(void)wait_ms;
	call->revision = after_revision;
	return call;
}

static void script_cancel(void *self, struct cq_store_call *call)
{
	struct cq_script_store *script = self;

	g_assert_true(g_ptr_array_remove(script->calls, call));
}

void cq_script_store_init(struct cq_script_store *script)
{
	static const struct cq_store_ops ops = {
		.get = script_get,
		.list = script_list,
		.put = script_put,
		.remove = script_remove,
		.lease_grant = script_grant,
		.lease_keepalive = script_keepalive,
		.lease_revoke = script_revoke,
		.watch = script_watch,
		.cancel = script_cancel,
	};

	script->store.ops = &ops;
	script->store.self = script;
	script->calls = g_ptr_array_new_with_free_func(free_call);
}

void cq_script_store_clear(struct cq_script_store *script)
{
	g_assert_cmpuint(script->calls->len, ==, 0);
	g_ptr_array_free(script->calls, TRUE);
}

struct cq_store_call *cq_script_store_find(struct cq_script_store *script,
					   enum cq_script_operation operation,
					   const char *prefix)
{
	guint i;

	for (i = 0; i < script->calls->len; i++) {
		struct cq_store_call *call =
			g_ptr_array_index(script->calls, i);

		if (call->operation == operation &&
		    (!*prefix ||
		     (call->key && g_str_has_prefix(call->key, prefix))))
			return call;
	}
	return NULL;
}

void cq_script_store_answer(struct cq_script_store *script,
			    struct cq_store_call *call,
			    const struct cq_store_result *result)
{
	struct cq_store_result given = *result;
	guint at = 0;

	g_assert_nonnull(call);
	g_assert_true(g_ptr_array_find(script->calls, call, &at));
	g_ptr_array_steal_index(script->calls, at);
	given.message = "";
	call->done(call->ctx, &given);
	free_call(call);
}
