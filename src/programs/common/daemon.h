/*
 * Common framework of cq-entryd and cq-schedd: settings, log, event loop,
 * platform clients, peer network, operator listener, readiness and graceful
 * shutdown.
 */
#ifndef CQ_PROGRAMS_DAEMON_H
#define CQ_PROGRAMS_DAEMON_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/config.h"
#include "chestnutquay/host_list.h"
#include "chestnutquay/http_client.h"
#include "chestnutquay/metrics.h"
#include "chestnutquay/operator.h"
#include "chestnutquay/peer_net.h"
#include "chestnutquay/store.h"

struct cq_daemon;

/*
 * Parses the common settings and the program's own, and opens the listeners for
 * operators and peers. On failure, prints one line to standard error, sets
 * *exit_code and returns NULL.
 *
 * Common settings: --deployment, --data-centre, --host-id, --index,
 * --index-count, --peer-address, --operator-address, --store-address, --seeds,
 * --drain-ms, --log-level; CQ_OPERATOR_TOKEN in the environment.
 */
struct cq_daemon *cq_daemon_create(const char *program, const char *summary,
				   const struct cq_setting *extra,
				   int32_t extra_count, int argc, char **argv,
				   int *exit_code);
void cq_daemon_destroy(struct cq_daemon *daemon);

/* Runs the event loop until graceful shutdown ends; returns the exit code. */
int cq_daemon_run(struct cq_daemon *daemon);

struct ev_loop *cq_daemon_loop(struct cq_daemon *daemon);
const struct cq_config *cq_daemon_config(const struct cq_daemon *daemon);
const struct cq_clock *cq_daemon_clock(const struct cq_daemon *daemon);
struct cq_http_client *cq_daemon_http_client(struct cq_daemon *daemon);
const struct cq_store *cq_daemon_store(struct cq_daemon *daemon);
const struct cq_host_list *cq_daemon_host_list(struct cq_daemon *daemon);
struct cq_peer_net *cq_daemon_peers(struct cq_daemon *daemon);
struct cq_metrics *cq_daemon_metrics(struct cq_daemon *daemon);
/* Unique among the daemons of a deployment: "HOST-ID/entryd". */
const char *cq_daemon_id(const struct cq_daemon *daemon);
const char *cq_daemon_data_centre(const struct cq_daemon *daemon);
/* Start time of the process in Unix milliseconds. */
uint64_t cq_daemon_incarnation(const struct cq_daemon *daemon);

/*
 * Registers the handler of an operator API call by method and path prefix; the
 * longest matching prefix wins. The operator token is checked before fn is
 * called. /metrics, /healthz and /readyz are built in and need no token.
 */
typedef void cq_daemon_route_fn(void *ctx,
				struct cq_operator_exchange *exchange);
void cq_daemon_add_route(struct cq_daemon *daemon, const char *method,
			 const char *prefix, cq_daemon_route_fn *fn, void *ctx);

/*
 * Registers a callback for every exchange whose client disconnects before the
 * response. A route that responds later needs it.
 */
void cq_daemon_add_abort(struct cq_daemon *daemon, cq_daemon_route_fn *fn,
			 void *ctx);

/* Registers the handler of the peer messages of one kind. */
void cq_daemon_on_peer(struct cq_daemon *daemon, enum cq_peer_kind kind,
		       cq_peer_message_fn *fn, void *ctx);

/*
 * Registers a readiness check. It returns NULL if ready, else the reason why
 * not. The daemon is ready if all checks pass and no graceful shutdown has
 * begun.
 */
typedef const char *cq_daemon_ready_fn(void *ctx);
void cq_daemon_add_ready_check(struct cq_daemon *daemon, cq_daemon_ready_fn *fn,
			       void *ctx);

/*
 * Registers a hook that is called every 50 ms after SIGTERM or SIGINT, until it
 * returns true because nothing is left to finish or hand over. The daemon exits
 * when all hooks have returned true, or after --drain-ms.
 */
typedef bool cq_daemon_drain_fn(void *ctx);
void cq_daemon_add_drain(struct cq_daemon *daemon, cq_daemon_drain_fn *fn,
			 void *ctx);
bool cq_daemon_draining(const struct cq_daemon *daemon);

/*
 * Registers a hook that cq_daemon_run() calls once after the drain. The hook
 * answers or refuses the calls that are still open, refuses later ones and
 * announces the stop to peers. No module has been destroyed yet:
 * cq_daemon_run() flushes what the hooks have sent and closes the operator
 * listener before it returns.
 */
typedef void cq_daemon_stop_fn(void *ctx);
void cq_daemon_add_stop(struct cq_daemon *daemon, cq_daemon_stop_fn *fn,
			void *ctx);

/* Registers a callback that runs every 100 ms with the current time. */
typedef void cq_daemon_tick_fn(void *ctx, int64_t now_ns);
void cq_daemon_add_tick(struct cq_daemon *daemon, cq_daemon_tick_fn *fn,
			void *ctx);

/* Responds with {"error":{"code","message"}}. */
void cq_daemon_respond_error(struct cq_operator_exchange *exchange,
			     uint32_t status, const char *code, const char *fmt,
			     ...) __attribute__((format(printf, 4, 5)));

#endif
