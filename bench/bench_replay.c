/*
 * Replays job traces of both deployments in virtual time and compares the
 * default placement policy of stages with three baseline policies and an upper
 * bound.
 *
 * usage: bench_replay [table [DEPLOYMENT LOAD]]
 *
 * Prints one JSON object per line, or Markdown tables with "table". DEPLOYMENT
 * and LOAD are indexes that select a single table.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../tests/support/replay.h"
#include "../tests/support/replay_bound.h"
#include "../tests/support/replay_policies.h"

#define SEEDS 10
#define BAR_CELLS 40

static const struct cq_stage_policy *const policies[] = {
	&cq_stage_policy_default,
	&replay_first_come,
	&replay_earliest_deadline,
	&replay_credit_density,
};
#define POLICIES (sizeof(policies) / sizeof(policies[0]))

static const struct replay_deployment *const deployments[] = { &replay_garba,
							       &replay_tapa };

/* Totals over all seeds of one load; worth and thrown_away_core_s are means. */
struct policy_totals {
	struct replay_result result;
	double worth;
};

static void add_share(struct replay_share *sum, const struct replay_share *one)
{
	sum->offered += one->offered;
	sum->earned += one->earned;
}

static void add_result(struct policy_totals *row,
		       const struct replay_result *one)
{
	int i;

	row->worth += replay_worth(one) / SEEDS;
	add_share(&row->result.all, &one->all);
	add_share(&row->result.largest, &one->largest);
	for (i = 0; i < REPLAY_CLASSES; i++)
		add_share(&row->result.classes[i], &one->classes[i]);
	for (i = 0; i < REPLAY_WORKSPACES; i++)
		add_share(&row->result.workspaces[i], &one->workspaces[i]);
	for (i = 0; i < REPLAY_MAX_DATA_CENTRES; i++)
		add_share(&row->result.data_centres[i], &one->data_centres[i]);
	row->result.wasted_core_s += one->wasted_core_s / SEEDS;
	row->result.preempted_tasks += one->preempted_tasks;
	row->result.unfinished += one->unfinished;
	row->result.guarantee_misses += one->guarantee_misses;
}

static double earned_share(const struct replay_share *s)
{
	return s->offered > 0 ? s->earned / s->offered : 1;
}

static double lowest_share(const struct replay_share *shares, int count)
{
	double lowest = 1;
	int i;

	for (i = 0; i < count; i++)
		lowest = earned_share(&shares[i]) < lowest
				 ? earned_share(&shares[i])
				 : lowest;
	return lowest;
}

static void print_bar(double value)
{
	int i;

	for (i = 0; i < (int)(value * BAR_CELLS + 0.5); i++)
		putchar('#');
}

static void print_row(const char *policy, const struct policy_totals *row)
{
	const struct replay_result *r = &row->result;

	printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f | "
	       "%u | `",
	       policy, row->worth, earned_share(&r->classes[1]),
	       earned_share(&r->classes[0]), earned_share(&r->classes[2]),
	       earned_share(&r->largest),
	       lowest_share(r->workspaces, REPLAY_WORKSPACES),
	       lowest_share(r->data_centres, REPLAY_MAX_DATA_CENTRES),
	       r->wasted_core_s, r->guarantee_misses);
	print_bar(row->worth);
	printf("` |\n");
}

static void print_json(const struct replay_deployment *deployment,
		       const struct replay_load *load, const char *policy,
		       double worth)
{
	printf("{\"bench\":\"replay\",\"metric\":\"worth.%s.%s.%s\",\"unit\":"
	       "\"share\",\"value\":%.4f,\"baseline\":null,\"target\":null,"
	       "\"better\":\"higher\"}\n",
	       deployment->name, load->name, policy, worth);
}

static double mean_bound(const struct replay_deployment *deployment,
			 const struct replay_load *load)
{
	double sum = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		sum += replay_bound(deployment, load, seed);
	return sum / SEEDS;
}

static void replay_policies(const struct replay_deployment *deployment,
			    const struct replay_load *load, bool table)
{
	double bound = mean_bound(deployment, load);
	size_t i;

	if (table) {
		printf("\n%s, %s (upper bound %.3f)\n\n", deployment->name,
		       load->name, bound);
		printf("| Policy | worth | urgent | middle | bulk | largest "
		       "tenth | worst workspace | worst data centre | "
		       "core-seconds thrown away | guarantee misses | worth |\n"
		       "|---|---|---|---|---|---|---|---|---|---|---|\n");
	} else {
		print_json(deployment, load, "bound", bound);
	}
	for (i = 0; i < POLICIES; i++) {
		struct policy_totals row = { 0 };
		uint64_t seed;

		for (seed = 1; seed <= SEEDS; seed++) {
			struct replay_result one;

			replay_run(deployment, load, seed, policies[i], &one);
			add_result(&row, &one);
		}
		if (table)
			print_row(policies[i]->name, &row);
		else
			print_json(deployment, load, policies[i]->name,
				   row.worth);
	}
	fflush(stdout);
}

int main(int argc, char **argv)
{
	bool table = argc > 1 && !strcmp(argv[1], "table");
	size_t d, l;

	for (d = 0; d < sizeof(deployments) / sizeof(deployments[0]); d++)
		for (l = 0; l < replay_load_count; l++)
			if (argc < 4 || (d == strtoul(argv[2], NULL, 10) &&
					 l == strtoul(argv[3], NULL, 10)))
				replay_policies(deployments[d],
						&replay_loads[l], table);
	return 0;
}
