/* State shared by the store and its clients. */
#ifndef TESTS_SUPPORT_SIM_STORE_PRIVATE_H
#define TESTS_SUPPORT_SIM_STORE_PRIVATE_H

#include <glib.h>

#include "sim_store.h"

enum operation {
	GET,
	LIST,
	PUT,
	REMOVE,
	GRANT,
	KEEPALIVE,
	REVOKE,
	WATCH,
};

struct item {
	char *key;
	char *value;
	int64_t revision;
	int64_t lease_id;
};

struct lease {
	struct cq_sim_store *store;
	int64_t id;
	int64_t ttl_ns;
	int64_t expiry_ns;
	struct cq_sim_event *event;
};

struct client {
	struct cq_sim_store *store;
	int32_t host;
	struct cq_store iface;
	uint64_t sent;
	uint64_t calls;
	uint64_t bytes;
};

/* Reference counted: the caller's handle, the request, the answer, events. */
struct cq_store_call {
	struct client *client;
	uint32_t life;
	enum operation operation;
	char *key;
	char *value;
	int64_t revision;
	int64_t lease_id;
	int64_t ttl_ns;
	int64_t wait_until_ns;
	cq_store_done_fn *done; /* NULL: completed or cancelled */
	void *ctx;
	bool arrived; /* an answer is kept below */
	enum cq_store_status status;
	int64_t result_revision;
	int64_t result_lease;
	GPtrArray *entries; /* of struct item */
	struct cq_sim_event *timeout;
};

struct cq_sim_store {
	struct cq_sim *sim;
	struct cq_sim_store_faults faults;
	struct cq_sim_store_stats stats;
	int64_t revision;
	int64_t next_lease;
	GHashTable *items;  /* key -> struct item */
	GPtrArray *history; /* of struct item */
	GHashTable *leases; /* &id -> struct lease */
	GPtrArray *watches; /* of struct cq_store_call */
	struct client *clients[CQ_SIM_MAX_HOSTS];
	cq_sim_store_changed_fn *changed;
	void *changed_ctx;
};

const struct cq_store_ops *cq_sim_store_client_ops(void);
void cq_sim_store_unref(void *ctx);
/* Time of one way between a client and the store. */
int64_t cq_sim_store_delay(struct cq_sim_store *store);
/* The request reaches the store, or does not. */
void cq_sim_store_arrive(void *ctx);
/* Calls the caller back, once. */
void cq_sim_store_complete(struct cq_store_call *call,
			   enum cq_store_status status);

#endif
