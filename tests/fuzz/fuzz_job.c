/*
 * Guards against a job record or a submission crashing its parser, and against
 * a record that changes when it is written and read again.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/jobs.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_text(const char *text, size_t bytes)
{
	assert(memchr(text, 0, bytes));
}

static void check_record(const struct cq_job_record *record)
{
	struct cq_job_record again;
	char key[CQ_JOB_KEY_BYTES];
	char id[CQ_JOB_TASK_ID_BYTES];
	char *first;
	char *second;

	check_text(record->id, sizeof(record->id));
	check_text(record->workspace, sizeof(record->workspace));
	check_text(record->class_name, sizeof(record->class_name));
	check_text(record->data_centre, sizeof(record->data_centre));
	check_text(record->reason, sizeof(record->reason));
	assert(record->failed_worker_count <= CQ_JOB_MAX_FAILED_WORKERS);
	cq_job_key("dc", record->id, key);
	cq_job_task_id(record->id, record->attempt, 0, id);
	first = cq_job_record_format(record);
	assert(first);
	if (cq_job_record_parse(first, strlen(first), &again, NULL)) {
		second = cq_job_record_format(&again);
		assert(!strcmp(first, second));
		free(second);
	} else {
		/* A submission has no id yet. */
		assert(!*record->id);
	}
	free(first);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cq_job_record record;
	struct cq_error err = CQ_ERROR_INIT;

	if (cq_job_record_parse((const char *)data, size, &record, &err))
		check_record(&record);
	else
		assert(err.code == CQ_ERR_INVALID && *err.message);
	err.code = CQ_OK;
	if (cq_job_submission_parse((const char *)data, size, &record, &err))
		check_record(&record);
	else
		assert(err.code == CQ_ERR_INVALID && *err.message);
	return 0;
}
