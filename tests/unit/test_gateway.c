/*
 * The gateway's answers must be true whatever the store does: "accepted" means
 * that the workload is stored, and "not stored" is answered only if no attempt
 * may have been executed.
 */
#include <ev.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/gateway.h"
#include "tests/support/mem_store.h"
#include "tests/support/wait_for.h"

#define ID "00000000000000ab"
#define WORKLOAD_KEY CQ_KEY_WORKLOADS ID
#define PROGRESS_KEY CQ_KEY_PROGRESS ID

struct fixture {
	struct ev_loop *loop;
	struct mem_store *store;
	struct cq_metrics *metrics;
	struct cq_gateway *gateway;
	struct cq_queue queues[2];
	char *keys[2];
	struct cq_workspace_keys workspace;
	struct cq_queue_config config;
	bool reachable;
	bool answered;
	struct cq_gateway_answer answer;
	char call; /* its address identifies the request */
};

static bool is_reachable(void *ctx)
{
	return ((struct fixture *)ctx)->reachable;
}

static void fixture_init(struct fixture *f)
{
	struct cq_gateway_options options = {
		.clock = cq_clock_system(),
		.store_timeout_ms = 100,
		.store_reachable = is_reachable,
		.ctx = f,
	};

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(0);
	f->store = mem_store_create(f->loop);
	f->metrics = cq_metrics_create();
	f->reachable = true;
	f->keys[0] = g_strdup("secret");
	f->workspace.name = "team";
	f->workspace.keys = f->keys;
	f->queues[0].name = "q";
	f->queues[0].authority = "h";
	f->queues[0].prefix = "/q/";
	f->queues[1] = f->queues[0];
	f->queues[1].prefix = "/open/";
	f->queues[1].allow_anonymous = true;
	f->config = (struct cq_queue_config){
		.version = 3,
		.queues = f->queues,
		.queue_count = 2,
		.workspaces = &f->workspace,
		.workspace_count = 1,
	};
	options.loop = f->loop;
	options.metrics = f->metrics;
	f->gateway = cq_gateway_create(&options, mem_store_get(f->store));
	cq_gateway_set_config(f->gateway, &f->config);
}

static void fixture_clear(struct fixture *f)
{
	cq_gateway_destroy(f->gateway);
	mem_store_destroy(f->store);
	cq_metrics_destroy(f->metrics);
	ev_loop_destroy(f->loop);
	g_free(f->keys[0]);
}

static void on_answer(void *call, const struct cq_gateway_answer *answer)
{
	struct fixture *f = (struct fixture *)((char *)call -
					       offsetof(struct fixture, call));

	g_assert_false(f->answered);
	f->answered = true;
	f->answer = *answer;
}

static bool is_answered(void *ctx)
{
	return ((struct fixture *)ctx)->answered;
}

static struct cq_workload *create_workload(void)
{
	struct cq_workload *job = cq_workload_create();

	job->spec = g_strdup("spec");
	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = 1;
	return job;
}

static enum cq_gateway_result send_request(struct fixture *f,
					   enum cq_gateway_verb verb,
					   const char *path, const char *key)
{
	const struct cq_gateway_request request = {
		.verb = verb,
		.authority = "h",
		.path = path,
		.key = key,
		.deadline_ms = 800,
		.workload = verb == CQ_GATEWAY_SUBMIT ? create_workload()
						      : NULL,
	};

	f->answered = false;
	cq_gateway_serve(f->gateway, &request, on_answer, &f->call);
	g_assert_true(wait_for(f->loop, is_answered, f));
	return f->answer.result;
}

static enum cq_gateway_result submit(struct fixture *f)
{
	return send_request(f, CQ_GATEWAY_SUBMIT, "/q/" ID, "secret");
}

/* Guards against a retried submission that creates a second job. */
static void test_submit(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_ACCEPTED);
	g_assert_nonnull(mem_store_read(f.store, WORKLOAD_KEY));
	g_assert_nonnull(strstr(mem_store_read(f.store, WORKLOAD_KEY),
				"\"workspace\":\"team\""));
	/* A second submission with the same id creates no new job. */
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_ACCEPTED);
	g_assert_cmpuint(mem_store_changes(f.store), ==, 1);
	fixture_clear(&f);
}

/* A store that notes the time limit of the last read. */
struct noting_store {
	struct cq_store store;
	struct cq_store_ops ops;
	const struct cq_store *inner;
	uint32_t timeout_ms;
};

static struct cq_store_call *noting_get(void *self, const char *key,
					uint32_t timeout_ms,
					cq_store_done_fn *done, void *ctx)
{
	struct noting_store *s = self;

	s->timeout_ms = timeout_ms;
	return s->inner->ops->get(s->inner->self, key, timeout_ms, done, ctx);
}

static void noting_cancel(void *self, struct cq_store_call *call)
{
	const struct noting_store *s = self;

	s->inner->ops->cancel(s->inner->self, call);
}

/*
 * Guards against time limits that don't follow the store's round trip: calls
 * whose answer is lost would be repeated late, with the longest limit.
 */
static void test_time_limit(void)
{
	struct noting_store noting = { .ops = { .get = noting_get,
						.cancel = noting_cancel } };
	struct cq_gateway_options options = {
		.clock = cq_clock_system(),
		.store_timeout_ms = 10000,
		.store_reachable = is_reachable,
	};
	struct fixture f;
	int i;

	fixture_init(&f);
	cq_gateway_destroy(f.gateway);
	noting.inner = mem_store_get(f.store);
	noting.store.ops = &noting.ops;
	noting.store.self = &noting;
	options.loop = f.loop;
	options.metrics = f.metrics;
	options.ctx = &f;
	f.gateway = cq_gateway_create(&options, &noting.store);
	cq_gateway_set_config(f.gateway, &f.config);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(send_request(&f, CQ_GATEWAY_STATE, "/q/" ID,
					     "secret"),
				==, CQ_GATEWAY_NO_JOB);
	/* A few times the round trip, which takes no time here. */
	g_assert_cmpuint(noting.timeout_ms, <, 400);
	fixture_clear(&f);
}

/*
 * Guards against a refusal, while no further jobs are taken, of one that is
 * stored already: it runs. The others are told when to come back.
 */
static void test_full(void)
{
	struct fixture f;

	fixture_init(&f);
	cq_gateway_set_full(f.gateway, true);
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_UNAVAILABLE);
	g_assert_cmpuint(f.answer.retry_after_s, >, 0);
	g_assert_null(mem_store_read(f.store, WORKLOAD_KEY));
	g_assert_cmpuint(mem_store_changes(f.store), ==, 0);
	cq_gateway_set_full(f.gateway, false);
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_ACCEPTED);
	cq_gateway_set_full(f.gateway, true);
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_ACCEPTED);
	/* As without a limit, if the store doesn't answer. */
	mem_store_fail_all(f.store, MEM_STORE_DROP_ANSWER);
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_UNAVAILABLE);
	fixture_clear(&f);
}

/* Guards against false answers to a submission after each store fault. */
static void test_submit_faults(void)
{
	static const struct {
		enum mem_store_fault fault;
		int count;
		bool reachable;
		enum cq_gateway_result expected;
		bool stored;
	} cases[] = {
		{ MEM_STORE_REFUSE, 1, true, CQ_GATEWAY_ACCEPTED, true },
		{ MEM_STORE_DROP_ANSWER, 1, true, CQ_GATEWAY_ACCEPTED, true },
		{ MEM_STORE_DROP_CHANGE, 1, true, CQ_GATEWAY_ACCEPTED, true },
		{ MEM_STORE_REFUSE, 99, true, CQ_GATEWAY_UNAVAILABLE, false },
		{ MEM_STORE_DROP_CHANGE, 99, true, CQ_GATEWAY_UNKNOWN, false },
		{ MEM_STORE_DELAY_CHANGE, 99, true, CQ_GATEWAY_UNKNOWN, false },
		{ MEM_STORE_NO_FAULT, 0, false, CQ_GATEWAY_UNAVAILABLE, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		fixture_init(&f);
		f.reachable = cases[i].reachable;
		mem_store_fail_changes(f.store, cases[i].fault, cases[i].count);
		g_assert_cmpint(submit(&f), ==, cases[i].expected);
		g_assert_cmpint(mem_store_read(f.store, WORKLOAD_KEY) != NULL,
				==, cases[i].stored);
		g_assert_cmpint(f.answer.retry_after_s > 0, ==, true);
		/* After "not stored" no attempt may be executed late. */
		mem_store_run_delayed(f.store);
		if (cases[i].expected == CQ_GATEWAY_UNAVAILABLE)
			g_assert_null(mem_store_read(f.store, WORKLOAD_KEY));
		fixture_clear(&f);
	}
}

/* Guards against invalid requests that are accepted. */
static void test_refusals(void)
{
	static const struct {
		enum cq_gateway_verb verb;
		const char *path, *key;
		enum cq_gateway_result expected;
	} cases[] = {
		{ CQ_GATEWAY_SUBMIT, "/q/" ID, NULL, CQ_GATEWAY_DENIED },
		{ CQ_GATEWAY_SUBMIT, "/q/" ID, "other", CQ_GATEWAY_DENIED },
		{ CQ_GATEWAY_SUBMIT, "/x/" ID, "secret", CQ_GATEWAY_NO_QUEUE },
		{ CQ_GATEWAY_SUBMIT, "/q/zz", "secret", CQ_GATEWAY_INVALID },
		{ CQ_GATEWAY_SUBMIT, "/open/" ID, NULL, CQ_GATEWAY_ACCEPTED },
		{ CQ_GATEWAY_SUBMIT, "/open/" ID, "secret",
		  CQ_GATEWAY_ACCEPTED },
		{ CQ_GATEWAY_SUBMIT, "/open/" ID, "other", CQ_GATEWAY_DENIED },
		{ CQ_GATEWAY_STATE, "/open/" ID, "other", CQ_GATEWAY_DENIED },
		{ CQ_GATEWAY_STATE, "/q/zz", "secret", CQ_GATEWAY_NO_JOB },
		{ CQ_GATEWAY_STATE, "/q/0000000000000000", "secret",
		  CQ_GATEWAY_NO_JOB },
		{ CQ_GATEWAY_CANCEL, "/q/0000000000000000", "secret",
		  CQ_GATEWAY_NO_JOB },
		{ CQ_GATEWAY_STATE, "/x/", "secret", CQ_GATEWAY_NO_QUEUE },
	};
	struct fixture f;
	size_t i;

	fixture_init(&f);
	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(send_request(&f, cases[i].verb, cases[i].path,
					     cases[i].key),
				==, cases[i].expected);
	/* Unknown queues and keys are rejected without a store call. */
	f.reachable = false;
	g_assert_cmpint(send_request(&f, CQ_GATEWAY_SUBMIT, "/x/" ID, "secret"),
			==, CQ_GATEWAY_NO_QUEUE);
	g_assert_cmpint(send_request(&f, CQ_GATEWAY_SUBMIT, "/q/" ID, "other"),
			==, CQ_GATEWAY_DENIED);
	cq_gateway_set_config(f.gateway, NULL);
	g_assert_cmpint(submit(&f), ==, CQ_GATEWAY_UNAVAILABLE);
	fixture_clear(&f);
}

static enum cq_batch_state request_state(struct fixture *f)
{
	g_assert_cmpint(send_request(f, CQ_GATEWAY_STATE, "/q/" ID, "secret"),
			==, CQ_GATEWAY_FOUND);
	return f->answer.state;
}

/* Guards against a reported end of a job that the store does not hold. */
static void test_states(void)
{
	struct fixture f;

	fixture_init(&f);
	submit(&f);
	g_assert_cmpint(request_state(&f), ==, CQ_BATCH_QUEUED);
	mem_store_write(f.store, PROGRESS_KEY,
			"{\"state\":\"running\",\"stages\":[]}");
	g_assert_cmpint(request_state(&f), ==, CQ_BATCH_RUNNING);
	g_assert_cmpint(send_request(&f, CQ_GATEWAY_CANCEL, "/q/" ID, "secret"),
			==, CQ_GATEWAY_ACCEPTED);
	/* The job may still complete, so it is not shown as cancelled yet. */
	g_assert_cmpint(request_state(&f), ==, CQ_BATCH_RUNNING);
	mem_store_write(f.store, PROGRESS_KEY,
			"{\"state\":\"completed\",\"stages\":[]}");
	g_assert_cmpint(request_state(&f), ==, CQ_BATCH_COMPLETED);
	mem_store_write(f.store, PROGRESS_KEY, NULL);
	g_assert_cmpint(request_state(&f), ==, CQ_BATCH_CANCELLED);
	fixture_clear(&f);
}

/* Guards against a cancellation that is lost after a store fault. */
static void test_cancel_faults(void)
{
	static const enum mem_store_fault faults[] = {
		MEM_STORE_REFUSE,
		MEM_STORE_DROP_ANSWER,
		MEM_STORE_DROP_CHANGE,
		MEM_STORE_DELAY_CHANGE,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct fixture f;

		fixture_init(&f);
		submit(&f);
		mem_store_fail_changes(f.store, faults[i], 1);
		g_assert_cmpint(send_request(&f, CQ_GATEWAY_CANCEL, "/q/" ID,
					     "secret"),
				==, CQ_GATEWAY_ACCEPTED);
		mem_store_run_delayed(f.store);
		g_assert_cmpint(request_state(&f), ==, CQ_BATCH_CANCELLED);
		fixture_clear(&f);
	}
}

/* Guards against a wrong number of waiting jobs of a queue. */
static void test_count(void)
{
	struct fixture f;

	fixture_init(&f);
	g_assert_cmpint(send_request(&f, CQ_GATEWAY_STATE, "/q/", "secret"), ==,
			CQ_GATEWAY_FOUND);
	g_assert_cmpuint(f.answer.pending, ==, 0);
	mem_store_write(f.store, CQ_KEY_PENDING, "{\"other\":2,\"q\":12}");
	send_request(&f, CQ_GATEWAY_STATE, "/q/", "secret");
	g_assert_cmpuint(f.answer.pending, ==, 12);
	fixture_clear(&f);
}

/* Guards against an answer to a caller that has disconnected. */
static void test_dropped(void)
{
	const struct cq_gateway_request request = {
		.verb = CQ_GATEWAY_STATE,
		.authority = "h",
		.path = "/q/" ID,
		.key = "secret",
	};
	struct fixture f;

	fixture_init(&f);
	cq_gateway_serve(f.gateway, &request, on_answer, &f.call);
	g_assert_cmpuint(cq_gateway_open_count(f.gateway), ==, 1);
	cq_gateway_drop(f.gateway, &f.call);
	g_assert_cmpuint(cq_gateway_open_count(f.gateway), ==, 0);
	run_loop_iterations(f.loop, 10);
	g_assert_false(f.answered);
	fixture_clear(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway/submit", test_submit);
	g_test_add_func("/gateway/time_limit", test_time_limit);
	g_test_add_func("/gateway/full", test_full);
	g_test_add_func("/gateway/submit_faults", test_submit_faults);
	g_test_add_func("/gateway/refusals", test_refusals);
	g_test_add_func("/gateway/states", test_states);
	g_test_add_func("/gateway/cancel_faults", test_cancel_faults);
	g_test_add_func("/gateway/count", test_count);
	g_test_add_func("/gateway/dropped", test_dropped);
	return g_test_run();
}
