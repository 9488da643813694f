/*
 * Snapshot of the fleet: the input of the planner.
 *
 * A snapshot is plain data that the caller builds and owns. The planner does
 * not modify it and keeps no pointer into it after the call. Entries refer to
 * each other by their index in the snapshot's arrays; CQ_FLEET_NONE means none.
 * Times are nanoseconds on the clock that now_ns was read from.
 */
#ifndef CHESTNUTQUAY_FLEET_H
#define CHESTNUTQUAY_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CQ_FLEET_NONE UINT32_MAX
#define CQ_FLEET_MAX_ACCELERATORS 64
#define CQ_FLEET_MAX_GANG 64

/* An undeclared run time, or a time that cannot be predicted. */
#define CQ_FLEET_UNKNOWN_NS INT64_C(-1)

enum cq_dc_state {
	CQ_DC_IN,
	CQ_DC_OUT, /* receives no starts; tasks end by the notice deadline */
};

enum cq_worker_state {
	CQ_WORKER_UP,
	CQ_WORKER_LOST, /* its tasks no longer run */
};

/*
 * The smallest unit that must contain all tasks of a gang, or all accelerators
 * of a guaranteed shape.
 */
enum cq_adjacency {
	CQ_ADJACENT_WORKER,
	CQ_ADJACENT_RACK,
	CQ_ADJACENT_DC,
};

enum cq_job_state {
	CQ_JOB_WAITING,
	CQ_JOB_RUNNING, /* also a gang that is still being started */
};

struct cq_fleet_dc {
	const char *name;
	enum cq_dc_state state;
	int64_t notice_deadline_ns; /* CQ_DC_OUT: its tasks must end by then */
	int64_t in_since_ns;	    /* CQ_DC_IN: when it last entered service */
};

struct cq_fleet_worker {
	const char *name; /* stable; the key of its failure history */
	uint32_t dc;
	uint32_t rack; /* any number, unique within the data centre */
	enum cq_worker_state state;
	uint32_t accelerators; /* accelerator i is bit i of a mask */
	uint32_t millicores;
	uint64_t memory_bytes;
};

struct cq_fleet_class {
	const char *name;
	uint32_t rank; /* jobs of rank 0 are served first */
	bool urgent;   /* jobs start within urgent_start_ns, reclaim included */
};

struct cq_fleet_workspace {
	const char *name;
};

/*
 * Guarantees a workspace count shapes. A shape is a number of accelerators in
 * one worker, rack or data centre (adjacency).
 */
struct cq_fleet_guarantee {
	uint32_t id; /* stable and not 0; the high 32 bits of cell labels */
	uint32_t workspace;
	uint32_t count;
	uint32_t accelerators;
	enum cq_adjacency adjacency;
};

struct cq_fleet_job {
	const char *id; /* stable; the key of its failure history */
	enum cq_job_state state;
	uint32_t workspace;
	uint32_t class_index;
	uint32_t dc; /* the only data centre allowed, or CQ_FLEET_NONE */

	/* Declared size; the last three fields are those of one task. */
	uint32_t tasks;
	enum cq_adjacency adjacency;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;

	int64_t submitted_ns;
	int64_t declared_run_ns; /* for the whole job, or CQ_FLEET_UNKNOWN_NS */
	int64_t done_ns;	 /* run time saved by the last checkpoint */
	uint32_t evictions;	 /* how often it was stopped for another job */

	bool can_checkpoint;
	int64_t checkpoint_cost_ns; /* duration of a checkpoint */
	int64_t restart_cost_ns;    /* run time lost by a restart */

	/* The fields from here on are valid for running jobs only. */
	int64_t started_ns;
	int64_t last_checkpoint_ns; /* CQ_FLEET_UNKNOWN_NS: none yet */
	/*
	 * Copy of the last CQ_ACTION_CHECKPOINT action for this job, or 0 if
	 * there was none. stop_for is the waiting job that receives the freed
	 * capacity, or CQ_FLEET_NONE.
	 */
	int64_t stop_requested_ns;
	int64_t stop_deadline_ns;
	uint32_t stop_reason; /* enum cq_reason of that action */
	uint32_t stop_for;
};

struct cq_fleet_task {
	uint32_t job;
	uint32_t rank;
	uint32_t worker;
	uint64_t accelerator_mask;
	/*
	 * Label from the start action: the cell that the task is charged to, 0
	 * for a borrower. A planner created after a change of owner rebuilds
	 * the cells from these labels.
	 */
	uint64_t cell;
	uint32_t observed_millicores; /* 0 until the first report */
	uint64_t observed_memory_bytes;
	uint32_t throttle_percent; /* 100: not throttled */
};

/* Policy of the planner; cq_policy_init() sets the defaults. */
struct cq_policy {
	/*
	 * Affects only the order of the waiting jobs within a class, which is
	 * ascending in predicted work ^ (weight / 1000) / (age + 30 s), where
	 * work is accelerators x run time. 1000 serves short and small jobs
	 * first, 0 serves jobs in the order of arrival.
	 */
	uint32_t completion_weight_permille;
	uint32_t max_starts_per_plan;
	/*
	 * Limit of starts per plan in a data centre that returned to service
	 * less than refill_ns ago; it prevents a burst of starts there.
	 */
	uint32_t max_refill_starts_per_plan;
	int64_t refill_ns;
	/* Limit of reservations for waiting jobs per plan. */
	uint32_t max_reservations;
	int64_t urgent_start_ns; /* longest wait of an urgent job */
	/*
	 * Part of urgent_start_ns that is reserved for the start after a
	 * reclaim.
	 */
	int64_t start_margin_ns;
	/* Time allowed for a checkpoint that is not urgent. */
	int64_t checkpoint_grace_ns;
	/*
	 * Jobs are stopped for a borrower that is not urgent only if the
	 * accelerator time saved exceeds the accelerator time lost by this
	 * factor.
	 */
	uint32_t move_gain_permille;
	int64_t min_run_ns; /* no job is moved before it ran for this long */
	/*
	 * A job stopped this often for others is not moved for a borrower, and
	 * is less readily stopped for a guarantee or an urgent job.
	 */
	uint32_t max_evictions;
	/*
	 * Shares of a worker's memory. Above high, tasks that use more than
	 * declared are checkpointed and stopped; above critical, they are
	 * stopped at once.
	 */
	uint32_t memory_high_permille;
	uint32_t memory_critical_permille;
	/*
	 * Share of a worker's cores above which tasks that use more than
	 * declared are throttled.
	 */
	uint32_t cpu_high_permille;
	/* A job that failed on this many distinct workers is rejected. */
	uint32_t job_failure_workers;
	/* A worker on which this many distinct jobs failed is quarantined. */
	uint32_t worker_failure_jobs;
	/*
	 * Share of workers in quarantine at most, but always at least one
	 * worker.
	 */
	uint32_t max_quarantine_permille;
	/* Time between two probes of a quarantined worker. */
	int64_t probe_interval_ns;
};

void cq_policy_init(struct cq_policy *policy);

struct cq_snapshot {
	int64_t now_ns;
	const struct cq_policy *policy;
	const struct cq_fleet_dc *dcs;
	uint32_t dc_count;
	const struct cq_fleet_worker *workers;
	uint32_t worker_count;
	const struct cq_fleet_class *classes;
	uint32_t class_count;
	const struct cq_fleet_workspace *workspaces;
	uint32_t workspace_count;
	const struct cq_fleet_guarantee *guarantees;
	uint32_t guarantee_count;
	const struct cq_fleet_job *jobs; /* waiting and running jobs */
	uint32_t job_count;
	const struct cq_fleet_task *tasks; /* tasks of running jobs */
	uint32_t task_count;
};

const char *cq_dc_state_string(enum cq_dc_state state);
const char *cq_worker_state_string(enum cq_worker_state state);
const char *cq_adjacency_string(enum cq_adjacency adjacency);
const char *cq_job_state_string(enum cq_job_state state);

#endif
