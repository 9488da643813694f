#include <glib.h>
#include <string.h>

#include "../support/request_world.h"

#define MS CQ_NS_PER_MS
/* Keys created earlier may be refused as older than their home. */
#define START_MS 4000

static struct world *create(struct world_options *options)
{
	struct world *world = world_create(options);

	world_run_until(world, START_MS * MS);
	return world;
}

static struct world_options small_world_options(void)
{
	struct world_options options;

	world_options_init(&options);
	options.hosts = 1;
	options.endpoints = 1;
	options.call_max_ms = 3000;
	options.share_hold_ms = 4000;
	return options;
}

static void run_for(struct world *world, int64_t ms)
{
	world_run_until(world, world_now(world) + ms * MS);
}

static const struct world_outcome *send_one(struct world *world,
					    const struct world_request *request,
					    uint32_t host)
{
	return world_result(
		world, world_send(world, world_logical(world, request), host));
}

enum fault {
	NONE,
	DOWN,
	LEAVING,
	FAIL_FAST,
	NEVER_ANSWER,
	CUT_ANSWERS,
	CROSS_ANSWERS,
};

static void set_fault(struct world_faults *faults, enum fault fault)
{
	faults->down = fault == DOWN;
	faults->leaving = fault == LEAVING;
	faults->fail_fast = fault == FAIL_FAST;
	faults->never_answer = fault == NEVER_ANSWER;
	faults->cut_answers = fault == CUT_ANSWERS;
	faults->cross_answers = fault == CROSS_ANSWERS;
}

/*
 * Guards against a wrong outcome, or a false report that the request did not
 * run, when the only endpoint fails.
 */
static void test_single_endpoint_faults(void)
{
	static const struct {
		const char *name;
		enum fault fault;
		bool idempotent;
		enum cq_refusal refusal;
		enum cq_request_run run;
		uint32_t least_ran, most_ran;
	} cases[] = {
		{ "none", NONE, false, CQ_REFUSAL_NONE, CQ_REQUEST_NOT_RUN, 1,
		  1 },
		{ "down", DOWN, false, CQ_REFUSAL_NO_ENDPOINT,
		  CQ_REQUEST_NOT_RUN, 0, 0 },
		{ "leaving", LEAVING, false, CQ_REFUSAL_DEADLINE,
		  CQ_REQUEST_NOT_RUN, 0, 0 },
		{ "500", FAIL_FAST, false, CQ_REFUSAL_NONE, CQ_REQUEST_NOT_RUN,
		  1, 1 },
		{ "500, idempotent", FAIL_FAST, true, CQ_REFUSAL_NONE,
		  CQ_REQUEST_NOT_RUN, 1, 9 },
		{ "never answers", NEVER_ANSWER, false, CQ_REFUSAL_DEADLINE,
		  CQ_REQUEST_MAY_HAVE_RUN, 1, 1 },
		{ "never answers, idempotent", NEVER_ANSWER, true,
		  CQ_REFUSAL_DEADLINE, CQ_REQUEST_MAY_HAVE_RUN, 1, 9 },
		{ "truncated answer", CUT_ANSWERS, false,
		  CQ_REFUSAL_ENDPOINT_FAILED, CQ_REQUEST_MAY_HAVE_RUN, 1, 1 },
		{ "truncated answer, idempotent", CUT_ANSWERS, true,
		  CQ_REFUSAL_ENDPOINT_FAILED, CQ_REQUEST_MAY_HAVE_RUN, 2, 9 },
		{ "answer to another request", CROSS_ANSWERS, false,
		  CQ_REFUSAL_ENDPOINT_FAILED, CQ_REQUEST_MAY_HAVE_RUN, 1, 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world_options options = small_world_options();
		struct world *world = create(&options);
		struct world_request request = {
			.idempotent = cases[i].idempotent, .timeout_ms = 2000
		};
		const struct world_outcome *outcome;
		uint32_t ran;

		g_test_message("%s", cases[i].name);
		set_fault(world_endpoint_faults(world, 0), cases[i].fault);
		outcome = send_one(world, &request, 0);
		run_for(world, 6000);
		ran = world_executions(world, outcome->logical);
		g_assert_cmpuint(outcome->answers, ==, 1);
		g_assert_cmpstr(cq_refusal_string(outcome->refusal), ==,
				cq_refusal_string(cases[i].refusal));
		if (cases[i].refusal)
			g_assert_cmpint(outcome->run, ==, cases[i].run);
		g_assert_cmpuint(ran, >=, cases[i].least_ran);
		g_assert_cmpuint(ran, <=, cases[i].most_ran);
		g_assert_cmpint(outcome->done_ns, <=,
				outcome->deadline_ns + 100 * MS);
		world_destroy(world);
	}
}

/* Guards against an idempotent request that fails with one endpoint. */
static void test_retry_on_another_endpoint(void)
{
	static const enum fault faults[] = { DOWN,	  LEAVING,
					     FAIL_FAST,	  NEVER_ANSWER,
					     CUT_ANSWERS, CROSS_ANSWERS };
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world_options options = small_world_options();
		struct world_request request = { .idempotent = true,
						 .timeout_ms = 2500 };
		struct world *world;

		options.endpoints = 5;
		world = create(&options);
		set_fault(world_endpoint_faults(world, 2), faults[i]);
		for (n = 0; n < 300; n++) {
			send_one(world, &request, 0);
			run_for(world, 10);
		}
		run_for(world, 4000);
		for (n = 0; n < 300; n++)
			g_assert_cmpuint(
				world_result(world, (uint32_t)n)->status, ==,
				200);
		world_destroy(world);
	}
}

/* Guards against retries that multiply the load on failing endpoints. */
static void test_retry_budget(void)
{
	struct world_options options = small_world_options();
	struct world_request request = { .idempotent = true,
					 .timeout_ms = 2000 };
	struct cq_router_stats stats;
	struct world *world;
	uint32_t i;
	int n;

	options.endpoints = 10;
	world = create(&options);
	for (i = 0; i < 10; i++)
		world_endpoint_faults(world, i)->fail_fast = true;
	for (n = 0; n < 2000; n++) {
		send_one(world, &request, 0);
		run_for(world, 2);
	}
	run_for(world, 3000);
	world_host_stats(world, 0, &stats);
	g_assert_cmpuint(stats.retries, >, 0);
	/* A tenth of the requests, and the 3 allowed at the start. */
	g_assert_cmpuint(stats.retries, <=, stats.first_attempts / 10 + 3);
	world_destroy(world);
}

/*
 * Guards against accepting a request whose deadline cannot be met, and against
 * a wrong estimate of the wait.
 */
static void test_early_refusal(void)
{
	struct world_options options = small_world_options();
	struct world_request long_deadline = { .timeout_ms = 2900 };
	struct world_request short_deadline = { .timeout_ms = 400 };
	const struct world_outcome *accepted;
	const struct world_outcome *refused;
	struct world *world;
	int64_t took_ms;
	int n;

	/* Calls of 100 ms on 8 slots: 80 calls per second. */
	options.service_ns = 100 * MS;
	world = create(&options);
	for (n = 0; n < 100; n++) {
		send_one(world, &long_deadline, 0);
		run_for(world, 15);
	}
	for (n = 0; n < 80; n++)
		send_one(world, &long_deadline, 0);
	refused = send_one(world, &short_deadline, 0);
	g_assert_cmpint(refused->refusal, ==, CQ_REFUSAL_TOO_LATE);
	g_assert_cmpint(refused->run, ==, CQ_REQUEST_NOT_RUN);
	accepted = send_one(world, &long_deadline, 0);
	run_for(world, 5000);
	g_assert_cmpuint(accepted->status, ==, 200);
	took_ms = (accepted->done_ns - accepted->submitted_ns) / MS;
	/* Within a third of the time that a request sent then took. */
	g_assert_cmpint(refused->expected_ms, >, took_ms * 2 / 3);
	g_assert_cmpint(refused->expected_ms, <, took_ms * 4 / 3);
	g_assert_cmpuint(world_executions(world, refused->logical), ==, 0);
	world_destroy(world);
}

/* Guards against calls to an endpoint 3 s after it began to leave. */
static void test_leaving(void)
{
	struct world_options options = small_world_options();
	struct world_request request = { .idempotent = true,
					 .timeout_ms = 1000 };
	struct world *world;
	uint64_t calls;
	int n;

	options.endpoints = 3;
	options.list_lag_ns = 5000 * MS;
	world = create(&options);
	run_for(world, 3000);
	world_endpoint_faults(world, 1)->leaving = true;
	for (n = 0; n < 300; n++) {
		send_one(world, &request, 0);
		run_for(world, 10);
	}
	calls = world_endpoint_calls(world, 1);
	for (n = 0; n < 2000; n++) {
		send_one(world, &request, 0);
		run_for(world, 10);
	}
	g_assert_cmpuint(world_endpoint_calls(world, 1), ==, calls);
	world_destroy(world);
}

/* Guards against a key whose request runs twice, however it is repeated. */
static void test_keys(void)
{
	static const struct {
		const char *name;
		int64_t gap_ms; /* between the two copies */
		bool kill_home, abandon;
		enum cq_refusal second;
	} cases[] = {
		{ "at the same time", 0, false, false, CQ_REFUSAL_NONE },
		{ "while it runs", 10, false, false, CQ_REFUSAL_NONE },
		{ "after the answer", 500, false, false, CQ_REFUSAL_NONE },
		{ "after minutes", 400000, false, false, CQ_REFUSAL_NONE },
		{ "after the window", 700000, false, false,
		  CQ_REFUSAL_KEY_EXPIRED },
		{ "caller went away", 10, false, true, CQ_REFUSAL_NONE },
		{ "home replaced", 6000, true, false,
		  CQ_REFUSAL_KEY_OLDER_THAN_HOME },
	};
	uint32_t first;
	uint32_t second;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (first = 0; first < 3; first++) {
			struct world_options options = small_world_options();
			struct world_request request = { .keyed = true,
							 .timeout_ms = 2000 };
			const struct world_outcome *outcome;
			struct world *world;
			uint32_t logical;
			uint32_t id;

			g_test_message("%s via %u", cases[i].name, first);
			options.hosts = 3;
			options.endpoints = 4;
			world = create(&options);
			logical = world_logical(world, &request);
			id = world_send(world, logical, first);
			if (cases[i].abandon)
				world_abandon(world, id);
			run_for(world, cases[i].gap_ms);
			for (second = 0; cases[i].kill_home && second < 3;
			     second++) {
				world_kill_host(world, second);
				world_start_host(world, second);
			}
			if (cases[i].kill_home)
				run_for(world, 6000);
			second = (first + 1) % 3;
			outcome = world_result(world, world_send(world, logical,
								 second));
			run_for(world, 3000);
			g_assert_cmpuint(world_executions(world, logical), ==,
					 1);
			g_assert_cmpstr(cq_refusal_string(outcome->refusal), ==,
					cq_refusal_string(cases[i].second));
			if (cases[i].second)
				g_assert_cmpint(outcome->run, ==,
						CQ_REQUEST_MAY_HAVE_RUN);
			else
				g_assert_true(outcome->own_answer);
			world_destroy(world);
		}
	}
}

/*
 * Guards against reporting that a request did not run when the home of its key
 * cannot be reached.
 */
static void test_home_cut_off(void)
{
	struct world_options options = small_world_options();
	struct world_request request = { .keyed = true, .timeout_ms = 1000 };
	struct world *world;
	uint32_t refused = 0;
	uint32_t i;

	options.hosts = 3;
	world = create(&options);
	world_cut_host(world, 0, true);
	for (i = 0; i < 60; i++) {
		const struct world_outcome *outcome =
			send_one(world, &request, 0);

		run_for(world, 100);
		if (outcome->state != WORLD_REFUSED)
			continue;
		refused++;
		g_assert_cmpint(outcome->run, ==, CQ_REQUEST_MAY_HAVE_RUN);
	}
	run_for(world, 2000);
	/* A third of the keys have their home on this host. */
	g_assert_cmpuint(refused, >, 25);
	g_assert_cmpuint(refused, <, 55);
	world_destroy(world);
}

/* Guards against a host that leaves other hosts' idle slots unused. */
static void test_lending(void)
{
	struct world_options options = small_world_options();
	struct world_request request = { .timeout_ms = 2500 };
	struct world *world;
	int n;

	options.hosts = 2;
	options.endpoints = 2;
	options.service_ns = 300 * MS;
	world = create(&options);
	for (n = 0; n < 40; n++)
		send_one(world, &request, 0);
	run_for(world, 5000);
	/* Its share is 4 of 8; the lender keeps a quarter of its idle slots. */
	g_assert_cmpuint(world_endpoint_peak(world, 0) +
				 world_endpoint_peak(world, 1),
			 >=, 14);
	g_assert_cmpuint(world_slots_exceeded(world), ==, 0);
	world_destroy(world);
}

/* Guards against using a loan that arrived after its time. */
static void test_late_loan(void)
{
	struct world_options options = small_world_options();
	struct world_request request = { .timeout_ms = 2900 };
	struct world *world;
	int n;

	options.hosts = 2;
	options.service_ns = 900 * MS;
	world = create(&options);
	/* The round trip takes 1.2 s; a loan lasts 1 s. */
	world_delay_host(world, 1, 600 * MS);
	for (n = 0; n < 12; n++)
		send_one(world, &request, 0);
	run_for(world, 4000);
	g_assert_cmpuint(world_endpoint_peak(world, 0), ==, 4);
	world_destroy(world);
}

static void send_burst(struct world *world, uint32_t count, int64_t gap_ms)
{
	struct world_request request = { .timeout_ms = 2900 };

	for (; count; count--) {
		send_one(world, &request, 0);
		run_for(world, gap_ms);
	}
}

/*
 * Guards against leaving slots in another data centre idle, and against
 * spilling requests although local slots are free, the local wait is shorter
 * than the round trip, or the other data centre is cut off.
 */
static void test_spill(void)
{
	static const struct {
		const char *name;
		int64_t service_ms, wan_ms; /* wan_ms is one way */
		uint32_t burst, bursts;
		int64_t gap_ms; /* within and between bursts */
		bool cut;
		uint32_t min_remote, max_remote; /* calls in the other data
						    centre */
	} cases[] = {
		{ "local slots are free", 20, 1, 100, 1, 10, false, 0, 0 },
		{ "local wait shorter than the round trip", 20, 40, 12, 20, 0,
		  false, 0, 0 },
		{ "local wait longer than the round trip", 200, 1, 60, 1, 5,
		  false, 16, 60 },
		{ "cut off from the start", 200, 1, 60, 1, 5, true, 0, 0 },
	};
	uint64_t remote;
	uint32_t n;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world_options options = small_world_options();
		struct world *world;

		g_test_message("%s", cases[i].name);
		options.data_centres = 2;
		options.service_ns = cases[i].service_ms * MS;
		options.wan_ns = cases[i].wan_ms * MS;
		world = create(&options);
		world_cut_host(world, 1, cases[i].cut);
		run_for(world, 3000);
		for (n = 0; n < cases[i].bursts; n++) {
			send_burst(world, cases[i].burst, cases[i].gap_ms);
			if (cases[i].bursts > 1)
				run_for(world, 100);
		}
		run_for(world, 4000);
		remote = world_endpoint_calls(world, 1);
		g_assert_cmpuint(remote, >=, cases[i].min_remote);
		g_assert_cmpuint(remote, <=, cases[i].max_remote);
		for (n = 0; n < world_results(world); n++)
			g_assert_cmpuint(world_result(world, n)->status, ==,
					 200);
		/* After a cut, the load reported before it is not used. */
		world_cut_host(world, 1, true);
		run_for(world, 2000);
		send_burst(world, cases[i].burst, cases[i].gap_ms);
		run_for(world, 4000);
		g_assert_cmpuint(world_endpoint_calls(world, 1), ==, remote);
		for (n = 0; n < world_results(world); n++)
			g_assert_cmpuint(world_result(world, n)->status, ==,
					 200);
		world_destroy(world);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/router/faults-of-one", test_single_endpoint_faults);
	g_test_add_func("/router/retry-elsewhere",
			test_retry_on_another_endpoint);
	g_test_add_func("/router/retry-budget", test_retry_budget);
	g_test_add_func("/router/early-refusal", test_early_refusal);
	g_test_add_func("/router/leaving", test_leaving);
	g_test_add_func("/router/keys", test_keys);
	g_test_add_func("/router/home-cut-off", test_home_cut_off);
	g_test_add_func("/router/lending", test_lending);
	g_test_add_func("/router/late-loan", test_late_loan);
	g_test_add_func("/router/spill", test_spill);
	return g_test_run();
}
