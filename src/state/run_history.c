#include "chestnutquay/run_history.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct entry {
	char *workspace;
	char *class_name;
	uint32_t count;
	struct cq_ended_run runs[CQ_RUN_HISTORY_MAX_RUNS]; /* oldest first */
};

struct cq_run_history {
	GHashTable *entries; /* "workspace\nclass" -> struct entry */
};

static void free_entry(gpointer data);
static int compare_runs(const struct cq_ended_run *a,
			const struct cq_ended_run *b);
static gint compare_newest_first(gconstpointer a, gconstpointer b);
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

/*
 * Total order of runs, so that the result of a merge does not depend on the
 * order in which they are added.
 */
static int compare_runs(const struct cq_ended_run *a,
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
			const char *class_name, const struct cq_ended_run *run)
{
	char *key = g_strconcat(workspace, "\n", class_name, NULL);
	struct entry *entry = g_hash_table_lookup(history->entries, key);
	uint32_t pos;

	if (!entry) {
		entry = g_new0(struct entry, 1);
		entry->workspace = g_strdup(workspace);
		entry->class_name = g_strdup(class_name);
		g_hash_table_insert(history->entries, key, entry);
	} else {
		g_free(key);
	}
	for (pos = 0; pos < entry->count; pos++) {
		int order = compare_runs(&entry->runs[pos], run);

		if (!order)
			return false;
		if (order > 0)
			break;
	}
	if (entry->count == CQ_RUN_HISTORY_MAX_RUNS) {
		if (!pos)
			return false;
		pos--;
		memmove(&entry->runs[0], &entry->runs[1],
			pos * sizeof(entry->runs[0]));
	} else {
		memmove(&entry->runs[pos + 1], &entry->runs[pos],
			(entry->count - pos) * sizeof(entry->runs[0]));
		entry->count++;
	}
	entry->runs[pos] = *run;
	return true;
}

/*
 * Checks that an entry has the form
 * ["workspace","class",[[ended_unix_ms,declared_ms,run_ms],...]].
 */
static bool check_entry(const json_t *item, struct cq_error *err)
{
	const json_t *runs = json_array_get(item, 2);
	size_t i, k;

	if (!json_is_string(json_array_get(item, 0)) ||
	    !json_is_string(json_array_get(item, 1)) || !json_is_array(runs))
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "run history: an entry is not "
				    "[workspace, class, runs]");
	for (i = 0; i < json_array_size(runs); i++) {
		const json_t *run = json_array_get(runs, i);

		for (k = 0; k < 3; k++)
			if (!json_is_integer(json_array_get(run, k)))
				return cq_error_set(
					err, CQ_ERROR_STATE, CQ_ERR_INVALID,
					"run history: a run is not "
					"[ended_unix_ms, declared_ms, run_ms]");
		if (json_integer_value(json_array_get(run, 2)) < 0)
			return cq_error_set(
				err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				"run history: a run time is negative");
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
	const char *writer_id =
		json_string_value(json_object_get(root, "writer"));
	size_t i, k;
	bool ok = true;

	if (!json_is_array(runs) || !writer_id)
		ok = cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				  "run history: no runs array or no writer%s%s",
				  root ? "" : ": ", root ? "" : fault.text);
	for (i = 0; ok && i < json_array_size(runs); i++)
		ok = check_entry(json_array_get(runs, i), err);
	for (i = 0; ok && i < json_array_size(runs); i++) {
		const json_t *item = json_array_get(runs, i);
		const char *names[2] = {
			json_string_value(json_array_get(item, 0)),
			json_string_value(json_array_get(item, 1)),
		};
		const json_t *entry_runs = json_array_get(item, 2);

		for (k = 0; k < json_array_size(entry_runs); k++) {
			const json_t *row = json_array_get(entry_runs, k);
			struct cq_ended_run run = {
				json_integer_value(json_array_get(row, 0)),
				json_integer_value(json_array_get(row, 1)),
				json_integer_value(json_array_get(row, 2)),
			};

			if (cq_run_history_add(history, names[0], names[1],
					       &run) &&
			    added)
				added(ctx, names[0], names[1], &run);
		}
	}
	if (ok && writer)
		*writer = g_strdup(writer_id);
	if (ok && sequence)
		*sequence = (uint64_t)json_integer_value(
			json_object_get(root, "sequence"));
	json_decref(root);
	return ok;
}

static gint compare_newest_first(gconstpointer a, gconstpointer b)
{
	const struct entry *left = *(struct entry *const *)a;
	const struct entry *right = *(struct entry *const *)b;
	int order = compare_runs(&right->runs[right->count - 1],
				 &left->runs[left->count - 1]);

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
			i ? "," : ",[", entry->runs[i].ended_unix_ms,
			entry->runs[i].declared_ms, entry->runs[i].run_ms);
	g_string_append(text, "]]");
}

/*
 * Writes the JSON text directly: at the target size, building a tree of 60,000
 * numbers would block the event loop for 40 ms.
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
	g_ptr_array_sort(sorted, compare_newest_first);
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
