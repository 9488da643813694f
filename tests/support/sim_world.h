/*
 * A simulated deployment with faults and the monitor of its claims, as the
 * tests of the state machines set it up.
 */
#ifndef TESTS_SUPPORT_SIM_WORLD_H
#define TESTS_SUPPORT_SIM_WORLD_H

#include "sim_faults.h"

/* No fault, in a table of faults. */
#define CQ_SIM_NO_FAULT CQ_SIM_FAULT_KINDS

struct cq_sim_world {
	struct cq_sim_cluster *cluster;
	struct cq_sim_faults *faults;
};

void cq_sim_world_init(struct cq_sim_world *world,
		       const struct cq_sim_cluster_options *options);
/* Fails if a claim did not hold. */
void cq_sim_world_clear(struct cq_sim_world *world);
void cq_sim_world_run_ms(struct cq_sim_world *world, int64_t ms);
/* Fails if the condition does not hold within the limit. */
void cq_sim_world_wait(struct cq_sim_world *world,
		       bool (*condition)(struct cq_sim_cluster *cluster,
					 void *ctx),
		       void *ctx, int64_t limit_ms);
/* Does nothing for CQ_SIM_NO_FAULT. */
void cq_sim_world_fault(struct cq_sim_world *world, enum cq_sim_fault_kind kind,
			uint32_t node);
/* Number of the node that may command the data centre, or otherwise. */
uint32_t cq_sim_world_owner(struct cq_sim_world *world, const char *data_centre,
			    uint32_t otherwise);
/* Condition: dc0 is owned by another node than ctx. */
bool cq_sim_owned_by_other(struct cq_sim_cluster *cluster, void *ctx);

/* Makes a live schedd of dc0 known to the membership, by a message of it. */
void cq_sim_feed_member(struct cq_membership *membership, const char *id,
			const char *address, int64_t now_ns);

#endif
