#ifndef CQ_SCHEDD_H
#define CQ_SCHEDD_H

#include <glib.h>

#include "chestnutquay/controller.h"
#include "chestnutquay/membership.h"
#include "chestnutquay/ownership.h"
#include "programs/common/capacity.h"
#include "programs/common/cluster.h"
#include "programs/common/daemon.h"
#include "programs/common/job_calls.h"
#include "programs/common/operator_calls.h"

/* A worker of any data centre, from the host list. */
struct schedd_host {
	char *id;
	char *address;
	char *data_centre;
	char *rack;
};

struct schedd {
	struct cq_daemon *daemon;
	/* cluster.c */
	struct cq_cluster *cluster;
	struct cq_operator_calls *operator_calls;
	struct cq_capacity_reader *capacity;
	struct cq_membership *membership;   /* owned by the cluster */
	const struct cq_settings *settings; /* owned by the cluster */
	struct cq_ownership *ownership;
	int64_t last_owner_seen_ns; /* last time a live owner was known */
	bool handing_over;
	/* jobs.c */
	struct cq_worker_http *workers;
	struct cq_controller *controller;
	struct cq_job_calls *job_calls;
	/* hosts.c */
	GArray *hosts; /* elements: struct schedd_host */
	bool fetching_hosts;
	int64_t next_host_fetch_ns;
	bool intent_changed;
	struct cq_capacity_publisher *publisher;
};

/* cluster.c: membership, settings, store relay, ownership, planned stop. */
void schedd_cluster_open(struct schedd *s);
void schedd_cluster_close(struct schedd *s);

/* jobs.c: the controller, the job API and queries from peers. */
/* Checks the consistency of the settings; prints an error to stderr. */
bool schedd_jobs_check(const struct schedd *s);
void schedd_jobs_open(struct schedd *s);
void schedd_jobs_close(struct schedd *s);
void schedd_jobs_owner_changed(struct schedd *s);

/* hosts.c: the host list. */
void schedd_hosts_open(struct schedd *s);
void schedd_hosts_close(struct schedd *s);

/* intent.c: passes settings and hosts to the controller. */
void schedd_intent_apply(struct schedd *s, int64_t now_ns);

/* status.c: GET /v1/schedd. */
void schedd_status_open(struct schedd *s);

int64_t schedd_now_ns(const struct schedd *s);

#endif
