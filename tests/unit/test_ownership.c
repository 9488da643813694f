#include <glib.h>
#include <string.h>

#include "../support/sim_world.h"

/* Lease time + 1 s, the stated bound on the time without starts. */
#define TAKEOVER_MS 6000
/* Time for a planned stop to hand over. */
#define HAND_OVER_MS 1000

enum role { OWNER, STANDBY, ANY };

enum moment {
	STEADY,	  /* the owner holds the lease for some time */
	NO_OWNER, /* nobody has acquired it yet */
	STOPPING, /* the owner has just begun a planned stop */
};

enum outcome {
	SAME_OWNER, /* the owner goes on, with no gap at the end */
	NEW_OWNER,  /* another one within the bound, during the fault */
	AFTER,	    /* none during the fault, one after it */
	SOME_OWNER, /* any, during the fault */
	EITHER,	    /* one or none; safety and recovery are checked */
};

static struct cq_sim_world create(uint64_t seed)
{
	struct cq_sim_cluster_options options;
	struct cq_sim_world world;

	cq_sim_cluster_options_init(&options);
	options.seed = seed;
	options.entryds = 1;
	options.uneven_clocks = true;
	cq_sim_world_init(&world, &options);
	cq_sim_faults_set_dc(world.faults, 0, true);
	return world;
}

static uint32_t number_of(struct cq_sim_node *node)
{
	return (uint32_t)cq_sim_node_host(node);
}

/* The schedd in the role; node 3 is an entryd. */
static uint32_t pick(struct cq_sim_world *world, enum role role)
{
	uint32_t at = cq_sim_world_owner(world, "dc0", 0);

	return role == STANDBY ? (at + 1) % 3 : at;
}

#define NONE CQ_SIM_NO_FAULT

struct fault_case {
	enum cq_sim_fault_kind first;
	enum role first_role;
	enum cq_sim_fault_kind second; /* NONE: single fault */
	enum role second_role;
	enum moment moment;
	enum outcome outcome;
};

/*
 * Every fault at every moment: who owns the data centre, and the safety claims
 * in each case. While half of the store's answers are lost or take longer than
 * the limit of a call, acquisition takes as long as it takes, because the bound
 * is for a store that answers; those cases check safety and the recovery.
 */
static const struct fault_case fault_cases[] = {
	/* Single faults of the owner. */
	{ CQ_SIM_KILL, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_CUT, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_DEAF, OWNER, NONE, ANY, STEADY, SOME_OWNER },
	{ CQ_SIM_MUTE, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_PLANNED_STOP, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	/* Peers relay its renewals. */
	{ CQ_SIM_CUT_STORE, OWNER, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_DEAF_STORE, OWNER, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_CUT_PEERS, OWNER, NONE, ANY, STEADY, SAME_OWNER },
	/* Faults of a standby do not touch the owner. */
	{ CQ_SIM_KILL, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_PAUSE, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_CUT, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_DEAF, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_MUTE, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_PLANNED_STOP, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	/* Faults of the store and the network. */
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, STEADY, AFTER },
	{ CQ_SIM_STORE_HANG, ANY, NONE, ANY, STEADY, AFTER },
	{ CQ_SIM_CUT_DC, ANY, NONE, ANY, STEADY, AFTER },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, STEADY, EITHER },
	{ CQ_SIM_RESETS, ANY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_LOSS, ANY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_DUPLICATES, ANY, NONE, ANY, STEADY, SAME_OWNER },
	/* Before the first owner. */
	{ CQ_SIM_KILL, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_PAUSE, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_CUT, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, NO_OWNER, EITHER },
	{ CQ_SIM_RESETS, ANY, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_STORE_SLOW, ANY, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_STORE_SLOW, ANY, NONE, ANY, STEADY, SOME_OWNER },
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, NO_OWNER, AFTER },
	/* In the middle of a hand-over. */
	{ CQ_SIM_KILL, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT_PEERS, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_KILL, STANDBY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_PAUSE, STANDBY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT, STANDBY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, STOPPING, EITHER },
	{ CQ_SIM_RESETS, ANY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_LOSS, ANY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_DUPLICATES, ANY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, STOPPING, AFTER },
	/* Pairs. */
	{ CQ_SIM_KILL, OWNER, CQ_SIM_KILL, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_PAUSE, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_CUT, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_KILL, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_LOSS, ANY, STEADY, NEW_OWNER },
	/* Answers to renewals wait while the process stands still. */
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_STORE_SLOW, ANY, STEADY, EITHER },
	{ CQ_SIM_CUT, OWNER, CQ_SIM_CUT_STORE, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, CQ_SIM_KILL, STANDBY, STEADY, SAME_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, CQ_SIM_CUT_PEERS, OWNER, STEADY, NEW_OWNER },
	{ CQ_SIM_DEAF_STORE, OWNER, CQ_SIM_DUPLICATES, ANY, STEADY,
	  SOME_OWNER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_STORE_DOWN, ANY, STEADY, AFTER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_STORE_DOWN, ANY, STEADY, AFTER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_STORE_HANG, ANY, STEADY, AFTER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_LOST_ANSWERS, ANY, STEADY, EITHER },
	{ CQ_SIM_LOST_ANSWERS, ANY, CQ_SIM_STORE_SLOW, ANY, STEADY, EITHER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_LOSS, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_LOST_ANSWERS, ANY, STOPPING, EITHER },
};

static void run_case(const struct fault_case *c, uint64_t seed)
{
	struct cq_sim_world world = create(seed);
	struct cq_sim_node *before;
	uint32_t first, second = 0;
	bool ok = true;
	/* Longer than any lease. */
	const int64_t fault_ms = 12000;

	g_test_message("%s of %s, %s, moment %d, seed %d",
		       cq_sim_fault_string(c->first),
		       c->first_role == OWNER ? "owner" : "other",
		       cq_sim_fault_string(c->second), c->moment, (int)seed);
	if (c->moment != NO_OWNER) {
		cq_sim_world_run_ms(&world, 5000 + 37 * (int64_t)seed);
		g_assert_nonnull(cq_sim_cluster_owner(world.cluster, "dc0"));
	}
	before = cq_sim_cluster_owner(world.cluster, "dc0");
	first = pick(&world, c->first_role);
	second = pick(&world, c->second_role);
	if (c->moment == STOPPING) {
		cq_sim_fault_begin(world.faults, CQ_SIM_PLANNED_STOP,
				   pick(&world, OWNER));
		/* Between the steps of the hand-over. */
		cq_sim_run_until(
			cq_sim_cluster_sim(world.cluster),
			cq_sim_now_ns(cq_sim_cluster_sim(world.cluster)) +
				(int64_t)seed * CQ_NS_PER_MS);
	}
	cq_sim_world_fault(&world, c->second, second);
	if (c->second == CQ_SIM_STORE_SLOW)
		cq_sim_world_run_ms(&world, 1500);
	cq_sim_fault_begin(world.faults, c->first, first);
	switch (c->outcome) {
	case SAME_OWNER:
		cq_sim_world_run_ms(&world, fault_ms);
		ok = cq_sim_cluster_owner(world.cluster, "dc0") == before;
		break;
	case NEW_OWNER:
		ok = cq_sim_cluster_run_until(world.cluster,
					      cq_sim_owned_by_other, before,
					      TAKEOVER_MS);
		cq_sim_world_run_ms(&world, fault_ms - TAKEOVER_MS);
		break;
	case AFTER:
		cq_sim_world_run_ms(&world, fault_ms);
		ok = !cq_sim_cluster_owner(world.cluster, "dc0");
		break;
	case SOME_OWNER:
		ok = cq_sim_cluster_run_until(world.cluster, cq_sim_all_owned,
					      NULL, fault_ms);
		break;
	case EITHER:
		cq_sim_world_run_ms(&world, fault_ms);
		break;
	}
	g_assert_cmpstr(cq_sim_faults_violation(world.faults), ==, "");
	g_assert_true(ok);
	cq_sim_faults_end_all(world.faults);
	cq_sim_world_wait(&world, cq_sim_all_owned, NULL, TAKEOVER_MS);
	cq_sim_world_run_ms(&world, 10000);
	g_assert_nonnull(cq_sim_cluster_owner(world.cluster, "dc0"));
	cq_sim_world_clear(&world);
}

/*
 * Guards against two owners, an owner that is not replaced in time, one that is
 * replaced without need, and none after the fault.
 */
static void test_faults(void)
{
	uint64_t seed;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		for (seed = 1; seed <= 8; seed++)
			run_case(&fault_cases[i], seed);
}

/* Guards against a planned stop that waits for the lease to end. */
static void test_hand_over(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct cq_sim_world world = create(seed);
		struct cq_sim_node *before, *after;
		int64_t epoch;

		cq_sim_world_run_ms(&world, 5000);
		before = cq_sim_cluster_owner(world.cluster, "dc0");
		epoch = cq_ownership_epoch(cq_sim_node_ownership(before));
		cq_sim_fault_begin(world.faults, CQ_SIM_PLANNED_STOP,
				   number_of(before));
		g_assert_false(cq_sim_node_may_command(before));
		cq_sim_world_wait(&world, cq_sim_owned_by_other, before,
				  HAND_OVER_MS);
		after = cq_sim_cluster_owner(world.cluster, "dc0");
		g_assert_cmpint(
			cq_ownership_epoch(cq_sim_node_ownership(after)), >,
			epoch);
		g_assert_cmpint(
			cq_ownership_state(cq_sim_node_ownership(before)), ==,
			CQ_OWNERSHIP_STOPPED);
		cq_sim_world_clear(&world);
	}
}

/*
 * Guards against the loss of the margin: a clock that runs slow by 9 % is still
 * covered by 500 ms in 5 s.
 */
static void test_margin(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 40; seed++) {
		struct cq_sim_cluster_options options;
		struct cq_sim_world world;
		struct cq_sim_node *owner;

		cq_sim_cluster_options_init(&options);
		options.seed = seed;
		options.max_drift_ppm = 90000;
		cq_sim_world_init(&world, &options);
		cq_sim_world_run_ms(&world, 6000 + 29 * (int64_t)seed);
		owner = cq_sim_cluster_owner(world.cluster, "dc0");
		g_assert_nonnull(owner);
		cq_sim_fault_begin(world.faults, CQ_SIM_CUT, number_of(owner));
		cq_sim_world_run_ms(&world, 8000);
		cq_sim_world_clear(&world);
	}
}

/* Guards against an epoch that does not grow with each owner. */
static void test_epochs(void)
{
	struct cq_sim_world world = create(5);
	int64_t epoch = 0;
	guint i;

	for (i = 0; i < 6; i++) {
		struct cq_sim_node *owner;

		cq_sim_world_wait(&world, cq_sim_all_owned, NULL, TAKEOVER_MS);
		owner = cq_sim_cluster_owner(world.cluster, "dc0");
		g_assert_cmpint(
			cq_ownership_epoch(cq_sim_node_ownership(owner)), >,
			epoch);
		epoch = cq_ownership_epoch(cq_sim_node_ownership(owner));
		g_assert_cmpint(
			cq_ownership_last_epoch(cq_sim_node_ownership(owner)),
			==, epoch);
		g_assert_cmpstr(
			cq_ownership_holder(cq_sim_node_ownership(owner)), ==,
			cq_sim_node_id(owner));
		cq_sim_node_restart(owner);
	}
	cq_sim_world_clear(&world);
}

/*
 * Guards against starts more than 3 s after the store accepted `out`, whatever
 * else fails, and against permits that never come back.
 */
static void test_permits(void)
{
	static const enum cq_sim_fault_kind kinds[] = {
		NONE,
		CQ_SIM_KILL,
		CQ_SIM_PAUSE,
		CQ_SIM_CUT,
		CQ_SIM_CUT_STORE,
		CQ_SIM_DEAF_STORE,
		CQ_SIM_CUT_DC,
		CQ_SIM_STORE_DOWN,
		CQ_SIM_STORE_HANG,
		CQ_SIM_STORE_SLOW,
		CQ_SIM_LOST_ANSWERS,
		CQ_SIM_PLANNED_STOP,
	};
	guint i;
	uint64_t seed;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		for (seed = 1; seed <= 8; seed++) {
			struct cq_sim_world world = create(100 + seed);
			uint64_t permits;
			uint32_t owner;
			bool faulty = kinds[i] != NONE;

			cq_sim_world_run_ms(&world, 6000);
			owner = pick(&world, OWNER);
			permits = cq_sim_faults_permits(world.faults);
			g_assert_cmpuint(permits, >, 0);
			/* The fault a little before or after `out`. */
			if (faulty && seed % 2)
				cq_sim_fault_begin(world.faults, kinds[i],
						   owner);
			cq_sim_world_run_ms(&world, 150 * (int64_t)seed);
			cq_sim_faults_set_dc(world.faults, 0, false);
			cq_sim_world_run_ms(&world, 70 * (int64_t)seed);
			if (faulty && seed % 2 == 0)
				cq_sim_fault_begin(world.faults, kinds[i],
						   owner);
			cq_sim_world_run_ms(&world, 9000);
			cq_sim_faults_end_all(world.faults);
			cq_sim_world_run_ms(&world, 9000);
			g_assert_cmpstr(cq_sim_faults_violation(world.faults),
					==, "");
			permits = cq_sim_faults_permits(world.faults);
			cq_sim_faults_set_dc(world.faults, 0, true);
			cq_sim_world_run_ms(&world, 3000);
			g_assert_cmpuint(cq_sim_faults_permits(world.faults), >,
					 permits);
			cq_sim_world_clear(&world);
		}
	}
}

/* Guards against reads of the store that nobody asked for. */
static void test_permit_on_demand(void)
{
	struct cq_sim_cluster_options options;
	struct cq_sim_cluster *cluster;
	struct cq_sim_node *owner;
	int64_t not_after_ms, now_ns;
	uint64_t permits;

	cq_sim_cluster_options_init(&options);
	cluster = cq_sim_cluster_create(&options);
	cq_sim_cluster_run_ms(cluster, 5000);
	owner = cq_sim_cluster_owner(cluster, "dc0");
	g_assert_nonnull(owner);
	g_assert_cmpuint(cq_sim_node_permit_calls(owner), ==, 0);
	/* A data centre that nobody declared gets no permit. */
	now_ns = cq_sim_node_now_ns(owner);
	g_assert_false(cq_ownership_start_permit(cq_sim_node_ownership(owner),
						 now_ns, &not_after_ms));
	cq_sim_cluster_run_ms(cluster, 300);
	g_assert_cmpuint(cq_sim_node_permit_calls(owner), ==, 1);
	now_ns = cq_sim_node_now_ns(owner);
	g_assert_false(cq_ownership_start_permit(cq_sim_node_ownership(owner),
						 now_ns, &not_after_ms));
	cq_sim_node_write(owner, "data-centres/dc0", "{\"state\":\"in\"}");
	cq_sim_cluster_run_ms(cluster, 300);
	now_ns = cq_sim_node_now_ns(owner);
	cq_ownership_start_permit(cq_sim_node_ownership(owner), now_ns,
				  &not_after_ms);
	cq_sim_cluster_run_ms(cluster, 100);
	now_ns = cq_sim_node_now_ns(owner);
	g_assert_true(cq_ownership_start_permit(cq_sim_node_ownership(owner),
						now_ns, &not_after_ms));
	permits = cq_sim_node_permit_calls(owner);
	cq_sim_cluster_run_ms(cluster, 10000);
	g_assert_cmpuint(cq_sim_node_permit_calls(owner), ==, permits);
	cq_sim_cluster_destroy(cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ownership/faults", test_faults);
	g_test_add_func("/ownership/hand_over", test_hand_over);
	g_test_add_func("/ownership/margin", test_margin);
	g_test_add_func("/ownership/epochs", test_epochs);
	g_test_add_func("/ownership/permits", test_permits);
	g_test_add_func("/ownership/permit_on_demand", test_permit_on_demand);
	return g_test_run();
}
