#include "chestnutquay/gang.h"

#include <assert.h>
#include <glib.h>

#include "chestnutquay/clock.h"

enum member_state {
	MEMBER_UNSENT,
	MEMBER_STARTING, /* a start was sent; its effect is not known */
	MEMBER_HELD,
	MEMBER_RELEASED,
	MEMBER_FINISHED,
	MEMBER_FAILED,
	MEMBER_LOST, /* unreachable; gone by gone_by_ns */
	MEMBER_GONE,
};

struct member {
	enum member_state state;
	bool in_flight;
	enum cq_gang_command command; /* last one sent */
	uint32_t repeats;	      /* of that command without an answer */
	int64_t retry_ns;
	int64_t answered_ns; /* of the last command; INT64_MIN: none yet */
	int64_t gone_by_ns;
	int64_t checkpoint_ms;
	bool checkpoint_sent;  /* a report may show its effect */
	bool checkpoint_asked; /* confirmed by the worker */
	bool checkpoint_seen;
	bool checkpoint_done;
};

struct cq_gang {
	struct cq_gang_options options;
	const struct cq_gang_ops *ops;
	void *ctx;
	enum cq_gang_state state;
	enum cq_gang_end end;
	bool released; /* a release was sent, or a task was seen running */
	uint32_t failed_rank;
	uint32_t size;
	int64_t deadline_ns; /* of the present state, if it has one */
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

static bool member_is_over(const struct member *member);
static bool all_in(const struct cq_gang *gang, enum member_state state);
static bool any_in(const struct cq_gang *gang, enum member_state state);
static void begin_stop(struct cq_gang *gang, enum cq_gang_end end,
		       uint32_t failed_rank);
static void lose(struct cq_gang *gang, uint32_t rank, int64_t gone_by_ns,
		 int64_t now_ns);
static void fail(struct cq_gang *gang, uint32_t rank);
static void settle(struct cq_gang *gang, int64_t now_ns);
static void send(struct cq_gang *gang, uint32_t rank,
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
	else if (any_in(gang, MEMBER_HELD))
		gang->state = CQ_GANG_RELEASING;
	else
		gang->state = CQ_GANG_RUNNING;
	gang->deadline_ns = now_ns + options->release_timeout_ns;
	settle(gang, now_ns);
	return gang;
}

void cq_gang_destroy(struct cq_gang *gang)
{
	g_free(gang);
}

static bool member_is_over(const struct member *member)
{
	return member->state == MEMBER_FINISHED ||
	       member->state == MEMBER_FAILED || member->state == MEMBER_GONE;
}

static bool all_in(const struct cq_gang *gang, enum member_state state)
{
	uint32_t i;

	for (i = 0; i < gang->size; i++)
		if (gang->members[i].state != state)
			return false;
	return true;
}

static bool any_in(const struct cq_gang *gang, enum member_state state)
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
		gang->members[i].repeats = 0;
		if (gang->members[i].state == MEMBER_UNSENT)
			gang->members[i].state = MEMBER_GONE;
	}
}

static void lose(struct cq_gang *gang, uint32_t rank, int64_t gone_by_ns,
		 int64_t now_ns)
{
	struct member *member = &gang->members[rank];

	if (member_is_over(member))
		return;
	member->state = now_ns >= gone_by_ns ? MEMBER_GONE : MEMBER_LOST;
	member->gone_by_ns = gone_by_ns;
	begin_stop(gang, gang->released ? CQ_GANG_END_LOST : CQ_GANG_END_UNDONE,
		   rank);
}

static void fail(struct cq_gang *gang, uint32_t rank)
{
	gang->members[rank].state = MEMBER_FAILED;
	begin_stop(gang, CQ_GANG_END_FAILED, rank);
}

/* Moves the gang on once all members have reached the next step. */
static void settle(struct cq_gang *gang, int64_t now_ns)
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
		over = over && member_is_over(member);
		released = released && (member_is_over(member) ||
					member->state == MEMBER_RELEASED);
		checkpointed = checkpointed &&
			       (member->checkpoint_done ||
				member->state == MEMBER_FINISHED);
	}
	if (gang->state == CQ_GANG_HOLDING && all_in(gang, MEMBER_HELD)) {
		gang->state = CQ_GANG_RELEASING;
		gang->deadline_ns = now_ns + gang->options.release_timeout_ns;
	}
	if (gang->state == CQ_GANG_RELEASING && released)
		gang->state = CQ_GANG_RUNNING;
	if (over && all_in(gang, MEMBER_FINISHED))
		gang->end = CQ_GANG_END_FINISHED;
	else if (gang->state == CQ_GANG_CHECKPOINTING && checkpointed)
		begin_stop(gang, CQ_GANG_END_CHECKPOINTED, UINT32_MAX);
	if (over)
		gang->state = CQ_GANG_ENDED;
}

static void answered_ok(struct cq_gang *gang, struct member *member,
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
		member->checkpoint_asked = true;
		break;
	case CQ_GANG_STOP:
		if (!member_is_over(member))
			member->state = MEMBER_GONE;
		break;
	}
	settle(gang, now_ns);
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
		answered_ok(gang, member, command, now_ns);
		return;
	case CQ_WORKER_ANSWER_NOT_FOUND:
		if (command == CQ_GANG_STOP)
			answered_ok(gang, member, command, now_ns);
		/*
		 * A repeated release may find a task that was released and has
		 * ended since; then the report tells what became of it.
		 */
		else if (command == CQ_GANG_RELEASE && !member->repeats)
			lose(gang, rank, now_ns, now_ns);
		break;
	case CQ_WORKER_ANSWER_REFUSED:
		/* An earlier try may have been accepted: it is stopped too. */
		if (command == CQ_GANG_START)
			begin_stop(gang, CQ_GANG_END_UNDONE, rank);
		break;
	case CQ_WORKER_ANSWER_STALE:
		/* Not the worker's fault: the permit or the epoch is old. */
		if (command == CQ_GANG_START)
			begin_stop(gang, CQ_GANG_END_UNDONE, UINT32_MAX);
		break;
	case CQ_WORKER_ANSWER_UNAVAILABLE:
		break;
	case CQ_WORKER_ANSWER_UNKNOWN:
		member->repeats++;
		break;
	}
	settle(gang, now_ns);
}

static void observe_live(struct cq_gang *gang, struct member *member,
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
		member->checkpoint_seen = true;
	else if (report->checkpoint_ms >= 0 && member->checkpoint_sent &&
		 (member->checkpoint_seen ||
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
	if (member_is_over(member) || member->state == MEMBER_UNSENT)
		return;
	if (!report->present) {
		/* The call may have overtaken a command. */
		if (member->in_flight || sent_ns <= member->answered_ns ||
		    member->state == MEMBER_STARTING)
			return;
		lose(gang, rank, now_ns, now_ns);
	} else if (cq_task_state_is_live(report->state)) {
		observe_live(gang, member, report);
	} else if (report->state == CQ_TASK_FINISHED) {
		gang->released = true;
		member->state = MEMBER_FINISHED;
	} else if (report->state == CQ_TASK_FAILED) {
		gang->released = true;
		if (gang->state < CQ_GANG_STOPPING)
			fail(gang, rank);
		else
			member->state = MEMBER_FAILED;
	} else {
		lose(gang, rank, now_ns, now_ns);
		member->state = MEMBER_GONE;
	}
	settle(gang, now_ns);
}

void cq_gang_member_lost(struct cq_gang *gang, uint32_t rank,
			 int64_t gone_by_ns, int64_t now_ns)
{
	assert(rank < gang->size);
	lose(gang, rank, gone_by_ns, now_ns);
	settle(gang, now_ns);
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
		member->checkpoint_asked = false;
		member->checkpoint_seen = false;
		member->checkpoint_done = false;
	}
}

void cq_gang_stop(struct cq_gang *gang, int64_t now_ns)
{
	begin_stop(gang,
		   gang->released ? CQ_GANG_END_STOPPED : CQ_GANG_END_UNDONE,
		   UINT32_MAX);
	settle(gang, now_ns);
}

static void send(struct cq_gang *gang, uint32_t rank,
		 enum cq_gang_command command, int64_t now_ns)
{
	struct member *member = &gang->members[rank];

	if (member->in_flight || now_ns < member->retry_ns ||
	    !gang->ops->command(gang->ctx, gang, rank, command))
		return;
	if (member->command != command)
		member->repeats = 0;
	member->command = command;
	member->in_flight = true;
	if (command == CQ_GANG_START)
		member->state = MEMBER_STARTING;
	if (command == CQ_GANG_RELEASE)
		gang->released = true;
	if (command == CQ_GANG_CHECKPOINT)
		member->checkpoint_sent = true;
}

/* The command that a member needs in the gang's present state. */
static bool needed_command(const struct cq_gang *gang,
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
		       !member->checkpoint_asked;
	case CQ_GANG_STOPPING:
		*command = CQ_GANG_STOP;
		return !member_is_over(member);
	case CQ_GANG_RUNNING:
	case CQ_GANG_ENDED:
		break;
	}
	return false;
}

/* A member whose worker was sent the start and did not answer it. */
static uint32_t silent_member(const struct cq_gang *gang)
{
	uint32_t i;

	for (i = 0; i < gang->size; i++)
		if (gang->members[i].state == MEMBER_STARTING &&
		    gang->members[i].repeats)
			return i;
	return UINT32_MAX;
}

void cq_gang_tick(struct cq_gang *gang, int64_t now_ns)
{
	enum cq_gang_command command;
	uint32_t i;

	settle(gang, now_ns);
	if (now_ns >= gang->deadline_ns) {
		if (gang->state == CQ_GANG_HOLDING)
			begin_stop(gang, CQ_GANG_END_UNDONE,
				   silent_member(gang));
		else if (gang->state == CQ_GANG_RELEASING)
			begin_stop(gang,
				   gang->released ? CQ_GANG_END_LOST
						  : CQ_GANG_END_UNDONE,
				   UINT32_MAX);
		else if (gang->state == CQ_GANG_CHECKPOINTING)
			begin_stop(gang, CQ_GANG_END_STOPPED, UINT32_MAX);
		settle(gang, now_ns);
	}
	for (i = 0; i < gang->size; i++)
		if (needed_command(gang, &gang->members[i], &command))
			send(gang, i, command, now_ns);
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
	return !member_is_over(&gang->members[rank]);
}

bool cq_gang_should_renew(const struct cq_gang *gang, uint32_t rank,
			  bool commands)
{
	enum member_state state = gang->members[rank].state;

	switch (gang->state) {
	case CQ_GANG_HOLDING:
	case CQ_GANG_RELEASING:
		/*
		 * Once a release was sent, the leases that run already bound
		 * the time in part, whatever owners come and go meanwhile.
		 */
		return commands && !gang->released && state == MEMBER_HELD;
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
