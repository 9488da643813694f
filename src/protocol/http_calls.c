#include "protocol/http_calls.h"

struct cq_http_calls {
	struct cq_http_client *client;
	struct cq_http_calls_options options;
	GHashTable *open; /* set of struct cq_http_calls_entry */
};

struct cq_http_calls *
cq_http_calls_create(struct cq_http_client *client,
		     const struct cq_http_calls_options *options)
{
	struct cq_http_calls *calls = g_new0(struct cq_http_calls, 1);

	calls->client = client;
	calls->options = *options;
	calls->open = g_hash_table_new(NULL, NULL);
	return calls;
}

void cq_http_calls_destroy(struct cq_http_calls *calls)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, calls->open);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_http_calls_entry *entry = key;

		cq_http_call_cancel(entry->http);
		calls->options.free_entry(entry);
	}
	g_hash_table_destroy(calls->open);
	g_free(calls);
}

static void on_answer(void *ctx, const struct cq_http_result *result)
{
	struct cq_http_calls_entry *entry = ctx;
	GDestroyNotify free_entry = entry->calls->options.free_entry;

	g_hash_table_remove(entry->calls->open, entry);
	/* The callback may destroy the adapter, and with it the calls. */
	entry->calls->options.done(entry, result);
	free_entry(entry);
}

void cq_http_calls_send(struct cq_http_calls *calls, const char *address,
			const char *path, const struct cq_http_request *request,
			struct cq_http_calls_entry *entry)
{
	struct cq_http_request full_request = *request;
	char *url = g_strdup_printf("http://%s%s", address, path);

	full_request.url = url;
	full_request.connect_timeout_ms =
		MIN(calls->options.connect_timeout_ms, request->timeout_ms);
	full_request.max_silence_ms =
		MIN(calls->options.max_silence_ms, request->timeout_ms);
	if (!full_request.max_answer_bytes)
		full_request.max_answer_bytes = calls->options.max_answer_bytes;
	entry->calls = calls;
	g_hash_table_add(calls->open, entry);
	entry->http = cq_http_client_send(calls->client, &full_request,
					  on_answer, entry);
	g_free(url);
}

void cq_http_calls_cancel(struct cq_http_calls_entry *entry)
{
	cq_http_call_cancel(entry->http);
	g_hash_table_remove(entry->calls->open, entry);
	entry->calls->options.free_entry(entry);
}
