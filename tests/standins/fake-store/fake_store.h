/* Internal interface of the simulated store. */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include <ev.h>
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/http_server.h"

struct entry {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
	int64_t lease_id;
};

struct lease {
	int64_t id;
	uint32_t ttl_ms;
	int64_t deadline_ns;
};

/* Watch call that waits for a change after a revision. */
struct watch {
	struct fake_store *store;
	struct cq_http_exchange *exchange;
	char *prefix;
	int64_t after;
	ev_timer timer;
};

/* Answer that is sent once the injected delay has passed. */
struct delayed {
	struct fake_store *store;
	struct cq_http_exchange *exchange;
	uint32_t status;
	char *json;
	ev_timer timer;
};

struct fake_store {
	struct ev_loop *loop;
	struct cq_http_server *server;
	GHashTable *entries; /* key -> struct entry */
	GHashTable *leases;  /* id -> struct lease */
	GPtrArray *watches;
	GPtrArray *unanswered; /* exchanges that get no answer */
	GPtrArray *delayed;
	int64_t revision;
	int64_t next_lease;
	bool down;
	bool is_silent;
	int64_t delay_ms;
	int64_t lose_answers; /* number of next writes to leave unanswered */
	int64_t host_list_lag_ms;
	char *hosts;
	char *pending_hosts; /* replaces hosts at pending_hosts_visible_ns */
	int64_t pending_hosts_visible_ns;
	uint64_t reads, writes, watch_calls;
	ev_timer tick;
};

int64_t fake_store_now_ns(void);

/* control.c: /v1/faults, /v1/hosts and /v1/stats. */
void fake_store_faults(struct fake_store *store,
		       struct cq_http_exchange *exchange);
void fake_store_hosts(struct fake_store *store,
		      struct cq_http_exchange *exchange, const char *method);
void fake_store_stats(struct fake_store *store,
		      struct cq_http_exchange *exchange);

#endif
