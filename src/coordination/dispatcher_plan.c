/* Which stages start now, in which order, and what gives way to them. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/placement.h"
#include "chestnutquay/stage_order.h"
#include "coordination/dispatcher_internal.h"

/* A gang that is not urgent waits this long before it stops others. */
#define GANG_PATIENCE_NS (INT64_C(500) * CQ_NS_PER_MS)
/* It stops only runs that lose less. */
#define GANG_LOSS_CORE_S 15.0

static bool worker_usable(const struct cq_dispatcher *d,
			  const struct cq_pool_worker *worker, int64_t now_ns);
static void collect_ready(struct cq_dispatcher *d, GArray *ready);
static bool is_due(const struct cq_dispatcher *d, const struct cq_stage *stage);
static gint by_rank(gconstpointer a, gconstpointer b, gpointer now_ns);
static void assign(struct cq_dispatcher *d, const struct cq_ready_stage *ready,
		   GArray *assignments);
static void make_room(struct cq_dispatcher *d, const struct cq_placement *p,
		      const struct cq_ready_stage *ready);
static bool may_preempt(const struct cq_ready_stage *r, int64_t now_ns);
static void start_stage(struct cq_dispatcher *d, const struct cq_ready_stage *r,
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
			struct cq_stage *stage = &batch->stages[i];
			struct cq_ready_stage r;

			if (!cq_stage_waiting(stage) ||
			    !cq_stage_unblocked(stage) || !is_due(d, stage))
				continue;
			if (!stage->ready_ns)
				stage->ready_ns = now_ns;
			cq_ready_stage_init(&r, stage, queue, now_ns,
					    cq_clock_unix_ms(d->clock));
			g_array_append_val(ready, r);
		}
	}
}

static gint by_rank(gconstpointer a, gconstpointer b, gpointer now_ns)
{
	return cq_ready_stage_compare(a, b, *(const int64_t *)now_ns);
}

static void assign(struct cq_dispatcher *d, const struct cq_ready_stage *ready,
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
		      const struct cq_ready_stage *ready)
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
static bool may_preempt(const struct cq_ready_stage *r, int64_t now_ns)
{
	if (!cq_stage_waiting(r->stage))
		return false;
	return r->queue->priority == 0 ||
	       (r->stage->step->gang &&
		now_ns - r->stage->ready_ns > GANG_PATIENCE_NS);
}

static void start_stage(struct cq_dispatcher *d, const struct cq_ready_stage *r,
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
	if (!cq_ready_stage_leaves_headroom(r, d->pool, now_ns))
		return;
	if (cq_placement_find(&p, assignments))
		assign(d, r, assignments);
	if (may_preempt(r, now_ns))
		make_room(d, &p, r);
}

void dispatcher_plan(struct cq_dispatcher *d)
{
	GArray *ready = g_array_new(FALSE, TRUE, sizeof(struct cq_ready_stage));
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
	g_array_sort_with_data(ready, by_rank, &now_ns);
	for (i = 0; i < ready->len; i++)
		start_stage(d, &g_array_index(ready, struct cq_ready_stage, i),
			    assignments, now_ns);
done:
	g_array_unref(ready);
	g_array_unref(assignments);
}
