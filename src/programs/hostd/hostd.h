/*
 * cq-hostd, the only program that runs on a host of the platform. It serves
 * callers, and runs the dispatcher while its host is the leader.
 */
#ifndef CQ_PROGRAMS_HOSTD_H
#define CQ_PROGRAMS_HOSTD_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

#include "chestnutquay/dispatcher.h"
#include "chestnutquay/follower.h"
#include "chestnutquay/gateway.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/leader.h"
#include "chestnutquay/loop_turn.h"
#include "platform/executor_http.h"
#include "platform/front_http.h"
#include "platform/kv_store.h"
#include "platform/settings.h"

struct hostd {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const char *settings_path;
	char *settings_text; /* content of the file when last loaded */
	struct cq_platform_settings settings;
	struct cq_metrics *metrics;
	struct cq_http_client *store_client;
	struct cq_http_client *worker_client;
	struct cq_kv_store *kv;
	const struct cq_store *store;
	struct cq_loop_turn *loop_turn;
	struct cq_gateway *gateway;
	struct cq_front_http *front;
	struct cq_follower *operator_follower; /* follows operators' keys */
	struct cq_queue_config *config;	       /* NULL: none received yet */
	GHashTable *evacuated; /* set of names of data centres */
	struct cq_leader *leader;
	struct cq_dispatcher *dispatcher;  /* NULL unless this host leads */
	struct cq_executor_http *executor; /* NULL unless this host leads */
	ev_signal term_watcher, int_watcher, hup_watcher;
	ev_timer stop_timer;
	ev_timer settings_timer;
	bool stopping;
	int64_t quiesce_ns; /* when to stop accepting connections */
	int64_t exit_ns;    /* when to exit, even with open requests */
};

/* intent.c: follows the operators' documents in the store. */
void hostd_intent_open(struct hostd *h);
void hostd_intent_close(struct hostd *h);
/* Whether a configuration is known and the store answered recently. */
bool hostd_intent_is_current(const struct hostd *h);

/* dispatch.c: leader election, and the dispatcher while leading. */
void hostd_dispatch_open(struct hostd *h);
void hostd_dispatch_close(struct hostd *h);
/* Passes the current configuration to the dispatcher, if there is one. */
void hostd_dispatch_update(struct hostd *h);

/* lifecycle.c: signals, reloading of settings, graceful shutdown. */
bool hostd_settings_load(struct hostd *h, struct cq_error *err);
void hostd_lifecycle_open(struct hostd *h);
void hostd_lifecycle_close(struct hostd *h);

#endif
