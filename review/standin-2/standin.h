/*
 * Stand-ins of the second review: the platform's store, minions and clients,
 * as PROTOCOL.md describes them, and the processes of cq-hostd. One thread a
 * connection and one lock for all state.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include <jansson.h>

#define MAX_MINIONS 32
#define MAX_HOSTS 4
#define KEY "secret-key-1"

/* The bounds of a small deployment, in milliseconds. */
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 10000
#define STOP_MS 400
#define GANG_TIMEOUT_MS 3000
#define STORE_ANSWER_MS 4

struct minion;

struct minion_kind {
	const char *kind; /* first label */
	int cpu;
	int mem_mb;
	int gpus;
};

extern const struct minion_kind KIND_A; /* 128 cores, 512 GB, 8 GPUs */

/* TROUBLE=0 in the environment: no disruption. */
bool trouble(void);

/* Opens record.txt in the folder of the case and the temporary folder. */
void begin(const char *case_dir);
/* Ends all processes, closes the record and exits. */
void finish(int code, const char *result) __attribute__((noreturn));
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int64_t now_ms(void);
void sleep_ms(int ms);

/* The store, as an operator writes to it. */
void store_start(void);
void op_put(const char *key, const char *value);
/* The current value, to be freed; NULL if the key is absent. */
char *store_get(const char *key);

/* Minions. */
int minion_add(const char *service, int zone, int rack,
	       const struct minion_kind *kind);
/* Stops answering (packets are dropped, both ways) but runs on. */
void minion_cut(int m, bool cut);
/* The process dies: connections are reset, the port refuses. */
void minion_crash(int m);
/*
 * Starts again under the same id and address, as another kind; its first
 * heartbeat to the store comes first_beat_ms after its start.
 */
void minion_restart(int m, const struct minion_kind *kind, int first_beat_ms);
/* Unhealthy: refuses all calls with 503, and does nothing. */
void minion_refuse(int m, int ms);
/* Planned shutdown: draining, and gone after gone_ms. */
void minion_drain(int m, int gone_ms);
/* The task with that name fails by its own fault. */
bool task_fail(const char *name);
const char *minion_id(int m);
/* The number of its runs. */
int minion_runs(int m);

/* What minions have seen. */
struct task_seen {
	int starts;
	int done;
	int failed;
	int running;
	int64_t first_start_ms;
	int64_t last_end_ms;
};
/* Sums over all tasks whose names begin with the prefix. */
struct task_seen tasks_seen(const char *prefix);
int free_whole_minions(const struct minion_kind *kind);
int gpus_in_use(void);
int gpus_total(void);
int breaches_limit(void);
int breaches_route(void);
int breaches_twice(void);

/* Hosts: target/bin/cq-hostd. */
void host_start(int i);
void host_wait_ready(int i, int timeout_ms);
/* Restarts processes that end by themselves after 500 ms. */
void hosts_supervise(void);
int host_own_ends(int i);
pid_t host_pid(int i);

/* A client's call; returns the status, 0 without an answer. */
int client_call(int host, const char *method, const char *path,
		const char *body, const char *key, char *answer,
		size_t answer_bytes);
/* POSTs until it is accepted or rejected, as clients do; at most 5 tries. */
int submit(int host, int hosts, const char *prefix, const char *id,
	   const char *body, const char *key);

/*
 * Tells the minions of a job: its steps, as in its body, which they need to
 * know of gangs and room. Done by submit().
 */
void job_note(const char *id, const char *body);

#endif
