/*
 * The platform's workers in simulated time, with faults, and a record of what
 * ran when. Calls and answers take time, and a call may take effect after its
 * caller gave up.
 */
#ifndef TESTS_SUPPORT_SIM_WORKERS_H
#define TESTS_SUPPORT_SIM_WORKERS_H

#include "chestnutquay/worker.h"
#include "sim.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cq_sim_workers;

struct cq_sim_workers_options {
	uint32_t count;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;
	int64_t checkpoint_ms;
	int64_t usage_lag_ms;
};

/* What went wrong, and what went on, since the creation. */
struct cq_sim_workers_record {
	/* A gang ran in part for this long at most. */
	int64_t longest_part_ns;
	char longest_part_job[48];
	/* Times at which tasks of two attempts of a job ran. */
	uint32_t double_attempts;
	/* Starts of a task id that had run before on the same boot. */
	uint32_t double_starts;
	uint32_t starts;
	uint32_t releases;
	uint32_t finished;
	uint32_t refused_stale;
	uint32_t last_throttle_pct; /* of the last throttle or release */
	uint32_t commands;	    /* without syncs */
	uint32_t most_commands_per_100ms;
	int64_t last_start_ns;
};

struct cq_sim_worker_faults {
	bool down;	  /* connections are refused; tasks run on */
	bool silent;	  /* calls are executed, answers get lost */
	bool deaf;	  /* calls are lost, tasks run on */
	bool fail_tasks;  /* tasks fail as soon as they run */
	bool fail_calls;  /* calls are refused */
	uint32_t use_pct; /* of the declared cores; 0: 100 */
};

void cq_sim_workers_options_init(struct cq_sim_workers_options *options);
struct cq_sim_workers *
cq_sim_workers_create(struct cq_sim *sim,
		      const struct cq_sim_workers_options *options);
void cq_sim_workers_destroy(struct cq_sim_workers *workers);
/* The client of a host; worker N has the address "worker:N". */
const struct cq_worker *cq_sim_workers_client(struct cq_sim_workers *workers,
					      int32_t host);

/* Commands that the host sent, without syncs. */
uint64_t cq_sim_workers_host_sent(const struct cq_sim_workers *workers,
				  int32_t host);
void cq_sim_worker_set_faults(struct cq_sim_workers *workers, uint32_t worker,
			      const struct cq_sim_worker_faults *faults);
/* Answers of commands get lost with this probability, for all workers. */
void cq_sim_workers_lose_answers(struct cq_sim_workers *workers,
				 uint32_t permille);
/* Loses the answers of the next commands, not of syncs. */
void cq_sim_workers_lose_next(struct cq_sim_workers *workers, uint32_t count);
/* Nothing happens while paused; calls wait. */
void cq_sim_worker_pause(struct cq_sim_workers *workers, uint32_t worker);
void cq_sim_worker_resume(struct cq_sim_workers *workers, uint32_t worker);
/* Loses all tasks; answers nothing until started again. */
void cq_sim_worker_kill(struct cq_sim_workers *workers, uint32_t worker);
void cq_sim_worker_start(struct cq_sim_workers *workers, uint32_t worker);

/* Called when a worker executes a start, throttle, checkpoint or stop. */
typedef void cq_sim_workers_command_fn(void *ctx, const char *verb,
				       uint32_t worker, const char *task_id);
void cq_sim_workers_on_command(struct cq_sim_workers *workers,
			       cq_sim_workers_command_fn *fn, void *ctx);

const struct cq_sim_workers_record *
cq_sim_workers_record(const struct cq_sim_workers *workers);
/* Tasks that are held, running or checkpointing. */
uint32_t cq_sim_workers_live(const struct cq_sim_workers *workers);
/* Of these, those released, of a job; "": of all. */
uint32_t cq_sim_workers_running(const struct cq_sim_workers *workers,
				const char *job_id);

#ifdef __cplusplus
}
#endif

#endif
