/*
 * The store carries out the write that stores a job, resets the connection
 * before the answer, and turns that host away for a while. The client that
 * handed the job in does not try again after its answer.
 */
#include <signal.h>
#include <string.h>

#include "world.h"

#define ID "5c0e7a21d94b36f8"
#define AWAY_MS 2000
/* The client's host, which doesn't lead. */
#define HOST (host_leader() ? 0 : 1)

static int host;
static int64_t away_until_ms;
static int starts;

static void count_start(struct minion *m, const struct run *run)
{
	starts++;
	note("%s has started run %d of %s", m->id, run->run, run->task);
}

static bool turn_away(struct store_door *door, struct request *r)
{
	if (door->host != host)
		return false;
	if (!away_until_ms && !strcmp(r->path, "/kv-txn")) {
		away_until_ms = now_ms() + AWAY_MS;
		note("the store carries out the write of front-%d, resets its "
		     "connections and turns it away for %d ms",
		     host, AWAY_MS);
		store_execute(r, true);
		server_reset_conns(door->server);
		return true;
	}
	if (!away_until_ms || now_ms() > away_until_ms)
		return false;
	request_reply(r, 503, json_object());
	return true;
}

int case_main(void)
{
	char *answer = NULL, *state;
	int status;

	minions_add(8);
	on_start = count_start;
	world_open(3, 2);
	host = HOST;
	/* An earlier call, as on any host that has been up for a while. */
	client(host, "GET", "00000000000000aa", NULL, 3000, NULL);
	if (trouble)
		store_hook = turn_away;
	status = client(host, "POST", ID,
			"{\"spec\":\"ms=500\",\"steps\":[{\"count\":1,"
			"\"cpu\":5600,\"memMb\":8200,\"gpus\":1}]}",
			3000, &answer);
	note("the client that handed the job in is answered %d %s", status,
	     answer ? answer : "");
	g_free(answer);
	world_sleep(6000);
	state = job_state(host, ID);
	note("the job is shown as %s; starts of its task: %d", state, starts);
	g_free(state);
	world_finish((status == 503 || status == 429) && starts ? CASE_BROKEN
								: CASE_HELD);
}
