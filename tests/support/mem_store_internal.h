/* What the files of the store in memory share. */
#ifndef CQ_TESTS_MEM_STORE_INTERNAL_H
#define CQ_TESTS_MEM_STORE_INTERNAL_H

#include <glib.h>

#include "mem_store.h"

struct item {
	char *value;
	int64_t revision;
	int64_t lease_id;
};

struct event {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
};

struct mem_call {
	struct mem_store *store;
	ev_timer timer;
	cq_store_done_fn *done;
	void *ctx;
	struct cq_store_result result;
	GArray *entries; /* struct cq_store_entry, strings owned */
	/* A watch that waits. */
	char *prefix;
	int64_t after;
};

/* A change kept for later. */
struct late_change {
	GArray *checks, *puts; /* strings owned */
	GPtrArray *deletes;
};

struct lease {
	double ttl_s;
	double end_s;
};

struct mem_store {
	struct cq_store store;
	struct ev_loop *loop;
	GTree *items;	    /* key -> struct item */
	GPtrArray *history; /* struct event */
	GPtrArray *calls;   /* struct mem_call, open */
	GPtrArray *late;    /* struct late_change */
	int64_t revision;
	int64_t compacted; /* history up to here is gone */
	int64_t next_lease;
	GHashTable *leases; /* id -> struct lease */
	enum mem_store_fault change_fault, fault;
	int fault_count;
	double delay_s;
	uint32_t change_count, call_count;
};

bool mem_store_checks_hold(const struct mem_store *s,
			   const struct cq_store_txn *txn);
void mem_store_execute(struct mem_store *s, const struct cq_store_txn *txn);

/* mem_store_late.c */
void mem_store_keep_late(struct mem_store *s, const struct cq_store_txn *txn);
void mem_store_late_free(void *data);

#endif
