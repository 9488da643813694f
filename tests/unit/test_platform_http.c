/*
 * Tests of the HTTP adapter to the platform's workers against a scripted
 * server: the request that each call sends, and the result of each kind of
 * answer.
 */
#include <glib.h>
#include <string.h>

#include "tests/support/platform_fixture.h"
#include "tests/support/wait_for.h"

/*
 * Guards against a command that leaves after the permission to command has
 * ended: it was given in time, and the process was suspended, or a connection
 * was being opened, until the permission had run out. All commands are sent
 * twice, over a new connection and over a reused one.
 */
static void test_executor_forbidden(void)
{
	static const struct cq_executor_start start = {
		.task = "t.0.0.1", .run = 2, .spec = "s", .lease_end_ms = 9
	};
	static const struct cq_executor_heartbeat heartbeat = { 9, 0, 0 };
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	const struct cq_executor *e;
	struct platform_fixture f;
	int round, command;

	platform_fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	f.body = "{\"clockMs\":1}";
	for (round = 0; round < 2; round++) {
		for (command = 0; command < 4; command++) {
			f.requests = 0;
			if (command == 0)
				e->ops->start(e->self, &target, &start,
					      PLATFORM_CALL_TIMEOUT_MS,
					      platform_fixture_on_report, &f);
			else if (command == 1)
				e->ops->stop(e->self, &target, "t.0.0.1", 2,
					     PLATFORM_CALL_TIMEOUT_MS,
					     platform_fixture_on_report, &f);
			else if (command == 2)
				e->ops->pace(e->self, &target, "t.0.0.1", 2, 9,
					     PLATFORM_CALL_TIMEOUT_MS,
					     platform_fixture_on_report, &f);
			else
				e->ops->heartbeat(e->self, &target, &heartbeat,
						  PLATFORM_CALL_TIMEOUT_MS,
						  platform_fixture_on_report,
						  &f);
			f.forbidden = true;
			platform_fixture_await(&f);
			g_assert_cmpint(f.report.answer, ==,
					CQ_EXECUTOR_NOT_SENT);
			g_assert_cmpint(f.requests, ==, 0);
			f.forbidden = false;
		}
		e->ops->heartbeat(e->self, &target, &heartbeat,
				  PLATFORM_CALL_TIMEOUT_MS,
				  platform_fixture_on_report, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
	}
	platform_fixture_close(&f);
}

/* Guards against numbers of a worker that no type holds. */
static void test_executor_odd_numbers(void)
{
	static const struct cq_executor_heartbeat heartbeat = { 9, 0, 0 };
	static const char *const clocks[] = { "1e300", "-1", "\"5\"",
					      "99999999999999999999" };
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	const struct cq_executor *e;
	struct platform_fixture f;
	size_t i;

	platform_fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	for (i = 0; i < G_N_ELEMENTS(clocks); i++) {
		char *body = g_strdup_printf("{\"clockMs\":%s}", clocks[i]);

		f.body = body;
		e->ops->heartbeat(e->self, &target, &heartbeat,
				  PLATFORM_CALL_TIMEOUT_MS,
				  platform_fixture_on_report, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_UNKNOWN);
		g_free(body);
	}
	f.body = "{\"clockMs\":1,\"running\":[[\"a.0.0.1\",2,\"\",1e300,-7]]}";
	e->ops->heartbeat(e->self, &target, &heartbeat,
			  PLATFORM_CALL_TIMEOUT_MS, platform_fixture_on_report,
			  &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.lists, ==, "a.0.0.1 2  4294967295 0;");
	platform_fixture_close(&f);
}

static void test_executor_calls(void)
{
	struct platform_fixture f;
	const struct cq_executor *e;
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	const struct cq_executor_start start = {
		.task = "t.0.0.1",
		.run = 2,
		.spec = "s",
		.lease_end_ms = 486000,
		.checkpoint = "0bb8",
	};
	const struct cq_executor_heartbeat heartbeat = { 486000, 57, 1000 };

	platform_fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	f.body = "{\"clockMs\":482113,\"born\":17}";
	e->ops->start(e->self, &target, &start, PLATFORM_CALL_TIMEOUT_MS,
		      platform_fixture_on_report, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /run-start {\"task\":\"t.0.0.1\",\"run\":2,"
			"\"spec\":\"s\",\"deadlineMs\":486000,"
			"\"checkpoint\":\"0bb8\",\"fencingToken\":7} for i-1");
	g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
	g_assert_cmpint(f.report.clock_ms, ==, 482113);
	g_assert_cmpint(f.report.started_unix_ms, ==, 17);
	e->ops->stop(e->self, &target, "t.0.0.1", 2, PLATFORM_CALL_TIMEOUT_MS,
		     platform_fixture_on_report, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /run-stop {\"task\":\"t.0.0.1\",\"run\":2,"
			"\"fencingToken\":7} for i-1");
	e->ops->pace(e->self, &target, "t.0.0.1", 2, 40,
		     PLATFORM_CALL_TIMEOUT_MS, platform_fixture_on_report, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /pace {\"task\":\"t.0.0.1\",\"run\":2,"
			"\"percent\":40,\"fencingToken\":7} for i-1");
	f.body = "{\"clockMs\":1,\"running\":[[\"a.0.0.1\",2,\"0b\",41,7],"
		 "[5],[\"b.0.0.0\",1,\"\",100]],\"finished\":[[58,"
		 "\"a.0.0.9\",1,\"done\",\"\"],[59,\"x\",1,\"odd\",\"\"]]}";
	e->ops->heartbeat(e->self, &target, &heartbeat,
			  PLATFORM_CALL_TIMEOUT_MS, platform_fixture_on_report,
			  &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /hold {\"lastSeen\":57,\"deadlineMs\":486000,"
			"\"waitMs\":1000,\"fencingToken\":7} for i-1");
	/* Malformed rows are skipped; the other rows are reported. */
	g_assert_cmpstr(f.lists, ==,
			"a.0.0.1 2 0b 41 7;b.0.0.0 1  100 0;"
			"58 a.0.0.9 1 done ;");
	platform_fixture_close(&f);
}

/*
 * Guards against a list of ends that was cut at its limit and is taken for a
 * whole one: runs that it leaves out would be started again.
 */
static void test_executor_cut_list(void)
{
	static const struct {
		uint32_t ends;
		bool whole;
	} cases[] = { { 0, true }, { 499, true }, { 500, false } };
	const struct cq_executor_heartbeat heartbeat = { 486000, 57, 1000 };
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *body = g_string_new("{\"clockMs\":1,\"finished\":[");
		const struct cq_executor *e;
		struct platform_fixture f;
		uint32_t k;

		for (k = 0; k < cases[i].ends; k++)
			g_string_append_printf(
				body, "%s[%u,\"t.0.0.%u\",1,\"done\",\"\"]",
				k ? "," : "", 58 + k, k);
		g_string_append(body, "]}");
		platform_fixture_open(&f);
		e = cq_executor_http_get(f.executor);
		target.address = f.address;
		f.body = body->str;
		e->ops->heartbeat(e->self, &target, &heartbeat,
				  PLATFORM_CALL_TIMEOUT_MS,
				  platform_fixture_on_report, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
		g_assert_cmpuint(f.report.ended_count, ==, cases[i].ends);
		g_assert_cmpint(f.report.ended_whole, ==, cases[i].whole);
		platform_fixture_close(&f);
		g_string_free(body, TRUE);
	}
}

/*
 * Guards against lists that cannot be read as a whole and are taken for whole
 * ones: runs that they leave out would be started again.
 */
static void test_executor_odd_lists(void)
{
	static const struct {
		const char *lists;
		bool running_unreadable;
		bool ended_unreadable;
		size_t in_order; /* ends, if ended_unreadable */
		uint32_t odd_rows;
		const char *expected;
	} cases[] = {
		{ "\"running\":[],\"finished\":[]", false, false, 0, 0, "" },
		{ "\"finished\":[]", true, false, 0, 1, "" },
		{ "\"running\":{},\"finished\":[]", true, false, 0, 1, "" },
		{ "\"running\":[]", false, true, 0, 1, "" },
		{ "\"running\":[],\"finished\":{\"a\":1}", false, true, 0, 1,
		  "" },
		/* Rows that don't tell which run they are of */
		{ "\"running\":[[\"a\",1,\"\",1],[5]],\"finished\":[]", true,
		  false, 0, 1, "a 1  1 0;" },
		{ "\"running\":[[\"a\",4294967297,\"\",1]],\"finished\":[]",
		  true, false, 0, 1, "" },
		{ "\"running\":[[\"a\",-1,\"\",1],[\"\",1,\"\",1],7],"
		  "\"finished\":[]",
		  true, false, 0, 3, "" },
		/* A run is known without its checkpoint. */
		{ "\"running\":[[\"a\",1,null,1]],\"finished\":[]", false,
		  false, 0, 1, "a 1  1 0;" },
		{ "\"running\":[],\"finished\":[[7,\"a\",1,\"done\",null]]",
		  false, false, 0, 1, "7 a 1 done ;" },
		{ "\"running\":[],\"finished\":[[7,\"a\",1,\"done\"]]", false,
		  false, 0, 1, "7 a 1 done ;" },
		/* How a run ended, or which one, is not known. */
		{ "\"running\":[],\"finished\":[[7,\"a\",1,\"done\",\"\"],"
		  "[8,\"b\",1,\"odd\",\"\"],[9,\"c\",1,\"done\",\"\"]]",
		  false, true, 1, 1, "7 a 1 done ;9 c 1 done ;" },
		{ "\"running\":[],\"finished\":[[7,\"a\",1,\"done\",\"\"],"
		  "[8,\"b\",4294967296,\"done\",\"\"]]",
		  false, true, 1, 1, "7 a 1 done ;" },
		/* The number of an end is not known. */
		{ "\"running\":[],\"finished\":[[7,\"a\",1,\"done\",\"\"],"
		  "[99999999999,\"b\",1,\"done\",\"\"]]",
		  false, true, 1, 1, "7 a 1 done ;0 b 1 done ;" },
		{ "\"running\":[],\"finished\":[[7,\"a\",1,\"done\",\"\"],"
		  "[90,\"b\",1,\"done\",\"\"],[9,\"c\",1,\"done\",\"\"]]",
		  false, true, 1, 1, "7 a 1 done ;90 b 1 done ;9 c 1 done ;" },
	};
	static const struct cq_executor_heartbeat heartbeat = { 9, 0, 0 };
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	const struct cq_executor *e;
	struct platform_fixture f;
	size_t i;

	platform_fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *body =
			g_strdup_printf("{\"clockMs\":1,%s}", cases[i].lists);

		f.body = body;
		e->ops->heartbeat(e->self, &target, &heartbeat,
				  PLATFORM_CALL_TIMEOUT_MS,
				  platform_fixture_on_report, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
		g_assert_cmpstr(f.lists, ==, cases[i].expected);
		g_assert_cmpint(f.report.running_unreadable, ==,
				cases[i].running_unreadable);
		g_assert_cmpint(f.report.ended_unreadable, ==,
				cases[i].ended_unreadable);
		if (cases[i].ended_unreadable)
			g_assert_cmpuint(f.report.ended_in_order, ==,
					 cases[i].in_order);
		g_assert_cmpuint(f.report.odd_rows, ==, cases[i].odd_rows);
		g_free(body);
	}
	platform_fixture_close(&f);
}

/* Guards against a log line as long as the row that it names. */
static void test_executor_long_odd_row(void)
{
	static const struct cq_executor_heartbeat heartbeat = { 9, 0, 0 };
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	char *row = g_strnfill(100000, 'x');
	char *body = g_strdup_printf("{\"clockMs\":1,\"running\":[\"%s\"],"
				     "\"finished\":[]}",
				     row);
	const struct cq_executor *e;
	struct platform_fixture f;

	platform_fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	f.body = body;
	e->ops->heartbeat(e->self, &target, &heartbeat,
			  PLATFORM_CALL_TIMEOUT_MS, platform_fixture_on_report,
			  &f);
	platform_fixture_await(&f);
	g_assert_true(f.report.running_unreadable);
	g_assert_cmpuint(f.odd_row_len, >, 50);
	g_assert_cmpuint(f.odd_row_len, <, 200);
	platform_fixture_close(&f);
	g_free(body);
	g_free(row);
}

static void test_executor_answers(void)
{
	static const struct {
		uint32_t status;
		const char *body;
		enum cq_executor_answer expected;
	} cases[] = {
		{ 200, "{\"clockMs\":1}", CQ_EXECUTOR_OK },
		{ 200, "{}", CQ_EXECUTOR_UNKNOWN },
		{ 409, "{\"clockMs\":1,\"reason\":\"fence\"}",
		  CQ_EXECUTOR_FENCED },
		{ 409, "{\"reason\":\"old\"}", CQ_EXECUTOR_OLD_RUN },
		{ 409, "{\"reason\":\"late\"}", CQ_EXECUTOR_LEASE_EXPIRED },
		{ 409, "{\"reason\":\"room\"}", CQ_EXECUTOR_NO_CAPACITY },
		{ 409, "{\"reason\":\"ticket\"}", CQ_EXECUTOR_INVALID_TICKET },
		{ 409, "{\"reason\":\"odd\"}", CQ_EXECUTOR_INVALID },
		{ 400, "", CQ_EXECUTOR_INVALID },
		{ 421, "", CQ_EXECUTOR_OTHER_INCARNATION },
		{ 429, "", CQ_EXECUTOR_UNHEALTHY },
		{ 503, "", CQ_EXECUTOR_UNHEALTHY },
		{ 500, "", CQ_EXECUTOR_UNKNOWN },
	};
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	const struct cq_executor *e;
	struct platform_fixture f;
	size_t i;

	platform_fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f.status = cases[i].status;
		f.body = cases[i].body;
		e->ops->stop(e->self, &target, "t", 1, PLATFORM_CALL_TIMEOUT_MS,
			     platform_fixture_on_report, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.report.answer, ==, cases[i].expected);
	}
	f.silent = true;
	e->ops->stop(e->self, &target, "t", 1, PLATFORM_CALL_TIMEOUT_MS,
		     platform_fixture_on_report, &f);
	platform_fixture_await(&f);
	g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_UNKNOWN);
	target.address = "127.0.0.1:1";
	e->ops->stop(e->self, &target, "t", 1, PLATFORM_CALL_TIMEOUT_MS,
		     platform_fixture_on_report, &f);
	platform_fixture_await(&f);
	g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_NOT_SENT);
	platform_fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform_http/executor_calls", test_executor_calls);
	g_test_add_func("/platform/executor/forbidden",
			test_executor_forbidden);
	g_test_add_func("/platform/executor/odd_numbers",
			test_executor_odd_numbers);
	g_test_add_func("/platform_http/executor_odd_lists",
			test_executor_odd_lists);
	g_test_add_func("/platform_http/executor_long_odd_row",
			test_executor_long_odd_row);
	g_test_add_func("/platform_http/executor_answers",
			test_executor_answers);
	g_test_add_func("/platform_http/executor_cut_list",
			test_executor_cut_list);
	return g_test_run();
}
