#include "chestnutquay/work_share.h"

#include <assert.h>
#include <glib.h>

void cq_work_share_init(struct cq_work_share *share, uint32_t divisor,
			int64_t max_pause_ns)
{
	assert(divisor);
	*share = (struct cq_work_share){
		.divisor = divisor,
		.max_pause_ns = max_pause_ns,
		.not_before_ns = INT64_MIN,
	};
}

void cq_work_share_ended(struct cq_work_share *share, int64_t began_ns,
			 int64_t ended_ns)
{
	int64_t took_ns = MAX(0, ended_ns - began_ns);
	int64_t pause_ns = share->max_pause_ns;

	if (took_ns <= share->max_pause_ns / share->divisor)
		pause_ns = took_ns * (share->divisor - 1);
	share->not_before_ns = ended_ns + MIN(pause_ns, share->max_pause_ns);
}

int64_t cq_work_share_wait_ns(const struct cq_work_share *share, int64_t now_ns)
{
	return share->not_before_ns > now_ns ? share->not_before_ns - now_ns
					     : 0;
}
