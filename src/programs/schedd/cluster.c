#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "programs/schedd/schedd.h"

int64_t schedd_now_ns(const struct schedd *s)
{
	return cq_clock_now_ns(cq_daemon_clock(s->daemon));
}

static void send_peer(void *ctx, const char *address, enum cq_peer_kind kind,
		      uint64_t correlation, const uint8_t *payload, size_t len)
{
	struct schedd *s = ctx;

	cq_peer_net_send(cq_daemon_peers(s->daemon), address, kind, correlation,
			 payload, len);
}

static void on_member_revision(void *ctx, const struct cq_member *member,
			       int64_t now_ns)
{
	struct schedd *s = ctx;

	if (s->sync)
		cq_settings_sync_member_revision(s->sync, member, now_ns);
}

static void on_settings(void *ctx, const char *key, int64_t revision,
			const char *fault)
{
	struct schedd *s = ctx;

	cq_membership_set_settings_revision(s->membership,
					    cq_settings_revision(s->settings));
	s->intent_changed = true;
	cq_log_event(fault ? CQ_LOG_ERROR : CQ_LOG_INFO, "settings_in_force",
		     "{s:s,s:I,s:s}", "key", key, "revision",
		     (json_int_t)revision, "fault", fault ? fault : "");
}

static void on_ownership(void *ctx, enum cq_ownership_state state,
			 int64_t epoch)
{
	struct schedd *s = ctx;

	cq_log_event(CQ_LOG_INFO, "ownership", "{s:s,s:I}", "state",
		     cq_ownership_state_string(state), "epoch",
		     (json_int_t)epoch);
	schedd_jobs_owner_changed(s);
}

static void on_member_message(void *ctx, const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	cq_membership_receive(s->membership, message, schedd_now_ns(s), NULL);
}

static void on_settings_message(void *ctx,
				const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	cq_settings_sync_receive(s->sync, message, schedd_now_ns(s), NULL);
}

static void on_relay_message(void *ctx, const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	cq_store_relay_receive(s->relay, message, schedd_now_ns(s), NULL);
}

static void on_handover_message(void *ctx,
				const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	cq_ownership_receive(s->ownership, message, schedd_now_ns(s), NULL);
}

static void on_tick(void *ctx, int64_t now_ns)
{
	struct schedd *s = ctx;

	if (!s->left)
		cq_membership_tick(s->membership, now_ns);
	cq_store_relay_tick(s->relay, now_ns);
	cq_settings_sync_tick(s->sync, now_ns);
	cq_ownership_tick(s->ownership, now_ns);
	if (s->intent_changed) {
		s->intent_changed = false;
		schedd_intent_apply(s, now_ns);
	}
}

static const char *not_ready(void *ctx)
{
	struct schedd *s = ctx;

	return cq_settings_sync_ready(s->sync) ? NULL : "no settings held yet";
}

/* Finishes commands in flight, names a successor, then leaves. */
static bool drain(void *ctx)
{
	struct schedd *s = ctx;
	int64_t now_ns = schedd_now_ns(s);

	cq_controller_drain(s->controller);
	if (cq_job_calls_open(s->job_calls))
		return false;
	if (!s->handing_over) {
		if (cq_controller_in_flight(s->controller))
			return false;
		s->handing_over = true;
		cq_ownership_hand_over(s->ownership, NULL, now_ns);
	}
	if (cq_ownership_state(s->ownership) != CQ_OWNERSHIP_STOPPED)
		return false;
	if (!s->left) {
		s->left = true;
		cq_membership_leave(s->membership, now_ns);
		/* The next call lets the loop send the messages. */
		return false;
	}
	return true;
}

static void open_membership(struct schedd *s, uint64_t seed)
{
	static const struct cq_membership_ops ops = {
		.send = send_peer,
		.settings_revision = on_member_revision,
	};
	const struct cq_config *config = cq_daemon_config(s->daemon);
	struct cq_membership_options options;
	char **seeds = cq_config_list(config, "seeds");
	struct cq_member *self = &options.self;

	cq_membership_options_init(&options);
	options.seed = seed;
	g_strlcpy(self->id, cq_daemon_id(s->daemon), sizeof(self->id));
	g_strlcpy(self->data_centre, cq_daemon_data_centre(s->daemon),
		  sizeof(self->data_centre));
	g_strlcpy(self->address, cq_config_string(config, "peer-address"),
		  sizeof(self->address));
	g_strlcpy(self->operator_address,
		  cq_config_string(config, "operator-address"),
		  sizeof(self->operator_address));
	self->role = CQ_ROLE_SCHEDD;
	self->incarnation = cq_daemon_incarnation(s->daemon);
	self->index = (uint32_t)cq_config_integer(config, "index");
	s->membership =
		cq_membership_create(&options, &ops, s, schedd_now_ns(s));
	cq_membership_set_seeds(s->membership, (const char *const *)seeds,
				g_strv_length(seeds));
}

static void open_settings(struct schedd *s, uint64_t seed)
{
	static const struct cq_store_relay_ops relay_ops = { send_peer };
	static const struct cq_settings_sync_ops sync_ops = {
		.send = send_peer,
		.changed = on_settings,
	};
	struct cq_store_relay_options relay;
	struct cq_settings_sync_options sync;

	cq_store_relay_options_init(&relay);
	relay.clock = cq_daemon_clock(s->daemon);
	relay.seed = seed;
	s->relay = cq_store_relay_create(&relay, cq_daemon_store(s->daemon),
					 s->membership, &relay_ops, s);
	s->settings = cq_settings_create();
	cq_settings_sync_options_init(&sync);
	sync.clock = cq_daemon_clock(s->daemon);
	sync.seed = seed;
	s->sync = cq_settings_sync_create(&sync, cq_settings_sync_relay(),
					  s->settings, s->membership,
					  cq_store_relay_store(s->relay),
					  &sync_ops, s, schedd_now_ns(s));
}

static void open_ownership(struct schedd *s, uint64_t seed)
{
	static const struct cq_ownership_ops ops = {
		.send = send_peer,
		.changed = on_ownership,
	};
	struct cq_ownership_options options;

	cq_ownership_options_init(&options);
	options.clock = cq_daemon_clock(s->daemon);
	options.seed = seed;
	s->ownership = cq_ownership_create(&options, s->membership,
					   cq_store_relay_store(s->relay), &ops,
					   s, schedd_now_ns(s));
	s->owner_seen_ns = schedd_now_ns(s);
}

void schedd_cluster_open(struct schedd *s)
{
	static const enum cq_peer_kind member_kinds[] = { CQ_PEER_PING,
							  CQ_PEER_PING_REQ,
							  CQ_PEER_ACK };
	static const enum cq_peer_kind settings_kinds[] = {
		CQ_PEER_SETTINGS_CHANGE, CQ_PEER_SETTINGS_PULL,
		CQ_PEER_SETTINGS_STATE
	};
	uint64_t seed = cq_daemon_incarnation(s->daemon) ^
			g_str_hash(cq_daemon_id(s->daemon));
	size_t i;

	open_membership(s, seed);
	open_settings(s, seed + 1);
	open_ownership(s, seed + 2);
	for (i = 0; i < G_N_ELEMENTS(member_kinds); i++)
		cq_daemon_on_peer(s->daemon, member_kinds[i], on_member_message,
				  s);
	for (i = 0; i < G_N_ELEMENTS(settings_kinds); i++)
		cq_daemon_on_peer(s->daemon, settings_kinds[i],
				  on_settings_message, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_STORE_RELAY, on_relay_message, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_STORE_RELAY_ANSWER,
			  on_relay_message, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_HANDOVER, on_handover_message, s);
	cq_daemon_add_tick(s->daemon, on_tick, s);
	cq_daemon_add_ready_check(s->daemon, not_ready, s);
	cq_daemon_add_drain(s->daemon, drain, s);
}

void schedd_cluster_close(struct schedd *s)
{
	cq_ownership_destroy(s->ownership);
	cq_settings_sync_destroy(s->sync);
	cq_store_relay_destroy(s->relay);
	cq_settings_destroy(s->settings);
	cq_membership_destroy(s->membership);
}
