#ifndef CQ_CONTROLLER_PRIVATE_H
#define CQ_CONTROLLER_PRIVATE_H

#include <glib.h>

#include "chestnutquay/controller.h"
#include "chestnutquay/fleet_state.h"
#include "chestnutquay/run_history.h"

/* Number of decisions kept for each job, shown when a job is explained. */
#define CQ_JOB_DECISIONS 8

struct cq_job_decision {
	int64_t unix_ms;
	const char *decision; /* constant string, not freed */
	char reason[CQ_JOB_REASON_BYTES];
};

/*
 * Accelerators and jobs of a workspace in this data centre as of the last plan.
 */
struct cq_workspace_usage {
	uint32_t guaranteed_accelerators;
	/* Guaranteed accelerators that the capacity lacks. */
	uint32_t short_accelerators;
	uint32_t used_accelerators;
	uint32_t borrowed_accelerators; /* part of used_accelerators */
	uint32_t running_jobs;
	uint32_t waiting_jobs;
};

enum cq_controller_count {
	CQ_COUNT_TAKEOVERS,
	CQ_COUNT_PLANS,
	CQ_COUNT_STARTS, /* attempts started */
	CQ_COUNT_FINISHED,
	CQ_COUNT_FAILED,
	CQ_COUNT_LOST,
	CQ_COUNT_UNDONE,
	CQ_COUNT_STOPPED,
	CQ_COUNT_WORKERS_LOST,
	CQ_COUNT_STRAYS, /* stops of tasks that belong to no current attempt */
	CQ_COUNT_RECORDS_APPLIED,
	CQ_COUNT_WRITES,
	CQ_COUNT_COMMANDS,
	CQ_COUNT_SYNCS,
	CQ_COUNT_HISTORY_WRITES,
	CQ_COUNTS,
};

struct cq_job_placement {
	uint32_t worker; /* UINT32_MAX: not known */
	uint64_t accelerator_mask;
	uint64_t cell;
};

struct cq_job {
	struct cq_controller *controller;
	struct cq_job_record record; /* last record read from the store */
	int64_t revision;
	uint64_t serial; /* tells jobs with the same id apart */
	bool dirty;	 /* queued for cq_job_reconcile() */
	bool seen;	 /* not used */
	GList dirty_link;

	/* The record write in flight. */
	struct cq_job_record pending_record;
	bool writing;	  /* a write or removal of the record is in flight */
	int64_t retry_ns; /* earliest time of the next write */

	/* The current attempt. */
	struct cq_gang *gang;
	/* Array with one element per rank. */
	struct cq_job_placement *placements;
	uint32_t placements_attempt;
	/* The attempt's end was logged, counted and reported to the planner. */
	bool outcome_recorded;
	int64_t started_ns;
	/* When this process started or took over the attempt. */
	int64_t managed_since_ns;
	int64_t not_before_ns; /* earliest start of the next attempt */
	/* Consecutive attempts that failed, were lost or were undone. */
	uint32_t failures;

	/* A stop requested by the planner. */
	enum cq_reason stop_reason;
	int64_t stop_requested_ns; /* 0: none */
	int64_t stop_deadline_ns;
	char stop_for[CQ_JOB_ID_BYTES]; /* job that gets the capacity; or "" */

	/* Result of the last plan. */
	int64_t expected_start_ns;
	int64_t expected_end_ns;
	enum cq_reason wait_reason;
	char explanation[CQ_JOB_REASON_BYTES];
	/* Ring buffer; NULL before the first decision. */
	struct cq_job_decision *decisions;
	uint32_t decision_count;
	uint32_t snapshot_index; /* in the last snapshot, or CQ_FLEET_NONE */
};

/*
 * Capacity that a data centre offers to the others. Element k of an array is
 * the number of workers with at least k accelerators; in the arrays rack_total
 * and rack_free it is the largest such number in any one rack.
 */
struct cq_offer {
	char name[CQ_JOB_NAME_BYTES];
	int64_t written_unix_ms;
	uint32_t total[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t rack_total[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t free[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t rack_free[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint64_t millicores; /* CPU capacity of the largest worker */
	uint64_t memory_bytes;
	uint32_t waiting; /* jobs waiting for a start */
};

/* A store call in flight. */
struct cq_controller_store_call {
	struct cq_controller *controller;
	struct cq_store_call *call;
	void (*done)(struct cq_controller *c, const char *job_id,
		     const struct cq_store_result *result);
	char job_id[CQ_JOB_ID_BYTES];
	uint64_t serial; /* serial of the job; 0: no job */
};

/* A worker call in flight. */
struct cq_controller_command {
	struct cq_controller *controller;
	int64_t epoch;
	int64_t sent_ns;
	uint32_t worker;
	uint32_t attempt;
	uint32_t rank;
	enum cq_gang_command command;
	bool full;  /* sync that asks for all tasks */
	bool probe; /* start of a probe task */
	char job_id[CQ_JOB_ID_BYTES];
};

/* The run-time history of this data centre and its key in the store. */
struct cq_history_state {
	struct cq_run_history *runs;
	int64_t revision;     /* revision of the key; 0: the key is absent */
	int64_t next_call_ns; /* earliest time of the next store call */
	uint64_t added_count; /* runs added in this epoch */
	uint64_t sent_added_count;
	uint64_t sent_sequence; /* sequence number of the last write */
	bool key_read;		/* the store's value has been merged */
	bool call_in_flight;
	bool dirty;
	bool written_for_drain; /* the write for the planned stop was sent */
};

struct cq_controller {
	struct cq_controller_options options;
	char data_centre[CQ_JOB_NAME_BYTES];
	char writer[CQ_JOB_NAME_BYTES];
	const struct cq_controller_ops *ops;
	void *ctx;
	struct cq_store store;
	struct cq_worker worker;
	struct cq_planner *planner;
	struct cq_fleet_state *fleet;

	int64_t epoch; /* 0 if this process is not the owner */
	/* Epoch of lease renewals while there is no owner; 0: none. */
	int64_t renewal_epoch;
	int64_t epoch_start_ns; /* when epoch or renewal_epoch was set */
	int64_t last_tick_ns;
	int64_t resumed_ns; /* end of the last suspension of this process */
	int64_t next_load_ns;
	int64_t revision; /* store revision up to which records were received */
	int64_t next_watch_ns;
	uint64_t sequence; /* of the last record or history written */
	uint64_t serial;   /* serial of the last job created */
	GRand *random;

	uint32_t listed_workers;
	/* Extra sync interval before the host list became shorter. */
	int64_t previous_extra_ns;
	int64_t previous_extra_until_ns;

	GHashTable *jobs;	 /* id -> struct cq_job */
	GHashTable *active_jobs; /* set of jobs with a gang */
	GQueue *dirty_jobs;
	GQueue *pending_entries; /* received store entries not applied yet */
	/* Records that may still be applied before the next tick. */
	uint32_t tick_record_budget;
	GHashTable *store_calls; /* set of struct cq_controller_store_call */
	GHashTable *commands;	 /* set of struct cq_controller_command */
	uint32_t writes_in_flight;
	uint32_t commands_in_flight; /* syncs not included */

	struct cq_history_state history;

	struct cq_policy policy;
	GArray *dcs;
	GArray *classes;
	GArray *guarantees;
	int64_t dc_notice_deadline_ns;
	int64_t dc_in_service_since_ns;
	/* Moving average of the time that a checkpoint takes. */
	int64_t checkpoint_cost_ns;
	int64_t last_plan_ns; /* time of the last plan */
	char plan_error[CQ_ERROR_MESSAGE_BYTES];
	/* Sentences about the guarantees that the last plan found short. */
	GPtrArray *shortfalls;
	/* All elements are NULL without metrics. */
	struct cq_counter *counters[CQ_COUNTS];
	struct cq_histogram *plan_time;
	struct cq_gauge *jobs_known;
	struct cq_gauge *gangs_active;
	struct cq_gauge *workers_up;
	/* Workspace name -> struct cq_workspace_usage. */
	GHashTable *workspace_usage;
	GHashTable *probes; /* worker name -> probe number + 1 */
	uint32_t probe_number;
	/* Ids of ended jobs whose records are kept, oldest first. */
	GQueue *ended_jobs;

	GArray *offers; /* struct cq_offer, as last read from the store */
	int64_t next_offers_read_ns;
	char *last_offer_text; /* last offer written, with time 0 */
	int64_t next_offer_write_ns;
	int64_t offer_refresh_due_ns;

	bool draining;
	bool records_listed; /* the list of all records has arrived */
	bool records_loaded; /* all records of that list have been applied */
	bool watching;
	bool hosts_known;
	bool dc_in_service;
	bool plan_wanted;
	bool offers_known;
};

/* controller_record.c: metrics and the last decisions about each job. */
void cq_controller_register_metrics(struct cq_controller *c);
void cq_controller_count(struct cq_controller *c,
			 enum cq_controller_count count);
/*
 * Records in the histograms of the job's class the time from submission to the
 * first start, and to the end of a job that was not cancelled.
 */
void cq_controller_observe_phase_change(struct cq_controller *c,
					const struct cq_job_record *before,
					const struct cq_job_record *after);
void cq_controller_set_gauges(struct cq_controller *c);
void cq_job_add_decision(struct cq_job *job, const char *decision,
			 const char *reason);

/* controller_store.c */
void cq_controller_load(struct cq_controller *c, int64_t now_ns);
void cq_controller_watch(struct cq_controller *c, int64_t now_ns);
void cq_controller_cancel_store_calls(struct cq_controller *c);
/* Applies pending store entries, at most max_records_per_tick in each tick. */
void cq_controller_apply_records(struct cq_controller *c);
void cq_controller_drop_pending_entries(struct cq_controller *c);
/*
 * Writes the record by compare-and-swap. Returns false if nothing was sent: a
 * write of this job or too many writes are in flight, a retry delay runs, or
 * this process may not command. The caller tries again later.
 */
bool cq_job_write(struct cq_job *job, const struct cq_job_record *next,
		  int64_t now_ns);
struct cq_controller_store_call *cq_controller_store_call_create(
	struct cq_controller *c, const char *job_id,
	void (*done)(struct cq_controller *c, const char *job_id,
		     const struct cq_store_result *result));
void cq_controller_on_store_result(void *ctx,
				   const struct cq_store_result *result);
void cq_job_free(void *data);
/*
 * Handles the answer to a removal: forgets the job, or continues with the newer
 * record that a conflict returned.
 */
void cq_controller_on_record_removed(struct cq_controller *c,
				     struct cq_job *job,
				     const struct cq_store_result *result);
/*
 * Discards the gang, the placements and the stop request of the attempt in
 * memory.
 */
void cq_job_clear_attempt(struct cq_job *job);

/* controller_history.c */
void cq_controller_history_reset(struct cq_controller *c, int64_t now_ns);
/* Adds the run time of a job that finished, and reports it to the planner. */
void cq_controller_history_add(struct cq_controller *c, const char *workspace,
			       const char *class_name, int64_t declared_ms,
			       int64_t run_ms);
void cq_controller_history_tick(struct cq_controller *c, int64_t now_ns);

/* controller_jobs.c */
void cq_job_mark_dirty(struct cq_job *job);
void cq_job_reconcile(struct cq_job *job, int64_t now_ns);
const struct cq_controller_dc *cq_controller_find_dc(struct cq_controller *c,
						     const char *name);

/* controller_move.c */
bool cq_job_should_move(const struct cq_job *job);
void cq_job_begin_move(struct cq_job *job, int64_t now_ns);
/*
 * Returns false if the record could not be written now; the caller tries again
 * later.
 */
bool cq_job_move_to(struct cq_job *job, const char *data_centre,
		    const char *reason, int64_t now_ns);
void cq_job_continue_move(struct cq_job *job, int64_t now_ns);
void cq_job_remove_record(struct cq_job *job, int64_t now_ns);

/* controller_offer.c */
void cq_controller_read_offers(struct cq_controller *c, int64_t now_ns);
void cq_controller_publish_offer(struct cq_controller *c,
				 const struct cq_snapshot *snapshot,
				 const struct cq_plan *plan, int64_t now_ns);
/*
 * Whether the offers read so far show a data centre where the job fits; false
 * for a job that names its data centre.
 */
bool cq_controller_fits_elsewhere(struct cq_controller *c,
				  const struct cq_job_record *record);
/*
 * Moves a job that can never run here to a data centre where it fits. Returns
 * false if there is none; true also if the offers have not been read yet or the
 * move must be tried again.
 */
bool cq_job_move_unplaceable(struct cq_job *job, int64_t now_ns);
struct cq_controller_snapshot;
/* Hands jobs with long waits over to data centres with free capacity. */
void cq_controller_hand_over_jobs(struct cq_controller *c,
				  const struct cq_controller_snapshot *s,
				  const struct cq_plan *plan, int64_t now_ns);

/* controller_workers.c */
extern const struct cq_gang_ops cq_controller_gang_ops;
struct cq_controller_command *
cq_controller_command_create(struct cq_controller *c, uint32_t worker,
			     int64_t now_ns);
/* Whether the call was sent under the current epoch. */
bool cq_controller_command_is_current(
	const struct cq_controller_command *command);
/* Stops tasks of the worker that belong to no current attempt. */
void cq_controller_stop_stray_tasks(struct cq_controller *c, uint32_t worker);
void cq_controller_task_changed(void *ctx, const struct cq_task_status *task,
				bool present, int64_t sent_ns);
void cq_controller_throttle(struct cq_controller *c, const char *task_id,
			    uint32_t worker, uint32_t percent, int64_t now_ns);
void cq_controller_probe(struct cq_controller *c, uint32_t worker,
			 int64_t now_ns);

/* controller_sync.c */
void cq_controller_sync_workers(struct cq_controller *c, int64_t now_ns);
/* Whether every listed worker has reported in this epoch or is lost. */
bool cq_controller_all_reported_or_lost(struct cq_controller *c);
/*
 * Time by which all leases that any owner granted to the worker have expired,
 * so that its tasks have ended. With node NULL only leases granted before this
 * epoch count.
 */
int64_t cq_controller_tasks_gone_by_ns(const struct cq_controller *c,
				       const struct cq_fleet_node *node);
/* Sets the number of listed workers, on which the sync interval depends. */
void cq_controller_host_count_changed(struct cq_controller *c, uint32_t workers,
				      int64_t now_ns);
/*
 * Records that a lease is being granted to the worker by a start or a renewal.
 */
void cq_controller_record_lease(struct cq_controller *c,
				struct cq_fleet_node *node, int64_t now_ns);

/* controller_plan.c */
void cq_controller_plan(struct cq_controller *c, int64_t now_ns);

/* controller_report.c */
void cq_controller_update_shortfalls(struct cq_controller *c,
				     const struct cq_snapshot *snapshot,
				     const struct cq_plan *plan);

#endif
