/*
 * A workload with its progress: stages (one step of one occurrence), their
 * tasks, and the run that each task has on a worker.
 *
 * The structures are pure state: no I/O, no clock. The progress is kept in the
 * store as JSON after every change that must outlive the process: a run before
 * it is ordered, an end before it is acknowledged to the worker.
 */
#ifndef CHESTNUTQUAY_BATCH_H
#define CHESTNUTQUAY_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/executor.h"
#include "chestnutquay/workload.h"

/* ID.K.STEP.INDEX */
#define CQ_TASK_NAME_BYTES 64

enum cq_batch_state {
	CQ_BATCH_QUEUED, /* no task has started */
	CQ_BATCH_RUNNING,
	CQ_BATCH_COMPLETED, /* all tasks ended done */
	CQ_BATCH_FAILED,    /* a task, or a gang, failed too often */
	CQ_BATCH_CANCELLED,
};

const char *cq_batch_state_string(enum cq_batch_state state);
bool cq_batch_state_parse(const char *text, enum cq_batch_state *state);
bool cq_batch_state_is_terminal(enum cq_batch_state state);

enum cq_run_phase {
	CQ_RUN_NONE,
	CQ_RUN_RECORDING,  /* being written to the store; not ordered yet */
	CQ_RUN_START_SENT, /* start sent, not confirmed */
	CQ_RUN_RESTORED,   /* read from the store; ordered by a former owner */
	CQ_RUN_CONFIRMED,  /* the worker has answered or listed it */
};

struct cq_stage;
struct cq_batch;
struct cq_pool_worker;

struct cq_task {
	struct cq_stage *stage;
	uint32_t index;
	bool done;
	uint32_t run; /* number of the last run; 0: none yet */
	uint32_t failures;
	char *checkpoint; /* of the last run that had one; NULL: none */

	/* The present run; phase NONE: none. */
	enum cq_run_phase phase;
	struct cq_pool_worker *worker;
	uint64_t recorded_version; /* of the batch, when it is RECORDING */
	int64_t start_sent_ns;	   /* last start sent */
	int64_t confirmed_ns; /* the start was answered, or it was listed */
	int64_t started_ns;   /* first of them */
	/* A start was sent that got no answer: it may be executed later. */
	bool start_unanswered;
	bool start_in_flight;
	bool stopping; /* to be ended by a stop */
	bool stop_in_flight;
	bool stop_answered;
	int64_t stop_sent_ns;
	int64_t stop_answered_ns;
	uint32_t pace_percent;
	uint32_t load; /* see cq_executor_running */
	int64_t pace_changed_ns;
};

/* One step of one occurrence. */
struct cq_stage {
	struct cq_batch *batch;
	const struct cq_workload_step *step;
	uint32_t occurrence;
	uint32_t step_index;
	struct cq_task *tasks; /* step->tasks of them */
	uint32_t done_count;
	uint32_t active_count; /* tasks with a run */
	uint32_t gang_failures;
	uint32_t gang_failed_run; /* last run that counted as failed */
	bool started;		  /* a task was started once */
	int64_t ready_ns;	  /* when its turn came; 0: not yet */
	uint32_t rank;		  /* see stage_rank.h; lower ones go first */
};

struct cq_batch {
	struct cq_workload *workload;
	struct cq_stage *stages; /* occurrence x step_count */
	uint32_t stage_count;
	enum cq_batch_state state;
	bool cancelled;	     /* somebody asked for it */
	int64_t accepted_ns; /* on the dispatcher's clock */
	int64_t ended_ns;
	/* Counts changes that the store must hold. */
	uint64_t version;
	uint64_t durable_version;
	bool dirty_queued;
	int64_t progress_revision; /* of the record in the store; 0: none */
};

/* Takes the workload. */
struct cq_batch *cq_batch_create(struct cq_workload *workload);
void cq_batch_destroy(struct cq_batch *batch);

struct cq_stage *cq_batch_stage(struct cq_batch *batch, uint32_t occurrence,
				uint32_t step);
/* The task of a name ID.K.STEP.INDEX; NULL if it is not of this batch. */
struct cq_task *cq_batch_find_task(struct cq_batch *batch, const char *name);
/* Writes the name into CQ_TASK_NAME_BYTES. */
void cq_task_name(const struct cq_task *task, char *name);
/* Copies the id of the batch out of a task's name; false if malformed. */
bool cq_task_name_batch(const char *name, char *id);

/* All steps that the stage depends on have ended done. */
bool cq_stage_unblocked(const struct cq_stage *stage);
/* All tasks are done; one done member is enough for a gang. */
bool cq_stage_done(const struct cq_stage *stage);
/* A task waits for a run; gangs wait as a whole, without any run left. */
bool cq_stage_waiting(const struct cq_stage *stage);
bool cq_batch_has_runs(const struct cq_batch *batch);
/* Some task has been started. */
bool cq_batch_started(const struct cq_batch *batch);

/* The task gets its next run on the worker; resources are the caller's. */
void cq_task_assign(struct cq_task *task, struct cq_pool_worker *worker,
		    uint32_t run);
/*
 * The present run ended in this way. Counts failures and updates the batch;
 * checkpoint may be NULL or "". Returns true if the batch reached a terminal
 * state by it.
 */
bool cq_task_end(struct cq_task *task, enum cq_run_end how,
		 const char *checkpoint, uint32_t max_attempts);
/*
 * Ends that came while the limit was not known count too: the batch fails if
 * a task has failed max_attempts times. Returns true if it failed by it.
 */
bool cq_batch_check_attempts(struct cq_batch *batch, uint32_t max_attempts);
/* Keeps a newer checkpoint of the present run. */
void cq_task_checkpoint(struct cq_task *task, const char *checkpoint);
/* The next run number of a gang or task; never one that was used. */
uint32_t cq_stage_next_run(const struct cq_stage *stage, uint32_t floor_run);
/* What a start of the task resumes from; NULL: from the beginning. */
const char *cq_task_resume_point(const struct cq_task *task);

/* The progress as kept in the store; freed with free(). */
char *cq_batch_format(const struct cq_batch *batch);

/* Where a restored run is; the caller finds or creates the worker. */
typedef struct cq_pool_worker *cq_batch_worker_fn(void *ctx, const char *id,
						  int64_t born_unix_ms);
/* Reads a progress record into a new batch. */
bool cq_batch_restore(struct cq_batch *batch, const char *json, size_t len,
		      cq_batch_worker_fn *worker, void *ctx,
		      struct cq_error *err);
/* Only the state of a progress record, for answers to callers. */
bool cq_batch_parse_record_state(const char *json, size_t len,
				 enum cq_batch_state *state);

#endif
