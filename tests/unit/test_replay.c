/*
 * Replays all loads of both deployments (steady, overload, bursts of urgent
 * and of bulk jobs, a data centre taken out of service) through the stage
 * planner, and compares the default policy with baselines without preemption
 * and with an upper bound.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "tests/support/replay.h"
#include "tests/support/replay_bound.h"
#include "tests/support/replay_policies.h"

#define SEEDS 2

struct replay_case {
	const struct replay_deployment *deployment;
	const struct replay_load *load;
};

static double mean_worth(const struct replay_case *replay_case,
			 const struct cq_stage_policy *policy)
{
	double sum = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct replay_result result;

		replay_run(replay_case->deployment, replay_case->load, seed,
			   policy, &result);
		g_assert_cmpuint(result.unfinished, ==, 0);
		sum += replay_worth(&result);
	}
	return sum / SEEDS;
}

/*
 * Guards against urgent jobs that wait too long within the guarantee of their
 * workspace, jobs that never end, and a result above the upper bound.
 */
static void test_guarantees(gconstpointer data)
{
	const struct replay_case *replay_case = data;
	struct replay_result result;

	replay_run(replay_case->deployment, replay_case->load, 1,
		   &cq_stage_policy_default, &result);
	g_assert_cmpuint(result.guarantee_misses, ==, 0);
	g_assert_cmpuint(result.unfinished, ==, 0);
	g_assert_cmpfloat(replay_worth(&result), <=,
			  replay_bound(replay_case->deployment,
				       replay_case->load, 1) +
				  1e-9);
}

/* Guards against a default policy that earns no more than a baseline. */
static void test_against_baselines(gconstpointer data)
{
	const struct replay_case *replay_case = data;
	double own = mean_worth(replay_case, &cq_stage_policy_default);

	g_assert_cmpfloat(own, >, mean_worth(replay_case, &replay_first_come));
	g_assert_cmpfloat(own, >,
			  mean_worth(replay_case, &replay_earliest_deadline));
	g_assert_cmpfloat(own, >,
			  mean_worth(replay_case, &replay_credit_density));
}

/* Guards against replays that differ for the same seed. */
static void test_repeats(void)
{
	struct replay_result first, second;

	replay_run(&replay_garba, &replay_loads[0], 3, &cq_stage_policy_default,
		   &first);
	replay_run(&replay_garba, &replay_loads[0], 3, &cq_stage_policy_default,
		   &second);
	g_assert_cmpfloat(first.all.earned, ==, second.all.earned);
	g_assert_cmpuint(first.preempted_tasks, ==, second.preempted_tasks);
}

/*
 * Guards against an upper bound that is too low under a light load, where all
 * worth can be earned, or too loose under a flood of 12 times the capacity.
 */
static void test_bound(void)
{
	struct replay_load light = { .name = "light",
				     .share = 0.1,
				     .burst_class = -1 };
	struct replay_load flood = { .name = "flood",
				     .share = 12,
				     .burst_class = -1 };
	double most = replay_bound(&replay_garba, &flood, 1);

	g_assert_cmpfloat(replay_bound(&replay_garba, &light, 1), >, 0.999);
	g_assert_cmpfloat(most, <, 0.9);
	g_assert_cmpfloat(most, >, 0.05);
}

int main(int argc, char **argv)
{
	static const struct replay_deployment *const deployments[] = {
		&replay_garba, &replay_tapa
	};
	static struct replay_case cases[2][8];
	size_t d, l;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/replay/repeats", test_repeats);
	g_test_add_func("/replay/bound", test_bound);
	g_assert_cmpuint(replay_load_count, <=, G_N_ELEMENTS(cases[0]));
	for (d = 0; d < G_N_ELEMENTS(deployments); d++)
		for (l = 0; l < replay_load_count; l++) {
			struct replay_case *replay_case = &cases[d][l];
			char *name;

			replay_case->deployment = deployments[d];
			replay_case->load = &replay_loads[l];
			name = g_strdup_printf("/replay/guarantees/%s/%s",
					       replay_case->deployment->name,
					       replay_case->load->name);
			g_test_add_data_func(name, replay_case,
					     test_guarantees);
			g_free(name);
			name = g_strdup_printf(
				"/replay/against_baselines/%s/%s",
				replay_case->deployment->name,
				replay_case->load->name);
			g_test_add_data_func(name, replay_case,
					     test_against_baselines);
			g_free(name);
		}
	return g_test_run();
}
