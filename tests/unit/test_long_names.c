/*
 * Names from outside may have any length and any characters. Guards against
 * names that are cut to fit a field: a cut inside a character made a record
 * that could not be encoded and ended every process that read it (review/6),
 * two names that share a beginning became one, and a document with a long name
 * was refused as a whole, so that keys that were taken away went on working.
 */
#include <ev.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/gateway.h"
#include "chestnutquay/pool.h"
#include "platform/documents.h"
#include "tests/support/mem_store.h"
#include "tests/support/platform_fixture.h"
#include "tests/support/wait_for.h"

#define ID "00000000000000ab"
/* 57 bytes in UTF-8, and 80 with the rest of the name */
#define SHORT_NAME "શ્રી અંબિકા ગરબા મંડળ"
#define LONG_NAME SHORT_NAME ", અમદાવાદ"
#define TEN "0123456789"
#define SIXTY TEN TEN TEN TEN TEN TEN

#define TENANT(name, key)                            \
	"{\"name\":\"" name "\",\"apiKeys\":[\"" key \
	"\"],\"guaranteed\":{\"gpus\":8}}"
#define ROUTE(name, prefix)                                          \
	"{\"name\":\"" name "\",\"host\":\"h\",\"prefix\":\"" prefix \
	"\",\"service\":\"" LONG_NAME "\"}"
#define CONFIG(routes, tenants)                                               \
	"{\"version\":7,\"routes\":[" routes "],\"services\":[{"              \
	"\"name\":\"" LONG_NAME "\",\"standby\":true}],\"tenants\":[" tenants \
	"]}"

static struct cq_queue_config *parse_config(const char *json)
{
	return cq_platform_config_parse(json, strlen(json), NULL);
}

static void test_config(void)
{
	struct cq_queue_config *c = parse_config(CONFIG(
		ROUTE(SIXTY TEN "a", "/a/") "," ROUTE(
			SIXTY TEN "b", "/" SIXTY SIXTY SIXTY SIXTY SIXTY "/"),
		TENANT(SIXTY TEN "a", "ka") "," TENANT(SIXTY TEN "b", "kb")));
	const struct cq_queue *queue;

	g_assert_nonnull(c);
	queue = cq_queue_config_match(c, "h",
				      "/" SIXTY SIXTY SIXTY SIXTY SIXTY "/" ID);
	g_assert_nonnull(queue);
	g_assert_cmpstr(queue->name, ==, SIXTY TEN "b");
	g_assert_cmpstr(queue->service, ==, LONG_NAME);
	g_assert_cmpstr(c->services[0].name, ==, LONG_NAME);
	/* Two names of 63 bytes and more with the same beginning. */
	g_assert_true(cq_queue_config_workspace_of_key(c, "kb") ==
		      cq_queue_config_workspace(c, SIXTY TEN "b"));
	g_assert_true(cq_queue_config_find(c, SIXTY TEN "b") == queue);
	cq_queue_config_destroy(c);
}

/*
 * A part that cannot be read keeps nothing else out of force: not the key that
 * was taken away, nor the route that was added.
 */
static void test_unreadable_parts(void)
{
	static const struct {
		const char *name, *json;
		uint32_t ignored, queues, workspaces;
	} cases[] = {
		{ "whole", CONFIG(ROUTE("r", "/a/"), TENANT("t", "k")), 0, 1,
		  1 },
		{ "route without a name",
		  CONFIG("{\"host\":\"h\"}," ROUTE("r", "/a/"),
			 TENANT("t", "k")),
		  1, 1, 1 },
		{ "name of another type",
		  CONFIG("{\"name\":[\"r\"]}," ROUTE("r", "/a/"),
			 TENANT("t", "k")),
		  1, 1, 1 },
		{ "name with a NUL character",
		  CONFIG(ROUTE("r\\u0000x", "/b/") "," ROUTE("r", "/a/"),
			 TENANT("t", "k")),
		  1, 1, 1 },
		{ "number out of range",
		  CONFIG("{\"name\":\"q\",\"priority\":-1}," ROUTE("r", "/a/"),
			 TENANT("t", "k")),
		  1, 2, 1 },
		{ "tenant without a text as its name",
		  CONFIG(ROUTE("r", "/a/"),
			 "{\"name\":7,\"apiKeys\":[\"k7\"]}," TENANT("t", "k")),
		  1, 1, 1 },
		{ "key that is no text",
		  CONFIG(ROUTE("r", "/a/"),
			 "{\"name\":\"u\",\"apiKeys\":[7,\"k7\"]}," TENANT(
				 "t", "k")),
		  1, 1, 2 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_queue_config *c = parse_config(cases[i].json);

		g_test_message("%s", cases[i].name);
		g_assert_nonnull(c);
		g_assert_cmpuint(c->ignored_parts, ==, cases[i].ignored);
		g_assert_true(!c->ignored_parts ==
			      !c->ignored_error.message[0]);
		g_assert_cmpuint(c->queue_count, ==, cases[i].queues);
		g_assert_cmpuint(c->workspace_count, ==, cases[i].workspaces);
		g_assert_nonnull(cq_queue_config_find(c, "r"));
		g_assert_nonnull(cq_queue_config_workspace_of_key(c, "k"));
		cq_queue_config_destroy(c);
	}
}

/* More labels than a worker usually has, and longer ones */
static void test_listing(void)
{
	static const char json[] =
		"{\"service\":\"" LONG_NAME "\",\"address\":\"10.0.0.9:80\","
		"\"zone\":\"" LONG_NAME "\",\"state\":\"ready\","
		"\"capacity\":{\"cpu\":1,\"memMb\":1,\"gpus\":1},\"labels\":["
		"\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\","
		"\"" SIXTY TEN "a\",\"r1-3\"]}";
	struct cq_executor_registration l;
	struct cq_pool *pool = cq_pool_create();
	struct cq_pool_worker *worker;

	g_assert_true(cq_platform_registration_parse(SIXTY TEN, json,
						     strlen(json), &l, NULL));
	worker = cq_pool_add(pool, l.id);
	cq_pool_update(worker, &l);
	cq_executor_registration_clear(&l);
	g_assert_cmpstr(worker->listing.service, ==, LONG_NAME);
	g_assert_cmpstr(worker->listing.data_centre, ==, LONG_NAME);
	g_assert_cmpstr(worker->rack->name, ==, "r1-3");
	g_assert_true(cq_pool_has_label(worker, SIXTY TEN "a"));
	g_assert_false(cq_pool_has_label(worker, SIXTY TEN "b"));
	g_assert_true(cq_pool_find(pool, SIXTY TEN) == worker);
	cq_pool_destroy(pool);
}

struct answer {
	bool done;
	struct cq_gateway_answer answer;
};

static void on_answer(void *call, const struct cq_gateway_answer *answer)
{
	struct answer *a = call;

	a->done = true;
	a->answer = *answer;
}

static bool is_answered(void *ctx)
{
	return ((struct answer *)ctx)->done;
}

static bool is_reachable(void *ctx)
{
	(void)ctx;
	return true;
}

/* The record of a job has its names whole, and the next host can read it. */
static void test_job(void)
{
	static const char job[] =
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"image\":\"" LONG_NAME
		"\",\"requiredLabel\":\"" LONG_NAME
		"\",\"dataRack\":\"" SIXTY TEN "\"}]}";
	struct ev_loop *loop = ev_loop_new(0);
	struct mem_store *store = mem_store_create(loop);
	struct cq_gateway_options options = {
		.loop = loop,
		.clock = cq_clock_system(),
		.metrics = cq_metrics_create(),
		.store_timeout_ms = 100,
		.store_reachable = is_reachable,
	};
	struct cq_gateway *g =
		cq_gateway_create(&options, mem_store_get(store));
	struct cq_queue_config *config = parse_config(
		CONFIG(ROUTE(LONG_NAME, "/a/"), TENANT(LONG_NAME, "secret")));
	const struct cq_gateway_request request = {
		.verb = CQ_GATEWAY_SUBMIT,
		.authority = "h",
		.path = "/a/" ID,
		.key = "secret",
		.workload =
			cq_platform_submission_parse(job, strlen(job), NULL),
	};
	struct answer a = { 0 };
	struct cq_workload *w;
	const char *record;

	g_assert_nonnull(config);
	g_assert_nonnull(request.workload);
	cq_gateway_set_config(g, config);
	cq_gateway_serve(g, &request, on_answer, &a);
	g_assert_true(wait_for(loop, is_answered, &a));
	g_assert_cmpint(a.answer.result, ==, CQ_GATEWAY_ACCEPTED);
	record = mem_store_read(store, CQ_KEY_WORKLOADS ID);
	w = cq_workload_parse(record, strlen(record), NULL);
	g_assert_cmpstr(w->workspace, ==, LONG_NAME);
	g_assert_cmpstr(w->queue, ==, LONG_NAME);
	g_assert_cmpstr(w->steps[0].image, ==, LONG_NAME);
	g_assert_cmpstr(w->steps[0].required_label, ==, LONG_NAME);
	g_assert_cmpstr(w->steps[0].data_rack, ==, SIXTY TEN);
	cq_workload_destroy(w);
	cq_gateway_destroy(g);
	cq_queue_config_destroy(config);
	mem_store_destroy(store);
	cq_metrics_destroy(options.metrics);
	ev_loop_destroy(loop);
}

/*
 * A transaction that cannot be written is not sent at all: without the check or
 * the record that cannot be encoded it would be another one.
 */
static void test_unencodable_transaction(void)
{
	static const struct cq_store_check checks[] = {
		{ "cut\xe0\xaa", 4 },
		{ "a", 4 },
	};
	static const struct cq_store_put puts[] = {
		{ "b", "1", 0 },
		{ "cut\xe0\xaa", "1", 0 },
		{ "a", NULL, 0 },
	};
	static const char *const deletes[] = { "cut\xe0\xaa" };
	static const struct cq_store_txn txns[] = {
		{ &checks[0], 1, &puts[0], 1, NULL, 0 },
		{ &checks[1], 1, &puts[1], 1, NULL, 0 },
		{ &checks[1], 1, &puts[2], 1, NULL, 0 },
		{ &checks[1], 1, NULL, 0, deletes, 1 },
	};
	struct platform_fixture f;
	const struct cq_store *s;
	size_t i;

	platform_fixture_open(&f);
	s = platform_fixture_store(&f);
	f.body = "{\"revision\":9}";
	for (i = 0; i < G_N_ELEMENTS(txns); i++) {
		s->ops->commit(s->self, &txns[i], PLATFORM_CALL_TIMEOUT_MS,
			       platform_fixture_on_result, &f);
		platform_fixture_await(&f);
		g_assert_cmpint(f.result.status, ==, CQ_STORE_INVALID);
	}
	g_assert_cmpint(f.requests, ==, 0);
	platform_fixture_close(&f);
}

/* A message that is cut to its buffer stays text that can be encoded. */
static void test_error_message(void)
{
	struct cq_error err = CQ_ERROR_INIT;
	guint shift;

	for (shift = 0; shift < 3; shift++) {
		char *longest = g_strnfill(shift, 'x');
		char *text = g_strconcat(longest, LONG_NAME, LONG_NAME,
					 LONG_NAME, LONG_NAME, NULL);

		cq_error_set(&err, CQ_ERROR_STATE, CQ_ERR_INVALID, "%s", text);
		g_assert_true(g_utf8_validate(err.message, -1, NULL));
		g_assert_true(g_str_has_prefix(text, err.message));
		cq_error_wrap(&err, CQ_ERROR_PROGRAM, "%s", text);
		g_assert_true(g_utf8_validate(err.message, -1, NULL));
		g_free(text);
		g_free(longest);
	}
	cq_error_set(&err, CQ_ERROR_STATE, CQ_ERR_INVALID, "a\xff\xfe b");
	g_assert_cmpstr(err.message, ==, "a?? b");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/long_names/config", test_config);
	g_test_add_func("/long_names/unreadable_parts", test_unreadable_parts);
	g_test_add_func("/long_names/listing", test_listing);
	g_test_add_func("/long_names/job", test_job);
	g_test_add_func("/long_names/unencodable_transaction",
			test_unencodable_transaction);
	g_test_add_func("/long_names/error_message", test_error_message);
	return g_test_run();
}
