/* What runs on the simulated workers: gangs in part, attempts, counts. */
#include <string.h>

#include "sim_workers_private.h"

/* A paused worker ends a lapsed task before it does anything else. */
static bool is_running(const struct cq_sim_workers *workers,
		       const struct sim_task *task)
{
	return (task->state == CQ_TASK_RUNNING ||
		task->state == CQ_TASK_CHECKPOINTING) &&
	       cq_sim_now_ns(workers->sim) < task->lease_deadline_ns;
}

struct job_count {
	uint32_t attempt;
	uint32_t size;
	uint32_t running;
	uint32_t finished;
	bool two_attempts;
};

static void count_task(const struct cq_sim_workers *workers, GHashTable *counts,
		       const struct sim_task *task)
{
	struct job_count *count = g_hash_table_lookup(counts, task->job_id);

	if (!is_running(workers, task) && task->state != CQ_TASK_FINISHED)
		return;
	if (!count) {
		count = g_new0(struct job_count, 1);
		g_hash_table_insert(counts, (char *)task->job_id, count);
	}
	if (is_running(workers, task)) {
		count->two_attempts |= count->running &&
				       count->attempt != task->attempt;
		if (!count->running || task->attempt > count->attempt) {
			count->attempt = task->attempt;
			count->size = task->gang_size;
		}
		count->running++;
	}
}

/* Members that finished or live of the attempt that runs. */
static void count_finished(const struct cq_sim_workers *workers,
			   GHashTable *counts, const struct sim_task *task)
{
	struct job_count *count = g_hash_table_lookup(counts, task->job_id);

	(void)workers;
	if (count && count->running && task->attempt == count->attempt &&
	    task->state == CQ_TASK_FINISHED)
		count->finished++;
}

static void
for_all_tasks(const struct cq_sim_workers *workers, GHashTable *counts,
	      void (*fn)(const struct cq_sim_workers *workers,
			 GHashTable *counts, const struct sim_task *task))
{
	uint32_t i;

	for (i = 0; i < workers->options.count; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, workers->workers[i].tasks);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			fn(workers, counts, value);
	}
}

static void watch_part(struct cq_sim_workers *workers, const char *job_id,
		       bool part)
{
	int64_t now_ns = cq_sim_now_ns(workers->sim);
	int64_t *since_ns = g_hash_table_lookup(workers->parts, job_id);

	if (!part) {
		g_hash_table_remove(workers->parts, job_id);
		return;
	}
	if (!since_ns) {
		since_ns = g_new(int64_t, 1);
		*since_ns = now_ns;
		g_hash_table_insert(workers->parts, g_strdup(job_id), since_ns);
	}
	if (now_ns - *since_ns > workers->record.longest_part_ns) {
		workers->record.longest_part_ns = now_ns - *since_ns;
		g_strlcpy(workers->record.longest_part_job, job_id,
			  sizeof(workers->record.longest_part_job));
	}
}

void cq_sim_workers_watch_jobs(struct cq_sim_workers *workers)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	for_all_tasks(workers, counts, count_task);
	for_all_tasks(workers, counts, count_finished);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct job_count *count = value;

		workers->record.double_attempts += count->two_attempts;
		watch_part(workers, key,
			   count->running && count->running + count->finished <
						     count->size);
	}
	/* Jobs without any task left. */
	g_hash_table_iter_init(&iter, workers->parts);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(counts, key))
			g_hash_table_iter_remove(&iter);
	g_hash_table_destroy(counts);
}

static uint32_t count_tasks(const struct cq_sim_workers *workers,
			    const char *job_id, bool running_only)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < workers->options.count; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, workers->workers[i].tasks);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct sim_task *task = value;

			if (*job_id && strcmp(job_id, task->job_id) != 0)
				continue;
			count += running_only
					 ? is_running(workers, task)
					 : cq_task_state_is_live(task->state);
		}
	}
	return count;
}

uint32_t cq_sim_workers_live(const struct cq_sim_workers *workers)
{
	return count_tasks(workers, "", false);
}

uint32_t cq_sim_workers_running(const struct cq_sim_workers *workers,
				const char *job_id)
{
	return count_tasks(workers, job_id, true);
}
