/*
 * Snapshot of the fleet, the input of the planner.
 *
 * A snapshot is plain data that the caller builds and keeps; the planner does
 * not change it and keeps no pointer into it after the call. Entries refer to
 * each other by their index in the snapshot's arrays, CQ_FLEET_NONE meaning
 * none. Times are nanoseconds of the clock that now_ns was read from.
 */
#ifndef CHESTNUTQUAY_FLEET_H
#define CHESTNUTQUAY_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CQ_FLEET_NONE UINT32_MAX
#define CQ_FLEET_MAX_ACCELERATORS 64
#define CQ_FLEET_MAX_GANG 64

/* A run time or an end that nobody declared. */
#define CQ_FLEET_UNKNOWN_NS INT64_C(-1)

enum cq_dc_state {
	CQ_DC_IN,
	CQ_DC_OUT, /* no starts; its tasks are gone by the notice deadline */
};

enum cq_worker_state {
	CQ_WORKER_UP,
	CQ_WORKER_LOST, /* its tasks are gone */
};

/* The smallest unit that all accelerators of a shape or gang lie in. */
enum cq_adjacency {
	CQ_ADJACENT_WORKER,
	CQ_ADJACENT_RACK,
	CQ_ADJACENT_DC,
};

enum cq_job_state {
	CQ_JOB_WAITING,
	CQ_JOB_RUNNING, /* includes gangs whose start is under way */
};

struct cq_fleet_dc {
	const char *name;
	enum cq_dc_state state;
	int64_t notice_deadline_ns; /* CQ_DC_OUT: when its tasks must be gone */
	int64_t in_since_ns;	    /* CQ_DC_IN: when it last returned */
};

struct cq_fleet_worker {
	const char *name; /* stable; the key of its failure history */
	uint32_t dc;
	uint32_t rack; /* any number; unique within the data centre */
	enum cq_worker_state state;
	uint32_t accelerators; /* accelerator i is bit i of a mask */
	uint32_t millicores;
	uint64_t memory_bytes;
};

struct cq_fleet_class {
	const char *name;
	uint32_t rank; /* 0 is served first */
	bool urgent;   /* starts within urgent_start_ns, reclaim included */
};

struct cq_fleet_workspace {
	const char *name;
};

/* count shapes of the given number of accelerators for a workspace. */
struct cq_fleet_guarantee {
	uint32_t id; /* stable, not 0; part of the cell labels of tasks */
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

	/* Declared size; the last three are those of one task. */
	uint32_t tasks;
	enum cq_adjacency adjacency;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;

	int64_t submitted_ns;
	int64_t declared_run_ns; /* of the whole job, or CQ_FLEET_UNKNOWN_NS */
	int64_t done_ns;	 /* run time kept by the last checkpoint */
	uint32_t evictions;	 /* how often it was stopped for others */

	bool can_checkpoint;
	int64_t checkpoint_cost_ns; /* how long a checkpoint takes */
	int64_t restart_cost_ns;    /* run time lost by a restart */

	/* Running jobs only. */
	int64_t started_ns;
	int64_t last_checkpoint_ns; /* CQ_FLEET_UNKNOWN_NS: none yet */
	/*
	 * Echo of the last checkpoint action that announced a stop; 0 means
	 * none. stop_for is the waiting job that the stop makes room for.
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
	 * Label given by the start action: the cell the task is charged to,
	 * 0 for a borrower. It lets a new owner rebuild the cells.
	 */
	uint64_t cell;
	uint32_t observed_millicores; /* 0 until the first report */
	uint64_t observed_memory_bytes;
	uint32_t throttle_percent; /* 100: not throttled */
};

/* Settings that steer the decisions; see cq_policy_init for the defaults. */
struct cq_policy {
	/*
	 * Changes only the order of the waiting jobs within a class, which is
	 * ascending in predicted work ^ (weight / 1000) / (age + 30 s); work
	 * is accelerators x run time. 1000 serves short and small jobs first,
	 * 0 serves in the order of arrival. Placement does not depend on it.
	 */
	uint32_t completion_weight_permille;
	uint32_t max_starts_per_plan;
	/* Bound per plan for a data centre within refill_ns of its return. */
	uint32_t max_refill_starts_per_plan;
	int64_t refill_ns;
	uint32_t max_reservations;
	int64_t urgent_start_ns;     /* from submission to the start */
	int64_t start_margin_ns;     /* for the start after the reclaim */
	int64_t checkpoint_grace_ns; /* deadline of checkpoints not urgent */
	/* A move or a reclaim for a borrower needs this much more gain. */
	uint32_t move_gain_permille;
	int64_t min_run_ns; /* no move before a job ran for this long */
	uint32_t max_evictions;
	/* Memory use of a worker that starts checkpoints, and stops. */
	uint32_t memory_high_permille;
	uint32_t memory_critical_permille;
	uint32_t cpu_high_permille;
	uint32_t job_failure_workers;	  /* distinct workers until it fails */
	uint32_t worker_failure_jobs;	  /* distinct jobs until quarantine */
	uint32_t max_quarantine_permille; /* of the workers; at least one */
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
	const struct cq_fleet_job *jobs; /* waiting and running */
	uint32_t job_count;
	const struct cq_fleet_task *tasks; /* of running jobs */
	uint32_t task_count;
};

const char *cq_dc_state_string(enum cq_dc_state state);
const char *cq_worker_state_string(enum cq_worker_state state);
const char *cq_adjacency_string(enum cq_adjacency adjacency);
const char *cq_job_state_string(enum cq_job_state state);

#endif
