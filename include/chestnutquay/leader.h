/*
 * Election of the one host that dispatches, through the store.
 *
 * The key <prefix>holder exists under the leader's store lease. The key
 * <prefix>../head, kept for good, holds the epoch: the fence of all orders.
 * Both change in one transaction, so an epoch has at most one leader. A leader
 * may order until its deadline, which counts from the moment when the last
 * answered renewal was sent.
 */
#ifndef CHESTNUTQUAY_LEADER_H
#define CHESTNUTQUAY_LEADER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

struct cq_leader;

struct cq_leader_ops {
	/* head_revision is that of the head key, for the journal. */
	void (*elected)(void *ctx, int64_t epoch, int64_t head_revision);
	void (*deposed)(void *ctx);
};

struct cq_leader_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	/* Stays the same when the process starts again on its host. */
	const char *identity;
	const char *holder_prefix; /* of the holder key */
	const char *head_key;
	uint32_t lease_ms;
	uint32_t call_timeout_ms;
	uint32_t watch_wait_ms;
	/* Before it stands, so that hosts that can carry more are first. */
	uint32_t campaign_delay_ms;
};

struct cq_leader *cq_leader_create(const struct cq_leader_options *options,
				   const struct cq_store *store,
				   const struct cq_leader_ops *ops, void *ctx);
void cq_leader_destroy(struct cq_leader *l);
/* Asked before every order. */
bool cq_leader_may_command(const struct cq_leader *l);
/* End of the time for orders; 0 unless it leads. */
int64_t cq_leader_deadline_ns(const struct cq_leader *l);
bool cq_leader_leads(const struct cq_leader *l);
/* The journal found that a later epoch has begun. */
void cq_leader_superseded(struct cq_leader *l);
/* Planned stop: gives the lease back and does not stand again. */
void cq_leader_resign(struct cq_leader *l);

/* Value of the head key; the journal writes it with every transaction. */
char *cq_leader_format_head(int64_t epoch, uint64_t sequence);
bool cq_leader_parse_head(const char *text, int64_t *epoch, uint64_t *sequence);

#endif
