/*
 * Keeps repeated work to a share of the time, so that work that grows with the
 * size of the fleet cannot crowd out what has a deadline: after each turn it
 * pauses in proportion to the time that the turn took.
 */
#ifndef CHESTNUTQUAY_WORK_SHARE_H
#define CHESTNUTQUAY_WORK_SHARE_H

#include <stdint.h>

struct cq_work_share {
	uint32_t divisor;      /* the share is one in so many; at least 1 */
	int64_t max_pause_ns;  /* longest pause, whatever the turn took */
	int64_t not_before_ns; /* earliest begin of the next turn */
};

void cq_work_share_init(struct cq_work_share *share, uint32_t divisor,
			int64_t max_pause_ns);
/* Records a turn of the work. */
void cq_work_share_ended(struct cq_work_share *share, int64_t began_ns,
			 int64_t ended_ns);
/* Time until the next turn may begin; 0 if it may begin now. */
int64_t cq_work_share_wait_ns(const struct cq_work_share *share,
			      int64_t now_ns);

#endif
