/*
 * Tests of the HTTP adapter to the platform's workers against cq-fake-worker,
 * which runs as a separate process on loopback.
 */
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <string.h>
#include <sys/types.h>
#include <sys/wait.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/worker.h"

#define ADDRESS "127.0.22.60:7400"
#define SECOND "127.0.22.60:7401"
#define CONTROL "http://127.0.22.60:7300"
/* Time limit of a wait for a condition; a test that reaches it fails. */
#define WAIT_LIMIT_S 10.0
#define CALL_MS 2000
#define LEASE_MS 600000

struct fixture {
	struct ev_loop *loop;
	struct cq_http_client *client;
	struct cq_worker_http *http;
	const struct cq_worker *worker;
	GPid pid;
	uint32_t done;
	enum cq_worker_answer answer;
	char boot_id[64];
	uint64_t version;
	uint32_t accelerators;
	uint32_t task_count;
	struct cq_worker_task task; /* first task of the last report; its
				       strings are invalid */
	char task_id[64];
	char *body;
};

static void on_wait_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	g_error("time limit of the wait reached");
}

static void run_until_done(struct fixture *f)
{
	ev_timer limit;

	ev_timer_init(&limit, on_wait_limit, WAIT_LIMIT_S, 0.);
	ev_timer_start(f->loop, &limit);
	f->done = 0;
	while (!f->done)
		ev_run(f->loop, EVRUN_ONCE);
	ev_timer_stop(f->loop, &limit);
}

static void on_done(void *ctx, enum cq_worker_answer answer,
		    const char *message)
{
	struct fixture *f = ctx;

	(void)message;
	f->done++;
	f->answer = answer;
}

static void on_sync(void *ctx, enum cq_worker_answer answer,
		    const struct cq_worker_report *report)
{
	struct fixture *f = ctx;

	f->done++;
	f->answer = answer;
	f->task_count = 0;
	if (!report)
		return;
	g_strlcpy(f->boot_id, report->boot_id, sizeof(f->boot_id));
	f->version = report->version;
	f->accelerators = report->accelerators;
	f->task_count = report->task_count;
	if (!report->task_count)
		return;
	f->task = report->tasks[0];
	g_strlcpy(f->task_id, f->task.task_id, sizeof(f->task_id));
}

static void on_http(void *ctx, const struct cq_http_result *result)
{
	struct fixture *f = ctx;

	f->done++;
	g_free(f->body);
	f->body = g_strndup(result->body ? result->body : "", result->body_len);
}

static void control(struct fixture *f, const char *method, const char *path,
		    const char *body)
{
	char *url = g_strconcat(CONTROL, path, NULL);
	struct cq_http_request request = { .method = method,
					   .url = url,
					   .body = body,
					   .body_len = body ? strlen(body) : 0,
					   .connect_timeout_ms = 1000,
					   .timeout_ms = 5000,
					   .max_answer_bytes = 1U << 20 };

	cq_http_client_send(f->client, &request, on_http, f);
	run_until_done(f);
	g_free(url);
}

static void setup(struct fixture *f, gconstpointer data)
{
	const char *build = g_getenv("CQ_BUILD");
	char *program = g_build_filename(build ? build : "build", "bin",
					 "cq-fake-worker", NULL);
	const char *argv[] = { program,
			       "--listen",
			       ADDRESS,
			       "--control",
			       "127.0.22.60:7300",
			       "--data-centres",
			       "a",
			       "--count",
			       "2",
			       "--checkpoint-ms",
			       "20",
			       "--usage-lag-ms",
			       "0",
			       NULL };
	GError *error = NULL;
	GIOChannel *channel;
	char *line = NULL;
	int output;

	(void)data;
	g_spawn_async_with_pipes(NULL, (char **)argv, NULL,
				 G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &f->pid,
				 NULL, &output, NULL, &error);
	g_assert_no_error(error);
	/* It prints its first line once it listens. */
	channel = g_io_channel_unix_new(output);
	g_io_channel_read_line(channel, &line, NULL, NULL, NULL);
	g_assert_nonnull(line);
	g_assert_true(g_str_has_prefix(line, "workers: 2"));
	g_free(line);
	g_io_channel_shutdown(channel, FALSE, NULL);
	g_io_channel_unref(channel);
	g_free(program);
	f->loop = ev_loop_new(0);
	f->client = cq_http_client_create(f->loop, 4, 4);
	f->http = cq_worker_http_create(f->client);
	f->worker = cq_worker_http_get(f->http);
}

static void teardown(struct fixture *f, gconstpointer data)
{
	(void)data;
	cq_worker_http_destroy(f->http);
	cq_http_client_destroy(f->client);
	ev_loop_destroy(f->loop);
	kill(f->pid, SIGTERM);
	waitpid(f->pid, NULL, 0);
	g_spawn_close_pid(f->pid);
	g_free(f->body);
}

static enum cq_worker_answer start_at(struct fixture *f, const char *address,
				      const char *id, int64_t epoch,
				      uint32_t throttle, int64_t expected_ms,
				      int64_t valid_ms)
{
	struct cq_worker_start start = {
		.task_id = id,
		.job_id = "j1",
		.attempt = 1,
		.rank = 1,
		.gang_size = 2,
		.workspace = "w",
		.class_name = "top",
		.epoch = epoch,
		.not_after_unix_ms =
			cq_clock_unix_ms(cq_clock_system()) + valid_ms,
		.lease_ms = LEASE_MS,
		.throttle_pct = throttle,
		.cpu_millicores = 100000000,
		.memory_bytes = UINT64_C(1) << 60,
		.accelerator_mask = UINT64_C(0x8000000000000003),
		.cell = 77,
		.restore_from = "",
		.expected_ms = expected_ms,
	};

	f->worker->ops->start(f->worker->self, address, &start, CALL_MS,
			      on_done, f);
	run_until_done(f);
	return f->answer;
}

static enum cq_worker_answer sync_with(struct fixture *f, int64_t epoch,
				       const char *renew, uint64_t since)
{
	struct cq_worker_sync sync = { .epoch = epoch,
				       .lease_ms = LEASE_MS,
				       .renew = &renew,
				       .renew_count = renew ? 1 : 0,
				       .since_version = since };

	f->worker->ops->sync(f->worker->self, ADDRESS, &sync, CALL_MS, on_sync,
			     f);
	run_until_done(f);
	return f->answer;
}

static enum cq_worker_answer throttle(struct fixture *f, const char *id,
				      int64_t epoch, uint32_t percent)
{
	f->worker->ops->throttle(f->worker->self, ADDRESS, id, epoch, percent,
				 CALL_MS, on_done, f);
	run_until_done(f);
	return f->answer;
}

/* Guards against task fields or states lost in commands or reports. */
static void test_task_lifecycle(struct fixture *f, gconstpointer data)
{
	uint64_t since;

	(void)data;
	g_assert_cmpint(sync_with(f, 5, NULL, 0), ==, CQ_WORKER_ANSWER_OK);
	g_assert_cmpstr(f->boot_id, ==, "a-w0-0");
	g_assert_cmpuint(f->accelerators, ==, 8);
	g_assert_cmpuint(f->task_count, ==, 0);
	/* The worker starts a task even if it exceeds its capacity. */
	g_assert_cmpint(start_at(f, ADDRESS, "j1.1.1", 5, 0, 600000, 5000), ==,
			CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(sync_with(f, 5, "j1.1.1", 0), ==, CQ_WORKER_ANSWER_OK);
	g_assert_cmpuint(f->task_count, ==, 1);
	g_assert_cmpstr(f->task_id, ==, "j1.1.1");
	g_assert_cmpint(f->task.state, ==, CQ_TASK_HELD);
	g_assert_cmpuint(f->task.rank, ==, 1);
	g_assert_cmpuint(f->task.gang_size, ==, 2);
	g_assert_cmpuint(f->task.attempt, ==, 1);
	g_assert_cmpuint(f->task.cell, ==, 77);
	g_assert_cmpint(f->task.epoch, ==, 5);
	g_assert_cmphex(f->task.accelerator_mask, ==,
			UINT64_C(0x8000000000000003));
	g_assert_cmpint(f->task.checkpoint_ms, ==, -1);
	since = f->version;
	sync_with(f, 5, NULL, since);
	g_assert_cmpuint(f->task_count, ==, 0);
	g_assert_cmpint(throttle(f, "j1.1.1", 5, 100), ==, CQ_WORKER_ANSWER_OK);
	sync_with(f, 5, NULL, since);
	g_assert_cmpuint(f->task_count, ==, 1);
	g_assert_cmpint(f->task.state, ==, CQ_TASK_RUNNING);
	f->worker->ops->checkpoint(f->worker->self, ADDRESS, "j1.1.1", 5,
				   CALL_MS, on_done, f);
	run_until_done(f);
	g_assert_cmpint(f->answer, ==, CQ_WORKER_ANSWER_OK);
	do
		sync_with(f, 5, NULL, 0);
	while (f->task.state == CQ_TASK_CHECKPOINTING);
	g_assert_cmpint(f->task.checkpoint_ms, >=, 0);
	f->worker->ops->stop(f->worker->self, ADDRESS, "j1.1.1", 5, CALL_MS,
			     on_done, f);
	run_until_done(f);
	g_assert_cmpint(f->answer, ==, CQ_WORKER_ANSWER_OK);
	sync_with(f, 5, NULL, 0);
	g_assert_cmpint(f->task.state, ==, CQ_TASK_STOPPED);
	f->worker->ops->stop(f->worker->self, ADDRESS, "j1.1.1", 5, CALL_MS,
			     on_done, f);
	run_until_done(f);
	g_assert_cmpint(f->answer, ==, CQ_WORKER_ANSWER_NOT_FOUND);
}

/* Guards against executing commands of an old owner or late starts. */
static void test_refusals(struct fixture *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(start_at(f, ADDRESS, "j1.1.0", 5, 100, 600000, 5000),
			==, CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(sync_with(f, 6, NULL, 0), ==, CQ_WORKER_ANSWER_OK);
	g_assert_cmpint(start_at(f, ADDRESS, "j1.1.1", 5, 100, 600000, 5000),
			==, CQ_WORKER_ANSWER_STALE);
	g_assert_cmpint(throttle(f, "j1.1.0", 5, 50), ==,
			CQ_WORKER_ANSWER_STALE);
	g_assert_cmpint(sync_with(f, 5, "j1.1.0", 0), ==,
			CQ_WORKER_ANSWER_STALE);
	g_assert_cmpint(start_at(f, ADDRESS, "j1.1.1", 6, 100, 600000, -1), ==,
			CQ_WORKER_ANSWER_STALE);
	sync_with(f, 6, NULL, 0);
	g_assert_cmpuint(f->task_count, ==, 1);
	control(f, "GET", "/v1/stats", NULL);
	g_assert_nonnull(strstr(f->body, "\"refused_stale\":4"));
}

/* Guards against running a task twice after a repeated start. */
static void test_repeated_start(struct fixture *f, gconstpointer data)
{
	json_t *stats;

	(void)data;
	start_at(f, ADDRESS, "j1.1.0", 5, 100, 1, 5000);
	do
		sync_with(f, 5, NULL, 0);
	while (f->task.state != CQ_TASK_FINISHED);
	g_assert_cmpint(start_at(f, ADDRESS, "j1.1.0", 5, 100, 1, 5000), ==,
			CQ_WORKER_ANSWER_OK);
	sync_with(f, 5, NULL, 0);
	g_assert_cmpint(f->task.state, ==, CQ_TASK_FINISHED);
	control(f, "GET", "/v1/stats", NULL);
	stats = json_loads(f->body, 0, NULL);
	g_assert_cmpuint(json_array_size(json_object_get(stats, "starts")), ==,
			 1);
	json_decref(stats);
}

/* Guards against a definite answer for a call whose outcome is unknown. */
static void test_outcomes(struct fixture *f, gconstpointer data)
{
	(void)data;
	g_assert_cmpint(start_at(f, "127.0.22.60:7499", "j1.1.0", 5, 0, 1,
				 5000),
			==, CQ_WORKER_ANSWER_UNAVAILABLE);
	g_assert_cmpint(throttle(f, "none", 5, 50), ==,
			CQ_WORKER_ANSWER_NOT_FOUND);
	control(f, "PUT", "/v1/faults",
		"{\"worker\":\"a-w0\",\"fail_calls\":true}");
	g_assert_cmpint(throttle(f, "none", 5, 50), ==,
			CQ_WORKER_ANSWER_UNKNOWN);
	control(f, "PUT", "/v1/faults",
		"{\"worker\":\"a-w0\",\"fail_calls\":false,"
		"\"lose_answers\":1}");
	g_assert_cmpint(start_at(f, ADDRESS, "j1.1.0", 5, 0, 600000, 5000), ==,
			CQ_WORKER_ANSWER_UNKNOWN);
	sync_with(f, 5, NULL, 0);
	g_assert_cmpuint(f->task_count, ==, 1);
	/* Faults and epoch of the first worker do not affect the second. */
	g_assert_cmpint(start_at(f, SECOND, "j1.1.1", 1, 0, 600000, 5000), ==,
			CQ_WORKER_ANSWER_OK);
	control(f, "PUT", "/v1/faults",
		"{\"worker\":\"a-w0\",\"reboot\":true}");
	sync_with(f, 5, NULL, 0);
	g_assert_cmpstr(f->boot_id, ==, "a-w0-1");
	g_assert_cmpuint(f->task_count, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define WORKER_TEST(name, fn) \
	g_test_add("/worker/" name, struct fixture, NULL, setup, fn, teardown)
	WORKER_TEST("life", test_task_lifecycle);
	WORKER_TEST("refusals", test_refusals);
	WORKER_TEST("repeated_start", test_repeated_start);
	WORKER_TEST("outcomes", test_outcomes);
	return g_test_run();
}
