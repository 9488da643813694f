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
#define CQ_SLOTS_MAX_LOANS 64 /* in one message */

/* Sender of a request, and with it the receiver's role. */
enum cq_origin_kind {
	CQ_ORIGIN_CALLER,
	/* An entry host; the receiver is the home host of the key. */
	CQ_ORIGIN_HOME,
	/* An entry host of another data centre, as overflow. */
	CQ_ORIGIN_SPILL,
};

const char *cq_origin_kind_string(enum cq_origin_kind kind);

struct cq_origin {
	enum cq_origin_kind kind;
	int64_t accepted_unix_ms; /* when the first entry host got it */
	int64_t deadline_unix_ms;
};

/* Load of an entry host, included in every answer to a peer. */
struct cq_peer_load {
	uint32_t free_slots;
	uint32_t expected_wait_ms; /* of the most urgent class */
};

/* A request forwarded to a peer; origin.kind tells the peer its role. */
struct cq_forward {
	struct cq_origin origin;
	const struct cq_request *request; /* NULL: query the load only */
};

/* One slot of one endpoint lent to another host. */
struct cq_slots_loan {
	uint64_t id; /* unique within the lender's incarnation */
	char endpoint[CQ_SLOTS_ENDPOINT_BYTES];
};

/* A request for slots, or the answer with the loans granted. */
struct cq_slots_lend {
	bool is_request; /* true: a request; false: an answer */
	uint32_t index;	 /* of the sender */
	uint32_t wanted; /* request: number of slots */
	/* Time of the request on the borrower's clock; echoed in the answer. */
	int64_t asked_ns;
	uint64_t borrower_incarnation;
	uint32_t count;
	struct cq_slots_loan loans[CQ_SLOTS_MAX_LOANS];
};

/* Loans that the borrower gives back. */
struct cq_slots_return {
	uint64_t lender_incarnation;
	uint32_t count;
	uint64_t ids[CQ_SLOTS_MAX_LOANS];
};

struct cq_peer_forward; /* a decoded REQUEST_FORWARD */
struct cq_peer_answer;	/* a decoded REQUEST_ANSWER */

/* The pack functions return memory that is freed with g_free(). */
uint8_t *cq_peer_forward_pack(const struct cq_forward *forward, size_t *len);
/* The unpack functions return NULL or false for an invalid message. */
struct cq_peer_forward *cq_peer_forward_unpack(const uint8_t *data, size_t len);
const struct cq_forward *cq_peer_forward_get(const struct cq_peer_forward *f);
void cq_peer_forward_free(struct cq_peer_forward *forward);

/* If answer is NULL, the message contains the load only. */
uint8_t *cq_peer_answer_pack(const struct cq_answer *answer,
			     const struct cq_peer_load *load, size_t *len);
struct cq_peer_answer *cq_peer_answer_unpack(const uint8_t *data, size_t len);
/* Returns NULL if the message contains the load only. */
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
