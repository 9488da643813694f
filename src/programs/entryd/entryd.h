/*
 * Parts of cq-entryd. Each part has a create function that adds its routes,
 * ticks and drain hooks to the daemon, and a destroy function.
 */
#ifndef CQ_PROGRAMS_ENTRYD_H
#define CQ_PROGRAMS_ENTRYD_H

#include "chestnutquay/router.h"
#include "programs/common/cluster.h"
#include "programs/common/daemon.h"
#include "programs/common/job_calls.h"

/* Serves the job API to callers and operators. */
struct entryd_jobs;

struct entryd_jobs *entryd_jobs_create(struct cq_cluster *cluster);
void entryd_jobs_destroy(struct entryd_jobs *jobs);
struct cq_job_calls *entryd_jobs_calls(struct entryd_jobs *jobs);

/* Serves the requests of callers. */
struct entryd_requests;
struct entryd_sources;

extern const struct cq_setting entryd_requests_settings[];
extern const int32_t entryd_requests_setting_count;

/*
 * Starts to serve callers; passes their job API calls to job_calls. sources and
 * job_calls must outlive the returned object. Returns NULL and sets err if a
 * setting is invalid or the address is in use.
 */
struct entryd_requests *entryd_requests_create(struct cq_daemon *daemon,
					       struct entryd_sources *sources,
					       struct cq_job_calls *job_calls,
					       struct cq_error *err);
void entryd_requests_destroy(struct entryd_requests *requests);

/*
 * Answers the router's questions on entry hosts, workspaces and classes from
 * the membership, the settings and the claim on this host's index. The object
 * is the context of both function tables.
 */
struct entryd_sources;

extern const struct cq_router_members_ops entryd_members_ops;
extern const struct cq_router_policy_ops entryd_policy_ops;

struct entryd_sources *entryd_sources_create(struct cq_cluster *cluster);
void entryd_sources_destroy(struct entryd_sources *sources);

#endif
