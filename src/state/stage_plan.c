#include "chestnutquay/stage_plan.h"

#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/stage_rank.h"

/*
 * Work that may be lost for an urgent stage, in core-seconds per core: little
 * at first, since room often comes free by itself before the job is late, and
 * more for each second that the stage has waited.
 */
#define URGENT_MAX_LOSS_S 1.5
#define URGENT_MAX_LOSS_PER_WAITED_S 3.0
/* After this wait a guaranteed stage preempts runs at any cost. */
#define GUARANTEE_MAX_WAIT_NS (INT64_C(2) * CQ_NS_PER_S)
/* A gang that is not urgent waits this long before it preempts runs. */
#define GANG_PREEMPTION_DELAY_NS (INT64_C(500) * CQ_NS_PER_MS)
#define GANG_MAX_LOSS_S 0.2
#define NO_PREEMPTION (-1.0)
/* A stage for which workers are reserved starts within this time, or ... */
#define MAX_RESERVATION_NS (INT64_C(30) * CQ_NS_PER_S)
/* ... has none reserved for so long. */
#define RESERVATION_PAUSE_NS (INT64_C(30) * CQ_NS_PER_S)
/* Part of the runs in CQ_RUN_RECORDING that is kept for jobs without runs */
#define RECORDING_KEPT_DIVISOR 2
/* Part of them that one job may have, but for a gang */
#define RECORDING_JOB_DIVISOR 4

/* A step of which no further task fits on the workers of the service */
struct full_shape {
	const char *service;
	const struct cq_workload_step *step;
};

/* Room of one service in the course of a plan */
struct service_totals {
	const char *service;
	struct cq_pool_totals totals;
};

/* State of one plan */
struct plan_run {
	const struct cq_stage_plan *plan;
	const struct cq_stage_plan_ops *ops;
	void *ctx;
	GArray *totals;	     /* struct service_totals, of those met so far */
	GArray *assignments; /* struct cq_assignment, of the current stage */
	GArray *full;	     /* struct full_shape */
	uint64_t work;
	uint32_t recording; /* runs that wait for their record */
	bool held_back;	    /* a stage had more tasks than its quota */
};

static bool is_due(const struct cq_stage *stage, int64_t unix_ms);
static gint compare_ready_stages(gconstpointer a, gconstpointer b,
				 gpointer plan);
static double default_max_loss_s(const struct cq_ready_stage *r,
				 int64_t now_ns);
static void preempt_for_stage(struct plan_run *run,
			      const struct cq_placement *p,
			      const struct cq_ready_stage *r);
static struct cq_pool_totals *totals_of(struct plan_run *run,
					const char *service);
static bool is_known_full(const GArray *full, const struct cq_placement *p);
static uint32_t start_quota(const struct plan_run *run,
			    const struct cq_stage *stage);
static void place_stage(struct plan_run *run, const struct cq_placement *p,
			const struct cq_ready_stage *r);
static void plan_stage(struct plan_run *run, const struct cq_ready_stage *r);

const struct cq_stage_policy cq_stage_policy_default = {
	.name = "product",
	.compare = cq_ready_stage_compare,
	.may_start = cq_ready_stage_leaves_headroom,
	.max_loss_s = default_max_loss_s,
};

/* True if the scheduled time of the occurrence has come. */
static bool is_due(const struct cq_stage *stage, int64_t unix_ms)
{
	return unix_ms >=
	       cq_workload_due_ms(stage->batch->workload, stage->occurrence);
}

/*
 * True if the limit of the batch lets the stage, if a gang all of it, start.
 * The room of the record is an estimate on the safe side: a gang that has the
 * record for itself may try.
 */
static bool within_active_limit(const struct cq_stage *stage)
{
	const struct cq_batch *batch = stage->batch;
	uint32_t room = cq_batch_active_room(batch);

	if (!room || !stage->step->gang)
		return room > 0;
	return room >= stage->step->tasks ||
	       (!batch->active_count && !batch->max_active);
}

void cq_stage_plan_collect(struct cq_batch *batch, const struct cq_queue *queue,
			   int64_t now_ns, int64_t unix_ms, GArray *ready)
{
	uint32_t i;

	cq_batch_close_ended(batch);
	cq_batch_open_due(batch, unix_ms);
	for (i = 0; i < cq_batch_stage_count(batch); i++) {
		struct cq_stage *stage = cq_batch_stage_at(batch, i);
		struct cq_ready_stage r;

		if (!cq_stage_waiting(stage) || !cq_stage_unblocked(stage) ||
		    !is_due(stage, unix_ms) || !within_active_limit(stage))
			continue;
		if (!stage->ready_ns)
			stage->ready_ns = now_ns;
		if (!stage->waiting_ns)
			stage->waiting_ns = now_ns;
		cq_ready_stage_init(&r, stage, queue, now_ns, unix_ms);
		g_array_append_val(ready, r);
	}
}

static gint compare_ready_stages(gconstpointer a, gconstpointer b,
				 gpointer data)
{
	const struct cq_stage_plan *plan = data;

	return plan->policy->compare(a, b, plan->now_ns);
}

static double default_max_loss_s(const struct cq_ready_stage *r, int64_t now_ns)
{
	int64_t waited_ns = now_ns - r->stage->ready_ns;

	if (r->stage->rank == CQ_RANK_GUARANTEED &&
	    waited_ns > GUARANTEE_MAX_WAIT_NS)
		return G_MAXDOUBLE;
	if (r->stage->rank <= CQ_RANK_URGENT)
		return URGENT_MAX_LOSS_S + URGENT_MAX_LOSS_PER_WAITED_S *
						   (double)waited_ns /
						   (double)CQ_NS_PER_S;
	if (r->stage->step->gang && waited_ns > GANG_PREEMPTION_DELAY_NS)
		return GANG_MAX_LOSS_S;
	return NO_PREEMPTION;
}

/*
 * Whether the workers that are reserved for the stage have brought nothing for
 * so long that they are left to others for a while.
 */
static bool reserves_in_vain(struct plan_run *run,
			     const struct cq_ready_stage *r)
{
	struct cq_stage *stage = r->stage;
	int64_t now_ns = run->plan->now_ns;

	if (stage->released_ns &&
	    now_ns - stage->released_ns > RESERVATION_PAUSE_NS) {
		stage->released_ns = 0;
		stage->reserved_ns = 0;
	}
	if (!stage->released_ns && stage->reserved_ns &&
	    now_ns - stage->reserved_ns > MAX_RESERVATION_NS) {
		stage->released_ns = now_ns;
		if (run->ops->release)
			run->ops->release(run->ctx, r);
	}
	return stage->released_ns != 0;
}

static void preempt_for_stage(struct plan_run *run,
			      const struct cq_placement *p,
			      const struct cq_ready_stage *r)
{
	double max_loss_s = run->plan->policy->max_loss_s(r, run->plan->now_ns);
	GPtrArray *victims;

	if (max_loss_s < 0)
		return;
	victims = g_ptr_array_new();
	if (!cq_placement_select_victims(p, max_loss_s, victims))
		r->stage->reserved_ns = 0;
	else if (!r->stage->reserved_ns)
		r->stage->reserved_ns = run->plan->now_ns;
	if (victims->len) {
		run->ops->preempt(run->ctx, r, victims);
		/* A run that was not sent yet leaves its room at once. */
		g_array_set_size(run->full, 0);
	}
	g_ptr_array_unref(victims);
}

static struct cq_pool_totals *totals_of(struct plan_run *run,
					const char *service)
{
	struct service_totals added = { .service = service };
	guint i;

	for (i = 0; i < run->totals->len; i++) {
		struct service_totals *known =
			&g_array_index(run->totals, struct service_totals, i);

		if (!strcmp(known->service, service))
			return &known->totals;
	}
	added.totals = cq_placement_totals(run->plan->pool, service);
	g_array_append_val(run->totals, added);
	return &g_array_index(run->totals, struct service_totals, i).totals;
}

/*
 * True if no task of the stage fits, since one that needs no more, on the same
 * workers, has found no room in this plan. Room only gets less meanwhile.
 */
static bool is_known_full(const GArray *full, const struct cq_placement *p)
{
	const struct cq_workload_step *step = p->stage->step;
	guint i;

	for (i = 0; i < full->len; i++) {
		const struct full_shape *shape =
			&g_array_index(full, struct full_shape, i);
		const struct cq_workload_step *other = shape->step;

		if (step->accelerators >= other->accelerators &&
		    step->cpu_millicores >= other->cpu_millicores &&
		    step->memory_mb >= other->memory_mb &&
		    step->fills == other->fills &&
		    !strcmp(p->service, shape->service) &&
		    !g_strcmp0(step->required_label, other->required_label))
			return true;
	}
	return false;
}

/*
 * How many tasks of the stage may start in this plan. A job of any size leaves
 * starts to the others, and the first run of a job waits for no other job's.
 * Nor does guaranteed work, which has a time by which it has to begin.
 */
static uint32_t start_quota(const struct plan_run *run,
			    const struct cq_stage *stage)
{
	const struct cq_batch *batch = stage->batch;
	uint32_t max = run->plan->max_recording;
	uint32_t room = cq_batch_active_room(batch);
	uint32_t kept = stage->rank == CQ_RANK_GUARANTEED
				? 0
				: max / RECORDING_KEPT_DIVISOR;
	uint32_t used = run->recording + kept;
	uint32_t share = max / RECORDING_JOB_DIVISOR;
	uint32_t quota;

	if (!max)
		return room;
	quota = MIN(max > used ? max - used : 0,
		    share > batch->recording_count
			    ? share - batch->recording_count
			    : 0);
	if (!batch->active_count && run->recording < max)
		quota = MAX(quota, 1);
	return MIN(room, quota);
}

static void place_stage(struct plan_run *run, const struct cq_placement *p,
			const struct cq_ready_stage *r)
{
	const struct cq_workload_step *step = r->stage->step;
	GArray *assignments = run->assignments;

	g_array_set_size(assignments, 0);
	if (is_known_full(run->full, p))
		return;
	if (cq_placement_find(p, assignments)) {
		run->recording += assignments->len;
		totals_of(run, p->service)->free_accelerators -=
			(int64_t)assignments->len * step->accelerators;
		run->ops->start(run->ctx, r, assignments);
		r->stage->waiting_ns = 0;
		r->stage->reserved_ns = 0;
		r->stage->released_ns = 0;
	}
	if (cq_stage_waiting(r->stage) && !step->gang &&
	    !step->max_per_worker && assignments->len < p->max_tasks) {
		const struct full_shape shape = { p->service, step };

		g_array_append_val(run->full, shape);
	}
}

static void plan_stage(struct plan_run *run, const struct cq_ready_stage *r)
{
	const struct cq_stage_plan *plan = run->plan;
	uint32_t quota = start_quota(run, r->stage);
	const struct cq_placement p = {
		.pool = plan->pool,
		.stage = r->stage,
		.service = r->queue->service,
		.now_ns = plan->now_ns,
		.remote_factor = plan->remote_factor,
		.pack_racks = r->stage->rank > CQ_RANK_URGENT,
		.reserve_unaffordable = r->stage->rank <= CQ_RANK_URGENT,
		.reserve_with_victims_only = reserves_in_vain(run, r),
		.max_tasks = quota,
		.work = &run->work,
	};

	run->held_back |= !quota;
	if (!quota || !within_active_limit(r->stage) ||
	    !plan->policy->may_start(r, totals_of(run, r->queue->service),
				     plan->now_ns))
		return;
	place_stage(run, &p, r);
	if (!cq_stage_waiting(r->stage))
		return;
	/* The rest of a stage that has used its quota may have room. */
	if (run->assignments->len >= quota)
		run->held_back = true;
	else
		preempt_for_stage(run, &p, r);
}

/* A plan comes to one stage at least, so that the round ends. */
static bool is_over(const struct plan_run *run, uint32_t stages)
{
	const struct cq_stage_plan *plan = run->plan;

	return (plan->max_work && stages && run->work >= plan->max_work) ||
	       (plan->max_recording && run->recording >= plan->max_recording);
}

/* Returns whether the round has come to all stages. */
static bool plan_stages(struct plan_run *run, const GArray *ready)
{
	uint32_t round = run->plan->round;
	uint32_t stages = 0;
	guint i;

	for (i = 0; i < ready->len; i++) {
		const struct cq_ready_stage *r =
			&g_array_index(ready, struct cq_ready_stage, i);

		run->work++;
		if (round && r->stage->planned_round == round)
			continue;
		if (is_over(run, stages++))
			return false;
		plan_stage(run, r);
		r->stage->planned_round = round;
	}
	return true;
}

struct cq_stage_plan_result
cq_stage_plan_run(const struct cq_stage_plan *plan, GArray *ready,
		  const struct cq_stage_plan_ops *ops, void *ctx)
{
	struct cq_stage_plan_result result;
	struct plan_run run = {
		.plan = plan,
		.ops = ops,
		.ctx = ctx,
		.totals =
			g_array_new(FALSE, TRUE, sizeof(struct service_totals)),
		.assignments =
			g_array_new(FALSE, TRUE, sizeof(struct cq_assignment)),
		.full = g_array_new(FALSE, TRUE, sizeof(struct full_shape)),
		.recording = plan->recording,
	};

	cq_placement_prepare(plan->pool);
	g_array_sort_with_data(ready, compare_ready_stages, (gpointer)plan);
	result.complete = plan_stages(&run, ready);
	result.work = run.work;
	result.held_back = run.held_back;
	g_array_unref(run.totals);
	g_array_unref(run.assignments);
	g_array_unref(run.full);
	return result;
}
