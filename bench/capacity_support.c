#include "capacity.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

void capacity_report(const char *metric, const char *unit, double value)
{
	printf("{\"bench\":\"capacity\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.6g,\"baseline\":null,\"target\":null,"
	       "\"better\":\"lower\"}\n",
	       metric, unit, value);
	fflush(stdout);
}

double capacity_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

double capacity_cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

void capacity_loop_step(void *ctx)
{
	ev_run(ctx, EVRUN_NOWAIT);
}

void capacity_run_in_turns(struct ev_loop *loop, void (*step)(void *ctx),
			   void *ctx, const bool *done,
			   struct capacity_cost *cost)
{
	double heap = capacity_heap_bytes();
	double cpu;

	*cost = (struct capacity_cost){ 0 };
	while (!*done) {
		cpu = capacity_cpu_us();
		ev_run(loop, EVRUN_NOWAIT);
		cost->cpu_us += capacity_cpu_us() - cpu;
		cost->heap_bytes += capacity_heap_bytes() - heap;
		step(ctx);
		heap = capacity_heap_bytes();
	}
}
