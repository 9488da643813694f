/* What is measured of the turns of an event loop. */
#include <ev.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "chestnutquay/loop_turn.h"

#define TURN_MS 400

struct fixture {
	struct ev_loop *loop;
	struct cq_manual_clock *clock;
	int64_t work_ns; /* that a turn takes */
};

static void on_work(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fixture *f = timer->data;

	(void)loop;
	(void)events;
	cq_manual_clock_advance(f->clock, f->work_ns);
}

static void run_turn(struct fixture *f, int64_t work_ns)
{
	ev_timer timer;

	ev_timer_init(&timer, on_work, 0., 0.);
	timer.data = f;
	f->work_ns = work_ns;
	ev_timer_start(f->loop, &timer);
	ev_run(f->loop, EVRUN_ONCE);
	/* The turn ends when the loop is about to wait again. */
	ev_run(f->loop, EVRUN_NOWAIT);
}

/*
 * Guards against a host that loses the lead by turns of its loop that take
 * longer than the lease, without a figure that shows it.
 */
static void test_longest_turn(void)
{
	struct fixture f = {
		.loop = ev_loop_new(0),
		.clock = cq_manual_clock_create(CQ_NS_PER_S, 0),
	};
	struct cq_metrics *metrics = cq_metrics_create();
	struct cq_loop_turn *turn;
	char *text;

	turn = cq_loop_turn_create(f.loop, cq_manual_clock_get(f.clock),
				   metrics);
	run_turn(&f, TURN_MS * CQ_NS_PER_MS);
	run_turn(&f, CQ_NS_PER_MS);
	g_assert_cmpint(cq_loop_turn_take_longest_ns(turn), ==,
			TURN_MS * CQ_NS_PER_MS);
	run_turn(&f, CQ_NS_PER_MS);
	g_assert_cmpint(cq_loop_turn_take_longest_ns(turn), ==, CQ_NS_PER_MS);
	text = cq_metrics_format(metrics);
	g_assert_nonnull(strstr(text, "cq_loop_longest_turn_us{} 400000\n"));
	free(text);
	cq_loop_turn_destroy(turn);
	cq_metrics_destroy(metrics);
	cq_manual_clock_destroy(f.clock);
	ev_loop_destroy(f.loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/loop_turn/longest_turn", test_longest_turn);
	return g_test_run();
}
