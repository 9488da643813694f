/*
 * Interface to workers that run numbered runs of tasks under one lease.
 *
 * A worker keeps the highest fence that it has seen and does nothing for a
 * lower one. All its runs end when its lease ends; the lease is a time on the
 * worker's own clock. Ends are numbered from 1 in each life of the worker and
 * are reported until they are acknowledged.
 *
 * Calls are asynchronous and end with exactly one completion, never inside the
 * call. A call without an answer may have been executed, or may be executed
 * seconds later.
 */
#ifndef CHESTNUTQUAY_EXECUTOR_H
#define CHESTNUTQUAY_EXECUTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CQ_EXECUTOR_NAME_BYTES 64
#define CQ_EXECUTOR_MAX_LABELS 8

enum cq_executor_answer {
	CQ_EXECUTOR_OK,
	CQ_EXECUTOR_FENCED,  /* a higher fence was seen; nothing done */
	CQ_EXECUTOR_OLD_RUN, /* this or a later run ended there; not done */
	CQ_EXECUTOR_LEASE_EXPIRED,     /* the lease end has passed; not done */
	CQ_EXECUTOR_NO_CAPACITY,       /* not done */
	CQ_EXECUTOR_INVALID_TICKET,    /* the adviser's ticket is not valid; not
					  done */
	CQ_EXECUTOR_OTHER_INCARNATION, /* another life of the worker answered */
	CQ_EXECUTOR_UNHEALTHY,	       /* refuses work at present; not done */
	CQ_EXECUTOR_INVALID,	       /* malformed; not done */
	CQ_EXECUTOR_NOT_SENT,
	CQ_EXECUTOR_UNKNOWN, /* sent; may be executed, also later */
};

const char *cq_executor_answer_string(enum cq_executor_answer answer);

enum cq_run_end {
	CQ_RUN_DONE,
	CQ_RUN_FAILED,		/* by the task's own fault or the worker's */
	CQ_RUN_STOPPED,		/* by an order */
	CQ_RUN_LEASE_EXPIRED,	/* the lease ended */
	CQ_RUN_GANG_BROKEN,	/* another member of the gang ended */
	CQ_RUN_GANG_INCOMPLETE, /* the other members did not come in time */
	CQ_RUN_LOST, /* the worker is gone; never reported by a worker */
};

const char *cq_run_end_string(enum cq_run_end end);
bool cq_run_end_parse(const char *text, enum cq_run_end *end);

enum cq_registration_state {
	CQ_REGISTRATION_READY,
	CQ_REGISTRATION_DRAINING,
};

/* A worker as it describes itself in the platform's store. */
struct cq_executor_registration {
	char id[CQ_EXECUTOR_NAME_BYTES];
	char service[CQ_EXECUTOR_NAME_BYTES];
	char address[32]; /* IPv4:PORT */
	char data_centre[CQ_EXECUTOR_NAME_BYTES];
	char rack[CQ_EXECUTOR_NAME_BYTES];
	char labels[CQ_EXECUTOR_MAX_LABELS][CQ_EXECUTOR_NAME_BYTES];
	uint32_t label_count;
	enum cq_registration_state state;
	uint32_t cpu_millicores;
	uint32_t memory_mb;
	uint32_t accelerators;
	int64_t started_unix_ms;      /* start of this life; 0: not said */
	uint32_t warmup_remaining_ms; /* how much longer it works slowly */
	uint32_t remaining_ms;	      /* draining: least time that is left */
};

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
	const char *checkpoint; /* NULL: from the beginning */
	const char *ticket;	/* of the adviser; NULL: none */
};

struct cq_executor_heartbeat {
	int64_t lease_end_ms;  /* on the worker's clock; 0: as it is */
	uint64_t acknowledged; /* ends up to this number are forgotten */
	uint32_t wait_ms;      /* for an end; at most 2000 */
};

struct cq_executor_running {
	const char *task;
	uint32_t run;
	const char *checkpoint; /* "": none yet */
	uint32_t percent;	/* paced to; 100: at work */
	uint32_t load; /* server: tail, milliseconds; others: millicores */
};

struct cq_executor_ended {
	uint64_t number;
	const char *task;
	uint32_t run;
	enum cq_run_end outcome;
	const char *checkpoint; /* "": none */
};

struct cq_executor_report {
	enum cq_executor_answer answer;
	int64_t clock_ms;	 /* of the worker; -1 unless it answered */
	int64_t started_unix_ms; /* 0: not said */
	const struct cq_executor_running *running;
	size_t running_count;
	const struct cq_executor_ended *ended;
	size_t ended_count;
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
	/* Lets the task work at percent of its speed. */
	void (*pace)(void *self, const struct cq_executor_target *target,
		     const char *task, uint32_t run, uint32_t percent,
		     uint32_t timeout_ms, cq_executor_done_fn *done, void *ctx);
};

struct cq_executor {
	const struct cq_executor_ops *ops;
	void *self;
};

#endif
