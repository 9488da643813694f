/*
 * Interface to the platform's workers.
 *
 * Calls are asynchronous and end with exactly one completion, which is never
 * called before the call returns. Every command carries the epoch of the owner
 * that sends it; a worker rejects an epoch lower than the highest it has seen.
 */
#ifndef CHESTNUTQUAY_WORKER_H
#define CHESTNUTQUAY_WORKER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum cq_task_state {
	CQ_TASK_HELD, /* started with throttle 0; waits for its release */
	CQ_TASK_RUNNING,
	CQ_TASK_CHECKPOINTING,
	CQ_TASK_FINISHED,
	CQ_TASK_FAILED,
	CQ_TASK_STOPPED, /* stopped by command, or its lease expired */
};

const char *cq_task_state_string(enum cq_task_state state);
/* Returns false for an unknown name. */
bool cq_task_state_parse(const char *text, enum cq_task_state *state);
/* True for a task that is held, running or checkpointing. */
bool cq_task_state_is_live(enum cq_task_state state);

/* How a call to a worker ended. */
enum cq_worker_answer {
	CQ_WORKER_ANSWER_OK,
	CQ_WORKER_ANSWER_STALE,	      /* epoch too low or not_after passed */
	CQ_WORKER_ANSWER_REFUSED,     /* rejected otherwise; not done */
	CQ_WORKER_ANSWER_NOT_FOUND,   /* no such task */
	CQ_WORKER_ANSWER_UNAVAILABLE, /* not sent; not done */
	CQ_WORKER_ANSWER_UNKNOWN,     /* sent; may have been executed */
};

const char *cq_worker_answer_string(enum cq_worker_answer answer);

struct cq_worker_start {
	const char *task_id;
	const char *job_id;
	uint32_t attempt;
	uint32_t rank;
	uint32_t gang_size;
	const char *workspace;
	const char *class_name;
	int64_t epoch;
	int64_t not_after_unix_ms; /* the worker rejects a later start */
	uint32_t lease_ms;
	uint32_t throttle_pct; /* 0: the task is held */
	uint32_t cpu_millicores;
	uint64_t memory_bytes;
	uint64_t accelerator_mask;
	uint64_t cell; /* opaque label set by the planner; 0: none */
	/* Id of the task whose last checkpoint to restore; "": none. */
	const char *restore_from;
	int64_t expected_ms; /* declared run time; -1: not declared */
};

struct cq_worker_sync {
	int64_t epoch;
	uint32_t lease_ms;	  /* new lease of the renewed tasks */
	const char *const *renew; /* task ids */
	uint32_t renew_count;
	uint64_t since_version; /* 0: report all tasks */
};

struct cq_worker_task {
	const char *task_id;
	const char *job_id;
	const char *workspace;
	const char *class_name;
	int64_t epoch; /* epoch of the start command */
	uint64_t accelerator_mask;
	uint64_t cell;
	uint64_t memory_bytes;
	uint64_t observed_memory_bytes; /* 0 until the first measurement */
	int64_t lease_left_ms;
	int64_t run_ms;	       /* run time, incl. the restored part */
	int64_t checkpoint_ms; /* run_ms at the last checkpoint; -1: none */
	uint32_t attempt;
	uint32_t rank;
	uint32_t gang_size;
	uint32_t cpu_millicores;
	uint32_t observed_millicores; /* 0 until the first measurement */
	uint32_t throttle_pct;
	enum cq_task_state state;
};

/* State of a worker; valid only during the completion callback. */
struct cq_worker_report {
	const char *boot_id; /* changes when the worker restarts */
	uint64_t version;    /* pass it as the next since_version */
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;
	/* Tasks changed after since_version; all tasks if it was 0. */
	const struct cq_worker_task *tasks;
	uint32_t task_count;
};

typedef void cq_worker_done_fn(void *ctx, enum cq_worker_answer answer,
			       const char *message);
/* report is NULL unless the answer is CQ_WORKER_ANSWER_OK. */
typedef void cq_worker_sync_done_fn(void *ctx, enum cq_worker_answer answer,
				    const struct cq_worker_report *report);

struct cq_worker_ops {
	/* Idempotent by task id: a repeated start has no effect. */
	void (*start)(void *self, const char *address,
		      const struct cq_worker_start *start, uint32_t timeout_ms,
		      cq_worker_done_fn *done, void *ctx);
	/* Renews task leases and returns the worker's state. */
	void (*sync)(void *self, const char *address,
		     const struct cq_worker_sync *sync, uint32_t timeout_ms,
		     cq_worker_sync_done_fn *done, void *ctx);
	void (*throttle)(void *self, const char *address, const char *task_id,
			 int64_t epoch, uint32_t percent, uint32_t timeout_ms,
			 cq_worker_done_fn *done, void *ctx);
	void (*checkpoint)(void *self, const char *address, const char *task_id,
			   int64_t epoch, uint32_t timeout_ms,
			   cq_worker_done_fn *done, void *ctx);
	void (*stop)(void *self, const char *address, const char *task_id,
		     int64_t epoch, uint32_t timeout_ms,
		     cq_worker_done_fn *done, void *ctx);
};

struct cq_worker {
	const struct cq_worker_ops *ops;
	void *self;
};

/* Adapter for the platform's HTTP interface; see docs/jobs.md. */
struct cq_http_client;
struct cq_worker_http;

/* The client outlives the adapter. */
struct cq_worker_http *cq_worker_http_create(struct cq_http_client *client);
/* Cancels open calls; their completions are not called. */
void cq_worker_http_destroy(struct cq_worker_http *http);
const struct cq_worker *cq_worker_http_get(struct cq_worker_http *http);

#endif
