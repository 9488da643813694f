#include "plain_router.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define MAX_ATTEMPTS 4
#define SNAPSHOT_NS (100 * CQ_NS_PER_MS)
#define MAX_ENDPOINTS 256

/* Open calls of all hosts, by the endpoint's place in the host list. */
static uint32_t all_open[MAX_ENDPOINTS];

struct plain_endpoint {
	char *id;
	char *address;
	uint32_t slots;
	uint32_t open;
	uint32_t place; /* in all_open */
	uint32_t snapshot;
	uint32_t open_then;
};

struct plain_request {
	struct cq_request request;
	void *caller; /* NULL: answered */
	int64_t deadline_ns;
	uint32_t attempts;
	uint32_t references;
};

struct plain_call {
	uint64_t id;
	struct plain_request *request;
	struct plain_endpoint *endpoint;
};

/* Behind the opaque struct cq_router of the table. */
struct plain_router {
	struct cq_router_setup setup;
	GRand *random;
	GPtrArray *endpoints;
	GQueue queue;	   /* struct plain_request */
	GHashTable *calls; /* id -> struct plain_call */
	GPtrArray *open;   /* struct plain_request, unanswered */
	uint64_t next_id;
	int64_t snapshot_ns;
	bool two_choices;
	struct cq_router_stats stats;
};

static void dispatch(struct plain_router *router);

static struct plain_router *self(struct cq_router *router)
{
	return (struct plain_router *)(void *)router;
}

static struct cq_router *create(const struct cq_router_setup *setup)
{
	struct plain_router *router = g_new0(struct plain_router, 1);

	router->setup = *setup;
	router->random = g_rand_new_with_seed((guint32)setup->options.seed);
	router->endpoints = g_ptr_array_new();
	router->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	router->open = g_ptr_array_new();
	return (struct cq_router *)(void *)router;
}

static void release(struct plain_request *request)
{
	if (--request->references)
		return;
	g_free((char *)request->request.workspace);
	g_free((char *)request->request.class_name);
	g_free((char *)request->request.path);
	g_free(request);
}

/* Requests that are still open are left to the end of the process. */
static void destroy(struct cq_router *base)
{
	struct plain_router *router = self(base);
	GHashTableIter iter;
	gpointer value;
	guint i;

	/* A dead host reports no calls. */
	g_hash_table_iter_init(&iter, router->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		all_open[((struct plain_call *)value)->endpoint->place]--;
	for (i = 0; i < router->endpoints->len; i++) {
		struct plain_endpoint *e = router->endpoints->pdata[i];

		g_free(e->id);
		g_free(e->address);
		g_free(e);
	}
	g_ptr_array_free(router->endpoints, TRUE);
	g_queue_clear(&router->queue);
	g_hash_table_destroy(router->calls);
	g_ptr_array_free(router->open, TRUE);
	g_rand_free(router->random);
	g_free(router);
}

static int64_t now_ns(const struct plain_router *router)
{
	return cq_clock_now_ns(router->setup.clock);
}

static void submit(struct cq_router *base, const struct cq_request *request,
		   const struct cq_origin *origin, void *caller)
{
	struct plain_router *router = self(base);
	struct plain_request *r = g_new0(struct plain_request, 1);

	(void)origin;
	r->request = *request;
	r->request.workspace = g_strdup(request->workspace);
	r->request.class_name = g_strdup(request->class_name);
	r->request.path = g_strdup(request->path);
	r->caller = caller;
	r->deadline_ns = now_ns(router) + request->timeout_ms * CQ_NS_PER_MS;
	r->references = 2; /* open list, queue */
	router->stats.submitted++;
	router->stats.first_attempts++;
	g_ptr_array_add(router->open, r);
	g_queue_push_tail(&router->queue, r);
	dispatch(router);
}

static void answer(struct plain_router *router, struct plain_request *r,
		   const struct cq_answer *out)
{
	void *caller = r->caller;

	if (!caller)
		return;
	r->caller = NULL;
	g_ptr_array_remove_fast(router->open, r);
	router->setup.ops->answer(router->setup.ops_ctx, caller, out);
	/* The queue or a call still refers to it. */
	assert(r->references > 1);
	r->references--;
}

static void refuse(struct plain_router *router, struct plain_request *r)
{
	struct cq_answer out = { .refusal = CQ_REFUSAL_DEADLINE,
				 .run = CQ_REQUEST_MAY_HAVE_RUN,
				 .status = 504,
				 .content_type = "",
				 .endpoint = "",
				 .message = "",
				 .body = "" };

	answer(router, r, &out);
}

static struct plain_endpoint *random_endpoint(struct plain_router *router)
{
	return router->endpoints->pdata[g_rand_int_range(
		router->random, 0, (gint32)router->endpoints->len)];
}

static uint32_t guess(const struct plain_endpoint *e)
{
	return e->snapshot - MIN(e->snapshot, e->open_then) + e->open;
}

/* NULL if the choice seems to have no free slot. */
static struct plain_endpoint *choose(struct plain_router *router)
{
	struct plain_endpoint *a;
	struct plain_endpoint *b;

	if (!router->endpoints->len)
		return NULL;
	a = random_endpoint(router);
	if (!router->two_choices)
		return a->open < a->slots ? a : NULL;
	b = random_endpoint(router);
	if (guess(b) < guess(a))
		a = b;
	return guess(a) < a->slots ? a : NULL;
}

static void take_snapshot(struct plain_router *router)
{
	guint i;

	if (now_ns(router) - router->snapshot_ns < SNAPSHOT_NS)
		return;
	router->snapshot_ns = now_ns(router);
	for (i = 0; i < router->endpoints->len; i++) {
		struct plain_endpoint *e = router->endpoints->pdata[i];

		e->snapshot = all_open[e->place];
		e->open_then = e->open;
	}
}

static void dispatch(struct plain_router *router)
{
	struct plain_request *r;
	struct plain_endpoint *e;

	while ((r = g_queue_peek_head(&router->queue))) {
		struct cq_endpoint_call request = {
			.request_id = "plain",
			.path = r->request.path,
			.content_type = "",
			.workspace = r->request.workspace,
			.class_name = r->request.class_name,
			.body = r->request.body,
			.body_len = r->request.body_len,
			.timeout_ms = router->setup.options.call_max_ms,
		};
		struct plain_call *call;

		if (!r->caller) {
			release(g_queue_pop_head(&router->queue));
			continue;
		}
		e = choose(router);
		if (!e)
			return;
		g_queue_pop_head(&router->queue);
		r->attempts++;
		e->open++;
		all_open[e->place]++;
		call = g_new0(struct plain_call, 1);
		call->id = ++router->next_id;
		call->request = r;
		call->endpoint = e;
		g_hash_table_insert(router->calls, &call->id, call);
		request.address = e->address;
		router->setup.ops->call(router->setup.ops_ctx, call->id,
					&request);
	}
}

static void call_done(struct cq_router *base, uint64_t call_id,
		      const struct cq_endpoint_result *result)
{
	struct plain_router *router = self(base);
	struct plain_call *call = g_hash_table_lookup(router->calls, &call_id);
	struct plain_request *r = call->request;
	bool good = result->outcome == CQ_ENDPOINT_ANSWERED &&
		    result->status < 500;

	call->endpoint->open--;
	all_open[call->endpoint->place]--;
	if (!good && r->caller && r->request.idempotent &&
	    r->attempts < MAX_ATTEMPTS) {
		router->stats.retries++;
		g_queue_push_tail(&router->queue, r);
	} else if (result->outcome == CQ_ENDPOINT_ANSWERED) {
		struct cq_answer out = { .status = result->status,
					 .content_type = "",
					 .endpoint = call->endpoint->id,
					 .message = "",
					 .body = result->body,
					 .body_len = result->body_len };

		answer(router, r, &out);
		release(r);
	} else {
		refuse(router, r);
		release(r);
	}
	g_hash_table_remove(router->calls, &call_id);
	dispatch(router);
}

static void set_hosts(struct cq_router *base, const struct cq_host *hosts,
		      size_t count)
{
	struct plain_router *router = self(base);
	size_t i;

	/* The benchmark's endpoints do not change. */
	for (i = 0; i < count && router->endpoints->len < count; i++) {
		struct plain_endpoint *e = g_new0(struct plain_endpoint, 1);

		e->id = g_strdup(hosts[i].id);
		e->address = g_strdup(hosts[i].address);
		e->slots = hosts[i].slots;
		e->place = (uint32_t)i % MAX_ENDPOINTS;
		g_ptr_array_add(router->endpoints, e);
	}
	dispatch(router);
}

static void tick(struct cq_router *base)
{
	struct plain_router *router = self(base);
	guint i;

	for (i = router->open->len; i > 0; i--) {
		struct plain_request *r = router->open->pdata[i - 1];

		if (now_ns(router) >= r->deadline_ns)
			refuse(router, r);
	}
	take_snapshot(router);
	dispatch(router);
}

static void abandon(struct cq_router *base, void *caller)
{
	(void)base;
	(void)caller;
}

static void forward_done(struct cq_router *base, uint64_t correlation,
			 const struct cq_answer *out,
			 const struct cq_peer_load *load)
{
	(void)base;
	(void)correlation;
	(void)out;
	(void)load;
}

static void slots_asked(struct cq_router *base, uint32_t borrower,
			uint64_t borrower_incarnation, uint32_t wanted,
			int64_t asked_ns)
{
	(void)base;
	(void)borrower;
	(void)borrower_incarnation;
	(void)wanted;
	(void)asked_ns;
}

static void slots_lent(struct cq_router *base, uint32_t lender,
		       uint64_t lender_incarnation, int64_t asked_ns,
		       const struct cq_slots_loan *loans, uint32_t count)
{
	(void)base;
	(void)lender;
	(void)lender_incarnation;
	(void)asked_ns;
	(void)loans;
	(void)count;
}

static void slots_returned(struct cq_router *base, const uint64_t *loan_ids,
			   uint32_t count)
{
	(void)base;
	(void)loan_ids;
	(void)count;
}

static void drain(struct cq_router *base)
{
	(void)base;
}

static void load(const struct cq_router *base, struct cq_peer_load *out)
{
	(void)base;
	memset(out, 0, sizeof(*out));
}

static void stats(const struct cq_router *base, struct cq_router_stats *out)
{
	*out = ((const struct plain_router *)(const void *)base)->stats;
}

static const struct cq_router_vtable vtable = {
	.create = create,
	.destroy = destroy,
	.submit = submit,
	.abandon = abandon,
	.call_done = call_done,
	.forward_done = forward_done,
	.slots_asked = slots_asked,
	.slots_lent = slots_lent,
	.slots_returned = slots_returned,
	.set_hosts = set_hosts,
	.tick = tick,
	.drain = drain,
	.load = load,
	.stats = stats,
};

const struct cq_router_vtable *plain_router_vtable(void)
{
	return &vtable;
}

static struct cq_router *create_two_choices(const struct cq_router_setup *setup)
{
	struct cq_router *router = create(setup);

	self(router)->two_choices = true;
	return router;
}

const struct cq_router_vtable *two_choices_vtable(void)
{
	static struct cq_router_vtable two_choices;

	memset(all_open, 0, sizeof(all_open));
	two_choices = vtable;
	two_choices.create = create_two_choices;
	return &two_choices;
}
