/*
 * Benchmark of ownership, settings and membership. Runs the production state
 * machines in virtual time; only the processor time is real time.
 *
 * Each host runs one entryd and one schedd. Latencies result from the simulated
 * network (0.5 to 1.5 ms one way) and store (0.5 to 2 ms one way).
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../tests/support/sim_world.h"
#include "coordination_bench.h"

#define RUNS_PER_CASE 60
#define NO_VALUE NAN
/* Documented limits. Takeover: the owner lease of 5 s plus 1 s. */
#define TAKEOVER_TARGET_MS 6000.0
#define IN_FORCE_TARGET_MS 17000.0
#define START_TARGET_MS 3000.0
#define BYTES_PER_S_TARGET 25000.0
#define CORE_TARGET_PERCENT 2.5

static gint compare_doubles(gconstpointer a, gconstpointer b);
static double now_ms(struct cq_sim_cluster *cluster);
static GArray *measure_takeover(enum cq_sim_fault_kind kind);
static void bench_takeover(void);
static void on_in_force(void *ctx, struct cq_sim_node *node, const char *key,
			int64_t revision);
static GArray *
measure_settings_times(const struct cq_settings_sync_strategy *strategy,
		       enum cq_sim_fault_kind kind, int64_t fault_ms,
		       bool count_from_end);
static void bench_settings(void);
struct settings_cost;
static struct settings_cost
measure_settings_cost(const struct cq_settings_sync_strategy *strategy,
		      uint32_t hosts);
static void bench_settings_cost(void);
static void bench_join(void);
static void bench_starts(void);

void coordination_print_line(const char *metric, const char *unit, double value,
			     double baseline, double target)
{
	char baseline_text[32] = "null", target_text[32] = "null";

	if (!isnan(baseline))
		g_snprintf(baseline_text, sizeof(baseline_text), "%.4g",
			   baseline);
	if (!isnan(target))
		g_snprintf(target_text, sizeof(target_text), "%.6g", target);
	printf("{\"bench\":\"coordination\",\"metric\":\"%s\",\"unit\":\"%s\","
	       "\"value\":%.4g,\"baseline\":%s,\"target\":%s,"
	       "\"better\":\"lower\"}\n",
	       metric, unit, value, baseline_text, target_text);
	fflush(stdout);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	const double *left = a, *right = b;

	return (*left > *right) - (*left < *right);
}

/* Uses the nearest-rank method. */
double coordination_percentile(GArray *values, double p)
{
	guint rank;

	g_array_sort(values, compare_doubles);
	rank = (guint)ceil(p / 100 * values->len);
	return g_array_index(values, double, MAX(rank, 1) - 1);
}

static double now_ms(struct cq_sim_cluster *cluster)
{
	return (double)cq_sim_now_ns(cq_sim_cluster_sim(cluster)) /
	       CQ_NS_PER_MS;
}

/*
 * Returns, per seed, the time in ms from a fault of the owner until another
 * schedd owns the data centre. The resolution is 50 ms.
 */
static GArray *measure_takeover(enum cq_sim_fault_kind kind)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	uint64_t seed;

	for (seed = 1; seed <= RUNS_PER_CASE; seed++) {
		struct cq_sim_cluster_options options;
		struct cq_sim_cluster *cluster;
		struct cq_sim_faults *faults;
		struct cq_sim_node *owner;
		double start_ms, time_ms;

		cq_sim_cluster_options_init(&options);
		options.seed = seed;
		options.entryds = 3;
		cluster = cq_sim_cluster_create(&options);
		faults = cq_sim_faults_create(cluster);
		cq_sim_cluster_run_ms(cluster, 8000 + 17 * (int64_t)seed);
		owner = cq_sim_cluster_owner(cluster, "dc0");
		if (!owner)
			g_error("no owner after 8 s");
		start_ms = now_ms(cluster);
		cq_sim_fault_begin(faults, kind,
				   (uint32_t)cq_sim_node_host(owner));
		if (!cq_sim_cluster_run_until(cluster, cq_sim_owned_by_other,
					      owner, 60000))
			g_error("no takeover after %s",
				cq_sim_fault_string(kind));
		time_ms = now_ms(cluster) - start_ms;
		g_array_append_val(times, time_ms);
		cq_sim_faults_end_all(faults);
		if (cq_sim_faults_violation(faults)[0])
			g_error("%s", cq_sim_faults_violation(faults));
		cq_sim_faults_destroy(faults);
		cq_sim_cluster_destroy(cluster);
	}
	return times;
}

static void bench_takeover(void)
{
	GArray *killed = measure_takeover(CQ_SIM_KILL);
	GArray *paused = measure_takeover(CQ_SIM_PAUSE);
	GArray *stopped = measure_takeover(CQ_SIM_PLANNED_STOP);

	coordination_print_line("takeover_after_kill_p50", "ms",
				coordination_percentile(killed, 50), NO_VALUE,
				NO_VALUE);
	coordination_print_line("takeover_after_kill_max", "ms",
				coordination_percentile(killed, 100), NO_VALUE,
				TAKEOVER_TARGET_MS);
	coordination_print_line("takeover_after_pause_p50", "ms",
				coordination_percentile(paused, 50), NO_VALUE,
				NO_VALUE);
	coordination_print_line("takeover_after_pause_max", "ms",
				coordination_percentile(paused, 100), NO_VALUE,
				TAKEOVER_TARGET_MS);
	/* Baseline: the owner is killed and hands nothing over. */
	coordination_print_line("takeover_after_planned_stop_p50", "ms",
				coordination_percentile(stopped, 50),
				coordination_percentile(killed, 50), NO_VALUE);
	coordination_print_line("takeover_after_planned_stop_max", "ms",
				coordination_percentile(stopped, 100),
				coordination_percentile(killed, 100),
				TAKEOVER_TARGET_MS);
	g_array_free(killed, TRUE);
	g_array_free(paused, TRUE);
	g_array_free(stopped, TRUE);
}

/* Tracks which processes have applied a settings revision. */
struct settings_wait {
	struct cq_sim_cluster *cluster;
	int64_t revision; /* INT64_MAX: not written yet */
	bool *applied;	  /* has applied it, by node */
	uint32_t missing; /* processes that have not applied it yet */
	double last_ms;	  /* when the last process applied it */
};

static void on_in_force(void *ctx, struct cq_sim_node *node, const char *key,
			int64_t revision)
{
	struct settings_wait *wait = ctx;
	int32_t host = cq_sim_node_host(node);

	(void)key;
	if (revision < wait->revision || wait->applied[host])
		return;
	wait->applied[host] = true;
	wait->missing--;
	wait->last_ms = now_ms(wait->cluster);
}

/*
 * Returns, per seed, the time in ms from a settings write until all processes
 * have applied it, or from the end of the fault if count_from_end is set. The
 * fault begins 100 ms before the write. A store outage begins 1 ms after the
 * write, which is the worst case.
 */
static GArray *
measure_settings_times(const struct cq_settings_sync_strategy *strategy,
		       enum cq_sim_fault_kind kind, int64_t fault_ms,
		       bool count_from_end)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	uint64_t seed;

	for (seed = 1; seed <= RUNS_PER_CASE; seed++) {
		struct cq_sim_cluster_options options;
		struct cq_sim_cluster_hooks hooks = { .in_force = on_in_force };
		struct cq_sim_cluster *cluster;
		struct cq_sim_faults *faults;
		struct settings_wait wait = { .revision = INT64_MAX };
		double from_ms, time_ms;

		cq_sim_cluster_options_init(&options);
		options.seed = seed;
		options.data_centres = 4;
		options.schedds = 4;
		options.entryds = 4;
		options.strategy = strategy;
		cluster = cq_sim_cluster_create(&options);
		faults = cq_sim_faults_create(cluster);
		wait.cluster = cluster;
		wait.missing = cq_sim_cluster_count(cluster);
		wait.applied = g_new0(bool, wait.missing);
		cq_sim_cluster_set_hooks(cluster, &hooks, &wait);
		cq_sim_cluster_run_ms(cluster, 15000 + 17 * (int64_t)seed);
		if (kind != CQ_SIM_FAULT_KINDS && kind != CQ_SIM_STORE_DOWN) {
			cq_sim_fault_begin(faults, kind, 8);
			cq_sim_cluster_run_ms(cluster, 100);
		}
		wait.revision = cq_settings_revision(cq_sim_node_settings(
					cq_sim_cluster_node(cluster, 0))) +
				1;
		cq_sim_node_write(cq_sim_cluster_node(cluster, 4),
				  "workspaces/a", "{\"weight\":5}");
		from_ms = now_ms(cluster);
		if (kind == CQ_SIM_STORE_DOWN) {
			cq_sim_cluster_run_ms(cluster, 1);
			cq_sim_fault_begin(faults, kind, 0);
		}
		cq_sim_cluster_run_ms(cluster, fault_ms);
		cq_sim_faults_end_all(faults);
		if (count_from_end)
			from_ms = now_ms(cluster);
		cq_sim_cluster_run_ms(cluster, 60000);
		if (wait.missing)
			g_error("%u processes have not applied the settings change",
				wait.missing);
		time_ms = MAX(wait.last_ms - from_ms, 0);
		g_array_append_val(times, time_ms);
		cq_sim_faults_destroy(faults);
		cq_sim_cluster_destroy(cluster);
		g_free(wait.applied);
	}
	return times;
}

static void bench_settings(void)
{
	static const struct {
		const char *name;
		int64_t fault_ms;
		enum cq_sim_fault_kind kind;
		bool count_from_end;
	} cases[] = {
		{ "", 0, CQ_SIM_FAULT_KINDS, false },
		{ "_store_outage_10s", 10000, CQ_SIM_STORE_DOWN, false },
		{ "_after_partition_30s", 30000, CQ_SIM_CUT_DC, true },
		{ "_loss_33_percent", 30000, CQ_SIM_LOSS, false },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GArray *relay = measure_settings_times(cq_settings_sync_relay(),
						       cases[i].kind,
						       cases[i].fault_ms,
						       cases[i].count_from_end);
		GArray *all = measure_settings_times(
			cq_settings_sync_watch_all(), cases[i].kind,
			cases[i].fault_ms, cases[i].count_from_end);
		char metric[96];

		/* Baseline: every process watches the store itself. */
		g_snprintf(metric, sizeof(metric), "settings_in_force%s_p50",
			   cases[i].name);
		coordination_print_line(metric, "ms",
					coordination_percentile(relay, 50),
					coordination_percentile(all, 50),
					NO_VALUE);
		g_snprintf(metric, sizeof(metric), "settings_in_force%s_p99",
			   cases[i].name);
		coordination_print_line(metric, "ms",
					coordination_percentile(relay, 99),
					coordination_percentile(all, 99),
					IN_FORCE_TARGET_MS);
		g_array_free(relay, TRUE);
		g_array_free(all, TRUE);
	}
}

struct settings_cost {
	double store_calls;    /* per second, all hosts */
	double store_bytes;    /* per second, all hosts */
	double bytes_per_host; /* per second, sent and received */
	double core_percent;   /* share of one core, per host */
};

/*
 * Measures the steady load with one settings change per second, which is about
 * the target of 100,000 per day.
 */
static struct settings_cost
measure_settings_cost(const struct cq_settings_sync_strategy *strategy,
		      uint32_t hosts)
{
	const int32_t seconds = 30;
	struct cq_sim_cluster_options options;
	struct cq_sim_cluster *cluster;
	struct settings_cost cost = { 0 };
	struct cq_sim *sim;
	struct cq_sim_store *store;
	uint32_t n, i;
	int32_t s;
	double sign = -1;

	cq_sim_cluster_options_init(&options);
	options.data_centres = 4;
	options.schedds = hosts / 4;
	options.entryds = hosts / 4;
	options.strategy = strategy;
	options.measure_time = true;
	cluster = cq_sim_cluster_create(&options);
	sim = cq_sim_cluster_sim(cluster);
	store = cq_sim_cluster_store(cluster);
	n = cq_sim_cluster_count(cluster);
	cq_sim_cluster_run_ms(cluster, 30000);
	for (s = 0; s <= seconds; s++) {
		/* Subtracts the counters at the start from those at the end. */
		if (s == 0 || s == seconds) {
			for (i = 0; i < n; i++) {
				int32_t host = (int32_t)i;

				cost.bytes_per_host +=
					sign *
					(double)(cq_sim_net_sent(sim, host)
							 .bytes +
						 cq_sim_net_received(sim, host)
							 .bytes +
						 cq_sim_store_host_bytes(store,
									 host));
				cost.core_percent +=
					sign * (double)cq_sim_node_busy_ns(
						       cq_sim_cluster_node(
							       cluster, i));
			}
			cost.store_calls +=
				sign * (double)cq_sim_store_stats(store).calls;
			cost.store_bytes +=
				sign * (double)cq_sim_store_stats(store).bytes;
			sign = 1;
		}
		cq_sim_node_write(cq_sim_cluster_node(cluster, 0),
				  "workspaces/a",
				  s % 2 ? "{\"weight\":1}" : "{\"weight\":2}");
		cq_sim_cluster_run_ms(cluster, 1000);
	}
	cost.store_calls /= seconds;
	cost.store_bytes /= seconds;
	cost.bytes_per_host /= (double)seconds * hosts;
	cost.core_percent /= (double)seconds * hosts * 1e9 / 100;
	cq_sim_cluster_destroy(cluster);
	return cost;
}

static void bench_settings_cost(void)
{
	uint32_t hosts;

	for (hosts = 4; hosts <= 64; hosts *= 2) {
		struct settings_cost relay =
			measure_settings_cost(cq_settings_sync_relay(), hosts);
		struct settings_cost all = measure_settings_cost(
			cq_settings_sync_watch_all(), hosts);
		char metric[96];

		g_snprintf(metric, sizeof(metric), "store_calls_%u_hosts",
			   hosts);
		coordination_print_line(metric, "1/s", relay.store_calls,
					all.store_calls, NO_VALUE);
		g_snprintf(metric, sizeof(metric), "store_bytes_%u_hosts",
			   hosts);
		coordination_print_line(metric, "B/s", relay.store_bytes,
					all.store_bytes, NO_VALUE);
		g_snprintf(metric, sizeof(metric), "bytes_per_host_%u_hosts",
			   hosts);
		coordination_print_line(metric, "B/s", relay.bytes_per_host,
					all.bytes_per_host, BYTES_PER_S_TARGET);
		g_snprintf(metric, sizeof(metric), "core_per_host_%u_hosts",
			   hosts);
		coordination_print_line(metric, "%", relay.core_percent,
					all.core_percent, CORE_TARGET_PERCENT);
	}
}

/*
 * Measures the time until every process knows all others if all start at once
 * with a single seed address.
 */
static void bench_join(void)
{
	uint32_t n, k;

	for (n = 25; n <= 200; n *= 2) {
		struct cq_sim_cluster_options options;
		struct cq_sim_cluster *cluster;
		double from_ms, bytes = 0;
		char metric[96];

		cq_sim_cluster_options_init(&options);
		options.schedds = n;
		options.no_ownership = true;
		options.one_seed = true;
		cluster = cq_sim_cluster_create(&options);
		from_ms = now_ms(cluster);
		if (!cq_sim_cluster_run_until(
			    cluster, cq_sim_membership_converged, NULL, 300000))
			g_error("%u processes have not joined", n);
		for (k = 0; k < n; k++)
			bytes +=
				(double)cq_sim_net_sent(
					cq_sim_cluster_sim(cluster), (int32_t)k)
					.bytes;
		g_snprintf(metric, sizeof(metric), "join_%u_processes", n);
		coordination_print_line(metric, "ms", now_ms(cluster) - from_ms,
					NO_VALUE, IN_FORCE_TARGET_MS);
		g_snprintf(metric, sizeof(metric),
			   "join_bytes_sent_per_process_%u", n);
		coordination_print_line(metric, "B", bytes / n, NO_VALUE,
					NO_VALUE);
		cq_sim_cluster_destroy(cluster);
	}
}

/*
 * Measures how long after the store has accepted state `out` for a data centre
 * a task could still be started there.
 */
static void bench_starts(void)
{
	static const enum cq_sim_fault_kind kinds[] = {
		CQ_SIM_FAULT_KINDS, CQ_SIM_PAUSE, CQ_SIM_CUT_DC,
		CQ_SIM_STORE_DOWN, CQ_SIM_DEAF_STORE
	};
	guint i;
	uint64_t seed;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
		char metric[96];

		for (seed = 1; seed <= RUNS_PER_CASE; seed++) {
			struct cq_sim_cluster_options options;
			struct cq_sim_cluster *cluster;
			struct cq_sim_faults *faults;
			struct cq_sim_node *owner;
			double time_ms;

			cq_sim_cluster_options_init(&options);
			options.seed = seed;
			cluster = cq_sim_cluster_create(&options);
			faults = cq_sim_faults_create(cluster);
			cq_sim_faults_set_dc(faults, 0, true);
			cq_sim_cluster_run_ms(cluster,
					      8000 + 37 * (int64_t)seed);
			owner = cq_sim_cluster_owner(cluster, "dc0");
			if (kinds[i] != CQ_SIM_FAULT_KINDS && owner)
				cq_sim_fault_begin(
					faults, kinds[i],
					(uint32_t)cq_sim_node_host(owner));
			cq_sim_cluster_run_ms(cluster, 5);
			cq_sim_faults_set_dc(faults, 0, false);
			cq_sim_cluster_run_ms(cluster, 10000);
			cq_sim_faults_end_all(faults);
			cq_sim_cluster_run_ms(cluster, 10000);
			if (cq_sim_faults_violation(faults)[0])
				g_error("%s", cq_sim_faults_violation(faults));
			time_ms =
				(double)cq_sim_faults_last_start_ms(faults, 0);
			g_array_append_val(times, time_ms);
			cq_sim_faults_destroy(faults);
			cq_sim_cluster_destroy(cluster);
		}
		g_snprintf(metric, sizeof(metric), "last_start_after_out%s%s",
			   i ? "_" : "",
			   i ? cq_sim_fault_string(kinds[i]) : "");
		coordination_print_line(metric, "ms",
					coordination_percentile(times, 100),
					NO_VALUE, START_TARGET_MS);
		g_array_free(times, TRUE);
	}
}

int main(void)
{
	bench_takeover();
	bench_settings();
	bench_settings_cost();
	bench_join();
	bench_starts();
	coordination_bench_rebuild();
	return 0;
}
