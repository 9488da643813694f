#include "sim_wave.h"

#include <string.h>
#include <time.h>

#define STEP_MS 100
/* Other jobs do not count. */
#define JOB_KEY_PREFIX CQ_JOBS_PREFIX CQ_SIM_JOBS_DC "/wave-"

struct cq_sim_wave {
	struct cq_sim_jobs *jobs;
	struct cq_counter *records_taken;
	struct cq_sim_wave_record record;
	GHashTable *ended; /* keys of records that have ended */
	GArray *tick_ns;
	uint64_t store_calls, commands, records; /* when the tick began */
	int64_t began_ns;
};

static int64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (int64_t)now.tv_sec * CQ_NS_PER_S + now.tv_nsec;
}

static void on_tick(void *ctx, int32_t host, bool begins)
{
	struct cq_sim_wave *wave = ctx;
	struct cq_sim_wave_record *most = &wave->record;
	uint64_t store_calls =
		cq_sim_store_host_sent(cq_sim_jobs_store(wave->jobs), host);
	uint64_t commands =
		cq_sim_workers_host_sent(cq_sim_jobs_workers(wave->jobs), host);
	uint64_t records = cq_counter_get(wave->records_taken);
	int64_t took_ns = cpu_ns() - wave->began_ns;

	if (begins) {
		wave->store_calls = store_calls;
		wave->commands = commands;
		wave->began_ns = cpu_ns();
		return;
	}
	most->most_store_calls =
		MAX(most->most_store_calls, store_calls - wave->store_calls);
	most->most_commands =
		MAX(most->most_commands, commands - wave->commands);
	/* Records taken between two ticks count for the later one. */
	most->most_records = MAX(most->most_records, records - wave->records);
	wave->records = records;
	if (host == cq_sim_jobs_owner(wave->jobs))
		g_array_append_val(wave->tick_ns, took_ns);
}

static void on_change(void *ctx, const char *key, const char *value,
		      int64_t revision)
{
	struct cq_sim_wave *wave = ctx;
	struct cq_job_record record;

	(void)revision;
	if (!g_str_has_prefix(key, JOB_KEY_PREFIX))
		return;
	if (!value) {
		wave->record.removed++;
		return;
	}
	if (g_hash_table_contains(wave->ended, key))
		wave->record.changed_after++;
	if (!cq_job_record_parse(value, strlen(value), &record, NULL) ||
	    !cq_job_phase_is_terminal(record.phase) ||
	    !g_hash_table_add(wave->ended, g_strdup(key)))
		return;
	wave->record.finished += record.phase == CQ_PHASE_FINISHED;
	wave->record.failed += record.phase == CQ_PHASE_FAILED;
	wave->record.cancelled += record.phase == CQ_PHASE_CANCELLED;
}

struct cq_sim_wave *cq_sim_wave_create(struct cq_sim_jobs *jobs,
				       struct cq_metrics *metrics)
{
	struct cq_sim_wave *wave = g_new0(struct cq_sim_wave, 1);

	wave->jobs = jobs;
	wave->records_taken =
		cq_metrics_counter(metrics, "cq_jobs_records_taken_total", "");
	wave->ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	wave->tick_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	cq_sim_store_on_change(cq_sim_jobs_store(jobs), on_change, wave);
	cq_sim_jobs_on_tick(jobs, on_tick, wave);
	return wave;
}

void cq_sim_wave_destroy(struct cq_sim_wave *wave)
{
	cq_sim_store_on_change(cq_sim_jobs_store(wave->jobs), NULL, NULL);
	cq_sim_jobs_on_tick(wave->jobs, NULL, NULL);
	g_hash_table_destroy(wave->ended);
	g_array_free(wave->tick_ns, TRUE);
	g_free(wave);
}

static void submit(struct cq_sim_wave *wave, uint32_t number)
{
	/* Tasks and accelerators; most jobs are small. */
	static const uint32_t sizes[][2] = { { 1, 1 }, { 1, 1 }, { 1, 2 },
					     { 1, 8 }, { 4, 8 }, { 16, 8 } };
	char id[CQ_JOB_ID_BYTES];
	struct cq_sim_job job = {
		.id = id,
		.tasks = sizes[number % G_N_ELEMENTS(sizes)][0],
		.accelerators = sizes[number % G_N_ELEMENTS(sizes)][1],
		.expected_ms = number % 7 ? 3600000 : 2000,
		.can_checkpoint = number % 2,
	};

	g_snprintf(id, sizeof(id), "wave-%u", number);
	cq_sim_jobs_submit(wave->jobs, &job);
}

static void cancel(struct cq_sim_wave *wave, uint32_t number)
{
	char id[CQ_JOB_ID_BYTES];

	g_snprintf(id, sizeof(id), "wave-%u", number);
	cq_sim_jobs_cancel(wave->jobs, id);
}

static void spread(struct cq_sim_wave *wave, uint32_t begin, uint32_t end,
		   int64_t period_ms,
		   void (*fn)(struct cq_sim_wave *wave, uint32_t number))
{
	int64_t steps = MAX(period_ms / STEP_MS, 1);
	uint32_t done = begin;
	int64_t step;

	for (step = 1; step <= steps; step++) {
		uint32_t until =
			begin + (uint32_t)((end - begin) * step / steps);

		for (; done < until; done++)
			fn(wave, done);
		cq_sim_jobs_run_ms(wave->jobs, STEP_MS);
	}
}

void cq_sim_wave_submit(struct cq_sim_wave *wave, uint32_t count,
			int64_t period_ms)
{
	uint32_t begin = wave->record.submitted;

	wave->record.submitted += count;
	spread(wave, begin, begin + count, period_ms, submit);
}

void cq_sim_wave_cancel(struct cq_sim_wave *wave, int64_t period_ms)
{
	spread(wave, 0, wave->record.submitted, period_ms, cancel);
}

bool cq_sim_wave_wait(struct cq_sim_wave *wave, int64_t limit_ms)
{
	int64_t waited_ms;

	for (waited_ms = 0; waited_ms <= limit_ms; waited_ms += STEP_MS) {
		if (g_hash_table_size(wave->ended) == wave->record.submitted)
			return true;
		cq_sim_jobs_run_ms(wave->jobs, STEP_MS);
	}
	return false;
}

const struct cq_sim_wave_record *
cq_sim_wave_record(const struct cq_sim_wave *wave)
{
	return &wave->record;
}

GArray *cq_sim_wave_take_tick_ns(struct cq_sim_wave *wave)
{
	GArray *taken = wave->tick_ns;

	wave->tick_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
	return taken;
}
