/* Internal interfaces shared by the source files of the dispatcher. */
#ifndef CQ_COORDINATION_DISPATCHER_INTERNAL_H
#define CQ_COORDINATION_DISPATCHER_INTERNAL_H

#include "chestnutquay/batch.h"
#include "chestnutquay/dispatcher.h"
#include "chestnutquay/follower.h"
#include "chestnutquay/journal.h"
#include "chestnutquay/pool.h"
#include "chestnutquay/work_share.h"

/*
 * A run end reported by a worker that is not acknowledged to it until the store
 * holds it.
 */
struct unacknowledged_end {
	uint64_t number; /* given by the worker */
	/* "": the run belongs to no known batch */
	char batch_id[CQ_WORKLOAD_ID_BYTES];
	uint64_t version; /* of the batch that includes the end */
};

/*
 * State of the communication with a worker. An incarnation of a worker is the
 * time between two of its restarts.
 */
struct link {
	struct cq_dispatcher *d;
	struct cq_pool_worker *worker;
	bool fenced; /* it has answered a call with this epoch's fence */
	bool heartbeat_in_flight;
	bool heartbeat_failed; /* the last heartbeat was not answered with OK */
	int64_t heartbeat_sent_ns;
	bool probe_slot; /* counted in probes_in_flight */
	int64_t next_heartbeat_ns;
	int64_t heartbeat_answered_ns; /* last OK answer to a heartbeat */
	/* When the incarnation that the listing shows was learnt of. */
	int64_t incarnation_ns;
	int64_t last_answer_ns;
	/* The worker's clock showed clock_ms at clock_ns or shortly before. */
	int64_t clock_ms;
	int64_t clock_ns;
	/* Latest lease end granted, on the worker's clock. */
	int64_t lease_end_ms;
	/* Time by which the leases of all its runs have expired. */
	int64_t runs_expired_by_ns;
	uint64_t last_recorded_end; /* number of the last run end processed */
	/* Number up to which the run ends are in the store. */
	uint64_t last_durable_end;
	/* Last number acknowledged to the worker. */
	uint64_t last_acknowledged_end;
	/* Last number that the heartbeat in flight acknowledges. */
	uint64_t acknowledging_end;
	GArray *unacknowledged_ends;
	/*
	 * Since when each report has had a list of runs, or of ends, that could
	 * not be read as a whole; 0: the last one could.
	 */
	int64_t running_unreadable_ns;
	int64_t ended_unreadable_ns;
	int64_t odd_rows_logged_ns;
	uint32_t orders_left; /* see command_allow_orders() */
};

/* A record in the journal transaction that is in flight. */
struct written_batch {
	/* "": the record is of no batch, or the first one of a deleted batch */
	char batch_id[CQ_WORKLOAD_ID_BYTES];
	uint64_t version;
	bool deleted;
};

struct cq_dispatcher {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const struct cq_store *store;
	const struct cq_executor *executor;
	const struct cq_dispatcher_ops *ops;
	void *ctx;
	char *worker_prefix;
	cq_registration_parse_fn *parse_listing;
	int64_t epoch;
	int64_t created_ns;
	uint32_t store_timeout_ms;
	uint32_t max_lease_ms;
	uint32_t remote_factor;
	uint32_t run_number_floor; /* run numbers of this epoch are above it */

	const struct cq_queue_config *config;
	GHashTable *evacuated;
	struct cq_pool *pool;
	GHashTable *batches; /* id -> struct cq_batch, owned */
	/* id -> struct ended_job, owned: those whose records are in the store
	 */
	GHashTable *ended;
	GQueue to_delete; /* of them, struct ended_job, the earliest first */
	int64_t ended_retention_ns;
	int64_t next_delete_ns;
	/* Set of struct link that have unacknowledged ends. */
	GHashTable *links_with_ends;
	/* batch id -> JSON record read after the election */
	GHashTable *progress;
	struct cq_follower *workers;
	struct cq_follower *workloads;
	struct cq_store_call *list_call;
	struct cq_journal *journal;
	GQueue dirty; /* struct cq_batch with changes to be written */
	/* struct written_batch, in the transaction in flight */
	GArray *written_batches;
	char *pending_json;	       /* latest value for CQ_KEY_PENDING */
	int64_t next_pending_write_ns; /* -1: pending_json is to be written */
	uint64_t max_job_bytes;	       /* 0: no limit */
	uint64_t max_record_bytes;     /* 0: no limit */
	bool full;		       /* no further jobs are wanted */
	bool full_unwritten;	       /* CQ_KEY_FULL is to be written */
	uint32_t orders_left;	       /* see command_allow_orders() */
	uint32_t probes_in_flight;     /* without those silent for too long */
	ev_timer tick_timer;
	int64_t next_stop_check_ns; /* when all runs are checked again */
	ev_timer plan_timer;
	struct cq_work_share plan_share;
	uint32_t plan_round; /* see struct cq_stage_plan */
	bool round_unfinished;
	bool starts_held_back; /* until records are in the store */

	struct cq_counter *starts;
	struct cq_counter *stops;
	struct cq_counter *heartbeats;
	struct cq_counter *ends[CQ_RUN_LOST + 1];
	struct cq_counter *preemptions;
	struct cq_counter *refused_records;
	struct cq_counter *odd_rows;
	struct cq_counter *deleted_jobs;
	struct cq_counter *unreadable_records;
	struct cq_counter *plan_work;
	struct cq_histogram *plan_time;
	struct cq_histogram *wait_time;
};

int64_t dispatcher_now_ns(const struct cq_dispatcher *d);
/* Queues the batch to be written to the store. */
void dispatcher_mark_dirty(struct cq_dispatcher *d, struct cq_batch *batch);
/* Runs a scheduling plan shortly. */
void dispatcher_plan_soon(struct cq_dispatcher *d);
/* The queue of the batch; NULL if it is not configured. */
const struct cq_queue *dispatcher_queue(const struct cq_dispatcher *d,
					const struct cq_batch *batch);
/*
 * Records the end of the task's current run. Stops the other runs of the batch
 * or of the gang if the end requires it.
 */
void dispatcher_end_run(struct cq_dispatcher *d, struct cq_task *task,
			enum cq_run_end how, const char *checkpoint);
/*
 * Fails the batch if one of its tasks has used up the attempts that its queue
 * allows. Returns true if the batch failed.
 */
bool dispatcher_check_attempts(struct cq_dispatcher *d, struct cq_batch *batch,
			       const struct cq_queue *queue);
/* Stops all runs of the batch. */
void dispatcher_stop_batch(struct cq_dispatcher *d, struct cq_batch *batch,
			   const char *reason);

/* dispatcher_store.c */
void dispatcher_store_open(struct cq_dispatcher *d, int64_t head_revision);
void dispatcher_store_close(struct cq_dispatcher *d);
/*
 * Retries the read of the progress records until it succeeds, then writes the
 * numbers of waiting jobs periodically.
 */
void dispatcher_store_tick(struct cq_dispatcher *d);
/* Whether the configuration, all workloads and their progress are loaded. */
bool dispatcher_loaded(const struct cq_dispatcher *d);

/* dispatcher_records.c */
extern const struct cq_journal_ops dispatcher_journal_ops;
/* Writes a record again that the store refused some time ago. */
void dispatcher_rewrite_refused(struct cq_dispatcher *d,
				struct cq_batch *batch);

/* dispatcher_ended.c */
void ended_jobs_open(struct cq_dispatcher *d);
void ended_jobs_close(struct cq_dispatcher *d);
/* The end of the job is in the store, and it has no runs. */
void ended_jobs_add(struct cq_dispatcher *d, const char *id);
/*
 * Whether the workload that the store has under the id is that of an ended job;
 * else it is one that was submitted after the deletion of that job.
 */
bool ended_jobs_ignore(struct cq_dispatcher *d, const char *id, bool cancelled);
/* The workload is gone from the store; false: this leader didn't delete it. */
bool ended_jobs_removed(struct cq_dispatcher *d, const char *id);
/* The journal has deleted the records. */
void ended_jobs_deleted(struct cq_dispatcher *d, const char *id);
/* Whether records may be deleted now. */
bool ended_jobs_due(const struct cq_dispatcher *d);
/* Fills in a transaction of deletions only; returns the number of records. */
uint32_t ended_jobs_collect(struct cq_dispatcher *d,
			    struct cq_journal_record *records, uint32_t max);

/* dispatcher_links.c */
struct link *link_create(struct cq_dispatcher *d,
			 struct cq_pool_worker *worker);
void link_destroy(struct link *link);
void link_tick(struct link *link, int64_t now_ns);
/* Marks run ends that the store holds now for acknowledgement. */
void link_update_acknowledged(struct link *link);
/* A new incarnation of the worker has begun. */
void link_reset_incarnation(struct link *link, int64_t born_unix_ms);
/* The worker answered; clock_ms is -1 if the answer had no clock reading. */
void link_note_answer(struct link *link, int64_t clock_ms);
/* Grants a new lease; returns its end on the worker's clock. */
int64_t link_grant(struct link *link);
struct cq_executor_target link_target(const struct link *link);

/* dispatcher_report.c */
/*
 * Updates the runs on the worker from the lists in its answer. Returns false if
 * its ends have been unreadable for a lease: the worker is of no use.
 */
bool link_read_report(struct link *link,
		      const struct cq_executor_report *report);

/* dispatcher_orders.c */
/* Sends the start of the task's current run. */
void command_start(struct cq_dispatcher *d, struct cq_task *task);
/*
 * Stops the task's current run; the command is repeated until the run has
 * ended.
 */
void command_stop(struct cq_dispatcher *d, struct cq_task *task,
		  const char *reason);
/* Stops a run on a worker that is not the current run of a known task. */
void command_stop_unknown(struct cq_dispatcher *d, struct link *link,
			  const char *task, uint32_t run);
/* Stops the task's current run if the records say that it must not go on. */
void command_stop_ended(struct cq_dispatcher *d, struct cq_task *task);
/* A tick begins: so many stops and repeated starts may be sent in it. */
void command_allow_orders(struct cq_dispatcher *d);
/* Sends unsent and unanswered stops, and unanswered starts when due. */
void command_retry(struct cq_dispatcher *d, struct cq_task *task,
		   int64_t now_ns);
/* Throttles the task's current run to percent of its speed. */
void command_pace(struct cq_dispatcher *d, struct cq_task *task,
		  uint32_t percent);
/* Starts the runs of the batch that the store holds now. */
void command_start_recorded(struct cq_dispatcher *d, struct cq_batch *batch);
/* Takes back the runs of the batch whose starts were not sent yet. */
void command_drop_recorded(struct cq_dispatcher *d, struct cq_batch *batch);

/* dispatcher_plan.c: plans the ready stages and starts them. */
void dispatcher_plan(struct cq_dispatcher *d);

#endif
