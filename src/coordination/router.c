#include "chestnutquay/router.h"

#include <assert.h>
#include <string.h>

#include "coordination/router_internal.h"

#define SLOW_TICK_NS CQ_NS_PER_S
/* Retries allowed per idempotent request. */
#define RETRY_TOKENS_PER_REQUEST 0.1
#define RETRY_TOKENS_INITIAL 3.0
#define RETRY_TOKENS_MAX 20.0
/* An id is the start time of the process in milliseconds and a counter. */
#define ID_COUNTER_BITS 22

static struct cq_router *create(const struct cq_router_setup *setup);
static void destroy(struct cq_router *router);
static void submit(struct cq_router *router, const struct cq_request *request,
		   const struct cq_origin *origin, void *caller);
static void abandon(struct cq_router *router, void *caller);
static void slots_lent(struct cq_router *router, uint32_t lender,
		       uint64_t lender_incarnation, int64_t asked_ns,
		       const struct cq_slots_loan *loans, uint32_t count);
static void slots_returned(struct cq_router *router, const uint64_t *loan_ids,
			   uint32_t count);
static void set_hosts(struct cq_router *router, const struct cq_host *hosts,
		      size_t count);
static void tick(struct cq_router *router);
static void drain(struct cq_router *router);
static void load(const struct cq_router *router, struct cq_peer_load *load);
static void stats(const struct cq_router *router,
		  struct cq_router_stats *stats);
static struct entry *entry_create(struct cq_router *router,
				  const struct cq_request *request,
				  const struct cq_origin *origin, void *caller);
static void entry_free(struct entry *entry);
static void answer_caller(struct cq_router *router, struct entry *entry,
			  const struct cq_answer *answer);
static void detach_entry(struct cq_router *router, struct entry *entry);
static bool key_applies(const struct entry *entry);
static bool may_have_run(const struct entry *entry);
static GArray *list_entry_ids(const struct cq_router *router);
static void tick_entry(struct cq_router *router, struct entry *entry,
		       int64_t now_ns);

static const struct cq_router_vtable vtable = {
	.create = create,
	.destroy = destroy,
	.submit = submit,
	.abandon = abandon,
	.call_done = router_call_done,
	.forward_done = router_forward_done,
	.slots_asked = router_slots_asked,
	.slots_lent = slots_lent,
	.slots_returned = slots_returned,
	.set_hosts = set_hosts,
	.tick = tick,
	.drain = drain,
	.hand_over = router_hand_over,
	.outcomes_offered = router_outcomes_offered,
	.outcomes_taken = router_outcomes_taken,
	.load = load,
	.stats = stats,
};

const struct cq_router_vtable *cq_router_vtable(void)
{
	return &vtable;
}

void cq_router_options_init(struct cq_router_options *options)
{
	memset(options, 0, sizeof(*options));
	options->index_count = 1;
	options->max_queued = 5000;
	options->max_queued_bytes = UINT64_C(48) << 20;
	options->call_max_ms = 30000;
	options->loan_ms = 1000;
	options->max_keys = 200000;
	options->max_key_bytes = UINT64_C(64) << 20;
	options->max_kept_answer_bytes = 64U << 10;
	options->spill_margin_ms = 5;
}

static struct cq_router *create(const struct cq_router_setup *setup)
{
	struct cq_router *router = g_new0(struct cq_router, 1);
	const struct cq_router_options *options = &setup->options;
	int64_t now_ns = cq_clock_now_ns(setup->clock);
	struct cq_slots_options slots_options = {
		.index = options->index,
		.index_count = options->index_count,
		.loan_ns = options->loan_ms * CQ_NS_PER_MS,
		.call_max_ns = options->call_max_ms * CQ_NS_PER_MS,
		.usable_from_ns =
			now_ns + options->share_hold_ms * CQ_NS_PER_MS,
	};
	struct cq_admission_options admission_options = {
		options->max_queued, options->max_queued_bytes
	};
	struct cq_outcomes_options outcome_options = {
		.max_entries = options->max_keys,
		.max_body_bytes = options->max_key_bytes,
		.max_answer_bytes = options->max_kept_answer_bytes,
		.refused_keep_ms = options->call_max_ms,
	};
	struct cq_pool_options pool_options;

	router->setup = *setup;
	router->id = g_strdup(options->id);
	router->data_centre = g_strdup(options->data_centre);
	router->slots = cq_slots_create(&slots_options);
	cq_pool_options_init(&pool_options);
	router->pool = cq_endpoint_pool_create(&pool_options, router->slots,
					       options->seed);
	router->admission = cq_admission_create(&admission_options);
	router->outcomes = cq_outcomes_create(&outcome_options,
					      cq_clock_unix_ms(setup->clock));
	router_hand_over_init(router);
	router->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
	router->by_caller = g_hash_table_new(NULL, NULL);
	router->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	router->forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	router->load_requests = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	router->remotes = g_ptr_array_new();
	router->retry_tokens = RETRY_TOKENS_INITIAL;
	router->next_id = options->incarnation << ID_COUNTER_BITS;
	router->queue_empty_since_ns = now_ns;
	return router;
}

static void destroy(struct cq_router *router)
{
	GHashTableIter iter;
	gpointer value;

	if (!router)
		return;
	g_hash_table_iter_init(&iter, router->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		entry_free(value);
	g_hash_table_destroy(router->entries);
	g_hash_table_destroy(router->by_caller);
	g_hash_table_destroy(router->calls);
	g_hash_table_destroy(router->forwards);
	g_hash_table_destroy(router->load_requests);
	router_remotes_free(router);
	router_hand_over_free(router);
	cq_outcomes_destroy(router->outcomes);
	cq_admission_destroy(router->admission);
	cq_endpoint_pool_destroy(router->pool);
	cq_slots_destroy(router->slots);
	g_free(router->data_centre);
	g_free(router->id);
	g_free(router);
}

const struct cq_endpoint_pool *cq_router_pool(const struct cq_router *router)
{
	return router->pool;
}

/* The key of an idempotent request is ignored: it may run twice. */
static bool key_applies(const struct entry *entry)
{
	return !entry->request.idempotent && *entry->request.key;
}

static bool may_have_run(const struct entry *entry)
{
	return entry->maybe_ran || entry->open_calls ||
	       entry->state == ENTRY_FORWARDED;
}

static struct entry *entry_create(struct cq_router *router,
				  const struct cq_request *request,
				  const struct cq_origin *origin, void *caller)
{
	struct entry *entry = g_new0(struct entry, 1);
	int64_t timeout_ms = request->timeout_ms;
	int64_t unix_ms = router_unix_ms(router);

	assert(caller);
	if (timeout_ms > router->setup.options.call_max_ms)
		timeout_ms = router->setup.options.call_max_ms;
	if (origin) {
		entry->origin = *origin;
		timeout_ms =
			MIN(timeout_ms, origin->deadline_unix_ms - unix_ms);
	} else {
		entry->origin.accepted_unix_ms = unix_ms;
		entry->origin.deadline_unix_ms = unix_ms + timeout_ms;
	}
	entry->request = *request;
	entry->request.workspace = g_strdup(request->workspace);
	entry->request.class_name = g_strdup(request->class_name);
	entry->request.path = g_strdup(request->path);
	entry->request.content_type = g_strdup(request->content_type);
	entry->request.key = g_strdup(request->key);
	entry->caller = caller;
	entry->id = ++router->next_id;
	entry->arrival_ns = router_now(router);
	entry->deadline_ns = entry->arrival_ns + timeout_ms * CQ_NS_PER_MS;
	entry->item.workspace = entry->request.workspace;
	entry->item.bytes = request->body_len + sizeof(*entry);
	g_hash_table_insert(router->entries, &entry->id, entry);
	g_hash_table_insert(router->by_caller, caller, entry);
	router->stats.submitted++;
	return entry;
}

static void entry_free(struct entry *entry)
{
	g_free((char *)entry->request.workspace);
	g_free((char *)entry->request.class_name);
	g_free((char *)entry->request.path);
	g_free((char *)entry->request.content_type);
	g_free((char *)entry->request.key);
	g_free(entry->last_endpoint_id);
	g_free(entry->peer_address);
	g_free(entry->home_data_centre);
	if (entry->waiters)
		g_ptr_array_free(entry->waiters, TRUE);
	g_free(entry);
}

static void submit(struct cq_router *router, const struct cq_request *request,
		   const struct cq_origin *origin, void *caller)
{
	struct entry *entry = entry_create(router, request, origin, caller);
	const struct cq_router_policy_ops *policy = router->setup.policy;
	void *policy_ctx = router->setup.policy_ctx;
	uint32_t rank = 0;

	/* Only the home of a key knows whether an earlier copy ran. */
	entry->maybe_ran = key_applies(entry) &&
			   entry->origin.kind != CQ_ORIGIN_SPILL;
	if (!policy->workspace(policy_ctx, request->workspace,
			       &entry->item.weight)) {
		router_refuse(router, entry, CQ_REFUSAL_UNKNOWN_WORKSPACE,
			      "no workspace of this name exists");
		return;
	}
	if (!policy->class_rank(policy_ctx, request->class_name, &rank) ||
	    rank >= CQ_ADMISSION_MAX_RANKS) {
		router_refuse(router, entry, CQ_REFUSAL_UNKNOWN_CLASS,
			      "no class of this name exists");
		return;
	}
	entry->item.rank = rank;
	cq_admission_note_arrival(router->admission, entry->item.rank,
				  entry->arrival_ns);
	if (key_applies(entry) && entry->origin.kind != CQ_ORIGIN_SPILL)
		router_begin_keyed(router, entry);
	else
		router_admit(router, entry);
}

int64_t router_expected_wait_ns(const struct cq_router *router,
				const struct entry *entry)
{
	struct cq_pool_summary summary;
	int64_t now_ns = router_now(router);

	cq_endpoint_pool_summary(router->pool, now_ns, &summary);
	return cq_admission_expected_wait_ns(
		router->admission, entry->item.rank, entry->request.workspace,
		entry->item.weight, summary.usable_slots, summary.free_slots,
		now_ns);
}

uint32_t router_expected_ms(const struct cq_router *router,
			    const struct entry *entry)
{
	int64_t wait_ns = router_expected_wait_ns(router, entry);
	int64_t max_ns = router->setup.options.call_max_ms * CQ_NS_PER_MS;

	/* Without a usable endpoint the wait is reported as the maximum. */
	if (wait_ns > max_ns)
		wait_ns = max_ns;
	wait_ns += cq_admission_service_ns(router->admission, entry->item.rank);
	return (uint32_t)((wait_ns + CQ_NS_PER_MS - 1) / CQ_NS_PER_MS);
}

void router_admit(struct cq_router *router, struct entry *entry)
{
	int64_t left_ns = entry->deadline_ns - router_now(router);
	int64_t wait_ns = router_expected_wait_ns(router, entry);

	if (left_ns <= 0) {
		router_refuse(router, entry, CQ_REFUSAL_DEADLINE,
			      "the deadline passed before the request arrived");
		return;
	}
	/* Without a usable endpoint the request waits, as one may recover. */
	if (wait_ns != INT64_MAX && wait_ns > 0 &&
	    wait_ns + cq_admission_service_ns(router->admission,
					      entry->item.rank) >
		    left_ns) {
		entry->item.queued = false;
		router_refuse(router, entry, CQ_REFUSAL_TOO_LATE,
			      "the expected answer time is after the deadline");
		return;
	}
	router->stats.first_attempts++;
	if (entry->request.idempotent)
		router->retry_tokens =
			MIN(router->retry_tokens + RETRY_TOKENS_PER_REQUEST,
			    RETRY_TOKENS_MAX);
	router_enqueue(router, entry);
}

void router_enqueue(struct cq_router *router, struct entry *entry)
{
	struct cq_admission_item *evicted = NULL;

	entry->state = ENTRY_QUEUED;
	if (!cq_admission_push(router->admission, &entry->item, &evicted)) {
		entry->state = ENTRY_NEW;
		router_refuse(router, entry, CQ_REFUSAL_OVERLOADED,
			      "the queue is full");
		return;
	}
	if (evicted) {
		struct entry *other = (struct entry *)evicted;

		other->state = ENTRY_NEW;
		router_refuse(
			router, other, CQ_REFUSAL_OVERLOADED,
			"the queue is full of requests of more urgent classes");
	}
	router_dispatch(router);
}

static void answer_caller(struct cq_router *router, struct entry *entry,
			  const struct cq_answer *answer)
{
	struct cq_answer out = *answer;
	void *caller = entry->caller;

	if (!caller)
		return;
	entry->caller = NULL;
	g_hash_table_remove(router->by_caller, caller);
	out.expected_wait_ms = router_expected_ms(router, entry);
	if (answer->refusal)
		router->stats.refused++;
	else
		router->stats.answered++;
	router->setup.ops->answer(router->setup.ops_ctx, caller, &out);
}

/* Removes an entry from all structures except the open calls. */
static void detach_entry(struct cq_router *router, struct entry *entry)
{
	if (entry->state == ENTRY_QUEUED)
		cq_admission_remove(router->admission, &entry->item);
	if (entry->state == ENTRY_WAITING)
		router_detach_from_primary(entry);
	router_remove_forward(router, entry);
	entry->state = ENTRY_ENDED;
}

void router_free_if_done(struct cq_router *router, struct entry *entry)
{
	if (entry->state != ENTRY_ENDED || entry->open_calls || entry->outcome)
		return;
	g_hash_table_remove(router->entries, &entry->id);
	entry_free(entry);
}

void router_finish(struct cq_router *router, struct entry *entry,
		   const struct cq_answer *answer)
{
	GPtrArray *waiters = g_steal_pointer(&entry->waiters);
	struct cq_outcome *outcome = g_steal_pointer(&entry->outcome);
	guint i;

	if (outcome && answer->refusal && answer->run == CQ_REQUEST_NOT_RUN)
		cq_outcomes_refused(router->outcomes, outcome,
				    router_unix_ms(router));
	else if (outcome)
		cq_outcomes_done(router->outcomes, outcome, answer);
	detach_entry(router, entry);
	answer_caller(router, entry, answer);
	for (i = 0; waiters && i < waiters->len; i++) {
		struct entry *waiter = waiters->pdata[i];

		waiter->primary = NULL;
		waiter->state = ENTRY_ENDED;
		answer_caller(router, waiter, answer);
		router_free_if_done(router, waiter);
	}
	if (waiters)
		g_ptr_array_free(waiters, TRUE);
	router_free_if_done(router, entry);
}

void router_refuse(struct cq_router *router, struct entry *entry,
		   enum cq_refusal refusal, const char *message)
{
	struct cq_answer answer = {
		.refusal = refusal,
		.run = may_have_run(entry) ? CQ_REQUEST_MAY_HAVE_RUN
					   : CQ_REQUEST_NOT_RUN,
		.status = cq_refusal_status(refusal),
		.content_type = "",
		.endpoint = "",
		.message = message,
		.body = "",
	};

	/* An open call of a keyed request may still yield its outcome. */
	if (entry->outcome && entry->open_calls) {
		answer_caller(router, entry, &answer);
		return;
	}
	/* Remove it from the queue first, as promoting a waiter dispatches. */
	detach_entry(router, entry);
	if (answer.run == CQ_REQUEST_NOT_RUN &&
	    router_promote_waiter(router, entry))
		answer.run = CQ_REQUEST_MAY_HAVE_RUN;
	router_finish(router, entry, &answer);
}

static void abandon(struct cq_router *router, void *caller)
{
	struct entry *entry = g_hash_table_lookup(router->by_caller, caller);

	if (!entry)
		return;
	g_hash_table_remove(router->by_caller, caller);
	entry->caller = NULL;
	/* Open calls continue: they hold a slot and their outcome is kept. */
	if (entry->outcome &&
	    (entry->open_calls || entry->state == ENTRY_FORWARDED))
		return;
	detach_entry(router, entry);
	if (entry->outcome && !router_promote_waiter(router, entry))
		cq_outcomes_remove(router->outcomes,
				   g_steal_pointer(&entry->outcome));
	router_free_if_done(router, entry);
}

static void slots_lent(struct cq_router *router, uint32_t lender,
		       uint64_t lender_incarnation, int64_t asked_ns,
		       const struct cq_slots_loan *loans, uint32_t count)
{
	cq_slots_borrow(router->slots, lender, lender_incarnation, loans, count,
			asked_ns);
	router_dispatch(router);
}

static void slots_returned(struct cq_router *router, const uint64_t *loan_ids,
			   uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		cq_slots_returned(router->slots, loan_ids[i]);
	router_dispatch(router);
}

static void set_hosts(struct cq_router *router, const struct cq_host *hosts,
		      size_t count)
{
	cq_endpoint_pool_update(router->pool, router->data_centre, hosts, count,
				router_now(router));
	router_dispatch(router);
}

static void tick_entry(struct cq_router *router, struct entry *entry,
		       int64_t now_ns)
{
	if (entry->state == ENTRY_ENDED)
		return;
	if (now_ns >= entry->deadline_ns &&
	    (entry->caller || entry->state == ENTRY_FORWARDED)) {
		router_refuse(router, entry, CQ_REFUSAL_DEADLINE,
			      "the deadline passed");
		return;
	}
	if (entry->state == ENTRY_FORWARDED)
		router_forward_tick(router, entry);
	else if (entry->state == ENTRY_CALLING && entry->caller &&
		 entry->request.idempotent &&
		 now_ns >= entry->attempt_deadline_ns)
		router_attempt_late(router, entry);
}

static GArray *list_entry_ids(const struct cq_router *router)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, router->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_array_append_val(ids, ((struct entry *)value)->id);
	return ids;
}

static void tick(struct cq_router *router)
{
	int64_t now_ns = router_now(router);
	GArray *ids = list_entry_ids(router);
	struct entry *entry;
	guint i;

	/* Ending an entry may free others, so each is looked up by its id. */
	for (i = 0; i < ids->len; i++) {
		entry = g_hash_table_lookup(router->entries,
					    &g_array_index(ids, uint64_t, i));
		if (entry)
			tick_entry(router, entry, now_ns);
	}
	g_array_free(ids, TRUE);
	cq_slots_tick(router->slots, now_ns);
	cq_endpoint_pool_tick(router->pool,
			      cq_admission_mean_service_ns(router->admission),
			      now_ns);
	router_start_probes(router);
	if (now_ns - router->last_slow_tick_ns >= SLOW_TICK_NS) {
		router->last_slow_tick_ns = now_ns;
		cq_outcomes_tick(router->outcomes, router_unix_ms(router));
	}
	router_dispatch(router);
	router_peers_tick(router);
	router_hand_over_tick(router);
}

static void drain(struct cq_router *router)
{
	router->draining = true;
	router_return_slots(router, true);
}

static void load(const struct cq_router *router, struct cq_peer_load *out)
{
	struct cq_pool_summary summary;
	int64_t now_ns = router_now(router);
	int64_t wait_ns;
	uint32_t queued = cq_admission_count(router->admission);

	cq_endpoint_pool_summary(router->pool, now_ns, &summary);
	wait_ns = cq_admission_expected_wait_ns(router->admission, 0, "", 1,
						summary.usable_slots,
						summary.free_slots, now_ns);
	out->free_slots =
		summary.free_slots > queued ? summary.free_slots - queued : 0;
	out->expected_wait_ms = wait_ns > UINT32_MAX * CQ_NS_PER_MS
					? UINT32_MAX
					: (uint32_t)(wait_ns / CQ_NS_PER_MS);
}

static void stats(const struct cq_router *router, struct cq_router_stats *out)
{
	*out = router->stats;
	out->open = g_hash_table_size(router->entries);
	out->queued = cq_admission_count(router->admission);
	out->keys = cq_outcomes_count(router->outcomes);
	out->lent = cq_slots_lent(router->slots);
	out->borrowed = cq_slots_borrowed(router->slots);
}
