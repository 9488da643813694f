/* Check of an operator's change before it is written. */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/settings.h"
#include "state/settings_parse.h"

struct place {
	char *name;
	int64_t accelerators;
};

static void free_place(gpointer data);
static GPtrArray *places_of(const struct cq_settings_capacity *capacity,
			    enum cq_settings_adjacency adjacency);
static int64_t fitting(const GPtrArray *places, int64_t accelerators);
static bool check_one(const char *key, int32_t i,
		      const struct cq_settings_guarantee *guarantee,
		      const struct cq_settings_capacity *capacity,
		      struct cq_error *err);
static bool check_capacity(const struct cq_settings *s, const char *key,
			   const struct cq_settings_workspace *changed,
			   const struct cq_settings_capacity *capacity,
			   struct cq_error *err);
static int64_t guaranteed(const struct cq_settings_workspace *workspace);

static void free_place(gpointer data)
{
	struct place *place = data;

	g_free(place->name);
	g_free(place);
}

/* The workers, racks or data centres with their accelerators. */
static GPtrArray *places_of(const struct cq_settings_capacity *capacity,
			    enum cq_settings_adjacency adjacency)
{
	GPtrArray *places = g_ptr_array_new_with_free_func(free_place);
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t i;

	for (i = 0; i < capacity->count; i++) {
		const struct cq_settings_worker *worker = &capacity->workers[i];
		struct place *place;
		char *name;

		if (adjacency == CQ_SETTINGS_WORKER)
			name = g_strdup_printf("%u", i);
		else if (adjacency == CQ_SETTINGS_RACK)
			name = g_strdup_printf("%s/%s", worker->data_centre,
					       worker->rack);
		else
			name = g_strdup(worker->data_centre);
		place = g_hash_table_lookup(by_name, name);
		if (place) {
			g_free(name);
		} else {
			place = g_new0(struct place, 1);
			place->name = name;
			g_ptr_array_add(places, place);
			g_hash_table_insert(by_name, name, place);
		}
		place->accelerators += worker->accelerators;
	}
	g_hash_table_destroy(by_name);
	return places;
}

/* How many shapes of that many accelerators the empty places hold. */
static int64_t fitting(const GPtrArray *places, int64_t accelerators)
{
	int64_t n = 0;
	guint i;

	for (i = 0; i < places->len; i++) {
		const struct place *place = g_ptr_array_index(places, i);

		n += place->accelerators / accelerators;
	}
	return n;
}

static int64_t guaranteed(const struct cq_settings_workspace *workspace)
{
	int64_t sum = 0;
	int32_t i;

	for (i = 0; i < workspace->guarantee_count; i++)
		sum += workspace->guarantees[i].count *
		       workspace->guarantees[i].accelerators;
	return sum;
}

static bool check_one(const char *key, int32_t i,
		      const struct cq_settings_guarantee *guarantee,
		      const struct cq_settings_capacity *capacity,
		      struct cq_error *err)
{
	GPtrArray *places = places_of(capacity, guarantee->adjacency);
	int64_t most = fitting(places, guarantee->accelerators);

	g_ptr_array_free(places, TRUE);
	if (guarantee->count <= most)
		return true;
	return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			    "%s: guarantees[%d].count is %lld, allowed: 0 to "
			    "%lld shapes of %lld accelerators on one %s",
			    key, i, (long long)guarantee->count,
			    (long long)most, (long long)guarantee->accelerators,
			    cq_settings_adjacency_string(guarantee->adjacency));
}

/*
 * Necessary conditions: each guarantee fits alone, and the sum of all fits.
 * Whether all shapes can be carved out together is for the planner, which
 * names the shortfall.
 */
static bool check_capacity(const struct cq_settings *s, const char *key,
			   const struct cq_settings_workspace *changed,
			   const struct cq_settings_capacity *capacity,
			   struct cq_error *err)
{
	const struct cq_settings_workspace *other;
	int64_t total = 0, others = 0, own = guaranteed(changed);
	uint32_t i;
	int32_t k;

	for (i = 0; i < capacity->count; i++)
		total += capacity->workers[i].accelerators;
	for (k = 0; k < changed->guarantee_count; k++)
		if (!check_one(key, k, &changed->guarantees[k], capacity, err))
			return false;
	for (i = 0; (other = cq_settings_workspace_at(s, i)); i++)
		if (strcmp(other->name, changed->name) != 0)
			others += guaranteed(other);
	if (own && own + others > total)
		return cq_error_set(
			err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			"%s: guarantees is %lld accelerators, allowed: 0 to "
			"%lld (%lld in all, %lld guaranteed to others)",
			key, (long long)own, (long long)MAX(total - others, 0),
			(long long)total, (long long)others);
	return true;
}

bool cq_settings_check(const struct cq_settings *s, const char *key,
		       const char *json,
		       const struct cq_settings_capacity *capacity,
		       struct cq_error *err)
{
	enum cq_settings_kind kind;
	union cq_settings_typed typed;
	const char *name;
	json_error_t fault;
	json_t *settings;
	bool ok;

	if (!cq_settings_key_parse(key, &kind, &name, err))
		return false;
	if (!json) {
		if (kind == CQ_SETTINGS_KIND_GLOBAL)
			return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
					    "global cannot be removed");
		return true;
	}
	settings = json_loads(json, JSON_REJECT_DUPLICATES, &fault);
	if (!settings)
		return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
				    "%s: not JSON: %.100s at line %d, column "
				    "%d",
				    key, fault.text, fault.line, fault.column);
	ok = cq_settings_parse(key, settings, &typed, err);
	json_decref(settings);
	if (ok && capacity && kind == CQ_SETTINGS_KIND_WORKSPACE)
		ok = check_capacity(s, key, &typed.workspace, capacity, err);
	return ok;
}
