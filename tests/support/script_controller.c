#include "script_controller.h"

#include <stdlib.h>
#include <string.h>

int64_t cq_script_now_ns(const struct cq_script_world *world)
{
	return cq_clock_now_ns(cq_manual_clock_get(world->clock));
}

static bool may_command(void *ctx, int64_t now_ns)
{
	(void)now_ns;
	return ((struct cq_script_world *)ctx)->may;
}

static bool start_permit(void *ctx, int64_t now_ns, int64_t *not_after_unix_ms)
{
	*not_after_unix_ms = INT64_MAX;
	return may_command(ctx, now_ns);
}

static void note_command(struct cq_script_world *world, const char *task_id,
			 cq_worker_done_fn *done, void *ctx)
{
	struct cq_script_pending_command command = { .done = done, .ctx = ctx };

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
	struct cq_script_world *world = self;
	struct cq_script_pending_sync pending = { .done = done, .ctx = ctx };

	(void)sync;
	(void)timeout_ms;
	g_strlcpy(pending.address, address, sizeof(pending.address));
	g_array_append_val(world->syncs, pending);
}

void cq_script_set_state(struct cq_script_world *world, bool in)
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
	cq_controller_set_intent(world->controller, &intent,
				 cq_script_now_ns(world));
}

void cq_script_world_init(struct cq_script_world *world)
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
	world->syncs =
		g_array_new(FALSE, TRUE, sizeof(struct cq_script_pending_sync));
	world->commands = g_array_new(FALSE, TRUE,
				      sizeof(struct cq_script_pending_command));
	world->may = true;
	cq_script_store_init(&world->script);
	cq_controller_options_init(&options);
	options.clock = cq_manual_clock_get(world->clock);
	options.data_centre = "dc0";
	options.writer = "me";
	options.retention_ms = CQ_SCRIPT_RETENTION_MS;
	world->controller = cq_controller_create(&options, &ops, world,
						 &world->script.store, &worker,
						 cq_script_now_ns(world));
	cq_script_set_state(world, true);
	cq_controller_set_hosts(world->controller, hosts, 2,
				cq_script_now_ns(world));
}

void cq_script_world_clear(struct cq_script_world *world)
{
	cq_controller_destroy(world->controller);
	cq_script_store_clear(&world->script);
	g_array_free(world->syncs, TRUE);
	g_array_free(world->commands, TRUE);
	cq_manual_clock_destroy(world->clock);
}

void cq_script_answer_syncs(struct cq_script_world *world)
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
		struct cq_script_pending_sync sync = g_array_index(
			world->syncs, struct cq_script_pending_sync, i);

		if (!g_strcmp0(sync.address, world->silent)) {
			i++;
			continue;
		}
		g_array_remove_index(world->syncs, i);
		sync.done(sync.ctx, CQ_WORKER_ANSWER_OK, &report);
	}
}

void cq_script_run(struct cq_script_world *world, int32_t ms)
{
	for (; ms > 0; ms -= 100) {
		cq_manual_clock_advance(world->clock, 100 * CQ_NS_PER_MS);
		cq_controller_tick(world->controller, cq_script_now_ns(world));
		if (!world->hold)
			cq_script_answer_syncs(world);
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

void cq_script_answer(struct cq_script_world *world,
		      enum cq_script_operation operation, const char *prefix,
		      enum cq_store_status status, enum cq_script_entry entry,
		      int64_t revision)
{
	static const enum cq_job_phase phases[] = {
		[CQ_SCRIPT_QUEUED] = CQ_PHASE_QUEUED,
		[CQ_SCRIPT_CANCEL] = CQ_PHASE_QUEUED,
		[CQ_SCRIPT_MOVING] = CQ_PHASE_MOVING,
		[CQ_SCRIPT_FINISHED] = CQ_PHASE_FINISHED,
		[CQ_SCRIPT_DELETED] = CQ_PHASE_QUEUED,
	};
	struct cq_store_call *call =
		cq_script_store_find(&world->script, operation, prefix);
	char *value = record(phases[entry], entry == CQ_SCRIPT_CANCEL);
	struct cq_store_entry item = {
		.key = CQ_SCRIPT_JOB_KEY,
		.value = entry == CQ_SCRIPT_DELETED ? NULL : value,
		.value_len = strlen(value),
		.revision = revision,
	};
	struct cq_store_result result = { .status = status,
					  .revision = revision,
					  .entries = &item,
					  .entry_count = entry !=
							 CQ_SCRIPT_NO_ENTRY };

	cq_script_store_answer(&world->script, call, &result);
	free(value);
}

void cq_script_load(struct cq_script_world *world, enum cq_script_entry entry)
{
	cq_controller_set_epoch(world->controller, 1, cq_script_now_ns(world));
	cq_script_answer(world, CQ_SCRIPT_LIST, "jobs/", CQ_STORE_OK, entry, 5);
}

void cq_script_complete_write(struct cq_script_world *world)
{
	struct cq_store_call *put = cq_script_store_find(
		&world->script, CQ_SCRIPT_PUT, CQ_SCRIPT_JOB_KEY);
	struct cq_store_entry entry = { .key = CQ_SCRIPT_JOB_KEY };
	struct cq_store_result result = { .status = CQ_STORE_OK,
					  .entries = &entry,
					  .entry_count = 1 };

	if (!put)
		return;
	entry.revision = put->revision + 1;
	result.revision = entry.revision;
	cq_script_store_answer(&world->script, put, &result);
}

struct cq_script_pending_command *
cq_script_command(struct cq_script_world *world, const char *task_id)
{
	guint i;

	for (i = 0; i < world->commands->len; i++) {
		struct cq_script_pending_command *pending = &g_array_index(
			world->commands, struct cq_script_pending_command, i);

		if (!strcmp(pending->task_id, task_id))
			return pending;
	}
	return NULL;
}

void cq_script_complete(struct cq_script_world *world, const char *task_id,
			enum cq_worker_answer given)
{
	struct cq_script_pending_command *pending =
		cq_script_command(world, task_id);
	struct cq_script_pending_command taken;

	g_assert_nonnull(pending);
	taken = *pending;
	g_array_remove_index(
		world->commands,
		(guint)(pending - (struct cq_script_pending_command *)
					  world->commands->data));
	taken.done(taken.ctx, given, "");
}
