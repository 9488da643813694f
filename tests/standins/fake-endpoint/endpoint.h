/*
 * Simulated endpoint: a small HTTP/1.1 server with fault injection on its
 * connections, which an HTTP server library does not allow.
 */
#ifndef CQ_FAKE_ENDPOINT_H
#define CQ_FAKE_ENDPOINT_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct endpoint_faults {
	int64_t service_ms;
	int64_t jitter_ms; /* upper bound of a random addition to service_ms */
	bool leaving;	   /* answers 503 with Endpoint-State: leaving */
	bool never_answer; /* runs requests but sends no answer */
	bool fail_fast;	   /* answers 500 without delay */
	int64_t close_mid_answer; /* number of next answers to truncate */
	/* number of next answers to send with the id of another request */
	int64_t cross_answers;
	bool down; /* refuses connections */
};

struct endpoint {
	struct ev_loop *loop;
	char ip[16];
	uint16_t port;
	uint32_t slots;
	struct endpoint_faults faults;
	int listen_fd;
	ev_io listen_watcher;
	GPtrArray *connections;
	GPtrArray *running; /* requests in progress, also of closed connections
			     */
	GHashTable *executed; /* request id -> count */
	GHashTable *bodies;   /* "TARGET BODY" of a request -> count */
	char *last_id; /* id of the last finished request, for cross_answers */
	uint64_t executions;
	uint64_t refused;
	uint32_t concurrent, max_concurrent;
	uint32_t max_connections;
	uint32_t repeated_ids, repeated_bodies;
};

/* Returns false if the port cannot be bound. */
bool endpoint_open(struct endpoint *endpoint, struct ev_loop *loop,
		   const char *ip, uint16_t port, uint32_t slots);
void endpoint_close(struct endpoint *endpoint);
/* Applies faults.down: closes the endpoint or makes it listen again. */
void endpoint_apply(struct endpoint *endpoint);
/* Stops all I/O on the open connections; new connections work. */
void endpoint_silence_connections(struct endpoint *endpoint);

#endif
