#include "chestnutquay/settings.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "state/settings_parse.h"

struct subtree {
	char *key;
	char *document;
	int64_t revision;
	enum cq_settings_kind kind;
	bool in_force; /* settings and typed hold the last valid settings */
	json_t *settings;
	union cq_settings_typed typed;
};

struct cq_settings {
	int64_t revision;
	GHashTable *by_key;
	GPtrArray *subtrees; /* struct subtree, sorted by key */
	struct cq_settings_global defaults;
};

static void free_subtree(gpointer data);
static gint compare_keys(gconstpointer a, gconstpointer b);
static gint compare_revisions(gconstpointer a, gconstpointer b);
static bool load_document(struct subtree *subtree, const char *document,
			  struct cq_error *err);
static const struct subtree *find_in_force(const struct cq_settings *s,
					   const char *prefix,
					   const char *name);
static const struct subtree *nth_in_force(const struct cq_settings *s,
					  enum cq_settings_kind kind,
					  uint32_t i);

struct cq_settings *cq_settings_create(void)
{
	struct cq_settings *s = g_new0(struct cq_settings, 1);

	s->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	s->subtrees = g_ptr_array_new_with_free_func(free_subtree);
	cq_settings_global_defaults(&s->defaults);
	return s;
}

void cq_settings_destroy(struct cq_settings *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->by_key);
	g_ptr_array_free(s->subtrees, TRUE);
	g_free(s);
}

static void free_subtree(gpointer data)
{
	struct subtree *subtree = data;

	json_decref(subtree->settings);
	g_free(subtree->key);
	g_free(subtree->document);
	g_free(subtree);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct subtree *const *left = a, *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

static gint compare_revisions(gconstpointer a, gconstpointer b)
{
	const struct subtree *const *left = a, *const *right = b;

	return ((*left)->revision > (*right)->revision) -
	       ((*left)->revision < (*right)->revision);
}

int64_t cq_settings_revision(const struct cq_settings *s)
{
	return s->revision;
}

void cq_settings_advance(struct cq_settings *s, int64_t revision)
{
	if (revision > s->revision)
		s->revision = revision;
}

/* Replaces the settings in force unless the document is invalid. */
static bool load_document(struct subtree *subtree, const char *document,
			  struct cq_error *err)
{
	json_error_t fault;
	json_t *root = json_loads(document, JSON_REJECT_DUPLICATES, &fault);
	const json_t *settings = json_object_get(root, "settings");
	union cq_settings_typed typed;
	bool ok;

	if (!json_is_object(root)) {
		cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			     "%s: stored document is not a JSON object: %s",
			     subtree->key,
			     root ? "found an array" : fault.text);
		json_decref(root);
		return false;
	}
	if (json_is_true(json_object_get(root, "deleted"))) {
		json_decref(root);
		json_decref(subtree->settings);
		subtree->settings = NULL;
		subtree->in_force = false;
		return true;
	}
	ok = settings ? cq_settings_parse(subtree->key, settings, &typed, err)
		      : cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				     "%s: stored document has no settings",
				     subtree->key);
	if (ok) {
		json_decref(subtree->settings);
		subtree->settings = json_incref((json_t *)settings);
		subtree->typed = typed;
		subtree->in_force = true;
	}
	json_decref(root);
	return ok;
}

bool cq_settings_apply(struct cq_settings *s, const char *key,
		       const char *document, int64_t revision,
		       struct cq_error *err)
{
	struct subtree *subtree = g_hash_table_lookup(s->by_key, key);
	enum cq_settings_kind kind;
	const char *name;

	if (!cq_settings_key_parse(key, &kind, &name, err))
		return false;
	if (subtree && revision <= subtree->revision)
		return false;
	if (!subtree) {
		subtree = g_new0(struct subtree, 1);
		subtree->key = g_strdup(key);
		subtree->kind = kind;
		g_hash_table_insert(s->by_key, subtree->key, subtree);
		g_ptr_array_add(s->subtrees, subtree);
		g_ptr_array_sort(s->subtrees, compare_keys);
	}
	g_free(subtree->document);
	subtree->document = g_strdup(document);
	subtree->revision = revision;
	load_document(subtree, document, err);
	return true;
}

const char *cq_settings_document(const struct cq_settings *s, const char *key,
				 int64_t *revision)
{
	const struct subtree *subtree = g_hash_table_lookup(s->by_key, key);

	if (revision)
		*revision = subtree ? subtree->revision : 0;
	return subtree ? subtree->document : NULL;
}

char *cq_settings_json(const struct cq_settings *s, const char *key)
{
	const struct subtree *subtree = g_hash_table_lookup(s->by_key, key);

	if (!subtree || !subtree->in_force)
		return NULL;
	return json_dumps(subtree->settings, JSON_COMPACT);
}

void cq_settings_visit(const struct cq_settings *s, int64_t after,
		       cq_settings_visit_fn *visit, void *ctx)
{
	GPtrArray *list = g_ptr_array_new();
	guint i;

	for (i = 0; i < s->subtrees->len; i++) {
		struct subtree *subtree = g_ptr_array_index(s->subtrees, i);

		if (subtree->revision > after)
			g_ptr_array_add(list, subtree);
	}
	g_ptr_array_sort(list, compare_revisions);
	for (i = 0; i < list->len; i++) {
		const struct subtree *subtree = g_ptr_array_index(list, i);

		if (!visit(ctx, subtree->key, subtree->document,
			   subtree->revision))
			break;
	}
	g_ptr_array_free(list, TRUE);
}

static const struct subtree *find_in_force(const struct cq_settings *s,
					   const char *prefix, const char *name)
{
	char key[2 * CQ_SETTINGS_NAME_BYTES];
	const struct subtree *subtree;

	g_snprintf(key, sizeof(key), "%s%s", prefix, name);
	subtree = g_hash_table_lookup(s->by_key, key);
	return subtree && subtree->in_force ? subtree : NULL;
}

static const struct subtree *nth_in_force(const struct cq_settings *s,
					  enum cq_settings_kind kind,
					  uint32_t i)
{
	guint k;

	for (k = 0; k < s->subtrees->len; k++) {
		const struct subtree *subtree =
			g_ptr_array_index(s->subtrees, k);

		if (subtree->in_force && subtree->kind == kind && i-- == 0)
			return subtree;
	}
	return NULL;
}

const struct cq_settings_global *cq_settings_global(const struct cq_settings *s)
{
	const struct subtree *subtree = find_in_force(s, "", "global");

	return subtree ? &subtree->typed.global : &s->defaults;
}

const struct cq_settings_data_centre *
cq_settings_data_centre(const struct cq_settings *s, const char *name)
{
	const struct subtree *subtree = find_in_force(s, "data-centres/", name);

	return subtree ? &subtree->typed.data_centre : NULL;
}

const struct cq_settings_workspace *
cq_settings_workspace(const struct cq_settings *s, const char *name)
{
	const struct subtree *subtree = find_in_force(s, "workspaces/", name);

	return subtree ? &subtree->typed.workspace : NULL;
}

const struct cq_settings_data_centre *
cq_settings_data_centre_at(const struct cq_settings *s, uint32_t i)
{
	const struct subtree *subtree =
		nth_in_force(s, CQ_SETTINGS_KIND_DATA_CENTRE, i);

	return subtree ? &subtree->typed.data_centre : NULL;
}

const struct cq_settings_workspace *
cq_settings_workspace_at(const struct cq_settings *s, uint32_t i)
{
	const struct subtree *subtree =
		nth_in_force(s, CQ_SETTINGS_KIND_WORKSPACE, i);

	return subtree ? &subtree->typed.workspace : NULL;
}

char *cq_settings_encode(const char *json, const char *writer,
			 uint64_t sequence)
{
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "writer", json_string(writer));
	json_object_set_new(root, "sequence",
			    json_integer((json_int_t)sequence));
	if (json) {
		json_t *settings = json_loads(json, 0, NULL);

		if (!settings) {
			json_decref(root);
			return NULL;
		}
		json_object_set_new(root, "settings", settings);
	} else {
		json_object_set_new(root, "deleted", json_true());
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

bool cq_settings_writer(const char *document, char *writer, uint64_t *sequence)
{
	json_t *root = json_loads(document, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "writer"));
	bool ok = id && strlen(id) < CQ_SETTINGS_NAME_BYTES;

	if (ok) {
		g_strlcpy(writer, id, CQ_SETTINGS_NAME_BYTES);
		*sequence = (uint64_t)json_integer_value(
			json_object_get(root, "sequence"));
	}
	json_decref(root);
	return ok;
}

bool cq_settings_document_dc_state(const char *document,
				   enum cq_settings_dc_state *state)
{
	json_t *root = json_loads(document, JSON_REJECT_DUPLICATES, NULL);
	union cq_settings_typed typed;
	const json_t *settings = json_object_get(root, "settings");
	bool ok = settings &&
		  cq_settings_parse("data-centres/x", settings, &typed, NULL);

	if (ok)
		*state = typed.data_centre.state;
	json_decref(root);
	return ok;
}
