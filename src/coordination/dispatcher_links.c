/*
 * Heartbeats to the workers: each one fences the worker, renews the lease of
 * its runs, acknowledges run ends, and returns its running and ended runs.
 */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "chestnutquay/text.h"
#include "chestnutquay/pace.h"
#include "coordination/dispatcher_internal.h"

/*
 * How long a heartbeat waits on the worker for the end of a run: the longest
 * wait that workers allow, but no more than this part of a lease, which the
 * next heartbeat renews.
 */
#define HEARTBEAT_WAIT_MS 2000
#define HEARTBEAT_WAITS_PER_LEASE 4
/*
 * The same for a worker with both servers and fill tasks. Fill tasks use
 * the processor time that others leave, and are throttled for the servers.
 */
#define HEARTBEAT_WAIT_COLOCATED_MS 400
#define HEARTBEAT_TIMEOUT_MS 1000
/* Interval between heartbeats to a worker that does not answer. */
#define HEARTBEAT_RETRY_NS (INT64_C(500) * CQ_NS_PER_MS)
/*
 * Heartbeats that follow an answer within this time reach the same incarnation
 * of the worker.
 */
#define HEARTBEAT_GAP_NS (INT64_C(100) * CQ_NS_PER_MS)
/*
 * Limits on concurrent probes, to workers without runs and with runs. A probe
 * is a heartbeat to a worker that has not answered this leader, or did not
 * answer the last heartbeat. A new leader contacts thousands of workers and
 * must still renew its own lease in time.
 */
#define MAX_IDLE_PROBES 48
#define MAX_PROBES 192
/* A probe unanswered for this long no longer counts towards the limits. */
#define PROBE_SLOT_NS (INT64_C(250) * CQ_NS_PER_MS)
/* Granted leases are shorter than max_lease_ms by this margin. */
#define LEASE_MARGIN_MS 500
/* A worker's monotonic clock may be slow by 2 %. */
#define SLOW_CLOCK_FACTOR 1.0205

static void send_heartbeat(struct link *link, int64_t now_ns);
static bool is_of_former_incarnation(const struct link *link,
				     const struct cq_executor_report *report);
static void on_heartbeat(void *ctx, const struct cq_executor_report *report);
static void end_runs_as_lost(struct link *link, const char *reason);
static bool needs_heartbeat(const struct link *link);
static uint32_t heartbeat_wait_ms(const struct link *link);
static bool exceeds_probe_limit(const struct link *link);
static void release_probe_slot(struct link *link);
static void adjust_pace(struct link *link);

struct heartbeat_call {
	struct cq_dispatcher *d;
	const char *worker; /* see text.h */
};

struct link *link_create(struct cq_dispatcher *d, struct cq_pool_worker *worker)
{
	struct link *link = g_new0(struct link, 1);

	link->d = d;
	link->worker = worker;
	link->unacknowledged_ends =
		g_array_new(FALSE, TRUE, sizeof(struct unacknowledged_end));
	/* A former leader may just have granted a lease of full length. */
	link->runs_expired_by_ns =
		dispatcher_now_ns(d) +
		(int64_t)(d->max_lease_ms * SLOW_CLOCK_FACTOR) * CQ_NS_PER_MS;
	return link;
}

void link_destroy(struct link *link)
{
	if (!link)
		return;
	release_probe_slot(link);
	g_hash_table_remove(link->d->links_with_ends, link);
	g_array_unref(link->unacknowledged_ends);
	g_free(link);
}

struct cq_executor_target link_target(const struct link *link)
{
	return (struct cq_executor_target){
		.address = link->worker->listing.address,
		.id = link->worker->listing.id,
		.fencing_token = link->d->epoch,
	};
}

static void update_runs_expired_by(struct link *link)
{
	int64_t left_ms = link->lease_end_ms - link->clock_ms;

	link->runs_expired_by_ns =
		link->clock_ns +
		(int64_t)((double)MAX(0, left_ms) * SLOW_CLOCK_FACTOR) *
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
		update_runs_expired_by(link);
}

int64_t link_grant(struct link *link)
{
	int64_t elapsed_ms =
		(dispatcher_now_ns(link->d) - link->clock_ns) / CQ_NS_PER_MS;
	int64_t end_ms = link->clock_ms + elapsed_ms + link->d->max_lease_ms -
			 LEASE_MARGIN_MS;

	link->lease_end_ms = MAX(link->lease_end_ms, end_ms);
	update_runs_expired_by(link);
	return end_ms;
}

static void end_runs_as_lost(struct link *link, const char *reason)
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
 * The new incarnation numbers its run ends from 1. The runs stay assigned: the
 * next report shows which are missing, and a run whose start was sent recently
 * may belong to the new incarnation.
 */
void link_reset_incarnation(struct link *link, int64_t born_unix_ms)
{
	cq_log_event(CQ_LOG_INFO, "worker_new_life", "{s:s,s:I,s:I}", "worker",
		     link->worker->listing.id, "born", (json_int_t)born_unix_ms,
		     "before",
		     (json_int_t)link->worker->listing.started_unix_ms);
	link->worker->listing.started_unix_ms = born_unix_ms;
	link->incarnation_ns = dispatcher_now_ns(link->d);
	link->worker->failure_streak = 0;
	link->fenced = false;
	link->next_heartbeat_ns = 0;
	link->clock_ms = 0;
	link->clock_ns = 0;
	link->lease_end_ms = 0;
	link->last_recorded_end = 0;
	link->last_durable_end = 0;
	link->last_acknowledged_end = 0;
	link->running_unreadable_ns = 0;
	link->ended_unreadable_ns = 0;
	g_array_set_size(link->unacknowledged_ends, 0);
	g_hash_table_remove(link->d->links_with_ends, link);
}

static bool needs_heartbeat(const struct link *link)
{
	if (!link->worker->listing.address[0])
		return false;
	return link->worker->runs->len || link->unacknowledged_ends->len ||
	       link->last_durable_end > link->last_acknowledged_end ||
	       (link->worker->listed && !link->fenced) ||
	       (link->worker->listed && link->heartbeat_failed);
}

/* Whether the next heartbeat is a probe, see MAX_PROBES. */
static bool needs_probe(const struct link *link)
{
	return !link->fenced || link->heartbeat_failed;
}

static void release_probe_slot(struct link *link)
{
	link->d->probes_in_flight -= link->probe_slot;
	link->probe_slot = false;
}

static bool exceeds_probe_limit(const struct link *link)
{
	uint32_t limit = link->worker->runs->len ? MAX_PROBES : MAX_IDLE_PROBES;

	return needs_probe(link) && link->d->probes_in_flight >= limit;
}

void link_tick(struct link *link, int64_t now_ns)
{
	if (!link)
		return;
	if (now_ns - link->heartbeat_sent_ns > PROBE_SLOT_NS)
		release_probe_slot(link);
	if (link->worker->runs->len && now_ns > link->runs_expired_by_ns &&
	    (link->heartbeat_failed || !link->worker->listing.address[0]))
		end_runs_as_lost(link, "the lease has expired");
	/* Run ends cannot be processed before the jobs are loaded. */
	if (!dispatcher_loaded(link->d) || link->heartbeat_in_flight ||
	    now_ns < link->next_heartbeat_ns || !needs_heartbeat(link) ||
	    exceeds_probe_limit(link) ||
	    !link->d->ops->may_command(link->d->ctx))
		return;
	send_heartbeat(link, now_ns);
}

/* Whether fill tasks run next to a server on the worker. */
static bool is_colocated(const struct cq_pool_worker *worker)
{
	return worker->fill_runs && worker->target_runs;
}

static uint32_t heartbeat_wait_ms(const struct link *link)
{
	uint32_t wait_ms = is_colocated(link->worker)
				   ? HEARTBEAT_WAIT_COLOCATED_MS
				   : HEARTBEAT_WAIT_MS;

	return MIN(wait_ms, link->d->max_lease_ms / HEARTBEAT_WAITS_PER_LEASE);
}

static void send_heartbeat(struct link *link, int64_t now_ns)
{
	struct cq_dispatcher *d = link->d;
	struct cq_executor_target target = link_target(link);
	struct cq_executor_heartbeat heartbeat = {
		/*
		 * After a gap the worker may have restarted, and would take the
		 * number for one of its new run ends.
		 */
		.acknowledged = now_ns - link->heartbeat_answered_ns >
						HEARTBEAT_GAP_NS
					? 0
					: link->last_durable_end,
	};
	struct heartbeat_call *call = g_new0(struct heartbeat_call, 1);

	/*
	 * A worker with unacknowledged run ends answers at once, so no wait is
	 * asked for until the store holds them.
	 */
	if (!needs_probe(link) && link->worker->runs->len &&
	    !link->unacknowledged_ends->len)
		heartbeat.wait_ms = heartbeat_wait_ms(link);
	/* The lease of a worker that does not answer must expire. */
	if (!needs_probe(link) && link->worker->runs->len)
		heartbeat.lease_end_ms = link_grant(link);
	call->d = d;
	link->probe_slot = needs_probe(link);
	d->probes_in_flight += link->probe_slot;
	cq_text_set(&call->worker, link->worker->listing.id);
	link->heartbeat_in_flight = true;
	link->acknowledging_end = heartbeat.acknowledged;
	link->heartbeat_sent_ns = now_ns;
	cq_counter_add(d->heartbeats, 1);
	d->executor->ops->heartbeat(d->executor->self, &target, &heartbeat,
				    heartbeat.wait_ms + HEARTBEAT_TIMEOUT_MS,
				    on_heartbeat, call);
}

/*
 * The answer of an incarnation may arrive after the entry of the next one. What
 * a worker answers later is true, also if it says that it has started earlier
 * than its entry: another writer may have changed the entry, or the worker's
 * time of day was set back between two incarnations.
 */
static bool is_of_former_incarnation(const struct link *link,
				     const struct cq_executor_report *report)
{
	return report->started_unix_ms &&
	       report->started_unix_ms <
		       link->worker->listing.started_unix_ms &&
	       link->heartbeat_sent_ns <= link->incarnation_ns;
}

static void on_heartbeat(void *ctx, const struct cq_executor_report *report)
{
	struct heartbeat_call *call = ctx;
	struct cq_dispatcher *d = call->d;
	struct cq_pool_worker *worker = cq_pool_find(d->pool, call->worker);
	struct link *link = worker ? worker->link : NULL;
	int64_t now_ns = dispatcher_now_ns(d);

	cq_text_clear(&call->worker);
	g_free(call);
	if (!link)
		return;
	release_probe_slot(link);
	link->heartbeat_in_flight = false;
	if (report->answer != CQ_EXECUTOR_OK) {
		if (!link->heartbeat_failed)
			cq_log_event(CQ_LOG_WARN, "hold_failed",
				     "{s:s,s:s,s:s,s:i}", "worker",
				     worker->listing.id, "answer",
				     cq_executor_answer_string(report->answer),
				     "error", report->message, "runs",
				     (int)worker->runs->len);
		link->heartbeat_failed = true;
		link->next_heartbeat_ns = now_ns + HEARTBEAT_RETRY_NS;
		if (report->answer == CQ_EXECUTOR_FENCED)
			d->ops->superseded(d->ctx);
		else if (report->answer == CQ_EXECUTOR_OTHER_INCARNATION)
			end_runs_as_lost(
				link,
				"another incarnation of the worker answered");
		return;
	}
	if (is_of_former_incarnation(link, report))
		return;
	if (report->started_unix_ms && worker->listing.started_unix_ms &&
	    report->started_unix_ms != worker->listing.started_unix_ms)
		link_reset_incarnation(link, report->started_unix_ms);
	else if (report->started_unix_ms)
		worker->listing.started_unix_ms = report->started_unix_ms;
	if (!link->fenced || link->heartbeat_failed)
		dispatcher_plan_soon(d);
	link->fenced = true;
	link->heartbeat_failed = false;
	link->heartbeat_answered_ns = now_ns;
	link->last_acknowledged_end = link->acknowledging_end;
	link_note_answer(link, report->clock_ms);
	/* Its lease is not renewed then, so that its runs end. */
	link->heartbeat_failed = !link_read_report(link, report);
	adjust_pace(link);
	link_update_acknowledged(link);
	link->next_heartbeat_ns = 0;
	/* A worker that lists ends, odd rows included, answers at once. */
	if (link->unacknowledged_ends->len ||
	    (report->ended_unreadable &&
	     link->last_durable_end <= link->last_acknowledged_end))
		link->next_heartbeat_ns = now_ns + HEARTBEAT_RETRY_NS;
	link_tick(link, now_ns);
}

void link_update_acknowledged(struct link *link)
{
	GArray *list;
	guint kept = 0;

	if (!link->unacknowledged_ends->len)
		return;
	list = link->unacknowledged_ends;
	while (kept < list->len) {
		const struct unacknowledged_end *entry =
			&g_array_index(list, struct unacknowledged_end, kept);
		const struct cq_batch *batch =
			g_hash_table_lookup(link->d->batches, entry->batch_id);

		if (batch && batch->durable_version < entry->version)
			break;
		link->last_durable_end = entry->number;
		kept++;
	}
	if (!kept)
		return;
	g_array_remove_range(list, 0, kept);
	if (!list->len) {
		g_hash_table_remove(link->d->links_with_ends, link);
		link->next_heartbeat_ns = 0;
		link_tick(link, dispatcher_now_ns(link->d));
	}
}

/* Throttles fill tasks while a server on the worker is near its target. */
static void adjust_pace(struct link *link)
{
	double tail = cq_pace_worst_tail(link->worker);
	int64_t now_ns = dispatcher_now_ns(link->d);
	guint i;

	if (!is_colocated(link->worker))
		return;
	for (i = 0; i < link->worker->runs->len; i++) {
		struct cq_task *task = g_ptr_array_index(link->worker->runs, i);
		uint32_t percent;

		if (!task->stage->step->fills ||
		    task->phase != CQ_RUN_CONFIRMED)
			continue;
		percent = cq_pace_next(task, tail, now_ns);
		if (percent != task->pace_percent)
			command_pace(link->d, task, percent);
	}
}
