/*
 * Measures the longest turn of the leader's loop by the size of what it is
 * asked to do at one time: overdue runs, wide steps, ends, a cancelled job, the
 * jobs that a new leader reads, a new configuration. Stand-ins for the workers
 * and the store are included. A lease has to be renewed within 375 ms, on the
 * smallest hosts with an eighth of a core.
 */
#include <ev.h>
#include <glib.h>
#include <stdio.h>

#include "chestnutquay/loop_turn.h"
#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
#define WORKERS 16
#define SETTLE_S 1.5

struct bench {
	struct dispatcher_fixture *world;
	struct cq_metrics *metrics;
	struct cq_loop_turn *turn;
};

struct deadline {
	double at_s;
};

static bool is_past(void *ctx)
{
	return ev_time() >= ((struct deadline *)ctx)->at_s;
}

static void settle(const struct bench *b)
{
	struct deadline deadline = { ev_time() + SETTLE_S };

	wait_for(dispatcher_fixture_loop(b->world), is_past, &deadline);
}

static void bench_open(struct bench *b)
{
	int k;

	b->world = dispatcher_fixture_create(LEASE_MS);
	for (k = 0; k < WORKERS; k++)
		dispatcher_fixture_add_worker(b->world, k);
	dispatcher_fixture_start_epoch(b->world);
	dispatcher_fixture_set_task_room(b->world, 1, 1);
	b->metrics = cq_metrics_create();
	b->turn = cq_loop_turn_create(dispatcher_fixture_loop(b->world),
				      cq_clock_system(), b->metrics);
}

static void bench_close(struct bench *b)
{
	cq_loop_turn_destroy(b->turn);
	cq_metrics_destroy(b->metrics);
	dispatcher_fixture_destroy(b->world);
}

static void print_row(struct bench *b, const char *what, uint32_t size)
{
	/* Ends the last turn. */
	run_loop_iterations(dispatcher_fixture_loop(b->world), 1);
	printf("{\"bench\":\"loop_turns\",\"metric\":\"%s_%u\",\"unit\":\"ms\","
	       "\"value\":%.4g,\"baseline\":null,\"target\":null,"
	       "\"better\":\"lower\"}\n",
	       what, size,
	       (double)cq_loop_turn_take_longest_ns(b->turn) / CQ_NS_PER_MS);
	fflush(stdout);
}

/* Two jobs with that many runs that are overdue */
static void measure_overdue(uint32_t size)
{
	struct bench b;

	bench_open(&b);
	dispatcher_fixture_submit_overdue(b.world, 1, size);
	dispatcher_fixture_submit_overdue(b.world, 2, size);
	settle(&b);
	print_row(&b, "overdue", size);
	bench_close(&b);
}

/* A job with that many tasks: its starts, all ends at once, its cancelling */
static void measure_wide(uint32_t size)
{
	struct bench b;

	bench_open(&b);
	dispatcher_fixture_submit(b.world, 1, size, 0, false);
	dispatcher_fixture_wait_for_runs(b.world, size);
	print_row(&b, "starts", size);
	mem_executor_end_all(dispatcher_fixture_workers(b.world));
	dispatcher_fixture_wait_for_state(b.world, 1, "completed");
	print_row(&b, "ends", size);
	dispatcher_fixture_submit(b.world, 2, size, 0, false);
	dispatcher_fixture_wait_for_runs(b.world, size);
	cq_loop_turn_take_longest_ns(b.turn);
	dispatcher_fixture_cancel(b.world, 2);
	dispatcher_fixture_wait_for_runs(b.world, 0);
	print_row(&b, "cancel", size);
	bench_close(&b);
}

/* That many jobs with a run each: their starts, then a change of leaders */
static void measure_jobs(uint32_t size)
{
	struct bench b;
	uint32_t k;

	bench_open(&b);
	for (k = 0; k < size; k++)
		dispatcher_fixture_submit(b.world, (int)k + 1, 1, 0, false);
	dispatcher_fixture_wait_for_runs(b.world, size);
	print_row(&b, "jobs", size);
	dispatcher_fixture_set_priority(b.world, 2);
	settle(&b);
	print_row(&b, "config", size);
	dispatcher_fixture_start_epoch(b.world);
	settle(&b);
	print_row(&b, "take_over", size);
	bench_close(&b);
}

int main(void)
{
	static const uint32_t runs[] = { 144, 1440, 14400 };
	static const uint32_t tasks[] = { 200, 2000, 20000 };
	static const uint32_t jobs[] = { 50, 500, 5000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(runs); i++)
		measure_overdue(runs[i]);
	for (i = 0; i < G_N_ELEMENTS(tasks); i++)
		measure_wide(tasks[i]);
	for (i = 0; i < G_N_ELEMENTS(jobs); i++)
		measure_jobs(jobs[i]);
	return 0;
}
