#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/host_list.h"
#include "protocol/http_calls.h"

#define CONNECT_TIMEOUT_MS 500
#define MAX_ANSWER_BYTES (16U << 20)

struct cq_host_list_http {
	struct cq_host_list list;
	struct cq_http_calls *calls;
	char *address;
};

struct fetch {
	struct cq_http_calls_entry entry;
	cq_host_list_done_fn *done;
	void *ctx;
};

static void fetch(void *self, uint32_t timeout_ms, cq_host_list_done_fn *done,
		  void *ctx);
static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *result);
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
	static const struct cq_http_calls_options calls = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.max_silence_ms = CQ_HTTP_MAX_SILENCE_MS,
		.done = on_done,
		.free_entry = g_free,
	};
	struct cq_host_list_http *http = g_new0(struct cq_host_list_http, 1);

	http->list.ops = &list_ops;
	http->list.self = http;
	http->calls = cq_http_calls_create(client, &calls);
	http->address = g_strdup(address);
	return http;
}

void cq_host_list_http_destroy(struct cq_host_list_http *http)
{
	if (!http)
		return;
	cq_http_calls_destroy(http->calls);
	g_free(http->address);
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
		.timeout_ms = timeout_ms,
	};

	f->done = done;
	f->ctx = ctx;
	cq_http_calls_send(http->calls, http->address, "/v1/hosts", &request,
			   &f->entry);
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

static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *result)
{
	const struct fetch *f = (struct fetch *)entry;
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
	f->done(f->ctx, hosts, count);
	g_free(hosts);
	json_decref(root);
}
