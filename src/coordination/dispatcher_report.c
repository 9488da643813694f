/*
 * What the lists of running and ended runs in a worker's answer change. That a
 * run is in neither list is believed only if both are whole. A list with a row
 * that cannot be read isn't: the run may be that row. Such a list holds up the
 * runs of the worker for a bounded time only, see runs_known() and
 * ends_known().
 */
#include <jansson.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "coordination/dispatcher_internal.h"

/*
 * An end that cannot be read is asked for again for this long: a later answer
 * may have it whole. Then it is acknowledged with those that follow it.
 */
#define ODD_END_WAIT_NS (INT64_C(2) * CQ_NS_PER_S)
/* Interval between log lines about odd rows of one worker. */
#define ODD_ROWS_LOG_INTERVAL_NS (INT64_C(10) * CQ_NS_PER_S)

static struct cq_task *find_run(struct link *link, const char *name,
				uint32_t run);
static void note_odd_rows(struct link *link,
			  const struct cq_executor_report *report);
static void note_unreadable(struct link *link,
			    const struct cq_executor_report *report);
static bool skips_odd_ends(const struct link *link,
			   const struct cq_executor_report *report);
static bool ends_known(const struct link *link,
		       const struct cq_executor_report *report);
static void record_run_end(struct link *link,
			   const struct cq_executor_ended *ended);
static void record_run_ends(struct link *link,
			    const struct cq_executor_report *report);
static void confirm_running(struct link *link,
			    const struct cq_executor_report *report);
static bool is_reported_running(const struct cq_task *task,
				const struct cq_executor_report *report);
static bool is_gone(const struct link *link, const struct cq_task *task);
static void end_missing_runs(struct link *link,
			     const struct cq_executor_report *report);
static bool ends_are_stuck(const struct link *link,
			   const struct cq_executor_report *report);

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

static void note_odd_rows(struct link *link,
			  const struct cq_executor_report *report)
{
	int64_t now_ns = dispatcher_now_ns(link->d);

	if (!report->odd_rows)
		return;
	cq_counter_add(link->d->odd_rows, report->odd_rows);
	if (link->odd_rows_logged_ns &&
	    now_ns - link->odd_rows_logged_ns < ODD_ROWS_LOG_INTERVAL_NS)
		return;
	link->odd_rows_logged_ns = now_ns;
	cq_log_event(CQ_LOG_WARN, "worker_rows_odd", "{s:s,s:i,s:s}", "worker",
		     link->worker->listing.id, "rows", (int)report->odd_rows,
		     "first", report->odd_row);
}

/* Ends that are new show that the worker's list moves on. */
static void note_unreadable(struct link *link,
			    const struct cq_executor_report *report)
{
	int64_t now_ns = dispatcher_now_ns(link->d);
	bool moves = report->ended_in_order &&
		     report->ended[report->ended_in_order - 1].number >
			     link->last_recorded_end;

	if (!report->running_unreadable)
		link->running_unreadable_ns = 0;
	else if (!link->running_unreadable_ns)
		link->running_unreadable_ns = now_ns;
	if (!report->ended_unreadable)
		link->ended_unreadable_ns = 0;
	else if (!link->ended_unreadable_ns || moves)
		link->ended_unreadable_ns = now_ns;
}

/* Whether the ends that cannot be read have been asked for long enough. */
static bool skips_odd_ends(const struct link *link,
			   const struct cq_executor_report *report)
{
	return report->ended_unreadable &&
	       dispatcher_now_ns(link->d) - link->ended_unreadable_ns >
		       ODD_END_WAIT_NS;
}

/* Whether a run that has ended is among the ends that the report has. */
static bool ends_known(const struct link *link,
		       const struct cq_executor_report *report)
{
	return report->ended_whole &&
	       (!report->ended_unreadable || skips_odd_ends(link, report));
}

/*
 * The end is acknowledged once the store holds the batch as it is now, also if
 * the run was found to be over before.
 */
static void record_run_end(struct link *link,
			   const struct cq_executor_ended *ended)
{
	struct cq_task *task = find_run(link, ended->task, ended->run);
	struct unacknowledged_end entry = { .number = ended->number };
	char id[CQ_WORKLOAD_ID_BYTES];
	const struct cq_batch *batch = NULL;

	link->last_recorded_end = ended->number;
	if (task)
		dispatcher_end_run(link->d, task, ended->outcome,
				   ended->checkpoint);
	if (cq_task_name_batch(ended->task, id))
		batch = g_hash_table_lookup(link->d->batches, id);
	if (batch) {
		g_strlcpy(entry.batch_id, id, sizeof(entry.batch_id));
		entry.version = batch->version;
	}
	g_array_append_val(link->unacknowledged_ends, entry);
	g_hash_table_add(link->d->links_with_ends, link);
}

/*
 * Ends behind a row that cannot be read count at once. They are acknowledged
 * when they are listed without it, or when it is skipped.
 */
static void record_run_ends(struct link *link,
			    const struct cq_executor_report *report)
{
	bool all = !report->ended_unreadable || skips_odd_ends(link, report);
	size_t i;

	for (i = 0; i < report->ended_count; i++) {
		const struct cq_executor_ended *ended = &report->ended[i];
		struct cq_task *task;

		if (ended->number && (all || i < report->ended_in_order)) {
			if (ended->number > link->last_recorded_end)
				record_run_end(link, ended);
			continue;
		}
		task = find_run(link, ended->task, ended->run);
		if (task)
			dispatcher_end_run(link->d, task, ended->outcome,
					   ended->checkpoint);
	}
}

static void confirm_running(struct link *link,
			    const struct cq_executor_report *report)
{
	int64_t now_ns = dispatcher_now_ns(link->d);
	size_t i;

	for (i = 0; i < report->running_count; i++) {
		const struct cq_executor_running *row = &report->running[i];
		struct cq_task *task = find_run(link, row->task, row->run);

		if (!task) {
			command_stop_unknown(link->d, link, row->task,
					     row->run);
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

static bool is_reported_running(const struct cq_task *task,
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
 * Whether a run that is in no list is over. A run that was confirmed before the
 * heartbeat was sent no longer exists. A run recorded by a former leader was
 * never started, and the fence prevents a later start. A run whose stop was
 * answered before the heartbeat was sent cannot start later.
 */
static bool is_gone(const struct link *link, const struct cq_task *task)
{
	if (task->stop_answered &&
	    task->stop_answered_ns < link->heartbeat_sent_ns)
		return true;
	if (task->phase == CQ_RUN_CONFIRMED)
		return task->confirmed_ns < link->heartbeat_sent_ns &&
		       !task->start_in_flight;
	return task->phase == CQ_RUN_RESTORED;
}

/*
 * Ends, as lost, runs that the worker reports neither as running nor as ended.
 * While its list of runs cannot be read, such a run may be running. If that
 * goes on for a lease it is stopped, and it is over a lease after the answer to
 * the stop: a worker needs less to carry one out.
 */
static void end_missing_runs(struct link *link,
			     const struct cq_executor_report *report)
{
	int64_t lease_ns = (int64_t)link->d->max_lease_ms * CQ_NS_PER_MS;
	int64_t now_ns = dispatcher_now_ns(link->d);
	GPtrArray *runs = link->worker->runs;
	guint i;

	for (i = runs->len; i-- > 0;) {
		struct cq_task *task;

		if (i >= runs->len)
			continue;
		task = g_ptr_array_index(runs, i);
		/* Few runs are gone; each look through the report is long. */
		if (task->phase == CQ_RUN_RECORDING || !is_gone(link, task) ||
		    is_reported_running(task, report))
			continue;
		if (!report->running_unreadable ||
		    (task->stop_answered &&
		     now_ns - task->stop_answered_ns > lease_ns))
			dispatcher_end_run(link->d, task, CQ_RUN_LOST, NULL);
		else if (now_ns - link->running_unreadable_ns > lease_ns)
			command_stop(link->d, task,
				     "the worker's list of runs is unreadable");
	}
}

/* No end can be read, nor be passed over, in a list that may go on. */
static bool ends_are_stuck(const struct link *link,
			   const struct cq_executor_report *report)
{
	int64_t lease_ns = (int64_t)link->d->max_lease_ms * CQ_NS_PER_MS;

	return report->ended_unreadable && !report->ended_whole &&
	       dispatcher_now_ns(link->d) - link->ended_unreadable_ns >
		       lease_ns;
}

bool link_read_report(struct link *link,
		      const struct cq_executor_report *report)
{
	note_odd_rows(link, report);
	note_unreadable(link, report);
	record_run_ends(link, report);
	confirm_running(link, report);
	if (ends_known(link, report))
		end_missing_runs(link, report);
	return !ends_are_stuck(link, report);
}
