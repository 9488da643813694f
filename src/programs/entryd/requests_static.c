#include <glib.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/admission.h"
#include "programs/entryd/entryd.h"

#define MAX_WEIGHT 1000000
#define MAX_INDEX 64

struct member {
	char *data_centre;
	uint32_t index;
	char *address;
};

struct entryd_static {
	char *data_centre;
	GPtrArray *members;	/* struct member */
	GHashTable *centres;	/* name -> count of entry hosts */
	GHashTable *workspaces; /* name -> weight */
	GHashTable *classes;	/* name -> rank + 1 */
};

static const char *peer(void *ctx, const char *data_centre, uint32_t index);
static bool alive(void *ctx, const char *data_centre, uint32_t index);
static bool holds_index(void *ctx, int64_t now_ns);
static uint32_t centres(void *ctx, struct cq_centre *out, uint32_t max);
static uint32_t remotes(void *ctx, const char **addresses, uint32_t max);
static bool workspace(void *ctx, const char *name, uint32_t *weight);
static bool class_rank(void *ctx, const char *name, uint32_t *rank);
static bool parse_numbers(char **items, const char *setting, long max,
			  long offset, GHashTable *table, struct cq_error *err);
static bool parse_peers(struct entryd_static *source, char **items,
			struct cq_error *err);
static void member_free(void *data);

static const struct cq_router_members_ops members_ops = {
	.peer = peer,
	.alive = alive,
	.centres = centres,
	.holds_index = holds_index,
	.remotes = remotes,
};

static const struct cq_router_policy_ops policy_ops = {
	.workspace = workspace,
	.class_rank = class_rank,
};

static const char *peer(void *ctx, const char *data_centre, uint32_t index)
{
	const struct entryd_static *source = ctx;
	guint i;

	for (i = 0; i < source->members->len; i++) {
		const struct member *member = source->members->pdata[i];

		if (member->index == index &&
		    !strcmp(member->data_centre, data_centre))
			return member->address;
	}
	return NULL;
}

/* Flags do not change: a host that is named counts as live. */
static bool alive(void *ctx, const char *data_centre, uint32_t index)
{
	return peer(ctx, data_centre, index) != NULL;
}

static bool holds_index(void *ctx, int64_t now_ns)
{
	(void)ctx;
	(void)now_ns;
	return true;
}

static uint32_t centres(void *ctx, struct cq_centre *out, uint32_t max)
{
	const struct entryd_static *source = ctx;
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, source->centres);
	while (count < max && g_hash_table_iter_next(&iter, &key, &value)) {
		out[count].name = key;
		out[count++].index_count = GPOINTER_TO_UINT(value);
	}
	return count;
}

static uint32_t remotes(void *ctx, const char **addresses, uint32_t max)
{
	const struct entryd_static *source = ctx;
	uint32_t count = 0;
	guint i;

	for (i = 0; i < source->members->len && count < max; i++) {
		const struct member *member = source->members->pdata[i];

		if (strcmp(member->data_centre, source->data_centre) != 0)
			addresses[count++] = member->address;
	}
	return count;
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
		const char *slash = strchr(*items, '/');
		char *end = NULL;
		unsigned long index = slash ? strtoul(slash + 1, &end, 10)
					    : ULONG_MAX;
		struct member *member;

		if (!slash || slash == *items || end == slash + 1 ||
		    *end != '=' || index >= MAX_INDEX ||
		    !cq_address_parse(end + 1, (char[16]){ 0 },
				      &(uint16_t){ 0 }, NULL))
			return cq_error_set(err, CQ_ERROR_PROGRAM,
					    CQ_ERR_INVALID,
					    "--entry-peers: \"%s\" is not "
					    "DATA-CENTRE/INDEX=IPv4:PORT",
					    *items);
		member = g_new0(struct member, 1);
		member->data_centre =
			g_strndup(*items, (gsize)(slash - *items));
		member->index = (uint32_t)index;
		member->address = g_strdup(end + 1);
		g_ptr_array_add(source->members, member);
	}
	return true;
}

static void member_free(void *data)
{
	struct member *member = data;

	g_free(member->data_centre);
	g_free(member->address);
	g_free(member);
}

struct entryd_static *entryd_static_create(const struct cq_config *config,
					   struct entryd_sources *sources,
					   struct cq_error *err)
{
	struct entryd_static *source = g_new0(struct entryd_static, 1);
	int64_t count = cq_config_integer(config, "index-count");
	const char *own = cq_config_string(config, "data-centre");

	source->data_centre = g_strdup(own);
	source->members = g_ptr_array_new_with_free_func(member_free);
	source->centres =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	source->workspaces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	source->classes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(source->centres, g_strdup(own),
			    GUINT_TO_POINTER((guint)count));
	if (!parse_peers(source, cq_config_list(config, "entry-peers"), err) ||
	    !parse_numbers(cq_config_list(config, "data-centres"),
			   "data-centres", MAX_INDEX, 0, source->centres,
			   err) ||
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
	if (!source)
		return;
	g_ptr_array_free(source->members, TRUE);
	g_hash_table_destroy(source->centres);
	g_hash_table_destroy(source->workspaces);
	g_hash_table_destroy(source->classes);
	g_free(source->data_centre);
	g_free(source);
}
