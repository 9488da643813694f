/*
 * Tests of the job controller with scripted answers of the store and the
 * workers: writes without ownership, conflicts, answers to earlier attempts.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/script_controller.h"
#include "coordination/controller_private.h"

/*
 * Guards against a write by a process that does not own the data centre, when
 * the ownership check before one of the writes is missing.
 */
static void test_write_needs_command(void)
{
	static const struct {
		const char *name;
		enum cq_script_entry entry;
		bool in;
		enum cq_script_operation operation;
		const char *prefix;
	} cases[] = {
		{ "change of a record", CQ_SCRIPT_CANCEL, true, CQ_SCRIPT_PUT,
		  CQ_SCRIPT_JOB_KEY },
		{ "begin of a move", CQ_SCRIPT_QUEUED, false, CQ_SCRIPT_PUT,
		  CQ_SCRIPT_JOB_KEY },
		{ "rest of a move", CQ_SCRIPT_MOVING, false, CQ_SCRIPT_PUT,
		  "jobs/dc1/" },
		{ "removal of an old record", CQ_SCRIPT_FINISHED, true,
		  CQ_SCRIPT_REMOVE, CQ_SCRIPT_JOB_KEY },
	};
	guint i;
	int may;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (may = 0; may <= 1; may++) {
			struct cq_script_world world;

			g_test_message("%s, may command: %d", cases[i].name,
				       may);
			cq_script_world_init(&world);
			cq_script_set_state(&world, cases[i].in);
			world.may = may;
			cq_script_load(&world, cases[i].entry);
			cq_script_run(&world, CQ_SCRIPT_RETENTION_MS + 500);
			g_assert_cmpint(
				!!cq_script_store_find(&world.script,
						       cases[i].operation,
						       cases[i].prefix),
				==, may);
			cq_script_world_clear(&world);
		}
}

/*
 * Guards against a conflict after which the winning record is not adopted: the
 * next write would expect the old revision forever or overwrite the winner's
 * change.
 */
static void test_conflict(void)
{
	static const struct {
		const char *name;
		enum cq_script_entry entry; /* stored at revision 5 */
		enum cq_script_operation operation;
		enum cq_store_status status;
		/* status of the read after a lost answer */
		enum cq_store_status read_status;
		enum cq_script_entry winner; /* stored at revision 9 */
		/* Revision that the next write expects; 0: no write. */
		int64_t next;
		bool known; /* the controller still knows the job */
	} cases[] = {
		{ "winner still to be cancelled", CQ_SCRIPT_CANCEL,
		  CQ_SCRIPT_PUT, CQ_STORE_CONFLICT, 0, CQ_SCRIPT_CANCEL, 9,
		  true },
		{ "winner finished", CQ_SCRIPT_CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_CONFLICT, 0, CQ_SCRIPT_FINISHED, 0, true },
		{ "removed meanwhile", CQ_SCRIPT_CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_CONFLICT, 0, CQ_SCRIPT_NO_ENTRY, 0, false },
		{ "answer lost, winner to be cancelled", CQ_SCRIPT_CANCEL,
		  CQ_SCRIPT_PUT, CQ_STORE_UNKNOWN, CQ_STORE_OK,
		  CQ_SCRIPT_CANCEL, 9, true },
		{ "answer lost, winner finished", CQ_SCRIPT_CANCEL,
		  CQ_SCRIPT_PUT, CQ_STORE_UNKNOWN, CQ_STORE_OK,
		  CQ_SCRIPT_FINISHED, 0, true },
		{ "answer lost, removed", CQ_SCRIPT_CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_UNKNOWN, CQ_STORE_NOT_FOUND, CQ_SCRIPT_NO_ENTRY, 0,
		  false },
		{ "record to remove was replaced", CQ_SCRIPT_FINISHED,
		  CQ_SCRIPT_REMOVE, CQ_STORE_CONFLICT, 0, CQ_SCRIPT_CANCEL, 9,
		  true },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_store_call *next;
		struct cq_script_world world;
		char *shown;

		g_test_message("%s", cases[i].name);
		cq_script_world_init(&world);
		cq_script_load(&world, cases[i].entry);
		cq_script_run(&world, CQ_SCRIPT_RETENTION_MS + 500);
		cq_script_answer(&world, cases[i].operation, CQ_SCRIPT_JOB_KEY,
				 cases[i].status,
				 cases[i].status == CQ_STORE_UNKNOWN
					 ? CQ_SCRIPT_NO_ENTRY
					 : cases[i].winner,
				 9);
		if (cases[i].status == CQ_STORE_UNKNOWN)
			cq_script_answer(&world, CQ_SCRIPT_GET,
					 CQ_SCRIPT_JOB_KEY,
					 cases[i].read_status, cases[i].winner,
					 9);
		/*
		 * Shorter than the time until the record of an ended job is
		 * removed.
		 */
		cq_script_run(&world, 300);
		next = cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
					    CQ_SCRIPT_JOB_KEY);
		g_assert_cmpint(next ? next->revision : 0, ==, cases[i].next);
		shown = cq_controller_show_job(world.controller, "j",
					       cq_script_now_ns(&world));
		g_assert_cmpint(shown != NULL, ==, cases[i].known);
		free(shown);
		cq_script_world_clear(&world);
	}
}

/*
 * Guards against the answer to a write of a removed record that is taken for
 * the answer to a write of a new record with the same id, which would make the
 * controller forget the new record.
 */
static void test_answer_for_removed_record(void)
{
	static const struct {
		enum cq_store_status status;
		enum cq_script_entry entry;
	} cases[] = {
		{ CQ_STORE_CONFLICT, CQ_SCRIPT_NO_ENTRY },
		{ CQ_STORE_OK, CQ_SCRIPT_FINISHED },
		{ CQ_STORE_UNAVAILABLE, CQ_SCRIPT_NO_ENTRY },
		{ CQ_STORE_UNKNOWN, CQ_SCRIPT_NO_ENTRY },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_store_call *old, *write;
		struct cq_script_world world;

		cq_script_world_init(&world);
		cq_script_load(&world, CQ_SCRIPT_CANCEL);
		cq_script_run(&world, 200);
		old = cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
					   CQ_SCRIPT_JOB_KEY);
		g_assert_nonnull(old);
		cq_script_answer(&world, CQ_SCRIPT_WATCH, "jobs/", CQ_STORE_OK,
				 CQ_SCRIPT_DELETED, 6);
		cq_script_answer(&world, CQ_SCRIPT_WATCH, "jobs/", CQ_STORE_OK,
				 CQ_SCRIPT_CANCEL, 7);
		cq_script_run(&world, 200);
		/* Answer the write of the first record. */
		cq_script_answer(&world, CQ_SCRIPT_PUT, CQ_SCRIPT_JOB_KEY,
				 cases[i].status, cases[i].entry, 6);
		g_assert_null(cq_script_store_find(&world.script, CQ_SCRIPT_GET,
						   CQ_SCRIPT_JOB_KEY));
		write = cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
					     CQ_SCRIPT_JOB_KEY);
		g_assert_nonnull(write);
		g_assert_cmpint(write->revision, ==, 7);
		/* The write of the second record is still in flight. */
		cq_script_answer(&world, CQ_SCRIPT_PUT, CQ_SCRIPT_JOB_KEY,
				 CQ_STORE_CONFLICT, CQ_SCRIPT_CANCEL, 8);
		cq_script_run(&world, 200);
		write = cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
					     CQ_SCRIPT_JOB_KEY);
		g_assert_nonnull(write);
		g_assert_cmpint(write->revision, ==, 8);
		cq_script_world_clear(&world);
	}
}

/*
 * Guards against the answer to a start of an earlier attempt, or under an
 * earlier epoch, that is taken for an answer to the current attempt.
 */
static void test_answer_for_old_attempt(void)
{
	struct cq_script_world world;
	guint epoch;

	for (epoch = 1; epoch <= 2; epoch++) {
		bool refused;

		cq_script_world_init(&world);
		cq_script_load(&world, CQ_SCRIPT_QUEUED);
		while (!cq_script_command(&world, "j.1.0")) {
			g_assert_cmpint(cq_script_now_ns(&world), <,
					60 * CQ_NS_PER_S);
			cq_script_run(&world, 100);
			cq_script_complete_write(&world);
		}
		/*
		 * The worker of the first attempt stops answering and is lost.
		 */
		world.silent = "worker:0";
		if (epoch == 2) {
			cq_controller_set_epoch(world.controller, 2,
						cq_script_now_ns(&world));
			cq_script_answer(&world, CQ_SCRIPT_LIST, "jobs/",
					 CQ_STORE_OK, CQ_SCRIPT_QUEUED, 50);
		}
		while (!cq_script_command(&world,
					  epoch == 1 ? "j.2.0" : "j.1.0") ||
		       (epoch == 2 && world.commands->len < 2)) {
			g_assert_cmpint(cq_script_now_ns(&world), <,
					120 * CQ_NS_PER_S);
			cq_script_run(&world, 100);
			cq_script_complete_write(&world);
		}
		/*
		 * Taken for the current attempt, a refusal would end it and a
		 * success would release it.
		 */
		refused = epoch == 1;
		cq_script_complete(&world, "j.1.0",
				   refused ? CQ_WORKER_ANSWER_REFUSED
					   : CQ_WORKER_ANSWER_OK);
		cq_script_run(&world, 500);
		g_assert_null(cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
						   CQ_SCRIPT_JOB_KEY));
		g_assert_cmpuint(world.commands->len, ==, 1);
		/*
		 * The current attempt continues with the answer to its own
		 * start.
		 */
		cq_script_complete(&world, epoch == 1 ? "j.2.0" : "j.1.0",
				   CQ_WORKER_ANSWER_OK);
		cq_script_run(&world, 200);
		g_assert_nonnull(cq_script_command(
			&world, epoch == 1 ? "j.2.0" : "j.1.0"));
		cq_script_world_clear(&world);
	}
}

/*
 * Guards against a report requested under an earlier epoch that counts for the
 * current epoch although it may predate the takeover.
 */
static void test_report_of_old_epoch(void)
{
	struct cq_script_world world;

	cq_script_world_init(&world);
	cq_script_load(&world, CQ_SCRIPT_QUEUED);
	world.hold = true;
	cq_script_run(&world, 100);
	g_assert_cmpuint(world.syncs->len, ==, 2);
	cq_controller_set_epoch(world.controller, 2, cq_script_now_ns(&world));
	cq_script_answer(&world, CQ_SCRIPT_LIST, "jobs/", CQ_STORE_OK,
			 CQ_SCRIPT_QUEUED, 5);
	cq_script_answer_syncs(&world);
	g_assert_false(cq_controller_settled(world.controller));
	world.hold = false;
	cq_script_run(&world, 200);
	g_assert_true(cq_controller_settled(world.controller));
	cq_script_world_clear(&world);
}

/* Guards against a new owner that ignores the stored run times. */
static void test_history_is_used(void)
{
	static const char three_ends[] =
		"{\"writer\":\"x\",\"sequence\":1,\"runs\":[[\"ws\",\"top\","
		"[[1,-1,7000],[2,-1,7000],[3,-1,7000]]]]}";
	static const struct {
		enum cq_store_status status;
		const char *value;
		int64_t predicted_ms;
	} cases[] = {
		{ CQ_STORE_OK, three_ends, 7000 },
		/* Without any run times the planner assumes ten minutes. */
		{ CQ_STORE_NOT_FOUND, NULL, 600000 },
		{ CQ_STORE_OK, "{", 600000 },
		{ CQ_STORE_UNAVAILABLE, NULL, 600000 },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_store_entry entry = { .key = "history/dc0",
						.value = cases[i].value,
						.revision = 3 };
		struct cq_store_result result = {
			.status = cases[i].status,
			.entries = &entry,
			.entry_count = cases[i].value != NULL,
		};
		struct cq_job_record started;
		struct cq_store_call *put;
		struct cq_script_world world;

		entry.value_len = cases[i].value ? strlen(cases[i].value) : 0;
		cq_script_world_init(&world);
		world.hold = true;
		cq_script_load(&world, CQ_SCRIPT_QUEUED);
		cq_script_run(&world, 100);
		cq_script_store_answer(&world.script,
				       cq_script_store_find(&world.script,
							    CQ_SCRIPT_GET,
							    "history/dc0"),
				       &result);
		world.hold = false;
		cq_script_run(&world, 500);
		put = cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
					   CQ_SCRIPT_JOB_KEY);
		g_assert_nonnull(put);
		g_assert_true(cq_job_record_parse(
			put->value, strlen(put->value), &started, NULL));
		g_assert_cmpint(started.expected_end_unix_ms -
					started.expected_start_unix_ms,
				==, cases[i].predicted_ms);
		cq_script_world_clear(&world);
	}
}

#define HISTORY_KEY "history/dc0"
#define HISTORY_INTERVAL_MS 300000

static void answer_history(struct cq_script_world *world,
			   enum cq_script_operation operation,
			   enum cq_store_status status, const char *value,
			   int64_t revision)
{
	struct cq_store_entry entry = { .key = HISTORY_KEY,
					.value = value,
					.value_len = value ? strlen(value) : 0,
					.revision = revision };
	struct cq_store_result result = { .status = status,
					  .revision = revision,
					  .entries = &entry,
					  .entry_count = revision != 0 };

	cq_script_store_answer(&world->script,
			       cq_script_store_find(&world->script, operation,
						    HISTORY_KEY),
			       &result);
}

static struct cq_store_call *history_put(struct cq_script_world *world)
{
	return cq_script_store_find(&world->script, CQ_SCRIPT_PUT, HISTORY_KEY);
}

/*
 * Guards against run times that are written without ownership, lost because the
 * job ended during a write, or written twice or not at all after a lost answer.
 */
static void test_history_writes(void)
{
	static const char other[] =
		"{\"writer\":\"x\",\"sequence\":1,\"runs\":[[\"other\",\"top\","
		"[[1,-1,7000]]]]}";
	enum found { OWN, OTHER, ABSENT, ANSWERED };
	static const struct {
		bool may;
		bool more;	  /* another job ends during the write */
		enum found found; /* what the read after a lost answer finds */
		/* revision that the next write expects; -1: no write */
		int64_t next;
	} cases[] = {
		{ false, false, ANSWERED, -1 }, { true, false, ANSWERED, -1 },
		{ true, true, ANSWERED, 9 },	{ true, false, OWN, -1 },
		{ true, true, OWN, 9 },		{ true, false, OTHER, 9 },
		{ true, false, ABSENT, 0 },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_script_world world;
		struct cq_store_call *put;
		char *value;

		g_test_message("case %u", i);
		cq_script_world_init(&world);
		cq_script_load(&world, CQ_SCRIPT_NO_ENTRY);
		cq_script_run(&world, 100);
		answer_history(&world, CQ_SCRIPT_GET, CQ_STORE_NOT_FOUND, NULL,
			       0);
		cq_controller_history_add(world.controller, "ws", "top", -1,
					  7000);
		world.may = cases[i].may;
		cq_script_run(&world, HISTORY_INTERVAL_MS - 1000);
		g_assert_null(history_put(&world));
		cq_script_run(&world, 2000);
		put = history_put(&world);
		g_assert_cmpint(put != NULL, ==, cases[i].may);
		if (!put) {
			cq_script_world_clear(&world);
			continue;
		}
		value = g_strdup(put->value);
		if (cases[i].more)
			cq_controller_history_add(world.controller, "ws", "top",
						  -1, 8000);
		answer_history(&world, CQ_SCRIPT_PUT,
			       cases[i].found == ANSWERED ? CQ_STORE_OK
							  : CQ_STORE_UNKNOWN,
			       NULL, cases[i].found == ANSWERED ? 9 : 0);
		if (cases[i].found != ANSWERED) {
			cq_script_run(&world, 6000);
			g_assert_null(history_put(&world));
			answer_history(&world, CQ_SCRIPT_GET,
				       cases[i].found == ABSENT
					       ? CQ_STORE_NOT_FOUND
					       : CQ_STORE_OK,
				       cases[i].found == OWN	 ? value
				       : cases[i].found == OTHER ? other
								 : NULL,
				       cases[i].found == ABSENT ? 0 : 9);
		}
		cq_script_run(&world, HISTORY_INTERVAL_MS + 1000);
		put = history_put(&world);
		g_assert_cmpint(put ? put->revision : -1, ==, cases[i].next);
		g_assert_cmpint(put && strstr(put->value, ",8000]"), ==,
				cases[i].more);
		g_assert_cmpint(put && strstr(put->value, "other"), ==,
				cases[i].found == OTHER);
		g_free(value);
		cq_script_world_clear(&world);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller_store/write_needs_command",
			test_write_needs_command);
	g_test_add_func("/controller_store/conflict", test_conflict);
	g_test_add_func("/controller_store/answer_for_removed_record",
			test_answer_for_removed_record);
	g_test_add_func("/controller_store/answer_for_old_attempt",
			test_answer_for_old_attempt);
	g_test_add_func("/controller_store/report_of_old_epoch",
			test_report_of_old_epoch);
	g_test_add_func("/controller_store/history_is_used",
			test_history_is_used);
	g_test_add_func("/controller_store/history_writes",
			test_history_writes);
	return g_test_run();
}
