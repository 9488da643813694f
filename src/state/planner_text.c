/*
 * Names of enumeration values, and sentences that explain decisions to
 * operators.
 */
#include "chestnutquay/clock.h"
#include "chestnutquay/planner.h"

#include <inttypes.h>
#include <stdio.h>

#define STRING_FOR(table, value)                                              \
	((size_t)(value) < sizeof(table) / sizeof(*(table)) && (table)[value] \
		 ? (table)[value]                                             \
		 : "unknown")

static const char *const dc_states[] = {
	[CQ_DC_IN] = "in",
	[CQ_DC_OUT] = "out",
};

static const char *const worker_states[] = {
	[CQ_WORKER_UP] = "up",
	[CQ_WORKER_LOST] = "lost",
};

static const char *const adjacencies[] = {
	[CQ_ADJACENT_WORKER] = "worker",
	[CQ_ADJACENT_RACK] = "rack",
	[CQ_ADJACENT_DC] = "data-centre",
};

static const char *const job_states[] = {
	[CQ_JOB_WAITING] = "waiting",
	[CQ_JOB_RUNNING] = "running",
};

static const char *const action_kinds[] = {
	[CQ_ACTION_START] = "start",
	[CQ_ACTION_CHECKPOINT] = "checkpoint",
	[CQ_ACTION_THROTTLE] = "throttle",
	[CQ_ACTION_STOP] = "stop",
	[CQ_ACTION_REJECT] = "reject",
	[CQ_ACTION_QUARANTINE] = "quarantine",
	[CQ_ACTION_PROBE] = "probe",
};

static const char *const reasons[] = {
	[CQ_REASON_NONE] = "none",
	[CQ_REASON_GUARANTEED] = "guaranteed",
	[CQ_REASON_BORROWED] = "borrowed",
	[CQ_REASON_BACKFILLED] = "backfilled",
	[CQ_REASON_RECLAIM] = "reclaim",
	[CQ_REASON_PREEMPTED] = "preempted",
	[CQ_REASON_MOVED] = "moved",
	[CQ_REASON_DC_OUT] = "dc-out",
	[CQ_REASON_GANG_MEMBER_LOST] = "gang-member-lost",
	[CQ_REASON_MEMORY_OVERRUN] = "memory-overrun",
	[CQ_REASON_CPU_OVERRUN] = "cpu-overrun",
	[CQ_REASON_OVERRUN_ENDED] = "overrun-ended",
	[CQ_REASON_NEVER_FITS] = "never-fits",
	[CQ_REASON_FAILS_ANYWHERE] = "fails-anywhere",
	[CQ_REASON_WORKER_FAILS_JOBS] = "worker-fails-jobs",
	[CQ_REASON_PROBE_DUE] = "probe-due",
	[CQ_REASON_WAIT_CAPACITY] = "wait-capacity",
	[CQ_REASON_WAIT_RESERVATION] = "wait-reservation",
	[CQ_REASON_WAIT_RECLAIM] = "wait-reclaim",
	[CQ_REASON_WAIT_DC_OUT] = "wait-dc-out",
	[CQ_REASON_WAIT_START_LIMIT] = "wait-start-limit",
	[CQ_REASON_WAIT_TURN] = "wait-turn",
};

static const char *const reason_texts[] = {
	[CQ_REASON_NONE] = "no reason recorded",
	[CQ_REASON_GUARANTEED] = "within the guarantees of its workspace",
	[CQ_REASON_BORROWED] = "on idle capacity above the guarantees",
	[CQ_REASON_BACKFILLED] =
		"on idle capacity, without delaying a reservation",
	[CQ_REASON_RECLAIM] = "a guarantee needs the capacity",
	[CQ_REASON_PREEMPTED] =
		"a job of a higher-priority class needs the capacity",
	[CQ_REASON_MOVED] = "a larger job needs the capacity",
	[CQ_REASON_DC_OUT] = "its data centre is going out of service",
	[CQ_REASON_GANG_MEMBER_LOST] = "a task of its gang was lost",
	[CQ_REASON_MEMORY_OVERRUN] = "it uses more memory than declared",
	[CQ_REASON_CPU_OVERRUN] = "it uses more cores than declared",
	[CQ_REASON_OVERRUN_ENDED] = "the worker has cores to spare again",
	[CQ_REASON_NEVER_FITS] = "the fleet can never hold it",
	[CQ_REASON_FAILS_ANYWHERE] = "it failed on several distinct workers",
	[CQ_REASON_WORKER_FAILS_JOBS] = "different jobs failed on it",
	[CQ_REASON_PROBE_DUE] = "a probe of the quarantined worker is due",
	[CQ_REASON_WAIT_CAPACITY] = "not enough free capacity in one place",
	[CQ_REASON_WAIT_RESERVATION] =
		"the free capacity is reserved for a job ahead of it",
	[CQ_REASON_WAIT_RECLAIM] = "borrowers are being stopped for it",
	[CQ_REASON_WAIT_DC_OUT] = "its data centre is out of service",
	[CQ_REASON_WAIT_START_LIMIT] =
		"the limit of starts per plan is reached",
	[CQ_REASON_WAIT_TURN] = "too many jobs are ahead of it",
};

static const char *const resources[] = {
	[CQ_RESOURCE_NONE] = "none",
	[CQ_RESOURCE_TASKS] = "tasks in one place",
	[CQ_RESOURCE_ACCELERATORS] = "accelerators per task",
	[CQ_RESOURCE_MILLICORES] = "millicores per task",
	[CQ_RESOURCE_MEMORY_BYTES] = "memory bytes per task",
	[CQ_RESOURCE_DC] = "data centre",
};

static const char *const tiers[] = {
	[CQ_TIER_NONE] = "none",
	[CQ_TIER_GUARANTEED] = "guaranteed",
	[CQ_TIER_BORROWER] = "borrower",
};

const char *cq_dc_state_string(enum cq_dc_state state)
{
	return STRING_FOR(dc_states, state);
}

const char *cq_worker_state_string(enum cq_worker_state state)
{
	return STRING_FOR(worker_states, state);
}

const char *cq_adjacency_string(enum cq_adjacency adjacency)
{
	return STRING_FOR(adjacencies, adjacency);
}

const char *cq_job_state_string(enum cq_job_state state)
{
	return STRING_FOR(job_states, state);
}

const char *cq_action_kind_string(enum cq_action_kind kind)
{
	return STRING_FOR(action_kinds, kind);
}

const char *cq_reason_string(enum cq_reason reason)
{
	return STRING_FOR(reasons, reason);
}

const char *cq_resource_string(enum cq_resource resource)
{
	return STRING_FOR(resources, resource);
}

const char *cq_tier_string(enum cq_tier tier)
{
	return STRING_FOR(tiers, tier);
}

static const char *job_id(const struct cq_snapshot *snapshot, uint32_t job)
{
	return job < snapshot->job_count ? snapshot->jobs[job].id : "-";
}

static const char *worker_name(const struct cq_snapshot *snapshot,
			       uint32_t worker)
{
	return worker < snapshot->worker_count ? snapshot->workers[worker].name
					       : "-";
}

static int64_t seconds_until(const struct cq_snapshot *snapshot, int64_t at_ns)
{
	return at_ns > snapshot->now_ns
		       ? (at_ns - snapshot->now_ns + CQ_NS_PER_S - 1) /
				 CQ_NS_PER_S
		       : 0;
}

static int explain_stop(const struct cq_snapshot *snapshot,
			const struct cq_action *action, char *text,
			size_t text_bytes)
{
	const char *why = STRING_FOR(reason_texts, action->reason);
	bool is_stop = action->kind == CQ_ACTION_STOP;

	return snprintf(text, text_bytes,
			"job %s is %s (in %" PRId64
			" s): %s%s%s; about %" PRIu64
			" accelerator-seconds are lost",
			job_id(snapshot, action->job),
			is_stop ? "stopped" : "checkpointed, then stopped",
			seconds_until(snapshot, action->deadline_ns), why,
			action->for_job == CQ_FLEET_NONE ? "" : ", for job ",
			action->for_job == CQ_FLEET_NONE
				? ""
				: job_id(snapshot, action->for_job),
			action->lost_accelerator_ms / (uint64_t)CQ_MS_PER_S);
}

int cq_plan_explain_action(const struct cq_snapshot *snapshot,
			   const struct cq_action *action, char *text,
			   size_t text_bytes)
{
	const char *why = STRING_FOR(reason_texts, action->reason);
	const char *job = job_id(snapshot, action->job);
	const char *worker = worker_name(snapshot, action->worker);

	switch (action->kind) {
	case CQ_ACTION_START:
		return snprintf(
			text, text_bytes,
			"job %s starts %u tasks, the first on worker %s: %s",
			job, action->placement_count,
			worker_name(snapshot, action->placements[0].worker),
			why);
	case CQ_ACTION_CHECKPOINT:
	case CQ_ACTION_STOP:
		return explain_stop(snapshot, action, text, text_bytes);
	case CQ_ACTION_THROTTLE:
		return snprintf(
			text, text_bytes,
			"a task of job %s on worker %s is throttled to %u %%: %s",
			job, worker, action->percent, why);
	case CQ_ACTION_REJECT:
		if (action->resource == CQ_RESOURCE_NONE)
			return snprintf(text, text_bytes,
					"job %s is rejected: %s", job, why);
		return snprintf(text, text_bytes,
				"job %s is rejected: %s; it requests %" PRIu64
				" %s, and the most that fits is %" PRIu64,
				job, why, action->requested,
				cq_resource_string(action->resource),
				action->largest);
	case CQ_ACTION_QUARANTINE:
		return snprintf(text, text_bytes,
				"worker %s receives no more starts: %s", worker,
				why);
	case CQ_ACTION_PROBE:
		break;
	}
	return snprintf(text, text_bytes, "worker %s is probed: %s", worker,
			why);
}

int cq_plan_explain_wait(const struct cq_snapshot *snapshot,
			 const struct cq_wait *wait, char *text,
			 size_t text_bytes)
{
	const char *job = job_id(snapshot, wait->job);
	const char *why = STRING_FOR(reason_texts, wait->reason);

	if (wait->expected_start_ns == CQ_FLEET_UNKNOWN_NS)
		return snprintf(text, text_bytes, "job %s waits: %s", job, why);
	return snprintf(text, text_bytes,
			"job %s waits: %s; it may start in %" PRId64
			" s and end in %" PRId64 " s",
			job, why,
			seconds_until(snapshot, wait->expected_start_ns),
			seconds_until(snapshot, wait->expected_end_ns));
}

int cq_plan_explain_shortfall(const struct cq_snapshot *snapshot,
			      const struct cq_shortfall *shortfall, char *text,
			      size_t text_bytes)
{
	const struct cq_fleet_guarantee *guarantee =
		&snapshot->guarantees[shortfall->guarantee];

	return snprintf(text, text_bytes,
			"the guarantee of workspace %s of %u x %u accelerators "
			"in one %s is short by %u shapes (%u accelerators)",
			snapshot->workspaces[guarantee->workspace].name,
			guarantee->count, guarantee->accelerators,
			cq_adjacency_string(guarantee->adjacency),
			shortfall->shapes, shortfall->accelerators);
}
