#include <glib.h>
#include <string.h>

#include "../support/fleet_builder.h"
#include "chestnutquay/clock.h"

#define GIB (UINT64_C(1) << 30)
#define NONE CQ_FLEET_NONE

static const struct cq_placement placement = { .worker = 1 };

static const struct action_case {
	struct cq_action action;
	int64_t in_s; /* time until the deadline */
	const char *prefix;
} action_cases[] = {
	{ { .kind = CQ_ACTION_START,
	    .reason = CQ_REASON_BORROWED,
	    .placements = &placement,
	    .placement_count = 1 },
	  0,
	  "job j0 starts 1 tasks, the first on worker w1: " },
	{ { .kind = CQ_ACTION_CHECKPOINT,
	    .reason = CQ_REASON_MOVED,
	    .for_job = 1,
	    .lost_accelerator_ms = 2500 },
	  30,
	  "job j0 is checkpointed, then stopped (in 30 s): " },
	{ { .kind = CQ_ACTION_STOP,
	    .reason = CQ_REASON_DC_OUT,
	    .for_job = NONE },
	  0,
	  "job j0 is stopped (in 0 s): " },
	{ { .kind = CQ_ACTION_THROTTLE,
	    .reason = CQ_REASON_CPU_OVERRUN,
	    .worker = 1,
	    .percent = 80 },
	  0,
	  "a task of job j0 on worker w1 is throttled to 80 %: " },
	{ { .kind = CQ_ACTION_REJECT, .reason = CQ_REASON_FAILS_ANYWHERE },
	  0,
	  "job j0 is rejected: " },
	{ { .kind = CQ_ACTION_QUARANTINE,
	    .reason = CQ_REASON_WORKER_FAILS_JOBS,
	    .worker = 1 },
	  0,
	  "worker w1 receives no more starts: " },
	{ { .kind = CQ_ACTION_PROBE,
	    .reason = CQ_REASON_PROBE_DUE,
	    .worker = 1 },
	  0,
	  "worker w1 is probed: " },
};

/* Text that follows the reason, for each of action_cases. */
static const char *const action_suffixes[] = {
	"",
	", for job j1; about 2 accelerator-seconds are lost",
	"; about 0 accelerator-seconds are lost",
	"",
	"",
	"",
	"",
};

static struct fleet_builder *create_fleet(void)
{
	struct fleet_builder *fleet =
		fleet_builder_create(1, 2, 2, 8, 64000, 256 * GIB);
	uint32_t class_index = fleet_add_class(fleet, "batch", false);
	uint32_t workspace = fleet_add_workspace(fleet, "a");

	fleet->now_ns = 1000 * CQ_NS_PER_S;
	fleet_add_guarantee(fleet, workspace, 2, 8, CQ_ADJACENT_WORKER);
	fleet_add_job(fleet, workspace, class_index, 1, 1);
	fleet_add_job(fleet, workspace, class_index, 1, 1);
	return fleet;
}

/* Guards against an explanation with the wrong job, worker, time or loss. */
static void test_actions(void)
{
	struct fleet_builder *fleet = create_fleet();
	struct cq_snapshot snapshot = fleet_snapshot(fleet);
	char text[512];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(action_cases); i++) {
		struct cq_action action = action_cases[i].action;
		int length;

		action.deadline_ns =
			fleet->now_ns + action_cases[i].in_s * CQ_NS_PER_S;
		length = cq_plan_explain_action(&snapshot, &action, text,
						sizeof(text));
		g_assert_cmpint(length, ==, (int)strlen(text));
		g_assert_true(g_str_has_prefix(text, action_cases[i].prefix));
		g_assert_true(g_str_has_suffix(text, action_suffixes[i]));
		/* The reason is between the prefix and the suffix. */
		g_assert_cmpuint(strlen(text), >,
				 strlen(action_cases[i].prefix) +
					 strlen(action_suffixes[i]));
	}
	fleet_builder_destroy(fleet);
}

/*
 * Guards against wrong figures in the explanation of a wait, a rejection or a
 * shortfall.
 */
static void test_figures(void)
{
	struct fleet_builder *fleet = create_fleet();
	struct cq_snapshot snapshot = fleet_snapshot(fleet);
	struct cq_wait wait = { 1, CQ_REASON_WAIT_TURN, CQ_FLEET_UNKNOWN_NS,
				CQ_FLEET_UNKNOWN_NS };
	struct cq_shortfall shortfall = { 0, 1, 8 };
	struct cq_action action = {
		.kind = CQ_ACTION_REJECT,
		.reason = CQ_REASON_NEVER_FITS,
		.resource = CQ_RESOURCE_ACCELERATORS,
		.requested = 9,
		.largest = 8,
	};
	char text[512];

	cq_plan_explain_wait(&snapshot, &wait, text, sizeof(text));
	g_assert_cmpstr(text, ==,
			"job j1 waits: too many jobs are ahead of it");
	wait.expected_start_ns = fleet->now_ns + 5 * CQ_NS_PER_S / 2;
	wait.expected_end_ns = fleet->now_ns + 10 * CQ_NS_PER_S;
	cq_plan_explain_wait(&snapshot, &wait, text, sizeof(text));
	g_assert_cmpstr(text, ==,
			"job j1 waits: too many jobs are ahead of it; it may "
			"start in 3 s and end in 10 s");
	cq_plan_explain_action(&snapshot, &action, text, sizeof(text));
	g_assert_true(g_str_has_suffix(text,
				       "; it requests 9 accelerators per task, "
				       "and the most that fits is 8"));
	cq_plan_explain_shortfall(&snapshot, &shortfall, text, sizeof(text));
	g_assert_cmpstr(text, ==,
			"the guarantee of workspace a of 2 x 8 accelerators in "
			"one worker is short by 1 shapes (8 accelerators)");
	fleet_builder_destroy(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/planner/text/actions", test_actions);
	g_test_add_func("/planner/text/figures", test_figures);
	return g_test_run();
}
