/* Internals of struct cq_daemon. */
#ifndef CQ_PROGRAMS_DAEMON_PRIVATE_H
#define CQ_PROGRAMS_DAEMON_PRIVATE_H

#include <ev.h>
#include <glib.h>

#include "programs/common/daemon.h"

#define PEER_KINDS 64

struct route {
	const char *method;
	char *prefix;
	cq_daemon_route_fn *fn;
	void *ctx;
};

struct hook {
	union {
		cq_daemon_ready_fn *ready;
		cq_daemon_drain_fn *drain;
		cq_daemon_tick_fn *tick;
		cq_daemon_route_fn *abort;
		cq_daemon_stop_fn *stop;
	} fn;
	void *ctx;
	bool done; /* a drain hook has returned true */
};

struct peer_handler {
	cq_peer_message_fn *fn;
	void *ctx;
};

struct cq_daemon {
	struct ev_loop *loop;
	struct cq_setting *settings;
	struct cq_config *config;
	struct cq_metrics *metrics;
	struct cq_http_client *client;
	struct cq_store_http *store;
	struct cq_host_list_http *host_list;
	struct cq_peer_net *peers;
	struct cq_operator_http *operators;
	struct peer_handler peer_handlers[PEER_KINDS];
	GArray *routes;
	GArray *ready_checks;
	GArray *drains;
	GArray *ticks;
	GArray *aborts;
	GArray *stops;
	char *id;
	char *token;
	uint64_t incarnation;
	int64_t drain_deadline_ns;
	bool draining;
	ev_signal term;
	ev_signal interrupt;
	ev_timer tick;
	ev_timer drain_timer;
};

/* daemon_operators.c: opens the operator listener. */
bool cq_daemon_open_operators(struct cq_daemon *daemon, struct cq_error *err);

#endif
