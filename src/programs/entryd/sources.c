/* What the router knows of entry hosts, workspaces and classes. */
#include <glib.h>
#include <string.h>

#include "chestnutquay/admission.h"
#include "programs/entryd/entryd.h"
#include "programs/entryd/index_claim.h"

struct entryd_sources {
	struct cq_cluster *cluster;
	struct entryd_index_claim *claim;
	GHashTable *names; /* data-centre names handed out, set */
};

static const struct cq_member *find_entryd(const struct entryd_sources *sources,
					   const char *data_centre,
					   uint32_t index);
static const char *peer(void *ctx, const char *data_centre, uint32_t index);
static bool alive(void *ctx, const char *data_centre, uint32_t index);
static uint32_t centres(void *ctx, struct cq_data_centre *out, uint32_t max);
static bool holds_index(void *ctx, int64_t now_ns);
static uint32_t remotes(void *ctx, const char **addresses, uint32_t max);
static bool workspace(void *ctx, const char *name, uint32_t *weight);
static bool class_rank(void *ctx, const char *name, uint32_t *rank);
static const char *keep_name(struct entryd_sources *sources, const char *name);

const struct cq_router_members_ops entryd_members_ops = {
	.peer = peer,
	.alive = alive,
	.data_centres = centres,
	.holds_index = holds_index,
	.remotes = remotes,
};

const struct cq_router_policy_ops entryd_policy_ops = {
	.workspace = workspace,
	.class_rank = class_rank,
};

struct entryd_sources *entryd_sources_create(struct cq_cluster *cluster)
{
	struct entryd_sources *sources = g_new0(struct entryd_sources, 1);

	sources->cluster = cluster;
	sources->claim = entryd_index_claim_create(cluster);
	sources->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return sources;
}

void entryd_sources_destroy(struct entryd_sources *sources)
{
	if (!sources)
		return;
	entryd_index_claim_destroy(sources->claim);
	g_hash_table_destroy(sources->names);
	g_free(sources);
}

/* The member that holds the index; of several, the one started last. */
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

static const char *peer(void *ctx, const char *data_centre, uint32_t index)
{
	const struct cq_member *member = find_entryd(ctx, data_centre, index);

	return member ? member->address : NULL;
}

static bool alive(void *ctx, const char *data_centre, uint32_t index)
{
	const struct cq_member *member = find_entryd(ctx, data_centre, index);

	return member && cq_member_is_live(member);
}

/* The names outlive the settings' own strings, as the router wants it. */
static const char *keep_name(struct entryd_sources *sources, const char *name)
{
	gpointer kept;

	if (g_hash_table_lookup_extended(sources->names, name, &kept, NULL))
		return kept;
	kept = g_strdup(name);
	g_hash_table_add(sources->names, kept);
	return kept;
}

/* From the settings, so that all hosts agree on the homes of keys. */
static uint32_t centres(void *ctx, struct cq_data_centre *out, uint32_t max)
{
	struct entryd_sources *sources = ctx;
	const struct cq_settings *settings =
		cq_cluster_settings(sources->cluster);
	const struct cq_settings_data_centre *dc;
	uint32_t count;

	for (count = 0;
	     count < max && (dc = cq_settings_data_centre_at(settings, count));
	     count++) {
		out[count].name = keep_name(sources, dc->name);
		out[count].index_count = (uint32_t)dc->entry_hosts;
	}
	return count;
}

static bool holds_index(void *ctx, int64_t now_ns)
{
	const struct entryd_sources *sources = ctx;

	return entryd_index_claim_holds(sources->claim, now_ns);
}

static uint32_t remotes(void *ctx, const char **addresses, uint32_t max)
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

static bool workspace(void *ctx, const char *name, uint32_t *weight)
{
	const struct entryd_sources *sources = ctx;
	const struct cq_settings_workspace *ws = cq_settings_workspace(
		cq_cluster_settings(sources->cluster), name);

	if (!ws)
		return false;
	*weight = (uint32_t)ws->weight;
	return true;
}

static bool class_rank(void *ctx, const char *name, uint32_t *rank)
{
	const struct entryd_sources *sources = ctx;
	const struct cq_settings_global *global =
		cq_settings_global(cq_cluster_settings(sources->cluster));
	int32_t i;

	/* Classes are in order of rank; their ranks need not be dense. */
	for (i = 0; i < global->class_count; i++) {
		if (strcmp(global->classes[i].name, name) != 0)
			continue;
		*rank = MIN((uint32_t)i, CQ_ADMISSION_MAX_RANKS - 1);
		return true;
	}
	return false;
}
