/* Syncs with workers: reports, renewals of leases, loss of contact. */
#include <string.h>

#include "chestnutquay/log.h"
#include "controller_private.h"

#define MARGIN_NS CQ_NS_PER_S

/*
 * Workers are synced each sync_interval_ns while something is under way, and
 * less often otherwise, so that all of them together get at most
 * max_syncs_per_s. What counts contact with a worker, and the leases, grow by
 * the same time.
 */
static int64_t extra_interval_ns(const struct cq_controller *c,
				 uint32_t workers)
{
	int64_t interval_ns =
		workers * CQ_NS_PER_S / c->options.max_syncs_per_s;

	/* Spreading takes an eighth off in the mean. */
	return MAX(interval_ns - c->options.sync_interval_ns, 0) * 8 / 7;
}

static int64_t extra_ns(const struct cq_controller *c)
{
	return extra_interval_ns(c, c->listed_workers);
}

void cq_controller_list_changed(struct cq_controller *c, uint32_t workers,
				int64_t now_ns)
{
	int64_t before_ns = extra_ns(c);

	c->listed_workers = workers;
	if (extra_ns(c) >= before_ns)
		return;
	/* Until all have been asked at the shorter interval. */
	c->former_extra_ns = before_ns;
	c->former_until_ns = now_ns + before_ns + c->options.lost_after_ns;
}

static int64_t contact_extra_ns(const struct cq_controller *c, int64_t now_ns)
{
	int64_t extra = extra_ns(c);

	return now_ns < c->former_until_ns ? MAX(extra, c->former_extra_ns)
					   : extra;
}

/*
 * A member may be gone for the time of contact before the others are not
 * renewed any more; together with the lease granted that is the task lease.
 */
static int64_t contact_ns(const struct cq_controller *c, int64_t now_ns)
{
	return c->options.contact_timeout_ns + contact_extra_ns(c, now_ns);
}

static int64_t granted_lease_ns(const struct cq_controller *c, int64_t extra)
{
	return c->options.task_lease_ms * CQ_NS_PER_MS -
	       c->options.contact_timeout_ns + extra;
}

/*
 * A renewal that waits in the worker's socket still counts if it is read
 * before the lease that it renews lapses.
 */
static int64_t gone_after_ns(const struct cq_controller *c, int64_t extra)
{
	return 2 * granted_lease_ns(c, extra) + MARGIN_NS;
}

int64_t cq_controller_gone_by_ns(const struct cq_controller *c,
				 const struct cq_fleet_node *node)
{
	/*
	 * An owner before this one may have granted leases for a list of up to
	 * twice as many workers.
	 */
	int64_t before_ns = extra_interval_ns(c, 2 * c->listed_workers);

	return MAX(node ? node->gone_by_ns : 0,
		   c->since_ns + gone_after_ns(c, before_ns));
}

void cq_controller_lease_granted(struct cq_controller *c,
				 struct cq_fleet_node *node, int64_t now_ns)
{
	int64_t gone_by_ns = now_ns + gone_after_ns(c, extra_ns(c));

	node->gone_by_ns = MAX(node->gone_by_ns, gone_by_ns);
}

bool cq_controller_all_settled(struct cq_controller *c)
{
	uint32_t i;

	if (!c->hosts_known)
		return false;
	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		const struct cq_fleet_node *node =
			cq_fleet_state_node(c->fleet, i);

		if (node->listed && !node->reported && !node->lost)
			return false;
	}
	return true;
}

/* Tells the gangs with members on the worker. */
static void tell_gangs(struct cq_controller *c, uint32_t worker, bool lost,
		       int64_t sent_ns, int64_t now_ns)
{
	static const struct cq_gang_report absent = { .checkpoint_ms = -1 };
	struct cq_fleet_node *node = cq_fleet_state_node(c->fleet, worker);
	char id[CQ_JOB_TASK_ID_BYTES];
	GHashTableIter iter;
	gpointer key;
	uint32_t i;

	g_hash_table_iter_init(&iter, c->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_job *job = key;

		for (i = 0; i < cq_gang_size(job->gang); i++) {
			if (job->places[i].worker != worker)
				continue;
			cq_job_task_id(job->record.id, job->places_attempt, i,
				       id);
			if (lost)
				cq_gang_member_lost(
					job->gang, i,
					cq_controller_gone_by_ns(c, node),
					now_ns);
			else if (!cq_fleet_state_task(c->fleet, id))
				cq_gang_observed(job->gang, i, &absent, sent_ns,
						 now_ns);
			cq_job_mark_dirty(job);
		}
	}
}

static void check_lost(struct cq_controller *c, uint32_t worker, int64_t now_ns)
{
	struct cq_fleet_node *node = cq_fleet_state_node(c->fleet, worker);
	int64_t last_ns = MAX(node->answered_ns, c->since_ns);
	int64_t lost_after_ns = c->options.lost_after_ns;

	/* Until the first report it is asked at the shorter interval. */
	if (node->reported)
		lost_after_ns += contact_extra_ns(c, now_ns);
	last_ns = MAX(last_ns, c->resumed_ns);
	if (node->lost || now_ns - last_ns < lost_after_ns)
		return;
	node->lost = true;
	cq_controller_count(c, CQ_COUNT_WORKERS_LOST);
	node->boot_id[0] = '\0';
	cq_log_event(CQ_LOG_WARN, "worker_lost", "{s:s}", "worker", node->name);
	tell_gangs(c, worker, true, now_ns, now_ns);
	c->plan_wanted = true;
}

static void on_sync(void *ctx, enum cq_worker_answer answer,
		    const struct cq_worker_report *report)
{
	struct cq_controller_command *command = ctx;
	struct cq_controller *c = command->controller;
	struct cq_fleet_node *node =
		cq_fleet_state_node(c->fleet, command->worker);
	int64_t now_ns = cq_clock_now_ns(c->options.clock);

	if (cq_controller_command_is_current(command)) {
		node->syncing = false;
		if (answer == CQ_WORKER_ANSWER_OK &&
		    !cq_fleet_state_report(c->fleet, command->worker, report,
					   command->full, command->sent_ns)) {
			/* Another boot: ask for everything at once. */
			node->boot_id[0] = '\0';
			node->next_sync_ns = now_ns;
			node->idle_sync_ns = now_ns;
		} else if (answer == CQ_WORKER_ANSWER_OK && command->full) {
			tell_gangs(c, command->worker, false, command->sent_ns,
				   now_ns);
			c->plan_wanted = true;
		}
		if (answer != CQ_WORKER_ANSWER_OK)
			node->idle_sync_ns = now_ns;
		if (answer == CQ_WORKER_ANSWER_OK && c->epoch)
			cq_controller_stop_strays(c, command->worker);
	}
	g_hash_table_remove(c->commands, command);
}

/* Whether the worker answered recently enough to renew its gangs. */
static bool in_contact(struct cq_controller *c, uint32_t worker, int64_t now_ns)
{
	return worker != UINT32_MAX &&
	       now_ns - cq_fleet_state_node(c->fleet, worker)->answered_ns <=
		       contact_ns(c, now_ns);
}

/* Members of each attempt that run on a worker in contact or have finished. */
struct caretaker_renewal {
	struct cq_controller *c;
	GHashTable *counts; /* <job>.<attempt> -> members */
	GPtrArray **renew;
	int64_t now_ns;
};

static bool visit_complete(void *ctx, struct cq_task_status *task)
{
	struct caretaker_renewal *renewal = ctx;
	char *key;
	uint32_t count;

	if (task->state != CQ_TASK_FINISHED &&
	    ((task->state != CQ_TASK_RUNNING &&
	      task->state != CQ_TASK_CHECKPOINTING) ||
	     !in_contact(renewal->c, task->worker, renewal->now_ns)))
		return true;
	key = g_strdup_printf("%s.%u", task->job_id, task->attempt);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(renewal->counts, key));
	g_hash_table_replace(renewal->counts, key, GUINT_TO_POINTER(count + 1));
	return true;
}

static bool visit_caretaker(void *ctx, struct cq_task_status *task)
{
	struct caretaker_renewal *renewal = ctx;
	char *key;

	if (!renewal->renew[task->worker] ||
	    (task->state != CQ_TASK_RUNNING &&
	     task->state != CQ_TASK_CHECKPOINTING))
		return true;
	key = g_strdup_printf("%s.%u", task->job_id, task->attempt);
	if (GPOINTER_TO_UINT(g_hash_table_lookup(renewal->counts, key)) ==
	    task->gang_size)
		g_ptr_array_add(renewal->renew[task->worker],
				g_strdup(task->id));
	g_free(key);
	return true;
}

/* Without an owner, only gangs that run as a whole are renewed. */
static void collect_caretaker(struct cq_controller *c, GPtrArray **renew,
			      int64_t now_ns)
{
	struct caretaker_renewal renewal = { c, NULL, renew, now_ns };

	renewal.counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cq_fleet_state_visit(c->fleet, visit_complete, &renewal);
	cq_fleet_state_visit(c->fleet, visit_caretaker, &renewal);
	g_hash_table_destroy(renewal.counts);
}

/* Whether the workers of all members that are not over answer. */
static bool gang_in_contact(const struct cq_job *job, int64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < cq_gang_size(job->gang); i++)
		if (cq_gang_occupies(job->gang, i) &&
		    !in_contact(job->controller, job->places[i].worker, now_ns))
			return false;
	return true;
}

static void collect_owner(struct cq_controller *c, GPtrArray **renew,
			  int64_t now_ns)
{
	bool commands = c->ops->may_command(c->ctx, now_ns);
	char id[CQ_JOB_TASK_ID_BYTES];
	GHashTableIter iter;
	gpointer key;
	uint32_t i;

	g_hash_table_iter_init(&iter, c->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct cq_job *job = key;

		if (!gang_in_contact(job, now_ns))
			continue;
		for (i = 0; i < cq_gang_size(job->gang); i++) {
			uint32_t worker = job->places[i].worker;

			if (worker == UINT32_MAX || !renew[worker] ||
			    !cq_gang_should_renew(job->gang, i, commands))
				continue;
			cq_job_task_id(job->record.id, job->places_attempt, i,
				       id);
			g_ptr_array_add(renew[worker], g_strdup(id));
		}
	}
}

/* Spread, so that workers do not stay in step after a takeover. */
static int64_t quiet_extra_ns(struct cq_controller *c)
{
	int64_t extra = extra_ns(c);

	return extra - (int64_t)((double)extra *
				 g_rand_double_range(c->random, 0, 0.25));
}

/* Whether something is under way that a report may show at any time. */
static bool is_busy(const struct cq_job *job, int64_t now_ns)
{
	const struct cq_controller *c = job->controller;
	int64_t extra = extra_ns(c);

	/* The first renewals follow the short lease of the start. */
	return cq_gang_state(job->gang) != CQ_GANG_RUNNING ||
	       now_ns - job->begun_ns < c->options.lost_after_ns ||
	       (job->expected_end_ns > 0 &&
		ABS(now_ns - job->expected_end_ns) <= extra);
}

/* Workers that are asked at the shorter interval. */
static void find_busy(struct cq_controller *c, bool *busy, int64_t now_ns)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t i;

	g_hash_table_iter_init(&iter, c->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct cq_job *job = key;

		if (!is_busy(job, now_ns))
			continue;
		for (i = 0; i < cq_gang_size(job->gang); i++)
			if (job->places[i].worker != UINT32_MAX)
				busy[job->places[i].worker] = true;
	}
}

static void send_sync(struct cq_controller *c, uint32_t worker,
		      const GPtrArray *renew, int64_t now_ns)
{
	struct cq_fleet_node *node = cq_fleet_state_node(c->fleet, worker);
	struct cq_controller_command *command =
		cq_controller_command_create(c, worker, now_ns);
	struct cq_worker_sync sync = {
		.epoch = command->epoch,
		.lease_ms = (uint32_t)(granted_lease_ns(c, extra_ns(c)) /
				       CQ_NS_PER_MS),
		.renew = (const char *const *)renew->pdata,
		.renew_count = renew->len,
		.since_version = node->version,
	};

	command->full = !node->reported || !*node->boot_id;
	if (command->full)
		sync.since_version = 0;
	if (renew->len)
		cq_controller_lease_granted(c, node, now_ns);
	node->syncing = true;
	cq_controller_count(c, CQ_COUNT_SYNCS);
	node->next_sync_ns = now_ns + c->options.sync_interval_ns;
	node->idle_sync_ns = node->next_sync_ns + quiet_extra_ns(c);
	c->worker.ops->sync(c->worker.self, node->address, &sync,
			    c->options.call_timeout_ms, on_sync, command);
}

void cq_controller_sync_workers(struct cq_controller *c, int64_t now_ns)
{
	uint32_t count = cq_fleet_state_count(c->fleet);
	GPtrArray **renew = g_new0(GPtrArray *, count + 1);
	/* All, while an epoch begins. */
	bool all = now_ns - c->since_ns < c->options.lost_after_ns;
	bool *busy = g_new0(bool, count + 1);
	uint32_t due = 0;
	uint32_t i;

	if (!all)
		find_busy(c, busy, now_ns);
	for (i = 0; i < count; i++) {
		struct cq_fleet_node *node = cq_fleet_state_node(c->fleet, i);

		if (!node->listed && !node->reported)
			continue;
		check_lost(c, i, now_ns);
		if (node->syncing || now_ns < node->next_sync_ns ||
		    (!all && !busy[i] && node->reported &&
		     now_ns < MIN(node->idle_sync_ns,
				  node->next_sync_ns + extra_ns(c))))
			continue;
		renew[i] = g_ptr_array_new_with_free_func(g_free);
		due++;
	}
	if (due && c->epoch)
		collect_owner(c, renew, now_ns);
	else if (due)
		collect_caretaker(c, renew, now_ns);
	for (i = 0; i < count; i++) {
		if (!renew[i])
			continue;
		send_sync(c, i, renew[i], now_ns);
		g_ptr_array_free(renew[i], TRUE);
	}
	g_free(renew);
	g_free(busy);
}
