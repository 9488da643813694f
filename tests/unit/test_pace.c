/*
 * Tasks that fill beside a server, for the load that it answers: a server
 * whose tail rises with what is left of the processor, and rises by itself.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/pace.h"

#define MS CQ_NS_PER_MS
/* Between reports of a worker that servers share. */
#define REPORT_NS (INT64_C(400) * MS)
/* A server may be over its target by others' doing for so long. */
#define IMPACT_NS (INT64_C(4000) * MS)
#define TARGET_MS 200
#define PLAY_NS (INT64_C(120) * CQ_NS_PER_S)

struct world {
	struct cq_pool *pool;
	struct cq_pool_worker *worker;
	struct cq_batch *server;
	struct cq_batch *filler;
};

static struct cq_batch *job(struct world *w, bool fills)
{
	struct cq_workload *workload = cq_workload_create();
	struct cq_batch *batch;

	workload->steps = g_new0(struct cq_workload_step, 1);
	workload->step_count = 1;
	workload->steps[0].tasks = 1;
	workload->steps[0].fills = fills;
	workload->steps[0].target_ms = fills ? 0 : TARGET_MS;
	batch = cq_batch_create(workload);
	cq_task_assign(&batch->stages[0].tasks[0], w->worker, 1);
	return batch;
}

static void world_open(struct world *w)
{
	w->pool = cq_pool_create();
	w->worker = cq_pool_add(w->pool, "w");
	w->server = job(w, false);
	w->filler = job(w, true);
}

static void world_close(struct world *w)
{
	cq_batch_destroy(w->server);
	cq_batch_destroy(w->filler);
	cq_pool_destroy(w->pool);
}

static struct cq_task *task_of(struct cq_batch *batch)
{
	return &batch->stages[0].tasks[0];
}

/*
 * Plays reports of a server whose tail is own_ms without others and grows by
 * harm_ms beside a filler at full speed. Returns the longest time over the
 * target that the filler caused; paced is the filler's mean pace.
 */
static int64_t play(struct world *w, uint32_t own_ms, uint32_t harm_ms,
		    double *paced)
{
	struct cq_task *server = task_of(w->server);
	struct cq_task *filler = task_of(w->filler);
	int64_t over_since_ns = -1;
	int64_t longest_ns = 0;
	int64_t now_ns;
	double sum = 0;

	for (now_ns = REPORT_NS; now_ns < PLAY_NS; now_ns += REPORT_NS) {
		uint32_t percent = filler->pace_percent;

		server->load = own_ms + harm_ms * percent / 100;
		if (server->load <= TARGET_MS || own_ms > TARGET_MS || !percent)
			over_since_ns = -1;
		else if (over_since_ns < 0)
			over_since_ns = now_ns;
		if (over_since_ns >= 0)
			longest_ns = MAX(longest_ns,
					 now_ns + REPORT_NS - over_since_ns);
		sum += percent;
		percent = cq_pace_next(filler, cq_pace_worst_tail(w->worker),
				       now_ns);
		if (percent == filler->pace_percent)
			continue;
		filler->pace_percent = percent;
		filler->pace_changed_ns = now_ns;
	}
	*paced = sum * (double)REPORT_NS / (double)PLAY_NS;
	return longest_ns;
}

/* However much a filler harms, the server is over its target only shortly. */
static void test_harm(void)
{
	uint32_t own_ms, harm_ms;

	for (own_ms = 20; own_ms <= 190; own_ms += 10)
		for (harm_ms = 20; harm_ms <= 800; harm_ms += 20) {
			struct world w;
			double paced;

			world_open(&w);
			g_assert_cmpint(play(&w, own_ms, harm_ms, &paced), <,
					IMPACT_NS);
			world_close(&w);
		}
}

/* Where it does not harm, a filler works at full speed. */
static void test_no_harm(void)
{
	struct world w;
	double paced;

	world_open(&w);
	g_assert_cmpint(play(&w, 40, 40, &paced), ==, 0);
	g_assert_cmpfloat(paced, >, 99);
	world_close(&w);
}

/* A little harm is paced, not stopped for good. */
static void test_some_harm(void)
{
	struct world w;
	double paced;

	world_open(&w);
	play(&w, 60, 120, &paced);
	g_assert_cmpfloat(paced, >, 20);
	g_assert_cmpfloat(paced, <, 90);
	world_close(&w);
}

/* The worst of the servers counts; tasks that fill have no tail. */
static void test_worst_tail(void)
{
	struct world w;
	struct cq_batch *second;

	world_open(&w);
	task_of(w.server)->load = TARGET_MS / 2;
	task_of(w.filler)->load = 100000;
	g_assert_cmpfloat(cq_pace_worst_tail(w.worker), ==, 0.5);
	second = job(&w, false);
	task_of(second)->load = TARGET_MS * 2;
	g_assert_cmpfloat(cq_pace_worst_tail(w.worker), ==, 2);
	cq_batch_destroy(second);
	world_close(&w);
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
