/*
 * Job calls over HTTP against a store in memory whose calls can fail, for
 * GLib test fixtures.
 */
#ifndef CQ_JOB_CALLS_WORLD_H
#define CQ_JOB_CALLS_WORLD_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>

#include "chestnutquay/http_client.h"
#include "programs/common/job_calls.h"

/* Longest wait for a condition; a test that needs it has failed. */
#define GIVE_UP_S 10.0
#define JOB                                                          \
	"{\"workspace\":\"w\",\"class\":\"top\",\"accelerators\":8," \
	"\"cpu_millicores\":1000,\"memory_bytes\":1000"

/* What happens to the calls of a kind. */
enum job_calls_fault {
	CALLS_WELL,
	CALLS_DOWN, /* refused */
	CALLS_LOST, /* executed, without an answer */
	CALLS_HANG, /* neither executed nor answered */
};

struct job_calls_value {
	char *text;
	int64_t revision;
};

struct job_calls_world {
	struct ev_loop *loop;
	struct cq_operator_http *server;
	struct cq_http_client *client;
	struct cq_settings *settings;
	struct cq_membership *membership;
	struct cq_job_calls *calls;
	struct cq_store store;
	GHashTable *values; /* key -> struct job_calls_value */
	GPtrArray *pending;
	int64_t revision;
	enum job_calls_fault puts, gets;
	uint32_t bad_puts; /* this many have the fault, then all go well */
	uint32_t put_count;
	char *local; /* answer of an owner in this process */
	ev_timer tick;
	uint32_t done;
	uint32_t status;
	char *run;
	char *retry_after;
	json_t *body;
};

void job_calls_setup(struct job_calls_world *f, gconstpointer data);
void job_calls_teardown(struct job_calls_world *f, gconstpointer data);
/* Puts a value into the store. */
void job_calls_store_value(struct job_calls_world *f, const char *key,
			   const char *text);
/* Sends a call to path below /v1/jobs; key, timeout_ms and body may be NULL. */
void job_calls_send(struct job_calls_world *f, const char *method,
		    const char *path, const char *key, const char *timeout_ms,
		    const char *body);
/* Waits for that many answers; the last one is in the world. */
void job_calls_wait(struct job_calls_world *f, uint32_t done);
/* Sends a call and waits for its answer. */
void job_calls_call(struct job_calls_world *f, const char *method,
		    const char *path, const char *key, const char *timeout_ms,
		    const char *body);
/* A string of the last answer; "" if absent. */
const char *job_calls_text(const struct job_calls_world *f, const char *name);
/* Timer callback that fails the test. */
void job_calls_give_up(struct ev_loop *loop, ev_timer *timer, int events);

#endif
