#include <glib.h>

#include "../support/sim_cluster.h"

static bool has_owner(struct cq_sim_cluster *cluster, void *ctx)
{
	return cq_sim_cluster_owner(cluster, ctx) != NULL;
}

/* Guards against a data centre that nobody comes to own. */
static void test_first_owner(void)
{
	struct cq_sim_cluster_options options;
	struct cq_sim_cluster *cluster;

	cq_sim_cluster_options_init(&options);
	cluster = cq_sim_cluster_create(&options);
	g_assert_true(
		cq_sim_cluster_run_until(cluster, has_owner, "dc0", 3000));
	cq_sim_cluster_destroy(cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ownership/first", test_first_owner);
	return g_test_run();
}
