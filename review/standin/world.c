/* Time, the record, and the opening and the end of a case. */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

#define KEY "key-of-tenant"

struct ev_loop *loop;
bool trouble = true;

static FILE *record;
static int64_t began_ms;

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

int64_t unix_ms(void)
{
	return read_clock(CLOCK_REALTIME);
}

static void write_note(const char *format, va_list args, bool quiet)
{
	char *text = g_strdup_vprintf(format, args);
	double at_s = (double)(now_ms() - began_ms) / 1000.0;

	if (record)
		fprintf(record, "%8.3f %s\n", at_s, text);
	if (!quiet) {
		printf("%8.3f %s\n", at_s, text);
		fflush(stdout);
	}
	g_free(text);
}

void note(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_note(format, args, false);
	va_end(args);
}

void note_quiet(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_note(format, args, true);
	va_end(args);
}

static void on_wake(struct ev_loop *l, ev_timer *t, int events)
{
	(void)l;
	(void)t;
	(void)events;
}

bool world_wait(int ms, bool (*condition)(void *ctx), void *ctx)
{
	int64_t until_ms = now_ms() + ms;
	ev_timer wake;
	bool met;

	ev_timer_init(&wake, on_wake, 0.005, 0.005);
	ev_timer_start(loop, &wake);
	while (!(met = condition && condition(ctx)) && now_ms() < until_ms)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
	return met;
}

void world_sleep(int ms)
{
	world_wait(ms, NULL, NULL);
}

int client(int host, const char *method, const char *id, const char *body,
	   int timeout_ms, char **answer)
{
	char *path = g_strdup_printf("/q/%s", id);
	char *headers = g_strdup_printf("Host: q.example\r\n"
					"Authorization: Token %s\r\n"
					"X-Deadline-Ms: %d\r\n",
					KEY, timeout_ms);
	int status;

	note_quiet("client: %s %s at front-%d: %.300s", method, path, host,
		   body ? body : "");
	status = http_call(host_front(host), method, path, headers, body,
			   timeout_ms, answer);
	note_quiet("client: %s %s at front-%d answered %d %s", method, path,
		   host, status, answer && *answer ? *answer : "");
	g_free(path);
	g_free(headers);
	return status;
}

char *job_state(int host, const char *id)
{
	char *text = NULL;
	int status = client(host, "GET", id, NULL, 3000, &text);
	json_t *root = text ? json_loads(text, 0, NULL) : NULL;
	const char *state = json_string_value(json_object_get(root, "state"));
	char *out = state ? g_strdup(state) : g_strdup_printf("%d", status);

	json_decref(root);
	g_free(text);
	return out;
}

static bool leader_known(void *ctx)
{
	(void)ctx;
	return host_leader() >= 0;
}

void world_open(int hosts, int max_attempts)
{
	int tries = 0;
	int i;

	store_write("op/config",
		    json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:f,s:i,s:i}],"
			      "s:[{s:s}],s:[{s:s,s:[s],s:{s:i}}]}",
			      "version", 3, "routes", "name", "q", "host",
			      "q.example", "prefix", "/q/", "service", "s",
			      "priority", 1, "maxAttempts", max_attempts,
			      "stretch", 3.0, "targetRuntimeMs", 1000,
			      "timeoutMs", 3000, "services", "name", "s",
			      "tenants", "name", "t", "apiKeys", KEY,
			      "guaranteed", "gpus", 8));
	hosts_open(hosts);
	if (!world_wait(10000, leader_known, NULL))
		world_abort("no leader was elected");
	for (i = 0; i < hosts; i++)
		while (!host_ready(i)) {
			if (tries++ > 200)
				world_abort("a host isn't ready");
			world_sleep(50);
		}
	world_sleep(1000);
	note("%d hosts are ready, front-%d leads", hosts, host_leader());
}

void world_finish(int code)
{
	int i;

	for (i = 0; i < MAX_HOSTS; i++) {
		if (!host_pid[i])
			continue;
		kill(host_pid[i], SIGCONT);
		kill(host_pid[i], SIGKILL);
		waitpid(host_pid[i], NULL, 0);
	}
	note("%s", code == CASE_BROKEN ? "the rule was BROKEN"
		   : code == CASE_HELD ? "the rule held"
				       : "the case could not run");
	if (record)
		fclose(record);
	exit(code);
}

void world_abort(const char *why)
{
	note("%s", why);
	world_finish(CASE_NOT_RUN);
}

int case_main(void);

int main(void)
{
	const char *path = g_getenv("CASE_RECORD");

	signal(SIGPIPE, SIG_IGN);
	trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	record = fopen(path ? path : "record.txt", "w");
	began_ms = now_ms();
	/* Not the default loop, which would reap the processes of the hosts. */
	loop = ev_loop_new(0);
	store_open();
	note("disruption: %s", trouble ? "yes" : "no (TROUBLE=0)");
	return case_main();
}
