/*
 * Progress of a workload: the stages of its live occurrences (one step of one
 * occurrence each), their tasks, and the run that each task has on a worker.
 *
 * An occurrence comes into being when it is due and is freed when it has ended,
 * so that neither memory nor the progress record depends on how many there are.
 *
 * The structures hold state only: no I/O and no clock. Progress is written to
 * the store as JSON after every change that must survive a restart of the
 * process: a run before its start is sent, the end of a run before it is
 * acknowledged to the worker.
 */
#ifndef CHESTNUTQUAY_BATCH_H
#define CHESTNUTQUAY_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/executor.h"
#include "chestnutquay/workload.h"

/*
 * Most tasks of the live occurrences of a batch. A single occurrence always
 * fits.
 */
#define CQ_BATCH_MAX_LIVE_TASKS CQ_WORKLOAD_MAX_TASKS
/*
 * Most tasks of the live occurrences of a batch that nothing has started of. A
 * single such occurrence always fits.
 */
#define CQ_BATCH_MAX_UNSTARTED_TASKS 1024
/*
 * Bytes that a run adds to the progress record at most, with names of the usual
 * length.
 */
#define CQ_BATCH_RUN_RECORD_BYTES 256
/* Buffer size for a task name WORKLOAD_ID.OCCURRENCE.STEP.INDEX */
#define CQ_TASK_NAME_BYTES 64

enum cq_batch_state {
	CQ_BATCH_QUEUED, /* no task has been started yet */
	CQ_BATCH_RUNNING,
	CQ_BATCH_COMPLETED, /* all stages are done */
	CQ_BATCH_FAILED,    /* a task or a gang used up its attempts */
	CQ_BATCH_CANCELLED,
};

const char *cq_batch_state_string(enum cq_batch_state state);
bool cq_batch_state_parse(const char *text, enum cq_batch_state *state);
bool cq_batch_state_is_terminal(enum cq_batch_state state);

enum cq_run_phase {
	CQ_RUN_NONE,
	CQ_RUN_RECORDING,  /* being written to the store; start not sent yet */
	CQ_RUN_START_SENT, /* start sent, not confirmed */
	/* Read from the store; start sent by a previous owner. */
	CQ_RUN_RESTORED,
	/* The worker answered the start or reported the run. */
	CQ_RUN_CONFIRMED,
};

struct cq_batch;
struct cq_pool_worker;
struct cq_stage;

struct cq_task {
	struct cq_stage *stage;
	uint32_t index;
	bool done;
	uint32_t run;	       /* number of the last run; 0: none yet */
	uint32_t previous_run; /* the same before the current run */
	uint32_t failures;
	char *checkpoint; /* latest checkpoint of any run; NULL: none */

	/* Current run; its phase is CQ_RUN_NONE if there is none. */
	enum cq_run_phase phase;
	struct cq_pool_worker *worker;
	uint32_t pool_index; /* its place in the list of the worker's runs */
	/* Batch version that the store must hold before the start is sent. */
	uint64_t recorded_version;
	int64_t start_sent_ns; /* when a start was last sent */
	/* When the worker last answered the start or reported the run. */
	int64_t confirmed_ns;
	int64_t started_ns; /* when the worker first confirmed the run */
	/* A start got no answer; the worker may still execute it later. */
	bool start_unanswered;
	bool start_in_flight;
	bool stopping; /* the run has to be stopped */
	bool stop_in_flight;
	bool stop_answered;
	int64_t stop_sent_ns;
	int64_t stop_answered_ns;
	uint32_t pace_percent;
	uint32_t load; /* as reported, see struct cq_executor_running */
	int64_t pace_changed_ns;
};

/* One step of one occurrence of a workload */
struct cq_stage {
	struct cq_batch *batch;
	const struct cq_workload_step *step;
	uint32_t occurrence;
	uint32_t step_index;
	struct cq_task *tasks; /* array of step->tasks */
	uint32_t done_count;
	uint32_t active_count; /* tasks that have a current run */
	uint32_t gang_failures;
	uint32_t gang_failed_run; /* last run counted in gang_failures */
	bool started;		  /* at least one task has been started */
	int64_t ready_ns; /* when it became ready to start; 0: not yet */
	/* Since when it has been ready without a start; 0: it isn't ready */
	int64_t waiting_ns;
	/* Preemption rank, see stage_rank.h; lower goes first. */
	uint32_t rank;
	uint32_t planned_round; /* the last one that came to it; 0: none */
	/*
	 * Since when workers have been reserved for it without a start, and
	 * since when none are as that has brought nothing; 0: not so
	 */
	int64_t reserved_ns;
	int64_t released_ns;
};

/* An occurrence of a workload that is due and has not ended */
struct cq_occurrence {
	uint32_t number;
	struct cq_stage *stages; /* array of the workload's step_count */
};

struct cq_batch {
	struct cq_workload *workload;
	/*
	 * Of each step, the longest path of estimates that begins with it; NULL
	 * until stage_order.c computes them.
	 */
	int64_t *longest_paths_ms;
	/* struct cq_occurrence, in the order of their numbers */
	GPtrArray *live;
	/* Number of occurrences that have come into being, live or ended. */
	uint32_t opened;
	enum cq_batch_state state;
	bool cancelled; /* cancellation was requested */
	/* When it was accepted, on the dispatcher's clock. */
	int64_t accepted_ns;
	int64_t ended_ns;
	/* Incremented by each change that must be written to the store. */
	uint64_t version;
	/* Latest version that the store is known to hold. */
	uint64_t durable_version;
	/* Limit of its tasks in occurrences that nothing has started of */
	uint32_t max_unstarted;
	/* The batch is queued for being written to the store. */
	bool dirty_queued;
	/*
	 * Most bytes of the progress record, 0: no limit; its bytes when it was
	 * last put together, and the runs since then.
	 */
	uint64_t max_record_bytes;
	uint64_t record_bytes;
	uint32_t runs_since_record;
	/* When the record is put together again at the earliest */
	int64_t next_record_ns;
	uint32_t active_count;	  /* tasks that have a current run */
	uint32_t recording_count; /* of them, those in CQ_RUN_RECORDING */
	/*
	 * Most tasks that may have a run at a time, set when the store refused
	 * the progress record as too large; 0: no limit
	 */
	uint32_t max_active;
	/* When the refused record is written again; 0: none is refused. */
	int64_t rewrite_ns;
	/* Version at which ended occurrences were last looked for */
	uint64_t closed_version;
	/*
	 * Limit that the failures of all tasks are known to be below; 0: they
	 * have to be compared with it.
	 */
	uint32_t checked_attempts;
};

/*
 * Takes ownership of the workload. Occurrences without a due time are live from
 * the beginning.
 */
struct cq_batch *cq_batch_create(struct cq_workload *workload);
void cq_batch_destroy(struct cq_batch *batch);

/*
 * Brings occurrences into being that are due at unix_ms, in their order. While
 * the live ones have CQ_BATCH_MAX_LIVE_TASKS tasks, or those that nothing has
 * started of max_unstarted ones, further ones wait.
 */
void cq_batch_open_due(struct cq_batch *batch, int64_t unix_ms);
/*
 * Frees occurrences that have ended: all stages are done and no run is left.
 * Pointers to their stages and tasks become invalid.
 */
void cq_batch_close_ended(struct cq_batch *batch);
/*
 * Adds the occurrence, which must be a later one than those that are live. Used
 * to restore a batch.
 */
struct cq_occurrence *cq_batch_open(struct cq_batch *batch, uint32_t number);
/* Frees all live occurrences, before the batch is restored. */
void cq_batch_clear(struct cq_batch *batch);
/* True if another live occurrence would exceed CQ_BATCH_MAX_LIVE_TASKS. */
bool cq_batch_is_full(const struct cq_batch *batch);

/* Number of the stages of all live occurrences. */
uint32_t cq_batch_stage_count(const struct cq_batch *batch);
/* The stage at an index below cq_batch_stage_count(). */
struct cq_stage *cq_batch_stage_at(const struct cq_batch *batch, uint32_t i);
/* Returns NULL if the occurrence is not live or the step is out of range. */
struct cq_stage *cq_batch_stage(const struct cq_batch *batch,
				uint32_t occurrence, uint32_t step);
/*
 * Finds a task by its name WORKLOAD_ID.OCCURRENCE.STEP.INDEX; NULL if it does
 * not belong to this batch.
 */
struct cq_task *cq_batch_find_task(struct cq_batch *batch, const char *name);
/* Writes the name of the task; name must hold CQ_TASK_NAME_BYTES. */
void cq_task_name(const struct cq_task *task, char *name);
/*
 * Copies the workload id (CQ_WORKLOAD_ID_BYTES) out of a task name; false if
 * the name is malformed.
 */
bool cq_task_name_batch(const char *name, char *id);

/* True if all steps that the stage depends on are done. */
bool cq_stage_unblocked(const struct cq_stage *stage);
/*
 * True if all tasks are done; one completed member is enough for a gang. A
 * long-running stage is never done.
 */
bool cq_stage_done(const struct cq_stage *stage);
/*
 * True if a task needs a run. A gang starts as a whole, so it waits only when
 * none of its members has a run.
 */
bool cq_stage_waiting(const struct cq_stage *stage);
bool cq_batch_has_runs(const struct cq_batch *batch);
/* Memory that the batch takes, without checkpoints. */
uint64_t cq_batch_bytes(const struct cq_batch *batch);
/*
 * How many more tasks may get a run, so that the progress record stays within
 * its limit. None may while a refused record waits to be written again.
 */
uint32_t cq_batch_active_room(const struct cq_batch *batch);
/* True if all stages of the occurrence are done and no run of it is left. */
bool cq_occurrence_ended(const struct cq_batch *batch,
			 const struct cq_occurrence *occurrence);
/* True if a task of the occurrence has been started. */
bool cq_occurrence_started(const struct cq_batch *batch,
			   const struct cq_occurrence *occurrence);
/* True if at least one task has been started. */
bool cq_batch_started(const struct cq_batch *batch);

/*
 * Assigns a run of the task to the worker and books its resources there; the
 * caller checks that they are free.
 */
void cq_task_assign(struct cq_task *task, struct cq_pool_worker *worker,
		    uint32_t run);
/* The start of the run, which the store holds now, is sent. */
void cq_task_start_sent(struct cq_task *task);
/*
 * Takes back a run in phase CQ_RUN_RECORDING, which neither the store nor a
 * worker knows; its number is used again.
 */
void cq_task_unassign(struct cq_task *task);
/*
 * Ends the current run with the given outcome, counts a failure and updates the
 * batch. checkpoint may be NULL or "". max_attempts 0 means that the limit is
 * not known yet. Returns true if the batch reached a terminal state by this
 * call.
 */
bool cq_task_end(struct cq_task *task, enum cq_run_end outcome,
		 const char *checkpoint, uint32_t max_attempts);
/*
 * Applies the limit to failures that were counted while it was not known: the
 * batch fails if a task has failed max_attempts times. Returns true if the
 * batch failed by this call.
 */
bool cq_batch_check_attempts(struct cq_batch *batch, uint32_t max_attempts);
/* Stores a newer checkpoint of the current run; NULL and "" are ignored. */
void cq_task_checkpoint(struct cq_task *task, const char *checkpoint);
/*
 * Returns the next run number of a gang or task: above min_run and above every
 * number used so far.
 */
uint32_t cq_stage_next_run(const struct cq_stage *stage, uint32_t min_run);
/*
 * Returns the checkpoint that a start of the task resumes from; NULL: it starts
 * from the beginning.
 */
const char *cq_task_resume_point(const struct cq_task *task);

/*
 * Encodes the progress record for the store; freed with free(). Occurrences
 * that nothing has started of need no row, but for those before others.
 */
char *cq_batch_format(const struct cq_batch *batch);

/*
 * Returns the worker of a restored run, which the caller finds or creates;
 * NULL: the run is left out.
 */
typedef struct cq_pool_worker *cq_batch_worker_fn(void *ctx, const char *id,
						  int64_t born_unix_ms);
/*
 * Restores a newly created batch from its progress record. If the record cannot
 * be read, returns false and sets err; then the batch has no runs and is of no
 * use, as nobody knows what has run of it.
 */
bool cq_batch_restore(struct cq_batch *batch, const char *json, size_t len,
		      cq_batch_worker_fn *worker, void *ctx,
		      struct cq_error *err);
/* Reads only the state from a progress record, for answers to callers. */
bool cq_batch_parse_record_state(const char *json, size_t len,
				 enum cq_batch_state *state);

#endif
