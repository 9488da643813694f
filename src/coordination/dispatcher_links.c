/* Contact with workers: fences, leases, and what they report. */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/pace.h"
#include "coordination/dispatcher_internal.h"

/* A hold waits this long for an end. */
#define HOLD_WAIT_MS 1500
/* With servers and tasks that fill beside each other. */
#define HOLD_WAIT_SHARED_MS 400
#define HOLD_TIMEOUT_MS 1000
/* Between holds of a worker that does not answer. */
#define HOLD_RETRY_NS (INT64_C(500) * CQ_NS_PER_MS)
/* Holds that follow each other sooner reach the same life of a worker. */
#define HOLD_GAP_NS (INT64_C(100) * CQ_NS_PER_MS)
/*
 * First holds under way at one time, to workers that run nothing and to those
 * that run something. A new leader contacts thousands of workers, and must
 * still renew its own lease in time.
 */
#define MAX_FIRST_HOLDS_IDLE 48
#define MAX_FIRST_HOLDS 192
/* One without an answer for so long does not keep others waiting. */
#define FIRST_HOLD_COUNTS_NS (INT64_C(250) * CQ_NS_PER_MS)
/* Leases granted are shorter than the longest by this much. */
#define LEASE_MARGIN_MS 500
/* A worker's steady clock may be slow by 2 %. */
#define SLOW_CLOCK_FACTOR 1.0205

static void send_hold(struct link *link, int64_t now_ns);
static void on_hold(void *ctx, const struct cq_executor_report *report);
static void take_ends(struct link *link,
		      const struct cq_executor_report *report);
static void take_end(struct link *link, const struct cq_executor_ended *ended);
static void take_running(struct link *link,
			 const struct cq_executor_report *report);
static void find_missing(struct link *link,
			 const struct cq_executor_report *report);
static struct cq_task *find_run(struct link *link, const char *task,
				uint32_t run);
static void lose_runs(struct link *link, const char *reason);
static bool needs_hold(const struct link *link);
static bool must_wait_for_others(const struct link *link);
static void uncount(struct link *link);
static void control_pace(struct link *link);

struct hold_call {
	struct cq_dispatcher *d;
	char worker[CQ_EXECUTOR_NAME_BYTES];
};

struct link *link_create(struct cq_dispatcher *d, struct cq_pool_worker *worker)
{
	struct link *link = g_new0(struct link, 1);

	link->d = d;
	link->worker = worker;
	link->unacknowledged =
		g_array_new(FALSE, TRUE, sizeof(struct unacknowledged));
	/* A former leader may have granted the longest lease just now. */
	link->lapse_ns =
		dispatcher_now_ns(d) +
		(int64_t)(d->max_lease_ms * SLOW_CLOCK_FACTOR) * CQ_NS_PER_MS;
	return link;
}

void link_destroy(struct link *link)
{
	if (!link)
		return;
	uncount(link);
	g_array_unref(link->unacknowledged);
	g_free(link);
}

struct cq_executor_target link_target(const struct link *link)
{
	return (struct cq_executor_target){
		.address = link->worker->listing.address,
		.id = link->worker->listing.id,
		.fence = link->d->epoch,
	};
}

static void update_lapse(struct link *link)
{
	int64_t left_ms = link->lease_end_ms - link->clock_ms;

	link->lapse_ns = link->clock_ns + (int64_t)((double)MAX(0, left_ms) *
						    SLOW_CLOCK_FACTOR) *
						  CQ_NS_PER_MS;
}

void link_note_answer(struct link *link, int64_t clock_ms)
{
	link->last_answer_ns = dispatcher_now_ns(link->d);
	if (clock_ms < 0)
		return;
	link->clock_ms = clock_ms;
	link->clock_ns = link->last_answer_ns;
	if (link->lease_end_ms)
		update_lapse(link);
}

int64_t link_grant(struct link *link)
{
	int64_t elapsed_ms =
		(dispatcher_now_ns(link->d) - link->clock_ns) / CQ_NS_PER_MS;
	int64_t end_ms = link->clock_ms + elapsed_ms + link->d->max_lease_ms -
			 LEASE_MARGIN_MS;

	link->lease_end_ms = MAX(link->lease_end_ms, end_ms);
	update_lapse(link);
	return end_ms;
}

static void lose_runs(struct link *link, const char *reason)
{
	GPtrArray *runs = link->worker->runs;
	guint i;

	if (!runs->len)
		return;
	cq_log_event(CQ_LOG_WARN, "runs_lost", "{s:s,s:i,s:s}", "worker",
		     link->worker->listing.id, "runs", (int)runs->len, "reason",
		     reason);
	for (i = runs->len; i-- > 0;) {
		struct cq_task *task;

		if (i >= runs->len)
			continue;
		task = g_ptr_array_index(runs, i);
		if (task->phase != CQ_RUN_RECORDING)
			dispatcher_end_run(link->d, task, CQ_RUN_LOST, NULL);
	}
}

/*
 * The counts of the worker start anew. Its former runs are missing in the next
 * report; one that was ordered meanwhile may be of the new life.
 */
void link_new_life(struct link *link, int64_t born_unix_ms)
{
	cq_log_event(CQ_LOG_INFO, "worker_new_life", "{s:s,s:I,s:I}", "worker",
		     link->worker->listing.id, "born", (json_int_t)born_unix_ms,
		     "before", (json_int_t)link->worker->listing.born_unix_ms);
	link->worker->listing.born_unix_ms = born_unix_ms;
	link->worker->failure_streak = 0;
	link->fenced = false;
	link->next_hold_ns = 0;
	link->clock_ms = 0;
	link->clock_ns = 0;
	link->lease_end_ms = 0;
	link->seen = 0;
	link->acknowledged = 0;
	link->told = 0;
	g_array_set_size(link->unacknowledged, 0);
}

static bool needs_hold(const struct link *link)
{
	if (!link->worker->listing.address[0])
		return false;
	return link->worker->runs->len || link->unacknowledged->len ||
	       link->acknowledged > link->told ||
	       (link->worker->listed && !link->fenced) ||
	       (link->worker->listed && link->hold_failed);
}

/* The worker has not answered this leader, or not the last time. */
static bool is_first_hold(const struct link *link)
{
	return !link->fenced || link->hold_failed;
}

static void uncount(struct link *link)
{
	link->d->first_holds -= link->counted;
	link->counted = false;
}

static bool must_wait_for_others(const struct link *link)
{
	uint32_t limit = link->worker->runs->len ? MAX_FIRST_HOLDS
						 : MAX_FIRST_HOLDS_IDLE;

	return is_first_hold(link) && link->d->first_holds >= limit;
}

void link_tick(struct link *link, int64_t now_ns)
{
	if (!link)
		return;
	if (now_ns - link->hold_sent_ns > FIRST_HOLD_COUNTS_NS)
		uncount(link);
	if (link->worker->runs->len && now_ns > link->lapse_ns &&
	    (link->hold_failed || !link->worker->listing.address[0]))
		lose_runs(link, "the lease has lapsed");
	/* Ends must not be taken over before the jobs are known. */
	if (!dispatcher_loaded(link->d) || link->hold_in_flight ||
	    now_ns < link->next_hold_ns || !needs_hold(link) ||
	    must_wait_for_others(link) ||
	    !link->d->ops->may_command(link->d->ctx))
		return;
	send_hold(link, now_ns);
}

/* Servers and tasks that fill beside each other. */
static bool is_shared(const struct cq_pool_worker *worker)
{
	bool serves = false;
	bool fills = false;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct cq_task *task = g_ptr_array_index(worker->runs, i);

		serves |= task->stage->step->target_ms > 0;
		fills |= task->stage->step->fills;
	}
	return serves && fills;
}

static void send_hold(struct link *link, int64_t now_ns)
{
	struct cq_dispatcher *d = link->d;
	struct cq_executor_target target = link_target(link);
	struct cq_executor_hold hold = {
		/* After a gap, a new life might take it for its own ends. */
		.acknowledged = now_ns - link->held_ns > HOLD_GAP_NS
					? 0
					: link->acknowledged,
	};
	struct hold_call *call = g_new0(struct hold_call, 1);

	/* Ends that wait for the store would come again at once. */
	if (!is_first_hold(link) && link->worker->runs->len &&
	    !link->unacknowledged->len)
		hold.wait_ms = is_shared(link->worker) ? HOLD_WAIT_SHARED_MS
						       : HOLD_WAIT_MS;
	/* A worker that is silent gets no longer lease, so that it lapses. */
	if (!is_first_hold(link) && link->worker->runs->len)
		hold.lease_end_ms = link_grant(link);
	call->d = d;
	link->counted = is_first_hold(link);
	d->first_holds += link->counted;
	g_strlcpy(call->worker, link->worker->listing.id, sizeof(call->worker));
	link->hold_in_flight = true;
	link->telling = hold.acknowledged;
	link->hold_sent_ns = now_ns;
	cq_counter_add(d->holds, 1);
	d->executor->ops->hold(d->executor->self, &target, &hold,
			       hold.wait_ms + HOLD_TIMEOUT_MS, on_hold, call);
}

static struct cq_task *find_run(struct link *link, const char *name,
				uint32_t run)
{
	char id[CQ_WORKLOAD_ID_BYTES];
	struct cq_batch *batch;
	struct cq_task *task;

	if (!cq_task_name_batch(name, id))
		return NULL;
	batch = g_hash_table_lookup(link->d->batches, id);
	task = batch ? cq_batch_find_task(batch, name) : NULL;
	if (!task || task->worker != link->worker || task->run != run ||
	    task->phase == CQ_RUN_NONE || task->phase == CQ_RUN_RECORDING)
		return NULL;
	return task;
}

static void take_end(struct link *link, const struct cq_executor_ended *ended)
{
	struct cq_task *task = find_run(link, ended->task, ended->run);
	struct unacknowledged entry = { .number = ended->number };

	link->seen = ended->number;
	if (task) {
		struct cq_batch *batch = task->stage->batch;

		dispatcher_end_run(link->d, task, ended->how,
				   ended->checkpoint);
		g_strlcpy(entry.batch_id, batch->workload->id,
			  sizeof(entry.batch_id));
		entry.version = batch->version;
	}
	g_array_append_val(link->unacknowledged, entry);
}

static void take_ends(struct link *link,
		      const struct cq_executor_report *report)
{
	size_t i;

	for (i = 0; i < report->ended_count; i++)
		if (report->ended[i].number > link->seen)
			take_end(link, &report->ended[i]);
}

static void take_running(struct link *link,
			 const struct cq_executor_report *report)
{
	int64_t now_ns = dispatcher_now_ns(link->d);
	size_t i;

	for (i = 0; i < report->running_count; i++) {
		const struct cq_executor_running *row = &report->running[i];
		struct cq_task *task = find_run(link, row->task, row->run);

		if (!task) {
			order_stop_stray(link->d, link, row->task, row->run);
			continue;
		}
		if (!task->started_ns)
			task->started_ns = now_ns;
		task->phase = CQ_RUN_CONFIRMED;
		task->confirmed_ns = now_ns;
		task->load = row->load;
		cq_task_checkpoint(task, row->checkpoint);
	}
}

static bool is_listed(const struct cq_task *task,
		      const struct cq_executor_report *report)
{
	char name[CQ_TASK_NAME_BYTES];
	size_t i;

	cq_task_name(task, name);
	for (i = 0; i < report->running_count; i++)
		if (report->running[i].run == task->run &&
		    !strcmp(report->running[i].task, name))
			return true;
	return false;
}

/*
 * Runs that the worker neither lists nor has listed as ended. A run that was
 * confirmed before the hold was sent has vanished. One of a former leader was
 * never started, and cannot be any more behind the fence. One whose stop was
 * answered before the hold was sent cannot start later.
 */
static void find_missing(struct link *link,
			 const struct cq_executor_report *report)
{
	GPtrArray *runs = link->worker->runs;
	guint i;

	for (i = runs->len; i-- > 0;) {
		struct cq_task *task;
		bool gone = false;

		if (i >= runs->len)
			continue;
		task = g_ptr_array_index(runs, i);
		if (task->phase == CQ_RUN_RECORDING || is_listed(task, report))
			continue;
		if (task->phase == CQ_RUN_RESTORED)
			gone = true;
		else if (task->phase == CQ_RUN_CONFIRMED)
			gone = task->confirmed_ns < link->hold_sent_ns &&
			       !task->start_in_flight;
		if (task->stop_answered &&
		    task->stop_answered_ns < link->hold_sent_ns)
			gone = true;
		if (gone)
			dispatcher_end_run(link->d, task, CQ_RUN_LOST, NULL);
	}
}

static void on_hold(void *ctx, const struct cq_executor_report *report)
{
	struct hold_call *call = ctx;
	struct cq_dispatcher *d = call->d;
	struct cq_pool_worker *worker = cq_pool_find(d->pool, call->worker);
	struct link *link = worker ? worker->link : NULL;
	int64_t now_ns = dispatcher_now_ns(d);

	g_free(call);
	if (!link)
		return;
	uncount(link);
	link->hold_in_flight = false;
	if (report->answer != CQ_EXECUTOR_OK) {
		if (!link->hold_failed)
			cq_log_event(CQ_LOG_WARN, "hold_failed",
				     "{s:s,s:s,s:s,s:i}", "worker",
				     worker->listing.id, "answer",
				     cq_executor_answer_string(report->answer),
				     "error", report->message, "runs",
				     (int)worker->runs->len);
		link->hold_failed = true;
		link->next_hold_ns = now_ns + HOLD_RETRY_NS;
		if (report->answer == CQ_EXECUTOR_FENCED)
			d->ops->superseded(d->ctx);
		else if (report->answer == CQ_EXECUTOR_OTHER_LIFE)
			lose_runs(link, "another life answers");
		return;
	}
	if (report->born_unix_ms && worker->listing.born_unix_ms &&
	    report->born_unix_ms != worker->listing.born_unix_ms) {
		if (report->born_unix_ms < worker->listing.born_unix_ms)
			return;
		link_new_life(link, report->born_unix_ms);
	} else if (report->born_unix_ms) {
		worker->listing.born_unix_ms = report->born_unix_ms;
	}
	if (!link->fenced || link->hold_failed)
		dispatcher_plan_soon(d);
	link->fenced = true;
	link->hold_failed = false;
	link->held_ns = now_ns;
	link->told = link->telling;
	link_note_answer(link, report->clock_ms);
	take_ends(link, report);
	take_running(link, report);
	find_missing(link, report);
	control_pace(link);
	link_acknowledge(link);
	link->next_hold_ns = 0;
	if (link->unacknowledged->len)
		link->next_hold_ns = now_ns + HOLD_RETRY_NS;
	link_tick(link, now_ns);
}

void link_acknowledge(struct link *link)
{
	GArray *list;
	guint kept = 0;

	if (!link || !link->unacknowledged->len)
		return;
	list = link->unacknowledged;
	while (kept < list->len) {
		const struct unacknowledged *entry =
			&g_array_index(list, struct unacknowledged, kept);
		const struct cq_batch *batch =
			g_hash_table_lookup(link->d->batches, entry->batch_id);

		if (batch && batch->durable_version < entry->version)
			break;
		link->acknowledged = entry->number;
		kept++;
	}
	if (!kept)
		return;
	g_array_remove_range(list, 0, kept);
	if (!list->len) {
		link->next_hold_ns = 0;
		link_tick(link, dispatcher_now_ns(link->d));
	}
}

/* Slows tasks that fill while a server beside them is near its target. */
static void control_pace(struct link *link)
{
	double tail = cq_pace_worst_tail(link->worker);
	int64_t now_ns = dispatcher_now_ns(link->d);
	guint i;

	if (!is_shared(link->worker))
		return;
	for (i = 0; i < link->worker->runs->len; i++) {
		struct cq_task *task = g_ptr_array_index(link->worker->runs, i);
		uint32_t percent;

		if (!task->stage->step->fills ||
		    task->phase != CQ_RUN_CONFIRMED)
			continue;
		percent = cq_pace_next(task, tail, now_ns);
		if (percent != task->pace_percent)
			order_pace(link->d, task, percent);
	}
}
