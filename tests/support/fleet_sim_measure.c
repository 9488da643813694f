#include "fleet_sim_measure.h"

#include "chestnutquay/clock.h"

/* Shape of a gang, or of the gang that would use all of a guaranteed shape. */
struct shape {
	uint32_t tasks;
	uint32_t accelerators;
	enum cq_adjacency adjacency;
};

static uint32_t shape_accelerators(struct shape shape)
{
	return shape.tasks * shape.accelerators;
}

static struct shape shape_of_guarantee(const struct sim *sim,
				       const struct cq_fleet_guarantee *entry)
{
	uint32_t per_worker = fleet_worker(sim->fleet, 0)->accelerators;
	struct shape shape = { 1, entry->accelerators, entry->adjacency };

	if (entry->accelerators > per_worker) {
		shape.tasks = entry->accelerators / per_worker;
		shape.accelerators = per_worker;
	}
	return shape;
}

/*
 * The largest shape that is guaranteed or waits. Of guaranteed shapes of equal
 * size, the one with the tightest adjacency.
 */
static struct shape largest_shape(struct sim *sim)
{
	struct shape largest = { 1, 1, CQ_ADJACENT_DC };
	uint32_t i;

	for (i = 0; i < sim->fleet->guarantees->len; i++) {
		struct shape shape = shape_of_guarantee(
			sim, &g_array_index(sim->fleet->guarantees,
					    struct cq_fleet_guarantee, i));

		if (shape_accelerators(shape) > shape_accelerators(largest) ||
		    (shape_accelerators(shape) == shape_accelerators(largest) &&
		     shape.adjacency < largest.adjacency))
			largest = shape;
	}
	for (i = 0; i < sim->active->len; i++) {
		const struct sim_job *job = sim_job_of_snapshot(sim, i);
		struct shape shape = { job->spec.tasks, job->spec.accelerators,
				       job->spec.adjacency };

		if (job->state == SIM_WAITING &&
		    shape_accelerators(shape) > shape_accelerators(largest))
			largest = shape;
	}
	return largest;
}

/* Key of the worker, rack or data centre within which a shape has to fit. */
static uint64_t region_of(const struct cq_fleet_worker *worker, uint32_t index,
			  enum cq_adjacency adjacency)
{
	if (adjacency == CQ_ADJACENT_WORKER)
		return index + 1;
	if (adjacency == CQ_ADJACENT_RACK)
		return ((uint64_t)worker->dc << 32) + worker->rack + 1;
	return worker->dc + 1;
}

static uint32_t *count_free_accelerators(const struct sim *sim)
{
	uint32_t count = sim->fleet->workers->len;
	uint32_t *free_count = g_new0(uint32_t, count + 1);
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++) {
		const struct cq_fleet_worker *worker =
			fleet_worker(sim->fleet, i);

		if (worker->state == CQ_WORKER_UP &&
		    g_array_index(sim->fleet->dcs, struct cq_fleet_dc,
				  worker->dc)
				    .state == CQ_DC_IN)
			free_count[i] = worker->accelerators;
	}
	for (i = 0; i < sim->active->len; i++) {
		const struct sim_job *job =
			sim_job_of_snapshot((struct sim *)sim, i);

		if (job->state != SIM_RUNNING)
			continue;
		for (k = 0; k < job->spec.tasks; k++) {
			uint32_t *entry =
				&free_count[job->placements[k].worker];

			*entry -= MIN(*entry, job->spec.accelerators);
		}
	}
	return free_count;
}

void sim_measure_interval(struct sim *sim, int64_t interval_ns)
{
	uint32_t *free_count = count_free_accelerators(sim);
	struct shape shape = largest_shape(sim);
	GHashTable *regions = g_hash_table_new(NULL, NULL);
	double interval_s = (double)interval_ns / (double)CQ_NS_PER_S;
	GHashTableIter iter;
	gpointer value;
	uint32_t total = 0;
	uint32_t capacity = 0;
	uint32_t usable = 0;
	uint32_t i;

	for (i = 0; i < sim->fleet->workers->len; i++) {
		gpointer key = GSIZE_TO_POINTER(region_of(
			fleet_worker(sim->fleet, i), i, shape.adjacency));
		uint32_t tasks = free_count[i] / MAX(shape.accelerators, 1U);

		total += free_count[i];
		capacity += fleet_worker(sim->fleet, i)->accelerators;
		tasks += GPOINTER_TO_UINT(g_hash_table_lookup(regions, key));
		g_hash_table_insert(regions, key, GUINT_TO_POINTER(tasks));
	}
	g_hash_table_iter_init(&iter, regions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		usable += GPOINTER_TO_UINT(value) / shape.tasks *
			  shape_accelerators(shape);
	sim->stats.free_accelerator_s += total * interval_s;
	sim->stats.unusable_accelerator_s += (total - usable) * interval_s;
	sim->stats.capacity_accelerator_s += capacity * interval_s;
	g_hash_table_destroy(regions);
	g_free(free_count);
}

/*
 * Whether the job fits into the guaranteed shapes that the running tasks of
 * its workspace leave unused. These shapes are counted as if the running tasks
 * were packed perfectly.
 */
static bool is_within_guarantee(struct sim *sim, const struct sim_job *job,
				const int64_t *used)
{
	int64_t unused = -used[job->spec.workspace];
	uint32_t tasks = 0;
	uint32_t i;

	for (i = 0; i < sim->fleet->guarantees->len; i++) {
		const struct cq_fleet_guarantee *entry = &g_array_index(
			sim->fleet->guarantees, struct cq_fleet_guarantee, i);
		struct shape shape = shape_of_guarantee(sim, entry);
		int64_t unused_shapes;

		if (entry->workspace != job->spec.workspace)
			continue;
		unused += (int64_t)entry->count * entry->accelerators;
		unused_shapes = CLAMP(unused / entry->accelerators, 0,
				      (int64_t)entry->count);
		/* A gang within a rack needs a shape that is within a rack. */
		if (job->spec.tasks > 1 &&
		    job->spec.adjacency < entry->adjacency)
			continue;
		if (job->spec.tasks > 1 && job->spec.tasks > shape.tasks)
			continue;
		tasks += (uint32_t)unused_shapes * shape.tasks *
			 (shape.accelerators / job->spec.accelerators);
	}
	return tasks >= job->spec.tasks;
}

static int64_t guaranteed_total(const struct sim *sim)
{
	int64_t total = 0;
	uint32_t i;

	for (i = 0; i < sim->fleet->guarantees->len; i++) {
		const struct cq_fleet_guarantee *entry = &g_array_index(
			sim->fleet->guarantees, struct cq_fleet_guarantee, i);

		total += (int64_t)entry->count * entry->accelerators;
	}
	return total;
}

static int64_t usable_total(const struct sim *sim)
{
	int64_t total = 0;
	uint32_t i;

	for (i = 0; i < sim->fleet->workers->len; i++) {
		const struct cq_fleet_worker *worker =
			fleet_worker(sim->fleet, i);

		if (worker->state == CQ_WORKER_UP &&
		    g_array_index(sim->fleet->dcs, struct cq_fleet_dc,
				  worker->dc)
				    .state == CQ_DC_IN)
			total += worker->accelerators;
	}
	return total;
}

void sim_measure_guarantees(struct sim *sim, int64_t urgent_miss_ns,
			    int64_t other_miss_ns)
{
	int64_t *used = g_new0(int64_t, sim->fleet->workspaces->len + 1);
	bool lacks_capacity = usable_total(sim) < guaranteed_total(sim);
	uint32_t i;

	for (i = 0; i < sim->active->len; i++) {
		const struct sim_job *job = sim_job_of_snapshot(sim, i);

		if (job->state == SIM_RUNNING)
			used[job->spec.workspace] +=
				(int64_t)job->spec.accelerators *
				job->spec.tasks;
	}
	for (i = 0; i < sim->active->len; i++) {
		struct sim_job *job = sim_job_of_snapshot(sim, i);
		bool urgent = g_array_index(sim->fleet->classes,
					    struct cq_fleet_class,
					    job->spec.class_index)
				      .urgent;
		int64_t limit_ns = urgent ? urgent_miss_ns : other_miss_ns;

		if (job->state != SIM_WAITING || lacks_capacity ||
		    job->spec.accelerators == 0 ||
		    !is_within_guarantee(sim, job, used)) {
			job->eligible_since_ns = -1;
			continue;
		}
		/* Two jobs must not count on the same unused shape. */
		used[job->spec.workspace] +=
			(int64_t)job->spec.accelerators * job->spec.tasks;
		if (job->eligible_since_ns < 0)
			job->eligible_since_ns = sim->fleet->now_ns;
		if (!job->guarantee_missed &&
		    sim->fleet->now_ns - job->eligible_since_ns > limit_ns) {
			job->guarantee_missed = true;
			sim->stats.guarantee_misses++;
		}
	}
	g_free(used);
}

double sim_useful_accelerator_s(const struct sim *sim)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < sim->jobs->len; i++) {
		const struct sim_job *job =
			&g_array_index(sim->jobs, struct sim_job, i);

		sum += (double)sim_progress_ns(job, sim->fleet->now_ns) /
		       (double)CQ_NS_PER_S * (double)job->spec.accelerators *
		       job->spec.tasks;
	}
	return sum;
}
