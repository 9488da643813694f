#include "sim_store_private.h"

#include <string.h>

static void free_item(gpointer data);
static void clear_call(gpointer data);
static struct item *copy_item(const struct item *item);
static void execute(struct cq_store_call *call);
static void answer(struct cq_store_call *call);
static void answer_arrived(void *ctx);
static void complete_in_process(void *ctx);
static int64_t change(struct cq_sim_store *store, const char *key,
		      const char *value, int64_t lease_id);
static bool matches(const struct cq_store_call *call, const struct item *item);
static bool collect(struct cq_sim_store *store, struct cq_store_call *call);
static void wake_watches(struct cq_sim_store *store);
static void end_watch(void *ctx);
static void arm_lease(struct lease *lease);
static void lease_due(void *ctx);
static void end_lease(struct lease *lease);
static void free_item(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static struct item *copy_item(const struct item *item)
{
	struct item *copy = g_new(struct item, 1);

	*copy = *item;
	copy->key = g_strdup(item->key);
	copy->value = g_strdup(item->value);
	return copy;
}

struct cq_sim_store *cq_sim_store_create(struct cq_sim *sim)
{
	struct cq_sim_store *store = g_new0(struct cq_sim_store, 1);

	store->sim = sim;
	store->faults.min_delay_ns = 500 * CQ_NS_PER_US;
	store->faults.max_delay_ns = 2 * CQ_NS_PER_MS;
	store->next_lease = 1;
	store->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_item);
	store->history = g_ptr_array_new_with_free_func(free_item);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	store->watches = g_ptr_array_new();
	return store;
}

void cq_sim_store_destroy(struct cq_sim_store *store)
{
	struct cq_sim_store_faults none = { 0 };
	int32_t i;

	/* Calls and leases under way still point to the store; they end. */
	store->faults = none;
	cq_sim_run_until(store->sim,
			 cq_sim_now_ns(store->sim) + 60 * CQ_NS_PER_S);
	g_hash_table_destroy(store->items);
	g_hash_table_destroy(store->leases);
	g_ptr_array_free(store->history, TRUE);
	g_ptr_array_free(store->watches, TRUE);
	for (i = 0; i < CQ_SIM_MAX_HOSTS; i++)
		g_free(store->clients[i]);
	g_free(store);
}

const struct cq_store *cq_sim_store_client(struct cq_sim_store *store,
					   int32_t host)
{
	struct client *client = store->clients[host];

	if (!client) {
		client = g_new0(struct client, 1);
		client->store = store;
		client->host = host;
		client->iface.ops = cq_sim_store_client_ops();
		client->iface.self = client;
		store->clients[host] = client;
	}
	return &client->iface;
}

void cq_sim_store_set_faults(struct cq_sim_store *store,
			     const struct cq_sim_store_faults *faults)
{
	store->faults = *faults;
}

struct cq_sim_store_faults cq_sim_store_faults(const struct cq_sim_store *store)
{
	return store->faults;
}

struct cq_sim_store_stats cq_sim_store_stats(const struct cq_sim_store *store)
{
	return store->stats;
}

uint64_t cq_sim_store_host_bytes(const struct cq_sim_store *store, int32_t host)
{
	return store->clients[host] ? store->clients[host]->bytes : 0;
}

uint64_t cq_sim_store_host_calls(const struct cq_sim_store *store, int32_t host)
{
	return store->clients[host] ? store->clients[host]->calls : 0;
}

uint64_t cq_sim_store_host_sent(const struct cq_sim_store *store, int32_t host)
{
	return store->clients[host] ? store->clients[host]->sent : 0;
}

void cq_sim_store_on_change(struct cq_sim_store *store,
			    cq_sim_store_changed_fn *fn, void *ctx)
{
	store->changed = fn;
	store->changed_ctx = ctx;
}

void cq_sim_store_unref(void *ctx)
{
	g_rc_box_release_full(ctx, clear_call);
}

static void clear_call(gpointer data)
{
	struct cq_store_call *call = data;

	if (call->entries)
		g_ptr_array_free(call->entries, TRUE);
	g_free(call->key);
	g_free(call->value);
}

int64_t cq_sim_store_delay(struct cq_sim_store *store)
{
	int64_t spread =
		store->faults.max_delay_ns - store->faults.min_delay_ns;

	return store->faults.min_delay_ns +
	       (int64_t)cq_sim_random(store->sim, (uint64_t)spread + 1);
}

/* The request reaches the store, or does not. */
void cq_sim_store_arrive(void *ctx)
{
	struct cq_store_call *call = ctx;
	struct cq_sim_store *store = call->client->store;

	if (cq_sim_net_is_blocked(store->sim, call->client->host,
				  CQ_SIM_STORE)) {
		cq_sim_store_unref(call);
		return;
	}
	store->stats.calls++;
	call->client->calls++;
	if (store->faults.down) {
		call->status = CQ_STORE_UNAVAILABLE;
		answer(call);
		return;
	}
	if (store->faults.hang) {
		cq_sim_store_unref(call);
		return;
	}
	execute(call);
}

/* Takes over the reference of the request. */
static void answer(struct cq_store_call *call)
{
	struct cq_sim_store *store = call->client->store;

	if (call->status != CQ_STORE_UNAVAILABLE &&
	    cq_sim_random(store->sim, 1000) <
		    store->faults.lost_answer_permille) {
		cq_sim_store_unref(call);
		return;
	}
	if (cq_sim_random(store->sim, 1000) < store->faults.reset_permille) {
		call->status = CQ_STORE_UNKNOWN;
		if (call->entries)
			g_ptr_array_free(call->entries, TRUE);
		call->entries = NULL;
	}
	cq_sim_at(store->sim,
		  cq_sim_now_ns(store->sim) + cq_sim_store_delay(store),
		  answer_arrived, call, cq_sim_store_unref);
}

static void answer_arrived(void *ctx)
{
	struct cq_store_call *call = ctx;
	struct client *client = call->client;
	struct cq_sim *sim = client->store->sim;
	guint i;

	if (!cq_sim_net_is_blocked(sim, CQ_SIM_STORE, client->host)) {
		uint64_t bytes = 200;

		for (i = 0; call->entries && i < call->entries->len; i++) {
			const struct item *item =
				g_ptr_array_index(call->entries, i);

			bytes += strlen(item->key) + 80 +
				 (item->value ? strlen(item->value) : 0);
		}
		client->store->stats.bytes += bytes;
		client->bytes += bytes;
		call->arrived = true;
		g_rc_box_acquire(call);
		cq_sim_host_post(sim, client->host, call->life,
				 complete_in_process, call, cq_sim_store_unref);
	}
	cq_sim_store_unref(call);
}

static void complete_in_process(void *ctx)
{
	struct cq_store_call *call = ctx;

	cq_sim_store_complete(call, call->status);
	cq_sim_store_unref(call);
}

void cq_sim_store_complete(struct cq_store_call *call,
			   enum cq_store_status status)
{
	struct cq_store_result result = { .status = status, .message = "" };
	struct cq_store_entry *entries = NULL;
	cq_store_done_fn *done = call->done;
	guint i;

	if (!done)
		return;
	call->done = NULL;
	if (call->timeout) {
		cq_sim_cancel(call->client->store->sim, call->timeout);
		call->timeout = NULL;
	}
	if (call->arrived && status == call->status && call->entries) {
		entries = g_new0(struct cq_store_entry, call->entries->len);
		for (i = 0; i < call->entries->len; i++) {
			const struct item *item =
				g_ptr_array_index(call->entries, i);

			entries[i].key = item->key;
			entries[i].value = item->value;
			entries[i].value_len = item->value ? strlen(item->value)
							   : 0;
			entries[i].revision = item->revision;
			entries[i].lease_id = item->lease_id;
		}
		result.entries = entries;
		result.entry_count = call->entries->len;
	}
	if (call->arrived && status == call->status) {
		result.revision = call->result_revision;
		result.lease_id = call->result_lease;
	}
	done(call->ctx, &result);
	g_free(entries);
	cq_sim_store_unref(call); /* the handle */
}

static int64_t change(struct cq_sim_store *store, const char *key,
		      const char *value, int64_t lease_id)
{
	struct item *item = g_new0(struct item, 1);

	item->key = g_strdup(key);
	item->value = g_strdup(value);
	item->revision = ++store->revision;
	item->lease_id = value ? lease_id : 0;
	g_ptr_array_add(store->history, copy_item(item));
	if (value) {
		g_hash_table_replace(store->items, item->key, item);
	} else {
		g_hash_table_remove(store->items, key);
		free_item(item);
	}
	if (store->changed)
		store->changed(store->changed_ctx, key, value, store->revision);
	wake_watches(store);
	return store->revision;
}

static bool matches(const struct cq_store_call *call, const struct item *item)
{
	return g_str_has_prefix(item->key, call->key);
}

/* Collects the changes a watch waits for; false if there is none. */
static bool collect(struct cq_sim_store *store, struct cq_store_call *call)
{
	guint i = store->history->len;

	while (i > 0) {
		const struct item *item =
			g_ptr_array_index(store->history, i - 1);

		if (item->revision <= call->revision)
			break;
		i--;
	}
	for (; i < store->history->len; i++) {
		const struct item *item = g_ptr_array_index(store->history, i);

		if (!matches(call, item))
			continue;
		if (!call->entries)
			call->entries =
				g_ptr_array_new_with_free_func(free_item);
		g_ptr_array_add(call->entries, copy_item(item));
	}
	call->result_revision = store->revision;
	return call->entries != NULL;
}

static void wake_watches(struct cq_sim_store *store)
{
	guint i;

	for (i = 0; i < store->watches->len;) {
		struct cq_store_call *call =
			g_ptr_array_index(store->watches, i);

		if (!collect(store, call)) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(store->watches, i);
		answer(call);
	}
}

static void end_watch(void *ctx)
{
	struct cq_store_call *call = ctx;
	struct cq_sim_store *store = call->client->store;

	if (g_ptr_array_remove_fast(store->watches, call)) {
		call->result_revision = store->revision;
		answer(call);
	}
	cq_sim_store_unref(call);
}

static void arm_lease(struct lease *lease)
{
	lease->event = cq_sim_at(lease->store->sim, lease->expiry_ns, lease_due,
				 lease, NULL);
}

static void lease_due(void *ctx)
{
	struct lease *lease = ctx;
	struct cq_sim_store *store = lease->store;

	if ((store->faults.down || store->faults.hang) &&
	    store->faults.keep_leases) {
		lease->expiry_ns =
			cq_sim_now_ns(store->sim) + 100 * CQ_NS_PER_MS;
		arm_lease(lease);
		return;
	}
	lease->event = NULL;
	end_lease(lease);
}

static void end_lease(struct lease *lease)
{
	struct cq_sim_store *store = lease->store;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;
	int64_t id = lease->id;
	guint i;

	if (lease->event)
		cq_sim_cancel(store->sim, lease->event);
	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct item *item = value;

		if (item->lease_id == id)
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	g_hash_table_remove(store->leases, &id);
	for (i = 0; i < keys->len; i++)
		change(store, g_ptr_array_index(keys, i), NULL, 0);
	g_ptr_array_free(keys, TRUE);
}

static void execute(struct cq_store_call *call)
{
	struct cq_sim_store *store = call->client->store;
	struct item *item =
		call->key ? g_hash_table_lookup(store->items, call->key) : NULL;
	struct lease *lease =
		g_hash_table_lookup(store->leases, &call->lease_id);
	GHashTableIter iter;
	gpointer value;

	call->status = CQ_STORE_OK;
	call->entries = NULL;
	switch (call->operation) {
	case GET:
		if (item) {
			call->entries =
				g_ptr_array_new_with_free_func(free_item);
			g_ptr_array_add(call->entries, copy_item(item));
		} else {
			call->status = CQ_STORE_NOT_FOUND;
		}
		break;
	case LIST:
		call->entries = g_ptr_array_new_with_free_func(free_item);
		g_hash_table_iter_init(&iter, store->items);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			if (matches(call, value))
				g_ptr_array_add(call->entries,
						copy_item(value));
		break;
	case PUT:
	case REMOVE:
		if (call->operation == PUT && call->lease_id && !lease) {
			call->status = CQ_STORE_NOT_FOUND;
		} else if (call->revision != CQ_STORE_ANY_REVISION &&
			   call->revision != (item ? item->revision : 0)) {
			call->status = CQ_STORE_CONFLICT;
			if (item) {
				call->entries = g_ptr_array_new_with_free_func(
					free_item);
				g_ptr_array_add(call->entries, copy_item(item));
			}
		} else {
			change(store, call->key, call->value, call->lease_id);
		}
		break;
	case GRANT:
		lease = g_new0(struct lease, 1);
		lease->store = store;
		lease->id = store->next_lease++;
		lease->ttl_ns = call->ttl_ns;
		lease->expiry_ns = cq_sim_now_ns(store->sim) + lease->ttl_ns;
		g_hash_table_insert(store->leases, &lease->id, lease);
		arm_lease(lease);
		call->result_lease = lease->id;
		break;
	case KEEPALIVE:
		if (!lease) {
			call->status = CQ_STORE_NOT_FOUND;
			break;
		}
		cq_sim_cancel(store->sim, lease->event);
		lease->expiry_ns = cq_sim_now_ns(store->sim) + lease->ttl_ns;
		arm_lease(lease);
		break;
	case REVOKE:
		if (lease)
			end_lease(lease);
		else
			call->status = CQ_STORE_NOT_FOUND;
		break;
	case WATCH:
		if (collect(store, call))
			break;
		/* Waits; keeps the reference of the request. */
		g_ptr_array_add(store->watches, call);
		g_rc_box_acquire(call);
		cq_sim_at(store->sim, call->wait_until_ns, end_watch, call,
			  cq_sim_store_unref);
		return;
	}
	call->result_revision = store->revision;
	answer(call);
}

int64_t cq_sim_store_write(struct cq_sim_store *store, const char *key,
			   const char *value, int64_t revision)
{
	const struct item *item = g_hash_table_lookup(store->items, key);

	if (revision != CQ_STORE_ANY_REVISION &&
	    revision != (item ? item->revision : 0))
		return 0;
	return change(store, key, value, 0);
}

const char *cq_sim_store_read(const struct cq_sim_store *store, const char *key,
			      int64_t *revision)
{
	const struct item *item = g_hash_table_lookup(store->items, key);

	if (revision)
		*revision = item ? item->revision : 0;
	return item ? item->value : NULL;
}
