#include "chestnutquay/gang.h"

#include <assert.h>
#include <glib.h>

#include "chestnutquay/clock.h"

enum member_state {
	MEMBER_UNSENT, /* no start was sent */
	/* A start was sent; it may or may not have been executed. */
	MEMBER_STARTING,
	MEMBER_HELD, /* the task was started held */
	MEMBER_RELEASED,
	MEMBER_FINISHED,
	MEMBER_FAILED,
	MEMBER_LOST, /* worker lost; the task may run until gone_by_ns */
	MEMBER_GONE, /* the task does not run, and will not run later */
};

struct member {
	enum member_state state;
	bool in_flight;
	enum cq_gang_command command; /* last command sent */
	uint32_t unanswered; /* sends of that command that got no answer */
	int64_t retry_ns;    /* no command is sent before this time */
	int64_t answered_ns; /* last answer to a command; INT64_MIN: none yet */
	int64_t gone_by_ns;
	int64_t checkpoint_ms;
	bool checkpoint_sent;	   /* reports may show the new checkpoint */
	bool checkpoint_confirmed; /* the worker accepted the command */
	bool checkpoint_observed;  /* a report showed it in progress */
	bool checkpoint_done;	   /* a report showed it complete */
};

struct cq_gang {
	struct cq_gang_options options;
	const struct cq_gang_ops *ops;
	void *ctx;
	enum cq_gang_state state;
	enum cq_gang_end end;
	/* A release was sent, or a report showed a released task. */
	bool released;
	uint32_t failed_rank; /* see cq_gang_failed_rank() */
	uint32_t size;
	int64_t deadline_ns; /* timeout of the current state, if it has one */
	struct member members[];
};

static const char *const state_strings[] = {
	[CQ_GANG_HOLDING] = "holding",
	[CQ_GANG_RELEASING] = "releasing",
	[CQ_GANG_RUNNING] = "running",
	[CQ_GANG_CHECKPOINTING] = "checkpointing",
	[CQ_GANG_STOPPING] = "stopping",
	[CQ_GANG_ENDED] = "ended",
};

static const char *const end_strings[] = {
	[CQ_GANG_END_NONE] = "none",
	[CQ_GANG_END_FINISHED] = "finished",
	[CQ_GANG_END_FAILED] = "failed",
	[CQ_GANG_END_UNDONE] = "undone",
	[CQ_GANG_END_LOST] = "lost",
	[CQ_GANG_END_CHECKPOINTED] = "checkpointed",
	[CQ_GANG_END_STOPPED] = "stopped",
};

static const char *const command_strings[] = {
	[CQ_GANG_START] = "start",
	[CQ_GANG_RELEASE] = "release",
	[CQ_GANG_CHECKPOINT] = "checkpoint",
	[CQ_GANG_STOP] = "stop",
};

static bool member_is_terminal(const struct member *member);
static bool all_members_in(const struct cq_gang *gang, enum member_state state);
static bool any_member_in(const struct cq_gang *gang, enum member_state state);
static void begin_stop(struct cq_gang *gang, enum cq_gang_end end,
		       uint32_t failed_rank);
static void mark_lost(struct cq_gang *gang, uint32_t rank, int64_t gone_by_ns,
		      int64_t now_ns);
static void mark_failed(struct cq_gang *gang, uint32_t rank);
static void advance_state(struct cq_gang *gang, int64_t now_ns);
static void send_command(struct cq_gang *gang, uint32_t rank,
			 enum cq_gang_command command, int64_t now_ns);

const char *cq_gang_state_string(enum cq_gang_state state)
{
	return state_strings[state];
}

const char *cq_gang_end_string(enum cq_gang_end end)
{
	return end_strings[end];
}

const char *cq_gang_command_string(enum cq_gang_command command)
{
	return command_strings[command];
}

void cq_gang_options_init(struct cq_gang_options *options)
{
	options->retry_ns = 500 * CQ_NS_PER_MS;
	options->hold_timeout_ns = 8 * CQ_NS_PER_S;
	options->release_timeout_ns = 4 * CQ_NS_PER_S;
}

struct cq_gang *cq_gang_create(const struct cq_gang_options *options,
			       const struct cq_gang_ops *ops, void *ctx,
			       uint32_t size, int64_t now_ns)
{
	struct cq_gang *gang;
	uint32_t i;

	assert(size > 0);
	gang = g_malloc0(sizeof(*gang) + size * sizeof(gang->members[0]));
	gang->options = *options;
	gang->ops = ops;
	gang->ctx = ctx;
	gang->state = CQ_GANG_HOLDING;
	gang->failed_rank = UINT32_MAX;
	gang->size = size;
	gang->deadline_ns = now_ns + options->hold_timeout_ns;
	for (i = 0; i < size; i++) {
		gang->members[i].checkpoint_ms = -1;
		gang->members[i].answered_ns = INT64_MIN;
	}
	return gang;
}

struct cq_gang *cq_gang_recover(const struct cq_gang_options *options,
				const struct cq_gang_ops *ops, void *ctx,
				uint32_t size,
				const struct cq_gang_report *reports,
				int64_t gone_by_ns, int64_t now_ns)
{
	struct cq_gang *gang = cq_gang_create(options, ops, ctx, size, now_ns);
	static const enum member_state states[] = {
		[CQ_TASK_HELD] = MEMBER_HELD,
		[CQ_TASK_RUNNING] = MEMBER_RELEASED,
		[CQ_TASK_CHECKPOINTING] = MEMBER_RELEASED,
		[CQ_TASK_FINISHED] = MEMBER_FINISHED,
		[CQ_TASK_FAILED] = MEMBER_FAILED,
		[CQ_TASK_STOPPED] = MEMBER_GONE,
	};
	uint32_t missing = UINT32_MAX;
	uint32_t failed = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < size; i++) {
		struct member *member = &gang->members[i];

		member->gone_by_ns = gone_by_ns;
		member->state = reports[i].present ? states[reports[i].state]
						   : MEMBER_LOST;
		if (reports[i].present)
			member->checkpoint_ms = reports[i].checkpoint_ms;
		if (member->state == MEMBER_LOST ||
		    member->state == MEMBER_GONE)
			missing = MIN(missing, i);
		if (member->state == MEMBER_FAILED)
			failed = MIN(failed, i);
		gang->released |= member->state >= MEMBER_RELEASED &&
				  member->state <= MEMBER_FAILED;
	}
	if (!gang->released)
		begin_stop(gang, CQ_GANG_END_UNDONE, missing);
	else if (failed != UINT32_MAX)
		begin_stop(gang, CQ_GANG_END_FAILED, failed);
	else if (missing != UINT32_MAX)
		begin_stop(gang, CQ_GANG_END_LOST, missing);
	else if (any_member_in(gang, MEMBER_HELD))
		gang->state = CQ_GANG_RELEASING;
	else
		gang->state = CQ_GANG_RUNNING;
	gang->deadline_ns = now_ns + options->release_timeout_ns;
	advance_state(gang, now_ns);
	return gang;
}

void cq_gang_destroy(struct cq_gang *gang)
{
	g_free(gang);
}

static bool member_is_terminal(const struct member *member)
{
	return member->state == MEMBER_FINISHED ||
	       member->state == MEMBER_FAILED || member->state == MEMBER_GONE;
}

static bool all_members_in(const struct cq_gang *gang, enum member_state state)
{
	uint32_t i;

	for (i = 0; i < gang->size; i++)
		if (gang->members[i].state != state)
			return false;
	return true;
}

static bool any_member_in(const struct cq_gang *gang, enum member_state state)
{
	uint32_t i;

	for (i = 0; i < gang->size; i++)
		if (gang->members[i].state == state)
			return true;
	return false;
}

static void begin_stop(struct cq_gang *gang, enum cq_gang_end end,
		       uint32_t failed_rank)
{
	uint32_t i;

	if (gang->state >= CQ_GANG_STOPPING)
		return;
	gang->state = CQ_GANG_STOPPING;
	gang->end = end;
	gang->failed_rank = failed_rank;
	for (i = 0; i < gang->size; i++) {
		gang->members[i].retry_ns = INT64_MIN;
		gang->members[i].unanswered = 0;
		if (gang->members[i].state == MEMBER_UNSENT)
			gang->members[i].state = MEMBER_GONE;
	}
}

static void mark_lost(struct cq_gang *gang, uint32_t rank, int64_t gone_by_ns,
		      int64_t now_ns)
{
	struct member *member = &gang->members[rank];

	if (member_is_terminal(member))
		return;
	member->state = now_ns >= gone_by_ns ? MEMBER_GONE : MEMBER_LOST;
	member->gone_by_ns = gone_by_ns;
	begin_stop(gang, gang->released ? CQ_GANG_END_LOST : CQ_GANG_END_UNDONE,
		   rank);
}

static void mark_failed(struct cq_gang *gang, uint32_t rank)
{
	gang->members[rank].state = MEMBER_FAILED;
	begin_stop(gang, CQ_GANG_END_FAILED, rank);
}

/* Advances the gang's state once all members have reached the next one. */
static void advance_state(struct cq_gang *gang, int64_t now_ns)
{
	bool over = true;
	bool released = true;
	bool checkpointed = true;
	uint32_t i;

	for (i = 0; i < gang->size; i++) {
		struct member *member = &gang->members[i];

		if (member->state == MEMBER_LOST &&
		    now_ns >= member->gone_by_ns)
			member->state = MEMBER_GONE;
		over = over && member_is_terminal(member);
		released = released && (member_is_terminal(member) ||
					member->state == MEMBER_RELEASED);
		checkpointed = checkpointed &&
			       (member->checkpoint_done ||
				member->state == MEMBER_FINISHED);
	}
	if (gang->state == CQ_GANG_HOLDING &&
	    all_members_in(gang, MEMBER_HELD)) {
		gang->state = CQ_GANG_RELEASING;
		gang->deadline_ns = now_ns + gang->options.release_timeout_ns;
	}
	if (gang->state == CQ_GANG_RELEASING && released)
		gang->state = CQ_GANG_RUNNING;
	if (over && all_members_in(gang, MEMBER_FINISHED))
		gang->end = CQ_GANG_END_FINISHED;
	else if (gang->state == CQ_GANG_CHECKPOINTING && checkpointed)
		begin_stop(gang, CQ_GANG_END_CHECKPOINTED, UINT32_MAX);
	if (over)
		gang->state = CQ_GANG_ENDED;
}

static void handle_ok(struct cq_gang *gang, struct member *member,
		      enum cq_gang_command command, int64_t now_ns)
{
	switch (command) {
	case CQ_GANG_START:
		if (member->state == MEMBER_STARTING)
			member->state = MEMBER_HELD;
		break;
	case CQ_GANG_RELEASE:
		if (member->state == MEMBER_HELD)
			member->state = MEMBER_RELEASED;
		break;
	case CQ_GANG_CHECKPOINT:
		member->checkpoint_confirmed = true;
		break;
	case CQ_GANG_STOP:
		if (!member_is_terminal(member))
			member->state = MEMBER_GONE;
		break;
	}
	advance_state(gang, now_ns);
}

void cq_gang_answered(struct cq_gang *gang, uint32_t rank,
		      enum cq_gang_command command,
		      enum cq_worker_answer answer, int64_t now_ns)
{
	struct member *member = &gang->members[rank];

	assert(rank < gang->size);
	member->in_flight = false;
	member->answered_ns = now_ns;
	member->retry_ns = now_ns + gang->options.retry_ns;
	if (gang->state == CQ_GANG_STOPPING && command != CQ_GANG_STOP)
		member->retry_ns = INT64_MIN;
	switch (answer) {
	case CQ_WORKER_ANSWER_OK:
		member->retry_ns = INT64_MIN;
		handle_ok(gang, member, command, now_ns);
		return;
	case CQ_WORKER_ANSWER_NOT_FOUND:
		if (command == CQ_GANG_STOP)
			handle_ok(gang, member, command, now_ns);
		/*
		 * A retried release may reach a task that was released and has
		 * ended since; a later report shows how it ended.
		 */
		else if (command == CQ_GANG_RELEASE && !member->unanswered)
			mark_lost(gang, rank, now_ns, now_ns);
		break;
	case CQ_WORKER_ANSWER_REFUSED:
		/* An earlier start may have been executed, so it is stopped. */
		if (command == CQ_GANG_START)
			begin_stop(gang, CQ_GANG_END_UNDONE, rank);
		break;
	case CQ_WORKER_ANSWER_STALE:
		/* The permit or epoch is out of date; the worker is healthy. */
		if (command == CQ_GANG_START)
			begin_stop(gang, CQ_GANG_END_UNDONE, UINT32_MAX);
		break;
	case CQ_WORKER_ANSWER_UNAVAILABLE:
		break;
	case CQ_WORKER_ANSWER_UNKNOWN:
		member->unanswered++;
		break;
	}
	advance_state(gang, now_ns);
}

static void observe_live_task(struct cq_gang *gang, struct member *member,
			      const struct cq_gang_report *report)
{
	bool released = report->state != CQ_TASK_HELD;

	if (member->state == MEMBER_STARTING && !member->in_flight)
		member->state = MEMBER_HELD;
	if (released &&
	    (member->state == MEMBER_HELD || member->state == MEMBER_STARTING))
		member->state = MEMBER_RELEASED;
	gang->released |= released;
	if (report->state == CQ_TASK_CHECKPOINTING)
		member->checkpoint_observed = true;
	else if (report->checkpoint_ms >= 0 && member->checkpoint_sent &&
		 (member->checkpoint_observed ||
		  report->checkpoint_ms != member->checkpoint_ms))
		member->checkpoint_done = true;
	if (report->checkpoint_ms >= 0)
		member->checkpoint_ms = report->checkpoint_ms;
}

void cq_gang_observed(struct cq_gang *gang, uint32_t rank,
		      const struct cq_gang_report *report, int64_t sent_ns,
		      int64_t now_ns)
{
	struct member *member = &gang->members[rank];

	assert(rank < gang->size);
	if (member_is_terminal(member) || member->state == MEMBER_UNSENT)
		return;
	if (!report->present) {
		/* The report may predate the effect of a command. */
		if (member->in_flight || sent_ns <= member->answered_ns ||
		    member->state == MEMBER_STARTING)
			return;
		mark_lost(gang, rank, now_ns, now_ns);
	} else if (cq_task_state_is_live(report->state)) {
		observe_live_task(gang, member, report);
	} else if (report->state == CQ_TASK_FINISHED) {
		gang->released = true;
		member->state = MEMBER_FINISHED;
	} else if (report->state == CQ_TASK_FAILED) {
		gang->released = true;
		if (gang->state < CQ_GANG_STOPPING)
			mark_failed(gang, rank);
		else
			member->state = MEMBER_FAILED;
	} else {
		mark_lost(gang, rank, now_ns, now_ns);
		member->state = MEMBER_GONE;
	}
	advance_state(gang, now_ns);
}

void cq_gang_member_lost(struct cq_gang *gang, uint32_t rank,
			 int64_t gone_by_ns, int64_t now_ns)
{
	assert(rank < gang->size);
	mark_lost(gang, rank, gone_by_ns, now_ns);
	advance_state(gang, now_ns);
}

void cq_gang_checkpoint(struct cq_gang *gang, int64_t deadline_ns,
			int64_t now_ns)
{
	uint32_t i;

	if (gang->state == CQ_GANG_CHECKPOINTING) {
		gang->deadline_ns = MIN(gang->deadline_ns, deadline_ns);
		return;
	}
	if (gang->state != CQ_GANG_RUNNING) {
		cq_gang_stop(gang, now_ns);
		return;
	}
	gang->state = CQ_GANG_CHECKPOINTING;
	gang->deadline_ns = deadline_ns;
	for (i = 0; i < gang->size; i++) {
		struct member *member = &gang->members[i];

		member->retry_ns = INT64_MIN;
		member->checkpoint_sent = false;
		member->checkpoint_confirmed = false;
		member->checkpoint_observed = false;
		member->checkpoint_done = false;
	}
}

void cq_gang_stop(struct cq_gang *gang, int64_t now_ns)
{
	begin_stop(gang,
		   gang->released ? CQ_GANG_END_STOPPED : CQ_GANG_END_UNDONE,
		   UINT32_MAX);
	advance_state(gang, now_ns);
}

static void send_command(struct cq_gang *gang, uint32_t rank,
			 enum cq_gang_command command, int64_t now_ns)
{
	struct member *member = &gang->members[rank];

	if (member->in_flight || now_ns < member->retry_ns ||
	    !gang->ops->command(gang->ctx, gang, rank, command))
		return;
	if (member->command != command)
		member->unanswered = 0;
	member->command = command;
	member->in_flight = true;
	if (command == CQ_GANG_START)
		member->state = MEMBER_STARTING;
	if (command == CQ_GANG_RELEASE)
		gang->released = true;
	if (command == CQ_GANG_CHECKPOINT)
		member->checkpoint_sent = true;
}

/* Finds the command that a member needs in the gang's current state. */
static bool next_command(const struct cq_gang *gang,
			 const struct member *member,
			 enum cq_gang_command *command)
{
	switch (gang->state) {
	case CQ_GANG_HOLDING:
		*command = CQ_GANG_START;
		return member->state == MEMBER_UNSENT ||
		       member->state == MEMBER_STARTING;
	case CQ_GANG_RELEASING:
		*command = CQ_GANG_RELEASE;
		return member->state == MEMBER_HELD;
	case CQ_GANG_CHECKPOINTING:
		*command = CQ_GANG_CHECKPOINT;
		return member->state == MEMBER_RELEASED &&
		       !member->checkpoint_confirmed;
	case CQ_GANG_STOPPING:
		*command = CQ_GANG_STOP;
		return !member_is_terminal(member);
	case CQ_GANG_RUNNING:
	case CQ_GANG_ENDED:
		break;
	}
	return false;
}

/* The first rank whose worker did not answer a start; UINT32_MAX: none. */
static uint32_t first_unanswered_start(const struct cq_gang *gang)
{
	uint32_t i;

	for (i = 0; i < gang->size; i++)
		if (gang->members[i].state == MEMBER_STARTING &&
		    gang->members[i].unanswered)
			return i;
	return UINT32_MAX;
}

void cq_gang_tick(struct cq_gang *gang, int64_t now_ns)
{
	enum cq_gang_command command;
	uint32_t i;

	advance_state(gang, now_ns);
	if (now_ns >= gang->deadline_ns) {
		if (gang->state == CQ_GANG_HOLDING)
			begin_stop(gang, CQ_GANG_END_UNDONE,
				   first_unanswered_start(gang));
		else if (gang->state == CQ_GANG_RELEASING)
			begin_stop(gang,
				   gang->released ? CQ_GANG_END_LOST
						  : CQ_GANG_END_UNDONE,
				   UINT32_MAX);
		else if (gang->state == CQ_GANG_CHECKPOINTING)
			begin_stop(gang, CQ_GANG_END_STOPPED, UINT32_MAX);
		advance_state(gang, now_ns);
	}
	for (i = 0; i < gang->size; i++)
		if (next_command(gang, &gang->members[i], &command))
			send_command(gang, i, command, now_ns);
}

enum cq_gang_state cq_gang_state(const struct cq_gang *gang)
{
	return gang->state;
}

enum cq_gang_end cq_gang_end(const struct cq_gang *gang)
{
	return gang->end;
}

uint32_t cq_gang_size(const struct cq_gang *gang)
{
	return gang->size;
}

uint32_t cq_gang_failed_rank(const struct cq_gang *gang)
{
	return gang->failed_rank;
}

bool cq_gang_released(const struct cq_gang *gang)
{
	return gang->released;
}

bool cq_gang_occupies(const struct cq_gang *gang, uint32_t rank)
{
	return !member_is_terminal(&gang->members[rank]);
}

bool cq_gang_should_renew(const struct cq_gang *gang, uint32_t rank,
			  bool may_command)
{
	enum member_state state = gang->members[rank].state;

	switch (gang->state) {
	case CQ_GANG_HOLDING:
	case CQ_GANG_RELEASING:
		/*
		 * After the first release the leases are not renewed until all
		 * tasks are released. They limit how long the gang runs in
		 * part, even if its owner changes meanwhile.
		 */
		return may_command && !gang->released && state == MEMBER_HELD;
	case CQ_GANG_RUNNING:
	case CQ_GANG_CHECKPOINTING:
		return state == MEMBER_RELEASED;
	case CQ_GANG_STOPPING:
	case CQ_GANG_ENDED:
		break;
	}
	return false;
}

int64_t cq_gang_checkpoint_ms(const struct cq_gang *gang)
{
	int64_t least = INT64_MAX;
	uint32_t i;

	for (i = 0; i < gang->size; i++)
		if (gang->members[i].state != MEMBER_FINISHED)
			least = MIN(least, gang->members[i].checkpoint_ms);
	return least == INT64_MAX ? -1 : least;
}
