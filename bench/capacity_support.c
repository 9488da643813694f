#include "capacity.h"

#include <assert.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

static pid_t child;
static int life_fd = -1;

void capacity_line(const char *metric, const char *unit, double value)
{
	printf("{\"bench\":\"capacity\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.6g,\"baseline\":null,\"target\":null,"
	       "\"better\":\"lower\"}\n",
	       metric, unit, value);
	fflush(stdout);
}

double capacity_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

double capacity_cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

uint16_t capacity_child_start(void (*server)(int port_fd, int life_fd))
{
	int port_pipe[2];
	int life_pipe[2];
	uint16_t port = 0;
	ssize_t n;

	if (pipe(port_pipe) || pipe(life_pipe))
		abort();
	child = fork();
	if (!child) {
		close(port_pipe[0]);
		close(life_pipe[1]);
		server(port_pipe[1], life_pipe[0]);
		_exit(0);
	}
	close(port_pipe[1]);
	close(life_pipe[0]);
	life_fd = life_pipe[1];
	n = read(port_pipe[0], &port, sizeof(port));
	close(port_pipe[0]);
	if (n != sizeof(port))
		abort();
	return port;
}

void capacity_child_stop(void)
{
	close(life_fd);
	waitpid(child, NULL, 0);
}
