/* What the active faults do to the network and the store. */
#include "sim_faults_private.h"

/* Blocks one direction or both between the node and peers or store. */
static void isolate(struct cq_sim_faults *faults, uint32_t node, bool in,
		    bool out, bool peers, bool store)
{
	struct cq_sim *sim = cq_sim_cluster_sim(faults->cluster);
	int32_t i, n = (int32_t)cq_sim_cluster_count(faults->cluster);

	for (i = 0; peers && i < n; i++) {
		if (i == (int32_t)node)
			continue;
		if (in)
			cq_sim_net_block(sim, i, (int32_t)node, true);
		if (out)
			cq_sim_net_block(sim, (int32_t)node, i, true);
	}
	if (store && in)
		cq_sim_net_block(sim, CQ_SIM_STORE, (int32_t)node, true);
	if (store && out)
		cq_sim_net_block(sim, (int32_t)node, CQ_SIM_STORE, true);
}

/* Sets the network and the store to what the active faults say together. */
/* Cuts the node's data centre off; out: in both directions. */
static void cut_dc(struct cq_sim_faults *faults, uint32_t node, bool out,
		   bool peers, bool store)
{
	struct cq_sim_cluster *cluster = faults->cluster;
	struct cq_sim *sim = cq_sim_cluster_sim(cluster);
	uint32_t dc = cq_sim_dc_number(cq_sim_cluster_node(cluster, node));
	int32_t n = (int32_t)cq_sim_cluster_count(cluster), i, k;

	for (i = 0; i < n; i++) {
		if (cq_sim_dc_number(
			    cq_sim_cluster_node(cluster, (uint32_t)i)) != dc)
			continue;
		for (k = 0; peers && k < n; k++) {
			if (cq_sim_dc_number(cq_sim_cluster_node(
				    cluster, (uint32_t)k)) == dc)
				continue;
			cq_sim_net_block(sim, k, i, true);
			if (out)
				cq_sim_net_block(sim, i, k, true);
		}
		if (store)
			cq_sim_net_block(sim, CQ_SIM_STORE, i, true);
		if (store && out)
			cq_sim_net_block(sim, i, CQ_SIM_STORE, true);
	}
}

void cq_sim_faults_apply(struct cq_sim_faults *faults)
{
	struct cq_sim_cluster *cluster = faults->cluster;
	struct cq_sim *sim = cq_sim_cluster_sim(cluster);
	uint32_t n = cq_sim_cluster_count(cluster), k;
	struct cq_sim_net_faults net = { 500 * CQ_NS_PER_US,
					 1500 * CQ_NS_PER_US, 0, 0 };
	struct cq_sim_store_faults store = {
		.min_delay_ns = 500 * CQ_NS_PER_US,
		.max_delay_ns = 2 * CQ_NS_PER_MS,
	};
	guint i;

	cq_sim_net_heal(sim);
	for (i = 0; i < faults->active->len; i++) {
		const struct active *a =
			&g_array_index(faults->active, struct active, i);

		switch (a->kind) {
		case CQ_SIM_CUT:
			isolate(faults, a->node, true, true, true, true);
			break;
		case CQ_SIM_CUT_STORE:
			isolate(faults, a->node, true, true, false, true);
			break;
		case CQ_SIM_CUT_PEERS:
			isolate(faults, a->node, true, true, true, false);
			break;
		case CQ_SIM_DEAF:
			isolate(faults, a->node, true, false, true, true);
			break;
		case CQ_SIM_MUTE:
			isolate(faults, a->node, false, true, true, true);
			break;
		case CQ_SIM_DEAF_STORE:
			isolate(faults, a->node, true, false, false, true);
			break;
		case CQ_SIM_CUT_DC:
			cut_dc(faults, a->node, true, true, true);
			break;
		case CQ_SIM_CUT_DC_STORE:
			cut_dc(faults, a->node, true, false, true);
			break;
		case CQ_SIM_CUT_DC_PEERS:
			cut_dc(faults, a->node, true, true, false);
			break;
		case CQ_SIM_DEAF_DC:
			cut_dc(faults, a->node, false, true, true);
			break;
		case CQ_SIM_SILENT_LINK:
			k = (a->node + 1) % n;
			cq_sim_net_block(sim, (int32_t)a->node, (int32_t)k,
					 true);
			cq_sim_net_block(sim, (int32_t)k, (int32_t)a->node,
					 true);
			break;
		case CQ_SIM_STORE_DOWN:
			store.down = true;
			store.keep_leases = a->node % 2;
			break;
		case CQ_SIM_STORE_HANG:
			store.hang = true;
			store.keep_leases = a->node % 2;
			break;
		case CQ_SIM_STORE_SLOW:
			/* Around the time limits of the callers. */
			store.max_delay_ns = 900 * CQ_NS_PER_MS;
			break;
		case CQ_SIM_LOST_ANSWERS:
			store.lost_answer_permille = 500;
			break;
		case CQ_SIM_RESETS:
			store.reset_permille = 500;
			break;
		case CQ_SIM_LOSS:
			net.loss_permille = 333;
			break;
		case CQ_SIM_DUPLICATES:
			net.duplicate_permille = 333;
			net.max_delay_ns = 200 * CQ_NS_PER_MS;
			break;
		case CQ_SIM_KILL:
		case CQ_SIM_PAUSE:
		case CQ_SIM_PLANNED_STOP:
		case CQ_SIM_KILL_HOST:
		case CQ_SIM_KILL_RACK:
		case CQ_SIM_KILL_DC:
		case CQ_SIM_FAULT_KINDS:
			break;
		}
	}
	cq_sim_net_faults(sim, &net);
	cq_sim_store_set_faults(cq_sim_cluster_store(cluster), &store);
}
