#include <string.h>

#include "fake_worker.h"

static void set_bool(const json_t *faults, const char *name, bool *value)
{
	const json_t *given = json_object_get(faults, name);

	if (given)
		*value = json_is_true(given);
}

static void release_exchanges(struct fake_worker *worker)
{
	GPtrArray *waiting = worker->unanswered_exchanges;
	guint i;

	worker->unanswered_exchanges = g_ptr_array_new();
	for (i = 0; i < waiting->len; i++)
		fake_worker_request(worker, waiting->pdata[i]);
	g_ptr_array_free(waiting, TRUE);
}

static void set_faults(struct fake_worker *worker, const json_t *faults)
{
	bool was_paused = worker->paused;

	set_bool(faults, "fail_tasks", &worker->fail_tasks);
	set_bool(faults, "fail_calls", &worker->fail_calls);
	set_bool(faults, "silent", &worker->silent);
	set_bool(faults, "paused", &worker->paused);
	if (json_object_get(faults, "lose_answers"))
		worker->lose_answers = json_integer_value(
			json_object_get(faults, "lose_answers"));
	if (json_is_true(json_object_get(faults, "reboot")))
		fake_worker_restart(worker);
	if (was_paused && !worker->paused)
		release_exchanges(worker);
}

static void handle_faults(struct fleet *fleet,
			  struct cq_http_exchange *exchange)
{
	size_t len;
	const char *text = cq_http_exchange_body(exchange, &len);
	json_t *faults = json_loadb(text, len, 0, NULL);
	const char *only = json_string_value(json_object_get(faults, "worker"));
	uint32_t i;
	uint32_t matched = 0;

	for (i = 0; i < fleet->count; i++) {
		if (only && strcmp(only, fleet->workers[i].id) != 0)
			continue;
		set_faults(&fleet->workers[i], faults);
		matched++;
	}
	if (json_object_get(faults, "run_ms"))
		fleet->run_ms =
			json_integer_value(json_object_get(faults, "run_ms"));
	json_decref(faults);
	cq_http_exchange_respond_json(exchange, matched ? 200 : 404, "{}");
}

/* Tasks that are live at present. */
static json_t *live_tasks(const struct fleet *fleet)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < fleet->count; i++) {
		const struct fake_worker *worker = &fleet->workers[i];
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, worker->tasks);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct fake_task *task = value;

			if (!cq_task_state_is_live(task->state))
				continue;
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:s,s:s}", "task_id",
					  task->id, "worker", worker->id,
					  "data_centre", worker->data_centre,
					  "state",
					  cq_task_state_string(task->state)));
		}
	}
	return list;
}

static void handle_stats(struct fleet *fleet, struct cq_http_exchange *exchange)
{
	json_t *stats = json_pack(
		"{s:O,s:O,s:O,s:o,s:I,s:I,s:I}", "starts", fleet->starts,
		"releases", fleet->releases, "ends", fleet->ends, "live",
		live_tasks(fleet), "syncs", (json_int_t)fleet->syncs,
		"refused_stale", (json_int_t)fleet->refused_stale,
		"repeated_starts", (json_int_t)fleet->repeated_starts);
	char *text = json_dumps(stats, JSON_COMPACT);

	cq_http_exchange_respond_json(exchange, 200, text);
	free(text);
	json_decref(stats);
}

void fake_control_request(void *ctx, struct cq_http_exchange *exchange)
{
	struct fleet *fleet = ctx;
	const char *path = cq_http_exchange_path(exchange);

	if (!strcmp(path, "/v1/faults"))
		handle_faults(fleet, exchange);
	else if (!strcmp(path, "/v1/stats"))
		handle_stats(fleet, exchange);
	else
		cq_http_exchange_respond_json(exchange, 404, "{}");
}
