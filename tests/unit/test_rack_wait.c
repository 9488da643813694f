/*
 * A gang with same_rack waits for one rack only while the wait has an end that
 * is worth it. Guards against a gang that waits for ever for a rack whose runs
 * last, beside twice the room that it needs (review/9), and against one that is
 * spread although a rack has room soon, and takes three times as long.
 */
#include <glib.h>

#include "chestnutquay/stage_rank.h"
#include "tests/support/gang_world.h"

#define RACKS 3
#define WORKERS 4
#define RANK 2
#define LOWER_RANK 3
#define PLAN_MS 100
#define LIMIT_MS 100000

struct rack_wait_case {
	const char *name;
	/* In each rack: workers with a run of one accelerator each */
	uint32_t taken;
	struct gang_world_run run;
	uint32_t drained; /* workers of the last rack, which runs nothing */
	uint32_t rank;
	uint32_t tasks;
	int64_t estimate_ms;
	int64_t earliest_ms, latest_ms; /* of the start */
	bool spread;			/* over several racks */
};

static const struct rack_wait_case cases[] = {
	/* The case of the review, and its relative without a drained worker. */
	{ "lasting runs, one worker drains",
	  1,
	  { .rank = RANK, .lasts = true },
	  1,
	  RANK,
	  4,
	  3000,
	  0,
	  0,
	  true },
	{ "lasting runs in each rack",
	  1,
	  { .rank = RANK, .lasts = true },
	  0,
	  RANK,
	  4,
	  3000,
	  0,
	  0,
	  true },
	{ "a rack has room",
	  0,
	  { .rank = RANK },
	  0,
	  RANK,
	  4,
	  3000,
	  0,
	  0,
	  false },
	{ "runs that end soon",
	  1,
	  { .rank = RANK, .estimate_ms = 1000, .ends_ms = 1000 },
	  0,
	  RANK,
	  4,
	  3000,
	  1000,
	  1000,
	  false },
	{ "idle fleet, runs that end late",
	  1,
	  { .rank = RANK, .estimate_ms = 5000, .ends_ms = 5000 },
	  0,
	  RANK,
	  4,
	  3000,
	  0,
	  0,
	  true },
	{ "idle fleet, runs that outlive their estimate",
	  1,
	  { .rank = RANK, .estimate_ms = 1000, .ends_ms = 60000 },
	  0,
	  RANK,
	  4,
	  3000,
	  1000,
	  2100,
	  true },
	{ "busy fleet, runs that end late",
	  3,
	  { .rank = RANK, .estimate_ms = 8000, .ends_ms = 8000 },
	  0,
	  RANK,
	  3,
	  3000,
	  8000,
	  8000,
	  false },
	{ "busy fleet, runs that end after all is lost",
	  3,
	  { .rank = RANK, .estimate_ms = 90000, .ends_ms = 90000 },
	  0,
	  RANK,
	  3,
	  3000,
	  0,
	  0,
	  true },
	{ "busy fleet, lasting runs",
	  3,
	  { .rank = RANK, .lasts = true },
	  0,
	  RANK,
	  3,
	  3000,
	  0,
	  0,
	  true },
	{ "busy fleet, runs that outlive their estimate",
	  3,
	  { .rank = RANK, .estimate_ms = 1000, .ends_ms = 90000 },
	  0,
	  RANK,
	  3,
	  3000,
	  10000,
	  48200,
	  true },
	{ "urgent, lasting runs that give way",
	  3,
	  { .rank = LOWER_RANK, .lasts = true },
	  0,
	  CQ_RANK_URGENT,
	  3,
	  3000,
	  PLAN_MS,
	  3000,
	  false },
	{ "urgent, lasting runs that may not be stopped",
	  3,
	  { .rank = LOWER_RANK, .lasts = true, .max_unavailable = 1 },
	  0,
	  CQ_RANK_URGENT,
	  3,
	  3000,
	  0,
	  0,
	  true },
	{ "guaranteed, runs that give way",
	  3,
	  { .rank = LOWER_RANK, .lasts = true },
	  0,
	  CQ_RANK_GUARANTEED,
	  3,
	  3000,
	  PLAN_MS,
	  2900,
	  false },
	{ "guaranteed, runs that may not be stopped",
	  3,
	  { .rank = LOWER_RANK,
	    .estimate_ms = 4000,
	    .ends_ms = 4000,
	    .max_unavailable = 1 },
	  0,
	  CQ_RANK_GUARANTEED,
	  3,
	  3000,
	  0,
	  0,
	  true },
};

static struct gang_world *world_of(const struct rack_wait_case *c)
{
	struct gang_world *w = gang_world_create(RACKS, WORKERS);
	uint32_t rack, k;

	for (rack = 0; rack < RACKS; rack++)
		for (k = 0; k < c->taken; k++) {
			struct gang_world_run run = c->run;

			if (c->drained && rack == RACKS - 1)
				continue;
			run.rack = rack;
			run.worker = k;
			run.accelerators = c->taken == 1 ? 1 : 8;
			g_assert_true(gang_world_add_run(w, &run));
		}
	for (k = 0; k < c->drained; k++)
		gang_world_drain(w, RACKS - 1, k);
	gang_world_add_gang(w, c->rank, c->tasks, c->estimate_ms);
	return w;
}

static void test_case(gconstpointer data)
{
	const struct rack_wait_case *c = data;
	struct gang_world *w = world_of(c);
	int64_t now_ms;

	for (now_ms = 0; now_ms <= LIMIT_MS; now_ms += PLAN_MS) {
		gang_world_plan(w, now_ms);
		if (gang_world_started(w))
			break;
	}
	g_test_message("started at %" G_GINT64_FORMAT " ms in %u racks", now_ms,
		       gang_world_racks_used(w));
	g_assert_true(gang_world_started(w));
	g_assert_cmpint(now_ms, >=, c->earliest_ms);
	g_assert_cmpint(now_ms, <=, c->latest_ms);
	g_assert_true((gang_world_racks_used(w) > 1) == c->spread);
	gang_world_destroy(w);
}

int main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/rack_wait/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	return g_test_run();
}
