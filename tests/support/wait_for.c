#include "wait_for.h"

#define GIVE_UP_S 20.0
#define TURN_S 0.002

static void on_turn(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
}

bool wait_for(struct ev_loop *loop, bool (*holds)(void *ctx), void *ctx)
{
	double end_s = ev_time() + GIVE_UP_S;
	ev_timer turn;
	bool held;

	ev_timer_init(&turn, on_turn, TURN_S, TURN_S);
	ev_timer_start(loop, &turn);
	while (!(held = holds(ctx)) && ev_time() < end_s)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &turn);
	return held;
}

void wait_turns(struct ev_loop *loop, int turns)
{
	ev_timer turn;

	ev_timer_init(&turn, on_turn, TURN_S, TURN_S);
	ev_timer_start(loop, &turn);
	while (turns-- > 0)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &turn);
}
