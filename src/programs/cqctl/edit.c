#include "programs/cqctl/edit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/cqctl/call.h"
#include "programs/cqctl/output.h"

#define MAX_FILE_BYTES (1U << 20)

static int parse_document(const struct cqctl *ctl, const char *text,
			  const char *source, json_t **wanted);
static int apply_fields(const struct cqctl *ctl, json_t *wanted);
static bool set_field(json_t *object, const char *path, json_t *value);

int cqctl_subtree_read(const struct cqctl *ctl, const char *key,
		       struct cqctl_subtree *subtree)
{
	char *encoded = cqctl_encode(key, true);
	char *path = g_strdup_printf("/v1/settings/%s", encoded);
	char *what = g_strdup_printf("read settings %s", key);
	struct cqctl_response response;
	int result = CQCTL_OK;

	memset(subtree, 0, sizeof(*subtree));
	cqctl_call(ctl, "GET", path, NULL, &response);
	if (response.status != 404)
		result = cqctl_response_check(ctl, &response, what);
	if (response.status == 200 && result == CQCTL_OK) {
		subtree->body = json_incref(response.body);
		subtree->settings = json_object_get(response.body, "settings");
		subtree->revision = json_integer_value(
			json_object_get(response.body, "revision"));
	}
	cqctl_response_clear(&response);
	g_free(what);
	g_free(path);
	g_free(encoded);
	return result;
}

void cqctl_subtree_clear(struct cqctl_subtree *subtree)
{
	json_decref(subtree->body);
	memset(subtree, 0, sizeof(*subtree));
}

char *cqctl_read_file(const struct cqctl *ctl, const char *path)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text;
	size_t len;

	if (!file) {
		cqctl_error(ctl, "cannot read %s", path);
		cqctl_hint(ctl, "give the path of a JSON file, or - for "
				"standard input");
		return NULL;
	}
	text = g_malloc(MAX_FILE_BYTES + 2);
	len = fread(text, 1, MAX_FILE_BYTES + 1, file);
	text[len] = 0;
	if (file != stdin)
		fclose(file);
	if (len <= MAX_FILE_BYTES)
		return text;
	cqctl_error(ctl, "%s is larger than %u bytes", path, MAX_FILE_BYTES);
	g_free(text);
	return NULL;
}

static int parse_document(const struct cqctl *ctl, const char *text,
			  const char *source, json_t **wanted)
{
	json_error_t error;

	*wanted = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	if (json_is_object(*wanted))
		return CQCTL_OK;
	if (*wanted)
		cqctl_error(ctl, "%s is not a JSON object", source);
	else
		cqctl_error(ctl, "%s is not JSON: line %d, column %d: %s",
			    source, error.line, error.column, error.text);
	json_decref(*wanted);
	*wanted = NULL;
	return CQCTL_USAGE;
}

static bool set_field(json_t *object, const char *path, json_t *value)
{
	char **names = g_strsplit(path, ".", -1);
	bool ok = *names && **names;
	int i;

	for (i = 0; ok && names[i + 1]; i++) {
		json_t *child = json_object_get(object, names[i]);

		if (!child) {
			child = json_object();
			json_object_set_new(object, names[i], child);
		}
		ok = json_is_object(child) && *names[i + 1];
		object = child;
	}
	if (ok && json_is_null(value))
		json_object_del(object, names[i]);
	else if (ok)
		json_object_set(object, names[i], value);
	json_decref(value);
	g_strfreev(names);
	return ok;
}

static int apply_fields(const struct cqctl *ctl, json_t *wanted)
{
	guint i;

	for (i = 1; i < ctl->arguments->len; i++) {
		const char *text = cqctl_argument(ctl, i);
		const char *equals = strchr(text, '=');
		char *path;
		json_t *value;
		bool ok;

		if (!equals) {
			cqctl_error(ctl, "\"%s\" is not FIELD=VALUE", text);
			return CQCTL_USAGE;
		}
		path = g_strndup(text, (gsize)(equals - text));
		value = json_loads(equals + 1, JSON_DECODE_ANY, NULL);
		/* A value that is not JSON is taken as a string: state=out. */
		if (!value)
			value = json_string(equals + 1);
		ok = value && set_field(wanted, path, value);
		g_free(path);
		if (!ok) {
			cqctl_error(ctl, "\"%s\" does not name a field", text);
			return CQCTL_USAGE;
		}
	}
	return CQCTL_OK;
}

int cqctl_edit_settings(const struct cqctl *ctl,
			const struct cqctl_subtree *current, json_t **wanted)
{
	const char *file = cqctl_option_get(ctl, "file");
	const char *value = cqctl_option_get(ctl, "value");
	bool remove = cqctl_option_get(ctl, "remove") != NULL;
	bool fields = ctl->arguments->len > 1;
	char *text;
	int result;

	*wanted = NULL;
	if (!!file + !!value + remove + fields != 1) {
		cqctl_error(ctl, "give exactly one of --file, --value, "
				 "--remove or FIELD=VALUE");
		cqctl_hint(ctl, "see cqctl settings %s --help",
			   ctl->command->name);
		return CQCTL_USAGE;
	}
	if (remove)
		return CQCTL_OK;
	if (value)
		return parse_document(ctl, value, "--value", wanted);
	if (file) {
		text = cqctl_read_file(ctl, file);
		if (!text)
			return CQCTL_USAGE;
		result = parse_document(ctl, text, file, wanted);
		g_free(text);
		return result;
	}
	*wanted = current->settings ? json_deep_copy(current->settings)
				    : json_object();
	result = apply_fields(ctl, *wanted);
	if (result != CQCTL_OK)
		g_clear_pointer(wanted, json_decref);
	return result;
}
