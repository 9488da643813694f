/*
 * The claim of this entry host on its index, in the store under
 * hosts/DC/INDEX, and the decision whether the host may use the index now.
 *
 * A starting host overwrites an older claim. As long as messages arrive from
 * other hosts of the data centre, the claim need not be read again. While none
 * arrive, it is read from the store: an unchanged claim proves that no later
 * host has taken the index.
 */
#ifndef CQ_PROGRAMS_ENTRYD_INDEX_CLAIM_H
#define CQ_PROGRAMS_ENTRYD_INDEX_CLAIM_H

#include "programs/common/cluster.h"

#define ENTRYD_CLAIM_PREFIX "hosts/"

struct entryd_index_claim;

struct entryd_index_claim *
entryd_index_claim_create(struct cq_cluster *cluster);
void entryd_index_claim_destroy(struct entryd_index_claim *claim);
/* Must be called immediately before each use of the index. */
bool entryd_index_claim_holds(const struct entryd_index_claim *claim,
			      int64_t now_ns);

#endif
