#include "chestnutquay/executor.h"

#include <glib.h>
#include <string.h>

static const char *const answer_strings[] = {
	[CQ_EXECUTOR_OK] = "ok",
	[CQ_EXECUTOR_FENCED] = "fenced",
	[CQ_EXECUTOR_OLD_RUN] = "old_run",
	[CQ_EXECUTOR_LEASE_EXPIRED] = "late",
	[CQ_EXECUTOR_NO_CAPACITY] = "no_room",
	[CQ_EXECUTOR_INVALID_TICKET] = "no_ticket",
	[CQ_EXECUTOR_OTHER_INCARNATION] = "other_life",
	[CQ_EXECUTOR_UNHEALTHY] = "unhealthy",
	[CQ_EXECUTOR_INVALID] = "invalid",
	[CQ_EXECUTOR_NOT_SENT] = "not_sent",
	[CQ_EXECUTOR_UNKNOWN] = "unknown",
};

static const char *const end_strings[] = {
	[CQ_RUN_DONE] = "done",		 [CQ_RUN_FAILED] = "failed",
	[CQ_RUN_STOPPED] = "stopped",	 [CQ_RUN_LEASE_EXPIRED] = "lapsed",
	[CQ_RUN_GANG_BROKEN] = "broken", [CQ_RUN_GANG_INCOMPLETE] = "alone",
	[CQ_RUN_LOST] = "lost",
};

const char *cq_executor_answer_string(enum cq_executor_answer answer)
{
	return answer_strings[answer];
}

const char *cq_run_end_string(enum cq_run_end end)
{
	return end_strings[end];
}

bool cq_run_end_parse(const char *text, enum cq_run_end *end)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(end_strings); i++) {
		if (strcmp(text, end_strings[i]))
			continue;
		*end = (enum cq_run_end)i;
		return true;
	}
	return false;
}
