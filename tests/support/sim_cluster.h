/*
 * A deployment of the real state machines in simulated time: processes with
 * membership, settings, store relay and, for schedds, ownership.
 */
#ifndef TESTS_SUPPORT_SIM_CLUSTER_H
#define TESTS_SUPPORT_SIM_CLUSTER_H

#include "chestnutquay/membership.h"
#include "chestnutquay/ownership.h"
#include "chestnutquay/settings.h"
#include "chestnutquay/settings_sync.h"
#include "chestnutquay/store_relay.h"
#include "sim.h"
#include "sim_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cq_sim_cluster;
struct cq_sim_node;

struct cq_sim_cluster_options {
	uint64_t seed;
	uint32_t data_centres;
	uint32_t schedds; /* in each data centre */
	uint32_t entryds;
	const struct cq_settings_sync_strategy *strategy;
	bool no_ownership;
	bool no_relay; /* the store is used directly */
	/* Clocks are skewed within the bounds of the design, and drift. */
	bool uneven_clocks;
	/* Each way; 0 with uneven clocks: 5000, far above real clocks. */
	int32_t max_drift_ppm;
	bool one_seed;	   /* all join through node 0 */
	bool measure_time; /* processor time of the state machines */
};

struct cq_sim_cluster_hooks {
	/* After each tick of a process. */
	void (*ticked)(void *ctx, struct cq_sim_node *node);
	/* Settings came into force in a process. */
	void (*in_force)(void *ctx, struct cq_sim_node *node, const char *key,
			 int64_t revision);
};

/* Relay strategy, 1 data centre, 3 schedds, no entryd. */
void cq_sim_cluster_options_init(struct cq_sim_cluster_options *options);
/* Creates and starts all processes; data centres are dc0, dc1 and so on. */
struct cq_sim_cluster *
cq_sim_cluster_create(const struct cq_sim_cluster_options *options);
void cq_sim_cluster_destroy(struct cq_sim_cluster *cluster);
void cq_sim_cluster_set_hooks(struct cq_sim_cluster *cluster,
			      const struct cq_sim_cluster_hooks *hooks,
			      void *ctx);

struct cq_sim *cq_sim_cluster_sim(struct cq_sim_cluster *cluster);
struct cq_sim_store *cq_sim_cluster_store(struct cq_sim_cluster *cluster);
void cq_sim_cluster_run_ms(struct cq_sim_cluster *cluster, int64_t ms);
/*
 * Runs until the condition holds at the end of a step of 50 ms; false after
 * limit_ms.
 */
bool cq_sim_cluster_run_until(struct cq_sim_cluster *cluster,
			      bool (*condition)(struct cq_sim_cluster *cluster,
						void *ctx),
			      void *ctx, int64_t limit_ms);

uint32_t cq_sim_cluster_count(const struct cq_sim_cluster *cluster);
struct cq_sim_node *cq_sim_cluster_node(struct cq_sim_cluster *cluster,
					uint32_t i);
/* The node that may command the data centre now, or NULL. */
struct cq_sim_node *cq_sim_cluster_owner(struct cq_sim_cluster *cluster,
					 const char *data_centre);

/* Node numbers are host numbers of the sim. */
int32_t cq_sim_node_host(const struct cq_sim_node *node);
/* Schedds and entryds of a data centre share its hosts, numbered from 0. */
uint32_t cq_sim_node_host_in_dc(const struct cq_sim_node *node);
const char *cq_sim_node_id(const struct cq_sim_node *node);
const char *cq_sim_node_data_centre(const struct cq_sim_node *node);
bool cq_sim_node_is_running(const struct cq_sim_node *node);
/* NULL while the process is not running. */
struct cq_membership *cq_sim_node_membership(struct cq_sim_node *node);
struct cq_settings *cq_sim_node_settings(struct cq_sim_node *node);
struct cq_settings_sync *cq_sim_node_sync(struct cq_sim_node *node);
struct cq_store_relay *cq_sim_node_relay(struct cq_sim_node *node);
/* NULL for an entryd too. */
struct cq_ownership *cq_sim_node_ownership(struct cq_sim_node *node);
int64_t cq_sim_node_now_ns(const struct cq_sim_node *node);
bool cq_sim_node_may_command(const struct cq_sim_node *node);
uint64_t cq_sim_node_busy_ns(const struct cq_sim_node *node);
uint64_t cq_sim_node_permit_calls(const struct cq_sim_node *node);

void cq_sim_node_kill(struct cq_sim_node *node);
/* Starts a new process at the same address with the same id. */
void cq_sim_node_restart(struct cq_sim_node *node);
void cq_sim_node_pause(struct cq_sim_node *node);
void cq_sim_node_resume(struct cq_sim_node *node);
/* Cuts all traffic between two groups: node i is in the group if group[i]. */
void cq_sim_cluster_partition(struct cq_sim_cluster *cluster, const bool *group,
			      bool store_in_group);
/*
 * Writes a settings object (NULL: removal) to the store as this process would;
 * returns the revision.
 */
int64_t cq_sim_node_write(struct cq_sim_node *node, const char *key,
			  const char *json);

#ifdef __cplusplus
}
#endif

#endif
