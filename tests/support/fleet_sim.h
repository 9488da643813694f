/*
 * Simulates a fleet in virtual time: replays a list of jobs and faults against
 * a planning function. Workers start whatever the plan assigns to them and
 * report usage after a delay. Tasks are lost with their worker; a job then
 * resumes from its last checkpoint.
 */
#ifndef CQ_TESTS_FLEET_SIM_H
#define CQ_TESTS_FLEET_SIM_H

#include "fleet_builder.h"

enum sim_job_state {
	SIM_FUTURE, /* not submitted yet */
	SIM_WAITING,
	SIM_RUNNING,
	SIM_DONE,
	SIM_REJECTED,
	SIM_CANCELLED,
	SIM_STATE_COUNT,
};

enum sim_event_kind {
	SIM_DC_OUT, /* value: notice until the deadline, in ns */
	SIM_DC_IN,
	SIM_WORKER_LOST,
	SIM_WORKER_RETURNED,
	SIM_WORKER_FAULTY, /* all tasks on it fail from now on */
	SIM_WORKER_REPAIRED,
	SIM_GUARANTEE_COUNT, /* value: the new count of the guarantee */
};

struct sim_event {
	int64_t at_ns;
	enum sim_event_kind kind;
	uint32_t index; /* of the data centre, worker or guarantee */
	int64_t value;
};

struct sim_job {
	struct cq_fleet_job spec; /* as in the next snapshot */
	char id[16];
	enum sim_job_state state;
	int64_t cancel_ns; /* INT64_MAX: never */
	int64_t true_run_ns;
	double memory_factor; /* ratio of used to declared memory */
	double cpu_factor;    /* ratio of used to declared CPU */
	bool fails;	      /* every run fails, on any worker */
	uint32_t starts;
	struct cq_placement *placements; /* spec.tasks entries */
	uint32_t *throttles;		 /* percent, for each task */
	int64_t progress_from_ns; /* start of the progress not yet saved */
	int64_t end_ns;
	/* Start and end of the checkpoint being written; INT64_MAX: none. */
	int64_t checkpoint_started_ns;
	int64_t checkpoint_done_ns;
	int64_t stop_done_ns; /* end of a requested stop; INT64_MAX: none */
	int64_t first_start_ns;
	int64_t finished_ns;
	/* Since when the job waits within its guarantee; -1: it does not. */
	int64_t eligible_since_ns;
	bool guarantee_missed;
	bool memory_overrun; /* stopped for using more than declared */
};

struct sim;

typedef struct cq_plan *sim_plan_fn(void *ctx,
				    const struct cq_snapshot *snapshot);
/* Called with each plan before its actions are applied. */
typedef void sim_check_fn(void *ctx, struct sim *sim,
			  const struct cq_snapshot *snapshot,
			  const struct cq_plan *plan);

struct sim_stats {
	uint64_t plans;
	uint64_t starts;
	uint64_t evictions;
	uint64_t lost_gangs;
	uint64_t stops[32]; /* indexed by enum cq_reason */
	uint64_t guarantee_misses;
	uint64_t partial_gangs;
	double free_accelerator_s; /* free accelerators, integrated over time */
	/* Part of free_accelerator_s that the largest shape cannot use. */
	double unusable_accelerator_s;
	double capacity_accelerator_s;
	double used_accelerator_s;
	double lost_accelerator_s; /* progress lost by stops and failures */
	/* int64_t: submission to start of urgent jobs within a guarantee. */
	GArray *reclaim_ns;
};

struct sim {
	struct fleet_builder *fleet; /* borrowed */
	struct cq_planner *planner;  /* told of ends and probes; may be NULL */
	sim_plan_fn *plan;
	void *plan_ctx;
	sim_check_fn *check;
	void *check_ctx;
	GArray *jobs;	/* struct sim_job, sorted by submission time */
	GArray *events; /* struct sim_event, sorted by time */
	GArray *active; /* indices of waiting and running jobs */
	bool *faulty_workers;
	uint32_t next_job;
	uint32_t next_event;
	int64_t next_plan_ns;
	/* Interval at which jobs checkpoint on their own; 0: never. */
	int64_t checkpoint_interval_ns;
	/* Delay from a start to the first usage report. */
	int64_t usage_report_delay_ns;
	bool measure; /* whether to measure guarantee misses, fragmentation */
	struct sim_stats stats;
};

struct sim *sim_create(struct fleet_builder *fleet, sim_plan_fn *plan,
		       void *plan_ctx);
void sim_destroy(struct sim *sim);
/*
 * Jobs and events may be added in any order, but only before the first step.
 * The returned job is valid until the next job is added.
 */
struct sim_job *sim_add_job(struct sim *sim, int64_t submitted_ns,
			    uint32_t workspace, uint32_t class_index,
			    uint32_t tasks, uint32_t accelerators,
			    int64_t declared_ns, int64_t true_ns);
void sim_add_event(struct sim *sim, int64_t at_ns, enum sim_event_kind kind,
		   uint32_t index, int64_t value);
/*
 * Advances to the time of the next plan, makes it and applies it. False when
 * no job or event is left.
 */
bool sim_step(struct sim *sim);
/* Sets the jobs and tasks of the fleet builder from the active jobs. */
void sim_fill_snapshot(struct sim *sim);
struct sim_job *sim_job_at(struct sim *sim, uint32_t index);
/* The simulated job for the index of a job in the last snapshot. */
struct sim_job *sim_job_of_snapshot(struct sim *sim, uint32_t job);
/* Run time that the job has completed so far, checkpointed or not. */
int64_t sim_progress_ns(const struct sim_job *job, int64_t now_ns);
/* Accelerator-seconds of all jobs completed so far and not lost. */
double sim_useful_accelerator_s(const struct sim *sim);
/* A sim_plan_fn that calls cq_planner_plan(); ctx is a struct cq_planner. */
struct cq_plan *sim_plan_with_planner(void *ctx,
				      const struct cq_snapshot *snapshot);

#endif
