#include "chestnutquay/follower.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"

/* Delay before a failed store call is retried, doubled each time. */
#define RETRY_MIN_S 0.1
#define RETRY_MAX_S 0.8
/* Wait of the watch call that checks whether the store answers again. */
#define PROBE_WAIT_MS 1
/*
 * A watch may hear nothing while other calls are answered. So the first thing
 * after a watch without an answer is a list, with this time limit until a page
 * begins to arrive, but not more often than this: a slow store must not be
 * asked for all keys again and again.
 */
#define RELIST_TIMEOUT_MS 700
#define RELIST_INTERVAL_NS (INT64_C(5) * CQ_NS_PER_S)
/*
 * Changes that take more bytes than this and one and a half times the keys and
 * values that are known aren't read: a list has the newest value of each key
 * only, and on a narrow link it is there sooner.
 */
#define WATCH_MIN_LIMIT_BYTES UINT64_C(65536)
#define watch_limit_bytes(known) (WATCH_MIN_LIMIT_BYTES + (known) + (known) / 2)

/* What is known of a key. */
struct known_key {
	int64_t revision;
	size_t bytes; /* of the key and its value */
};

struct cq_follower {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_follower_ops *ops;
	void *ctx;
	char *prefix;
	uint32_t wait_ms;
	uint32_t list_timeout_ms;
	GHashTable *known; /* key -> struct known_key, owned */
	uint64_t known_bytes;
	struct cq_store_call *call;
	ev_timer retry_timer;
	double retry_s;
	int64_t revision; /* watch from after this revision; 0: list first */
	int64_t sent_ns;
	int64_t contact_ns;
	int64_t next_relist_ns; /* earliest list after an unanswered watch */
	bool synced;
	bool reachable;
};

static void send_next(struct cq_follower *f);
static void send_list(struct cq_follower *f, uint32_t timeout_ms);
static bool may_relist(const struct cq_follower *f,
		       const struct cq_store_result *result);
static void on_retry(struct ev_loop *loop, ev_timer *timer, int events);
static void on_list(void *ctx, const struct cq_store_result *result);
static void on_watch(void *ctx, const struct cq_store_result *result);
static void update_reachable(struct cq_follower *f,
			     const struct cq_store_result *result);
static void schedule_retry(struct cq_follower *f);
static void apply_entry(struct cq_follower *f,
			const struct cq_store_entry *entry);
static void apply_changes(struct cq_follower *f,
			  const struct cq_store_result *result);
static void report_removed(struct cq_follower *f, const char *key);
static void report_missing_removed(struct cq_follower *f,
				   const struct cq_store_result *result);

struct cq_follower *
cq_follower_create(const struct cq_follower_options *options,
		   const struct cq_store *store,
		   const struct cq_follower_ops *ops, void *ctx)
{
	struct cq_follower *f = g_new0(struct cq_follower, 1);

	f->loop = options->loop;
	f->clock = options->clock;
	f->store = store;
	f->ops = ops;
	f->ctx = ctx;
	f->prefix = g_strdup(options->prefix);
	f->wait_ms = options->wait_ms;
	f->list_timeout_ms = options->list_timeout_ms;
	f->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->retry_s = RETRY_MIN_S;
	f->contact_ns = INT64_MIN;
	f->reachable = true;
	ev_timer_init(&f->retry_timer, on_retry, 0., 0.);
	f->retry_timer.data = f;
	send_next(f);
	return f;
}

void cq_follower_destroy(struct cq_follower *f)
{
	if (!f)
		return;
	if (f->call)
		f->store->ops->cancel(f->store->self, f->call);
	ev_timer_stop(f->loop, &f->retry_timer);
	g_hash_table_destroy(f->known);
	g_free(f->prefix);
	g_free(f);
}

bool cq_follower_synced(const struct cq_follower *f)
{
	return f->synced;
}

bool cq_follower_reachable(const struct cq_follower *f)
{
	return f->reachable;
}

int64_t cq_follower_contact_ns(const struct cq_follower *f)
{
	const struct cq_store_ops *ops = f->store->ops;

	if (f->call && ops->answering &&
	    ops->answering(f->store->self, f->call))
		return f->sent_ns;
	return f->contact_ns;
}

static void send_list(struct cq_follower *f, uint32_t timeout_ms)
{
	f->sent_ns = cq_clock_now_ns(f->clock);
	f->call = f->store->ops->list(f->store->self, f->prefix, timeout_ms,
				      on_list, f);
}

static void send_next(struct cq_follower *f)
{
	f->sent_ns = cq_clock_now_ns(f->clock);
	if (f->revision)
		f->call = f->store->ops->watch_limited(
			f->store->self, f->prefix, f->revision,
			f->reachable ? f->wait_ms : PROBE_WAIT_MS,
			watch_limit_bytes(f->known_bytes), on_watch, f);
	else
		send_list(f, f->list_timeout_ms);
}

static bool may_relist(const struct cq_follower *f,
		       const struct cq_store_result *result)
{
	return result->status == CQ_STORE_UNKNOWN &&
	       cq_clock_now_ns(f->clock) >= f->next_relist_ns;
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_next(timer->data);
}

static void schedule_retry(struct cq_follower *f)
{
	double jitter = g_random_double_range(0.7, 1.3);

	ev_now_update(f->loop);
	ev_timer_set(&f->retry_timer, f->retry_s * jitter, 0.);
	ev_timer_start(f->loop, &f->retry_timer);
	f->retry_s = MIN(f->retry_s * 2, RETRY_MAX_S);
}

static void update_reachable(struct cq_follower *f,
			     const struct cq_store_result *result)
{
	bool reachable = result->status == CQ_STORE_OK ||
			 result->status == CQ_STORE_COMPACTED ||
			 result->status == CQ_STORE_TOO_LARGE;

	if (reachable) {
		f->contact_ns = f->sent_ns;
		f->retry_s = RETRY_MIN_S;
	}
	if (reachable != f->reachable)
		cq_log_event(reachable ? CQ_LOG_INFO : CQ_LOG_WARN,
			     reachable ? "store_regained" : "store_lost",
			     "{s:s,s:s,s:s}", "prefix", f->prefix, "status",
			     cq_store_status_string(result->status), "error",
			     result->message ? result->message : "");
	f->reachable = reachable;
}

static void apply_entry(struct cq_follower *f,
			const struct cq_store_entry *entry)
{
	const struct known_key *known =
		g_hash_table_lookup(f->known, entry->key);
	struct known_key now = { entry->revision,
				 strlen(entry->key) + entry->value_len };

	if (known && known->revision >= entry->revision)
		return;
	if (!entry->value) {
		report_removed(f, entry->key);
		return;
	}
	f->known_bytes += now.bytes - (known ? known->bytes : 0);
	g_hash_table_insert(f->known, g_strdup(entry->key),
			    g_memdup2(&now, sizeof(now)));
	f->ops->changed(f->ctx, entry);
}

/*
 * Reports the changes of a watch. A value that a later change of the answer
 * replaces or deletes is passed over, as a list would: it is out of date, and a
 * large one takes the time that the newest one needs.
 */
static void apply_changes(struct cq_follower *f,
			  const struct cq_store_result *result)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < result->entry_count; i++)
		g_hash_table_insert(last, (gpointer)result->entries[i].key,
				    (gpointer)&result->entries[i]);
	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *entry = &result->entries[i];

		if (!entry->value ||
		    g_hash_table_lookup(last, entry->key) == entry)
			apply_entry(f, entry);
	}
	g_hash_table_destroy(last);
}

/* Reports the key as removed if it was known. */
static void report_removed(struct cq_follower *f, const char *key)
{
	const struct known_key *known = g_hash_table_lookup(f->known, key);

	if (!known)
		return;
	f->known_bytes -= known->bytes;
	g_hash_table_remove(f->known, key);
	f->ops->removed(f->ctx, key);
}

static void report_missing_removed(struct cq_follower *f,
				   const struct cq_store_result *result)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GList *keys = g_hash_table_get_keys(f->known);
	GList *at;
	size_t i;

	for (i = 0; i < result->entry_count; i++)
		g_hash_table_add(listed, (gpointer)result->entries[i].key);
	for (at = keys; at; at = at->next) {
		char *key;

		if (g_hash_table_contains(listed, at->data))
			continue;
		key = g_strdup(at->data);
		report_removed(f, key);
		g_free(key);
	}
	g_list_free(keys);
	g_hash_table_destroy(listed);
}

static void on_list(void *ctx, const struct cq_store_result *result)
{
	struct cq_follower *f = ctx;
	size_t i;

	f->call = NULL;
	update_reachable(f, result);
	if (result->status != CQ_STORE_OK) {
		schedule_retry(f);
		return;
	}
	for (i = 0; i < result->entry_count; i++)
		apply_entry(f, &result->entries[i]);
	report_missing_removed(f, result);
	f->revision = result->revision;
	f->synced = true;
	send_next(f);
	if (f->ops->synced)
		f->ops->synced(f->ctx);
}

static void on_watch(void *ctx, const struct cq_store_result *result)
{
	struct cq_follower *f = ctx;

	f->call = NULL;
	update_reachable(f, result);
	if (result->status == CQ_STORE_COMPACTED ||
	    result->status == CQ_STORE_TOO_LARGE) {
		cq_log_event(CQ_LOG_INFO,
			     result->status == CQ_STORE_COMPACTED
				     ? "watch_history_gone"
				     : "watch_too_large",
			     "{s:s,s:I,s:I}", "prefix", f->prefix, "after",
			     (json_int_t)f->revision, "known_bytes",
			     (json_int_t)f->known_bytes);
		f->revision = 0;
		send_next(f);
		return;
	}
	if (may_relist(f, result)) {
		f->next_relist_ns =
			cq_clock_now_ns(f->clock) + RELIST_INTERVAL_NS;
		send_list(f, RELIST_TIMEOUT_MS);
		return;
	}
	if (result->status != CQ_STORE_OK) {
		schedule_retry(f);
		return;
	}
	f->revision = MAX(f->revision, result->revision);
	/* First: the limit of the next watch depends on what is known. */
	apply_changes(f, result);
	send_next(f);
}
