#ifndef CQ_CONTROLLER_SNAPSHOT_H
#define CQ_CONTROLLER_SNAPSHOT_H

#include "controller_private.h"

/* A planner snapshot and the arrays that it points to. */
struct cq_controller_snapshot {
	struct cq_snapshot snapshot;
	struct cq_fleet_dc dc;
	GArray *workers;
	GArray *classes;
	GArray *workspaces;
	GArray *guarantees;
	GArray *jobs;
	GArray *tasks;
	/* The struct cq_job of each element of jobs; NULL for a stray task. */
	GPtrArray *controller_jobs;
	GPtrArray *task_ids;	       /* task id of each element of tasks */
	GHashTable *class_numbers;     /* class name -> index + 1 */
	GHashTable *workspace_numbers; /* workspace name -> index + 1 */
	int64_t checkpoint_cost_ns;
	/* Every listed worker has reported its capacity. */
	bool capacity_known;
};

/*
 * Without jobs the cost of the snapshot does not depend on the number of jobs.
 */
struct cq_controller_snapshot *
cq_controller_snapshot_create(struct cq_controller *c, bool with_jobs,
			      int64_t now_ns);
void cq_controller_snapshot_destroy(struct cq_controller_snapshot *s);
/* Fills in what the job record declares; the job counts as waiting. */
void cq_controller_snapshot_job(struct cq_controller_snapshot *s,
				const struct cq_job_record *record,
				struct cq_fleet_job *job);

#endif
