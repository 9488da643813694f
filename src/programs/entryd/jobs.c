/* Connects the job API to the daemon's routes, peers and hooks. */
#include <glib.h>

#include "programs/common/job_calls.h"
#include "programs/entryd/entryd.h"

struct entryd_jobs {
	struct cq_daemon *daemon;
	struct cq_job_calls *calls;
};

static bool send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len);
static void on_call(void *ctx, struct cq_operator_exchange *exchange);
static void on_fleet_call(void *ctx, struct cq_operator_exchange *exchange);
static void on_abort(void *ctx, struct cq_operator_exchange *exchange);
static void on_answer(void *ctx, const struct cq_peer_message *message);
static void on_tick(void *ctx, int64_t now_ns);
static bool is_drained(void *ctx);
static void on_stop(void *ctx);

static bool send_message(void *ctx, const char *address, enum cq_peer_kind kind,
			 uint64_t correlation, const uint8_t *payload,
			 size_t len)
{
	struct entryd_jobs *jobs = ctx;

	return cq_peer_net_send(cq_daemon_peers(jobs->daemon), address, kind,
				correlation, payload, len);
}

static void on_call(void *ctx, struct cq_operator_exchange *exchange)
{
	struct entryd_jobs *jobs = ctx;

	cq_job_calls_handle(jobs->calls, exchange);
}

static void on_fleet_call(void *ctx, struct cq_operator_exchange *exchange)
{
	struct entryd_jobs *jobs = ctx;

	cq_job_calls_handle_fleet(jobs->calls, exchange);
}

static void on_abort(void *ctx, struct cq_operator_exchange *exchange)
{
	struct entryd_jobs *jobs = ctx;

	cq_job_calls_aborted(jobs->calls, exchange);
}

static void on_answer(void *ctx, const struct cq_peer_message *message)
{
	struct entryd_jobs *jobs = ctx;

	cq_job_calls_receive(jobs->calls, message);
}

static void on_tick(void *ctx, int64_t now_ns)
{
	struct entryd_jobs *jobs = ctx;

	cq_job_calls_tick(jobs->calls, now_ns);
}

static bool is_drained(void *ctx)
{
	struct entryd_jobs *jobs = ctx;

	return !cq_job_calls_open_count(jobs->calls);
}

static void on_stop(void *ctx)
{
	struct entryd_jobs *jobs = ctx;

	cq_job_calls_stop(jobs->calls);
}

struct entryd_jobs *entryd_jobs_create(struct cq_cluster *cluster)
{
	static const struct cq_job_calls_ops ops = { .send = send_message };
	static const char *const methods[] = { "GET", "POST", "DELETE" };
	struct cq_daemon *daemon = cq_cluster_daemon(cluster);
	struct entryd_jobs *jobs = g_new0(struct entryd_jobs, 1);
	struct cq_job_calls_options options;
	size_t i;

	jobs->daemon = daemon;
	cq_job_calls_options_init(&options);
	options.clock = cq_daemon_clock(daemon);
	options.writer = cq_daemon_id(daemon);
	options.incarnation = cq_daemon_incarnation(daemon);
	jobs->calls = cq_job_calls_create(&options, &ops, jobs,
					  cq_cluster_store(cluster),
					  cq_cluster_settings(cluster),
					  cq_cluster_membership(cluster));
	for (i = 0; i < G_N_ELEMENTS(methods); i++)
		cq_daemon_add_route(daemon, methods[i], "/v1/jobs", on_call,
				    jobs);
	cq_daemon_add_route(daemon, "GET", "/v1/workers", on_fleet_call, jobs);
	cq_daemon_add_route(daemon, "GET", "/v1/workspaces", on_fleet_call,
			    jobs);
	cq_daemon_add_abort(daemon, on_abort, jobs);
	cq_daemon_on_peer(daemon, CQ_PEER_JOB_ANSWER, on_answer, jobs);
	cq_daemon_add_tick(daemon, on_tick, jobs);
	cq_daemon_add_drain(daemon, is_drained, jobs);
	cq_daemon_add_stop(daemon, on_stop, jobs);
	return jobs;
}

void entryd_jobs_destroy(struct entryd_jobs *jobs)
{
	if (!jobs)
		return;
	cq_job_calls_destroy(jobs->calls);
	g_free(jobs);
}

struct cq_job_calls *entryd_jobs_calls(struct entryd_jobs *jobs)
{
	return jobs->calls;
}
