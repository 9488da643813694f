#include <string.h>

#include "coordination/router_internal.h"

/* Keyed requests at the home host of their key. */

static void join_primary(struct entry *entry, struct cq_outcome *outcome);
static bool find_home(const struct cq_router *router, const struct entry *entry,
		      struct cq_home *home);

static void join_primary(struct entry *entry, struct cq_outcome *outcome)
{
	struct entry *primary = cq_outcome_user(outcome);

	if (!primary->waiters)
		primary->waiters = g_ptr_array_new();
	g_ptr_array_add(primary->waiters, entry);
	entry->primary = primary;
	entry->state = ENTRY_WAITING;
}

static bool find_home(const struct cq_router *router, const struct entry *entry,
		      struct cq_home *home)
{
	struct cq_data_centre centres[CQ_ROUTER_MAX_CENTRES];
	uint32_t count = router->setup.members->data_centres(
		router->setup.members_ctx, centres, CQ_ROUTER_MAX_CENTRES);

	return cq_outcomes_home(entry->request.workspace, entry->request.key,
				centres, count, home);
}

void router_begin_keyed(struct cq_router *router, struct entry *entry)
{
	struct cq_outcome *outcome;
	struct cq_answer answer;
	struct cq_home home;
	bool is_home;

	if (!find_home(router, entry, &home)) {
		router_refuse(router, entry, CQ_REFUSAL_INVALID,
			      "the key names an unknown data centre");
		return;
	}
	is_home = home.index == router->setup.options.index &&
		  !strcmp(home.data_centre, router->data_centre);
	if (!is_home && entry->origin.kind == CQ_ORIGIN_CALLER) {
		if (!router_forward_home(router, entry, &home))
			router_refuse(router, entry,
				      CQ_REFUSAL_HOME_UNREACHABLE,
				      "the home host of this key cannot be "
				      "reached; this attempt was not sent");
		return;
	}
	if (!is_home || router->hand_over_deadline_ns ||
	    !router->setup.members->holds_index(router->setup.members_ctx,
						router_now(router))) {
		router_refuse(
			router, entry, CQ_REFUSAL_HOME_UNREACHABLE,
			"this host is not the home of the key at present");
		return;
	}
	switch (cq_outcomes_begin(router->outcomes, &entry->request,
				  entry->origin.accepted_unix_ms,
				  router_unix_ms(router), &outcome)) {
	case CQ_OUTCOMES_NEW:
		entry->outcome = outcome;
		entry->maybe_ran = false;
		cq_outcome_set_user(outcome, entry);
		router_admit(router, entry);
		return;
	case CQ_OUTCOMES_PENDING:
		join_primary(entry, outcome);
		return;
	case CQ_OUTCOMES_DONE:
		cq_outcome_answer(outcome, &answer);
		router_finish(router, entry, &answer);
		return;
	case CQ_OUTCOMES_REFUSED:
		entry->maybe_ran = false;
		router_refuse(router, entry, CQ_REFUSAL_OVERLOADED,
			      "this key was refused a moment ago; repeat "
			      "after a second");
		return;
	case CQ_OUTCOMES_REUSED:
		router_refuse(router, entry, CQ_REFUSAL_KEY_REUSED,
			      "the key was used for a different request");
		return;
	case CQ_OUTCOMES_EXPIRED:
		router_refuse(router, entry, CQ_REFUSAL_KEY_EXPIRED,
			      "the key is older than 10 minutes");
		return;
	case CQ_OUTCOMES_TOO_OLD:
		router_refuse(router, entry, CQ_REFUSAL_KEY_OLDER_THAN_HOME,
			      "the key was made before its home host started");
		return;
	case CQ_OUTCOMES_FUTURE:
		router_refuse(router, entry, CQ_REFUSAL_INVALID,
			      "the key's time is in the future");
		return;
	case CQ_OUTCOMES_FULL:
		router_refuse(router, entry, CQ_REFUSAL_OVERLOADED,
			      "too many keys are remembered");
		return;
	}
}

void router_leave_primary(struct entry *entry)
{
	struct entry *primary = entry->primary;

	g_ptr_array_remove(primary->waiters, entry);
	entry->primary = NULL;
}

/*
 * The first request of a key did not run and is about to end, but others with
 * the key wait: one of them takes its place.
 */
bool router_hand_to_waiter(struct cq_router *router, struct entry *entry)
{
	struct entry *heir;
	guint i;

	if (!entry->outcome || !entry->waiters || !entry->waiters->len)
		return false;
	heir = entry->waiters->pdata[0];
	g_ptr_array_remove_index(entry->waiters, 0);
	heir->waiters = g_steal_pointer(&entry->waiters);
	for (i = 0; i < heir->waiters->len; i++)
		((struct entry *)heir->waiters->pdata[i])->primary = heir;
	heir->outcome = g_steal_pointer(&entry->outcome);
	heir->primary = NULL;
	heir->maybe_ran = false;
	cq_outcome_set_user(heir->outcome, heir);
	router_enqueue(router, heir);
	return true;
}
