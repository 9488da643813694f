#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/sim_world.h"

/*
 * Specified bound: a change is in force everywhere within 17 s (invariant I9).
 */
#define BOUND_MS 17000
#define NONE CQ_SIM_NO_FAULT

/*
 * Nodes of data centre dc0: 0 and 1 are schedds, 2 and 3 entryds. Nodes of dc1:
 * 4 to 7 in the same order.
 */
enum role {
	WATCHER,  /* the watcher of dc0 */
	FOLLOWER, /* the other schedd of dc0 */
	WRITER,	  /* the entryd of dc0 that writes the change */
	REMOTE,	  /* the watcher of dc1 */
	ANY,
};

enum moment { BEFORE, AT, AFTER_WRITE };

enum expected {
	/* All unaffected nodes have the change in force during the fault. */
	OTHERS,
	/* All nodes have the change in force after the end of the fault. */
	AFTER,
};

static struct cq_sim_world
create(uint64_t seed, const struct cq_settings_sync_strategy *strategy)
{
	struct cq_sim_cluster_options options;
	struct cq_sim_world world;

	cq_sim_cluster_options_init(&options);
	options.seed = seed;
	options.data_centres = 2;
	options.schedds = 2;
	options.entryds = 2;
	options.strategy = strategy;
	options.uneven_clocks = true;
	cq_sim_world_init(&world, &options);
	return world;
}

static uint32_t watcher(struct cq_sim_world *world, uint32_t from)
{
	uint32_t i;

	for (i = from; i < from + 4; i++) {
		struct cq_sim_node *node =
			cq_sim_cluster_node(world->cluster, i);

		if (cq_sim_node_is_running(node) &&
		    cq_settings_sync_state(cq_sim_node_sync(node)) ==
			    CQ_SETTINGS_SYNC_WATCHING)
			return i;
	}
	g_error("no watcher");
}

static uint32_t choose_node(struct cq_sim_world *world, enum role role)
{
	switch (role) {
	case WATCHER:
		return watcher(world, 0);
	case FOLLOWER:
		return 1 - watcher(world, 0);
	case REMOTE:
		return watcher(world, 4);
	case WRITER:
		return 2;
	case ANY:
		break;
	}
	return 3;
}

struct condition {
	int64_t revision;
	uint32_t affected[2];
	bool whole_dc; /* the whole data centre of affected[0] is affected */
};

static bool unaffected_nodes_hold(struct cq_sim_cluster *cluster, void *ctx)
{
	const struct condition *c = ctx;
	uint32_t i;

	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_sim_node *node = cq_sim_cluster_node(cluster, i);

		if (i == c->affected[0] || i == c->affected[1] ||
		    (c->whole_dc && i / 4 == c->affected[0] / 4))
			continue;
		if (!cq_sim_node_is_running(node) ||
		    cq_settings_revision(cq_sim_node_settings(node)) <
			    c->revision)
			return false;
	}
	return true;
}

static bool is_global(enum cq_sim_fault_kind kind)
{
	return kind >= CQ_SIM_STORE_DOWN && kind <= CQ_SIM_DUPLICATES;
}

struct fault_case {
	enum cq_sim_fault_kind first;
	enum role first_role;
	enum cq_sim_fault_kind second;
	enum role second_role;
	enum moment moment;
	enum expected expected;
};

static const struct fault_case fault_cases[] = {
	{ NONE, ANY, NONE, ANY, BEFORE, OTHERS },
	/* The watcher of the data centre fails. */
	{ CQ_SIM_KILL, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_KILL, WATCHER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_KILL, WATCHER, NONE, ANY, AFTER_WRITE, OTHERS },
	{ CQ_SIM_PAUSE, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_PAUSE, WATCHER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_CUT, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_CUT, WATCHER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_CUT_STORE, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_CUT_STORE, WATCHER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_DEAF_STORE, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_CUT_PEERS, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_CUT_PEERS, WATCHER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_DEAF, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_MUTE, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_PLANNED_STOP, WATCHER, NONE, ANY, AT, OTHERS },
	/* Another process fails. */
	{ CQ_SIM_KILL, FOLLOWER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_PAUSE, FOLLOWER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_CUT, FOLLOWER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_KILL, WRITER, NONE, ANY, AFTER_WRITE, OTHERS },
	{ CQ_SIM_CUT, WRITER, NONE, ANY, AFTER_WRITE, OTHERS },
	{ CQ_SIM_CUT_STORE, WRITER, NONE, ANY, AFTER_WRITE, OTHERS },
	{ CQ_SIM_KILL, REMOTE, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_CUT, REMOTE, NONE, ANY, AT, OTHERS },
	/* The store or the network fails. */
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, BEFORE, AFTER },
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, AFTER_WRITE, OTHERS },
	{ CQ_SIM_STORE_HANG, ANY, NONE, ANY, BEFORE, AFTER },
	{ CQ_SIM_STORE_SLOW, ANY, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, BEFORE, AFTER },
	{ CQ_SIM_LOSS, ANY, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_DUPLICATES, ANY, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_CUT_DC, WATCHER, NONE, ANY, BEFORE, OTHERS },
	{ CQ_SIM_CUT_DC, WATCHER, NONE, ANY, AT, OTHERS },
	{ CQ_SIM_CUT_DC, REMOTE, NONE, ANY, AT, OTHERS },
	/* Pairs of faults. */
	{ CQ_SIM_KILL, WATCHER, CQ_SIM_KILL, FOLLOWER, AT, OTHERS },
	{ CQ_SIM_KILL, WATCHER, CQ_SIM_PAUSE, FOLLOWER, BEFORE, OTHERS },
	{ CQ_SIM_KILL, WATCHER, CQ_SIM_LOSS, ANY, AT, OTHERS },
	{ CQ_SIM_PAUSE, WATCHER, CQ_SIM_DUPLICATES, ANY, AT, OTHERS },
	{ CQ_SIM_CUT_STORE, WATCHER, CQ_SIM_CUT_STORE, FOLLOWER, BEFORE,
	  OTHERS },
	{ CQ_SIM_CUT_STORE, WATCHER, CQ_SIM_LOSS, ANY, BEFORE, OTHERS },
	{ CQ_SIM_KILL, WATCHER, CQ_SIM_STORE_DOWN, ANY, AFTER_WRITE, OTHERS },
	{ CQ_SIM_KILL, WATCHER, CQ_SIM_STORE_DOWN, ANY, BEFORE, AFTER },
	{ CQ_SIM_KILL, WATCHER, CQ_SIM_KILL, REMOTE, BEFORE, OTHERS },
	{ CQ_SIM_CUT_DC, WATCHER, CQ_SIM_STORE_DOWN, ANY, BEFORE, AFTER },
	{ CQ_SIM_CUT_DC, WATCHER, CQ_SIM_KILL, WATCHER, AT, OTHERS },
};

static void run_case(const struct fault_case *c, uint64_t seed)
{
	struct cq_sim_world world = create(seed, cq_settings_sync_relay());
	struct condition others = { 0, { UINT32_MAX, UINT32_MAX }, false };
	uint32_t first, second;

	g_test_message("%s of %d, %s of %d, moment %d, seed %d",
		       cq_sim_fault_string(c->first), c->first_role,
		       cq_sim_fault_string(c->second), c->second_role,
		       c->moment, (int)seed);
	cq_sim_world_run_ms(&world, 10000 + 113 * (int64_t)seed);
	first = choose_node(&world, c->first_role);
	second = choose_node(&world, c->second_role);
	if (c->first != NONE && !is_global(c->first))
		others.affected[0] = first;
	if (c->second != NONE && !is_global(c->second))
		others.affected[1] = second;
	others.whole_dc = c->first == CQ_SIM_CUT_DC;
	if (c->moment == AFTER_WRITE) {
		others.revision =
			cq_sim_node_write(cq_sim_cluster_node(world.cluster, 2),
					  "workspaces/a", "{\"weight\":5}");
		cq_sim_world_run_ms(&world, 20);
	}
	cq_sim_world_fault(&world, c->first, first);
	cq_sim_world_fault(&world, c->second, second);
	if (c->moment == BEFORE)
		cq_sim_world_run_ms(&world, 1000);
	if (c->moment != AFTER_WRITE)
		others.revision =
			cq_sim_node_write(cq_sim_cluster_node(world.cluster, 2),
					  "workspaces/a", "{\"weight\":5}");
	if (c->expected == OTHERS)
		cq_sim_world_wait(&world, unaffected_nodes_hold, &others,
				  BOUND_MS);
	else
		cq_sim_world_run_ms(&world, BOUND_MS);
	cq_sim_faults_end_all(world.faults);
	cq_sim_world_wait(&world, cq_sim_settings_converged, &others.revision,
			  BOUND_MS);
	cq_sim_world_clear(&world);
}

/* Guards against a change that is delayed, lost or reverted under a fault. */
static void test_faults(void)
{
	uint64_t seed;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		for (seed = 1; seed <= 4; seed++)
			run_case(&fault_cases[i], seed);
}

/*
 * Guards against a watch_all strategy that does not work, which would
 * invalidate the benchmark that compares it with the relay.
 */
static void test_watch_all(void)
{
	struct cq_sim_world world = create(3, cq_settings_sync_watch_all());
	struct condition all = { 0, { UINT32_MAX, UINT32_MAX }, false };

	cq_sim_world_run_ms(&world, 5000);
	all.revision = cq_sim_node_write(cq_sim_cluster_node(world.cluster, 2),
					 "workspaces/a", "{\"weight\":5}");
	cq_sim_world_wait(&world, unaffected_nodes_hold, &all, 1000);
	cq_sim_world_clear(&world);
}

static bool has_watcher(struct cq_sim_cluster *cluster, void *ctx)
{
	uint32_t i;

	(void)ctx;
	for (i = 0; i < 4; i++) {
		struct cq_sim_node *node = cq_sim_cluster_node(cluster, i);

		if (cq_sim_node_is_running(node) &&
		    cq_settings_sync_state(cq_sim_node_sync(node)) ==
			    CQ_SETTINGS_SYNC_WATCHING)
			return true;
	}
	return false;
}

/*
 * Guards against more than one pending watch in a healthy data centre, and
 * against a data centre that stays without a watcher after its watchers failed.
 */
static void test_one_watcher(void)
{
	struct cq_sim_world world = create(4, cq_settings_sync_relay());
	uint32_t i, watching = 0;

	cq_sim_world_run_ms(&world, 15000);
	for (i = 0; i < 8; i++)
		watching += cq_settings_sync_state(cq_sim_node_sync(
				    cq_sim_cluster_node(world.cluster, i))) ==
			    CQ_SETTINGS_SYNC_WATCHING;
	g_assert_cmpuint(watching, ==, 2);
	/* The owner of each data centre must be its watcher. */
	for (i = 0; i < 2; i++) {
		struct cq_sim_node *owner =
			cq_sim_cluster_owner(world.cluster, i ? "dc1" : "dc0");

		g_assert_cmpint(cq_settings_sync_state(cq_sim_node_sync(owner)),
				==, CQ_SETTINGS_SYNC_WATCHING);
	}
	/*
	 * The watcher is killed three times: first the owner, then the other
	 * schedd, then an entryd.
	 */
	for (i = 0; i < 3; i++) {
		cq_sim_node_kill(
			cq_sim_cluster_node(world.cluster, watcher(&world, 0)));
		cq_sim_world_wait(&world, has_watcher, NULL, BOUND_MS);
	}
	cq_sim_world_clear(&world);
}

static bool is_ready(struct cq_sim_cluster *cluster, void *ctx)
{
	(void)cluster;
	return cq_settings_sync_ready(cq_sim_node_sync(ctx));
}

/*
 * Guards against a host that serves without settings, and against a host that
 * cannot load settings from its peers while the store is down.
 */
static void test_start(void)
{
	static const struct {
		enum cq_sim_fault_kind fault;
		bool all_restart;
		/* Whether the node becomes ready during the fault. */
		bool ready;
	} cases[] = {
		{ NONE, false, true },
		{ NONE, true, true },
		{ CQ_SIM_STORE_DOWN, false, true },
		{ CQ_SIM_STORE_HANG, false, true },
		{ CQ_SIM_CUT_STORE, false, true },
		{ CQ_SIM_STORE_DOWN, true, false },
		{ CQ_SIM_STORE_HANG, true, false },
		{ CQ_SIM_CUT, false, false },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_sim_world world =
			create(20 + i, cq_settings_sync_relay());
		struct cq_sim_node *node =
			cq_sim_cluster_node(world.cluster, 5);
		int64_t revision;
		uint32_t k;

		cq_sim_world_run_ms(&world, 10000);
		cq_sim_node_write(node, "workspaces/a", "{\"weight\":5}");
		revision = cq_sim_node_write(node, "global", "{}");
		cq_sim_world_run_ms(&world, 2000);
		cq_sim_world_fault(&world, cases[i].fault, 5);
		for (k = 0; k < 8; k++)
			if (cases[i].all_restart || k == 5)
				cq_sim_node_restart(
					cq_sim_cluster_node(world.cluster, k));
		g_assert_false(cq_settings_sync_ready(cq_sim_node_sync(node)));
		g_assert_cmpint(cq_sim_cluster_run_until(world.cluster,
							 is_ready, node,
							 BOUND_MS),
				==, cases[i].ready);
		if (cases[i].ready)
			g_assert_cmpint(cq_settings_revision(
						cq_sim_node_settings(node)),
					==, revision);
		cq_sim_faults_end_all(world.faults);
		cq_sim_world_wait(&world, cq_sim_settings_converged, &revision,
				  BOUND_MS);
		cq_sim_world_clear(&world);
	}
}

/*
 * Guards against acknowledgements being reported for hosts that do not have the
 * change.
 */
static void test_acknowledgement(void)
{
	struct cq_sim_world world = create(6, cq_settings_sync_relay());
	struct cq_sim_node *writer = cq_sim_cluster_node(world.cluster, 2);
	uint32_t acknowledged, known;
	int64_t revision;

	cq_sim_world_run_ms(&world, 10000);
	revision = cq_sim_node_write(writer, "workspaces/a", "{}");
	cq_settings_sync_acknowledged(cq_sim_node_sync(writer), revision,
				      &acknowledged, &known);
	g_assert_cmpuint(acknowledged, ==, 0);
	g_assert_cmpuint(known, ==, 8);
	cq_sim_world_run_ms(&world, 500);
	cq_settings_sync_acknowledged(cq_sim_node_sync(writer), revision,
				      &acknowledged, &known);
	g_assert_cmpuint(acknowledged, ==, 8);
	/* One host of each data centre does not answer. */
	cq_sim_fault_begin(world.faults, CQ_SIM_PAUSE, 3);
	cq_sim_fault_begin(world.faults, CQ_SIM_PAUSE, 7);
	revision = cq_sim_node_write(writer, "workspaces/a", "{\"weight\":2}");
	cq_sim_world_run_ms(&world, 1000);
	cq_settings_sync_acknowledged(cq_sim_node_sync(writer), revision,
				      &acknowledged, &known);
	g_assert_cmpuint(acknowledged, ==, 6);
	g_assert_cmpuint(known, ==, 8);
	cq_sim_faults_end_all(world.faults);
	cq_sim_world_run_ms(&world, 5000);
	cq_settings_sync_acknowledged(cq_sim_node_sync(writer), revision,
				      &acknowledged, &known);
	g_assert_cmpuint(acknowledged, ==, 8);
	cq_sim_world_clear(&world);
}

/*
 * Guards against two operators' changes of the same subtree revision both being
 * accepted.
 */
static void test_conflict(void)
{
	static const enum cq_sim_fault_kind kinds[] = { NONE, CQ_SIM_KILL,
							CQ_SIM_CUT_DC,
							CQ_SIM_LOSS };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct cq_sim_world world =
			create(30 + i, cq_settings_sync_relay());
		struct cq_sim_store *store =
			cq_sim_cluster_store(world.cluster);
		char *a = cq_settings_encode("{\"weight\":1}", "opa", 1);
		char *b = cq_settings_encode("{\"weight\":2}", "opb", 1);
		int64_t revision;
		uint32_t k;

		cq_sim_world_run_ms(&world, 10000);
		cq_sim_world_fault(&world, kinds[i], 0);
		revision = cq_sim_store_write(store, "settings/workspaces/a", a,
					      0);
		g_assert_cmpint(revision, >, 0);
		g_assert_cmpint(cq_sim_store_write(
					store, "settings/workspaces/a", b, 0),
				==, 0);
		cq_sim_world_run_ms(&world, 5000);
		cq_sim_faults_end_all(world.faults);
		cq_sim_world_wait(&world, cq_sim_settings_converged, &revision,
				  BOUND_MS);
		for (k = 0; k < 8; k++)
			g_assert_cmpint(
				cq_settings_workspace(
					cq_sim_node_settings(
						cq_sim_cluster_node(
							world.cluster, k)),
					"a")
					->weight,
				==, 1);
		free(a);
		free(b);
		cq_sim_world_clear(&world);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings_sync/faults", test_faults);
	g_test_add_func("/settings_sync/watch_all", test_watch_all);
	g_test_add_func("/settings_sync/one_watcher", test_one_watcher);
	g_test_add_func("/settings_sync/start", test_start);
	g_test_add_func("/settings_sync/acknowledgement", test_acknowledgement);
	g_test_add_func("/settings_sync/conflict", test_conflict);
	return g_test_run();
}
