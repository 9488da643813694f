/*
 * Faults of a simulated deployment, and a monitor of its safety claims.
 *
 * Faults may overlap in any way; when one ends, the others stay in effect.
 */
#ifndef TESTS_SUPPORT_SIM_FAULTS_H
#define TESTS_SUPPORT_SIM_FAULTS_H

#include "sim_cluster.h"

#ifdef __cplusplus
extern "C" {
#endif

enum cq_sim_fault_kind {
	CQ_SIM_KILL,	   /* ends with a restart */
	CQ_SIM_PAUSE,	   /* the process stands still */
	CQ_SIM_CUT,	   /* the node is cut off from everything */
	CQ_SIM_CUT_STORE,  /* from the store only */
	CQ_SIM_CUT_PEERS,  /* from all peers, but not from the store */
	CQ_SIM_DEAF,	   /* half-open: the node sends, nothing arrives */
	CQ_SIM_MUTE,	   /* half-open: the node receives only */
	CQ_SIM_DEAF_STORE, /* the store's answers to the node are lost */
	CQ_SIM_CUT_DC, /* the node's data centre from all others and store */
	CQ_SIM_STORE_DOWN,
	CQ_SIM_STORE_HANG,
	CQ_SIM_STORE_SLOW,
	CQ_SIM_LOST_ANSWERS, /* half of the store's answers are lost */
	CQ_SIM_RESETS,	   /* half of the connections break before the answer */
	CQ_SIM_LOSS,	   /* a third of the messages is lost */
	CQ_SIM_DUPLICATES, /* a third arrives twice, all out of order */
	CQ_SIM_PLANNED_STOP, /* hand-over and leave; ends with a restart */
	/* Kills that end with restarts. */
	CQ_SIM_KILL_HOST, /* all processes on the host of the node */
	CQ_SIM_KILL_RACK, /* every other host of the data centre */
	CQ_SIM_KILL_DC,
	/* The node's data centre. */
	CQ_SIM_CUT_DC_STORE, /* from the store only */
	CQ_SIM_CUT_DC_PEERS, /* from the other data centres only */
	CQ_SIM_DEAF_DC,	     /* half-open: its messages and calls leave it */
	CQ_SIM_SILENT_LINK,  /* nothing passes between the node and the next */
	CQ_SIM_FAULT_KINDS,
};

const char *cq_sim_fault_string(enum cq_sim_fault_kind kind);

struct cq_sim_faults;

/* Takes the cluster's hooks for the monitor. */
struct cq_sim_faults *cq_sim_faults_create(struct cq_sim_cluster *cluster);
void cq_sim_faults_destroy(struct cq_sim_faults *faults);
void cq_sim_fault_begin(struct cq_sim_faults *faults,
			enum cq_sim_fault_kind kind, uint32_t node);
void cq_sim_fault_end(struct cq_sim_faults *faults, enum cq_sim_fault_kind kind,
		      uint32_t node);
void cq_sim_faults_end_all(struct cq_sim_faults *faults);

/* Sets the state of a data centre in the store, as an operator. */
void cq_sim_faults_set_dc(struct cq_sim_faults *faults, uint32_t dc, bool in);

/*
 * The first claim that did not hold, "" if all did:
 * two owners that may command; settings that went back, skipped a change or
 * differ from what was written; a start possible more than 3 s after `out`.
 */
const char *cq_sim_faults_violation(const struct cq_sim_faults *faults);
/* Start permits seen by the monitor. */
uint64_t cq_sim_faults_permits(const struct cq_sim_faults *faults);
/* Time of the last possible start after the last `out`, less 0 if none. */
int64_t cq_sim_faults_last_start_ms(const struct cq_sim_faults *faults,
				    uint32_t dc);

/* All processes run, are ready and hold the newest settings. */
bool cq_sim_settings_converged(struct cq_sim_cluster *cluster, void *ctx);
/* All processes see exactly the running ones as live. */
bool cq_sim_membership_converged(struct cq_sim_cluster *cluster, void *ctx);
/* Each data centre has an owner that may command. */
bool cq_sim_all_owned(struct cq_sim_cluster *cluster, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
