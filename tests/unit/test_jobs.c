/* Job records: JSON codec, checks, transitions, ids; fleet state. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/fleet_state.h"
#include "chestnutquay/jobs.h"

static const char complete[] =
	"{\"id\":\"j1\",\"workspace\":\"w\",\"class\":\"top\",\"tasks\":4,"
	"\"adjacency\":\"rack\",\"accelerators\":8,\"cpu_millicores\":1000,"
	"\"memory_bytes\":1000000,\"expected_ms\":5000,"
	"\"can_checkpoint\":true,\"state\":\"running\",\"attempt\":2,"
	"\"epoch\":7,\"submitted_unix_ms\":1000,\"done_ms\":250,"
	"\"restore_attempt\":1,\"moves\":3,\"moved_to\":\"b\","
	"\"failed_workers\":[\"w1\",\"w2\"],\"writer\":\"a0\","
	"\"sequence\":12,\"reason\":\"because \\\"so\\\"\","
	"\"later_field\":1}";

/* Guards against a field that a write to the store loses or changes. */
static void test_round_trip(void)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_job_record first;
	struct cq_job_record second;
	char *text;

	g_assert_true(
		cq_job_record_parse(complete, strlen(complete), &first, &err));
	g_assert_cmpstr(err.message, ==, "");
	g_assert_cmpint(first.phase, ==, CQ_PHASE_RUNNING);
	g_assert_cmpint(first.adjacency, ==, CQ_ADJACENT_RACK);
	g_assert_cmpuint(first.failed_worker_count, ==, 2);
	g_assert_cmpstr(first.reason, ==, "because \"so\"");
	g_assert_cmpint(first.ended_unix_ms, ==, -1);
	text = cq_job_record_format(&first);
	g_assert_true(cq_job_record_parse(text, strlen(text), &second, &err));
	g_assert_cmpmem(&first, sizeof(first), &second, sizeof(second));
	free(text);
}

#define DECLARED                                                    \
	"\"workspace\":\"w\",\"class\":\"top\",\"accelerators\":8," \
	"\"cpu_millicores\":1,\"memory_bytes\":1"

/* Guards against a bad submission that is accepted or refused without saying
 * which field is wrong, its value and the allowed range. */
static void test_submission_table(void)
{
	static const struct {
		const char *json;
		const char *message; /* NULL: accepted */
	} cases[] = {
		{ "{" DECLARED "}", NULL },
		{ "{" DECLARED ",\"tasks\":64,\"adjacency\":\"data-centre\"}",
		  NULL },
		{ "{" DECLARED ",\"tasks\":0}",
		  "tasks: 0 is not allowed (an integer from 1 to 64)" },
		{ "{" DECLARED ",\"tasks\":65}",
		  "tasks: 65 is not allowed (an integer from 1 to 64)" },
		{ "{" DECLARED ",\"tasks\":\"4\"}",
		  "tasks: \"4\" is not allowed (an integer from 1 to 64)" },
		{ "{" DECLARED ",\"tasks\":1.5}",
		  "tasks: 1.5 is not allowed (an integer from 1 to 64)" },
		{ "{" DECLARED ",\"adjacency\":\"near\"}",
		  "adjacency: \"near\" is not allowed (worker, rack or "
		  "data-centre)" },
		{ "{" DECLARED ",\"can_checkpoint\":1}",
		  "can_checkpoint: 1 is not allowed (true or false)" },
		{ "{" DECLARED ",\"state\":\"finished\"}",
		  "state: unknown field" },
		{ "{" DECLARED ",\"attempt\":3}", "attempt: unknown field" },
		{ "{" DECLARED ",\"colour\":\"red\"}",
		  "colour: unknown field" },
		{ "{\"class\":\"top\",\"accelerators\":8,"
		  "\"cpu_millicores\":1,\"memory_bytes\":1}",
		  "workspace: nothing is not allowed (required)" },
		{ "{\"workspace\":\"a/b\",\"class\":\"top\","
		  "\"accelerators\":8,\"cpu_millicores\":1,"
		  "\"memory_bytes\":1}",
		  "workspace: \"a/b\" is not allowed (letters, digits, '-', "
		  "'_' and '.')" },
		{ "{" DECLARED ",\"accelerators\":1}",
		  "the job is not a JSON object: duplicate object key" },
		{ "[]", "the job is not a JSON object: another type" },
		{ "", "the job is not a JSON object: '[' or '{' expected near "
		      "end of file" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_error err = CQ_ERROR_INIT;
		struct cq_job_record record;
		bool ok = cq_job_submission_parse(
			cases[i].json, strlen(cases[i].json), &record, &err);

		g_test_message("%s", cases[i].json);
		g_assert_cmpint(ok, ==, !cases[i].message);
		if (cases[i].message &&
		    !g_str_has_prefix(err.message, cases[i].message))
			g_assert_cmpstr(err.message, ==, cases[i].message);
	}
}

/* Guards against a record of an ended job that comes back to life. */
static void test_transitions(void)
{
	/* By row: from; by column: to; in the order of the enum. */
	static const char allowed[CQ_PHASE_COUNT][CQ_PHASE_COUNT + 1] = {
		[CQ_PHASE_QUEUED] = ".x..x.xx",
		[CQ_PHASE_STARTING] = "x.xx.xxx",
		[CQ_PHASE_RUNNING] = "x..x.xxx",
		[CQ_PHASE_CHECKPOINTED] = ".x..x.xx",
		[CQ_PHASE_MOVING] = "x..x...x",
		[CQ_PHASE_FINISHED] = "........",
		[CQ_PHASE_FAILED] = "........",
		[CQ_PHASE_CANCELLED] = "........",
	};
	int from;
	int to;

	for (from = 0; from < CQ_PHASE_COUNT; from++)
		for (to = 0; to < CQ_PHASE_COUNT; to++) {
			enum cq_job_phase a = (enum cq_job_phase)from;
			enum cq_job_phase b = (enum cq_job_phase)to;

			g_test_message("%s to %s", cq_job_phase_string(a),
				       cq_job_phase_string(b));
			g_assert_cmpint(cq_job_phase_may_follow(a, b), ==,
					allowed[from][to] == 'x');
		}
	for (from = 0; from < CQ_PHASE_COUNT; from++) {
		enum cq_job_phase parsed;

		g_assert_true(cq_job_phase_parse(
			cq_job_phase_string((enum cq_job_phase)from), &parsed));
		g_assert_cmpint(parsed, ==, from);
	}
}

/*
 * Guards against an idempotency key that gives two ids, and against ids that
 * change their home when another data centre goes out of service.
 */
static void test_ids(void)
{
	static const char *const all[] = { "a", "b", "c", "d" };
	static const char *const less[] = { "d", "b", "a" };
	uint32_t homes[4] = { 0 };
	uint32_t moved = 0;
	char id[CQ_JOB_ID_BYTES];
	char again[CQ_JOB_ID_BYTES];
	uint32_t i;

	cq_job_id_from_key("w", "k", id);
	cq_job_id_from_key("w", "k", again);
	g_assert_cmpstr(id, ==, again);
	cq_job_id_from_key("w2", "k", again);
	g_assert_cmpstr(id, !=, again);
	for (i = 0; i < 4000; i++) {
		char *key = g_strdup_printf("key %u", i);
		uint32_t home;

		cq_job_id_from_key("w", key, id);
		home = cq_job_home(id, all, 4);
		homes[home]++;
		if (home != 2 &&
		    strcmp(all[home], less[cq_job_home(id, less, 3)]) != 0)
			moved++;
		g_free(key);
	}
	g_assert_cmpuint(moved, ==, 0);
	/* An even spread is 1000 each. */
	for (i = 0; i < 4; i++)
		g_assert_cmpuint(homes[i], >, 800);
}

struct seen {
	uint32_t present, absent;
	char last[CQ_JOB_TASK_ID_BYTES];
};

static void on_changed(void *ctx, const struct cq_task_status *task,
		       bool present, int64_t sent_ns)
{
	struct seen *seen = ctx;

	(void)sent_ns;
	seen->present += present;
	seen->absent += !present;
	g_strlcpy(seen->last, task->id, sizeof(seen->last));
}

/*
 * Guards against tasks of a restarted worker that still count, and against
 * reports in part that are taken for complete.
 */
static void test_fleet_reports(void)
{
	struct seen seen = { 0 };
	struct cq_fleet_state *fleet = cq_fleet_state_create(on_changed, &seen);
	struct cq_worker_task tasks[2] = {
		{ .task_id = "j.1.0",
		  .job_id = "j",
		  .attempt = 1,
		  .gang_size = 2,
		  .workspace = "w",
		  .class_name = "c",
		  .state = CQ_TASK_RUNNING },
		{ .task_id = "j.1.1",
		  .job_id = "j",
		  .attempt = 1,
		  .rank = 1,
		  .gang_size = 2,
		  .workspace = "w",
		  .class_name = "c",
		  .state = CQ_TASK_RUNNING },
	};
	struct cq_worker_report report = { .boot_id = "b1",
					   .version = 2,
					   .accelerators = 8,
					   .tasks = tasks,
					   .task_count = 2 };
	uint32_t w = cq_fleet_state_list_worker(fleet, "w0", "1.2.3.4:5", "r");

	g_assert_cmpuint(cq_fleet_state_list_worker(fleet, "w0", "1.2.3.4:6",
						    "r"),
			 ==, w);
	g_assert_false(cq_fleet_state_report(fleet, w, &report, false, 1));
	g_assert_cmpuint(seen.present, ==, 0);
	g_assert_true(cq_fleet_state_report(fleet, w, &report, true, 1));
	g_assert_cmpuint(seen.present, ==, 2);
	g_assert_nonnull(cq_fleet_state_task(fleet, "j.1.1"));
	/* A report of changes says nothing about the other tasks. */
	report.task_count = 1;
	g_assert_true(cq_fleet_state_report(fleet, w, &report, false, 2));
	g_assert_cmpuint(seen.absent, ==, 0);
	/* Another boot has to be asked for everything. */
	report.boot_id = "b2";
	g_assert_false(cq_fleet_state_report(fleet, w, &report, false, 3));
	report.task_count = 0;
	g_assert_true(cq_fleet_state_report(fleet, w, &report, true, 4));
	g_assert_cmpuint(seen.absent, ==, 2);
	g_assert_null(cq_fleet_state_task(fleet, "j.1.0"));
	cq_fleet_state_destroy(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/jobs/round_trip", test_round_trip);
	g_test_add_func("/jobs/submission_table", test_submission_table);
	g_test_add_func("/jobs/transitions", test_transitions);
	g_test_add_func("/jobs/ids", test_ids);
	g_test_add_func("/jobs/fleet_reports", test_fleet_reports);
	return g_test_run();
}
