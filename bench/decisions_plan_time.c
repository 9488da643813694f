#include "decisions_plan_time.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "chestnutquay/clock.h"
#include "decisions_workload.h"
#include "state/planner_internal.h"

#define GB (UINT64_C(1) << 30)
#define WORKSPACES 20
#define RACK_SIZE 40
#define TASKS_PER_WORKER 4
#define RUN_S 3600

#define ENDS_PER_1000_TASKS 3

/* A simulated fleet under constant load. */
struct plan_bench {
	struct fleet_builder *fleet;
	struct cq_planner *planner;
	struct random_source random;
};

static double wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static uint32_t add_random_job(struct plan_bench *bench, uint32_t accelerators)
{
	struct fleet_builder *fleet = bench->fleet;
	uint32_t index =
		fleet_add_job(fleet, random_below(&bench->random, WORKSPACES),
			      random_below(&bench->random, 3), 1, accelerators);
	struct cq_fleet_job *job = fleet_job(fleet, index);

	job->declared_run_ns =
		(int64_t)(random_lognormal(&bench->random, RUN_S, 1) *
			  (double)CQ_NS_PER_S);
	job->can_checkpoint = true;
	job->checkpoint_cost_ns = 10 * CQ_NS_PER_S;
	job->restart_cost_ns = 20 * CQ_NS_PER_S;
	return index;
}

static void start_task(struct plan_bench *bench, uint32_t job, uint32_t worker,
		       uint64_t mask, uint64_t cell, uint32_t rank)
{
	struct cq_fleet_task task = {
		.job = job,
		.rank = rank,
		.worker = worker,
		.accelerator_mask = mask,
		.cell = cell,
		.throttle_percent = 100,
	};

	fleet_job(bench->fleet, job)->state = CQ_JOB_RUNNING;
	fleet_job(bench->fleet, job)->started_ns = bench->fleet->now_ns;
	g_array_append_val(bench->fleet->tasks, task);
}

/* Fills each worker with four tasks of two accelerators; other jobs wait. */
static void fill_fleet(struct plan_bench *bench, uint32_t workers)
{
	static const char *const names[] = { "c0", "c1", "c2" };
	static const uint32_t sizes[] = { 1, 1, 1, 2, 2, 2, 4, 4 };
	struct cq_fleet_job *gang;
	char name[16];
	uint32_t i;

	bench->fleet = fleet_builder_create(MAX(workers / 1000, 3U), workers,
					    RACK_SIZE, 8, 64000, 256 * GB);
	bench->fleet->now_ns = 3600 * CQ_NS_PER_S;
	for (i = 0; i < 3; i++)
		fleet_add_class(bench->fleet, names[i], i == 0);
	for (i = 0; i < WORKSPACES; i++) {
		g_snprintf(name, sizeof(name), "ws%u", i);
		fleet_add_workspace(bench->fleet,
				    g_string_chunk_insert(bench->fleet->names,
							  name));
		fleet_add_guarantee(bench->fleet, i,
				    workers / (WORKSPACES * 3) + 1, 8,
				    CQ_ADJACENT_WORKER);
		fleet_add_guarantee(bench->fleet, i,
				    workers / (WORKSPACES * 8) + 1, 2,
				    CQ_ADJACENT_WORKER);
	}
	bench->planner = cq_planner_create();
	for (i = 0; i < workers * TASKS_PER_WORKER; i++)
		start_task(bench, add_random_job(bench, 2),
			   i / TASKS_PER_WORKER,
			   UINT64_C(3) << (i % TASKS_PER_WORKER * 2), 0, 0);
	for (i = 0; i < workers - workers / 8; i++) {
		gang = fleet_job(
			bench->fleet,
			add_random_job(
				bench,
				sizes[random_below(&bench->random,
						   G_N_ELEMENTS(sizes))]));
		if (random_below(&bench->random, 50) == 0)
			gang->tasks = 16;
	}
}

/* Ends some random jobs and submits each again, to keep the load constant. */
static void resubmit_some(struct plan_bench *bench)
{
	struct fleet_builder *fleet = bench->fleet;
	uint32_t ends = MAX(fleet->tasks->len * ENDS_PER_1000_TASKS / 1000, 1U);
	uint32_t i;

	while (ends-- > 0 && fleet->tasks->len > 0) {
		uint32_t job = g_array_index(fleet->tasks, struct cq_fleet_task,
					     random_below(&bench->random,
							  fleet->tasks->len))
				       .job;

		fleet_job(fleet, job)->state = CQ_JOB_WAITING;
		fleet_job(fleet, job)->submitted_ns = fleet->now_ns;
		fleet_job(fleet, job)->stop_requested_ns = 0;
		fleet_job(fleet, job)->stop_for = CQ_FLEET_NONE;
		for (i = fleet->tasks->len; i-- > 0;)
			if (g_array_index(fleet->tasks, struct cq_fleet_task, i)
				    .job == job)
				g_array_remove_index_fast(fleet->tasks, i);
	}
}

static void apply_plan(struct plan_bench *bench, const struct cq_plan *plan)
{
	struct fleet_builder *fleet = bench->fleet;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < plan->action_count; i++) {
		const struct cq_action *action = &plan->actions[i];
		struct cq_fleet_job *job;

		if (action->job == CQ_FLEET_NONE)
			continue;
		job = fleet_job(fleet, action->job);
		if (action->kind == CQ_ACTION_CHECKPOINT) {
			job->stop_requested_ns = fleet->now_ns;
			job->stop_deadline_ns = action->deadline_ns;
			job->stop_reason = action->reason;
			job->stop_for = action->for_job;
		}
		if (action->kind == CQ_ACTION_STOP) {
			job->state = CQ_JOB_WAITING;
			job->stop_requested_ns = 0;
			job->stop_for = CQ_FLEET_NONE;
			for (k = fleet->tasks->len; k-- > 0;)
				if (g_array_index(fleet->tasks,
						  struct cq_fleet_task, k)
					    .job == action->job)
					g_array_remove_index_fast(fleet->tasks,
								  k);
		}
		for (k = 0; k < action->placement_count; k++)
			start_task(bench, action->job,
				   action->placements[k].worker,
				   action->placements[k].accelerator_mask,
				   action->placements[k].cell, k);
	}
}

/* Returns the time of one plan in ms. */
static double run_round(struct plan_bench *bench)
{
	struct cq_snapshot snapshot;
	struct cq_plan *plan;
	double began_ms;
	double took_ms;

	bench->fleet->now_ns += CQ_NS_PER_S;
	resubmit_some(bench);
	snapshot = fleet_snapshot(bench->fleet);
	began_ms = wall_ms();
	plan = sim_plan_with_planner(bench->planner, &snapshot);
	took_ms = wall_ms() - began_ms;
	apply_plan(bench, plan);
	cq_plan_destroy(plan);
	return took_ms;
}

static uint32_t count_waiting(const struct plan_bench *bench)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < bench->fleet->jobs->len; i++)
		count += fleet_job(bench->fleet, i)->state == CQ_JOB_WAITING;
	return count;
}

struct plan_time measure_plan_time(uint32_t workers, uint32_t rounds,
				   uint64_t seed)
{
	struct plan_bench bench = { .random = { { seed } } };
	struct plan_time result = { 0 };
	double *times = g_new0(double, rounds);
	size_t before_bytes;
	uint32_t i;

	fill_fleet(&bench, workers);
	/* Warm-up: the first plans place all cells, which happens only once. */
	for (i = 0; i < 3; i++)
		run_round(&bench);
	for (i = 0; i < rounds; i++)
		times[i] = run_round(&bench);
	qsort(times, rounds, sizeof(*times), compare_doubles);
	result.p50_ms = times[rounds / 2];
	result.p99_ms = times[MIN((uint32_t)(rounds * 0.99), rounds - 1)];
	if (getenv("CQ_BENCH_VERBOSE"))
		fprintf(stderr, "%u workers: %u tasks, %u waiting jobs\n",
			workers, bench.fleet->tasks->len,
			count_waiting(&bench));
	before_bytes = mallinfo2().uordblks;
	cq_planner_destroy(bench.planner);
	result.retained_bytes_per_worker =
		(double)(before_bytes - mallinfo2().uordblks) / workers;
	result.scratch_bytes_per_worker = sizeof(struct cq_plan_worker) +
					  sizeof(struct cq_candidate) +
					  sizeof(uint32_t);
	result.scratch_bytes_per_task = sizeof(struct cq_plan_task);
	fleet_builder_destroy(bench.fleet);
	g_free(times);
	return result;
}
