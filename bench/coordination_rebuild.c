/*
 * Rebuilding of an owner's state at the target size: 957 workers and 3,800
 * running tasks. The controller, its gangs and its planner are the real ones;
 * the worker protocol and the store are simulated, with 0.2 to 3.2 ms one way
 * to a worker and 0.5 to 2 ms one way to the store.
 *
 * The baseline is the simplest way: the same reports, read from one worker
 * after the other.
 */
#include "coordination_bench.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../tests/support/sim_jobs.h"
#include "chestnutquay/metrics.h"

#define WORKERS 957
#define TASKS 3800
#define GANG 4
#define RUNS 5
/* Workers that do not answer the new owner, in the second case. */
#define DEAD 10
/* A start of urgent work is due in this time. */
#define URGENT_START_MS 3500.0

struct chain {
	const struct cq_worker *worker;
	uint32_t next;
	uint32_t tasks;
};

static double processor_ms(void);
static double now_ms(struct cq_sim_jobs *jobs);
static void start_load(struct cq_sim_jobs *jobs);
static void sync_next(struct chain *chain);
static void on_report(void *ctx, enum cq_worker_answer answer,
		      const struct cq_worker_report *report);
static double one_after_the_other(struct cq_sim_jobs *jobs);
struct times;
static void measure(uint64_t seed, uint32_t dead, struct times *times);

static double processor_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double now_ms(struct cq_sim_jobs *jobs)
{
	return (double)cq_sim_now_ns(cq_sim_jobs_sim(jobs)) / CQ_NS_PER_MS;
}

/* Gangs of four tasks with two accelerators each, until all run. */
static void start_load(struct cq_sim_jobs *jobs)
{
	struct cq_sim_job job = { .tasks = GANG,
				  .accelerators = 2,
				  .expected_ms = 36000000 };
	uint32_t i;

	for (i = 0; i < TASKS / GANG; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "j%u", i);
		job.id = id;
		cq_sim_jobs_submit(jobs, &job);
	}
	for (i = 0; i < 600; i++) {
		if (cq_sim_workers_running(cq_sim_jobs_workers(jobs), "") ==
		    TASKS)
			return;
		cq_sim_jobs_run_ms(jobs, 100);
	}
	g_error("only %u of %u tasks run after 60 s",
		cq_sim_workers_running(cq_sim_jobs_workers(jobs), ""), TASKS);
}

static void sync_next(struct chain *chain)
{
	struct cq_worker_sync sync = { .epoch = 1, .lease_ms = 10000 };
	char address[32];

	g_snprintf(address, sizeof(address), "worker:%u", chain->next);
	chain->worker->ops->sync(chain->worker->self, address, &sync, 800,
				 on_report, chain);
}

static void on_report(void *ctx, enum cq_worker_answer answer,
		      const struct cq_worker_report *report)
{
	struct chain *chain = ctx;

	if (answer != CQ_WORKER_ANSWER_OK)
		g_error("worker %u did not answer", chain->next);
	chain->tasks += report->task_count;
	if (++chain->next < WORKERS)
		sync_next(chain);
}

static double one_after_the_other(struct cq_sim_jobs *jobs)
{
	struct chain chain = { 0 };
	double from_ms = now_ms(jobs);
	int32_t host = cq_sim_host_add(cq_sim_jobs_sim(jobs));

	cq_sim_host_start(cq_sim_jobs_sim(jobs), host, "reader", 1, NULL, NULL);
	chain.worker = cq_sim_workers_client(cq_sim_jobs_workers(jobs), host);
	sync_next(&chain);
	while (chain.next < WORKERS)
		cq_sim_jobs_run_ms(jobs, 1);
	if (chain.tasks < TASKS)
		g_error("%u tasks reported", chain.tasks);
	return now_ms(jobs) - from_ms;
}

struct times {
	GArray *settled; /* all workers and the store have answered */
	GArray *planned;
	GArray *chained;
	GArray *processor;
};

/* Counted from the acquisition of the ownership by the next owner. */
static void measure(uint64_t seed, uint32_t dead, struct times *times)
{
	struct cq_sim_jobs_options options;
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_counter *plans =
		cq_metrics_counter(metrics, "cq_jobs_plans_total", "");
	struct cq_controller *next;
	struct cq_sim_jobs *jobs;
	double from_ms, value, cpu_ms;
	uint64_t before;
	int32_t owner;
	uint32_t i;

	cq_sim_jobs_options_init(&options);
	options.seed = seed;
	options.workers.count = WORKERS;
	options.controller.metrics = metrics;
	jobs = cq_sim_jobs_create(&options);
	start_load(jobs);
	cq_sim_jobs_run_ms(jobs, 2000 + 17 * (int64_t)seed);
	if (!dead) {
		value = one_after_the_other(jobs);
		g_array_append_val(times->chained, value);
	}
	owner = cq_sim_jobs_owner(jobs);
	cq_sim_jobs_kill(jobs, owner);
	for (i = 0; i < dead; i++)
		cq_sim_worker_kill(cq_sim_jobs_workers(jobs), i);
	while (cq_sim_jobs_owner(jobs) < 0 || cq_sim_jobs_owner(jobs) == owner)
		cq_sim_jobs_run_ms(jobs, 1);
	next = cq_sim_jobs_controller(jobs, cq_sim_jobs_owner(jobs));
	from_ms = now_ms(jobs);
	cpu_ms = processor_ms();
	before = cq_counter_get(plans);
	while (!dead && !cq_controller_settled(next))
		cq_sim_jobs_run_ms(jobs, 1);
	value = now_ms(jobs) - from_ms;
	g_array_append_val(times->settled, value);
	while (cq_counter_get(plans) == before)
		cq_sim_jobs_run_ms(jobs, 1);
	value = now_ms(jobs) - from_ms;
	g_array_append_val(times->planned, value);
	value = processor_ms() - cpu_ms;
	g_array_append_val(times->processor, value);
	/* Rebuilding must not have cost a task. */
	cq_sim_jobs_run_ms(jobs, 30000);
	if (!dead &&
	    cq_sim_workers_running(cq_sim_jobs_workers(jobs), "") != TASKS)
		g_error("tasks were lost");
	cq_sim_jobs_destroy(jobs);
	cq_metrics_destroy(metrics);
}

void coordination_bench_rebuild(void)
{
	struct times all = { 0 }, some = { 0 };
	struct times *both[] = { &all, &some };
	uint64_t seed;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(both); i++) {
		both[i]->settled = g_array_new(FALSE, FALSE, sizeof(double));
		both[i]->planned = g_array_new(FALSE, FALSE, sizeof(double));
		both[i]->chained = g_array_new(FALSE, FALSE, sizeof(double));
		both[i]->processor = g_array_new(FALSE, FALSE, sizeof(double));
		for (seed = 1; seed <= RUNS; seed++)
			measure(seed, i * DEAD, both[i]);
	}
	coordination_print_line("rebuild_state_read_p50", "ms",
				coordination_percentile(all.settled, 50),
				coordination_percentile(all.chained, 50), NAN);
	coordination_print_line("rebuild_first_plan_p50", "ms",
				coordination_percentile(all.planned, 50),
				coordination_percentile(all.chained, 50), NAN);
	coordination_print_line("rebuild_first_plan_max", "ms",
				coordination_percentile(all.planned, 100),
				coordination_percentile(all.chained, 100),
				URGENT_START_MS);
	coordination_print_line("rebuild_first_plan_10_workers_dead_max", "ms",
				coordination_percentile(some.planned, 100), NAN,
				URGENT_START_MS);
	/* With the simulated workers and store, so an upper bound. */
	coordination_print_line("rebuild_processor_max", "ms",
				coordination_percentile(all.processor, 100),
				NAN, NAN);
	for (i = 0; i < G_N_ELEMENTS(both); i++) {
		g_array_free(both[i]->settled, TRUE);
		g_array_free(both[i]->planned, TRUE);
		g_array_free(both[i]->chained, TRUE);
		g_array_free(both[i]->processor, TRUE);
	}
}
