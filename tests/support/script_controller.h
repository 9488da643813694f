/*
 * The job controller against a store and workers whose answers are given by
 * the test. There are two workers with 8 accelerators, and one job, j.
 */
#ifndef TESTS_SUPPORT_SCRIPT_CONTROLLER_H
#define TESTS_SUPPORT_SCRIPT_CONTROLLER_H

#include "chestnutquay/controller.h"
#include "script_store.h"

#define CQ_SCRIPT_JOB_KEY "jobs/dc0/j"
#define CQ_SCRIPT_RETENTION_MS 1000

struct cq_script_pending_sync {
	char address[16];
	cq_worker_sync_done_fn *done;
	void *ctx;
};

/* A start or throttle that was not answered yet. */
struct cq_script_pending_command {
	char task_id[CQ_JOB_TASK_ID_BYTES];
	cq_worker_done_fn *done;
	void *ctx;
};

struct cq_script_world {
	struct cq_manual_clock *clock;
	struct cq_script_store script;
	struct cq_controller *controller;
	GArray *syncs;	    /* of struct cq_script_pending_sync */
	GArray *commands;   /* of struct cq_script_pending_command */
	const char *silent; /* address of a worker that does not answer */
	bool may;
	bool hold; /* syncs are not answered by cq_script_run() */
};

/* What the store says of the record of job j. */
enum cq_script_entry {
	CQ_SCRIPT_NO_ENTRY,
	CQ_SCRIPT_QUEUED,
	CQ_SCRIPT_CANCEL,
	CQ_SCRIPT_MOVING,
	CQ_SCRIPT_FINISHED,
	CQ_SCRIPT_DELETED
};

int64_t cq_script_now_ns(const struct cq_script_world *world);
/* Puts dc0 in or out of service; dc1 is in. */
void cq_script_set_state(struct cq_script_world *world, bool in);
void cq_script_world_init(struct cq_script_world *world);
void cq_script_world_clear(struct cq_script_world *world);
/* Workers that are not silent report no tasks. */
void cq_script_answer_syncs(struct cq_script_world *world);
/* Ticks every 100 ms. */
void cq_script_run(struct cq_script_world *world, int32_t ms);
/* Answers the oldest call of the operation with the record of job j. */
void cq_script_answer(struct cq_script_world *world,
		      enum cq_script_operation operation, const char *prefix,
		      enum cq_store_status status, enum cq_script_entry entry,
		      int64_t revision);
/* Makes it the owner, with the record of job j at revision 5. */
void cq_script_load(struct cq_script_world *world, enum cq_script_entry entry);
/* Completes the write of job j, if there is one. */
void cq_script_complete_write(struct cq_script_world *world);
/* NULL: none such. */
struct cq_script_pending_command *
cq_script_command(struct cq_script_world *world, const char *task_id);
void cq_script_complete(struct cq_script_world *world, const char *task_id,
			enum cq_worker_answer given);

#endif
