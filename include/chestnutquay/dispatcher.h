/*
 * Runs the accepted workloads on the workers, while this host leads.
 *
 * A dispatcher lives for one epoch. It reads workloads and progress from the
 * store, fences the workers, and starts what waits. A run is in the store
 * before it is ordered; an end is in the store before it is acknowledged.
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

/* Keys of the store. */
#define CQ_KEY_WORKLOADS "cq/job/"  /* accepted workloads, by id */
#define CQ_KEY_PROGRESS "cq/run/"   /* their progress, by id */
#define CQ_KEY_PENDING "cq/pending" /* waiting jobs of each queue */
#define CQ_KEY_HEAD "cq/head"
#define CQ_KEY_LEADER_PREFIX "cq/leader/"

struct cq_dispatcher_ops {
	/* Asked before every order. */
	bool (*may_command)(void *ctx);
	/* A later epoch has begun; the dispatcher is to be destroyed. */
	void (*superseded)(void *ctx);
};

typedef bool cq_listing_parse_fn(const char *id, const char *json, size_t len,
				 struct cq_executor_listing *listing,
				 struct cq_error *err);

struct cq_dispatcher_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	struct cq_metrics *metrics;
	const char *worker_prefix; /* of the workers' entries in the store */
	cq_listing_parse_fn *parse_listing;
	int64_t epoch;
	int64_t head_revision;
	uint32_t store_timeout_ms;
	uint32_t max_lease_ms; /* of a worker's runs */
};

struct cq_dispatcher;

struct cq_dispatcher *
cq_dispatcher_create(const struct cq_dispatcher_options *options,
		     const struct cq_store *store,
		     const struct cq_executor *executor,
		     const struct cq_dispatcher_ops *ops, void *ctx);
/* The executor's open calls must not complete afterwards. */
void cq_dispatcher_destroy(struct cq_dispatcher *d);
/* Both are borrowed until replaced. */
void cq_dispatcher_set_config(struct cq_dispatcher *d,
			      const struct cq_queue_config *config);
/* Names of data centres that get no new runs; a set of strings. */
void cq_dispatcher_set_evacuated(struct cq_dispatcher *d,
				 GHashTable *data_centres);

#endif
