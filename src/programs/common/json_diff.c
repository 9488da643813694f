#include "programs/common/json_diff.h"

#include <glib.h>
#include <string.h>

static void add_change(json_t *out, const char *path, const json_t *before,
		       const json_t *after);
static void compare(json_t *out, const char *path, const json_t *before,
		    const json_t *after);
static void compare_objects(json_t *out, const char *path, const json_t *before,
			    const json_t *after);
static void compare_arrays(json_t *out, const char *path, const json_t *before,
			   const json_t *after);
static gint compare_names(gconstpointer a, gconstpointer b);

static void add_change(json_t *out, const char *path, const json_t *before,
		       const json_t *after)
{
	json_t *change = json_pack("{s:s}", "path", path);

	if (before)
		json_object_set_new(change, "before", json_deep_copy(before));
	if (after)
		json_object_set_new(change, "after", json_deep_copy(after));
	json_array_append_new(out, change);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void compare_objects(json_t *out, const char *path, const json_t *before,
			    const json_t *after)
{
	json_t *all = json_object();
	GPtrArray *names = g_ptr_array_new();
	const char *name;
	json_t *value;
	guint i;

	json_object_update(all, (json_t *)before);
	json_object_update(all, (json_t *)after);
	json_object_foreach(all, name, value)
		g_ptr_array_add(names, (gpointer)name);
	g_ptr_array_sort(names, compare_names);
	for (i = 0; i < names->len; i++) {
		char *child_path;

		name = names->pdata[i];
		child_path = *path ? g_strdup_printf("%s.%s", path, name)
				   : g_strdup(name);
		compare(out, child_path, json_object_get(before, name),
			json_object_get(after, name));
		g_free(child_path);
	}
	g_ptr_array_free(names, TRUE);
	json_decref(all);
}

static void compare_arrays(json_t *out, const char *path, const json_t *before,
			   const json_t *after)
{
	size_t len = MAX(json_array_size(before), json_array_size(after));
	size_t i;

	for (i = 0; i < len; i++) {
		char *child_path = g_strdup_printf("%s[%zu]", path, i);

		compare(out, child_path, json_array_get(before, i),
			json_array_get(after, i));
		g_free(child_path);
	}
}

static void compare(json_t *out, const char *path, const json_t *before,
		    const json_t *after)
{
	if (json_is_object(before) && json_is_object(after))
		compare_objects(out, path, before, after);
	else if (json_is_array(before) && json_is_array(after))
		compare_arrays(out, path, before, after);
	else if (!before || !after ||
		 !json_equal((json_t *)before, (json_t *)after))
		add_change(out, path, before, after);
}

json_t *cq_json_diff(const json_t *before, const json_t *after)
{
	json_t *out = json_array();

	if (before || after)
		compare(out, "", before, after);
	return out;
}
