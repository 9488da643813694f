#include "chestnutquay/index_guard.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"

struct cq_index_guard {
	struct cq_index_guard_options options;
	const struct cq_membership *membership;
	int64_t contact_deadline_ns; /* cut off after it */
	int64_t usable_from_ns;	     /* end of the settling time */
	int64_t tick_deadline_ns;    /* paused if the next tick is later */
};

static bool is_replaced(const struct cq_index_guard *guard);
static bool was_paused(const struct cq_index_guard *guard, int64_t now_ns);

void cq_index_guard_options_init(struct cq_index_guard_options *options)
{
	options->index_count = 1;
	options->contact_ns = 8 * CQ_NS_PER_S;
	options->settle_ns = 5 * CQ_NS_PER_S;
	options->pause_ns = 2 * CQ_NS_PER_S;
}

struct cq_index_guard *
cq_index_guard_create(const struct cq_index_guard_options *options,
		      const struct cq_membership *membership, int64_t now_ns)
{
	struct cq_index_guard *guard = g_new0(struct cq_index_guard, 1);

	assert(options->index_count);
	guard->options = *options;
	guard->membership = membership;
	guard->contact_deadline_ns = now_ns + options->contact_ns;
	guard->usable_from_ns = now_ns;
	guard->tick_deadline_ns = now_ns + options->pause_ns;
	return guard;
}

void cq_index_guard_destroy(struct cq_index_guard *guard)
{
	g_free(guard);
}

static bool was_paused(const struct cq_index_guard *guard, int64_t now_ns)
{
	return now_ns > guard->tick_deadline_ns;
}

void cq_index_guard_tick(struct cq_index_guard *guard, int64_t now_ns)
{
	if (was_paused(guard, now_ns))
		guard->usable_from_ns = now_ns + guard->options.settle_ns;
	guard->tick_deadline_ns = now_ns + guard->options.pause_ns;
}

void cq_index_guard_record_contact(struct cq_index_guard *guard, int64_t now_ns)
{
	if (now_ns > guard->contact_deadline_ns)
		guard->usable_from_ns = now_ns + guard->options.settle_ns;
	guard->contact_deadline_ns = now_ns + guard->options.contact_ns;
}

static bool is_replaced(const struct cq_index_guard *guard)
{
	const struct cq_member *self = cq_membership_self(guard->membership);
	uint32_t i;

	for (i = 1; i < cq_membership_count(guard->membership); i++) {
		const struct cq_member *member =
			cq_membership_get(guard->membership, i);

		if (member->role == self->role &&
		    member->index == self->index &&
		    member->incarnation > self->incarnation &&
		    cq_member_is_live(member) &&
		    !strcmp(member->data_centre, self->data_centre))
			return true;
	}
	return false;
}

bool cq_index_guard_may_use_index(const struct cq_index_guard *guard,
				  int64_t now_ns)
{
	if (was_paused(guard, now_ns) || now_ns < guard->usable_from_ns)
		return false;
	if (guard->options.index_count > 1 &&
	    now_ns > guard->contact_deadline_ns)
		return false;
	return !is_replaced(guard);
}
