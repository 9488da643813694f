/*
 * Simulates the key-value store and the host list of the platform.
 *
 * Serves the interface described in include/chestnutquay/store_http.h, GET and
 * PUT /v1/hosts for the host list, and PUT /v1/faults, which injects faults:
 *
 *   {"down":bool}            every call but /v1/faults is answered 503
 *   {"silent":bool}          calls are never answered
 *   {"delay_ms":N}           answers are delayed by N ms
 *   {"lose_answers":N}       the next N writes take effect, but their
 *                            connection closes without an answer
 *   {"host_list_lag_ms":N}   a changed host list is visible after N ms
 *
 * GET /v1/stats returns counts of calls: reads, writes, watches, waiting.
 */
#include <ev.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/config.h"
#include "chestnutquay/http_server.h"
#include "chestnutquay/store.h"
#include "fake_store.h"

#define TICK_S 0.05

static void entry_free(void *data)
{
	struct entry *entry = data;

	g_free(entry->key);
	g_free(entry->value);
	g_free(entry);
}

static json_t *entry_json(const struct entry *entry)
{
	json_t *object = json_pack("{s:s,s:I,s:I}", "key", entry->key,
				   "revision", (json_int_t)entry->revision,
				   "lease", (json_int_t)entry->lease_id);

	if (entry->value)
		json_object_set_new(object, "value", json_string(entry->value));
	return object;
}

static void delayed_free(struct delayed *delayed)
{
	ev_timer_stop(delayed->store->loop, &delayed->timer);
	g_ptr_array_remove_fast(delayed->store->delayed, delayed);
	free(delayed->json);
	g_free(delayed);
}

static void on_delay_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct delayed *delayed = timer->data;

	(void)loop;
	(void)events;
	cq_http_exchange_respond_json(delayed->exchange, delayed->status,
				      delayed->json);
	delayed_free(delayed);
}

static void answer(struct fake_store *store, struct cq_http_exchange *exchange,
		   uint32_t status, json_t *body)
{
	char *json;

	json_object_set_new(body, "revision", json_integer(store->revision));
	json = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (store->delay_ms > 0) {
		struct delayed *delayed = g_new0(struct delayed, 1);

		delayed->store = store;
		delayed->exchange = exchange;
		delayed->status = status;
		delayed->json = json;
		ev_timer_init(&delayed->timer, on_delay_end,
			      (double)store->delay_ms / 1000.0, 0.);
		delayed->timer.data = delayed;
		ev_timer_start(store->loop, &delayed->timer);
		g_ptr_array_add(store->delayed, delayed);
		return;
	}
	cq_http_exchange_respond_json(exchange, status, json);
	free(json);
}

static void answer_error(struct fake_store *store,
			 struct cq_http_exchange *exchange, uint32_t status,
			 const char *message)
{
	answer(store, exchange, status, json_pack("{s:s}", "error", message));
}

/* Answers a write that took effect, unless the answer is to be lost. */
static void answer_write(struct fake_store *store,
			 struct cq_http_exchange *exchange, json_t *body)
{
	if (store->lose_answers > 0) {
		store->lose_answers--;
		g_ptr_array_add(store->unanswered, exchange);
		json_decref(body);
		return;
	}
	answer(store, exchange, 200, body);
}

/* Lists entries with the prefix and a revision above after, by revision. */
static json_t *list_entries(const struct fake_store *store, const char *prefix,
			    int64_t after, bool deletions)
{
	json_t *list = json_array();
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;
	guint j;

	g_hash_table_iter_init(&iter, store->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (entry->revision > after &&
		    g_str_has_prefix(entry->key, prefix) &&
		    (deletions || entry->value))
			g_ptr_array_add(found, entry);
	}
	/* Insertion sort by revision; few entries match. */
	for (i = 1; i < found->len; i++)
		for (j = i; j > 0; j--) {
			struct entry *a = found->pdata[j - 1];
			struct entry *b = found->pdata[j];

			if (a->revision <= b->revision)
				break;
			found->pdata[j - 1] = b;
			found->pdata[j] = a;
		}
	for (i = 0; i < found->len; i++)
		json_array_append_new(list, entry_json(found->pdata[i]));
	g_ptr_array_free(found, TRUE);
	return list;
}

static void watch_complete(struct watch *watch)
{
	struct fake_store *store = watch->store;

	answer(store, watch->exchange, 200,
	       json_pack("{s:o}", "entries",
			 list_entries(store, watch->prefix, watch->after,
				      true)));
	ev_timer_stop(store->loop, &watch->timer);
	g_ptr_array_remove_fast(store->watches, watch);
	g_free(watch->prefix);
	g_free(watch);
}

static void on_watch_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	watch_complete(timer->data);
}

static void notify_watches(struct fake_store *store, const char *key)
{
	GPtrArray *due = g_ptr_array_new();
	guint i;

	for (i = 0; i < store->watches->len; i++) {
		struct watch *watch = store->watches->pdata[i];

		if (g_str_has_prefix(key, watch->prefix))
			g_ptr_array_add(due, watch);
	}
	for (i = 0; i < due->len; i++)
		watch_complete(due->pdata[i]);
	g_ptr_array_free(due, TRUE);
}

static void write_entry(struct fake_store *store, const char *key,
			const char *value, int64_t lease_id)
{
	struct entry *entry = g_hash_table_lookup(store->entries, key);

	if (!entry) {
		entry = g_new0(struct entry, 1);
		entry->key = g_strdup(key);
		g_hash_table_insert(store->entries, entry->key, entry);
	}
	g_free(entry->value);
	entry->value = g_strdup(value);
	entry->lease_id = value ? lease_id : 0;
	entry->revision = ++store->revision;
	notify_watches(store, key);
}

static void expire_lease(struct fake_store *store, int64_t id)
{
	GHashTableIter iter;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, store->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (entry->value && entry->lease_id == id)
			g_ptr_array_add(keys, g_strdup(entry->key));
	}
	for (i = 0; i < keys->len; i++)
		write_entry(store, keys->pdata[i], NULL, 0);
	g_ptr_array_free(keys, TRUE);
	g_hash_table_remove(store->leases, &id);
}

static int64_t query_integer(const struct cq_http_exchange *exchange,
			     const char *name, int64_t otherwise)
{
	const char *text = cq_http_exchange_query(exchange, name);

	return text ? strtoll(text, NULL, 10) : otherwise;
}

static json_t *entry_list_json(const struct entry *entry)
{
	json_t *list = json_array();

	if (entry && entry->value)
		json_array_append_new(list, entry_json(entry));
	return json_pack("{s:o}", "entries", list);
}

static void handle_change(struct fake_store *store,
			  struct cq_http_exchange *exchange, const char *key,
			  bool remove)
{
	struct entry *entry = g_hash_table_lookup(store->entries, key);
	int64_t current = entry && entry->value ? entry->revision : 0;
	int64_t expected =
		query_integer(exchange, "revision", CQ_STORE_ANY_REVISION);
	int64_t lease_id = query_integer(exchange, "lease", 0);
	size_t len;
	const char *value = cq_http_exchange_body(exchange, &len);

	store->writes++;
	if (remove && !current) {
		answer_error(store, exchange, 404, "no such key");
		return;
	}
	if (expected != CQ_STORE_ANY_REVISION && expected != current) {
		answer(store, exchange, 409, entry_list_json(entry));
		return;
	}
	if (!remove && lease_id &&
	    !g_hash_table_lookup(store->leases, &lease_id)) {
		answer_error(store, exchange, 404, "no such lease");
		return;
	}
	write_entry(store, key, remove ? NULL : value, lease_id);
	entry = g_hash_table_lookup(store->entries, key);
	answer_write(store, exchange, entry_list_json(entry));
}

static void handle_kv(struct fake_store *store,
		      struct cq_http_exchange *exchange, const char *method,
		      const char *key)
{
	struct entry *entry;

	if (!strcmp(method, "PUT") || !strcmp(method, "DELETE")) {
		handle_change(store, exchange, key, *method == 'D');
		return;
	}
	store->reads++;
	entry = g_hash_table_lookup(store->entries, key);
	if (entry && entry->value)
		answer(store, exchange, 200, entry_list_json(entry));
	else
		answer_error(store, exchange, 404, "no such key");
}

static void handle_lease_grant(struct fake_store *store,
			       struct cq_http_exchange *exchange)
{
	struct lease *lease = g_new0(struct lease, 1);

	store->writes++;
	lease->id = ++store->next_lease;
	lease->ttl_ms = (uint32_t)query_integer(exchange, "ttl_ms", 5000);
	lease->deadline_ns = fake_store_now_ns() + lease->ttl_ms * CQ_NS_PER_MS;
	g_hash_table_insert(store->leases, &lease->id, lease);
	answer_write(store, exchange,
		     json_pack("{s:I}", "lease", (json_int_t)lease->id));
}

static void handle_lease(struct fake_store *store,
			 struct cq_http_exchange *exchange, const char *method,
			 const char *rest)
{
	int64_t id = strtoll(rest, NULL, 10);
	struct lease *lease = g_hash_table_lookup(store->leases, &id);

	store->writes++;
	if (!lease) {
		answer_error(store, exchange, 404, "no such lease");
		return;
	}
	if (!strcmp(method, "DELETE"))
		expire_lease(store, id);
	else
		lease->deadline_ns =
			fake_store_now_ns() + lease->ttl_ms * CQ_NS_PER_MS;
	answer_write(store, exchange,
		     json_pack("{s:I}", "lease", (json_int_t)id));
}

static void handle_watch(struct fake_store *store,
			 struct cq_http_exchange *exchange)
{
	struct watch *watch = g_new0(struct watch, 1);
	const char *prefix = cq_http_exchange_query(exchange, "prefix");
	json_t *ready;

	store->watch_calls++;
	watch->store = store;
	watch->exchange = exchange;
	watch->prefix = g_strdup(prefix ? prefix : "");
	watch->after = query_integer(exchange, "after", store->revision);
	g_ptr_array_add(store->watches, watch);
	ev_timer_init(&watch->timer, on_watch_timeout,
		      (double)query_integer(exchange, "wait_ms", 1000) / 1000.0,
		      0.);
	watch->timer.data = watch;
	ev_timer_start(store->loop, &watch->timer);
	ready = list_entries(store, watch->prefix, watch->after, true);
	if (json_array_size(ready))
		watch_complete(watch);
	json_decref(ready);
}

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct fake_store *store = ctx;
	const char *method = cq_http_exchange_method(exchange);
	const char *path = cq_http_exchange_path(exchange);

	if (!strcmp(path, "/v1/faults")) {
		fake_store_faults(store, exchange);
	} else if (!strcmp(path, "/v1/stats")) {
		fake_store_stats(store, exchange);
	} else if (store->is_silent) {
		g_ptr_array_add(store->unanswered, exchange);
	} else if (store->down) {
		cq_http_exchange_respond_json(exchange, 503,
					      "{\"error\":\"down\"}");
	} else if (!strcmp(path, "/v1/kv")) {
		const char *prefix = cq_http_exchange_query(exchange, "prefix");

		store->reads++;
		answer(store, exchange, 200,
		       json_pack("{s:o}", "entries",
				 list_entries(store, prefix ? prefix : "", 0,
					      false)));
	} else if (g_str_has_prefix(path, "/v1/kv/")) {
		handle_kv(store, exchange, method, path + strlen("/v1/kv/"));
	} else if (!strcmp(path, "/v1/leases")) {
		handle_lease_grant(store, exchange);
	} else if (g_str_has_prefix(path, "/v1/leases/")) {
		handle_lease(store, exchange, method,
			     path + strlen("/v1/leases/"));
	} else if (!strcmp(path, "/v1/watch")) {
		handle_watch(store, exchange);
	} else if (!strcmp(path, "/v1/hosts")) {
		fake_store_hosts(store, exchange, method);
	} else {
		answer_error(store, exchange, 404, "no such path");
	}
}

static void on_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct fake_store *store = ctx;
	guint i;

	g_ptr_array_remove_fast(store->unanswered, exchange);
	for (i = 0; i < store->watches->len; i++) {
		struct watch *watch = store->watches->pdata[i];

		if (watch->exchange != exchange)
			continue;
		ev_timer_stop(store->loop, &watch->timer);
		g_ptr_array_remove_index_fast(store->watches, i);
		g_free(watch->prefix);
		g_free(watch);
		return;
	}
	for (i = 0; i < store->delayed->len; i++) {
		struct delayed *delayed = store->delayed->pdata[i];

		if (delayed->exchange != exchange)
			continue;
		delayed_free(delayed);
		return;
	}
}

/* Expires leases, also while the "down" fault is set. */
static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fake_store *store = timer->data;
	GHashTableIter iter;
	gpointer value;
	bool expired;

	(void)loop;
	(void)events;
	do {
		int64_t id = 0;

		expired = false;
		g_hash_table_iter_init(&iter, store->leases);
		while (!expired &&
		       g_hash_table_iter_next(&iter, NULL, &value)) {
			struct lease *lease = value;

			expired = lease->deadline_ns <= fake_store_now_ns();
			id = lease->id;
		}
		if (expired)
			expire_lease(store, id);
	} while (expired);
}

static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

int main(int argc, char **argv)
{
	static const struct cq_setting settings[] = {
		{ "listen", "CQ_FAKE_STORE_LISTEN", CQ_SETTING_ADDRESS, NULL, 0,
		  0, "address of the store" },
		{ "hosts", NULL, CQ_SETTING_STRING, "{\"hosts\":[]}", 0, 0,
		  "initial host list, JSON" },
	};
	struct cq_error err = CQ_ERROR_INIT;
	struct fake_store store = { 0 };
	struct cq_http_server_options options;
	struct cq_http_server_handler handler = { on_request, on_aborted };
	struct cq_config *config;
	ev_signal term;
	char ip[16];
	uint16_t port;

	config = cq_config_parse("cq-fake-store",
				 "Simulated key-value store of the platform.",
				 settings, G_N_ELEMENTS(settings), argc, argv,
				 &err);
	if (!config) {
		fprintf(stderr, "cq-fake-store: %s\n", err.message);
		return CQ_EXIT_USAGE;
	}
	store.loop = ev_default_loop(0);
	store.entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      entry_free);
	store.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	store.watches = g_ptr_array_new();
	store.unanswered = g_ptr_array_new();
	store.delayed = g_ptr_array_new();
	store.hosts = g_strdup(cq_config_string(config, "hosts"));
	cq_address_parse(cq_config_string(config, "listen"), ip, &port, NULL);
	cq_http_server_options_init(&options, ip, port);
	options.idle_timeout_s = 120;
	store.server = cq_http_server_create(store.loop, &options, &handler,
					     &store, &err);
	if (!store.server) {
		fprintf(stderr, "cq-fake-store: %s\n", err.message);
		return 1;
	}
	ev_timer_init(&store.tick, on_tick, TICK_S, TICK_S);
	store.tick.data = &store;
	ev_timer_start(store.loop, &store.tick);
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_start(store.loop, &term);
	printf("listening on %s:%u\n", ip, cq_http_server_port(store.server));
	fflush(stdout);
	ev_run(store.loop, 0);
	cq_http_server_destroy(store.server);
	cq_config_destroy(config);
	return 0;
}
