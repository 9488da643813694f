/* The cases that are scripts, see the claim.txt of each. */
#include "cases.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define CPU 64000
#define MEMORY_MB 131072
#define GPUS 8
#define RECLAIM_MS 2900
#define CANCEL_MS 3000
#define FINISH_MS 14000
#define VISIBLE_MS 3000

static int accepted;

static void on_accepted(struct world *w, const char *id, int status,
			const char *body)
{
	(void)w;
	(void)id;
	(void)body;
	accepted += status == 200;
}

static int runs_of(const struct world *w, const char *id);

/* Waits until so many calls were accepted and so many runs are at work. */
static void wait_until(struct world *w, int calls, const char *id, int runs,
		       int limit_ms)
{
	int64_t from_ms = world_now(w);

	while (accepted < calls || runs_of(w, id) < runs) {
		if (world_now(w) - from_ms > limit_ms) {
			w->failed = true;
			return;
		}
		wait_ms(w, 100);
	}
}

static int runs_of(const struct world *w, const char *id)
{
	int count = 0;
	int i;

	for (i = 0; i < w->minion_count; i++)
		count += minion_runs_of(&w->minions[i], id);
	return count;
}

/*
 * RECLAIM: three large jobs of low priority, which last, come at once and take
 * three of four minions. Then a job of priority 0, within its tenant's
 * guarantee, wants one task on each minion.
 */
void case_spread(struct world *w, const char *program, bool trouble)
{
	static const char job[] = "5c0e7a21d94b36f8";
	static const char *const lent[] = { "aaaaaaaaaaaaaaa1",
					    "aaaaaaaaaaaaaaa2",
					    "aaaaaaaaaaaaaaa3" };
	int64_t asked_ms;
	size_t i;

	for (i = 0; i < 4; i++)
		minion_open(w, CPU, MEMORY_MB, GPUS);
	open_world(w, program, 2);
	for (i = 0; trouble && i < G_N_ELEMENTS(lent); i++)
		client_call(w, 0, "POST", "/batch/", lent[i],
			    "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,"
			    "\"cpu\":8000,\"memMb\":1024,\"gpus\":8,"
			    "\"longRunning\":true,\"estimatedMs\":5000}]}",
			    on_accepted);
	if (trouble)
		wait_until(w, G_N_ELEMENTS(lent), "aaaaaaaaaaaaaaa",
			   G_N_ELEMENTS(lent), 20000);
	wait_ms(w, 3000);
	accepted = 0;
	asked_ms = world_now(w);
	client_call(w, 1, "POST", "/urgent/", job,
		    "{\"spec\":\"lasts\",\"steps\":[{\"count\":4,\"cpu\":1000,"
		    "\"memMb\":256,\"gpus\":1,\"maxPerServer\":1,"
		    "\"longRunning\":true,\"estimatedMs\":5000}]}",
		    on_accepted);
	wait_until(w, 1, job, 0, 3000);
	while (world_now(w) - asked_ms < 40000) {
		wait_ms(w, 500);
		if (world_now(w) - asked_ms > RECLAIM_MS + 500)
			w->broken |= runs_of(w, job) < 4;
	}
	world_note(w, "check   tasks of the guaranteed job at work: %d of 4",
		   runs_of(w, job));
}

static int completed;

static void on_state(struct world *w, const char *id, int status,
		     const char *body)
{
	(void)w;
	(void)id;
	completed += status == 200 && strstr(body, "completed");
}

/*
 * LOST: one of twenty jobs can never be done, since it wants more minions than
 * there are. The others can.
 */
void case_starve(struct world *w, const char *program, bool trouble)
{
	char id[32];
	int i, k;

	for (i = 0; i < 6; i++)
		minion_open(w, CPU, MEMORY_MB, GPUS);
	open_world(w, program, 2);
	for (i = 0; i < 20; i++) {
		bool never = trouble && i == 4;

		g_snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", i);
		client_call(w, i % 2, "POST", "/urgent/", id,
			    never ? "{\"spec\":\"lasts\",\"steps\":[{\"count\":"
				    "12,\"cpu\":1000,\"memMb\":256,\"gpus\":1,"
				    "\"maxPerServer\":1,\"longRunning\":true,"
				    "\"estimatedMs\":5000}]}"
				  : "{\"spec\":\"ms=1000\",\"steps\":[{"
				    "\"count\":2,\"cpu\":1000,\"memMb\":256,"
				    "\"gpus\":1,\"estimatedMs\":1000}]}",
			    on_accepted);
		wait_ms(w, 500);
	}
	if (accepted != 20)
		w->failed = true;
	wait_ms(w, FINISH_MS);
	/* For 3 s, asked once a second */
	for (k = 0; k < 4; k++) {
		int at_work = 0;

		completed = 0;
		for (i = 0; i < 20; i++) {
			g_snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", i);
			if (trouble && i == 4)
				continue;
			client_call(w, i % 2, "GET", "/urgent/", id, NULL,
				    on_state);
			at_work += runs_of(w, id) > 0;
		}
		wait_ms(w, 1000);
		world_note(w,
			   "check   of the others %d are completed, %d at work",
			   completed, at_work);
		if (completed + at_work >= (trouble ? 19 : 20))
			return;
	}
	w->broken = true;
}

static int64_t cancelled_ms;

static void on_cancelled(struct world *w, const char *id, int status,
			 const char *body)
{
	(void)id;
	(void)body;
	if (status / 100 == 2 || status == 410)
		cancelled_ms = world_now(w);
}

static void on_started(struct minion *m, const struct run *run)
{
	struct world *w = m->world;

	if (!cancelled_ms || world_now(w) <= cancelled_ms + CANCEL_MS)
		return;
	world_note(w,
		   "check   %s starts %d ms after the job's cancelling was "
		   "acknowledged",
		   run->task, (int)(world_now(w) - cancelled_ms));
	w->broken = true;
}

/*
 * UNASKED: the store loses the answer of the write of a job, and does it late.
 * The client leaves before it has an answer, and cancels the job.
 */
void case_cancel(struct world *w, const char *program, bool trouble)
{
	static const char job[] = "5c0e7a21d94b36f8";
	struct cq_http_call *call;

	w->started = on_started;
	minion_open(w, CPU, MEMORY_MB, GPUS);
	minion_open(w, CPU, MEMORY_MB, GPUS);
	open_world(w, program, 2);
	w->late_ms = trouble ? 5800 : 0;
	call = client_call(w, 0, "POST", "/urgent/", job,
			   "{\"spec\":\"ms=8000\",\"steps\":[{\"count\":2,"
			   "\"cpu\":1000,\"memMb\":256,\"gpus\":1,"
			   "\"estimatedMs\":8000}]}",
			   on_accepted);
	wait_ms(w, 125);
	if (!accepted) {
		cq_http_call_cancel(call);
		world_note(w, "client  leaves without an answer");
	}
	wait_ms(w, 375);
	client_call(w, 1, "DELETE", "/urgent/", job, NULL, on_cancelled);
	wait_ms(w, 1000);
	if (!cancelled_ms || !trouble != (accepted == 1))
		w->failed = true;
	wait_ms(w, 14000);
}

static int waiting; /* accepted, and not begun */

static void on_count(struct world *w, const char *id, int status,
		     const char *body)
{
	const char *count = strstr(body, "\"pending\":");

	(void)id;
	if (status != 200 || !count || atoi(count + 10) * 2 >= waiting)
		return;
	world_note(w, "check   %d accepted jobs haven't begun, pending is %d",
		   waiting, atoi(count + 10));
	w->broken = true;
}

/*
 * MIXED: one of ten minions refuses starts for a while, and four jobs need it.
 * The queue's count of the jobs that haven't begun is asked for.
 */
void case_pending(struct world *w, const char *program, bool trouble)
{
	char id[32];
	int i;

	for (i = 0; i < 10; i++)
		minion_open(w, CPU, MEMORY_MB, GPUS);
	w->minions[3].kind = "b";
	open_world(w, program, 2);
	/* The entry shows the kind from the first heartbeat on. */
	if (trouble)
		w->minions[3].sick_until_ms = world_now(w) + 5500;
	for (i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", i);
		client_call(w, i % 2, "POST", "/urgent/", id,
			    "{\"spec\":\"ms=20000\",\"steps\":[{\"count\":1,"
			    "\"cpu\":1000,\"memMb\":256,\"gpus\":1,"
			    "\"requiredLabel\":\"b\",\"estimatedMs\":20000}]}",
			    on_accepted);
	}
	wait_ms(w, VISIBLE_MS + 2000 + 300);
	if (accepted != 4)
		w->failed = true;
	for (i = 0; i < 2; i++) {
		g_snprintf(id, sizeof(id), "5c0e7a21d94b36");
		waiting = 4 - runs_of(w, id);
		client_call(w, i, "GET", "/urgent/", "", NULL, on_count);
		wait_ms(w, 300);
	}
	wait_ms(w, 6000);
	world_note(w, "check   jobs at work later: %d of 4",
		   runs_of(w, "5c0e7a21d94b36"));
}

/*
 * RECLAIM: jobs of low priority, which last, have taken all minions. A new
 * configuration drops their queue. Then a job of priority 0 comes, within its
 * tenant's guarantee.
 */
void case_route(struct world *w, const char *program, bool trouble)
{
	static const char job[] = "5c0e7a21d94b36f8";
	int64_t asked_ms;
	char id[32];
	int i;

	for (i = 0; i < 4; i++)
		minion_open(w, CPU, MEMORY_MB, GPUS);
	open_world(w, program, 2);
	for (i = 0; i < 4; i++) {
		g_snprintf(id, sizeof(id), "aaaaaaaaaaaaaaa%d", i);
		client_call(w, 0, "POST", "/batch/", id,
			    "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,"
			    "\"cpu\":8000,\"memMb\":1024,\"gpus\":8,"
			    "\"longRunning\":true,\"estimatedMs\":5000}]}",
			    on_accepted);
	}
	wait_until(w, 4, "aaaaaaaaaaaaaaa", 4, 30000);
	write_config(w, 9, !trouble);
	wait_ms(w, 4000);
	accepted = 0;
	asked_ms = world_now(w);
	client_call(w, 1, "POST", "/urgent/", job,
		    "{\"spec\":\"ms=60000\",\"steps\":[{\"count\":2,"
		    "\"cpu\":1000,\"memMb\":256,\"gpus\":4,"
		    "\"estimatedMs\":60000}]}",
		    on_accepted);
	wait_until(w, 1, job, 0, 3000);
	while (world_now(w) - asked_ms < 40000) {
		wait_ms(w, 500);
		if (world_now(w) - asked_ms > RECLAIM_MS + 500)
			w->broken |= runs_of(w, job) < 2;
	}
	world_note(w, "check   tasks of the guaranteed job at work: %d of 2",
		   runs_of(w, job));
}

/*
 * LOST: jobs that last come at once and take 31 of 48 accelerators. One more,
 * of the same queue, has room almost three times over.
 */
void case_headroom(struct world *w, const char *program, bool trouble)
{
	static const char job[] = "5c0e7a21d94b36f8";
	static const int counts[] = { 12, 12, 7 };
	int64_t asked_ms;
	char body[256], id[32];
	size_t i;

	for (i = 0; i < 6; i++)
		minion_open(w, CPU, MEMORY_MB, GPUS);
	open_world(w, program, 2);
	for (i = 0; trouble && i < G_N_ELEMENTS(counts); i++) {
		g_snprintf(id, sizeof(id), "aaaaaaaaaaaaaaa%d", (int)i);
		g_snprintf(body, sizeof(body),
			   "{\"spec\":\"lasts\",\"steps\":[{\"count\":%d,"
			   "\"cpu\":1000,\"memMb\":256,\"gpus\":1,"
			   "\"longRunning\":true,\"estimatedMs\":3600000}]}",
			   counts[i]);
		client_call(w, 0, "POST", "/batch/", id, body, on_accepted);
	}
	if (trouble)
		wait_until(w, G_N_ELEMENTS(counts), "aaaaaaaaaaaaaaa", 31,
			   10000);
	wait_ms(w, 3000);
	accepted = 0;
	asked_ms = world_now(w);
	client_call(w, 1, "POST", "/batch/", job,
		    "{\"spec\":\"lasts\",\"steps\":[{\"count\":6,\"cpu\":1000,"
		    "\"memMb\":256,\"gpus\":1,\"longRunning\":true,"
		    "\"estimatedMs\":3600000}]}",
		    on_accepted);
	wait_until(w, 1, job, 0, 3000);
	while (world_now(w) - asked_ms < 60000) {
		wait_ms(w, 1000);
		/* From 6 s on, for 3 s */
		if (world_now(w) - asked_ms > 9000)
			w->broken |= !runs_of(w, job);
	}
	world_note(w, "check   tasks of the last job at work: %d of 6",
		   runs_of(w, job));
	client_call(w, 0, "GET", "/batch/", job, NULL, NULL);
	wait_ms(w, 500);
}

#define HALF_DAY_MS (INT64_C(12) * 3600 * 1000)
#define EVERY_MS 3000
#define SMALL_JOBS 10
#define EARLY_JOBS 5 /* that come before the timed ones */
#define MAX_TRIES 5

static int tries[SMALL_JOBS];
static bool known[SMALL_JOBS];

static void send_small_job(struct world *w, int k);

/* After no answer, a 503 or a 504 the client asks the next host. */
static void on_small_job(struct world *w, const char *id, int status,
			 const char *body)
{
	int k = (int)strtol(id + strlen(id) - 2, NULL, 16);

	(void)body;
	known[k] |= status == 200;
	if (status != 200 && tries[k] < MAX_TRIES)
		send_small_job(w, k);
}

static void send_small_job(struct world *w, int k)
{
	char id[32];

	g_snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", k);
	client_call(w, (k + tries[k]++) % w->host_count, "POST", "/urgent/", id,
		    "{\"spec\":\"ms=90000\",\"steps\":[{\"count\":1,"
		    "\"cpu\":1000,\"memMb\":256,\"gpus\":1,"
		    "\"estimatedMs\":90000}]}",
		    on_small_job);
}

/* Of the small jobs that were accepted, those that nothing runs of */
static int idle_small_jobs(const struct world *w)
{
	int idle = 0;
	char id[32];
	int k;

	for (k = 0; k < SMALL_JOBS; k++) {
		g_snprintf(id, sizeof(id), "5c0e7a21d94b36%02x", k);
		idle += known[k] && !runs_of(w, id);
	}
	return idle;
}

/*
 * LOST: while small jobs are at work, two timed jobs come whose first runs were
 * due twelve hours ago. Then more small jobs come.
 */
void case_overdue(struct world *w, const char *program, bool trouble)
{
	int64_t first_ms = g_get_real_time() / 1000 - HALF_DAY_MS;
	char body[512], id[32];
	int i, k, count = 0;

	for (i = 0; i < 16; i++)
		minion_open(w, 128000, 524288, GPUS);
	open_world(w, program, MAX_HOSTS);
	for (k = 0; k < EARLY_JOBS; k++)
		send_small_job(w, k);
	wait_ms(w, 2000);
	world_note(w, "check   %d of %d small jobs are at work",
		   EARLY_JOBS - idle_small_jobs(w), EARLY_JOBS);
	if (idle_small_jobs(w))
		w->failed = true;
	g_snprintf(
		body, sizeof(body),
		"{\"spec\":\"ms=1000\",\"maxRuns\":%d,\"firstRunMs\":%" PRId64
		",\"intervalMs\":%d,\"steps\":[{\"count\":1,\"cpu\":4,"
		"\"memMb\":18,\"estimatedMs\":1000}]}",
		trouble ? (int)(HALF_DAY_MS / EVERY_MS) : 4, first_ms,
		EVERY_MS);
	for (i = 0; i < 2; i++) {
		g_snprintf(id, sizeof(id), "aaaaaaaaaaaaaaa%d", i);
		client_call(w, i, "POST", "/batch/", id, body, on_accepted);
	}
	wait_ms(w, 1000);
	if (accepted != 2)
		w->failed = true;
	for (k = EARLY_JOBS; k < SMALL_JOBS; k++) {
		send_small_job(w, k);
		wait_ms(w, 500);
	}
	wait_ms(w, 5000);
	for (k = 0; k < SMALL_JOBS; k++)
		count += known[k];
	world_note(w, "check   %d small jobs are known to be accepted", count);
	if (!count)
		w->failed = true;
	wait_ms(w, FINISH_MS);
	/* For 3 s */
	for (k = 0; k < 4; k++) {
		world_note(w, "check   %d of them have nothing running",
			   idle_small_jobs(w));
		if (!idle_small_jobs(w))
			return;
		wait_ms(w, 1000);
	}
	w->broken = true;
	wait_ms(w, 30000);
	world_note(w, "check   30 s later %d of them have nothing running",
		   idle_small_jobs(w));
}
