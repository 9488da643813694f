#include "programs/common/cluster.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/store_relay.h"

/* Between reads of the host list, which lags by itself. */
#define HOST_LIST_INTERVAL_NS (10 * CQ_NS_PER_S)
#define HOST_LIST_TIMEOUT_MS 3000
#define MAX_SEEDS 64

struct listener {
	union {
		cq_cluster_settings_fn *settings;
		cq_cluster_member_fn *member;
		cq_cluster_contact_fn *contact;
	} fn;
	void *ctx;
};

struct cq_cluster {
	struct cq_daemon *daemon;
	struct cq_settings *settings;
	struct cq_membership *membership;
	struct cq_settings_sync *sync;
	struct cq_store_relay *relay;
	GArray *on_settings;
	GArray *on_contact;
	GArray *on_member;
	bool host_list_pending;
	int64_t host_list_next_ns;
	int64_t behind_since_ns; /* 0: not behind */
	struct cq_gauge *members_live;
	struct cq_gauge *members_lost;
	struct cq_gauge *revision;
	struct cq_gauge *behind;
	struct cq_gauge *bytes_sent;
	struct cq_gauge *bytes_received;
	struct cq_gauge *store_direct;
	struct cq_gauge *store_relayed;
	struct cq_counter *changes;
	struct cq_counter *faults;
};

static int64_t now_ns(const struct cq_cluster *cluster);
static uint64_t seed_of(const struct cq_daemon *daemon);
static void create_membership(struct cq_cluster *cluster,
			      enum cq_member_role role);
static void create_store(struct cq_cluster *cluster);
static void create_sync(struct cq_cluster *cluster);
static void create_counters(struct cq_cluster *cluster);
static void set_seeds(struct cq_cluster *cluster, const struct cq_host *hosts,
		      size_t count);
static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len);
static void on_member_changed(void *ctx, const struct cq_member *member,
			      int32_t before);
static void on_member_revision(void *ctx, const struct cq_member *member,
			       int64_t at_ns);
static void on_settings_changed(void *ctx, const char *key, int64_t revision,
				const char *fault);
static void on_membership_message(void *ctx,
				  const struct cq_peer_message *message);
static void tell_contact(struct cq_cluster *cluster, const char *id);
static void on_settings_message(void *ctx,
				const struct cq_peer_message *message);
static void on_relay_message(void *ctx, const struct cq_peer_message *message);
static void log_bad_message(const struct cq_peer_message *message,
			    const struct cq_error *err);
static void on_hosts(void *ctx, const struct cq_host *hosts, size_t count);
static bool is_behind(const struct cq_cluster *cluster);
static void on_tick(void *ctx, int64_t at_ns);
static void on_stop(void *ctx);
static void update_gauges(struct cq_cluster *cluster, int64_t at_ns);
static const char *ready_check(void *ctx);

static int64_t now_ns(const struct cq_cluster *cluster)
{
	return cq_clock_now_ns(cq_daemon_clock(cluster->daemon));
}

static uint64_t seed_of(const struct cq_daemon *daemon)
{
	return cq_daemon_incarnation(daemon) ^
	       ((uint64_t)g_str_hash(cq_daemon_id(daemon)) << 32);
}

static void send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct cq_cluster *cluster = ctx;

	cq_peer_net_send(cq_daemon_peers(cluster->daemon), address, kind,
			 correlation, payload, len);
}

static void create_membership(struct cq_cluster *cluster,
			      enum cq_member_role role)
{
	static const struct cq_membership_ops ops = {
		.send = send_message,
		.changed = on_member_changed,
		.settings_revision = on_member_revision,
	};
	struct cq_daemon *daemon = cluster->daemon;
	const struct cq_config *config = cq_daemon_config(daemon);
	struct cq_membership_options options;
	struct cq_member *self = &options.self;

	cq_membership_options_init(&options);
	g_strlcpy(self->id, cq_daemon_id(daemon), sizeof(self->id));
	g_strlcpy(self->data_centre, cq_daemon_data_centre(daemon),
		  sizeof(self->data_centre));
	g_strlcpy(self->address, cq_config_string(config, "peer-address"),
		  sizeof(self->address));
	g_strlcpy(self->operator_address,
		  cq_config_string(config, "operator-address"),
		  sizeof(self->operator_address));
	self->role = role;
	self->state = CQ_MEMBER_ALIVE;
	self->incarnation = cq_daemon_incarnation(daemon);
	self->index = (uint32_t)cq_config_integer(config, "index");
	options.seed = seed_of(daemon);
	cluster->membership =
		cq_membership_create(&options, &ops, cluster, now_ns(cluster));
	set_seeds(cluster, NULL, 0);
}

static void create_store(struct cq_cluster *cluster)
{
	static const struct cq_store_relay_ops ops = { .send = send_message };
	struct cq_store_relay_options options;

	cq_store_relay_options_init(&options);
	options.clock = cq_daemon_clock(cluster->daemon);
	options.seed = seed_of(cluster->daemon) + 1;
	cluster->relay = cq_store_relay_create(&options,
					       cq_daemon_store(cluster->daemon),
					       cluster->membership, &ops,
					       cluster);
}

static void create_sync(struct cq_cluster *cluster)
{
	static const struct cq_settings_sync_ops ops = {
		.send = send_message,
		.changed = on_settings_changed,
	};
	struct cq_settings_sync_options options;

	cq_settings_sync_options_init(&options);
	options.clock = cq_daemon_clock(cluster->daemon);
	options.seed = seed_of(cluster->daemon) + 2;
	cluster->sync = cq_settings_sync_create(
		&options, cq_settings_sync_relay(), cluster->settings,
		cluster->membership, cq_store_relay_store(cluster->relay), &ops,
		cluster, now_ns(cluster));
}

static void create_counters(struct cq_cluster *cluster)
{
	struct cq_metrics *m = cq_daemon_metrics(cluster->daemon);

	cluster->members_live =
		cq_metrics_gauge(m, "cq_members", "state=\"live\"");
	cluster->members_lost =
		cq_metrics_gauge(m, "cq_members", "state=\"out_of_reach\"");
	cluster->revision = cq_metrics_gauge(m, "cq_settings_revision", "");
	cluster->behind = cq_metrics_gauge(m, "cq_settings_behind_ms", "");
	cluster->bytes_sent =
		cq_metrics_gauge(m, "cq_peer_bytes", "direction=\"sent\"");
	cluster->bytes_received =
		cq_metrics_gauge(m, "cq_peer_bytes", "direction=\"received\"");
	cluster->store_direct = cq_metrics_gauge(m, "cq_store_direct", "");
	cluster->store_relayed = cq_metrics_gauge(m, "cq_store_relayed", "");
	cluster->changes =
		cq_metrics_counter(m, "cq_settings_changes_total", "");
	cluster->faults = cq_metrics_counter(m, "cq_settings_faults_total", "");
	/* cq-burn recognises a restart by it. */
	cq_gauge_set(cq_metrics_gauge(m, "cq_start_unix_ms", ""),
		     (int64_t)cq_daemon_incarnation(cluster->daemon));
}

struct cq_cluster *cq_cluster_create(struct cq_daemon *daemon,
				     enum cq_member_role role)
{
	static const enum cq_peer_kind membership_kinds[] = { CQ_PEER_PING,
							      CQ_PEER_PING_REQ,
							      CQ_PEER_ACK };
	static const enum cq_peer_kind settings_kinds[] = {
		CQ_PEER_SETTINGS_CHANGE, CQ_PEER_SETTINGS_PULL,
		CQ_PEER_SETTINGS_STATE
	};
	struct cq_cluster *cluster = g_new0(struct cq_cluster, 1);
	size_t i;

	cluster->daemon = daemon;
	cluster->on_settings =
		g_array_new(FALSE, FALSE, sizeof(struct listener));
	cluster->on_contact =
		g_array_new(FALSE, FALSE, sizeof(struct listener));
	cluster->on_member = g_array_new(FALSE, FALSE, sizeof(struct listener));
	cluster->settings = cq_settings_create();
	create_counters(cluster);
	create_membership(cluster, role);
	create_store(cluster);
	create_sync(cluster);
	for (i = 0; i < G_N_ELEMENTS(membership_kinds); i++)
		cq_daemon_on_peer(daemon, membership_kinds[i],
				  on_membership_message, cluster);
	for (i = 0; i < G_N_ELEMENTS(settings_kinds); i++)
		cq_daemon_on_peer(daemon, settings_kinds[i],
				  on_settings_message, cluster);
	cq_daemon_on_peer(daemon, CQ_PEER_STORE_RELAY, on_relay_message,
			  cluster);
	cq_daemon_on_peer(daemon, CQ_PEER_STORE_RELAY_ANSWER, on_relay_message,
			  cluster);
	cq_daemon_add_ready_check(daemon, ready_check, cluster);
	cq_daemon_add_tick(daemon, on_tick, cluster);
	cq_daemon_add_stop(daemon, on_stop, cluster);
	return cluster;
}

static void on_stop(void *ctx)
{
	struct cq_cluster *cluster = ctx;

	cq_membership_leave(cluster->membership, now_ns(cluster));
}

void cq_cluster_destroy(struct cq_cluster *cluster)
{
	if (!cluster)
		return;
	cq_settings_sync_destroy(cluster->sync);
	cq_store_relay_destroy(cluster->relay);
	cq_membership_destroy(cluster->membership);
	cq_settings_destroy(cluster->settings);
	g_array_free(cluster->on_settings, TRUE);
	g_array_free(cluster->on_member, TRUE);
	g_array_free(cluster->on_contact, TRUE);
	g_free(cluster);
}

static void set_seeds(struct cq_cluster *cluster, const struct cq_host *hosts,
		      size_t count)
{
	const struct cq_config *config = cq_daemon_config(cluster->daemon);
	const char *own = cq_config_string(config, "peer-address");
	char **configured = cq_config_list(config, "seeds");
	const char *seeds[MAX_SEEDS];
	uint32_t n = 0;
	size_t i;

	for (i = 0; configured[i] && n < MAX_SEEDS; i++)
		if (strcmp(configured[i], own) != 0)
			seeds[n++] = configured[i];
	for (i = 0; i < count && n < MAX_SEEDS; i++)
		if (hosts[i].kind == CQ_HOST_ENTRY &&
		    hosts[i].state == CQ_HOST_LIVE &&
		    strcmp(hosts[i].address, own) != 0)
			seeds[n++] = hosts[i].address;
	cq_membership_set_seeds(cluster->membership, seeds, n);
}

static void on_hosts(void *ctx, const struct cq_host *hosts, size_t count)
{
	struct cq_cluster *cluster = ctx;

	cluster->host_list_pending = false;
	/* Without an answer the seeds stay as they are. */
	if (hosts)
		set_seeds(cluster, hosts, count);
}

static void on_member_changed(void *ctx, const struct cq_member *member,
			      int32_t before)
{
	struct cq_cluster *cluster = ctx;
	guint i;

	if (before != (int32_t)member->state)
		cq_log_event(CQ_LOG_INFO, "member_changed",
			     "{s:s,s:s,s:s,s:s,s:I}", "member", member->id,
			     "data_centre", member->data_centre, "state",
			     cq_member_state_string(member->state), "before",
			     before < 0 ? "unknown"
					: cq_member_state_string(
						  (enum cq_member_state)before),
			     "incarnation", (json_int_t)member->incarnation);
	for (i = 0; i < cluster->on_member->len; i++) {
		struct listener *listener =
			&g_array_index(cluster->on_member, struct listener, i);

		listener->fn.member(listener->ctx, member, before);
	}
}

static void on_member_revision(void *ctx, const struct cq_member *member,
			       int64_t at_ns)
{
	struct cq_cluster *cluster = ctx;

	/* Messages may arrive while the parts are being created. */
	if (cluster->sync)
		cq_settings_sync_member_revision(cluster->sync, member, at_ns);
}

static void on_settings_changed(void *ctx, const char *key, int64_t revision,
				const char *fault)
{
	struct cq_cluster *cluster = ctx;
	guint i;

	cq_counter_add(cluster->changes, 1);
	if (fault) {
		cq_counter_add(cluster->faults, 1);
		cq_log_event(CQ_LOG_ERROR, "settings_invalid", "{s:s,s:I,s:s}",
			     "key", key, "revision", (json_int_t)revision,
			     "fault", fault);
	} else {
		cq_log_event(CQ_LOG_INFO, "settings_applied", "{s:s,s:I}",
			     "key", key, "revision", (json_int_t)revision);
	}
	for (i = 0; i < cluster->on_settings->len; i++) {
		struct listener *listener = &g_array_index(cluster->on_settings,
							   struct listener, i);

		listener->fn.settings(listener->ctx, key, revision, fault);
	}
}

static void log_bad_message(const struct cq_peer_message *message,
			    const struct cq_error *err)
{
	cq_log_event(CQ_LOG_WARN, "peer_message_refused", "{s:s,s:s,s:s}",
		     "kind", cq_peer_kind_string(message->kind), "from",
		     message->from_id, "error", err->message);
}

static void on_membership_message(void *ctx,
				  const struct cq_peer_message *message)
{
	struct cq_cluster *cluster = ctx;
	struct cq_error err = CQ_ERROR_INIT;

	if (!cq_membership_receive(cluster->membership, message,
				   now_ns(cluster), &err)) {
		log_bad_message(message, &err);
		return;
	}
	tell_contact(cluster, message->from_id);
}

static void tell_contact(struct cq_cluster *cluster, const char *id)
{
	const struct cq_member *member =
		cq_membership_find(cluster->membership, id);
	guint i;

	for (i = 0; member && i < cluster->on_contact->len; i++) {
		struct listener *listener =
			&g_array_index(cluster->on_contact, struct listener, i);

		listener->fn.contact(listener->ctx, member, now_ns(cluster));
	}
}

static void on_settings_message(void *ctx,
				const struct cq_peer_message *message)
{
	struct cq_cluster *cluster = ctx;
	struct cq_error err = CQ_ERROR_INIT;

	if (!cq_settings_sync_receive(cluster->sync, message, now_ns(cluster),
				      &err))
		log_bad_message(message, &err);
}

static void on_relay_message(void *ctx, const struct cq_peer_message *message)
{
	struct cq_cluster *cluster = ctx;
	struct cq_error err = CQ_ERROR_INIT;

	if (!cq_store_relay_receive(cluster->relay, message, now_ns(cluster),
				    &err))
		log_bad_message(message, &err);
}

static void update_gauges(struct cq_cluster *cluster, int64_t at_ns)
{
	struct cq_peer_net *peers = cq_daemon_peers(cluster->daemon);
	uint32_t lost = 0;
	uint32_t i;

	for (i = 0; i < cq_membership_count(cluster->membership); i++)
		lost += cq_membership_get(cluster->membership, i)->state ==
			CQ_MEMBER_DEAD;
	cq_gauge_set(cluster->members_live,
		     cq_membership_live_count(cluster->membership));
	cq_gauge_set(cluster->members_lost, lost);
	cq_gauge_set(cluster->revision,
		     cq_settings_revision(cluster->settings));
	cq_gauge_set(cluster->behind,
		     cq_cluster_settings_behind_ns(cluster, at_ns) /
			     CQ_NS_PER_MS);
	cq_gauge_set(cluster->bytes_sent,
		     (int64_t)cq_peer_net_bytes_sent(peers));
	cq_gauge_set(cluster->bytes_received,
		     (int64_t)cq_peer_net_bytes_received(peers));
	cq_gauge_set(cluster->store_direct,
		     cq_store_relay_is_direct(cluster->relay));
	cq_gauge_set(cluster->store_relayed,
		     (int64_t)cq_store_relay_relayed_count(cluster->relay));
}

static bool is_behind(const struct cq_cluster *cluster)
{
	int64_t own = cq_settings_revision(cluster->settings);
	uint32_t i;

	for (i = 0; i < cq_membership_count(cluster->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(cluster->membership, i);

		if (cq_member_is_live(member) &&
		    member->settings_revision > own)
			return true;
	}
	return false;
}

static void on_tick(void *ctx, int64_t at_ns)
{
	struct cq_cluster *cluster = ctx;
	const struct cq_host_list *list = cq_daemon_host_list(cluster->daemon);

	cq_membership_tick(cluster->membership, at_ns);
	cq_settings_sync_tick(cluster->sync, at_ns);
	cq_store_relay_tick(cluster->relay, at_ns);
	if (!cluster->host_list_pending &&
	    at_ns >= cluster->host_list_next_ns) {
		cluster->host_list_pending = true;
		cluster->host_list_next_ns = at_ns + HOST_LIST_INTERVAL_NS;
		list->ops->fetch(list->self, HOST_LIST_TIMEOUT_MS, on_hosts,
				 cluster);
	}
	if (!is_behind(cluster))
		cluster->behind_since_ns = 0;
	else if (!cluster->behind_since_ns)
		cluster->behind_since_ns = at_ns;
	update_gauges(cluster, at_ns);
}

static const char *ready_check(void *ctx)
{
	const struct cq_cluster *cluster = ctx;

	return cq_settings_sync_ready(cluster->sync)
		       ? NULL
		       : "no settings yet: neither the store nor a peer has "
			 "answered";
}

struct cq_daemon *cq_cluster_daemon(struct cq_cluster *cluster)
{
	return cluster->daemon;
}

struct cq_membership *cq_cluster_membership(struct cq_cluster *cluster)
{
	return cluster->membership;
}

const struct cq_settings *cq_cluster_settings(const struct cq_cluster *cluster)
{
	return cluster->settings;
}

struct cq_settings_sync *cq_cluster_settings_sync(struct cq_cluster *cluster)
{
	return cluster->sync;
}

const struct cq_store *cq_cluster_store(struct cq_cluster *cluster)
{
	return cq_store_relay_store(cluster->relay);
}

bool cq_cluster_store_direct(const struct cq_cluster *cluster)
{
	return cq_store_relay_is_direct(cluster->relay);
}

void cq_cluster_on_settings(struct cq_cluster *cluster,
			    cq_cluster_settings_fn *fn, void *ctx)
{
	struct listener listener = { .fn.settings = fn, .ctx = ctx };

	g_array_append_val(cluster->on_settings, listener);
}

void cq_cluster_on_member(struct cq_cluster *cluster, cq_cluster_member_fn *fn,
			  void *ctx)
{
	struct listener listener = { .fn.member = fn, .ctx = ctx };

	g_array_append_val(cluster->on_member, listener);
}

void cq_cluster_on_contact(struct cq_cluster *cluster,
			   cq_cluster_contact_fn *fn, void *ctx)
{
	struct listener listener = { .fn.contact = fn, .ctx = ctx };

	g_array_append_val(cluster->on_contact, listener);
}

int64_t cq_cluster_settings_behind_ns(const struct cq_cluster *cluster,
				      int64_t at_ns)
{
	/* The process may have caught up since the last tick. */
	if (!cluster->behind_since_ns || !is_behind(cluster))
		return 0;
	return at_ns - cluster->behind_since_ns;
}
