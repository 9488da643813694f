#include "decisions_baselines.h"

#include <glib.h>
#include <stdlib.h>

/* Free resources of a worker. */
struct free_resources {
	uint64_t mask; /* free accelerators */
	int64_t millicores;
	int64_t memory_bytes;
};

#define MAX_FAILED 32

struct baseline {
	/* Jobs that did not fit; jobs at least as large are not tried again. */
	const struct cq_fleet_job *failed[MAX_FAILED];
	uint32_t failed_count;
	const struct cq_snapshot *snapshot;
	struct free_resources *free;
	int64_t *quota_left; /* accelerators by workspace; NULL: no quota */
	bool best_fit;
	GArray *actions;
};

static void add_action(struct baseline *baseline, enum cq_action_kind kind,
		       enum cq_reason reason, uint32_t job,
		       struct cq_placement *placements, uint32_t count)
{
	struct cq_action action = {
		.kind = kind,
		.reason = reason,
		.job = job,
		.task = CQ_FLEET_NONE,
		.worker = CQ_FLEET_NONE,
		.for_job = CQ_FLEET_NONE,
		.placements = placements,
		.placement_count = count,
	};

	g_array_append_val(baseline->actions, action);
}

static bool is_usable(const struct cq_snapshot *snapshot, uint32_t worker)
{
	const struct cq_fleet_worker *entry = &snapshot->workers[worker];

	return entry->state == CQ_WORKER_UP &&
	       snapshot->dcs[entry->dc].state == CQ_DC_IN;
}

static void init_free_resources(struct baseline *baseline)
{
	const struct cq_snapshot *snapshot = baseline->snapshot;
	uint32_t i;

	baseline->free =
		g_new0(struct free_resources, snapshot->worker_count + 1);
	for (i = 0; i < snapshot->worker_count; i++)
		if (is_usable(snapshot, i)) {
			baseline->free[i].mask =
				(UINT64_C(1)
				 << snapshot->workers[i].accelerators) -
				1;
			baseline->free[i].millicores =
				snapshot->workers[i].millicores;
			baseline->free[i].memory_bytes =
				(int64_t)snapshot->workers[i].memory_bytes;
		}
	for (i = 0; i < snapshot->task_count; i++) {
		const struct cq_fleet_task *task = &snapshot->tasks[i];
		struct free_resources *free = &baseline->free[task->worker];

		free->mask &= ~task->accelerator_mask;
		free->millicores -= snapshot->jobs[task->job].millicores;
		free->memory_bytes -=
			(int64_t)snapshot->jobs[task->job].memory_bytes;
		if (baseline->quota_left)
			baseline->quota_left[snapshot->jobs[task->job]
						     .workspace] -=
				snapshot->jobs[task->job].accelerators;
	}
}

static bool fits(const struct free_resources *free,
		 const struct cq_fleet_job *job)
{
	return __builtin_popcountll(free->mask) >= (int)job->accelerators &&
	       free->millicores >= job->millicores &&
	       free->memory_bytes >= (int64_t)job->memory_bytes;
}

static void allocate(struct free_resources *free,
		     const struct cq_fleet_job *job,
		     struct cq_placement *placement, uint32_t worker)
{
	uint32_t i;

	placement->worker = worker;
	placement->accelerator_mask = 0;
	for (i = 0; i < job->accelerators; i++) {
		uint64_t bit = free->mask & -free->mask;

		placement->accelerator_mask |= bit;
		free->mask &= ~bit;
	}
	free->millicores -= job->millicores;
	free->memory_bytes -= (int64_t)job->memory_bytes;
}

static bool same_region(const struct cq_snapshot *snapshot, uint32_t a,
			uint32_t b, enum cq_adjacency adjacency)
{
	if (adjacency == CQ_ADJACENT_WORKER)
		return a == b;
	if (snapshot->workers[a].dc != snapshot->workers[b].dc)
		return false;
	return adjacency == CQ_ADJACENT_DC ||
	       snapshot->workers[a].rack == snapshot->workers[b].rack;
}

/*
 * Places a gang in the worker, rack or data centre of anchor, as its adjacency
 * requires. Restores the free resources on failure.
 */
static bool place_in_region(struct baseline *baseline,
			    const struct cq_fleet_job *job, uint32_t anchor,
			    struct cq_placement *placements)
{
	const struct cq_snapshot *snapshot = baseline->snapshot;
	struct free_resources *saved = g_memdup2(
		baseline->free, snapshot->worker_count * sizeof(*saved));
	uint32_t rank;
	uint32_t i;

	for (rank = 0; rank < job->tasks; rank++) {
		uint32_t best = CQ_FLEET_NONE;

		for (i = 0; i < snapshot->worker_count; i++) {
			if ((job->tasks > 1 && !same_region(snapshot, anchor, i,
							    job->adjacency)) ||
			    !fits(&baseline->free[i], job))
				continue;
			if (best != CQ_FLEET_NONE &&
			    __builtin_popcountll(baseline->free[i].mask) >=
				    __builtin_popcountll(
					    baseline->free[best].mask))
				continue;
			best = i;
			if (!baseline->best_fit)
				break;
		}
		if (best == CQ_FLEET_NONE)
			break;
		allocate(&baseline->free[best], job, &placements[rank], best);
	}
	if (rank < job->tasks) {
		g_free(baseline->free);
		baseline->free = saved;
		return false;
	}
	g_free(saved);
	return true;
}

static bool is_first_of_region(const struct cq_snapshot *snapshot,
			       uint32_t worker, enum cq_adjacency adjacency)
{
	return worker == 0 ||
	       !same_region(snapshot, worker - 1, worker, adjacency);
}

static bool place_job(struct baseline *baseline, uint32_t index)
{
	const struct cq_snapshot *snapshot = baseline->snapshot;
	const struct cq_fleet_job *job = &snapshot->jobs[index];
	struct cq_placement *placements =
		g_new0(struct cq_placement, job->tasks);
	uint32_t i;

	for (i = 0; i < snapshot->worker_count; i++)
		/* A single task may run anywhere, so one attempt covers all. */
		if ((job->tasks == 1 ? i == 0
				     : is_first_of_region(snapshot, i,
							  job->adjacency)) &&
		    place_in_region(baseline, job, i, placements)) {
			add_action(baseline, CQ_ACTION_START,
				   CQ_REASON_BORROWED, index, placements,
				   job->tasks);
			return true;
		}
	g_free(placements);
	return false;
}

static bool larger_than_failed(const struct baseline *baseline,
			       const struct cq_fleet_job *job)
{
	uint32_t i;

	for (i = 0; i < baseline->failed_count; i++) {
		const struct cq_fleet_job *other = baseline->failed[i];

		if (job->tasks >= other->tasks &&
		    job->adjacency <= other->adjacency &&
		    job->accelerators >= other->accelerators &&
		    job->millicores >= other->millicores &&
		    job->memory_bytes >= other->memory_bytes)
			return true;
	}
	return false;
}

static int compare_by_arrival(const void *a, const void *b, void *data)
{
	const struct cq_snapshot *snapshot = data;
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;
	int64_t l = snapshot->jobs[left].submitted_ns;
	int64_t r = snapshot->jobs[right].submitted_ns;

	if (l != r)
		return l < r ? -1 : 1;
	return left < right ? -1 : left > right;
}

static int compare_by_class(const void *a, const void *b, void *data)
{
	const struct cq_snapshot *snapshot = data;
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;
	uint32_t l = snapshot->classes[snapshot->jobs[left].class_index].rank;
	uint32_t r = snapshot->classes[snapshot->jobs[right].class_index].rank;

	if (l != r)
		return l < r ? -1 : 1;
	return compare_by_arrival(a, b, data);
}

/* Stops every gang that has lost a member, as the planner does. */
static void stop_broken_gangs(struct baseline *baseline)
{
	const struct cq_snapshot *snapshot = baseline->snapshot;
	uint32_t previous = CQ_FLEET_NONE;
	uint32_t i;

	for (i = 0; i < snapshot->task_count; i++)
		if (snapshot->workers[snapshot->tasks[i].worker].state ==
			    CQ_WORKER_LOST &&
		    snapshot->tasks[i].job != previous) {
			previous = snapshot->tasks[i].job;
			add_action(baseline, CQ_ACTION_STOP,
				   CQ_REASON_GANG_MEMBER_LOST, previous, NULL,
				   0);
		}
}

static struct cq_plan *schedule(struct baseline *baseline,
				int (*compare)(const void *, const void *,
					       void *))
{
	const struct cq_snapshot *snapshot = baseline->snapshot;
	uint32_t *order = g_new(uint32_t, snapshot->job_count + 1);
	struct cq_plan *plan = g_new0(struct cq_plan, 1);
	uint32_t count = 0;
	uint32_t i;

	baseline->actions = g_array_new(FALSE, TRUE, sizeof(struct cq_action));
	init_free_resources(baseline);
	stop_broken_gangs(baseline);
	for (i = 0; i < snapshot->job_count; i++)
		if (snapshot->jobs[i].state == CQ_JOB_WAITING)
			order[count++] = i;
	qsort_r(order, count, sizeof(*order), compare, (void *)snapshot);
	for (i = 0; i < count; i++) {
		const struct cq_fleet_job *job = &snapshot->jobs[order[i]];
		int64_t need = (int64_t)job->accelerators * job->tasks;

		if (baseline->quota_left &&
		    baseline->quota_left[job->workspace] < need)
			continue;
		if (larger_than_failed(baseline, job))
			continue;
		if (!place_job(baseline, order[i])) {
			if (baseline->failed_count < MAX_FAILED)
				baseline->failed[baseline->failed_count++] =
					job;
		} else if (baseline->quota_left) {
			baseline->quota_left[job->workspace] -= need;
		}
	}
	plan->action_count = baseline->actions->len;
	plan->actions = (struct cq_action *)(void *)g_array_free(
		baseline->actions, FALSE);
	g_free(baseline->free);
	g_free(baseline->quota_left);
	g_free(order);
	return plan;
}

struct cq_plan *baseline_fifo(void *ctx, const struct cq_snapshot *snapshot)
{
	struct baseline baseline = { .snapshot = snapshot };

	(void)ctx;
	return schedule(&baseline, compare_by_arrival);
}

struct cq_plan *baseline_quota(void *ctx, const struct cq_snapshot *snapshot)
{
	struct baseline baseline = { .snapshot = snapshot, .best_fit = true };
	int64_t guaranteed = 0;
	int64_t capacity = 0;
	uint32_t i;

	(void)ctx;
	for (i = 0; i < snapshot->worker_count; i++)
		if (is_usable(snapshot, i))
			capacity += snapshot->workers[i].accelerators;
	baseline.quota_left = g_new0(int64_t, snapshot->workspace_count + 1);
	for (i = 0; i < snapshot->guarantee_count; i++)
		guaranteed += (int64_t)snapshot->guarantees[i].count *
			      snapshot->guarantees[i].accelerators;
	for (i = 0; i < snapshot->guarantee_count && guaranteed; i++)
		baseline.quota_left[snapshot->guarantees[i].workspace] +=
			(int64_t)snapshot->guarantees[i].count *
			snapshot->guarantees[i].accelerators * capacity /
			guaranteed;
	return schedule(&baseline, compare_by_class);
}
