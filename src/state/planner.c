#include "state/planner_internal.h"

/*
 * An urgent job must start within DEFAULT_URGENT_START_NS of its submission.
 * Checkpoints of the jobs stopped for it end DEFAULT_START_MARGIN_NS before
 * that, which leaves time for the start itself.
 */
#define DEFAULT_URGENT_START_NS (3500 * CQ_NS_PER_MS)
#define DEFAULT_START_MARGIN_NS (1500 * CQ_NS_PER_MS)

void cq_policy_init(struct cq_policy *policy)
{
	*policy = (struct cq_policy){
		.completion_weight_permille = 1000,
		.max_starts_per_plan = 256,
		.max_refill_starts_per_plan = 16,
		.refill_ns = 60 * CQ_NS_PER_S,
		.max_reservations = 1,
		.urgent_start_ns = DEFAULT_URGENT_START_NS,
		.start_margin_ns = DEFAULT_START_MARGIN_NS,
		.checkpoint_grace_ns = 30 * CQ_NS_PER_S,
		.move_gain_permille = 2000,
		.min_run_ns = 60 * CQ_NS_PER_S,
		.max_evictions = 3,
		.memory_high_permille = 950,
		.memory_critical_permille = 980,
		.cpu_high_permille = 950,
		.job_failure_workers = 3,
		.worker_failure_jobs = 3,
		.max_quarantine_permille = 100,
		.probe_interval_ns = 60 * CQ_NS_PER_S,
	};
}

struct cq_planner *cq_planner_create(void)
{
	struct cq_planner *planner = g_new0(struct cq_planner, 1);

	planner->history = cq_history_create();
	planner->health = cq_health_create();
	planner->saved_cells = cq_saved_cells_create();
	planner->holds = cq_holds_create();
	planner->feasible_sizes = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	return planner;
}

void cq_planner_destroy(struct cq_planner *planner)
{
	if (!planner)
		return;
	cq_history_destroy(planner->history);
	cq_health_destroy(planner->health);
	cq_saved_cells_destroy(planner->saved_cells);
	g_hash_table_destroy(planner->holds);
	g_hash_table_destroy(planner->feasible_sizes);
	g_free(planner);
}

static void export_cells(const struct cq_plan_context *ctx,
			 struct cq_plan *plan)
{
	uint32_t c;
	uint32_t i;

	plan->cells = g_new0(struct cq_cell_part, ctx->parts->len + 1);
	for (c = 0; c < ctx->cell_count; c++)
		for (i = 0; i < ctx->cells[c].part_count; i++) {
			const struct cq_part *part =
				cq_part_at(ctx, ctx->cells[c].first_part + i);
			struct cq_cell_part *out =
				&plan->cells[plan->cell_count++];

			out->cell = part->label;
			out->guarantee = ctx->cells[c].guarantee;
			out->worker = part->worker;
			out->accelerators = (uint32_t)part->total.accelerators;
			out->used = (uint32_t)part->used.accelerators;
		}
}

static struct cq_plan *export_plan(struct cq_plan_context *ctx)
{
	struct cq_plan *plan = g_new0(struct cq_plan, 1);
	uint32_t i;

	plan->action_count = ctx->actions->len;
	plan->wait_count = ctx->waits->len;
	plan->shortfall_count = ctx->shortfalls->len;
	plan->actions =
		(struct cq_action *)(void *)g_array_free(ctx->actions, FALSE);
	plan->waits = (struct cq_wait *)(void *)g_array_free(ctx->waits, FALSE);
	plan->shortfalls = (struct cq_shortfall *)(void *)g_array_free(
		ctx->shortfalls, FALSE);
	ctx->actions = NULL;
	ctx->waits = NULL;
	ctx->shortfalls = NULL;
	plan->tier_count = ctx->snapshot->job_count;
	plan->tiers = g_malloc0_n(plan->tier_count + 1, sizeof(*plan->tiers));
	for (i = 0; i < plan->tier_count; i++)
		plan->tiers[i] = ctx->jobs[i].tier;
	export_cells(ctx, plan);
	return plan;
}

struct cq_plan *cq_planner_plan(struct cq_planner *planner,
				const struct cq_snapshot *snapshot,
				struct cq_error *err)
{
	struct cq_plan_context ctx = { .planner = planner,
				       .snapshot = snapshot };
	struct cq_plan *plan;

	if (!cq_snapshot_check(snapshot, err))
		return NULL;
	cq_plan_context_init(&ctx);
	cq_plan_quarantine(&ctx);
	cq_plan_running_jobs(&ctx);
	cq_plan_cells(&ctx);
	cq_plan_tiers(&ctx);
	cq_plan_headroom(&ctx);
	cq_plan_list_free_workers(&ctx);
	cq_holds_apply(&ctx);
	cq_plan_queue(&ctx);
	cq_plan_estimate(&ctx);
	cq_cells_save(&ctx);
	cq_holds_save(&ctx);
	plan = export_plan(&ctx);
	cq_plan_context_clear(&ctx);
	return plan;
}

void cq_plan_destroy(struct cq_plan *plan)
{
	uint32_t i;

	if (!plan)
		return;
	for (i = 0; i < plan->action_count; i++)
		g_free((gpointer)plan->actions[i].placements);
	g_free(plan->actions);
	g_free(plan->waits);
	g_free(plan->shortfalls);
	g_free(plan->cells);
	g_free(plan->tiers);
	g_free(plan);
}

void cq_planner_observe_end(struct cq_planner *planner, const char *workspace,
			    const char *class_name, int64_t declared_run_ns,
			    int64_t run_ns)
{
	cq_history_add(planner->history, workspace, class_name, declared_run_ns,
		       run_ns);
}

void cq_planner_observe_failure(struct cq_planner *planner, const char *job,
				const char *worker)
{
	cq_health_record_failure(planner->health, job, worker);
}

void cq_planner_observe_success(struct cq_planner *planner, const char *job,
				const char *worker)
{
	cq_health_record_success(planner->health, job, worker);
}

void cq_planner_observe_probe(struct cq_planner *planner, const char *worker,
			      bool ok, int64_t now_ns)
{
	cq_health_record_probe(planner->health, worker, ok, now_ns);
}

void cq_planner_forget_job(struct cq_planner *planner, const char *job)
{
	cq_health_forget_job(planner->health, job);
}

void cq_planner_forget_worker(struct cq_planner *planner, const char *worker)
{
	cq_health_forget_worker(planner->health, worker);
}

int64_t cq_planner_predict_run_ns(const struct cq_planner *planner,
				  const struct cq_snapshot *snapshot,
				  const struct cq_fleet_job *job)
{
	const struct cq_history_entry *entry = cq_history_find(
		planner->history, snapshot->workspaces[job->workspace].name,
		snapshot->classes[job->class_index].name);

	return cq_history_remaining_ns(
		cq_history_predict_ns(entry, job->declared_run_ns),
		MAX(job->done_ns, 0));
}

bool cq_planner_is_quarantined(const struct cq_planner *planner,
			       const char *worker)
{
	return cq_health_is_quarantined(planner->health, worker);
}
