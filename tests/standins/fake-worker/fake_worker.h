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
	json_t *labels; /* the start call's body, returned in reports */
	enum cq_task_state state;
	const char *end_reason; /* of an ended task */
	uint64_t version;	/* of the last reported change */
	int64_t lease_deadline_ns;
	int64_t ended_ns;
	int64_t checkpoint_end_ns;
	int64_t checkpoint_ms; /* -1: none */
	uint32_t throttle_pct;
	double run_ms; /* progress */
	double needed_ms;
	int64_t advanced_ns;
	int64_t usage_known_ns; /* usage is reported from then on */
};

struct fake_worker {
	struct fleet *fleet;
	char *id;
	char *data_centre;
	char *rack;
	struct cq_http_server *server;
	GHashTable *tasks; /* id -> struct fake_task */
	GPtrArray *held_exchanges;
	uint32_t boot;
	uint64_t version;
	int64_t highest_epoch;
	/* Faults. */
	bool fail_tasks; /* every task fails as soon as it runs */
	bool fail_calls; /* every call is answered with 500 */
	bool paused;	 /* nothing happens; calls wait */
	bool silent;	 /* calls get no answer, tasks go on */
	int64_t lose_answers;
};

struct fleet {
	struct ev_loop *loop;
	struct fake_worker *workers;
	uint32_t count;
	uint32_t accelerators;
	uint32_t millicores;
	uint64_t memory_bytes;
	int64_t run_ms; /* 0: the task's expected_ms */
	int64_t checkpoint_ms;
	int64_t usage_lag_ms;
	GHashTable *checkpoints; /* task id -> int64_t ms */
	json_t *starts;		 /* accepted starts, in order */
	json_t *releases;	 /* first change from held to running */
	json_t *ends;
	uint64_t syncs, refused_stale, repeated_starts;
	ev_timer tick;
};

int64_t fake_now_ns(void);
int64_t fake_unix_ms(void);
void fake_task_free(void *data);
/* Ends leases, finishes tasks and checkpoints that are due. */
void fake_worker_advance(struct fake_worker *worker);
void fake_worker_request(struct fake_worker *worker,
			 struct cq_http_exchange *exchange);
/* Forgets all tasks, as after a restart. */
void fake_worker_reboot(struct fake_worker *worker);
void fake_control_request(void *ctx, struct cq_http_exchange *exchange);

#endif
