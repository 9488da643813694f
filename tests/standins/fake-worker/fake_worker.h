#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/http_server.h"
#include "chestnutquay/worker.h"

struct fake_task {
	char *id;
	json_t *labels; /* body of the start call, returned in reports */
	enum cq_task_state state;
	const char *end_reason; /* NULL while the task is live */
	uint64_t version; /* worker version at the last change of the task */
	int64_t lease_deadline_ns;
	int64_t ended_ns;
	int64_t checkpoint_end_ns;
	int64_t checkpoint_ms; /* -1: none */
	uint32_t throttle_pct;
	double run_ms; /* progress: run time at full speed */
	double required_run_ms;
	int64_t advanced_ns;		/* time up to which run_ms counts */
	int64_t usage_reported_from_ns; /* time from which usage is reported */
};

struct fake_worker {
	struct fleet *fleet;
	char *id;
	char *data_centre;
	char *rack;
	struct cq_http_server *server;
	GHashTable *tasks; /* id -> struct fake_task */
	/* calls without an answer; they are handled when a pause ends */
	GPtrArray *unanswered_exchanges;
	uint32_t boot;
	uint64_t version;
	int64_t highest_epoch;
	/* Injected faults. */
	bool fail_tasks;      /* every task fails as soon as it runs */
	bool fail_calls;      /* every call is answered with 500 */
	bool paused;	      /* no task or lease is advanced; calls wait */
	bool silent;	      /* calls get no answer, tasks continue */
	int64_t lose_answers; /* number of next answers to suppress */
};

struct fleet {
	struct ev_loop *loop;
	struct fake_worker *workers;
	uint32_t count;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;
	int64_t run_ms; /* 0: expected_ms of the task */
	int64_t checkpoint_ms;
	int64_t usage_lag_ms;
	GHashTable *checkpoints; /* task id -> progress in ms, int64_t */
	json_t *starts;		 /* accepted starts, in order */
	json_t *releases;	 /* first change from held to running */
	json_t *ends;
	uint64_t syncs, refused_stale, repeated_starts;
	ev_timer tick;
};

int64_t fake_now_ns(void);
int64_t fake_unix_ms(void);
void fake_task_free(void *data);
/* Expires leases and finishes tasks and checkpoints that are due. */
void fake_worker_advance(struct fake_worker *worker);
void fake_worker_request(struct fake_worker *worker,
			 struct cq_http_exchange *exchange);
/* Simulates a restart: all tasks are lost and the boot id changes. */
void fake_worker_restart(struct fake_worker *worker);
void fake_control_request(void *ctx, struct cq_http_exchange *exchange);

#endif
