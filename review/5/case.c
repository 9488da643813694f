/*
 * A job is cancelled while the minion that runs its task is cut off, and the
 * leader's process is killed before the cut heals.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

#define ID "5c0e7a21d94b36f8"
#define CUT_MS 3200
/*
 * No disruption is near from contactMs after the last one on; after cancel_ms
 * and stopTimeoutMs of that the task has to be gone. 2 s are added.
 */
#define WAIT_MS (CONTACT_MS + CANCEL_MS + STOP_TIMEOUT_MS + 2000)

static bool one_runs(void *ctx)
{
	(void)ctx;
	return running_total() == 1;
}

static struct minion *runner(void)
{
	int i;

	for (i = 0; i < minion_count; i++)
		if (minions[i]->runs->len)
			return minions[i];
	return NULL;
}

int case_main(void)
{
	struct minion *m;
	int leader, other, status;
	char *state;

	minions_add(8);
	world_open(3, 2);
	if (client(0, "POST", ID,
		   "{\"spec\":\"for as long as it is wanted\",\"steps\":"
		   "[{\"count\":1,\"cpu\":5600,\"memMb\":8200,\"gpus\":1,"
		   "\"longRunning\":true}]}",
		   3000, NULL) != 200)
		world_abort("the job wasn't accepted");
	if (!world_wait(5000, one_runs, NULL))
		world_abort("the job didn't start");
	world_sleep(2500);
	m = runner();
	leader = host_leader();
	other = leader ? 0 : 1;
	if (trouble) {
		note("%s, which runs the task, is cut off for %d ms", m->id,
		     CUT_MS);
		server_cut(m->server, true);
	}
	world_sleep(1000);
	status = client(other, "DELETE", ID, NULL, 3000, NULL);
	note("the job was cancelled: %d", status);
	if (status != 200)
		world_abort("the cancelling wasn't acknowledged");
	world_sleep(1500);
	if (trouble) {
		note("the process of front-%d, the leader, is killed", leader);
		host_signal(leader, SIGKILL);
		world_sleep(CUT_MS - 2500);
		note("the cut has healed");
		server_cut(m->server, false);
	}
	world_sleep(WAIT_MS);
	state = job_state(other, ID);
	note("%d ms later the job is shown as %s, its tasks at work: %d",
	     WAIT_MS, state, running_total());
	g_free(state);
	world_finish(running_total() ? CASE_BROKEN : CASE_HELD);
}
