#ifndef CQ_CONTROLLER_SNAPSHOT_H
#define CQ_CONTROLLER_SNAPSHOT_H

#include "controller_private.h"

/* A snapshot with the arrays that it points to. */
struct cq_controller_snapshot {
	struct cq_snapshot snapshot;
	struct cq_fleet_dc dc;
	GArray *workers;
	GArray *classes;
	GArray *workspaces;
	GArray *guarantees;
	GArray *jobs;
	GArray *tasks;
	GPtrArray *owners;   /* of jobs: struct cq_job, NULL for strays */
	GPtrArray *task_ids; /* of tasks, text */
	GHashTable *class_numbers;
	GHashTable *workspace_numbers;
	int64_t checkpoint_cost_ns;
	bool capacity_known; /* of every listed worker */
};

/* Without jobs its cost does not depend on their number. */
struct cq_controller_snapshot *
cq_controller_snapshot_create(struct cq_controller *c, bool with_jobs,
			      int64_t now_ns);
void cq_controller_snapshot_destroy(struct cq_controller_snapshot *s);
/* Fills in the declared part of a job. */
void cq_controller_snapshot_job(struct cq_controller_snapshot *s,
				const struct cq_job_record *record,
				struct cq_fleet_job *job);

#endif
