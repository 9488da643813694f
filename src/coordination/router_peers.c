#include <assert.h>
#include <string.h>

#include "coordination/router_internal.h"

/* Forwards to a key's home are repeated; the home recognises the key. */
#define FIRST_RESEND_DELAY_NS (500 * CQ_NS_PER_MS)
#define MAX_RESEND_DELAY_NS (4 * CQ_NS_PER_S)
/* Each peer is asked for slots at most once in this time. */
#define ASK_SLOTS_INTERVAL_NS (20 * CQ_NS_PER_MS)
/* Reported loads older than this are ignored. */
#define MAX_LOAD_AGE_NS CQ_NS_PER_S
#define ASK_LOAD_INTERVAL_NS (100 * CQ_NS_PER_MS)
/* Borrowed slots are returned when the queue was empty for this long. */
#define RETURN_LOANS_DELAY_NS (100 * CQ_NS_PER_MS)

static bool send_forward(struct cq_router *router, struct entry *entry,
			 enum cq_origin_kind kind);
static struct remote *find_remote(struct cq_router *router,
				  const char *address);
static void refresh_remotes(struct cq_router *router);
static void ask_load(struct cq_router *router, struct remote *remote,
		     int64_t now_ns);
static struct remote *choose_remote(struct cq_router *router, int64_t wait_ns,
				    int64_t now_ns);
static void record_load(struct remote *remote, const struct cq_peer_load *load,
			int64_t now_ns);
static void spill_ended(struct cq_router *router, struct entry *entry,
			const struct cq_answer *answer);
static bool spill_one(struct cq_router *router, struct remote *remote);
static bool may_spill(const struct cq_admission_item *item);

static bool send_forward(struct cq_router *router, struct entry *entry,
			 enum cq_origin_kind kind)
{
	struct cq_forward forward = { .origin = entry->origin,
				      .request = &entry->request };

	forward.origin.kind = kind;
	return router->setup.ops->forward(router->setup.ops_ctx,
					  entry->peer_address,
					  entry->correlation, &forward);
}

bool router_forward_home(struct cq_router *router, struct entry *entry,
			 const struct cq_key_home *home)
{
	const struct cq_router_members_ops *members = router->setup.members;
	void *ctx = router->setup.members_ctx;
	const char *address =
		members->peer(ctx, home->data_centre, home->index);
	int64_t now_ns = router_now(router);

	if (!address || !members->alive(ctx, home->data_centre, home->index))
		return false;
	g_free(entry->peer_address);
	entry->peer_address = g_strdup(address);
	entry->home_data_centre = g_strdup(home->data_centre);
	entry->home_index = home->index;
	entry->correlation = ++router->next_id;
	if (!send_forward(router, entry, CQ_ORIGIN_HOME))
		return false;
	entry->state = ENTRY_FORWARDED;
	entry->resend_delay_ns = FIRST_RESEND_DELAY_NS;
	entry->resend_at_ns = now_ns + entry->resend_delay_ns;
	g_hash_table_insert(router->forwards, &entry->correlation, entry);
	router->stats.forwarded_to_home++;
	return true;
}

void router_remove_forward(struct cq_router *router, struct entry *entry)
{
	struct remote *remote;

	if (entry->state != ENTRY_FORWARDED)
		return;
	g_hash_table_remove(router->forwards, &entry->correlation);
	entry->state = ENTRY_NEW;
	if (!entry->spilled)
		return;
	remote = find_remote(router, entry->peer_address);
	if (remote && remote->open_spills)
		remote->open_spills--;
}

/*
 * Ends a forwarded request whose peer died or cannot be reached, and repeats
 * forwards to a key's home.
 */
void router_forward_tick(struct cq_router *router, struct entry *entry)
{
	int64_t now_ns = router_now(router);
	const struct remote *remote;

	if (entry->spilled) {
		remote = find_remote(router, entry->peer_address);
		if (!remote || !remote->reachable)
			spill_ended(router, entry, NULL);
		return;
	}
	if (!router->setup.members->alive(router->setup.members_ctx,
					  entry->home_data_centre,
					  entry->home_index)) {
		router_refuse(router, entry, CQ_REFUSAL_HOME_UNREACHABLE,
			      "the home host of this key died or was cut off");
		return;
	}
	if (now_ns < entry->resend_at_ns || !entry->caller)
		return;
	entry->resend_delay_ns =
		MIN(entry->resend_delay_ns * 2, MAX_RESEND_DELAY_NS);
	entry->resend_at_ns = now_ns + entry->resend_delay_ns;
	send_forward(router, entry, CQ_ORIGIN_HOME);
}

void router_forward_done(struct cq_router *router, uint64_t correlation,
			 const struct cq_answer *answer,
			 const struct cq_peer_load *load)
{
	struct remote *load_source =
		g_hash_table_lookup(router->load_requests, &correlation);
	struct entry *entry =
		g_hash_table_lookup(router->forwards, &correlation);
	int64_t now_ns = router_now(router);
	struct remote *remote;

	if (load_source) {
		g_hash_table_remove(router->load_requests, &correlation);
		load_source->round_trip_ns =
			now_ns - load_source->load_asked_ns;
		record_load(load_source, load, now_ns);
		router_dispatch(router);
		return;
	}
	/* Drop an answer that arrives after its request has ended. */
	if (!entry || !answer) {
		router->stats.late_answers += answer != NULL;
		return;
	}
	if (!entry->spilled) {
		router_finish(router, entry, answer);
		return;
	}
	remote = find_remote(router, entry->peer_address);
	if (remote && load)
		record_load(remote, load, now_ns);
	spill_ended(router, entry, answer);
}

/* Ends a spill; answer is NULL if no answer can be expected any more. */
static void spill_ended(struct cq_router *router, struct entry *entry,
			const struct cq_answer *answer)
{
	bool not_run = answer && answer->refusal &&
		       answer->run == CQ_REQUEST_NOT_RUN;

	router_remove_forward(router, entry);
	entry->no_spill = true;
	if (answer && !answer->refusal) {
		router_finish(router, entry, answer);
		return;
	}
	if (not_run && entry->caller) {
		router_enqueue(router, entry);
		return;
	}
	entry->maybe_ran = entry->maybe_ran || !not_run;
	if (entry->open_calls) {
		entry->state = ENTRY_CALLING;
		entry->attempt_deadline_ns = entry->deadline_ns;
		return;
	}
	if (entry->request.idempotent && entry->caller &&
	    router->retry_tokens >= 1) {
		router->retry_tokens -= 1;
		router->stats.retries++;
		router_enqueue(router, entry);
		return;
	}
	router_refuse(router, entry, CQ_REFUSAL_ENDPOINT_FAILED,
		      "the other data centre did not answer");
}

static struct remote *find_remote(struct cq_router *router, const char *address)
{
	guint i;

	for (i = 0; i < router->remotes->len; i++) {
		struct remote *remote = router->remotes->pdata[i];

		if (!strcmp(remote->address, address))
			return remote;
	}
	return NULL;
}

static void refresh_remotes(struct cq_router *router)
{
	const char *addresses[CQ_ROUTER_MAX_REMOTES];
	uint32_t count = router->setup.members->remotes(
		router->setup.members_ctx, addresses, CQ_ROUTER_MAX_REMOTES);
	uint32_t i;

	for (i = 0; i < router->remotes->len; i++)
		((struct remote *)router->remotes->pdata[i])->reachable = false;
	for (i = 0; i < count; i++) {
		struct remote *remote = find_remote(router, addresses[i]);

		if (!remote) {
			remote = g_new0(struct remote, 1);
			remote->address = g_strdup(addresses[i]);
			remote->load_received_ns = INT64_MIN / 2;
			g_ptr_array_add(router->remotes, remote);
		}
		remote->reachable = true;
	}
}

void router_remotes_free(struct cq_router *router)
{
	guint i;

	for (i = 0; i < router->remotes->len; i++) {
		struct remote *remote = router->remotes->pdata[i];

		g_free(remote->address);
		g_free(remote);
	}
	g_ptr_array_free(router->remotes, TRUE);
}

static void record_load(struct remote *remote, const struct cq_peer_load *load,
			int64_t now_ns)
{
	remote->load = *load;
	remote->load_received_ns = now_ns;
}

static void ask_load(struct cq_router *router, struct remote *remote,
		     int64_t now_ns)
{
	struct cq_forward forward = { .origin.kind = CQ_ORIGIN_SPILL };
	uint64_t *correlation;
	GHashTableIter iter;
	gpointer value;

	if (remote->load_asked_ns &&
	    now_ns - remote->load_asked_ns < ASK_LOAD_INTERVAL_NS)
		return;
	/* A new load request replaces one that was never answered. */
	g_hash_table_iter_init(&iter, router->load_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (value == remote)
			g_hash_table_iter_remove(&iter);
	remote->load_asked_ns = now_ns;
	correlation = g_new(uint64_t, 1);
	*correlation = ++router->next_id;
	g_hash_table_insert(router->load_requests, correlation, remote);
	router->setup.ops->forward(router->setup.ops_ctx, remote->address,
				   *correlation, &forward);
}

/*
 * The remote host with the most free slots whose round trip and margin are
 * shorter than the local wait; NULL if there is none. Requests loads that are
 * out of date.
 */
static struct remote *choose_remote(struct cq_router *router, int64_t wait_ns,
				    int64_t now_ns)
{
	int64_t margin_ns =
		router->setup.options.spill_margin_ms * CQ_NS_PER_MS;
	struct remote *best = NULL;
	uint32_t best_free_slots = 0;
	guint i;

	for (i = 0; i < router->remotes->len; i++) {
		struct remote *remote = router->remotes->pdata[i];
		uint32_t free_slots;

		if (!remote->reachable)
			continue;
		if (now_ns - remote->load_received_ns > ASK_LOAD_INTERVAL_NS)
			ask_load(router, remote, now_ns);
		if (now_ns - remote->load_received_ns > MAX_LOAD_AGE_NS ||
		    remote->load.free_slots <= remote->open_spills ||
		    wait_ns <= remote->round_trip_ns + margin_ns)
			continue;
		free_slots = remote->load.free_slots - remote->open_spills;
		if (free_slots <= best_free_slots)
			continue;
		best_free_slots = free_slots;
		best = remote;
	}
	return best;
}

static bool may_spill(const struct cq_admission_item *item)
{
	const struct entry *entry = (const struct entry *)item;

	return !entry->no_spill && entry->origin.kind != CQ_ORIGIN_SPILL;
}

static bool spill_one(struct cq_router *router, struct remote *remote)
{
	struct entry *entry =
		(struct entry *)cq_admission_pop(router->admission, may_spill);

	if (!entry)
		return false;
	g_free(entry->peer_address);
	entry->peer_address = g_strdup(remote->address);
	entry->correlation = ++router->next_id;
	entry->spilled = true;
	entry->no_spill = true;
	entry->state = ENTRY_NEW;
	if (!send_forward(router, entry, CQ_ORIGIN_SPILL)) {
		router_enqueue(router, entry);
		return false;
	}
	entry->state = ENTRY_FORWARDED;
	remote->open_spills++;
	g_hash_table_insert(router->forwards, &entry->correlation, entry);
	router->stats.spilled++;
	return true;
}

void router_spill(struct cq_router *router)
{
	int64_t now_ns = router_now(router);
	struct cq_pool_summary summary;
	struct remote *remote;
	int64_t wait_ns;

	if (!router->remotes->len || router->draining)
		return;
	/* A request that cannot be sent is queued without a new dispatch. */
	router->dispatching = true;
	do {
		cq_endpoint_pool_summary(router->pool, now_ns, &summary);
		wait_ns = cq_admission_expected_wait_ns(
			router->admission, 0, "", 1, summary.usable_slots,
			summary.free_slots, now_ns);
		remote = choose_remote(router, wait_ns, now_ns);
	} while (remote && spill_one(router, remote));
	router->dispatching = false;
}

void router_ask_slots(struct cq_router *router)
{
	const struct cq_router_members_ops *members = router->setup.members;
	const struct cq_router_options *options = &router->setup.options;
	int64_t now_ns = router_now(router);
	uint32_t wanted = cq_admission_count(router->admission);
	const char *address;
	uint32_t i;

	if (options->index_count < 2 || router->draining ||
	    (router->slots_asked_ns &&
	     now_ns - router->slots_asked_ns < ASK_SLOTS_INTERVAL_NS))
		return;
	router->slots_asked_ns = now_ns;
	wanted = (wanted + options->index_count - 2) /
		 (options->index_count - 1);
	wanted = MIN(wanted, CQ_SLOTS_MAX_LOANS);
	for (i = 0; i < options->index_count; i++) {
		if (i == options->index ||
		    !members->alive(router->setup.members_ctx,
				    router->data_centre, i))
			continue;
		address = members->peer(router->setup.members_ctx,
					router->data_centre, i);
		if (address)
			router->setup.ops->ask_slots(router->setup.ops_ctx,
						     address, wanted, now_ns);
	}
}

void router_slots_asked(struct cq_router *router, uint32_t borrower,
			uint64_t borrower_incarnation, uint32_t wanted,
			int64_t asked_ns)
{
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
	const char *address;
	uint32_t count;

	if (borrower == router->setup.options.index ||
	    borrower >= router->setup.options.index_count ||
	    cq_admission_count(router->admission))
		return;
	address = router->setup.members->peer(router->setup.members_ctx,
					      router->data_centre, borrower);
	if (!address)
		return;
	count = cq_slots_lend(router->slots, wanted, router_now(router), loans);
	if (count)
		router->setup.ops->lend_slots(router->setup.ops_ctx, address,
					      asked_ns, borrower_incarnation,
					      loans, count);
}

void router_return_slots(struct cq_router *router, bool all)
{
	uint64_t ids[CQ_SLOTS_MAX_LOANS];
	uint64_t incarnation;
	const char *address;
	uint32_t lender;
	uint32_t count;

	while ((count = cq_slots_collect_returns(router->slots, all,
						 router_now(router), &lender,
						 &incarnation, ids))) {
		address = router->setup.members->peer(
			router->setup.members_ctx, router->data_centre, lender);
		if (address)
			router->setup.ops->return_slots(router->setup.ops_ctx,
							address, incarnation,
							ids, count);
	}
}

void router_peers_tick(struct cq_router *router)
{
	int64_t now_ns = router_now(router);

	refresh_remotes(router);
	if (cq_admission_count(router->admission))
		router->queue_empty_since_ns = 0;
	else if (!router->queue_empty_since_ns)
		router->queue_empty_since_ns = now_ns;
	router_return_slots(router,
			    router->draining ||
				    (router->queue_empty_since_ns &&
				     now_ns - router->queue_empty_since_ns >=
					     RETURN_LOANS_DELAY_NS));
}
