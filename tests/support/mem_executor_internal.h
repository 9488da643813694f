/* Declarations shared by the files of the in-memory executor. */
#ifndef CQ_TESTS_MEM_EXECUTOR_INTERNAL_H
#define CQ_TESTS_MEM_EXECUTOR_INTERNAL_H

#include <glib.h>

#include "mem_executor.h"

/* An ended run that the worker reports until it is acknowledged. */
struct ended_run {
	uint64_t number;
	char *task;
	uint32_t run;
	enum cq_run_end outcome;
	uint32_t starts;    /* number of starts of the task when it ended */
	bool lease_expired; /* before the end was acknowledged */
};

struct run {
	char *task;
	uint32_t run;
	double started_s;
};

struct worker {
	char *id;
	bool unreachable;
	double ready_at_s;     /* restarting and unreachable until then */
	bool starts_forbidden; /* a start is a violation */
	int64_t started_ms;
	int64_t fencing_token;
	int64_t lease_end_ms;
	GPtrArray *runs;
	GPtrArray *ended;
	/* Highest run stopped or ended on this worker, by task. */
	GHashTable *highest_ended_run;
	uint64_t last_end_number;
};

struct pending_call {
	struct mem_executor *m;
	ev_timer timer;
	cq_executor_done_fn *done;
	void *ctx;
	enum cq_executor_answer answer;
	char *worker; /* id of the worker that was called */
	uint64_t acknowledged;
	bool is_heartbeat;
	bool counted_as_open;	     /* in open_heartbeats */
	struct mem_command *command; /* executed when the call completes */
	bool answer_dropped;	     /* the caller gets no answer */
	int64_t worker_started_ms;   /* incarnation called; 0: none */
	GArray *running, *ended; /* at sending if stale, else at completion */
	bool ended_whole;	 /* all ends are in the list */
	/* What could not be read, as in struct cq_executor_report */
	bool running_unreadable;
	bool ended_unreadable;
	size_t ended_in_order;
	uint32_t odd_rows;
};

struct mem_command {
	char *worker, *task;
	uint32_t run;
	int64_t fencing_token;
	int64_t lease_end_ms;
	bool stop;
};

struct task_count {
	uint32_t starts;
	uint32_t done;
};

struct mem_executor {
	struct cq_executor executor;
	struct ev_loop *loop;
	GHashTable *workers; /* id -> struct worker */
	GPtrArray *pending;
	GPtrArray *delayed;
	GHashTable *acknowledged; /* tasks with an acknowledged end "done" */
	GHashTable *counts;	  /* task -> struct task_count */
	GString *violations;
	enum mem_executor_fault fault;
	int fault_count;
	uint32_t starts;
	bool stale_heartbeats;
	uint32_t ends_per_answer; /* 0: no limit */
	struct mem_executor_oddity odd;
	double unreachable_timeout_s;
	bool real_leases;
	uint32_t open_heartbeats; /* heartbeats without a wait */
	uint32_t max_heartbeats;
	int64_t clock_ms; /* without real leases: goes up by 1 a call */
};

struct worker *mem_executor_find(const struct mem_executor *m, const char *id);
/* The worker that runs the task; NULL if none does. */
struct worker *mem_executor_find_run(const struct mem_executor *m,
				     const char *task);
/* The counters of the task, created on first use. */
struct task_count *mem_executor_task_count(struct mem_executor *m,
					   const char *task);
int64_t mem_executor_clock_ms(struct mem_executor *m);
/* Moves a run to the ended runs of the worker; frees the run. */
void mem_executor_record_end(struct mem_executor *m, struct worker *w,
			     struct run *run, enum cq_run_end outcome);

/*
 * mem_executor_lists.c: copy the running and ended runs of the worker into the
 * call, and free that copy.
 */
void mem_executor_read_lists(struct pending_call *p, const struct worker *w);
void mem_executor_free_lists(struct pending_call *p);

#endif
