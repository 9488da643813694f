/*
 * The endpoints of a data centre as one entry host sees them: health tracking
 * with ejection of failing endpoints, and the choice of an endpoint for a call.
 *
 * Health of an endpoint:
 *
 *   healthy --failures--> ejected --back-off over--> probing
 *   probing --probe answered--> trial (one call at a time) --3 answers-->
 *   healthy; a failure while probing or on trial ejects the endpoint again for
 *   twice as long.
 *
 * At most half of the live endpoints are ejected at a time. If more than half
 * fail, the cause is more likely the network or the requests than the
 * endpoints, and an empty pool could serve nothing.
 */
#ifndef CHESTNUTQUAY_ENDPOINT_POOL_H
#define CHESTNUTQUAY_ENDPOINT_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/endpoint.h"
#include "chestnutquay/host_list.h"
#include "chestnutquay/slots.h"

enum cq_pool_health {
	CQ_POOL_HEALTHY,
	CQ_POOL_EJECTED, /* gets no work until a probe is answered */
	CQ_POOL_PROBING, /* a probe is open */
	CQ_POOL_TRIAL,	 /* gets one call at a time */
};

const char *cq_pool_health_string(enum cq_pool_health health);

struct cq_pool_options {
	/* Consecutive calls without a valid answer that eject an endpoint. */
	uint32_t consecutive_failure_limit;
	/* Consecutive answers with status 500 or above that eject it. */
	uint32_t consecutive_error_limit;
	int64_t back_off_ns; /* of the first ejection; doubles each time */
	int64_t max_back_off_ns;
	/*
	 * Shortest time without any answer, while a call is open, after which
	 * the endpoint gets no new work.
	 */
	int64_t min_overdue_ns;
	/* An endpoint that says it is leaving gets no work for this long. */
	int64_t leaving_hold_ns;
};

void cq_pool_options_init(struct cq_pool_options *options);

struct cq_endpoint_pool;
struct cq_pool_endpoint;

/* The pool registers its endpoints in slots; slots must outlive the pool. */
struct cq_endpoint_pool *
cq_endpoint_pool_create(const struct cq_pool_options *options,
			struct cq_slots *slots, uint64_t seed);
void cq_endpoint_pool_destroy(struct cq_endpoint_pool *pool);

/*
 * Replaces the endpoints by those of one data centre in a host list. Endpoints
 * that are no longer listed are removed once their calls have ended.
 */
void cq_endpoint_pool_update(struct cq_endpoint_pool *pool,
			     const char *data_centre,
			     const struct cq_host *hosts, size_t count,
			     int64_t now_ns);

/*
 * Chooses an endpoint that may get work and has a free slot. Returns avoid
 * only if no other endpoint qualifies, and NULL if none does.
 */
struct cq_pool_endpoint *
cq_endpoint_pool_pick(struct cq_endpoint_pool *pool,
		      const struct cq_pool_endpoint *avoid, int64_t now_ns);

/*
 * Returns an endpoint whose probe is due, after setting its state to probing;
 * NULL if no probe is due. The caller has to start the probe.
 */
struct cq_pool_endpoint *
cq_endpoint_pool_next_probe(struct cq_endpoint_pool *pool, int64_t now_ns);

/* Must be called when a call or a probe of the endpoint starts. */
void cq_pool_call_started(struct cq_endpoint_pool *pool,
			  struct cq_pool_endpoint *endpoint, int64_t now_ns);
/* Records the result of a call; the endpoint may be freed. */
void cq_pool_call_ended(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *endpoint, int64_t started_ns,
			const struct cq_endpoint_result *result,
			int64_t now_ns);
/* Records the result of a probe; the endpoint may be freed. */
void cq_pool_probe_ended(struct cq_endpoint_pool *pool,
			 struct cq_pool_endpoint *endpoint,
			 const struct cq_endpoint_result *result,
			 int64_t now_ns);
/*
 * Counts a failure for a call that takes much longer than usual. The call
 * stays open.
 */
void cq_pool_call_late(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *endpoint, int64_t now_ns);

/*
 * Ejects endpoints whose answers are overdue, and endpoints without a good
 * answer for 1 s after a failure, until a probe is answered.
 */
void cq_endpoint_pool_tick(struct cq_endpoint_pool *pool,
			   int64_t mean_service_ns, int64_t now_ns);

const char *cq_pool_endpoint_id(const struct cq_pool_endpoint *endpoint);
const char *cq_pool_endpoint_address(const struct cq_pool_endpoint *endpoint);
struct cq_slots_endpoint *
cq_pool_endpoint_slots(const struct cq_pool_endpoint *endpoint);
enum cq_pool_health
cq_pool_endpoint_health(const struct cq_pool_endpoint *endpoint);
/*
 * Whether calls should open a new connection, because pooled connections to
 * the endpoint may be unusable after a failure.
 */
bool cq_pool_endpoint_needs_new_connection(
	const struct cq_pool_endpoint *endpoint, int64_t now_ns);

struct cq_pool_summary {
	/*
	 * Numbers of endpoints. Leaving endpoints are not live; ejected (or
	 * probing) endpoints and those on trial are live.
	 */
	uint32_t live, leaving, ejected, trial;
	/* Slots of live endpoints that are not ejected, in use or free. */
	uint32_t usable_slots;
	uint32_t free_slots;
};

void cq_endpoint_pool_summary(const struct cq_endpoint_pool *pool,
			      int64_t now_ns, struct cq_pool_summary *summary);
struct cq_pool_endpoint *
cq_endpoint_pool_find(const struct cq_endpoint_pool *pool, const char *id);
/* Calls fn for each endpoint, in the order in which they were added. */
void cq_endpoint_pool_each(const struct cq_endpoint_pool *pool,
			   void (*fn)(void *ctx,
				      const struct cq_pool_endpoint *endpoint),
			   void *ctx);

#endif
