#include <jansson.h>

#include "chestnutquay/log.h"
#include "programs/schedd/schedd.h"

static void send_peer(void *ctx, const char *address, enum cq_peer_kind kind,
		      uint64_t correlation, const uint8_t *payload, size_t len);
static void on_settings(void *ctx, const char *key, int64_t revision,
			const char *fault);
static void on_ownership(void *ctx, enum cq_ownership_state state,
			 int64_t epoch);
static void on_handover_message(void *ctx,
				const struct cq_peer_message *message);
static void on_tick(void *ctx, int64_t now_ns);
static bool drain(void *ctx);

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

static void on_settings(void *ctx, const char *key, int64_t revision,
			const char *fault)
{
	struct schedd *s = ctx;

	(void)key;
	(void)revision;
	(void)fault;
	s->intent_changed = true;
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

static void on_handover_message(void *ctx,
				const struct cq_peer_message *message)
{
	struct schedd *s = ctx;

	cq_ownership_receive(s->ownership, message, schedd_now_ns(s), NULL);
}

static void on_tick(void *ctx, int64_t now_ns)
{
	struct schedd *s = ctx;

	cq_ownership_tick(s->ownership, now_ns);
	if (s->intent_changed) {
		s->intent_changed = false;
		schedd_intent_apply(s, now_ns);
	}
}

/*
 * Completes the commands in flight, then hands ownership over to a successor.
 * Open job API calls don't delay the hand-over, because no task starts until
 * the successor has taken over.
 */
static bool drain(void *ctx)
{
	struct schedd *s = ctx;

	cq_controller_drain(s->controller);
	if (!s->handing_over) {
		if (cq_controller_in_flight(s->controller))
			return false;
		s->handing_over = true;
		cq_ownership_hand_over(s->ownership, NULL, schedd_now_ns(s));
	}
	return cq_ownership_state(s->ownership) == CQ_OWNERSHIP_STOPPED &&
	       !cq_job_calls_open_count(s->job_calls);
}

void schedd_cluster_open(struct schedd *s)
{
	static const struct cq_ownership_ops ops = {
		.send = send_peer,
		.changed = on_ownership,
	};
	struct cq_ownership_options options;

	s->cluster = cq_cluster_create(s->daemon, CQ_ROLE_SCHEDD);
	s->membership = cq_cluster_membership(s->cluster);
	s->settings = cq_cluster_settings(s->cluster);
	s->operator_calls = cq_operator_calls_create(s->cluster);
	s->capacity = cq_capacity_reader_create(s->cluster);
	cq_operator_calls_set_capacity(s->operator_calls,
				       cq_capacity_reader_get, s->capacity);
	cq_ownership_options_init(&options);
	options.clock = cq_daemon_clock(s->daemon);
	options.seed = cq_daemon_incarnation(s->daemon) ^
		       g_str_hash(cq_daemon_id(s->daemon));
	s->ownership = cq_ownership_create(&options, s->membership,
					   cq_cluster_store(s->cluster), &ops,
					   s, schedd_now_ns(s));
	s->last_owner_seen_ns = schedd_now_ns(s);
	cq_cluster_on_settings(s->cluster, on_settings, s);
	cq_daemon_on_peer(s->daemon, CQ_PEER_HANDOVER, on_handover_message, s);
	cq_daemon_add_tick(s->daemon, on_tick, s);
	cq_daemon_add_drain(s->daemon, drain, s);
}

void schedd_cluster_close(struct schedd *s)
{
	cq_ownership_destroy(s->ownership);
	cq_operator_calls_destroy(s->operator_calls);
	cq_capacity_reader_destroy(s->capacity);
	cq_cluster_destroy(s->cluster);
}
