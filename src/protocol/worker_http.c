#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/worker.h"
#include "protocol/http_calls.h"

#define CONNECT_TIMEOUT_MS 500
/* A full report of 1,000 tasks is about 400 KB. */
#define MAX_ANSWER_BYTES (4U << 20)

struct cq_worker_http {
	struct cq_worker worker;
	struct cq_http_calls *calls;
};

struct call {
	struct cq_http_calls_entry entry;
	cq_worker_done_fn *done;
	cq_worker_sync_done_fn *sync_done;
	void *ctx;
};

static void send_json(struct cq_worker_http *http, const char *address,
		      const char *path, json_t *body, uint32_t timeout_ms,
		      struct call *call);
static void send_command(void *self, const char *address, const char *task_id,
			 const char *verb, json_t *body, uint32_t timeout_ms,
			 cq_worker_done_fn *done, void *ctx);
static enum cq_worker_answer answer_of(const struct cq_http_result *result);
static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *result);
static bool parse_report(const json_t *root, struct cq_worker_report *report,
			 struct cq_worker_task **tasks);
static bool parse_task(const json_t *item, struct cq_worker_task *task);
static const char *text_of(const json_t *item, const char *name);
static uint64_t count_of(const json_t *item, const char *name);
static uint64_t bits_of(const json_t *item, const char *name);

static struct call *call_create(void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	call->ctx = ctx;
	return call;
}

static void send_json(struct cq_worker_http *http, const char *address,
		      const char *path, json_t *body, uint32_t timeout_ms,
		      struct call *call)
{
	char *text = json_dumps(body, JSON_COMPACT);
	static const struct cq_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};
	struct cq_http_request request = {
		.method = "POST",
		.headers = headers,
		.body = text,
		.body_len = strlen(text),
		.timeout_ms = timeout_ms,
	};

	cq_http_calls_send(http->calls, address, path, &request, &call->entry);
	json_decref(body);
	free(text);
}

static void start(void *self, const char *address,
		  const struct cq_worker_start *s, uint32_t timeout_ms,
		  cq_worker_done_fn *done, void *ctx)
{
	struct call *call = call_create(ctx);
	json_t *body =
		json_pack("{s:s,s:s,s:I,s:I,s:I,s:s,s:s,s:I,s:I,s:I,s:I,s:I}",
			  "task_id", s->task_id, "job_id", s->job_id, "attempt",
			  (json_int_t)s->attempt, "rank", (json_int_t)s->rank,
			  "gang_size", (json_int_t)s->gang_size, "workspace",
			  s->workspace, "class", s->class_name, "epoch",
			  (json_int_t)s->epoch, "not_after_unix_ms",
			  (json_int_t)s->not_after_unix_ms, "lease_ms",
			  (json_int_t)s->lease_ms, "throttle_pct",
			  (json_int_t)s->throttle_pct, "cpu_millicores",
			  (json_int_t)s->cpu_millicores);
	json_t *rest = json_pack("{s:I,s:I,s:I,s:s,s:I}", "memory_bytes",
				 (json_int_t)s->memory_bytes, "accelerators",
				 (json_int_t)s->accelerator_mask, "cell",
				 (json_int_t)s->cell, "restore_from",
				 s->restore_from, "expected_ms",
				 (json_int_t)s->expected_ms);

	call->done = done;
	json_object_update(body, rest);
	json_decref(rest);
	send_json(self, address, "/v1/tasks", body, timeout_ms, call);
}

static void sync_call(void *self, const char *address,
		      const struct cq_worker_sync *sync, uint32_t timeout_ms,
		      cq_worker_sync_done_fn *done, void *ctx)
{
	struct call *call = call_create(ctx);
	json_t *renew = json_array();
	uint32_t i;

	for (i = 0; i < sync->renew_count; i++)
		json_array_append_new(renew, json_string(sync->renew[i]));
	call->sync_done = done;
	send_json(self, address, "/v1/sync",
		  json_pack("{s:I,s:I,s:o,s:I}", "epoch",
			    (json_int_t)sync->epoch, "lease_ms",
			    (json_int_t)sync->lease_ms, "renew", renew,
			    "since_version", (json_int_t)sync->since_version),
		  timeout_ms, call);
}

static void send_command(void *self, const char *address, const char *task_id,
			 const char *verb, json_t *body, uint32_t timeout_ms,
			 cq_worker_done_fn *done, void *ctx)
{
	struct call *call = call_create(ctx);
	char *path = g_strdup_printf("/v1/tasks/%s/%s", task_id, verb);

	call->done = done;
	send_json(self, address, path, body, timeout_ms, call);
	g_free(path);
}

static void throttle(void *self, const char *address, const char *task_id,
		     int64_t epoch, uint32_t percent, uint32_t timeout_ms,
		     cq_worker_done_fn *done, void *ctx)
{
	send_command(self, address, task_id, "throttle",
		     json_pack("{s:I,s:I}", "epoch", (json_int_t)epoch,
			       "throttle_pct", (json_int_t)percent),
		     timeout_ms, done, ctx);
}

static void checkpoint(void *self, const char *address, const char *task_id,
		       int64_t epoch, uint32_t timeout_ms,
		       cq_worker_done_fn *done, void *ctx)
{
	send_command(self, address, task_id, "checkpoint",
		     json_pack("{s:I}", "epoch", (json_int_t)epoch), timeout_ms,
		     done, ctx);
}

static void stop(void *self, const char *address, const char *task_id,
		 int64_t epoch, uint32_t timeout_ms, cq_worker_done_fn *done,
		 void *ctx)
{
	send_command(self, address, task_id, "stop",
		     json_pack("{s:I}", "epoch", (json_int_t)epoch), timeout_ms,
		     done, ctx);
}

static const struct cq_worker_ops http_ops = {
	.start = start,
	.sync = sync_call,
	.throttle = throttle,
	.checkpoint = checkpoint,
	.stop = stop,
};

static enum cq_worker_answer answer_of(const struct cq_http_result *result)
{
	if (result->outcome == CQ_HTTP_NOT_SENT)
		return CQ_WORKER_ANSWER_UNAVAILABLE;
	if (result->outcome == CQ_HTTP_UNKNOWN || result->status >= 500)
		return CQ_WORKER_ANSWER_UNKNOWN;
	if (result->status >= 200 && result->status < 300)
		return CQ_WORKER_ANSWER_OK;
	if (result->status == 409)
		return CQ_WORKER_ANSWER_STALE;
	if (result->status == 404)
		return CQ_WORKER_ANSWER_NOT_FOUND;
	return CQ_WORKER_ANSWER_REFUSED;
}

static const char *text_of(const json_t *item, const char *name)
{
	const char *text = json_string_value(json_object_get(item, name));

	return text ? text : "";
}

/* Negative numbers are invalid in a report and read as 0. */
static uint64_t count_of(const json_t *item, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(item, name));

	return value > 0 ? (uint64_t)value : 0;
}

/* A 64-bit mask is encoded as the signed JSON integer with the same bits. */
static uint64_t bits_of(const json_t *item, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(item, name));
}

static bool parse_task(const json_t *item, struct cq_worker_task *task)
{
	task->task_id = text_of(item, "task_id");
	task->job_id = text_of(item, "job_id");
	task->attempt = (uint32_t)count_of(item, "attempt");
	task->rank = (uint32_t)count_of(item, "rank");
	task->gang_size = (uint32_t)count_of(item, "gang_size");
	task->workspace = text_of(item, "workspace");
	task->class_name = text_of(item, "class");
	task->epoch = (int64_t)count_of(item, "epoch");
	task->accelerator_mask = bits_of(item, "accelerators");
	task->cell = bits_of(item, "cell");
	task->cpu_millicores = (uint32_t)count_of(item, "cpu_millicores");
	task->memory_bytes = count_of(item, "memory_bytes");
	task->observed_millicores =
		(uint32_t)count_of(item, "observed_millicores");
	task->observed_memory_bytes = count_of(item, "observed_memory_bytes");
	task->throttle_pct = (uint32_t)count_of(item, "throttle_pct");
	task->lease_left_ms = (int64_t)count_of(item, "lease_left_ms");
	task->run_ms = (int64_t)count_of(item, "run_ms");
	task->checkpoint_ms = json_object_get(item, "checkpoint_ms")
				      ? (int64_t)count_of(item, "checkpoint_ms")
				      : -1;
	return *task->task_id && *task->job_id && task->gang_size > 0 &&
	       task->rank < task->gang_size &&
	       cq_task_state_parse(text_of(item, "state"), &task->state);
}

static bool parse_report(const json_t *root, struct cq_worker_report *report,
			 struct cq_worker_task **tasks)
{
	const json_t *capacity = json_object_get(root, "capacity");
	const json_t *list = json_object_get(root, "tasks");
	size_t count = json_array_size(list);
	size_t i;

	report->boot_id = text_of(root, "boot_id");
	report->version = count_of(root, "version");
	report->accelerators = (uint32_t)count_of(capacity, "accelerators");
	report->millicores = (uint32_t)count_of(capacity, "cpu_millicores");
	report->memory_bytes = count_of(capacity, "memory_bytes");
	if (!*report->boot_id || !json_is_object(capacity) ||
	    !json_is_array(list) || report->accelerators > 64)
		return false;
	*tasks = g_new0(struct cq_worker_task, count + 1);
	for (i = 0; i < count; i++)
		if (!parse_task(json_array_get(list, i), &(*tasks)[i]))
			return false;
	report->tasks = *tasks;
	report->task_count = (uint32_t)count;
	return true;
}

static void on_done(struct cq_http_calls_entry *entry,
		    const struct cq_http_result *result)
{
	const struct call *call = (struct call *)entry;
	enum cq_worker_answer answer = answer_of(result);
	struct cq_worker_report report = { 0 };
	struct cq_worker_task *tasks = NULL;
	json_t *root = NULL;

	if (result->outcome == CQ_HTTP_ANSWERED)
		root = json_loadb(result->body, result->body_len, 0, NULL);
	if (call->sync_done) {
		if (answer == CQ_WORKER_ANSWER_OK &&
		    !parse_report(root, &report, &tasks))
			answer = CQ_WORKER_ANSWER_UNKNOWN;
		call->sync_done(call->ctx, answer,
				answer == CQ_WORKER_ANSWER_OK ? &report : NULL);
	} else if (answer != CQ_WORKER_ANSWER_OK) {
		const char *message = text_of(root, "error");

		call->done(call->ctx, answer,
			   *message ? message : result->error);
	} else {
		call->done(call->ctx, answer, "");
	}
	g_free(tasks);
	json_decref(root);
}

struct cq_worker_http *cq_worker_http_create(struct cq_http_client *client)
{
	static const struct cq_http_calls_options calls = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.max_silence_ms = CQ_HTTP_MAX_SILENCE_MS,
		.done = on_done,
		.free_entry = g_free,
	};
	struct cq_worker_http *http = g_new0(struct cq_worker_http, 1);

	http->worker.ops = &http_ops;
	http->worker.self = http;
	http->calls = cq_http_calls_create(client, &calls);
	return http;
}

void cq_worker_http_destroy(struct cq_worker_http *http)
{
	if (!http)
		return;
	cq_http_calls_destroy(http->calls);
	g_free(http);
}

const struct cq_worker *cq_worker_http_get(struct cq_worker_http *http)
{
	return &http->worker;
}
