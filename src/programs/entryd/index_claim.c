#include "programs/entryd/index_claim.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/index_guard.h"
#include "chestnutquay/log.h"

#define CALL_TIMEOUT_MS 800
#define RETRY_NS CQ_NS_PER_S
/* The claim is read when no peer has answered for this long. */
#define PEER_SILENCE_NS (2 * CQ_NS_PER_S)

struct entryd_index_claim {
	struct cq_cluster *cluster;
	struct cq_index_guard *guard;
	char *key;
	struct cq_store_call *call;
	int64_t next_call_ns;
	int64_t peer_deadline_ns; /* silence of the peers after it */
	bool written;
	bool replaced; /* a later host holds the index; final */
};

static void on_tick(void *ctx, int64_t now_ns);
static void on_peer(void *ctx, const struct cq_member *member, int64_t now_ns);
static void on_read(void *ctx, const struct cq_store_result *result);
static void on_written(void *ctx, const struct cq_store_result *result);
static void write_claim(struct entryd_index_claim *claim, int64_t revision);
static uint64_t incarnation_of(const char *value);
static uint64_t own_incarnation(const struct entryd_index_claim *claim);
static int64_t now_of(const struct entryd_index_claim *claim);

struct entryd_index_claim *entryd_index_claim_create(struct cq_cluster *cluster)
{
	struct entryd_index_claim *claim = g_new0(struct entryd_index_claim, 1);
	struct cq_daemon *daemon = cq_cluster_daemon(cluster);
	const struct cq_config *config = cq_daemon_config(daemon);
	struct cq_index_guard_options options;

	claim->cluster = cluster;
	claim->key = g_strdup_printf(ENTRYD_CLAIM_PREFIX "%s/%" PRId64,
				     cq_daemon_data_centre(daemon),
				     cq_config_integer(config, "index"));
	cq_index_guard_options_init(&options);
	options.index_count =
		(uint32_t)cq_config_integer(config, "index-count");
	claim->guard = cq_index_guard_create(
		&options, cq_cluster_membership(cluster), now_of(claim));
	cq_cluster_on_contact(cluster, on_peer, claim);
	cq_daemon_add_tick(daemon, on_tick, claim);
	return claim;
}

void entryd_index_claim_destroy(struct entryd_index_claim *claim)
{
	const struct cq_store *store;

	if (!claim)
		return;
	store = cq_cluster_store(claim->cluster);
	if (claim->call)
		store->ops->cancel(store->self, claim->call);
	cq_index_guard_destroy(claim->guard);
	g_free(claim->key);
	g_free(claim);
}

static int64_t now_of(const struct entryd_index_claim *claim)
{
	return cq_clock_now_ns(
		cq_daemon_clock(cq_cluster_daemon(claim->cluster)));
}

static uint64_t own_incarnation(const struct entryd_index_claim *claim)
{
	return cq_daemon_incarnation(cq_cluster_daemon(claim->cluster));
}

/* A peer on the same host says nothing about the network. */
static void on_peer(void *ctx, const struct cq_member *member, int64_t now_ns)
{
	struct entryd_index_claim *claim = ctx;
	const char *own = cq_daemon_id(cq_cluster_daemon(claim->cluster));
	size_t host_len = strcspn(own, "/") + 1;

	if (!strncmp(member->id, own, host_len) ||
	    strcmp(member->data_centre, cq_daemon_data_centre(cq_cluster_daemon(
						claim->cluster))) != 0)
		return;
	claim->peer_deadline_ns = now_ns + PEER_SILENCE_NS;
	cq_index_guard_record_contact(claim->guard, now_ns);
}

static uint64_t incarnation_of(const char *value)
{
	json_t *json = json_loads(value, 0, NULL);
	uint64_t incarnation = (uint64_t)json_integer_value(
		json_object_get(json, "incarnation"));

	json_decref(json);
	return incarnation;
}

static void write_claim(struct entryd_index_claim *claim, int64_t revision)
{
	struct cq_daemon *daemon = cq_cluster_daemon(claim->cluster);
	const struct cq_store *store = cq_cluster_store(claim->cluster);
	char *value =
		g_strdup_printf("{\"id\":\"%s\",\"incarnation\":%" PRIu64 "}",
				cq_daemon_id(daemon), own_incarnation(claim));

	claim->call = store->ops->put(store->self, claim->key, value, revision,
				      0, CALL_TIMEOUT_MS, on_written, claim);
	g_free(value);
}

/* A lost answer is resolved by the read that precedes the next attempt. */
static void on_written(void *ctx, const struct cq_store_result *result)
{
	struct entryd_index_claim *claim = ctx;

	claim->call = NULL;
	claim->written = result->status == CQ_STORE_OK;
}

static void on_read(void *ctx, const struct cq_store_result *result)
{
	struct entryd_index_claim *claim = ctx;
	const struct cq_store_entry *entry =
		result->entry_count ? result->entries : NULL;
	uint64_t holder;

	claim->call = NULL;
	if (result->status != CQ_STORE_OK &&
	    result->status != CQ_STORE_NOT_FOUND)
		return;
	holder = entry && entry->value ? incarnation_of(entry->value) : 0;
	if (holder > own_incarnation(claim)) {
		claim->replaced = true;
		cq_log_event(CQ_LOG_ERROR, "index_taken", "{s:s,s:s}", "key",
			     claim->key, "claim", entry->value);
	} else if (holder == own_incarnation(claim)) {
		claim->written = true;
		cq_index_guard_record_contact(claim->guard, now_of(claim));
	} else {
		write_claim(claim, entry ? entry->revision : 0);
	}
}

static void on_tick(void *ctx, int64_t now_ns)
{
	struct entryd_index_claim *claim = ctx;
	const struct cq_store *store = cq_cluster_store(claim->cluster);

	cq_index_guard_tick(claim->guard, now_ns);
	if (claim->call || claim->replaced || now_ns < claim->next_call_ns ||
	    (claim->written && now_ns < claim->peer_deadline_ns))
		return;
	claim->next_call_ns = now_ns + RETRY_NS;
	claim->call = store->ops->get(store->self, claim->key, CALL_TIMEOUT_MS,
				      on_read, claim);
}

bool entryd_index_claim_holds(const struct entryd_index_claim *claim,
			      int64_t now_ns)
{
	return !claim->replaced &&
	       cq_index_guard_may_use_index(claim->guard, now_ns);
}
