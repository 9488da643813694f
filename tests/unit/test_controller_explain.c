/* Tests of job explanations and of CPU throttling. */
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "../support/sim_jobs.h"

static const struct cq_sim_job busy = { "busy", 4, 8, 3600000, true, true };

static json_t *explain(struct cq_sim_jobs *jobs, const char *id)
{
	char *text = cq_controller_explain_job(
		cq_sim_jobs_controller(jobs, cq_sim_jobs_owner(jobs)), id,
		cq_sim_now_ns(cq_sim_jobs_sim(jobs)));
	json_t *json;

	g_assert_nonnull(text);
	json = json_loads(text, 0, NULL);
	free(text);
	g_assert_nonnull(json);
	return json;
}

static const char *text_of(const json_t *json, const char *name)
{
	const char *text = json_string_value(json_object_get(json, name));

	g_assert_nonnull(text);
	return text;
}

/*
 * Guards against explanations that lack a job's state, its gang state, the last
 * decision or the reason.
 */
static void test_reasons(void)
{
	static const struct cq_sim_worker_faults failing = { .fail_tasks =
								     true };
	static const struct {
		const char *name;
		const char *state;
		const char *gang;
		const char *decision; /* last decision */
		const char *reason;   /* text that the explanation contains */
		uint32_t tasks;
		bool full;  /* another job uses all workers */
		bool out;   /* the data centre is out of service */
		bool fails; /* tasks fail on every worker */
	} cases[] = {
		{ "runs", "running", "running", "start", "on idle capacity", 1,
		  false, false, false },
		{ "waits for room", "queued", "none", "wait",
		  "not enough free capacity", 1, true, false, false },
		{ "data centre out", "queued", "none", "wait",
		  "its data centre is out of service", 1, false, true, false },
		{ "never fits", "failed", "none", "reject",
		  "the fleet can never hold it", 5, false, false, false },
		{ "fails anywhere", "failed", "none", "reject",
		  "failed on several distinct workers", 1, false, false, true },
	};
	size_t i;
	uint32_t w;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_sim_job job = { "j1",	   cases[i].tasks, 8,
					  3600000, true,	   true };
		struct cq_sim_jobs_options options;
		struct cq_sim_jobs *jobs;
		const json_t *decisions;
		const json_t *last;
		json_t *json;

		g_test_message("%s", cases[i].name);
		cq_sim_jobs_options_init(&options);
		options.workers.count = 4;
		jobs = cq_sim_jobs_create(&options);
		for (w = 0; cases[i].fails && w < 4; w++)
			cq_sim_worker_set_faults(cq_sim_jobs_workers(jobs), w,
						 &failing);
		if (cases[i].full) {
			cq_sim_jobs_submit(jobs, &busy);
			g_assert_true(cq_sim_jobs_wait(
				jobs, "busy", CQ_PHASE_RUNNING, 10000));
		}
		cq_sim_jobs_run_ms(jobs, 3000);
		if (cases[i].out)
			cq_sim_jobs_set_in(jobs, false);
		cq_sim_jobs_run_ms(jobs, 1000);
		cq_sim_jobs_submit(jobs, &job);
		cq_sim_jobs_run_ms(jobs, 20000);
		json = explain(jobs, "j1");
		g_assert_cmpstr(text_of(json, "state"), ==, cases[i].state);
		g_assert_cmpstr(text_of(json, "gang"), ==, cases[i].gang);
		g_assert_nonnull(
			strstr(text_of(json, "explanation"), cases[i].reason));
		decisions = json_object_get(json, "decisions");
		last = json_array_get(decisions,
				      json_array_size(decisions) - 1);
		g_assert_cmpstr(text_of(last, "decision"), ==,
				cases[i].decision);
		g_assert_nonnull(
			strstr(text_of(last, "reason"), cases[i].reason));
		g_assert_cmpuint(
			json_array_size(json_object_get(json, "task_list")), ==,
			strcmp(cases[i].gang, "none") != 0);
		json_decref(json);
		cq_sim_jobs_destroy(jobs);
	}
}

/*
 * Guards against tasks that use the cores of other tasks without being
 * throttled, and against a throttle that outlasts the overuse.
 */
static void test_throttle(void)
{
	static const struct cq_sim_worker_faults greedy = { .use_pct = 300 };
	static const struct cq_sim_worker_faults none;
	static const struct cq_sim_job first = {
		"j1", 1, 1, 3600000, true, true
	};
	static const struct cq_sim_job second = { "j2",	   1,	 1,
						  3600000, true, true };
	struct cq_sim_jobs_options options;
	const struct cq_sim_workers_record *record;
	struct cq_sim_jobs *jobs;

	cq_sim_jobs_options_init(&options);
	options.workers.count = 1;
	/* Each of the two tasks declares 1000 millicores. */
	options.workers.millicores = 2500;
	jobs = cq_sim_jobs_create(&options);
	record = cq_sim_workers_record(cq_sim_jobs_workers(jobs));
	cq_sim_jobs_submit(jobs, &first);
	cq_sim_jobs_submit(jobs, &second);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	g_assert_true(cq_sim_jobs_wait(jobs, "j2", CQ_PHASE_RUNNING, 10000));
	cq_sim_jobs_run_ms(jobs, 5000);
	g_assert_cmpuint(record->last_throttle_pct, ==, 100);
	cq_sim_worker_set_faults(cq_sim_jobs_workers(jobs), 0, &greedy);
	cq_sim_jobs_run_ms(jobs, 10000);
	g_assert_cmpuint(record->last_throttle_pct, ==, 33);
	cq_sim_worker_set_faults(cq_sim_jobs_workers(jobs), 0, &none);
	cq_sim_jobs_run_ms(jobs, 10000);
	g_assert_cmpuint(record->last_throttle_pct, ==, 100);
	g_assert_cmpuint(cq_sim_workers_running(cq_sim_jobs_workers(jobs), ""),
			 ==, 2);
	cq_sim_jobs_destroy(jobs);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (getenv("CQ_TEST_LOG"))
		cq_log_open("test", "h", CQ_LOG_DEBUG, NULL);
	g_test_add_func("/controller_explain/reasons", test_reasons);
	g_test_add_func("/controller_explain/throttle", test_throttle);
	return g_test_run();
}
