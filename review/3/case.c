/* More than 500 tasks end on a minion that is cut off. */
#include <stdio.h>
#include <string.h>

#include "world.h"

#define JOBS 10
#define WIDTH 72
#define TASKS (JOBS * WIDTH)
#define MINIONS 8
#define CUT_MS 3200

static GHashTable *done;  /* tasks that have ended "done" */
static GHashTable *noted; /* those whose end was taken note of */
static GHashTable *again; /* tasks started after such an end */
static int starts;

static void count_start(struct minion *m, const struct run *run)
{
	starts++;
	if (!g_hash_table_contains(done, run->task))
		return;
	g_hash_table_add(again, g_strdup(run->task));
	if (g_hash_table_size(again) <= 3)
		note("%s: run %d of %s is started, which has ended done", m->id,
		     run->run, run->task);
}

static void count_end(struct minion *m, const struct end *end)
{
	(void)m;
	if (!strcmp(end->how, "done"))
		g_hash_table_add(done, g_strdup(end->task));
	else
		note("%s ended %s", end->task, end->how);
}

static void count_noted(struct minion *m, const struct end *end)
{
	(void)m;
	if (!strcmp(end->how, "done"))
		g_hash_table_add(noted, g_strdup(end->task));
}

static bool all_run(void *ctx)
{
	(void)ctx;
	return starts >= TASKS;
}

int case_main(void)
{
	GHashTableIter iter;
	gpointer key;
	char *body, *state;
	int i, at = 0, broken = 0;

	done = g_hash_table_new(g_str_hash, g_str_equal);
	noted = g_hash_table_new(g_str_hash, g_str_equal);
	again = g_hash_table_new(g_str_hash, g_str_equal);
	on_start = count_start;
	on_end = count_end;
	on_noted = count_noted;
	minions_add(MINIONS);
	world_open(3, 2);
	body = g_strdup_printf(
		"{\"spec\":\"ms=3000\",\"steps\":[{\"count\":%d,\"cpu\":80,"
		"\"memMb\":150,\"estimatedMs\":3000}]}",
		WIDTH);
	for (i = 0; i < JOBS; i++) {
		char *id = g_strdup_printf("5c0e7a21d94b36%02x", i);

		if (client(i % 3, "POST", id, body, 3000, NULL) != 200)
			world_abort("a job wasn't accepted");
		g_free(id);
	}
	if (!world_wait(2800, all_run, NULL))
		world_abort("the tasks didn't start in time");
	for (i = 0; i < minion_count; i++)
		note("%s runs %u tasks", minions[i]->id, minions[i]->runs->len);
	if (trouble) {
		for (i = 1; i < minion_count; i++)
			if (minions[i]->runs->len > minions[at]->runs->len)
				at = i;
		note("%s is cut off for %d ms", minions[at]->id, CUT_MS);
		server_cut(minions[at]->server, true);
		world_sleep(CUT_MS);
		note("the cut has healed; ended done: %u",
		     g_hash_table_size(done));
		server_cut(minions[at]->server, false);
	}
	world_sleep(15000);
	state = job_state(1, "5c0e7a21d94b3609");
	g_hash_table_iter_init(&iter, again);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		broken += g_hash_table_contains(noted, key);
	note("the last job is shown as %s; %d tasks, %d starts; started after an "
	     "end \"done\": %u, of these ends taken note of: %d",
	     state, TASKS, starts, g_hash_table_size(again), broken);
	g_free(state);
	world_finish(broken ? CASE_BROKEN : CASE_HELD);
}
