/* Implements cqctl settings get, set, diff, check and history. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "programs/common/json_diff.h"
#include "programs/cqctl/call.h"
#include "programs/cqctl/edit.h"
#include "programs/cqctl/in_force.h"
#include "programs/cqctl/output.h"

static int list_subtrees(struct cqctl *ctl);
static int run_get(struct cqctl *ctl);
static int run_set(struct cqctl *ctl);
static int run_diff(struct cqctl *ctl);
static int run_check(struct cqctl *ctl);
static int run_history(struct cqctl *ctl);
static bool read_revision(const struct cqctl *ctl, int64_t *revision);
static void print_changes(const struct cqctl *ctl, const json_t *changes);
static void print_check(const struct cqctl *ctl, const char *key,
			const json_t *body);

#define EDIT_OPTIONS                                                       \
	{ "file", "FILE", "new settings object; - reads standard input" }, \
		{ "value", "JSON", "new settings object" },                \
	{                                                                  \
		"remove", NULL, "remove the subtree"                       \
	}

static const struct cqctl_option set_options[] = {
	EDIT_OPTIONS,
	{ "revision", "R",
	  "change it only if it is at this revision (default: the one read "
	  "just before; 0: only if it does not exist)" },
	{ "no-wait", NULL, "return when accepted, not when in force" },
	{ NULL, NULL, NULL },
};

static const struct cqctl_option edit_options[] = {
	EDIT_OPTIONS,
	{ NULL, NULL, NULL },
};

const struct cqctl_command cqctl_settings_commands[] = {
	{ "settings", "get", "[KEY]", "Shows a subtree, or lists all of them.",
	  NULL, 0, 1, run_get },
	{ "settings", "set", "KEY [FIELD=VALUE]...",
	  "Changes a subtree and waits until it is in force everywhere.",
	  set_options, 1, 64, run_set },
	{ "settings", "diff", "KEY [FIELD=VALUE]...",
	  "Compares a subtree in force with a new one.", edit_options, 1, 64,
	  run_diff },
	{ "settings", "check", "KEY [FIELD=VALUE]...",
	  "Shows what a change would do to guarantees; changes nothing.",
	  edit_options, 1, 64, run_check },
	{ "settings", "history", "[KEY]",
	  "Lists the last changes that the daemon has seen.", NULL, 0, 1,
	  run_history },
	{ NULL, NULL, NULL, NULL, NULL, 0, 0, NULL },
};

static int list_subtrees(struct cqctl *ctl)
{
	static const struct cqctl_column columns[] = {
		{ "KEY", "key", CQCTL_COLUMN_TEXT },
		{ "REVISION", "revision", CQCTL_COLUMN_NUMBER },
		{ "WRITER", "writer", CQCTL_COLUMN_TEXT },
	};
	struct cqctl_response response;
	int result;

	cqctl_call(ctl, "GET", "/v1/settings", NULL, &response);
	result = cqctl_response_check(ctl, &response, "read the settings");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			cqctl_print_table(
				ctl, json_object_get(response.body, "settings"),
				columns, G_N_ELEMENTS(columns));
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	return result;
}

static int run_get(struct cqctl *ctl)
{
	const char *key = cqctl_argument(ctl, 0);
	struct cqctl_subtree subtree;
	int result;

	if (!key)
		return list_subtrees(ctl);
	result = cqctl_subtree_read(ctl, key, &subtree);
	if (result == CQCTL_OK && !subtree.body) {
		cqctl_error(ctl, "there is no subtree %s", key);
		cqctl_hint(ctl, "cqctl settings get lists what exists");
		result = CQCTL_NOT_FOUND;
	} else if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_TABLE)
			printf("%s at revision %" PRId64 "\n", key,
			       subtree.revision);
		cqctl_print_json(ctl->format == CQCTL_JSON ? subtree.body
							   : subtree.settings);
		result = cqctl_check_freshness(ctl, subtree.body);
	}
	cqctl_subtree_clear(&subtree);
	return result;
}

static bool read_revision(const struct cqctl *ctl, int64_t *revision)
{
	const char *text = cqctl_option_get(ctl, "revision");
	char *end;

	if (!text)
		return true;
	*revision = strtoll(text, &end, 10);
	if (end != text && !*end && *revision >= 0)
		return true;
	cqctl_error(ctl, "--revision: \"%s\" is not an integer of 0 or more",
		    text);
	return false;
}

static int run_set(struct cqctl *ctl)
{
	const char *key = cqctl_argument(ctl, 0);
	struct cqctl_subtree subtree;
	json_t *wanted = NULL;
	int64_t revision;
	int result = cqctl_subtree_read(ctl, key, &subtree);

	if (result != CQCTL_OK)
		return result;
	revision = subtree.revision;
	result = read_revision(ctl, &revision)
			 ? cqctl_edit_settings(ctl, &subtree, &wanted)
			 : CQCTL_USAGE;
	if (result == CQCTL_OK)
		result = cqctl_write_settings(ctl, key, wanted, revision);
	json_decref(wanted);
	cqctl_subtree_clear(&subtree);
	return result;
}

static void print_changes(const struct cqctl *ctl, const json_t *changes)
{
	json_t *change;
	size_t i;

	json_array_foreach(changes, i, change)
	{
		json_t *before = json_object_get(change, "before");
		json_t *after = json_object_get(change, "after");
		char *old =
			json_dumps(before, JSON_ENCODE_ANY | JSON_SORT_KEYS);
		char *new = json_dumps(after, JSON_ENCODE_ANY | JSON_SORT_KEYS);
		const char *path =
			json_string_value(json_object_get(change, "path"));

		if (!*path)
			path = "the whole subtree";
		if (before)
			printf("%s- %s: %s%s\n",
			       cqctl_colour_on(ctl, CQCTL_RED), path, old,
			       cqctl_colour_off(ctl));
		if (after)
			printf("%s+ %s: %s%s\n",
			       cqctl_colour_on(ctl, CQCTL_GREEN), path, new,
			       cqctl_colour_off(ctl));
		free(old);
		free(new);
	}
}

static int run_diff(struct cqctl *ctl)
{
	struct cqctl_subtree subtree;
	json_t *wanted = NULL;
	json_t *changes;
	int result = cqctl_subtree_read(ctl, cqctl_argument(ctl, 0), &subtree);

	if (result != CQCTL_OK)
		return result;
	result = cqctl_edit_settings(ctl, &subtree, &wanted);
	if (result == CQCTL_OK) {
		changes = cq_json_diff(subtree.settings, wanted);
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(changes);
		else if (!json_array_size(changes))
			puts("no difference");
		else
			print_changes(ctl, changes);
		json_decref(changes);
	}
	json_decref(wanted);
	cqctl_subtree_clear(&subtree);
	return result;
}

static void print_check(const struct cqctl *ctl, const char *key,
			const json_t *body)
{
	bool valid = json_is_true(json_object_get(body, "valid"));
	json_t *effects = json_object_get(body, "effects");
	json_t *effect;
	size_t i;

	printf("%s%s: the change %s%s\n",
	       cqctl_colour_on(ctl, valid ? CQCTL_GREEN : CQCTL_RED), key,
	       valid ? "would be accepted" : "would be refused",
	       cqctl_colour_off(ctl));
	if (!valid)
		printf("  %s\n",
		       json_string_value(json_object_get(body, "message")));
	print_changes(ctl, json_object_get(body, "changes"));
	json_array_foreach(effects, i, effect)
		printf("  %s\n", json_string_value(effect));
	if (!json_is_true(json_object_get(body, "capacity_checked")))
		puts("  this daemon does not know the workers; guarantees "
		     "were not compared with capacity");
}

static int run_check(struct cqctl *ctl)
{
	const char *key = cqctl_argument(ctl, 0);
	struct cqctl_subtree subtree;
	struct cqctl_response response;
	json_t *wanted = NULL;
	char *encoded;
	char *path;
	char *body;
	int result = cqctl_subtree_read(ctl, key, &subtree);

	if (result != CQCTL_OK)
		return result;
	result = cqctl_edit_settings(ctl, &subtree, &wanted);
	cqctl_subtree_clear(&subtree);
	if (result != CQCTL_OK)
		return result;
	encoded = cqctl_encode(key, true);
	path = g_strdup_printf("/v1/settings-check/%s%s", encoded,
			       wanted ? "" : "?remove=1");
	body = json_dumps(wanted, JSON_COMPACT);
	cqctl_call(ctl, "POST", path, body ? body : "", &response);
	result = cqctl_response_check(ctl, &response, "check the change");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			print_check(ctl, key, response.body);
		if (!json_is_true(json_object_get(response.body, "valid")))
			result = CQCTL_FAILED;
	}
	cqctl_response_clear(&response);
	json_decref(wanted);
	free(body);
	g_free(path);
	g_free(encoded);
	return result;
}

static int run_history(struct cqctl *ctl)
{
	static const struct cqctl_column columns[] = {
		{ "TIME", "unix_ms", CQCTL_COLUMN_UNIX_MS },
		{ "KEY", "key", CQCTL_COLUMN_TEXT },
		{ "REVISION", "revision", CQCTL_COLUMN_NUMBER },
		{ "WRITER", "writer", CQCTL_COLUMN_TEXT },
		{ "CHANGE", "change", CQCTL_COLUMN_TEXT },
		{ "FAULT", "fault", CQCTL_COLUMN_TEXT },
	};
	const char *key = cqctl_argument(ctl, 0);
	char *encoded = key ? cqctl_encode(key, false) : NULL;
	char *path = g_strdup_printf("/v1/settings-history%s%s",
				     key ? "?key=" : "", key ? encoded : "");
	struct cqctl_response response;
	int result;

	cqctl_call(ctl, "GET", path, NULL, &response);
	result = cqctl_response_check(ctl, &response, "read the history");
	if (result == CQCTL_OK) {
		if (ctl->format == CQCTL_JSON)
			cqctl_print_json(response.body);
		else
			cqctl_print_table(
				ctl, json_object_get(response.body, "entries"),
				columns, G_N_ELEMENTS(columns));
		result = cqctl_check_freshness(ctl, response.body);
	}
	cqctl_response_clear(&response);
	g_free(path);
	g_free(encoded);
	return result;
}
