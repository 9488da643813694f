/* The gang state machine alone, with answers and reports given by hand. */
#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/gang.h"

#define SIZE 4
#define MS CQ_NS_PER_MS

struct fixture {
	struct cq_gang *gang;
	int64_t now_ns;
	uint32_t sent[SIZE][4]; /* by rank and command */
	bool blocked;		/* the owner may not command */
	bool no_release;
};

static bool on_command(void *ctx, const struct cq_gang *gang, uint32_t rank,
		       enum cq_gang_command command)
{
	struct fixture *f = ctx;

	(void)gang;
	if (f->blocked || (f->no_release && command == CQ_GANG_RELEASE))
		return false;
	f->sent[rank][command]++;
	return true;
}

static const struct cq_gang_ops ops = { on_command };

static void begin(struct fixture *f)
{
	struct cq_gang_options options;

	memset(f, 0, sizeof(*f));
	cq_gang_options_init(&options);
	f->now_ns = CQ_NS_PER_S;
	f->gang = cq_gang_create(&options, &ops, f, SIZE, f->now_ns);
}

static void advance(struct fixture *f, int64_t ms)
{
	f->now_ns += ms * MS;
	cq_gang_tick(f->gang, f->now_ns);
}

static void answer(struct fixture *f, uint32_t rank,
		   enum cq_gang_command command, enum cq_worker_answer answer)
{
	cq_gang_answered(f->gang, rank, command, answer, f->now_ns);
}

static void answer_all(struct fixture *f, enum cq_gang_command command)
{
	uint32_t i;

	for (i = 0; i < SIZE; i++)
		answer(f, i, command, CQ_WORKER_ANSWER_OK);
}

static void observe(struct fixture *f, uint32_t rank, enum cq_task_state state,
		    int64_t checkpoint_ms)
{
	struct cq_gang_report report = { true, state, checkpoint_ms };

	cq_gang_observed(f->gang, rank, &report, f->now_ns, f->now_ns);
}

static void run_to_running(struct fixture *f)
{
	begin(f);
	advance(f, 0);
	answer_all(f, CQ_GANG_START);
	advance(f, 10);
	answer_all(f, CQ_GANG_RELEASE);
	g_assert_cmpint(cq_gang_state(f->gang), ==, CQ_GANG_RUNNING);
}

/* Guards against a release before every task is confirmed held. */
static void test_two_phases(void)
{
	struct fixture f;
	uint32_t i;

	begin(&f);
	advance(&f, 0);
	for (i = 0; i < SIZE; i++)
		g_assert_cmpuint(f.sent[i][CQ_GANG_START], ==, 1);
	for (i = 0; i + 1 < SIZE; i++)
		answer(&f, i, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	advance(&f, 2000);
	for (i = 0; i < SIZE; i++)
		g_assert_cmpuint(f.sent[i][CQ_GANG_RELEASE], ==, 0);
	g_assert_false(cq_gang_released(f.gang));
	answer(&f, SIZE - 1, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_RELEASING);
	advance(&f, 10);
	for (i = 0; i < SIZE; i++)
		g_assert_cmpuint(f.sent[i][CQ_GANG_RELEASE], ==, 1);
	answer_all(&f, CQ_GANG_RELEASE);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_RUNNING);
	for (i = 0; i < SIZE; i++)
		observe(&f, i, CQ_TASK_FINISHED, -1);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_ENDED);
	g_assert_cmpint(cq_gang_end(f.gang), ==, CQ_GANG_END_FINISHED);
	cq_gang_destroy(f.gang);
}

/* Guards against a start that goes on after a member's start failed. */
static void test_start_answers(void)
{
	static const struct {
		const char *name;
		enum cq_worker_answer answer;
		enum cq_gang_state state; /* right after the answer */
		bool repeats;
	} cases[] = {
		{ "refused", CQ_WORKER_ANSWER_REFUSED, CQ_GANG_STOPPING,
		  false },
		{ "stale", CQ_WORKER_ANSWER_STALE, CQ_GANG_STOPPING, false },
		{ "not sent", CQ_WORKER_ANSWER_UNAVAILABLE, CQ_GANG_HOLDING,
		  true },
		{ "lost", CQ_WORKER_ANSWER_UNKNOWN, CQ_GANG_HOLDING, true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		g_test_message("%s", cases[i].name);
		begin(&f);
		advance(&f, 0);
		answer(&f, 0, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
		answer(&f, 1, CQ_GANG_START, cases[i].answer);
		g_assert_cmpint(cq_gang_state(f.gang), ==, cases[i].state);
		advance(&f, 600);
		g_assert_cmpuint(f.sent[1][CQ_GANG_START], ==,
				 cases[i].repeats ? 2 : 1);
		/* The member that is held has to go as well. */
		advance(&f, 8000);
		g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
		g_assert_cmpuint(f.sent[0][CQ_GANG_STOP], >=, 1);
		g_assert_cmpint(cq_gang_end(f.gang), ==, CQ_GANG_END_UNDONE);
		cq_gang_destroy(f.gang);
	}
}

/* Guards against a gang that counts as ended while a start is on its way. */
static void test_stop_waits_for_start(void)
{
	struct fixture f;
	uint32_t i;

	begin(&f);
	advance(&f, 0);
	for (i = 0; i + 1 < SIZE; i++)
		answer(&f, i, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	cq_gang_stop(f.gang, f.now_ns);
	advance(&f, 10);
	for (i = 0; i + 1 < SIZE; i++)
		answer(&f, i, CQ_GANG_STOP, CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
	answer(&f, SIZE - 1, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
	advance(&f, 10);
	g_assert_cmpuint(f.sent[SIZE - 1][CQ_GANG_STOP], ==, 1);
	answer(&f, SIZE - 1, CQ_GANG_STOP, CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_ENDED);
	g_assert_cmpint(cq_gang_end(f.gang), ==, CQ_GANG_END_UNDONE);
	cq_gang_destroy(f.gang);
}

/*
 * Guards against a lost member whose job is started again while its task may
 * still run on a worker without contact.
 */
static void test_lost_member_delays_end(void)
{
	struct fixture f;
	uint32_t i;

	run_to_running(&f);
	cq_gang_member_lost(f.gang, 2, f.now_ns + 30 * CQ_NS_PER_S, f.now_ns);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
	g_assert_cmpint(cq_gang_end(f.gang), ==, CQ_GANG_END_LOST);
	g_assert_cmpuint(cq_gang_failed_rank(f.gang), ==, 2);
	for (i = 0; i < SIZE; i++)
		g_assert_false(cq_gang_should_renew(f.gang, i, true));
	advance(&f, 10);
	for (i = 0; i < SIZE; i++)
		if (i != 2)
			answer(&f, i, CQ_GANG_STOP, CQ_WORKER_ANSWER_OK);
	answer(&f, 2, CQ_GANG_STOP, CQ_WORKER_ANSWER_UNKNOWN);
	advance(&f, 29000);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
	advance(&f, 1000);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_ENDED);
	cq_gang_destroy(f.gang);
}

/* Guards against an old report that undoes what a later answer said. */
static void test_old_reports(void)
{
	static const struct cq_gang_report absent = { .checkpoint_ms = -1 };
	struct fixture f;
	int64_t sent_ns;

	begin(&f);
	sent_ns = f.now_ns;
	advance(&f, 0);
	advance(&f, 5);
	answer_all(&f, CQ_GANG_START);
	cq_gang_observed(f.gang, 0, &absent, sent_ns, f.now_ns);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_RELEASING);
	/* A report sent after the answer counts. */
	cq_gang_observed(f.gang, 0, &absent, f.now_ns + 1, f.now_ns + 2);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
	cq_gang_destroy(f.gang);
}

/* Guards against leases that keep a gang in part alive. */
static void test_renewals(void)
{
	struct fixture f;

	begin(&f);
	advance(&f, 0);
	answer(&f, 0, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	g_assert_true(cq_gang_should_renew(f.gang, 0, true));
	/* Without command nobody will release it. */
	g_assert_false(cq_gang_should_renew(f.gang, 0, false));
	g_assert_false(cq_gang_should_renew(f.gang, 1, true));
	answer(&f, 1, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	answer(&f, 2, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	answer(&f, 3, CQ_GANG_START, CQ_WORKER_ANSWER_OK);
	advance(&f, 10);
	answer(&f, 0, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	g_assert_false(cq_gang_should_renew(f.gang, 0, true));
	g_assert_false(cq_gang_should_renew(f.gang, 1, true));
	answer(&f, 1, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 2, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 3, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	g_assert_true(cq_gang_should_renew(f.gang, 0, false));
	cq_gang_stop(f.gang, f.now_ns);
	g_assert_false(cq_gang_should_renew(f.gang, 0, true));
	cq_gang_destroy(f.gang);
}

/* Guards against a release phase that never ends. */
static void test_release_gives_up(void)
{
	struct fixture f;

	begin(&f);
	advance(&f, 0);
	answer_all(&f, CQ_GANG_START);
	advance(&f, 10);
	answer(&f, 0, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 1, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 2, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 3, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_UNKNOWN);
	advance(&f, 600);
	g_assert_cmpuint(f.sent[3][CQ_GANG_RELEASE], ==, 2);
	advance(&f, 4000);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_STOPPING);
	g_assert_cmpint(cq_gang_end(f.gang), ==, CQ_GANG_END_LOST);
	g_assert_cmpuint(f.sent[0][CQ_GANG_STOP], ==, 1);
	cq_gang_destroy(f.gang);
}

/*
 * Guards against a released task that is taken for lost because the answer of
 * its release was lost and it ended before the release was repeated.
 */
static void test_lost_release_answer(void)
{
	struct fixture f;

	begin(&f);
	advance(&f, 0);
	answer_all(&f, CQ_GANG_START);
	advance(&f, 10);
	answer(&f, 0, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_UNKNOWN);
	answer(&f, 1, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 2, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	answer(&f, 3, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_OK);
	advance(&f, 600);
	answer(&f, 0, CQ_GANG_RELEASE, CQ_WORKER_ANSWER_NOT_FOUND);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_RELEASING);
	observe(&f, 0, CQ_TASK_FINISHED, -1);
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_RUNNING);
	cq_gang_destroy(f.gang);
}

/* Guards against commands of a process that may not command. */
static void test_blocked(void)
{
	struct fixture f;

	begin(&f);
	f.blocked = true;
	advance(&f, 0);
	g_assert_cmpuint(f.sent[0][CQ_GANG_START], ==, 0);
	advance(&f, 8000);
	/* Nothing was ever sent, so nothing has to be stopped. */
	g_assert_cmpint(cq_gang_state(f.gang), ==, CQ_GANG_ENDED);
	g_assert_cmpint(cq_gang_end(f.gang), ==, CQ_GANG_END_UNDONE);
	cq_gang_destroy(f.gang);
}

/* Guards against a checkpoint that counts before all members have it. */
static void test_checkpoint(void)
{
	static const struct {
		const char *name;
		int64_t before_ms, after_ms;
		bool seen; /* the checkpointing state was reported */
		bool done;
	} cases[] = {
		{ "first", -1, 500, false, true },
		{ "newer", 400, 500, false, true },
		{ "the same progress", 500, 500, true, true },
		{ "an old one reported again", 500, 500, false, false },
	};
	size_t i;
	uint32_t rank;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		g_test_message("%s", cases[i].name);
		run_to_running(&f);
		for (rank = 0; rank < SIZE; rank++)
			observe(&f, rank, CQ_TASK_RUNNING, cases[i].before_ms);
		cq_gang_checkpoint(f.gang, f.now_ns + 5000 * MS, f.now_ns);
		advance(&f, 10);
		answer_all(&f, CQ_GANG_CHECKPOINT);
		for (rank = 1; rank < SIZE; rank++) {
			observe(&f, rank, CQ_TASK_CHECKPOINTING, -1);
			observe(&f, rank, CQ_TASK_RUNNING, 600);
		}
		g_assert_cmpint(cq_gang_state(f.gang), ==,
				CQ_GANG_CHECKPOINTING);
		if (cases[i].seen)
			observe(&f, 0, CQ_TASK_CHECKPOINTING, -1);
		observe(&f, 0, CQ_TASK_RUNNING, cases[i].after_ms);
		g_assert_cmpint(cq_gang_state(f.gang), ==,
				cases[i].done ? CQ_GANG_STOPPING
					      : CQ_GANG_CHECKPOINTING);
		advance(&f, 5000);
		g_assert_cmpint(cq_gang_end(f.gang), ==,
				cases[i].done ? CQ_GANG_END_CHECKPOINTED
					      : CQ_GANG_END_STOPPED);
		g_assert_cmpint(cq_gang_checkpoint_ms(f.gang), ==, 500);
		cq_gang_destroy(f.gang);
	}
}

/* Guards against a recovery that doubles, splits or forgets a gang. */
static void test_recovery(void)
{
#define ABSENT                          \
	{                               \
		false, CQ_TASK_HELD, -1 \
	}
#define TASK(state)                       \
	{                                 \
		true, CQ_TASK_##state, -1 \
	}
	static const struct {
		const char *name;
		struct cq_gang_report reports[SIZE];
		enum cq_gang_state state;
		enum cq_gang_end end;
	} cases[] = {
		{ "all held",
		  { TASK(HELD), TASK(HELD), TASK(HELD), TASK(HELD) },
		  CQ_GANG_STOPPING,
		  CQ_GANG_END_UNDONE },
		{ "held in part",
		  { TASK(HELD), ABSENT, ABSENT, TASK(HELD) },
		  CQ_GANG_STOPPING,
		  CQ_GANG_END_UNDONE },
		{ "released in part",
		  { TASK(HELD), TASK(RUNNING), TASK(HELD), TASK(HELD) },
		  CQ_GANG_RELEASING,
		  CQ_GANG_END_NONE },
		{ "released in part, one finished",
		  { TASK(HELD), TASK(FINISHED), TASK(HELD), TASK(HELD) },
		  CQ_GANG_RELEASING,
		  CQ_GANG_END_NONE },
		{ "released in part, a member lost",
		  { TASK(HELD), TASK(RUNNING), ABSENT, TASK(HELD) },
		  CQ_GANG_STOPPING,
		  CQ_GANG_END_LOST },
		{ "running",
		  { TASK(RUNNING), TASK(RUNNING), TASK(CHECKPOINTING),
		    TASK(FINISHED) },
		  CQ_GANG_RUNNING,
		  CQ_GANG_END_NONE },
		{ "running, a lease lapsed",
		  { TASK(RUNNING), TASK(STOPPED), TASK(RUNNING),
		    TASK(RUNNING) },
		  CQ_GANG_STOPPING,
		  CQ_GANG_END_LOST },
		{ "running, one failed",
		  { TASK(RUNNING), TASK(RUNNING), TASK(FAILED), ABSENT },
		  CQ_GANG_STOPPING,
		  CQ_GANG_END_FAILED },
		{ "all finished",
		  { TASK(FINISHED), TASK(FINISHED), TASK(FINISHED),
		    TASK(FINISHED) },
		  CQ_GANG_ENDED,
		  CQ_GANG_END_FINISHED },
		{ "nothing left",
		  { ABSENT, ABSENT, ABSENT, ABSENT },
		  CQ_GANG_ENDED,
		  CQ_GANG_END_UNDONE },
	};
#undef ABSENT
#undef TASK
	struct cq_gang_options options;
	size_t i;
	uint32_t rank;

	cq_gang_options_init(&options);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f = { .now_ns = CQ_NS_PER_S };

		g_test_message("%s", cases[i].name);
		f.gang = cq_gang_recover(&options, &ops, &f, SIZE,
					 cases[i].reports, f.now_ns, f.now_ns);
		g_assert_cmpint(cq_gang_state(f.gang), ==, cases[i].state);
		g_assert_cmpint(cq_gang_end(f.gang), ==, cases[i].end);
		advance(&f, 10);
		for (rank = 0; rank < SIZE; rank++)
			g_assert_cmpuint(f.sent[rank][CQ_GANG_START], ==, 0);
		cq_gang_destroy(f.gang);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gang/two_phases", test_two_phases);
	g_test_add_func("/gang/start_answers", test_start_answers);
	g_test_add_func("/gang/stop_waits_for_start",
			test_stop_waits_for_start);
	g_test_add_func("/gang/lost_member_delays_end",
			test_lost_member_delays_end);
	g_test_add_func("/gang/old_reports", test_old_reports);
	g_test_add_func("/gang/renewals", test_renewals);
	g_test_add_func("/gang/release_gives_up", test_release_gives_up);
	g_test_add_func("/gang/lost_release_answer", test_lost_release_answer);
	g_test_add_func("/gang/blocked", test_blocked);
	g_test_add_func("/gang/checkpoint", test_checkpoint);
	g_test_add_func("/gang/recovery", test_recovery);
	return g_test_run();
}
