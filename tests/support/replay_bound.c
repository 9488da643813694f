/*
 * Two flows of work into slots of time: one up to the late limits, for the
 * late worth, and one up to the objectives, for the rest of the worth. Each is
 * filled by the worth of a unit of work, dearest first, with the work of jobs
 * before it moved to other slots where that makes room; the sum of the two
 * maxima is not less than the maximum of the sum.
 */
#include "replay_bound.h"

#include <string.h>

#include "chestnutquay/clock.h"

#define SLOT_MS INT64_C(500)
#define SLOT_NS (SLOT_MS * CQ_NS_PER_MS)
#define SLOTS 256
/* Runs end on a data centre that leaves: their longest time. */
#define LONGEST_RUN_S 18.0

struct demand {
	double worth;
	int64_t work; /* accelerator-milliseconds left to place */
	int64_t most; /* in one slot */
	int first, last;
	int64_t flow[SLOTS];
};

struct network {
	struct demand *demands;
	guint count;
	int64_t left[SLOTS]; /* room in each slot */
	/* Search: what a slot was reached from, and a job through which. */
	int slot_from[SLOTS];
	int *job_from;
	bool *job_seen;
};

static double best_speed(const struct replay_deployment *d)
{
	return MAX(d->speeds[0], MAX(d->speeds[1], d->speeds[2]));
}

static gint by_density(gconstpointer a, gconstpointer b)
{
	const struct demand *left = a;
	const struct demand *right = b;
	double l = left->worth * (double)right->work;
	double r = right->worth * (double)left->work;

	return (l < r) - (l > r);
}

/* Visits the slots of a job; returns one with room, or -1. */
static int visit_job(struct network *n, guint job, GQueue *open)
{
	const struct demand *d = &n->demands[job];
	int s;

	for (s = d->first; s <= d->last; s++) {
		if (n->slot_from[s] >= 0 || d->flow[s] >= d->most)
			continue;
		n->slot_from[s] = (int)job;
		if (n->left[s] > 0)
			return s;
		g_queue_push_tail(open, GINT_TO_POINTER(s));
	}
	return -1;
}

/* A slot with room that the job's work reaches, perhaps by moving others'. */
static int find_path(struct network *n, guint job)
{
	GQueue open = G_QUEUE_INIT;
	int found;
	guint b;

	memset(n->job_seen, 0, n->count * sizeof(*n->job_seen));
	for (b = 0; b < SLOTS; b++)
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

static int64_t path_room(const struct network *n, int slot)
{
	int64_t room = n->left[slot];

	while (slot >= 0) {
		int job = n->slot_from[slot];
		const struct demand *d = &n->demands[job];

		room = MIN(room, d->most - d->flow[slot]);
		slot = n->job_from[job];
		if (slot >= 0)
			room = MIN(room, d->flow[slot]);
	}
	return room;
}

static void move_along(struct network *n, int slot, int64_t amount)
{
	n->left[slot] -= amount;
	while (slot >= 0) {
		int job = n->slot_from[slot];

		n->demands[job].flow[slot] += amount;
		slot = n->job_from[job];
		if (slot >= 0)
			n->demands[job].flow[slot] -= amount;
	}
}

static double fill(struct network *n)
{
	double worth = 0;
	guint i;

	g_qsort_with_data(n->demands, (gint)n->count, sizeof(*n->demands),
			  (GCompareDataFunc)(void (*)(void))by_density, NULL);
	for (i = 0; i < n->count; i++) {
		struct demand *d = &n->demands[i];
		int64_t whole = d->work;

		while (d->work > 0) {
			int slot = find_path(n, i);
			int64_t amount;

			if (slot < 0)
				break;
			amount = MIN(d->work, path_room(n, slot));
			move_along(n, slot, amount);
			d->work -= amount;
		}
		worth += d->worth * (double)(whole - d->work) / (double)whole;
	}
	return worth;
}

static void set_room(struct network *n, const struct replay_deployment *d,
		     const struct replay_load *load)
{
	double one = 0; /* data centre */
	uint32_t k;
	int s;

	for (k = 0; k < d->workers; k++)
		one += d->accelerators * d->speeds[k % G_N_ELEMENTS(d->speeds)];
	for (s = 0; s < SLOTS; s++) {
		double now_s =
			(double)s * (double)SLOT_NS / (double)CQ_NS_PER_S;
		bool left = load->leave_s != 0 &&
			    now_s > load->leave_s + LONGEST_RUN_S;

		n->left[s] = (int64_t)(one * (d->data_centres - left) *
				       (double)SLOT_MS) +
			     1;
	}
}

/* Tasks of the step that a rack without other work holds. */
static uint32_t rack_holds(const struct replay_deployment *d,
			   const struct cq_workload_step *step)
{
	uint32_t most = d->accelerators / step->accelerators;

	most = MIN(most, d->cpu_millicores / step->cpu_millicores);
	most = MIN(most, d->memory_mb / step->memory_mb);
	return most * d->rack_size;
}

/* Of the job alone on the best workers, with the failure that it meets. */
static int64_t quickest_ns(const struct replay_deployment *d,
			   const struct replay_job *job)
{
	double sum_ns = 0;
	uint32_t i;

	for (i = 0; i < job->workload->step_count; i++) {
		const struct cq_workload_step *step = &job->workload->steps[i];
		double run_ns = (double)job->run_ns[i] / best_speed(d);

		if (step->same_rack && step->tasks > rack_holds(d, step))
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
		       int64_t until_ns)
{
	int64_t quickest = quickest_ns(deployment, job);
	double speed = best_speed(deployment);
	uint32_t width = 0;
	uint32_t i;

	for (i = 0; i < job->workload->step_count; i++) {
		const struct cq_workload_step *step = &job->workload->steps[i];

		width = MAX(width, step->tasks * step->accelerators);
	}
	memset(d, 0, sizeof(*d));
	d->worth = job->arrival_ns + quickest <= until_ns ? worth : 0;
	d->work = (int64_t)(job->accelerator_s * CQ_MS_PER_S) + 1;
	d->most = (int64_t)(width * speed * (double)SLOT_MS) + 1;
	d->first = (int)(job->arrival_ns / SLOT_NS);
	d->last = MIN(SLOTS - 1, (int)(until_ns / SLOT_NS));
}

/* The most worth by the objectives, or by the late limits. */
static double most(const struct replay_deployment *deployment,
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
	set_room(&n, deployment, load);
	worth = fill(&n);
	g_free(n.demands);
	g_free(n.job_from);
	g_free(n.job_seen);
	return worth;
}

double replay_bound(const struct replay_deployment *deployment,
		    const struct replay_load *load, uint64_t seed)
{
	GArray *jobs = replay_jobs_create(deployment, load, seed);
	double earned = most(deployment, load, jobs, false) +
			most(deployment, load, jobs, true);
	double owed = 0;
	guint i;

	for (i = 0; i < jobs->len; i++)
		owed += g_array_index(jobs, struct replay_job, i).worth;
	replay_jobs_destroy(jobs);
	return earned / owed;
}
