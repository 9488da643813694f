#include "replay_jobs.h"

#include <math.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/text.h"
#include "tests/support/random_source.h"

/* Ratio of the late limit to the objective, both from arrival. */
#define LATE_FACTOR 3
/* Share of the accelerators guaranteed to all workspaces together. */
#define GUARANTEED_SHARE 0.62
/*
 * Factors on the worth of the class: the part that does not depend on the work
 * of the job, and the upper bound. A job of mean work has a factor of 1.
 */
#define WORTH_BASE 0.3
#define WORTH_MAX 4.0
/* Jobs sampled to estimate the mean work of a class, and their seed. */
#define WORK_SAMPLES 2000
#define WORK_SAMPLE_SEED 1
#define ACCELERATOR_CHOICES 5

static const uint32_t gang_sizes[ACCELERATOR_CHOICES] = { 1, 2, 4, 8, 8 };
static const uint32_t single_accelerator[ACCELERATOR_CHOICES] = { 1, 1, 1, 1,
								  1 };

const struct replay_deployment replay_garba = {
	.name = "garba",
	.data_centres = 4,
	.workers = 12,
	.rack_size = 6,
	.cpu_millicores = 128000,
	.memory_mb = 524288,
	.accelerators = 8,
	.speeds = { 1.0, 1.0, 1.3 },
	.classes = {
		{ .name = "pairing", .priority = 1, .worth = 3,
		  .late_share = 0.9, .stretch = 3, .target_runtime_ms = 1000,
		  .arrival_share = 0.21, .mean_tasks = 5, .spread_tasks = 0.8,
		  .max_tasks = 30, .mean_run_ms = 6800, .spread_run = 0.3,
		  .max_run_ms = 11000, .run_time_variation = 0.3, .estimate_error = 0.5,
		  .accelerators = gang_sizes, .cpu_millicores = 52000,
		  .memory_mb = 210000, .gang = true, .same_rack_share = 0.6,
		  .checkpoint_share = 0.45, .failure_share = 0.05 },
		{ .name = "check", .priority = 0, .worth = 4,
		  .late_share = 0.8, .stretch = 1.5, .target_runtime_ms = 250,
		  .arrival_share = 0.63, .mean_tasks = 3.4, .spread_tasks = 0.8,
		  .max_tasks = 21, .mean_run_ms = 2500, .spread_run = 0.5,
		  .max_run_ms = 8000, .run_time_variation = 0.3, .estimate_error = 0.9,
		  .accelerators = gang_sizes, .cpu_millicores = 15000,
		  .memory_mb = 61000, .gang = true, .same_rack_share = 0.8,
		  .failure_share = 0.05 },
		{ .name = "refresh", .priority = 2, .worth = 1,
		  .late_share = 0.3, .stretch = 3, .target_runtime_ms = 3000,
		  .arrival_share = 0.16, .mean_tasks = 16, .spread_tasks = 0.8,
		  .max_tasks = 94, .mean_run_ms = 7600, .spread_run = 0.3,
		  .max_run_ms = 11000, .run_time_variation = 0.15, .estimate_error = 0.5,
		  .accelerators = single_accelerator, .cpu_millicores = 11000,
		  .memory_mb = 59000, .checkpoint_share = 0.45,
		  .two_steps_share = 0.3, .failure_share = 0.05 },
	},
};

const struct replay_deployment replay_tapa = {
	.name = "tapa",
	.data_centres = 3,
	.workers = 16,
	.rack_size = 8,
	.cpu_millicores = 64000,
	.memory_mb = 131072,
	.accelerators = 8,
	.speeds = { 0.8, 1.0, 1.25 },
	.classes = {
		{ .name = "crack", .priority = 1, .worth = 3,
		  .late_share = 0.9, .stretch = 3, .target_runtime_ms = 1000,
		  .arrival_share = 0.25, .mean_tasks = 4, .spread_tasks = 0.8,
		  .max_tasks = 24, .mean_run_ms = 8500, .spread_run = 0.3,
		  .max_run_ms = 11000, .run_time_variation = 0.15, .estimate_error = 0.9,
		  .accelerators = gang_sizes, .cpu_millicores = 26000,
		  .memory_mb = 68000, .gang = true, .same_rack_share = 0.6,
		  .checkpoint_share = 0.45, .failure_share = 0.005 },
		{ .name = "seal", .priority = 0, .worth = 4,
		  .late_share = 0.8, .stretch = 1.5, .target_runtime_ms = 250,
		  .arrival_share = 0.55, .mean_tasks = 3, .spread_tasks = 0.8,
		  .max_tasks = 18, .mean_run_ms = 2500, .spread_run = 0.5,
		  .max_run_ms = 8000, .run_time_variation = 0.3, .estimate_error = 0.9,
		  .accelerators = gang_sizes, .cpu_millicores = 7500,
		  .memory_mb = 11000, .gang = true, .same_rack_share = 0.8,
		  .failure_share = 0.05 },
		{ .name = "preview", .priority = 2, .worth = 1,
		  .late_share = 0.3, .stretch = 3, .target_runtime_ms = 3000,
		  .arrival_share = 0.2, .mean_tasks = 12, .spread_tasks = 0.8,
		  .max_tasks = 72, .mean_run_ms = 9500, .spread_run = 0.3,
		  .max_run_ms = 11000, .run_time_variation = 0.3, .estimate_error = 0.2,
		  .accelerators = single_accelerator, .cpu_millicores = 5600,
		  .memory_mb = 8200, .checkpoint_share = 0.45,
		  .two_steps_share = 0.3, .failure_share = 0.005 },
	},
};

const struct replay_load replay_loads[] = {
	{ .name = "steady", .share = 0.7, .burst_class = -1 },
	{ .name = "overload", .share = 1.2, .burst_class = -1 },
	{ .name = "urgent burst",
	  .share = 0.6,
	  .burst_class = 1,
	  .burst_factor = 4,
	  .burst_from_s = 8,
	  .burst_to_s = 14 },
	{ .name = "bulk burst",
	  .share = 0.6,
	  .burst_class = 2,
	  .burst_factor = 4,
	  .burst_from_s = 4,
	  .burst_to_s = 10 },
	{ .name = "data centre leaves",
	  .share = 0.75,
	  .burst_class = -1,
	  .dc_out_from_s = 12 },
};

const size_t replay_load_count = G_N_ELEMENTS(replay_loads);

/* A lognormal value with this mean, clamped to between 1 and max. */
static double random_clamped_lognormal(struct random_source *random,
				       double mean, double spread, double max)
{
	double median = mean / exp(spread * spread / 2);
	double value = random_lognormal(random, median, spread);

	return CLAMP(value, 1, max);
}

/* A uniform factor between 1 - error and 1 + error. */
static double random_error_factor(struct random_source *random, double error)
{
	return 1 + error * (2 * random_unit(random) - 1);
}

static void fill_step(struct replay_job *job, uint32_t i,
		      const struct replay_class *class,
		      struct random_source *random)
{
	struct cq_workload_step *step = &job->workload->steps[i];
	double run_ms = random_clamped_lognormal(random, class->mean_run_ms,
						 class->spread_run,
						 class->max_run_ms);

	step->tasks = (uint32_t)random_clamped_lognormal(random,
							 class->mean_tasks,
							 class->spread_tasks,
							 class->max_tasks);
	step->accelerators =
		class->accelerators[random_below(random, ACCELERATOR_CHOICES)];
	step->cpu_millicores = class->cpu_millicores;
	step->memory_mb = class->memory_mb;
	step->gang = class->gang;
	step->same_rack = class->gang &&
			  random_unit(random) < class->same_rack_share;
	step->checkpointing = random_unit(random) < class->checkpoint_share;
	step->estimate_ms =
		(int64_t)(run_ms *
			  random_error_factor(random, class->estimate_error)) +
		1;
	step->after = i ? 1 : 0;
	job->run_ns[i] = (int64_t)(run_ms *
				   random_error_factor(
					   random, class->run_time_variation) *
				   (double)CQ_NS_PER_MS);
	job->accelerator_s += (double)job->run_ns[i] / (double)CQ_NS_PER_S *
			      step->tasks * step->accelerators;
}

static void fill_job(struct replay_job *job, uint32_t class_index,
		     const struct replay_deployment *deployment,
		     struct random_source *random)
{
	const struct replay_class *class = &deployment->classes[class_index];
	uint32_t steps = random_unit(random) < class->two_steps_share ? 2 : 1;
	uint32_t i;

	job->class_index = class_index;
	job->data_centre = random_below(random, deployment->data_centres);
	job->fails_once = random_unit(random) < class->failure_share;
	job->workload = cq_workload_create();
	job->workload->steps = g_new0(struct cq_workload_step, steps);
	job->workload->step_count = steps;
	cq_text_set(&job->workload->queue, class->name);
	cq_text_printf(&job->workload->workspace, "ws%u",
		       random_below(random, REPLAY_WORKSPACES));
	for (i = 0; i < steps; i++)
		fill_step(job, i, class, random);
}

/* Mean work of a job of the class, in accelerator-seconds. */
static double mean_work(const struct replay_deployment *deployment,
			uint32_t class_index)
{
	struct random_source random = { { WORK_SAMPLE_SEED } };
	double sum = 0;
	int i;

	for (i = 0; i < WORK_SAMPLES; i++) {
		struct replay_job job = { 0 };

		fill_job(&job, class_index, deployment, &random);
		sum += job.accelerator_s;
		cq_workload_destroy(job.workload);
	}
	return sum / WORK_SAMPLES;
}

static void set_worth(struct replay_job *job, const struct replay_class *class,
		      double mean_accelerator_s)
{
	double size = WORTH_BASE + (1 - WORTH_BASE) * job->accelerator_s /
					   mean_accelerator_s;
	int64_t critical_path_ns = job->run_ns[0] + job->run_ns[1];
	int64_t allowed_ns =
		(int64_t)(class->stretch * (double)critical_path_ns) +
		(int64_t) class->target_runtime_ms * CQ_NS_PER_MS;

	job->worth = class->worth * MIN(size, WORTH_MAX);
	job->late_worth = job->worth * class->late_share;
	job->objective_ns = job->arrival_ns + allowed_ns;
	job->late_ns = job->arrival_ns + LATE_FACTOR * allowed_ns;
}

/* Arrival rate of the class at the time now_s. */
static double arrivals_per_s(const struct replay_load *load,
			     uint32_t class_index, double usual_per_s,
			     double now_s)
{
	if ((int)class_index == load->burst_class &&
	    now_s >= load->burst_from_s && now_s < load->burst_to_s)
		return usual_per_s * load->burst_factor;
	return usual_per_s;
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const struct replay_job *left = a;
	const struct replay_job *right = b;

	if (left->arrival_ns != right->arrival_ns)
		return left->arrival_ns < right->arrival_ns ? -1 : 1;
	return (left->class_index > right->class_index) -
	       (left->class_index < right->class_index);
}

static void add_class(GArray *jobs, const struct replay_deployment *deployment,
		      const struct replay_load *load, uint32_t class_index,
		      double usual_per_s, struct random_source *random)
{
	const struct replay_class *class = &deployment->classes[class_index];
	double usual_work = mean_work(deployment, class_index);
	double now_s = 0;

	for (;;) {
		struct replay_job job = { 0 };

		now_s -= log(1 - random_unit(random)) /
			 arrivals_per_s(load, class_index, usual_per_s, now_s);
		if (now_s >= REPLAY_SPAN_S)
			return;
		job.arrival_ns = (int64_t)(now_s * (double)CQ_NS_PER_S);
		fill_job(&job, class_index, deployment, random);
		set_worth(&job, class, usual_work);
		g_array_append_val(jobs, job);
	}
}

GArray *replay_jobs_create(const struct replay_deployment *deployment,
			   const struct replay_load *load, uint64_t seed)
{
	struct random_source random = { { seed } };
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct replay_job));
	double work_s = 0;
	double per_s;
	uint32_t i;

	for (i = 0; i < REPLAY_CLASSES; i++)
		work_s += deployment->classes[i].arrival_share *
			  mean_work(deployment, i);
	per_s = load->share * deployment->data_centres * deployment->workers *
		deployment->accelerators / work_s;
	for (i = 0; i < REPLAY_CLASSES; i++)
		add_class(jobs, deployment, load, i,
			  per_s * deployment->classes[i].arrival_share,
			  &random);
	g_array_sort(jobs, compare_arrivals);
	for (i = 0; i < jobs->len; i++) {
		struct cq_workload *w =
			g_array_index(jobs, struct replay_job, i).workload;

		g_snprintf(w->id, sizeof(w->id), "%016u", i);
	}
	return jobs;
}

void replay_jobs_destroy(GArray *jobs)
{
	guint i;

	for (i = 0; i < jobs->len; i++)
		cq_workload_destroy(
			g_array_index(jobs, struct replay_job, i).workload);
	g_array_unref(jobs);
}

struct cq_queue_config *
replay_config_create(const struct replay_deployment *deployment)
{
	struct cq_queue_config *config = g_new0(struct cq_queue_config, 1);
	uint32_t total = deployment->data_centres * deployment->workers *
			 deployment->accelerators;
	uint32_t i;

	config->queues = g_new0(struct cq_queue, REPLAY_CLASSES);
	config->queue_count = REPLAY_CLASSES;
	for (i = 0; i < REPLAY_CLASSES; i++) {
		const struct replay_class *class = &deployment->classes[i];
		struct cq_queue *queue = &config->queues[i];

		cq_text_set(&queue->name, class->name);
		cq_text_set(&queue->service, "s");
		queue->priority = class->priority;
		queue->stretch = class->stretch;
		queue->target_runtime_ms = class->target_runtime_ms;
		queue->max_attempts = 3;
	}
	config->workspaces =
		g_new0(struct cq_workspace_keys, REPLAY_WORKSPACES);
	config->workspace_count = REPLAY_WORKSPACES;
	for (i = 0; i < REPLAY_WORKSPACES; i++) {
		cq_text_printf(&config->workspaces[i].name, "ws%u", i);
		config->workspaces[i].guaranteed_accelerators =
			(uint32_t)(total * GUARANTEED_SHARE) /
			REPLAY_WORKSPACES;
	}
	return config;
}

void replay_config_destroy(struct cq_queue_config *config)
{
	cq_queue_config_destroy(config);
}
