/*
 * Runs the accepted workloads on the workers while this host is the leader.
 *
 * A dispatcher exists for one leadership epoch. It reads the workloads and
 * their progress from the store, fences the workers with its epoch, and starts
 * the tasks that are waiting. A run is written to the store before the worker
 * is told to start it; the end of a run is written to the store before it is
 * acknowledged to the worker.
 */
#ifndef CHESTNUTQUAY_DISPATCHER_H
#define CHESTNUTQUAY_DISPATCHER_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/error.h"
#include "chestnutquay/executor.h"
#include "chestnutquay/metrics.h"
#include "chestnutquay/queues.h"
#include "chestnutquay/store.h"

/* Store keys; those that end with a slash are prefixes. */
#define CQ_KEY_WORKLOADS "cq/job/"  /* accepted workloads, by id */
#define CQ_KEY_PROGRESS "cq/run/"   /* their progress, by id */
#define CQ_KEY_PENDING "cq/pending" /* number of waiting jobs per queue */
#define CQ_KEY_HEAD "cq/head"	    /* epoch and journal sequence number */
#define CQ_KEY_LEADER_PREFIX "cq/leader/" /* holder key of the leader */
/*
 * Exists while the leader holds as many jobs as it may: hosts refuse further
 * ones. It has the prefix of the holder key, which all hosts follow.
 */
#define CQ_KEY_FULL "cq/leader/full"

struct cq_dispatcher_ops {
	/* Called before each command; false: no command may be sent now. */
	bool (*may_command)(void *ctx);
	/* A later epoch has begun; the caller must destroy the dispatcher. */
	void (*superseded)(void *ctx);
};

/*
 * Parses the store entry in which a worker describes itself. Returns false and
 * sets err if it is malformed. Initializes the listing in both cases; the
 * caller clears it.
 */
typedef bool cq_registration_parse_fn(const char *id, const char *json,
				      size_t len,
				      struct cq_executor_registration *listing,
				      struct cq_error *err);

struct cq_dispatcher_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	struct cq_metrics *metrics;
	const char *worker_prefix; /* key prefix of the workers' entries */
	cq_registration_parse_fn *parse_listing;
	int64_t epoch;
	int64_t head_revision; /* of CQ_KEY_HEAD, as written by the election */
	uint32_t store_timeout_ms;
	uint32_t max_lease_ms;	/* longest lease granted to a worker */
	uint32_t remote_factor; /* see placement.h */
	/*
	 * How long the records of an ended job are kept; longer than callers
	 * ask for its state, repeat its submission, and a write may be late. 0:
	 * for good.
	 */
	uint32_t ended_retention_ms;
	/*
	 * Memory that jobs may take, by their sizes, before further ones are
	 * refused; 0: no limit.
	 */
	uint64_t max_job_bytes;
	/* Most bytes of a progress record; 0: no limit. */
	uint64_t max_record_bytes;
};

struct cq_dispatcher;

struct cq_dispatcher *
cq_dispatcher_create(const struct cq_dispatcher_options *options,
		     const struct cq_store *store,
		     const struct cq_executor *executor,
		     const struct cq_dispatcher_ops *ops, void *ctx);
/*
 * The caller must make sure that no executor call that is still in flight
 * completes afterwards.
 */
void cq_dispatcher_destroy(struct cq_dispatcher *d);
/* The configuration is borrowed until it is replaced. */
void cq_dispatcher_set_config(struct cq_dispatcher *d,
			      const struct cq_queue_config *config);
/*
 * Sets the data centres that get no new runs: a set of their names, borrowed
 * until it is replaced.
 */
void cq_dispatcher_set_evacuated(struct cq_dispatcher *d,
				 GHashTable *data_centres);

#endif
