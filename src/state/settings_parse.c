#include "state/settings_parse.h"

#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define DATA_CENTRES "data-centres/"
#define WORKSPACES "workspaces/"
/* Bound on the part of an invalid value that an error message quotes */
#define MAX_SHOWN_VALUE_BYTES 48

struct member_source {
	const char *key; /* key of the subtree */
	/* Position in the subtree, "" or "guarantees[1].". */
	const char *path;
	const json_t *object;
};

static bool is_name(const char *text);
static bool set_invalid_member(const struct member_source *src,
			       const char *name, const json_t *value,
			       struct cq_error *err, const char *allowed_fmt,
			       ...) __attribute__((format(printf, 5, 6)));
static bool check_member_names(const struct member_source *src,
			       const char *const *names, struct cq_error *err);
static bool read_integer(const struct member_source *src, const char *name,
			 int64_t min, int64_t max, int64_t *out,
			 struct cq_error *err);
static bool read_number(const struct member_source *src, const char *name,
			double min, double max, double *out,
			struct cq_error *err);
static bool read_name(const struct member_source *src, const char *name,
		      char *out, struct cq_error *err);
static bool read_choice(const struct member_source *src, const char *name,
			const char *const *choices, int32_t *out,
			struct cq_error *err);
static bool read_array(const struct member_source *src, const char *name,
		       size_t max, const json_t **out, struct cq_error *err);
static bool parse_classes(const char *key, const json_t *list,
			  struct cq_settings_global *out, struct cq_error *err);
static bool parse_objectives(const char *key, const json_t *list,
			     struct cq_settings_global *out,
			     struct cq_error *err);
static bool parse_global(const char *key, const json_t *settings,
			 struct cq_settings_global *out, struct cq_error *err);
static bool parse_data_centre(const char *key, const json_t *settings,
			      struct cq_settings_data_centre *out,
			      struct cq_error *err);
static bool parse_guarantees(const char *key, const json_t *list,
			     struct cq_settings_workspace *out,
			     struct cq_error *err);
static bool parse_workspace(const char *key, const json_t *settings,
			    struct cq_settings_workspace *out,
			    struct cq_error *err);

static const char *const adjacency_strings[] = {
	[CQ_SETTINGS_WORKER] = "worker",
	[CQ_SETTINGS_RACK] = "rack",
	[CQ_SETTINGS_DATA_CENTRE] = "data_centre",
	NULL,
};

static const char *const dc_state_strings[] = {
	[CQ_SETTINGS_DC_IN] = "in",
	[CQ_SETTINGS_DC_OUT] = "out",
	NULL,
};

const char *cq_settings_adjacency_string(enum cq_settings_adjacency adjacency)
{
	if ((unsigned)adjacency > CQ_SETTINGS_DATA_CENTRE)
		return "?";
	return adjacency_strings[adjacency];
}

const char *cq_settings_dc_state_string(enum cq_settings_dc_state state)
{
	if ((unsigned)state > CQ_SETTINGS_DC_OUT)
		return "?";
	return dc_state_strings[state];
}

static bool is_name(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len < CQ_SETTINGS_NAME_BYTES &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-_") == len &&
	       text[0] != '-' && text[0] != '_';
}

bool cq_settings_key_parse(const char *key, enum cq_settings_kind *kind,
			   const char **name, struct cq_error *err)
{
	if (!strcmp(key, "global")) {
		*kind = CQ_SETTINGS_KIND_GLOBAL;
		*name = "";
		return true;
	}
	if (!strncmp(key, DATA_CENTRES, strlen(DATA_CENTRES))) {
		*kind = CQ_SETTINGS_KIND_DATA_CENTRE;
		*name = key + strlen(DATA_CENTRES);
	} else if (!strncmp(key, WORKSPACES, strlen(WORKSPACES))) {
		*kind = CQ_SETTINGS_KIND_WORKSPACE;
		*name = key + strlen(WORKSPACES);
	} else {
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "key %.*s is not known, allowed: global, "
				    "data-centres/NAME, workspaces/NAME",
				    MAX_SHOWN_VALUE_BYTES, key);
	}
	if (!is_name(*name))
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "key %.*s has a bad name, allowed: 1 to %d "
				    "of a-z, 0-9, - and _, first a-z or 0-9",
				    MAX_SHOWN_VALUE_BYTES, key,
				    CQ_SETTINGS_NAME_BYTES - 1);
	return true;
}

bool cq_settings_key_check(const char *key, struct cq_error *err)
{
	enum cq_settings_kind kind = CQ_SETTINGS_KIND_GLOBAL;
	const char *name;

	return cq_settings_key_parse(key, &kind, &name, err);
}

/* Sets err for a value that is not allowed. Always returns false. */
static bool set_invalid_member(const struct member_source *src,
			       const char *name, const json_t *value,
			       struct cq_error *err, const char *allowed_fmt,
			       ...)
{
	char allowed[CQ_ERROR_MESSAGE_BYTES / 2];
	char *shown;
	va_list args;

	va_start(args, allowed_fmt);
	vsnprintf(allowed, sizeof(allowed), allowed_fmt, args);
	va_end(args);
	shown = value ? json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT)
		      : NULL;
	cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
		     "%s: %s%s is %.*s, allowed: %s", src->key, src->path, name,
		     MAX_SHOWN_VALUE_BYTES, shown ? shown : "missing", allowed);
	free(shown);
	return false;
}

static bool check_member_names(const struct member_source *src,
			       const char *const *names, struct cq_error *err)
{
	const char *name;
	json_t *value;

	if (!json_is_object(src->object))
		return set_invalid_member(src, "value", src->object, err,
					  "an object");
	json_object_foreach((json_t *)src->object, name, value)
	{
		char list[CQ_ERROR_MESSAGE_BYTES / 2] = "";
		const char *const *n = names;

		while (*n && strcmp(*n, name) != 0)
			n++;
		if (*n)
			continue;
		for (n = names; *n; n++) {
			size_t len = strlen(list);

			snprintf(list + len, sizeof(list) - len, "%s%s",
				 n == names ? "" : ", ", *n);
		}
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "%s: %s%.*s is not known, allowed: %s",
				    src->key, src->path, MAX_SHOWN_VALUE_BYTES,
				    name, list);
	}
	return true;
}

/* Leaves *out unchanged if the member is absent. */
static bool read_integer(const struct member_source *src, const char *name,
			 int64_t min, int64_t max, int64_t *out,
			 struct cq_error *err)
{
	const json_t *value = json_object_get(src->object, name);

	if (!value)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < min ||
	    json_integer_value(value) > max)
		return set_invalid_member(src, name, value, err,
					  "integer %lld to %lld",
					  (long long)min, (long long)max);
	*out = json_integer_value(value);
	return true;
}

static bool read_number(const struct member_source *src, const char *name,
			double min, double max, double *out,
			struct cq_error *err)
{
	const json_t *value = json_object_get(src->object, name);

	if (!value)
		return true;
	if (!json_is_number(value) || json_number_value(value) < min ||
	    json_number_value(value) > max)
		return set_invalid_member(src, name, value, err,
					  "number %g to %g", min, max);
	*out = json_number_value(value);
	return true;
}

/* Reads a required name. */
static bool read_name(const struct member_source *src, const char *name,
		      char *out, struct cq_error *err)
{
	const json_t *value = json_object_get(src->object, name);

	if (!json_is_string(value) || !is_name(json_string_value(value)))
		return set_invalid_member(src, name, value, err,
					  "1 to %d of a-z, 0-9, - and _",
					  CQ_SETTINGS_NAME_BYTES - 1);
	g_strlcpy(out, json_string_value(value), CQ_SETTINGS_NAME_BYTES);
	return true;
}

static bool read_choice(const struct member_source *src, const char *name,
			const char *const *choices, int32_t *out,
			struct cq_error *err)
{
	const json_t *value = json_object_get(src->object, name);
	char list[CQ_ERROR_MESSAGE_BYTES / 2] = "";
	int32_t i;

	for (i = 0; choices[i]; i++) {
		size_t len = strlen(list);

		if (json_is_string(value) &&
		    !strcmp(json_string_value(value), choices[i])) {
			*out = i;
			return true;
		}
		snprintf(list + len, sizeof(list) - len, "%s%s", i ? ", " : "",
			 choices[i]);
	}
	return set_invalid_member(src, name, value, err, "%s", list);
}

static bool read_array(const struct member_source *src, const char *name,
		       size_t max, const json_t **out, struct cq_error *err)
{
	const json_t *value = json_object_get(src->object, name);

	*out = value;
	if (!value)
		return true;
	if (!json_is_array(value) || json_array_size(value) > max)
		return set_invalid_member(src, name, value, err,
					  "array of 0 to %zu", max);
	return true;
}

void cq_settings_global_defaults(struct cq_settings_global *global)
{
	memset(global, 0, sizeof(*global));
	g_strlcpy(global->classes[0].name, "default", CQ_SETTINGS_NAME_BYTES);
	global->classes[0].weight = 1;
	global->class_count = 1;
	global->fragmentation_weight = 0.5;
}

static bool parse_classes(const char *key, const json_t *list,
			  struct cq_settings_global *out, struct cq_error *err)
{
	static const char *const names[] = { "name", "rank", "weight", NULL };
	size_t i, k;

	out->class_count = 0;
	for (i = 0; i < json_array_size(list); i++) {
		struct cq_settings_class parsed = { .weight = 1 };
		int64_t rank = (int64_t)i, weight = 1;
		char path[48];
		struct member_source src = { key, path,
					     json_array_get(list, i) };

		snprintf(path, sizeof(path), "classes[%zu].", i);
		if (!check_member_names(&src, names, err) ||
		    !read_name(&src, "name", parsed.name, err) ||
		    !read_integer(&src, "rank", 0, CQ_SETTINGS_MAX_CLASSES - 1,
				  &rank, err) ||
		    !read_integer(&src, "weight", 1, 1000, &weight, err))
			return false;
		parsed.rank = (int32_t)rank;
		parsed.weight = (int32_t)weight;
		for (k = 0; k < (size_t)out->class_count; k++) {
			const struct cq_settings_class *other =
				&out->classes[k];

			if (!strcmp(other->name, parsed.name) ||
			    other->rank == parsed.rank)
				return set_invalid_member(
					&src, "", src.object, err,
					"name and rank not used by "
					"another class (%s, %d)",
					other->name, other->rank);
		}
		for (k = (size_t)out->class_count;
		     k > 0 && out->classes[k - 1].rank > parsed.rank; k--)
			out->classes[k] = out->classes[k - 1];
		out->classes[k] = parsed;
		out->class_count++;
	}
	return true;
}

static bool parse_objectives(const char *key, const json_t *list,
			     struct cq_settings_global *out,
			     struct cq_error *err)
{
	static const char *const names[] = { "name",	   "class",
					     "percentile", "target_ms",
					     "window_s",   NULL };
	size_t i;
	int32_t k;

	for (i = 0; i < json_array_size(list); i++) {
		struct cq_settings_objective *objective =
			&out->objectives[out->objective_count];
		char path[48];
		struct member_source src = { key, path,
					     json_array_get(list, i) };

		snprintf(path, sizeof(path), "objectives[%zu].", i);
		objective->percentile = 99;
		objective->target_ms = 0;
		objective->window_s = 3600;
		if (!check_member_names(&src, names, err) ||
		    !read_name(&src, "name", objective->name, err) ||
		    !read_name(&src, "class", objective->class_name, err) ||
		    !read_number(&src, "percentile", 1, 100,
				 &objective->percentile, err) ||
		    !read_integer(&src, "target_ms", 1, 604800000,
				  &objective->target_ms, err) ||
		    !read_integer(&src, "window_s", 60, 2592000,
				  &objective->window_s, err))
			return false;
		if (!objective->target_ms)
			return set_invalid_member(&src, "target_ms", NULL, err,
						  "integer 1 to 604800000");
		for (k = 0; k < out->class_count; k++)
			if (!strcmp(out->classes[k].name,
				    objective->class_name))
				break;
		if (k == out->class_count)
			return set_invalid_member(&src, "class",
						  json_object_get(src.object,
								  "class"),
						  err, "the name of a class");
		out->objective_count++;
	}
	return true;
}

static bool parse_global(const char *key, const json_t *settings,
			 struct cq_settings_global *out, struct cq_error *err)
{
	static const char *const names[] = { "classes", "objectives",
					     "fragmentation_weight", NULL };
	struct member_source src = { key, "", settings };
	const json_t *classes, *objectives;

	cq_settings_global_defaults(out);
	if (!check_member_names(&src, names, err) ||
	    !read_array(&src, "classes", CQ_SETTINGS_MAX_CLASSES, &classes,
			err) ||
	    !read_array(&src, "objectives", CQ_SETTINGS_MAX_OBJECTIVES,
			&objectives, err) ||
	    !read_number(&src, "fragmentation_weight", 0, 1,
			 &out->fragmentation_weight, err))
		return false;
	if (classes && json_array_size(classes) == 0)
		return set_invalid_member(&src, "classes", classes, err,
					  "array of 1 to %d",
					  CQ_SETTINGS_MAX_CLASSES);
	if (classes && !parse_classes(key, classes, out, err))
		return false;
	return parse_objectives(key, objectives, out, err);
}

static bool parse_data_centre(const char *key, const json_t *settings,
			      struct cq_settings_data_centre *out,
			      struct cq_error *err)
{
	static const char *const names[] = { "state", "notice_s", "entry_hosts",
					     NULL };
	struct member_source src = { key, "", settings };
	int32_t state = 0;

	memset(out, 0, sizeof(*out));
	g_strlcpy(out->name, key + strlen(DATA_CENTRES),
		  CQ_SETTINGS_NAME_BYTES);
	out->notice_s = 300;
	out->entry_hosts = 1;
	if (!check_member_names(&src, names, err) ||
	    !read_choice(&src, "state", dc_state_strings, &state, err) ||
	    !read_integer(&src, "notice_s", 0, 86400, &out->notice_s, err) ||
	    !read_integer(&src, "entry_hosts", 1, CQ_SETTINGS_MAX_ENTRY_HOSTS,
			  &out->entry_hosts, err))
		return false;
	out->state = (enum cq_settings_dc_state)state;
	return true;
}

static bool parse_guarantees(const char *key, const json_t *list,
			     struct cq_settings_workspace *out,
			     struct cq_error *err)
{
	static const char *const names[] = { "count", "accelerators",
					     "adjacency", NULL };
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		struct cq_settings_guarantee *guarantee = &out->guarantees[i];
		char path[48];
		struct member_source src = { key, path,
					     json_array_get(list, i) };
		int32_t adjacency = 0;

		snprintf(path, sizeof(path), "guarantees[%zu].", i);
		if (!check_member_names(&src, names, err) ||
		    !read_integer(&src, "count", 1, 100000, &guarantee->count,
				  err) ||
		    !read_integer(&src, "accelerators", 1, 4096,
				  &guarantee->accelerators, err) ||
		    !read_choice(&src, "adjacency", adjacency_strings,
				 &adjacency, err))
			return false;
		if (!guarantee->count)
			return set_invalid_member(&src, "count", NULL, err,
						  "integer 1 to 100000");
		if (!guarantee->accelerators)
			return set_invalid_member(&src, "accelerators", NULL,
						  err, "integer 1 to 4096");
		guarantee->adjacency = (enum cq_settings_adjacency)adjacency;
		out->guarantee_count++;
	}
	return true;
}

static bool parse_workspace(const char *key, const json_t *settings,
			    struct cq_settings_workspace *out,
			    struct cq_error *err)
{
	static const char *const names[] = { "weight", "guarantees", "limits",
					     NULL };
	static const char *const limit_names[] = { "max_accelerators",
						   "max_running_jobs",
						   "max_waiting_jobs",
						   "max_open_requests", NULL };
	struct member_source src = { key, "", settings };
	struct member_source limits = { key, "limits.", NULL };
	const json_t *guarantees;
	int64_t weight = 1;

	memset(out, 0, sizeof(*out));
	g_strlcpy(out->name, key + strlen(WORKSPACES), CQ_SETTINGS_NAME_BYTES);
	if (!check_member_names(&src, names, err) ||
	    !read_integer(&src, "weight", 1, 1000, &weight, err) ||
	    !read_array(&src, "guarantees", CQ_SETTINGS_MAX_GUARANTEES,
			&guarantees, err) ||
	    !parse_guarantees(key, guarantees, out, err))
		return false;
	out->weight = (int32_t)weight;
	limits.object = json_object_get(settings, "limits");
	if (!limits.object)
		return true;
	return check_member_names(&limits, limit_names, err) &&
	       read_integer(&limits, "max_accelerators", 0, 1000000,
			    &out->limits.max_accelerators, err) &&
	       read_integer(&limits, "max_running_jobs", 0, 1000000,
			    &out->limits.max_running_jobs, err) &&
	       read_integer(&limits, "max_waiting_jobs", 0, 1000000,
			    &out->limits.max_waiting_jobs, err) &&
	       read_integer(&limits, "max_open_requests", 0, 1000000,
			    &out->limits.max_open_requests, err);
}

bool cq_settings_parse(const char *key, const json_t *settings,
		       union cq_settings_typed *out, struct cq_error *err)
{
	enum cq_settings_kind kind = CQ_SETTINGS_KIND_GLOBAL;
	const char *name;

	if (!cq_settings_key_parse(key, &kind, &name, err))
		return false;
	if (kind == CQ_SETTINGS_KIND_GLOBAL)
		return parse_global(key, settings, &out->global, err);
	if (kind == CQ_SETTINGS_KIND_DATA_CENTRE)
		return parse_data_centre(key, settings, &out->data_centre, err);
	return parse_workspace(key, settings, &out->workspace, err);
}
