#include "chestnutquay/run_history.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

struct entry {
	char *workspace;
	char *class_name;
	uint32_t count;
	struct cq_run_end ends[CQ_RUN_HISTORY_ENDS]; /* oldest first */
};

struct cq_run_history {
	GHashTable *entries; /* "workspace\nclass" -> struct entry */
};

static void free_entry(gpointer data);
static int compare_ends(const struct cq_run_end *a, const struct cq_run_end *b);
static gint newest_first(gconstpointer a, gconstpointer b);
static json_t *pack_entry(const struct entry *entry);
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
static int compare_ends(const struct cq_run_end *a, const struct cq_run_end *b)
{
	if (a->ended_unix_ms != b->ended_unix_ms)
		return a->ended_unix_ms < b->ended_unix_ms ? -1 : 1;
	if (a->run_ms != b->run_ms)
		return a->run_ms < b->run_ms ? -1 : 1;
	return (a->declared_ms > b->declared_ms) -
	       (a->declared_ms < b->declared_ms);
}

bool cq_run_history_add(struct cq_run_history *history, const char *workspace,
			const char *class_name, const struct cq_run_end *end)
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
	if (entry->count == CQ_RUN_HISTORY_ENDS) {
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
			struct cq_run_end end = {
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

static json_t *pack_entry(const struct entry *entry)
{
	json_t *ends = json_array();
	uint32_t i;

	for (i = 0; i < entry->count; i++)
		json_array_append_new(
			ends,
			json_pack("[I,I,I]",
				  (json_int_t)entry->ends[i].ended_unix_ms,
				  (json_int_t)entry->ends[i].declared_ms,
				  (json_int_t)entry->ends[i].run_ms));
	return json_pack("[s,s,o]", entry->workspace, entry->class_name, ends);
}

char *cq_run_history_format(const struct cq_run_history *history,
			    const char *writer, uint64_t sequence,
			    size_t max_bytes)
{
	GPtrArray *sorted = g_ptr_array_new();
	json_t *runs = json_array();
	json_t *root = json_pack("{s:s,s:I,s:o}", "writer", writer, "sequence",
				 (json_int_t)sequence, "runs", runs);
	size_t bytes = json_dumpb(root, NULL, 0, JSON_COMPACT);
	GHashTableIter iter;
	gpointer entry;
	char *text;
	guint i;

	g_hash_table_iter_init(&iter, history->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		g_ptr_array_add(sorted, entry);
	g_ptr_array_sort(sorted, newest_first);
	for (i = 0; i < sorted->len; i++) {
		json_t *item = pack_entry(g_ptr_array_index(sorted, i));

		bytes += json_dumpb(item, NULL, 0, JSON_COMPACT) + 1;
		if (bytes > max_bytes) {
			json_decref(item);
			break;
		}
		json_array_append_new(runs, item);
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	g_ptr_array_free(sorted, TRUE);
	return text;
}

uint32_t cq_run_history_count(const struct cq_run_history *history)
{
	return g_hash_table_size(history->entries);
}
