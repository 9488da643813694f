/* The job controller with real gangs and planner in simulated time. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "../support/sim_jobs.h"

/* Guards against tasks that are started again after a takeover. */
static void test_adoption(void)
{
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 4);
	struct cq_job_record record;
	int32_t owner;

	cq_sim_jobs_submit(jobs, &cq_sim_gang_of_four);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	owner = cq_sim_jobs_owner(jobs);
	cq_sim_jobs_kill(jobs, owner);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FINISHED, 60000));
	g_assert_cmpint(cq_sim_jobs_owner(jobs), !=, owner);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 4);
	cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record);
	g_assert_cmpuint(record.attempt, ==, 1);
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

/*
 * Guards against tasks that end because nobody can renew the ownership lease
 * while the store is down.
 */
static void test_store_outage(void)
{
	static const struct cq_sim_job long_job = { "j1",    4,	   8,
						    1200000, true, false };
	static const struct cq_sim_job next_job = { "j2", 1,	8,
						    1000, true, false };
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 5);
	struct cq_job_record record;

	cq_sim_jobs_submit(jobs, &long_job);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	cq_sim_jobs_store_down(jobs, true);
	cq_sim_jobs_submit(jobs, &next_job);
	cq_sim_jobs_run_ms(jobs, 900000);
	g_assert_cmpuint(
		cq_sim_workers_running(cq_sim_jobs_workers(jobs), "j1"), ==, 4);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 4);
	cq_sim_jobs_store_down(jobs, false);
	g_assert_true(cq_sim_jobs_wait(jobs, "j2", CQ_PHASE_FINISHED, 30000));
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FINISHED, 600000));
	cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record);
	g_assert_cmpuint(record.attempt, ==, 1);
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

/*
 * Guards against losing running gangs when the owner dies while the store is
 * down: another schedd renews them with the last epoch and starts nothing.
 */
static void test_caretaker(void)
{
	static const struct cq_sim_job long_job = { "j1",   4,	  8,
						    600000, true, false };
	static const struct cq_sim_job waiting = {
		"j2", 1, 8, 1000, true, false
	};
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 5);
	int32_t owner;
	int32_t other;

	cq_sim_jobs_submit(jobs, &long_job);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	owner = cq_sim_jobs_owner(jobs);
	other = 1 - owner;
	cq_sim_jobs_store_down(jobs, true);
	cq_sim_jobs_submit(jobs, &waiting);
	cq_sim_jobs_kill(jobs, owner);
	cq_sim_jobs_run_ms(jobs, 8000);
	cq_controller_set_renewal_epoch(cq_sim_jobs_controller(jobs, other), 1,
					cq_sim_now_ns(cq_sim_jobs_sim(jobs)));
	cq_sim_jobs_run_ms(jobs, 300000);
	g_assert_cmpuint(
		cq_sim_workers_running(cq_sim_jobs_workers(jobs), "j1"), ==, 4);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 4);
	cq_sim_jobs_store_down(jobs, false);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FINISHED, 600000));
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 5);
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

/*
 * Guards against starts after the data centre was taken out, and against jobs
 * that stay there: they are checkpointed within the notice and move.
 */
static void test_data_centre_out(void)
{
	static const struct cq_sim_job waiting = {
		"j2", 4, 8, 5000, true, false
	};
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 4);
	struct cq_job_record record;
	int64_t out_ns;

	cq_sim_jobs_submit(jobs, &cq_sim_gang_of_four);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	cq_sim_jobs_submit(jobs, &waiting);
	cq_sim_jobs_run_ms(jobs, 3000);
	cq_sim_jobs_set_in(jobs, false);
	out_ns = cq_sim_jobs_out_ns(jobs);
	cq_sim_jobs_run_ms(jobs, 6000);
	g_assert_cmpuint(cq_sim_workers_live(cq_sim_jobs_workers(jobs)), ==, 0);
	cq_sim_jobs_run_ms(jobs, 20000);
	g_assert_cmpint(cq_sim_jobs_record(jobs)->last_start_ns - out_ns, <=,
			3 * CQ_NS_PER_S);
	g_assert_false(cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record));
	g_assert_true(
		cq_sim_jobs_read(jobs, CQ_SIM_JOBS_OTHER_DC, "j1", &record));
	g_assert_cmpint(record.phase, ==, CQ_PHASE_CHECKPOINTED);
	g_assert_cmpuint(record.restore_attempt, ==, 1);
	g_assert_cmpint(record.done_ms, >=, 2500);
	g_assert_cmpuint(record.moves, ==, 1);
	g_assert_true(
		cq_sim_jobs_read(jobs, CQ_SIM_JOBS_OTHER_DC, "j2", &record));
	g_assert_cmpint(record.phase, ==, CQ_PHASE_QUEUED);
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

/*
 * Guards against starts that only the settings would prevent: the settings do
 * not arrive, but without a fresh permit nothing is started.
 */
static void test_permit(void)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	uint32_t i;

	cq_sim_jobs_options_init(&options);
	options.workers.count = 20;
	options.settings_lag_ms = 3600000;
	jobs = cq_sim_jobs_create(&options);
	cq_sim_jobs_run_ms(jobs, 3000);
	cq_sim_jobs_set_in(jobs, false);
	for (i = 0; i < 20; i++) {
		struct cq_sim_job job = { NULL, 1, 8, 1000, true, false };
		char *id = g_strdup_printf("j%u", i);

		job.id = id;
		cq_sim_jobs_submit(jobs, &job);
		g_free(id);
		cq_sim_jobs_run_ms(jobs, 500);
	}
	cq_sim_jobs_run_ms(jobs, 60000);
	g_assert_cmpint(cq_sim_jobs_record(jobs)->last_start_ns -
				cq_sim_jobs_out_ns(jobs),
			<=, 3 * CQ_NS_PER_S);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, <, 20);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against a start that waits on its way and is executed much later. */
static void test_late_start(void)
{
	static const struct cq_sim_job job = { "j1", 4, 8, 1000, true, false };
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(1, 4);
	uint32_t i;

	cq_sim_jobs_run_ms(jobs, 3000);
	for (i = 0; i < 4; i++)
		cq_sim_worker_pause(cq_sim_jobs_workers(jobs), i);
	cq_sim_jobs_submit(jobs, &job);
	cq_sim_jobs_run_ms(jobs, 500);
	cq_sim_jobs_set_in(jobs, false);
	cq_sim_jobs_run_ms(jobs, 3000);
	for (i = 0; i < 4; i++)
		cq_sim_worker_resume(cq_sim_jobs_workers(jobs), i);
	cq_sim_jobs_run_ms(jobs, 10000);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->refused_stale, >=, 4);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 0);
	cq_sim_jobs_destroy(jobs);
}

static void pause_at_release(void *ctx, const char *verb, uint32_t worker,
			     const char *task_id)
{
	struct cq_sim_jobs *jobs = ctx;

	(void)worker;
	(void)task_id;
	if (!strcmp(verb, "throttle"))
		cq_sim_jobs_pause(jobs, 0);
}

/*
 * Guards against commands of an owner that was paused past its lease and that
 * no worker could refuse, because nobody else has acquired since.
 */
static void test_paused_owner_commands_nothing(void)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	uint32_t commands;

	cq_sim_jobs_options_init(&options);
	options.hosts = 1;
	/* One command after the other, so that there is a next one. */
	options.controller.max_commands = 1;
	jobs = cq_sim_jobs_create(&options);
	cq_sim_workers_on_command(cq_sim_jobs_workers(jobs), pause_at_release,
				  jobs);
	cq_sim_jobs_submit(jobs, &cq_sim_gang_of_four);
	cq_sim_jobs_run_ms(jobs, 10000);
	commands = cq_sim_jobs_record(jobs)->commands;
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->releases, ==, 1);
	cq_sim_workers_on_command(cq_sim_jobs_workers(jobs), NULL, NULL);
	cq_sim_jobs_resume(jobs, 0);
	cq_sim_jobs_run_ms(jobs, 50);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->commands, ==, commands);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FINISHED, 120000));
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against tasks that hold accelerators for a job that is gone. */
static void test_strays(void)
{
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(1, 4);
	char key[CQ_JOB_KEY_BYTES];

	cq_sim_jobs_submit(jobs, &cq_sim_gang_of_four);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	cq_job_key(CQ_SIM_JOBS_DC, "j1", key);
	cq_sim_store_write(cq_sim_jobs_store(jobs), key, NULL,
			   CQ_STORE_ANY_REVISION);
	/* Long before their leases lapse. */
	cq_sim_jobs_run_ms(jobs, 3000);
	g_assert_cmpuint(cq_sim_workers_live(cq_sim_jobs_workers(jobs)), ==, 0);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against a flood of starts when the data centre returns. */
static void test_refill(void)
{
	enum { JOBS = 200, MAX_REFILL_STARTS = 16 };
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(1, 25);
	struct cq_sim_job job = { NULL, 1, 1, 600000, true, false };
	uint32_t i;

	cq_sim_jobs_run_ms(jobs, 3000);
	cq_sim_jobs_set_in(jobs, false);
	cq_sim_jobs_run_ms(jobs, 3000);
	job.pinned = true;
	for (i = 0; i < JOBS; i++) {
		char *id = g_strdup_printf("j%u", i);

		job.id = id;
		cq_sim_jobs_submit(jobs, &job);
		g_free(id);
	}
	cq_sim_jobs_run_ms(jobs, 5000);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 0);
	cq_sim_jobs_set_in(jobs, true);
	cq_sim_jobs_run_ms(jobs, 60000);
	g_assert_cmpuint(cq_sim_workers_running(cq_sim_jobs_workers(jobs), ""),
			 ==, JOBS);
	/* Starts and releases of at most two plans fall into 100 ms. */
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->most_commands_per_100ms, <=,
			 4 * MAX_REFILL_STARTS);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against ended records that fill the store for ever. */
static void test_retention(void)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	struct cq_job_record record;
	static const struct cq_sim_job job = { "j1", 1, 8, 1000, true, false };

	cq_sim_jobs_options_init(&options);
	options.controller.retention_ms = 60000;
	jobs = cq_sim_jobs_create(&options);
	cq_sim_jobs_submit(jobs, &job);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FINISHED, 10000));
	cq_sim_jobs_run_ms(jobs, 55000);
	g_assert_true(cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record));
	cq_sim_jobs_run_ms(jobs, 10000);
	g_assert_false(cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record));
	cq_sim_jobs_destroy(jobs);
}

/* Guards against a job that a move loses or doubles when the owner dies. */
static void test_move_owner_dies(void)
{
	int64_t delay_ms;

	for (delay_ms = 0; delay_ms <= 200; delay_ms++) {
		struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 4);
		struct cq_job_record here;
		struct cq_job_record there;
		static const struct cq_sim_job job = { "j1", 4,	   8,
						       5000, true, false };

		cq_sim_jobs_run_ms(jobs, 3000);
		cq_sim_jobs_set_in(jobs, false);
		cq_sim_jobs_run_ms(jobs, 500);
		cq_sim_jobs_submit(jobs, &job);
		cq_sim_jobs_run_ms(jobs, delay_ms);
		cq_sim_jobs_kill(jobs, cq_sim_jobs_owner(jobs));
		cq_sim_jobs_run_ms(jobs, 20000);
		g_assert_false(
			cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &here));
		g_assert_true(cq_sim_jobs_read(jobs, CQ_SIM_JOBS_OTHER_DC, "j1",
					       &there));
		g_assert_cmpint(there.phase, ==, CQ_PHASE_QUEUED);
		cq_sim_jobs_destroy(jobs);
	}
}

/* Guards against a failing worker that takes every job down with it. */
static void test_failing_worker(void)
{
	static const struct cq_sim_worker_faults failing = { .fail_tasks =
								     true };
	static const struct cq_sim_worker_faults none;
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(1, 10);
	struct cq_sim_job job = { NULL, 1, 8, 1000, true, false };
	struct cq_job_record record;
	char *workers;
	uint32_t i;

	cq_sim_worker_set_faults(cq_sim_jobs_workers(jobs), 3, &failing);
	for (i = 0; i < 30; i++) {
		char *id = g_strdup_printf("j%u", i);

		job.id = id;
		cq_sim_jobs_submit(jobs, &job);
		g_free(id);
	}
	for (i = 0; i < 30; i++) {
		char *id = g_strdup_printf("j%u", i);

		g_assert_true(
			cq_sim_jobs_wait(jobs, id, CQ_PHASE_FINISHED, 120000));
		cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, id, &record);
		g_assert_cmpuint(record.attempt, <=, 2);
		g_free(id);
	}
	workers = cq_controller_list_workers(
		cq_sim_jobs_controller(jobs, 0),
		cq_sim_now_ns(cq_sim_jobs_sim(jobs)));
	g_assert_nonnull(strstr(workers, "\"state\":\"quarantined\""));
	free(workers);
	/* A probe finds it well again. */
	cq_sim_worker_set_faults(cq_sim_jobs_workers(jobs), 3, &none);
	cq_sim_jobs_run_ms(jobs, 130000);
	workers = cq_controller_list_workers(
		cq_sim_jobs_controller(jobs, 0),
		cq_sim_now_ns(cq_sim_jobs_sim(jobs)));
	g_assert_null(strstr(workers, "\"state\":\"quarantined\""));
	free(workers);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against a job that fails everywhere being started for ever. */
static void test_failing_job(void)
{
	static const struct cq_sim_worker_faults failing = { .fail_tasks =
								     true };
	static const struct cq_sim_job job = { "j1", 1, 8, 1000, true, false };
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 8);
	struct cq_job_record record;
	uint32_t i;

	for (i = 0; i < 8; i++)
		cq_sim_worker_set_faults(cq_sim_jobs_workers(jobs), i,
					 &failing);
	cq_sim_jobs_submit(jobs, &job);
	/* The count survives a takeover. */
	cq_sim_jobs_run_ms(jobs, 3000);
	cq_sim_jobs_kill(jobs, cq_sim_jobs_owner(jobs));
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FAILED, 60000));
	cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record);
	g_assert_cmpuint(record.failed_worker_count, ==, 3);
	g_assert_cmpuint(record.attempt, ==, 3);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against a job that can never run waiting for ever. */
static void test_never_fits(void)
{
	static const struct cq_sim_job job = { "j1", 5, 8, 1000, true, false };
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(1, 4);
	struct cq_job_record record;

	cq_sim_jobs_submit(jobs, &job);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_FAILED, 10000));
	cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record);
	g_assert_cmpstr(record.reason, !=, "");
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->starts, ==, 0);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against tasks on accelerators that another task already holds. */
static void test_no_overlap_after_takeover(void)
{
	struct cq_sim_jobs *jobs = cq_sim_jobs_create_sized(2, 4);
	static const struct cq_sim_job first = {
		"j1", 2, 8, 30000, true, false
	};
	static const struct cq_sim_job second = {
		"j2", 4, 8, 1000, true, false
	};
	struct cq_job_record record;

	cq_sim_jobs_submit(jobs, &first);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	cq_sim_jobs_kill(jobs, cq_sim_jobs_owner(jobs));
	cq_sim_jobs_submit(jobs, &second);
	cq_sim_jobs_run_ms(jobs, 15000);
	/* The second job has to wait for the workers of the first. */
	cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j2", &record);
	g_assert_cmpint(record.phase, ==, CQ_PHASE_QUEUED);
	g_assert_true(cq_sim_jobs_wait(jobs, "j2", CQ_PHASE_FINISHED, 60000));
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (getenv("CQ_TEST_LOG"))
		cq_log_open("test", "h", CQ_LOG_DEBUG, NULL);
	g_test_add_func("/controller/adoption", test_adoption);
	g_test_add_func("/controller/store_outage", test_store_outage);
	g_test_add_func("/controller/caretaker", test_caretaker);
	g_test_add_func("/controller/data_centre_out", test_data_centre_out);
	g_test_add_func("/controller/move_owner_dies", test_move_owner_dies);
	g_test_add_func("/controller/permit", test_permit);
	g_test_add_func("/controller/late_start", test_late_start);
	g_test_add_func("/controller/paused_owner_commands_nothing",
			test_paused_owner_commands_nothing);
	g_test_add_func("/controller/strays", test_strays);
	g_test_add_func("/controller/refill", test_refill);
	g_test_add_func("/controller/retention", test_retention);
	g_test_add_func("/controller/failing_worker", test_failing_worker);
	g_test_add_func("/controller/never_fits", test_never_fits);
	g_test_add_func("/controller/no_overlap_after_takeover",
			test_no_overlap_after_takeover);
	g_test_add_func("/controller/failing_job", test_failing_job);
	return g_test_run();
}
