/*
 * Job controller of one data centre.
 *
 * Follows the job records in the store, syncs with the workers, asks the
 * planner, and carries out its actions through gangs. Every schedd has one; it
 * commands workers only while it owns the data centre. The object has no clock
 * of its own: the time comes with every call, and completions of store and
 * worker calls use options.clock.
 */
#ifndef CHESTNUTQUAY_CONTROLLER_H
#define CHESTNUTQUAY_CONTROLLER_H

#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/gang.h"
#include "chestnutquay/jobs.h"
#include "chestnutquay/metrics.h"
#include "chestnutquay/planner.h"
#include "chestnutquay/store.h"
#include "chestnutquay/worker.h"

struct cq_controller_ops {
	/* Asked immediately before every command; see ownership.h. */
	bool (*may_command)(void *ctx, int64_t now_ns);
	/* Asked in addition before every start and first release. */
	bool (*start_permit)(void *ctx, int64_t now_ns,
			     int64_t *not_after_unix_ms);
};

struct cq_controller_options {
	const struct cq_clock *clock;
	const char *data_centre;
	const char *writer;	    /* unique name of this process */
	struct cq_metrics *metrics; /* may be NULL */
	uint64_t seed;
	struct cq_gang_options gang;
	uint32_t call_timeout_ms; /* worker calls */
	uint32_t store_timeout_ms;
	uint32_t watch_wait_ms;
	/*
	 * Bound on how long a gang may run in part. Renewals grant it less
	 * contact_ns, and only while all members' workers answered within
	 * contact_ns.
	 */
	uint32_t task_lease_ms;
	uint32_t held_lease_ms; /* of a start */
	int64_t contact_timeout_ns;
	int64_t sync_interval_ns;
	/*
	 * To all workers together, while nothing is under way on them. With
	 * more workers than that the interval grows; contact_ns and
	 * lost_after_ns count from the longer interval, and the task lease
	 * grows by twice what the interval grew.
	 */
	uint32_t max_syncs_per_s;
	/* A worker without a good answer this long is lost. */
	int64_t lost_after_ns;
	int64_t plan_interval_ns;
	/* Wait for the first reports of all workers before planning. */
	int64_t settle_ns;
	uint32_t max_commands; /* to workers in flight */
	uint32_t max_writes;   /* to the store in flight */
	uint32_t max_jobs_per_tick;
	/* Taken from answers of the store; the rest waits for the next tick. */
	uint32_t max_records_per_tick;
	/*
	 * A job that is expected to wait, or whose start is not known and that
	 * has waited, this long goes to a data centre with room for it.
	 */
	int64_t hand_over_wait_ns;
	int64_t retention_ms; /* of records of ended jobs */
	/* Between writes of the run-time history. */
	int64_t history_interval_ns;
};

/*
 * 800 ms, 1 s, 5 s, 15 s, 10 s, 2.5 s, 1 s, 100, 5 s, 1 s, 1.5 s, 512, 64, 256,
 * 1024, 60 s, 24 h, 5 min.
 */
void cq_controller_options_init(struct cq_controller_options *options);

struct cq_controller_dc {
	char name[CQ_JOB_NAME_BYTES];
	bool in_service;
	int64_t notice_ms;
};

struct cq_controller_class {
	char name[CQ_JOB_NAME_BYTES];
	uint32_t rank;
	bool urgent;
};

struct cq_controller_guarantee {
	char workspace[CQ_JOB_NAME_BYTES];
	uint32_t id; /* stable, not 0 */
	uint32_t count;
	uint32_t accelerators;
	enum cq_adjacency adjacency;
};

/* What the operators want, as far as placement is concerned. */
struct cq_controller_intent {
	const struct cq_controller_dc *dcs;
	uint32_t dc_count;
	const struct cq_controller_class *classes;
	uint32_t class_count;
	const struct cq_controller_guarantee *guarantees; /* of this DC */
	uint32_t guarantee_count;
	struct cq_policy policy;
};

struct cq_controller_host {
	const char *name;
	const char *address;
	const char *rack;
};

struct cq_controller;

struct cq_controller *
cq_controller_create(const struct cq_controller_options *options,
		     const struct cq_controller_ops *ops, void *ctx,
		     const struct cq_store *store,
		     const struct cq_worker *worker, int64_t now_ns);
/* Cancels store calls; worker calls must not complete afterwards. */
void cq_controller_destroy(struct cq_controller *c);

/*
 * The ownership changed. A new epoch starts from the store and the workers;
 * the same epoch again changes nothing. 0 ends the work as owner.
 */
void cq_controller_set_epoch(struct cq_controller *c, int64_t epoch,
			     int64_t now_ns);
/*
 * Without an owner in sight, renews the leases of complete gangs with the
 * epoch and starts nothing; 0 ends that.
 */
void cq_controller_set_renewal_epoch(struct cq_controller *c, int64_t epoch,
				     int64_t now_ns);
/* Copied. */
void cq_controller_set_intent(struct cq_controller *c,
			      const struct cq_controller_intent *intent,
			      int64_t now_ns);
/* The workers of this data centre on the host list. */
void cq_controller_set_hosts(struct cq_controller *c,
			     const struct cq_controller_host *hosts,
			     uint32_t count, int64_t now_ns);
void cq_controller_tick(struct cq_controller *c, int64_t now_ns);
/* A job may have been written; looks at once. */
void cq_controller_notify(struct cq_controller *c, const char *job_id,
			  int64_t now_ns);

/* Commands and writes in flight; a planned stop waits for none. */
uint32_t cq_controller_in_flight(const struct cq_controller *c);
/* Starts no new attempt any more. */
void cq_controller_drain(struct cq_controller *c);
/* Whether the records and the workers of this epoch have been read. */
bool cq_controller_settled(const struct cq_controller *c);

/* Live state as JSON, freed with free(); NULL if unknown or not owner. */
char *cq_controller_show_job(struct cq_controller *c, const char *job_id,
			     int64_t now_ns);
/* "" means any. */
struct cq_controller_filter {
	const char *state;
	const char *workspace;
	const char *class_name;
	uint32_t limit;
};

char *cq_controller_list_jobs(struct cq_controller *c,
			      const struct cq_controller_filter *filter,
			      int64_t now_ns);
char *cq_controller_explain_job(struct cq_controller *c, const char *job_id,
				int64_t now_ns);
char *cq_controller_list_workers(struct cq_controller *c, int64_t now_ns);
/* Accelerators and jobs of each workspace, as of the last plan. */
char *cq_controller_list_workspaces(struct cq_controller *c);
/* Equal workers of one rack that are listed and answer. */
struct cq_controller_rack {
	uint32_t rack;
	uint32_t accelerators; /* of one worker */
	uint32_t workers;
};

/* Fills in at most max entries and returns their number. */
uint32_t cq_controller_racks(const struct cq_controller *c,
			     struct cq_controller_rack *racks, uint32_t max);
/* Guarantees that the last plan found short, as sentences. */
uint32_t cq_controller_shortfall_count(const struct cq_controller *c);
const char *cq_controller_shortfall(const struct cq_controller *c, uint32_t i);
/* Whether a submission could ever run here; the reason if not. */
bool cq_controller_can_ever_run(struct cq_controller *c,
				const struct cq_job_record *record,
				int64_t now_ns, struct cq_error *err);

#endif
