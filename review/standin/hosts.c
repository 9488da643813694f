/* The processes of cq-hostd, started as deploy/system.toml says. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "world.h"

#define PROGRAM "target/bin/cq-hostd"
#define RESTART_MS 500
#define TICK_S 0.05
#define LOUD 4

pid_t host_pid[MAX_HOSTS];
int host_count;
int host_exits[MAX_HOSTS];
int host_over_memory[MAX_HOSTS];

static char *settings_path[MAX_HOSTS];
static char *front_address[MAX_HOSTS];
static char *ready_address[MAX_HOSTS];
static int64_t restart_at_ms[MAX_HOSTS]; /* 0: no restart is due */
static bool ordered[MAX_HOSTS];		 /* the end was ordered by the case */
static ev_timer timer;

/* An address on which nothing listens. */
static char *free_address(void)
{
	struct server *s = server_listen("127.0.0.1", NULL, NULL);
	char *address = g_strdup(s->address);

	ev_io_stop(loop, &s->io);
	close(s->fd);
	return address;
}

static void write_settings(int host)
{
	const char *dir = g_getenv("CASE_TMP");
	json_t *bounds = json_pack("{s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i}",
				   "contactMs", CONTACT_MS, "drainMs", 2000,
				   "graceS", 6, "configApplyMs", 2000,
				   "holdMaxMs", HOLD_MAX_MS, "stopTimeoutMs",
				   STOP_TIMEOUT_MS, "cancel_ms", CANCEL_MS,
				   "leaseMs", 3000, "reclaimMs", 2900);
	char *name = g_strdup_printf("front-%d", host);
	json_t *root = json_pack(
		"{s:s,s:s,s:s,s:[s],s:s,s:s,s:s,s:{s:s,s:s},s:b,"
		"s:{s:f,s:i,s:i,s:i,s:f,s:i},s:i,s:o,s:s,"
		"s:{s:s,s:s,s:i,s:i,s:i,s:i,s:i}}",
		"nodeName", name, "role", "host", "machineClass", "front",
		"serves", "front", "ip", "127.0.0.1", "zone", "z0", "region",
		"r0", "listen", "front", front_address[host], "ready",
		ready_address[host], "bootstrap", 1, "limits", "cpuShare", 0.25,
		"cores", 1, "memoryMb", MEMORY_MB, "maxFds", 4100, "linkMbps",
		1000.0, "diskMb", 0, "heartbeatMs", 1500, "bounds", bounds,
		"orders", "invocation", "platform", "address",
		store_door_open(host), "form", "kv", "writesPerS", 400,
		"readsPerS", 2000, "historyS", 20, "valueBytes", VALUE_BYTES,
		"minTtlMs", 1000);

	settings_path[host] = g_strdup_printf("%s/%s.json", dir, name);
	if (json_dump_file(root, settings_path[host], 0))
		world_abort("cannot write the settings");
	json_decref(root);
	g_free(name);
}

void host_start(int host)
{
	char *variable = g_strdup_printf("CHESTNUTQUAY_NODE_FILE=%s",
					 settings_path[host]);
	char *log =
		g_strdup_printf("%s/front-%d.log", g_getenv("CASE_TMP"), host);
	char *envp[] = { variable, NULL };
	char *argv[] = { (char *)PROGRAM, NULL };
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	pid_t pid = fork();

	if (!pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execve(PROGRAM, argv, envp);
		_exit(127);
	}
	close(fd);
	host_pid[host] = pid;
	ordered[host] = false;
	restart_at_ms[host] = 0;
	g_free(variable);
	g_free(log);
}

void host_signal(int host, int signo)
{
	if (!host_pid[host])
		return;
	if (signo == SIGKILL || signo == SIGTERM)
		ordered[host] = true;
	kill(host_pid[host], signo);
}

static long rss_mb(int host)
{
	char *path = g_strdup_printf("/proc/%d/statm", (int)host_pid[host]);
	FILE *file = fopen(path, "r");
	long size = 0, pages = 0;

	if (file) {
		if (fscanf(file, "%ld %ld", &size, &pages) != 2)
			pages = 0;
		fclose(file);
	}
	g_free(path);
	return pages * sysconf(_SC_PAGESIZE) >> 20;
}

/* Tells the first ends of a process on standard output. */
static void count_exit(int host)
{
	(host_exits[host] < LOUD ? note : note_quiet)(
		"front-%d ended, which no one ordered", host);
	host_exits[host]++;
}

/* As the platform does, kills a process that exceeds memoryMb. */
static void check_memory(int host)
{
	long mb = rss_mb(host);

	if (mb <= MEMORY_MB)
		return;
	(host_over_memory[host] < LOUD ? note : note_quiet)(
		"front-%d takes %ld MB, memoryMb is %d: killed by the platform",
		host, mb, MEMORY_MB);
	host_over_memory[host]++;
	kill(host_pid[host], SIGKILL);
}

/* Restarts processes that have ended. */
static void on_tick(struct ev_loop *l, ev_timer *t, int events)
{
	int status, i;

	(void)l;
	(void)t;
	(void)events;
	for (i = 0; i < host_count; i++) {
		if (host_pid[i])
			check_memory(i);
		if (host_pid[i] && waitpid(host_pid[i], &status, WNOHANG) > 0) {
			if (!ordered[i])
				count_exit(i);
			host_pid[i] = 0;
			restart_at_ms[i] = now_ms() + RESTART_MS;
		}
		if (restart_at_ms[i] && now_ms() >= restart_at_ms[i])
			host_start(i);
	}
}

const char *host_front(int host)
{
	return front_address[host];
}

bool host_ready(int host)
{
	return http_call(ready_address[host], "GET", "/ready", "", NULL, 1000,
			 NULL) == 200;
}

int host_leader(void)
{
	char *value = store_read("cq/leader/holder");
	int host = -1;

	if (value)
		sscanf(value, "front-%d/", &host);
	g_free(value);
	return host;
}

void hosts_open(int count)
{
	int i;

	host_count = count;
	for (i = 0; i < count; i++) {
		front_address[i] = free_address();
		ready_address[i] = free_address();
		write_settings(i);
	}
	for (i = 0; i < count; i++)
		host_start(i);
	ev_timer_init(&timer, on_tick, TICK_S, TICK_S);
	ev_timer_start(loop, &timer);
}
