#include "chestnutquay/run_history.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct entry {
	char *workspace;
	char *class_name;
	uint32_t count;
	struct cq_ended_run ends[CQ_RUN_HISTORY_MAX_RUNS]; /* oldest first */
};

struct cq_run_history {
	GHashTable *entries; /* "workspace\nclass" -> struct entry */
};

static void free_entry(gpointer data);
static int compare_ends(const struct cq_ended_run *a,
			const struct cq_ended_run *b);
static gint newest_first(gconstpointer a, gconstpointer b);
static void append_name(GString *text, const char *name);
static void append_entry(GString *text, const struct entry *entry);
static bool check_entry(const json_t *item, struct cq_error *err);

static void free_entry(gpointer data)
{
	struct entry *entry = data;

	g_free(entry->workspace);
	g_free(entry->class_name);
	g_free(entry);
}

struct cq_run_history *cq_run_history_create(void)
{
	struct cq_run_history *history = g_new0(struct cq_run_history, 1);

	history->entries = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_entry);
	return history;
}

void cq_run_history_destroy(struct cq_run_history *history)
{
	if (!history)
		return;
	g_hash_table_destroy(history->entries);
	g_free(history);
}

/* A total order, so that a merge does not depend on the order of the ends. */
static int compare_ends(const struct cq_ended_run *a,
			const struct cq_ended_run *b)
{
	if (a->ended_unix_ms != b->ended_unix_ms)
		return a->ended_unix_ms < b->ended_unix_ms ? -1 : 1;
	if (a->run_ms != b->run_ms)
		return a->run_ms < b->run_ms ? -1 : 1;
	return (a->declared_ms > b->declared_ms) -
	       (a->declared_ms < b->declared_ms);
}

bool cq_run_history_add(struct cq_run_history *history, const char *workspace,
			const char *class_name, const struct cq_ended_run *end)
{
	char *key = g_strconcat(workspace, "\n", class_name, NULL);
	struct entry *entry = g_hash_table_lookup(history->entries, key);
	uint32_t at;

	if (!entry) {
		entry = g_new0(struct entry, 1);
		entry->workspace = g_strdup(workspace);
		entry->class_name = g_strdup(class_name);
		g_hash_table_insert(history->entries, key, entry);
	} else {
		g_free(key);
	}
	for (at = 0; at < entry->count; at++) {
		int order = compare_ends(&entry->ends[at], end);

		if (!order)
			return false;
		if (order > 0)
			break;
	}
	if (entry->count == CQ_RUN_HISTORY_MAX_RUNS) {
		if (!at)
			return false;
		at--;
		memmove(&entry->ends[0], &entry->ends[1],
			at * sizeof(entry->ends[0]));
	} else {
		memmove(&entry->ends[at + 1], &entry->ends[at],
			(entry->count - at) * sizeof(entry->ends[0]));
		entry->count++;
	}
	entry->ends[at] = *end;
	return true;
}

/* ["workspace","class",[[ended_unix_ms,declared_ms,run_ms],...]] */
static bool check_entry(const json_t *item, struct cq_error *err)
{
	const json_t *ends = json_array_get(item, 2);
	size_t i, k;

	if (!json_is_string(json_array_get(item, 0)) ||
	    !json_is_string(json_array_get(item, 1)) || !json_is_array(ends))
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "run history: an entry is not "
				    "[workspace, class, ends]");
	for (i = 0; i < json_array_size(ends); i++) {
		const json_t *end = json_array_get(ends, i);

		for (k = 0; k < 3; k++)
			if (!json_is_integer(json_array_get(end, k)))
				return cq_error_set(
					err, CQ_ERROR_STATE, CQ_ERR_INVALID,
					"run history: an end is not [ended, "
					"declared, run]");
		if (json_integer_value(json_array_get(end, 2)) < 0)
			return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
					    "run history: a run time is less "
					    "than 0");
	}
	return true;
}

bool cq_run_history_merge(struct cq_run_history *history, const char *json,
			  size_t len, cq_run_history_fn *added, void *ctx,
			  char **writer, uint64_t *sequence,
			  struct cq_error *err)
{
	json_error_t fault;
	json_t *root = json_loadb(json, len, 0, &fault);
	const json_t *runs = json_object_get(root, "runs");
	const char *by = json_string_value(json_object_get(root, "writer"));
	size_t i, k;
	bool ok = true;

	if (!json_is_array(runs) || !by)
		ok = cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				  "run history: no runs or no writer%s%s",
				  root ? "" : ": ", root ? "" : fault.text);
	for (i = 0; ok && i < json_array_size(runs); i++)
		ok = check_entry(json_array_get(runs, i), err);
	for (i = 0; ok && i < json_array_size(runs); i++) {
		const json_t *item = json_array_get(runs, i);
		const char *names[2] = {
			json_string_value(json_array_get(item, 0)),
			json_string_value(json_array_get(item, 1)),
		};
		const json_t *ends = json_array_get(item, 2);

		for (k = 0; k < json_array_size(ends); k++) {
			const json_t *in = json_array_get(ends, k);
			struct cq_ended_run end = {
				json_integer_value(json_array_get(in, 0)),
				json_integer_value(json_array_get(in, 1)),
				json_integer_value(json_array_get(in, 2)),
			};

			if (cq_run_history_add(history, names[0], names[1],
					       &end) &&
			    added)
				added(ctx, names[0], names[1], &end);
		}
	}
	if (ok && writer)
		*writer = g_strdup(by);
	if (ok && sequence)
		*sequence = (uint64_t)json_integer_value(
			json_object_get(root, "sequence"));
	json_decref(root);
	return ok;
}

static gint newest_first(gconstpointer a, gconstpointer b)
{
	const struct entry *left = *(struct entry *const *)a;
	const struct entry *right = *(struct entry *const *)b;
	int order = compare_ends(&right->ends[right->count - 1],
				 &left->ends[left->count - 1]);

	if (!order)
		order = strcmp(left->workspace, right->workspace);
	return order ? order : strcmp(left->class_name, right->class_name);
}

static void append_name(GString *text, const char *name)
{
	json_t *string = json_string(name);
	char *encoded = string ? json_dumps(string, JSON_ENCODE_ANY) : NULL;

	g_string_append(text, encoded ? encoded : "\"\"");
	free(encoded);
	json_decref(string);
}

static void append_entry(GString *text, const struct entry *entry)
{
	uint32_t i;

	g_string_append_c(text, '[');
	append_name(text, entry->workspace);
	g_string_append_c(text, ',');
	append_name(text, entry->class_name);
	for (i = 0; i < entry->count; i++)
		g_string_append_printf(
			text,
			"%s[%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
			",%" G_GINT64_FORMAT "]",
			i ? "," : ",[", entry->ends[i].ended_unix_ms,
			entry->ends[i].declared_ms, entry->ends[i].run_ms);
	g_string_append(text, "]]");
}

/*
 * Written as text, because a tree of 60,000 numbers would hold up the loop
 * for 40 ms at the target size.
 */
char *cq_run_history_format(const struct cq_run_history *history,
			    const char *writer, uint64_t sequence,
			    size_t max_bytes)
{
	GPtrArray *sorted = g_ptr_array_new();
	GString *text = g_string_new("{\"writer\":");
	GHashTableIter iter;
	gpointer entry;
	guint i;

	append_name(text, writer);
	g_string_append_printf(text,
			       ",\"sequence\":%" G_GUINT64_FORMAT ",\"runs\":[",
			       sequence);
	g_hash_table_iter_init(&iter, history->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		g_ptr_array_add(sorted, entry);
	g_ptr_array_sort(sorted, newest_first);
	for (i = 0; i < sorted->len; i++) {
		gsize before = text->len;

		if (i)
			g_string_append_c(text, ',');
		append_entry(text, g_ptr_array_index(sorted, i));
		if (text->len + strlen("]}") > max_bytes) {
			g_string_truncate(text, before);
			break;
		}
	}
	g_string_append(text, "]}");
	g_ptr_array_free(sorted, TRUE);
	return g_string_free(text, FALSE);
}

uint32_t cq_run_history_count(const struct cq_run_history *history)
{
	return g_hash_table_size(history->entries);
}
