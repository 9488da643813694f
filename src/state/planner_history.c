/*
 * Run-time history by workspace and class.
 *
 * Declared run times are wrong by a factor that is similar within a workspace
 * and class. So the history keeps the ratio of actual to declared run time, and
 * the run time itself for jobs that declare none.
 */
#include "state/planner_internal.h"

#include <stdlib.h>
#include <string.h>

/* Ended jobs kept per workspace and class; the oldest is overwritten. */
#define HISTORY_MAX_SAMPLES 32
/* Ended jobs needed for a prediction; fewer are not representative. */
#define HISTORY_MIN_SAMPLES 3
/* Prediction for a job with neither history nor declared run time. */
#define DEFAULT_RUN_NS (600 * CQ_NS_PER_S)
#define MIN_RUN_NS (CQ_NS_PER_S / 100)
#define PERMILLE 1000

struct cq_history_entry {
	int64_t run_ns[HISTORY_MAX_SAMPLES];
	/* Ratio of actual to declared run time; < 0: no declared run time. */
	int64_t ratio_permille[HISTORY_MAX_SAMPLES];
	uint32_t count;
	/* Index that the next sample is written to. */
	uint32_t next;
	int64_t median_run_ns;
	int64_t median_ratio_permille; /* < 0: unknown */
};

struct cq_history {
	GHashTable *entries; /* "workspace\nclass" to struct cq_history_entry */
};

static int compare_int64(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static void update_medians(struct cq_history_entry *entry)
{
	int64_t sorted[HISTORY_MAX_SAMPLES];
	uint32_t i;
	uint32_t n = 0;

	memcpy(sorted, entry->run_ns, entry->count * sizeof(*sorted));
	qsort(sorted, entry->count, sizeof(*sorted), compare_int64);
	entry->median_run_ns = sorted[entry->count / 2];
	for (i = 0; i < entry->count; i++)
		if (entry->ratio_permille[i] >= 0)
			sorted[n++] = entry->ratio_permille[i];
	entry->median_ratio_permille = -1;
	if (n < HISTORY_MIN_SAMPLES)
		return;
	qsort(sorted, n, sizeof(*sorted), compare_int64);
	entry->median_ratio_permille = sorted[n / 2];
}

static char *entry_key(const char *workspace, const char *class_name)
{
	return g_strconcat(workspace, "\n", class_name, NULL);
}

struct cq_history *cq_history_create(void)
{
	struct cq_history *history = g_new0(struct cq_history, 1);

	history->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return history;
}

void cq_history_destroy(struct cq_history *history)
{
	if (!history)
		return;
	g_hash_table_destroy(history->entries);
	g_free(history);
}

void cq_history_add(struct cq_history *history, const char *workspace,
		    const char *class_name, int64_t declared_ns, int64_t run_ns)
{
	char *key = entry_key(workspace, class_name);
	struct cq_history_entry *entry =
		g_hash_table_lookup(history->entries, key);
	double ratio;

	if (!entry) {
		entry = g_new0(struct cq_history_entry, 1);
		g_hash_table_insert(history->entries, g_strdup(key), entry);
	}
	g_free(key);
	entry->run_ns[entry->next] = MAX(run_ns, MIN_RUN_NS);
	entry->ratio_permille[entry->next] = -1;
	if (declared_ns > 0) {
		ratio = (double)run_ns / (double)declared_ns * PERMILLE;
		entry->ratio_permille[entry->next] =
			(int64_t)CLAMP(ratio, 1.0, 1e6 * PERMILLE);
	}
	entry->next = (entry->next + 1) % HISTORY_MAX_SAMPLES;
	entry->count = MIN(entry->count + 1, HISTORY_MAX_SAMPLES);
	update_medians(entry);
}

const struct cq_history_entry *cq_history_find(const struct cq_history *history,
					       const char *workspace,
					       const char *class_name)
{
	char *key = entry_key(workspace, class_name);
	const struct cq_history_entry *entry =
		g_hash_table_lookup(history->entries, key);

	g_free(key);
	return entry;
}

int64_t cq_history_predict_ns(const struct cq_history_entry *entry,
			      int64_t declared_ns)
{
	if (declared_ns > 0 && (!entry || entry->median_ratio_permille < 0))
		return MAX(declared_ns, MIN_RUN_NS);
	if (declared_ns > 0)
		return MAX((int64_t)((double)declared_ns *
				     (double)entry->median_ratio_permille /
				     PERMILLE),
			   MIN_RUN_NS);
	if (entry && entry->count >= HISTORY_MIN_SAMPLES)
		return entry->median_run_ns;
	return DEFAULT_RUN_NS;
}

int64_t cq_history_remaining_ns(int64_t predicted_ns, int64_t elapsed_ns)
{
	/*
	 * Run times are heavy-tailed: the mean remaining run time of a job past
	 * its prediction grows in proportion to the time it has run.
	 */
	if (elapsed_ns < predicted_ns)
		return MAX(predicted_ns - elapsed_ns, elapsed_ns / 8);
	return MAX(elapsed_ns / 2, CQ_NS_PER_S);
}
