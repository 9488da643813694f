/*
 * Order of ready stages under overload (with some work too late to be of use),
 * for scheduled jobs that were submitted long before they are due, and for bulk
 * work that arrives before urgent work.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/placement.h"
#include "chestnutquay/stage_order.h"

#define NOW_NS (INT64_C(100) * CQ_NS_PER_S)
#define UNIX_MS INT64_C(1700000000000)

static const struct cq_queue urgent = { .priority = 0, .stretch = 2 };
static const struct cq_queue middle = { .priority = 1, .stretch = 2 };

/* A job of one step, accepted age_s seconds ago. */
static struct cq_batch *make_batch(const char *id, int age_s,
				   int64_t estimate_ms)
{
	struct cq_workload *w = cq_workload_create();
	struct cq_batch *batch;

	g_strlcpy(w->id, id, sizeof(w->id));
	w->steps = g_new0(struct cq_workload_step, 1);
	w->step_count = 1;
	w->steps[0].tasks = 2;
	w->steps[0].accelerators = 4;
	w->steps[0].estimate_ms = estimate_ms;
	batch = cq_batch_create(w);
	batch->accepted_ns = NOW_NS - age_s * CQ_NS_PER_S;
	return batch;
}

static struct cq_ready_stage make_ready_stage(struct cq_batch *batch,
					      const struct cq_queue *queue)
{
	struct cq_ready_stage r;

	cq_batch_stage_at(batch, 0)->rank = 1 + queue->priority;
	cq_ready_stage_init(&r, cq_batch_stage_at(batch, 0), queue, NOW_NS,
			    UNIX_MS);
	return r;
}

static bool goes_first(const struct cq_ready_stage *left,
		       const struct cq_ready_stage *right)
{
	g_assert_cmpint(cq_ready_stage_compare(left, right, NOW_NS), ==,
			-cq_ready_stage_compare(right, left, NOW_NS));
	return cq_ready_stage_compare(left, right, NOW_NS) < 0;
}

/*
 * Guards against an order that is not by rank first and then by objective,
 * which puts a short job before a long one.
 */
static void test_objective(void)
{
	struct cq_batch *batches[] = { make_batch("a", 0, 9000),
				       make_batch("b", 0, 2000),
				       make_batch("c", 5, 9000) };
	struct cq_ready_stage a = make_ready_stage(batches[0], &middle);
	struct cq_ready_stage b = make_ready_stage(batches[1], &middle);
	struct cq_ready_stage c = make_ready_stage(batches[2], &urgent);
	size_t i;

	g_assert_true(goes_first(&b, &a));
	g_assert_true(goes_first(&c, &b));
	g_assert_cmpint(a.objective_ns, ==, NOW_NS + 18 * CQ_NS_PER_S);
	for (i = 0; i < G_N_ELEMENTS(batches); i++)
		cq_batch_destroy(batches[i]);
}

/*
 * Guards against work that is too late to be of use and takes the room of other
 * work under overload.
 */
static void test_overload(void)
{
	struct cq_batch *batches[] = { make_batch("old", 30, 4000),
				       make_batch("late", 15, 4000),
				       make_batch("new", 0, 4000) };
	struct cq_ready_stage old = make_ready_stage(batches[0], &middle);
	struct cq_ready_stage late = make_ready_stage(batches[1], &middle);
	struct cq_ready_stage new = make_ready_stage(batches[2], &middle);
	size_t i;

	g_assert_true(cq_ready_stage_will_miss_deadline(&old, NOW_NS));
	/* It is past its objective, but before its deadline. */
	g_assert_cmpint(late.objective_ns, <, NOW_NS);
	g_assert_false(cq_ready_stage_will_miss_deadline(&late, NOW_NS));
	g_assert_true(goes_first(&late, &new));
	g_assert_true(goes_first(&new, &old));
	for (i = 0; i < G_N_ELEMENTS(batches); i++)
		cq_batch_destroy(batches[i]);
}

/*
 * Guards against a deadline of a scheduled occurrence that counts from the
 * submission instead of its due time.
 */
static void test_due_time(void)
{
	struct cq_batch *timed = make_batch("timed", 60, 4000);
	struct cq_ready_stage r = make_ready_stage(timed, &middle);

	g_assert_true(cq_ready_stage_will_miss_deadline(&r, NOW_NS));
	timed->workload->first_run_ms = UNIX_MS - 1000;
	r = make_ready_stage(timed, &middle);
	g_assert_false(cq_ready_stage_will_miss_deadline(&r, NOW_NS));
	g_assert_cmpint(r.deadline_ns, ==, NOW_NS + 23 * CQ_NS_PER_S);
	cq_batch_destroy(timed);
}

/*
 * Guards against judging the second step of a job by the estimate of the whole
 * job instead of the remaining path.
 */
static void test_steps(void)
{
	struct cq_workload *w = cq_workload_create();
	struct cq_batch *batch;
	struct cq_ready_stage first;
	struct cq_ready_stage second;

	w->steps = g_new0(struct cq_workload_step, 2);
	w->step_count = 2;
	w->steps[0].tasks = 1;
	w->steps[0].estimate_ms = 8000;
	w->steps[1].tasks = 1;
	w->steps[1].estimate_ms = 1000;
	w->steps[1].after = 1;
	batch = cq_batch_create(w);
	batch->accepted_ns = NOW_NS - 51 * CQ_NS_PER_S;
	cq_ready_stage_init(&first, cq_batch_stage_at(batch, 0), &middle,
			    NOW_NS, UNIX_MS);
	cq_ready_stage_init(&second, cq_batch_stage_at(batch, 1), &middle,
			    NOW_NS, UNIX_MS);
	g_assert_cmpint(first.critical_path_ms, ==, 9000);
	g_assert_cmpint(second.remaining_path_ms, ==, 1000);
	g_assert_true(cq_ready_stage_will_miss_deadline(&first, NOW_NS));
	g_assert_false(cq_ready_stage_will_miss_deadline(&second, NOW_NS));
	cq_batch_destroy(batch);
}

/*
 * Guards against bulk work that takes more than three quarters of the
 * accelerators while its objective is not near.
 */
static void test_headroom(void)
{
	struct cq_pool *pool = cq_pool_create();
	struct cq_executor_registration listing = { .id = "w",
						    .accelerators = 16 };
	struct cq_batch *fresh = make_batch("fresh", 0, 4000);
	struct cq_batch *pressed = make_batch("pressed", 3, 4000);
	struct cq_ready_stage f = make_ready_stage(fresh, &middle);
	struct cq_ready_stage u = make_ready_stage(fresh, &urgent);
	struct cq_ready_stage p = make_ready_stage(pressed, &middle);
	struct cq_pool_worker *worker = cq_pool_add(pool, listing.id);
	struct cq_pool_totals totals;

	cq_pool_update(worker, &listing);
	worker->usable = true;
	worker->free_accelerators = 12;
	totals = cq_placement_prepare(pool);
	g_assert_true(cq_ready_stage_leaves_headroom(&f, &totals, NOW_NS));
	worker->free_accelerators = 11;
	totals = cq_placement_prepare(pool);
	g_assert_false(cq_ready_stage_leaves_headroom(&f, &totals, NOW_NS));
	g_assert_true(cq_ready_stage_leaves_headroom(&u, &totals, NOW_NS));
	g_assert_true(cq_ready_stage_leaves_headroom(&p, &totals, NOW_NS));
	cq_batch_destroy(fresh);
	cq_batch_destroy(pressed);
	cq_pool_destroy(pool);
}

/*
 * Guards against a task that lasts and has ended, and then waits for headroom
 * in a busy fleet although its room is free.
 */
static void test_lasting_task_comes_back(void)
{
	const struct cq_pool_totals busy = { .accelerators = 100,
					     .free_accelerators = 15 };
	struct cq_batch *batch = make_batch("lasts", 0, 30000);
	struct cq_ready_stage r = make_ready_stage(batch, &middle);

	batch->workload->steps[0].long_running = true;
	g_assert_false(cq_ready_stage_leaves_headroom(&r, &busy, NOW_NS));
	r.stage->started = true;
	g_assert_true(cq_ready_stage_leaves_headroom(&r, &busy, NOW_NS));
	cq_batch_destroy(batch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stage_order/objective", test_objective);
	g_test_add_func("/stage_order/overload", test_overload);
	g_test_add_func("/stage_order/due_time", test_due_time);
	g_test_add_func("/stage_order/steps", test_steps);
	g_test_add_func("/stage_order/headroom", test_headroom);
	g_test_add_func("/stage_order/lasting_task_comes_back",
			test_lasting_task_comes_back);
	return g_test_run();
}
