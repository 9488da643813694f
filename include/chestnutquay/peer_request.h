/*
 * Messages between entry hosts about requests and slots: REQUEST_FORWARD,
 * REQUEST_ANSWER, SLOT_LEND and SLOT_RETURN.
 */
#ifndef CHESTNUTQUAY_PEER_REQUEST_H
#define CHESTNUTQUAY_PEER_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/request.h"

#define CQ_SLOTS_ENDPOINT_BYTES 64
#define CQ_SLOTS_MAX_LOANS 64 /* of one message */

/* Where a request came from. */
enum cq_origin_kind {
	CQ_ORIGIN_CALLER,
	CQ_ORIGIN_HOME,	 /* another entry host; this one is the key's home */
	CQ_ORIGIN_SPILL, /* an entry host of another data centre */
};

const char *cq_origin_kind_string(enum cq_origin_kind kind);

struct cq_origin {
	enum cq_origin_kind kind;
	int64_t accepted_unix_ms; /* by the caller's entry host */
	int64_t deadline_unix_ms;
};

/* Load of an entry host, sent along with every answer to a peer. */
struct cq_peer_load {
	uint32_t free_slots;
	uint32_t expected_wait_ms; /* of the most urgent class */
};

/* A request on its way to a peer; kind says what the peer is to do. */
struct cq_forward {
	struct cq_origin origin;
	const struct cq_request *request; /* NULL: asks for the load only */
};

/* One slot of one endpoint lent to another host. */
struct cq_slots_loan {
	uint64_t id; /* unique for the lender's process */
	char endpoint[CQ_SLOTS_ENDPOINT_BYTES];
};

/* A question for slots, or the loans that answer it. */
struct cq_slots_lend {
	bool is_request;
	uint32_t index; /* of the sender */
	uint32_t wanted;
	/* Time of the question by the borrower's clock, and its process. */
	int64_t asked_ns;
	uint64_t borrower_incarnation;
	uint32_t count;
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
};

struct cq_slots_return {
	uint64_t lender_incarnation;
	uint32_t count;
	uint64_t ids[CQ_SLOTS_MAX_LOANS];
};

struct cq_peer_forward; /* a received REQUEST_FORWARD */
struct cq_peer_answer;	/* a received REQUEST_ANSWER */

/* Packed messages are freed with g_free(). */
uint8_t *cq_peer_forward_pack(const struct cq_forward *forward, size_t *len);
/* NULL if the bytes are not a valid message. */
struct cq_peer_forward *cq_peer_forward_unpack(const uint8_t *data, size_t len);
const struct cq_forward *cq_peer_forward_get(const struct cq_peer_forward *f);
void cq_peer_forward_free(struct cq_peer_forward *forward);

/* answer may be NULL: only the load is sent. */
uint8_t *cq_peer_answer_pack(const struct cq_answer *answer,
			     const struct cq_peer_load *load, size_t *len);
struct cq_peer_answer *cq_peer_answer_unpack(const uint8_t *data, size_t len);
/* NULL if only the load was sent. */
const struct cq_answer *cq_peer_answer_get(const struct cq_peer_answer *a);
const struct cq_peer_load *cq_peer_answer_load(const struct cq_peer_answer *a);
void cq_peer_answer_free(struct cq_peer_answer *answer);

uint8_t *cq_slots_lend_pack(const struct cq_slots_lend *lend, size_t *len);
bool cq_slots_lend_unpack(const uint8_t *data, size_t len,
			  struct cq_slots_lend *lend);
uint8_t *cq_slots_return_pack(const struct cq_slots_return *back, size_t *len);
bool cq_slots_return_unpack(const uint8_t *data, size_t len,
			    struct cq_slots_return *back);

#endif
