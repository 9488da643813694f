/*
 * Preemption ranks: which work may preempt which.
 *
 * Accelerators within the guarantee of a workspace belong to its urgent jobs
 * (priority 0) at all times. What it leaves idle is lent: to urgent jobs beyond
 * a guarantee first, then by priority. Work preempts only work of a higher
 * rank.
 */
#ifndef CHESTNUTQUAY_STAGE_RANK_H
#define CHESTNUTQUAY_STAGE_RANK_H

#include <glib.h>
#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/queues.h"

#define CQ_RANK_GUARANTEED 0 /* urgent, within its workspace's guarantee */
#define CQ_RANK_URGENT 1     /* urgent, beyond its workspace's guarantee */
/*
 * Other work has rank 1 + priority of its queue. Work of an unknown queue is
 * ranked as guaranteed, so that it is never preempted.
 */

/*
 * Sets the rank of each stage that has runs or is ready to start. Of the urgent
 * stages of a workspace those with runs come first, then those accepted first;
 * they are guaranteed as long as the sum of their accelerators stays within the
 * guarantee.
 */
void cq_stage_ranks_update(const struct cq_queue_config *config,
			   GHashTable *batches);

#endif
