/* Tests of the job controller under waves of submissions and cancellations. */
#include <glib.h>
#include <stdlib.h>

#include "chestnutquay/log.h"
#include "../support/sim_wave.h"

#define WAVE_JOBS 10000
#define WORKERS 40
#define END_TIMEOUT_MS 900000

enum fault {
	NONE,
	STORE_SLOW,
	STORE_LOSES_ANSWERS,
	STORE_DOWN,
	OWNER_DIES,
};

struct scenario {
	const char *name;
	enum fault fault;
	int64_t submit_ms; /* 0: all at once */
	int64_t cancel_ms;
};

static void inject_fault(struct cq_sim_jobs *jobs, enum fault fault)
{
	struct cq_sim_store_faults faults =
		cq_sim_store_faults(cq_sim_jobs_store(jobs));

	switch (fault) {
	case NONE:
		break;
	case STORE_SLOW:
		faults.min_delay_ns = 100 * CQ_NS_PER_MS;
		faults.max_delay_ns = 300 * CQ_NS_PER_MS;
		cq_sim_store_set_faults(cq_sim_jobs_store(jobs), &faults);
		break;
	case STORE_LOSES_ANSWERS:
		cq_sim_jobs_store_loses(jobs, 300);
		break;
	case STORE_DOWN:
		cq_sim_jobs_store_down(jobs, true);
		cq_sim_jobs_run_ms(jobs, 20000);
		cq_sim_jobs_store_down(jobs, false);
		break;
	case OWNER_DIES:
		cq_sim_jobs_kill(jobs, cq_sim_jobs_owner(jobs));
		break;
	}
}

static void check(struct cq_sim_jobs *jobs, struct cq_sim_wave *wave,
		  const struct cq_controller_options *options)
{
	const struct cq_sim_wave_record *record = cq_sim_wave_record(wave);

	/* Every job has a record, and every record reached its end once. */
	g_assert_cmpuint(record->submitted, ==, WAVE_JOBS);
	g_assert_cmpuint(record->finished + record->failed + record->cancelled,
			 ==, WAVE_JOBS);
	g_assert_cmpuint(record->failed, ==, 0);
	g_assert_cmpuint(record->finished, >, 0);
	g_assert_cmpuint(record->removed, ==, 0);
	g_assert_cmpuint(record->changed_after, ==, 0);
	g_assert_cmpuint(cq_sim_workers_live(cq_sim_jobs_workers(jobs)), ==, 0);
	cq_sim_jobs_check(jobs, 0);
	/*
	 * Besides record writes there may be a watch or list of records, a list
	 * of offers and a write of an offer.
	 */
	g_assert_cmpuint(record->most_store_calls, <=, options->max_writes + 3);
	g_assert_cmpuint(record->most_commands, <=, options->max_commands);
	/*
	 * Besides the records applied from watches, each answer to a write in a
	 * tick carries a record.
	 */
	g_assert_cmpuint(record->most_records, <=,
			 options->max_records_per_tick +
				 2 * options->max_writes);
}

/*
 * Guards against ticks whose work grows with the size of a wave, which would
 * delay lease renewals, and against jobs that are lost, end twice or stay
 * incomplete.
 */
static void test_waves(void)
{
	static const struct scenario scenarios[] = {
		{ "healthy, in a burst", NONE, 0, 1000 },
		{ "healthy, cancelled at once", NONE, 1000, 0 },
		{ "slow store", STORE_SLOW, 0, 1000 },
		{ "store loses answers", STORE_LOSES_ANSWERS, 0, 1000 },
		{ "store goes down", STORE_DOWN, 0, 1000 },
		{ "owner dies", OWNER_DIES, 0, 1000 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		const struct scenario *s = &scenarios[i];
		struct cq_metrics *metrics = cq_metrics_create();
		struct cq_sim_jobs_options options;
		struct cq_sim_jobs *jobs;
		struct cq_sim_wave *wave;

		g_test_message("%s", s->name);
		cq_sim_jobs_options_init(&options);
		options.workers.count = WORKERS;
		options.controller.metrics = metrics;
		jobs = cq_sim_jobs_create(&options);
		wave = cq_sim_wave_create(jobs, metrics);
		cq_sim_jobs_run_ms(jobs, 3000);
		cq_sim_wave_submit(wave, WAVE_JOBS, s->submit_ms);
		inject_fault(jobs, s->fault);
		cq_sim_jobs_run_ms(jobs, 8000);
		cq_sim_wave_cancel(wave, s->cancel_ms);
		if (s->fault == OWNER_DIES)
			inject_fault(jobs, s->fault);
		cq_sim_jobs_restart(jobs, 0);
		cq_sim_jobs_restart(jobs, 1);
		g_assert_true(cq_sim_wave_wait(wave, END_TIMEOUT_MS));
		/* Time for the last stop commands to be executed. */
		cq_sim_jobs_run_ms(jobs, 20000);
		check(jobs, wave, &options.controller);
		cq_sim_wave_destroy(wave);
		cq_sim_jobs_destroy(jobs);
		cq_metrics_destroy(metrics);
	}
}

/* Guards against a wave of cancellations that delays all other jobs. */
static void test_job_after_cancellations(void)
{
	static const struct cq_sim_job after = { "after", 1,	8,
						 1000,	  true, false };
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	struct cq_sim_wave *wave;
	struct cq_job_record record;

	cq_sim_jobs_options_init(&options);
	options.hosts = 1;
	options.workers.count = WORKERS;
	options.controller.metrics = metrics;
	jobs = cq_sim_jobs_create(&options);
	wave = cq_sim_wave_create(jobs, metrics);
	cq_sim_wave_submit(wave, WAVE_JOBS, 0);
	cq_sim_jobs_run_ms(jobs, 20000);
	g_assert_cmpuint(cq_sim_workers_running(cq_sim_jobs_workers(jobs), ""),
			 >=, WORKERS);
	cq_sim_wave_cancel(wave, 0);
	cq_sim_jobs_submit(jobs, &after);
	g_assert_true(
		cq_sim_jobs_wait(jobs, "after", CQ_PHASE_FINISHED, 60000));
	cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "after", &record);
	g_assert_cmpuint(record.attempt, ==, 1);
	g_assert_true(cq_sim_wave_wait(wave, 60000));
	cq_sim_wave_destroy(wave);
	cq_sim_jobs_destroy(jobs);
	cq_metrics_destroy(metrics);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (getenv("CQ_TEST_LOG"))
		cq_log_open("test", "h", CQ_LOG_DEBUG, NULL);
	g_test_add_func("/controller_waves/waves", test_waves);
	g_test_add_func("/controller_waves/next_job",
			test_job_after_cancellations);
	return g_test_run();
}
