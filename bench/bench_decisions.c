/*
 * Replays job traces with the planner and with two baseline schedulers in
 * virtual time, and measures the run time of the planner. Prints one JSON
 * object per line.
 */
#include <stdio.h>
#include <stdlib.h>

#include "chestnutquay/clock.h"
#include "decisions_baselines.h"
#include "decisions_plan_time.h"
#include "decisions_workload.h"

/* Work that arrives in four hours, relative to the fleet's capacity then. */
#define LOAD_PERCENT 90
#define OVERLOAD_PERCENT 130
#define SEED 20261204
/* A replay stops here at the latest; open jobs then count as finished. */
#define HORIZON_NS (40 * 3600 * CQ_NS_PER_S)
/* Times of taking a data centre out of service and returning it. */
#define DC_OUT_NS (1 * 3600 * CQ_NS_PER_S)
#define NOTICE_NS (600 * CQ_NS_PER_S)
#define DC_IN_NS (2 * 3600 * CQ_NS_PER_S)
#define WINDOW_END_NS (3 * 3600 * CQ_NS_PER_S)
/* Interval of the checkpoints that jobs take by themselves. */
#define CHECKPOINT_INTERVAL_NS (600 * CQ_NS_PER_S)
#define MAX_CLASSES 3
#define NO_TARGET (-1.0)

enum scheduler {
	PLANNER,
	FIFO_FIRST_FIT,
	STRICT_QUOTA_BEST_FIT,
	SCHEDULER_COUNT,
};

static const char *const scheduler_names[] = {
	[PLANNER] = "planner",
	[FIFO_FIRST_FIT] = "fifo_first_fit",
	[STRICT_QUOTA_BEST_FIT] = "strict_quota_best_fit",
};

/* Statistics of a list of durations. */
struct summary {
	double mean_s;
	double p50_s;
	double p99_s;
};

struct replay_summary {
	struct summary all; /* completion times */
	struct summary classes[MAX_CLASSES];
	struct summary all_runs; /* run times */
	struct summary top_runs; /* run times of the urgent class */
	double fragmentation;	 /* unusable share of the free accelerators */
	double unusable;	 /* unusable share of all accelerators */
	/* Useful accelerator-seconds from DC_OUT_NS to WINDOW_END_NS. */
	double useful_s;
	double lost_s;		   /* accelerator-seconds of discarded work */
	struct summary reclaim;	   /* submission to start, after a reclaim */
	uint64_t guarantee_misses; /* jobs whose guarantee was not met */
	uint64_t partial_gangs;
	uint64_t unfinished;
};

static void print_line(const char *metric, const char *unit, double value,
		       double baseline, double target, const char *better)
{
	printf("{\"bench\":\"decisions\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.4g,",
	       metric, unit, value);
	if (baseline >= 0)
		printf("\"baseline\":%.4g,", baseline);
	else
		printf("\"baseline\":null,");
	if (target >= 0)
		printf("\"target\":%.4g,", target);
	else
		printf("\"target\":null,");
	printf("\"better\":\"%s\"}\n", better);
	fflush(stdout);
}

static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static struct summary summarize(GArray *seconds)
{
	struct summary summary = { 0 };
	double *values = (double *)(void *)seconds->data;
	uint32_t i;

	if (seconds->len == 0)
		return summary;
	qsort(values, seconds->len, sizeof(*values), compare_doubles);
	for (i = 0; i < seconds->len; i++)
		summary.mean_s += values[i] / seconds->len;
	summary.p50_s = values[seconds->len / 2];
	summary.p99_s = values[(uint32_t)(seconds->len * 0.99)];
	return summary;
}

static struct summary summarize_class(struct sim *sim, int class_index,
				      uint64_t *unfinished)
{
	GArray *seconds = g_array_new(FALSE, FALSE, sizeof(double));
	struct summary summary;
	uint32_t i;

	for (i = 0; i < sim->jobs->len; i++) {
		const struct sim_job *job = sim_job_at(sim, i);
		int64_t end_ns = job->state == SIM_DONE ? job->finished_ns
							: sim->fleet->now_ns;
		double took_s = (double)(end_ns - job->spec.submitted_ns) /
				(double)CQ_NS_PER_S;

		if (class_index >= 0 &&
		    job->spec.class_index != (uint32_t)class_index)
			continue;
		if (job->state != SIM_DONE && unfinished)
			(*unfinished)++;
		g_array_append_val(seconds, took_s);
	}
	summary = summarize(seconds);
	g_array_free(seconds, TRUE);
	return summary;
}

/*
 * Summarizes the run times of the jobs, which are a lower bound of completion
 * times under any schedule.
 */
static struct summary summarize_runs(struct sim *sim, int class_index)
{
	GArray *seconds = g_array_new(FALSE, FALSE, sizeof(double));
	struct summary summary;
	uint32_t i;

	for (i = 0; i < sim->jobs->len; i++) {
		const struct sim_job *job = sim_job_at(sim, i);
		double run_s = (double)job->true_run_ns / (double)CQ_NS_PER_S;

		if (class_index < 0 ||
		    job->spec.class_index == (uint32_t)class_index)
			g_array_append_val(seconds, run_s);
	}
	summary = summarize(seconds);
	g_array_free(seconds, TRUE);
	return summary;
}

static struct summary summarize_reclaim(const struct sim *sim)
{
	GArray *seconds = g_array_new(FALSE, FALSE, sizeof(double));
	struct summary summary;
	uint32_t i;

	for (i = 0; i < sim->stats.reclaim_ns->len; i++) {
		double took_s = (double)g_array_index(sim->stats.reclaim_ns,
						      int64_t, i) /
				(double)CQ_NS_PER_S;

		g_array_append_val(seconds, took_s);
	}
	summary = summarize(seconds);
	g_array_free(seconds, TRUE);
	return summary;
}

static struct replay_summary replay(const struct deployment *deployment,
				    enum scheduler scheduler, int load_percent,
				    bool dc_out)
{
	struct fleet_builder *fleet = deployment_fleet(deployment);
	struct cq_planner *planner = cq_planner_create();
	sim_plan_fn *plan = scheduler == PLANNER ? sim_plan_with_planner
			    : scheduler == FIFO_FIRST_FIT ? baseline_fifo
							  : baseline_quota;
	struct sim *sim = sim_create(fleet, plan, planner);
	struct replay_summary result = { 0 };
	double before = -1;
	double after = -1;
	uint32_t i;

	sim->planner = planner;
	sim->measure = true;
	sim->checkpoint_interval_ns = CHECKPOINT_INTERVAL_NS;
	sim->usage_report_delay_ns = 30 * CQ_NS_PER_S;
	deployment_jobs(deployment, sim, load_percent / 100.0, SEED);
	if (dc_out) {
		sim_add_event(sim, DC_OUT_NS, SIM_DC_OUT, 1, NOTICE_NS);
		sim_add_event(sim, DC_IN_NS, SIM_DC_IN, 1, 0);
	}
	while (fleet->now_ns < HORIZON_NS && sim_step(sim)) {
		if (before < 0 && fleet->now_ns >= DC_OUT_NS)
			before = sim_useful_accelerator_s(sim);
		if (after < 0 && fleet->now_ns >= WINDOW_END_NS)
			after = sim_useful_accelerator_s(sim);
		if (dc_out && after >= 0)
			break;
	}
	result.useful_s = after - before;
	result.all = summarize_class(sim, -1, &result.unfinished);
	result.all_runs = summarize_runs(sim, -1);
	result.top_runs = summarize_runs(sim, 0);
	for (i = 0; i < MAX_CLASSES; i++)
		result.classes[i] = summarize_class(sim, (int)i, NULL);
	result.fragmentation = sim->stats.free_accelerator_s > 0
				       ? sim->stats.unusable_accelerator_s /
						 sim->stats.free_accelerator_s
				       : 0;
	result.unusable = sim->stats.unusable_accelerator_s /
			  sim->stats.capacity_accelerator_s;
	result.lost_s = sim->stats.lost_accelerator_s;
	result.reclaim = summarize_reclaim(sim);
	result.guarantee_misses = sim->stats.guarantee_misses;
	result.partial_gangs = sim->stats.partial_gangs;
	if (getenv("CQ_BENCH_VERBOSE"))
		fprintf(stderr,
			"%s %s: %u jobs, %lu plans, %lu starts, %lu evictions, "
			"ends at %.1f h, free %.3f, lost %.4g s\n",
			deployment_name(deployment), scheduler_names[scheduler],
			sim->jobs->len, (unsigned long)sim->stats.plans,
			(unsigned long)sim->stats.starts,
			(unsigned long)sim->stats.evictions,
			(double)fleet->now_ns / 3600e9,
			sim->stats.free_accelerator_s /
				sim->stats.capacity_accelerator_s,
			sim->stats.lost_accelerator_s);
	if (getenv("CQ_BENCH_VERBOSE"))
		for (i = 0; i < G_N_ELEMENTS(sim->stats.stops); i++)
			if (sim->stats.stops[i])
				fprintf(stderr, "  stops for %s: %lu\n",
					cq_reason_string((enum cq_reason)i),
					(unsigned long)sim->stats.stops[i]);
	sim_destroy(sim);
	cq_planner_destroy(planner);
	fleet_builder_destroy(fleet);
	return result;
}

static void print_comparison(const char *deployment, const char *metric,
			     const char *against, const char *unit,
			     double value, double baseline, double factor,
			     const char *better)
{
	char name[160];

	snprintf(name, sizeof(name), "%s.%s.vs_%s", deployment, metric,
		 against);
	print_line(name, unit, value, baseline,
		   factor > 0 ? baseline * factor : NO_TARGET, better);
}

static void report_summary(const char *deployment, const char *class_name,
			   const char *against, const struct summary *ours,
			   const struct summary *theirs, double mean_factor,
			   double p99_factor)
{
	char metric[96];

	snprintf(metric, sizeof(metric), "completion_mean.%s", class_name);
	print_comparison(deployment, metric, against, "s", ours->mean_s,
			 theirs->mean_s, mean_factor, "lower");
	snprintf(metric, sizeof(metric), "completion_p50.%s", class_name);
	print_comparison(deployment, metric, against, "s", ours->p50_s,
			 theirs->p50_s, 0, "lower");
	snprintf(metric, sizeof(metric), "completion_p99.%s", class_name);
	print_comparison(deployment, metric, against, "s", ours->p99_s,
			 theirs->p99_s, p99_factor, "lower");
}

static void report_against(struct fleet_builder *fleet, const char *name,
			   const struct replay_summary *ours,
			   const struct replay_summary *theirs,
			   const char *against)
{
	uint32_t i;

	report_summary(name, "all", against, &ours->all, &theirs->all, 0.5, 0);
	for (i = 0; i < MAX_CLASSES; i++)
		report_summary(name,
			       g_array_index(fleet->classes,
					     struct cq_fleet_class, i)
				       .name,
			       against, &ours->classes[i], &theirs->classes[i],
			       0, i == 0 ? 0.5 : 0);
	print_comparison(name, "fragmentation", against, "share_of_free",
			 ours->fragmentation, theirs->fragmentation, 0.5,
			 "lower");
	print_comparison(name, "unusable_accelerators", against,
			 "share_of_fleet", ours->unusable, theirs->unusable, 0,
			 "lower");
	print_comparison(name, "guarantee_misses", against, "jobs",
			 (double)ours->guarantee_misses,
			 (double)theirs->guarantee_misses, 0, "lower");
	print_comparison(name, "partial_gangs", against, "gangs",
			 (double)ours->partial_gangs,
			 (double)theirs->partial_gangs, 0, "lower");
	print_comparison(name, "unfinished", against, "jobs",
			 (double)ours->unfinished, (double)theirs->unfinished,
			 0, "lower");
}

static void bench_load(const struct deployment *deployment, int load_percent)
{
	struct fleet_builder *fleet = deployment_fleet(deployment);
	struct replay_summary results[SCHEDULER_COUNT];
	const struct replay_summary *ours = &results[PLANNER];
	char name[64];
	char metric[96];
	uint32_t i;

	snprintf(name, sizeof(name), "%s.load_%d", deployment_name(deployment),
		 load_percent);
	for (i = 0; i < SCHEDULER_COUNT; i++)
		results[i] = replay(deployment, (enum scheduler)i, load_percent,
				    false);
	for (i = 1; i < SCHEDULER_COUNT; i++)
		report_against(fleet, name, ours, &results[i],
			       scheduler_names[i]);
	snprintf(metric, sizeof(metric), "%s.guarantee_misses", name);
	print_line(metric, "jobs", (double)ours->guarantee_misses, -1, 0,
		   "lower");
	snprintf(metric, sizeof(metric), "%s.partial_gangs", name);
	print_line(metric, "gangs", (double)ours->partial_gangs, -1, 0,
		   "lower");
	snprintf(metric, sizeof(metric), "%s.run_time_mean.all", name);
	print_line(metric, "s", ours->all_runs.mean_s, -1, NO_TARGET, "lower");
	snprintf(metric, sizeof(metric), "%s.run_time_p99.top_class", name);
	print_line(metric, "s", ours->top_runs.p99_s, -1, NO_TARGET, "lower");
	snprintf(metric, sizeof(metric), "%s.urgent_start_p50", name);
	print_line(metric, "s", ours->reclaim.p50_s, -1, NO_TARGET, "lower");
	snprintf(metric, sizeof(metric), "%s.urgent_start_p99", name);
	print_line(metric, "s", ours->reclaim.p99_s, -1, 3.5, "lower");
	snprintf(metric, sizeof(metric), "%s.lost_work", name);
	print_line(metric, "accelerator_s", ours->lost_s, -1, NO_TARGET,
		   "lower");
	fleet_builder_destroy(fleet);
}

static void bench_dc_out(const struct deployment *deployment)
{
	const char *name = deployment_name(deployment);
	struct replay_summary results[SCHEDULER_COUNT];
	char metric[96];
	uint32_t i;

	for (i = 0; i < SCHEDULER_COUNT; i++)
		results[i] = replay(deployment, (enum scheduler)i,
				    OVERLOAD_PERCENT, true);
	for (i = 1; i < SCHEDULER_COUNT; i++)
		print_comparison(name, "useful_work_while_dc_leaves",
				 scheduler_names[i], "accelerator_s",
				 results[PLANNER].useful_s, results[i].useful_s,
				 0, "higher");
	snprintf(metric, sizeof(metric), "%s.guarantee_misses.dc_leaves", name);
	print_line(metric, "jobs", (double)results[PLANNER].guarantee_misses,
		   -1, 0, "lower");
	snprintf(metric, sizeof(metric), "%s.partial_gangs.dc_leaves", name);
	print_line(metric, "gangs", (double)results[PLANNER].partial_gangs, -1,
		   0, "lower");
}

static void bench_plan_time(void)
{
	static const uint32_t sizes[] = { 50, 957, 5000, 22000 };
	static const uint32_t rounds[] = { 300, 300, 60, 20 };
	struct plan_time time;
	char metric[96];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		time = measure_plan_time(sizes[i], rounds[i], SEED);
		snprintf(metric, sizeof(metric), "plan_time_p50.%u_workers",
			 sizes[i]);
		print_line(metric, "ms", time.p50_ms, -1, NO_TARGET, "lower");
		snprintf(metric, sizeof(metric), "plan_time_p99.%u_workers",
			 sizes[i]);
		print_line(metric, "ms", time.p99_ms, -1,
			   sizes[i] == 957 ? 10 : NO_TARGET, "lower");
	}
	print_line("planner_memory_per_worker", "bytes",
		   time.retained_bytes_per_worker, -1, NO_TARGET, "lower");
	print_line("plan_scratch_per_worker", "bytes",
		   time.scratch_bytes_per_worker, -1, NO_TARGET, "lower");
	print_line("plan_scratch_per_task", "bytes",
		   time.scratch_bytes_per_task, -1, NO_TARGET, "lower");
}

int main(void)
{
	bench_plan_time();
	if (getenv("CQ_BENCH_PLAN_TIME_ONLY"))
		return 0;
	bench_load(&deployment_garba, LOAD_PERCENT);
	bench_load(&deployment_garba, OVERLOAD_PERCENT);
	bench_dc_out(&deployment_garba);
	bench_load(&deployment_tapa, LOAD_PERCENT);
	bench_load(&deployment_tapa, OVERLOAD_PERCENT);
	bench_dc_out(&deployment_tapa);
	return 0;
}
