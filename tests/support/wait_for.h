/* Runs a loop until a condition holds. */
#ifndef CQ_TESTS_WAIT_FOR_H
#define CQ_TESTS_WAIT_FOR_H

#include <ev.h>
#include <stdbool.h>

/* False if it does not hold within 20 s, which fails the test. */
bool wait_for(struct ev_loop *loop, bool (*holds)(void *ctx), void *ctx);
/* Lets everything that is due now happen. */
void wait_turns(struct ev_loop *loop, int turns);

#endif
