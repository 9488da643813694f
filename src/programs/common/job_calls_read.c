/* Showing, explaining and listing jobs. */
#include <string.h>

#include "programs/common/job_calls_private.h"

#define DEFAULT_LIMIT 100
#define MAX_LIMIT 1000

static void on_owner_answer(struct job_call *call, uint32_t dc, json_t *answer);
static void on_queried(struct job_call *call);
static void on_record(struct job_call *call,
		      const struct cq_store_entry *entry);
static void on_owners_listed(struct job_call *call);
static void list_next(struct job_call *call);
static void on_list_read(struct job_call *call,
			 const struct cq_store_result *result);

static void on_owner_answer(struct job_call *call, uint32_t dc, json_t *answer)
{
	json_t *body = json_object_get(answer, "body");

	if (json_integer_value(json_object_get(answer, "status")) != 200 ||
	    !json_is_object(body))
		return;
	json_decref(call->answers[dc]);
	call->answers[dc] = json_incref(body);
	call->query_complete = call->kind != JOB_CALL_LIST;
}

static void on_queried(struct job_call *call)
{
	uint32_t i;

	for (i = 0; i < call->dc_count; i++) {
		json_t *body = call->answers[i];
		const char *state =
			json_string_value(json_object_get(body, "state"));

		if (!body || (state && !strcmp(state, "moving")))
			continue;
		json_object_set_new(body, "stale", json_false());
		cq_job_call_end(call, 200, json_incref(body));
		return;
	}
	cq_job_call_find(call, on_record);
}

/* Converts a record to a job marked stale, as no owner gave its live state. */
static json_t *stale_json(const struct job_call *call,
			  const struct cq_job_record *record, const char *dc)
{
	char *text = cq_job_record_format(record);
	json_t *json = json_loads(text, 0, NULL);
	int64_t unix_ms = cq_clock_unix_ms(call->calls->options.clock);
	int64_t age_ms = record->written_unix_ms < 0
				 ? -1
				 : MAX(unix_ms - record->written_unix_ms, 0);

	free(text);
	json_object_set_new(json, "only_data_centre",
			    json_string(record->data_centre));
	json_object_set_new(json, "data_centre", json_string(dc));
	json_object_set_new(json, "stale", json_true());
	json_object_set_new(json, "age_ms", json_integer(age_ms));
	return json;
}

static void on_record(struct job_call *call, const struct cq_store_entry *entry)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_job_record record;

	if (entry &&
	    !cq_job_record_parse(entry->value, entry->value_len, &record, &err))
		cq_job_call_refuse(call, 500, "record_invalid", err.message,
				   NULL);
	else if (entry)
		cq_job_call_end(call, 200,
				stale_json(call, &record,
					   call->dcs[call->dc_index]));
	else if (call->read_failed)
		cq_job_call_refuse(call, 503, "store_unavailable",
				   "neither an owner nor the store answered",
				   NULL);
	else
		cq_job_call_refuse(call, 404, "not_found",
				   "there is no job of this id", NULL);
}

void cq_job_call_show(struct job_call *call)
{
	cq_job_call_order_dcs(call, call->record.id);
	call->answers = g_new0(json_t *, call->dc_count + 1);
	cq_job_call_query(call, UINT32_MAX,
			  json_pack("{s:s,s:s}", "op",
				    call->kind == JOB_CALL_EXPLAIN ? "explain"
								   : "show",
				    "id", call->record.id),
			  on_owner_answer, on_queried);
}

static const char *query_text(const struct job_call *call, const char *name)
{
	const char *text = cq_operator_exchange_query(call->exchange, name);

	return text ? text : "";
}

static uint32_t query_limit(const struct job_call *call)
{
	const char *text = query_text(call, "limit");

	if (!*text)
		return DEFAULT_LIMIT;
	return (uint32_t)CLAMP(g_ascii_strtoll(text, NULL, 10), 1, MAX_LIMIT);
}

static bool matches(const struct job_call *call, const char *name,
		    const char *value)
{
	const char *wanted = query_text(call, name);

	return !*wanted || !strcmp(wanted, value);
}

/* Lists the stored jobs of a data centre whose owner did not answer. */
static void on_list_read(struct job_call *call,
			 const struct cq_store_result *result)
{
	json_t *list = json_array();
	struct cq_job_record record;
	size_t i;

	if (result->status == CQ_STORE_OK) {
		for (i = 0; i < result->entry_count; i++) {
			const struct cq_store_entry *entry =
				&result->entries[i];

			if (!cq_job_record_parse(entry->value, entry->value_len,
						 &record, NULL) ||
			    !matches(call, "state",
				     cq_job_phase_string(record.phase)) ||
			    !matches(call, "workspace", record.workspace) ||
			    !matches(call, "class", record.class_name))
				continue;
			json_array_append_new(
				list, stale_json(call, &record,
						 call->dcs[call->dc_index]));
		}
		call->answers[call->dc_index] =
			json_pack("{s:I,s:O,s:b}", "total",
				  (json_int_t)json_array_size(list), "jobs",
				  list, "stale", 1);
	}
	json_decref(list);
	call->dc_index++;
	list_next(call);
}

/* Age of a job read from the store; -1 if unknown or reported by an owner. */
static json_int_t age_of(const json_t *job)
{
	const json_t *age = json_object_get(job, "age_ms");

	return age ? json_integer_value(age) : -1;
}

static void end_list(struct job_call *call)
{
	json_t *jobs = json_array();
	json_t *missing = json_array();
	uint32_t limit = query_limit(call);
	json_int_t total = 0;
	json_int_t age_ms = -1;
	bool stale = false;
	json_t *body;
	size_t k;
	uint32_t i;

	for (i = 0; i < call->dc_count; i++) {
		const json_t *answer = call->answers[i];
		const json_t *list = json_object_get(answer, "jobs");

		if (!matches(call, "data_centre", call->dcs[i]))
			continue;
		if (!answer) {
			json_array_append_new(missing,
					      json_string(call->dcs[i]));
			continue;
		}
		stale |= json_is_true(json_object_get(answer, "stale"));
		total += json_integer_value(json_object_get(answer, "total"));
		for (k = 0; k < json_array_size(list); k++) {
			json_t *job = json_array_get(list, k);

			age_ms = MAX(age_ms, age_of(job));
			if (json_array_size(jobs) < limit)
				json_array_append(jobs, job);
		}
	}
	body = json_pack("{s:o,s:I,s:b,s:o}", "jobs", jobs, "total", total,
			 "stale", (int)stale, "missing", missing);
	if (stale)
		json_object_set_new(body, "age_ms", json_integer(age_ms));
	cq_job_call_end(call, 200, body);
}

static void list_next(struct job_call *call)
{
	char *prefix;

	while (call->dc_index < call->dc_count &&
	       (call->answers[call->dc_index] ||
		!matches(call, "data_centre", call->dcs[call->dc_index])))
		call->dc_index++;
	if (call->dc_index >= call->dc_count ||
	    cq_job_call_now(call) >= call->deadline_ns) {
		end_list(call);
		return;
	}
	prefix = g_strdup_printf(CQ_JOBS_PREFIX "%s/",
				 call->dcs[call->dc_index]);
	cq_job_call_list(call, prefix, on_list_read);
	g_free(prefix);
}

static void on_owners_listed(struct job_call *call)
{
	call->dc_index = 0;
	list_next(call);
}

void cq_job_call_list_jobs(struct job_call *call)
{
	call->answers = g_new0(json_t *, call->dc_count + 1);
	cq_job_call_query(call, UINT32_MAX,
			  json_pack("{s:s,s:s,s:s,s:s,s:I}", "op", "list",
				    "state", query_text(call, "state"),
				    "workspace", query_text(call, "workspace"),
				    "class", query_text(call, "class"), "limit",
				    (json_int_t)query_limit(call)),
			  on_owner_answer, on_owners_listed);
}
