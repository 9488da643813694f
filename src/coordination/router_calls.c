#include <assert.h>
#include <string.h>

#include "coordination/router_internal.h"

/* Reroutes of one request after endpoints refused it or were unreachable. */
#define MAX_REROUTES 6
/* An idempotent attempt is late after this many mean call durations. */
#define LATE_SERVICE_FACTOR 8
#define MIN_LATE_DELAY_NS (250 * CQ_NS_PER_MS)
#define PROBE_TIMEOUT_MS 1000

static bool start_call(struct cq_router *router, struct entry *entry);
static void attempt_ended(struct cq_router *router, struct entry *entry,
			  const struct call *call,
			  const struct cq_endpoint_result *result);
static void reroute(struct cq_router *router, struct entry *entry);
static void attempt_failed(struct cq_router *router, struct entry *entry,
			   const struct cq_endpoint_result *result);
static bool may_retry(struct cq_router *router, const struct entry *entry);
static bool is_queued_or_forwarded(const struct entry *entry);
static void retry(struct cq_router *router, struct entry *entry);
static void answer_with_result(struct cq_router *router, struct entry *entry,
			       const struct call *call,
			       const struct cq_endpoint_result *result);
static struct cq_pool_endpoint *
endpoint_to_avoid(const struct cq_router *router, const struct entry *entry);
static struct call *call_create(struct cq_router *router, struct entry *entry,
				struct cq_pool_endpoint *endpoint);

static struct cq_pool_endpoint *
endpoint_to_avoid(const struct cq_router *router, const struct entry *entry)
{
	return entry->last_endpoint_id
		       ? cq_endpoint_pool_find(router->pool,
					       entry->last_endpoint_id)
		       : NULL;
}

/* Takes a slot for a call; NULL if none is free. entry is NULL for a probe. */
static struct call *call_create(struct cq_router *router, struct entry *entry,
				struct cq_pool_endpoint *endpoint)
{
	int64_t now_ns = router_now(router);
	struct cq_slots_grant grant;
	struct call *call;

	if (!cq_slots_take(router->slots, cq_pool_endpoint_slots(endpoint),
			   now_ns, &grant))
		return NULL;
	call = g_new0(struct call, 1);
	call->id = ++router->next_id;
	call->entry = entry;
	call->endpoint = endpoint;
	call->grant = grant;
	call->started_ns = now_ns;
	g_hash_table_insert(router->calls, &call->id, call);
	cq_pool_call_started(router->pool, endpoint, now_ns);
	return call;
}

/*
 * The timeout of the call is the longest time an endpoint may work, not the
 * caller's deadline, because the slot is in use until the endpoint has ended.
 */
static bool start_call(struct cq_router *router, struct entry *entry)
{
	int64_t now_ns = router_now(router);
	struct cq_pool_endpoint *endpoint = cq_endpoint_pool_pick(
		router->pool, endpoint_to_avoid(router, entry), now_ns);
	struct cq_endpoint_call request;
	struct call *call;
	char *request_id;
	int64_t late_ns =
		LATE_SERVICE_FACTOR *
		cq_admission_service_ns(router->admission, entry->item.rank);

	call = endpoint ? call_create(router, entry, endpoint) : NULL;
	if (!call)
		return false;
	entry->attempts++;
	entry->open_calls++;
	entry->state = ENTRY_CALLING;
	entry->late_reported = false;
	entry->attempt_deadline_ns = now_ns + MAX(late_ns, MIN_LATE_DELAY_NS);
	g_free(entry->last_endpoint_id);
	entry->last_endpoint_id = g_strdup(cq_pool_endpoint_id(endpoint));
	request_id = g_strdup_printf("%s-%" G_GUINT64_FORMAT ".%u", router->id,
				     entry->id, entry->attempts);
	request = (struct cq_endpoint_call){
		.address = cq_pool_endpoint_address(endpoint),
		.request_id = request_id,
		.path = entry->request.path,
		.content_type = entry->request.content_type,
		.workspace = entry->request.workspace,
		.class_name = entry->request.class_name,
		.body = entry->request.body,
		.body_len = entry->request.body_len,
		.timeout_ms = router->setup.options.call_max_ms,
		.fresh_connection =
			!entry->request.idempotent ||
			cq_pool_endpoint_needs_new_connection(endpoint, now_ns),
	};
	router->setup.ops->call(router->setup.ops_ctx, call->id, &request);
	g_free(request_id);
	return true;
}

void router_dispatch(struct cq_router *router)
{
	int64_t now_ns = router_now(router);
	struct entry *entry;

	if (router->dispatching)
		return;
	cq_slots_set_holds_index(router->slots,
				 router->setup.members->holds_index(
					 router->setup.members_ctx, now_ns));
	router->dispatching = true;
	while (cq_admission_count(router->admission) &&
	       cq_endpoint_pool_pick(router->pool, NULL, now_ns)) {
		entry = (struct entry *)cq_admission_pop(router->admission,
							 NULL);
		entry->state = ENTRY_NEW;
		/*
		 * A request that cannot be answered in time must not take the
		 * slot from one that can.
		 */
		if (now_ns + cq_admission_service_ns(router->admission,
						     entry->item.rank) /
				     2 >
		    entry->deadline_ns)
			router_refuse(router, entry, CQ_REFUSAL_DEADLINE,
				      "the deadline passed while the request "
				      "was queued");
		else if (!start_call(router, entry))
			router_refuse(router, entry, CQ_REFUSAL_NO_ENDPOINT,
				      "no endpoint has a free slot");
	}
	router->dispatching = false;
	if (!cq_admission_count(router->admission))
		return;
	router->queue_empty_since_ns = 0;
	router_ask_slots(router);
	router_spill(router);
}

void router_call_done(struct cq_router *router, uint64_t call_id,
		      const struct cq_endpoint_result *result)
{
	struct call *call = g_hash_table_lookup(router->calls, &call_id);
	struct entry *entry;
	int64_t now_ns = router_now(router);
	bool dispatching;

	assert(call);
	entry = call->entry;
	cq_slots_put(router->slots, cq_pool_endpoint_slots(call->endpoint),
		     &call->grant);
	if (result->outcome == CQ_ENDPOINT_ANSWERED && entry &&
	    result->status < 500)
		cq_admission_note_service(router->admission, entry->item.rank,
					  now_ns - call->started_ns);
	if (result->outcome == CQ_ENDPOINT_MISMATCHED)
		router->stats.crossed++;
	if (entry) {
		entry->open_calls--;
		/*
		 * The pool may free an endpoint when its call has ended, so the
		 * entry is handled first. Dispatching is held off until the
		 * pool has recorded the result.
		 */
		dispatching = router->dispatching;
		router->dispatching = true;
		attempt_ended(router, entry, call, result);
		router->dispatching = dispatching;
		cq_pool_call_ended(router->pool, call->endpoint,
				   call->started_ns, result, now_ns);
	} else {
		cq_pool_probe_ended(router->pool, call->endpoint, result,
				    now_ns);
	}
	g_hash_table_remove(router->calls, &call_id);
	router_dispatch(router);
}

static void answer_with_result(struct cq_router *router, struct entry *entry,
			       const struct call *call,
			       const struct cq_endpoint_result *result)
{
	struct cq_answer answer = {
		.status = result->status,
		.content_type = result->content_type,
		.endpoint = cq_pool_endpoint_id(call->endpoint),
		.message = "",
		.body = result->body,
		.body_len = result->body_len,
	};

	router_finish(router, entry, &answer);
}

static void attempt_ended(struct cq_router *router, struct entry *entry,
			  const struct call *call,
			  const struct cq_endpoint_result *result)
{
	if (entry->state == ENTRY_ENDED) {
		router->stats.late_answers += result->outcome ==
					      CQ_ENDPOINT_ANSWERED;
		router_free_if_done(router, entry);
		return;
	}
	switch (result->outcome) {
	case CQ_ENDPOINT_ANSWERED:
		if (result->status >= 500 && entry->request.idempotent) {
			/* Another attempt may still succeed. */
			if (is_queued_or_forwarded(entry) || entry->open_calls)
				return;
			entry->maybe_ran = true;
			if (may_retry(router, entry)) {
				retry(router, entry);
				return;
			}
		}
		answer_with_result(router, entry, call, result);
		return;
	case CQ_ENDPOINT_REFUSED:
	case CQ_ENDPOINT_NOT_SENT:
		reroute(router, entry);
		return;
	case CQ_ENDPOINT_BROKEN:
	case CQ_ENDPOINT_MISMATCHED:
	case CQ_ENDPOINT_TIMED_OUT:
		entry->maybe_ran = true;
		attempt_failed(router, entry, result);
		return;
	}
}

/* Whether another attempt of the request is queued or at a peer. */
static bool is_queued_or_forwarded(const struct entry *entry)
{
	return entry->state == ENTRY_QUEUED || entry->state == ENTRY_FORWARDED;
}

/*
 * Tries another endpoint after an attempt that provably did not run. This is
 * no extra load, so it does not count against the retry budget.
 */
static void reroute(struct cq_router *router, struct entry *entry)
{
	if (is_queued_or_forwarded(entry) || entry->open_calls)
		return;
	if (!entry->caller || ++entry->reroutes > MAX_REROUTES) {
		router_refuse(router, entry, CQ_REFUSAL_NO_ENDPOINT,
			      "several endpoints refused the request or were "
			      "unreachable");
		return;
	}
	router->stats.reroutes++;
	router_enqueue(router, entry);
}

static void attempt_failed(struct cq_router *router, struct entry *entry,
			   const struct cq_endpoint_result *result)
{
	if (is_queued_or_forwarded(entry))
		return;
	if (entry->request.idempotent && may_retry(router, entry)) {
		retry(router, entry);
		return;
	}
	if (entry->open_calls)
		return;
	router_refuse(router, entry, CQ_REFUSAL_ENDPOINT_FAILED,
		      result->outcome == CQ_ENDPOINT_TIMED_OUT
			      ? "the endpoint did not answer"
			      : "the endpoint's answer was incomplete or "
				"belonged to another request");
}

static bool may_retry(struct cq_router *router, const struct entry *entry)
{
	if (!entry->caller || is_queued_or_forwarded(entry) ||
	    router_now(router) >= entry->deadline_ns)
		return false;
	if (router->retry_tokens >= 1)
		return true;
	router->stats.budget_exhausted++;
	return false;
}

static void retry(struct cq_router *router, struct entry *entry)
{
	router->retry_tokens -= 1;
	router->stats.retries++;
	router_enqueue(router, entry);
}

void router_attempt_late(struct cq_router *router, struct entry *entry)
{
	struct cq_pool_endpoint *endpoint = endpoint_to_avoid(router, entry);

	if (endpoint && !entry->late_reported)
		cq_pool_call_late(router->pool, endpoint, router_now(router));
	entry->late_reported = true;
	/* Checked again later, when a retry token may be available. */
	entry->attempt_deadline_ns = router_now(router) + MIN_LATE_DELAY_NS;
	entry->maybe_ran = true;
	if (may_retry(router, entry))
		retry(router, entry);
}

void router_start_probes(struct cq_router *router)
{
	struct cq_pool_endpoint *endpoint;
	struct call *call;
	char *request_id;

	while ((endpoint = cq_endpoint_pool_next_probe(router->pool,
						       router_now(router)))) {
		call = call_create(router, NULL, endpoint);
		/* The pool returns only endpoints with a free slot. */
		assert(call);
		request_id = g_strdup_printf("%s-probe-%" G_GUINT64_FORMAT,
					     router->id, call->id);
		router->setup.ops->probe(router->setup.ops_ctx, call->id,
					 cq_pool_endpoint_address(endpoint),
					 request_id, PROBE_TIMEOUT_MS);
		g_free(request_id);
	}
}
