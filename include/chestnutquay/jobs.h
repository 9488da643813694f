/*
 * Job records as kept in the store under jobs/<data centre>/<id>.
 *
 * A record is created by the daemon that accepts the job and then changed by
 * compare-and-swap only, by the owner of its data centre; anybody may set the
 * request to cancel. The writer and the sequence let a writer recognise its
 * own write after a lost answer. Times are Unix milliseconds, -1 if unknown.
 */
#ifndef CHESTNUTQUAY_JOBS_H
#define CHESTNUTQUAY_JOBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"
#include "chestnutquay/fleet.h"

#define CQ_JOBS_PREFIX "jobs/"
#define CQ_JOB_ID_BYTES 40
#define CQ_JOB_NAME_BYTES 48
#define CQ_JOB_REASON_BYTES 160
#define CQ_JOB_TASK_ID_BYTES 64
#define CQ_JOB_KEY_BYTES 112
#define CQ_JOB_MAX_FAILED_WORKERS 8

enum cq_job_phase {
	CQ_PHASE_QUEUED,
	CQ_PHASE_STARTING, /* the start of the gang is in progress */
	CQ_PHASE_RUNNING,
	CQ_PHASE_CHECKPOINTED, /* stopped; resumes from its checkpoint */
	CQ_PHASE_MOVING, /* being handed over to the data centre moved_to */
	CQ_PHASE_FINISHED,
	CQ_PHASE_FAILED,
	CQ_PHASE_CANCELLED,
};

#define CQ_PHASE_COUNT 8

const char *cq_job_phase_string(enum cq_job_phase phase);
bool cq_job_phase_parse(const char *text, enum cq_job_phase *phase);
bool cq_job_phase_is_terminal(enum cq_job_phase phase);
/* Queued or checkpointed: waits for a start and has no tasks. */
bool cq_job_phase_is_waiting(enum cq_job_phase phase);
bool cq_job_phase_may_follow(enum cq_job_phase from, enum cq_job_phase to);

struct cq_job_record {
	char id[CQ_JOB_ID_BYTES];
	char workspace[CQ_JOB_NAME_BYTES];
	char class_name[CQ_JOB_NAME_BYTES];
	/* The only one allowed; "": any. */
	char data_centre[CQ_JOB_NAME_BYTES];

	/* Declared size. Accelerators, processor and memory are per task. */
	uint32_t tasks;
	enum cq_adjacency adjacency;
	uint32_t accelerators;
	uint32_t cpu_millicores;
	uint64_t memory_bytes;
	int64_t expected_ms; /* expected run time of the whole job, or -1 */
	bool can_checkpoint;

	enum cq_job_phase phase;
	bool cancel; /* cancellation was requested */
	uint32_t attempt;
	int64_t epoch; /* epoch of the owner that started the attempt */
	int64_t submitted_unix_ms;
	int64_t started_unix_ms; /* time of the last start */
	int64_t ended_unix_ms;
	int64_t expected_start_unix_ms;
	int64_t expected_end_unix_ms;
	int64_t done_ms; /* run time preserved by the last checkpoint */
	/* Attempt that made that checkpoint; 0: none. */
	uint32_t restore_attempt;
	/* How often it was stopped in favour of other jobs. */
	uint32_t evictions;
	uint32_t moves; /* number of moves between data centres */
	char moved_to[CQ_JOB_NAME_BYTES];
	/* Explanation of the phase for people. */
	char reason[CQ_JOB_REASON_BYTES];
	char failed_workers[CQ_JOB_MAX_FAILED_WORKERS][CQ_JOB_NAME_BYTES];
	uint32_t failed_worker_count;

	char writer[CQ_JOB_NAME_BYTES];
	uint64_t sequence;
	int64_t written_unix_ms;
};

void cq_job_record_init(struct cq_job_record *record);
/*
 * Reads a record from the store. The error names the field, its value and the
 * allowed range.
 */
bool cq_job_record_parse(const char *json, size_t len,
			 struct cq_job_record *record, struct cq_error *err);
/* Encodes a record for the store; freed with free(). */
char *cq_job_record_format(const struct cq_job_record *record);
/* Reads a caller's submission; only declared fields are allowed. */
bool cq_job_submission_parse(const char *json, size_t len,
			     struct cq_job_record *record,
			     struct cq_error *err);
/* True if both records have the same writer and sequence. */
bool cq_job_record_same_write(const struct cq_job_record *a,
			      const struct cq_job_record *b);
/*
 * Adds a worker on which a task failed, unless it is known or the list is full.
 */
void cq_job_record_add_failed_worker(struct cq_job_record *record,
				     const char *worker);

/*
 * Writes the store key jobs/<data centre>/<id>; key must hold CQ_JOB_KEY_BYTES.
 */
void cq_job_key(const char *data_centre, const char *id, char *key);
/*
 * Writes the task id <job>.<attempt>.<rank>; task_id must hold
 * CQ_JOB_TASK_ID_BYTES.
 */
void cq_job_task_id(const char *job_id, uint32_t attempt, uint32_t rank,
		    char *task_id);
/*
 * Derives the id of a job from its workspace and idempotency key; id must hold
 * CQ_JOB_ID_BYTES.
 */
void cq_job_id_from_key(const char *workspace, const char *idempotency_key,
			char *id);

/*
 * Returns the index of the home data centre of a new job: the same for the same
 * id while the list stays the same, and few ids move when it changes. count
 * must not be 0.
 */
uint32_t cq_job_home(const char *id, const char *const *data_centres,
		     uint32_t count);

#endif
