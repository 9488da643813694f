#include "chestnutquay/store_http.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "protocol/http_calls.h"

#define CONNECT_TIMEOUT_MS 500
/* Time allowed for a watch's answer beyond the store's own wait. */
#define WATCH_GRACE_MS 2000
#define MAX_ANSWER_BYTES (64U << 20)

struct cq_store_http {
	struct cq_store store;
	struct cq_http_calls *calls;
	char *address;
	uint64_t sent;
};

struct cq_store_call {
	struct cq_http_calls_entry entry;
	cq_store_done_fn *done;
	void *ctx;
	bool is_read; /* a read: has no effect, even if it is not answered */
};

static struct cq_store_call *store_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx);
static struct cq_store_call *store_list(void *self, const char *prefix,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx);
static struct cq_store_call *store_put(void *self, const char *key,
				       const char *value, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx);
static struct cq_store_call *store_remove(void *self, const char *key,
					  int64_t revision, uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx);
static struct cq_store_call *store_lease_grant(void *self, uint32_t ttl_ms,
					       uint32_t timeout_ms,
					       cq_store_done_fn *done,
					       void *ctx);
static struct cq_store_call *store_lease_keepalive(void *self, int64_t lease_id,
						   uint32_t timeout_ms,
						   cq_store_done_fn *done,
						   void *ctx);
static struct cq_store_call *store_lease_revoke(void *self, int64_t lease_id,
						uint32_t timeout_ms,
						cq_store_done_fn *done,
						void *ctx);
static struct cq_store_call *store_watch(void *self, const char *prefix,
					 int64_t after_revision,
					 uint32_t wait_ms,
					 cq_store_done_fn *done, void *ctx);
static void store_cancel(void *self, struct cq_store_call *call);
static struct cq_store_call *send_call(struct cq_store_http *http,
				       const char *method, char *path,
				       const char *body, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx);
static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *http_result);
static enum cq_store_status status_of(const struct cq_store_call *call,
				      const struct cq_http_result *result);
static bool parse_body(const struct cq_store_call *call,
		       const struct cq_http_result *http_result, json_t **root,
		       struct cq_store_result *result,
		       struct cq_store_entry **entries);

static const struct cq_store_ops store_ops = {
	.get = store_get,
	.list = store_list,
	.put = store_put,
	.remove = store_remove,
	.lease_grant = store_lease_grant,
	.lease_keepalive = store_lease_keepalive,
	.lease_revoke = store_lease_revoke,
	.watch = store_watch,
	.cancel = store_cancel,
};

struct cq_store_http *cq_store_http_create(struct cq_http_client *client,
					   const char *address)
{
	static const struct cq_http_calls_options calls = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.max_silence_ms = CQ_HTTP_MAX_SILENCE_MS,
		.done = on_done,
		.free_entry = g_free,
	};
	struct cq_store_http *http = g_new0(struct cq_store_http, 1);

	http->store.ops = &store_ops;
	http->store.self = http;
	http->address = g_strdup(address);
	http->calls = cq_http_calls_create(client, &calls);
	return http;
}

void cq_store_http_destroy(struct cq_store_http *http)
{
	if (!http)
		return;
	cq_http_calls_destroy(http->calls);
	g_free(http->address);
	g_free(http);
}

const struct cq_store *cq_store_http_get(struct cq_store_http *http)
{
	return &http->store;
}

uint64_t cq_store_http_calls(const struct cq_store_http *http)
{
	return http->sent;
}

static struct cq_store_call *send_call(struct cq_store_http *http,
				       const char *method, char *path,
				       const char *body, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	struct cq_store_call *call = g_new0(struct cq_store_call, 1);
	struct cq_http_request request = {
		.method = method,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_ms = timeout_ms,
	};

	call->done = done;
	call->ctx = ctx;
	call->is_read = !strcmp(method, "GET");
	/*
	 * The store may close a reused connection while a request is on its
	 * way. For a write that is an unknown outcome, which has to be resolved
	 * by a read; a lease keepalive is idempotent.
	 */
	request.fresh_connection = !call->is_read &&
				   !g_str_has_suffix(path, "/keepalive");
	http->sent++;
	cq_http_calls_send(http->calls, http->address, path, &request,
			   &call->entry);
	g_free(path);
	return call;
}

static enum cq_store_status status_of(const struct cq_store_call *call,
				      const struct cq_http_result *result)
{
	if (result->outcome == CQ_HTTP_NOT_SENT)
		return CQ_STORE_UNAVAILABLE;
	if (result->outcome == CQ_HTTP_UNKNOWN)
		return call->is_read ? CQ_STORE_UNAVAILABLE : CQ_STORE_UNKNOWN;
	switch (result->status) {
	case 200:
		return CQ_STORE_OK;
	case 404:
		return CQ_STORE_NOT_FOUND;
	case 409:
		return CQ_STORE_CONFLICT;
	case 503:
		return CQ_STORE_UNAVAILABLE;
	default:
		return result->status < 500 ? CQ_STORE_INVALID
					    : CQ_STORE_UNKNOWN;
	}
}

/* The answer to a read has its list of entries, if only an empty one. */
static bool parse_body(const struct cq_store_call *call,
		       const struct cq_http_result *http_result, json_t **root,
		       struct cq_store_result *result,
		       struct cq_store_entry **entries)
{
	json_t *list;
	json_t *item;
	size_t i;

	*root = json_loadb(http_result->body, http_result->body_len,
			   JSON_ALLOW_NUL, NULL);
	if (!json_is_object(*root))
		return false;
	result->revision =
		json_integer_value(json_object_get(*root, "revision"));
	result->lease_id = json_integer_value(json_object_get(*root, "lease"));
	list = json_object_get(*root, "entries");
	if (call->is_read && !json_is_array(list))
		return false;
	*entries = g_new0(struct cq_store_entry, json_array_size(list) + 1);
	json_array_foreach(list, i, item)
	{
		struct cq_store_entry *entry = &(*entries)[i];
		json_t *value = json_object_get(item, "value");

		entry->key = json_string_value(json_object_get(item, "key"));
		entry->value = json_string_value(value);
		entry->value_len = json_string_length(value);
		entry->revision =
			json_integer_value(json_object_get(item, "revision"));
		entry->lease_id =
			json_integer_value(json_object_get(item, "lease"));
		if (!entry->key)
			return false;
	}
	result->entries = *entries;
	result->entry_count = json_array_size(list);
	return true;
}

static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *http_result)
{
	const struct cq_store_call *call = (struct cq_store_call *)entry;
	struct cq_store_result result = { .message = http_result->error };
	struct cq_store_entry *entries = NULL;
	json_t *root = NULL;

	result.status = status_of(call, http_result);
	if (http_result->outcome == CQ_HTTP_ANSWERED &&
	    !parse_body(call, http_result, &root, &result, &entries) &&
	    result.status == CQ_STORE_OK) {
		result.status = call->is_read ? CQ_STORE_UNAVAILABLE
					      : CQ_STORE_UNKNOWN;
		result.message = "the store's answer is malformed";
		result.entry_count = 0;
	}
	call->done(call->ctx, &result);
	g_free(entries);
	json_decref(root);
}

static void store_cancel(void *self, struct cq_store_call *call)
{
	(void)self;
	cq_http_calls_cancel(&call->entry);
}

static struct cq_store_call *store_get(void *self, const char *key,
				       uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	return send_call(self, "GET", g_strdup_printf("/v1/kv/%s", key), NULL,
			 timeout_ms, done, ctx);
}

static struct cq_store_call *store_list(void *self, const char *prefix,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	return send_call(self, "GET",
			 g_strdup_printf("/v1/kv?prefix=%s", prefix), NULL,
			 timeout_ms, done, ctx);
}

static struct cq_store_call *store_put(void *self, const char *key,
				       const char *value, int64_t revision,
				       int64_t lease_id, uint32_t timeout_ms,
				       cq_store_done_fn *done, void *ctx)
{
	return send_call(self, "PUT",
			 g_strdup_printf("/v1/kv/%s?revision=%" PRId64
					 "&lease=%" PRId64,
					 key, revision, lease_id),
			 value, timeout_ms, done, ctx);
}

static struct cq_store_call *store_remove(void *self, const char *key,
					  int64_t revision, uint32_t timeout_ms,
					  cq_store_done_fn *done, void *ctx)
{
	return send_call(self, "DELETE",
			 g_strdup_printf("/v1/kv/%s?revision=%" PRId64, key,
					 revision),
			 NULL, timeout_ms, done, ctx);
}

static struct cq_store_call *store_lease_grant(void *self, uint32_t ttl_ms,
					       uint32_t timeout_ms,
					       cq_store_done_fn *done,
					       void *ctx)
{
	return send_call(self, "POST",
			 g_strdup_printf("/v1/leases?ttl_ms=%u", ttl_ms), NULL,
			 timeout_ms, done, ctx);
}

static struct cq_store_call *store_lease_keepalive(void *self, int64_t lease_id,
						   uint32_t timeout_ms,
						   cq_store_done_fn *done,
						   void *ctx)
{
	return send_call(self, "POST",
			 g_strdup_printf("/v1/leases/%" PRId64 "/keepalive",
					 lease_id),
			 NULL, timeout_ms, done, ctx);
}

static struct cq_store_call *store_lease_revoke(void *self, int64_t lease_id,
						uint32_t timeout_ms,
						cq_store_done_fn *done,
						void *ctx)
{
	return send_call(self, "DELETE",
			 g_strdup_printf("/v1/leases/%" PRId64, lease_id), NULL,
			 timeout_ms, done, ctx);
}

static struct cq_store_call *store_watch(void *self, const char *prefix,
					 int64_t after_revision,
					 uint32_t wait_ms,
					 cq_store_done_fn *done, void *ctx)
{
	return send_call(self, "GET",
			 g_strdup_printf("/v1/watch?prefix=%s&after=%" PRId64
					 "&wait_ms=%u",
					 prefix, after_revision, wait_ms),
			 NULL, wait_ms + WATCH_GRACE_MS, done, ctx);
}
