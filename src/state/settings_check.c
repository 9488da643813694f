/* Validation of an operator's change before it is written */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/settings.h"
#include "state/settings_parse.h"

/* A worker, a rack or a data centre */
struct domain {
	char *name;
	int64_t accelerators;
};

static void free_domain(gpointer data);
static GPtrArray *topology_domains(const struct cq_settings_capacity *capacity,
				   enum cq_settings_adjacency adjacency);
static int64_t count_fitting_shapes(const GPtrArray *domains,
				    int64_t accelerators);
static bool check_guarantee(const char *key, int32_t i,
			    const struct cq_settings_guarantee *guarantee,
			    const struct cq_settings_capacity *capacity,
			    struct cq_error *err);
static bool check_capacity(const struct cq_settings *s, const char *key,
			   const struct cq_settings_workspace *changed,
			   const struct cq_settings_capacity *capacity,
			   struct cq_error *err);
static int64_t
guaranteed_accelerators(const struct cq_settings_workspace *workspace);

static void free_domain(gpointer data)
{
	struct domain *domain = data;

	g_free(domain->name);
	g_free(domain);
}

/* Returns the workers, racks or data centres with their accelerators. */
static GPtrArray *topology_domains(const struct cq_settings_capacity *capacity,
				   enum cq_settings_adjacency adjacency)
{
	GPtrArray *domains = g_ptr_array_new_with_free_func(free_domain);
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t i;

	for (i = 0; i < capacity->count; i++) {
		const struct cq_settings_worker *worker = &capacity->workers[i];
		struct domain *domain;
		char *name;

		if (adjacency == CQ_SETTINGS_WORKER)
			name = g_strdup_printf("%u", i);
		else if (adjacency == CQ_SETTINGS_RACK)
			name = g_strdup_printf("%s/%s", worker->data_centre,
					       worker->rack);
		else
			name = g_strdup(worker->data_centre);
		domain = g_hash_table_lookup(by_name, name);
		if (domain) {
			g_free(name);
		} else {
			domain = g_new0(struct domain, 1);
			domain->name = name;
			g_ptr_array_add(domains, domain);
			g_hash_table_insert(by_name, name, domain);
		}
		domain->accelerators += worker->accelerators;
	}
	g_hash_table_destroy(by_name);
	return domains;
}

/*
 * Returns the number of shapes of that many accelerators that the domains hold
 * when idle.
 */
static int64_t count_fitting_shapes(const GPtrArray *domains,
				    int64_t accelerators)
{
	int64_t n = 0;
	guint i;

	for (i = 0; i < domains->len; i++) {
		const struct domain *domain = g_ptr_array_index(domains, i);

		n += domain->accelerators / accelerators;
	}
	return n;
}

static int64_t
guaranteed_accelerators(const struct cq_settings_workspace *workspace)
{
	int64_t sum = 0;
	int32_t i;

	for (i = 0; i < workspace->guarantee_count; i++)
		sum += workspace->guarantees[i].count *
		       workspace->guarantees[i].accelerators;
	return sum;
}

static bool check_guarantee(const char *key, int32_t i,
			    const struct cq_settings_guarantee *guarantee,
			    const struct cq_settings_capacity *capacity,
			    struct cq_error *err)
{
	GPtrArray *domains = topology_domains(capacity, guarantee->adjacency);
	int64_t max_count =
		count_fitting_shapes(domains, guarantee->accelerators);

	g_ptr_array_free(domains, TRUE);
	if (guarantee->count <= max_count)
		return true;
	return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			    "%s: guarantees[%d].count is %lld, allowed: 0 to "
			    "%lld shapes of %lld accelerators on one %s",
			    key, i, (long long)guarantee->count,
			    (long long)max_count,
			    (long long)guarantee->accelerators,
			    cq_settings_adjacency_string(guarantee->adjacency));
}

/*
 * Checks necessary conditions: each guarantee fits alone, and the sum of all
 * fits. Whether all shapes fit together is checked by the planner, which
 * reports the shortfall.
 */
static bool check_capacity(const struct cq_settings *s, const char *key,
			   const struct cq_settings_workspace *changed,
			   const struct cq_settings_capacity *capacity,
			   struct cq_error *err)
{
	const struct cq_settings_workspace *other;
	int64_t total = 0, guaranteed_to_others = 0,
		own = guaranteed_accelerators(changed);
	uint32_t i;
	int32_t k;

	for (i = 0; i < capacity->count; i++)
		total += capacity->workers[i].accelerators;
	for (k = 0; k < changed->guarantee_count; k++)
		if (!check_guarantee(key, k, &changed->guarantees[k], capacity,
				     err))
			return false;
	for (i = 0; (other = cq_settings_workspace_at(s, i)); i++)
		if (strcmp(other->name, changed->name) != 0)
			guaranteed_to_others += guaranteed_accelerators(other);
	if (own && own + guaranteed_to_others > total)
		return cq_error_set(
			err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			"%s: guarantees is %lld accelerators, allowed: 0 to "
			"%lld (%lld in all, %lld guaranteed to others)",
			key, (long long)own,
			(long long)MAX(total - guaranteed_to_others, 0),
			(long long)total, (long long)guaranteed_to_others);
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
