#include "decisions_workload.h"

#include "chestnutquay/clock.h"

#define GB (UINT64_C(1) << 30)
/* Period in which jobs arrive. */
#define SPAN_S (4 * 3600.0)
#define MAX_CLASSES 3
#define MAX_SIZES 4
#define WORKSPACES 4
/* Share of the work of each class that arrives in bursts. */
#define BURST_SHARE 0.3
/* Period in which the jobs of one burst arrive. */
#define BURST_SPAN_S 30.0

struct job_size {
	double weight;
	uint32_t tasks;
	uint32_t accelerators;
	enum cq_adjacency adjacency;
};

struct job_class {
	const char *name;
	bool urgent;
	double load_share; /* share of the total accelerator time */
	double median_run_s;
	double sigma_run;
	uint32_t burst_jobs;
	bool can_checkpoint;
	struct job_size sizes[MAX_SIZES];
};

struct guarantee {
	uint32_t count;
	uint32_t accelerators;
	enum cq_adjacency adjacency;
};

struct deployment {
	const char *name;
	uint32_t dcs;
	uint32_t rack_size;
	uint32_t millicores;
	uint64_t memory_bytes;
	struct job_class classes[MAX_CLASSES];
	struct guarantee guarantees[WORKSPACES];
	double shares[WORKSPACES]; /* share of the jobs, by workspace */
};

const struct deployment deployment_garba = {
	.name = "garba",
	.dcs = 4,
	.rack_size = 6,
	.millicores = 130000,
	.memory_bytes = 500 * GB,
	.classes = {
		{ "pairing", true, 0.15, 40, 0.8, 60, false,
		  { { 0.6, 1, 1, CQ_ADJACENT_WORKER },
		    { 0.3, 1, 2, CQ_ADJACENT_WORKER },
		    { 0.1, 1, 4, CQ_ADJACENT_WORKER } } },
		{ "compatibility", false, 0.35, 480, 1.0, 20, true,
		  { { 0.5, 1, 2, CQ_ADJACENT_WORKER },
		    { 0.3, 1, 4, CQ_ADJACENT_WORKER },
		    { 0.2, 2, 4, CQ_ADJACENT_RACK } } },
		{ "refresh", false, 0.5, 2400, 0.8, 6, true,
		  { { 0.5, 1, 4, CQ_ADJACENT_WORKER },
		    { 0.3, 1, 8, CQ_ADJACENT_WORKER },
		    { 0.15, 2, 8, CQ_ADJACENT_RACK },
		    { 0.05, 8, 8, CQ_ADJACENT_DC } } },
	},
	.guarantees = {
		{ 14, 8, CQ_ADJACENT_WORKER },
		{ 10, 8, CQ_ADJACENT_WORKER },
		{ 4, 16, CQ_ADJACENT_RACK },
		{ 16, 2, CQ_ADJACENT_WORKER },
	},
	.shares = { 0.38, 0.27, 0.2, 0.15 },
};

const struct deployment deployment_tapa = {
	.name = "tapa",
	.dcs = 3,
	.rack_size = 8,
	.millicores = 60000,
	.memory_bytes = 130 * GB,
	.classes = {
		{ "seal-fit", true, 0.1, 30, 0.7, 60, false,
		  { { 0.8, 1, 1, CQ_ADJACENT_WORKER },
		    { 0.2, 1, 2, CQ_ADJACENT_WORKER } } },
		{ "simulation", false, 0.7, 3600, 0.8, 8, true,
		  { { 0.4, 1, 4, CQ_ADJACENT_WORKER },
		    { 0.4, 1, 8, CQ_ADJACENT_WORKER },
		    { 0.15, 2, 8, CQ_ADJACENT_RACK },
		    { 0.05, 4, 8, CQ_ADJACENT_RACK } } },
		{ "preview", false, 0.2, 240, 1.0, 40, false,
		  { { 0.7, 1, 1, CQ_ADJACENT_WORKER },
		    { 0.3, 1, 2, CQ_ADJACENT_WORKER } } },
	},
	.guarantees = {
		{ 12, 8, CQ_ADJACENT_WORKER },
		{ 3, 32, CQ_ADJACENT_RACK },
		{ 8, 8, CQ_ADJACENT_WORKER },
		{ 16, 2, CQ_ADJACENT_WORKER },
	},
	.shares = { 0.35, 0.3, 0.22, 0.13 },
};

const char *deployment_name(const struct deployment *deployment)
{
	return deployment->name;
}

struct fleet_builder *deployment_fleet(const struct deployment *deployment)
{
	static const char *const names[] = { "ws0", "ws1", "ws2", "ws3" };
	struct fleet_builder *fleet = fleet_builder_create(
		deployment->dcs, 50, deployment->rack_size, 8,
		deployment->millicores, deployment->memory_bytes);
	uint32_t i;

	for (i = 0; i < MAX_CLASSES; i++)
		fleet_add_class(fleet, deployment->classes[i].name,
				deployment->classes[i].urgent);
	for (i = 0; i < WORKSPACES; i++) {
		fleet_add_workspace(fleet, names[i]);
		fleet_add_guarantee(fleet, i, deployment->guarantees[i].count,
				    deployment->guarantees[i].accelerators,
				    deployment->guarantees[i].adjacency);
	}
	return fleet;
}

static const struct job_size *pick_size(const struct job_class *class,
					struct random_source *random)
{
	double at = random_unit(random);
	uint32_t i;

	for (i = 0; i + 1 < MAX_SIZES && class->sizes[i + 1].tasks; i++) {
		at -= class->sizes[i].weight;
		if (at < 0)
			break;
	}
	return &class->sizes[i];
}

static uint32_t pick_workspace(const struct deployment *deployment,
			       struct random_source *random)
{
	double at = random_unit(random);
	uint32_t i;

	for (i = 0; i + 1 < WORKSPACES; i++) {
		at -= deployment->shares[i];
		if (at < 0)
			break;
	}
	return i;
}

/* Returns the accelerator-seconds of the job. */
static double add_job(const struct deployment *deployment, struct sim *sim,
		      struct random_source *random, uint32_t class_index,
		      uint32_t workspace, double at_s)
{
	/*
	 * Factors by which the users of a workspace misjudge the run time of
	 * jobs of a class.
	 */
	static const double bias[WORKSPACES][MAX_CLASSES] = {
		{ 4, 0.3, 2 }, { 0.25, 6, 0.5 }, { 8, 2, 5 }, { 1, 0.2, 0.15 }
	};
	const struct job_class *class = &deployment->classes[class_index];
	const struct job_size *size = pick_size(class, random);
	double run_s =
		random_lognormal(random, class->median_run_s, class->sigma_run);
	double declared_s = run_s * bias[workspace][class_index] *
			    random_lognormal(random, 1, 0.4);
	double size_factor = 0.5 + 0.5 * random_unit(random);
	struct sim_job *job = sim_add_job(
		sim, (int64_t)(at_s * (double)CQ_NS_PER_S), workspace,
		class_index, size->tasks, size->accelerators,
		(int64_t)(declared_s * (double)CQ_NS_PER_S),
		(int64_t)(run_s * (double)CQ_NS_PER_S));

	job->spec.adjacency = size->adjacency;
	job->spec.millicores = (uint32_t)(deployment->millicores / 8.0 *
					  size->accelerators * size_factor);
	job->spec.memory_bytes =
		(uint64_t)((double)deployment->memory_bytes / 8.0 *
			   size->accelerators * size_factor);
	job->spec.can_checkpoint = class->can_checkpoint;
	job->spec.checkpoint_cost_ns = 10 * CQ_NS_PER_S;
	job->spec.restart_cost_ns = 20 * CQ_NS_PER_S;
	return run_s * size->tasks * size->accelerators;
}

/*
 * Adds jobs of one class until their accelerator-seconds reach work. Bursts,
 * each from one workspace, come first, then single jobs at random times.
 */
static void add_class(const struct deployment *deployment, struct sim *sim,
		      struct random_source *random, uint32_t class_index,
		      double work)
{
	const struct job_class *class = &deployment->classes[class_index];
	double done = 0;
	uint32_t i;

	while (done < work * BURST_SHARE) {
		double at_s = random_unit(random) * SPAN_S;
		uint32_t workspace = pick_workspace(deployment, random);

		for (i = 0; i < class->burst_jobs; i++)
			done += add_job(
				deployment, sim, random, class_index, workspace,
				at_s + random_unit(random) * BURST_SPAN_S);
	}
	while (done < work)
		done += add_job(deployment, sim, random, class_index,
				pick_workspace(deployment, random),
				random_unit(random) * SPAN_S);
}

void deployment_jobs(const struct deployment *deployment, struct sim *sim,
		     double load, uint64_t seed)
{
	struct random_source random = { { seed } };
	double work = load * SPAN_S * 50 * 8;
	uint32_t i;

	for (i = 0; i < MAX_CLASSES; i++)
		add_class(deployment, sim, &random, i,
			  work * deployment->classes[i].load_share);
}
