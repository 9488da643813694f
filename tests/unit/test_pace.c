/*
 * Pacing of a best-effort task beside a server whose tail latency grows with
 * the processor share that the task gets, and varies by itself.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/pace.h"

#define MS CQ_NS_PER_MS
/* Interval of the reports of a worker that runs servers */
#define REPORT_NS (INT64_C(400) * MS)
/* Longest time that best-effort tasks may keep a server over its target */
#define MAX_OVER_TARGET_NS (INT64_C(4000) * MS)
#define TARGET_MS 200
#define SIMULATION_NS (INT64_C(120) * CQ_NS_PER_S)

struct fixture {
	struct cq_pool *pool;
	struct cq_pool_worker *worker;
	struct cq_batch *server;
	struct cq_batch *best_effort;
};

static struct cq_batch *assign_job(struct fixture *w, bool fills)
{
	struct cq_workload *workload = cq_workload_create();
	struct cq_batch *batch;

	workload->steps = g_new0(struct cq_workload_step, 1);
	workload->step_count = 1;
	workload->steps[0].tasks = 1;
	workload->steps[0].fills = fills;
	workload->steps[0].target_ms = fills ? 0 : TARGET_MS;
	batch = cq_batch_create(workload);
	cq_task_assign(&cq_batch_stage_at(batch, 0)->tasks[0], w->worker, 1);
	return batch;
}

static void fixture_setup(struct fixture *w)
{
	w->pool = cq_pool_create();
	w->worker = cq_pool_add(w->pool, "w");
	w->server = assign_job(w, false);
	w->best_effort = assign_job(w, true);
}

static void fixture_teardown(struct fixture *w)
{
	cq_batch_destroy(w->server);
	cq_batch_destroy(w->best_effort);
	cq_pool_destroy(w->pool);
}

static struct cq_task *task_of(struct cq_batch *batch)
{
	return &cq_batch_stage_at(batch, 0)->tasks[0];
}

/*
 * Simulates the reports of a server whose tail latency is base_tail_ms alone
 * and grows by interference_ms beside a best-effort task at full speed. Returns
 * the longest time over the target that the task caused; mean_pace_percent
 * receives the mean pace of the task.
 */
static int64_t simulate(struct fixture *w, uint32_t base_tail_ms,
			uint32_t interference_ms, double *mean_pace_percent)
{
	struct cq_task *server = task_of(w->server);
	struct cq_task *best_effort = task_of(w->best_effort);
	int64_t over_since_ns = -1;
	int64_t longest_ns = 0;
	int64_t now_ns;
	double sum = 0;

	for (now_ns = REPORT_NS; now_ns < SIMULATION_NS; now_ns += REPORT_NS) {
		uint32_t percent = best_effort->pace_percent;

		server->load = base_tail_ms + interference_ms * percent / 100;
		if (server->load <= TARGET_MS || base_tail_ms > TARGET_MS ||
		    !percent)
			over_since_ns = -1;
		else if (over_since_ns < 0)
			over_since_ns = now_ns;
		if (over_since_ns >= 0)
			longest_ns = MAX(longest_ns,
					 now_ns + REPORT_NS - over_since_ns);
		sum += percent;
		percent = cq_pace_next(best_effort,
				       cq_pace_worst_tail(w->worker), now_ns);
		if (percent == best_effort->pace_percent)
			continue;
		best_effort->pace_percent = percent;
		best_effort->pace_changed_ns = now_ns;
	}
	*mean_pace_percent = sum * (double)REPORT_NS / (double)SIMULATION_NS;
	return longest_ns;
}

/*
 * Guards against a server that stays over its target because a best-effort task
 * beside it is slowed down too late or too little.
 */
static void test_harm(void)
{
	uint32_t base_tail_ms, interference_ms;

	for (base_tail_ms = 20; base_tail_ms <= 190; base_tail_ms += 10)
		for (interference_ms = 20; interference_ms <= 800;
		     interference_ms += 20) {
			struct fixture w;
			double mean_pace_percent;

			fixture_setup(&w);
			g_assert_cmpint(simulate(&w, base_tail_ms,
						 interference_ms,
						 &mean_pace_percent),
					<, MAX_OVER_TARGET_NS);
			fixture_teardown(&w);
		}
}

/* Guards against slowing down a best-effort task that does no harm. */
static void test_no_harm(void)
{
	struct fixture w;
	double mean_pace_percent;

	fixture_setup(&w);
	g_assert_cmpint(simulate(&w, 40, 40, &mean_pace_percent), ==, 0);
	g_assert_cmpfloat(mean_pace_percent, >, 99);
	fixture_teardown(&w);
}

/* Guards against stopping for good a best-effort task that does little harm. */
static void test_some_harm(void)
{
	struct fixture w;
	double mean_pace_percent;

	fixture_setup(&w);
	simulate(&w, 60, 120, &mean_pace_percent);
	g_assert_cmpfloat(mean_pace_percent, >, 20);
	g_assert_cmpfloat(mean_pace_percent, <, 90);
	fixture_teardown(&w);
}

/*
 * Guards against a server that is hidden by a faster one, and against taking
 * the load of a best-effort task for a tail latency.
 */
static void test_worst_tail(void)
{
	struct fixture w;
	struct cq_batch *second;

	fixture_setup(&w);
	task_of(w.server)->load = TARGET_MS / 2;
	task_of(w.best_effort)->load = 100000;
	g_assert_cmpfloat(cq_pace_worst_tail(w.worker), ==, 0.5);
	second = assign_job(&w, false);
	task_of(second)->load = TARGET_MS * 2;
	g_assert_cmpfloat(cq_pace_worst_tail(w.worker), ==, 2);
	cq_batch_destroy(second);
	fixture_teardown(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/harm", test_harm);
	g_test_add_func("/pace/no_harm", test_no_harm);
	g_test_add_func("/pace/some_harm", test_some_harm);
	g_test_add_func("/pace/worst_tail", test_worst_tail);
	return g_test_run();
}
