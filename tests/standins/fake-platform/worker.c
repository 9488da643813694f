#include <glib.h>
#include <string.h>

#include "fake_platform.h"

static const char *reason_of(enum cq_executor_answer answer)
{
	switch (answer) {
	case CQ_EXECUTOR_FENCED:
		return "fence";
	case CQ_EXECUTOR_OLD_RUN:
		return "old";
	case CQ_EXECUTOR_LEASE_EXPIRED:
		return "late";
	default:
		return "room";
	}
}

static json_t *running_rows(const struct cq_executor_report *report)
{
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < report->running_count; i++)
		json_array_append_new(
			rows, json_pack("[s,i,s,i,i]", report->running[i].task,
					(int)report->running[i].run,
					report->running[i].checkpoint, 100, 0));
	return rows;
}

static json_t *ended_rows(const struct cq_executor_report *report)
{
	json_t *rows = json_array();
	size_t i;

	for (i = 0; i < report->ended_count; i++)
		json_array_append_new(
			rows,
			json_pack("[I,s,i,s,s]",
				  (json_int_t)report->ended[i].number,
				  report->ended[i].task,
				  (int)report->ended[i].run,
				  cq_run_end_string(report->ended[i].outcome),
				  report->ended[i].checkpoint));
	return rows;
}

static void on_report(void *ctx, const struct cq_executor_report *report)
{
	struct cq_http_exchange *exchange = fake_call_end(ctx);
	json_t *body;

	if (!exchange)
		return;
	body = json_pack("{s:I}", "clockMs",
			 (json_int_t)MAX(0, report->clock_ms));
	if (report->answer != CQ_EXECUTOR_OK) {
		json_object_set_new(body, "reason",
				    json_string(reason_of(report->answer)));
		fake_respond(exchange, 409, body);
		return;
	}
	json_object_set_new(body, "born",
			    json_integer((json_int_t)report->started_unix_ms));
	if (!strcmp(cq_http_exchange_path(exchange), "/hold")) {
		json_object_set_new(body, "running", running_rows(report));
		json_object_set_new(body, "finished", ended_rows(report));
	}
	fake_respond(exchange, 200, body);
}

static int64_t number(const json_t *root, const char *field)
{
	return json_integer_value(json_object_get(root, field));
}

void fake_worker_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct fake_worker *w = ctx;
	const struct cq_executor *e = mem_executor_get(w->platform->executor);
	const char *path = cq_http_exchange_path(exchange);
	size_t len;
	const char *text = cq_http_exchange_body(exchange, &len);
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *task = json_string_value(json_object_get(root, "task"));
	const struct cq_executor_target target = {
		.address = w->id,
		.id = w->id,
		.fencing_token = number(root, "fencingToken"),
	};

	if (!strcmp(path, "/run-start") && task) {
		const struct cq_executor_start start = {
			.task = task,
			.run = (uint32_t)number(root, "run"),
			.spec = "",
			.lease_end_ms = number(root, "deadlineMs"),
		};

		e->ops->start(e->self, &target, &start, 0, on_report,
			      fake_call(exchange));
	} else if (!strcmp(path, "/run-stop") && task) {
		e->ops->stop(e->self, &target, task,
			     (uint32_t)number(root, "run"), 0, on_report,
			     fake_call(exchange));
	} else if (!strcmp(path, "/hold")) {
		const struct cq_executor_heartbeat hold = {
			.lease_end_ms = number(root, "deadlineMs"),
			.acknowledged = (uint64_t)number(root, "lastSeen"),
			.wait_ms = (uint32_t)number(root, "waitMs"),
		};

		e->ops->heartbeat(e->self, &target, &hold, 0, on_report,
				  fake_call(exchange));
	} else {
		fake_respond(exchange, 400, json_object());
	}
	json_decref(root);
}
