/*
 * cq-hostd: the one program of a host on the platform. It serves callers, and
 * dispatches while its host leads.
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
#include "platform/executor_http.h"
#include "platform/front_http.h"
#include "platform/kv_store.h"
#include "platform/settings.h"

struct hostd {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	const char *settings_path;
	char *settings_text; /* as read last */
	struct cq_platform_settings settings;
	struct cq_metrics *metrics;
	struct cq_http_client *store_client;
	struct cq_http_client *worker_client;
	struct cq_kv_store *kv;
	const struct cq_store *store;
	struct cq_gateway *gateway;
	struct cq_front_http *front;
	struct cq_follower *operators; /* what the operators wrote */
	struct cq_queue_config *config;
	GHashTable *evacuated; /* names of data centres */
	struct cq_leader *leader;
	struct cq_dispatcher *dispatcher; /* NULL unless this host leads */
	struct cq_executor_http *executor;
	ev_signal on_term, on_int, on_hup;
	ev_timer stop_timer;
	ev_timer settings_timer;
	bool stopping;
	int64_t quiesce_ns; /* no new connections from then on */
	int64_t exit_ns;    /* at the latest */
};

/* intent.c: follows the operators' documents. */
void hostd_intent_open(struct hostd *h);
void hostd_intent_close(struct hostd *h);
/* Whether the configuration is known and was confirmed lately. */
bool hostd_intent_fresh(const struct hostd *h);

/* dispatch.c: leads, and dispatches meanwhile. */
void hostd_dispatch_open(struct hostd *h);
void hostd_dispatch_close(struct hostd *h);
void hostd_dispatch_update(struct hostd *h);

/* lifecycle.c: signals, settings that change, planned stops. */
bool hostd_settings_load(struct hostd *h, struct cq_error *err);
void hostd_lifecycle_open(struct hostd *h);
void hostd_lifecycle_close(struct hostd *h);

#endif
