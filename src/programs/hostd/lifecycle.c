/* Signals, reloading of settings, and graceful shutdown. */
#include <jansson.h>
#include <signal.h>
#include <string.h>

#include "chestnutquay/log.h"
#include "programs/hostd/hostd.h"

#define SETTINGS_INTERVAL_S 2.0
#define STOP_TICK_S 0.05
/*
 * Connections are still accepted this long after the stop signal: the load
 * balancer sends callers elsewhere after two failed checks, a second apart.
 */
#define QUIESCE_DELAY_NS (INT64_C(2600) * CQ_NS_PER_MS)
/* The process exits this long before the platform would kill it. */
#define EXIT_MARGIN_MS 700

bool hostd_settings_load(struct hostd *h, struct cq_error *err)
{
	struct cq_platform_settings settings;
	GError *failure = NULL;
	char *text = NULL;
	gsize len;

	if (!g_file_get_contents(h->settings_path, &text, &len, &failure)) {
		cq_error_set(err, CQ_ERROR_PROGRAM, CQ_ERR_SYSTEM,
			     "settings: %s", failure->message);
		g_error_free(failure);
		return false;
	}
	if (!cq_platform_settings_parse(text, len, &settings, err)) {
		cq_platform_settings_clear(&settings);
		g_free(text);
		return false;
	}
	cq_platform_settings_clear(&h->settings);
	h->settings = settings;
	g_free(h->settings_text);
	h->settings_text = text;
	return true;
}

static void reload(struct hostd *h, const char *reason)
{
	struct cq_platform_settings previous = h->settings;
	char *previous_text = g_strdup(h->settings_text);
	struct cq_error err = CQ_ERROR_INIT;

	if (!hostd_settings_load(h, &err))
		cq_log_event(CQ_LOG_ERROR, "settings_kept", "{s:s,s:s}",
			     "reason", reason, "error", err.message);
	else if (strcmp(previous_text, h->settings_text))
		cq_log_event(CQ_LOG_INFO, "settings_reloaded", "{s:s,s:b}",
			     "reason", reason, "addresses_changed",
			     strcmp(previous.store_address,
				    h->settings.store_address) != 0 ||
				     strcmp(previous.front_address,
					    h->settings.front_address) != 0);
	g_free(previous_text);
}

static void on_settings_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	reload(timer->data, "poll");
}

static void on_hup(struct ev_loop *loop, ev_signal *signal, int events)
{
	(void)loop;
	(void)events;
	cq_log_event(CQ_LOG_INFO, "reload_asked", NULL);
	reload(signal->data, "signal");
}

static void on_stop_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct hostd *h = timer->data;
	int64_t now_ns = cq_clock_now_ns(h->clock);

	(void)events;
	if (now_ns < h->quiesce_ns)
		return;
	cq_front_http_quiesce(h->front);
	if (cq_front_http_open_count(h->front) && now_ns < h->exit_ns)
		return;
	ev_break(loop, EVBREAK_ALL);
}

static void on_stop(struct ev_loop *loop, ev_signal *signal, int events)
{
	struct hostd *h = signal->data;
	int64_t now_ns = cq_clock_now_ns(h->clock);

	(void)events;
	if (h->stopping)
		return;
	h->stopping = true;
	h->quiesce_ns = now_ns + QUIESCE_DELAY_NS;
	h->exit_ns =
		now_ns + (int64_t)(h->settings.stop_grace_ms - EXIT_MARGIN_MS) *
				 CQ_NS_PER_MS;
	cq_log_event(CQ_LOG_INFO, "stopping", "{s:i,s:i}", "signal",
		     signal->signum, "open",
		     (int)cq_front_http_open_count(h->front));
	cq_leader_resign(h->leader);
	cq_front_http_drain(h->front);
	ev_timer_init(&h->stop_timer, on_stop_tick, STOP_TICK_S, STOP_TICK_S);
	h->stop_timer.data = h;
	ev_timer_start(loop, &h->stop_timer);
}

static void watch_signal(struct hostd *h, ev_signal *watcher, int signum,
			 void (*handler)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(watcher, handler, signum);
	watcher->data = h;
	ev_signal_start(h->loop, watcher);
}

void hostd_lifecycle_open(struct hostd *h)
{
	signal(SIGPIPE, SIG_IGN);
	watch_signal(h, &h->term_watcher, SIGTERM, on_stop);
	watch_signal(h, &h->int_watcher, SIGINT, on_stop);
	watch_signal(h, &h->hup_watcher, SIGHUP, on_hup);
	ev_timer_init(&h->settings_timer, on_settings_timer,
		      SETTINGS_INTERVAL_S, SETTINGS_INTERVAL_S);
	h->settings_timer.data = h;
	ev_timer_start(h->loop, &h->settings_timer);
}

void hostd_lifecycle_close(struct hostd *h)
{
	ev_signal_stop(h->loop, &h->term_watcher);
	ev_signal_stop(h->loop, &h->int_watcher);
	ev_signal_stop(h->loop, &h->hup_watcher);
	ev_timer_stop(h->loop, &h->stop_timer);
	ev_timer_stop(h->loop, &h->settings_timer);
}
