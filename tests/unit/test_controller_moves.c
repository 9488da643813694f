/*
 * Tests of moves of waiting jobs to a data centre with more suitable capacity.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "../support/sim_jobs.h"

#define OFFERS_DC "offers/" CQ_SIM_JOBS_DC
#define OFFERS_OTHER_DC "offers/" CQ_SIM_JOBS_OTHER_DC
/* Counts of ten workers with 8 accelerators each. */
#define TEN_WORKERS "[10,10,10,10,10,10,10,10,10]"
#define NONE_FREE "[10,0,0,0,0,0,0,0,0]"
/* Format of a stored offer; its argument is the time of writing. */
#define OFFER(free, waiting)                                                  \
	"{\"total\":" TEN_WORKERS ",\"rack_total\":" TEN_WORKERS              \
	",\"free\":" free ",\"rack_free\":" free ",\"cpu_millicores\":64000," \
	"\"memory_bytes\":549755813888,\"waiting\":" waiting                  \
	",\"written_unix_ms\":%" G_GINT64_FORMAT "}"
/* Longer than options.controller.hand_over_wait_ns and a move together. */
#define LONG_WAIT_MS 90000

/* Uses all four workers of the data centre, so that later jobs wait. */
static const struct cq_sim_job busy = { "busy", 4, 8, 3600000, true, true };

static void write_offer(struct cq_sim_jobs *jobs, const char *format,
			int64_t age_ms)
{
	int64_t unix_ms = cq_clock_unix_ms(cq_sim_clock(cq_sim_jobs_sim(jobs)));
	/* NOLINTNEXTLINE(clang-diagnostic-format-nonliteral) */
	char *text = g_strdup_printf(format, unix_ms - age_ms);

	cq_sim_store_write(cq_sim_jobs_store(jobs), OFFERS_OTHER_DC, text,
			   CQ_STORE_ANY_REVISION);
	g_free(text);
}

static struct cq_sim_jobs *create_cluster(const char *format, int64_t age_ms)
{
	struct cq_sim_jobs_options options;
	struct cq_sim_jobs *jobs;

	cq_sim_jobs_options_init(&options);
	options.hosts = 3;
	options.workers.count = 4;
	jobs = cq_sim_jobs_create(&options);
	if (format)
		write_offer(jobs, format, age_ms);
	return jobs;
}

enum fault {
	NONE,
	OWNER_DIES,
	OWNER_DIES_TWICE,
	OWNER_PAUSES,
	OWNER_FENCED,
	STORE_DOWN,
	STORE_LOSES_ANSWERS,
	CANCELLED,
	FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
	[NONE] = "nothing",
	[OWNER_DIES] = "owner dies",
	[OWNER_DIES_TWICE] = "owner and successor die",
	[OWNER_PAUSES] = "owner pauses past its lease",
	[OWNER_FENCED] = "another owner acquires",
	[STORE_DOWN] = "the store is down",
	[STORE_LOSES_ANSWERS] = "half of the store's answers are lost",
	[CANCELLED] = "a caller cancels the job",
};

enum step {
	SUBMITTED,
	MOVING,	 /* the record's phase is set to moving */
	CREATED, /* record created in the other data centre */
	REMOVED, /* record removed from this data centre */
	STEP_COUNT,
};

struct scenario {
	struct cq_sim_jobs *jobs;
	enum fault fault;
	enum step step;
	bool fault_injected;
	bool cancelled;
	uint32_t creations;
};

static void schedule_in(struct scenario *s, int64_t ms, cq_sim_fn *fn)
{
	struct cq_sim *sim = cq_sim_jobs_sim(s->jobs);

	cq_sim_at(sim, cq_sim_now_ns(sim) + ms * CQ_NS_PER_MS, fn, s, NULL);
}

static void kill_owner(void *ctx)
{
	struct scenario *s = ctx;
	int32_t owner = cq_sim_jobs_owner(s->jobs);

	if (owner >= 0)
		cq_sim_jobs_kill(s->jobs, owner);
}

static void clear_faults(void *ctx)
{
	struct scenario *s = ctx;
	int32_t i;

	cq_sim_jobs_store_down(s->jobs, false);
	cq_sim_jobs_store_loses(s->jobs, 0);
	for (i = 0; i < 3; i++)
		cq_sim_jobs_resume(s->jobs, i);
}

static void inject_fault(void *ctx)
{
	struct scenario *s = ctx;
	struct cq_job_record record;

	switch (s->fault) {
	case OWNER_DIES_TWICE:
		schedule_in(s, 6000, kill_owner);
		kill_owner(s);
		break;
	case OWNER_DIES:
		kill_owner(s);
		break;
	case OWNER_PAUSES:
		cq_sim_jobs_pause(s->jobs, cq_sim_jobs_owner(s->jobs));
		schedule_in(s, 9000, clear_faults);
		break;
	case OWNER_FENCED:
		cq_sim_jobs_fence(s->jobs);
		break;
	case STORE_DOWN:
		cq_sim_jobs_store_down(s->jobs, true);
		schedule_in(s, 20000, clear_faults);
		break;
	case STORE_LOSES_ANSWERS:
		cq_sim_jobs_store_loses(s->jobs, 500);
		schedule_in(s, 20000, clear_faults);
		break;
	case CANCELLED:
		s->cancelled = cq_sim_jobs_read(s->jobs, CQ_SIM_JOBS_DC, "j1",
						&record);
		cq_sim_jobs_cancel(s->jobs, "j1");
		break;
	case NONE:
	case FAULT_COUNT:
		break;
	}
}

static void on_change(void *ctx, const char *key, const char *value,
		      int64_t revision)
{
	struct scenario *s = ctx;
	bool here = !strcmp(key, "jobs/" CQ_SIM_JOBS_DC "/j1");
	struct cq_job_record record;
	enum step step = SUBMITTED;

	(void)revision;
	if (!here && strcmp(key, "jobs/" CQ_SIM_JOBS_OTHER_DC "/j1") != 0)
		return;
	if (!here)
		step = CREATED;
	else if (!value)
		step = REMOVED;
	else if (cq_job_record_parse(value, strlen(value), &record, NULL) &&
		 record.phase == CQ_PHASE_MOVING)
		step = MOVING;
	s->creations += step == CREATED;
	if (s->fault_injected || step != s->step)
		return;
	s->fault_injected = true;
	/* Inject after the write has returned. */
	schedule_in(s, 0, inject_fault);
}

/* Checks that the job is in one data centre only, and in the expected one. */
static void check(const struct scenario *s, uint32_t starts)
{
	struct cq_job_record here;
	struct cq_job_record there;
	bool is_here = cq_sim_jobs_read(s->jobs, CQ_SIM_JOBS_DC, "j1", &here);
	bool is_there =
		cq_sim_jobs_read(s->jobs, CQ_SIM_JOBS_OTHER_DC, "j1", &there);

	g_assert_true(s->fault_injected);
	g_assert_true(is_here != is_there);
	if (is_here) {
		g_assert_true(s->cancelled);
		g_assert_cmpint(here.phase, ==, CQ_PHASE_CANCELLED);
	} else {
		/*
		 * A cancellation after the creation causes a second write
		 * there.
		 */
		uint32_t expected = 1 + (s->cancelled && s->step == CREATED);

		g_assert_cmpint(there.phase, ==, CQ_PHASE_QUEUED);
		g_assert_cmpuint(there.moves, ==, 1);
		g_assert_true(there.cancel == s->cancelled);
		g_assert_cmpuint(s->creations, ==, expected);
	}
	g_assert_cmpuint(
		cq_sim_workers_record(cq_sim_jobs_workers(s->jobs))->starts, ==,
		starts);
}

/*
 * Guards against a job that is lost, duplicated, started in the old data centre
 * or no longer cancelled after a fault at any step of its move.
 */
static void test_fault_table(void)
{
	static const struct cq_sim_job too_large = { "j1", 5,	 8,
						     1000, true, false };
	static const struct cq_sim_job waiting = {
		"j1", 1, 8, 1000, true, false
	};
	int fault;
	int step;
	int wait;

	for (fault = 0; fault < FAULT_COUNT; fault++)
		for (step = 0; step < STEP_COUNT; step++)
			for (wait = 0; wait < 2; wait++) {
				struct scenario s = {
					.jobs = create_cluster(
						OFFER(TEN_WORKERS, "0"),
						-LONG_WAIT_MS),
					.fault = (enum fault)fault,
					.step = (enum step)step,
				};

				g_test_message("%s at step %d, job %s",
					       fault_names[fault], step,
					       wait ? "waits" : "never fits");
				if (wait) {
					cq_sim_jobs_submit(s.jobs, &busy);
					g_assert_true(cq_sim_jobs_wait(
						s.jobs, "busy",
						CQ_PHASE_RUNNING, 10000));
				}
				cq_sim_store_on_change(
					cq_sim_jobs_store(s.jobs), on_change,
					&s);
				cq_sim_jobs_submit(s.jobs, wait ? &waiting
								: &too_large);
				cq_sim_jobs_run_ms(s.jobs, LONG_WAIT_MS);
				check(&s, wait ? 4 : 0);
				cq_sim_store_on_change(
					cq_sim_jobs_store(s.jobs), NULL, NULL);
				cq_sim_jobs_destroy(s.jobs);
			}
}

/*
 * Guards against moves that must not happen: to a data centre without free
 * capacity, because of an outdated offer, of a pinned job, or of a job that was
 * moved before.
 */
static void test_job_stays(void)
{
	static const struct {
		const char *name;
		const char *offer;
		int64_t age_ms;
		uint32_t tasks;
		bool pinned;
		uint32_t moves; /* moves before the test */
		enum cq_job_phase phase;
	} cases[] = {
		{ "no offer", NULL, 0, 1, false, 0, CQ_PHASE_QUEUED },
		{ "no room", OFFER(NONE_FREE, "0"), -LONG_WAIT_MS, 1, false, 0,
		  CQ_PHASE_QUEUED },
		{ "others wait there", OFFER(TEN_WORKERS, "1"), -LONG_WAIT_MS,
		  1, false, 0, CQ_PHASE_QUEUED },
		{ "old offer", OFFER(TEN_WORKERS, "0"), 60000, 1, false, 0,
		  CQ_PHASE_QUEUED },
		{ "pinned", OFFER(TEN_WORKERS, "0"), -LONG_WAIT_MS, 1, true, 0,
		  CQ_PHASE_QUEUED },
		{ "moved before", OFFER(TEN_WORKERS, "0"), -LONG_WAIT_MS, 1,
		  false, 1, CQ_PHASE_QUEUED },
		{ "never fits, pinned", OFFER(TEN_WORKERS, "0"), -LONG_WAIT_MS,
		  5, true, 0, CQ_PHASE_FAILED },
		{ "never fits there either", OFFER(TEN_WORKERS, "0"),
		  -LONG_WAIT_MS, 11, false, 0, CQ_PHASE_FAILED },
		{ "never fits, no offer", NULL, 0, 5, false, 0,
		  CQ_PHASE_FAILED },
		{ "never fits, moved often", OFFER(TEN_WORKERS, "0"),
		  -LONG_WAIT_MS, 5, false, 4, CQ_PHASE_FAILED },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_sim_jobs *jobs =
			create_cluster(cases[i].offer, cases[i].age_ms);
		struct cq_sim_job job = {
			"j1", cases[i].tasks, 8, 1000, true, cases[i].pinned
		};
		struct cq_job_record record;

		g_test_message("%s", cases[i].name);
		cq_sim_jobs_submit(jobs, &busy);
		g_assert_true(cq_sim_jobs_wait(jobs, "busy", CQ_PHASE_RUNNING,
					       10000));
		cq_sim_jobs_submit(jobs, &job);
		if (cases[i].moves) {
			char key[CQ_JOB_KEY_BYTES];
			char *text;

			cq_job_key(CQ_SIM_JOBS_DC, "j1", key);
			cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record);
			record.moves = cases[i].moves;
			text = cq_job_record_format(&record);
			cq_sim_store_write(cq_sim_jobs_store(jobs), key, text,
					   CQ_STORE_ANY_REVISION);
			free(text);
		}
		cq_sim_jobs_run_ms(jobs, LONG_WAIT_MS);
		g_assert_true(
			cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, "j1", &record));
		g_assert_cmpint(record.phase, ==, cases[i].phase);
		cq_sim_jobs_destroy(jobs);
	}
}

struct move_counts {
	struct cq_sim_jobs *jobs;
	int64_t window_ns;
	uint32_t in_window;
	uint32_t max_per_window;
	uint32_t created;
};

static void count_moves(void *ctx, const char *key, const char *value,
			int64_t revision)
{
	struct move_counts *moves = ctx;
	int64_t window_ns = cq_sim_now_ns(cq_sim_jobs_sim(moves->jobs)) /
			    (100 * CQ_NS_PER_MS);

	(void)revision;
	if (!value || !g_str_has_prefix(key, "jobs/" CQ_SIM_JOBS_OTHER_DC "/"))
		return;
	if (window_ns != moves->window_ns)
		moves->in_window = 0;
	moves->window_ns = window_ns;
	moves->in_window++;
	moves->created++;
	moves->max_per_window = MAX(moves->max_per_window, moves->in_window);
}

/*
 * Guards against a burst of hand-overs, and against handing over more jobs
 * between two offers than the offered capacity holds.
 */
static void test_hand_over_rate(void)
{
	/* Moves of two plans can fall into 100 ms. */
	enum { JOBS = 50, MAX_MOVES = 8 };
	struct cq_sim_jobs *jobs =
		create_cluster(OFFER(TEN_WORKERS, "0"), -2 * LONG_WAIT_MS);
	struct move_counts moves = { .jobs = jobs };
	struct cq_sim_job job = { NULL, 1, 8, 1000, true, false };
	uint32_t i;

	cq_sim_jobs_submit(jobs, &busy);
	g_assert_true(cq_sim_jobs_wait(jobs, "busy", CQ_PHASE_RUNNING, 10000));
	for (i = 0; i < JOBS; i++) {
		char *id = g_strdup_printf("j%u", i);

		job.id = id;
		cq_sim_jobs_submit(jobs, &job);
		g_free(id);
	}
	cq_sim_store_on_change(cq_sim_jobs_store(jobs), count_moves, &moves);
	while (!moves.created)
		cq_sim_jobs_run_ms(jobs, 100);
	cq_sim_jobs_run_ms(jobs, 3000);
	g_assert_cmpuint(moves.max_per_window, <=, MAX_MOVES);
	/*
	 * An offer of ten workers accepts ten jobs, and at most two offers were
	 * read.
	 */
	g_assert_cmpuint(moves.created, >=, 10);
	g_assert_cmpuint(moves.created, <=, 20);
	cq_sim_store_on_change(cq_sim_jobs_store(jobs), NULL, NULL);
	cq_sim_jobs_destroy(jobs);
}

/* Guards against an offer that counts accelerators in use as free. */
static void test_own_offer(void)
{
	struct cq_sim_jobs *jobs = create_cluster(NULL, 0);
	static const struct cq_sim_job half = { "half",	 1,    4,
						3600000, true, true };
	const char *text;

	cq_sim_jobs_run_ms(jobs, 5000);
	text = cq_sim_store_read(cq_sim_jobs_store(jobs), OFFERS_DC, NULL);
	g_assert_nonnull(text);
	g_assert_nonnull(strstr(text, "\"total\":[4,4,4,4,4,4,4,4,4]"));
	g_assert_nonnull(strstr(text, "\"free\":[4,4,4,4,4,4,4,4,4]"));
	cq_sim_jobs_submit(jobs, &half);
	g_assert_true(cq_sim_jobs_wait(jobs, "half", CQ_PHASE_RUNNING, 10000));
	cq_sim_jobs_run_ms(jobs, 10000);
	text = cq_sim_store_read(cq_sim_jobs_store(jobs), OFFERS_DC, NULL);
	g_assert_nonnull(strstr(text, "\"free\":[4,4,4,4,4,3,3,3,3]"));
	cq_sim_jobs_destroy(jobs);
}

/* Guards against refusal of a job that fits only in another data centre. */
static void test_submission(void)
{
	static const struct {
		const char *offer;
		uint32_t tasks;
		bool pinned;
		bool accepted;
	} cases[] = {
		{ NULL, 4, false, true },
		{ NULL, 5, false, false },
		{ OFFER(TEN_WORKERS, "9"), 5, false, true },
		{ OFFER(TEN_WORKERS, "0"), 5, true, false },
		{ OFFER(TEN_WORKERS, "0"), 11, false, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_sim_jobs *jobs = create_cluster(cases[i].offer, 0);
		struct cq_error err = CQ_ERROR_INIT;
		struct cq_job_record record;

		cq_sim_jobs_run_ms(jobs, 5000);
		cq_job_record_init(&record);
		record.tasks = cases[i].tasks;
		record.accelerators = 8;
		record.cpu_millicores = 1000;
		record.memory_bytes = UINT64_C(1) << 30;
		record.adjacency = CQ_ADJACENT_DC;
		if (cases[i].pinned)
			g_strlcpy(record.data_centre, CQ_SIM_JOBS_DC,
				  sizeof(record.data_centre));
		g_assert_true(cq_controller_can_ever_run(
				      cq_sim_jobs_controller(jobs, 0), &record,
				      cq_sim_now_ns(cq_sim_jobs_sim(jobs)),
				      &err) == cases[i].accepted);
		cq_sim_jobs_destroy(jobs);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	if (getenv("CQ_TEST_LOG"))
		cq_log_open("test", "h", CQ_LOG_DEBUG, NULL);
	g_test_add_func("/controller_moves/fault_table", test_fault_table);
	g_test_add_func("/controller_moves/stays", test_job_stays);
	g_test_add_func("/controller_moves/submission", test_submission);
	g_test_add_func("/controller_moves/bound", test_hand_over_rate);
	g_test_add_func("/controller_moves/own_offer", test_own_offer);
	return g_test_run();
}
