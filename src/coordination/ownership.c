#include "coordination/ownership_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

static bool parse_value(const char *text, struct owner_value *value);
static bool is_candidate(const struct cq_ownership *o);
static void schedule_acquisition(struct cq_ownership *o, int64_t now_ns);
static void handle_key_change(struct cq_ownership *o, int64_t now_ns);
static void on_read(void *ctx, const struct cq_store_result *result);
static void on_watch(void *ctx, const struct cq_store_result *result);
static void watch_failed(struct cq_ownership *o);
static void acquire(struct cq_ownership *o, int64_t now_ns);
static void on_grant(void *ctx, const struct cq_store_result *result);
static void create_key(struct cq_ownership *o);
static void on_create(void *ctx, const struct cq_store_result *result);
static void on_read_back(void *ctx, const struct cq_store_result *result);
static void acquire_failed(struct cq_ownership *o);
static void renew(struct cq_ownership *o, int64_t now_ns);
static void on_renewal(void *ctx, const struct cq_store_result *result);

static const char *const state_strings[] = {
	[CQ_OWNERSHIP_STANDBY] = "standby",
	[CQ_OWNERSHIP_ACQUIRING] = "acquiring",
	[CQ_OWNERSHIP_OWNER] = "owner",
	[CQ_OWNERSHIP_LAPSED] = "lapsed",
	[CQ_OWNERSHIP_HANDING] = "handing",
	[CQ_OWNERSHIP_SUCCEEDING] = "succeeding",
	[CQ_OWNERSHIP_STOPPED] = "stopped",
};

const char *cq_ownership_state_string(enum cq_ownership_state state)
{
	if ((unsigned)state >= G_N_ELEMENTS(state_strings))
		return "?";
	return state_strings[state];
}

void cq_ownership_options_init(struct cq_ownership_options *options)
{
	memset(options, 0, sizeof(*options));
	options->clock = cq_clock_system();
	options->lease_ms = 5000;
	options->renew_interval_ns = CQ_NS_PER_S;
	/*
	 * Covers clock drift within a lease and commands that are slow to reach
	 * the worker.
	 */
	options->margin_ns = 500 * CQ_NS_PER_MS;
	options->call_timeout_ms = 2000;
	/*
	 * If a watch's answer is lost, a takeover is delayed by this time plus
	 * 1 s.
	 */
	options->watch_wait_ms = 2000;
	options->permit_ns = 2 * CQ_NS_PER_S;
	options->max_candidates = 3;
	options->takeover_jitter_ns = 100 * CQ_NS_PER_MS;
	options->hand_over_timeout_ns = 2 * CQ_NS_PER_S;
}

struct cq_ownership *cq_ownership_create(
	const struct cq_ownership_options *options,
	struct cq_membership *membership, const struct cq_store *store,
	const struct cq_ownership_ops *ops, void *ctx, int64_t now_ns)
{
	struct cq_ownership *o = g_new0(struct cq_ownership, 1);
	const struct cq_member *self = cq_membership_self(membership);
	struct cq_retry_options retry;

	assert(options->margin_ns < (int64_t)options->lease_ms * CQ_NS_PER_MS);
	assert(self->data_centre[0]);
	o->options = *options;
	o->ops = *ops;
	o->ctx = ctx;
	o->membership = membership;
	o->store = store;
	o->prng.state = options->seed;
	cq_retry_options_init(&retry);
	retry.base_ns = 200 * CQ_NS_PER_MS;
	retry.max_ns = CQ_NS_PER_S;
	/*
	 * The store relay already has a circuit breaker in front of the store.
	 */
	retry.breaker_failures = 0;
	o->retry = cq_retry_create(&retry, options->seed + 1);
	g_strlcpy(o->id, self->id, sizeof(o->id));
	g_strlcpy(o->data_centre, self->data_centre, sizeof(o->data_centre));
	o->process_incarnation = self->incarnation;
	g_snprintf(o->key, sizeof(o->key), "%s%s", CQ_OWNERSHIP_PREFIX,
		   o->data_centre);
	g_snprintf(o->settings_key, sizeof(o->settings_key),
		   "settings/data-centres/%s", o->data_centre);
	o->next_watch_ns = now_ns;
	return o;
}

void cq_ownership_destroy(struct cq_ownership *o)
{
	struct cq_store_call *calls[4];
	size_t i;

	if (!o)
		return;
	calls[0] = o->watch;
	calls[1] = o->call;
	calls[2] = o->renewal;
	calls[3] = o->permit_call;
	for (i = 0; i < G_N_ELEMENTS(calls); i++)
		if (calls[i])
			o->store->ops->cancel(o->store->self, calls[i]);
	cq_retry_destroy(o->retry);
	g_free(o);
}

int64_t cq_ownership_clock_ns(const struct cq_ownership *o)
{
	return cq_clock_now_ns(o->options.clock);
}

char *cq_ownership_encode_value(const char *holder, uint64_t incarnation,
				uint64_t sequence)
{
	json_t *root = json_pack("{s:s,s:I,s:I}", "holder", holder,
				 "incarnation", (json_int_t)incarnation,
				 "sequence", (json_int_t)sequence);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static bool parse_value(const char *text, struct owner_value *value)
{
	json_t *root = text ? json_loads(text, 0, NULL) : NULL;
	const char *holder = NULL;
	json_int_t incarnation = 0, sequence = 0;
	bool ok = root && !json_unpack(root, "{s:s,s:I,s:I}", "holder", &holder,
				       "incarnation", &incarnation, "sequence",
				       &sequence);

	memset(value, 0, sizeof(*value));
	if (ok) {
		g_strlcpy(value->holder, holder, sizeof(value->holder));
		value->incarnation = (uint64_t)incarnation;
		value->sequence = (uint64_t)sequence;
	} else {
		/*
		 * The key exists, so the data centre has an owner, but its id
		 * cannot be decoded.
		 */
		g_strlcpy(value->holder, "?", sizeof(value->holder));
	}
	json_decref(root);
	return ok;
}

void cq_ownership_set_state(struct cq_ownership *o,
			    enum cq_ownership_state state)
{
	int64_t epoch = state == CQ_OWNERSHIP_OWNER ? o->epoch : 0;

	if (o->state == state)
		return;
	o->state = state;
	/*
	 * A lapsed owner keeps its announced epoch: it is still the process
	 * most likely to watch the settings.
	 */
	if (state != CQ_OWNERSHIP_LAPSED)
		cq_membership_set_owner_epoch(o->membership, epoch,
					      cq_ownership_clock_ns(o));
	if (o->ops.changed)
		o->ops.changed(o->ctx, state, epoch);
}

void cq_ownership_observe(struct cq_ownership *o,
			  const struct cq_store_entry *entry, int64_t revision)
{
	/*
	 * Answers may arrive out of order; an older view never replaces a newer
	 * one.
	 */
	if (o->key_known && revision < o->observed_revision)
		return;
	o->key_known = true;
	o->observed_revision = revision;
	if (!entry || !entry->value) {
		o->key_revision = 0;
		o->key_lease = 0;
		memset(&o->holder, 0, sizeof(o->holder));
		return;
	}
	o->key_revision = entry->revision;
	o->key_lease = entry->lease_id;
	o->last_epoch = MAX(o->last_epoch, entry->revision);
	parse_value(entry->value, &o->holder);
}

bool cq_ownership_holds_key(const struct cq_ownership *o)
{
	/*
	 * The lease must match too: a key that a delayed write attached to an
	 * earlier lease of this process would disappear when that lease
	 * expires, because nobody renews it.
	 */
	return o->key_revision && o->lease_id && o->key_lease == o->lease_id &&
	       !strcmp(o->holder.holder, o->id) &&
	       o->holder.incarnation == o->process_incarnation;
}

void cq_ownership_become_owner(struct cq_ownership *o, int64_t now_ns)
{
	o->epoch = o->key_revision;
	o->last_epoch = MAX(o->last_epoch, o->epoch);
	o->acquire_ns = 0;
	o->acquire_failures = 0;
	o->next_renewal_ns =
		MIN(o->next_renewal_ns, now_ns + o->options.renew_interval_ns);
	cq_ownership_set_state(o, CQ_OWNERSHIP_OWNER);
}

void cq_ownership_stand_by(struct cq_ownership *o, int64_t now_ns)
{
	if (o->renewal)
		o->store->ops->cancel(o->store->self, o->renewal);
	o->renewal = NULL;
	o->lease_id = 0;
	o->deadline_ns = 0;
	o->epoch = 0;
	o->acquire_ns = 0;
	o->read_back = false;
	/* The key is read anew, without delay, before any further decision. */
	if (o->watch)
		o->store->ops->cancel(o->store->self, o->watch);
	o->watch = NULL;
	o->key_known = false;
	o->next_watch_ns = now_ns;
	cq_ownership_set_state(o, o->stopping ? CQ_OWNERSHIP_STOPPED
					      : CQ_OWNERSHIP_STANDBY);
}

static bool is_candidate(const struct cq_ownership *o)
{
	return cq_membership_schedd_rank(o->membership) <
	       o->options.max_candidates;
}

/*
 * Schedules the acquisition with a delay that grows with the rank, plus jitter.
 */
static void schedule_acquisition(struct cq_ownership *o, int64_t now_ns)
{
	int64_t jitter_ns = o->options.takeover_jitter_ns;

	if (o->acquire_ns || o->stopping)
		return;
	o->acquire_ns =
		now_ns +
		(int64_t)cq_membership_schedd_rank(o->membership) * jitter_ns +
		(int64_t)cq_prng_below(&o->prng, (uint64_t)jitter_ns);
}

/* Updates the state after the key was observed. */
static void handle_key_change(struct cq_ownership *o, int64_t now_ns)
{
	bool holds_key = cq_ownership_holds_key(o);

	switch (o->state) {
	case CQ_OWNERSHIP_STANDBY:
		if (!o->key_revision)
			schedule_acquisition(o, now_ns);
		else
			o->acquire_ns = 0;
		break;
	case CQ_OWNERSHIP_SUCCEEDING:
		if (holds_key) {
			cq_ownership_become_owner(o, now_ns);
		} else if (!o->key_revision) {
			/*
			 * The owner aborted the hand-over and revoked its
			 * lease.
			 */
			cq_ownership_set_state(o, CQ_OWNERSHIP_ACQUIRING);
			o->acquire_ns = now_ns;
		}
		break;
	case CQ_OWNERSHIP_OWNER:
	case CQ_OWNERSHIP_LAPSED:
		if (!holds_key)
			cq_ownership_stand_by(o, now_ns);
		break;
	case CQ_OWNERSHIP_ACQUIRING:
	case CQ_OWNERSHIP_HANDING:
	case CQ_OWNERSHIP_STOPPED:
		break;
	}
}

static void watch_failed(struct cq_ownership *o)
{
	o->watch_failures++;
	o->next_watch_ns = cq_ownership_clock_ns(o) +
			   cq_retry_backoff_ns(o->retry, o->watch_failures);
}

static void on_read(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;
	int64_t now_ns = cq_ownership_clock_ns(o);

	o->watch = NULL;
	if (result->status == CQ_STORE_OK && result->entry_count == 1) {
		cq_ownership_observe(o, &result->entries[0], result->revision);
	} else if (result->status == CQ_STORE_NOT_FOUND) {
		cq_ownership_observe(o, NULL, result->revision);
	} else {
		watch_failed(o);
		return;
	}
	o->watch_failures = 0;
	handle_key_change(o, now_ns);
}

static void on_watch(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;
	int64_t now_ns = cq_ownership_clock_ns(o);
	size_t i;

	o->watch = NULL;
	if (result->status == CQ_STORE_UNAVAILABLE ||
	    result->status == CQ_STORE_UNKNOWN) {
		watch_failed(o);
		return;
	}
	if (result->status != CQ_STORE_OK) {
		/*
		 * The store cannot watch from this revision (too old or
		 * unknown), so the key is read instead.
		 */
		o->key_known = false;
		watch_failed(o);
		return;
	}
	o->watch_failures = 0;
	for (i = 0; i < result->entry_count; i++) {
		const struct cq_store_entry *entry = &result->entries[i];

		/* The watched prefix also matches longer data centre names. */
		if (strcmp(entry->key, o->key) != 0 ||
		    entry->revision <= o->observed_revision)
			continue;
		cq_ownership_observe(o, entry, entry->revision);
		handle_key_change(o, now_ns);
		if (!o->key_known)
			return;
	}
}

static void acquire_failed(struct cq_ownership *o)
{
	o->acquire_failures++;
	o->acquire_ns = cq_ownership_clock_ns(o) +
			cq_retry_backoff_ns(o->retry, o->acquire_failures);
}

static void on_grant(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;

	o->call = NULL;
	if (o->stopping) {
		cq_ownership_stand_by(o, cq_ownership_clock_ns(o));
		return;
	}
	if (result->status != CQ_STORE_OK) {
		/*
		 * If a lease was granted but its answer was lost, the lease
		 * expires by itself.
		 */
		acquire_failed(o);
		return;
	}
	o->lease_id = result->lease_id;
	o->deadline_ns =
		o->grant_sent_ns + (int64_t)o->options.lease_ms * CQ_NS_PER_MS;
	o->next_renewal_ns = o->grant_sent_ns + o->options.renew_interval_ns;
	create_key(o);
}

static void create_key(struct cq_ownership *o)
{
	char *value = cq_ownership_encode_value(o->id, o->process_incarnation,
						++o->sequence);

	o->call = o->store->ops->put(o->store->self, o->key, value, 0,
				     o->lease_id, o->options.call_timeout_ms,
				     on_create, o);
	free(value);
}

static void on_create(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;
	int64_t now_ns = cq_ownership_clock_ns(o);
	struct cq_store_entry written = { .key = o->key,
					  .revision = result->revision,
					  .lease_id = o->lease_id };
	char *value;

	o->call = NULL;
	if (o->state != CQ_OWNERSHIP_ACQUIRING)
		return;
	switch (result->status) {
	case CQ_STORE_OK:
		value = cq_ownership_encode_value(o->id, o->process_incarnation,
						  o->sequence);
		written.value = value;
		cq_ownership_observe(o, &written, result->revision);
		free(value);
		break;
	case CQ_STORE_CONFLICT:
		cq_ownership_observe(
			o, result->entry_count ? &result->entries[0] : NULL,
			result->revision);
		break;
	case CQ_STORE_UNKNOWN:
		o->read_back = true;
		o->acquire_ns = now_ns;
		return;
	case CQ_STORE_NOT_FOUND:
		o->lease_id = 0;
		acquire_failed(o);
		return;
	case CQ_STORE_UNAVAILABLE:
	case CQ_STORE_INVALID:
	case CQ_STORE_COMPACTED:
	case CQ_STORE_TOO_LARGE:
		acquire_failed(o);
		return;
	}
	if (cq_ownership_holds_key(o))
		cq_ownership_become_owner(o, now_ns);
	else
		cq_ownership_stand_by(o, now_ns);
}

/*
 * Handles the read after a lost answer; the value shows whether the write took
 * effect.
 */
static void on_read_back(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;
	int64_t now_ns = cq_ownership_clock_ns(o);

	o->call = NULL;
	if (o->state != CQ_OWNERSHIP_ACQUIRING)
		return;
	if (result->status == CQ_STORE_OK && result->entry_count == 1) {
		cq_ownership_observe(o, &result->entries[0], result->revision);
		if (cq_ownership_holds_key(o))
			cq_ownership_become_owner(o, now_ns);
		else
			cq_ownership_stand_by(o, now_ns);
		return;
	}
	/*
	 * If the key is absent, the write whose answer was lost may still
	 * arrive. Creating the key again is safe, because only one of the two
	 * writes can succeed.
	 */
	if (result->status == CQ_STORE_NOT_FOUND)
		o->read_back = false;
	acquire_failed(o);
}

static void acquire(struct cq_ownership *o, int64_t now_ns)
{
	cq_ownership_set_state(o, CQ_OWNERSHIP_ACQUIRING);
	o->acquire_ns = 0;
	if (o->lease_id && now_ns >= o->deadline_ns) {
		cq_ownership_stand_by(o, now_ns);
		return;
	}
	if (o->read_back) {
		o->call = o->store->ops->get(o->store->self, o->key,
					     o->options.call_timeout_ms,
					     on_read_back, o);
	} else if (o->lease_id) {
		create_key(o);
	} else {
		o->grant_sent_ns = now_ns;
		o->call = o->store->ops->lease_grant(o->store->self,
						     o->options.lease_ms,
						     o->options.call_timeout_ms,
						     on_grant, o);
	}
}

static void renew(struct cq_ownership *o, int64_t now_ns)
{
	o->renewal_sent_ns = now_ns;
	o->next_renewal_ns = now_ns + o->options.renew_interval_ns;
	o->renewal = o->store->ops->lease_keepalive(o->store->self, o->lease_id,
						    o->options.call_timeout_ms,
						    on_renewal, o);
}

static void on_renewal(void *ctx, const struct cq_store_result *result)
{
	struct cq_ownership *o = ctx;
	int64_t now_ns = cq_ownership_clock_ns(o);

	o->renewal = NULL;
	if (result->status == CQ_STORE_OK) {
		o->renewal_failures = 0;
		/*
		 * The lease counts from the send of the renewal, because the
		 * store cannot start counting earlier.
		 */
		o->deadline_ns =
			MAX(o->deadline_ns,
			    o->renewal_sent_ns + (int64_t)o->options.lease_ms *
							 CQ_NS_PER_MS);
		if (o->state == CQ_OWNERSHIP_LAPSED &&
		    now_ns < o->deadline_ns - o->options.margin_ns)
			cq_ownership_set_state(o, CQ_OWNERSHIP_OWNER);
		return;
	}
	if (result->status == CQ_STORE_NOT_FOUND) {
		/* A pending call belongs to the lost lease. */
		if (o->call) {
			o->store->ops->cancel(o->store->self, o->call);
			o->call = NULL;
		}
		cq_ownership_stand_by(o, now_ns);
		return;
	}
	o->renewal_failures++;
	o->next_renewal_ns =
		now_ns + cq_retry_backoff_ns(o->retry, o->renewal_failures);
}

void cq_ownership_tick(struct cq_ownership *o, int64_t now_ns)
{
	if (o->state == CQ_OWNERSHIP_STOPPED)
		return;
	if (o->state == CQ_OWNERSHIP_OWNER &&
	    now_ns >= o->deadline_ns - o->options.margin_ns)
		cq_ownership_set_state(o, CQ_OWNERSHIP_LAPSED);
	cq_ownership_hand_over_tick(o, now_ns);
	if (o->lease_id && !o->renewal && now_ns >= o->next_renewal_ns &&
	    o->state != CQ_OWNERSHIP_STOPPED)
		renew(o, now_ns);
	if (o->stopping)
		return;
	if (!o->watch && now_ns >= o->next_watch_ns &&
	    (o->lease_id || is_candidate(o))) {
		if (o->key_known)
			o->watch = o->store->ops->watch(
				o->store->self, o->key, o->observed_revision,
				o->options.watch_wait_ms, on_watch, o);
		else
			o->watch = o->store->ops->get(
				o->store->self, o->key,
				o->options.call_timeout_ms, on_read, o);
	}
	if (o->acquire_ns && now_ns >= o->acquire_ns && !o->call &&
	    (o->state == CQ_OWNERSHIP_STANDBY ||
	     o->state == CQ_OWNERSHIP_ACQUIRING))
		acquire(o, now_ns);
}

enum cq_ownership_state cq_ownership_state(const struct cq_ownership *o)
{
	return o->state;
}

int64_t cq_ownership_epoch(const struct cq_ownership *o)
{
	return o->state == CQ_OWNERSHIP_OWNER ? o->epoch : 0;
}

int64_t cq_ownership_last_epoch(const struct cq_ownership *o)
{
	return o->last_epoch;
}

const char *cq_ownership_holder(const struct cq_ownership *o)
{
	return o->holder.holder;
}

bool cq_ownership_may_command(const struct cq_ownership *o, int64_t now_ns)
{
	return o->state == CQ_OWNERSHIP_OWNER &&
	       now_ns < o->deadline_ns - o->options.margin_ns;
}

int64_t cq_ownership_deadline_ns(const struct cq_ownership *o)
{
	if (o->state != CQ_OWNERSHIP_OWNER)
		return 0;
	return o->deadline_ns - o->options.margin_ns;
}
