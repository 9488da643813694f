#ifndef TESTS_SUPPORT_SIM_WORKERS_PRIVATE_H
#define TESTS_SUPPORT_SIM_WORKERS_PRIVATE_H

#include <glib.h>

#include "chestnutquay/jobs.h"
#include "sim_workers.h"

struct sim_task {
	char id[CQ_JOB_TASK_ID_BYTES];
	char job_id[CQ_JOB_ID_BYTES];
	char workspace[CQ_JOB_NAME_BYTES];
	char class_name[CQ_JOB_NAME_BYTES];
	uint32_t attempt, rank, gang_size;
	int64_t epoch;
	enum cq_task_state state;
	uint64_t accelerator_mask, cell;
	uint32_t cpu_millicores;
	uint64_t memory_bytes;
	uint32_t throttle_pct;
	uint64_t version;
	int64_t lease_deadline_ns;
	int64_t run_ns, needed_ns, checkpoint_ns;
	int64_t checkpoint_end_ns;
	int64_t advanced_ns;
	int64_t usage_ns; /* when usage shows */
};

struct sim_worker {
	bool dead, paused;
	struct cq_sim_worker_faults faults;
	uint32_t boot;
	uint64_t version;
	int64_t epoch;
	GHashTable *tasks; /* id -> struct sim_task */
	GQueue waiting;	   /* calls that arrived during a pause */
};

enum verb {
	VERB_START,
	VERB_SYNC,
	VERB_THROTTLE,
	VERB_CHECKPOINT,
	VERB_STOP,
};

/* The call of a host; reference counted. */
struct sim_call {
	struct cq_sim_workers *workers;
	int32_t host;
	uint32_t life;
	uint32_t worker;
	enum verb verb;
	char task_id[CQ_JOB_TASK_ID_BYTES];
	int64_t epoch;
	uint32_t percent;
	struct sim_task start;
	int64_t not_after_unix_ms;
	uint32_t lease_ms;
	char **renew;
	uint64_t since_version;
	bool over;
	enum cq_worker_answer answer;
	GArray *report; /* of struct cq_worker_task */
	GPtrArray *report_tasks;
	char boot_id[32];
	uint64_t version;
	cq_worker_done_fn *done;
	cq_worker_sync_done_fn *sync_done;
	void *ctx;
	struct cq_sim_event *timeout;
};

struct client {
	struct cq_worker iface;
	struct cq_sim_workers *workers;
	int32_t host;
	uint64_t sent; /* commands, without syncs */
};

struct cq_sim_workers {
	struct cq_sim *sim;
	struct cq_sim_workers_options options;
	struct sim_worker *workers;
	struct client *clients[CQ_SIM_MAX_HOSTS];
	GHashTable *checkpoints; /* task id -> int64_t ns */
	GHashTable *parts;	 /* job id -> since when it runs in part */
	GHashTable *started;	 /* task ids started, with the boot */
	struct cq_sim_workers_record record;
	uint32_t lose_permille, lose_next;
	uint32_t window_commands;
	int64_t window_ns;
	cq_sim_workers_command_fn *on_command;
	void *on_command_ctx;
	bool closing;
};

extern const struct cq_worker_ops cq_sim_workers_client_ops;
void cq_sim_workers_call_unref(void *call);
/* The call reaches the worker; takes over the reference. */
void cq_sim_workers_arrive(void *call);
void cq_sim_workers_complete(struct sim_call *call,
			     enum cq_worker_answer answer);
int64_t cq_sim_workers_delay(struct cq_sim_workers *workers);
/* Records gangs in part and jobs with two attempts. */
void cq_sim_workers_watch_jobs(struct cq_sim_workers *workers);
void cq_sim_worker_advance(struct cq_sim_workers *workers, uint32_t worker);

#endif
