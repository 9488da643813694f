/*
 * Guards against a malformed answer of the store crashing its adapter, being
 * taken for success, or a written call being reported as not executed. The
 * adapter and its set of calls are included with their public names changed and
 * get their answers from the input.
 */
#include "chestnutquay/http_client.h"

#define cq_store_http_create fuzz_store_http_create
#define cq_store_http_destroy fuzz_store_http_destroy
#define cq_store_http_get fuzz_store_http_get
#define cq_store_http_calls fuzz_store_http_calls
#define cq_http_calls_create fuzz_http_calls_create
#define cq_http_calls_destroy fuzz_http_calls_destroy
#define cq_http_calls_send fuzz_http_calls_send
#define cq_http_calls_cancel fuzz_http_calls_cancel
#define cq_http_client_send fuzz_http_client_send
#define cq_http_call_cancel fuzz_http_call_cancel

struct cq_http_call *
fuzz_http_client_send(struct cq_http_client *client,
		      const struct cq_http_request *request,
		      cq_http_done_fn *done, void *ctx);
void fuzz_http_call_cancel(struct cq_http_call *call);

#include "protocol/http_calls.c"
#include "protocol/store_http.c"

#include <assert.h>

static cq_http_done_fn *pending_done;
static void *pending_ctx;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct cq_http_call *
fuzz_http_client_send(struct cq_http_client *client,
		      const struct cq_http_request *request,
		      cq_http_done_fn *done, void *ctx)
{
	(void)client;
	assert(request->url && request->timeout_ms);
	pending_done = done;
	pending_ctx = ctx;
	return NULL;
}

void fuzz_http_call_cancel(struct cq_http_call *call)
{
	(void)call;
}

static void on_result(void *ctx, const struct cq_store_result *result)
{
	struct cq_store_result *copy = ctx;
	size_t i;

	assert(result->message);
	assert(!result->entry_count || result->entries);
	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *entry = &result->entries[i];

		assert(entry->key);
		assert(!entry->value ||
		       strlen(entry->value) <= entry->value_len);
	}
	*copy = *result;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const uint32_t statuses[] = { 200, 404, 409, 503, 400, 500 };
	struct cq_http_result answer = { .outcome = CQ_HTTP_ANSWERED,
					 .error = "" };
	struct cq_store_result result = { .status = CQ_STORE_INVALID };
	struct cq_store_http *http;
	const struct cq_store *store;
	bool writes;

	if (size < 2)
		return 0;
	answer.status = statuses[data[0] % G_N_ELEMENTS(statuses)];
	answer.body = (const char *)data + 2;
	answer.body_len = size - 2;
	http = cq_store_http_create(NULL, "127.0.0.1:1");
	store = cq_store_http_get(http);
	writes = data[1] & 1;
	if (writes)
		store->ops->put(store->self, "k", "v", 1, 0, 100, on_result,
				&result);
	else
		store->ops->list(store->self, "k", 100, on_result, &result);
	pending_done(pending_ctx, &answer);
	if (answer.status == 200 && writes)
		assert(result.status == CQ_STORE_OK ||
		       result.status == CQ_STORE_UNKNOWN);
	if (answer.status != 200)
		assert(result.status != CQ_STORE_OK);
	cq_store_http_destroy(http);
	return 0;
}
