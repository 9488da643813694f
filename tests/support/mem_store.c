#include <string.h>

#include "mem_store_internal.h"

static void item_free(void *data)
{
	struct item *item = data;

	g_free(item->value);
	g_free(item);
}

static void event_free(void *data)
{
	struct event *event = data;

	g_free(event->key);
	g_free(event->value);
	g_free(event);
}

static void clear_entry(void *data)
{
	struct cq_store_entry *entry = data;

	g_free((char *)entry->key);
	g_free((char *)entry->value);
}

static void call_free(void *data)
{
	struct mem_call *call = data;

	ev_timer_stop(call->store->loop, &call->timer);
	g_array_unref(call->entries);
	g_free(call->prefix);
	g_free(call);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static void add_entry(struct mem_call *call, const char *key, const char *value,
		      int64_t revision, int64_t lease_id)
{
	struct cq_store_entry entry = {
		.key = g_strdup(key),
		.value = g_strdup(value),
		.value_len = value ? strlen(value) : 0,
		.revision = revision,
		.lease_id = lease_id,
	};

	g_array_append_val(call->entries, entry);
}

static void on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct mem_call *call = timer->data;

	(void)loop;
	(void)events;
	g_ptr_array_set_free_func(call->store->calls, NULL);
	g_ptr_array_remove_fast(call->store->calls, call);
	g_ptr_array_set_free_func(call->store->calls, call_free);
	call->result.entries =
		(const struct cq_store_entry *)(void *)call->entries->data;
	call->result.entry_count = call->entries->len;
	if (!call->result.message)
		call->result.message = "";
	call->done(call->ctx, &call->result);
	call_free(call);
}

static struct mem_call *call_create(struct mem_store *s, cq_store_done_fn *done,
				    void *ctx)
{
	struct mem_call *call = g_new0(struct mem_call, 1);

	s->call_count++;
	call->store = s;
	call->done = done;
	call->ctx = ctx;
	call->result.revision = s->revision;
	call->entries = g_array_new(FALSE, TRUE, sizeof(struct cq_store_entry));
	g_array_set_clear_func(call->entries, clear_entry);
	ev_timer_init(&call->timer, on_due, s->delay_s, 0.);
	call->timer.data = call;
	g_ptr_array_add(s->calls, call);
	return call;
}

static struct cq_store_call *complete(struct mem_call *call,
				      enum cq_store_status status)
{
	call->result.status = status;
	ev_now_update(call->store->loop);
	ev_timer_start(call->store->loop, &call->timer);
	return (struct cq_store_call *)call;
}

/* Completes the call with the fault for all calls; false if none is set. */
static bool fail_if_faulty(struct mem_call *call)
{
	if (call->store->fault == MEM_STORE_NO_FAULT)
		return false;
	complete(call, call->store->fault == MEM_STORE_REFUSE
			       ? CQ_STORE_UNAVAILABLE
			       : CQ_STORE_UNKNOWN);
	return true;
}

/* Index of the first event with a later revision; they rise. */
static guint first_event_after(const struct mem_store *s, int64_t revision)
{
	guint k = s->history->len;

	while (k && ((const struct event *)g_ptr_array_index(s->history, k - 1))
				    ->revision > revision)
		k--;
	return k;
}

static bool is_too_large(const struct mem_call *call)
{
	uint64_t bytes = 0;
	guint i;

	for (i = 0; i < call->entries->len; i++) {
		const struct cq_store_entry *entry =
			&g_array_index(call->entries, struct cq_store_entry, i);

		bytes += strlen(entry->key) + entry->value_len;
	}
	return call->max_bytes && bytes > call->max_bytes;
}

/* Ends a watch with the changes that have been collected for it. */
static void end_watch(struct mem_call *call)
{
	bool too_large = is_too_large(call);

	if (too_large)
		g_array_set_size(call->entries, 0);
	call->result.revision = call->store->revision;
	g_clear_pointer(&call->prefix, g_free);
	ev_timer_stop(call->store->loop, &call->timer);
	ev_timer_set(&call->timer, 0., 0.);
	complete(call, too_large ? CQ_STORE_TOO_LARGE : CQ_STORE_OK);
}

static void wake_watches(struct mem_store *s)
{
	guint i, k;

	for (i = 0; i < s->calls->len; i++) {
		struct mem_call *call = g_ptr_array_index(s->calls, i);

		if (!call->prefix)
			continue;
		for (k = first_event_after(s, call->after_revision);
		     k < s->history->len; k++) {
			const struct event *event =
				g_ptr_array_index(s->history, k);

			if (g_str_has_prefix(event->key, call->prefix))
				add_entry(call, event->key, event->value,
					  event->revision, 0);
		}
		if (call->entries->len)
			end_watch(call);
	}
}

static void apply_change(struct mem_store *s, const char *key,
			 const char *value, int64_t lease_id)
{
	struct event *event = g_new0(struct event, 1);

	event->key = g_strdup(key);
	event->value = g_strdup(value);
	event->revision = s->revision;
	g_ptr_array_add(s->history, event);
	if (value) {
		struct item *item = g_new0(struct item, 1);

		item->value = g_strdup(value);
		item->revision = s->revision;
		item->lease_id = lease_id;
		g_tree_replace(s->items, g_strdup(key), item);
	} else {
		g_tree_remove(s->items, key);
	}
}

void mem_store_write(struct mem_store *s, const char *key, const char *value)
{
	s->revision++;
	apply_change(s, key, value, 0);
	wake_watches(s);
}

struct lease_search {
	int64_t lease_id;
	GPtrArray *keys;
};

static gboolean collect_leased_key(gpointer key, gpointer value, gpointer data)
{
	const struct item *item = value;
	struct lease_search *search = data;

	if (item->lease_id == search->lease_id)
		g_ptr_array_add(search->keys, g_strdup(key));
	return FALSE;
}

void mem_store_expire(struct mem_store *s, int64_t lease_id)
{
	struct lease_search search = {
		lease_id,
		g_ptr_array_new_with_free_func(g_free),
	};
	guint i;

	g_hash_table_remove(s->leases, GINT_TO_POINTER((gint)lease_id));
	g_tree_foreach(s->items, collect_leased_key, &search);
	for (i = 0; i < search.keys->len; i++)
		mem_store_write(s, g_ptr_array_index(search.keys, i), NULL);
	g_ptr_array_unref(search.keys);
}

void mem_store_set_deaf_watches(struct mem_store *s, bool deaf)
{
	guint i;

	s->deaf_watches = deaf;
	for (i = 0; deaf && i < s->calls->len; i++) {
		struct mem_call *call = g_ptr_array_index(s->calls, i);

		if (!call->prefix)
			continue;
		g_clear_pointer(&call->prefix, g_free);
		call->result.status = CQ_STORE_UNKNOWN;
	}
}

void mem_store_compact(struct mem_store *s)
{
	guint i;

	g_ptr_array_set_size(s->history, 0);
	s->compacted = s->revision;
	for (i = 0; i < s->calls->len; i++) {
		struct mem_call *call = g_ptr_array_index(s->calls, i);

		if (!call->prefix)
			continue;
		g_clear_pointer(&call->prefix, g_free);
		ev_timer_stop(s->loop, &call->timer);
		ev_timer_set(&call->timer, 0., 0.);
		complete(call, CQ_STORE_COMPACTED);
	}
}

static struct cq_store_call *mem_get(void *self, const char *key,
				     uint32_t timeout_ms,
				     cq_store_done_fn *done, void *ctx)
{
	struct mem_store *s = self;
	struct mem_call *call = call_create(s, done, ctx);
	const struct item *item = g_tree_lookup(s->items, key);

	(void)timeout_ms;
	if (fail_if_faulty(call))
		return (struct cq_store_call *)call;
	if (!item)
		return complete(call, CQ_STORE_NOT_FOUND);
	add_entry(call, key, item->value, item->revision, item->lease_id);
	return complete(call, CQ_STORE_OK);
}

struct list_search {
	struct mem_call *call;
	const char *prefix;
};

static gboolean add_prefixed_entry(gpointer key, gpointer value, gpointer data)
{
	const struct item *item = value;
	struct list_search *search = data;

	if (g_str_has_prefix(key, search->prefix))
		add_entry(search->call, key, item->value, item->revision,
			  item->lease_id);
	return FALSE;
}

static struct cq_store_call *mem_list(void *self, const char *prefix,
				      uint32_t timeout_ms,
				      cq_store_done_fn *done, void *ctx)
{
	struct mem_store *s = self;
	struct list_search search = { call_create(s, done, ctx), prefix };

	(void)timeout_ms;
	s->list_count++;
	if (fail_if_faulty(search.call))
		return (struct cq_store_call *)search.call;
	g_tree_foreach(s->items, add_prefixed_entry, &search);
	return complete(search.call, CQ_STORE_OK);
}

static struct cq_store_call *
mem_watch_limited(void *self, const char *prefix, int64_t after_revision,
		  uint32_t wait_ms, uint64_t max_bytes, cq_store_done_fn *done,
		  void *ctx)
{
	struct mem_store *s = self;
	struct mem_call *call = call_create(s, done, ctx);

	if (fail_if_faulty(call))
		return (struct cq_store_call *)call;
	if (s->deaf_watches) {
		ev_timer_set(&call->timer, wait_ms / 1000.0, 0.);
		return complete(call, CQ_STORE_UNKNOWN);
	}
	if (after_revision < s->compacted)
		return complete(call, CQ_STORE_COMPACTED);
	call->prefix = g_strdup(prefix);
	call->after_revision = after_revision;
	call->max_bytes = max_bytes;
	ev_timer_set(&call->timer, wait_ms / 1000.0, 0.);
	complete(call, CQ_STORE_OK);
	wake_watches(s);
	return (struct cq_store_call *)call;
}

static struct cq_store_call *mem_watch(void *self, const char *prefix,
				       int64_t after_revision, uint32_t wait_ms,
				       cq_store_done_fn *done, void *ctx)
{
	return mem_watch_limited(self, prefix, after_revision, wait_ms, 0, done,
				 ctx);
}

bool mem_store_checks_hold(const struct mem_store *s,
			   const struct cq_store_txn *txn)
{
	size_t i;

	for (i = 0; i < txn->check_count; i++) {
		const struct item *item =
			g_tree_lookup(s->items, txn->checks[i].key);

		if ((item ? item->revision : 0) != txn->checks[i].revision)
			return false;
	}
	return true;
}

void mem_store_execute(struct mem_store *s, const struct cq_store_txn *txn)
{
	size_t i;

	s->revision++;
	s->change_count++;
	for (i = 0; i < txn->put_count; i++)
		apply_change(s, txn->puts[i].key, txn->puts[i].value,
			     txn->puts[i].lease_id);
	for (i = 0; i < txn->delete_count; i++)
		if (g_tree_lookup(s->items, txn->deletes[i]))
			apply_change(s, txn->deletes[i], NULL, 0);
	wake_watches(s);
}

static enum mem_store_fault next_change_fault(struct mem_store *s)
{
	if (s->fault_count <= 0)
		return MEM_STORE_NO_FAULT;
	s->fault_count--;
	return s->change_fault;
}

static bool has_too_long_value(const struct mem_store *s,
			       const struct cq_store_txn *txn)
{
	size_t i;

	for (i = 0; s->max_value_bytes && i < txn->put_count; i++)
		if (strlen(txn->puts[i].value) > s->max_value_bytes)
			return true;
	return false;
}

static struct cq_store_call *mem_commit(void *self,
					const struct cq_store_txn *txn,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct mem_store *s = self;
	struct mem_call *call = call_create(s, done, ctx);
	enum mem_store_fault fault;
	size_t i;

	(void)timeout_ms;
	if (fail_if_faulty(call))
		return (struct cq_store_call *)call;
	if (has_too_long_value(s, txn)) {
		s->refused_count++;
		return complete(call, CQ_STORE_INVALID);
	}
	fault = next_change_fault(s);
	if (fault == MEM_STORE_REFUSE)
		return complete(call, CQ_STORE_UNAVAILABLE);
	if (fault == MEM_STORE_DROP_CHANGE)
		return complete(call, CQ_STORE_UNKNOWN);
	if (fault == MEM_STORE_DELAY_CHANGE) {
		mem_store_add_delayed(s, txn);
		return complete(call, CQ_STORE_UNKNOWN);
	}
	for (i = 0; i < txn->put_count; i++)
		if (txn->puts[i].lease_id &&
		    !g_hash_table_contains(
			    s->leases,
			    GINT_TO_POINTER((gint)txn->puts[i].lease_id)))
			return complete(call, CQ_STORE_NOT_FOUND);
	if (!mem_store_checks_hold(s, txn)) {
		for (i = 0; i < txn->check_count; i++) {
			const struct item *item =
				g_tree_lookup(s->items, txn->checks[i].key);

			if (item)
				add_entry(call, txn->checks[i].key, item->value,
					  item->revision, item->lease_id);
		}
		return complete(call, CQ_STORE_CONFLICT);
	}
	mem_store_execute(s, txn);
	call->result.revision = s->revision;
	if (fault == MEM_STORE_REVISION_AHEAD)
		call->result.revision = ++s->revision;
	return complete(call, fault == MEM_STORE_DROP_ANSWER ? CQ_STORE_UNKNOWN
							     : CQ_STORE_OK);
}

static struct cq_store_call *mem_put(void *self, const char *key,
				     const char *value, int64_t revision,
				     int64_t lease_id, uint32_t timeout_ms,
				     cq_store_done_fn *done, void *ctx)
{
	const struct cq_store_check check = { key, revision };
	const struct cq_store_put put = { key, value, lease_id };
	const struct cq_store_txn txn = {
		.checks = &check,
		.check_count = revision == CQ_STORE_ANY_REVISION ? 0 : 1,
		.puts = &put,
		.put_count = 1,
	};

	return mem_commit(self, &txn, timeout_ms, done, ctx);
}

static void add_lease(struct mem_store *s, uint32_t ttl_ms)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->ttl_s = ttl_ms / 1000.0;
	lease->end_s = ev_time() + lease->ttl_s;
	g_hash_table_insert(s->leases, GINT_TO_POINTER((gint)s->next_lease),
			    lease);
}

void mem_store_expire_due(struct mem_store *s)
{
	GList *ids = g_hash_table_get_keys(s->leases);
	double now_s = ev_time();
	GList *at;

	for (at = ids; at; at = at->next) {
		const struct lease *lease =
			g_hash_table_lookup(s->leases, at->data);

		if (lease->end_s < now_s)
			mem_store_expire(s, GPOINTER_TO_INT(at->data));
	}
	g_list_free(ids);
}

static struct cq_store_call *mem_lease_grant(void *self, uint32_t ttl_ms,
					     uint32_t timeout_ms,
					     cq_store_done_fn *done, void *ctx)
{
	struct mem_store *s = self;
	struct mem_call *call = call_create(s, done, ctx);

	(void)timeout_ms;
	if (fail_if_faulty(call))
		return (struct cq_store_call *)call;
	call->result.lease_id = ++s->next_lease;
	add_lease(s, ttl_ms);
	return complete(call, CQ_STORE_OK);
}

static struct cq_store_call *mem_lease_keepalive(void *self, int64_t lease_id,
						 uint32_t timeout_ms,
						 cq_store_done_fn *done,
						 void *ctx)
{
	struct mem_store *s = self;
	struct mem_call *call = call_create(s, done, ctx);
	struct lease *lease;

	(void)timeout_ms;
	if (fail_if_faulty(call))
		return (struct cq_store_call *)call;
	lease = g_hash_table_lookup(s->leases, GINT_TO_POINTER((gint)lease_id));
	if (!lease)
		return complete(call, CQ_STORE_NOT_FOUND);
	lease->end_s = ev_time() + lease->ttl_s;
	return complete(call, CQ_STORE_OK);
}

static struct cq_store_call *mem_lease_revoke(void *self, int64_t lease_id,
					      uint32_t timeout_ms,
					      cq_store_done_fn *done, void *ctx)
{
	struct mem_store *s = self;
	struct mem_call *call = call_create(s, done, ctx);

	(void)timeout_ms;
	if (fail_if_faulty(call))
		return (struct cq_store_call *)call;
	mem_store_expire(s, lease_id);
	return complete(call, CQ_STORE_OK);
}

static void mem_cancel(void *self, struct cq_store_call *call)
{
	struct mem_store *s = self;

	g_ptr_array_remove_fast(s->calls, call);
}

static const struct cq_store_ops mem_ops = {
	.get = mem_get,
	.list = mem_list,
	.put = mem_put,
	.lease_grant = mem_lease_grant,
	.lease_keepalive = mem_lease_keepalive,
	.lease_revoke = mem_lease_revoke,
	.watch = mem_watch,
	.watch_limited = mem_watch_limited,
	.cancel = mem_cancel,
	.commit = mem_commit,
};

struct mem_store *mem_store_create(struct ev_loop *loop)
{
	struct mem_store *s = g_new0(struct mem_store, 1);

	s->store.ops = &mem_ops;
	s->store.self = s;
	s->loop = loop;
	s->items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
	s->history = g_ptr_array_new_with_free_func(event_free);
	s->calls = g_ptr_array_new_with_free_func(call_free);
	s->delayed = g_ptr_array_new_with_free_func(mem_store_delayed_free);
	s->leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->revision = 1;
	return s;
}

void mem_store_destroy(struct mem_store *s)
{
	g_ptr_array_unref(s->calls);
	g_ptr_array_unref(s->delayed);
	g_ptr_array_unref(s->history);
	g_tree_destroy(s->items);
	g_hash_table_destroy(s->leases);
	g_free(s);
}

const struct cq_store *mem_store_get(struct mem_store *s)
{
	return &s->store;
}
