#include "chestnutquay/endpoint_pool.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "chestnutquay/clock.h"

#define TRIAL_ANSWERS 3
/* Silence means this many times the mean service time without an answer. */
#define SILENCE_FACTOR 8
/* An endpoint whose last call failed is probed after this time. */
#define RECHECK_NS CQ_NS_PER_S
/* Connections older than this are no longer in the client's pool. */
#define SUSPECT_CONNECTIONS_NS (35 * CQ_NS_PER_S)

struct cq_pool_endpoint {
	char *id;
	char *address;
	struct cq_slots_endpoint *slots;
	uint32_t capacity;
	uint32_t calls; /* open calls and probes */
	bool listed;	/* live in the last host list */
	bool list_leaving;
	int64_t leaving_until_ns; /* by its own answer */
	enum cq_pool_health health;
	uint32_t broken_in_row;
	uint32_t errors_in_row;
	int64_t failed_ns; /* last broken call or error */
	uint32_t trial_answers;
	uint32_t trial_calls; /* open calls that started on trial */
	bool suspected;	      /* ejected for owing an answer only */
	int64_t recovered_ns; /* last answered probe */
	uint32_t ejections;   /* in a row */
	int64_t probe_at_ns;
	int64_t last_answer_ns;
	int64_t busy_since_ns; /* first call after the last answer */
	int64_t fresh_until_ns;
};

struct cq_endpoint_pool {
	struct cq_pool_options options;
	struct cq_slots *slots;
	GHashTable *by_id;
	GPtrArray *order;
	GRand *random;
	uint32_t ejected; /* ejected or probing */
};

static void endpoint_free(void *data);
static void drop_if_idle(struct cq_endpoint_pool *pool,
			 struct cq_pool_endpoint *e);
static void update_one(struct cq_endpoint_pool *pool,
		       const struct cq_host *host, int64_t now_ns);
static bool is_leaving(const struct cq_pool_endpoint *e, int64_t now_ns);
static bool may_work(const struct cq_pool_endpoint *e, int64_t now_ns);
static void eject(struct cq_endpoint_pool *pool, struct cq_pool_endpoint *e,
		  int64_t now_ns);
static void set_health(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *e, enum cq_pool_health health);
static void note_answer(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *e, uint32_t status,
			int64_t now_ns);
static void note_broken(struct cq_endpoint_pool *pool,
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
	options->broken_limit = 3;
	options->error_limit = 5;
	options->back_off_ns = CQ_NS_PER_S;
	options->max_back_off_ns = 30 * CQ_NS_PER_S;
	options->min_silence_ns = CQ_NS_PER_S;
	options->leaving_ns = 10 * CQ_NS_PER_S;
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

static void drop_if_idle(struct cq_endpoint_pool *pool,
			 struct cq_pool_endpoint *e)
{
	if (e->listed || e->calls)
		return;
	if (e->health == CQ_POOL_EJECTED || e->health == CQ_POOL_PROBING)
		pool->ejected--;
	cq_slots_remove_endpoint(pool->slots, e->slots);
	g_ptr_array_remove(pool->order, e);
	g_hash_table_remove(pool->by_id, e->id);
}

static void update_one(struct cq_endpoint_pool *pool,
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
	e->list_leaving = host->state == CQ_HOST_LEAVING;
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
			update_one(pool, &hosts[i], now_ns);
	for (i = pool->order->len; i > 0; i--)
		drop_if_idle(pool, pool->order->pdata[i - 1]);
}

static bool is_leaving(const struct cq_pool_endpoint *e, int64_t now_ns)
{
	return !e->listed || e->list_leaving || now_ns < e->leaving_until_ns;
}

static bool may_work(const struct cq_pool_endpoint *e, int64_t now_ns)
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

		if (!may_work(e, now_ns))
			continue;
		score = cq_slots_free(pool->slots, e->slots, now_ns);
		if (!score)
			continue;
		/* Recent failures outweigh any number of free slots. */
		if (e->broken_in_row || e->errors_in_row)
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
	bool was = e->health == CQ_POOL_EJECTED || e->health == CQ_POOL_PROBING;
	bool is = health == CQ_POOL_EJECTED || health == CQ_POOL_PROBING;

	e->health = health;
	pool->ejected = pool->ejected - was + is;
}

static uint32_t live_count(const struct cq_endpoint_pool *pool)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < pool->order->len; i++) {
		const struct cq_pool_endpoint *e = pool->order->pdata[i];

		count += e->listed && !e->list_leaving;
	}
	return count;
}

static void eject(struct cq_endpoint_pool *pool, struct cq_pool_endpoint *e,
		  int64_t now_ns)
{
	int64_t back_off;

	if (e->health == CQ_POOL_EJECTED)
		return;
	e->suspected = false;
	if (e->health == CQ_POOL_HEALTHY &&
	    (pool->ejected + 1) * 2 > live_count(pool))
		return;
	back_off = pool->options.back_off_ns << MIN(e->ejections, 10);
	back_off = MIN(back_off, pool->options.max_back_off_ns);
	/* Up to a quarter more, so that hosts do not probe together. */
	back_off +=
		(int64_t)(g_rand_double(pool->random) * (double)back_off / 4);
	e->ejections++;
	e->trial_answers = 0;
	e->probe_at_ns = now_ns + back_off;
	set_health(pool, e, CQ_POOL_EJECTED);
}

static void note_answer(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *e, uint32_t status,
			int64_t now_ns)
{
	e->last_answer_ns = now_ns;
	e->busy_since_ns = now_ns;
	e->broken_in_row = 0;
	if (status >= 500) {
		e->errors_in_row++;
		e->failed_ns = now_ns;
		if (e->errors_in_row >= pool->options.error_limit ||
		    e->health == CQ_POOL_TRIAL)
			eject(pool, e, now_ns);
		return;
	}
	e->errors_in_row = 0;
	if (e->health != CQ_POOL_TRIAL || ++e->trial_answers < TRIAL_ANSWERS)
		return;
	e->ejections = 0;
	set_health(pool, e, CQ_POOL_HEALTHY);
}

static void note_broken(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *e, int64_t now_ns)
{
	e->broken_in_row++;
	e->failed_ns = now_ns;
	e->fresh_until_ns = now_ns + SUSPECT_CONNECTIONS_NS;
	if (e->broken_in_row >= pool->options.broken_limit ||
	    e->health == CQ_POOL_TRIAL)
		eject(pool, e, now_ns);
}

void cq_pool_call_started(struct cq_endpoint_pool *pool,
			  struct cq_pool_endpoint *e, int64_t now_ns)
{
	(void)pool;
	if (!e->calls++)
		e->busy_since_ns = now_ns;
	if (e->health == CQ_POOL_TRIAL)
		e->trial_calls++;
}

void cq_pool_call_ended(struct cq_endpoint_pool *pool,
			struct cq_pool_endpoint *e, int64_t started_ns,
			const struct cq_endpoint_result *result, int64_t now_ns)
{
	bool old = started_ns < e->recovered_ns;

	assert(e->calls);
	e->calls--;
	if (!old && e->trial_calls)
		e->trial_calls--;
	switch (result->outcome) {
	case CQ_ENDPOINT_ANSWERED:
		note_answer(pool, e, result->status, now_ns);
		break;
	case CQ_ENDPOINT_REFUSED:
		if (result->leaving)
			e->leaving_until_ns = now_ns + pool->options.leaving_ns;
		break;
	case CQ_ENDPOINT_NOT_SENT:
		e->broken_in_row++;
		eject(pool, e, now_ns);
		break;
	case CQ_ENDPOINT_BROKEN:
	case CQ_ENDPOINT_MISMATCHED:
	case CQ_ENDPOINT_TIMED_OUT:
		/* Calls from before the recovery say nothing new. */
		if (!old)
			note_broken(pool, e, now_ns);
		break;
	}
	drop_if_idle(pool, e);
}

void cq_pool_probe_ended(struct cq_endpoint_pool *pool,
			 struct cq_pool_endpoint *e,
			 const struct cq_endpoint_result *result,
			 int64_t now_ns)
{
	assert(e->calls);
	e->calls--;
	if (result->outcome == CQ_ENDPOINT_REFUSED && result->leaving)
		e->leaving_until_ns = now_ns + pool->options.leaving_ns;
	if (e->health == CQ_POOL_PROBING) {
		if (result->outcome == CQ_ENDPOINT_ANSWERED &&
		    result->status < 500) {
			e->trial_answers = 0;
			e->trial_calls = 0;
			e->broken_in_row = 0;
			e->errors_in_row = 0;
			e->last_answer_ns = now_ns;
			e->busy_since_ns = now_ns;
			e->recovered_ns = now_ns;
			set_health(pool, e,
				   e->suspected ? CQ_POOL_HEALTHY
						: CQ_POOL_TRIAL);
			e->suspected = false;
		} else {
			eject(pool, e, now_ns);
		}
	}
	drop_if_idle(pool, e);
}

void cq_pool_call_late(struct cq_endpoint_pool *pool,
		       struct cq_pool_endpoint *e, int64_t now_ns)
{
	note_broken(pool, e, now_ns);
}

static bool owes_answer(const struct cq_pool_endpoint *e, int64_t silence_ns,
			int64_t now_ns)
{
	return e->calls && now_ns - e->busy_since_ns >= silence_ns;
}

/* Others get the work until it answers again, so that a probe has to ask. */
static bool needs_recheck(const struct cq_pool_endpoint *e, int64_t now_ns)
{
	return e->health == CQ_POOL_HEALTHY &&
	       (e->broken_in_row || e->errors_in_row) &&
	       now_ns - e->failed_ns >= RECHECK_NS;
}

/* Ejects it until a probe, which may start at once, has been answered. */
static void suspect(struct cq_endpoint_pool *pool, struct cq_pool_endpoint *e,
		    int64_t now_ns)
{
	eject(pool, e, now_ns);
	if (e->health != CQ_POOL_EJECTED)
		return;
	e->probe_at_ns = now_ns;
	e->suspected = true;
}

void cq_endpoint_pool_tick(struct cq_endpoint_pool *pool,
			   int64_t mean_service_ns, int64_t now_ns)
{
	int64_t silence_ns = MAX(pool->options.min_silence_ns,
				 SILENCE_FACTOR * mean_service_ns);
	guint i;

	for (i = 0; i < pool->order->len; i++) {
		struct cq_pool_endpoint *e = pool->order->pdata[i];

		if (e->health == CQ_POOL_EJECTED ||
		    e->health == CQ_POOL_PROBING)
			continue;
		if (owes_answer(e, silence_ns, now_ns)) {
			e->fresh_until_ns = now_ns + SUSPECT_CONNECTIONS_NS;
			e->busy_since_ns = now_ns;
			/* A long request is no fault: ask at once. */
			suspect(pool, e, now_ns);
		} else if (needs_recheck(e, now_ns)) {
			e->failed_ns = now_ns;
			suspect(pool, e, now_ns);
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
	return now_ns < e->fresh_until_ns;
}

void cq_endpoint_pool_summary(const struct cq_endpoint_pool *pool,
			      int64_t now_ns, struct cq_pool_summary *summary)
{
	guint i;

	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < pool->order->len; i++) {
		const struct cq_pool_endpoint *e = pool->order->pdata[i];
		uint32_t slots_free;

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
		slots_free = cq_slots_free(pool->slots, e->slots, now_ns);
		summary->usable_slots += slots_free + cq_slots_in_use(e->slots);
		if (e->health == CQ_POOL_TRIAL) {
			summary->trial++;
			slots_free = slots_free && !e->trial_calls ? 1 : 0;
		}
		summary->free_slots += slots_free;
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
