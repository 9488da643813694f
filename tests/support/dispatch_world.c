#include "dispatch_world.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/leader.h"
#include "chestnutquay/text.h"
#include "chestnutquay/workload.h"
#include "tests/support/wait_for.h"

#define WORKER_KEY_PREFIX "w/"
#define MAX_WORKSPACES 4
#define REMOTE_FACTOR 3
#define OVERDUE_MS (INT64_C(12) * 3600 * 1000)
#define DRAINING " draining "

struct dispatcher_fixture {
	struct ev_loop *loop;
	struct mem_store *store;
	struct mem_executor *workers;
	struct cq_metrics *metrics;
	struct cq_dispatcher *dispatcher;
	struct cq_queue queue;
	struct cq_service service;
	struct cq_queue_config config;
	struct cq_workspace_keys workspaces[MAX_WORKSPACES];
	const char *workspace; /* for jobs submitted from now on */
	GHashTable *evacuated;
	uint32_t max_lease_ms;
	uint32_t retention_ms;
	uint64_t max_job_bytes;
	int64_t epoch;
	uint32_t task_cpu_millicores;
	uint32_t task_memory_mb;
	int64_t estimate_ms;
	bool allowed, superseded;
	char state[32];
	/* Condition of the wait in progress. */
	int awaited_job;
	const char *awaited_state;
	uint32_t awaited_runs;
};

static bool parse_registration(const char *id, const char *json, size_t len,
			       struct cq_executor_registration *registration,
			       struct cq_error *err)
{
	char *text = g_strndup(json, len);
	char data_centre[16] = "", rack[16] = "";
	const char *draining;
	long started_unix_ms;
	int fields;

	cq_executor_registration_init(registration);
	cq_text_set(&registration->id, id);
	g_strlcpy(registration->address, id, sizeof(registration->address));
	cq_text_set(&registration->service, "s");
	registration->cpu_millicores = 64000;
	registration->memory_mb = 65536;
	registration->accelerators = 8;
	fields = sscanf(text, "%15s %15s %ld", data_centre, rack,
			&started_unix_ms);
	cq_text_set(&registration->data_centre, data_centre);
	cq_text_set(&registration->rack, rack);
	if (g_str_has_suffix(text, " other"))
		cq_text_set(&registration->service, "other");
	draining = strstr(text, DRAINING);
	if (draining) {
		registration->state = CQ_REGISTRATION_DRAINING;
		registration->remaining_ms = (uint32_t)strtoul(
			draining + strlen(DRAINING), NULL, 10);
	}
	g_free(text);
	if (fields != 3)
		return cq_error_set(err, CQ_ERROR_PROTOCOL, CQ_ERR_INVALID,
				    "invalid worker registration");
	registration->started_unix_ms = started_unix_ms;
	return true;
}

static bool may_command(void *ctx)
{
	const struct dispatcher_fixture *w = ctx;

	return w->allowed;
}

static void on_superseded(void *ctx)
{
	struct dispatcher_fixture *w = ctx;

	w->superseded = true;
	w->allowed = false;
}

static const struct cq_dispatcher_ops ops = { may_command, on_superseded };

struct dispatcher_fixture *dispatcher_fixture_create(uint32_t max_lease_ms)
{
	struct dispatcher_fixture *w = g_new0(struct dispatcher_fixture, 1);

	w->loop = ev_loop_new(0);
	w->store = mem_store_create(w->loop);
	w->workers = mem_executor_create(w->loop);
	w->metrics = cq_metrics_create();
	w->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->max_lease_ms = max_lease_ms;
	cq_text_set(&w->queue.name, "q");
	cq_text_set(&w->queue.service, "s");
	w->queue.max_attempts = 2;
	w->queue.stretch = 2;
	cq_text_set(&w->service.name, "s");
	w->config = (struct cq_queue_config){
		.version = 1,
		.queues = &w->queue,
		.queue_count = 1,
		.services = &w->service,
		.service_count = 1,
		.workspaces = w->workspaces,
	};
	w->workspace = "";
	dispatcher_fixture_set_task_room(w, 1000, 100);
	return w;
}

void dispatcher_fixture_destroy(struct dispatcher_fixture *w)
{
	uint32_t i;

	dispatcher_fixture_stop(w);
	mem_executor_destroy(w->workers);
	mem_store_destroy(w->store);
	cq_metrics_destroy(w->metrics);
	g_hash_table_destroy(w->evacuated);
	ev_loop_destroy(w->loop);
	cq_text_clear(&w->queue.name);
	cq_text_clear(&w->queue.service);
	cq_text_clear(&w->service.name);
	for (i = 0; i < w->config.workspace_count; i++)
		cq_text_clear(&w->workspaces[i].name);
	g_free(w);
}

struct mem_store *dispatcher_fixture_store(struct dispatcher_fixture *w)
{
	return w->store;
}

struct mem_executor *dispatcher_fixture_workers(struct dispatcher_fixture *w)
{
	return w->workers;
}

struct ev_loop *dispatcher_fixture_loop(struct dispatcher_fixture *w)
{
	return w->loop;
}

static char *worker_id(int k)
{
	return g_strdup_printf("worker%d", k);
}

static void write_entry(struct dispatcher_fixture *w, int k, int64_t started_ms,
			const char *suffix)
{
	char *id = worker_id(k);
	char *key = g_strconcat(WORKER_KEY_PREFIX, id, NULL);
	char *value = g_strdup_printf("dc%d r%d %ld%s", k % 2, k % 2,
				      (long)started_ms, suffix ? suffix : "");

	mem_store_write(w->store, key, suffix ? value : NULL);
	g_free(value);
	g_free(key);
	g_free(id);
}

static void write_worker_entry(struct dispatcher_fixture *w, int k,
			       const char *suffix)
{
	char *id = worker_id(k);

	write_entry(w, k, mem_executor_started_ms(w->workers, id), suffix);
	g_free(id);
}

void dispatcher_fixture_set_started(struct dispatcher_fixture *w, int k,
				    int64_t started_ms)
{
	write_entry(w, k, started_ms, "");
}

void dispatcher_fixture_set_registered(struct dispatcher_fixture *w, int k,
				       bool listed)
{
	write_worker_entry(w, k, listed ? "" : NULL);
}

void dispatcher_fixture_drain(struct dispatcher_fixture *w, int k,
			      uint32_t remaining_ms)
{
	char *suffix = g_strdup_printf(DRAINING "%u", remaining_ms);

	write_worker_entry(w, k, suffix);
	g_free(suffix);
}

void dispatcher_fixture_change_service(struct dispatcher_fixture *w, int k)
{
	char *id = worker_id(k);

	mem_executor_restart(w->workers, id);
	write_worker_entry(w, k, " other");
	g_free(id);
}

void dispatcher_fixture_add_worker(struct dispatcher_fixture *w, int k)
{
	char *id = worker_id(k);

	mem_executor_add(w->workers, id);
	dispatcher_fixture_set_registered(w, k, true);
	g_free(id);
}

void dispatcher_fixture_set_evacuated(struct dispatcher_fixture *w,
				      const char *dc, bool out)
{
	if (out)
		g_hash_table_add(w->evacuated, g_strdup(dc));
	else
		g_hash_table_remove(w->evacuated, dc);
	if (w->dispatcher)
		cq_dispatcher_set_evacuated(w->dispatcher, w->evacuated);
}

void dispatcher_fixture_stop(struct dispatcher_fixture *w)
{
	cq_dispatcher_destroy(w->dispatcher);
	w->dispatcher = NULL;
	/* Open calls of the former epoch must not complete in the next. */
	mem_executor_cancel(w->workers);
}

void dispatcher_fixture_set_retention(struct dispatcher_fixture *w,
				      uint32_t retention_ms)
{
	w->retention_ms = retention_ms;
}

void dispatcher_fixture_set_max_job_bytes(struct dispatcher_fixture *w,
					  uint64_t bytes)
{
	w->max_job_bytes = bytes;
}

void dispatcher_fixture_start_epoch(struct dispatcher_fixture *w)
{
	struct cq_dispatcher_options options = {
		.loop = w->loop,
		.clock = cq_clock_system(),
		.metrics = w->metrics,
		.worker_prefix = WORKER_KEY_PREFIX,
		.parse_listing = parse_registration,
		.store_timeout_ms = 100,
		.max_lease_ms = w->max_lease_ms,
		.remote_factor = REMOTE_FACTOR,
		.ended_retention_ms = w->retention_ms,
		.max_job_bytes = w->max_job_bytes,
	};
	char *head;

	dispatcher_fixture_stop(w);
	head = cq_leader_format_head(++w->epoch, 0);
	mem_store_write(w->store, CQ_KEY_HEAD, head);
	g_free(head);
	w->allowed = true;
	w->superseded = false;
	options.epoch = w->epoch;
	options.head_revision = mem_store_revision(w->store);
	w->dispatcher = cq_dispatcher_create(&options, mem_store_get(w->store),
					     mem_executor_get(w->workers), &ops,
					     w);
	cq_dispatcher_set_evacuated(w->dispatcher, w->evacuated);
	cq_dispatcher_set_config(w->dispatcher, &w->config);
}

void dispatcher_fixture_allow_commands(struct dispatcher_fixture *w,
				       bool allowed)
{
	w->allowed = allowed;
}

bool dispatcher_fixture_superseded(const struct dispatcher_fixture *w)
{
	return w->superseded;
}

void dispatcher_fixture_set_priority(struct dispatcher_fixture *w,
				     uint32_t priority)
{
	w->queue.priority = priority;
}

void dispatcher_fixture_set_workspace(struct dispatcher_fixture *w,
				      const char *name, uint32_t guaranteed)
{
	struct cq_workspace_keys *workspace = w->workspaces;
	uint32_t i;

	for (i = 0; i < w->config.workspace_count; i++, workspace++)
		if (!strcmp(workspace->name, name))
			break;
	g_assert_cmpuint(i, <, MAX_WORKSPACES);
	if (i == w->config.workspace_count)
		w->config.workspace_count++;
	cq_text_set(&workspace->name, name);
	workspace->guaranteed_accelerators = guaranteed;
	w->workspace = workspace->name;
}

void dispatcher_fixture_set_estimate(struct dispatcher_fixture *w,
				     int64_t estimate_ms)
{
	w->estimate_ms = estimate_ms;
}

void dispatcher_fixture_set_task_room(struct dispatcher_fixture *w,
				      uint32_t cpu_millicores,
				      uint32_t memory_mb)
{
	w->task_cpu_millicores = cpu_millicores;
	w->task_memory_mb = memory_mb;
}

static struct cq_workload *create_workload(const struct dispatcher_fixture *w,
					   int k, uint32_t tasks,
					   uint32_t accelerators, bool gang)
{
	struct cq_workload *job = cq_workload_create();

	g_snprintf(job->id, sizeof(job->id), "%016d", k);
	cq_text_set(&job->queue, "q");
	job->spec = g_strdup("spec");
	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = tasks;
	job->steps[0].accelerators = accelerators;
	job->steps[0].cpu_millicores = w->task_cpu_millicores;
	job->steps[0].memory_mb = w->task_memory_mb;
	job->steps[0].gang = gang;
	return job;
}

static void write_job(struct dispatcher_fixture *w, struct cq_workload *job)
{
	char *key = g_strconcat(CQ_KEY_WORKLOADS, job->id, NULL);
	char *text = cq_workload_format(job);

	mem_store_write(w->store, key, text);
	free(text);
	g_free(key);
	cq_workload_destroy(job);
}

void dispatcher_fixture_submit(struct dispatcher_fixture *w, int k,
			       uint32_t tasks, uint32_t accelerators, bool gang)
{
	struct cq_workload *job =
		create_workload(w, k, tasks, accelerators, gang);

	cq_text_set(&job->workspace, w->workspace);
	job->accepted_ms = cq_clock_unix_ms(cq_clock_system());
	job->steps[0].estimate_ms = w->estimate_ms;
	write_job(w, job);
}

void dispatcher_fixture_submit_overdue(struct dispatcher_fixture *w, int k,
				       uint32_t occurrences)
{
	struct cq_workload *job = create_workload(w, k, 1, 0, false);

	cq_text_set(&job->workspace, w->workspace);
	job->accepted_ms = cq_clock_unix_ms(cq_clock_system());
	job->occurrences = occurrences;
	job->interval_ms = 1;
	job->first_run_ms = job->accepted_ms - OVERDUE_MS;
	write_job(w, job);
}

void dispatcher_fixture_cancel(struct dispatcher_fixture *w, int k)
{
	char *key = g_strdup_printf("%s%016d", CQ_KEY_WORKLOADS, k);
	const char *text = mem_store_read(w->store, key);
	struct cq_workload *job;

	g_free(key);
	if (!text)
		return;
	job = cq_workload_parse(text, strlen(text), NULL);
	job->cancelled = true;
	write_job(w, job);
}

bool dispatcher_fixture_is_deleted(struct dispatcher_fixture *w, int k)
{
	char *job = g_strdup_printf("%s%016d", CQ_KEY_WORKLOADS, k);
	char *progress = g_strdup_printf("%s%016d", CQ_KEY_PROGRESS, k);
	bool found = mem_store_read(w->store, job) ||
		     mem_store_read(w->store, progress);

	g_free(job);
	g_free(progress);
	return !found;
}

const char *dispatcher_fixture_state(struct dispatcher_fixture *w, int k)
{
	char *key = g_strdup_printf("%s%016d", CQ_KEY_PROGRESS, k);
	const char *text = mem_store_read(w->store, key);
	enum cq_batch_state state;

	g_free(key);
	if (!text || !cq_batch_parse_record_state(text, strlen(text), &state))
		return "";
	return cq_batch_state_string(state);
}

static bool has_state(void *ctx)
{
	struct dispatcher_fixture *w = ctx;

	return !strcmp(dispatcher_fixture_state(w, w->awaited_job),
		       w->awaited_state);
}

bool dispatcher_fixture_wait_for_state(struct dispatcher_fixture *w, int k,
				       const char *state)
{
	w->awaited_job = k;
	w->awaited_state = state;
	return wait_for(w->loop, has_state, w);
}

static bool has_runs(void *ctx)
{
	struct dispatcher_fixture *w = ctx;

	return mem_executor_running(w->workers) == w->awaited_runs;
}

bool dispatcher_fixture_wait_for_runs(struct dispatcher_fixture *w,
				      uint32_t runs)
{
	w->awaited_runs = runs;
	return wait_for(w->loop, has_runs, w);
}
