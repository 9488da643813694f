#include "sim_workers_private.h"

#include <string.h>

#define STEP_NS (20 * CQ_NS_PER_MS)
#define WINDOW_NS (100 * CQ_NS_PER_MS)

static const char *const verb_strings[] = {
	[VERB_START] = "start",	      [VERB_SYNC] = "sync",
	[VERB_THROTTLE] = "throttle", [VERB_CHECKPOINT] = "checkpoint",
	[VERB_STOP] = "stop",
};

static void step(void *ctx);

void cq_sim_workers_options_init(struct cq_sim_workers_options *options)
{
	memset(options, 0, sizeof(*options));
	options->count = 4;
	options->accelerators = 8;
	options->millicores = 100000;
	options->memory_bytes = UINT64_C(100) << 30;
	options->checkpoint_ms = 200;
	options->usage_lag_ms = 2000;
}

struct cq_sim_workers *
cq_sim_workers_create(struct cq_sim *sim,
		      const struct cq_sim_workers_options *options)
{
	struct cq_sim_workers *workers = g_new0(struct cq_sim_workers, 1);
	uint32_t i;

	workers->sim = sim;
	workers->options = *options;
	workers->workers = g_new0(struct sim_worker, options->count);
	for (i = 0; i < options->count; i++) {
		workers->workers[i].boot = 1;
		workers->workers[i].tasks = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, g_free);
		g_queue_init(&workers->workers[i].waiting);
	}
	workers->checkpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	workers->parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	workers->started =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cq_sim_at(sim, cq_sim_now_ns(sim) + STEP_NS, step, workers, NULL);
	return workers;
}

void cq_sim_workers_destroy(struct cq_sim_workers *workers)
{
	uint32_t i;

	workers->closing = true;
	for (i = 0; i < workers->options.count; i++)
		cq_sim_worker_resume(workers, i);
	/* Calls under way still point to the workers. */
	cq_sim_run_until(workers->sim,
			 cq_sim_now_ns(workers->sim) + 10 * CQ_NS_PER_S);
	for (i = 0; i < workers->options.count; i++)
		g_hash_table_destroy(workers->workers[i].tasks);
	for (i = 0; i < CQ_SIM_MAX_HOSTS; i++)
		g_free(workers->clients[i]);
	g_hash_table_destroy(workers->checkpoints);
	g_hash_table_destroy(workers->parts);
	g_hash_table_destroy(workers->started);
	g_free(workers->workers);
	g_free(workers);
}

const struct cq_worker *cq_sim_workers_client(struct cq_sim_workers *workers,
					      int32_t host)
{
	struct client *client = workers->clients[host];

	if (!client) {
		client = g_new0(struct client, 1);
		client->workers = workers;
		client->host = host;
		client->iface.ops = &cq_sim_workers_client_ops;
		client->iface.self = client;
		workers->clients[host] = client;
	}
	return &client->iface;
}

int64_t cq_sim_workers_delay(struct cq_sim_workers *workers)
{
	return (int64_t)(200 + cq_sim_random(workers->sim, 3000)) *
	       CQ_NS_PER_US;
}

static void end_task(struct cq_sim_workers *workers, struct sim_worker *worker,
		     struct sim_task *task, enum cq_task_state state)
{
	task->state = state;
	task->version = ++worker->version;
	workers->record.finished += state == CQ_TASK_FINISHED;
}

static void advance_task(struct cq_sim_workers *workers,
			 struct sim_worker *worker, struct sim_task *task,
			 int64_t now_ns)
{
	int64_t until_ns = MIN(now_ns, task->lease_deadline_ns);
	int64_t elapsed_ns = MAX(until_ns - task->advanced_ns, 0);

	if (!cq_task_state_is_live(task->state))
		return;
	task->advanced_ns = now_ns;
	if (task->state == CQ_TASK_RUNNING)
		task->run_ns += elapsed_ns * task->throttle_pct / 100;
	if (task->state == CQ_TASK_CHECKPOINTING &&
	    until_ns >= task->checkpoint_end_ns) {
		int64_t *kept = g_new(int64_t, 1);

		task->state = CQ_TASK_RUNNING;
		task->checkpoint_ns = task->run_ns;
		task->version = ++worker->version;
		*kept = task->run_ns;
		g_hash_table_replace(workers->checkpoints, g_strdup(task->id),
				     kept);
	}
	if (task->state == CQ_TASK_RUNNING && worker->faults.fail_tasks)
		end_task(workers, worker, task, CQ_TASK_FAILED);
	else if (task->state == CQ_TASK_RUNNING &&
		 task->run_ns >= task->needed_ns)
		end_task(workers, worker, task, CQ_TASK_FINISHED);
	else if (now_ns >= task->lease_deadline_ns)
		end_task(workers, worker, task, CQ_TASK_STOPPED);
}

void cq_sim_worker_advance(struct cq_sim_workers *workers, uint32_t i)
{
	struct sim_worker *worker = &workers->workers[i];
	int64_t now_ns = cq_sim_now_ns(workers->sim);
	GHashTableIter iter;
	gpointer value;

	if (worker->dead || worker->paused)
		return;
	g_hash_table_iter_init(&iter, worker->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		advance_task(workers, worker, value, now_ns);
}

static void step(void *ctx)
{
	struct cq_sim_workers *workers = ctx;
	uint32_t i;

	if (workers->closing)
		return;
	for (i = 0; i < workers->options.count; i++)
		cq_sim_worker_advance(workers, i);
	cq_sim_workers_watch_jobs(workers);
	cq_sim_at(workers->sim, cq_sim_now_ns(workers->sim) + STEP_NS, step,
		  workers, NULL);
}

static enum cq_worker_answer execute_start(struct cq_sim_workers *workers,
					   struct sim_worker *worker,
					   const struct sim_call *call)
{
	int64_t now_ns = cq_sim_now_ns(workers->sim);
	struct sim_task *task;
	char *boot_key;

	if (cq_clock_unix_ms(cq_sim_clock(workers->sim)) >
	    call->not_after_unix_ms) {
		workers->record.refused_stale++;
		return CQ_WORKER_ANSWER_STALE;
	}
	if (g_hash_table_contains(worker->tasks, call->task_id))
		return CQ_WORKER_ANSWER_OK;
	task = g_new(struct sim_task, 1);
	*task = call->start;
	task->state = task->throttle_pct ? CQ_TASK_RUNNING : CQ_TASK_HELD;
	task->advanced_ns = now_ns;
	task->lease_deadline_ns = now_ns + call->lease_ms * CQ_NS_PER_MS;
	task->usage_ns = now_ns + workers->options.usage_lag_ms * CQ_NS_PER_MS;
	task->version = ++worker->version;
	g_hash_table_insert(worker->tasks, task->id, task);
	workers->record.starts++;
	workers->record.last_start_ns = now_ns;
	boot_key = g_strdup_printf("%s on %u boot %u", task->id, call->worker,
				   worker->boot);
	if (!g_hash_table_add(workers->started, boot_key))
		workers->record.double_starts++;
	return CQ_WORKER_ANSWER_OK;
}

static enum cq_worker_answer execute_verb(struct cq_sim_workers *workers,
					  struct sim_worker *worker,
					  const struct sim_call *call)
{
	struct sim_task *task =
		g_hash_table_lookup(worker->tasks, call->task_id);

	if (!task || !cq_task_state_is_live(task->state))
		return CQ_WORKER_ANSWER_NOT_FOUND;
	if (call->verb == VERB_STOP) {
		end_task(workers, worker, task, CQ_TASK_STOPPED);
	} else if (call->verb == VERB_THROTTLE) {
		task->throttle_pct = call->percent;
		workers->record.last_throttle_pct = call->percent;
		if (task->state == CQ_TASK_HELD && call->percent) {
			task->state = CQ_TASK_RUNNING;
			workers->record.releases++;
		}
		task->version = ++worker->version;
	} else if (task->state == CQ_TASK_RUNNING) {
		task->state = CQ_TASK_CHECKPOINTING;
		task->checkpoint_end_ns =
			cq_sim_now_ns(workers->sim) +
			workers->options.checkpoint_ms * CQ_NS_PER_MS;
		task->version = ++worker->version;
	}
	return CQ_WORKER_ANSWER_OK;
}

static void add_report(struct cq_sim_workers *workers, struct sim_call *call,
		       const struct sim_task *from)
{
	struct sim_task *copy = g_new(struct sim_task, 1);
	bool usage = cq_sim_now_ns(workers->sim) >= from->usage_ns;
	uint32_t use_pct = workers->workers[call->worker].faults.use_pct;
	struct cq_worker_task task;

	*copy = *from;
	g_ptr_array_add(call->report_tasks, copy);
	task = (struct cq_worker_task){
		.task_id = copy->id,
		.job_id = copy->job_id,
		.attempt = copy->attempt,
		.rank = copy->rank,
		.gang_size = copy->gang_size,
		.workspace = copy->workspace,
		.class_name = copy->class_name,
		.epoch = copy->epoch,
		.state = copy->state,
		.accelerator_mask = copy->accelerator_mask,
		.cell = copy->cell,
		.cpu_millicores = copy->cpu_millicores,
		.memory_bytes = copy->memory_bytes,
		.observed_millicores =
			usage ? copy->cpu_millicores *
					(use_pct ? use_pct : 100) / 100 *
					copy->throttle_pct / 100
			      : 0,
		.observed_memory_bytes = usage ? copy->memory_bytes : 0,
		.throttle_pct = copy->throttle_pct,
		.run_ms = copy->run_ns / CQ_NS_PER_MS,
		.checkpoint_ms = copy->checkpoint_ns < 0
					 ? -1
					 : copy->checkpoint_ns / CQ_NS_PER_MS,
	};
	g_array_append_val(call->report, task);
}

static enum cq_worker_answer execute_sync(struct cq_sim_workers *workers,
					  struct sim_worker *worker,
					  struct sim_call *call)
{
	int64_t now_ns = cq_sim_now_ns(workers->sim);
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	for (i = 0; call->renew[i]; i++) {
		struct sim_task *task =
			g_hash_table_lookup(worker->tasks, call->renew[i]);

		if (task && cq_task_state_is_live(task->state))
			task->lease_deadline_ns =
				now_ns + call->lease_ms * CQ_NS_PER_MS;
	}
	call->report = g_array_new(FALSE, FALSE, sizeof(struct cq_worker_task));
	call->report_tasks = g_ptr_array_new_with_free_func(g_free);
	g_snprintf(call->boot_id, sizeof(call->boot_id), "boot-%u",
		   worker->boot);
	call->version = worker->version;
	g_hash_table_iter_init(&iter, worker->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sim_task *task = value;

		if (task->version > call->since_version)
			add_report(workers, call, task);
	}
	return CQ_WORKER_ANSWER_OK;
}

static void count_command(struct cq_sim_workers *workers,
			  const struct sim_call *call)
{
	struct cq_sim_workers_record *record = &workers->record;
	int64_t now_ns = cq_sim_now_ns(workers->sim);

	if (call->verb == VERB_SYNC)
		return;
	if (now_ns - workers->window_ns >= WINDOW_NS) {
		workers->window_ns = now_ns;
		workers->window_commands = 0;
	}
	workers->window_commands++;
	record->commands++;
	record->most_commands_per_100ms =
		MAX(record->most_commands_per_100ms, workers->window_commands);
	if (workers->on_command)
		workers->on_command(workers->on_command_ctx,
				    verb_strings[call->verb], call->worker,
				    call->task_id);
}

static enum cq_worker_answer execute(struct sim_call *call)
{
	struct cq_sim_workers *workers = call->workers;
	struct sim_worker *worker = &workers->workers[call->worker];

	cq_sim_worker_advance(workers, call->worker);
	if (worker->faults.fail_calls)
		return CQ_WORKER_ANSWER_UNKNOWN;
	if (call->epoch < worker->epoch) {
		workers->record.refused_stale++;
		return CQ_WORKER_ANSWER_STALE;
	}
	worker->epoch = call->epoch;
	count_command(workers, call);
	switch (call->verb) {
	case VERB_START:
		return execute_start(workers, worker, call);
	case VERB_SYNC:
		return execute_sync(workers, worker, call);
	case VERB_THROTTLE:
	case VERB_CHECKPOINT:
	case VERB_STOP:
		return execute_verb(workers, worker, call);
	}
	return CQ_WORKER_ANSWER_REFUSED;
}

static void in_process(void *ctx)
{
	struct sim_call *call = ctx;

	cq_sim_workers_complete(call, call->answer);
	cq_sim_workers_call_unref(call);
}

static void answer_arrived(void *ctx)
{
	struct sim_call *call = ctx;

	cq_sim_host_post(call->workers->sim, call->host, call->life, in_process,
			 call, cq_sim_workers_call_unref);
}

static bool loses_answer(struct cq_sim_workers *workers,
			 const struct sim_call *call)
{
	if (workers->workers[call->worker].faults.silent)
		return true;
	if (call->verb != VERB_SYNC && workers->lose_next) {
		workers->lose_next--;
		return true;
	}
	return cq_sim_random(workers->sim, 1000) < workers->lose_permille;
}

void cq_sim_workers_arrive(void *ctx)
{
	struct sim_call *call = ctx;
	struct cq_sim_workers *workers = call->workers;
	struct sim_worker *worker = &workers->workers[call->worker];

	if (workers->closing || worker->faults.deaf) {
		cq_sim_workers_call_unref(call);
		return;
	}
	if (worker->paused && !worker->dead) {
		g_queue_push_tail(&worker->waiting, call);
		return;
	}
	if (worker->dead || worker->faults.down) {
		call->answer = CQ_WORKER_ANSWER_UNAVAILABLE;
	} else {
		call->answer = execute(call);
		if (loses_answer(workers, call)) {
			cq_sim_workers_call_unref(call);
			return;
		}
	}
	cq_sim_at(workers->sim,
		  cq_sim_now_ns(workers->sim) + cq_sim_workers_delay(workers),
		  answer_arrived, call, cq_sim_workers_call_unref);
}

void cq_sim_worker_set_faults(struct cq_sim_workers *workers, uint32_t worker,
			      const struct cq_sim_worker_faults *faults)
{
	struct sim_worker *entry = &workers->workers[worker];
	GHashTableIter iter;
	gpointer value;

	entry->faults = *faults;
	/* Usage is reported again. */
	g_hash_table_iter_init(&iter, entry->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct sim_task *)value)->version = ++entry->version;
}

void cq_sim_workers_lose_answers(struct cq_sim_workers *workers,
				 uint32_t permille)
{
	workers->lose_permille = permille;
}

void cq_sim_workers_lose_next(struct cq_sim_workers *workers, uint32_t count)
{
	workers->lose_next = count;
}

void cq_sim_worker_pause(struct cq_sim_workers *workers, uint32_t worker)
{
	workers->workers[worker].paused = true;
}

void cq_sim_worker_resume(struct cq_sim_workers *workers, uint32_t i)
{
	struct sim_worker *worker = &workers->workers[i];
	struct sim_call *call;

	worker->paused = false;
	cq_sim_worker_advance(workers, i);
	while ((call = g_queue_pop_head(&worker->waiting)))
		cq_sim_workers_arrive(call);
}

void cq_sim_worker_kill(struct cq_sim_workers *workers, uint32_t i)
{
	struct sim_worker *worker = &workers->workers[i];

	worker->dead = true;
	g_hash_table_remove_all(worker->tasks);
	cq_sim_worker_resume(workers, i);
}

void cq_sim_worker_start(struct cq_sim_workers *workers, uint32_t i)
{
	struct sim_worker *worker = &workers->workers[i];

	if (!worker->dead)
		return;
	worker->dead = false;
	worker->boot++;
	worker->version = 0;
	worker->epoch = 0;
}

void cq_sim_workers_on_command(struct cq_sim_workers *workers,
			       cq_sim_workers_command_fn *fn, void *ctx)
{
	workers->on_command = fn;
	workers->on_command_ctx = ctx;
}

uint64_t cq_sim_workers_host_sent(const struct cq_sim_workers *workers,
				  int32_t host)
{
	return workers->clients[host] ? workers->clients[host]->sent : 0;
}

const struct cq_sim_workers_record *
cq_sim_workers_record(const struct cq_sim_workers *workers)
{
	return &workers->record;
}
