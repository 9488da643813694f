/* Use of the workspaces, shortfalls and capacity of this data centre. */
#include <jansson.h>
#include <string.h>

#include "coordination/controller_private.h"

struct usage {
	const char *name;
	int64_t guaranteed;
	int64_t within; /* accelerators of tasks charged to a guarantee */
	int64_t borrowed;
	int64_t running;
	int64_t waiting;
};

static struct usage *usage_of(GHashTable *usages, const char *name);
static void add_guarantees(const struct cq_controller *c, GHashTable *usages);
static void add_jobs(const struct cq_controller *c, GHashTable *usages);
static bool add_task(void *ctx, struct cq_fleet_view *task);
static json_t *usage_json(const struct usage *usage);

static struct usage *usage_of(GHashTable *usages, const char *name)
{
	struct usage *usage = g_hash_table_lookup(usages, name);

	if (usage)
		return usage;
	usage = g_new0(struct usage, 1);
	usage->name = name;
	g_hash_table_insert(usages, (gpointer)name, usage);
	return usage;
}

static void add_guarantees(const struct cq_controller *c, GHashTable *usages)
{
	guint i;

	for (i = 0; i < c->guarantees->len; i++) {
		const struct cq_controller_guarantee *g = &g_array_index(
			c->guarantees, struct cq_controller_guarantee, i);

		usage_of(usages, g->workspace)->guaranteed +=
			(int64_t)g->count * g->accelerators;
	}
}

static void add_jobs(const struct cq_controller *c, GHashTable *usages)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct cq_job *job = value;
		struct usage *usage;

		if (cq_job_phase_is_terminal(job->record.phase))
			continue;
		usage = usage_of(usages, job->record.workspace);
		if (cq_job_phase_is_waiting(job->record.phase))
			usage->waiting++;
		else
			usage->running++;
	}
}

static bool add_task(void *ctx, struct cq_fleet_view *task)
{
	GHashTable *usages = ctx;
	int64_t accelerators = __builtin_popcountll(task->accelerator_mask);
	struct usage *usage;

	if (!cq_task_state_is_live(task->state))
		return true;
	usage = usage_of(usages, task->workspace);
	if (task->cell)
		usage->within += accelerators;
	else
		usage->borrowed += accelerators;
	return true;
}

static json_t *usage_json(const struct usage *usage)
{
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "name", usage->name,
			 "guaranteed_accelerators",
			 (json_int_t)usage->guaranteed, "used_accelerators",
			 (json_int_t)usage->within + usage->borrowed,
			 "borrowed_accelerators", (json_int_t)usage->borrowed,
			 "reclaimable_accelerators",
			 (json_int_t)MAX(usage->guaranteed - usage->within, 0),
			 "running_jobs", (json_int_t)usage->running,
			 "waiting_jobs", (json_int_t)usage->waiting);
}

char *cq_controller_list_workspaces(struct cq_controller *c)
{
	GHashTable *usages =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	json_t *list = json_array();
	json_t *shortfalls = json_array();
	json_t *body;
	GHashTableIter iter;
	gpointer value;
	char *text;
	guint i;

	add_guarantees(c, usages);
	add_jobs(c, usages);
	cq_fleet_state_visit(c->fleet, add_task, usages);
	g_hash_table_iter_init(&iter, usages);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(list, usage_json(value));
	for (i = 0; i < c->shortfalls->len; i++)
		json_array_append_new(shortfalls,
				      json_string(c->shortfalls->pdata[i]));
	body = json_pack("{s:s,s:o,s:o}", "data_centre", c->data_centre,
			 "workspaces", list, "shortfalls", shortfalls);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	g_hash_table_destroy(usages);
	return text;
}

void cq_controller_note_shortfalls(struct cq_controller *c,
				   const struct cq_snapshot *snapshot,
				   const struct cq_plan *plan)
{
	char text[CQ_ERROR_MESSAGE_BYTES];
	uint32_t i;

	g_ptr_array_set_size(c->shortfalls, 0);
	for (i = 0; i < plan->shortfall_count; i++) {
		cq_plan_explain_shortfall(snapshot, &plan->shortfalls[i], text,
					  sizeof(text));
		g_ptr_array_add(c->shortfalls, g_strdup(text));
	}
}

uint32_t cq_controller_shortfalls(const struct cq_controller *c)
{
	return c->shortfalls->len;
}

const char *cq_controller_shortfall(const struct cq_controller *c, uint32_t i)
{
	return c->shortfalls->pdata[i];
}

uint32_t cq_controller_racks(const struct cq_controller *c,
			     struct cq_controller_rack *racks, uint32_t max)
{
	uint32_t count = 0;
	uint32_t i;
	uint32_t k;

	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		const struct cq_fleet_node *node =
			cq_fleet_state_node(c->fleet, i);

		if (!node->listed || !node->reported || node->lost)
			continue;
		for (k = 0; k < count; k++)
			if (racks[k].rack == node->rack &&
			    racks[k].accelerators == node->accelerators)
				break;
		if (k == max)
			continue;
		if (k == count)
			racks[count++] = (struct cq_controller_rack){
				.rack = node->rack,
				.accelerators = node->accelerators,
			};
		racks[k].workers++;
	}
	return count;
}
