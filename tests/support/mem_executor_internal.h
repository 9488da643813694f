/* What the files of the workers in memory share. */
#ifndef CQ_TESTS_MEM_EXECUTOR_INTERNAL_H
#define CQ_TESTS_MEM_EXECUTOR_INTERNAL_H

#include <glib.h>

#include "mem_executor.h"

/* Ends that a worker still lists, and the answer of a hold. */
struct ended {
	uint64_t number;
	char *task;
	uint32_t run;
	enum cq_run_end how;
	uint32_t starts; /* of the task, when it ended */
	bool lapsed;	 /* the lease lapsed before it was acknowledged */
};

struct run {
	char *task;
	uint32_t run;
	double since_s;
};

struct worker {
	char *id;
	bool cut;
	double up_at_s; /* it answers nothing before */
	bool is_barred; /* a start is a breach */
	int64_t born_ms;
	int64_t fence;
	int64_t lease_end_ms;
	GPtrArray *runs;
	GPtrArray *ended;
	GHashTable *barred; /* task -> highest run stopped or ended here */
	uint64_t next_end;
};

struct pending {
	struct mem_executor *m;
	ev_timer timer;
	cq_executor_done_fn *done;
	void *ctx;
	enum cq_executor_answer answer;
	char *worker; /* hold: lists are read when it completes */
	uint64_t acknowledged;
	bool lists;
	bool counted;		 /* in open_holds */
	struct mem_order *order; /* carried out when it completes */
	bool lost;		 /* and its answer does not arrive */
	int64_t born_ms;	 /* life that it was sent to; 0: none */
	GArray *running, *ended; /* read when sent, if holds are stale */
};

struct mem_order {
	char *worker, *task;
	uint32_t run;
	int64_t fence;
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
	GPtrArray *late;
	GHashTable *acknowledged; /* tasks with an acknowledged end "done" */
	GHashTable *counts;	  /* task -> struct task_count */
	GString *breaches;
	enum mem_executor_fault fault;
	int fault_count;
	uint32_t starts;
	bool stale_holds;
	double cut_timeout_s;
	bool real_leases;
	uint32_t open_holds; /* without a wait */
	uint32_t most_holds;
	int64_t clock_ms; /* counts answers without real leases */
};

struct worker *mem_executor_find(const struct mem_executor *m, const char *id);
/* The worker that runs the task; NULL: none. */
struct worker *mem_executor_find_run(const struct mem_executor *m,
				     const char *task);
struct task_count *mem_executor_count(struct mem_executor *m, const char *task);
int64_t mem_executor_clock_ms(struct mem_executor *m);
void mem_executor_note_end(struct mem_executor *m, struct worker *w,
			   struct run *run, enum cq_run_end how);

/* mem_executor_lists.c: what the worker would report now. */
void mem_executor_take_lists(struct pending *p, const struct worker *w);
void mem_executor_free_lists(struct pending *p);

#endif
