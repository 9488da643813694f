/*
 * A configuration removes a route while accepted jobs of its queue are at work
 * or wait. Another route sends to the same service.
 */
#include "common.h"

#define HOSTS 2
#define KEPT ROUTE("r-7ejsmzz", "/kept/", "1", "1000", "3.0")
#define GOING ROUTE("r-jwyy7yx", "/going/", "1", "1000", "3.0")
#define TENANTS TENANT("kaje80", KEY)
#define JOB                                                             \
	"{\"spec\":\"ms=4000\",\"steps\":[{\"count\":2,\"cpu\":4000,"   \
	"\"memMb\":8192,\"gpus\":1,\"estimatedMs\":4000},{\"count\":2," \
	"\"cpu\":4000,\"memMb\":8192,\"gpus\":1,\"estimatedMs\":4000,"  \
	"\"after\":[0]}]}"
#define ID "00000000000000c1"
#define OTHER "00000000000000c2"
#define WATCH_MS 45000

int main(int argc, char **argv)
{
	int64_t submitted, idle_since = 0, longest = 0;
	char answer[300];
	int i;

	if (argc != 2)
		return 2;
	begin(argv[1]);
	store_start();
	op_put("op/config", CONFIG("1", KEPT "," GOING, TENANTS));
	for (i = 0; i < 6; i++)
		minion_add("s", i % 3, 1, &KIND_A);
	hosts_up(HOSTS);
	if (submit(0, HOSTS, "/going/", ID, JOB, KEY) != 200 ||
	    submit(1, HOSTS, "/kept/", OTHER, JOB, KEY) != 200)
		finish(2, "the jobs were not accepted");
	submitted = now_ms();
	sleep_ms(2000);
	if (trouble())
		op_put("op/config", CONFIG("3", KEPT, TENANTS));
	while (now_ms() - submitted < WATCH_MS) {
		struct task_seen job = tasks_seen(ID);

		if (job.done == 4)
			break;
		if (job.running || job.done < 2 ||
		    now_ms() - submitted < FINISH_S * 1000 ||
		    gpus_in_use() * 2 >= gpus_total())
			idle_since = 0;
		else if (!idle_since)
			idle_since = now_ms();
		if (idle_since && now_ms() - idle_since > longest)
			longest = now_ms() - idle_since;
		sleep_ms(20);
	}
	record("%d of %d gpus in use", gpus_in_use(), gpus_total());
	client_call(1, "GET", "/going/" ID, NULL, KEY, answer, sizeof(answer));
	client_call(1, "DELETE", "/going/" ID, NULL, KEY, answer,
		    sizeof(answer));
	client_call(1, "GET", "/kept/" OTHER, NULL, KEY, answer,
		    sizeof(answer));
	record("the job: %d of 4 tasks done; %.1f s without a run from %d s "
	       "after the last submission on",
	       tasks_seen(ID).done, (double)longest / 1000, FINISH_S);
	if (longest > STAY_MS)
		finish(1, "an accepted job is never run to its end");
	finish(tasks_seen(ID).done == 4 ? 0 : 2, "the job has run");
}
