/*
 * cq-case-3 NAME PROGRAM FOLDER RECORD: plays the case of that name with
 * processes of PROGRAM, cq-hostd. Exits with 1 if the rule was broken, 0 if it
 * held, 2 if the case couldn't run. With TROUBLE=0 in the environment there is
 * no disruption.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"

static const struct {
	const char *name;
	void (*play)(struct world *w, const char *program, bool trouble);
} cases[] = {
	{ "overdue", case_overdue }, { "spread", case_spread },
	{ "starve", case_starve },   { "cancel", case_cancel },
	{ "pending", case_pending }, { "headroom", case_headroom },
	{ "route", case_route },
};

static void on_wait(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

void wait_ms(struct world *w, int ms)
{
	ev_timer timer;

	ev_now_update(w->loop);
	ev_timer_init(&timer, on_wait, ms / 1000., 0.);
	ev_timer_start(w->loop, &timer);
	ev_run(w->loop, 0);
	ev_timer_stop(w->loop, &timer);
}

void write_config(struct world *w, int version, bool with_batch)
{
	char *config = g_strdup_printf(
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"r-urgent\",\"host\":\"%s\",\"prefix\":\"/urgent/\","
		"\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
		"\"targetRuntimeMs\":250,\"priority\":0,\"service\":\"%s\","
		"\"maxAttempts\":4,\"stretch\":1.5,\"allowAnonymous\":false}"
		"%s],\"services\":[{\"name\":\"%s\",\"healthPath\":\"/health\","
		"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
		"\"admissionCheck\":false,\"standby\":false}],\"limits\":{"
		"\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":"
		"[{\"name\":\"first\",\"apiKeys\":[\"%s\"],\"priority\":1,"
		"\"guaranteed\":{\"gpus\":16}}]}",
		version, HOST_NAME, SERVICE,
		with_batch ? ",{\"name\":\"r-batch\",\"host\":\"" HOST_NAME
			     "\",\"prefix\":\"/batch/\",\"kind\":"
			     "\"non_idempotent\",\"timeoutMs\":3000,"
			     "\"targetRuntimeMs\":3000,\"priority\":2,"
			     "\"service\":\"" SERVICE "\",\"maxAttempts\":3,"
			     "\"stretch\":3.0,\"allowAnonymous\":false}"
			   : "",
		SERVICE, KEY);

	world_note(w, "operator  writes version %d of the configuration%s",
		   version, with_batch ? "" : ", without the batch queue");
	store_write(w, "op/config", config);
	g_free(config);
}

void open_world(struct world *w, const char *program, int hosts)
{
	int i;

	write_config(w, 7, true);
	for (i = 0; i < hosts; i++)
		host_start(w, program);
	wait_ms(w, 4000);
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	struct world *w;
	FILE *record;
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 5 || !(record = fopen(argv[4], "w"))) {
		fprintf(stderr, "usage: %s NAME PROGRAM FOLDER RECORD\n",
			argv[0]);
		return 2;
	}
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (strcmp(cases[i].name, argv[1]))
			continue;
		w = world_create(argv[3], record);
		cases[i].play(w, argv[2], !trouble || strcmp(trouble, "0"));
		world_note(w, "result  %s",
			   w->failed   ? "the case couldn't run"
			   : w->broken ? "the rule was broken"
				       : "the rule held");
		world_destroy(w);
		return w->failed ? 2 : w->broken;
	}
	fprintf(stderr, "no such case: %s\n", argv[1]);
	return 2;
}
