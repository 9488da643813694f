#include "chestnutquay/fleet_state.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

struct node {
	struct cq_fleet_node public;
	GHashTable *tasks; /* set of struct cq_task_status, owned by tasks */
};

struct cq_fleet_state {
	cq_fleet_changed_fn *changed;
	void *ctx;
	GPtrArray *nodes;
	GHashTable *names; /* name -> index + 1 */
	GHashTable *racks; /* name -> number + 1 */
	GHashTable *tasks; /* id -> struct cq_task_status */
};

static void node_free(void *data);
static void drop_task(struct cq_fleet_state *fleet, struct cq_task_status *task,
		      int64_t sent_ns);
static void drop_absent(struct cq_fleet_state *fleet, uint32_t worker,
			const struct cq_worker_report *report, int64_t sent_ns);
static void take_task(struct cq_fleet_state *fleet, uint32_t worker,
		      const struct cq_worker_task *from, int64_t sent_ns);

static struct node *node_at(const struct cq_fleet_state *fleet, uint32_t worker)
{
	assert(worker < fleet->nodes->len);
	return g_ptr_array_index(fleet->nodes, worker);
}

static void node_free(void *data)
{
	struct node *node = data;

	g_hash_table_destroy(node->tasks);
	g_free(node);
}

struct cq_fleet_state *cq_fleet_state_create(cq_fleet_changed_fn *changed,
					     void *ctx)
{
	struct cq_fleet_state *fleet = g_new0(struct cq_fleet_state, 1);

	fleet->changed = changed;
	fleet->ctx = ctx;
	fleet->nodes = g_ptr_array_new_with_free_func(node_free);
	fleet->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return fleet;
}

void cq_fleet_state_destroy(struct cq_fleet_state *fleet)
{
	if (!fleet)
		return;
	g_ptr_array_free(fleet->nodes, TRUE);
	g_hash_table_destroy(fleet->names);
	g_hash_table_destroy(fleet->racks);
	g_hash_table_destroy(fleet->tasks);
	g_free(fleet);
}

static uint32_t number_of(GHashTable *table, const char *name)
{
	uint32_t number = GPOINTER_TO_UINT(g_hash_table_lookup(table, name));

	if (number)
		return number - 1;
	number = g_hash_table_size(table) + 1;
	g_hash_table_insert(table, g_strdup(name), GUINT_TO_POINTER(number));
	return number - 1;
}

uint32_t cq_fleet_state_list_worker(struct cq_fleet_state *fleet,
				    const char *name, const char *address,
				    const char *rack)
{
	uint32_t worker = number_of(fleet->names, name);
	struct node *node;

	if (worker == fleet->nodes->len) {
		node = g_new0(struct node, 1);
		node->tasks = g_hash_table_new(NULL, NULL);
		g_strlcpy(node->public.name, name, sizeof(node->public.name));
		g_ptr_array_add(fleet->nodes, node);
	}
	node = node_at(fleet, worker);
	g_strlcpy(node->public.address, address, sizeof(node->public.address));
	g_strlcpy(node->public.rack_name, rack, sizeof(node->public.rack_name));
	node->public.rack = number_of(fleet->racks, rack);
	node->public.listed = true;
	return worker;
}

uint32_t cq_fleet_state_count(const struct cq_fleet_state *fleet)
{
	return fleet->nodes->len;
}

struct cq_fleet_node *cq_fleet_state_node(struct cq_fleet_state *fleet,
					  uint32_t worker)
{
	return &node_at(fleet, worker)->public;
}

uint32_t cq_fleet_state_find(const struct cq_fleet_state *fleet,
			     const char *name)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(fleet->names, name)) - 1;
}

struct cq_task_status *cq_fleet_state_task(struct cq_fleet_state *fleet,
					   const char *task_id)
{
	return g_hash_table_lookup(fleet->tasks, task_id);
}

static void drop_task(struct cq_fleet_state *fleet, struct cq_task_status *task,
		      int64_t sent_ns)
{
	struct cq_task_status copy = *task;

	g_hash_table_remove(node_at(fleet, task->worker)->tasks, task);
	g_hash_table_remove(fleet->tasks, copy.id);
	fleet->changed(fleet->ctx, &copy, false, sent_ns);
}

static void drop_absent(struct cq_fleet_state *fleet, uint32_t worker,
			const struct cq_worker_report *report, int64_t sent_ns)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *absent = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;
	uint32_t i;

	for (i = 0; i < report->task_count; i++)
		g_hash_table_add(ids, (char *)report->tasks[i].task_id);
	g_hash_table_iter_init(&iter, node_at(fleet, worker)->tasks);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_task_status *task = key;

		if (!g_hash_table_contains(ids, task->id))
			g_ptr_array_add(absent, task);
	}
	for (i = 0; i < absent->len; i++)
		drop_task(fleet, absent->pdata[i], sent_ns);
	g_ptr_array_free(absent, TRUE);
	g_hash_table_destroy(ids);
}

static void take_task(struct cq_fleet_state *fleet, uint32_t worker,
		      const struct cq_worker_task *from, int64_t sent_ns)
{
	struct cq_task_status *task =
		g_hash_table_lookup(fleet->tasks, from->task_id);

	if (strlen(from->task_id) >= CQ_JOB_TASK_ID_BYTES ||
	    strlen(from->job_id) >= CQ_JOB_ID_BYTES)
		return;
	if (!task) {
		task = g_new0(struct cq_task_status, 1);
		g_strlcpy(task->id, from->task_id, sizeof(task->id));
		g_strlcpy(task->job_id, from->job_id, sizeof(task->job_id));
		g_hash_table_insert(fleet->tasks, task->id, task);
	} else if (task->worker != worker) {
		g_hash_table_remove(node_at(fleet, task->worker)->tasks, task);
	}
	g_strlcpy(task->workspace, from->workspace, sizeof(task->workspace));
	g_strlcpy(task->class_name, from->class_name, sizeof(task->class_name));
	task->worker = worker;
	task->attempt = from->attempt;
	task->rank = from->rank;
	task->gang_size = from->gang_size;
	task->state = from->state;
	task->accelerator_mask = from->accelerator_mask;
	task->cell = from->cell;
	task->cpu_millicores = from->cpu_millicores;
	task->memory_bytes = from->memory_bytes;
	task->observed_millicores = from->observed_millicores;
	task->observed_memory_bytes = from->observed_memory_bytes;
	task->throttle_pct = from->throttle_pct;
	task->run_ms = from->run_ms;
	task->checkpoint_ms = from->checkpoint_ms;
	g_hash_table_add(node_at(fleet, worker)->tasks, task);
	fleet->changed(fleet->ctx, task, true, sent_ns);
}

bool cq_fleet_state_report(struct cq_fleet_state *fleet, uint32_t worker,
			   const struct cq_worker_report *report, bool full,
			   int64_t sent_ns)
{
	struct cq_fleet_node *node = &node_at(fleet, worker)->public;
	uint32_t i;

	if (!full && strcmp(node->boot_id, report->boot_id) != 0)
		return false;
	g_strlcpy(node->boot_id, report->boot_id, sizeof(node->boot_id));
	node->version = report->version;
	node->accelerators = report->accelerators;
	node->millicores = report->millicores;
	node->memory_bytes = report->memory_bytes;
	node->answered_ns = MAX(node->answered_ns, sent_ns);
	node->lost = false;
	if (full) {
		drop_absent(fleet, worker, report, sent_ns);
		node->reported = true;
	}
	for (i = 0; i < report->task_count; i++)
		take_task(fleet, worker, &report->tasks[i], sent_ns);
	return true;
}

void cq_fleet_state_forget_tasks(struct cq_fleet_state *fleet, uint32_t worker)
{
	struct node *node = node_at(fleet, worker);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, node->tasks);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_task_status *task = key;

		g_hash_table_iter_remove(&iter);
		g_hash_table_remove(fleet->tasks, task->id);
	}
}

void cq_fleet_state_visit(struct cq_fleet_state *fleet,
			  cq_fleet_visit_fn *visit, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!visit(ctx, value))
			return;
}

void cq_fleet_state_visit_worker(struct cq_fleet_state *fleet, uint32_t worker,
				 cq_fleet_visit_fn *visit, void *ctx)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, node_at(fleet, worker)->tasks);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!visit(ctx, key))
			return;
}
