#include "chestnutquay/pace.h"

#include <glib.h>

#include "chestnutquay/clock.h"

/*
 * Best-effort tasks are slowed down when the tail latency of a server on their
 * worker reaches the first share of its target, and sped up again below the
 * second one.
 */
#define SLOW_DOWN_TAIL_RATIO 0.75
#define SPEED_UP_TAIL_RATIO 0.45
#define INCREASE_STEP_PERCENT 25
#define FULL_PERCENT 100
/*
 * Minimum times between changes, so that the tail latency shows the effect of
 * the last change.
 */
#define DECREASE_INTERVAL_NS (INT64_C(400) * CQ_NS_PER_MS)
#define INCREASE_INTERVAL_NS (INT64_C(2) * CQ_NS_PER_S)

double cq_pace_worst_tail(const struct cq_pool_worker *worker)
{
	double worst = 0;
	guint i;

	for (i = 0; i < worker->runs->len; i++) {
		const struct cq_task *task = g_ptr_array_index(worker->runs, i);
		uint32_t target_ms = task->stage->step->target_ms;

		if (target_ms)
			worst = MAX(worst, (double)task->load / target_ms);
	}
	return worst;
}

uint32_t cq_pace_next(const struct cq_task *task, double tail, int64_t now_ns)
{
	int64_t age_ns = now_ns - task->pace_changed_ns;

	if (tail >= SLOW_DOWN_TAIL_RATIO && age_ns > DECREASE_INTERVAL_NS)
		return tail >= 1 ? 0 : task->pace_percent / 2;
	if (tail < SPEED_UP_TAIL_RATIO && age_ns > INCREASE_INTERVAL_NS)
		return MIN(FULL_PERCENT,
			   task->pace_percent + INCREASE_STEP_PERCENT);
	return task->pace_percent;
}
