/* Submitting and cancelling jobs. */
#include <inttypes.h>
#include <string.h>

#include "programs/common/job_calls_private.h"

static void put_submission(struct job_call *call);
static void on_submitted(struct job_call *call,
			 const struct cq_store_result *result);
static void on_read_back(struct job_call *call,
			 const struct cq_store_result *result);
static void find_by_key(struct job_call *call);
static void on_key_found(struct job_call *call,
			 const struct cq_store_entry *entry);
static void put_cancel(struct job_call *call,
		       const struct cq_store_entry *entry);
static void on_cancelled(struct job_call *call,
			 const struct cq_store_result *result);
static void find_job(struct job_call *call);

static void respond_accepted(struct job_call *call,
			     const struct cq_job_record *record, bool existing)
{
	const char *dc = call->dcs[call->dc_index];

	if (!existing)
		cq_job_call_notify(call, dc);
	cq_job_call_end(call, 202,
			json_pack("{s:s,s:s,s:s,s:s,s:b}", "id", record->id,
				  "state", cq_job_phase_string(record->phase),
				  "data_centre", dc, "workspace",
				  record->workspace, "existing", existing));
}

/* Ends a submission that could not be stored before the deadline. */
static void fail_submission(struct job_call *call)
{
	cq_job_call_refuse(call, 503, "store_unavailable",
			   "the job could not be stored in the given time",
			   call->maybe_written ? "unknown" : "no");
}

/* Schedules a retry; returns false if it would miss the deadline. */
static bool schedule_retry(struct job_call *call,
			   void (*retry)(struct job_call *call))
{
	cq_job_call_retry_later(call, retry);
	if (call->retry_ns < call->deadline_ns)
		return true;
	call->retry_ns = 0;
	return false;
}

/* Tells whether a submission repeats that of the record with the same key. */
static bool same_job(const struct cq_job_record *a,
		     const struct cq_job_record *b)
{
	return !strcmp(a->workspace, b->workspace) &&
	       !strcmp(a->class_name, b->class_name) && a->tasks == b->tasks &&
	       a->adjacency == b->adjacency &&
	       a->accelerators == b->accelerators &&
	       a->cpu_millicores == b->cpu_millicores &&
	       a->memory_bytes == b->memory_bytes;
}

static void handle_existing(struct job_call *call,
			    const struct cq_store_entry *entry)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_job_record record;

	if (!cq_job_record_parse(entry->value, entry->value_len, &record, &err))
		cq_job_call_refuse(call, 500, "record_invalid", err.message,
				   "unknown");
	else if (cq_job_record_same_write(&record, &call->record))
		respond_accepted(call, &record, false);
	else if (!same_job(&record, &call->record))
		cq_job_call_refuse(call, 409, "key_reused",
				   "the idempotency key belongs to another job",
				   "no");
	else
		respond_accepted(call, &record, true);
}

static void on_submitted(struct job_call *call,
			 const struct cq_store_result *result)
{
	char key[CQ_JOB_KEY_BYTES];

	switch (result->status) {
	case CQ_STORE_OK:
		respond_accepted(call, &call->record, false);
		return;
	case CQ_STORE_CONFLICT:
		if (result->entry_count) {
			handle_existing(call, &result->entries[0]);
			return;
		}
		break;
	case CQ_STORE_UNKNOWN:
		call->maybe_written = true;
		cq_job_key(call->dcs[call->dc_index], call->record.id, key);
		cq_job_call_get(call, key, on_read_back);
		return;
	case CQ_STORE_INVALID:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		cq_job_call_refuse(call, 400, "invalid", result->message, "no");
		return;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_UNAVAILABLE:
		break;
	}
	if (!schedule_retry(call, put_submission))
		fail_submission(call);
}

static void on_read_back(struct job_call *call,
			 const struct cq_store_result *result)
{
	if (result->status == CQ_STORE_OK && result->entry_count)
		handle_existing(call, &result->entries[0]);
	/* If the lost write arrives after all, the next one conflicts. */
	else if (!schedule_retry(call, put_submission))
		fail_submission(call);
}

static void put_submission(struct job_call *call)
{
	char key[CQ_JOB_KEY_BYTES];

	cq_job_key(call->dcs[call->dc_index], call->record.id, key);
	cq_job_call_put(call, key, &call->record, 0, on_submitted);
}

/*
 * Chooses the home by the job's id among the data centres in service, or the
 * data centre that the job asks for.
 */
static bool choose_home(struct job_call *call)
{
	const struct cq_settings *settings = call->calls->settings;
	const char **candidates = g_new0(const char *, call->dc_count + 1);
	const char *home = NULL;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < call->dc_count; i++) {
		const struct cq_settings_data_centre *dc =
			cq_settings_data_centre(settings, call->dcs[i]);

		if (*call->record.data_centre
			    ? !strcmp(call->record.data_centre, call->dcs[i])
			    : dc && dc->state == CQ_SETTINGS_DC_IN)
			candidates[count++] = call->dcs[i];
	}
	if (count)
		home = candidates[cq_job_home(call->record.id, candidates,
					      count)];
	for (i = 0; home && i < call->dc_count; i++)
		if (!strcmp(call->dcs[i], home))
			call->dc_index = i;
	g_free(candidates);
	return home != NULL;
}

static void on_checked(struct job_call *call)
{
	const json_t *answer = call->answers[call->dc_index];
	const json_t *status = json_object_get(answer, "status");
	const char *message =
		json_string_value(json_object_get(answer, "message"));

	if (json_integer_value(status) == 422) {
		cq_job_call_refuse(call, 422, "never_fits",
				   message ? message : "the job is too large",
				   "no");
		return;
	}
	put_submission(call);
}

static void on_check_answer(struct job_call *call, uint32_t dc, json_t *answer)
{
	json_decref(call->answers[dc]);
	call->answers[dc] = json_incref(answer);
	call->query_complete = true;
}

/* Asks the owner whether the job can ever run; assumes so without an answer. */
static void check_fit(struct job_call *call)
{
	char *text;

	if (!choose_home(call)) {
		cq_job_call_refuse(call, 503, "no_data_centre",
				   "no data centre for the job is in service",
				   "no");
		return;
	}
	text = cq_job_record_format(&call->record);
	call->answers = g_new0(json_t *, call->dc_count);
	cq_job_call_query(call, call->dc_index,
			  json_pack("{s:s,s:o}", "op", "check", "job",
				    json_loads(text, 0, NULL)),
			  on_check_answer, on_checked);
	free(text);
}

static void on_key_found(struct job_call *call,
			 const struct cq_store_entry *entry)
{
	if (entry)
		handle_existing(call, entry);
	else if (!call->read_failed)
		check_fit(call);
	else if (!schedule_retry(call, find_by_key))
		fail_submission(call);
}

/* Searches all data centres, as a job of this key may have left its home. */
static void find_by_key(struct job_call *call)
{
	cq_job_call_find(call, on_key_found);
}

static bool check_names(struct job_call *call, struct cq_error *err)
{
	const struct cq_settings *settings = call->calls->settings;
	const struct cq_settings_global *global = cq_settings_global(settings);
	const struct cq_job_record *record = &call->record;
	int32_t i;

	for (i = 0; i < global->class_count; i++)
		if (!strcmp(global->classes[i].name, record->class_name))
			break;
	if (i == global->class_count)
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "class: \"%s\" is not a class of the "
				    "settings",
				    record->class_name);
	if (!cq_settings_workspace(settings, record->workspace))
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "workspace: \"%s\" is not a workspace of "
				    "the settings",
				    record->workspace);
	if (*record->data_centre &&
	    !cq_settings_data_centre(settings, record->data_centre))
		return cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_INVALID,
				    "data_centre: \"%s\" is not a data centre "
				    "of the settings",
				    record->data_centre);
	return true;
}

/* Removes the key from the body, where operators' clients put it. */
static char *extract_body_key(char **body, size_t *len)
{
	json_t *root = json_loadb(*body, *len, JSON_REJECT_DUPLICATES, NULL);
	const char *text =
		json_string_value(json_object_get(root, "idempotency_key"));
	char *key = g_strdup(text);

	if (text) {
		char *rest;

		json_object_del(root, "idempotency_key");
		rest = json_dumps(root, JSON_COMPACT);
		g_free(*body);
		*body = g_strdup(rest);
		*len = strlen(rest);
		free(rest);
	}
	json_decref(root);
	return key;
}

static void make_id(struct job_call *call, const char *key)
{
	char *random = NULL;

	call->has_key = key != NULL;
	if (!key)
		key = random = g_uuid_string_random();
	cq_job_id_from_key(call->record.workspace, key, call->record.id);
	g_free(random);
}

void cq_job_call_submit(struct job_call *call)
{
	const char *header_key =
		cq_operator_exchange_header(call->exchange, "Idempotency-Key");
	struct cq_error err = CQ_ERROR_INIT;
	size_t len;
	const char *text = cq_operator_exchange_body(call->exchange, &len);
	char *body = g_strndup(text ? text : "", len);
	char *body_key = extract_body_key(&body, &len);
	bool ok = cq_job_submission_parse(body, len, &call->record, &err) &&
		  check_names(call, &err);

	if (!ok) {
		cq_job_call_refuse(call, 400, "invalid", err.message, "no");
	} else {
		call->record.phase = CQ_PHASE_QUEUED;
		call->record.submitted_unix_ms =
			cq_clock_unix_ms(call->calls->options.clock);
		call->record.written_unix_ms = call->record.submitted_unix_ms;
		g_strlcpy(call->record.writer, call->calls->writer,
			  sizeof(call->record.writer));
		call->record.sequence = ++call->calls->sequence;
		make_id(call, header_key ? header_key : body_key);
		cq_job_call_order_dcs(call, call->record.id);
		if (call->has_key)
			find_by_key(call);
		else
			check_fit(call);
	}
	g_free(body_key);
	g_free(body);
}

static void respond_cancelled(struct job_call *call, uint32_t status)
{
	cq_job_call_end(call, status,
			json_pack("{s:s,s:s,s:b}", "id", call->record.id,
				  "state",
				  cq_job_phase_string(call->record.phase),
				  "cancel", (int)call->record.cancel));
}

static void retry_cancel(struct job_call *call)
{
	if (!schedule_retry(call, find_job))
		cq_job_call_refuse(call, 503, "store_unavailable",
				   "the request to cancel could not be stored "
				   "in the given time",
				   call->maybe_written ? "unknown" : "no");
}

static void on_cancelled(struct job_call *call,
			 const struct cq_store_result *result)
{
	switch (result->status) {
	case CQ_STORE_OK:
		respond_cancelled(call, 202);
		return;
	case CQ_STORE_CONFLICT:
		if (result->entry_count) {
			put_cancel(call, &result->entries[0]);
			return;
		}
		break;
	case CQ_STORE_UNKNOWN:
		call->maybe_written = true;
		break;
	case CQ_STORE_NOT_FOUND:
	case CQ_STORE_UNAVAILABLE:
	case CQ_STORE_INVALID:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		break;
	}
	retry_cancel(call);
}

static void put_cancel(struct job_call *call,
		       const struct cq_store_entry *entry)
{
	struct cq_error err = CQ_ERROR_INIT;
	char key[CQ_JOB_KEY_BYTES];
	struct cq_job_record record;

	if (!cq_job_record_parse(entry->value, entry->value_len, &record,
				 &err)) {
		cq_job_call_refuse(call, 500, "record_invalid", err.message,
				   "no");
		return;
	}
	call->record = record;
	if (record.cancel || cq_job_phase_is_terminal(record.phase)) {
		respond_cancelled(call, 200);
		return;
	}
	if (record.phase == CQ_PHASE_MOVING) {
		/* The record in the target data centre must be marked. */
		retry_cancel(call);
		return;
	}
	record.cancel = true;
	if (cq_job_phase_is_waiting(record.phase)) {
		record.phase = CQ_PHASE_CANCELLED;
		record.ended_unix_ms =
			cq_clock_unix_ms(call->calls->options.clock);
		g_strlcpy(record.reason, "cancelled on request",
			  sizeof(record.reason));
	}
	record.written_unix_ms = cq_clock_unix_ms(call->calls->options.clock);
	g_strlcpy(record.writer, call->calls->writer, sizeof(record.writer));
	record.sequence = ++call->calls->sequence;
	call->record = record;
	cq_job_key(call->dcs[call->dc_index], record.id, key);
	cq_job_call_put(call, key, &record, entry->revision, on_cancelled);
}

static void on_job_found(struct job_call *call,
			 const struct cq_store_entry *entry)
{
	if (entry)
		put_cancel(call, entry);
	else if (call->read_failed)
		retry_cancel(call);
	else
		cq_job_call_refuse(call, 404, "not_found",
				   "there is no job of this id", NULL);
}

static void find_job(struct job_call *call)
{
	cq_job_call_find(call, on_job_found);
}

void cq_job_call_cancel(struct job_call *call)
{
	cq_job_call_order_dcs(call, call->record.id);
	find_job(call);
}
