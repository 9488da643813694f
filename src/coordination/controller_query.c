/* What the owner knows, as JSON for callers and operators. */
#include <jansson.h>
#include <string.h>

#include "controller_private.h"

static json_t *record_json(const struct cq_job_record *record)
{
	char *text = cq_job_record_format(record);
	json_t *json = json_loads(text, 0, NULL);

	free(text);
	return json;
}

static json_t *time_json(const struct cq_controller *c, int64_t at_ns,
			 int64_t now_ns)
{
	if (!at_ns || at_ns == CQ_FLEET_UNKNOWN_NS)
		return json_integer(-1);
	return json_integer(cq_clock_unix_ms(c->options.clock) +
			    (at_ns - now_ns) / CQ_NS_PER_MS);
}

/* Oldest first. */
static json_t *decisions_json(const struct cq_job *job)
{
	uint32_t count = MIN(job->decision_count, CQ_JOB_DECISIONS);
	json_t *list = json_array();
	uint32_t i;

	for (i = job->decision_count - count; i < job->decision_count; i++) {
		const struct cq_job_decision *entry =
			&job->decisions[i % CQ_JOB_DECISIONS];

		json_array_append_new(list,
				      json_pack("{s:I,s:s,s:s}", "unix_ms",
						(json_int_t)entry->unix_ms,
						"decision", entry->decision,
						"reason", entry->reason));
	}
	return list;
}

static json_t *tasks_json(const struct cq_job *job)
{
	struct cq_controller *c = job->controller;
	json_t *list = json_array();
	char id[CQ_JOB_TASK_ID_BYTES];
	uint32_t i;

	for (i = 0; job->places && i < job->record.tasks; i++) {
		const struct cq_task_status *view;
		const char *worker = "";

		cq_job_task_id(job->record.id, job->places_attempt, i, id);
		view = cq_fleet_state_task(c->fleet, id);
		if (job->places[i].worker != UINT32_MAX)
			worker = cq_fleet_state_node(c->fleet,
						     job->places[i].worker)
					 ->name;
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s}", "task_id", id,
					"worker", worker, "state",
					view ? cq_task_state_string(view->state)
					     : "unknown"));
	}
	return list;
}

static json_t *job_json(const struct cq_job *job, int64_t now_ns)
{
	const struct cq_controller *c = job->controller;
	json_t *json = record_json(&job->record);

	json_object_set_new(json, "only_data_centre",
			    json_string(job->record.data_centre));
	json_object_set_new(json, "data_centre", json_string(c->data_centre));
	if (cq_job_phase_is_waiting(job->record.phase)) {
		json_object_set_new(json, "expected_start_unix_ms",
				    time_json(c, job->expected_start_ns,
					      now_ns));
		json_object_set_new(json, "expected_end_unix_ms",
				    time_json(c, job->expected_end_ns, now_ns));
	}
	return json;
}

static char *finish(json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return text;
}

static const struct cq_job *find_job(const struct cq_controller *c,
				     const char *job_id)
{
	return c->epoch && c->loaded ? g_hash_table_lookup(c->jobs, job_id)
				     : NULL;
}

char *cq_controller_show_job(struct cq_controller *c, const char *job_id,
			     int64_t now_ns)
{
	const struct cq_job *job = find_job(c, job_id);

	return job ? finish(job_json(job, now_ns)) : NULL;
}

char *cq_controller_explain_job(struct cq_controller *c, const char *job_id,
				int64_t now_ns)
{
	const struct cq_job *job = find_job(c, job_id);
	json_t *json;

	if (!job)
		return NULL;
	json = job_json(job, now_ns);
	json_object_set_new(json, "explanation", json_string(job->why));
	if (cq_job_phase_is_waiting(job->record.phase) && *job->why)
		json_object_set_new(json, "reason", json_string(job->why));
	json_object_set_new(
		json, "gang",
		json_string(job->gang ? cq_gang_state_string(
						cq_gang_state(job->gang))
				      : "none"));
	json_object_set_new(json, "task_list", tasks_json(job));
	json_object_set_new(json, "decisions", decisions_json(job));
	return finish(json);
}

static bool matches(const char *wanted, const char *value)
{
	return !*wanted || !strcmp(wanted, value);
}

char *cq_controller_list_jobs(struct cq_controller *c,
			      const struct cq_controller_filter *filter,
			      int64_t now_ns)
{
	json_t *list = json_array();
	uint32_t total = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_job *job = value;

		if (!matches(filter->state,
			     cq_job_phase_string(job->record.phase)) ||
		    !matches(filter->workspace, job->record.workspace) ||
		    !matches(filter->class_name, job->record.class_name))
			continue;
		if (total++ < filter->limit)
			json_array_append_new(list, job_json(job, now_ns));
	}
	return finish(json_pack("{s:s,s:I,s:o}", "data_centre", c->data_centre,
				"total", (json_int_t)total, "jobs", list));
}

static bool count_live(void *ctx, struct cq_task_status *task)
{
	uint32_t *count = ctx;

	*count += cq_task_state_is_live(task->state);
	return true;
}

char *cq_controller_list_workers(struct cq_controller *c, int64_t now_ns)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		const struct cq_fleet_node *node =
			cq_fleet_state_node(c->fleet, i);
		int64_t silent_ns = now_ns - node->answered_ns;
		const char *state = "up";
		uint32_t live = 0;

		if (!node->listed)
			state = "not_listed";
		else if (node->lost)
			state = "lost";
		else if (!node->reported)
			state = "unknown";
		else if (cq_planner_is_quarantined(c->planner, node->name))
			state = "quarantined";
		cq_fleet_state_visit_worker(c->fleet, i, count_live, &live);
		json_array_append_new(
			list,
			json_pack(
				"{s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "id",
				node->name, "address", node->address, "state",
				state, "rack", node->rack_name, "accelerators",
				(json_int_t)node->accelerators, "live_tasks",
				(json_int_t)live, "silent_ms",
				(json_int_t)(node->answered_ns
						     ? silent_ns / CQ_NS_PER_MS
						     : -1)));
	}
	return finish(json_pack("{s:s,s:I,s:o}", "data_centre", c->data_centre,
				"epoch", (json_int_t)c->epoch, "workers",
				list));
}

/* Guaranteed accelerators that the workspace can still claim. */
static json_int_t reclaimable(const struct cq_account *account)
{
	json_int_t left = (json_int_t)account->guaranteed_accelerators -
			  account->short_accelerators -
			  account->used_accelerators +
			  account->borrowed_accelerators;

	return MAX(left, 0);
}

char *cq_controller_list_workspaces(struct cq_controller *c)
{
	json_t *list = json_array();
	GList *names = g_list_sort(g_hash_table_get_keys(c->accounts),
				   (GCompareFunc)strcmp);
	GList *item;

	for (item = names; item; item = item->next) {
		const struct cq_account *account =
			g_hash_table_lookup(c->accounts, item->data);

		json_array_append_new(
			list,
			json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "name",
				  (const char *)item->data,
				  "guaranteed_accelerators",
				  (json_int_t)account->guaranteed_accelerators,
				  "short_accelerators",
				  (json_int_t)account->short_accelerators,
				  "used_accelerators",
				  (json_int_t)account->used_accelerators,
				  "borrowed_accelerators",
				  (json_int_t)account->borrowed_accelerators,
				  "reclaimable_accelerators",
				  reclaimable(account), "running_jobs",
				  (json_int_t)account->running_jobs,
				  "waiting_jobs",
				  (json_int_t)account->waiting_jobs));
	}
	g_list_free(names);
	return finish(json_pack("{s:s,s:o}", "data_centre", c->data_centre,
				"workspaces", list));
}
