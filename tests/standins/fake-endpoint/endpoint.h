/*
 * One endpoint of the stand-in: a small HTTP/1.1 server whose connections can
 * misbehave in ways that a well-behaved server library cannot.
 */
#ifndef CQ_FAKE_ENDPOINT_H
#define CQ_FAKE_ENDPOINT_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct endpoint_faults {
	int64_t service_ms;
	int64_t jitter_ms;	  /* added, uniformly */
	bool leaving;		  /* 503, Endpoint-State: leaving */
	bool never_answer;	  /* accepts, runs and keeps quiet */
	bool fail_fast;		  /* 500 at once */
	int64_t close_mid_answer; /* the next N answers are cut short */
	int64_t cross_answers;	  /* the next N carry another request's id */
	bool down;		  /* refuses connections */
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
	GPtrArray *running;   /* work that goes on without its connection */
	GHashTable *executed; /* request id -> count */
	GHashTable *bodies;   /* "TARGET BODY" of a request -> count */
	char *last_id;	      /* for crossed answers */
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
/* Applies faults.down. */
void endpoint_apply(struct endpoint *endpoint);
/* Connections open now never read or write again; new ones work. */
void endpoint_silence_connections(struct endpoint *endpoint);

#endif
