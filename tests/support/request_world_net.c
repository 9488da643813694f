#include <assert.h>
#include <string.h>

#include "request_world_internal.h"

/* A call on its way to an endpoint, running there, or on its way back. */
struct flight {
	struct process *process;
	uint64_t call_id;
	struct endpoint *endpoint;
	struct logical *logical; /* NULL: probe */
	char *body;
	enum cq_endpoint_outcome outcome;
	uint32_t status;
	bool leaving;
	bool cross;
	bool completed; /* the router has been told */
	uint32_t references;
};

struct message {
	struct process *to;
	struct host *from;
	uint64_t from_incarnation;
	enum message_kind {
		MESSAGE_FORWARD,
		MESSAGE_ANSWER,
		MESSAGE_ASK,
		MESSAGE_LEND,
		MESSAGE_RETURN,
		MESSAGE_OFFER,
		MESSAGE_TAKEN,
	} kind;
	uint64_t correlation;
	uint8_t *data;
	size_t len;
	/* MESSAGE_ANSWER: when it was decided, and the executions by then. */
	int64_t decided_ns;
	uint32_t ran_before_decision;
};

static void on_run_end(struct world *world, void *ctx);
static void on_call(void *ctx, uint64_t call_id,
		    const struct cq_endpoint_call *call);
static void on_probe(void *ctx, uint64_t call_id, const char *address,
		     const char *request_id, uint32_t timeout_ms);
static void on_answer(void *ctx, void *caller, const struct cq_answer *answer);
static bool on_forward(void *ctx, const char *address, uint64_t correlation,
		       const struct cq_forward *forward);
static void on_ask(void *ctx, const char *address, uint32_t wanted,
		   int64_t asked_ns);
static void on_lend(void *ctx, const char *address, int64_t asked_ns,
		    uint64_t borrower_incarnation,
		    const struct cq_slots_loan *loans, uint32_t count);
static void on_return(void *ctx, const char *address,
		      uint64_t lender_incarnation, const uint64_t *ids,
		      uint32_t count);
static void on_offer(void *ctx, const char *address, uint64_t correlation,
		     const struct cq_outcomes_offer *offer);

const struct cq_router_ops world_router_ops = {
	.call = on_call,
	.probe = on_probe,
	.answer = on_answer,
	.forward = on_forward,
	.ask_slots = on_ask,
	.lend_slots = on_lend,
	.return_slots = on_return,
	.offer_outcomes = on_offer,
};

struct endpoint *world_find_endpoint(struct world *world, const char *address)
{
	guint i;

	for (i = 0; i < world->endpoints->len; i++) {
		struct endpoint *e = world->endpoints->pdata[i];

		if (!strcmp(e->address, address))
			return e;
	}
	return NULL;
}

static void flight_release(struct flight *flight)
{
	if (--flight->references)
		return;
	g_free(flight->body);
	g_free(flight);
}

static void count_connection(struct process *process,
			     const struct endpoint *endpoint, int change)
{
	struct world *world = process->world;
	gpointer value =
		g_hash_table_lookup(process->open_calls, endpoint->address);
	int now_open = GPOINTER_TO_INT(value) + change;
	/* Half for the index's former holder, as cq-entryd keeps it. */
	int share =
		(int)(world->options.connections / (2 * world->options.hosts));

	g_hash_table_insert(process->open_calls, endpoint->address,
			    GINT_TO_POINTER(now_open));
	if (now_open > share)
		world->connections_exceeded = MAX(world->connections_exceeded,
						  (uint32_t)(now_open - share));
}

static void complete(struct world *world, struct flight *flight)
{
	struct cq_endpoint_result result = {
		.outcome = flight->outcome,
		.leaving = flight->leaving,
		.status = flight->status,
		.content_type = "",
		.body = flight->cross ? "another-body" : flight->body,
	};

	flight->completed = true;
	if (flight->process->dead)
		return;
	count_connection(flight->process, flight->endpoint, -1);
	result.body_len = strlen(result.body);
	world->options.vtable->call_done(flight->process->router,
					 flight->call_id, &result);
}

static void on_back(struct world *world, void *ctx)
{
	struct flight *flight = ctx;

	if (!flight->completed && !flight->process->dead &&
	    world_defer_if_paused(flight->process, on_back, flight))
		return;
	if (!flight->completed)
		complete(world, flight);
	flight_release(flight);
}

static void on_timeout(struct world *world, void *ctx)
{
	struct flight *flight = ctx;

	if (!flight->completed && !flight->process->dead &&
	    world_defer_if_paused(flight->process, on_timeout, flight))
		return;
	if (!flight->completed) {
		flight->outcome = CQ_ENDPOINT_TIMED_OUT;
		flight->status = 0;
		complete(world, flight);
	}
	flight_release(flight);
}

static void send_back(struct world *world, struct flight *flight,
		      enum cq_endpoint_outcome outcome, uint32_t status)
{
	flight->outcome = outcome;
	flight->status = status;
	flight->cross = outcome == CQ_ENDPOINT_MISMATCHED;
	world_at(world, world->now_ns + world->options.link_ns, on_back,
		 flight);
}

static void start_run(struct world *world, struct flight *flight)
{
	struct endpoint *e = flight->endpoint;
	double spread = world->options.service_spread;
	double factor = 1 + spread * (2 * g_rand_double(world->random) - 1);
	int64_t run_ns = (int64_t)((double)world->options.service_ns * factor) +
			 e->faults.extra_ns;

	if (flight->logical) {
		flight->logical->executions++;
		world->executions++;
	}
	e->running++;
	e->peak = MAX(e->peak, e->running);
	if (e->running > world->options.slots)
		e->worst = MAX(e->worst, e->running - world->options.slots);
	if (e->faults.fail_fast || !flight->logical)
		run_ns = CQ_NS_PER_MS;
	world_at(world, world->now_ns + run_ns, on_run_end, flight);
}

static void on_run_end(struct world *world, void *ctx)
{
	struct flight *flight = ctx;
	struct endpoint *e = flight->endpoint;

	e->running--;
	if (e->waiting.length)
		start_run(world, g_queue_pop_head(&e->waiting));
	if (e->faults.never_answer) {
		flight_release(flight);
		return;
	}
	if (e->faults.cut_answers)
		send_back(world, flight, CQ_ENDPOINT_BROKEN, 0);
	else if (e->faults.cross_answers)
		send_back(world, flight, CQ_ENDPOINT_MISMATCHED, 200);
	else
		send_back(world, flight, CQ_ENDPOINT_ANSWERED,
			  e->faults.fail_fast ? 500 : 200);
}

static void on_arrival(struct world *world, void *ctx)
{
	struct flight *flight = ctx;
	struct endpoint *e = flight->endpoint;

	if (e->faults.down) {
		send_back(world, flight, CQ_ENDPOINT_NOT_SENT, 0);
		return;
	}
	e->calls++;
	if (e->faults.leaving) {
		flight->leaving = true;
		send_back(world, flight, CQ_ENDPOINT_REFUSED, 503);
		return;
	}
	if (world->options.endpoint_queues &&
	    e->running >= world->options.slots)
		g_queue_push_tail(&e->waiting, flight);
	else
		start_run(world, flight);
}

static struct flight *take_off(struct process *process, uint64_t call_id,
			       const char *address, uint32_t timeout_ms)
{
	struct world *world = process->world;
	struct flight *flight = g_new0(struct flight, 1);

	flight->process = process;
	flight->call_id = call_id;
	flight->endpoint = world_find_endpoint(world, address);
	flight->references = 2; /* the way there and back, the timeout */
	count_connection(process, flight->endpoint, 1);
	world_at(world, world->now_ns + world->options.link_ns, on_arrival,
		 flight);
	world_at(world, world->now_ns + timeout_ms * CQ_NS_PER_MS, on_timeout,
		 flight);
	return flight;
}

static struct logical *logical_of(const struct world *world, const char *body)
{
	return world->logicals
		->pdata[g_ascii_strtoull(body + strlen("body-"), NULL, 10)];
}

static void on_call(void *ctx, uint64_t call_id,
		    const struct cq_endpoint_call *call)
{
	struct process *process = ctx;
	struct flight *flight =
		take_off(process, call_id, call->address, call->timeout_ms);

	flight->body = g_strndup(call->body, call->body_len);
	flight->logical = logical_of(process->world, flight->body);
}

static void on_probe(void *ctx, uint64_t call_id, const char *address,
		     const char *request_id, uint32_t timeout_ms)
{
	struct flight *flight = take_off(ctx, call_id, address, timeout_ms);

	(void)request_id;
	flight->body = g_strdup("probe");
}

void world_caller_free(struct caller *caller)
{
	g_hash_table_remove(caller->process->world->callers, caller);
	if (caller->peer) {
		g_free((char *)caller->request.workspace);
		g_free((char *)caller->request.class_name);
		g_free((char *)caller->request.path);
		g_free((char *)caller->request.content_type);
		g_free((char *)caller->request.key);
		g_free((char *)caller->request.body);
	}
	g_free(caller);
}

bool world_link_up(const struct host *a, const struct host *b)
{
	return !a->cut && !b->cut;
}

static void on_message(struct world *world, void *ctx);

static void post(struct process *from, struct host *to, struct message message)
{
	struct world *world = from->world;
	struct message *copy;
	int64_t way = from->host->data_centre == to->data_centre
			      ? world->options.link_ns
			      : world->options.wan_ns;

	if (!to->process || !world_link_up(from->host, to)) {
		g_free(message.data);
		return;
	}
	copy = g_memdup2(&message, sizeof(message));
	copy->to = to->process;
	copy->from = from->host;
	copy->from_incarnation = from->incarnation;
	world_at(world,
		 world->now_ns + way + from->host->delay_ns + to->delay_ns,
		 on_message, copy);
}

static struct host *host_at(struct world *world, const char *address)
{
	guint i;

	for (i = 0; i < world->hosts->len; i++) {
		struct host *host = world->hosts->pdata[i];

		if (!strcmp(host->address, address))
			return host;
	}
	return NULL;
}

static void answer_peer(struct process *process, const struct caller *caller,
			const struct cq_answer *answer)
{
	struct message message = { .kind = MESSAGE_ANSWER,
				   .correlation = caller->correlation };
	struct cq_peer_load load;

	process->world->options.vtable->load(process->router, &load);
	message.data = cq_peer_answer_pack(answer, &load, &message.len);
	message.decided_ns = process->world->now_ns;
	if (caller->request.body)
		message.ran_before_decision =
			logical_of(process->world, caller->request.body)
				->executions;
	post(process, caller->peer, message);
}

static void on_answer(void *ctx, void *caller_ctx,
		      const struct cq_answer *answer)
{
	struct process *process = ctx;
	struct caller *caller = caller_ctx;
	struct world *world = process->world;
	struct world_outcome *result;
	const struct logical *logical;

	if (caller->peer) {
		answer_peer(process, caller, answer);
		world_caller_free(caller);
		return;
	}
	result = world->results->pdata[caller->result];
	logical = world->logicals->pdata[result->logical];
	result->answers++;
	result->done_ns = world->now_ns;
	result->state = answer->refusal ? WORLD_REFUSED : WORLD_ANSWERED;
	result->refusal = answer->refusal;
	result->run = answer->run;
	result->status = answer->status;
	result->expected_ms = answer->expected_wait_ms;
	result->ran_before = logical->executions;
	result->decided_ns = world->now_ns;
	result->ran_before_decision = logical->executions;
	if (world->peer_answer) {
		result->decided_ns = world->peer_answer->decided_ns;
		result->ran_before_decision =
			world->peer_answer->ran_before_decision;
	}
	result->own_answer =
		!answer->refusal && answer->body_len == strlen(logical->body) &&
		!memcmp(answer->body, logical->body, answer->body_len);
	world_caller_free(caller);
}

static bool on_forward(void *ctx, const char *address, uint64_t correlation,
		       const struct cq_forward *forward)
{
	struct process *process = ctx;
	struct message message = { .kind = MESSAGE_FORWARD,
				   .correlation = correlation };

	message.data = cq_peer_forward_pack(forward, &message.len);
	post(process, host_at(process->world, address), message);
	return true;
}

static void on_ask(void *ctx, const char *address, uint32_t wanted,
		   int64_t asked_ns)
{
	struct process *process = ctx;
	struct cq_slots_lend lend = {
		.is_request = true,
		.index = process->host->index,
		.wanted = wanted,
		.asked_ns = asked_ns,
		.borrower_incarnation = process->incarnation,
	};
	struct message message = { .kind = MESSAGE_ASK };

	message.data = cq_slots_lend_pack(&lend, &message.len);
	post(process, host_at(process->world, address), message);
}

static void on_lend(void *ctx, const char *address, int64_t asked_ns,
		    uint64_t borrower_incarnation,
		    const struct cq_slots_loan *loans, uint32_t count)
{
	struct process *process = ctx;
	struct cq_slots_lend lend = {
		.index = process->host->index,
		.asked_ns = asked_ns,
		.borrower_incarnation = borrower_incarnation,
		.count = count,
	};
	struct message message = { .kind = MESSAGE_LEND };

	memcpy(lend.loans, loans, count * sizeof(*loans));
	message.data = cq_slots_lend_pack(&lend, &message.len);
	post(process, host_at(process->world, address), message);
}

static void on_return(void *ctx, const char *address,
		      uint64_t lender_incarnation, const uint64_t *ids,
		      uint32_t count)
{
	struct process *process = ctx;
	struct cq_slots_return back = {
		.lender_incarnation = lender_incarnation,
		.count = count,
	};
	struct message message = { .kind = MESSAGE_RETURN };

	memcpy(back.ids, ids, count * sizeof(*ids));
	message.data = cq_slots_return_pack(&back, &message.len);
	post(process, host_at(process->world, address), message);
}

static void on_offer(void *ctx, const char *address, uint64_t correlation,
		     const struct cq_outcomes_offer *offer)
{
	struct process *process = ctx;
	struct message message = { .kind = MESSAGE_OFFER,
				   .correlation = correlation };

	message.data = cq_peer_outcomes_pack(offer, &message.len);
	post(process, host_at(process->world, address), message);
}

static void receive_offer(struct process *process,
			  const struct message *message)
{
	struct message taken = { .kind = MESSAGE_TAKEN,
				 .correlation = message->correlation };
	struct cq_peer_outcomes *received =
		cq_peer_outcomes_unpack(message->data, message->len);

	if (process->world->options.vtable->outcomes_offered(
		    process->router, cq_peer_outcomes_get(received)))
		post(process, message->from, taken);
	cq_peer_outcomes_free(received);
}

/* Returns false if the message does not arrive. */
static bool apply_message_fault(struct world *world,
				const struct message *message)
{
	if (message->kind != MESSAGE_OFFER && message->kind != MESSAGE_TAKEN)
		return true;
	if (++world->hand_over_messages != world->faulty_message)
		return true;
	if (world->message_fault == WORLD_MESSAGE_RECEIVER_DIES)
		world_kill_host(world, message->to->host->number);
	return world->message_fault == WORLD_MESSAGE_NONE;
}

static void receive_forward(struct process *process,
			    const struct message *message)
{
	struct world *world = process->world;
	struct cq_peer_forward *received =
		cq_peer_forward_unpack(message->data, message->len);
	const struct cq_forward *forward = cq_peer_forward_get(received);
	struct caller *caller = g_new0(struct caller, 1);
	struct caller question = { .peer = message->from,
				   .correlation = message->correlation };

	caller->process = process;
	caller->result = UINT32_MAX;
	caller->peer = message->from;
	caller->correlation = message->correlation;
	if (!forward->request) {
		answer_peer(process, &question, NULL);
		g_free(caller);
	} else {
		const struct cq_request *r = forward->request;

		caller->request = *r;
		caller->request.workspace = g_strdup(r->workspace);
		caller->request.class_name = g_strdup(r->class_name);
		caller->request.path = g_strdup(r->path);
		caller->request.content_type = g_strdup(r->content_type);
		caller->request.key = g_strdup(r->key);
		caller->request.body = g_strndup(r->body, r->body_len);
		g_hash_table_add(world->callers, caller);
		world->options.vtable->submit(process->router, &caller->request,
					      &forward->origin, caller);
	}
	cq_peer_forward_free(received);
}

static void receive(struct process *process, const struct message *message)
{
	const struct cq_router_vtable *vtable = process->world->options.vtable;
	struct cq_peer_answer *answer;
	struct cq_slots_lend lend;
	struct cq_slots_return back;

	switch (message->kind) {
	case MESSAGE_FORWARD:
		receive_forward(process, message);
		return;
	case MESSAGE_ANSWER:
		answer = cq_peer_answer_unpack(message->data, message->len);
		process->world->peer_answer = message;
		vtable->forward_done(process->router, message->correlation,
				     cq_peer_answer_get(answer),
				     cq_peer_answer_load(answer));
		process->world->peer_answer = NULL;
		cq_peer_answer_free(answer);
		return;
	case MESSAGE_ASK:
		cq_slots_lend_unpack(message->data, message->len, &lend);
		vtable->slots_asked(process->router, lend.index,
				    lend.borrower_incarnation, lend.wanted,
				    lend.asked_ns);
		return;
	case MESSAGE_LEND:
		cq_slots_lend_unpack(message->data, message->len, &lend);
		if (lend.borrower_incarnation == process->incarnation)
			vtable->slots_lent(process->router, lend.index,
					   message->from_incarnation,
					   lend.asked_ns, lend.loans,
					   lend.count);
		return;
	case MESSAGE_RETURN:
		cq_slots_return_unpack(message->data, message->len, &back);
		if (back.lender_incarnation == process->incarnation)
			vtable->slots_returned(process->router, back.ids,
					       back.count);
		return;
	case MESSAGE_OFFER:
		receive_offer(process, message);
		return;
	case MESSAGE_TAKEN:
		vtable->outcomes_taken(process->router, message->correlation);
		return;
	}
}

static void on_message(struct world *world, void *ctx)
{
	struct message *message = ctx;

	if (!message->to->dead &&
	    world_defer_if_paused(message->to, on_message, message))
		return;
	if (!message->to->dead && apply_message_fault(world, message))
		receive(message->to, message);
	g_free(message->data);
	g_free(message);
}
