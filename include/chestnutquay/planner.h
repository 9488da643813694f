/*
 * Planner: decides which jobs start, stop and wait, and where they run.
 *
 * cq_planner_plan() maps a snapshot of the fleet to a plan. It does no I/O,
 * reads no clock and is deterministic: the same planner history and the same
 * snapshot give the same plan. The planner object keeps only learned state (run
 * times, use by urgent jobs, failures and quarantine, capacity held for
 * reclaims and the last place of unused cells). A newly created planner gives
 * valid plans and learns again.
 *
 * The caller carries out the actions and builds the next snapshot from the
 * reports of the workers. Actions that had no effect are planned again. The
 * caller must meet these conditions:
 * - A gang that is still being started is listed as running, with all its
 *   tasks.
 * - A checkpoint action is copied to the stop_* fields of the job until the job
 *   is stopped.
 * - A job stopped for CQ_REASON_MEMORY_OVERRUN is queued again with its
 *   observed memory use as the declared size; with the old size it would be
 *   stopped again.
 * - A plan is made at every stop deadline at least, and several times within
 *   urgent_start_ns.
 * - The action to probe a worker is repeated in every plan until
 *   cq_planner_observe_probe() is called.
 */
#ifndef CHESTNUTQUAY_PLANNER_H
#define CHESTNUTQUAY_PLANNER_H

#include "chestnutquay/error.h"
#include "chestnutquay/fleet.h"

enum cq_action_kind {
	CQ_ACTION_START,      /* starts all tasks of a gang */
	CQ_ACTION_CHECKPOINT, /* a job, by deadline_ns; a stop follows */
	CQ_ACTION_THROTTLE,   /* throttles the CPU use of one task to percent */
	CQ_ACTION_STOP,	      /* stops all tasks of a job; it waits again */
	CQ_ACTION_REJECT,     /* rejects a waiting job permanently */
	CQ_ACTION_QUARANTINE, /* a worker receives no more starts */
	CQ_ACTION_PROBE,      /* a quarantined worker is due for a probe */
};

enum cq_reason {
	CQ_REASON_NONE,
	/* Reasons of starts. */
	CQ_REASON_GUARANTEED, /* within the guarantees of the workspace */
	CQ_REASON_BORROWED,   /* above the guarantees, on idle capacity */
	CQ_REASON_BACKFILLED, /* borrowed; does not delay a reservation */
	/* Reasons of checkpoints, stops and throttles. */
	CQ_REASON_RECLAIM,	    /* a guarantee needs the capacity */
	CQ_REASON_PREEMPTED,	    /* a higher-priority class needs it */
	CQ_REASON_MOVED,	    /* a larger job needs the capacity */
	CQ_REASON_DC_OUT,	    /* the data centre goes out of service */
	CQ_REASON_GANG_MEMBER_LOST, /* a task of the gang was lost */
	CQ_REASON_MEMORY_OVERRUN,   /* used more memory than declared */
	CQ_REASON_CPU_OVERRUN,	    /* used more cores than declared */
	CQ_REASON_OVERRUN_ENDED,    /* the throttle of a task is lifted */
	/* Reasons of rejections. */
	CQ_REASON_NEVER_FITS,	  /* larger than the fleet can hold */
	CQ_REASON_FAILS_ANYWHERE, /* failed on several distinct workers */
	/* Reasons of quarantine and probes. */
	CQ_REASON_WORKER_FAILS_JOBS,
	CQ_REASON_PROBE_DUE,
	/* Reasons why a job keeps waiting. */
	CQ_REASON_WAIT_CAPACITY,    /* not enough free capacity in one place */
	CQ_REASON_WAIT_RESERVATION, /* free capacity is reserved for others */
	CQ_REASON_WAIT_RECLAIM,	    /* borrowers are being stopped for it */
	CQ_REASON_WAIT_DC_OUT,	    /* its only data centre is out of service */
	CQ_REASON_WAIT_START_LIMIT, /* limit of starts per plan is reached */
	CQ_REASON_WAIT_TURN,	    /* limit of attempts per plan is reached */
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
	uint64_t cell; /* label for the task; 0: borrower */
};

struct cq_action {
	enum cq_action_kind kind;
	enum cq_reason reason;
	uint32_t job;	  /* index of the job, or CQ_FLEET_NONE */
	uint32_t task;	  /* THROTTLE: index in the snapshot's tasks */
	uint32_t worker;  /* THROTTLE, QUARANTINE, PROBE, memory overruns */
	uint32_t for_job; /* the waiting job that benefits, if any */
	/*
	 * CHECKPOINT: the job is stopped at this time at the latest. Other
	 * kinds: time of the plan.
	 */
	int64_t deadline_ns;
	int64_t predicted_end_ns;     /* START */
	uint32_t percent;	      /* THROTTLE */
	uint64_t lost_accelerator_ms; /* CHECKPOINT, STOP: estimated loss */
	/* START: one entry per rank. */
	const struct cq_placement *placements;
	uint32_t placement_count;
	/*
	 * REJECT: resource that does not fit, the amount requested per task or
	 * gang, and the largest amount that could ever be placed.
	 */
	enum cq_resource resource;
	uint64_t requested;
	uint64_t largest;
};

/* Why a job waits, and its estimated start and end. */
struct cq_wait {
	uint32_t job;
	enum cq_reason reason;
	int64_t expected_start_ns; /* or CQ_FLEET_UNKNOWN_NS */
	int64_t expected_end_ns;   /* or CQ_FLEET_UNKNOWN_NS */
};

/*
 * A guarantee that the usable workers cannot hold in full. Shapes are given up
 * in this order: those with the fewest accelerators first, so that the shapes
 * that are hardest to place again stay; then those of the guarantee with the
 * highest index. Shapes in use are given up last.
 */
struct cq_shortfall {
	uint32_t guarantee;
	uint32_t shapes;       /* shapes not placed, out of count */
	uint32_t accelerators; /* accelerators of those shapes together */
};

/*
 * The part of a cell on one worker. A cell is the place of one guaranteed shape
 * and may span several workers.
 */
struct cq_cell_part {
	uint64_t cell; /* label: (guarantee id << 32) + ordinal + 1 */
	uint32_t guarantee;
	uint32_t worker;
	uint32_t accelerators;
	uint32_t used; /* accelerators charged to tasks */
};

struct cq_plan {
	struct cq_action *actions;
	uint32_t action_count;
	struct cq_wait *waits; /* one per job that keeps waiting */
	uint32_t wait_count;
	struct cq_shortfall *shortfalls;
	uint32_t shortfall_count;
	/* Placement of the guarantees; parts of one cell are consecutive. */
	struct cq_cell_part *cells;
	uint32_t cell_count;
	/* Tier of each job of the snapshot, after the actions. */
	enum cq_tier *tiers;
	uint32_t tier_count;
};

struct cq_planner;

struct cq_planner *cq_planner_create(void);
void cq_planner_destroy(struct cq_planner *planner);

/*
 * Returns the plan, or NULL with CQ_ERR_INVALID if the snapshot is not
 * consistent (an index out of range, a task outside its worker, a policy value
 * out of range). The caller frees it with cq_plan_destroy().
 */
struct cq_plan *cq_planner_plan(struct cq_planner *planner,
				const struct cq_snapshot *snapshot,
				struct cq_error *err);
void cq_plan_destroy(struct cq_plan *plan);

/* Resource that a job requests and the fleet can never provide. */
struct cq_misfit {
	enum cq_resource resource; /* CQ_RESOURCE_NONE: the job can run */
	uint64_t requested;
	uint64_t largest;
};

/*
 * Submission check: tests a job against the whole fleet, including workers and
 * data centres that are down or out of service at present. Returns true if it
 * could run. misfit may be NULL.
 */
bool cq_planner_can_ever_run(const struct cq_snapshot *snapshot,
			     const struct cq_fleet_job *job,
			     struct cq_misfit *misfit);

/*
 * Records that a job ended by itself after run_ns of run time, summed over all
 * its starts.
 */
void cq_planner_observe_end(struct cq_planner *planner, const char *workspace,
			    const char *class_name, int64_t declared_run_ns,
			    int64_t run_ns);
/*
 * Record that a task of the job failed by itself on the worker (it was not
 * stopped and the worker was not lost), or that it succeeded there.
 */
void cq_planner_observe_failure(struct cq_planner *planner, const char *job,
				const char *worker);
void cq_planner_observe_success(struct cq_planner *planner, const char *job,
				const char *worker);
/* Records the result of a probe; success ends the quarantine. */
void cq_planner_observe_probe(struct cq_planner *planner, const char *worker,
			      bool ok, int64_t now_ns);
/* Removes a job that ended or was cancelled; its failures no longer count. */
void cq_planner_forget_job(struct cq_planner *planner, const char *job);
/* Removes a worker that left the fleet permanently or was replaced. */
void cq_planner_forget_worker(struct cq_planner *planner, const char *worker);

/* Predicted remaining run time of a job when it starts; never negative. */
int64_t cq_planner_predict_run_ns(const struct cq_planner *planner,
				  const struct cq_snapshot *snapshot,
				  const struct cq_fleet_job *job);
bool cq_planner_is_quarantined(const struct cq_planner *planner,
			       const char *worker);

/*
 * Write a sentence for operators into text; return its length as snprintf()
 * does.
 */
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
