/*
 * The claim of this entry host on its index, in the store under
 * hosts/DC/INDEX, and the decision whether the index may be used now.
 *
 * A starting host writes its claim over an older one. While no other host of
 * the data centre answers, the claim is read instead: an unchanged claim shows
 * that no later host has taken the index.
 */
#ifndef CQ_PROGRAMS_ENTRYD_INDEX_CLAIM_H
#define CQ_PROGRAMS_ENTRYD_INDEX_CLAIM_H

#include "programs/common/cluster.h"

#define ENTRYD_CLAIM_PREFIX "hosts/"

struct entryd_index_claim;

struct entryd_index_claim *
entryd_index_claim_create(struct cq_cluster *cluster);
void entryd_index_claim_destroy(struct entryd_index_claim *claim);
/* To be asked immediately before each use of the index. */
bool entryd_index_claim_holds(const struct entryd_index_claim *claim,
			      int64_t now_ns);

#endif
