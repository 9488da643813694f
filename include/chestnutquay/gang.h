/*
 * State machine for the two-phase start of a gang and for its recovery after a
 * change of owner.
 *
 * Phase one starts every task in the held state (throttle 0); phase two
 * releases all of them. If a member is lost, the whole gang is stopped. The
 * state machine has no clock and does no I/O: it sends commands through struct
 * cq_gang_ops, and the caller passes answers and reports to the functions
 * below.
 *
 * A gang can run only in part for no longer than a task lease: the caller
 * renews the leases only while cq_gang_should_renew() returns true, which it
 * stops doing once a member is missing.
 */
#ifndef CHESTNUTQUAY_GANG_H
#define CHESTNUTQUAY_GANG_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/worker.h"

enum cq_gang_state {
	CQ_GANG_HOLDING,       /* phase one: tasks are started held */
	CQ_GANG_RELEASING,     /* phase two: tasks are released */
	CQ_GANG_RUNNING,       /* all tasks released; some may have finished */
	CQ_GANG_CHECKPOINTING, /* all members write checkpoints */
	CQ_GANG_STOPPING,
	CQ_GANG_ENDED, /* no task of the gang runs, or will run later */
};

enum cq_gang_end {
	CQ_GANG_END_NONE,
	CQ_GANG_END_FINISHED,
	CQ_GANG_END_FAILED,	  /* a task reported failure */
	CQ_GANG_END_UNDONE,	  /* stopped before any task was released */
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
	 * Sends a command to the worker of one rank. Returns false if nothing
	 * may be sent now. Otherwise cq_gang_answered() must follow, but not
	 * from within this call.
	 */
	bool (*command)(void *ctx, const struct cq_gang *gang, uint32_t rank,
			enum cq_gang_command command);
};

struct cq_gang_options {
	int64_t retry_ns; /* delay before an unanswered command is retried */
	/* Phase one is aborted after this time. */
	int64_t hold_timeout_ns;
	/* Phase two is aborted after this time; shorter than a task lease. */
	int64_t release_timeout_ns;
};

/* Sets the defaults: retry 500 ms, phase one 8 s, phase two 4 s. */
void cq_gang_options_init(struct cq_gang_options *options);

/* What a worker reports about one member. */
struct cq_gang_report {
	bool present; /* false: the worker does not have the task */
	enum cq_task_state state;
	int64_t checkpoint_ms; /* progress at the checkpoint; -1: none */
};

/* Creates a gang that sends its first starts at the next tick. */
struct cq_gang *cq_gang_create(const struct cq_gang_options *options,
			       const struct cq_gang_ops *ops, void *ctx,
			       uint32_t size, int64_t now_ns);
/*
 * Takes over an existing gang from the reports of its workers, one per rank. A
 * rank that is not present counts as lost; its task no longer runs after
 * gone_by_ns.
 */
struct cq_gang *cq_gang_recover(const struct cq_gang_options *options,
				const struct cq_gang_ops *ops, void *ctx,
				uint32_t size,
				const struct cq_gang_report *reports,
				int64_t gone_by_ns, int64_t now_ns);
void cq_gang_destroy(struct cq_gang *gang);

/* The worker of the rank answered a command, or the call failed. */
void cq_gang_answered(struct cq_gang *gang, uint32_t rank,
		      enum cq_gang_command command,
		      enum cq_worker_answer answer, int64_t now_ns);
/*
 * Takes a worker's report about a rank. sent_ns is when the call for the report
 * was sent: if that was before the last command for the rank was answered, the
 * report says nothing about the effect of that command.
 */
void cq_gang_observed(struct cq_gang *gang, uint32_t rank,
		      const struct cq_gang_report *report, int64_t sent_ns,
		      int64_t now_ns);
/* The rank's worker is lost; its task no longer runs after gone_by_ns. */
void cq_gang_member_lost(struct cq_gang *gang, uint32_t rank,
			 int64_t gone_by_ns, int64_t now_ns);
/*
 * Checkpoints all members, then stops them. At the deadline they are stopped
 * even if checkpoints are missing. A gang that is not running is only stopped.
 */
void cq_gang_checkpoint(struct cq_gang *gang, int64_t deadline_ns,
			int64_t now_ns);
void cq_gang_stop(struct cq_gang *gang, int64_t now_ns);
/* Applies timeouts and sends the commands that are due. */
void cq_gang_tick(struct cq_gang *gang, int64_t now_ns);

enum cq_gang_state cq_gang_state(const struct cq_gang *gang);
enum cq_gang_end cq_gang_end(const struct cq_gang *gang);
uint32_t cq_gang_size(const struct cq_gang *gang);
/*
 * First rank whose task failed or was lost, or whose start was refused or not
 * answered, and that stopped the gang by it; UINT32_MAX: none.
 */
uint32_t cq_gang_failed_rank(const struct cq_gang *gang);
/* Whether any task may have been released. */
bool cq_gang_released(const struct cq_gang *gang);
/* Whether the rank's task may still occupy its worker. */
bool cq_gang_occupies(const struct cq_gang *gang, uint32_t rank);
/*
 * Whether the lease of the rank's task is to be renewed. may_command says
 * whether this process may send commands to workers now; if not, only gangs
 * whose tasks have all been released are renewed.
 */
bool cq_gang_should_renew(const struct cq_gang *gang, uint32_t rank,
			  bool may_command);
/*
 * Progress that the checkpoints of all unfinished members cover; -1: none.
 */
int64_t cq_gang_checkpoint_ms(const struct cq_gang *gang);

#endif
