/*
 * Guards against a document of the platform crashing its parser, being refused
 * without a reason, and against a submission that changes when its record is
 * written and read again.
 */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "platform/documents.h"
#include "platform/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_refusal(const struct cq_error *err)
{
	assert(err->code != CQ_OK && *err->message);
}

static void check_submission(const char *text, size_t size)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_workload *w = cq_platform_submission_parse(text, size, &err);
	struct cq_workload *again;
	char *first;
	char *second;

	if (!w) {
		check_refusal(&err);
		return;
	}
	if (!cq_workload_check(w, &err)) {
		check_refusal(&err);
		cq_workload_destroy(w);
		return;
	}
	assert(w->step_count > 0 && w->step_count <= CQ_WORKLOAD_MAX_STEPS);
	assert(w->occurrences > 0);
	strcpy(w->id, "00000000000000ab");
	first = cq_workload_format(w);
	again = cq_workload_parse(first, strlen(first), &err);
	assert(again);
	second = cq_workload_format(again);
	assert(!strcmp(first, second));
	free(first);
	free(second);
	cq_workload_destroy(w);
	cq_workload_destroy(again);
}

static void check_listing(const char *text, size_t size)
{
	struct cq_executor_registration listing;
	struct cq_error err = CQ_ERROR_INIT;

	if (!cq_platform_registration_parse("worker", text, size, &listing,
					    &err))
		check_refusal(&err);
	else
		assert(memchr(listing.address, 0, sizeof(listing.address)));
	cq_executor_registration_clear(&listing);
}

static void check_config(const char *text, size_t size)
{
	struct cq_error err = CQ_ERROR_INIT;
	struct cq_queue_config *config =
		cq_platform_config_parse(text, size, &err);

	if (!config)
		check_refusal(&err);
	cq_queue_config_destroy(config);
}

static void check_settings(const char *text, size_t size)
{
	struct cq_platform_settings settings;
	struct cq_error err = CQ_ERROR_INIT;

	if (!cq_platform_settings_parse(text, size, &settings, &err))
		check_refusal(&err);
	cq_platform_settings_clear(&settings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	check_submission(text, size);
	check_listing(text, size);
	check_config(text, size);
	check_settings(text, size);
	return 0;
}
