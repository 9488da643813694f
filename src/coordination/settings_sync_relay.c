/*
 * Relay strategy of settings_sync: one watcher in each data centre pushes
 * changes to its peers. A process that sees a higher revision on another member
 * pulls the missing changes.
 */
#include <string.h>

#include "coordination/settings_sync_private.h"
#include "protocol/gen/settings.pb-c.h"

static bool relay_watches(struct cq_settings_sync *sync);
static bool is_preferred_watcher(const struct cq_member *a,
				 const struct cq_member *b);
static void relay_on_change(struct cq_settings_sync *sync, const char *key,
			    const char *document, int64_t previous,
			    int64_t revision, int64_t now_ns);
static void relay_tick(struct cq_settings_sync *sync, int64_t now_ns);
static bool relay_receive(struct cq_settings_sync *sync,
			  const struct cq_peer_message *message, int64_t now_ns,
			  struct cq_error *err);
static void relay_member_revision(struct cq_settings_sync *sync,
				  const struct cq_member *member,
				  int64_t now_ns);
static bool is_peer(const struct cq_settings_sync *sync,
		    const struct cq_member *member);
static void send_change(struct cq_settings_sync *sync, const struct push *push);
static void tick_pushes(struct cq_settings_sync *sync, int64_t now_ns);
static void report(struct cq_settings_sync *sync, struct push *push);
static void record_report(struct cq_settings_sync *sync, int64_t revision,
			  const char *data_centre, uint32_t acknowledged);
static void record_acknowledgement(struct cq_settings_sync *sync,
				   const char *id, int64_t revision);
static const struct cq_member *choose_source(struct cq_settings_sync *sync);
static void pull(struct cq_settings_sync *sync, const char *id,
		 const char *address, int64_t now_ns);
static void answer_pull(struct cq_settings_sync *sync,
			const struct cq_peer_message *message, int64_t after);
static bool add_entry(void *ctx, const char *key, const char *document,
		      int64_t revision);
static void send_state(struct cq_settings_sync *sync, const char *address,
		       uint64_t correlation, const Cq__SettingsState *state);
static void handle_change(struct cq_settings_sync *sync,
			  const struct cq_peer_message *message,
			  const Cq__SettingsChange *change, int64_t now_ns);
static void handle_state(struct cq_settings_sync *sync,
			 const struct cq_peer_message *message,
			 const Cq__SettingsState *state, int64_t now_ns);
static bool set_malformed_error(const struct cq_peer_message *message,
				struct cq_error *err);
static int64_t highest_known_revision(const struct cq_settings_sync *sync);

/* Minimum time for a change to arrive by relay before it is pulled. */
#define PULL_DELAY_NS (200 * CQ_NS_PER_MS)
/* Interval between checks of whether this process is the watcher. */
#define ELECTION_INTERVAL_NS (500 * CQ_NS_PER_MS)
/* Changes pushed at the same time; beyond it the oldest is dropped. */
#define MAX_PUSHES 64

static const struct cq_settings_sync_strategy relay = {
	.name = "relay",
	.watches = relay_watches,
	.on_change = relay_on_change,
	.tick = relay_tick,
	.receive = relay_receive,
	.member_revision = relay_member_revision,
};

const struct cq_settings_sync_strategy *cq_settings_sync_relay(void)
{
	return &relay;
}

/*
 * Whether a is preferred over b as the watcher: first the owner, then a schedd,
 * then the lowest id.
 */
static bool is_preferred_watcher(const struct cq_member *a,
				 const struct cq_member *b)
{
	if (a->owner_epoch != b->owner_epoch)
		return a->owner_epoch > b->owner_epoch;
	if (a->role != b->role)
		return a->role == CQ_ROLE_SCHEDD;
	return strcmp(a->id, b->id) < 0;
}

/*
 * Two processes may both consider themselves the watcher; this only costs a
 * second pending watch call.
 */
static bool relay_watches(struct cq_settings_sync *sync)
{
	const struct cq_member *self = cq_membership_self(sync->membership);
	int64_t now_ns = cq_settings_sync_clock_ns(sync);
	uint32_t i;

	if (now_ns < sync->next_election_ns)
		return sync->elected;
	sync->next_election_ns = now_ns + ELECTION_INTERVAL_NS;
	sync->elected = true;
	for (i = 1; i < cq_membership_count(sync->membership); i++) {
		const struct cq_member *other =
			cq_membership_get(sync->membership, i);

		if (is_peer(sync, other) && is_preferred_watcher(other, self)) {
			sync->elected = false;
			break;
		}
	}
	return sync->elected;
}

static bool is_peer(const struct cq_settings_sync *sync,
		    const struct cq_member *member)
{
	const struct cq_member *self = cq_membership_self(sync->membership);

	return member != self && cq_member_is_live(member) &&
	       !strcmp(member->data_centre, self->data_centre);
}

static void relay_on_change(struct cq_settings_sync *sync, const char *key,
			    const char *document, int64_t previous,
			    int64_t revision, int64_t now_ns)
{
	struct push *push;
	uint64_t sequence;
	uint32_t i;

	/* A starting process reads old settings, which need not be pushed. */
	if (!sync->elected || sync->state == CQ_SETTINGS_SYNC_STARTING)
		return;
	push = g_new0(struct push, 1);
	push->key = g_strdup(key);
	push->document = g_strdup(document);
	push->previous_revision = previous;
	push->revision = revision;
	push->next_send_ns = now_ns;
	push->reported_count = UINT32_MAX;
	push->unacknowledged =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cq_settings_writer(document, push->writer, &sequence);
	for (i = 1; i < cq_membership_count(sync->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(sync->membership, i);

		if (is_peer(sync, member))
			g_hash_table_add(push->unacknowledged,
					 g_strdup(member->id));
	}
	push->acknowledged_count = 1;
	g_ptr_array_add(sync->pushes, push);
	if (sync->pushes->len > MAX_PUSHES)
		g_ptr_array_remove_index(sync->pushes, 0);
	send_change(sync, push);
	push->attempts = 1;
	push->next_send_ns = now_ns + sync->options.push_interval_ns;
}

static void send_change(struct cq_settings_sync *sync, const struct push *push)
{
	Cq__SettingsChange change = CQ__SETTINGS_CHANGE__INIT;
	Cq__SettingsEntry entry = CQ__SETTINGS_ENTRY__INIT;
	GHashTableIter iter;
	gpointer id;
	uint8_t *payload;
	size_t len;

	entry.key = push->key;
	entry.document = push->document;
	entry.revision = push->revision;
	change.previous_revision = push->previous_revision;
	change.entry = &entry;
	len = cq__settings_change__get_packed_size(&change);
	payload = g_malloc(len);
	cq__settings_change__pack(&change, payload);
	g_hash_table_iter_init(&iter, push->unacknowledged);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		const struct cq_member *member =
			cq_membership_find(sync->membership, id);

		if (member && is_peer(sync, member))
			sync->ops.send(sync->ctx, member->address,
				       CQ_PEER_SETTINGS_CHANGE, 0, payload,
				       len);
	}
	g_free(payload);
}

/*
 * Tells the writer of the change how many processes of this data centre have
 * it.
 */
static void report(struct cq_settings_sync *sync, struct push *push)
{
	const struct cq_member *self = cq_membership_self(sync->membership);
	const struct cq_member *writer;
	Cq__SettingsState state = CQ__SETTINGS_STATE__INIT;

	if (push->reported_count == push->acknowledged_count)
		return;
	push->reported_count = push->acknowledged_count;
	if (!strcmp(push->writer, self->id)) {
		record_report(sync, push->revision, self->data_centre,
			      push->acknowledged_count);
		return;
	}
	writer = cq_membership_find(sync->membership, push->writer);
	if (!writer || !cq_member_is_live(writer))
		return;
	state.revision = push->revision;
	state.data_centre = (char *)self->data_centre;
	state.acknowledged = push->acknowledged_count;
	send_state(sync, writer->address, 0, &state);
}

static void tick_pushes(struct cq_settings_sync *sync, int64_t now_ns)
{
	guint i;

	for (i = 0; i < sync->pushes->len;) {
		struct push *push = g_ptr_array_index(sync->pushes, i);
		bool done = g_hash_table_size(push->unacknowledged) == 0;

		report(sync, push);
		if (!done && now_ns >= push->next_send_ns) {
			/*
			 * The other peers learn of the revision from membership
			 * messages and pull it.
			 */
			done = push->attempts >= sync->options.push_attempts;
			if (!done)
				send_change(sync, push);
			push->attempts++;
			push->next_send_ns =
				now_ns + sync->options.push_interval_ns;
		}
		if (done)
			g_ptr_array_remove_index(sync->pushes, i);
		else
			i++;
	}
}

static void record_acknowledgement(struct cq_settings_sync *sync,
				   const char *id, int64_t revision)
{
	guint i;

	for (i = 0; i < sync->pushes->len; i++) {
		struct push *push = g_ptr_array_index(sync->pushes, i);

		if (push->revision <= revision &&
		    g_hash_table_remove(push->unacknowledged, id))
			push->acknowledged_count++;
	}
}

static void record_report(struct cq_settings_sync *sync, int64_t revision,
			  const char *data_centre, uint32_t acknowledged)
{
	guint i;

	for (i = 0; i < sync->operator_writes->len; i++) {
		struct operator_write *write =
			g_ptr_array_index(sync->operator_writes, i);
		guint before;

		if (write->revision != revision)
			continue;
		before = GPOINTER_TO_UINT(g_hash_table_lookup(
			write->acknowledged_by_dc, data_centre));
		g_hash_table_insert(
			write->acknowledged_by_dc, g_strdup(data_centre),
			GUINT_TO_POINTER(MAX(before, acknowledged)));
	}
}

/*
 * Returns a random live member with a higher revision, preferably of this data
 * centre. The member asked last is chosen only if there is no other.
 */
static const struct cq_member *choose_source(struct cq_settings_sync *sync)
{
	const struct cq_member *best = NULL;
	uint64_t best_score = 0;
	uint32_t i;

	for (i = 1; i < cq_membership_count(sync->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(sync->membership, i);
		uint64_t score;

		if (!cq_member_is_live(member) ||
		    member->settings_revision <=
			    cq_settings_revision(sync->tree))
			continue;
		score = 1 + cq_prng_below(&sync->prng, 1000);
		if (is_peer(sync, member))
			score += 1000;
		/*
		 * A starting process needs the complete settings, so it prefers
		 * a member with the highest known revision.
		 */
		if (sync->state == CQ_SETTINGS_SYNC_STARTING &&
		    member->settings_revision == highest_known_revision(sync))
			score += 2000;
		if (strcmp(member->id, sync->pull_source) != 0)
			score += 4000;
		if (score > best_score) {
			best_score = score;
			best = member;
		}
	}
	return best;
}

static int64_t highest_known_revision(const struct cq_settings_sync *sync)
{
	int64_t newest = 0;
	uint32_t i;

	for (i = 1; i < cq_membership_count(sync->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(sync->membership, i);

		if (cq_member_is_live(member))
			newest = MAX(newest, member->settings_revision);
	}
	return newest;
}

static void pull(struct cq_settings_sync *sync, const char *id,
		 const char *address, int64_t now_ns)
{
	Cq__SettingsPull request = CQ__SETTINGS_PULL__INIT;
	uint8_t payload[32];

	request.after_revision = cq_settings_revision(sync->tree);
	g_strlcpy(sync->pull_source, id, sizeof(sync->pull_source));
	sync->pulling = true;
	sync->pull_deadline_ns = now_ns + sync->options.pull_timeout_ns;
	sync->ops.send(sync->ctx, address, CQ_PEER_SETTINGS_PULL,
		       ++sync->correlation, payload,
		       cq__settings_pull__pack(&request, payload));
}

static void relay_tick(struct cq_settings_sync *sync, int64_t now_ns)
{
	const struct cq_member *source;

	tick_pushes(sync, now_ns);
	if (sync->written_revision && now_ns >= sync->written_deadline_ns) {
		/*
		 * The change that this process wrote did not arrive in time, so
		 * the store is read in full.
		 */
		if (cq_settings_revision(sync->tree) < sync->written_revision)
			sync->full_read_needed = true;
		sync->written_revision = 0;
	}
	if (sync->pulling && now_ns >= sync->pull_deadline_ns)
		sync->pulling = false;
	if (sync->pulling || !sync->behind || now_ns < sync->next_pull_ns)
		return;
	if (sync->state == CQ_SETTINGS_SYNC_STARTING &&
	    now_ns < sync->created_ns + sync->options.peer_start_delay_ns)
		return;
	source = choose_source(sync);
	if (source)
		pull(sync, source->id, source->address, now_ns);
	else
		sync->behind = false;
}

static void relay_member_revision(struct cq_settings_sync *sync,
				  const struct cq_member *member,
				  int64_t now_ns)
{
	/*
	 * A member that announces a revision in a membership message has all
	 * changes up to it.
	 */
	record_acknowledgement(sync, member->id, member->settings_revision);
	if (sync->behind ||
	    member->settings_revision <= cq_settings_revision(sync->tree))
		return;
	sync->behind = true;
	sync->next_pull_ns = now_ns + PULL_DELAY_NS +
			     (int64_t)cq_prng_below(&sync->prng, PULL_DELAY_NS);
}

/* Collects the entries of the answer to a pull. */
struct state_builder {
	Cq__SettingsState state;
	GPtrArray *entries; /* elements: Cq__SettingsEntry */
	size_t bytes, max_bytes;
	bool truncated;
};

static bool add_entry(void *ctx, const char *key, const char *document,
		      int64_t revision)
{
	struct state_builder *builder = ctx;
	size_t bytes = strlen(key) + strlen(document) + 32;
	Cq__SettingsEntry *entry;

	if (builder->entries->len &&
	    builder->bytes + bytes > builder->max_bytes) {
		builder->truncated = true;
		return false;
	}
	builder->bytes += bytes;
	entry = g_new(Cq__SettingsEntry, 1);
	cq__settings_entry__init(entry);
	entry->key = (char *)key;
	entry->document = (char *)document;
	entry->revision = revision;
	g_ptr_array_add(builder->entries, entry);
	return true;
}

static void answer_pull(struct cq_settings_sync *sync,
			const struct cq_peer_message *message, int64_t after)
{
	struct state_builder builder = { .state = CQ__SETTINGS_STATE__INIT };

	builder.max_bytes = sync->options.max_state_bytes;
	builder.entries = g_ptr_array_new_with_free_func(g_free);
	cq_settings_visit(sync->tree, after, add_entry, &builder);
	builder.state.answer = true;
	builder.state.after_revision = after;
	builder.state.n_entries = builder.entries->len;
	builder.state.entries = (Cq__SettingsEntry **)builder.entries->pdata;
	builder.state.revision = cq_settings_revision(sync->tree);
	if (builder.truncated) {
		const Cq__SettingsEntry *last = g_ptr_array_index(
			builder.entries, builder.entries->len - 1);

		builder.state.revision = last->revision;
	}
	send_state(sync, message->from_address, message->correlation,
		   &builder.state);
	g_ptr_array_free(builder.entries, TRUE);
}

static void send_state(struct cq_settings_sync *sync, const char *address,
		       uint64_t correlation, const Cq__SettingsState *state)
{
	size_t len = cq__settings_state__get_packed_size(state);
	uint8_t *payload = g_malloc(len);

	cq__settings_state__pack(state, payload);
	sync->ops.send(sync->ctx, address, CQ_PEER_SETTINGS_STATE, correlation,
		       payload, len);
	g_free(payload);
}

static void handle_change(struct cq_settings_sync *sync,
			  const struct cq_peer_message *message,
			  const Cq__SettingsChange *change, int64_t now_ns)
{
	Cq__SettingsState acknowledgement = CQ__SETTINGS_STATE__INIT;
	const Cq__SettingsEntry *entry = change->entry;

	if (entry->revision > cq_settings_revision(sync->tree)) {
		if (change->previous_revision >
		    cq_settings_revision(sync->tree)) {
			if (!sync->pulling)
				pull(sync, message->from_id,
				     message->from_address, now_ns);
			return;
		}
		cq_settings_sync_apply(sync, entry->key, entry->document,
				       entry->revision, now_ns);
	}
	acknowledgement.revision = cq_settings_revision(sync->tree);
	send_state(sync, message->from_address, 0, &acknowledgement);
}

static void handle_state(struct cq_settings_sync *sync,
			 const struct cq_peer_message *message,
			 const Cq__SettingsState *state, int64_t now_ns)
{
	size_t i;

	if (state->data_centre[0]) {
		record_report(sync, state->revision, state->data_centre,
			      state->acknowledged);
		return;
	}
	if (!state->answer) {
		record_acknowledgement(sync, message->from_id, state->revision);
		return;
	}
	if (message->correlation == sync->correlation)
		sync->pulling = false;
	/*
	 * The answer omits the changes up to the revision stated in the pull.
	 * An answer to a pull by an earlier process at this address may omit
	 * changes that this process needs.
	 */
	if (state->after_revision > cq_settings_revision(sync->tree))
		return;
	for (i = 0; i < state->n_entries; i++)
		cq_settings_sync_apply(sync, state->entries[i]->key,
				       state->entries[i]->document,
				       state->entries[i]->revision, now_ns);
	cq_settings_sync_advance(sync, state->revision);
	if (cq_settings_revision(sync->tree) > 0 &&
	    cq_settings_revision(sync->tree) >= highest_known_revision(sync))
		cq_settings_sync_mark_started(sync);
}

static bool set_malformed_error(const struct cq_peer_message *message,
				struct cq_error *err)
{
	return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
			    "malformed settings message of kind %d, %zu bytes",
			    (int)message->kind, message->payload_len);
}

static bool relay_receive(struct cq_settings_sync *sync,
			  const struct cq_peer_message *message, int64_t now_ns,
			  struct cq_error *err)
{
	bool ok;

	if (message->kind == CQ_PEER_SETTINGS_CHANGE) {
		Cq__SettingsChange *change = cq__settings_change__unpack(
			NULL, message->payload_len, message->payload);

		ok = change && change->entry;
		if (ok)
			handle_change(sync, message, change, now_ns);
		if (change)
			cq__settings_change__free_unpacked(change, NULL);
		return ok || set_malformed_error(message, err);
	}
	if (message->kind == CQ_PEER_SETTINGS_PULL) {
		Cq__SettingsPull *request = cq__settings_pull__unpack(
			NULL, message->payload_len, message->payload);

		if (!request)
			return set_malformed_error(message, err);
		answer_pull(sync, message, request->after_revision);
		cq__settings_pull__free_unpacked(request, NULL);
		return true;
	}
	if (message->kind == CQ_PEER_SETTINGS_STATE) {
		Cq__SettingsState *state = cq__settings_state__unpack(
			NULL, message->payload_len, message->payload);

		if (!state)
			return set_malformed_error(message, err);
		handle_state(sync, message, state, now_ns);
		cq__settings_state__free_unpacked(state, NULL);
		return true;
	}
	return set_malformed_error(message, err);
}
