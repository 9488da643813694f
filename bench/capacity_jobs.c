/* Job records, the state of the fleet and the sync of one worker. */
#include "capacity.h"

#if __has_include("chestnutquay/jobs.h") &&                      \
		  __has_include("chestnutquay/fleet_state.h") && \
				__has_include("chestnutquay/worker.h")

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "chestnutquay/fleet_state.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/jobs.h"
#include "chestnutquay/worker.h"

#define RECORDS 2000
#define WORKERS 957
/* 87,000 tasks on 22,000 workers. */
#define TASKS_PER_WORKER 4
#define REPORT_ROUNDS 20
#define SYNCS 5000
#define MAX_REQUEST_BYTES 8192

/* The other party: one connection, one request at a time. */
struct worker {
	int listener;
	int fd; /* -1: not connected yet */
	size_t len;
	char buffer[MAX_REQUEST_BYTES];
};

struct sync_run {
	struct ev_loop *loop;
	const struct cq_worker *worker;
	char address[32];
	uint32_t done;
	uint64_t request_bytes;
	bool over;
};

/* Tasks in the answer of the worker: those that changed since the last sync. */
static int changed_tasks;

static void fill_record(struct cq_job_record *record, int i);
static void on_changed(void *ctx, const struct cq_task_status *task,
		       bool present, int64_t sent_ns);
static void fill_tasks(struct cq_worker_task *tasks,
		       char ids[][CQ_JOB_TASK_ID_BYTES],
		       char jobs[][CQ_JOB_ID_BYTES], int worker);
static char *report_text(uint64_t version);
static size_t request_bytes(const struct worker *worker);
static void step_worker(void *ctx);
static void send_sync(struct sync_run *run);
static void on_sync(void *ctx, enum cq_worker_answer answer,
		    const struct cq_worker_report *report);

static void fill_record(struct cq_job_record *record, int i)
{
	cq_job_record_init(record);
	snprintf(record->id, sizeof(record->id), "%032x", i);
	g_strlcpy(record->workspace, "team-17", sizeof(record->workspace));
	g_strlcpy(record->class_name, "refresh", sizeof(record->class_name));
	record->tasks = 3;
	record->accelerators = 2;
	record->cpu_millicores = 16000;
	record->memory_bytes = UINT64_C(64) << 30;
	record->expected_ms = 7200000;
	record->can_checkpoint = true;
	record->phase = CQ_PHASE_RUNNING;
	record->attempt = 1;
	record->submitted_unix_ms = 1780000000000;
	record->started_unix_ms = 1780000060000;
	g_strlcpy(record->writer, "host-123/schedd", sizeof(record->writer));
	record->sequence = 1780000000000001;
	record->written_unix_ms = 1780000060000;
}

void capacity_jobs(void)
{
	struct cq_job_record record;
	double cpu = capacity_cpu_us();
	double bytes = 0;
	int i;

	for (i = 0; i < RECORDS; i++) {
		char *text;

		fill_record(&record, i);
		text = cq_job_record_format(&record);
		bytes += (double)strlen(text);
		if (!cq_job_record_parse(text, strlen(text), &record, NULL))
			g_error("job record does not parse");
		free(text);
	}
	capacity_line("job_record_cpu", "us",
		      (capacity_cpu_us() - cpu) / RECORDS);
	capacity_line("job_record_bytes", "bytes", bytes / RECORDS);
	capacity_line("job_record_memory", "bytes", sizeof(record));
}

static void on_changed(void *ctx, const struct cq_task_status *task,
		       bool present, int64_t sent_ns)
{
	(void)ctx;
	(void)task;
	(void)present;
	(void)sent_ns;
}

static void fill_tasks(struct cq_worker_task *tasks,
		       char ids[][CQ_JOB_TASK_ID_BYTES],
		       char jobs[][CQ_JOB_ID_BYTES], int worker)
{
	int i;

	for (i = 0; i < TASKS_PER_WORKER; i++) {
		struct cq_worker_task *task = &tasks[i];

		memset(task, 0, sizeof(*task));
		snprintf(jobs[i], CQ_JOB_ID_BYTES, "%032x",
			 worker * TASKS_PER_WORKER + i);
		cq_job_task_id(jobs[i], 1, 0, ids[i]);
		task->task_id = ids[i];
		task->job_id = jobs[i];
		task->attempt = 1;
		task->gang_size = 1;
		task->workspace = "team-17";
		task->class_name = "refresh";
		task->state = CQ_TASK_RUNNING;
		task->accelerator_mask = UINT64_C(3) << (2 * i);
		task->cpu_millicores = 16000;
		task->memory_bytes = UINT64_C(64) << 30;
		task->throttle_pct = 100;
		task->checkpoint_ms = -1;
	}
}

static char *report_text(uint64_t version)
{
	GString *out = g_string_new(NULL);
	int i;

	g_string_append_printf(
		out,
		"{\"boot_id\":\"4f2b6f0a-1c52-4a38-9d5e-0a5f6b1c2d3e\","
		"\"version\":%llu,\"capacity\":{\"accelerators\":8,"
		"\"cpu_millicores\":130000,\"memory_bytes\":536870912000},"
		"\"tasks\":[",
		(unsigned long long)version);
	for (i = 0; i < changed_tasks; i++)
		g_string_append_printf(
			out,
			"%s{\"task_id\":\"%032x.1.0\",\"job_id\":\"%032x\","
			"\"attempt\":1,\"rank\":0,\"gang_size\":1,"
			"\"workspace\":\"team-17\",\"class\":\"refresh\","
			"\"epoch\":4711,\"state\":\"running\","
			"\"accelerators\":3,\"cell\":0,"
			"\"cpu_millicores\":16000,"
			"\"memory_bytes\":68719476736,"
			"\"observed_millicores\":12345,"
			"\"observed_memory_bytes\":51539607552,"
			"\"throttle_pct\":100,\"lease_left_ms\":14000,"
			"\"run_ms\":3600000,\"checkpoint_ms\":3000000}",
			i ? "," : "", i, i);
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

/* Of the request in the buffer; 0 if it is not complete. */
static size_t request_bytes(const struct worker *worker)
{
	const char *end = strstr(worker->buffer, "\r\n\r\n");
	const char *length = strstr(worker->buffer, "Content-Length: ");
	size_t bytes;

	if (!end || !length)
		return 0;
	bytes = (size_t)(end + 4 - worker->buffer) +
		strtoul(length + 16, NULL, 10);
	return worker->len >= bytes ? bytes : 0;
}

/* Takes what has arrived; the version of the answer is the request's size. */
static void step_worker(void *ctx)
{
	struct worker *worker = ctx;
	char *body;
	char *answer;
	ssize_t n;

	if (worker->fd < 0)
		worker->fd = accept(worker->listener, NULL, NULL);
	if (worker->fd < 0)
		return;
	n = recv(worker->fd, worker->buffer + worker->len,
		 sizeof(worker->buffer) - worker->len - 1, MSG_DONTWAIT);
	if (n <= 0)
		return;
	worker->len += (size_t)n;
	worker->buffer[worker->len] = '\0';
	if (!request_bytes(worker))
		return;
	body = report_text(worker->len);
	answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nDate: Fri, 04 Dec 2026 10:00:00 "
		"GMT\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	worker->len = 0;
	if (write(worker->fd, answer, strlen(answer)) < 0)
		g_error("the answer of the worker was not sent");
	g_free(answer);
	g_free(body);
}

static uint16_t open_worker(struct worker *worker)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	worker->fd = -1;
	worker->len = 0;
	worker->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	inet_pton(AF_INET, "127.0.23.53", &address.sin_addr);
	if (bind(worker->listener, (struct sockaddr *)&address, len) ||
	    listen(worker->listener, 4))
		g_error("127.0.23.53 is in use");
	getsockname(worker->listener, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

static void send_sync(struct sync_run *run)
{
	static const char *const renew[TASKS_PER_WORKER] = {
		"00000000000000000000000000000000.1.0",
		"00000000000000000000000000000001.1.0",
		"00000000000000000000000000000002.1.0",
		"00000000000000000000000000000003.1.0",
	};
	struct cq_worker_sync sync = { .epoch = 4711,
				       .lease_ms = 15000,
				       .renew = renew,
				       .renew_count = TASKS_PER_WORKER,
				       .since_version = 123456 };

	run->worker->ops->sync(run->worker->self, run->address, &sync, 5000,
			       on_sync, run);
}

static void on_sync(void *ctx, enum cq_worker_answer answer,
		    const struct cq_worker_report *report)
{
	struct sync_run *run = ctx;

	if (answer != CQ_WORKER_ANSWER_OK ||
	    report->task_count != (uint32_t)changed_tasks)
		g_error("worker sync failed");
	run->request_bytes += report->version;
	run->over = ++run->done == SYNCS;
	if (!run->over)
		send_sync(run);
}

static void measure_sync(const char *cpu_metric, const char *bytes_metric)
{
	struct sync_run run = { 0 };
	struct cq_http_client *client;
	struct cq_worker_http *http;
	static struct worker worker;
	uint16_t port = open_worker(&worker);
	char *body = report_text(100);
	struct capacity_cost cost;

	run.loop = ev_loop_new(0);
	snprintf(run.address, sizeof(run.address), "127.0.23.53:%u", port);
	client = cq_http_client_create(run.loop, 8, 8);
	http = cq_worker_http_create(client);
	run.worker = cq_worker_http_get(http);
	send_sync(&run);
	capacity_run(run.loop, step_worker, &worker, &run.over, &cost);
	capacity_line(cpu_metric, "us", cost.cpu_us / SYNCS);
	/* Request and answer; headers of the answer as the bench sends them. */
	capacity_line(bytes_metric, "bytes",
		      (double)run.request_bytes / SYNCS + (double)strlen(body) +
			      105);
	g_free(body);
	cq_worker_http_destroy(http);
	cq_http_client_destroy(client);
	ev_loop_destroy(run.loop);
	close(worker.fd);
	close(worker.listener);
}

static void measure_fleet(void)
{
	struct cq_worker_task tasks[TASKS_PER_WORKER];
	char ids[TASKS_PER_WORKER][CQ_JOB_TASK_ID_BYTES];
	char jobs[TASKS_PER_WORKER][CQ_JOB_ID_BYTES];
	struct cq_worker_report report = { .boot_id = "boot",
					   .version = 1,
					   .accelerators = 8,
					   .millicores = 130000,
					   .memory_bytes = UINT64_C(500) << 30,
					   .tasks = tasks,
					   .task_count = TASKS_PER_WORKER };
	double heap = capacity_heap_bytes();
	struct cq_fleet_state *fleet = cq_fleet_state_create(on_changed, NULL);
	double with_workers;
	double cpu;
	int round;
	int i;

	for (i = 0; i < WORKERS; i++) {
		char name[CQ_JOB_NAME_BYTES];
		char address[24];

		snprintf(name, sizeof(name), "worker-%d", i);
		snprintf(address, sizeof(address), "10.1.%d.%d:80", i / 250,
			 i % 250);
		cq_fleet_state_list_worker(fleet, name, address, "rack-7");
	}
	with_workers = capacity_heap_bytes();
	capacity_line("worker_memory", "bytes",
		      (with_workers - heap) / WORKERS);
	cpu = 0;
	for (round = 0; round <= REPORT_ROUNDS; round++) {
		for (i = 0; i < WORKERS; i++) {
			fill_tasks(tasks, ids, jobs, i);
			report.version = (uint64_t)round + 1;
			if (!cq_fleet_state_report(fleet, (uint32_t)i, &report,
						   !round, round + 1))
				g_error("report was not taken");
		}
		if (!round) {
			capacity_line("task_memory", "bytes",
				      (capacity_heap_bytes() - with_workers) /
					      WORKERS / TASKS_PER_WORKER);
			cpu = capacity_cpu_us();
		}
	}
	capacity_line("worker_report_cpu", "us",
		      (capacity_cpu_us() - cpu) / WORKERS / REPORT_ROUNDS);
	cq_fleet_state_destroy(fleet);
}

void capacity_workers(void)
{
	changed_tasks = TASKS_PER_WORKER;
	measure_sync("worker_sync_cpu", "worker_sync_bytes");
	changed_tasks = 0;
	measure_sync("worker_sync_unchanged_cpu",
		     "worker_sync_unchanged_bytes");
	measure_fleet();
}

#else

void capacity_jobs(void)
{
}

void capacity_workers(void)
{
}

#endif
