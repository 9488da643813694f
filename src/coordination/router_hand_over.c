#include <string.h>

#include "coordination/router_internal.h"

/*
 * Hand-over of kept outcomes on a planned stop.
 *
 * The home of a key is a host index, and the next process with that index may
 * start only after this one has ended. The outcomes are therefore handed over
 * to an interim host, another entry host, which offers them to the next holder
 * of the index once there is one. An interim host that stops hands them over in
 * turn. Each offer is repeated until it is acknowledged; receiving an outcome
 * twice has no effect. If outcomes are lost, repeats of their keys are refused
 * with run "unknown" but never run twice.
 */

#define OFFER_RESEND_NS (300 * CQ_NS_PER_MS)
/* Offers without an answer after which the receiver counts as lost. */
#define MAX_UNANSWERED_OFFERS 3
/* Delay before the next offer to a holder that did not answer. */
#define HOLDER_RETRY_DELAY_NS CQ_NS_PER_S
#define MAX_OFFER_BYTES ((size_t)256 << 10)
/* Longest time a stop waits; outcomes not handed over by then are lost. */
#define HAND_OVER_TIMEOUT_NS (5 * CQ_NS_PER_S)
/* Limits of an interim host: homes, and keys and answers of each home. */
#define MAX_TRANSFERS 4
#define TRANSFER_MAX_KEYS 50000
#define TRANSFER_MAX_BODY_BYTES (UINT64_C(16) << 20)
#define MAX_RECEIVERS 32

static struct outcome_transfer *transfer_create(struct cq_router *router,
						const char *data_centre,
						uint32_t index,
						struct cq_outcomes *outcomes);
static void transfer_free(void *data);
static const char *choose_receiver(const struct cq_router *router,
				   const struct outcome_transfer *transfer);
static bool offer_next_batch(struct cq_router *router,
			     struct outcome_transfer *transfer);
static bool is_offer_due(const struct cq_router *router,
			 struct outcome_transfer *transfer, int64_t now_ns);
static bool is_own_home(const struct cq_router *router, const char *data_centre,
			uint32_t index);
static struct outcome_transfer *find_or_add_transfer(struct cq_router *router,
						     const char *data_centre,
						     uint32_t index);

void router_hand_over_init(struct cq_router *router)
{
	const struct cq_router_options *options = &router->setup.options;

	router->transfers = g_ptr_array_new_with_free_func(transfer_free);
	router->own_transfer = transfer_create(
		router, options->data_centre, options->index, router->outcomes);
}

void router_hand_over_free(struct cq_router *router)
{
	g_ptr_array_free(router->transfers, TRUE);
	router->own_transfer->outcomes = NULL;
	transfer_free(router->own_transfer);
}

/* Creates an outcome table for the transfer if outcomes is NULL. */
static struct outcome_transfer *transfer_create(struct cq_router *router,
						const char *data_centre,
						uint32_t index,
						struct cq_outcomes *outcomes)
{
	struct cq_outcomes_options options = {
		.max_entries = TRANSFER_MAX_KEYS,
		.max_body_bytes = TRANSFER_MAX_BODY_BYTES,
		.max_answer_bytes = router->setup.options.max_kept_answer_bytes,
	};
	struct outcome_transfer *transfer = g_new0(struct outcome_transfer, 1);

	transfer->data_centre = g_strdup(data_centre);
	transfer->index = index;
	transfer->outcomes = outcomes;
	if (!outcomes)
		transfer->outcomes =
			cq_outcomes_create(&options, router_unix_ms(router));
	return transfer;
}

static void transfer_free(void *data)
{
	struct outcome_transfer *transfer = data;

	cq_outcomes_destroy(transfer->outcomes);
	g_free(transfer->data_centre);
	g_free(transfer);
}

static bool is_own_home(const struct cq_router *router, const char *data_centre,
			uint32_t index)
{
	return index == router->setup.options.index &&
	       !strcmp(data_centre, router->data_centre);
}

static struct outcome_transfer *find_or_add_transfer(struct cq_router *router,
						     const char *data_centre,
						     uint32_t index)
{
	struct outcome_transfer *transfer;
	guint i;

	for (i = 0; i < router->transfers->len; i++) {
		transfer = router->transfers->pdata[i];
		if (transfer->index == index &&
		    !strcmp(transfer->data_centre, data_centre))
			return transfer;
	}
	if (router->transfers->len >= MAX_TRANSFERS)
		return NULL;
	transfer = transfer_create(router, data_centre, index, NULL);
	g_ptr_array_add(router->transfers, transfer);
	return transfer;
}

/*
 * Chooses the host that gets the next offer: the holder of the index or, during
 * a stop, also another entry host, those of this data centre first. NULL if
 * none is live.
 */
static const char *choose_receiver(const struct cq_router *router,
				   const struct outcome_transfer *transfer)
{
	const struct cq_router_members_ops *members = router->setup.members;
	const struct cq_router_options *options = &router->setup.options;
	void *ctx = router->setup.members_ctx;
	const char *list[MAX_RECEIVERS];
	uint32_t count = 0;
	uint32_t i;

	if (transfer != router->own_transfer &&
	    members->alive(ctx, transfer->data_centre, transfer->index))
		list[count++] = members->peer(ctx, transfer->data_centre,
					      transfer->index);
	if (router->hand_over_deadline_ns) {
		/* Start at the next index, so that hosts choose differently. */
		for (i = 1; i < options->index_count && count < MAX_RECEIVERS;
		     i++) {
			uint32_t index =
				(options->index + i) % options->index_count;

			if (members->alive(ctx, router->data_centre, index))
				list[count++] = members->peer(
					ctx, router->data_centre, index);
		}
		count += members->remotes(ctx, list + count,
					  MAX_RECEIVERS - count);
	}
	return count ? list[transfer->receiver_position % count] : NULL;
}

/*
 * Checks whether an offer is due, and changes the receiver after too many
 * offers without an answer. Returns false if no offer is due yet.
 */
static bool is_offer_due(const struct cq_router *router,
			 struct outcome_transfer *transfer, int64_t now_ns)
{
	if (now_ns < transfer->next_offer_ns)
		return false;
	if (!transfer->correlation ||
	    ++transfer->unanswered_offers < MAX_UNANSWERED_OFFERS)
		return true;
	/* A new process of the receiver would need all outcomes again. */
	cq_outcomes_reset_hand_over(transfer->outcomes);
	transfer->correlation = 0;
	transfer->unanswered_offers = 0;
	transfer->receiver_position++;
	if (router->hand_over_deadline_ns)
		return true;
	transfer->next_offer_ns = now_ns + HOLDER_RETRY_DELAY_NS;
	return false;
}

/* Sends the next offer if it is due; true if nothing is left to hand over. */
static bool offer_next_batch(struct cq_router *router,
			     struct outcome_transfer *transfer)
{
	struct cq_kept_outcome kept[CQ_PEER_OUTCOMES_MAX];
	struct cq_outcomes_offer offer = {
		.data_centre = transfer->data_centre,
		.index = transfer->index,
		.outcomes = kept,
	};
	int64_t now_ns = router_now(router);
	const char *address;

	if (!is_offer_due(router, transfer, now_ns))
		return false;
	address = choose_receiver(router, transfer);
	if (!address)
		return false;
	offer.count = cq_outcomes_next_batch(transfer->outcomes, kept,
					     CQ_PEER_OUTCOMES_MAX,
					     MAX_OFFER_BYTES);
	if (!offer.count)
		return true;
	transfer->offered_count = offer.count;
	transfer->correlation = ++router->next_id;
	transfer->next_offer_ns = now_ns + OFFER_RESEND_NS;
	router->setup.ops->offer_outcomes(router->setup.ops_ctx, address,
					  transfer->correlation, &offer);
	return false;
}

void router_hand_over_tick(struct cq_router *router)
{
	guint i;

	if (router->hand_over_deadline_ns)
		return;
	for (i = router->transfers->len; i-- > 0;) {
		struct outcome_transfer *transfer = router->transfers->pdata[i];

		cq_outcomes_tick(transfer->outcomes, router_unix_ms(router));
		if (offer_next_batch(router, transfer) ||
		    !cq_outcomes_count(transfer->outcomes))
			g_ptr_array_remove_index(router->transfers, i);
	}
}

bool router_hand_over(struct cq_router *router, uint32_t *left)
{
	int64_t now_ns = router_now(router);
	bool done;
	guint i;

	if (!router->hand_over_deadline_ns) {
		router->hand_over_deadline_ns = now_ns + HAND_OVER_TIMEOUT_NS;
		for (i = 0; i < router->transfers->len; i++)
			((struct outcome_transfer *)router->transfers->pdata[i])
				->next_offer_ns = 0;
	}
	done = offer_next_batch(router, router->own_transfer) &&
	       !cq_outcomes_pending_count(router->outcomes);
	for (i = 0; i < router->transfers->len; i++)
		done = offer_next_batch(router, router->transfers->pdata[i]) &&
		       done;
	*left = done ? 0 : cq_outcomes_not_handed_over_count(router->outcomes);
	return done || now_ns >= router->hand_over_deadline_ns;
}

bool router_outcomes_offered(struct cq_router *router,
			     const struct cq_outcomes_offer *offer)
{
	int64_t unix_ms = router_unix_ms(router);
	struct cq_outcomes *outcomes = router->outcomes;
	struct outcome_transfer *transfer;
	uint32_t i;

	if (router->draining)
		return false;
	if (!is_own_home(router, offer->data_centre, offer->index)) {
		transfer = find_or_add_transfer(router, offer->data_centre,
						offer->index);
		if (!transfer)
			return false;
		outcomes = transfer->outcomes;
	}
	for (i = 0; i < offer->count; i++) {
		if (cq_outcomes_import(outcomes, &offer->outcomes[i], unix_ms))
			router->stats.keys_taken_over++;
		else
			router->stats.keys_dropped++;
	}
	return true;
}

void router_outcomes_taken(struct cq_router *router, uint64_t correlation)
{
	struct outcome_transfer *transfer = router->own_transfer;
	guint i;

	for (i = 0; transfer->correlation != correlation; i++) {
		if (i == router->transfers->len)
			return;
		transfer = router->transfers->pdata[i];
	}
	cq_outcomes_batch_handed_over(transfer->outcomes);
	router->stats.keys_handed_over += transfer->offered_count;
	transfer->correlation = 0;
	transfer->unanswered_offers = 0;
	transfer->next_offer_ns = 0;
	/* Send the next offer at once; a tick frees an empty transfer. */
	offer_next_batch(router, transfer);
}
