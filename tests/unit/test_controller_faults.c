/*
 * The job controller with real gangs and planner in simulated time: every
 * fault at every step of a start, a checkpoint and a stop.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "../support/sim_jobs.h"

#define FINISH_LIMIT_MS 300000

#define WORKERS 6
/* With one sync a second the interval of WORKERS grows by this. */
#define EXTRA_MS ((WORKERS - 1) * 1000 * 8 / 7 + 1)

static struct cq_sim_jobs *create(uint32_t max_syncs_per_s,
				  struct cq_metrics *metrics)
{
	struct cq_sim_jobs_options options;

	cq_sim_jobs_options_init(&options);
	options.hosts = 3;
	options.workers.count = WORKERS;
	options.controller.max_syncs_per_s = max_syncs_per_s;
	/* Below the longer interval, as with many workers. */
	if (max_syncs_per_s == 1)
		options.controller.held_lease_ms = 5000;
	options.controller.metrics = metrics;
	return cq_sim_jobs_create(&options);
}

enum fault {
	OWNER_DIES,
	OWNER_DIES_FOR_GOOD,
	OWNER_PAUSES,
	OWNER_PAUSES_SHORTLY,
	OWNER_FENCED,
	WORKER_DIES,
	WORKER_RESTARTS,
	WORKER_PAUSES,
	WORKER_PAUSES_LONG,
	WORKER_DEAF,
	WORKER_SILENT,
	WORKER_DOWN,
	ONE_ANSWER_LOST,
	ANSWERS_LOST,
	STORE_DOWN,
	STORE_LOSES_ANSWERS,
	OWNER_AND_WORKER_DIE,
	OWNER_DIES_TWICE,
	WORKER_THEN_OWNERS_DIE,
	FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
	[OWNER_DIES] = "owner dies and restarts",
	[OWNER_DIES_FOR_GOOD] = "owner dies for good",
	[OWNER_PAUSES] = "owner pauses past its lease",
	[OWNER_PAUSES_SHORTLY] = "owner pauses within its lease",
	[OWNER_FENCED] = "another owner acquires",
	[WORKER_DIES] = "worker dies for good",
	[WORKER_RESTARTS] = "worker restarts at once",
	[WORKER_PAUSES] = "worker pauses within the lease",
	[WORKER_PAUSES_LONG] = "worker pauses past the lease",
	[WORKER_DEAF] = "calls to the worker are lost",
	[WORKER_SILENT] = "answers of the worker are lost",
	[WORKER_DOWN] = "the worker refuses connections",
	[ONE_ANSWER_LOST] = "one answer is lost",
	[ANSWERS_LOST] = "half of all answers are lost",
	[STORE_DOWN] = "the store is down",
	[STORE_LOSES_ANSWERS] = "half of the store's answers are lost",
	[OWNER_AND_WORKER_DIE] = "owner and worker die",
	[OWNER_DIES_TWICE] = "owner and successor die",
	[WORKER_THEN_OWNERS_DIE] = "worker dies, then owner and successor",
};

/* When the fault strikes: the n-th command of a kind has been executed. */
struct moment {
	const char *verb;
	uint32_t number;
};

struct scenario {
	struct cq_sim_jobs *jobs;
	enum fault fault;
	struct moment moment;
	uint32_t seen;
	bool struck;
	int32_t owner;
	int32_t second;
	uint32_t worker;
	int64_t last_ns; /* when the last event of the scenario is due */
};

static void later(struct scenario *s, int64_t ms, cq_sim_fn *fn)
{
	struct cq_sim *sim = cq_sim_jobs_sim(s->jobs);

	int64_t at_ns = cq_sim_now_ns(sim) + ms * CQ_NS_PER_MS;

	s->last_ns = MAX(s->last_ns, at_ns);
	cq_sim_at(sim, at_ns, fn, s, NULL);
}

static void restart_owner(void *ctx)
{
	struct scenario *s = ctx;

	cq_sim_jobs_restart(s->jobs, s->owner);
}

static void resume_owner(void *ctx)
{
	struct scenario *s = ctx;

	cq_sim_jobs_resume(s->jobs, s->owner);
}

static void kill_successor(void *ctx)
{
	struct scenario *s = ctx;

	s->second = cq_sim_jobs_owner(s->jobs);
	if (s->second >= 0)
		cq_sim_jobs_kill(s->jobs, s->second);
}

static void kill_owner(void *ctx)
{
	struct scenario *s = ctx;

	s->owner = cq_sim_jobs_owner(s->jobs);
	if (s->owner >= 0)
		cq_sim_jobs_kill(s->jobs, s->owner);
}

static void restart_successor(void *ctx)
{
	struct scenario *s = ctx;

	if (s->second >= 0)
		cq_sim_jobs_restart(s->jobs, s->second);
}

static void heal_worker(void *ctx)
{
	static const struct cq_sim_worker_faults none;
	struct scenario *s = ctx;
	struct cq_sim_workers *workers = cq_sim_jobs_workers(s->jobs);

	cq_sim_worker_set_faults(workers, s->worker, &none);
	cq_sim_worker_resume(workers, s->worker);
	cq_sim_worker_start(workers, s->worker);
	cq_sim_workers_lose_answers(workers, 0);
}

static void heal_store(void *ctx)
{
	struct scenario *s = ctx;

	cq_sim_jobs_store_loses(s->jobs, 0);
	cq_sim_jobs_store_down(s->jobs, false);
}

static void strike_owner(struct scenario *s)
{
	switch (s->fault) {
	case OWNER_DIES:
		cq_sim_jobs_kill(s->jobs, s->owner);
		later(s, 3000, restart_owner);
		break;
	case OWNER_DIES_FOR_GOOD:
	case OWNER_AND_WORKER_DIE:
		cq_sim_jobs_kill(s->jobs, s->owner);
		break;
	case OWNER_DIES_TWICE:
		cq_sim_jobs_kill(s->jobs, s->owner);
		/* The successor has read the workers and is about to act. */
		later(s, 5300, kill_successor);
		later(s, 6000, restart_owner);
		later(s, 9000, restart_successor);
		break;
	case WORKER_THEN_OWNERS_DIE:
		/* Just before the owner takes the worker for lost. */
		later(s, 4500, kill_owner);
		later(s, 10500, kill_successor);
		later(s, 20000, restart_owner);
		later(s, 20000, restart_successor);
		break;
	case OWNER_PAUSES:
		cq_sim_jobs_pause(s->jobs, s->owner);
		later(s, 9000, resume_owner);
		break;
	case OWNER_PAUSES_SHORTLY:
		cq_sim_jobs_pause(s->jobs, s->owner);
		later(s, 3000, resume_owner);
		break;
	case OWNER_FENCED:
		cq_sim_jobs_fence(s->jobs);
		break;
	default:
		break;
	}
}

static void strike_worker(struct scenario *s)
{
	struct cq_sim_workers *workers = cq_sim_jobs_workers(s->jobs);
	struct cq_sim_worker_faults faults = {
		.deaf = s->fault == WORKER_DEAF,
		.silent = s->fault == WORKER_SILENT,
		.down = s->fault == WORKER_DOWN,
	};

	switch (s->fault) {
	case WORKER_DIES:
	case WORKER_THEN_OWNERS_DIE:
	case OWNER_AND_WORKER_DIE:
		cq_sim_worker_kill(workers, s->worker);
		break;
	case WORKER_RESTARTS:
		cq_sim_worker_kill(workers, s->worker);
		cq_sim_worker_start(workers, s->worker);
		break;
	case WORKER_PAUSES:
		cq_sim_worker_pause(workers, s->worker);
		later(s, 3000, heal_worker);
		break;
	case WORKER_PAUSES_LONG:
		cq_sim_worker_pause(workers, s->worker);
		later(s, 40000, heal_worker);
		break;
	case WORKER_DEAF:
	case WORKER_SILENT:
	case WORKER_DOWN:
		cq_sim_worker_set_faults(workers, s->worker, &faults);
		later(s, 20000, heal_worker);
		break;
	case ONE_ANSWER_LOST:
		cq_sim_workers_lose_next(workers, 1);
		break;
	case ANSWERS_LOST:
		cq_sim_workers_lose_answers(workers, 500);
		later(s, 20000, heal_worker);
		break;
	case STORE_LOSES_ANSWERS:
		cq_sim_jobs_store_loses(s->jobs, 500);
		later(s, 30000, heal_store);
		break;
	case STORE_DOWN:
		cq_sim_jobs_store_down(s->jobs, true);
		later(s, 60000, heal_store);
		break;
	default:
		break;
	}
}

static void strike(void *ctx)
{
	struct scenario *s = ctx;

	s->owner = cq_sim_jobs_owner(s->jobs);
	strike_owner(s);
	strike_worker(s);
}

static void on_command(void *ctx, const char *verb, uint32_t worker,
		       const char *task_id)
{
	struct scenario *s = ctx;

	(void)task_id;
	if (s->struck || strcmp(verb, s->moment.verb) != 0 ||
	    ++s->seen < s->moment.number)
		return;
	s->struck = true;
	s->worker = worker;
	/* Not within the call: the worker has executed the command. */
	later(s, 0, strike);
}

static void run_scenario(enum fault fault, struct moment moment,
			 uint32_t max_syncs_per_s, int64_t extra_ms)
{
	struct scenario s = { .jobs = create(max_syncs_per_s, NULL),
			      .fault = fault,
			      .moment = moment,
			      .second = -1 };

	g_test_message("%s after %s %u, %u syncs/s", fault_names[fault],
		       moment.verb, moment.number, max_syncs_per_s);
	cq_sim_workers_on_command(cq_sim_jobs_workers(s.jobs), on_command, &s);
	cq_sim_jobs_submit(s.jobs, &cq_sim_gang_of_four);
	if (moment.verb[0] == 'c' || !strcmp(moment.verb, "stop")) {
		cq_sim_jobs_wait(s.jobs, "j1", CQ_PHASE_RUNNING, 10000);
		cq_sim_jobs_run_ms(s.jobs, 3000);
		cq_sim_jobs_set_in(s.jobs, false);
		cq_sim_jobs_run_ms(s.jobs, 3000);
		cq_sim_jobs_set_in(s.jobs, true);
	}
	if (!cq_sim_jobs_wait(s.jobs, "j1", CQ_PHASE_FINISHED,
			      FINISH_LIMIT_MS)) {
		struct cq_job_record record;

		/* It may have moved to the other centre. */
		g_assert_true(cq_sim_jobs_read(s.jobs, CQ_SIM_JOBS_OTHER_DC,
					       "j1", &record));
		g_assert_cmpuint(
			cq_sim_workers_live(cq_sim_jobs_workers(s.jobs)), ==,
			0);
	}
	g_assert_true(s.struck);
	/* Its events refer to the scenario. */
	cq_sim_run_until(cq_sim_jobs_sim(s.jobs), s.last_ns);
	cq_sim_jobs_check(s.jobs, extra_ms);
	cq_sim_jobs_destroy(s.jobs);
}

/*
 * Guards against a gang that runs in part, twice or never after a fault at any
 * step of its start, its checkpoint or its stop.
 */
static void test_fault_table(void)
{
	static const struct moment moments[] = {
		{ "start", 1 },	     { "start", 3 },	  { "start", 4 },
		{ "throttle", 1 },   { "throttle", 2 },	  { "throttle", 4 },
		{ "checkpoint", 1 }, { "checkpoint", 4 }, { "stop", 1 },
		{ "stop", 4 },
	};
	size_t i;
	int fault;

	for (fault = 0; fault < FAULT_COUNT; fault++)
		for (i = 0; i < G_N_ELEMENTS(moments); i++) {
			run_scenario((enum fault)fault, moments[i], 100, 0);
			run_scenario((enum fault)fault, moments[i], 1,
				     EXTRA_MS);
		}
}

/* Guards against a gang in part that a caretaker keeps alive. */
static void test_caretaker_leaves_parts(void)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	struct scenario s = { .fault = OWNER_DIES_FOR_GOOD,
			      .moment = { "throttle", 2 } };

	cq_sim_jobs_options_init(&options);
	/* One release after the other, so that some are missing. */
	options.controller.max_commands = 1;
	jobs = cq_sim_jobs_create(&options);
	s.jobs = jobs;
	cq_sim_workers_on_command(cq_sim_jobs_workers(jobs), on_command, &s);
	cq_sim_jobs_submit(jobs, &cq_sim_gang_of_four);
	while (!s.struck)
		cq_sim_jobs_run_ms(jobs, CQ_SIM_JOBS_STEP_MS);
	cq_sim_jobs_run_ms(jobs, CQ_SIM_JOBS_STEP_MS);
	g_assert_cmpuint(cq_sim_jobs_record(jobs)->releases, ==, 2);
	cq_sim_jobs_store_down(jobs, true);
	cq_controller_set_renewal_epoch(
		cq_sim_jobs_controller(jobs, 1 - s.owner), 1,
		cq_sim_now_ns(cq_sim_jobs_sim(jobs)));
	cq_sim_jobs_run_ms(jobs, 60000);
	cq_sim_jobs_check(jobs, 0);
	cq_sim_jobs_destroy(jobs);
}

/*
 * Guards against syncs that grow with the number of workers, and against a
 * worker that is found lost late, or falsely, at the longer interval.
 */
static void test_sync_rate(void)
{
	static const struct cq_sim_job long_job = { "j1",    4,	   8,
						    1200000, true, false };
	/* One a second in the mean; no interval is below 5.2 s of 6 s. */
	enum { QUIET_S = 300, MOST_SYNCS = QUIET_S * 6 / 5 };
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_sim_jobs *jobs = create(1, metrics);
	struct cq_counter *syncs =
		cq_metrics_counter(metrics, "cq_jobs_worker_syncs_total", "");
	struct cq_counter *lost =
		cq_metrics_counter(metrics, "cq_jobs_workers_lost_total", "");
	struct cq_sim_workers *workers = cq_sim_jobs_workers(jobs);
	struct cq_job_record record;
	uint64_t before;
	uint32_t i;

	cq_sim_jobs_submit(jobs, &long_job);
	g_assert_true(cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
	cq_sim_jobs_run_ms(jobs, 20000);
	before = cq_counter_get(syncs);
	cq_sim_jobs_run_ms(jobs, QUIET_S * 1000);
	g_assert_cmpuint(cq_counter_get(syncs) - before, <=, MOST_SYNCS);
	g_assert_cmpuint(cq_sim_workers_running(workers, "j1"), ==, 4);
	g_assert_cmpuint(cq_counter_get(lost), ==, 0);
	/* The interval is longer by EXTRA_MS, and so is the search. */
	for (i = 0; i < WORKERS; i++)
		cq_sim_worker_kill(workers, i);
	cq_sim_jobs_run_ms(jobs, 5000 + EXTRA_MS + 200);
	g_assert_cmpuint(cq_counter_get(lost), ==, WORKERS);
	g_assert_true(cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record));
	g_assert_cmpuint(record.attempt, ==, 1);
	cq_sim_jobs_destroy(jobs);
	cq_metrics_destroy(metrics);
}

/*
 * Guards against workers that are taken for lost because the host list became
 * shorter, and with it the interval by which contact is judged.
 */
static void test_list_shrinks(void)
{
	static const struct cq_sim_job long_job = { "j1",    4,	   8,
						    1200000, true, false };
	static const struct cq_controller_host left[] = {
		{ "w0", "worker:0", "r0" },
	};
	int64_t phase_ms;

	/* Some worker has not answered for more than 5 s in some phase. */
	for (phase_ms = 0; phase_ms < 6000; phase_ms += 100) {
		struct cq_metrics *metrics = cq_metrics_create();
		struct cq_sim_jobs *jobs = create(1, metrics);
		struct cq_counter *lost = cq_metrics_counter(
			metrics, "cq_jobs_workers_lost_total", "");
		struct cq_job_record record;

		cq_sim_jobs_submit(jobs, &long_job);
		g_assert_true(
			cq_sim_jobs_wait(jobs, "j1", CQ_PHASE_RUNNING, 10000));
		cq_sim_jobs_run_ms(jobs, 20000 + phase_ms);
		cq_controller_set_hosts(
			cq_sim_jobs_controller(jobs, cq_sim_jobs_owner(jobs)),
			left, 1, cq_sim_now_ns(cq_sim_jobs_sim(jobs)));
		cq_sim_jobs_run_ms(jobs, 30000);
		g_assert_cmpuint(cq_counter_get(lost), ==, 0);
		cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record);
		g_assert_cmpint(record.phase, ==, CQ_PHASE_RUNNING);
		g_assert_cmpuint(record.attempt, ==, 1);
		g_assert_cmpuint(
			cq_sim_workers_running(cq_sim_jobs_workers(jobs), "j1"),
			==, 4);
		cq_sim_jobs_destroy(jobs);
		cq_metrics_destroy(metrics);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (getenv("CQ_TEST_LOG"))
		cq_log_open("test", "h", CQ_LOG_DEBUG, NULL);
	g_test_add_func("/controller_faults/table", test_fault_table);
	g_test_add_func("/controller_faults/caretaker_leaves_parts",
			test_caretaker_leaves_parts);
	g_test_add_func("/controller_faults/sync_rate", test_sync_rate);
	g_test_add_func("/controller_faults/list_shrinks", test_list_shrinks);
	return g_test_run();
}
