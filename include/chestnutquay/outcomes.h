/*
 * Memory of the outcomes of keyed non-idempotent requests, kept by the home
 * host of the key.
 *
 * A key names its own minting time. The memory answers for keys minted within
 * the window and after it started; for any other key it cannot know whether an
 * earlier holder of the home ran it, and says so. Entries outlive every time
 * at which their key would still be accepted, so a key is never taken for new
 * twice.
 *
 * States of an entry: pending (queued, or running on an endpoint), done (the
 * answer or a refusal with run "unknown" is kept), refused (its caller was told
 * that it did not run). A repeat of a refused key may run, but a copy that an
 * entry host accepted before the refusal and that arrives late must not: the
 * caller already relies on "no". Copies carry the time of their acceptance;
 * they die at their own deadline, so a refused entry is kept that long only.
 */
#ifndef CHESTNUTQUAY_OUTCOMES_H
#define CHESTNUTQUAY_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/peer_outcomes.h"
#include "chestnutquay/request.h"

#define CQ_OUTCOMES_WINDOW_MS INT64_C(600000)
/* Keys may be this far in the future of the home's clock. */
#define CQ_OUTCOMES_MAX_KEY_AHEAD_MS INT64_C(2000)
/* Largest difference between the clocks of two entry hosts. */
#define CQ_OUTCOMES_MAX_CLOCK_SKEW_MS INT64_C(1000)
/*
 * A process that did not tick for this long may have been replaced meanwhile;
 * it answers as if it had started when it woke up.
 */
#define CQ_OUTCOMES_MAX_PAUSE_MS INT64_C(2000)

struct cq_outcomes;
struct cq_outcome;

struct cq_outcomes_options {
	uint32_t max_entries;
	uint64_t max_body_bytes;   /* of all kept answers */
	uint32_t max_answer_bytes; /* a longer answer is not kept */
	int64_t refused_ms;	   /* longest life of a late copy */
};

enum cq_outcomes_verdict {
	CQ_OUTCOMES_NEW,     /* the caller of this function runs it */
	CQ_OUTCOMES_PENDING, /* an earlier request of the key is under way */
	CQ_OUTCOMES_DONE,    /* cq_outcome_answer() has the outcome */
	CQ_OUTCOMES_REFUSED, /* a copy older than the refusal: "no" holds */
	CQ_OUTCOMES_REUSED,  /* the key belongs to a different request */
	CQ_OUTCOMES_EXPIRED, /* minted before the window */
	CQ_OUTCOMES_TOO_OLD, /* minted before this memory started */
	CQ_OUTCOMES_FUTURE,  /* minted in the future: invalid */
	CQ_OUTCOMES_FULL,    /* no room for another key */
};

const char *cq_outcomes_verdict_string(enum cq_outcomes_verdict verdict);

struct cq_outcomes *
cq_outcomes_create(const struct cq_outcomes_options *options,
		   int64_t start_unix_ms);
void cq_outcomes_destroy(struct cq_outcomes *outcomes);

/*
 * Looks up the key of a request, or adds it as pending (NEW). *outcome is set
 * for NEW, PENDING and DONE. accepted_unix_ms is when the first entry host took
 * this copy of the request.
 */
enum cq_outcomes_verdict cq_outcomes_begin(struct cq_outcomes *outcomes,
					   const struct cq_request *request,
					   int64_t accepted_unix_ms,
					   int64_t unix_ms,
					   struct cq_outcome **outcome);
/* The answer of a done entry; valid until the next call on the memory. */
void cq_outcome_answer(const struct cq_outcome *outcome,
		       struct cq_answer *answer);
/* The request ran, or may have run. */
void cq_outcomes_done(struct cq_outcomes *outcomes, struct cq_outcome *outcome,
		      const struct cq_answer *answer);
/* The request provably did not run, and its caller is told so. */
void cq_outcomes_refused(struct cq_outcomes *outcomes,
			 struct cq_outcome *outcome, int64_t unix_ms);
/* The request did not run and nobody was told anything; the entry is gone. */
void cq_outcomes_forget(struct cq_outcomes *outcomes,
			struct cq_outcome *outcome);

/* One pointer for the user's state of a pending entry. */
void cq_outcome_set_user(struct cq_outcome *outcome, void *user);
void *cq_outcome_user(const struct cq_outcome *outcome);

/* Drops expired entries; call it at least every second. */
void cq_outcomes_tick(struct cq_outcomes *outcomes, int64_t unix_ms);
uint32_t cq_outcomes_count(const struct cq_outcomes *outcomes);
uint64_t cq_outcomes_body_bytes(const struct cq_outcomes *outcomes);

/*
 * Hand-over to another memory. Only done entries are handed over: whoever does
 * not find a key there answers as for a key that is older than the memory.
 */

/*
 * Collects done entries that were not handed over yet, the newest first, and
 * returns their number. They point into the memory until the next call on it.
 * At least one is collected if there is any, whatever max_bytes.
 */
uint32_t cq_outcomes_collect(struct cq_outcomes *outcomes,
			     struct cq_kept_outcome *kept, uint32_t max,
			     size_t max_bytes);
/* The entries that were collected last are handed over. */
void cq_outcomes_collected(struct cq_outcomes *outcomes);
/* None is handed over any more: the receiver is lost. */
void cq_outcomes_collect_again(struct cq_outcomes *outcomes);
/* Done entries that are not handed over. */
uint32_t cq_outcomes_not_handed_over(const struct cq_outcomes *outcomes);
/* Entries whose request is under way. */
uint32_t cq_outcomes_pending(const struct cq_outcomes *outcomes);
/*
 * Adds an outcome from another memory unless the key is known here. Returns
 * false if there is no room.
 */
bool cq_outcomes_adopt(struct cq_outcomes *outcomes,
		       const struct cq_kept_outcome *kept, int64_t unix_ms);

/* A data centre and its planned entry hosts. */
struct cq_data_centre {
	const char *name;
	uint32_t index_count;
};

struct cq_home {
	const char *data_centre; /* one of the given names */
	uint32_t index;
};

/*
 * Home of a key: rendezvous hashing over all data centres and indices, whether
 * live or not, so that a repeat finds the same home from anywhere. A key that
 * ends in "@NAME" has its home in that data centre. Returns false if there is
 * no data centre of this name.
 */
bool cq_outcomes_home(const char *workspace, const char *key,
		      const struct cq_data_centre *centres, uint32_t count,
		      struct cq_home *home);

#endif
