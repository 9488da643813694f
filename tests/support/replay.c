#include "replay.h"

#include <stdlib.h>
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/stage_rank.h"
#include "chestnutquay/text.h"

#define STEP_NS (INT64_C(5) * CQ_NS_PER_MS)
/* Plans are made this often even without a change, as by the dispatcher. */
#define PLAN_INTERVAL_NS (INT64_C(50) * CQ_NS_PER_MS)
/* Delays from a decision to the start and to the end of runs. */
#define START_DELAY_NS (INT64_C(20) * CQ_NS_PER_MS)
#define STOP_DELAY_NS (INT64_C(60) * CQ_NS_PER_MS)
#define CHECKPOINT_INTERVAL_NS CQ_NS_PER_S
#define RESTORE_COST_NS (INT64_C(250) * CQ_NS_PER_MS)
/* Upper bound for the wait of an urgent job that a guarantee covers. */
#define MAX_GUARANTEED_WAIT_NS (INT64_C(2900) * CQ_NS_PER_MS)
/* Cores that an accelerator counts for in the price of wasted work. */
#define CORES_PER_ACCELERATOR 8
#define WASTE_PRICE_PER_CORE_S 0.0015
#define MAX_REPLAY_S 160.0
#define LARGEST_JOBS_SHARE 0.1

struct replay_run_state {
	struct cq_task *task;
	int64_t begin_ns;
	int64_t end_ns;
	enum cq_run_end outcome;
	double run_time_factor; /* relative to a speed of 1 in one rack */
};

/* Progress of one job; the array is indexed by job number. */
struct progress {
	int64_t saved_ns[REPLAY_MAX_STEPS];	  /* for steps that are gangs */
	int64_t *task_saved_ns[REPLAY_MAX_STEPS]; /* other steps, by task */
	bool failed;  /* the failure planned for the job has occurred */
	bool covered; /* by the guarantee, at all times so far */
	bool started;
};

struct replay {
	const struct replay_deployment *deployment;
	const struct cq_stage_policy *policy;
	struct cq_queue_config *config;
	GArray *jobs;
	struct progress *progress;
	struct cq_pool *pool;
	GHashTable *batches;
	GArray *runs; /* struct replay_run_state */
	guint next_arrival;
	int64_t now_ns;
	bool changed; /* since the last plan */
	struct replay_result *result;
};

static struct replay_job *job_of(const struct replay *r,
				 const struct cq_batch *batch)
{
	return &g_array_index(r->jobs, struct replay_job,
			      strtoul(batch->workload->id, NULL, 10));
}

static struct progress *progress_of(const struct replay *r,
				    const struct cq_batch *batch)
{
	return &r->progress[strtoul(batch->workload->id, NULL, 10)];
}

static void add_workers(struct replay *r)
{
	const struct replay_deployment *d = r->deployment;
	uint32_t dc, k;

	for (dc = 0; dc < d->data_centres; dc++)
		for (k = 0; k < d->workers; k++) {
			struct cq_executor_registration listing;
			struct cq_pool_worker *worker;

			cq_executor_registration_init(&listing);
			cq_text_set(&listing.service, "s");
			listing.cpu_millicores = d->cpu_millicores;
			listing.memory_mb = d->memory_mb;
			listing.accelerators = d->accelerators;
			cq_text_printf(&listing.id, "w%u-%02u", dc, k);
			cq_text_printf(&listing.data_centre, "dc%u", dc);
			cq_text_printf(&listing.rack, "r%u-%u", dc,
				       k / d->rack_size);
			worker = cq_pool_add(r->pool, listing.id);
			cq_pool_update(worker, &listing);
			cq_executor_registration_clear(&listing);
			worker->usable = true;
		}
}

static double speed_of(const struct replay *r,
		       const struct cq_pool_worker *worker)
{
	unsigned long k =
		strtoul(strchr(worker->listing.id, '-') + 1, NULL, 10);

	return r->deployment->speeds[k % G_N_ELEMENTS(r->deployment->speeds)];
}

static int64_t *saved_of(const struct replay *r, const struct cq_task *task)
{
	const struct cq_stage *stage = task->stage;
	struct progress *progress = progress_of(r, stage->batch);

	if (stage->step->gang)
		return &progress->saved_ns[stage->step_index];
	return &progress->task_saved_ns[stage->step_index][task->index];
}

static double cores_of(const struct cq_workload_step *step)
{
	return step->cpu_millicores / 1000.0 +
	       (double)step->accelerators * CORES_PER_ACCELERATOR;
}

/* Records the work lost by an early end, and the progress checkpointed. */
static void record_loss(struct replay *r, const struct replay_run_state *run)
{
	const struct cq_workload_step *step = run->task->stage->step;
	int64_t *saved_ns = saved_of(r, run->task);
	int64_t ran_ns = MAX(0, r->now_ns - run->begin_ns);
	int64_t kept_ns = 0;

	if (step->checkpointing)
		kept_ns = ran_ns / CHECKPOINT_INTERVAL_NS *
			  CHECKPOINT_INTERVAL_NS;
	r->result->wasted_core_s += cores_of(step) *
				    (double)(ran_ns - kept_ns) /
				    (double)CQ_NS_PER_S;
	/* All members of a gang save the same progress. */
	if (!step->gang || run->task->index == 0)
		*saved_ns += (int64_t)((double)kept_ns / run->run_time_factor);
}

static void credit_job(struct replay *r, const struct cq_batch *batch)
{
	const struct replay_job *job = job_of(r, batch);
	double earned = 0;
	struct replay_result *result = r->result;

	if (r->now_ns <= job->objective_ns)
		earned = job->worth;
	else if (r->now_ns <= job->late_ns)
		earned = job->late_worth;
	result->all.earned += earned;
	result->classes[job->class_index].earned += earned;
	result->workspaces[batch->workload->workspace[2] - '0'].earned +=
		earned;
	result->data_centres[job->data_centre].earned += earned;
	if (job->largest)
		result->largest.earned += earned;
}

static void stop_gang(struct replay *r, const struct cq_stage *stage)
{
	guint i;

	for (i = 0; i < r->runs->len; i++) {
		struct replay_run_state *run =
			&g_array_index(r->runs, struct replay_run_state, i);

		if (run->task->stage != stage || run->task->stopping)
			continue;
		run->task->stopping = true;
		run->end_ns = MIN(run->end_ns, r->now_ns + STOP_DELAY_NS);
		run->outcome = CQ_RUN_STOPPED;
	}
}

static void end_run(struct replay *r, const struct replay_run_state *run)
{
	struct cq_stage *stage = run->task->stage;
	struct cq_batch *batch = stage->batch;

	if (run->outcome != CQ_RUN_DONE)
		record_loss(r, run);
	if (run->outcome == CQ_RUN_FAILED)
		progress_of(r, batch)->failed = true;
	if (cq_task_end(run->task, run->outcome, NULL, 0) &&
	    batch->state == CQ_BATCH_COMPLETED)
		credit_job(r, batch);
	else if (stage->step->gang && run->outcome == CQ_RUN_FAILED)
		stop_gang(r, stage);
}

static void end_due(struct replay *r)
{
	guint i;

	for (i = r->runs->len; i-- > 0;) {
		struct replay_run_state run =
			g_array_index(r->runs, struct replay_run_state, i);

		if (run.end_ns > r->now_ns)
			continue;
		g_array_remove_index_fast(r->runs, i);
		end_run(r, &run);
		r->changed = true;
	}
}

static bool spans_racks(const GArray *assignments)
{
	const struct cq_assignment *first =
		&g_array_index(assignments, struct cq_assignment, 0);
	guint i;

	for (i = 1; i < assignments->len; i++)
		if (strcmp(first->worker->listing.rack,
			   g_array_index(assignments, struct cq_assignment, i)
				   .worker->listing.rack))
			return true;
	return false;
}

static double slowest_speed(const struct replay *r, const GArray *assignments)
{
	double speed = G_MAXDOUBLE;
	guint i;

	for (i = 0; i < assignments->len; i++)
		speed = MIN(speed,
			    speed_of(r, g_array_index(assignments,
						      struct cq_assignment, i)
						.worker));
	return speed;
}

static void begin_run(struct replay *r, struct cq_task *task,
		      double run_time_factor)
{
	const struct cq_stage *stage = task->stage;
	const struct replay_job *job = job_of(r, stage->batch);
	const struct progress *progress = progress_of(r, stage->batch);
	int64_t saved_ns = *saved_of(r, task);
	int64_t remaining_ns = job->run_ns[stage->step_index] - saved_ns;
	struct replay_run_state run = {
		.task = task,
		.begin_ns = r->now_ns + START_DELAY_NS,
		.outcome = CQ_RUN_DONE,
		.run_time_factor = run_time_factor,
	};

	task->phase = CQ_RUN_CONFIRMED;
	task->started_ns = run.begin_ns;
	remaining_ns = (int64_t)((double)remaining_ns * run_time_factor);
	if (job->fails_once && !progress->failed && task->index == 0) {
		run.outcome = CQ_RUN_FAILED;
		remaining_ns =
			(int64_t)((double)remaining_ns * REPLAY_FAILS_AT);
	}
	run.end_ns =
		run.begin_ns + remaining_ns + (saved_ns ? RESTORE_COST_NS : 0);
	g_array_append_val(r->runs, run);
}

static void record_start(struct replay *r, const struct cq_ready_stage *ready)
{
	struct progress *progress = progress_of(r, ready->stage->batch);

	if (progress->started)
		return;
	progress->started = true;
	if (ready->queue->priority == 0 && progress->covered &&
	    r->now_ns + START_DELAY_NS - ready->stage->ready_ns >
		    MAX_GUARANTEED_WAIT_NS)
		r->result->guarantee_misses++;
}

static void start_stage(void *ctx, const struct cq_ready_stage *ready,
			const GArray *assignments)
{
	struct replay *r = ctx;
	const struct cq_workload_step *step = ready->stage->step;
	double gang_run_time_factor = 1 / slowest_speed(r, assignments);
	guint i;

	record_start(r, ready);
	if (step->same_rack && spans_racks(assignments))
		gang_run_time_factor *= REPLAY_REMOTE_FACTOR;
	for (i = 0; i < assignments->len; i++) {
		const struct cq_assignment *a =
			&g_array_index(assignments, struct cq_assignment, i);

		cq_task_assign(a->task, a->worker, a->task->run + 1);
		begin_run(r, a->task,
			  step->gang ? gang_run_time_factor
				     : 1 / speed_of(r, a->worker));
	}
}

static void preempt_runs(void *ctx, const struct cq_ready_stage *ready,
			 const GPtrArray *tasks)
{
	struct replay *r = ctx;
	guint i, k;

	(void)ready;
	for (i = 0; i < tasks->len; i++) {
		struct cq_task *task = g_ptr_array_index(tasks, i);

		r->result->preempted_tasks++;
		if (task->stage->step->gang) {
			stop_gang(r, task->stage);
			continue;
		}
		for (k = 0; k < r->runs->len; k++) {
			struct replay_run_state *run = &g_array_index(
				r->runs, struct replay_run_state, k);

			if (run->task != task)
				continue;
			task->stopping = true;
			run->end_ns =
				MIN(run->end_ns, r->now_ns + STOP_DELAY_NS);
			run->outcome = CQ_RUN_STOPPED;
		}
	}
}

static const struct cq_stage_plan_ops plan_ops = {
	.start = start_stage,
	.preempt = preempt_runs,
};

static void admit_arrivals(struct replay *r)
{
	while (r->next_arrival < r->jobs->len) {
		struct replay_job *job = &g_array_index(
			r->jobs, struct replay_job, r->next_arrival);
		struct progress *progress = &r->progress[r->next_arrival];
		struct cq_batch *batch;
		uint32_t i;

		if (job->arrival_ns > r->now_ns)
			return;
		batch = cq_batch_create(job->workload);
		job->workload = NULL;
		batch->accepted_ns = r->now_ns;
		for (i = 0; i < cq_batch_stage_count(batch); i++)
			progress->task_saved_ns[i] = g_new0(
				int64_t,
				cq_batch_stage_at(batch, i)->step->tasks);
		progress->covered = true;
		g_hash_table_insert(r->batches, batch->workload->id, batch);
		r->next_arrival++;
		r->changed = true;
	}
}

static void collect_ready(struct replay *r, GArray *ready)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->batches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_batch *batch = value;

		if (cq_batch_state_is_terminal(batch->state)) {
			if (!cq_batch_has_runs(batch))
				g_hash_table_iter_remove(&iter);
			continue;
		}
		cq_stage_plan_collect(
			batch,
			cq_queue_config_find(r->config, batch->workload->queue),
			r->now_ns, 0, ready);
	}
}

/* Marks jobs that the guarantee of their workspace does not cover now. */
static void update_covered(struct replay *r, const GArray *ready)
{
	guint i;

	for (i = 0; i < ready->len; i++) {
		const struct cq_stage *stage =
			g_array_index(ready, struct cq_ready_stage, i).stage;

		if (stage->rank != CQ_RANK_GUARANTEED)
			progress_of(r, stage->batch)->covered = false;
	}
}

static void plan(struct replay *r)
{
	const struct cq_stage_plan p = {
		.policy = r->policy,
		.pool = r->pool,
		.now_ns = r->now_ns,
		.remote_factor = REPLAY_REMOTE_FACTOR,
	};
	GArray *ready = g_array_new(FALSE, TRUE, sizeof(struct cq_ready_stage));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct cq_pool_worker *)value)->reserved_for = NULL;
	collect_ready(r, ready);
	cq_stage_ranks_update(r->config, r->batches);
	update_covered(r, ready);
	cq_stage_plan_run(&p, ready, &plan_ops, r);
	g_array_unref(ready);
}

static void remove_data_centre_0(struct replay *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_pool_worker *worker = value;

		if (!strcmp(worker->listing.data_centre, "dc0"))
			worker->usable = false;
	}
}

static gint compare_by_work(gconstpointer a, gconstpointer b)
{
	const struct replay_job *left = *(const struct replay_job *const *)a;
	const struct replay_job *right = *(const struct replay_job *const *)b;

	return (left->accelerator_s < right->accelerator_s) -
	       (left->accelerator_s > right->accelerator_s);
}

static void add_offered_worth(struct replay *r)
{
	GPtrArray *by_class[REPLAY_CLASSES];
	uint32_t class, i;

	for (class = 0; class < REPLAY_CLASSES; class ++)
		by_class[class] = g_ptr_array_new();
	for (i = 0; i < r->jobs->len; i++) {
		struct replay_job *job =
			&g_array_index(r->jobs, struct replay_job, i);
		const char *workspace = job->workload->workspace;

		g_ptr_array_add(by_class[job->class_index], job);
		r->result->all.offered += job->worth;
		r->result->classes[job->class_index].offered += job->worth;
		r->result->workspaces[workspace[2] - '0'].offered += job->worth;
		r->result->data_centres[job->data_centre].offered += job->worth;
	}
	for (class = 0; class < REPLAY_CLASSES; class ++) {
		GPtrArray *jobs = by_class[class];

		g_ptr_array_sort(jobs, compare_by_work);
		for (i = 0; i < jobs->len * LARGEST_JOBS_SHARE; i++) {
			struct replay_job *job = g_ptr_array_index(jobs, i);

			r->result->largest.offered += job->worth;
			job->largest = true;
		}
		g_ptr_array_unref(jobs);
	}
}

static void free_progress(struct replay *r)
{
	guint i;
	int k;

	for (i = 0; i < r->jobs->len; i++)
		for (k = 0; k < REPLAY_MAX_STEPS; k++)
			g_free(r->progress[i].task_saved_ns[k]);
	g_free(r->progress);
}

static void run_steps(struct replay *r, const struct replay_load *load)
{
	int64_t leave_ns = (int64_t)(load->dc_out_from_s * (double)CQ_NS_PER_S);
	int64_t max_ns = (int64_t)(MAX_REPLAY_S * (double)CQ_NS_PER_S);
	int64_t next_plan_ns = 0;

	for (; r->now_ns < max_ns; r->now_ns += STEP_NS) {
		if (leave_ns && r->now_ns >= leave_ns) {
			remove_data_centre_0(r);
			leave_ns = 0;
		}
		end_due(r);
		admit_arrivals(r);
		if (!r->changed && r->now_ns < next_plan_ns)
			continue;
		r->changed = false;
		next_plan_ns = r->now_ns + PLAN_INTERVAL_NS;
		plan(r);
		if (r->next_arrival == r->jobs->len &&
		    !g_hash_table_size(r->batches))
			break;
	}
	r->result->unfinished = g_hash_table_size(r->batches);
}

double replay_worth(const struct replay_result *result)
{
	return (result->all.earned -
		WASTE_PRICE_PER_CORE_S * result->wasted_core_s) /
	       result->all.offered;
}

void replay_run(const struct replay_deployment *deployment,
		const struct replay_load *load, uint64_t seed,
		const struct cq_stage_policy *policy,
		struct replay_result *result)
{
	struct replay r = {
		.deployment = deployment,
		.policy = policy,
		.config = replay_config_create(deployment),
		.jobs = replay_jobs_create(deployment, load, seed),
		.pool = cq_pool_create(),
		.batches =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      (GDestroyNotify)cq_batch_destroy),
		.runs = g_array_new(FALSE, TRUE,
				    sizeof(struct replay_run_state)),
		/* Starts above 0, as a time of 0 means "never" in batches. */
		.now_ns = STEP_NS,
		.result = result,
	};

	memset(result, 0, sizeof(*result));
	r.progress = g_new0(struct progress, r.jobs->len);
	add_offered_worth(&r);
	add_workers(&r);
	run_steps(&r, load);
	g_hash_table_destroy(r.batches);
	free_progress(&r);
	replay_jobs_destroy(r.jobs);
	replay_config_destroy(r.config);
	cq_pool_destroy(r.pool);
	g_array_unref(r.runs);
}
