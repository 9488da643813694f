#include "sim_faults.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Half of the clock skew that the design allows between two hosts. */
#define SKEW_MS 250
#define START_BOUND_MS 3000
#define MAX_DCS 64

struct active {
	enum cq_sim_fault_kind kind;
	uint32_t node;
};

struct write {
	int64_t revision;
	char *document; /* NULL: deleted */
};

struct cq_sim_faults {
	struct cq_sim_cluster *cluster;
	GArray *active;
	char violation[512];
	/* Store key -> array of struct write, oldest first. */
	GHashTable *history;
	int64_t *tree_revision; /* by node, of the running process */
	uint32_t *life;		/* by node */
	uint64_t permits;
	int64_t out_since_ms[MAX_DCS];	/* Unix time; 0: in */
	int64_t last_start_ms[MAX_DCS]; /* latest time a permit allows */
};

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
static uint32_t dc_number(const struct cq_sim_node *node);
static void isolate(struct cq_sim_faults *faults, uint32_t node, bool in,
		    bool out, bool peers, bool store);
static void apply_all(struct cq_sim_faults *faults);
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

static uint32_t dc_number(const struct cq_sim_node *node)
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
		    dc_number(other) == dc_number(node))
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
	uint32_t dc = dc_number(node);
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

/* Blocks one direction or both between the node and peers or store. */
static void isolate(struct cq_sim_faults *faults, uint32_t node, bool in,
		    bool out, bool peers, bool store)
{
	struct cq_sim *sim = cq_sim_cluster_sim(faults->cluster);
	int32_t i, n = (int32_t)cq_sim_cluster_count(faults->cluster);

	for (i = 0; peers && i < n; i++) {
		if (i == (int32_t)node)
			continue;
		if (in)
			cq_sim_net_block(sim, i, (int32_t)node, true);
		if (out)
			cq_sim_net_block(sim, (int32_t)node, i, true);
	}
	if (store && in)
		cq_sim_net_block(sim, CQ_SIM_STORE, (int32_t)node, true);
	if (store && out)
		cq_sim_net_block(sim, (int32_t)node, CQ_SIM_STORE, true);
}

/* Sets the network and the store to what the active faults say together. */
static void apply_all(struct cq_sim_faults *faults)
{
	struct cq_sim_cluster *cluster = faults->cluster;
	struct cq_sim *sim = cq_sim_cluster_sim(cluster);
	uint32_t n = cq_sim_cluster_count(cluster), k;
	struct cq_sim_net_faults net = { 500 * CQ_NS_PER_US,
					 1500 * CQ_NS_PER_US, 0, 0 };
	struct cq_sim_store_faults store = {
		.min_delay_ns = 500 * CQ_NS_PER_US,
		.max_delay_ns = 2 * CQ_NS_PER_MS,
	};
	bool *group = g_new0(bool, n);
	guint i;

	cq_sim_net_heal(sim);
	for (i = 0; i < faults->active->len; i++) {
		const struct active *a =
			&g_array_index(faults->active, struct active, i);

		switch (a->kind) {
		case CQ_SIM_CUT:
			isolate(faults, a->node, true, true, true, true);
			break;
		case CQ_SIM_CUT_STORE:
			isolate(faults, a->node, true, true, false, true);
			break;
		case CQ_SIM_CUT_PEERS:
			isolate(faults, a->node, true, true, true, false);
			break;
		case CQ_SIM_DEAF:
			isolate(faults, a->node, true, false, true, true);
			break;
		case CQ_SIM_MUTE:
			isolate(faults, a->node, false, true, true, true);
			break;
		case CQ_SIM_DEAF_STORE:
			isolate(faults, a->node, true, false, false, true);
			break;
		case CQ_SIM_CUT_DC:
			for (k = 0; k < n; k++)
				group[k] =
					dc_number(cq_sim_cluster_node(cluster,
								      k)) ==
					dc_number(cq_sim_cluster_node(cluster,
								      a->node));
			cq_sim_cluster_partition(cluster, group, false);
			break;
		case CQ_SIM_STORE_DOWN:
			store.down = true;
			store.keep_leases = a->node % 2;
			break;
		case CQ_SIM_STORE_HANG:
			store.hang = true;
			store.keep_leases = a->node % 2;
			break;
		case CQ_SIM_STORE_SLOW:
			/* Around the time limits of the callers. */
			store.max_delay_ns = 900 * CQ_NS_PER_MS;
			break;
		case CQ_SIM_LOST_ANSWERS:
			store.lost_answer_permille = 500;
			break;
		case CQ_SIM_RESETS:
			store.reset_permille = 500;
			break;
		case CQ_SIM_LOSS:
			net.loss_permille = 333;
			break;
		case CQ_SIM_DUPLICATES:
			net.duplicate_permille = 333;
			net.max_delay_ns = 200 * CQ_NS_PER_MS;
			break;
		case CQ_SIM_KILL:
		case CQ_SIM_PAUSE:
		case CQ_SIM_PLANNED_STOP:
		case CQ_SIM_FAULT_KINDS:
			break;
		}
	}
	cq_sim_net_faults(sim, &net);
	cq_sim_store_set_faults(cq_sim_cluster_store(cluster), &store);
	g_free(group);
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

void cq_sim_fault_begin(struct cq_sim_faults *faults,
			enum cq_sim_fault_kind kind, uint32_t node)
{
	struct active active = { kind, node };
	struct cq_sim_node *on = cq_sim_cluster_node(faults->cluster, node);
	int64_t now_ns = cq_sim_node_now_ns(on);

	g_array_append_val(faults->active, active);
	if (kind == CQ_SIM_KILL) {
		cq_sim_node_kill(on);
	} else if (kind == CQ_SIM_PAUSE) {
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
		apply_all(faults);
	}
}

void cq_sim_fault_end(struct cq_sim_faults *faults, enum cq_sim_fault_kind kind,
		      uint32_t node)
{
	struct cq_sim_node *on = cq_sim_cluster_node(faults->cluster, node);
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
	if (kind == CQ_SIM_KILL || kind == CQ_SIM_PLANNED_STOP) {
		if (!is_active(faults, CQ_SIM_KILL, node) &&
		    !is_active(faults, CQ_SIM_PLANNED_STOP, node)) {
			cq_sim_node_restart(on);
			if (is_active(faults, CQ_SIM_PAUSE, node))
				cq_sim_node_pause(on);
		}
	} else if (kind == CQ_SIM_PAUSE) {
		if (!is_active(faults, CQ_SIM_PAUSE, node))
			cq_sim_node_resume(on);
	} else {
		apply_all(faults);
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

bool cq_sim_settings_converged(struct cq_sim_cluster *cluster, void *ctx)
{
	int64_t newest = 0;
	uint32_t i;

	(void)ctx;
	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_sim_node *node = cq_sim_cluster_node(cluster, i);

		if (!cq_sim_node_is_running(node) ||
		    !cq_settings_sync_ready(cq_sim_node_sync(node)))
			return false;
		newest = MAX(newest,
			     cq_settings_revision(cq_sim_node_settings(node)));
	}
	for (i = 0; i < cq_sim_cluster_count(cluster); i++)
		if (cq_settings_revision(cq_sim_node_settings(
			    cq_sim_cluster_node(cluster, i))) != newest)
			return false;
	return newest >= (ctx ? *(int64_t *)ctx : 0);
}

bool cq_sim_membership_converged(struct cq_sim_cluster *cluster, void *ctx)
{
	uint32_t i, k, running = 0;

	(void)ctx;
	for (i = 0; i < cq_sim_cluster_count(cluster); i++)
		running +=
			cq_sim_node_is_running(cq_sim_cluster_node(cluster, i));
	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_membership *m =
			cq_sim_node_membership(cq_sim_cluster_node(cluster, i));
		uint32_t alive = 0;

		if (!m)
			continue;
		for (k = 0; k < cq_membership_count(m); k++)
			alive += cq_membership_get(m, k)->state ==
				 CQ_MEMBER_ALIVE;
		if (alive != running || cq_membership_live(m) != running)
			return false;
	}
	return true;
}

bool cq_sim_all_owned(struct cq_sim_cluster *cluster, void *ctx)
{
	uint32_t i;

	(void)ctx;
	for (i = 0; i < cq_sim_cluster_count(cluster); i++)
		if (!cq_sim_cluster_owner(
			    cluster, cq_sim_node_data_centre(
					     cq_sim_cluster_node(cluster, i))))
			return false;
	return true;
}
