/*
 * Replays a list of jobs and faults against a planning function in virtual
 * time. It stands for the platform: workers start whatever they are given,
 * report usage late, lose tasks with a worker, and keep the last checkpoint.
 */
#ifndef CQ_TESTS_FLEET_SIM_H
#define CQ_TESTS_FLEET_SIM_H

#include "fleet_builder.h"

enum sim_job_state {
	SIM_FUTURE,
	SIM_WAITING,
	SIM_RUNNING,
	SIM_DONE,
	SIM_REJECTED,
	SIM_CANCELLED,
	SIM_STATE_COUNT,
};

enum sim_event_kind {
	SIM_DC_OUT, /* value: notice in ns */
	SIM_DC_IN,
	SIM_WORKER_LOST,
	SIM_WORKER_BACK,
	SIM_WORKER_BAD, /* fails everything from now on */
	SIM_WORKER_GOOD,
	SIM_GUARANTEE_COUNT, /* value: the new count */
};

struct sim_event {
	int64_t at_ns;
	enum sim_event_kind kind;
	uint32_t index;
	int64_t value;
};

struct sim_job {
	struct cq_fleet_job spec; /* state and times are kept up to date */
	char id[16];
	enum sim_job_state state;
	int64_t cancel_ns; /* INT64_MAX: never */
	int64_t true_run_ns;
	double memory_factor; /* used over declared */
	double cpu_factor;
	bool fails; /* fails wherever it runs */
	uint32_t starts;
	struct cq_placement *placements; /* of spec.tasks entries */
	uint32_t *throttles;
	int64_t progress_from_ns; /* when it computes since this start */
	int64_t end_ns;
	int64_t saving_since_ns; /* INT64_MAX: no checkpoint under way */
	int64_t saved_at_ns;	 /* end of the checkpoint under way */
	int64_t gone_ns;	 /* stop under way; INT64_MAX: none */
	int64_t first_start_ns;
	int64_t finished_ns;
	int64_t eligible_since_ns; /* within its guarantee and waiting */
	bool missed;
	bool grown; /* stopped for using more memory than declared */
};

struct sim;

typedef struct cq_plan *sim_plan_fn(void *ctx,
				    const struct cq_snapshot *snapshot);
/* Called with each plan before it is carried out. */
typedef void sim_check_fn(void *ctx, struct sim *sim,
			  const struct cq_snapshot *snapshot,
			  const struct cq_plan *plan);

struct sim_stats {
	uint64_t plans;
	uint64_t starts;
	uint64_t evictions;
	uint64_t lost_gangs;
	uint64_t stops[32]; /* by enum cq_reason */
	uint64_t guarantee_misses;
	uint64_t partial_gangs;
	double free_accelerator_s;     /* integral of free accelerators */
	double unusable_accelerator_s; /* of those the largest shape cannot use
					*/
	double capacity_accelerator_s;
	double used_accelerator_s;
	double lost_accelerator_s;
	GArray *reclaim_ns; /* int64_t: submission to start after reclaim */
};

struct sim {
	struct fleet_builder *fleet; /* borrowed */
	struct cq_planner *planner;  /* observes ends; may be NULL */
	sim_plan_fn *plan;
	void *plan_ctx;
	sim_check_fn *check;
	void *check_ctx;
	GArray *jobs;	/* struct sim_job, by time of submission */
	GArray *events; /* struct sim_event, by time */
	GArray *active; /* indices of waiting and running jobs */
	bool *bad_workers;
	uint32_t next_job;
	uint32_t next_event;
	int64_t next_plan_ns;
	int64_t periodic_save_ns; /* own checkpoints of jobs; 0: none */
	int64_t usage_lag_ns;
	bool measure; /* guarantee misses and fragmentation */
	struct sim_stats stats;
};

struct sim *sim_create(struct fleet_builder *fleet, sim_plan_fn *plan,
		       void *plan_ctx);
void sim_destroy(struct sim *sim);
/* Jobs and events may be added in any order before the first step. */
struct sim_job *sim_add_job(struct sim *sim, int64_t submitted_ns,
			    uint32_t workspace, uint32_t class_index,
			    uint32_t tasks, uint32_t accelerators,
			    int64_t declared_ns, int64_t true_ns);
void sim_add_event(struct sim *sim, int64_t at_ns, enum sim_event_kind kind,
		   uint32_t index, int64_t value);
/* Goes on to the next plan; false when nothing is left to happen. */
bool sim_step(struct sim *sim);
/* Fills the fleet builder's jobs and tasks from the active jobs. */
void sim_fill_snapshot(struct sim *sim);
struct sim_job *sim_job_at(struct sim *sim, uint32_t index);
/* The sim's job behind a job of the last snapshot. */
struct sim_job *sim_job_of_snapshot(struct sim *sim, uint32_t job);
/* Run time done so far by a job, saved or not. */
int64_t sim_progress_ns(const struct sim_job *job, int64_t now_ns);
/* Accelerator-seconds done so far and not lost, over all jobs. */
double sim_useful_accelerator_s(const struct sim *sim);
/* The planning function of the library; ctx is the struct cq_planner. */
struct cq_plan *sim_plan_with_planner(void *ctx,
				      const struct cq_snapshot *snapshot);

#endif
