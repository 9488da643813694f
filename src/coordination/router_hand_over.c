#include <string.h>

#include "coordination/router_internal.h"

/*
 * Hand-over of remembered outcomes on a planned stop.
 *
 * The home of a key is an index, and the next process of the index may start
 * after this one has ended. The outcomes therefore go to a caretaker, another
 * entry host, which offers them to the holder of the index once there is one.
 * A caretaker that stops itself passes on what it keeps. Each offer is repeated
 * until it is answered; adopting twice changes nothing. What gets lost costs
 * its caller the outcome ("unknown"), never a second run.
 */

#define RESEND_NS (300 * CQ_NS_PER_MS)
/* Unanswered offers before the receiver counts as lost. */
#define MAX_TRIES 3
/* A holder that does not answer is left alone for this long. */
#define PAUSE_NS CQ_NS_PER_S
#define OFFER_BYTES ((size_t)256 << 10)
/* The stop waits this long at most, then the rest is given up. */
#define HAND_OVER_NS (5 * CQ_NS_PER_S)
/* What a caretaker keeps: homes, and keys and answers of each. */
#define MAX_PARCELS 4
#define PARCEL_KEYS 50000
#define PARCEL_BYTES (UINT64_C(16) << 20)
#define MAX_RECEIVERS 32

static struct parcel *parcel_create(struct cq_router *router,
				    const char *data_centre, uint32_t index,
				    struct cq_outcomes *outcomes);
static void parcel_free(void *data);
static const char *receiver_of(const struct cq_router *router,
			       const struct parcel *parcel);
static bool step(struct cq_router *router, struct parcel *parcel);
static bool note_unanswered(const struct cq_router *router,
			    struct parcel *parcel, int64_t now_ns);
static bool is_own(const struct cq_router *router, const char *data_centre,
		   uint32_t index);
static struct parcel *parcel_for(struct cq_router *router,
				 const char *data_centre, uint32_t index);

void router_hand_over_init(struct cq_router *router)
{
	const struct cq_router_options *options = &router->setup.options;

	router->parcels = g_ptr_array_new_with_free_func(parcel_free);
	router->own_parcel = parcel_create(router, options->data_centre,
					   options->index, router->outcomes);
}

void router_hand_over_free(struct cq_router *router)
{
	g_ptr_array_free(router->parcels, TRUE);
	router->own_parcel->outcomes = NULL;
	parcel_free(router->own_parcel);
}

/* Without outcomes, it gets a memory of its own. */
static struct parcel *parcel_create(struct cq_router *router,
				    const char *data_centre, uint32_t index,
				    struct cq_outcomes *outcomes)
{
	struct cq_outcomes_options options = {
		.max_entries = PARCEL_KEYS,
		.max_body_bytes = PARCEL_BYTES,
		.max_answer_bytes = router->setup.options.max_kept_answer_bytes,
	};
	struct parcel *parcel = g_new0(struct parcel, 1);

	parcel->data_centre = g_strdup(data_centre);
	parcel->index = index;
	parcel->outcomes = outcomes;
	if (!outcomes)
		parcel->outcomes =
			cq_outcomes_create(&options, router_unix_ms(router));
	return parcel;
}

static void parcel_free(void *data)
{
	struct parcel *parcel = data;

	cq_outcomes_destroy(parcel->outcomes);
	g_free(parcel->data_centre);
	g_free(parcel);
}

static bool is_own(const struct cq_router *router, const char *data_centre,
		   uint32_t index)
{
	return index == router->setup.options.index &&
	       !strcmp(data_centre, router->data_centre);
}

static struct parcel *parcel_for(struct cq_router *router,
				 const char *data_centre, uint32_t index)
{
	struct parcel *parcel;
	guint i;

	for (i = 0; i < router->parcels->len; i++) {
		parcel = router->parcels->pdata[i];
		if (parcel->index == index &&
		    !strcmp(parcel->data_centre, data_centre))
			return parcel;
	}
	if (router->parcels->len >= MAX_PARCELS)
		return NULL;
	parcel = parcel_create(router, data_centre, index, NULL);
	g_ptr_array_add(router->parcels, parcel);
	return parcel;
}

/*
 * The holder of the index; on a planned stop, else a caretaker of this data
 * centre or of another one. NULL: nobody at present.
 */
static const char *receiver_of(const struct cq_router *router,
			       const struct parcel *parcel)
{
	const struct cq_router_members_ops *members = router->setup.members;
	const struct cq_router_options *options = &router->setup.options;
	void *ctx = router->setup.members_ctx;
	const char *list[MAX_RECEIVERS];
	uint32_t count = 0;
	uint32_t i;

	if (parcel != router->own_parcel &&
	    members->alive(ctx, parcel->data_centre, parcel->index))
		list[count++] =
			members->peer(ctx, parcel->data_centre, parcel->index);
	if (router->hand_over_deadline_ns) {
		/* From the next index on, so that not all choose the same. */
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
	return count ? list[parcel->receiver % count] : NULL;
}

/* Returns false if there is nothing to do yet. */
static bool note_unanswered(const struct cq_router *router,
			    struct parcel *parcel, int64_t now_ns)
{
	if (now_ns < parcel->resend_ns)
		return false;
	if (!parcel->correlation || ++parcel->tries < MAX_TRIES)
		return true;
	/* A later process of the receiver has to get everything again. */
	cq_outcomes_collect_again(parcel->outcomes);
	parcel->correlation = 0;
	parcel->tries = 0;
	parcel->receiver++;
	if (router->hand_over_deadline_ns)
		return true;
	parcel->resend_ns = now_ns + PAUSE_NS;
	return false;
}

/* Returns true if nothing is left to hand over. */
static bool step(struct cq_router *router, struct parcel *parcel)
{
	struct cq_kept_outcome kept[CQ_PEER_OUTCOMES_MAX];
	struct cq_outcomes_offer offer = {
		.data_centre = parcel->data_centre,
		.index = parcel->index,
		.outcomes = kept,
	};
	int64_t now_ns = router_now(router);
	const char *address;

	if (!note_unanswered(router, parcel, now_ns))
		return false;
	address = receiver_of(router, parcel);
	if (!address)
		return false;
	offer.count = cq_outcomes_collect(parcel->outcomes, kept,
					  CQ_PEER_OUTCOMES_MAX, OFFER_BYTES);
	if (!offer.count)
		return true;
	parcel->collected = offer.count;
	parcel->correlation = ++router->next_id;
	parcel->resend_ns = now_ns + RESEND_NS;
	router->setup.ops->offer_outcomes(router->setup.ops_ctx, address,
					  parcel->correlation, &offer);
	return false;
}

void router_hand_over_tick(struct cq_router *router)
{
	guint i;

	if (router->hand_over_deadline_ns)
		return;
	for (i = router->parcels->len; i-- > 0;) {
		struct parcel *parcel = router->parcels->pdata[i];

		cq_outcomes_tick(parcel->outcomes, router_unix_ms(router));
		if (step(router, parcel) ||
		    !cq_outcomes_count(parcel->outcomes))
			g_ptr_array_remove_index(router->parcels, i);
	}
}

bool router_hand_over(struct cq_router *router, uint32_t *left)
{
	int64_t now_ns = router_now(router);
	bool done;
	guint i;

	if (!router->hand_over_deadline_ns) {
		router->hand_over_deadline_ns = now_ns + HAND_OVER_NS;
		for (i = 0; i < router->parcels->len; i++)
			((struct parcel *)router->parcels->pdata[i])
				->resend_ns = 0;
	}
	done = step(router, router->own_parcel) &&
	       !cq_outcomes_pending(router->outcomes);
	for (i = 0; i < router->parcels->len; i++)
		done = step(router, router->parcels->pdata[i]) && done;
	*left = done ? 0 : cq_outcomes_not_handed_over(router->outcomes);
	return done || now_ns >= router->hand_over_deadline_ns;
}

bool router_outcomes_offered(struct cq_router *router,
			     const struct cq_outcomes_offer *offer)
{
	int64_t unix_ms = router_unix_ms(router);
	struct cq_outcomes *outcomes = router->outcomes;
	struct parcel *parcel;
	uint32_t i;

	if (router->draining)
		return false;
	if (!is_own(router, offer->data_centre, offer->index)) {
		parcel = parcel_for(router, offer->data_centre, offer->index);
		if (!parcel)
			return false;
		outcomes = parcel->outcomes;
	}
	for (i = 0; i < offer->count; i++) {
		if (cq_outcomes_adopt(outcomes, &offer->outcomes[i], unix_ms))
			router->stats.keys_taken_over++;
		else
			router->stats.keys_dropped++;
	}
	return true;
}

void router_outcomes_taken(struct cq_router *router, uint64_t correlation)
{
	struct parcel *parcel = router->own_parcel;
	guint i;

	for (i = 0; parcel->correlation != correlation; i++) {
		if (i == router->parcels->len)
			return;
		parcel = router->parcels->pdata[i];
	}
	cq_outcomes_collected(parcel->outcomes);
	router->stats.keys_handed_over += parcel->collected;
	parcel->correlation = 0;
	parcel->tries = 0;
	parcel->resend_ns = 0;
	/* The next offer follows at once; a parcel ends with the next tick. */
	step(router, parcel);
}
