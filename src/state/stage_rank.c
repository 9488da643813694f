#include "chestnutquay/stage_rank.h"

#include <string.h>

static bool needs_rank(const struct cq_stage *stage);
static int64_t needed_accelerators(const struct cq_stage *stage);
static gint compare_guarantee_order(gconstpointer a, gconstpointer b);
static void rank_batch(const struct cq_queue_config *config,
		       struct cq_batch *batch, GPtrArray *urgent);
static void apply_guarantees(const struct cq_queue_config *config,
			     GPtrArray *urgent);

static bool needs_rank(const struct cq_stage *stage)
{
	return stage->active_count ||
	       (!cq_batch_state_is_terminal(stage->batch->state) &&
		cq_stage_waiting(stage) && cq_stage_unblocked(stage));
}

static int64_t needed_accelerators(const struct cq_stage *stage)
{
	uint32_t tasks = stage->step->gang
				 ? stage->step->tasks
				 : stage->step->tasks - stage->done_count;

	return (int64_t)tasks * stage->step->accelerators;
}

static gint compare_guarantee_order(gconstpointer a, gconstpointer b)
{
	const struct cq_stage *left = *(const struct cq_stage *const *)a;
	const struct cq_stage *right = *(const struct cq_stage *const *)b;
	const struct cq_batch *l = left->batch;
	const struct cq_batch *r = right->batch;
	gint order = strcmp(l->workload->workspace, r->workload->workspace);

	if (order)
		return order;
	if (!left->active_count != !right->active_count)
		return left->active_count ? -1 : 1;
	if (l->accepted_ns != r->accepted_ns)
		return l->accepted_ns < r->accepted_ns ? -1 : 1;
	order = strcmp(l->workload->id, r->workload->id);
	if (order)
		return order;
	if (left->occurrence != right->occurrence)
		return left->occurrence < right->occurrence ? -1 : 1;
	return left->step_index < right->step_index
		       ? -1
		       : left->step_index > right->step_index;
}

static void rank_batch(const struct cq_queue_config *config,
		       struct cq_batch *batch, GPtrArray *urgent)
{
	const struct cq_queue *queue =
		cq_queue_config_find(config, batch->workload->queue);
	uint32_t i;

	for (i = 0; i < cq_batch_stage_count(batch); i++) {
		struct cq_stage *stage = cq_batch_stage_at(batch, i);

		if (!needs_rank(stage))
			continue;
		stage->rank = queue ? 1 + queue->priority : CQ_RANK_GUARANTEED;
		if (queue && queue->priority == 0)
			g_ptr_array_add(urgent, stage);
	}
}

static void apply_guarantees(const struct cq_queue_config *config,
			     GPtrArray *urgent)
{
	const char *workspace = NULL;
	int64_t guaranteed = 0;
	int64_t claimed = 0;
	guint i;

	for (i = 0; i < urgent->len; i++) {
		struct cq_stage *stage = g_ptr_array_index(urgent, i);
		const char *own = stage->batch->workload->workspace;

		if (!workspace || strcmp(own, workspace)) {
			const struct cq_workspace_keys *entry =
				cq_queue_config_workspace(config, own);

			workspace = own;
			guaranteed = entry ? entry->guaranteed_accelerators : 0;
			claimed = 0;
		}
		claimed += needed_accelerators(stage);
		if (claimed <= guaranteed)
			stage->rank = CQ_RANK_GUARANTEED;
	}
}

void cq_stage_ranks_update(const struct cq_queue_config *config,
			   GHashTable *batches)
{
	GPtrArray *urgent = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		rank_batch(config, value, urgent);
	g_ptr_array_sort(urgent, compare_guarantee_order);
	apply_guarantees(config, urgent);
	g_ptr_array_unref(urgent);
}
