#include <string.h>

#include "chestnutquay/peer_request.h"
#include "programs/entryd/requests.h"

static void on_forward(void *ctx, const struct cq_peer_message *message);
static void on_answer(void *ctx, const struct cq_peer_message *message);
static void on_slot_lend(void *ctx, const struct cq_peer_message *message);
static void on_slot_return(void *ctx, const struct cq_peer_message *message);
static void on_outcomes_offer(void *ctx, const struct cq_peer_message *message);
static void on_outcomes_taken(void *ctx, const struct cq_peer_message *message);
static void send_answer(struct entryd_requests *requests, const char *address,
			uint64_t correlation, const struct cq_answer *answer);
static uint32_t own_index(const struct entryd_requests *requests);

void entryd_requests_listen_peers(struct entryd_requests *requests)
{
	struct cq_daemon *daemon = requests->daemon;

	cq_daemon_on_peer(daemon, CQ_PEER_REQUEST_FORWARD, on_forward,
			  requests);
	cq_daemon_on_peer(daemon, CQ_PEER_REQUEST_ANSWER, on_answer, requests);
	cq_daemon_on_peer(daemon, CQ_PEER_SLOT_LEND, on_slot_lend, requests);
	cq_daemon_on_peer(daemon, CQ_PEER_SLOT_RETURN, on_slot_return,
			  requests);
	cq_daemon_on_peer(daemon, CQ_PEER_OUTCOMES_OFFER, on_outcomes_offer,
			  requests);
	cq_daemon_on_peer(daemon, CQ_PEER_OUTCOMES_TAKEN, on_outcomes_taken,
			  requests);
}

static uint32_t own_index(const struct entryd_requests *requests)
{
	return (uint32_t)cq_config_integer(cq_daemon_config(requests->daemon),
					   "index");
}

bool entryd_forward(void *ctx, const char *address, uint64_t correlation,
		    const struct cq_forward *forward)
{
	struct entryd_requests *requests = ctx;
	size_t len;
	uint8_t *data = cq_peer_forward_pack(forward, &len);
	bool sent = cq_peer_net_send(cq_daemon_peers(requests->daemon), address,
				     CQ_PEER_REQUEST_FORWARD, correlation, data,
				     len);

	g_free(data);
	return sent;
}

static void send_answer(struct entryd_requests *requests, const char *address,
			uint64_t correlation, const struct cq_answer *answer)
{
	struct cq_peer_load load;
	uint8_t *data;
	size_t len;

	requests->vtable->load(requests->router, &load);
	data = cq_peer_answer_pack(answer, &load, &len);
	cq_peer_net_send(cq_daemon_peers(requests->daemon), address,
			 CQ_PEER_REQUEST_ANSWER, correlation, data, len);
	g_free(data);
	requests->last_peer_answer_ns =
		cq_clock_now_ns(cq_daemon_clock(requests->daemon));
}

void entryd_answer_peer(struct caller *caller, const struct cq_answer *answer)
{
	send_answer(caller->requests, caller->peer_address, caller->correlation,
		    answer);
}

static void on_forward(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_requests *requests = ctx;
	struct cq_peer_forward *received =
		cq_peer_forward_unpack(message->payload, message->payload_len);
	const struct cq_forward *forward;
	struct caller *caller;

	if (!received)
		return;
	forward = cq_peer_forward_get(received);
	if (!forward->request) {
		send_answer(requests, message->from_address,
			    message->correlation, NULL);
		cq_peer_forward_free(received);
		return;
	}
	caller = g_new0(struct caller, 1);
	caller->requests = requests;
	caller->forward = received;
	caller->peer_address = g_strdup(message->from_address);
	caller->correlation = message->correlation;
	requests->callers++;
	requests->vtable->submit(requests->router, forward->request,
				 &forward->origin, caller);
}

static void on_answer(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_requests *requests = ctx;
	struct cq_peer_answer *answer =
		cq_peer_answer_unpack(message->payload, message->payload_len);

	if (!answer)
		return;
	requests->vtable->forward_done(requests->router, message->correlation,
				       cq_peer_answer_get(answer),
				       cq_peer_answer_load(answer));
	cq_peer_answer_free(answer);
}

static void send_lend(struct entryd_requests *requests, const char *address,
		      const struct cq_slots_lend *lend)
{
	size_t len;
	uint8_t *data = cq_slots_lend_pack(lend, &len);

	cq_peer_net_send(cq_daemon_peers(requests->daemon), address,
			 CQ_PEER_SLOT_LEND, 0, data, len);
	g_free(data);
}

void entryd_ask_slots(void *ctx, const char *address, uint32_t wanted,
		      int64_t asked_ns)
{
	struct entryd_requests *requests = ctx;
	struct cq_slots_lend lend = {
		.is_request = true,
		.index = own_index(requests),
		.wanted = wanted,
		.asked_ns = asked_ns,
		.borrower_incarnation = cq_daemon_incarnation(requests->daemon),
	};

	send_lend(requests, address, &lend);
}

void entryd_lend_slots(void *ctx, const char *address, int64_t asked_ns,
		       uint64_t borrower_incarnation,
		       const struct cq_slots_loan *loans, uint32_t count)
{
	struct entryd_requests *requests = ctx;
	struct cq_slots_lend lend = {
		.index = own_index(requests),
		.asked_ns = asked_ns,
		.borrower_incarnation = borrower_incarnation,
		.count = count,
	};

	memcpy(lend.loans, loans, count * sizeof(*loans));
	send_lend(requests, address, &lend);
}

void entryd_return_slots(void *ctx, const char *address,
			 uint64_t lender_incarnation, const uint64_t *ids,
			 uint32_t count)
{
	struct entryd_requests *requests = ctx;
	struct cq_slots_return back = {
		.lender_incarnation = lender_incarnation,
		.count = count,
	};
	uint8_t *data;
	size_t len;

	memcpy(back.ids, ids, count * sizeof(*ids));
	data = cq_slots_return_pack(&back, &len);
	cq_peer_net_send(cq_daemon_peers(requests->daemon), address,
			 CQ_PEER_SLOT_RETURN, 0, data, len);
	g_free(data);
}

static void on_slot_lend(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_requests *requests = ctx;
	struct cq_slots_lend lend;

	if (!cq_slots_lend_unpack(message->payload, message->payload_len,
				  &lend))
		return;
	if (lend.is_request)
		requests->vtable->slots_asked(requests->router, lend.index,
					      lend.borrower_incarnation,
					      lend.wanted, lend.asked_ns);
	/* Times of an earlier process of this host mean nothing here. */
	else if (lend.borrower_incarnation ==
		 cq_daemon_incarnation(requests->daemon))
		requests->vtable->slots_lent(requests->router, lend.index,
					     message->from_incarnation,
					     lend.asked_ns, lend.loans,
					     lend.count);
}

static void on_slot_return(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_requests *requests = ctx;
	struct cq_slots_return back;

	if (!cq_slots_return_unpack(message->payload, message->payload_len,
				    &back) ||
	    back.lender_incarnation != cq_daemon_incarnation(requests->daemon))
		return;
	requests->vtable->slots_returned(requests->router, back.ids,
					 back.count);
}

void entryd_offer_outcomes(void *ctx, const char *address, uint64_t correlation,
			   const struct cq_outcomes_offer *offer)
{
	struct entryd_requests *requests = ctx;
	size_t len;
	uint8_t *data = cq_peer_outcomes_pack(offer, &len);

	cq_peer_net_send(cq_daemon_peers(requests->daemon), address,
			 CQ_PEER_OUTCOMES_OFFER, correlation, data, len);
	g_free(data);
}

static void on_outcomes_offer(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_requests *requests = ctx;
	struct cq_peer_outcomes *received =
		cq_peer_outcomes_unpack(message->payload, message->payload_len);

	if (received &&
	    requests->vtable->outcomes_offered(requests->router,
					       cq_peer_outcomes_get(received)))
		cq_peer_net_send(cq_daemon_peers(requests->daemon),
				 message->from_address, CQ_PEER_OUTCOMES_TAKEN,
				 message->correlation, NULL, 0);
	cq_peer_outcomes_free(received);
}

static void on_outcomes_taken(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_requests *requests = ctx;

	requests->vtable->outcomes_taken(requests->router,
					 message->correlation);
}
