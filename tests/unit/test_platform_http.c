/*
 * Tests of the HTTP adapters to the platform against a scripted HTTP server:
 * the request that each call sends, and the result of each kind of answer.
 */
#include <ev.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/http_client.h"
#include "chestnutquay/http_server.h"
#include "platform/executor_http.h"
#include "platform/kv_store.h"
#include "tests/support/wait_for.h"

#define CALL_TIMEOUT_MS 300

struct fixture {
	struct ev_loop *loop;
	struct cq_http_server *server;
	struct cq_http_client *client;
	struct cq_kv_store *kv;
	struct cq_executor_http *executor;
	char address[32];
	/* The server's answer, and the last request it received. */
	uint32_t status;
	const char *body;
	const char *second_body; /* of all later answers; NULL: body */
	bool silent;		 /* never answer */
	char *sent;
	int requests;
	/* The result passed to the completion. */
	bool done;
	bool forbidden; /* commands may not be sent */
	struct cq_store_result result;
	char *entries;
	struct cq_executor_report report;
	char *lists;
	size_t odd_row_len;
};

static void on_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct fixture *f = ctx;
	const char *after = cq_http_exchange_query(exchange, "after");
	const char *key = cq_http_exchange_query(exchange, "key");
	const char *prefix = cq_http_exchange_query(exchange, "prefix");
	const char *expected =
		cq_http_exchange_header(exchange, "X-Expect-Instance");
	size_t len;

	f->requests++;
	g_free(f->sent);
	f->sent = g_strdup_printf(
		"%s %s%s%s%s%s%s%s %s%s%s", cq_http_exchange_method(exchange),
		cq_http_exchange_path(exchange), key ? " key=" : "",
		key ? key : "", prefix ? " prefix=" : "", prefix ? prefix : "",
		after ? " after=" : "", after ? after : "",
		cq_http_exchange_body(exchange, &len), expected ? " for " : "",
		expected ? expected : "");
	if (f->silent)
		return;
	cq_http_exchange_respond_json(exchange, f->status, f->body);
	if (f->second_body)
		f->body = f->second_body;
}

static bool may_send(void *ctx)
{
	const struct fixture *f = ctx;

	return !f->forbidden;
}

static void fixture_open(struct fixture *f)
{
	static const struct cq_http_server_handler handler = { on_request,
							       NULL };
	struct cq_http_server_options options;

	*f = (struct fixture){ .loop = ev_loop_new(0), .status = 200 };
	cq_http_server_options_init(&options, "127.0.0.1", 0);
	f->server = cq_http_server_create(f->loop, &options, &handler, f, NULL);
	g_assert_nonnull(f->server);
	g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
		   cq_http_server_port(f->server));
	f->client = cq_http_client_create(f->loop, 4, 4);
	f->kv = cq_kv_store_create(f->client, f->address);
	f->executor = cq_executor_http_create(f->client, may_send, f);
}

static void fixture_close(struct fixture *f)
{
	cq_kv_store_destroy(f->kv);
	cq_executor_http_destroy(f->executor);
	cq_http_client_destroy(f->client);
	cq_http_server_destroy(f->server);
	ev_loop_destroy(f->loop);
	g_free(f->sent);
	g_free(f->entries);
	g_free(f->lists);
}

static void on_result(void *ctx, const struct cq_store_result *result)
{
	struct fixture *f = ctx;
	GString *text = g_string_new("");
	size_t i;

	f->done = true;
	f->result = *result;
	for (i = 0; i < result->entry_count; i++)
		g_string_append_printf(text, "%s=%s@%d,%d;",
				       result->entries[i].key,
				       result->entries[i].value
					       ? result->entries[i].value
					       : "-",
				       (int)result->entries[i].revision,
				       (int)result->entries[i].lease_id);
	g_free(f->entries);
	f->entries = g_string_free(text, FALSE);
}

static void on_report(void *ctx, const struct cq_executor_report *report)
{
	struct fixture *f = ctx;
	GString *text = g_string_new("");
	size_t i;

	f->done = true;
	f->report = *report;
	f->odd_row_len = report->odd_row ? strlen(report->odd_row) : 0;
	for (i = 0; i < report->running_count; i++)
		g_string_append_printf(
			text, "%s %u %s %u %u;", report->running[i].task,
			report->running[i].run, report->running[i].checkpoint,
			report->running[i].percent, report->running[i].load);
	for (i = 0; i < report->ended_count; i++)
		g_string_append_printf(
			text, "%d %s %u %s %s;", (int)report->ended[i].number,
			report->ended[i].task, report->ended[i].run,
			cq_run_end_string(report->ended[i].outcome),
			report->ended[i].checkpoint);
	g_free(f->lists);
	f->lists = g_string_free(text, FALSE);
}

static bool is_done(void *ctx)
{
	return ((struct fixture *)ctx)->done;
}

static void await(struct fixture *f)
{
	g_assert_true(wait_for(f->loop, is_done, f));
	f->done = false;
}

static const struct cq_store *store_of(struct fixture *f)
{
	return cq_kv_store_get(f->kv);
}

static void test_store_calls(void)
{
	struct fixture f;
	const struct cq_store_check checks[] = { { "a", 4 }, { "b", 0 } };
	const struct cq_store_put puts[] = { { "a", "one", 77 } };
	const char *const deletes[] = { "b" };
	const struct cq_store_txn txn = {
		checks, 2, puts, 1, deletes, 1,
	};
	const struct cq_store *s;

	fixture_open(&f);
	s = store_of(&f);
	f.body = "{\"key\":\"my/x\",\"value\":\"b25l\",\"revision\":412,"
		 "\"created\":1,\"lease\":77,\"atRev\":530}";
	s->ops->get(s->self, "my/x", CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==, "GET /kv-key key=my/x ");
	g_assert_cmpstr(f.entries, ==, "my/x=one@412,77;");
	f.body = "{\"events\":[{\"key\":\"m/a\",\"value\":\"b25l\","
		 "\"revision\":5},{\"key\":\"m/b\",\"revision\":6,"
		 "\"deleted\":true}],\"atRev\":6}";
	s->ops->watch(s->self, "m/", 4, 100, on_result, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==, "GET /kv-watch prefix=m/ after=4 ");
	g_assert_cmpstr(f.entries, ==, "m/a=one@5,0;m/b=-@6,0;");
	g_assert_cmpint(f.result.revision, ==, 6);
	f.body = "{\"revision\":9}";
	s->ops->commit(s->self, &txn, CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpstr(
		f.sent, ==,
		"POST /kv-txn {\"expect\":[{\"key\":\"a\",\"revision\":4},"
		"{\"key\":\"b\",\"revision\":0}],\"puts\":[{\"key\":\"a\","
		"\"value\":\"b25l\",\"lease\":77}],\"deletes\":[\"b\"]}");
	g_assert_cmpint(f.result.revision, ==, 9);
	f.body = "{\"lease\":5,\"ttlMs\":1000}";
	s->ops->lease_grant(s->self, 1000, CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==, "POST /kv-lease {\"ttlMs\":1000}");
	g_assert_cmpint(f.result.lease_id, ==, 5);
	s->ops->lease_keepalive(s->self, 5, CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==, "POST /kv-keep/5 {}");
	s->ops->lease_revoke(s->self, 5, CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==, "DELETE /kv-lease-end/5 ");
	fixture_close(&f);
}

/* Guards against a list with missing pages or a later page's revision. */
static void test_store_pages(void)
{
	struct fixture f;
	const struct cq_store *s;

	fixture_open(&f);
	s = store_of(&f);
	f.body = "{\"items\":[{\"key\":\"m/a\",\"value\":\"b25l\","
		 "\"revision\":5}],\"hasMore\":true,\"atRev\":9}";
	f.second_body = "{\"items\":[{\"key\":\"m/b\",\"value\":\"b25l\","
			"\"revision\":10}],\"hasMore\":false,\"atRev\":12}";
	s->ops->list(s->self, "m/", CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==, "GET /kv-range prefix=m/ after=m/a ");
	g_assert_cmpstr(f.entries, ==, "m/a=one@5,0;m/b=one@10,0;");
	g_assert_cmpint(f.result.revision, ==, 9);
	g_assert_cmpint(f.requests, ==, 2);
	fixture_close(&f);
}

/*
 * Guards against an answer without a whole list that is taken for a list that
 * is empty or ends there: jobs, keys and workers would be taken for gone.
 */
static void test_store_odd_lists(void)
{
	static const struct {
		bool watch;
		const char *body;
		enum cq_store_status expected;
		const char *entries; /* NULL: of no matter */
	} cases[] = {
		{ false, "{\"items\":[],\"hasMore\":false,\"atRev\":9}",
		  CQ_STORE_OK, "" },
		{ false, "{\"atRev\":9}", CQ_STORE_UNKNOWN, NULL },
		{ false, "{\"items\":{},\"hasMore\":false,\"atRev\":9}",
		  CQ_STORE_UNKNOWN, NULL },
		{ false, "{\"items\":[],\"atRev\":9}", CQ_STORE_UNKNOWN, NULL },
		{ false, "{\"items\":[],\"hasMore\":1,\"atRev\":9}",
		  CQ_STORE_UNKNOWN, NULL },
		{ false, "{\"items\":[],\"hasMore\":true,\"atRev\":9}",
		  CQ_STORE_UNKNOWN, NULL },
		{ false, "{\"items\":[],\"hasMore\":false}", CQ_STORE_UNKNOWN,
		  NULL },
		/* The second page is the first one again. */
		{ false,
		  "{\"items\":[{\"key\":\"m/a\",\"value\":\"b25l\","
		  "\"revision\":5}],\"hasMore\":true,\"atRev\":9}",
		  CQ_STORE_UNKNOWN, NULL },
		/* A key without a value is a key that is there. */
		{ false,
		  "{\"items\":[{\"key\":\"m/a\",\"revision\":5}],"
		  "\"hasMore\":false,\"atRev\":9}",
		  CQ_STORE_OK, "m/a=@5,0;" },
		{ true, "{\"events\":[],\"atRev\":9}", CQ_STORE_OK, "" },
		{ true, "{\"atRev\":9}", CQ_STORE_UNKNOWN, NULL },
		{ true, "{\"events\":null,\"atRev\":9}", CQ_STORE_UNKNOWN,
		  NULL },
		{ true,
		  "{\"events\":[{\"key\":\"m/a\",\"value\":7,"
		  "\"revision\":5}],\"atRev\":9}",
		  CQ_STORE_OK, "m/a=@5,0;" },
	};
	struct fixture f;
	const struct cq_store *s;
	size_t i;

	fixture_open(&f);
	s = store_of(&f);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f.body = cases[i].body;
		if (cases[i].watch)
			s->ops->watch(s->self, "m/", 4, 100, on_result, &f);
		else
			s->ops->list(s->self, "m/", CALL_TIMEOUT_MS, on_result,
				     &f);
		await(&f);
		g_assert_cmpint(f.result.status, ==, cases[i].expected);
		if (cases[i].entries)
			g_assert_cmpstr(f.entries, ==, cases[i].entries);
	}
	g_assert_cmpint(f.requests, ==, (int)G_N_ELEMENTS(cases) + 1);
	fixture_close(&f);
}

static void test_store_answers(void)
{
	static const struct {
		uint32_t status;
		const char *body;
		enum cq_store_status expected;
	} cases[] = {
		{ 200, "{\"revision\":3}", CQ_STORE_OK },
		{ 200, "{}", CQ_STORE_UNKNOWN },
		{ 200, "nonsense", CQ_STORE_UNKNOWN },
		{ 412, "{\"items\":[]}", CQ_STORE_CONFLICT },
		{ 404, "", CQ_STORE_NOT_FOUND },
		{ 410, "", CQ_STORE_COMPACTED },
		{ 429, "", CQ_STORE_UNAVAILABLE },
		{ 503, "", CQ_STORE_UNAVAILABLE },
		{ 403, "", CQ_STORE_INVALID },
		{ 500, "", CQ_STORE_UNKNOWN },
	};
	struct fixture f;
	const struct cq_store *s;
	size_t i;

	fixture_open(&f);
	s = store_of(&f);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f.status = cases[i].status;
		f.body = cases[i].body;
		s->ops->put(s->self, "a", "x", 0, 0, CALL_TIMEOUT_MS, on_result,
			    &f);
		await(&f);
		g_assert_cmpint(f.result.status, ==, cases[i].expected);
	}
	f.silent = true;
	s->ops->put(s->self, "a", "x", 0, 0, CALL_TIMEOUT_MS, on_result, &f);
	await(&f);
	g_assert_cmpint(f.result.status, ==, CQ_STORE_UNKNOWN);
	fixture_close(&f);
}

static void test_store_cancel(void)
{
	struct fixture f;
	const struct cq_store *s;

	fixture_open(&f);
	s = store_of(&f);
	f.silent = true;
	s->ops->cancel(s->self, s->ops->get(s->self, "a", CALL_TIMEOUT_MS,
					    on_result, &f));
	run_loop_iterations(f.loop, 20);
	g_assert_false(f.done);
	fixture_close(&f);
}

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
	struct fixture f;
	int round, command;

	fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	f.body = "{\"clockMs\":1}";
	for (round = 0; round < 2; round++) {
		for (command = 0; command < 4; command++) {
			f.requests = 0;
			if (command == 0)
				e->ops->start(e->self, &target, &start,
					      CALL_TIMEOUT_MS, on_report, &f);
			else if (command == 1)
				e->ops->stop(e->self, &target, "t.0.0.1", 2,
					     CALL_TIMEOUT_MS, on_report, &f);
			else if (command == 2)
				e->ops->pace(e->self, &target, "t.0.0.1", 2, 9,
					     CALL_TIMEOUT_MS, on_report, &f);
			else
				e->ops->heartbeat(e->self, &target, &heartbeat,
						  CALL_TIMEOUT_MS, on_report,
						  &f);
			f.forbidden = true;
			await(&f);
			g_assert_cmpint(f.report.answer, ==,
					CQ_EXECUTOR_NOT_SENT);
			g_assert_cmpint(f.requests, ==, 0);
			f.forbidden = false;
		}
		e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
				  on_report, &f);
		await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
	}
	fixture_close(&f);
}

/* Guards against numbers of a worker that no type holds. */
static void test_executor_odd_numbers(void)
{
	static const struct cq_executor_heartbeat heartbeat = { 9, 0, 0 };
	static const char *const clocks[] = { "1e300", "-1", "\"5\"",
					      "99999999999999999999" };
	struct cq_executor_target target = { .id = "i-1", .fencing_token = 7 };
	const struct cq_executor *e;
	struct fixture f;
	size_t i;

	fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	for (i = 0; i < G_N_ELEMENTS(clocks); i++) {
		char *body = g_strdup_printf("{\"clockMs\":%s}", clocks[i]);

		f.body = body;
		e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
				  on_report, &f);
		await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_UNKNOWN);
		g_free(body);
	}
	f.body = "{\"clockMs\":1,\"running\":[[\"a.0.0.1\",2,\"\",1e300,-7]]}";
	e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
			  on_report, &f);
	await(&f);
	g_assert_cmpstr(f.lists, ==, "a.0.0.1 2  4294967295 0;");
	fixture_close(&f);
}

static void test_executor_calls(void)
{
	struct fixture f;
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

	fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	f.body = "{\"clockMs\":482113,\"born\":17}";
	e->ops->start(e->self, &target, &start, CALL_TIMEOUT_MS, on_report, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /run-start {\"task\":\"t.0.0.1\",\"run\":2,"
			"\"spec\":\"s\",\"deadlineMs\":486000,"
			"\"checkpoint\":\"0bb8\",\"fencingToken\":7} for i-1");
	g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
	g_assert_cmpint(f.report.clock_ms, ==, 482113);
	g_assert_cmpint(f.report.started_unix_ms, ==, 17);
	e->ops->stop(e->self, &target, "t.0.0.1", 2, CALL_TIMEOUT_MS, on_report,
		     &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /run-stop {\"task\":\"t.0.0.1\",\"run\":2,"
			"\"fencingToken\":7} for i-1");
	e->ops->pace(e->self, &target, "t.0.0.1", 2, 40, CALL_TIMEOUT_MS,
		     on_report, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /pace {\"task\":\"t.0.0.1\",\"run\":2,"
			"\"percent\":40,\"fencingToken\":7} for i-1");
	f.body = "{\"clockMs\":1,\"running\":[[\"a.0.0.1\",2,\"0b\",41,7],"
		 "[5],[\"b.0.0.0\",1,\"\",100]],\"finished\":[[58,"
		 "\"a.0.0.9\",1,\"done\",\"\"],[59,\"x\",1,\"odd\",\"\"]]}";
	e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
			  on_report, &f);
	await(&f);
	g_assert_cmpstr(f.sent, ==,
			"POST /hold {\"lastSeen\":57,\"deadlineMs\":486000,"
			"\"waitMs\":1000,\"fencingToken\":7} for i-1");
	/* Malformed rows are skipped; the other rows are reported. */
	g_assert_cmpstr(f.lists, ==,
			"a.0.0.1 2 0b 41 7;b.0.0.0 1  100 0;"
			"58 a.0.0.9 1 done ;");
	fixture_close(&f);
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
		struct fixture f;
		uint32_t k;

		for (k = 0; k < cases[i].ends; k++)
			g_string_append_printf(
				body, "%s[%u,\"t.0.0.%u\",1,\"done\",\"\"]",
				k ? "," : "", 58 + k, k);
		g_string_append(body, "]}");
		fixture_open(&f);
		e = cq_executor_http_get(f.executor);
		target.address = f.address;
		f.body = body->str;
		e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
				  on_report, &f);
		await(&f);
		g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_OK);
		g_assert_cmpuint(f.report.ended_count, ==, cases[i].ends);
		g_assert_cmpint(f.report.ended_whole, ==, cases[i].whole);
		fixture_close(&f);
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
	struct fixture f;
	size_t i;

	fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *body =
			g_strdup_printf("{\"clockMs\":1,%s}", cases[i].lists);

		f.body = body;
		e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
				  on_report, &f);
		await(&f);
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
	fixture_close(&f);
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
	struct fixture f;

	fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	f.body = body;
	e->ops->heartbeat(e->self, &target, &heartbeat, CALL_TIMEOUT_MS,
			  on_report, &f);
	await(&f);
	g_assert_true(f.report.running_unreadable);
	g_assert_cmpuint(f.odd_row_len, >, 50);
	g_assert_cmpuint(f.odd_row_len, <, 200);
	fixture_close(&f);
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
	struct fixture f;
	size_t i;

	fixture_open(&f);
	e = cq_executor_http_get(f.executor);
	target.address = f.address;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f.status = cases[i].status;
		f.body = cases[i].body;
		e->ops->stop(e->self, &target, "t", 1, CALL_TIMEOUT_MS,
			     on_report, &f);
		await(&f);
		g_assert_cmpint(f.report.answer, ==, cases[i].expected);
	}
	f.silent = true;
	e->ops->stop(e->self, &target, "t", 1, CALL_TIMEOUT_MS, on_report, &f);
	await(&f);
	g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_UNKNOWN);
	target.address = "127.0.0.1:1";
	e->ops->stop(e->self, &target, "t", 1, CALL_TIMEOUT_MS, on_report, &f);
	await(&f);
	g_assert_cmpint(f.report.answer, ==, CQ_EXECUTOR_NOT_SENT);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform_http/store_calls", test_store_calls);
	g_test_add_func("/platform_http/store_pages", test_store_pages);
	g_test_add_func("/platform_http/store_odd_lists", test_store_odd_lists);
	g_test_add_func("/platform_http/store_answers", test_store_answers);
	g_test_add_func("/platform_http/store_cancel", test_store_cancel);
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
