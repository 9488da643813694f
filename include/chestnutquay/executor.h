/*
 * Interface to workers that execute runs of tasks under one lease per worker.
 * The runs of a task are numbered.
 *
 * A worker remembers the highest fencing token it has seen and rejects calls
 * with a lower one. All its runs end when its lease expires; the lease end is a
 * time on the worker's own clock. The worker numbers ended runs from 1 in each
 * incarnation and reports each of them until it is acknowledged.
 *
 * Calls are asynchronous and end with exactly one completion, which is never
 * called before the call returns. A call without an answer may have been
 * executed, or may still be executed seconds later.
 */
#ifndef CHESTNUTQUAY_EXECUTOR_H
#define CHESTNUTQUAY_EXECUTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Buffer size for an address IPv4:PORT */
#define CQ_EXECUTOR_ADDRESS_BYTES 32

enum cq_executor_answer {
	CQ_EXECUTOR_OK,
	CQ_EXECUTOR_FENCED,	   /* saw a higher fencing token; not done */
	CQ_EXECUTOR_OLD_RUN,	   /* this or a later run has ended; not done */
	CQ_EXECUTOR_LEASE_EXPIRED, /* lease end has passed; not done */
	CQ_EXECUTOR_NO_CAPACITY,   /* too little free capacity; not done */
	CQ_EXECUTOR_INVALID_TICKET,    /* invalid advisor's ticket; not done */
	CQ_EXECUTOR_OTHER_INCARNATION, /* another incarnation answered */
	CQ_EXECUTOR_UNHEALTHY,	       /* does not accept work now; not done */
	CQ_EXECUTOR_INVALID,	       /* malformed; not done */
	CQ_EXECUTOR_NOT_SENT,	       /* no byte was written; not done */
	CQ_EXECUTOR_UNKNOWN,	       /* sent; may be executed now or later */
};

const char *cq_executor_answer_string(enum cq_executor_answer answer);

/* How a run ended. */
enum cq_run_end {
	CQ_RUN_DONE,
	CQ_RUN_FAILED,		/* an error of the task or the worker */
	CQ_RUN_STOPPED,		/* stopped by command */
	CQ_RUN_LEASE_EXPIRED,	/* the worker's lease expired */
	CQ_RUN_GANG_BROKEN,	/* another member of its gang ended */
	CQ_RUN_GANG_INCOMPLETE, /* other gang members did not start in time */
	CQ_RUN_LOST,		/* worker lost; never reported by a worker */
};

const char *cq_run_end_string(enum cq_run_end end);
bool cq_run_end_parse(const char *text, enum cq_run_end *end);

enum cq_registration_state {
	CQ_REGISTRATION_READY,
	CQ_REGISTRATION_DRAINING,
};

/*
 * A worker's registration, which it writes to the platform's store. Names have
 * any length, see text.h; they are never NULL after the registration was
 * initialized.
 */
struct cq_executor_registration {
	const char *id;
	const char *service;
	char address[CQ_EXECUTOR_ADDRESS_BYTES]; /* IPv4:PORT */
	const char *data_centre;
	const char *rack;
	const char **labels;
	uint32_t label_count;
	enum cq_registration_state state;
	uint32_t cpu_millicores;
	uint32_t memory_mb;
	uint32_t accelerators;
	int64_t started_unix_ms;      /* incarnation's start; 0: unknown */
	uint32_t warmup_remaining_ms; /* time until it reaches full speed */
	uint32_t remaining_ms;	      /* draining: minimum time left */
};

/* Gives the names the empty text, and 0 to the rest. */
void cq_executor_registration_init(struct cq_executor_registration *r);
void cq_executor_registration_clear(struct cq_executor_registration *r);
void cq_executor_registration_add_label(struct cq_executor_registration *r,
					const char *label);
/* Replaces `to`, which was initialized. */
void cq_executor_registration_copy(struct cq_executor_registration *to,
				   const struct cq_executor_registration *from);

struct cq_executor_target {
	const char *address;
	const char *id;
	int64_t fencing_token;
};

struct cq_executor_start {
	const char *task;
	uint32_t run;
	const char *spec;
	int64_t lease_end_ms;	/* on the worker's clock */
	const char *checkpoint; /* to resume from; NULL: start anew */
	const char *ticket;	/* issued by the advisor; NULL: none */
};

/* Long-poll call that renews the lease and collects ended runs. */
struct cq_executor_heartbeat {
	int64_t lease_end_ms;  /* on the worker's clock; 0: unchanged */
	uint64_t acknowledged; /* ended runs up to it are discarded */
	uint32_t wait_ms;      /* long-poll time; at most 2000 */
};

struct cq_executor_running {
	const char *task;
	uint32_t run;
	const char *checkpoint; /* last one; "": none yet */
	uint32_t percent;	/* of full speed; 100: not paced */
	/* Long-running: tail latency in ms; others: CPU use in millicores. */
	uint32_t load;
};

struct cq_executor_ended {
	/* Counts ended runs of the incarnation from 1; 0: it was unreadable. */
	uint64_t number;
	const char *task;
	uint32_t run;
	enum cq_run_end outcome;
	const char *checkpoint; /* "": none */
};

struct cq_executor_report {
	enum cq_executor_answer answer;
	int64_t clock_ms;	 /* worker's clock; -1 without an answer */
	int64_t started_unix_ms; /* incarnation's start; 0: unknown */
	const struct cq_executor_running *running;
	size_t running_count;
	const struct cq_executor_ended *ended;
	size_t ended_count;
	/*
	 * False: the worker may have more ends than it lists. It lists them
	 * after these are acknowledged; until then a run that is in no list may
	 * have ended in any way.
	 */
	bool ended_whole;
	/*
	 * A row, or the list itself, could not be read: the worker may have
	 * more runs, or more ends, than are reported here.
	 */
	bool running_unreadable;
	bool ended_unreadable;
	/*
	 * If ended_unreadable: only so many ends, the first ones, were listed
	 * before a row that could not be read. Acknowledging a later one would
	 * discard that row.
	 */
	size_t ended_in_order;
	/* Rows with a part that could not be read, and the first one's text. */
	uint32_t odd_rows;
	const char *odd_row;
	const char *message; /* for logs */
};

typedef void cq_executor_done_fn(void *ctx,
				 const struct cq_executor_report *report);

struct cq_executor_ops {
	void (*start)(void *self, const struct cq_executor_target *target,
		      const struct cq_executor_start *start,
		      uint32_t timeout_ms, cq_executor_done_fn *done,
		      void *ctx);
	void (*stop)(void *self, const struct cq_executor_target *target,
		     const char *task, uint32_t run, uint32_t timeout_ms,
		     cq_executor_done_fn *done, void *ctx);
	void (*heartbeat)(void *self, const struct cq_executor_target *target,
			  const struct cq_executor_heartbeat *hold,
			  uint32_t timeout_ms, cq_executor_done_fn *done,
			  void *ctx);
	/* Limits the run to this percentage of full speed. */
	void (*pace)(void *self, const struct cq_executor_target *target,
		     const char *task, uint32_t run, uint32_t percent,
		     uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx);
};

struct cq_executor {
	const struct cq_executor_ops *ops;
	void *self;
};

#endif
