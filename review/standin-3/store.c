/* The platform's store, as PROTOCOL.md describes it. */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define PAGE 500

static int64_t number_of(const json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static const char *text_of(const json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text ? text : "";
}

static int64_t query_number(struct cq_http_exchange *exchange, const char *name)
{
	const char *value = cq_http_exchange_query(exchange, name);

	return value ? g_ascii_strtoll(value, NULL, 10) : 0;
}

static json_t *events_after(struct world *w, const char *prefix, int64_t after)
{
	json_t *list = json_array();
	guint i;

	for (i = 0; i < w->events->len; i++) {
		json_t *event = g_ptr_array_index(w->events, i);

		if (number_of(event, "revision") > after &&
		    g_str_has_prefix(text_of(event, "key"), prefix))
			json_array_append(list, event);
	}
	return list;
}

static void answer_watch(struct open_call *call, bool whatever)
{
	struct world *w = call->world;
	json_t *list = events_after(w, call->prefix, call->after);

	if (!whatever && !json_array_size(list) && call->exchange) {
		json_decref(list);
		return;
	}
	g_ptr_array_remove_fast(w->watches, call);
	if (call->exchange)
		respond(call->exchange, 200,
			json_pack("{s:o,s:I}", "events", list, "atRev",
				  (json_int_t)w->revision));
	else
		json_decref(list);
	call_close(call);
}

static void wake_watches(struct world *w)
{
	guint i;

	for (i = w->watches->len; i-- > 0;)
		answer_watch(g_ptr_array_index(w->watches, i), false);
}

static void on_watch_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	answer_watch(timer->data, true);
}

static void put(struct world *w, const char *key, const char *value,
		int64_t lease)
{
	const json_t *old = g_tree_lookup(w->items, key);
	int64_t created = old ? number_of(old, "created") : w->revision;
	json_t *item = json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value",
				 value, "revision", (json_int_t)w->revision,
				 "created", (json_int_t)created, "lease",
				 (json_int_t)lease);

	g_tree_replace(w->items, g_strdup(key), json_incref(item));
	g_ptr_array_add(w->events, item);
}

static void delete (struct world *w, const char *key)
{
	if (!g_tree_remove(w->items, key))
		return;
	g_ptr_array_add(w->events,
			json_pack("{s:s,s:I,s:b}", "key", key, "revision",
				  (json_int_t)w->revision, "deleted", 1));
}

void store_write(struct world *w, const char *key, const char *text)
{
	char *value;

	w->revision++;
	if (text) {
		value = g_base64_encode((const guchar *)text, strlen(text));
		put(w, key, value, 0);
		g_free(value);
	} else {
		delete (w, key);
	}
	wake_watches(w);
}

/* Carries out the transaction; returns the status of its answer. */
static int commit(struct world *w, const json_t *root)
{
	const json_t *rows = json_object_get(root, "expect");
	size_t i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);
		const json_t *item =
			g_tree_lookup(w->items, text_of(row, "key"));
		int64_t revision = item ? number_of(item, "revision") : 0;

		if (revision != number_of(row, "revision"))
			return 412;
	}
	rows = json_object_get(root, "puts");
	for (i = 0; i < json_array_size(rows); i++) {
		int64_t lease = number_of(json_array_get(rows, i), "lease");

		if (lease &&
		    !g_hash_table_contains(w->leases, GINT_TO_POINTER(lease)))
			return 404;
	}
	w->revision++;
	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);

		put(w, text_of(row, "key"), text_of(row, "value"),
		    number_of(row, "lease"));
	}
	rows = json_object_get(root, "deletes");
	for (i = 0; i < json_array_size(rows); i++)
		delete (w, json_string_value(json_array_get(rows, i)));
	wake_watches(w);
	return 200;
}

static void on_late(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct open_call *call = timer->data;
	int status = commit(call->world, call->late_txn);

	(void)loop;
	(void)events;
	world_note(call->world,
		   "store  the write without an answer is carried out late: %d",
		   status);
	call_close(call);
}

static bool creates_job(const json_t *root)
{
	const json_t *row = json_array_get(json_object_get(root, "puts"), 0);
	const json_t *check =
		json_array_get(json_object_get(root, "expect"), 0);

	return row && !number_of(check, "revision") &&
	       g_str_has_prefix(text_of(row, "key"), "cq/job/");
}

static void serve_txn(struct world *w, struct cq_http_exchange *exchange)
{
	json_t *root = read_body(exchange);
	json_t *body, *items;
	const json_t *rows;
	size_t i;
	int status;

	if (w->late_ms && creates_job(root)) {
		struct open_call *call = call_open(w, exchange);

		world_note(w,
			   "store  a write of a job gets no answer, and is "
			   "carried out %d ms later",
			   w->late_ms);
		call->late_txn = root;
		ev_timer_init(&call->timer, on_late, w->late_ms / 1000., 0.);
		ev_timer_start(w->loop, &call->timer);
		w->late_ms = 0;
		return;
	}
	status = commit(w, root);
	body = json_pack("{s:I}", "revision", (json_int_t)w->revision);
	if (status == 412) {
		items = json_array();
		rows = json_object_get(root, "expect");
		for (i = 0; i < json_array_size(rows); i++) {
			json_t *item = g_tree_lookup(
				w->items,
				text_of(json_array_get(rows, i), "key"));

			if (item)
				json_array_append(items, item);
		}
		json_object_set_new(body, "items", items);
	}
	json_decref(root);
	respond(exchange, (uint32_t)status, body);
}

struct listing {
	const char *prefix, *after;
	json_t *items;
	bool more;
};

static gboolean list_item(gpointer key, gpointer value, gpointer data)
{
	struct listing *l = data;

	if (!g_str_has_prefix(key, l->prefix) ||
	    (l->after && strcmp(key, l->after) <= 0))
		return FALSE;
	l->more = json_array_size(l->items) >= PAGE;
	if (!l->more)
		json_array_append(l->items, value);
	return l->more;
}

static void serve_lease(struct world *w, struct cq_http_exchange *exchange,
			const char *path)
{
	const char *slash = strrchr(path, '/');
	int64_t id = slash ? g_ascii_strtoll(slash + 1, NULL, 10) : 0;
	gpointer key = GINT_TO_POINTER(id);
	json_t *root;
	int64_t ttl;

	if (!strcmp(path, "/kv-lease")) {
		root = read_body(exchange);
		ttl = MAX(1000, number_of(root, "ttlMs"));
		json_decref(root);
		key = GINT_TO_POINTER(++w->last_lease);
	} else if (!g_hash_table_contains(w->leases, key)) {
		respond(exchange, 404, json_object());
		return;
	} else if (g_str_has_prefix(path, "/kv-lease-end/")) {
		g_hash_table_insert(w->leases, key, GINT_TO_POINTER(0));
		store_tick(w);
		respond(exchange, 200, json_object());
		return;
	} else {
		ttl = GPOINTER_TO_INT(g_hash_table_lookup(w->lease_ttls, key));
	}
	g_hash_table_insert(w->leases, key,
			    GINT_TO_POINTER(world_now(w) + ttl));
	g_hash_table_insert(w->lease_ttls, key, GINT_TO_POINTER(ttl));
	respond(exchange, 200,
		json_pack("{s:i,s:I}", "lease", GPOINTER_TO_INT(key), "ttlMs",
			  (json_int_t)ttl));
}

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct world *w = ctx;
	const char *path = cq_http_exchange_path(exchange);
	const char *key = cq_http_exchange_query(exchange, "key");
	struct listing l = {
		.prefix = cq_http_exchange_query(exchange, "prefix"),
		.after = cq_http_exchange_query(exchange, "after"),
	};
	const json_t *item;

	if (!strcmp(path, "/kv-txn")) {
		serve_txn(w, exchange);
	} else if (g_str_has_prefix(path, "/kv-lease") ||
		   g_str_has_prefix(path, "/kv-keep/")) {
		serve_lease(w, exchange, path);
	} else if (!strcmp(path, "/kv-key") && key) {
		json_t *body;

		item = g_tree_lookup(w->items, key);
		body = item ? json_copy((json_t *)item) : json_object();
		json_object_set_new(body, "atRev",
				    json_integer((json_int_t)w->revision));
		respond(exchange, item ? 200 : 404, body);
	} else if (!strcmp(path, "/kv-range") && l.prefix) {
		l.items = json_array();
		g_tree_foreach(w->items, list_item, &l);
		respond(exchange, 200,
			json_pack("{s:o,s:b,s:I}", "items", l.items, "hasMore",
				  l.more, "atRev", (json_int_t)w->revision));
	} else if (!strcmp(path, "/kv-watch") && l.prefix) {
		struct open_call *call = call_open(w, exchange);
		int64_t wait = query_number(exchange, "waitMs");

		call->prefix = g_strdup(l.prefix);
		call->after = query_number(exchange, "after");
		g_ptr_array_add(w->watches, call);
		ev_timer_init(&call->timer, on_watch_timer,
			      (double)wait / 1000., 0.);
		ev_timer_start(w->loop, &call->timer);
		answer_watch(call, false);
	} else {
		respond(exchange, 400, json_object());
	}
}

static void on_aborted(void *ctx, struct cq_http_exchange *exchange)
{
	struct open_call *call = cq_http_exchange_user(exchange);

	(void)ctx;
	if (call)
		call->exchange = NULL;
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void item_free(gpointer item)
{
	json_decref(item);
}

void store_open(struct world *w)
{
	static const struct cq_http_server_handler handler = { on_request,
							       on_aborted };

	w->items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	w->events = g_ptr_array_new_with_free_func(item_free);
	w->leases = g_hash_table_new(NULL, NULL);
	w->lease_ttls = g_hash_table_new(NULL, NULL);
	w->watches = g_ptr_array_new();
	w->revision = 1;
	w->last_lease = 100;
	w->store = listen_at(w, &handler, w, &w->store_port);
}

struct lapsing {
	int64_t lease;
	GPtrArray *keys;
};

static gboolean find_lapsed(gpointer key, gpointer value, gpointer data)
{
	struct lapsing *l = data;

	if (number_of(value, "lease") == l->lease)
		g_ptr_array_add(l->keys, g_strdup(key));
	return FALSE;
}

void store_tick(struct world *w)
{
	struct lapsing l = { .keys = g_ptr_array_new_with_free_func(g_free) };
	GHashTableIter iter;
	gpointer id, until;
	guint i;

	g_hash_table_iter_init(&iter, w->leases);
	while (g_hash_table_iter_next(&iter, &id, &until)) {
		if (GPOINTER_TO_INT(until) > world_now(w))
			continue;
		l.lease = GPOINTER_TO_INT(id);
		g_tree_foreach(w->items, find_lapsed, &l);
		g_hash_table_iter_remove(&iter);
	}
	for (i = 0; i < l.keys->len; i++)
		store_write(w, g_ptr_array_index(l.keys, i), NULL);
	g_ptr_array_unref(l.keys);
}

void store_close(struct world *w)
{
	cq_http_server_destroy(w->store);
}
