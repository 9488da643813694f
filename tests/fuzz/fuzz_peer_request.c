/*
 * Guards against the payload of a forwarded request, its answer, a loan of
 * slots, a return of them or an offer of outcomes crashing the receiver. The
 * first byte chooses.
 */
#include <assert.h>
#include <string.h>

#include "chestnutquay/peer_outcomes.h"
#include "chestnutquay/peer_request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_forward(const uint8_t *data, size_t size)
{
	struct cq_peer_forward *forward = cq_peer_forward_unpack(data, size);
	const struct cq_forward *view;

	if (!forward)
		return;
	view = cq_peer_forward_get(forward);
	assert(view);
	if (view->request) {
		assert(view->request->workspace && view->request->class_name);
		assert(view->request->path && view->request->key);
		assert(view->request->content_type);
		assert(view->request->body || !view->request->body_len);
	}
	cq_peer_forward_free(forward);
}

static void check_answer(const uint8_t *data, size_t size)
{
	struct cq_peer_answer *answer = cq_peer_answer_unpack(data, size);
	const struct cq_answer *view;

	if (!answer)
		return;
	view = cq_peer_answer_get(answer);
	assert(cq_peer_answer_load(answer));
	if (view) {
		assert(view->refusal < CQ_REFUSAL_COUNT);
		assert(view->run <= CQ_REQUEST_MAY_HAVE_RUN);
	}
	cq_peer_answer_free(answer);
}

static void check_outcomes(const uint8_t *data, size_t size)
{
	struct cq_peer_outcomes *received = cq_peer_outcomes_unpack(data, size);
	const struct cq_outcomes_offer *offer;
	uint32_t i;

	if (!received)
		return;
	offer = cq_peer_outcomes_get(received);
	assert(offer->count <= CQ_PEER_OUTCOMES_MAX);
	for (i = 0; i < offer->count; i++) {
		assert(strchr(offer->outcomes[i].name, '/'));
		assert(offer->outcomes[i].refusal < CQ_REFUSAL_COUNT);
	}
	cq_peer_outcomes_free(received);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cq_slots_lend lend;
	struct cq_slots_return back;

	if (!size)
		return 0;
	switch (data[0] % 5) {
	case 0:
		check_forward(data + 1, size - 1);
		break;
	case 1:
		check_answer(data + 1, size - 1);
		break;
	case 2:
		if (cq_slots_lend_unpack(data + 1, size - 1, &lend))
			assert(lend.count <= CQ_SLOTS_MAX_LOANS);
		break;
	case 3:
		if (cq_slots_return_unpack(data + 1, size - 1, &back))
			assert(back.count <= CQ_SLOTS_MAX_LOANS);
		break;
	default:
		check_outcomes(data + 1, size - 1);
		break;
	}
	return 0;
}
