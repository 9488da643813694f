/*
 * Consistency check of snapshots, and check whether a job can ever run.
 */
#include "state/planner_internal.h"

#define PERMILLE 1000
/*
 * Limits of the job sizes remembered as feasible, and of the job sizes checked
 * per plan.
 */
#define MAX_FEASIBLE_SIZES 65536
#define MAX_FEASIBILITY_CHECKS 64
/* These limits keep sums over a worker or a gang within 64 bits. */
#define MAX_MEMORY_BYTES (UINT64_C(1) << 50)
#define MAX_MILLICORES (UINT32_C(1) << 30)
#define MAX_TIME_NS (INT64_MAX / 8)

static bool set_out_of_range(struct cq_error *err, const char *what,
			     uint32_t index)
{
	return cq_error_set(err, CQ_ERROR_STATE, CQ_ERR_INVALID,
			    "snapshot: %s %u is out of range", what, index);
}

static bool check_policy(const struct cq_policy *policy)
{
	return policy && policy->completion_weight_permille <= PERMILLE &&
	       policy->max_quarantine_permille <= PERMILLE &&
	       policy->refill_ns >= 0 && policy->urgent_start_ns > 0 &&
	       policy->start_margin_ns >= 0 &&
	       policy->start_margin_ns < policy->urgent_start_ns &&
	       policy->checkpoint_grace_ns >= 0 && policy->min_run_ns >= 0 &&
	       policy->memory_high_permille <= policy->memory_critical_permille;
}

static bool check_fleet(const struct cq_snapshot *snapshot,
			struct cq_error *err)
{
	const struct cq_fleet_worker *worker;
	const struct cq_fleet_guarantee *guarantee;
	uint32_t i;

	for (i = 0; i < snapshot->worker_count; i++) {
		worker = &snapshot->workers[i];
		if (!worker->name || worker->dc >= snapshot->dc_count ||
		    worker->accelerators > CQ_FLEET_MAX_ACCELERATORS ||
		    worker->millicores > MAX_MILLICORES ||
		    worker->memory_bytes > MAX_MEMORY_BYTES)
			return set_out_of_range(err, "worker", i);
	}
	for (i = 0; i < snapshot->guarantee_count; i++) {
		guarantee = &snapshot->guarantees[i];
		if (guarantee->id == 0 || guarantee->accelerators == 0 ||
		    guarantee->workspace >= snapshot->workspace_count ||
		    guarantee->accelerators > (1U << 20) ||
		    guarantee->count > (1U << 20))
			return set_out_of_range(err, "guarantee", i);
	}
	return true;
}

static bool check_job(const struct cq_snapshot *snapshot,
		      const struct cq_fleet_job *job)
{
	return job->id && job->workspace < snapshot->workspace_count &&
	       job->class_index < snapshot->class_count && job->tasks > 0 &&
	       job->tasks <= CQ_FLEET_MAX_GANG &&
	       job->submitted_ns <= MAX_TIME_NS &&
	       job->declared_run_ns <= MAX_TIME_NS &&
	       job->done_ns <= MAX_TIME_NS && job->restart_cost_ns >= 0 &&
	       job->restart_cost_ns <= MAX_TIME_NS &&
	       job->checkpoint_cost_ns >= 0 &&
	       job->checkpoint_cost_ns <= MAX_TIME_NS &&
	       (job->stop_for == CQ_NONE ||
		job->stop_for < snapshot->job_count);
}

static bool check_task(const struct cq_snapshot *snapshot,
		       const struct cq_fleet_task *task)
{
	const struct cq_fleet_worker *worker;

	if (task->job >= snapshot->job_count ||
	    task->worker >= snapshot->worker_count ||
	    snapshot->jobs[task->job].state != CQ_JOB_RUNNING ||
	    task->rank >= snapshot->jobs[task->job].tasks)
		return false;
	worker = &snapshot->workers[task->worker];
	return worker->accelerators == CQ_FLEET_MAX_ACCELERATORS ||
	       task->accelerator_mask >> worker->accelerators == 0;
}

bool cq_snapshot_check(const struct cq_snapshot *snapshot, struct cq_error *err)
{
	uint32_t i;

	if (!check_policy(snapshot->policy))
		return set_out_of_range(err, "policy", 0);
	if (snapshot->now_ns < 0 || snapshot->now_ns > MAX_TIME_NS)
		return set_out_of_range(err, "time", 0);
	if (!check_fleet(snapshot, err))
		return false;
	for (i = 0; i < snapshot->job_count; i++)
		if (!check_job(snapshot, &snapshot->jobs[i]))
			return set_out_of_range(err, "job", i);
	for (i = 0; i < snapshot->task_count; i++)
		if (!check_task(snapshot, &snapshot->tasks[i]))
			return set_out_of_range(err, "task", i);
	return true;
}

static bool set_misfit(struct cq_misfit *misfit, enum cq_resource resource,
		       uint64_t requested, uint64_t largest)
{
	misfit->resource = resource;
	misfit->requested = requested;
	misfit->largest = largest;
	return false;
}

/* Identifies the worker, rack or data centre that the worker lies in. */
static uint64_t region_key(const struct cq_snapshot *snapshot, uint32_t worker,
			   enum cq_adjacency adjacency)
{
	const struct cq_fleet_worker *entry = &snapshot->workers[worker];

	switch (adjacency) {
	case CQ_ADJACENT_WORKER:
		return worker;
	case CQ_ADJACENT_RACK:
		return ((uint64_t)entry->dc << 32) | entry->rack;
	case CQ_ADJACENT_DC:
		break;
	}
	return entry->dc;
}

static uint64_t largest_gang(const struct cq_snapshot *snapshot,
			     const struct cq_fleet_job *job)
{
	GHashTable *counts = g_hash_table_new(NULL, NULL);
	uint64_t largest = 0;
	uint32_t i;

	for (i = 0; i < snapshot->worker_count; i++) {
		const struct cq_fleet_worker *worker = &snapshot->workers[i];
		struct cq_resources room = { worker->accelerators,
					     worker->millicores,
					     (int64_t)worker->memory_bytes };
		gpointer key = GSIZE_TO_POINTER(
			region_key(snapshot, i, job->adjacency) + 1);
		uint64_t count;

		if (job->dc != CQ_NONE && worker->dc != job->dc)
			continue;
		count = GPOINTER_TO_SIZE(g_hash_table_lookup(counts, key)) +
			cq_resources_count_tasks(room, job, CQ_FLEET_MAX_GANG);
		g_hash_table_insert(counts, key, GSIZE_TO_POINTER(count));
		largest = MAX(largest, count);
	}
	g_hash_table_destroy(counts);
	return MIN(largest, CQ_FLEET_MAX_GANG);
}

bool cq_planner_can_ever_run(const struct cq_snapshot *snapshot,
			     const struct cq_fleet_job *job,
			     struct cq_misfit *misfit)
{
	struct cq_misfit unused = { CQ_RESOURCE_NONE, 0, 0 };
	uint32_t accelerators = 0;
	uint32_t millicores = 0;
	uint64_t memory_bytes = 0;
	uint64_t gang;
	uint32_t i;

	misfit = misfit ? misfit : &unused;
	set_misfit(misfit, CQ_RESOURCE_NONE, 0, 0);
	if (job->dc != CQ_NONE && job->dc >= snapshot->dc_count)
		return set_misfit(misfit, CQ_RESOURCE_DC, job->dc,
				  snapshot->dc_count);
	if (job->tasks == 0 || job->tasks > CQ_FLEET_MAX_GANG)
		return set_misfit(misfit, CQ_RESOURCE_TASKS, job->tasks,
				  CQ_FLEET_MAX_GANG);
	/*
	 * The limit of each resource is the maximum over the workers that
	 * satisfy all resources checked before it.
	 */
	for (i = 0; i < snapshot->worker_count; i++)
		if (job->dc == CQ_NONE || snapshot->workers[i].dc == job->dc)
			accelerators = MAX(accelerators,
					   snapshot->workers[i].accelerators);
	if (job->accelerators > accelerators)
		return set_misfit(misfit, CQ_RESOURCE_ACCELERATORS,
				  job->accelerators, accelerators);
	for (i = 0; i < snapshot->worker_count; i++)
		if ((job->dc == CQ_NONE ||
		     snapshot->workers[i].dc == job->dc) &&
		    snapshot->workers[i].accelerators >= job->accelerators)
			millicores = MAX(millicores,
					 snapshot->workers[i].millicores);
	if (job->millicores > millicores)
		return set_misfit(misfit, CQ_RESOURCE_MILLICORES,
				  job->millicores, millicores);
	for (i = 0; i < snapshot->worker_count; i++)
		if ((job->dc == CQ_NONE ||
		     snapshot->workers[i].dc == job->dc) &&
		    snapshot->workers[i].accelerators >= job->accelerators &&
		    snapshot->workers[i].millicores >= job->millicores)
			memory_bytes = MAX(memory_bytes,
					   snapshot->workers[i].memory_bytes);
	if (job->memory_bytes > memory_bytes)
		return set_misfit(misfit, CQ_RESOURCE_MEMORY_BYTES,
				  job->memory_bytes, memory_bytes);
	gang = largest_gang(snapshot, job);
	if (gang < job->tasks)
		return set_misfit(misfit, CQ_RESOURCE_TASKS, job->tasks, gang);
	return true;
}

static uint64_t hash_mix(uint64_t hash, uint64_t value)
{
	/* Uses the finalizer of splitmix64. */
	hash ^= value + UINT64_C(0x9e3779b97f4a7c15) + (hash << 6);
	hash = (hash ^ (hash >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	hash = (hash ^ (hash >> 27)) * UINT64_C(0x94d049bb133111eb);
	return hash ^ (hash >> 31);
}

static uint64_t hash_fleet(const struct cq_snapshot *snapshot)
{
	uint64_t hash = hash_mix(snapshot->dc_count, snapshot->worker_count);
	uint32_t i;

	for (i = 0; i < snapshot->worker_count; i++) {
		const struct cq_fleet_worker *worker = &snapshot->workers[i];

		hash = hash_mix(hash,
				((uint64_t)worker->dc << 32) | worker->rack);
		hash = hash_mix(hash, ((uint64_t)worker->accelerators << 32) |
					      worker->millicores);
		hash = hash_mix(hash, worker->memory_bytes);
	}
	return hash;
}

bool cq_check_feasible(struct cq_plan_context *ctx, uint32_t job,
		       struct cq_misfit *misfit)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_planner *planner = ctx->planner;
	uint64_t hash = hash_mix(entry->dc, entry->tasks);

	if (!ctx->fleet_hash) {
		ctx->fleet_hash = hash_fleet(ctx->snapshot);
		if (planner->fleet_hash != ctx->fleet_hash ||
		    g_hash_table_size(planner->feasible_sizes) >
			    MAX_FEASIBLE_SIZES)
			g_hash_table_remove_all(planner->feasible_sizes);
		planner->fleet_hash = ctx->fleet_hash;
	}
	hash = hash_mix(hash, ((uint64_t)entry->adjacency << 32) |
				      entry->accelerators);
	hash = hash_mix(hash, entry->millicores);
	hash = hash_mix(hash, entry->memory_bytes);
	/* Sizes above the limit per plan are checked in a later plan. */
	if (g_hash_table_contains(planner->feasible_sizes, &hash) ||
	    ctx->feasibility_checks++ >= MAX_FEASIBILITY_CHECKS)
		return true;
	if (!cq_planner_can_ever_run(ctx->snapshot, entry, misfit))
		return false;
	g_hash_table_add(planner->feasible_sizes,
			 g_memdup2(&hash, sizeof(hash)));
	return true;
}
