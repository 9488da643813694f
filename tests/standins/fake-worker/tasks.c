#include <string.h>

#include "chestnutquay/clock.h"
#include "fake_worker.h"

/* Time for which an ended task is still reported. */
#define ENDED_KEPT_NS (120 * CQ_NS_PER_S)

int64_t fake_now_ns(void)
{
	return cq_clock_now_ns(cq_clock_system());
}

int64_t fake_unix_ms(void)
{
	return cq_clock_unix_ms(cq_clock_system());
}

void fake_task_free(void *data)
{
	struct fake_task *task = data;

	json_decref(task->labels);
	g_free(task->id);
	g_free(task);
}

static void record_task_event(json_t *log, const struct fake_worker *worker,
			      const struct fake_task *task, const char *what)
{
	json_array_append_new(
		log,
		json_pack("{s:s,s:s,s:s,s:O,s:O,s:O,s:O,s:I,s:s}", "worker",
			  worker->id, "data_centre", worker->data_centre,
			  "task_id", task->id, "job_id",
			  json_object_get(task->labels, "job_id"), "attempt",
			  json_object_get(task->labels, "attempt"), "epoch",
			  json_object_get(task->labels, "epoch"),
			  "accelerators",
			  json_object_get(task->labels, "accelerators"),
			  "unix_ms", (json_int_t)fake_unix_ms(), "what", what));
}

static void mark_task_changed(struct fake_worker *worker,
			      struct fake_task *task)
{
	task->version = ++worker->version;
}

static void end_task(struct fake_worker *worker, struct fake_task *task,
		     enum cq_task_state state, const char *reason)
{
	task->state = state;
	task->end_reason = reason;
	task->ended_ns = fake_now_ns();
	mark_task_changed(worker, task);
	record_task_event(worker->fleet->ends, worker, task, reason);
}

static void set_throttle(struct fake_worker *worker, struct fake_task *task,
			 uint32_t percent)
{
	task->throttle_pct = percent;
	if (task->state == CQ_TASK_HELD && percent > 0) {
		task->state = CQ_TASK_RUNNING;
		task->usage_reported_from_ns =
			fake_now_ns() +
			worker->fleet->usage_lag_ms * CQ_NS_PER_MS;
		record_task_event(worker->fleet->releases, worker, task,
				  "released");
	}
	mark_task_changed(worker, task);
}

static void advance_task(struct fake_worker *worker, struct fake_task *task,
			 int64_t now_ns)
{
	int64_t until_ns = MIN(now_ns, task->lease_deadline_ns);
	int64_t elapsed_ns = MAX(until_ns - task->advanced_ns, 0);

	if (!cq_task_state_is_live(task->state))
		return;
	if (task->state == CQ_TASK_RUNNING)
		task->run_ms += (double)elapsed_ns / (double)CQ_NS_PER_MS *
				task->throttle_pct / 100.0;
	task->advanced_ns = now_ns;
	if (task->state == CQ_TASK_CHECKPOINTING &&
	    until_ns >= task->checkpoint_end_ns) {
		int64_t *ms = g_new(int64_t, 1);

		task->checkpoint_ms = (int64_t)task->run_ms;
		task->state = CQ_TASK_RUNNING;
		*ms = task->checkpoint_ms;
		g_hash_table_replace(worker->fleet->checkpoints,
				     g_strdup(task->id), ms);
		mark_task_changed(worker, task);
	}
	if (task->state == CQ_TASK_RUNNING && worker->fail_tasks)
		end_task(worker, task, CQ_TASK_FAILED, "failed");
	else if (task->state == CQ_TASK_RUNNING &&
		 task->run_ms >= task->required_run_ms)
		end_task(worker, task, CQ_TASK_FINISHED, "finished");
	else if (now_ns >= task->lease_deadline_ns)
		end_task(worker, task, CQ_TASK_STOPPED, "lease_lapsed");
}

void fake_worker_advance(struct fake_worker *worker)
{
	int64_t now_ns = fake_now_ns();
	GHashTableIter iter;
	gpointer value;

	if (worker->paused)
		return;
	g_hash_table_iter_init(&iter, worker->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_task *task = value;

		advance_task(worker, task, now_ns);
		if (!cq_task_state_is_live(task->state) &&
		    now_ns - task->ended_ns > ENDED_KEPT_NS)
			g_hash_table_iter_remove(&iter);
	}
}

void fake_worker_restart(struct fake_worker *worker)
{
	g_hash_table_remove_all(worker->tasks);
	worker->boot++;
	worker->version = 0;
	worker->highest_epoch = 0;
}

static void answer(struct fake_worker *worker,
		   struct cq_http_exchange *exchange, uint32_t status,
		   json_t *body)
{
	char *text;

	if (worker->lose_answers > 0) {
		worker->lose_answers--;
		g_ptr_array_add(worker->unanswered_exchanges, exchange);
		json_decref(body);
		return;
	}
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	cq_http_exchange_respond_json(exchange, status, text);
	free(text);
}

static void refuse(struct fake_worker *worker,
		   struct cq_http_exchange *exchange, uint32_t status,
		   const char *message)
{
	if (status == 409)
		worker->fleet->refused_stale++;
	answer(worker, exchange, status, json_pack("{s:s}", "error", message));
}

static json_int_t integer_of(const json_t *body, const char *name)
{
	return json_integer_value(json_object_get(body, name));
}

static struct fake_task *create_task(struct fake_worker *worker, json_t *body)
{
	struct fake_task *task = g_new0(struct fake_task, 1);
	const char *restore =
		json_string_value(json_object_get(body, "restore_from"));
	const int64_t *restored_ms = NULL;

	if (restore)
		restored_ms = g_hash_table_lookup(worker->fleet->checkpoints,
						  restore);
	task->id =
		g_strdup(json_string_value(json_object_get(body, "task_id")));
	task->labels = json_incref(body);
	task->state = CQ_TASK_HELD;
	task->checkpoint_ms = -1;
	task->run_ms = restored_ms ? (double)*restored_ms : 0.0;
	task->required_run_ms =
		worker->fleet->run_ms ? (double)worker->fleet->run_ms
				      : (double)integer_of(body, "expected_ms");
	if (task->required_run_ms <= 0)
		task->required_run_ms = 1000;
	task->advanced_ns = fake_now_ns();
	task->lease_deadline_ns =
		task->advanced_ns + integer_of(body, "lease_ms") * CQ_NS_PER_MS;
	g_hash_table_insert(worker->tasks, task->id, task);
	record_task_event(worker->fleet->starts, worker, task, "started");
	set_throttle(worker, task, (uint32_t)integer_of(body, "throttle_pct"));
	return task;
}

static void handle_start(struct fake_worker *worker,
			 struct cq_http_exchange *exchange, json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "task_id"));

	if (!id || !json_string_value(json_object_get(body, "job_id")) ||
	    integer_of(body, "gang_size") <= 0 ||
	    integer_of(body, "lease_ms") <= 0) {
		refuse(worker, exchange, 400,
		       "task_id, job_id, gang_size and lease_ms are required");
		return;
	}
	if (fake_unix_ms() > integer_of(body, "not_after_unix_ms")) {
		refuse(worker, exchange, 409, "not_after_unix_ms has passed");
		return;
	}
	if (g_hash_table_contains(worker->tasks, id))
		worker->fleet->repeated_starts++;
	else
		create_task(worker, body);
	answer(worker, exchange, 200, json_object());
}

static json_t *report_task(const struct fake_task *task)
{
	json_t *item = json_copy(task->labels);
	bool usage = task->usage_reported_from_ns &&
		     fake_now_ns() >= task->usage_reported_from_ns &&
		     cq_task_state_is_live(task->state);
	int64_t left_ns = task->lease_deadline_ns - fake_now_ns();

	json_object_set_new(item, "state",
			    json_string(cq_task_state_string(task->state)));
	json_object_set_new(item, "reason",
			    json_string(task->end_reason ? task->end_reason
							 : ""));
	json_object_set_new(item, "throttle_pct",
			    json_integer(task->throttle_pct));
	json_object_set_new(item, "lease_left_ms",
			    json_integer(MAX(left_ns, 0) / CQ_NS_PER_MS));
	json_object_set_new(item, "run_ms",
			    json_integer((json_int_t)task->run_ms));
	if (task->checkpoint_ms >= 0)
		json_object_set_new(item, "checkpoint_ms",
				    json_integer(task->checkpoint_ms));
	json_object_set_new(
		item, "observed_millicores",
		json_integer(usage ? integer_of(item, "cpu_millicores") : 0));
	json_object_set_new(
		item, "observed_memory_bytes",
		json_integer(usage ? integer_of(item, "memory_bytes") : 0));
	return item;
}

static void handle_sync(struct fake_worker *worker,
			struct cq_http_exchange *exchange, const json_t *body)
{
	int64_t now_ns = fake_now_ns();
	int64_t lease_ns = integer_of(body, "lease_ms") * CQ_NS_PER_MS;
	uint64_t since = (uint64_t)integer_of(body, "since_version");
	const json_t *renew = json_object_get(body, "renew");
	json_t *tasks = json_array();
	char *boot = g_strdup_printf("%s-%u", worker->id, worker->boot);
	GHashTableIter iter;
	gpointer value;
	size_t i;

	worker->fleet->syncs++;
	for (i = 0; i < json_array_size(renew); i++) {
		const char *id = json_string_value(json_array_get(renew, i));
		struct fake_task *task =
			id ? g_hash_table_lookup(worker->tasks, id) : NULL;

		if (task && cq_task_state_is_live(task->state))
			task->lease_deadline_ns = now_ns + lease_ns;
	}
	g_hash_table_iter_init(&iter, worker->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_task *task = value;

		/* The task counts as changed when its usage becomes available.
		 */
		if (task->usage_reported_from_ns &&
		    now_ns >= task->usage_reported_from_ns &&
		    now_ns - task->usage_reported_from_ns < CQ_NS_PER_S)
			mark_task_changed(worker, task);
		if (task->version > since)
			json_array_append_new(tasks, report_task(task));
	}
	answer(worker, exchange, 200,
	       json_pack("{s:s,s:{s:I,s:I,s:I},s:I,s:o}", "boot_id", boot,
			 "capacity", "accelerators",
			 (json_int_t)worker->fleet->accelerators,
			 "cpu_millicores",
			 (json_int_t)worker->fleet->millicores, "memory_bytes",
			 (json_int_t)worker->fleet->memory_bytes, "version",
			 (json_int_t)worker->version, "tasks", tasks));
	g_free(boot);
}

static void handle_command(struct fake_worker *worker,
			   struct cq_http_exchange *exchange, const char *path,
			   const json_t *body)
{
	char **parts = g_strsplit(path, "/", 2);
	struct fake_task *task = g_hash_table_lookup(worker->tasks, parts[0]);
	const char *verb = parts[1] ? parts[1] : "";

	if (!task || !cq_task_state_is_live(task->state)) {
		refuse(worker, exchange, 404, "no such task is live");
	} else if (!strcmp(verb, "throttle")) {
		set_throttle(worker, task,
			     (uint32_t)integer_of(body, "throttle_pct"));
		answer(worker, exchange, 200, json_object());
	} else if (!strcmp(verb, "checkpoint")) {
		if (task->state == CQ_TASK_RUNNING) {
			task->state = CQ_TASK_CHECKPOINTING;
			task->checkpoint_end_ns =
				fake_now_ns() +
				worker->fleet->checkpoint_ms * CQ_NS_PER_MS;
			mark_task_changed(worker, task);
		}
		answer(worker, exchange, 200, json_object());
	} else if (!strcmp(verb, "stop")) {
		end_task(worker, task, CQ_TASK_STOPPED, "stopped");
		answer(worker, exchange, 200, json_object());
	} else {
		refuse(worker, exchange, 404, "no such call");
	}
	g_strfreev(parts);
}

void fake_worker_request(struct fake_worker *worker,
			 struct cq_http_exchange *exchange)
{
	const char *path = cq_http_exchange_path(exchange);
	const char *text;
	json_t *body;
	size_t len;

	if (worker->paused || worker->silent) {
		g_ptr_array_add(worker->unanswered_exchanges, exchange);
		return;
	}
	/* Ends tasks whose lease expired during a pause before the call. */
	fake_worker_advance(worker);
	if (worker->fail_calls) {
		refuse(worker, exchange, 500, "injected failure");
		return;
	}
	text = cq_http_exchange_body(exchange, &len);
	body = json_loadb(text, len, 0, NULL);
	if (!json_is_object(body)) {
		refuse(worker, exchange, 400, "the body is not an object");
	} else if (integer_of(body, "epoch") < worker->highest_epoch) {
		refuse(worker, exchange, 409, "the epoch is too low");
	} else {
		worker->highest_epoch = integer_of(body, "epoch");
		if (!strcmp(path, "/v1/tasks"))
			handle_start(worker, exchange, body);
		else if (!strcmp(path, "/v1/sync"))
			handle_sync(worker, exchange, body);
		else if (g_str_has_prefix(path, "/v1/tasks/"))
			handle_command(worker, exchange,
				       path + strlen("/v1/tasks/"), body);
		else
			refuse(worker, exchange, 404, "no such call");
	}
	json_decref(body);
}
