/*
 * Writes an operator's change of a settings subtree to the store with
 * compare-and-swap. When the store's answer is lost, the subtree is read back
 * to find out whether the write took effect.
 *
 * The caller has validated the change with cq_settings_check(). The stored
 * document contains the writer id and a sequence number, by which the writer
 * recognises its own write. The sequence number must be unique among the
 * changes of a process, and the writer id among processes.
 */
#ifndef CHESTNUTQUAY_SETTINGS_WRITE_H
#define CHESTNUTQUAY_SETTINGS_WRITE_H

#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/store.h"

struct cq_settings_write;

enum cq_settings_write_outcome {
	/* Stored under the revision passed to the callback. */
	CQ_SETTINGS_WRITTEN,
	/*
	 * Not written; the revision passed to the callback is the current one.
	 */
	CQ_SETTINGS_CONFLICT,
	CQ_SETTINGS_NOT_WRITTEN, /* the store did not execute the write */
	/*
	 * Unknown whether the write took effect: the store did not answer in
	 * time, or another writer changed the subtree after an attempt whose
	 * answer was lost.
	 */
	CQ_SETTINGS_WRITE_UNKNOWN,
};

const char *
cq_settings_write_outcome_string(enum cq_settings_write_outcome outcome);

/*
 * Called once when the write has ended; the write object is destroyed and must
 * not be used any more.
 */
typedef void cq_settings_write_done_fn(void *ctx,
				       enum cq_settings_write_outcome outcome,
				       int64_t revision);

struct cq_settings_write_request {
	const char *key;  /* key of the subtree without CQ_SETTINGS_PREFIX */
	const char *json; /* new settings; NULL removes the subtree */
	const char *writer;
	uint64_t sequence;
	/* Expected current revision; 0: the subtree does not exist. */
	int64_t revision;
	int64_t deadline_ns;
};

/*
 * Starts a write; the request is copied. Returns NULL if the json field is not
 * valid JSON. Unless it is cancelled, the write ends with exactly one call of
 * done, which is never made from within this function.
 */
struct cq_settings_write *
cq_settings_write_start(const struct cq_settings_write_request *request,
			const struct cq_store *store,
			const struct cq_clock *clock, uint64_t seed,
			cq_settings_write_done_fn *done, void *ctx);
/*
 * Drives retries and the deadline. May complete the write, which destroys it.
 */
void cq_settings_write_tick(struct cq_settings_write *write, int64_t now_ns);
/* Destroys the write without calling done; the store may still execute it. */
void cq_settings_write_cancel(struct cq_settings_write *write);

#endif
