#include "wait_for.h"

#define WAIT_TIMEOUT_S 20.0
#define POLL_INTERVAL_S 0.002

static void on_poll_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
}

bool wait_for(struct ev_loop *loop, bool (*condition)(void *ctx), void *ctx)
{
	double end_s = ev_time() + WAIT_TIMEOUT_S;
	ev_timer poll_timer;
	bool met;

	ev_timer_init(&poll_timer, on_poll_timer, POLL_INTERVAL_S,
		      POLL_INTERVAL_S);
	ev_timer_start(loop, &poll_timer);
	while (!(met = condition(ctx)) && ev_time() < end_s)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &poll_timer);
	return met;
}

void run_loop_iterations(struct ev_loop *loop, int turns)
{
	ev_timer poll_timer;

	ev_timer_init(&poll_timer, on_poll_timer, POLL_INTERVAL_S,
		      POLL_INTERVAL_S);
	ev_timer_start(loop, &poll_timer);
	while (turns-- > 0)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &poll_timer);
}
