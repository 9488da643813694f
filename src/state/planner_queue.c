/*
 * Queue of the waiting jobs: their order, and the decision about each of them.
 */
#include "state/planner_internal.h"

#include <math.h>
#include <stdlib.h>

#define PERMILLE 1000
/*
 * Offset added to the age of a job, so that the score of a new job is finite.
 */
#define AGE_OFFSET_S 30.0
/*
 * Limits of the attempts to place a job, of the reclaims and of the failed
 * sizes remembered. They bound the time of a plan, since each attempt scans the
 * workers.
 */
#define MAX_ATTEMPTS 512
#define MAX_BORROWING_RECLAIMS 32
#define MAX_GUARANTEED_RECLAIMS 128
#define MAX_FAILED_SHAPES 64
/* Total failures, as a multiple of job_failure_workers, that reject a job. */
#define TOTAL_FAILURES_FACTOR 4
#define RESERVE_AGE_DIVISOR 2

struct queued {
	uint32_t job;
	uint32_t rank;
	double score; /* jobs are served in ascending order */
};

/*
 * A job size that did not fit; sizes at least as large are not tried again in
 * this plan.
 */
struct failed_shape {
	uint32_t job;
	enum cq_reason reason;
	bool was_reserved; /* a reservation reduced the room */
	bool fills_part;   /* one task takes most of a part */
};

struct failed_list {
	struct failed_shape shapes[MAX_FAILED_SHAPES];
	uint32_t count;
};

struct queue {
	struct queued *entries;
	uint32_t count;
	struct failed_list failed_guaranteed; /* placement within guarantees */
	struct failed_list failed_borrowing;  /* placement as a borrower */
	struct failed_list failed_reclaim;
	uint32_t attempts;
	uint32_t reclaims;
	uint32_t reservations;
};

static void fill_queue(struct cq_plan_context *ctx, struct queue *queue);
static void serve_guaranteed(struct cq_plan_context *ctx, struct queue *queue);
static void serve_borrowing(struct cq_plan_context *ctx, struct queue *queue);

static int compare_queued(const void *a, const void *b)
{
	const struct queued *left = a;
	const struct queued *right = b;

	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->score != right->score)
		return left->score < right->score ? -1 : 1;
	return left->job < right->job ? -1 : left->job > right->job;
}

/*
 * Logarithm of work over age: short jobs go first, and every job is first once
 * it is old enough. The weight shifts the order between this one (1) and the
 * order of arrival (0).
 */
static double score(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	double weight =
		(double)ctx->policy->completion_weight_permille / PERMILLE;
	double age_s = (double)MAX(ctx->now_ns - entry->submitted_ns, 0) /
		       (double)CQ_NS_PER_S;
	double run_s =
		(double)ctx->jobs[job].predicted_run_ns / (double)CQ_NS_PER_S;
	double work = run_s * MAX(entry->accelerators * entry->tasks, 1U);

	return weight * log(work + 1.0) - log(age_s + AGE_OFFSET_S);
}

static void fill_queue(struct cq_plan_context *ctx, struct queue *queue)
{
	const struct cq_snapshot *snapshot = ctx->snapshot;
	uint32_t i;

	queue->entries = g_new(struct queued, snapshot->job_count + 1);
	for (i = 0; i < snapshot->job_count; i++) {
		struct queued *entry = &queue->entries[queue->count];

		if (snapshot->jobs[i].state != CQ_JOB_WAITING)
			continue;
		entry->job = i;
		entry->rank = ctx->jobs[i].rank;
		entry->score = score(ctx, i);
		queue->count++;
	}
	qsort(queue->entries, queue->count, sizeof(*queue->entries),
	      compare_queued);
}

static void add_wait(struct cq_plan_context *ctx, uint32_t job,
		     enum cq_reason reason, int64_t start_ns)
{
	struct cq_wait wait = { job, reason, start_ns, CQ_FLEET_UNKNOWN_NS };

	g_array_append_val(ctx->waits, wait);
}

/*
 * A job that only few workers can hold may never fail on enough distinct
 * workers, so a multiple of that number of failures counts as well.
 */
static bool has_failed_permanently(const struct cq_plan_context *ctx,
				   const struct cq_fleet_job *job)
{
	const struct cq_health *health = ctx->planner->health;

	return cq_health_job_failures(health, job->id) >=
		       ctx->policy->job_failure_workers ||
	       cq_health_job_total_failures(health, job->id) >=
		       ctx->policy->job_failure_workers * TOTAL_FAILURES_FACTOR;
}

/*
 * Rejects a job that can never run, or lets it wait if its data centre is out
 * of service. Returns false if the job is to be placed.
 */
static bool reject_or_defer(struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	struct cq_misfit misfit;
	struct cq_action *action;

	if (ctx->jobs[job].failed_before &&
	    has_failed_permanently(ctx, entry)) {
		cq_plan_add_action(ctx, CQ_ACTION_REJECT,
				   CQ_REASON_FAILS_ANYWHERE, job);
		return true;
	}
	if (!cq_check_feasible(ctx, job, &misfit)) {
		action = cq_plan_add_action(ctx, CQ_ACTION_REJECT,
					    CQ_REASON_NEVER_FITS, job);
		action->resource = misfit.resource;
		action->requested = misfit.requested;
		action->largest = misfit.largest;
		return true;
	}
	if (entry->dc != CQ_NONE &&
	    ctx->snapshot->dcs[entry->dc].state == CQ_DC_OUT) {
		add_wait(ctx, job, CQ_REASON_WAIT_DC_OUT, CQ_FLEET_UNKNOWN_NS);
		return true;
	}
	return false;
}

static bool is_at_least_as_large(const struct cq_plan_context *ctx,
				 uint32_t job,
				 const struct failed_shape *failed)
{
	const struct cq_fleet_job *a = &ctx->snapshot->jobs[job];
	const struct cq_fleet_job *b = &ctx->snapshot->jobs[failed->job];

	return (b->dc == CQ_NONE || a->dc == b->dc) && a->tasks >= b->tasks &&
	       a->adjacency <= b->adjacency &&
	       a->accelerators >= b->accelerators &&
	       a->millicores >= b->millicores &&
	       a->memory_bytes >= b->memory_bytes &&
	       (!failed->was_reserved ||
		ctx->jobs[job].predicted_run_ns >=
			ctx->jobs[failed->job].predicted_run_ns);
}

/*
 * Whether the failure of another job implies that this one fails too. A job
 * that fills a shape may stop smaller jobs of its workspace, so the failure of
 * a smaller job implies nothing about it.
 */
static bool is_comparable_failure(const struct cq_plan_context *ctx,
				  uint32_t job,
				  const struct failed_shape *failed)
{
	const struct cq_fleet_job *a = &ctx->snapshot->jobs[job];
	const struct cq_fleet_job *b = &ctx->snapshot->jobs[failed->job];

	if (a->workspace != b->workspace || a->class_index != b->class_index)
		return false;
	return !cq_cells_fills_part(ctx, job) ||
	       (failed->fills_part && a->tasks == b->tasks &&
		a->accelerators == b->accelerators);
}

static const struct failed_shape *
find_failed_shape(const struct cq_plan_context *ctx,
		  const struct failed_list *list, uint32_t job, bool same_owner)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (same_owner &&
		    !is_comparable_failure(ctx, job, &list->shapes[i]))
			continue;
		if (is_at_least_as_large(ctx, job, &list->shapes[i]))
			return &list->shapes[i];
	}
	return NULL;
}

static void record_failed_shape(const struct cq_plan_context *ctx,
				struct failed_list *list, uint32_t job,
				enum cq_reason reason, bool was_reserved)
{
	struct failed_shape *failed;

	if (list->count == MAX_FAILED_SHAPES)
		return;
	failed = &list->shapes[list->count++];
	failed->job = job;
	failed->reason = reason;
	failed->was_reserved = was_reserved;
	failed->fills_part = cq_cells_fills_part(ctx, job);
}

/* Whether a start leaves the headroom for urgent jobs free. */
static bool leaves_headroom(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	int64_t need = (int64_t)entry->accelerators * entry->tasks;

	/*
	 * The headroom is ignored for a job that needs nearly all of the fleet;
	 * it would never start.
	 */
	return need == 0 || need > ctx->usable_accelerators - ctx->headroom ||
	       ctx->snapshot->classes[entry->class_index].urgent ||
	       ctx->free_accelerators - need >= ctx->headroom;
}

static bool has_unused_guarantee(const struct cq_plan_context *ctx,
				 uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];

	return entry->accelerators > 0 &&
	       ctx->workspace_uncharged[entry->workspace] >=
		       (int64_t)entry->accelerators * entry->tasks;
}

/*
 * Whether everything the workspace runs, borrowers included, stays within its
 * guarantees with this job; only then are borrowers of others stopped for it.
 * Its urgent jobs may still replace jobs of classes served later.
 */
static bool is_below_guarantee(const struct cq_plan_context *ctx, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];

	return has_unused_guarantee(ctx, job) &&
	       ctx->workspace_uncharged[entry->workspace] -
			       ctx->workspace_borrowed[entry->workspace] >=
		       (int64_t)entry->accelerators * entry->tasks;
}

/*
 * Stops other jobs for a job within the guarantees of its workspace. A job that
 * fills shapes may do so regardless of what the workspace borrows.
 */
static bool reclaim_within_guarantee(struct cq_plan_context *ctx, uint32_t job)
{
	if (is_below_guarantee(ctx, job) && cq_reclaim_cells(ctx, job))
		return true;
	return has_unused_guarantee(ctx, job) &&
	       cq_cells_fills_part(ctx, job) && cq_reclaim_repack(ctx, job);
}

/*
 * First pass: places jobs of any class that are within the guarantees of their
 * workspace, before jobs that would borrow; borrowers started first would be
 * reclaimed at once.
 */
static void serve_guaranteed(struct cq_plan_context *ctx, struct queue *queue)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < queue->count; i++) {
		struct queued entry = queue->entries[i];
		bool held = cq_holds_release(ctx, entry.job);

		if (reject_or_defer(ctx, entry.job))
			continue;
		if (ctx->starts_left > 0 && queue->attempts < MAX_ATTEMPTS &&
		    (held || !find_failed_shape(ctx, &queue->failed_guaranteed,
						entry.job, true))) {
			queue->attempts++;
			if (cq_place_guaranteed(ctx, entry.job))
				continue;
			/*
			 * Uses idle capacity, for which no job has to be
			 * stopped, unless a job of a class served before is
			 * waiting for it.
			 */
			if ((kept == 0 ||
			     queue->entries[0].rank == entry.rank) &&
			    has_unused_guarantee(ctx, entry.job) &&
			    leaves_headroom(ctx, entry.job) &&
			    cq_place_free(ctx, entry.job, NULL)) {
				cq_place_start(ctx, entry.job,
					       CQ_REASON_BORROWED, NULL);
				continue;
			}
			if (queue->reclaims >= MAX_GUARANTEED_RECLAIMS) {
				queue->entries[kept++] = entry;
				continue;
			}
			if (reclaim_within_guarantee(ctx, entry.job)) {
				queue->reclaims++;
				add_wait(ctx, entry.job, CQ_REASON_WAIT_RECLAIM,
					 ctx->now_ns);
				continue;
			}
			record_failed_shape(ctx, &queue->failed_guaranteed,
					    entry.job, CQ_REASON_WAIT_CAPACITY,
					    false);
		}
		queue->entries[kept++] = entry;
	}
	queue->count = kept;
	queue->attempts = 0;
	queue->reclaims = 0;
}

/* Whether a job may get a reservation, so that small jobs do not starve it. */
static bool may_reserve(const struct cq_plan_context *ctx,
			const struct queue *queue, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];

	/*
	 * A reservation keeps capacity idle, so a job gets one only after it
	 * has waited for 1 / RESERVE_AGE_DIVISOR of its predicted run time.
	 */
	return queue->reservations < ctx->policy->max_reservations &&
	       ctx->now_ns - entry->submitted_ns >
		       ctx->jobs[job].predicted_run_ns / RESERVE_AGE_DIVISOR;
}

/* Second pass: places a job that has no guarantee left, as a borrower. */
static void serve_borrowing_job(struct cq_plan_context *ctx,
				struct queue *queue, uint32_t job)
{
	const struct cq_fleet_job *entry = &ctx->snapshot->jobs[job];
	const struct failed_shape *failed =
		find_failed_shape(ctx, &queue->failed_borrowing, job, false);
	bool urgent = ctx->snapshot->classes[entry->class_index].urgent;
	bool was_reserved = false;
	enum cq_reason reason = CQ_REASON_WAIT_CAPACITY;
	int64_t start_ns = CQ_FLEET_UNKNOWN_NS;

	if (ctx->starts_left == 0) {
		add_wait(ctx, job, CQ_REASON_WAIT_START_LIMIT, start_ns);
		return;
	}
	if (!failed) {
		if (queue->attempts++ >= MAX_ATTEMPTS) {
			add_wait(ctx, job, CQ_REASON_WAIT_TURN, start_ns);
			return;
		}
		if (leaves_headroom(ctx, job) &&
		    cq_place_free(ctx, job, &was_reserved)) {
			cq_place_start(ctx, job,
				       queue->reservations
					       ? CQ_REASON_BACKFILLED
					       : CQ_REASON_BORROWED,
				       NULL);
			return;
		}
		if (was_reserved)
			reason = CQ_REASON_WAIT_RESERVATION;
		record_failed_shape(ctx, &queue->failed_borrowing, job, reason,
				    was_reserved);
	} else {
		reason = failed->reason;
	}
	if (urgent && queue->reclaims < MAX_BORROWING_RECLAIMS &&
	    !find_failed_shape(ctx, &queue->failed_reclaim, job, true)) {
		queue->reclaims++;
		/*
		 * Stops borrowers of classes served later, or else such jobs of
		 * its own workspace.
		 */
		if (cq_reclaim_borrowed(ctx, job, 0) ||
		    cq_reclaim_cells(ctx, job)) {
			add_wait(ctx, job, CQ_REASON_WAIT_RECLAIM, ctx->now_ns);
			return;
		}
		record_failed_shape(ctx, &queue->failed_reclaim, job, reason,
				    false);
	}
	if (may_reserve(ctx, queue, job)) {
		start_ns = cq_place_reserve(ctx, job);
		queue->reservations++;
		if (!urgent && start_ns != CQ_FLEET_UNKNOWN_NS &&
		    queue->reclaims < MAX_BORROWING_RECLAIMS) {
			queue->reclaims++;
			if (cq_reclaim_borrowed(ctx, job,
						start_ns - ctx->now_ns))
				reason = CQ_REASON_WAIT_RECLAIM;
		}
	}
	add_wait(ctx, job, reason, start_ns);
}

static void serve_borrowing(struct cq_plan_context *ctx, struct queue *queue)
{
	uint32_t i;

	for (i = 0; i < queue->count; i++)
		serve_borrowing_job(ctx, queue, queue->entries[i].job);
}

void cq_plan_queue(struct cq_plan_context *ctx)
{
	struct queue queue = { 0 };

	fill_queue(ctx, &queue);
	serve_guaranteed(ctx, &queue);
	serve_borrowing(ctx, &queue);
	g_free(queue.entries);
}
