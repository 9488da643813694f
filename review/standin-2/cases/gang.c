/*
 * Three racks of four minions. A task that lasts is at work in each of two
 * racks, near its data. One minion of the third rack is emptied and taken away.
 * Then a gang of four whole minions comes, sameRack.
 */
#include "common.h"

#define HOSTS 2
#define ROUTES ROUTE("r-7ejsmzz", "/jobs/", "1", "1000", "3.0")
#define LASTING(rack)                                               \
	"{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":4000," \
	"\"memMb\":8192,\"gpus\":1,\"dataRack\":\"" rack            \
	"\",\"longRunning\":true}]}"
#define GANG                                                              \
	"{\"spec\":\"ms=3000\",\"steps\":[{\"count\":4,\"cpu\":52000,"    \
	"\"memMb\":210000,\"gpus\":8,\"estimatedMs\":3000,\"gang\":true," \
	"\"sameRack\":true}]}"
#define GANG_ID "00000000000000b1"
#define GANG_TASKS 4
#define WATCH_MS 60000

int main(int argc, char **argv)
{
	int64_t submitted, idle_since = 0, longest = 0;
	char answer[300];
	int i, last = 0;

	if (argc != 2)
		return 2;
	begin(argv[1]);
	store_start();
	op_put("op/config", CONFIG("1", ROUTES, TENANT("kaje80", KEY)));
	for (i = 0; i < 12; i++)
		last = minion_add("s", i / 4, 1, &KIND_A);
	hosts_up(HOSTS);
	submit(0, HOSTS, "/jobs/", "00000000000000a1", LASTING("r0-1"), KEY);
	submit(1, HOSTS, "/jobs/", "00000000000000a2", LASTING("r1-1"), KEY);
	/* Each is alone and idle; they start within seconds. */
	for (i = 0; tasks_seen("00000000000000a").running < 2; i++) {
		if (i > 300)
			finish(2, "the tasks that last don't start");
		sleep_ms(100);
	}
	if (trouble())
		minion_drain(last, 2500);
	sleep_ms(5000);
	if (submit(0, HOSTS, "/jobs/", GANG_ID, GANG, KEY) != 200)
		finish(2, "the gang was not accepted");
	submitted = now_ms();
	while (now_ms() - submitted < WATCH_MS) {
		struct task_seen gang = tasks_seen(GANG_ID);
		bool room = free_whole_minions(&KIND_A) >= 2 * GANG_TASKS &&
			    gpus_in_use() * 2 < gpus_total();

		if (gang.done)
			break;
		if (gang.running || !room ||
		    now_ms() - submitted < FINISH_S * 1000)
			idle_since = 0;
		else if (!idle_since)
			idle_since = now_ms();
		if (idle_since && now_ms() - idle_since > longest)
			longest = now_ms() - idle_since;
		sleep_ms(20);
	}
	record("%d minions are free as a whole, %d of %d gpus in use",
	       free_whole_minions(&KIND_A), gpus_in_use(), gpus_total());
	client_call(1, "GET", "/jobs/" GANG_ID, NULL, KEY, answer,
		    sizeof(answer));
	record("the gang: %d starts, %d done; %.1f s without a run from %d s "
	       "after the last submission on",
	       tasks_seen(GANG_ID).starts, tasks_seen(GANG_ID).done,
	       (double)longest / 1000, FINISH_S);
	if (longest > STAY_MS)
		finish(1, "the gang never starts");
	finish(tasks_seen(GANG_ID).done ? 0 : 2, "the gang has run");
}
