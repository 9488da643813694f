/*
 * Outcome table: remembers the outcomes of non-idempotent requests that carry
 * an idempotency key, so that a repeated request does not run twice. Each key
 * has one home: the entry host (data centre and index) that keeps its outcome.
 *
 * An idempotency key contains the time at which it was created. The table
 * answers only for keys created within the acceptance window and after the
 * table started. For any other key it cannot know whether an earlier process
 * with this index ran the request, and it returns a verdict that says so. An
 * entry is kept longer than its key would be accepted, so a key is never
 * treated as new twice.
 *
 * States of an entry: pending (queued, or running on an endpoint), done (the
 * answer, or a refusal with run "unknown", is kept), refused (the caller was
 * told that the request did not run). A repeat of a refused key may run. A
 * delayed copy that an entry host accepted before the refusal must not run,
 * because the caller was already told "no". Each copy carries the time at which
 * it was accepted and is dropped at its deadline, so a refused entry needs to
 * be kept only that long.
 */
#ifndef CHESTNUTQUAY_OUTCOMES_H
#define CHESTNUTQUAY_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/peer_outcomes.h"
#include "chestnutquay/request.h"

/* Keys created longer ago than this are refused as expired. */
#define CQ_OUTCOMES_KEY_WINDOW_MS INT64_C(600000)
/* A key's creation time may be this far ahead of the home's clock. */
#define CQ_OUTCOMES_MAX_KEY_AHEAD_MS INT64_C(2000)
/* Largest tolerated difference between the clocks of two entry hosts. */
#define CQ_OUTCOMES_MAX_CLOCK_SKEW_MS INT64_C(1000)
/*
 * A process that was paused for longer than this may have lost its index to
 * another process meanwhile, so the table then acts as if it had just started.
 */
#define CQ_OUTCOMES_MAX_PAUSE_MS INT64_C(2000)

struct cq_outcomes;
struct cq_outcome; /* entry of one key */

struct cq_outcomes_options {
	uint32_t max_entries;
	uint64_t max_body_bytes;   /* total of all kept answers */
	uint32_t max_answer_bytes; /* a longer answer is not kept */
	/* Longest time a delayed copy may live: how long refusals are kept. */
	int64_t refused_keep_ms;
};

enum cq_outcomes_verdict {
	CQ_OUTCOMES_NEW,     /* not seen before; the caller has to run it */
	CQ_OUTCOMES_PENDING, /* an earlier request of the key has not ended */
	CQ_OUTCOMES_DONE,    /* cq_outcome_answer() returns the outcome */
	CQ_OUTCOMES_REFUSED, /* copy from before the refusal; must not run */
	CQ_OUTCOMES_REUSED,  /* the key was used for a different request */
	CQ_OUTCOMES_EXPIRED, /* the key was created before the window */
	CQ_OUTCOMES_TOO_OLD, /* the key was created before the table started */
	CQ_OUTCOMES_FUTURE,  /* the key's creation time is in the future */
	CQ_OUTCOMES_FULL,    /* max_entries is reached */
};

const char *cq_outcomes_verdict_string(enum cq_outcomes_verdict verdict);

struct cq_outcomes *
cq_outcomes_create(const struct cq_outcomes_options *options,
		   int64_t start_unix_ms);
void cq_outcomes_destroy(struct cq_outcomes *outcomes);

/*
 * Looks up the key of a request, or adds it as pending (NEW). *outcome is the
 * entry for NEW, PENDING and DONE. accepted_unix_ms is the time at which the
 * first entry host accepted this copy of the request.
 */
enum cq_outcomes_verdict cq_outcomes_begin(struct cq_outcomes *outcomes,
					   const struct cq_request *request,
					   int64_t accepted_unix_ms,
					   int64_t unix_ms,
					   struct cq_outcome **outcome);
/*
 * Gets the answer of a done entry. The answer points into the table and is
 * valid until the next call that changes the table.
 */
void cq_outcome_answer(const struct cq_outcome *outcome,
		       struct cq_answer *answer);
/* Marks an entry as done: the request ran, or may have run. */
void cq_outcomes_done(struct cq_outcomes *outcomes, struct cq_outcome *outcome,
		      const struct cq_answer *answer);
/*
 * Marks an entry as refused: the request provably did not run, and its caller
 * is told so.
 */
void cq_outcomes_refused(struct cq_outcomes *outcomes,
			 struct cq_outcome *outcome, int64_t unix_ms);
/* Removes an entry whose request did not run and got no answer. */
void cq_outcomes_remove(struct cq_outcomes *outcomes,
			struct cq_outcome *outcome);

/* Pointer to the caller's own state of a pending entry. */
void cq_outcome_set_user_data(struct cq_outcome *outcome, void *user);
void *cq_outcome_user_data(const struct cq_outcome *outcome);

/*
 * Removes expired entries. Must be called at least once per second, because a
 * longer gap counts as a pause (CQ_OUTCOMES_MAX_PAUSE_MS).
 */
void cq_outcomes_tick(struct cq_outcomes *outcomes, int64_t unix_ms);
uint32_t cq_outcomes_count(const struct cq_outcomes *outcomes);
uint64_t cq_outcomes_body_bytes(const struct cq_outcomes *outcomes);

/*
 * Hand-over to the outcome table of another process. Only done entries are
 * handed over. A key that the receiving table does not have, and that was
 * created before that table started, gets CQ_OUTCOMES_TOO_OLD there.
 */

/*
 * Fills kept with the next batch of done entries that were not handed over
 * yet, newest first, and returns their number. They point into the table and
 * are valid until the next call that changes it. The batch has at least one
 * entry if any is left, even if that entry exceeds max_bytes.
 */
uint32_t cq_outcomes_next_batch(struct cq_outcomes *outcomes,
				struct cq_kept_outcome *kept, uint32_t max,
				size_t max_bytes);
/* Marks the entries of the last batch as handed over. */
void cq_outcomes_batch_handed_over(struct cq_outcomes *outcomes);
/* Marks all entries as not handed over, because the receiver was lost. */
void cq_outcomes_reset_hand_over(struct cq_outcomes *outcomes);
/* Number of done entries that were not handed over. */
uint32_t cq_outcomes_not_handed_over_count(const struct cq_outcomes *outcomes);
/* Number of entries whose request has not ended. */
uint32_t cq_outcomes_pending_count(const struct cq_outcomes *outcomes);
/*
 * Adds an outcome from another table unless the key is already present. Returns
 * false if the table is full.
 */
bool cq_outcomes_import(struct cq_outcomes *outcomes,
			const struct cq_kept_outcome *kept, int64_t unix_ms);

/* A data centre and the planned number of its entry hosts. */
struct cq_data_centre {
	const char *name;
	uint32_t index_count;
};

/* The entry host that keeps the outcome of a key. */
struct cq_key_home {
	const char *data_centre; /* points to a name of the given list */
	uint32_t index;
};

/*
 * Determines the home of a key by rendezvous hashing over all data centres and
 * indices, whether their hosts are live or not, so that every entry host sends
 * a repeated request to the same home. The home of a key that ends in "@NAME"
 * is in that data centre. Returns false if no data centre has this name.
 */
bool cq_outcomes_find_home(const char *workspace, const char *key,
			   const struct cq_data_centre *centres, uint32_t count,
			   struct cq_key_home *home);

#endif
