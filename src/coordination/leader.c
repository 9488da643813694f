#include "chestnutquay/leader.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/follower.h"
#include "chestnutquay/log.h"
#include "chestnutquay/round_trip.h"

/* The deadline for commands is this long before the store lease expires. */
#define DEADLINE_MARGIN_NS (INT64_C(50) * CQ_NS_PER_MS)
/* Number of renewals during one lease duration. */
#define RENEWALS_PER_LEASE 4
#define RETRY_S 0.15
#define RENEWAL_RETRY_S 0.05
#define MIN_RENEWAL_TIMEOUT_MS 120
/* Random delay before a campaign; makes simultaneous campaigns unlikely. */
#define CAMPAIGN_JITTER_S 0.04

enum leader_step {
	STEP_FOLLOWING, /* another host leads, or the holder is not known yet */
	STEP_GRANTING_LEASE, /* requesting a store lease */
	STEP_READING_HEAD,   /* reading the head key */
	STEP_ACQUIRING,	     /* writing the holder key and the head key */
	STEP_LEADING,
	STEP_RESIGNED,
};

struct cq_leader {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_leader_ops *ops;
	void *ctx;
	char *identity;
	char *incarnation; /* identity and a random number of this process */
	char *holder_key;
	char *head_key;
	uint32_t lease_ms;
	uint32_t call_timeout_ms;
	double campaign_delay_s;
	struct cq_follower *follower;
	struct cq_store_call *call;
	ev_timer timer;
	enum leader_step step;
	char *holder_value; /* last value seen; NULL: the key is absent */
	int64_t holder_revision;
	int64_t head_revision;
	/* Revision of the holder key when a campaign began; 0: absent. */
	int64_t expected_revision;
	int64_t epoch;
	int64_t lease_id;
	struct cq_round_trip round_trip; /* of lease renewals */
	int64_t sent_ns;
	int64_t deadline_ns;
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events);
static void schedule(struct cq_leader *l, double after_s);
static void schedule_campaign(struct cq_leader *l);
static void campaign_if_allowed(struct cq_leader *l);
static bool may_campaign(const struct cq_leader *l);
static void send_grant(struct cq_leader *l);
static void on_grant(void *ctx, const struct cq_store_result *result);
static void send_read(struct cq_leader *l);
static void on_read(void *ctx, const struct cq_store_result *result);
static void revoke_unused_lease(struct cq_leader *l);
static void on_lease_revoked(void *ctx, const struct cq_store_result *result);
static void send_acquire(struct cq_leader *l);
static void resend_acquire(struct cq_leader *l);
static void on_acquire(void *ctx, const struct cq_store_result *result);
static void become_leader(struct cq_leader *l, int64_t head_revision);
static bool holder_is_self(struct cq_leader *l,
			   const struct cq_store_result *result,
			   int64_t *head_revision);
static void send_renewal(struct cq_leader *l);
static void on_renewal(void *ctx, const struct cq_store_result *result);
static void step_down(struct cq_leader *l, const char *why);
static void on_holder_changed(void *ctx, const struct cq_store_entry *entry);
static void on_holder_removed(void *ctx, const char *key);
static void on_holder_synced(void *ctx);
static void cancel_call(struct cq_leader *l);

static const struct cq_follower_ops follower_ops = {
	.changed = on_holder_changed,
	.removed = on_holder_removed,
	.synced = on_holder_synced,
};

char *cq_leader_format_head(int64_t epoch, uint64_t sequence)
{
	return g_strdup_printf("%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT, epoch,
			       sequence);
}

bool cq_leader_parse_head(const char *text, int64_t *epoch, uint64_t *sequence)
{
	char *end;

	*epoch = g_ascii_strtoll(text, &end, 10);
	if (end == text || *end != ' ')
		return false;
	text = end + 1;
	*sequence = g_ascii_strtoull(text, &end, 10);
	return end != text && !*end;
}

struct cq_leader *cq_leader_create(const struct cq_leader_options *options,
				   const struct cq_store *store,
				   const struct cq_leader_ops *ops, void *ctx)
{
	struct cq_leader *l = g_new0(struct cq_leader, 1);
	const struct cq_follower_options follower = {
		.loop = options->loop,
		.clock = options->clock,
		.prefix = options->holder_prefix,
		.wait_ms = options->watch_wait_ms,
		.list_timeout_ms = options->call_timeout_ms,
	};

	l->loop = options->loop;
	l->clock = options->clock;
	l->store = store;
	l->ops = ops;
	l->ctx = ctx;
	l->identity = g_strdup(options->identity);
	l->incarnation = g_strdup_printf("%s %08x%08x", options->identity,
					 g_random_int(), g_random_int());
	l->holder_key = g_strdup_printf("%sholder", options->holder_prefix);
	l->head_key = g_strdup(options->head_key);
	l->lease_ms = options->lease_ms;
	l->campaign_delay_s = options->campaign_delay_ms / (double)CQ_MS_PER_S;
	l->call_timeout_ms = options->call_timeout_ms;
	cq_round_trip_init(&l->round_trip, MIN_RENEWAL_TIMEOUT_MS,
			   options->call_timeout_ms);
	ev_timer_init(&l->timer, on_timer, 0., 0.);
	l->timer.data = l;
	l->follower = cq_follower_create(&follower, store, &follower_ops, l);
	return l;
}

void cq_leader_destroy(struct cq_leader *l)
{
	if (!l)
		return;
	cancel_call(l);
	ev_timer_stop(l->loop, &l->timer);
	cq_follower_destroy(l->follower);
	g_free(l->identity);
	g_free(l->incarnation);
	g_free(l->holder_key);
	g_free(l->head_key);
	g_free(l->holder_value);
	g_free(l);
}

bool cq_leader_is_leading(const struct cq_leader *l)
{
	return l->step == STEP_LEADING;
}

int64_t cq_leader_deadline_ns(const struct cq_leader *l)
{
	return l->step == STEP_LEADING ? l->deadline_ns : 0;
}

bool cq_leader_may_command(const struct cq_leader *l)
{
	return l->step == STEP_LEADING &&
	       cq_clock_now_ns(l->clock) < l->deadline_ns;
}

static void cancel_call(struct cq_leader *l)
{
	if (l->call)
		l->store->ops->cancel(l->store->self, l->call);
	l->call = NULL;
}

static void schedule(struct cq_leader *l, double after_s)
{
	ev_timer_stop(l->loop, &l->timer);
	ev_now_update(l->loop);
	ev_timer_set(&l->timer, after_s, 0.);
	ev_timer_start(l->loop, &l->timer);
}

/* Hosts with more capacity have a shorter delay and are elected first. */
static void schedule_campaign(struct cq_leader *l)
{
	schedule(l, l->campaign_delay_s +
			    g_random_double_range(0, CAMPAIGN_JITTER_S));
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cq_leader *l = timer->data;

	(void)loop;
	(void)events;
	if (l->call)
		return;
	switch (l->step) {
	case STEP_FOLLOWING:
		campaign_if_allowed(l);
		break;
	case STEP_GRANTING_LEASE:
		send_grant(l);
		break;
	case STEP_READING_HEAD:
		send_read(l);
		break;
	case STEP_ACQUIRING:
		send_acquire(l);
		break;
	case STEP_LEADING:
		send_renewal(l);
		break;
	case STEP_RESIGNED:
		break;
	}
}

/* Whether the holder key is absent or was left by an earlier process here. */
static bool may_campaign(const struct cq_leader *l)
{
	const char *at;

	if (!cq_follower_synced(l->follower))
		return false;
	if (!l->holder_value)
		return true;
	at = strchr(l->holder_value, ' ');
	return at && (size_t)(at - l->holder_value) == strlen(l->identity) &&
	       g_str_has_prefix(l->holder_value, l->identity) &&
	       strcmp(l->holder_value, l->incarnation);
}

static void campaign_if_allowed(struct cq_leader *l)
{
	if (l->step != STEP_FOLLOWING || l->call || !may_campaign(l))
		return;
	send_grant(l);
}

static void send_grant(struct cq_leader *l)
{
	l->step = STEP_GRANTING_LEASE;
	l->sent_ns = cq_clock_now_ns(l->clock);
	l->call = l->store->ops->lease_grant(l->store->self, l->lease_ms,
					     l->call_timeout_ms, on_grant, l);
}

static void on_grant(void *ctx, const struct cq_store_result *result)
{
	struct cq_leader *l = ctx;

	l->call = NULL;
	if (result->status != CQ_STORE_OK) {
		l->step = STEP_FOLLOWING;
		schedule(l, RETRY_S);
		return;
	}
	l->lease_id = result->lease_id;
	l->deadline_ns = l->sent_ns + (int64_t)l->lease_ms * CQ_NS_PER_MS -
			 DEADLINE_MARGIN_NS;
	send_read(l);
}

static void send_read(struct cq_leader *l)
{
	l->step = STEP_READING_HEAD;
	l->call = l->store->ops->get(l->store->self, l->head_key,
				     l->call_timeout_ms, on_read, l);
}

static void on_read(void *ctx, const struct cq_store_result *result)
{
	struct cq_leader *l = ctx;
	uint64_t sequence;

	l->call = NULL;
	l->epoch = 0;
	l->head_revision = 0;
	if (result->status == CQ_STORE_OK && result->entry_count == 1 &&
	    result->entries[0].value &&
	    cq_leader_parse_head(result->entries[0].value, &l->epoch,
				 &sequence)) {
		l->head_revision = result->entries[0].revision;
	} else if (result->status != CQ_STORE_NOT_FOUND) {
		cq_log_event(CQ_LOG_WARN, "head_unreadable", "{s:s}", "status",
			     cq_store_status_string(result->status));
		l->step = STEP_FOLLOWING;
		schedule(l, RETRY_S);
		return;
	}
	l->epoch++;
	/* Another host may have been elected meanwhile. */
	if (may_campaign(l)) {
		send_acquire(l);
		return;
	}
	l->step = STEP_FOLLOWING;
	revoke_unused_lease(l);
}

static void on_lease_revoked(void *ctx, const struct cq_store_result *result)
{
	struct cq_leader *l = ctx;

	(void)result;
	l->call = NULL;
	campaign_if_allowed(l);
}

static void revoke_unused_lease(struct cq_leader *l)
{
	l->call = l->store->ops->lease_revoke(l->store->self, l->lease_id,
					      l->call_timeout_ms,
					      on_lease_revoked, l);
}

static void send_acquire(struct cq_leader *l)
{
	l->expected_revision = l->holder_value ? l->holder_revision : 0;
	resend_acquire(l);
}

static void resend_acquire(struct cq_leader *l)
{
	char *head = cq_leader_format_head(l->epoch, 0);
	const struct cq_store_check checks[] = {
		{ l->holder_key, l->expected_revision },
		{ l->head_key, l->head_revision },
	};
	const struct cq_store_put puts[] = {
		{ l->holder_key, l->incarnation, l->lease_id },
		{ l->head_key, head, 0 },
	};
	const struct cq_store_txn txn = {
		.checks = checks,
		.check_count = G_N_ELEMENTS(checks),
		.puts = puts,
		.put_count = G_N_ELEMENTS(puts),
	};

	l->step = STEP_ACQUIRING;
	l->call = l->store->ops->commit(l->store->self, &txn,
					l->call_timeout_ms, on_acquire, l);
	g_free(head);
}

/*
 * Whether the conflict is due to an earlier attempt that got no answer but was
 * executed: then the holder key has this process's value.
 */
static bool holder_is_self(struct cq_leader *l,
			   const struct cq_store_result *result,
			   int64_t *head_revision)
{
	bool own = false;
	size_t i;

	*head_revision = 0;
	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *entry = &result->entries[i];

		if (!entry->value)
			continue;
		if (!strcmp(entry->key, l->holder_key))
			own = !strcmp(entry->value, l->incarnation);
		else if (!strcmp(entry->key, l->head_key))
			*head_revision = entry->revision;
	}
	return own && *head_revision;
}

static void on_acquire(void *ctx, const struct cq_store_result *result)
{
	struct cq_leader *l = ctx;
	int64_t head_revision;

	l->call = NULL;
	if (result->status == CQ_STORE_OK) {
		become_leader(l, result->revision);
		return;
	}
	if (result->status == CQ_STORE_CONFLICT &&
	    holder_is_self(l, result, &head_revision)) {
		become_leader(l, head_revision);
		return;
	}
	/* The revision checks make a retry safe, whoever was elected. */
	if (result->status == CQ_STORE_UNKNOWN &&
	    cq_clock_now_ns(l->clock) < l->deadline_ns) {
		resend_acquire(l);
		return;
	}
	l->step = STEP_FOLLOWING;
	revoke_unused_lease(l);
}

static void become_leader(struct cq_leader *l, int64_t head_revision)
{
	l->step = STEP_LEADING;
	cq_log_event(CQ_LOG_INFO, "leader_elected", "{s:I}", "epoch",
		     (json_int_t)l->epoch);
	schedule(l, (double)l->lease_ms / CQ_MS_PER_S / RENEWALS_PER_LEASE);
	l->ops->elected(l->ctx, l->epoch, head_revision);
}

static void send_renewal(struct cq_leader *l)
{
	l->sent_ns = cq_clock_now_ns(l->clock);
	l->call = l->store->ops->lease_keepalive(
		l->store->self, l->lease_id,
		cq_round_trip_timeout_ms(&l->round_trip), on_renewal, l);
}

static void on_renewal(void *ctx, const struct cq_store_result *result)
{
	struct cq_leader *l = ctx;
	double interval_s =
		(double)l->lease_ms / CQ_MS_PER_S / RENEWALS_PER_LEASE;

	l->call = NULL;
	cq_round_trip_ended(&l->round_trip,
			    cq_clock_now_ns(l->clock) - l->sent_ns,
			    result->status != CQ_STORE_UNKNOWN);
	if (result->status == CQ_STORE_NOT_FOUND) {
		step_down(l, "the store lease has ended");
		return;
	}
	if (result->status == CQ_STORE_OK) {
		l->deadline_ns = l->sent_ns +
				 (int64_t)l->lease_ms * CQ_NS_PER_MS -
				 DEADLINE_MARGIN_NS;
		schedule(l, interval_s);
		return;
	}
	cq_log_event(CQ_LOG_WARN, "leader_renewal_failed", "{s:s,s:I}",
		     "status", cq_store_status_string(result->status),
		     "left_ms",
		     (json_int_t)((l->deadline_ns - cq_clock_now_ns(l->clock)) /
				  CQ_NS_PER_MS));
	schedule(l, result->status == CQ_STORE_UNKNOWN ? RENEWAL_RETRY_S
						       : RETRY_S);
}

static void step_down(struct cq_leader *l, const char *why)
{
	cq_log_event(CQ_LOG_WARN, "leader_deposed", "{s:I,s:s}", "epoch",
		     (json_int_t)l->epoch, "reason", why);
	cancel_call(l);
	l->step = STEP_FOLLOWING;
	schedule(l, RETRY_S);
	l->ops->deposed(l->ctx);
}

void cq_leader_superseded(struct cq_leader *l)
{
	if (l->step == STEP_LEADING)
		step_down(l, "a later epoch has begun");
}

void cq_leader_resign(struct cq_leader *l)
{
	bool led = l->step == STEP_LEADING;
	bool holds_lease = l->lease_id && l->step != STEP_FOLLOWING;

	cancel_call(l);
	ev_timer_stop(l->loop, &l->timer);
	l->step = STEP_RESIGNED;
	if (led)
		l->ops->deposed(l->ctx);
	if (holds_lease)
		l->call = l->store->ops->lease_revoke(l->store->self,
						      l->lease_id,
						      l->call_timeout_ms,
						      on_lease_revoked, l);
	cq_log_event(CQ_LOG_INFO, "leader_resigned", "{s:b}", "led", led);
}

static void on_holder_changed(void *ctx, const struct cq_store_entry *entry)
{
	struct cq_leader *l = ctx;

	if (strcmp(entry->key, l->holder_key)) {
		if (l->ops->noticed)
			l->ops->noticed(l->ctx, entry->key, entry->value);
		return;
	}
	g_free(l->holder_value);
	l->holder_value = g_strdup(entry->value);
	l->holder_revision = entry->revision;
	campaign_if_allowed(l);
}

static void on_holder_removed(void *ctx, const char *key)
{
	struct cq_leader *l = ctx;

	if (strcmp(key, l->holder_key)) {
		if (l->ops->noticed)
			l->ops->noticed(l->ctx, key, NULL);
		return;
	}
	g_clear_pointer(&l->holder_value, g_free);
	if (l->step == STEP_LEADING)
		step_down(l, "the holder key was deleted");
	else if (l->step == STEP_FOLLOWING)
		schedule_campaign(l);
}

static void on_holder_synced(void *ctx)
{
	struct cq_leader *l = ctx;

	if (l->step == STEP_FOLLOWING)
		schedule_campaign(l);
}
