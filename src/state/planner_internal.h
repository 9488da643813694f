/*
 * Working state of one cq_planner_plan() call, shared by the modules of the
 * planner.
 */
#ifndef CQ_STATE_PLANNER_INTERNAL_H
#define CQ_STATE_PLANNER_INTERNAL_H

#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/planner.h"

#define CQ_NONE CQ_FLEET_NONE

struct cq_history;
struct cq_history_entry;
struct cq_health;
struct cq_saved_cells;
struct cq_hold;

struct cq_planner {
	struct cq_history *history;
	struct cq_health *health;
	struct cq_saved_cells *saved_cells;
	GHashTable *holds; /* job id to struct cq_hold */
	/* Hashes of the job sizes that the fleet can hold. */
	GHashTable *feasible_sizes;
	/* Hash of the fleet that feasible_sizes refers to. */
	uint64_t fleet_hash;
	/*
	 * Smoothed number of accelerators in use by urgent jobs, and its
	 * variance.
	 */
	double urgent_mean;
	double urgent_variance;
	int64_t urgent_updated_ns; /* 0: nothing observed yet */
};

/* Resources of a worker, a cell part, or one or several tasks. */
struct cq_resources {
	int64_t accelerators;
	int64_t millicores;
	int64_t memory_bytes;
};

/* Working state of a worker of the snapshot, at the same index. */
struct cq_plan_worker {
	uint64_t free_mask;
	struct cq_resources total;
	/* Total less the larger of declared and observed use. */
	struct cq_resources free;
	/* Held for waiting jobs while other jobs are stopped for them. */
	struct cq_resources held;
	/*
	 * Reserved for waiting jobs, the first of which starts at
	 * reserved_from_ns.
	 */
	struct cq_resources reserved;
	int64_t reserved_from_ns;
	/* Accelerators in cells, and those of them charged to tasks. */
	uint32_t cell_accelerators;
	uint32_t cell_used;
	uint32_t first_task;
	uint32_t first_part; /* head of the list of its cell parts */
	uint32_t position;   /* position in worker_order */
	bool visited;	     /* scratch flag while workers are collected */
	uint32_t dc;
	uint32_t rack_ordinal; /* unique over all data centres */
	bool usable;	       /* may receive starts */
};

/* Working state of a task of the snapshot, at the same index. */
struct cq_plan_task {
	uint32_t next_on_worker;
	uint32_t next_of_job;
	uint32_t part; /* cell part the task is charged to, or CQ_NONE */
	struct cq_resources use;
};

/* Working state of a job of the snapshot, at the same index. */
struct cq_plan_job {
	uint32_t first_task;
	uint32_t task_count;
	uint32_t rank; /* rank of its class */
	enum cq_tier tier;
	/*
	 * This or an earlier plan has decided to stop the job, possibly after a
	 * checkpoint.
	 */
	bool stopping;
	bool stop_planned; /* this plan has its stop action */
	bool failed_before;
	/* Capacity held by the last plan for a waiting job, or NULL. */
	const struct cq_hold *hold;
	int64_t predicted_run_ns;
	int64_t predicted_end_ns; /* running jobs only */
};

/* Part of a cell on one worker; lists are linked by index, up to CQ_NONE. */
struct cq_part {
	uint64_t label;
	uint32_t cell; /* index in cq_plan_context.cells */
	uint32_t worker;
	uint32_t next_on_worker;
	uint32_t next_of_workspace;
	struct cq_resources total;
	struct cq_resources used;
	bool placed;
};

/* Place of one guaranteed shape; see planner_cells.c. */
struct cq_cell {
	uint32_t guarantee;
	uint32_t ordinal;
	uint32_t first_part;	 /* the parts of a cell are consecutive */
	uint32_t part_count;	 /* 0: the cell is not placed */
	uint32_t used;		 /* accelerators charged to tasks */
	bool has_labelled_tasks; /* running tasks carry its label */
};

/*
 * Limit of unused parts considered when a cell is rebound; bounds the time of a
 * plan.
 */
#define CQ_MAX_PARTS_TRIED 64

/* Unused parts among the first CQ_MAX_PARTS_TRIED parts of a workspace. */
struct cq_unused_parts {
	uint32_t parts[CQ_MAX_PARTS_TRIED];
	uint32_t count;
	bool is_current; /* false: collect the parts again */
};

/* A worker considered for a job, with the number of tasks it can take. */
struct cq_candidate {
	uint32_t worker;
	uint32_t tasks;
	uint64_t cost; /* workers of a region are taken in ascending order */
};

/* State of one cq_planner_plan() call; freed by cq_plan_context_clear(). */
struct cq_plan_context {
	struct cq_planner *planner;
	const struct cq_snapshot *snapshot;
	const struct cq_policy *policy;
	int64_t now_ns;
	struct cq_plan_worker *workers;
	struct cq_plan_task *tasks;
	struct cq_plan_job *jobs;
	uint32_t *worker_order; /* workers by data centre, rack and index */
	/*
	 * Workers of worker_order with free accelerators; the list only
	 * shrinks.
	 */
	uint32_t *free_workers;
	uint32_t free_worker_count;
	uint32_t *dc_starts_left;
	uint32_t rack_count;
	uint32_t max_accelerators; /* largest number on one worker */
	int64_t usable_accelerators;
	struct cq_cell *cells;
	uint32_t cell_count;
	GArray *parts; /* array of struct cq_part */
	/* Heads of the lists of cell parts linked by next_of_workspace. */
	uint32_t *workspace_parts;
	/*
	 * Size of the smallest part of a workspace that holds a task, indexed
	 * by workspace and accelerators of the task; 0: no part is large
	 * enough.
	 */
	uint8_t *smallest_part_sizes;
	struct cq_unused_parts *unused_parts; /* indexed by workspace */
	int64_t *workspace_borrowed; /* accelerators of its borrowers */
	/*
	 * Accelerators in the cells of a workspace that no task is charged to.
	 */
	int64_t *workspace_uncharged;
	struct cq_candidate *candidates; /* scratch, one per worker */
	/* Scratch array with room for one entry per task of a gang. */
	struct cq_candidate *chosen;
	uint32_t chosen_count;
	GHashTable *holds; /* holds made by this plan, by job id */
	GArray *actions;
	GArray *waits;
	GArray *shortfalls;
	/*
	 * Free accelerators of usable workers, and how many of them are to stay
	 * free for urgent jobs.
	 */
	int64_t free_accelerators;
	int64_t headroom;
	uint32_t starts_left;
	uint32_t feasibility_checks;
	uint64_t fleet_hash; /* 0: not computed yet */
};

static inline struct cq_part *cq_part_at(const struct cq_plan_context *ctx,
					 uint32_t index)
{
	return &g_array_index(ctx->parts, struct cq_part, index);
}

static inline struct cq_resources cq_job_demand(const struct cq_fleet_job *job,
						int64_t tasks)
{
	struct cq_resources need = { job->accelerators * tasks,
				     job->millicores * tasks,
				     (int64_t)job->memory_bytes * tasks };

	return need;
}

static inline void cq_resources_add(struct cq_resources *to,
				    struct cq_resources by)
{
	to->accelerators += by.accelerators;
	to->millicores += by.millicores;
	to->memory_bytes += by.memory_bytes;
}

static inline void cq_resources_subtract(struct cq_resources *from,
					 struct cq_resources by)
{
	from->accelerators -= by.accelerators;
	from->millicores -= by.millicores;
	from->memory_bytes -= by.memory_bytes;
}

static inline bool cq_resources_fit(struct cq_resources need,
				    struct cq_resources room)
{
	return need.accelerators <= room.accelerators &&
	       need.millicores <= room.millicores &&
	       need.memory_bytes <= room.memory_bytes;
}

/* Number of tasks of the job that fit into the room, at most limit. */
uint32_t cq_resources_count_tasks(struct cq_resources room,
				  const struct cq_fleet_job *job,
				  uint32_t limit);

/* planner_check.c */
/* Returns false with CQ_ERR_INVALID if the snapshot is not consistent. */
bool cq_snapshot_check(const struct cq_snapshot *snapshot,
		       struct cq_error *err);

/*
 * Whether a waiting job could ever run; remembers the sizes that can. At most a
 * fixed number of new sizes is checked per plan; the others count as feasible
 * until a later plan.
 */
bool cq_check_feasible(struct cq_plan_context *ctx, uint32_t job,
		       struct cq_misfit *misfit);

/* planner_index.c */
void cq_plan_context_init(struct cq_plan_context *ctx);
/*
 * Lists the workers with free accelerators. Stops take effect only in a later
 * snapshot, so no accelerators become free during a plan.
 */
void cq_plan_list_free_workers(struct cq_plan_context *ctx);
void cq_plan_context_clear(struct cq_plan_context *ctx);
/* Ordinal of the worker, rack or data centre (adjacency) of a worker. */
uint32_t cq_region_of(const struct cq_plan_context *ctx, uint32_t worker,
		      enum cq_adjacency adjacency);
struct cq_action *cq_plan_add_action(struct cq_plan_context *ctx,
				     enum cq_action_kind kind,
				     enum cq_reason reason, uint32_t job);
/*
 * Accelerator-ms of work lost if the job is stopped by the deadline, restart
 * included.
 */
uint64_t cq_lost_work_ms(const struct cq_plan_context *ctx, uint32_t job,
			 int64_t deadline_ns);
/*
 * Checkpoints a running job, to be stopped by the deadline, or stops it at once
 * if a checkpoint would not be complete by then.
 */
void cq_plan_evict(struct cq_plan_context *ctx, uint32_t job,
		   enum cq_reason reason, uint32_t for_job,
		   int64_t deadline_ns);
void cq_plan_stop(struct cq_plan_context *ctx, uint32_t job,
		  enum cq_reason reason, uint32_t for_job);

/* planner_headroom.c */
/* Sets ctx->headroom, the accelerators to keep free for urgent jobs. */
void cq_plan_headroom(struct cq_plan_context *ctx);

/* planner_guard.c */
/* Plans the stops, checkpoints and throttles of running jobs. */
void cq_plan_running_jobs(struct cq_plan_context *ctx);
/* Quarantines failing workers and plans the probes of those in quarantine. */
void cq_plan_quarantine(struct cq_plan_context *ctx);

/* planner_cells.c */
/* Places the cells of all guarantees and records the shortfalls. */
void cq_plan_cells(struct cq_plan_context *ctx);
/* Saves the places of the cells for the next plan. */
void cq_cells_save(struct cq_plan_context *ctx);
void cq_cells_add_part(struct cq_plan_context *ctx, uint32_t cell,
		       uint32_t worker, uint32_t accelerators);
/* Removes an unused cell from its workers; its array entries stay. */
void cq_cells_remove(struct cq_plan_context *ctx, uint32_t cell);
/* Moves one part; the caller has checked the room and the region. */
void cq_cells_move_part(struct cq_plan_context *ctx, uint32_t part,
			uint32_t worker);
/* Accelerators of a worker that are not in any cell. */
uint32_t cq_cells_unassigned_accelerators(const struct cq_plan_context *ctx,
					  uint32_t worker);
struct cq_saved_cells *cq_saved_cells_create(void);
void cq_saved_cells_destroy(struct cq_saved_cells *saved_cells);

/* planner_tiers.c */
/* Charges running jobs to cells; those that fit in none are borrowers. */
void cq_plan_tiers(struct cq_plan_context *ctx);
/*
 * The part of the workspace on the worker with the least sufficient number of
 * free accelerators, or CQ_NONE.
 */
uint32_t cq_cells_find_part(const struct cq_plan_context *ctx,
			    uint32_t workspace, uint32_t worker,
			    struct cq_resources need);
void cq_cells_charge(struct cq_plan_context *ctx, uint32_t part,
		     struct cq_resources need);
void cq_cells_uncharge(struct cq_plan_context *ctx, uint32_t part,
		       struct cq_resources need);
/*
 * Uncharges the tasks of a running job from their cells and sets its tier to
 * CQ_TIER_NONE.
 */
void cq_tiers_release(struct cq_plan_context *ctx, uint32_t job);
/*
 * Accelerators of the smallest part that could hold the demand; very large if
 * there is none.
 */
int64_t cq_cells_smallest_part(const struct cq_plan_context *ctx,
			       uint32_t workspace, struct cq_resources need);
/* Whether one task takes more than half of the smallest part it fits into. */
bool cq_cells_fills_part(const struct cq_plan_context *ctx, uint32_t job);
/* Whether a part of the workspace that is in use has room for the demand. */
bool cq_cells_has_open_part(const struct cq_plan_context *ctx,
			    uint32_t workspace, struct cq_resources need);
/*
 * Moves an unused part of the workspace that holds the demand to the worker;
 * false if none can move.
 */
bool cq_cells_rebind(struct cq_plan_context *ctx, uint32_t workspace,
		     uint32_t worker, struct cq_resources need);

/* planner_place.c */
/*
 * Sets room to what the job may take on the worker now. False: the job cannot
 * start there. was_reserved may be NULL; it is set if a reservation on the
 * worker reduced the room.
 */
bool cq_place_room(const struct cq_plan_context *ctx, uint32_t job,
		   uint32_t worker, struct cq_resources *room,
		   bool *was_reserved);
/* Cost that ranks workers on which the job failed after all others. */
uint64_t cq_place_failure_cost(const struct cq_plan_context *ctx, uint32_t job,
			       uint32_t worker);
/* Chooses workers with free capacity; false if the job does not fit. */
bool cq_place_free(struct cq_plan_context *ctx, uint32_t job,
		   bool *was_reserved);
/* Starts the job within the guarantees of its workspace, if it fits. */
bool cq_place_guaranteed(struct cq_plan_context *ctx, uint32_t job);
/* Whether the job is small and must use room in a cell that is in use. */
bool cq_place_avoids_unused_cells(const struct cq_plan_context *ctx,
				  uint32_t job);
/*
 * Sets ctx->candidates to the usable workers with cell parts of the job's
 * workspace, in the order of ctx->worker_order if the job is a gang. Returns
 * their number.
 */
uint32_t cq_place_collect_workspace_workers(struct cq_plan_context *ctx,
					    uint32_t job);
/*
 * Chooses the cheapest set of workers among the candidates, all in one region.
 * The candidates of a gang must be in the order of ctx->worker_order, those of
 * a single task may be in any order.
 */
bool cq_place_choose(struct cq_plan_context *ctx, uint32_t count, uint32_t job,
		     uint64_t *cost);
/*
 * Starts the job on the chosen workers. parts has one cell part per task, or is
 * NULL for a borrower.
 */
void cq_place_start(struct cq_plan_context *ctx, uint32_t job,
		    enum cq_reason reason, const uint32_t *parts);

/* planner_reserve.c */
/*
 * Reserves capacity where the job can start earliest. Returns that time, or
 * CQ_FLEET_UNKNOWN_NS if there is no such place.
 */
int64_t cq_place_reserve(struct cq_plan_context *ctx, uint32_t job);

/* planner_reclaim.c */
/*
 * Stops borrowers, and for an urgent job also jobs of its workspace in classes
 * served later, on cells of the workspace. Holds the capacity for the job.
 */
bool cq_reclaim_cells(struct cq_plan_context *ctx, uint32_t job);
/*
 * Like cq_reclaim_cells(), for a job that fills shapes which smaller jobs of
 * its own workspace use in part. These jobs are stopped and may start in other
 * cells of the workspace.
 */
bool cq_reclaim_repack(struct cq_plan_context *ctx, uint32_t job);
/*
 * Stops borrowers for a job above the guarantees of its workspace. Unless the
 * job is urgent, the work lost must be less than the gain of starting it
 * wait_saved_ns earlier.
 */
bool cq_reclaim_borrowed(struct cq_plan_context *ctx, uint32_t job,
			 int64_t wait_saved_ns);

/* planner_hold.c */
GHashTable *cq_holds_create(void);
/* Deducts the capacity held by the last plan for jobs that still wait. */
void cq_holds_apply(struct cq_plan_context *ctx);
/*
 * Makes the held capacity available again, before the job itself is placed.
 * Returns false if nothing was held.
 */
bool cq_holds_release(struct cq_plan_context *ctx, uint32_t job);
/* Holds capacity for the job on the chosen workers, in the next plan too. */
void cq_holds_add(struct cq_plan_context *ctx, uint32_t job);
/* Keeps the holds of this plan for the next one. */
void cq_holds_save(struct cq_plan_context *ctx);

/* planner_queue.c */
/* Decides about every waiting job: start, reject, reclaim or wait. */
void cq_plan_queue(struct cq_plan_context *ctx);
/* planner_estimate.c */
/* Estimates the start and end of the jobs that keep waiting. */
void cq_plan_estimate(struct cq_plan_context *ctx);

/* planner_history.c */
struct cq_history *cq_history_create(void);
void cq_history_destroy(struct cq_history *history);
void cq_history_add(struct cq_history *history, const char *workspace,
		    const char *class_name, int64_t declared_ns,
		    int64_t run_ns);
/* Returns NULL if no job of the workspace and class has ended yet. */
const struct cq_history_entry *cq_history_find(const struct cq_history *history,
					       const char *workspace,
					       const char *class_name);
int64_t cq_history_predict_ns(const struct cq_history_entry *entry,
			      int64_t declared_ns);
/* Predicted remaining run time of a job that ran for elapsed_ns already. */
int64_t cq_history_remaining_ns(int64_t predicted_ns, int64_t elapsed_ns);

/* planner_health.c */
struct cq_health *cq_health_create(void);
void cq_health_destroy(struct cq_health *health);
void cq_health_record_failure(struct cq_health *health, const char *job,
			      const char *worker);
void cq_health_record_success(struct cq_health *health, const char *job,
			      const char *worker);
void cq_health_forget_job(struct cq_health *health, const char *job);
void cq_health_record_probe(struct cq_health *health, const char *worker,
			    bool ok, int64_t now_ns);
bool cq_health_is_quarantined(const struct cq_health *health,
			      const char *worker);
bool cq_health_probe_due(const struct cq_health *health, const char *worker,
			 int64_t now_ns, int64_t interval_ns);
void cq_health_forget_worker(struct cq_health *health, const char *worker);
/* Number of distinct jobs whose failures are attributed to the worker. */
uint32_t cq_health_worker_failures(const struct cq_health *health,
				   const char *worker);
/* Number of distinct workers whose failures are attributed to the job. */
uint32_t cq_health_job_failures(const struct cq_health *health,
				const char *job);
/* Number of failures of the job, whatever they are attributed to. */
uint32_t cq_health_job_total_failures(const struct cq_health *health,
				      const char *job);
bool cq_health_failed_on(const struct cq_health *health, const char *job,
			 const char *worker);
void cq_health_quarantine(struct cq_health *health, const char *worker,
			  int64_t now_ns);
bool cq_health_is_empty(const struct cq_health *health);

#endif
