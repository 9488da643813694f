/*
 * The job controller against a store and workers whose answers are given by
 * the test: writes without command, conflicts, answers to earlier attempts.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../support/script_store.h"
#include "chestnutquay/controller.h"

#define KEY "jobs/dc0/j"
#define RETENTION_MS 1000

struct pending_sync {
	char address[16];
	cq_worker_sync_done_fn *done;
	void *ctx;
};

/* A start or throttle that was not answered yet. */
struct pending_command {
	char task_id[CQ_JOB_TASK_ID_BYTES];
	cq_worker_done_fn *done;
	void *ctx;
};

struct world {
	struct cq_manual_clock *clock;
	struct cq_script_store script;
	struct cq_controller *controller;
	GArray *syncs;	    /* of struct pending_sync */
	GArray *commands;   /* of struct pending_command */
	const char *silent; /* address of a worker that does not answer */
	bool may;
	bool hold; /* syncs are not answered by run() */
};

static int64_t now_of(const struct world *world)
{
	return cq_clock_now_ns(cq_manual_clock_get(world->clock));
}

static bool may_command(void *ctx, int64_t now_ns)
{
	(void)now_ns;
	return ((struct world *)ctx)->may;
}

static bool start_permit(void *ctx, int64_t now_ns, int64_t *not_after_unix_ms)
{
	*not_after_unix_ms = INT64_MAX;
	return may_command(ctx, now_ns);
}

static void note_command(struct world *world, const char *task_id,
			 cq_worker_done_fn *done, void *ctx)
{
	struct pending_command command = { .done = done, .ctx = ctx };

	g_strlcpy(command.task_id, task_id, sizeof(command.task_id));
	g_array_append_val(world->commands, command);
}

static void worker_start(void *self, const char *address,
			 const struct cq_worker_start *start,
			 uint32_t timeout_ms, cq_worker_done_fn *done,
			 void *ctx)
{
	(void)address;
	(void)timeout_ms;
	note_command(self, start->task_id, done, ctx);
}

static void worker_throttle(void *self, const char *address,
			    const char *task_id, int64_t epoch,
			    uint32_t percent, uint32_t timeout_ms,
			    cq_worker_done_fn *done, void *ctx)
{
	(void)address;
	(void)epoch;
	(void)percent;
	(void)timeout_ms;
	note_command(self, task_id, done, ctx);
}

static void worker_stop(void *self, const char *address, const char *task_id,
			int64_t epoch, uint32_t timeout_ms,
			cq_worker_done_fn *done, void *ctx)
{
	(void)address;
	(void)epoch;
	(void)timeout_ms;
	note_command(self, task_id, done, ctx);
}

static void worker_sync(void *self, const char *address,
			const struct cq_worker_sync *sync, uint32_t timeout_ms,
			cq_worker_sync_done_fn *done, void *ctx)
{
	struct world *world = self;
	struct pending_sync pending = { .done = done, .ctx = ctx };

	(void)sync;
	(void)timeout_ms;
	g_strlcpy(pending.address, address, sizeof(pending.address));
	g_array_append_val(world->syncs, pending);
}

static void set_state(struct world *world, bool in)
{
	struct cq_controller_dc dcs[] = { { "dc0", in, 0 },
					  { "dc1", true, 0 } };
	struct cq_controller_class class = { "top", 0, true };
	struct cq_controller_intent intent = {
		.dcs = dcs,
		.dc_count = 2,
		.classes = &class,
		.class_count = 1,
	};

	cq_policy_init(&intent.policy);
	cq_controller_set_intent(world->controller, &intent, now_of(world));
}

static void init(struct world *world)
{
	static const struct cq_controller_ops ops = { may_command,
						      start_permit };
	static const struct cq_worker_ops worker_ops = {
		.start = worker_start,
		.sync = worker_sync,
		.throttle = worker_throttle,
		.stop = worker_stop,
	};
	static const struct cq_controller_host hosts[] = {
		{ "w0", "worker:0", "r0" },
		{ "w1", "worker:1", "r0" },
	};
	struct cq_worker worker = { &worker_ops, world };
	struct cq_controller_options options;

	memset(world, 0, sizeof(*world));
	world->clock = cq_manual_clock_create(CQ_NS_PER_S, 1000000);
	world->syncs = g_array_new(FALSE, TRUE, sizeof(struct pending_sync));
	world->commands =
		g_array_new(FALSE, TRUE, sizeof(struct pending_command));
	world->may = true;
	cq_script_store_init(&world->script);
	cq_controller_options_init(&options);
	options.clock = cq_manual_clock_get(world->clock);
	options.data_centre = "dc0";
	options.writer = "me";
	options.retention_ms = RETENTION_MS;
	world->controller = cq_controller_create(&options, &ops, world,
						 &world->script.store, &worker,
						 now_of(world));
	set_state(world, true);
	cq_controller_set_hosts(world->controller, hosts, 2, now_of(world));
}

static void clear(struct world *world)
{
	cq_controller_destroy(world->controller);
	cq_script_store_clear(&world->script);
	g_array_free(world->syncs, TRUE);
	g_array_free(world->commands, TRUE);
	cq_manual_clock_destroy(world->clock);
}

/* Workers that are not silent report no tasks. */
static void answer_syncs(struct world *world)
{
	struct cq_worker_report report = {
		.boot_id = "b",
		.version = 1,
		.accelerators = 8,
		.millicores = 64000,
		.memory_bytes = UINT64_C(1) << 40,
	};
	guint i;

	for (i = 0; i < world->syncs->len;) {
		struct pending_sync sync =
			g_array_index(world->syncs, struct pending_sync, i);

		if (!g_strcmp0(sync.address, world->silent)) {
			i++;
			continue;
		}
		g_array_remove_index(world->syncs, i);
		sync.done(sync.ctx, CQ_WORKER_ANSWER_OK, &report);
	}
}

/* Ticks every 100 ms. */
static void run(struct world *world, int32_t ms)
{
	for (; ms > 0; ms -= 100) {
		cq_manual_clock_advance(world->clock, 100 * CQ_NS_PER_MS);
		cq_controller_tick(world->controller, now_of(world));
		if (!world->hold)
			answer_syncs(world);
	}
}

/* The record of job j as the store would hold it. */
static char *record(enum cq_job_phase phase, bool cancel)
{
	struct cq_job_record record;

	cq_job_record_init(&record);
	strcpy(record.id, "j");
	strcpy(record.workspace, "ws");
	strcpy(record.class_name, "top");
	record.tasks = 1;
	record.accelerators = 8;
	record.cpu_millicores = 1000;
	record.memory_bytes = 1 << 20;
	record.phase = phase;
	record.cancel = cancel;
	record.submitted_unix_ms = 1;
	if (phase == CQ_PHASE_MOVING) {
		strcpy(record.moved_to, "dc1");
		record.moves = 1;
	}
	if (cq_job_phase_is_terminal(phase))
		record.ended_unix_ms = 1;
	return cq_job_record_format(&record);
}

enum entry { NO_ENTRY, QUEUED, CANCEL, MOVING, FINISHED, DELETED };

static void answer(struct world *world, enum cq_script_operation operation,
		   const char *prefix, enum cq_store_status status,
		   enum entry entry, int64_t revision)
{
	static const enum cq_job_phase phases[] = {
		[QUEUED] = CQ_PHASE_QUEUED,  [CANCEL] = CQ_PHASE_QUEUED,
		[MOVING] = CQ_PHASE_MOVING,  [FINISHED] = CQ_PHASE_FINISHED,
		[DELETED] = CQ_PHASE_QUEUED,
	};
	struct cq_store_call *call =
		cq_script_store_find(&world->script, operation, prefix);
	char *value = record(phases[entry], entry == CANCEL);
	struct cq_store_entry item = {
		.key = KEY,
		.value = entry == DELETED ? NULL : value,
		.value_len = strlen(value),
		.revision = revision,
	};
	struct cq_store_result result = { .status = status,
					  .revision = revision,
					  .entries = &item,
					  .entry_count = entry != NO_ENTRY };

	cq_script_store_answer(&world->script, call, &result);
	free(value);
}

/* Makes it the owner, with the record of job j at revision 5. */
static void load(struct world *world, enum entry entry)
{
	cq_controller_set_epoch(world->controller, 1, now_of(world));
	answer(world, CQ_SCRIPT_LIST, "jobs/", CQ_STORE_OK, entry, 5);
}

/*
 * Guards against a write by a process that may not command: the ownership
 * check before any of the writes removed.
 */
static void test_write_needs_command(void)
{
	static const struct {
		const char *name;
		enum entry entry;
		bool in;
		enum cq_script_operation operation;
		const char *prefix;
	} cases[] = {
		{ "change of a record", CANCEL, true, CQ_SCRIPT_PUT, KEY },
		{ "begin of a move", QUEUED, false, CQ_SCRIPT_PUT, KEY },
		{ "rest of a move", MOVING, false, CQ_SCRIPT_PUT, "jobs/dc1/" },
		{ "removal of an old record", FINISHED, true, CQ_SCRIPT_REMOVE,
		  KEY },
	};
	guint i;
	int may;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (may = 0; may <= 1; may++) {
			struct world world;

			g_test_message("%s, may command: %d", cases[i].name,
				       may);
			init(&world);
			set_state(&world, cases[i].in);
			world.may = may;
			load(&world, cases[i].entry);
			run(&world, RETENTION_MS + 500);
			g_assert_cmpint(
				!!cq_script_store_find(&world.script,
						       cases[i].operation,
						       cases[i].prefix),
				==, may);
			clear(&world);
		}
}

/*
 * Guards against a conflict whose winner is not taken over: the next write
 * would expect the old revision for ever, or undo what the winner wrote.
 */
static void test_conflict(void)
{
	static const struct {
		const char *name;
		enum entry entry; /* at revision 5 */
		enum cq_script_operation operation;
		enum cq_store_status status;
		enum cq_store_status read_status; /* after a lost answer */
		enum entry winner;		  /* at revision 9 */
		/* Expected revision of the next write; 0: none. */
		int64_t next;
		bool known; /* whether the job is still known */
	} cases[] = {
		{ "winner still to be cancelled", CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_CONFLICT, 0, CANCEL, 9, true },
		{ "winner finished", CANCEL, CQ_SCRIPT_PUT, CQ_STORE_CONFLICT,
		  0, FINISHED, 0, true },
		{ "removed meanwhile", CANCEL, CQ_SCRIPT_PUT, CQ_STORE_CONFLICT,
		  0, NO_ENTRY, 0, false },
		{ "answer lost, winner to be cancelled", CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_UNKNOWN, CQ_STORE_OK, CANCEL, 9, true },
		{ "answer lost, winner finished", CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_UNKNOWN, CQ_STORE_OK, FINISHED, 0, true },
		{ "answer lost, removed", CANCEL, CQ_SCRIPT_PUT,
		  CQ_STORE_UNKNOWN, CQ_STORE_NOT_FOUND, NO_ENTRY, 0, false },
		{ "record to remove was replaced", FINISHED, CQ_SCRIPT_REMOVE,
		  CQ_STORE_CONFLICT, 0, CANCEL, 9, true },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_store_call *next;
		struct world world;
		char *shown;

		g_test_message("%s", cases[i].name);
		init(&world);
		load(&world, cases[i].entry);
		run(&world, RETENTION_MS + 500);
		answer(&world, cases[i].operation, KEY, cases[i].status,
		       cases[i].status == CQ_STORE_UNKNOWN ? NO_ENTRY
							   : cases[i].winner,
		       9);
		if (cases[i].status == CQ_STORE_UNKNOWN)
			answer(&world, CQ_SCRIPT_GET, KEY, cases[i].read_status,
			       cases[i].winner, 9);
		/* Before the removal of a record that has ended. */
		run(&world, 300);
		next = cq_script_store_find(&world.script, CQ_SCRIPT_PUT, KEY);
		g_assert_cmpint(next ? next->revision : 0, ==, cases[i].next);
		shown = cq_controller_show_job(world.controller, "j",
					       now_of(&world));
		g_assert_cmpint(shown != NULL, ==, cases[i].known);
		free(shown);
		clear(&world);
	}
}

/*
 * Guards against the answer to a write of a removed record that is taken for
 * that of a new record of the same id, which would then be forgotten.
 */
static void test_answer_for_removed_record(void)
{
	static const struct {
		enum cq_store_status status;
		enum entry entry;
	} cases[] = {
		{ CQ_STORE_CONFLICT, NO_ENTRY },
		{ CQ_STORE_OK, FINISHED },
		{ CQ_STORE_UNAVAILABLE, NO_ENTRY },
		{ CQ_STORE_UNKNOWN, NO_ENTRY },
	};
	guint i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cq_store_call *old, *write;
		struct world world;

		init(&world);
		load(&world, CANCEL);
		run(&world, 200);
		old = cq_script_store_find(&world.script, CQ_SCRIPT_PUT, KEY);
		g_assert_nonnull(old);
		answer(&world, CQ_SCRIPT_WATCH, "jobs/", CQ_STORE_OK, DELETED,
		       6);
		answer(&world, CQ_SCRIPT_WATCH, "jobs/", CQ_STORE_OK, CANCEL,
		       7);
		run(&world, 200);
		/* The answer to the write of the first record. */
		answer(&world, CQ_SCRIPT_PUT, KEY, cases[i].status,
		       cases[i].entry, 6);
		g_assert_null(
			cq_script_store_find(&world.script, CQ_SCRIPT_GET, ""));
		write = cq_script_store_find(&world.script, CQ_SCRIPT_PUT, KEY);
		g_assert_nonnull(write);
		g_assert_cmpint(write->revision, ==, 7);
		/* The one of the second record is still waited for. */
		answer(&world, CQ_SCRIPT_PUT, KEY, CQ_STORE_CONFLICT, CANCEL,
		       8);
		run(&world, 200);
		write = cq_script_store_find(&world.script, CQ_SCRIPT_PUT, KEY);
		g_assert_nonnull(write);
		g_assert_cmpint(write->revision, ==, 8);
		clear(&world);
	}
}

static void complete_write(struct world *world)
{
	struct cq_store_call *put =
		cq_script_store_find(&world->script, CQ_SCRIPT_PUT, KEY);
	struct cq_store_entry entry = { .key = KEY };
	struct cq_store_result result = { .status = CQ_STORE_OK,
					  .entries = &entry,
					  .entry_count = 1 };

	if (!put)
		return;
	entry.revision = put->revision + 1;
	result.revision = entry.revision;
	cq_script_store_answer(&world->script, put, &result);
}

static struct pending_command *command(struct world *world, const char *task_id)
{
	guint i;

	for (i = 0; i < world->commands->len; i++) {
		struct pending_command *pending = &g_array_index(
			world->commands, struct pending_command, i);

		if (!strcmp(pending->task_id, task_id))
			return pending;
	}
	return NULL;
}

static void complete(struct world *world, const char *task_id,
		     enum cq_worker_answer given)
{
	struct pending_command *pending = command(world, task_id);
	struct pending_command taken;

	g_assert_nonnull(pending);
	taken = *pending;
	g_array_remove_index(
		world->commands,
		(guint)(pending -
			(struct pending_command *)world->commands->data));
	taken.done(taken.ctx, given, "");
}

/*
 * Guards against the answer to a start of an earlier attempt, or under an
 * earlier epoch, that is taken for one of the present attempt.
 */
static void test_answer_for_old_attempt(void)
{
	struct world world;
	guint epoch;

	for (epoch = 1; epoch <= 2; epoch++) {
		bool refused;

		init(&world);
		load(&world, QUEUED);
		while (!command(&world, "j.1.0")) {
			g_assert_cmpint(now_of(&world), <, 60 * CQ_NS_PER_S);
			run(&world, 100);
			complete_write(&world);
		}
		/* The worker of the first attempt is lost. */
		world.silent = "worker:0";
		if (epoch == 2) {
			cq_controller_set_epoch(world.controller, 2,
						now_of(&world));
			answer(&world, CQ_SCRIPT_LIST, "jobs/", CQ_STORE_OK,
			       QUEUED, 50);
		}
		while (!command(&world, epoch == 1 ? "j.2.0" : "j.1.0") ||
		       (epoch == 2 && world.commands->len < 2)) {
			g_assert_cmpint(now_of(&world), <, 120 * CQ_NS_PER_S);
			run(&world, 100);
			complete_write(&world);
		}
		/* A refusal would end the attempt, a success release it. */
		refused = epoch == 1;
		complete(&world, "j.1.0",
			 refused ? CQ_WORKER_ANSWER_REFUSED
				 : CQ_WORKER_ANSWER_OK);
		run(&world, 500);
		g_assert_null(cq_script_store_find(&world.script, CQ_SCRIPT_PUT,
						   KEY));
		g_assert_cmpuint(world.commands->len, ==, 1);
		/* The present attempt goes on with its own answer. */
		complete(&world, epoch == 1 ? "j.2.0" : "j.1.0",
			 CQ_WORKER_ANSWER_OK);
		run(&world, 200);
		g_assert_nonnull(
			command(&world, epoch == 1 ? "j.2.0" : "j.1.0"));
		clear(&world);
	}
}

/*
 * Guards against a report asked for under an earlier epoch that counts as one
 * of the present epoch: it may be from before the takeover.
 */
static void test_report_of_old_epoch(void)
{
	struct world world;

	init(&world);
	load(&world, QUEUED);
	world.hold = true;
	run(&world, 100);
	g_assert_cmpuint(world.syncs->len, ==, 2);
	cq_controller_set_epoch(world.controller, 2, now_of(&world));
	answer(&world, CQ_SCRIPT_LIST, "jobs/", CQ_STORE_OK, QUEUED, 5);
	answer_syncs(&world);
	g_assert_false(cq_controller_settled(world.controller));
	world.hold = false;
	run(&world, 200);
	g_assert_true(cq_controller_settled(world.controller));
	clear(&world);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/controller_store/write_needs_command",
			test_write_needs_command);
	g_test_add_func("/controller_store/conflict", test_conflict);
	g_test_add_func("/controller_store/answer_for_removed_record",
			test_answer_for_removed_record);
	g_test_add_func("/controller_store/answer_for_old_attempt",
			test_answer_for_old_attempt);
	g_test_add_func("/controller_store/report_of_old_epoch",
			test_report_of_old_epoch);
	return g_test_run();
}
