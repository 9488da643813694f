/* Declarations shared by the files of the in-memory store. */
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
	GArray *entries; /* struct cq_store_entry; owns the strings */
	/* Set for an open watch only. */
	char *prefix;
	int64_t after_revision; /* of the last event already seen */
	uint64_t max_bytes;	/* 0: no limit */
};

/* A copy of a transaction whose execution is delayed. */
struct delayed_change {
	GArray *checks, *puts; /* own their strings */
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
	GPtrArray *calls;   /* struct mem_call, of open calls */
	GPtrArray *delayed; /* struct delayed_change */
	int64_t revision;
	int64_t compacted; /* revision up to which history is dropped */
	int64_t next_lease;
	GHashTable *leases; /* id -> struct lease */
	enum mem_store_fault change_fault, fault;
	int fault_count;
	double delay_s;
	bool deaf_watches;
	size_t max_value_bytes; /* 0: no limit */
	uint32_t refused_count;
	uint32_t change_count, list_count, call_count;
};

/* Whether all checks of the transaction match the current revisions. */
bool mem_store_checks_hold(const struct mem_store *s,
			   const struct cq_store_txn *txn);
void mem_store_execute(struct mem_store *s, const struct cq_store_txn *txn);

/* mem_store_late.c */
void mem_store_add_delayed(struct mem_store *s, const struct cq_store_txn *txn);
void mem_store_delayed_free(void *data);

#endif
