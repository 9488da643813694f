#include "controller_private.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/log.h"

/* A longer time between two ticks counts as a pause of the process. */
#define PAUSE_NS CQ_NS_PER_S

/* Assumed until the first checkpoint has been measured. */
#define CHECKPOINT_COST_NS (2 * CQ_NS_PER_S)

static void become_owner(struct cq_controller *c, int64_t now_ns);
static void stop_owning(struct cq_controller *c);
static void tick_gangs(struct cq_controller *c, int64_t now_ns);
static void tick_dirty(struct cq_controller *c, int64_t now_ns);
static void tick_retired(struct cq_controller *c, int64_t now_ns);

void cq_controller_options_init(struct cq_controller_options *options)
{
	memset(options, 0, sizeof(*options));
	cq_gang_options_init(&options->gang);
	options->call_timeout_ms = 800;
	options->store_timeout_ms = 1000;
	options->watch_wait_ms = 5000;
	options->task_lease_ms = 15000;
	options->held_lease_ms = 10000;
	options->contact_timeout_ns = 2500 * CQ_NS_PER_MS;
	options->sync_interval_ns = CQ_NS_PER_S;
	options->max_syncs_per_s = 100;
	options->lost_after_ns = 5 * CQ_NS_PER_S;
	options->plan_interval_ns = CQ_NS_PER_S;
	options->settle_ns = 1500 * CQ_NS_PER_MS;
	options->max_commands = 512;
	options->max_writes = 64;
	options->max_jobs_per_tick = 256;
	/* Keeps up with 10,000 changes a second at 10 ticks a second. */
	options->max_records_per_tick = 1024;
	options->hand_over_wait_ns = 60 * CQ_NS_PER_S;
	options->retention_ms = INT64_C(86400000);
	options->history_interval_ns = 300 * CQ_NS_PER_S;
}

struct cq_controller *
cq_controller_create(const struct cq_controller_options *options,
		     const struct cq_controller_ops *ops, void *ctx,
		     const struct cq_store *store,
		     const struct cq_worker *worker, int64_t now_ns)
{
	struct cq_controller *c = g_new0(struct cq_controller, 1);

	c->options = *options;
	g_strlcpy(c->data_centre, options->data_centre, sizeof(c->data_centre));
	g_strlcpy(c->writer, options->writer, sizeof(c->writer));
	c->ops = ops;
	c->ctx = ctx;
	c->store = *store;
	c->worker = *worker;
	c->planner = cq_planner_create();
	c->fleet = cq_fleet_state_create(cq_controller_task_changed, c);
	c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					cq_job_free);
	c->active = g_hash_table_new(NULL, NULL);
	c->dirty = g_queue_new();
	c->untaken = g_queue_new();
	c->records_left = options->max_records_per_tick;
	c->store_calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	c->commands = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	c->probes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->retired = g_queue_new();
	c->offers = g_array_new(FALSE, FALSE, sizeof(struct cq_offer));
	c->dcs = g_array_new(FALSE, FALSE, sizeof(struct cq_controller_dc));
	c->classes =
		g_array_new(FALSE, FALSE, sizeof(struct cq_controller_class));
	c->shortfalls = g_ptr_array_new_with_free_func(g_free);
	c->guarantees = g_array_new(FALSE, FALSE,
				    sizeof(struct cq_controller_guarantee));
	c->random = g_rand_new_with_seed((guint32)options->seed);
	c->since_ns = now_ns;
	/* Unique across restarts: the time gives room for 1000 writes a ms. */
	c->sequence = (uint64_t)cq_clock_unix_ms(options->clock) * 1000;
	cq_policy_init(&c->policy);
	c->checkpoint_cost_ns = CHECKPOINT_COST_NS;
	cq_controller_open_metrics(c);
	return c;
}

void cq_controller_destroy(struct cq_controller *c)
{
	if (!c)
		return;
	cq_controller_cancel_calls(c);
	cq_run_history_destroy(c->history.runs);
	g_hash_table_destroy(c->active);
	/* The links of the dirty queue are part of the jobs. */
	g_queue_init(c->dirty);
	g_queue_free(c->dirty);
	cq_controller_drop_untaken(c);
	g_queue_free(c->untaken);
	g_hash_table_destroy(c->jobs);
	g_hash_table_destroy(c->store_calls);
	g_hash_table_destroy(c->commands);
	g_hash_table_destroy(c->probes);
	g_hash_table_destroy(c->accounts);
	g_queue_free_full(c->retired, g_free);
	g_array_free(c->offers, TRUE);
	free(c->offer_text);
	g_array_free(c->dcs, TRUE);
	g_array_free(c->classes, TRUE);
	g_ptr_array_free(c->shortfalls, TRUE);
	g_array_free(c->guarantees, TRUE);
	g_rand_free(c->random);
	cq_fleet_state_destroy(c->fleet);
	cq_planner_destroy(c->planner);
	g_free(c);
}

static void stop_owning(struct cq_controller *c)
{
	uint32_t i;

	cq_controller_cancel_calls(c);
	g_queue_init(c->dirty);
	cq_controller_drop_untaken(c);
	g_queue_clear_full(c->retired, g_free);
	g_hash_table_remove_all(c->active);
	g_hash_table_remove_all(c->jobs);
	g_hash_table_remove_all(c->probes);
	g_hash_table_remove_all(c->accounts);
	c->listed = false;
	c->loaded = false;
	c->watching = false;
	c->history.calling = false;
	c->offers_known = false;
	c->offers_ns = 0;
	c->offer_refresh_ns = 0;
	for (i = 0; i < cq_fleet_state_count(c->fleet); i++) {
		struct cq_fleet_node *node = cq_fleet_state_node(c->fleet, i);

		node->reported = false;
		node->lost = false;
		node->syncing = false;
		node->next_sync_ns = 0;
		node->idle_sync_ns = 0;
		cq_fleet_state_forget_tasks(c->fleet, i);
	}
}

static void become_owner(struct cq_controller *c, int64_t now_ns)
{
	cq_planner_destroy(c->planner);
	c->planner = cq_planner_create();
	c->since_ns = now_ns;
	c->load_ns = now_ns;
	c->plan_ns = now_ns;
	cq_controller_count(c, CQ_COUNT_TAKEOVERS);
	cq_controller_history_reset(c, now_ns);
	cq_controller_load(c, now_ns);
}

void cq_controller_set_epoch(struct cq_controller *c, int64_t epoch,
			     int64_t now_ns)
{
	if (epoch == c->epoch)
		return;
	stop_owning(c);
	c->epoch = epoch;
	c->caretaker = 0;
	if (epoch)
		become_owner(c, now_ns);
	cq_log_event(CQ_LOG_INFO, "controller_epoch", "{s:I}", "epoch",
		     (json_int_t)epoch);
}

void cq_controller_set_renewal_epoch(struct cq_controller *c, int64_t epoch,
				     int64_t now_ns)
{
	if (c->epoch || epoch == c->caretaker)
		return;
	stop_owning(c);
	c->caretaker = epoch;
	c->since_ns = now_ns;
	cq_log_event(CQ_LOG_INFO, "controller_caretaker", "{s:I}", "epoch",
		     (json_int_t)epoch);
}

static void set_dc_state(struct cq_controller *c, bool known, int64_t now_ns)
{
	const struct cq_controller_dc *dc =
		cq_controller_find_dc(c, c->data_centre);
	bool in = dc && dc->in_service;

	if (known && in == c->dc_in)
		return;
	c->dc_in = in;
	if (in) {
		/* Only a return seen by this process is a refill. */
		c->dc_in_since_ns = known ? now_ns : 0;
	} else {
		c->dc_notice_deadline_ns =
			now_ns + (dc ? dc->notice_ms : 0) * CQ_NS_PER_MS;
	}
	cq_log_event(CQ_LOG_INFO, "data_centre_state", "{s:s,s:b}",
		     "data_centre", c->data_centre, "in", (int)in);
}

void cq_controller_set_intent(struct cq_controller *c,
			      const struct cq_controller_intent *intent,
			      int64_t now_ns)
{
	bool known = c->dcs->len > 0;
	GHashTableIter iter;
	gpointer value;

	g_array_set_size(c->dcs, 0);
	g_array_set_size(c->classes, 0);
	g_array_set_size(c->guarantees, 0);
	if (intent->dc_count)
		g_array_append_vals(c->dcs, intent->dcs, intent->dc_count);
	if (intent->class_count)
		g_array_append_vals(c->classes, intent->classes,
				    intent->class_count);
	if (intent->guarantee_count)
		g_array_append_vals(c->guarantees, intent->guarantees,
				    intent->guarantee_count);
	c->policy = intent->policy;
	set_dc_state(c, known, now_ns);
	c->plan_wanted = true;
	g_hash_table_iter_init(&iter, c->jobs);
	while (!c->dc_in && g_hash_table_iter_next(&iter, NULL, &value))
		cq_job_mark_dirty(value);
}

void cq_controller_set_hosts(struct cq_controller *c,
			     const struct cq_controller_host *hosts,
			     uint32_t count, int64_t now_ns)
{
	uint32_t i;

	cq_controller_list_changed(c, count, now_ns);
	for (i = 0; i < cq_fleet_state_count(c->fleet); i++)
		cq_fleet_state_node(c->fleet, i)->listed = false;
	for (i = 0; i < count; i++)
		cq_fleet_state_list_worker(c->fleet, hosts[i].name,
					   hosts[i].address, hosts[i].rack);
	c->hosts_known = true;
	c->plan_wanted = true;
}

static void tick_gangs(struct cq_controller *c, int64_t now_ns)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->active);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct cq_job *job = key;

		if (job->stop_requested_ns && now_ns >= job->stop_deadline_ns &&
		    cq_gang_state(job->gang) < CQ_GANG_STOPPING)
			cq_gang_stop(job->gang, now_ns);
		cq_gang_tick(job->gang, now_ns);
		if (cq_gang_state(job->gang) == CQ_GANG_ENDED ||
		    (job->record.phase == CQ_PHASE_STARTING &&
		     cq_gang_state(job->gang) >= CQ_GANG_RUNNING))
			cq_job_mark_dirty(job);
	}
}

/* Bounded, so that a wave of changes does not hold up renewals. */
static void tick_dirty(struct cq_controller *c, int64_t now_ns)
{
	uint32_t left = MIN(c->options.max_jobs_per_tick, c->dirty->length);
	GList *link;

	for (; left && (link = g_queue_pop_head_link(c->dirty)); left--) {
		struct cq_job *job = link->data;

		job->dirty = false;
		cq_job_reconcile(job, now_ns);
	}
}

static void tick_retired(struct cq_controller *c, int64_t now_ns)
{
	int64_t unix_ms = cq_clock_unix_ms(c->options.clock);
	const char *id;

	/* A successor may have written a new record of the same id. */
	if (!c->ops->may_command(c->ctx, now_ns))
		return;
	while ((id = g_queue_peek_head(c->retired))) {
		struct cq_job *job = g_hash_table_lookup(c->jobs, id);

		if (job && unix_ms - job->record.ended_unix_ms <
				   c->options.retention_ms)
			return;
		if (job && c->writes >= c->options.max_writes)
			return;
		g_free(g_queue_pop_head(c->retired));
		if (job)
			cq_job_remove_record(job, now_ns);
	}
}

void cq_controller_tick(struct cq_controller *c, int64_t now_ns)
{
	/*
	 * After a pause of this process the silence of the workers is its own.
	 */
	if (c->tick_ns && now_ns - c->tick_ns > PAUSE_NS)
		c->resumed_ns = now_ns;
	c->tick_ns = now_ns;
	if (!c->epoch && !c->caretaker)
		return;
	cq_controller_sync_workers(c, now_ns);
	if (!c->epoch)
		return;
	cq_controller_history_tick(c, now_ns);
	cq_controller_take_records(c);
	/* Answers that come until the next tick share what is left. */
	c->records_left = c->options.max_records_per_tick;
	if (!c->listed && now_ns >= c->load_ns)
		cq_controller_load(c, now_ns);
	if (c->loaded && !c->watching && !c->untaken->length &&
	    now_ns >= c->watch_ns)
		cq_controller_watch(c, now_ns);
	if (!c->loaded)
		return;
	tick_gangs(c, now_ns);
	tick_dirty(c, now_ns);
	tick_retired(c, now_ns);
	cq_controller_read_offers(c, now_ns);
	cq_controller_plan(c, now_ns);
	cq_controller_set_gauges(c);
}

uint32_t cq_controller_in_flight(const struct cq_controller *c)
{
	return c->writes + c->commands_in_flight +
	       (c->history.calling && c->history.known);
}

void cq_controller_drain(struct cq_controller *c)
{
	c->draining = true;
}

bool cq_controller_settled(const struct cq_controller *c)
{
	return c->epoch && c->loaded &&
	       cq_controller_all_settled((struct cq_controller *)c);
}
