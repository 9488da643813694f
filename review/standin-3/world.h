/*
 * The world of a case: a store, minions and clients as PROTOCOL.md describes
 * them, in one process and on loopback, around processes of cq-hostd. A store
 * and minions do at once what a call asks for, unless a case says otherwise.
 */
#ifndef REVIEW_STANDIN_3_WORLD_H
#define REVIEW_STANDIN_3_WORLD_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <sys/types.h>

#include "chestnutquay/http_client.h"
#include "chestnutquay/http_server.h"

#define MAX_HOSTS 4
#define MAX_MINIONS 16
#define HOLD_MAX_MS 10000
#define STOP_MS 200
#define SERVICE "fitting"
#define HOST_NAME "jobs.example"
#define KEY "key-of-the-first-tenant"

struct world;

/* A call that is answered later; the client may leave before. */
struct open_call {
	struct world *world;
	struct cq_http_exchange *exchange; /* NULL: the client has left */
	ev_timer timer;
	struct minion *minion; /* of a waiting hold */
	char *prefix;	       /* of a waiting watch */
	int64_t after;
	json_t *late_txn; /* carried out when the timer fires, not answered */
};

struct run {
	char *task;
	int64_t number;
	char *spec;
	int64_t began_ms; /* on the minion's clock */
	int64_t lasts_ms; /* 0: until it is stopped */
	int64_t stop_at_ms;
};

struct minion {
	struct world *world;
	int index;
	char id[32];
	struct cq_http_server *server;
	uint16_t port;
	int64_t started_ms; /* of its life, in the world's time */
	int64_t born_ms;
	int64_t fence;
	int64_t deadline_ms;
	int64_t seq;
	int64_t next_beat_ms;
	GPtrArray *runs;  /* struct run */
	json_t *finished; /* rows of ends */
	int64_t ends;
	GHashTable *last_ended; /* task -> highest run stopped or ended */
	GPtrArray *waiting;	/* struct open_call */
	int cpu, gpus, memory_mb;
	const char *kind;
	/* Until then it answers starts with 503, and has done nothing. */
	int64_t sick_until_ms;
};

struct host {
	pid_t pid;
	uint16_t front, ready, control;
	char *settings;
	char *log;
};

struct world {
	struct ev_loop *loop;
	const char *folder; /* of temporary files */
	FILE *record;
	int64_t start_ms;
	ev_timer tick;
	struct cq_http_client *client;
	/* The store */
	struct cq_http_server *store;
	uint16_t store_port;
	GTree *items;	    /* key -> json object of the item */
	GPtrArray *events;  /* json objects */
	GHashTable *leases; /* id -> ends at, in ms */
	GHashTable *lease_ttls;
	int64_t revision, last_lease;
	GPtrArray *watches; /* struct open_call */
	/*
	 * A transaction that creates a job's record is not answered, and is
	 * carried out so much later; 0: it is answered.
	 */
	int late_ms;
	int minion_count;
	struct minion minions[MAX_MINIONS];
	int host_count;
	struct host hosts[MAX_HOSTS];
	/* Starts of tasks that a case looks at; called for each. */
	void (*started)(struct minion *m, const struct run *run);
	bool broken, failed;
};

/* Milliseconds since the world began */
int64_t world_now(const struct world *w);
void world_note(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
struct world *world_create(const char *folder, FILE *record);
void world_destroy(struct world *w);
void respond(struct cq_http_exchange *exchange, uint32_t status, json_t *body);
struct open_call *call_open(struct world *w, struct cq_http_exchange *exchange);
void call_close(struct open_call *call);
json_t *read_body(struct cq_http_exchange *exchange);
struct cq_http_server *listen_at(struct world *w,
				 const struct cq_http_server_handler *handler,
				 void *ctx, uint16_t *port);

/* store.c */
void store_open(struct world *w);
void store_tick(struct world *w);
void store_close(struct world *w);
/* What the operator or a minion writes; NULL deletes the key. */
void store_write(struct world *w, const char *key, const char *text);

/* minion.c */
void minion_open(struct world *w, int cpu, int memory_mb, int gpus);
void minion_tick(struct minion *m);
void minion_close(struct minion *m);
/* Whether a run of the task's job, ID, or of the task, is at work. */
int minion_runs_of(const struct minion *m, const char *id);

/* host.c */
void host_start(struct world *w, const char *program);
void hosts_stop(struct world *w);

/* client.c: a call of a client to a host; done gets the status, 0 for none. */
typedef void answer_fn(struct world *w, const char *id, int status,
		       const char *body);
struct cq_http_call *client_call(struct world *w, int host, const char *method,
				 const char *prefix, const char *id,
				 const char *body, answer_fn *done);

#endif
