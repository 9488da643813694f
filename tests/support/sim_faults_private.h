/* State shared by the parts of the simulated faults. */
#ifndef TESTS_SUPPORT_SIM_FAULTS_PRIVATE_H
#define TESTS_SUPPORT_SIM_FAULTS_PRIVATE_H

#include <glib.h>

#include "sim_faults.h"

#define MAX_DCS 64

struct active {
	enum cq_sim_fault_kind kind;
	uint32_t node;
};

struct write {
	int64_t revision;
	char *document; /* NULL: deleted */
};

struct cq_sim_faults {
	struct cq_sim_cluster *cluster;
	GArray *active;
	char violation[512];
	/* Store key -> array of struct write, oldest first. */
	GHashTable *history;
	int64_t *tree_revision; /* by node, of the running process */
	uint32_t *life;		/* by node */
	uint64_t permits;
	int64_t out_since_ms[MAX_DCS];	/* Unix time; 0: in */
	int64_t last_start_ms[MAX_DCS]; /* latest time a permit allows */
};

uint32_t cq_sim_dc_number(const struct cq_sim_node *node);
/* Sets the faults of the network and the store anew. */
void cq_sim_faults_apply(struct cq_sim_faults *faults);

#endif
