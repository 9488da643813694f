/* Helpers that run an event loop in tests. */
#ifndef CQ_TESTS_WAIT_FOR_H
#define CQ_TESTS_WAIT_FOR_H

#include <ev.h>
#include <stdbool.h>

/*
 * Runs the loop until the condition is met. False if that takes longer than
 * 20 s; the caller should then fail the test.
 */
bool wait_for(struct ev_loop *loop, bool (*condition)(void *ctx), void *ctx);
/*
 * Runs that many iterations of the loop, so that events already due are
 * handled.
 */
void run_loop_iterations(struct ev_loop *loop, int turns);

#endif
