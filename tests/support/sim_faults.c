#include "sim_faults_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Half of the clock skew that the design allows between two hosts. */
#define SKEW_MS 250
#define START_BOUND_MS 3000

static void violate(struct cq_sim_faults *faults, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
static void free_write(gpointer data);
static void free_writes(gpointer data);
static void store_changed(void *ctx, const char *key, const char *value,
			  int64_t revision);
static const struct write *written_at(const struct cq_sim_faults *faults,
				      const char *key, int64_t revision);
static void ticked(void *ctx, struct cq_sim_node *node);
static void in_force(void *ctx, struct cq_sim_node *node, const char *key,
		     int64_t revision);
static void check_owners(struct cq_sim_faults *faults,
			 struct cq_sim_node *node);
static void check_settings(struct cq_sim_faults *faults,
			   struct cq_sim_node *node);
static void check_permit(struct cq_sim_faults *faults,
			 struct cq_sim_node *node);
static bool kills(struct cq_sim_faults *faults, const struct active *a,
		  const struct cq_sim_node *node);
static void begin_kill(struct cq_sim_faults *faults, const struct active *a);
static void end_kill(struct cq_sim_faults *faults, const struct active *ended);
static bool is_active(const struct cq_sim_faults *faults,
		      enum cq_sim_fault_kind kind, uint32_t node);

static const char *const fault_strings[] = {
	[CQ_SIM_KILL] = "kill",
	[CQ_SIM_PAUSE] = "pause",
	[CQ_SIM_CUT] = "cut",
	[CQ_SIM_CUT_STORE] = "cut_store",
	[CQ_SIM_CUT_PEERS] = "cut_peers",
	[CQ_SIM_DEAF] = "deaf",
	[CQ_SIM_MUTE] = "mute",
	[CQ_SIM_DEAF_STORE] = "deaf_store",
	[CQ_SIM_CUT_DC] = "cut_dc",
	[CQ_SIM_STORE_DOWN] = "store_down",
	[CQ_SIM_STORE_HANG] = "store_hang",
	[CQ_SIM_STORE_SLOW] = "store_slow",
	[CQ_SIM_LOST_ANSWERS] = "lost_answers",
	[CQ_SIM_RESETS] = "resets",
	[CQ_SIM_LOSS] = "loss",
	[CQ_SIM_DUPLICATES] = "duplicates",
	[CQ_SIM_PLANNED_STOP] = "planned_stop",
	[CQ_SIM_KILL_HOST] = "kill_host",
	[CQ_SIM_KILL_RACK] = "kill_rack",
	[CQ_SIM_KILL_DC] = "kill_dc",
	[CQ_SIM_CUT_DC_STORE] = "cut_dc_store",
	[CQ_SIM_CUT_DC_PEERS] = "cut_dc_peers",
	[CQ_SIM_DEAF_DC] = "deaf_dc",
	[CQ_SIM_SILENT_LINK] = "silent_link",
};

const char *cq_sim_fault_string(enum cq_sim_fault_kind kind)
{
	if ((unsigned)kind >= G_N_ELEMENTS(fault_strings))
		return "?";
	return fault_strings[kind];
}

static void violate(struct cq_sim_faults *faults, const char *fmt, ...)
{
	struct cq_sim *sim = cq_sim_cluster_sim(faults->cluster);
	char text[400];
	va_list args;

	if (faults->violation[0])
		return;
	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	g_snprintf(faults->violation, sizeof(faults->violation),
		   "at %.3f s: %s", (double)cq_sim_now_ns(sim) / 1e9 - 1000,
		   text);
}

static void free_write(gpointer data)
{
	struct write *write = data;

	g_free(write->document);
	g_free(write);
}

static void free_writes(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

struct cq_sim_faults *cq_sim_faults_create(struct cq_sim_cluster *cluster)
{
	static const struct cq_sim_cluster_hooks hooks = {
		.ticked = ticked,
		.in_force = in_force,
	};
	struct cq_sim_faults *faults = g_new0(struct cq_sim_faults, 1);
	uint32_t n = cq_sim_cluster_count(cluster);

	faults->cluster = cluster;
	faults->active = g_array_new(FALSE, TRUE, sizeof(struct active));
	faults->history = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_writes);
	faults->tree_revision = g_new0(int64_t, n);
	faults->life = g_new0(uint32_t, n);
	cq_sim_cluster_set_hooks(cluster, &hooks, faults);
	cq_sim_store_on_change(cq_sim_cluster_store(cluster), store_changed,
			       faults);
	return faults;
}

void cq_sim_faults_destroy(struct cq_sim_faults *faults)
{
	static const struct cq_sim_cluster_hooks none = { NULL, NULL };

	cq_sim_cluster_set_hooks(faults->cluster, &none, NULL);
	cq_sim_store_on_change(cq_sim_cluster_store(faults->cluster), NULL,
			       NULL);
	g_array_free(faults->active, TRUE);
	g_hash_table_destroy(faults->history);
	g_free(faults->tree_revision);
	g_free(faults->life);
	g_free(faults);
}

static void store_changed(void *ctx, const char *key, const char *value,
			  int64_t revision)
{
	struct cq_sim_faults *faults = ctx;
	GPtrArray *writes = g_hash_table_lookup(faults->history, key);
	struct write *write = g_new0(struct write, 1);

	if (!writes) {
		writes = g_ptr_array_new_with_free_func(free_write);
		g_hash_table_insert(faults->history, g_strdup(key), writes);
	}
	write->revision = revision;
	write->document = g_strdup(value);
	g_ptr_array_add(writes, write);
}

/* The last write of the key up to the revision. */
static const struct write *written_at(const struct cq_sim_faults *faults,
				      const char *key, int64_t revision)
{
	GPtrArray *writes = g_hash_table_lookup(faults->history, key);
	const struct write *last = NULL;
	guint i;

	for (i = 0; writes && i < writes->len; i++) {
		const struct write *write = g_ptr_array_index(writes, i);

		if (write->revision <= revision)
			last = write;
	}
	return last;
}

uint32_t cq_sim_dc_number(const struct cq_sim_node *node)
{
	return (uint32_t)atoi(cq_sim_node_data_centre(node) + 2);
}

static void check_owners(struct cq_sim_faults *faults, struct cq_sim_node *node)
{
	uint32_t i;

	if (!cq_sim_node_may_command(node))
		return;
	/*
	 * Paused processes count: the check is the last thing they did before
	 * the pause or the first after it, on a clock that kept running.
	 */
	for (i = 0; i < cq_sim_cluster_count(faults->cluster); i++) {
		struct cq_sim_node *other =
			cq_sim_cluster_node(faults->cluster, i);

		if (other != node && cq_sim_node_may_command(other) &&
		    cq_sim_dc_number(other) == cq_sim_dc_number(node))
			violate(faults, "%s and %s may command",
				cq_sim_node_id(node), cq_sim_node_id(other));
	}
}

static void check_settings(struct cq_sim_faults *faults,
			   struct cq_sim_node *node)
{
	uint32_t n = (uint32_t)cq_sim_node_host(node);
	const struct cq_settings *tree = cq_sim_node_settings(node);
	int64_t revision = cq_settings_revision(tree);
	uint32_t life = cq_sim_host_life(cq_sim_cluster_sim(faults->cluster),
					 (int32_t)n);
	size_t prefix = strlen(CQ_SETTINGS_PREFIX);
	GHashTableIter iter;
	gpointer key, writes;

	if (faults->life[n] != life)
		faults->tree_revision[n] = 0;
	faults->life[n] = life;
	if (revision < faults->tree_revision[n])
		violate(faults, "%s went back from revision %lld to %lld",
			cq_sim_node_id(node),
			(long long)faults->tree_revision[n],
			(long long)revision);
	if (revision == faults->tree_revision[n])
		return;
	faults->tree_revision[n] = revision;
	/* Complete up to its revision, and each document as it was written. */
	g_hash_table_iter_init(&iter, faults->history);
	while (g_hash_table_iter_next(&iter, &key, &writes)) {
		GPtrArray *list = writes;
		const struct write *newest =
			g_ptr_array_index(list, list->len - 1);
		const struct write *written;
		const char *document;
		int64_t held;

		if (!g_str_has_prefix(key, CQ_SETTINGS_PREFIX))
			continue;
		document =
			cq_settings_document(tree, (char *)key + prefix, &held);
		if (newest->revision <= revision && held != newest->revision)
			violate(faults, "%s is at %lld and lacks %s at %lld",
				cq_sim_node_id(node), (long long)revision,
				(char *)key, (long long)newest->revision);
		written = written_at(faults, key, held);
		if (document && (!written || written->revision != held ||
				 g_strcmp0(written->document, document) != 0))
			violate(faults, "%s holds %s at %lld as %s",
				cq_sim_node_id(node), (char *)key,
				(long long)held, document);
	}
}

/* Asks for a start permit, as an owner with a task to start does. */
static void check_permit(struct cq_sim_faults *faults, struct cq_sim_node *node)
{
	struct cq_ownership *ownership = cq_sim_node_ownership(node);
	uint32_t dc = cq_sim_dc_number(node);
	int64_t not_after_ms, out_ms = faults->out_since_ms[dc];

	if (!ownership ||
	    !cq_ownership_start_permit(ownership, cq_sim_node_now_ns(node),
				       &not_after_ms))
		return;
	faults->permits++;
	/* A worker whose clock is behind accepts the start that much longer. */
	not_after_ms += SKEW_MS;
	faults->last_start_ms[dc] =
		MAX(faults->last_start_ms[dc], not_after_ms);
	if (out_ms && not_after_ms > out_ms + START_BOUND_MS)
		violate(faults, "%s may start a task %lld ms after out",
			cq_sim_node_id(node),
			(long long)(not_after_ms - out_ms));
}

static void ticked(void *ctx, struct cq_sim_node *node)
{
	struct cq_sim_faults *faults = ctx;

	check_owners(faults, node);
	check_settings(faults, node);
	check_permit(faults, node);
}

static void in_force(void *ctx, struct cq_sim_node *node, const char *key,
		     int64_t revision)
{
	struct cq_sim_faults *faults = ctx;
	char *store_key = g_strdup_printf("%s%s", CQ_SETTINGS_PREFIX, key);
	const struct write *write = written_at(faults, store_key, revision);

	if (!write || write->revision != revision)
		violate(faults, "%s put %s at %lld in force, never written",
			cq_sim_node_id(node), key, (long long)revision);
	g_free(store_key);
}

void cq_sim_faults_set_dc(struct cq_sim_faults *faults, uint32_t dc, bool in)
{
	struct cq_sim *sim = cq_sim_cluster_sim(faults->cluster);
	int64_t unix_ms = cq_clock_unix_ms(cq_sim_clock(sim));
	char key[64];

	g_snprintf(key, sizeof(key), "data-centres/dc%u", dc);
	cq_sim_node_write(cq_sim_cluster_node(faults->cluster, 0), key,
			  in ? "{\"state\":\"in\"}" : "{\"state\":\"out\"}");
	if (in) {
		faults->out_since_ms[dc] = 0;
		return;
	}
	if (faults->out_since_ms[dc])
		return;
	faults->out_since_ms[dc] = unix_ms;
	if (faults->last_start_ms[dc] > unix_ms + START_BOUND_MS)
		violate(faults, "dc%u: an earlier permit lasts %lld ms", dc,
			(long long)(faults->last_start_ms[dc] - unix_ms));
}

const char *cq_sim_faults_violation(const struct cq_sim_faults *faults)
{
	return faults->violation;
}

uint64_t cq_sim_faults_permits(const struct cq_sim_faults *faults)
{
	return faults->permits;
}

int64_t cq_sim_faults_last_start_ms(const struct cq_sim_faults *faults,
				    uint32_t dc)
{
	if (!faults->out_since_ms[dc])
		return -1;
	return MAX(faults->last_start_ms[dc] - SKEW_MS -
			   faults->out_since_ms[dc],
		   0);
}

static bool is_active(const struct cq_sim_faults *faults,
		      enum cq_sim_fault_kind kind, uint32_t node)
{
	guint i;

	for (i = 0; i < faults->active->len; i++) {
		const struct active *a =
			&g_array_index(faults->active, struct active, i);

		if (a->kind == kind && a->node == node)
			return true;
	}
	return false;
}

/* Whether the node does not run because of a fault of that kind at `at`. */
static bool kills(struct cq_sim_faults *faults, const struct active *a,
		  const struct cq_sim_node *node)
{
	const struct cq_sim_node *at =
		cq_sim_cluster_node(faults->cluster, a->node);
	uint32_t host = cq_sim_node_host_in_dc(node);

	switch (a->kind) {
	case CQ_SIM_KILL:
	case CQ_SIM_PLANNED_STOP:
		return node == at;
	case CQ_SIM_KILL_HOST:
		return cq_sim_dc_number(node) == cq_sim_dc_number(at) &&
		       host == cq_sim_node_host_in_dc(at);
	case CQ_SIM_KILL_RACK:
		return cq_sim_dc_number(node) == cq_sim_dc_number(at) &&
		       host % 2 == cq_sim_node_host_in_dc(at) % 2;
	case CQ_SIM_KILL_DC:
		return cq_sim_dc_number(node) == cq_sim_dc_number(at);
	default:
		return false;
	}
}

static void begin_kill(struct cq_sim_faults *faults, const struct active *a)
{
	uint32_t i;

	for (i = 0; i < cq_sim_cluster_count(faults->cluster); i++) {
		struct cq_sim_node *node =
			cq_sim_cluster_node(faults->cluster, i);

		if (kills(faults, a, node))
			cq_sim_node_kill(node);
	}
}

/* Restarts what no other fault keeps down. */
static void end_kill(struct cq_sim_faults *faults, const struct active *ended)
{
	uint32_t i;
	guint k;

	for (i = 0; i < cq_sim_cluster_count(faults->cluster); i++) {
		struct cq_sim_node *node =
			cq_sim_cluster_node(faults->cluster, i);
		bool down = !kills(faults, ended, node);

		for (k = 0; k < faults->active->len && !down; k++)
			down = kills(faults,
				     &g_array_index(faults->active,
						    struct active, k),
				     node);
		if (down)
			continue;
		cq_sim_node_restart(node);
		if (is_active(faults, CQ_SIM_PAUSE, i))
			cq_sim_node_pause(node);
	}
}

void cq_sim_fault_begin(struct cq_sim_faults *faults,
			enum cq_sim_fault_kind kind, uint32_t node)
{
	struct active active = { kind, node };
	struct cq_sim_node *on = cq_sim_cluster_node(faults->cluster, node);
	int64_t now_ns = cq_sim_node_now_ns(on);

	g_array_append_val(faults->active, active);
	if (kind == CQ_SIM_PAUSE) {
		cq_sim_node_pause(on);
	} else if (kind == CQ_SIM_PLANNED_STOP) {
		if (cq_sim_node_is_running(on) &&
		    !cq_sim_host_is_paused(cq_sim_cluster_sim(faults->cluster),
					   (int32_t)node)) {
			if (cq_sim_node_ownership(on))
				cq_ownership_hand_over(
					cq_sim_node_ownership(on), NULL,
					now_ns);
		}
	} else {
		begin_kill(faults, &active);
		cq_sim_faults_apply(faults);
	}
}

void cq_sim_fault_end(struct cq_sim_faults *faults, enum cq_sim_fault_kind kind,
		      uint32_t node)
{
	struct cq_sim_node *on = cq_sim_cluster_node(faults->cluster, node);
	struct active ended = { kind, node };
	guint i;

	for (i = 0; i < faults->active->len; i++) {
		const struct active *a =
			&g_array_index(faults->active, struct active, i);

		if (a->kind == kind && a->node == node)
			break;
	}
	if (i == faults->active->len)
		return;
	g_array_remove_index(faults->active, i);
	if (kind == CQ_SIM_PAUSE) {
		if (!is_active(faults, CQ_SIM_PAUSE, node))
			cq_sim_node_resume(on);
	} else {
		end_kill(faults, &ended);
		cq_sim_faults_apply(faults);
	}
}

void cq_sim_faults_end_all(struct cq_sim_faults *faults)
{
	while (faults->active->len) {
		struct active active =
			g_array_index(faults->active, struct active, 0);

		cq_sim_fault_end(faults, active.kind, active.node);
	}
}
