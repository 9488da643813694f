/*
 * Run times of ended jobs by workspace and class, in a form that is kept in
 * the store under history/<data centre> so that a new owner has them.
 *
 * Histories merge by the union of their ends, of which the newest are kept.
 * Merging twice, or in another order, gives the same, so that a write whose
 * answer was lost needs no further care.
 */
#ifndef CHESTNUTQUAY_RUN_HISTORY_H
#define CHESTNUTQUAY_RUN_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "chestnutquay/error.h"

#define CQ_RUN_HISTORY_PREFIX "history/"
/* Ends kept per workspace and class. */
#define CQ_RUN_HISTORY_MAX_RUNS 16
/* Bound on the text; the store takes 1 MB. */
#define CQ_RUN_HISTORY_MAX_BYTES (768U << 10)

struct cq_ended_run {
	int64_t ended_unix_ms;
	int64_t declared_ms; /* -1: not declared */
	int64_t run_ms;
};

struct cq_run_history;

/* Called for each end that was not held before. */
typedef void cq_run_history_fn(void *ctx, const char *workspace,
			       const char *class_name,
			       const struct cq_ended_run *end);

struct cq_run_history *cq_run_history_create(void);
void cq_run_history_destroy(struct cq_run_history *history);
/* False if the end is held already or older than all that are kept. */
bool cq_run_history_add(struct cq_run_history *history, const char *workspace,
			const char *class_name, const struct cq_ended_run *end);
/*
 * Adds what the text holds. Nothing is added if it is not valid. added may be
 * NULL. writer and sequence, if given, receive those of the text; the writer
 * is freed with g_free().
 */
bool cq_run_history_merge(struct cq_run_history *history, const char *json,
			  size_t len, cq_run_history_fn *added, void *ctx,
			  char **writer, uint64_t *sequence,
			  struct cq_error *err);
/*
 * At most max_bytes long; those workspaces and classes whose last end is
 * oldest are left out first. Freed with g_free().
 */
char *cq_run_history_format(const struct cq_run_history *history,
			    const char *writer, uint64_t sequence,
			    size_t max_bytes);
uint32_t cq_run_history_count(const struct cq_run_history *history);

#endif
