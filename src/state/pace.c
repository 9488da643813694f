#include "chestnutquay/pace.h"

#include <glib.h>

#include "chestnutquay/clock.h"

/* Shares of a server's target at which tasks beside it are slowed, and
 * allowed more again. */
#define TAIL_HIGH 0.75
#define TAIL_LOW 0.45
#define STEP_PERCENT 25
#define FULL_PERCENT 100
/* Between changes, until the tail shows what the last one did. */
#define LOWER_NS (INT64_C(400) * CQ_NS_PER_MS)
#define RAISE_NS (INT64_C(2) * CQ_NS_PER_S)

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

	if (tail >= TAIL_HIGH && age_ns > LOWER_NS)
		return tail >= 1 ? 0 : task->pace_percent / 2;
	if (tail < TAIL_LOW && age_ns > RAISE_NS)
		return MIN(FULL_PERCENT, task->pace_percent + STEP_PERCENT);
	return task->pace_percent;
}
