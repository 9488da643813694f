/*
 * Guards against an operator's settings or a stored document crashing the
 * settings tree, and against a change that passes the check but does not come
 * into force when it is applied.
 */
#include <assert.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/settings.h"

#define MAX_INPUT_BYTES 4096

static const struct cq_settings_worker workers[] = {
	{ "surat", "r1", 8 },
	{ "surat", "r1", 8 },
	{ "rajkot", "r1", 4 },
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The first line is the key, the rest the settings object. */
static void check_change(const char *key, const char *json)
{
	struct cq_settings_capacity capacity = { workers, 3 };
	struct cq_settings *settings = cq_settings_create();
	struct cq_error err = CQ_ERROR_INIT;
	char writer[CQ_SETTINGS_NAME_BYTES];
	uint64_t sequence = 0;
	char *document;
	char *in_force;

	if (!cq_settings_check(settings, key, json, &capacity, &err)) {
		assert(err.code == CQ_ERR_INVALID && *err.message);
		cq_settings_destroy(settings);
		return;
	}
	document = cq_settings_encode(json, "writer", 7);
	assert(document);
	assert(cq_settings_writer(document, writer, &sequence));
	assert(!strcmp(writer, "writer") && sequence == 7);
	assert(cq_settings_apply(settings, key, document, 5, &err));
	assert(err.code == CQ_OK);
	in_force = cq_settings_json(settings, key);
	assert(in_force);
	free(in_force);
	free(document);
	cq_settings_destroy(settings);
}

static void apply_document(const char *key, const char *document)
{
	struct cq_settings *settings = cq_settings_create();
	struct cq_error err = CQ_ERROR_INIT;
	enum cq_settings_dc_state state;
	int64_t revision = 0;

	cq_settings_document_dc_state(document, &state);
	if (cq_settings_apply(settings, key, document, 5, &err)) {
		assert(cq_settings_document(settings, key, &revision));
		assert(revision == 5);
		assert(!cq_settings_apply(settings, key, document, 5, NULL));
	}
	assert(cq_settings_global(settings)->class_count > 0);
	cq_settings_destroy(settings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char text[MAX_INPUT_BYTES + 1];
	char *rest;

	if (size > MAX_INPUT_BYTES)
		return 0;
	memcpy(text, data, size);
	text[size] = 0;
	rest = strchr(text, '\n');
	if (!rest)
		return 0;
	*rest++ = 0;
	check_change(text, rest);
	apply_document(text, rest);
	return 0;
}
