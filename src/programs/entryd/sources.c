/* Entry hosts, workspaces and classes as seen by the router. */
#include <glib.h>
#include <string.h>

#include "chestnutquay/admission.h"
#include "programs/entryd/entryd.h"
#include "programs/entryd/index_claim.h"

struct entryd_sources {
	struct cq_cluster *cluster;
	struct entryd_index_claim *claim;
	GHashTable *interned_names; /* set of data-centre names, owned */
};

static const struct cq_member *find_entryd(const struct entryd_sources *sources,
					   const char *data_centre,
					   uint32_t index);
static const char *peer_address(void *ctx, const char *data_centre,
				uint32_t index);
static bool is_alive(void *ctx, const char *data_centre, uint32_t index);
static uint32_t list_data_centres(void *ctx, struct cq_data_centre *out,
				  uint32_t max);
static bool holds_index(void *ctx, int64_t now_ns);
static uint32_t list_remote_addresses(void *ctx, const char **addresses,
				      uint32_t max);
static bool find_workspace(void *ctx, const char *name, uint32_t *weight);
static bool find_class_rank(void *ctx, const char *name, uint32_t *rank);
static const char *intern_name(struct entryd_sources *sources,
			       const char *name);

const struct cq_router_members_ops entryd_members_ops = {
	.peer = peer_address,
	.alive = is_alive,
	.data_centres = list_data_centres,
	.holds_index = holds_index,
	.remotes = list_remote_addresses,
};

const struct cq_router_policy_ops entryd_policy_ops = {
	.workspace = find_workspace,
	.class_rank = find_class_rank,
};

struct entryd_sources *entryd_sources_create(struct cq_cluster *cluster)
{
	struct entryd_sources *sources = g_new0(struct entryd_sources, 1);

	sources->cluster = cluster;
	sources->claim = entryd_index_claim_create(cluster);
	sources->interned_names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return sources;
}

void entryd_sources_destroy(struct entryd_sources *sources)
{
	if (!sources)
		return;
	entryd_index_claim_destroy(sources->claim);
	g_hash_table_destroy(sources->interned_names);
	g_free(sources);
}

/* The entryd with the given index; if there are several, the last started. */
static const struct cq_member *find_entryd(const struct entryd_sources *sources,
					   const char *data_centre,
					   uint32_t index)
{
	const struct cq_membership *m = cq_cluster_membership(sources->cluster);
	const struct cq_member *best = NULL;
	uint32_t i;

	for (i = 0; i < cq_membership_count(m); i++) {
		const struct cq_member *member = cq_membership_get(m, i);

		if (member->role != CQ_ROLE_ENTRYD || member->index != index ||
		    member->state == CQ_MEMBER_LEFT ||
		    strcmp(member->data_centre, data_centre) != 0)
			continue;
		if (!best || member->incarnation > best->incarnation)
			best = member;
	}
	return best;
}

static const char *peer_address(void *ctx, const char *data_centre,
				uint32_t index)
{
	const struct cq_member *member = find_entryd(ctx, data_centre, index);

	return member ? member->address : NULL;
}

static bool is_alive(void *ctx, const char *data_centre, uint32_t index)
{
	const struct cq_member *member = find_entryd(ctx, data_centre, index);

	return member && cq_member_is_live(member);
}

/* Returns a copy that outlives the settings' string, as the router requires. */
static const char *intern_name(struct entryd_sources *sources, const char *name)
{
	gpointer interned;

	if (g_hash_table_lookup_extended(sources->interned_names, name,
					 &interned, NULL))
		return interned;
	interned = g_strdup(name);
	g_hash_table_add(sources->interned_names, interned);
	return interned;
}

/* Uses the settings, so that all hosts agree on the home of each key. */
static uint32_t list_data_centres(void *ctx, struct cq_data_centre *out,
				  uint32_t max)
{
	struct entryd_sources *sources = ctx;
	const struct cq_settings *settings =
		cq_cluster_settings(sources->cluster);
	const struct cq_settings_data_centre *dc;
	uint32_t count;

	for (count = 0;
	     count < max && (dc = cq_settings_data_centre_at(settings, count));
	     count++) {
		out[count].name = intern_name(sources, dc->name);
		out[count].index_count = (uint32_t)dc->entry_hosts;
	}
	return count;
}

static bool holds_index(void *ctx, int64_t now_ns)
{
	const struct entryd_sources *sources = ctx;

	return entryd_index_claim_holds(sources->claim, now_ns);
}

static uint32_t list_remote_addresses(void *ctx, const char **addresses,
				      uint32_t max)
{
	const struct entryd_sources *sources = ctx;
	const struct cq_membership *m = cq_cluster_membership(sources->cluster);
	const char *own = cq_membership_self(m)->data_centre;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < cq_membership_count(m) && count < max; i++) {
		const struct cq_member *member = cq_membership_get(m, i);

		if (member->role == CQ_ROLE_ENTRYD &&
		    cq_member_is_live(member) &&
		    strcmp(member->data_centre, own) != 0)
			addresses[count++] = member->address;
	}
	return count;
}

static bool find_workspace(void *ctx, const char *name, uint32_t *weight)
{
	const struct entryd_sources *sources = ctx;
	const struct cq_settings_workspace *ws = cq_settings_workspace(
		cq_cluster_settings(sources->cluster), name);

	if (!ws)
		return false;
	*weight = (uint32_t)ws->weight;
	return true;
}

static bool find_class_rank(void *ctx, const char *name, uint32_t *rank)
{
	const struct entryd_sources *sources = ctx;
	const struct cq_settings_global *global =
		cq_settings_global(cq_cluster_settings(sources->cluster));
	int32_t i;

	/* Classes are sorted by rank; configured ranks may have gaps. */
	for (i = 0; i < global->class_count; i++) {
		if (strcmp(global->classes[i].name, name) != 0)
			continue;
		*rank = MIN((uint32_t)i, CQ_ADMISSION_MAX_RANKS - 1);
		return true;
	}
	return false;
}
