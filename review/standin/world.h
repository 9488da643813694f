/*
 * A small deployment on loopback for the cases of this review: the platform's
 * store, minions and clients, as PROTOCOL.md describes them, and the processes
 * of cq-hostd. Everything but cq-hostd runs in one thread around one event
 * loop. A case is a linear program: world_sleep() and world_call() run the loop
 * until a time has passed or an answer has come.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Exit codes of a case. */
enum { CASE_HELD = 0, CASE_BROKEN = 1, CASE_NOT_RUN = 2 };

#define MAX_HOSTS 8
#define MAX_MINIONS 64
/* Bounds and sizes of the site garba-milan, from SYSTEM.md. */
#define HOLD_MAX_MS 10000
#define STOP_TIMEOUT_MS 400
#define CANCEL_MS 3000
#define CONTACT_MS 3000
#define FINISH_MS 14000
#define MEMORY_MB 260
#define MINION_CPU 128000
#define MINION_MEM_MB 524288
#define MINION_GPUS 8
#define VALUE_BYTES 1048576
/* Ends that one answer of a minion lists. */
#define ENDS_PER_ANSWER 500

/* ---- http.c ---- */
struct conn;

struct request {
	struct conn *conn;
	char *method, *path, *body;
	GHashTable *query, *headers; /* names of headers in lower case */
};

struct server {
	int fd;
	ev_io io;
	void (*handler)(void *ctx, struct request *r);
	void *ctx;
	char address[32];
	/* Requests are held back, and connections stay silent. */
	bool cut;
	GPtrArray *held;
	GPtrArray *conns;
};

struct server *server_listen(const char *ip,
			     void (*handler)(void *, struct request *),
			     void *ctx);
/* Answers with the object, which it releases, and releases the request. */
void request_reply(struct request *r, int status, json_t *body);
/* Resets the connection without an answer and releases the request. */
void request_reset(struct request *r);
/* Whether the caller has closed its connection. */
bool request_gone(const struct request *r);
void request_free(struct request *r);
const char *request_query(const struct request *r, const char *name);
const char *request_header(const struct request *r, const char *name);
/* Cuts the server off, or heals the cut and handles what was held back. */
void server_cut(struct server *s, bool cut);
/* Resets all open connections of the server. */
void server_reset_conns(struct server *s);
/* Calls an address; returns the status, or 0 for no answer in time. */
int http_call(const char *address, const char *method, const char *path,
	      const char *headers, const char *body, int timeout_ms,
	      char **answer);

/* ---- store.c ---- */
struct store_door {
	int host; /* the host that uses this address of the store */
	struct server *server;
};

/*
 * Called for each call of a host before it is executed; true: the hook has
 * dealt with the request.
 */
extern bool (*store_hook)(struct store_door *door, struct request *r);

void store_open(void);
/* Opens an address of the store for one host; returns the address. */
const char *store_door_open(int host);
struct store_door *store_door(int host);
/* Executes a call; the answer goes to the caller unless reset is set. */
void store_execute(struct request *r, bool reset);
void store_write(const char *key, json_t *value);
/* The decoded value of a key; NULL: there is none. */
char *store_read(const char *key);
/* Number of transactions that were refused since a value was too large. */
extern int store_too_large;

/* ---- minion.c ---- */
struct minion;

struct run {
	char task[64];
	int run;
	int64_t started_ms, ends_ms;
	bool stopping;
	char *spec;
};

struct end {
	int64_t number;
	char task[64];
	int run;
	const char *how;
};

struct minion {
	char id[32];
	int index;
	struct server *server;
	char rack[16];
	int64_t born_ms, boot_ms;
	int64_t fence, hold_end_ms, last_number;
	GPtrArray *runs, *ends, *waiting;
	GHashTable *barred; /* task -> highest run that was ended or stopped */
	int64_t seq;
};

extern struct minion *minions[MAX_MINIONS];
extern int minion_count;
/* Called for each start that a minion has begun, and for each end. */
extern void (*on_start)(struct minion *m, const struct run *run);
extern void (*on_end)(struct minion *m, const struct end *end);
/* Called when a minion is told that its ends up to a number are noted. */
extern void (*on_noted)(struct minion *m, const struct end *end);

/* Adds minions of the size of the site, six a rack. */
void minions_add(int count);
void minion_register(struct minion *m);
struct run *minion_find(const struct minion *m, const char *task);
int running_total(void);

/* ---- hosts.c ---- */
extern pid_t host_pid[MAX_HOSTS];
extern int host_count;
/* Ends of a process that the case didn't order; of them, over memoryMb. */
extern int host_exits[MAX_HOSTS];
extern int host_over_memory[MAX_HOSTS];

void hosts_open(int count);
void host_start(int host);
void host_signal(int host, int signo);
const char *host_front(int host);
bool host_ready(int host);
/* The host that holds the leader's key; -1: none. */
int host_leader(void);

/* ---- world.c ---- */
extern struct ev_loop *loop;
extern bool trouble; /* false: without the disruption */

int64_t now_ms(void);
int64_t unix_ms(void);
/* Writes a line to record.txt and to standard output. */
void note(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Writes a line to record.txt only. */
void note_quiet(const char *format, ...) G_GNUC_PRINTF(1, 2);
void world_sleep(int ms);
/* Runs the loop until the condition holds; false: it did not in time. */
bool world_wait(int ms, bool (*condition)(void *ctx), void *ctx);
/*
 * Opens the store with a configuration of one queue "q" (service "s", prefix
 * /q/, host q.example), and starts the hosts. The minions are added before.
 */
void world_open(int hosts, int max_attempts);
/* A call of a client to a host; "answer" may be NULL. */
int client(int host, const char *method, const char *id, const char *body,
	   int timeout_ms, char **answer);
/* The state of the job, from a GET; freed by the caller. */
char *job_state(int host, const char *id);
/* Ends all processes and exits. */
G_GNUC_NORETURN void world_finish(int code);
/* The case could not run. */
G_GNUC_NORETURN void world_abort(const char *why);

#endif
