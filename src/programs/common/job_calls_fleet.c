/* Workers and workspaces, as reported by the owners of the data centres. */
#include <string.h>

#include "programs/common/job_calls_private.h"

/* Fields of a workspace that are summed over the data centres. */
static const char *const summed_fields[] = {
	"guaranteed_accelerators",
	"used_accelerators",
	"borrowed_accelerators",
	"reclaimable_accelerators",
	"running_jobs",
	"waiting_jobs",
};

static void on_owner_answer(struct job_call *call, uint32_t dc, json_t *answer);
static void on_workers(struct job_call *call);
static void on_workspaces(struct job_call *call);
static void add_workspace(const struct job_call *call, json_t *list,
			  GHashTable *by_name, const json_t *item);
static json_t *missing_owners(const struct job_call *call);

static void on_owner_answer(struct job_call *call, uint32_t dc, json_t *answer)
{
	json_t *body = json_object_get(answer, "body");

	if (json_integer_value(json_object_get(answer, "status")) != 200 ||
	    !json_is_object(body))
		return;
	json_decref(call->answers[dc]);
	call->answers[dc] = json_incref(body);
}

static json_t *missing_owners(const struct job_call *call)
{
	json_t *missing = json_array();
	uint32_t i;

	for (i = 0; i < call->dc_count; i++)
		if (!call->answers[i])
			json_array_append_new(missing,
					      json_string(call->dcs[i]));
	return missing;
}

static void on_workers(struct job_call *call)
{
	json_t *workers = json_array();
	json_t *item;
	uint32_t i;
	size_t k;

	for (i = 0; i < call->dc_count; i++) {
		json_t *list = json_object_get(call->answers[i], "workers");

		json_array_foreach(list, k, item)
		{
			json_object_set_new(item, "data_centre",
					    json_string(call->dcs[i]));
			json_array_append(workers, item);
		}
	}
	cq_job_call_end(call, 200,
			json_pack("{s:o,s:o}", "workers", workers, "missing",
				  missing_owners(call)));
}

static void add_workspace(const struct job_call *call, json_t *list,
			  GHashTable *by_name, const json_t *item)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const struct cq_settings_workspace *settings;
	json_t *sum;
	size_t i;

	if (!name)
		return;
	sum = g_hash_table_lookup(by_name, name);
	if (!sum) {
		settings = cq_settings_workspace(call->calls->settings, name);
		sum = json_pack("{s:s,s:i}", "name", name, "weight",
				settings ? (int)settings->weight : 0);
		json_array_append_new(list, sum);
		g_hash_table_insert(by_name, g_strdup(name), sum);
	}
	for (i = 0; i < G_N_ELEMENTS(summed_fields); i++)
		json_object_set_new(
			sum, summed_fields[i],
			json_integer(json_integer_value(json_object_get(
					     sum, summed_fields[i])) +
				     json_integer_value(json_object_get(
					     item, summed_fields[i]))));
}

static void on_workspaces(struct job_call *call)
{
	GHashTable *by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	json_t *workspaces = json_array();
	json_t *shortfalls = json_array();
	json_t *item;
	uint32_t i;
	size_t k;

	for (i = 0; i < call->dc_count; i++) {
		json_t *list = json_object_get(call->answers[i], "workspaces");

		json_array_foreach(list, k, item)
			add_workspace(call, workspaces, by_name, item);
		list = json_object_get(call->answers[i], "shortfalls");
		json_array_foreach(list, k, item) json_array_append_new(
			shortfalls, json_sprintf("%s: %s", call->dcs[i],
						 json_string_value(item)));
	}
	g_hash_table_destroy(by_name);
	cq_job_call_end(call, 200,
			json_pack("{s:o,s:o,s:o}", "workspaces", workspaces,
				  "shortfalls", shortfalls, "missing",
				  missing_owners(call)));
}

void cq_job_calls_handle_fleet(struct cq_job_calls *calls,
			       struct cq_operator_exchange *exchange)
{
	bool workers =
		!strcmp(cq_operator_exchange_path(exchange), "/v1/workers");
	struct job_call *call = cq_job_call_create(calls, exchange);

	if (cq_job_call_refuse_stopping(call))
		return;
	call->kind = JOB_CALL_FLEET;
	call->answers = g_new0(json_t *, call->dc_count + 1);
	cq_job_call_query(
		call, UINT32_MAX,
		json_pack("{s:s}", "op", workers ? "workers" : "workspaces"),
		on_owner_answer, workers ? on_workers : on_workspaces);
}
