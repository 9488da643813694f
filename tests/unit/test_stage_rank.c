/*
 * What belongs to a workspace, for the load that it answers: a burst of urgent
 * jobs of one workspace beside the usual ones of another.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/pool.h"
#include "chestnutquay/stage_rank.h"

#define BURST_GUARANTEED 16
#define CALM_GUARANTEED 24

static struct cq_queue queues[] = {
	{ .name = "urgent", .priority = 0 },
	{ .name = "middle", .priority = 1 },
	{ .name = "bulk", .priority = 2 },
};
static struct cq_workspace_keys workspaces[] = {
	{ .name = "burst", .guaranteed_accelerators = BURST_GUARANTEED },
	{ .name = "calm", .guaranteed_accelerators = CALM_GUARANTEED },
};
static const struct cq_queue_config config = {
	.queues = queues,
	.queue_count = G_N_ELEMENTS(queues),
	.workspaces = workspaces,
	.workspace_count = G_N_ELEMENTS(workspaces),
};

struct world {
	GHashTable *batches;
	struct cq_pool *pool;
	struct cq_pool_worker *worker;
	int accepted;
};

static void world_open(struct world *w)
{
	struct cq_executor_registration listing = { .accelerators = 1000 };

	w->accepted = 0;
	w->batches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   (GDestroyNotify)cq_batch_destroy);
	w->pool = cq_pool_create();
	w->worker = cq_pool_add(w->pool, "w");
	cq_pool_update(w->worker, &listing);
}

static void world_close(struct world *w)
{
	g_hash_table_destroy(w->batches);
	cq_pool_destroy(w->pool);
}

/* A job of one step whose tasks need one accelerator each. */
static struct cq_stage *accept(struct world *w, const char *queue,
			       const char *workspace, uint32_t tasks)
{
	struct cq_workload *job = cq_workload_create();
	struct cq_batch *batch;

	g_snprintf(job->id, sizeof(job->id), "%016d", ++w->accepted);
	g_strlcpy(job->queue, queue, sizeof(job->queue));
	g_strlcpy(job->workspace, workspace, sizeof(job->workspace));
	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = tasks;
	job->steps[0].accelerators = 1;
	batch = cq_batch_create(job);
	batch->accepted_ns = w->accepted * CQ_NS_PER_S;
	g_hash_table_insert(w->batches, job->id, batch);
	return &batch->stages[0];
}

static void start(struct world *w, struct cq_stage *stage)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		cq_task_assign(&stage->tasks[i], w->worker, 1);
}

static void check_rank(struct world *w, const struct cq_stage *stage,
		       uint32_t rank)
{
	cq_stage_ranks_update(&config, w->batches);
	g_assert_cmpuint(stage->rank, ==, rank);
}

/* The first jobs are guaranteed; from the one that goes beyond, none is. */
static void test_burst(void)
{
	struct world w;
	struct cq_stage *first, *second, *third, *fourth, *calm;

	world_open(&w);
	first = accept(&w, "urgent", "burst", 10);
	second = accept(&w, "urgent", "burst", 6);
	third = accept(&w, "urgent", "burst", 4);
	fourth = accept(&w, "urgent", "burst", 1);
	calm = accept(&w, "urgent", "calm", CALM_GUARANTEED);
	check_rank(&w, first, CQ_RANK_GUARANTEED);
	check_rank(&w, second, CQ_RANK_GUARANTEED);
	check_rank(&w, third, CQ_RANK_URGENT);
	check_rank(&w, fourth, CQ_RANK_URGENT);
	check_rank(&w, calm, CQ_RANK_GUARANTEED);
	world_close(&w);
}

/* A workspace's own waiting jobs do not displace what it runs. */
static void test_runs_keep_their_claim(void)
{
	struct world w;
	struct cq_stage *waiting, *running;

	world_open(&w);
	waiting = accept(&w, "urgent", "burst", 10);
	running = accept(&w, "urgent", "burst", 10);
	start(&w, running);
	check_rank(&w, running, CQ_RANK_GUARANTEED);
	check_rank(&w, waiting, CQ_RANK_URGENT);
	world_close(&w);
}

/* What has ended needs nothing any more. */
static void test_ends_free_the_guarantee(void)
{
	struct world w;
	struct cq_stage *first, *second;
	uint32_t i;

	world_open(&w);
	first = accept(&w, "urgent", "burst", 10);
	second = accept(&w, "urgent", "burst", 10);
	start(&w, first);
	check_rank(&w, second, CQ_RANK_URGENT);
	for (i = 0; i < 4; i++)
		cq_task_end(&first->tasks[i], CQ_RUN_DONE, NULL, 2);
	check_rank(&w, second, CQ_RANK_GUARANTEED);
	world_close(&w);
}

static void test_other_queues(void)
{
	struct world w;

	world_open(&w);
	check_rank(&w, accept(&w, "middle", "calm", 1), 2);
	check_rank(&w, accept(&w, "bulk", "calm", 1), 3);
	/* Without a guarantee urgent work is urgent all the same. */
	check_rank(&w, accept(&w, "urgent", "unknown", 1), CQ_RANK_URGENT);
	/* Nobody knows how urgent it is: it is not displaced. */
	check_rank(&w, accept(&w, "unknown", "calm", 1), CQ_RANK_GUARANTEED);
	world_close(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stage_rank/burst", test_burst);
	g_test_add_func("/stage_rank/runs_keep_their_claim",
			test_runs_keep_their_claim);
	g_test_add_func("/stage_rank/ends_free_the_guarantee",
			test_ends_free_the_guarantee);
	g_test_add_func("/stage_rank/other_queues", test_other_queues);
	return g_test_run();
}
