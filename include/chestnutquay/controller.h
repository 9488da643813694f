/*
 * Job controller of one data centre.
 *
 * Follows the job records in the store, exchanges syncs with the workers, runs
 * the planner and carries out its actions through gangs. Every schedd has a
 * controller, which sends commands to workers only while the schedd owns the
 * data centre. Callers pass the current time with every call; only completions
 * of store and worker calls read options.clock.
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
	/*
	 * Whether this process owns the data centre at now_ns; called
	 * immediately before every command (see ownership.h).
	 */
	bool (*may_command)(void *ctx, int64_t now_ns);
	/*
	 * Called in addition before every start and every first release of a
	 * gang. On success sets the time from which the worker must refuse the
	 * command.
	 */
	bool (*start_permit)(void *ctx, int64_t now_ns,
			     int64_t *not_after_unix_ms);
};

struct cq_controller_options {
	const struct cq_clock *clock;
	const char *data_centre;
	/* Unique name of this process, stored in records. */
	const char *writer;
	struct cq_metrics *metrics; /* may be NULL */
	uint64_t seed;
	struct cq_gang_options gang;
	uint32_t call_timeout_ms; /* time-out of worker calls */
	uint32_t store_timeout_ms;
	uint32_t watch_wait_ms;
	/*
	 * Longest time that a gang may run with members missing. A renewal
	 * grants this lease less contact_timeout_ns, and only while the workers
	 * of all members answered within the last contact_timeout_ns.
	 */
	uint32_t task_lease_ms;
	uint32_t held_lease_ms; /* lease of a task started but not released */
	/* A worker is in contact for this long after its last answer. */
	int64_t contact_timeout_ns;
	int64_t sync_interval_ns;
	/*
	 * Syncs to all idle workers together. With more workers than this rate
	 * allows at sync_interval_ns, the interval of idle workers grows;
	 * contact_timeout_ns and lost_after_ns grow by the same time, and the
	 * task lease by twice that time.
	 */
	uint32_t max_syncs_per_s;
	/* A worker that gave no successful answer for this long is lost. */
	int64_t lost_after_ns;
	int64_t plan_interval_ns;
	/*
	 * Longest wait for the first reports of all workers of an epoch before
	 * the first plan.
	 */
	int64_t first_report_wait_ns;
	/* Bound on worker commands in flight, syncs not included. */
	uint32_t max_commands;
	uint32_t max_writes;	    /* bound on record writes in flight */
	uint32_t max_jobs_per_tick; /* jobs reconciled in one tick */
	/*
	 * Job records applied in one tick from answers of the store; further
	 * records wait for the next tick.
	 */
	uint32_t max_records_per_tick;
	/*
	 * A job is handed over to a data centre with free capacity when its
	 * expected wait reaches this time or, if its start cannot be predicted,
	 * when it has already waited this long.
	 */
	int64_t hand_over_wait_ns;
	/* Time after its end at which a job's record is removed. */
	int64_t retention_ms;
	/* Interval between writes of the run-time history. */
	int64_t history_interval_ns;
};

/*
 * Sets the defaults.
 *
 * Time-outs: worker calls 800 ms, store calls 1 s, watches 5 s, contact with a
 * worker 2.5 s, loss of a worker 5 s. Leases: tasks 15 s, held tasks 10 s.
 *
 * Syncs are sent every 1 s, at most 100 a second; plans are made every 1 s, the
 * first one after at most 1.5 s. Limits: 512 commands and 64 writes in flight,
 * 256 jobs and 1024 records per tick.
 *
 * Waiting jobs are handed over after 60 s, records removed after 24 h and the
 * history written every 5 min.
 */
void cq_controller_options_init(struct cq_controller_options *options);

struct cq_controller_dc {
	char name[CQ_JOB_NAME_BYTES];
	bool in_service;
	int64_t notice_ms; /* for running jobs when it goes out of service */
};

struct cq_controller_class {
	char name[CQ_JOB_NAME_BYTES];
	uint32_t rank; /* 0 is served first */
	bool urgent;   /* must start within policy.urgent_start_ns */
};

struct cq_controller_guarantee {
	char workspace[CQ_JOB_NAME_BYTES];
	uint32_t id; /* identifies the guarantee in all plans; never 0 */
	uint32_t count;
	uint32_t accelerators; /* of each of the count placements */
	enum cq_adjacency adjacency;
};

/* The operators' settings that affect placement. */
struct cq_controller_intent {
	const struct cq_controller_dc *dcs;
	uint32_t dc_count;
	const struct cq_controller_class *classes;
	uint32_t class_count;
	/* Guarantees in this data centre. */
	const struct cq_controller_guarantee *guarantees;
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
/*
 * Cancels the store calls in flight. Worker calls must not complete after this.
 */
void cq_controller_destroy(struct cq_controller *c);

/*
 * Reports that the ownership epoch changed. Under a new epoch the controller
 * first reads the store and the workers again; the current epoch has no effect;
 * 0 ends the ownership.
 */
void cq_controller_set_epoch(struct cq_controller *c, int64_t epoch,
			     int64_t now_ns);
/*
 * Called while no schedd appears to own the data centre: the controller renews
 * the leases of complete gangs under this epoch and starts nothing. 0 ends the
 * renewals. Ignored while this process is the owner.
 */
void cq_controller_set_renewal_epoch(struct cq_controller *c, int64_t epoch,
				     int64_t now_ns);
/* Copies the intent. */
void cq_controller_set_intent(struct cq_controller *c,
			      const struct cq_controller_intent *intent,
			      int64_t now_ns);
/* Sets the workers that the host list has for this data centre. */
void cq_controller_set_hosts(struct cq_controller *c,
			     const struct cq_controller_host *hosts,
			     uint32_t count, int64_t now_ns);
void cq_controller_tick(struct cq_controller *c, int64_t now_ns);
/*
 * Tells that a job record may have been written: the next tick calls the store
 * without waiting for a retry delay. job_id is not used.
 */
void cq_controller_notify(struct cq_controller *c, const char *job_id,
			  int64_t now_ns);

/*
 * Number of commands and writes in flight; a planned stop waits until it is 0.
 */
uint32_t cq_controller_in_flight(const struct cq_controller *c);
/* From this call on no new attempt is started. */
void cq_controller_drain(struct cq_controller *c);
/*
 * Whether the records were read in this epoch and every listed worker has
 * reported or is lost.
 */
bool cq_controller_settled(const struct cq_controller *c);

/*
 * Live state as JSON, to be freed with free(); NULL if the job is unknown or
 * this process is not the owner.
 */
char *cq_controller_show_job(struct cq_controller *c, const char *job_id,
			     int64_t now_ns);
/* Jobs to list; "" matches any value, limit bounds the jobs listed. */
struct cq_controller_filter {
	const char *state;
	const char *workspace;
	const char *class_name;
	uint32_t limit;
};

char *cq_controller_list_jobs(struct cq_controller *c,
			      const struct cq_controller_filter *filter,
			      int64_t now_ns);
/*
 * The same with the reason of the job's state, its tasks and the last decisions
 * about it.
 */
char *cq_controller_explain_job(struct cq_controller *c, const char *job_id,
				int64_t now_ns);
char *cq_controller_list_workers(struct cq_controller *c, int64_t now_ns);
/* Accelerators and jobs of each workspace as of the last plan, as JSON. */
char *cq_controller_list_workspaces(struct cq_controller *c);
/*
 * Workers of one rack with equal numbers of accelerators that are on the host
 * list, have reported and are not lost.
 */
struct cq_controller_rack {
	uint32_t rack;
	uint32_t accelerators; /* of each worker */
	uint32_t workers;
};

/* Fills in at most max entries; returns the number filled in. */
uint32_t cq_controller_racks(const struct cq_controller *c,
			     struct cq_controller_rack *racks, uint32_t max);
/*
 * Number of guarantees that the last plan could not provide in full;
 * cq_controller_shortfall() describes each in a sentence.
 */
uint32_t cq_controller_shortfall_count(const struct cq_controller *c);
const char *cq_controller_shortfall(const struct cq_controller *c, uint32_t i);
/*
 * Whether the job could ever run here or in another data centre; if not, err
 * has the reason. True while the capacity is not known.
 */
bool cq_controller_can_ever_run(struct cq_controller *c,
				const struct cq_job_record *record,
				int64_t now_ns, struct cq_error *err);

#endif
