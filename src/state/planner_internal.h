/*
 * Working state of one planning call, shared by the planner's modules.
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
struct cq_standing;
struct cq_hold;

struct cq_planner {
	struct cq_history *history;
	struct cq_health *health;
	struct cq_standing *standing;
	GHashTable *holds;    /* job id to struct cq_hold */
	GHashTable *possible; /* hashes of job sizes the fleet can hold */
	uint64_t fleet_hash;  /* of the fleet they were checked against */
	/* Smoothed accelerators in use by urgent jobs, and their variance. */
	double urgent_mean;
	double urgent_variance;
	int64_t urgent_at_ns; /* 0: nothing observed yet */
};

/* Resources of one or several tasks. */
struct cq_need {
	int64_t accelerators;
	int64_t millicores;
	int64_t memory_bytes;
};

struct cq_plan_worker {
	uint64_t free_mask;
	struct cq_need total;
	struct cq_need free; /* by the larger of declared and observed */
	/* Kept for waiting jobs whose reclaim is under way. */
	struct cq_need held;
	/* Kept for a reservation from reserved_from_ns on. */
	struct cq_need reserved;
	int64_t reserved_from_ns;
	uint32_t cell_accelerators;
	uint32_t cell_used;
	uint32_t first_task;
	uint32_t first_part; /* list of cell parts on this worker */
	uint32_t position;   /* in ctx->order */
	bool marked;	     /* scratch */
	uint32_t dc;
	uint32_t rack_ordinal; /* over all data centres */
	bool usable;	       /* may receive starts */
};

struct cq_plan_task {
	uint32_t next_on_worker;
	uint32_t next_of_job;
	uint32_t part; /* the cell part charged, or CQ_NONE */
	struct cq_need use;
};

struct cq_plan_job {
	uint32_t first_task;
	uint32_t task_count;
	uint32_t rank; /* of its class */
	enum cq_tier tier;
	bool leaving; /* checkpointed to be stopped, or stopped */
	bool stopped; /* a stop action is in this plan */
	bool failed_before;
	const struct cq_hold *hold; /* waiting: room kept by the last plan */
	int64_t predicted_run_ns;
	int64_t predicted_end_ns; /* running */
};

struct cq_part {
	uint64_t label;
	uint32_t cell; /* index of the cell */
	uint32_t worker;
	uint32_t next_on_worker;
	uint32_t next_of_workspace;
	struct cq_need total;
	struct cq_need used;
	bool live;
};

struct cq_cell {
	uint32_t guarantee;
	uint32_t ordinal;
	uint32_t first_part; /* parts of a cell are consecutive */
	uint32_t part_count; /* 0: not placed */
	uint32_t used;	     /* accelerators charged */
	bool bound;	     /* has labelled tasks */
};

/* Parts that a late binding tries at most; bounds the time of a plan. */
#define CQ_MAX_PARTS_TRIED 64

/* The unused ones among the first parts of a workspace. */
struct cq_unused_parts {
	uint32_t parts[CQ_MAX_PARTS_TRIED];
	uint32_t count;
	bool is_current;
};

/* One worker's share of a gang under consideration. */
struct cq_candidate {
	uint32_t worker;
	uint32_t tasks;
	uint64_t cost; /* chosen in ascending order within a region */
};

struct cq_plan_context {
	struct cq_planner *planner;
	const struct cq_snapshot *snapshot;
	const struct cq_policy *policy;
	int64_t now_ns;
	struct cq_plan_worker *workers;
	struct cq_plan_task *tasks;
	struct cq_plan_job *jobs;
	uint32_t *order; /* workers by data centre, rack and index */
	/* Those of them with free accelerators, which only become fewer. */
	uint32_t *free_order;
	uint32_t free_count;
	uint32_t *dc_starts_left;
	uint32_t rack_count;
	uint32_t max_accelerators; /* of one worker */
	int64_t usable_accelerators;
	struct cq_cell *cells;
	uint32_t cell_count;
	GArray *parts;		   /* struct cq_part */
	uint32_t *workspace_parts; /* heads of next_of_workspace */
	/* By workspace and accelerators of a task: the smallest part for it. */
	uint8_t *smallest_parts;
	struct cq_unused_parts *unused_parts; /* by workspace */
	int64_t *workspace_borrowed;	 /* accelerators of its borrowers */
	int64_t *workspace_unused;	 /* accelerators of unused parts */
	struct cq_candidate *candidates; /* scratch, one per worker */
	struct cq_candidate *chosen;	 /* scratch, one per gang member */
	uint32_t chosen_count;
	GHashTable *holds; /* those of this plan */
	GArray *actions;
	GArray *waits;
	GArray *shortfalls;
	/* Free accelerators, and how many of them urgent jobs will need. */
	int64_t free_accelerators;
	int64_t headroom;
	uint32_t starts_left;
	uint32_t size_checks;
	uint64_t fleet_hash; /* 0: not computed yet */
};

static inline struct cq_part *cq_part_at(const struct cq_plan_context *ctx,
					 uint32_t index)
{
	return &g_array_index(ctx->parts, struct cq_part, index);
}

static inline struct cq_need cq_job_need(const struct cq_fleet_job *job,
					 int64_t tasks)
{
	struct cq_need need = { job->accelerators * tasks,
				job->millicores * tasks,
				(int64_t)job->memory_bytes * tasks };

	return need;
}

static inline void cq_need_add(struct cq_need *to, struct cq_need by)
{
	to->accelerators += by.accelerators;
	to->millicores += by.millicores;
	to->memory_bytes += by.memory_bytes;
}

static inline void cq_need_subtract(struct cq_need *from, struct cq_need by)
{
	from->accelerators -= by.accelerators;
	from->millicores -= by.millicores;
	from->memory_bytes -= by.memory_bytes;
}

static inline bool cq_need_fits(struct cq_need need, struct cq_need room)
{
	return need.accelerators <= room.accelerators &&
	       need.millicores <= room.millicores &&
	       need.memory_bytes <= room.memory_bytes;
}

/* How many tasks of the job fit into the room, at most limit. */
uint32_t cq_need_count(struct cq_need room, const struct cq_fleet_job *job,
		       uint32_t limit);

/* planner_check.c */
bool cq_snapshot_check(const struct cq_snapshot *snapshot,
		       struct cq_error *err);

/* Whether a waiting job could ever run; remembers sizes that can. */
bool cq_check_possible(struct cq_plan_context *ctx, uint32_t job,
		       struct cq_misfit *misfit);

/* planner_index.c */
void cq_plan_index(struct cq_plan_context *ctx);
/* Lists the workers with free accelerators; no stop frees any in this plan. */
void cq_plan_index_free(struct cq_plan_context *ctx);
void cq_plan_context_clear(struct cq_plan_context *ctx);
uint32_t cq_region_of(const struct cq_plan_context *ctx, uint32_t worker,
		      enum cq_adjacency adjacency);
struct cq_action *cq_plan_add_action(struct cq_plan_context *ctx,
				     enum cq_action_kind kind,
				     enum cq_reason reason, uint32_t job);
/* Accelerator-ms lost by stopping a job by the deadline, restart included. */
uint64_t cq_lost_work_ms(const struct cq_plan_context *ctx, uint32_t job,
			 int64_t deadline_ns);
/* Announces the stop of a running job, or stops it when it must be now. */
void cq_plan_evict(struct cq_plan_context *ctx, uint32_t job,
		   enum cq_reason reason, uint32_t for_job,
		   int64_t deadline_ns);
void cq_plan_stop(struct cq_plan_context *ctx, uint32_t job,
		  enum cq_reason reason, uint32_t for_job);

/* planner_headroom.c */
/* Predicts how many accelerators urgent jobs will need soon. */
void cq_plan_headroom(struct cq_plan_context *ctx);

/* planner_guard.c */
void cq_plan_guard(struct cq_plan_context *ctx);
void cq_plan_health(struct cq_plan_context *ctx);

/* planner_cells.c */
void cq_plan_cells(struct cq_plan_context *ctx);
/* Remembers where the cells stand. */
void cq_cells_save(struct cq_plan_context *ctx);
void cq_cells_add_part(struct cq_plan_context *ctx, uint32_t cell,
		       uint32_t worker, uint32_t accelerators);
/* Takes an unused cell off its workers. */
void cq_cells_remove(struct cq_plan_context *ctx, uint32_t cell);
/* Moves one part; the caller made sure of the room and the region. */
void cq_cells_move_part(struct cq_plan_context *ctx, uint32_t part,
			uint32_t worker);
/* Accelerators of a worker that no cell holds. */
uint32_t cq_cells_room(const struct cq_plan_context *ctx, uint32_t worker);
struct cq_standing *cq_standing_create(void);
void cq_standing_destroy(struct cq_standing *standing);

/* planner_tiers.c */
void cq_plan_tiers(struct cq_plan_context *ctx);
/* The fullest part of a workspace on a worker with room, or CQ_NONE. */
uint32_t cq_cells_find_part(const struct cq_plan_context *ctx,
			    uint32_t workspace, uint32_t worker,
			    struct cq_need need);
void cq_cells_charge(struct cq_plan_context *ctx, uint32_t part,
		     struct cq_need need);
void cq_cells_uncharge(struct cq_plan_context *ctx, uint32_t part,
		       struct cq_need need);
/* Takes a running job out of the cells; it counts as a borrower no more. */
void cq_tiers_release(struct cq_plan_context *ctx, uint32_t job);
/* Accelerators of the smallest part that could hold the need. */
int64_t cq_cells_smallest(const struct cq_plan_context *ctx, uint32_t workspace,
			  struct cq_need need);
/* Whether one task takes more than half of the smallest part it fits into. */
bool cq_cells_fills_part(const struct cq_plan_context *ctx, uint32_t job);
/* Whether a part that is in use already has room for the need. */
bool cq_cells_has_open_part(const struct cq_plan_context *ctx,
			    uint32_t workspace, struct cq_need need);
/* Moves an unused part of the workspace to the worker, if one can go. */
bool cq_cells_rebind(struct cq_plan_context *ctx, uint32_t workspace,
		     uint32_t worker, struct cq_need need);

/* planner_place.c */
/* What a job may take on a worker now; false: no start there. */
bool cq_place_room(const struct cq_plan_context *ctx, uint32_t job,
		   uint32_t worker, struct cq_need *room, bool *was_reserved);
/* Cost that makes a job return last to workers it failed on. */
uint64_t cq_place_failure_cost(const struct cq_plan_context *ctx, uint32_t job,
			       uint32_t worker);
/* Chooses workers with free capacity. */
bool cq_place_free(struct cq_plan_context *ctx, uint32_t job,
		   bool *was_reserved);
/* Starts the job within the guarantees of its workspace, if it fits. */
bool cq_place_guaranteed(struct cq_plan_context *ctx, uint32_t job);
bool cq_place_spares_cells(const struct cq_plan_context *ctx, uint32_t job);
/*
 * Workers with parts of the job's workspace, in the order of ctx->order if the
 * job is a gang; returns the number of candidates.
 */
uint32_t cq_place_collect_own(struct cq_plan_context *ctx, uint32_t job);
/*
 * Chooses the workers among the candidates for the least cost. Those of a gang
 * are in the order of ctx->order, those of a single task in any order.
 */
bool cq_place_choose(struct cq_plan_context *ctx, uint32_t count, uint32_t job,
		     uint64_t *cost);
/* Starts the job on the chosen workers; parts: one per task, or NULL. */
void cq_place_start(struct cq_plan_context *ctx, uint32_t job,
		    enum cq_reason reason, const uint32_t *parts);

/* planner_reserve.c */
/* Reserves the place where the job fits first; returns when, or unknown. */
int64_t cq_place_reserve(struct cq_plan_context *ctx, uint32_t job);

/* planner_reclaim.c */
bool cq_reclaim_cells(struct cq_plan_context *ctx, uint32_t job);
/*
 * As cq_reclaim_cells, for a job that fills shapes which smaller jobs of its
 * own workspace occupy in part; those move to other cells of the workspace.
 */
bool cq_reclaim_repack(struct cq_plan_context *ctx, uint32_t job);
/* Makes room for a borrower if that gains more than it loses. */
bool cq_reclaim_borrowed(struct cq_plan_context *ctx, uint32_t job,
			 int64_t wait_saved_ns);

/* planner_hold.c */
GHashTable *cq_holds_create(void);
/* Holds the room that the last plan made for jobs that still wait. */
void cq_holds_apply(struct cq_plan_context *ctx);
/* Gives the room back to the job itself; false if there was none. */
bool cq_holds_release(struct cq_plan_context *ctx, uint32_t job);
/* Holds the room for the job on the chosen workers, in the next plan too. */
void cq_holds_add(struct cq_plan_context *ctx, uint32_t job);
void cq_holds_save(struct cq_plan_context *ctx);

/* planner_queue.c */
void cq_plan_queue(struct cq_plan_context *ctx);
/* planner_estimate.c */
void cq_plan_estimate(struct cq_plan_context *ctx);

/* planner_history.c */
struct cq_history *cq_history_create(void);
void cq_history_destroy(struct cq_history *history);
void cq_history_add(struct cq_history *history, const char *workspace,
		    const char *class_name, int64_t declared_ns,
		    int64_t run_ns);
/* NULL when nothing is known. */
const struct cq_history_entry *cq_history_find(const struct cq_history *history,
					       const char *workspace,
					       const char *class_name);
int64_t cq_history_predict_ns(const struct cq_history_entry *entry,
			      int64_t declared_ns);
/* Remaining run time of a job that ran for elapsed_ns already. */
int64_t cq_history_remaining_ns(int64_t predicted_ns, int64_t elapsed_ns);

/* planner_health.c */
struct cq_health *cq_health_create(void);
void cq_health_destroy(struct cq_health *health);
void cq_health_failure(struct cq_health *health, const char *job,
		       const char *worker);
void cq_health_success(struct cq_health *health, const char *job,
		       const char *worker);
void cq_health_forget_job(struct cq_health *health, const char *job);
void cq_health_probe(struct cq_health *health, const char *worker, bool ok,
		     int64_t now_ns);
bool cq_health_is_quarantined(const struct cq_health *health,
			      const char *worker);
bool cq_health_probe_due(const struct cq_health *health, const char *worker,
			 int64_t now_ns, int64_t interval_ns);
void cq_health_forget_worker(struct cq_health *health, const char *worker);
/* Distinct jobs whose failures are laid to the worker. */
uint32_t cq_health_worker_failures(const struct cq_health *health,
				   const char *worker);
/* Distinct workers on which failures are laid to the job. */
uint32_t cq_health_job_failures(const struct cq_health *health,
				const char *job);
/* All failures of the job, whoever they are laid to. */
uint32_t cq_health_job_total(const struct cq_health *health, const char *job);
bool cq_health_failed_on(const struct cq_health *health, const char *job,
			 const char *worker);
void cq_health_quarantine(struct cq_health *health, const char *worker,
			  int64_t now_ns);
bool cq_health_is_empty(const struct cq_health *health);

#endif
