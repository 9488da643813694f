/* The processes of cq-hostd, and clients that call them. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "internal.h"

#define PROGRAM "target/bin/cq-hostd"
#define RESTART_MS 500
#define CLIENT_WAIT_MS 3000
#define CLIENT_TRIES 5

struct host {
	char name[32], ip[32];
	int front, ready;
	volatile pid_t pid;
	int own_ends;
	int starts;
};

static struct host hosts[MAX_HOSTS];
static volatile bool ending;

static void write_settings(const struct host *h, int i, const char *path)
{
	FILE *f = fopen(path, "w");

	if (!f)
		exit(2);
	fprintf(f,
		"{\"nodeName\":\"%s\",\"role\":\"host\",\"machineClass\":"
		"\"front\",\"serves\":[\"front\"],\"ip\":\"%s\",\"zone\":"
		"\"z%d\",\"region\":\"r\",\"zones\":{\"z0\":\"r\",\"z1\":\"r\","
		"\"z2\":\"r\"},\"listen\":{\"front\":\"%s:%d\",\"ready\":"
		"\"%s:%d\"},\"bootstrap\":true,\"limits\":{\"cpuShare\":0.25,"
		"\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":"
		"1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":"
		"\"platform\",\"entry\":\"vip\",\"heartbeatMs\":%d,"
		"\"bounds\":{\"contactMs\":3000,\"ackMs\":4000,\"graceS\":6,"
		"\"configApplyMs\":2000,\"holdMaxMs\":%d,\"stopTimeoutMs\":%d,"
		"\"gangTimeoutMs\":%d,\"cancel_ms\":3000,\"visible_ms\":3000,"
		"\"early_ms\":250,\"finish_s\":14,\"status_s\":120,"
		"\"remoteFactor\":3,\"checkpointIntervalS\":1,\"restoreMs\":"
		"250,\"noticeMs\":4500,\"requireFencing\":true,\"leaseMs\":"
		"3000,\"reclaimMs\":2900},\"orders\":\"invocation\","
		"\"platform\":{\"address\":\"%s\",\"form\":\"kv\","
		"\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,"
		"\"valueBytes\":1048576,\"minTtlMs\":1000}}\n",
		h->name, h->ip, i % 3, h->ip, h->front, h->ip, h->ready,
		HEARTBEAT_MS, HOLD_MAX_MS, STOP_MS, GANG_TIMEOUT_MS,
		store_address);
	fclose(f);
}

static void spawn(int i)
{
	struct host *h = &hosts[i];
	char settings[300], log[300];
	pid_t pid;

	snprintf(settings, sizeof(settings), "%s/%s.json", work_dir, h->name);
	snprintf(log, sizeof(log), "%s/%s.log", work_dir, h->name);
	write_settings(h, i, settings);
	setenv("CHESTNUTQUAY_NODE_FILE", settings, 1);
	pid = fork();
	if (pid < 0)
		exit(2);
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		for (fd = 3; fd < 1024; fd++)
			close(fd);
		execl(PROGRAM, PROGRAM, (char *)NULL);
		_exit(127);
	}
	h->pid = pid;
	h->starts++;
	record("%s: process %d starts", h->name, h->starts);
}

void host_start(int i)
{
	struct host *h = &hosts[i];

	snprintf(h->name, sizeof(h->name), "front-%d", i + 1);
	snprintf(h->ip, sizeof(h->ip), "127.0.63.%d", i + 1);
	h->front = free_port(h->ip);
	h->ready = free_port(h->ip);
	spawn(i);
}

pid_t host_pid(int i)
{
	return hosts[i].pid;
}

int host_own_ends(int i)
{
	return hosts[i].own_ends;
}

static void *supervise(void *arg)
{
	for (;;) {
		for (int i = 0; i < MAX_HOSTS; i++) {
			struct host *h = &hosts[i];
			int status;

			if (!h->pid || waitpid(h->pid, &status, WNOHANG) <= 0)
				continue;
			if (ending)
				return arg;
			h->own_ends++;
			record("%s: process %d ends by itself: %s %d", h->name,
			       h->starts,
			       WIFSIGNALED(status) ? "signal" : "status",
			       WIFSIGNALED(status) ? WTERMSIG(status)
						   : WEXITSTATUS(status));
			sleep_ms(RESTART_MS);
			if (!ending)
				spawn(i);
		}
		sleep_ms(20);
	}
	return arg;
}

void hosts_supervise(void)
{
	pthread_t thread;

	pthread_create(&thread, NULL, supervise, NULL);
}

void hosts_end(void)
{
	ending = true;
	for (int i = 0; i < MAX_HOSTS; i++)
		if (hosts[i].pid) {
			kill(hosts[i].pid, SIGKILL);
			waitpid(hosts[i].pid, NULL, 0);
		}
}

static int call(const char *ip, int port, const char *request, char *answer,
		size_t bytes, int wait_ms)
{
	struct sockaddr_in at = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };
	struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };
	char buffer[8192];
	size_t len = 0;
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *body;

	inet_pton(AF_INET, ip, &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (answer && bytes)
		*answer = 0;
	if (!connect(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    send(fd, request, strlen(request), MSG_NOSIGNAL) > 0) {
		ssize_t n;

		while (len + 1 < sizeof(buffer) &&
		       (n = recv(fd, buffer + len, sizeof(buffer) - 1 - len,
				 0)) > 0)
			len += (size_t)n;
		buffer[len] = 0;
		if (sscanf(buffer, "HTTP/1.1 %d", &status) != 1)
			status = 0;
		body = strstr(buffer, "\r\n\r\n");
		if (body && answer)
			snprintf(answer, bytes, "%s", body + 4);
	}
	close(fd);
	return status;
}

void host_wait_ready(int i, int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	while (now_ms() < until) {
		if (call(hosts[i].ip, hosts[i].ready,
			 "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: "
			 "close\r\n\r\n",
			 NULL, 0, 1000) == 200)
			return;
		sleep_ms(50);
	}
	finish(2, "a host is not ready");
}

int client_call(int host, const char *method, const char *path,
		const char *body, const char *key, char *answer,
		size_t answer_bytes)
{
	char request[8192], local[512];
	int status;

	snprintf(request, sizeof(request),
		 "%s %s HTTP/1.1\r\nHost: q.example\r\nConnection: close\r\n"
		 "Content-Type: application/json\r\nAuthorization: Token %s\r\n"
		 "X-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
		 method, path, key, CLIENT_WAIT_MS, body ? strlen(body) : 0,
		 body ? body : "");
	status = call(hosts[host].ip, hosts[host].front, request, local,
		      sizeof(local), CLIENT_WAIT_MS);
	if (answer)
		snprintf(answer, answer_bytes, "%s", local);
	record("client: %s %s at %s: %d %s", method, path, hosts[host].name,
	       status, local);
	return status;
}

int submit(int host, int count, const char *prefix, const char *id,
	   const char *body, const char *key)
{
	char path[128];
	int status = 0;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	job_note(id, body);
	for (int i = 0; i < CLIENT_TRIES; i++) {
		status = client_call((host + i) % count, "POST", path, body,
				     key, NULL, 0);
		if (status && status != 502 && status != 504)
			break;
		sleep_ms(100);
	}
	return status;
}
