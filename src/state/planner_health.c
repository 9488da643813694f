/*
 * Failure records: which job failed on which worker.
 *
 * A failure is attributed to the side that failed with more distinct partners:
 * to the worker if more distinct jobs failed on it than there are distinct
 * workers that the job failed on, to the job in the opposite case, and to both
 * if the numbers are equal. So a faulty job that runs on many healthy workers
 * does not quarantine them, and a faulty worker does not get healthy jobs
 * rejected.
 */
#include "state/planner_internal.h"

#include <string.h>

/* Limit of the jobs with failure records; the oldest are removed first. */
#define MAX_FAILED_JOBS 4096

struct quarantine {
	int64_t since_ns;
	int64_t last_probe_ns;
};

struct cq_health {
	GHashTable *job_workers;    /* job to its set of workers */
	GHashTable *worker_jobs;    /* worker to its set of jobs */
	GHashTable *total_failures; /* job to its number of failures */
	GHashTable *quarantined;    /* worker to struct quarantine */
	/* Job ids in the order of their first failure. */
	GQueue job_order;
};

static uint32_t set_size(GHashTable *table, const char *key)
{
	GHashTable *set = g_hash_table_lookup(table, key);

	return set ? g_hash_table_size(set) : 0;
}

static void set_add(GHashTable *table, const char *key, const char *member)
{
	GHashTable *set = g_hash_table_lookup(table, key);

	if (!set) {
		set = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    NULL);
		g_hash_table_insert(table, g_strdup(key), set);
	}
	g_hash_table_add(set, g_strdup(member));
}

static void set_remove(GHashTable *table, const char *key, const char *member)
{
	GHashTable *set = g_hash_table_lookup(table, key);

	if (!set)
		return;
	g_hash_table_remove(set, member);
	if (g_hash_table_size(set) == 0)
		g_hash_table_remove(table, key);
}

static void remove_pair(struct cq_health *health, const char *job,
			const char *worker)
{
	set_remove(health->job_workers, job, worker);
	set_remove(health->worker_jobs, worker, job);
}

static GHashTable *set_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_hash_table_destroy);
}

struct cq_health *cq_health_create(void)
{
	struct cq_health *health = g_new0(struct cq_health, 1);

	health->job_workers = set_table_new();
	health->worker_jobs = set_table_new();
	health->total_failures =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	health->quarantined =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&health->job_order);
	return health;
}

void cq_health_destroy(struct cq_health *health)
{
	if (!health)
		return;
	g_hash_table_destroy(health->job_workers);
	g_hash_table_destroy(health->worker_jobs);
	g_hash_table_destroy(health->total_failures);
	g_hash_table_destroy(health->quarantined);
	g_queue_clear_full(&health->job_order, g_free);
	g_free(health);
}

void cq_health_record_failure(struct cq_health *health, const char *job,
			      const char *worker)
{
	if (!g_hash_table_contains(health->job_workers, job))
		g_queue_push_tail(&health->job_order, g_strdup(job));
	set_add(health->job_workers, job, worker);
	set_add(health->worker_jobs, worker, job);
	g_hash_table_insert(
		health->total_failures, g_strdup(job),
		GUINT_TO_POINTER(cq_health_job_total_failures(health, job) +
				 1));
	while (g_queue_get_length(&health->job_order) > MAX_FAILED_JOBS) {
		char *oldest = g_queue_pop_head(&health->job_order);

		cq_health_forget_job(health, oldest);
		g_free(oldest);
	}
}

void cq_health_record_success(struct cq_health *health, const char *job,
			      const char *worker)
{
	remove_pair(health, job, worker);
	/*
	 * The worker runs jobs successfully, so earlier failures on it are no
	 * longer attributed to it.
	 */
	g_hash_table_remove(health->worker_jobs, worker);
}

void cq_health_forget_job(struct cq_health *health, const char *job)
{
	GHashTable *set = g_hash_table_lookup(health->job_workers, job);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_remove(health->total_failures, job);
	if (!set)
		return;
	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		set_remove(health->worker_jobs, key, job);
	g_hash_table_remove(health->job_workers, job);
}

void cq_health_record_probe(struct cq_health *health, const char *worker,
			    bool ok, int64_t now_ns)
{
	struct quarantine *quarantine =
		g_hash_table_lookup(health->quarantined, worker);

	if (quarantine)
		quarantine->last_probe_ns = now_ns;
	if (!ok)
		return;
	g_hash_table_remove(health->quarantined, worker);
	g_hash_table_remove(health->worker_jobs, worker);
}

bool cq_health_is_quarantined(const struct cq_health *health,
			      const char *worker)
{
	return g_hash_table_contains(health->quarantined, worker);
}

bool cq_health_probe_due(const struct cq_health *health, const char *worker,
			 int64_t now_ns, int64_t interval_ns)
{
	const struct quarantine *quarantine =
		g_hash_table_lookup(health->quarantined, worker);

	return quarantine && now_ns - quarantine->last_probe_ns >= interval_ns;
}

void cq_health_forget_worker(struct cq_health *health, const char *worker)
{
	GHashTable *set = g_hash_table_lookup(health->worker_jobs, worker);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_remove(health->quarantined, worker);
	if (!set)
		return;
	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		set_remove(health->job_workers, key, worker);
	g_hash_table_remove(health->worker_jobs, worker);
}

uint32_t cq_health_worker_failures(const struct cq_health *health,
				   const char *worker)
{
	GHashTable *set = g_hash_table_lookup(health->worker_jobs, worker);
	GHashTableIter iter;
	gpointer key;
	uint32_t failures = 0;
	uint32_t jobs;

	if (!set)
		return 0;
	jobs = g_hash_table_size(set);
	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		failures += set_size(health->job_workers, key) <= jobs;
	return failures;
}

uint32_t cq_health_job_failures(const struct cq_health *health, const char *job)
{
	GHashTable *set = g_hash_table_lookup(health->job_workers, job);
	GHashTableIter iter;
	gpointer key;
	uint32_t failures = 0;
	uint32_t workers;

	if (!set)
		return 0;
	workers = g_hash_table_size(set);
	g_hash_table_iter_init(&iter, set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		failures += set_size(health->worker_jobs, key) <= workers;
	return failures;
}

uint32_t cq_health_job_total_failures(const struct cq_health *health,
				      const char *job)
{
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(health->total_failures, job));
}

bool cq_health_failed_on(const struct cq_health *health, const char *job,
			 const char *worker)
{
	GHashTable *set = g_hash_table_lookup(health->job_workers, job);

	return set && g_hash_table_contains(set, worker);
}

void cq_health_quarantine(struct cq_health *health, const char *worker,
			  int64_t now_ns)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->since_ns = now_ns;
	quarantine->last_probe_ns = now_ns;
	g_hash_table_insert(health->quarantined, g_strdup(worker), quarantine);
}

bool cq_health_is_empty(const struct cq_health *health)
{
	return g_hash_table_size(health->worker_jobs) == 0 &&
	       g_hash_table_size(health->total_failures) == 0 &&
	       g_hash_table_size(health->quarantined) == 0;
}
