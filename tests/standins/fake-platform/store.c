#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "fake_platform.h"

#define MAX_ENTRIES 32

static json_t *entry_json(const struct cq_store_entry *entry)
{
	json_t *item = json_pack("{s:s,s:I,s:I}", "key", entry->key, "revision",
				 (json_int_t)entry->revision, "lease",
				 (json_int_t)entry->lease_id);
	char *value;

	if (!entry->value) {
		json_object_set_new(item, "deleted", json_true());
		return item;
	}
	value = g_base64_encode((const guchar *)entry->value, entry->value_len);
	json_object_set_new(item, "value", json_string(value));
	g_free(value);
	return item;
}

static json_t *entries_json(const struct cq_store_result *result)
{
	json_t *items = json_array();
	size_t i;

	for (i = 0; i < result->entry_count; i++)
		json_array_append_new(items, entry_json(&result->entries[i]));
	return items;
}

static uint32_t status_of(enum cq_store_status status)
{
	switch (status) {
	case CQ_STORE_OK:
		return 200;
	case CQ_STORE_CONFLICT:
		return 412;
	case CQ_STORE_NOT_FOUND:
		return 404;
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		return 410;
	default:
		return 503;
	}
}

static void on_result(void *ctx, const struct cq_store_result *result)
{
	struct cq_http_exchange *exchange = fake_call_end(ctx);
	const char *path;
	uint32_t status = status_of(result->status);
	json_t *body;

	if (!exchange)
		return;
	path = cq_http_exchange_path(exchange);
	if (!strcmp(path, "/kv-key") && status == 200)
		body = entry_json(&result->entries[0]);
	else if (!strcmp(path, "/kv-watch"))
		body = json_pack("{s:o}", "events", entries_json(result));
	else
		body = json_pack("{s:o,s:b}", "items", entries_json(result),
				 "hasMore", 0);
	json_object_set_new(body, "atRev",
			    json_integer((json_int_t)result->revision));
	if (!strcmp(path, "/kv-txn"))
		json_object_set_new(body, "revision",
				    json_integer((json_int_t)result->revision));
	json_object_set_new(body, "ttlMs", json_integer(1000));
	if (result->lease_id)
		json_object_set_new(body, "lease",
				    json_integer((json_int_t)result->lease_id));
	fake_respond(exchange, status, body);
}

static int64_t integer_field(const json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static const char *string_field(const json_t *object, const char *field)
{
	const char *value = json_string_value(json_object_get(object, field));

	return value ? value : "";
}

static void commit(const struct cq_store *s, const json_t *root,
		   struct cq_http_exchange *exchange)
{
	const json_t *expect = json_object_get(root, "expect");
	const json_t *rows = json_object_get(root, "puts");
	const json_t *deleted_keys = json_object_get(root, "deletes");
	struct cq_store_check checks[MAX_ENTRIES];
	struct cq_store_put puts[MAX_ENTRIES];
	const char *deletes[MAX_ENTRIES];
	char *values[MAX_ENTRIES] = { NULL };
	struct cq_store_txn txn = { checks, 0, puts, 0, deletes, 0 };
	size_t i;

	if (json_array_size(expect) + json_array_size(rows) +
		    json_array_size(deleted_keys) >
	    MAX_ENTRIES) {
		fake_respond(exchange, 400, json_object());
		return;
	}
	for (i = 0; i < json_array_size(expect); i++) {
		const json_t *row = json_array_get(expect, i);

		checks[txn.check_count++] = (struct cq_store_check){
			string_field(row, "key"), integer_field(row, "revision")
		};
	}
	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		gsize len;
		guchar *bytes =
			g_base64_decode(string_field(row, "value"), &len);

		values[i] = g_strndup((const char *)bytes, len);
		g_free(bytes);
		puts[txn.put_count++] =
			(struct cq_store_put){ string_field(row, "key"),
					       values[i],
					       integer_field(row, "lease") };
	}
	for (i = 0; i < json_array_size(deleted_keys); i++)
		deletes[txn.delete_count++] =
			json_string_value(json_array_get(deleted_keys, i));
	s->ops->commit(s->self, &txn, 0, on_result, fake_call(exchange));
	for (i = 0; i < txn.put_count; i++)
		g_free(values[i]);
}

static int64_t query_number(const struct cq_http_exchange *exchange,
			    const char *name)
{
	const char *value = cq_http_exchange_query(exchange, name);

	return value ? g_ascii_strtoll(value, NULL, 10) : 0;
}

static void add_task(void *ctx, const char *task, uint32_t starts,
		     uint32_t done)
{
	json_array_append_new(ctx, json_pack("[s,i,i]", task, (int)starts,
					     (int)done));
}

static void control_worker(struct fake_platform *p, const char *verb,
			   const char *id)
{
	struct fake_worker *w = NULL;
	int k;

	for (k = 0; k < FAKE_MAX_WORKERS; k++)
		if (!strcmp(p->workers[k].id, id))
			w = &p->workers[k];
	if (!w)
		return;
	if (!strcmp(verb, "/control/drain"))
		fake_worker_register(w, "draining");
	else if (!strcmp(verb, "/control/bar"))
		mem_executor_forbid_starts(p->executor, id, true);
	else if (!strcmp(verb, "/control/reboot"))
		mem_executor_restart(p->executor, id);
	if (strcmp(verb, "/control/allow") && strcmp(verb, "/control/reboot"))
		return;
	mem_executor_forbid_starts(p->executor, id, false);
	fake_worker_register(w, "ready");
}

static void control(struct fake_platform *p, struct cq_http_exchange *exchange)
{
	const char *path = cq_http_exchange_path(exchange);
	const char *key = cq_http_exchange_query(exchange, "key");
	const char *worker = cq_http_exchange_query(exchange, "worker");
	size_t len;
	const char *body = cq_http_exchange_body(exchange, &len);
	json_t *tasks = json_array();

	if (worker)
		control_worker(p, path, worker);
	if (!strcmp(path, "/control/tasks"))
		mem_executor_each_task(p->executor, add_task, tasks);
	if (!strcmp(path, "/control/put") && key)
		mem_store_write(p->store, key, len ? body : NULL);
	fake_respond(exchange, 200,
		     json_pack("{s:i,s:i,s:s,s:o}", "running",
			       (int)mem_executor_running(p->executor), "starts",
			       (int)mem_executor_starts(p->executor),
			       "breaches", mem_executor_violations(p->executor),
			       "tasks", tasks));
}

void fake_store_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct fake_platform *p = ctx;
	const struct cq_store *s = mem_store_get(p->store);
	const char *path = cq_http_exchange_path(exchange);
	const char *key = cq_http_exchange_query(exchange, "key");
	const char *prefix = cq_http_exchange_query(exchange, "prefix");
	size_t len;
	const char *body = cq_http_exchange_body(exchange, &len);
	json_t *root = json_loadb(body, len, 0, NULL);

	if (g_str_has_prefix(path, "/control/"))
		control(p, exchange);
	else if (!strcmp(path, "/kv-key") && key)
		s->ops->get(s->self, key, 0, on_result, fake_call(exchange));
	else if (!strcmp(path, "/kv-range") && prefix)
		s->ops->list(s->self, prefix, 0, on_result,
			     fake_call(exchange));
	else if (!strcmp(path, "/kv-watch") && prefix)
		s->ops->watch(s->self, prefix, query_number(exchange, "after"),
			      (uint32_t)query_number(exchange, "waitMs"),
			      on_result, fake_call(exchange));
	else if (!strcmp(path, "/kv-txn"))
		commit(s, root, exchange);
	else if (!strcmp(path, "/kv-lease"))
		s->ops->lease_grant(s->self,
				    (uint32_t)integer_field(root, "ttlMs"), 0,
				    on_result, fake_call(exchange));
	else if (g_str_has_prefix(path, "/kv-keep/"))
		s->ops->lease_keepalive(s->self, atoll(strrchr(path, '/') + 1),
					0, on_result, fake_call(exchange));
	else if (g_str_has_prefix(path, "/kv-lease-end/"))
		s->ops->lease_revoke(s->self, atoll(strrchr(path, '/') + 1), 0,
				     on_result, fake_call(exchange));
	else
		fake_respond(exchange, 400, json_object());
	json_decref(root);
}
