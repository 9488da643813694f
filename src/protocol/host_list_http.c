#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/host_list.h"
#include "chestnutquay/http_client.h"

#define CONNECT_TIMEOUT_MS 500

struct cq_host_list_http {
	struct cq_host_list list;
	struct cq_http_client *client;
	char *url;
	GPtrArray *fetches;
};

struct fetch {
	struct cq_host_list_http *http;
	struct cq_http_call *call;
	cq_host_list_done_fn *done;
	void *ctx;
};

static void fetch(void *self, uint32_t timeout_ms, cq_host_list_done_fn *done,
		  void *ctx);
static void on_done(void *ctx, const struct cq_http_result *result);
static bool parse_host(const json_t *item, struct cq_host *host);
static const char *text_of(const json_t *item, const char *name);
static bool parse_name(const char *text, const char *const *names, size_t count,
		       int *index);

static const char *const kind_strings[] = {
	[CQ_HOST_ENTRY] = "entry",
	[CQ_HOST_WORKER] = "worker",
	[CQ_HOST_ENDPOINT] = "endpoint",
};

static const char *const state_strings[] = {
	[CQ_HOST_LIVE] = "live",
	[CQ_HOST_LEAVING] = "leaving",
};

static const struct cq_host_list_ops list_ops = { .fetch = fetch };

const char *cq_host_kind_string(enum cq_host_kind kind)
{
	return kind_strings[kind];
}

const char *cq_host_state_string(enum cq_host_state state)
{
	return state_strings[state];
}

struct cq_host_list_http *
cq_host_list_http_create(struct cq_http_client *client, const char *address)
{
	struct cq_host_list_http *http = g_new0(struct cq_host_list_http, 1);

	http->list.ops = &list_ops;
	http->list.self = http;
	http->client = client;
	http->url = g_strdup_printf("http://%s/v1/hosts", address);
	http->fetches = g_ptr_array_new_with_free_func(g_free);
	return http;
}

void cq_host_list_http_destroy(struct cq_host_list_http *http)
{
	guint i;

	if (!http)
		return;
	for (i = 0; i < http->fetches->len; i++) {
		struct fetch *f = g_ptr_array_index(http->fetches, i);

		cq_http_call_cancel(f->call);
	}
	g_ptr_array_free(http->fetches, TRUE);
	g_free(http->url);
	g_free(http);
}

const struct cq_host_list *cq_host_list_http_get(struct cq_host_list_http *http)
{
	return &http->list;
}

static void fetch(void *self, uint32_t timeout_ms, cq_host_list_done_fn *done,
		  void *ctx)
{
	struct cq_host_list_http *http = self;
	struct fetch *f = g_new0(struct fetch, 1);
	struct cq_http_request request = {
		.method = "GET",
		.url = http->url,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = timeout_ms,
		.max_answer_bytes = 16U << 20,
	};

	f->http = http;
	f->done = done;
	f->ctx = ctx;
	g_ptr_array_add(http->fetches, f);
	f->call = cq_http_client_send(http->client, &request, on_done, f);
}

static const char *text_of(const json_t *item, const char *name)
{
	const char *text = json_string_value(json_object_get(item, name));

	return text ? text : "";
}

static bool parse_name(const char *text, const char *const *names, size_t count,
		       int *index)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(text, names[i]) != 0)
			continue;
		*index = (int)i;
		return true;
	}
	return false;
}

static bool parse_host(const json_t *item, struct cq_host *host)
{
	int kind;
	int state;

	host->id = text_of(item, "id");
	host->address = text_of(item, "address");
	host->data_centre = text_of(item, "data_centre");
	host->rack = text_of(item, "rack");
	host->slots =
		(uint32_t)json_integer_value(json_object_get(item, "slots"));
	host->connections = (uint32_t)json_integer_value(
		json_object_get(item, "connections"));
	if (!parse_name(text_of(item, "kind"), kind_strings,
			G_N_ELEMENTS(kind_strings), &kind) ||
	    !parse_name(text_of(item, "state"), state_strings,
			G_N_ELEMENTS(state_strings), &state))
		return false;
	host->kind = (enum cq_host_kind)kind;
	host->state = (enum cq_host_state)state;
	return *host->id && *host->address;
}

static void on_done(void *ctx, const struct cq_http_result *result)
{
	struct fetch *f = ctx;
	struct cq_host_list_http *http = f->http;
	cq_host_list_done_fn *done = f->done;
	void *done_ctx = f->ctx;
	struct cq_host *hosts = NULL;
	json_t *root = NULL;
	json_t *list = NULL;
	json_t *item;
	size_t i;
	size_t count = 0;

	if (result->outcome == CQ_HTTP_ANSWERED && result->status == 200) {
		root = json_loadb(result->body, result->body_len, 0, NULL);
		list = json_object_get(root, "hosts");
	}
	if (json_is_array(list)) {
		hosts = g_new0(struct cq_host, json_array_size(list) + 1);
		json_array_foreach(list, i,
				   item) if (parse_host(item, &hosts[count]))
			count++;
	}
	g_ptr_array_remove_fast(http->fetches, f);
	done(done_ctx, hosts, count);
	g_free(hosts);
	json_decref(root);
}
