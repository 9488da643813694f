/*
 * Write-ahead journal of the leader: one transaction of the store after the
 * other, each conditional on the head key as the previous one left it.
 *
 * The head key holds the epoch and a sequence number, so a transaction that
 * got no answer is repeated until it is known to have been executed once, one
 * that is executed late changes nothing, and nothing is written any more after
 * a later epoch has begun.
 */
#ifndef CHESTNUTQUAY_JOURNAL_H
#define CHESTNUTQUAY_JOURNAL_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

/* Records in one transaction; with the head key at most 32 entries. */
#define CQ_JOURNAL_MAX_RECORDS 30

struct cq_journal_record {
	char *key;   /* freed by the journal */
	char *value; /* freed by the journal; NULL: the key is deleted */
};

struct cq_journal_ops {
	/* Fills in what is to be written next; returns the number. */
	uint32_t (*collect)(void *ctx, struct cq_journal_record *records,
			    uint32_t max);
	/* What was collected last is in the store. */
	void (*committed)(void *ctx);
	/* A later epoch has begun; the journal has stopped. */
	void (*superseded)(void *ctx);
};

struct cq_journal_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const char *head_key;
	int64_t epoch;
	int64_t head_revision;	  /* left by the election */
	uint32_t call_timeout_ms; /* the longest */
};

struct cq_journal;

struct cq_journal *cq_journal_create(const struct cq_journal_options *options,
				     const struct cq_store *store,
				     const struct cq_journal_ops *ops,
				     void *ctx);
void cq_journal_destroy(struct cq_journal *j);
/* Something is to be written; collects at the end of the loop's turn. */
void cq_journal_wake(struct cq_journal *j);

#endif
