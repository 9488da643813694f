/*
 * A configuration brings a tenant with a long name. Its clients submit jobs,
 * and try other hosts when a connection breaks.
 */
#include "common.h"

#define HOSTS 3
#define JOBS 6
#define ROUTES ROUTE("r-7ejsmzz", "/jobs/", "1", "1000", "3.0")
#define FIRST TENANT("kaje80", KEY)
/* In Gujarati: "Shri Ambika Garba Mandal", and ", Amdavad". */
#define SHORT_NAME "શ્રી અંબિકા ગરબા મંડળ"
#define LONG_NAME SHORT_NAME ", અમદાવાદ"
#define NEW_KEY "new-key-7"

int main(int argc, char **argv)
{
	int hit = 0, ends = 0, accepted = 0, served = 0, i;

	if (argc != 2)
		return 2;
	begin(argv[1]);
	store_start();
	op_put("op/config", CONFIG("1", ROUTES, FIRST));
	for (i = 0; i < 6; i++)
		minion_add("s", i % 3, 1, &KIND_A);
	hosts_up(HOSTS);
	hosts_supervise();
	record("the name of the new tenant has %zu bytes",
	       strlen(trouble() ? LONG_NAME : SHORT_NAME));
	op_put("op/config",
	       trouble() ? CONFIG("2", ROUTES,
				  FIRST "," TENANT(LONG_NAME, NEW_KEY))
			 : CONFIG("2", ROUTES,
				  FIRST "," TENANT(SHORT_NAME, NEW_KEY)));
	sleep_ms(2000); /* configApplyMs */
	for (i = 0; i < JOBS; i++) {
		char id[20];

		snprintf(id, sizeof(id), "00000000000000%02x", 0xa0 + i);
		accepted += submit(i % HOSTS, HOSTS, "/jobs/", id,
				   "{\"spec\":\"ms=500\",\"steps\":[{\"count\":"
				   "1,\"cpu\":1000,\"memMb\":100,\"gpus\":1}]}",
				   NEW_KEY) == 200;
		sleep_ms(1500);
	}
	sleep_ms(2000);
	for (i = 0; i < HOSTS; i++) {
		record("front-%d: %d processes ended by themselves", i + 1,
		       host_own_ends(i));
		hit += host_own_ends(i) >= 3;
		ends += host_own_ends(i);
	}
	served = tasks_seen("").done;
	record("%d of %d jobs were accepted, %d ran; %d ends in all", accepted,
	       JOBS, served, ends);
	/* A tenth of the machines, two at least, three times each. */
	if (hit >= 2)
		finish(1, "processes end by themselves");
	if (accepted < JOBS)
		finish(2, "jobs were not accepted");
	finish(0, "no process ends by itself");
}
