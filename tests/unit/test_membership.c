#include <glib.h>
#include <string.h>

#include "../support/sim_faults.h"

/* Stated bound on convergence after a fault. */
#define CONVERGE_MS 17000
/* Stated budget of control traffic for one host. */
#define BYTES_PER_SECOND 25000

static struct cq_sim_cluster *create(uint32_t data_centres, uint32_t schedds,
				     uint64_t seed)
{
	struct cq_sim_cluster_options options;

	cq_sim_cluster_options_init(&options);
	options.seed = seed;
	options.data_centres = data_centres;
	options.schedds = schedds;
	options.no_ownership = true;
	options.uneven_clocks = true;
	return cq_sim_cluster_create(&options);
}

/* The worst state in which any running node sees a node of the range. */
static enum cq_member_state worst(struct cq_sim_cluster *cluster, uint32_t from,
				  uint32_t to)
{
	enum cq_member_state state = CQ_MEMBER_ALIVE;
	uint32_t i, k;

	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_membership *m =
			cq_sim_node_membership(cq_sim_cluster_node(cluster, i));

		for (k = from; m && k < to; k++) {
			const struct cq_member *member = cq_membership_find(
				m, cq_sim_node_id(
					   cq_sim_cluster_node(cluster, k)));

			if (member && member->state > state)
				state = member->state;
		}
	}
	return state;
}

/* Whether all running nodes but the node itself see it in the state. */
static bool all_see(struct cq_sim_cluster *cluster, uint32_t node,
		    enum cq_member_state state)
{
	const char *id = cq_sim_node_id(cq_sim_cluster_node(cluster, node));
	uint32_t i;

	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_membership *m =
			cq_sim_node_membership(cq_sim_cluster_node(cluster, i));
		const struct cq_member *member;

		if (!m || i == node)
			continue;
		member = cq_membership_find(m, id);
		if (!member || member->state != state)
			return false;
	}
	return true;
}

enum expected {
	DEAD,	/* all others see it dead at the end of the fault */
	NEVER,	/* nobody ever sees anybody dead */
	ANYHOW, /* either; only what follows is checked */
};

/*
 * Guards against failures that stay unseen, hosts declared dead that are not,
 * and hosts that do not come back after a fault.
 */
static void test_faults(void)
{
	static const struct {
		enum cq_sim_fault_kind first, second;
		int64_t duration_ms;
		enum expected expected;
	} cases[] = {
		{ CQ_SIM_KILL, CQ_SIM_FAULT_KINDS, CONVERGE_MS, DEAD },
		{ CQ_SIM_PAUSE, CQ_SIM_FAULT_KINDS, 2000, NEVER },
		{ CQ_SIM_PAUSE, CQ_SIM_FAULT_KINDS, CONVERGE_MS, DEAD },
		{ CQ_SIM_CUT, CQ_SIM_FAULT_KINDS, 2000, NEVER },
		{ CQ_SIM_CUT, CQ_SIM_FAULT_KINDS, CONVERGE_MS, DEAD },
		{ CQ_SIM_CUT, CQ_SIM_FAULT_KINDS, 600000, DEAD },
		{ CQ_SIM_DEAF, CQ_SIM_FAULT_KINDS, CONVERGE_MS, DEAD },
		{ CQ_SIM_MUTE, CQ_SIM_FAULT_KINDS, CONVERGE_MS, DEAD },
		{ CQ_SIM_CUT_STORE, CQ_SIM_FAULT_KINDS, CONVERGE_MS, NEVER },
		{ CQ_SIM_STORE_DOWN, CQ_SIM_FAULT_KINDS, CONVERGE_MS, NEVER },
		{ CQ_SIM_DUPLICATES, CQ_SIM_FAULT_KINDS, CONVERGE_MS, NEVER },
		{ CQ_SIM_LOSS, CQ_SIM_FAULT_KINDS, CONVERGE_MS, ANYHOW },
		{ CQ_SIM_KILL, CQ_SIM_LOSS, CONVERGE_MS, ANYHOW },
		{ CQ_SIM_KILL, CQ_SIM_DUPLICATES, CONVERGE_MS, DEAD },
		{ CQ_SIM_PAUSE, CQ_SIM_KILL, CONVERGE_MS, DEAD },
		{ CQ_SIM_CUT_DC, CQ_SIM_FAULT_KINDS, CONVERGE_MS, ANYHOW },
		/* Regions are at times partitioned for an hour. */
		{ CQ_SIM_CUT_DC, CQ_SIM_FAULT_KINDS, 3600000, ANYHOW },
		{ CQ_SIM_CUT_DC, CQ_SIM_LOSS, CONVERGE_MS, ANYHOW },
		{ CQ_SIM_CUT_DC, CQ_SIM_KILL, CONVERGE_MS, ANYHOW },
	};
	guint i;
	uint32_t victim;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (victim = 0; victim < 8; victim += 3) {
			struct cq_sim_cluster *cluster =
				create(2, 4, 10 * i + victim);
			struct cq_sim_faults *faults =
				cq_sim_faults_create(cluster);
			int64_t ms;

			g_test_message("%s and %s of node %u",
				       cq_sim_fault_string(cases[i].first),
				       cq_sim_fault_string(cases[i].second),
				       victim);
			g_assert_true(cq_sim_cluster_run_until(
				cluster, cq_sim_membership_converged, NULL,
				CONVERGE_MS));
			cq_sim_fault_begin(faults, cases[i].first, victim);
			if (cases[i].second != CQ_SIM_FAULT_KINDS)
				cq_sim_fault_begin(faults, cases[i].second,
						   victim);
			for (ms = 0; ms < cases[i].duration_ms; ms += 500) {
				cq_sim_cluster_run_ms(cluster, 500);
				if (cases[i].expected == NEVER)
					g_assert_cmpint(worst(cluster, 0, 8), <,
							CQ_MEMBER_DEAD);
			}
			if (cases[i].expected == DEAD)
				g_assert_true(all_see(cluster, victim,
						      CQ_MEMBER_DEAD));
			cq_sim_faults_end_all(faults);
			/* A pause is not blamed on those who did not pause. */
			if (cases[i].first == CQ_SIM_PAUSE) {
				cq_sim_cluster_run_ms(cluster, 200);
				g_assert_cmpint(worst(cluster, 0, victim), <,
						CQ_MEMBER_DEAD);
				g_assert_cmpint(worst(cluster, victim + 1, 8),
						<, CQ_MEMBER_DEAD);
			}
			g_assert_true(cq_sim_cluster_run_until(
				cluster, cq_sim_membership_converged, NULL,
				CONVERGE_MS));
			cq_sim_faults_destroy(faults);
			cq_sim_cluster_destroy(cluster);
		}
	}
}

/* Guards against two hosts that cannot reach each other alone being failed. */
static void test_one_pair_cut(void)
{
	struct cq_sim_cluster *cluster = create(1, 8, 3);
	struct cq_sim *sim = cq_sim_cluster_sim(cluster);
	guint i;

	cq_sim_cluster_run_ms(cluster, CONVERGE_MS);
	cq_sim_net_block(sim, 1, 2, true);
	cq_sim_net_block(sim, 2, 1, true);
	cq_sim_net_block(sim, 5, 6, true);
	for (i = 0; i < 240; i++) {
		cq_sim_cluster_run_ms(cluster, 500);
		g_assert_cmpint(worst(cluster, 0, 8), <, CQ_MEMBER_DEAD);
	}
	cq_sim_cluster_destroy(cluster);
}

/* Guards against a planned stop that looks like a failure. */
static void test_leave(void)
{
	struct cq_sim_cluster *cluster = create(2, 4, 4);
	struct cq_sim_node *node = cq_sim_cluster_node(cluster, 2);
	uint64_t incarnation;

	cq_sim_cluster_run_ms(cluster, CONVERGE_MS);
	cq_membership_set_owner_epoch(cq_sim_node_membership(node), 77,
				      cq_sim_node_now_ns(node));
	cq_sim_cluster_run_ms(cluster, 5000);
	incarnation =
		cq_membership_find(
			cq_sim_node_membership(cq_sim_cluster_node(cluster, 7)),
			cq_sim_node_id(node))
			->incarnation;
	g_assert_cmpint(
		cq_membership_find(
			cq_sim_node_membership(cq_sim_cluster_node(cluster, 7)),
			cq_sim_node_id(node))
			->owner_epoch,
		==, 77);
	cq_membership_leave(cq_sim_node_membership(node),
			    cq_sim_node_now_ns(node));
	cq_sim_cluster_run_ms(cluster, 200);
	cq_sim_node_kill(node);
	cq_sim_cluster_run_ms(cluster, CONVERGE_MS);
	g_assert_true(all_see(cluster, 2, CQ_MEMBER_LEFT));
	g_assert_cmpuint(cq_membership_live_count(cq_sim_node_membership(
				 cq_sim_cluster_node(cluster, 0))),
			 ==, 7);
	cq_sim_node_restart(node);
	g_assert_true(cq_sim_cluster_run_until(
		cluster, cq_sim_membership_converged, NULL, CONVERGE_MS));
	g_assert_cmpuint(
		cq_membership_find(
			cq_sim_node_membership(cq_sim_cluster_node(cluster, 7)),
			cq_sim_node_id(node))
			->incarnation,
		>, incarnation);
	cq_sim_cluster_destroy(cluster);
}

/* Guards against traffic that grows with the number of hosts. */
static void test_cost(void)
{
	static const uint32_t sizes[] = { 2, 8, 16 };
	double messages[G_N_ELEMENTS(sizes)];
	guint i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cq_sim_cluster *cluster = create(4, sizes[i], 9);
		struct cq_sim *sim = cq_sim_cluster_sim(cluster);
		uint32_t n = 4 * sizes[i], k;
		uint64_t sent = 0, bytes = 0;

		g_assert_cmpuint(n, >, 0);
		cq_sim_cluster_run_ms(cluster, 30000);
		for (k = 0; k < n; k++) {
			sent -= cq_sim_net_sent(sim, (int32_t)k).messages;
			bytes -= cq_sim_net_sent(sim, (int32_t)k).bytes;
		}
		cq_sim_cluster_run_ms(cluster, 60000);
		for (k = 0; k < n; k++) {
			sent += cq_sim_net_sent(sim, (int32_t)k).messages;
			bytes += cq_sim_net_sent(sim, (int32_t)k).bytes;
		}
		messages[i] = (double)sent / n / 60;
		g_assert_cmpuint(bytes / n / 60, <, BYTES_PER_SECOND);
		cq_sim_cluster_destroy(cluster);
	}
	/* One probe and on average one answer in a period, at any size. */
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		g_assert_cmpfloat(messages[i], <, 2.5);
}

/* Whether the node sees all processes, and all see it. */
static bool is_joined(struct cq_sim_cluster *cluster, void *ctx)
{
	uint32_t node = *(const uint32_t *)ctx;

	return cq_membership_live_count(cq_sim_node_membership(
		       cq_sim_cluster_node(cluster, node))) ==
		       cq_sim_cluster_count(cluster) &&
	       all_see(cluster, node, CQ_MEMBER_ALIVE);
}

/*
 * Guards against a join through one seed that takes longer the more join: news
 * that wait for each other, and views that are read one page a second. The
 * traffic of a join is that of reading all records a few times.
 */
static void test_join(void)
{
	static const uint32_t sizes[] = { 25, 50, 100, 200 };
	guint i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cq_sim_cluster_options options;
		struct cq_sim_cluster *cluster;
		uint32_t n = sizes[i], k;
		uint64_t bytes = 0;

		cq_sim_cluster_options_init(&options);
		options.seed = 20 + i;
		options.schedds = n;
		options.no_ownership = true;
		options.one_seed = true;
		cluster = cq_sim_cluster_create(&options);
		g_assert_true(cq_sim_cluster_run_until(
			cluster, cq_sim_membership_converged, NULL,
			CONVERGE_MS));
		for (k = 0; k < n; k++)
			bytes += cq_sim_net_sent(cq_sim_cluster_sim(cluster),
						 (int32_t)k)
					 .bytes;
		g_assert_cmpuint(bytes / n, <,
				 CONVERGE_MS / 1000 * BYTES_PER_SECOND);
		/* One more, into a view that is complete. */
		k = n - 1;
		cq_sim_node_restart(cq_sim_cluster_node(cluster, k));
		g_assert_true(cq_sim_cluster_run_until(cluster, is_joined, &k,
						       CONVERGE_MS));
		cq_sim_cluster_destroy(cluster);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/membership/faults", test_faults);
	g_test_add_func("/membership/one_pair_cut", test_one_pair_cut);
	g_test_add_func("/membership/leave", test_leave);
	g_test_add_func("/membership/cost", test_cost);
	g_test_add_func("/membership/join", test_join);
	return g_test_run();
}
