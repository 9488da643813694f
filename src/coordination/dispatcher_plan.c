/* Which stages start now, in which order, and what gives way to them. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/placement.h"
#include "coordination/dispatcher_internal.h"

/* Objective of jobs without an estimate. */
#define DEFAULT_ESTIMATE_MS 5000
/* Share of the accelerators that is left free for urgent work. */
#define HEADROOM_PERMILLE 250
/* Later than this many chains before its objective, work starts anyway. */
#define HEADROOM_SLACK 1.5
/* A gang that is not urgent waits this long before it stops others. */
#define GANG_PATIENCE_NS (INT64_C(500) * CQ_NS_PER_MS)
/* It stops only runs that lose less. */
#define GANG_LOSS_CORE_S 15.0

/* A stage that could start, with what its order depends on. */
struct ready_stage {
	struct cq_stage *stage;
	const struct cq_queue *queue;
	int64_t objective_ns;
};

static bool worker_usable(const struct cq_dispatcher *d,
			  const struct cq_pool_worker *worker, int64_t now_ns);
static void collect_ready(struct cq_dispatcher *d, GArray *ready);
static bool is_due(const struct cq_dispatcher *d, const struct cq_stage *stage);
static int64_t chain_ms(const struct cq_workload *w);
static int64_t objective_of(const struct cq_batch *batch,
			    const struct cq_queue *queue);
static bool leaves_headroom(const struct cq_dispatcher *d,
			    const struct ready_stage *r, int64_t now_ns);
static gint by_rank(gconstpointer a, gconstpointer b);
static void assign(struct cq_dispatcher *d, const struct ready_stage *ready,
		   GArray *assignments);
static void make_room(struct cq_dispatcher *d, const struct cq_placement *p,
		      const struct ready_stage *ready);
static bool may_preempt(const struct ready_stage *r, int64_t now_ns);
static void start_stage(struct cq_dispatcher *d, const struct ready_stage *r,
			GArray *assignments, int64_t now_ns);
static uint32_t priority_of(void *ctx, const struct cq_batch *batch);

static bool worker_usable(const struct cq_dispatcher *d,
			  const struct cq_pool_worker *worker, int64_t now_ns)
{
	const struct link *link = worker->link;

	return worker->listed && worker->listing.state == CQ_LISTING_READY &&
	       link && link->fenced && !link->hold_failed &&
	       worker->avoid_until_ns <= now_ns &&
	       !(d->evacuated &&
		 g_hash_table_contains(d->evacuated,
				       worker->listing.data_centre));
}

/* Occurrences are due at a time of day. */
static bool is_due(const struct cq_dispatcher *d, const struct cq_stage *stage)
{
	const struct cq_workload *w = stage->batch->workload;
	int64_t due_ms =
		w->first_run_ms + (int64_t)stage->occurrence * w->interval_ms;

	return !w->first_run_ms || cq_clock_unix_ms(d->clock) >= due_ms;
}

/* Longest chain of estimates over the steps. */
static int64_t chain_ms(const struct cq_workload *w)
{
	int64_t ends[CQ_WORKLOAD_MAX_STEPS];
	int64_t longest = 0;
	uint32_t i, k;

	for (i = 0; i < w->step_count; i++) {
		int64_t from = 0;
		int64_t own = w->steps[i].estimate_ms;

		for (k = 0; k < i; k++)
			if (w->steps[i].after >> k & 1)
				from = MAX(from, ends[k]);
		ends[i] = from + (own ? own : DEFAULT_ESTIMATE_MS);
		longest = MAX(longest, ends[i]);
	}
	return longest;
}

static int64_t objective_of(const struct cq_batch *batch,
			    const struct cq_queue *queue)
{
	double allowed_ms = queue->stretch * (double)chain_ms(batch->workload) +
			    queue->target_runtime_ms;

	return batch->accepted_ns + (int64_t)allowed_ms * CQ_NS_PER_MS;
}

static void collect_ready(struct cq_dispatcher *d, GArray *ready)
{
	int64_t now_ns = dispatcher_now_ns(d);
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, d->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_batch *batch = value;
		const struct cq_queue *queue = dispatcher_queue(d, batch);

		if (cq_batch_state_is_terminal(batch->state) || !queue ||
		    queue->advised ||
		    dispatcher_check_attempts(d, batch, queue))
			continue;
		for (i = 0; i < batch->stage_count; i++) {
			struct ready_stage r = { &batch->stages[i], queue, 0 };

			if (!cq_stage_waiting(r.stage) ||
			    !cq_stage_unblocked(r.stage) || !is_due(d, r.stage))
				continue;
			if (!r.stage->ready_ns)
				r.stage->ready_ns = now_ns;
			r.objective_ns = objective_of(batch, queue);
			g_array_append_val(ready, r);
		}
	}
}

static gint by_rank(gconstpointer a, gconstpointer b)
{
	const struct ready_stage *left = a;
	const struct ready_stage *right = b;

	if (left->queue->priority != right->queue->priority)
		return left->queue->priority < right->queue->priority ? -1 : 1;
	if (left->objective_ns != right->objective_ns)
		return left->objective_ns < right->objective_ns ? -1 : 1;
	return strcmp(left->stage->batch->workload->id,
		      right->stage->batch->workload->id);
}

static void assign(struct cq_dispatcher *d, const struct ready_stage *ready,
		   GArray *assignments)
{
	struct cq_stage *stage = ready->stage;
	int64_t now_ns = dispatcher_now_ns(d);
	uint32_t gang_run = cq_stage_next_run(stage, d->run_floor);
	guint i;

	if (!stage->started)
		cq_histogram_observe_ns(d->wait_time, now_ns - stage->ready_ns);
	for (i = 0; i < assignments->len; i++) {
		const struct cq_assignment *a =
			&g_array_index(assignments, struct cq_assignment, i);
		uint32_t run = stage->step->gang
				       ? gang_run
				       : MAX(a->task->run, d->run_floor) + 1;

		cq_task_assign(a->task, a->worker, run);
	}
	cq_log_event(CQ_LOG_INFO, "stage_placed", "{s:s,s:i,s:i,s:i,s:I,s:I}",
		     "id", stage->batch->workload->id, "occurrence",
		     (int)stage->occurrence, "step", (int)stage->step_index,
		     "tasks", (int)assignments->len, "waited_ms",
		     (json_int_t)((now_ns - stage->ready_ns) / CQ_NS_PER_MS),
		     "config_version", (json_int_t)d->config->version);
	dispatcher_mark_dirty(d, stage->batch);
}

static uint32_t priority_of(void *ctx, const struct cq_batch *batch)
{
	const struct cq_queue *queue = dispatcher_queue(ctx, batch);

	return queue ? queue->priority : 0;
}

static void make_room(struct cq_dispatcher *d, const struct cq_placement *p,
		      const struct ready_stage *ready)
{
	const struct cq_placement_victims victims = {
		.priority = priority_of,
		.ctx = d,
		.own_priority = ready->queue->priority,
		.max_loss_core_s = ready->queue->priority ? GANG_LOSS_CORE_S
							  : G_MAXDOUBLE,
	};
	GPtrArray *out = g_ptr_array_new();
	guint i;

	if (cq_placement_make_room(p, &victims, out) && out->len)
		cq_log_event(CQ_LOG_INFO, "room_made", "{s:s,s:i,s:i,s:i,s:I}",
			     "id", ready->stage->batch->workload->id, "step",
			     (int)ready->stage->step_index, "priority",
			     (int)ready->queue->priority, "stops",
			     (int)out->len, "waited_ms",
			     (json_int_t)((p->now_ns - ready->stage->ready_ns) /
					  CQ_NS_PER_MS));
	for (i = 0; i < out->len; i++) {
		cq_counter_add(d->preemptions, 1);
		order_stop(d, g_ptr_array_index(out, i),
			   "more urgent work needs the room");
	}
	g_ptr_array_unref(out);
}

/* Urgent work at once; gangs of the middle once they have waited. */
static bool may_preempt(const struct ready_stage *r, int64_t now_ns)
{
	if (!cq_stage_waiting(r->stage))
		return false;
	return r->queue->priority == 0 ||
	       (r->stage->step->gang &&
		now_ns - r->stage->ready_ns > GANG_PATIENCE_NS);
}

/*
 * Work that is not urgent leaves room for urgent work, which would otherwise
 * wait for stops, as long as it can still meet its objective later.
 */
static bool leaves_headroom(const struct cq_dispatcher *d,
			    const struct ready_stage *r, int64_t now_ns)
{
	int64_t total = 0;
	int64_t left = 0;
	GHashTableIter iter;
	gpointer value;

	if (r->queue->priority == 0 ||
	    now_ns > r->objective_ns -
			     HEADROOM_SLACK *
				     chain_ms(r->stage->batch->workload) *
				     CQ_NS_PER_MS)
		return true;
	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_pool_worker *worker = value;

		if (!worker->usable)
			continue;
		total += worker->listing.accelerators;
		left += worker->free_accelerators;
	}
	return (left -
		(int64_t)r->stage->step->tasks * r->stage->step->accelerators) *
		       1000 >=
	       total * HEADROOM_PERMILLE;
}

static void start_stage(struct cq_dispatcher *d, const struct ready_stage *r,
			GArray *assignments, int64_t now_ns)
{
	const struct cq_placement p = {
		.pool = d->pool,
		.stage = r->stage,
		.service = r->queue->service,
		.now_ns = now_ns,
		.pack_racks = r->queue->priority > 0,
	};

	g_array_set_size(assignments, 0);
	if (!leaves_headroom(d, r, now_ns))
		return;
	if (cq_placement_find(&p, assignments))
		assign(d, r, assignments);
	if (may_preempt(r, now_ns))
		make_room(d, &p, r);
}

void dispatcher_plan(struct cq_dispatcher *d)
{
	GArray *ready = g_array_new(FALSE, TRUE, sizeof(struct ready_stage));
	GArray *assignments =
		g_array_new(FALSE, TRUE, sizeof(struct cq_assignment));
	int64_t now_ns = dispatcher_now_ns(d);
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (!dispatcher_loaded(d) || !d->ops->may_order(d->ctx))
		goto done;
	g_hash_table_iter_init(&iter, d->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;

		worker->usable = worker_usable(d, worker, now_ns);
		worker->reserved_for = NULL;
	}
	cq_placement_prepare(d->pool);
	collect_ready(d, ready);
	g_array_sort(ready, by_rank);
	for (i = 0; i < ready->len; i++)
		start_stage(d, &g_array_index(ready, struct ready_stage, i),
			    assignments, now_ns);
done:
	g_array_unref(ready);
	g_array_unref(assignments);
}
