/*
 * The endpoints of a data centre as one entry host sees them: which may get
 * new work, and the choice among them.
 *
 * Health of an endpoint:
 *
 *   healthy --failures--> ejected --back-off over--> probing
 *   probing --probe answered--> trial (one call at a time) --3 answers-->
 *   healthy; any failure on the way ejects it again for twice as long.
 *
 * At most half of the endpoints are ejected at a time. Beyond that, failures
 * say more about the network or the requests than about the endpoints, and an
 * empty pool helps nobody.
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
	CQ_POOL_EJECTED,
	CQ_POOL_PROBING,
	CQ_POOL_TRIAL,
};

const char *cq_pool_health_string(enum cq_pool_health health);

struct cq_pool_options {
	uint32_t broken_limit; /* broken or silent calls in a row */
	uint32_t error_limit;  /* answers of 500 and above in a row */
	int64_t back_off_ns;   /* first ejection; doubles */
	int64_t max_back_off_ns;
	/* No answer for this long with a call open: no new work. */
	int64_t min_silence_ns;
	/* After "leaving", the endpoint is not used for this long. */
	int64_t leaving_ns;
};

void cq_pool_options_init(struct cq_pool_options *options);

struct cq_endpoint_pool;
struct cq_pool_endpoint;

/* The pool adds its endpoints to slots, which must outlive it. */
struct cq_endpoint_pool *
cq_endpoint_pool_create(const struct cq_pool_options *options,
			struct cq_slots *slots, uint64_t seed);
void cq_endpoint_pool_destroy(struct cq_endpoint_pool *pool);

/* Takes the endpoints of one data centre from a host list. */
void cq_endpoint_pool_update(struct cq_endpoint_pool *pool,
			     const char *data_centre,
			     const struct cq_host *hosts, size_t count,
			     int64_t now_ns);

/*
 * An endpoint with a free slot that may get work, other than avoid unless
 * there is no other. NULL if there is none.
 */
struct cq_pool_endpoint *
cq_endpoint_pool_pick(struct cq_endpoint_pool *pool,
		      const struct cq_pool_endpoint *avoid, int64_t now_ns);

/* An endpoint whose probe is due, now probing; NULL if there is none. */
struct cq_pool_endpoint *
cq_endpoint_pool_next_probe(struct cq_endpoint_pool *pool, int64_t now_ns);

/* The router started or ended a call. */
void cq_pool_call_started(struct cq_endpoint_pool *pool,
			  struct cq_pool_endpoint *endpoint, int64_t now_ns);
void cq_pool_call_ended(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *endpoint, int64_t started_ns,
			const struct cq_endpoint_result *result,
			int64_t now_ns);
void cq_pool_probe_ended(struct cq_endpoint_pool *pool,
			 struct cq_pool_endpoint *endpoint,
			 const struct cq_endpoint_result *result,
			 int64_t now_ns);
/* An attempt took longer than answers usually do; its call stays open. */
void cq_pool_call_late(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *endpoint, int64_t now_ns);

/* Withholds work from endpoints that owe answers. */
void cq_endpoint_pool_tick(struct cq_endpoint_pool *pool,
			   int64_t mean_service_ns, int64_t now_ns);

const char *cq_pool_endpoint_id(const struct cq_pool_endpoint *endpoint);
const char *cq_pool_endpoint_address(const struct cq_pool_endpoint *endpoint);
struct cq_slots_endpoint *
cq_pool_endpoint_slots(const struct cq_pool_endpoint *endpoint);
enum cq_pool_health
cq_pool_endpoint_health(const struct cq_pool_endpoint *endpoint);
/* Pooled connections to it are suspect. */
bool cq_pool_endpoint_needs_new_connection(
	const struct cq_pool_endpoint *endpoint, int64_t now_ns);

struct cq_pool_summary {
	uint32_t live, leaving, ejected, trial;
	uint32_t usable_slots; /* of endpoints that may get work */
	uint32_t free_slots;
};

void cq_endpoint_pool_summary(const struct cq_endpoint_pool *pool,
			      int64_t now_ns, struct cq_pool_summary *summary);
struct cq_pool_endpoint *
cq_endpoint_pool_find(const struct cq_endpoint_pool *pool, const char *id);
/* Calls fn for each endpoint, in the order of their appearance. */
void cq_endpoint_pool_each(const struct cq_endpoint_pool *pool,
			   void (*fn)(void *ctx,
				      const struct cq_pool_endpoint *endpoint),
			   void *ctx);

#endif
