#include "coordination/membership_private.h"

#include <assert.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "coordination/membership_codec.h"

/* Number of members asked to probe a member that did not answer. */
#define INDIRECT_PROBES 2
/* A longer time between ticks means that this process was paused. */
#define MAX_TICK_GAP_NS (700 * CQ_NS_PER_MS)
/*
 * Interval between scans for expired records. The scan is the only periodic
 * work that grows with the number of members.
 */
#define EXPIRY_INTERVAL_NS (500 * CQ_NS_PER_MS)
/*
 * Number of periods between attempts to reach dead members and seeds at which
 * no member is known.
 */
#define RECONNECT_PERIODS 3
/*
 * For this time after its start a process pulls all records that other members
 * have and it lacks.
 */
#define JOIN_PHASE_NS (30 * CQ_NS_PER_S)
/*
 * After the join phase a process pulls only if it lacks more than one in this
 * many members.
 */
#define PULL_GAP_DIVISOR 8

static void send_message(struct cq_membership *m, const char *address,
			 enum cq_peer_kind kind, uint64_t correlation,
			 Cq__MembershipProbe *probe);
static void send_probe(struct cq_membership *m, const char *address,
		       enum cq_peer_kind kind, uint64_t correlation,
		       const char *target_address, const struct record *subject,
		       uint32_t max_updates);
static bool is_probe_candidate(const struct cq_membership *m,
			       const struct record *record, bool local);
static struct record *choose_target(struct cq_membership *m);
static struct record *next_round_robin(struct cq_membership *m, bool local,
				       uint32_t *cursor);
static void start_period(struct cq_membership *m, int64_t now_ns);
static void send_indirect(struct cq_membership *m);
static void reconnect(struct cq_membership *m);
static void expire(struct cq_membership *m, int64_t now_ns);
static void forward_ack(struct cq_membership *m, uint64_t correlation);
static void send_page(struct cq_membership *m, const char *address,
		      uint64_t correlation, const struct record *subject);
static void pull_page(struct cq_membership *m, const char *address,
		      uint32_t live_members, int64_t now_ns);

void cq_membership_options_init(struct cq_membership_options *options)
{
	memset(options, 0, sizeof(*options));
	options->period_ns = CQ_NS_PER_S;
	options->probe_timeout_ns = 300 * CQ_NS_PER_MS;
	options->suspicion_ns = 4 * CQ_NS_PER_S;
	/*
	 * Longer than a network partition of one hour, after which members must
	 * find each other again.
	 */
	options->dead_retention_ns = 7200 * CQ_NS_PER_S;
	options->remote_probe_periods = 4;
	options->max_updates = 8;
}

struct cq_membership *
cq_membership_create(const struct cq_membership_options *options,
		     const struct cq_membership_ops *ops, void *ctx,
		     int64_t now_ns)
{
	struct cq_membership *m = g_new0(struct cq_membership, 1);
	struct record *self = g_new0(struct record, 1);

	assert(options->self.id[0] && options->self.address[0]);
	assert(options->max_updates >= 2 &&
	       options->max_updates <= RECORDS_PER_PAGE);
	m->options = *options;
	m->ops = *ops;
	m->ctx = ctx;
	m->prng.state = options->seed;
	m->records = g_ptr_array_new_with_free_func(g_free);
	m->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	m->queue = g_ptr_array_new();
	m->seeds = g_ptr_array_new_with_free_func(g_free);
	self->member = options->self;
	self->member.state = CQ_MEMBER_ALIVE;
	self->member.since_ns = now_ns;
	g_ptr_array_add(m->records, self);
	g_hash_table_insert(m->by_id, self->member.id, self);
	m->live = 1;
	m->last_tick_ns = now_ns;
	m->created_ns = now_ns;
	/*
	 * The random offset keeps hosts that start together from probing in
	 * step.
	 */
	m->next_period_ns =
		now_ns + (int64_t)cq_prng_below(
				 &m->prng, (uint64_t)options->period_ns / 4);
	return m;
}

void cq_membership_destroy(struct cq_membership *m)
{
	if (!m)
		return;
	g_ptr_array_free(m->queue, TRUE);
	g_ptr_array_free(m->seeds, TRUE);
	g_hash_table_destroy(m->by_id);
	g_ptr_array_free(m->records, TRUE);
	g_free(m);
}

void cq_membership_set_seeds(struct cq_membership *m,
			     const char *const *addresses, uint32_t count)
{
	uint32_t i;

	g_ptr_array_set_size(m->seeds, 0);
	for (i = 0; i < count; i++)
		g_ptr_array_add(m->seeds, g_strdup(addresses[i]));
}

/* Packs and sends a message whose updates are already filled in. */
static void send_message(struct cq_membership *m, const char *address,
			 enum cq_peer_kind kind, uint64_t correlation,
			 Cq__MembershipProbe *probe)
{
	Cq__MemberRecord self;
	uint8_t *payload;
	size_t len;

	cq_member_encode(&cq_membership_self_record(m)->member, &self);
	probe->self = &self;
	probe->live_members = m->live;
	len = cq__membership_probe__get_packed_size(probe);
	payload = g_malloc(len);
	cq__membership_probe__pack(probe, payload);
	probe->self = NULL;
	m->ops.send(m->ctx, address, kind, correlation, payload, len);
	g_free(payload);
}

static void send_probe(struct cq_membership *m, const char *address,
		       enum cq_peer_kind kind, uint64_t correlation,
		       const char *target_address, const struct record *subject,
		       uint32_t max_updates)
{
	Cq__MembershipProbe probe = CQ__MEMBERSHIP_PROBE__INIT;
	Cq__MemberRecord updates[RECORDS_PER_PAGE + 1];
	Cq__MemberRecord *list[RECORDS_PER_PAGE + 1];

	probe.n_updates = cq_membership_encode_updates(m, updates, list,
						       subject, max_updates);
	probe.updates = list;
	if (target_address)
		probe.target_address = (char *)target_address;
	send_message(m, address, kind, correlation, &probe);
}

/*
 * Answers a member that knows fewer members. The correlation selects the page:
 * the correlations of its pulls are consecutive, so it reads one page after the
 * other and no state about it is kept here.
 */
static void send_page(struct cq_membership *m, const char *address,
		      uint64_t correlation, const struct record *subject)
{
	Cq__MembershipProbe probe = CQ__MEMBERSHIP_PROBE__INIT;
	Cq__MemberRecord updates[RECORDS_PER_PAGE + 1];
	Cq__MemberRecord *list[RECORDS_PER_PAGE + 1];

	probe.n_updates =
		cq_membership_encode_page(m, correlation, updates, list);
	/*
	 * The member must learn of a suspicion about itself to refute it. There
	 * is no record of an unknown member that reports its own end.
	 */
	if (subject && subject->member.state != CQ_MEMBER_ALIVE) {
		list[probe.n_updates] = &updates[probe.n_updates];
		cq_member_encode(&subject->member, list[probe.n_updates++]);
	}
	probe.updates = list;
	send_message(m, address, CQ_PEER_ACK, correlation, &probe);
}

/*
 * Asks a member that knows more members for the next page; only one pull is
 * pending at a time.
 */
static void pull_page(struct cq_membership *m, const char *address,
		      uint32_t live_members, int64_t now_ns)
{
	uint32_t gap = live_members > m->live ? live_members - m->live : 0;

	/*
	 * Small gaps are closed by piggybacked updates, at a cost that does not
	 * grow with the number of members. In one period a process may pull as
	 * many pages as its own records fill twice, and two pages more.
	 */
	if (!gap || m->pull_correlation ||
	    m->pull_count >= 2 * (m->records->len / RECORDS_PER_PAGE + 1) ||
	    (now_ns - m->created_ns >= JOIN_PHASE_NS &&
	     gap <= m->live / PULL_GAP_DIVISOR))
		return;
	m->pull_count++;
	m->pull_correlation = ++m->correlation;
	send_probe(m, address, CQ_PEER_PING, m->pull_correlation, NULL, NULL,
		   m->options.max_updates);
}

static bool is_probe_candidate(const struct cq_membership *m,
			       const struct record *record, bool local)
{
	const struct cq_member *self = &cq_membership_self_record(m)->member;

	return cq_member_is_live(&record->member) &&
	       local == !strcmp(record->member.data_centre, self->data_centre);
}

/*
 * Returns the next member after the cursor. Round-robin order from a random
 * start bounds the time until a failed member is probed.
 */
static struct record *next_round_robin(struct cq_membership *m, bool local,
				       uint32_t *cursor)
{
	uint32_t tried;

	if (cq_prng_below(&m->prng, 8) == 0)
		*cursor = (uint32_t)cq_prng_below(&m->prng, m->records->len);
	for (tried = 0; tried < m->records->len; tried++) {
		struct record *record;

		*cursor = (*cursor + 1) % m->records->len;
		record = g_ptr_array_index(m->records, *cursor);
		if (*cursor != 0 && is_probe_candidate(m, record, local))
			return record;
	}
	return NULL;
}

static struct record *choose_target(struct cq_membership *m)
{
	bool remote = m->periods % m->options.remote_probe_periods == 0;
	struct record *record;

	if (remote) {
		record = next_round_robin(m, false, &m->remote_cursor);
		if (record)
			return record;
	}
	record = next_round_robin(m, true, &m->local_cursor);
	if (!record)
		record = next_round_robin(m, false, &m->remote_cursor);
	return record;
}

/* Probes one dead member, or one seed address at which no member is known. */
static void reconnect(struct cq_membership *m)
{
	uint32_t candidates = m->seeds->len + m->records->len;
	uint32_t start = (uint32_t)cq_prng_below(&m->prng, candidates);
	uint32_t k, i;

	for (k = 0; k < candidates; k++) {
		uint32_t at = (start + k) % candidates;
		struct record *record;
		bool known = false;

		if (at < m->records->len) {
			record = g_ptr_array_index(m->records, at);
			if (record->member.state != CQ_MEMBER_DEAD)
				continue;
			send_probe(m, record->member.address, CQ_PEER_PING,
				   ++m->correlation, NULL, record,
				   m->options.max_updates);
			return;
		}
		for (i = 0; i < m->records->len && !known; i++) {
			record = g_ptr_array_index(m->records, i);
			known = !strcmp(record->member.address,
					g_ptr_array_index(
						m->seeds,
						at - m->records->len)) &&
				record->member.state != CQ_MEMBER_LEFT;
		}
		if (known)
			continue;
		send_probe(m, g_ptr_array_index(m->seeds, at - m->records->len),
			   CQ_PEER_PING, ++m->correlation, NULL, NULL,
			   m->options.max_updates);
		return;
	}
}

static void start_period(struct cq_membership *m, int64_t now_ns)
{
	struct record *target = m->probe_target;

	if (m->probe_correlation && target &&
	    target->member.state == CQ_MEMBER_ALIVE) {
		cq_membership_set_state(m, target, CQ_MEMBER_SUSPECT, now_ns);
		if (m->ops.changed)
			m->ops.changed(m->ctx, &target->member,
				       CQ_MEMBER_ALIVE);
	}
	m->periods++;
	m->probe_correlation = 0;
	m->pull_correlation = 0;
	m->pull_count = 0;
	m->probe_target = choose_target(m);
	if (m->probe_target) {
		m->probe_correlation = ++m->correlation;
		m->indirect_probe_ns = now_ns + m->options.probe_timeout_ns;
		send_probe(m, m->probe_target->member.address, CQ_PEER_PING,
			   m->probe_correlation, NULL, m->probe_target,
			   m->options.max_updates);
	}
	if (m->live == 1 || m->periods % RECONNECT_PERIODS == 0)
		reconnect(m);
}

static void send_indirect(struct cq_membership *m)
{
	uint32_t start = (uint32_t)cq_prng_below(&m->prng, m->records->len);
	uint32_t sent = 0, k;

	m->indirect_probe_ns = 0;
	for (k = 0; k < m->records->len && sent < INDIRECT_PROBES; k++) {
		struct record *record = g_ptr_array_index(
			m->records, (start + k) % m->records->len);

		if (record == cq_membership_self_record(m) ||
		    record == m->probe_target ||
		    record->member.state != CQ_MEMBER_ALIVE)
			continue;
		send_probe(m, record->member.address, CQ_PEER_PING_REQ,
			   m->probe_correlation,
			   m->probe_target->member.address, NULL, 2);
		sent++;
	}
}

static void expire(struct cq_membership *m, int64_t now_ns)
{
	uint32_t i;

	for (i = 1; i < m->records->len;) {
		struct record *record = g_ptr_array_index(m->records, i);

		if (record->member.state == CQ_MEMBER_SUSPECT &&
		    now_ns >= record->suspect_deadline_ns) {
			cq_membership_set_state(m, record, CQ_MEMBER_DEAD,
						now_ns);
			if (m->ops.changed)
				m->ops.changed(m->ctx, &record->member,
					       CQ_MEMBER_SUSPECT);
		}
		if (cq_member_is_live(&record->member) ||
		    now_ns - record->member.since_ns <
			    m->options.dead_retention_ns) {
			i++;
			continue;
		}
		if (record->queued)
			g_ptr_array_remove_fast(m->queue, record);
		if (record == m->probe_target)
			m->probe_target = NULL;
		g_hash_table_remove(m->by_id, record->member.id);
		g_ptr_array_remove_index_fast(m->records, i);
	}
}

void cq_membership_tick(struct cq_membership *m, int64_t now_ns)
{
	int64_t paused_ns = now_ns - m->last_tick_ns;
	uint32_t i;

	m->last_tick_ns = now_ns;
	if (m->left)
		return;
	if (paused_ns > MAX_TICK_GAP_NS) {
		/*
		 * Answers may still be waiting to be read, so no member becomes
		 * suspect or dead because this process did not run.
		 */
		m->probe_correlation = 0;
		for (i = 1; i < m->records->len; i++) {
			struct record *record =
				g_ptr_array_index(m->records, i);

			record->suspect_deadline_ns += paused_ns;
		}
	}
	if (now_ns >= m->next_expiry_ns) {
		m->next_expiry_ns = now_ns + EXPIRY_INTERVAL_NS;
		expire(m, now_ns);
	}
	if (m->probe_correlation && m->indirect_probe_ns && m->probe_target &&
	    now_ns >= m->indirect_probe_ns)
		send_indirect(m);
	if (now_ns < m->next_period_ns)
		return;
	m->next_period_ns += m->options.period_ns;
	if (m->next_period_ns <= now_ns)
		m->next_period_ns = now_ns + m->options.period_ns;
	start_period(m, now_ns);
}

static void forward_ack(struct cq_membership *m, uint64_t correlation)
{
	uint32_t i;

	for (i = 0; i < MAX_FORWARDED_PROBES; i++) {
		struct forwarded_probe *forwarded = &m->forwarded_probes[i];

		if (!forwarded->correlation ||
		    forwarded->correlation != correlation)
			continue;
		forwarded->correlation = 0;
		send_probe(m, forwarded->requester, CQ_PEER_ACK,
			   forwarded->requester_correlation, NULL, NULL, 2);
		return;
	}
}

bool cq_membership_receive(struct cq_membership *m,
			   const struct cq_peer_message *message,
			   int64_t now_ns, struct cq_error *err)
{
	Cq__MembershipProbe *probe;
	struct cq_member member;
	struct record *from;
	bool ok;
	size_t i;

	memset(&member, 0, sizeof(member));
	if (message->kind != CQ_PEER_PING &&
	    message->kind != CQ_PEER_PING_REQ && message->kind != CQ_PEER_ACK)
		return cq_error_set(
			err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
			"message kind %d is not a membership message",
			(int)message->kind);
	probe = cq__membership_probe__unpack(NULL, message->payload_len,
					     message->payload);
	if (!probe || !probe->self) {
		if (probe)
			cq__membership_probe__free_unpacked(probe, NULL);
		return cq_error_set(err, CQ_ERROR_COORDINATION, CQ_ERR_INVALID,
				    "malformed membership message of %zu bytes",
				    message->payload_len);
	}
	ok = cq_member_decode(probe->self, &member, err);
	if (ok) {
		cq_membership_merge(m, &member, true, now_ns);
		from = g_hash_table_lookup(m->by_id, member.id);
	}
	for (i = 0; ok && i < probe->n_updates; i++) {
		struct cq_member update = { 0 };

		ok = cq_member_decode(probe->updates[i], &update, err);
		if (ok)
			cq_membership_merge(m, &update, false, now_ns);
	}
	if (ok && !m->left && message->kind == CQ_PEER_PING) {
		if (probe->live_members < m->live)
			send_page(m, message->from_address,
				  message->correlation, from);
		else
			send_probe(m, message->from_address, CQ_PEER_ACK,
				   message->correlation, NULL, from,
				   m->options.max_updates);
	} else if (ok && !m->left && message->kind == CQ_PEER_PING_REQ) {
		struct forwarded_probe *forwarded =
			&m->forwarded_probes[m->next_forwarded_probe++ %
					     MAX_FORWARDED_PROBES];

		forwarded->correlation = ++m->correlation;
		forwarded->requester_correlation = message->correlation;
		g_strlcpy(forwarded->requester, message->from_address,
			  sizeof(forwarded->requester));
		send_probe(m, probe->target_address, CQ_PEER_PING,
			   forwarded->correlation, NULL, NULL, 2);
	} else if (ok && message->kind == CQ_PEER_ACK) {
		if (message->correlation == m->probe_correlation)
			m->probe_correlation = 0;
		else if (message->correlation == m->pull_correlation)
			m->pull_correlation = 0;
		else
			forward_ack(m, message->correlation);
	}
	if (ok && !m->left && message->kind != CQ_PEER_PING_REQ)
		pull_page(m, message->from_address, probe->live_members,
			  now_ns);
	cq__membership_probe__free_unpacked(probe, NULL);
	return ok;
}

void cq_membership_leave(struct cq_membership *m, int64_t now_ns)
{
	struct record *self = cq_membership_self_record(m);
	uint32_t start = (uint32_t)cq_prng_below(&m->prng, m->records->len);
	uint32_t sent = 0, k;

	if (m->left)
		return;
	self->member.incarnation++;
	self->member.owner_epoch = 0;
	cq_membership_set_state(m, self, CQ_MEMBER_LEFT, now_ns);
	for (k = 0; k < m->records->len && sent < 4; k++) {
		struct record *record = g_ptr_array_index(
			m->records, (start + k) % m->records->len);

		if (record == self || !cq_member_is_live(&record->member))
			continue;
		send_probe(m, record->member.address, CQ_PEER_PING,
			   ++m->correlation, NULL, NULL,
			   m->options.max_updates);
		sent++;
	}
	m->left = true;
}
