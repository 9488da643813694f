/*
 * Implements the store interface in memory, with leases, watches, transactions
 * and fault injection. Calls complete in a later iteration of the event loop.
 */
#ifndef CQ_TESTS_MEM_STORE_H
#define CQ_TESTS_MEM_STORE_H

#include <ev.h>

#include "chestnutquay/store.h"

struct mem_store;

enum mem_store_fault {
	MEM_STORE_NO_FAULT,
	MEM_STORE_REFUSE,	  /* not executed; the answer is UNAVAILABLE */
	MEM_STORE_DROP_ANSWER,	  /* executed, but the answer is UNKNOWN */
	MEM_STORE_DROP_CHANGE,	  /* not executed; the answer is UNKNOWN */
	MEM_STORE_DELAY_CHANGE,	  /* the answer is UNKNOWN; see
				     mem_store_run_delayed() */
	MEM_STORE_REVISION_AHEAD, /* executed; the answer has a later revision
				   */
};

struct mem_store *mem_store_create(struct ev_loop *loop);
void mem_store_destroy(struct mem_store *s);
const struct cq_store *mem_store_get(struct mem_store *s);

/* Sets the delay between a call and its answer; 0 at first. */
void mem_store_set_delay(struct mem_store *s, double delay_s);
/* Injects the fault into the next count puts and transactions. */
void mem_store_fail_changes(struct mem_store *s, enum mem_store_fault fault,
			    int count);
/*
 * From now on, changes that write a longer value are refused with
 * CQ_STORE_INVALID, and are not counted by mem_store_changes(). 0: no limit.
 */
void mem_store_set_max_value(struct mem_store *s, size_t bytes);
/* Number of changes that were refused because of a value's length. */
uint32_t mem_store_refused_changes(const struct mem_store *s);
/*
 * Injects the fault into all calls, until it is set to MEM_STORE_NO_FAULT
 * again.
 */
void mem_store_fail_all(struct mem_store *s, enum mem_store_fault fault);
/*
 * Executes the changes that MEM_STORE_DELAY_CHANGE delayed, if their checks
 * still hold.
 */
void mem_store_run_delayed(struct mem_store *s);

/*
 * Writes a key without faults, as operators and workers do; NULL deletes it.
 */
void mem_store_write(struct mem_store *s, const char *key, const char *value);
/* The value of a key; NULL if it does not exist. */
const char *mem_store_read(const struct mem_store *s, const char *key);
/* The latest revision. */
int64_t mem_store_revision(const struct mem_store *s);
/* Expires the lease and deletes its keys. */
void mem_store_expire(struct mem_store *s, int64_t lease_id);
/* Expires leases that were not renewed within their time to live. */
void mem_store_expire_due(struct mem_store *s);
/* The lease id of a key; 0 if it has none. */
int64_t mem_store_lease_of(const struct mem_store *s, const char *key);
/*
 * While it is set, watches hear nothing and end without an answer after their
 * wait; all other calls are answered.
 */
void mem_store_set_deaf_watches(struct mem_store *s, bool deaf);
/* Drops the history and ends all watches with CQ_STORE_COMPACTED. */
void mem_store_compact(struct mem_store *s);
/* Number of lists received. */
uint32_t mem_store_lists(const struct mem_store *s);
/* Number of transactions and puts executed, and of all calls received. */
uint32_t mem_store_changes(const struct mem_store *s);
uint32_t mem_store_calls(const struct mem_store *s);

#endif
