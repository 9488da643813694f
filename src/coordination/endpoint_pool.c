#include "chestnutquay/endpoint_pool.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"

/* Good answers after which an endpoint on trial is healthy. */
#define TRIAL_ANSWERS_REQUIRED 3
/* An answer is overdue after this many mean call durations. */
#define ANSWER_OVERDUE_FACTOR 8
/* An endpoint without a good answer since a failure is probed after this. */
#define FAILURE_PROBE_DELAY_NS CQ_NS_PER_S
/* The HTTP client does not reuse connections that are older than this. */
#define POOLED_CONNECTION_MAX_AGE_NS (35 * CQ_NS_PER_S)

struct cq_pool_endpoint {
	char *id;
	char *address;
	struct cq_slots_endpoint *slots;
	uint32_t capacity;
	uint32_t open_calls;	  /* open calls and probes */
	bool listed;		  /* in the last host list */
	bool listed_as_leaving;	  /* the host list says that it is leaving */
	int64_t leaving_until_ns; /* the endpoint said that it is leaving */
	enum cq_pool_health health;
	uint32_t consecutive_failures;
	uint32_t consecutive_errors;
	int64_t last_failure_ns;    /* time of the last failure */
	uint32_t trial_answers;	    /* good answers on trial */
	uint32_t trial_calls;	    /* open calls that started on trial */
	bool ejected_as_precaution; /* healthy again without a trial */
	int64_t last_recovery_ns;   /* time of the last answered probe */
	uint32_t ejections; /* since it was last healthy after a trial */
	int64_t probe_at_ns;
	int64_t last_answer_ns;
	/* Since when calls are open without an answer. */
	int64_t unanswered_since_ns;
	/* Calls use new connections until then. */
	int64_t new_connections_until_ns;
};

struct cq_endpoint_pool {
	struct cq_pool_options options;
	struct cq_slots *slots;
	GHashTable *by_id;
	GPtrArray *order;
	GRand *random;
	uint32_t ejected; /* endpoints that are ejected or probing */
};

static void endpoint_free(void *data);
static void free_if_unused(struct cq_endpoint_pool *pool,
			   struct cq_pool_endpoint *e);
static void update_endpoint(struct cq_endpoint_pool *pool,
			    const struct cq_host *host, int64_t now_ns);
static bool is_leaving(const struct cq_pool_endpoint *e, int64_t now_ns);
static bool accepts_calls(const struct cq_pool_endpoint *e, int64_t now_ns);
static void eject(struct cq_endpoint_pool *pool, struct cq_pool_endpoint *e,
		  int64_t now_ns);
static void set_health(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *e, enum cq_pool_health health);
static void record_answer(struct cq_endpoint_pool *pool,
			  struct cq_pool_endpoint *e, uint32_t status,
			  int64_t now_ns);
static void record_failure(struct cq_endpoint_pool *pool,
			   struct cq_pool_endpoint *e, int64_t now_ns);
static uint32_t live_count(const struct cq_endpoint_pool *pool);

static const char *const health_strings[] = {
	[CQ_POOL_HEALTHY] = "healthy",
	[CQ_POOL_EJECTED] = "ejected",
	[CQ_POOL_PROBING] = "probing",
	[CQ_POOL_TRIAL] = "trial",
};

const char *cq_pool_health_string(enum cq_pool_health health)
{
	return health_strings[health];
}

void cq_pool_options_init(struct cq_pool_options *options)
{
	options->consecutive_failure_limit = 3;
	options->consecutive_error_limit = 5;
	options->back_off_ns = CQ_NS_PER_S;
	options->max_back_off_ns = 30 * CQ_NS_PER_S;
	options->min_overdue_ns = CQ_NS_PER_S;
	options->leaving_hold_ns = 10 * CQ_NS_PER_S;
}

struct cq_endpoint_pool *
cq_endpoint_pool_create(const struct cq_pool_options *options,
			struct cq_slots *slots, uint64_t seed)
{
	struct cq_endpoint_pool *pool = g_new0(struct cq_endpoint_pool, 1);

	pool->options = *options;
	pool->slots = slots;
	pool->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    endpoint_free);
	pool->order = g_ptr_array_new();
	pool->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
	return pool;
}

void cq_endpoint_pool_destroy(struct cq_endpoint_pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_free(pool->order, TRUE);
	g_hash_table_destroy(pool->by_id);
	g_rand_free(pool->random);
	g_free(pool);
}

static void endpoint_free(void *data)
{
	struct cq_pool_endpoint *e = data;

	g_free(e->id);
	g_free(e->address);
	g_free(e);
}

/* Frees an endpoint that is no longer listed and has no open call. */
static void free_if_unused(struct cq_endpoint_pool *pool,
			   struct cq_pool_endpoint *e)
{
	if (e->listed || e->open_calls)
		return;
	if (e->health == CQ_POOL_EJECTED || e->health == CQ_POOL_PROBING)
		pool->ejected--;
	cq_slots_remove_endpoint(pool->slots, e->slots);
	g_ptr_array_remove(pool->order, e);
	g_hash_table_remove(pool->by_id, e->id);
}

static void update_endpoint(struct cq_endpoint_pool *pool,
			    const struct cq_host *host, int64_t now_ns)
{
	struct cq_pool_endpoint *e = g_hash_table_lookup(pool->by_id, host->id);

	if (!e) {
		e = g_new0(struct cq_pool_endpoint, 1);
		e->id = g_strdup(host->id);
		e->last_answer_ns = now_ns;
		g_hash_table_insert(pool->by_id, e->id, e);
		g_ptr_array_add(pool->order, e);
	}
	if (!e->address || strcmp(e->address, host->address) != 0) {
		g_free(e->address);
		e->address = g_strdup(host->address);
	}
	e->listed = true;
	e->listed_as_leaving = host->state == CQ_HOST_LEAVING;
	if (!e->slots || e->capacity != host->slots)
		e->slots =
			cq_slots_set_endpoint(pool->slots, e->id, host->slots);
	e->capacity = host->slots;
}

void cq_endpoint_pool_update(struct cq_endpoint_pool *pool,
			     const char *data_centre,
			     const struct cq_host *hosts, size_t count,
			     int64_t now_ns)
{
	size_t i;

	for (i = 0; i < pool->order->len; i++)
		((struct cq_pool_endpoint *)pool->order->pdata[i])->listed =
			false;
	for (i = 0; i < count; i++)
		if (hosts[i].kind == CQ_HOST_ENDPOINT &&
		    !strcmp(hosts[i].data_centre, data_centre))
			update_endpoint(pool, &hosts[i], now_ns);
	for (i = pool->order->len; i > 0; i--)
		free_if_unused(pool, pool->order->pdata[i - 1]);
}

static bool is_leaving(const struct cq_pool_endpoint *e, int64_t now_ns)
{
	return !e->listed || e->listed_as_leaving ||
	       now_ns < e->leaving_until_ns;
}

static bool accepts_calls(const struct cq_pool_endpoint *e, int64_t now_ns)
{
	if (is_leaving(e, now_ns))
		return false;
	return e->health == CQ_POOL_HEALTHY ||
	       (e->health == CQ_POOL_TRIAL && !e->trial_calls);
}

struct cq_pool_endpoint *
cq_endpoint_pool_pick(struct cq_endpoint_pool *pool,
		      const struct cq_pool_endpoint *avoid, int64_t now_ns)
{
	struct cq_pool_endpoint *best = NULL;
	int64_t best_score = INT64_MIN;
	guint offset;
	guint i;

	if (!pool->order->len)
		return NULL;
	offset = (guint)g_rand_int_range(pool->random, 0,
					 (gint32)pool->order->len);
	for (i = 0; i < pool->order->len; i++) {
		struct cq_pool_endpoint *e =
			pool->order->pdata[(i + offset) % pool->order->len];
		int64_t score;

		if (!accepts_calls(e, now_ns))
			continue;
		score = cq_slots_free(pool->slots, e->slots, now_ns);
		if (!score)
			continue;
		/* A recent failure outweighs any number of free slots. */
		if (e->consecutive_failures || e->consecutive_errors)
			score -= 1000;
		if (e == avoid)
			score -= 1000000;
		if (score <= best_score)
			continue;
		best_score = score;
		best = e;
	}
	return best;
}

struct cq_pool_endpoint *
cq_endpoint_pool_next_probe(struct cq_endpoint_pool *pool, int64_t now_ns)
{
	guint i;

	for (i = 0; pool->ejected && i < pool->order->len; i++) {
		struct cq_pool_endpoint *e = pool->order->pdata[i];

		if (e->health != CQ_POOL_EJECTED || now_ns < e->probe_at_ns ||
		    is_leaving(e, now_ns) ||
		    !cq_slots_free(pool->slots, e->slots, now_ns))
			continue;
		set_health(pool, e, CQ_POOL_PROBING);
		return e;
	}
	return NULL;
}

static void set_health(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *e, enum cq_pool_health health)
{
	bool was_ejected = e->health == CQ_POOL_EJECTED ||
			   e->health == CQ_POOL_PROBING;
	bool is_ejected = health == CQ_POOL_EJECTED ||
			  health == CQ_POOL_PROBING;

	e->health = health;
	pool->ejected = pool->ejected - was_ejected + is_ejected;
}

static uint32_t live_count(const struct cq_endpoint_pool *pool)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < pool->order->len; i++) {
		const struct cq_pool_endpoint *e = pool->order->pdata[i];

		count += e->listed && !e->listed_as_leaving;
	}
	return count;
}

static void eject(struct cq_endpoint_pool *pool, struct cq_pool_endpoint *e,
		  int64_t now_ns)
{
	int64_t back_off;

	if (e->health == CQ_POOL_EJECTED)
		return;
	e->ejected_as_precaution = false;
	if (e->health == CQ_POOL_HEALTHY &&
	    (pool->ejected + 1) * 2 > live_count(pool))
		return;
	back_off = pool->options.back_off_ns << MIN(e->ejections, 10);
	back_off = MIN(back_off, pool->options.max_back_off_ns);
	/* Add up to a quarter as jitter, so that hosts probe at other times. */
	back_off +=
		(int64_t)(g_rand_double(pool->random) * (double)back_off / 4);
	e->ejections++;
	e->trial_answers = 0;
	e->probe_at_ns = now_ns + back_off;
	set_health(pool, e, CQ_POOL_EJECTED);
}

static void record_answer(struct cq_endpoint_pool *pool,
			  struct cq_pool_endpoint *e, uint32_t status,
			  int64_t now_ns)
{
	e->last_answer_ns = now_ns;
	e->unanswered_since_ns = now_ns;
	e->consecutive_failures = 0;
	if (status >= 500) {
		e->consecutive_errors++;
		e->last_failure_ns = now_ns;
		if (e->consecutive_errors >=
			    pool->options.consecutive_error_limit ||
		    e->health == CQ_POOL_TRIAL)
			eject(pool, e, now_ns);
		return;
	}
	e->consecutive_errors = 0;
	if (e->health != CQ_POOL_TRIAL ||
	    ++e->trial_answers < TRIAL_ANSWERS_REQUIRED)
		return;
	e->ejections = 0;
	set_health(pool, e, CQ_POOL_HEALTHY);
}

static void record_failure(struct cq_endpoint_pool *pool,
			   struct cq_pool_endpoint *e, int64_t now_ns)
{
	e->consecutive_failures++;
	e->last_failure_ns = now_ns;
	e->new_connections_until_ns = now_ns + POOLED_CONNECTION_MAX_AGE_NS;
	if (e->consecutive_failures >=
		    pool->options.consecutive_failure_limit ||
	    e->health == CQ_POOL_TRIAL)
		eject(pool, e, now_ns);
}

void cq_pool_call_started(struct cq_endpoint_pool *pool,
			  struct cq_pool_endpoint *e, int64_t now_ns)
{
	(void)pool;
	if (!e->open_calls++)
		e->unanswered_since_ns = now_ns;
	if (e->health == CQ_POOL_TRIAL)
		e->trial_calls++;
}

void cq_pool_call_ended(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *e, int64_t started_ns,
			const struct cq_endpoint_result *result, int64_t now_ns)
{
	bool before_recovery = started_ns < e->last_recovery_ns;

	assert(e->open_calls);
	e->open_calls--;
	if (!before_recovery && e->trial_calls)
		e->trial_calls--;
	switch (result->outcome) {
	case CQ_ENDPOINT_ANSWERED:
		record_answer(pool, e, result->status, now_ns);
		break;
	case CQ_ENDPOINT_REFUSED:
		if (result->leaving)
			e->leaving_until_ns =
				now_ns + pool->options.leaving_hold_ns;
		break;
	case CQ_ENDPOINT_NOT_SENT:
		e->consecutive_failures++;
		eject(pool, e, now_ns);
		break;
	case CQ_ENDPOINT_BROKEN:
	case CQ_ENDPOINT_MISMATCHED:
	case CQ_ENDPOINT_TIMED_OUT:
		/* A call from before the last recovery is no new failure. */
		if (!before_recovery)
			record_failure(pool, e, now_ns);
		break;
	}
	free_if_unused(pool, e);
}

void cq_pool_probe_ended(struct cq_endpoint_pool *pool,
			 struct cq_pool_endpoint *e,
			 const struct cq_endpoint_result *result,
			 int64_t now_ns)
{
	assert(e->open_calls);
	e->open_calls--;
	if (result->outcome == CQ_ENDPOINT_REFUSED && result->leaving)
		e->leaving_until_ns = now_ns + pool->options.leaving_hold_ns;
	if (e->health == CQ_POOL_PROBING) {
		if (result->outcome == CQ_ENDPOINT_ANSWERED &&
		    result->status < 500) {
			e->trial_answers = 0;
			e->trial_calls = 0;
			e->consecutive_failures = 0;
			e->consecutive_errors = 0;
			e->last_answer_ns = now_ns;
			e->unanswered_since_ns = now_ns;
			e->last_recovery_ns = now_ns;
			set_health(pool, e,
				   e->ejected_as_precaution ? CQ_POOL_HEALTHY
							    : CQ_POOL_TRIAL);
			e->ejected_as_precaution = false;
		} else {
			eject(pool, e, now_ns);
		}
	}
	free_if_unused(pool, e);
}

void cq_pool_call_late(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *e, int64_t now_ns)
{
	record_failure(pool, e, now_ns);
}

static bool is_answer_overdue(const struct cq_pool_endpoint *e,
			      int64_t overdue_ns, int64_t now_ns)
{
	return e->open_calls && now_ns - e->unanswered_since_ns >= overdue_ns;
}

/*
 * cq_endpoint_pool_pick() avoids an endpoint after a failure, so without a
 * probe no call might show that it has recovered.
 */
static bool needs_probe(const struct cq_pool_endpoint *e, int64_t now_ns)
{
	return e->health == CQ_POOL_HEALTHY &&
	       (e->consecutive_failures || e->consecutive_errors) &&
	       now_ns - e->last_failure_ns >= FAILURE_PROBE_DELAY_NS;
}

/*
 * Ejects an endpoint as a precaution. The probe is due at once, and the
 * endpoint is healthy again, without a trial, when it answers the probe.
 */
static void eject_as_precaution(struct cq_endpoint_pool *pool,
				struct cq_pool_endpoint *e, int64_t now_ns)
{
	eject(pool, e, now_ns);
	if (e->health != CQ_POOL_EJECTED)
		return;
	e->probe_at_ns = now_ns;
	e->ejected_as_precaution = true;
}

void cq_endpoint_pool_tick(struct cq_endpoint_pool *pool,
			   int64_t mean_service_ns, int64_t now_ns)
{
	int64_t overdue_ns = MAX(pool->options.min_overdue_ns,
				 ANSWER_OVERDUE_FACTOR * mean_service_ns);
	guint i;

	for (i = 0; i < pool->order->len; i++) {
		struct cq_pool_endpoint *e = pool->order->pdata[i];

		if (e->health == CQ_POOL_EJECTED ||
		    e->health == CQ_POOL_PROBING)
			continue;
		if (is_answer_overdue(e, overdue_ns, now_ns)) {
			e->new_connections_until_ns =
				now_ns + POOLED_CONNECTION_MAX_AGE_NS;
			e->unanswered_since_ns = now_ns;
			/* The request may just take long, so probe at once. */
			eject_as_precaution(pool, e, now_ns);
		} else if (needs_probe(e, now_ns)) {
			e->last_failure_ns = now_ns;
			eject_as_precaution(pool, e, now_ns);
		}
	}
}

const char *cq_pool_endpoint_id(const struct cq_pool_endpoint *e)
{
	return e->id;
}

const char *cq_pool_endpoint_address(const struct cq_pool_endpoint *e)
{
	return e->address;
}

struct cq_slots_endpoint *
cq_pool_endpoint_slots(const struct cq_pool_endpoint *e)
{
	return e->slots;
}

enum cq_pool_health cq_pool_endpoint_health(const struct cq_pool_endpoint *e)
{
	return e->health;
}

bool cq_pool_endpoint_needs_new_connection(const struct cq_pool_endpoint *e,
					   int64_t now_ns)
{
	return now_ns < e->new_connections_until_ns;
}

void cq_endpoint_pool_summary(const struct cq_endpoint_pool *pool,
			      int64_t now_ns, struct cq_pool_summary *summary)
{
	guint i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < pool->order->len; i++) {
		const struct cq_pool_endpoint *e = pool->order->pdata[i];
		uint32_t free_slots;

		if (is_leaving(e, now_ns)) {
			summary->leaving++;
			continue;
		}
		summary->live++;
		if (e->health == CQ_POOL_EJECTED ||
		    e->health == CQ_POOL_PROBING) {
			summary->ejected++;
			continue;
		}
		free_slots = cq_slots_free(pool->slots, e->slots, now_ns);
		summary->usable_slots += free_slots + cq_slots_in_use(e->slots);
		if (e->health == CQ_POOL_TRIAL) {
			summary->trial++;
			free_slots = free_slots && !e->trial_calls ? 1 : 0;
		}
		summary->free_slots += free_slots;
	}
}

struct cq_pool_endpoint *
cq_endpoint_pool_find(const struct cq_endpoint_pool *pool, const char *id)
{
	return g_hash_table_lookup(pool->by_id, id);
}

void cq_endpoint_pool_each(const struct cq_endpoint_pool *pool,
			   void (*fn)(void *ctx,
				      const struct cq_pool_endpoint *endpoint),
			   void *ctx)
{
	guint i;

	for (i = 0; i < pool->order->len; i++)
		fn(ctx, pool->order->pdata[i]);
}
