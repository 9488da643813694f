/* The platform's metadata store, form "kv", as PROTOCOL.md describes it. */
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000
#define MAX_ENTRIES 32
#define TICK_S 0.02

struct item {
	char *value; /* base64 */
	int64_t revision, created, lease;
};

struct change {
	char *key, *value; /* value NULL: deleted */
	int64_t revision, lease;
};

struct lease {
	int64_t id, ttl_ms, ends_ms;
};

struct watch {
	struct request *r;
	int64_t until_ms;
};

bool (*store_hook)(struct store_door *door, struct request *r);
int store_too_large;

static GTree *items; /* key -> struct item */
static GPtrArray *history;
static GPtrArray *watches;
static GPtrArray *leases;
static int64_t revision = 100;
static int64_t last_lease = 10;
static struct store_door doors[MAX_HOSTS + 1];
static ev_timer timer;

static void item_free(void *data)
{
	struct item *item = data;

	g_free(item->value);
	g_free(item);
}

static gint compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static struct lease *find_lease(int64_t id)
{
	guint i;

	for (i = 0; i < leases->len; i++) {
		struct lease *lease = g_ptr_array_index(leases, i);

		if (lease->id == id)
			return lease;
	}
	return NULL;
}

static void set(const char *key, const char *value, int64_t lease)
{
	struct item *old = g_tree_lookup(items, key);
	struct change *change = g_new0(struct change, 1);

	change->key = g_strdup(key);
	change->value = g_strdup(value);
	change->revision = revision;
	change->lease = lease;
	g_ptr_array_add(history, change);
	if (value) {
		struct item *item = g_new0(struct item, 1);

		item->value = g_strdup(value);
		item->revision = revision;
		item->created = old ? old->created : revision;
		item->lease = lease;
		g_tree_replace(items, g_strdup(key), item);
	} else {
		g_tree_remove(items, key);
	}
}

static json_t *item_json(const char *key, const struct item *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static json_t *events_after(const char *prefix, int64_t after)
{
	json_t *events = json_array();
	guint i;

	for (i = history->len; i > 0; i--) {
		const struct change *c = g_ptr_array_index(history, i - 1);

		if (c->revision <= after)
			break;
	}
	for (; i < history->len; i++) {
		const struct change *c = g_ptr_array_index(history, i);

		if (!g_str_has_prefix(c->key, prefix))
			continue;
		json_array_append_new(
			events,
			c->value
				? json_pack("{s:s,s:s,s:I,s:I}", "key", c->key,
					    "value", c->value, "revision",
					    (json_int_t)c->revision, "lease",
					    (json_int_t)c->lease)
				: json_pack("{s:s,s:I,s:b}", "key", c->key,
					    "revision", (json_int_t)c->revision,
					    "deleted", 1));
	}
	return events;
}

/* Answers the watch if there is something to tell or its time is over. */
static bool try_watch(struct watch *w)
{
	const char *after = request_query(w->r, "after");
	json_t *events;

	if (request_gone(w->r)) {
		request_free(w->r);
		return true;
	}
	events = events_after(request_query(w->r, "prefix"), atoll(after));
	if (!json_array_size(events) && now_ms() < w->until_ms) {
		json_decref(events);
		return false;
	}
	request_reply(w->r, 200,
		      json_pack("{s:o,s:I}", "events", events, "atRev",
				(json_int_t)revision));
	return true;
}

static void serve_watches(void)
{
	guint i;

	for (i = watches->len; i-- > 0;) {
		struct watch *w = g_ptr_array_index(watches, i);

		if (!try_watch(w))
			continue;
		g_ptr_array_remove_index_fast(watches, i);
		g_free(w);
	}
}

static gboolean collect_leased(gpointer key, gpointer value, gpointer ctx)
{
	const struct item *item = value;
	GPtrArray *keys = ((gpointer *)ctx)[0];
	const int64_t *id = ((gpointer *)ctx)[1];

	if (item->lease == *id)
		g_ptr_array_add(keys, g_strdup(key));
	return FALSE;
}

static void end_lease(struct lease *lease)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	gpointer ctx[] = { keys, &lease->id };
	guint i;

	g_tree_foreach(items, collect_leased, ctx);
	if (keys->len)
		revision++;
	for (i = 0; i < keys->len; i++)
		set(g_ptr_array_index(keys, i), NULL, 0);
	g_ptr_array_unref(keys);
	g_ptr_array_remove_fast(leases, lease);
	g_free(lease);
}

static void on_tick(struct ev_loop *l, ev_timer *t, int events)
{
	guint i;

	(void)l;
	(void)t;
	(void)events;
	for (i = leases->len; i-- > 0;) {
		struct lease *lease = g_ptr_array_index(leases, i);

		if (now_ms() >= lease->ends_ms)
			end_lease(lease);
	}
	serve_watches();
}

static void reply(struct request *r, bool reset, int status, json_t *body)
{
	if (reset) {
		json_decref(body);
		request_reset(r);
	} else {
		request_reply(r, status, body);
	}
}

static json_int_t number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static const char *text(const json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return value ? value : "";
}

static void execute_txn(struct request *r, bool reset)
{
	json_t *root = json_loads(r->body, 0, NULL);
	const json_t *expect = json_object_get(root, "expect");
	const json_t *puts = json_object_get(root, "puts");
	const json_t *deletes = json_object_get(root, "deletes");
	json_t *conflict = json_array();
	bool holds = true;
	int status = 0;
	size_t i;

	if (!root || json_array_size(expect) + json_array_size(puts) +
				     json_array_size(deletes) >
			     MAX_ENTRIES)
		status = 400;
	for (i = 0; !status && i < json_array_size(puts); i++) {
		const json_t *put = json_array_get(puts, i);

		if (strlen(text(put, "value")) / 4 * 3 > VALUE_BYTES + 2) {
			store_too_large++;
			status = 400;
		} else if (g_str_has_prefix(text(put, "key"), "op/") ||
			   g_str_has_prefix(text(put, "key"), "servers/"))
			status = 403;
		else if (number(put, "lease") &&
			 !find_lease(number(put, "lease")))
			status = 404;
	}
	for (i = 0; !status && i < json_array_size(expect); i++) {
		const json_t *row = json_array_get(expect, i);
		const char *key = text(row, "key");
		const struct item *item = g_tree_lookup(items, key);

		if (item)
			json_array_append_new(conflict, item_json(key, item));
		holds &= (item ? item->revision : 0) == number(row, "revision");
	}
	if (status) {
		reply(r, reset, status, json_object());
	} else if (!holds) {
		reply(r, reset, 412,
		      json_pack("{s:O,s:I}", "items", conflict, "atRev",
				(json_int_t)revision));
	} else {
		revision++;
		for (i = 0; i < json_array_size(puts); i++) {
			const json_t *put = json_array_get(puts, i);

			set(text(put, "key"), text(put, "value"),
			    number(put, "lease"));
		}
		for (i = 0; i < json_array_size(deletes); i++)
			set(json_string_value(json_array_get(deletes, i)), NULL,
			    0);
		reply(r, reset, 200,
		      json_pack("{s:I}", "revision", (json_int_t)revision));
		serve_watches();
	}
	json_decref(conflict);
	json_decref(root);
}

struct page {
	const char *prefix, *after;
	json_t *rows;
	size_t bytes;
	bool more;
};

static gboolean add_to_page(gpointer key, gpointer value, gpointer ctx)
{
	struct page *page = ctx;
	const struct item *item = value;

	if (!g_str_has_prefix(key, page->prefix) ||
	    (page->after && strcmp(key, page->after) <= 0))
		return FALSE;
	page->more =
		json_array_size(page->rows) >= PAGE_ITEMS ||
		(page->bytes && page->bytes + strlen(item->value) > PAGE_BYTES);
	if (page->more)
		return TRUE;
	page->bytes += strlen(item->value);
	json_array_append_new(page->rows, item_json(key, item));
	return FALSE;
}

static void execute_range(struct request *r)
{
	struct page page = { .prefix = request_query(r, "prefix"),
			     .after = request_query(r, "after"),
			     .rows = json_array() };

	g_tree_foreach(items, add_to_page, &page);
	request_reply(r, 200,
		      json_pack("{s:o,s:b,s:I}", "items", page.rows, "hasMore",
				page.more, "atRev", (json_int_t)revision));
}

static void execute_lease(struct request *r)
{
	struct lease *lease;
	json_t *root;

	if (!strcmp(r->path, "/kv-lease")) {
		root = json_loads(r->body, 0, NULL);
		lease = g_new0(struct lease, 1);
		lease->id = ++last_lease;
		lease->ttl_ms = MAX(1000, number(root, "ttlMs"));
		g_ptr_array_add(leases, lease);
		json_decref(root);
	} else {
		lease = find_lease(atoll(strrchr(r->path, '/') + 1));
	}
	if (!lease) {
		request_reply(r, 404, json_object());
		return;
	}
	if (g_str_has_prefix(r->path, "/kv-lease-end/")) {
		end_lease(lease);
		request_reply(r, 200, json_object());
		serve_watches();
		return;
	}
	lease->ends_ms = now_ms() + lease->ttl_ms;
	request_reply(r, 200,
		      json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id,
				"ttlMs", (json_int_t)lease->ttl_ms));
}

void store_execute(struct request *r, bool reset)
{
	if (!strcmp(r->path, "/kv-txn")) {
		execute_txn(r, reset);
	} else if (!strcmp(r->path, "/kv-key") && request_query(r, "key")) {
		const char *key = request_query(r, "key");
		const struct item *item = g_tree_lookup(items, key);
		json_t *body = item ? item_json(key, item) : json_object();

		json_object_set_new(body, "atRev", json_integer(revision));
		request_reply(r, item ? 200 : 404, body);
	} else if (!strcmp(r->path, "/kv-range") &&
		   request_query(r, "prefix")) {
		execute_range(r);
	} else if (!strcmp(r->path, "/kv-watch") &&
		   request_query(r, "prefix") && request_query(r, "after") &&
		   request_query(r, "waitMs")) {
		struct watch *w = g_new0(struct watch, 1);

		w->r = r;
		w->until_ms = now_ms() + atoll(request_query(r, "waitMs"));
		if (try_watch(w))
			g_free(w);
		else
			g_ptr_array_add(watches, w);
	} else if (g_str_has_prefix(r->path, "/kv-lease") ||
		   g_str_has_prefix(r->path, "/kv-keep/")) {
		execute_lease(r);
	} else {
		request_reply(r, 400, json_object());
	}
}

static void on_request(void *ctx, struct request *r)
{
	struct store_door *door = ctx;

	if (store_hook && store_hook(door, r))
		return;
	store_execute(r, false);
}

void store_open(void)
{
	items = g_tree_new_full(compare, NULL, g_free, item_free);
	history = g_ptr_array_new();
	watches = g_ptr_array_new();
	leases = g_ptr_array_new();
	ev_timer_init(&timer, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &timer);
}

const char *store_door_open(int host)
{
	doors[host].host = host;
	doors[host].server =
		server_listen("127.0.0.1", on_request, &doors[host]);
	return doors[host].server->address;
}

struct store_door *store_door(int host)
{
	return &doors[host];
}

void store_write(const char *key, json_t *value)
{
	char *plain = value ? json_dumps(value, JSON_COMPACT) : NULL;
	char *encoded = plain ? g_base64_encode((guchar *)plain, strlen(plain))
			      : NULL;

	json_decref(value);
	revision++;
	set(key, encoded, 0);
	g_free(encoded);
	free(plain);
	serve_watches();
}

char *store_read(const char *key)
{
	const struct item *item = g_tree_lookup(items, key);
	guchar *bytes;
	char *out;
	gsize len;

	if (!item)
		return NULL;
	bytes = g_base64_decode(item->value, &len);
	out = g_strndup((char *)bytes, len);
	g_free(bytes);
	return out;
}
