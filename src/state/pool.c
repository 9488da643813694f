#include "chestnutquay/pool.h"

#include <string.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/text.h"

static void rack_free(void *data);
static void worker_free(void *data);
static void leave_rack(struct cq_pool_worker *worker);
static void enter_rack(struct cq_pool_worker *worker, const char *name);
static int64_t reserved_cpu_millicores(const struct cq_workload_step *step);

static void rack_free(void *data)
{
	struct cq_pool_rack *rack = data;

	cq_text_clear(&rack->name);
	g_free(rack);
}

static void leave_rack(struct cq_pool_worker *worker)
{
	struct cq_pool_rack *rack = worker->rack;

	worker->rack = NULL;
	if (rack && !--rack->worker_count)
		g_hash_table_remove(worker->pool->racks, rack->name);
}

static void enter_rack(struct cq_pool_worker *worker, const char *name)
{
	GHashTable *racks = worker->pool->racks;
	struct cq_pool_rack *rack = g_hash_table_lookup(racks, name);

	if (!rack) {
		rack = g_new0(struct cq_pool_rack, 1);
		cq_text_set(&rack->name, name);
		g_hash_table_insert(racks, (char *)rack->name, rack);
	}
	rack->worker_count++;
	worker->rack = rack;
}

static void worker_free(void *data)
{
	struct cq_pool_worker *worker = data;

	leave_rack(worker);
	g_ptr_array_unref(worker->runs);
	cq_executor_registration_clear(&worker->listing);
	g_free(worker);
}

struct cq_pool *cq_pool_create(void)
{
	struct cq_pool *pool = g_new0(struct cq_pool, 1);

	pool->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      worker_free);
	pool->racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rack_free);
	return pool;
}

void cq_pool_destroy(struct cq_pool *pool)
{
	if (!pool)
		return;
	g_hash_table_destroy(pool->workers);
	g_hash_table_destroy(pool->racks);
	g_free(pool);
}

struct cq_pool_worker *cq_pool_find(const struct cq_pool *pool, const char *id)
{
	return g_hash_table_lookup(pool->workers, id);
}

struct cq_pool_worker *cq_pool_add(struct cq_pool *pool, const char *id)
{
	struct cq_pool_worker *worker = cq_pool_find(pool, id);

	if (worker)
		return worker;
	worker = g_new0(struct cq_pool_worker, 1);
	cq_executor_registration_init(&worker->listing);
	cq_text_set(&worker->listing.id, id);
	worker->pool = pool;
	worker->runs = g_ptr_array_new();
	g_hash_table_insert(pool->workers, g_strdup(id), worker);
	return worker;
}

void cq_pool_remove(struct cq_pool *pool, struct cq_pool_worker *worker)
{
	g_hash_table_remove(pool->workers, worker->listing.id);
}

static int64_t reserved_cpu_millicores(const struct cq_workload_step *step)
{
	return step->fills ? 0 : step->cpu_millicores;
}

void cq_pool_update(struct cq_pool_worker *worker,
		    const struct cq_executor_registration *listing)
{
	guint i;

	cq_executor_registration_copy(&worker->listing, listing);
	worker->listed = true;
	if (!worker->rack || strcmp(worker->rack->name, worker->listing.rack)) {
		leave_rack(worker);
		enter_rack(worker, worker->listing.rack);
	}
	worker->free_cpu_millicores = listing->cpu_millicores;
	worker->free_memory_mb = listing->memory_mb;
	worker->free_accelerators = listing->accelerators;
	for (i = 0; i < worker->runs->len; i++) {
		const struct cq_task *task = g_ptr_array_index(worker->runs, i);
		const struct cq_workload_step *step = task->stage->step;

		worker->free_cpu_millicores -= reserved_cpu_millicores(step);
		worker->free_memory_mb -= step->memory_mb;
		worker->free_accelerators -= step->accelerators;
	}
}

void cq_pool_book(struct cq_pool_worker *worker, struct cq_task *task)
{
	const struct cq_workload_step *step = task->stage->step;

	task->pool_index = worker->runs->len;
	g_ptr_array_add(worker->runs, task);
	worker->fill_runs += step->fills;
	worker->target_runs += step->target_ms > 0;
	worker->free_cpu_millicores -= reserved_cpu_millicores(step);
	worker->free_memory_mb -= step->memory_mb;
	worker->free_accelerators -= step->accelerators;
}

void cq_pool_release(struct cq_pool_worker *worker, struct cq_task *task)
{
	const struct cq_workload_step *step = task->stage->step;
	guint index = task->pool_index;
	struct cq_task *moved;

	if (index >= worker->runs->len ||
	    g_ptr_array_index(worker->runs, index) != task)
		return;
	g_ptr_array_remove_index_fast(worker->runs, index);
	if (index < worker->runs->len) {
		moved = g_ptr_array_index(worker->runs, index);
		moved->pool_index = index;
	}
	worker->fill_runs -= step->fills;
	worker->target_runs -= step->target_ms > 0;
	worker->free_cpu_millicores += reserved_cpu_millicores(step);
	worker->free_memory_mb += step->memory_mb;
	worker->free_accelerators += step->accelerators;
}

bool cq_pool_fits(const struct cq_pool_worker *worker,
		  const struct cq_workload_step *step, uint32_t tasks)
{
	return worker->free_cpu_millicores >=
		       reserved_cpu_millicores(step) * tasks &&
	       worker->free_memory_mb >= (int64_t)step->memory_mb * tasks &&
	       worker->free_accelerators >= (int64_t)step->accelerators * tasks;
}

bool cq_pool_has_label(const struct cq_pool_worker *worker, const char *label)
{
	uint32_t i;

	if (!label)
		return true;
	for (i = 0; i < worker->listing.label_count; i++)
		if (!strcmp(worker->listing.labels[i], label))
			return true;
	return false;
}
