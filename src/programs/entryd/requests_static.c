#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/admission.h"
#include "programs/entryd/entryd.h"

#define MAX_WEIGHT 1000000

struct entryd_static {
	char *peers[64]; /* by index; NULL: none */
	uint32_t index_count;
	GPtrArray *remotes;
	GHashTable *workspaces; /* name -> weight */
	GHashTable *classes;	/* name -> rank + 1 */
};

static const char *peer(void *ctx, uint32_t index);
static bool alive(void *ctx, uint32_t index);
static bool holds_index(void *ctx, int64_t now_ns);
static uint32_t remotes(void *ctx, const char **addresses, uint32_t max);
static bool workspace(void *ctx, const char *name, uint32_t *weight);
static bool class_rank(void *ctx, const char *name, uint32_t *rank);
static bool parse_numbers(char **items, const char *setting, long max,
			  long offset, GHashTable *table, struct cq_error *err);
static bool parse_peers(struct entryd_static *source, char **items,
			struct cq_error *err);

static const struct cq_router_members_ops members_ops = {
	.peer = peer,
	.alive = alive,
	.holds_index = holds_index,
	.remotes = remotes,
};

static const struct cq_router_policy_ops policy_ops = {
	.workspace = workspace,
	.class_rank = class_rank,
};

static const char *peer(void *ctx, uint32_t index)
{
	const struct entryd_static *source = ctx;

	return index < source->index_count ? source->peers[index] : NULL;
}

static bool alive(void *ctx, uint32_t index)
{
	return peer(ctx, index) != NULL;
}

static bool holds_index(void *ctx, int64_t now_ns)
{
	(void)ctx;
	(void)now_ns;
	return true;
}

static uint32_t remotes(void *ctx, const char **addresses, uint32_t max)
{
	const struct entryd_static *source = ctx;
	uint32_t i;

	for (i = 0; i < source->remotes->len && i < max; i++)
		addresses[i] = source->remotes->pdata[i];
	return i;
}

static bool workspace(void *ctx, const char *name, uint32_t *weight)
{
	const struct entryd_static *source = ctx;

	*weight =
		GPOINTER_TO_UINT(g_hash_table_lookup(source->workspaces, name));
	return *weight != 0;
}

static bool class_rank(void *ctx, const char *name, uint32_t *rank)
{
	const struct entryd_static *source = ctx;
	uint32_t value =
		GPOINTER_TO_UINT(g_hash_table_lookup(source->classes, name));

	*rank = value - 1;
	return value != 0;
}

/* NAME:NUMBER items; stores number + offset, which must not be 0. */
static bool parse_numbers(char **items, const char *setting, long max,
			  long offset, GHashTable *table, struct cq_error *err)
{
	for (; *items; items++) {
		char *colon = strrchr(*items, ':');
		char *end = NULL;
		long number = colon ? strtol(colon + 1, &end, 10) : -1;

		if (!colon || colon == *items || !colon[1] || *end ||
		    number + offset < 1 || number > max)
			return cq_error_set(err, CQ_ERROR_PROGRAM,
					    CQ_ERR_INVALID,
					    "--%s: \"%s\" is not NAME:NUMBER "
					    "with a number from %ld to %ld",
					    setting, *items, 1 - offset, max);
		g_hash_table_insert(table,
				    g_strndup(*items, (gsize)(colon - *items)),
				    GUINT_TO_POINTER((guint)(number + offset)));
	}
	return true;
}

static bool parse_peers(struct entryd_static *source, char **items,
			struct cq_error *err)
{
	for (; *items; items++) {
		char *end = NULL;
		long index = strtol(*items, &end, 10);

		if (end == *items || *end != '=' || index < 0 ||
		    index >= source->index_count ||
		    !cq_address_parse(end + 1, (char[16]){ 0 },
				      &(uint16_t){ 0 }, NULL))
			return cq_error_set(err, CQ_ERROR_PROGRAM,
					    CQ_ERR_INVALID,
					    "--entry-peers: \"%s\" is not "
					    "INDEX=IPv4:PORT with an index "
					    "below --index-count",
					    *items);
		g_free(source->peers[index]);
		source->peers[index] = g_strdup(end + 1);
	}
	return true;
}

struct entryd_static *entryd_static_create(const struct cq_config *config,
					   struct entryd_sources *sources,
					   struct cq_error *err)
{
	struct entryd_static *source = g_new0(struct entryd_static, 1);
	char **item;

	source->index_count =
		(uint32_t)cq_config_integer(config, "index-count");
	source->remotes = g_ptr_array_new_with_free_func(g_free);
	source->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	source->classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (item = cq_config_list(config, "remote-peers"); *item; item++)
		g_ptr_array_add(source->remotes, g_strdup(*item));
	if (!parse_peers(source, cq_config_list(config, "entry-peers"), err) ||
	    !parse_numbers(cq_config_list(config, "workspaces"), "workspaces",
			   MAX_WEIGHT, 0, source->workspaces, err) ||
	    !parse_numbers(cq_config_list(config, "classes"), "classes",
			   CQ_ADMISSION_MAX_RANKS - 1, 1, source->classes,
			   err)) {
		entryd_static_destroy(source);
		return NULL;
	}
	sources->members = &members_ops;
	sources->members_ctx = source;
	sources->policy = &policy_ops;
	sources->policy_ctx = source;
	return source;
}

void entryd_static_destroy(struct entryd_static *source)
{
	size_t i;

	if (!source)
		return;
	for (i = 0; i < G_N_ELEMENTS(source->peers); i++)
		g_free(source->peers[i]);
	g_ptr_array_free(source->remotes, TRUE);
	g_hash_table_destroy(source->workspaces);
	g_hash_table_destroy(source->classes);
	g_free(source);
}
