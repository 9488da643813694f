/* JSON encoding of job records, driven by one table of fields */
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/jobs.h"

enum field_kind {
	FIELD_TEXT, /* min and max are lengths in bytes */
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	FIELD_BOOL,
	FIELD_PHASE,
	FIELD_ADJACENCY,
};

enum field_use {
	FIELD_REQUIRED = 1, /* required in a submission */
	FIELD_SUBMIT = 2,   /* allowed in a submission */
};

struct field {
	const char *name;
	enum field_kind kind;
	unsigned use;
	size_t offset;
	int64_t min, max;
};

#define DAY_MS INT64_C(86400000)
#define MAX_EXPECTED_MS (60 * DAY_MS)
#define MAX_TIME_MS INT64_C(32503680000000) /* year 3000 */
#define RECORD_OFFSET(member) offsetof(struct cq_job_record, member)

static const struct field fields[] = {
	{ "id", FIELD_TEXT, 0, RECORD_OFFSET(id), 1, CQ_JOB_ID_BYTES - 1 },
	{ "workspace", FIELD_TEXT, FIELD_REQUIRED | FIELD_SUBMIT,
	  RECORD_OFFSET(workspace), 1, CQ_JOB_NAME_BYTES - 1 },
	{ "class", FIELD_TEXT, FIELD_REQUIRED | FIELD_SUBMIT,
	  RECORD_OFFSET(class_name), 1, CQ_JOB_NAME_BYTES - 1 },
	{ "data_centre", FIELD_TEXT, FIELD_SUBMIT, RECORD_OFFSET(data_centre),
	  0, CQ_JOB_NAME_BYTES - 1 },
	{ "tasks", FIELD_U32, FIELD_SUBMIT, RECORD_OFFSET(tasks), 1,
	  CQ_FLEET_MAX_GANG },
	{ "adjacency", FIELD_ADJACENCY, FIELD_SUBMIT, RECORD_OFFSET(adjacency),
	  0, 0 },
	{ "accelerators", FIELD_U32, FIELD_REQUIRED | FIELD_SUBMIT,
	  RECORD_OFFSET(accelerators), 0, CQ_FLEET_MAX_ACCELERATORS },
	{ "cpu_millicores", FIELD_U32, FIELD_REQUIRED | FIELD_SUBMIT,
	  RECORD_OFFSET(cpu_millicores), 1, 10000000 },
	{ "memory_bytes", FIELD_U64, FIELD_REQUIRED | FIELD_SUBMIT,
	  RECORD_OFFSET(memory_bytes), 1, INT64_C(1) << 50 },
	{ "expected_ms", FIELD_I64, FIELD_SUBMIT, RECORD_OFFSET(expected_ms),
	  -1, MAX_EXPECTED_MS },
	{ "can_checkpoint", FIELD_BOOL, FIELD_SUBMIT,
	  RECORD_OFFSET(can_checkpoint), 0, 1 },
	{ "state", FIELD_PHASE, 0, RECORD_OFFSET(phase), 0, 0 },
	{ "cancel", FIELD_BOOL, 0, RECORD_OFFSET(cancel), 0, 1 },
	{ "attempt", FIELD_U32, 0, RECORD_OFFSET(attempt), 0, UINT32_MAX },
	{ "epoch", FIELD_I64, 0, RECORD_OFFSET(epoch), 0, INT64_MAX },
	{ "submitted_unix_ms", FIELD_I64, 0, RECORD_OFFSET(submitted_unix_ms),
	  -1, MAX_TIME_MS },
	{ "started_unix_ms", FIELD_I64, 0, RECORD_OFFSET(started_unix_ms), -1,
	  MAX_TIME_MS },
	{ "ended_unix_ms", FIELD_I64, 0, RECORD_OFFSET(ended_unix_ms), -1,
	  MAX_TIME_MS },
	{ "expected_start_unix_ms", FIELD_I64, 0,
	  RECORD_OFFSET(expected_start_unix_ms), -1, MAX_TIME_MS },
	{ "expected_end_unix_ms", FIELD_I64, 0,
	  RECORD_OFFSET(expected_end_unix_ms), -1, MAX_TIME_MS },
	{ "done_ms", FIELD_I64, 0, RECORD_OFFSET(done_ms), 0, MAX_TIME_MS },
	{ "restore_attempt", FIELD_U32, 0, RECORD_OFFSET(restore_attempt), 0,
	  UINT32_MAX },
	{ "evictions", FIELD_U32, 0, RECORD_OFFSET(evictions), 0, UINT32_MAX },
	{ "moves", FIELD_U32, 0, RECORD_OFFSET(moves), 0, UINT32_MAX },
	{ "moved_to", FIELD_TEXT, 0, RECORD_OFFSET(moved_to), 0,
	  CQ_JOB_NAME_BYTES - 1 },
	{ "reason", FIELD_TEXT, 0, RECORD_OFFSET(reason), 0,
	  CQ_JOB_REASON_BYTES - 1 },
	{ "writer", FIELD_TEXT, 0, RECORD_OFFSET(writer), 0,
	  CQ_JOB_NAME_BYTES - 1 },
	{ "sequence", FIELD_U64, 0, RECORD_OFFSET(sequence), 0, INT64_MAX },
	{ "written_unix_ms", FIELD_I64, 0, RECORD_OFFSET(written_unix_ms), -1,
	  MAX_TIME_MS },
};

static bool read_field(const struct field *field, const json_t *value,
		       struct cq_job_record *record, struct cq_error *err);
static bool read_text(const struct field *field, const json_t *value, char *to,
		      struct cq_error *err);
static bool read_integer(const struct field *field, const json_t *value,
			 int64_t *to, struct cq_error *err);
static bool read_failed_workers(const json_t *list,
				struct cq_job_record *record,
				struct cq_error *err);
static json_t *write_field(const struct field *field,
			   const struct cq_job_record *record);
static const struct field *find_field(const char *name);
static bool name_is_valid(const char *text);

static bool set_invalid_field(struct cq_error *err, const struct field *field,
			      const json_t *value, const char *allowed)
{
	char *text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY)
			   : NULL;

	cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
		     "%s: %.60s is not allowed (%s)", field->name,
		     text ? text : "a missing value", allowed);
	free(text);
	return false;
}

/* Names become parts of store keys and URLs. */
static bool name_is_valid(const char *text)
{
	for (; *text; text++)
		if (!g_ascii_isalnum(*text) && !strchr("-_.", *text))
			return false;
	return true;
}

static bool read_text(const struct field *field, const json_t *value, char *to,
		      struct cq_error *err)
{
	const char *text = json_string_value(value);
	char allowed[80];

	snprintf(allowed, sizeof(allowed),
		 "a string of %" PRId64 " to %" PRId64 " bytes", field->min,
		 field->max);
	if (!text || json_string_length(value) < (size_t)field->min ||
	    json_string_length(value) > (size_t)field->max)
		return set_invalid_field(err, field, value, allowed);
	if ((field->use || !strcmp(field->name, "id")) && !name_is_valid(text))
		return set_invalid_field(err, field, value,
					 "letters, digits, '-', '_' and '.'");
	g_strlcpy(to, text, (gsize)field->max + 1);
	return true;
}

static bool read_integer(const struct field *field, const json_t *value,
			 int64_t *to, struct cq_error *err)
{
	char allowed[80];

	snprintf(allowed, sizeof(allowed),
		 "an integer from %" PRId64 " to %" PRId64, field->min,
		 field->max);
	if (!json_is_integer(value) || json_integer_value(value) < field->min ||
	    json_integer_value(value) > field->max)
		return set_invalid_field(err, field, value, allowed);
	*to = json_integer_value(value);
	return true;
}

static bool read_adjacency(const struct field *field, const json_t *value,
			   enum cq_adjacency *to, struct cq_error *err)
{
	const char *text = json_string_value(value);
	int i;

	for (i = CQ_ADJACENT_WORKER; text && i <= CQ_ADJACENT_DC; i++) {
		if (strcmp(text, cq_adjacency_string((enum cq_adjacency)i)))
			continue;
		*to = (enum cq_adjacency)i;
		return true;
	}
	return set_invalid_field(err, field, value,
				 "worker, rack or data-centre");
}

static bool read_field(const struct field *field, const json_t *value,
		       struct cq_job_record *record, struct cq_error *err)
{
	void *to = (char *)record + field->offset;
	int64_t number = 0;

	switch (field->kind) {
	case FIELD_TEXT:
		return read_text(field, value, to, err);
	case FIELD_U32:
		if (!read_integer(field, value, &number, err))
			return false;
		*(uint32_t *)to = (uint32_t)number;
		return true;
	case FIELD_U64:
		if (!read_integer(field, value, &number, err))
			return false;
		*(uint64_t *)to = (uint64_t)number;
		return true;
	case FIELD_I64:
		return read_integer(field, value, to, err);
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return set_invalid_field(err, field, value,
						 "true or false");
		*(bool *)to = json_is_true(value);
		return true;
	case FIELD_PHASE:
		if (!json_is_string(value) ||
		    !cq_job_phase_parse(json_string_value(value), to))
			return set_invalid_field(err, field, value, "a state");
		return true;
	case FIELD_ADJACENCY:
		return read_adjacency(field, value, to, err);
	}
	return false;
}

static json_t *write_field(const struct field *field,
			   const struct cq_job_record *record)
{
	const void *from = (const char *)record + field->offset;

	switch (field->kind) {
	case FIELD_TEXT:
		return json_string(from);
	case FIELD_U32:
		return json_integer(*(const uint32_t *)from);
	case FIELD_U64:
		return json_integer((json_int_t) * (const uint64_t *)from);
	case FIELD_I64:
		return json_integer(*(const int64_t *)from);
	case FIELD_BOOL:
		return json_boolean(*(const bool *)from);
	case FIELD_PHASE:
		return json_string(
			cq_job_phase_string(*(const enum cq_job_phase *)from));
	case FIELD_ADJACENCY:
		return json_string(
			cq_adjacency_string(*(const enum cq_adjacency *)from));
	}
	return NULL;
}

static const struct field *find_field(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

static bool read_failed_workers(const json_t *list,
				struct cq_job_record *record,
				struct cq_error *err)
{
	size_t i;

	if (!list)
		return true;
	if (json_array_size(list) > CQ_JOB_MAX_FAILED_WORKERS)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "failed_workers: %zu entries are not "
				    "allowed (0 to %d)",
				    json_array_size(list),
				    CQ_JOB_MAX_FAILED_WORKERS);
	for (i = 0; i < json_array_size(list); i++) {
		const char *name = json_string_value(json_array_get(list, i));

		if (!name)
			return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
					    "failed_workers: entry %zu is not "
					    "a string",
					    i);
		cq_job_record_add_failed_worker(record, name);
	}
	return true;
}

static json_t *load_object(const char *json, size_t len, struct cq_error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, &fault);

	if (!json_is_object(root)) {
		cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			     "the job is not a JSON object: %s",
			     root ? "found an array" : fault.text);
		json_decref(root);
		return NULL;
	}
	return root;
}

bool cq_job_record_parse(const char *json, size_t len,
			 struct cq_job_record *record, struct cq_error *err)
{
	json_t *root = load_object(json, len, err);
	bool ok = root != NULL;
	size_t i;

	cq_job_record_init(record);
	/* Unknown fields are allowed: a newer version may have written them. */
	for (i = 0; ok && i < G_N_ELEMENTS(fields); i++) {
		const json_t *value = json_object_get(root, fields[i].name);

		if (value)
			ok = read_field(&fields[i], value, record, err);
		else if (fields[i].use & FIELD_REQUIRED ||
			 !strcmp(fields[i].name, "id"))
			ok = set_invalid_field(err, &fields[i], NULL,
					       "required");
	}
	if (ok)
		ok = read_failed_workers(
			json_object_get(root, "failed_workers"), record, err);
	json_decref(root);
	return ok;
}

bool cq_job_submission_parse(const char *json, size_t len,
			     struct cq_job_record *record, struct cq_error *err)
{
	json_t *root = load_object(json, len, err);
	bool ok = true;
	const char *name;
	json_t *value;
	size_t i;

	cq_job_record_init(record);
	if (!root)
		return false;
	json_object_foreach(root, name, value)
	{
		const struct field *field = find_field(name);

		if (!ok)
			break;
		if (!field || !(field->use & FIELD_SUBMIT))
			ok = cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
					  "%.60s: unknown field", name);
		else
			ok = read_field(field, value, record, err);
	}
	for (i = 0; ok && i < G_N_ELEMENTS(fields); i++)
		if (fields[i].use & FIELD_REQUIRED &&
		    !json_object_get(root, fields[i].name))
			ok = set_invalid_field(err, &fields[i], NULL,
					       "required");
	json_decref(root);
	return ok;
}

char *cq_job_record_format(const struct cq_job_record *record)
{
	json_t *root = json_object();
	json_t *failed = json_array();
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++)
		json_object_set_new(root, fields[i].name,
				    write_field(&fields[i], record));
	for (i = 0; i < record->failed_worker_count; i++)
		json_array_append_new(failed,
				      json_string(record->failed_workers[i]));
	json_object_set_new(root, "failed_workers", failed);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
