/*
 * What a daemon knows of the others: membership, the settings tree kept up to
 * date, and the store reached directly or through peers. Connects the state
 * machines to the daemon's peer network, store, host list, tick, readiness
 * and counters.
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
 * Never fails. The daemon is not ready before the settings are in force.
 * Peers are found through --seeds and the entry hosts of the host list, whose
 * address is that of cq-entryd's peer listener.
 */
struct cq_cluster *cq_cluster_create(struct cq_daemon *daemon,
				     enum cq_member_role role);
/* Tells peers that this process stops. To be called before the daemon ends. */
void cq_cluster_destroy(struct cq_cluster *cluster);

struct cq_daemon *cq_cluster_daemon(struct cq_cluster *cluster);
struct cq_membership *cq_cluster_membership(struct cq_cluster *cluster);
const struct cq_settings *cq_cluster_settings(const struct cq_cluster *cluster);
struct cq_settings_sync *cq_cluster_settings_sync(struct cq_cluster *cluster);
/* Goes to the store directly or, when that fails, through a peer. */
const struct cq_store *cq_cluster_store(struct cq_cluster *cluster);
/* Whether store calls currently go to the store directly. */
bool cq_cluster_store_direct(const struct cq_cluster *cluster);

/* A subtree came into force; fault is NULL unless it is not valid. */
typedef void cq_cluster_settings_fn(void *ctx, const char *key,
				    int64_t revision, const char *fault);
void cq_cluster_on_settings(struct cq_cluster *cluster,
			    cq_cluster_settings_fn *fn, void *ctx);

/* See the changed call of struct cq_membership_ops. */
typedef void cq_cluster_member_fn(void *ctx, const struct cq_member *member,
				  int32_t before);
void cq_cluster_on_member(struct cq_cluster *cluster, cq_cluster_member_fn *fn,
			  void *ctx);

/* A membership message of a known member arrived. */
typedef void cq_cluster_contact_fn(void *ctx, const struct cq_member *member,
				   int64_t now_ns);
void cq_cluster_on_contact(struct cq_cluster *cluster,
			   cq_cluster_contact_fn *fn, void *ctx);

/*
 * Nanoseconds since this process learned that a live member holds newer
 * settings than it does; 0 if it does not know of any.
 */
int64_t cq_cluster_settings_behind_ns(const struct cq_cluster *cluster,
				      int64_t now_ns);

#endif
