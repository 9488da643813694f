/*
 * The platform's store in memory, behind the product's store interface, with
 * leases, watches, transactions and faults. Calls complete in a later turn of
 * the loop.
 */
#ifndef CQ_TESTS_MEM_STORE_H
#define CQ_TESTS_MEM_STORE_H

#include <ev.h>

#include "chestnutquay/store.h"

struct mem_store;

enum mem_store_fault {
	MEM_STORE_FINE,
	MEM_STORE_REFUSE, /* answers UNAVAILABLE; nothing is done */
	MEM_STORE_LOSE,	  /* done, but the answer is UNKNOWN */
	MEM_STORE_VANISH, /* not done, and the answer is UNKNOWN */
	MEM_STORE_LATE,	  /* answers UNKNOWN, done by mem_store_run_late() */
	MEM_STORE_AHEAD,  /* done; the answer's revision is a later one */
};

struct mem_store *mem_store_create(struct ev_loop *loop);
void mem_store_destroy(struct mem_store *s);
const struct cq_store *mem_store_get(struct mem_store *s);

/* Answers leave this long after the call; 0 at first. */
void mem_store_delay(struct mem_store *s, double delay_s);
/* The next count changes (transactions, puts, removes) meet the fault. */
void mem_store_fail_changes(struct mem_store *s, enum mem_store_fault fault,
			    int count);
/* All calls meet the fault until it is FINE again. */
void mem_store_fail_all(struct mem_store *s, enum mem_store_fault fault);
/* Executes the changes kept by LATE, if their conditions still hold. */
void mem_store_run_late(struct mem_store *s);

/* As the operators and workers write; value NULL deletes. */
void mem_store_write(struct mem_store *s, const char *key, const char *value);
/* NULL if there is no such key. */
const char *mem_store_read(const struct mem_store *s, const char *key);
int64_t mem_store_revision(const struct mem_store *s);
/* Ends the lease and removes its keys. */
void mem_store_expire(struct mem_store *s, int64_t lease_id);
/* Ends leases that were not renewed within their time. */
void mem_store_expire_due(struct mem_store *s);
/* The lease of a key; 0: none. */
int64_t mem_store_lease_of(const struct mem_store *s, const char *key);
/* Drops the history and cuts all watches. */
void mem_store_compact(struct mem_store *s);
/* Changes executed, and calls in all. */
uint32_t mem_store_changes(const struct mem_store *s);
uint32_t mem_store_calls(const struct mem_store *s);

#endif
