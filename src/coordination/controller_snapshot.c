/* Builds the planner's snapshot from the records, the gangs and the reports. */
#include "controller_snapshot.h"

#include <string.h>

/* Time between a start and useful work, as assumed for every job. */
#define RESTART_COST_NS (5 * CQ_NS_PER_S)

static uint32_t number_of(GHashTable *numbers, GArray *array, const char *name)
{
	uint32_t number = GPOINTER_TO_UINT(g_hash_table_lookup(numbers, name));
	struct cq_fleet_workspace workspace;

	if (number)
		return number - 1;
	workspace.name = g_strdup(name);
	number = array->len + 1;
	g_hash_table_insert(numbers, (char *)workspace.name,
			    GUINT_TO_POINTER(number));
	g_array_append_val(array, workspace);
	return number - 1;
}

/* A class that the settings do not have any more is served last. */
static uint32_t class_of(struct cq_controller_snapshot *s, const char *name)
{
	uint32_t number =
		GPOINTER_TO_UINT(g_hash_table_lookup(s->class_numbers, name));
	struct cq_fleet_class class = { .rank = 1000 };

	if (number)
		return number - 1;
	class.name = g_strdup(name);
	number = s->classes->len + 1;
	g_hash_table_insert(s->class_numbers, (char *)class.name,
			    GUINT_TO_POINTER(number));
	g_array_append_val(s->classes, class);
	return number - 1;
}

static void add_intent(struct cq_controller *c,
		       struct cq_controller_snapshot *s)
{
	guint i;

	for (i = 0; i < c->classes->len; i++) {
		const struct cq_controller_class *from = &g_array_index(
			c->classes, struct cq_controller_class, i);
		struct cq_fleet_class *class;
		uint32_t number = class_of(s, from->name);

		class = &g_array_index(s->classes, struct cq_fleet_class,
				       number);
		class->rank = from->rank;
		class->urgent = from->urgent;
	}
	for (i = 0; i < c->guarantees->len; i++) {
		const struct cq_controller_guarantee *from = &g_array_index(
			c->guarantees, struct cq_controller_guarantee, i);
		struct cq_fleet_guarantee guarantee = {
			.id = from->id,
			.workspace = number_of(s->workspace_numbers,
					       s->workspaces, from->workspace),
			.count = from->count,
			.accelerators = from->accelerators,
			.adjacency = from->adjacency,
		};

		if (guarantee.count)
			g_array_append_val(s->guarantees, guarantee);
	}
}

static void add_workers(struct cq_controller *c,
			struct cq_controller_snapshot *s)
{
	uint32_t i;

	s->capacity_known = true;
	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		const struct cq_fleet_node *node =
			cq_fleet_state_node(c->fleet, i);
		struct cq_fleet_worker worker = {
			.name = node->name,
			.rack = node->rack,
			.state = node->listed && node->reported && !node->lost
					 ? CQ_WORKER_UP
					 : CQ_WORKER_LOST,
			.accelerators = node->accelerators,
			.millicores = node->millicores,
			.memory_bytes = node->memory_bytes,
		};

		if (node->listed && !node->memory_bytes)
			s->capacity_known = false;
		g_array_append_val(s->workers, worker);
	}
}

void cq_controller_snapshot_job(struct cq_controller_snapshot *s,
				const struct cq_job_record *record,
				struct cq_fleet_job *job)
{
	*job = (struct cq_fleet_job){
		.id = record->id,
		.state = CQ_JOB_WAITING,
		.workspace = number_of(s->workspace_numbers, s->workspaces,
				       record->workspace),
		.class_index = class_of(s, record->class_name),
		/* The only one of the snapshot. */
		.dc = 0,
		.tasks = record->tasks,
		.adjacency = record->adjacency,
		.accelerators = record->accelerators,
		.millicores = record->cpu_millicores,
		.memory_bytes = record->memory_bytes,
		.declared_run_ns = record->expected_ms < 0
					   ? CQ_FLEET_UNKNOWN_NS
					   : record->expected_ms * CQ_NS_PER_MS,
		.done_ns = record->done_ms * CQ_NS_PER_MS,
		.evictions = record->evictions,
		.can_checkpoint = record->can_checkpoint,
		.checkpoint_cost_ns = s->checkpoint_cost_ns,
		.restart_cost_ns = RESTART_COST_NS,
		.last_checkpoint_ns = CQ_FLEET_UNKNOWN_NS,
		.stop_for = CQ_FLEET_NONE,
	};
}

static void add_task(struct cq_controller_snapshot *s,
		     const struct cq_task_status *view,
		     const struct cq_job_place *place, uint32_t job,
		     uint32_t rank, const char *id)
{
	struct cq_fleet_task task = {
		.job = job,
		.rank = rank,
		.worker = place->worker,
		.accelerator_mask = place->accelerator_mask,
		.cell = place->cell,
		.throttle_percent = 100,
	};
	const struct cq_fleet_worker *worker = &g_array_index(
		s->workers, struct cq_fleet_worker, place->worker);

	/* A worker that came back smaller than its tasks. */
	if (worker->accelerators < CQ_FLEET_MAX_ACCELERATORS &&
	    task.accelerator_mask >> worker->accelerators)
		return;
	if (view) {
		task.observed_millicores = view->observed_millicores;
		task.observed_memory_bytes = view->observed_memory_bytes;
		if (view->state != CQ_TASK_HELD)
			task.throttle_percent = view->throttle_pct;
	}
	g_array_append_val(s->tasks, task);
	g_ptr_array_add(s->task_ids, g_strdup(id));
}

/* Tasks of an attempt that this owner planned or took over. */
static void add_attempt(struct cq_controller_snapshot *s, struct cq_job *job,
			uint32_t number)
{
	char id[CQ_JOB_TASK_ID_BYTES];
	uint32_t i;

	for (i = 0; i < job->record.tasks; i++) {
		/*
		 * Members that finished early keep their place until the gang
		 * ends; to the planner a missing one would be a lost one.
		 */
		if (job->places[i].worker == UINT32_MAX ||
		    (job->gang &&
		     cq_gang_state(job->gang) >= CQ_GANG_STOPPING &&
		     !cq_gang_occupies(job->gang, i)))
			continue;
		cq_job_task_id(job->record.id, job->places_attempt, i, id);
		add_task(s, cq_fleet_state_task(job->controller->fleet, id),
			 &job->places[i], number, i, id);
	}
}

static void add_job(struct cq_controller_snapshot *s, struct cq_job *job,
		    int64_t now_ns, int64_t unix_ms)
{
	struct cq_fleet_job entry;
	bool running = job->places != NULL;

	job->snapshot_index = CQ_FLEET_NONE;
	if (!running &&
	    (!cq_job_phase_is_waiting(job->record.phase) ||
	     job->record.cancel || job->writing || now_ns < job->not_before_ns))
		return;
	job->snapshot_index = s->jobs->len;
	cq_controller_snapshot_job(s, &job->record, &entry);
	entry.submitted_ns =
		now_ns -
		MAX(unix_ms - job->record.submitted_unix_ms, 0) * CQ_NS_PER_MS;
	if (running) {
		entry.state = CQ_JOB_RUNNING;
		entry.started_ns = job->gang ? job->started_ns : now_ns;
		entry.stop_requested_ns = job->stop_requested_ns;
		entry.stop_deadline_ns = job->stop_deadline_ns;
		entry.stop_reason = (uint32_t)job->stop_reason;
	}
	g_array_append_val(s->jobs, entry);
	g_ptr_array_add(s->owners, job);
	if (running)
		add_attempt(s, job, job->snapshot_index);
}

struct stray_visit {
	struct cq_controller *c;
	struct cq_controller_snapshot *s;
	int64_t now_ns;
};

/*
 * Live tasks of no attempt known here still hold their accelerators; they
 * appear as jobs of their own, which the planner's actions cannot reach.
 */
static bool add_stray(void *ctx, struct cq_task_status *view)
{
	struct stray_visit *visit = ctx;
	struct cq_controller_snapshot *s = visit->s;
	const struct cq_job *job =
		g_hash_table_lookup(visit->c->jobs, view->job_id);
	struct cq_job_place place = { view->worker, view->accelerator_mask, 0 };
	struct cq_job_record record;
	struct cq_fleet_job entry;

	if (!cq_task_state_is_live(view->state) ||
	    (job && job->places && job->places_attempt == view->attempt &&
	     view->rank < job->record.tasks &&
	     job->places[view->rank].worker == view->worker))
		return true;
	cq_job_record_init(&record);
	g_strlcpy(record.workspace, view->workspace, sizeof(record.workspace));
	g_strlcpy(record.class_name, view->class_name,
		  sizeof(record.class_name));
	record.accelerators =
		(uint32_t)__builtin_popcountll(view->accelerator_mask);
	record.cpu_millicores = view->cpu_millicores;
	record.memory_bytes = view->memory_bytes;
	cq_controller_snapshot_job(s, &record, &entry);
	entry.id = view->id;
	entry.state = CQ_JOB_RUNNING;
	entry.submitted_ns = visit->now_ns;
	entry.started_ns = visit->now_ns;
	g_array_append_val(s->jobs, entry);
	g_ptr_array_add(s->owners, NULL);
	add_task(s, view, &place, s->jobs->len - 1, 0, view->id);
	return true;
}

static gint compare_jobs(gconstpointer a, gconstpointer b)
{
	const struct cq_job *first = *(struct cq_job *const *)a;
	const struct cq_job *second = *(struct cq_job *const *)b;

	if (first->record.submitted_unix_ms != second->record.submitted_unix_ms)
		return first->record.submitted_unix_ms <
				       second->record.submitted_unix_ms
			       ? -1
			       : 1;
	return strcmp(first->record.id, second->record.id);
}

static void add_jobs(struct cq_controller *c, struct cq_controller_snapshot *s,
		     int64_t now_ns)
{
	int64_t unix_ms = cq_clock_unix_ms(c->options.clock);
	GPtrArray *sorted = g_ptr_array_new();
	struct stray_visit visit = { c, s, now_ns };
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, c->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cq_job *job = value;

		if (!cq_job_phase_is_terminal(job->record.phase) || job->places)
			g_ptr_array_add(sorted, job);
	}
	g_ptr_array_sort(sorted, compare_jobs);
	for (i = 0; i < sorted->len; i++)
		add_job(s, sorted->pdata[i], now_ns, unix_ms);
	g_ptr_array_free(sorted, TRUE);
	cq_fleet_state_visit(c->fleet, add_stray, &visit);
	for (i = 0; i < s->owners->len; i++) {
		const struct cq_job *job = s->owners->pdata[i];
		const struct cq_job *other;

		if (!job || !*job->stop_for)
			continue;
		other = g_hash_table_lookup(c->jobs, job->stop_for);
		if (other)
			g_array_index(s->jobs, struct cq_fleet_job, i)
				.stop_for = other->snapshot_index;
	}
}

struct cq_controller_snapshot *
cq_controller_snapshot_create(struct cq_controller *c, bool with_jobs,
			      int64_t now_ns)
{
	struct cq_controller_snapshot *s =
		g_new0(struct cq_controller_snapshot, 1);

	s->workers = g_array_new(FALSE, FALSE, sizeof(struct cq_fleet_worker));
	s->classes = g_array_new(FALSE, FALSE, sizeof(struct cq_fleet_class));
	s->workspaces =
		g_array_new(FALSE, FALSE, sizeof(struct cq_fleet_workspace));
	s->guarantees =
		g_array_new(FALSE, FALSE, sizeof(struct cq_fleet_guarantee));
	s->jobs = g_array_new(FALSE, FALSE, sizeof(struct cq_fleet_job));
	s->tasks = g_array_new(FALSE, FALSE, sizeof(struct cq_fleet_task));
	s->owners = g_ptr_array_new();
	s->task_ids = g_ptr_array_new_with_free_func(g_free);
	s->class_numbers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->workspace_numbers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->dc = (struct cq_fleet_dc){
		.name = c->data_centre,
		.state = c->dc_in ? CQ_DC_IN : CQ_DC_OUT,
		.notice_deadline_ns = c->dc_notice_deadline_ns,
		.in_since_ns = c->dc_in_since_ns,
	};
	s->checkpoint_cost_ns = c->checkpoint_cost_ns;
	add_intent(c, s);
	add_workers(c, s);
	if (with_jobs)
		add_jobs(c, s, now_ns);
	s->snapshot = (struct cq_snapshot){
		.now_ns = now_ns,
		.policy = &c->policy,
		.dcs = &s->dc,
		.dc_count = 1,
		.workers = (void *)s->workers->data,
		.worker_count = s->workers->len,
		.classes = (void *)s->classes->data,
		.class_count = s->classes->len,
		.workspaces = (void *)s->workspaces->data,
		.workspace_count = s->workspaces->len,
		.guarantees = (void *)s->guarantees->data,
		.guarantee_count = s->guarantees->len,
		.jobs = (void *)s->jobs->data,
		.job_count = s->jobs->len,
		.tasks = (void *)s->tasks->data,
		.task_count = s->tasks->len,
	};
	return s;
}

void cq_controller_snapshot_destroy(struct cq_controller_snapshot *s)
{
	g_array_free(s->workers, TRUE);
	g_array_free(s->classes, TRUE);
	g_array_free(s->workspaces, TRUE);
	g_array_free(s->guarantees, TRUE);
	g_array_free(s->jobs, TRUE);
	g_array_free(s->tasks, TRUE);
	g_ptr_array_free(s->owners, TRUE);
	g_ptr_array_free(s->task_ids, TRUE);
	g_hash_table_destroy(s->class_numbers);
	g_hash_table_destroy(s->workspace_numbers);
	g_free(s);
}
