/*
 * Tests of the job controller with real gangs and planner in simulated time:
 * each fault at each step of a start, a checkpoint and a stop.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "../support/sim_jobs.h"

#define FINISH_TIMEOUT_MS 300000

#define WORKERS 6
/*
 * At one sync a second the sync interval of WORKERS workers grows by this time.
 */
#define EXTRA_INTERVAL_MS ((WORKERS - 1) * 1000 * 8 / 7 + 1)

static struct cq_sim_jobs *create_cluster(uint32_t max_syncs_per_s,
					  struct cq_metrics *metrics)
{
	struct cq_sim_jobs_options options;

	cq_sim_jobs_options_init(&options);
	options.hosts = 3;
	options.workers.count = WORKERS;
	options.controller.max_syncs_per_s = max_syncs_per_s;
	/* Shorter than the sync interval, as in a fleet with many workers. */
	if (max_syncs_per_s == 1)
		options.controller.held_lease_ms = 5000;
	options.controller.metrics = metrics;
	return cq_sim_jobs_create(&options);
}

enum fault {
	OWNER_DIES,
	OWNER_DIES_FOR_GOOD,
	OWNER_PAUSES,
	OWNER_PAUSES_BRIEFLY,
	OWNER_FENCED,
	WORKER_DIES,
	WORKER_RESTARTS,
	WORKER_PAUSES,
	WORKER_PAUSES_LONG,
	WORKER_CALLS_LOST,
	WORKER_ANSWERS_LOST,
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
	[OWNER_PAUSES_BRIEFLY] = "owner pauses within its lease",
	[OWNER_FENCED] = "another owner acquires",
	[WORKER_DIES] = "worker dies for good",
	[WORKER_RESTARTS] = "worker restarts at once",
	[WORKER_PAUSES] = "worker pauses within the lease",
	[WORKER_PAUSES_LONG] = "worker pauses past the lease",
	[WORKER_CALLS_LOST] = "calls to the worker are lost",
	[WORKER_ANSWERS_LOST] = "answers of the worker are lost",
	[WORKER_DOWN] = "the worker refuses connections",
	[ONE_ANSWER_LOST] = "one answer is lost",
	[ANSWERS_LOST] = "half of all answers are lost",
	[STORE_DOWN] = "the store is down",
	[STORE_LOSES_ANSWERS] = "half of the store's answers are lost",
	[OWNER_AND_WORKER_DIE] = "owner and worker die",
	[OWNER_DIES_TWICE] = "owner and successor die",
	[WORKER_THEN_OWNERS_DIE] = "worker dies, then owner and successor",
};

/*
 * The fault is injected after a worker has executed the number-th command with
 * this verb.
 */
struct fault_point {
	const char *verb;
	uint32_t number;
};

struct scenario {
	struct cq_sim_jobs *jobs;
	enum fault fault;
	struct fault_point fault_point;
	uint32_t seen;
	bool fault_injected;
	int32_t owner;
	int32_t successor;
	uint32_t worker;
	int64_t last_ns; /* time of the last scheduled event */
};

static void schedule_in(struct scenario *s, int64_t ms, cq_sim_fn *fn)
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

	s->successor = cq_sim_jobs_owner(s->jobs);
	if (s->successor >= 0)
		cq_sim_jobs_kill(s->jobs, s->successor);
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

	if (s->successor >= 0)
		cq_sim_jobs_restart(s->jobs, s->successor);
}

static void clear_worker_faults(void *ctx)
{
	static const struct cq_sim_worker_faults none;
	struct scenario *s = ctx;
	struct cq_sim_workers *workers = cq_sim_jobs_workers(s->jobs);

	cq_sim_worker_set_faults(workers, s->worker, &none);
	cq_sim_worker_resume(workers, s->worker);
	cq_sim_worker_start(workers, s->worker);
	cq_sim_workers_lose_answers(workers, 0);
}

static void clear_store_faults(void *ctx)
{
	struct scenario *s = ctx;

	cq_sim_jobs_store_loses(s->jobs, 0);
	cq_sim_jobs_store_down(s->jobs, false);
}

static void inject_owner_fault(struct scenario *s)
{
	switch (s->fault) {
	case OWNER_DIES:
		cq_sim_jobs_kill(s->jobs, s->owner);
		schedule_in(s, 3000, restart_owner);
		break;
	case OWNER_DIES_FOR_GOOD:
	case OWNER_AND_WORKER_DIE:
		cq_sim_jobs_kill(s->jobs, s->owner);
		break;
	case OWNER_DIES_TWICE:
		cq_sim_jobs_kill(s->jobs, s->owner);
		/*
		 * By then the successor has read the workers' reports and has
		 * sent no command yet.
		 */
		schedule_in(s, 5300, kill_successor);
		schedule_in(s, 6000, restart_owner);
		schedule_in(s, 9000, restart_successor);
		break;
	case WORKER_THEN_OWNERS_DIE:
		/*
		 * Just before the owner would declare the worker lost after 5
		 * s.
		 */
		schedule_in(s, 4500, kill_owner);
		schedule_in(s, 10500, kill_successor);
		schedule_in(s, 20000, restart_owner);
		schedule_in(s, 20000, restart_successor);
		break;
	case OWNER_PAUSES:
		cq_sim_jobs_pause(s->jobs, s->owner);
		schedule_in(s, 9000, resume_owner);
		break;
	case OWNER_PAUSES_BRIEFLY:
		cq_sim_jobs_pause(s->jobs, s->owner);
		schedule_in(s, 3000, resume_owner);
		break;
	case OWNER_FENCED:
		cq_sim_jobs_fence(s->jobs);
		break;
	default:
		break;
	}
}

static void inject_worker_fault(struct scenario *s)
{
	struct cq_sim_workers *workers = cq_sim_jobs_workers(s->jobs);
	struct cq_sim_worker_faults faults = {
		.deaf = s->fault == WORKER_CALLS_LOST,
		.silent = s->fault == WORKER_ANSWERS_LOST,
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
		schedule_in(s, 3000, clear_worker_faults);
		break;
	case WORKER_PAUSES_LONG:
		cq_sim_worker_pause(workers, s->worker);
		schedule_in(s, 40000, clear_worker_faults);
		break;
	case WORKER_CALLS_LOST:
	case WORKER_ANSWERS_LOST:
	case WORKER_DOWN:
		cq_sim_worker_set_faults(workers, s->worker, &faults);
		schedule_in(s, 20000, clear_worker_faults);
		break;
	case ONE_ANSWER_LOST:
		cq_sim_workers_lose_next(workers, 1);
		break;
	case ANSWERS_LOST:
		cq_sim_workers_lose_answers(workers, 500);
		schedule_in(s, 20000, clear_worker_faults);
		break;
	case STORE_LOSES_ANSWERS:
		cq_sim_jobs_store_loses(s->jobs, 500);
		schedule_in(s, 30000, clear_store_faults);
		break;
	case STORE_DOWN:
		cq_sim_jobs_store_down(s->jobs, true);
		schedule_in(s, 60000, clear_store_faults);
		break;
	default:
		break;
	}
}

static void inject_fault(void *ctx)
{
	struct scenario *s = ctx;

	s->owner = cq_sim_jobs_owner(s->jobs);
	inject_owner_fault(s);
	inject_worker_fault(s);
}

static void on_command(void *ctx, const char *verb, uint32_t worker,
		       const char *task_id)
{
	struct scenario *s = ctx;

	(void)task_id;
	if (s->fault_injected || strcmp(verb, s->fault_point.verb) != 0 ||
	    ++s->seen < s->fault_point.number)
		return;
	s->fault_injected = true;
	s->worker = worker;
	/*
	 * Inject after the call has returned, when the worker has executed the
	 * command.
	 */
	schedule_in(s, 0, inject_fault);
}

static void run_scenario(enum fault fault, struct fault_point point,
			 uint32_t max_syncs_per_s, int64_t extra_ms)
{
	struct scenario s = { .jobs = create_cluster(max_syncs_per_s, NULL),
			      .fault = fault,
			      .fault_point = point,
			      .successor = -1 };

	g_test_message("%s after %s %u, %u syncs/s", fault_names[fault],
		       point.verb, point.number, max_syncs_per_s);
	cq_sim_workers_on_command(cq_sim_jobs_workers(s.jobs), on_command, &s);
	cq_sim_jobs_submit(s.jobs, &cq_sim_gang_of_four);
	if (point.verb[0] == 'c' || !strcmp(point.verb, "stop")) {
		cq_sim_jobs_wait(s.jobs, "j1", CQ_PHASE_RUNNING, 10000);
		cq_sim_jobs_run_ms(s.jobs, 3000);
		cq_sim_jobs_set_in(s.jobs, false);
		cq_sim_jobs_run_ms(s.jobs, 3000);
		cq_sim_jobs_set_in(s.jobs, true);
	}
	if (!cq_sim_jobs_wait(s.jobs, "j1", CQ_PHASE_FINISHED,
			      FINISH_TIMEOUT_MS)) {
		struct cq_job_record record;

		/* The job may have moved to the other data centre. */
		g_assert_true(cq_sim_jobs_read(s.jobs, CQ_SIM_JOBS_OTHER_DC,
					       "j1", &record));
		g_assert_cmpuint(
			cq_sim_workers_live(cq_sim_jobs_workers(s.jobs)), ==,
			0);
	}
	g_assert_true(s.fault_injected);
	/* The scheduled events refer to the scenario, so run them all. */
	cq_sim_run_until(cq_sim_jobs_sim(s.jobs), s.last_ns);
	cq_sim_jobs_check(s.jobs, extra_ms);
	cq_sim_jobs_destroy(s.jobs);
}

/*
 * Guards against a gang that runs incomplete, twice or never after a fault at
 * any step of its start, its checkpoint or its stop.
 */
static void test_fault_table(void)
{
	static const struct fault_point points[] = {
		{ "start", 1 },	     { "start", 3 },	  { "start", 4 },
		{ "throttle", 1 },   { "throttle", 2 },	  { "throttle", 4 },
		{ "checkpoint", 1 }, { "checkpoint", 4 }, { "stop", 1 },
		{ "stop", 4 },
	};
	size_t i;
	int fault;

	for (fault = 0; fault < FAULT_COUNT; fault++)
		for (i = 0; i < G_N_ELEMENTS(points); i++) {
			run_scenario((enum fault)fault, points[i], 100, 0);
			run_scenario((enum fault)fault, points[i], 1,
				     EXTRA_INTERVAL_MS);
		}
}

/*
 * Guards against renewals without an owner that keep an incomplete gang
 * running.
 */
static void test_ownerless_renewal_of_partial_gang(void)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;
	struct scenario s = { .fault = OWNER_DIES_FOR_GOOD,
			      .fault_point = { "throttle", 2 } };

	cq_sim_jobs_options_init(&options);
	/* One command at a time, so that some members are not released yet. */
	options.controller.max_commands = 1;
	jobs = cq_sim_jobs_create(&options);
	s.jobs = jobs;
	cq_sim_workers_on_command(cq_sim_jobs_workers(jobs), on_command, &s);
	cq_sim_jobs_submit(jobs, &cq_sim_gang_of_four);
	while (!s.fault_injected)
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
 * Guards against a sync rate that grows with the number of workers, and against
 * lost workers that are detected too late or wrongly at the longer interval.
 */
static void test_sync_rate(void)
{
	static const struct cq_sim_job long_job = { "j1",    4,	   8,
						    1200000, true, false };
	/*
	 * The mean rate is one sync a second. Jitter shortens an interval of 6
	 * s to no less than 5.2 s.
	 */
	enum { IDLE_S = 300, MAX_SYNCS = IDLE_S * 6 / 5 };
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_sim_jobs *jobs = create_cluster(1, metrics);
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
	cq_sim_jobs_run_ms(jobs, IDLE_S * 1000);
	g_assert_cmpuint(cq_counter_get(syncs) - before, <=, MAX_SYNCS);
	g_assert_cmpuint(cq_sim_workers_running(workers, "j1"), ==, 4);
	g_assert_cmpuint(cq_counter_get(lost), ==, 0);
	/* The detection takes longer by the same time as the interval. */
	for (i = 0; i < WORKERS; i++)
		cq_sim_worker_kill(workers, i);
	cq_sim_jobs_run_ms(jobs, 5000 + EXTRA_INTERVAL_MS + 200);
	g_assert_cmpuint(cq_counter_get(lost), ==, WORKERS);
	g_assert_true(cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record));
	g_assert_cmpuint(record.attempt, ==, 1);
	cq_sim_jobs_destroy(jobs);
	cq_metrics_destroy(metrics);
}

/*
 * Guards against workers that are declared lost because a shorter host list
 * shortens the time-out of contact at once.
 */
static void test_host_list_shrinks(void)
{
	static const struct cq_sim_job long_job = { "j1",    4,	   8,
						    1200000, true, false };
	static const struct cq_controller_host left[] = {
		{ "w0", "worker:0", "r0" },
	};
	int64_t phase_ms;

	/*
	 * In some of these phases a worker's last answer is more than 5 s old.
	 */
	for (phase_ms = 0; phase_ms < 6000; phase_ms += 100) {
		struct cq_metrics *metrics = cq_metrics_create();
		struct cq_sim_jobs *jobs = create_cluster(1, metrics);
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
			test_ownerless_renewal_of_partial_gang);
	g_test_add_func("/controller_faults/sync_rate", test_sync_rate);
	g_test_add_func("/controller_faults/list_shrinks",
			test_host_list_shrinks);
	return g_test_run();
}
