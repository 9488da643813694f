/*
 * Workers in memory, behind the product's executor interface: fences, leases,
 * numbered ends, and orders that get no answer or are carried out late. It
 * notes every breach of the rules that a dispatcher has to keep: two runs of
 * a task at one time, a start after an end that was acknowledged, and more
 * runs than the worker has room for.
 */
#ifndef CQ_TESTS_MEM_EXECUTOR_H
#define CQ_TESTS_MEM_EXECUTOR_H

#include <ev.h>

#include "chestnutquay/executor.h"

struct mem_executor;

enum mem_executor_fault {
	MEM_EXECUTOR_FINE,
	MEM_EXECUTOR_NOT_SENT,
	MEM_EXECUTOR_VANISH, /* not carried out, no answer */
	MEM_EXECUTOR_LOSE,   /* carried out, no answer */
	MEM_EXECUTOR_LATE,   /* no answer; carried out by run_late */
};

struct mem_executor *mem_executor_create(struct ev_loop *loop);
void mem_executor_destroy(struct mem_executor *m);
/* Open calls get no completion. */
void mem_executor_cancel(struct mem_executor *m);
const struct cq_executor *mem_executor_get(struct mem_executor *m);

/* The id is also the address. */
void mem_executor_add(struct mem_executor *m, const char *id);
/* A new life: all runs and ends are gone. */
void mem_executor_reboot(struct mem_executor *m, const char *id);
int64_t mem_executor_born(const struct mem_executor *m, const char *id);
/* The next count starts and stops meet the fault. */
void mem_executor_fail_orders(struct mem_executor *m,
			      enum mem_executor_fault fault, int count);
/* Holds answer with what ran when they were sent. */
void mem_executor_stale_holds(struct mem_executor *m, bool stale);
/* The worker does not answer at all. */
void mem_executor_cut(struct mem_executor *m, const char *id, bool cut);
/* From now on, holds of workers that are cut end after so long. */
void mem_executor_cut_timeout(struct mem_executor *m, double timeout_s);
void mem_executor_run_late(struct mem_executor *m);
/* Ends a run on whatever worker it is; false if it runs nowhere. */
bool mem_executor_end(struct mem_executor *m, const char *task,
		      enum cq_run_end how);
/* Ends all runs "done". */
void mem_executor_end_all(struct mem_executor *m);
/* Ends those "done" that have run for so long. */
void mem_executor_end_older(struct mem_executor *m, double age_s);
/*
 * From now on the clocks of the workers are the machine's, and a lease that
 * was granted counts. To be called before the first order.
 */
void mem_executor_real_leases(struct mem_executor *m);
/* Ends all that runs where the lease has lapsed. */
void mem_executor_lapse_due(struct mem_executor *m);
/* From now on a start on the worker is a breach, until it is allowed again. */
void mem_executor_bar(struct mem_executor *m, const char *id, bool barred);

uint32_t mem_executor_running(const struct mem_executor *m);
/* Id of the worker that runs the task; NULL: none. */
const char *mem_executor_where(const struct mem_executor *m, const char *task);
uint32_t mem_executor_starts(const struct mem_executor *m);
/* Largest number of holds without a wait that were open at one time. */
uint32_t mem_executor_most_holds(const struct mem_executor *m);
/* Calls fn for each task that was ever started. */
void mem_executor_each_task(const struct mem_executor *m,
			    void (*fn)(void *ctx, const char *task,
				       uint32_t starts, uint32_t done),
			    void *ctx);
/* What was done against the rules, one line each; "" if nothing. */
const char *mem_executor_breaches(const struct mem_executor *m);

#endif
