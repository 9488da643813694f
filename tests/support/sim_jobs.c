#include "sim_jobs.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define TICK_NS (100 * CQ_NS_PER_MS)
#define LEASE_NS (5 * CQ_NS_PER_S)
#define RENEW_NS CQ_NS_PER_S
#define MARGIN_NS (500 * CQ_NS_PER_MS)
#define PERMIT_NS (2 * CQ_NS_PER_S)
#define PERMIT_READ_NS CQ_NS_PER_S

struct node {
	struct cq_sim_jobs *jobs;
	int32_t host;
	uint32_t number;
	struct cq_controller *controller;
	char writer[CQ_JOB_NAME_BYTES];
	int64_t epoch; /* as it believes */
	int64_t lease_until_ns;
	int64_t renewed_ns;
	int64_t permit_until_ns;
	int64_t permit_read_ns;
	bool in;
	uint32_t lives;
	bool tick_due; /* a tick is on its way */
};

struct cq_sim_jobs {
	struct cq_sim_jobs_options options;
	struct cq_sim *sim;
	struct cq_sim_store *store;
	struct cq_sim_workers *workers;
	struct node nodes[CQ_SIM_JOBS_MAX_HOSTS];
	int64_t epoch; /* of the last ownership key */
	int32_t owner; /* index of the node, or -1 */
	bool store_down;
	bool in;
	int64_t out_ns;
	int64_t change_ns;
	cq_sim_jobs_tick_fn *on_tick;
	void *on_tick_ctx;
	bool closing;
};

static void tick_world(void *ctx);
static void tick_node(void *ctx);

const struct cq_sim_job cq_sim_gang_of_four = {
	"j1", 4, 8, 20000, true, false
};

void cq_sim_jobs_options_init(struct cq_sim_jobs_options *options)
{
	memset(options, 0, sizeof(*options));
	options->seed = 1;
	options->hosts = 2;
	options->settings_lag_ms = 200;
	cq_sim_workers_options_init(&options->workers);
	cq_controller_options_init(&options->controller);
}

static int64_t node_now(const struct node *node)
{
	return cq_clock_now_ns(cq_sim_host_clock(node->jobs->sim, node->host));
}

static bool may_command(void *ctx, int64_t now_ns)
{
	const struct node *node = ctx;

	return node->epoch && now_ns < node->lease_until_ns - MARGIN_NS;
}

static bool start_permit(void *ctx, int64_t now_ns, int64_t *not_after_unix_ms)
{
	const struct node *node = ctx;
	int64_t until_ns =
		MIN(node->permit_until_ns, node->lease_until_ns - MARGIN_NS);

	if (!may_command(ctx, now_ns) || now_ns >= until_ns)
		return false;
	*not_after_unix_ms = cq_clock_unix_ms(cq_sim_host_clock(node->jobs->sim,
								node->host)) +
			     (until_ns - now_ns) / CQ_NS_PER_MS;
	return true;
}

static void set_intent(struct node *node, bool in)
{
	struct cq_controller_dc dcs[2] = {
		{ CQ_SIM_JOBS_DC, in, 5000 },
		{ CQ_SIM_JOBS_OTHER_DC, true, 5000 },
	};
	struct cq_controller_class class = { "top", 0, true };
	struct cq_controller_intent intent = {
		.dcs = dcs,
		.dc_count = 2,
		.classes = &class,
		.class_count = 1,
	};

	cq_policy_init(&intent.policy);
	node->in = in;
	cq_controller_set_intent(node->controller, &intent, node_now(node));
}

static void set_hosts(struct node *node)
{
	uint32_t count = node->jobs->options.workers.count;
	struct cq_controller_host *hosts =
		g_new0(struct cq_controller_host, count);
	uint32_t i;

	for (i = 0; i < count; i++) {
		hosts[i].name = g_strdup_printf("w%u", i);
		hosts[i].address = g_strdup_printf("worker:%u", i);
		hosts[i].rack = "r0";
	}
	cq_controller_set_hosts(node->controller, hosts, count, node_now(node));
	for (i = 0; i < count; i++) {
		g_free((char *)hosts[i].name);
		g_free((char *)hosts[i].address);
	}
	g_free(hosts);
}

static void start_node(struct node *node)
{
	static const struct cq_controller_ops ops = { may_command,
						      start_permit };
	struct cq_sim_jobs *jobs = node->jobs;
	struct cq_controller_options options = jobs->options.controller;

	node->lives++;
	cq_sim_host_start(jobs->sim, node->host, "schedd", node->lives, NULL,
			  NULL);
	node->epoch = 0;
	node->lease_until_ns = 0;
	node->permit_until_ns = 0;
	node->permit_read_ns = 0;
	g_snprintf(node->writer, sizeof(node->writer), "node%u.%u",
		   node->number, node->lives);
	options.clock = cq_sim_host_clock(jobs->sim, node->host);
	options.data_centre = CQ_SIM_JOBS_DC;
	options.writer = node->writer;
	options.seed = jobs->options.seed + node->number + node->lives;
	node->controller = cq_controller_create(
		&options, &ops, node,
		cq_sim_store_client(jobs->store, node->host),
		cq_sim_workers_client(jobs->workers, node->host),
		node_now(node));
	set_hosts(node);
	set_intent(node, jobs->in);
	if (!node->tick_due)
		cq_sim_host_post(jobs->sim, node->host,
				 cq_sim_host_life(jobs->sim, node->host),
				 tick_node, node, NULL);
}

struct cq_sim_jobs *
cq_sim_jobs_create(const struct cq_sim_jobs_options *options)
{
	struct cq_sim_jobs *jobs = g_new0(struct cq_sim_jobs, 1);
	uint32_t i;

	jobs->options = *options;
	jobs->sim = cq_sim_create(options->seed);
	jobs->store = cq_sim_store_create(jobs->sim);
	jobs->workers = cq_sim_workers_create(jobs->sim, &options->workers);
	jobs->owner = -1;
	jobs->in = true;
	for (i = 0; i < options->hosts; i++) {
		jobs->nodes[i].jobs = jobs;
		jobs->nodes[i].number = i;
		jobs->nodes[i].host = cq_sim_host_add(jobs->sim);
		start_node(&jobs->nodes[i]);
	}
	tick_world(jobs);
	return jobs;
}

struct cq_sim_jobs *cq_sim_jobs_create_sized(uint32_t hosts, uint32_t workers)
{
	struct cq_sim_jobs_options options;

	cq_sim_jobs_options_init(&options);
	options.hosts = hosts;
	options.workers.count = workers;
	return cq_sim_jobs_create(&options);
}

void cq_sim_jobs_check(struct cq_sim_jobs *jobs, int64_t extra_ms)
{
	const struct cq_sim_workers_record *record = cq_sim_jobs_record(jobs);
	int64_t lease_ms = jobs->options.controller.task_lease_ms;

	g_assert_cmpint(record->longest_part_ns, <=,
			(lease_ms + 2 * extra_ms + CQ_SIM_JOBS_STEP_MS) *
				CQ_NS_PER_MS);
	g_assert_cmpuint(record->double_attempts, ==, 0);
	g_assert_cmpuint(record->double_starts, ==, 0);
}

void cq_sim_jobs_destroy(struct cq_sim_jobs *jobs)
{
	uint32_t i;

	jobs->closing = true;
	for (i = 0; i < jobs->options.hosts; i++)
		cq_sim_jobs_kill(jobs, (int32_t)i);
	cq_sim_workers_destroy(jobs->workers);
	cq_sim_store_destroy(jobs->store);
	cq_sim_destroy(jobs->sim);
	g_free(jobs);
}

static bool can_reach_store(const struct node *node)
{
	return !node->jobs->store_down;
}

/* What a schedd does about ownership and settings in a tick. */
static void tick_ownership(struct node *node, int64_t now_ns)
{
	struct cq_sim_jobs *jobs = node->jobs;
	int64_t lag_ns = jobs->options.settings_lag_ms * CQ_NS_PER_MS;

	if (!can_reach_store(node))
		return;
	if (node->epoch && jobs->epoch != node->epoch) {
		node->epoch = 0;
		cq_controller_set_epoch(node->controller, 0, now_ns);
	}
	if (node->epoch && now_ns - node->renewed_ns >= RENEW_NS) {
		node->renewed_ns = now_ns;
		node->lease_until_ns = now_ns + LEASE_NS;
	}
	if (node->epoch && now_ns - node->permit_read_ns >= PERMIT_READ_NS) {
		node->permit_read_ns = now_ns;
		node->permit_until_ns = jobs->in ? now_ns + PERMIT_NS : 0;
	}
	if (node->in != jobs->in && now_ns - jobs->change_ns >= lag_ns)
		set_intent(node, jobs->in);
}

static void post_tick(void *ctx)
{
	struct node *node = ctx;
	struct cq_sim *sim = node->jobs->sim;

	node->tick_due = false;
	if (!node->jobs->closing)
		cq_sim_host_post(sim, node->host,
				 cq_sim_host_life(sim, node->host), tick_node,
				 node, NULL);
}

static void tick_node(void *ctx)
{
	struct node *node = ctx;
	int64_t now_ns = node_now(node);

	/*
	 * The order of a paused process that wakes up: the controller may run
	 * before the ownership learns anything.
	 */
	if (node->jobs->on_tick)
		node->jobs->on_tick(node->jobs->on_tick_ctx, node->host, true);
	cq_controller_tick(node->controller, now_ns);
	if (node->jobs->on_tick)
		node->jobs->on_tick(node->jobs->on_tick_ctx, node->host, false);
	tick_ownership(node, now_ns);
	node->tick_due = true;
	cq_sim_at(node->jobs->sim, cq_sim_now_ns(node->jobs->sim) + TICK_NS,
		  post_tick, node, NULL);
}

static void acquire(struct cq_sim_jobs *jobs, int32_t number)
{
	struct node *node = &jobs->nodes[number];
	int64_t now_ns = node_now(node);

	jobs->owner = number;
	jobs->epoch++;
	node->epoch = jobs->epoch;
	node->renewed_ns = now_ns;
	node->lease_until_ns = now_ns + LEASE_NS;
	node->permit_read_ns = 0;
	node->permit_until_ns = 0;
	cq_controller_set_epoch(node->controller, node->epoch, now_ns);
}

static bool is_available(const struct cq_sim_jobs *jobs, uint32_t i)
{
	return cq_sim_host_is_alive(jobs->sim, jobs->nodes[i].host) &&
	       !cq_sim_host_is_paused(jobs->sim, jobs->nodes[i].host);
}

/* The store's view of the ownership key. */
static void tick_world(void *ctx)
{
	struct cq_sim_jobs *jobs = ctx;
	int64_t now_ns = cq_sim_now_ns(jobs->sim);
	uint32_t i;

	if (jobs->closing)
		return;
	/* Leases do not run while the store is down. */
	if (jobs->store_down && jobs->owner >= 0)
		jobs->nodes[jobs->owner].renewed_ns += TICK_NS;
	if (jobs->owner >= 0 &&
	    now_ns - jobs->nodes[jobs->owner].renewed_ns > LEASE_NS)
		jobs->owner = -1;
	for (i = 0; i < jobs->options.hosts; i++)
		if (jobs->owner < 0 && !jobs->store_down &&
		    is_available(jobs, i))
			acquire(jobs, (int32_t)i);
	cq_sim_at(jobs->sim, now_ns + TICK_NS, tick_world, jobs, NULL);
}

struct cq_sim *cq_sim_jobs_sim(struct cq_sim_jobs *jobs)
{
	return jobs->sim;
}

struct cq_sim_store *cq_sim_jobs_store(struct cq_sim_jobs *jobs)
{
	return jobs->store;
}

struct cq_sim_workers *cq_sim_jobs_workers(struct cq_sim_jobs *jobs)
{
	return jobs->workers;
}

const struct cq_sim_workers_record *cq_sim_jobs_record(struct cq_sim_jobs *jobs)
{
	return cq_sim_workers_record(jobs->workers);
}

void cq_sim_jobs_run_ms(struct cq_sim_jobs *jobs, int64_t ms)
{
	cq_sim_run_until(jobs->sim,
			 cq_sim_now_ns(jobs->sim) + ms * CQ_NS_PER_MS);
}

bool cq_sim_jobs_read(struct cq_sim_jobs *jobs, const char *data_centre,
		      const char *id, struct cq_job_record *record)
{
	char key[CQ_JOB_KEY_BYTES];
	const char *text;

	cq_job_key(data_centre, id, key);
	text = cq_sim_store_read(jobs->store, key, NULL);
	return text && cq_job_record_parse(text, strlen(text), record, NULL);
}

bool cq_sim_jobs_wait(struct cq_sim_jobs *jobs, const char *id,
		      enum cq_job_phase phase, int64_t limit_ms)
{
	struct cq_job_record record;
	int64_t waited_ms;

	for (waited_ms = 0; waited_ms <= limit_ms; waited_ms += 20) {
		if (cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, id, &record) &&
		    record.phase == phase)
			return true;
		cq_sim_jobs_run_ms(jobs, 20);
	}
	return false;
}

static void write_record(struct cq_sim_jobs *jobs,
			 const struct cq_job_record *record, int64_t revision)
{
	char key[CQ_JOB_KEY_BYTES];
	char *text = cq_job_record_format(record);

	cq_job_key(CQ_SIM_JOBS_DC, record->id, key);
	cq_sim_store_write(jobs->store, key, text, revision);
	free(text);
}

void cq_sim_jobs_submit(struct cq_sim_jobs *jobs, const struct cq_sim_job *job)
{
	struct cq_job_record record;

	cq_job_record_init(&record);
	g_strlcpy(record.id, job->id, sizeof(record.id));
	g_strlcpy(record.workspace, "ws", sizeof(record.workspace));
	g_strlcpy(record.class_name, "top", sizeof(record.class_name));
	if (job->pinned)
		g_strlcpy(record.data_centre, CQ_SIM_JOBS_DC,
			  sizeof(record.data_centre));
	record.tasks = job->tasks;
	record.adjacency = CQ_ADJACENT_DC;
	record.accelerators = job->accelerators;
	record.cpu_millicores = 1000;
	record.memory_bytes = UINT64_C(1) << 30;
	record.expected_ms = job->expected_ms;
	record.can_checkpoint = job->can_checkpoint;
	record.submitted_unix_ms = cq_clock_unix_ms(cq_sim_clock(jobs->sim));
	write_record(jobs, &record, 0);
}

void cq_sim_jobs_cancel(struct cq_sim_jobs *jobs, const char *id)
{
	struct cq_job_record record;

	if (!cq_sim_jobs_read(jobs, CQ_SIM_JOBS_DC, id, &record) ||
	    cq_job_phase_is_terminal(record.phase))
		return;
	record.cancel = true;
	g_strlcpy(record.writer, "caller", sizeof(record.writer));
	record.sequence++;
	write_record(jobs, &record, CQ_STORE_ANY_REVISION);
}

int32_t cq_sim_jobs_owner(const struct cq_sim_jobs *jobs)
{
	return jobs->owner;
}

struct cq_controller *cq_sim_jobs_controller(struct cq_sim_jobs *jobs,
					     int32_t host)
{
	return jobs->nodes[host].controller;
}

void cq_sim_jobs_kill(struct cq_sim_jobs *jobs, int32_t host)
{
	struct node *node = &jobs->nodes[host];

	if (!node->controller)
		return;
	cq_sim_host_kill(jobs->sim, node->host);
	cq_controller_destroy(node->controller);
	node->controller = NULL;
	node->epoch = 0;
}

void cq_sim_jobs_restart(struct cq_sim_jobs *jobs, int32_t host)
{
	if (!jobs->nodes[host].controller)
		start_node(&jobs->nodes[host]);
}

void cq_sim_jobs_pause(struct cq_sim_jobs *jobs, int32_t host)
{
	if (jobs->nodes[host].controller)
		cq_sim_host_pause(jobs->sim, jobs->nodes[host].host);
}

void cq_sim_jobs_resume(struct cq_sim_jobs *jobs, int32_t host)
{
	if (jobs->nodes[host].controller)
		cq_sim_host_resume(jobs->sim, jobs->nodes[host].host);
}

void cq_sim_jobs_on_tick(struct cq_sim_jobs *jobs, cq_sim_jobs_tick_fn *fn,
			 void *ctx)
{
	jobs->on_tick = fn;
	jobs->on_tick_ctx = ctx;
}

void cq_sim_jobs_fence(struct cq_sim_jobs *jobs)
{
	int32_t next = jobs->owner;
	uint32_t i;

	for (i = 0; i < jobs->options.hosts; i++)
		if ((int32_t)i != jobs->owner && is_available(jobs, i))
			next = (int32_t)i;
	if (next >= 0 && is_available(jobs, (uint32_t)next))
		acquire(jobs, next);
}

void cq_sim_jobs_store_down(struct cq_sim_jobs *jobs, bool down)
{
	struct cq_sim_store_faults faults = cq_sim_store_faults(jobs->store);

	jobs->store_down = down;
	faults.down = down;
	cq_sim_store_set_faults(jobs->store, &faults);
}

void cq_sim_jobs_store_loses(struct cq_sim_jobs *jobs, uint32_t permille)
{
	struct cq_sim_store_faults faults = cq_sim_store_faults(jobs->store);

	faults.lost_answer_permille = permille;
	cq_sim_store_set_faults(jobs->store, &faults);
}

void cq_sim_jobs_set_in(struct cq_sim_jobs *jobs, bool in)
{
	jobs->in = in;
	jobs->change_ns = cq_sim_now_ns(jobs->sim);
	if (!in)
		jobs->out_ns = jobs->change_ns;
}

int64_t cq_sim_jobs_out_ns(const struct cq_sim_jobs *jobs)
{
	return jobs->out_ns;
}
