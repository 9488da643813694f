/* Conversion of settings objects to typed structs, with validation */
#ifndef STATE_SETTINGS_PARSE_H
#define STATE_SETTINGS_PARSE_H

#include <jansson.h>
#include <stdbool.h>

#include "chestnutquay/settings.h"

enum cq_settings_kind {
	CQ_SETTINGS_KIND_GLOBAL,
	CQ_SETTINGS_KIND_DATA_CENTRE,
	CQ_SETTINGS_KIND_WORKSPACE,
};

union cq_settings_typed {
	struct cq_settings_global global;
	struct cq_settings_data_centre data_centre;
	struct cq_settings_workspace workspace;
};

/* Parses a subtree key; *name points into key ("" for global). */
bool cq_settings_key_parse(const char *key, enum cq_settings_kind *kind,
			   const char **name, struct cq_error *err);
void cq_settings_global_defaults(struct cq_settings_global *global);
bool cq_settings_parse(const char *key, const json_t *settings,
		       union cq_settings_typed *out, struct cq_error *err);

#endif
