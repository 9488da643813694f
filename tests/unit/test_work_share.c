/*
 * Load of a large fleet: something changes every few milliseconds, and each
 * plan over all workers takes a while. Without pauses the plans take all of the
 * processor, and heartbeats and the renewal of the leader's lease come late.
 */
#include <glib.h>

#include "chestnutquay/clock.h"
#include "chestnutquay/work_share.h"

#define MS CQ_NS_PER_MS
#define DIVISOR 4
#define MAX_PAUSE_MS 150

/*
 * Plays turns of the given length, wanted again after gap_ms each time, for ten
 * seconds. Returns the time spent on them.
 */
static int64_t play_ns(int64_t turn_ms, int64_t gap_ms, int64_t *longest_ns)
{
	struct cq_work_share share;
	int64_t now_ns = CQ_NS_PER_S;
	int64_t end_ns = 11 * CQ_NS_PER_S;
	int64_t spent_ns = 0;

	cq_work_share_init(&share, DIVISOR, MAX_PAUSE_MS * MS);
	*longest_ns = 0;
	for (;;) {
		int64_t wait_ns = cq_work_share_wait_ns(&share, now_ns);

		*longest_ns = MAX(*longest_ns, wait_ns);
		now_ns += MAX(wait_ns, gap_ms * MS);
		if (now_ns >= end_ns)
			return spent_ns;
		cq_work_share_ended(&share, now_ns, now_ns + turn_ms * MS);
		now_ns += turn_ms * MS;
		spent_ns += turn_ms * MS;
	}
}

/* Guards against work that takes more than its share, and one turn more. */
static void test_share(void)
{
	static const int64_t turns_ms[] = { 1, 5, 10, 37 };
	int64_t longest_ns;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(turns_ms); i++)
		g_assert_cmpint(play_ns(turns_ms[i], 0, &longest_ns), <=,
				10 * CQ_NS_PER_S / DIVISOR + turns_ms[i] * MS);
}

/* Guards against a pause that delays work that is within its share. */
static void test_no_pause(void)
{
	int64_t longest_ns;

	g_assert_cmpint(play_ns(1, 50, &longest_ns), ==, 196 * MS);
	g_assert_cmpint(longest_ns, <=, 3 * MS);
}

/* Guards against a long stall, such as a suspension, that stops the work. */
static void test_longest_pause(void)
{
	struct cq_work_share share;
	int64_t longest_ns;

	play_ns(2000, 0, &longest_ns);
	g_assert_cmpint(longest_ns, ==, MAX_PAUSE_MS * MS);
	cq_work_share_init(&share, DIVISOR, MAX_PAUSE_MS * MS);
	g_assert_cmpint(cq_work_share_wait_ns(&share, 0), ==, 0);
	cq_work_share_ended(&share, 5 * MS, 3 * MS);
	g_assert_cmpint(cq_work_share_wait_ns(&share, 3 * MS), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/work_share/share", test_share);
	g_test_add_func("/work_share/no_pause", test_no_pause);
	g_test_add_func("/work_share/longest_pause", test_longest_pause);
	return g_test_run();
}
