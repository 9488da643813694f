/*
 * Placement of stages and selection of victims, for gangs that need a whole
 * rack beside many small tasks and for urgent gangs that come in bursts.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/placement.h"
#include "chestnutquay/text.h"

#define NOW_NS (INT64_C(100) * CQ_NS_PER_S)
#define REMOTE_FACTOR 3

struct fixture {
	struct cq_pool *pool;
	GPtrArray *batches;
};

static void fixture_setup(struct fixture *w, int racks, int workers_each)
{
	int rack, k;

	w->pool = cq_pool_create();
	w->batches = g_ptr_array_new_with_free_func(
		(GDestroyNotify)cq_batch_destroy);
	for (rack = 0; rack < racks; rack++)
		for (k = 0; k < workers_each; k++) {
			char id[16], name[16];
			struct cq_executor_registration listing = {
				.id = id,
				.service = "s",
				.rack = name,
				.cpu_millicores = 128000,
				.memory_mb = 524288,
				.accelerators = 8,
			};
			struct cq_pool_worker *worker;

			g_snprintf(id, sizeof(id), "r%d-%d", rack, k);
			g_snprintf(name, sizeof(name), "r0-%d", rack);
			worker = cq_pool_add(w->pool, id);
			cq_pool_update(worker, &listing);
			worker->usable = true;
		}
}

static void fixture_teardown(struct fixture *w)
{
	g_ptr_array_unref(w->batches);
	cq_pool_destroy(w->pool);
}

static struct cq_stage *add_stage(struct fixture *w, uint32_t rank,
				  uint32_t tasks, uint32_t accelerators,
				  uint32_t memory_mb)
{
	struct cq_workload *job = cq_workload_create();
	struct cq_batch *batch;

	job->steps = g_new0(struct cq_workload_step, 1);
	job->step_count = 1;
	job->steps[0].tasks = tasks;
	job->steps[0].accelerators = accelerators;
	job->steps[0].memory_mb = memory_mb;
	batch = cq_batch_create(job);
	cq_batch_stage_at(batch, 0)->rank = rank;
	g_ptr_array_add(w->batches, batch);
	return cq_batch_stage_at(batch, 0);
}

static struct cq_workload_step *step_of(struct cq_stage *s)
{
	return s->batch->workload->steps;
}

static struct cq_placement placement(struct fixture *w, struct cq_stage *s,
				     bool pack_racks)
{
	cq_placement_prepare(w->pool);
	return (struct cq_placement){
		.pool = w->pool,
		.stage = s,
		.service = "s",
		.now_ns = NOW_NS,
		.remote_factor = REMOTE_FACTOR,
		.pack_racks = pack_racks,
	};
}

/* Places and books the stage; returns the number of tasks placed. */
static uint32_t start_stage(struct fixture *w, struct cq_stage *s,
			    bool pack_racks)
{
	struct cq_placement p = placement(w, s, pack_racks);
	GArray *assignments =
		g_array_new(FALSE, TRUE, sizeof(struct cq_assignment));
	uint32_t placed = cq_placement_find(&p, assignments);
	guint i;

	for (i = 0; i < assignments->len; i++) {
		const struct cq_assignment *a =
			&g_array_index(assignments, struct cq_assignment, i);

		cq_task_assign(a->task, a->worker, 1);
		a->task->phase = CQ_RUN_CONFIRMED;
		a->task->started_ns = NOW_NS - CQ_NS_PER_S;
	}
	g_array_unref(assignments);
	return placed;
}

static uint32_t racks_used(const struct cq_stage *s)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t count, i;

	for (i = 0; i < s->step->tasks; i++)
		g_hash_table_add(racks,
				 (char *)s->tasks[i].worker->listing.rack);
	count = g_hash_table_size(racks);
	g_hash_table_destroy(racks);
	return count;
}

/*
 * Guards against small tasks that came first and take room in every rack, so
 * that no whole rack is left for a gang.
 */
static void test_small_tasks_leave_racks(void)
{
	struct fixture w;
	struct cq_stage *gang;
	int k;

	fixture_setup(&w, 4, 6);
	for (k = 0; k < 5; k++)
		g_assert_cmpuint(start_stage(&w, add_stage(&w, 2, 16, 1, 59000),
					     true),
				 ==, 16);
	gang = add_stage(&w, 1, 6, 8, 210000);
	step_of(gang)->gang = true;
	step_of(gang)->same_rack = true;
	g_assert_cmpuint(start_stage(&w, gang, true), ==, 6);
	g_assert_cmpuint(racks_used(gang), ==, 1);
	fixture_teardown(&w);
}

/*
 * Guards against spreading a same_rack gang over two racks, where it would take
 * three times as long, instead of waiting for one rack.
 */
static void test_gang_waits_for_a_rack(void)
{
	struct fixture w;
	struct cq_stage *small, *gang;

	fixture_setup(&w, 2, 2);
	/* Places one task in each rack. */
	small = add_stage(&w, 2, 2, 8, 1000);
	cq_task_assign(&small->tasks[0], cq_pool_find(w.pool, "r0-0"), 1);
	cq_task_assign(&small->tasks[1], cq_pool_find(w.pool, "r1-0"), 1);
	gang = add_stage(&w, 1, 2, 8, 1000);
	step_of(gang)->gang = true;
	step_of(gang)->same_rack = true;
	g_assert_cmpuint(start_stage(&w, gang, true), ==, 0);
	/* A gang that no rack could ever hold is spread. */
	cq_task_end(&small->tasks[0], CQ_RUN_DONE, NULL, 0);
	cq_task_end(&small->tasks[1], CQ_RUN_DONE, NULL, 0);
	gang = add_stage(&w, 1, 4, 8, 1000);
	step_of(gang)->gang = true;
	step_of(gang)->same_rack = true;
	g_assert_cmpuint(start_stage(&w, gang, true), ==, 4);
	fixture_teardown(&w);
}

/*
 * Guards against placing a gang in part, and against resources that stay taken
 * after a failed placement.
 */
static void test_gang_whole(void)
{
	struct fixture w;
	struct cq_stage *gang;

	fixture_setup(&w, 1, 2);
	gang = add_stage(&w, 1, 3, 8, 1000);
	step_of(gang)->gang = true;
	g_assert_cmpuint(start_stage(&w, gang, false), ==, 0);
	g_assert_cmpint(cq_pool_find(w.pool, "r0-0")->free_accelerators, ==, 8);
	fixture_teardown(&w);
}

/* Guards against ignoring max_per_worker and required_label. */
static void test_constraints(void)
{
	struct fixture w;
	struct cq_stage *s;
	struct cq_pool_worker *worker;

	fixture_setup(&w, 1, 3);
	s = add_stage(&w, 1, 6, 1, 1000);
	step_of(s)->max_per_worker = 1;
	g_assert_cmpuint(start_stage(&w, s, false), ==, 3);
	s = add_stage(&w, 1, 1, 1, 1000);
	cq_text_set(&step_of(s)->required_label, "big");
	g_assert_cmpuint(start_stage(&w, s, false), ==, 0);
	worker = cq_pool_find(w.pool, "r0-1");
	cq_executor_registration_add_label(&worker->listing, "big");
	g_assert_cmpuint(start_stage(&w, s, false), ==, 1);
	g_assert_true(s->tasks[0].worker == worker);
	fixture_teardown(&w);
}

/*
 * Guards against thousands of small tasks on one worker beside idle ones, where
 * each answer of the worker lists all of them.
 */
static void test_many_small_tasks_spread(void)
{
	struct fixture w;
	GHashTableIter iter;
	gpointer value;

	fixture_setup(&w, 1, 4);
	start_stage(&w, add_stage(&w, 2, 500, 0, 1), true);
	g_assert_cmpuint(start_stage(&w, add_stage(&w, 2, 9500, 0, 1), true),
			 ==, 9500);
	g_hash_table_iter_init(&iter, w.pool->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_assert_cmpuint(((struct cq_pool_worker *)value)->runs->len,
				 <=, 10000 / 4 + 512);
	fixture_teardown(&w);
}

static bool select_victims(struct fixture *w, struct cq_stage *s,
			   GPtrArray *out)
{
	const struct cq_placement p = placement(w, s, false);

	return cq_placement_select_victims(&p, G_MAXDOUBLE, out);
}

/*
 * Guards against preempting a gang that would start anew while work that can be
 * resumed would make room.
 */
static void test_cheapest_gives_way(void)
{
	struct fixture w;
	struct cq_stage *gang, *resumable, *urgent;
	GPtrArray *out = g_ptr_array_new();

	fixture_setup(&w, 1, 2);
	gang = add_stage(&w, 1, 2, 4, 1000);
	step_of(gang)->gang = true;
	step_of(gang)->cpu_millicores = 50000;
	step_of(gang)->max_per_worker = 2;
	g_assert_cmpuint(start_stage(&w, gang, false), ==, 2);
	resumable = add_stage(&w, 2, 8, 1, 1000);
	step_of(resumable)->checkpointing = true;
	g_assert_cmpuint(start_stage(&w, resumable, false), ==, 8);
	urgent = add_stage(&w, 0, 1, 8, 1000);
	g_assert_cmpuint(start_stage(&w, urgent, false), ==, 0);
	g_assert_true(select_victims(&w, urgent, out));
	g_assert_cmpuint(out->len, ==, 8);
	g_assert_true(((struct cq_task *)g_ptr_array_index(out, 0))->stage ==
		      resumable);
	g_ptr_array_unref(out);
	fixture_teardown(&w);
}

/*
 * Guards against preempting two gangs where one is enough. Two urgent tasks
 * need a worker each; two gangs of two run on two workers each, so that
 * preempting either gang makes room for both tasks.
 */
static void test_one_gang_gives_way(void)
{
	struct fixture w;
	struct cq_stage *gangs[2];
	GPtrArray *out = g_ptr_array_new();
	uint32_t i, k;

	fixture_setup(&w, 1, 4);
	for (i = 0; i < 2; i++) {
		gangs[i] = add_stage(&w, 1, 2, 8, 1000);
		step_of(gangs[i])->gang = true;
		for (k = 0; k < 2; k++) {
			char id[8];

			g_snprintf(id, sizeof(id), "r0-%u", 2 * k + i);
			cq_task_assign(&gangs[i]->tasks[k],
				       cq_pool_find(w.pool, id), 1);
			gangs[i]->tasks[k].started_ns = NOW_NS - CQ_NS_PER_S;
		}
	}
	g_assert_true(select_victims(&w, add_stage(&w, 0, 2, 8, 1000), out));
	g_assert_cmpuint(out->len, ==, 2);
	g_assert_true(((struct cq_task *)g_ptr_array_index(out, 0))->stage ==
		      ((struct cq_task *)g_ptr_array_index(out, 1))->stage);
	g_ptr_array_unref(out);
	fixture_teardown(&w);
}

/*
 * Guards against stopping more runs although those being stopped make enough
 * room.
 */
static void test_stopping_counts_as_room(void)
{
	struct fixture w;
	struct cq_stage *small, *urgent;
	GPtrArray *out = g_ptr_array_new();
	uint32_t i;

	fixture_setup(&w, 1, 1);
	small = add_stage(&w, 2, 8, 1, 1000);
	g_assert_cmpuint(start_stage(&w, small, false), ==, 8);
	urgent = add_stage(&w, 0, 1, 4, 1000);
	g_assert_true(select_victims(&w, urgent, out));
	g_assert_cmpuint(out->len, ==, 4);
	for (i = 0; i < out->len; i++)
		((struct cq_task *)g_ptr_array_index(out, i))->stopping = true;
	g_ptr_array_set_size(out, 0);
	g_assert_true(select_victims(&w, urgent, out));
	g_assert_cmpuint(out->len, ==, 0);
	/* The worker is reserved for the urgent stage. */
	g_assert_cmpuint(start_stage(&w, add_stage(&w, 2, 1, 0, 10), false), ==,
			 0);
	/* Work of the same rank is not preempted. */
	cq_pool_find(w.pool, "r0-0")->reserved_for = NULL;
	g_assert_false(select_victims(&w, add_stage(&w, 2, 1, 8, 1000), out));
	g_ptr_array_unref(out);
	fixture_teardown(&w);
}

/* Guards against making room for a same_rack gang in several racks. */
static void test_room_in_one_rack(void)
{
	struct fixture w;
	struct cq_stage *urgent;
	GPtrArray *out = g_ptr_array_new();
	guint i;

	fixture_setup(&w, 2, 2);
	g_assert_cmpuint(start_stage(&w, add_stage(&w, 2, 32, 1, 1000), false),
			 ==, 32);
	urgent = add_stage(&w, 0, 2, 8, 1000);
	step_of(urgent)->gang = true;
	step_of(urgent)->same_rack = true;
	g_assert_true(select_victims(&w, urgent, out));
	g_assert_cmpuint(out->len, ==, 16);
	for (i = 1; i < out->len; i++)
		g_assert_cmpstr(((struct cq_task *)g_ptr_array_index(out, i))
					->worker->listing.rack,
				==,
				((struct cq_task *)g_ptr_array_index(out, 0))
					->worker->listing.rack);
	g_ptr_array_unref(out);
	fixture_teardown(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/placement/many_small_tasks_spread",
			test_many_small_tasks_spread);
	g_test_add_func("/placement/small_tasks_leave_racks",
			test_small_tasks_leave_racks);
	g_test_add_func("/placement/gang_waits_for_a_rack",
			test_gang_waits_for_a_rack);
	g_test_add_func("/placement/gang_whole", test_gang_whole);
	g_test_add_func("/placement/constraints", test_constraints);
	g_test_add_func("/placement/cheapest_gives_way",
			test_cheapest_gives_way);
	g_test_add_func("/placement/one_gang_gives_way",
			test_one_gang_gives_way);
	g_test_add_func("/placement/stopping_counts_as_room",
			test_stopping_counts_as_room);
	g_test_add_func("/placement/room_in_one_rack", test_room_in_one_rack);
	return g_test_run();
}
