/*
 * Implements the executor interface with workers in memory: fencing tokens,
 * leases, numbered ends of runs, and fault injection for commands, whose
 * answer may be lost or whose execution may be delayed. It records violations
 * of the rules that a dispatcher has to keep: two runs of a task at one time,
 * a start after the end "done" of the task was acknowledged, an end "done"
 * acknowledged after the task was started again, and a start on a worker where
 * starts are forbidden.
 */
#ifndef CQ_TESTS_MEM_EXECUTOR_H
#define CQ_TESTS_MEM_EXECUTOR_H

#include <ev.h>

#include "chestnutquay/executor.h"

struct mem_executor;

enum mem_executor_fault {
	MEM_EXECUTOR_NO_FAULT,
	MEM_EXECUTOR_NOT_SENT,	   /* the caller knows it was not sent */
	MEM_EXECUTOR_DROP_COMMAND, /* not executed, no answer */
	MEM_EXECUTOR_DROP_ANSWER,  /* executed, no answer */
	/* No answer; executed by mem_executor_run_delayed(). */
	MEM_EXECUTOR_DELAY_COMMAND,
};

struct mem_executor *mem_executor_create(struct ev_loop *loop);
void mem_executor_destroy(struct mem_executor *m);
/* Cancels open calls; their callbacks are not called. */
void mem_executor_cancel(struct mem_executor *m);
const struct cq_executor *mem_executor_get(struct mem_executor *m);

/* Adds a worker; its id is also its address. */
void mem_executor_add(struct mem_executor *m, const char *id);
/* Restarts the worker with a new incarnation that has no runs and no ends. */
void mem_executor_restart(struct mem_executor *m, const char *id);
/* Start time of the incarnation of the worker, which identifies it. */
int64_t mem_executor_started_ms(const struct mem_executor *m, const char *id);
/* Restarts it as one whose time of day was set back. */
void mem_executor_restart_earlier(struct mem_executor *m, const char *id);
/* Injects the fault into the next count start and stop commands. */
void mem_executor_fail_commands(struct mem_executor *m,
				enum mem_executor_fault fault, int count);
/* Heartbeats report the runs as of when they were sent, after a delay. */
void mem_executor_stale_heartbeats(struct mem_executor *m, bool stale);
/*
 * Answers list at most that many ends, the earliest ones, from now on. 0: all,
 * as at first.
 */
void mem_executor_set_ends_per_answer(struct mem_executor *m, uint32_t count);
/*
 * What cannot be read in the answers to heartbeats; all zero: everything can.
 * Rows that cannot be read are left out of the report.
 */
struct mem_executor_oddity {
	uint32_t answers;     /* so many answers, then no more */
	bool no_running_list; /* the list of running tasks */
	bool no_ended_list;   /* the list of ends */
	uint32_t end_row;     /* the row at this position, from 1; 0: none */
	const char *end_task; /* the ends of this task; NULL: none */
	const char *run_task; /* the row of this running task; NULL: none */
};
void mem_executor_set_oddity(struct mem_executor *m,
			     const struct mem_executor_oddity *odd);
/* Makes the worker unreachable, or reachable again. */
void mem_executor_set_unreachable(struct mem_executor *m, const char *id,
				  bool cut);
/* Sets the time after which heartbeats to unreachable workers fail. */
void mem_executor_set_unreachable_timeout(struct mem_executor *m,
					  double timeout_s);
/* Executes the commands that MEM_EXECUTOR_DELAY_COMMAND delayed. */
void mem_executor_run_delayed(struct mem_executor *m);
/* Ends the run of the task on any worker; false if the task is not running. */
bool mem_executor_end(struct mem_executor *m, const char *task,
		      enum cq_run_end how);
/* Removes the run without an end, as if it had never been; false: not there. */
bool mem_executor_lose(struct mem_executor *m, const char *task);
/* Number of ends that the worker still lists. */
uint32_t mem_executor_listed_ends(const struct mem_executor *m, const char *id);
/* Ends all runs with the outcome "done". */
void mem_executor_end_all(struct mem_executor *m);
/* Ends runs that are at least age_s old with the outcome "done". */
void mem_executor_end_older(struct mem_executor *m, double age_s);
/*
 * Makes the workers use the monotonic clock of the host, so that the leases
 * they are granted can expire. To be called before the first command.
 */
void mem_executor_real_leases(struct mem_executor *m);
/* Ends all runs on workers whose lease has expired. */
void mem_executor_expire_due(struct mem_executor *m);
/* Sets whether a start on the worker counts as a violation. */
void mem_executor_forbid_starts(struct mem_executor *m, const char *id,
				bool barred);

/* Number of runs on all workers. */
uint32_t mem_executor_running(const struct mem_executor *m);
/* Id of the worker that runs the task; NULL if none does. */
const char *mem_executor_worker_of(const struct mem_executor *m,
				   const char *task);
/* Number of runs started so far. */
uint32_t mem_executor_starts(const struct mem_executor *m);
/* Largest number of heartbeats without a wait that were open at one time. */
uint32_t mem_executor_max_heartbeats(const struct mem_executor *m);
/*
 * Calls fn for each task that was ever started, with the number of its starts
 * and of its ends "done".
 */
void mem_executor_each_task(const struct mem_executor *m,
			    void (*fn)(void *ctx, const char *task,
				       uint32_t starts, uint32_t done),
			    void *ctx);
/* Violations found so far, one line each; "" if there are none. */
const char *mem_executor_violations(const struct mem_executor *m);

#endif
