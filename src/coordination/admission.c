#include "chestnutquay/admission.h"

#include <assert.h>
#include <string.h>

#include "chestnutquay/clock.h"

/* Weight of a new sample in the moving averages of the call duration. */
#define SERVICE_SAMPLE_WEIGHT 0.05
/* Arrivals are counted in windows of this length. */
#define ARRIVAL_WINDOW_NS (CQ_NS_PER_S / 2)
/* Call duration that is assumed before the first sample. */
#define DEFAULT_SERVICE_NS (20 * CQ_NS_PER_MS)
#define NS_PER_S 1e9

/* Flow of the fair queueing: waiting items of one workspace in one class. */
struct cq_admission_flow {
	char *workspace;
	GQueue items;
	double finish; /* virtual time after its last dispatch */
	uint32_t weight;
	uint32_t rank;
};

/* Arrival rate of a class. */
struct arrivals {
	int64_t window_start_ns;
	uint32_t count;	   /* arrivals in the current window */
	double rate_per_s; /* per second, moving average of the full windows */
};

/* Queue and statistics of one class. */
struct rank {
	GHashTable *flows; /* workspace -> struct cq_admission_flow */
	double virtual_time;
	uint32_t count;	      /* waiting items */
	uint32_t passed_over; /* dispatches of other ranks since its last one */
	struct arrivals arrivals;
	double mean_service_ns; /* mean call duration; 0: no sample yet */
};

struct cq_admission {
	struct cq_admission_options options;
	struct rank ranks[CQ_ADMISSION_MAX_RANKS];
	uint32_t count;
	uint64_t bytes;
	double mean_service_ns; /* mean call duration of all ranks */
};

static void flow_free(void *data);
static struct cq_admission_flow *
find_or_add_flow(struct rank *rank, const struct cq_admission_item *item);
static struct cq_admission_flow *next_flow(const struct rank *rank);
static void unlink_item(struct cq_admission *admission,
			struct cq_admission_item *item);
static struct cq_admission_item *find_eviction_victim(struct cq_admission *a,
						      uint32_t rank);
static uint32_t choose_rank(struct cq_admission *admission);
static void free_idle_flows(struct rank *rank);
static double arrival_rate(const struct arrivals *arrivals, int64_t now_ns);

static void flow_free(void *data)
{
	struct cq_admission_flow *flow = data;

	g_free(flow->workspace);
	g_free(flow);
}

struct cq_admission *
cq_admission_create(const struct cq_admission_options *options)
{
	struct cq_admission *admission = g_new0(struct cq_admission, 1);
	int i;

	admission->options = *options;
	admission->mean_service_ns = DEFAULT_SERVICE_NS;
	for (i = 0; i < CQ_ADMISSION_MAX_RANKS; i++)
		admission->ranks[i].flows = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, flow_free);
	return admission;
}

void cq_admission_destroy(struct cq_admission *admission)
{
	int i;

	if (!admission)
		return;
	for (i = 0; i < CQ_ADMISSION_MAX_RANKS; i++)
		g_hash_table_destroy(admission->ranks[i].flows);
	g_free(admission);
}

static struct cq_admission_flow *
find_or_add_flow(struct rank *rank, const struct cq_admission_item *item)
{
	struct cq_admission_flow *flow =
		g_hash_table_lookup(rank->flows, item->workspace);

	if (!flow) {
		flow = g_new0(struct cq_admission_flow, 1);
		flow->workspace = g_strdup(item->workspace);
		flow->rank = item->rank;
		g_queue_init(&flow->items);
		g_hash_table_insert(rank->flows, flow->workspace, flow);
	}
	/* A workspace earns no credit for time in which it was idle. */
	if (!flow->items.length)
		flow->finish = MAX(flow->finish, rank->virtual_time);
	flow->weight = MAX(item->weight, 1);
	return flow;
}

/* Frees idle flows whose past use no longer affects the fair order. */
static void free_idle_flows(struct rank *rank)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rank->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_admission_flow *flow = value;

		if (!flow->items.length && flow->finish <= rank->virtual_time)
			g_hash_table_iter_remove(&iter);
	}
}

static struct cq_admission_flow *next_flow(const struct rank *rank)
{
	struct cq_admission_flow *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rank->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_admission_flow *flow = value;

		if (!flow->items.length)
			continue;
		if (!best || flow->finish < best->finish ||
		    (flow->finish == best->finish &&
		     strcmp(flow->workspace, best->workspace) < 0))
			best = flow;
	}
	return best;
}

static void unlink_item(struct cq_admission *admission,
			struct cq_admission_item *item)
{
	assert(item->queued);
	g_queue_unlink(&item->flow->items, &item->link);
	admission->ranks[item->rank].count--;
	admission->count--;
	admission->bytes -= item->bytes;
	item->queued = false;
}

static struct cq_admission_item *find_eviction_victim(struct cq_admission *a,
						      uint32_t rank)
{
	uint32_t r;

	for (r = CQ_ADMISSION_MAX_RANKS - 1; r > rank; r--) {
		struct cq_admission_flow *longest = NULL;
		GHashTableIter iter;
		gpointer value;

		if (!a->ranks[r].count)
			continue;
		g_hash_table_iter_init(&iter, a->ranks[r].flows);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct cq_admission_flow *flow = value;

			if (!longest ||
			    flow->items.length > longest->items.length)
				longest = flow;
		}
		/* The rank has items, so its longest flow is not empty. */
		assert(longest && longest->items.tail);
		return longest->items.tail->data;
	}
	return NULL;
}

bool cq_admission_push(struct cq_admission *admission,
		       struct cq_admission_item *item,
		       struct cq_admission_item **evicted)
{
	struct rank *rank;

	assert(item->rank < CQ_ADMISSION_MAX_RANKS && !item->queued);
	*evicted = NULL;
	if (admission->count >= admission->options.max_items ||
	    admission->bytes + item->bytes > admission->options.max_bytes) {
		struct cq_admission_item *victim =
			find_eviction_victim(admission, item->rank);

		if (!victim || admission->bytes - victim->bytes + item->bytes >
				       admission->options.max_bytes)
			return false;
		unlink_item(admission, victim);
		*evicted = victim;
	}
	rank = &admission->ranks[item->rank];
	item->flow = find_or_add_flow(rank, item);
	item->link.data = item;
	item->link.next = NULL;
	item->link.prev = NULL;
	g_queue_push_tail_link(&item->flow->items, &item->link);
	item->queued = true;
	rank->count++;
	admission->count++;
	admission->bytes += item->bytes;
	return true;
}

/*
 * The later rank that was passed over most often if it reached the limit,
 * otherwise the first rank with waiting items.
 */
static uint32_t choose_rank(struct cq_admission *admission)
{
	uint32_t first = CQ_ADMISSION_MAX_RANKS;
	uint32_t chosen;
	uint32_t r;

	for (r = 0; r < CQ_ADMISSION_MAX_RANKS; r++) {
		if (!admission->ranks[r].count)
			admission->ranks[r].passed_over = 0;
		else if (first == CQ_ADMISSION_MAX_RANKS)
			first = r;
	}
	chosen = first;
	for (r = first + 1; r < CQ_ADMISSION_MAX_RANKS; r++)
		if (admission->ranks[r].passed_over >=
			    CQ_ADMISSION_MAX_DISPATCH_INTERVAL - 1 &&
		    (chosen == first ||
		     admission->ranks[r].passed_over >
			     admission->ranks[chosen].passed_over))
			chosen = r;
	return chosen;
}

struct cq_admission_item *
cq_admission_pop(struct cq_admission *admission,
		 bool (*may_take)(const struct cq_admission_item *item))
{
	struct cq_admission_flow *flow;
	struct cq_admission_item *item;
	struct rank *rank;
	uint32_t chosen;
	uint32_t r;

	if (!admission->count)
		return NULL;
	chosen = choose_rank(admission);
	rank = &admission->ranks[chosen];
	flow = next_flow(rank);
	item = flow->items.head->data;
	if (may_take && !may_take(item))
		return NULL;
	for (r = 0; r < CQ_ADMISSION_MAX_RANKS; r++)
		if (r != chosen && admission->ranks[r].count)
			admission->ranks[r].passed_over++;
	rank->passed_over = 0;
	unlink_item(admission, item);
	rank->virtual_time = MAX(rank->virtual_time, flow->finish);
	flow->finish += 1.0 / flow->weight;
	if (g_hash_table_size(rank->flows) > 2 * rank->count + 64)
		free_idle_flows(rank);
	return item;
}

void cq_admission_remove(struct cq_admission *admission,
			 struct cq_admission_item *item)
{
	unlink_item(admission, item);
}

uint32_t cq_admission_count(const struct cq_admission *admission)
{
	return admission->count;
}

uint32_t cq_admission_count_rank(const struct cq_admission *admission,
				 uint32_t rank)
{
	return admission->ranks[rank].count;
}

uint64_t cq_admission_bytes(const struct cq_admission *admission)
{
	return admission->bytes;
}

void cq_admission_note_arrival(struct cq_admission *admission, uint32_t rank,
			       int64_t now_ns)
{
	struct arrivals *arrivals = &admission->ranks[rank].arrivals;
	int64_t elapsed = now_ns - arrivals->window_start_ns;

	if (elapsed >= ARRIVAL_WINDOW_NS) {
		double sample = arrivals->count * NS_PER_S / (double)elapsed;

		arrivals->rate_per_s = (arrivals->rate_per_s + sample) / 2;
		arrivals->count = 0;
		arrivals->window_start_ns = now_ns;
	}
	arrivals->count++;
}

/*
 * Arrivals per second. The stored rate is updated by arrivals only, so it is
 * limited by the elapsed time once a class has had none for two windows.
 */
static double arrival_rate(const struct arrivals *arrivals, int64_t now_ns)
{
	int64_t elapsed = now_ns - arrivals->window_start_ns;

	if (elapsed < 2 * ARRIVAL_WINDOW_NS)
		return arrivals->rate_per_s;
	return MIN(arrivals->rate_per_s,
		   arrivals->count * NS_PER_S / (double)elapsed);
}

void cq_admission_note_service(struct cq_admission *admission, uint32_t rank,
			       int64_t service_ns)
{
	struct rank *r = &admission->ranks[rank];

	if (!r->mean_service_ns)
		r->mean_service_ns = (double)service_ns;
	r->mean_service_ns += SERVICE_SAMPLE_WEIGHT *
			      ((double)service_ns - r->mean_service_ns);
	admission->mean_service_ns +=
		SERVICE_SAMPLE_WEIGHT *
		((double)service_ns - admission->mean_service_ns);
}

int64_t cq_admission_service_ns(const struct cq_admission *admission,
				uint32_t rank)
{
	const struct rank *r = &admission->ranks[rank];

	return (int64_t)(r->mean_service_ns ? r->mean_service_ns
					    : admission->mean_service_ns);
}

int64_t cq_admission_mean_service_ns(const struct cq_admission *admission)
{
	return (int64_t)admission->mean_service_ns;
}

int64_t cq_admission_expected_wait_ns(const struct cq_admission *admission,
				      uint32_t rank, const char *workspace,
				      uint32_t weight, uint32_t usable_slots,
				      uint32_t free_slots, int64_t now_ns)
{
	const struct rank *own = &admission->ranks[rank];
	const struct cq_admission_flow *flow =
		g_hash_table_lookup(own->flows, workspace);
	double slots_per_s =
		usable_slots * NS_PER_S / admission->mean_service_ns;
	double rate_per_s = slots_per_s;
	double min_rate_per_s =
		slots_per_s / CQ_ADMISSION_MAX_DISPATCH_INTERVAL;
	double ahead = 0;
	double fair_ahead;
	double total_weight = MAX(weight, 1);
	uint32_t own_queued = flow ? flow->items.length : 0;
	GHashTableIter iter;
	gpointer value;
	uint32_t r;

	for (r = 0; r < rank; r++) {
		ahead += admission->ranks[r].count;
		rate_per_s -=
			arrival_rate(&admission->ranks[r].arrivals, now_ns);
	}
	if (!usable_slots)
		return INT64_MAX;
	if (ahead + own->count == 0 && free_slots)
		return 0;
	g_hash_table_iter_init(&iter, own->flows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_admission_flow *other = value;

		if (other != flow && other->items.length)
			total_weight += other->weight;
	}
	/* Requests of the same class that fair queueing dispatches first. */
	fair_ahead = (own_queued + 1) * total_weight / MAX(weight, 1);
	ahead += MIN(fair_ahead, own->count + 1.0);
	rate_per_s = MAX(rate_per_s, min_rate_per_s);
	return (int64_t)(ahead / rate_per_s * NS_PER_S);
}
