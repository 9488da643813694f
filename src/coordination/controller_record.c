/* Metrics, and the last decisions about each job. */
#include "controller_private.h"

static void observe_duration(struct cq_controller *c, const char *name,
			     const struct cq_job_record *record,
			     const char *result, int64_t end_unix_ms);

static const char *const counter_names[CQ_COUNTS] = {
	[CQ_COUNT_TAKEOVERS] = "cq_jobs_takeovers_total",
	[CQ_COUNT_PLANS] = "cq_jobs_plans_total",
	[CQ_COUNT_STARTS] = "cq_jobs_attempts_started_total",
	[CQ_COUNT_FINISHED] = "cq_jobs_attempts_finished_total",
	[CQ_COUNT_FAILED] = "cq_jobs_attempts_failed_total",
	[CQ_COUNT_LOST] = "cq_jobs_attempts_lost_total",
	[CQ_COUNT_UNDONE] = "cq_jobs_attempts_undone_total",
	[CQ_COUNT_STOPPED] = "cq_jobs_attempts_stopped_total",
	[CQ_COUNT_WORKERS_LOST] = "cq_jobs_workers_lost_total",
	[CQ_COUNT_STRAYS] = "cq_jobs_stray_tasks_total",
	[CQ_COUNT_RECORDS_APPLIED] = "cq_jobs_records_taken_total",
	[CQ_COUNT_WRITES] = "cq_jobs_store_writes_total",
	[CQ_COUNT_COMMANDS] = "cq_jobs_worker_commands_total",
	[CQ_COUNT_SYNCS] = "cq_jobs_worker_syncs_total",
	[CQ_COUNT_HISTORY_WRITES] = "cq_jobs_history_writes_total",
};

void cq_controller_register_metrics(struct cq_controller *c)
{
	struct cq_metrics *metrics = c->options.metrics;
	int i;

	if (!metrics)
		return;
	for (i = 0; i < CQ_COUNTS; i++)
		c->counters[i] =
			cq_metrics_counter(metrics, counter_names[i], "");
	c->plan_time =
		cq_metrics_histogram(metrics, "cq_jobs_plan_seconds", "");
	c->jobs_known = cq_metrics_gauge(metrics, "cq_jobs_records", "");
	c->gangs_active = cq_metrics_gauge(metrics, "cq_jobs_gangs", "");
	c->workers_up = cq_metrics_gauge(metrics, "cq_jobs_workers_up", "");
}

void cq_controller_count(struct cq_controller *c,
			 enum cq_controller_count count)
{
	if (c->counters[count])
		cq_counter_add(c->counters[count], 1);
}

static void observe_duration(struct cq_controller *c, const char *name,
			     const struct cq_job_record *record,
			     const char *result, int64_t end_unix_ms)
{
	int64_t took_ms = MAX(end_unix_ms - record->submitted_unix_ms, 0);
	char labels[CQ_JOB_NAME_BYTES + 64];

	g_snprintf(labels, sizeof(labels), "class=\"%s\"%s", record->class_name,
		   result);
	cq_histogram_observe_ns(cq_metrics_histogram(c->options.metrics, name,
						     labels),
				took_ms * CQ_NS_PER_MS);
}

void cq_controller_observe_phase_change(struct cq_controller *c,
					const struct cq_job_record *before,
					const struct cq_job_record *after)
{
	if (!c->options.metrics || before->phase == after->phase)
		return;
	if (after->phase == CQ_PHASE_RUNNING && after->attempt == 1)
		observe_duration(c, "cq_job_start_seconds", after, "",
				 after->started_unix_ms);
	else if (after->phase == CQ_PHASE_FINISHED)
		observe_duration(c, "cq_job_completion_seconds", after,
				 ",result=\"succeeded\"", after->ended_unix_ms);
	else if (after->phase == CQ_PHASE_FAILED)
		observe_duration(c, "cq_job_completion_seconds", after,
				 ",result=\"failed\"", after->ended_unix_ms);
}

void cq_controller_set_gauges(struct cq_controller *c)
{
	int64_t up = 0;
	uint32_t i;

	if (!c->options.metrics)
		return;
	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		const struct cq_fleet_node *node =
			cq_fleet_state_node(c->fleet, i);

		up += node->listed && node->reported && !node->lost;
	}
	cq_gauge_set(c->jobs_known, g_hash_table_size(c->jobs));
	cq_gauge_set(c->gangs_active, g_hash_table_size(c->active_jobs));
	cq_gauge_set(c->workers_up, up);
}

void cq_job_add_decision(struct cq_job *job, const char *decision,
			 const char *reason)
{
	struct cq_job_decision *entry;

	if (!job->decisions)
		job->decisions =
			g_new0(struct cq_job_decision, CQ_JOB_DECISIONS);
	entry = &job->decisions[job->decision_count++ % CQ_JOB_DECISIONS];
	entry->unix_ms = cq_clock_unix_ms(job->controller->options.clock);
	entry->decision = decision;
	g_strlcpy(entry->reason, reason, sizeof(entry->reason));
}
