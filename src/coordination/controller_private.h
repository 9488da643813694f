#ifndef CQ_CONTROLLER_PRIVATE_H
#define CQ_CONTROLLER_PRIVATE_H

#include <glib.h>

#include "chestnutquay/controller.h"
#include "chestnutquay/fleet_state.h"
#include "chestnutquay/run_history.h"

/* The last decisions about a job, for people. */
#define CQ_JOB_DECISIONS 8

struct cq_job_decision {
	int64_t unix_ms;
	const char *decision; /* of a string table */
	char reason[CQ_JOB_REASON_BYTES];
};

/* What a workspace holds in this data centre, as of the last plan. */
struct cq_account {
	uint32_t guaranteed_accelerators;
	uint32_t short_accelerators; /* guaranteed, but not there */
	uint32_t used_accelerators;
	uint32_t borrowed_accelerators; /* of those used */
	uint32_t running_jobs;
	uint32_t waiting_jobs;
};

enum cq_controller_count {
	CQ_COUNT_TAKEOVERS,
	CQ_COUNT_PLANS,
	CQ_COUNT_STARTS, /* of attempts */
	CQ_COUNT_FINISHED,
	CQ_COUNT_FAILED,
	CQ_COUNT_LOST,
	CQ_COUNT_UNDONE,
	CQ_COUNT_STOPPED,
	CQ_COUNT_WORKERS_LOST,
	CQ_COUNT_STRAYS,
	CQ_COUNT_RECORDS_TAKEN,
	CQ_COUNT_WRITES,
	CQ_COUNT_COMMANDS,
	CQ_COUNT_SYNCS,
	CQ_COUNT_HISTORY_WRITES,
	CQ_COUNTS,
};

struct cq_job_place {
	uint32_t worker; /* UINT32_MAX: not known */
	uint64_t accelerator_mask;
	uint64_t cell;
};

struct cq_job {
	struct cq_controller *controller;
	struct cq_job_record record; /* as in the store */
	int64_t revision;
	uint64_t serial; /* differs from earlier jobs of the same id */
	bool dirty;	 /* queued for cq_job_reconcile() */
	bool seen;	 /* during a reading of all records */
	GList dirty_link;

	/* The write under way. */
	struct cq_job_record next;
	bool writing;
	int64_t retry_ns; /* no write before that */

	/* The attempt under way. */
	struct cq_gang *gang;
	struct cq_job_place *places; /* one per rank */
	uint32_t places_attempt;
	bool learned; /* the planner knows how the attempt ended */
	int64_t started_ns;
	int64_t begun_ns;      /* when this process began to look after it */
	int64_t not_before_ns; /* of the next attempt */
	uint32_t failures;     /* consecutive attempts that did not run */

	/* A stop that the planner announced. */
	enum cq_reason stop_reason;
	int64_t stop_requested_ns; /* 0: none */
	int64_t stop_deadline_ns;
	char stop_for[CQ_JOB_ID_BYTES];

	/* Last word of the planner. */
	int64_t expected_start_ns;
	int64_t expected_end_ns;
	enum cq_reason wait_reason;
	char why[CQ_JOB_REASON_BYTES];
	struct cq_job_decision *decisions; /* a ring; NULL: none yet */
	uint32_t decision_count;
	uint32_t snapshot_index;
};

/*
 * What a data centre offers. Element k of an array counts the workers with at
 * least k accelerators; those of a rack are the most of any rack.
 */
struct cq_offer {
	char name[CQ_JOB_NAME_BYTES];
	int64_t written_unix_ms;
	uint32_t total[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t rack_total[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t free[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint32_t rack_free[CQ_FLEET_MAX_ACCELERATORS + 1];
	uint64_t millicores; /* of the largest worker */
	uint64_t memory_bytes;
	uint32_t waiting; /* jobs */
};

/* A call to the store under way. */
struct cq_controller_call {
	struct cq_controller *controller;
	struct cq_store_call *call;
	void (*done)(struct cq_controller *c, const char *job_id,
		     const struct cq_store_result *result);
	char job_id[CQ_JOB_ID_BYTES];
	uint64_t serial; /* of the job; 0: none */
};

/* A call to a worker under way. */
struct cq_controller_command {
	struct cq_controller *controller;
	int64_t epoch;
	int64_t sent_ns;
	uint32_t worker;
	uint32_t attempt;
	uint32_t rank;
	enum cq_gang_command command;
	bool full;  /* sync */
	bool probe; /* start of a probe */
	char job_id[CQ_JOB_ID_BYTES];
};

/* The run-time history of this data centre and its key in the store. */
struct cq_history_state {
	struct cq_run_history *runs;
	int64_t revision; /* of the key; 0: absent */
	int64_t next_ns;  /* no call before that */
	uint64_t added;	  /* ends added in this epoch */
	uint64_t sent_added;
	uint64_t sent_sequence; /* of the last write */
	bool known;		/* the key has been read */
	bool calling;
	bool dirty;
	bool hurried; /* written because of a planned stop */
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

	int64_t epoch;	   /* 0: not the owner */
	int64_t caretaker; /* epoch used for renewals without an owner */
	int64_t since_ns;  /* when the epoch began */
	int64_t tick_ns;
	int64_t resumed_ns; /* end of the last pause of this process */
	int64_t load_ns;
	int64_t revision; /* up to which records are known or wait */
	int64_t watch_ns;
	uint64_t sequence;
	uint64_t serial; /* of the last job created */
	GRand *random;

	uint32_t listed_workers;
	int64_t former_extra_ns; /* of the sync interval, for a longer list */
	int64_t former_until_ns;

	GHashTable *jobs;   /* id -> struct cq_job */
	GHashTable *active; /* set of jobs with a gang */
	GQueue *dirty;
	GQueue *untaken;	 /* entries of answers that wait for a tick */
	uint32_t records_left;	 /* that may be taken until the next tick */
	GHashTable *store_calls; /* set of struct cq_controller_call */
	GHashTable *commands;	 /* set of struct cq_controller_command */
	uint32_t writes;
	uint32_t commands_in_flight; /* without syncs */

	struct cq_history_state history;

	struct cq_policy policy;
	GArray *dcs;
	GArray *classes;
	GArray *guarantees;
	int64_t dc_notice_deadline_ns;
	int64_t dc_in_since_ns;
	int64_t checkpoint_cost_ns; /* mean of those measured */
	int64_t plan_ns;	    /* of the last plan */
	char plan_error[CQ_ERROR_MESSAGE_BYTES];
	GPtrArray *shortfalls;			/* texts of the last plan */
	struct cq_counter *counters[CQ_COUNTS]; /* NULL without metrics */
	struct cq_histogram *plan_time;
	struct cq_gauge *jobs_known;
	struct cq_gauge *gangs_active;
	struct cq_gauge *workers_up;
	GHashTable *accounts; /* workspace -> struct cq_account */
	GHashTable *probes;   /* worker name -> probe number + 1 */
	uint32_t probe_number;
	GQueue *retired; /* ids of ended jobs, oldest first */

	GArray *offers; /* of struct cq_offer, as last read */
	int64_t offers_ns;
	char *offer_text; /* last one written, without its time */
	int64_t offer_write_ns;
	int64_t offer_refresh_ns;

	bool draining;
	bool listed; /* the answer with all records has arrived */
	bool loaded; /* all records have been taken */
	bool watching;
	bool hosts_known;
	bool dc_in;
	bool plan_wanted;
	bool offers_known;
};

/* controller_record.c: counters, and decisions kept for people. */
void cq_controller_open_metrics(struct cq_controller *c);
void cq_controller_count(struct cq_controller *c,
			 enum cq_controller_count count);
/*
 * Counts the time from submission to the first start, and to the end of jobs
 * that were not cancelled, by class.
 */
void cq_controller_observe_phase(struct cq_controller *c,
				 const struct cq_job_record *before,
				 const struct cq_job_record *after);
void cq_controller_set_gauges(struct cq_controller *c);
void cq_job_decided(struct cq_job *job, const char *decision,
		    const char *reason);

/* controller_store.c */
void cq_controller_load(struct cq_controller *c, int64_t now_ns);
void cq_controller_watch(struct cq_controller *c, int64_t now_ns);
void cq_controller_cancel_calls(struct cq_controller *c);
/* Takes records that wait, as many as a tick may. */
void cq_controller_take_records(struct cq_controller *c);
void cq_controller_drop_untaken(struct cq_controller *c);
/*
 * Writes the record by compare-and-swap. Returns false when too many writes
 * are in flight or the job has to wait; the caller tries again later.
 */
bool cq_job_write(struct cq_job *job, const struct cq_job_record *next,
		  int64_t now_ns);
struct cq_controller_call *cq_controller_call_create(
	struct cq_controller *c, const char *job_id,
	void (*done)(struct cq_controller *c, const char *job_id,
		     const struct cq_store_result *result));
void cq_controller_on_store(void *ctx, const struct cq_store_result *result);
void cq_job_free(void *data);
/* The record was removed, or a conflicting one was found instead. */
void cq_controller_forget_job(struct cq_controller *c, struct cq_job *job,
			      const struct cq_store_result *result);
/* Ends the attempt in memory: gang and places. */
void cq_job_drop_attempt(struct cq_job *job);

/* controller_history.c */
void cq_controller_history_reset(struct cq_controller *c, int64_t now_ns);
/* A job ended by itself; teaches the planner too. */
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
/* False: not now; the caller tries again later. */
bool cq_job_move_to(struct cq_job *job, const char *data_centre,
		    const char *reason, int64_t now_ns);
void cq_job_continue_move(struct cq_job *job, int64_t now_ns);
void cq_job_remove_record(struct cq_job *job, int64_t now_ns);

/* controller_offer.c */
void cq_controller_read_offers(struct cq_controller *c, int64_t now_ns);
void cq_controller_publish_offer(struct cq_controller *c,
				 const struct cq_snapshot *snapshot,
				 const struct cq_plan *plan, int64_t now_ns);
/* As far as is known; false for a job that names its data centre. */
bool cq_controller_fits_elsewhere(struct cq_controller *c,
				  const struct cq_job_record *record);
/*
 * A job that can never run here: whether it goes to another data centre, or
 * that is not known yet.
 */
bool cq_job_move_misfit(struct cq_job *job, int64_t now_ns);
struct cq_controller_snapshot;
/* Hands jobs that wait long over to data centres with room for them. */
void cq_controller_hand_over(struct cq_controller *c,
			     const struct cq_controller_snapshot *s,
			     const struct cq_plan *plan, int64_t now_ns);

/* controller_workers.c */
extern const struct cq_gang_ops cq_controller_gang_ops;
struct cq_controller_command *
cq_controller_command_create(struct cq_controller *c, uint32_t worker,
			     int64_t now_ns);
/* Whether a completion belongs to the present epoch. */
bool cq_controller_command_is_current(
	const struct cq_controller_command *command);
/* Stops tasks of the worker that belong to no attempt under way. */
void cq_controller_stop_strays(struct cq_controller *c, uint32_t worker);
void cq_controller_task_changed(void *ctx, const struct cq_task_status *task,
				bool present, int64_t sent_ns);
void cq_controller_throttle(struct cq_controller *c, const char *task_id,
			    uint32_t worker, uint32_t percent, int64_t now_ns);
void cq_controller_probe(struct cq_controller *c, uint32_t worker,
			 int64_t now_ns);

/* controller_sync.c */
void cq_controller_sync_workers(struct cq_controller *c, int64_t now_ns);
/* Every listed worker has reported in this epoch or is lost. */
bool cq_controller_all_settled(struct cq_controller *c);
/* When the tasks of a worker without contact are certainly gone. */
int64_t cq_controller_gone_by_ns(const struct cq_controller *c,
				 const struct cq_fleet_node *node);
/* The interval of syncs depends on the number of listed workers. */
void cq_controller_list_changed(struct cq_controller *c, uint32_t workers,
				int64_t now_ns);
/* A start or a renewal with a lease is being sent. */
void cq_controller_lease_granted(struct cq_controller *c,
				 struct cq_fleet_node *node, int64_t now_ns);

/* controller_plan.c */
void cq_controller_plan(struct cq_controller *c, int64_t now_ns);

/* controller_report.c */
void cq_controller_note_shortfalls(struct cq_controller *c,
				   const struct cq_snapshot *snapshot,
				   const struct cq_plan *plan);

#endif
