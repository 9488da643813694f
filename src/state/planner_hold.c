/*
 * Capacity held from plan to plan for jobs that wait for a reclaim.
 *
 * The jobs stopped by a reclaim end at different times. Without a hold, jobs
 * ahead in the queue would start on the capacity freed first, and the reclaim
 * would never complete.
 */
#include "state/planner_internal.h"

#include <string.h>

struct hold_part {
	char *worker;
	uint32_t index; /* index in the last snapshot */
	uint32_t tasks;
};

struct cq_hold {
	struct cq_resources task; /* resources of one task */
	uint32_t count;
	struct hold_part parts[];
};

static void free_hold(gpointer data)
{
	struct cq_hold *hold = data;
	uint32_t i;

	for (i = 0; i < hold->count; i++)
		g_free(hold->parts[i].worker);
	g_free(hold);
}

GHashTable *cq_holds_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_hold);
}

/*
 * A hold is dropped if the index of one of its workers changed or the worker is
 * no longer usable.
 */
static bool is_valid(const struct cq_plan_context *ctx,
		     const struct cq_hold *hold)
{
	uint32_t i;

	for (i = 0; i < hold->count; i++) {
		const struct hold_part *part = &hold->parts[i];

		if (part->index >= ctx->snapshot->worker_count ||
		    !ctx->workers[part->index].usable ||
		    strcmp(ctx->snapshot->workers[part->index].name,
			   part->worker) != 0)
			return false;
	}
	return true;
}

static struct cq_resources part_need(const struct cq_hold *hold, uint32_t part)
{
	struct cq_resources need = hold->task;

	need.accelerators *= hold->parts[part].tasks;
	need.millicores *= hold->parts[part].tasks;
	need.memory_bytes *= hold->parts[part].tasks;
	return need;
}

void cq_holds_apply(struct cq_plan_context *ctx)
{
	GHashTable *holds = ctx->planner->holds;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < ctx->snapshot->job_count; i++) {
		const struct cq_fleet_job *job = &ctx->snapshot->jobs[i];
		const struct cq_hold *hold;

		if (g_hash_table_size(holds) == 0)
			return;
		if (job->state != CQ_JOB_WAITING)
			continue;
		hold = g_hash_table_lookup(holds, job->id);
		if (!hold || !is_valid(ctx, hold))
			continue;
		ctx->jobs[i].hold = hold;
		for (k = 0; k < hold->count; k++)
			cq_resources_add(
				&ctx->workers[hold->parts[k].index].held,
				part_need(hold, k));
	}
}

bool cq_holds_release(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_hold *hold = ctx->jobs[job].hold;
	uint32_t k;

	if (!hold)
		return false;
	ctx->jobs[job].hold = NULL;
	for (k = 0; k < hold->count; k++)
		cq_resources_subtract(&ctx->workers[hold->parts[k].index].held,
				      part_need(hold, k));
	return true;
}

void cq_holds_add(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_hold *hold = g_malloc0(
		sizeof(*hold) + ctx->chosen_count * sizeof(hold->parts[0]));
	uint32_t i;

	hold->task = cq_job_demand(entry, 1);
	hold->count = ctx->chosen_count;
	for (i = 0; i < hold->count; i++) {
		uint32_t worker = ctx->chosen[i].worker;

		hold->parts[i].worker =
			g_strdup(ctx->snapshot->workers[worker].name);
		hold->parts[i].index = worker;
		hold->parts[i].tasks = ctx->chosen[i].tasks;
		cq_resources_add(&ctx->workers[worker].held,
				 cq_job_demand(entry, ctx->chosen[i].tasks));
	}
	g_hash_table_insert(ctx->holds, g_strdup(entry->id), hold);
}

void cq_holds_save(struct cq_plan_context *ctx)
{
	g_hash_table_destroy(ctx->planner->holds);
	ctx->planner->holds = ctx->holds;
	ctx->holds = NULL;
}
