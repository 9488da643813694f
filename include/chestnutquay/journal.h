/*
 * Write-ahead journal of the leader: a sequence of store transactions, one at a
 * time, each conditional on the revision that the previous one gave the head
 * key.
 *
 * Every transaction writes the epoch and its sequence number to the head key.
 * This makes retries idempotent: a transaction that got no answer is sent again
 * until it is known to have been executed, a copy that is executed late changes
 * nothing, and no transaction succeeds after a later epoch has begun.
 *
 * A transaction that the store refuses as invalid is halved until the refused
 * record is found, so that one record never holds up the others.
 */
#ifndef CHESTNUTQUAY_JOURNAL_H
#define CHESTNUTQUAY_JOURNAL_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

/* Records per transaction; with the head key at most 32 entries. */
#define CQ_JOURNAL_MAX_RECORDS 30

struct cq_journal_record {
	char *key;   /* freed by the journal */
	char *value; /* freed by the journal; NULL: the key is deleted */
};

struct cq_journal_ops {
	/* Fills in the records to be written next; returns their number. */
	uint32_t (*collect)(void *ctx, struct cq_journal_record *records,
			    uint32_t max);
	/*
	 * Of the records collected last, count from index first on are in the
	 * store.
	 */
	void (*committed)(void *ctx, uint32_t first, uint32_t count);
	/*
	 * The store refuses the record at this index for good, for example
	 * because it is too large. It is not written; the others are.
	 */
	void (*refused)(void *ctx, uint32_t index, const char *error);
	/* A later epoch has begun; the journal writes nothing more. */
	void (*superseded)(void *ctx);
};

struct cq_journal_options {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const char *head_key;
	int64_t epoch;
	int64_t head_revision;	  /* of the head key, after the election */
	uint32_t call_timeout_ms; /* upper limit for one store call */
};

struct cq_journal;

struct cq_journal *cq_journal_create(const struct cq_journal_options *options,
				     const struct cq_store *store,
				     const struct cq_journal_ops *ops,
				     void *ctx);
void cq_journal_destroy(struct cq_journal *j);
/*
 * Tells the journal that there are records to write. It collects them shortly
 * afterwards, so that changes close together share a transaction.
 */
void cq_journal_wake(struct cq_journal *j);

#endif
