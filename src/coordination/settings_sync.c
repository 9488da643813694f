#include "coordination/settings_sync_private.h"

#include <assert.h>
#include <string.h>

static void start_watch(struct cq_settings_sync *sync);
static void on_watch(void *ctx, const struct cq_store_result *result);
static void start_list(struct cq_settings_sync *sync, int64_t now_ns);
static void on_list(void *ctx, const struct cq_store_result *result);
static void take_entries(struct cq_settings_sync *sync,
			 const struct cq_store_result *result, int64_t now_ns);
static gint compare_entries(gconstpointer a, gconstpointer b);
static bool always_watches(struct cq_settings_sync *sync);
static void free_push(gpointer data);
static void free_accepted(gpointer data);

static const char *const state_strings[] = {
	[CQ_SETTINGS_SYNC_STARTING] = "starting",
	[CQ_SETTINGS_SYNC_FOLLOWING] = "following",
	[CQ_SETTINGS_SYNC_WATCHING] = "watching",
};

static const struct cq_settings_sync_strategy watch_all = {
	.name = "watch_all",
	.watches = always_watches,
};

const struct cq_settings_sync_strategy *cq_settings_sync_watch_all(void)
{
	return &watch_all;
}

const char *
cq_settings_sync_strategy_name(const struct cq_settings_sync_strategy *strategy)
{
	return strategy->name;
}

const char *cq_settings_sync_state_string(enum cq_settings_sync_state state)
{
	if ((unsigned)state >= G_N_ELEMENTS(state_strings))
		return "?";
	return state_strings[state];
}

static bool always_watches(struct cq_settings_sync *sync)
{
	(void)sync;
	return true;
}

void cq_settings_sync_options_init(struct cq_settings_sync_options *options)
{
	memset(options, 0, sizeof(*options));
	options->clock = cq_clock_system();
	options->watch_wait_ms = 5000;
	options->call_timeout_ms = 1000;
	/*
	 * Watches go on from a revision and lose nothing; the full read only
	 * guards against a store that forgets changes.
	 */
	options->list_interval_ns = 60 * CQ_NS_PER_S;
	options->pull_timeout_ns = CQ_NS_PER_S;
	options->push_interval_ns = 500 * CQ_NS_PER_MS;
	options->start_peer_ns = 2 * CQ_NS_PER_S;
	options->push_attempts = 4;
	options->max_state_bytes = 2U << 20;
}

struct cq_settings_sync *cq_settings_sync_create(
	const struct cq_settings_sync_options *options,
	const struct cq_settings_sync_strategy *strategy,
	struct cq_settings *tree, struct cq_membership *membership,
	const struct cq_store *store, const struct cq_settings_sync_ops *ops,
	void *ctx, int64_t now_ns)
{
	struct cq_settings_sync *sync = g_new0(struct cq_settings_sync, 1);
	struct cq_retry_options retry;

	sync->options = *options;
	sync->strategy = strategy;
	sync->tree = tree;
	sync->membership = membership;
	sync->store = store;
	sync->ops = *ops;
	sync->ctx = ctx;
	sync->prng.state = options->seed;
	cq_retry_options_init(&retry);
	retry.base_ns = 200 * CQ_NS_PER_MS;
	/* The breaker in front of the store is that of the store relay. */
	retry.breaker_failures = 0;
	sync->retry = cq_retry_create(&retry, options->seed + 1);
	sync->created_ns = now_ns;
	sync->next_list_ns = now_ns;
	sync->next_watch_ns = now_ns;
	sync->next_election_ns = now_ns;
	sync->pushes = g_ptr_array_new_with_free_func(free_push);
	sync->accepted = g_ptr_array_new_with_free_func(free_accepted);
	sync->correlation = cq_prng_next(&sync->prng);
	return sync;
}

static void free_push(gpointer data)
{
	struct push *push = data;

	g_hash_table_destroy(push->waiting);
	g_free(push->key);
	g_free(push->document);
	g_free(push);
}

static void free_accepted(gpointer data)
{
	struct accepted *accepted = data;

	g_hash_table_destroy(accepted->by_dc);
	g_free(accepted);
}

void cq_settings_sync_destroy(struct cq_settings_sync *sync)
{
	if (!sync)
		return;
	if (sync->watch)
		sync->store->ops->cancel(sync->store->self, sync->watch);
	if (sync->list)
		sync->store->ops->cancel(sync->store->self, sync->list);
	g_ptr_array_free(sync->pushes, TRUE);
	g_ptr_array_free(sync->accepted, TRUE);
	cq_retry_destroy(sync->retry);
	g_free(sync);
}

int64_t cq_settings_sync_clock_ns(const struct cq_settings_sync *sync)
{
	return cq_clock_now_ns(sync->options.clock);
}

void cq_settings_sync_advance(struct cq_settings_sync *sync, int64_t revision)
{
	cq_settings_advance(sync->tree, revision);
	cq_membership_set_settings_revision(sync->membership,
					    cq_settings_revision(sync->tree));
}

void cq_settings_sync_take(struct cq_settings_sync *sync, const char *key,
			   const char *document, int64_t revision,
			   int64_t now_ns)
{
	int64_t previous = cq_settings_revision(sync->tree);
	struct cq_error fault = CQ_ERROR_INIT;

	if (cq_settings_apply(sync->tree, key, document, revision, &fault)) {
		if (sync->ops.changed)
			sync->ops.changed(sync->ctx, key, revision,
					  fault.code ? fault.message : NULL);
		if (sync->strategy->learned)
			sync->strategy->learned(sync, key, document, previous,
						revision, now_ns);
	}
	cq_settings_sync_advance(sync, revision);
}

void cq_settings_sync_started(struct cq_settings_sync *sync)
{
	if (sync->state == CQ_SETTINGS_SYNC_STARTING)
		sync->state = CQ_SETTINGS_SYNC_FOLLOWING;
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct cq_store_entry *const *left = a, *const *right = b;

	return ((*left)->revision > (*right)->revision) -
	       ((*left)->revision < (*right)->revision);
}

/*
 * Takes all entries, oldest change first, so that the tree is complete up to
 * each of them in turn. A key that vanished from the store keeps its settings;
 * removals are documents.
 */
static void take_entries(struct cq_settings_sync *sync,
			 const struct cq_store_result *result, int64_t now_ns)
{
	GPtrArray *sorted = g_ptr_array_new();
	size_t prefix = strlen(CQ_SETTINGS_PREFIX);
	size_t i;

	for (i = 0; i < result->entry_count; i++)
		g_ptr_array_add(sorted, (gpointer)&result->entries[i]);
	g_ptr_array_sort(sorted, compare_entries);
	for (i = 0; i < sorted->len; i++) {
		const struct cq_store_entry *entry =
			g_ptr_array_index(sorted, i);

		if (strncmp(entry->key, CQ_SETTINGS_PREFIX, prefix) != 0)
			continue;
		if (entry->value)
			cq_settings_sync_take(sync, entry->key + prefix,
					      entry->value, entry->revision,
					      now_ns);
		else
			cq_settings_sync_advance(sync, entry->revision);
	}
	g_ptr_array_free(sorted, TRUE);
}

static void start_watch(struct cq_settings_sync *sync)
{
	sync->watch_sent_ns = cq_settings_sync_clock_ns(sync);
	sync->watch = sync->store->ops->watch(sync->store->self,
					      CQ_SETTINGS_PREFIX,
					      cq_settings_revision(sync->tree),
					      sync->options.watch_wait_ms,
					      on_watch, sync);
}

static void on_watch(void *ctx, const struct cq_store_result *result)
{
	struct cq_settings_sync *sync = ctx;
	int64_t now_ns = cq_settings_sync_clock_ns(sync);
	int64_t before;

	sync->watch = NULL;
	if (result->status == CQ_STORE_OK) {
		sync->watch_failures = 0;
		before = cq_settings_revision(sync->tree);
		take_entries(sync, result, now_ns);
		/*
		 * At once, because a change in between would wait for the next
		 * tick; unless the answer was short and empty, because a
		 * faulty store could then keep this process busy.
		 */
		if (!sync->list_wanted &&
		    (cq_settings_revision(sync->tree) > before ||
		     now_ns - sync->watch_sent_ns >= CQ_NS_PER_S))
			start_watch(sync);
		return;
	}
	if (result->status != CQ_STORE_UNAVAILABLE &&
	    result->status != CQ_STORE_UNKNOWN)
		sync->list_wanted = true;
	sync->watch_failures++;
	sync->next_watch_ns =
		now_ns + cq_retry_backoff_ns(sync->retry, sync->watch_failures);
}

static void start_list(struct cq_settings_sync *sync, int64_t now_ns)
{
	sync->next_list_ns = now_ns + sync->options.list_interval_ns;
	sync->list = sync->store->ops->list(sync->store->self,
					    CQ_SETTINGS_PREFIX,
					    sync->options.call_timeout_ms,
					    on_list, sync);
}

static void on_list(void *ctx, const struct cq_store_result *result)
{
	struct cq_settings_sync *sync = ctx;
	int64_t now_ns = cq_settings_sync_clock_ns(sync);

	sync->list = NULL;
	if (result->status == CQ_STORE_OK) {
		sync->list_failures = 0;
		sync->list_wanted = false;
		take_entries(sync, result, now_ns);
		cq_settings_sync_started(sync);
		return;
	}
	sync->list_failures++;
	sync->next_list_ns =
		now_ns + cq_retry_backoff_ns(sync->retry, sync->list_failures);
}

void cq_settings_sync_tick(struct cq_settings_sync *sync, int64_t now_ns)
{
	bool watches = sync->strategy->watches(sync);
	bool list_due;

	if (sync->state != CQ_SETTINGS_SYNC_STARTING)
		sync->state = watches ? CQ_SETTINGS_SYNC_WATCHING
				      : CQ_SETTINGS_SYNC_FOLLOWING;
	list_due = now_ns >= sync->next_list_ns &&
		   (watches || sync->state == CQ_SETTINGS_SYNC_STARTING ||
		    sync->list_wanted);
	if (sync->list_wanted && sync->list_failures == 0)
		list_due = true;
	if (!sync->list && list_due)
		start_list(sync, now_ns);
	if (watches && sync->state == CQ_SETTINGS_SYNC_WATCHING &&
	    !sync->watch && now_ns >= sync->next_watch_ns)
		start_watch(sync);
	if (!watches && sync->watch) {
		sync->store->ops->cancel(sync->store->self, sync->watch);
		sync->watch = NULL;
	}
	if (sync->strategy->tick)
		sync->strategy->tick(sync, now_ns);
}

bool cq_settings_sync_receive(struct cq_settings_sync *sync,
			      const struct cq_peer_message *message,
			      int64_t now_ns, struct cq_error *err)
{
	if (!sync->strategy->receive)
		return true;
	return sync->strategy->receive(sync, message, now_ns, err);
}

void cq_settings_sync_member_revision(struct cq_settings_sync *sync,
				      const struct cq_member *member,
				      int64_t now_ns)
{
	if (sync->strategy->member_revision)
		sync->strategy->member_revision(sync, member, now_ns);
}

enum cq_settings_sync_state
cq_settings_sync_state(const struct cq_settings_sync *sync)
{
	return sync->state;
}

bool cq_settings_sync_ready(const struct cq_settings_sync *sync)
{
	return sync->state != CQ_SETTINGS_SYNC_STARTING;
}

void cq_settings_sync_track_write(struct cq_settings_sync *sync,
				  int64_t revision, int64_t now_ns)
{
	struct accepted *accepted = g_new0(struct accepted, 1);

	accepted->revision = revision;
	accepted->by_dc =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(sync->accepted, accepted);
	/* Operators ask about their last change. */
	if (sync->accepted->len > 64)
		g_ptr_array_remove_index(sync->accepted, 0);
	if (revision > sync->wanted_revision) {
		sync->wanted_revision = revision;
		sync->wanted_by_ns = now_ns + 2 * CQ_NS_PER_S;
	}
}

void cq_settings_sync_acknowledged(const struct cq_settings_sync *sync,
				   int64_t revision, uint32_t *acknowledged,
				   uint32_t *known)
{
	GHashTable *by_dc = g_hash_table_new(g_str_hash, g_str_equal);
	const struct accepted *accepted = NULL;
	GHashTableIter iter;
	gpointer key, value;
	uint32_t i;

	*acknowledged = 0;
	*known = cq_membership_live_count(sync->membership);
	for (i = 0; i < sync->accepted->len; i++) {
		const struct accepted *a = g_ptr_array_index(sync->accepted, i);

		if (a->revision == revision)
			accepted = a;
	}
	/* What members said themselves, by data centre. */
	for (i = 0; i < cq_membership_count(sync->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(sync->membership, i);
		guint n;

		if (!cq_member_is_live(member) ||
		    member->settings_revision < revision)
			continue;
		n = GPOINTER_TO_UINT(
			g_hash_table_lookup(by_dc, member->data_centre));
		g_hash_table_insert(by_dc, (gpointer)member->data_centre,
				    GUINT_TO_POINTER(n + 1));
	}
	/* The watcher's count of a data centre, if it is higher. */
	if (accepted) {
		g_hash_table_iter_init(&iter, accepted->by_dc);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			guint n = GPOINTER_TO_UINT(
				g_hash_table_lookup(by_dc, key));

			if (GPOINTER_TO_UINT(value) > n)
				g_hash_table_insert(by_dc, key, value);
		}
	}
	g_hash_table_iter_init(&iter, by_dc);
	while (g_hash_table_iter_next(&iter, &key, &value))
		*acknowledged += GPOINTER_TO_UINT(value);
	*acknowledged = MIN(*acknowledged, *known);
	g_hash_table_destroy(by_dc);
}
