#include "fleet_builder.h"

#include "chestnutquay/clock.h"

#define MILLICORES_PER_CORE 1000
#define GIB (UINT64_C(1) << 30)

struct fleet_builder *fleet_builder_create(uint32_t dcs, uint32_t workers,
					   uint32_t rack_size,
					   uint32_t accelerators,
					   uint32_t millicores,
					   uint64_t memory_bytes)
{
	struct fleet_builder *fleet = g_new0(struct fleet_builder, 1);
	uint32_t i;

	cq_policy_init(&fleet->policy);
	fleet->names = g_string_chunk_new(1024);
	fleet->dcs = g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_dc));
	fleet->workers =
		g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_worker));
	fleet->classes =
		g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_class));
	fleet->workspaces =
		g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_workspace));
	fleet->guarantees =
		g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_guarantee));
	fleet->jobs = g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_job));
	fleet->tasks = g_array_new(FALSE, TRUE, sizeof(struct cq_fleet_task));
	for (i = 0; i < dcs; i++) {
		struct cq_fleet_dc dc = { .in_since_ns = CQ_FLEET_UNKNOWN_NS };
		char name[32];

		g_snprintf(name, sizeof(name), "dc%u", i);
		dc.name = g_string_chunk_insert(fleet->names, name);
		g_array_append_val(fleet->dcs, dc);
	}
	for (i = 0; i < workers; i++) {
		struct cq_fleet_worker worker = {
			.dc = (uint32_t)((uint64_t)i * dcs / workers),
			.rack = i / rack_size,
			.accelerators = accelerators,
			.millicores = millicores,
			.memory_bytes = memory_bytes,
		};
		char name[32];

		g_snprintf(name, sizeof(name), "w%u", i);
		worker.name = g_string_chunk_insert(fleet->names, name);
		g_array_append_val(fleet->workers, worker);
	}
	return fleet;
}

void fleet_builder_destroy(struct fleet_builder *fleet)
{
	g_array_free(fleet->dcs, TRUE);
	g_array_free(fleet->workers, TRUE);
	g_array_free(fleet->classes, TRUE);
	g_array_free(fleet->workspaces, TRUE);
	g_array_free(fleet->guarantees, TRUE);
	g_array_free(fleet->jobs, TRUE);
	g_array_free(fleet->tasks, TRUE);
	g_string_chunk_free(fleet->names);
	g_free(fleet);
}

uint32_t fleet_add_class(struct fleet_builder *fleet, const char *name,
			 bool urgent)
{
	struct cq_fleet_class entry = { name, fleet->classes->len, urgent };

	g_array_append_val(fleet->classes, entry);
	return fleet->classes->len - 1;
}

uint32_t fleet_add_workspace(struct fleet_builder *fleet, const char *name)
{
	struct cq_fleet_workspace entry = { name };

	g_array_append_val(fleet->workspaces, entry);
	return fleet->workspaces->len - 1;
}

void fleet_add_guarantee(struct fleet_builder *fleet, uint32_t workspace,
			 uint32_t count, uint32_t accelerators,
			 enum cq_adjacency adjacency)
{
	struct cq_fleet_guarantee entry = { fleet->guarantees->len + 1,
					    workspace, count, accelerators,
					    adjacency };

	g_array_append_val(fleet->guarantees, entry);
}

uint32_t fleet_add_job(struct fleet_builder *fleet, uint32_t workspace,
		       uint32_t class_index, uint32_t tasks,
		       uint32_t accelerators)
{
	struct cq_fleet_job job = {
		.workspace = workspace,
		.class_index = class_index,
		.dc = CQ_FLEET_NONE,
		.tasks = tasks,
		.adjacency = CQ_ADJACENT_DC,
		.accelerators = accelerators,
		.millicores = accelerators * MILLICORES_PER_CORE,
		.memory_bytes = accelerators * GIB,
		.submitted_ns = fleet->now_ns,
		.declared_run_ns = 600 * CQ_NS_PER_S,
		.last_checkpoint_ns = CQ_FLEET_UNKNOWN_NS,
		.stop_for = CQ_FLEET_NONE,
	};
	char name[32];

	g_snprintf(name, sizeof(name), "j%u", fleet->jobs->len);
	job.id = g_string_chunk_insert(fleet->names, name);
	g_array_append_val(fleet->jobs, job);
	return fleet->jobs->len - 1;
}

struct cq_fleet_job *fleet_job(struct fleet_builder *fleet, uint32_t job)
{
	return &g_array_index(fleet->jobs, struct cq_fleet_job, job);
}

struct cq_fleet_worker *fleet_worker(struct fleet_builder *fleet,
				     uint32_t worker)
{
	return &g_array_index(fleet->workers, struct cq_fleet_worker, worker);
}

uint32_t fleet_run_task(struct fleet_builder *fleet, uint32_t job,
			uint32_t worker, uint64_t mask, uint64_t cell)
{
	struct cq_fleet_task task = {
		.job = job,
		.worker = worker,
		.accelerator_mask = mask,
		.cell = cell,
		.throttle_percent = 100,
	};
	struct cq_fleet_job *entry = fleet_job(fleet, job);
	uint32_t i;

	for (i = 0; i < fleet->tasks->len; i++)
		task.rank +=
			g_array_index(fleet->tasks, struct cq_fleet_task, i)
				.job == job;
	if (entry->state == CQ_JOB_WAITING)
		entry->started_ns = fleet->now_ns;
	entry->state = CQ_JOB_RUNNING;
	g_array_append_val(fleet->tasks, task);
	return fleet->tasks->len - 1;
}

static void stop_job(struct fleet_builder *fleet, uint32_t job)
{
	struct cq_fleet_job *entry = fleet_job(fleet, job);
	uint32_t i;

	entry->state = CQ_JOB_WAITING;
	entry->stop_requested_ns = 0;
	entry->stop_for = CQ_FLEET_NONE;
	for (i = fleet->tasks->len; i-- > 0;)
		if (g_array_index(fleet->tasks, struct cq_fleet_task, i).job ==
		    job)
			g_array_remove_index(fleet->tasks, i);
}

void fleet_apply(struct fleet_builder *fleet, const struct cq_plan *plan)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < plan->action_count; i++) {
		const struct cq_action *action = &plan->actions[i];

		if (action->kind == CQ_ACTION_STOP)
			stop_job(fleet, action->job);
		if (action->kind == CQ_ACTION_CHECKPOINT) {
			struct cq_fleet_job *job =
				fleet_job(fleet, action->job);

			job->stop_requested_ns = fleet->now_ns;
			job->stop_deadline_ns = action->deadline_ns;
			job->stop_reason = action->reason;
			job->stop_for = action->for_job;
		}
		if (action->kind == CQ_ACTION_START)
			for (k = 0; k < action->placement_count; k++)
				fleet_run_task(
					fleet, action->job,
					action->placements[k].worker,
					action->placements[k].accelerator_mask,
					action->placements[k].cell);
	}
}

struct cq_snapshot fleet_snapshot(const struct fleet_builder *fleet)
{
	struct cq_snapshot snapshot = {
		.now_ns = fleet->now_ns,
		.policy = &fleet->policy,
		.dcs = (const void *)fleet->dcs->data,
		.dc_count = fleet->dcs->len,
		.workers = (const void *)fleet->workers->data,
		.worker_count = fleet->workers->len,
		.classes = (const void *)fleet->classes->data,
		.class_count = fleet->classes->len,
		.workspaces = (const void *)fleet->workspaces->data,
		.workspace_count = fleet->workspaces->len,
		.guarantees = (const void *)fleet->guarantees->data,
		.guarantee_count = fleet->guarantees->len,
		.jobs = (const void *)fleet->jobs->data,
		.job_count = fleet->jobs->len,
		.tasks = (const void *)fleet->tasks->data,
		.task_count = fleet->tasks->len,
	};

	return snapshot;
}
