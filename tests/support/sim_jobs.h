/*
 * Job controllers of one data centre in simulated time: several hosts with the
 * real controller, planner and gangs, a simulated store and simulated workers.
 * Ownership is a model of the rules of docs/design.md section 6.1: a lease of
 * 5 s, an epoch that grows, a successor after the lease has lapsed.
 */
#ifndef TESTS_SUPPORT_SIM_JOBS_H
#define TESTS_SUPPORT_SIM_JOBS_H

#include "chestnutquay/controller.h"
#include "sim.h"
#include "sim_store.h"
#include "sim_workers.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CQ_SIM_JOBS_DC "dc0"
#define CQ_SIM_JOBS_OTHER_DC "dc1"
#define CQ_SIM_JOBS_MAX_HOSTS 4
/* Workers look at their tasks this often. */
#define CQ_SIM_JOBS_STEP_MS 20

struct cq_sim_jobs;

struct cq_sim_jobs_options {
	uint64_t seed;
	uint32_t hosts;
	/* Settings reach the controllers this long after the change. */
	int64_t settings_lag_ms;
	struct cq_sim_workers_options workers;
	struct cq_controller_options controller; /* clock and names are set */
};

struct cq_sim_job {
	const char *id;
	uint32_t tasks;
	uint32_t accelerators;
	int64_t expected_ms;
	bool can_checkpoint;
	bool pinned; /* to this data centre */
};

/* "j1" of four whole workers, 20 s, with checkpoints. */
extern const struct cq_sim_job cq_sim_gang_of_four;

void cq_sim_jobs_options_init(struct cq_sim_jobs_options *options);
struct cq_sim_jobs *
cq_sim_jobs_create(const struct cq_sim_jobs_options *options);
/* With default options for the rest. */
struct cq_sim_jobs *cq_sim_jobs_create_sized(uint32_t hosts, uint32_t workers);
void cq_sim_jobs_destroy(struct cq_sim_jobs *jobs);
/*
 * Asserts what must hold in every run, whatever went wrong: no gang ran in part
 * for longer than its task lease, no two attempts of a job at once, no second
 * start of a task. extra_ms is what the sync interval grew.
 */
void cq_sim_jobs_check(struct cq_sim_jobs *jobs, int64_t extra_ms);

struct cq_sim *cq_sim_jobs_sim(struct cq_sim_jobs *jobs);
struct cq_sim_store *cq_sim_jobs_store(struct cq_sim_jobs *jobs);
struct cq_sim_workers *cq_sim_jobs_workers(struct cq_sim_jobs *jobs);
const struct cq_sim_workers_record *
cq_sim_jobs_record(struct cq_sim_jobs *jobs);
void cq_sim_jobs_run_ms(struct cq_sim_jobs *jobs, int64_t ms);
/* Runs until the job has the phase; false after limit_ms. */
bool cq_sim_jobs_wait(struct cq_sim_jobs *jobs, const char *id,
		      enum cq_job_phase phase, int64_t limit_ms);

void cq_sim_jobs_submit(struct cq_sim_jobs *jobs, const struct cq_sim_job *job);
/* As a caller would: sets the request to cancel. */
void cq_sim_jobs_cancel(struct cq_sim_jobs *jobs, const char *id);
/* False if there is no such record in the data centre. */
bool cq_sim_jobs_read(struct cq_sim_jobs *jobs, const char *data_centre,
		      const char *id, struct cq_job_record *record);

/* The owner's host, or -1 between two owners. */
int32_t cq_sim_jobs_owner(const struct cq_sim_jobs *jobs);
struct cq_controller *cq_sim_jobs_controller(struct cq_sim_jobs *jobs,
					     int32_t host);
void cq_sim_jobs_kill(struct cq_sim_jobs *jobs, int32_t host);
void cq_sim_jobs_restart(struct cq_sim_jobs *jobs, int32_t host);
void cq_sim_jobs_pause(struct cq_sim_jobs *jobs, int32_t host);
void cq_sim_jobs_resume(struct cq_sim_jobs *jobs, int32_t host);
/* Called before and after each tick of a controller. */
typedef void cq_sim_jobs_tick_fn(void *ctx, int32_t host, bool begins);
void cq_sim_jobs_on_tick(struct cq_sim_jobs *jobs, cq_sim_jobs_tick_fn *fn,
			 void *ctx);
/* Takes the ownership away at once, as by an owner elsewhere. */
void cq_sim_jobs_fence(struct cq_sim_jobs *jobs);
void cq_sim_jobs_store_down(struct cq_sim_jobs *jobs, bool down);
/* Answers of the store get lost with this probability. */
void cq_sim_jobs_store_loses(struct cq_sim_jobs *jobs, uint32_t permille);
void cq_sim_jobs_set_in(struct cq_sim_jobs *jobs, bool in);
/* When the data centre went out last. */
int64_t cq_sim_jobs_out_ns(const struct cq_sim_jobs *jobs);

#ifdef __cplusplus
}
#endif

#endif
