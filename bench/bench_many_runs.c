/*
 * Measures the processor time that the leader takes a second for one worker by
 * the number of its runs, while none of them starts or ends: what reading the
 * worker's lists costs. Stand-ins for the worker and the store are included.
 */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <time.h>

#include "tests/support/dispatch_world.h"
#include "tests/support/wait_for.h"

#define LEASE_MS 10000
/* Answers that were under way when the last run began come in this time. */
#define SETTLE_S 1.0
#define MEASURED_S 8.0

struct deadline {
	double at_s;
};

static bool is_past(void *ctx)
{
	return ev_time() >= ((struct deadline *)ctx)->at_s;
}

static void run_for(struct dispatcher_fixture *w, double seconds)
{
	struct deadline deadline = { ev_time() + seconds };

	wait_for(dispatcher_fixture_loop(w), is_past, &deadline);
}

static double process_cpu_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static double measure_ms_per_s(uint32_t runs)
{
	struct dispatcher_fixture *w = dispatcher_fixture_create(LEASE_MS);
	double before_ms;
	double taken_ms;

	dispatcher_fixture_add_worker(w, 0);
	dispatcher_fixture_start_epoch(w);
	dispatcher_fixture_set_task_room(w, 1, 1);
	dispatcher_fixture_submit(w, 1, runs, 0, false);
	g_assert_true(dispatcher_fixture_wait_for_runs(w, runs));
	run_for(w, SETTLE_S);
	before_ms = process_cpu_ms();
	run_for(w, MEASURED_S);
	taken_ms = process_cpu_ms() - before_ms;
	dispatcher_fixture_destroy(w);
	return taken_ms / MEASURED_S;
}

int main(void)
{
	static const uint32_t counts[] = { 30, 1000, 5000, 20000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		printf("{\"bench\":\"many_runs\",\"metric\":\"worker_of_%u\","
		       "\"unit\":\"ms/s\",\"value\":%.4g,\"baseline\":null,"
		       "\"target\":null,\"better\":\"lower\"}\n",
		       counts[i], measure_ms_per_s(counts[i]));
		fflush(stdout);
	}
	return 0;
}
