/*
 * Every pair of the failures that docs/design.md names, on the real state
 * machines in simulated time: two data centres, and operators who race.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/sim_world.h"
#include "chestnutquay/settings_write.h"

/* Stated bound on settings in force after the end of the faults (I9). */
#define CONVERGE_MS 17000
/* Each fault lasts longer than a lease; the second begins 2 s later. */
#define FAULT_MS 9000
#define LAG_MS 2000
#define OPERATORS 2

/* Operators who change one subtree at the same time, from hosts of their own.
 */
#define RACE CQ_SIM_NO_FAULT

static const enum cq_sim_fault_kind faults[] = {
	CQ_SIM_KILL_HOST,    CQ_SIM_KILL,
	CQ_SIM_STORE_DOWN,   CQ_SIM_STORE_HANG,
	CQ_SIM_STORE_SLOW,   CQ_SIM_LOST_ANSWERS,
	CQ_SIM_PAUSE,	     RACE,
	CQ_SIM_SILENT_LINK,  CQ_SIM_CUT_DC_STORE,
	CQ_SIM_CUT_DC_PEERS, CQ_SIM_CUT_DC,
	CQ_SIM_DEAF_DC,	     CQ_SIM_KILL_RACK,
	CQ_SIM_KILL_DC,
};

/* Whom the second fault hits; the first one hits the owner of dc0. */
enum role { SAME, STANDBY, OTHER_DC, ROLES };

static const char *const role_names[] = { "the owner", "a standby",
					  "the other data centre" };

enum moment {
	STEADY,	  /* the owners hold their leases for some time */
	NO_OWNER, /* nobody has acquired one yet */
	OUT,	  /* dc0 is taken out while both faults last */
	STOPPING, /* the owner of dc0 has just begun a planned stop */
	MOMENTS,
};

static const char *const moment_names[] = { "steady", "no owner", "out",
					    "stopping" };

struct operator
{
	struct cq_settings_write *write;
	struct world *world;
	int64_t written; /* revision; 0: not written, or not known */
};

struct world {
	struct cq_sim_world sim;
	int32_t hosts[OPERATORS];
	struct operator operators[OPERATORS];
	uint64_t sequence;
	int64_t newest; /* that must come into force everywhere */
};

static int64_t now_ns(struct world *world)
{
	return cq_sim_now_ns(cq_sim_cluster_sim(world->sim.cluster));
}

static void on_written(void *ctx, enum cq_settings_write_outcome outcome,
		       int64_t revision)
{
	struct operator* operator= ctx;

	operator->write = NULL;
	operator->written = outcome == CQ_SETTINGS_WRITTEN ? revision : 0;
	if (operator->written)
		operator->world->newest =
			MAX(operator->world->newest, revision);
}

/* Both operators saw the same revision and write at the same time. */
static void race(struct world *world)
{
	struct cq_sim *sim = cq_sim_cluster_sim(world->sim.cluster);
	int64_t revision;
	guint i;

	cq_sim_store_read(cq_sim_cluster_store(world->sim.cluster),
			  "settings/workspaces/a", &revision);
	world->sequence++;
	for (i = 0; i < OPERATORS; i++) {
		struct cq_settings_write_request request = {
			.key = "workspaces/a",
			.json = "{}",
			.writer = i ? "operator1" : "operator0",
			.sequence = world->sequence,
			.revision = revision,
			.deadline_ns = now_ns(world) + 5 * CQ_NS_PER_S,
		};

		world->operators[i].written = 0;
		world->operators[i].write = cq_settings_write_start(
			&request,
			cq_sim_store_client(
				cq_sim_cluster_store(world->sim.cluster),
				world->hosts[i]),
			cq_sim_host_clock(sim, world->hosts[i]),
			world->sequence + i, on_written, &world->operators[i]);
	}
}

static void run_ms(struct world *world, int64_t ms)
{
	guint i;

	for (; ms > 0; ms -= 100) {
		cq_sim_cluster_run_ms(world->sim.cluster, MIN(ms, 100));
		for (i = 0; i < OPERATORS; i++)
			if (world->operators[i].write)
				cq_settings_write_tick(
					world->operators[i].write,
					now_ns(world));
	}
	g_assert_false(world->operators[0].written &&
		       world->operators[1].written);
}

static void create(struct world *world, uint64_t seed)
{
	struct cq_sim_cluster_options options;
	guint i;

	memset(world, 0, sizeof(*world));
	cq_sim_cluster_options_init(&options);
	options.seed = seed;
	options.data_centres = 2;
	options.schedds = 3;
	options.entryds = 1;
	options.uneven_clocks = true;
	cq_sim_world_init(&world->sim, &options);
	for (i = 0; i < OPERATORS; i++) {
		struct cq_sim *sim = cq_sim_cluster_sim(world->sim.cluster);

		world->operators[i].world = world;
		world->hosts[i] = cq_sim_host_add(sim);
		cq_sim_host_start(sim, world->hosts[i], "operator", 1, NULL,
				  NULL);
	}
	cq_sim_faults_set_dc(world->sim.faults, 0, true);
	cq_sim_faults_set_dc(world->sim.faults, 1, true);
}

static void destroy(struct world *world)
{
	guint i;

	for (i = 0; i < OPERATORS; i++)
		cq_settings_write_cancel(world->operators[i].write);
	cq_sim_world_clear(&world->sim);
}

static void begin(struct world *world, enum cq_sim_fault_kind kind,
		  uint32_t node)
{
	if (kind == RACE)
		race(world);
	else
		cq_sim_fault_begin(world->sim.faults, kind, node);
}

/* A silent link stays so for good: recovery must not need it. */
static void end(struct world *world, enum cq_sim_fault_kind kind, uint32_t node)
{
	if (kind != RACE && kind != CQ_SIM_SILENT_LINK)
		cq_sim_fault_end(world->sim.faults, kind, node);
}

static void check_recovery(struct world *world)
{
	int64_t end_ns = now_ns(world) + CONVERGE_MS * CQ_NS_PER_MS;
	int64_t revision;

	/* A write whose answer was lost is in force as well. */
	cq_sim_store_read(cq_sim_cluster_store(world->sim.cluster),
			  "settings/workspaces/a", &revision);
	world->newest = MAX(world->newest, revision);
	g_assert_true(cq_sim_cluster_run_until(world->sim.cluster,
					       cq_sim_settings_converged,
					       &world->newest, CONVERGE_MS));
	g_assert_true(cq_sim_cluster_run_until(
		world->sim.cluster, cq_sim_all_owned, NULL,
		(end_ns - now_ns(world)) / CQ_NS_PER_MS));
	g_assert_true(cq_sim_cluster_run_until(
		world->sim.cluster, cq_sim_membership_converged, NULL,
		(end_ns - now_ns(world)) / CQ_NS_PER_MS));
	g_assert_cmpstr(cq_sim_faults_violation(world->sim.faults), ==, "");
}

static void run_pair(enum cq_sim_fault_kind first,
		     enum cq_sim_fault_kind second, enum role role,
		     enum moment moment, uint64_t seed)
{
	struct world world;
	uint32_t at, other;
	uint64_t permits;

	create(&world, seed);
	if (moment != NO_OWNER) {
		run_ms(&world, 6000 + (int64_t)(seed % 1000));
		g_assert_true(cq_sim_all_owned(world.sim.cluster, NULL));
	}
	at = cq_sim_world_owner(&world.sim, "dc0", 0);
	other = role == SAME	  ? at
		: role == STANDBY ? (at + 1) % 3
				  : cq_sim_world_owner(&world.sim, "dc1", 4);
	if (moment == STOPPING) {
		cq_sim_fault_begin(world.sim.faults, CQ_SIM_PLANNED_STOP, at);
		/* Between the steps of the hand-over. */
		run_ms(&world, (int64_t)(seed % 20));
	}
	begin(&world, first, at);
	run_ms(&world, LAG_MS);
	begin(&world, second, other);
	run_ms(&world, LAG_MS);
	if (moment == OUT)
		cq_sim_faults_set_dc(world.sim.faults, 0, false);
	run_ms(&world, FAULT_MS - 2 * LAG_MS);
	end(&world, first, at);
	run_ms(&world, LAG_MS);
	end(&world, second, other);
	if (moment == STOPPING)
		cq_sim_fault_end(world.sim.faults, CQ_SIM_PLANNED_STOP, at);
	check_recovery(&world);
	/* Starts are possible again, once the data centre is in. */
	permits = cq_sim_faults_permits(world.sim.faults);
	cq_sim_faults_set_dc(world.sim.faults, 0, true);
	run_ms(&world, 1000);
	g_assert_cmpuint(cq_sim_faults_permits(world.sim.faults), >, permits);
	g_assert_cmpstr(cq_sim_faults_violation(world.sim.faults), ==, "");
	destroy(&world);
}

/*
 * Guards, under each pair of failures, against two owners, a start more than
 * 3 s after `out`, an accepted setting that reverts or is not in force within
 * 17 s, and a deployment that does not recover.
 */
static void test_pairs(gconstpointer data)
{
	enum moment moment = GPOINTER_TO_UINT(data);
	enum role role;
	guint i, k;

	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		for (k = 0; k < G_N_ELEMENTS(faults); k++)
			for (role = SAME; role < ROLES; role++) {
				uint64_t seed =
					1 + moment +
					MOMENTS * (role + ROLES * (i + 15 * k));

				g_test_message("%s, then %s of %s; %s; seed %d",
					       cq_sim_fault_string(faults[i]),
					       cq_sim_fault_string(faults[k]),
					       role_names[role],
					       moment_names[moment], (int)seed);
				run_pair(faults[i], faults[k], role, moment,
					 seed);
			}
}

int main(int argc, char **argv)
{
	guint i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < MOMENTS; i++) {
		char *path =
			g_strdup_printf("/fault_pairs/%s", moment_names[i]);

		g_test_add_data_func(path, GUINT_TO_POINTER(i), test_pairs);
		g_free(path);
	}
	return g_test_run();
}
