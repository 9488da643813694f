/* The client side of the simulated workers: calls and their time limits. */
#include <stdio.h>
#include <string.h>

#include "sim_workers_private.h"

static void clear_call(gpointer data)
{
	struct sim_call *call = data;

	g_strfreev(call->renew);
	if (call->report)
		g_array_free(call->report, TRUE);
	if (call->report_tasks)
		g_ptr_array_free(call->report_tasks, TRUE);
}

void cq_sim_workers_call_unref(void *call)
{
	g_rc_box_release_full(call, clear_call);
}

void cq_sim_workers_complete(struct sim_call *call,
			     enum cq_worker_answer answer)
{
	const struct cq_sim_workers_options *options = &call->workers->options;
	struct cq_worker_report report = {
		.boot_id = call->boot_id,
		.version = call->version,
		.accelerators = options->accelerators,
		.millicores = options->millicores,
		.memory_bytes = options->memory_bytes,
	};

	if (call->over)
		return;
	call->over = true;
	if (call->timeout)
		cq_sim_cancel(call->workers->sim, call->timeout);
	call->timeout = NULL;
	if (call->report) {
		report.tasks = (void *)call->report->data;
		report.task_count = call->report->len;
	}
	if (call->sync_done)
		call->sync_done(call->ctx, answer,
				answer == CQ_WORKER_ANSWER_OK ? &report : NULL);
	else
		call->done(call->ctx, answer, "");
}

static void timed_out(void *ctx)
{
	struct sim_call *call = ctx;

	cq_sim_workers_complete(call, CQ_WORKER_ANSWER_UNKNOWN);
	cq_sim_workers_call_unref(call);
}

static void time_out(void *ctx)
{
	struct sim_call *call = ctx;

	call->timeout = NULL;
	cq_sim_host_post(call->workers->sim, call->host, call->life, timed_out,
			 call, cq_sim_workers_call_unref);
}

static struct sim_call *new_call(void *self, const char *address,
				 enum verb verb, void *ctx)
{
	struct client *client = self;
	struct sim_call *call = g_rc_box_new0(struct sim_call);

	client->sent += verb != VERB_SYNC;
	call->workers = client->workers;
	call->host = client->host;
	call->life = cq_sim_host_life(client->workers->sim, client->host);
	call->verb = verb;
	call->ctx = ctx;
	if (sscanf(address, "worker:%u", &call->worker) != 1)
		g_error("address %s", address);
	return call;
}

static void send_call(struct sim_call *call, uint32_t timeout_ms)
{
	struct cq_sim_workers *workers = call->workers;
	int64_t now_ns = cq_sim_now_ns(workers->sim);

	g_rc_box_acquire(call);
	cq_sim_at(workers->sim, now_ns + cq_sim_workers_delay(workers),
		  cq_sim_workers_arrive, call, cq_sim_workers_call_unref);
	call->timeout = cq_sim_at(workers->sim,
				  now_ns + timeout_ms * CQ_NS_PER_MS, time_out,
				  call, cq_sim_workers_call_unref);
}

static void client_start(void *self, const char *address,
			 const struct cq_worker_start *s, uint32_t timeout_ms,
			 cq_worker_done_fn *done, void *ctx)
{
	struct sim_call *call = new_call(self, address, VERB_START, ctx);
	struct sim_task *task = &call->start;
	const int64_t *restored_ns = g_hash_table_lookup(
		call->workers->checkpoints, s->restore_from);

	g_strlcpy(call->task_id, s->task_id, sizeof(call->task_id));
	g_strlcpy(task->id, s->task_id, sizeof(task->id));
	g_strlcpy(task->job_id, s->job_id, sizeof(task->job_id));
	g_strlcpy(task->workspace, s->workspace, sizeof(task->workspace));
	g_strlcpy(task->class_name, s->class_name, sizeof(task->class_name));
	task->attempt = s->attempt;
	task->rank = s->rank;
	task->gang_size = s->gang_size;
	task->epoch = s->epoch;
	task->accelerator_mask = s->accelerator_mask;
	task->cell = s->cell;
	task->cpu_millicores = s->cpu_millicores;
	task->memory_bytes = s->memory_bytes;
	task->throttle_pct = s->throttle_pct;
	task->needed_ns = s->expected_ms * CQ_NS_PER_MS;
	task->run_ns = restored_ns ? *restored_ns : 0;
	task->checkpoint_ns = -1;
	call->epoch = s->epoch;
	call->not_after_unix_ms = s->not_after_unix_ms;
	call->lease_ms = s->lease_ms;
	call->done = done;
	send_call(call, timeout_ms);
}

static void client_sync(void *self, const char *address,
			const struct cq_worker_sync *sync, uint32_t timeout_ms,
			cq_worker_sync_done_fn *done, void *ctx)
{
	struct sim_call *call = new_call(self, address, VERB_SYNC, ctx);
	uint32_t i;

	call->renew = g_new0(char *, sync->renew_count + 1);
	for (i = 0; i < sync->renew_count; i++)
		call->renew[i] = g_strdup(sync->renew[i]);
	call->epoch = sync->epoch;
	call->lease_ms = sync->lease_ms;
	call->since_version = sync->since_version;
	call->sync_done = done;
	send_call(call, timeout_ms);
}

static void send_verb(void *self, const char *address, enum verb verb,
		      const char *task_id, int64_t epoch, uint32_t percent,
		      uint32_t timeout_ms, cq_worker_done_fn *done, void *ctx)
{
	struct sim_call *call = new_call(self, address, verb, ctx);

	g_strlcpy(call->task_id, task_id, sizeof(call->task_id));
	call->epoch = epoch;
	call->percent = percent;
	call->done = done;
	send_call(call, timeout_ms);
}

static void client_throttle(void *self, const char *address,
			    const char *task_id, int64_t epoch,
			    uint32_t percent, uint32_t timeout_ms,
			    cq_worker_done_fn *done, void *ctx)
{
	send_verb(self, address, VERB_THROTTLE, task_id, epoch, percent,
		  timeout_ms, done, ctx);
}

static void client_checkpoint(void *self, const char *address,
			      const char *task_id, int64_t epoch,
			      uint32_t timeout_ms, cq_worker_done_fn *done,
			      void *ctx)
{
	send_verb(self, address, VERB_CHECKPOINT, task_id, epoch, 0, timeout_ms,
		  done, ctx);
}

static void client_stop(void *self, const char *address, const char *task_id,
			int64_t epoch, uint32_t timeout_ms,
			cq_worker_done_fn *done, void *ctx)
{
	send_verb(self, address, VERB_STOP, task_id, epoch, 0, timeout_ms, done,
		  ctx);
}

const struct cq_worker_ops cq_sim_workers_client_ops = {
	.start = client_start,
	.sync = client_sync,
	.throttle = client_throttle,
	.checkpoint = client_checkpoint,
	.stop = client_stop,
};
