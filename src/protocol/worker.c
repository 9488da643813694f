#include "chestnutquay/worker.h"

#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const char *const state_strings[] = {
	[CQ_TASK_HELD] = "held",
	[CQ_TASK_RUNNING] = "running",
	[CQ_TASK_CHECKPOINTING] = "checkpointing",
	[CQ_TASK_FINISHED] = "finished",
	[CQ_TASK_FAILED] = "failed",
	[CQ_TASK_STOPPED] = "stopped",
};

static const char *const answer_strings[] = {
	[CQ_WORKER_ANSWER_OK] = "ok",
	[CQ_WORKER_ANSWER_STALE] = "stale",
	[CQ_WORKER_ANSWER_REFUSED] = "refused",
	[CQ_WORKER_ANSWER_NOT_FOUND] = "not_found",
	[CQ_WORKER_ANSWER_UNAVAILABLE] = "unavailable",
	[CQ_WORKER_ANSWER_UNKNOWN] = "unknown",
};

const char *cq_task_state_string(enum cq_task_state state)
{
	return state_strings[state];
}

bool cq_task_state_parse(const char *text, enum cq_task_state *state)
{
	size_t i;

	for (i = 0; text && i < COUNT(state_strings); i++) {
		if (strcmp(text, state_strings[i]) != 0)
			continue;
		*state = (enum cq_task_state)i;
		return true;
	}
	return false;
}

bool cq_task_state_is_live(enum cq_task_state state)
{
	return state == CQ_TASK_HELD || state == CQ_TASK_RUNNING ||
	       state == CQ_TASK_CHECKPOINTING;
}

const char *cq_worker_answer_string(enum cq_worker_answer answer)
{
	return answer_strings[answer];
}
