/*
 * Whose work may displace whose.
 *
 * Accelerators belong to each workspace for its urgent jobs (priority 0) at
 * all times. What it leaves idle is lent: to urgent jobs beyond a guarantee
 * first, then by priority. Work displaces only work of a higher rank.
 */
#ifndef CHESTNUTQUAY_STAGE_RANK_H
#define CHESTNUTQUAY_STAGE_RANK_H

#include <glib.h>
#include <stdint.h>

#include "chestnutquay/batch.h"
#include "chestnutquay/queues.h"

#define CQ_RANK_GUARANTEED 0 /* urgent, within its workspace's guarantee */
#define CQ_RANK_URGENT 1     /* urgent, beyond it */
/* Others: 1 + priority of the queue. Of an unknown queue: never displaced. */

/*
 * Sets the rank of each stage that has runs or could start. Of the urgent
 * stages of a workspace those with runs come first, then the longest accepted,
 * and they are guaranteed as long as their sum stays within the guarantee.
 */
void cq_stage_ranks_update(const struct cq_queue_config *config,
			   GHashTable *batches);

#endif
