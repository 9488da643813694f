#include "sim.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "coordination/prng.h"

static gint compare_events(const struct cq_sim_event *a,
			   const struct cq_sim_event *b);
static void sift_up(struct cq_sim *sim, guint i);
static void sift_down(struct cq_sim *sim, guint i);
static struct cq_sim_event *pop(struct cq_sim *sim);
static int64_t sim_now(void *ctx);
static int64_t sim_unix(void *ctx);
static int64_t host_now(void *ctx);
static int64_t host_unix(void *ctx);
static void drop_posted(struct cq_sim *sim, int32_t host);
static void deliver(void *ctx);
static void hand_to_process(void *ctx);
static void free_message(void *ctx);

struct cq_sim_event {
	int64_t at_ns;
	uint64_t order;
	cq_sim_fn *fn;
	cq_sim_fn *free_fn;
	void *ctx;
	bool cancelled;
};

struct posted {
	cq_sim_fn *fn;
	cq_sim_fn *free_fn;
	void *ctx;
};

struct host {
	struct cq_sim *sim;
	char address[CQ_PEER_ADDRESS_BYTES];
	char id[64];
	uint64_t incarnation;
	bool alive, paused;
	uint32_t life;
	cq_sim_receive_fn *receive;
	void *ctx;
	GQueue posted; /* waiting for the end of a pause */
	struct cq_clock clock;
	int32_t drift_ppm;
	int64_t skew_ms;
	struct cq_sim_net_stats sent, received;
};

struct cq_sim {
	int64_t now_ns;
	uint64_t order;
	GPtrArray *heap;
	struct cq_prng prng;
	struct cq_clock clock;
	struct host hosts[CQ_SIM_MAX_HOSTS];
	int32_t host_count;
	GHashTable *by_address; /* number + 1 */
	struct cq_sim_net_faults faults;
	bool blocked[CQ_SIM_MAX_HOSTS + 1][CQ_SIM_MAX_HOSTS + 1];
};

struct message {
	struct cq_sim *sim;
	int32_t from, to;
	char from_id[64];
	uint64_t from_incarnation;
	enum cq_peer_kind kind;
	uint64_t correlation;
	size_t len;
	uint8_t payload[];
};

static const struct cq_clock_ops sim_clock_ops = { sim_now, sim_unix };
static const struct cq_clock_ops host_clock_ops = { host_now, host_unix };

static int64_t sim_now(void *ctx)
{
	const struct cq_sim *sim = ctx;

	return sim->now_ns;
}

static int64_t sim_unix(void *ctx)
{
	const struct cq_sim *sim = ctx;

	return CQ_SIM_UNIX_MS + sim->now_ns / CQ_NS_PER_MS;
}

static int64_t host_now(void *ctx)
{
	const struct host *host = ctx;
	int64_t now_ns = host->sim->now_ns;

	return now_ns + now_ns / 1000000 * host->drift_ppm;
}

static int64_t host_unix(void *ctx)
{
	const struct host *host = ctx;

	return sim_unix(host->sim) + host->skew_ms;
}

struct cq_sim *cq_sim_create(uint64_t seed)
{
	struct cq_sim *sim = g_new0(struct cq_sim, 1);

	sim->now_ns = 1000 * CQ_NS_PER_S;
	sim->prng.state = seed;
	sim->heap = g_ptr_array_new();
	sim->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	sim->clock.ops = &sim_clock_ops;
	sim->clock.ctx = sim;
	sim->faults.min_delay_ns = 500 * CQ_NS_PER_US;
	sim->faults.max_delay_ns = 1500 * CQ_NS_PER_US;
	return sim;
}

void cq_sim_destroy(struct cq_sim *sim)
{
	struct cq_sim_event *event;
	int32_t i;

	while ((event = pop(sim))) {
		if (!event->cancelled && event->free_fn)
			event->free_fn(event->ctx);
		g_free(event);
	}
	for (i = 0; i < sim->host_count; i++)
		drop_posted(sim, i);
	g_ptr_array_free(sim->heap, TRUE);
	g_hash_table_destroy(sim->by_address);
	g_free(sim);
}

int64_t cq_sim_now_ns(const struct cq_sim *sim)
{
	return sim->now_ns;
}

const struct cq_clock *cq_sim_clock(struct cq_sim *sim)
{
	return &sim->clock;
}

uint64_t cq_sim_random(struct cq_sim *sim, uint64_t bound)
{
	return cq_prng_below(&sim->prng, bound);
}

static gint compare_events(const struct cq_sim_event *a,
			   const struct cq_sim_event *b)
{
	if (a->at_ns != b->at_ns)
		return a->at_ns < b->at_ns ? -1 : 1;
	return a->order < b->order ? -1 : 1;
}

static void sift_up(struct cq_sim *sim, guint i)
{
	gpointer *heap = sim->heap->pdata;

	while (i > 0 && compare_events(heap[i], heap[(i - 1) / 2]) < 0) {
		gpointer other = heap[(i - 1) / 2];

		heap[(i - 1) / 2] = heap[i];
		heap[i] = other;
		i = (i - 1) / 2;
	}
}

static void sift_down(struct cq_sim *sim, guint i)
{
	gpointer *heap = sim->heap->pdata;
	guint n = sim->heap->len;

	for (;;) {
		guint least = i, k;
		gpointer other;

		for (k = 2 * i + 1; k <= 2 * i + 2 && k < n; k++)
			if (compare_events(heap[k], heap[least]) < 0)
				least = k;
		if (least == i)
			return;
		other = heap[least];
		heap[least] = heap[i];
		heap[i] = other;
		i = least;
	}
}

static struct cq_sim_event *pop(struct cq_sim *sim)
{
	struct cq_sim_event *event;

	if (!sim->heap->len)
		return NULL;
	event = g_ptr_array_index(sim->heap, 0);
	g_ptr_array_remove_index_fast(sim->heap, 0);
	sift_down(sim, 0);
	return event;
}

struct cq_sim_event *cq_sim_at(struct cq_sim *sim, int64_t at_ns, cq_sim_fn *fn,
			       void *ctx, cq_sim_fn *free_fn)
{
	struct cq_sim_event *event = g_new0(struct cq_sim_event, 1);

	event->at_ns = MAX(at_ns, sim->now_ns);
	event->order = sim->order++;
	event->fn = fn;
	event->free_fn = free_fn;
	event->ctx = ctx;
	g_ptr_array_add(sim->heap, event);
	sift_up(sim, sim->heap->len - 1);
	return event;
}

void cq_sim_cancel(struct cq_sim *sim, struct cq_sim_event *event)
{
	(void)sim;
	assert(!event->cancelled);
	event->cancelled = true;
	if (event->free_fn)
		event->free_fn(event->ctx);
}

void cq_sim_run_until(struct cq_sim *sim, int64_t until_ns)
{
	while (sim->heap->len) {
		struct cq_sim_event *event = g_ptr_array_index(sim->heap, 0);

		if (event->at_ns > until_ns)
			break;
		pop(sim);
		sim->now_ns = event->at_ns;
		if (!event->cancelled)
			event->fn(event->ctx);
		g_free(event);
	}
	sim->now_ns = MAX(sim->now_ns, until_ns);
}

int32_t cq_sim_host_add(struct cq_sim *sim)
{
	struct host *host = &sim->hosts[sim->host_count];

	assert(sim->host_count < CQ_SIM_MAX_HOSTS);
	host->sim = sim;
	host->clock.ops = &host_clock_ops;
	host->clock.ctx = host;
	g_queue_init(&host->posted);
	g_snprintf(host->address, sizeof(host->address), "10.0.0.%d:7000",
		   sim->host_count);
	g_hash_table_insert(sim->by_address, host->address,
			    GINT_TO_POINTER(sim->host_count + 1));
	return sim->host_count++;
}

const char *cq_sim_host_address(const struct cq_sim *sim, int32_t host)
{
	return sim->hosts[host].address;
}

static void drop_posted(struct cq_sim *sim, int32_t i)
{
	struct posted *posted;

	while ((posted = g_queue_pop_head(&sim->hosts[i].posted))) {
		if (posted->free_fn)
			posted->free_fn(posted->ctx);
		g_free(posted);
	}
}

void cq_sim_host_start(struct cq_sim *sim, int32_t i, const char *id,
		       uint64_t incarnation, cq_sim_receive_fn *receive,
		       void *ctx)
{
	struct host *host = &sim->hosts[i];

	drop_posted(sim, i);
	host->alive = true;
	host->paused = false;
	host->life++;
	g_strlcpy(host->id, id, sizeof(host->id));
	host->incarnation = incarnation;
	host->receive = receive;
	host->ctx = ctx;
}

void cq_sim_host_kill(struct cq_sim *sim, int32_t i)
{
	drop_posted(sim, i);
	sim->hosts[i].alive = false;
	sim->hosts[i].paused = false;
	sim->hosts[i].life++;
}

void cq_sim_host_pause(struct cq_sim *sim, int32_t i)
{
	sim->hosts[i].paused = true;
}

void cq_sim_host_resume(struct cq_sim *sim, int32_t i)
{
	struct host *host = &sim->hosts[i];
	uint32_t life = host->life;
	struct posted *posted;

	host->paused = false;
	while (!host->paused && host->life == life &&
	       (posted = g_queue_pop_head(&host->posted))) {
		posted->fn(posted->ctx);
		g_free(posted);
	}
}

bool cq_sim_host_is_alive(const struct cq_sim *sim, int32_t host)
{
	return sim->hosts[host].alive;
}

bool cq_sim_host_is_paused(const struct cq_sim *sim, int32_t host)
{
	return sim->hosts[host].paused;
}

uint32_t cq_sim_host_life(const struct cq_sim *sim, int32_t host)
{
	return sim->hosts[host].life;
}

void cq_sim_host_post(struct cq_sim *sim, int32_t i, uint32_t life,
		      cq_sim_fn *fn, void *ctx, cq_sim_fn *free_fn)
{
	struct host *host = &sim->hosts[i];
	struct posted *posted;

	if (!host->alive || host->life != life) {
		if (free_fn)
			free_fn(ctx);
		return;
	}
	if (!host->paused) {
		fn(ctx);
		return;
	}
	posted = g_new(struct posted, 1);
	posted->fn = fn;
	posted->free_fn = free_fn;
	posted->ctx = ctx;
	g_queue_push_tail(&host->posted, posted);
}

const struct cq_clock *cq_sim_host_clock(struct cq_sim *sim, int32_t host)
{
	return &sim->hosts[host].clock;
}

void cq_sim_host_set_clock(struct cq_sim *sim, int32_t host, int32_t drift_ppm,
			   int64_t skew_ms)
{
	sim->hosts[host].drift_ppm = drift_ppm;
	sim->hosts[host].skew_ms = skew_ms;
}

void cq_sim_net_faults(struct cq_sim *sim,
		       const struct cq_sim_net_faults *faults)
{
	sim->faults = *faults;
}

void cq_sim_net_block(struct cq_sim *sim, int32_t from, int32_t to, bool block)
{
	sim->blocked[from][to] = block;
}

bool cq_sim_net_is_blocked(const struct cq_sim *sim, int32_t from, int32_t to)
{
	return sim->blocked[from][to];
}

void cq_sim_net_heal(struct cq_sim *sim)
{
	memset(sim->blocked, 0, sizeof(sim->blocked));
}

static void free_message(void *ctx)
{
	g_free(ctx);
}

static void hand_to_process(void *ctx)
{
	struct message *message = ctx;
	struct cq_sim *sim = message->sim;
	struct host *to = &sim->hosts[message->to];
	struct cq_peer_message in = {
		.from_address = sim->hosts[message->from].address,
		.from_id = message->from_id,
		.from_incarnation = message->from_incarnation,
		.kind = message->kind,
		.correlation = message->correlation,
		.payload = message->payload,
		.payload_len = message->len,
	};

	to->received.messages++;
	to->received.bytes += message->len;
	to->receive(to->ctx, &in);
	g_free(message);
}

static void deliver(void *ctx)
{
	struct message *message = ctx;
	struct cq_sim *sim = message->sim;

	/* A cut drops what is under way. */
	if (sim->blocked[message->from][message->to]) {
		g_free(message);
		return;
	}
	cq_sim_host_post(sim, message->to, sim->hosts[message->to].life,
			 hand_to_process, message, free_message);
}

void cq_sim_send(struct cq_sim *sim, int32_t from, const char *address,
		 enum cq_peer_kind kind, uint64_t correlation,
		 const uint8_t *payload, size_t len)
{
	uint64_t spread = (uint64_t)(sim->faults.max_delay_ns -
				     sim->faults.min_delay_ns + 1);
	uint32_t copies = 1;
	int32_t to;

	sim->hosts[from].sent.messages++;
	/* Envelope and frame add about 60 bytes. */
	sim->hosts[from].sent.bytes += len + 60;
	to = GPOINTER_TO_INT(g_hash_table_lookup(sim->by_address, address)) - 1;
	if (to < 0)
		return;
	if (cq_sim_random(sim, 1000) < sim->faults.loss_permille)
		return;
	if (cq_sim_random(sim, 1000) < sim->faults.duplicate_permille)
		copies = 2;
	while (copies--) {
		struct message *message = g_malloc(sizeof(*message) + len);

		message->sim = sim;
		message->from = from;
		message->to = to;
		g_strlcpy(message->from_id, sim->hosts[from].id,
			  sizeof(message->from_id));
		message->from_incarnation = sim->hosts[from].incarnation;
		message->kind = kind;
		message->correlation = correlation;
		message->len = len;
		if (len)
			memcpy(message->payload, payload, len);
		cq_sim_at(sim,
			  sim->now_ns + sim->faults.min_delay_ns +
				  (int64_t)cq_sim_random(sim, spread),
			  deliver, message, free_message);
	}
}

struct cq_sim_net_stats cq_sim_net_sent(const struct cq_sim *sim, int32_t host)
{
	return sim->hosts[host].sent;
}

struct cq_sim_net_stats cq_sim_net_received(const struct cq_sim *sim,
					    int32_t host)
{
	return sim->hosts[host].received;
}
