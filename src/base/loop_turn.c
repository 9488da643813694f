#include "chestnutquay/loop_turn.h"

#include <glib.h>
#include <jansson.h>

#include "chestnutquay/log.h"

/* A leader renews its lease four times in 1.5 s. */
#define LONG_TURN_NS (INT64_C(250) * CQ_NS_PER_MS)
#define LOG_INTERVAL_NS CQ_NS_PER_S

struct cq_loop_turn {
	struct ev_loop *loop;
	const struct cq_clock *clock;
	ev_check begin;
	ev_prepare end;
	int64_t began_ns; /* 0: the loop waits */
	int64_t longest_ns;
	int64_t logged_ns;
	uint32_t unlogged; /* long turns since the last line */
	struct cq_histogram *turns;
	struct cq_gauge *longest_us;
	int64_t longest_ever_ns;
};

static void on_begin(struct ev_loop *loop, ev_check *begin, int events);
static void on_end(struct ev_loop *loop, ev_prepare *end, int events);
static void log_long_turn(struct cq_loop_turn *t, int64_t took_ns,
			  int64_t now_ns);

struct cq_loop_turn *cq_loop_turn_create(struct ev_loop *loop,
					 const struct cq_clock *clock,
					 struct cq_metrics *metrics)
{
	struct cq_loop_turn *t = g_new0(struct cq_loop_turn, 1);

	t->loop = loop;
	t->clock = clock;
	t->turns = cq_metrics_histogram(metrics, "cq_loop_turn_seconds", "");
	t->longest_us =
		cq_metrics_gauge(metrics, "cq_loop_longest_turn_us", "");
	ev_check_init(&t->begin, on_begin);
	ev_prepare_init(&t->end, on_end);
	/* The first watcher of a turn, and the last one. */
	ev_set_priority(&t->begin, EV_MAXPRI);
	ev_set_priority(&t->end, EV_MINPRI);
	t->begin.data = t;
	t->end.data = t;
	ev_check_start(loop, &t->begin);
	ev_prepare_start(loop, &t->end);
	/* They don't keep the loop running. */
	ev_unref(loop);
	ev_unref(loop);
	return t;
}

void cq_loop_turn_destroy(struct cq_loop_turn *t)
{
	if (!t)
		return;
	ev_ref(t->loop);
	ev_ref(t->loop);
	ev_check_stop(t->loop, &t->begin);
	ev_prepare_stop(t->loop, &t->end);
	g_free(t);
}

int64_t cq_loop_turn_take_longest_ns(struct cq_loop_turn *t)
{
	int64_t longest_ns = t->longest_ns;

	t->longest_ns = 0;
	return longest_ns;
}

static void on_begin(struct ev_loop *loop, ev_check *begin, int events)
{
	struct cq_loop_turn *t = begin->data;

	(void)loop;
	(void)events;
	t->began_ns = cq_clock_now_ns(t->clock);
}

static void log_long_turn(struct cq_loop_turn *t, int64_t took_ns,
			  int64_t now_ns)
{
	t->unlogged++;
	if (t->logged_ns && now_ns - t->logged_ns < LOG_INTERVAL_NS)
		return;
	cq_log_event(CQ_LOG_WARN, "loop_turn_long", "{s:I,s:i}", "took_ms",
		     (json_int_t)(took_ns / CQ_NS_PER_MS), "long_turns",
		     (int)t->unlogged);
	t->logged_ns = now_ns;
	t->unlogged = 0;
}

static void on_end(struct ev_loop *loop, ev_prepare *end, int events)
{
	struct cq_loop_turn *t = end->data;
	int64_t now_ns = cq_clock_now_ns(t->clock);
	int64_t took_ns = now_ns - t->began_ns;

	(void)loop;
	(void)events;
	if (!t->began_ns)
		return;
	t->began_ns = 0;
	cq_histogram_observe_ns(t->turns, took_ns);
	t->longest_ns = MAX(t->longest_ns, took_ns);
	if (took_ns > t->longest_ever_ns) {
		t->longest_ever_ns = took_ns;
		cq_gauge_set(t->longest_us, took_ns / CQ_NS_PER_US);
	}
	if (took_ns >= LONG_TURN_NS)
		log_long_turn(t, took_ns, now_ns);
}
