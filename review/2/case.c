/*
 * A timed job: each half hour for a year, in the largest size of the site's
 * jobs (three steps of 72 tasks).
 */
#include <string.h>

#include "world.h"

#define TIMED "5c0e7a21d94b3600"
#define FIRST "0000000000beef00"
#define SECOND "0000000000beef01"
#define WIDTH 72
#define RUNS_OF_A_YEAR 17520
#define INTERVAL_MS 1800000
#define RETRIES 4

static int starts_of_second;
static int starts_of_first;

static void count_start(struct minion *m, const struct run *run)
{
	(void)m;
	starts_of_first += g_str_has_prefix(run->task, FIRST);
	starts_of_second += g_str_has_prefix(run->task, SECOND);
}

/* Hands a job in, with the retries of a client at other hosts. */
static void submit(const char *id, const char *body)
{
	int status = 0;
	int tries;

	for (tries = 0; tries <= RETRIES && status != 200; tries++) {
		if (tries)
			world_sleep(300);
		status = client(tries % host_count, "POST", id, body, 3000,
				NULL);
	}
	if (status != 200)
		world_abort("a job wasn't accepted");
	note("job %s was accepted", id);
}

static char *timed_job(int runs)
{
	const char *step = "{\"count\":" G_STRINGIFY(
		WIDTH) ",\"cpu\":50,\"memMb\":50,\"estimatedMs\":500}";

	return g_strdup_printf(
		"{\"spec\":\"ms=500\",\"steps\":[%s,%s,%s],\"maxRuns\":%d,"
		"\"firstRunMs\":%lld,\"intervalMs\":%d}",
		step, step, step, runs, (long long)unix_ms() + INTERVAL_MS,
		INTERVAL_MS);
}

int case_main(void)
{
	const char *small = "{\"spec\":\"ms=500\",\"steps\":[{\"count\":4,"
			    "\"cpu\":5600,\"memMb\":8200,\"gpus\":1}]}";
	char *body, *state;
	int ends = 0, over = 0, i;

	minions_add(8);
	on_start = count_start;
	world_open(3, 2);
	submit(FIRST, small);
	world_sleep(3000);
	note("of its 4 tasks %d have started", starts_of_first);
	if (!starts_of_first)
		world_abort("the first job didn't start");
	body = timed_job(trouble ? RUNS_OF_A_YEAR : 4);
	submit(TIMED, body);
	g_free(body);
	world_sleep(15000);
	submit(SECOND, small);
	note("the traffic ends");
	world_sleep(FINISH_MS + 4000);
	for (i = 0; i < host_count; i++) {
		ends += host_exits[i];
		over += host_over_memory[i];
	}
	state = job_state((host_leader() + 1) % host_count, SECOND);
	note("%d s later job " SECOND " is shown as %s, starts of its 4 tasks: "
	     "%d",
	     (FINISH_MS + 4000) / 1000, state, starts_of_second);
	g_free(state);
	note("ends of processes that no one ordered: %d, over memoryMb: %d",
	     ends, over);
	world_finish(starts_of_second ? CASE_HELD : CASE_BROKEN);
}
