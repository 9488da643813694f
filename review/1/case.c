/*
 * A timed job of ordinary size runs often enough that the record of its
 * progress outgrows valueBytes.
 */
#include <stdio.h>
#include <string.h>

#include "world.h"

#define TIMED "5c0e7a21d94b3600"
#define ID_BYTES 16
#define WIDTH 72
#define INTERVAL_MS 300

static int others;	    /* jobs handed in besides */
static GHashTable *started; /* those of them that have started */

static void count_start(struct minion *m, const struct run *run)
{
	(void)m;
	if (!g_str_has_prefix(run->task, TIMED))
		g_hash_table_add(started, g_strndup(run->task, ID_BYTES));
}

static bool refused(void *ctx)
{
	(void)ctx;
	return store_too_large > 0;
}

static void submit_other(void)
{
	char *id = g_strdup_printf("%016x", 0xbeef00 + others);

	if (client(others % 3, "POST", id,
		   "{\"spec\":\"ms=500\",\"steps\":[{\"count\":1,\"cpu\":5600,"
		   "\"memMb\":8200,\"gpus\":1}]}",
		   3000, NULL) != 200)
		world_abort("a job wasn't accepted");
	others++;
	g_free(id);
}

static void submit_timed(int runs)
{
	char *step = g_strdup_printf("{\"count\":%d,\"cpu\":50,\"memMb\":50,"
				     "\"estimatedMs\":50}",
				     WIDTH);
	char *body = g_strdup_printf(
		"{\"spec\":\"ms=50\",\"steps\":[%s,%s,%s],\"maxRuns\":%d,"
		"\"firstRunMs\":%lld,\"intervalMs\":%d}",
		step, step, step, runs, (long long)unix_ms() + 1000,
		INTERVAL_MS);

	if (client(0, "POST", TIMED, body, 3000, NULL) != 200)
		world_abort("the timed job wasn't accepted");
	g_free(step);
	g_free(body);
}

int case_main(void)
{
	int before, i;
	char *state;

	minions_add(8);
	started = g_hash_table_new(g_str_hash, g_str_equal);
	on_start = count_start;
	world_open(3, 2);
	submit_timed(trouble ? 500 : 4);
	for (i = 0; i < 85 && !store_too_large; i++) {
		if (i % 5 == 0)
			submit_other();
		world_wait(1000, refused, NULL);
	}
	note("%d other jobs were handed in, %u have started; transactions "
	     "refused since a value is larger than valueBytes: %d",
	     others, g_hash_table_size(started), store_too_large);
	if (trouble && !store_too_large)
		world_abort("the record stayed below valueBytes for too long");
	world_sleep(2000);
	before = others;
	for (i = 0; i < 3; i++)
		submit_other();
	note("three more jobs were accepted; the traffic ends");
	world_sleep(FINISH_MS);
	state = job_state(1, "0000000000beef00");
	note("the first of the other jobs is shown as %s", state);
	g_free(state);
	for (i = before; i < others; i++) {
		char *id = g_strdup_printf("%016x", 0xbeef00 + i);

		state = job_state(1, id);
		note("job %s, accepted %d s ago, is shown as %s", id,
		     FINISH_MS / 1000, state);
		g_free(state);
		g_free(id);
	}
	note("of %d jobs beside the timed one %u have started; tasks at work: "
	     "%d, refused transactions: %d",
	     others, g_hash_table_size(started), running_total(),
	     store_too_large);
	world_finish(g_hash_table_size(started) < (guint)others ? CASE_BROKEN
								: CASE_HELD);
}
