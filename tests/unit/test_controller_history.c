/* The run-time history in the store, over faults and a takeover. */
#include <glib.h>
#include <string.h>

#include "../support/sim_jobs.h"
#include "chestnutquay/run_history.h"

#define KEY "history/" CQ_SIM_JOBS_DC
#define INTERVAL_MS 10000

enum fault {
	NONE,
	OTHER_WRITER, /* a late write by an earlier owner */
	FAULTY_VALUE,
	ANSWERS_LOST,
	STORE_DOWN,
	OWNER_PAUSED, /* past its lease; another one takes over */
	FAULTS,
};

struct ends {
	uint32_t ours, other;
};

static void count_end(void *ctx, const char *workspace, const char *class_name,
		      const struct cq_ended_run *end)
{
	struct ends *ends = ctx;

	(void)class_name;
	if (!strcmp(workspace, "ws")) {
		ends->ours++;
		/* Jobs of 2 s that start and stop within a sync each. */
		g_assert_cmpint(end->run_ms, >=, 2000);
		g_assert_cmpint(end->run_ms, <, 6000);
		g_assert_cmpint(end->declared_ms, ==, 2000);
	} else {
		ends->other++;
	}
}

static struct ends stored_ends(struct cq_sim_jobs *jobs)
{
	const char *text =
		cq_sim_store_read(cq_sim_jobs_store(jobs), KEY, NULL);
	struct cq_run_history *history = cq_run_history_create();
	struct ends ends = { 0, 0 };

	if (text)
		g_assert_true(cq_run_history_merge(history, text, strlen(text),
						   count_end, &ends, NULL, NULL,
						   NULL));
	cq_run_history_destroy(history);
	return ends;
}

static void count_write(void *ctx, const char *key, const char *value,
			int64_t revision)
{
	uint32_t *writes = ctx;

	(void)value;
	(void)revision;
	*writes += !strcmp(key, KEY);
}

static void run_job(struct cq_sim_jobs *jobs, const char *id)
{
	struct cq_sim_job job = { id, 1, 8, 2000, false, true };

	cq_sim_jobs_submit(jobs, &job);
	g_assert_true(cq_sim_jobs_wait(jobs, id, CQ_PHASE_FINISHED, 60000));
}

static void strike(struct cq_sim_jobs *jobs, enum fault fault, bool begin)
{
	static const char foreign[] =
		"{\"writer\":\"x\",\"sequence\":1,\"runs\":[[\"other\",\"top\","
		"[[1,-1,7000]]]]}";

	if (begin && (fault == OTHER_WRITER || fault == FAULTY_VALUE))
		cq_sim_store_write(cq_sim_jobs_store(jobs), KEY,
				   fault == OTHER_WRITER ? foreign : "{",
				   CQ_STORE_ANY_REVISION);
	if (fault == ANSWERS_LOST)
		cq_sim_jobs_store_loses(jobs, begin ? 1000 : 0);
	if (fault == STORE_DOWN)
		cq_sim_jobs_store_down(jobs, begin);
	if (fault == OWNER_PAUSED && begin)
		cq_sim_jobs_pause(jobs, cq_sim_jobs_owner(jobs));
	if (fault == OWNER_PAUSED && !begin) {
		cq_sim_jobs_resume(jobs, 0);
		cq_sim_jobs_resume(jobs, 1);
	}
}

/*
 * Guards against run times that the next owner does not have, that a conflict
 * or a lost answer removes, and that are written too often.
 */
static void test_takeover(void)
{
	enum fault fault;

	for (fault = NONE; fault < FAULTS; fault++) {
		struct cq_sim_jobs_options options;
		struct cq_sim_jobs *jobs;
		uint32_t writes = 0;
		struct ends ends;
		int32_t owner;

		g_test_message("fault %d", fault);
		cq_sim_jobs_options_init(&options);
		options.controller.history_interval_ns =
			INTERVAL_MS * CQ_NS_PER_MS;
		jobs = cq_sim_jobs_create(&options);
		cq_sim_store_on_change(cq_sim_jobs_store(jobs), count_write,
				       &writes);
		run_job(jobs, "j1");
		run_job(jobs, "j2");
		run_job(jobs, "j3");
		strike(jobs, fault, true);
		cq_sim_jobs_run_ms(jobs, 2 * INTERVAL_MS);
		strike(jobs, fault, false);
		cq_sim_jobs_run_ms(jobs, 3 * INTERVAL_MS);
		ends = stored_ends(jobs);
		/* A paused owner's own ends are lost with its lease. */
		if (fault != OWNER_PAUSED)
			g_assert_cmpuint(ends.ours, ==, 3);
		owner = cq_sim_jobs_owner(jobs);
		cq_sim_jobs_kill(jobs, owner);
		run_job(jobs, "j4");
		g_assert_cmpint(cq_sim_jobs_owner(jobs), !=, owner);
		cq_sim_jobs_run_ms(jobs, 3 * INTERVAL_MS);
		g_assert_cmpuint(stored_ends(jobs).ours, ==, ends.ours + 1);
		g_assert_cmpuint(stored_ends(jobs).other, ==,
				 fault == OTHER_WRITER);
		/* Nothing ends any more, so nothing is written. */
		g_assert_cmpuint(writes, >, 0);
		writes = 0;
		cq_sim_jobs_run_ms(jobs, 10 * INTERVAL_MS);
		g_assert_cmpuint(writes, ==, 0);
		cq_sim_jobs_destroy(jobs);
	}
}

/* Guards against a write for each job. */
static void test_rate(void)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	uint32_t writes = 0, i;
	int64_t began_ns;

	cq_sim_jobs_options_init(&options);
	options.controller.history_interval_ns = INTERVAL_MS * CQ_NS_PER_MS;
	jobs = cq_sim_jobs_create(&options);
	began_ns = cq_sim_now_ns(cq_sim_jobs_sim(jobs));
	cq_sim_store_on_change(cq_sim_jobs_store(jobs), count_write, &writes);
	for (i = 0; i < 20; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "j%u", i);
		run_job(jobs, id);
	}
	g_assert_cmpuint(writes, >, 0);
	g_assert_cmpint(writes, <=,
			(cq_sim_now_ns(cq_sim_jobs_sim(jobs)) - began_ns) /
				(INTERVAL_MS * CQ_NS_PER_MS));
	/* On a planned stop the rest is written at once. */
	writes = 0;
	run_job(jobs, "last");
	cq_controller_drain(
		cq_sim_jobs_controller(jobs, cq_sim_jobs_owner(jobs)));
	cq_sim_jobs_run_ms(jobs, 500);
	g_assert_cmpuint(stored_ends(jobs).ours, ==, CQ_RUN_HISTORY_MAX_RUNS);
	g_assert_cmpuint(writes, ==, 1);
	cq_sim_jobs_destroy(jobs);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller_history/takeover", test_takeover);
	g_test_add_func("/controller_history/rate", test_rate);
	return g_test_run();
}
