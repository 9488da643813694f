/*
 * A daemon's view of the deployment: the membership, the replicated settings
 * tree, and access to the store, directly or relayed by a peer. Connects these
 * state machines to the daemon's peer network, store, host list, tick,
 * readiness and metrics.
 */
#ifndef CQ_PROGRAMS_CLUSTER_H
#define CQ_PROGRAMS_CLUSTER_H

#include "chestnutquay/membership.h"
#include "chestnutquay/settings.h"
#include "chestnutquay/settings_sync.h"
#include "chestnutquay/store.h"
#include "programs/common/daemon.h"

struct cq_cluster;

/*
 * Never fails. The daemon is not ready until the settings are in force. Peers
 * are discovered through --seeds and the entry hosts of the host list, whose
 * address is that of cq-entryd's peer listener.
 */
struct cq_cluster *cq_cluster_create(struct cq_daemon *daemon,
				     enum cq_member_role role);
/* Must be called before the daemon is destroyed. */
void cq_cluster_destroy(struct cq_cluster *cluster);

struct cq_daemon *cq_cluster_daemon(struct cq_cluster *cluster);
struct cq_membership *cq_cluster_membership(struct cq_cluster *cluster);
const struct cq_settings *cq_cluster_settings(const struct cq_cluster *cluster);
struct cq_settings_sync *cq_cluster_settings_sync(struct cq_cluster *cluster);
/* A store whose calls go directly or, if that fails, through a peer. */
const struct cq_store *cq_cluster_store(struct cq_cluster *cluster);
/* Whether store calls currently go to the store directly. */
bool cq_cluster_store_direct(const struct cq_cluster *cluster);

/* Called when a settings subtree changed; fault is NULL if it is valid. */
typedef void cq_cluster_settings_fn(void *ctx, const char *key,
				    int64_t revision, const char *fault);
void cq_cluster_on_settings(struct cq_cluster *cluster,
			    cq_cluster_settings_fn *fn, void *ctx);

/* Called with the arguments of cq_membership_ops.changed. */
typedef void cq_cluster_member_fn(void *ctx, const struct cq_member *member,
				  int32_t before);
void cq_cluster_on_member(struct cq_cluster *cluster, cq_cluster_member_fn *fn,
			  void *ctx);

/* Called when a membership message of a known member has arrived. */
typedef void cq_cluster_contact_fn(void *ctx, const struct cq_member *member,
				   int64_t now_ns);
void cq_cluster_on_contact(struct cq_cluster *cluster,
			   cq_cluster_contact_fn *fn, void *ctx);

/*
 * Time since this process learned that a live member has newer settings; 0 if
 * no such member is known.
 */
int64_t cq_cluster_settings_behind_ns(const struct cq_cluster *cluster,
				      int64_t now_ns);

#endif
