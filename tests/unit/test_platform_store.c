/*
 * Tests of the HTTP adapter to the platform's store against a scripted server:
 * the request that each call sends, and the result of each kind of answer.
 */
#include <glib.h>
#include <string.h>

#include "tests/support/platform_fixture.h"
#include "tests/support/wait_for.h"

static void test_store_calls(void)
{
	struct platform_fixture f;
	const struct cq_store_check checks[] = { { "a", 4 }, { "b", 0 } };
	const struct cq_store_put puts[] = { { "a", "one", 77 } };
	const char *const deletes[] = { "b" };
	const struct cq_store_txn txn = {
		checks, 2, puts, 1, deletes, 1,
	};
	const struct cq_store *s;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	f.body = "{\"key\":\"my/x\",\"value\":\"b25l\",\"revision\":412,"
		 "\"created\":1,\"lease\":77,\"atRev\":530}";
	s->ops->get(s->self, "my/x", PLATFORM_CALL_TIMEOUT_MS,
		    platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==, "GET /kv-key key=my/x ");
	g_assert_cmpstr(f.entries, ==, "my/x=one@412,77;");
	f.body = "{\"events\":[{\"key\":\"m/a\",\"value\":\"b25l\","
		 "\"revision\":5},{\"key\":\"m/b\",\"revision\":6,"
		 "\"deleted\":true}],\"atRev\":6}";
	s->ops->watch(s->self, "m/", 4, 100, platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==, "GET /kv-watch prefix=m/ after=4 ");
	g_assert_cmpstr(f.entries, ==, "m/a=one@5,0;m/b=-@6,0;");
	g_assert_cmpint(f.result.revision, ==, 6);
	f.body = "{\"revision\":9}";
	s->ops->commit(s->self, &txn, PLATFORM_CALL_TIMEOUT_MS,
		       platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(
		f.sent, ==,
		"POST /kv-txn {\"expect\":[{\"key\":\"a\",\"revision\":4},"
		"{\"key\":\"b\",\"revision\":0}],\"puts\":[{\"key\":\"a\","
		"\"value\":\"b25l\",\"lease\":77}],\"deletes\":[\"b\"]}");
	g_assert_cmpint(f.result.revision, ==, 9);
	f.body = "{\"lease\":5,\"ttlMs\":1000}";
	s->ops->lease_grant(s->self, 1000, PLATFORM_CALL_TIMEOUT_MS,
			    platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==, "POST /kv-lease {\"ttlMs\":1000}");
	g_assert_cmpint(f.result.lease_id, ==, 5);
	s->ops->lease_keepalive(s->self, 5, PLATFORM_CALL_TIMEOUT_MS,
				platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==, "POST /kv-keep/5 {}");
	s->ops->lease_revoke(s->self, 5, PLATFORM_CALL_TIMEOUT_MS,
			     platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==, "DELETE /kv-lease-end/5 ");
	platform_fixture_close(&f);
}

/* Guards against a watch that reads more than its caller asked for. */
static void test_store_limited_watch(void)
{
	struct platform_fixture f;
	const struct cq_store *s;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	f.body = "{\"events\":[{\"key\":\"m/a\",\"value\":\"b25l\","
		 "\"revision\":5}],\"atRev\":6}";
	s->ops->watch_limited(s->self, "m/", 4, 100, strlen(f.body),
			      platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpint(f.result.status, ==, CQ_STORE_OK);
	g_assert_cmpstr(f.entries, ==, "m/a=one@5,0;");
	s->ops->watch_limited(s->self, "m/", 4, 100, strlen(f.body) / 2,
			      platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpint(f.result.status, ==, CQ_STORE_TOO_LARGE);
	g_assert_cmpstr(f.entries, ==, "");
	platform_fixture_close(&f);
}

/* Guards against a list with missing pages or a later page's revision. */
static void test_store_pages(void)
{
	struct platform_fixture f;
	const struct cq_store *s;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	f.body = "{\"items\":[{\"key\":\"m/a\",\"value\":\"b25l\","
		 "\"revision\":5}],\"hasMore\":true,\"atRev\":9}";
	f.second_body = "{\"items\":[{\"key\":\"m/b\",\"value\":\"b25l\","
			"\"revision\":10}],\"hasMore\":false,\"atRev\":12}";
	s->ops->list(s->self, "m/", PLATFORM_CALL_TIMEOUT_MS,
		     platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpstr(f.sent, ==, "GET /kv-range prefix=m/ after=m/a ");
	g_assert_cmpstr(f.entries, ==, "m/a=one@5,0;m/b=one@10,0;");
	g_assert_cmpint(f.result.revision, ==, 9);
	g_assert_cmpint(f.requests, ==, 2);
	platform_fixture_close(&f);
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
	struct platform_fixture f;
	const struct cq_store *s;
	size_t i;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f.body = cases[i].body;
		if (cases[i].watch)
			s->ops->watch(s->self, "m/", 4, 100,
				      platform_fixture_on_result, &f);
		else
			s->ops->list(s->self, "m/", PLATFORM_CALL_TIMEOUT_MS,
				     platform_fixture_on_result, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.result.status, ==, cases[i].expected);
		if (cases[i].entries)
			g_assert_cmpstr(f.entries, ==, cases[i].entries);
	}
	g_assert_cmpint(f.requests, ==, (int)G_N_ELEMENTS(cases) + 1);
	platform_fixture_close(&f);
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
	struct platform_fixture f;
	const struct cq_store *s;
	size_t i;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		f.status = cases[i].status;
		f.body = cases[i].body;
		s->ops->put(s->self, "a", "x", 0, 0, PLATFORM_CALL_TIMEOUT_MS,
			    platform_fixture_on_result, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.result.status, ==, cases[i].expected);
	}
	f.silent = true;
	s->ops->put(s->self, "a", "x", 0, 0, PLATFORM_CALL_TIMEOUT_MS,
		    platform_fixture_on_result, &f);
	platform_fixture_await(&f);
	g_assert_cmpint(f.result.status, ==, CQ_STORE_UNKNOWN);
	platform_fixture_close(&f);
}

static void test_store_cancel(void)
{
	struct platform_fixture f;
	const struct cq_store *s;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	f.silent = true;
	s->ops->cancel(s->self,
		       s->ops->get(s->self, "a", PLATFORM_CALL_TIMEOUT_MS,
				   platform_fixture_on_result, &f));
	run_loop_iterations(f.loop, 20);
	g_assert_false(f.done);
	platform_fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform_store/store_calls", test_store_calls);
	g_test_add_func("/platform_store/store_pages", test_store_pages);
	g_test_add_func("/platform_store/store_limited_watch",
			test_store_limited_watch);
	g_test_add_func("/platform_store/store_odd_lists",
			test_store_odd_lists);
	g_test_add_func("/platform_store/store_answers", test_store_answers);
	g_test_add_func("/platform_store/store_cancel", test_store_cancel);
	return g_test_run();
}
