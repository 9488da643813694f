/*
 * Solves two maximum flow problems from jobs into time slots: one up to the
 * late limits, for the late worth, and one up to the objectives, for the rest
 * of the worth. Jobs are added in order of worth per unit of work, highest
 * first; augmenting paths move work of earlier jobs to other slots where that
 * makes room. The sum of the two maxima is an upper bound, as it is not less
 * than the maximum of the sum.
 */
#include "replay_bound.h"

#include <string.h>

#include "chestnutquay/clock.h"

#define SLOT_MS INT64_C(500)
#define SLOT_NS (SLOT_MS * CQ_NS_PER_MS)
#define SLOT_COUNT 256
/*
 * Longest run. Runs in a data centre that is taken out of service still end
 * there, so its capacity counts for that long.
 */
#define LONGEST_RUN_S 18.0

struct demand {
	double worth;
	int64_t remaining_work; /* accelerator-milliseconds not yet placed */
	int64_t max_per_slot;	/* accelerator-milliseconds in one slot */
	int first, last;	/* slots */
	int64_t flow[SLOT_COUNT];
};

struct network {
	struct demand *demands;
	guint count;
	int64_t free_work[SLOT_COUNT]; /* accelerator-milliseconds */
	/*
	 * Search state: the job through which each slot was reached, the slot
	 * from which each job was reached, and the jobs reached. -1: none.
	 */
	int slot_from[SLOT_COUNT];
	int *job_from;
	bool *job_seen;
};

static double best_speed(const struct replay_deployment *d)
{
	return MAX(d->speeds[0], MAX(d->speeds[1], d->speeds[2]));
}

static gint compare_by_density(gconstpointer a, gconstpointer b)
{
	const struct demand *left = a;
	const struct demand *right = b;
	double l = left->worth * (double)right->remaining_work;
	double r = right->worth * (double)left->remaining_work;

	return (l < r) - (l > r);
}

/* Visits the slots of a job; returns one with free capacity, or -1. */
static int visit_job(struct network *n, guint job, GQueue *open)
{
	const struct demand *d = &n->demands[job];
	int s;

	for (s = d->first; s <= d->last; s++) {
		if (n->slot_from[s] >= 0 || d->flow[s] >= d->max_per_slot)
			continue;
		n->slot_from[s] = (int)job;
		if (n->free_work[s] > 0)
			return s;
		g_queue_push_tail(open, GINT_TO_POINTER(s));
	}
	return -1;
}

/*
 * Finds an augmenting path from the job to a slot with free capacity, which
 * may move work of other jobs. Returns the slot, or -1.
 */
static int find_path(struct network *n, guint job)
{
	GQueue open = G_QUEUE_INIT;
	int found;
	guint b;

	memset(n->job_seen, 0, n->count * sizeof(*n->job_seen));
	for (b = 0; b < SLOT_COUNT; b++)
		n->slot_from[b] = -1;
	n->job_seen[job] = true;
	n->job_from[job] = -1;
	found = visit_job(n, job, &open);
	while (found < 0 && !g_queue_is_empty(&open)) {
		int s = GPOINTER_TO_INT(g_queue_pop_head(&open));

		for (b = 0; b < n->count && found < 0; b++) {
			if (n->job_seen[b] || !n->demands[b].flow[s])
				continue;
			n->job_seen[b] = true;
			n->job_from[b] = s;
			found = visit_job(n, b, &open);
		}
	}
	g_queue_clear(&open);
	return found;
}

static int64_t path_capacity(const struct network *n, int slot)
{
	int64_t capacity = n->free_work[slot];

	while (slot >= 0) {
		int job = n->slot_from[slot];
		const struct demand *d = &n->demands[job];

		capacity = MIN(capacity, d->max_per_slot - d->flow[slot]);
		slot = n->job_from[job];
		if (slot >= 0)
			capacity = MIN(capacity, d->flow[slot]);
	}
	return capacity;
}

static void push_flow(struct network *n, int slot, int64_t amount)
{
	n->free_work[slot] -= amount;
	while (slot >= 0) {
		int job = n->slot_from[slot];

		n->demands[job].flow[slot] += amount;
		slot = n->job_from[job];
		if (slot >= 0)
			n->demands[job].flow[slot] -= amount;
	}
}

static double fill_slots(struct network *n)
{
	double worth = 0;
	guint i;

	g_qsort_with_data(n->demands, (gint)n->count, sizeof(*n->demands),
			  (GCompareDataFunc)(void (*)(void))compare_by_density,
			  NULL);
	for (i = 0; i < n->count; i++) {
		struct demand *d = &n->demands[i];
		int64_t total_work = d->remaining_work;

		while (d->remaining_work > 0) {
			int slot = find_path(n, i);
			int64_t amount;

			if (slot < 0)
				break;
			amount = MIN(d->remaining_work, path_capacity(n, slot));
			push_flow(n, slot, amount);
			d->remaining_work -= amount;
		}
		worth += d->worth * (double)(total_work - d->remaining_work) /
			 (double)total_work;
	}
	return worth;
}

static void set_slot_capacity(struct network *n,
			      const struct replay_deployment *d,
			      const struct replay_load *load)
{
	double dc_speed = 0; /* accelerators of one data centre, by speed */
	uint32_t k;
	int s;

	for (k = 0; k < d->workers; k++)
		dc_speed += d->accelerators *
			    d->speeds[k % G_N_ELEMENTS(d->speeds)];
	for (s = 0; s < SLOT_COUNT; s++) {
		double now_s =
			(double)s * (double)SLOT_NS / (double)CQ_NS_PER_S;
		bool is_out = load->dc_out_from_s != 0 &&
			      now_s > load->dc_out_from_s + LONGEST_RUN_S;

		n->free_work[s] =
			(int64_t)(dc_speed * (d->data_centres - is_out) *
				  (double)SLOT_MS) +
			1;
	}
}

/* Number of tasks of the step that fit into an empty rack. */
static uint32_t rack_capacity(const struct replay_deployment *d,
			      const struct cq_workload_step *step)
{
	uint32_t per_worker = d->accelerators / step->accelerators;

	per_worker = MIN(per_worker, d->cpu_millicores / step->cpu_millicores);
	per_worker = MIN(per_worker, d->memory_mb / step->memory_mb);
	return per_worker * d->rack_size;
}

/*
 * Completion time of the job alone on the fastest workers, including the time
 * lost by its planned failure.
 */
static int64_t shortest_completion_ns(const struct replay_deployment *d,
				      const struct replay_job *job)
{
	double sum_ns = 0;
	uint32_t i;

	for (i = 0; i < job->workload->step_count; i++) {
		const struct cq_workload_step *step = &job->workload->steps[i];
		double run_ns = (double)job->run_ns[i] / best_speed(d);

		if (step->same_rack && step->tasks > rack_capacity(d, step))
			run_ns *= REPLAY_REMOTE_FACTOR;
		sum_ns += run_ns;
		if (i == 0 && job->fails_once && !step->checkpointing)
			sum_ns += run_ns * REPLAY_FAILS_AT;
	}
	return (int64_t)sum_ns;
}

static void set_demand(struct demand *d,
		       const struct replay_deployment *deployment,
		       const struct replay_job *job, double worth,
		       int64_t deadline_ns)
{
	int64_t shortest_ns = shortest_completion_ns(deployment, job);
	double speed = best_speed(deployment);
	uint32_t width = 0;
	uint32_t i;

	for (i = 0; i < job->workload->step_count; i++) {
		const struct cq_workload_step *step = &job->workload->steps[i];

		width = MAX(width, step->tasks * step->accelerators);
	}
	memset(d, 0, sizeof(*d));
	d->worth = job->arrival_ns + shortest_ns <= deadline_ns ? worth : 0;
	d->remaining_work = (int64_t)(job->accelerator_s * CQ_MS_PER_S) + 1;
	d->max_per_slot = (int64_t)(width * speed * (double)SLOT_MS) + 1;
	d->first = (int)(job->arrival_ns / SLOT_NS);
	d->last = MIN(SLOT_COUNT - 1, (int)(deadline_ns / SLOT_NS));
}

/* Maximum worth up to the late limits if late, else up to the objectives. */
static double max_worth(const struct replay_deployment *deployment,
			const struct replay_load *load, const GArray *jobs,
			bool late)
{
	struct network n = { .count = jobs->len };
	double worth;
	guint i;

	n.demands = g_new0(struct demand, jobs->len);
	n.job_from = g_new0(int, jobs->len);
	n.job_seen = g_new0(bool, jobs->len);
	for (i = 0; i < jobs->len; i++) {
		const struct replay_job *job =
			&g_array_index(jobs, struct replay_job, i);

		set_demand(&n.demands[i], deployment, job,
			   late ? job->late_worth
				: job->worth - job->late_worth,
			   late ? job->late_ns : job->objective_ns);
	}
	set_slot_capacity(&n, deployment, load);
	worth = fill_slots(&n);
	g_free(n.demands);
	g_free(n.job_from);
	g_free(n.job_seen);
	return worth;
}

double replay_bound(const struct replay_deployment *deployment,
		    const struct replay_load *load, uint64_t seed)
{
	GArray *jobs = replay_jobs_create(deployment, load, seed);
	double earned = max_worth(deployment, load, jobs, false) +
			max_worth(deployment, load, jobs, true);
	double owed = 0;
	guint i;

	for (i = 0; i < jobs->len; i++)
		owed += g_array_index(jobs, struct replay_job, i).worth;
	replay_jobs_destroy(jobs);
	return earned / owed;
}
