/*
 * Whether a gang waits for one rack.
 *
 * On several racks its tasks take remote_factor times as long. That is a price,
 * to be weighed against the wait until a rack has room: by runs that end, as
 * far as their estimates tell, or by runs that give way. A rack whose runs last
 * may never have room, and a wait without an end is no price at all.
 */
#include <string.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/stage_order.h"
#include "chestnutquay/stage_rank.h"
#include "state/placement_internal.h"

/*
 * Longest wait while the gang would fit twice, and less than half of the
 * accelerators are in use: callers are promised that nothing waits for three
 * seconds then.
 */
#define IDLE_MAX_WAIT_MS 2000
/*
 * Longest wait for runs that cannot give way if the guarantee covers the gang:
 * it has to start within three seconds.
 */
#define GUARANTEED_MAX_WAIT_MS 1000
/*
 * In a busy fleet, the wait from now on, and the wait in all, as multiples of
 * the time that the gang loses on several racks
 */
#define BUSY_LOSSES 4
#define BUSY_MAX_LOSSES 8
/* Never, as the time until a run ends or a rack has room */
#define NEVER INT64_MAX

/* A run that ends, and the room that it leaves */
struct ending {
	int64_t in_ms;
	guint worker;
	const struct cq_workload_step *step;
};

static int64_t waited_ms(const struct cq_placement *p);
static int64_t run_ends_in_ms(const struct cq_placement *p,
			      const struct cq_task *task);
static gint compare_endings(gconstpointer a, gconstpointer b);
static GArray *collect_endings(const struct cq_placement *p,
			       const GPtrArray *workers);
static uint32_t tasks_that_fit(const struct cq_placement *p,
			       const struct placement_room *rooms, guint count);
static bool empty_rack_fits(const struct cq_placement *p,
			    const GPtrArray *workers);
static int64_t rack_has_room_in_ms(const struct cq_placement *p,
				   const GPtrArray *workers);
static bool fleet_is_idle(const struct cq_placement *p, const GPtrArray *racks);
static int64_t worthwhile_wait_ms(const struct cq_placement *p,
				  const GPtrArray *racks);

static int64_t waited_ms(const struct cq_placement *p)
{
	int64_t since_ns = p->stage->waiting_ns;

	return since_ns ? (p->now_ns - since_ns) / CQ_NS_PER_MS : 0;
}

/*
 * A run that has outlived its estimate is taken to last as much longer as it
 * has already. A stage that preempts at a growing cost need not wait for the
 * runs that may give way to it.
 */
static int64_t run_ends_in_ms(const struct cq_placement *p,
			      const struct cq_task *task)
{
	const struct cq_workload_step *step = task->stage->step;
	int64_t ran_ms = task->started_ns
				 ? (p->now_ns - task->started_ns) / CQ_NS_PER_MS
				 : 0;
	int64_t ends_in_ms;

	if (task->stopping)
		return 0;
	if (p->stage->rank <= CQ_RANK_URGENT &&
	    placement_may_preempt(p->stage, task))
		return 0;
	if (step->long_running)
		return NEVER;
	ends_in_ms = ABS(cq_step_estimate_ms(step) - ran_ms);
	if (p->stage->rank == CQ_RANK_GUARANTEED &&
	    waited_ms(p) + ends_in_ms > GUARANTEED_MAX_WAIT_MS)
		return NEVER;
	return ends_in_ms;
}

static gint compare_endings(gconstpointer a, gconstpointer b)
{
	const struct ending *left = a;
	const struct ending *right = b;

	return (left->in_ms > right->in_ms) - (left->in_ms < right->in_ms);
}

/* The runs of the workers that end, the earliest first */
static GArray *collect_endings(const struct cq_placement *p,
			       const GPtrArray *workers)
{
	GArray *endings = g_array_new(FALSE, FALSE, sizeof(struct ending));
	guint i, k;

	for (i = 0; i < workers->len; i++) {
		const struct cq_pool_worker *worker =
			g_ptr_array_index(workers, i);

		placement_add_work(p, worker->runs->len);
		for (k = 0; k < worker->runs->len; k++) {
			const struct cq_task *task =
				g_ptr_array_index(worker->runs, k);
			struct ending e = { run_ends_in_ms(p, task), i,
					    task->stage->step };

			if (e.in_ms != NEVER)
				g_array_append_val(endings, e);
		}
	}
	g_array_sort(endings, compare_endings);
	return endings;
}

static uint32_t tasks_that_fit(const struct cq_placement *p,
			       const struct placement_room *rooms, guint count)
{
	uint32_t tasks = 0;
	guint i;

	for (i = 0; i < count; i++)
		tasks += placement_count_fitting(&rooms[i], p->stage->step, 0);
	return tasks;
}

/* True if the workers could hold the gang if they ran nothing else. */
static bool empty_rack_fits(const struct cq_placement *p,
			    const GPtrArray *workers)
{
	uint32_t tasks = 0;
	guint i;

	for (i = 0; i < workers->len; i++) {
		const struct cq_pool_worker *worker =
			g_ptr_array_index(workers, i);
		const struct cq_executor_registration *size = &worker->listing;
		const struct placement_room whole = { size->cpu_millicores,
						      size->memory_mb,
						      size->accelerators };

		tasks += placement_count_fitting(&whole, p->stage->step, 0);
	}
	return tasks >= p->stage->step->tasks;
}

/* When the workers of a rack are expected to have room for the gang */
static int64_t rack_has_room_in_ms(const struct cq_placement *p,
				   const GPtrArray *workers)
{
	struct placement_room *rooms;
	int64_t in_ms = NEVER;
	GArray *endings;
	uint32_t tasks;
	guint i;

	if (!empty_rack_fits(p, workers))
		return NEVER;
	rooms = g_new0(struct placement_room, workers->len);
	for (i = 0; i < workers->len; i++)
		rooms[i] = placement_free_room(g_ptr_array_index(workers, i));
	endings = collect_endings(p, workers);
	tasks = tasks_that_fit(p, rooms, workers->len);
	if (tasks >= p->stage->step->tasks)
		in_ms = 0;
	for (i = 0; i < endings->len && in_ms == NEVER; i++) {
		const struct ending *e =
			&g_array_index(endings, struct ending, i);
		struct placement_room *room = &rooms[e->worker];

		tasks -= placement_count_fitting(room, p->stage->step, 0);
		placement_add_room(room, e->step);
		tasks += placement_count_fitting(room, p->stage->step, 0);
		if (tasks >= p->stage->step->tasks)
			in_ms = e->in_ms;
	}
	g_array_unref(endings);
	g_free(rooms);
	return in_ms;
}

/* Whether the gang fits twice in a fleet of which less than half is in use */
static bool fleet_is_idle(const struct cq_placement *p, const GPtrArray *racks)
{
	int64_t accelerators = 0, free_accelerators = 0;
	uint32_t tasks = 0;
	guint i, k;

	for (i = 0; i < racks->len; i++) {
		const GPtrArray *workers = g_ptr_array_index(racks, i);

		for (k = 0; k < workers->len; k++) {
			const struct cq_pool_worker *worker =
				g_ptr_array_index(workers, k);
			struct placement_room room =
				placement_free_room(worker);

			accelerators += worker->listing.accelerators;
			free_accelerators += worker->free_accelerators;
			tasks += placement_count_fitting(&room, p->stage->step,
							 0);
		}
	}
	return tasks / 2 >= p->stage->step->tasks &&
	       free_accelerators * 2 > accelerators;
}

/*
 * How long a rack with room is worth waiting for, from now on; negative: not at
 * all. On several racks the gang loses the difference of the run times, and
 * takes its room from others for as long. While they have enough, only its own
 * loss counts.
 */
static int64_t worthwhile_wait_ms(const struct cq_placement *p,
				  const GPtrArray *racks)
{
	int64_t loss_ms = ((int64_t)p->remote_factor - 1) *
			  cq_step_estimate_ms(p->stage->step);

	if (fleet_is_idle(p, racks))
		return MIN(loss_ms, IDLE_MAX_WAIT_MS) - waited_ms(p);
	if (waited_ms(p) > BUSY_MAX_LOSSES * loss_ms)
		return -1;
	return BUSY_LOSSES * loss_ms;
}

bool placement_waits_for_rack(const struct cq_placement *p,
			      const GPtrArray *racks)
{
	const struct cq_workload_step *step = p->stage->step;
	int64_t wait_ms;
	guint i;

	if (!step->gang || !step->same_rack)
		return false;
	wait_ms = worthwhile_wait_ms(p, racks);
	for (i = 0; i < racks->len && wait_ms >= 0; i++)
		if (rack_has_room_in_ms(p, g_ptr_array_index(racks, i)) <=
		    wait_ms)
			return true;
	return false;
}
