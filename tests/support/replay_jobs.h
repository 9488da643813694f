/*
 * Job lists of the two deployments on the users' platform, from a seed: sizes,
 * run times, errors of estimates and objectives by class, under a load.
 */
#ifndef CQ_TESTS_REPLAY_JOBS_H
#define CQ_TESTS_REPLAY_JOBS_H

#include <glib.h>

#include "chestnutquay/queues.h"
#include "chestnutquay/workload.h"

#define REPLAY_CLASSES 3
#define REPLAY_WORKSPACES 4
#define REPLAY_MAX_STEPS 2
/* On several racks gangs that want one take so many times as long. */
#define REPLAY_REMOTE_FACTOR 3
/* Of its run time, where a run fails. */
#define REPLAY_FAILS_AT 0.5

/* One kind of job; its queue has the same name. */
struct replay_class {
	const char *name;
	uint32_t priority;
	double worth;	   /* of a job of usual size that ends in time */
	double late_share; /* of it, if it ends late */
	double stretch;
	uint32_t target_runtime_ms;
	double share; /* of the arrivals */
	double mean_tasks;
	double spread_tasks;
	uint32_t max_tasks;
	double mean_run_ms;
	double spread_run;
	double max_run_ms;
	double uneven; /* run times of the tasks of a job, either way */
	double estimate_error;
	const uint32_t *accelerators; /* of a task; one of five */
	uint32_t cpu_millicores;
	uint32_t memory_mb;
	bool gang;
	double one_rack_share;
	double checkpoint_share;
	double two_steps_share;
	double failure_share; /* of the jobs, a first run fails */
};

struct replay_deployment {
	const char *name;
	uint32_t data_centres;
	uint32_t workers; /* in each */
	uint32_t rack_size;
	uint32_t cpu_millicores; /* of a worker */
	uint32_t memory_mb;
	uint32_t accelerators;
	double speeds[3]; /* of the workers in turn */
	struct replay_class classes[REPLAY_CLASSES];
};

extern const struct replay_deployment replay_garba;
extern const struct replay_deployment replay_tapa;

/* What makes a load heavy. */
struct replay_load {
	const char *name;
	double share;	 /* of the accelerators that the usual arrivals need */
	int burst_class; /* -1: none */
	double burst_factor;
	double burst_from_s, burst_to_s;
	/* Data centre 0 takes nothing from then on; 0: it stays. */
	double leave_s;
};

extern const struct replay_load replay_loads[];
extern const size_t replay_load_count;

struct replay_job {
	int64_t arrival_ns;
	uint32_t class_index;
	uint32_t data_centre; /* of the caller */
	struct cq_workload *workload;
	/* Of each step at usual speed and in one rack; of the longest task. */
	int64_t run_ns[REPLAY_MAX_STEPS];
	bool fails_once;
	double worth;
	double late_worth;
	int64_t objective_ns;
	int64_t late_ns;
	double accelerator_s; /* all of its work at usual speed */
	bool largest;	      /* of the largest tenth of its class */
};

/* Arrivals of SPAN_S seconds, sorted; freed with replay_jobs_destroy(). */
#define REPLAY_SPAN_S 34.0
GArray *replay_jobs_create(const struct replay_deployment *deployment,
			   const struct replay_load *load, uint64_t seed);
void replay_jobs_destroy(GArray *jobs);
/* Queues and guarantees of the deployment; freed with g_free(). */
struct cq_queue_config *
replay_config_create(const struct replay_deployment *deployment);
void replay_config_destroy(struct cq_queue_config *config);

#endif
