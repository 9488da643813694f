/* settings_sync alone: single messages, without a deployment around it. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/script_store.h"
#include "../support/sim_store.h"
#include "chestnutquay/settings_sync.h"
#include "protocol/gen/settings.pb-c.h"

/* A single machine with a store that is down and its messages captured. */
struct single {
	struct cq_sim *sim;
	struct cq_sim_store *store;
	struct cq_membership *membership;
	struct cq_settings *tree;
	struct cq_settings_sync *sync;
	enum cq_peer_kind kind; /* of the last message; 0: none */
	int64_t revision;	/* in it */
	size_t entries;
	uint64_t correlation; /* of the last pull */
	uint64_t answer_to;   /* correlation of messages delivered */
	GString *applied;
};

static void single_send(void *ctx, const char *address, enum cq_peer_kind kind,
			uint64_t correlation, const uint8_t *payload,
			size_t len)
{
	struct single *single = ctx;

	(void)address;
	single->kind = kind;
	if (kind == CQ_PEER_SETTINGS_PULL) {
		Cq__SettingsPull *pull =
			cq__settings_pull__unpack(NULL, len, payload);

		single->correlation = correlation;
		single->revision = pull->after_revision;
		cq__settings_pull__free_unpacked(pull, NULL);
	} else if (kind == CQ_PEER_SETTINGS_STATE) {
		Cq__SettingsState *state =
			cq__settings_state__unpack(NULL, len, payload);

		single->revision = state->revision;
		single->entries = state->n_entries;
		cq__settings_state__free_unpacked(state, NULL);
	}
}

static void single_changed(void *ctx, const char *key, int64_t revision,
			   const char *fault)
{
	struct single *single = ctx;

	g_string_append_printf(single->applied, "%s@%d%s ", key, (int)revision,
			       fault ? "!" : "");
}

static void single_init(struct single *single, uint32_t max_state_bytes)
{
	static const struct cq_membership_ops membership_ops = {
		.send = single_send,
	};
	static const struct cq_settings_sync_ops sync_ops = {
		.send = single_send,
		.changed = single_changed,
	};
	struct cq_membership_options membership;
	struct cq_settings_sync_options options;
	struct cq_sim_store_faults down = { .down = true };

	memset(single, 0, sizeof(*single));
	single->sim = cq_sim_create(1);
	single->store = cq_sim_store_create(single->sim);
	cq_sim_host_add(single->sim);
	cq_sim_store_set_faults(single->store, &down);
	cq_membership_options_init(&membership);
	strcpy(membership.self.id, "me");
	strcpy(membership.self.data_centre, "dc0");
	strcpy(membership.self.address, "10.0.0.0:7000");
	single->membership =
		cq_membership_create(&membership, &membership_ops, single, 0);
	single->tree = cq_settings_create();
	single->applied = g_string_new("");
	cq_settings_sync_options_init(&options);
	options.clock = cq_sim_clock(single->sim);
	options.max_state_bytes = max_state_bytes;
	single->sync = cq_settings_sync_create(
		&options, cq_settings_sync_relay(), single->tree,
		single->membership, cq_sim_store_client(single->store, 0),
		&sync_ops, single, 0);
}

static void single_clear(struct single *single)
{
	cq_settings_sync_destroy(single->sync);
	cq_settings_destroy(single->tree);
	cq_membership_destroy(single->membership);
	cq_sim_store_destroy(single->store);
	cq_sim_destroy(single->sim);
	g_string_free(single->applied, TRUE);
}

static bool deliver(struct single *single, enum cq_peer_kind kind,
		    const uint8_t *payload, size_t len)
{
	struct cq_peer_message message = {
		.from_address = "10.0.0.9:7000",
		.from_id = "peer",
		.kind = kind,
		.correlation = single->answer_to,
		.payload = payload,
		.payload_len = len,
	};
	struct cq_error err = CQ_ERROR_INIT;

	single->kind = 0;
	single->entries = 0;
	return cq_settings_sync_receive(single->sync, &message,
					cq_sim_now_ns(single->sim), &err);
}

static void deliver_change(struct single *single, int64_t previous,
			   int64_t revision, const char *key)
{
	Cq__SettingsChange change = CQ__SETTINGS_CHANGE__INIT;
	Cq__SettingsEntry entry = CQ__SETTINGS_ENTRY__INIT;
	char *document = cq_settings_encode("{}", "op", (uint64_t)revision);
	uint8_t payload[512];

	change.previous_revision = previous;
	change.entry = &entry;
	entry.key = (char *)key;
	entry.document = document;
	entry.revision = revision;
	g_assert_true(deliver(single, CQ_PEER_SETTINGS_CHANGE, payload,
			      cq__settings_change__pack(&change, payload)));
	free(document);
}

/* Guards against changes taken out of order, and gaps that are not pulled. */
static void test_relay_order(void)
{
	static const struct {
		int64_t previous, revision;
		enum cq_peer_kind answer;
		int64_t answer_revision; /* held or pulled after */
		const char *applied;
	} cases[] = {
		{ 0, 5, CQ_PEER_SETTINGS_STATE, 5, "workspaces/a@5 " },
		{ 5, 8, CQ_PEER_SETTINGS_STATE, 8, "workspaces/a@8 " },
		{ 5, 8, CQ_PEER_SETTINGS_STATE, 8, "" },
		{ 0, 5, CQ_PEER_SETTINGS_STATE, 8, "" },
		{ 6, 7, CQ_PEER_SETTINGS_STATE, 8, "" },
		{ 7, 9, CQ_PEER_SETTINGS_STATE, 9, "workspaces/a@9 " },
		{ 10, 12, CQ_PEER_SETTINGS_PULL, 9, "" },
		{ 9, 10, CQ_PEER_SETTINGS_STATE, 10, "workspaces/a@10 " },
	};
	struct single single;
	guint i;

	single_init(&single, 4096);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_string_truncate(single.applied, 0);
		deliver_change(&single, cases[i].previous, cases[i].revision,
			       "workspaces/a");
		g_assert_cmpint(single.kind, ==, cases[i].answer);
		g_assert_cmpint(single.revision, ==, cases[i].answer_revision);
		g_assert_cmpstr(single.applied->str, ==, cases[i].applied);
	}
	single_clear(&single);
}

/* Guards against answers that claim more than they carry. */
static void test_pull(void)
{
	static const struct {
		int64_t after;
		uint32_t max_bytes;
		int64_t revision;
		size_t entries;
	} cases[] = {
		{ 0, 100000, 30, 30 }, { 12, 100000, 30, 18 },
		{ 30, 100000, 30, 0 }, { 40, 100000, 30, 0 },
		{ 0, 1, 1, 1 },	       { 12, 1, 13, 1 },
		{ 29, 1, 30, 1 },
	};
	guint i;
	int64_t k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cq__SettingsPull pull = CQ__SETTINGS_PULL__INIT;
		struct single single;
		uint8_t payload[64];

		single_init(&single, cases[i].max_bytes);
		for (k = 1; k <= 30; k++) {
			char *key = g_strdup_printf("workspaces/w%d", (int)k);

			deliver_change(&single, k - 1, k, key);
			g_free(key);
		}
		pull.after_revision = cases[i].after;
		g_assert_true(deliver(&single, CQ_PEER_SETTINGS_PULL, payload,
				      cq__settings_pull__pack(&pull, payload)));
		g_assert_cmpint(single.kind, ==, CQ_PEER_SETTINGS_STATE);
		g_assert_cmpint(single.revision, ==, cases[i].revision);
		g_assert_cmpuint(single.entries, ==, cases[i].entries);
		single_clear(&single);
	}
}

/* Guards against an answer to an earlier process of the same address. */
static void test_foreign_answer(void)
{
	static const struct {
		int64_t after;
		int64_t then;
	} cases[] = { { 0, 20 }, { 5, 20 }, { 6, 5 }, { 19, 5 } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cq__SettingsState state = CQ__SETTINGS_STATE__INIT;
		struct single single;
		uint8_t payload[64];

		single_init(&single, 4096);
		deliver_change(&single, 0, 5, "workspaces/a");
		state.answer = true;
		state.after_revision = cases[i].after;
		state.revision = 20;
		g_assert_true(
			deliver(&single, CQ_PEER_SETTINGS_STATE, payload,
				cq__settings_state__pack(&state, payload)));
		g_assert_cmpint(cq_settings_revision(single.tree), ==,
				cases[i].then);
		single_clear(&single);
	}
}

/*
 * Guards against an answer to an earlier pull that ends the wait for the
 * present one, so that pulls would follow each other without a pause.
 */
static void test_answer_to_old_pull(void)
{
	static const struct {
		int64_t older; /* how many pulls ago the answered one was */
		enum cq_peer_kind then;
	} cases[] = { { 0, CQ_PEER_SETTINGS_PULL }, { 1, 0 }, { 2, 0 } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cq__SettingsState state = CQ__SETTINGS_STATE__INIT;
		struct single single;
		uint8_t payload[64];

		single_init(&single, 4096);
		deliver_change(&single, 5, 8, "workspaces/a");
		g_assert_cmpint(single.kind, ==, CQ_PEER_SETTINGS_PULL);
		single.answer_to =
			single.correlation - (uint64_t)cases[i].older;
		state.answer = true;
		g_assert_true(
			deliver(&single, CQ_PEER_SETTINGS_STATE, payload,
				cq__settings_state__pack(&state, payload)));
		/* Another gap; while a pull is under way none follows. */
		deliver_change(&single, 8, 9, "workspaces/a");
		g_assert_cmpint(single.kind, ==, cases[i].then);
		single_clear(&single);
	}
}

/* The only process, which watches a store that answers what the test says. */
struct watcher {
	struct single single;
	struct cq_manual_clock *clock;
	struct cq_script_store script;
	struct cq_settings_sync *sync;
};

static int64_t watcher_now(const struct watcher *watcher)
{
	return cq_clock_now_ns(cq_manual_clock_get(watcher->clock));
}

/* Answers the oldest such call with nothing. */
static void answer_empty(struct watcher *watcher,
			 enum cq_script_operation operation)
{
	static const struct cq_store_result empty = { .status = CQ_STORE_OK };

	cq_script_store_answer(
		&watcher->script,
		cq_script_store_find(&watcher->script, operation, ""), &empty);
}

static bool is_open(struct watcher *watcher, enum cq_script_operation operation)
{
	return cq_script_store_find(&watcher->script, operation, "") != NULL;
}

static void watcher_init(struct watcher *watcher)
{
	static const struct cq_settings_sync_ops ops = { .send = single_send };
	struct cq_settings_sync_options options;

	watcher->clock = cq_manual_clock_create(100 * CQ_NS_PER_S, 0);
	single_init(&watcher->single, 4096);
	cq_script_store_init(&watcher->script);
	cq_settings_sync_options_init(&options);
	options.clock = cq_manual_clock_get(watcher->clock);
	watcher->sync = cq_settings_sync_create(
		&options, cq_settings_sync_relay(), watcher->single.tree,
		watcher->single.membership, &watcher->script.store, &ops,
		&watcher->single, watcher_now(watcher));
	cq_settings_sync_tick(watcher->sync, watcher_now(watcher));
	answer_empty(watcher, CQ_SCRIPT_LIST);
	cq_settings_sync_tick(watcher->sync, watcher_now(watcher));
}

static void watcher_clear(struct watcher *watcher)
{
	cq_settings_sync_destroy(watcher->sync);
	cq_script_store_clear(&watcher->script);
	cq_manual_clock_destroy(watcher->clock);
	single_clear(&watcher->single);
}

/* Guards against a store that keeps a watcher busy with empty answers. */
static void test_empty_watch(void)
{
	static const struct {
		int64_t after_ms; /* from the start of the watch */
		bool again;	  /* the next watch starts at once */
	} cases[] = { { 0, false }, { 900, false }, { 1000, true } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct watcher watcher;

		watcher_init(&watcher);
		cq_manual_clock_advance(watcher.clock,
					cases[i].after_ms * CQ_NS_PER_MS);
		answer_empty(&watcher, CQ_SCRIPT_WATCH);
		g_assert_cmpint(is_open(&watcher, CQ_SCRIPT_WATCH), ==,
				cases[i].again);
		cq_settings_sync_tick(watcher.sync,
				      watcher_now(&watcher) + CQ_NS_PER_S);
		g_assert_true(is_open(&watcher, CQ_SCRIPT_WATCH));
		watcher_clear(&watcher);
	}
}

/*
 * Guards against a change accepted here that is never read, because a watch
 * that hangs does not bring it: the store is read in full 2 s later.
 */
static void test_own_change(void)
{
	static const struct {
		int64_t revision; /* accepted */
		int64_t after_ms;
		bool reads;
	} cases[] = { { 9, 1900, false },
		      { 9, 2000, true },
		      { 0, 2000, false } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct watcher watcher;

		watcher_init(&watcher);
		if (cases[i].revision)
			cq_settings_sync_track_write(watcher.sync,
						     cases[i].revision,
						     watcher_now(&watcher));
		cq_manual_clock_advance(watcher.clock,
					cases[i].after_ms * CQ_NS_PER_MS);
		cq_settings_sync_tick(watcher.sync, watcher_now(&watcher));
		cq_settings_sync_tick(watcher.sync, watcher_now(&watcher));
		g_assert_cmpint(is_open(&watcher, CQ_SCRIPT_LIST), ==,
				cases[i].reads);
		watcher_clear(&watcher);
	}
}

/* Guards against messages that crash. */
static void test_malformed(void)
{
	static const struct {
		enum cq_peer_kind kind;
		const char *bytes;
		size_t len;
	} cases[] = {
		{ CQ_PEER_SETTINGS_CHANGE, "", 0 },
		{ CQ_PEER_SETTINGS_CHANGE, "\xff\xff", 2 },
		{ CQ_PEER_SETTINGS_PULL, "\xff\xff", 2 },
		{ CQ_PEER_SETTINGS_STATE, "\xff\xff", 2 },
		{ CQ_PEER_PING, "", 0 },
	};
	struct single single;
	guint i;

	single_init(&single, 4096);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_false(deliver(&single, cases[i].kind,
				       (const uint8_t *)cases[i].bytes,
				       cases[i].len));
	/* An unknown key is not taken and does no harm. */
	deliver_change(&single, 0, 3, "nonsense/a");
	g_assert_cmpstr(single.applied->str, ==, "");
	single_clear(&single);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings_sync/relay_order", test_relay_order);
	g_test_add_func("/settings_sync/pull", test_pull);
	g_test_add_func("/settings_sync/foreign_answer", test_foreign_answer);
	g_test_add_func("/settings_sync/answer_to_old_pull",
			test_answer_to_old_pull);
	g_test_add_func("/settings_sync/empty_watch", test_empty_watch);
	g_test_add_func("/settings_sync/own_change", test_own_change);
	g_test_add_func("/settings_sync/malformed", test_malformed);
	return g_test_run();
}
