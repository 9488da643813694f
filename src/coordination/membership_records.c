/* Member records: merging, dissemination and look-up. */
#include "coordination/membership_private.h"

#include <assert.h>
#include <string.h>

#include "coordination/membership_codec.h"

static void refute(struct cq_membership *m, uint64_t incarnation);
static void add(struct cq_membership *m, const struct cq_member *in,
		int64_t now_ns);
static struct record *next_news(const struct cq_membership *m);
static void note_revision(struct cq_membership *m, struct record *record,
			  int64_t revision, int64_t now_ns);

static const char *const role_strings[] = {
	[CQ_ROLE_ENTRYD] = "entryd",
	[CQ_ROLE_SCHEDD] = "schedd",
};

static const char *const state_strings[] = {
	[CQ_MEMBER_ALIVE] = "alive",
	[CQ_MEMBER_SUSPECT] = "suspect",
	[CQ_MEMBER_DEAD] = "dead",
	[CQ_MEMBER_LEFT] = "left",
};

const char *cq_member_role_string(enum cq_member_role role)
{
	if ((unsigned)role >= G_N_ELEMENTS(role_strings))
		return "?";
	return role_strings[role];
}

const char *cq_member_state_string(enum cq_member_state state)
{
	if ((unsigned)state >= G_N_ELEMENTS(state_strings))
		return "?";
	return state_strings[state];
}

bool cq_member_is_live(const struct cq_member *member)
{
	return member->state == CQ_MEMBER_ALIVE ||
	       member->state == CQ_MEMBER_SUSPECT;
}

struct record *cq_membership_self_record(const struct cq_membership *m)
{
	return g_ptr_array_index(m->records, 0);
}

void cq_membership_enqueue(struct cq_membership *m, struct record *record)
{
	uint32_t n = m->records->len;

	/* 3 log2(n) transmissions reach everybody with high probability. */
	record->transmits = 3;
	while (n >>= 1)
		record->transmits += 3;
	if (!record->queued)
		g_ptr_array_add(m->queue, record);
	record->queued = true;
}

void cq_membership_set_state(struct cq_membership *m, struct record *record,
			     enum cq_member_state state, int64_t now_ns)
{
	bool was_live = cq_member_is_live(&record->member);

	record->member.state = state;
	record->member.since_ns = now_ns;
	if (state == CQ_MEMBER_SUSPECT)
		record->suspect_deadline_ns = now_ns + m->options.suspicion_ns;
	if (!cq_member_is_live(&record->member))
		record->member.owner_epoch = 0;
	m->live += (uint32_t)cq_member_is_live(&record->member);
	m->live -= (uint32_t)was_live;
	cq_membership_enqueue(m, record);
}

/* Answers a suspicion about this process with a higher incarnation. */
static void refute(struct cq_membership *m, uint64_t incarnation)
{
	struct record *self = cq_membership_self_record(m);

	if (m->left || incarnation < self->member.incarnation)
		return;
	self->member.incarnation = incarnation + 1;
	cq_membership_enqueue(m, self);
}

static void note_revision(struct cq_membership *m, struct record *record,
			  int64_t revision, int64_t now_ns)
{
	if (revision > record->member.settings_revision)
		record->member.settings_revision = revision;
	if (m->ops.settings_revision)
		m->ops.settings_revision(m->ctx, &record->member, now_ns);
}

static void add(struct cq_membership *m, const struct cq_member *in,
		int64_t now_ns)
{
	struct record *record;

	/* Only those that were known can be remembered as gone. */
	if (!cq_member_is_live(in))
		return;
	record = g_new0(struct record, 1);
	record->member = *in;
	record->member.since_ns = now_ns;
	record->suspect_deadline_ns = now_ns + m->options.suspicion_ns;
	g_ptr_array_add(m->records, record);
	g_hash_table_insert(m->by_id, record->member.id, record);
	m->live++;
	cq_membership_enqueue(m, record);
	if (m->ops.changed)
		m->ops.changed(m->ctx, &record->member, -1);
	note_revision(m, record, in->settings_revision, now_ns);
}

void cq_membership_merge(struct cq_membership *m, const struct cq_member *in,
			 bool direct, int64_t now_ns)
{
	struct record *record = g_hash_table_lookup(m->by_id, in->id);
	enum cq_member_state before;

	if (!record) {
		add(m, in, now_ns);
		return;
	}
	if (record == cq_membership_self_record(m)) {
		if (in->state != CQ_MEMBER_ALIVE ||
		    in->incarnation > record->member.incarnation)
			refute(m, in->incarnation);
		return;
	}
	before = record->member.state;
	if (in->incarnation < record->member.incarnation)
		return;
	if (in->incarnation == record->member.incarnation) {
		if (in->state > before) {
			cq_membership_set_state(m, record, in->state, now_ns);
			if (m->ops.changed)
				m->ops.changed(m->ctx, &record->member,
					       (int32_t)before);
		}
		if (direct ||
		    in->settings_revision > record->member.settings_revision)
			note_revision(m, record, in->settings_revision, now_ns);
		return;
	}
	{
		int64_t revision = record->member.settings_revision;
		bool was_live = cq_member_is_live(&record->member);

		record->member = *in;
		record->member.state = before;
		m->live += (uint32_t)(cq_member_is_live(in) && !was_live);
		m->live -= (uint32_t)(!cq_member_is_live(in) && was_live);
		record->member.state = in->state;
		record->member.since_ns = now_ns;
		record->suspect_deadline_ns = now_ns + m->options.suspicion_ns;
		cq_membership_enqueue(m, record);
		if (m->ops.changed)
			m->ops.changed(m->ctx, &record->member,
				       (int32_t)before);
		if (in->settings_revision != revision)
			note_revision(m, record, in->settings_revision, now_ns);
	}
}

/*
 * The news that was sent least often and is not in the present message. In the
 * order of arrival, many joins at once would wait for each other.
 */
static struct record *next_news(const struct cq_membership *m)
{
	struct record *best = NULL;
	guint i;

	for (i = 0; i < m->queue->len; i++) {
		struct record *record = g_ptr_array_index(m->queue, i);

		if (record->message != m->messages &&
		    (!best || record->transmits > best->transmits))
			best = record;
	}
	return best;
}

uint32_t cq_membership_take_page(const struct cq_membership *m, uint64_t page,
				 Cq__MemberRecord *out, Cq__MemberRecord **list)
{
	uint32_t others = m->records->len - 1;
	uint32_t pages = MAX((others + JOIN_UPDATES - 1) / JOIN_UPDATES, 1);
	uint32_t i = 1 + (uint32_t)(page % pages) * JOIN_UPDATES;
	uint32_t n;

	for (n = 0; n < JOIN_UPDATES && i < m->records->len; n++, i++) {
		const struct record *record = g_ptr_array_index(m->records, i);

		cq_member_encode(&record->member, &out[n]);
		list[n] = &out[n];
	}
	return n;
}

uint32_t cq_membership_take_updates(struct cq_membership *m,
				    Cq__MemberRecord *out,
				    Cq__MemberRecord **list,
				    const struct record *about, uint32_t max)
{
	uint32_t n = 0, i, tried;

	if (about && about->member.state != CQ_MEMBER_ALIVE) {
		cq_member_encode(&about->member, &out[n]);
		n++;
	}
	m->messages++;
	/* A quarter is left for old records, so that views also converge. */
	while (n < max - max / 4) {
		struct record *record = next_news(m);

		if (!record)
			break;
		cq_member_encode(&record->member, &out[n]);
		n++;
		record->message = m->messages;
		if (--record->transmits > 0)
			continue;
		record->queued = false;
		g_ptr_array_remove_fast(m->queue, record);
	}
	for (tried = 0; n < max && tried < m->records->len; tried++) {
		struct record *record;

		m->rotation = (m->rotation + 1) % m->records->len;
		record = g_ptr_array_index(m->records, m->rotation);
		if (m->rotation == 0 || record == about)
			continue;
		cq_member_encode(&record->member, &out[n]);
		n++;
	}
	for (i = 0; i < n; i++)
		list[i] = &out[i];
	return n;
}

uint32_t cq_membership_count(const struct cq_membership *m)
{
	return m->records->len;
}

const struct cq_member *cq_membership_get(const struct cq_membership *m,
					  uint32_t i)
{
	const struct record *record;

	assert(i < m->records->len);
	record = g_ptr_array_index(m->records, i);
	return &record->member;
}

const struct cq_member *cq_membership_find(const struct cq_membership *m,
					   const char *id)
{
	const struct record *record = g_hash_table_lookup(m->by_id, id);

	return record ? &record->member : NULL;
}

const struct cq_member *cq_membership_self(const struct cq_membership *m)
{
	return &cq_membership_self_record(m)->member;
}

uint32_t cq_membership_live_count(const struct cq_membership *m)
{
	return m->live;
}

uint32_t cq_membership_rank(const struct cq_membership *m)
{
	const struct cq_member *self = cq_membership_self(m);
	uint32_t rank = 0, i;

	for (i = 1; i < m->records->len; i++) {
		const struct cq_member *other = cq_membership_get(m, i);

		rank += other->role == CQ_ROLE_SCHEDD &&
			cq_member_is_live(other) &&
			!strcmp(other->data_centre, self->data_centre) &&
			strcmp(other->id, self->id) < 0;
	}
	return rank;
}

void cq_membership_set_settings_revision(struct cq_membership *m,
					 int64_t revision)
{
	cq_membership_self_record(m)->member.settings_revision = revision;
}

void cq_membership_set_owner_epoch(struct cq_membership *m, int64_t epoch,
				   int64_t now_ns)
{
	struct record *self = cq_membership_self_record(m);

	if (m->left || self->member.owner_epoch == epoch)
		return;
	self->member.owner_epoch = epoch;
	self->member.incarnation++;
	self->member.since_ns = now_ns;
	cq_membership_enqueue(m, self);
}
