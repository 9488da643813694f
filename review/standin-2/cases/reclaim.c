/*
 * A large job that lasts comes at once and takes all that is idle. Some of its
 * tasks may be unavailable at the same time. Then a tenant hands in a job of
 * priority 0, well within its guarantee.
 */
#include "common.h"

#define HOSTS 2
#define MINIONS 6
#define RECLAIM_MS 2900
#define ROUTES                                           \
	ROUTE("r-7ejsmzz", "/jobs/", "1", "1000", "3.0") \
	"," ROUTE("r-yyjsg3a", "/urgent/", "0", "250", "1.5")
#define GUARANTEED                                                          \
	"{\"name\":\"tofi31\",\"apiKeys\":[\"sure-key-2\"],\"priority\":1," \
	"\"guaranteed\":{\"gpus\":16}}"
/* 48 tasks of one accelerator: as many as the minions have. */
#define LASTING                                                      \
	"{\"spec\":\"lasts\",\"steps\":[{\"count\":48,\"cpu\":4000," \
	"\"memMb\":8192,\"gpus\":1,\"longRunning\":true,"            \
	"\"maxUnavailable\":4}]}"
#define URGENT                                                         \
	"{\"spec\":\"ms=2500\",\"steps\":[{\"count\":1,\"cpu\":15000," \
	"\"memMb\":61000,\"gpus\":1,\"estimatedMs\":2500}]}"
#define ID "00000000000000a2"
#define WATCH_MS 45000

int main(int argc, char **argv)
{
	int64_t accepted;
	struct task_seen seen;
	char answer[300];
	int i;

	if (argc != 2)
		return 2;
	begin(argv[1]);
	store_start();
	op_put("op/config",
	       CONFIG("1", ROUTES, TENANT("kaje80", KEY) "," GUARANTEED));
	for (i = 0; i < MINIONS; i++)
		minion_add("s", i % 3, 1, &KIND_A);
	hosts_up(HOSTS);
	if (trouble()) {
		if (submit(0, HOSTS, "/jobs/", "00000000000000a1", LASTING,
			   KEY) != 200)
			finish(2, "the job that lasts was not accepted");
		for (i = 0; tasks_seen("00000000000000a1").running < 48; i++) {
			if (i > 400)
				finish(2, "the tasks that last don't start");
			sleep_ms(100);
		}
	}
	/* They are at work, and all is calm. */
	sleep_ms(8000);
	if (submit(1, HOSTS, "/urgent/", ID, URGENT, "sure-key-2") != 200)
		finish(2, "the urgent job was not accepted");
	accepted = now_ms();
	while (now_ms() - accepted < WATCH_MS && !tasks_seen(ID).starts)
		sleep_ms(20);
	seen = tasks_seen(ID);
	client_call(1, "GET", "/urgent/" ID, NULL, "sure-key-2", answer,
		    sizeof(answer));
	if (seen.starts)
		record("the urgent job begins %.2f s after its acknowledgement",
		       (double)(seen.first_start_ms - accepted) / 1000);
	else
		record("the urgent job hasn't begun %.1f s after its "
		       "acknowledgement; %d of %d gpus in use, guaranteed 16",
		       (double)(now_ms() - accepted) / 1000, gpus_in_use(),
		       gpus_total());
	if (!seen.starts || seen.first_start_ms - accepted > RECLAIM_MS)
		finish(1, "guaranteed work doesn't begin in time");
	finish(0, "guaranteed work begins in time");
}
