#ifndef REVIEW_STANDIN_3_CASES_H
#define REVIEW_STANDIN_3_CASES_H

#include "world.h"

/* Lets the world go on for so long. */
void wait_ms(struct world *w, int ms);
/* Writes the configuration, starts the hosts, and waits until they serve. */
void open_world(struct world *w, const char *program, int hosts);

void case_spread(struct world *w, const char *program, bool trouble);
void case_starve(struct world *w, const char *program, bool trouble);
void case_cancel(struct world *w, const char *program, bool trouble);

/* The newest configuration; without the route of the batch queue, if so. */
void write_config(struct world *w, int version, bool with_batch);

void case_route(struct world *w, const char *program, bool trouble);
void case_headroom(struct world *w, const char *program, bool trouble);
void case_overdue(struct world *w, const char *program, bool trouble);
void case_pending(struct world *w, const char *program, bool trouble);

#endif
