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

/* Job calls of callers and operators. */
struct entryd_jobs;

struct entryd_jobs *entryd_jobs_create(struct cq_cluster *cluster);
void entryd_jobs_destroy(struct entryd_jobs *jobs);
struct cq_job_calls *entryd_jobs_calls(struct entryd_jobs *jobs);

/* Callers' requests. */
struct entryd_requests;
struct entryd_sources;

extern const struct cq_setting entryd_requests_settings[];
extern const int32_t entryd_requests_setting_count;

/*
 * Serves callers; their job calls go to job_calls. Sources and job calls
 * outlive the object.
 * NULL and err on a bad setting or an address in use.
 */
struct entryd_requests *entryd_requests_create(struct cq_daemon *daemon,
					       struct entryd_sources *sources,
					       struct cq_job_calls *job_calls,
					       struct cq_error *err);
void entryd_requests_destroy(struct entryd_requests *requests);

/*
 * What the router knows of entry hosts, workspaces and classes: membership,
 * settings and the claim on this host's index. The context of both tables is
 * the object.
 */
struct entryd_sources;

extern const struct cq_router_members_ops entryd_members_ops;
extern const struct cq_router_policy_ops entryd_policy_ops;

struct entryd_sources *entryd_sources_create(struct cq_cluster *cluster);
void entryd_sources_destroy(struct entryd_sources *sources);

#endif
