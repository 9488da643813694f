/*
 * One operator's change of a subtree: compare-and-swap in the store, with a
 * lost answer resolved by reading back.
 *
 * The caller has checked the change with cq_settings_check(). The stored
 * document names the writer and a sequence number, by which the writer
 * recognises its own write; the sequence must differ between the changes of one
 * process, and the writer id between processes.
 */
#ifndef CHESTNUTQUAY_SETTINGS_WRITE_H
#define CHESTNUTQUAY_SETTINGS_WRITE_H

#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

struct cq_settings_write;

enum cq_settings_write_outcome {
	CQ_SETTINGS_WRITTEN,	 /* in the store under the revision */
	CQ_SETTINGS_CONFLICT,	 /* not written; the revision is current */
	CQ_SETTINGS_NOT_WRITTEN, /* the store did not execute it */
	/*
	 * The store did not answer in time, or somebody else wrote after an
	 * attempt whose answer was lost.
	 */
	CQ_SETTINGS_WRITE_UNKNOWN,
};

const char *
cq_settings_write_outcome_string(enum cq_settings_write_outcome outcome);

/* The write is destroyed after the call. */
typedef void cq_settings_write_done_fn(void *ctx,
				       enum cq_settings_write_outcome outcome,
				       int64_t revision);

struct cq_settings_write_request {
	const char *key;  /* without the prefix */
	const char *json; /* NULL: removal */
	const char *writer;
	uint64_t sequence;
	int64_t revision; /* expected; 0: no such subtree */
	int64_t deadline_ns;
};

/*
 * Starts a change; the request is copied. NULL if json is not JSON. Ends with
 * one completion, not inside this call, unless it is cancelled.
 */
struct cq_settings_write *
cq_settings_write_start(const struct cq_settings_write_request *request,
			const struct cq_store *store,
			const struct cq_clock *clock, uint64_t seed,
			cq_settings_write_done_fn *done, void *ctx);
/* May complete, and so destroy, the write. */
void cq_settings_write_tick(struct cq_settings_write *write, int64_t now_ns);
/* Destroys the write without a completion; the store may still execute it. */
void cq_settings_write_cancel(struct cq_settings_write *write);

#endif
