#include <glib.h>
#include <string.h>

#include "../support/sim_world.h"

/* Lease time plus 1 s: the specified bound on the time without task starts. */
#define TAKEOVER_MS 6000
/* Time limit for the hand-over of a planned stop. */
#define HAND_OVER_MS 1000

enum role { OWNER, STANDBY, ANY };

enum moment {
	STEADY,	  /* the owner has held the lease for some time */
	NO_OWNER, /* no schedd has acquired the lease yet */
	STOPPING, /* the owner has just begun a planned stop */
};

enum outcome {
	SAME_OWNER, /* the owner stays and is still the owner at the end */
	/* Another owner takes over within the bound, during the fault. */
	NEW_OWNER,
	AFTER,	    /* no owner during the fault, one after it */
	SOME_OWNER, /* some schedd is the owner during the fault */
	/* Owner not checked during the fault; only safety and recovery. */
	UNCHECKED,
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

static uint32_t node_number(struct cq_sim_node *node)
{
	return (uint32_t)cq_sim_node_host(node);
}

/*
 * Returns the schedd that has the role; schedds are nodes 0 to 2, node 3 is an
 * entryd.
 */
static uint32_t choose_node(struct cq_sim_world *world, enum role role)
{
	uint32_t at = cq_sim_world_owner(world, "dc0", 0);

	return role == STANDBY ? (at + 1) % 3 : at;
}

#define NONE CQ_SIM_NO_FAULT

struct fault_case {
	enum cq_sim_fault_kind first;
	enum role first_role;
	enum cq_sim_fault_kind second; /* second fault; NONE: a single fault */
	enum role second_role;
	enum moment moment;
	enum outcome outcome;
};

/*
 * Faults at each moment, with the expected owner of the data centre; the safety
 * invariants are checked in every case. The takeover bound assumes a store that
 * answers. Where half of the store's answers are lost or take longer than the
 * call time-out, only safety and recovery are checked.
 */
static const struct fault_case fault_cases[] = {
	/* Single faults that affect the owner. */
	{ CQ_SIM_KILL, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_CUT, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_DEAF, OWNER, NONE, ANY, STEADY, SOME_OWNER },
	{ CQ_SIM_MUTE, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	{ CQ_SIM_PLANNED_STOP, OWNER, NONE, ANY, STEADY, NEW_OWNER },
	/* Faults in which peers relay the owner's renewals. */
	{ CQ_SIM_CUT_STORE, OWNER, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_DEAF_STORE, OWNER, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_CUT_PEERS, OWNER, NONE, ANY, STEADY, SAME_OWNER },
	/* Faults of a standby, which must not affect the owner. */
	{ CQ_SIM_KILL, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_PAUSE, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_CUT, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_DEAF, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_MUTE, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_PLANNED_STOP, STANDBY, NONE, ANY, STEADY, SAME_OWNER },
	/* Faults of the store or the network. */
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, STEADY, AFTER },
	{ CQ_SIM_STORE_HANG, ANY, NONE, ANY, STEADY, AFTER },
	{ CQ_SIM_CUT_DC, ANY, NONE, ANY, STEADY, AFTER },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, STEADY, UNCHECKED },
	{ CQ_SIM_RESETS, ANY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_LOSS, ANY, NONE, ANY, STEADY, SAME_OWNER },
	{ CQ_SIM_DUPLICATES, ANY, NONE, ANY, STEADY, SAME_OWNER },
	/* Faults before the first owner, and slow stores. */
	{ CQ_SIM_KILL, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_PAUSE, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_CUT, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, NO_OWNER, UNCHECKED },
	{ CQ_SIM_RESETS, ANY, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_STORE_SLOW, ANY, NONE, ANY, NO_OWNER, SOME_OWNER },
	{ CQ_SIM_STORE_SLOW, ANY, NONE, ANY, STEADY, SOME_OWNER },
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, NO_OWNER, AFTER },
	/* Faults during a hand-over. */
	{ CQ_SIM_KILL, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT_PEERS, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_KILL, STANDBY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_PAUSE, STANDBY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_CUT, STANDBY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_LOST_ANSWERS, ANY, NONE, ANY, STOPPING, UNCHECKED },
	{ CQ_SIM_RESETS, ANY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_LOSS, ANY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_DUPLICATES, ANY, NONE, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_STORE_DOWN, ANY, NONE, ANY, STOPPING, AFTER },
	/* Pairs of faults. */
	{ CQ_SIM_KILL, OWNER, CQ_SIM_KILL, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_PAUSE, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_CUT, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_KILL, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_LOSS, ANY, STEADY, NEW_OWNER },
	/* Answers to renewals arrive while the process is paused. */
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_STORE_SLOW, ANY, STEADY, UNCHECKED },
	{ CQ_SIM_CUT, OWNER, CQ_SIM_CUT_STORE, STANDBY, STEADY, NEW_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, CQ_SIM_KILL, STANDBY, STEADY, SAME_OWNER },
	{ CQ_SIM_CUT_STORE, OWNER, CQ_SIM_CUT_PEERS, OWNER, STEADY, NEW_OWNER },
	{ CQ_SIM_DEAF_STORE, OWNER, CQ_SIM_DUPLICATES, ANY, STEADY,
	  SOME_OWNER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_STORE_DOWN, ANY, STEADY, AFTER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_STORE_DOWN, ANY, STEADY, AFTER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_STORE_HANG, ANY, STEADY, AFTER },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_LOST_ANSWERS, ANY, STEADY, UNCHECKED },
	{ CQ_SIM_LOST_ANSWERS, ANY, CQ_SIM_STORE_SLOW, ANY, STEADY, UNCHECKED },
	{ CQ_SIM_KILL, OWNER, CQ_SIM_LOSS, ANY, STOPPING, NEW_OWNER },
	{ CQ_SIM_PAUSE, OWNER, CQ_SIM_LOST_ANSWERS, ANY, STOPPING, UNCHECKED },
};

static void run_case(const struct fault_case *c, uint64_t seed)
{
	struct cq_sim_world world = create(seed);
	struct cq_sim_node *before;
	uint32_t first, second = 0;
	bool ok = true;
	/* The fault lasts longer than any lease. */
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
	first = choose_node(&world, c->first_role);
	second = choose_node(&world, c->second_role);
	if (c->moment == STOPPING) {
		cq_sim_fault_begin(world.faults, CQ_SIM_PLANNED_STOP,
				   choose_node(&world, OWNER));
		/*
		 * The second fault begins between the steps of the hand-over.
		 */
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
	case UNCHECKED:
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
 * Guards against two owners at a time, a failed owner that is not replaced in
 * time, a healthy owner that is replaced, and a data centre without an owner
 * after the fault.
 */
static void test_faults(void)
{
	uint64_t seed;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(fault_cases); i++)
		for (seed = 1; seed <= 8; seed++)
			run_case(&fault_cases[i], seed);
}

/*
 * Guards against a planned stop in which the takeover waits for the lease to
 * expire.
 */
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
				   node_number(before));
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
 * Guards against a margin that does not cover clock drift: 500 ms in a lease of
 * 5 s must cover a clock that runs slow by 9 %.
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
		cq_sim_fault_begin(world.faults, CQ_SIM_CUT,
				   node_number(owner));
		cq_sim_world_run_ms(&world, 8000);
		cq_sim_world_clear(&world);
	}
}

/* Guards against an epoch that does not increase with each new owner. */
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
 * Guards against task starts more than 3 s after the store accepted the data
 * centre's state `out`, whatever else fails, and against permits that are not
 * granted again after the state is `in`.
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
			owner = choose_node(&world, OWNER);
			permits = cq_sim_faults_permits(world.faults);
			g_assert_cmpuint(permits, >, 0);
			/*
			 * The fault begins shortly before or after the state
			 * `out`.
			 */
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

/* Guards against reads of the store while no start permit is requested. */
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
	/* A data centre without settings gets no permit. */
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
