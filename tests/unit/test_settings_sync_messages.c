/*
 * settings_sync of one process, driven by single messages without a simulated
 * cluster.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/script_store.h"
#include "../support/sim_store.h"
#include "chestnutquay/settings_sync.h"
#include "protocol/gen/settings.pb-c.h"

/* One process whose store is down and whose sent messages are captured. */
struct process {
	struct cq_sim *sim;
	struct cq_sim_store *store;
	struct cq_membership *membership;
	struct cq_settings *tree;
	struct cq_settings_sync *sync;
	enum cq_peer_kind kind; /* kind of the last message sent; 0: none */
	int64_t revision;	/* revision in the last message */
	size_t entries;
	uint64_t correlation; /* correlation of the last pull sent */
	uint64_t answer_to;   /* correlation of the messages to deliver */
	GString *applied;
};

static void process_send(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct process *process = ctx;

	(void)address;
	process->kind = kind;
	if (kind == CQ_PEER_SETTINGS_PULL) {
		Cq__SettingsPull *pull =
			cq__settings_pull__unpack(NULL, len, payload);

		process->correlation = correlation;
		process->revision = pull->after_revision;
		cq__settings_pull__free_unpacked(pull, NULL);
	} else if (kind == CQ_PEER_SETTINGS_STATE) {
		Cq__SettingsState *state =
			cq__settings_state__unpack(NULL, len, payload);

		process->revision = state->revision;
		process->entries = state->n_entries;
		cq__settings_state__free_unpacked(state, NULL);
	}
}

static void process_changed(void *ctx, const char *key, int64_t revision,
			    const char *fault)
{
	struct process *process = ctx;

	g_string_append_printf(process->applied, "%s@%d%s ", key, (int)revision,
			       fault ? "!" : "");
}

static void process_init(struct process *process, uint32_t max_state_bytes)
{
	static const struct cq_membership_ops membership_ops = {
		.send = process_send,
	};
	static const struct cq_settings_sync_ops sync_ops = {
		.send = process_send,
		.changed = process_changed,
	};
	struct cq_membership_options membership;
	struct cq_settings_sync_options options;
	struct cq_sim_store_faults down = { .down = true };

	memset(process, 0, sizeof(*process));
	process->sim = cq_sim_create(1);
	process->store = cq_sim_store_create(process->sim);
	cq_sim_host_add(process->sim);
	cq_sim_store_set_faults(process->store, &down);
	cq_membership_options_init(&membership);
	strcpy(membership.self.id, "me");
	strcpy(membership.self.data_centre, "dc0");
	strcpy(membership.self.address, "10.0.0.0:7000");
	process->membership =
		cq_membership_create(&membership, &membership_ops, process, 0);
	process->tree = cq_settings_create();
	process->applied = g_string_new("");
	cq_settings_sync_options_init(&options);
	options.clock = cq_sim_clock(process->sim);
	options.max_state_bytes = max_state_bytes;
	process->sync = cq_settings_sync_create(
		&options, cq_settings_sync_relay(), process->tree,
		process->membership, cq_sim_store_client(process->store, 0),
		&sync_ops, process, 0);
}

static void process_clear(struct process *process)
{
	cq_settings_sync_destroy(process->sync);
	cq_settings_destroy(process->tree);
	cq_membership_destroy(process->membership);
	cq_sim_store_destroy(process->store);
	cq_sim_destroy(process->sim);
	g_string_free(process->applied, TRUE);
}

static bool deliver(struct process *process, enum cq_peer_kind kind,
		    const uint8_t *payload, size_t len)
{
	struct cq_peer_message message = {
		.from_address = "10.0.0.9:7000",
		.from_id = "peer",
		.kind = kind,
		.correlation = process->answer_to,
		.payload = payload,
		.payload_len = len,
	};
	struct cq_error err = CQ_ERROR_INIT;

	process->kind = 0;
	process->entries = 0;
	return cq_settings_sync_receive(process->sync, &message,
					cq_sim_now_ns(process->sim), &err);
}

static void deliver_change(struct process *process, int64_t previous,
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
	g_assert_true(deliver(process, CQ_PEER_SETTINGS_CHANGE, payload,
			      cq__settings_change__pack(&change, payload)));
	free(document);
}

/*
 * Guards against changes applied out of order, and against gaps that are not
 * pulled.
 */
static void test_relay_order(void)
{
	static const struct {
		int64_t previous, revision;
		enum cq_peer_kind answer;
		/*
		 * Acknowledged revision, or revision after which the pull
		 * begins.
		 */
		int64_t answer_revision;
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
	struct process process;
	guint i;

	process_init(&process, 4096);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_string_truncate(process.applied, 0);
		deliver_change(&process, cases[i].previous, cases[i].revision,
			       "workspaces/a");
		g_assert_cmpint(process.kind, ==, cases[i].answer);
		g_assert_cmpint(process.revision, ==, cases[i].answer_revision);
		g_assert_cmpstr(process.applied->str, ==, cases[i].applied);
	}
	process_clear(&process);
}

/*
 * Guards against answers to pulls that state a higher revision than their
 * entries reach.
 */
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
		struct process process;
		uint8_t payload[64];

		process_init(&process, cases[i].max_bytes);
		for (k = 1; k <= 30; k++) {
			char *key = g_strdup_printf("workspaces/w%d", (int)k);

			deliver_change(&process, k - 1, k, key);
			g_free(key);
		}
		pull.after_revision = cases[i].after;
		g_assert_true(deliver(&process, CQ_PEER_SETTINGS_PULL, payload,
				      cq__settings_pull__pack(&pull, payload)));
		g_assert_cmpint(process.kind, ==, CQ_PEER_SETTINGS_STATE);
		g_assert_cmpint(process.revision, ==, cases[i].revision);
		g_assert_cmpuint(process.entries, ==, cases[i].entries);
		process_clear(&process);
	}
}

/*
 * Guards against applying an answer to an earlier process at the same address.
 */
static void test_foreign_answer(void)
{
	static const struct {
		int64_t after;
		int64_t expected;
	} cases[] = { { 0, 20 }, { 5, 20 }, { 6, 5 }, { 19, 5 } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cq__SettingsState state = CQ__SETTINGS_STATE__INIT;
		struct process process;
		uint8_t payload[64];

		process_init(&process, 4096);
		deliver_change(&process, 0, 5, "workspaces/a");
		state.answer = true;
		state.after_revision = cases[i].after;
		state.revision = 20;
		g_assert_true(
			deliver(&process, CQ_PEER_SETTINGS_STATE, payload,
				cq__settings_state__pack(&state, payload)));
		g_assert_cmpint(cq_settings_revision(process.tree), ==,
				cases[i].expected);
		process_clear(&process);
	}
}

/*
 * Guards against an answer to an earlier pull ending the wait for the current
 * one, which would let pulls follow each other without a pause.
 */
static void test_answer_to_old_pull(void)
{
	static const struct {
		/* The answered pull was this many pulls before the last. */
		int64_t pulls_ago;
		enum cq_peer_kind expected;
	} cases[] = { { 0, CQ_PEER_SETTINGS_PULL }, { 1, 0 }, { 2, 0 } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cq__SettingsState state = CQ__SETTINGS_STATE__INIT;
		struct process process;
		uint8_t payload[64];

		process_init(&process, 4096);
		deliver_change(&process, 5, 8, "workspaces/a");
		g_assert_cmpint(process.kind, ==, CQ_PEER_SETTINGS_PULL);
		process.answer_to =
			process.correlation - (uint64_t)cases[i].pulls_ago;
		state.answer = true;
		g_assert_true(
			deliver(&process, CQ_PEER_SETTINGS_STATE, payload,
				cq__settings_state__pack(&state, payload)));
		/*
		 * There is another gap, but no second pull is sent while one is
		 * pending.
		 */
		deliver_change(&process, 8, 9, "workspaces/a");
		g_assert_cmpint(process.kind, ==, cases[i].expected);
		process_clear(&process);
	}
}

/* The only process of a data centre, which watches a scripted store. */
struct watcher {
	struct process process;
	struct cq_manual_clock *clock;
	struct cq_script_store script;
	struct cq_settings_sync *sync;
};

static int64_t watcher_now(const struct watcher *watcher)
{
	return cq_clock_now_ns(cq_manual_clock_get(watcher->clock));
}

/* Answers the oldest pending call of the operation with no entries. */
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
	static const struct cq_settings_sync_ops ops = { .send = process_send };
	struct cq_settings_sync_options options;

	watcher->clock = cq_manual_clock_create(100 * CQ_NS_PER_S, 0);
	process_init(&watcher->process, 4096);
	cq_script_store_init(&watcher->script);
	cq_settings_sync_options_init(&options);
	options.clock = cq_manual_clock_get(watcher->clock);
	watcher->sync = cq_settings_sync_create(
		&options, cq_settings_sync_relay(), watcher->process.tree,
		watcher->process.membership, &watcher->script.store, &ops,
		&watcher->process, watcher_now(watcher));
	cq_settings_sync_tick(watcher->sync, watcher_now(watcher));
	answer_empty(watcher, CQ_SCRIPT_LIST);
	cq_settings_sync_tick(watcher->sync, watcher_now(watcher));
}

static void watcher_clear(struct watcher *watcher)
{
	cq_settings_sync_destroy(watcher->sync);
	cq_script_store_clear(&watcher->script);
	cq_manual_clock_destroy(watcher->clock);
	process_clear(&watcher->process);
}

/*
 * Guards against a faulty store that keeps a watcher busy with empty answers.
 */
static void test_empty_watch(void)
{
	static const struct {
		/* Time from the start of the watch to its answer. */
		int64_t after_ms;
		bool restarts; /* whether the next watch starts at once */
	} cases[] = { { 0, false }, { 900, false }, { 1000, true } };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct watcher watcher;

		watcher_init(&watcher);
		cq_manual_clock_advance(watcher.clock,
					cases[i].after_ms * CQ_NS_PER_MS);
		answer_empty(&watcher, CQ_SCRIPT_WATCH);
		g_assert_cmpint(is_open(&watcher, CQ_SCRIPT_WATCH), ==,
				cases[i].restarts);
		cq_settings_sync_tick(watcher.sync,
				      watcher_now(&watcher) + CQ_NS_PER_S);
		g_assert_true(is_open(&watcher, CQ_SCRIPT_WATCH));
		watcher_clear(&watcher);
	}
}

/*
 * Guards against a change that this process wrote but never reads, because its
 * watch hangs: the store must be read in full 2 s later.
 */
static void test_own_change(void)
{
	static const struct {
		/* Revision written for an operator; 0: none. */
		int64_t revision;
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

/* Guards against malformed messages that crash the process or are accepted. */
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
	struct process process;
	guint i;

	process_init(&process, 4096);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_false(deliver(&process, cases[i].kind,
				       (const uint8_t *)cases[i].bytes,
				       cases[i].len));
	/* A change of an unknown key is not applied and does no harm. */
	deliver_change(&process, 0, 3, "nonsense/a");
	g_assert_cmpstr(process.applied->str, ==, "");
	process_clear(&process);
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
