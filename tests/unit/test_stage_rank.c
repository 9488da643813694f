/*
 * Ranks under guarantees, for a burst of urgent jobs of one workspace beside
 * the usual ones of another
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/pool.h"
#include "chestnutquay/stage_rank.h"
#include "chestnutquay/text.h"

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

struct fixture {
	GHashTable *batches;
	struct cq_pool *pool;
	struct cq_pool_worker *worker;
	int accepted;
};

static void fixture_setup(struct fixture *w)
{
	struct cq_executor_registration listing = { .accelerators = 1000 };

	w->accepted = 0;
	w->batches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   (GDestroyNotify)cq_batch_destroy);
	w->pool = cq_pool_create();
	w->worker = cq_pool_add(w->pool, "w");
	cq_pool_update(w->worker, &listing);
}

static void fixture_teardown(struct fixture *w)
{
	g_hash_table_destroy(w->batches);
	cq_pool_destroy(w->pool);
}

/* Adds a job of one step whose tasks need one accelerator each. */
static struct cq_stage *add_job(struct fixture *w, const char *queue,
				const char *workspace, uint32_t tasks)
{
	struct cq_workload *job = cq_workload_create();
	struct cq_batch *batch;

	g_snprintf(job->id, sizeof(job->id), "%016d", ++w->accepted);
	cq_text_set(&job->queue, queue);
	cq_text_set(&job->workspace, workspace);
	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = tasks;
	job->steps[0].accelerators = 1;
	batch = cq_batch_create(job);
	batch->accepted_ns = w->accepted * CQ_NS_PER_S;
	g_hash_table_insert(w->batches, job->id, batch);
	return cq_batch_stage_at(batch, 0);
}

static void assign_runs(struct fixture *w, struct cq_stage *stage)
{
	uint32_t i;

	for (i = 0; i < stage->step->tasks; i++)
		cq_task_assign(&stage->tasks[i], w->worker, 1);
}

static void check_rank(struct fixture *w, const struct cq_stage *stage,
		       uint32_t rank)
{
	cq_stage_ranks_update(&config, w->batches);
	g_assert_cmpuint(stage->rank, ==, rank);
}

/*
 * Guards against a burst that is ranked as guaranteed beyond the guarantee: the
 * first jobs are, none from the one that exceeds it on.
 */
static void test_burst(void)
{
	struct fixture w;
	struct cq_stage *first, *second, *third, *fourth, *calm;

	fixture_setup(&w);
	first = add_job(&w, "urgent", "burst", 10);
	second = add_job(&w, "urgent", "burst", 6);
	third = add_job(&w, "urgent", "burst", 4);
	fourth = add_job(&w, "urgent", "burst", 1);
	calm = add_job(&w, "urgent", "calm", CALM_GUARANTEED);
	check_rank(&w, first, CQ_RANK_GUARANTEED);
	check_rank(&w, second, CQ_RANK_GUARANTEED);
	check_rank(&w, third, CQ_RANK_URGENT);
	check_rank(&w, fourth, CQ_RANK_URGENT);
	check_rank(&w, calm, CQ_RANK_GUARANTEED);
	fixture_teardown(&w);
}

/*
 * Guards against waiting jobs of a workspace that preempt its own running ones.
 */
static void test_runs_keep_their_claim(void)
{
	struct fixture w;
	struct cq_stage *waiting, *running;

	fixture_setup(&w);
	waiting = add_job(&w, "urgent", "burst", 10);
	running = add_job(&w, "urgent", "burst", 10);
	assign_runs(&w, running);
	check_rank(&w, running, CQ_RANK_GUARANTEED);
	check_rank(&w, waiting, CQ_RANK_URGENT);
	fixture_teardown(&w);
}

/* Guards against counting ended tasks against the guarantee. */
static void test_ends_free_the_guarantee(void)
{
	struct fixture w;
	struct cq_stage *first, *second;
	uint32_t i;

	fixture_setup(&w);
	first = add_job(&w, "urgent", "burst", 10);
	second = add_job(&w, "urgent", "burst", 10);
	assign_runs(&w, first);
	check_rank(&w, second, CQ_RANK_URGENT);
	for (i = 0; i < 4; i++)
		cq_task_end(&first->tasks[i], CQ_RUN_DONE, NULL, 2);
	check_rank(&w, second, CQ_RANK_GUARANTEED);
	fixture_teardown(&w);
}

/* Guards against wrong ranks outside the guarantees. */
static void test_other_queues(void)
{
	struct fixture w;

	fixture_setup(&w);
	check_rank(&w, add_job(&w, "middle", "calm", 1), 2);
	check_rank(&w, add_job(&w, "bulk", "calm", 1), 3);
	/* Urgent work of a workspace without a guarantee is still urgent. */
	check_rank(&w, add_job(&w, "urgent", "unknown", 1), CQ_RANK_URGENT);
	/*
	 * The priority of an unknown queue is not known, so its work must not
	 * be preempted.
	 */
	check_rank(&w, add_job(&w, "unknown", "calm", 1), CQ_RANK_GUARANTEED);
	fixture_teardown(&w);
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
