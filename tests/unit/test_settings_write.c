#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/sim_faults.h"
#include "chestnutquay/settings_write.h"

struct answer {
	uint32_t completions;
	enum cq_settings_write_outcome outcome;
	int64_t revision;
};

static void on_done(void *ctx, enum cq_settings_write_outcome outcome,
		    int64_t revision)
{
	struct answer *answer = ctx;

	answer->completions++;
	answer->outcome = outcome;
	answer->revision = revision;
}

/* Replies of the scripted store. */
enum reply {
	OK,
	UNAVAILABLE,
	LOST, /* status UNKNOWN, the answer was lost */
	/* Conflict with the attempt whose answer was lost. */
	CONFLICT_OURS,
	CONFLICT_OTHER, /* another writer's document at revision 20 */
	/* An earlier change of this writer at revision 20. */
	CONFLICT_OWN_BEFORE,
	READ_OURS,
	READ_OTHER, /* another writer's document at revision 20 */
	READ_OWN_BEFORE,
	READ_SAME, /* the revision that the write expects */
	READ_LOST,
	NOTHING, /* end of the script; calls stay pending */
};

struct script {
	const enum reply *replies;
	uint32_t next;
	cq_store_done_fn *done;
	void *ctx;
	bool reads;
};

static struct cq_store_call *script_call(struct script *script, bool reads,
					 cq_store_done_fn *done, void *ctx)
{
	g_assert_null(script->done);
	script->reads = reads;
	script->done = done;
	script->ctx = ctx;
	return (struct cq_store_call *)script;
}

static struct cq_store_call *script_get(void *self, const char *key,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	g_assert_cmpstr(key, ==, "settings/workspaces/a");
	return script_call(self, true, done, ctx);
}

static struct cq_store_call *script_put(void *self, const char *key,
					const char *value, int64_t revision,
					int64_t lease_id, uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	(void)timeout_ms;
	(void)lease_id;
	g_assert_cmpstr(key, ==, "settings/workspaces/a");
	g_assert_cmpint(revision, ==, 10);
	g_assert_nonnull(strstr(value, "\"writer\":\"me\""));
	return script_call(self, false, done, ctx);
}

static void script_cancel(void *self, struct cq_store_call *call)
{
	struct script *script = self;

	(void)call;
	script->done = NULL;
}

static void script_reply(struct script *script)
{
	enum reply reply = script->replies[script->next];
	struct cq_store_entry entry = { .key = "settings/workspaces/a",
					.revision = 20 };
	struct cq_store_result result = { .entries = &entry, .message = "" };
	cq_store_done_fn *done = script->done;
	bool own_before;
	char *document;

	if (reply == NOTHING || !done)
		return;
	script->next++;
	g_assert_cmpint(script->reads, ==,
			reply >= READ_OURS && reply <= READ_LOST);
	if (reply == CONFLICT_OURS || reply == READ_OURS)
		entry.revision = 15;
	if (reply == READ_SAME)
		entry.revision = 10;
	own_before = reply == CONFLICT_OWN_BEFORE || reply == READ_OWN_BEFORE;
	document = cq_settings_encode(
		"{}", entry.revision == 15 || own_before ? "me" : "you",
		own_before ? 6 : 7);
	entry.value = document;
	result.revision = 15;
	result.entry_count = reply >= CONFLICT_OURS && reply != READ_LOST;
	result.status = reply == OK	       ? CQ_STORE_OK
			: reply == UNAVAILABLE ? CQ_STORE_UNAVAILABLE
			: reply == LOST || reply == READ_LOST ? CQ_STORE_UNKNOWN
			: reply <= CONFLICT_OWN_BEFORE ? CQ_STORE_CONFLICT
						       : CQ_STORE_OK;
	script->done = NULL;
	done(script->ctx, &result);
	free(document);
}

/*
 * Guards against a wrong outcome being reported to the operator (written
 * although it was not, or the reverse) when answers are lost or others write
 * too.
 */
static void test_outcomes(void)
{
	static const struct {
		enum reply replies[8];
		enum cq_settings_write_outcome outcome;
		int64_t revision;
	} cases[] = {
		{ { OK, NOTHING }, CQ_SETTINGS_WRITTEN, 15 },
		{ { CONFLICT_OTHER, NOTHING }, CQ_SETTINGS_CONFLICT, 20 },
		{ { UNAVAILABLE, OK, NOTHING }, CQ_SETTINGS_WRITTEN, 15 },
		{ { UNAVAILABLE, UNAVAILABLE, CONFLICT_OTHER, NOTHING },
		  CQ_SETTINGS_CONFLICT,
		  20 },
		{ { LOST, READ_OURS, NOTHING }, CQ_SETTINGS_WRITTEN, 15 },
		{ { LOST, READ_LOST, READ_OURS, NOTHING },
		  CQ_SETTINGS_WRITTEN,
		  15 },
		{ { LOST, READ_SAME, OK, NOTHING }, CQ_SETTINGS_WRITTEN, 15 },
		{ { LOST, READ_SAME, CONFLICT_OURS, NOTHING },
		  CQ_SETTINGS_WRITTEN,
		  15 },
		{ { LOST, READ_SAME, CONFLICT_OTHER, NOTHING },
		  CQ_SETTINGS_WRITE_UNKNOWN,
		  20 },
		{ { LOST, READ_OTHER, NOTHING },
		  CQ_SETTINGS_WRITE_UNKNOWN,
		  20 },
		{ { LOST, READ_OWN_BEFORE, NOTHING },
		  CQ_SETTINGS_WRITE_UNKNOWN,
		  20 },
		{ { CONFLICT_OWN_BEFORE, NOTHING }, CQ_SETTINGS_CONFLICT, 20 },
		{ { LOST, READ_SAME, UNAVAILABLE, OK, NOTHING },
		  CQ_SETTINGS_WRITTEN,
		  15 },
	};
	static const struct cq_store_ops ops = {
		.get = script_get,
		.put = script_put,
		.cancel = script_cancel,
	};
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_manual_clock *clock = cq_manual_clock_create(0, 0);
		struct script script = { .replies = cases[i].replies };
		struct cq_store store = { &ops, &script };
		struct answer answer = { 0 };
		struct cq_settings_write_request request = {
			.key = "workspaces/a",
			.json = "{}",
			.writer = "me",
			.sequence = 7,
			.revision = 10,
			.deadline_ns = 20 * CQ_NS_PER_S,
		};
		struct cq_settings_write *write = cq_settings_write_start(
			&request, &store, cq_manual_clock_get(clock), i,
			on_done, &answer);

		for (k = 0; k < 150 && !answer.completions; k++) {
			script_reply(&script);
			if (answer.completions)
				break;
			cq_manual_clock_advance(clock, 100 * CQ_NS_PER_MS);
			cq_settings_write_tick(
				write,
				cq_clock_now_ns(cq_manual_clock_get(clock)));
		}
		g_assert_cmpuint(answer.completions, ==, 1);
		g_assert_cmpstr(
			cq_settings_write_outcome_string(answer.outcome), ==,
			cq_settings_write_outcome_string(cases[i].outcome));
		g_assert_cmpint(answer.revision, ==, cases[i].revision);
		cq_manual_clock_destroy(clock);
	}
}

struct editor {
	struct answer answer;
	struct cq_settings_write *write;
};

static int64_t now_of(struct cq_sim_cluster *cluster, uint32_t node)
{
	return cq_sim_node_now_ns(cq_sim_cluster_node(cluster, node));
}

/*
 * Guards against two operators who change the same subtree both being told that
 * they replaced the same revision, under faults of the store and the network.
 */
static void test_racing_operators(void)
{
	static const enum cq_sim_fault_kind kinds[] = {
		CQ_SIM_FAULT_KINDS,  CQ_SIM_CUT_STORE,	CQ_SIM_DEAF_STORE,
		CQ_SIM_LOST_ANSWERS, CQ_SIM_RESETS,	CQ_SIM_STORE_SLOW,
		CQ_SIM_STORE_DOWN,   CQ_SIM_STORE_HANG, CQ_SIM_LOSS,
		CQ_SIM_DUPLICATES
	};
	guint i, k;
	uint64_t seed;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		for (seed = 1; seed <= 12; seed++) {
			struct cq_sim_cluster_options options;
			struct cq_sim_cluster *cluster;
			struct cq_sim_faults *faults;
			struct editor operators[3] = { 0 };
			uint32_t written = 0;
			int64_t held;

			cq_sim_cluster_options_init(&options);
			options.seed = seed;
			options.entryds = 3;
			cluster = cq_sim_cluster_create(&options);
			faults = cq_sim_faults_create(cluster);
			cq_sim_cluster_run_ms(cluster, 6000);
			if (kinds[i] != CQ_SIM_FAULT_KINDS)
				cq_sim_fault_begin(faults, kinds[i], 3);
			for (k = 0; k < 3; k++) {
				struct cq_sim_node *node =
					cq_sim_cluster_node(cluster, 3 + k);
				struct cq_settings_write_request request = {
					.key = "workspaces/a",
					.json = "{}",
					.writer = cq_sim_node_id(node),
					.sequence = 1,
					.deadline_ns =
						cq_sim_node_now_ns(node) +
						5 * CQ_NS_PER_S,
				};

				operators[k].write = cq_settings_write_start(
					&request,
					cq_store_relay_store(
						cq_sim_node_relay(node)),
					cq_sim_host_clock(
						cq_sim_cluster_sim(cluster),
						cq_sim_node_host(node)),
					seed + k, on_done,
					&operators[k].answer);
			}
			while (operators[0].answer.completions +
				       operators[1].answer.completions +
				       operators[2].answer.completions <
			       3) {
				cq_sim_cluster_run_ms(cluster, 100);
				for (k = 0; k < 3; k++)
					if (!operators[k].answer.completions)
						cq_settings_write_tick(
							operators[k].write,
							now_of(cluster, 3 + k));
			}
			cq_sim_store_read(cq_sim_cluster_store(cluster),
					  "settings/workspaces/a", &held);
			for (k = 0; k < 3; k++) {
				const struct answer *answer =
					&operators[k].answer;

				written += answer->outcome ==
					   CQ_SETTINGS_WRITTEN;
				if (answer->outcome == CQ_SETTINGS_WRITTEN)
					g_assert_cmpint(answer->revision, ==,
							held);
				if (answer->outcome == CQ_SETTINGS_CONFLICT)
					g_assert_cmpint(held, >, 0);
			}
			g_assert_cmpuint(written, <=, 1);
			if (kinds[i] == CQ_SIM_FAULT_KINDS)
				g_assert_cmpuint(written, ==, 1);
			cq_sim_faults_destroy(faults);
			cq_sim_cluster_destroy(cluster);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings_write/outcomes", test_outcomes);
	g_test_add_func("/settings_write/racing_operators",
			test_racing_operators);
	return g_test_run();
}
