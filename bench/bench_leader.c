/*
 * Benchmark: processor time of the leader for each 1,000 runs that it starts
 * and whose ends it records, at 1,100 workers, without the transport. The
 * stand-ins for the workers and the store run in the same process and are
 * included. Real time: plans and heartbeats depend on it.
 */
#include <ev.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/dispatcher.h"
#include "chestnutquay/leader.h"
#include "chestnutquay/text.h"
#include "leader_workers.h"
#include "tests/support/mem_store.h"

#define WORKERS 1100
#define RACK_WORKERS 12
#define WORKER_PREFIX "w/"
#define MAX_LEASE_MS 10000
#define REMOTE_FACTOR 3
#define STORE_TIMEOUT_MS 500
#define STORE_DELAY_S 0.004
#define SUBMIT_INTERVAL_S 0.02
/* The load is steady after this time. */
#define WARM_UP_S 9.0
#define MEASURED_S 10.0

/*
 * A kind of job and how many of it come a second. Together they ask for more
 * accelerators than there are, so that jobs wait, as at a peak.
 */
struct job_kind {
	const char *queue;
	const char *spec; /* run time of a task in ms */
	double rate;
	uint32_t tasks;
	uint32_t accelerators;
	uint32_t cpu_millicores;
};

static const struct job_kind kinds[] = {
	{ "urgent", "2500", 35.0, 8, 2, 15000 },
	{ "pairs", "11000", 5.0, 26, 2, 12000 },
	{ "wide", "7600", 6.5, 78, 1, 11000 },
};

struct load {
	struct ev_loop *loop;
	struct mem_store *store;
	struct leader_workers *workers;
	struct cq_dispatcher *dispatcher;
	struct cq_metrics *metrics;
	double began_s;
	uint32_t submitted[G_N_ELEMENTS(kinds)];
	uint32_t jobs;
};

static struct cq_queue queues[] = {
	{ .name = "urgent", .service = "s", .max_attempts = 3, .stretch = 2 },
	{ .name = "pairs",
	  .service = "s",
	  .priority = 1,
	  .max_attempts = 3,
	  .stretch = 2 },
	{ .name = "wide",
	  .service = "s",
	  .priority = 2,
	  .max_attempts = 3,
	  .stretch = 2 },
};

static struct cq_service services[] = { { .name = "s" } };

static const struct cq_queue_config config = {
	.version = 1,
	.queues = queues,
	.queue_count = G_N_ELEMENTS(queues),
	.services = services,
	.service_count = G_N_ELEMENTS(services),
};

static double process_cpu_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / (double)CQ_NS_PER_S;
}

static bool may_command(void *ctx)
{
	(void)ctx;
	return true;
}

static void on_superseded(void *ctx)
{
	(void)ctx;
	g_error("the leader was superseded");
}

static bool parse_registration(const char *id, const char *json, size_t len,
			       struct cq_executor_registration *out,
			       struct cq_error *err)
{
	int number = atoi(id + 1);

	(void)json;
	(void)len;
	(void)err;
	cq_executor_registration_init(out);
	cq_text_set(&out->id, id);
	cq_text_set(&out->service, "s");
	g_snprintf(out->address, sizeof(out->address), "127.0.0.1:%d",
		   1000 + number);
	cq_text_printf(&out->data_centre, "dc%d", number % 6);
	cq_text_printf(&out->rack, "r%d", number / RACK_WORKERS);
	out->cpu_millicores = 128000;
	out->memory_mb = 512000;
	out->accelerators = 8;
	out->started_unix_ms = 1;
	return true;
}

static void submit(struct load *load, const struct job_kind *kind)
{
	struct cq_workload *job = cq_workload_create();
	char *key;
	char *text;

	g_snprintf(job->id, sizeof(job->id), "%016u", ++load->jobs);
	cq_text_set(&job->queue, kind->queue);
	job->spec = g_strdup(kind->spec);
	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = kind->tasks;
	job->steps[0].accelerators = kind->accelerators;
	job->steps[0].cpu_millicores = kind->cpu_millicores;
	job->steps[0].memory_mb = 1000;
	job->steps[0].estimate_ms = atoi(kind->spec);
	job->accepted_ms = cq_clock_unix_ms(cq_clock_system());
	key = g_strconcat(CQ_KEY_WORKLOADS, job->id, NULL);
	text = cq_workload_format(job);
	mem_store_write(load->store, key, text);
	free(text);
	g_free(key);
	cq_workload_destroy(job);
}

static void on_submit(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load *load = timer->data;
	double age_s = ev_now(loop) - load->began_s;
	size_t i;

	(void)events;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		for (; load->submitted[i] < kinds[i].rate * age_s;
		     load->submitted[i]++)
			submit(load, &kinds[i]);
}

static void on_phase_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(struct ev_loop *loop, double seconds)
{
	ev_timer timer;

	ev_now_update(loop);
	ev_timer_init(&timer, on_phase_end, seconds, 0.);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

static void add_workers(struct load *load)
{
	int i;

	for (i = 0; i < WORKERS; i++) {
		char *key = g_strdup_printf(WORKER_PREFIX "w%d", i);

		mem_store_write(load->store, key, "");
		g_free(key);
	}
}

static void start_leader(struct load *load)
{
	static const struct cq_dispatcher_ops ops = { may_command,
						      on_superseded };
	struct cq_dispatcher_options options = {
		.loop = load->loop,
		.clock = cq_clock_system(),
		.metrics = load->metrics,
		.worker_prefix = WORKER_PREFIX,
		.parse_listing = parse_registration,
		.epoch = 1,
		.store_timeout_ms = STORE_TIMEOUT_MS,
		.max_lease_ms = MAX_LEASE_MS,
		.remote_factor = REMOTE_FACTOR,
	};
	char *head = cq_leader_format_head(1, 0);

	mem_store_write(load->store, CQ_KEY_HEAD, head);
	g_free(head);
	options.head_revision = mem_store_revision(load->store);
	load->dispatcher = cq_dispatcher_create(
		&options, mem_store_get(load->store),
		leader_workers_get(load->workers), &ops, load);
	cq_dispatcher_set_config(load->dispatcher, &config);
}

static void print_metric(const char *name, const char *unit, double value)
{
	printf("{\"bench\":\"leader\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.4g,\"baseline\":null,\"target\":null,"
	       "\"better\":\"lower\"}\n",
	       name, unit, value);
}

int main(void)
{
	struct load load = { .loop = ev_loop_new(0) };
	ev_timer submitter;
	double cpu_s;
	uint32_t starts;
	uint32_t ends;

	load.store = mem_store_create(load.loop);
	load.workers = leader_workers_create(load.loop, WORKERS);
	load.metrics = cq_metrics_create();
	mem_store_set_delay(load.store, STORE_DELAY_S);
	add_workers(&load);
	start_leader(&load);
	load.began_s = ev_now(load.loop);
	ev_timer_init(&submitter, on_submit, 0., SUBMIT_INTERVAL_S);
	submitter.data = &load;
	ev_timer_start(load.loop, &submitter);
	run_for(load.loop, WARM_UP_S);
	cpu_s = process_cpu_s();
	starts = leader_workers_starts(load.workers);
	ends = leader_workers_ends(load.workers);
	run_for(load.loop, MEASURED_S);
	cpu_s = process_cpu_s() - cpu_s;
	starts = leader_workers_starts(load.workers) - starts;
	ends = leader_workers_ends(load.workers) - ends;
	g_assert_cmpuint(starts, >, 0);
	print_metric("cpu_per_1000_runs_1100_workers", "ms",
		     cpu_s * 1e6 / starts);
	print_metric("cpu_share_1100_workers", "%", cpu_s * 100 / MEASURED_S);
	fprintf(stderr, "%u starts, %u ends in %.0f s\n", starts, ends,
		MEASURED_S);
	cq_dispatcher_destroy(load.dispatcher);
	leader_workers_destroy(load.workers);
	mem_store_destroy(load.store);
	cq_metrics_destroy(load.metrics);
	ev_loop_destroy(load.loop);
	return 0;
}
