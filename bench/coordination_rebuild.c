/*
 * Measures how long a new owner takes to rebuild its state at the target size
 * of 957 workers and 3,800 running tasks. The controller, gangs and planner are
 * the production code. The worker protocol and the store are simulated, with
 * 0.2 to 3.2 ms one way to a worker and 0.5 to 2 ms one way to the store.
 *
 * The baseline reads the same reports sequentially, one worker at a time.
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
/* Dead workers in the second case; they do not answer the new owner. */
#define DEAD_WORKERS 10
/* Urgent work must start within this time. */
#define URGENT_START_MS 3500.0

/* Progress of reading the reports of all workers sequentially. */
struct sequential_read {
	const struct cq_worker *worker;
	uint32_t next;
	uint32_t tasks;
};

static double process_cpu_ms(void);
static double now_ms(struct cq_sim_jobs *jobs);
static void start_load(struct cq_sim_jobs *jobs);
static void read_next(struct sequential_read *reader);
static void on_report(void *ctx, enum cq_worker_answer answer,
		      const struct cq_worker_report *report);
static double read_sequentially(struct cq_sim_jobs *jobs);
struct rebuild_times;
static void measure_rebuild(uint64_t seed, uint32_t dead,
			    struct rebuild_times *times);

static double process_cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double now_ms(struct cq_sim_jobs *jobs)
{
	return (double)cq_sim_now_ns(cq_sim_jobs_sim(jobs)) / CQ_NS_PER_MS;
}

/* Submits gangs of four tasks with two accelerators each; waits for all. */
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

static void read_next(struct sequential_read *reader)
{
	struct cq_worker_sync sync = { .epoch = 1, .lease_ms = 10000 };
	char address[32];

	g_snprintf(address, sizeof(address), "worker:%u", reader->next);
	reader->worker->ops->sync(reader->worker->self, address, &sync, 800,
				  on_report, reader);
}

static void on_report(void *ctx, enum cq_worker_answer answer,
		      const struct cq_worker_report *report)
{
	struct sequential_read *reader = ctx;

	if (answer != CQ_WORKER_ANSWER_OK)
		g_error("worker %u did not answer", reader->next);
	reader->tasks += report->task_count;
	if (++reader->next < WORKERS)
		read_next(reader);
}

static double read_sequentially(struct cq_sim_jobs *jobs)
{
	struct sequential_read reader = { 0 };
	double from_ms = now_ms(jobs);
	int32_t host = cq_sim_host_add(cq_sim_jobs_sim(jobs));

	cq_sim_host_start(cq_sim_jobs_sim(jobs), host, "reader", 1, NULL, NULL);
	reader.worker = cq_sim_workers_client(cq_sim_jobs_workers(jobs), host);
	read_next(&reader);
	while (reader.next < WORKERS)
		cq_sim_jobs_run_ms(jobs, 1);
	if (reader.tasks < TASKS)
		g_error("only %u tasks were reported", reader.tasks);
	return now_ms(jobs) - from_ms;
}

/* Durations in ms, one per seed. */
struct rebuild_times {
	GArray *settled;    /* until all workers and the store have answered */
	GArray *planned;    /* until the first plan */
	GArray *sequential; /* sequential read, the baseline */
	GArray *processor;  /* processor time until the first plan */
};

/* Measures from the moment when the next owner has acquired ownership. */
static void measure_rebuild(uint64_t seed, uint32_t dead,
			    struct rebuild_times *times)
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
		value = read_sequentially(jobs);
		g_array_append_val(times->sequential, value);
	}
	owner = cq_sim_jobs_owner(jobs);
	cq_sim_jobs_kill(jobs, owner);
	for (i = 0; i < dead; i++)
		cq_sim_worker_kill(cq_sim_jobs_workers(jobs), i);
	while (cq_sim_jobs_owner(jobs) < 0 || cq_sim_jobs_owner(jobs) == owner)
		cq_sim_jobs_run_ms(jobs, 1);
	next = cq_sim_jobs_controller(jobs, cq_sim_jobs_owner(jobs));
	from_ms = now_ms(jobs);
	cpu_ms = process_cpu_ms();
	before = cq_counter_get(plans);
	while (!dead && !cq_controller_settled(next))
		cq_sim_jobs_run_ms(jobs, 1);
	value = now_ms(jobs) - from_ms;
	g_array_append_val(times->settled, value);
	while (cq_counter_get(plans) == before)
		cq_sim_jobs_run_ms(jobs, 1);
	value = now_ms(jobs) - from_ms;
	g_array_append_val(times->planned, value);
	value = process_cpu_ms() - cpu_ms;
	g_array_append_val(times->processor, value);
	/* No task may be lost by rebuilding. */
	cq_sim_jobs_run_ms(jobs, 30000);
	if (!dead &&
	    cq_sim_workers_running(cq_sim_jobs_workers(jobs), "") != TASKS)
		g_error("tasks were lost during the rebuild");
	cq_sim_jobs_destroy(jobs);
	cq_metrics_destroy(metrics);
}

void coordination_bench_rebuild(void)
{
	struct rebuild_times all = { 0 }, some = { 0 };
	struct rebuild_times *both[] = { &all, &some };
	uint64_t seed;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(both); i++) {
		both[i]->settled = g_array_new(FALSE, FALSE, sizeof(double));
		both[i]->planned = g_array_new(FALSE, FALSE, sizeof(double));
		both[i]->sequential = g_array_new(FALSE, FALSE, sizeof(double));
		both[i]->processor = g_array_new(FALSE, FALSE, sizeof(double));
		for (seed = 1; seed <= RUNS; seed++)
			measure_rebuild(seed, i * DEAD_WORKERS, both[i]);
	}
	coordination_print_line("rebuild_state_read_p50", "ms",
				coordination_percentile(all.settled, 50),
				coordination_percentile(all.sequential, 50),
				NAN);
	coordination_print_line("rebuild_first_plan_p50", "ms",
				coordination_percentile(all.planned, 50),
				coordination_percentile(all.sequential, 50),
				NAN);
	coordination_print_line("rebuild_first_plan_max", "ms",
				coordination_percentile(all.planned, 100),
				coordination_percentile(all.sequential, 100),
				URGENT_START_MS);
	coordination_print_line("rebuild_first_plan_10_workers_dead_max", "ms",
				coordination_percentile(some.planned, 100), NAN,
				URGENT_START_MS);
	/* An upper bound: it includes the simulated workers and store. */
	coordination_print_line("rebuild_processor_max", "ms",
				coordination_percentile(all.processor, 100),
				NAN, NAN);
	for (i = 0; i < G_N_ELEMENTS(both); i++) {
		g_array_free(both[i]->settled, TRUE);
		g_array_free(both[i]->planned, TRUE);
		g_array_free(both[i]->sequential, TRUE);
		g_array_free(both[i]->processor, TRUE);
	}
}
