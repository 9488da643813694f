/* Limits of calls follow the server's pace, and grow while it is silent. */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/round_trip.h"

#define MS CQ_NS_PER_MS

static void test_limits(void)
{
	/* Each row: how long a call took, -1 for its whole limit without an
	 * answer, -2 for a failure at once; and the next limit. */
	static const struct {
		int took_ms;
		uint32_t limit_ms;
	} steps[] = {
		{ 10, 120 },  { -1, 240 }, { -1, 480 },	 { -1, 600 },
		{ -2, 600 },  { 10, 120 }, { 240, 270 }, { 240, 442 },
		{ 240, 571 }, { 10, 438 }, { 10, 339 },
	};
	struct cq_round_trip r;
	size_t i;

	cq_round_trip_init(&r, 120, 600);
	g_assert_cmpuint(cq_round_trip_timeout_ms(&r), ==, 120);
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		bool answered = steps[i].took_ms >= 0;
		int64_t took_ms = steps[i].took_ms;
		bool timed_out;

		if (took_ms == -1)
			took_ms = cq_round_trip_timeout_ms(&r);
		timed_out =
			cq_round_trip_ended(&r, MAX(0, took_ms) * MS, answered);
		g_assert_cmpint(timed_out, ==, steps[i].took_ms == -1);
		g_assert_cmpuint(cq_round_trip_timeout_ms(&r), ==,
				 steps[i].limit_ms);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/round_trip/limits", test_limits);
	return g_test_run();
}
