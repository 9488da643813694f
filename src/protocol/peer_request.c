#include "chestnutquay/peer_request.h"

#include <glib.h>
#include <string.h>

#include "chestnutquay/caller.h"
#include "protocol/gen/requests.pb-c.h"

struct cq_peer_forward {
	Cq__Proto__RequestForward *message;
	struct cq_request request;
	struct cq_forward forward;
};

struct cq_peer_answer {
	Cq__Proto__RequestAnswer *message;
	struct cq_answer answer;
	struct cq_peer_load load;
};

static const char *const origin_strings[] = {
	[CQ_ORIGIN_CALLER] = "caller",
	[CQ_ORIGIN_HOME] = "home",
	[CQ_ORIGIN_SPILL] = "spill",
};

const char *cq_origin_kind_string(enum cq_origin_kind kind)
{
	return origin_strings[kind];
}

uint8_t *cq_peer_forward_pack(const struct cq_forward *forward, size_t *len)
{
	Cq__Proto__RequestForward message = CQ__PROTO__REQUEST_FORWARD__INIT;
	const struct cq_request *request = forward->request;
	uint8_t *data;

	message.kind = forward->origin.kind;
	message.accepted_unix_ms = forward->origin.accepted_unix_ms;
	message.deadline_unix_ms = forward->origin.deadline_unix_ms;
	message.load_only = !request;
	if (request) {
		message.workspace = (char *)request->workspace;
		message.class_name = (char *)request->class_name;
		message.path = (char *)request->path;
		message.content_type = (char *)request->content_type;
		message.key = (char *)request->key;
		message.idempotent = request->idempotent;
		message.timeout_ms = request->timeout_ms;
		message.body.data = (uint8_t *)request->body;
		message.body.len = request->body_len;
	}
	*len = cq__proto__request_forward__get_packed_size(&message);
	data = g_malloc(*len + 1);
	cq__proto__request_forward__pack(&message, data);
	return data;
}

struct cq_peer_forward *cq_peer_forward_unpack(const uint8_t *data, size_t len)
{
	Cq__Proto__RequestForward *message =
		cq__proto__request_forward__unpack(NULL, len, data);
	struct cq_peer_forward *f;
	int64_t key_ms = 0;

	if (!message)
		return NULL;
	if ((message->kind != CQ_ORIGIN_HOME &&
	     message->kind != CQ_ORIGIN_SPILL) ||
	    (*message->key && !cq_caller_key_time(message->key, &key_ms))) {
		cq__proto__request_forward__free_unpacked(message, NULL);
		return NULL;
	}
	f = g_new0(struct cq_peer_forward, 1);
	f->message = message;
	f->forward.origin.kind = (enum cq_origin_kind)message->kind;
	f->forward.origin.accepted_unix_ms = message->accepted_unix_ms;
	f->forward.origin.deadline_unix_ms = message->deadline_unix_ms;
	if (message->load_only)
		return f;
	f->forward.request = &f->request;
	f->request = (struct cq_request){
		.workspace = message->workspace,
		.class_name = message->class_name,
		.path = message->path,
		.content_type = message->content_type,
		.key = message->key,
		.key_unix_ms = key_ms,
		.idempotent = message->idempotent,
		.timeout_ms = message->timeout_ms,
		.body = (const char *)message->body.data,
		.body_len = message->body.len,
	};
	if (!f->request.body)
		f->request.body = "";
	return f;
}

const struct cq_forward *cq_peer_forward_get(const struct cq_peer_forward *f)
{
	return &f->forward;
}

void cq_peer_forward_free(struct cq_peer_forward *f)
{
	if (!f)
		return;
	cq__proto__request_forward__free_unpacked(f->message, NULL);
	g_free(f);
}

uint8_t *cq_peer_answer_pack(const struct cq_answer *answer,
			     const struct cq_peer_load *load, size_t *len)
{
	Cq__Proto__RequestAnswer message = CQ__PROTO__REQUEST_ANSWER__INIT;
	uint8_t *data;

	message.load_only = !answer;
	message.free_slots = load->free_slots;
	message.load_wait_ms = load->expected_wait_ms;
	if (answer) {
		message.refusal = answer->refusal;
		message.run = answer->run;
		message.status = answer->status;
		message.content_type = (char *)answer->content_type;
		message.endpoint = (char *)answer->endpoint;
		message.message = (char *)answer->message;
		message.body.data = (uint8_t *)answer->body;
		message.body.len = answer->body_len;
		message.expected_wait_ms = answer->expected_wait_ms;
	}
	*len = cq__proto__request_answer__get_packed_size(&message);
	data = g_malloc(*len + 1);
	cq__proto__request_answer__pack(&message, data);
	return data;
}

struct cq_peer_answer *cq_peer_answer_unpack(const uint8_t *data, size_t len)
{
	Cq__Proto__RequestAnswer *message =
		cq__proto__request_answer__unpack(NULL, len, data);
	struct cq_peer_answer *a;

	if (!message)
		return NULL;
	if (message->refusal >= CQ_REFUSAL_COUNT ||
	    message->run > CQ_REQUEST_MAY_HAVE_RUN) {
		cq__proto__request_answer__free_unpacked(message, NULL);
		return NULL;
	}
	a = g_new0(struct cq_peer_answer, 1);
	a->message = message;
	a->load.free_slots = message->free_slots;
	a->load.expected_wait_ms = message->load_wait_ms;
	a->answer = (struct cq_answer){
		.refusal = (enum cq_refusal)message->refusal,
		.run = (enum cq_request_run)message->run,
		.status = message->status,
		.content_type = message->content_type,
		.endpoint = message->endpoint,
		.message = message->message,
		.body = (const char *)message->body.data,
		.body_len = message->body.len,
		.expected_wait_ms = message->expected_wait_ms,
	};
	if (!a->answer.body)
		a->answer.body = "";
	return a;
}

const struct cq_answer *cq_peer_answer_get(const struct cq_peer_answer *a)
{
	return a->message->load_only ? NULL : &a->answer;
}

const struct cq_peer_load *cq_peer_answer_load(const struct cq_peer_answer *a)
{
	return &a->load;
}

void cq_peer_answer_free(struct cq_peer_answer *a)
{
	if (!a)
		return;
	cq__proto__request_answer__free_unpacked(a->message, NULL);
	g_free(a);
}

uint8_t *cq_slots_lend_pack(const struct cq_slots_lend *lend, size_t *len)
{
	Cq__Proto__SlotLend message = CQ__PROTO__SLOT_LEND__INIT;
	Cq__Proto__SlotLoan loans[CQ_SLOTS_MAX_LOANS];
	Cq__Proto__SlotLoan *pointers[CQ_SLOTS_MAX_LOANS];
	uint8_t *data;
	uint32_t i;

	for (i = 0; i < lend->count; i++) {
		cq__proto__slot_loan__init(&loans[i]);
		loans[i].id = lend->loans[i].id;
		loans[i].endpoint = (char *)lend->loans[i].endpoint;
		pointers[i] = &loans[i];
	}
	message.asks = lend->is_request;
	message.index = lend->index;
	message.wanted = lend->wanted;
	message.asked_ns = lend->asked_ns;
	message.borrower_incarnation = lend->borrower_incarnation;
	message.n_loans = lend->count;
	message.loans = pointers;
	*len = cq__proto__slot_lend__get_packed_size(&message);
	data = g_malloc(*len + 1);
	cq__proto__slot_lend__pack(&message, data);
	return data;
}

bool cq_slots_lend_unpack(const uint8_t *data, size_t len,
			  struct cq_slots_lend *lend)
{
	Cq__Proto__SlotLend *message =
		cq__proto__slot_lend__unpack(NULL, len, data);
	bool valid = message && message->n_loans <= CQ_SLOTS_MAX_LOANS;
	uint32_t i;

	memset(lend, 0, sizeof(*lend));
	for (i = 0; valid && i < message->n_loans; i++) {
		lend->loans[i].id = message->loans[i]->id;
		/* A shortened id would name another endpoint. */
		valid = g_strlcpy(lend->loans[i].endpoint,
				  message->loans[i]->endpoint,
				  CQ_SLOTS_ENDPOINT_BYTES) <
			CQ_SLOTS_ENDPOINT_BYTES;
	}
	if (valid) {
		lend->is_request = message->asks;
		lend->index = message->index;
		lend->wanted = message->wanted;
		lend->asked_ns = message->asked_ns;
		lend->borrower_incarnation = message->borrower_incarnation;
		lend->count = (uint32_t)message->n_loans;
	}
	if (message)
		cq__proto__slot_lend__free_unpacked(message, NULL);
	return valid;
}

uint8_t *cq_slots_return_pack(const struct cq_slots_return *back, size_t *len)
{
	Cq__Proto__SlotReturn message = CQ__PROTO__SLOT_RETURN__INIT;
	uint8_t *data;

	message.lender_incarnation = back->lender_incarnation;
	message.n_ids = back->count;
	message.ids = (uint64_t *)back->ids;
	*len = cq__proto__slot_return__get_packed_size(&message);
	data = g_malloc(*len + 1);
	cq__proto__slot_return__pack(&message, data);
	return data;
}

bool cq_slots_return_unpack(const uint8_t *data, size_t len,
			    struct cq_slots_return *back)
{
	Cq__Proto__SlotReturn *message =
		cq__proto__slot_return__unpack(NULL, len, data);
	bool valid = message && message->n_ids <= CQ_SLOTS_MAX_LOANS;

	memset(back, 0, sizeof(*back));
	if (valid) {
		back->lender_incarnation = message->lender_incarnation;
		back->count = (uint32_t)message->n_ids;
		if (message->n_ids)
			memcpy(back->ids, message->ids,
			       message->n_ids * sizeof(*message->ids));
	}
	if (message)
		cq__proto__slot_return__free_unpacked(message, NULL);
	return valid;
}
