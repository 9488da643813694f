/*
 * Follows a key of the store over a link on which a document takes longer than
 * every timeout, and over connections that go silent.
 */
#include <ev.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/follower.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/store_http.h"
#include "platform/executor_http.h"
#include "platform/kv_store.h"
#include "tests/support/narrow_store.h"
#include "tests/support/wait_for.h"
#include "transport/http_progress.h"

#define WAIT_MS 100
#define LIST_TIMEOUT_MS 2500
#define LINK_BYTES_PER_S 400000U
#define FAST_BYTES_PER_S 125000000U
#define SMALL_BYTES 600
/* Takes two seconds on the link, as text of the answer. */
#define LARGE_BYTES 600000
#define VERSION_BYTES 150000
#define VERSIONS 8
#define NEVER_MS 600000
#define CALL_TIMEOUT_MS 1000

struct fixture {
	struct ev_loop *loop;
	struct narrow_store *server;
	struct cq_http_client *client;
	struct cq_kv_store *kv;
	struct cq_follower *follower;
	int64_t revision; /* of the newest value that was reported */
	size_t value_len;
	uint32_t changed;
	enum cq_store_status status;
	uint32_t running; /* runs in the answer of a worker */
	bool done;
};

struct runs_case {
	const char *path;
	uint32_t runs;
	uint32_t bytes_per_s;
	/* The connection goes silent after so many bytes; 0: never. */
	uint64_t silent_after;
};

static const struct runs_case runs_cases[] = {
	/* 600 kB, which take a second and a half */
	{ "/narrow_link/slow_runs", 10000, LINK_BYTES_PER_S, 0 },
	/* A thousandth of a core each, of 128 cores: 8 MB */
	{ "/narrow_link/many_runs", 128000, FAST_BYTES_PER_S, 0 },
	{ "/narrow_link/silent_worker", 10000, LINK_BYTES_PER_S, 200000 },
};

static void on_changed(void *ctx, const struct cq_store_entry *entry)
{
	struct fixture *f = ctx;

	g_assert_cmpint(entry->revision, >, f->revision);
	f->revision = entry->revision;
	f->value_len = entry->value_len;
	f->changed++;
}

static void on_removed(void *ctx, const char *key)
{
	(void)ctx;
	g_error("%s was reported as removed", key);
}

static const struct cq_follower_ops ops = {
	.changed = on_changed,
	.removed = on_removed,
};

static bool has_newest(void *ctx)
{
	const struct fixture *f = ctx;

	return f->revision == narrow_store_revision(f->server);
}

static bool is_done(void *ctx)
{
	return ((struct fixture *)ctx)->done;
}

static void open_store(struct fixture *f, uint32_t bytes_per_s)
{
	*f = (struct fixture){ .loop = ev_loop_new(0) };
	f->server = narrow_store_create(f->loop, bytes_per_s);
	f->client = cq_http_client_create(f->loop, 4, 4);
	f->kv = cq_kv_store_create(f->client, narrow_store_address(f->server));
}

static void fixture_open(struct fixture *f, size_t first_bytes)
{
	struct cq_follower_options options = {
		.clock = cq_clock_system(),
		.prefix = "op/",
		.wait_ms = WAIT_MS,
		.list_timeout_ms = LIST_TIMEOUT_MS,
	};

	open_store(f, LINK_BYTES_PER_S);
	narrow_store_write(f->server, first_bytes);
	options.loop = f->loop;
	f->follower =
		cq_follower_create(&options, cq_kv_store_get(f->kv), &ops, f);
	g_assert_true(wait_for(f->loop, has_newest, f));
	g_assert_cmpuint(f->value_len, ==, first_bytes);
}

static void fixture_close(struct fixture *f)
{
	cq_follower_destroy(f->follower);
	cq_kv_store_destroy(f->kv);
	cq_http_client_destroy(f->client);
	narrow_store_destroy(f->server);
	ev_loop_destroy(f->loop);
}

/*
 * Guards against CONFIG (review/7): a list and a watch whose transfer takes
 * longer than their timeouts were cut off, again and again.
 */
static void test_slow_transfer(void)
{
	struct fixture f;

	fixture_open(&f, LARGE_BYTES);
	narrow_store_write(f.server, LARGE_BYTES);
	g_assert_true(wait_for(f.loop, has_newest, &f));
	g_assert_cmpuint(f.value_len, ==, LARGE_BYTES);
	fixture_close(&f);
}

static bool transfer_began(void *ctx)
{
	const struct fixture *f = ctx;

	return narrow_store_sent_bytes(f->server) > LARGE_BYTES / 8;
}

/* Guards against a host that is not ready because a transfer takes long. */
static void test_contact_in_transfer(void)
{
	struct fixture f;
	int64_t contact_ns;

	fixture_open(&f, SMALL_BYTES);
	contact_ns = cq_follower_contact_ns(f.follower);
	narrow_store_write(f.server, LARGE_BYTES);
	g_assert_true(wait_for(f.loop, transfer_began, &f));
	g_assert_false(has_newest(&f));
	g_assert_cmpint(cq_follower_contact_ns(f.follower), >, contact_ns);
	fixture_close(&f);
}

/* Guards against a host that has no list from a slow link after a 410. */
static void test_slow_transfer_after_compaction(void)
{
	struct fixture f;

	fixture_open(&f, SMALL_BYTES);
	narrow_store_write(f.server, LARGE_BYTES);
	narrow_store_write(f.server, LARGE_BYTES);
	narrow_store_compact(f.server);
	g_assert_true(wait_for(f.loop, has_newest, &f));
	fixture_close(&f);
}

/* Guards against an answer that goes silent halfway and is waited for. */
static void test_silent_in_answer(void)
{
	struct fixture f;

	fixture_open(&f, LARGE_BYTES / 4);
	narrow_store_silence_after(f.server, LARGE_BYTES / 8);
	narrow_store_write(f.server, LARGE_BYTES / 4);
	g_assert_true(wait_for(f.loop, has_newest, &f));
	fixture_close(&f);
}

/* Guards against a watch on a silent connection that is waited for. */
static void test_silent_watch(void)
{
	struct fixture f;

	fixture_open(&f, SMALL_BYTES);
	narrow_store_silence(f.server);
	narrow_store_write(f.server, SMALL_BYTES);
	g_assert_true(wait_for(f.loop, has_newest, &f));
	fixture_close(&f);
}

/*
 * Guards against CONFIG of a host that was away: it received each version that
 * it had missed, one after the other, though it needs the newest one only.
 */
static void test_many_versions(void)
{
	struct fixture f;
	uint64_t before;
	int i;

	fixture_open(&f, VERSION_BYTES);
	before = narrow_store_sent_bytes(f.server);
	for (i = 0; i < VERSIONS; i++)
		narrow_store_write(f.server, VERSION_BYTES);
	g_assert_true(wait_for(f.loop, has_newest, &f));
	g_assert_cmpuint(f.changed, ==, 2);
	g_assert_cmpuint(narrow_store_sent_bytes(f.server) - before, <,
			 VERSION_BYTES * 3);
	fixture_close(&f);
}

static void on_result(void *ctx, const struct cq_store_result *result)
{
	struct fixture *f = ctx;

	f->status = result->status;
	f->done = true;
}

/*
 * Guards against a large record that a slow link takes longer than the timeout
 * to carry to the store, so that it is sent again and again.
 */
static void test_slow_upload(void)
{
	struct fixture f;
	const struct cq_store *store;
	char *value = g_strnfill(LARGE_BYTES, 'x');
	const struct cq_store_put put = { NARROW_STORE_KEY, value, 0 };
	const struct cq_store_txn txn = { .puts = &put, .put_count = 1 };

	open_store(&f, LINK_BYTES_PER_S);
	store = cq_kv_store_get(f.kv);
	store->ops->commit(store->self, &txn, LIST_TIMEOUT_MS / 2, on_result,
			   &f);
	g_assert_true(wait_for(f.loop, is_done, &f));
	g_assert_cmpint(f.status, ==, CQ_STORE_OK);
	g_assert_cmpuint(narrow_store_longest_body(f.server), >, LARGE_BYTES);
	g_free(value);
	fixture_close(&f);
}

/* The answer of a worker that runs so many tasks. */
static char *format_running(uint32_t count)
{
	GString *text = g_string_new("{\"clockMs\":1,\"running\":[");
	uint32_t i;

	for (i = 0; i < count; i++)
		g_string_append_printf(text,
				       "%s[\"5c0e7a21d94b36f8.0.0.%u\",1,"
				       "\"00000bb87a21d94b\",41,0]",
				       i ? "," : "", i);
	g_string_append(text, "],\"finished\":[]}");
	return g_string_free(text, FALSE);
}

static bool always(void *ctx)
{
	(void)ctx;
	return true;
}

static void on_report(void *ctx, const struct cq_executor_report *report)
{
	struct fixture *f = ctx;

	f->running = (uint32_t)report->running_count;
	f->done = true;
}

/*
 * Guards against a worker whose runs are given up (LOST, TWICE), since the list
 * of them is longer than a timeout or a buffer allows; and against a silent one
 * that is waited for.
 */
static void test_many_runs(gconstpointer data)
{
	static const struct cq_executor_heartbeat heartbeat = { 9, 0, 0 };
	const struct runs_case *c = data;
	struct cq_executor_target target = { .id = "i-1" };
	struct cq_executor_http *executor;
	struct fixture f;
	char *answer = format_running(c->runs);

	open_store(&f, c->bytes_per_s);
	narrow_store_set_answer(f.server, answer);
	if (c->silent_after)
		narrow_store_silence_after(f.server, c->silent_after);
	target.address = narrow_store_address(f.server);
	executor = cq_executor_http_create(f.client, always, &f);
	cq_executor_http_get(executor)->ops->heartbeat(
		cq_executor_http_get(executor)->self, &target, &heartbeat,
		CALL_TIMEOUT_MS, on_report, &f);
	g_assert_true(wait_for(f.loop, is_done, &f));
	g_assert_cmpuint(f.running, ==, c->silent_after ? 0 : c->runs);
	cq_executor_http_destroy(executor);
	g_free(answer);
	fixture_close(&f);
}

/* Guards against the same of the store of cq-entryd and cq-schedd. */
static void test_slow_list(void)
{
	struct fixture f;
	struct cq_store_http *http;
	const struct cq_store *store;
	char *value = g_strnfill(LARGE_BYTES, 'x');
	char *answer =
		g_strdup_printf("{\"revision\":9,\"entries\":[{\"key\":\"a/b\","
				"\"value\":\"%s\",\"revision\":7}]}",
				value);

	open_store(&f, LINK_BYTES_PER_S);
	narrow_store_set_answer(f.server, answer);
	http = cq_store_http_create(f.client, narrow_store_address(f.server));
	store = cq_store_http_get(http);
	store->ops->list(store->self, "a/", CALL_TIMEOUT_MS, on_result, &f);
	g_assert_true(wait_for(f.loop, is_done, &f));
	g_assert_cmpint(f.status, ==, CQ_STORE_OK);
	cq_store_http_destroy(http);
	g_free(answer);
	g_free(value);
	fixture_close(&f);
}

static void on_expired(void *ctx)
{
	((struct fixture *)ctx)->done = true;
}

/* Guards against silence in an answer that is measured by the first limit. */
static void test_limits(void)
{
	struct fixture f = { .loop = ev_loop_new(0) };
	struct http_progress *p =
		http_progress_create(f.loop, NEVER_MS, 1, on_expired, &f);

	g_assert_false(http_progress_receiving(p));
	run_loop_iterations(f.loop, 5);
	g_assert_false(f.done);
	http_progress_received(p);
	g_assert_true(http_progress_receiving(p));
	g_assert_true(wait_for(f.loop, is_done, &f));
	http_progress_destroy(p);
	ev_loop_destroy(f.loop);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(runs_cases); i++)
		g_test_add_data_func(runs_cases[i].path, &runs_cases[i],
				     test_many_runs);
	g_test_add_func("/narrow_link/limits", test_limits);
	g_test_add_func("/narrow_link/slow_transfer", test_slow_transfer);
	g_test_add_func("/narrow_link/contact_in_transfer",
			test_contact_in_transfer);
	g_test_add_func("/narrow_link/slow_transfer_after_compaction",
			test_slow_transfer_after_compaction);
	g_test_add_func("/narrow_link/many_versions", test_many_versions);
	g_test_add_func("/narrow_link/slow_upload", test_slow_upload);
	g_test_add_func("/narrow_link/slow_list", test_slow_list);
	g_test_add_func("/narrow_link/silent_in_answer", test_silent_in_answer);
	g_test_add_func("/narrow_link/silent_watch", test_silent_watch);
	return g_test_run();
}
