/*
 * Two-phase start of a gang, and its recovery.
 *
 * Phase one starts every task held (throttle 0); phase two releases all of
 * them. A gang whose member is lost is stopped as a whole. The object has no
 * clock and does no I/O: commands go out through struct cq_gang_ops, answers
 * and reports come in through the functions below.
 *
 * What bounds a gang that runs in part: its leases are renewed only while
 * cq_gang_should_renew() says so, which it does not once a member is missing.
 */
#ifndef CHESTNUTQUAY_GANG_H
#define CHESTNUTQUAY_GANG_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/worker.h"

enum cq_gang_state {
	CQ_GANG_HOLDING,       /* phase one */
	CQ_GANG_RELEASING,     /* phase two */
	CQ_GANG_RUNNING,       /* all released; some may have finished */
	CQ_GANG_CHECKPOINTING, /* checkpoints of all members under way */
	CQ_GANG_STOPPING,
	CQ_GANG_ENDED, /* no task of the gang runs or will run */
};

enum cq_gang_end {
	CQ_GANG_END_NONE,
	CQ_GANG_END_FINISHED,
	CQ_GANG_END_FAILED,	  /* a task failed by itself */
	CQ_GANG_END_UNDONE,	  /* stopped before any release */
	CQ_GANG_END_LOST,	  /* a member was lost */
	CQ_GANG_END_CHECKPOINTED, /* stopped with complete checkpoints */
	CQ_GANG_END_STOPPED,	  /* stopped on request */
};

enum cq_gang_command {
	CQ_GANG_START,
	CQ_GANG_RELEASE,
	CQ_GANG_CHECKPOINT,
	CQ_GANG_STOP,
};

const char *cq_gang_state_string(enum cq_gang_state state);
const char *cq_gang_end_string(enum cq_gang_end end);
const char *cq_gang_command_string(enum cq_gang_command command);

struct cq_gang;

struct cq_gang_ops {
	/*
	 * Sends a command for one rank. Returns false if nothing may be sent
	 * at present; otherwise cq_gang_answered() follows, never inside the
	 * call.
	 */
	bool (*command)(void *ctx, const struct cq_gang *gang, uint32_t rank,
			enum cq_gang_command command);
};

struct cq_gang_options {
	int64_t retry_ns; /* before a command without an answer is repeated */
	/* Phase one is given up after this long. */
	int64_t hold_timeout_ns;
	/* Phase two is given up after this long; shorter than a task lease. */
	int64_t release_timeout_ns;
};

/* 500 ms, 8 s, 4 s. */
void cq_gang_options_init(struct cq_gang_options *options);

/* A report about one member. */
struct cq_gang_report {
	bool present; /* false: the worker does not have the task */
	enum cq_task_state state;
	int64_t checkpoint_ms; /* -1: none */
};

/* Starts phase one at the next tick. */
struct cq_gang *cq_gang_create(const struct cq_gang_options *options,
			       const struct cq_gang_ops *ops, void *ctx,
			       uint32_t size, int64_t now_ns);
/*
 * Takes over a gang from what the workers report, one report a rank; a rank
 * that is not present counts as lost, its task being gone by gone_by_ns.
 */
struct cq_gang *cq_gang_recover(const struct cq_gang_options *options,
				const struct cq_gang_ops *ops, void *ctx,
				uint32_t size,
				const struct cq_gang_report *reports,
				int64_t gone_by_ns, int64_t now_ns);
void cq_gang_destroy(struct cq_gang *gang);

void cq_gang_answered(struct cq_gang *gang, uint32_t rank,
		      enum cq_gang_command command,
		      enum cq_worker_answer answer, int64_t now_ns);
/*
 * What a worker reported. A report whose call was sent before the last command
 * for the rank was answered says nothing about that command; sent_ns tells.
 */
void cq_gang_observed(struct cq_gang *gang, uint32_t rank,
		      const struct cq_gang_report *report, int64_t sent_ns,
		      int64_t now_ns);
/* The worker is lost; its task is certainly gone by gone_by_ns. */
void cq_gang_member_lost(struct cq_gang *gang, uint32_t rank,
			 int64_t gone_by_ns, int64_t now_ns);
/* Checkpoints all members, then stops them, at the latest at the deadline. */
void cq_gang_checkpoint(struct cq_gang *gang, int64_t deadline_ns,
			int64_t now_ns);
void cq_gang_stop(struct cq_gang *gang, int64_t now_ns);
void cq_gang_tick(struct cq_gang *gang, int64_t now_ns);

enum cq_gang_state cq_gang_state(const struct cq_gang *gang);
enum cq_gang_end cq_gang_end(const struct cq_gang *gang);
uint32_t cq_gang_size(const struct cq_gang *gang);
/* The first rank that failed or was lost, or UINT32_MAX. */
uint32_t cq_gang_failed_rank(const struct cq_gang *gang);
/* Whether any task may have been released. */
bool cq_gang_released(const struct cq_gang *gang);
/* Whether the task of the rank may still be on its worker. */
bool cq_gang_occupies(const struct cq_gang *gang, uint32_t rank);
/*
 * Whether the lease of the rank's task is to be renewed. commands tells
 * whether this process may command workers at present; without that only
 * gangs that run as a whole are renewed.
 */
bool cq_gang_should_renew(const struct cq_gang *gang, uint32_t rank,
			  bool commands);
/* Progress covered by the checkpoints of all members, or -1. */
int64_t cq_gang_checkpoint_ms(const struct cq_gang *gang);

#endif
