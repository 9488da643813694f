#include "sim_cluster.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

struct cq_sim_node {
	struct cq_sim_cluster *cluster;
	int32_t host;
	char id[CQ_MEMBER_NAME_BYTES];
	char data_centre[CQ_MEMBER_NAME_BYTES];
	enum cq_member_role role;
	uint32_t index;
	bool running;
	bool tick_posted;
	uint64_t busy_ns;
	uint64_t permit_calls;
	uint64_t sequence;
	struct cq_membership *membership;
	struct cq_settings *settings;
	struct cq_settings_sync *sync;
	struct cq_store_relay *relay;
	struct cq_ownership *ownership;
};

struct cq_sim_cluster {
	struct cq_sim_cluster_options options;
	struct cq_sim_cluster_hooks hooks;
	void *hooks_ctx;
	struct cq_sim *sim;
	struct cq_sim_store *store;
	struct cq_sim_node *nodes;
	uint32_t count;
	bool stopping;
};

static uint64_t busy_clock_ns(const struct cq_sim_cluster *cluster);
static void set_clock(const struct cq_sim_node *node,
		      const struct cq_sim_cluster_options *options);
static void schedule_tick(struct cq_sim_node *node, int64_t delay_ns);
static void tick_due(void *ctx);
static void tick(void *ctx);
static void receive(void *ctx, const struct cq_peer_message *message);
static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len);
static void settings_revision(void *ctx, const struct cq_member *member,
			      int64_t now_ns);
static void settings_changed(void *ctx, const char *key, int64_t revision,
			     const char *fault);
static void ownership_changed(void *ctx, enum cq_ownership_state state,
			      int64_t epoch);
static void permit(void *ctx, bool granted);
static void start(struct cq_sim_node *node);
static void stop(struct cq_sim_node *node);

void cq_sim_cluster_options_init(struct cq_sim_cluster_options *options)
{
	memset(options, 0, sizeof(*options));
	options->seed = 1;
	options->data_centres = 1;
	options->schedds = 3;
	options->strategy = cq_settings_sync_relay();
}

static void set_clock(const struct cq_sim_node *node,
		      const struct cq_sim_cluster_options *options)
{
	struct cq_sim *sim = node->cluster->sim;
	int32_t most = options->max_drift_ppm ? options->max_drift_ppm : 5000;
	int64_t skew_ms = 0;

	if (options->uneven_clocks)
		skew_ms = (int64_t)cq_sim_random(sim, 501) - 250;
	cq_sim_host_set_clock(
		sim, node->host,
		(int32_t)cq_sim_random(sim, 2 * (uint64_t)most + 1) - most,
		skew_ms);
}

struct cq_sim_cluster *
cq_sim_cluster_create(const struct cq_sim_cluster_options *options)
{
	struct cq_sim_cluster *cluster = g_new0(struct cq_sim_cluster, 1);
	uint32_t per_dc = options->schedds + options->entryds;
	uint32_t i;

	cluster->options = *options;
	cluster->sim = cq_sim_create(options->seed);
	cluster->store = cq_sim_store_create(cluster->sim);
	cluster->count = options->data_centres * per_dc;
	cluster->nodes = g_new0(struct cq_sim_node, cluster->count);
	for (i = 0; i < cluster->count; i++) {
		struct cq_sim_node *node = &cluster->nodes[i];
		bool schedd = i % per_dc < options->schedds;

		node->cluster = cluster;
		node->host = cq_sim_host_add(cluster->sim);
		node->role = schedd ? CQ_ROLE_SCHEDD : CQ_ROLE_ENTRYD;
		node->index = i % per_dc;
		g_snprintf(node->data_centre, sizeof(node->data_centre), "dc%u",
			   i / per_dc);
		g_snprintf(node->id, sizeof(node->id), "%s-%s%02u",
			   node->data_centre, schedd ? "schedd" : "entryd",
			   i % per_dc);
		if (options->uneven_clocks || options->max_drift_ppm)
			set_clock(node, options);
	}
	for (i = 0; i < cluster->count; i++) {
		start(&cluster->nodes[i]);
		schedule_tick(&cluster->nodes[i],
			      (int64_t)cq_sim_random(cluster->sim,
						     100 * CQ_NS_PER_MS));
	}
	return cluster;
}

void cq_sim_cluster_destroy(struct cq_sim_cluster *cluster)
{
	uint32_t i;

	cluster->stopping = true;
	for (i = 0; i < cluster->count; i++)
		cq_sim_node_kill(&cluster->nodes[i]);
	cq_sim_store_destroy(cluster->store);
	cq_sim_destroy(cluster->sim);
	g_free(cluster->nodes);
	g_free(cluster);
}

void cq_sim_cluster_set_hooks(struct cq_sim_cluster *cluster,
			      const struct cq_sim_cluster_hooks *hooks,
			      void *ctx)
{
	cluster->hooks = *hooks;
	cluster->hooks_ctx = ctx;
}

struct cq_sim *cq_sim_cluster_sim(struct cq_sim_cluster *cluster)
{
	return cluster->sim;
}

struct cq_sim_store *cq_sim_cluster_store(struct cq_sim_cluster *cluster)
{
	return cluster->store;
}

void cq_sim_cluster_run_ms(struct cq_sim_cluster *cluster, int64_t ms)
{
	cq_sim_run_until(cluster->sim,
			 cq_sim_now_ns(cluster->sim) + ms * CQ_NS_PER_MS);
}

bool cq_sim_cluster_run_until(struct cq_sim_cluster *cluster,
			      bool (*condition)(struct cq_sim_cluster *cluster,
						void *ctx),
			      void *ctx, int64_t limit_ms)
{
	int64_t end_ns = cq_sim_now_ns(cluster->sim) + limit_ms * CQ_NS_PER_MS;

	while (!condition(cluster, ctx)) {
		if (cq_sim_now_ns(cluster->sim) >= end_ns)
			return false;
		cq_sim_cluster_run_ms(cluster, 50);
	}
	return true;
}

uint32_t cq_sim_cluster_count(const struct cq_sim_cluster *cluster)
{
	return cluster->count;
}

struct cq_sim_node *cq_sim_cluster_node(struct cq_sim_cluster *cluster,
					uint32_t i)
{
	return &cluster->nodes[i];
}

struct cq_sim_node *cq_sim_cluster_owner(struct cq_sim_cluster *cluster,
					 const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < cluster->count; i++) {
		struct cq_sim_node *node = &cluster->nodes[i];

		if (!strcmp(node->data_centre, data_centre) &&
		    cq_sim_node_may_command(node))
			return node;
	}
	return NULL;
}

static uint64_t busy_clock_ns(const struct cq_sim_cluster *cluster)
{
	struct timespec ts;

	if (!cluster->options.measure_time)
		return 0;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000U + (uint64_t)ts.tv_nsec;
}

static void schedule_tick(struct cq_sim_node *node, int64_t delay_ns)
{
	struct cq_sim *sim = node->cluster->sim;

	cq_sim_at(sim, cq_sim_now_ns(sim) + delay_ns, tick_due, node, NULL);
}

static void tick_due(void *ctx)
{
	struct cq_sim_node *node = ctx;
	struct cq_sim *sim = node->cluster->sim;

	if (node->cluster->stopping)
		return;
	/* A timer that was missed many times fires once. */
	if (node->running && !node->tick_posted) {
		node->tick_posted = true;
		cq_sim_host_post(sim, node->host,
				 cq_sim_host_life(sim, node->host), tick, node,
				 NULL);
	}
	schedule_tick(node, 100 * CQ_NS_PER_MS);
}

static void tick(void *ctx)
{
	struct cq_sim_node *node = ctx;
	struct cq_sim_cluster *cluster = node->cluster;
	uint64_t start_ns = busy_clock_ns(cluster);
	int64_t now_ns = cq_sim_node_now_ns(node);

	node->tick_posted = false;
	cq_membership_tick(node->membership, now_ns);
	if (node->relay)
		cq_store_relay_tick(node->relay, now_ns);
	cq_settings_sync_tick(node->sync, now_ns);
	if (node->ownership)
		cq_ownership_tick(node->ownership, now_ns);
	node->busy_ns += busy_clock_ns(cluster) - start_ns;
	if (cluster->hooks.ticked)
		cluster->hooks.ticked(cluster->hooks_ctx, node);
}

static void receive(void *ctx, const struct cq_peer_message *message)
{
	struct cq_sim_node *node = ctx;
	uint64_t start_ns = busy_clock_ns(node->cluster);
	int64_t now_ns = cq_sim_node_now_ns(node);
	struct cq_error err = CQ_ERROR_INIT;
	bool ok = true;

	switch (message->kind) {
	case CQ_PEER_PING:
	case CQ_PEER_PING_REQ:
	case CQ_PEER_ACK:
		ok = cq_membership_receive(node->membership, message, now_ns,
					   &err);
		break;
	case CQ_PEER_SETTINGS_CHANGE:
	case CQ_PEER_SETTINGS_PULL:
	case CQ_PEER_SETTINGS_STATE:
		ok = cq_settings_sync_receive(node->sync, message, now_ns,
					      &err);
		break;
	case CQ_PEER_STORE_RELAY:
	case CQ_PEER_STORE_RELAY_ANSWER:
		if (node->relay)
			ok = cq_store_relay_receive(node->relay, message,
						    now_ns, &err);
		break;
	case CQ_PEER_HANDOVER:
		if (node->ownership)
			ok = cq_ownership_receive(node->ownership, message,
						  now_ns, &err);
		break;
	default:
		break;
	}
	if (!ok)
		g_error("%s refused a message: %s", node->id, err.message);
	node->busy_ns += busy_clock_ns(node->cluster) - start_ns;
}

static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct cq_sim_node *node = ctx;

	cq_sim_send(node->cluster->sim, node->host, address, kind, correlation,
		    payload, len);
}

static void settings_revision(void *ctx, const struct cq_member *member,
			      int64_t now_ns)
{
	struct cq_sim_node *node = ctx;

	if (node->sync)
		cq_settings_sync_member_revision(node->sync, member, now_ns);
}

static void settings_changed(void *ctx, const char *key, int64_t revision,
			     const char *fault)
{
	struct cq_sim_node *node = ctx;
	struct cq_sim_cluster *cluster = node->cluster;

	(void)fault;
	if (cluster->hooks.in_force)
		cluster->hooks.in_force(cluster->hooks_ctx, node, key,
					revision);
}

static void ownership_changed(void *ctx, enum cq_ownership_state state,
			      int64_t epoch)
{
	(void)ctx;
	(void)state;
	(void)epoch;
}

static void permit(void *ctx, bool granted)
{
	struct cq_sim_node *node = ctx;

	(void)granted;
	node->permit_calls++;
}

static void start(struct cq_sim_node *node)
{
	static const struct cq_membership_ops membership_ops = {
		.send = send_message,
		.settings_revision = settings_revision,
	};
	static const struct cq_settings_sync_ops sync_ops = {
		.send = send_message,
		.changed = settings_changed,
	};
	static const struct cq_ownership_ops ownership_ops = {
		.send = send_message,
		.changed = ownership_changed,
		.permit = permit,
	};
	static const struct cq_store_relay_ops relay_ops = {
		.send = send_message,
	};
	struct cq_sim_cluster *cluster = node->cluster;
	struct cq_sim *sim = cluster->sim;
	const struct cq_clock *clock = cq_sim_host_clock(sim, node->host);
	const struct cq_store *store =
		cq_sim_store_client(cluster->store, node->host);
	int64_t now_ns = cq_clock_now_ns(clock);
	uint64_t seed = cq_sim_random(sim, UINT64_MAX);
	struct cq_membership_options membership;
	struct cq_settings_sync_options sync;
	struct cq_ownership_options ownership;
	struct cq_store_relay_options relay;
	const char *seeds[3];
	uint32_t i;

	cq_membership_options_init(&membership);
	membership.seed = seed;
	g_strlcpy(membership.self.id, node->id, CQ_MEMBER_NAME_BYTES);
	g_strlcpy(membership.self.data_centre, node->data_centre,
		  CQ_MEMBER_NAME_BYTES);
	g_strlcpy(membership.self.address, cq_sim_host_address(sim, node->host),
		  CQ_PEER_ADDRESS_BYTES);
	membership.self.role = node->role;
	membership.self.index = node->index;
	membership.self.incarnation = (uint64_t)cq_clock_unix_ms(clock);
	cq_sim_host_start(sim, node->host, node->id,
			  membership.self.incarnation, receive, node);
	node->membership = cq_membership_create(&membership, &membership_ops,
						node, now_ns);
	for (i = 0; i < G_N_ELEMENTS(seeds); i++)
		seeds[i] = cq_sim_host_address(
			sim, (int32_t)(i * cluster->count / 3));
	cq_membership_set_seeds(
		node->membership, seeds,
		cluster->options.one_seed ? 1 : G_N_ELEMENTS(seeds));

	if (!cluster->options.no_relay) {
		cq_store_relay_options_init(&relay);
		relay.clock = clock;
		relay.seed = seed + 1;
		node->relay = cq_store_relay_create(
			&relay, store, node->membership, &relay_ops, node);
		store = cq_store_relay_store(node->relay);
	}
	cq_settings_sync_options_init(&sync);
	sync.clock = clock;
	sync.seed = seed + 2;
	node->settings = cq_settings_create();
	node->sync = cq_settings_sync_create(&sync, cluster->options.strategy,
					     node->settings, node->membership,
					     store, &sync_ops, node, now_ns);
	if (node->role == CQ_ROLE_SCHEDD && !cluster->options.no_ownership) {
		cq_ownership_options_init(&ownership);
		ownership.clock = clock;
		ownership.seed = seed + 3;
		node->ownership =
			cq_ownership_create(&ownership, node->membership, store,
					    &ownership_ops, node, now_ns);
	}
	node->running = true;
	node->tick_posted = false;
}

static void stop(struct cq_sim_node *node)
{
	node->running = false;
	cq_ownership_destroy(node->ownership);
	cq_settings_sync_destroy(node->sync);
	cq_store_relay_destroy(node->relay);
	cq_settings_destroy(node->settings);
	cq_membership_destroy(node->membership);
	node->ownership = NULL;
	node->sync = NULL;
	node->relay = NULL;
	node->settings = NULL;
	node->membership = NULL;
}

int32_t cq_sim_node_host(const struct cq_sim_node *node)
{
	return node->host;
}

uint32_t cq_sim_node_host_in_dc(const struct cq_sim_node *node)
{
	return node->index % node->cluster->options.schedds;
}

const char *cq_sim_node_id(const struct cq_sim_node *node)
{
	return node->id;
}

const char *cq_sim_node_data_centre(const struct cq_sim_node *node)
{
	return node->data_centre;
}

bool cq_sim_node_is_running(const struct cq_sim_node *node)
{
	return node->running;
}

struct cq_membership *cq_sim_node_membership(struct cq_sim_node *node)
{
	return node->membership;
}

struct cq_settings *cq_sim_node_settings(struct cq_sim_node *node)
{
	return node->settings;
}

struct cq_settings_sync *cq_sim_node_sync(struct cq_sim_node *node)
{
	return node->sync;
}

struct cq_store_relay *cq_sim_node_relay(struct cq_sim_node *node)
{
	return node->relay;
}

struct cq_ownership *cq_sim_node_ownership(struct cq_sim_node *node)
{
	return node->ownership;
}

int64_t cq_sim_node_now_ns(const struct cq_sim_node *node)
{
	return cq_clock_now_ns(
		cq_sim_host_clock(node->cluster->sim, node->host));
}

bool cq_sim_node_may_command(const struct cq_sim_node *node)
{
	return node->ownership &&
	       cq_ownership_may_command(node->ownership,
					cq_sim_node_now_ns(node));
}

uint64_t cq_sim_node_busy_ns(const struct cq_sim_node *node)
{
	return node->busy_ns;
}

uint64_t cq_sim_node_permit_calls(const struct cq_sim_node *node)
{
	return node->permit_calls;
}

void cq_sim_node_kill(struct cq_sim_node *node)
{
	if (!node->running)
		return;
	stop(node);
	cq_sim_host_kill(node->cluster->sim, node->host);
}

void cq_sim_node_restart(struct cq_sim_node *node)
{
	cq_sim_node_kill(node);
	start(node);
}

void cq_sim_node_pause(struct cq_sim_node *node)
{
	cq_sim_host_pause(node->cluster->sim, node->host);
}

void cq_sim_node_resume(struct cq_sim_node *node)
{
	cq_sim_host_resume(node->cluster->sim, node->host);
}

void cq_sim_cluster_partition(struct cq_sim_cluster *cluster, const bool *group,
			      bool store_in_group)
{
	uint32_t i, k;

	for (i = 0; i < cluster->count; i++) {
		for (k = 0; k < cluster->count; k++)
			if (group[i] != group[k])
				cq_sim_net_block(cluster->sim, (int32_t)i,
						 (int32_t)k, true);
		if (group[i] == store_in_group)
			continue;
		cq_sim_net_block(cluster->sim, (int32_t)i, CQ_SIM_STORE, true);
		cq_sim_net_block(cluster->sim, CQ_SIM_STORE, (int32_t)i, true);
	}
}

int64_t cq_sim_node_write(struct cq_sim_node *node, const char *key,
			  const char *json)
{
	struct cq_sim_cluster *cluster = node->cluster;
	char *document = cq_settings_encode(json, node->id, ++node->sequence);
	char *store_key = g_strdup_printf("%s%s", CQ_SETTINGS_PREFIX, key);
	int64_t revision = cq_sim_store_write(cluster->store, store_key,
					      document, CQ_STORE_ANY_REVISION);

	if (node->running)
		cq_settings_sync_track_write(node->sync, revision,
					     cq_sim_node_now_ns(node));
	g_free(store_key);
	free(document);
	return revision;
}
