/*
 * Measures the processor time per tick of an owner while 10,000 jobs are
 * submitted in a burst and while 10,000 are cancelled within a second. The
 * controller, gangs and planner are the production code; workers and store are
 * simulated. Callbacks between ticks are not measured, but those that receive
 * records only queue them for the tick.
 */
#include <stdio.h>
#include <stdlib.h>

#include "../tests/support/sim_wave.h"
#include "capacity.h"

#define WAVE_JOBS 10000
/* Workers of one data centre at the target size. */
#define WORKERS 957
#define CHECKS 100

static int compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static void report_percentile(const char *name, const GArray *sorted_ns,
			      const char *percentile, guint index)
{
	char metric[64];

	snprintf(metric, sizeof(metric), "wave_%s_tick_%s", name, percentile);
	capacity_report(metric, "ms",
			(double)g_array_index(sorted_ns, int64_t, index) / 1e6);
}

static void report(struct cq_sim_wave *wave, const char *name)
{
	GArray *times = cq_sim_wave_take_tick_ns(wave);

	qsort(times->data, times->len, sizeof(int64_t), compare);
	report_percentile(name, times, "p50", times->len / 2);
	report_percentile(name, times, "p99", times->len * 99 / 100);
	report_percentile(name, times, "longest", times->len - 1);
	g_array_free(times, TRUE);
}

/* Measures the check that the owner makes before it accepts a submission. */
static void measure_submission_check(struct cq_sim_jobs *jobs)
{
	int64_t now_ns = cq_sim_now_ns(cq_sim_jobs_sim(jobs));
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_job_record record;
	double cpu;
	int i;

	if (!cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "wave-0", &record))
		abort();
	cpu = capacity_cpu_us();
	for (i = 0; i < CHECKS; i++)
		if (!cq_controller_can_ever_run(cq_sim_jobs_controller(jobs, 0),
						&record, now_ns, &err))
			abort();
	capacity_report("wave_submission_check_cpu", "us",
			(capacity_cpu_us() - cpu) / CHECKS);
}

int main(void)
{
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	struct cq_sim_wave *wave;

	cq_sim_jobs_options_init(&options);
	options.hosts = 1;
	options.workers.count = WORKERS;
	options.controller.metrics = metrics;
	jobs = cq_sim_jobs_create(&options);
	wave = cq_sim_wave_create(jobs, metrics);
	cq_sim_jobs_run_ms(jobs, 5000);
	report(wave, "before");
	cq_sim_wave_submit(wave, WAVE_JOBS, 0);
	cq_sim_jobs_run_ms(jobs, 10000);
	report(wave, "submit");
	measure_submission_check(jobs);
	cq_sim_wave_cancel(wave, 1000);
	cq_sim_jobs_run_ms(jobs, 10000);
	report(wave, "cancel");
	capacity_report("wave_most_records_a_tick", "records",
			(double)cq_sim_wave_record(wave)->most_records);
	capacity_report("wave_most_store_calls_a_tick", "calls",
			(double)cq_sim_wave_record(wave)->most_store_calls);
	capacity_report("wave_most_commands_a_tick", "calls",
			(double)cq_sim_wave_record(wave)->most_commands);
	cq_sim_wave_destroy(wave);
	cq_sim_jobs_destroy(jobs);
	cq_metrics_destroy(metrics);
	return 0;
}
