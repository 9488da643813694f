/*
 * Generates job lists from a seed for models of the two deployments on the
 * users' platform. Each class of jobs has its own distribution of sizes, run
 * times, estimate errors and objectives; the load sets the arrival rates.
 */
#ifndef CQ_TESTS_REPLAY_JOBS_H
#define CQ_TESTS_REPLAY_JOBS_H

#include <glib.h>

#include "chestnutquay/queues.h"
#include "chestnutquay/workload.h"

#define REPLAY_CLASSES 3
#define REPLAY_WORKSPACES 4
#define REPLAY_MAX_STEPS 2
/* Run time factor of a same-rack gang that is spread over several racks. */
#define REPLAY_REMOTE_FACTOR 3
/* Share of its run time after which a failing run fails. */
#define REPLAY_FAILS_AT 0.5

/* One kind of job; its queue has the same name. */
struct replay_class {
	const char *name;
	uint32_t priority;
	double worth;	   /* of a job of mean work that ends in time */
	double late_share; /* share of the worth earned by a late end */
	double stretch;
	uint32_t target_runtime_ms;
	double arrival_share; /* share of all arrivals */
	double mean_tasks;
	double spread_tasks;
	uint32_t max_tasks;
	double mean_run_ms;
	double spread_run;
	double max_run_ms;
	double run_time_variation; /* of run times, up or down by this share */
	double estimate_error;	   /* up or down by this share */
	const uint32_t *accelerators; /* of a task; one of five values */
	uint32_t cpu_millicores;
	uint32_t memory_mb;
	bool gang;
	double same_rack_share;
	double checkpoint_share;
	double two_steps_share;
	double failure_share; /* share of jobs whose first run fails */
};

struct replay_deployment {
	const char *name;
	uint32_t data_centres;
	uint32_t workers; /* in each data centre */
	uint32_t rack_size;
	uint32_t cpu_millicores; /* of a worker */
	uint32_t memory_mb;
	uint32_t accelerators;
	double speeds[3]; /* assigned to the workers in turn */
	struct replay_class classes[REPLAY_CLASSES];
};

extern const struct replay_deployment replay_garba;
extern const struct replay_deployment replay_tapa;

/* Arrival rates, with an optional burst and the loss of a data centre. */
struct replay_load {
	const char *name;
	double share;	 /* of all accelerators, used without a burst */
	int burst_class; /* -1: none */
	double burst_factor;
	double burst_from_s, burst_to_s;
	/* Data centre 0 takes no new runs from then on; 0: it always does. */
	double dc_out_from_s;
};

extern const struct replay_load replay_loads[];
extern const size_t replay_load_count;

struct replay_job {
	int64_t arrival_ns;
	uint32_t class_index;
	uint32_t data_centre; /* from which it is submitted */
	struct cq_workload *workload;
	/* Run time of the tasks of each step at speed 1 and in one rack. */
	int64_t run_ns[REPLAY_MAX_STEPS];
	bool fails_once;
	double worth;
	double late_worth;
	int64_t objective_ns; /* earns worth if it ends by then */
	int64_t late_ns;      /* earns late_worth if it ends by then */
	double accelerator_s; /* work of all tasks at speed 1 */
	bool largest;	      /* in the largest tenth of its class */
};

/*
 * Jobs that arrive within REPLAY_SPAN_S seconds, sorted by arrival; to be
 * freed with replay_jobs_destroy().
 */
#define REPLAY_SPAN_S 34.0
GArray *replay_jobs_create(const struct replay_deployment *deployment,
			   const struct replay_load *load, uint64_t seed);
void replay_jobs_destroy(GArray *jobs);
/*
 * Queues and guarantees of the deployment; to be freed with
 * replay_config_destroy().
 */
struct cq_queue_config *
replay_config_create(const struct replay_deployment *deployment);
void replay_config_destroy(struct cq_queue_config *config);

#endif
