/* The platform's store. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "internal.h"

#define MAX_ITEMS 4096
#define MAX_EVENTS 200000
#define PAGE_ITEMS 500

struct item {
	char *key;
	char *value; /* base64 */
	int64_t revision, created, lease;
};

struct event {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision, created, lease;
};

struct lease {
	int64_t id, ttl_ms, ends_ms;
};

static struct item items[MAX_ITEMS];
static int item_count;
static struct event events[MAX_EVENTS];
static int event_count;
static struct lease leases[256];
static int lease_count;
static int64_t revision = 100;
static int64_t next_lease = 7000;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
char store_address[32];

static int find(const char *key)
{
	for (int i = 0; i < item_count; i++)
		if (!strcmp(items[i].key, key))
			return i;
	return -1;
}

static void add_event(const char *key, const char *value, int64_t created,
		      int64_t lease)
{
	if (event_count == MAX_EVENTS)
		abort();
	events[event_count++] = (struct event){ strdup(key),
						value ? strdup(value) : NULL,
						revision, created, lease };
	pthread_cond_broadcast(&changed);
}

/* Keeps the items sorted by key. The lock is held, revision is the new one. */
static void put_locked(const char *key, const char *value, int64_t lease)
{
	int i = find(key);

	if (i < 0) {
		if (item_count == MAX_ITEMS)
			abort();
		for (i = item_count++; i && strcmp(items[i - 1].key, key) > 0;
		     i--)
			items[i] = items[i - 1];
		items[i] = (struct item){ .key = strdup(key),
					  .created = revision };
	} else {
		free(items[i].value);
	}
	items[i].value = strdup(value);
	items[i].revision = revision;
	items[i].lease = lease;
	add_event(key, value, items[i].created, lease);
}

static void delete_locked(const char *key)
{
	int i = find(key);

	if (i < 0)
		return;
	add_event(key, NULL, items[i].created, items[i].lease);
	free(items[i].key);
	free(items[i].value);
	memmove(&items[i], &items[i + 1],
		(size_t)(--item_count - i) * sizeof(items[0]));
}

void store_put_locked(const char *key, const char *text)
{
	char *value = base64_encode(text, strlen(text));

	revision++;
	put_locked(key, value, 0);
	free(value);
}

void store_delete_locked(const char *key)
{
	if (find(key) < 0)
		return;
	revision++;
	delete_locked(key);
}

void op_put(const char *key, const char *value)
{
	lock();
	if (value)
		store_put_locked(key, value);
	else
		store_delete_locked(key);
	record("operator writes %s: %s", key, value ? value : "(deleted)");
	unlock();
}

char *store_get(const char *key)
{
	char *text = NULL;
	int i;

	lock();
	i = find(key);
	if (i >= 0)
		text = base64_decode(items[i].value);
	unlock();
	return text;
}

static void expire_leases(void)
{
	int64_t now = now_ms();

	for (int i = 0; i < lease_count; i++) {
		int64_t id = leases[i].id;
		bool any = false;

		if (leases[i].ends_ms > now)
			continue;
		leases[i--] = leases[--lease_count];
		for (int k = 0; k < item_count; k++) {
			if (items[k].lease != id)
				continue;
			if (!any)
				revision++;
			any = true;
			delete_locked(items[k--].key);
		}
	}
}

static struct lease *find_lease(int64_t id)
{
	for (int i = 0; i < lease_count; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

static json_t *item_json(const struct item *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease",
			 (json_int_t)item->lease);
}

static int serve_key(const char *key, json_t **out)
{
	int i = find(key);

	if (i < 0)
		return 404;
	*out = item_json(&items[i]);
	json_object_set_new(*out, "atRev", json_integer(revision));
	return 200;
}

static int serve_range(const char *prefix, const char *after, json_t **out)
{
	json_t *list = json_array();
	bool more = false;

	for (int i = 0; i < item_count; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) ||
		    (*after && strcmp(items[i].key, after) <= 0))
			continue;
		if (json_array_size(list) == PAGE_ITEMS) {
			more = true;
			break;
		}
		json_array_append_new(list, item_json(&items[i]));
	}
	*out = json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", more,
			 "atRev", (json_int_t)revision);
	return 200;
}

static int serve_watch(const char *prefix, int64_t after, int wait_ms,
		       json_t **out)
{
	int64_t until = now_ms() + wait_ms;
	json_t *list = json_array();

	for (;;) {
		struct timespec at;

		for (int i = event_count; i-- > 0;)
			if (events[i].revision <= after || !i) {
				int k = events[i].revision <= after ? i + 1 : i;

				for (; k < event_count; k++) {
					const struct event *e = &events[k];
					json_t *row;

					if (strncmp(e->key, prefix,
						    strlen(prefix)))
						continue;
					row = json_pack(
						"{s:s,s:I}", "key", e->key,
						"revision",
						(json_int_t)e->revision);
					if (e->value) {
						json_object_set_new(
							row, "value",
							json_string(e->value));
						json_object_set_new(
							row, "created",
							json_integer(
								e->created));
						json_object_set_new(
							row, "lease",
							json_integer(e->lease));
					} else {
						json_object_set_new(
							row, "deleted",
							json_true());
					}
					json_array_append_new(list, row);
				}
				break;
			}
		if (json_array_size(list) || now_ms() >= until)
			break;
		clock_gettime(CLOCK_REALTIME, &at);
		at.tv_nsec += 20000000;
		if (at.tv_nsec >= 1000000000) {
			at.tv_sec++;
			at.tv_nsec -= 1000000000;
		}
		wait_locked(&changed, &at);
	}
	*out = json_pack("{s:o,s:I}", "events", list, "atRev",
			 (json_int_t)revision);
	return 200;
}

static int64_t number(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static const char *text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static int serve_txn(const json_t *root, json_t **out)
{
	const json_t *expect = json_object_get(root, "expect");
	const json_t *puts = json_object_get(root, "puts");
	const json_t *deletes = json_object_get(root, "deletes");
	json_t *current = json_array();
	bool holds = true;
	size_t i;

	if (json_array_size(expect) + json_array_size(puts) +
		    json_array_size(deletes) >
	    32)
		return 400;
	for (i = 0; i < json_array_size(expect); i++) {
		const json_t *row = json_array_get(expect, i);
		int at = find(text(row, "key"));

		if ((at < 0 ? 0 : items[at].revision) !=
		    number(row, "revision"))
			holds = false;
		if (at >= 0)
			json_array_append_new(current, item_json(&items[at]));
		else
			json_array_append_new(
				current, json_pack("{s:s,s:i,s:b}", "key",
						   text(row, "key"), "revision",
						   0, "deleted", 1));
	}
	if (!holds) {
		*out = json_pack("{s:o}", "items", current);
		return 412;
	}
	json_decref(current);
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *row = json_array_get(puts, i);

		if (number(row, "lease") && !find_lease(number(row, "lease")))
			return 404;
		if (!strncmp(text(row, "key"), "op/", 3) ||
		    !strncmp(text(row, "key"), "servers/", 8))
			return 403;
	}
	revision++;
	for (i = 0; i < json_array_size(puts); i++) {
		const json_t *row = json_array_get(puts, i);

		put_locked(text(row, "key"), text(row, "value"),
			   number(row, "lease"));
	}
	for (i = 0; i < json_array_size(deletes); i++)
		delete_locked(json_string_value(json_array_get(deletes, i)));
	*out = json_pack("{s:I}", "revision", (json_int_t)revision);
	return 200;
}

/* The lock is held. */
static int serve(struct request *r, json_t **out)
{
	json_t *root = json_loads(r->body ? r->body : "", 0, NULL);
	char *a = query(r, "key"), *b = query(r, "prefix"),
	     *c = query(r, "after"), *d = query(r, "waitMs");
	int status = 400;

	expire_leases();
	if (!strcmp(r->path, "/kv-key")) {
		status = serve_key(a, out);
	} else if (!strcmp(r->path, "/kv-range")) {
		status = serve_range(b, c, out);
	} else if (!strcmp(r->path, "/kv-watch")) {
		status = serve_watch(b, atoll(c), atoi(d), out);
	} else if (!strcmp(r->path, "/kv-txn")) {
		status = serve_txn(root, out);
	} else if (!strcmp(r->path, "/kv-lease") && lease_count < 256) {
		struct lease *l = &leases[lease_count++];

		*l = (struct lease){ next_lease++, number(root, "ttlMs"), 0 };
		l->ends_ms = now_ms() + l->ttl_ms;
		*out = json_pack("{s:I,s:I}", "lease", (json_int_t)l->id,
				 "ttlMs", (json_int_t)l->ttl_ms);
		status = 200;
	} else if (!strncmp(r->path, "/kv-keep/", 9)) {
		struct lease *l = find_lease(atoll(r->path + 9));

		status = l ? 200 : 404;
		if (l) {
			l->ends_ms = now_ms() + l->ttl_ms;
			*out = json_pack("{s:I}", "ttlMs",
					 (json_int_t)l->ttl_ms);
		}
	} else if (!strncmp(r->path, "/kv-lease-end/", 14)) {
		struct lease *l = find_lease(atoll(r->path + 14));

		status = l ? 200 : 404;
		if (l)
			l->ends_ms = 0;
		expire_leases();
	}
	free(a);
	free(b);
	free(c);
	free(d);
	json_decref(root);
	return status;
}

static int handle(void *ctx, struct request *r, json_t **out)
{
	int status;

	(void)ctx;
	sleep_ms(STORE_ANSWER_MS);
	lock();
	status = serve(r, out);
	unlock();
	return status;
}

static void *expire(void *arg)
{
	for (;;) {
		sleep_ms(10);
		lock();
		expire_leases();
		unlock();
	}
	return arg;
}

void store_start(void)
{
	pthread_t thread;

	server_start("127.0.61.1", store_address, sizeof(store_address), handle,
		     NULL);
	pthread_create(&thread, NULL, expire, NULL);
}
