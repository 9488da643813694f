#include <string.h>

#include <glib.h>

#include "sim_faults.h"

bool cq_sim_settings_converged(struct cq_sim_cluster *cluster, void *ctx)
{
	int64_t newest = 0;
	uint32_t i;

	(void)ctx;
	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_sim_node *node = cq_sim_cluster_node(cluster, i);

		if (!cq_sim_node_is_running(node) ||
		    !cq_settings_sync_ready(cq_sim_node_sync(node)))
			return false;
		newest = MAX(newest,
			     cq_settings_revision(cq_sim_node_settings(node)));
	}
	for (i = 0; i < cq_sim_cluster_count(cluster); i++)
		if (cq_settings_revision(cq_sim_node_settings(
			    cq_sim_cluster_node(cluster, i))) != newest)
			return false;
	return newest >= (ctx ? *(int64_t *)ctx : 0);
}

bool cq_sim_membership_converged(struct cq_sim_cluster *cluster, void *ctx)
{
	uint32_t i, k, running = 0;

	(void)ctx;
	for (i = 0; i < cq_sim_cluster_count(cluster); i++)
		running +=
			cq_sim_node_is_running(cq_sim_cluster_node(cluster, i));
	for (i = 0; i < cq_sim_cluster_count(cluster); i++) {
		struct cq_membership *m =
			cq_sim_node_membership(cq_sim_cluster_node(cluster, i));
		uint32_t alive = 0;

		if (!m)
			continue;
		for (k = 0; k < cq_membership_count(m); k++)
			alive += cq_membership_get(m, k)->state ==
				 CQ_MEMBER_ALIVE;
		if (alive != running || cq_membership_live_count(m) != running)
			return false;
	}
	return true;
}

bool cq_sim_all_owned(struct cq_sim_cluster *cluster, void *ctx)
{
	uint32_t i;

	(void)ctx;
	for (i = 0; i < cq_sim_cluster_count(cluster); i++)
		if (!cq_sim_cluster_owner(
			    cluster, cq_sim_node_data_centre(
					     cq_sim_cluster_node(cluster, i))))
			return false;
	return true;
}
