/*
 * Placement decisions.
 *
 * cq_planner_plan() maps a snapshot of the fleet to a plan. It does no I/O,
 * reads no clock and is deterministic: the same planner history and the same
 * snapshot give the same plan. The planner object keeps learned state only
 * (run times, failures and the last place of unused cells); a planner that
 * was created anew gives valid plans and learns again.
 *
 * The caller carries out the actions, and builds the next snapshot from what
 * the workers report. Actions that had no effect are planned again. Duties of
 * the caller:
 * - A gang whose start is under way is listed as running with all its tasks.
 * - A checkpoint action is echoed in the stop_* fields of the job until the
 *   job is stopped.
 * - A job stopped for CQ_REASON_MEMORY_OVERRUN is queued again with the memory
 *   it was observed to use; with the declared size it would be stopped again.
 * - A plan is made at least at every stop deadline, and several times within
 *   urgent_start_ns.
 * - A probe is asked for in every plan until it is answered.
 */
#ifndef CHESTNUTQUAY_PLANNER_H
#define CHESTNUTQUAY_PLANNER_H

#include "chestnutquay/error.h"
#include "chestnutquay/fleet.h"

enum cq_action_kind {
	CQ_ACTION_START,      /* a gang as a whole */
	CQ_ACTION_CHECKPOINT, /* a job, by deadline_ns; a stop follows */
	CQ_ACTION_THROTTLE,   /* one task, to percent */
	CQ_ACTION_STOP,	      /* a job as a whole; it waits again */
	CQ_ACTION_REJECT,     /* a waiting job, for good */
	CQ_ACTION_QUARANTINE, /* a worker receives no starts */
	CQ_ACTION_PROBE,      /* a quarantined worker is due for a probe */
};

enum cq_reason {
	CQ_REASON_NONE,
	/* Starts. */
	CQ_REASON_GUARANTEED, /* within the guarantees of the workspace */
	CQ_REASON_BORROWED,   /* above the guarantees, on idle capacity */
	CQ_REASON_BACKFILLED, /* borrowed; ends before a reservation starts */
	/* Checkpoints and stops. */
	CQ_REASON_RECLAIM,	    /* a guarantee needs the capacity */
	CQ_REASON_PREEMPTED,	    /* a job of a class served first needs it */
	CQ_REASON_MOVED,	    /* makes room for a large job */
	CQ_REASON_DC_OUT,	    /* the data centre goes out of service */
	CQ_REASON_GANG_MEMBER_LOST, /* a member of the gang is lost */
	CQ_REASON_MEMORY_OVERRUN,   /* used more memory than declared */
	CQ_REASON_CPU_OVERRUN,	    /* used more cores than declared */
	CQ_REASON_OVERRUN_ENDED,    /* a throttle is lifted */
	/* Rejections. */
	CQ_REASON_NEVER_FITS,	  /* larger than the fleet can hold */
	CQ_REASON_FAILS_ANYWHERE, /* failed on several distinct workers */
	/* Quarantine. */
	CQ_REASON_WORKER_FAILS_JOBS,
	CQ_REASON_PROBE_DUE,
	/* Waiting. */
	CQ_REASON_WAIT_CAPACITY,    /* not enough free capacity in one place */
	CQ_REASON_WAIT_RESERVATION, /* free capacity is reserved for others */
	CQ_REASON_WAIT_RECLAIM,	    /* borrowers are being stopped for it */
	CQ_REASON_WAIT_DC_OUT,	    /* its only data centre is out */
	CQ_REASON_WAIT_START_LIMIT, /* this plan has enough starts */
	CQ_REASON_WAIT_TURN,	    /* not considered in this plan */
};

enum cq_resource {
	CQ_RESOURCE_NONE,
	CQ_RESOURCE_TASKS,	  /* tasks of the gang in one place */
	CQ_RESOURCE_ACCELERATORS, /* of one task */
	CQ_RESOURCE_MILLICORES,	  /* of one task */
	CQ_RESOURCE_MEMORY_BYTES, /* of one task */
	CQ_RESOURCE_DC,		  /* the required data centre does not exist */
};

/* How a running job counts against the guarantees. */
enum cq_tier {
	CQ_TIER_NONE, /* not running, or about to be stopped */
	CQ_TIER_GUARANTEED,
	CQ_TIER_BORROWER,
};

struct cq_placement {
	uint32_t worker;
	uint64_t accelerator_mask;
	uint64_t cell; /* label to give to the task; 0: borrower */
};

struct cq_action {
	enum cq_action_kind kind;
	enum cq_reason reason;
	uint32_t job;	  /* or CQ_FLEET_NONE */
	uint32_t task;	  /* THROTTLE: index in the snapshot's tasks */
	uint32_t worker;  /* THROTTLE, QUARANTINE, PROBE, overruns */
	uint32_t for_job; /* the waiting job that benefits, if any */
	/* CHECKPOINT: the stop follows then. STOP: time of the stop. */
	int64_t deadline_ns;
	int64_t predicted_end_ns;     /* START */
	uint32_t percent;	      /* THROTTLE */
	uint64_t lost_accelerator_ms; /* CHECKPOINT, STOP: estimated loss */
	/* START: one entry per rank. */
	const struct cq_placement *placements;
	uint32_t placement_count;
	/* REJECT: what did not fit, and the largest that could. */
	enum cq_resource resource;
	uint64_t requested;
	uint64_t largest;
};

/* Why a job waits, and until when if nothing changes. */
struct cq_wait {
	uint32_t job;
	enum cq_reason reason;
	int64_t expected_start_ns; /* or CQ_FLEET_UNKNOWN_NS */
	int64_t expected_end_ns;   /* or CQ_FLEET_UNKNOWN_NS */
};

/*
 * A guarantee that the usable workers cannot hold. Guarantees are dropped in
 * this order: fewest accelerators per shape first, so that those that are
 * hardest to place again stay; then the highest index; and shapes in use
 * last.
 */
struct cq_shortfall {
	uint32_t guarantee;
	uint32_t shapes;       /* of count */
	uint32_t accelerators; /* shapes x accelerators */
};

/* The part of a cell on one worker. */
struct cq_cell_part {
	uint64_t cell; /* (guarantee id << 32) + ordinal + 1 */
	uint32_t guarantee;
	uint32_t worker;
	uint32_t accelerators;
	uint32_t used; /* by tasks within the guarantee */
};

struct cq_plan {
	struct cq_action *actions;
	uint32_t action_count;
	struct cq_wait *waits; /* one per job that keeps waiting */
	uint32_t wait_count;
	struct cq_shortfall *shortfalls;
	uint32_t shortfall_count;
	/* Where the guarantees stand; parts of a cell are consecutive. */
	struct cq_cell_part *cells;
	uint32_t cell_count;
	/* Of each job of the snapshot, after the actions. */
	enum cq_tier *tiers;
	uint32_t tier_count;
};

struct cq_planner;

struct cq_planner *cq_planner_create(void);
void cq_planner_destroy(struct cq_planner *planner);

/*
 * Returns the plan, or NULL with CQ_ERR_INVALID when the snapshot is not
 * consistent (an index out of range, a task outside its worker, a policy
 * value out of range).
 */
struct cq_plan *cq_planner_plan(struct cq_planner *planner,
				const struct cq_snapshot *snapshot,
				struct cq_error *err);
void cq_plan_destroy(struct cq_plan *plan);

/* Which resource of a job can never be provided; the submission check. */
struct cq_misfit {
	enum cq_resource resource; /* CQ_RESOURCE_NONE: the job can run */
	uint64_t requested;
	uint64_t largest;
};

/*
 * Checks a job against the whole fleet, including workers and data centres
 * that are down or out at present. Returns true when it could run.
 */
bool cq_planner_can_ever_run(const struct cq_snapshot *snapshot,
			     const struct cq_fleet_job *job,
			     struct cq_misfit *misfit);

/* A job ended by itself after run_ns of run time, over all its starts. */
void cq_planner_observe_end(struct cq_planner *planner, const char *workspace,
			    const char *class_name, int64_t declared_run_ns,
			    int64_t run_ns);
/*
 * A task of the job failed by itself on the worker (it was not stopped and
 * the worker was not lost), or ended well there.
 */
void cq_planner_observe_failure(struct cq_planner *planner, const char *job,
				const char *worker);
void cq_planner_observe_success(struct cq_planner *planner, const char *job,
				const char *worker);
/* The answer of a probe; success ends the quarantine. */
void cq_planner_observe_probe(struct cq_planner *planner, const char *worker,
			      bool ok, int64_t now_ns);
/* The job is gone; its failures no longer count. */
void cq_planner_forget_job(struct cq_planner *planner, const char *job);
/* The worker left the fleet for good or was replaced. */
void cq_planner_forget_worker(struct cq_planner *planner, const char *worker);

/* Predicted run time of a job from its start; never negative. */
int64_t cq_planner_predict_run_ns(const struct cq_planner *planner,
				  const struct cq_snapshot *snapshot,
				  const struct cq_fleet_job *job);
bool cq_planner_is_quarantined(const struct cq_planner *planner,
			       const char *worker);

/* Writes a sentence for operators; returns the length as snprintf does. */
int cq_plan_explain_action(const struct cq_snapshot *snapshot,
			   const struct cq_action *action, char *text,
			   size_t text_bytes);
int cq_plan_explain_wait(const struct cq_snapshot *snapshot,
			 const struct cq_wait *wait, char *text,
			 size_t text_bytes);
int cq_plan_explain_shortfall(const struct cq_snapshot *snapshot,
			      const struct cq_shortfall *shortfall, char *text,
			      size_t text_bytes);

const char *cq_action_kind_string(enum cq_action_kind kind);
const char *cq_reason_string(enum cq_reason reason);
const char *cq_resource_string(enum cq_resource resource);
const char *cq_tier_string(enum cq_tier tier);

#endif
